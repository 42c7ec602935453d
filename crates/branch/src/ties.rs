//! Which hubs the routers of a branch may fill from. No socket, no clock.
//!
//! The version in service says to which hubs the branch is tied. While a site is lost and no service speaks, the fallback
//! plan for that loss takes its place. Hubs that are fenced are left out of either.
use harestage::time::Moment;
use harestage_shape::config::ShapeConfig;
use harestage_shape::messages::FallbackPlan;
use harestage_shape::topology::{NodeIndex, Shape};
use harestage_sites::failure_detector::SILENCE_THRESHOLD;
use harestage_sites::fallback::{FallbackChange, FallbackMode};
use harestage_sites::liveness::SiteObservation;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Shapes that are kept of those shown: a hub that is left out drains with one and is removed with the next.
const SHOWN_SHAPES: usize = 3;

/// The ties of one branch.
pub(crate) struct Ties {
    branch: String,
    version: Option<Shape>,
    fallback: FallbackMode,
    /// Members that lack a purge: no router may name one as the source of a fill.
    fenced: BTreeSet<String>,
    /// When hubs of the version were freed last, Unix milliseconds. Routers ask them like hubs that started then.
    freed_at_ms: BTreeMap<String, u64>,
    /// The shapes that routers were shown last, the newest at the end.
    shown: VecDeque<Rc<Shape>>,
}

/// A shape as routers are shown it, with the two that they were shown before.
pub(crate) struct Shown {
    pub long_before: Option<Rc<Shape>>,
    pub before: Option<Rc<Shape>>,
    pub now: Rc<Shape>,
}

impl Ties {
    pub fn new(branch: &str, now: Moment) -> Ties {
        Ties {
            branch: branch.into(),
            version: None,
            fallback: FallbackMode::new(now),
            fenced: BTreeSet::new(),
            freed_at_ms: BTreeMap::new(),
            shown: VecDeque::new(),
        }
    }

    pub fn branch(&self) -> &str {
        &self.branch
    }

    /// The version in service, as far as it was told.
    pub fn version(&self) -> Option<&Shape> {
        self.version.as_ref()
    }

    /// The shape that routers were shown last.
    pub fn shown(&self) -> Option<&Rc<Shape>> {
        self.shown.back()
    }

    /// Takes a newer version, with the plans for this branch. False, and nothing has changed, for one that does not hold or
    /// does not name the branch.
    pub fn set_version(&mut self, config: &ShapeConfig, plans: Vec<FallbackPlan>, now: Moment) -> bool {
        let shape = match &self.version {
            Some(version) if config.version <= version.version() => return false,
            Some(version) => version.successor(config),
            None => Shape::from_config(config),
        };
        let Some(shape) = shape.ok().filter(|shape| shape.find(&self.branch).is_some()) else { return false };
        self.fallback.set_version(shape.version(), shape.sites().into_iter(), plans, now);
        self.freed_at_ms.retain(|hub, _| shape.find(hub).is_some());
        self.version = Some(shape);
        true
    }

    /// The control service has said something, whatever it was.
    pub fn on_service_message(&mut self, now: Moment) -> Option<FallbackChange> {
        self.fallback.on_service_message(now)
    }

    /// A hub has answered, and named the sites from which it hears nothing.
    pub fn on_observation(&mut self, hub: &str, unseen: &[String], leaving: bool, now: Moment) {
        let Some(shape) = &self.version else { return };
        let Some(own) = shape.find(hub).and_then(|at| shape.node(at)?.as_hub()) else { return };
        let site = own.site.clone();
        let others = shape.sites().into_iter().filter(|other| *other != site);
        let observations = others.map(|other| SiteObservation {
            site: other.into(),
            unanswered: if unseen.iter().any(|name| name == other) { SILENCE_THRESHOLD } else { 0 },
            known: true,
            slowness: 1.0,
            leaving,
        });
        let observations = observations.collect();
        self.fallback.on_observations(hub, &site, observations, now);
    }

    /// To be called some times a second.
    pub fn tick(&mut self, now: Moment) -> Option<FallbackChange> {
        self.fallback.tick(now)
    }

    /// The sites that the branch goes without.
    pub fn excluded_sites(&self) -> String {
        self.fallback.excluded_sites().iter().cloned().collect::<Vec<_>>().join("+")
    }

