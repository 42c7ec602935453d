//! Which versions are due since when, and how stale a stamp is: harmless, late or forbidden, by the time that it has lacked a
//! due version. A process with an old shape goes on as before, while one that lacks a purge serves copies that had to be
//! removed. So purges have shorter limits.
use crate::stamp::Stamp;
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time from when a version is due until a stamp without it is late, and until it is forbidden.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grace {
    pub late_after: Span,
    pub forbidden_after: Span,
}

/// Limits for versions of the shape.
pub const SHAPE_GRACE: Grace =
    Grace { late_after: Span::millis(1_000), forbidden_after: Span::millis(4_000) };
/// Limits for purges.
pub const PURGE_GRACE: Grace = Grace { late_after: Span::millis(500), forbidden_after: Span::millis(2_000) };
/// Most numbers of one kind that are stored with their times.
const MAX_NUMBERS: usize = 1_024;

/// A kind of version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionKind {
    /// A version of the shape.
    Shape,
    /// A purge, by its number in the order of all purges.
    Purge,
}

/// How stale a stamp is at a given time: the worse of its two numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Staleness {
    /// The stamp has all due versions.
    UpToDate,
    /// A version is missing, but for less than the limit for late.
    Harmless,
    /// The member is to be updated by the keeper.
    Late,
    /// The member is to be excluded.
    Forbidden,
}

/// Which numbers are due since when, by the clock of the keeper alone.
#[derive(Clone, Debug, Default)]
pub struct Obligations {
    shapes: BTreeMap<u64, Moment>,
    purges: BTreeMap<u64, Moment>,
}

impl Obligations {
    /// A number was published. One that is known already keeps its time.
    pub fn publish(&mut self, kind: VersionKind, number: u64, now: Moment) {
        let known = self.numbers_mut(kind);
        known.entry(number).or_insert(now);
        while known.len() > MAX_NUMBERS {
            known.pop_first();
        }
    }

    /// A number was withdrawn and is no longer due.
    pub fn withdraw(&mut self, kind: VersionKind, number: u64) {
        self.numbers_mut(kind).remove(&number);
    }

    fn numbers_mut(&mut self, kind: VersionKind) -> &mut BTreeMap<u64, Moment> {
        match kind {
            VersionKind::Shape => &mut self.shapes,
            VersionKind::Purge => &mut self.purges,
        }
    }

    fn numbers_and_grace(&self, kind: VersionKind) -> (&BTreeMap<u64, Moment>, Grace) {
        match kind {
            VersionKind::Shape => (&self.shapes, SHAPE_GRACE),
            VersionKind::Purge => (&self.purges, PURGE_GRACE),
        }
    }

    /// The greatest due number; 0 if there is none.
    pub fn newest(&self, kind: VersionKind) -> u64 {
        self.numbers_and_grace(kind).0.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// Since when a process that has only this number is behind: the earliest time at which a later number was due.
    pub fn behind_since(&self, kind: VersionKind, has: u64) -> Option<Moment> {
        self.numbers_and_grace(kind).0.range(has + 1..).map(|(_, at)| *at).min()
    }

    fn staleness_of(&self, kind: VersionKind, has: u64, now: Moment) -> Staleness {
        let (_, grace) = self.numbers_and_grace(kind);
        match self.behind_since(kind, has).map(|since| now.since(since)) {
            None => Staleness::UpToDate,
            Some(behind) if behind >= grace.forbidden_after => Staleness::Forbidden,
            Some(behind) if behind >= grace.late_after => Staleness::Late,
            Some(_) => Staleness::Harmless,
        }
    }

    /// How stale a stamp is.
    pub fn staleness(&self, stamp: &Stamp, now: Moment) -> Staleness {
        let shape = self.staleness_of(VersionKind::Shape, stamp.shape, now);
        shape.max(self.staleness_of(VersionKind::Purge, stamp.purge, now))
    }

    /// What a process with this stamp lacks: the kind with the worse staleness, its newest number, and since when it is behind.
    pub fn most_overdue(&self, stamp: &Stamp, now: Moment) -> Option<(VersionKind, u64, Moment)> {
        let behind = |kind, has| {
            Some((self.staleness_of(kind, has, now), kind, self.newest(kind), self.behind_since(kind, has)?))
        };
        let both = [behind(VersionKind::Shape, stamp.shape), behind(VersionKind::Purge, stamp.purge)];
        let worst = both.into_iter().flatten().max_by_key(|(staleness, ..)| *staleness)?;
        Some((worst.1, worst.2, worst.3))
    }

    /// The lowest numbers of shape and purge that are not forbidden now. Hubs refuse lower ones of excluded members.
    pub fn min_allowed(&self, now: Moment) -> (u64, u64) {
        let min = |kind: VersionKind| {
            let (known, grace) = self.numbers_and_grace(kind);
            let forbidden = known.iter().filter(|(_, at)| now.since(**at) >= grace.forbidden_after);
            forbidden.map(|(number, _)| *number).max().unwrap_or(0)
        };
        (min(VersionKind::Shape), min(VersionKind::Purge))
    }
}
