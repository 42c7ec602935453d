//! Records of many processes over a network that loses, duplicates and reorders reports, with kills and a keeper that restarts
//! from what was synced. The history of the keeper is compared with what the processes did.
use harestage::time::Moment;
use harestage_audit::chain::{Body, Link, Outcome};
use harestage_audit::history::{Finding, History, LinkOutcome};
use harestage_audit::messages::{KeeperMessage, Report, Role};
use harestage_audit::obligations::{Obligations, Staleness, VersionKind};
use harestage_audit::process::{AuditedProcess, ProcessIdentity};
use harestage_audit::record::Recorder;
use harestage_audit::stamp::{Stamp, Versions};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

fn at(ms: u64) -> Moment {
    Moment::at_micros(1_000_000_000 + ms * 1_000)
}

fn versions(shape: u64) -> Versions {
    Versions { build: "1".into(), shape, ..Versions::default() }
}

fn identity(n: usize, start: u64) -> ProcessIdentity {
    let member = format!("router-{n}");
    ProcessIdentity { member, start, role: Role::Router, site: "br".into(), place: "br".into() }
}

struct Net {
    rng: StdRng,
    ms: u64,
    processes: Vec<Option<AuditedProcess>>,
    /// Offset of each clock, milliseconds.
    clock_offsets: Vec<u64>,
    in_flight: Vec<(u64, Report)>,
    history: History,
    /// The synced links, from which a killed keeper restarts.
    synced: Vec<Link>,
    /// Actual number of downloads, by member, start and stamp.
    truth: BTreeMap<(String, u64, Stamp), u64>,
    kills: usize,
}

impl Net {
    fn new(count: usize, seed: u64) -> Net {
        let mut net = Net {
            rng: StdRng::seed_from_u64(seed),
            ms: 0,
            processes: Vec::new(),
            clock_offsets: Vec::new(),
            in_flight: Vec::new(),
            history: History::default(),
            synced: Vec::new(),
            truth: BTreeMap::new(),
            kills: 0,
        };
        for n in 0..count {
            net.clock_offsets.push(net.rng.random_range(0..360_000));
            let now = at(net.clock_offsets[n]);
            net.processes.push(Some(AuditedProcess::new(
                identity(n, 1 + n as u64),
                vec!["clip".into()],
                versions(1),
                now,
            )));
        }
        net
    }

    /// Time by the clock of a process.
    fn process_time(&self, n: usize) -> Moment {
        at(self.ms + self.clock_offsets[n])
    }

    fn step(&mut self, lossy: bool) {
        self.ms += 50;
        for n in 0..self.processes.len() {
            let now = self.process_time(n);
            let (downloads, switches) = (self.rng.random_range(0..6), self.rng.random::<f64>() < 0.01);
            let Some(process) = &mut self.processes[n] else { continue };
            for _ in 0..downloads {
                let id = self.rng.random::<u64>();
                process.download_ended(0, Outcome::Fulfilled, id, now);
                *self
                    .truth
                    .entry((process.identity().member.clone(), process.identity().start, process.stamp()))
                    .or_default() += 1;
            }
            if switches {
                let next = versions(process.versions().shape + 1);
                process.set_versions(next, now);
            }
            process.tick(now);
            if self.ms.is_multiple_of(200) {
                let report = process.report(now);
                let copies = if lossy && self.rng.random::<f64>() < 0.2 { 2 } else { 1 };
                for _ in 0..copies {
                    if !lossy || self.rng.random::<f64>() > 0.2 {
                        let late = if lossy { self.rng.random_range(0..800) } else { 1 };
                        self.in_flight.push((self.ms + late, report.clone()));
                    }
                }
            }
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= self.ms);
        self.in_flight = later;
        due.into_iter().for_each(|(_, report)| self.arrives(report, lossy));
    }

    fn arrives(&mut self, report: Report, lossy: bool) {
        let (obligations, now) = (Obligations::default(), at(self.ms + 1_000_000));
        self.history.on_report(&report.member, report.start, report.now_ms, now);
        let mut new = Vec::new();
        for link in &report.links {
            match self.history.add_link(link, &obligations, now) {
                LinkOutcome::New => new.push(link.clone()),
                LinkOutcome::Duplicate => {}
                LinkOutcome::Rejected(reason) => panic!("{} {}: {reason}", link.member, link.number),
            }
        }
        // The keeper may be killed before its sync; then nothing of this report was acknowledged.
        if lossy && self.rng.random::<f64>() < 0.005 {
            self.kills += 1;
            self.history = History::default();
            self.synced.iter().for_each(|link| {
                assert_ne!(self.history.add_link(link, &obligations, now), LinkOutcome::Duplicate)
            });
            return;
        }
        self.synced.extend(new);
        // The acknowledgement may be lost, too.
        let upto = self.history.last_contiguous(&report.member, report.start);
        if !lossy || self.rng.random::<f64>() > 0.1 {
            let ack = KeeperMessage::Ack {
                term: 1,
                start: report.start,
                upto,
                lease_ms: 3_000,
                excluded: None,
                update: None,
                admission: None,
            };
            let to = self.processes.iter_mut().flatten().find(|a| a.identity().member == report.member);
            to.into_iter().for_each(|process| drop(process.on_answer(ack.clone(), now)));
        }
    }

