//! Copies in memory, bounded by bytes. What was ranked lowest goes first, then what was used longest ago; nothing is
//! dropped for a copy of lower rank. A purge drops at once what it names, and is remembered for as long as an older
//! copy may still be on its way.
use bytes::Bytes;
use harestage::time::{Moment, Span};
use harestage_purge::index::Index;
use harestage_purge::scope::{CompiledScope, CopyAttributes};
use harestage_shape::wait_cycles::Key;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::RangeInclusive;

/// Ranks that are kept: 1 to 3.
pub const HIGHEST_RANK: u8 = 3;
/// What a copy costs beside its bytes.
const OVERHEAD: usize = 256;
/// How long a purge is remembered: longer than any fill lasts that began before it.
const PURGE_KEPT: Span = Span::millis(120_000);
/// Purges remembered one by one. Past it the oldest are folded into one bound for everything, which may refuse a copy
/// that was good, and never takes one that was not.
const MOST_PURGES: usize = 65_536;
/// Scopes of the service of purges that are remembered one by one: a day at 12 a second, and one second more, since whole
/// seconds are dropped: 12 × 86,401 = 1,036,812. Past it the oldest give their places to the narrowest wider scopes, and
/// never to everything while there are any.
pub const MOST_SCOPES: usize = 12 * 86_401;
/// Bytes that they may take. A day by object takes 59 a purge, 61 MB: 32 in the map, 21 in the wheel, and 6 for its part
/// of a second, 72 bytes for 12. The rest is for scopes that take more: a prefix up to 350, a set of two tags 450, a
/// pattern 14 K.
pub const MOST_SCOPE_BYTES: usize = 96 << 20;

#[derive(Clone, Debug, PartialEq)]
pub struct Copy {
    pub digest: Bytes,
    /// When the archive gave it out.
    pub dated: Moment,
    /// None: its group was not told, so that any purge of a group may mean it.
    pub group: Option<u32>,
    pub body: Bytes,
}

struct Kept {
    copy: Copy,
    rank: u8,
    used: u64,
}

pub struct Store {
    bytes: usize,
    room: usize,
    /// In order, so that a purge of an object finds its parts without a walk over all copies.
    kept: BTreeMap<Key, Kept>,
    /// By rank and last use: the first is the next to go.
    order: BTreeMap<(u8, u64), Key>,
    used: u64,
    purges: Purges,
    scopes: Index,
}

