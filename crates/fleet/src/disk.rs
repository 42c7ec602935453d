//! A process's disk, which is a folder. Where a kill takes what was not synced, the program keeps a second folder beside
//! it that gets what each sync covers (`harestage_segments::Folder::open_mirrored`), and after the kill the first is laid
//! anew from the second. A file in that second folder says that the disk takes nothing more.
use std::io;
use std::path::{Path, PathBuf};

/// The name of that file, and what it may hold.
pub const STATE: &str = "disk-state";
pub const FULL: &str = "full";
pub const FAILING: &str = "failing";

#[derive(Clone, Debug)]
pub struct Disk {
    pub path: PathBuf,
    /// What syncs have covered. None: all that was written stays.
    pub kept: Option<PathBuf>,
}

impl Disk {
    pub fn under(folder: &Path, forgets_unsynced: bool) -> io::Result<Disk> {
        let path = folder.join("disk");
        let kept = forgets_unsynced.then(|| folder.join("kept"));
        for folder in std::iter::once(&path).chain(&kept) {
            std::fs::create_dir_all(folder)?;
        }
        Ok(Disk { path, kept })
    }

    /// What a power loss leaves; true: something was lost.
    pub fn fall_back(&self) -> io::Result<bool> {
        let Some(kept) = &self.kept else { return Ok(false) };
        let lost = contents(&self.path)? != contents(kept)?;
        copy(kept, &self.path)?;
        Ok(lost)
    }

    pub fn lose(&self) -> io::Result<()> {
        for folder in std::iter::once(&self.path).chain(&self.kept) {
            std::fs::remove_dir_all(folder)?;
            std::fs::create_dir_all(folder)?;
        }
        Ok(())
    }

    /// An earlier state of the disk, to be put back later: a machine that comes up with an old one.
    pub fn save(&self, to: &Path) -> io::Result<()> {
        copy(&self.path, to)
    }

    pub fn put_back(&self, from: &Path) -> io::Result<()> {
        for folder in std::iter::once(&self.path).chain(&self.kept) {
            copy(from, folder)?;
        }
        Ok(())
    }

    /// None: it is well again.
    pub fn set_state(&self, state: Option<&str>) -> io::Result<()> {
        let Some(kept) = &self.kept else {
            return Err(io::Error::other("forgets_unsynced has to be set for its disk to fail"));
        };
        match state {
            Some(state) => std::fs::write(kept.join(STATE), state),
            None => match std::fs::remove_file(kept.join(STATE)) {
                Err(why) if why.kind() == io::ErrorKind::NotFound => Ok(()),
                other => other,
            },
        }
    }
}

/// Names and bytes of a folder, those of folders in it too, without what is no data of the process.
fn contents(folder: &Path) -> io::Result<std::collections::BTreeMap<String, Vec<u8>>> {
    let mut files = std::collections::BTreeMap::new();
    for entry in std::fs::read_dir(folder)? {
        let (name, path) = {
            let entry = entry?;
            (entry.file_name().to_string_lossy().into_owned(), entry.path())
        };
        if path.is_dir() {
            let within = contents(&path)?.into_iter();
            files.extend(within.map(|(inner, bytes)| (format!("{name}/{inner}"), bytes)));
        } else if name != STATE && name != "lock" {
            files.insert(name, std::fs::read(path)?);
        }
    }
    Ok(files)
}

/// Makes one folder hold what another holds, and nothing else.
fn copy(from: &Path, to: &Path) -> io::Result<()> {
    let files = contents(from)?;
    std::fs::create_dir_all(to)?;
    for name in contents(to)?.keys().filter(|name| !files.contains_key(*name)) {
        std::fs::remove_file(to.join(name))?;
    }
    files.iter().try_for_each(|(name, bytes)| {
        let path = to.join(name);
        path.parent().map_or(Ok(()), std::fs::create_dir_all)?;
        std::fs::write(path, bytes)
    })
}
