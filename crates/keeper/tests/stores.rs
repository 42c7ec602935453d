//! Links on disk: files and log, a start in every state that a crash leaves, damage that is named.
use harestage::time::Moment;
use harestage_audit::chain::{Link, Outcome};
use harestage_audit::record::Recorder;
use harestage_audit::stamp::Versions;
use harestage_keeper::columns;
use harestage_keeper::store::Store;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Scratch {
        let path = std::env::temp_dir().join(format!("harestage-keeper-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Scratch(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn links(member: &str, many: u64) -> Vec<Link> {
    let at = |ms: u64| Moment::at_micros(ms * 1_000);
    let goes = Versions { build: "1".into(), shape: 4, purge: 2, ..Versions::default() };
    let mut recorder = Recorder::new(member, 1, vec!["clip".into(), "page".into()], goes, None, at(0));
    let mut links = Vec::new();
    for second in 0..many {
        (0..7).for_each(|n| {
            recorder.download_ended(n % 2, Outcome::Fulfilled, second * 7 + n as u64, at(second * 1_000))
        });
        recorder.tick(at(second * 1_000 + 1_000));
        links.extend(recorder.pending_links());
        recorder.acknowledged(1, u64::MAX);
    }
    // The first of them says that it began.
    links.truncate(many as usize);
    links
}

fn hashes(links: &[Link]) -> BTreeSet<String> {
    links.iter().map(|link| link.hash.clone()).collect()
}

fn files(folder: &Path) -> usize {
    let names = std::fs::read_dir(folder.join("files")).unwrap().flatten();
    names.filter(|entry| entry.path().extension().is_some_and(|end| end == "parquet")).count()
}

#[test]
fn links_come_back_from_their_columns_as_they_were() {
    let links = links("router-1", 40);
    let bytes = columns::write(&links).unwrap();
    let (read, wrong) = columns::read("file", bytes);
    assert_eq!((read, wrong), (links, Vec::new()));
    let (none, wrong) = columns::read("file", Vec::new());
    assert!(none.is_empty() && wrong.len() == 1 && wrong[0].row.is_none());
}

#[test]
fn what_was_synced_is_there_after_a_start_in_the_log_or_in_a_file() {
    let scratch = Scratch::new("starts");
    let all = links("router-1", 60);
    let (mut store, held) = Store::open(&scratch.0).unwrap();
    assert!(held.is_empty());
    store.append(&all[..20]).unwrap();
    store.sync().unwrap();
    drop(store);
    let (mut store, held) = Store::open(&scratch.0).unwrap();
    assert_eq!(hashes(&held), hashes(&all[..20]));
    assert_eq!(store.roll(true).unwrap().as_deref(), Some("audit-00000001.parquet"));
    assert_eq!(store.roll(true).unwrap(), None, "there is nothing to be rolled");
    store.append(&all[20..40]).unwrap();
    store.sync().unwrap();
    drop(store);
    let (mut store, held) = Store::open(&scratch.0).unwrap();
    assert_eq!((held.len(), hashes(&held)), (40, hashes(&all[..40])));
    store.append(&all[40..]).unwrap();
    store.roll(true).unwrap();
    assert_eq!(files(&scratch.0), 2);
    drop(store);
    let (_, held) = Store::open(&scratch.0).unwrap();
    assert_eq!((held.len(), hashes(&held)), (60, hashes(&all)));
}

/// A crash after the file has its name and before the log is shortened: the links are in both, and count once.
#[test]
fn links_that_are_in_the_log_and_in_a_file_count_once() {
    use harestage_audit::history::{History, LinkOutcome};
    use harestage_audit::obligations::Obligations;
    let scratch = Scratch::new("both");
    let all = links("router-1", 12);
    let (mut store, _) = Store::open(&scratch.0).unwrap();
    store.append(&all).unwrap();
    store.sync().unwrap();
    drop(store);
    let path = scratch.0.join("files").join("audit-00000001.parquet");
    std::fs::write(path, columns::write(&all).unwrap()).unwrap();
    let (_, held) = Store::open(&scratch.0).unwrap();
    assert_eq!(held.len(), 24);
    let (mut file, owed) = (History::default(), Obligations::default());
    let taken = held
        .iter()
        .filter(|link| file.add_link(link, &owed, Moment::at_micros(1)) == LinkOutcome::New)
        .count();
    assert_eq!((taken, file.summary().links, file.summary().gaps.len()), (12, 12, 0));
}

#[test]
fn a_file_that_is_damaged_is_named_and_the_others_are_read() {
    let scratch = Scratch::new("damaged");
    let all = links("router-1", 30);
    let (mut store, _) = Store::open(&scratch.0).unwrap();
    for piece in all.chunks(10) {
        store.append(piece).unwrap();
        store.roll(true).unwrap();
    }
    drop(store);
    let path = scratch.0.join("files").join("audit-00000002.parquet");
    let mut bytes = std::fs::read(&path).unwrap();
    let middle = bytes.len() - 5;
    bytes[middle] ^= 0x40;
    std::fs::write(&path, bytes).unwrap();
    let (mut store, held) = Store::open(&scratch.0).unwrap();
    assert!(store.wrong.iter().any(|wrong| wrong.file == "audit-00000002.parquet"), "{:?}", store.wrong);
    assert!(hashes(&held).is_superset(&hashes(&all[..10])) && hashes(&held).is_superset(&hashes(&all[20..])));
    store.append(&links("router-2", 3)).unwrap();
    assert_eq!(store.roll(true).unwrap().as_deref(), Some("audit-00000004.parquet"), "no name is used twice");
}
