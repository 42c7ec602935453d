//! What waits for the disk while copies are purged: what a restart finds is what the hub had ordered last.
use bytes::Bytes;
use harestage_copies::disk::DiskStore;
use harestage_copies::index::{CopyKey, CopyMetadata};
use harestage_copies::queue::{DiskQueue, Outcome};
use harestage_copies::record::Checkpoint;
use harestage_segments::simulated::SimulatedDisk;
use std::collections::BTreeMap;

type Store = DiskStore<SimulatedDisk>;

const CAPACITY: u64 = 100_000;

fn open() -> Store {
    DiskStore::open(SimulatedDisk::new(), SimulatedDisk::new(), CAPACITY).unwrap().0
}

fn metadata(key: CopyKey, version: u64) -> CopyMetadata {
    CopyMetadata { key, digest: b"digest".to_vec(), dated_us: version, group: None, rank: 1 }
}

fn body(version: u64) -> Bytes {
    Bytes::from(version.to_le_bytes().to_vec())
}

/// Carries out the next batch. False once the queue has nothing more.
fn step(queue: &mut DiskQueue, store: &mut Store) -> bool {
    let is_empty = queue.is_empty();
    !is_empty && queue.take().apply(store).unwrap() != Outcome::Closed
}

/// A planned stop and a start: the versions of all copies that are found, and the number of the last applied purge.
fn restart(mut queue: DiskQueue, mut store: Store) -> (BTreeMap<CopyKey, u64>, u64) {
    queue.close();
    while step(&mut queue, &mut store) {}
    store.close().unwrap();
    let (bodies, index) = store.into_files();
    let (mut store, found) = DiskStore::open(bodies, index, CAPACITY).unwrap();
    let keys: Vec<CopyKey> = store.copies().in_eviction_order().map(|(metadata, _)| metadata.key).collect();
    let versions = keys.into_iter().map(|key| (key, store.read_copy(key).unwrap().0.dated_us)).collect();
    (versions, found.checkpoint.applied_purge)
}

/// Guards against purged copies that a hub gives out after a planned stop and a start: they had waited for the disk.
#[test]
fn a_copy_that_waits_for_the_disk_when_it_is_purged_is_not_found_after_a_restart() {
    let (mut queue, mut store) = (DiskQueue::new(8), open());
    let (purged, kept, renewed) = ((1, 0), (2, 0), (3, 0));
    for key in [purged, kept, renewed] {
        assert!(queue.store(metadata(key, 1), body(1)));
    }
    queue.remove(vec![purged, renewed]);
    queue.set_checkpoint(Checkpoint { applied_purge: 7, ..Checkpoint::default() });
    assert!(queue.store(metadata(renewed, 2), body(2)), "fetched after the purge");
    assert!(step(&mut queue, &mut store));
    assert_eq!(restart(queue, store), (BTreeMap::from([(kept, 1), (renewed, 2)]), 7));
}

/// Orders by chance, a disk that follows slowly, and what a restart has to find.
#[test]
fn a_restart_finds_what_was_ordered_last_however_far_the_disk_is_behind() {
    for seed in 0..300u64 {
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut chance = |below: u64| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) % below
        };
        let (mut queue, mut store) = (DiskQueue::new(1_000), open());
        let mut expected = BTreeMap::new();
        for version in 1..=200 {
            let key = (chance(9), 0);
            match chance(6) {
                0..=2 => {
                    assert!(queue.store(metadata(key, version), body(version)));
                    expected.insert(key, version);
                }
                3 => {
                    queue.remove(vec![key]);
                    expected.remove(&key);
                }
                4 => {
                    step(&mut queue, &mut store);
                }
                _ => store.flush().unwrap(),
            }
        }
        assert_eq!(restart(queue, store).0, expected, "seed {seed}");
    }
}

/// Guards against a purged copy that comes back at the next start: the hub knew of a younger one only, which was not stored.
#[test]
fn a_copy_that_is_not_stored_leaves_no_older_one_behind() {
    let (mut queue, mut store) = (DiskQueue::new(1), open());
    let (refused, too_large, other) = ((1, 0), (2, 0), (3, 0));
    for key in [refused, too_large] {
        assert!(queue.store(metadata(key, 1), body(1)));
        assert!(step(&mut queue, &mut store));
    }
    assert!(queue.store(metadata(other, 1), body(1)));
    assert!(!queue.store(metadata(refused, 2), body(2)), "too much waits");
    while step(&mut queue, &mut store) {}
    let larger_than_the_disk = Bytes::from(vec![0; CAPACITY as usize + 1]);
    assert!(queue.store(metadata(too_large, 2), larger_than_the_disk));
    assert_eq!(restart(queue, store).0, BTreeMap::from([(other, 1)]));
}
