//! Which delay is promised for a purge, and what became of the promise. It comes from what has been measured: how long
//! members took to confirm, and how long a fence takes to hold for one that does not.
use crate::members::FENCE_TIMEOUT;
use harestage::time::{Moment, Span};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Nothing shorter is promised, whatever was measured: a promise is for days that are worse, too.
const LEAST: Span = Span::millis(300);
/// What is promised before enough has been measured.
const UNMEASURED: Span = Span::millis(1_000);
const ENOUGH: u64 = 50;
/// Of what was measured, this part was quicker; twice its time is promised.
const PART: f64 = 0.999;
const TIMES: f64 = 2.0;
/// Longest that is measured, in milliseconds.
const LONGEST: u64 = 3_600_000;

/// The measured delays of members that did confirm, and of fences.
pub struct LatencyStats {
    confirms: Histogram<u64>,
    fences: Histogram<u64>,
}

impl Default for LatencyStats {
    fn default() -> Self {
        let new = || Histogram::new_with_bounds(1, LONGEST, 3).expect("the bounds are apart");
        LatencyStats { confirms: new(), fences: new() }
    }
}

/// What is told when a purge is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Promise {
    pub within_ms: u64,
    /// Part of what was measured that kept it; 0 where nothing was.
    pub odds: f64,
    pub measured: u64,
}

impl LatencyStats {
    pub fn record_ack(&mut self, took: Span) {
        self.confirms.saturating_record((took.as_micros() / 1_000).max(1));
    }

    /// Everyone who takes copies from a fenced member has heard of the fence.
    pub fn record_fence(&mut self, took: Span) {
        self.fences.saturating_record((took.as_micros() / 1_000).max(1));
    }

    pub fn promise(&self) -> Promise {
        self.promise_with_fence_timeout(FENCE_TIMEOUT)
    }

    /// `fence`: how long after an item whoever lacks it is fenced at the latest.
    pub fn promise_with_fence_timeout(&self, fence: Span) -> Promise {
        let measured = self.confirms.len() + self.fences.len();
        if measured < ENOUGH {
            let within_ms = UNMEASURED.max(fence).as_micros() / 1_000;
            return Promise { within_ms, odds: 0.0, measured };
        }
        let confirms = self.confirms.value_at_quantile(PART) as f64 * TIMES;
        // One that does not confirm is fenced, and that has to reach everyone: it may always happen.
        let fence = fence.as_micros() as f64 / 1e3;
        let fences =
            fence + self.fences.value_at_quantile(PART).max(self.confirms.value_at_quantile(PART)) as f64;
        let within_ms = confirms.max(fences).max(LEAST.as_micros() as f64 / 1e3).ceil() as u64;
        let kept = self.confirms.count_between(0, within_ms) + self.fences.count_between(0, within_ms);
        Promise { within_ms, odds: kept as f64 / measured as f64, measured }
    }
}

/// One purge under way.
#[derive(Clone, Debug, PartialEq)]
struct Open {
    begun: Moment,
    promise: Promise,
    fenced: Vec<String>,
}

/// How a purge ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub number: u64,
    pub promised_ms: u64,
    pub reached_ms: u64,
    pub kept: bool,
    /// Who was fenced for it.
    pub fenced: Vec<String>,
}

/// All purges that have not been reported yet.
#[derive(Default)]
pub struct PendingPurges {
    open: BTreeMap<u64, Open>,
}

impl PendingPurges {
    pub fn insert(&mut self, number: u64, promise: Promise, now: Moment) {
        self.open.insert(number, Open { begun: now, promise, fenced: Vec::new() });
    }

    /// A member was fenced: for every purge that it lacks.
    pub fn on_member_fenced(&mut self, member: &str, has: u64) {
        self.open.range_mut(has + 1..).for_each(|(_, open)| open.fenced.push(member.into()));
    }

    /// Those up to a number that everyone has by now, or is fenced for, as `is_reached` says, which is asked in their order.
    pub fn take_reached(
        &mut self,
        upto: u64,
        mut is_reached: impl FnMut(u64) -> bool,
        now: Moment,
    ) -> Vec<Report> {
        let done: Vec<u64> =
            self.open.range(..=upto).map(|(n, _)| *n).filter(|number| is_reached(*number)).collect();
        let report = |number| {
            let open = self.open.remove(&number)?;
            let reached_ms = now.since(open.begun).as_micros().div_ceil(1_000);
            let promised_ms = open.promise.within_ms;
            let kept = reached_ms <= promised_ms;
            Some(Report { number, promised_ms, reached_ms, kept, fenced: open.fenced })
        };
        done.into_iter().filter_map(report).collect()
    }

    pub fn contains(&self, number: u64) -> bool {
        self.open.contains_key(&number)
    }

    /// The first that is open, if there is one.
    pub fn first(&self) -> Option<u64> {
        self.open.keys().next().copied()
    }

    pub fn numbers(&self) -> BTreeSet<u64> {
        self.open.keys().copied().collect()
    }

    pub fn count(&self) -> usize {
        self.open.len()
    }
}