    fn restart(&mut self, n: usize) {
        let start = self.processes[n].as_ref().map_or(0, |process| process.identity().start) + 1_000;
        let now = self.process_time(n);
        self.processes[n] =
            Some(AuditedProcess::new(identity(n, start), vec!["clip".into()], versions(1), now));
    }

    /// Number of downloads by member, start and stamp, according to the synced links.
    fn recorded(&self) -> BTreeMap<(String, u64, Stamp), u64> {
        let mut recorded = BTreeMap::new();
        for link in &self.synced {
            if let Body::Interval(interval) = &link.body {
                *recorded.entry((link.member.clone(), link.start, interval.stamp)).or_default() +=
                    interval.download_count();
            }
        }
        recorded
    }
}

#[test]
fn without_kills_every_download_is_recorded_once_and_under_its_stamp() {
    let mut net = Net::new(12, 3);
    (0..600).for_each(|_| net.step(true));
    // All processes finish, and their open intervals are reported.
    for n in 0..net.processes.len() {
        let now = net.process_time(n);
        net.processes[n].iter_mut().for_each(|process| process.recorder().finish(now));
    }
    for _ in 0..400 {
        net.ms += 50;
        let reports: Vec<Report> = net.processes.iter().flatten().map(|a| a.report(at(net.ms))).collect();
        reports.into_iter().for_each(|report| net.arrives(report, false));
    }
    assert!(net.kills > 3, "the keeper was killed {} times", net.kills);
    assert_eq!(net.recorded(), net.truth);
    assert_eq!(net.history.summary().gaps, []);
}

#[test]
fn what_is_lost_by_a_kill_is_a_gap_and_never_filled() {
    for seed in 0..10 {
        let mut net = Net::new(8, seed);
        let mut restarts = 0;
        for step in 0..800 {
            net.step(true);
            if step % 40 == 39 {
                let n = net.rng.random_range(0..8);
                net.restart(n);
                restarts += 1;
            }
        }
        // Nothing is recorded more often than it happened.
        for (key, count) in net.recorded() {
            assert!(count <= net.truth.get(&key).copied().unwrap_or(0), "{key:?}: {count}");
        }
        let (recorded, truth): (u64, u64) = (net.recorded().values().sum(), net.truth.values().sum());
        assert!(recorded < truth && recorded as f64 > truth as f64 * 0.5, "{recorded} of {truth}");
        let summary = net.history.summary();
        let between = summary.gaps.iter().filter(|gap| gap.reason.contains("final link")).count();
        assert!(between > 0 && between <= restarts, "{between} gaps after {restarts} kills");
        for gap in &summary.gaps {
            assert!(gap.from_ms <= gap.to_ms);
        }
    }
}

#[test]
fn every_kind_of_tampering_is_detected_and_intact_links_are_accepted() {
    let mut recorder = Recorder::new("a", 1, vec!["clip".into()], versions(1), None, at(0));
    let mut links = Vec::new();
    for step in 0..30u64 {
        (0..20)
            .for_each(|n| recorder.download_ended(0, Outcome::Fulfilled, step * 100 + n, at(step * 1_100)));
        if step % 7 == 6 {
            recorder.set_versions(versions(2 + step), at(step * 1_100));
        }
        recorder.tick(at(step * 1_100 + 1_050));
        links.extend(recorder.pending_links());
        recorder.acknowledged(1, u64::MAX);
    }
    let check = |links: &[Link]| {
        let (mut history, obligations) = (History::default(), Obligations::default());
        let rejected = links
            .iter()
            .filter(|l| matches!(history.add_link(l, &obligations, at(60_000)), LinkOutcome::Rejected(_)))
            .count();
        (rejected, history.summary().gaps.len(), history.findings().count())
    };
    assert_eq!(check(&links), (0, 0, 0));
    type Change = fn(&mut Link);
    let changes: [Change; 6] = [
        |link| link.at_ms += 1,
        |link| link.member = "b".into(),
        |link| link.number += 1,
        |link| link.start += 1,
        |link| link.previous_hash = "0".repeat(64),
        |link| {
            if let Body::Interval(interval) = &mut link.body {
                interval.downloads[0].count += 1;
            } else {
                link.hash = "0".repeat(64);
            }
        },
    ];
    for change in changes {
        for n in 0..links.len() {
            let mut altered = links.clone();
            change(&mut altered[n]);
            let (rejected, _, found) = check(&altered);
            assert!(rejected >= 1 && found >= 1, "link {n}");
        }
    }
    // An altered link with a recomputed hash: the next link does not follow it.
    for n in 1..links.len() - 1 {
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
        assert!(check(&altered).0 >= 1, "link {n} replaced");
    }
    // A link that is left out shows as a gap.
    for n in 1..links.len() - 1 {
        let mut altered = links.clone();
        altered.remove(n);
        let (rejected, gaps, _) = check(&altered);
        assert!(rejected + gaps >= 1, "link {n} left out");
    }
}

