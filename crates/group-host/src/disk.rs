//! The log of a group member on disk, and the conversion of logs written before the service was replicated.
use harestage_group::{Replica, StartError};
use harestage_segments::{Folder, Log, LogError};
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

const SEGMENT_BYTES: usize = 8 << 20;

/// Converts the snapshot and records of a folder in the unreplicated format to the data of the group.
pub type LegacyReader = fn(Option<&[u8]>, &[Vec<u8>]) -> Result<Vec<Vec<u8>>, String>;

/// The reason why the folder of a member can't be used.
#[derive(Debug)]
pub enum GroupMemberError {
    Folder {
        path: PathBuf,
        reason: io::Error,
    },
    /// Another process has locked the folder.
    Locked {
        path: PathBuf,
    },
    Log {
        path: PathBuf,
        reason: LogError,
    },
    LegacyFormat {
        path: PathBuf,
        reason: String,
    },
    Start {
        path: PathBuf,
        reason: StartError,
    },
}

impl fmt::Display for GroupMemberError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Folder { path, reason } => write!(f, "{}: {reason}", path.display()),
            Self::Locked { path } => write!(f, "{}: another service holds it", path.display()),
            Self::Log { path, reason } => write!(f, "{}: {reason}", path.display()),
            Self::LegacyFormat { path, reason } => write!(f, "{}: {reason}", path.display()),
            Self::Start { path, reason } => write!(f, "{}: {reason}", path.display()),
        }
    }
}

impl std::error::Error for GroupMemberError {}

/// The contents of a member's folder.
pub(crate) struct OpenedLog {
    pub log: Log<Folder>,
    pub records: Vec<Vec<u8>>,
    /// The converted data of a folder in the unreplicated format.
    pub legacy_data: Option<Vec<Vec<u8>>>,
    pub was_legacy: bool,
}

/// The unreplicated format is JSON. No record of a group member begins with these bytes.
fn is_legacy(bytes: &[u8]) -> bool {
    matches!(bytes.first(), Some(b'{' | b'['))
}

pub(crate) fn open(path: &Path, read_legacy: LegacyReader) -> Result<OpenedLog, GroupMemberError> {
    let folder = Folder::open(path).map_err(|error| match error.kind() {
        io::ErrorKind::WouldBlock => GroupMemberError::Locked { path: path.into() },
        _ => GroupMemberError::Folder { path: path.into(), reason: error },
    })?;
    let (log, contents) = Log::open(folder, SEGMENT_BYTES)
        .map_err(|error| GroupMemberError::Log { path: path.into(), reason: error })?;
    let snapshot = contents.snapshot.as_ref().map(|snapshot| snapshot.bytes.as_slice());
    let records: Vec<Vec<u8>> = contents.records.into_iter().map(|record| record.bytes).collect();
    let was_legacy =
        snapshot.is_some_and(is_legacy) || snapshot.is_none() && records.iter().any(|r| is_legacy(r));
    if was_legacy {
        let data = read_legacy(snapshot, &records)
            .map_err(|reason| GroupMemberError::LegacyFormat { path: path.into(), reason })?;
        return Ok(OpenedLog { log, records: Vec::new(), legacy_data: Some(data), was_legacy });
    }
    let mut all = match snapshot {
        Some(snapshot) => Replica::decode_snapshot(snapshot).ok_or_else(|| {
            GroupMemberError::LegacyFormat { path: path.into(), reason: "the snapshot can't be read".into() }
        })?,
        None => Vec::new(),
    };
    all.extend(records);
    Ok(OpenedLog { log, records: all, legacy_data: None, was_legacy })
}
