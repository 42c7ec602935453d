//! A version of the shape: numbered and immutable. Deriving the next version is cheap, since versions share
//! what they have in common.
use crate::config::{ArchiveConfig, BranchConfig, HubConfig, LinkConfig, ShapeConfig};
use crate::validation::{self, Violation};
use harestage::time::{Moment, Span};
use imbl::OrdMap;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Index of a node, the same in all versions that were derived from one another.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub struct NodeIndex(pub u32);

/// The archive has the first index in every version.
pub const ARCHIVE: NodeIndex = NodeIndex(0);

/// A node of the topology.
#[derive(Clone, PartialEq, Debug)]
pub enum Node {
    Archive(ArchiveConfig),
    Hub(HubConfig),
    Branch(BranchConfig),
}

impl Node {
    /// The name of the node.
    pub fn name(&self) -> &str {
        match self {
            Node::Archive(archive) => &archive.name,
            Node::Hub(hub) => &hub.name,
            Node::Branch(branch) => &branch.name,
        }
    }

    /// The configuration of the hub, if the node is one.
    pub fn as_hub(&self) -> Option<&HubConfig> {
        if let Node::Hub(hub) = self { Some(hub) } else { None }
    }
}

/// The upstream links of a node.
pub type Upstreams = Arc<[NodeIndex]>;