#[test]
fn two_concurrent_processes_with_one_name_are_found() {
    let mut history = History::default();
    for step in 0..50u64 {
        history.on_report("a", 1, step * 100, at(step * 100));
        if step > 10 {
            history.on_report("a", 2, step * 100, at(step * 100 + 20));
        }
    }
    let findings: Vec<&Finding> = history.findings().collect();
    assert!(matches!(findings[..], [Finding::ConcurrentStarts { starts: (1, 2), .. }]), "{findings:?}");
    // A process that was restarted is not reported.
    let mut history = History::default();
    (0..20u64).for_each(|step| history.on_report("a", 1, step * 100, at(step * 100)));
    (20..60u64).for_each(|step| history.on_report("a", 2, step * 100, at(step * 100)));
    assert_eq!(history.findings().count(), 0);
}

/// A hub records pullers with their stamps. A router that declares version 12 and pulls over the links of 11 is found, and so
/// is one that never declared its stamp.
#[test]
fn contradicting_records_are_found_and_consistent_ones_are_not() {
    let (mut history, obligations) = (History::default(), Obligations::default());
    let upstreams = |hub: &str| BTreeMap::from([("br".to_string(), BTreeSet::from([hub.to_string()]))]);
    history.shape_published(11, upstreams("hub-a"));
    history.shape_published(12, upstreams("hub-b"));
    let mut report = |name: &str, shape: u64, hub: &str, is_declared: bool| {
        let router = Recorder::new(
            name,
            1,
            vec!["clip".into()],
            versions(if is_declared { shape } else { 1 }),
            None,
            at(0),
        );
        let links = router.pending_links();
        links
            .iter()
            .for_each(|link| assert_eq!(history.add_link(link, &obligations, at(0)), LinkOutcome::New));
        let mut hub_recorder =
            Recorder::new(hub, name.len() as u64, vec!["clip".into()], versions(12), None, at(0));
        (0..20).for_each(|_| hub_recorder.pull_received(name, "br", versions(shape).stamp(), true, at(500)));
        hub_recorder.tick(at(1_500));
        history.on_report(hub, name.len() as u64, 1_500, at(1_500));
        hub_recorder
            .pending_links()
            .iter()
            .for_each(|link| assert_eq!(history.add_link(link, &obligations, at(1_500)), LinkOutcome::New));
        history.tick(at(20_000));
    };
    report("honest", 12, "hub-b", true);
    report("old", 11, "hub-a", true);
    report("contradicting-1", 12, "hub-a", true);
    report("undeclared-two", 12, "hub-b", false);
    let contradicted: Vec<&str> = history.contradicted_members().into_iter().collect();
    assert_eq!(contradicted, ["contradicting-1", "undeclared-two"]);
    let is_contradiction = |f: &Finding| {
        matches!(f, Finding::UsesOtherVersion { declared: 12, actual: Some(11), pulls: 20, .. })
    };
    assert!(history.findings().any(is_contradiction), "{:?}", history.findings().collect::<Vec<_>>());
}

