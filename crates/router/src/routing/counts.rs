//! How pulls ended since the last report.
use harestage::state::PullOutcome;

/// Numbers of pulls, by their ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PullCounts {
    /// Pulls that the core ordered, the first ones of downloads and retries.
    pub ordered: u64,
    /// Pulls after the first one of their download.
    pub retried: u64,
    pub fulfilled: u64,
    pub missed: u64,
    /// Refused by their node.
    pub full: u64,
    /// Answered with an error, or not readable.
    pub failed: u64,
    pub timed_out: u64,
    /// Lost with their connection after they were sent.
    pub broken: u64,
    pub cancelled: u64,
    /// Not sent, for whatever reason.
    pub not_sent: u64,
}

impl PullCounts {
    /// Counts the end of a pull.
    pub fn count_end(&mut self, outcome: PullOutcome) {
        let count = match outcome {
            PullOutcome::Fulfilled => &mut self.fulfilled,
            PullOutcome::Missed => &mut self.missed,
            PullOutcome::Full => &mut self.full,
            PullOutcome::Error => &mut self.failed,
            PullOutcome::TimedOut => &mut self.timed_out,
            PullOutcome::Broken => &mut self.broken,
            PullOutcome::Cancelled => &mut self.cancelled,
            PullOutcome::NoConnection | PullOutcome::NotSent => &mut self.not_sent,
        };
        *count += 1;
    }
}
