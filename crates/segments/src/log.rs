//! The log: segments of records, and a snapshot that replaces the records before them.
use crate::files::Files;
use std::fmt;
use std::io;

/// Magic bytes at the start of every file; the last byte is the format version.
const SEGMENT_MAGIC: &[u8; 8] = b"HARELOG1";
const SNAPSHOT_MAGIC: &[u8; 8] = b"HARESNP1";
/// Bytes of a segment header: magic, the number of the first record, and a checksum of both.
const SEGMENT_HEADER_BYTES: usize = 20;
/// Bytes of a record header: length, checksum, number.
const RECORD_HEADER_BYTES: usize = 16;
/// Bytes of a snapshot before its checksum: magic and number.
const SNAPSHOT_CHECKSUM_OFFSET: usize = 16;
/// Longest record. A greater length field is treated as damage.
const MAX_RECORD_BYTES: usize = 16 << 20;

/// Why a log can't be opened or written; the message names the file.
#[derive(Debug)]
pub enum LogError {
    /// The operating system reported an error.
    Io { file: String, error: io::Error },
    /// Damaged bytes before the end of the log. Later records may depend on the lost ones, so nothing is skipped.
    Damaged { file: String, at: usize },
    /// A format version that this program does not support.
    UnknownFormat { file: String },
    /// Records before this segment are missing.
    Gap { file: String, expected: u64 },
    /// The record is longer than the format allows.
    TooLong { bytes: usize },
    /// An earlier write or sync failed, so the state of the disk is unknown.
    Failed,
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Io { file, error } => write!(f, "{file}: {error}"),
            Self::Damaged { file, at } => write!(f, "{file}: damaged at byte {at}"),
            Self::UnknownFormat { file } => write!(f, "{file}: unsupported format version"),
            Self::Gap { file, expected } => {
                write!(f, "{file}: record {expected} is missing before this segment")
            }
            Self::TooLong { bytes } => {
                write!(f, "a record of {bytes} bytes exceeds the limit of {MAX_RECORD_BYTES}")
            }
            Self::Failed => write!(f, "an earlier write failed; the log has to be reopened"),
        }
    }
}

impl std::error::Error for LogError {}

/// A record or snapshot with its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    pub number: u64,
    pub bytes: Vec<u8>,
}

/// The contents of a log when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Replaces all records up to its number.
    pub snapshot: Option<LogRecord>,
    /// The records after the snapshot.
    pub records: Vec<LogRecord>,
    /// Bytes of an incomplete last record that were removed.
    pub truncated_bytes: usize,
}

/// A write-ahead log over a folder of files.
pub struct Log<F> {
    files: F,
    segment_bytes: usize,
    /// The segment being written, its first record number, and its length in bytes.
    segment: String,
    first: u64,
    length: usize,
    next_number: u64,
    /// All records before this number are durable.
    synced: u64,
    /// Appended records that are not written yet.
    buffer: Vec<u8>,
    failed: bool,
}

fn segment_name(first: u64) -> String {
    format!("log-{first:016x}")
}

fn snapshot_name(upto: u64) -> String {
    format!("snap-{upto:016x}")
}

fn io_error_for(file: &str) -> impl Fn(io::Error) -> LogError + '_ {
    move |error| LogError::Io { file: file.into(), error }
}

impl<F: Files> Log<F> {
    /// Opens a log, or creates one. A segment that has reached `segment_bytes` is followed by a new one.
    pub fn open(mut files: F, segment_bytes: usize) -> Result<(Log<F>, Recovered), LogError> {
        let mut names = files.list().map_err(io_error_for("folder"))?;
        names.sort();
        // A snapshot that was being written when the process crashed has only its temporary name and was never
        // acknowledged.
        for name in names.iter().filter(|name| name.ends_with(".new")) {
            files.remove(name).map_err(io_error_for(name))?;
        }
        let snapshot = newest_snapshot(&files, &names)?;
        let after = snapshot.as_ref().map_or(0, |snapshot| snapshot.number);
        let segments: Vec<&String> = names.iter().filter(|name| name.starts_with("log-")).collect();
        let (mut records, mut next, mut truncated_bytes) = (Vec::new(), None, 0);
        for (at, name) in segments.iter().enumerate() {
            let bytes = files.read(name).map_err(io_error_for(name))?;
            let last = at + 1 == segments.len();
            let segment = read_segment(name, &bytes, last)?;
            let Some(first) = segment.first else {
                // The header is incomplete on disk, so no record in this segment was durable.
                files.remove(name).map_err(io_error_for(name))?;
                continue;
            };
            // After a crash some segments that the snapshot covers may exist again and others not. Only records after
            // the snapshot must not be missing.
            let reached = next.unwrap_or(0).max(after + 1);
            if first > reached || next.is_some_and(|next| first < next) {
                return Err(LogError::Gap { file: name.to_string(), expected: reached });
            }
            if segment.valid_bytes < bytes.len() {
                truncated_bytes = bytes.len() - segment.valid_bytes;
                files.truncate(name, segment.valid_bytes as u64).map_err(io_error_for(name))?;
                files.sync(name).map_err(io_error_for(name))?;
            }
            next = Some(first + segment.records.len() as u64);
            records.extend(segment.records.into_iter().filter(|record| record.number > after));
        }
        let next = next.unwrap_or(after + 1).max(after + 1);
        let mut log = Log {
            files,
            segment_bytes,
            segment: String::new(),
            first: next,
            length: 0,
            next_number: next,
            synced: next,
            buffer: Vec::new(),
            failed: false,
        };
        // Always starts a new segment, so that nothing is appended to one that a crash may have damaged.
        log.begin_segment()?;
        Ok((log, Recovered { snapshot, records, truncated_bytes }))
    }

