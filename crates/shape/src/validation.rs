//! Whether a version holds: no loop, everyone with a way to the archive, and nobody asked for more than it carries,
//! also after the loss of any one hub. A version is taken whole or refused whole, with every complaint said.
use crate::topology::{ARCHIVE, Node, NodeIndex, Shape};
use std::collections::BTreeMap;
use std::fmt;

/// What is wrong with a version. Each names the place, and the tie where there is one.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    DuplicateName {
        node: String,
    },
    UnknownUpstream {
        node: String,
        upstream: String,
    },
    DuplicateUpstream {
        node: String,
        upstream: String,
    },
    BranchUpstream {
        node: String,
        upstream: String,
    },
    /// The whole way round; the first is tied to the second, and the last to the first.
    Cycle {
        path: Vec<String>,
    },
    ArchiveUnreachable {
        node: String,
    },
    /// Tied to the archive and to a hub: its objects would have two homes.
    MixedUpstreams {
        node: String,
        upstream: String,
    },
    Overload {
        node: String,
        asked: f64,
        limit: f64,
    },
    OverloadAfterLoss {
        node: String,
        lost: String,
        asked: f64,
        limit: f64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::DuplicateName { node: place } => write!(f, "{place}: named twice"),
            Self::UnknownUpstream { node: place, upstream: tie } => {
                write!(f, "{place}: tied to {tie}, which is unknown")
            }
            Self::DuplicateUpstream { node: place, upstream: tie } => {
                write!(f, "{place}: tied to {tie} twice")
            }
            Self::BranchUpstream { node: place, upstream: tie } => {
                write!(f, "{place}: tied to {tie}, which is a branch")
            }
            Self::Cycle { path } => {
                let first = path.first().map_or("", String::as_str);
                write!(f, "loop: {} -> {first}", path.join(" -> "))
            }
            Self::ArchiveUnreachable { node: place } => write!(f, "{place}: no way to the archive"),
            Self::MixedUpstreams { node: place, upstream: tie } => {
                write!(f, "{place}: tied to the archive and to hub {tie}")
            }
            Self::Overload { node: place, asked, limit: carries } => {
                write!(f, "{place}: asked for {asked:.1} fills a second and carries {carries:.1}")
            }
            Self::OverloadAfterLoss { node: place, lost, asked, limit: carries } => {
                write!(f, "{place}: after the loss of {lost} asked for {asked:.1} and carries {carries:.1}")
            }
        }
    }
}

/// Fills a second that each place is asked for, by its index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Loads(BTreeMap<NodeIndex, f64>);

impl Loads {
    pub fn of(&self, place: NodeIndex) -> f64 {
        self.0.get(&place).copied().unwrap_or(0.0)
    }

    fn add(&mut self, place: NodeIndex, load: f64) {
        *self.0.entry(place).or_insert(0.0) += load;
    }
}

/// Checks a version whole. The loads come back with it, so that nobody works them out twice.
pub fn validate(shape: &Shape) -> Result<Loads, Vec<Violation>> {
    let mut wrong = mixed(shape);
    let order = match climb(shape) {
        Ok(order) => order,
        Err(loops) => {
            wrong.extend(loops);
            return Err(wrong);
        }
    };
    wrong.extend(no_way(shape, &order));
    if !wrong.is_empty() {
        return Err(wrong);
    }
    let flow = Flow::of(shape, &order);
    wrong.extend(flow.overloads());
    wrong.extend(flow.overloads_after_losses());
    if wrong.is_empty() { Ok(flow.loads()) } else { Err(wrong) }
}

/// Loads of a version that is known to hold, without looking for what any loss would do.
pub fn loads(shape: &Shape) -> Option<Loads> {
    let order = climb(shape).ok()?;
    Some(Flow::of(shape, &order).loads())
}

/// Whether a version has a loop, and nothing else: what a step on the way from one version to another must not have.
pub fn cycles(shape: &Shape) -> Vec<Violation> {
    climb(shape).err().unwrap_or_default()
}

fn mixed(shape: &Shape) -> Vec<Violation> {
    let tops = shape.top_hubs().iter();
    let other = |top: &NodeIndex| {
        let tie = shape.upstreams(*top).iter().find(|tie| **tie != ARCHIVE)?;
        Some(Violation::MixedUpstreams { node: shape.name(*top).into(), upstream: shape.name(*tie).into() })
    };
    tops.filter_map(other).collect()
}

/// All places, each before those that it is tied to; or every loop, once.
fn climb(shape: &Shape) -> Result<Vec<NodeIndex>, Vec<Violation>> {
    let mut climber =
        Climber { shape, mark: BTreeMap::new(), path: Vec::new(), done: Vec::new(), loops: Vec::new() };
    shape.nodes().for_each(|(at, _)| climber.from(at));
    climber.done.reverse();
    if climber.loops.is_empty() { Ok(climber.done) } else { Err(climber.loops) }
}

#[derive(Clone, Copy, PartialEq)]
enum Mark {
    OnPath,
    Done,
}

