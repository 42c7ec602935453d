//! Crashes of the store at every step of a run, on a disk that loses a random part of what was not synced. Copies that were
//! flushed and not removed are there with their own bytes, removed ones stay away, and no other bytes are ever served.
use harestage_copies::disk::{CopiesError, DiskStore};
use harestage_copies::index::{CopyKey, CopyMetadata};
use harestage_copies::record::Checkpoint;
use harestage_segments::simulated::SimulatedDisk;
use std::collections::BTreeMap;

fn body(key: CopyKey, version: u64) -> Vec<u8> {
    let seed = key.0 * 31 + u64::from(key.1) * 7 + version;
    (0..20 + seed % 60).map(|n| (seed.wrapping_mul(n + 3) >> 3) as u8).collect()
}

fn metadata(key: CopyKey, version: u64, rank: u8) -> CopyMetadata {
    CopyMetadata {
        key,
        digest: format!("v{version}").into_bytes(),
        dated_us: version * 1_000,
        group: Some(key.0 as u32 % 4),
        rank,
    }
}

/// What the store has reported as durable, and what may or may not be.
#[derive(Clone, Default)]
struct Expected {
    flushed: BTreeMap<CopyKey, u64>,
    /// Versions that were put (or removed: none) since the last flush.
    unflushed: Vec<(CopyKey, Option<u64>)>,
    purges: u64,
}

impl Expected {
    fn flush(&mut self) {
        for (key, version) in self.unflushed.drain(..) {
            match version {
                Some(version) => drop(self.flushed.insert(key, version)),
                None => drop(self.flushed.remove(&key)),
            }
        }
    }
}

type Folders = (SimulatedDisk, SimulatedDisk);

/// Puts, removes, sets checkpoints and compacts until the disk fails or all steps are done.
fn run_steps(folders: Folders, steps: u64, capacity: u64) -> (Option<Folders>, Expected) {
    let mut expected = Expected::default();
    let Ok((mut store, _)) = DiskStore::open(folders.0, folders.1, capacity) else { return (None, expected) };
    for step in 0..steps {
        let key = (step * 7 % 23, 0);
        let done = match step % 9 {
            8 => {
                store.remove(key);
                expected.unflushed.push((key, None));
                Ok(())
            }
            _ => {
                let before: Vec<CopyKey> =
                    store.copies().in_eviction_order().map(|(metadata, _)| metadata.key).collect();
                match store.put(metadata(key, step, 1 + (step % 3) as u8), &body(key, step)) {
                    Ok(stored) => {
                        for evicted in before.into_iter().filter(|k| store.copies().get(*k).is_none()) {
                            expected.unflushed.push((evicted, None));
                        }
                        if stored {
                            expected.unflushed.push((key, Some(step)));
                        }
                        Ok(())
                    }
                    Err(error) => Err(error),
                }
            }
        };
        store.set_checkpoint(Checkpoint { applied_purge: step / 5, ..Checkpoint::default() });
        let flushed = if step % 4 == 3 { store.flush() } else { Ok(()) };
        if step % 4 == 3 && flushed.is_ok() {
            expected.flush();
            expected.purges = step / 5;
        }
        let compacted =
            if step % 11 == 10 && flushed.is_ok() { store.compact_step().map(drop) } else { Ok(()) };
        if done.and(flushed).and(compacted).is_err() {
            break;
        }
    }
    (Some(store.into_files()), expected)
}

fn check(folders: Folders, expected: &Expected, capacity: u64, context: &str) -> Folders {
    let (mut store, found) =
        DiskStore::open(folders.0, folders.1, capacity).unwrap_or_else(|error| panic!("{context}: {error}"));
    assert!(found.checkpoint.applied_purge >= expected.purges, "{context}");
    let unflushed: BTreeMap<CopyKey, Vec<Option<u64>>> =
        expected.unflushed.iter().fold(BTreeMap::new(), |mut all, (key, version)| {
            all.entry(*key).or_insert_with(Vec::new).push(*version);
            all
        });
    let keys: Vec<CopyKey> = store.copies().in_eviction_order().map(|(metadata, _)| metadata.key).collect();
    for key in (0..23).map(|n| (n, 0)) {
        let read = store.read_copy(key);
        let version = read.as_ref().map(|(metadata, _)| metadata.dated_us / 1_000);
        if let Some((metadata, bytes)) = &read {
            assert_eq!(
                bytes.as_ref(),
                body(key, metadata.dated_us / 1_000),
                "{context}: {key:?} has other bytes"
            );
        }
        let allowed: Vec<Option<u64>> = std::iter::once(expected.flushed.get(&key).copied())
            .chain(unflushed.get(&key).cloned().unwrap_or_default())
            .collect();
        assert!(allowed.contains(&version), "{context}: {key:?} is {version:?}, allowed are {allowed:?}");
    }
    assert!(keys.len() <= 23);
    store.into_files()
}

#[test]
fn flushed_copies_are_recovered_after_a_crash_at_every_step() {
    const CAPACITY: u64 = 3_000;
    let disks = run_steps((SimulatedDisk::new(), SimulatedDisk::new()), 120, CAPACITY).0.unwrap();
    let (bodies, index) = (disks.0.steps(), disks.1.steps());
    let mut tried = 0;
    for step in 1..=bodies.max(index) {
        for seed in 0..5 {
            // The power fails in one of the two folders first.
            for (first, second) in [(step, u64::MAX), (u64::MAX, step)] {
                let folders = (
                    SimulatedDisk::new().losing_power_after(first),
                    SimulatedDisk::new().losing_power_after(second),
                );
                let (folders, expected) = run_steps(folders, 120, CAPACITY);
                let Some((bodies, index)) = folders else { continue };
                let context = format!(
                    "power lost at {step} of {}, seed {seed}",
                    if first == step { "bodies" } else { "index" }
                );
                let after = check(
                    (bodies.after_crash(seed), index.after_crash(seed + 1)),
                    &expected,
                    CAPACITY,
                    &context,
                );
                // Crashes again right after recovery.
                check((after.0.after_crash(seed), after.1.after_crash(seed)), &expected, CAPACITY, &context);
                tried += 1;
            }
        }
    }
    assert!(tried > 500, "{tried}");
}

