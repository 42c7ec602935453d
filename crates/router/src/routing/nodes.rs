//! Names and addresses of caches, parents and the origin, as the feed tells them.
use harestage::door::Register;
use harestage::state::{Listing, NodeIx, Phase, Role};
use harestage::time::{Moment, Span};
use harestage_profile::{Kinds, Outside};
use harestage_sockets::clock::moment_from_unix_ms;
use harestage_wire::feed::{Member, MemberState};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// A node's number at this router, given out in the order in which the feed first named them.
pub type NodeNo = u32;

#[derive(Clone, Debug)]
pub struct Contact {
    pub name: String,
    pub address: Option<SocketAddr>,
    pub phase: Phase,
    since_ms: u64,
    /// Since when it has been gone.
    gone: Moment,
}

#[derive(Default)]
pub struct Contacts {
    known: BTreeMap<NodeNo, Contact>,
    by_name: HashMap<String, NodeNo>,
    named: NodeNo,
}

/// What a line of the list changed.
pub struct Relisted {
    pub node: NodeNo,
    pub listing: Listing,
    /// Another process than before stands behind the name.
    pub replaced: bool,
}

impl Contacts {
    pub fn get(&self, node: NodeNo) -> Option<&Contact> {
        self.known.get(&node)
    }

    pub fn enter(
        &mut self,
        member: &Member,
        register: &mut Register,
        kinds: Kinds,
        outside: &Outside,
        now: Moment,
    ) -> Relisted {
        let phase = match member.state {
            MemberState::Ready => Phase::Ready,
            MemberState::Draining => Phase::Draining,
            MemberState::Gone => Phase::Gone,
        };
        let told: Option<SocketAddr> = member.address.parse().ok();
        let node = *self.by_name.entry(member.name.clone()).or_insert_with(|| {
            let (name, address, since_ms) = (member.name.clone(), told, member.since_ms);
            self.known.insert(self.named, Contact { name, address, phase, since_ms, gone: now });
            self.named += 1;
            self.named - 1
        });
        let contact = self.known.get_mut(&node).expect("known by its name");
        if phase == Phase::Gone && contact.phase != Phase::Gone {
            contact.gone = now;
        }
        let replaced = phase == Phase::Ready
            && (contact.phase == Phase::Gone
                || contact.since_ms != member.since_ms
                || told.is_some() && contact.address != told);
        contact.address = told.or(contact.address);
        (contact.phase, contact.since_ms) = (phase, member.since_ms);
        let kind = place(&outside.kinds, &member.kind).map(|k| k as u8);
        let listing = Listing {
            node: register.enter_node(node),
            stamp: stamp(&member.name),
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
        Relisted { node, listing, replaced }
    }

    /// Those that a whole list does not name are gone.
    pub fn left_out(&mut self, members: &[Member], now: Moment) -> Vec<NodeNo> {
        let named: HashSet<&str> = members.iter().map(|m| m.name.as_str()).collect();
        let mut left_out = Vec::new();
        for (node, contact) in self.known.iter_mut().filter(|(_, c)| !named.contains(c.name.as_str())) {
            if contact.phase != Phase::Gone {
                (contact.phase, contact.gone) = (Phase::Gone, now);
            }
            left_out.push(*node);
        }
        left_out
    }

    /// Guards the memory of a long day, on which new names come all the time, against those that are gone.
    /// False: it is not gone, or not for as long.
    pub fn forget(&mut self, node: NodeNo, after: Span, now: Moment, register: &mut Register) -> bool {
        let long_gone = |c: &&Contact| c.phase == Phase::Gone && now.since(c.gone) >= after;
        let Some(contact) = self.known.get(&node).filter(long_gone) else { return false };
        self.by_name.remove(&contact.name);
        self.known.remove(&node);
        register.forget_node(node);
        true
    }

    pub fn of(&self, register: &Register, node: NodeIx) -> Option<(NodeNo, &Contact)> {
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
