//! Every decision of a router. A front calls `Policy::new` once and then `Policy::turn` with the events of a
//! moment; what goes in and what comes back is in `door.rs`, the data are in `state.rs`. The design
//! (docs/design.md) decides each usual download: `RequestHistory` keeps its last-request table and both τ,
//! `Dispatcher::ask_source` and `Dispatcher::ask_cache` have its hash orders, gap tests and no-copy switch.
//! Beside it stand six mechanisms, each where its number is:
//! (1) failures in a row set a cache or parent aside, and a trial download later brings it back;
//! (2) a cold budget, this router's share of what a fresh cache or parent may be sent;
//! (3) pulls that are lost, or on a node set aside or gone, are called back, and others follow in hash order;
//! (4) throttling by chance as a cache's gate fills up, cheaper downloads more often;
//! (5) purge memory, which bounds the age of the copies that will do;
//! (6) the origin and link guard: such gates for fills, past which only copies that are held are asked for.
use crate::interface::{Action, ContentType, Event, Pull, ServiceProfile};
pub use crate::state::Policy;
use crate::state::*;
use crate::time::{Moment, Span};
use crate::window::SlidingWindow;
use std::hash::Hash;

// Figures that the design leaves open; seen on all deployments unless one is named.
const EDGE_TAU_START: Span = Span::millis(10_000); // times the zone's routers, as the design page starts it
const PARENT_TAU_START: (Span, Span) = (Span::millis(6_000), Span::millis(18_000)); // times all routers, most
const TAU_WEIGHT: f64 = 0.1; // as the design page starts it
const TABLE_CAP: f64 = 1.6; // the paper has 1.2, which leaves few gaps between τ and forgetting
const FIRST_RANK: u8 = 1;
const LATER_RANK: u8 = 2; // rank 1 for all lost hits: adire-branch-net 0.67 to 0.63
const FILL_BOUND: f64 = 16.0; // fills to be expected among our pulls
const HOT: f64 = 0.5; // of a cache's part of the sending; an object that takes more is spread
const FAILURES_IN_A_ROW: f64 = 3.0; // (1) hardly chance at the rate of errors of a sound cache
const ONE_FAULT: Span = Span::millis(20); // and all that shares it: with a connection many pulls end at once
const DOUBTFUL_FAILURE: f64 = 0.34; // silence on what may be a miss: what is behind the cache may be slow
const ASIDE_FIRST: Span = Span::millis(1_000); // doubles, so that a trial costs little while a fault lasts
const ASIDE_MOST: Span = Span::millis(4_000); // what is well again is soon back; 8 s cost case-cache
const COLD_MARGIN: f64 = 0.55; // (2) of the allowance; 0.7 came within 85% of a fall on adire-branch-net
const CACHE_OVER_LINK: f64 = 1.6; // caches send thrice what they miss; half as much for unequal ones
const MANY_CACHES: f64 = 6.0; // whose link need not be wider; counted in full, a cache of few fell over
const PARENT_OVER_LINK: f64 = 1.7; // zones' links; at 4 a cold one was pushed over on kartli-tours-later
const BEAT: Span = Span::millis(50); // (3) well under any target time, and cheap
const OVERDUE_MULTIPLE: f64 = 4.0; // of the sending time: few sound pulls take longer, even at a busy cache
const OVERDUE_LEAST: Span = Span::millis(150); // for the way to the origin and back
const UNSEEN: f64 = 0.5; // of the target time stands in for a sending time not yet seen
const SENDING_WEIGHT: f64 = 0.02; // a hit's in the mean of its content type: sizes vary much
const ROOM_START: f64 = 24.0; // (4) pulls, over all routers that share it; a guess that mends both ways
const ROOM_LEAST: f64 = 3.0; // fewer would show too few answers to widen again
const ROOM_CUT: (f64, f64) = (0.97, 0.5); // a beat, whole once past slow by that part: answers tell late
const ROOM_STEP: f64 = 0.5; // a beat, or the following part of the room, as far as answers are from slow
const ROOM_GROWTH: f64 = 0.04; // of the room, a beat, where answers come at once; 0.1 cost an overload
const ROOM_RUSH: f64 = 0.12; // the same until a gate was first slow; by steps a start took 3 s of refusals
const PACE_MOST: f64 = 4.0; // times slower, where each of many routers sees few answers; more is too late
const MEAN_WEIGHT: f64 = 0.5; // a beat, over the routers; 0.2 cost adire-branch-net-later 0.02
const IN_USE: f64 = 0.7; // of the room; a gate that is not in use learns nothing from quick answers
const CACHE_SLOW: f64 = 0.55; // all three: part of the target time that may go by there
const LINK_SLOW: f64 = 0.45; // less than at a cache: a fill on a full link delays all others
const PARENT_GATE: (f64, f64) = (0.6, 4.0); // slow past the link's; rooms, since with one homes were left
const ORIGIN_SLOW: f64 = 0.8; // 0.5 to 3.0 tried; above 0.8 kartli-tours jams
const ORIGIN_ZONES: f64 = 8.0; // that may have a whole gate each; more of them would jam the one origin
const FAILED_RATIO: f64 = 4.0; // what a failure counts for beside the slow answers that it stands among
const CHEAP_FROM: f64 = 0.5; // of the room: where the cheapest are first turned away; 0.75 was no better
const DEAR_FROM: f64 = 0.95; // and the dearest
const ALL_FROM: f64 = 1.1; // and everyone
const SPREAD: f64 = 2.0; // times its part of our pulls, at which a home is left; 1.5 keeps parts twice
const SPREAD_LEAST: f64 = 8.0; // pulls; at 4 homes were left in ordinary traffic
const BACK_IN: Span = Span::millis(400); // half to one and a half of it, so as not to come back together
const PURGE_MARGIN: Span = Span::millis(5); // (5) a copy made at the very moment of a purge is not trusted
const FILL_FAILURES: u32 = 2; // (6) then only copies that are held are looked for

