//! Which copies are on disk, and which go when there is no more room: the lowest rank first, and of one rank what was used
//! longest ago. So what the gap test of a router would keep is what comes back after a loss of power.
use std::collections::{BTreeMap, HashMap};

/// An object and a part of it.
pub type CopyKey = (u64, u32);

/// What is known of a copy beside its bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyMetadata {
    pub key: CopyKey,
    pub digest: Vec<u8>,
    /// When the archive gave it out, Unix microseconds.
    pub dated_us: u64,
    pub group: Option<u32>,
    pub rank: u8,
}

/// Where its bytes are, and their sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    pub file: u64,
    pub offset: u64,
    pub length: u32,
    pub checksum: u128,
}

#[derive(Clone, Debug)]
struct Held {
    meta: CopyMetadata,
    place: Location,
    used: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct FileUse {
    written: u64,
    live: u64,
}

/// All of it.
#[derive(Clone, Debug)]
pub struct CopyIndex {
    capacity: u64,
    live_bytes: u64,
    held: HashMap<CopyKey, Held>,
    order: BTreeMap<(u8, u64), CopyKey>,
    files: BTreeMap<u64, FileUse>,
    used: u64,
}

/// What a copy costs beside its bytes, on disk.
pub const COPY_OVERHEAD: u64 = 128;
/// Files may hold so much more than what lives in them before one is written anew.
const SLACK: f64 = 0.35;

impl CopyIndex {
    /// `room` in bytes of copies that live.
    pub fn new(room: u64) -> CopyIndex {
        CopyIndex {
            capacity: room,
            live_bytes: 0,
            held: HashMap::new(),
            order: BTreeMap::new(),
            files: BTreeMap::new(),
            used: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    pub fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    /// A file has grown by so much.
    pub fn file_grew(&mut self, file: u64, bytes: u64) {
        self.files.entry(file).or_default().written += bytes;
    }

    /// What has to go so that a copy of this rank and size fits; none: it does not, and nothing goes.
    pub fn evictions_for(&self, key: CopyKey, rank: u8, length: u32) -> Option<Vec<CopyKey>> {
        let size = u64::from(length) + COPY_OVERHEAD;
        let own = self.held.get(&key).map_or(0, |held| cost(&held.place));
        let mut over = (self.live_bytes - own + size).saturating_sub(self.capacity);
        let mut going = Vec::new();
        for ((its, _), other) in &self.order {
            if over == 0 || *its > rank {
                break;
            }
            if *other != key {
                over = over.saturating_sub(cost(&self.held[other].place));
                going.push(*other);
            }
        }
        (over == 0).then_some(going)
    }

    /// Takes a copy in, in place of any other of its key.
    pub fn insert(&mut self, meta: CopyMetadata, place: Location) {
        self.remove(meta.key);
        self.used += 1;
        self.live_bytes += cost(&place);
        self.files.entry(place.file).or_default().live += u64::from(place.length);
        self.order.insert((meta.rank, self.used), meta.key);
        self.held.insert(meta.key, Held { meta, place, used: self.used });
    }

    pub fn remove(&mut self, key: CopyKey) -> bool {
        let Some(held) = self.held.remove(&key) else { return false };
        self.order.remove(&(held.meta.rank, held.used));
        self.live_bytes -= cost(&held.place);
        if let Some(file) = self.files.get_mut(&held.place.file) {
            file.live = file.live.saturating_sub(u64::from(held.place.length));
        }
        true
    }

    /// It was used: it goes later than others of its rank.
    pub fn touch(&mut self, key: CopyKey) {
        let Some(held) = self.held.get_mut(&key) else { return };
        self.order.remove(&(held.meta.rank, held.used));
        self.used += 1;
        held.used = self.used;
        self.order.insert((held.meta.rank, held.used), key);
    }

    pub fn get(&self, key: CopyKey) -> Option<(&CopyMetadata, &Location)> {
        self.held.get(&key).map(|held| (&held.meta, &held.place))
    }

    /// All, those that go first leading.
    pub fn in_eviction_order(&self) -> impl Iterator<Item = (&CopyMetadata, &Location)> {
        self.order.values().filter_map(|key| self.get(*key))
    }

    /// The file that is to be written anew, if there is one: where the least lives of what was written. `open` is the one
    /// that still grows.
    pub fn file_to_rewrite(&self, open: u64) -> Option<u64> {
        let written: u64 = self.files.values().map(|file| file.written).sum();
        let live: u64 = self.files.values().map(|file| file.live).sum();
        let slack = written.saturating_sub(live) as f64;
        if slack <= self.capacity as f64 * SLACK {
            return None;
        }
        let closed = self.files.iter().filter(|(number, file)| **number != open && file.written > 0);
        let share = |file: &FileUse| file.live as f64 / file.written as f64;
        closed.min_by(|a, b| share(a.1).total_cmp(&share(b.1))).map(|(number, _)| *number)
    }

    /// Keys of copies in a file.
    pub fn keys_in_file(&self, file: u64) -> Vec<CopyKey> {
        let mut keys: Vec<CopyKey> =
            self.held.values().filter(|held| held.place.file == file).map(|held| held.meta.key).collect();
        keys.sort_unstable();
        keys
    }

    /// Files in which nothing lives, but for the one that still grows.
    pub fn dead_files(&self, open: u64) -> Vec<u64> {
        let dead = |(number, file): &(&u64, &FileUse)| **number != open && file.live == 0;
        self.files.iter().filter(dead).map(|(number, _)| *number).collect()
    }

    pub fn forget_file(&mut self, file: u64) {
        self.files.remove(&file);
    }
}

fn cost(place: &Location) -> u64 {
    u64::from(place.length) + COPY_OVERHEAD
}
