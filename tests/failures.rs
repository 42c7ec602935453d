//! One small test for each failure of the decisions that was found, played to the policy without network or simulator.
mod common;
use common::*;
use harestage::interface::{Action, ServiceProfile};
use harestage::state::*;
use harestage::time::Span;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const TICK: Span = Span::millis(10);

/// Hits, so that the policy has seen ordinary traffic.
fn hits(host: &mut CheckedHost, objects: std::ops::Range<u64>) {
    for n in objects {
        let dl = host.request_page(n);
        host.wait(TICK);
        host.end(host.last_pull(dl), PullOutcome::Fulfilled, CacheStatus::Hit);
    }
}

/// The cache that serves an object.
fn preferred_cache(host: &mut CheckedHost, object: u64) -> NodeIndex {
    let dl = host.request_page(object);
    let sent = host.last_pull(dl);
    host.end(sent, PullOutcome::Fulfilled, CacheStatus::Hit);
    sent.pull.node
}

#[test]
fn three_failures_in_a_row_eject_a_cache_until_a_probe_succeeds() {
    // Guards against a cache that fails fast: its downloads must go elsewhere at once, and come back to it later.
    let mut host = CheckedHost::new(profile());
    let bad = preferred_cache(&mut host, 1);
    for _ in 0..3 {
        let dl = host.request_page(1);
        assert_eq!(host.last_pull(dl).pull.node, bad);
        host.end(host.last_pull(dl), PullOutcome::Error, CacheStatus::Unknown);
        assert_ne!(host.last_pull(dl).pull.node, bad);
        host.end(host.last_pull(dl), PullOutcome::Fulfilled, CacheStatus::Hit);
        host.wait(TICK * 3.0);
    }
    assert_ne!(preferred_cache(&mut host, 1), bad);
    host.wait(Span::millis(1_200));
    assert_eq!(preferred_cache(&mut host, 1), bad);
    assert_eq!(preferred_cache(&mut host, 1), bad);
}

/// Guards against one invalid answer, which ends a connection and all pulls on it, counting as several failures in a row.
#[test]
fn pulls_that_break_together_count_as_one_failure_and_are_retried_at_the_same_cache() {
    let mut host = CheckedHost::new(profile());
    let node = preferred_cache(&mut host, 1);
    for broken in 1..=3 {
        let dls: Vec<_> = (0..12).map(|_| host.request_page(1)).collect();
        let lost: Vec<_> = dls.iter().map(|dl| host.last_pull(*dl)).collect();
        let lost: Vec<_> = lost.into_iter().filter(|sent| sent.pull.node == node).collect();
        assert!(lost.len() >= 6);
        lost.iter().for_each(|sent| host.end(*sent, PullOutcome::Broken, CacheStatus::Unknown));
        let retried = lost.iter().filter(|sent| host.last_pull(sent.dl).pull.node == node).count();
        assert_eq!(retried > 0, broken < 3, "{retried} retried at the same cache after {broken} breaks");
        // Once only: if a cache breaks whatever it is sent, another one helps.
        for sent in host.open_pulls().into_iter().filter(|sent| sent.attempt == 1 && sent.pull.node == node) {
            host.end(sent, PullOutcome::Broken, CacheStatus::Unknown);
            let last = host.last_pull(sent.dl);
            assert!(last.attempt == 1 || last.pull.node != node);
        }
        for sent in host.open_pulls() {
            host.end(sent, PullOutcome::Cancelled, CacheStatus::Unknown);
        }
        dls.into_iter().for_each(|dl| host.leave(dl));
        host.wait(TICK * 3.0);
    }
}

/// Open pulls that the policy has cancelled.
fn cancelled_pulls(host: &CheckedHost) -> Vec<SentPull> {
    let cancel = |sent: &SentPull| Action::Cancel { dl: DownloadIndex(sent.dl), attempt: sent.attempt };
    host.open_pulls().into_iter().filter(|sent| host.actions.contains(&cancel(sent))).collect()
}

