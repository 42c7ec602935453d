//! A member's records on the log of `harestage_segments`, and what a service kept there before it was a group.
use harestage_group::{Replica, StartError};
use harestage_segments::{Folder, Log, LogError};
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

const SEGMENT: usize = 8 << 20;

/// Reads a folder's older form: the snapshot and the records to the pieces of data that they stand for.
pub type Old = fn(Option<&[u8]>, &[Vec<u8>]) -> Result<Vec<Vec<u8>>, String>;

/// Why a member's folder can't be used; the text names it.
#[derive(Debug)]
pub enum CouncilError {
    Folder {
        path: PathBuf,
        why: io::Error,
    },
    /// Another program holds it.
    Held {
        path: PathBuf,
    },
    Log {
        path: PathBuf,
        why: LogError,
    },
    Old {
        path: PathBuf,
        why: String,
    },
    Start {
        path: PathBuf,
        why: StartError,
    },
}

impl fmt::Display for CouncilError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Folder { path, why } => write!(f, "{}: {why}", path.display()),
            Self::Held { path } => write!(f, "{}: another service holds it", path.display()),
            Self::Log { path, why } => write!(f, "{}: {why}", path.display()),
            Self::Old { path, why } => write!(f, "{}: {why}", path.display()),
            Self::Start { path, why } => write!(f, "{}: {why}", path.display()),
        }
    }
}

impl std::error::Error for CouncilError {}

pub(crate) struct Opened {
    pub log: Log<Folder>,
    pub records: Vec<Vec<u8>>,
    /// The data of a folder in its older form.
    pub old: Option<Vec<Vec<u8>>>,
    pub was_old: bool,
}

/// The first bytes of JSON, with which no record of a member begins.
fn is_old(bytes: &[u8]) -> bool {
    matches!(bytes.first(), Some(b'{' | b'['))
}

pub(crate) fn open(path: &Path, old: Old) -> Result<Opened, CouncilError> {
    let folder = Folder::open(path).map_err(|why| match why.kind() {
        io::ErrorKind::WouldBlock => CouncilError::Held { path: path.into() },
        _ => CouncilError::Folder { path: path.into(), why },
    })?;
    let (log, found) =
        Log::open(folder, SEGMENT).map_err(|why| CouncilError::Log { path: path.into(), why })?;
    let snapshot = found.snapshot.as_ref().map(|whole| whole.bytes.as_slice());
    let records: Vec<Vec<u8>> = found.records.into_iter().map(|record| record.bytes).collect();
    let was_old = snapshot.is_some_and(is_old) || snapshot.is_none() && records.iter().any(|r| is_old(r));
    if was_old {
        let data = old(snapshot, &records).map_err(|why| CouncilError::Old { path: path.into(), why })?;
        return Ok(Opened { log, records: Vec::new(), old: Some(data), was_old });
    }
    let mut all = match snapshot {
        Some(whole) => Replica::decode_snapshot(whole).ok_or_else(|| CouncilError::Old {
            path: path.into(),
            why: "the snapshot can't be read".into(),
        })?,
        None => Vec::new(),
    };
    all.extend(records);
    Ok(Opened { log, records: all, old: None, was_old })
}
