//! The log itself: segments of records, and a snapshot of what came before them.
use crate::files::Files;
use std::fmt;
use std::io;

/// The first bytes of every file, the last of them the version of the form.
const SEGMENT: &[u8; 8] = b"HARELOG1";
const SNAPSHOT: &[u8; 8] = b"HARESNP1";
/// Magic, the number of the first record, and a checksum of both.
const HEADER: usize = 20;
/// Length, checksum, number.
const RECORD: usize = 16;
/// Magic and number of a snapshot, before its checksum.
const SNAPSHOT_HEAD: usize = 16;
/// Bytes of a record at most: a length past it is no length.
const LONGEST: usize = 16 << 20;

/// Why a log can't go on; the text names the file.
#[derive(Debug)]
pub enum LogError {
    Io {
        file: String,
        error: io::Error,
    },
    /// What follows the damage may build on what was there.
    Damaged {
        file: String,
        at: usize,
    },
    /// A form that this program does not know.
    UnknownFormat {
        file: String,
    },
    /// A segment is missing before this one.
    Gap {
        file: String,
        expected: u64,
    },
    TooLong {
        bytes: usize,
    },
    /// An earlier write or sync failed: what is on disk is not known.
    Failed,
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Io { file, error: why } => write!(f, "{file}: {why}"),
            Self::Damaged { file, at } => write!(f, "{file}: damaged at byte {at}"),
            Self::UnknownFormat { file } => write!(f, "{file}: of a form that is not known here"),
            Self::Gap { file, expected } => write!(f, "{file}: record {expected} is missing before it"),
            Self::TooLong { bytes } => write!(f, "a record of {bytes} bytes"),
            Self::Failed => write!(f, "an earlier write failed; the log has to be opened anew"),
        }
    }
}

impl std::error::Error for LogError {}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    pub number: u64,
    pub bytes: Vec<u8>,
}

/// What a log held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// It stands for all records up to its number.
    pub snapshot: Option<LogRecord>,
    /// Those after it.
    pub records: Vec<LogRecord>,
    /// Bytes of a last record that was cut off.
    pub truncated_bytes: usize,
}

pub struct Log<F> {
    files: F,
    segment_bytes: usize,
    /// The segment that is written, its first number, and its length.
    segment: String,
    first: u64,
    length: usize,
    next_number: u64,
    /// All before it are kept.
    synced: u64,
    buffer: Vec<u8>,
    failed: bool,
}

fn segment_name(first: u64) -> String {
    format!("log-{first:016x}")
}

fn snapshot_name(upto: u64) -> String {
    format!("snap-{upto:016x}")
}

fn io_of(file: &str) -> impl Fn(io::Error) -> LogError + '_ {
    move |why| LogError::Io { file: file.into(), error: why }
}

