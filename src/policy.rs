//! Every decision of a router: to which cache a download's pull goes, from which source the cache may fill,
//! when a download is throttled, and when a pull is repeated elsewhere.
//!
//! A host creates one `Policy` and calls `Policy::step` with the events of a moment. Events and actions are
//! defined in `interface.rs`, the data in `state.rs`. Inside, a `Dispatcher` finds the way of each download,
//! and one `NodeState` for each cache, parent and origin accepts or declines pulls and fills; they exchange
//! messages.
//!
//! An ordinary download takes the way that the design (docs/design.md) gives it. Weighted rendezvous hashing
//! names the object's preferred cache in the router's zone and its preferred parent. `RequestHistory` keeps
//! the last request of each object and estimates two characteristic times τ: how long the caches of the zone,
//! and the parents, keep a copy that nobody asks for. A copy whose last gap between requests is longer than τ
//! would be evicted before its next use, so that it is not kept (`Dispatcher::offer_pull`).
//!
//! Six mechanisms protect the service against failures and overload. Comments refer to them by number:
//! (1) Outlier ejection: a cache or parent that fails several times in a row is not used for a while. The
//!     first pull or fill after that time is a probe; its success brings the node back.
//! (2) Slow start of cold nodes: a cache or parent that has just started gets only this router's share of the
//!     load that it can carry, which grows until the node is warm.
//! (3) Recalling lost pulls: a pull that is long overdue, or whose node was ejected or removed, is cancelled,
//!     and the download goes on, if need be at the next node in hash order.
//! (4) Probabilistic load shedding by adaptive concurrency limits: the limit of each cache, and of each
//!     parent for fills, follows its answer times. As a node comes near its limit, pulls are turned away at
//!     random, cheap downloads more often than dear ones.
//! (5) Purge memory: a router remembers recent purges and accepts no copy that is older than the purge of its
//!     object.
//! (6) Limits for the origin and the link: the fills that cross the zone's link in, and those that reach the
//!     origin, have such limits too. Past them, a download is served only from a copy that a cache, or a
//!     parent, holds.
use crate::interface::{Action, ContentType, Event, Pull, ServiceProfile};
pub use crate::state::Policy;
use crate::state::*;
use crate::time::{Moment, Span};
use crate::window::SlidingWindow;
use std::hash::Hash;

/// Initial characteristic time of the zone's caches, for each router of the zone.
const INITIAL_EDGE_TAU_PER_ROUTER: Span = Span::millis(10_000);
/// Initial characteristic time of the parents, for each router of the service.
const INITIAL_PARENT_TAU_PER_ROUTER: Span = Span::millis(6_000);
/// Maximum of the initial characteristic time of the parents.
const MAX_INITIAL_PARENT_TAU: Span = Span::millis(18_000);
/// Weight of a new sample in the moving average of a characteristic time.
const TAU_SMOOTHING: f64 = 0.1;
/// A request is forgotten after this many characteristic times of the parents. The paper has 1.2, which
/// leaves few gaps between τ and forgetting.
const HISTORY_EXPIRY_FACTOR: f64 = 1.6;
/// Retention rank of a copy of an object with no earlier request. Copies of a higher rank are evicted later.
const FIRST_REQUEST_RANK: u8 = 1;
/// Retention rank of a copy that was asked for again within the caches' characteristic time. With one rank
/// for both, objects that are requested only once displace others, and hits are lost.
const REPEATED_REQUEST_RANK: u8 = 2;
/// Maximum number of fills that this router expects to have under way at one parent.
const MAX_EXPECTED_FILLS: f64 = 16.0;
/// Part of one cache's fair share of the sending. An object that takes more is spread over several caches.
const HOT_OBJECT_SHARE: f64 = 0.5;

/// (1) Failures in a row that eject a node. At the error rate of a healthy cache, so many are hardly chance.
const FAILURES_TO_EJECT: f64 = 3.0;
/// Failures so close together count as one: many pulls end at once when their shared connection breaks.
const SAME_FAULT_WINDOW: Span = Span::millis(20);
/// Weight of a failure that may have its cause behind the node: silence of a cache that may be waiting for a
/// fill.
const UNCERTAIN_FAILURE_WEIGHT: f64 = 0.34;
/// Duration of the first ejection. It doubles with each further one, so that probes cost little while a fault
/// lasts.
const FIRST_EJECTION_TIME: Span = Span::millis(1_000);
/// Maximum duration of an ejection; short, so that a node that is well again is soon used again.
const MAX_EJECTION_TIME: Span = Span::millis(4_000);

/// (2) Part of the slow-start allowance that is used. With 0.7, the load came within 85% of an overload.
const SLOW_START_MARGIN: f64 = 0.55;
/// Capacity of a zone's caches as a multiple of its link in. Caches send three times as much as they miss;
/// half of that is counted, since caches may differ in size.
const CACHE_TO_LINK_CAPACITY: f64 = 1.6;
/// Number of caches from which the zone's link is counted in full. The link of fewer caches may be wider than
/// they need: when it was counted in full, one of few caches was overloaded.
const CACHES_FOR_FULL_LINK: f64 = 6.0;
/// Capacity of a parent as a multiple of the mean link into a zone. With 4, a cold parent was overloaded.
const PARENT_TO_LINK_CAPACITY: f64 = 1.7;

/// (3) Interval between two ticks: well below any target time, and cheap.
const TICK_INTERVAL: Span = Span::millis(50);
/// A pull is overdue after this many times its sending time, plus the time below. Few healthy pulls take
/// longer, even at a busy cache.
const OVERDUE_SEND_TIMES: f64 = 4.0;
/// Allowance for the way to the origin and back.
const OVERDUE_BASE_TIME: Span = Span::millis(150);
/// Part of the target time that is assumed as the sending time of a content type before any was seen.
const INITIAL_SEND_TIME_SHARE: f64 = 0.5;
/// Weight of a hit in the mean sending time of its content type; low, since sizes vary much.
const SEND_TIME_SMOOTHING: f64 = 0.02;

