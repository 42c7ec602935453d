//! Who has what. A member counts as having a purge when it has said so itself, under the number of its process; what
//! came before a start of its is not known, and counts as lacking. One that lacks a purge for too long is fenced:
//! nothing is taken from it, neither as a cache nor as the source of a fill, until it has caught up, and then it is
//! asked no more at once than a cold one.
use harestage::time::{Moment, Span};
use std::collections::BTreeMap;

/// A member that lacks a purge for as long after it was told is fenced.
pub const FENCED_AFTER: Span = Span::millis(250);
/// After a fence, a member is asked for as little as a cold one, and for as much as a warm one after it.
pub const WARMS: Span = Span::millis(8_000);
/// A member that was silent for as long is forgotten; when it comes again, it comes as one of unknown past.
const FORGOTTEN_AFTER: Span = Span::millis(3_600_000);
/// Members at most.
pub const MOST: usize = 16_384;

#[derive(Clone, Debug, PartialEq)]
struct Member {
    /// The number of its process, which no other start of it has.
    start: u64,
    /// All up to it are applied.
    has: u64,
    heard: Moment,
    /// Since when it lacks something.
    lacks: Option<Moment>,
    fenced: Option<Moment>,
    freed: Option<Moment>,
}

/// What changes for others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Fenced { member: String, has: u64 },
    Freed { member: String },
}

/// All members, as the service sees them.
#[derive(Default)]
pub struct Members {
    known: BTreeMap<String, Member>,
    /// The number of the last purge.
    last: u64,
}

/// How a member may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Use {
    Freely,
    /// Of what it can do when warm, from 0 to 1.
    AsCold(f64),
    /// Nothing is taken from it.
    NotAtAll,
}

impl Members {
    /// A member as it stood in the log of a service that has ended: it is taken to have what it confirmed, and has to
    /// confirm the rest in the usual time.
    pub fn recall(&mut self, name: &str, start: u64, has: u64, last: u64, now: Moment) {
        self.last = self.last.max(last);
        let lacks = (has < last).then_some(now);
        self.known.insert(name.into(), Member { start, has, heard: now, lacks, fenced: None, freed: None });
    }

    /// A member that was fenced when the service ended is fenced still.
    pub fn recall_fence(&mut self, name: &str, now: Moment) {
        if let Some(member) = self.known.get_mut(name) {
            (member.fenced, member.lacks) = (Some(now), member.lacks.or(Some(now)));
        }
    }

    /// The number of its process, and what it has.
    pub fn of(&self, name: &str) -> Option<(u64, u64)> {
        self.known.get(name).map(|member| (member.start, member.has))
    }

    pub fn is_fenced(&self, name: &str) -> bool {
        self.known.get(name).is_some_and(|member| member.fenced.is_some())
    }

    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.known.keys().map(String::as_str)
    }

    /// A purge has been written down, and is told from now on.
    pub fn purged(&mut self, number: u64, now: Moment) {
        self.last = self.last.max(number);
        let last = self.last;
        self.known.values_mut().filter(|m| m.has < last).for_each(|m| m.lacks = m.lacks.or(Some(now)));
    }

    /// A member says what it has. A process that was not heard of before has nothing, whatever it says of its past:
    /// it first has to be told all that lives, and to say that it has that.
    pub fn confirm(
        &mut self,
        name: &str,
        start: u64,
        has: u64,
        told_all: bool,
        now: Moment,
    ) -> Option<Change> {
        if !self.known.contains_key(name) && self.known.len() >= MOST {
            return None;
        }
        let last = self.last;
        let fresh = || Member { start, has: 0, heard: now, lacks: Some(now), fenced: Some(now), freed: None };
        let member = self.known.entry(name.into()).or_insert_with(fresh);
        if member.start != start {
            *member = fresh();
        }
        member.heard = now;
        // Numbers from the future come from another order, and prove nothing.
        if has > last || !told_all && member.has == 0 {
            return None;
        }
        member.has = member.has.max(has);
        if member.has < last {
            return None;
        }
        member.lacks = None;
        member.fenced.take().map(|_| {
            member.freed = Some(now);
            Change::Freed { member: name.into() }
        })
    }

    /// Fences those that lack a purge for too long.
    pub fn beat(&mut self, now: Moment) -> Vec<Change> {
        self.known.retain(|_, member| now.since(member.heard) < FORGOTTEN_AFTER);
        let due = self.known.iter_mut().filter(|(_, m)| {
            m.fenced.is_none() && m.lacks.is_some_and(|since| now.since(since) >= FENCED_AFTER)
        });
        due.map(|(name, member)| {
            member.fenced = Some(now);
            Change::Fenced { member: name.clone(), has: member.has }
        })
        .collect()
    }

    /// `cold_from`: of what it can do when warm, what a member can do that has just started.
    pub fn may_use(&self, name: &str, cold_from: f64, now: Moment) -> Use {
        let Some(member) = self.known.get(name) else { return Use::NotAtAll };
        if member.fenced.is_some() {
            return Use::NotAtAll;
        }
        match member.freed.map(|freed| now.since(freed)) {
            Some(since) if since < WARMS => Use::AsCold(cold_from + (1.0 - cold_from) * (since / WARMS)),
            _ => Use::Freely,
        }
    }

    /// Everyone has this purge, or is fenced for it: no older copy is answered any more.
    pub fn is_reached(&self, number: u64) -> bool {
        self.known.values().all(|member| member.has >= number || member.fenced.is_some())
    }

    /// Who is fenced, and what they have.
    pub fn fenced(&self) -> impl Iterator<Item = (&str, u64)> {
        self.known.iter().filter(|(_, m)| m.fenced.is_some()).map(|(name, m)| (name.as_str(), m.has))
    }

    /// The number that all members have that are not fenced.
    pub fn has_all(&self) -> u64 {
        let free = self.known.values().filter(|member| member.fenced.is_none());
        free.map(|member| member.has).min().unwrap_or(self.last)
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