    /// Replaces the set of fenced members.
    pub fn set_fenced(&mut self, fenced: BTreeSet<String>, now: Moment) {
        let known = |name: &&String| self.version.as_ref().is_some_and(|shape| shape.find(name).is_some());
        let freed: Vec<String> = self.fenced.difference(&fenced).filter(known).cloned().collect();
        self.freed_at_ms.extend(freed.into_iter().map(|name| (name, now.micros() / 1_000)));
        self.fenced = fenced;
    }

    /// The fenced hubs among those that the branch is tied to.
    pub fn fenced(&self) -> Vec<&str> {
        let Some(version) = &self.version else { return Vec::new() };
        let ties = version.find(&self.branch).map_or(&[][..], |branch| version.upstreams(branch));
        ties.iter().map(|hub| version.name(*hub)).filter(|name| self.fenced.contains(*name)).collect()
    }

    /// Whether routers were shown other ties than those in use.
    pub fn have_changed(&self) -> bool {
        let (Some(version), Some(shown)) = (&self.version, self.shown.back()) else { return false };
        let Some(branch) = version.find(&self.branch) else { return false };
        self.in_use(version) != shown.upstreams(branch)
    }

    /// The shape to show now, which counts as shown. `None` before the first version.
    pub fn show(&mut self) -> Option<Shown> {
        let now = Rc::new(self.visible_shape(self.version.as_ref()?));
        let (before, long_before) = (self.shown.back().cloned(), self.shown.iter().rev().nth(1).cloned());
        self.shown.push_back(now.clone());
        while self.shown.len() > SHOWN_SHAPES {
            self.shown.pop_front();
        }
        Some(Shown { long_before, before, now })
    }

    /// The ties while a site is lost and no service speaks: those of the plan; and where nobody made one, those that are
    /// left.
    fn of_fallback(&self, shape: &Shape) -> Option<Vec<NodeIndex>> {
        if self.fallback.excluded_sites().is_empty() {
            return None;
        }
        let lost = |at: &NodeIndex| {
            let hub = shape.node(*at).and_then(|place| place.as_hub());
            hub.is_some_and(|hub| self.fallback.excluded_sites().contains(&hub.site))
        };
        let of_plan = self.fallback.upstreams().map(|ties| {
            let found = ties.iter().filter_map(|tie| shape.find(tie));
            found.filter(|at| !lost(at)).collect::<Vec<_>>()
        });
        let left = || self.of_version(shape).into_iter().filter(|at| !lost(at)).collect::<Vec<_>>();
        Some(of_plan.filter(|ties| !ties.is_empty()).unwrap_or_else(left)).filter(|ties| !ties.is_empty())
    }

    fn of_version(&self, version: &Shape) -> Vec<NodeIndex> {
        version.find(&self.branch).map_or(Vec::new(), |branch| version.upstreams(branch).to_vec())
    }

    /// The hubs that routers may name as sources. There may be none: fills then come from the archive, which is never older
    /// than a purge.
    fn in_use(&self, version: &Shape) -> Vec<NodeIndex> {
        let mut ties = self.of_fallback(version).unwrap_or_else(|| self.of_version(version));
        ties.retain(|hub| !self.fenced.contains(version.name(*hub)));
        ties
    }

    /// The version as routers are to see it.
    fn visible_shape(&self, version: &Shape) -> Shape {
        let Some(branch) = version.find(&self.branch) else { return version.clone() };
        let ties = self.in_use(version);
        let visible = match ties == version.upstreams(branch) {
            true => version.clone(),
            false => version.with_upstreams(version.version(), [(branch, ties.as_slice())]),
        };
        self.with_slow_starts(visible)
    }

    /// A hub that was freed has lost what was purged, and its load comes back at once: it counts as started then.
    fn with_slow_starts(&self, shape: Shape) -> Shape {
        if self.freed_at_ms.is_empty() {
            return shape;
        }
        let mut config = shape.to_config();
        for hub in &mut config.hubs {
            hub.since_ms = hub.since_ms.max(self.freed_at_ms.get(&hub.name).copied().unwrap_or(0));
        }
        shape.successor(&config).unwrap_or(shape)
    }
}
