//! Links on disk: on the log of `harestage_segments` at first, which one sync makes safe for all that came meanwhile, and
//! then in columnar files, rolled by size and time. A link is in the log until the file that has it is synced under its
//! name; after a crash between the two it is in both, and counts once.
use crate::parquet_file;
use harestage_audit::chain::Link;
use harestage_segments::{Files, Folder, Log, LogError};
use std::fmt;
use std::path::Path;
use std::time::{Duration, Instant};

const SEGMENT: usize = 4 << 20;
/// A file is made of so many links, or of those of so long.
const ROLL_LINKS: usize = 20_000;
const ROLL_AFTER: Duration = Duration::from_secs(300);
/// Files that are kept; the oldest go.
const MOST_FILES: usize = 512;

#[derive(Debug)]
pub enum StoreError {
    Folder { path: String, why: std::io::Error },
    Log(LogError),
    File { file: String, why: String },
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Folder { path, why } => write!(f, "{path}: {why}"),
            Self::Log(why) => write!(f, "{why}"),
            Self::File { file, why } => write!(f, "{file}: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

pub struct Store {
    log: Log<Folder>,
    files: Folder,
    /// Links that are in no file yet.
    links: Vec<Link>,
    rolled: Instant,
    /// The number that the next file gets.
    next: u64,
    pub read_errors: Vec<parquet_file::ReadError>,
}

fn file_name(number: u64) -> String {
    format!("audit-{number:08}.parquet")
}

fn file_number(name: &str) -> Option<u64> {
    name.strip_prefix("audit-")?.strip_suffix(".parquet")?.parse().ok()
}

impl Store {
    /// Opens what is in a folder, and gives all links that it holds, oldest first. Files and rows that can't be read are in
    /// `wrong`; the others still count.
    pub fn open(folder: &Path) -> Result<(Store, Vec<Link>), StoreError> {
        let within = |name: &str| {
            Folder::open_within(folder, name)
                .map_err(|why| StoreError::Folder { path: folder.join(name).display().to_string(), why })
        };
        let files = within("files")?;
        let (log, found) = Log::open(within("links")?, SEGMENT).map_err(StoreError::Log)?;
        let mut names =
            files.list().map_err(|why| StoreError::Folder { path: folder.display().to_string(), why })?;
        names.sort();
        let (mut all, mut wrong, mut next) = (Vec::new(), Vec::new(), 1);
        for name in names.iter().filter(|name| file_number(name).is_some()) {
            next = next.max(file_number(name).unwrap_or(0) + 1);
            match files.read(name) {
                Ok(bytes) => {
                    let (links, bad) = parquet_file::read(name, bytes);
                    all.extend(links);
                    wrong.extend(bad);
                }
                Err(why) => {
                    wrong.push(parquet_file::ReadError {
                        file: name.clone(),
                        row: None,
                        reason: why.to_string(),
                    });
                }
            }
        }
        let mut links = Vec::new();
        for record in found.records {
            match serde_json::from_slice::<Link>(&record.bytes) {
                Ok(link) => links.push(link),
                Err(why) => {
                    let file = format!("links, record {}", record.number);
                    wrong.push(parquet_file::ReadError { file, row: None, reason: why.to_string() });
                }
            }
        }
        all.extend(links.iter().cloned());
        Ok((Store { log, files, links, rolled: Instant::now(), next, read_errors: wrong }, all))
    }

    /// Takes links in; they are kept after the next sync.
    pub fn append(&mut self, links: &[Link]) -> Result<(), StoreError> {
        for link in links {
            let bytes = serde_json::to_vec(link).unwrap_or_default();
            self.log.append(&bytes).map_err(StoreError::Log)?;
        }
        self.links.extend_from_slice(links);
        Ok(())
    }

    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.log.sync().map(drop).map_err(StoreError::Log)
    }

    /// Makes a file of what is in none, where that is enough or old enough; `now` makes one of whatever there is.
    pub fn roll(&mut self, now: bool) -> Result<Option<String>, StoreError> {
        let due = self.links.len() >= ROLL_LINKS || self.rolled.elapsed() >= ROLL_AFTER || now;
        if !due || self.links.is_empty() {
            return Ok(None);
        }
        self.sync()?;
        let name = file_name(self.next);
        let of_file = |why: String| StoreError::File { file: name.clone(), why };
        let bytes = parquet_file::write(&self.links).map_err(of_file)?;
        self.make(&name, &bytes)
            .map_err(|why| StoreError::File { file: name.clone(), why: why.to_string() })?;
        // Only now that the file stands: what the log has is not needed any more.
        self.log.snapshot(&[]).map_err(StoreError::Log)?;
        self.links.clear();
        (self.next, self.rolled) = (self.next + 1, Instant::now());
        Ok(Some(name))
    }

    fn make(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        let beside = format!("{name}.new");
        self.files.create(&beside)?;
        self.files.truncate(&beside, 0)?;
        self.files.append(&beside, bytes)?;
        self.files.sync(&beside)?;
        self.files.rename(&beside, name)?;
        self.files.sync_folder()?;
        let mut names: Vec<String> =
            self.files.list()?.into_iter().filter(|name| file_number(name).is_some()).collect();
        names.sort();
        let over = names.len().saturating_sub(MOST_FILES);
        if over > 0 {
            names[..over].iter().try_for_each(|name| self.files.remove(name))?;
            self.files.sync_folder()?;
        }
        Ok(())
    }
}
