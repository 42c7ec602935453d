//! The measurement of a hierarchy that changes shape: circles of waits, a change under load beside the naive way, and
//! large shapes beside plain maps.
use crate::branch::{self, Listed, Load, Tally};
use crate::plain::Plain;
use crate::rig::*;
use crate::script::Script;
use crate::{Figures, quantile};
use harestage::time::Moment;
use harestage_shape::config::{HubConfig, ShapeConfig};
use harestage_shape::{plan, topology, validation};
use harestage_standins::{Archive, ArchiveScript, Caller, Front, Machine, pull};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How much of everything.
struct Scale {
    loops: u64,
    change: Duration,
    big: (usize, usize),
}

pub fn measure(quick: bool) -> Figures {
    let scale = match quick {
        true => Scale { loops: 30, change: Duration::from_secs(9), big: (2_000, 120) },
        false => Scale { loops: 300, change: Duration::from_secs(16), big: (10_000, 500) },
    };
    let mut figures = Figures::new("shape");
    circles(&scale, &mut figures);
    change(&scale, &mut figures);
    large(&scale, &mut figures);
    figures.bound("loop_report_ms_max", 1_000.0);
    figures.bound("loop_break_ms_max", 1_000.0);
    figures.bound("archive_fetches_per_object_max", 1.0);
    figures.bound("archive_peak_share", 0.8);
    figures.bound("cold_peak_share", 0.8);
    figures.bound("service_drop_points", 2.0);
    figures
}

/// Hubs on versions that differ, each filling from the next.
fn circles(scale: &Scale, figures: &mut Figures) {
    let (mut breaks, mut reports) = (Vec::new(), Vec::new());
    for many in [2, 3, 5] {
        let archive = Archive::open(ArchiveScript { capacity: 4_000.0, ..ArchiveScript::default() });
        let addresses: Vec<SocketAddr> = (0..many).map(|_| free_address()).collect();
        let name = |n: usize| format!("h{}", n % many);
        let shape = |own: &str| {
            let up = |n: usize| if name(n) == own { vec![name(n + 1)] } else { vec!["archive".into()] };
            let hub = |(n, at): (usize, &SocketAddr)| HubConfig {
                up: up(n),
                ..hub_form(&name(n), *at, 3_000.0, 0)
            };
            let hubs = addresses.iter().enumerate().map(hub).collect();
            ShapeConfig {
                version: 1,
                archive: archive_form(&archive, 4_000.0),
                hubs,
                branches: Vec::new(),
                links: Vec::new(),
            }
        };
        let script = Script::open(1_000.0);
        let _hubs: Vec<Running> =
            (0..many).map(|n| start_hub(&name(n), addresses[n], Some(script.address), None)).collect();
        while script.members() < many {
            std::thread::sleep(Duration::from_millis(5));
        }
        script.tell(shape);
        std::thread::sleep(Duration::from_millis(200));
        let callers: Vec<Caller> = addresses.iter().filter_map(|at| Caller::to(*at).ok()).collect();
        let mut asked = Vec::new();
        for object in 0..scale.loops {
            callers.iter().for_each(|c| drop(c.send(&pull(object + 1, "clip", object, 3_000))));
            asked.push(Instant::now());
            let answered = callers.iter().filter_map(|c| c.next(Duration::from_secs(3))).count();
            assert_eq!(answered, many, "everyone who waits in a circle is answered");
            breaks.push(asked[object as usize].elapsed().as_secs_f64() * 1e3);
            std::thread::sleep(Duration::from_millis(3));
        }
        std::thread::sleep(Duration::from_millis(400));
        let reported = script.reported.lock().expect("no holder panics");
        for (at, _, seen) in reported.iter() {
            let object = u64::from_str_radix(&seen.object, 16).unwrap_or(0) as usize;
            reports.push((*at - asked[object]).as_secs_f64() * 1e3);
        }
        assert!(reported.len() as u64 >= scale.loops * 9 / 10, "{} of {}", reported.len(), scale.loops);
    }
    for (name, values) in [("loop_break_ms", &mut breaks), ("loop_report_ms", &mut reports)] {
        figures.set(&format!("{name}_median"), quantile(values, 0.5));
        figures.set(&format!("{name}_p99"), quantile(values, 0.99));
        figures.set(&format!("{name}_max"), quantile(values, 1.0));
        figures.set(&format!("{name}_count"), values.len() as f64);
    }
}