/// One version of the topology: the nodes and their upstream links.
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
    /// Builds a version from its configuration. This checks the names only; [`validation::validate`] checks
    /// the whole.
    pub fn from_config(config: &ShapeConfig) -> Result<Shape, Vec<Violation>> {
        let mut shape = Shape {
            version: config.version,
            nodes: OrdMap::new(),
            upstreams: OrdMap::new(),
            names: OrdMap::new(),
            top_hubs: Arc::from([]),
            links: config.links.as_slice().into(),
            next_index: 0,
        };
        let mut violations = Vec::new();
        let nodes = std::iter::once(Node::Archive(config.archive.clone()))
            .chain(config.hubs.iter().cloned().map(Node::Hub))
            .chain(config.branches.iter().cloned().map(Node::Branch));
        nodes.for_each(|node| violations.extend(shape.add_node(node).err()));
        let hubs = config.hubs.iter().map(|hub| (&hub.name, &hub.up));
        let branches = config.branches.iter().map(|branch| (&branch.name, &branch.hubs));
        for (name, upstreams) in hubs.chain(branches) {
            match shape.resolve_upstreams(name, upstreams) {
                Ok((node, upstreams)) => drop(shape.upstreams.insert(node, upstreams)),
                Err(unresolved) => violations.extend(unresolved),
            }
        }
        shape.update_top_hubs();
        if violations.is_empty() { Ok(shape) } else { Err(violations) }
    }

    fn add_node(&mut self, node: Node) -> Result<NodeIndex, Violation> {
        let name: Arc<str> = node.name().into();
        if self.names.contains_key(&name) {
            return Err(Violation::DuplicateName { node: name.to_string() });
        }
        let index = NodeIndex(self.next_index);
        self.next_index += 1;
        self.names.insert(name, index);
        self.nodes.insert(index, Arc::new(node));
        Ok(index)
    }

    fn resolve_upstreams(&self, name: &str, to: &[String]) -> Result<(NodeIndex, Upstreams), Vec<Violation>> {
        let node = self.names.get(name).copied().unwrap_or(ARCHIVE);
        let (mut upstreams, mut violations) = (Vec::with_capacity(to.len()), Vec::new());
        for upstream in to {
            let (node_name, upstream_name) = (name.to_string(), upstream.clone());
            match self.names.get(upstream.as_str()) {
                None => {
                    violations.push(Violation::UnknownUpstream { node: node_name, upstream: upstream_name })
                }
                Some(index) if upstreams.contains(index) => {
                    violations.push(Violation::DuplicateUpstream { node: node_name, upstream: upstream_name })
                }
                Some(index) if matches!(*self.nodes[index], Node::Branch(_)) => {
                    violations.push(Violation::BranchUpstream { node: node_name, upstream: upstream_name })
                }
                Some(index) => upstreams.push(*index),
            }
        }
        if violations.is_empty() { Ok((node, upstreams.into())) } else { Err(violations) }
    }

    fn update_top_hubs(&mut self) {
        let to_archive = |(node, upstreams): (&NodeIndex, &Upstreams)| {
            let hub = matches!(*self.nodes[node], Node::Hub(_));
            (hub && upstreams.contains(&ARCHIVE)).then_some(*node)
        };
        self.top_hubs = self.upstreams.iter().filter_map(to_archive).collect();
    }

    /// The next version, in which some nodes have other upstreams. The cost depends on what differs, not on
    /// the size of the shape.
    pub fn with_upstreams<'a>(
        &self,
        version: u64,
        changes: impl IntoIterator<Item = (NodeIndex, &'a [NodeIndex])>,
    ) -> Shape {
        let mut next = Shape { version, ..self.clone() };
        for (node, upstreams) in changes {
            next.upstreams.insert(node, upstreams.into());
            if let Some(updated) = next.nodes.get(&node).map(|p| next.with_upstream_names(p, upstreams)) {
                next.nodes.insert(node, Arc::new(updated));
            }
        }
        next.update_top_hubs();
        next
    }

    /// The node with the names of its upstreams filled in, so that a version can be sent as it is.
    fn with_upstream_names(&self, node: &Node, upstreams: &[NodeIndex]) -> Node {
        let names = || upstreams.iter().map(|upstream| self.name(*upstream).to_string()).collect();
        match node {
            Node::Hub(hub) => Node::Hub(HubConfig { up: names(), ..hub.clone() }),
            Node::Branch(branch) => Node::Branch(BranchConfig { hubs: names(), ..branch.clone() }),
            Node::Archive(archive) => Node::Archive(archive.clone()),
        }
    }

    /// This version with the nodes of `config` that it lacks, not yet linked to anything, and with the
    /// settings that `config` gives the nodes it has.
    pub fn extended_with(&self, version: u64, config: &ShapeConfig) -> Shape {
        let mut extended = Shape { version, links: config.links.as_slice().into(), ..self.clone() };
        let hubs = config.hubs.iter().cloned().map(|hub| Node::Hub(HubConfig { up: Vec::new(), ..hub }));
        let branches = config.branches.iter().cloned();
        let branches = branches.map(|b| Node::Branch(BranchConfig { hubs: Vec::new(), ..b }));
        // The archive may have another name now; it is still the same node.
        extended.names.remove(self.archive().name.as_str());
        extended.names.insert(config.archive.name.as_str().into(), ARCHIVE);
        extended.nodes.insert(ARCHIVE, Arc::new(Node::Archive(config.archive.clone())));
        for node in hubs.chain(branches) {
            match extended.names.get(node.name()).copied() {
                Some(index) => {
                    let upstreams = extended.upstreams(index).to_vec();
                    let node = extended.with_upstream_names(&node, &upstreams);
                    extended.nodes.insert(index, Arc::new(node));
                }
                None => {
                    if let Ok(index) = extended.add_node(node) {
                        extended.upstreams.insert(index, Arc::from([]));
                    }
                }
            }
        }
        extended
    }

    /// This version without the nodes that `config` does not contain.
    pub fn restricted_to(&self, version: u64, config: &ShapeConfig) -> Shape {
        let names: std::collections::HashSet<&str> = std::iter::once(config.archive.name.as_str())
            .chain(config.hubs.iter().map(|h| h.name.as_str()))
            .chain(config.branches.iter().map(|b| b.name.as_str()))
            .collect();
        let mut restricted = Shape { version, ..self.clone() };
        for (index, node) in &self.nodes {
            if !names.contains(node.name()) {
                restricted.nodes.remove(index);
                restricted.upstreams.remove(index);
                restricted.names.remove(node.name());
            }
        }
        restricted.update_top_hubs();
        restricted
    }

    /// The version that a configuration describes, with the node indices of this version.
    pub fn successor(&self, config: &ShapeConfig) -> Result<Shape, Vec<Violation>> {
        let target = Shape::from_config(config)?;
        let extended = self.extended_with(config.version, config);
        let local_index = |index: &NodeIndex| extended.find(target.name(*index)).unwrap_or(ARCHIVE);
        let upstreams = target.nodes().map(|(index, _)| {
            (local_index(&index), target.upstreams(index).iter().map(local_index).collect::<Vec<_>>())
        });
        let upstreams: Vec<_> = upstreams
            .filter(|(index, upstreams)| extended.upstreams(*index) != upstreams.as_slice())
            .collect();
        let updated = extended.with_upstreams(
            config.version,
            upstreams.iter().map(|(index, upstreams)| (*index, upstreams.as_slice())),
        );
        Ok(updated.restricted_to(config.version, config))
    }

    /// The configuration of this version.
    pub fn to_config(&self) -> ShapeConfig {
        let (mut hubs, mut branches) = (Vec::new(), Vec::new());
        for node in self.nodes.values() {
            match node.as_ref() {
                Node::Hub(hub) => hubs.push(hub.clone()),
                Node::Branch(branch) => branches.push(branch.clone()),
                Node::Archive(_) => {}
            }
        }
        let links = self.links.to_vec();
        ShapeConfig { version: self.version, archive: self.archive().clone(), hubs, branches, links }
    }

    /// The number of this version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The configuration of the archive.
    pub fn archive(&self) -> &ArchiveConfig {
        match self.nodes[&ARCHIVE].as_ref() {
            Node::Archive(archive) => archive,
            _ => unreachable!("the archive is entered first"),
        }
    }

    /// The node with this index, if there is one.
    pub fn node(&self, index: NodeIndex) -> Option<&Node> {
        self.nodes.get(&index).map(Arc::as_ref)
    }

    /// The name of a node, empty if there is none with this index.
    pub fn name(&self, index: NodeIndex) -> &str {
        self.node(index).map_or("", Node::name)
    }

    /// The index of the node with this name.
    pub fn find(&self, name: &str) -> Option<NodeIndex> {
        self.names.get(name).copied()
    }

    /// All nodes, by index.
    pub fn nodes(&self) -> impl Iterator<Item = (NodeIndex, &Node)> {
        self.nodes.iter().map(|(index, node)| (*index, node.as_ref()))
    }

    /// All hubs, by index.
    pub fn hubs(&self) -> impl Iterator<Item = (NodeIndex, &HubConfig)> {
        self.nodes().filter_map(|(index, node)| node.as_hub().map(|hub| (index, hub)))
    }

    /// Two sites, and the fills a second that the link between them carries.
    pub fn links(&self) -> impl Iterator<Item = (&str, &str, f64)> {
        self.links.iter().map(|link| (link.between[0].as_str(), link.between[1].as_str(), link.fills))
    }

    /// The sites of the hubs, each once.
    pub fn sites(&self) -> std::collections::BTreeSet<&str> {
        self.hubs().map(|(_, hub)| hub.site.as_str()).filter(|site| !site.is_empty()).collect()
    }

    /// The upstream links of a node.
    pub fn upstreams(&self, index: NodeIndex) -> &[NodeIndex] {
        self.upstreams.get(&index).map_or(&[], |upstreams| upstreams)
    }

    /// Hubs that are linked to the archive: the preferred hub of each object is one of them.
    pub fn top_hubs(&self) -> &[NodeIndex] {
        &self.top_hubs
    }

    /// Fills a second that a hub can be asked for at this time without being overloaded, before any safety
    /// margin.
    pub fn allowance(&self, index: NodeIndex, now: Moment) -> f64 {
        let Some(hub) = self.node(index).and_then(Node::as_hub) else { return f64::INFINITY };
        let started = Moment::at_micros(hub.since_ms.saturating_mul(1_000));
        let age = if hub.since_ms == 0 { Span::millis(hub.cold_ms) } else { now.since(started) };
        hub.capacity * warm_fraction(hub, age) * hub.falls_at
    }
}

