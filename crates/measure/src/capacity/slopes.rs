//! How what each role spends grows with what drives it. Each part runs in a process of its own, so that its memory is its
//! own, and says its figures as one JSON object; virtual time throughout, no sockets.
use super::machine::{self, Busy};
use super::size::*;
use harestage::interface::{Action, ContentType, Event, ServiceProfile};
use harestage::policy::Policy;
use harestage::state::*;
use harestage::time::{Moment, Span};
use harestage_audit::chain::Outcome;
use harestage_audit::keeper::KeeperState;
use harestage_audit::messages::{ProcessMessage, Role as Audited, to_line as audit_line};
use harestage_audit::process::{AuditedProcess, ProcessIdentity};
use harestage_audit::stamp::Versions;
use harestage_branch::board::{Board, Saying};
use harestage_keeper::store::Store;
use harestage_purge::follower::{Action as FollowerAction, Follower};
use harestage_purge::index::Index;
use harestage_purge::messages::{ToMember, to_line};
use harestage_purge::scope::{CompiledScope, CopyAttributes, Scope};
use harestage_purge::sequencer::{Item, LogEntry, Payload, RateLimit};
use harestage_purge::service::Service;
use harestage_segments::{Folder, Log};
use harestage_shape::config::{ArchiveConfig, BranchConfig, HubConfig, ShapeConfig};
use harestage_shape::control::{ChangeEvent, Effect, HubReport};
use harestage_shape::feed;
use harestage_shape::topology::Shape;
use harestage_sites::controller::SiteController;
use harestage_sites::fallback;
use harestage_sites::plan::{self, SitePlans};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::hint::black_box;

pub type Found = BTreeMap<String, f64>;

/// The parts, by the names under which they are run.
pub fn part(name: &str, size: u64) -> Option<Found> {
    Some(match name {
        "plans" => plans(size as usize),
        "board" => board(size),
        "folds" => folds(),
        "index" => index(size),
        "log" => log(size),
        "record" => record(size),
        "keeper" => keeper(size as usize),
        "change" => change(size as usize),
        "core" => core(size),
        "cut" => cut(size),
        "walk" => walk(size),
        "sockets" => super::sockets::part(size as usize, true)?,
        "sockets-long" => super::sockets::part(size as usize, false)?,
        _ => return None,
    })
}

const BEGIN: Moment = Moment::at_micros(1_700_000_000_000_000);

fn own_mb() -> f64 {
    machine::resident_mb(std::process::id()).unwrap_or(f64::NAN)
}

