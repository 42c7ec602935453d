//! Storage of links: the log and the files, starting from each state that a crash can leave, and reports of damage.
use harestage::time::Moment;
use harestage_audit::chain::{Link, Outcome};
use harestage_audit::record::Recorder;
use harestage_audit::stamp::Versions;
use harestage_keeper::parquet_file;
use harestage_keeper::store::Store;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> TemporaryFolder {
        let path = std::env::temp_dir().join(format!("harestage-keeper-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        TemporaryFolder(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn links(member: &str, count: u64) -> Vec<Link> {
    let at = |ms: u64| Moment::at_micros(ms * 1_000);
    let versions = Versions { build: "1".into(), shape: 4, purge: 2, ..Versions::default() };
    let mut recorder = Recorder::new(member, 1, vec!["clip".into(), "page".into()], versions, None, at(0));
    let mut links = Vec::new();
    for second in 0..count {
        (0..7).for_each(|n| {
            recorder.download_ended(n % 2, Outcome::Fulfilled, second * 7 + n as u64, at(second * 1_000))
        });
        recorder.tick(at(second * 1_000 + 1_000));
        links.extend(recorder.pending_links());
        recorder.acknowledged(1, u64::MAX);
    }
    // The first link is that of the start.
    links.truncate(count as usize);
    links
}

fn hashes(links: &[Link]) -> BTreeSet<String> {
    links.iter().map(|link| link.hash.clone()).collect()
}

fn file_count(folder: &Path) -> usize {
    let names = std::fs::read_dir(folder.join("files")).unwrap().flatten();
    names.filter(|entry| entry.path().extension().is_some_and(|extension| extension == "parquet")).count()
}

#[test]
fn links_are_unchanged_after_a_round_trip_through_a_parquet_file() {
    let links = links("router-1", 40);
    let bytes = parquet_file::write(&links).unwrap();
    let (read, errors) = parquet_file::read("file", bytes);
    assert_eq!((read, errors), (links, Vec::new()));
    let (none, errors) = parquet_file::read("file", Vec::new());
    assert!(none.is_empty() && errors.len() == 1 && errors[0].row.is_none());
}

#[test]
fn synced_links_survive_a_restart_in_the_log_or_in_a_file() {
    let folder = TemporaryFolder::new("starts");
    let all = links("router-1", 60);
    let (mut store, stored) = Store::open(&folder.0).unwrap();
    assert!(stored.is_empty());
    store.append(&all[..20]).unwrap();
    store.sync().unwrap();
    drop(store);
    let (mut store, stored) = Store::open(&folder.0).unwrap();
    assert_eq!(hashes(&stored), hashes(&all[..20]));
    assert_eq!(store.roll(true).unwrap().as_deref(), Some("audit-00000001.parquet"));
    assert_eq!(store.roll(true).unwrap(), None, "there are no links to roll");
    store.append(&all[20..40]).unwrap();
    store.sync().unwrap();
    drop(store);
    let (mut store, stored) = Store::open(&folder.0).unwrap();
    assert_eq!((stored.len(), hashes(&stored)), (40, hashes(&all[..40])));
    store.append(&all[40..]).unwrap();
    store.roll(true).unwrap();
    assert_eq!(file_count(&folder.0), 2);
    drop(store);
    let (_, stored) = Store::open(&folder.0).unwrap();
    assert_eq!((stored.len(), hashes(&stored)), (60, hashes(&all)));
}

/// A crash between renaming the file and emptying the log leaves the links in both. They have to count once.
#[test]
fn links_in_both_the_log_and_a_file_count_once() {
    use harestage_audit::history::{History, LinkOutcome};
    use harestage_audit::obligations::Obligations;
    let folder = TemporaryFolder::new("both");
    let all = links("router-1", 12);
    let (mut store, _) = Store::open(&folder.0).unwrap();
    store.append(&all).unwrap();
    store.sync().unwrap();
    drop(store);
    let path = folder.0.join("files").join("audit-00000001.parquet");
    std::fs::write(path, parquet_file::write(&all).unwrap()).unwrap();
    let (_, stored) = Store::open(&folder.0).unwrap();
    assert_eq!(stored.len(), 24);
    let (mut history, obligations) = (History::default(), Obligations::default());
    let new_count = stored
        .iter()
        .filter(|link| history.add_link(link, &obligations, Moment::at_micros(1)) == LinkOutcome::New)
        .count();
    assert_eq!((new_count, history.summary().links, history.summary().gaps.len()), (12, 12, 0));
}

#[test]
fn a_damaged_file_is_reported_and_the_others_are_read() {
    let folder = TemporaryFolder::new("damaged");
    let all = links("router-1", 30);
    let (mut store, _) = Store::open(&folder.0).unwrap();
    for chunk in all.chunks(10) {
        store.append(chunk).unwrap();
        store.roll(true).unwrap();
    }
    drop(store);
    let path = folder.0.join("files").join("audit-00000002.parquet");
    let mut bytes = std::fs::read(&path).unwrap();
    let damaged = bytes.len() - 5;
    bytes[damaged] ^= 0x40;
    std::fs::write(&path, bytes).unwrap();
    let (mut store, stored) = Store::open(&folder.0).unwrap();
    assert!(
        store.read_errors.iter().any(|error| error.file == "audit-00000002.parquet"),
        "{:?}",
        store.read_errors
    );
    assert!(
        hashes(&stored).is_superset(&hashes(&all[..10])) && hashes(&stored).is_superset(&hashes(&all[20..]))
    );
    store.append(&links("router-2", 3)).unwrap();
    assert_eq!(
        store.roll(true).unwrap().as_deref(),
        Some("audit-00000004.parquet"),
        "no file name is reused"
    );
}
