//! The sequence of purges across leaders, the state of members, and promises.
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

fn new(submission: Result<Submission, SubmitError>) -> Item {
    match submission {
        Ok(Submission::New(item)) => item,
        other => panic!("{other:?}"),
    }
}

/// The sequencer of a new leader, and the entry that starts its term.
fn new_leader(entries: impl IntoIterator<Item = LogEntry>, limit: RateLimit) -> (Sequencer, LogEntry) {
    let mut sequencer = Sequencer::replay(entries, limit);
    let term = sequencer.begin_term();
    (sequencer, term)
}

#[test]
fn a_repeated_submission_is_the_same_purge_also_for_a_new_leader() {
    let (mut sequencer, term) = new_leader([], LIMIT);
    let one = new(sequencer.submit(group(1), 7, "k1", 10));
    assert_eq!(sequencer.submit(group(1), 7, "k1", 20), Ok(Submission::Duplicate(1)));
    assert_eq!(new(sequencer.submit(group(1), 8, "k1", 20)).number, 2, "keys are separate for each tenant");
    assert!(matches!(
        sequencer.submit(group(2), 7, "k1", 20),
        Err(SubmitError::KeyConflict { number: 1, .. })
    ));
    let (mut next, later) = new_leader([term, LogEntry::Item(one)], LIMIT);
    assert_eq!((later, next.last()), (LogEntry::Term { term: 2 }, 1), "2 was never logged");
    assert_eq!(next.submit(group(1), 7, "k1", 30), Ok(Submission::Duplicate(1)));
    assert_eq!(new(next.submit(group(3), 7, "k3", 30)).number, 2);
}

/// A replaced leader may go on writing, but its entries after the new term do not count.
#[test]
fn entries_of_an_older_term_after_a_newer_one_do_not_count() {
    let (mut old, first) = new_leader([], LIMIT);
    let one = new(old.submit(group(1), 0, "a", 1));
    let (mut new_sequencer, second) = new_leader([first.clone(), LogEntry::Item(one.clone())], LIMIT);
    let late = new(old.submit(group(2), 0, "b", 2));
    let two = new(new_sequencer.submit(group(3), 0, "c", 3));
    assert_eq!((late.number, two.number), (2, 2));
    let log = [first, LogEntry::Item(one), second, LogEntry::Item(late), LogEntry::Item(two.clone())];
    let (replayed, _) = new_leader(log, LIMIT);
    assert_eq!(replayed.items().last(), Some(&two));
    let mut position = LogPosition::default();
    assert_eq!(position.advance(2, 1), Delivery::Next);
    assert_eq!((position.advance(1, 2), position.advance(2, 3)), (Delivery::StaleTerm, Delivery::Gap));
    assert_eq!((position.advance(2, 2), position.advance(2, 2)), (Delivery::Next, Delivery::Duplicate));
}

#[test]
fn a_tenant_is_rate_limited_and_told_when_to_retry() {
    let (mut sequencer, _) = new_leader([], RateLimit { rate: 2.0, burst: 3.0 });
    (0..3).for_each(|n| drop(new(sequencer.submit(group(n), 1, &format!("k{n}"), 1_000))));
    let refused = sequencer.submit(group(9), 1, "k9", 1_000).unwrap_err();
    assert_eq!(refused, SubmitError::RateLimited { tenant: 1, wait_ms: 500 });
    assert_eq!(
        sequencer.submit(group(0), 1, "k0", 1_000),
        Ok(Submission::Duplicate(1)),
        "a repeat costs nothing"
    );
    assert_eq!(new(sequencer.submit(group(9), 2, "k9", 1_000)).number, 4, "other tenants are not affected");
    assert_eq!(new(sequencer.submit(group(9), 1, "k9", 1_500)).number, 5);
    assert!(sequencer.submit(group(9), 1, &"k".repeat(65), 9_000).is_err());
}

#[test]
fn missed_items_are_returned_in_order_unless_evicted() {
    let (mut sequencer, _) = new_leader([], LIMIT);
    (1..=10).for_each(|n| drop(new(sequencer.submit(group(n), 0, &format!("{n}"), u64::from(n) * 100))));
    let numbers = |sequencer: &Sequencer, after| {
        sequencer.after(after).map(|list| list.map(|item| item.number).collect::<Vec<_>>())
    };
    assert_eq!(numbers(&sequencer, 7), Some(vec![8, 9, 10]));
    sequencer.evict(500, usize::MAX);
    assert_eq!(numbers(&sequencer, 4), Some(vec![5, 6, 7, 8, 9, 10]));
    assert_eq!(numbers(&sequencer, 3), None, "4 is evicted, so a snapshot is needed");
    assert_eq!(numbers(&sequencer, 10), Some(vec![]));
}

