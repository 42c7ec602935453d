//! The way from one version to another, in steps that each move a bounded part of the load.
//!
//! A place grows its new ties before it drops its old ones, one tie a step, so that rendezvous hashing moves an object
//! once at most; what would mix the archive with hubs, or tie a loop on the way, is replaced at once instead. Hubs get
//! their ties from the top down before branches use them, and lose them from the bottom up afterwards.
//!
//! A step goes out when its hubs are old enough for all that they are asked for after it: by branches, by other hubs,
//! and by themselves for what they do not hold yet.
use crate::config::ShapeConfig;
use crate::topology::{ARCHIVE, Node, NodeIndex, Shape, warm_fraction};
use crate::validation::{self, Loads, Violation};
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Part of all load that one step moves at most, where it moves more than one tie.
const MOST_MOVED: f64 = 0.1;
/// Of what a hub can do at its age, what it is asked for at most after a step. It falls over at a multiple of that.
const COLD_SHARE: f64 = 0.75;
/// Of the archive's stopping point, what it is asked for at most while a step's objects are fetched anew.
const ARCHIVE_SHARE: f64 = 0.7;
/// Between two steps at least, so that what a step does is seen before the next.
pub const SETTLE_TIME: Span = Span::millis(1_000);
/// Waiting for a hub to get warm is reckoned in pieces of it.
const WAIT: Span = Span::millis(500);
/// Steps at most: a plan that needs more is not understood by whoever watches it.
const MOST_STEPS: usize = 4_096;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The version that it starts from.
    pub from: u64,
    /// Where it ends: the last step makes the shape this one.
    pub to: ShapeConfig,
    pub steps: Vec<Step>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// From 1 up.
    pub number: usize,
    pub moves: Vec<UpstreamChange>,
    pub needs: Vec<AgeRequirement>,
    /// Part of all load that it moves, from 0 to 1.
    pub moved: f64,
    /// After the plan's begin, at the earliest.
    pub not_before_ms: u64,
}

/// A place's ties before and after.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamChange {
    #[serde(rename = "place")]
    pub node: String,
    pub from: Vec<String>,
    pub to: Vec<String>,
}

/// A hub has to be so old before the step goes out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgeRequirement {
    pub hub: String,
    pub age_ms: u64,
}

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanError {
    /// The shape that is wanted does not hold.
    Invalid(Vec<Violation>),
    /// A hub would be asked for more than it can do, however long one waits.
    Overload {
        node: String,
        asked: f64,
        limit: f64,
    },
    TooManySteps {
        steps: usize,
    },
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Invalid(complaints) => {
                let lines: Vec<_> = complaints.iter().map(|c| c.to_string()).collect();
                write!(f, "{}", lines.join("\n"))
            }
            Self::Overload { node: place, asked, limit: carries } => {
                write!(f, "{place}: on the way asked for {asked:.1} fills a second and carries {carries:.1}")
            }
            Self::TooManySteps { steps } => write!(f, "the change needs more than {steps} steps"),
        }
    }
}

/// One change of one place's ties.
#[derive(Clone, Debug)]
struct Op {
    place: NodeIndex,
    change: Change,
}

#[derive(Clone, Debug)]
enum Change {
    Add(NodeIndex),
    Drop(NodeIndex),
    Replace(Vec<NodeIndex>),
}

impl Op {
    fn applied(&self, ties: &[NodeIndex]) -> Vec<NodeIndex> {
        match &self.change {
            Change::Add(hub) => ties.iter().copied().chain([*hub]).collect(),
            Change::Drop(hub) => ties.iter().copied().filter(|tie| tie != hub).collect(),
            Change::Replace(to) => to.clone(),
        }
    }
}

/// Works out the steps from `from` to `to`, as they would go at `now`.
pub fn plan_change(from: &Shape, to: &ShapeConfig, now: Moment) -> Result<Plan, PlanError> {
    let target = Shape::from_config(to).map_err(PlanError::Invalid)?;
    validation::validate(&target).map_err(PlanError::Invalid)?;
    let wide = from.extended_with(from.version(), to);
    let mut planner = Planner::new(wide, now);
    for stretch in stages(&planner.shape, &target) {
        planner.lay(stretch)?;
    }
    let leftover = from.nodes().any(|(_, place)| target.find(place.name()).is_none());
    let figures = planner.shape.to_config().hubs.len() != from.to_config().hubs.len();
    if planner.steps.is_empty() && (leftover || figures || *from.archive() != *target.archive()) {
        planner.steps.push(Step {
            number: 1,
            moves: Vec::new(),
            needs: Vec::new(),
            moved: 0.0,
            not_before_ms: 0,
        });
    }
    Ok(Plan { from: from.version(), to: to.clone(), steps: planner.steps })
}

