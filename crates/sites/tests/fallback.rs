//! A node with fallback plans and no service to ask: when it applies them, and when it does not.
use harestage::time::{Moment, Span};
use harestage_sites::fallback::{FallbackChange, FallbackMode, FallbackPlan, SERVICE_TIMEOUT};
use harestage_sites::liveness::SiteObservation;
use std::collections::BTreeSet;

const SITES: [&str; 3] = ["east", "north", "west"];

fn set(sites: &[&str]) -> BTreeSet<String> {
    sites.iter().map(|site| site.to_string()).collect()
}

fn planned(lost: &[&str], upstreams: &[&str]) -> FallbackPlan {
    FallbackPlan {
        lost: set(lost),
        upstreams: upstreams.iter().map(|upstream| upstream.to_string()).collect(),
    }
}

struct Scenario {
    fallback: FallbackMode,
    now: Moment,
    changes: Vec<FallbackChange>,
}

impl Scenario {
    fn new() -> Scenario {
        let now = Moment::at_micros(1_000_000);
        let mut fallback = FallbackMode::new(now);
        let plans = vec![
            planned(&["west"], &["hub-east-1", "hub-north-1"]),
            planned(&["north", "west"], &["hub-east-1", "hub-east-2"]),
        ];
        fallback.set_version(7, SITES.into_iter(), plans, now);
        Scenario { fallback, now, changes: Vec::new() }
    }

    /// Runs for a time in which hubs of each site in `by` report that they hear nothing of `missing`.
    fn run(&mut self, ms: u64, by: &[&str], missing: &[&str], service_sends: bool) {
        for _ in 0..ms / 100 {
            self.now = self.now + Span::millis(100);
            if service_sends {
                self.changes.extend(self.fallback.on_service_message(self.now));
            }
            for site in by {
                let observation = |other: &&str| SiteObservation {
                    site: other.to_string(),
                    unanswered: if missing.contains(other) { 9 } else { 0 },
                    known: true,
                    slowness: 1.0,
                    leaving: false,
                };
                let observations = SITES.iter().filter(|other| *other != site).map(observation).collect();
                self.fallback.on_observations(&format!("hub-{site}-1"), site, observations, self.now);
            }
            self.changes.extend(self.fallback.tick(self.now));
        }
    }
}

#[test]
fn without_a_service_it_applies_the_plan_until_one_is_heard_again() {
    let mut scenario = Scenario::new();
    scenario.run(1_000, &SITES, &[], true);
    scenario.run(SERVICE_TIMEOUT.as_micros() / 1_000 + 1_500, &["east", "north"], &["west"], false);
    assert_eq!(scenario.changes, [FallbackChange::Entered { lost: set(&["west"]), planned: true }]);
    assert_eq!(scenario.fallback.upstreams().unwrap(), ["hub-east-1", "hub-north-1"]);
    // The site is heard again, but without a service nothing could pace its recovery.
    scenario.run(20_000, &SITES, &[], false);
    assert_eq!(scenario.fallback.excluded_sites(), &set(&["west"]));
    scenario.run(100, &SITES, &[], true);
    assert_eq!(scenario.changes.last(), Some(&FallbackChange::Left));
    assert!(scenario.fallback.upstreams().is_none() && scenario.changes.len() == 2);
}

#[test]
fn while_a_service_is_heard_it_alone_decides() {
    let mut scenario = Scenario::new();
    scenario.run(10_000, &["east", "north"], &["west"], true);
    assert_eq!(scenario.changes, []);
    // A change of the leader takes less time than the service timeout.
    scenario.run(1_500, &["east", "north"], &["west"], false);
    scenario.run(500, &["east", "north"], &["west"], true);
    assert_eq!(scenario.changes, []);
}

#[test]
fn one_site_alone_proves_nothing() {
    let mut scenario = Scenario::new();
    scenario.run(10_000, &["east"], &["west"], false);
    assert_eq!(scenario.changes, []);
    // The same holds for two sites that miss different ones.
    scenario.run(5_000, &["east", "north"], &["east"], false);
    assert_eq!(scenario.changes, []);
}

#[test]
fn a_second_loss_seen_by_one_site_only_is_not_applied() {
    let mut scenario = Scenario::new();
    scenario.run(1_000, &SITES, &[], true);
    scenario.run(5_000, &["east", "north"], &["west"], false);
    scenario.run(5_000, &["east"], &["north", "west"], false);
    // One remaining site is no proof of the loss of another: it may be cut off itself.
    assert_eq!(scenario.fallback.excluded_sites(), &set(&["west"]));
    scenario.run(100, &["east"], &[], true);
    assert_eq!(scenario.changes.last(), Some(&FallbackChange::Left));
}

#[test]
fn a_process_that_was_suspended_has_not_missed_the_service() {
    let mut scenario = Scenario::new();
    scenario.run(1_000, &SITES, &[], true);
    scenario.now = scenario.now + Span::millis(60_000);
    scenario.run(1_500, &["east", "north"], &["west"], false);
    assert_eq!(scenario.changes, []);
    scenario.run(2_000, &["east", "north"], &["west"], false);
    assert_eq!(scenario.changes.len(), 1);
}

#[test]
fn more_losses_than_planned_for_apply_the_largest_plan_that_they_include() {
    let mut fallback = FallbackMode::new(Moment::at_micros(1));
    let names = ["a", "b", "c", "d", "e"];
    let plans = vec![planned(&["a"], &["x"]), planned(&["a", "b"], &["y"])];
    fallback.set_version(1, names.into_iter(), plans, Moment::at_micros(1));
    let mut now = Moment::at_micros(1);
    for _ in 0..60 {
        now = now + Span::millis(100);
        for by in ["d", "e"] {
            let observation = |other: &&str| SiteObservation {
                site: other.to_string(),
                unanswered: u32::from(["a", "b", "c"].contains(other)) * 9,
                known: true,
                slowness: 1.0,
                leaving: false,
            };
            let observations = names.iter().filter(|other| **other != by).map(observation).collect();
            fallback.on_observations(by, by, observations, now);
        }
        fallback.tick(now);
    }
    // Two of five sites are no proof. Of the reports of three sites, whatever all of them miss is lost.
    assert!(fallback.excluded_sites().is_empty());
    for _ in 0..60 {
        now = now + Span::millis(100);
        for by in ["c", "d", "e"] {
            let observation = |other: &&str| SiteObservation {
                site: other.to_string(),
                unanswered: u32::from(["a", "b"].contains(other)) * 9,
                known: true,
                slowness: 1.0,
                leaving: false,
            };
            let observations = names.iter().filter(|other| **other != by).map(observation).collect();
            fallback.on_observations(by, by, observations, now);
        }
        fallback.tick(now);
    }
    assert_eq!(
        (fallback.excluded_sites(), fallback.upstreams()),
        (&set(&["a", "b"]), Some(&["y".to_string()][..]))
    );
}