#[test]
fn a_silent_member_is_fenced_and_returns_with_a_slow_start() {
    let mut members = Members::default();
    let freed = |member: &str| Some(MemberChange::Freed { member: member.into() });
    assert_eq!(members.on_ack("a", 1, 0, true, at(0)), freed("a"));
    assert_eq!(members.on_ack("b", 1, 0, true, at(0)), freed("b"));
    members.on_new_item(1, at(20_000));
    members.on_ack("a", 1, 1, true, at(20_010));
    assert!(!members.is_reached(1));
    let early = at(20_000) + FENCE_TIMEOUT.saturating_sub(Span::millis(1));
    assert!(members.tick(early).is_empty());
    let fenced = members.tick(at(20_000) + FENCE_TIMEOUT);
    assert_eq!(fenced, [MemberChange::Fenced { member: "b".into(), applied: 0 }]);
    assert!(members.is_reached(1), "no older copy is served any more");
    assert_eq!(members.admission("b", 0.2, at(21_000)), Admission::Denied);
    assert_eq!(members.admission("a", 0.2, at(21_000)), Admission::Full);
    assert_eq!(members.on_ack("b", 1, 1, true, at(30_000)), freed("b"));
    assert_eq!(members.admission("b", 0.2, at(30_000)), Admission::SlowStart(0.2));
    assert_eq!(members.admission("b", 0.2, at(30_000) + SLOW_START), Admission::Full);
    assert_eq!(members.admission("nobody", 0.2, at(30_000)), Admission::Denied);
}

#[test]
fn a_new_process_counts_as_empty_until_it_has_all_live_items() {
    let mut members = Members::default();
    members.on_new_item(5, at(0));
    assert_eq!(members.on_ack("a", 1, 5, false, at(1)), None, "it acknowledges what it has not received");
    assert_eq!(members.admission("a", 0.2, at(2)), Admission::Denied);
    assert!(members.on_ack("a", 1, 5, true, at(3)).is_some());
    assert_eq!(members.on_ack("a", 2, 5, false, at(4)), None, "a new process of the same name");
    assert_eq!(members.admission("a", 0.2, at(5)), Admission::Denied);
    assert_eq!(members.on_ack("a", 2, 9, true, at(6)), None, "a number beyond the last item proves nothing");
    assert_eq!(members.admission("a", 0.2, at(7)), Admission::Denied);
    assert!(members.on_ack("a", 2, 5, true, at(8)).is_some());
}

/// Whatever happens in whatever order, no member that lacks a purge is used after its timeout, and none that
/// has applied everything stays fenced.
#[test]
fn no_lagging_member_is_used_and_none_stays_fenced() {
    for seed in 0..300u64 {
        let mut members = Members::default();
        let (mut now, mut last) = (at(0), 0u64);
        // The reference model: what each member has acknowledged, and when each purge was sent.
        let mut applied = [None::<u64>; 4];
        let mut sent_at = Vec::<Moment>::new();
        let mut drawn = seed;
        let mut random = |below: u64| {
            drawn = drawn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (drawn >> 33) % below
        };
        for _ in 0..200 {
            now = now + Span::millis(random(120));
            if random(3) == 0 {
                last += 1;
                members.on_new_item(last, now);
                sent_at.push(now);
            } else {
                let ix = random(4) as usize;
                let before = applied[ix].unwrap_or(0);
                let upto = before + random(last - before + 1);
                applied[ix] = Some(upto);
                members.on_ack(&format!("m{ix}"), 1, upto, true, now);
            }
            members.tick(now);
            for (n, applied) in applied.iter().enumerate() {
                let used = members.admission(&format!("m{n}"), 0.2, now) != Admission::Denied;
                // The first purge that it lacks has the index of the number it has applied.
                let lacks = sent_at.get(applied.unwrap_or(0) as usize);
                let is_overdue = lacks.is_some_and(|since| now.since(*since) >= FENCE_TIMEOUT);
                assert!(!(is_overdue && used), "{seed}: m{n} lacks a purge and is used");
                let complete = *applied == Some(last);
                assert!(used || !complete, "{seed}: m{n} has applied everything and is not used");
            }
        }
        (0..4).for_each(|n| drop(members.on_ack(&format!("m{n}"), 1, last, true, now)));
        assert_eq!(members.fenced().count(), 0, "{seed}");
    }
}

