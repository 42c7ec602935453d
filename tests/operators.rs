//! What operators with other settings bring, beside the plain reading of the rules in `common`: content types that may be
//! repeated only where and while repeats are dropped, purges that cross fills, caches that pause, lists that are stale.
mod common;
use common::*;
use harestage::interface::Action;
use harestage::state::*;
use harestage::time::Span;

/// Deduped within a cell, and everywhere, for a second each.
const IN_CELL: u16 = 2;
const EVERYWHERE: u16 = 3;

fn pulls(front: &Front, dl: u32) -> Vec<Placed> {
    let of = front.orders.iter().filter_map(|o| match o {
        Action::Pull(pull) if pull.dl.0 == dl => Some(*pull),
        _ => None,
    });
    let placed = |(n, pull)| Placed { dl, number: n as u8, pull, sent: front.now };
    of.enumerate().map(placed).collect()
}

#[test]
fn a_deduped_pull_is_repeated_inside_its_window_and_not_after_it() {
    for (content, after_ms, again) in [
        (EVERYWHERE, 300, true),
        (EVERYWHERE, 990, true),
        (EVERYWHERE, 1_010, false),
        (IN_CELL, 1_010, false),
    ] {
        let mut front = Front::open(profile());
        let dl = front.arrive(content, 1, 0, Span::millis(3_000));
        let first = front.last_pull(dl);
        front.wait(Span::millis(after_ms));
        front.end(first, PullOutcome::Broken, CacheStatus::Unknown);
        let out = pulls(&front, dl);
        assert_eq!(out.len() == 2, again, "content {content}, {after_ms} ms after its first pull");
        if again {
            // One that waits for its connection is not sent after the window has closed.
            let left = Span::millis(1_000 - after_ms);
            assert!(out[1].pull.connect_within > Span::ZERO && out[1].pull.connect_within <= left);
        }
    }
}

#[test]
fn what_is_dropped_within_a_cell_goes_on_in_that_cell_or_not_at_all() {
    // Caches 0 and 1 share a cell, and 2 and 3.
    for other_is_there in [true, false] {
        for object in 0..40 {
            let mut front = Front::open(profile());
            let dl = front.arrive(IN_CELL, object, 0, Span::millis(3_000));
            let first = front.last_pull(dl);
            let home = first.pull.node.0;
            if !other_is_there {
                front.relist(home ^ 1, Phase::Removed, None);
                front.relist(home, Phase::Removed, None);
            }
            front.end(first, PullOutcome::Error, CacheStatus::Unknown);
            let others = pulls(&front, dl).into_iter().skip(1).map(|p| p.pull.node.0);
            assert!(others.clone().all(|node| node / 2 == home / 2), "{object}: sent on to another cell");
            assert!(other_is_there || others.count() == 0, "{object}: nobody of its cell is left");
        }
    }
}

#[test]
fn a_write_that_may_have_run_is_never_sent_again_and_one_that_did_not_is() {
    use PullOutcome::{Broken, Error, NoConnection, NotSent, TimedOut};
    for (ending, again) in
        [(Broken, false), (Error, false), (TimedOut, false), (NoConnection, true), (NotSent, true)]
    {
        let mut front = Front::open(profile());
        let dl = front.arrive(WRITE, 5, 0, Span::millis(3_000));
        let first = front.last_pull(dl);
        front.end(first, ending, CacheStatus::Unknown);
        assert_eq!(pulls(&front, dl).len() == 2, again, "{ending:?}");
        let invited = front.throttled(dl);
        assert!(again || !invited, "{ending:?}: a repeat of what may have run was invited");
    }
}

#[test]
fn a_copy_filled_before_a_purge_answers_nothing_sent_after_it_however_the_word_of_it_crosses() {
    // By object and by group; heard while the fill is under way, after it, and late, of a moment before the fill.
    for by_group in [false, true] {
        for when in ["under way", "after", "late"] {
            let mut front = Front::open(profile());
            let dl = front.page(4);
            let first = front.last_pull(dl);
            front.wait(Span::millis(100));
            let purge = |front: &mut Front, ago: Span| match by_group {
                true => front.purge(None, 4 % 3, ago),
                false => front.purge(Some(4), 0, ago),
            };
            if when == "under way" {
                purge(&mut front, Span::ZERO);
            }
            front.wait(Span::millis(100));
            front.end(first, PullOutcome::Fulfilled, CacheStatus::FromOrigin);
            match when {
                "after" => purge(&mut front, Span::ZERO),
                "late" => purge(&mut front, Span::millis(300)),
                _ => {}
            }
            front.wait(Span::millis(50));
            let dl = front.page(4);
            let next = front.last_pull(dl);
            // It may be as old as the purge, and no older; the front's own reading of rule 5 says the same of each pull.
            let since = if when == "under way" {
                150
            } else if when == "after" {
                50
            } else {
                350
            };
            let oldest = next.pull.max_age;
            assert!(oldest > Span::ZERO && oldest <= Span::millis(since), "{when}, {by_group}: {oldest:?}");
            // Another object of no purge is as before.
            let dl = front.page(6);
            assert_eq!(front.last_pull(dl).pull.max_age, Span::ZERO, "{when}, {by_group}");
        }
    }
}

#[test]
fn a_cache_that_pauses_and_answers_all_is_home_again_at_once() {
    // Guards against taking a pause for a fault that lasts: what waits may go elsewhere, the next comes home.
    let mut front = Front::open(profile());
    let mut at_home = Vec::new();
    for n in 0..200 {
        let dl = front.page(n);
        let out = front.last_pull(dl);
        front.wait(Span::millis(10));
        front.end(out, PullOutcome::Fulfilled, CacheStatus::Hit);
        if out.pull.node.0 == 2 {
            at_home.push(n);
        }
    }
    let waiting: Vec<u32> = at_home[..4].iter().map(|object| front.page(*object)).collect();
    let waiting: Vec<Placed> = waiting.into_iter().map(|dl| front.last_pull(dl)).collect();
    assert!(waiting.iter().all(|out| out.pull.node.0 == 2));
    front.wait(Span::millis(120));
    waiting.into_iter().for_each(|out| front.end(out, PullOutcome::Fulfilled, CacheStatus::Hit));
    for object in &at_home[4..12] {
        let dl = front.page(*object);
        assert_eq!(front.last_pull(dl).pull.node.0, 2, "{object} comes home");
    }
}

#[test]
fn a_stale_list_costs_pulls_that_find_nobody_and_no_download() {
    // A cache is gone, and the list goes on to name it: refused connections send its downloads elsewhere.
    let mut front = Front::open(profile());
    let dl = front.page(3);
    let gone = front.last_pull(dl).pull.node;
    front.end(front.last_pull(dl), PullOutcome::Fulfilled, CacheStatus::Hit);
    let (mut refused, mut served) = (0, 0);
    for n in 0..300u64 {
        let dl = front.page(n % 20);
        while let Some(out) = front.out().into_iter().find(|out| out.dl == dl) {
            front.wait(Span::millis(5));
            match out.pull.node == gone {
                true => {
                    refused += 1;
                    front.end(out, PullOutcome::NoConnection, CacheStatus::Unknown);
                }
                false => {
                    served += 1;
                    front.end(out, PullOutcome::Fulfilled, CacheStatus::Hit);
                }
            }
        }
    }
    assert_eq!(served, 300, "each is served by another cache");
    assert!(refused < 30, "{refused} pulls to one that is not there");
}
