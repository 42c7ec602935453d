//! What one process observes of other sites. It queries a process there at each of its ticks, and counts the
//! queries that are not answered.
//!
//! Silence is measured in unanswered queries rather than in time: a process that was suspended for a minute
//! has sent no queries in between, so it has observed no silence.
use harestage::time::{Moment, Span};
use std::collections::BTreeMap;

/// A query without an answer for this long counts as unanswered.
pub const ANSWER_TIMEOUT: Span = Span::millis(300);
/// If two ticks are further apart than this, the process itself did not run, and its earlier counts are void.
const SUSPENSION_THRESHOLD: Span = Span::millis(700);
/// The weight of each new answer time in the usual one.
const USUAL_WEIGHT: f64 = 0.05;
/// Answer times up to this are not distinguished.
const FAST_ANSWER: Span = Span::millis(2);
/// Limit on the pending queries to one site.
const MAX_PENDING: usize = 32;

pub use harestage_shape::control::SiteObservation;

/// What is known of one site.
#[derive(Clone, Debug, Default)]
struct SiteLiveness {
    /// Pending queries by their numbers, with the time when they were sent.
    pending: BTreeMap<u64, Moment>,
    unanswered: u32,
    known: bool,
    usual_seconds: Option<f64>,
    recent_seconds: Option<f64>,
    leaving: bool,
}

/// The liveness of all other sites as one process observes it.
#[derive(Clone, Debug, Default)]
pub struct LivenessView {
    sites: BTreeMap<String, SiteLiveness>,
    last_tick: Option<Moment>,
    last_query: u64,
}

impl LivenessView {
    /// Sets the sites to be queried; others are dropped.
    pub fn set_sites<'a>(&mut self, sites: impl Iterator<Item = &'a str>) {
        let names: Vec<&str> = sites.collect();
        self.sites.retain(|site, _| names.contains(&site.as_str()));
        for site in names {
            if !self.sites.contains_key(site) {
                self.sites.insert(site.into(), SiteLiveness::default());
            }
        }
    }

    /// Has to be called at each tick, before queries are sent.
    pub fn tick(&mut self, now: Moment) {
        let suspended = self.last_tick.is_some_and(|last| now.since(last) > SUSPENSION_THRESHOLD);
        self.last_tick = Some(now);
        for state in self.sites.values_mut() {
            if suspended {
                (state.unanswered, state.recent_seconds) = (0, None);
                state.pending.clear();
                continue;
            }
            let expired =
                state.pending.extract_if(.., |_, sent_at| now.since(*sent_at) >= ANSWER_TIMEOUT).count();
            state.unanswered = state.unanswered.saturating_add(expired as u32);
        }
    }

    /// Registers a query to a process at that site and returns its number, which the answer has to repeat.
    /// `None` if the site is not one to be queried.
    pub fn on_query(&mut self, site: &str, now: Moment) -> Option<u64> {
        let state = self.sites.get_mut(site)?;
        self.last_query += 1;
        state.pending.insert(self.last_query, now);
        while state.pending.len() > MAX_PENDING {
            state.pending.pop_first();
        }
        Some(self.last_query)
    }

    /// Handles an answer from the site, in time or late.
    pub fn on_answer(&mut self, site: &str, number: u64, leaving: bool, now: Moment) {
        let Some(state) = self.sites.get_mut(site) else { return };
        (state.known, state.unanswered, state.leaving) = (true, 0, leaving);
        let Some(sent_at) = state.pending.remove(&number) else { return };
        // Earlier queries need no answer any more: the site is there.
        state.pending.retain(|_, other_sent_at| *other_sent_at > sent_at);
        let answer_seconds = now.since(sent_at).seconds();
        state.recent_seconds = Some(
            state.recent_seconds.map_or(answer_seconds, |recent| recent + (answer_seconds - recent) * 0.3),
        );
        let usual = state.usual_seconds.unwrap_or(answer_seconds);
        // A site that has become slow must not count as usual soon, so the weight decreases with the
        // slowness.
        let weight = USUAL_WEIGHT
            * (usual.max(FAST_ANSWER.seconds()) / answer_seconds.max(FAST_ANSWER.seconds())).min(1.0);
        state.usual_seconds = Some(usual + (answer_seconds - usual) * weight);
    }

    /// No process there could be reached at all, which counts like an unanswered query.
    pub fn on_unreachable(&mut self, site: &str, number: u64) {
        let Some(state) = self.sites.get_mut(site) else { return };
        if state.pending.remove(&number).is_some() {
            state.unanswered = state.unanswered.saturating_add(1);
        }
    }

    /// The observations of all sites, for a report.
    pub fn observations(&self) -> Vec<SiteObservation> {
        let observation = |(site, state): (&String, &SiteLiveness)| SiteObservation {
            site: site.clone(),
            unanswered: state.unanswered,
            known: state.known,
            slowness: state.slowness(),
            leaving: state.leaving,
        };
        self.sites.iter().map(observation).collect()
    }
}

impl SiteLiveness {
    fn slowness(&self) -> f64 {
        let times = self.recent_seconds.zip(self.usual_seconds);
        times.map_or(1.0, |(recent, usual)| {
            recent.max(FAST_ANSWER.seconds()) / usual.max(FAST_ANSWER.seconds())
        })
    }
}
