//! The shares of the archive, which never exceed the budget together, and the rights to fetch: one fetch for
//! all.
mod common;
use common::*;
use harestage::time::{Moment, Span};
use harestage_shape::archive_share::{RateShare, SHARE_TERM, ShareAllocator, ShareLimiter};
use harestage_shape::config::ShapeConfig;
use harestage_shape::fetch_rights::{
    CESSION_TERM as RIGHT_TERM, FetchRight, FetchRights, HANDOVER_WINDOW, HandoverReply,
};
use harestage_shape::topology::{Shape, Versions};
use quickcheck::{Gen, QuickCheck};

/// Hubs come, go, fail and lose answers at random. The sum of the shares in use stays within the budget at
/// every moment, by the hubs' own clocks and not the service's.
#[test]
fn old_and_new_shares_never_exceed_the_budget() {
    fn never_exceeds_budget(events: Vec<(u8, u16, u8)>) -> bool {
        let mut allocator = ShareAllocator::new(250.0);
        let mut hubs: Vec<(ShareLimiter, Option<(RateShare, Moment)>)> = Vec::new();
        let mut now = at_ms(1_000);
        for (delay, wanted_rate, hub_number) in events {
            now = now + Span::millis(u64::from(delay) * 3);
            let at = usize::from(hub_number) % 6;
            while hubs.len() <= at {
                hubs.push((ShareLimiter::new(now), None));
            }
            let (share, in_use) = &mut hubs[at];
            (0..wanted_rate % 50).for_each(|_| {
                share.try_fetch(now);
            });
            let (wanted_rate, applied) = share.take_demand(now);
            let granted = allocator.request(&format!("h{at}"), wanted_rate, applied, 0.0, 6, now);
            // One answer in four is lost.
            if delay % 4 != 0 {
                share.on_share(granted, now, now + Span::millis(2));
                *in_use = Some((granted, now + SHARE_TERM));
            }
            let sum: f64 = hubs.iter().filter_map(|(_, u)| *u).filter(|u| u.1 > now).map(|u| u.0.rate).sum();
            if sum > allocator.budget() + 1e-6 || allocator.allocated(now) > allocator.budget() + 1e-6 {
                return false;
            }
        }
        true
    }
    for seed in 1..=4 {
        let rng = Gen::from_size_and_seed(300, seed);
        QuickCheck::new()
            .rng(rng)
            .tests(100)
            .quickcheck(never_exceeds_budget as fn(Vec<(u8, u16, u8)>) -> bool);
    }
}

#[test]
fn a_new_hub_gets_its_share_from_the_others_and_keeps_its_floor_when_cut_off() {
    let mut allocator = ShareAllocator::new(250.0);
    let mut applied = [0, 0];
    for round in 0..40u64 {
        let now = at_ms(round * 250);
        applied[0] = allocator.request("a", 1_000.0, applied[0], 0.0, 2, now).number;
        if round >= 8 {
            applied[1] = allocator.request("b", 1_000.0, applied[1], 0.0, 2, now).number;
        }
    }
    let granted = allocator.request("b", 1_000.0, applied[1], 0.0, 2, at_ms(10_000));
    assert!((granted.rate - 75.0).abs() < 1e-6, "{granted:?}");
    let now = at_ms(10_000);
    let mut share = ShareLimiter::new(now);
    share.on_share(granted, now, now);
    let started = |share: &mut ShareLimiter, from: u64| {
        (0..1_000u64).filter(|ms| share.try_fetch(at_ms(from + ms))).count()
    };
    assert!((70..=95).contains(&started(&mut share, 10_000)));
    started(&mut share, 11_000);
    let floor_only = started(&mut share, 13_000);
    assert!(
        (17..=24).contains(&floor_only),
        "the floor is 18.75 a second, and a quarter of a second more after a pause: {floor_only}"
    );
}

/// A new leader does not know what its predecessor granted.
#[test]
fn a_new_service_waits_until_its_predecessors_shares_have_ended() {
    let mut allocator = ShareAllocator::new(250.0);
    allocator.start_after_predecessor(at_ms(0));
    assert!(allocator.request("c", 100.0, 0, 0.0, 3, at_ms(100)).rate < 1e-6);
    assert!(allocator.request("c", 100.0, 0, 0.0, 3, at_ms(2_100)).rate > 49.0);
}

#[test]
fn an_older_share_that_arrives_late_is_ignored() {
    let mut share = ShareLimiter::new(at_ms(0));
    let numbered = |rate, number| RateShare { rate, floor: 1.0, number };
    share.on_share(numbered(5.0, 2), at_ms(0), at_ms(0));
    share.on_share(numbered(500.0, 1), at_ms(0), at_ms(1));
    let started = (0..1_000u64).filter(|ms| share.try_fetch(at_ms(*ms))).count();
    assert!((5..=7).contains(&started), "{started}");
}

fn moved_preferred_hub() -> (Versions, u64) {
    let before = Shape::from_config(&two_hubs()).unwrap();
    let mut config = ShapeConfig { version: 2, ..two_hubs() };
    config.hubs.push(hub("c", &["archive"]));
    let after = before.successor(&config).unwrap();
    let c = after.find("c").unwrap();
    let object = (0..).find(|o| harestage_shape::route::preferred_hub(&after, *o) == Some(c)).unwrap();
    let mut versions = Versions::default();
    assert!(versions.insert(before, at_ms(0)) && versions.insert(after, at_ms(1_000)));
    (versions, object)
}

