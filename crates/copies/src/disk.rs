//! Copies on a real disk, or on one of the mind. What is put is kept after the next flush: bodies first, then the index, so
//! that the index never names bytes that a power loss has taken without their sum showing it.
use crate::index::{CopyIndex, CopyKey, CopyMetadata, Location};
use crate::record::{Checkpoint, FORMAT_VERSION, Record};
use bytes::Bytes;
use harestage_segments::{Files, Log, LogError};
use std::fmt;
use std::io;

/// A file of bodies that has grown past it is followed by another.
const FILE_BYTES: u64 = 8 << 20;
const SEGMENT: usize = 4 << 20;
/// Records since the last snapshot, for each copy that is kept, after which the index is written anew.
const STALE: usize = 2;
const LEAST_STALE: usize = 4_096;

#[derive(Debug)]
pub enum CopiesError {
    Bodies {
        file: String,
        error: io::Error,
    },
    Index(LogError),
    /// Of a form that this program does not know.
    UnknownFormat(u8),
    /// An earlier write failed: what is on disk is not known, and nothing more is kept.
    Failed,
}

impl fmt::Display for CopiesError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Bodies { file, error: why } => write!(f, "{file}: {why}"),
            Self::Index(why) => write!(f, "index: {why}"),
            Self::UnknownFormat(form) => {
                write!(f, "index: of form {form}, and {FORMAT_VERSION} is known here")
            }
            Self::Failed => write!(f, "an earlier write failed"),
        }
    }
}

impl std::error::Error for CopiesError {}

/// What a start has found.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Recovered {
    pub copies: usize,
    /// Copies that the index names and whose bytes are not there.
    pub lost: usize,
    pub checkpoint: Checkpoint,
}

/// Bytes that were written, and those of copies among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BytesWritten {
    pub total: u64,
    pub copies: u64,
}

pub struct DiskStore<F: Files> {
    bodies: F,
    index: Log<F>,
    copies: CopyIndex,
    /// The file that grows, its length on disk, and what is to be appended to it.
    file: u64,
    length: u64,
    buffer: Vec<u8>,
    /// What the index is to be told once the buffer is synced.
    pending: Vec<Record>,
    checkpoint: Checkpoint,
    since_snapshot: usize,
    failed: bool,
    written: BytesWritten,
}

fn body_name(file: u64) -> String {
    format!("bodies-{file:012}")
}

fn body_number(name: &str) -> Option<u64> {
    name.strip_prefix("bodies-")?.parse().ok()
}

fn sum(body: &[u8]) -> u128 {
    let mut sum = [0; 16];
    sum.copy_from_slice(&blake3::hash(body).as_bytes()[..16]);
    u128::from_le_bytes(sum)
}