/// One run of branches and hubs.
struct Run {
    all: Tally,
    archive: Archive,
    begun: Instant,
    fresh: Option<Front>,
    complete: bool,
    cold_peak: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// No change at all: what service is without one.
    None,
    Planned,
    /// All ties flipped at once, homes not handed over.
    Naive,
}

const CAPACITY: f64 = 140.0;
const ARCHIVE: f64 = 40.0;
const RATE: f64 = 44.0;
/// Objects that are asked for, and those of them that were asked for before the run that counts.
const OBJECTS: u64 = 400;
const KNOWN: u64 = 200;

fn run(way: Way, lasts: Duration) -> Run {
    let script = ArchiveScript { capacity: ARCHIVE, answers_in_ms: 12, ..ArchiveScript::default() };
    let (archive, control) = (Archive::open(script), free_address());
    let scratch = Scratch::new();
    let machine = |started, cold_from: f64| Machine {
        capacity: CAPACITY,
        started,
        cold_from,
        cold: Duration::from_secs(6),
        falls_at: 2.0,
        falls_within: Duration::from_secs(1),
    };
    let behind: Vec<(String, SocketAddr)> = ["a", "b"].map(|name| (name.to_string(), free_address())).into();
    let fronts: Vec<Front> =
        behind.iter().map(|(_, address)| Front::of(*address, machine(Instant::now(), 1.0))).collect();
    let hubs: Vec<HubConfig> = behind
        .iter()
        .zip(&fronts)
        .map(|((name, _), front)| hub_form(name, front.address, CAPACITY, 0))
        .collect();
    let feeds = (0..3).map(|n| branch::form(&format!("br{n}"), RATE, &["a", "b"], free_address()));
    let first = ShapeConfig {
        version: 1,
        archive: archive_form(&archive, ARCHIVE),
        hubs,
        branches: feeds.collect(),
        links: Vec::new(),
    };
    let scripted = Script::open(ARCHIVE);
    let naive = way == Way::Naive;
    let service = (!naive).then(|| start_control(control, &scratch.file("journal"), &first));
    let told_by = if naive { scripted.address } else { control };
    let mut running: Vec<Running> = behind
        .iter()
        .map(|(name, address)| start_hub_as(name, *address, Some(told_by), None, !naive))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let listed: Vec<Listed> = match naive {
        true => {
            while scripted.members() < 2 {
                std::thread::sleep(Duration::from_millis(5));
            }
            scripted.tell(|_| first.clone());
            let both = first.hubs.iter().filter_map(|h| Some((h.name.clone(), h.address.parse().ok()?)));
            let both: std::collections::BTreeMap<String, SocketAddr> = both.collect();
            (0..3).map(|_| Arc::new(std::sync::Mutex::new(both.clone()))).collect()
        }
        false => {
            assert!(all_follow(control, &["a", "b"], Duration::from_secs(5)));
            let feeds = first.branches.iter().filter_map(|b| b.feed.as_ref()?.parse().ok());
            feeds.map(|feed| branch::follow(feed, stop.clone())).collect()
        }
    };
    std::thread::sleep(Duration::from_millis(700));
    let load = |n: u64| Load {
        rate: RATE,
        objects: OBJECTS,
        target: Duration::from_millis(300),
        gives_up: Duration::from_secs(2),
        seed: 40 + n,
    };
    // Caches that have run for a while: everything was asked for before the run that counts.
    let callers: Vec<Caller> = fronts.iter().filter_map(|front| Caller::to(front.address).ok()).collect();
    for object in 0..KNOWN {
        let _ = callers[object as usize % 2]
            .ask(&pull(object + 1, "clip", object, 3_000), Duration::from_secs(3));
        std::thread::sleep(Duration::from_millis(15));
    }
    let driven: Vec<_> =
        listed.iter().zip(0..).map(|(l, n)| branch::drive(l.clone(), load(n), lasts)).collect();
    std::thread::sleep(Duration::from_millis(1_000));
    let begun = Instant::now();
    let (mut fresh, mut complete) = (None, true);
    if way != Way::None {
        let address = free_address();
        running.push(start_hub_as("c", address, Some(told_by), None, !naive));
        let front = Front::of(address, machine(Instant::now(), 0.1));
        let mut wanted = first.clone();
        wanted.hubs.push(hub_form("c", front.address, CAPACITY, unix_ms()));
        wanted.branches.iter_mut().for_each(|branch| branch.hubs = vec!["a".into(), "c".into()]);
        fresh = Some(front.clone());
        if naive {
            while scripted.members() < 3 {
                std::thread::sleep(Duration::from_millis(2));
            }
            wanted.version = 2;
            scripted.tell(|_| wanted.clone());
            for listed in &listed {
                let mut listed = listed.lock().expect("no holder panics");
                listed.remove("b");
                listed.insert("c".into(), front.address);
            }
        } else {
            complete = apply(control, &wanted, "measure").unwrap_or(false);
        }
    }
    let mut all = Tally::default();
    driven.into_iter().filter_map(|driven| driven.join().ok()).for_each(|tally| all.add(&tally));
    stop.store(true, Ordering::Relaxed);
    drop(service);
    let cold_peak = fresh.as_ref().map_or(0.0, Front::peak_share);
    Run { all, archive, begun, fresh, complete, cold_peak }
}

