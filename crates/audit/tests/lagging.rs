//! Updates, exclusions and readmissions of lagging members, step by step and with random inputs.
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
    obligations: Obligations,
    ms: u64,
    /// Shape of each member, and whether it reports.
    reporting: BTreeMap<String, (u64, bool)>,
    decisions: Vec<Decision>,
}

impl Fleet {
    fn new(names: &[&str], shape: u64) -> Fleet {
        let reporting = names.iter().map(|name| (name.to_string(), (shape, true))).collect();
        let mut obligations = Obligations::default();
        obligations.publish(VersionKind::Shape, shape, at(0));
        Fleet { members: Members::new(at(0)), obligations, ms: 0, reporting, decisions: Vec::new() }
    }

    /// Lets the members report and applies all decisions. The site is the part of a name before the dash.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.ms += 100;
            for (name, (shape, reports)) in &self.reporting {
                if *reports {
                    let site = name.split('-').next().unwrap();
                    self.members.on_report(name, Role::Router, site, 1, stamp(*shape), None, at(self.ms));
                }
            }
            for decision in self.members.tick(&self.obligations, at(self.ms)) {
                self.members.apply_decision(&decision, at(self.ms));
                self.decisions.push(decision);
            }
        }
    }

    fn publish(&mut self, shape: u64) {
        self.obligations.publish(VersionKind::Shape, shape, at(self.ms));
    }

    /// Number of excluded members of a site.
    fn excluded_count(&self, site: &str) -> usize {
        let excluded = self.members.excluded().into_iter();
        excluded.filter(|(name, share)| share.0 == 0.0 && name.starts_with(&format!("{site}-"))).count()
    }
}

