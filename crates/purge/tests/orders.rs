//! One order, whoever gives it; who has what; and what is promised.
use harestage::time::{Moment, Span};
use harestage_purge::members::{Change, FENCED_AFTER, Members, Use, WARMS};
use harestage_purge::order::{Entry, Heard, Item, Limit, Order, Place, Refused, Taken};
use harestage_purge::promise::{Measured, Watch};
use harestage_purge::scope::Scope;

const LIMIT: Limit = Limit { rate: 100.0, burst: 1_000.0 };

fn at(ms: u64) -> Moment {
    Moment::at_micros(ms * 1_000)
}

fn group(group: u32) -> Scope {
    Scope::Group(group)
}

fn new(taken: Result<Taken, Refused>) -> Item {
    match taken {
        Ok(Taken::New(item)) => item,
        other => panic!("{other:?}"),
    }
}

/// The order of a service that takes over, and the entry that says so.
fn take_up(entries: impl IntoIterator<Item = Entry>, limit: Limit) -> (Order, Entry) {
    let mut order = Order::recall(entries, limit);
    let term = order.take_over();
    (order, term)
}

#[test]
fn the_same_purge_asked_for_twice_is_one_also_by_another_service() {
    let (mut order, term) = take_up([], LIMIT);
    let one = new(order.ask(group(1), 7, "k1", 10));
    assert_eq!(order.ask(group(1), 7, "k1", 20), Ok(Taken::Known(1)));
    assert_eq!(new(order.ask(group(1), 8, "k1", 20)).number, 2, "another tenant's key is another");
    assert!(matches!(order.ask(group(2), 7, "k1", 20), Err(Refused::OtherScope { number: 1, .. })));
    let (mut next, later) = take_up([term, Entry::Item(one)], LIMIT);
    assert_eq!((later, next.last()), (Entry::Term { term: 2 }, 1), "2 was never written down");
    assert_eq!(next.ask(group(1), 7, "k1", 30), Ok(Taken::Known(1)));
    assert_eq!(new(next.ask(group(3), 7, "k3", 30)).number, 2);
}

/// A service that was replaced writes on: what it wrote behind the new term does not count.
#[test]
fn an_older_terms_entries_behind_a_newer_term_do_not_count() {
    let (mut old, first) = take_up([], LIMIT);
    let one = new(old.ask(group(1), 0, "a", 1));
    let (mut new_order, second) = take_up([first.clone(), Entry::Item(one.clone())], LIMIT);
    let late = new(old.ask(group(2), 0, "b", 2));
    let two = new(new_order.ask(group(3), 0, "c", 3));
    assert_eq!((late.number, two.number), (2, 2));
    let log = [first, Entry::Item(one), second, Entry::Item(late), Entry::Item(two.clone())];
    let (recalled, _) = take_up(log, LIMIT);
    assert_eq!(recalled.live().last(), Some(&two));
    let mut place = Place::default();
    assert_eq!(place.hear(2, 1), Heard::Next);
    assert_eq!((place.hear(1, 2), place.hear(2, 3)), (Heard::Stale, Heard::Gap));
    assert_eq!((place.hear(2, 2), place.hear(2, 2)), (Heard::Next, Heard::Again));
}

#[test]
fn a_tenant_is_limited_and_told_when_to_come_again() {
    let (mut order, _) = take_up([], Limit { rate: 2.0, burst: 3.0 });
    (0..3).for_each(|n| drop(new(order.ask(group(n), 1, &format!("k{n}"), 1_000))));
    let refused = order.ask(group(9), 1, "k9", 1_000).unwrap_err();
    assert_eq!(refused, Refused::Limit { tenant: 1, wait_ms: 500 });
    assert_eq!(order.ask(group(0), 1, "k0", 1_000), Ok(Taken::Known(1)), "a repeat costs nothing");
    assert_eq!(new(order.ask(group(9), 2, "k9", 1_000)).number, 4, "others are not touched");
    assert_eq!(new(order.ask(group(9), 1, "k9", 1_500)).number, 5);
    assert!(order.ask(group(9), 1, &"k".repeat(65), 9_000).is_err());
}

