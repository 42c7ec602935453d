//! One order, whoever gives it; who has what; and what is promised.
use harestage::time::{Moment, Span};
use harestage_purge::members::{Admission, FENCE_TIMEOUT, MemberChange, Members, SLOW_START};
use harestage_purge::promise::{LatencyStats, PendingPurges};
use harestage_purge::scope::Scope;
use harestage_purge::sequencer::{
    Delivery, Item, LogEntry, LogPosition, RateLimit, Sequencer, Submission, SubmitError,
};

const LIMIT: RateLimit = RateLimit { rate: 100.0, burst: 1_000.0 };

fn at(ms: u64) -> Moment {
    Moment::at_micros(ms * 1_000)
}

fn group(group: u32) -> Scope {
    Scope::Group(group)
}

fn new(taken: Result<Submission, SubmitError>) -> Item {
    match taken {
        Ok(Submission::New(item)) => item,
        other => panic!("{other:?}"),
    }
}

/// The order of a service that takes over, and the entry that says so.
fn take_up(entries: impl IntoIterator<Item = LogEntry>, limit: RateLimit) -> (Sequencer, LogEntry) {
    let mut order = Sequencer::replay(entries, limit);
    let term = order.begin_term();
    (order, term)
}

#[test]
fn the_same_purge_asked_for_twice_is_one_also_by_another_service() {
    let (mut order, term) = take_up([], LIMIT);
    let one = new(order.submit(group(1), 7, "k1", 10));
    assert_eq!(order.submit(group(1), 7, "k1", 20), Ok(Submission::Duplicate(1)));
    assert_eq!(new(order.submit(group(1), 8, "k1", 20)).number, 2, "another tenant's key is another");
    assert!(matches!(order.submit(group(2), 7, "k1", 20), Err(SubmitError::KeyConflict { number: 1, .. })));
    let (mut next, later) = take_up([term, LogEntry::Item(one)], LIMIT);
    assert_eq!((later, next.last()), (LogEntry::Term { term: 2 }, 1), "2 was never written down");
    assert_eq!(next.submit(group(1), 7, "k1", 30), Ok(Submission::Duplicate(1)));
    assert_eq!(new(next.submit(group(3), 7, "k3", 30)).number, 2);
}

/// A service that was replaced writes on: what it wrote behind the new term does not count.
#[test]
fn an_older_terms_entries_behind_a_newer_term_do_not_count() {
    let (mut old, first) = take_up([], LIMIT);
    let one = new(old.submit(group(1), 0, "a", 1));
    let (mut new_order, second) = take_up([first.clone(), LogEntry::Item(one.clone())], LIMIT);
    let late = new(old.submit(group(2), 0, "b", 2));
    let two = new(new_order.submit(group(3), 0, "c", 3));
    assert_eq!((late.number, two.number), (2, 2));
    let log = [first, LogEntry::Item(one), second, LogEntry::Item(late), LogEntry::Item(two.clone())];
    let (recalled, _) = take_up(log, LIMIT);
    assert_eq!(recalled.items().last(), Some(&two));
    let mut place = LogPosition::default();
    assert_eq!(place.advance(2, 1), Delivery::Next);
    assert_eq!((place.advance(1, 2), place.advance(2, 3)), (Delivery::StaleTerm, Delivery::Gap));
    assert_eq!((place.advance(2, 2), place.advance(2, 2)), (Delivery::Next, Delivery::Duplicate));
}

#[test]
fn a_tenant_is_limited_and_told_when_to_come_again() {
    let (mut order, _) = take_up([], RateLimit { rate: 2.0, burst: 3.0 });
    (0..3).for_each(|n| drop(new(order.submit(group(n), 1, &format!("k{n}"), 1_000))));
    let refused = order.submit(group(9), 1, "k9", 1_000).unwrap_err();
    assert_eq!(refused, SubmitError::RateLimited { tenant: 1, wait_ms: 500 });
    assert_eq!(
        order.submit(group(0), 1, "k0", 1_000),
        Ok(Submission::Duplicate(1)),
        "a repeat costs nothing"
    );
    assert_eq!(new(order.submit(group(9), 2, "k9", 1_000)).number, 4, "others are not touched");
    assert_eq!(new(order.submit(group(9), 1, "k9", 1_500)).number, 5);
    assert!(order.submit(group(9), 1, &"k".repeat(65), 9_000).is_err());
}