/// The fraction of its capacity that a hub of this age has, from 0 to 1.
pub fn warm_fraction(hub: &HubConfig, age: Span) -> f64 {
    let fraction = age / Span::millis(hub.cold_ms);
    (hub.cold_from + (1.0 - hub.cold_from) * fraction).min(1.0)
}

/// A shape that is valid as a whole, or what is wrong with it.
pub fn validated_shape(config: &ShapeConfig) -> Result<Shape, Vec<Violation>> {
    let shape = Shape::from_config(config)?;
    validation::validate(&shape).map(|_| shape)
}

/// Limit on the versions that are retained, whatever still uses them. Beyond it the oldest is dropped, and
/// what used it continues with the newest.
const MAX_RETAINED_VERSIONS: usize = 16;

/// All versions in use: a download keeps the version that it started with.
#[derive(Default)]
pub struct Versions {
    retained: BTreeMap<u64, RetainedVersion>,
    /// The last shape for each earlier set of top hubs, and until when it was in force. They tell which hubs
    /// were preferred before. A change of many steps moves preferred hubs in few of them.
    former_top_sets: VecDeque<(Moment, Shape)>,
}

/// A version and the downloads that use it.
struct RetainedVersion {
    shape: Shape,
    users: usize,
    since: Moment,
}

