//! The disk store of a hub's copies, over any implementation of [`Files`]. What is put is durable after the next flush, which
//! syncs bodies before the index: bytes that a power loss has taken are either not indexed or fail their checksum.
use crate::index::{CopyIndex, CopyKey, CopyMetadata, Location};
use crate::record::{Checkpoint, FORMAT_VERSION, Record};
use bytes::Bytes;
use harestage_segments::{Files, Log, LogError};
use std::fmt;
use std::io;

/// A body file that has reached this size is followed by a new one.
const BODY_FILE_BYTES: u64 = 8 << 20;
/// Size of the segments of the index log.
const SEGMENT_BYTES: usize = 4 << 20;
/// A snapshot of the index is due after this many records for each copy since the last one.
const SNAPSHOT_RECORDS_PER_COPY: usize = 2;
/// But never before this many records.
const MIN_SNAPSHOT_RECORDS: usize = 4_096;

/// Why the store can't be opened or written.
#[derive(Debug)]
pub enum CopiesError {
    /// A body file can't be read or written.
    Bodies { file: String, error: io::Error },
    /// The index log can't be read or written.
    Index(LogError),
    /// The index has a format version that this program does not support.
    UnknownFormat(u8),
    /// An earlier write failed. The state of the disk is unknown, so nothing more is stored.
    Failed,
}

impl fmt::Display for CopiesError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Bodies { file, error } => write!(f, "{file}: {error}"),
            Self::Index(error) => write!(f, "index: {error}"),
            Self::UnknownFormat(version) => {
                write!(f, "index: unsupported format version {version}, expected {FORMAT_VERSION}")
            }
            Self::Failed => write!(f, "an earlier write failed"),
        }
    }
}

impl std::error::Error for CopiesError {}

/// What was found when the store was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Recovered {
    pub copies: usize,
    /// Indexed copies whose bytes are missing.
    pub lost: usize,
    pub checkpoint: Checkpoint,
}

/// Bytes written in total, and bytes of copies that were put.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BytesWritten {
    pub total: u64,
    pub copies: u64,
}

/// The store: body files, the index log, and the index in memory.
pub struct DiskStore<F: Files> {
    bodies: F,
    index_log: Log<F>,
    copies: CopyIndex,
    /// The body file being written, its length on disk, and the bytes to append to it.
    file: u64,
    length: u64,
    buffer: Vec<u8>,
    /// Index records to write once the buffer is synced.
    pending: Vec<Record>,
    checkpoint: Checkpoint,
    records_since_snapshot: usize,
    failed: bool,
    written: BytesWritten,
}

fn body_file_name(file: u64) -> String {
    format!("bodies-{file:012}")
}

fn body_file_number(name: &str) -> Option<u64> {
    name.strip_prefix("bodies-")?.parse().ok()
}

fn checksum(body: &[u8]) -> u128 {
    let mut digest = [0; 16];
    digest.copy_from_slice(&blake3::hash(body).as_bytes()[..16]);
    u128::from_le_bytes(digest)
}