/// (4) Initial concurrency limit, in pulls of all routers that share the limited resource.
const INITIAL_LIMIT: f64 = 24.0;
/// Minimum concurrency limit, in pulls. Fewer would give too few answers to raise the limit again.
const MIN_LIMIT: f64 = 3.0;
/// Factor on the limit at each tick while answers are too slow by `FULL_CUT_EXCESS` or more. Answers tell of
/// the load late, so that a sharper cut would go on for too long.
const LIMIT_CUT_PER_TICK: f64 = 0.97;
/// Excess over the slowness threshold, as a part of it, from which the cut is made in full.
const FULL_CUT_EXCESS: f64 = 0.5;
/// Minimum raise of the limit, in pulls a tick.
const MIN_LIMIT_STEP: f64 = 0.5;
/// Raise of the limit a tick, as a part of it, where answers take no time. 0.1 caused an overload.
const LIMIT_GROWTH_PER_TICK: f64 = 0.04;
/// The same before the limiter has first seen slow answers. When limits grew by fixed steps, downloads were
/// refused for 3 s after a start.
const INITIAL_LIMIT_GROWTH_PER_TICK: f64 = 0.12;
/// Maximum factor by which a limiter adapts more slowly where many routers share the resource and each sees
/// few answers. Beyond that it adapts too late.
const MAX_SLOWDOWN: f64 = 4.0;
/// Weight of a tick in the mean load, divided by the number of routers.
const MEAN_LOAD_SMOOTHING: f64 = 0.5;
/// Part of the limit that must be used before it is raised: quick answers of an idle resource prove nothing.
const IN_USE_SHARE: f64 = 0.7;
/// Answers of a cache are too slow beyond this part of the target time.
const CACHE_SLOW_RATIO: f64 = 0.55;
/// The same for fills over the link in; less than at a cache, since a fill on a full link delays all others.
const LINK_SLOW_RATIO: f64 = 0.45;
/// The same for fills that a parent sends from its own copy. Higher than that of the link, whose limit
/// therefore reacts first.
const PARENT_SLOW_RATIO: f64 = 0.6;
/// Factor on a parent's initial and minimum limit. With 1, fills left their preferred parents.
const PARENT_LIMIT_FACTOR: f64 = 4.0;
/// The same as `CACHE_SLOW_RATIO` for the origin's first byte. Above 0.8, the origin jams.
const ORIGIN_SLOW_RATIO: f64 = 0.8;
/// Number of zones that may each have a full limit for the origin. More of them would jam the one origin.
const ZONES_WITH_FULL_ORIGIN_LIMIT: f64 = 8.0;
/// A failure counts as an answer of this multiple of the slowness threshold.
const FAILURE_LATENCY_FACTOR: f64 = 4.0;
/// Part of the limit in use from which the cheapest downloads are turned away, at first seldom.
const SHED_CHEAPEST_FROM: f64 = 0.5;
/// Part of the limit in use from which the dearest downloads are turned away, at first seldom.
const SHED_DEAREST_FROM: f64 = 0.95;
/// Part of the limit in use from which all downloads are turned away.
const SHED_ALL_FROM: f64 = 1.1;
/// A cache declines pulls beyond this multiple of its fair share of this router's pulls. With 1.5, too many
/// pulls left their preferred caches, and parts were kept twice.
const MAX_FAIR_SHARES: f64 = 2.0;
/// Minimum of that bound, in pulls. With 4, pulls left their preferred caches in ordinary traffic.
const MIN_PULL_BOUND: f64 = 8.0;
/// Mean time after which a throttled client is told to come back; drawn between half and one and a half of
/// it, so that clients don't come back together.
const MEAN_RETRY_AFTER: Span = Span::millis(400);

/// (5) A copy must be made so long after a purge: one that was made at the very moment of the purge is not
/// trusted.
const PURGE_MARGIN: Span = Span::millis(5);

/// (6) Failed fills of a download after which only copies that are held are looked for.
const MAX_FILL_FAILURES: u32 = 2;
/// Index of the rate of fills that went on to the origin in `Dispatcher::fill_rates`.
const FILLS_FROM_ORIGIN: usize = 2;

impl Policy {
    /// Creates the policy of one router. `seed` makes its random draws differ from those of other routers.
    pub fn new(profile: ServiceProfile, seed: u64, now: Moment) -> Policy {
        let mut context = Context { now, seed, ..Context::default() };
        context.emit(Action::SetTimer { after: TICK_INTERVAL, timer: 0 });
        // Where membership must be asked for, the service takes a router for informed even if it never asks.
        if profile.membership_on_request {
            context.emit(Action::WatchMembership);
        }
        Policy { context, dispatcher: Dispatcher::new(profile), nodes: Vec::new() }
    }

    /// Handles the events of a moment in their order and appends what the host has to do to `actions`.
    pub fn step(&mut self, now: Moment, events: Vec<Event>, actions: &mut Vec<Action>) {
        self.context.now = now;
        for event in events {
            self.context.handle_event(event);
            while let Some((recipient, message)) = self.context.next_message() {
                match recipient {
                    Recipient::Dispatcher => self.dispatcher.handle(message, &mut self.context),
                    Recipient::Node(node) => {
                        node_at(&mut self.nodes, node).handle(message, &mut self.context)
                    }
                }
            }
        }
        actions.append(&mut self.context.actions);
    }
}

impl NodeState {
    /// Handles one message from the dispatcher.
    fn handle(&mut self, message: Message, context: &mut Context) {
        let now = context.now;
        match message {
            Message::NodeUpdated(record, slow_start) => self.update_record(record, slow_start, context),
            Message::Tick => self.tick(context),
            Message::OfferPull(offer) => {
                let (accepted, ejected) = (self.accept_pull(&offer, context), self.ejected_until.is_some());
                context.send(
                    Recipient::Dispatcher,
                    Message::PullReply { dl: offer.pull.dl, node: offer.pull.node, accepted, ejected },
                );
            }
            Message::OfferFill { node, fill, capacity, first_choice } => {
                let accepted = self.accept_fill(&fill, capacity, first_choice, context);
                if accepted {
                    self.recent_charges.add(now, fill.charge);
                    self.in_flight.push(fill);
                }
                context.send(Recipient::Dispatcher, Message::FillReply { dl: fill.dl, node, accepted });
            }
            Message::Finished { dl, signal, latency_ratio, charge } => {
                let Some(index) = self.in_flight.iter().position(|entry| entry.dl == dl) else { return };
                let entry = self.in_flight.swap_remove(index);
                self.recent_charges.add_weighted(
                    entry.sent_at,
                    0.0,
                    charge.map_or(0.0, |charge| charge - entry.charge),
                );
                latency_ratio
                    .into_iter()
                    .for_each(|ratio| self.limiter.record_latency(ratio, entry.charge, now));
                self.apply_signal(signal, 1.0, context);
            }
            _ => {}
        }
    }

    /// Takes over a new record of the node. After a restart or a removal, all that was seen of the node is
    /// forgotten.
    fn update_record(&mut self, record: NodeRecord, slow_start: SlowStart, context: &mut Context) {
        let restarted = self.record.is_none_or(|known| record.started > known.started);
        if restarted || record.phase == Phase::Removed {
            // What was seen of an ended process says nothing about the next one.
            (self.failure_streak, self.ejected_until, self.ejections, self.last_success) =
                (0.0, None, 0, context.now);
            let (slow_ratio, limit_factor) = if record.role == Role::Parent {
                (PARENT_SLOW_RATIO, PARENT_LIMIT_FACTOR)
            } else {
                (CACHE_SLOW_RATIO, 1.0)
            };
            self.limiter = ConcurrencyLimiter::new(slow_ratio, slow_start.routers, limit_factor);
            self.report_all_overdue(context);
        }
        if self.record.is_none() {
            // The charges outlive a restart: pulls sent before the news of it may have met the cold process.
            // Eleven buckets of a tenth always cover the whole window.
            self.recent_charges = SlidingWindow::new(slow_start.window * 0.1, 11);
        }
        (self.record, self.slow_start) = (Some(record), slow_start);
    }

    /// (3) Reports all pulls and fills under way at a node that was ejected, restarted or removed.
    fn report_all_overdue(&self, context: &mut Context) {
        self.in_flight.iter().for_each(|entry| {
            context.send(Recipient::Dispatcher, Message::Overdue { dl: entry.dl, ejected: true })
        });
    }

    /// (2) Whether the node is warm, or its slow-start allowance covers `charge` seconds of sending.
    ///
    /// Prevents overload of a node that has just started: caches by pulls, parents by fills. It delays the
    /// return of nodes that warm up faster than the settings say. What this router's share holds beyond whole
    /// downloads is rounded up or down at random, with a new draw in each window; else many routers would all
    /// round up.
    fn slow_start_admits(&self, charge: f64, capacity: f64, context: &Context) -> bool {
        let warms_up = self.record.filter(|record| record.role != Role::Origin);
        let Some(started) = warms_up.and_then(|record| record.started) else { return true };
        let (cold, age) = (&self.slow_start, context.now.since(started));
        let share = cold.initial_share + (1.0 - cold.initial_share) * (age / cold.duration);
        let allowance = SLOW_START_MARGIN * cold.overload_factor * share * capacity * cold.window.seconds()
            / cold.routers;
        let (sent, window) =
            (self.recent_charges.sum(context.now), context.now.micros() / cold.window.as_micros().max(1));
        let rounding = charge * unit_interval(hash((context.seed, started, window)));
        age >= cold.duration || sent + charge <= allowance + rounding
    }