#[test]
fn pulls_that_wait_for_a_silent_cache_or_parent_move_elsewhere() {
    // Guards against caches that accept pulls and answer none, and against fills that wait for a hung parent.
    for parent in [false, true] {
        let mut host = CheckedHost::new(profile());
        hits(&mut host, 0..40);
        let silent = if parent { NodeIndex(PARENTS[0]) } else { preferred_cache(&mut host, 1) };
        let waits = |sent: &SentPull| {
            if parent { sent.pull.source == Some(silent) } else { sent.pull.node == silent }
        };
        let cache_status = if parent { CacheStatus::FromOrigin } else { CacheStatus::Hit };
        let mut moved = 0;
        for n in 0..150 {
            let dl = host.request_page(if parent { 100 + n } else { n % 40 });
            let sent = host.last_pull(dl);
            if !waits(&sent) {
                host.end(sent, PullOutcome::Fulfilled, cache_status);
            }
            host.wait(Span::millis(30));
            for sent in cancelled_pulls(&host) {
                host.end(sent, PullOutcome::Cancelled, CacheStatus::Unknown);
                let next = host.last_pull(sent.dl);
                assert!(!waits(&next));
                host.end(next, PullOutcome::Fulfilled, cache_status);
                moved += 1;
            }
        }
        assert!(moved > 0);
    }
}

/// Guards against answers that a network loses now and then: no cache is silent, so that such a download would wait
/// until its deadline. A download that was never seen sent may just be large, and one that waits for a slow origin is
/// not lost; neither is repeated.
#[test]
fn a_lost_answer_is_pulled_once_more_from_the_same_cache() {
    for (seen_before, origin_stuck, expected) in [(true, false, 1), (false, false, 0), (true, true, 0)] {
        let mut host = CheckedHost::new(profile());
        hits(&mut host, 0..40);
        let dl = host.request_page(if seen_before { 1 } else { 100 });
        let mut lost = host.last_pull(dl);
        let mut repeats = 0;
        for n in 0..100 {
            hits(&mut host, n % 40..n % 40 + 1);
            if origin_stuck {
                let failed = host.request_page(1_000 + n);
                host.end(host.last_pull(failed), PullOutcome::Error, CacheStatus::OriginFailed);
                host.leave(failed);
            }
            for sent in cancelled_pulls(&host) {
                host.end(sent, PullOutcome::Cancelled, CacheStatus::Unknown);
                assert_eq!(host.last_pull(dl).pull.node, lost.pull.node);
                repeats += usize::from(sent.dl == dl);
                lost = host.last_pull(dl);
            }
        }
        assert_eq!(repeats, expected, "seen before: {seen_before}, origin stuck: {origin_stuck}");
        host.end(lost, PullOutcome::Fulfilled, CacheStatus::Hit);
    }
}

/// Guards the origin's limit against a network that loses answers: most pulls that time out never reached the origin.
#[test]
fn lost_answers_are_not_held_against_the_origin() {
    let mut host = CheckedHost::new(profile());
    let mut lookups = 0;
    for n in 0..400 {
        let dl = host.arrive(PAGE, n, 0, Span::millis(900));
        lookups += usize::from(host.last_pull(dl).pull.only_held);
        host.wait(TICK * 2.0);
        if n % 3 > 0 {
            host.end(host.last_pull(dl), PullOutcome::Fulfilled, CacheStatus::FromOrigin);
        }
    }
    assert!(lookups < 20, "{lookups} of 400 only looked up while one answer in three is lost");
}