impl<F: Files> DiskStore<F> {
    /// Opens what two folders hold. `room`: bytes of copies that are kept at most.
    pub fn open(mut bodies: F, index: F, room: u64) -> Result<(DiskStore<F>, Recovered), CopiesError> {
        let (index, recovered) = Log::open(index, SEGMENT).map_err(CopiesError::Index)?;
        let (mut shelf, mut marks) = (CopyIndex::new(room), Checkpoint::default());
        let mut take = |record: Record| match record {
            Record::Put(meta, place) => shelf.insert(meta, place),
            Record::Removed(key) => {
                shelf.remove(key);
            }
            Record::Checkpoint(its) => marks = its,
        };
        if let Some(snapshot) = &recovered.snapshot {
            let mut rest = snapshot.bytes.as_slice();
            match rest.split_off_first() {
                Some(&FORMAT_VERSION) | None => {}
                Some(&form) => return Err(CopiesError::UnknownFormat(form)),
            }
            std::iter::from_fn(|| Record::decode(&mut rest)).for_each(&mut take);
        }
        let records = recovered.records.len();
        for kept in &recovered.records {
            let mut rest = kept.bytes.as_slice();
            std::iter::from_fn(|| Record::decode(&mut rest)).for_each(&mut take);
        }
        let of_bodies = |file: &str| {
            let file = file.to_string();
            move |why| CopiesError::Bodies { file, error: why }
        };
        let mut newest = 0;
        let names = bodies.list().map_err(of_bodies("folder"))?;
        let mut lengths = std::collections::BTreeMap::new();
        for name in names.iter().filter(|name| body_number(name).is_some()) {
            let number = body_number(name).unwrap_or(0);
            newest = newest.max(number);
            lengths.insert(number, bodies.length(name).map_err(of_bodies(name))?);
        }
        // Only the end of a file can be missing: what is named past it was never synced, or its file is gone.
        let missing = |place: &Location| {
            lengths.get(&place.file).copied().unwrap_or(0) < place.offset + u64::from(place.length)
        };
        let lost: Vec<CopyKey> =
            shelf.in_eviction_order().filter(|(_, place)| missing(place)).map(|(meta, _)| meta.key).collect();
        for key in &lost {
            shelf.remove(*key);
        }
        lengths.iter().for_each(|(file, bytes)| shelf.file_grew(*file, *bytes));
        let file = newest + 1;
        bodies.create(&body_name(file)).map_err(of_bodies(&body_name(file)))?;
        bodies.sync_folder().map_err(of_bodies("folder"))?;
        let found = Recovered { copies: shelf.len(), lost: lost.len(), checkpoint: marks };
        let mut disk = DiskStore {
            bodies,
            index,
            copies: shelf,
            file,
            length: 0,
            buffer: Vec::new(),
            pending: lost.into_iter().map(Record::Removed).collect(),
            checkpoint: marks,
            since_snapshot: records,
            failed: false,
            written: BytesWritten::default(),
        };
        disk.flush()?;
        Ok((disk, found))
    }

    pub fn copies(&self) -> &CopyIndex {
        &self.copies
    }

    pub fn checkpoint(&self) -> Checkpoint {
        self.checkpoint
    }

    pub fn written(&self) -> BytesWritten {
        self.written
    }

    /// Takes a copy in; it is kept after the next flush. False: there is no room for one of its rank.
    pub fn put(&mut self, meta: CopyMetadata, body: &[u8]) -> Result<bool, CopiesError> {
        let Ok(length) = u32::try_from(body.len()) else { return Ok(false) };
        let Some(going) = self.copies.evictions_for(meta.key, meta.rank, length) else { return Ok(false) };
        going.into_iter().for_each(|key| self.remove(key));
        self.write(meta, body);
        self.written.copies += u64::from(length);
        if self.length + self.buffer.len() as u64 >= FILE_BYTES {
            self.flush()?;
            self.next_file()?;
        }
        Ok(true)
    }

    fn write(&mut self, meta: CopyMetadata, body: &[u8]) {
        let at = self.length + self.buffer.len() as u64;
        let place = Location { file: self.file, offset: at, length: body.len() as u32, checksum: sum(body) };
        self.buffer.extend_from_slice(body);
        self.copies.file_grew(self.file, body.len() as u64);
        self.copies.insert(meta.clone(), place);
        self.pending.push(Record::Put(meta, place));
    }

    /// It goes, and does not come back after the next flush.
    pub fn remove(&mut self, key: CopyKey) {
        if self.copies.remove(key) {
            self.pending.push(Record::Removed(key));
        }
    }

    pub fn set_checkpoint(&mut self, marks: Checkpoint) {
        if marks != self.checkpoint {
            self.checkpoint = marks;
            self.pending.push(Record::Checkpoint(marks));
        }
    }

    /// The bytes of a copy, if they are those that were put. What is not is dropped.
    pub fn read_copy(&mut self, key: CopyKey) -> Option<(CopyMetadata, Bytes)> {
        let (meta, place) = self.copies.get(key).map(|(meta, place)| (meta.clone(), *place))?;
        let in_buffer = place.file == self.file && place.offset >= self.length;
        let body = match in_buffer {
            true => {
                let from = (place.offset - self.length) as usize;
                self.buffer.get(from..from + place.length as usize).map(<[u8]>::to_vec)
            }
            false => self.bodies.read_at(&body_name(place.file), place.offset, place.length as usize).ok(),
        };
        match body.filter(|body| sum(body) == place.checksum) {
            Some(body) => {
                self.copies.touch(key);
                Some((meta, Bytes::from(body)))
            }
            None => {
                self.remove(key);
                None
            }
        }
    }

