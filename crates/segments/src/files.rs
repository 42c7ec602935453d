//! What a log needs of a disk.
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// Files of one folder. What is written may be lost until it is synced; a name that is made, changed or removed may
/// come back until the folder is.
pub trait Files {
    fn list(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// So many bytes from there on; an error where the file ends before.
    fn read_at(&self, name: &str, at: u64, length: usize) -> io::Result<Vec<u8>> {
        let bytes = self.read(name)?;
        let from = usize::try_from(at).unwrap_or(usize::MAX);
        let end = from.saturating_add(length);
        bytes.get(from..end).map(<[u8]>::to_vec).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
    fn length(&self, name: &str) -> io::Result<u64> {
        self.read(name).map(|bytes| bytes.len() as u64)
    }
    /// Makes the file, empty, if there is none.
    fn create(&mut self, name: &str) -> io::Result<()>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    fn sync_folder(&mut self) -> io::Result<()>;
}

static SYNCED_COPY: OnceLock<PathBuf> = OnceLock::new();
/// Names of files that are on their way into a second folder.
static BESIDE: AtomicU64 = AtomicU64::new(0);

/// For rigs that take the power away: from now on a folder that this process opens has a second one, which gets what each
/// sync covers, so that after a kill the first can be laid anew from it. A file `disk-state` in it with `full` or
/// `failing` makes all that writes fail. Nothing sets it in service.
pub fn mirror_synced_files(folder: &Path) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let _ = SYNCED_COPY.set(folder.into());
    Ok(())
}

/// A real folder. The file that was appended to last stays open.
pub struct Folder {
    path: PathBuf,
    open: Option<(String, File)>,
    /// A second folder that gets what each sync covers, and nothing else.
    kept: Option<Mirror>,
    /// Held for as long as this lives, so that no second program writes here.
    _lock: File,
}

impl Folder {
    /// Makes the folder if there is none. An error of the kind `WouldBlock`: another program holds it.
    pub fn open(path: &Path) -> io::Result<Folder> {
        Folder::open_kept(path, SYNCED_COPY.get().cloned())
    }

    /// A folder within another that this process has, by its name: a second folder of the outer one has it within, too.
    pub fn open_within(outer: &Path, name: &str) -> io::Result<Folder> {
        let kept = SYNCED_COPY.get().map(|kept| kept.join(name));
        if let Some(kept) = &kept {
            std::fs::create_dir_all(kept)?;
        }
        Folder::open_kept(&outer.join(name), kept)
    }

    fn open_kept(path: &Path, kept: Option<PathBuf>) -> io::Result<Folder> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new().write(true).create(true).truncate(false).open(path.join("lock"))?;
        lock.try_lock().map_err(|why| match why {
            std::fs::TryLockError::WouldBlock => io::ErrorKind::WouldBlock.into(),
            std::fs::TryLockError::Error(why) => why,
        })?;
        let kept = kept.map(|path| Mirror { path, renamed: Vec::new() });
        Ok(Folder { path: path.into(), open: None, kept, _lock: lock })
    }

    fn fails(&self) -> io::Result<()> {
        self.kept.as_ref().map_or(Ok(()), Mirror::fails)
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
        self.fails()?;
        OpenOptions::new().append(true).create(true).open(self.path.join(name)).map(drop)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.fails()?;
        self.file(name)?.write_all(bytes)
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.fails()?;
        self.open = None;
        OpenOptions::new().write(true).open(self.path.join(name))?.set_len(length)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.fails()?;
        self.file(name)?.sync_data()?;
        self.kept.as_ref().map_or(Ok(()), |kept| kept.synced(&self.path, name))
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.fails()?;
        self.open = None;
        std::fs::rename(self.path.join(from), self.path.join(to))?;
        self.kept.iter_mut().for_each(|kept| kept.renamed.push((to.into(), from.into())));
        Ok(())
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.fails()?;
        self.open = None;
        std::fs::remove_file(self.path.join(name))
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.fails()?;
        File::open(&self.path)?.sync_all()?;
        self.kept.as_mut().map_or(Ok(()), |kept| kept.synced_names(&self.path))
    }
}

/// What a power loss would leave of a folder. A file that was never synced is not there; a name that was changed or
/// removed is still the old one until the folder is synced.
struct Mirror {
    path: PathBuf,
    /// Files that were renamed since, by their new and old names.
    renamed: Vec<(String, String)>,
}

impl Mirror {
    /// The second folder of the process, or of a test that has one without it.
    fn outer(&self) -> &Path {
        SYNCED_COPY.get().unwrap_or(&self.path)
    }

    fn fails(&self) -> io::Result<()> {
        match std::fs::read_to_string(self.outer().join("disk-state")) {
            Ok(state) if state == "full" => Err(io::ErrorKind::StorageFull.into()),
            Ok(_) => Err(io::Error::other("the disk fails")),
            Err(_) => Ok(()),
        }
    }

    fn synced(&self, from: &Path, name: &str) -> io::Result<()> {
        // Under the name that the disk still knows it by.
        let old = self.renamed.iter().rev().find(|(new, _)| new == name).map_or(name, |(_, old)| old);
        // Put in place whole, from outside the folder: a kill in the middle of writing it over would take away what earlier
        // syncs covered, which no power loss does.
        let own = BESIDE.fetch_add(1, Ordering::Relaxed);
        let beside = self.outer().with_extension(format!("beside-{own}"));
        std::fs::write(&beside, std::fs::read(from.join(name))?)?;
        std::fs::rename(beside, self.path.join(old))
    }

    fn synced_names(&mut self, from: &Path) -> io::Result<()> {
        for (new, old) in self.renamed.drain(..) {
            match std::fs::rename(self.path.join(old), self.path.join(new)) {
                Err(why) if why.kind() != io::ErrorKind::NotFound => return Err(why),
                _ => {}
            }
        }
        for entry in std::fs::read_dir(&self.path)? {
            let (name, is_folder) = named(entry?)?;
            if !is_folder && name != "disk-state" && !from.join(&name).exists() {
                std::fs::remove_file(self.path.join(&name))?;
            }
        }
        // A file that was made and never synced has a name and no bytes.
        for entry in std::fs::read_dir(from)? {
            let (name, is_folder) = named(entry?)?;
            if !is_folder && name != "lock" && !self.path.join(&name).exists() {
                File::create(self.path.join(&name))?;
            }
        }
        Ok(())
    }
}

fn named(entry: std::fs::DirEntry) -> io::Result<(std::ffi::OsString, bool)> {
    Ok((entry.file_name(), entry.file_type()?.is_dir()))
}