/// At ten times the usual rate every member always lacks the last few purges. A member that keeps up is not
/// fenced, and one that was fenced returns while the storm lasts.
#[test]
fn a_member_that_keeps_up_with_a_storm_is_used_throughout() {
    let mut members = Members::default();
    ["a", "b"].iter().for_each(|m| drop(members.on_ack(m, 1, 0, true, at(0))));
    let (mut times_freed, mut freed) = (0, None);
    for n in 1..=1_200u64 {
        let now = at(10_000 + n * 8);
        members.on_new_item(n, now);
        // The round trip takes 100 ms, after which each member acknowledges what was sent then. One is
        // silent for the first 400 ms.
        let applied = n.saturating_sub(12);
        assert_eq!(members.on_ack("a", 1, applied, true, now), None);
        if n > 50 && members.on_ack("b", 1, applied, true, now).is_some() {
            (times_freed, freed) = (times_freed + 1, Some(n));
        }
        members.tick(now);
        assert_eq!(members.admission("a", 0.2, now), Admission::Full, "{n}");
    }
    assert_eq!((times_freed, freed), (1, Some(51)), "it had missed some items, and returned at once");
}

/// A process that connects once and dies must not block reports for ever: it is fenced like any other that
/// lacks a purge.
#[test]
fn a_new_process_that_never_acknowledges_is_fenced() {
    let mut members = Members::default();
    members.on_ack("a", 1, 0, true, at(0));
    members.on_ack("new", 1, 0, false, at(10_000));
    members.on_new_item(1, at(10_000));
    members.on_ack("a", 1, 1, true, at(10_010));
    assert!(!members.is_reached(1), "it may be receiving the live items, and lacks it until then");
    let fenced = members.tick(at(10_000) + FENCE_TIMEOUT);
    assert_eq!(fenced, [MemberChange::Fenced { member: "new".into(), applied: 0 }]);
    assert!(members.is_reached(1));
}

/// A message of a process that was replaced by another one of the same name has no effect.
#[test]
fn a_late_message_of_a_replaced_process_is_refused_and_counted() {
    let mut members = Members::default();
    members.on_ack("a", 1, 0, true, at(0));
    members.on_new_item(1, at(10));
    members.on_ack("a", 2, 0, false, at(20));
    assert_eq!(members.on_ack("a", 1, 1, true, at(30)), None);
    assert_eq!((members.progress("a"), members.refused_lines()), (Some((2, 0)), 1));
    assert!(members.is_replaced("a", 1) && !members.is_reached(1));
}

#[test]
fn promises_follow_measured_latencies_and_are_reported_on() {
    let mut latency = LatencyStats::default();
    assert_eq!((latency.promise().within_ms, latency.promise().odds), (1_000, 0.0));
    (0..1_000u64).for_each(|n| latency.record_ack(Span::millis(5 + n % 40)));
    let promise = latency.promise();
    assert!((300..=400).contains(&promise.within_ms) && promise.odds == 1.0, "{promise:?}");
    (0..1_000).for_each(|_| latency.record_ack(Span::millis(900)));
    assert!(latency.promise().within_ms >= 1_800, "slow members lead to a longer promise");
    let (mut members, mut pending) = (Members::default(), PendingPurges::default());
    ["a", "b"].iter().for_each(|m| drop(members.on_ack(m, 1, 0, true, at(0))));
    members.on_new_item(1, at(1_000));
    pending.insert(1, promise, at(1_000));
    members.on_ack("a", 1, 1, true, at(1_020));
    assert!(pending.take_reached(1, |number| members.is_reached(number), at(1_020)).is_empty());
    for change in members.tick(at(1_260)) {
        if let MemberChange::Fenced { member, applied } = change {
            pending.on_member_fenced(&member, applied);
        }
    }
    let reports = pending.take_reached(1, |number| members.is_reached(number), at(1_260));
    assert_eq!(
        (reports[0].reached_ms, reports[0].kept, reports[0].fenced.clone()),
        (260, true, vec!["b".to_string()])
    );
    assert_eq!(pending.count(), 0);
}
