//! The service's journal: one record a line, each with its checksum, synced before anything that follows from it is
//! done. A line that was cut off by a crash is the last one and is dropped; one that is damaged in the middle stops the
//! service, since what comes after it may build on it.
use harestage_shape::control::{Entry, Record};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Of the journal, in bytes; past it a start writes it anew from the last whole shape.
const COMPACT_FROM: usize = 1 << 20;

pub struct Journal {
    file: File,
    path: PathBuf,
    /// A write has failed: what is on disk is not known, and nothing more may be told.
    failed: bool,
}

/// Why a journal can't be used. The text names the file.
#[derive(Debug)]
pub enum JournalError {
    Io {
        path: PathBuf,
        why: io::Error,
    },
    /// Another runner holds it.
    Held {
        path: PathBuf,
    },
    Damaged {
        path: PathBuf,
        line: usize,
    },
}

impl std::fmt::Display for JournalError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::Io { path, why } => write!(f, "{}: {why}", path.display()),
            Self::Held { path } => write!(f, "{}: another control service holds it", path.display()),
            Self::Damaged { path, line } => write!(f, "{}: line {line} is damaged", path.display()),
        }
    }
}

impl std::error::Error for JournalError {}

impl Journal {
    /// Opens a journal, or makes one, and reads what it holds. The file is locked for as long as this lives, so that a
    /// second runner on this machine does not begin.
    pub fn open(path: &Path) -> Result<(Journal, Vec<Record>), JournalError> {
        let io = |why| JournalError::Io { path: path.into(), why };
        let mut file =
            OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path).map_err(io)?;
        file.try_lock().map_err(|why| match why {
            std::fs::TryLockError::WouldBlock => JournalError::Held { path: path.into() },
            std::fs::TryLockError::Error(why) => io(why),
        })?;
        let mut text = Vec::new();
        file.read_to_end(&mut text).map_err(io)?;
        let (records, good) =
            read(&text).map_err(|line| JournalError::Damaged { path: path.into(), line })?;
        file.set_len(good as u64).map_err(io)?;
        file.seek(SeekFrom::Start(good as u64)).map_err(io)?;
        let mut journal = Journal { file, path: path.into(), failed: false };
        let records = if good > COMPACT_FROM { journal.compact(records).map_err(io)? } else { records };
        Ok((journal, records))
    }

    /// Writes the journal anew from its last whole shape. The old one stays until the new one is on disk.
    fn compact(&mut self, records: Vec<Record>) -> io::Result<Vec<Record>> {
        let last = records.iter().rposition(|record| matches!(record.entry, Entry::Shape(_)));
        let kept = records[last.unwrap_or(0)..].to_vec();
        let beside = self.path.with_extension("new");
        let mut file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&beside)?;
        // The new file has to be held before it has the name, or a second runner could take it in between.
        file.try_lock().map_err(io::Error::other)?;
        for record in &kept {
            file.write_all(&line(record))?;
        }
        file.sync_all()?;
        std::fs::rename(&beside, &self.path)?;
        if let Some(folder) = self.path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
            File::open(folder)?.sync_all()?;
        }
        self.file = file;
        Ok(kept)
    }

    /// Appends a record. When this returns well, it is on disk; after an error nothing can be appended any more.
    pub fn write(&mut self, record: &Record) -> io::Result<()> {
        if self.failed {
            return Err(io::Error::other("an earlier write failed"));
        }
        let wrote = self.file.write_all(&line(record)).and_then(|()| self.file.sync_data());
        self.failed = wrote.is_err();
        wrote
    }
}

/// A record as it stands in the file.
pub fn line(record: &Record) -> Vec<u8> {
    let json = serde_json::to_vec(record).unwrap_or_default();
    let mut line = format!("{:08x} ", crc32fast::hash(&json)).into_bytes();
    line.extend(json);
    line.push(b'\n');
    line
}

/// The records, and the length of the text that they are; or the number of a damaged line.
pub fn read(text: &[u8]) -> Result<(Vec<Record>, usize), usize> {
    let (mut records, mut good) = (Vec::new(), 0);
    while let Some(length) = text[good..].iter().position(|b| *b == b'\n') {
        let Some(record) = read_line(&text[good..good + length]) else {
            // A whole line that is wrong is damage, unless it is the last: sectors may come to disk in any order.
            let last = good + length + 1 == text.len();
            return if last { Ok((records, good)) } else { Err(records.len() + 1) };
        };
        records.push(record);
        good += length + 1;
    }
    Ok((records, good))
}

fn read_line(line: &[u8]) -> Option<Record> {
    let (sum, json) = line.split_at_checked(9)?;
    let digits = sum.strip_suffix(b" ")?;
    let sum = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
    (sum == crc32fast::hash(json)).then(|| serde_json::from_slice(json).ok())?
}