    /// Whether the node is neither ejected nor past its slow-start allowance. After the time of an ejection,
    /// a single pull or fill that may be repeated (`may_probe`) is let through as a probe.
    fn is_available(&self, entry: &InFlight, capacity: f64, may_probe: bool, context: &Context) -> bool {
        let may_return = |until| context.now >= until && may_probe && self.in_flight.is_empty();
        self.ejected_until.is_none_or(may_return) && self.slow_start_admits(entry.charge, capacity, context)
    }

    /// Accepts a pull and sends it, or declines it.
    fn accept_pull(&mut self, offer: &PullOffer, context: &mut Context) -> bool {
        let (available, in_flight) = (
            self.is_available(&offer.in_flight, offer.capacity, offer.may_probe, context),
            self.in_flight.len() as f64 + 1.0,
        );
        self.limiter.in_flight = in_flight;
        if !available
            || in_flight > offer.max_in_flight
            || !self.limiter.admits(0.0, offer.cheapness, context.random())
        {
            return false;
        }
        self.in_flight.push(offer.in_flight);
        self.recent_charges.add(context.now, offer.in_flight.charge);
        context.emit(Action::Pull(offer.pull));
        true
    }

    /// (6) Accepts or declines a fill. A parent whose own link is full declines it, so that it goes to the
    /// next parent. A fill that another source has declined is not turned away again by the limit, so that
    /// full links of parents send no load to the origin. The origin's limit is not checked here, but by
    /// `Dispatcher::apply_limiters`.
    fn accept_fill(
        &mut self,
        fill: &InFlight,
        capacity: f64,
        first_choice: bool,
        context: &mut Context,
    ) -> bool {
        let (in_flight, cheapness) = (self.load(), if first_choice { 0.0 } else { -1.0 });
        let is_origin = self.record.is_some_and(|record| record.role == Role::Origin);
        self.limiter.in_flight = in_flight;
        let within_limits = in_flight <= MAX_EXPECTED_FILLS
            && self.limiter.admits(fill.likelihood, cheapness, context.random());
        (is_origin || within_limits) && self.is_available(fill, capacity, true, context)
    }

    /// Load of this router on the node: pulls under way at a cache, expected fills at a parent or the origin.
    fn load(&self) -> f64 {
        let counts_fills = self.record.is_some_and(|record| record.role != Role::Cache);
        self.in_flight.iter().map(|entry| if counts_fills { entry.likelihood } else { 1.0 }).sum()
    }

    /// (1) Ejects the node after several failures in a row, and brings it back after a success.
    ///
    /// Protects against nodes that fail fast, fall silent or can't be reached, whatever the cause. `failures`
    /// is the weight of a failure.
    fn apply_signal(&mut self, signal: HealthSignal, failures: f64, context: &mut Context) {
        let now = context.now;
        match signal {
            HealthSignal::Success => {
                // Each return from an ejection, or from a silence as long as one, takes one ejection off the
                // count.
                let returned =
                    self.ejected_until.is_some() || now.since(self.last_success) > MAX_EJECTION_TIME;
                self.ejections = (self.ejections - i32::from(returned)).max(0);
                (self.failure_streak, self.ejected_until, self.last_success) = (0.0, None, now);
            }
            HealthSignal::Failure if now.since(self.last_failure) < SAME_FAULT_WINDOW => return,
            HealthSignal::Failure => {
                (self.failure_streak, self.last_failure) = (self.failure_streak + failures, now)
            }
            HealthSignal::Overloaded => {
                self.limiter.record_latency(FAILURE_LATENCY_FACTOR * CACHE_SLOW_RATIO, 1.0, now)
            }
            HealthSignal::Inconclusive => {}
        }
        if signal == HealthSignal::Failure
            && (self.failure_streak >= FAILURES_TO_EJECT || self.ejected_until.is_some())
        {
            self.ejected_until =
                Some(now + (FIRST_EJECTION_TIME * 2f64.powi(self.ejections)).min(MAX_EJECTION_TIME));
            self.ejections += 1;
        }
    }

    /// (3) Looks for overdue pulls and fills, and lets the concurrency limit adapt.
    ///
    /// If the node has answered others since, an overdue one is taken for lost and reported to the
    /// dispatcher. If not, the silence counts as a failure of the node; when that ejects it, all that is
    /// under way there is reported.
    fn tick(&mut self, context: &mut Context) {
        let (now, ejected, last_success) = (context.now, self.ejected_until.is_some(), self.last_success);
        let overdue = self
            .in_flight
            .iter_mut()
            .filter(|entry| !entry.reported_overdue && now.since(entry.sent_at) > entry.overdue_after);
        let overdue =
            overdue.map(|entry| std::mem::replace(entry, InFlight { reported_overdue: true, ..*entry }));
        let (lost, silent): (Vec<_>, Vec<_>) =
            overdue.partition(|entry| entry.sent_at < last_success && !ejected);
        lost.iter().for_each(|entry| {
            context.send(Recipient::Dispatcher, Message::Overdue { dl: entry.dl, ejected })
        });
        let failures: f64 = silent.iter().map(|entry| entry.likelihood).sum();
        if failures > 0.0 {
            self.apply_signal(HealthSignal::Failure, failures, context);
            if self.ejected_until.is_some() {
                self.report_all_overdue(context);
            }
        }
        self.limiter.in_flight = self.load();
        self.limiter.tick(now);
    }
}

/// An adaptive concurrency limit: slow answers lower it, quick answers raise it while it is in use.
///
/// Protects whatever it stands before from overload, whether load or a fault is the cause. It does harm where
/// answers are slow at any load.
impl ConcurrencyLimiter {
    /// `slow_ratio` is the part of the target time beyond which answers are too slow, `routers` the number of
    /// routers that share the resource, `limit_factor` a factor on the initial and the minimum limit.
    fn new(slow_ratio: f64, routers: f64, limit_factor: f64) -> ConcurrencyLimiter {
        // Where routers are many, each sees few answers and must collect them for longer.
        let latency_ratios = SlidingWindow::new(Span::millis(250) * routers.min(MAX_SLOWDOWN), 4);
        ConcurrencyLimiter {
            limit: INITIAL_LIMIT * limit_factor,
            growth: INITIAL_LIMIT_GROWTH_PER_TICK,
            routers,
            slow_ratio,
            limit_factor,
            latency_ratios,
            ..ConcurrencyLimiter::default()
        }
    }

    /// The load of all routers, on the assumption that each of the others has this router's mean load.
    fn estimated_load(&self) -> f64 {
        self.in_flight + (self.routers - 1.0) * self.mean_in_flight
    }

