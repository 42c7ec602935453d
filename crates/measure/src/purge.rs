//! The measurement of purges, as far as they stand: the index beside a plain list, the log beside redb, and crashes of
//! the log.
use crate::rig::*;
use crate::{Figures, quantile};
use harestage::time::{Moment, Span};
use harestage_purge::index::{Index, LinearIndex};
use harestage_purge::messages::{Request, Response, to_line};
use harestage_purge::scope::{CopyAttributes, Scope};
use harestage_purger::Purger;
use harestage_segments::simulated::SimulatedDisk;
use harestage_segments::{Folder, Log};
use harestage_shape::config::ShapeConfig;
use harestage_standins::{Archive, ArchiveScript, Caller, Fault, Link, pull};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::hint::black_box;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

pub fn measure(quick: bool) -> Figures {
    let mut figures = Figures::new("purge");
    look_ups(quick, &mut figures);
    appends(quick, &mut figures);
    recovery(quick, &mut figures);
    crashes(quick, &mut figures);
    fleet(quick, &mut figures);
    figures.bound("older_than_promised", 0.0);
    figures.bound("oldest_copy_over_promise_max", 1.0);
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
        let (mut index, mut plain) = (Index::new(1 << 20, Span::millis(1 << 40)), LinearIndex::default());
        for n in 0..live {
            let Ok(checked) = scope(n).compile() else { continue };
            index.insert(&checked, now, now);
            plain.insert(&checked, now);
        }
        let tags: [&str; 3] = ["tag-17", "north", "photo"];
        let facts = |n: u64| CopyAttributes {
            object: n * 13,
            part: 0,
            group: Some(n as u32 % 9_000),
            name: Some(&names[n as usize % names.len()]),
            tags: Some(&tags),
        };
        let time = |many: u64, look: &dyn Fn(&CopyAttributes) -> Option<Moment>| {
            let begun = Instant::now();
            for n in 0..many {
                black_box(look(&facts(n)));
            }
            begun.elapsed().as_nanos() as f64 / many as f64
        };
        let many = if quick { 20_000 } else { 200_000 };
        let own = time(many, &|facts| index.newest_purge(facts));
        let list = time((4_000_000 / live).clamp(20, many), &|facts| plain.newest_purge(facts));
        figures.set(&format!("lookup_ns_{label}"), own);
        figures.set(&format!("lookup_plain_ns_{label}"), list);
        figures.set(&format!("lookup_to_plain_{label}_share"), own / list);
        figures.set(&format!("index_bytes_{label}"), index.estimated_bytes() as f64);
    }
    let index = Index::new(1 << 20, Span::millis(1 << 40));
    let facts = CopyAttributes { object: 5, part: 0, group: None, name: None, tags: None };
    let begun = Instant::now();
    for _ in 0..1_000_000 {
        black_box(index.newest_purge(black_box(&facts)));
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
        let Ok((mut log, _)) = Log::open(SimulatedDisk::new().losing_power_after(dies_at), 700) else {
            continue;
        };
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
        let came_back = found.map(|(log, _)| log.last_synced()).unwrap_or(0);
        tried += 1;
        lost += u64::from(came_back < kept);
    }
    figures.set("crash_points_tried", tried as f64);
    figures.set("crash_points_lost", lost as f64);
}

