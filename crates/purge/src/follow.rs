//! A member's side: what it has, what it says, and what it makes of what it is told.
use crate::lines::{Confirm, ToMember};
use crate::order::{Heard, Item, Place, What};
use crate::scope::Checked;
use harestage::time::Moment;
use std::collections::BTreeSet;

/// What follows for whoever keeps copies.
#[derive(Clone, Debug)]
pub enum Act {
    /// Copies of this that the archive gave out up to then are old.
    Purge { scope: Checked, at: Moment },
    /// From whom nothing is to be taken from now on: this list and nobody else.
    Fences(BTreeSet<String>),
}

/// One process of a member.
pub struct Follower {
    name: String,
    start: u64,
    place: Place,
    told_all: bool,
    fenced: BTreeSet<String>,
    /// All purges up to that number were applied before its start to what it still has; 0: it has nothing from before.
    applied: u64,
}

/// A teller that was replaced by another, or that leaves something out: its connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Useless {
    Stale,
    Gap,
}

impl Follower {
    /// `start`: a number that no other start of this member has.
    pub fn new(name: &str, start: u64) -> Follower {
        Follower {
            name: name.into(),
            start,
            place: Place::default(),
            told_all: false,
            fenced: BTreeSet::new(),
            applied: 0,
        }
    }

    /// One that has kept what it had, with all purges up to that number applied to it. It is told all that lives like any
    /// other; only what was forgotten meanwhile may be no news to it.
    pub fn resumed(self, applied: u64) -> Follower {
        Follower { applied, ..self }
    }

    pub fn confirm(&self) -> Confirm {
        let (member, start) = (self.name.clone(), self.start);
        Confirm { member, start, has: self.place.number, told_all: self.told_all }
    }

    /// Nothing may be taken from anyone, nor given, before all that lives is known.
    pub fn is_ready(&self) -> bool {
        self.told_all
    }

    pub fn hear(&mut self, told: ToMember) -> Result<Vec<Act>, Useless> {
        let mut acts = Vec::new();
        let fences = self.fenced.clone();
        match told {
            ToMember::Items { term, items } => {
                for item in items {
                    match self.place.hear(term, item.number) {
                        Heard::Next => self.take(&item, &mut acts),
                        Heard::Again => {}
                        Heard::Gap => return Err(Useless::Gap),
                        Heard::Stale => return Err(Useless::Stale),
                    }
                }
            }
            // It tells nothing of purges: whoever reads the line goes elsewhere.
            ToMember::Elsewhere { .. } => {}
            ToMember::All { term, upto, forgotten_ms, items } => {
                if term < self.place.term {
                    return Err(Useless::Stale);
                }
                // Purges that were forgotten meanwhile may have meant anything that is as old.
                let forgotten = items.first().map_or(upto, |item| item.number.saturating_sub(1));
                if forgotten_ms > 0 && self.applied < forgotten {
                    let at = Moment::at_micros(forgotten_ms.saturating_mul(1_000));
                    acts.push(Act::Purge { scope: Checked::Everything, at });
                }
                self.fenced.clear();
                items.iter().for_each(|item| self.take(item, &mut acts));
                self.place = Place { term, number: upto };
                self.told_all = true;
            }
        }
        if self.fenced != fences {
            acts.push(Act::Fences(self.fenced.clone()));
        }
        Ok(acts)
    }

    fn take(&mut self, item: &Item, acts: &mut Vec<Act>) {
        match &item.what {
            What::Purge { scope, .. } => {
                // A scope of a form that this program does not know covers everything, as far as it knows.
                let scope = scope.checked().unwrap_or(Checked::Everything);
                acts.push(Act::Purge { scope, at: Moment::at_micros(item.at_ms.saturating_mul(1_000)) });
            }
            What::Fenced { member } => drop(self.fenced.insert(member.clone())),
            What::Freed { member } => drop(self.fenced.remove(member)),
        }
    }
}
