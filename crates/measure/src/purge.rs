//! The measurement of purges, as far as they stand: the index beside a plain list, the log beside redb, and crashes of
//! the log.
use crate::Figures;
use crate::rig::Scratch;
use harestage::time::{Moment, Span};
use harestage_purge::index::{Index, PlainList};
use harestage_purge::scope::{Facts, Scope};
use harestage_segments::faulty::Disk;
use harestage_segments::{Folder, Log};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::hint::black_box;
use std::time::Instant;

pub fn measure(quick: bool) -> Figures {
    let mut figures = Figures::new("purge");
    look_ups(quick, &mut figures);
    appends(quick, &mut figures);
    recovery(quick, &mut figures);
    crashes(quick, &mut figures);
    figures.bound("crash_points_lost", 0.0);
    figures.bound("lookup_to_plain_100k_share", 0.05);
    figures
}

/// Purges as a busy fleet has them: most by object, many by prefix, some by tag, group and pattern.
fn scope(n: u64) -> Scope {
    match n % 20 {
        0..=9 => Scope::Object(format!("{:016x}", n * 7)),
        10..=14 => Scope::Prefix(format!("case/{}/", n * 3)),
        15..=16 => Scope::AnyTag([format!("tag-{}", n % 500)].into()),
        17 => Scope::AllTags([format!("tag-{}", n % 500), "photo".to_string()].into()),
        18 => Scope::Group(n as u32 % 5_000),
        _ => Scope::Glob(format!("case/{n}/*.mp4")),
    }
}

fn look_ups(quick: bool, figures: &mut Figures) {
    let names: Vec<String> = (0..512).map(|n| format!("case/{}/clip-{n}.mp4", n * 37)).collect();
    for (live, label) in [(100u64, "100"), (10_000, "10k"), (100_000, "100k")] {
        let now = Moment::at_micros(10_000_000_000);
        let (mut index, mut plain) = (Index::new(1 << 20, Span::millis(1 << 40)), PlainList::default());
        for n in 0..live {
            let Ok(checked) = scope(n).checked() else { continue };
            index.enter(&checked, now, now);
            plain.enter(&checked, now);
        }
        let tags: [&str; 3] = ["tag-17", "north", "photo"];
        let facts = |n: u64| Facts {
            object: n * 13,
            part: 0,
            group: Some(n as u32 % 9_000),
            name: Some(&names[n as usize % names.len()]),
            tags: Some(&tags),
        };
        let time = |many: u64, look: &dyn Fn(&Facts) -> Option<Moment>| {
            let begun = Instant::now();
            for n in 0..many {
                black_box(look(&facts(n)));
            }
            begun.elapsed().as_nanos() as f64 / many as f64
        };
        let many = if quick { 20_000 } else { 200_000 };
        let own = time(many, &|facts| index.from_when(facts));
        let list = time((4_000_000 / live).clamp(20, many), &|facts| plain.from_when(facts));
        figures.set(&format!("lookup_ns_{label}"), own);
        figures.set(&format!("lookup_plain_ns_{label}"), list);
        figures.set(&format!("lookup_to_plain_{label}_share"), own / list);
        figures.set(&format!("index_bytes_{label}"), index.bytes() as f64);
    }
    let index = Index::new(1 << 20, Span::millis(1 << 40));
    let facts = Facts { object: 5, part: 0, group: None, name: None, tags: None };
    let begun = Instant::now();
    for _ in 0..1_000_000 {
        black_box(index.from_when(black_box(&facts)));
    }
    figures.set("lookup_ns_none", begun.elapsed().as_nanos() as f64 / 1e6);
}

const TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

fn record(n: u64) -> Vec<u8> {
    format!("{{\"number\":{n},\"term\":3,\"scope\":{{\"prefix\":\"case/{n}/\"}},\"key\":\"k{n}\",\"x\":\"{:040}\"}}", n)
        .into_bytes()
}