/// Operations that follow one another, as many in a step as fit, or all in one.
struct Stretch {
    ops: Vec<Op>,
    at_once: bool,
}

/// Operations in the order in which they may go: hubs get ties from the top down, branches move, hubs lose ties.
fn stages(wide: &Shape, target: &Shape) -> Vec<Stretch> {
    let mut stretches = Vec::new();
    let (mut hub_adds, mut branch_adds, mut branch_drops, mut hub_drops) = (vec![], vec![], vec![], vec![]);
    let knotted = knotted(wide, target);
    for (place, what) in wide.nodes() {
        let before = wide.upstreams(place);
        let after = wanted(wide, target, what.name());
        if before == after || matches!(what, Node::Archive(_)) {
            continue;
        }
        let hub = what.as_hub().is_some();
        let mixes = before.contains(&ARCHIVE) != after.contains(&ARCHIVE) || before.is_empty();
        let gone = target.find(what.name()).is_none();
        if (mixes || knotted.contains(&place)) && !gone {
            let replace = Op { place, change: Change::Replace(after) };
            (if hub { &mut hub_adds } else { &mut branch_adds }).push(replace);
            continue;
        }
        let adds = after.iter().filter(|tie| !before.contains(tie));
        let adds = adds.map(|tie| Op { place, change: Change::Add(*tie) });
        (if hub { &mut hub_adds } else { &mut branch_adds }).extend(adds);
        // Drops at last put the ties into their wanted order, too.
        let drops: Vec<_> = before.iter().filter(|tie| !after.contains(tie)).copied().collect();
        let into = if hub { &mut hub_drops } else { &mut branch_drops };
        into.extend(drops.iter().map(|tie| Op { place, change: Change::Drop(*tie) }));
        if !gone {
            into.push(Op { place, change: Change::Replace(after) });
        }
    }
    let height = heights(target, wide);
    hub_adds.sort_by_key(|op| height.get(&op.place).copied().unwrap_or(usize::MAX));
    let (at_once, one_by_one) = hub_adds.into_iter().partition(|op| knotted.contains(&op.place));
    stretches.push(Stretch { ops: one_by_one, at_once: false });
    stretches.push(Stretch { ops: at_once, at_once: true });
    let others = [branch_adds, branch_drops, hub_drops];
    stretches.extend(others.map(|ops| Stretch { ops, at_once: false }));
    stretches
}

/// Hubs that have to change at once, since with the ties of both shapes they would stand in a loop that neither has.
fn knotted(wide: &Shape, target: &Shape) -> BTreeSet<NodeIndex> {
    let mut knotted: BTreeSet<NodeIndex> = BTreeSet::new();
    loop {
        let grown = wide.hubs().map(|(at, hub)| {
            let after = wanted(wide, target, &hub.name);
            let before =
                wide.upstreams(at).iter().copied().filter(|_| !knotted.contains(&at) || after.is_empty());
            let mut ties: Vec<NodeIndex> = before.collect();
            ties.extend(
                after.iter().filter(|tie| !wide.upstreams(at).contains(tie) || knotted.contains(&at)),
            );
            (at, ties)
        });
        let grown: Vec<_> = grown.collect();
        let both = wide.with_upstreams(wide.version(), grown.iter().map(|(at, ties)| (*at, ties.as_slice())));
        let known = knotted.len();
        for complaint in validation::cycles(&both) {
            let Violation::Cycle { path } = complaint else { continue };
            knotted.extend(path.iter().filter_map(|name| wide.find(name)));
        }
        if knotted.len() == known {
            return knotted;
        }
    }
}

/// The ties that the target wants for a place, by the indices of the shape that is being changed.
fn wanted(wide: &Shape, target: &Shape, name: &str) -> Vec<NodeIndex> {
    let Some(place) = target.find(name) else { return Vec::new() };
    target.upstreams(place).iter().filter_map(|tie| wide.find(target.name(*tie))).collect()
}

