//! A place that was handed plans, with no service to ask: when it goes by them, and when it does not.
use harestage::time::{Moment, Span};
use harestage_sites::fallback::{FallbackChange, FallbackMode, FallbackPlan, SERVICE_TIMEOUT};
use harestage_sites::liveness::SiteObservation;
use std::collections::BTreeSet;

const SITES: [&str; 3] = ["east", "north", "west"];

fn set(sites: &[&str]) -> BTreeSet<String> {
    sites.iter().map(|site| site.to_string()).collect()
}

fn planned(lost: &[&str], ties: &[&str]) -> FallbackPlan {
    FallbackPlan { lost: set(lost), upstreams: ties.iter().map(|tie| tie.to_string()).collect() }
}

struct Play {
    standby: FallbackMode,
    now: Moment,
    turns: Vec<FallbackChange>,
}

impl Play {
    fn new() -> Play {
        let now = Moment::at_micros(1_000_000);
        let mut standby = FallbackMode::new(now);
        let plans = vec![
            planned(&["west"], &["hub-east-1", "hub-north-1"]),
            planned(&["north", "west"], &["hub-east-1", "hub-east-2"]),
        ];
        standby.set_version(7, SITES.into_iter(), plans, now);
        Play { standby, now, turns: Vec::new() }
    }

    /// So long, in which hubs of each of `by` say that they hear nothing of `missing`.
    fn run(&mut self, ms: u64, by: &[&str], missing: &[&str], speaks: bool) {
        for _ in 0..ms / 100 {
            self.now = self.now + Span::millis(100);
            if speaks {
                self.turns.extend(self.standby.on_service_message(self.now));
            }
            for site in by {
                let sight = |other: &&str| SiteObservation {
                    site: other.to_string(),
                    unanswered: if missing.contains(other) { 9 } else { 0 },
                    known: true,
                    slowness: 1.0,
                    leaving: false,
                };
                let sightings = SITES.iter().filter(|other| *other != site).map(sight).collect();
                self.standby.on_observations(&format!("hub-{site}-1"), site, sightings, self.now);
            }
            self.turns.extend(self.standby.tick(self.now));
        }
    }
}

#[test]
fn with_no_service_it_goes_by_the_plan_and_back_when_one_speaks() {
    let mut play = Play::new();
    play.run(1_000, &SITES, &[], true);
    play.run(SERVICE_TIMEOUT.as_micros() / 1_000 + 1_500, &["east", "north"], &["west"], false);
    assert_eq!(play.turns, [FallbackChange::Entered { lost: set(&["west"]), planned: true }]);
    assert_eq!(play.standby.upstreams().unwrap(), ["hub-east-1", "hub-north-1"]);
    // It is heard again: nobody could pace its way back.
    play.run(20_000, &SITES, &[], false);
    assert_eq!(play.standby.excluded_sites(), &set(&["west"]));
    play.run(100, &SITES, &[], true);
    assert_eq!(play.turns.last(), Some(&FallbackChange::Left));
    assert!(play.standby.upstreams().is_none() && play.turns.len() == 2);
}

#[test]
fn a_service_that_speaks_decides_alone() {
    let mut play = Play::new();
    play.run(10_000, &["east", "north"], &["west"], true);
    assert_eq!(play.turns, []);
    // A change of its leader is shorter than what is waited for.
    play.run(1_500, &["east", "north"], &["west"], false);
    play.run(500, &["east", "north"], &["west"], true);
    assert_eq!(play.turns, []);
}

#[test]
fn one_site_alone_proves_nothing() {
    let mut play = Play::new();
    play.run(10_000, &["east"], &["west"], false);
    assert_eq!(play.turns, []);
    // Nor do two that see different things missing.
    play.run(5_000, &["east", "north"], &["east"], false);
    assert_eq!(play.turns, []);
}

#[test]
fn a_second_loss_goes_by_the_plan_for_both_and_all_is_never_left_out() {
    let mut play = Play::new();
    play.run(1_000, &SITES, &[], true);
    play.run(5_000, &["east", "north"], &["west"], false);
    play.run(5_000, &["east"], &["north", "west"], false);
    // One site that is left is no proof of the loss of another: it may be cut off.
    assert_eq!(play.standby.excluded_sites(), &set(&["west"]));
    play.run(100, &["east"], &[], true);
    assert_eq!(play.turns.last(), Some(&FallbackChange::Left));
}

#[test]
fn a_process_that_was_stopped_has_not_missed_the_service() {
    let mut play = Play::new();
    play.run(1_000, &SITES, &[], true);
    play.now = play.now + Span::millis(60_000);
    play.run(1_500, &["east", "north"], &["west"], false);
    assert_eq!(play.turns, []);
    play.run(2_000, &["east", "north"], &["west"], false);
    assert_eq!(play.turns.len(), 1);
}

#[test]
fn more_losses_than_were_planned_for_go_by_the_widest_plan_within_them() {
    let mut standby = FallbackMode::new(Moment::at_micros(1));
    let names = ["a", "b", "c", "d", "e"];
    let plans = vec![planned(&["a"], &["x"]), planned(&["a", "b"], &["y"])];
    standby.set_version(1, names.into_iter(), plans, Moment::at_micros(1));
    let mut now = Moment::at_micros(1);
    for _ in 0..60 {
        now = now + Span::millis(100);
        for by in ["d", "e"] {
            let sight = |other: &&str| SiteObservation {
                site: other.to_string(),
                unanswered: u32::from(["a", "b", "c"].contains(other)) * 9,
                known: true,
                slowness: 1.0,
                leaving: false,
            };
            let sightings = names.iter().filter(|other| **other != by).map(sight).collect();
            standby.on_observations(by, by, sightings, now);
        }
        standby.tick(now);
    }
    // Two of five sites are no proof; of what three say, all that they miss is lost.
    assert!(standby.excluded_sites().is_empty());
    for _ in 0..60 {
        now = now + Span::millis(100);
        for by in ["c", "d", "e"] {
            let sight = |other: &&str| SiteObservation {
                site: other.to_string(),
                unanswered: u32::from(["a", "b"].contains(other)) * 9,
                known: true,
                slowness: 1.0,
                leaving: false,
            };
            let sightings = names.iter().filter(|other| **other != by).map(sight).collect();
            standby.on_observations(by, by, sightings, now);
        }
        standby.tick(now);
    }
    assert_eq!(
        (standby.excluded_sites(), standby.upstreams()),
        (&set(&["a", "b"]), Some(&["y".to_string()][..]))
    );
}