    /// (4) Whether `charge` more load is admitted. It is turned away at random, so that routers that know
    /// nothing of each other don't all stop and start together: the more often, the nearer the load is to the
    /// limit and the cheaper the download. A download of negative cheapness is always admitted. `draw` is a
    /// random number between 0 and 1.
    fn admits(&mut self, charge: f64, cheapness: f64, draw: f64) -> bool {
        let shed_from = SHED_DEAREST_FROM + (SHED_CHEAPEST_FROM - SHED_DEAREST_FROM) * cheapness;
        let admitted = cheapness < 0.0
            || draw
                >= ((self.estimated_load() + charge) / self.limit - shed_from) / (SHED_ALL_FROM - shed_from);
        self.in_flight += if admitted { charge } else { 0.0 };
        admitted
    }

    /// Records an answer that took `ratio` of its target time, with a weight, so that many small answers
    /// don't hide that the large ones jam.
    fn record_latency(&mut self, ratio: f64, weight: f64, now: Moment) {
        self.latency_ratios.add_weighted(
            now,
            weight,
            weight * ratio.min(FAILURE_LATENCY_FACTOR * self.slow_ratio),
        );
    }

    /// Whether recent answers were too slow on average.
    fn is_slow(&self, now: Moment) -> bool {
        self.latency_ratios.mean(now).is_some_and(|ratio| ratio > self.slow_ratio)
    }

    /// Adapts the limit to the recent answers.
    fn tick(&mut self, now: Moment) {
        let (slowdown, ratio) = (self.routers.min(MAX_SLOWDOWN), self.latency_ratios.mean(now));
        // From 1 where answers take no time to negative where they are too slow.
        let headroom = 1.0 - ratio.unwrap_or(self.slow_ratio) / self.slow_ratio;
        // A new limiter starts with the mean over all of its ticks: a router that has just started must not
        // assume that the others are idle.
        self.ticks += 1.0;
        self.mean_in_flight += (self.in_flight - self.mean_in_flight)
            * (MEAN_LOAD_SMOOTHING / self.routers).max(1.0 / self.ticks);
        if headroom < 0.0 {
            let cut = LIMIT_CUT_PER_TICK.powf((-headroom / FULL_CUT_EXCESS).min(1.0) / slowdown);
            (self.growth, self.limit) =
                (LIMIT_GROWTH_PER_TICK, (self.limit * cut).max(MIN_LIMIT * self.limit_factor));
        } else if self.estimated_load() > self.limit * IN_USE_SHARE && ratio.is_some() {
            self.limit += MIN_LIMIT_STEP.max(self.limit * self.growth * headroom) / slowdown;
        }
    }
}

impl RequestHistory {
    /// Records a request for an object and part, and returns its entry with the gap since the request before
    /// it.
    fn record_request(&mut self, key: (ObjectKey, u32), is_retry: bool, now: Moment) -> HistoryEntry {
        let expiry = self.parent_tau * HISTORY_EXPIRY_FACTOR;
        let entry = match self.entries.get(&key).filter(|known| now.since(known.last_request) <= expiry) {
            // A client's retry is the same request; counted as a gap, it would make every failure look
            // popular.
            Some(known) if is_retry => *known,
            Some(known) => {
                HistoryEntry { last_request: now, gap: Some(now.since(known.last_request)), ..*known }
            }
            None => HistoryEntry { last_request: now, ..HistoryEntry::default() },
        };
        self.entries.insert(key, entry);
        self.by_age.push_back((now, key));
        self.enforce_limit();
        entry
    }
}

impl Dispatcher {
    /// Creates the dispatcher of a router that knows no nodes yet.
    fn new(profile: ServiceProfile) -> Dispatcher {
        let initial_state = |settings: &ContentType| ContentState {
            settings: settings.clone(),
            mean_send_seconds: settings.target_time.seconds() * INITIAL_SEND_TIME_SHARE,
        };
        let content_types = profile.content_types.iter().map(initial_state).collect();
        let edge_tau = INITIAL_EDGE_TAU_PER_ROUTER * profile.zone_router_count();
        let parent_tau =
            (INITIAL_PARENT_TAU_PER_ROUTER * f64::from(profile.routers.max(1))).min(MAX_INITIAL_PARENT_TAU);
        // Loads and rates are those of the last four seconds.
        let total_load = SlidingWindow::new(Span::millis(1_000), 4);
        let max_entries = profile.max_history_entries;
        let history =
            RequestHistory { edge_tau, parent_tau, total_load, max_entries, ..RequestHistory::default() };
        let (members, reachable, max_caches, pulls_in_flight, downloads) = Default::default();
        let fill_rates = [(); 3].map(|()| SlidingWindow::new(Span::millis(500), 8));
        let (routers, origin_factor) =
            (profile.zone_router_count(), (ZONES_WITH_FULL_ORIGIN_LIMIT / profile.zone_count()).min(1.0));
        let (link_limiter, purge_memory) =
            (ConcurrencyLimiter::new(LINK_SLOW_RATIO, routers, 1.0), PurgeMemory::default());
        let origin_limiter = ConcurrencyLimiter::new(ORIGIN_SLOW_RATIO, routers, origin_factor);
        Dispatcher {
            profile,
            content_types,
            members,
            reachable,
            max_caches,
            pulls_in_flight,
            downloads,
            history,
            purge_memory,
            fill_rates,
            link_limiter,
            origin_limiter,
        }
    }

    /// Handles one message from the host or from a node.
    fn handle(&mut self, message: Message, context: &mut Context) {
        let now = context.now;
        match message {
            Message::MembershipLost if self.profile.membership_on_request => {
                context.emit(Action::WatchMembership)
            }
            Message::NodeUpdated(record, _) => self.update_member(record, context),
            Message::Arrived(dl, request) => {
                let entry =
                    self.history.record_request((request.object, request.part), request.is_retry, now);
                self.add_download(dl, PendingDownload::new(request, entry));
                self.apply_limiters(dl, context);
            }
            Message::FillReply { dl, node, accepted } => {
                let Some(Some(download)) = self.downloads.get_mut(dl.0 as usize) else { return };
                if !accepted {
                    download.declined.push(node);
                    return self.offer_fill(dl, context);
                }
                download.source = Some(node);
                self.offer_pull(dl, context);
            }
            Message::PullReply { dl, node, accepted, ejected } => {
                let Some(Some(download)) = self.downloads.get_mut(dl.0 as usize) else { return };
                if accepted {
                    return self.record_attempt(dl, node, now);
                }
                // An ejected node has failed other downloads lately, and counts as one that has failed this
                // one too.
                (if ejected { &mut download.failed } else { &mut download.declined }).push(node);
                self.offer_pull(dl, context);
            }
            Message::PullEnded(result) => self.handle_pull_end(result, context),
            Message::ClientLeft(dl) => self.finish(dl, context),
            Message::Overdue { dl, ejected } => self.handle_overdue(dl, ejected, context),
            Message::Purged { object, group, at } => self.purge_memory.record(object, group, at),
            Message::Tick => {
                self.reachable.iter().for_each(|node| context.send(Recipient::Node(*node), Message::Tick));
                self.history.expire(now, self.history.parent_tau * HISTORY_EXPIRY_FACTOR);
                [&mut self.link_limiter, &mut self.origin_limiter]
                    .into_iter()
                    .for_each(|limiter| limiter.tick(now));
                self.purge_memory.expire(now.before(self.profile.purge_settle_time + PURGE_MARGIN));
                context.emit(Action::SetTimer { after: TICK_INTERVAL, timer: 0 });
            }
            _ => {}
        }
    }

    /// Number of caches that it takes to send what is requested of an object: one, unless the object is hot.
    fn caches_needed(&self, request: &Download, now: Moment) -> f64 {
        let load = self.history.object_load.get(&request.object).map_or(0.0, |window| window.sum(now));
        let caches = self.ready_nodes(Role::Cache).count() as f64;
        (load * caches / (HOT_OBJECT_SHARE * self.history.total_load.sum(now).max(1.0))).ceil().min(caches)
    }

