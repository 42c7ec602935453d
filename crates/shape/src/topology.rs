//! A version of the shape: numbered, immutable, cheap to derive the next from, since all versions share what they
//! have in common.
use crate::config::{ArchiveConfig, BranchConfig, HubConfig, LinkConfig, ShapeConfig};
use crate::validation::{self, Violation};
use harestage::time::{Moment, Span};
use imbl::OrdMap;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Index of a place, the same in all versions that were derived from one another.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub struct NodeIndex(pub u32);

/// The archive has the first index in every version.
pub const ARCHIVE: NodeIndex = NodeIndex(0);

#[derive(Clone, PartialEq, Debug)]
pub enum Node {
    Archive(ArchiveConfig),
    Hub(HubConfig),
    Branch(BranchConfig),
}

impl Node {
    pub fn name(&self) -> &str {
        match self {
            Node::Archive(archive) => &archive.name,
            Node::Hub(hub) => &hub.name,
            Node::Branch(branch) => &branch.name,
        }
    }

    pub fn as_hub(&self) -> Option<&HubConfig> {
        if let Node::Hub(hub) = self { Some(hub) } else { None }
    }
}

pub type Upstreams = Arc<[NodeIndex]>;

/// One version of who is tied to whom.
#[derive(Clone, Debug)]
pub struct Shape {
    version: u64,
    nodes: OrdMap<NodeIndex, Arc<Node>>,
    upstreams: OrdMap<NodeIndex, Upstreams>,
    names: OrdMap<Arc<str>, NodeIndex>,
    /// Hubs that fetch from the archive, by their indices.
    top_hubs: Arc<[NodeIndex]>,
    links: Arc<[LinkConfig]>,
    next_index: u32,
}

impl Shape {
    /// Builds a version from its form. Complaints are about names only; whether the whole holds is
    /// [`check::check`]'s to say.
    pub fn from_config(form: &ShapeConfig) -> Result<Shape, Vec<Violation>> {
        let mut shape = Shape {
            version: form.version,
            nodes: OrdMap::new(),
            upstreams: OrdMap::new(),
            names: OrdMap::new(),
            top_hubs: Arc::from([]),
            links: form.links.as_slice().into(),
            next_index: 0,
        };
        let mut wrong = Vec::new();
        let places = std::iter::once(Node::Archive(form.archive.clone()))
            .chain(form.hubs.iter().cloned().map(Node::Hub))
            .chain(form.branches.iter().cloned().map(Node::Branch));
        places.for_each(|place| wrong.extend(shape.add_node(place).err()));
        let hubs = form.hubs.iter().map(|hub| (&hub.name, &hub.up));
        let branches = form.branches.iter().map(|branch| (&branch.name, &branch.hubs));
        for (name, ties) in hubs.chain(branches) {
            match shape.resolve_upstreams(name, ties) {
                Ok((place, ties)) => drop(shape.upstreams.insert(place, ties)),
                Err(complaints) => wrong.extend(complaints),
            }
        }
        shape.update_top_hubs();
        if wrong.is_empty() { Ok(shape) } else { Err(wrong) }
    }

    fn add_node(&mut self, place: Node) -> Result<NodeIndex, Violation> {
        let name: Arc<str> = place.name().into();
        if self.names.contains_key(&name) {
            return Err(Violation::DuplicateName { node: name.to_string() });
        }
        let at = NodeIndex(self.next_index);
        self.next_index += 1;
        self.names.insert(name, at);
        self.nodes.insert(at, Arc::new(place));
        Ok(at)
    }

