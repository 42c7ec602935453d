//! Many routers that share nothing, each a module of its own, before one cold cache: what they send it is summed.
mod common;

use common::{CACHES, ORIGIN, PAGE, PARENTS, listing, profile};
use harestage::interface::{Action, Event};
use harestage::policy::Policy;
use harestage::state::*;
use harestage::time::{Moment, Span};
use std::collections::BTreeMap;

const COLD: u32 = 2;
const STEP: Span = Span::millis(10);
/// Each download is as large as any other: a tenth of a second of sending.
const KILOBYTES: f32 = 100.0;
const SENDING: Span = Span::millis(100);

struct Router {
    policy: Policy,
    next: u32,
    due: BTreeMap<(Moment, u32, u8), Event>,
    pulls: BTreeMap<u32, u8>,
}

impl Router {
    fn open(routers: u16, seed: u64, now: Moment) -> Router {
        let mut profile = profile();
        (profile.routers, profile.zone_routers) = (routers, vec![0, 0, routers]);
        let policy = Policy::new(profile, seed, now);
        Router { policy, next: 0, due: BTreeMap::new(), pulls: BTreeMap::new() }
    }

    /// Gives the pulls at the cold cache.
    fn turn(&mut self, now: Moment, event: Event) -> usize {
        let (mut orders, mut reached) = (Vec::new(), 0);
        self.policy.step(now, vec![event], &mut orders);
        for order in orders {
            match order {
                Action::Pull(pull) => {
                    let number = self.pulls.entry(pull.dl.0).or_default();
                    let end = PullResult {
                        dl: pull.dl,
                        attempt: *number,
                        node: pull.node,
                        outcome: PullOutcome::Fulfilled,
                        cache_status: CacheStatus::Hit,
                        answered: true,
                        duration: SENDING,
                        first_byte: Span::ZERO,
                    };
                    self.due.insert((now + SENDING, pull.dl.0, *number), Event::PullEnded(end));
                    *number += 1;
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

    fn until(&mut self, now: Moment) -> usize {
        let mut reached = 0;
        while let Some(first) = self.due.first_entry().filter(|first| first.key().0 <= now) {
            let ((at, _, _), event) = first.remove_entry();
            reached += self.turn(at, event);
        }
        reached
    }

    fn arrive(&mut self, now: Moment) -> usize {
        self.next += 1;
        let object = ObjectKey(u64::from(self.next) * 131);
        let (content, leaves_at) = (ContentIndex(PAGE), now + Span::millis(2_000));
        let download = Download {
            content,
            object,
            part: 0,
            group: 0,
            kilobytes: KILOBYTES,
            deadline: leaves_at,
            is_retry: false,
        };
        self.turn(now, Event::Arrived { dl: DownloadIndex(self.next), download })
    }
}

/// Most that reaches the cold cache in any window over what chance explains, and the part of what is allowed that it
/// gets over the whole of its ramp.
fn excess(routers: u16, seed: u64, rate: f64) -> (f64, f64) {
    let start = Moment::at_micros(50_000_000);
    let profile = profile();
    let mut fleet: Vec<Router> =
        (0..routers).map(|n| Router::open(routers, seed * 1_000 + u64::from(n), start)).collect();
    let nodes = CACHES.iter().chain(&PARENTS).chain([&ORIGIN]);
    let started = |n: u32| (n == COLD).then_some(start);
    let listings: Vec<NodeRecord> = nodes.map(|n| listing(*n, Phase::Ready, started(*n))).collect();
    for router in &mut fleet {
        router
            .turn(start, Event::Membership { update: MembershipUpdate::Snapshot, records: listings.clone() });
    }
    let (mut now, mut owed, mut turn) = (start, 0.0, 0usize);
    let mut reached: Vec<(Moment, usize)> = Vec::new();
    while now < start + profile.warm_up_time {
        now = now + STEP;
        let mut sum: usize = fleet.iter_mut().map(|router| router.until(now)).sum();
        owed += rate * STEP.seconds();
        while owed >= 1.0 {
            // In turn, so that each asks alike, whatever their number.
            turn = (turn + 1) % fleet.len();
            sum += fleet[turn].arrive(now);
            owed -= 1.0;
        }
        reached.push((now, sum));
    }
    // What the settings allow: a cache's part of the link in, cold as it is at the window's end, as often as downloads
    // of that size fit into it.
    let link = profile.zone_link_kb_per_s[2] / profile.client_kb_per_s / CACHES.len() as f64;
    let allowed = |at: Moment| {
        let part = profile.cold_share
            + (1.0 - profile.cold_share) * (at.since(start) / profile.warm_up_time).min(1.0);
        profile.overload_factor * part * link * profile.overload_window.seconds() / SENDING.seconds()
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

/// Guards a cold cache against shares that are each rounded up: with many routers the part of one is less than a
/// download.
#[test]
fn a_cold_cache_is_not_pushed_over_by_all_routers_together() {
    for routers in [1, 5, 20, 30, 300] {
        for seed in 1..4 {
            let (excess, part) = excess(routers, seed, 400.0);
            assert!(excess <= 0.0, "{routers} routers, seed {seed}: {excess:.1} more than chance explains");
            assert!(part > 0.05, "{routers} routers, seed {seed}: {part:.2} of what it may get");
        }
    }
}
