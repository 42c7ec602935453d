//! Storage of links. A link is first written to the log of `harestage_segments`, where one sync covers all links that were
//! appended meanwhile. Links are then moved to Parquet files, which are rolled by size and time. A link stays in the log
//! until its file is synced and renamed. After a crash between the two it is in both, and counts once.
use crate::parquet_file;
use harestage_audit::chain::Link;
use harestage_segments::{Files, Folder, Log, LogError};
use std::fmt;
use std::path::Path;
use std::time::{Duration, Instant};

const SEGMENT_BYTES: usize = 4 << 20;
/// A file is written once there are this many links, or after [`ROLL_INTERVAL`].
const ROLL_LINKS: usize = 20_000;
const ROLL_INTERVAL: Duration = Duration::from_secs(300);
/// Maximum number of files. The oldest ones are deleted.
const MAX_FILES: usize = 512;

/// An error of the disk or of a file.
#[derive(Debug)]
pub enum StoreError {
    Folder { path: String, reason: std::io::Error },
    Log(LogError),
    File { file: String, reason: String },
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Folder { path, reason } => write!(f, "{path}: {reason}"),
            Self::Log(error) => write!(f, "{error}"),
            Self::File { file, reason } => write!(f, "{file}: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The store of links of one keeper.
pub struct Store {
    log: Log<Folder>,
    files: Folder,
    /// Links that are not in a file yet.
    links: Vec<Link>,
    last_roll: Instant,
    next_file_number: u64,
    /// Errors of files and records that [`Store::open`] could not read.
    pub read_errors: Vec<parquet_file::ReadError>,
}

fn file_name(number: u64) -> String {
    format!("audit-{number:08}.parquet")
}

fn file_number(name: &str) -> Option<u64> {
    name.strip_prefix("audit-")?.strip_suffix(".parquet")?.parse().ok()
}

impl Store {
    /// Opens a folder and returns all links in it, oldest first. Files and rows that can't be read are listed in
    /// `read_errors`, and the others are still read.
    pub fn open(folder: &Path) -> Result<(Store, Vec<Link>), StoreError> {
        let open_subfolder = |name: &str| {
            Folder::open_within(folder, name).map_err(|reason| StoreError::Folder {
                path: folder.join(name).display().to_string(),
                reason,
            })
        };
        let files = open_subfolder("files")?;
        let (log, contents) = Log::open(open_subfolder("links")?, SEGMENT_BYTES).map_err(StoreError::Log)?;
        let mut names = files
            .list()
            .map_err(|reason| StoreError::Folder { path: folder.display().to_string(), reason })?;
        names.sort();
        let (mut all_links, mut read_errors, mut next_file_number) = (Vec::new(), Vec::new(), 1);
        for name in names.iter().filter(|name| file_number(name).is_some()) {
            next_file_number = next_file_number.max(file_number(name).unwrap_or(0) + 1);
            match files.read(name) {
                Ok(bytes) => {
                    let (links, file_errors) = parquet_file::read(name, bytes);
                    all_links.extend(links);
                    read_errors.extend(file_errors);
                }
                Err(error) => {
                    read_errors.push(parquet_file::ReadError {
                        file: name.clone(),
                        row: None,
                        reason: error.to_string(),
                    });
                }
            }
        }
        let mut links = Vec::new();
        for record in contents.records {
            match serde_json::from_slice::<Link>(&record.bytes) {
                Ok(link) => links.push(link),
                Err(error) => {
                    let file = format!("links, record {}", record.number);
                    read_errors.push(parquet_file::ReadError { file, row: None, reason: error.to_string() });
                }
            }
        }
        all_links.extend(links.iter().cloned());
        Ok((Store { log, files, links, last_roll: Instant::now(), next_file_number, read_errors }, all_links))
    }

    /// Appends links. They are durable after the next sync.
    pub fn append(&mut self, links: &[Link]) -> Result<(), StoreError> {
        for link in links {
            let bytes = serde_json::to_vec(link).unwrap_or_default();
            self.log.append(&bytes).map_err(StoreError::Log)?;
        }
        self.links.extend_from_slice(links);
        Ok(())
    }

    /// Syncs the log.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.log.sync().map(drop).map_err(StoreError::Log)
    }

    /// Moves the links of the log to a new file if there are enough of them or enough time has passed, or if `force` is set.
    /// Returns the name of the file if one was written.
    pub fn roll(&mut self, force: bool) -> Result<Option<String>, StoreError> {
        let due = self.links.len() >= ROLL_LINKS || self.last_roll.elapsed() >= ROLL_INTERVAL || force;
        if !due || self.links.is_empty() {
            return Ok(None);
        }
        self.sync()?;
        let name = file_name(self.next_file_number);
        let file_error = |reason: String| StoreError::File { file: name.clone(), reason };
        let bytes = parquet_file::write(&self.links).map_err(file_error)?;
        self.write_file(&name, &bytes)
            .map_err(|error| StoreError::File { file: name.clone(), reason: error.to_string() })?;
        // The log may be emptied only after the file is durable.
        self.log.snapshot(&[]).map_err(StoreError::Log)?;
        self.links.clear();
        (self.next_file_number, self.last_roll) = (self.next_file_number + 1, Instant::now());
        Ok(Some(name))
    }

    /// Writes and syncs a file, renames it, and deletes the oldest files above the limit.
    fn write_file(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        let temporary_name = format!("{name}.new");
        self.files.create(&temporary_name)?;
        self.files.truncate(&temporary_name, 0)?;
        self.files.append(&temporary_name, bytes)?;
        self.files.sync(&temporary_name)?;
        self.files.rename(&temporary_name, name)?;
        self.files.sync_folder()?;
        let mut names: Vec<String> =
            self.files.list()?.into_iter().filter(|name| file_number(name).is_some()).collect();
        names.sort();
        let excess = names.len().saturating_sub(MAX_FILES);
        if excess > 0 {
            names[..excess].iter().try_for_each(|name| self.files.remove(name))?;
            self.files.sync_folder()?;
        }
        Ok(())
    }
}