/// Starts the service of purges on a folder.
pub fn start_purger(listen: SocketAddr, folder: &Path) -> Running {
    let run = move |stop: async_channel::Receiver<()>, folder: std::path::PathBuf, log: slog::Logger| {
        let until = Instant::now() + Duration::from_secs(10);
        loop {
            match Purger::open(listen, &folder, log.clone()) {
                Ok(purger) => return drop(purger.serve(stop)),
                Err(why) => assert!(Instant::now() < until, "{why}"),
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    Running::of(run, folder)
}

/// A call to the service of purges, and its answer.
pub fn ask(service: SocketAddr, call: &Request) -> Option<Response> {
    let stream = TcpStream::connect_timeout(&service, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    (&stream).write_all(&to_line(call)).ok()?;
    let mut text = String::new();
    BufReader::new(stream).read_line(&mut text).ok()?;
    serde_json::from_str(&text).ok()
}

/// Four hubs, one of which falls silent now and then. After each purge every hub is asked for a copy of what it covered,
/// as soon as the purge is reported; the plain way asks at the same moment whoever was told, and fences nobody: what the
/// silent hub gives then is what a best effort leaves behind.
fn fleet(quick: bool, figures: &mut Figures) {
    const HUBS: usize = 4;
    let purges = if quick { 120 } else { 1_000 };
    let archive =
        Archive::open(ArchiveScript { capacity: 1e5, answers_in_ms: 2, ..ArchiveScript::default() });
    let (service, scratch) = (free_address(), Scratch::new());
    let _service = start_purger(service, &scratch.file("purges"));
    let addresses: Vec<SocketAddr> = (0..HUBS).map(|_| free_address()).collect();
    let forms = addresses.iter().enumerate().map(|(n, at)| hub_form(&format!("h{n}"), *at, 1e5, 0));
    let shape = ShapeConfig {
        version: 1,
        archive: archive_form(&archive, 1e5),
        hubs: forms.collect(),
        branches: Vec::new(),
        links: Vec::new(),
    };
    let links: Vec<Link> = (0..HUBS).map(|_| Link::to(service)).collect();
    let _hubs: Vec<Running> = addresses
        .iter()
        .zip(&links)
        .enumerate()
        .map(|(n, (at, link))| start_hub_with_purges(&format!("h{n}"), *at, shape.clone(), link.address))
        .collect();
    let settled = || {
        let all_free = |status: &harestage_purge::messages::Status| {
            status.members.len() == HUBS && status.members.iter().all(|member| !member.fenced)
        };
        matches!(ask(service, &Request::Status), Some(Response::Status(status)) if all_free(&status))
    };
    let until = Instant::now() + Duration::from_secs(20);
    while !settled() {
        assert!(Instant::now() < until, "the hubs never followed");
        std::thread::sleep(Duration::from_millis(20));
    }
    let callers: Vec<Caller> = addresses.iter().filter_map(|at| Caller::to(*at).ok()).collect();
    let dated = |hub: usize, object: u64, id: u64| {
        let reply = callers[hub].ask(&pull(id, "clip", object, 3_000), Duration::from_secs(3))?;
        Some(reply.copy?.dated_ms)
    };
    let (mut reach, mut over, mut older, mut plain_older, mut fenced) =
        (Vec::new(), 0.0f64, 0u64, 0u64, 0u64);
    let mut id = 1;
    for n in 0..purges {
        let (object, silent) = (n as u64 % 64, n % 12 == 7);
        for hub in 0..HUBS {
            id += 1;
            dated(hub, object, id);
        }
        if silent {
            links[3].set(Fault::Silent);
        }
        std::thread::sleep(Duration::from_millis(2));
        let asked_ms = unix_ms();
        let scope = match n % 4 {
            0 => Scope::Object(format!("{object:016x}")),
            1 => Scope::Prefix(format!("{object:016x}")),
            2 => Scope::Glob(format!("*{object:x}")),
            _ => Scope::Group(object as u32),
        };
        let call = Request::Submit { scope, tenant: n as u32 % 50, key: format!("k{n}") };
        let Some(Response::Accepted { number, promise }) = ask(service, &call) else { continue };
        let Some(Response::Report(report)) = ask(service, &Request::Wait { number }) else { continue };
        let since = Instant::now();
        reach.push(report.reached_ms as f64);
        over = over.max(report.reached_ms as f64 / promise.within_ms.max(1) as f64);
        let mut oldest_is_old = false;
        for hub in 0..HUBS {
            id += 1;
            // What a fenced hub gives is taken by nobody; the plain way would have taken it.
            let old = dated(hub, object, id).is_some_and(|dated| dated < asked_ms);
            let is_fenced = report.fenced.contains(&format!("h{hub}"));
            plain_older += u64::from(old && is_fenced);
            oldest_is_old |= old && !is_fenced;
        }
        older += u64::from(oldest_is_old || !report.kept);
        fenced += u64::from(!report.fenced.is_empty());
        if silent {
            links[3].set(Fault::None);
            let until = since + Duration::from_secs(10);
            while !settled() && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }
    figures.set("purges", reach.len() as f64);
    figures.set("older_than_promised", older as f64);
    figures.set("plain_older_than_promised", plain_older as f64);
    figures.set("oldest_copy_over_promise_max", over);
    figures.set("purges_with_a_fence", fenced as f64);
    for (name, part) in [("reach_ms_p50", 0.5), ("reach_ms_p99", 0.99), ("reach_ms_max", 1.0)] {
        figures.set(name, quantile(&mut reach, part));
    }
}
