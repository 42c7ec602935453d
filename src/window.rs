//! Sums and means over a sliding window of time, kept in a ring of buckets of fixed width.
use crate::time::{Moment, Span};

/// The samples of one stretch of time.
#[derive(Clone, Copy, Default)]
struct Bucket {
    /// Number of the stretch of time, counted from one.
    epoch: u64,
    count: f64,
    sum: f64,
}

/// Samples of the last `buckets` stretches of time, each `width` long.
#[derive(Clone, Default)]
pub struct SlidingWindow {
    width: Span,
    buckets: Vec<Bucket>,
}

impl SlidingWindow {
    /// Creates an empty window.
    pub fn new(width: Span, buckets: usize) -> Self {
        SlidingWindow { width, buckets: vec![Bucket::default(); buckets] }
    }

    /// Number of the stretch of time that contains `now`. Counted from one, so that a bucket that was never
    /// written to belongs to no time.
    fn epoch(&self, now: Moment) -> u64 {
        now.micros() / self.width.as_micros().max(1) + 1
    }

    /// Adds one sample.
    pub fn add(&mut self, now: Moment, value: f64) {
        self.add_weighted(now, 1.0, value);
    }

    /// Adds `count` to the number of samples and `value` to their sum, in the bucket of `now`. This may be a
    /// past moment, as long as the window still holds it.
    pub fn add_weighted(&mut self, now: Moment, count: f64, value: f64) {
        let epoch = self.epoch(now);
        let index = (epoch % self.buckets.len() as u64) as usize;
        let bucket = &mut self.buckets[index];
        if bucket.epoch < epoch {
            *bucket = Bucket { epoch, count: 0.0, sum: 0.0 };
        }
        if bucket.epoch == epoch {
            bucket.count += count;
            bucket.sum += value;
        }
    }

    /// The buckets that lie within the window at `now`.
    fn live_buckets(&self, now: Moment) -> impl Iterator<Item = &Bucket> {
        let epoch = self.epoch(now);
        let oldest = epoch.saturating_sub(self.buckets.len() as u64 - 1);
        self.buckets.iter().filter(move |bucket| bucket.epoch >= oldest.max(1) && bucket.epoch <= epoch)
    }

    /// Sum of the samples.
    pub fn sum(&self, now: Moment) -> f64 {
        self.live_buckets(now).map(|bucket| bucket.sum).sum()
    }

    /// Number, or total weight, of the samples.
    pub fn count(&self, now: Moment) -> f64 {
        self.live_buckets(now).map(|bucket| bucket.count).sum()
    }

    /// Mean of the samples, if there are any.
    pub fn mean(&self, now: Moment) -> Option<f64> {
        let count = self.count(now);
        (count > 0.0).then(|| self.sum(now) / count)
    }

    /// Highest sum of a bucket, per second.
    pub fn peak_rate(&self, now: Moment) -> f64 {
        self.live_buckets(now).map(|bucket| bucket.sum).fold(0.0, f64::max) / self.width.seconds()
    }

    /// Drops all samples.
    pub fn clear(&mut self) {
        self.buckets.fill(Bucket::default());
    }
}
