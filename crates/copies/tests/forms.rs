//! Records of copies and their bytes.
use harestage_copies::record::{Marks, Record};
use harestage_copies::shelf::{Meta, Place};

#[test]
fn records_come_back_and_what_is_cut_does_not() {
    let meta = Meta { key: (7, 2), digest: b"ab12".to_vec(), dated_us: 99, group: Some(5), rank: 3 };
    let place = Place { file: 4, at: 1 << 40, length: 2_000, sum: u128::MAX - 3 };
    let marks = Marks { purges: 17, seen_ms: 12, lasted: 0.25, fetched: 0.5 };
    let none = Meta { group: None, digest: Vec::new(), ..meta.clone() };
    let all =
        [Record::Put(meta, place), Record::Put(none, place), Record::Gone((1, 0)), Record::Marks(marks)];
    let mut bytes = Vec::new();
    all.iter().for_each(|record| record.write(&mut bytes));
    let mut rest = bytes.as_slice();
    let read: Vec<Record> = std::iter::from_fn(|| Record::read(&mut rest)).collect();
    assert!(rest.is_empty() && read == all);
    let mut one = Vec::new();
    all[0].write(&mut one);
    for cut in 0..one.len() {
        assert_eq!(Record::read(&mut &one[..cut]), None, "cut at {cut}");
    }
}
