//! Records of many processes over a network that loses, doubles and reorders reports, through kills and a keeper that
//! falls back to what was synced: what the file then says against what was really done.
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

fn goes(shape: u64) -> Versions {
    Versions { build: "1".into(), shape, ..Versions::default() }
}

fn who(n: usize, start: u64) -> ProcessIdentity {
    let member = format!("router-{n}");
    ProcessIdentity { member, start, role: Role::Router, site: "br".into(), place: "br".into() }
}

struct Net {
    dice: StdRng,
    ms: u64,
    acting: Vec<Option<AuditedProcess>>,
    /// How far each one's clock is off.
    off: Vec<u64>,
    wires: Vec<(u64, Report)>,
    file: History,
    /// What was synced: a keeper that is killed falls back to it.
    synced: Vec<Link>,
    /// By member, start and stamp: downloads that really were under it.
    truth: BTreeMap<(String, u64, Stamp), u64>,
    kills: usize,
}

impl Net {
    fn new(many: usize, seed: u64) -> Net {
        let mut net = Net {
            dice: StdRng::seed_from_u64(seed),
            ms: 0,
            acting: Vec::new(),
            off: Vec::new(),
            wires: Vec::new(),
            file: History::default(),
            synced: Vec::new(),
            truth: BTreeMap::new(),
            kills: 0,
        };
        for n in 0..many {
            net.off.push(net.dice.random_range(0..360_000));
            let now = at(net.off[n]);
            net.acting.push(Some(AuditedProcess::new(
                who(n, 1 + n as u64),
                vec!["clip".into()],
                goes(1),
                now,
            )));
        }
        net
    }

    fn own(&self, n: usize) -> Moment {
        at(self.ms + self.off[n])
    }

    fn step(&mut self, faulty: bool) {
        self.ms += 50;
        for n in 0..self.acting.len() {
            let now = self.own(n);
            let (downloads, switches) = (self.dice.random_range(0..6), self.dice.random::<f64>() < 0.01);
            let Some(acting) = &mut self.acting[n] else { continue };
            for _ in 0..downloads {
                let id = self.dice.random::<u64>();
                acting.download_ended(0, Outcome::Fulfilled, id, now);
                *self
                    .truth
                    .entry((acting.identity().member.clone(), acting.identity().start, acting.stamp()))
                    .or_default() += 1;
            }
            if switches {
                let next = goes(acting.versions().shape + 1);
                acting.set_versions(next, now);
            }
            acting.tick(now);
            if self.ms.is_multiple_of(200) {
                let report = acting.report(now);
                let copies = if faulty && self.dice.random::<f64>() < 0.2 { 2 } else { 1 };
                for _ in 0..copies {
                    if !faulty || self.dice.random::<f64>() > 0.2 {
                        let late = if faulty { self.dice.random_range(0..800) } else { 1 };
                        self.wires.push((self.ms + late, report.clone()));
                    }
                }
            }
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.wires).into_iter().partition(|(at, _)| *at <= self.ms);
        self.wires = later;
        due.into_iter().for_each(|(_, report)| self.arrives(report, faulty));
    }

    fn arrives(&mut self, report: Report, faulty: bool) {
        let (owed, now) = (Obligations::default(), at(self.ms + 1_000_000));
        self.file.on_report(&report.member, report.start, report.now_ms, now);
        let mut new = Vec::new();
        for link in &report.links {
            match self.file.add_link(link, &owed, now) {
                LinkOutcome::New => new.push(link.clone()),
                LinkOutcome::Duplicate => {}
                LinkOutcome::Rejected(why) => panic!("{} {}: {why}", link.member, link.number),
            }
        }
        // The keeper may die before its sync, and then nothing of this was acknowledged.
        if faulty && self.dice.random::<f64>() < 0.005 {
            self.kills += 1;
            self.file = History::default();
            self.synced
                .iter()
                .for_each(|link| assert_ne!(self.file.add_link(link, &owed, now), LinkOutcome::Duplicate));
            return;
        }
        self.synced.extend(new);
        // The acknowledgement may get lost, too.
        let upto = self.file.last_contiguous(&report.member, report.start);
        if !faulty || self.dice.random::<f64>() > 0.1 {
            let ack = KeeperMessage::Ack {
                term: 1,
                start: report.start,
                upto,
                lease_ms: 3_000,
                excluded: None,
                update: None,
                admission: None,
            };
            let to = self.acting.iter_mut().flatten().find(|a| a.identity().member == report.member);
            to.into_iter().for_each(|acting| drop(acting.on_answer(ack.clone(), now)));
        }
    }

