//! Encoding of index records.
use harestage_copies::index::{CopyMetadata, Location};
use harestage_copies::record::{Checkpoint, Record};

#[test]
fn records_are_decoded_and_truncated_ones_are_not() {
    let metadata =
        CopyMetadata { key: (7, 2), digest: b"ab12".to_vec(), dated_us: 99, group: Some(5), rank: 3 };
    let location = Location { file: 4, offset: 1 << 40, length: 2_000, checksum: u128::MAX - 3 };
    let checkpoint =
        Checkpoint { applied_purge: 17, latest_clock_ms: 12, fill_seconds: 0.25, fetch_seconds: 0.5 };
    let without_group = CopyMetadata { group: None, digest: Vec::new(), ..metadata.clone() };
    let all = [
        Record::Put(metadata, location),
        Record::Put(without_group, location),
        Record::Removed((1, 0)),
        Record::Checkpoint(checkpoint),
    ];
    let mut bytes = Vec::new();
    all.iter().for_each(|record| record.encode(&mut bytes));
    let mut rest = bytes.as_slice();
    let read: Vec<Record> = std::iter::from_fn(|| Record::decode(&mut rest)).collect();
    assert!(rest.is_empty() && read == all);
    let mut one = Vec::new();
    all[0].encode(&mut one);
    for length in 0..one.len() {
        assert_eq!(Record::decode(&mut &one[..length]), None, "truncated at {length}");
    }
}
