//! The order in which pending effects are released by committed entries.
use harestage_group_host::PendingEffects;

#[test]
fn effects_are_released_in_order_after_their_entries() {
    let pending = PendingEffects::default();
    pending.push_effect("before");
    pending.push_entry(b"one".to_vec());
    pending.push_effect("after one");
    pending.push_entry(b"two".to_vec());
    pending.push_effect("after two");
    assert_eq!((pending.pop_ready(), pending.pop_ready()), (Some("before"), None));
    pending.on_committed(b"two");
    assert_eq!(pending.pop_ready(), None, "the entry before it is not committed");
    pending.on_committed(b"one");
    assert_eq!((pending.pop_ready(), pending.pop_ready()), (Some("after one"), None));
    pending.on_committed(b"two");
    assert_eq!((pending.pop_ready(), pending.is_empty()), (Some("after two"), true));
    pending.push_entry(b"three".to_vec());
    pending.clear();
    assert!(pending.is_empty());
}

/// Under load something is always pending. A task that waits for a position still has to be released, and a cleared queue
/// must not count as committed.
#[test]
fn a_position_is_completed_regardless_of_later_additions() {
    let pending: PendingEffects<u32> = PendingEffects::default();
    pending.push_entry(b"one".to_vec());
    pending.push_effect(1);
    let position = pending.position();
    pending.push_entry(b"two".to_vec());
    assert_eq!(pending.is_completed(position), Some(false));
    pending.on_committed(b"one");
    assert_eq!(pending.is_completed(position), Some(false), "the effect is not executed yet");
    assert_eq!(pending.pop_ready(), Some(1));
    assert_eq!((pending.is_completed(position), pending.is_empty()), (Some(true), false));
    let before_clear = pending.position();
    pending.clear();
    assert_eq!(
        (pending.is_completed(before_clear), pending.is_completed(pending.position())),
        (None, Some(true))
    );
}