    fn restart(&mut self, n: usize) {
        let start = self.acting[n].as_ref().map_or(0, |acting| acting.identity().start) + 1_000;
        let now = self.own(n);
        self.acting[n] = Some(AuditedProcess::new(who(n, start), vec!["clip".into()], goes(1), now));
    }

    /// Downloads by member, start and stamp, as the synced links say.
    fn told(&self) -> BTreeMap<(String, u64, Stamp), u64> {
        let mut told = BTreeMap::new();
        for link in &self.synced {
            if let Body::Interval(span) = &link.body {
                *told.entry((link.member.clone(), link.start, span.stamp)).or_default() +=
                    span.download_count();
            }
        }
        told
    }
}

#[test]
fn without_kills_every_download_is_told_once_and_under_its_stamp() {
    let mut net = Net::new(12, 3);
    (0..600).for_each(|_| net.step(true));
    // Everybody is quiet, and what is open is told.
    for n in 0..net.acting.len() {
        let now = net.own(n);
        net.acting[n].iter_mut().for_each(|acting| acting.recorder().finish(now));
    }
    for _ in 0..400 {
        net.ms += 50;
        let reports: Vec<Report> = net.acting.iter().flatten().map(|a| a.report(at(net.ms))).collect();
        reports.into_iter().for_each(|report| net.arrives(report, false));
    }
    assert!(net.kills > 3, "the keeper was killed {} times", net.kills);
    assert_eq!(net.told(), net.truth);
    assert_eq!(net.file.summary().gaps, []);
}

#[test]
fn what_a_kill_takes_is_a_gap_and_never_filled() {
    for seed in 0..10 {
        let mut net = Net::new(8, seed);
        let mut restarts = 0;
        for step in 0..800 {
            net.step(true);
            if step % 40 == 39 {
                let n = net.dice.random_range(0..8);
                net.restart(n);
                restarts += 1;
            }
        }
        // Never more than there was, of anything.
        for (key, many) in net.told() {
            assert!(many <= net.truth.get(&key).copied().unwrap_or(0), "{key:?}: {many}");
        }
        let (told, truth): (u64, u64) = (net.told().values().sum(), net.truth.values().sum());
        assert!(told < truth && told as f64 > truth as f64 * 0.5, "{told} of {truth}");
        let summary = net.file.summary();
        let between = summary.gaps.iter().filter(|gap| gap.reason.contains("last word")).count();
        assert!(between > 0 && between <= restarts, "{between} gaps after {restarts} kills");
        for gap in &summary.gaps {
            assert!(gap.from_ms <= gap.to_ms);
        }
    }
}

#[test]
fn every_way_of_tampering_is_found_and_the_rest_stands() {
    let mut recorder = Recorder::new("a", 1, vec!["clip".into()], goes(1), None, at(0));
    let mut links = Vec::new();
    for step in 0..30u64 {
        (0..20)
            .for_each(|n| recorder.download_ended(0, Outcome::Fulfilled, step * 100 + n, at(step * 1_100)));
        if step % 7 == 6 {
            recorder.set_versions(goes(2 + step), at(step * 1_100));
        }
        recorder.tick(at(step * 1_100 + 1_050));
        links.extend(recorder.pending_links());
        recorder.acknowledged(1, u64::MAX);
    }
    let check = |links: &[Link]| {
        let (mut file, owed) = (History::default(), Obligations::default());
        let refused = links
            .iter()
            .filter(|l| matches!(file.add_link(l, &owed, at(60_000)), LinkOutcome::Rejected(_)))
            .count();
        (refused, file.summary().gaps.len(), file.findings().count())
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
            if let Body::Interval(span) = &mut link.body {
                span.downloads[0].count += 1;
            } else {
                link.hash = "0".repeat(64);
            }
        },
    ];
    for change in changes {
        for n in 0..links.len() {
            let mut altered = links.clone();
            change(&mut altered[n]);
            let (refused, _, found) = check(&altered);
            assert!(refused >= 1 && found >= 1, "link {n}");
        }
    }
    // One made whole again under its new words: the next one does not follow it.
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
        assert!(check(&altered).0 >= 1, "link {n} put in anew");
    }
    // One that is left out shows as a gap.
    for n in 1..links.len() - 1 {
        let mut altered = links.clone();
        altered.remove(n);
        let (refused, gaps, _) = check(&altered);
        assert!(refused + gaps >= 1, "link {n} left out");
    }
}

