//! What a hub remembers of the purges of the service, at the size that it is bounded by.
use bytes::Bytes;
use harestage::time::{Moment, Span};
use harestage_hub::store::{Copy, MOST_SCOPE_BYTES, MOST_SCOPES, Store};
use harestage_purge::index::Index;
use harestage_purge::scope::{CompiledScope, CopyAttributes};
use std::hash::{DefaultHasher, Hash, Hasher};

const DAY: Span = Span::millis(86_400_000);

fn drawn(seed: u64, counter: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (seed, counter).hash(&mut hasher);
    hasher.finish()
}

/// 12 a second, for a day and an hour: what was purged within a day is known to the moment, and nothing else is refused.
#[test]
fn a_day_of_purges_at_twelve_a_second_is_held_exactly() {
    let mut index = Index::new(MOST_SCOPES, DAY).with_max_bytes(MOST_SCOPE_BYTES);
    let begun = 1_000_000_000_000;
    let at = |n: u64| Moment::at_micros(begun + n * 1_000_000 / 12);
    let many = 12 * 3_600 * 25;
    for n in 0..many {
        index.insert(&CompiledScope::Object(drawn(1, n)), at(n), at(n));
    }
    // The wheel drops by whole seconds, so that up to one second more than a day stays.
    assert!((MOST_SCOPES - 12..=MOST_SCOPES).contains(&index.entry_count()), "{} live", index.entry_count());
    assert_eq!((index.total_folds(), index.folded_coverage()), (0, 0.0));
    assert!(index.estimated_bytes() <= MOST_SCOPE_BYTES, "{} bytes", index.estimated_bytes());
    let told = |object| {
        index.newest_purge(&CopyAttributes { object, part: 0, group: None, name: Some("x"), tags: None })
    };
    let first = many - MOST_SCOPES as u64 + 12;
    for n in (first..many).step_by(37) {
        assert_eq!(told(drawn(1, n)), Some(at(n)));
        assert_eq!(told(drawn(2, n)), None);
    }
    assert_eq!(told(drawn(1, first - 100)), None, "older than a day");
}

/// A hub that is told a day of purges at once, as after an hour away from a service that ran on.
#[test]
fn a_hub_told_a_day_of_purges_at_once_refuses_those_objects_and_no_others() {
    let mut store = Store::new(1 << 20);
    let now = Moment::at_micros(1_000_000_000_000);
    let empty = store.scope_bytes();
    let purged = now.before(Span::millis(1_000));
    for n in 0..MOST_SCOPES as u64 {
        store.purge_scope(&CompiledScope::Object(drawn(3, n)), purged, now);
    }
    assert!(store.scope_bytes() > empty && store.scope_bytes() <= MOST_SCOPE_BYTES);
    let copy = |dated| Copy { digest: "d".into(), dated, group: None, body: Bytes::from_static(b"x") };
    let before = purged.before(Span::millis(1));
    for n in (0..MOST_SCOPES as u64).step_by(10_007) {
        assert!(!store.put((drawn(3, n), 0), copy(purged), 1), "of the very moment");
        assert!(store.put((drawn(3, n), 0), copy(now), 1));
        assert!(store.put((drawn(4, n), 0), copy(before), 1), "not purged");
    }
}
