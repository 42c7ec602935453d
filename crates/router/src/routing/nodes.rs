//! Names and addresses of caches, parents and the origin, as the feed tells them.
use harestage::interface::IdRegistry;
use harestage::state::{NodeIndex, NodeRecord, Phase, Role};
use harestage::time::{Moment, Span};
use harestage_profile::{NodeKinds, RouterSettings};
use harestage_sockets::clock::moment_from_unix_ms;
use harestage_wire::feed::{Member, MemberState};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// A node's number at this router, given out in the order in which the feed first named them.
pub type NodeId = u32;

#[derive(Clone, Debug)]
pub struct NodeEntry {
    pub name: String,
    pub address: Option<SocketAddr>,
    pub phase: Phase,
    since_ms: u64,
    /// Since when it has been gone.
    gone: Moment,
}

#[derive(Default)]
pub struct NodeTable {
    known: BTreeMap<NodeId, NodeEntry>,
    by_name: HashMap<String, NodeId>,
    named: NodeId,
}

/// What a line of the list changed.
pub struct NodeUpdate {
    pub node: NodeId,
    pub record: NodeRecord,
    /// Another process than before stands behind the name.
    pub replaced: bool,
}

impl NodeTable {
    pub fn get(&self, node: NodeId) -> Option<&NodeEntry> {
        self.known.get(&node)
    }

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
        let told: Option<SocketAddr> = member.address.parse().ok();
        let node = *self.by_name.entry(member.name.clone()).or_insert_with(|| {
            let (name, address, since_ms) = (member.name.clone(), told, member.since_ms);
            self.known.insert(self.named, NodeEntry { name, address, phase, since_ms, gone: now });
            self.named += 1;
            self.named - 1
        });
        let contact = self.known.get_mut(&node).expect("known by its name");
        if phase == Phase::Removed && contact.phase != Phase::Removed {
            contact.gone = now;
        }
        let replaced = phase == Phase::Ready
            && (contact.phase == Phase::Removed
                || contact.since_ms != member.since_ms
                || told.is_some() && contact.address != told);
        contact.address = told.or(contact.address);
        (contact.phase, contact.since_ms) = (phase, member.since_ms);
        let kind = place(&outside.kinds, &member.kind).map(|k| k as u8);
        let listing = NodeRecord {
            node: register.register_node(node),
            hash_key: stamp(&member.name),
            zone: place(&outside.zones, &member.zone).map_or(u16::MAX, |z| z as u16),
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
        NodeUpdate { node, record: listing, replaced }
    }

    /// Those that a whole list does not name are gone.
    pub fn mark_missing_removed(&mut self, members: &[Member], now: Moment) -> Vec<NodeId> {
        let named: HashSet<&str> = members.iter().map(|m| m.name.as_str()).collect();
        let mut left_out = Vec::new();
        for (node, contact) in self.known.iter_mut().filter(|(_, c)| !named.contains(c.name.as_str())) {
            if contact.phase != Phase::Removed {
                (contact.phase, contact.gone) = (Phase::Removed, now);
            }
            left_out.push(*node);
        }
        left_out
    }

    /// Guards the memory of a long day, on which new names come all the time, against those that are gone.
    /// False: it is not gone, or not for as long.
    pub fn forget(&mut self, node: NodeId, after: Span, now: Moment, register: &mut IdRegistry) -> bool {
        let long_gone = |c: &&NodeEntry| c.phase == Phase::Removed && now.since(c.gone) >= after;
        let Some(contact) = self.known.get(&node).filter(long_gone) else { return false };
        self.by_name.remove(&contact.name);
        self.known.remove(&node);
        register.release_node(node);
        true
    }

    pub fn by_index(&self, register: &IdRegistry, node: NodeIndex) -> Option<(NodeId, &NodeEntry)> {
        let no = register.node_id(node);
        self.known.get(&no).map(|contact| (no, contact))
    }
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// The same at every router, since each hashes the same text in the same way.
fn stamp(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