/// Guards against a parent that fails most fills: the next fill of the same download went to it again, and its failures
/// lowered the limit of a healthy origin.
#[test]
fn a_parent_that_fails_fills_is_avoided_and_the_origin_is_not_blamed() {
    let mut host = CheckedHost::new(profile());
    let (mut lookups, mut failed) = (0, 0);
    for n in 0..600 {
        let dl = host.request_page(n);
        let SentPull { pull, .. } = host.last_pull(dl);
        lookups += usize::from(pull.source.is_none() || pull.only_held);
        host.wait(TICK);
        let ended: Vec<_> = host
            .open_pulls()
            .into_iter()
            .filter(|sent| host.now.since(sent.sent_at) >= TICK * 12.0)
            .collect();
        for sent in ended {
            if sent.pull.source != Some(NodeIndex(PARENTS[0])) || sent.dl % 3 == 0 {
                let held = sent.attempt == 0 && sent.dl % 2 == 0;
                host.end(
                    sent,
                    PullOutcome::Fulfilled,
                    if held { CacheStatus::Filled } else { CacheStatus::FromOrigin },
                );
                continue;
            }
            failed += 1;
            host.end(sent, PullOutcome::Error, CacheStatus::SourceLost);
            assert_ne!(host.last_pull(sent.dl).pull.source, sent.pull.source, "the same source again");
        }
    }
    assert!(failed > 50 && lookups < 20, "{failed} failed, {lookups} of 600 only looked up");
}

#[test]
fn what_fails_behind_a_cache_is_not_held_against_it() {
    // Guards against ejecting the caches in front of a source that is slow or refuses.
    let mut host = CheckedHost::new(profile());
    let cache = preferred_cache(&mut host, 1);
    for cache_status in [
        CacheStatus::SourceLost,
        CacheStatus::OriginFailed,
        CacheStatus::SourceRefused,
        CacheStatus::SourceLost,
    ] {
        let dl = host.request_page(1);
        host.end(host.last_pull(dl), PullOutcome::Error, cache_status);
        host.leave(dl);
        host.open_pulls()
            .into_iter()
            .for_each(|sent| host.end(sent, PullOutcome::Cancelled, CacheStatus::Unknown));
    }
    assert_eq!(preferred_cache(&mut host, 1), cache);
    // Nor must all six pulls be spent on a cache that has no room for another fill.
    let dl = host.request_page(1);
    host.end(host.last_pull(dl), PullOutcome::Full, CacheStatus::NoFillSlot);
    assert_ne!(host.last_pull(dl).pull.node, cache);
}

#[test]
fn a_lost_member_list_is_asked_for_again() {
    // Guards against missing changes of the list: the rules take a router for informed even if it no longer is.
    let mut profile = profile();
    profile.membership_on_request = true;
    let mut host = CheckedHost::new(profile);
    host.update_members(MembershipUpdate::Failed, Vec::new());
    assert_eq!(host.actions.iter().filter(|action| **action == Action::WatchMembership).count(), 2);
}

/// Guards against throttling for seconds while the limits rise step by step although answers are quick: when a day
/// starts with many downloads, and when a router takes over the load of one that restarts.
#[test]
fn concurrency_limits_open_within_a_second_if_answers_are_quick() {
    let mut host = CheckedHost::new(profile());
    let mut throttled = 0;
    for tick in 0..130 {
        for n in 0..30 {
            let before = host.actions.len();
            host.request_page(tick * 30 + n);
            let is_throttle = |action: &Action| matches!(action, Action::Throttle { .. });
            throttled += usize::from(tick >= 100 && host.actions[before..].iter().any(is_throttle));
        }
        host.wait(TICK);
        let done = |sent: &SentPull| host.now.since(sent.sent_at) >= TICK * 6.0;
        let ended: Vec<_> = host.open_pulls().into_iter().filter(done).collect();
        ended.into_iter().for_each(|sent| host.end(sent, PullOutcome::Fulfilled, CacheStatus::Hit));
    }
    assert!(throttled < 45, "{throttled} of 900 throttled after a second");
}