/// Each of twelve purges a second makes a new stamp. A router that declares all of them must not be reported, however many there
/// are. One with an undeclared stamp still is, as long as that stamp is newer than the dropped ones.
#[test]
fn a_router_that_declares_all_stamps_is_not_reported_after_any_number_of_purges() {
    let (mut history, obligations) = (History::default(), Obligations::default());
    let at_purge = |purge: u64| Versions { purge, ..versions(12) };
    let recorder = |name: &str| Recorder::new(name, 1, vec!["clip".into()], at_purge(0), None, at(0));
    let (mut declaring, mut undeclared, mut hub) =
        (recorder("honest"), recorder("undeclared"), recorder("hub"));
    for n in 1..=1_500u64 {
        let now = at(n * 83);
        declaring.set_versions(at_purge(n), now);
        hub.pull_received("honest", "br", at_purge(n).stamp(), true, now);
        if n == 1_490 {
            // Its program version differs from the declared one.
            let other_build = Versions { build: "2".into(), ..at_purge(n) };
            hub.pull_received("undeclared", "br", other_build.stamp(), true, now);
        }
        for process in [&mut declaring, &mut undeclared, &mut hub] {
            process.tick(now);
            let (name, start) = (process.member().to_string(), process.start());
            history.on_report(&name, start, now.micros() / 1_000, now);
            while let [_, ..] = process.pending_links()[..] {
                let links = process.pending_links();
                links
                    .iter()
                    .for_each(|link| assert_eq!(history.add_link(link, &obligations, now), LinkOutcome::New));
                process.acknowledged(start, links.last().map_or(0, |link| link.number));
            }
        }
        history.tick(now);
    }
    history.tick(at(1_500 * 83 + 20_000));
    assert_eq!(history.contradicted_members().into_iter().collect::<Vec<_>>(), ["undeclared"]);
}

/// A download counts under the stamp of its last pull, however many purges come while it is in progress.
#[test]
fn a_download_that_outlasts_many_purges_is_recorded_under_its_own_stamp() {
    let at_purge = |purge: u64| Versions { purge, ..versions(1) };
    let mut router = Recorder::new("r", 1, vec!["clip".into()], at_purge(0), None, at(0));
    let pull_stamp = router.stamp_sequence();
    // Twelve purges a second for five seconds, the longest that clients wait.
    (1..=60u64).for_each(|n| router.set_versions(at_purge(n), at(n * 83)));
    router.download_ended_under(pull_stamp, 0, Outcome::Fulfilled, 7, at(5_000));
    router.finish(at(5_010));
    let intervals = router.pending_links().into_iter().chain({
        router.acknowledged(1, router.pending_links().last().map_or(0, |link| link.number));
        router.pending_links()
    });
    let intervals: Vec<_> = intervals
        .filter_map(|l| if let Body::Interval(interval) = l.body { Some(interval) } else { None })
        .collect();
    assert_eq!((intervals.len(), intervals[0].stamp), (1, at_purge(0).stamp()));
}

#[test]
fn staleness_counts_from_the_first_missing_version() {
    let mut obligations = Obligations::default();
    obligations.publish(VersionKind::Shape, 81, at(0));
    obligations.publish(VersionKind::Shape, 82, at(10_000));
    obligations.publish(VersionKind::Shape, 83, at(13_000));
    obligations.publish(VersionKind::Purge, 5, at(12_000));
    let staleness = |shape, purge, ms| obligations.staleness(&Stamp { digest: 0, shape, purge }, at(ms));
    assert_eq!(staleness(83, 5, 90_000), Staleness::UpToDate);
    assert_eq!(staleness(81, 5, 10_900), Staleness::Harmless);
    assert_eq!(staleness(81, 5, 11_500), Staleness::Late);
    assert_eq!(
        staleness(81, 5, 14_100),
        Staleness::Forbidden,
        "82 is missing since 10 s, whatever the time of 83"
    );
    assert_eq!(staleness(82, 5, 14_100), Staleness::Late);
    assert_eq!(staleness(83, 4, 14_100), Staleness::Forbidden, "purges have shorter limits");
    assert_eq!(obligations.min_allowed(at(14_100)), (82, 5));
    obligations.withdraw(VersionKind::Shape, 83);
    assert_eq!(
        obligations.staleness(&Stamp { digest: 0, shape: 82, purge: 5 }, at(60_000)),
        Staleness::UpToDate
    );
}

/// The number of unacknowledged links is limited, and the dropped ones show as a gap with its bounds.
#[test]
fn a_long_absence_of_the_keeper_leaves_a_gap_with_its_bounds() {
    let mut recorder = Recorder::new("a", 1, vec!["clip".into()], versions(1), None, at(0));
    for step in 0..3_000u64 {
        (0..5).for_each(|n| recorder.download_ended(0, Outcome::Fulfilled, step * 5 + n, at(step * 1_100)));
        recorder.tick(at(step * 1_100 + 1_050));
    }
    assert!(recorder.dropped() > 1_500);
    let (mut history, obligations) = (History::default(), Obligations::default());
    loop {
        let links = recorder.pending_links();
        if links.is_empty() {
            break;
        }
        for link in &links {
            assert_eq!(history.add_link(link, &obligations, at(4_000_000)), LinkOutcome::New);
        }
        recorder.acknowledged(1, history.last_contiguous("a", 1));
    }
    let gaps = history.summary().gaps;
    assert_eq!(gaps.len(), 1);
    let (from, to) = gaps[0].downloads.expect("the downloads in the gap");
    assert_eq!((from, to - from + 1 + history.summary().downloads), (1, 15_000));
}
