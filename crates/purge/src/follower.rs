//! Member side of the replication: what a member has applied, what it acknowledges, and how it handles
//! messages.
use crate::messages::{Ack, Past, ToMember};
use crate::scope::CompiledScope;
use crate::sequencer::{Delivery, Item, LogPosition, Payload};
use harestage::time::Moment;
use std::collections::BTreeSet;

/// What the owner of the copies has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Copies of this that the archive gave out up to `at` are outdated.
    Purge { scope: CompiledScope, at: Moment },
    /// Use none of these members from now on. Replaces the previous set.
    SetFenced(BTreeSet<String>),
}

/// Replication state of one process of a member.
pub struct Follower {
    name: String,
    incarnation: u64,
    position: LogPosition,
    /// The process knows all live items once it has applied everything up to this number; `None` before it
    /// is known.
    synced_upto: Option<u64>,
    fenced: BTreeSet<String>,
    past: Past,
}

/// The source was replaced by a newer leader or leaves out items, so its connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceError {
    /// The source is not the latest leader.
    StaleTerm,
    /// The source left out items.
    Gap,
}

impl Follower {
    /// Creates a process that has applied nothing. `incarnation` must differ from that of any other start of
    /// this member.
    pub fn new(name: &str, incarnation: u64) -> Follower {
        Follower {
            name: name.into(),
            incarnation,
            position: LogPosition::default(),
            synced_upto: None,
            fenced: BTreeSet::new(),
            past: Past::default(),
        }
    }

    /// Sets what the member keeps from before its start: copies with purges applied, or nothing at all.
    /// Purges that it had not applied are sent like new ones, and evicted ones may not matter to it.
    pub fn with_past(self, past: Past) -> Follower {
        Follower { past, ..self }
    }

    /// The acknowledgement to send.
    pub fn ack(&self) -> Ack {
        let (member, incarnation) = (self.name.clone(), self.incarnation);
        Ack {
            member,
            incarnation,
            applied: self.position.number,
            bootstrapped: self.is_ready(),
            past: self.past,
        }
    }

    /// Returns whether all live items are known. Before that, no copies may be used or served.
    pub fn is_ready(&self) -> bool {
        self.synced_upto.is_some_and(|upto| self.position.number >= upto)
    }

    /// Handles a message and returns what has to be done.
    pub fn handle(&mut self, message: ToMember) -> Result<Vec<Action>, SourceError> {
        let mut actions = Vec::new();
        // The set of fenced members may be large and messages are frequent, so it is returned only if it has
        // changed.
        let mut changed = false;
        match message {
            ToMember::Items { term, items } => {
                for item in items {
                    match self.position.advance(term, item.number) {
                        Delivery::Next => changed |= self.apply(&item, &mut actions),
                        Delivery::Duplicate => {}
                        Delivery::Gap => return Err(SourceError::Gap),
                        Delivery::StaleTerm => return Err(SourceError::StaleTerm),
                    }
                }
            }
            // These messages contain no items: the first redirects to the leader, the other is for
            // gatherers.
            ToMember::NotLeader { .. } | ToMember::Membership { .. } => {}
            // A late message of an earlier process made the service replace this one. It keeps what it has
            // applied and continues under a new incarnation, which has to receive the rest first.
            ToMember::Replaced => {
                if self.is_ready() {
                    self.past = Past::Applied(self.position.number);
                }
                self.incarnation += 1;
                self.position.number = 0;
                self.synced_upto = None;
            }
            ToMember::Snapshot { term, after, upto, forgotten_ms, fenced, items } => {
                if term < self.position.term {
                    return Err(SourceError::StaleTerm);
                }
                // Some of the items up to `after`, which are not sent, may have been evicted, and may have
                // purged any copy of that age. A member without copies has nothing to drop.
                let is_current = match self.past {
                    Past::Cold => true,
                    Past::Applied(number) => (after..=upto).contains(&number),
                };
                if forgotten_ms > 0 && !is_current {
                    let at = Moment::at_micros(forgotten_ms.saturating_mul(1_000));
                    actions.push(Action::Purge { scope: CompiledScope::Everything, at });
                }
                let before = std::mem::take(&mut self.fenced);
                self.position = LogPosition { term, number: after };
                for item in &items {
                    if self.position.advance(term, item.number) == Delivery::Gap {
                        return Err(SourceError::Gap);
                    }
                    self.apply(item, &mut actions);
                }
                self.fenced.extend(fenced);
                changed = self.fenced != before;
                self.synced_upto = Some(upto);
            }
        }
        if changed {
            actions.push(Action::SetFenced(self.fenced.clone()));
        }
        Ok(actions)
    }

    /// Applies an item. Returns whether the set of fenced members has changed.
    fn apply(&mut self, item: &Item, actions: &mut Vec<Action>) -> bool {
        if let Payload::Purge { scope, .. } = &item.payload {
            // A scope that this version does not know is taken to cover everything.
            let scope = scope.compile().unwrap_or(CompiledScope::Everything);
            actions.push(Action::Purge { scope, at: Moment::at_micros(item.at_ms.saturating_mul(1_000)) });
        }
        item.payload.apply_to_fenced(&mut self.fenced)
    }
}
