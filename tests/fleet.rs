//! Many routers, each with a policy of its own and no contact between them, send to one cold cache; their load is summed.
mod common;

use common::{CACHES, ORIGIN, PAGE, PARENTS, node_record, profile};
use harestage::interface::{Action, Event};
use harestage::policy::Policy;
use harestage::state::*;
use harestage::time::{Moment, Span};
use std::collections::BTreeMap;

const COLD: u32 = 2;
const STEP: Span = Span::millis(10);
/// All downloads have the same size, which takes a tenth of a second to send.
const KILOBYTES: f32 = 100.0;
const SENDING: Span = Span::millis(100);

struct Router {
    policy: Policy,
    next_download: u32,
    /// Ends of pulls and timers, in the order of their time.
    due: BTreeMap<(Moment, u32, u8), Event>,
    /// Number of pulls of each download.
    pulls: BTreeMap<u32, u8>,
}

impl Router {
    fn new(routers: u16, seed: u64, now: Moment) -> Router {
        let mut profile = profile();
        (profile.routers, profile.zone_routers) = (routers, vec![0, 0, routers]);
        let policy = Policy::new(profile, seed, now);
        Router { policy, next_download: 0, due: BTreeMap::new(), pulls: BTreeMap::new() }
    }

    /// Handles an event. Gives the number of pulls that were sent to the cold cache.
    fn step(&mut self, now: Moment, event: Event) -> usize {
        let (mut actions, mut reached) = (Vec::new(), 0);
        self.policy.step(now, vec![event], &mut actions);
        for action in actions {
            match action {
                Action::Pull(pull) => {
                    let attempt = self.pulls.entry(pull.dl.0).or_default();
                    let end = PullResult {
                        dl: pull.dl,
                        attempt: *attempt,
                        node: pull.node,
                        outcome: PullOutcome::Fulfilled,
                        cache_status: CacheStatus::Hit,
                        answered: true,
                        duration: SENDING,
                        first_byte: Span::ZERO,
                    };
                    self.due.insert((now + SENDING, pull.dl.0, *attempt), Event::PullEnded(end));
                    *attempt += 1;
                    reached += usize::from(pull.node.0 == COLD);
                }
                Action::SetTimer { after, timer } => {
                    self.due.insert((now + after, u32::MAX, 0), Event::TimerFired { timer });
                }
                _ => {}
            }
        }
        reached
    }

    /// Handles all that is due until `now`.
    fn until(&mut self, now: Moment) -> usize {
        let mut reached = 0;
        while let Some(first) = self.due.first_entry().filter(|first| first.key().0 <= now) {
            let ((at, _, _), event) = first.remove_entry();
            reached += self.step(at, event);
        }
        reached
    }

    /// A client requests a new object.
    fn arrive(&mut self, now: Moment) -> usize {
        self.next_download += 1;
        let object = ObjectKey(u64::from(self.next_download) * 131);
        let (content, deadline) = (ContentIndex(PAGE), now + Span::millis(2_000));
        let download =
            Download { content, object, part: 0, group: 0, kilobytes: KILOBYTES, deadline, is_retry: false };
        self.step(now, Event::Arrived { dl: DownloadIndex(self.next_download), download })
    }
}

/// By how much the pulls at the cold cache exceed, in the worst window, what is allowed plus what chance explains; and
/// the part of the allowance that the cache gets over its whole warm-up.
fn excess(routers: u16, seed: u64, rate: f64) -> (f64, f64) {
    let start = Moment::at_micros(50_000_000);
    let profile = profile();
    let mut fleet: Vec<Router> =
        (0..routers).map(|n| Router::new(routers, seed * 1_000 + u64::from(n), start)).collect();
    let nodes = CACHES.iter().chain(&PARENTS).chain([&ORIGIN]);
    let started = |node: u32| (node == COLD).then_some(start);
    let records: Vec<NodeRecord> =
        nodes.map(|node| node_record(*node, Phase::Ready, started(*node))).collect();
    for router in &mut fleet {
        router
            .step(start, Event::Membership { update: MembershipUpdate::Snapshot, records: records.clone() });
    }
    let (mut now, mut pending, mut router) = (start, 0.0, 0usize);
    let mut reached: Vec<(Moment, usize)> = Vec::new();
    while now < start + profile.warm_up_time {
        now = now + STEP;
        let mut sum: usize = fleet.iter_mut().map(|router| router.until(now)).sum();
        pending += rate * STEP.seconds();
        while pending >= 1.0 {
            // The routers take turns, so that each gets the same load, whatever their number.
            router = (router + 1) % fleet.len();
            sum += fleet[router].arrive(now);
            pending -= 1.0;
        }
        reached.push((now, sum));
    }
    // What the settings allow: the number of downloads of that size that fit into the cache's part of the link in, at
    // the share of its capacity that it has by the end of the window.
    let link = profile.zone_link_kb_per_s[2] / profile.client_kb_per_s / CACHES.len() as f64;
    let allowed = |at: Moment| {
        let share = profile.cold_share
            + (1.0 - profile.cold_share) * (at.since(start) / profile.warm_up_time).min(1.0);
        profile.overload_factor * share * link * profile.overload_window.seconds() / SENDING.seconds()
    };
    let worst = reached.iter().map(|(from, _)| {
        let within = |(at, _): &&(Moment, usize)| *at >= *from && at.since(*from) < profile.overload_window;
        let sum: usize = reached.iter().filter(within).map(|(_, sum)| sum).sum();
        let allowed = allowed(*from + profile.overload_window);
        sum as f64 - (allowed + 2.0 * allowed.sqrt() + 2.0)
    });
    let got: usize = reached.iter().map(|(_, sum)| sum).sum();
    let whole: f64 = reached.iter().map(|(at, _)| allowed(*at) * (STEP / profile.overload_window)).sum();
    (worst.fold(f64::MIN, f64::max), got as f64 / whole)
}

/// Guards against many routers that each round up their share of the allowance, which is less than one download.
#[test]
fn a_cold_cache_is_not_overloaded_by_all_routers_together() {
    for routers in [1, 5, 20, 30, 300] {
        for seed in 1..4 {
            let (excess, part) = excess(routers, seed, 400.0);
            assert!(excess <= 0.0, "{routers} routers, seed {seed}: {excess:.1} more than chance explains");
            assert!(part > 0.05, "{routers} routers, seed {seed}: {part:.2} of what it may get");
        }
    }
}