/// Limit on the earlier sets of top hubs that are kept.
const MAX_FORMER_TOP_SETS: usize = 8;

impl Versions {
    /// Adds a version. Returns false if it is not newer than the newest: it was received twice or out of
    /// order.
    pub fn insert(&mut self, shape: Shape, now: Moment) -> bool {
        if self.retained.last_key_value().is_some_and(|(last, _)| *last >= shape.version) {
            return false;
        }
        if let Some((_, last)) =
            self.retained.last_key_value().filter(|(_, last)| last.shape.top_hubs != shape.top_hubs)
        {
            self.former_top_sets.push_front((now, last.shape.clone()));
            self.former_top_sets.truncate(MAX_FORMER_TOP_SETS);
        }
        self.retained.insert(shape.version, RetainedVersion { shape, users: 0, since: now });
        self.drop_unused();
        true
    }

    fn drop_unused(&mut self) {
        let last = self.retained.last_key_value().map_or(0, |(last, _)| *last);
        self.retained.retain(|version, retained| *version == last || retained.users > 0);
        while self.retained.len() > MAX_RETAINED_VERSIONS {
            self.retained.pop_first();
        }
    }

    /// The newest version.
    pub fn newest(&self) -> Option<&Shape> {
        self.retained.last_key_value().map(|(_, retained)| &retained.shape)
    }

    /// When the newest version was added.
    pub fn newest_since(&self) -> Option<Moment> {
        self.retained.last_key_value().map(|(_, retained)| retained.since)
    }

    /// Shapes that were in force within `span`, each with another set of top hubs than the next; newest
    /// first.
    pub fn recent(&self, now: Moment, span: Span) -> impl Iterator<Item = &Shape> {
        self.former_top_sets.iter().filter(move |(until, _)| now.since(*until) < span).map(|(_, shape)| shape)
    }

    /// The requested version, or the newest if that is no longer retained.
    pub fn get(&self, version: u64) -> Option<&Shape> {
        self.retained.get(&version).map(|retained| &retained.shape).or(self.newest())
    }

    /// A download starts: returns the version that it keeps.
    pub fn pin(&mut self) -> Option<u64> {
        let mut newest = self.retained.last_entry()?;
        newest.get_mut().users += 1;
        Some(*newest.key())
    }

    /// A download that was pinned to this version has ended.
    pub fn unpin(&mut self, version: u64) {
        if let Some(retained) = self.retained.get_mut(&version) {
            retained.users = retained.users.saturating_sub(1);
        }
        self.drop_unused();
    }

    /// All shapes that are kept, newest first.
    pub fn all(&self) -> impl Iterator<Item = &Shape> {
        let retained = self.retained.values().rev().map(|retained| &retained.shape);
        retained.chain(self.former_top_sets.iter().map(|(_, shape)| shape))
    }

    /// The number of retained versions.
    pub fn retained(&self) -> usize {
        self.retained.len()
    }
}
