//! Planning of a change from one version to another, in steps that each move a bounded part of the load.
//!
//! A node gets its new upstreams before it loses its old ones, one link a step, so that rendezvous hashing
//! moves each object at most once. Links that would mix the archive with hubs, or close a cycle on the way,
//! are replaced at once instead. Hubs get their upstreams from the top down before branches use them, and
//! lose them from the bottom up afterwards.
//!
//! A step may be published when its hubs are old enough for the load they have after it: requests by branches
//! and by other hubs, and their own for objects that they don't hold yet.
use crate::config::ShapeConfig;
use crate::topology::{ARCHIVE, Node, NodeIndex, Shape, warm_fraction};
use crate::validation::{self, Loads, Violation};
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The fraction of the total load that a step of more than one link may move.
const MAX_MOVED_FRACTION: f64 = 0.1;
/// The fraction of what a hub can do at its age that it may be asked for after a step. It falls over at a
/// multiple of that.
const HUB_LOAD_FRACTION: f64 = 0.75;
/// The fraction of the rate at which the archive stops that it may be asked for while the objects of a step
/// are fetched anew.
const ARCHIVE_LOAD_FRACTION: f64 = 0.7;
/// The minimum time between two steps, so that the effect of a step is seen before the next.
pub const SETTLE_TIME: Span = Span::millis(1_000);
/// Waiting for a hub to warm up is simulated in increments of this length.
const WAIT_INCREMENT: Span = Span::millis(500);
/// Limit on the steps: an operator could not follow a plan that needs more.
const MAX_STEPS: usize = 4_096;

/// The steps of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The version that the plan starts from.
    pub from: u64,
    /// The target: the last step makes the shape this one.
    pub to: ShapeConfig,
    pub steps: Vec<Step>,
}

/// One step of a plan, published as one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Starts at 1.
    pub number: usize,
    pub moves: Vec<UpstreamChange>,
    pub needs: Vec<AgeRequirement>,
    /// The fraction of the total load that it moves, from 0 to 1.
    pub moved: f64,
    /// The earliest time, counted from the start of the plan.
    pub not_before_ms: u64,
}

/// The upstreams of a node before and after a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamChange {
    #[serde(rename = "place")]
    pub node: String,
    pub from: Vec<String>,
    pub to: Vec<String>,
}

/// A hub must have reached this age before the step is published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgeRequirement {
    pub hub: String,
    pub age_ms: u64,
}

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanError {
    /// The wanted shape is invalid.
    Invalid(Vec<Violation>),
    /// A hub would be asked for more than it can do, however long the plan waits.
    Overload { node: String, asked: f64, limit: f64 },
    /// The change needs more steps than a plan may have.
    TooManySteps { steps: usize },
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Invalid(violations) => {
                let lines: Vec<_> = violations.iter().map(|violation| violation.to_string()).collect();
                write!(f, "{}", lines.join("\n"))
            }
            Self::Overload { node, asked, limit } => {
                write!(
                    f,
                    "{node}: asked for {asked:.1} fills a second during the change, with a limit of {limit:.1}"
                )
            }
            Self::TooManySteps { steps } => write!(f, "the change needs more than {steps} steps"),
        }
    }
}

/// One change of the upstreams of one node.
#[derive(Clone, Debug)]
struct Operation {
    node: NodeIndex,
    change: Change,
}

#[derive(Clone, Debug)]
enum Change {
    Add(NodeIndex),
    Drop(NodeIndex),
    Replace(Vec<NodeIndex>),
}

impl Operation {
    fn apply(&self, upstreams: &[NodeIndex]) -> Vec<NodeIndex> {
        match &self.change {
            Change::Add(hub) => upstreams.iter().copied().chain([*hub]).collect(),
            Change::Drop(hub) => upstreams.iter().copied().filter(|upstream| upstream != hub).collect(),
            Change::Replace(to) => to.clone(),
        }
    }
}

