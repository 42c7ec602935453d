//! What each kind of version owes: how long after it is due another one is harmless, late, forbidden. A version that is
//! late does what it did before; a purge that is late serves copies that had to go, so it has less time.
use crate::stamp::Stamp;
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// From due to late, and from due to forbidden.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grace {
    pub late: Span,
    pub forbidden: Span,
}

pub const SHAPE: Grace = Grace { late: Span::millis(1_000), forbidden: Span::millis(4_000) };
pub const PURGE: Grace = Grace { late: Span::millis(500), forbidden: Span::millis(2_000) };
/// Numbers that are remembered with their times, at most.
const MOST: usize = 1_024;

/// A kind of number that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Shape,
    Purge,
}

/// How a stamp stands at a moment, the worse of its two numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    UpToDate,
    Harmless,
    Late,
    Forbidden,
}

/// What is due since when, by the keeper's own clock: nobody else's is asked.
#[derive(Clone, Debug, Default)]
pub struct Owed {
    shapes: BTreeMap<u64, Moment>,
    purges: BTreeMap<u64, Moment>,
}

impl Owed {
    /// A number was published. One that was known already keeps its time, and one that was taken back is owed no more: with
    /// it go all that are greater.
    pub fn published(&mut self, kind: Kind, number: u64, now: Moment) {
        let known = self.of_mut(kind);
        known.entry(number).or_insert(now);
        while known.len() > MOST {
            known.pop_first();
        }
    }

    pub fn withdrawn(&mut self, kind: Kind, number: u64) {
        self.of_mut(kind).remove(&number);
    }

    fn of_mut(&mut self, kind: Kind) -> &mut BTreeMap<u64, Moment> {
        match kind {
            Kind::Shape => &mut self.shapes,
            Kind::Purge => &mut self.purges,
        }
    }

    fn of(&self, kind: Kind) -> (&BTreeMap<u64, Moment>, Grace) {
        match kind {
            Kind::Shape => (&self.shapes, SHAPE),
            Kind::Purge => (&self.purges, PURGE),
        }
    }

    /// The greatest number that is due.
    pub fn newest(&self, kind: Kind) -> u64 {
        self.of(kind).0.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// Since when whoever has only this number lacks something: the time of the first that follows.
    pub fn lacks_since(&self, kind: Kind, has: u64) -> Option<Moment> {
        self.of(kind).0.range(has + 1..).map(|(_, at)| *at).min()
    }

    fn stands(&self, kind: Kind, has: u64, now: Moment) -> Standing {
        let (_, grace) = self.of(kind);
        match self.lacks_since(kind, has).map(|since| now.since(since)) {
            None => Standing::UpToDate,
            Some(lacks) if lacks >= grace.forbidden => Standing::Forbidden,
            Some(lacks) if lacks >= grace.late => Standing::Late,
            Some(_) => Standing::Harmless,
        }
    }

    pub fn standing(&self, stamp: &Stamp, now: Moment) -> Standing {
        let shape = self.stands(Kind::Shape, stamp.shape, now);
        shape.max(self.stands(Kind::Purge, stamp.purge, now))
    }

    /// What whoever has this stamp lacks, the kind that makes it worse first.
    pub fn lacks(&self, stamp: &Stamp, now: Moment) -> Option<(Kind, u64, Moment)> {
        let of = |kind, has| {
            Some((self.stands(kind, has, now), kind, self.newest(kind), self.lacks_since(kind, has)?))
        };
        let both = [of(Kind::Shape, stamp.shape), of(Kind::Purge, stamp.purge)];
        let worse = both.into_iter().flatten().max_by_key(|(standing, ..)| *standing)?;
        Some((worse.1, worse.2, worse.3))
    }

    /// The least numbers that are not forbidden now: what hubs refuse is below them.
    pub fn least(&self, now: Moment) -> (u64, u64) {
        let least = |kind: Kind| {
            let (known, grace) = self.of(kind);
            let old = known.iter().filter(|(_, at)| now.since(**at) >= grace.forbidden);
            old.map(|(number, _)| *number).max().unwrap_or(0)
        };
        (least(Kind::Shape), least(Kind::Purge))
    }
}
