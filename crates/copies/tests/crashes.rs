//! Copies through crashes at every step of a run, on a disk that loses of what was not synced whatever chance takes: what
//! was flushed and not removed is there with its own bytes, what was removed stays away, and nothing else ever comes out.
use harestage_copies::disk::{CopiesError, DiskStore};
use harestage_copies::index::{CopyKey, CopyMetadata};
use harestage_copies::record::Checkpoint;
use harestage_segments::simulated::SimulatedDisk as Faulty;
use std::collections::BTreeMap;

fn body(key: CopyKey, version: u64) -> Vec<u8> {
    let seed = key.0 * 31 + u64::from(key.1) * 7 + version;
    (0..20 + seed % 60).map(|n| (seed.wrapping_mul(n + 3) >> 3) as u8).collect()
}

fn meta(key: CopyKey, version: u64, rank: u8) -> CopyMetadata {
    CopyMetadata {
        key,
        digest: format!("v{version}").into_bytes(),
        dated_us: version * 1_000,
        group: Some(key.0 as u32 % 4),
        rank,
    }
}

/// What the caller was told is on disk, and what may or may not be.
#[derive(Clone, Default)]
struct Told {
    flushed: BTreeMap<CopyKey, u64>,
    /// Versions that were put, or removed (none), since the last flush.
    open: Vec<(CopyKey, Option<u64>)>,
    purges: u64,
}

impl Told {
    fn flush(&mut self) {
        for (key, version) in self.open.drain(..) {
            match version {
                Some(version) => drop(self.flushed.insert(key, version)),
                None => drop(self.flushed.remove(&key)),
            }
        }
    }
}

type Folders = (Faulty, Faulty);

/// Puts, removes, marks and tidies until the disk fails or the work is done.
fn work(folders: Folders, steps: u64, room: u64) -> (Option<Folders>, Told) {
    let mut told = Told::default();
    let Ok((mut disk, _)) = DiskStore::open(folders.0, folders.1, room) else { return (None, told) };
    for step in 0..steps {
        let key = (step * 7 % 23, 0);
        let done = match step % 9 {
            8 => {
                disk.remove(key);
                told.open.push((key, None));
                Ok(())
            }
            _ => {
                let before: Vec<CopyKey> =
                    disk.copies().in_eviction_order().map(|(meta, _)| meta.key).collect();
                match disk.put(meta(key, step, 1 + (step % 3) as u8), &body(key, step)) {
                    Ok(kept) => {
                        for gone in before.into_iter().filter(|k| disk.copies().get(*k).is_none()) {
                            told.open.push((gone, None));
                        }
                        if kept {
                            told.open.push((key, Some(step)));
                        }
                        Ok(())
                    }
                    Err(why) => Err(why),
                }
            }
        };
        disk.set_checkpoint(Checkpoint { applied_purge: step / 5, ..Checkpoint::default() });
        let flushed = if step % 4 == 3 { disk.flush() } else { Ok(()) };
        if step % 4 == 3 && flushed.is_ok() {
            told.flush();
            told.purges = step / 5;
        }
        let tidied = if step % 11 == 10 && flushed.is_ok() { disk.compact_step().map(drop) } else { Ok(()) };
        if done.and(flushed).and(tidied).is_err() {
            break;
        }
    }
    (Some(disk.into_files()), told)
}

fn check(folders: Folders, told: &Told, room: u64, what: &str) -> Folders {
    let (mut disk, found) =
        DiskStore::open(folders.0, folders.1, room).unwrap_or_else(|why| panic!("{what}: {why}"));
    assert!(found.checkpoint.applied_purge >= told.purges, "{what}");
    let open: BTreeMap<CopyKey, Vec<Option<u64>>> =
        told.open.iter().fold(BTreeMap::new(), |mut all, (key, version)| {
            all.entry(*key).or_insert_with(Vec::new).push(*version);
            all
        });
    let keys: Vec<CopyKey> = disk.copies().in_eviction_order().map(|(meta, _)| meta.key).collect();
    for key in (0..23).map(|n| (n, 0)) {
        let read = disk.read_copy(key);
        let version = read.as_ref().map(|(meta, _)| meta.dated_us / 1_000);
        if let Some((meta, bytes)) = &read {
            assert_eq!(bytes.as_ref(), body(key, meta.dated_us / 1_000), "{what}: {key:?} has other bytes");
        }
        let may: Vec<Option<u64>> = std::iter::once(told.flushed.get(&key).copied())
            .chain(open.get(&key).cloned().unwrap_or_default())
            .collect();
        assert!(may.contains(&version), "{what}: {key:?} is {version:?}, and may be {may:?}");
    }
    assert!(keys.len() <= 23);
    disk.into_files()
}