#[derive(Default)]
struct Purges {
    objects: HashMap<u64, Moment>,
    groups: HashMap<u32, Moment>,
    by_age: VecDeque<(Moment, Named)>,
    /// For everything.
    floor: Moment,
    /// Of all groups, for copies whose group is not told.
    any_group: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Named {
    Object(u64),
    Group(u32),
}

/// All copies, and those of one object.
const ALL: RangeInclusive<Key> = (0, 0)..=(u64::MAX, u32::MAX);

fn parts(object: u64) -> RangeInclusive<Key> {
    (object, 0)..=(object, u32::MAX)
}

impl Store {
    /// `room` in bytes, bodies and what they cost beside.
    pub fn new(room: usize) -> Store {
        let (kept, order) = (BTreeMap::new(), BTreeMap::new());
        Store {
            bytes: 0,
            room,
            kept,
            order,
            used: 0,
            purges: Purges::default(),
            scopes: Index::new(MOST_SCOPES, PURGE_KEPT).with_max_bytes(MOST_SCOPE_BYTES),
        }
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// About the bytes that purges of the service take, beside the room for copies.
    pub fn scope_bytes(&self) -> usize {
        self.scopes.estimated_bytes()
    }

    pub fn copies(&self) -> usize {
        self.kept.len()
    }

    /// A copy, which counts as used by it.
    pub fn get(&mut self, key: Key) -> Option<&Copy> {
        self.used += 1;
        let kept = self.kept.get_mut(&key)?;
        self.order.remove(&(kept.rank, kept.used));
        kept.used = self.used;
        self.order.insert((kept.rank, kept.used), key);
        Some(&kept.copy)
    }

    pub fn look(&self, key: Key) -> Option<&Copy> {
        self.kept.get(&key).map(|kept| &kept.copy)
    }

    /// Keeps a copy at a rank, and keeps the rank that it has if that is higher. False: there was no room for one of
    /// that rank, or a purge forbids it.
    pub fn put(&mut self, key: Key, copy: Copy, rank: u8) -> bool {
        let size = copy.body.len() + OVERHEAD;
        if rank == 0 || size > self.room || !self.is_good(key, &copy) {
            return false;
        }
        let before = self.kept.get(&key);
        // An older copy that comes late must not take the place of a newer one.
        if before.is_some_and(|kept| kept.copy.dated > copy.dated) {
            return true;
        }
        let rank = before.map_or(rank, |kept| kept.rank.max(rank)).min(HIGHEST_RANK);
        if !self.make_room(key, size, rank) {
            return false;
        }
        self.drop(key);
        self.used += 1;
        self.bytes += size;
        self.order.insert((rank, self.used), key);
        self.kept.insert(key, Kept { copy, rank, used: self.used });
        true
    }

    /// Whether what may be dropped for it is enough; then drops it.
    fn make_room(&mut self, key: Key, size: usize, rank: u8) -> bool {
        let own = self.kept.get(&key).map_or(0, |kept| kept.copy.body.len() + OVERHEAD);
        let mut over = (self.bytes - own + size).saturating_sub(self.room);
        let mut going = Vec::new();
        for ((its, _), other) in &self.order {
            if over == 0 || *its > rank {
                break;
            }
            if *other != key {
                over = over.saturating_sub(self.kept[other].copy.body.len() + OVERHEAD);
                going.push(*other);
            }
        }
        if over == 0 {
            going.into_iter().for_each(|other| self.drop(other));
        }
        over == 0
    }

    pub fn drop(&mut self, key: Key) {
        if let Some(kept) = self.kept.remove(&key) {
            self.order.remove(&(kept.rank, kept.used));
            self.bytes -= kept.copy.body.len() + OVERHEAD;
        }
    }

    /// Drops what a purge names, and takes no older copy from now on.
    pub fn purge(&mut self, named: Named, at: Moment, now: Moment) {
        let floor = self.purges.floor;
        self.purges.enter(named, at);
        self.purges.tidy(now);
        let purges = &self.purges;
        let meant = match named {
            // What was folded away meanwhile may mean any copy.
            Named::Object(object) if purges.floor == floor => parts(object),
            Named::Object(_) | Named::Group(_) => ALL,
        };
        let gone: Vec<Key> = self
            .kept
            .range(meant)
            .filter(|(key, kept)| !purges.allow(key.0, kept.copy.group, kept.copy.dated))
            .map(|(key, _)| *key)
            .collect();
        gone.into_iter().for_each(|key| self.drop(key));
    }

    /// The same for a purge of a wider scope, of the service of purges.
    pub fn purge_scope(&mut self, scope: &CompiledScope, at: Moment, now: Moment) {
        self.scopes.insert(scope, at, now);
        let meant = match scope {
            CompiledScope::Object(object) => parts(*object),
            CompiledScope::Part(object, part) => (*object, *part)..=(*object, *part),
            _ => ALL,
        };
        let gone: Vec<Key> = self
            .kept
            .range(meant)
            .filter(|(key, kept)| {
                kept.copy.dated <= at && scope.covers(&facts(**key, kept.copy.group, &name(key.0)))
            })
            .map(|(key, _)| *key)
            .collect();
        gone.into_iter().for_each(|key| self.drop(key));
    }

    /// No purge that is known forbids this copy.
    pub fn is_good(&self, key: Key, copy: &Copy) -> bool {
        self.allows(key, copy.group, copy.dated)
    }

    /// No purge that is known forbids a copy of that time.
    pub fn allows(&self, key: Key, group: Option<u32>, dated: Moment) -> bool {
        let bound = self.scopes.newest_purge(&facts(key, group, &name(key.0)));
        bound.is_none_or(|bound| dated > bound) && self.purges.allow(key.0, group, dated)
    }

    /// Copies of this object have to be younger than this, as far as is known without their group.
    pub fn purged_at(&self, object: u64) -> Moment {
        let name = name(object);
        // Without group and tags, whatever may cover the object does.
        let facts = CopyAttributes { object, part: 0, group: None, name: Some(&name), tags: None };
        let by_scope = self.scopes.newest_purge(&facts).unwrap_or_default();
        self.purges.objects.get(&object).copied().unwrap_or_default().max(self.purges.floor).max(by_scope)
    }
}

/// The name of an object, for patterns: its sixteen digits.
fn name(object: u64) -> String {
    format!("{object:016x}")
}

/// Tags are not told to hubs: any purge by tags may mean a copy.
fn facts(key: Key, group: Option<u32>, name: &str) -> CopyAttributes<'_> {
    CopyAttributes { object: key.0, part: key.1, group, name: Some(name), tags: None }
}

/// Whether a purge covers a copy of which no more is known.
pub fn covers(scope: &CompiledScope, key: Key, group: Option<u32>) -> bool {
    scope.covers(&facts(key, group, &name(key.0)))
}

impl Purges {
    fn enter(&mut self, named: Named, at: Moment) {
        let known = match named {
            Named::Object(object) => self.objects.entry(object).or_insert(at),
            Named::Group(group) => self.groups.entry(group).or_insert(at),
        };
        *known = at.max(*known);
        if matches!(named, Named::Group(_)) {
            self.any_group = self.any_group.max(at);
        }
        self.by_age.push_back((at, named));
    }

    fn tidy(&mut self, now: Moment) {
        while let Some((at, named)) = self.by_age.front().copied() {
            let crowded = self.by_age.len() > MOST_PURGES;
            if now.since(at) < PURGE_KEPT && !crowded {
                return;
            }
            self.by_age.pop_front();
            if crowded {
                self.floor = self.floor.max(at);
            }
            // A later purge of the same name has a line of its own behind this one.
            match named {
                Named::Object(object) if self.objects.get(&object) == Some(&at) => {
                    self.objects.remove(&object);
                }
                Named::Group(group) if self.groups.get(&group) == Some(&at) => {
                    self.groups.remove(&group);
                }
                _ => {}
            }
        }
    }

    fn allow(&self, object: u64, group: Option<u32>, dated: Moment) -> bool {
        let of_object = self.objects.get(&object).copied().unwrap_or_default();
        let of_group =
            group.map_or(self.any_group, |group| self.groups.get(&group).copied().unwrap_or_default());
        // A copy of the very millisecond of a purge may be from before it.
        let bound = of_object.max(of_group).max(self.floor);
        bound == Moment::default() || dated > bound
    }
}
