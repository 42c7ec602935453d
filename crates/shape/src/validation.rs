//! Checks that a version is valid: it has no cycle, every node has a path to the archive, and no node is
//! asked for more than its capacity, also after the loss of any single hub. A version is accepted or refused
//! as a whole, with every violation reported.
use crate::topology::{ARCHIVE, Node, NodeIndex, Shape};
use std::collections::BTreeMap;
use std::fmt;

/// What is wrong with a version.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// Two nodes have the same name.
    DuplicateName { node: String },
    /// An upstream does not exist.
    UnknownUpstream { node: String, upstream: String },
    /// An upstream is listed more than once.
    DuplicateUpstream { node: String, upstream: String },
    /// A branch cannot be an upstream.
    BranchUpstream { node: String, upstream: String },
    /// The whole cycle: each node is linked to the next, and the last to the first.
    Cycle { path: Vec<String> },
    /// No path leads from the node to the archive.
    ArchiveUnreachable { node: String },
    /// Linked to the archive and to a hub: the objects of this hub would have two preferred hubs.
    MixedUpstreams { node: String, upstream: String },
    /// The node is asked for more than it can carry.
    Overload { node: String, asked: f64, limit: f64 },
    /// The node would be asked for more than it can carry after the loss of `lost`.
    OverloadAfterLoss { node: String, lost: String, asked: f64, limit: f64 },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::DuplicateName { node } => write!(f, "{node}: named twice"),
            Self::UnknownUpstream { node, upstream } => {
                write!(f, "{node}: upstream {upstream} is unknown")
            }
            Self::DuplicateUpstream { node, upstream } => {
                write!(f, "{node}: upstream {upstream} is listed twice")
            }
            Self::BranchUpstream { node, upstream } => {
                write!(f, "{node}: upstream {upstream} is a branch")
            }
            Self::Cycle { path } => {
                let first = path.first().map_or("", String::as_str);
                write!(f, "loop: {} -> {first}", path.join(" -> "))
            }
            Self::ArchiveUnreachable { node } => write!(f, "{node}: no path to the archive"),
            Self::MixedUpstreams { node, upstream } => {
                write!(f, "{node}: linked to the archive and to hub {upstream}")
            }
            Self::Overload { node, asked, limit } => {
                write!(f, "{node}: asked for {asked:.1} fills a second, with a limit of {limit:.1}")
            }
            Self::OverloadAfterLoss { node, lost, asked, limit } => {
                write!(
                    f,
                    "{node}: after the loss of {lost} asked for {asked:.1} fills a second, with a limit of {limit:.1}"
                )
            }
        }
    }
}

/// Fills a second that each node is asked for, by its index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Loads(BTreeMap<NodeIndex, f64>);

impl Loads {
    /// The load of a node.
    pub fn of(&self, node: NodeIndex) -> f64 {
        self.0.get(&node).copied().unwrap_or(0.0)
    }

    fn add(&mut self, node: NodeIndex, load: f64) {
        *self.0.entry(node).or_insert(0.0) += load;
    }
}

/// Checks a whole version. Returns its loads, so that they need not be computed again.
pub fn validate(shape: &Shape) -> Result<Loads, Vec<Violation>> {
    let mut violations = mixed_upstreams(shape);
    let order = match topological_order(shape) {
        Ok(order) => order,
        Err(cycles) => {
            violations.extend(cycles);
            return Err(violations);
        }
    };
    violations.extend(unreachable_nodes(shape, &order));
    if !violations.is_empty() {
        return Err(violations);
    }
    let flow = Flow::of(shape, &order);
    violations.extend(flow.overloads());
    violations.extend(flow.overloads_after_losses());
    if violations.is_empty() { Ok(flow.loads()) } else { Err(violations) }
}

/// The loads of a version that is known to be valid, without the check for losses.
pub fn loads(shape: &Shape) -> Option<Loads> {
    let order = topological_order(shape).ok()?;
    Some(Flow::of(shape, &order).loads())
}

/// The cycles of a version, and no other violations. A step between two versions must not have any.
pub fn cycles(shape: &Shape) -> Vec<Violation> {
    topological_order(shape).err().unwrap_or_default()
}

