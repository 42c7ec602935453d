//! What is held of a site, in virtual time: witnesses at several sites ask each other, and faults come between them.
use harestage::time::{Moment, Span};
use harestage_sites::failure_detector::{FailureDetector, SiteView, ViewChange, WitnessKind};
use harestage_sites::liveness::LivenessView;
use std::collections::{BTreeMap, BTreeSet};

const SITES: [&str; 3] = ["east", "north", "west"];

struct Witness {
    name: String,
    site: &'static str,
    kind: WitnessKind,
    sight: LivenessView,
    stopped: bool,
}

/// Two hubs and a service at each site, one watch that hears all that is not cut off from it.
struct World {
    now: Moment,
    witnesses: Vec<Witness>,
    watch: FailureDetector,
    /// Sites that are down, and pairs of which the first does not hear the second.
    down: BTreeSet<&'static str>,
    deaf: BTreeSet<(&'static str, &'static str)>,
    /// Milliseconds that an answer of a site takes.
    takes: BTreeMap<&'static str, u64>,
    owed: Vec<(Moment, usize, &'static str, u64)>,
    changes: Vec<(Moment, ViewChange)>,
    leaving: BTreeSet<&'static str>,
    /// Where the watch is: reports of sites that it does not hear never come.
    watch_at: &'static str,
}

impl World {
    fn new(watch_at: &'static str) -> World {
        let now = Moment::at_micros(10_000_000);
        let mut witnesses = Vec::new();
        for site in SITES {
            for (n, kind) in
                [WitnessKind::Hub, WitnessKind::Hub, WitnessKind::Service].into_iter().enumerate()
            {
                let mut sight = LivenessView::default();
                sight.set_sites(SITES.into_iter().filter(|s| *s != site));
                witnesses.push(Witness { name: format!("{site}-{n}"), site, kind, sight, stopped: false });
            }
        }
        World {
            now,
            witnesses,
            watch: FailureDetector::new(SITES.into_iter(), now),
            down: BTreeSet::new(),
            deaf: BTreeSet::new(),
            takes: BTreeMap::new(),
            owed: Vec::new(),
            changes: Vec::new(),
            leaving: BTreeSet::new(),
            watch_at,
        }
    }

    fn hears(&self, site: &'static str, other: &'static str) -> bool {
        site == other || !self.down.contains(other) && !self.deaf.contains(&(site, other))
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now = self.now + Span::millis(100);
            let now = self.now;
            let (due, left) = std::mem::take(&mut self.owed).into_iter().partition(|(at, ..)| *at <= now);
            self.owed = left;
            let due: Vec<(Moment, usize, &str, u64)> = due;
            for (at, n, site, number) in due {
                let leaving = self.leaving.contains(site);
                if !self.witnesses[n].stopped {
                    self.witnesses[n].sight.on_answer(site, number, leaving, at);
                }
            }
            for n in 0..self.witnesses.len() {
                let (site, stopped) = (self.witnesses[n].site, self.witnesses[n].stopped);
                if stopped || self.down.contains(site) {
                    continue;
                }
                self.witnesses[n].sight.tick(now);
                for other in SITES.into_iter().filter(|s| *s != site) {
                    let Some(number) = self.witnesses[n].sight.on_query(other, now) else { continue };
                    if self.hears(site, other) && self.hears(other, site) {
                        let takes = self.takes.get(other).copied().unwrap_or(3);
                        self.owed.push((now + Span::millis(takes), n, other, number));
                    }
                }
                if self.hears(self.watch_at, site) {
                    let w = &self.witnesses[n];
                    self.watch.on_report(&w.name, w.site, w.kind, w.sight.observations(), now);
                }
            }
            for change in self.watch.tick(now) {
                self.changes.push((now, change));
            }
        }
    }

    fn became(&self, site: &str, after: Moment, to: impl Fn(&SiteView) -> bool) -> Option<Span> {
        let found = self.changes.iter().find(|(at, c)| c.site == site && *at >= after && to(&c.to));
        found.map(|(at, _)| at.since(after))
    }

    fn losses(&self) -> Vec<&str> {
        self.changes.iter().filter(|(_, c)| c.to == SiteView::Lost).map(|(_, c)| c.site.as_str()).collect()
    }
}