fn change(scale: &Scale, figures: &mut Figures) {
    // Beside each other, so that whatever the machine does, it does to all three.
    let lasts = scale.change;
    let runs = [Way::None, Way::Planned, Way::Naive].map(|way| std::thread::spawn(move || run(way, lasts)));
    let [quiet, planned, naive] = runs.map(|run| run.join().expect("a run ends"));
    let drop_of = |run: &Run| (quiet.all.share() - run.all.share()) * 100.0;
    let took = |run: &Run, q: f64| {
        run.all.took_us.as_ref().map_or(0.0, |times| times.value_at_quantile(q) as f64 / 1e3)
    };
    figures.set("change_complete", f64::from(u8::from(planned.complete)));
    figures.set("quiet_in_time_share", quiet.all.share());
    figures.set("service_drop_points", drop_of(&planned));
    figures.set("naive_service_drop_points", drop_of(&naive));
    figures.set("archive_fetches_per_object_max", planned.archive.most_of_one(planned.begun).0 as f64);
    figures.set("naive_archive_fetches_per_object_max", naive.archive.most_of_one(naive.begun).0 as f64);
    figures.set("archive_peak_share", planned.archive.peak_share(planned.begun));
    figures.set("naive_archive_peak_share", naive.archive.peak_share(naive.begun));
    figures.set("cold_peak_share", planned.cold_peak);
    figures.set("naive_cold_peak_share", naive.cold_peak);
    let fell = |run: &Run| f64::from(u8::from(run.fresh.as_ref().is_some_and(Front::has_fallen)));
    figures.set("fresh_hub_fell", fell(&planned));
    figures.set("naive_fresh_hub_fell", fell(&naive));
    for (name, run) in [("quiet", &quiet), ("planned", &planned), ("naive", &naive)] {
        figures.set(&format!("{name}_p50_ms"), took(run, 0.5));
        figures.set(&format!("{name}_p99_ms"), took(run, 0.99));
        figures.set(&format!("{name}_failed"), run.all.failed as f64);
        figures.set(&format!("{name}_asked"), run.all.asked as f64);
    }
}