/// Appends a second, each with a sync of its own and a hundred to a sync, in both stores.
fn appends(quick: bool, figures: &mut Figures) {
    let scratch = Scratch::new();
    for (group, rounds) in [(1u64, if quick { 100 } else { 1_000 }), (100, if quick { 20 } else { 200 })] {
        let label = if group == 1 { "single" } else { "grouped" };
        let folder = Folder::open(&scratch.file(&format!("log-{group}"))).expect("a folder");
        let (mut log, _) = Log::open(folder, 8 << 20).expect("a log");
        let begun = Instant::now();
        for round in 0..rounds {
            (0..group).for_each(|n| drop(log.append(&record(round * group + n))));
            log.sync().expect("it is kept");
        }
        let per_second = (rounds * group) as f64 / begun.elapsed().as_secs_f64();
        figures.set(&format!("appends_per_s_{label}"), per_second);
        let database = Database::create(scratch.file(&format!("redb-{group}"))).expect("a database");
        let begun = Instant::now();
        for round in 0..rounds {
            let write = database.begin_write().expect("a transaction");
            {
                let mut table = write.open_table(TABLE).expect("a table");
                for n in 0..group {
                    let number = round * group + n;
                    table.insert(number, record(number).as_slice()).expect("room");
                }
            }
            write.commit().expect("it is kept");
        }
        let per_second = (rounds * group) as f64 / begun.elapsed().as_secs_f64();
        figures.set(&format!("redb_appends_per_s_{label}"), per_second);
    }
}

fn recovery(quick: bool, figures: &mut Figures) {
    let sizes: &[(u64, &str)] =
        if quick { &[(100_000, "100k")] } else { &[(100_000, "100k"), (1_000_000, "1m")] };
    for (records, label) in sizes {
        let scratch = Scratch::new();
        let path = scratch.file("log");
        let (mut log, _) = Log::open(Folder::open(&path).expect("a folder"), 8 << 20).expect("a log");
        for n in 0..*records {
            log.append(&record(n)).expect("room");
            if n % 1_000 == 0 {
                log.sync().expect("it is kept");
            }
        }
        log.sync().expect("it is kept");
        drop(log);
        let begun = Instant::now();
        let (_, found) = Log::open(Folder::open(&path).expect("a folder"), 8 << 20).expect("a log");
        figures.set(&format!("recovery_ms_{label}"), begun.elapsed().as_secs_f64() * 1e3);
        assert_eq!(found.records.len() as u64, *records);
        let database = Database::create(scratch.file("redb")).expect("a database");
        let write = database.begin_write().expect("a transaction");
        {
            let mut table = write.open_table(TABLE).expect("a table");
            for n in 0..*records {
                table.insert(n, record(n).as_slice()).expect("room");
            }
        }
        write.commit().expect("it is kept");
        drop(database);
        let begun = Instant::now();
        let database = Database::create(scratch.file("redb")).expect("a database");
        let read = database.begin_read().expect("a transaction");
        let table = read.open_table(TABLE).expect("a table");
        let rows = table.iter().expect("rows").filter_map(Result::ok);
        let rows: Vec<Vec<u8>> = rows.map(|(_, value)| value.value().to_vec()).collect();
        figures.set(&format!("redb_recovery_ms_{label}"), begun.elapsed().as_secs_f64() * 1e3);
        assert_eq!(rows.len() as u64, *records);
    }
}

/// A log that dies after each of its steps: what was told to be kept, and did not come back.
fn crashes(quick: bool, figures: &mut Figures) {
    let (mut tried, mut lost) = (0u64, 0u64);
    let steps = if quick { 120 } else { 600 };
    for dies_at in 4..steps {
        let Ok((mut log, _)) = Log::open(Disk::new().dying(dies_at), 700) else { continue };
        let mut kept = 0;
        for n in 0..400 {
            if log.append(&record(n)).is_err() {
                break;
            }
            match log.sync() {
                Ok(number) => kept = number,
                Err(_) => break,
            }
        }
        let found = Log::open(log.into_files().after_crash(dies_at), 700);
        let came_back = found.map(|(log, _)| log.kept()).unwrap_or(0);
        tried += 1;
        lost += u64::from(came_back < kept);
    }
    figures.set("crash_points_tried", tried as f64);
    figures.set("crash_points_lost", lost as f64);
}