impl Policy {
    pub fn new(profile: ServiceProfile, seed: u64, now: Moment) -> Policy {
        let mut post = Context { now, seed, ..Context::default() };
        post.order(Action::SetTimer { after: BEAT, timer: 0 });
        // Where the roster must be asked for, the rules hold a router informed whether or not it asks.
        if profile.membership_on_request {
            post.order(Action::WatchMembership);
        }
        Policy { context: post, dispatcher: Dispatcher::open(profile), nodes: Vec::new() }
    }

    pub fn step(&mut self, now: Moment, events: Vec<Event>, orders: &mut Vec<Action>) {
        self.context.now = now;
        for event in events {
            self.context.deliver(event);
            while let Some((to, note)) = self.context.next() {
                match to {
                    Recipient::Dispatcher => self.dispatcher.read(note, &mut self.context),
                    Recipient::Node(node) => node_at(&mut self.nodes, node).read(note, &mut self.context),
                }
            }
        }
        orders.append(&mut self.context.actions);
    }
}

impl NodeState {
    fn read(&mut self, note: Message, post: &mut Context) {
        let now = post.now;
        match note {
            Message::NodeUpdated(listing, cold) => self.relist(listing, cold, post),
            Message::Tick => self.beat(post),
            Message::OfferPull(ask) => {
                let (taken, aside) = (self.take(&ask, post), self.ejected_until.is_some());
                post.send(
                    Recipient::Dispatcher,
                    Message::PullReply {
                        dl: ask.pull.dl,
                        node: ask.pull.node,
                        accepted: taken,
                        ejected: aside,
                    },
                );
            }
            Message::OfferFill { node, fill, capacity: carries, first_choice: first } => {
                let granted = self.grants(&fill, carries, first, post);
                if granted {
                    self.recent_charges.add(now, fill.charge);
                    self.in_flight.push(fill);
                }
                post.send(Recipient::Dispatcher, Message::FillReply { dl: fill.dl, node, granted });
            }
            Message::Finished { dl, signal: verdict, latency_ratio: ratio, charge } => {
                let Some(at) = self.in_flight.iter().position(|o| o.dl == dl) else { return };
                let out = self.in_flight.swap_remove(at);
                self.recent_charges.add_weighted(out.sent_at, 0.0, charge.map_or(0.0, |c| c - out.charge));
                ratio.into_iter().for_each(|ratio| self.limiter.show(ratio, out.charge, now));
                self.judge(verdict, 1.0, post);
            }
            _ => {}
        }
    }

    fn relist(&mut self, listing: NodeRecord, cold: SlowStart, post: &mut Context) {
        let anew = self.record.is_none_or(|l| listing.started > l.started);
        if anew || listing.phase == Phase::Removed {
            // What was seen of an ended process says nothing of the next.
            (self.failure_streak, self.ejected_until, self.ejections, self.last_success) =
                (0.0, None, 0, post.now);
            let (slow, part) = if listing.role == Role::Parent { PARENT_GATE } else { (CACHE_SLOW, 1.0) };
            self.limiter = ConcurrencyLimiter::open(slow, cold.routers, part);
            self.call_back(post);
        }
        if self.record.is_none() {
            // These outlive a restart: what was sent before its news came may have met the cold process.
            self.recent_charges = SlidingWindow::new(cold.window * 0.1, 11);
        }
        (self.record, self.slow_start) = (Some(listing), cold);
    }

    fn call_back(&self, post: &mut Context) {
        self.in_flight
            .iter()
            .for_each(|out| post.send(Recipient::Dispatcher, Message::Overdue { dl: out.dl, ejected: true }));
    }

    /// (2) Whether a node is warm or its allowance covers the charge. Guards against pushing over what has
    /// just started, caches by pulls and parents by fills; it slows the return of nodes that warm up early.
    /// What a share holds beyond whole downloads is rounded up or down by chance, anew in each window.
    fn bears(&self, charge: f64, carries: f64, post: &Context) -> bool {
        let warms = self.record.filter(|l| l.role != Role::Origin);
        let Some(started) = warms.and_then(|l| l.started) else { return true };
        let (cold, age) = (&self.slow_start, post.now.since(started));
        let part = cold.initial_share + (1.0 - cold.initial_share) * (age / cold.duration);
        let budget =
            COLD_MARGIN * cold.overload_factor * part * carries * cold.window.seconds() / cold.routers;
        let (sent, window) =
            (self.recent_charges.sum(post.now), post.now.micros() / cold.window.as_micros().max(1));
        let turn = charge * unit(hash((post.seed, started, window)));
        age >= cold.duration || sent + charge <= budget + turn
    }

    fn fit(&self, out: &InFlight, carries: f64, trial: bool, post: &Context) -> bool {
        let back = |until| post.now >= until && trial && self.in_flight.is_empty();
        self.ejected_until.is_none_or(back) && self.bears(out.charge, carries, post)
    }

    fn take(&mut self, ask: &PullOffer, post: &mut Context) -> bool {
        let (fit, out) =
            (self.fit(&ask.in_flight, ask.capacity, ask.may_probe, post), self.in_flight.len() as f64 + 1.0);
        self.limiter.in_flight = out;
        if !fit || out > ask.max_in_flight || !self.limiter.lets(0.0, ask.cheapness, post.chance()) {
            return false;
        }
        self.in_flight.push(ask.in_flight);
        self.recent_charges.add(post.now, ask.in_flight.charge);
        post.order(Action::Pull(ask.pull));
        true
    }

    /// (6) A parent whose own link is full passes fills on to the next, but never to the origin.
    fn grants(&mut self, fill: &InFlight, carries: f64, first: bool, post: &mut Context) -> bool {
        let (used, cheap) = (self.under_way(), if first { 0.0 } else { -1.0 });
        let origin = self.record.is_some_and(|l| l.role == Role::Origin);
        self.limiter.in_flight = used;
        let open = used <= FILL_BOUND && self.limiter.lets(fill.certainty, cheap, post.chance());
        (origin || open) && self.fit(fill, carries, true, post)
    }