#[test]
fn what_a_member_missed_is_told_in_order_or_all_that_lives_is() {
    let (mut order, _) = take_up([], LIMIT);
    (1..=10).for_each(|n| drop(new(order.submit(group(n), 0, &format!("{n}"), u64::from(n) * 100))));
    let numbers = |order: &Sequencer, after| {
        order.after(after).map(|list| list.map(|item| item.number).collect::<Vec<_>>())
    };
    assert_eq!(numbers(&order, 7), Some(vec![8, 9, 10]));
    order.evict(500, usize::MAX);
    assert_eq!(numbers(&order, 4), Some(vec![5, 6, 7, 8, 9, 10]));
    assert_eq!(numbers(&order, 3), None, "4 is forgotten: all that lives has to be told");
    assert_eq!(numbers(&order, 10), Some(vec![]));
}

#[test]
fn a_silent_member_is_fenced_and_comes_back_as_a_cold_one() {
    let mut members = Members::default();
    let freed = |member: &str| Some(MemberChange::Freed { member: member.into() });
    assert_eq!(members.on_ack("a", 1, 0, true, at(0)), freed("a"));
    assert_eq!(members.on_ack("b", 1, 0, true, at(0)), freed("b"));
    members.on_new_item(1, at(20_000));
    members.on_ack("a", 1, 1, true, at(20_010));
    assert!(!members.is_reached(1));
    let early = at(20_000) + FENCE_TIMEOUT.less(Span::millis(1));
    assert!(members.tick(early).is_empty());
    let fenced = members.tick(at(20_000) + FENCE_TIMEOUT);
    assert_eq!(fenced, [MemberChange::Fenced { member: "b".into(), applied: 0 }]);
    assert!(members.is_reached(1), "nothing older is answered any more");
    assert_eq!(members.admission("b", 0.2, at(21_000)), Admission::Denied);
    assert_eq!(members.admission("a", 0.2, at(21_000)), Admission::Full);
    assert_eq!(members.on_ack("b", 1, 1, true, at(30_000)), freed("b"));
    assert_eq!(members.admission("b", 0.2, at(30_000)), Admission::SlowStart(0.2));
    assert_eq!(members.admission("b", 0.2, at(30_000) + SLOW_START), Admission::Full);
    assert_eq!(members.admission("nobody", 0.2, at(30_000)), Admission::Denied);
}

#[test]
fn a_process_of_unknown_past_has_nothing_until_it_was_told_all() {
    let mut members = Members::default();
    members.on_new_item(5, at(0));
    assert_eq!(members.on_ack("a", 1, 5, false, at(1)), None, "it claims what it was not told");
    assert_eq!(members.admission("a", 0.2, at(2)), Admission::Denied);
    assert!(members.on_ack("a", 1, 5, true, at(3)).is_some());
    assert_eq!(members.on_ack("a", 2, 5, false, at(4)), None, "a new process under the name");
    assert_eq!(members.admission("a", 0.2, at(5)), Admission::Denied);
    assert_eq!(members.on_ack("a", 2, 9, true, at(6)), None, "a number from the future proves nothing");
    assert_eq!(members.admission("a", 0.2, at(7)), Admission::Denied);
    assert!(members.on_ack("a", 2, 5, true, at(8)).is_some());
}

/// Whatever comes in whatever order, nobody that lacks a purge is used once its time is over, and nobody who has it all
/// stays fenced.
#[test]
fn no_member_is_used_that_lacks_a_purge_and_none_is_fenced_for_ever() {
    for seed in 0..300u64 {
        let mut members = Members::default();
        let (mut now, mut last) = (at(0), 0u64);
        // The plain model: what each has said, and when each purge was told.
        let mut has = [None::<u64>; 4];
        let mut told = Vec::<Moment>::new();
        let mut drawn = seed;
        let mut chance = |below: u64| {
            drawn = drawn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (drawn >> 33) % below
        };
        for _ in 0..200 {
            now = now + Span::millis(chance(120));
            if chance(3) == 0 {
                last += 1;
                members.on_new_item(last, now);
                told.push(now);
            } else {
                let one = chance(4) as usize;
                let before = has[one].unwrap_or(0);
                let upto = before + chance(last - before + 1);
                has[one] = Some(upto);
                members.on_ack(&format!("m{one}"), 1, upto, true, now);
            }
            members.tick(now);
            for (n, has) in has.iter().enumerate() {
                let used = members.admission(&format!("m{n}"), 0.2, now) != Admission::Denied;
                // The first that it lacks is at the place of the number that it has.
                let lacks = told.get(has.unwrap_or(0) as usize);
                let late = lacks.is_some_and(|since| now.since(*since) >= FENCE_TIMEOUT);
                assert!(!(late && used), "{seed}: m{n} lacks a purge and is used");
                let complete = *has == Some(last);
                assert!(used || !complete, "{seed}: m{n} has all and is not used");
            }
        }
        (0..4).for_each(|n| drop(members.on_ack(&format!("m{n}"), 1, last, true, now)));
        assert_eq!(members.fenced().count(), 0, "{seed}");
    }
}