fn mixed_upstreams(shape: &Shape) -> Vec<Violation> {
    let top_hubs = shape.top_hubs().iter();
    let mixed = |top: &NodeIndex| {
        let upstream = shape.upstreams(*top).iter().find(|upstream| **upstream != ARCHIVE)?;
        Some(Violation::MixedUpstreams {
            node: shape.name(*top).into(),
            upstream: shape.name(*upstream).into(),
        })
    };
    top_hubs.filter_map(mixed).collect()
}

/// All nodes, each before its upstreams; or every cycle, once.
fn topological_order(shape: &Shape) -> Result<Vec<NodeIndex>, Vec<Violation>> {
    let mut finder = CycleFinder {
        shape,
        mark: BTreeMap::new(),
        path: Vec::new(),
        ordered: Vec::new(),
        cycles: Vec::new(),
    };
    shape.nodes().for_each(|(index, _)| finder.visit_from(index));
    finder.ordered.reverse();
    if finder.cycles.is_empty() { Ok(finder.ordered) } else { Err(finder.cycles) }
}

/// The state of a node in the depth-first search.
#[derive(Clone, Copy, PartialEq)]
enum Mark {
    OnPath,
    Done,
}

/// Depth-first search for a topological order and for cycles.
struct CycleFinder<'a> {
    shape: &'a Shape,
    mark: BTreeMap<NodeIndex, Mark>,
    /// The path from the start node, each node with the number of its upstreams visited so far.
    path: Vec<(NodeIndex, usize)>,
    ordered: Vec<NodeIndex>,
    cycles: Vec<Violation>,
}

impl CycleFinder<'_> {
    /// Uses an explicit stack, since a chain of ten thousand hubs would overflow the call stack.
    fn visit_from(&mut self, start: NodeIndex) {
        if self.mark.contains_key(&start) {
            return;
        }
        self.push(start);
        while let Some((index, next_upstream)) = self.path.last_mut() {
            let (index, upstream) = (*index, self.shape.upstreams(*index).get(*next_upstream).copied());
            *next_upstream += 1;
            match upstream {
                None => {
                    self.path.pop();
                    self.mark.insert(index, Mark::Done);
                    self.ordered.push(index);
                }
                Some(upstream) => match self.mark.get(&upstream) {
                    None => self.push(upstream),
                    Some(Mark::OnPath) => self.record_cycle(upstream),
                    Some(Mark::Done) => {}
                },
            }
        }
    }

    fn push(&mut self, index: NodeIndex) {
        self.mark.insert(index, Mark::OnPath);
        self.path.push((index, 0));
    }

    fn record_cycle(&mut self, upstream: NodeIndex) {
        let from = self.path.iter().position(|(index, _)| *index == upstream).unwrap_or(0);
        let path = self.path[from..].iter().map(|(index, _)| self.shape.name(*index).to_string()).collect();
        self.cycles.push(Violation::Cycle { path });
    }
}

fn unreachable_nodes(shape: &Shape, order: &[NodeIndex]) -> Vec<Violation> {
    let mut reaches_archive: BTreeMap<NodeIndex, bool> = BTreeMap::new();
    let mut violations = Vec::new();
    for index in order.iter().rev() {
        let reaches = |upstream: &NodeIndex| reaches_archive.get(upstream).copied().unwrap_or(false);
        let reached = *index == ARCHIVE || shape.upstreams(*index).iter().any(reaches);
        reaches_archive.insert(*index, reached);
        // A hub without upstreams that no node is linked to is only waiting for its first link.
        let unused = shape.upstreams(*index).is_empty()
            && shape.node(*index).is_some_and(|node| node.as_hub().is_some());
        if !reached && !unused {
            violations.push(Violation::ArchiveUnreachable { node: shape.name(*index).into() });
        }
    }
    violations.reverse();
    violations
}

