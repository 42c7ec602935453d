//! Which copies are on disk and which are evicted when the store is full: the lowest rank first, and within a rank the least
//! recently used. So the copies that survive a power loss are those that a router's gap test would keep.
use std::collections::{BTreeMap, HashMap};

/// An object id and the number of one of its parts.
pub type CopyKey = (u64, u32);

/// Metadata of a copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyMetadata {
    pub key: CopyKey,
    pub digest: Vec<u8>,
    /// When the archive served it, Unix microseconds.
    pub dated_us: u64,
    pub group: Option<u32>,
    pub rank: u8,
}

/// Where the body of a copy is stored, and its checksum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    pub file: u64,
    pub offset: u64,
    pub length: u32,
    pub checksum: u128,
}

#[derive(Clone, Debug)]
struct Entry {
    metadata: CopyMetadata,
    location: Location,
    last_used: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
/// Bytes written to a body file, and those of copies that are still indexed.
struct FileUsage {
    written: u64,
    live: u64,
}

/// Index of all copies, with eviction order and the usage of body files.
#[derive(Clone, Debug)]
pub struct CopyIndex {
    capacity: u64,
    live_bytes: u64,
    entries: HashMap<CopyKey, Entry>,
    /// Keys by rank and last use: the first is evicted first.
    eviction_order: BTreeMap<(u8, u64), CopyKey>,
    files: BTreeMap<u64, FileUsage>,
    /// Counts uses, as a logical clock.
    uses: u64,
}

/// Bytes that a copy takes on disk beside its body.
pub const COPY_OVERHEAD: u64 = 128;
/// Share of the capacity that bytes of removed copies may take before a file is compacted.
const MAX_GARBAGE_SHARE: f64 = 0.35;

impl CopyIndex {
    /// Creates an empty index. `capacity`: total bytes of all copies, with their overhead.
    pub fn new(capacity: u64) -> CopyIndex {
        CopyIndex {
            capacity,
            live_bytes: 0,
            entries: HashMap::new(),
            eviction_order: BTreeMap::new(),
            files: BTreeMap::new(),
            uses: 0,
        }
    }

    /// Number of copies.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no copies.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of all copies, with their overhead.
    pub fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    /// Records that bytes were appended to a file.
    pub fn file_grew(&mut self, file: u64, bytes: u64) {
        self.files.entry(file).or_default().written += bytes;
    }

    /// The copies to evict so that one of this rank and length fits; none if it does not fit.
    pub fn evictions_for(&self, key: CopyKey, rank: u8, length: u32) -> Option<Vec<CopyKey>> {
        let size = u64::from(length) + COPY_OVERHEAD;
        let replaced = self.entries.get(&key).map_or(0, |entry| disk_bytes(&entry.location));
        let mut excess = (self.live_bytes - replaced + size).saturating_sub(self.capacity);
        let mut evicted = Vec::new();
        for ((other_rank, _), other) in &self.eviction_order {
            if excess == 0 || *other_rank > rank {
                break;
            }
            if *other != key {
                excess = excess.saturating_sub(disk_bytes(&self.entries[other].location));
                evicted.push(*other);
            }
        }
        (excess == 0).then_some(evicted)
    }

    /// Adds a copy, and replaces any other with its key.
    pub fn insert(&mut self, metadata: CopyMetadata, location: Location) {
        self.remove(metadata.key);
        self.uses += 1;
        self.live_bytes += disk_bytes(&location);
        self.files.entry(location.file).or_default().live += u64::from(location.length);
        self.eviction_order.insert((metadata.rank, self.uses), metadata.key);
        self.entries.insert(metadata.key, Entry { metadata, location, last_used: self.uses });
    }

    /// Removes a copy; false if there was none.
    pub fn remove(&mut self, key: CopyKey) -> bool {
        let Some(entry) = self.entries.remove(&key) else { return false };
        self.eviction_order.remove(&(entry.metadata.rank, entry.last_used));
        self.live_bytes -= disk_bytes(&entry.location);
        if let Some(file) = self.files.get_mut(&entry.location.file) {
            file.live = file.live.saturating_sub(u64::from(entry.location.length));
        }
        true
    }

    /// Marks a copy as used: it is evicted after the others of its rank.
    pub fn touch(&mut self, key: CopyKey) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        self.eviction_order.remove(&(entry.metadata.rank, entry.last_used));
        self.uses += 1;
        entry.last_used = self.uses;
        self.eviction_order.insert((entry.metadata.rank, entry.last_used), key);
    }

    /// Looks a copy up.
    pub fn get(&self, key: CopyKey) -> Option<(&CopyMetadata, &Location)> {
        self.entries.get(&key).map(|entry| (&entry.metadata, &entry.location))
    }

    /// All copies; the one that is evicted first comes first.
    pub fn in_eviction_order(&self) -> impl Iterator<Item = (&CopyMetadata, &Location)> {
        self.eviction_order.values().filter_map(|key| self.get(*key))
    }

    /// The file to compact, if any: the one with the lowest share of live bytes. `open` is the file that is still being
    /// written.
    pub fn file_to_rewrite(&self, open: u64) -> Option<u64> {
        let written: u64 = self.files.values().map(|file| file.written).sum();
        let live: u64 = self.files.values().map(|file| file.live).sum();
        let garbage = written.saturating_sub(live) as f64;
        if garbage <= self.capacity as f64 * MAX_GARBAGE_SHARE {
            return None;
        }
        let closed = self.files.iter().filter(|(number, file)| **number != open && file.written > 0);
        let share = |file: &FileUsage| file.live as f64 / file.written as f64;
        closed.min_by(|a, b| share(a.1).total_cmp(&share(b.1))).map(|(number, _)| *number)
    }

    /// Keys of the copies in a file, sorted.
    pub fn keys_in_file(&self, file: u64) -> Vec<CopyKey> {
        let mut keys: Vec<CopyKey> = self
            .entries
            .values()
            .filter(|entry| entry.location.file == file)
            .map(|entry| entry.metadata.key)
            .collect();
        keys.sort_unstable();
        keys
    }

    /// Files without live bytes, except the one that is still being written.
    pub fn dead_files(&self, open: u64) -> Vec<u64> {
        let dead = |(number, file): &(&u64, &FileUsage)| **number != open && file.live == 0;
        self.files.iter().filter(dead).map(|(number, _)| *number).collect()
    }

    /// Drops the usage of a removed file.
    pub fn forget_file(&mut self, file: u64) {
        self.files.remove(&file);
    }
}

fn disk_bytes(location: &Location) -> u64 {
    u64::from(location.length) + COPY_OVERHEAD
}
