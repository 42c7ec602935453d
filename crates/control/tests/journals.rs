//! The service's journal: what is taken over from its older form, what is kept of a long one, and who may hold it.
use harestage_control::journal;
use harestage_control::serve::Keeper;
use harestage_segments::{Folder, Log};
use harestage_shape::config::{ArchiveConfig, ShapeConfig};
use harestage_shape::control::{Entry, Record};
use harestage_shape::rollout::Transition;
use slog::{Discard, Logger, o};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

fn record(n: u64) -> Record {
    let stage = Transition::Published { step: n as usize, version: n + 1 };
    Record { term: 1, entry: if n == 0 { Entry::Opened } else { Entry::Transition(stage) } }
}

fn shape() -> Record {
    let archive = ArchiveConfig {
        name: "archive".into(),
        address: "127.0.0.1:2".into(),
        capacity: 1.0,
        stops_at: 2.0,
        stops_within_ms: 1_000,
    };
    let shape =
        ShapeConfig { version: 9, archive, hubs: Vec::new(), branches: Vec::new(), links: Vec::new() };
    Record { term: 1, entry: Entry::Shape(Box::new(shape)) }
}

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("harestage-journal-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn open(path: &std::path::Path) -> Result<Keeper, String> {
    Keeper::open(free(), path, None, Logger::root(Discard, o!()))
}

#[test]
fn a_long_journal_is_kept_from_its_last_shape_on() {
    let records: Vec<Record> = [record(0), shape(), record(1), shape(), record(7)].into();
    let data: Vec<Vec<u8>> = records.iter().map(journal::bytes).collect();
    assert_eq!(journal::records(&journal::shortened(data.clone())).unwrap(), records[3..]);
    assert_eq!(journal::records(&journal::shortened(data[..1].to_vec())).unwrap(), records[..1]);
    let broken = [data[0].clone(), b"{\"term\":1}".to_vec()];
    assert!(journal::records(&broken).unwrap_err().contains("record 1"));
}

/// A service that wrote its journal before it was a group goes on with it, once.
#[test]
fn an_older_journal_is_taken_over_whole() {
    let path = folder("old");
    let (mut log, _) = Log::open(Folder::open(&path).unwrap(), 1 << 20).unwrap();
    for record in [record(0), shape()] {
        log.append(&journal::bytes(&record)).unwrap();
    }
    log.sync().unwrap();
    let whole = serde_json::to_vec(&[shape()]).unwrap();
    log.snapshot(&whole).unwrap();
    log.append(&journal::bytes(&record(0))).unwrap();
    log.sync().unwrap();
    drop(log);
    for _ in 0..2 {
        drop(open(&path).unwrap());
        let (_, found) = Log::open(Folder::open(&path).unwrap(), 1 << 20).unwrap();
        let whole = found.snapshot.unwrap().bytes;
        assert_ne!(whole.first(), Some(&b'['), "it stands there in the new form");
    }
    std::fs::remove_dir_all(&path).unwrap();
}

#[test]
fn a_journal_lets_one_service_in_and_an_empty_one_needs_a_shape() {
    let path = folder("held");
    assert!(open(&path).err().unwrap().contains("no first shape"));
    let Entry::Shape(form) = shape().entry else { unreachable!() };
    let first = Keeper::open(free(), &path, Some(&form), Logger::root(Discard, o!())).unwrap();
    assert!(open(&path).err().unwrap().contains("another service holds it"));
    drop(first);
    std::fs::remove_dir_all(&path).unwrap();
}
