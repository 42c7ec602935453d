//! The archive's gate and the right to fetch: parts that never add up to more than the whole, and one fetch for all.
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

/// Hubs come, go, die and lose answers as chance has it; the sum of what they may use stays under the whole at every
/// moment, by the hubs' own reckoning and not the service's.
#[test]
fn old_and_new_parts_never_add_up_to_more_than_the_whole() {
    fn holds(events: Vec<(u8, u16, u8)>) -> bool {
        let mut sharing = ShareAllocator::new(250.0);
        let mut hubs: Vec<(ShareLimiter, Option<(RateShare, Moment)>)> = Vec::new();
        let mut now = at_ms(1_000);
        for (what, wants, which) in events {
            now = now + Span::millis(u64::from(what) * 3);
            let at = usize::from(which) % 6;
            while hubs.len() <= at {
                hubs.push((ShareLimiter::new(now), None));
            }
            let (share, in_use) = &mut hubs[at];
            (0..wants % 50).for_each(|_| {
                share.try_fetch(now);
            });
            let (want, taken) = share.take_demand(now);
            let part = sharing.request(&format!("h{at}"), want, taken, 0.0, 6, now);
            // One answer in four is lost.
            if what % 4 != 0 {
                share.on_share(part, now, now + Span::millis(2));
                *in_use = Some((part, now + SHARE_TERM));
            }
            let sum: f64 = hubs.iter().filter_map(|(_, u)| *u).filter(|u| u.1 > now).map(|u| u.0.rate).sum();
            if sum > sharing.budget() + 1e-6 || sharing.allocated(now) > sharing.budget() + 1e-6 {
                return false;
            }
        }
        true
    }
    for seed in 1..=4 {
        let rng = Gen::from_size_and_seed(300, seed);
        QuickCheck::new().rng(rng).tests(100).quickcheck(holds as fn(Vec<(u8, u16, u8)>) -> bool);
    }
}

#[test]
fn a_hub_that_comes_gets_room_as_others_let_go_and_keeps_its_floor_when_cut_off() {
    let mut sharing = ShareAllocator::new(250.0);
    let mut taken = [0, 0];
    for round in 0..40u64 {
        let now = at_ms(round * 250);
        taken[0] = sharing.request("a", 1_000.0, taken[0], 0.0, 2, now).number;
        if round >= 8 {
            taken[1] = sharing.request("b", 1_000.0, taken[1], 0.0, 2, now).number;
        }
    }
    let part = sharing.request("b", 1_000.0, taken[1], 0.0, 2, at_ms(10_000));
    assert!((part.rate - 75.0).abs() < 1e-6, "{part:?}");
    let now = at_ms(10_000);
    let mut share = ShareLimiter::new(now);
    share.on_share(part, now, now);
    let begun = |share: &mut ShareLimiter, from: u64| {
        (0..1_000u64).filter(|ms| share.try_fetch(at_ms(from + ms))).count()
    };
    assert!((70..=95).contains(&begun(&mut share, 10_000)));
    begun(&mut share, 11_000);
    let alone = begun(&mut share, 13_000);
    assert!(
        (17..=24).contains(&alone),
        "the floor is 18.75 a second, after a rest a quarter second more: {alone}"
    );
}

/// Whoever takes the service over does not know what was given out.
#[test]
fn a_new_service_waits_until_its_forerunners_parts_have_ended() {
    let mut sharing = ShareAllocator::new(250.0);
    sharing.start_after_predecessor(at_ms(0));
    assert!(sharing.request("c", 100.0, 0, 0.0, 3, at_ms(100)).rate < 1e-6);
    assert!(sharing.request("c", 100.0, 0, 0.0, 3, at_ms(2_100)).rate > 49.0);
}

#[test]
fn an_older_part_that_comes_late_is_passed_over() {
    let mut share = ShareLimiter::new(at_ms(0));
    let part = |rate, number| RateShare { rate, floor: 1.0, number };
    share.on_share(part(5.0, 2), at_ms(0), at_ms(0));
    share.on_share(part(500.0, 1), at_ms(0), at_ms(1));
    let begun = (0..1_000u64).filter(|ms| share.try_fetch(at_ms(*ms))).count();
    assert!((5..=7).contains(&begun), "{begun}");
}