    /// Pulls at a cache, fills to be expected at a parent.
    fn under_way(&self) -> f64 {
        let fills = self.record.is_some_and(|l| l.role != Role::Cache);
        self.in_flight.iter().map(|o| if fills { o.certainty } else { 1.0 }).sum()
    }

    /// (1) Guards against nodes that fail fast, fall silent or can't be reached, whatever the cause.
    fn judge(&mut self, verdict: HealthSignal, failure: f64, post: &mut Context) {
        let now = post.now;
        match verdict {
            HealthSignal::Success => {
                let held_up = self.ejected_until.is_some() || now.since(self.last_success) > ASIDE_MOST;
                self.ejections = (self.ejections - i32::from(held_up)).max(0);
                (self.failure_streak, self.ejected_until, self.last_success) = (0.0, None, now);
            }
            HealthSignal::Failure if now.since(self.last_failure) < ONE_FAULT => return,
            HealthSignal::Failure => {
                (self.failure_streak, self.last_failure) = (self.failure_streak + failure, now)
            }
            HealthSignal::Overloaded => self.limiter.show(FAILED_RATIO * CACHE_SLOW, 1.0, now),
            HealthSignal::Inconclusive => {}
        }
        if verdict == HealthSignal::Failure
            && (self.failure_streak >= FAILURES_IN_A_ROW || self.ejected_until.is_some())
        {
            self.ejected_until = Some(now + (ASIDE_FIRST * 2f64.powi(self.ejections)).min(ASIDE_MOST));
            self.ejections += 1;
        }
    }

    fn beat(&mut self, post: &mut Context) {
        let (now, aside, last_good) = (post.now, self.ejected_until.is_some(), self.last_success);
        let late = self
            .in_flight
            .iter_mut()
            .filter(|o| !o.reported_overdue && now.since(o.sent_at) > o.overdue_after);
        let late = late.map(|o| std::mem::replace(o, InFlight { reported_overdue: true, ..*o }));
        let (lost, silent): (Vec<_>, Vec<_>) = late.partition(|o| o.sent_at < last_good && !aside);
        lost.iter()
            .for_each(|o| post.send(Recipient::Dispatcher, Message::Overdue { dl: o.dl, ejected: aside }));
        let failures: f64 = silent.iter().map(|o| o.certainty).sum();
        if failures > 0.0 {
            self.judge(HealthSignal::Failure, failures, post);
            if self.ejected_until.is_some() {
                self.call_back(post);
            }
        }
        self.limiter.in_flight = self.under_way();
        self.limiter.beat(now);
    }
}

/// A bound that learns: answers that take longer than they should narrow it. Guards against overload of what
/// stands behind, whether load or a fault caused it; it hurts where slow answers are slow at any load.
impl ConcurrencyLimiter {
    fn open(slow: f64, sharers: f64, part: f64) -> ConcurrencyLimiter {
        let shown = SlidingWindow::new(Span::millis(250) * sharers.min(PACE_MOST), 4);
        ConcurrencyLimiter {
            limit: ROOM_START * part,
            growth: ROOM_RUSH,
            routers: sharers,
            slow_ratio: slow,
            share: part,
            latency_ratios: shown,
            ..ConcurrencyLimiter::default()
        }
    }

    /// What all routers have under way here, if the others ask as much as this one does on the whole.
    fn level(&self) -> f64 {
        self.in_flight + (self.routers - 1.0) * self.mean_in_flight
    }

    /// (4) By chance, so that routers that know nothing of each other don't swing together.
    fn lets(&mut self, charge: f64, cheap: f64, chance: f64) -> bool {
        let from = DEAR_FROM + (CHEAP_FROM - DEAR_FROM) * cheap;
        let lets = cheap < 0.0 || chance >= ((self.level() + charge) / self.limit - from) / (ALL_FROM - from);
        self.in_flight += if lets { charge } else { 0.0 };
        lets
    }

    // By weight, so that many small answers don't hide that the large ones jam.
    fn show(&mut self, ratio: f64, weight: f64, now: Moment) {
        self.latency_ratios.add_weighted(now, weight, weight * ratio.min(FAILED_RATIO * self.slow_ratio));
    }

    fn is_slow(&self, now: Moment) -> bool {
        self.latency_ratios.mean(now).is_some_and(|ratio| ratio > self.slow_ratio)
    }

    fn beat(&mut self, now: Moment) {
        let (pace, ratio) = (self.routers.min(PACE_MOST), self.latency_ratios.mean(now));
        let spare = 1.0 - ratio.unwrap_or(self.slow_ratio) / self.slow_ratio;
        // From its start on the mean of all it has seen: a fresh router must not take the others to be idle.
        self.ticks += 1.0;
        self.mean_in_flight +=
            (self.in_flight - self.mean_in_flight) * (MEAN_WEIGHT / self.routers).max(1.0 / self.ticks);
        if spare < 0.0 {
            let cut = ROOM_CUT.0.powf((-spare / ROOM_CUT.1).min(1.0) / pace);
            (self.growth, self.limit) = (ROOM_GROWTH, (self.limit * cut).max(ROOM_LEAST * self.share));
        } else if self.level() > self.limit * IN_USE && ratio.is_some() {
            self.limit += ROOM_STEP.max(self.limit * self.growth * spare) / pace;
        }
    }
}

impl RequestHistory {
    fn enter(&mut self, key: (ObjectKey, u32), repeat: bool, now: Moment) -> HistoryEntry {
        let expiry = self.parent_tau * TABLE_CAP;
        let line = match self.entries.get(&key).filter(|l| now.since(l.last_request) <= expiry) {
            // A client's repeat is the same wish; as a gap it would make every failure look popular.
            Some(line) if repeat => *line,
            Some(line) => {
                HistoryEntry { last_request: now, gap: Some(now.since(line.last_request)), ..*line }
            }
            None => HistoryEntry { last_request: now, ..HistoryEntry::default() },
        };
        self.entries.insert(key, line);
        self.by_age.push_back((now, key));
        line
    }
}

