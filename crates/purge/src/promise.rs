//! Latency promised for purges, and whether it was kept. The promise is derived from measured latencies: how
//! long members take to acknowledge, and how long it takes until a fence holds for a member that does not.
use crate::members::FENCE_TIMEOUT;
use harestage::time::{Moment, Span};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum latency that is promised, whatever was measured, so that the promise also holds on worse days.
const MIN_PROMISE: Span = Span::millis(300);
/// Latency promised before there are enough measurements.
const DEFAULT_PROMISE: Span = Span::millis(1_000);
/// Number of measurements from which on the promise is derived from them.
const MIN_MEASUREMENTS: u64 = 50;
/// Quantile of the measured latencies, and the factor by which the promise exceeds it.
const QUANTILE: f64 = 0.999;
const SAFETY_FACTOR: f64 = 2.0;
/// Highest latency that is recorded, in milliseconds.
const MAX_RECORDED_MS: u64 = 3_600_000;

/// Latencies of acknowledgements and of fences.
pub struct LatencyStats {
    ack_latency: Histogram<u64>,
    fence_latency: Histogram<u64>,
}

impl Default for LatencyStats {
    fn default() -> Self {
        let new = || Histogram::new_with_bounds(1, MAX_RECORDED_MS, 3).expect("valid histogram bounds");
        LatencyStats { ack_latency: new(), fence_latency: new() }
    }
}

/// Promise made when a purge is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Promise {
    pub within_ms: u64,
    /// Share of the measured latencies that kept the promise; 0 without measurements.
    pub odds: f64,
    /// Number of measurements.
    pub measured: u64,
}

impl LatencyStats {
    /// Records how long an acknowledgement took.
    pub fn record_ack(&mut self, elapsed: Span) {
        self.ack_latency.saturating_record((elapsed.as_micros() / 1_000).max(1));
    }

    /// Records a fence that has reached all members that could use the fenced one.
    pub fn record_fence(&mut self, elapsed: Span) {
        self.fence_latency.saturating_record((elapsed.as_micros() / 1_000).max(1));
    }

    /// Returns the promise with the usual fence timeout.
    pub fn promise(&self) -> Promise {
        self.promise_with_fence_timeout(FENCE_TIMEOUT)
    }

    /// Returns the promise if a member that lacks an item is fenced after at most `fence`.
    pub fn promise_with_fence_timeout(&self, fence: Span) -> Promise {
        let measured = self.ack_latency.len() + self.fence_latency.len();
        if measured < MIN_MEASUREMENTS {
            let within_ms = DEFAULT_PROMISE.max(fence).as_micros() / 1_000;
            return Promise { within_ms, odds: 0.0, measured };
        }
        let ack_latency = self.ack_latency.value_at_quantile(QUANTILE) as f64 * SAFETY_FACTOR;
        // A member that does not acknowledge has to be fenced, and the fence has to reach all others. This
        // may happen for any purge, so it is always included.
        let fence = fence.as_micros() as f64 / 1e3;
        let fence_latency = fence
            + self.fence_latency.value_at_quantile(QUANTILE).max(self.ack_latency.value_at_quantile(QUANTILE))
                as f64;
        let within_ms =
            ack_latency.max(fence_latency).max(MIN_PROMISE.as_micros() as f64 / 1e3).ceil() as u64;
        let kept =
            self.ack_latency.count_between(0, within_ms) + self.fence_latency.count_between(0, within_ms);
        Promise { within_ms, odds: kept as f64 / measured as f64, measured }
    }
}

/// A purge that is not reported yet.
#[derive(Clone, Debug, PartialEq)]
struct PendingPurge {
    submitted_at: Moment,
    promise: Promise,
    fenced: Vec<String>,
}

/// How a purge ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub number: u64,
    pub promised_ms: u64,
    pub reached_ms: u64,
    /// Whether the promise was kept.
    pub kept: bool,
    /// Members that were fenced because they lacked the purge.
    pub fenced: Vec<String>,
}

/// All purges that are not reported yet.
#[derive(Default)]
pub struct PendingPurges {
    pending: BTreeMap<u64, PendingPurge>,
}

impl PendingPurges {
    /// Adds a purge.
    pub fn insert(&mut self, number: u64, promise: Promise, now: Moment) {
        self.pending.insert(number, PendingPurge { submitted_at: now, promise, fenced: Vec::new() });
    }

    /// Adds a fenced member to all pending purges that it lacks.
    pub fn on_member_fenced(&mut self, member: &str, applied: u64) {
        self.pending.range_mut(applied + 1..).for_each(|(_, pending)| pending.fenced.push(member.into()));
    }

    /// Removes and reports the purges up to `upto` that are reached. `is_reached` is called for them in the
    /// order of their numbers.
    pub fn take_reached(
        &mut self,
        upto: u64,
        mut is_reached: impl FnMut(u64) -> bool,
        now: Moment,
    ) -> Vec<Report> {
        let done: Vec<u64> =
            self.pending.range(..=upto).map(|(n, _)| *n).filter(|number| is_reached(*number)).collect();
        let report = |number| {
            let pending = self.pending.remove(&number)?;
            let reached_ms = now.since(pending.submitted_at).as_micros().div_ceil(1_000);
            let promised_ms = pending.promise.within_ms;
            let kept = reached_ms <= promised_ms;
            Some(Report { number, promised_ms, reached_ms, kept, fenced: pending.fenced })
        };
        done.into_iter().filter_map(report).collect()
    }

    /// Returns whether a purge is pending.
    pub fn contains(&self, number: u64) -> bool {
        self.pending.contains_key(&number)
    }

    /// Lowest pending number.
    pub fn first(&self) -> Option<u64> {
        self.pending.keys().next().copied()
    }

    /// All pending numbers.
    pub fn numbers(&self) -> BTreeSet<u64> {
        self.pending.keys().copied().collect()
    }

    /// Number of pending purges.
    pub fn count(&self) -> usize {
        self.pending.len()
    }
}