/// Ties between a hub and the archive, by the indices of the shape that is being changed.
fn heights(target: &Shape, wide: &Shape) -> BTreeMap<NodeIndex, usize> {
    let mut height: BTreeMap<NodeIndex, usize> = BTreeMap::new();
    let mut below: BTreeMap<NodeIndex, Vec<NodeIndex>> = BTreeMap::new();
    for (at, _) in target.hubs() {
        target.upstreams(at).iter().for_each(|tie| below.entry(*tie).or_default().push(at));
    }
    let (mut front, mut level) = (vec![ARCHIVE], 0);
    while !front.is_empty() && level <= target.nodes().count() {
        height.extend(front.iter().map(|at| (*at, level)));
        let next: BTreeSet<_> =
            front.iter().flat_map(|at| below.get(at).into_iter().flatten()).copied().collect();
        (front, level) = (next.into_iter().collect(), level + 1);
    }
    height.into_iter().filter_map(|(at, level)| Some((wide.find(target.name(at))?, level))).collect()
}

struct Planner {
    shape: Shape,
    loads: Loads,
    total: f64,
    begin: Moment,
    /// After the begin.
    at: Span,
    steps: Vec<Step>,
}

impl Planner {
    fn new(shape: Shape, begin: Moment) -> Planner {
        let branch = |place: &Node| if let Node::Branch(branch) = place { branch.load } else { 0.0 };
        let total: f64 = shape.nodes().map(|(_, place)| branch(place)).sum();
        let loads = validation::loads(&shape).unwrap_or_default();
        Planner { shape, loads, total, begin, at: Span::ZERO, steps: Vec::new() }
    }

    /// Lays the operations of one stretch into steps, as many into each as fit.
    fn lay(&mut self, stretch: Stretch) -> Result<(), PlanError> {
        let mut left = stretch.ops;
        while !left.is_empty() {
            let mut many = if stretch.at_once { left.len() } else { self.fitting(&left) };
            let (next, moved) = loop {
                let (next, moved) = self.applied(&left[..many]);
                let loops = validation::cycles(&next);
                if !loops.is_empty() {
                    return Err(PlanError::Invalid(loops));
                }
                match self.too_much(&next) {
                    None => break (next, moved),
                    Some(_) if many > 1 && !stretch.at_once => many = many.div_ceil(2),
                    Some(too_much) => self.wait_for(&next, too_much)?,
                }
            };
            self.step(next, &left[..many], moved)?;
            left.drain(..many);
        }
        Ok(())
    }

    /// How many of the first operations move no more than a step may.
    fn fitting(&self, ops: &[Op]) -> usize {
        let mut moved = 0.0;
        let many = ops.iter().take_while(|op| {
            moved += self.moves(op);
            moved <= self.total * MOST_MOVED
        });
        many.count().max(1)
    }

    /// Fills a second that an operation takes elsewhere.
    fn moves(&self, op: &Op) -> f64 {
        let load = match self.shape.node(op.place) {
            Some(Node::Branch(branch)) => branch.load,
            Some(Node::Hub(hub)) => self.loads.of(op.place) * hub.passes,
            _ => 0.0,
        };
        let ties = self.shape.upstreams(op.place).len() as f64;
        match &op.change {
            Change::Add(_) => load / (ties + 1.0),
            Change::Drop(_) => load / ties.max(1.0),
            Change::Replace(to) if to.iter().all(|tie| self.shape.upstreams(op.place).contains(tie)) => 0.0,
            Change::Replace(_) => load,
        }
    }

    fn applied(&self, ops: &[Op]) -> (Shape, f64) {
        let mut ties: BTreeMap<NodeIndex, Vec<NodeIndex>> = BTreeMap::new();
        for op in ops {
            let now = ties.entry(op.place).or_insert_with(|| self.shape.upstreams(op.place).to_vec());
            *now = op.applied(now);
        }
        let moved = ops.iter().map(|op| self.moves(op)).sum::<f64>() / self.total.max(1e-9);
        let moves = ties.iter().map(|(place, ties)| (*place, ties.as_slice()));
        (self.shape.with_upstreams(self.shape.version() + 1, moves), moved.min(1.0))
    }

    /// A place that is asked for more than it can do at its age, or an archive near its stopping point. What a hub
    /// did not hold before the step, it has to ask for whole.
    fn too_much(&self, next: &Shape) -> Option<PlanError> {
        let after = validation::loads(next)?;
        let now = self.begin + self.at;
        for (at, hub) in next.hubs() {
            let (asked, carries) = (after.of(at), hub.capacity * self.warmth(next, at, now) * COLD_SHARE);
            let grown = asked > self.loads.of(at) * (1.0 + 1e-9);
            let warm = self.warmth(next, at, now) >= 1.0;
            let limit = if warm { hub.capacity } else { carries };
            if grown && asked > limit * (1.0 + 1e-9) {
                return Some(PlanError::Overload { node: hub.name.clone(), asked, limit });
            }
        }
        let new: f64 = next.top_hubs().iter().map(|at| (after.of(*at) - self.loads.of(*at)).max(0.0)).sum();
        let lost = self.shape.top_hubs().iter().any(|top| !next.top_hubs().contains(top));
        let anew = if lost { new } else { 0.0 };
        let archive = next.archive();
        let (asked, carries) =
            (after.of(ARCHIVE) + anew, archive.capacity * archive.stops_at * ARCHIVE_SHARE);
        (asked > carries).then(|| PlanError::Overload { node: archive.name.clone(), asked, limit: carries })
    }

