//! Situations that operators with other settings bring, checked beyond the rules in `common`: content types that may be
//! repeated only where and while caches drop repeats, purges that cross fills, caches that pause, stale member lists.
mod common;
use common::*;
use harestage::interface::Action;
use harestage::state::*;
use harestage::time::Span;

/// Content types that are deduped for a second, the one within a cell, the other everywhere.
const IN_CELL: u16 = 2;
const EVERYWHERE: u16 = 3;

/// All pulls that were sent for a download, with now as the time of their sending.
fn pulls(host: &CheckedHost, dl: u32) -> Vec<SentPull> {
    let pulls = host.actions.iter().filter_map(|action| match action {
        Action::Pull(pull) if pull.dl.0 == dl => Some(*pull),
        _ => None,
    });
    let sent = |(number, pull)| SentPull { dl, attempt: number as u8, pull, sent_at: host.now };
    pulls.enumerate().map(sent).collect()
}

#[test]
fn a_deduped_pull_is_repeated_inside_its_window_and_not_after_it() {
    for (content, after_ms, repeated) in [
        (EVERYWHERE, 300, true),
        (EVERYWHERE, 990, true),
        (EVERYWHERE, 1_010, false),
        (IN_CELL, 1_010, false),
    ] {
        let mut host = CheckedHost::new(profile());
        let dl = host.arrive(content, 1, 0, Span::millis(3_000));
        let first = host.last_pull(dl);
        host.wait(Span::millis(after_ms));
        host.end(first, PullOutcome::Broken, CacheStatus::Unknown);
        let sent = pulls(&host, dl);
        assert_eq!(sent.len() == 2, repeated, "content {content}, {after_ms} ms after its first pull");
        if repeated {
            // While it waits for its connection, the window may close; then it must not be sent any more.
            let left = Span::millis(1_000 - after_ms);
            assert!(sent[1].pull.connect_within > Span::ZERO && sent[1].pull.connect_within <= left);
        }
    }
}

#[test]
fn a_download_deduped_within_a_cell_is_repeated_in_that_cell_or_not_at_all() {
    // Caches 0 and 1 share a cell, and 2 and 3.
    for other_is_ready in [true, false] {
        for object in 0..40 {
            let mut host = CheckedHost::new(profile());
            let dl = host.arrive(IN_CELL, object, 0, Span::millis(3_000));
            let first = host.last_pull(dl);
            let preferred = first.pull.node.0;
            if !other_is_ready {
                host.update_node(preferred ^ 1, Phase::Removed, None);
                host.update_node(preferred, Phase::Removed, None);
            }
            host.end(first, PullOutcome::Error, CacheStatus::Unknown);
            let others = pulls(&host, dl).into_iter().skip(1).map(|sent| sent.pull.node.0);
            assert!(
                others.clone().all(|node| node / 2 == preferred / 2),
                "{object}: repeated in another cell"
            );
            assert!(
                other_is_ready || others.count() == 0,
                "{object}: repeated though its cell has no cache left"
            );
        }
    }
}

#[test]
fn a_write_that_may_have_run_is_never_sent_again_and_one_that_did_not_is() {
    use PullOutcome::{Broken, Error, NoConnection, NotSent, TimedOut};
    for (outcome, repeated) in
        [(Broken, false), (Error, false), (TimedOut, false), (NoConnection, true), (NotSent, true)]
    {
        let mut host = CheckedHost::new(profile());
        let dl = host.arrive(WRITE, 5, 0, Span::millis(3_000));
        let first = host.last_pull(dl);
        host.end(first, outcome, CacheStatus::Unknown);
        assert_eq!(pulls(&host, dl).len() == 2, repeated, "{outcome:?}");
        let invited = host.throttled(dl);
        assert!(repeated || !invited, "{outcome:?}: a repeat of what may have run was invited");
    }
}

