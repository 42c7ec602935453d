//! Sharing of the archive: hubs share a limit below the rate at which it stops.
//!
//! The control service gives each top hub a share, in fetches a second, for a term. A share counts as in use
//! until its term is over or the hub has applied a smaller one, so old and new shares never add up to more
//! than the budget, whatever fails or is lost on the way. A hub counts the term from its request, the service
//! from its answer, so the term ends at the hub first.
//!
//! Some of the budget is not allocated: each hub keeps a floor when its term has run out, since a hub that
//! cannot reach the service still has branches to serve.
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long a share is valid.
pub const SHARE_TERM: Span = Span::millis(2_000);
/// The fraction of the stop rate that is allocated at most. The rest is for hubs that are cut off, for
/// writes, and for fetches under way when a share ends.
const ALLOCATED_FRACTION: f64 = 0.6;
/// The fraction of the stop rate that all floors together come to.
const FLOOR_FRACTION: f64 = 0.15;
/// Higher share numbers are invalid.
const MAX_NUMBER: u64 = 1 << 62;
/// A hub that requested little gets this much more than it requested, so that its demand can grow.
const HEADROOM: f64 = 1.5;
const MIN_DEMAND: f64 = 1.0;

/// A share that was granted, until its term ends.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Grant {
    rate: f64,
    until: Moment,
    number: u64,
}

/// A hub that has requested shares.
#[derive(Clone, Debug, Default)]
struct Member {
    wanted_rate: f64,
    last_request: Moment,
    /// Shares that may still be in use; the last is the current one.
    grants: Vec<Grant>,
}

/// The share of one hub.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateShare {
    /// Fetches a second.
    pub rate: f64,
    /// Fetches a second that are allowed without any share.
    pub floor: f64,
    /// Increases with each share: an older one that arrives late is ignored.
    pub number: u64,
}

/// The service's side: allocates shares to hubs.
pub struct ShareAllocator {
    /// Fetches a second at which the archive stops.
    stop_rate: f64,
    members: BTreeMap<String, Member>,
    number: u64,
    /// Until when shares of a predecessor may be in use, and how much of them no hub has claimed.
    predecessor: Option<(Moment, f64)>,
}

impl ShareAllocator {
    /// An allocator without members, for an archive that stops at this rate.
    pub fn new(stop_rate: f64) -> ShareAllocator {
        ShareAllocator { stop_rate, members: BTreeMap::new(), number: 0, predecessor: None }
    }

    /// The archive's settings have changed. Shares that were granted stay until their terms end.
    pub fn set_stop_rate(&mut self, stop_rate: f64) {
        self.stop_rate = stop_rate;
    }

    /// After a start the service does not know what its predecessor granted, so the whole budget counts as
    /// allocated until those terms have ended. A hub that reports the rate it holds may go on with it at
    /// once, since that was part of the budget.
    pub fn start_after_predecessor(&mut self, now: Moment) {
        self.predecessor = Some((now + SHARE_TERM, self.stop_rate * ALLOCATED_FRACTION));
    }

    /// Handles a hub's request and returns its share. The hub reports its demand in fetches a second, the
    /// number of the last share that it applied, and the rate that it holds by that share. `hub_count` is the
    /// number of top hubs, for their floors.
    pub fn request(
        &mut self,
        hub: &str,
        wanted_rate: f64,
        applied_number: u64,
        granted_rate: f64,
        hub_count: usize,
        now: Moment,
    ) -> RateShare {
        self.drop_expired(now);
        let applied_number = applied_number.min(MAX_NUMBER);
        if !self.members.contains_key(hub)
            && let Some((until, unclaimed)) = &mut self.predecessor
        {
            let rate = if granted_rate.is_finite() { granted_rate.clamp(0.0, *unclaimed) } else { 0.0 };
            *unclaimed -= rate;
            let grants = vec![Grant { rate, until: *until, number: applied_number }];
            self.members.insert(hub.into(), Member { grants, ..Member::default() });
        }
        let member = self.members.entry(hub.into()).or_default();
        member.wanted_rate = if wanted_rate.is_finite() { wanted_rate.max(0.0) } else { 0.0 };
        member.last_request = now;
        // An answer may have been lost, so an earlier share may still be in use. Only the number that the hub
        // has applied proves that older ones are not.
        member.grants.retain(|grant| grant.number >= applied_number);
        let fair = self.fair_share(hub);
        let others: f64 = self.members.iter().filter(|(name, _)| *name != hub).map(|(_, m)| m.in_use()).sum();
        let unknown = self.predecessor.map_or(0.0, |(_, unclaimed)| unclaimed);
        let free = (self.stop_rate * ALLOCATED_FRACTION - others - unknown).max(0.0);
        let rate = fair.min(free);
        // The number also exceeds those of a predecessor, since a hub ignores shares older than its own.
        self.number = self.number.max(applied_number) + 1;
        let floor = self.stop_rate * FLOOR_FRACTION / hub_count.max(1) as f64;
        if let Some(member) = self.members.get_mut(hub) {
            member.grants.push(Grant { rate, until: now + SHARE_TERM, number: self.number });
        }
        RateShare { rate, floor, number: self.number }
    }

