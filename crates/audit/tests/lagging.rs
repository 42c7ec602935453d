//! Who is brought up, shut out and let in again, by hand and by chance.
use harestage::time::Moment;
use harestage_audit::lagging::{Decision, Members, Obstacle, Share, UpdateMethod, max_excluded};
use harestage_audit::messages::Role;
use harestage_audit::obligations::{Obligations, SHAPE_GRACE, Staleness, VersionKind};
use harestage_audit::stamp::Stamp;
use proptest::prelude::*;
use std::collections::BTreeMap;

fn at(ms: u64) -> Moment {
    Moment::at_micros(1_000_000_000 + ms * 1_000)
}

fn stamp(shape: u64) -> Stamp {
    Stamp { digest: shape, shape, purge: 0 }
}

struct Fleet {
    members: Members,
    owed: Obligations,
    ms: u64,
    /// What each goes by, and whether it is heard.
    goes: BTreeMap<String, (u64, bool)>,
    decided: Vec<Decision>,
}

impl Fleet {
    fn new(names: &[&str], shape: u64) -> Fleet {
        let goes = names.iter().map(|name| (name.to_string(), (shape, true))).collect();
        let mut owed = Obligations::default();
        owed.publish(VersionKind::Shape, shape, at(0));
        Fleet { members: Members::new(at(0)), owed, ms: 0, goes, decided: Vec::new() }
    }

    /// The site is the part of the name before the dash.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.ms += 100;
            for (name, (shape, heard)) in &self.goes {
                if *heard {
                    let site = name.split('-').next().unwrap();
                    self.members.on_report(name, Role::Router, site, 1, stamp(*shape), None, at(self.ms));
                }
            }
            for decision in self.members.tick(&self.owed, at(self.ms)) {
                self.members.apply_decision(&decision, at(self.ms));
                self.decided.push(decision);
            }
        }
    }

    fn publish(&mut self, shape: u64) {
        self.owed.publish(VersionKind::Shape, shape, at(self.ms));
    }

    fn out(&self, site: &str) -> usize {
        let shut = self.members.excluded().into_iter();
        shut.filter(|(name, share)| share.0 == 0.0 && name.starts_with(&format!("{site}-"))).count()
    }
}