/// How many of 400 misses within four seconds were only looked up, if each fill takes `duration` on the link.
fn lookups_if_fills_take(duration: Span) -> usize {
    let mut host = CheckedHost::new(profile());
    let mut lookups = 0;
    for n in 0..400 {
        let dl = host.request_page(n);
        lookups += usize::from(host.last_pull(dl).pull.source.is_none());
        host.wait(TICK);
        for sent in host.open_pulls().into_iter().filter(|sent| sent.pull.source.is_none()) {
            host.end(sent, PullOutcome::Missed, CacheStatus::SourceLacks);
        }
        let done = |sent: &SentPull| host.now.since(sent.sent_at) >= duration + Span::millis(20);
        let ended: Vec<_> = host.open_pulls().into_iter().filter(done).collect();
        ended.into_iter().for_each(|sent| host.end(sent, PullOutcome::Fulfilled, CacheStatus::Filled));
    }
    lookups
}

/// Guards against a link that is a little late losing three quarters of its limit before the fills that began under the
/// higher limit have ended, and against a link that jams keeping its limit.
#[test]
fn concurrency_limits_fall_as_far_as_answers_are_too_slow() {
    let late = lookups_if_fills_take(Span::millis(170));
    let jammed = lookups_if_fills_take(Span::millis(500));
    assert!(
        late < 60 && jammed > 240,
        "only looked up: {late} of 400 on a late link, {jammed} on a jammed one"
    );
}

/// How many of 300 misses were only looked up, or turned away, while the origin is stuck.
fn lookups_while_origin_is_stuck(profile: ServiceProfile) -> usize {
    let mut host = CheckedHost::new(profile);
    let mut lookups = 0;
    for n in 0..300 {
        let dl = host.arrive(PAGE, n, 0, Span::millis(900));
        let sent = host.last_pull(dl);
        lookups += usize::from(host.throttled(dl) || sent.pull.only_held);
        if n % 4 == 0 && host.downloads.contains_key(&dl) {
            host.end(sent, PullOutcome::Fulfilled, CacheStatus::Filled);
        }
        for sent in
            host.open_pulls().into_iter().filter(|sent| sent.pull.only_held || sent.pull.source.is_none())
        {
            host.end(sent, PullOutcome::Missed, CacheStatus::SourceLacks);
        }
        host.wait(Span::millis(20));
        cancelled_pulls(&host)
            .into_iter()
            .for_each(|sent| host.end(sent, PullOutcome::Cancelled, CacheStatus::Unknown));
    }
    lookups
}

#[test]
fn a_stuck_origin_is_asked_less_and_least_by_one_zone_of_many() {
    // Guards against a limit that stays high since no slow answer ever shows: parents serve what they hold, and all else
    // waits without an end. Guards also against thirty zones that each keep the limit of one.
    let alone = lookups_while_origin_is_stuck(profile());
    assert!(alone > 30, "{alone} of 300 were only looked up");
    let among = lookups_while_origin_is_stuck(ServiceProfile { zone_routers: vec![1; 30], ..profile() });
    assert!(among > alone, "{among} among thirty zones, {alone} alone");
}

#[test]
fn a_purge_does_not_change_the_characteristic_time() {
    // Guards against misses on purged copies lowering τ: objects would pass for ones that are not worth keeping.
    let mut host = CheckedHost::new(profile());
    for round in 0..2 {
        for n in 0..80 {
            let dl = host.request_page(n);
            host.end(host.last_pull(dl), PullOutcome::Fulfilled, CacheStatus::FromOrigin);
        }
        host.wait(Span::millis(2_000 * round + 100));
        (0..3).for_each(|group| host.purge(None, group, Span::ZERO));
    }
    let dl = host.request_page(3);
    assert_eq!(host.last_pull(dl).pull.rank, 2);
}

