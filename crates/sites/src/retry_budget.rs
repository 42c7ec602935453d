//! How many repeated attempts a process may add to what it is asked for. Each first attempt pays a part of a repeat in, and
//! a repeat is made only where a whole one was paid. Tiers that each repeat three times would make twenty-seven of one;
//! with a budget of a tenth at each, three tiers add a third at most, however much fails.
use harestage::time::{Moment, Span};

/// Repeats that a first attempt pays for.
pub const RETRIES_PER_ATTEMPT: f64 = 0.1;
/// Repeats a second that are always there, so that a quiet process can repeat at all.
const LEAST: f64 = 1.0;
/// What was paid in is forgotten after it: a quiet hour must not pay for a storm.
const KEPT: Span = Span::millis(5_000);

#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    /// Repeats that may be made now.
    tokens: f64,
    refilled_at: Moment,
    /// First attempts a second, lately.
    first_attempt_rate: f64,
    pub refused: u64,
}

impl RetryBudget {
    pub fn new(share: f64, now: Moment) -> RetryBudget {
        RetryBudget { share, tokens: LEAST, refilled_at: now, first_attempt_rate: 0.0, refused: 0 }
    }

    /// What may be saved up: the payments of a few seconds.
    fn max_tokens(&self) -> f64 {
        LEAST + self.first_attempt_rate * self.share * KEPT.seconds()
    }

    fn refill(&mut self, now: Moment) {
        let passed = now.since(self.refilled_at).seconds();
        self.refilled_at = now;
        self.first_attempt_rate *= (-passed / KEPT.seconds()).exp();
        self.tokens = (self.tokens + LEAST * passed).min(self.max_tokens());
    }

    /// A first attempt goes out.
    pub fn on_first_attempt(&mut self, now: Moment) {
        self.refill(now);
        self.first_attempt_rate += 1.0 / KEPT.seconds();
        self.tokens = (self.tokens + self.share).min(self.max_tokens());
    }

    /// Whether another attempt may go out.
    pub fn allow_retry(&mut self, now: Moment) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            self.refused += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