    fn warmth(&self, shape: &Shape, at: NodeIndex, now: Moment) -> f64 {
        let Some(hub) = shape.node(at).and_then(Node::as_hub) else { return 1.0 };
        if hub.since_ms == 0 {
            return 1.0;
        }
        warm_fraction(hub, now.since(Moment::at_micros(hub.since_ms.saturating_mul(1_000))))
    }

    /// Lets time pass in the plan, as long as a hub is still getting warm by it.
    fn wait_for(&mut self, next: &Shape, too_much: PlanError) -> Result<(), PlanError> {
        let now = self.begin + self.at;
        let warming = next.hubs().any(|(at, _)| self.warmth(next, at, now) < 1.0);
        if !warming {
            return Err(too_much);
        }
        self.at = self.at + WAIT;
        Ok(())
    }

    fn step(&mut self, next: Shape, ops: &[Op], moved: f64) -> Result<(), PlanError> {
        if self.steps.len() >= MOST_STEPS {
            return Err(PlanError::TooManySteps { steps: MOST_STEPS });
        }
        let names =
            |shape: &Shape, at| shape.upstreams(at).iter().map(|tie| shape.name(*tie).to_string()).collect();
        let places: BTreeSet<NodeIndex> = ops.iter().map(|op| op.place).collect();
        let moves: Vec<UpstreamChange> = places
            .iter()
            .map(|at| UpstreamChange {
                node: next.name(*at).into(),
                from: names(&self.shape, *at),
                to: names(&next, *at),
            })
            .filter(|step| step.from != step.to)
            .collect();
        let after = validation::loads(&next).unwrap_or_default();
        let now = self.begin + self.at;
        let needs = next
            .hubs()
            .filter(|(at, hub)| hub.since_ms > 0 && after.of(*at) > self.loads.of(*at))
            .filter_map(|(at, hub)| need(hub, after.of(at), self.warmth(&next, at, now)));
        let needs: Vec<AgeRequirement> = needs.collect();
        (self.shape, self.loads) = (next, after);
        if !moves.is_empty() {
            let number = self.steps.len() + 1;
            let not_before_ms = self.at.as_micros() / 1_000;
            self.steps.push(Step { number, moves, needs, moved, not_before_ms });
            self.at = self.at + SETTLE_TIME;
        }
        Ok(())
    }
}

/// The age at which a hub can do so much; none if it can from its start.
fn need(hub: &crate::config::HubConfig, asked: f64, warmth_then: f64) -> Option<AgeRequirement> {
    let part = (asked / (hub.capacity * COLD_SHARE)).min(warmth_then).min(1.0);
    let age = (part - hub.cold_from) / (1.0 - hub.cold_from).max(1e-9) * hub.cold_ms as f64;
    (age > 0.0).then(|| AgeRequirement { hub: hub.name.clone(), age_ms: age.ceil() as u64 })
}

impl Plan {
    /// The shape after so many steps, from the version that the plan starts from. The last step also takes out what
    /// is no longer named.
    pub fn shape_after(&self, from: &Shape, steps: usize, version: u64) -> Shape {
        if steps == 0 {
            return from.with_upstreams(version, []);
        }
        let wide = from.extended_with(version, &self.to);
        let mut ties: BTreeMap<NodeIndex, Vec<NodeIndex>> = BTreeMap::new();
        for step in &self.steps[..steps.min(self.steps.len())] {
            for one in &step.moves {
                let to = one.to.iter().filter_map(|name| wide.find(name)).collect();
                ties.extend(wide.find(&one.node).map(|place| (place, to)));
            }
        }
        let moved = wide.with_upstreams(version, ties.iter().map(|(place, ties)| (*place, ties.as_slice())));
        if steps >= self.steps.len() { moved.restricted_to(version, &self.to) } else { moved }
    }

    /// How long it takes if nothing holds it.
    pub fn min_duration(&self) -> Span {
        self.steps.last().map_or(Span::ZERO, |last| Span::millis(last.not_before_ms) + SETTLE_TIME)
    }
}
