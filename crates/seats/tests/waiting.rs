//! What waits for a record to be agreed on.
use harestage_seats::Waiting;

#[test]
fn effects_come_in_their_order_behind_their_records() {
    let waiting = Waiting::default();
    waiting.push("before");
    waiting.behind(b"one".to_vec());
    waiting.push("after one");
    waiting.behind(b"two".to_vec());
    waiting.push("after two");
    assert_eq!((waiting.next(), waiting.next()), (Some("before"), None));
    waiting.agreed(b"two");
    assert_eq!(waiting.next(), None, "not before the one ahead of it");
    waiting.agreed(b"one");
    assert_eq!((waiting.next(), waiting.next()), (Some("after one"), None));
    waiting.agreed(b"two");
    assert_eq!((waiting.next(), waiting.is_empty()), (Some("after two"), true));
    waiting.behind(b"three".to_vec());
    waiting.clear();
    assert!(waiting.is_empty());
}