    /// Takes over a new record of a node. Caches of other zones are ignored: no pull may name them, and in a
    /// large service they are nearly all that is reported.
    fn update_member(&mut self, record: NodeRecord, context: &mut Context) {
        if record.role != Role::Cache || record.zone == self.profile.zone {
            self.add_member(record);
            let slow_start = self.profile.slow_start(record.role);
            context.send(Recipient::Node(record.node), Message::NodeUpdated(record, slow_start));
        }
    }

    /// The nodes of a role that a pull may name, as cache or as source. From the moment at which the router
    /// is told that a node drains or is removed, the rules allow no pull to name it, without any grace
    /// period.
    pub(crate) fn ready_nodes(&self, role: Role) -> impl Iterator<Item = &NodeRecord> {
        self.reachable_records().filter(move |record| record.role == role && record.phase == Phase::Ready)
    }

    /// The first node in the hash order of `key`: weighted rendezvous hashing, in which each node comes first
    /// as often as its scale says. All routers get the same order.
    fn first_in_hash_order<'a>(
        &self,
        nodes: impl Iterator<Item = &'a NodeRecord>,
        key: impl Hash,
    ) -> Option<NodeRecord> {
        let score =
            |record: &NodeRecord| -self.scale(record) / unit_interval(hash((&key, record.hash_key))).ln();
        nodes.max_by(|a, b| score(a).total_cmp(&score(b))).copied()
    }

    /// (6) Starts the way of a download with the limits for the link in and the origin, which protect each
    /// from more fills than can end in time.
    ///
    /// A download that the link's limit turns away is served only if its cache holds a copy; one that the
    /// origin's limit turns away, only if its cache or its parent does. Since nothing tells beforehand which
    /// pulls will need a fill, each counts with the probability of one.
    fn apply_limiters(&mut self, dl: DownloadIndex, context: &mut Context) {
        let Some(Some(download)) = self.downloads.get(dl.0 as usize) else { return };
        // A fill that leaves no copy serves this one download only.
        let leaves_no_copy = download.history.gap.is_some_and(|gap| gap >= self.history.edge_tau);
        let own_cheapness = self.cheapness(download);
        let cheapness = if leaves_no_copy && own_cheapness >= 0.0 { 1.0 } else { own_cheapness };
        let copy_expected = self.copy_holder(download, context.now).is_some();
        let fill_probability = self.fill_rate(usize::from(copy_expected), context.now);
        let may_fill = self.link_limiter.admits(fill_probability, cheapness, context.random());
        let origin_probability = fill_probability * self.fill_rate(FILLS_FROM_ORIGIN, context.now);
        let may_reach_origin =
            may_fill && self.origin_limiter.admits(origin_probability, cheapness, context.random());
        let Some(Some(download)) = self.downloads.get_mut(dl.0 as usize) else { return };
        download.link_load = if may_fill { fill_probability } else { 0.0 };
        download.origin_load = if may_reach_origin { origin_probability } else { 0.0 };
        download.only_held = !may_reach_origin;
        if may_fill && download.fill_failures < MAX_FILL_FAILURES {
            return self.offer_fill(dl, context);
        }
        self.offer_pull(dl, context);
    }

    /// Recent share of pulls that needed a fill (or of fills that went on to the origin), one half without
    /// any data.
    fn fill_rate(&self, which: usize, now: Moment) -> f64 {
        (self.fill_rates[which].sum(now) + 1.0) / (self.fill_rates[which].count(now) + 2.0)
    }

    /// Finds the source of a fill before the cache is chosen: the object's preferred parent, then the next
    /// parents in hash order, then the origin. A write goes to the origin without a parent, which would keep
    /// nothing of it.
    fn offer_fill(&mut self, dl: DownloadIndex, context: &mut Context) {
        let Some(Some(download)) = self.downloads.get(dl.0 as usize) else { return };
        let is_write = self.content_types[download.request.content.0 as usize].settings.write;
        let untried = |record: &&NodeRecord| {
            !download.declined.contains(&record.node) && !download.failed.contains(&record.node)
        };
        let parents = self.ready_nodes(Role::Parent).filter(|record| untried(record) && !is_write);
        let preferred = self.first_in_hash_order(parents, download.request.object.0);
        let origin =
            || self.ready_nodes(Role::Origin).find(|record| untried(record) && !download.only_held).copied();
        let Some(source) = preferred.or_else(origin) else { return self.offer_pull(dl, context) };
        let copy_expected = self.copy_holder(download, context.now).is_some();
        let fill_probability =
            if is_write { 1.0 } else { self.fill_rate(usize::from(copy_expected), context.now) };
        // What is not expected to be a hit is charged in full until it has ended: the rate lags behind a rush
        // of misses.
        let charge =
            self.send_seconds(&download.request) * if copy_expected { fill_probability } else { 1.0 };
        let fill = self.new_in_flight(dl, download, fill_probability, charge, context.now);
        let (node, capacity, first_choice) =
            (source.node, self.capacity_of(&source), download.declined.is_empty());
        context.send(Recipient::Node(node), Message::OfferFill { node, fill, capacity, first_choice });
    }

    /// How early a download is shed: 0 for the one with the highest benefit for each second of sending, near
    /// 1 for one with hardly any, negative for writes, which are never shed. A download of unknown size
    /// counts with the shortest time in which it was seen sent.
    fn cheapness(&self, download: &PendingDownload) -> f64 {
        let benefit_rate =
            |content: &ContentState| content.settings.benefit / content.mean_send_seconds.max(0.001);
        let content = &self.content_types[download.request.content.0 as usize];
        let dearest = self
            .content_types
            .iter()
            .filter(|content| !content.settings.write)
            .map(benefit_rate)
            .fold(0.001, f64::max);
        let seen = download.history.best_send_seconds.filter(|_| download.request.kilobytes <= 0.0);
        let send_seconds = seen.unwrap_or(self.send_seconds(&download.request)).max(0.001);
        if content.settings.write {
            -1.0
        } else {
            (1.0 - content.settings.benefit / send_seconds / dearest).max(0.0)
        }
    }

    /// Expected seconds of sending: from the size, or where it is unknown the mean of the content type.
    fn send_seconds(&self, request: &Download) -> f64 {
        let from_size = f64::from(request.kilobytes) / self.profile.client_kb_per_s.max(1.0);
        if from_size > 0.0 {
            from_size
        } else {
            self.content_types[request.content.0 as usize].mean_send_seconds
        }
    }

    /// The entry of a pull or fill that is sent now, with the time after which it is overdue.
    fn new_in_flight(
        &self,
        dl: DownloadIndex,
        download: &PendingDownload,
        likelihood: f64,
        charge: f64,
        now: Moment,
    ) -> InFlight {
        let send_seconds = download.history.best_send_seconds.unwrap_or(self.send_seconds(&download.request));
        let overdue_after = Span::from_seconds(OVERDUE_SEND_TIMES * send_seconds) + OVERDUE_BASE_TIME;
        InFlight { dl, sent_at: now, overdue_after, likelihood, charge, reported_overdue: false }
    }

    /// Capacity that a node surely has, in transfers at the same time. It follows from the links: a link into
    /// a zone was built for the misses of the caches behind it, and the parents for the links. The load that
    /// a node was seen to carry says too little about what it could carry.
    fn capacity_of(&self, record: &NodeRecord) -> f64 {
        let ((own_link, mean_link), caches) = (self.profile.link_capacities(), self.max_caches.max(1) as f64);
        let cache =
            own_link * CACHE_TO_LINK_CAPACITY / caches * (caches / CACHES_FOR_FULL_LINK).sqrt().min(1.0);
        if record.role == Role::Cache {
            cache.max(1.0)
        } else {
            (mean_link * PARENT_TO_LINK_CAPACITY).max(1.0)
        }
    }

    /// The cache that should still hold the copy of the last fill.
    fn copy_holder(&self, download: &PendingDownload, now: Moment) -> Option<NodeIndex> {
        let (node, since) = download.history.edge_copy?;
        let fresh_for = self.content_types[download.request.content.0 as usize].settings.fresh_for;
        let is_fresh = fresh_for.is_none_or(|fresh_for| now.since(since) < fresh_for);
        (is_fresh && self.copy_is_valid(node, since, &download.request)).then_some(node)
    }

    /// Whether neither a restart of the node nor a purge has voided a copy that it has held since then. A
    /// miss on a voided copy says nothing about evictions.
    fn copy_is_valid(&self, node: NodeIndex, since: Moment, request: &Download) -> bool {
        let same_process = self.members[node.0 as usize]
            .is_some_and(|record| record.started.is_none_or(|started| started <= since));
        same_process && self.purge_memory.latest_for(request).is_none_or(|purged| purged < since)
    }

    /// Offers the pull to a cache of the zone: the object's preferred cache in hash order.
    ///
    /// Where that one is ejected, cold or has far more than its fair share of this router's pulls, each part
    /// goes on in a hash order of its own. Objects of several parts start with that order, since one cache
    /// can't send all that a crowd wants of one object. This does not depend on how hot the object is: a
    /// router that sees few downloads can't tell a crowd from one client, and if routers differed in this,
    /// each part would be kept twice.
    fn offer_pull(&mut self, dl: DownloadIndex, context: &mut Context) {
        let now = context.now;
        let Some(Some(download)) = self.downloads.get(dl.0 as usize) else { return };
        let (request, gap, source) = (&download.request, download.history.gap, download.source);
        let content = &self.content_types[request.content.0 as usize];
        let untried = |record: &NodeRecord| {
            !download.declined.contains(&record.node) && !download.failed.contains(&record.node)
        };
        let caches_needed = self.caches_needed(request, now);
        let (part_order, random_order) = (u64::from(request.part) + 1, caches_needed * context.random());
        // A hot object is spread over as many hash orders as it needs caches. Without a fill, only the first
        // order leads to a cache that can be expected to hold an object of a single part.
        let order = if content.settings.in_parts {
            part_order
        } else {
            random_order as u64 * u64::from(source.is_some())
        };
        let preferred = self
            .first_in_hash_order(self.ready_nodes(Role::Cache), (request.object.0, order))
            .filter(untried);
        let others = self.ready_nodes(Role::Cache).filter(|record| untried(record));
        let next = || self.first_in_hash_order(others, (request.object.0, u64::from(request.part) + 1));
        let Some(cache) = preferred.or_else(next) else { return self.bypass_caches(dl, context) };
        if !self.may_pull(download, &cache, now) {
            return self.give_up(dl, context);
        }
        let all_pulls: usize =
            self.ready_nodes(Role::Cache).map(|record| self.pulls_in_flight[record.node.0 as usize]).sum();
        let all_scales = self.ready_nodes(Role::Cache).map(|record| self.scale(record)).sum::<f64>();
        let fair_share = (all_pulls + 1) as f64 * self.scale(&cache) / all_scales.max(0.01);
        let from_parent = source.is_some_and(|source| self.is_parent(source));
        let upstream_troubled =
            download.fill_failures > 0 || download.only_held || self.origin_limiter.is_slow(now);
        // Where the cache should hold a copy, silence is its own; else it may be waiting for a fill.
        let likelihood =
            if self.copy_holder(download, now) == Some(cache.node) { 1.0 } else { UNCERTAIN_FAILURE_WEIGHT };
        let in_flight = self.new_in_flight(
            dl,
            download,
            likelihood,
            content.mean_send_seconds.max(self.send_seconds(request)),
            now,
        );
        let pull = Pull {
            source,
            max_age: self.max_copy_age(request, upstream_troubled, now),
            rank: match gap {
                _ if content.settings.write => 0,
                None => FIRST_REQUEST_RANK,
                Some(gap) if gap < self.history.edge_tau => REPEATED_REQUEST_RANK,
                Some(_) => 0,
            },
            join: self.profile.may_join,
            only_held: download.only_held && from_parent,
            no_copy: from_parent && gap.is_some_and(|gap| gap >= self.history.parent_tau),
            renew: content.settings.fresh_for.is_some() && source.is_some(),
            timeout: if self.profile.may_cancel { Span::ZERO } else { in_flight.overdue_after },
            connect_within: self.connect_within(download, now),
            ..Pull::lookup(dl, cache.node)
        };
        let offer = PullOffer {
            pull,
            in_flight,
            cheapness: self.cheapness(download),
            max_in_flight: (MAX_FAIR_SHARES * fair_share).max(MIN_PULL_BOUND),
            capacity: self.capacity_of(&cache),
            may_probe: content.settings.idempotency == Idempotency::Retriable,
        };
        context.send(Recipient::Node(cache.node), Message::OfferPull(offer));
    }

    /// Sends the pull to the parent that has accepted the fill, without a cache, where the service allows it
    /// and no cache is left to try. Protects against zones whose caches are all gone, or where at least half
    /// of them fail. Caches that are full or cold are no reason for it: the parent fills for other zones too.
    fn bypass_caches(&mut self, dl: DownloadIndex, context: &mut Context) {
        let Some(Some(download)) = self.downloads.get(dl.0 as usize) else { return };
        let failed =
            self.ready_nodes(Role::Cache).filter(|record| download.failed.contains(&record.node)).count();
        let may_bypass = self.profile.may_bypass && failed * 2 >= self.ready_nodes(Role::Cache).count();
        let parent = download.source.filter(|source| may_bypass && self.is_parent(*source));
        let parent = parent
            .and_then(|parent| self.members[parent.0 as usize])
            .filter(|record| self.may_pull(download, record, context.now));
        let Some(parent) = parent else { return self.give_up(dl, context) };
        let source = self.ready_nodes(Role::Origin).find(|_| !download.only_held).map(|record| record.node);
        let (max_age, join) =
            (self.max_copy_age(&download.request, download.only_held, context.now), self.profile.may_join);
        let connect_within = self.connect_within(download, context.now);
        context.emit(Action::Pull(Pull {
            source,
            max_age,
            join,
            connect_within,
            ..Pull::lookup(dl, parent.node)
        }));
        self.record_attempt(dl, parent.node, context.now);
    }

    /// Maximum age of the copies that may answer a request; zero: any.
    ///
    /// (5) No copy from before a purge that this router was told of. (6) While the source or the origin has
    /// trouble (`upstream_troubled`), the grace time of the content type is added: a stale copy now is of
    /// more benefit than a fresh one too late.
    fn max_copy_age(&self, request: &Download, upstream_troubled: bool, now: Moment) -> Span {
        let content = &self.content_types[request.content.0 as usize].settings;
        let usual = content
            .fresh_for
            .map(|fresh_for| if upstream_troubled { fresh_for + content.grace } else { fresh_for });
        let since_purge = self
            .purge_memory
            .latest_for(request)
            .map(|purged| now.since(purged + PURGE_MARGIN).max(Span::micros(1)));
        usual.into_iter().chain(since_purge).min().unwrap_or(Span::ZERO)
    }

    /// Whether another pull of a download may go to `to`. A download that may have run is repeated only
    /// where, and as long as, a second run does no harm.
    fn may_pull(&self, download: &PendingDownload, to: &NodeRecord, now: Moment) -> bool {
        let exhausted = download.attempts.len() as u32 >= self.profile.max_pulls;
        if exhausted || download.answered || now >= download.request.deadline || download.has_open_attempts()
        {
            return false;
        }
        let Some(first) = download.first_possible_run() else { return true };
        match self.content_types[download.request.content.0 as usize].settings.idempotency {
            Idempotency::Retriable => true,
            Idempotency::NonRetriable => false,
            Idempotency::Deduped { scope, window } => {
                let Some(ran_at) = self.members[first.node.0 as usize] else { return false };
                let drops_repeat = match scope {
                    DedupeScope::All => true,
                    DedupeScope::Zone => ran_at.zone == to.zone,
                    DedupeScope::Cell => (ran_at.zone, ran_at.cell) == (to.zone, to.cell),
                };
                drops_repeat && now.since(first.sent_at) < window
            }
        }
    }

    /// How long the repeat of a deduped download may wait for its connection: it must not be sent after the
    /// window in which repeats are dropped. Zero: without a limit.
    fn connect_within(&self, download: &PendingDownload, now: Moment) -> Span {
        match (
            download.first_possible_run(),
            self.content_types[download.request.content.0 as usize].settings.idempotency,
        ) {
            (Some(first), Idempotency::Deduped { window, .. }) => {
                window.saturating_sub(now.since(first.sent_at))
            }
            _ => Span::ZERO,
        }
    }

    /// Answers a download that this router can't serve, at once. A throttled client may repeat its request,
    /// so that a download that may have run is throttled only if a repeat is harmless; else it is abandoned.
    fn give_up(&mut self, dl: DownloadIndex, context: &mut Context) {
        let Some(Some(download)) = self.downloads.get(dl.0 as usize) else { return };
        download
            .source
            .into_iter()
            .for_each(|source| context.send(Recipient::Node(source), Message::withdrawn_fill(dl)));
        let idempotency = self.content_types[download.request.content.0 as usize].settings.idempotency;
        let repeats_are_safe = matches!(
            idempotency,
            Idempotency::Retriable | Idempotency::Deduped { scope: DedupeScope::All, .. }
        );
        let retry_after = (MEAN_RETRY_AFTER * (0.5 + context.random())).min(self.profile.max_retry_after);
        let is_harmless = repeats_are_safe || download.first_possible_run().is_none();
        context.emit(if is_harmless { Action::Throttle { dl, retry_after } } else { Action::Abandon { dl } });
        self.release_limiters(dl);
        self.finish(dl, context);
    }

    /// Marks a download as answered. Pulls that are still under way are cancelled, since nobody waits for
    /// them, and the index is released as soon as none is left.
    fn finish(&mut self, dl: DownloadIndex, context: &mut Context) {
        let Some(Some(download)) = self.downloads.get_mut(dl.0 as usize) else { return };
        download.answered = true;
        let may_cancel = self.profile.may_cancel;
        for (number, attempt) in download
            .attempts
            .iter_mut()
            .enumerate()
            .filter(|(_, attempt)| may_cancel && !attempt.ended && !attempt.cancelled)
        {
            attempt.cancelled = true;
            context.emit(Action::Cancel { dl, attempt: number as u8 });
        }
        if !download.has_open_attempts() {
            self.downloads[dl.0 as usize] = None;
            context.emit(Action::Release { dl });
        }
    }

    /// (3) Cancels an overdue pull; the download goes on elsewhere when the end of the pull is reported.
    ///
    /// Protects against nodes that are silent (`ejected`: ejected, restarted or removed), and against single
    /// answers that are lost: a first pull that takes far longer than ever before, at a node that answers
    /// others, is repeated at that node once. A non-retriable download goes on waiting, since no other pull
    /// could follow.
    fn handle_overdue(&mut self, dl: DownloadIndex, ejected: bool, context: &mut Context) {
        let Some(Some(download)) = self.downloads.get_mut(dl.0 as usize) else { return };
        let runs_once = self.content_types[download.request.content.0 as usize].settings.idempotency
            == Idempotency::NonRetriable;
        let is_lost = download.attempts.len() == 1
            && download.history.best_send_seconds.is_some()
            && !self.origin_limiter.is_slow(context.now);
        let may_cancel = self.profile.may_cancel && !download.answered && !runs_once && (ejected || is_lost);
        let last = download.attempts.iter_mut().enumerate().next_back();
        if let Some((number, attempt)) =
            last.filter(|(_, attempt)| may_cancel && !attempt.ended && !attempt.cancelled)
        {
            attempt.cancelled = true;
            context.emit(Action::Cancel { dl, attempt: number as u8 });
        }
    }

    /// Learns from the end of a pull, and sends the download on if it has no answer yet.
    fn handle_pull_end(&mut self, result: PullResult, context: &mut Context) {
        let (now, dl) = (context.now, result.dl);
        let Some(Some(download)) = self.downloads.get_mut(dl.0 as usize) else { return };
        let Some(attempt) =
            download.attempts.get_mut(result.attempt as usize).filter(|attempt| !attempt.ended)
        else {
            return;
        };
        (attempt.ended, attempt.proven_unrun) = (true, result.outcome.proves_not_run());
        let attempt = *attempt;
        self.pulls_in_flight[attempt.node.0 as usize] -= 1;
        let signal = self.report_outcome(&result, &attempt, context);
        self.release_limiters(dl);
        if result.outcome == PullOutcome::Fulfilled {
            self.update_history(&result, &attempt, now);
        }
        let Some(Some(download)) = self.downloads.get_mut(dl.0 as usize) else { return };
        if download.answered || result.answered {
            return self.finish(dl, context);
        } else if download.has_open_attempts() {
            return;
        }
        // A first pull that broke or was cancelled is repeated at the same cache, which has the copy.
        let retry_same_node =
            matches!(result.outcome, PullOutcome::Broken | PullOutcome::Cancelled) && result.attempt == 0;
        if result.cache_status.is_upstream_failure() {
            // Another parent may do better than one that failed, but none does better than the origin behind
            // them all.
            download.fill_failures +=
                if result.cache_status == CacheStatus::OriginFailed { MAX_FILL_FAILURES } else { 1 };
            download
                .failed
                .extend(attempt.source.filter(|_| result.cache_status != CacheStatus::SourceLacks));
        } else if signal != HealthSignal::Success && !retry_same_node
            || result.cache_status == CacheStatus::NoFillSlot
        {
            download.failed.push(attempt.node);
        }
        let is_write = self.content_types[download.request.content.0 as usize].settings.write;
        let only_looked_for = attempt.source.is_none() || download.only_held;
        download.source = None;
        if result.outcome == PullOutcome::Missed && only_looked_for
            || result.cache_status.is_upstream_failure() && is_write
        {
            return self.give_up(dl, context);
        }
        self.apply_limiters(dl, context);
    }

    /// Reports the end of a pull to its cache and its source, and updates the rates of fills and the limits
    /// for link and origin. Returns what the end says about the cache. A failure behind a cache is not held
    /// against the cache, nor a failure of the origin against a parent.
    fn report_outcome(
        &mut self,
        result: &PullResult,
        attempt: &Attempt,
        context: &mut Context,
    ) -> HealthSignal {
        let now = context.now;
        let Some(Some(download)) = self.downloads.get(result.dl.0 as usize) else {
            return HealthSignal::Inconclusive;
        };
        let (fulfilled, copy_expected) =
            (result.outcome == PullOutcome::Fulfilled, self.copy_holder(download, now) == Some(attempt.node));
        let signal = match result.outcome {
            PullOutcome::Fulfilled | PullOutcome::Missed => HealthSignal::Success,
            PullOutcome::Cancelled | PullOutcome::NotSent => HealthSignal::Inconclusive,
            _ if result.cache_status.is_upstream_failure()
                || result.cache_status == CacheStatus::NoFillSlot =>
            {
                HealthSignal::Success
            }
            PullOutcome::Full => HealthSignal::Overloaded,
            PullOutcome::TimedOut if !copy_expected => HealthSignal::Inconclusive,
            _ => HealthSignal::Failure,
        };
        let (send_seconds, size_known) =
            (self.send_seconds(&download.request), download.request.kilobytes > 0.0);
        // Where nodes report no cache status, everything that is fulfilled counts as a hit, so that limits
        // still adapt.
        let is_hit = fulfilled
            && matches!(result.cache_status, CacheStatus::Hit | CacheStatus::Stale | CacheStatus::Unknown);
        let content = &mut self.content_types[download.request.content.0 as usize];
        // Without a size, only the time that an idle cache takes tells how long the sending is.
        if is_hit && (size_known || self.pulls_in_flight[attempt.node.0 as usize] <= 2) {
            let sample = if size_known { send_seconds } else { result.duration.seconds() };
            content.mean_send_seconds += SEND_TIME_SMOOTHING * (sample - content.mean_send_seconds);
        }
        let target =
            content.settings.target_time + Span::from_seconds(send_seconds * content.settings.target_stretch);
        let latency_ratio = is_hit.then(|| result.duration / target);
        context.send(
            Recipient::Node(attempt.node),
            Message::Finished { dl: result.dl, signal, latency_ratio, charge: None },
        );
        if let Some(source) = attempt.source {
            let signal = match result.cache_status {
                CacheStatus::Filled | CacheStatus::FromOrigin | CacheStatus::OriginFailed => {
                    HealthSignal::Success
                }
                CacheStatus::SourceRefused | CacheStatus::SourceLost => HealthSignal::Failure,
                _ => HealthSignal::Inconclusive,
            };
            // What may have reached the source stays charged to it, even if the source only lacked the
            // object.
            let did_not_reach =
                is_hit || matches!(result.outcome, PullOutcome::NotSent | PullOutcome::NoConnection);
            let charge = Some(if did_not_reach { 0.0 } else { send_seconds });
            // A fill from the source's own copy tells of the source's link, one that it had to fetch of the
            // origin's.
            let latency_ratio = (result.cache_status == CacheStatus::Filled)
                .then(|| result.duration.saturating_sub(result.first_byte) / target);
            context.send(
                Recipient::Node(source),
                Message::Finished { dl: result.dl, signal, latency_ratio, charge },
            );
        }
        let was_filled = matches!(result.cache_status, CacheStatus::Filled | CacheStatus::FromOrigin);
        // A fill that failed, and a lookup that missed, tell as much of misses as a fill that succeeded. Of a
        // stuck origin, nothing shows but waits that end without an answer.
        let stuck_fill =
            result.outcome == PullOutcome::TimedOut && !copy_expected && result.duration > target;
        let missed = was_filled
            || result.cache_status.is_upstream_failure()
            || stuck_fill
            || result.outcome == PullOutcome::Missed;
        if missed || is_hit {
            self.fill_rates[usize::from(copy_expected)].add(now, f64::from(u8::from(missed)));
        }
        if was_filled
            || stuck_fill
            || matches!(result.cache_status, CacheStatus::OriginFailed | CacheStatus::SourceLacks)
        {
            self.fill_rates[FILLS_FROM_ORIGIN]
                .add(now, f64::from(u8::from(result.cache_status != CacheStatus::Filled)));
        }
        if was_filled {
            // A large object takes its time on any link; only what it takes beyond its own sending shows a
            // full one.
            let sending = Span::from_seconds(if size_known { send_seconds } else { 0.0 });
            self.link_limiter.record_latency(
                result.duration.saturating_sub(result.first_byte).saturating_sub(sending)
                    / target.saturating_sub(sending),
                send_seconds,
                now,
            );
        }
        match result.cache_status {
            CacheStatus::FromOrigin => {
                self.origin_limiter.record_latency(result.first_byte / target, 1.0, now)
            }
            CacheStatus::OriginFailed => self.origin_limiter.record_latency(f64::INFINITY, 1.0, now),
            CacheStatus::SourceLost => {
                self.origin_limiter.record_latency(f64::INFINITY, UNCERTAIN_FAILURE_WEIGHT, now)
            }
            CacheStatus::NoFillSlot => {
                self.link_limiter.record_latency(FAILURE_LATENCY_FACTOR * LINK_SLOW_RATIO, send_seconds, now)
            }
            _ if stuck_fill => {
                self.origin_limiter.record_latency(result.duration / target, UNCERTAIN_FAILURE_WEIGHT, now)
            }
            _ => {}
        }
        signal
    }

    /// Records where a fulfilled pull has left copies, and samples the characteristic times: a miss on a copy
    /// that should still have been there shows that a copy is evicted within the last gap between requests.
    fn update_history(&mut self, result: &PullResult, attempt: &Attempt, now: Moment) {
        let Some(Some(download)) = self.downloads.get(result.dl.0 as usize) else { return };
        self.history
            .record_send_time(&download.request, result.duration.saturating_sub(result.first_byte).seconds());
        self.history.record_load(
            download.request.object,
            result.duration.seconds(),
            SlidingWindow::new(Span::millis(1_000), 4),
            now,
        );
        let is_write = self.content_types[download.request.content.0 as usize].settings.write;
        if is_write || !matches!(result.cache_status, CacheStatus::Filled | CacheStatus::FromOrigin) {
            return;
        }
        let (request, history, from_origin) =
            (download.request, download.history, result.cache_status == CacheStatus::FromOrigin);
        let parent = attempt.source.filter(|source| self.is_parent(*source));
        let parent_copy = history
            .parent_copy
            .filter(|(node, since)| Some(*node) == parent && self.copy_is_valid(*node, *since, &request));
        let evicted = self.copy_holder(download, now) == Some(attempt.node);
        let edge_keeps = history.gap.is_none_or(|gap| gap < self.history.edge_tau);
        let parent_keeps = history.gap.is_none_or(|gap| gap < self.history.parent_tau);
        let average =
            |tau, gap: Option<Span>| gap.map_or(tau, |gap| tau * (1.0 - TAU_SMOOTHING) + gap * TAU_SMOOTHING);
        self.history.edge_tau = average(self.history.edge_tau, history.gap.filter(|_| evicted));
        let parent_gap = history.gap.filter(|_| from_origin && parent_copy.is_some());
        self.history.parent_tau = average(self.history.parent_tau, parent_gap);
        let Some(entry) = self.history.entries.get_mut(&(request.object, request.part)) else { return };
        entry.edge_copy = edge_keeps.then_some((attempt.node, now));
        entry.parent_copy = parent
            .filter(|_| parent_keeps)
            .map(|node| (node, now))
            .or(entry.parent_copy.filter(|_| !from_origin));
    }
}