    fn begin_segment(&mut self) -> Result<(), LogError> {
        let name = segment_name(self.next_number);
        let result = self.create_segment(&name);
        self.failed |= result.is_err();
        result.map_err(io_error_for(&name))?;
        (self.segment, self.first, self.length) = (name, self.next_number, SEGMENT_HEADER_BYTES);
        Ok(())
    }

    fn create_segment(&mut self, name: &str) -> io::Result<()> {
        self.files.create(name)?;
        // A segment of this name holds no record: it was created by an open that was followed by no append.
        self.files.truncate(name, 0)?;
        self.files.append(name, &header(self.next_number))?;
        self.files.sync(name)?;
        self.files.sync_folder()
    }

    /// Buffers a record and returns its number. It is durable only after [`Log::sync`].
    pub fn append(&mut self, bytes: &[u8]) -> Result<u64, LogError> {
        if self.failed {
            return Err(LogError::Failed);
        }
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(LogError::TooLong { bytes: bytes.len() });
        }
        let number = self.next_number;
        self.next_number += 1;
        self.buffer.extend((bytes.len() as u32).to_be_bytes());
        self.buffer.extend(checksum(number, bytes).to_be_bytes());
        self.buffer.extend(number.to_be_bytes());
        self.buffer.extend(bytes);
        Ok(number)
    }

    /// Writes all buffered records to disk with one write and one sync, and returns the last durable number. After an
    /// error none of these records may be acknowledged.
    pub fn sync(&mut self) -> Result<u64, LogError> {
        if self.failed {
            return Err(LogError::Failed);
        }
        if self.buffer.is_empty() {
            return Ok(self.next_number - 1);
        }
        let buffer = std::mem::take(&mut self.buffer);
        let written = self.files.append(&self.segment, &buffer).and_then(|()| self.files.sync(&self.segment));
        if let Err(error) = written {
            self.failed = true;
            return Err(LogError::Io { file: self.segment.clone(), error });
        }
        self.length += buffer.len();
        self.synced = self.next_number;
        if self.length >= self.segment_bytes {
            self.begin_segment()?;
        }
        Ok(self.synced - 1)
    }

    /// Replaces all records up to the last durable one by a snapshot and removes the files that it covers.
    pub fn snapshot(&mut self, bytes: &[u8]) -> Result<u64, LogError> {
        self.sync()?;
        let upto = self.synced - 1;
        let (name, temporary) = (snapshot_name(upto), format!("{}.new", snapshot_name(upto)));
        let result = self.write_snapshot(&temporary, &name, upto, bytes);
        self.failed |= result.is_err();
        result.map_err(io_error_for(&name))?;
        self.begin_segment()?;
        let removed = self.remove_covered(upto);
        self.failed |= removed.is_err();
        removed.map_err(io_error_for("folder"))?;
        Ok(upto)
    }

    fn write_snapshot(&mut self, temporary: &str, name: &str, upto: u64, bytes: &[u8]) -> io::Result<()> {
        self.files.create(temporary)?;
        self.files.truncate(temporary, 0)?;
        let sum = checksum(upto, bytes).to_be_bytes();
        let contents = [&SNAPSHOT_MAGIC[..], &upto.to_be_bytes(), &sum, bytes].concat();
        self.files.append(temporary, &contents)?;
        self.files.sync(temporary)?;
        self.files.rename(temporary, name)?;
        self.files.sync_folder()
    }

    /// Called only after the rename of the snapshot is durable: a crash in between leaves superfluous files, but never
    /// too few.
    fn remove_covered(&mut self, upto: u64) -> io::Result<()> {
        let (current, snapshot) = (self.segment.clone(), snapshot_name(upto));
        for name in self.files.list()? {
            let covered =
                name.starts_with("log-") && name < current || name.starts_with("snap-") && name < snapshot;
            if covered {
                self.files.remove(&name)?;
            }
        }
        self.files.sync_folder()
    }

    /// The number of the next appended record.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// The number of the last durable record.
    pub fn last_synced(&self) -> u64 {
        self.synced - 1
    }

    /// Returns the underlying files.
    pub fn into_files(self) -> F {
        self.files
    }
}

