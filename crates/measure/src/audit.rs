//! The measurement of the audit: a fleet of processes in which one router sleeps through a change and two stand-ins lie,
//! with the audit and, as the plain way beside it, with what members say and nothing shut out. What stand-in caches saw of
//! each download is the truth. Beside it 300 that return at once, and what a record costs in time and bytes.
use crate::Figures;
use crate::site::program;
use crate::three::Three;
use harestage::time::Moment;
use harestage_audit::chain::{Body, Link, Outcome};
use harestage_audit::history::{History, LinkOutcome};
use harestage_audit::messages::{KeeperMessage, ProcessMessage, Report, Role, Update, to_line};
use harestage_audit::obligations::{Obligations, SHAPE_GRACE};
use harestage_audit::record::Recorder;
use harestage_audit::stamp::{Stamp, Versions};
use harestage_fleet::Fleet;
use harestage_fleet::scenario::{ProcessForm, Runs, WayForm};
use harestage_fleet::timeline::Entry;
use harestage_keeper::columns;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Milliseconds of the play.
#[derive(Clone, Copy)]
struct Times {
    cut: u64,
    change: u64,
    healed: u64,
    end: u64,
    /// Downloads a second of each branch.
    rate: f64,
}

const STRAGGLER: &str = "router-west-1";
const MANY: usize = 300;

pub fn measure(quick: bool) -> Figures {
    let mut figures = Figures::new("audit");
    let times = match quick {
        true => Times { cut: 5_000, change: 5_500, healed: 14_500, end: 19_000, rate: 250.0 },
        false => Times { cut: 15_000, change: 16_000, healed: 40_000, end: 160_000, rate: 260.0 },
    };
    let binary = match program() {
        Ok(binary) => binary,
        Err(why) => {
            eprintln!("harestage-measure: {why}");
            return figures;
        }
    };
    let audited = play(false, times, &binary);
    let plain = play(true, times, &binary);
    report(&audited, &plain, &mut figures);
    costs(&mut figures);
    tampering(&mut figures);
    for (name, most) in [
        ("wrongly_sure", 0.0),
        ("gap_share", 0.001),
        ("liars_missed", 0.0),
        ("forbidden_acts_past_bound", 0.0),
        ("shut_out_wrongly", 0.0),
        ("service_peak_share", 0.8),
        ("service_drop_points", 0.5),
        ("record_ns", 200.0),
        ("tampered_missed", 0.0),
        ("catch_up_300_ms", 10_000.0),
    ] {
        figures.bound(name, most);
    }
    figures.at_least("processes", 20.0);
    figures.at_least("downloads", if quick { 10_000.0 } else { 100_000.0 });
    figures.at_least("plain_forbidden_acts", 1.0);
    figures.at_least("liars", 2.0);
    figures.at_least("tampered", 100.0);
    figures
}

struct Played {
    processes: usize,
    due: u64,
    due_ms: f64,
    cut_ms: f64,
    end_ms: f64,
    entries: Vec<Entry>,
    links: Vec<Link>,
    liars_found: usize,
    catch_up_ms: f64,
    peak_share: f64,
}

fn three(plain: bool, times: Times) -> Three {
    Three {
        name: if plain { "plain".into() } else { "audited".into() },
        lasts_ms: times.end,
        services: 3,
        keepers: 1,
        own_feeds: true,
        routers_a_branch: 3,
        hub_capacity: 1_000.0,
        archive_capacity: 600.0,
        rate: times.rate,
        objects: 300,
        marks_all: true,
        plain,
        ..Three::default()
    }
}

fn liars() -> ProcessForm {
    let stamp = |digest: u64| Stamp { digest, shape: 1, purge: 0 }.to_string();
    let liar = |by: &str, hub: &str, digest: u64| {
        json!({"hub": format!("!{hub}"), "by": by, "place": "br-west", "stamp": stamp(digest), "rate": 6.0,
            "begins_ms": 3_000, "lasts_ms": 600_000})
    };
    // A tie that no version gives br-west, and one that it has under a stamp that nobody declared.
    let file = json!({"liars": [liar("liar-1", "hub-east-1", 7), liar("liar-2", "hub-west-1", 8)]});
    ProcessForm {
        name: "liars".into(),
        site: "br-west".into(),
        runs: Runs::Standin,
        file: file.as_object().cloned().unwrap_or_default(),
        words: Vec::new(),
        ports: Vec::new(),
        starts_ms: 0,
        clock_off_ms: 0,
        forgets_unsynced: false,
    }
}

