//! The service's journal: its records on the log of `harestage_segments`, each synced before anything that follows from
//! it is done. A start writes a long journal whole, from its last whole shape on.
use harestage_segments::{Folder, Log, LogError};
use harestage_shape::control::{Entry, Record};
use std::io;
use std::path::{Path, PathBuf};

const SEGMENT: usize = 8 << 20;
/// Records past which a start writes the journal whole.
const WHOLE_AFTER: usize = 1_000;

pub struct Journal(Log<Folder>);

/// Why a journal can't be used. The text names the folder.
#[derive(Debug)]
pub enum JournalError {
    Folder {
        path: PathBuf,
        why: io::Error,
    },
    /// Another service holds it.
    Held {
        path: PathBuf,
    },
    Log {
        path: PathBuf,
        why: LogError,
    },
    /// A record that is whole, and says nothing that this program knows.
    Unreadable {
        path: PathBuf,
        record: u64,
        why: String,
    },
}

impl std::fmt::Display for JournalError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::Folder { path, why } => write!(f, "{}: {why}", path.display()),
            Self::Held { path } => write!(f, "{}: another control service holds it", path.display()),
            Self::Log { path, why } => write!(f, "{}: {why}", path.display()),
            Self::Unreadable { path, record, why } => {
                write!(f, "{}: record {record} can't be read: {why}", path.display())
            }
        }
    }
}

impl std::error::Error for JournalError {}

impl Journal {
    /// Opens the journal in a folder, or makes one, and reads what it holds. The folder is held for as long as this
    /// lives, so that a second service on this machine does not begin.
    pub fn open(path: &Path) -> Result<(Journal, Vec<Record>), JournalError> {
        let folder = Folder::open(path).map_err(|why| match why.kind() {
            io::ErrorKind::WouldBlock => JournalError::Held { path: path.into() },
            _ => JournalError::Folder { path: path.into(), why },
        })?;
        let log = |why| JournalError::Log { path: path.into(), why };
        let (mut kept, found) = Log::open(folder, SEGMENT).map_err(log)?;
        let unreadable = |record: u64, why: serde_json::Error| JournalError::Unreadable {
            path: path.into(),
            record,
            why: why.to_string(),
        };
        let mut records: Vec<Record> = match &found.snapshot {
            Some(whole) => {
                serde_json::from_slice(&whole.bytes).map_err(|why| unreadable(whole.number, why))?
            }
            None => Vec::new(),
        };
        for record in &found.records {
            records
                .push(serde_json::from_slice(&record.bytes).map_err(|why| unreadable(record.number, why))?);
        }
        if found.records.len() > WHOLE_AFTER {
            let last = records.iter().rposition(|record| matches!(record.entry, Entry::Shape(_)));
            records.drain(..last.unwrap_or(0));
            kept.snapshot(&serde_json::to_vec(&records).unwrap_or_default()).map_err(log)?;
        }
        Ok((Journal(kept), records))
    }

    /// Appends a record. When this returns well, it is on disk; after an error nothing can be appended any more.
    pub fn write(&mut self, record: &Record) -> Result<(), LogError> {
        self.0.append(&serde_json::to_vec(record).unwrap_or_default())?;
        self.0.sync().map(drop)
    }
}