#[test]
fn parts_of_a_hot_object_each_get_a_preferred_cache_and_keep_it() {
    // Guards against one cache having to send all that a crowd wants of one object.
    let mut profile = profile();
    profile.content_types[PAGE as usize].in_parts = true;
    let mut host = CheckedHost::new(profile);
    let mut preferred = BTreeMap::new();
    for n in 0..300u64 {
        let part = n as u32 % 8;
        let dl = host.arrive(PAGE, 3, part, Span::millis(3_000));
        let sent = host.last_pull(dl);
        host.wait(TICK);
        host.end(sent, PullOutcome::Fulfilled, CacheStatus::Hit);
        if n >= 150 {
            assert_eq!(*preferred.entry(part).or_insert(sent.pull.node), sent.pull.node);
        }
    }
    assert!(preferred.values().collect::<BTreeSet<_>>().len() >= 3);
}

#[test]
fn all_routers_prefer_the_same_cache_for_a_part_whatever_traffic_they_have_seen() {
    // Guards against routers that see little of the traffic and take one client for a crowd, or a crowd for one client:
    // together they would keep each part at two caches, and not find it where they look. An object in a single part has
    // one preferred cache, too.
    for in_parts in [true, false] {
        let mut profile = profile();
        profile.content_types[PAGE as usize].in_parts = in_parts;
        let preferred = |busy: bool, seed: u64| {
            let mut host = CheckedHost::with_seed(profile.clone(), seed);
            let mut preferred = Vec::new();
            for object in 0..20u64 {
                for part in 0..if in_parts { 6 } else { 1 } {
                    let dl = host.arrive(PAGE, object, part, Span::millis(3_000));
                    let sent = host.last_pull(dl);
                    preferred.push(sent.pull.node);
                    host.wait(TICK);
                    host.end(sent, PullOutcome::Fulfilled, CacheStatus::Hit);
                    // Meanwhile, other clients request many other objects, or none do.
                    for other in 0..if busy { 12 } else { 0 } {
                        let dl = host.request_page(1_000 + object * 100 + other);
                        let sent = host.last_pull(dl);
                        host.end(sent, PullOutcome::Fulfilled, CacheStatus::Hit);
                    }
                }
            }
            preferred
        };
        let quiet = preferred(false, 1);
        assert_eq!(quiet, preferred(true, 2), "in parts: {in_parts}");
        if in_parts {
            let of_one_object: BTreeSet<_> = quiet[..6].iter().collect();
            assert!(of_one_object.len() >= 2, "one cache can't send all that a crowd wants");
        }
    }
}

#[test]
fn large_fills_at_full_speed_do_not_lower_the_limit_of_the_link() {
    // Guards against refusing fills while the link has room: the larger an object, the nearer its sending alone comes to
    // the part of the target time that counts as slow. Each object takes two seconds to send; only the time beyond that
    // may count.
    let filled = |beyond: Span| {
        let mut profile = profile();
        (profile.content_types[PAGE as usize].target_stretch, profile.may_cancel) = (2.0, false);
        let mut host = CheckedHost::new(profile);
        let (mut under_way, mut filled) = (VecDeque::new(), 0);
        for n in 0..400u64 {
            let dl = host.arrive_with_size(2_000.0, PAGE, n, 0, Span::millis(20_000));
            if !host.throttled(dl) {
                let sent = host.last_pull(dl);
                filled += u32::from(n >= 200 && sent.pull.source.is_some() && !sent.pull.only_held);
                under_way.push_back(sent);
            }
            host.wait(Span::millis(100));
            let due = |sent: &SentPull, now| now >= sent.sent_at + Span::millis(2_020) + beyond;
            while under_way.front().is_some_and(|sent| due(sent, host.now)) {
                let sent = under_way.pop_front().unwrap();
                let only_looked_up = sent.pull.source.is_none() || sent.pull.only_held;
                match only_looked_up {
                    true => host.end(sent, PullOutcome::Missed, CacheStatus::Unknown),
                    false => host.end(sent, PullOutcome::Fulfilled, CacheStatus::Filled),
                }
            }
        }
        filled
    };
    let (at_full_speed, late) = (filled(Span::millis(100)), filled(Span::millis(2_500)));
    assert!(at_full_speed >= 150, "{at_full_speed} of 200 filled at full speed");
    assert!(late < 50, "{late} of 200 filled over a full link");
}

