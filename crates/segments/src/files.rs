//! Access to the files of one folder, as a log needs it.
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// The files of one folder. Written bytes may be lost until the file is synced; a created, renamed or removed name may
/// revert until the folder is synced.
pub trait Files {
    /// Names of all entries.
    fn list(&self) -> io::Result<Vec<String>>;
    /// The whole contents of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Reads `length` bytes from an offset; an error if the file ends before that.
    fn read_at(&self, name: &str, at: u64, length: usize) -> io::Result<Vec<u8>> {
        let bytes = self.read(name)?;
        let from = usize::try_from(at).unwrap_or(usize::MAX);
        let end = from.saturating_add(length);
        bytes.get(from..end).map(<[u8]>::to_vec).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
    /// Length of a file in bytes.
    fn length(&self, name: &str) -> io::Result<u64> {
        self.read(name).map(|bytes| bytes.len() as u64)
    }
    /// Creates an empty file unless it exists.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends bytes to a file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Shortens a file to `length` bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Makes the contents of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes created, renamed and removed names durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// The mirror folder of this process, if [`mirror_synced_files`] was called.
static MIRROR_FOLDER: OnceLock<PathBuf> = OnceLock::new();
/// Numbers the temporary files of mirrors.
static NEXT_TEMPORARY: AtomicU64 = AtomicU64::new(0);

/// For tests that simulate a power loss: each folder that this process opens afterwards is mirrored to a second folder,
/// which receives only what each sync covers. After a kill the first folder can be restored from it. A file `disk-state`
/// in the mirror with the text `full` or `failing` makes all writes fail. Never called in production.
pub fn mirror_synced_files(folder: &Path) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let _ = MIRROR_FOLDER.set(folder.into());
    Ok(())
}

/// A folder of the file system. The file that was appended to last stays open.
pub struct Folder {
    path: PathBuf,
    open: Option<(String, File)>,
    /// Receives what each sync covers, and nothing else.
    mirror: Option<Mirror>,
    /// Locked for the lifetime of this value, so that no second program writes to the folder.
    _lock: File,
}

impl Folder {
    /// Opens a folder, and creates it if needed. An error of kind `WouldBlock` means that another program holds it.
    pub fn open(path: &Path) -> io::Result<Folder> {
        Folder::open_mirrored(path, MIRROR_FOLDER.get().cloned())
    }

    /// Opens a folder inside one that this process has open. Its mirror is inside the mirror of the outer folder.
    pub fn open_within(outer: &Path, name: &str) -> io::Result<Folder> {
        let mirror = MIRROR_FOLDER.get().map(|mirror| mirror.join(name));
        if let Some(mirror) = &mirror {
            std::fs::create_dir_all(mirror)?;
        }
        Folder::open_mirrored(&outer.join(name), mirror)
    }

    fn open_mirrored(path: &Path, mirror: Option<PathBuf>) -> io::Result<Folder> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new().write(true).create(true).truncate(false).open(path.join("lock"))?;
        lock.try_lock().map_err(|error| match error {
            std::fs::TryLockError::WouldBlock => io::ErrorKind::WouldBlock.into(),
            std::fs::TryLockError::Error(error) => error,
        })?;
        let mirror = mirror.map(|path| Mirror { path, renamed: Vec::new() });
        Ok(Folder { path: path.into(), open: None, mirror, _lock: lock })
    }

