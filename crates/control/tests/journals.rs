//! The service's journal: cut at any byte, damaged, held by another.
use harestage_control::journal::{Journal, JournalError, line, read};
use harestage_shape::control::{Entry, Record};
use harestage_shape::run::Stage;

fn record(n: u64) -> Record {
    let stage = Stage::Out { step: n as usize, version: n + 1 };
    Record { term: 1, entry: if n == 0 { Entry::Opened } else { Entry::Stage(stage) } }
}

#[test]
fn a_journal_cut_at_any_byte_is_the_records_before_it() {
    let lines: Vec<Vec<u8>> = (0..6).map(|n| line(&record(n))).collect();
    let text = lines.concat();
    for cut in 0..=text.len() {
        let mut ends = 0;
        let whole = lines.iter().take_while(|line| {
            ends += line.len();
            ends <= cut
        });
        let whole = whole.count();
        let (records, good) = read(&text[..cut]).unwrap();
        assert_eq!(records, (0..whole as u64).map(record).collect::<Vec<_>>(), "cut at {cut}");
        assert_eq!(good, lines[..whole].iter().map(Vec::len).sum::<usize>());
    }
    for at in 0..lines[0].len() - 1 {
        let mut damaged = text.clone();
        damaged[at] ^= 1;
        assert_eq!(read(&damaged).err(), Some(1), "byte {at}");
    }
}

#[test]
fn a_journal_goes_on_after_a_cut_and_lets_one_service_in() {
    let path = std::env::temp_dir().join(format!("harestage-journal-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let (mut journal, records) = Journal::open(&path).unwrap();
    assert!(records.is_empty());
    (0..3).for_each(|n| journal.write(&record(n)).unwrap());
    assert!(matches!(Journal::open(&path), Err(JournalError::Held { .. })));
    drop(journal);
    let text = std::fs::read(&path).unwrap();
    std::fs::write(&path, &text[..text.len() - 5]).unwrap();
    let (mut journal, records) = Journal::open(&path).unwrap();
    assert_eq!(records, [record(0), record(1)]);
    journal.write(&record(2)).unwrap();
    drop(journal);
    assert_eq!(Journal::open(&path).unwrap().1, [record(0), record(1), record(2)]);
    std::fs::remove_file(&path).unwrap();
}
