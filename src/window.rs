//! What is measured over time: buckets of a fixed width, used again in a ring.
use crate::time::{Moment, Span};

#[derive(Clone, Copy, Default)]
struct Bucket {
    lap: u64,
    count: f64,
    sum: f64,
}

#[derive(Clone, Default)]
pub struct SlidingWindow {
    width: Span,
    buckets: Vec<Bucket>,
}

impl SlidingWindow {
    pub fn new(width: Span, buckets: usize) -> Self {
        SlidingWindow { width, buckets: vec![Bucket::default(); buckets] }
    }

    // Laps count from one, so that a bucket never written to belongs to no time.
    fn lap(&self, now: Moment) -> u64 {
        now.micros() / self.width.as_micros().max(1) + 1
    }

    pub fn add(&mut self, now: Moment, value: f64) {
        self.add_weighted(now, 1.0, value);
    }

    /// Adds to the bucket of `now`, which may be a past one as long as the ring still holds it.
    pub fn add_weighted(&mut self, now: Moment, count: f64, value: f64) {
        let lap = self.lap(now);
        let at = (lap % self.buckets.len() as u64) as usize;
        let bucket = &mut self.buckets[at];
        if bucket.lap < lap {
            *bucket = Bucket { lap, count: 0.0, sum: 0.0 };
        }
        if bucket.lap == lap {
            bucket.count += count;
            bucket.sum += value;
        }
    }

    fn live(&self, now: Moment) -> impl Iterator<Item = &Bucket> {
        let lap = self.lap(now);
        let oldest = lap.saturating_sub(self.buckets.len() as u64 - 1);
        self.buckets.iter().filter(move |b| b.lap >= oldest.max(1) && b.lap <= lap)
    }

    pub fn sum(&self, now: Moment) -> f64 {
        self.live(now).map(|b| b.sum).sum()
    }

    pub fn count(&self, now: Moment) -> f64 {
        self.live(now).map(|b| b.count).sum()
    }

    pub fn mean(&self, now: Moment) -> Option<f64> {
        let count = self.count(now);
        (count > 0.0).then(|| self.sum(now) / count)
    }

    /// The fullest bucket's sum, per second.
    pub fn peak_rate(&self, now: Moment) -> f64 {
        self.live(now).map(|b| b.sum).fold(0.0, f64::max) / self.width.seconds()
    }

    pub fn clear(&mut self) {
        self.buckets.fill(Bucket::default());
    }
}