#[test]
fn a_zone_without_caches_pulls_from_parents_if_allowed_and_else_throttles_at_once() {
    // Guards against a zone that nobody serves, or downloads that wait for nothing, while all of its caches are gone.
    for may_bypass in [false, true] {
        let mut host = CheckedHost::new(ServiceProfile { may_bypass, ..profile() });
        CACHES.iter().for_each(|c| host.update_node(*c, Phase::Removed, None));
        let dl = host.request_page(1);
        assert_eq!(host.throttled(dl), !may_bypass);
        let sent =
            host.open_pulls().first().map(|sent| (PARENTS.contains(&sent.pull.node.0), sent.pull.source));
        assert_eq!(sent, may_bypass.then_some((true, Some(NodeIndex(ORIGIN)))));
    }
}

#[test]
fn writes_are_admitted_where_full_caches_turn_others_away() {
    // Guards against turning away the dearest downloads, which run at the origin, since caches are full of others.
    let mut host = CheckedHost::new(profile());
    for n in 0..400 {
        host.arrive(PAGE, n, 0, Span::millis(3_000));
    }
    assert!(host.open_pulls().len() < 200, "the caches should be full");
    let dls: Vec<_> = (0..20).map(|n| host.arrive(WRITE, 1_000 + n, 0, Span::millis(3_000))).collect();
    assert!(dls.iter().all(|dl| !host.throttled(*dl)));
    // A write that certainly never ran goes on elsewhere; one that may have run is abandoned.
    let first = host.last_pull(dls[0]);
    assert_eq!((first.pull.rank, first.pull.source), (0, Some(NodeIndex(ORIGIN))));
    host.end(first, PullOutcome::NoConnection, CacheStatus::Unknown);
    let second = host.last_pull(dls[0]);
    assert_ne!(first.pull.node, second.pull.node);
    host.end(second, PullOutcome::Broken, CacheStatus::Unknown);
    assert!(!host.throttled(dls[0]) && !host.downloads.contains_key(&dls[0]));
}

#[test]
fn many_routers_together_keep_cold_nodes_within_their_allowances() {
    // Guards against routers that each take too large a share of the allowance, at a cache and, by lookups that miss, at
    // a parent.
    let routers = 40;
    let profile = ServiceProfile { zone_routers: vec![0, 0, routers], routers, ..profile() };
    let (cache, parent) = (NodeIndex(CACHES[0]), NodeIndex(PARENTS[0]));
    let mut loads = [(0.0, 0.0); 40];
    for seed in 0..u64::from(routers) {
        let mut host = CheckedHost::with_seed(profile.clone(), seed);
        hits(&mut host, 0..60);
        [cache, parent].iter().for_each(|n| host.update_node(n.0, Phase::Ready, Some(host.now)));
        for (n, window) in loads.iter_mut().enumerate() {
            host.request_page(1_000 + n as u64);
            host.wait(Span::millis(250));
            for sent in host.open_pulls() {
                window.0 += if sent.pull.node == cache { 0.1 } else { 0.0 };
                window.1 += if sent.pull.source == Some(parent) { 0.1 } else { 0.0 };
                host.end(sent, PullOutcome::Missed, CacheStatus::SourceLacks);
                host.leave(sent.dl);
            }
        }
    }
    for (n, window) in loads.windows(4).enumerate() {
        let (age, at) = (n as f64 * 0.25, window.iter().fold((0.0, 0.0), |a, w| (a.0 + w.0, a.1 + w.1)));
        let allowed = (2.0 * (0.2 + 0.08 * age) * 10.0 * 2.5 / 4.0, 2.0 * (0.1 + 0.045 * age) * 10.0 * 4.0);
        assert!(at.0 <= allowed.0 && at.1 <= allowed.1, "{at:?} s of sending in the second from step {n}");
    }
    assert!(loads.iter().any(|w| w.0 > 0.0) && loads.iter().any(|w| w.1 > 0.0), "cold nodes got nothing");
}