#[test]
fn two_processes_under_one_name_are_found() {
    let mut file = History::default();
    for step in 0..50u64 {
        file.on_report("a", 1, step * 100, at(step * 100));
        if step > 10 {
            file.on_report("a", 2, step * 100, at(step * 100 + 20));
        }
    }
    let twins: Vec<&Finding> = file.findings().collect();
    assert!(matches!(twins[..], [Finding::ConcurrentStarts { starts: (1, 2), .. }]), "{twins:?}");
    // A process that was started anew is none.
    let mut file = History::default();
    (0..20u64).for_each(|step| file.on_report("a", 1, step * 100, at(step * 100)));
    (20..60u64).for_each(|step| file.on_report("a", 2, step * 100, at(step * 100)));
    assert_eq!(file.findings().count(), 0);
}

/// A hub says who pulled under what; a branch's router that says version 12 and pulls by the ties of 11 is found, and so is
/// one that never declared its stamp.
#[test]
fn two_sides_that_disagree_are_found_and_honest_ones_are_not() {
    let (mut file, owed) = (History::default(), Obligations::default());
    let ties = |hub: &str| BTreeMap::from([("br".to_string(), BTreeSet::from([hub.to_string()]))]);
    file.shape_published(11, ties("hub-a"));
    file.shape_published(12, ties("hub-b"));
    let mut told = |name: &str, shape: u64, hub: &str, declares: bool| {
        let router =
            Recorder::new(name, 1, vec!["clip".into()], goes(if declares { shape } else { 1 }), None, at(0));
        let links = router.pending_links();
        links.iter().for_each(|link| assert_eq!(file.add_link(link, &owed, at(0)), LinkOutcome::New));
        let mut answers = Recorder::new(hub, name.len() as u64, vec!["clip".into()], goes(12), None, at(0));
        (0..20).for_each(|_| answers.pull_received(name, "br", goes(shape).stamp(), true, at(500)));
        answers.tick(at(1_500));
        file.on_report(hub, name.len() as u64, 1_500, at(1_500));
        answers
            .pending_links()
            .iter()
            .for_each(|link| assert_eq!(file.add_link(link, &owed, at(1_500)), LinkOutcome::New));
        file.tick(at(20_000));
    };
    told("honest", 12, "hub-b", true);
    told("old", 11, "hub-a", true);
    told("liar-1", 12, "hub-a", true);
    told("liar-two", 12, "hub-b", false);
    let liars: Vec<&str> = file.contradicted_members().into_iter().collect();
    assert_eq!(liars, ["liar-1", "liar-two"]);
    let says = |f: &Finding| {
        matches!(f, Finding::UsesOtherVersion { declared: 12, actual: Some(11), pulls: 20, .. })
    };
    assert!(file.findings().any(says), "{:?}", file.findings().collect::<Vec<_>>());
}

/// Twelve purges a second make a stamp each. A router that declares each of them is no liar, however many there were; one
/// whose stamp is none of them still is, as long as it is younger than what was forgotten.
#[test]
fn an_honest_router_is_no_liar_after_any_number_of_purges() {
    let (mut file, owed) = (History::default(), Obligations::default());
    let by = |purge: u64| Versions { purge, ..goes(12) };
    let begin = |name: &str| Recorder::new(name, 1, vec!["clip".into()], by(0), None, at(0));
    let (mut honest, mut liar, mut hub) = (begin("honest"), begin("liar"), begin("hub"));
    for n in 1..=1_500u64 {
        let now = at(n * 83);
        honest.set_versions(by(n), now);
        hub.pull_received("honest", "br", by(n).stamp(), true, now);
        if n == 1_490 {
            // Of another program than it declares.
            let never = Versions { build: "2".into(), ..by(n) };
            hub.pull_received("liar", "br", never.stamp(), true, now);
        }
        for own in [&mut honest, &mut liar, &mut hub] {
            own.tick(now);
            let (name, start) = (own.member().to_string(), own.start());
            file.on_report(&name, start, now.micros() / 1_000, now);
            while let [_, ..] = own.pending_links()[..] {
                let links = own.pending_links();
                links.iter().for_each(|link| assert_eq!(file.add_link(link, &owed, now), LinkOutcome::New));
                own.acknowledged(start, links.last().map_or(0, |link| link.number));
            }
        }
        file.tick(now);
    }
    file.tick(at(1_500 * 83 + 20_000));
    assert_eq!(file.contradicted_members().into_iter().collect::<Vec<_>>(), ["liar"]);
}