    fn resolve_upstreams(&self, name: &str, to: &[String]) -> Result<(NodeIndex, Upstreams), Vec<Violation>> {
        let place = self.names.get(name).copied().unwrap_or(ARCHIVE);
        let (mut ties, mut wrong) = (Vec::with_capacity(to.len()), Vec::new());
        for tie in to {
            let (place_name, tie_name) = (name.to_string(), tie.clone());
            match self.names.get(tie.as_str()) {
                None => wrong.push(Violation::UnknownUpstream { node: place_name, upstream: tie_name }),
                Some(at) if ties.contains(at) => {
                    wrong.push(Violation::DuplicateUpstream { node: place_name, upstream: tie_name })
                }
                Some(at) if matches!(*self.nodes[at], Node::Branch(_)) => {
                    wrong.push(Violation::BranchUpstream { node: place_name, upstream: tie_name })
                }
                Some(at) => ties.push(*at),
            }
        }
        if wrong.is_empty() { Ok((place, ties.into())) } else { Err(wrong) }
    }

    fn update_top_hubs(&mut self) {
        let to_archive = |(place, ties): (&NodeIndex, &Upstreams)| {
            let hub = matches!(*self.nodes[place], Node::Hub(_));
            (hub && ties.contains(&ARCHIVE)).then_some(*place)
        };
        self.top_hubs = self.upstreams.iter().filter_map(to_archive).collect();
    }

    /// The next version, in which some places have other ties. Costs what differs, not what stays.
    pub fn with_upstreams<'a>(
        &self,
        version: u64,
        moves: impl IntoIterator<Item = (NodeIndex, &'a [NodeIndex])>,
    ) -> Shape {
        let mut next = Shape { version, ..self.clone() };
        for (place, ties) in moves {
            next.upstreams.insert(place, ties.into());
            if let Some(moved) = next.nodes.get(&place).map(|p| next.with_upstream_names(p, ties)) {
                next.nodes.insert(place, Arc::new(moved));
            }
        }
        next.update_top_hubs();
        next
    }

    /// The place with its ties written out, so that a version can be handed out as it is.
    fn with_upstream_names(&self, place: &Node, ties: &[NodeIndex]) -> Node {
        let names = || ties.iter().map(|tie| self.name(*tie).to_string()).collect();
        match place {
            Node::Hub(hub) => Node::Hub(HubConfig { up: names(), ..hub.clone() }),
            Node::Branch(branch) => Node::Branch(BranchConfig { hubs: names(), ..branch.clone() }),
            Node::Archive(archive) => Node::Archive(archive.clone()),
        }
    }

    /// This version with all places of `form` that it lacks, tied to nothing yet, and the figures of those it has.
    pub fn extended_with(&self, version: u64, form: &ShapeConfig) -> Shape {
        let mut wide = Shape { version, links: form.links.as_slice().into(), ..self.clone() };
        let hubs = form.hubs.iter().cloned().map(|hub| Node::Hub(HubConfig { up: Vec::new(), ..hub }));
        let branches = form.branches.iter().cloned();
        let branches = branches.map(|b| Node::Branch(BranchConfig { hubs: Vec::new(), ..b }));
        // It may have another name now, and is the same place all the same.
        wide.names.remove(self.archive().name.as_str());
        wide.names.insert(form.archive.name.as_str().into(), ARCHIVE);
        wide.nodes.insert(ARCHIVE, Arc::new(Node::Archive(form.archive.clone())));
        for place in hubs.chain(branches) {
            match wide.names.get(place.name()).copied() {
                Some(at) => {
                    let ties = wide.upstreams(at).to_vec();
                    let place = wide.with_upstream_names(&place, &ties);
                    wide.nodes.insert(at, Arc::new(place));
                }
                None => {
                    if let Ok(at) = wide.add_node(place) {
                        wide.upstreams.insert(at, Arc::from([]));
                    }
                }
            }
        }
        wide
    }

    /// This version without the places that `form` does not name.
    pub fn restricted_to(&self, version: u64, form: &ShapeConfig) -> Shape {
        let named: std::collections::HashSet<&str> = std::iter::once(form.archive.name.as_str())
            .chain(form.hubs.iter().map(|h| h.name.as_str()))
            .chain(form.branches.iter().map(|b| b.name.as_str()))
            .collect();
        let mut narrow = Shape { version, ..self.clone() };
        for (at, place) in &self.nodes {
            if !named.contains(place.name()) {
                narrow.nodes.remove(at);
                narrow.upstreams.remove(at);
                narrow.names.remove(place.name());
            }
        }
        narrow.update_top_hubs();
        narrow
    }