    /// Max-min fair: a hub that wants less than an equal share gets what it wants, and the others divide the
    /// rest.
    fn fair_share(&self, hub: &str) -> f64 {
        let demand = |m: &Member| (m.wanted_rate * HEADROOM).max(MIN_DEMAND);
        let mut demands: Vec<(f64, &str)> =
            self.members.iter().map(|(name, m)| (demand(m), name.as_str())).collect();
        demands.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        let (mut rate_left, mut hubs_left) = (self.stop_rate * ALLOCATED_FRACTION, demands.len());
        for (demand, name) in demands {
            let share = demand.min(rate_left / hubs_left as f64);
            if name == hub {
                return share;
            }
            rate_left -= share;
            hubs_left -= 1;
        }
        0.0
    }

    fn drop_expired(&mut self, now: Moment) {
        self.predecessor = self.predecessor.filter(|(until, _)| *until > now);
        self.members.retain(|_, member| {
            member.grants.retain(|grant| grant.until > now);
            !member.grants.is_empty() || now.since(member.last_request) < SHARE_TERM
        });
    }

    /// Fetches a second that may be in use now.
    pub fn allocated(&self, now: Moment) -> f64 {
        let unexpired = |m: &Member| Member {
            grants: m.grants.iter().filter(|g| g.until > now).copied().collect(),
            ..m.clone()
        };
        let unknown =
            self.predecessor.filter(|(until, _)| *until > now).map_or(0.0, |(_, unclaimed)| unclaimed);
        self.members.values().map(|m| unexpired(m).in_use()).sum::<f64>() + unknown
    }

    /// Fetches a second that may be allocated in total.
    pub fn budget(&self) -> f64 {
        self.stop_rate * ALLOCATED_FRACTION
    }
}

impl Member {
    /// The hub uses one of its shares at a time, and the service does not know which.
    fn in_use(&self) -> f64 {
        self.grants.iter().map(|grant| grant.rate).fold(0.0, f64::max)
    }
}

/// Fetches that a hub may start at once after a pause, in seconds of its share.
const BURST: f64 = 0.25;
/// Fetches a second before any shape is known.
const DEFAULT_RATE: f64 = 1.0;

/// The hub's side: a token bucket that fills at the rate of its share.
pub struct ShareLimiter {
    share: RateShare,
    until: Moment,
    tokens: f64,
    refilled_at: Moment,
    /// Fetches that were wanted since the last request.
    wanted: f64,
    requested_at: Moment,
}

impl ShareLimiter {
    /// A limiter without a share: it allows a low default rate until it is configured.
    pub fn new(now: Moment) -> ShareLimiter {
        let share = RateShare { rate: 0.0, floor: DEFAULT_RATE, number: 0 };
        ShareLimiter { share, until: now, tokens: 1.0, refilled_at: now, wanted: 0.0, requested_at: now }
    }

    /// A hub without a service has an equal share of the whole, by the shape that it was given. A hub with a
    /// service has its floor until the service answers.
    pub fn configure(&mut self, stop_rate: f64, hub_count: usize, standalone: bool) {
        let fraction = if standalone { ALLOCATED_FRACTION + FLOOR_FRACTION } else { FLOOR_FRACTION };
        if self.share.number == 0 {
            self.share.floor = stop_rate * fraction / hub_count.max(1) as f64;
        }
    }

    /// What to request from the service: fetches a second wanted since the last request, and the number of
    /// the share that was applied last.
    pub fn take_demand(&mut self, now: Moment) -> (f64, u64) {
        let seconds = now.since(self.requested_at).seconds().max(0.05);
        let wanted_rate = self.wanted / seconds;
        (self.wanted, self.requested_at) = (0.0, now);
        (wanted_rate, self.share.number)
    }

    /// Fetches a second that the current share allows, while it is valid.
    pub fn granted_rate(&self, now: Moment) -> f64 {
        if now < self.until { self.share.rate } else { 0.0 }
    }

    /// Applies a share that was requested at `requested_at`.
    pub fn on_share(&mut self, share: RateShare, requested_at: Moment, now: Moment) {
        if share.number > self.share.number {
            self.refill(now);
            (self.share, self.until) = (share, requested_at + SHARE_TERM);
        }
    }

    /// Fetches a second that are allowed at a moment, by the share or by the floor.
    pub fn rate(&self, at: Moment) -> f64 {
        if at < self.until { self.share.rate.max(self.share.floor) } else { self.share.floor }
    }

    fn refill(&mut self, now: Moment) {
        // Fills each period at its own rate: a share that has ended in the meantime must not count until now.
        let split = self.until.clamp(self.refilled_at, now.max(self.refilled_at));
        let with_share = split.since(self.refilled_at).seconds() * self.rate(self.refilled_at);
        let after = now.since(split).seconds() * self.share.floor;
        let max_tokens = (self.rate(now) * BURST).max(1.0);
        self.tokens = (self.tokens + with_share + after).min(max_tokens);
        self.refilled_at = now;
    }

    /// Whether a fetch may start now. A fetch that is refused counts as wanted all the same.
    pub fn try_fetch(&mut self, now: Moment) -> bool {
        self.wanted += 1.0;
        self.retry_fetch(now)
    }

    /// The same for a fetch that was refused before and is already counted.
    pub fn retry_fetch(&mut self, now: Moment) -> bool {
        self.refill(now);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// When the next fetch may start.
    pub fn next_fetch_at(&self, now: Moment) -> Moment {
        let missing = (1.0 - self.tokens).max(0.0);
        now + Span::from_seconds(missing / self.rate(now).max(0.01)) + Span::millis(1)
    }
}