fn header(first: u64) -> Vec<u8> {
    let sum = checksum(first, SEGMENT_MAGIC).to_be_bytes();
    [&SEGMENT_MAGIC[..], &first.to_be_bytes(), &sum].concat()
}

fn checksum(number: u64, bytes: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&number.to_be_bytes());
    sum.update(&(bytes.len() as u32).to_be_bytes());
    sum.update(bytes);
    sum.finalize()
}

fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_be_bytes(bytes.get(at..at + 8)?.try_into().ok()?))
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

/// Reads the newest snapshot. It was renamed to its final name only after it was synced, and the records that it covers
/// may be removed already, so an unreadable one is damage.
fn newest_snapshot<F: Files>(files: &F, names: &[String]) -> Result<Option<LogRecord>, LogError> {
    let is_snapshot = |name: &&String| name.starts_with("snap-") && !name.ends_with(".new");
    let Some(name) = names.iter().rev().find(is_snapshot) else { return Ok(None) };
    let bytes = files.read(name).map_err(io_error_for(name))?;
    if bytes.starts_with(&SNAPSHOT_MAGIC[..7]) && !bytes.starts_with(SNAPSHOT_MAGIC) {
        return Err(LogError::UnknownFormat { file: name.clone() });
    }
    let header_fields = u64_at(&bytes, 8)
        .zip(u32_at(&bytes, SNAPSHOT_CHECKSUM_OFFSET))
        .filter(|_| bytes.starts_with(SNAPSHOT_MAGIC));
    let body = bytes.get(SNAPSHOT_CHECKSUM_OFFSET + 4..).unwrap_or_default();
    match header_fields.filter(|(upto, sum)| checksum(*upto, body) == *sum) {
        Some((number, _)) => Ok(Some(LogRecord { number, bytes: body.to_vec() })),
        None => Err(LogError::Damaged { file: name.clone(), at: 0 }),
    }
}

struct ReadSegment {
    /// Number of the first record; none if the header is incomplete.
    first: Option<u64>,
    records: Vec<LogRecord>,
    /// Length of the valid beginning, in bytes.
    valid_bytes: usize,
}

fn read_segment(name: &str, bytes: &[u8], last: bool) -> Result<ReadSegment, LogError> {
    if bytes.len() >= SEGMENT_HEADER_BYTES
        && bytes.starts_with(&SEGMENT_MAGIC[..7])
        && !bytes.starts_with(SEGMENT_MAGIC)
    {
        return Err(LogError::UnknownFormat { file: name.into() });
    }
    let intact_header = u64_at(bytes, 8).filter(|first| bytes.starts_with(&header(*first)));
    let Some(first) = intact_header else {
        // A header is synced before any record is written, so only the last segment can have an incomplete one.
        let begun = last && bytes.len() <= SEGMENT_HEADER_BYTES;
        let none = ReadSegment { first: None, records: Vec::new(), valid_bytes: 0 };
        return if begun { Ok(none) } else { Err(LogError::Damaged { file: name.into(), at: 0 }) };
    };
    let (mut records, mut at) = (Vec::new(), SEGMENT_HEADER_BYTES);
    while let Some(record) = read_record(bytes, at, first + records.len() as u64) {
        at += RECORD_HEADER_BYTES + record.bytes.len();
        records.push(record);
    }
    // Unreadable bytes are either an incomplete last write or damage; in the second case a valid record follows.
    let damaged =
        at < bytes.len() && (!last || valid_record_follows(bytes, at, first + records.len() as u64));
    if damaged {
        return Err(LogError::Damaged { file: name.into(), at });
    }
    Ok(ReadSegment { first: Some(first), records, valid_bytes: at })
}

fn read_record(bytes: &[u8], at: usize, number: u64) -> Option<LogRecord> {
    let length = u32_at(bytes, at)? as usize;
    let sum = u32_at(bytes, at + 4)?;
    let found = u64_at(bytes, at + 8)?;
    let body = bytes.get(at + RECORD_HEADER_BYTES..(at + RECORD_HEADER_BYTES).checked_add(length)?)?;
    (length <= MAX_RECORD_BYTES && found == number && checksum(number, body) == sum)
        .then(|| LogRecord { number, bytes: body.to_vec() })
}

/// Whether a valid record with a later number follows. Records of one write may reach the disk in any order, so only a
/// record that was written after another sync proves damage. This relies on syncs of at most [`MAX_RECORDS_PER_SYNC`]
/// records.
fn valid_record_follows(bytes: &[u8], at: usize, number: u64) -> bool {
    let wanted = number + MAX_RECORDS_PER_SYNC..number + MAX_RECORDS_PER_SYNC * 64;
    (at + 1..bytes.len().saturating_sub(RECORD_HEADER_BYTES)).any(|from| {
        u64_at(bytes, from + 8).is_some_and(|n| wanted.contains(&n) && read_record(bytes, from, n).is_some())
    })
}

/// Most records that one sync writes, used to tell an incomplete write from damage.
const MAX_RECORDS_PER_SYNC: u64 = 4_096;