/// Ten times the usual rate: everyone always lacks the last few. Who keeps up all the same is not fenced, and who was
/// fenced comes back while it goes on.
#[test]
fn whoever_keeps_up_with_a_storm_is_used_throughout() {
    let mut members = Members::default();
    ["a", "b"].iter().for_each(|m| drop(members.on_ack(m, 1, 0, true, at(0))));
    let (mut back, mut freed) = (0, None);
    for n in 1..=1_200u64 {
        let now = at(10_000 + n * 8);
        members.on_new_item(n, now);
        // The way is 100 ms long: each confirms what was told then. One is silent for the first 400 ms.
        let has = n.saturating_sub(12);
        assert_eq!(members.on_ack("a", 1, has, true, now), None);
        if n > 50 && members.on_ack("b", 1, has, true, now).is_some() {
            (back, freed) = (back + 1, Some(n));
        }
        members.tick(now);
        assert_eq!(members.admission("a", 0.2, now), Admission::Full, "{n}");
    }
    assert_eq!((back, freed), (1, Some(51)), "it had missed a part, and came back at once");
}

/// A process that says hello and dies is no reason to wait for ever: it is fenced like any other that lacks something.
#[test]
fn a_newcomer_that_never_confirms_is_fenced_and_holds_nothing_up() {
    let mut members = Members::default();
    members.on_ack("a", 1, 0, true, at(0));
    members.on_ack("new", 1, 0, false, at(10_000));
    members.on_new_item(1, at(10_000));
    members.on_ack("a", 1, 1, true, at(10_010));
    assert!(!members.is_reached(1), "it may be about to be told all, and lacks it until then");
    let fenced = members.tick(at(10_000) + FENCE_TIMEOUT);
    assert_eq!(fenced, [MemberChange::Fenced { member: "new".into(), applied: 0 }]);
    assert!(members.is_reached(1));
}

/// A line of a process whose name has another one by now decides nothing.
#[test]
fn a_late_line_of_a_replaced_process_is_refused_and_counted() {
    let mut members = Members::default();
    members.on_ack("a", 1, 0, true, at(0));
    members.on_new_item(1, at(10));
    members.on_ack("a", 2, 0, false, at(20));
    assert_eq!(members.on_ack("a", 1, 1, true, at(30)), None);
    assert_eq!((members.progress("a"), members.refused_lines()), (Some((2, 0)), 1));
    assert!(members.is_replaced("a", 1) && !members.is_reached(1));
}

#[test]
fn a_promise_comes_from_what_was_measured_and_is_reported_on() {
    let mut measured = LatencyStats::default();
    assert_eq!((measured.promise().within_ms, measured.promise().odds), (1_000, 0.0));
    (0..1_000u64).for_each(|n| measured.record_ack(Span::millis(5 + n % 40)));
    let promise = measured.promise();
    assert!((300..=400).contains(&promise.within_ms) && promise.odds == 1.0, "{promise:?}");
    (0..1_000).for_each(|_| measured.record_ack(Span::millis(900)));
    assert!(measured.promise().within_ms >= 1_800, "slow members are owed a longer promise");
    let (mut members, mut watch) = (Members::default(), PendingPurges::default());
    ["a", "b"].iter().for_each(|m| drop(members.on_ack(m, 1, 0, true, at(0))));
    members.on_new_item(1, at(1_000));
    watch.insert(1, promise, at(1_000));
    members.on_ack("a", 1, 1, true, at(1_020));
    assert!(watch.take_reached(1, |number| members.is_reached(number), at(1_020)).is_empty());
    for change in members.tick(at(1_260)) {
        if let MemberChange::Fenced { member, applied: has } = change {
            watch.on_member_fenced(&member, has);
        }
    }
    let reports = watch.take_reached(1, |number| members.is_reached(number), at(1_260));
    assert_eq!(
        (reports[0].reached_ms, reports[0].kept, reports[0].fenced.clone()),
        (260, true, vec!["b".to_string()])
    );
    assert_eq!(watch.count(), 0);
}