/// A download counts under what it was acted on by, however many purges came while it was under way.
#[test]
fn a_download_that_outlasts_many_purges_is_told_under_its_own_stamp() {
    let by = |purge: u64| Versions { purge, ..goes(1) };
    let mut router = Recorder::new("r", 1, vec!["clip".into()], by(0), None, at(0));
    let begun = router.stamp_sequence();
    // Five seconds, the longest that clients wait, at twelve a second.
    (1..=60u64).for_each(|n| router.set_versions(by(n), at(n * 83)));
    router.download_ended_under(begun, 0, Outcome::Fulfilled, 7, at(5_000));
    router.finish(at(5_010));
    let spans = router.pending_links().into_iter().chain({
        router.acknowledged(1, router.pending_links().last().map_or(0, |link| link.number));
        router.pending_links()
    });
    let spans: Vec<_> =
        spans.filter_map(|l| if let Body::Interval(span) = l.body { Some(span) } else { None }).collect();
    assert_eq!((spans.len(), spans[0].stamp), (1, by(0).stamp()));
}

#[test]
fn what_is_owed_counts_from_the_first_that_is_lacked() {
    let mut owed = Obligations::default();
    owed.publish(VersionKind::Shape, 81, at(0));
    owed.publish(VersionKind::Shape, 82, at(10_000));
    owed.publish(VersionKind::Shape, 83, at(13_000));
    owed.publish(VersionKind::Purge, 5, at(12_000));
    let stands = |shape, purge, ms| owed.staleness(&Stamp { digest: 0, shape, purge }, at(ms));
    assert_eq!(stands(83, 5, 90_000), Staleness::UpToDate);
    assert_eq!(stands(81, 5, 10_900), Staleness::Harmless);
    assert_eq!(stands(81, 5, 11_500), Staleness::Late);
    assert_eq!(stands(81, 5, 14_100), Staleness::Forbidden, "82 is lacked since 10 s, whatever 83 says");
    assert_eq!(stands(82, 5, 14_100), Staleness::Late);
    assert_eq!(stands(83, 4, 14_100), Staleness::Forbidden, "a purge has less time");
    assert_eq!(owed.min_allowed(at(14_100)), (82, 5));
    owed.withdraw(VersionKind::Shape, 83);
    assert_eq!(owed.staleness(&Stamp { digest: 0, shape: 82, purge: 5 }, at(60_000)), Staleness::UpToDate);
}

/// What nobody acknowledges is bounded, and what is dropped for that shows as a gap with its bounds.
#[test]
fn a_keeper_that_is_away_for_long_leaves_a_gap_with_its_bounds() {
    let mut recorder = Recorder::new("a", 1, vec!["clip".into()], goes(1), None, at(0));
    for step in 0..3_000u64 {
        (0..5).for_each(|n| recorder.download_ended(0, Outcome::Fulfilled, step * 5 + n, at(step * 1_100)));
        recorder.tick(at(step * 1_100 + 1_050));
    }
    assert!(recorder.dropped() > 1_500);
    let (mut file, owed) = (History::default(), Obligations::default());
    loop {
        let links = recorder.pending_links();
        if links.is_empty() {
            break;
        }
        for link in &links {
            assert_eq!(file.add_link(link, &owed, at(4_000_000)), LinkOutcome::New);
        }
        recorder.acknowledged(1, file.last_contiguous("a", 1));
    }
    let gaps = file.summary().gaps;
    assert_eq!(gaps.len(), 1);
    let (from, to) = gaps[0].downloads.expect("its downloads are bounded");
    assert_eq!((from, to - from + 1 + file.summary().downloads), (1, 15_000));
}