/// Computes the steps from `from` to `to`, for a start at `now`.
pub fn plan_change(from: &Shape, to: &ShapeConfig, now: Moment) -> Result<Plan, PlanError> {
    let target = Shape::from_config(to).map_err(PlanError::Invalid)?;
    validation::validate(&target).map_err(PlanError::Invalid)?;
    let extended = from.extended_with(from.version(), to);
    let mut planner = Planner::new(extended, now);
    for batch in ordered_batches(&planner.shape, &target) {
        planner.add_batch(batch)?;
    }
    let removes_nodes = from.nodes().any(|(_, node)| target.find(node.name()).is_none());
    let adds_hubs = planner.shape.to_config().hubs.len() != from.to_config().hubs.len();
    if planner.steps.is_empty() && (removes_nodes || adds_hubs || *from.archive() != *target.archive()) {
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

/// Consecutive operations: as many in a step as fit, or all in one.
struct Batch {
    operations: Vec<Operation>,
    at_once: bool,
}

/// The operations in a valid order: hubs get upstreams from the top down, branches change, hubs lose
/// upstreams.
fn ordered_batches(extended: &Shape, target: &Shape) -> Vec<Batch> {
    let mut batches = Vec::new();
    let (mut hub_adds, mut branch_adds, mut branch_drops, mut hub_drops) = (vec![], vec![], vec![], vec![]);
    let cycle_hubs = cycle_hubs(extended, target);
    for (index, node) in extended.nodes() {
        let before = extended.upstreams(index);
        let after = target_upstreams(extended, target, node.name());
        if before == after || matches!(node, Node::Archive(_)) {
            continue;
        }
        let is_hub = node.as_hub().is_some();
        let replaces_archive_link =
            before.contains(&ARCHIVE) != after.contains(&ARCHIVE) || before.is_empty();
        let removed = target.find(node.name()).is_none();
        if (replaces_archive_link || cycle_hubs.contains(&index)) && !removed {
            let replace = Operation { node: index, change: Change::Replace(after) };
            (if is_hub { &mut hub_adds } else { &mut branch_adds }).push(replace);
            continue;
        }
        let adds = after.iter().filter(|upstream| !before.contains(upstream));
        let adds = adds.map(|upstream| Operation { node: index, change: Change::Add(*upstream) });
        (if is_hub { &mut hub_adds } else { &mut branch_adds }).extend(adds);
        // The replacement after the drops also puts the upstreams into their wanted order.
        let drops: Vec<_> = before.iter().filter(|upstream| !after.contains(upstream)).copied().collect();
        let drops_of_kind = if is_hub { &mut hub_drops } else { &mut branch_drops };
        drops_of_kind
            .extend(drops.iter().map(|upstream| Operation { node: index, change: Change::Drop(*upstream) }));
        if !removed {
            drops_of_kind.push(Operation { node: index, change: Change::Replace(after) });
        }
    }
    let distance = distances_to_archive(target, extended);
    hub_adds.sort_by_key(|operation| distance.get(&operation.node).copied().unwrap_or(usize::MAX));
    let (at_once, one_by_one) =
        hub_adds.into_iter().partition(|operation| cycle_hubs.contains(&operation.node));
    batches.push(Batch { operations: one_by_one, at_once: false });
    batches.push(Batch { operations: at_once, at_once: true });
    let others = [branch_adds, branch_drops, hub_drops];
    batches.extend(others.map(|operations| Batch { operations, at_once: false }));
    batches
}

/// Hubs that have to change at once, since the links of both shapes together would put them in a cycle that
/// neither shape has.
fn cycle_hubs(extended: &Shape, target: &Shape) -> BTreeSet<NodeIndex> {
    let mut cycle_hubs: BTreeSet<NodeIndex> = BTreeSet::new();
    loop {
        let combined = extended.hubs().map(|(index, hub)| {
            let after = target_upstreams(extended, target, &hub.name);
            let before = extended
                .upstreams(index)
                .iter()
                .copied()
                .filter(|_| !cycle_hubs.contains(&index) || after.is_empty());
            let mut upstreams: Vec<NodeIndex> = before.collect();
            upstreams.extend(after.iter().filter(|upstream| {
                !extended.upstreams(index).contains(upstream) || cycle_hubs.contains(&index)
            }));
            (index, upstreams)
        });
        let combined: Vec<_> = combined.collect();
        let combined_shape = extended.with_upstreams(
            extended.version(),
            combined.iter().map(|(index, upstreams)| (*index, upstreams.as_slice())),
        );
        let known_count = cycle_hubs.len();
        for violation in validation::cycles(&combined_shape) {
            let Violation::Cycle { path } = violation else { continue };
            cycle_hubs.extend(path.iter().filter_map(|name| extended.find(name)));
        }
        if cycle_hubs.len() == known_count {
            return cycle_hubs;
        }
    }
}

/// The upstreams that the target has for a node, by the indices of the shape that is being changed.
fn target_upstreams(extended: &Shape, target: &Shape, name: &str) -> Vec<NodeIndex> {
    let Some(node) = target.find(name) else { return Vec::new() };
    target.upstreams(node).iter().filter_map(|upstream| extended.find(target.name(*upstream))).collect()
}

/// The number of links between a hub and the archive, by the indices of the shape that is being changed.
fn distances_to_archive(target: &Shape, extended: &Shape) -> BTreeMap<NodeIndex, usize> {
    let mut distance: BTreeMap<NodeIndex, usize> = BTreeMap::new();
    let mut downstreams: BTreeMap<NodeIndex, Vec<NodeIndex>> = BTreeMap::new();
    for (index, _) in target.hubs() {
        target
            .upstreams(index)
            .iter()
            .for_each(|upstream| downstreams.entry(*upstream).or_default().push(index));
    }
    let (mut frontier, mut level) = (vec![ARCHIVE], 0);
    while !frontier.is_empty() && level <= target.nodes().count() {
        distance.extend(frontier.iter().map(|index| (*index, level)));
        let next: BTreeSet<_> =
            frontier.iter().flat_map(|index| downstreams.get(index).into_iter().flatten()).copied().collect();
        (frontier, level) = (next.into_iter().collect(), level + 1);
    }
    distance
        .into_iter()
        .filter_map(|(index, level)| Some((extended.find(target.name(index))?, level)))
        .collect()
}

/// A plan that is being computed, with the simulated state after its last step.
struct Planner {
    shape: Shape,
    loads: Loads,
    total_load: f64,
    start: Moment,
    /// The time since the start.
    elapsed: Span,
    steps: Vec<Step>,
}

impl Planner {
    fn new(shape: Shape, start: Moment) -> Planner {
        let load_of = |node: &Node| if let Node::Branch(branch) = node { branch.load } else { 0.0 };
        let total_load: f64 = shape.nodes().map(|(_, node)| load_of(node)).sum();
        let loads = validation::loads(&shape).unwrap_or_default();
        Planner { shape, loads, total_load, start, elapsed: Span::ZERO, steps: Vec::new() }
    }

    /// Arranges the operations of one batch into steps, as many into each as fit.
    fn add_batch(&mut self, batch: Batch) -> Result<(), PlanError> {
        let mut remaining = batch.operations;
        while !remaining.is_empty() {
            let mut count = if batch.at_once { remaining.len() } else { self.count_that_fit(&remaining) };
            let (next, moved) = loop {
                let (next, moved) = self.apply(&remaining[..count]);
                let cycles = validation::cycles(&next);
                if !cycles.is_empty() {
                    return Err(PlanError::Invalid(cycles));
                }
                match self.overload(&next) {
                    None => break (next, moved),
                    Some(_) if count > 1 && !batch.at_once => count = count.div_ceil(2),
                    Some(overload) => self.wait_for(&next, overload)?,
                }
            };
            self.push_step(next, &remaining[..count], moved)?;
            remaining.drain(..count);
        }
        Ok(())
    }

    /// How many of the first operations together move no more than a step may.
    fn count_that_fit(&self, operations: &[Operation]) -> usize {
        let mut moved = 0.0;
        let count = operations.iter().take_while(|operation| {
            moved += self.moved_load(operation);
            moved <= self.total_load * MAX_MOVED_FRACTION
        });
        count.count().max(1)
    }

    /// Fills a second that an operation moves to another node.
    fn moved_load(&self, operation: &Operation) -> f64 {
        let load = match self.shape.node(operation.node) {
            Some(Node::Branch(branch)) => branch.load,
            Some(Node::Hub(hub)) => self.loads.of(operation.node) * hub.passes,
            _ => 0.0,
        };
        let upstreams = self.shape.upstreams(operation.node).len() as f64;
        match &operation.change {
            Change::Add(_) => load / (upstreams + 1.0),
            Change::Drop(_) => load / upstreams.max(1.0),
            Change::Replace(to)
                if to.iter().all(|upstream| self.shape.upstreams(operation.node).contains(upstream)) =>
            {
                0.0
            }
            Change::Replace(_) => load,
        }
    }

    fn apply(&self, operations: &[Operation]) -> (Shape, f64) {
        let mut upstreams: BTreeMap<NodeIndex, Vec<NodeIndex>> = BTreeMap::new();
        for operation in operations {
            let now = upstreams
                .entry(operation.node)
                .or_insert_with(|| self.shape.upstreams(operation.node).to_vec());
            *now = operation.apply(now);
        }
        let moved = operations.iter().map(|operation| self.moved_load(operation)).sum::<f64>()
            / self.total_load.max(1e-9);
        let moves = upstreams.iter().map(|(node, upstreams)| (*node, upstreams.as_slice()));
        (self.shape.with_upstreams(self.shape.version() + 1, moves), moved.min(1.0))
    }

    /// A node that is asked for more than it can do at its age, or an archive near the rate at which it
    /// stops. A hub has to request everything that it did not hold before the step.
    fn overload(&self, next: &Shape) -> Option<PlanError> {
        let after = validation::loads(next)?;
        let now = self.start + self.elapsed;
        for (index, hub) in next.hubs() {
            let (asked, limit) =
                (after.of(index), hub.capacity * self.warm_fraction(next, index, now) * HUB_LOAD_FRACTION);
            let increased = asked > self.loads.of(index) * (1.0 + 1e-9);
            let warm = self.warm_fraction(next, index, now) >= 1.0;
            let limit = if warm { hub.capacity } else { limit };
            if increased && asked > limit * (1.0 + 1e-9) {
                return Some(PlanError::Overload { node: hub.name.clone(), asked, limit });
            }
        }
        let moved_to_top_hubs: f64 =
            next.top_hubs().iter().map(|index| (after.of(*index) - self.loads.of(*index)).max(0.0)).sum();
        let loses_top_hub = self.shape.top_hubs().iter().any(|top| !next.top_hubs().contains(top));
        let refetched = if loses_top_hub { moved_to_top_hubs } else { 0.0 };
        let archive = next.archive();
        let (asked, limit) =
            (after.of(ARCHIVE) + refetched, archive.capacity * archive.stops_at * ARCHIVE_LOAD_FRACTION);
        (asked > limit).then(|| PlanError::Overload { node: archive.name.clone(), asked, limit })
    }

    fn warm_fraction(&self, shape: &Shape, index: NodeIndex, now: Moment) -> f64 {
        let Some(hub) = shape.node(index).and_then(Node::as_hub) else { return 1.0 };
        if hub.since_ms == 0 {
            return 1.0;
        }
        warm_fraction(hub, now.since(Moment::at_micros(hub.since_ms.saturating_mul(1_000))))
    }

    /// Lets simulated time pass, as long as a hub is still warming up.
    fn wait_for(&mut self, next: &Shape, overload: PlanError) -> Result<(), PlanError> {
        let now = self.start + self.elapsed;
        let warming = next.hubs().any(|(index, _)| self.warm_fraction(next, index, now) < 1.0);
        if !warming {
            return Err(overload);
        }
        self.elapsed = self.elapsed + WAIT_INCREMENT;
        Ok(())
    }

    fn push_step(&mut self, next: Shape, operations: &[Operation], moved: f64) -> Result<(), PlanError> {
        if self.steps.len() >= MAX_STEPS {
            return Err(PlanError::TooManySteps { steps: MAX_STEPS });
        }
        let names = |shape: &Shape, index| {
            shape.upstreams(index).iter().map(|upstream| shape.name(*upstream).to_string()).collect()
        };
        let nodes: BTreeSet<NodeIndex> = operations.iter().map(|operation| operation.node).collect();
        let moves: Vec<UpstreamChange> = nodes
            .iter()
            .map(|index| UpstreamChange {
                node: next.name(*index).into(),
                from: names(&self.shape, *index),
                to: names(&next, *index),
            })
            .filter(|step| step.from != step.to)
            .collect();
        let after = validation::loads(&next).unwrap_or_default();
        let now = self.start + self.elapsed;
        let needs = next
            .hubs()
            .filter(|(index, hub)| hub.since_ms > 0 && after.of(*index) > self.loads.of(*index))
            .filter_map(|(index, hub)| {
                age_requirement(hub, after.of(index), self.warm_fraction(&next, index, now))
            });
        let needs: Vec<AgeRequirement> = needs.collect();
        (self.shape, self.loads) = (next, after);
        if !moves.is_empty() {
            let number = self.steps.len() + 1;
            let not_before_ms = self.elapsed.as_micros() / 1_000;
            self.steps.push(Step { number, moves, needs, moved, not_before_ms });
            self.elapsed = self.elapsed + SETTLE_TIME;
        }
        Ok(())
    }
}

/// The age at which a hub can carry this load; `None` if it can from its start.
fn age_requirement(
    hub: &crate::config::HubConfig,
    asked: f64,
    warm_fraction_then: f64,
) -> Option<AgeRequirement> {
    let fraction = (asked / (hub.capacity * HUB_LOAD_FRACTION)).min(warm_fraction_then).min(1.0);
    let age = (fraction - hub.cold_from) / (1.0 - hub.cold_from).max(1e-9) * hub.cold_ms as f64;
    (age > 0.0).then(|| AgeRequirement { hub: hub.name.clone(), age_ms: age.ceil() as u64 })
}

impl Plan {
    /// The shape after a number of steps, derived from the version that the plan starts from. The last step
    /// also removes the nodes that the target does not contain.
    pub fn shape_after(&self, from: &Shape, steps: usize, version: u64) -> Shape {
        if steps == 0 {
            return from.with_upstreams(version, []);
        }
        let extended = from.extended_with(version, &self.to);
        let mut upstreams: BTreeMap<NodeIndex, Vec<NodeIndex>> = BTreeMap::new();
        for step in &self.steps[..steps.min(self.steps.len())] {
            for change in &step.moves {
                let to = change.to.iter().filter_map(|name| extended.find(name)).collect();
                upstreams.extend(extended.find(&change.node).map(|node| (node, to)));
            }
        }
        let moved = extended
            .with_upstreams(version, upstreams.iter().map(|(node, upstreams)| (*node, upstreams.as_slice())));
        if steps >= self.steps.len() { moved.restricted_to(version, &self.to) } else { moved }
    }

    /// How long the plan takes if nothing holds it back.
    pub fn min_duration(&self) -> Span {
        self.steps.last().map_or(Span::ZERO, |last| Span::millis(last.not_before_ms) + SETTLE_TIME)
    }
}