    fn check_simulated_failure(&self) -> io::Result<()> {
        self.mirror.as_ref().map_or(Ok(()), Mirror::check_simulated_failure)
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.open = Some((name.into(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

impl Files for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let names =
            std::fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()));
        names.collect()
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.path.join(name))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }
    fn read_at(&self, name: &str, at: u64, length: usize) -> io::Result<Vec<u8>> {
        let (mut file, mut bytes) = (File::open(self.path.join(name))?, vec![0; length]);
        file.seek(SeekFrom::Start(at))?;
        file.read_exact(&mut bytes)?;
        Ok(bytes)
    }
    fn length(&self, name: &str) -> io::Result<u64> {
        std::fs::metadata(self.path.join(name)).map(|of| of.len())
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.check_simulated_failure()?;
        OpenOptions::new().append(true).create(true).open(self.path.join(name)).map(drop)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.check_simulated_failure()?;
        self.file(name)?.write_all(bytes)
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.check_simulated_failure()?;
        self.open = None;
        OpenOptions::new().write(true).open(self.path.join(name))?.set_len(length)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.check_simulated_failure()?;
        self.file(name)?.sync_data()?;
        self.mirror.as_ref().map_or(Ok(()), |mirror| mirror.copy_synced(&self.path, name))
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.check_simulated_failure()?;
        self.open = None;
        std::fs::rename(self.path.join(from), self.path.join(to))?;
        self.mirror.iter_mut().for_each(|mirror| mirror.renamed.push((to.into(), from.into())));
        Ok(())
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.check_simulated_failure()?;
        self.open = None;
        std::fs::remove_file(self.path.join(name))
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.check_simulated_failure()?;
        File::open(&self.path)?.sync_all()?;
        self.mirror.as_mut().map_or(Ok(()), |mirror| mirror.copy_synced_names(&self.path))
    }
}

/// The state of a folder after a power loss. A file that was never synced is absent; a renamed or removed file keeps its
/// old name until the folder is synced.
struct Mirror {
    path: PathBuf,
    /// Renames since the last sync of the folder, as new and old names.
    renamed: Vec<(String, String)>,
}

impl Mirror {
    /// The mirror folder of the process, or that of a test which creates a mirror directly.
    fn outer(&self) -> &Path {
        MIRROR_FOLDER.get().unwrap_or(&self.path)
    }

    fn check_simulated_failure(&self) -> io::Result<()> {
        match std::fs::read_to_string(self.outer().join("disk-state")) {
            Ok(state) if state == "full" => Err(io::ErrorKind::StorageFull.into()),
            Ok(_) => Err(io::Error::other("simulated disk failure")),
            Err(_) => Ok(()),
        }
    }

    fn copy_synced(&self, from: &Path, name: &str) -> io::Result<()> {
        // Stored under the name that the disk has synced.
        let synced_name = self
            .renamed
            .iter()
            .rev()
            .find(|(new, _)| new == name)
            .map_or(name, |(_, synced_name)| synced_name);
        // Written outside the folder and renamed into place: a kill while overwriting the copy would lose bytes that
        // earlier syncs covered, which a power loss does not do.
        let number = NEXT_TEMPORARY.fetch_add(1, Ordering::Relaxed);
        let temporary = self.outer().with_extension(format!("beside-{number}"));
        std::fs::write(&temporary, std::fs::read(from.join(name))?)?;
        std::fs::rename(temporary, self.path.join(synced_name))
    }

    fn copy_synced_names(&mut self, from: &Path) -> io::Result<()> {
        for (new, synced_name) in self.renamed.drain(..) {
            match std::fs::rename(self.path.join(synced_name), self.path.join(new)) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                _ => {}
            }
        }
        for entry in std::fs::read_dir(&self.path)? {
            let (name, is_folder) = name_and_kind(entry?)?;
            if !is_folder && name != "disk-state" && !from.join(&name).exists() {
                std::fs::remove_file(self.path.join(&name))?;
            }
        }
        // A file that was created but never synced has a name and no bytes.
        for entry in std::fs::read_dir(from)? {
            let (name, is_folder) = name_and_kind(entry?)?;
            if !is_folder && name != "lock" && !self.path.join(&name).exists() {
                File::create(self.path.join(&name))?;
            }
        }
        Ok(())
    }
}

fn name_and_kind(entry: std::fs::DirEntry) -> io::Result<(std::ffi::OsString, bool)> {
    Ok((entry.file_name(), entry.file_type()?.is_dir()))
}