#[test]
fn a_member_with_a_forbidden_version_is_excluded_and_readmitted_in_steps() {
    let mut fleet = Fleet::new(&["w-1", "w-2", "w-3"], 1);
    fleet.run(1_000);
    fleet.publish(2);
    fleet.reporting.get_mut("w-2").unwrap().0 = 2;
    fleet.reporting.get_mut("w-3").unwrap().0 = 2;
    fleet.run(SHAPE_GRACE.forbidden_after.as_micros() / 1_000 - 200);
    assert_eq!(fleet.decisions, []);
    fleet.run(400);
    assert!(
        matches!(&fleet.decisions[..], [Decision::Excluded { member, .. }] if member == "w-1"),
        "{:?}",
        fleet.decisions
    );
    fleet.run(5_000);
    assert_eq!(fleet.decisions.len(), 1, "it stays excluded");
    fleet.reporting.get_mut("w-1").unwrap().0 = 2;
    fleet.run(4_500);
    let shares: Vec<f64> = fleet.decisions[1..]
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
fn a_member_that_falls_back_during_readmission_is_excluded_again() {
    let mut fleet = Fleet::new(&["w-1", "w-2", "w-3"], 1);
    fleet.publish(2);
    fleet.reporting.get_mut("w-2").unwrap().0 = 2;
    fleet.reporting.get_mut("w-3").unwrap().0 = 2;
    fleet.run(5_000);
    fleet.reporting.get_mut("w-1").unwrap().0 = 2;
    fleet.run(1_500);
    assert_eq!(fleet.members.share("w-1"), Some(Share(0.25)));
    fleet.reporting.get_mut("w-1").unwrap().0 = 1;
    fleet.run(1_000);
    assert_eq!(fleet.members.share("w-1"), Some(Share(0.0)));
}

#[test]
fn exclusions_are_limited_for_each_site_even_if_all_members_are_behind() {
    let names: Vec<String> =
        (0..9).map(|n| format!("w-{n}")).chain(["e-1".into(), "n-1".into(), "n-2".into()]).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut fleet = Fleet::new(&names, 1);
    fleet.run(500);
    // All members are behind for good, as far as the audit knows.
    for shape in 2..40 {
        fleet.publish(shape);
        fleet.run(3_000);
        assert!(
            fleet.excluded_count("w") <= 3
                && fleet.excluded_count("e") == 0
                && fleet.excluded_count("n") <= 1
        );
    }
    assert_eq!((fleet.excluded_count("w"), fleet.excluded_count("n")), (3, 1));
    let kept_by_floor = fleet
        .members
        .status(&fleet.obligations, at(fleet.ms))
        .into_iter()
        .filter(|m| m.kept_by_floor)
        .count();
    assert_eq!(kept_by_floor, 12 - 4);
    assert_eq!([0, 1, 2, 3, 6, 10].map(max_excluded), [0, 0, 1, 1, 2, 3]);
}

#[test]
fn update_methods_are_tried_in_order_and_members_with_an_obstacle_are_skipped() {
    let mut fleet = Fleet::new(&["w-1", "w-2"], 1);
    fleet.publish(2);
    let mut methods = Vec::new();
    for _ in 0..100 {
        fleet.run(100);
        methods.extend(fleet.members.next_update("w-1", &fleet.obligations, at(fleet.ms)));
    }
    assert_eq!(
        methods,
        [
            UpdateMethod::Difference,
            UpdateMethod::Difference,
            UpdateMethod::Full,
            UpdateMethod::Full,
            UpdateMethod::Restart,
            UpdateMethod::Restart
        ]
    );
    assert_eq!(fleet.members.next_update("nobody", &fleet.obligations, at(fleet.ms)), None);
    // A member that rejects the version is distinguished from an unreachable one, and is not updated.
    let rejected = Some((2, "no such place".to_string()));
    fleet.members.on_report("w-2", Role::Router, "w", 1, stamp(1), rejected, at(fleet.ms));
    assert_eq!(fleet.members.next_update("w-2", &fleet.obligations, at(fleet.ms)), None);
    fleet.reporting.get_mut("w-1").unwrap().1 = false;
    fleet.reporting.get_mut("w-2").unwrap().1 = false;
    let status = |fleet: &Fleet, name: &str| {
        fleet.members.status(&fleet.obligations, at(fleet.ms)).into_iter().find(|m| m.member == name).unwrap()
    };
    assert!(matches!(status(&fleet, "w-2").obstacle, Some(Obstacle::Rejects { shape: 2, .. })));
    fleet.run(4_000);
    assert!(!status(&fleet, "w-1").reachable && status(&fleet, "w-1").obstacle.is_none());
}

#[test]
fn a_member_that_crashes_on_a_version_at_every_start_is_reported() {
    let mut fleet = Fleet::new(&["w-1"], 1);
    fleet.publish(2);
    fleet.reporting.clear();
    for start in 1..=4 {
        fleet.ms += 2_000;
        fleet.members.on_report("w-1", Role::Router, "w", start, stamp(1), None, at(fleet.ms));
    }
    let status = fleet.members.status(&fleet.obligations, at(fleet.ms));
    assert!(
        matches!(status[0].obstacle, Some(Obstacle::Crashes { shape: 2, starts: 4 })),
        "{:?}",
        status[0].obstacle
    );
    assert_eq!(fleet.members.next_update("w-1", &fleet.obligations, at(fleet.ms)), None);
}

#[test]
fn a_version_that_many_reject_is_withdrawn_once_and_one_that_few_reject_is_not() {
    let names: Vec<String> = (0..10).map(|n| format!("w-{n}")).collect();
    let withdrawals = |rejecting_count: usize| {
        let mut fleet = Fleet::new(&names.iter().map(String::as_str).collect::<Vec<_>>(), 1);
        fleet.run(500);
        fleet.publish(2);
        for round in 0..20 {
            fleet.ms += 100;
            for (n, name) in names.iter().enumerate() {
                let rejected = (n < rejecting_count).then(|| (2, "wrong".to_string()));
                let shape = if n < rejecting_count { 1 } else { 2 };
                fleet.members.on_report(name, Role::Hub, "w", 1, stamp(shape), rejected, at(fleet.ms));
            }
            let decided = fleet.members.tick(&fleet.obligations, at(fleet.ms));
            decided.iter().for_each(|decision| fleet.members.apply_decision(decision, at(fleet.ms)));
            fleet.decisions.extend(decided);
            let _ = round;
        }
        fleet.decisions.iter().filter(|d| matches!(d, Decision::Withdrawn { shape: 2, .. })).count()
    };
    assert_eq!((withdrawals(2), withdrawals(3), withdrawals(9)), (0, 1, 1));
}

#[test]
fn three_hundred_members_that_return_at_once_are_updated_within_the_budget() {
    let names: Vec<String> = (0..300).map(|n| format!("s{}-{n}", n % 12)).collect();
    let mut fleet = Fleet::new(&names.iter().map(String::as_str).collect::<Vec<_>>(), 1);
    fleet.publish(2);
    fleet.ms = 3_000;
    let (mut updated, mut full_updates, mut per_second) = (0, 0, 0);
    for tick in 0..100u64 {
        fleet.ms += 100;
        let mut updates = 0;
        for name in &names {
            let site = name.split('-').next().unwrap();
            let shape = fleet.reporting[name].0;
            fleet.members.on_report(name, Role::Router, site, 1, stamp(shape), None, at(fleet.ms));
            match fleet.members.next_update(name, &fleet.obligations, at(fleet.ms)) {
                // On every other tick a difference can't be applied.
                Some(UpdateMethod::Difference) if tick % 2 == 0 => {
                    fleet.reporting.get_mut(name).unwrap().0 = 2
                }
                Some(UpdateMethod::Difference) => updates += 1,
                Some(_) => {
                    (full_updates, updates) = (full_updates + 1, updates + 1);
                    fleet.reporting.get_mut(name).unwrap().0 = 2;
                }
                None => {}
            }
            updated += usize::from(fleet.reporting[name].0 == 2 && shape == 1);
        }
        per_second = per_second.max(updates);
    }
    assert_eq!(updated, 300);
    assert!(per_second <= 330, "{per_second} within a tick");
    assert!(full_updates < 300);
}

proptest! {
    /// For any reports in any order: exclusions stay within the limit, only members with a forbidden stamp are excluded, and
    /// those that stay well are readmitted.
    #[test]
    fn random_reports_keep_exclusions_within_the_limit_and_end_in_readmission(steps in prop::collection::vec((0usize..8, 0u64..4, any::<bool>(), 0u64..1_500), 1..150)) {
        let names: Vec<String> = (0..8).map(|n| format!("{}-{n}", if n < 5 { "w" } else { "e" })).collect();
        let mut fleet = Fleet::new(&names.iter().map(String::as_str).collect::<Vec<_>>(), 1);
        let mut newest = 1;
        fleet.run(200);
        for (member, step, reports, ms) in steps {
            let before = fleet.decisions.len();
            match step {
                0 => { newest += 1; fleet.publish(newest); }
                1 => *fleet.reporting.get_mut(&names[member]).unwrap() = (newest, reports),
                2 => fleet.reporting.get_mut(&names[member]).unwrap().1 = reports,
                _ => {}
            }
            fleet.run(ms);
            prop_assert!(fleet.excluded_count("w") <= 1 && fleet.excluded_count("e") <= 1);
            for decision in &fleet.decisions[before..] {
                if let Decision::Excluded { member, .. } = decision {
                    let staleness = fleet.obligations.staleness(&fleet.members.stamp(member).unwrap(), at(fleet.ms));
                    prop_assert!(staleness == Staleness::Forbidden, "{member} was {staleness:?}");
                }
            }
        }
        fleet.reporting.values_mut().for_each(|state| *state = (newest, true));
        fleet.run(8_000);
        prop_assert_eq!(fleet.members.excluded().len(), 0);
    }
}

#[test]
fn committed_decisions_apply_after_a_restart() {
    use harestage_audit::keeper::{Effect, Entry, KeeperState, Record};
    let decided = |decision| Record { term: 3, entry: Entry::Decided(decision) };
    let excluded = |member: &str| Decision::Excluded { member: member.into(), reason: "old".into() };
    let mut records = vec![Record { term: 3, entry: Entry::Opened }];
    records.extend([
        decided(excluded("a")),
        decided(excluded("b")),
        decided(Decision::Readmitted { member: "b".into() }),
    ]);
    // A record of a leader that had been replaced.
    records.push(Record { term: 2, entry: Entry::Decided(excluded("c")) });
    let (keeper, effects) = KeeperState::open(&records, at(0));
    assert_eq!(effects, [Effect::Write(Record { term: 4, entry: Entry::Opened })]);
    let snapshot = keeper.snapshot();
    assert_eq!(
        snapshot,
        [Record { term: 4, entry: Entry::Opened }, Record { term: 4, entry: Entry::Decided(excluded("a")) }]
    );
}
