//! Records of copies and their bytes.
use harestage_copies::index::{CopyMetadata, Location};
use harestage_copies::record::{Checkpoint, Record};

#[test]
fn records_come_back_and_what_is_cut_does_not() {
    let meta = CopyMetadata { key: (7, 2), digest: b"ab12".to_vec(), dated_us: 99, group: Some(5), rank: 3 };
    let place = Location { file: 4, offset: 1 << 40, length: 2_000, checksum: u128::MAX - 3 };
    let marks = Checkpoint { applied_purge: 17, latest_clock_ms: 12, fill_seconds: 0.25, fetch_seconds: 0.5 };
    let none = CopyMetadata { group: None, digest: Vec::new(), ..meta.clone() };
    let all = [
        Record::Put(meta, place),
        Record::Put(none, place),
        Record::Removed((1, 0)),
        Record::Checkpoint(marks),
    ];
    let mut bytes = Vec::new();
    all.iter().for_each(|record| record.encode(&mut bytes));
    let mut rest = bytes.as_slice();
    let read: Vec<Record> = std::iter::from_fn(|| Record::decode(&mut rest)).collect();
    assert!(rest.is_empty() && read == all);
    let mut one = Vec::new();
    all[0].encode(&mut one);
    for cut in 0..one.len() {
        assert_eq!(Record::decode(&mut &one[..cut]), None, "cut at {cut}");
    }
}
