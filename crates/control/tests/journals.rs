//! The service's journal: what is kept after a cut, held by another, and written whole. Crashes at every step are tried
//! where the log is (`harestage_segments`).
use harestage_control::journal::{Journal, JournalError};
use harestage_shape::control::{Entry, Record};
use harestage_shape::form::{ArchiveForm, ShapeForm};
use harestage_shape::run::Stage;
use std::path::PathBuf;

fn record(n: u64) -> Record {
    let stage = Stage::Out { step: n as usize, version: n + 1 };
    Record { term: 1, entry: if n == 0 { Entry::Opened } else { Entry::Stage(stage) } }
}

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("harestage-journal-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

#[test]
fn a_journal_goes_on_after_a_cut_and_lets_one_service_in() {
    let path = folder("cut");
    let (mut journal, records) = Journal::open(&path).unwrap();
    assert!(records.is_empty());
    (0..3).for_each(|n| journal.write(&record(n)).unwrap());
    assert!(matches!(Journal::open(&path), Err(JournalError::Held { .. })));
    drop(journal);
    let file = path.join("log-0000000000000001");
    let bytes = std::fs::read(&file).unwrap();
    std::fs::write(&file, &bytes[..bytes.len() - 5]).unwrap();
    let (mut journal, records) = Journal::open(&path).unwrap();
    assert_eq!(records, [record(0), record(1)]);
    journal.write(&record(2)).unwrap();
    drop(journal);
    assert_eq!(Journal::open(&path).unwrap().1, [record(0), record(1), record(2)]);
    std::fs::remove_dir_all(&path).unwrap();
}

#[test]
fn a_long_journal_is_written_whole_from_its_last_shape_on() {
    let path = folder("whole");
    let archive = ArchiveForm {
        name: "archive".into(),
        address: "127.0.0.1:2".into(),
        capacity: 1.0,
        stops_at: 2.0,
        stops_within_ms: 1_000,
    };
    let shape = ShapeForm { version: 9, archive, hubs: Vec::new(), branches: Vec::new() };
    let shape = Record { term: 1, entry: Entry::Shape(Box::new(shape)) };
    let (mut journal, _) = Journal::open(&path).unwrap();
    (0..1_100).for_each(|n| journal.write(&record(n)).unwrap());
    journal.write(&shape).unwrap();
    journal.write(&record(7)).unwrap();
    drop(journal);
    for _ in 0..2 {
        let (_, records) = Journal::open(&path).unwrap();
        assert_eq!(records, [shape.clone(), record(7)]);
    }
    let (mut journal, _) = Journal::open(&path).unwrap();
    journal.write(&record(8)).unwrap();
    drop(journal);
    assert_eq!(Journal::open(&path).unwrap().1, [shape, record(7), record(8)]);
    std::fs::remove_dir_all(&path).unwrap();
}
