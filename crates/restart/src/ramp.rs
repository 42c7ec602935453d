//! How fast a hub that starts may fetch. Its part of the archive's gate is what it may at most; when the whole fleet is cold
//! the archive is cold too, and its capacity is a promise from before. So a start begins with a small share of its part, and
//! the share grows while answers come as quickly as the first ones did, and shrinks at once where they don't. What little
//! may be fetched goes to what is worth most.
use harestage::time::{Moment, Span};
use harestage::window::SlidingWindow;

/// The share of its part that a hub begins with.
pub const INITIAL_SHARE: f64 = 0.1;
/// By which it grows in a second of good answers, and to which it shrinks at a bad one.
const GROWS: f64 = 1.6;
const SHRINKS: f64 = 0.5;
/// A step of either at most so often.
const STEP: Span = Span::millis(500);
/// Answers in a step that prove something.
const LEAST: f64 = 3.0;
/// Times the time of the quickest answers at which they are slow; what takes less than so many seconds is quick.
const SLOW: f64 = 4.0;
const QUICK: f64 = 0.01;
/// Below this share only the better half of contents by worth is filled, and so on up.
const ALL_WORTH: f64 = 0.6;

/// What the archive has proved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArchiveCapacity {
    None,
    Partial,
    Full,
}

#[derive(Clone)]
pub struct FetchRamp {
    share: f64,
    quickest: Option<f64>,
    times: SlidingWindow,
    failures: SlidingWindow,
    next: Moment,
    archive_capacity: ArchiveCapacity,
    /// Something was held back since the last step.
    held_back: bool,
}

impl FetchRamp {
    pub fn new(now: Moment) -> FetchRamp {
        let ring = || SlidingWindow::new(Span::millis(250), 4);
        FetchRamp {
            share: INITIAL_SHARE,
            quickest: None,
            times: ring(),
            failures: ring(),
            next: now + STEP,
            archive_capacity: ArchiveCapacity::Partial,
            held_back: false,
        }
    }

    /// What a fetch usually took before; it is only compared with.
    pub fn set_usual_fetch_time(&mut self, seconds: f64) {
        if seconds > 0.0 {
            self.quickest = Some(seconds);
        }
    }

    /// A fetch was answered well.
    pub fn on_answer(&mut self, seconds: f64, now: Moment) {
        self.times.add(now, seconds);
        self.quickest = Some(self.quickest.map_or(seconds, |quickest| quickest.min(seconds)));
    }

    /// A fetch was refused, or got no answer.
    pub fn on_failure(&mut self, now: Moment) {
        self.failures.add(now, 1.0);
    }

    /// More was wanted than the share lets.
    pub fn on_fetch_withheld(&mut self) {
        self.held_back = true;
    }

    /// Part of its gate that the hub may use now, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    pub fn archive_capacity(&self) -> ArchiveCapacity {
        self.archive_capacity
    }

    /// To be called some times a second.
    pub fn tick(&mut self, now: Moment) {
        if now < self.next {
            return;
        }
        self.next = now + STEP;
        let (answers, failed) = (self.times.count(now), self.failures.count(now));
        let mean = self.times.mean(now).unwrap_or(0.0);
        let slow = mean > (self.quickest.unwrap_or(0.0) * SLOW).max(QUICK * SLOW);
        if failed > answers * 0.2 && failed >= 1.0 || slow && answers >= LEAST {
            self.share = (self.share * SHRINKS).max(INITIAL_SHARE * 0.5);
            self.archive_capacity =
                if failed > answers { ArchiveCapacity::None } else { ArchiveCapacity::Partial };
        } else if std::mem::take(&mut self.held_back) && answers < LEAST {
            // More is wanted, and too little was answered to prove anything.
        } else {
            // All that was wanted was answered, or enough of it to prove that more is borne.
            self.share = (self.share * GROWS.sqrt()).min(1.0);
            self.archive_capacity =
                if self.share >= 1.0 { ArchiveCapacity::Full } else { ArchiveCapacity::Partial };
        }
    }

    /// Whether a fill of this worth is begun now. `best`: the worth of the best content type.
    pub fn admits(&self, worth: f64, best: f64) -> bool {
        self.share >= ALL_WORTH || worth >= best * (1.0 - self.share / ALL_WORTH)
    }

    /// When somebody who is turned away may come again: spread over the time that the rest of the way up is expected to
    /// take. `chance` is drawn evenly from 0 to 1.
    pub fn retry_after(&self, chance: f64) -> Span {
        let steps = (1.0 / self.share).ln().max(0.0) / GROWS.ln();
        let seconds = 0.4 + steps * chance;
        Span::from_seconds(seconds.min(10.0))
    }
}