    /// Everything that was put, removed or marked before is on disk when it returns well.
    pub fn flush(&mut self) -> Result<(), CopiesError> {
        if self.failed {
            return Err(CopiesError::Failed);
        }
        let done = self.flush_all();
        self.failed |= done.is_err();
        done
    }

    fn flush_all(&mut self) -> Result<(), CopiesError> {
        let name = body_name(self.file);
        let of_file = |why| CopiesError::Bodies { file: name.clone(), error: why };
        if !self.buffer.is_empty() {
            let buffer = std::mem::take(&mut self.buffer);
            self.bodies.append(&name, &buffer).map_err(of_file)?;
            self.bodies.sync(&name).map_err(of_file)?;
            self.length += buffer.len() as u64;
            self.written.total += buffer.len() as u64;
        }
        if self.pending.is_empty() {
            return Ok(());
        }
        // Several to a record of the log: each has its own checksum there.
        for group in self.pending.chunks(64) {
            let mut bytes = Vec::new();
            group.iter().for_each(|record| record.encode(&mut bytes));
            self.written.total += bytes.len() as u64;
            self.index.append(&bytes).map_err(CopiesError::Index)?;
        }
        self.since_snapshot += self.pending.len();
        self.pending.clear();
        self.index.sync().map_err(CopiesError::Index)?;
        if self.since_snapshot > LEAST_STALE.max(self.copies.len() * STALE) {
            self.snapshot()?;
        }
        Ok(())
    }

    /// The index written whole, in the order in which copies would go.
    fn snapshot(&mut self) -> Result<(), CopiesError> {
        let mut bytes = vec![FORMAT_VERSION];
        Record::Checkpoint(self.checkpoint).encode(&mut bytes);
        for (meta, place) in self.copies.in_eviction_order() {
            Record::Put(meta.clone(), *place).encode(&mut bytes);
        }
        self.written.total += bytes.len() as u64;
        self.index.snapshot(&bytes).map_err(CopiesError::Index)?;
        self.since_snapshot = 0;
        Ok(())
    }

    fn next_file(&mut self) -> Result<(), CopiesError> {
        (self.file, self.length) = (self.file + 1, 0);
        let name = body_name(self.file);
        let made = self.bodies.create(&name).and_then(|()| self.bodies.sync_folder());
        self.failed |= made.is_err();
        made.map_err(|why| CopiesError::Bodies { file: name, error: why })
    }

    /// One piece of tidying, if there is any: a file in which nothing lives goes, or what lives in the emptiest one is written
    /// anew. True: there may be more.
    pub fn compact_step(&mut self) -> Result<bool, CopiesError> {
        if let Some(dead) = self.copies.dead_files(self.file).into_iter().next() {
            // What the index said of it has to be gone from the index first.
            self.flush()?;
            let name = body_name(dead);
            match self.bodies.remove(&name) {
                Err(why) if why.kind() != io::ErrorKind::NotFound => {
                    self.failed = true;
                    return Err(CopiesError::Bodies { file: name, error: why });
                }
                _ => self.copies.forget_file(dead),
            }
            return Ok(true);
        }
        let Some(worst) = self.copies.file_to_rewrite(self.file) else { return Ok(false) };
        for key in self.copies.keys_in_file(worst) {
            if let Some((meta, body)) = self.read_copy(key) {
                self.write(meta, &body);
            }
            if self.length + self.buffer.len() as u64 >= FILE_BYTES {
                self.flush()?;
                self.next_file()?;
            }
        }
        self.flush()?;
        Ok(true)
    }

    /// For a planned stop: the index whole, so that the next start reads the least.
    pub fn close(&mut self) -> Result<(), CopiesError> {
        self.flush()?;
        self.snapshot()
    }

    /// The two folders, as they are: for tests that take the power away.
    pub fn into_files(self) -> (F, F) {
        (self.bodies, self.index.into_files())
    }
}
