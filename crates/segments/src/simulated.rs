//! A disk that fails in every way that a disk may, for tests of whoever keeps a log: it dies after a step, is full, fails
//! a sync, and after a crash has lost of what was not synced whatever chance takes, names and removals among it.
use crate::Files;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;

#[derive(Clone, Default)]
struct File {
    kept: Vec<u8>,
    /// What was written since the last sync, as it is read back while the program runs.
    now: Vec<u8>,
}

/// A disk of the mind.
#[derive(Clone, Default)]
pub struct SimulatedDisk {
    files: BTreeMap<String, File>,
    /// Names as they would be after a crash.
    named: BTreeMap<String, String>,
    /// The name that each file was made under: a rename changes names, not files.
    names: BTreeMap<String, String>,
    made: u64,
    /// Writes, syncs and changes of names so far.
    steps: u64,
    /// After so many steps everything fails: the power is gone.
    dies_at: u64,
    /// Bytes that it still takes.
    room: usize,
    /// The step at which a sync fails.
    sync_fails_at: u64,
}

impl SimulatedDisk {
    /// One that never fails.
    pub fn new() -> SimulatedDisk {
        SimulatedDisk {
            dies_at: u64::MAX,
            room: usize::MAX,
            sync_fails_at: u64::MAX,
            ..SimulatedDisk::default()
        }
    }

    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        if self.steps > self.dies_at { Err(io::Error::other("no power")) } else { Ok(()) }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let id = self.names.get(name).ok_or(io::ErrorKind::NotFound)?.clone();
        self.files.get_mut(&id).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// It dies after so many steps, counted from now.
    pub fn losing_power_after(self, after: u64) -> SimulatedDisk {
        SimulatedDisk { dies_at: after, steps: 0, ..self }
    }

    /// Its sync fails at that step, counted from its beginning.
    pub fn failing_sync_at(self, at: u64) -> SimulatedDisk {
        SimulatedDisk { sync_fails_at: at, ..self }
    }

    /// It takes so many bytes more.
    pub fn with_free_bytes(self, room: usize) -> SimulatedDisk {
        SimulatedDisk { room, ..self }
    }

    /// Turns bits of a byte over.
    pub fn flip_bits(&mut self, name: &str, at: usize, bits: u8) -> io::Result<()> {
        let file = self.file(name)?;
        file.now.get_mut(at).map(|byte| *byte ^= bits).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// What the next program finds: synced bytes, and of the others as much as chance keeps.
    pub fn after_crash(&self, seed: u64) -> SimulatedDisk {
        let mut next = SimulatedDisk::new();
        let chance = |what: &str| {
            let mut hasher = DefaultHasher::new();
            (seed, what).hash(&mut hasher);
            hasher.finish()
        };
        // Each name is as it was synced, or as it was last, by chance of its own.
        let all: BTreeSet<&String> = self.named.keys().chain(self.names.keys()).collect();
        for name in all {
            let late = chance(name) % 2 == 0;
            let id = if late { self.names.get(name) } else { self.named.get(name) };
            let Some(file) = id.and_then(|id| self.files.get(id)) else { continue };
            let mut bytes = file.kept.clone();
            if file.now.len() > bytes.len() {
                let more = file.now.len() - bytes.len();
                let keep = chance(&format!("{name} bytes")) as usize % (more + 1);
                bytes.extend(&file.now[file.kept.len()..file.kept.len() + keep]);
                // The last bytes may be garbage.
                if keep > 0 && chance(&format!("{name} garbage")) % 3 == 0 {
                    let at = bytes.len() - 1;
                    bytes[at] ^= 0x5a;
                }
            } else if file.now.len() < bytes.len() && late {
                bytes.truncate(file.now.len());
            }
            next.made += 1;
            let id = format!("f{}", next.made);
            next.files.insert(id.clone(), File { kept: bytes.clone(), now: bytes });
            next.names.insert(name.clone(), id.clone());
            next.named.insert(name.clone(), id);
        }
        next
    }
}

impl Files for SimulatedDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let id = self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(self.files[id].now.clone())
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        if !self.names.contains_key(name) {
            self.made += 1;
            let id = format!("f{}", self.made);
            self.files.insert(id.clone(), File::default());
            self.names.insert(name.into(), id);
        }
        Ok(())
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        let room = self.room;
        self.room = room.saturating_sub(bytes.len());
        let fits = bytes.len().min(room);
        self.file(name)?.now.extend(&bytes[..fits]);
        if fits < bytes.len() { Err(io::Error::other("no space left")) } else { Ok(()) }
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        self.file(name)?.now.truncate(length as usize);
        Ok(())
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        if self.steps == self.sync_fails_at {
            return Err(io::Error::other("sync failed"));
        }
        let file = self.file(name)?;
        file.kept = file.now.clone();
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let id = self.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.names.insert(to.into(), id);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.names.remove(name);
        Ok(())
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
        self.named = self.names.clone();
        Ok(())
    }
}
