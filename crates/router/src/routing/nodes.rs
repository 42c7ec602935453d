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
}

/// All nodes that the feed has named and that are still remembered.
#[derive(Default)]
pub struct NodeTable {
    entries: BTreeMap<NodeId, NodeEntry>,
    by_name: HashMap<String, NodeId>,
    next_id: NodeId,
}

/// Result of applying a node's entry from the feed.
pub struct NodeUpdate {
    pub node: NodeId,
    pub record: NodeRecord,
    /// The name now belongs to another process than before.
    pub replaced: bool,
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
        let phase = match member.state {
            MemberState::Ready => Phase::Ready,
            MemberState::Draining => Phase::Draining,
            MemberState::Removed => Phase::Removed,
        };
        let address: Option<SocketAddr> = member.address.parse().ok();
        let node = *self.by_name.entry(member.name.clone()).or_insert_with(|| {
            let (name, address, since_ms) = (member.name.clone(), address, member.since_ms);
            self.entries.insert(self.next_id, NodeEntry { name, address, phase, since_ms, removed_at: now });
            self.next_id += 1;
            self.next_id - 1
        });
        let entry = self.entries.get_mut(&node).expect("known by its name");
        if phase == Phase::Removed && entry.phase != Phase::Removed {
            entry.removed_at = now;
        }
        let replaced = phase == Phase::Ready
            && (entry.phase == Phase::Removed
                || entry.since_ms != member.since_ms
                || address.is_some() && entry.address != address);
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
        NodeUpdate { node, record, replaced }
    }

    /// Marks nodes that a complete list does not name as removed, and returns them.
    pub fn mark_missing_removed(&mut self, members: &[Member], now: Moment) -> Vec<NodeId> {
        let named: HashSet<&str> = members.iter().map(|m| m.name.as_str()).collect();
        let mut missing = Vec::new();
        for (node, entry) in self.entries.iter_mut().filter(|(_, entry)| !named.contains(entry.name.as_str()))
        {
            if entry.phase != Phase::Removed {
                (entry.phase, entry.removed_at) = (Phase::Removed, now);
            }
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