#[test]
fn a_copy_filled_before_a_purge_answers_no_later_request_whenever_the_purge_is_heard() {
    // Purges by object and by group, heard while the fill is under way, after it, and late, as one from before the fill.
    for by_group in [false, true] {
        for when in ["under way", "after", "late"] {
            let mut host = CheckedHost::new(profile());
            let dl = host.request_page(4);
            let first = host.last_pull(dl);
            host.wait(Span::millis(100));
            let purge = |host: &mut CheckedHost, ago: Span| match by_group {
                true => host.purge(None, 4 % 3, ago),
                false => host.purge(Some(4), 0, ago),
            };
            if when == "under way" {
                purge(&mut host, Span::ZERO);
            }
            host.wait(Span::millis(100));
            host.end(first, PullOutcome::Fulfilled, CacheStatus::FromOrigin);
            match when {
                "after" => purge(&mut host, Span::ZERO),
                "late" => purge(&mut host, Span::millis(300)),
                _ => {}
            }
            host.wait(Span::millis(50));
            let dl = host.request_page(4);
            let next = host.last_pull(dl);
            // The copy may be as old as the purge and no older. The host checks this for each pull (rule 5).
            let since_ms = if when == "under way" {
                150
            } else if when == "after" {
                50
            } else {
                350
            };
            let max_age = next.pull.max_age;
            assert!(
                max_age > Span::ZERO && max_age <= Span::millis(since_ms),
                "{when}, {by_group}: {max_age:?}"
            );
            // An object that no purge covers may be of any age.
            let dl = host.request_page(6);
            assert_eq!(host.last_pull(dl).pull.max_age, Span::ZERO, "{when}, {by_group}");
        }
    }
}

#[test]
fn a_cache_that_answers_everything_after_a_pause_is_preferred_again_at_once() {
    // Guards against taking a pause for a lasting fault: waiting downloads may go elsewhere, but the next ones must come
    // to their preferred cache again.
    let mut host = CheckedHost::new(profile());
    let mut objects = Vec::new();
    for n in 0..200 {
        let dl = host.request_page(n);
        let sent = host.last_pull(dl);
        host.wait(Span::millis(10));
        host.end(sent, PullOutcome::Fulfilled, CacheStatus::Hit);
        if sent.pull.node.0 == 2 {
            objects.push(n);
        }
    }
    let waiting: Vec<u32> = objects[..4].iter().map(|object| host.request_page(*object)).collect();
    let waiting: Vec<SentPull> = waiting.into_iter().map(|dl| host.last_pull(dl)).collect();
    assert!(waiting.iter().all(|sent| sent.pull.node.0 == 2));
    host.wait(Span::millis(120));
    waiting.into_iter().for_each(|sent| host.end(sent, PullOutcome::Fulfilled, CacheStatus::Hit));
    for object in &objects[4..12] {
        let dl = host.request_page(*object);
        assert_eq!(host.last_pull(dl).pull.node.0, 2, "{object} goes to its preferred cache");
    }
}

#[test]
fn a_stale_member_list_costs_refused_connections_and_no_download() {
    // A cache is gone but still on the list: refused connections send its downloads elsewhere.
    let mut host = CheckedHost::new(profile());
    let dl = host.request_page(3);
    let gone = host.last_pull(dl).pull.node;
    host.end(host.last_pull(dl), PullOutcome::Fulfilled, CacheStatus::Hit);
    let (mut refused, mut served) = (0, 0);
    for n in 0..300u64 {
        let dl = host.request_page(n % 20);
        while let Some(sent) = host.open_pulls().into_iter().find(|sent| sent.dl == dl) {
            host.wait(Span::millis(5));
            match sent.pull.node == gone {
                true => {
                    refused += 1;
                    host.end(sent, PullOutcome::NoConnection, CacheStatus::Unknown);
                }
                false => {
                    served += 1;
                    host.end(sent, PullOutcome::Fulfilled, CacheStatus::Hit);
                }
            }
        }
    }
    assert_eq!(served, 300, "each download is served by another cache");
    assert!(refused < 30, "{refused} pulls to a cache that is gone");
}
