//! What each kind of version owes: how long after it is due another one is harmless, late, forbidden. A version that is
//! late does what it did before; a purge that is late serves copies that had to go, so it has less time.
use crate::stamp::Stamp;
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// From due to late, and from due to forbidden.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grace {
    pub late_after: Span,
    pub forbidden_after: Span,
}

pub const SHAPE_GRACE: Grace =
    Grace { late_after: Span::millis(1_000), forbidden_after: Span::millis(4_000) };
pub const PURGE_GRACE: Grace = Grace { late_after: Span::millis(500), forbidden_after: Span::millis(2_000) };
/// Numbers that are remembered with their times, at most.
const MOST: usize = 1_024;

/// A kind of number that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionKind {
    Shape,
    Purge,
}

/// How a stamp stands at a moment, the worse of its two numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Staleness {
    UpToDate,
    Harmless,
    Late,
    Forbidden,
}

/// What is due since when, by the keeper's own clock: nobody else's is asked.
#[derive(Clone, Debug, Default)]
pub struct Obligations {
    shapes: BTreeMap<u64, Moment>,
    purges: BTreeMap<u64, Moment>,
}

impl Obligations {
    /// A number was published. One that was known already keeps its time, and one that was taken back is owed no more: with
    /// it go all that are greater.
    pub fn publish(&mut self, kind: VersionKind, number: u64, now: Moment) {
        let known = self.of_mut(kind);
        known.entry(number).or_insert(now);
        while known.len() > MOST {
            known.pop_first();
        }
    }

    pub fn withdraw(&mut self, kind: VersionKind, number: u64) {
        self.of_mut(kind).remove(&number);
    }

    fn of_mut(&mut self, kind: VersionKind) -> &mut BTreeMap<u64, Moment> {
        match kind {
            VersionKind::Shape => &mut self.shapes,
            VersionKind::Purge => &mut self.purges,
        }
    }

    fn of(&self, kind: VersionKind) -> (&BTreeMap<u64, Moment>, Grace) {
        match kind {
            VersionKind::Shape => (&self.shapes, SHAPE_GRACE),
            VersionKind::Purge => (&self.purges, PURGE_GRACE),
        }
    }

    /// The greatest number that is due.
    pub fn newest(&self, kind: VersionKind) -> u64 {
        self.of(kind).0.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// Since when whoever has only this number lacks something: the time of the first that follows.
    pub fn behind_since(&self, kind: VersionKind, has: u64) -> Option<Moment> {
        self.of(kind).0.range(has + 1..).map(|(_, at)| *at).min()
    }

    fn stands(&self, kind: VersionKind, has: u64, now: Moment) -> Staleness {
        let (_, grace) = self.of(kind);
        match self.behind_since(kind, has).map(|since| now.since(since)) {
            None => Staleness::UpToDate,
            Some(lacks) if lacks >= grace.forbidden_after => Staleness::Forbidden,
            Some(lacks) if lacks >= grace.late_after => Staleness::Late,
            Some(_) => Staleness::Harmless,
        }
    }

    pub fn staleness(&self, stamp: &Stamp, now: Moment) -> Staleness {
        let shape = self.stands(VersionKind::Shape, stamp.shape, now);
        shape.max(self.stands(VersionKind::Purge, stamp.purge, now))
    }

    /// What whoever has this stamp lacks, the kind that makes it worse first.
    pub fn most_overdue(&self, stamp: &Stamp, now: Moment) -> Option<(VersionKind, u64, Moment)> {
        let of = |kind, has| {
            Some((self.stands(kind, has, now), kind, self.newest(kind), self.behind_since(kind, has)?))
        };
        let both = [of(VersionKind::Shape, stamp.shape), of(VersionKind::Purge, stamp.purge)];
        let worse = both.into_iter().flatten().max_by_key(|(standing, ..)| *standing)?;
        Some((worse.1, worse.2, worse.3))
    }

    /// The least numbers that are not forbidden now: what hubs refuse is below them.
    pub fn min_allowed(&self, now: Moment) -> (u64, u64) {
        let least = |kind: VersionKind| {
            let (known, grace) = self.of(kind);
            let old = known.iter().filter(|(_, at)| now.since(**at) >= grace.forbidden_after);
            old.map(|(number, _)| *number).max().unwrap_or(0)
        };
        (least(VersionKind::Shape), least(VersionKind::Purge))
    }
}