#[test]
fn one_that_goes_by_what_is_forbidden_is_shut_out_and_let_in_by_steps() {
    let mut fleet = Fleet::new(&["w-1", "w-2", "w-3"], 1);
    fleet.run(1_000);
    fleet.publish(2);
    fleet.goes.get_mut("w-2").unwrap().0 = 2;
    fleet.goes.get_mut("w-3").unwrap().0 = 2;
    fleet.run(SHAPE_GRACE.forbidden_after.as_micros() / 1_000 - 200);
    assert_eq!(fleet.decided, []);
    fleet.run(400);
    assert!(
        matches!(&fleet.decided[..], [Decision::Excluded { member, .. }] if member == "w-1"),
        "{:?}",
        fleet.decided
    );
    fleet.run(5_000);
    assert_eq!(fleet.decided.len(), 1, "and stays out");
    fleet.goes.get_mut("w-1").unwrap().0 = 2;
    fleet.run(4_500);
    let shares: Vec<f64> = fleet.decided[1..]
        .iter()
        .map(|decision| match decision {
            Decision::ShareRaised { share, .. } => share.0,
            Decision::Readmitted { .. } => 1.0,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(shares, [0.25, 0.6, 1.0]);
    assert_eq!(fleet.members.share("w-1"), None);
}

#[test]
fn one_that_falls_back_on_its_way_in_is_shut_out_again() {
    let mut fleet = Fleet::new(&["w-1", "w-2", "w-3"], 1);
    fleet.publish(2);
    fleet.goes.get_mut("w-2").unwrap().0 = 2;
    fleet.goes.get_mut("w-3").unwrap().0 = 2;
    fleet.run(5_000);
    fleet.goes.get_mut("w-1").unwrap().0 = 2;
    fleet.run(1_500);
    assert_eq!(fleet.members.share("w-1"), Some(Share(0.25)));
    fleet.goes.get_mut("w-1").unwrap().0 = 1;
    fleet.run(1_000);
    assert_eq!(fleet.members.share("w-1"), Some(Share(0.0)));
}

#[test]
fn the_floor_holds_whatever_the_audit_believes() {
    let names: Vec<String> =
        (0..9).map(|n| format!("w-{n}")).chain(["e-1".into(), "n-1".into(), "n-2".into()]).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut fleet = Fleet::new(&names, 1);
    fleet.run(500);
    // It believes that everybody lags behind for good.
    for shape in 2..40 {
        fleet.publish(shape);
        fleet.run(3_000);
        assert!(fleet.out("w") <= 3 && fleet.out("e") == 0 && fleet.out("n") <= 1);
    }
    assert_eq!((fleet.out("w"), fleet.out("n")), (3, 1));
    let kept =
        fleet.members.status(&fleet.owed, at(fleet.ms)).into_iter().filter(|m| m.kept_by_floor).count();
    assert_eq!(kept, 12 - 4);
    assert_eq!([0, 1, 2, 3, 6, 10].map(max_excluded), [0, 0, 1, 1, 2, 3]);
}

#[test]
fn ways_are_tried_in_their_order_and_those_who_can_not_are_left_alone() {
    let mut fleet = Fleet::new(&["w-1", "w-2"], 1);
    fleet.publish(2);
    let mut ways = Vec::new();
    for _ in 0..100 {
        fleet.run(100);
        ways.extend(fleet.members.next_update("w-1", &fleet.owed, at(fleet.ms)));
    }
    assert_eq!(
        ways,
        [
            UpdateMethod::Difference,
            UpdateMethod::Difference,
            UpdateMethod::Full,
            UpdateMethod::Full,
            UpdateMethod::Restart,
            UpdateMethod::Restart
        ]
    );
    assert_eq!(fleet.members.next_update("nobody", &fleet.owed, at(fleet.ms)), None);
    // One that refuses the version is told apart from one that can't be reached, and is not brought up.
    let refuses = Some((2, "no such place".to_string()));
    fleet.members.on_report("w-2", Role::Router, "w", 1, stamp(1), refuses, at(fleet.ms));
    assert_eq!(fleet.members.next_update("w-2", &fleet.owed, at(fleet.ms)), None);
    fleet.goes.get_mut("w-1").unwrap().1 = false;
    fleet.goes.get_mut("w-2").unwrap().1 = false;
    let status = |fleet: &Fleet, name: &str| {
        fleet.members.status(&fleet.owed, at(fleet.ms)).into_iter().find(|m| m.member == name).unwrap()
    };
    assert!(matches!(status(&fleet, "w-2").obstacle, Some(Obstacle::Rejects { shape: 2, .. })));
    fleet.run(4_000);
    assert!(!status(&fleet, "w-1").reachable && status(&fleet, "w-1").obstacle.is_none());
}

#[test]
fn one_that_crashes_on_a_version_at_every_start_is_told_as_that() {
    let mut fleet = Fleet::new(&["w-1"], 1);
    fleet.publish(2);
    fleet.goes.clear();
    for start in 1..=4 {
        fleet.ms += 2_000;
        fleet.members.on_report("w-1", Role::Router, "w", start, stamp(1), None, at(fleet.ms));
    }
    let status = fleet.members.status(&fleet.owed, at(fleet.ms));
    assert!(
        matches!(status[0].obstacle, Some(Obstacle::Crashes { shape: 2, starts: 4 })),
        "{:?}",
        status[0].obstacle
    );
    assert_eq!(fleet.members.next_update("w-1", &fleet.owed, at(fleet.ms)), None);
}

#[test]
fn a_version_that_many_refuse_is_withdrawn_once_and_one_that_few_refuse_is_not() {
    let names: Vec<String> = (0..10).map(|n| format!("w-{n}")).collect();
    let refusing = |many: usize| {
        let mut fleet = Fleet::new(&names.iter().map(String::as_str).collect::<Vec<_>>(), 1);
        fleet.run(500);
        fleet.publish(2);
        for round in 0..20 {
            fleet.ms += 100;
            for (n, name) in names.iter().enumerate() {
                let refuses = (n < many).then(|| (2, "wrong".to_string()));
                let shape = if n < many { 1 } else { 2 };
                fleet.members.on_report(name, Role::Hub, "w", 1, stamp(shape), refuses, at(fleet.ms));
            }
            let decided = fleet.members.tick(&fleet.owed, at(fleet.ms));
            decided.iter().for_each(|decision| fleet.members.apply_decision(decision, at(fleet.ms)));
            fleet.decided.extend(decided);
            let _ = round;
        }
        fleet.decided.iter().filter(|d| matches!(d, Decision::Withdrawn { shape: 2, .. })).count()
    };
    assert_eq!((refusing(2), refusing(3), refusing(9)), (0, 1, 1));
}

#[test]
fn three_hundred_that_return_at_once_are_brought_up_within_the_budget() {
    let names: Vec<String> = (0..300).map(|n| format!("s{}-{n}", n % 12)).collect();
    let mut fleet = Fleet::new(&names.iter().map(String::as_str).collect::<Vec<_>>(), 1);
    fleet.publish(2);
    fleet.ms = 3_000;
    let (mut brought, mut whole, mut per_second) = (0, 0, 0);
    for tick in 0..100u64 {
        fleet.ms += 100;
        let mut this = 0;
        for name in &names {
            let site = name.split('-').next().unwrap();
            let shape = fleet.goes[name].0;
            fleet.members.on_report(name, Role::Router, site, 1, stamp(shape), None, at(fleet.ms));
            match fleet.members.next_update(name, &fleet.owed, at(fleet.ms)) {
                // Half can't use a difference.
                Some(UpdateMethod::Difference) if tick % 2 == 0 => fleet.goes.get_mut(name).unwrap().0 = 2,
                Some(UpdateMethod::Difference) => this += 1,
                Some(_) => {
                    (whole, this) = (whole + 1, this + 1);
                    fleet.goes.get_mut(name).unwrap().0 = 2;
                }
                None => {}
            }
            brought += usize::from(fleet.goes[name].0 == 2 && shape == 1);
        }
        per_second = per_second.max(this);
    }
    assert_eq!(brought, 300);
    assert!(per_second <= 330, "{per_second} within a tick");
    assert!(whole < 300);
}

proptest! {
    /// Whatever is heard in whatever order: the floor holds, nobody is shut out whose stamp is not forbidden, and who is
    /// well for long enough is let in again.
    #[test]
    fn by_chance(steps in prop::collection::vec((0usize..8, 0u64..4, any::<bool>(), 0u64..1_500), 1..150)) {
        let names: Vec<String> = (0..8).map(|n| format!("{}-{n}", if n < 5 { "w" } else { "e" })).collect();
        let mut fleet = Fleet::new(&names.iter().map(String::as_str).collect::<Vec<_>>(), 1);
        let mut newest = 1;
        fleet.run(200);
        for (who, step, heard, ms) in steps {
            let before = fleet.decided.len();
            match step {
                0 => { newest += 1; fleet.publish(newest); }
                1 => *fleet.goes.get_mut(&names[who]).unwrap() = (newest, heard),
                2 => fleet.goes.get_mut(&names[who]).unwrap().1 = heard,
                _ => {}
            }
            fleet.run(ms);
            prop_assert!(fleet.out("w") <= 1 && fleet.out("e") <= 1);
            for decision in &fleet.decided[before..] {
                if let Decision::Excluded { member, .. } = decision {
                    let stands = fleet.owed.staleness(&fleet.members.stamp(member).unwrap(), at(fleet.ms));
                    prop_assert!(stands == Staleness::Forbidden, "{member} was {stands:?}");
                }
            }
        }
        fleet.goes.values_mut().for_each(|goes| *goes = (newest, true));
        fleet.run(8_000);
        prop_assert_eq!(fleet.members.excluded().len(), 0);
    }
}

#[test]
fn what_was_decided_is_so_after_a_restart() {
    use harestage_audit::keeper::{Effect, Entry, KeeperState, Record};
    let decided = |decision| Record { term: 3, entry: Entry::Decided(decision) };
    let shut = |member: &str| Decision::Excluded { member: member.into(), reason: "old".into() };
    let mut records = vec![Record { term: 3, entry: Entry::Opened }];
    records.extend([
        decided(shut("a")),
        decided(shut("b")),
        decided(Decision::Readmitted { member: "b".into() }),
    ]);
    // Written by a keeper that had been replaced.
    records.push(Record { term: 2, entry: Entry::Decided(shut("c")) });
    let (keep, effects) = KeeperState::open(&records, at(0));
    assert_eq!(effects, [Effect::Write(Record { term: 4, entry: Entry::Opened })]);
    let whole = keep.snapshot();
    assert_eq!(
        whole,
        [Record { term: 4, entry: Entry::Opened }, Record { term: 4, entry: Entry::Decided(shut("a")) }]
    );
}
