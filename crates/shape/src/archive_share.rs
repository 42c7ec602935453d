//! The archive's gate: hubs share a bound below its stopping point.
//!
//! The control service gives each hub at the top a part, in fetches a second, for a term. What it has given out, it
//! takes for used until the term is over or the hub has taken a smaller part instead, so that old and new parts never
//! add up to more than the whole, whoever dies and whatever is lost on the way. A hub counts its term from when it
//! asked, the service from when it answered: the hub's ends first.
//!
//! Part of the whole is not given out: each hub keeps a floor from it when its term has run out, since a hub that
//! the service can't reach still has branches to serve.
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long a part is good.
pub const SHARE_TERM: Span = Span::millis(2_000);
/// Of the stopping point, what is given out at most: the rest is for what hubs that are cut off ask, for writes, and
/// for what was under way when a part ended.
const GIVEN_OUT: f64 = 0.6;
/// Of the stopping point, what all floors together come to.
const FLOORS: f64 = 0.15;
/// Numbers of parts past it are no numbers.
const LAST_NUMBER: u64 = 1 << 62;
/// A hub that asked for little gets this much more than it asked, so that its want can grow.
const HEADROOM: f64 = 1.5;
const LEAST_WANT: f64 = 1.0;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Given {
    rate: f64,
    until: Moment,
    number: u64,
}

#[derive(Clone, Debug, Default)]
struct Member {
    wants: f64,
    last_request: Moment,
    /// Parts that may still be in use; the last is the one in force.
    grants: Vec<Given>,
}

/// What a hub is told.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateShare {
    /// Fetches a second.
    pub rate: f64,
    /// What it may use without any part.
    pub floor: f64,
    /// Counts up with each part: an older one that comes late is passed over.
    pub number: u64,
}

/// The service's side.
pub struct ShareAllocator {
    /// Fetches a second at which the archive stops.
    stop_rate: f64,
    members: BTreeMap<String, Member>,
    number: u64,
    /// Until when parts of a forerunner may be in use, and how much of them no hub has spoken for.
    predecessor: Option<(Moment, f64)>,
}

impl ShareAllocator {
    pub fn new(stopping: f64) -> ShareAllocator {
        ShareAllocator { stop_rate: stopping, members: BTreeMap::new(), number: 0, predecessor: None }
    }

    /// The archive's figures have changed. What was given out stays until its term ends.
    pub fn set_stop_rate(&mut self, stopping: f64) {
        self.stop_rate = stopping;
    }

    /// After a start the service does not know what its forerunner gave out: the whole is taken for given out until that
    /// has ended. A hub that says what it holds of it may go on with that at once, since it was part of the whole.
    pub fn start_after_predecessor(&mut self, now: Moment) {
        self.predecessor = Some((now + SHARE_TERM, self.stop_rate * GIVEN_OUT));
    }

    /// A hub says what it would use, in fetches a second, which part it has taken in, and what rate it holds by it, and
    /// gets its part. `most` is how many hubs may be at the top, for their floors.
    pub fn request(
        &mut self,
        hub: &str,
        wants: f64,
        taken: u64,
        holds: f64,
        most: usize,
        now: Moment,
    ) -> RateShare {
        self.drop_expired(now);
        let taken = taken.min(LAST_NUMBER);
        if !self.members.contains_key(hub)
            && let Some((until, rest)) = &mut self.predecessor
        {
            let rate = if holds.is_finite() { holds.clamp(0.0, *rest) } else { 0.0 };
            *rest -= rate;
            let given = vec![Given { rate, until: *until, number: taken }];
            self.members.insert(hub.into(), Member { grants: given, ..Member::default() });
        }
        let member = self.members.entry(hub.into()).or_default();
        member.wants = if wants.is_finite() { wants.max(0.0) } else { 0.0 };
        member.last_request = now;
        // An answer may have been lost, and the part before it still be in use: only what the hub has taken in since
        // proves that an older one is not.
        member.grants.retain(|given| given.number >= taken);
        let fair = self.fair_share(hub);
        let others: f64 = self.members.iter().filter(|(name, _)| *name != hub).map(|(_, m)| m.in_use()).sum();
        let unknown = self.predecessor.map_or(0.0, |(_, rest)| rest);
        let free = (self.stop_rate * GIVEN_OUT - others - unknown).max(0.0);
        let rate = fair.min(free);
        // Also past what a forerunner counted to: a hub passes by what is older than what it has.
        self.number = self.number.max(taken) + 1;
        let floor = self.stop_rate * FLOORS / most.max(1) as f64;
        if let Some(member) = self.members.get_mut(hub) {
            member.grants.push(Given { rate, until: now + SHARE_TERM, number: self.number });
        }
        RateShare { rate, floor, number: self.number }
    }