#[test]
fn a_corrupt_byte_is_detected_before_it_is_served() {
    let (folders, expected) = run_steps((SimulatedDisk::new(), SimulatedDisk::new()), 60, 100_000);
    let (mut bodies, index) = folders.unwrap();
    // Spread over the whole file, since much of it belongs to replaced copies.
    let flipped =
        (0..10_000).step_by(97).filter(|at| bodies.flip_bits("bodies-000000000001", *at, 0x10).is_ok());
    assert!(flipped.count() > 10);
    let (mut store, _) = DiskStore::open(bodies, index, 100_000).unwrap();
    let before = store.copies().len();
    let (mut intact, mut corrupt) = (0, 0);
    for key in expected.flushed.keys() {
        match store.read_copy(*key) {
            Some((metadata, bytes)) => {
                assert_eq!(bytes.as_ref(), body(*key, metadata.dated_us / 1_000));
                intact += 1;
            }
            None => corrupt += 1,
        }
    }
    assert!(corrupt >= 1 && intact + corrupt == expected.flushed.len(), "{intact} intact, {corrupt} corrupt");
    assert_eq!(store.copies().len(), before - corrupt, "corrupt copies are removed");
}

#[test]
fn after_a_full_disk_or_a_failed_sync_nothing_is_stored_and_nothing_is_lost() {
    for free_bytes in (300..4_000).step_by(211) {
        let folders = (
            SimulatedDisk::new().with_free_bytes(free_bytes),
            SimulatedDisk::new().with_free_bytes(free_bytes * 2),
        );
        let (folders, expected) = run_steps(folders, 80, 50_000);
        let Some((bodies, index)) = folders else { continue };
        let emptied = (bodies.with_free_bytes(usize::MAX), index.with_free_bytes(usize::MAX));
        check(emptied, &expected, 50_000, &format!("{free_bytes} free bytes"));
    }
    let mut failures = 0;
    for at in 5..25 {
        let opened = DiskStore::open(SimulatedDisk::new(), SimulatedDisk::new().failing_sync_at(at), 50_000);
        let Ok((mut store, _)) = opened else { continue };
        let mut failed = false;
        for n in 0..30 {
            let put = store.put(metadata((n, 0), n, 1), &body((n, 0), n));
            failed |= put.and_then(|_| store.flush()).is_err();
        }
        if failed {
            failures += 1;
            assert!(
                matches!(store.flush(), Err(CopiesError::Failed)),
                "a later successful sync proves nothing"
            );
        }
    }
    assert!(failures >= 5, "{failures} syncs failed");
}

/// Guards against memory without a bound: copies for a disk that had failed were collected for a flush that never came.
#[test]
fn a_disk_that_has_failed_takes_no_more_copies() {
    let folders = (SimulatedDisk::new().with_free_bytes(100), SimulatedDisk::new());
    let (mut store, _) = DiskStore::open(folders.0, folders.1, 50_000).unwrap();
    store.put(metadata((1, 0), 1, 1), &[1; 200]).unwrap();
    assert!(store.flush().is_err(), "the disk is full");
    let put = store.put(metadata((2, 0), 1, 1), &[2; 20]);
    assert!(matches!(put, Err(CopiesError::Failed)), "{put:?}");
    assert!(store.copies().get((2, 0)).is_none());
}

#[test]
fn the_lowest_rank_and_least_recently_used_is_evicted_first_and_files_are_compacted() {
    let (mut store, _) = DiskStore::open(SimulatedDisk::new(), SimulatedDisk::new(), 20_000).unwrap();
    for n in 0..100u64 {
        store.put(metadata((n, 0), n, if n % 10 == 0 { 3 } else { 1 }), &[n as u8; 300]).unwrap();
    }
    let stored: Vec<u64> = (0..100).filter(|n| store.copies().get((*n, 0)).is_some()).collect();
    assert!((0..100).step_by(10).all(|n| stored.contains(&n)), "copies of a high rank stay: {stored:?}");
    assert!(stored.contains(&99) && !stored.contains(&1));
    assert!(!store.put(metadata((500, 0), 1, 0), &[0; 30_000]).unwrap(), "it exceeds the capacity");
    // Many copies are put and replaced; the files stay within bounds.
    for n in 0..200_000u64 {
        store.put(metadata((n % 40, 1), n, 2), &[n as u8; 400]).unwrap();
        if n % 50 == 49 {
            store.flush().unwrap();
            while store.compact_step().unwrap() {}
        }
    }
    let written = store.written();
    let amplification = written.total as f64 / written.copies as f64;
    assert!(amplification < 2.0, "{amplification}");
    let (bodies, _) = store.into_files();
    use harestage_segments::Files;
    let bytes: u64 = bodies.list().unwrap().iter().map(|name| bodies.length(name).unwrap()).sum();
    assert!(bytes < 30 << 20, "{bytes} bytes on disk for 20,000 live bytes");
}
