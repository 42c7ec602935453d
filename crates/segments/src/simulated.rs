//! A simulated disk for tests of code that writes logs. It can lose power after any step, run full or fail a sync. After a
//! crash a random part of what was not synced is lost, including created and removed names.
use crate::Files;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;

#[derive(Clone, Default)]
struct File {
    synced: Vec<u8>,
    /// Contents as the running program reads them, with writes that are not synced.
    current: Vec<u8>,
}

/// A disk in memory whose failures are set by the test.
#[derive(Clone, Default)]
pub struct SimulatedDisk {
    files: BTreeMap<String, File>,
    /// Names and ids of files when the folder was last synced.
    synced_names: BTreeMap<String, String>,
    /// Current names and ids of files: a rename changes the name, not the id.
    names: BTreeMap<String, String>,
    created: u64,
    /// Writes, syncs and name changes so far.
    steps: u64,
    /// After this step everything fails, as after a power loss.
    power_lost_at: u64,
    /// Bytes that can still be written.
    free_bytes: usize,
    /// The step at which a sync fails.
    sync_fails_at: u64,
}

impl SimulatedDisk {
    /// A disk that never fails.
    pub fn new() -> SimulatedDisk {
        SimulatedDisk {
            power_lost_at: u64::MAX,
            free_bytes: usize::MAX,
            sync_fails_at: u64::MAX,
            ..SimulatedDisk::default()
        }
    }

    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        if self.steps > self.power_lost_at { Err(io::Error::other("no power")) } else { Ok(()) }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let id = self.names.get(name).ok_or(io::ErrorKind::NotFound)?.clone();
        self.files.get_mut(&id).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Number of writes, syncs and name changes so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Loses power after that many more steps.
    pub fn losing_power_after(self, steps: u64) -> SimulatedDisk {
        SimulatedDisk { power_lost_at: steps, steps: 0, ..self }
    }

    /// Fails the sync at that step, counted from the creation of the disk.
    pub fn failing_sync_at(self, step: u64) -> SimulatedDisk {
        SimulatedDisk { sync_fails_at: step, ..self }
    }

    /// Accepts that many more bytes.
    pub fn with_free_bytes(self, free_bytes: usize) -> SimulatedDisk {
        SimulatedDisk { free_bytes, ..self }
    }

    /// Flips bits of one byte.
    pub fn flip_bits(&mut self, name: &str, at: usize, bits: u8) -> io::Result<()> {
        let file = self.file(name)?;
        file.current.get_mut(at).map(|byte| *byte ^= bits).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// The disk after a crash: all synced bytes, and a random part of the others.
    pub fn after_crash(&self, seed: u64) -> SimulatedDisk {
        let mut next = SimulatedDisk::new();
        let chance = |what: &str| {
            let mut hasher = DefaultHasher::new();
            (seed, what).hash(&mut hasher);
            hasher.finish()
        };
        // Each name is independently either its synced or its latest state.
        let all: BTreeSet<&String> = self.synced_names.keys().chain(self.names.keys()).collect();
        for name in all {
            let latest = chance(name) % 2 == 0;
            let id = if latest { self.names.get(name) } else { self.synced_names.get(name) };
            let Some(file) = id.and_then(|id| self.files.get(id)) else { continue };
            let mut bytes = file.synced.clone();
            if file.current.len() > bytes.len() {
                let more = file.current.len() - bytes.len();
                let surviving = chance(&format!("{name} bytes")) as usize % (more + 1);
                bytes.extend(&file.current[file.synced.len()..file.synced.len() + surviving]);
                // The last byte may be corrupted.
                if surviving > 0 && chance(&format!("{name} garbage")) % 3 == 0 {
                    let at = bytes.len() - 1;
                    bytes[at] ^= 0x5a;
                }
            } else if file.current.len() < bytes.len() && latest {
                bytes.truncate(file.current.len());
            }
            next.created += 1;
            let id = format!("f{}", next.created);
            next.files.insert(id.clone(), File { synced: bytes.clone(), current: bytes });
            next.names.insert(name.clone(), id.clone());
            next.synced_names.insert(name.clone(), id);
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
        Ok(self.files[id].current.clone())
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        if !self.names.contains_key(name) {
            self.created += 1;
            let id = format!("f{}", self.created);
            self.files.insert(id.clone(), File::default());
            self.names.insert(name.into(), id);
        }
        Ok(())
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        let free_bytes = self.free_bytes;
        self.free_bytes = free_bytes.saturating_sub(bytes.len());
        let fits = bytes.len().min(free_bytes);
        self.file(name)?.current.extend(&bytes[..fits]);
        if fits < bytes.len() { Err(io::Error::other("no space left")) } else { Ok(()) }
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        self.file(name)?.current.truncate(length as usize);
        Ok(())
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        if self.steps == self.sync_fails_at {
            return Err(io::Error::other("sync failed"));
        }
        let file = self.file(name)?;
        file.synced = file.current.clone();
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
        self.synced_names = self.names.clone();
        Ok(())
    }
}
