//! Failure detection in virtual time: witnesses at several sites query each other, with faults between them.
use harestage::time::{Moment, Span};
use harestage_sites::failure_detector::{FailureDetector, SiteView, ViewChange, WitnessKind};
use harestage_sites::liveness::LivenessView;
use std::collections::{BTreeMap, BTreeSet};

const SITES: [&str; 3] = ["east", "north", "west"];

struct Witness {
    name: String,
    site: &'static str,
    kind: WitnessKind,
    liveness: LivenessView,
    suspended: bool,
}

/// Two hubs and a service at each site, and one failure detector that receives every report that is not cut
/// off from it.
struct World {
    now: Moment,
    witnesses: Vec<Witness>,
    detector: FailureDetector,
    /// Sites that are down, and pairs of sites of which the first does not hear the second.
    down: BTreeSet<&'static str>,
    cut: BTreeSet<(&'static str, &'static str)>,
    /// The time that a site takes to answer, in milliseconds.
    answer_ms: BTreeMap<&'static str, u64>,
    pending_answers: Vec<(Moment, usize, &'static str, u64)>,
    changes: Vec<(Moment, ViewChange)>,
    leaving: BTreeSet<&'static str>,
    /// The site of the detector: reports from sites that it does not hear never arrive.
    detector_site: &'static str,
}

impl World {
    fn new(detector_site: &'static str) -> World {
        let now = Moment::at_micros(10_000_000);
        let mut witnesses = Vec::new();
        for site in SITES {
            for (n, kind) in
                [WitnessKind::Hub, WitnessKind::Hub, WitnessKind::Service].into_iter().enumerate()
            {
                let mut liveness = LivenessView::default();
                liveness.set_sites(SITES.into_iter().filter(|s| *s != site));
                witnesses.push(Witness {
                    name: format!("{site}-{n}"),
                    site,
                    kind,
                    liveness,
                    suspended: false,
                });
            }
        }
        World {
            now,
            witnesses,
            detector: FailureDetector::new(SITES.into_iter(), now),
            down: BTreeSet::new(),
            cut: BTreeSet::new(),
            answer_ms: BTreeMap::new(),
            pending_answers: Vec::new(),
            changes: Vec::new(),
            leaving: BTreeSet::new(),
            detector_site,
        }
    }

    fn hears(&self, site: &'static str, other: &'static str) -> bool {
        site == other || !self.down.contains(other) && !self.cut.contains(&(site, other))
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now = self.now + Span::millis(100);
            let now = self.now;
            let (due, remaining) =
                std::mem::take(&mut self.pending_answers).into_iter().partition(|(at, ..)| *at <= now);
            self.pending_answers = remaining;
            let due: Vec<(Moment, usize, &str, u64)> = due;
            for (at, n, site, number) in due {
                let leaving = self.leaving.contains(site);
                if !self.witnesses[n].suspended {
                    self.witnesses[n].liveness.on_answer(site, number, leaving, at);
                }
            }
            for n in 0..self.witnesses.len() {
                let (site, suspended) = (self.witnesses[n].site, self.witnesses[n].suspended);
                if suspended || self.down.contains(site) {
                    continue;
                }
                self.witnesses[n].liveness.tick(now);
                for other in SITES.into_iter().filter(|s| *s != site) {
                    let Some(number) = self.witnesses[n].liveness.on_query(other, now) else { continue };
                    if self.hears(site, other) && self.hears(other, site) {
                        let answer_ms = self.answer_ms.get(other).copied().unwrap_or(3);
                        self.pending_answers.push((now + Span::millis(answer_ms), n, other, number));
                    }
                }
                if self.hears(self.detector_site, site) {
                    let witness = &self.witnesses[n];
                    self.detector.on_report(
                        &witness.name,
                        witness.site,
                        witness.kind,
                        witness.liveness.observations(),
                        now,
                    );
                }
            }
            for change in self.detector.tick(now) {
                self.changes.push((now, change));
            }
        }
    }

    fn became(&self, site: &str, after: Moment, to: impl Fn(&SiteView) -> bool) -> Option<Span> {
        let change =
            self.changes.iter().find(|(at, change)| change.site == site && *at >= after && to(&change.to));
        change.map(|(at, _)| at.since(after))
    }

    fn losses(&self) -> Vec<&str> {
        self.changes
            .iter()
            .filter(|(_, change)| change.to == SiteView::Lost)
            .map(|(_, change)| change.site.as_str())
            .collect()
    }
}