impl<F: Files> DiskStore<F> {
    /// Opens the store in two folders. `capacity`: greatest total bytes of copies.
    pub fn open(mut bodies: F, index: F, capacity: u64) -> Result<(DiskStore<F>, Recovered), CopiesError> {
        let (index_log, recovered) = Log::open(index, SEGMENT_BYTES).map_err(CopiesError::Index)?;
        let (mut copies, mut checkpoint) = (CopyIndex::new(capacity), Checkpoint::default());
        let mut apply = |record: Record| match record {
            Record::Put(metadata, location) => copies.insert(metadata, location),
            Record::Removed(key) => {
                copies.remove(key);
            }
            Record::Checkpoint(newer) => checkpoint = newer,
        };
        if let Some(snapshot) = &recovered.snapshot {
            let mut rest = snapshot.bytes.as_slice();
            match rest.split_off_first() {
                Some(&FORMAT_VERSION) | None => {}
                Some(&version) => return Err(CopiesError::UnknownFormat(version)),
            }
            std::iter::from_fn(|| Record::decode(&mut rest)).for_each(&mut apply);
        }
        let records = recovered.records.len();
        for record in &recovered.records {
            let mut rest = record.bytes.as_slice();
            std::iter::from_fn(|| Record::decode(&mut rest)).for_each(&mut apply);
        }
        let body_error = |file: &str| {
            let file = file.to_string();
            move |error| CopiesError::Bodies { file, error }
        };
        let mut newest = 0;
        let names = bodies.list().map_err(body_error("folder"))?;
        let mut lengths = std::collections::BTreeMap::new();
        for name in names.iter().filter(|name| body_file_number(name).is_some()) {
            let number = body_file_number(name).unwrap_or(0);
            newest = newest.max(number);
            lengths.insert(number, bodies.length(name).map_err(body_error(name))?);
        }
        // Only the end of a file can be missing: bytes past it were never synced, or the whole file is missing.
        let missing = |location: &Location| {
            lengths.get(&location.file).copied().unwrap_or(0) < location.offset + u64::from(location.length)
        };
        let lost: Vec<CopyKey> = copies
            .in_eviction_order()
            .filter(|(_, location)| missing(location))
            .map(|(metadata, _)| metadata.key)
            .collect();
        for key in &lost {
            copies.remove(*key);
        }
        lengths.iter().for_each(|(file, bytes)| copies.file_grew(*file, *bytes));
        let file = newest + 1;
        bodies.create(&body_file_name(file)).map_err(body_error(&body_file_name(file)))?;
        bodies.sync_folder().map_err(body_error("folder"))?;
        let found = Recovered { copies: copies.len(), lost: lost.len(), checkpoint };
        let mut store = DiskStore {
            bodies,
            index_log,
            copies,
            file,
            length: 0,
            buffer: Vec::new(),
            pending: lost.into_iter().map(Record::Removed).collect(),
            checkpoint,
            records_since_snapshot: records,
            failed: false,
            written: BytesWritten::default(),
        };
        store.flush()?;
        Ok((store, found))
    }

    /// The index of all copies.
    pub fn copies(&self) -> &CopyIndex {
        &self.copies
    }

    /// The stored state of the hub.
    pub fn checkpoint(&self) -> Checkpoint {
        self.checkpoint
    }

    /// Bytes written since the store was opened.
    pub fn written(&self) -> BytesWritten {
        self.written
    }

    /// Adds a copy; it is durable after the next flush. False if it does not fit because no copies of its rank or lower can
    /// make room. An older copy with its key is removed either way.
    pub fn put(&mut self, metadata: CopyMetadata, body: &[u8]) -> Result<bool, CopiesError> {
        if self.failed {
            return Err(CopiesError::Failed);
        }
        let fits = |length| self.copies.evictions_for(metadata.key, metadata.rank, length);
        let length = u32::try_from(body.len()).ok();
        let Some((length, evicted)) = length.and_then(|length| Some((length, fits(length)?))) else {
            self.remove(metadata.key);
            return Ok(false);
        };
        evicted.into_iter().for_each(|key| self.remove(key));
        self.write(metadata, body);
        self.written.copies += u64::from(length);
        if self.length + self.buffer.len() as u64 >= BODY_FILE_BYTES {
            self.flush()?;
            self.next_file()?;
        }
        Ok(true)
    }

    fn write(&mut self, metadata: CopyMetadata, body: &[u8]) {
        let at = self.length + self.buffer.len() as u64;
        let location =
            Location { file: self.file, offset: at, length: body.len() as u32, checksum: checksum(body) };
        self.buffer.extend_from_slice(body);
        self.copies.file_grew(self.file, body.len() as u64);
        self.copies.insert(metadata.clone(), location);
        self.enqueue(Record::Put(metadata, location));
    }

    /// Removes a copy. After the next flush it is not recovered any more.
    pub fn remove(&mut self, key: CopyKey) {
        if self.copies.remove(key) {
            self.enqueue(Record::Removed(key));
        }
    }

    /// Adds a record to the next flush; there is none once the disk has failed.
    fn enqueue(&mut self, record: Record) {
        if !self.failed {
            self.pending.push(record);
        }
    }

    /// Stores the state of the hub with the next flush.
    pub fn set_checkpoint(&mut self, checkpoint: Checkpoint) {
        if checkpoint != self.checkpoint {
            self.checkpoint = checkpoint;
            self.enqueue(Record::Checkpoint(checkpoint));
        }
    }

