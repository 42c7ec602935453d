//! What one process sees of other sites. It asks somebody there at each of its beats, and counts what was answered.
//!
//! Silence is counted in questions without an answer, not in time: a process that was stopped for a minute and wakes up
//! has asked nothing meanwhile, and so has seen no silence.
use harestage::time::{Moment, Span};
use std::collections::BTreeMap;

/// A question that has waited for as long counts as unanswered.
pub const ANSWER_TIMEOUT: Span = Span::millis(300);
/// Beats further apart than this: the process itself did not run, and what it counted before says nothing.
const ASLEEP: Span = Span::millis(700);
/// Of each new time in the usual one.
const PACE_WEIGHT: f64 = 0.05;
/// Answers that come within as much are as good as at once.
const QUICK: Span = Span::millis(2);
/// Questions to one site that are remembered.
const MOST_OPEN: usize = 32;

pub use harestage_shape::control::SiteObservation;

#[derive(Clone, Debug, Default)]
struct Seen {
    /// Questions that wait, by their numbers, with the moment at which they were asked.
    pending: BTreeMap<u64, Moment>,
    unanswered: u32,
    known: bool,
    usual_seconds: Option<f64>,
    recent_seconds: Option<f64>,
    leaving: bool,
}

/// One process's eyes.
#[derive(Clone, Debug, Default)]
pub struct LivenessView {
    sites: BTreeMap<String, Seen>,
    last_tick: Option<Moment>,
    last_query: u64,
}

impl LivenessView {
    /// The sites to be looked at; those that are no longer named are forgotten.
    pub fn set_sites<'a>(&mut self, sites: impl Iterator<Item = &'a str>) {
        let named: Vec<&str> = sites.collect();
        self.sites.retain(|site, _| named.contains(&site.as_str()));
        for site in named {
            if !self.sites.contains_key(site) {
                self.sites.insert(site.into(), Seen::default());
            }
        }
    }

    /// To be called at each beat, before questions go out.
    pub fn tick(&mut self, now: Moment) {
        let asleep = self.last_tick.is_some_and(|last| now.since(last) > ASLEEP);
        self.last_tick = Some(now);
        for seen in self.sites.values_mut() {
            if asleep {
                (seen.unanswered, seen.recent_seconds) = (0, None);
                seen.pending.clear();
                continue;
            }
            let late = seen.pending.extract_if(.., |_, asked| now.since(*asked) >= ANSWER_TIMEOUT).count();
            seen.unanswered = seen.unanswered.saturating_add(late as u32);
        }
    }

    /// A question goes out to somebody at that site; its number comes back with the answer. None: it is not looked at.
    pub fn on_query(&mut self, site: &str, now: Moment) -> Option<u64> {
        let seen = self.sites.get_mut(site)?;
        self.last_query += 1;
        seen.pending.insert(self.last_query, now);
        while seen.pending.len() > MOST_OPEN {
            seen.pending.pop_first();
        }
        Some(self.last_query)
    }

    /// Somebody there has answered, in time or late.
    pub fn on_answer(&mut self, site: &str, number: u64, leaving: bool, now: Moment) {
        let Some(seen) = self.sites.get_mut(site) else { return };
        (seen.known, seen.unanswered, seen.leaving) = (true, 0, leaving);
        let Some(asked) = seen.pending.remove(&number) else { return };
        // What was asked before it is not owed any more: the site is there.
        seen.pending.retain(|_, at| *at > asked);
        let took = now.since(asked).seconds();
        seen.recent_seconds = Some(seen.recent_seconds.map_or(took, |recent| recent + (took - recent) * 0.3));
        let usual = seen.usual_seconds.unwrap_or(took);
        // A site that has become slow must not become usual so soon: it is learnt the slower, the slower it is.
        let weight = PACE_WEIGHT * (usual.max(QUICK.seconds()) / took.max(QUICK.seconds())).min(1.0);
        seen.usual_seconds = Some(usual + (took - usual) * weight);
    }

    /// Nobody there could be reached at all: as good as a question without an answer.
    pub fn on_unreachable(&mut self, site: &str, number: u64) {
        let Some(seen) = self.sites.get_mut(site) else { return };
        if seen.pending.remove(&number).is_some() {
            seen.unanswered = seen.unanswered.saturating_add(1);
        }
    }

    pub fn observations(&self) -> Vec<SiteObservation> {
        let sighting = |(site, seen): (&String, &Seen)| SiteObservation {
            site: site.clone(),
            unanswered: seen.unanswered,
            known: seen.known,
            slowness: seen.slowness(),
            leaving: seen.leaving,
        };
        self.sites.iter().map(sighting).collect()
    }
}

impl Seen {
    fn slowness(&self) -> f64 {
        let pair = self.recent_seconds.zip(self.usual_seconds);
        pair.map_or(1.0, |(recent, usual)| recent.max(QUICK.seconds()) / usual.max(QUICK.seconds()))
    }
}