#[test]
fn a_site_that_dies_is_lost_within_two_seconds_and_no_other_is() {
    let mut world = World::new("east");
    world.run(2_000);
    assert!(SITES.iter().all(|site| *world.watch.view(site) == SiteView::Up));
    world.down.insert("west");
    let died = world.now;
    world.run(3_000);
    let decided = world.became("west", died, |to| *to == SiteView::Lost).expect("it is lost");
    assert!(decided <= Span::millis(2_000), "{decided:?}");
    assert_eq!(world.losses(), ["west"]);
}

#[test]
fn a_cut_between_two_sites_is_no_loss_of_either() {
    let mut world = World::new("north");
    world.run(2_000);
    world.deaf.extend([("east", "west"), ("west", "east")]);
    let cut = world.now;
    world.run(4_000);
    assert!(world.losses().is_empty());
    assert!(
        world
            .became("west", cut, |to| matches!(to, SiteView::CutFromSome { by } if by == &["east"]))
            .is_some()
    );
    assert!(
        world
            .became("east", cut, |to| matches!(to, SiteView::CutFromSome { by } if by == &["west"]))
            .is_some()
    );
    // One way only: questions or answers get lost, and the one who asks can't tell which.
    let mut world = World::new("north");
    world.run(2_000);
    world.deaf.insert(("east", "west"));
    world.run(4_000);
    assert!(world.losses().is_empty());
    assert!(matches!(world.watch.view("west"), SiteView::CutFromSome { .. }));
}

#[test]
fn one_witness_or_one_site_of_them_loses_nobody() {
    let mut world = World::new("north");
    world.run(2_000);
    // All of east and the watch's own site hear nothing of west; half of what there is, and not most of the others.
    world.deaf.extend([("east", "west"), ("west", "east")]);
    for n in 0..world.witnesses.len() {
        if world.witnesses[n].site == "north" && n % 3 != 0 {
            world.witnesses[n].stopped = true;
        }
    }
    world.run(4_000);
    assert!(world.losses().is_empty(), "one witness of north hears it still");
}

#[test]
fn whoever_is_cut_off_itself_has_no_word() {
    let mut world = World::new("east");
    world.run(2_000);
    for site in ["north", "west"] {
        world.deaf.extend([("east", site), (site, "east")]);
    }
    world.run(5_000);
    assert!(world.losses().is_empty(), "to those at east, everyone else is gone: {:?}", world.losses());
}

#[test]
fn a_slow_site_is_slow_and_one_that_goes_down_in_order_leaves() {
    let mut world = World::new("north");
    world.run(4_000);
    world.takes.insert("west", 180);
    let slow = world.now;
    world.run(3_000);
    assert!(world.became("west", slow, |to| matches!(to, SiteView::Slow { .. })).is_some());
    world.takes.clear();
    world.run(6_000);
    assert_eq!(*world.watch.view("west"), SiteView::Up);
    world.leaving.insert("west");
    let leaves = world.now;
    world.run(2_000);
    assert!(world.became("west", leaves, |to| *to == SiteView::Leaving).is_some());
    assert!(world.losses().is_empty());
}

#[test]
fn a_witness_that_was_stopped_and_wakes_up_has_seen_no_silence() {
    let mut world = World::new("north");
    world.run(2_000);
    for n in 0..world.witnesses.len() {
        world.witnesses[n].stopped = world.witnesses[n].site != "west";
    }
    world.run(10_000);
    world.witnesses.iter_mut().for_each(|w| w.stopped = false);
    world.run(3_000);
    assert!(world.losses().is_empty());
}

#[test]
fn what_flaps_is_held_for_longer_each_time() {
    let mut world = World::new("east");
    world.run(2_000);
    let mut held = Vec::new();
    for _ in 0..4 {
        world.down.insert("west");
        world.run(3_000);
        world.down.clear();
        let back = world.now;
        while world.watch.is_held_back("west", world.now) {
            world.run(100);
        }
        held.push(world.now.since(back));
    }
    assert!(held.windows(2).all(|pair| pair[1] > pair[0] * 1.4), "{held:?}");
    assert_eq!(world.watch.loss_count("west"), 4);
}
