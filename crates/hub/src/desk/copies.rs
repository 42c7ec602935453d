//! What a hub keeps, in memory and on its disk, and what purges take from it.
use super::{Desk, Order};
use crate::store::{self, Copy, Named, Store};
use harestage::time::{Moment, Span};
use harestage_copies::index::CopyMetadata;
use harestage_copies::record::Checkpoint;
use harestage_purge::scope::CompiledScope;
use harestage_shape::wait_cycles::Key;
use std::collections::HashMap;

/// A clock that is off by less counts as right.
const SKEWED: Span = Span::millis(2_000);
/// What is remembered beside copies is written down so often, where nothing else changes.
const MARKS_EVERY_MS: u64 = 1_000;

/// What its disk holds.
struct OnDisk {
    /// Whatever the disk may have is listed: purges take from the disk what they find here.
    kept: HashMap<Key, CopyMetadata>,
    /// What was remembered beside the copies last.
    marks: Checkpoint,
}

pub(super) struct Copies {
    store: Store,
    disk: Option<OnDisk>,
    /// How far the archive's time is behind this hub's, once a fetch has shown it; and until then whether the clock of this
    /// start can be doubted.
    skew: Option<i64>,
}

impl Copies {
    pub fn new(store_bytes: usize) -> Copies {
        Copies { store: Store::new(store_bytes), disk: None, skew: None }
    }

    /// It has a disk, which held these. How many.
    pub fn have_disk(&mut self, metas: Vec<CopyMetadata>, marks: Checkpoint) -> usize {
        let kept: HashMap<Key, CopyMetadata> = metas.into_iter().map(|meta| (meta.key, meta)).collect();
        let copies = kept.len();
        self.disk = Some(OnDisk { kept, marks });
        copies
    }

    pub fn has_disk(&self) -> bool {
        self.disk.is_some()
    }

    fn meta(&self, key: Key) -> Option<&CopyMetadata> {
        self.disk.as_ref()?.kept.get(&key)
    }

    /// What is in memory and no older than that.
    pub fn good(&mut self, key: Key, oldest: Option<Span>, now: Moment) -> Option<Copy> {
        let now = self.by_archive(now);
        let copy = self.store.get(key)?;
        let good = oldest.is_none_or(|oldest| now.since(copy.dated) <= oldest);
        good.then(|| copy.clone())
    }

    /// The moment by the archive's time, by which copies are dated, as far as a fetch has shown it.
    fn by_archive(&self, now: Moment) -> Moment {
        let skew = self.skew.filter(|skew| skew.abs() > SKEWED.as_micros() as i64).unwrap_or(0);
        Moment::at_micros(now.micros().saturating_add_signed(-skew))
    }

    /// A fetch is dated when it is given out: what this clock says beside that is how far it is off.
    pub fn was_fetched(&mut self, dated: Moment, now: Moment) {
        self.skew = Some(now.micros() as i64 - dated.micros() as i64);
    }

    /// Whether its disk has a copy that is no older than that. Until a fetch has shown the archive's time, age can't be told.
    pub fn on_disk(&self, key: Key, oldest: Option<Span>, now: Moment) -> bool {
        let Some(meta) = self.meta(key) else { return false };
        let dated = Moment::at_micros(meta.dated_us);
        let young = |oldest| self.skew.is_some() && self.by_archive(now).since(dated) <= oldest;
        oldest.is_none_or(young) && self.store.allows(key, meta.group, dated)
    }

    /// Its disk does not have it. A younger copy may wait for the disk meanwhile, and goes, too: what is not listed here must
    /// not be on disk, since no purge would name it.
    pub fn not_on_disk(&mut self, key: Key) -> Option<Order> {
        self.disk.as_mut()?.kept.remove(&key);
        Some(Order::Unkeep { keys: vec![key] })
    }

    /// A copy from the disk that may still go out.
    pub fn is_still_good(&self, key: Key, copy: &Copy) -> bool {
        self.meta(key).is_some() && self.store.is_good(key, copy)
    }

    pub fn is_good(&self, key: Key, copy: &Copy) -> bool {
        self.store.is_good(key, copy)
    }

    pub fn purged_at(&self, object: u64) -> Moment {
        self.store.purged_at(object)
    }

    pub fn put(&mut self, key: Key, copy: Copy, rank: u8) {
        self.store.put(key, copy, rank);
    }

    /// Keeps it on disk, too, if there is one that lacks it.
    pub fn keep(&mut self, key: Key, copy: &Copy, rank: u8) -> Option<Order> {
        let disk = self.disk.as_mut().filter(|_| rank > 0)?;
        let (digest, dated_us, group) = (copy.digest.to_vec(), copy.dated.micros(), copy.group);
        let meta = CopyMetadata { key, digest, dated_us, group, rank };
        let has = |kept: &CopyMetadata| kept.digest == meta.digest && kept.dated_us >= meta.dated_us;
        if disk.kept.get(&key).is_some_and(has) {
            return None;
        }
        disk.kept.insert(key, meta.clone());
        Some(Order::Keep { meta, body: copy.body.clone() })
    }

    pub fn purge(&mut self, named: Named, at: Moment, now: Moment) -> Option<Order> {
        self.store.purge(named, at, now);
        self.unkeep(at, |meta| match named {
            Named::Object(object) => meta.key.0 == object,
            Named::Group(group) => meta.group.is_none_or(|own| own == group),
        })
    }

    pub fn purge_scope(&mut self, scope: &CompiledScope, at: Moment, now: Moment) -> Option<Order> {
        self.store.purge_scope(scope, at, now);
        self.unkeep(at, |meta| store::covers(scope, meta.key, meta.group))
    }

    /// What is purged goes from the disk, too.
    fn unkeep(&mut self, at: Moment, covered: impl Fn(&CopyMetadata) -> bool) -> Option<Order> {
        let kept = &mut self.disk.as_mut()?.kept;
        let gone = kept.values().filter(|meta| meta.dated_us <= at.micros() && covered(meta));
        let mut keys: Vec<Key> = gone.map(|meta| meta.key).collect();
        keys.sort_unstable();
        keys.iter().for_each(|key| drop(kept.remove(key)));
        (!keys.is_empty()).then_some(Order::Unkeep { keys })
    }

    /// Writes down what is to be remembered beside the copies, where that is due.
    pub fn remember(&mut self, marks: Checkpoint) -> Option<Order> {
        let disk = self.disk.as_mut()?;
        let due = marks.applied_purge != disk.marks.applied_purge
            || marks.latest_clock_ms > disk.marks.latest_clock_ms + MARKS_EVERY_MS;
        if !due {
            return None;
        }
        disk.marks = marks;
        Some(Order::Mark(marks))
    }
}

impl Desk {
    pub fn store(&self) -> &Store {
        &self.copies.store
    }

    /// Copies on its disk.
    pub fn kept(&self) -> usize {
        self.copies.disk.as_ref().map_or(0, |disk| disk.kept.len())
    }

    /// Writes down up to where purges are applied, and how long fills and fetches take, for its next start.
    pub(super) fn remember(&mut self, now: Moment) {
        let (lasted, fetched) = self.gauges.usual();
        let marks = Checkpoint {
            applied_purge: self.has_purges,
            latest_clock_ms: now.micros() / 1_000,
            fill_seconds: lasted,
            fetch_seconds: fetched,
        };
        self.orders.extend(self.copies.remember(marks));
    }
}