#[test]
fn a_new_preferred_hub_asks_the_former_one_which_then_fetches_no_more() {
    let (versions, object) = moved_preferred_hub();
    let (key, now) = ((object, 0), at_ms(1_100));
    let newest = versions.newest().unwrap();
    let c = newest.find("c").unwrap();
    let old =
        harestage_shape::route::preferred_hub(versions.recent(now, HANDOVER_WINDOW).next().unwrap(), object)
            .unwrap();
    let (mut old_rights, new_rights) = (FetchRights::default(), FetchRights::default());
    assert_eq!(new_rights.check(&versions, c, key, &[], &[], now), FetchRight::Ask(old));
    assert_eq!(old_rights.on_request(key, "c", true, false, now), HandoverReply::Held);
    assert_eq!(old_rights.on_request(key, "c", false, true, now), HandoverReply::UnderWay);
    let HandoverReply::Ceded { until } = old_rights.on_request(key, "c", false, false, now) else { panic!() };
    assert_eq!(new_rights.check(&versions, c, key, &[old], &[], now), FetchRight::Own);
    assert_eq!(old_rights.check(&versions, old, key, &[], &[], now), FetchRight::Ceded { until });
    assert_eq!(
        old_rights.on_request(key, "d", false, false, now),
        HandoverReply::Elsewhere { until },
        "one holder at a time"
    );
    assert_eq!(
        old_rights.on_request(key, "c", false, false, now),
        HandoverReply::Ceded { until },
        "requested again after a pause"
    );
    assert_eq!(old_rights.holder(key, now), Some("c"));
    // The holder has failed: the right returns by itself.
    let later = until + Span::millis(1);
    assert_ne!(old_rights.check(&versions, old, key, &[c], &[], later), FetchRight::Ceded { until });
    assert_eq!(until.since(now), RIGHT_TERM);
    assert_eq!(
        new_rights.check(&versions, c, key, &[], &[], at_ms(1_000) + HANDOVER_WINDOW),
        FetchRight::Own,
        "long after"
    );
}

#[test]
fn ceded_rights_are_bounded() {
    let mut rights = FetchRights::default();
    for n in 0..200_000u64 {
        rights.on_request((n, 0), "c", false, false, at_ms(n / 100));
    }
    assert!(rights.ceded_count() <= 65_537, "{}", rights.ceded_count());
    rights.on_request((0, 1), "c", false, false, at_ms(60_000));
    assert_eq!(rights.ceded_count(), 1, "expired rights are dropped");
}

/// A new leader after one that ran for long: hubs keep what they hold, and don't ignore new shares because
/// their numbers are ahead of the new leader's.
#[test]
fn a_new_leader_lets_hubs_keep_their_granted_rates() {
    let (mut old, mut hubs) =
        (ShareAllocator::new(250.0), [ShareLimiter::new(at_ms(0)), ShareLimiter::new(at_ms(0))]);
    let round = |allocator: &mut ShareAllocator, hubs: &mut [ShareLimiter; 2], now: Moment| {
        for (n, share) in hubs.iter_mut().enumerate() {
            (0..30).for_each(|_| {
                share.try_fetch(now);
            });
            let ((wanted_rate, applied), granted_rate) = (share.take_demand(now), share.granted_rate(now));
            let granted = allocator.request(&format!("h{n}"), wanted_rate, applied, granted_rate, 3, now);
            share.on_share(granted, now, now);
        }
    };
    (0..400).for_each(|n| round(&mut old, &mut hubs, at_ms(n * 200)));
    let held: Vec<f64> = hubs.iter().map(|share| share.granted_rate(at_ms(80_000))).collect();
    assert!(held.iter().all(|rate| *rate > 50.0), "{held:?}");
    let (mut new, from) = (ShareAllocator::new(250.0), 80_800);
    new.start_after_predecessor(at_ms(from));
    for n in 0..20 {
        let now = at_ms(from + n * 200);
        round(&mut new, &mut hubs, now);
        let sum: f64 = hubs.iter().map(|share| share.granted_rate(now)).sum();
        assert!(sum <= new.budget() + 1e-6, "{sum} of {}", new.budget());
        assert!(new.allocated(now) <= new.budget() + 1e-6);
        for (share, held) in hubs.iter().zip(&held) {
            assert!(
                share.granted_rate(now) > held * 0.5,
                "{} after {held}, {n} rounds on",
                share.granted_rate(now)
            );
        }
    }
}

/// A third hub that reports nothing may hold the rest, until the predecessor's term has ended.
#[test]
fn shares_that_no_hub_claims_are_not_allocated_twice() {
    let mut allocator = ShareAllocator::new(250.0);
    allocator.start_after_predecessor(at_ms(0));
    let one = allocator.request("a", 1_000.0, 40, 60.0, 3, at_ms(100));
    assert!((one.rate - 60.0).abs() < 1e-6 && one.number > 40, "{one:?}");
    let other = allocator.request("b", 1_000.0, 0, 0.0, 3, at_ms(100));
    assert_eq!(other.rate, 0.0, "it holds nothing, and the rest may be in use");
    let later = at_ms(100) + SHARE_TERM + SHARE_TERM;
    let all = allocator.request("a", 1_000.0, one.number, 60.0, 3, later);
    assert!(all.rate > 70.0, "{all:?}");
}