impl Dispatcher {
    fn open(profile: ServiceProfile) -> Dispatcher {
        let trade = |c: &ContentType| ContentState {
            settings: c.clone(),
            mean_send_seconds: c.target_time.seconds() * UNSEEN,
        };
        let trades = profile.content_types.iter().map(trade).collect();
        let edge_tau = EDGE_TAU_START * profile.own_routers();
        let parent_tau = (PARENT_TAU_START.0 * f64::from(profile.routers.max(1))).min(PARENT_TAU_START.1);
        let traffic = SlidingWindow::new(Span::millis(1_000), 4);
        let ledger =
            RequestHistory { edge_tau, parent_tau, total_load: traffic, ..RequestHistory::default() };
        let (roster, near, most, out, dls) = Default::default();
        let odds = [(); 3].map(|()| SlidingWindow::new(Span::millis(500), 8));
        let (routers, part) = (profile.own_routers(), (ORIGIN_ZONES / profile.zones()).min(1.0));
        let (link, purges) = (ConcurrencyLimiter::open(LINK_SLOW, routers, 1.0), PurgeMemory::default());
        let origin = ConcurrencyLimiter::open(ORIGIN_SLOW, routers, part);
        Dispatcher {
            profile,
            content_types: trades,
            members: roster,
            reachable: near,
            max_caches: most,
            pulls_in_flight: out,
            downloads: dls,
            history: ledger,
            purge_memory: purges,
            fill_rates: odds,
            link_limiter: link,
            origin_limiter: origin,
        }
    }

    fn read(&mut self, note: Message, post: &mut Context) {
        let now = post.now;
        match note {
            Message::MembershipLost if self.profile.membership_on_request => {
                post.order(Action::WatchMembership)
            }
            Message::NodeUpdated(listing, _) => self.list(listing, post),
            Message::Arrived(dl, what) => {
                let line = self.history.enter((what.object, what.part), what.is_retry, now);
                self.hold(dl, PendingDownload::new(what, line));
                self.pass_gates(dl, post);
            }
            Message::FillReply { dl, node, granted } => {
                let Some(Some(held)) = self.downloads.get_mut(dl.0 as usize) else { return };
                if !granted {
                    held.declined.push(node);
                    return self.ask_source(dl, post);
                }
                held.source = Some(node);
                self.ask_cache(dl, post);
            }
            Message::PullReply { dl, node, accepted: taken, ejected: aside } => {
                let Some(Some(held)) = self.downloads.get_mut(dl.0 as usize) else { return };
                if taken {
                    return self.place(dl, node, now);
                }
                // One set aside has failed others lately; to a download it is as good as failed.
                (if aside { &mut held.failed } else { &mut held.declined }).push(node);
                self.ask_cache(dl, post);
            }
            Message::PullEnded(end) => self.ended(end, post),
            Message::ClientLeft(dl) => self.close(dl, post),
            Message::Overdue { dl, ejected: aside } => self.overdue(dl, aside, post),
            Message::Purged { object, group, at } => self.purge_memory.hear(object, group, at),
            Message::Tick => {
                self.reachable.iter().for_each(|node| post.send(Recipient::Node(*node), Message::Tick));
                self.history.tidy(now, self.history.parent_tau * TABLE_CAP);
                [&mut self.link_limiter, &mut self.origin_limiter]
                    .into_iter()
                    .for_each(|gate| gate.beat(now));
                self.purge_memory.tidy(now.before(self.profile.purge_settle_time + PURGE_MARGIN));
                post.order(Action::SetTimer { after: BEAT, timer: 0 });
            }
            _ => {}
        }
    }

    /// How many caches it takes to send what is asked of an object: one, unless a crowd wants it.
    fn spread(&self, what: &Download, now: Moment) -> f64 {
        let heat = self.history.object_load.get(&what.object).map_or(0.0, |ring| ring.sum(now));
        let caches = self.ready(Role::Cache).count() as f64;
        (heat * caches / (HOT * self.history.total_load.sum(now).max(1.0))).ceil().min(caches)
    }

    fn list(&mut self, listing: NodeRecord, post: &mut Context) {
        // No pull can name a cache of another zone; at full size they are nearly all that is listed.
        if listing.role != Role::Cache || listing.zone == self.profile.zone {
            self.enter(listing);
            let cold = self.profile.cold_start(listing.role);
            post.send(Recipient::Node(listing.node), Message::NodeUpdated(listing, cold));
        }
    }

    /// Rule 3: whoever drains or is gone is named for nothing more, as cache or as source, without any grace.
    pub(crate) fn ready(&self, role: Role) -> impl Iterator<Item = &NodeRecord> {
        self.known().filter(move |l| l.role == role && l.phase == Phase::Ready)
    }

