//! What a router's connection counts as having, by its words.
use harestage::time::Moment;
use harestage_branch::caller::{Caller, Ended, TAKES_LIST_WITHIN, TAKES_WITHIN};
use harestage_wire::feed::{AppliedPurges, MAX_ACK_BYTES};

fn at(ms: u64) -> Moment {
    Moment::at_micros(ms * 1_000)
}

fn told(caller: &mut Caller, place: u64, marks: &[u64], ms: u64) {
    caller.was_sent(place, marks.iter().copied(), at(ms)).unwrap();
}

/// One that knows the word, and has taken its list.
fn brought_up() -> Caller {
    let mut caller = Caller::new(Some(AppliedPurges::default()), 10);
    told(&mut caller, 10, &[7], 0);
    caller.says(b"HAS 7", at(1)).unwrap();
    caller
}

#[test]
fn who_knows_the_word_has_a_purge_by_its_word_and_not_by_what_was_written() {
    let mut caller = brought_up();
    assert_eq!((caller.has(), caller.is_waited_for(10, 7)), (Some(7), false));
    told(&mut caller, 12, &[8, 9], 100);
    assert!(caller.is_waited_for(12, 9), "it was written, and not said");
    caller.says(b"HAS 8", at(110)).unwrap();
    assert!(caller.is_waited_for(12, 9) && !caller.is_waited_for(11, 8));
    caller.says(b"HAS 9", at(120)).unwrap();
    assert!(!caller.is_waited_for(12, 9));
    // The newest stands for those before it.
    told(&mut caller, 20, &[10, 11, 12], 200);
    caller.says(b"HAS 12", at(210)).unwrap();
    assert!(!caller.is_waited_for(20, 12) && !caller.is_late(at(9_000)));
}

#[test]
fn who_has_not_spoken_counts_by_what_was_written_until_it_speaks() {
    let mut old = Caller::new(None, 10);
    told(&mut old, 10, &[7], 0);
    assert!(old.is_waited_for(11, 8), "the purge was not written yet");
    told(&mut old, 11, &[8], 10);
    assert!(!old.is_waited_for(11, 8) && !old.is_late(at(60_000)));
    assert_eq!(old.has(), None);
    // It knew the word, and was slow to say so: from here on its words count, and nothing else.
    old.says(b"HAS 3 at 5 keeps 6000", at(400)).unwrap();
    told(&mut old, 12, &[9], 410);
    assert_eq!(old.has(), None);
    old.says(b"HAS 8", at(420)).unwrap();
    assert!(old.is_waited_for(12, 9));
    old.says(b"HAS 9", at(430)).unwrap();
    assert_eq!(old.has(), Some(9));
}

#[test]
fn a_list_that_is_being_taken_holds_no_purge_up_and_ends_in_time() {
    let mut caller = Caller::new(Some(AppliedPurges::default()), 10);
    told(&mut caller, 10, &[7], 0);
    told(&mut caller, 11, &[8], 50);
    assert!(!caller.is_waited_for(11, 8) && caller.has().is_none());
    assert!(!caller.is_late(at(0) + TAKES_LIST_WITHIN));
    assert!(caller.is_late(at(1) + TAKES_LIST_WITHIN));
    caller.says(b"HAS 7", at(60)).unwrap();
    assert!(caller.is_waited_for(11, 8), "the list is not all that it was told by now");
}

#[test]
fn who_does_not_answer_in_time_is_late() {
    let mut caller = brought_up();
    assert!(!caller.is_late(at(60_000)), "nothing is open");
    told(&mut caller, 11, &[8], 1_000);
    told(&mut caller, 12, &[9], 1_100);
    assert!(!caller.is_late(at(1_000) + TAKES_WITHIN));
    assert!(caller.is_late(at(1_001) + TAKES_WITHIN));
    caller.says(b"HAS 8", at(1_160)).unwrap();
    assert!(!caller.is_late(at(1_100) + TAKES_WITHIN) && caller.is_late(at(1_101) + TAKES_WITHIN));
    // Without end, too: what is open is bounded.
    let mut silent = brought_up();
    let ended = (8..10_000).find_map(|n| silent.was_sent(n, std::iter::once(n), at(1)).err());
    assert_eq!(ended, Some(Ended::Late));
    let mut old = Caller::new(None, 10);
    (8..10_000).for_each(|n| told(&mut old, n, &[n], 1));
}

#[test]
fn what_can_not_be_decides_nothing_and_ends_the_connection() {
    let impossible: [(&[u8], u64); 5] =
        [(b"HAS 9", 9), (b"HAS 7", 7), (b"HAS 6", 6), (b"HAS 0", 0), (b"HAS 18446744073709551615", u64::MAX)];
    for (word, number) in impossible {
        let mut caller = brought_up();
        told(&mut caller, 11, &[8], 10);
        assert_eq!(caller.says(word, at(20)), Err(Ended::Impossible { number }));
        assert_eq!((caller.has(), caller.is_waited_for(11, 8)), (Some(7), true));
    }
    let long = [b"HAS ".as_slice(), &[b'0'; MAX_ACK_BYTES]].concat();
    let no_words: [&[u8]; 14] = [
        b"",
        b"HAS",
        b"HAS ",
        b"HAS -8",
        b"HAS +8",
        b"HAS 08",
        b"has 8",
        b"HAS 8 ",
        b" HAS 8",
        b"HAS 8\r",
        b"HAS 18446744073709551616",
        b"\xff\xfe",
        &long,
        b"SUB 8",
    ];
    for word in no_words {
        let mut caller = brought_up();
        told(&mut caller, 11, &[8], 10);
        assert_eq!(caller.says(word, at(20)), Err(Ended::NoWord), "{:?}", String::from_utf8_lossy(word));
        assert_eq!(caller.has(), Some(7));
    }
    // What it had before is said once, and first.
    assert_eq!(brought_up().says(b"HAS 8 at 1 keeps 2", at(20)), Err(Ended::OutOfTurn));
    assert_eq!(Caller::new(None, 10).says(b"HAS 0", at(20)), Err(Ended::OutOfTurn));
    // Marks that go back are of another order.
    assert_eq!(brought_up().was_sent(11, std::iter::once(3), at(20)), Err(Ended::Anew));
    // Marks that name a number again ask for nothing: a second answer to it is one too many.
    let mut caller = brought_up();
    told(&mut caller, 11, &[7], 10);
    assert_eq!(caller.says(b"HAS 7", at(20)), Err(Ended::Impossible { number: 7 }));
}
