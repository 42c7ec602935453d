//! A member's side: what it has, what it says, and what it makes of what it is told.
use crate::messages::{Ack, Past, ToMember};
use crate::scope::CompiledScope;
use crate::sequencer::{Delivery, Item, LogPosition, Payload};
use harestage::time::Moment;
use std::collections::BTreeSet;

/// What follows for whoever keeps copies.
#[derive(Clone, Debug)]
pub enum Action {
    /// Copies of this that the archive gave out up to then are old.
    Purge { scope: CompiledScope, at: Moment },
    /// From whom nothing is to be taken from now on: this list and nobody else.
    SetFenced(BTreeSet<String>),
}

/// One process of a member.
pub struct Follower {
    name: String,
    incarnation: u64,
    position: LogPosition,
    /// It knows all that lives once it has all up to there; none: it was not told where that is.
    knows_at: Option<u64>,
    fenced: BTreeSet<String>,
    past: Past,
}

/// A teller that was replaced by another, or that leaves something out: its connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceError {
    StaleTerm,
    Gap,
}

impl Follower {
    /// `start`: a number that no other start of this member has.
    pub fn new(name: &str, incarnation: u64) -> Follower {
        Follower {
            name: name.into(),
            incarnation,
            position: LogPosition::default(),
            knows_at: None,
            fenced: BTreeSet::new(),
            past: Past::default(),
        }
    }

    /// One that has kept something from before, or has nothing at all. What it had not applied is told like everything
    /// new; and what was forgotten meanwhile may be no news to it.
    pub fn with_past(self, past: Past) -> Follower {
        Follower { past, ..self }
    }

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

    /// Nothing may be taken from anyone, nor given, before all that lives is known.
    pub fn is_ready(&self) -> bool {
        self.knows_at.is_some_and(|upto| self.position.number >= upto)
    }

    pub fn handle(&mut self, told: ToMember) -> Result<Vec<Action>, SourceError> {
        let mut acts = Vec::new();
        // Many may be fenced, and lines are many: the list goes out only where it is another one.
        let mut changed = false;
        match told {
            ToMember::Items { term, items } => {
                for item in items {
                    match self.position.advance(term, item.number) {
                        Delivery::Next => changed |= self.take(&item, &mut acts),
                        Delivery::Duplicate => {}
                        Delivery::Gap => return Err(SourceError::Gap),
                        Delivery::StaleTerm => return Err(SourceError::StaleTerm),
                    }
                }
            }
            // They tell nothing of purges: the first leads elsewhere, the other is for gatherers.
            ToMember::NotLeader { .. } | ToMember::Membership { .. } => {}
            // Somebody spoke late of a process before it. It keeps what it has, and is nobody until it was told the rest.
            ToMember::Replaced => {
                if self.is_ready() {
                    self.past = Past::Applied(self.position.number);
                }
                self.incarnation += 1;
                self.position.number = 0;
                self.knows_at = None;
            }
            ToMember::Snapshot { term, after, upto, forgotten_ms, fenced, items } => {
                if term < self.position.term {
                    return Err(SourceError::StaleTerm);
                }
                // Of what is not told, up to `after`, a part may be forgotten: it may have meant anything that is as old.
                // One that keeps nothing has nothing to drop.
                let knows = match self.past {
                    Past::Cold => true,
                    Past::Applied(number) => (after..=upto).contains(&number),
                };
                if forgotten_ms > 0 && !knows {
                    let at = Moment::at_micros(forgotten_ms.saturating_mul(1_000));
                    acts.push(Action::Purge { scope: CompiledScope::Everything, at });
                }
                let before = std::mem::take(&mut self.fenced);
                self.position = LogPosition { term, number: after };
                for item in &items {
                    if self.position.advance(term, item.number) == Delivery::Gap {
                        return Err(SourceError::Gap);
                    }
                    self.take(item, &mut acts);
                }
                self.fenced.extend(fenced);
                changed = self.fenced != before;
                self.knows_at = Some(upto);
            }
        }
        if changed {
            acts.push(Action::SetFenced(self.fenced.clone()));
        }
        Ok(acts)
    }

    /// Whether it changes from whom nothing is taken.
    fn take(&mut self, item: &Item, acts: &mut Vec<Action>) -> bool {
        if let Payload::Purge { scope, .. } = &item.payload {
            // A scope of a form that this program does not know covers everything, as far as it knows.
            let scope = scope.compile().unwrap_or(CompiledScope::Everything);
            acts.push(Action::Purge { scope, at: Moment::at_micros(item.at_ms.saturating_mul(1_000)) });
        }
        item.payload.apply_to_fenced(&mut self.fenced)
    }
}