    /// Max-min fair: who wants less than an equal part gets what it wants, and the others share what that leaves.
    fn fair_share(&self, hub: &str) -> f64 {
        let want = |m: &Member| (m.wants * HEADROOM).max(LEAST_WANT);
        let mut wants: Vec<(f64, &str)> =
            self.members.iter().map(|(name, m)| (want(m), name.as_str())).collect();
        wants.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        let (mut left, mut heads) = (self.stop_rate * GIVEN_OUT, wants.len());
        for (want, name) in wants {
            let part = want.min(left / heads as f64);
            if name == hub {
                return part;
            }
            left -= part;
            heads -= 1;
        }
        0.0
    }

    fn drop_expired(&mut self, now: Moment) {
        self.predecessor = self.predecessor.filter(|(until, _)| *until > now);
        self.members.retain(|_, member| {
            member.grants.retain(|given| given.until > now);
            !member.grants.is_empty() || now.since(member.last_request) < SHARE_TERM
        });
    }

    /// All that may be in use now.
    pub fn allocated(&self, now: Moment) -> f64 {
        let alive = |m: &Member| Member {
            grants: m.grants.iter().filter(|g| g.until > now).copied().collect(),
            ..m.clone()
        };
        let unknown = self.predecessor.filter(|(until, _)| *until > now).map_or(0.0, |(_, rest)| rest);
        self.members.values().map(|m| alive(m).in_use()).sum::<f64>() + unknown
    }

    pub fn budget(&self) -> f64 {
        self.stop_rate * GIVEN_OUT
    }
}

impl Member {
    /// One of its parts at a time, and nobody knows which.
    fn in_use(&self) -> f64 {
        self.grants.iter().map(|given| given.rate).fold(0.0, f64::max)
    }
}

/// Fetches that a hub may begin at once after a rest, in seconds of its part.
const BURST: f64 = 0.25;
/// Fetches a second before any shape is known.
const UNTOLD: f64 = 1.0;

/// The hub's side: a bucket that fills at the rate of its part.
pub struct ShareLimiter {
    share: RateShare,
    until: Moment,
    tokens: f64,
    refilled_at: Moment,
    /// Fetches that it would have begun since it last asked.
    wanted: f64,
    asked: Moment,
}

impl ShareLimiter {
    pub fn new(now: Moment) -> ShareLimiter {
        let part = RateShare { rate: 0.0, floor: UNTOLD, number: 0 };
        ShareLimiter { share: part, until: now, tokens: 1.0, refilled_at: now, wanted: 0.0, asked: now }
    }

    /// A hub that follows no service has an equal part of the whole, by the shape that it was given; one that follows a
    /// service has its floor of it until it hears from it.
    pub fn configure(&mut self, stopping: f64, most: usize, alone: bool) {
        let whole = if alone { GIVEN_OUT + FLOORS } else { FLOORS };
        if self.share.number == 0 {
            self.share.floor = stopping * whole / most.max(1) as f64;
        }
    }

    /// What to ask the service for: fetches a second wanted since the last time, and the number of the part that was
    /// taken in last.
    pub fn take_demand(&mut self, now: Moment) -> (f64, u64) {
        let seconds = now.since(self.asked).seconds().max(0.05);
        let wants = self.wanted / seconds;
        (self.wanted, self.asked) = (0.0, now);
        (wants, self.share.number)
    }

    /// Fetches a second that it may begin by its part, while that lasts.
    pub fn granted_rate(&self, now: Moment) -> f64 {
        if now < self.until { self.share.rate } else { 0.0 }
    }

    pub fn on_share(&mut self, part: RateShare, asked: Moment, now: Moment) {
        if part.number > self.share.number {
            self.refill(now);
            (self.share, self.until) = (part, asked + SHARE_TERM);
        }
    }

    /// Fetches a second that it may begin at a moment, by its part or by its floor.
    pub fn rate(&self, at: Moment) -> f64 {
        if at < self.until { self.share.rate.max(self.share.floor) } else { self.share.floor }
    }

    fn refill(&mut self, now: Moment) {
        // Each stretch at its own rate: a part that has ended meanwhile must not be counted on to now.
        let split = self.until.clamp(self.refilled_at, now.max(self.refilled_at));
        let with_part = split.since(self.refilled_at).seconds() * self.rate(self.refilled_at);
        let after = now.since(split).seconds() * self.share.floor;
        let most = (self.rate(now) * BURST).max(1.0);
        self.tokens = (self.tokens + with_part + after).min(most);
        self.refilled_at = now;
    }

    /// Whether a fetch may begin now. A want that is turned down counts as wanted all the same.
    pub fn try_fetch(&mut self, now: Moment) -> bool {
        self.wanted += 1.0;
        self.retry_fetch(now)
    }

    /// The same for one that was turned down before, and is counted already.
    pub fn retry_fetch(&mut self, now: Moment) -> bool {
        self.refill(now);
        let lets = self.tokens >= 1.0;
        if lets {
            self.tokens -= 1.0;
        }
        lets
    }

    /// When the next fetch may begin.
    pub fn next_fetch_at(&self, now: Moment) -> Moment {
        let lacks = (1.0 - self.tokens).max(0.0);
        now + Span::from_seconds(lacks / self.rate(now).max(0.01)) + Span::millis(1)
    }
}