struct Climber<'a> {
    shape: &'a Shape,
    mark: BTreeMap<NodeIndex, Mark>,
    /// The way from where it began, each with the number of its ties that were looked at.
    path: Vec<(NodeIndex, usize)>,
    done: Vec<NodeIndex>,
    loops: Vec<Violation>,
}

impl Climber<'_> {
    /// By a stack of its own: a chain of ten thousand hubs must not end the program.
    fn from(&mut self, start: NodeIndex) {
        if self.mark.contains_key(&start) {
            return;
        }
        self.enter(start);
        while let Some((at, seen)) = self.path.last_mut() {
            let (at, tie) = (*at, self.shape.upstreams(*at).get(*seen).copied());
            *seen += 1;
            match tie {
                None => {
                    self.path.pop();
                    self.mark.insert(at, Mark::Done);
                    self.done.push(at);
                }
                Some(tie) => match self.mark.get(&tie) {
                    None => self.enter(tie),
                    Some(Mark::OnPath) => self.found(tie),
                    Some(Mark::Done) => {}
                },
            }
        }
    }

    fn enter(&mut self, at: NodeIndex) {
        self.mark.insert(at, Mark::OnPath);
        self.path.push((at, 0));
    }

    fn found(&mut self, tie: NodeIndex) {
        let from = self.path.iter().position(|(at, _)| *at == tie).unwrap_or(0);
        let path = self.path[from..].iter().map(|(at, _)| self.shape.name(*at).to_string()).collect();
        self.loops.push(Violation::Cycle { path });
    }
}

fn no_way(shape: &Shape, order: &[NodeIndex]) -> Vec<Violation> {
    let mut reaches: BTreeMap<NodeIndex, bool> = BTreeMap::new();
    let mut wrong = Vec::new();
    for at in order.iter().rev() {
        let on = |tie: &NodeIndex| reaches.get(tie).copied().unwrap_or(false);
        let reached = *at == ARCHIVE || shape.upstreams(*at).iter().any(on);
        reaches.insert(*at, reached);
        // A hub that nobody is tied to, and that is tied to nothing, only waits for its first tie.
        let unused = shape.upstreams(*at).is_empty() && shape.node(*at).is_some_and(|p| p.as_hub().is_some());
        if !reached && !unused {
            wrong.push(Violation::ArchiveUnreachable { node: shape.name(*at).into() });
        }
    }
    wrong.reverse();
    wrong
}

/// The flow of fills through a version. Each place spreads what it asks for evenly over its ties, since objects are
/// hashed over them; hubs at the top ask each other, each object its home, and homes ask the archive.
struct Flow<'a> {
    shape: &'a Shape,
    /// Where each place stands in the order, below before above.
    rank: BTreeMap<NodeIndex, usize>,
    /// Who asks a place.
    below: BTreeMap<NodeIndex, Vec<NodeIndex>>,
    /// Asked from below, without what hubs at the top ask of each other.
    asked: BTreeMap<NodeIndex, f64>,
}

/// What hubs at the top ask of each other, and of the archive.
struct Top {
    sideways: BTreeMap<NodeIndex, f64>,
    archive: f64,
}