    /// The version that a form says, its places under the indices that they have here.
    pub fn successor(&self, form: &ShapeConfig) -> Result<Shape, Vec<Violation>> {
        let said = Shape::from_config(form)?;
        let wide = self.extended_with(form.version, form);
        let here = |at: &NodeIndex| wide.find(said.name(*at)).unwrap_or(ARCHIVE);
        let ties =
            said.nodes().map(|(at, _)| (here(&at), said.upstreams(at).iter().map(here).collect::<Vec<_>>()));
        let ties: Vec<_> = ties.filter(|(at, ties)| wide.upstreams(*at) != ties.as_slice()).collect();
        let moved = wide.with_upstreams(form.version, ties.iter().map(|(at, ties)| (*at, ties.as_slice())));
        Ok(moved.restricted_to(form.version, form))
    }

    pub fn to_config(&self) -> ShapeConfig {
        let (mut hubs, mut branches) = (Vec::new(), Vec::new());
        for place in self.nodes.values() {
            match place.as_ref() {
                Node::Hub(hub) => hubs.push(hub.clone()),
                Node::Branch(branch) => branches.push(branch.clone()),
                Node::Archive(_) => {}
            }
        }
        let links = self.links.to_vec();
        ShapeConfig { version: self.version, archive: self.archive().clone(), hubs, branches, links }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn archive(&self) -> &ArchiveConfig {
        match self.nodes[&ARCHIVE].as_ref() {
            Node::Archive(archive) => archive,
            _ => unreachable!("the archive is entered first"),
        }
    }

    pub fn node(&self, at: NodeIndex) -> Option<&Node> {
        self.nodes.get(&at).map(Arc::as_ref)
    }

    pub fn name(&self, at: NodeIndex) -> &str {
        self.node(at).map_or("", Node::name)
    }

    pub fn find(&self, name: &str) -> Option<NodeIndex> {
        self.names.get(name).copied()
    }

    pub fn nodes(&self) -> impl Iterator<Item = (NodeIndex, &Node)> {
        self.nodes.iter().map(|(at, place)| (*at, place.as_ref()))
    }

    pub fn hubs(&self) -> impl Iterator<Item = (NodeIndex, &HubConfig)> {
        self.nodes().filter_map(|(at, place)| place.as_hub().map(|hub| (at, hub)))
    }

    /// Two sites, and the fills a second that the link between them carries.
    pub fn links(&self) -> impl Iterator<Item = (&str, &str, f64)> {
        self.links.iter().map(|link| (link.between[0].as_str(), link.between[1].as_str(), link.fills))
    }

    /// The sites that hubs are at, each once.
    pub fn sites(&self) -> std::collections::BTreeSet<&str> {
        self.hubs().map(|(_, hub)| hub.site.as_str()).filter(|site| !site.is_empty()).collect()
    }

    pub fn upstreams(&self, at: NodeIndex) -> &[NodeIndex] {
        self.upstreams.get(&at).map_or(&[], |ties| ties)
    }

    /// Hubs that are tied to the archive: each object has its home at one of them.
    pub fn top_hubs(&self) -> &[NodeIndex] {
        &self.top_hubs
    }

    /// Fills a second that a hub may be asked for at this time without being pushed over, before any margin.
    pub fn allowance(&self, at: NodeIndex, now: Moment) -> f64 {
        let Some(hub) = self.node(at).and_then(Node::as_hub) else { return f64::INFINITY };
        let started = Moment::at_micros(hub.since_ms.saturating_mul(1_000));
        let age = if hub.since_ms == 0 { Span::millis(hub.cold_ms) } else { now.since(started) };
        hub.capacity * warm_fraction(hub, age) * hub.falls_at
    }
}

/// Part of its capacity that a hub of this age has, from 0 to 1.
pub fn warm_fraction(hub: &HubConfig, age: Span) -> f64 {
    let part = age / Span::millis(hub.cold_ms);
    (hub.cold_from + (1.0 - hub.cold_from) * part).min(1.0)
}

/// A shape that is whole and holds, or why it does not.
pub fn validated_shape(form: &ShapeConfig) -> Result<Shape, Vec<Violation>> {
    let shape = Shape::from_config(form)?;
    validation::validate(&shape).map(|_| shape)
}

/// Versions that are kept at most, whatever still uses them: past it the oldest goes, and what used it goes on by
/// the newest.
const MOST_ALIVE: usize = 16;

/// All versions in use: a download keeps to the one that it began with.
#[derive(Default)]
pub struct Versions {
    retained: BTreeMap<u64, Alive>,
    /// The last shapes with each other set of hubs at the top, and until when they were in force: by them it is known
    /// who was home before. A change of many steps moves homes with few of them.
    former_top_sets: VecDeque<(Moment, Shape)>,
}

struct Alive {
    shape: Shape,
    users: usize,
    since: Moment,
}

/// Sets of hubs at the top that are remembered.
const MOST_FORMER: usize = 8;

impl Versions {
    /// Takes a version in. False: it is not newer than what is known, told twice or out of order.
    pub fn insert(&mut self, shape: Shape, now: Moment) -> bool {
        if self.retained.last_key_value().is_some_and(|(last, _)| *last >= shape.version) {
            return false;
        }
        if let Some((_, last)) =
            self.retained.last_key_value().filter(|(_, last)| last.shape.top_hubs != shape.top_hubs)
        {
            self.former_top_sets.push_front((now, last.shape.clone()));
            self.former_top_sets.truncate(MOST_FORMER);
        }
        self.retained.insert(shape.version, Alive { shape, users: 0, since: now });
        self.drop_unused();
        true
    }

