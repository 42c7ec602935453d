//! How much a starting hub may fetch. The upper limit is its part of the archive's concurrency limit. But when the whole fleet
//! is cold the archive is cold too, and may have less capacity than before. So a hub starts with a small share of its part.
//! The share grows while answers are about as fast as the fastest so far, and shrinks immediately when they are not. While
//! the share is small, only the content with the highest worth is fetched.
use harestage::time::{Moment, Span};
use harestage::window::SlidingWindow;

/// The share of its part of the concurrency limit that a hub starts with.
pub const INITIAL_SHARE: f64 = 0.1;
/// Growth factor of the share for each second of good answers.
const GROWTH_PER_SECOND: f64 = 1.6;
/// Factor of the share in an interval with slow or failed answers.
const SHRINK_FACTOR: f64 = 0.5;
/// Interval between two changes of the share.
const STEP_INTERVAL: Span = Span::millis(500);
/// Fewest answers in the measuring window that are sufficient to judge the archive.
const MIN_ANSWERS: f64 = 3.0;
/// Answers are slow if their mean duration exceeds the fastest by this factor.
const SLOW_FACTOR: f64 = 4.0;
/// A fastest duration below this many seconds counts as this.
const MIN_FASTEST_SECONDS: f64 = 0.01;
/// From this share on fills of any worth are admitted. Below it the lowest admitted worth falls linearly with the share.
const SHARE_FOR_ANY_WORTH: f64 = 0.6;

/// The capacity that the archive has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArchiveCapacity {
    None,
    Partial,
    Full,
}

/// The share of its part of the concurrency limit that a starting hub may use.
#[derive(Clone)]
pub struct FetchRamp {
    share: f64,
    fastest: Option<f64>,
    durations: SlidingWindow,
    failures: SlidingWindow,
    next_step: Moment,
    archive_capacity: ArchiveCapacity,
    /// Whether a fetch was withheld since the last step.
    has_withheld: bool,
}

impl FetchRamp {
    /// Starts with [`INITIAL_SHARE`].
    pub fn new(now: Moment) -> FetchRamp {
        let window = || SlidingWindow::new(Span::millis(250), 4);
        FetchRamp {
            share: INITIAL_SHARE,
            fastest: None,
            durations: window(),
            failures: window(),
            next_step: now + STEP_INTERVAL,
            archive_capacity: ArchiveCapacity::Partial,
            has_withheld: false,
        }
    }

    /// Sets the usual duration of a fetch before the restart, for comparison.
    pub fn set_usual_fetch_time(&mut self, seconds: f64) {
        if seconds > 0.0 {
            self.fastest = Some(seconds);
        }
    }

    /// A fetch was answered successfully.
    pub fn on_answer(&mut self, seconds: f64, now: Moment) {
        self.durations.add(now, seconds);
        self.fastest = Some(self.fastest.map_or(seconds, |fastest| fastest.min(seconds)));
    }

    /// A fetch was refused or got no answer.
    pub fn on_failure(&mut self, now: Moment) {
        self.failures.add(now, 1.0);
    }

    /// A fetch was withheld because the share did not allow it.
    pub fn on_fetch_withheld(&mut self) {
        self.has_withheld = true;
    }

    /// Share of its part of the concurrency limit that the hub may use now, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// The capacity that the archive has shown so far.
    pub fn archive_capacity(&self) -> ArchiveCapacity {
        self.archive_capacity
    }

    /// Updates the share; to be called several times a second.
    pub fn tick(&mut self, now: Moment) {
        if now < self.next_step {
            return;
        }
        self.next_step = now + STEP_INTERVAL;
        let (answers, failed) = (self.durations.count(now), self.failures.count(now));
        let mean = self.durations.mean(now).unwrap_or(0.0);
        let slow = mean > (self.fastest.unwrap_or(0.0) * SLOW_FACTOR).max(MIN_FASTEST_SECONDS * SLOW_FACTOR);
        if failed > answers * 0.2 && failed >= 1.0 || slow && answers >= MIN_ANSWERS {
            self.share = (self.share * SHRINK_FACTOR).max(INITIAL_SHARE * 0.5);
            self.archive_capacity =
                if failed > answers { ArchiveCapacity::None } else { ArchiveCapacity::Partial };
        } else if std::mem::take(&mut self.has_withheld) && answers < MIN_ANSWERS {
            // More fetches are wanted, but there are too few answers to judge the archive.
        } else {
            // All wanted fetches were answered, or enough of them to show that the archive has capacity for more.
            self.share = (self.share * GROWTH_PER_SECOND.sqrt()).min(1.0);
            self.archive_capacity =
                if self.share >= 1.0 { ArchiveCapacity::Full } else { ArchiveCapacity::Partial };
        }
    }

    /// Whether a fill of this worth is admitted now. `best`: the worth of the best content type.
    pub fn admits(&self, worth: f64, best: f64) -> bool {
        self.share >= SHARE_FOR_ANY_WORTH || worth >= best * (1.0 - self.share / SHARE_FOR_ANY_WORTH)
    }

    /// When a rejected client should retry: spread over the expected time until the share is 1. `chance` is uniformly random
    /// from 0 to 1.
    pub fn retry_after(&self, chance: f64) -> Span {
        let seconds_left = (1.0 / self.share).ln().max(0.0) / GROWTH_PER_SECOND.ln();
        let seconds = 0.4 + seconds_left * chance;
        Span::from_seconds(seconds.min(10.0))
    }
}