fn play(plain: bool, times: Times, binary: &Path) -> Played {
    let mut scenario = three(plain, times).scenario();
    scenario.processes.push(liars());
    let mut fleet = Fleet::launch(scenario, binary).unwrap_or_else(|why| panic!("{why}"));
    let processes = fleet.running();
    let until = |fleet: &mut Fleet, ms: u64| {
        let left = ms as f64 - fleet.timeline().now_ms();
        fleet.play_for(Duration::from_millis(left.max(0.0) as u64));
    };
    until(&mut fleet, times.cut);
    for other in ["feed-west", "keeper-1"] {
        fleet.set_way(WayForm {
            from: STRAGGLER.into(),
            to: other.into(),
            silent: true,
            both: true,
            ..WayForm::default()
        });
    }
    until(&mut fleet, times.change);
    let before = fleet.timeline().now_ms();
    let controls: Vec<String> = (1..=3)
        .filter_map(|n| fleet.address(&format!("@control-{n}")))
        .flat_map(|at| ["--control".to_string(), at.to_string()])
        .collect();
    let _ = Command::new(binary).args(["site", "leave", "north"]).args(&controls).output();
    // Due is the first version of the change, when the keeper has heard of it.
    let first = fleet.wait_for(Duration::from_secs(10), |e| {
        e.by == "keeper-1" && e.says == "version" && e.at_ms >= before
    });
    let due = first.as_ref().and_then(|e| e.number("number")).unwrap_or(0.0) as u64;
    let due_ms = first.map_or(f64::NAN, |e| e.at_ms);
    until(&mut fleet, times.healed);
    for other in ["feed-west", "keeper-1"] {
        fleet.heal(STRAGGLER, other);
    }
    let keeper = fleet.address("@keeper-1");
    until(&mut fleet, times.end - 1_500);
    let found = keeper.map_or(0, |at| liars_found(at, binary));
    // Straight to where it listens: the rig looks each caller of a link up, which 300 at once would make everyone wait for.
    let own = fleet.address("!keeper-1");
    let (catch_up_ms, peak_share) = match own.filter(|_| !plain) {
        Some(at) => catch_up(&mut fleet, at),
        None => (0.0, 0.0),
    };
    let folder = fleet.disk("keeper-1").map(|disk| disk.path.join("files"));
    let _ = fleet.finish();
    // For whoever looks for a cause.
    let path = format!("target/measure/audit-{}.jsonl", if plain { "plain" } else { "audited" });
    let _ = std::fs::create_dir_all("target/measure")
        .and_then(|()| std::fs::write(path, fleet.timeline().json_lines()));
    let links = folder.map_or(Vec::new(), |folder| read_files(&folder));
    let entries = fleet.timeline().all();
    let (cut_ms, end_ms) = (times.cut as f64, times.end as f64 - 2_000.0);
    Played {
        processes,
        due,
        due_ms,
        cut_ms,
        end_ms,
        entries,
        links,
        liars_found: found,
        catch_up_ms,
        peak_share,
    }
}

fn read_files(folder: &PathBuf) -> Vec<Link> {
    let mut names: Vec<PathBuf> = std::fs::read_dir(folder)
        .map(|entries| entries.flatten().map(|entry| entry.path()).collect())
        .unwrap_or_default();
    names.sort();
    let parquet = names.iter().filter(|path| path.extension().is_some_and(|end| end == "parquet"));
    parquet.flat_map(|path| columns::read("records", std::fs::read(path).unwrap_or_default()).0).collect()
}

fn liars_found(keeper: SocketAddr, binary: &Path) -> usize {
    let said = Command::new(binary)
        .args(["audit", "status", "--json", "--keeper", &keeper.to_string()])
        .output()
        .map(|output| output.stdout)
        .unwrap_or_default();
    let status: Value = serde_json::from_slice(&said).unwrap_or_default();
    let found = status["findings"].as_array().cloned().unwrap_or_default();
    ["liar-1", "liar-2"].iter().filter(|liar| found.iter().any(|f| f["member"] == **liar)).count()
}

