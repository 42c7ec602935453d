//! A limit on the retries that a process may add to its first attempts. Each first attempt adds a fraction of
//! a token, and each retry takes a whole one. Tiers that retry three times each would turn one request into
//! twenty-seven. With a budget of a tenth at each, three tiers add a third at most, however much fails.
use harestage::time::{Moment, Span};

/// Retries that one first attempt pays for.
pub const RETRIES_PER_ATTEMPT: f64 = 0.1;
/// Retries a second that are always available, so that a process with little traffic can retry at all.
const MIN_RATE: f64 = 1.0;
/// Tokens are kept no longer than this: a quiet hour must not pay for a storm of retries.
const RETENTION: Span = Span::millis(5_000);

/// A token bucket for retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    /// Retries that are available now.
    tokens: f64,
    refilled_at: Moment,
    /// Recent first attempts a second.
    first_attempt_rate: f64,
    /// Retries that were refused since the start.
    pub refused: u64,
}

impl RetryBudget {
    /// A budget in which each first attempt pays for `share` of a retry.
    pub fn new(share: f64, now: Moment) -> RetryBudget {
        RetryBudget { share, tokens: MIN_RATE, refilled_at: now, first_attempt_rate: 0.0, refused: 0 }
    }

    /// The most that can be saved up: what a few seconds pay in.
    fn max_tokens(&self) -> f64 {
        MIN_RATE + self.first_attempt_rate * self.share * RETENTION.seconds()
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.since(self.refilled_at).seconds();
        self.refilled_at = now;
        self.first_attempt_rate *= (-elapsed / RETENTION.seconds()).exp();
        self.tokens = (self.tokens + MIN_RATE * elapsed).min(self.max_tokens());
    }

    /// Records a first attempt.
    pub fn on_first_attempt(&mut self, now: Moment) {
        self.refill(now);
        self.first_attempt_rate += 1.0 / RETENTION.seconds();
        self.tokens = (self.tokens + self.share).min(self.max_tokens());
    }

    /// Whether a retry may be sent. If so, takes a token.
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