#[test]
fn what_a_member_missed_is_told_in_order_or_all_that_lives_is() {
    let (mut order, _) = take_up([], LIMIT);
    (1..=10).for_each(|n| drop(new(order.ask(group(n), 0, &format!("{n}"), u64::from(n) * 100))));
    let numbers = |order: &Order, after| {
        order.after(after).map(|list| list.map(|item| item.number).collect::<Vec<_>>())
    };
    assert_eq!(numbers(&order, 7), Some(vec![8, 9, 10]));
    order.forget(500, usize::MAX);
    assert_eq!(numbers(&order, 4), Some(vec![5, 6, 7, 8, 9, 10]));
    assert_eq!(numbers(&order, 3), None, "4 is forgotten: all that lives has to be told");
    assert_eq!(numbers(&order, 10), Some(vec![]));
}

#[test]
fn a_silent_member_is_fenced_and_comes_back_as_a_cold_one() {
    let mut members = Members::default();
    let freed = |member: &str| Some(Change::Freed { member: member.into() });
    assert_eq!(members.confirm("a", 1, 0, true, at(0)), freed("a"));
    assert_eq!(members.confirm("b", 1, 0, true, at(0)), freed("b"));
    members.purged(1, at(20_000));
    members.confirm("a", 1, 1, true, at(20_010));
    assert!(!members.is_reached(1));
    let early = at(20_000) + FENCED_AFTER.saturating_sub(Span::millis(1));
    assert!(members.beat(early).is_empty());
    let fenced = members.beat(at(20_000) + FENCED_AFTER);
    assert_eq!(fenced, [Change::Fenced { member: "b".into(), has: 0 }]);
    assert!(members.is_reached(1), "nothing older is answered any more");
    assert_eq!(members.may_use("b", 0.2, at(21_000)), Use::NotAtAll);
    assert_eq!(members.may_use("a", 0.2, at(21_000)), Use::Freely);
    assert_eq!(members.confirm("b", 1, 1, true, at(30_000)), freed("b"));
    assert_eq!(members.may_use("b", 0.2, at(30_000)), Use::AsCold(0.2));
    assert_eq!(members.may_use("b", 0.2, at(30_000) + WARMS), Use::Freely);
    assert_eq!(members.may_use("nobody", 0.2, at(30_000)), Use::NotAtAll);
}

#[test]
fn a_process_of_unknown_past_has_nothing_until_it_was_told_all() {
    let mut members = Members::default();
    members.purged(5, at(0));
    assert_eq!(members.confirm("a", 1, 5, false, at(1)), None, "it claims what it was not told");
    assert_eq!(members.may_use("a", 0.2, at(2)), Use::NotAtAll);
    assert!(members.confirm("a", 1, 5, true, at(3)).is_some());
    assert_eq!(members.confirm("a", 2, 5, false, at(4)), None, "a new process under the name");
    assert_eq!(members.may_use("a", 0.2, at(5)), Use::NotAtAll);
    assert_eq!(members.confirm("a", 2, 9, true, at(6)), None, "a number from the future proves nothing");
    assert_eq!(members.may_use("a", 0.2, at(7)), Use::NotAtAll);
    assert!(members.confirm("a", 2, 5, true, at(8)).is_some());
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
                members.purged(last, now);
                told.push(now);
            } else {
                let one = chance(4) as usize;
                let before = has[one].unwrap_or(0);
                let upto = before + chance(last - before + 1);
                has[one] = Some(upto);
                members.confirm(&format!("m{one}"), 1, upto, true, now);
            }
            members.beat(now);
            for (n, has) in has.iter().enumerate() {
                let used = members.may_use(&format!("m{n}"), 0.2, now) != Use::NotAtAll;
                // The first that it lacks is at the place of the number that it has.
                let lacks = told.get(has.unwrap_or(0) as usize);
                let late = lacks.is_some_and(|since| now.since(*since) >= FENCED_AFTER);
                assert!(!(late && used), "{seed}: m{n} lacks a purge and is used");
                let complete = *has == Some(last);
                assert!(used || !complete, "{seed}: m{n} has all and is not used");
            }
        }
        (0..4).for_each(|n| drop(members.confirm(&format!("m{n}"), 1, last, true, now)));
        assert_eq!(members.fenced().count(), 0, "{seed}");
    }
}

