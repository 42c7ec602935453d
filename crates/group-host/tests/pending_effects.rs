//! What waits for a record to be agreed on.
use harestage_group_host::PendingEffects;

#[test]
fn effects_come_in_their_order_behind_their_records() {
    let waiting = PendingEffects::default();
    waiting.push_effect("before");
    waiting.push_entry(b"one".to_vec());
    waiting.push_effect("after one");
    waiting.push_entry(b"two".to_vec());
    waiting.push_effect("after two");
    assert_eq!((waiting.pop_ready(), waiting.pop_ready()), (Some("before"), None));
    waiting.on_committed(b"two");
    assert_eq!(waiting.pop_ready(), None, "not before the one ahead of it");
    waiting.on_committed(b"one");
    assert_eq!((waiting.pop_ready(), waiting.pop_ready()), (Some("after one"), None));
    waiting.on_committed(b"two");
    assert_eq!((waiting.pop_ready(), waiting.is_empty()), (Some("after two"), true));
    waiting.push_entry(b"three".to_vec());
    waiting.clear();
    assert!(waiting.is_empty());
}

/// Something new always waits: whoever waits for what was wanted before hears of it all the same; and what was thrown away
/// counts as nothing that was agreed on.
#[test]
fn what_waited_at_a_mark_is_past_whatever_has_come_since() {
    let waiting: PendingEffects<u32> = PendingEffects::default();
    waiting.push_entry(b"one".to_vec());
    waiting.push_effect(1);
    let mark = waiting.position();
    waiting.push_entry(b"two".to_vec());
    assert_eq!(waiting.is_completed(mark), Some(false));
    waiting.on_committed(b"one");
    assert_eq!(waiting.is_completed(mark), Some(false), "the effect is not done yet");
    assert_eq!(waiting.pop_ready(), Some(1));
    assert_eq!((waiting.is_completed(mark), waiting.is_empty()), (Some(true), false));
    let late = waiting.position();
    waiting.clear();
    assert_eq!((waiting.is_completed(late), waiting.is_completed(waiting.position())), (None, Some(true)));
}