/// 300 members that come back at once with the version from before; until all of them have been brought up, and what of a
/// core the keeper took in its worst quarter of a second meanwhile.
fn catch_up(fleet: &mut Fleet, keeper: SocketAddr) -> (f64, f64) {
    let id =
        fleet.timeline().all().into_iter().rfind(|e| e.says == "started" && e.text("process") == "keeper-1");
    let id = id.and_then(|e| e.number("id")).unwrap_or(0.0) as u32;
    let done = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(Mutex::new(Vec::<String>::new()));
    let begun = Instant::now();
    let threads: Vec<_> = (0..MANY)
        .map(|n| {
            let (done, failed) = (done.clone(), failed.clone());
            std::thread::spawn(move || match returns(n, keeper) {
                Ok(()) => drop(done.fetch_add(1, Ordering::Relaxed)),
                Err(why) => failed.lock().unwrap_or_else(|p| p.into_inner()).push(why),
            })
        })
        .collect();
    let (mut peak, mut last, mut looked) = (0.0f64, cpu_ms(id), Instant::now());
    while threads.iter().any(|thread| !thread.is_finished()) && begun.elapsed() < Duration::from_secs(30) {
        fleet.play_for(Duration::from_millis(250));
        let (now, at) = (cpu_ms(id), Instant::now());
        peak = peak.max((now - last) / (at - looked).as_secs_f64() / 1e3);
        (last, looked) = (now, at);
    }
    let took = begun.elapsed().as_secs_f64() * 1e3;
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let all = done.load(Ordering::Relaxed) as usize == MANY;
    failed
        .lock()
        .unwrap_or_else(|p| p.into_inner())
        .iter()
        .take(1)
        .for_each(|why| eprintln!("catch up: {why}"));
    (if all { took } else { f64::NAN }, peak)
}

/// Processor time of a process so far, by the kernel's clock ticks of 10 ms.
fn cpu_ms(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_ascii_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) * 10.0
}

fn returns(n: usize, keeper: SocketAddr) -> Result<(), String> {
    let told = |why: std::io::Error| why.to_string();
    let now = || {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        Moment::at_micros(unix.as_micros() as u64)
    };
    let member = format!("many-{n}");
    let goes = |shape: u64| Versions { build: "many".into(), shape, ..Versions::default() };
    let mut recorder = Recorder::new(&member, 1, vec!["clip".into()], goes(1), None, now());
    (0..200u64).for_each(|id| recorder.download_ended(0, Outcome::Fulfilled, id, now()));
    let stream = TcpStream::connect_timeout(&keeper, Duration::from_secs(2)).map_err(told)?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).map_err(told)?;
    let mut lines = BufReader::new(stream.try_clone().map_err(told)?);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(25) {
        recorder.tick(now());
        let report = Report {
            member: member.clone(),
            start: 1,
            role: Role::Router,
            site: format!("br-{}", ["east", "west", "north"][n % 3]),
            now_ms: now().micros() / 1_000,
            stamp: recorder.stamp(),
            links: recorder.pending_links(),
            rejected: None,
        };
        (&stream).write_all(&to_line(&ProcessMessage::Report(Box::new(report)))).map_err(told)?;
        let mut answer = String::new();
        lines.read_line(&mut answer).map_err(told)?;
        let KeeperMessage::Ack { start, upto, update: bring, .. } =
            serde_json::from_str(&answer).map_err(|why| why.to_string())?
        else {
            return Err("the keeper does not speak".into());
        };
        recorder.acknowledged(start, upto);
        if let Some(Update::Membership { event }) = bring {
            let event: Value = serde_json::from_str(&event).map_err(|why| why.to_string())?;
            recorder.set_versions(goes(event["version"].as_u64().unwrap_or(1)), now());
        }
        if recorder.versions().shape > 1 && recorder.is_fully_acknowledged() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    Err(format!("{member} was not brought up"))
}

/// By member and stamp.
type Many = BTreeMap<(String, Stamp), u64>;