#[test]
fn what_was_flushed_comes_back_after_a_crash_at_every_step() {
    const ROOM: u64 = 3_000;
    let whole = work((Faulty::new(), Faulty::new()), 120, ROOM).0.unwrap();
    let (bodies, index) = (whole.0.steps(), whole.1.steps());
    let mut tried = 0;
    for dies in 1..=bodies.max(index) {
        for seed in 0..5 {
            // The power goes for both folders; whichever comes to it first.
            for (first, second) in [(dies, u64::MAX), (u64::MAX, dies)] {
                let folders =
                    (Faulty::new().losing_power_after(first), Faulty::new().losing_power_after(second));
                let (folders, told) = work(folders, 120, ROOM);
                let Some((bodies, index)) = folders else { continue };
                let what = format!(
                    "died at {dies} of {}, seed {seed}",
                    if first == dies { "bodies" } else { "index" }
                );
                let after =
                    check((bodies.after_crash(seed), index.after_crash(seed + 1)), &told, ROOM, &what);
                // And again, without anything that was done in between.
                check((after.0.after_crash(seed), after.1.after_crash(seed)), &told, ROOM, &what);
                tried += 1;
            }
        }
    }
    assert!(tried > 500, "{tried}");
}

#[test]
fn a_byte_that_turned_over_is_found_before_it_goes_out() {
    let (folders, told) = work((Faulty::new(), Faulty::new()), 60, 100_000);
    let (mut bodies, index) = folders.unwrap();
    // All over the file, since much of it is of copies that were replaced.
    let flipped =
        (0..10_000).step_by(97).filter(|at| bodies.flip_bits("bodies-000000000001", *at, 0x10).is_ok());
    assert!(flipped.count() > 10);
    let (mut disk, _) = DiskStore::open(bodies, index, 100_000).unwrap();
    let before = disk.copies().len();
    let (mut good, mut bad) = (0, 0);
    for key in told.flushed.keys() {
        match disk.read_copy(*key) {
            Some((meta, bytes)) => {
                assert_eq!(bytes.as_ref(), body(*key, meta.dated_us / 1_000));
                good += 1;
            }
            None => bad += 1,
        }
    }
    assert!(bad >= 1 && good + bad == told.flushed.len(), "{good} good, {bad} bad");
    assert_eq!(disk.copies().len(), before - bad, "what is bad is dropped");
}

#[test]
fn a_full_disk_and_a_failed_sync_keep_nothing_more_and_lose_nothing() {
    for room in (300..4_000).step_by(211) {
        let folders = (Faulty::new().with_free_bytes(room), Faulty::new().with_free_bytes(room * 2));
        let (folders, told) = work(folders, 80, 50_000);
        let Some((bodies, index)) = folders else { continue };
        let roomy = (bodies.with_free_bytes(usize::MAX), index.with_free_bytes(usize::MAX));
        check(roomy, &told, 50_000, &format!("room {room}"));
    }
    let mut hit = 0;
    for at in 5..25 {
        let opened = DiskStore::open(Faulty::new(), Faulty::new().failing_sync_at(at), 50_000);
        let Ok((mut disk, _)) = opened else { continue };
        let mut failed = false;
        for n in 0..30 {
            let put = disk.put(meta((n, 0), n, 1), &body((n, 0), n));
            failed |= put.and_then(|_| disk.flush()).is_err();
        }
        if failed {
            hit += 1;
            assert!(
                matches!(disk.flush(), Err(CopiesError::Failed)),
                "a second sync that returns well proves nothing"
            );
        }
    }
    assert!(hit >= 5, "{hit} syncs failed");
}

#[test]
fn what_is_ranked_lowest_and_used_longest_ago_goes_first_and_files_are_written_anew() {
    let (mut disk, _) = DiskStore::open(Faulty::new(), Faulty::new(), 20_000).unwrap();
    for n in 0..100u64 {
        disk.put(meta((n, 0), n, if n % 10 == 0 { 3 } else { 1 }), &[n as u8; 300]).unwrap();
    }
    let kept: Vec<u64> = (0..100).filter(|n| disk.copies().get((*n, 0)).is_some()).collect();
    assert!((0..100).step_by(10).all(|n| kept.contains(&n)), "what is ranked high stays: {kept:?}");
    assert!(kept.contains(&99) && !kept.contains(&1));
    assert!(!disk.put(meta((500, 0), 1, 0), &[0; 30_000]).unwrap(), "no room for that");
    // Much is put and replaced: what is on disk stays within bounds.
    for n in 0..200_000u64 {
        disk.put(meta((n % 40, 1), n, 2), &[n as u8; 400]).unwrap();
        if n % 50 == 49 {
            disk.flush().unwrap();
            while disk.compact_step().unwrap() {}
        }
    }
    let written = disk.written();
    let amplification = written.total as f64 / written.copies as f64;
    assert!(amplification < 2.0, "{amplification}");
    let (bodies, _) = disk.into_files();
    use harestage_segments::Files;
    let bytes: u64 = bodies.list().unwrap().iter().map(|name| bodies.length(name).unwrap()).sum();
    assert!(bytes < 30 << 20, "{bytes} bytes on disk for 20,000 that live");
}