/// Five tiers: branches, three tiers of hubs, the archive; each place tied to two of the next.
pub fn large_form(branches: usize, hubs: usize) -> ShapeConfig {
    let tiers = [hubs * 7 / 10, hubs * 2 / 10, hubs - hubs * 7 / 10 - hubs * 2 / 10];
    let name = |tier: usize, n: usize| format!("t{tier}-{}", n % tiers[tier]);
    let hub = |tier: usize, n: usize| {
        let up = if tier == 2 {
            vec!["archive".into()]
        } else {
            vec![name(tier + 1, n), name(tier + 1, n * 7 + 1)]
        };
        let mut up: Vec<String> = up;
        up.dedup();
        let at = "127.0.0.1:1".parse().expect("an address");
        HubConfig { up, ..hub_form(&name(tier, n), at, 1e6, 0) }
    };
    let hubs =
        (0..3).flat_map(|tier| (0..tiers[tier]).map(move |n| (tier, n))).map(|(t, n)| hub(t, n)).collect();
    let branch = |n: usize| harestage_shape::config::BranchConfig {
        name: format!("br-{n}"),
        site: String::new(),
        load: 1.0 + (n % 7) as f64,
        hubs: vec![name(0, n), name(0, n * 3 + 1)],
        feed: None,
        feeds: Default::default(),
        caches: Vec::new(),
    };
    let archive = harestage_shape::config::ArchiveConfig {
        name: "archive".into(),
        address: "127.0.0.1:1".into(),
        capacity: 1e7,
        stops_at: 2.5,
        stops_within_ms: 3_000,
    };
    let branches = (0..branches).map(branch).map(|mut branch| {
        branch.hubs.dedup();
        branch
    });
    ShapeConfig { version: 1, archive, hubs, branches: branches.collect(), links: Vec::new() }
}

/// Versions that are kept alive for their memory.
const ALIVE: usize = 64;

fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0.0)
}

fn large(scale: &Scale, figures: &mut Figures) {
    let (branches, hubs) = scale.big;
    let from = large_form(branches, hubs);
    let mut to = from.clone();
    // A tenth of the branches are tied to another hub.
    let tier = hubs * 7 / 10;
    for branch in to.branches.iter_mut().step_by(10) {
        branch.hubs[0] = format!("t0-{}", (branch.load as usize * 31 + 5) % tier);
        branch.hubs.dedup();
    }
    let begun = Instant::now();
    let shape = topology::Shape::from_config(&from).expect("it holds");
    figures.set("check_ms", ms(|| validation::validate(&shape).map(|_| ()).expect("it holds")));
    let plan = plan::plan_change(&shape, &to, Moment::at_micros(0)).expect("there is a way");
    let versions: Vec<topology::Shape> =
        (1..=plan.steps.len()).map(|n| plan.shape_after(&shape, n, 1 + n as u64)).collect();
    assert_eq!(versions.len(), plan.steps.len());
    figures.set("plan_10k_branches_ms", begun.elapsed().as_secs_f64() * 1e3);
    figures.set("plan_steps", plan.steps.len() as f64);
    let (plain_from, plain_to) = (Plain::of(&from), Plain::of(&to));
    let begun = Instant::now();
    let plain = Plain::of(&from);
    figures.set("check_plain_ms", ms(|| assert!(plain.holds())));
    let steps = plain_from.steps_to(&plain_to);
    figures.set("plan_10k_plain_ms", begun.elapsed().as_secs_f64() * 1e3);
    figures.set("plan_plain_steps", steps.len() as f64);
    // Versions that are alive at once, each with one branch moved.
    let (moved, before) = (shape.find("br-7").expect("it is there"), resident_kb());
    let mut kept = vec![shape.clone()];
    for n in 0..ALIVE {
        let last = kept.last().expect("the first is there");
        let ties = [last.upstreams(moved)[0], topology::NodeIndex(1 + n as u32)];
        kept.push(last.with_upstreams(2 + n as u64, [(moved, &ties[..])]));
    }
    figures.set("version_kb", (resident_kb() - before) / ALIVE as f64);
    let before = resident_kb();
    let plain_kept: Vec<Plain> = (0..ALIVE).map(|_| plain_from.clone()).collect();
    figures.set("version_plain_kb", (resident_kb() - before) / plain_kept.len() as f64);
    drop((kept, plain_kept));
    figures.set("large_branches", branches as f64);
    figures.set("large_hubs", hubs as f64);
}

fn ms(work: impl FnOnce()) -> f64 {
    let begun = Instant::now();
    work();
    begun.elapsed().as_secs_f64() * 1e3
}