#[test]
fn a_site_that_fails_is_lost_within_two_seconds_and_no_other_is() {
    let mut world = World::new("east");
    world.run(2_000);
    assert!(SITES.iter().all(|site| *world.detector.view(site) == SiteView::Up));
    world.down.insert("west");
    let failed_at = world.now;
    world.run(3_000);
    let decided = world.became("west", failed_at, |to| *to == SiteView::Lost).expect("it is lost");
    assert!(decided <= Span::millis(2_000), "{decided:?}");
    assert_eq!(world.losses(), ["west"]);
}

#[test]
fn a_cut_between_two_sites_is_no_loss_of_either() {
    let mut world = World::new("north");
    world.run(2_000);
    world.cut.extend([("east", "west"), ("west", "east")]);
    let cut_at = world.now;
    world.run(4_000);
    assert!(world.losses().is_empty());
    assert!(
        world
            .became("west", cut_at, |to| matches!(to, SiteView::CutFromSome { by } if by == &["east"]))
            .is_some()
    );
    assert!(
        world
            .became("east", cut_at, |to| matches!(to, SiteView::CutFromSome { by } if by == &["west"]))
            .is_some()
    );
    // A cut in one direction: queries or answers are lost, and the witness cannot tell which.
    let mut world = World::new("north");
    world.run(2_000);
    world.cut.insert(("east", "west"));
    world.run(4_000);
    assert!(world.losses().is_empty());
    assert!(matches!(world.detector.view("west"), SiteView::CutFromSome { .. }));
}

#[test]
fn one_witness_or_one_site_of_witnesses_declares_no_loss() {
    let mut world = World::new("north");
    world.run(2_000);
    // All witnesses of east and some of the detector's own site hear nothing of west: half of the sites, and
    // not most of the others.
    world.cut.extend([("east", "west"), ("west", "east")]);
    for n in 0..world.witnesses.len() {
        if world.witnesses[n].site == "north" && n % 3 != 0 {
            world.witnesses[n].suspended = true;
        }
    }
    world.run(4_000);
    assert!(world.losses().is_empty(), "one witness of north still hears it");
}

#[test]
fn a_witness_that_is_cut_off_itself_does_not_count() {
    let mut world = World::new("east");
    world.run(2_000);
    for site in ["north", "west"] {
        world.cut.extend([("east", site), (site, "east")]);
    }
    world.run(5_000);
    assert!(
        world.losses().is_empty(),
        "to the witnesses of east, all other sites are silent: {:?}",
        world.losses()
    );
}

#[test]
fn a_slow_site_is_slow_and_one_that_shuts_down_in_order_is_leaving() {
    let mut world = World::new("north");
    world.run(4_000);
    world.answer_ms.insert("west", 180);
    let slow_at = world.now;
    world.run(3_000);
    assert!(world.became("west", slow_at, |to| matches!(to, SiteView::Slow { .. })).is_some());
    world.answer_ms.clear();
    world.run(6_000);
    assert_eq!(*world.detector.view("west"), SiteView::Up);
    world.leaving.insert("west");
    let leaving_at = world.now;
    world.run(2_000);
    assert!(world.became("west", leaving_at, |to| *to == SiteView::Leaving).is_some());
    assert!(world.losses().is_empty());
}

#[test]
fn a_witness_that_was_suspended_has_observed_no_silence() {
    let mut world = World::new("north");
    world.run(2_000);
    for n in 0..world.witnesses.len() {
        world.witnesses[n].suspended = world.witnesses[n].site != "west";
    }
    world.run(10_000);
    world.witnesses.iter_mut().for_each(|witness| witness.suspended = false);
    world.run(3_000);
    assert!(world.losses().is_empty());
}

#[test]
fn a_site_that_flaps_is_held_for_longer_each_time() {
    let mut world = World::new("east");
    world.run(2_000);
    let mut held = Vec::new();
    for _ in 0..4 {
        world.down.insert("west");
        world.run(3_000);
        world.down.clear();
        let back = world.now;
        while world.detector.is_held_back("west", world.now) {
            world.run(100);
        }
        held.push(world.now.since(back));
    }
    assert!(held.windows(2).all(|pair| pair[1] > pair[0] * 1.4), "{held:?}");
    assert_eq!(world.detector.loss_count("west"), 4);
}