#[test]
fn a_parent_that_sends_slowly_leaves_fills_to_the_next_one() {
    // Guards against taking the link in for full, and turning misses away, while only one parent's own link is full.
    let mut host = CheckedHost::new(profile());
    let slow = Some(NodeIndex(PARENTS[0]));
    let mut asked = [0; 4];
    for n in 0..2_400 {
        let dl = host.request_page(n);
        asked[n as usize / 600] += usize::from(host.last_pull(dl).pull.source == slow);
        host.wait(TICK);
        let done =
            |sent: &SentPull| sent.pull.source != slow || host.now.since(sent.sent_at) > Span::millis(400);
        let ends: Vec<_> = host.open_pulls().into_iter().filter(done).collect();
        ends.into_iter().for_each(|sent| host.end(sent, PullOutcome::Fulfilled, CacheStatus::Filled));
    }
    assert!(asked[3] * 10 < asked[0] * 9, "{asked:?} fills from the slow parent");
}

#[test]
fn a_zone_with_half_its_caches_ejected_and_the_rest_cold_pulls_from_parents() {
    // Guards against throttling all misses while the parents are well and only the zone's caches are not.
    let mut host = CheckedHost::new(ServiceProfile { may_bypass: true, ..profile() });
    hits(&mut host, 0..40);
    for n in 0..60 {
        let dl = host.request_page(n);
        let sent = host.last_pull(dl);
        let bad = CACHES[..2].contains(&sent.pull.node.0);
        host.end(sent, if bad { PullOutcome::Error } else { PullOutcome::Fulfilled }, CacheStatus::Hit);
        host.leave(dl);
        host.open_pulls()
            .into_iter()
            .for_each(|sent| host.end(sent, PullOutcome::Cancelled, CacheStatus::Unknown));
        host.wait(TICK * 3.0);
    }
    CACHES[2..].iter().for_each(|c| host.update_node(*c, Phase::Ready, Some(host.now)));
    let dls: Vec<_> = (100..160).map(|n| host.request_page(n)).collect();
    assert!(dls.iter().any(|dl| PARENTS.contains(&host.last_pull(*dl).pull.node.0)));
}

/// Guards against many routers that start together and each assume that all others are idle: a router must learn from
/// its own first second how much each may have under way, not from its first ten.
#[test]
fn a_new_router_assumes_that_the_others_are_as_busy_as_itself() {
    let max_open_pulls = |routers: u16| {
        let mut host =
            CheckedHost::new(ServiceProfile { zone_routers: vec![0, 0, routers], routers, ..profile() });
        let mut max = 0;
        for n in 0..60 {
            host.request_page(n);
            host.request_page(100 + n);
            host.wait(Span::millis(50));
            max = max.max(host.open_pulls().len());
        }
        max
    };
    let (alone, among_many) = (max_open_pulls(1), max_open_pulls(90));
    assert!(alone > 20 && among_many <= 12, "{alone} alone, {among_many} among ninety");
}

#[test]
fn a_flood_of_new_objects_displaces_only_what_was_requested_longest_ago() {
    // Guards against memory that grows with each new name.
    let mut host = CheckedHost::new(ServiceProfile { max_history_entries: 50, ..profile() });
    hits(&mut host, 0..10);
    hits(&mut host, 100..140);
    (0..200).for_each(|_| hits(&mut host, 9..10));
    hits(&mut host, 200..210);
    let rank = |host: &mut CheckedHost, object| {
        let dl = host.request_page(object);
        host.last_pull(dl).pull.rank
    };
    assert_eq!([rank(&mut host, 9), rank(&mut host, 139)], [2, 2], "requested lately");
    assert_eq!(rank(&mut host, 0), 1, "forgotten, as 50 others were requested since");
}
