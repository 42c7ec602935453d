//! What is told of this hub.
use super::Desk;
use harestage::time::{Moment, Span};
use harestage::window::SlidingWindow;
use harestage_shape::control::HubReport;

/// How long something takes now, against what it usually takes.
pub(super) struct Pace {
    recent: SlidingWindow,
    usual: Option<f64>,
}

/// Of each new value in the usual one.
const PACE_WEIGHT: f64 = 0.02;
/// Fewer in a second say nothing, nor does what takes less than so many seconds.
const PACE_LEAST: (f64, f64) = (5.0, 0.005);

impl Default for Pace {
    fn default() -> Pace {
        Pace { recent: SlidingWindow::new(Span::millis(250), 4), usual: None }
    }
}

impl Pace {
    pub fn add(&mut self, now: Moment, seconds: f64) {
        self.recent.add(now, seconds);
        let usual = self.usual.unwrap_or(seconds);
        self.usual = Some(usual + (seconds - usual) * PACE_WEIGHT);
    }

    /// 1 is usual.
    fn slowness(&self, now: Moment) -> f64 {
        let recent = self.recent.mean(now).filter(|_| self.recent.count(now) >= PACE_LEAST.0);
        recent.zip(self.usual).map_or(1.0, |(recent, usual)| recent / usual.max(PACE_LEAST.1))
    }
}

pub(super) struct Gauges {
    pub fetches: SlidingWindow,
    pub asked: SlidingWindow,
    pub hits: SlidingWindow,
    /// How long fills took, and fetches at the archive among them.
    pub lasted: Pace,
    pub fetched: Pace,
}

impl Gauges {
    pub fn new() -> Gauges {
        Gauges {
            fetches: SlidingWindow::new(Span::millis(250), 4),
            asked: SlidingWindow::new(Span::millis(250), 4),
            hits: SlidingWindow::new(Span::millis(1_000), 4),
            lasted: Pace::default(),
            fetched: Pace::default(),
        }
    }

    /// Seconds that fills usually took, and fetches.
    pub fn usual(&self) -> (f64, f64) {
        (self.lasted.usual.unwrap_or(0.0), self.fetched.usual.unwrap_or(0.0))
    }
}

impl Desk {
    /// For the control service, some times a second.
    pub fn report(&mut self, now: Moment) -> HubReport {
        let ((wants, part), holds) =
            (self.archive.share.take_demand(now), self.archive.share.granted_rate(now));
        let (slowness, archive_slowness) =
            (self.gauges.lasted.slowness(now), self.gauges.fetched.slowness(now));
        let (fetches, asked) = (self.gauges.fetches.count(now), self.gauges.asked.count(now));
        let loops = self.circles.take_loops();
        let (site, sightings) = (self.sites.name().to_string(), self.sites.sightings());
        HubReport {
            version: self.version(),
            slowness,
            archive_slowness,
            request_rate: asked,
            fetch_rate: fetches,
            wanted_rate: wants,
            share_number: part,
            granted_rate: holds,
            wait_cycles: loops,
            site,
            observations: sightings,
        }
    }

    /// Fills under way, and the share of hits.
    pub fn gauges(&self, now: Moment) -> (usize, f64) {
        (self.fills.count(), self.gauges.hits.mean(now).unwrap_or(0.0))
    }
}