fn moved_home() -> (Versions, u64) {
    let before = Shape::from_config(&two_hubs()).unwrap();
    let mut form = ShapeConfig { version: 2, ..two_hubs() };
    form.hubs.push(hub("c", &["archive"]));
    let after = before.successor(&form).unwrap();
    let c = after.find("c").unwrap();
    let object = (0..).find(|o| harestage_shape::route::preferred_hub(&after, *o) == Some(c)).unwrap();
    let mut versions = Versions::default();
    assert!(versions.insert(before, at_ms(0)) && versions.insert(after, at_ms(1_000)));
    (versions, object)
}

#[test]
fn a_new_home_asks_the_old_one_and_the_old_one_fetches_no_more() {
    let (versions, object) = moved_home();
    let (key, now) = ((object, 0), at_ms(1_100));
    let newest = versions.newest().unwrap();
    let c = newest.find("c").unwrap();
    let old =
        harestage_shape::route::preferred_hub(versions.recent(now, HANDOVER_WINDOW).next().unwrap(), object)
            .unwrap();
    let (mut old_shield, new_shield) = (FetchRights::default(), FetchRights::default());
    assert_eq!(new_shield.check(&versions, c, key, &[], &[], now), FetchRight::Ask(old));
    assert_eq!(old_shield.on_request(key, "c", true, false, now), HandoverReply::Held);
    assert_eq!(old_shield.on_request(key, "c", false, true, now), HandoverReply::UnderWay);
    let HandoverReply::Ceded { until } = old_shield.on_request(key, "c", false, false, now) else { panic!() };
    assert_eq!(new_shield.check(&versions, c, key, &[old], &[], now), FetchRight::Own);
    assert_eq!(old_shield.check(&versions, old, key, &[], &[], now), FetchRight::Ceded { until });
    assert_eq!(
        old_shield.on_request(key, "d", false, false, now),
        HandoverReply::Elsewhere { until },
        "one holder at a time"
    );
    assert_eq!(
        old_shield.on_request(key, "c", false, false, now),
        HandoverReply::Ceded { until },
        "asked again after a break"
    );
    assert_eq!(old_shield.holder(key, now), Some("c"));
    // The holder died: the right comes back by itself.
    let later = until + Span::millis(1);
    assert_ne!(old_shield.check(&versions, old, key, &[c], &[], later), FetchRight::Ceded { until });
    assert_eq!(until.since(now), RIGHT_TERM);
    assert_eq!(
        new_shield.check(&versions, c, key, &[], &[], at_ms(1_000) + HANDOVER_WINDOW),
        FetchRight::Own,
        "long after"
    );
}

#[test]
fn rights_given_away_are_bounded() {
    let mut shield = FetchRights::default();
    for n in 0..200_000u64 {
        shield.on_request((n, 0), "c", false, false, at_ms(n / 100));
    }
    assert!(shield.ceded_count() <= 65_537, "{}", shield.ceded_count());
    shield.on_request((0, 1), "c", false, false, at_ms(60_000));
    assert_eq!(shield.ceded_count(), 1, "what is over is forgotten");
}

/// A service that takes over from one that ran for long: hubs go on with what they hold at once, and pass nothing by for
/// having counted further than the new one.
#[test]
fn a_service_that_takes_over_leaves_hubs_what_they_hold() {
    let (mut old, mut hubs) =
        (ShareAllocator::new(250.0), [ShareLimiter::new(at_ms(0)), ShareLimiter::new(at_ms(0))]);
    let round = |sharing: &mut ShareAllocator, hubs: &mut [ShareLimiter; 2], now: Moment| {
        for (n, share) in hubs.iter_mut().enumerate() {
            (0..30).for_each(|_| {
                share.try_fetch(now);
            });
            let ((wants, taken), holds) = (share.take_demand(now), share.granted_rate(now));
            let part = sharing.request(&format!("h{n}"), wants, taken, holds, 3, now);
            share.on_share(part, now, now);
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

/// A third hub that says nothing may hold the rest of it, until the forerunner's term has ended.
#[test]
fn what_nobody_speaks_for_is_not_given_out_twice() {
    let mut sharing = ShareAllocator::new(250.0);
    sharing.start_after_predecessor(at_ms(0));
    let one = sharing.request("a", 1_000.0, 40, 60.0, 3, at_ms(100));
    assert!((one.rate - 60.0).abs() < 1e-6 && one.number > 40, "{one:?}");
    let other = sharing.request("b", 1_000.0, 0, 0.0, 3, at_ms(100));
    assert_eq!(other.rate, 0.0, "it holds nothing, and the rest may be in use");
    let later = at_ms(100) + SHARE_TERM + SHARE_TERM;
    let all = sharing.request("a", 1_000.0, one.number, 60.0, 3, later);
    assert!(all.rate > 70.0, "{all:?}");
}