    fn drop_unused(&mut self) {
        let last = self.retained.last_key_value().map_or(0, |(last, _)| *last);
        self.retained.retain(|version, alive| *version == last || alive.users > 0);
        while self.retained.len() > MOST_ALIVE {
            self.retained.pop_first();
        }
    }

    pub fn newest(&self) -> Option<&Shape> {
        self.retained.last_key_value().map(|(_, alive)| &alive.shape)
    }

    pub fn newest_since(&self) -> Option<Moment> {
        self.retained.last_key_value().map(|(_, alive)| alive.since)
    }

    /// Shapes that were in force within `span`, each with another set of hubs at the top than the next; newest first.
    pub fn recent(&self, now: Moment, span: Span) -> impl Iterator<Item = &Shape> {
        self.former_top_sets.iter().filter(move |(until, _)| now.since(*until) < span).map(|(_, shape)| shape)
    }

    /// The version asked for, or the newest where that is no longer kept.
    pub fn get(&self, version: u64) -> Option<&Shape> {
        self.retained.get(&version).map(|alive| &alive.shape).or(self.newest())
    }

    /// A download begins: it is told the version that it keeps to.
    pub fn pin(&mut self) -> Option<u64> {
        let mut newest = self.retained.last_entry()?;
        newest.get_mut().users += 1;
        Some(*newest.key())
    }

    pub fn unpin(&mut self, version: u64) {
        if let Some(alive) = self.retained.get_mut(&version) {
            alive.users = alive.users.saturating_sub(1);
        }
        self.drop_unused();
    }

    /// All that are kept, newest first.
    pub fn all(&self) -> impl Iterator<Item = &Shape> {
        let alive = self.retained.values().rev().map(|alive| &alive.shape);
        alive.chain(self.former_top_sets.iter().map(|(_, shape)| shape))
    }

    pub fn retained(&self) -> usize {
        self.retained.len()
    }
}
