//! The policy against the plain reading of the rules in `common`, on generated events with fixed seeds.
mod common;
use common::*;
use harestage::state::*;
use harestage::time::Span;
use quickcheck::{Gen, QuickCheck};

fn millis(ms: u16) -> Span {
    Span::millis(u64::from(ms))
}

/// Does one of the things that clients, nodes or time can do.
fn step(host: &mut CheckedHost, (kind, choice, amount): (u8, u8, u16)) {
    let node = u32::from(amount) % 10;
    match kind % 16 {
        0..=5 => {
            let (object, part) = (u64::from(amount % 7), u32::from(amount % 3));
            host.arrive(u16::from(choice % 4), object, part, millis(200 + amount % 2_500));
        }
        6..=10 => {
            let open_pulls = host.open_pulls();
            if open_pulls.is_empty() {
                return;
            }
            use CacheStatus::{Filled, FromOrigin, Hit, NoFillSlot, SourceLost, SourceRefused, Unknown};
            use PullOutcome::{Broken, Cancelled, Error, Fulfilled, Full, Missed, NoConnection, NotSent};
            let served =
                [(Fulfilled, Hit), (Fulfilled, FromOrigin), (Fulfilled, Filled), (Full, SourceRefused)];
            let failed = [(Error, Unknown), (Error, SourceLost), (Full, Unknown), (Full, NoFillSlot)];
            let lost = [(Missed, Unknown), (NoConnection, Unknown), (Broken, Unknown), (Cancelled, Unknown)];
            let all = [served, failed, lost, [(NotSent, Unknown); 4]].concat();
            let (outcome, cache_status) = all[choice as usize % 13];
            host.end(open_pulls[amount as usize % open_pulls.len()], outcome, cache_status);
        }
        11 => host.wait(millis(amount % 900)),
        12 => {
            let phase = [Phase::Ready, Phase::Draining, Phase::Removed, Phase::Ready][choice as usize % 4];
            let started = (phase == Phase::Ready).then(|| host.now.before(millis(amount % 3_000)));
            host.update_node(node, phase, started.filter(|_| choice % 8 > 3));
        }
        13 => {
            let kept = host.members.values().filter(|record| record.node.0 != node).copied().collect();
            host.update_members(MembershipUpdate::Snapshot, kept);
        }
        14 => {
            let object = (choice % 2 == 0).then(|| u64::from(amount % 7));
            host.purge(object, u32::from(amount % 3), millis(amount % 500));
        }
        _ => {
            if let Some(dl) =
                host.downloads.keys().nth(choice as usize % host.downloads.len().max(1)).copied()
            {
                host.leave(dl);
            }
        }
    }
    host.wait(Span::millis(u64::from(choice % 5) * 10));
}

fn play(may_cancel: bool, steps: &[(u8, u8, u16)]) {
    let mut profile = profile();
    profile.may_cancel = may_cancel;
    let mut host = CheckedHost::new(profile);
    steps.iter().for_each(|choices| step(&mut host, *choices));
    host.wait(Span::millis(4_000));
    assert!(host.downloads.is_empty(), "rule 1: downloads were left without an answer");
}

#[test]
fn the_policy_keeps_the_rules_under_generated_events() {
    fn keeps_rules(may_cancel: bool, steps: Vec<(u8, u8, u16)>) -> bool {
        play(may_cancel, &steps);
        true
    }
    for seed in 1..=6 {
        let rng = Gen::from_size_and_seed(220, seed);
        QuickCheck::new().rng(rng).tests(200).quickcheck(keeps_rules as fn(bool, Vec<(u8, u8, u16)>) -> bool);
    }
}