impl<F: Files> Log<F> {
    /// Opens a log, or makes one. `segment_bytes`: a segment that has grown past it is followed by another.
    pub fn open(mut files: F, segment_bytes: usize) -> Result<(Log<F>, Recovered), LogError> {
        let mut names = files.list().map_err(io_of("folder"))?;
        names.sort();
        // What was being made when a crash came has no name yet, and nobody was told of it.
        for name in names.iter().filter(|name| name.ends_with(".new")) {
            files.remove(name).map_err(io_of(name))?;
        }
        let snapshot = newest_snapshot(&files, &names)?;
        let after = snapshot.as_ref().map_or(0, |snapshot| snapshot.number);
        let segments: Vec<&String> = names.iter().filter(|name| name.starts_with("log-")).collect();
        let (mut records, mut next, mut cut) = (Vec::new(), None, 0);
        for (at, name) in segments.iter().enumerate() {
            let bytes = files.read(name).map_err(io_of(name))?;
            let last = at + 1 == segments.len();
            let read = read_segment(name, &bytes, last)?;
            let Some(first) = read.first else {
                // Its header never came to disk whole: nothing in it was kept.
                files.remove(name).map_err(io_of(name))?;
                continue;
            };
            // Of segments that a snapshot covers some may have come back and others not: only what is needed may not
            // be missing.
            let reached = next.unwrap_or(0).max(after + 1);
            if first > reached || next.is_some_and(|next| first < next) {
                return Err(LogError::Gap { file: name.to_string(), expected: reached });
            }
            if read.good < bytes.len() {
                cut = bytes.len() - read.good;
                files.truncate(name, read.good as u64).map_err(io_of(name))?;
                files.sync(name).map_err(io_of(name))?;
            }
            next = Some(first + read.records.len() as u64);
            records.extend(read.records.into_iter().filter(|record| record.number > after));
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
        // Always a new one: what a crash left behind in the last is not written on.
        log.begin_segment()?;
        Ok((log, Recovered { snapshot, records, truncated_bytes: cut }))
    }

    fn begin_segment(&mut self) -> Result<(), LogError> {
        let name = segment_name(self.next_number);
        let done = self.make_segment(&name);
        self.failed |= done.is_err();
        done.map_err(io_of(&name))?;
        (self.segment, self.first, self.length) = (name, self.next_number, HEADER);
        Ok(())
    }

    fn make_segment(&mut self, name: &str) -> io::Result<()> {
        self.files.create(name)?;
        // One of this name holds no record: it was begun by an opening after which nothing was appended.
        self.files.truncate(name, 0)?;
        self.files.append(name, &header(self.next_number))?;
        self.files.sync(name)?;
        self.files.sync_folder()
    }

    /// Takes a record in and gives its number. It is kept only after a sync.
    pub fn append(&mut self, bytes: &[u8]) -> Result<u64, LogError> {
        if self.failed {
            return Err(LogError::Failed);
        }
        if bytes.len() > LONGEST {
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

    /// Brings all that was taken in to disk, with one write and one sync for as many records as there are. After an
    /// error nothing of them may be told.
    pub fn sync(&mut self) -> Result<u64, LogError> {
        if self.failed {
            return Err(LogError::Failed);
        }
        if self.buffer.is_empty() {
            return Ok(self.next_number - 1);
        }
        let buffer = std::mem::take(&mut self.buffer);
        let wrote = self.files.append(&self.segment, &buffer).and_then(|()| self.files.sync(&self.segment));
        if let Err(why) = wrote {
            self.failed = true;
            return Err(LogError::Io { file: self.segment.clone(), error: why });
        }
        self.length += buffer.len();
        self.synced = self.next_number;
        if self.length >= self.segment_bytes {
            self.begin_segment()?;
        }
        Ok(self.synced - 1)
    }

    /// Puts a snapshot in the place of all records up to the last that is kept, and removes what it covers.
    pub fn snapshot(&mut self, bytes: &[u8]) -> Result<u64, LogError> {
        self.sync()?;
        let upto = self.synced - 1;
        let (name, beside) = (snapshot_name(upto), format!("{}.new", snapshot_name(upto)));
        let made = self.make_snapshot(&beside, &name, upto, bytes);
        self.failed |= made.is_err();
        made.map_err(io_of(&name))?;
        self.begin_segment()?;
        let removed = self.remove_covered(upto);
        self.failed |= removed.is_err();
        removed.map_err(io_of("folder"))?;
        Ok(upto)
    }

    fn make_snapshot(&mut self, beside: &str, name: &str, upto: u64, bytes: &[u8]) -> io::Result<()> {
        self.files.create(beside)?;
        self.files.truncate(beside, 0)?;
        let sum = checksum(upto, bytes).to_be_bytes();
        let whole = [&SNAPSHOT[..], &upto.to_be_bytes(), &sum, bytes].concat();
        self.files.append(beside, &whole)?;
        self.files.sync(beside)?;
        self.files.rename(beside, name)?;
        self.files.sync_folder()
    }

    /// Only once the snapshot has its name for good: a crash between leaves more than is needed, never less.
    fn remove_covered(&mut self, upto: u64) -> io::Result<()> {
        let (own, snapshot) = (self.segment.clone(), snapshot_name(upto));
        for name in self.files.list()? {
            let covered =
                name.starts_with("log-") && name < own || name.starts_with("snap-") && name < snapshot;
            if covered {
                self.files.remove(&name)?;
            }
        }
        self.files.sync_folder()
    }

    /// The number that the next record gets.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// The last number that is kept.
    pub fn last_synced(&self) -> u64 {
        self.synced - 1
    }

    pub fn into_files(self) -> F {
        self.files
    }
}

fn header(first: u64) -> Vec<u8> {
    let sum = checksum(first, SEGMENT).to_be_bytes();
    [&SEGMENT[..], &first.to_be_bytes(), &sum].concat()
}

fn checksum(number: u64, bytes: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&number.to_be_bytes());
    sum.update(&(bytes.len() as u32).to_be_bytes());
    sum.update(bytes);
    sum.finalize()
}

fn number_at(bytes: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_be_bytes(bytes.get(at..at + 8)?.try_into().ok()?))
}

fn short_at(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

/// The newest snapshot. It got its name only when it was on disk whole, and what it covers may be gone: one that can't
/// be read is damage.
fn newest_snapshot<F: Files>(files: &F, names: &[String]) -> Result<Option<LogRecord>, LogError> {
    let is_snapshot = |name: &&String| name.starts_with("snap-") && !name.ends_with(".new");
    let Some(name) = names.iter().rev().find(is_snapshot) else { return Ok(None) };
    let bytes = files.read(name).map_err(io_of(name))?;
    if bytes.starts_with(&SNAPSHOT[..7]) && !bytes.starts_with(SNAPSHOT) {
        return Err(LogError::UnknownFormat { file: name.clone() });
    }
    let head =
        number_at(&bytes, 8).zip(short_at(&bytes, SNAPSHOT_HEAD)).filter(|_| bytes.starts_with(SNAPSHOT));
    let body = bytes.get(SNAPSHOT_HEAD + 4..).unwrap_or_default();
    match head.filter(|(upto, sum)| checksum(*upto, body) == *sum) {
        Some((number, _)) => Ok(Some(LogRecord { number, bytes: body.to_vec() })),
        None => Err(LogError::Damaged { file: name.clone(), at: 0 }),
    }
}

struct ReadSegment {
    /// None: the header is not whole.
    first: Option<u64>,
    records: Vec<LogRecord>,
    good: usize,
}

fn read_segment(name: &str, bytes: &[u8], last: bool) -> Result<ReadSegment, LogError> {
    if bytes.len() >= HEADER && bytes.starts_with(&SEGMENT[..7]) && !bytes.starts_with(SEGMENT) {
        return Err(LogError::UnknownFormat { file: name.into() });
    }
    let whole = number_at(bytes, 8).filter(|first| bytes.starts_with(&header(*first)));
    let Some(first) = whole else {
        // A header is synced before anything follows it.
        let begun = last && bytes.len() <= HEADER;
        let none = ReadSegment { first: None, records: Vec::new(), good: 0 };
        return if begun { Ok(none) } else { Err(LogError::Damaged { file: name.into(), at: 0 }) };
    };
    let (mut records, mut at) = (Vec::new(), HEADER);
    while let Some(record) = read_record(bytes, at, first + records.len() as u64) {
        at += RECORD + record.bytes.len();
        records.push(record);
    }
    // What can't be read is the last thing that was written, or damage: then something whole stands behind it.
    let damaged = at < bytes.len() && (!last || stands_behind(bytes, at, first + records.len() as u64));
    if damaged {
        return Err(LogError::Damaged { file: name.into(), at });
    }
    Ok(ReadSegment { first: Some(first), records, good: at })
}

fn read_record(bytes: &[u8], at: usize, number: u64) -> Option<LogRecord> {
    let length = short_at(bytes, at)? as usize;
    let sum = short_at(bytes, at + 4)?;
    let found = number_at(bytes, at + 8)?;
    let body = bytes.get(at + RECORD..(at + RECORD).checked_add(length)?)?;
    (length <= LONGEST && found == number && checksum(number, body) == sum)
        .then(|| LogRecord { number, bytes: body.to_vec() })
}

/// Whether a whole record of a later number follows somewhere. Records of one write may come to disk in any order, so
/// that only one from a write after a sync proves damage; a sync comes at least every so many records.
fn stands_behind(bytes: &[u8], at: usize, number: u64) -> bool {
    let wanted = number + MOST_AT_ONCE..number + MOST_AT_ONCE * 64;
    (at + 1..bytes.len().saturating_sub(RECORD)).any(|from| {
        number_at(bytes, from + 8)
            .is_some_and(|n| wanted.contains(&n) && read_record(bytes, from, n).is_some())
    })
}

/// Records that one sync brings to disk at most, for telling a cut from damage.
const MOST_AT_ONCE: u64 = 4_096;
