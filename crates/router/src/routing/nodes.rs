//! Names and addresses of caches, parents and the origin, from the control feed.
use harestage::interface::IdRegistry;
use harestage::state::{NodeIndex, NodeRecord, Phase, Role};
use harestage::time::{Moment, Span};
use harestage_profile::{NodeKinds, RouterSettings};
use harestage_sockets::clock::moment_from_unix_ms;
use harestage_wire::feed::{Member, MemberState};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// A node's number at this router, in the order in which the feed first named the nodes.
pub type NodeId = u32;

/// What is known of one node.
#[derive(Clone, Debug)]
pub struct NodeEntry {
    pub name: String,
    pub address: Option<SocketAddr>,
    pub phase: Phase,
    since_ms: u64,
    /// When the node was removed.
    removed_at: Moment,
    /// What the core was told last.
    record: Option<NodeRecord>,
}

impl NodeEntry {
    fn remove(&mut self, now: Moment) {
        if self.phase != Phase::Removed {
            (self.phase, self.removed_at) = (Phase::Removed, now);
        }
    }
}

/// All nodes that the feed has named and that are still remembered.
#[derive(Default)]
pub struct NodeTable {
    entries: BTreeMap<NodeId, NodeEntry>,
    by_name: HashMap<String, NodeId>,
    /// The node that was told last to be at an address. A new process may have the address of one that has gone.
    by_address: HashMap<SocketAddr, NodeId>,
    next_id: NodeId,
}

/// Result of applying a node's entry from the feed.
pub struct NodeUpdate {
    pub node: NodeId,
    pub record: NodeRecord,
    /// The name now belongs to another process than before.
    pub replaced: bool,
    /// The node whose address this one has taken, and its record: its process is gone, though the feed has not
    /// said so yet.
    pub superseded: Option<(NodeId, NodeRecord)>,
}

impl NodeTable {
    /// The node with this number.
    pub fn get(&self, node: NodeId) -> Option<&NodeEntry> {
        self.entries.get(&node)
    }

    /// Applies a node's entry from the feed. Registers the node with the core if it is new.
    pub fn apply(
        &mut self,
        member: &Member,
        register: &mut IdRegistry,
        kinds: NodeKinds,
        outside: &RouterSettings,
        now: Moment,
    ) -> NodeUpdate {
        let address: Option<SocketAddr> = member.address.parse().ok();
        let phase = match member.state {
            _ if self.is_superseded(member, address) => Phase::Removed,
            MemberState::Ready => Phase::Ready,
            MemberState::Draining => Phase::Draining,
            MemberState::Removed => Phase::Removed,
        };
        let node = self.register(member, address, phase, now);
        let superseded = address.filter(|_| phase != Phase::Removed).and_then(|at| self.claim(at, node, now));
        let entry = self.entries.get_mut(&node).expect("known by its name");
        let replaced = phase == Phase::Ready
            && (entry.phase == Phase::Removed
                || entry.since_ms != member.since_ms
                || address.is_some() && entry.address != address);
        if phase == Phase::Removed {
            entry.remove(now);
        }
        entry.address = address.or(entry.address);
        (entry.phase, entry.since_ms) = (phase, member.since_ms);
        let kind = position_of(&outside.kinds, &member.kind).map(|k| k as u8);
        let record = NodeRecord {
            node: register.register_node(node),
            hash_key: name_hash(&member.name),
            zone: position_of(&outside.zones, &member.zone).map_or(u16::MAX, |z| z as u16),
            cell: member.cell,
            kind: kind.unwrap_or(u8::MAX),
            scale: member.scale,
            role: match kind {
                Some(_) if kind == kinds.origin => Role::Origin,
                Some(_) if kind == kinds.parent => Role::Parent,
                _ => Role::Cache,
            },
            phase,
            started: (member.since_ms > 0).then(|| moment_from_unix_ms(member.since_ms)),
        };
        entry.record = Some(record);
        NodeUpdate { node, record, replaced, superseded }
    }

    /// Whether a younger process has the address of this one.
    fn is_superseded(&self, member: &Member, address: Option<SocketAddr>) -> bool {
        let owner = address.and_then(|address| self.by_address.get(&address));
        let owner = owner.and_then(|owner| self.entries.get(owner));
        owner.is_some_and(|owner| {
            owner.name != member.name && owner.phase != Phase::Removed && owner.since_ms > member.since_ms
        })
    }

    /// The node's number; a new one if the name is new.
    fn register(
        &mut self,
        member: &Member,
        address: Option<SocketAddr>,
        phase: Phase,
        now: Moment,
    ) -> NodeId {
        *self.by_name.entry(member.name.clone()).or_insert_with(|| {
            let (name, since_ms) = (member.name.clone(), member.since_ms);
            let entry = NodeEntry { name, address, phase, since_ms, removed_at: now, record: None };
            self.entries.insert(self.next_id, entry);
            self.next_id += 1;
            self.next_id - 1
        })
    }

    /// Gives an address to a node and removes the one that had it.
    fn claim(&mut self, address: SocketAddr, node: NodeId, now: Moment) -> Option<(NodeId, NodeRecord)> {
        let previous = self.by_address.insert(address, node).filter(|previous| *previous != node)?;
        let entry = self.entries.get_mut(&previous).filter(|entry| entry.phase != Phase::Removed)?;
        if entry.address != Some(address) {
            return None;
        }
        entry.remove(now);
        entry.record.map(|record| (previous, NodeRecord { phase: Phase::Removed, ..record }))
    }

    /// Marks nodes that a complete list does not name as removed, and returns them.
    pub fn mark_missing_removed(&mut self, members: &[Member], now: Moment) -> Vec<NodeId> {
        let named: HashSet<&str> = members.iter().map(|m| m.name.as_str()).collect();
        let mut missing = Vec::new();
        for (node, entry) in self.entries.iter_mut().filter(|(_, entry)| !named.contains(entry.name.as_str()))
        {
            entry.remove(now);
            missing.push(*node);
        }
        missing
    }

    /// Forgets a node that was removed at least `after` ago, so that memory does not grow with each new name.
    /// `false`: it was not removed, or not that long ago.
    pub fn forget(&mut self, node: NodeId, after: Span, now: Moment, register: &mut IdRegistry) -> bool {
        let is_expired =
            |entry: &&NodeEntry| entry.phase == Phase::Removed && now.since(entry.removed_at) >= after;
        let Some(entry) = self.entries.get(&node).filter(is_expired) else { return false };
        self.by_name.remove(&entry.name);
        let address = entry.address.filter(|address| self.by_address.get(address) == Some(&node));
        address.and_then(|address| self.by_address.remove(&address));
        self.entries.remove(&node);
        register.release_node(node);
        true
    }

    /// The node that the core knows under this index.
    pub fn by_index(&self, register: &IdRegistry, node: NodeIndex) -> Option<(NodeId, &NodeEntry)> {
        let no = register.node_id(node);
        self.entries.get(&no).map(|entry| (no, entry))
    }
}

fn position_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// The same at every router, since each hashes the same name with the same hash function.
fn name_hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