fn report(audited: &Played, plain: &Played, figures: &mut Figures) {
    figures.set("processes", audited.processes as f64);
    let truth: Many = audited
        .entries
        .iter()
        .filter(|e| e.says == "acted")
        .filter_map(|e| {
            Some(((e.text("by").to_string(), e.text("stamp").parse().ok()?), e.number("downloads")? as u64))
        })
        .fold(BTreeMap::new(), |mut all, (key, many)| {
            *all.entry(key).or_insert(0) += many;
            all
        });
    let told = told(&audited.links);
    let downloads: u64 = truth.values().sum();
    let right: u64 = truth.iter().map(|(key, many)| (*many).min(told.get(key).copied().unwrap_or(0))).sum();
    // What was fulfilled was pulled: more of it under a stamp than the stand-ins saw would be said and not be so.
    let fulfilled = fulfilled(&audited.links);
    let over: u64 =
        fulfilled.iter().map(|(key, many)| many.saturating_sub(truth.get(key).copied().unwrap_or(0))).sum();
    figures.set("downloads", downloads as f64);
    figures.set("right_share", right as f64 / downloads.max(1) as f64);
    figures.set("gap_share", 1.0 - right as f64 / downloads.max(1) as f64);
    figures.set("wrongly_sure", over as f64);
    figures.set("liars", 2.0);
    figures.set("liars_found", audited.liars_found as f64);
    figures.set("liars_missed", 2.0 - audited.liars_found as f64);
    let past = |played: &Played| -> f64 {
        let bound = played.due_ms + SHAPE_GRACE.forbidden_after.as_micros() as f64 / 1e3;
        let acts = played.entries.iter().filter(|e| e.says == "acts" && e.at_ms > bound + 250.0);
        let old = |e: &&Entry| {
            e.text("stamp").parse::<Stamp>().is_ok_and(|stamp| stamp.shape > 0 && stamp.shape < played.due)
        };
        acts.filter(|e| e.text("by").starts_with("router-"))
            .filter(old)
            .filter_map(|e| e.number("pulls"))
            .sum()
    };
    figures.set("forbidden_acts_past_bound", past(audited));
    figures.set("plain_forbidden_acts", past(plain));
    let shut = audited.entries.iter().filter(|e| e.says == "shut out");
    let wrongly =
        shut.filter(|e| e.text("member") != STRAGGLER && !e.text("member").starts_with("many-")).count();
    figures.set("shut_out_wrongly", wrongly as f64);
    figures.set("catch_up_300_ms", audited.catch_up_ms);
    figures.set("service_peak_share", audited.peak_share);
    let served = |played: &Played| {
        let sum = |field: &str| -> f64 {
            // From the cut on: before, routers and caches are cold, each time a little differently.
            let within = |e: &&Entry| e.at_ms > played.cut_ms && e.at_ms < played.end_ms;
            let crowd = played.entries.iter().filter(|e| e.says == "crowd").filter(within);
            crowd.filter_map(|e| e.number(field)).sum()
        };
        sum("benefit_served") / sum("benefit_asked").max(1e-9)
    };
    figures.set("served", served(audited));
    figures.set("served_plain", served(plain));
    figures.set("service_drop_points", ((served(plain) - served(audited)) * 100.0).max(0.0));
    let lost =
        audited.entries.iter().filter(|e| e.says == "crowd").filter_map(|e| e.number("lost")).sum::<f64>();
    figures.set("downloads_lost", lost);
}

fn told(links: &[Link]) -> Many {
    let mut told = BTreeMap::new();
    for link in links.iter().filter(|link| link.member.starts_with("router-")) {
        if let Body::Interval(span) = &link.body {
            *told.entry((link.member.clone(), span.stamp)).or_insert(0) += span.download_count();
        }
    }
    told
}

fn fulfilled(links: &[Link]) -> Many {
    let mut many = BTreeMap::new();
    for link in links.iter().filter(|link| link.member.starts_with("router-")) {
        if let Body::Interval(span) = &link.body {
            let good = span.downloads.iter().filter(|count| count.outcome == Outcome::Fulfilled);
            *many.entry((link.member.clone(), span.stamp)).or_insert(0) += good.map(|c| c.count).sum::<u64>();
        }
    }
    many
}