/// Evenly spread over all numbers.
fn mixed(n: u64) -> u64 {
    let x = n.wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (x ^ (x >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb)
}

fn ms(begun: Busy) -> f64 {
    begun.elapsed().as_secs_f64() * 1e3
}

/// A shape of so many sites with all branches.
pub fn form(sites: usize) -> ShapeConfig {
    let hubs = sites * HUBS_A_SITE;
    let site = |n: usize| format!("site-{:02}", n % sites);
    let hub = |n: usize| HubConfig {
        name: format!("hub-{n}"),
        address: format!("127.0.0.1:{}", 10_000 + n),
        site: site(n),
        capacity: ROUTERS as f64 * 10.0 / hubs as f64 * 4.0,
        passes: 0.2,
        since_ms: 0,
        cold_from: 0.1,
        cold_ms: 6_000,
        falls_at: 2.0,
        falls_within_ms: 1_000,
        up: vec!["archive".into()],
    };
    let branch = |n: usize| BranchConfig {
        name: format!("br-{n}"),
        site: site(n),
        load: 10.0,
        // A hub of its own site, and one of the next.
        hubs: vec![
            format!("hub-{}", n % sites + sites * (n / sites % HUBS_A_SITE)),
            format!("hub-{}", (n + 1) % sites + sites * (n / sites % HUBS_A_SITE)),
        ],
        feed: None,
        feeds: BTreeMap::new(),
        caches: Vec::new(),
    };
    ShapeConfig {
        version: 1,
        archive: ArchiveConfig {
            name: "archive".into(),
            address: "127.0.0.1:9999".into(),
            capacity: ROUTERS as f64 * 10.0,
            stops_at: 2.5,
            stops_within_ms: 3_000,
        },
        hubs: (0..hubs).map(hub).collect(),
        branches: (0..ROUTERS).map(branch).collect(),
        links: Vec::new(),
    }
}

/// All plans of a version, those beside a site that is out, and what each place is handed.
fn plans(sites: usize) -> Found {
    let form = form(sites);
    let shape = Shape::from_config(&form).expect("the run's shape is right");
    let begun = Busy::now();
    let first = SitePlans::build(&shape, None, true, BEGIN);
    let of_ms = ms(begun);
    let mut moved = form.clone();
    moved.version = 2;
    moved.branches[0].hubs = vec!["hub-1".into(), "hub-2".into()];
    let moved = shape.successor(&moved).expect("the run's shape is right");
    let begun = Busy::now();
    let again = SitePlans::build(&moved, Some(&first), true, BEGIN);
    let again_ms = ms(begun);
    let begun = Busy::now();
    let beside = plan::plans_with_sites_out(&shape, &BTreeSet::from(["site-00".to_string()]), BEGIN);
    let beside_ms = ms(begun);
    let all: Vec<_> = again.all().cloned().collect();
    let (begun, mut bytes, mut most, mut handed) = (Busy::now(), 0, 0, 0);
    for (_, place) in shape.nodes() {
        let planned = fallback::plans_for_node(place.name(), all.iter());
        let own = serde_json::to_vec(&planned).unwrap_or_default().len();
        handed += planned.len();
        bytes += own;
        most = most.max(own);
    }
    let places = shape.nodes().count() as f64;
    Found::from([
        ("of_ms".into(), of_ms),
        ("again_ms".into(), again_ms),
        ("beside_ms".into(), beside_ms),
        ("beside_plans".into(), beside.len() as f64),
        ("hand_ms".into(), ms(begun)),
        ("plans".into(), all.len() as f64),
        ("plans_a_place".into(), handed as f64 / places),
        ("bytes_a_place".into(), bytes as f64 / places),
        ("bytes_a_place_max".into(), most as f64),
        ("resident_mb".into(), own_mb()),
    ])
}

fn fresh_board(sites: usize, now: Moment) -> Board {
    let shape = Shape::from_config(&form(sites)).expect("the run's shape is right");
    let form = feed::config_for_branch(&shape, "br-0").expect("it is a branch");
    let mut board = Board::new("br-0", 256, false, now);
    board.told(&form, Vec::new(), now);
    board
}

/// A board with so many live purges of objects: what it holds, and what a router that calls is told.
fn board(live: u64) -> Found {
    let mut now = BEGIN;
    let mut board = fresh_board(SITES, now);
    let bare: usize = whole_bytes(&board);
    let before = own_mb();
    let begun = Busy::now();
    for n in 0..live {
        now = now + Span::micros(3_600_000_000 / live);
        board.take(&[(CompiledScope::Object(mixed(n)), now)], n + 1);
    }
    let purge_us = ms(begun) * 1e3 / live as f64;
    let state = own_mb() - before;
    let begun = Busy::now();
    (0..50).for_each(|_| drop(board.beat(now)));
    let beat_us = ms(begun) * 1e3 / 50.0;
    let begun = Busy::now();
    let whole = whole_bytes(&board);
    Found::from([
        ("state_bytes".into(), state * 1e6),
        ("whole_bytes".into(), whole as f64),
        ("bare_bytes".into(), bare as f64),
        ("whole_ms".into(), ms(begun)),
        ("purge_us".into(), purge_us),
        ("beat_us".into(), beat_us),
    ])
}

fn whole_bytes(board: &Board) -> usize {
    let (sayings, _) = board.whole().expect("it waits for nothing");
    sayings.iter().zip(1..).map(|(saying, number)| saying.line(number, "br-0").len()).sum()
}

/// An hour of purges of single objects at the fleet's rate: how often they became purges of groups, which no object was
/// asked for.
fn folds() -> Found {
    let mut now = BEGIN;
    let mut board = fresh_board(SITES, now);
    let mut folds = 0;
    for n in 0..LIVE_PURGES {
        now = now + Span::micros(1_000_000 / PURGES_A_SECOND);
        let place = board.place();
        board.take(&[(CompiledScope::Object(mixed(n)), now)], n + 1);
        let said = board.after(place).map(|said| said.cloned().collect::<Vec<_>>()).unwrap_or_default();
        folds += u64::from(said.iter().any(|said| matches!(said, Saying::Purge { group: Some(_), .. })));
        if n % PURGES_A_SECOND == 0 {
            board.beat(now);
        }
    }
    let marks = feed::markers_event(LIVE_PURGES, LIVE_PURGES, now.micros() / 1_000, "").len();
    let purge = feed::purge_event(LIVE_PURGES, Some(mixed(1)), None, now.micros() / 1_000).len();
    Found::from([("folds".into(), folds as f64), ("router_line_bytes".into(), (marks + purge) as f64)])
}

/// The index of a hub with so many live purges of objects.
fn index(live: u64) -> Found {
    let before = own_mb();
    let mut index = Index::new(1 << 20, Span::millis(3_660_000));
    let mut now = BEGIN;
    let begun = Busy::now();
    for n in 0..live {
        now = now + Span::micros(3_600_000_000 / live);
        index.insert(&CompiledScope::Object(mixed(n)), now, now);
    }
    let enter_ns = ms(begun) * 1e6 / live as f64;
    let resident = (own_mb() - before) * 1e6;
    const LOOKS: u64 = 400_000;
    let begun = Busy::now();
    for n in 0..LOOKS {
        let facts =
            CopyAttributes { object: mixed(n % (2 * live)), part: 0, group: None, name: None, tags: None };
        black_box(index.newest_purge(black_box(&facts)));
    }
    Found::from([
        ("bytes".into(), index.estimated_bytes() as f64),
        ("resident_bytes".into(), resident),
        ("enter_ns".into(), enter_ns),
        ("look_ns".into(), ms(begun) * 1e6 / LOOKS as f64),
        ("folded".into(), index.total_folds() as f64),
    ])
}

fn entry(n: u64) -> LogEntry {
    let what = Payload::Purge {
        scope: Scope::Object(format!("{:016x}", mixed(n))),
        tenant: n as u32 % 50,
        key: format!("k{n}"),
    };
    LogEntry::Item(Item { number: n, term: 1, at_ms: BEGIN.micros() / 1_000 + n * 83, payload: what })
}

/// A log of so many live purges with their reports, opened again, and the service taken up from it.
fn log(live: u64) -> Found {
    let scratch = crate::rig::Scratch::new();
    let path = scratch.file("log");
    let (mut log, _) = Log::open(Folder::open(&path).expect("a folder"), 8 << 20).expect("a log");
    let (mut bytes, mut records) = (0, 0);
    let begun = Busy::now();
    let entries: Vec<LogEntry> = std::iter::once(LogEntry::Term { term: 1 })
        .chain((1..=live).flat_map(|n| [entry(n), LogEntry::Reported { term: 1, number: n }]))
        .collect();
    for entry in &entries {
        let record = serde_json::to_vec(entry).unwrap_or_default();
        bytes += record.len();
        records += 1;
        log.append(&record).expect("room");
        if records % 1_000 == 0 {
            log.sync().expect("it is kept");
        }
    }
    log.sync().expect("it is kept");
    let append_ms = ms(begun);
    drop(log);
    let begun = Busy::now();
    let (_, found) = Log::open(Folder::open(&path).expect("a folder"), 8 << 20).expect("a log");
    let reopen_ms = ms(begun);
    let begun = Busy::now();
    let read: Vec<LogEntry> =
        found.records.iter().filter_map(|record| serde_json::from_slice(&record.bytes).ok()).collect();
    let (service, _) = Service::open(&read, RateLimit { rate: 200.0, burst: 2_000.0 }, BEGIN);
    let take_up_ms = ms(begun);
    let begun = Busy::now();
    let whole = service.snapshot().len();
    Found::from([
        ("records".into(), records as f64),
        ("bytes".into(), bytes as f64),
        ("append_ms".into(), append_ms),
        ("reopen_ms".into(), reopen_ms),
        ("take_up_ms".into(), take_up_ms),
        ("whole_ms".into(), ms(begun)),
        ("whole_records".into(), whole as f64),
        ("left".into(), service.last() as f64),
    ])
}

fn goes(purge: u64) -> Versions {
    Versions { build: "0.1.0".into(), settings: 7, shape: 1, purge, term: 1, ..Versions::default() }
}

fn acting(n: usize, now: Moment) -> AuditedProcess {
    let who = ProcessIdentity {
        member: format!("router-{n}"),
        start: 1,
        role: Audited::Router,
        site: format!("br-{n}"),
        place: format!("br-{n}"),
    };
    AuditedProcess::new(who, vec!["clip".into()], goes(0), now)
}

/// Downloads that end, with purges that come among them, each at its place.
fn count(acting: &mut AuditedProcess, downloads: u64, purges: u64, has: u64, id: &mut u64, now: Moment) {
    let mut applied = 0;
    for n in 1..=downloads {
        *id += 1;
        while applied < purges && n * purges >= (applied + 1) * downloads {
            applied += 1;
            acting.set_versions(goes(has + applied), now);
        }
        acting.download_ended(0, Outcome::Fulfilled, mixed(*id), now);
    }
}

/// Between two reports of a process.
const REPORTS_EVERY: Span = Span::millis(200);

/// The record of one router at so many downloads a second: what it sends the keeper, with no purges and with the fleet's.
fn record(rate: u64) -> Found {
    const SECONDS: u64 = 30;
    let mut found = Found::new();
    for (purges, label) in [(0, "quiet"), (PURGES_A_SECOND, "purges")] {
        let mut acting = acting(0, BEGIN);
        let (mut bytes, mut links, mut id, mut last_purge) = (0usize, 0usize, 0u64, 0u64);
        let (mut waits, cpu) = (0usize, Busy::now());
        let steps = SECONDS * 1_000_000 / REPORTS_EVERY.as_micros();
        for step in 1..=steps {
            let now = BEGIN + Span::micros(REPORTS_EVERY.as_micros() * step);
            let upto = rate * step * REPORTS_EVERY.as_micros() / 1_000_000;
            let due = purges * step * REPORTS_EVERY.as_micros() / 1_000_000;
            count(&mut acting, upto - id, due - last_purge, last_purge, &mut id, now);
            last_purge = due;
            acting.tick(now);
            let report = acting.report(now);
            links += report.links.len();
            waits = waits.max(report.links.len());
            let upto = report.links.last().map(|link| link.number);
            bytes += audit_line(&ProcessMessage::Report(Box::new(report))).len();
            upto.into_iter().for_each(|upto| acting.recorder().acknowledged(1, upto));
        }
        found.insert(format!("bytes_a_second_{label}"), bytes as f64 / SECONDS as f64);
        found.insert(format!("links_a_second_{label}"), links as f64 / SECONDS as f64);
        found.insert(format!("core_share_{label}"), ms(cpu) / 1e3 / SECONDS as f64);
        found.insert(format!("links_dropped_{label}"), acting.recorder().dropped() as f64);
        found.insert(format!("links_a_report_max_{label}"), waits as f64);
    }
    found
}

/// The keeper with so many routers that report, each under the fleet's purges: its processor time, and what it keeps.
fn keeper(routers: usize) -> Found {
    const SECONDS: u64 = 2;
    /// Downloads that a router counts between two reports; the sketch of their ids is what a link holds most of.
    const DOWNLOADS: u64 = REQUESTS_A_ROUTER / 5;
    let scratch = crate::rig::Scratch::new();
    let (mut store, _) = Store::open(&scratch.file("store")).expect("a store");
    let (mut keep, _) = KeeperState::open(&[], BEGIN);
    let mut routers: Vec<AuditedProcess> = (0..routers).map(|n| acting(n, BEGIN)).collect();
    let (mut reports, mut links, mut kept_bytes, mut in_bytes) = (0u64, 0u64, 0u64, 0u64);
    let (mut hear, mut disk) = (std::time::Duration::ZERO, std::time::Duration::ZERO);
    let (mut id, mut purge) = (0u64, 0u64);
    let before = own_mb();
    for step in 1..=SECONDS * 5 {
        let now = BEGIN + Span::micros(REPORTS_EVERY.as_micros() * step);
        let due = PURGES_A_SECOND * step / 5;
        let mut sent = Vec::new();
        for acting in &mut routers {
            count(acting, DOWNLOADS, due - purge, purge, &mut id, now);
            acting.tick(now);
            sent.push(audit_line(&ProcessMessage::Report(Box::new(acting.report(now)))));
        }
        purge = due;
        for (text, acting) in sent.iter().zip(&mut routers) {
            in_bytes += text.len() as u64;
            let begun = Busy::now();
            let Ok(ProcessMessage::Report(report)) = serde_json::from_slice(text) else { continue };
            keep.purges_published(due, now);
            let new = keep.on_report(&report, now);
            hear += begun.elapsed();
            let begun = Busy::now();
            store.append(&new).expect("it is kept");
            disk += begun.elapsed();
            kept_bytes +=
                new.iter().map(|link| serde_json::to_vec(link).unwrap_or_default().len() as u64).sum::<u64>();
            let begun = Busy::now();
            let answer = keep.answer_report(&report, now);
            black_box(audit_line(&answer));
            hear += begun.elapsed();
            (reports, links) = (reports + 1, links + new.len() as u64);
            acting.on_answer(answer, now);
        }
        let begun = Busy::now();
        drop(keep.tick(now));
        hear += begun.elapsed();
        let begun = Busy::now();
        store.sync().expect("it is kept");
        disk += begun.elapsed();
    }
    let begun = Busy::now();
    drop(store.roll(true));
    let rolled = begun.elapsed();
    let files: u64 = folder_bytes(&scratch.file("store").join("files"));
    let seconds = SECONDS as f64;
    Found::from([
        ("reports".into(), reports as f64),
        ("us_a_report".into(), (hear + disk + rolled).as_secs_f64() * 1e6 / reports.max(1) as f64),
        ("core_share".into(), (hear + disk + rolled).as_secs_f64() / seconds),
        ("decide_share".into(), hear.as_secs_f64() / seconds),
        ("links_a_second".into(), links as f64 / seconds),
        ("in_bytes_a_second".into(), in_bytes as f64 / seconds),
        ("log_bytes_a_second".into(), kept_bytes as f64 / seconds),
        ("file_bytes_a_second".into(), files as f64 / seconds),
        ("resident_mb".into(), own_mb() - before),
    ])
}

fn folder_bytes(path: &std::path::Path) -> u64 {
    let entries = std::fs::read_dir(path).map(|entries| entries.flatten().collect::<Vec<_>>());
    entries.unwrap_or_default().iter().filter_map(|e| e.metadata().ok()).map(|meta| meta.len()).sum()
}

/// A burst of changes at so many sites, each asked for as soon as the one before has ended: how long each takes until it is
/// in force, as a way of 40 ms to the hubs and their reports make it, with what the service reckons meanwhile.
fn change(sites: usize) -> Found {
    const BURST: usize = 20;
    const WAY: Span = Span::millis(40);
    const BEAT: Span = Span::millis(50);
    /// Virtual time after which the burst is given up.
    const AT_MOST: Span = Span::millis(600_000);
    let first = form(sites);
    let (mut director, _) =
        SiteController::open(&[], Some(&first), BEGIN).unwrap_or_else(|why| panic!("{why}"));
    let hubs: Vec<(String, String)> =
        first.hubs.iter().map(|hub| (hub.name.clone(), hub.site.clone())).collect();
    let mut now = BEGIN;
    // What each hub goes by, and when it does.
    let mut version = vec![(director.control().shape().version(), now); hubs.len()];
    let (mut asked, mut done, mut reckoned) = (0, Vec::new(), 0.0f64);
    let (mut under_way, mut reports_at) = (false, now);
    let mut form = first;
    let mut steps = 0;
    while done.len() < BURST && now.since(BEGIN) < AT_MOST {
        now = now + BEAT;
        let clock = Busy::now();
        let mut effects = Vec::new();
        if now >= reports_at {
            reports_at = now + REPORTS_EVERY;
            for ((name, site), (version, from)) in hubs.iter().zip(&version) {
                let version = if *from <= now { *version } else { 0 };
                let report = HubReport {
                    version,
                    slowness: 1.0,
                    archive_slowness: 1.0,
                    request_rate: 1.0,
                    fetch_rate: 0.1,
                    wanted_rate: 0.1,
                    share_number: 0,
                    granted_rate: 0.0,
                    wait_cycles: Vec::new(),
                    site: site.clone(),
                    observations: Vec::new(),
                };
                effects.extend(director.on_report(name, &report, now).1);
            }
        }
        if !under_way && asked < BURST {
            asked += 1;
            let n = asked * 31 % ROUTERS;
            let tied = &mut form.branches[n].hubs;
            // Another hub than those that it has, whichever comes next.
            let other = (0..hubs.len()).map(|k| format!("hub-{}", (n * 7 + asked + k) % hubs.len()));
            let other = other.into_iter().find(|hub| !tied.contains(hub)).unwrap_or_default();
            *tied = vec![tied[0].clone(), other];
            match director.apply(&form, None, "measure", now) {
                Ok(more) => {
                    under_way = true;
                    effects.extend(more);
                }
                Err(why) => panic!("change {asked}: {why}"),
            }
        }
        effects.extend(director.tick("control-1", "site-00", now));
        let took = Span::micros(clock.elapsed().as_micros() as u64);
        reckoned += took.seconds();
        now = now + took;
        for effect in effects {
            match effect {
                Effect::Publish(number) => {
                    steps += 1;
                    version.iter_mut().for_each(|known| *known = (number, now + WAY));
                }
                Effect::Announce(ChangeEvent::Ended { .. }) => {
                    under_way = false;
                    done.push((now + WAY).since(BEGIN).seconds() * 1e3);
                }
                _ => {}
            }
        }
    }
    let mut found = Found::from([
        ("done".into(), done.len() as f64),
        ("steps".into(), steps as f64),
        ("reckoned_ms_a_change".into(), reckoned * 1e3 / done.len().max(1) as f64),
    ]);
    if let (Some(first), Some(last)) = (done.first(), done.last()) {
        found.insert("first_ms".into(), *first);
        found.insert("last_of_burst_ms".into(), *last);
        // At the day's rate one after another has to take no longer than this.
        found.insert("day_share".into(), last / done.len() as f64 * CHANGES_A_DAY as f64 / 86_400_000.0);
    }
    found
}

fn profile() -> ServiceProfile {
    let content = ContentType {
        idempotency: Idempotency::Retriable,
        target_time: Span::millis(250),
        target_stretch: 1.0,
        benefit: 1.0,
        write: false,
        in_parts: false,
        fresh_for: None,
        grace: Span::ZERO,
    };
    let zone_routers: Vec<u16> = (0..ZONES).map(|_| (ROUTERS / ZONES) as u16).collect();
    ServiceProfile {
        zone: 2,
        zone_routers,
        routers: ROUTERS as u16,
        content_types: vec![content],
        scales_comparable: false,
        membership_on_request: false,
        may_cancel: true,
        may_bypass: false,
        may_join: true,
        max_pulls: 6,
        max_retry_after: Span::millis(1_000),
        client_kb_per_s: 1e6,
        zone_link_kb_per_s: vec![1e9; ZONES],
        cold_share: 0.2,
        warm_up_time: Span::millis(10_000),
        overload_factor: 2.0,
        overload_window: Span::millis(1_000),
        parent_cold_share: 0.1,
        parent_warm_up_time: Span::millis(20_000),
        parent_overload_factor: 2.0,
        purge_settle_time: Span::millis(6_000),
        max_history_entries: usize::MAX,
    }
}

/// A router's decisions at so many requests a second, of objects that never repeat, under the fleet's purges, until its
/// memory is past the bound or ten minutes of virtual time are over.
fn core(rate: u64) -> Found {
    const LASTS: Span = Span::millis(600_000);
    const TAKES: Span = Span::millis(4);
    let mut now = BEGIN;
    let mut policy = Policy::new(profile(), 11, now);
    let listing = |node: u32, role: Role| NodeRecord {
        node: NodeIndex(node),
        hash_key: mixed(u64::from(node)),
        zone: if role == Role::Cache { 2 } else { 0 },
        cell: (node / 4) as u16,
        kind: role as u8,
        scale: 1.0,
        role,
        phase: Phase::Ready,
        started: None,
    };
    let caches = (CACHES / ZONES) as u32;
    let listings: Vec<NodeRecord> = (0..caches)
        .map(|n| listing(n, Role::Cache))
        .chain((caches..caches + 4).map(|n| listing(n, Role::Parent)))
        .chain([listing(caches + 4, Role::Origin)])
        .collect();
    let mut orders = Vec::new();
    policy.step(
        now,
        vec![Event::Membership { update: MembershipUpdate::Snapshot, records: listings }],
        &mut orders,
    );
    orders.clear();
    let before = own_mb();
    let cpu = Busy::now();
    let (mut n, mut purges, mut throttled, mut pulled) = (0u64, 0u64, 0u64, 0u64);
    let mut free: Vec<u32> = Vec::new();
    let (mut next_dl, mut beat_at) = (0u32, now);
    let mut ends: BinaryHeap<std::cmp::Reverse<(Moment, u32, u32, Moment)>> = BinaryHeap::new();
    let mut samples = Vec::new();
    let end = now + LASTS;
    while now < end {
        let due = BEGIN + Span::micros((n + 1) * 1_000_000 / rate);
        let mut events = Vec::new();
        if ends.peek().is_some_and(|at| at.0.0 <= due) {
            let Some(std::cmp::Reverse((at, dl, node, sent))) = ends.pop() else { continue };
            now = at;
            let (ending, remark) = (PullOutcome::Fulfilled, CacheStatus::FromOrigin);
            let (took, first_byte) = (at.since(sent), Span::millis(2));
            let end = PullResult {
                dl: DownloadIndex(dl),
                attempt: 0,
                node: NodeIndex(node),
                outcome: ending,
                cache_status: remark,
                answered: true,
                duration: took,
                first_byte,
            };
            events.push(Event::PullEnded(end));
        } else {
            now = due;
            n += 1;
            let dl = free.pop().unwrap_or_else(|| {
                next_dl += 1;
                next_dl - 1
            });
            let what = Download {
                content: ContentIndex(0),
                object: ObjectKey(mixed(n)),
                part: 0,
                group: (n % 256) as u32,
                kilobytes: 100.0,
                deadline: now + Span::millis(3_000),
                is_retry: false,
            };
            events.push(Event::Arrived { dl: DownloadIndex(dl), download: what });
        }
        if now >= beat_at {
            beat_at = now + Span::millis(50);
            events.push(Event::TimerFired { timer: 0 });
        }
        if now.since(BEGIN).as_micros() * PURGES_A_SECOND / 1_000_000 > purges {
            purges += 1;
            events.push(Event::Purged {
                object: Some(ObjectKey(mixed(u64::MAX - purges))),
                group: 0,
                ago: Span::ZERO,
            });
        }
        policy.step(now, events, &mut orders);
        for order in orders.drain(..) {
            match order {
                Action::Pull(pull) => {
                    pulled += 1;
                    ends.push(std::cmp::Reverse((now + TAKES, pull.dl.0, pull.node.0, now)));
                }
                Action::Throttle { .. } => throttled += 1,
                Action::Release { dl } => free.push(dl.0),
                _ => {}
            }
        }
        if n % (rate * 10) == 0 && samples.len() < (n / (rate * 10)) as usize {
            let mb = own_mb();
            samples.push(mb - before);
            if mb > ROUTER_MB {
                break;
            }
        }
    }
    let spent = ms(cpu);
    let half = samples.len() / 2;
    let mut found = Found::from([
        ("virtual_s".into(), now.since(BEGIN).seconds()),
        ("requests".into(), n as f64),
        ("resident_mb".into(), own_mb()),
        ("table_mb".into(), own_mb() - before),
        ("us_a_request".into(), spent * 1e3 / n.max(1) as f64),
        ("core_share".into(), spent / 1e3 / now.since(BEGIN).seconds().max(1e-9)),
        ("throttled_share".into(), throttled as f64 / n.max(1) as f64),
        ("pulled_share".into(), pulled as f64 / n.max(1) as f64),
    ]);
    if let (Some(middle), Some(last)) = (samples.get(half), samples.last()) {
        // Of the growth, what came in the second half: level, about nothing; without end, about half.
        found.insert("late_growth_share".into(), (last - middle) / last.max(1e-9));
    }
    found
}

fn copies(many: u64) -> harestage_hub::store::Store {
    let mut store = harestage_hub::store::Store::new(usize::MAX);
    for object in 0..many {
        let copy = harestage_hub::store::Copy {
            digest: "d".into(),
            dated: BEGIN.before(Span::millis(1_000)),
            group: Some(object as u32 % 64),
            body: "b".into(),
        };
        store.put((mixed(object), 0), copy, 1);
    }
    store
}

/// What twelve purges of objects cost a hub that has so many copies.
fn walk(many: u64) -> Found {
    let mut store = copies(many);
    let begun = Busy::now();
    for n in 0..PURGES_A_SECOND {
        store.purge_scope(&CompiledScope::Object(mixed(n * 7)), BEGIN, BEGIN);
    }
    Found::from([
        ("ms_a_second".into(), ms(begun)),
        ("dropped".into(), (many as usize - store.copies()) as f64),
    ])
}

/// A hub that is cut off for so many minutes, in virtual time, while purges go on at the fleet's rate, one in forty of a copy
/// that it has: what it still has once it was told what it missed.
fn cut(minutes: u64) -> Found {
    const COPIES: u64 = 20_000;
    let limit = RateLimit { rate: 1e6, burst: 1e6 };
    let (mut service, _) = Service::open(&[], limit, BEGIN);
    let (mut near, mut far) = (Follower::new("near", 1), Follower::new("far", 1));
    let mut store = copies(COPIES);
    let tell = |service: &mut Service, member: &mut Follower, now| {
        let (missing, _) = service.on_ack(&member.ack(), now).expect("it is taken");
        let told = ToMember::from_catch_up(service.term(), missing);
        let bytes = to_line(&told).len();
        (member.handle(told).expect("it is news"), bytes)
    };
    for member in [&mut near, &mut far] {
        (0..2).for_each(|_| drop(tell(&mut service, member, BEGIN)));
    }
    let (mut now, mut meant) = (BEGIN, 0);
    for n in 0..minutes * 60 * PURGES_A_SECOND {
        now = now + Span::micros(1_000_000 / PURGES_A_SECOND);
        // Of those that it has, or of another one.
        let object = if n % 40 == 0 && n / 40 < COPIES { n / 40 } else { COPIES + n };
        meant += u64::from(object < COPIES);
        let scope = Scope::Object(format!("{:016x}", mixed(object)));
        service.submit(scope, n as u32 % 50, &format!("k{n}"), now).expect("it is taken");
        drop(tell(&mut service, &mut near, now));
        drop(service.tick(now));
        if n % (10 * PURGES_A_SECOND) == 0 {
            drop(service.forget_before(now.before(harestage_purger::RETENTION).micros() / 1_000, now));
        }
    }
    let (mut told, mut lines) = (0, 0);
    while far.ack().applied < service.last() && lines < 1_000 {
        let (acts, bytes) = tell(&mut service, &mut far, now);
        (told, lines) = (told + bytes, lines + 1);
        for act in acts {
            if let FollowerAction::Purge { scope, at } = act {
                store.purge_scope(&scope, at, now);
            }
        }
    }
    let left = (COPIES - meant).max(1) as f64;
    Found::from([
        ("copies_kept_after_cut".into(), store.copies() as f64 / left),
        ("cut_purged".into(), meant as f64),
        ("cut_bytes".into(), told as f64),
        ("cut_behind".into(), (service.last() - far.ack().applied) as f64),
    ])
}