    /// First of a hash order, in which each node comes first as often as its scale says.
    fn first<'a>(&self, nodes: impl Iterator<Item = &'a NodeRecord>, of: impl Hash) -> Option<NodeRecord> {
        let draw = |l: &NodeRecord| -self.scale(l) / unit(hash((&of, l.hash_key))).ln();
        nodes.max_by(|a, b| draw(a).total_cmp(&draw(b))).copied()
    }

    /// (6) Guards the link in and the origin, each against more fills than come back in time. What fails
    /// to pass the link's gate is only looked for at its cache, what fails at the origin's at its parent too.
    /// Fills are counted by the odds, since nothing tells beforehand which pulls will need one.
    fn pass_gates(&mut self, dl: DownloadIndex, post: &mut Context) {
        let Some(Some(held)) = self.downloads.get(dl.0 as usize) else { return };
        // A fill that leaves no copy serves one download only.
        let unkept = held.history.gap.is_some_and(|gap| gap >= self.history.edge_tau);
        let own = self.cheap(held);
        let cheap = if unkept && own >= 0.0 { 1.0 } else { own };
        let sure = self.believed(held, post.now).is_some();
        let odds = self.chance_of(usize::from(sure), post.now);
        let fills = self.link_limiter.lets(odds, cheap, post.chance());
        let reaches = odds * self.chance_of(2, post.now);
        let fetches = fills && self.origin_limiter.lets(reaches, cheap, post.chance());
        let Some(Some(held)) = self.downloads.get_mut(dl.0 as usize) else { return };
        held.link_load = if fills { odds } else { 0.0 };
        held.origin_load = if fetches { reaches } else { 0.0 };
        held.only_held = !fetches;
        if fills && held.fill_failures < FILL_FAILURES {
            return self.ask_source(dl, post);
        }
        self.ask_cache(dl, post);
    }

    fn chance_of(&self, which: usize, now: Moment) -> f64 {
        (self.fill_rates[which].sum(now) + 1.0) / (self.fill_rates[which].count(now) + 2.0)
    }

    /// A way starts with its source: the object's home among all parents, then the origin. What runs at the
    /// origin goes there without a parent, which would keep nothing of it.
    fn ask_source(&mut self, dl: DownloadIndex, post: &mut Context) {
        let Some(Some(held)) = self.downloads.get(dl.0 as usize) else { return };
        let write = self.content_types[held.request.content.0 as usize].settings.write;
        let open = |l: &&NodeRecord| !held.declined.contains(&l.node) && !held.failed.contains(&l.node);
        let parents = self.ready(Role::Parent).filter(|l| open(l) && !write);
        let home = self.first(parents, held.request.object.0);
        let origin = || self.ready(Role::Origin).find(|l| open(l) && !held.only_held).copied();
        let Some(l) = home.or_else(origin) else { return self.ask_cache(dl, post) };
        let sure = self.believed(held, post.now).is_some();
        let odds = if write { 1.0 } else { self.chance_of(usize::from(sure), post.now) };
        // What is not surely a hit weighs in full until it is over: odds lag behind a rush of misses.
        let charge = self.weight(&held.request) * if sure { odds } else { 1.0 };
        let fill = self.out_of(dl, held, odds, charge, post.now);
        let (node, carries, first) = (l.node, self.carries(&l), held.declined.is_empty());
        post.send(
            Recipient::Node(node),
            Message::OfferFill { node, fill, capacity: carries, first_choice: first },
        );
    }

    /// Cheap, up to 1, is what earns little for its sending, told or seen; writes take none.
    fn cheap(&self, held: &PendingDownload) -> f64 {
        let earns = |t: &ContentState| t.settings.benefit / t.mean_send_seconds.max(0.001);
        let trade = &self.content_types[held.request.content.0 as usize];
        let dearest =
            self.content_types.iter().filter(|t| !t.settings.write).map(earns).fold(0.001, f64::max);
        let seen = held.history.best_send_seconds.filter(|_| held.request.kilobytes <= 0.0);
        let sending = seen.unwrap_or(self.weight(&held.request)).max(0.001);
        if trade.settings.write { -1.0 } else { (1.0 - trade.settings.benefit / sending / dearest).max(0.0) }
    }

    /// Seconds of sending that a download is taken to need.
    fn weight(&self, what: &Download) -> f64 {
        let told = f64::from(what.kilobytes) / self.profile.client_kb_per_s.max(1.0);
        if told > 0.0 { told } else { self.content_types[what.content.0 as usize].mean_send_seconds }
    }

    fn out_of(
        &self,
        dl: DownloadIndex,
        held: &PendingDownload,
        odds: f64,
        charge: f64,
        now: Moment,
    ) -> InFlight {
        let sending = held.history.best_send_seconds.unwrap_or(self.weight(&held.request));
        let overdue = Span::from_seconds(OVERDUE_MULTIPLE * sending) + OVERDUE_LEAST;
        InFlight {
            dl,
            sent_at: now,
            overdue_after: overdue,
            certainty: odds,
            charge,
            reported_overdue: false,
        }
    }

    /// The transfers that a node surely carries. Links in were built for the misses of
    /// the caches behind them, and parents for the links; what was seen carried says too little of the whole.
    fn carries(&self, l: &NodeRecord) -> f64 {
        let ((own, mean), caches) = (self.profile.links(), self.max_caches.max(1) as f64);
        let cache = own * CACHE_OVER_LINK / caches * (caches / MANY_CACHES).sqrt().min(1.0);
        if l.role == Role::Cache { cache.max(1.0) } else { (mean * PARENT_OVER_LINK).max(1.0) }
    }

    /// The cache that should still hold the copy of the last fill.
    fn believed(&self, held: &PendingDownload, now: Moment) -> Option<NodeIndex> {
        let (node, since) = held.history.edge_copy?;
        let fresh = self.content_types[held.request.content.0 as usize].settings.fresh_for;
        let stands = fresh.is_none_or(|f| now.since(since) < f);
        (stands && self.still(node, since, &held.request)).then_some(node)
    }

    /// A restart or a purge since then voids a copy; its miss says nothing of evictions.
    fn still(&self, node: NodeIndex, since: Moment, what: &Download) -> bool {
        let same = self.members[node.0 as usize].is_some_and(|l| l.started.is_none_or(|s| s <= since));
        same && self.purge_memory.last_of(what).is_none_or(|p| p < since)
    }

    /// The object's home among the own zone's ready caches. Where that one is set aside, cold or has too many
    /// of our pulls for its part, each part goes on in an order of its own. What comes in parts starts with
    /// that order: one cache can't send what a crowd wants of one object, and a router that sees few
    /// downloads can't tell a crowd from one client. Routers that differed there would keep each part twice.
    fn ask_cache(&mut self, dl: DownloadIndex, post: &mut Context) {
        let now = post.now;
        let Some(Some(held)) = self.downloads.get(dl.0 as usize) else { return };
        let (what, gap, source) = (&held.request, held.history.gap, held.source);
        let trade = &self.content_types[what.content.0 as usize];
        let open = |l: &NodeRecord| !held.declined.contains(&l.node) && !held.failed.contains(&l.node);
        let spread = self.spread(what, now);
        let (part, any) = (u64::from(what.part) + 1, spread * post.chance());
        // Without a fill only the home is sure to have what comes in one part.
        let nth = if trade.settings.in_parts { part } else { any as u64 * u64::from(source.is_some()) };
        let home = self.first(self.ready(Role::Cache), (what.object.0, nth)).filter(open);
        let others = self.ready(Role::Cache).filter(|l| open(l));
        let next = || self.first(others, (what.object.0, u64::from(what.part) + 1));
        let Some(best) = home.or_else(next) else { return self.pass_by(dl, post) };
        if !self.may_pull(held, &best, now) {
            return self.give_up(dl, post);
        }
        let all: usize = self.ready(Role::Cache).map(|l| self.pulls_in_flight[l.node.0 as usize]).sum();
        let scales = self.ready(Role::Cache).map(|l| self.scale(l)).sum::<f64>();
        let fair = (all + 1) as f64 * self.scale(&best) / scales.max(0.01);
        let parent = source.is_some_and(|s| self.is_parent(s));
        let troubled = held.fill_failures > 0 || held.only_held || self.origin_limiter.is_slow(now);
        let odds = if self.believed(held, now) == Some(best.node) { 1.0 } else { DOUBTFUL_FAILURE };
        let out = self.out_of(dl, held, odds, trade.mean_send_seconds.max(self.weight(what)), now);
        let pull = Pull {
            source,
            max_age: self.oldest(what, troubled, now),
            rank: match gap {
                _ if trade.settings.write => 0,
                None => FIRST_RANK,
                Some(gap) if gap < self.history.edge_tau => LATER_RANK,
                Some(_) => 0,
            },
            join: self.profile.may_join,
            only_held: held.only_held && parent,
            no_copy: parent && gap.is_some_and(|gap| gap >= self.history.parent_tau),
            renew: trade.settings.fresh_for.is_some() && source.is_some(),
            timeout: if self.profile.may_cancel { Span::ZERO } else { out.overdue_after },
            connect_within: self.window_left(held, now),
            ..Pull::plain(dl, best.node)
        };
        let ask = PullOffer {
            pull,
            in_flight: out,
            cheapness: self.cheap(held),
            max_in_flight: (SPREAD * fair).max(SPREAD_LEAST),
            capacity: self.carries(&best),
            may_probe: trade.settings.idempotency == Idempotency::Retriable,
        };
        post.send(Recipient::Node(best.node), Message::OfferPull(ask));
    }

    /// Where it may be, the parent that has granted a fill is asked itself: guards against zones whose caches
    /// are gone or, half of them, fail. Full or cold ones are no reason: the parent fills for others too.
    fn pass_by(&mut self, dl: DownloadIndex, post: &mut Context) {
        let Some(Some(held)) = self.downloads.get(dl.0 as usize) else { return };
        let failed = self.ready(Role::Cache).filter(|l| held.failed.contains(&l.node)).count();
        let bare = self.profile.may_bypass && failed * 2 >= self.ready(Role::Cache).count();
        let parent = held.source.filter(|s| bare && self.is_parent(*s));
        let to = parent.and_then(|p| self.members[p.0 as usize]).filter(|l| self.may_pull(held, l, post.now));
        let Some(to) = to else { return self.give_up(dl, post) };
        let source = self.ready(Role::Origin).find(|_| !held.only_held).map(|l| l.node);
        let (oldest, join) = (self.oldest(&held.request, held.only_held, post.now), self.profile.may_join);
        let start_within = self.window_left(held, post.now);
        post.order(Action::Pull(Pull {
            source,
            max_age: oldest,
            join,
            connect_within: start_within,
            ..Pull::plain(dl, to.node)
        }));
        self.place(dl, to.node, post.now);
    }

    /// (5) The oldest copy that will do: none from before a purge that this router was told of. (6) While
    /// what is behind the caches fails, an aged copy now is of more benefit than a fresh one too late.
    fn oldest(&self, what: &Download, troubled: bool, now: Moment) -> Span {
        let content = &self.content_types[what.content.0 as usize].settings;
        let usual = content.fresh_for.map(|fresh| if troubled { fresh + content.grace } else { fresh });
        let since =
            self.purge_memory.last_of(what).map(|at| now.since(at + PURGE_MARGIN).max(Span::micros(1)));
        usual.into_iter().chain(since).min().unwrap_or(Span::ZERO)
    }

    /// Rule 2: what may have run goes on only where, and as long as, a repeat does no harm.
    fn may_pull(&self, held: &PendingDownload, to: &NodeRecord, now: Moment) -> bool {
        let spent = held.attempts.len() as u32 >= self.profile.max_pulls;
        if spent || held.answered || now >= held.request.deadline || held.pulls_out() {
            return false;
        }
        let Some(first) = held.may_have_run() else { return true };
        match self.content_types[held.request.content.0 as usize].settings.idempotency {
            Idempotency::Retriable => true,
            Idempotency::NonRetriable => false,
            Idempotency::Deduped { scope: within, window: memory } => {
                let Some(was) = self.members[first.node.0 as usize] else { return false };
                let knows = match within {
                    DedupeScope::All => true,
                    DedupeScope::Zone => was.zone == to.zone,
                    DedupeScope::Cell => (was.zone, was.cell) == (to.zone, to.cell),
                };
                knows && now.since(first.sent_at) < memory
            }
        }
    }

    /// How long a repeat may wait for its connection, which may come up after its window has closed;
    /// zero: for ever.
    fn window_left(&self, held: &PendingDownload, now: Moment) -> Span {
        match (held.may_have_run(), self.content_types[held.request.content.0 as usize].settings.idempotency)
        {
            (Some(first), Idempotency::Deduped { window: memory, .. }) => {
                memory.less(now.since(first.sent_at))
            }
            _ => Span::ZERO,
        }
    }

    /// Answers at once what this router won't go on with. A throttling reply promises that a repeat is
    /// harmless, so that what may have run gets one only where repeats are.
    fn give_up(&mut self, dl: DownloadIndex, post: &mut Context) {
        let Some(Some(held)) = self.downloads.get(dl.0 as usize) else { return };
        held.source
            .into_iter()
            .for_each(|source| post.send(Recipient::Node(source), Message::never_sent(dl)));
        let repeat = self.content_types[held.request.content.0 as usize].settings.idempotency;
        let known =
            matches!(repeat, Idempotency::Retriable | Idempotency::Deduped { scope: DedupeScope::All, .. });
        let retry_after = (BACK_IN * (0.5 + post.chance())).min(self.profile.max_retry_after);
        let harmless = known || held.may_have_run().is_none();
        post.order(if harmless { Action::Throttle { dl, retry_after } } else { Action::Abandon { dl } });
        self.leave_gates(dl);
        self.close(dl, post);
    }

    /// Ends what is owed for a download; pulls still out are called back, since nobody waits for them.
    fn close(&mut self, dl: DownloadIndex, post: &mut Context) {
        let Some(Some(held)) = self.downloads.get_mut(dl.0 as usize) else { return };
        held.answered = true;
        let may = self.profile.may_cancel;
        for (n, s) in held.attempts.iter_mut().enumerate().filter(|(_, s)| may && !s.ended && !s.cancelled) {
            s.cancelled = true;
            post.order(Action::Cancel { dl, attempt: n as u8 });
        }
        if !held.pulls_out() {
            self.downloads[dl.0 as usize] = None;
            post.order(Action::Release { dl });
        }
    }

    /// (3) A pull on a node set aside or gone is called back, and goes on elsewhere once that is confirmed.
    /// Guards against silence. A non-retriable download waits on: nothing could follow its pull. What takes
    /// far longer than ever at a node that answers others is taken for lost, and pulled there once again.
    fn overdue(&mut self, dl: DownloadIndex, aside: bool, post: &mut Context) {
        let Some(Some(held)) = self.downloads.get_mut(dl.0 as usize) else { return };
        let once = self.content_types[held.request.content.0 as usize].settings.idempotency
            == Idempotency::NonRetriable;
        let lost = held.attempts.len() == 1
            && held.history.best_send_seconds.is_some()
            && !self.origin_limiter.is_slow(post.now);
        let may = self.profile.may_cancel && !held.answered && !once && (aside || lost);
        let last = held.attempts.iter_mut().enumerate().next_back();
        if let Some((n, sent)) = last.filter(|(_, s)| may && !s.ended && !s.cancelled) {
            sent.cancelled = true;
            post.order(Action::Cancel { dl, attempt: n as u8 });
        }
    }

    fn ended(&mut self, end: PullResult, post: &mut Context) {
        let (now, dl) = (post.now, end.dl);
        let Some(Some(held)) = self.downloads.get_mut(dl.0 as usize) else { return };
        let Some(sent) = held.attempts.get_mut(end.attempt as usize).filter(|s| !s.ended) else { return };
        (sent.ended, sent.proven_unrun) = (true, end.outcome.proves_not_run());
        let was = *sent;
        self.pulls_in_flight[was.node.0 as usize] -= 1;
        let verdict = self.tell_nodes(&end, &was, post);
        self.leave_gates(dl);
        if end.outcome == PullOutcome::Fulfilled {
            self.learn(&end, &was, now);
        }
        let Some(Some(held)) = self.downloads.get_mut(dl.0 as usize) else { return };
        if held.answered || end.answered {
            return self.close(dl, post);
        } else if held.pulls_out() {
            return;
        }
        // The preferred node is tried once more, since it has the copy.
        let home = matches!(end.outcome, PullOutcome::Broken | PullOutcome::Cancelled) && end.attempt == 0;
        if end.cache_status.is_behind() {
            // Another parent may do better than one that failed, but not than the origin behind them all.
            held.fill_failures +=
                if end.cache_status == CacheStatus::OriginFailed { FILL_FAILURES } else { 1 };
            held.failed.extend(was.source.filter(|_| end.cache_status != CacheStatus::SourceLacks));
        } else if verdict != HealthSignal::Success && !home || end.cache_status == CacheStatus::NoFillSlot {
            held.failed.push(was.node);
        }
        let write = self.content_types[held.request.content.0 as usize].settings.write;
        let looked = was.source.is_none() || held.only_held;
        held.source = None;
        if end.outcome == PullOutcome::Missed && looked || end.cache_status.is_behind() && write {
            return self.give_up(dl, post);
        }
        self.pass_gates(dl, post);
    }

    /// Passes on what an end says of the cache and of its source. What failed behind a cache is not held
    /// against it, nor the origin's failure against a parent.
    fn tell_nodes(&mut self, end: &PullResult, was: &Attempt, post: &mut Context) -> HealthSignal {
        let now = post.now;
        let Some(Some(held)) = self.downloads.get(end.dl.0 as usize) else {
            return HealthSignal::Inconclusive;
        };
        let (fulfilled, sure) =
            (end.outcome == PullOutcome::Fulfilled, self.believed(held, now) == Some(was.node));
        let verdict = match end.outcome {
            PullOutcome::Fulfilled | PullOutcome::Missed => HealthSignal::Success,
            PullOutcome::Cancelled | PullOutcome::NotSent => HealthSignal::Inconclusive,
            _ if end.cache_status.is_behind() || end.cache_status == CacheStatus::NoFillSlot => {
                HealthSignal::Success
            }
            PullOutcome::Full => HealthSignal::Overloaded,
            PullOutcome::TimedOut if !sure => HealthSignal::Inconclusive,
            _ => HealthSignal::Failure,
        };
        let (weight, told) = (self.weight(&held.request), held.request.kilobytes > 0.0);
        // Where no notes are told, all that is fulfilled passes for a hit, so that gates still learn.
        let hit = fulfilled
            && matches!(end.cache_status, CacheStatus::Hit | CacheStatus::Stale | CacheStatus::Unknown);
        let trade = &mut self.content_types[held.request.content.0 as usize];
        if hit && (told || self.pulls_in_flight[was.node.0 as usize] <= 2) {
            let sending = if told { weight } else { end.duration.seconds() };
            trade.mean_send_seconds += SENDING_WEIGHT * (sending - trade.mean_send_seconds);
        }
        let target = trade.settings.target_time + Span::from_seconds(weight * trade.settings.target_stretch);
        let ratio = hit.then(|| end.duration / target);
        post.send(
            Recipient::Node(was.node),
            Message::Finished { dl: end.dl, signal: verdict, latency_ratio: ratio, charge: None },
        );
        if let Some(source) = was.source {
            let verdict = match end.cache_status {
                CacheStatus::Filled | CacheStatus::FromOrigin | CacheStatus::OriginFailed => {
                    HealthSignal::Success
                }
                CacheStatus::SourceRefused | CacheStatus::SourceLost => HealthSignal::Failure,
                _ => HealthSignal::Inconclusive,
            };
            // What may have reached the source stays charged, also where it only lacked the object.
            let spared = hit || matches!(end.outcome, PullOutcome::NotSent | PullOutcome::NoConnection);
            let charge = Some(if spared { 0.0 } else { weight });
            // What came from its own copy tells of its link; what it had to fetch, of the origin's.
            let ratio =
                (end.cache_status == CacheStatus::Filled).then(|| end.duration.less(end.first_byte) / target);
            post.send(
                Recipient::Node(source),
                Message::Finished { dl: end.dl, signal: verdict, latency_ratio: ratio, charge },
            );
        }
        let filled = matches!(end.cache_status, CacheStatus::Filled | CacheStatus::FromOrigin);
        // What failed on its way or was only looked for tells of misses as much as what was filled. A stuck
        // origin shows nothing but waits that nobody saw end.
        let unseen = end.outcome == PullOutcome::TimedOut && !sure && end.duration > target;
        let lacked = filled || end.cache_status.is_behind() || unseen || end.outcome == PullOutcome::Missed;
        if lacked || hit {
            self.fill_rates[usize::from(sure)].add(now, f64::from(u8::from(lacked)));
        }
        if filled
            || unseen
            || matches!(end.cache_status, CacheStatus::OriginFailed | CacheStatus::SourceLacks)
        {
            self.fill_rates[2].add(now, f64::from(u8::from(end.cache_status != CacheStatus::Filled)));
        }
        if filled {
            // One that is told to be large takes its time on any link: what it takes beyond shows a full one.
            let sending = Span::from_seconds(if told { weight } else { 0.0 });
            self.link_limiter.show(
                end.duration.less(end.first_byte).less(sending) / target.less(sending),
                weight,
                now,
            );
        }
        match end.cache_status {
            CacheStatus::FromOrigin => self.origin_limiter.show(end.first_byte / target, 1.0, now),
            CacheStatus::OriginFailed => self.origin_limiter.show(f64::INFINITY, 1.0, now),
            CacheStatus::SourceLost => self.origin_limiter.show(f64::INFINITY, DOUBTFUL_FAILURE, now),
            CacheStatus::NoFillSlot => self.link_limiter.show(FAILED_RATIO * LINK_SLOW, weight, now),
            _ if unseen => self.origin_limiter.show(end.duration / target, DOUBTFUL_FAILURE, now),
            _ => {}
        }
        verdict
    }

    /// Samples τ from misses on copies believed kept, and notes what this answer left where.
    fn learn(&mut self, end: &PullResult, was: &Attempt, now: Moment) {
        let Some(Some(held)) = self.downloads.get(end.dl.0 as usize) else { return };
        self.history.saw(&held.request, end.duration.less(end.first_byte).seconds());
        self.history.warm(
            held.request.object,
            end.duration.seconds(),
            SlidingWindow::new(Span::millis(1_000), 4),
            now,
        );
        let write = self.content_types[held.request.content.0 as usize].settings.write;
        if write || !matches!(end.cache_status, CacheStatus::Filled | CacheStatus::FromOrigin) {
            return;
        }
        let (what, line, at_origin) =
            (held.request, held.history, end.cache_status == CacheStatus::FromOrigin);
        let through = was.source.filter(|s| self.is_parent(*s));
        let given =
            line.parent_copy.filter(|(p, since)| Some(*p) == through && self.still(*p, *since, &what));
        let evicted = self.believed(held, now) == Some(was.node);
        let kept = line.gap.is_none_or(|gap| gap < self.history.edge_tau);
        let left = line.gap.is_none_or(|gap| gap < self.history.parent_tau);
        let mean = |tau, gap: Option<Span>| gap.map_or(tau, |g| tau * (1.0 - TAU_WEIGHT) + g * TAU_WEIGHT);
        self.history.edge_tau = mean(self.history.edge_tau, line.gap.filter(|_| evicted));
        let again = line.gap.filter(|_| at_origin && given.is_some());
        self.history.parent_tau = mean(self.history.parent_tau, again);
        let Some(entry) = self.history.entries.get_mut(&(what.object, what.part)) else { return };
        entry.edge_copy = kept.then_some((was.node, now));
        entry.parent_copy =
            through.filter(|_| left).map(|p| (p, now)).or(entry.parent_copy.filter(|_| !at_origin));
    }
}