/// What a record costs on the ordinary path, and on disk.
fn costs(figures: &mut Figures) {
    const DOWNLOADS: u64 = 1_000_000;
    let at = |n: u64| Moment::at_micros(1_000_000 + n * 1_000);
    let goes = Versions { build: "1".into(), shape: 3, ..Versions::default() };
    let contents: Vec<String> = ["clip", "page", "filing"].map(String::from).to_vec();
    let mut recorder = Recorder::new("router-1", 1, contents, goes, None, at(0));
    let (mut links, mut spent) = (Vec::new(), Duration::ZERO);
    let mut hashed = 0x9e37_79b9_7f4a_7c15u64;
    for batch in 0..DOWNLOADS / 1_000 {
        let begun = Instant::now();
        for n in batch * 1_000..(batch + 1) * 1_000 {
            hashed = hashed.wrapping_mul(0xbf58_476d_1ce4_e5b9).wrapping_add(n);
            recorder.pull_sent("s-0", at(n));
            recorder.download_ended_under(
                recorder.stamp_sequence(),
                (n % 3) as usize,
                Outcome::Fulfilled,
                hashed,
                at(n),
            );
        }
        recorder.tick(at((batch + 1) * 1_000));
        spent += begun.elapsed();
        links.extend(recorder.pending_links());
        recorder.acknowledged(1, u64::MAX);
    }
    figures.set("record_ns", spent.as_secs_f64() * 1e9 / DOWNLOADS as f64);
    let json: usize = links.iter().map(|link| to_line(link).len()).sum();
    let parquet = columns::write(&links).map_or(f64::NAN, |bytes| bytes.len() as f64);
    figures.set("bytes_per_million", parquet);
    figures.set("json_bytes_per_million", json as f64);
    let begun = Instant::now();
    let (mut file, owed) = (History::default(), Obligations::default());
    links.iter().for_each(|link| assert_eq!(file.add_link(link, &owed, at(DOWNLOADS)), LinkOutcome::New));
    figures.set("links_per_s", links.len() as f64 / begun.elapsed().as_secs_f64());
    let mark = [",by=router-west-1", ",for=br-west", ",goes=0123456789abcdef.82.17"].concat();
    figures.set("mark_bytes", mark.len() as f64);
}

/// Records that are altered in every way that a row can be, each in a file of its own among good ones.
fn tampering(figures: &mut Figures) {
    let at = |ms: u64| Moment::at_micros(1_000_000 + ms * 1_000);
    let mut recorder = Recorder::new("router-1", 1, vec!["clip".into()], Versions::default(), None, at(0));
    for second in 0..30u64 {
        (0..40).for_each(|n| {
            recorder.download_ended(0, Outcome::Fulfilled, second * 40 + n, at(second * 1_000))
        });
        recorder.tick(at(second * 1_000 + 1_000));
    }
    let links = recorder.pending_links();
    type Change = fn(&mut Link);
    let changes: [Change; 5] = [
        |link| link.at_ms += 1,
        |link| link.number += 1,
        |link| link.start += 1,
        |link| link.previous_hash = "0".repeat(64),
        |link| {
            if let Body::Interval(span) = &mut link.body {
                span.downloads[0].count += 1;
            } else {
                link.member = "router-2".into();
            }
        },
    ];
    let (mut tampered, mut found) = (0, 0);
    for change in changes {
        for n in 0..links.len() {
            let mut altered = links.clone();
            change(&mut altered[n]);
            let Ok(bytes) = columns::write(&altered) else { continue };
            let (read, wrong) = columns::read("altered", bytes);
            tampered += 1;
            found += usize::from(wrong.iter().any(|w| w.row == Some(n + 1)) && read.len() == links.len() - 1);
        }
    }
    // One that was made whole under its new words: the chain shows it.
    for n in 0..links.len() - 1 {
        let mut altered = links.clone();
        let old = &links[n];
        altered[n] = Link::new(
            &old.member,
            old.start,
            old.number,
            &old.previous_hash,
            old.at_ms + 1,
            old.body.clone(),
        );
        let (mut file, owed) = (History::default(), Obligations::default());
        let refused = altered
            .iter()
            .any(|link| matches!(file.add_link(link, &owed, at(60_000)), LinkOutcome::Rejected(_)));
        tampered += 1;
        found += usize::from(refused);
    }
    figures.set("tampered", tampered as f64);
    figures.set("tampered_found", found as f64);
    figures.set("tampered_missed", (tampered - found) as f64);
}