/// The flow of fills through a version. Each node spreads its requests evenly over its upstreams, since
/// objects are hashed over them. Top hubs ask each other, for each object its preferred hub, and preferred
/// hubs ask the archive.
struct Flow<'a> {
    shape: &'a Shape,
    /// The position of each node in the order, downstream before upstream.
    rank: BTreeMap<NodeIndex, usize>,
    /// The nodes that ask a node.
    downstreams: BTreeMap<NodeIndex, Vec<NodeIndex>>,
    /// Requests from downstream, without those between top hubs.
    asked: BTreeMap<NodeIndex, f64>,
}

/// The requests of top hubs to each other and to the archive.
struct TopLoads {
    sideways: BTreeMap<NodeIndex, f64>,
    archive: f64,
}

impl<'a> Flow<'a> {
    fn of(shape: &'a Shape, order: &[NodeIndex]) -> Flow<'a> {
        let rank = order.iter().enumerate().map(|(n, index)| (*index, n)).collect();
        let mut downstreams: BTreeMap<NodeIndex, Vec<NodeIndex>> = BTreeMap::new();
        for index in order {
            shape
                .upstreams(*index)
                .iter()
                .for_each(|upstream| downstreams.entry(*upstream).or_default().push(*index));
        }
        let mut flow = Flow { shape, rank, downstreams, asked: BTreeMap::new() };
        for index in order {
            let passed_on = flow.passed_on(*index, flow.asked.get(index).copied().unwrap_or(0.0));
            flow.spread(*index, passed_on)
                .into_iter()
                .for_each(|(to, load)| *flow.asked.entry(to).or_insert(0.0) += load);
        }
        flow
    }

    /// What a node requests itself when it is asked for this much.
    fn passed_on(&self, index: NodeIndex, asked: f64) -> f64 {
        match self.shape.node(index) {
            Some(Node::Branch(branch)) => branch.load,
            Some(Node::Hub(hub)) => asked * hub.passes,
            _ => 0.0,
        }
    }

    /// Spreads a load over the upstreams. The archive is left out: its load is computed for all top hubs
    /// together.
    fn spread(&self, index: NodeIndex, load: f64) -> Vec<(NodeIndex, f64)> {
        let upstreams = self.shape.upstreams(index);
        if upstreams.is_empty() || upstreams.contains(&ARCHIVE) {
            return Vec::new();
        }
        upstreams.iter().map(|upstream| (*upstream, load / upstreams.len() as f64)).collect()
    }

    fn top_loads(
        &self,
        lost: Option<NodeIndex>,
        asked: impl Fn(NodeIndex) -> f64,
        cut_off_load: f64,
    ) -> TopLoads {
        let remaining: Vec<NodeIndex> =
            self.shape.top_hubs().iter().copied().filter(|top| Some(*top) != lost).collect();
        let hub_count = remaining.len().max(1) as f64;
        let passed_on: Vec<f64> = remaining.iter().map(|top| self.passed_on(*top, asked(*top))).collect();
        let total: f64 = passed_on.iter().sum();
        let mut top = TopLoads { sideways: BTreeMap::new(), archive: cut_off_load };
        for (index, own_load) in remaining.iter().zip(&passed_on) {
            let sideways = (total - own_load) / hub_count;
            top.sideways.insert(*index, sideways);
            top.archive += own_load / hub_count + self.passed_on(*index, sideways);
        }
        top
    }

    fn loads(&self) -> Loads {
        let mut loads = Loads(self.asked.clone());
        let top = self.top_loads(
            None,
            |index| self.asked.get(&index).copied().unwrap_or(0.0),
            self.direct_branch_load(),
        );
        top.sideways.iter().for_each(|(index, load)| loads.add(*index, *load));
        loads.0.insert(ARCHIVE, top.archive);
        loads
    }

    /// The load of branches that are linked to the archive directly.
    fn direct_branch_load(&self) -> f64 {
        let downstreams = self.downstreams.get(&ARCHIVE).into_iter().flatten();
        let branches = downstreams.filter_map(|index| match self.shape.node(*index) {
            Some(Node::Branch(branch)) => Some(branch.load / self.shape.upstreams(*index).len() as f64),
            _ => None,
        });
        branches.sum()
    }

    fn capacity(&self, index: NodeIndex) -> f64 {
        match self.shape.node(index) {
            Some(Node::Hub(hub)) => hub.capacity,
            // Between its capacity and its stopping point the archive only slows down. A loss may use that
            // range.
            Some(Node::Archive(archive)) => archive.capacity,
            _ => f64::INFINITY,
        }
    }

    fn overloads(&self) -> Vec<Violation> {
        let loads = self.loads();
        let overloaded =
            loads.0.iter().filter(|(index, asked)| **asked > self.capacity(**index) * (1.0 + 1e-9));
        let violation = |(index, asked): (&NodeIndex, &f64)| Violation::Overload {
            node: self.shape.name(*index).into(),
            asked: *asked,
            limit: self.capacity(*index),
        };
        overloaded.map(violation).collect()
    }

    /// Checks one loss after another by the loads that it changes: those of the hubs upstream of the nodes
    /// that asked the lost hub.
    fn overloads_after_losses(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (lost, _) in self.shape.hubs() {
            let (changed_loads, archive) = self.after_loss(lost);
            let archive = (ARCHIVE, archive);
            let limit = |index: NodeIndex| match self.shape.node(index) {
                Some(Node::Archive(archive)) => archive.capacity * archive.stops_at * 0.8,
                _ => self.capacity(index),
            };
            for (index, asked) in changed_loads.into_iter().chain([archive]) {
                if asked > limit(index) * (1.0 + 1e-9) {
                    let (node, lost) = (self.shape.name(index).into(), self.shape.name(lost).into());
                    violations.push(Violation::OverloadAfterLoss { node, lost, asked, limit: limit(index) });
                }
            }
        }
        violations
    }

    /// The loads that change when `lost` fails, by node, and the load of the archive.
    fn after_loss(&self, lost: NodeIndex) -> (Vec<(NodeIndex, f64)>, f64) {
        let mut added_load: BTreeMap<NodeIndex, f64> = BTreeMap::new();
        let mut pending: BTreeMap<usize, NodeIndex> = BTreeMap::new();
        let mut cut_off_load = self.direct_branch_load();
        let asked = |index: NodeIndex| self.asked.get(&index).copied().unwrap_or(0.0);
        let add = |added_load: &mut BTreeMap<NodeIndex, f64>,
                   pending: &mut BTreeMap<usize, NodeIndex>,
                   to,
                   load: f64| {
            *added_load.entry(to).or_insert(0.0) += load;
            pending.insert(self.rank[&to], to);
        };
        for downstream in self.downstreams.get(&lost).into_iter().flatten() {
            let load = self.passed_on(*downstream, asked(*downstream));
            let other_upstreams: Vec<_> =
                self.shape.upstreams(*downstream).iter().filter(|upstream| **upstream != lost).collect();
            let share = load / self.shape.upstreams(*downstream).len() as f64;
            if other_upstreams.is_empty() {
                cut_off_load += share;
            }
            other_upstreams.iter().for_each(|upstream| {
                add(&mut added_load, &mut pending, **upstream, share / other_upstreams.len() as f64)
            });
        }
        // The lost hub no longer passes its own requests on.
        for (to, load) in self.spread(lost, self.passed_on(lost, asked(lost))) {
            add(&mut added_load, &mut pending, to, -load);
        }
        while let Some((_, index)) = pending.pop_first() {
            let passed_on = match self.shape.node(index) {
                Some(Node::Hub(hub)) => added_load[&index] * hub.passes,
                _ => 0.0,
            };
            self.spread(index, passed_on)
                .into_iter()
                .for_each(|(to, load)| add(&mut added_load, &mut pending, to, load));
        }
        let load_after =
            |index: NodeIndex| (asked(index) + added_load.get(&index).copied().unwrap_or(0.0)).max(0.0);
        let top = self.top_loads(Some(lost), load_after, cut_off_load);
        let mut changed_loads: Vec<_> = added_load
            .keys()
            .filter(|index| !top.sideways.contains_key(index))
            .map(|index| (*index, load_after(*index)))
            .collect();
        changed_loads
            .extend(top.sideways.iter().map(|(index, sideways)| (*index, load_after(*index) + sideways)));
        changed_loads.retain(|(index, _)| *index != lost && *index != ARCHIVE);
        (changed_loads, top.archive)
    }
}
