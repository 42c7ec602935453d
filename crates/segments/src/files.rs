//! What a log needs of a disk.
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// Files of one folder. What is written may be lost until it is synced; a name that is made, changed or removed may
/// come back until the folder is.
pub trait Files {
    fn list(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Makes the file, empty, if there is none.
    fn create(&mut self, name: &str) -> io::Result<()>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A real folder. The file that was appended to last stays open.
pub struct Folder {
    path: PathBuf,
    open: Option<(String, File)>,
    /// Held for as long as this lives, so that no second program writes here.
    _lock: File,
}

impl Folder {
    /// Makes the folder if there is none. An error of the kind `WouldBlock`: another program holds it.
    pub fn open(path: &Path) -> io::Result<Folder> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new().write(true).create(true).truncate(false).open(path.join("lock"))?;
        lock.try_lock().map_err(|why| match why {
            std::fs::TryLockError::WouldBlock => io::ErrorKind::WouldBlock.into(),
            std::fs::TryLockError::Error(why) => why,
        })?;
        Ok(Folder { path: path.into(), open: None, _lock: lock })
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
    fn create(&mut self, name: &str) -> io::Result<()> {
        OpenOptions::new().append(true).create(true).open(self.path.join(name)).map(drop)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open = None;
        OpenOptions::new().write(true).open(self.path.join(name))?.set_len(length)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        std::fs::rename(self.path.join(from), self.path.join(to))
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        std::fs::remove_file(self.path.join(name))
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