impl<'a> Flow<'a> {
    fn of(shape: &'a Shape, order: &[NodeIndex]) -> Flow<'a> {
        let rank = order.iter().enumerate().map(|(n, at)| (*at, n)).collect();
        let mut below: BTreeMap<NodeIndex, Vec<NodeIndex>> = BTreeMap::new();
        for at in order {
            shape.upstreams(*at).iter().for_each(|tie| below.entry(*tie).or_default().push(*at));
        }
        let mut flow = Flow { shape, rank, below, asked: BTreeMap::new() };
        for at in order {
            let passes = flow.passes(*at, flow.asked.get(at).copied().unwrap_or(0.0));
            flow.spread(*at, passes)
                .into_iter()
                .for_each(|(to, load)| *flow.asked.entry(to).or_insert(0.0) += load);
        }
        flow
    }

    /// What a place that is asked for so much asks for itself.
    fn passes(&self, at: NodeIndex, asked: f64) -> f64 {
        match self.shape.node(at) {
            Some(Node::Branch(branch)) => branch.load,
            Some(Node::Hub(hub)) => asked * hub.passes,
            _ => 0.0,
        }
    }

    /// Over its ties but the archive, which is reckoned for all at the top together.
    fn spread(&self, at: NodeIndex, load: f64) -> Vec<(NodeIndex, f64)> {
        let ties = self.shape.upstreams(at);
        if ties.is_empty() || ties.contains(&ARCHIVE) {
            return Vec::new();
        }
        ties.iter().map(|tie| (*tie, load / ties.len() as f64)).collect()
    }

    fn top(&self, lost: Option<NodeIndex>, asked: impl Fn(NodeIndex) -> f64, cut_off: f64) -> Top {
        let left: Vec<NodeIndex> =
            self.shape.top_hubs().iter().copied().filter(|top| Some(*top) != lost).collect();
        let homes = left.len().max(1) as f64;
        let passes: Vec<f64> = left.iter().map(|top| self.passes(*top, asked(*top))).collect();
        let all: f64 = passes.iter().sum();
        let mut top = Top { sideways: BTreeMap::new(), archive: cut_off };
        for (at, own) in left.iter().zip(&passes) {
            let sideways = (all - own) / homes;
            top.sideways.insert(*at, sideways);
            top.archive += own / homes + self.passes(*at, sideways);
        }
        top
    }

    fn loads(&self) -> Loads {
        let mut loads = Loads(self.asked.clone());
        let top = self.top(None, |at| self.asked.get(&at).copied().unwrap_or(0.0), self.direct());
        top.sideways.iter().for_each(|(at, load)| loads.add(*at, *load));
        loads.0.insert(ARCHIVE, top.archive);
        loads
    }

    /// Branches that are tied to the archive itself.
    fn direct(&self) -> f64 {
        let below = self.below.get(&ARCHIVE).into_iter().flatten();
        let branches = below.filter_map(|at| match self.shape.node(*at) {
            Some(Node::Branch(branch)) => Some(branch.load / self.shape.upstreams(*at).len() as f64),
            _ => None,
        });
        branches.sum()
    }

    fn carries(&self, at: NodeIndex) -> f64 {
        match self.shape.node(at) {
            Some(Node::Hub(hub)) => hub.capacity,
            // Between its capacity and its stopping point it only slows down; an outage is allowed to use that.
            Some(Node::Archive(archive)) => archive.capacity,
            _ => f64::INFINITY,
        }
    }

    fn overloads(&self) -> Vec<Violation> {
        let loads = self.loads();
        let over = loads.0.iter().filter(|(at, asked)| **asked > self.carries(**at) * (1.0 + 1e-9));
        let complaint = |(at, asked): (&NodeIndex, &f64)| Violation::Overload {
            node: self.shape.name(*at).into(),
            asked: *asked,
            limit: self.carries(*at),
        };
        over.map(complaint).collect()
    }

    /// One loss after another, each by what it changes: the hubs above those that asked the lost one.
    fn overloads_after_losses(&self) -> Vec<Violation> {
        let mut wrong = Vec::new();
        for (lost, _) in self.shape.hubs() {
            let (changed, archive) = self.after_loss(lost);
            let archive = (ARCHIVE, archive);
            let limit = |at: NodeIndex| match self.shape.node(at) {
                Some(Node::Archive(archive)) => archive.capacity * archive.stops_at * 0.8,
                _ => self.carries(at),
            };
            for (at, asked) in changed.into_iter().chain([archive]) {
                if asked > limit(at) * (1.0 + 1e-9) {
                    let (place, lost) = (self.shape.name(at).into(), self.shape.name(lost).into());
                    wrong.push(Violation::OverloadAfterLoss { node: place, lost, asked, limit: limit(at) });
                }
            }
        }
        wrong
    }

    /// What places whose load differs are asked for once `lost` is gone, and what the archive is.
    fn after_loss(&self, lost: NodeIndex) -> (Vec<(NodeIndex, f64)>, f64) {
        let mut more: BTreeMap<NodeIndex, f64> = BTreeMap::new();
        let mut due: BTreeMap<usize, NodeIndex> = BTreeMap::new();
        let mut cut_off = self.direct();
        let asked = |at: NodeIndex| self.asked.get(&at).copied().unwrap_or(0.0);
        let give =
            |more: &mut BTreeMap<NodeIndex, f64>, due: &mut BTreeMap<usize, NodeIndex>, to, load: f64| {
                *more.entry(to).or_insert(0.0) += load;
                due.insert(self.rank[&to], to);
            };
        for child in self.below.get(&lost).into_iter().flatten() {
            let load = self.passes(*child, asked(*child));
            let others: Vec<_> = self.shape.upstreams(*child).iter().filter(|tie| **tie != lost).collect();
            let part = load / self.shape.upstreams(*child).len() as f64;
            if others.is_empty() {
                cut_off += part;
            }
            others.iter().for_each(|tie| give(&mut more, &mut due, **tie, part / others.len() as f64));
        }
        // What the lost hub passed on, it passes on no more.
        for (to, load) in self.spread(lost, self.passes(lost, asked(lost))) {
            give(&mut more, &mut due, to, -load);
        }
        while let Some((_, at)) = due.pop_first() {
            let passes = match self.shape.node(at) {
                Some(Node::Hub(hub)) => more[&at] * hub.passes,
                _ => 0.0,
            };
            self.spread(at, passes).into_iter().for_each(|(to, load)| give(&mut more, &mut due, to, load));
        }
        let now = |at: NodeIndex| (asked(at) + more.get(&at).copied().unwrap_or(0.0)).max(0.0);
        let top = self.top(Some(lost), now, cut_off);
        let mut changed: Vec<_> =
            more.keys().filter(|at| !top.sideways.contains_key(at)).map(|at| (*at, now(*at))).collect();
        changed.extend(top.sideways.iter().map(|(at, sideways)| (*at, now(*at) + sideways)));
        changed.retain(|(at, _)| *at != lost && *at != ARCHIVE);
        (changed, top.archive)
    }
}