/// Ten times the usual rate: everyone always lacks the last few. Who keeps up all the same is not fenced, and who was
/// fenced comes back while it goes on.
#[test]
fn whoever_keeps_up_with_a_storm_is_used_throughout() {
    let mut members = Members::default();
    ["a", "b"].iter().for_each(|m| drop(members.confirm(m, 1, 0, true, at(0))));
    let (mut back, mut freed) = (0, None);
    for n in 1..=1_200u64 {
        let now = at(10_000 + n * 8);
        members.purged(n, now);
        // The way is 100 ms long: each confirms what was told then. One is silent for the first 400 ms.
        let has = n.saturating_sub(12);
        assert_eq!(members.confirm("a", 1, has, true, now), None);
        if n > 50 && members.confirm("b", 1, has, true, now).is_some() {
            (back, freed) = (back + 1, Some(n));
        }
        members.beat(now);
        assert_eq!(members.may_use("a", 0.2, now), Use::Freely, "{n}");
    }
    assert_eq!((back, freed), (1, Some(51)), "it had missed a part, and came back at once");
}

/// A process that says hello and dies is no reason to wait for ever: it is fenced like any other that lacks something.
#[test]
fn a_newcomer_that_never_confirms_is_fenced_and_holds_nothing_up() {
    let mut members = Members::default();
    members.confirm("a", 1, 0, true, at(0));
    members.confirm("new", 1, 0, false, at(10_000));
    members.purged(1, at(10_000));
    members.confirm("a", 1, 1, true, at(10_010));
    assert!(!members.is_reached(1), "it may be about to be told all, and lacks it until then");
    let fenced = members.beat(at(10_000) + FENCED_AFTER);
    assert_eq!(fenced, [Change::Fenced { member: "new".into(), has: 0 }]);
    assert!(members.is_reached(1));
}

/// A line of a process whose name has another one by now decides nothing.
#[test]
fn a_late_line_of_a_replaced_process_is_refused_and_counted() {
    let mut members = Members::default();
    members.confirm("a", 1, 0, true, at(0));
    members.purged(1, at(10));
    members.confirm("a", 2, 0, false, at(20));
    assert_eq!(members.confirm("a", 1, 1, true, at(30)), None);
    assert_eq!((members.of("a"), members.refused_lines()), (Some((2, 0)), 1));
    assert!(members.is_replaced("a", 1) && !members.is_reached(1));
}

#[test]
fn a_promise_comes_from_what_was_measured_and_is_reported_on() {
    let mut measured = Measured::default();
    assert_eq!((measured.promise().within_ms, measured.promise().odds), (1_000, 0.0));
    (0..1_000u64).for_each(|n| measured.confirmed(Span::millis(5 + n % 40)));
    let promise = measured.promise();
    assert!((300..=400).contains(&promise.within_ms) && promise.odds == 1.0, "{promise:?}");
    (0..1_000).for_each(|_| measured.confirmed(Span::millis(900)));
    assert!(measured.promise().within_ms >= 1_800, "slow members are owed a longer promise");
    let (mut members, mut watch) = (Members::default(), Watch::default());
    ["a", "b"].iter().for_each(|m| drop(members.confirm(m, 1, 0, true, at(0))));
    members.purged(1, at(1_000));
    watch.begin(1, promise, at(1_000));
    members.confirm("a", 1, 1, true, at(1_020));
    assert!(watch.reached(1, |number| members.is_reached(number), at(1_020)).is_empty());
    for change in members.beat(at(1_260)) {
        if let Change::Fenced { member, has } = change {
            watch.fenced(&member, has);
        }
    }
    let reports = watch.reached(1, |number| members.is_reached(number), at(1_260));
    assert_eq!(
        (reports[0].reached_ms, reports[0].kept, reports[0].fenced.clone()),
        (260, true, vec!["b".to_string()])
    );
    assert_eq!(watch.open(), 0);
}