    /// Reads a copy and verifies its checksum. A copy that fails it is removed.
    pub fn read_copy(&mut self, key: CopyKey) -> Option<(CopyMetadata, Bytes)> {
        let (metadata, location) =
            self.copies.get(key).map(|(metadata, location)| (metadata.clone(), *location))?;
        let in_buffer = location.file == self.file && location.offset >= self.length;
        let body = match in_buffer {
            true => {
                let from = (location.offset - self.length) as usize;
                self.buffer.get(from..from + location.length as usize).map(<[u8]>::to_vec)
            }
            false => self
                .bodies
                .read_at(&body_file_name(location.file), location.offset, location.length as usize)
                .ok(),
        };
        match body.filter(|body| checksum(body) == location.checksum) {
            Some(body) => {
                self.copies.touch(key);
                Some((metadata, Bytes::from(body)))
            }
            None => {
                self.remove(key);
                None
            }
        }
    }

    /// Makes all earlier changes durable if it returns successfully.
    pub fn flush(&mut self) -> Result<(), CopiesError> {
        if self.failed {
            return Err(CopiesError::Failed);
        }
        let result = self.flush_all();
        self.failed |= result.is_err();
        result
    }

    fn flush_all(&mut self) -> Result<(), CopiesError> {
        let name = body_file_name(self.file);
        let body_error = |error| CopiesError::Bodies { file: name.clone(), error };
        if !self.buffer.is_empty() {
            let buffer = std::mem::take(&mut self.buffer);
            self.bodies.append(&name, &buffer).map_err(body_error)?;
            self.bodies.sync(&name).map_err(body_error)?;
            self.length += buffer.len() as u64;
            self.written.total += buffer.len() as u64;
        }
        if self.pending.is_empty() {
            return Ok(());
        }
        // Several index records share a log record, since each log record carries a header and a checksum.
        for group in self.pending.chunks(64) {
            let mut bytes = Vec::new();
            group.iter().for_each(|record| record.encode(&mut bytes));
            self.written.total += bytes.len() as u64;
            self.index_log.append(&bytes).map_err(CopiesError::Index)?;
        }
        self.records_since_snapshot += self.pending.len();
        self.pending.clear();
        self.index_log.sync().map_err(CopiesError::Index)?;
        if self.records_since_snapshot
            > MIN_SNAPSHOT_RECORDS.max(self.copies.len() * SNAPSHOT_RECORDS_PER_COPY)
        {
            self.snapshot()?;
        }
        Ok(())
    }

    /// Writes a snapshot of the index, in eviction order.
    fn snapshot(&mut self) -> Result<(), CopiesError> {
        let mut bytes = vec![FORMAT_VERSION];
        Record::Checkpoint(self.checkpoint).encode(&mut bytes);
        for (metadata, location) in self.copies.in_eviction_order() {
            Record::Put(metadata.clone(), *location).encode(&mut bytes);
        }
        self.written.total += bytes.len() as u64;
        self.index_log.snapshot(&bytes).map_err(CopiesError::Index)?;
        self.records_since_snapshot = 0;
        Ok(())
    }

    fn next_file(&mut self) -> Result<(), CopiesError> {
        (self.file, self.length) = (self.file + 1, 0);
        let name = body_file_name(self.file);
        let result = self.bodies.create(&name).and_then(|()| self.bodies.sync_folder());
        self.failed |= result.is_err();
        result.map_err(|error| CopiesError::Bodies { file: name, error })
    }

    /// One step of compaction, if there is any: removes a file without live copies, or rewrites the live copies of the file
    /// with the lowest share of them. True if there may be more to do.
    pub fn compact_step(&mut self) -> Result<bool, CopiesError> {
        if let Some(unused) = self.copies.dead_files(self.file).into_iter().next() {
            // The index must not refer to the file any more before it is removed.
            self.flush()?;
            let name = body_file_name(unused);
            match self.bodies.remove(&name) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => {
                    self.failed = true;
                    return Err(CopiesError::Bodies { file: name, error });
                }
                _ => self.copies.forget_file(unused),
            }
            return Ok(true);
        }
        let Some(file) = self.copies.file_to_rewrite(self.file) else { return Ok(false) };
        for key in self.copies.keys_in_file(file) {
            if let Some((metadata, body)) = self.read_copy(key) {
                self.write(metadata, &body);
            }
            if self.length + self.buffer.len() as u64 >= BODY_FILE_BYTES {
                self.flush()?;
                self.next_file()?;
            }
        }
        self.flush()?;
        Ok(true)
    }

    /// For a planned stop: writes a snapshot, so that the next start reads as little as possible.
    pub fn close(&mut self) -> Result<(), CopiesError> {
        self.flush()?;
        self.snapshot()
    }

    /// Returns the two folders as they are, for tests that simulate a power loss.
    pub fn into_files(self) -> (F, F) {
        (self.bodies, self.index_log.into_files())
    }
}
