//! What is refused first where not all fits, and how much is repeated.
use super::{ConnNo, Desk};
use harestage::time::{Moment, Span};
use harestage_shape::topology::{Node, warm_fraction};
use harestage_shape::wait_cycles::Key;
use harestage_sites::quota::{Admission, Quota, QuotaRequest, QuotaStats, RecentRefusals};
use harestage_sites::retry_budget::RetryBudget;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Of what it can do at its age, what a hub takes in a second; past it, what is worth least is refused.
const TAKES: f64 = 0.9;
/// Repeated attempts that each first one pays for.
const REPEATS: f64 = 0.2;

/// Draws that are the same for the same hub, in the same order.
pub(super) struct Chance {
    of: String,
    drawn: u64,
}

impl Chance {
    pub fn new(of: &str) -> Chance {
        Chance { of: of.into(), drawn: 0 }
    }

    /// Evenly from 0 to 1.
    pub fn draw(&mut self) -> f64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (&self.of, self.drawn).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Counts for a hub that is at a site.
pub(super) struct Rationing {
    ration: Quota,
    budget: RetryBudget,
    /// Pulls that were refused lately, so that their second tries are told apart.
    refusals: RecentRefusals,
}

impl Rationing {
    pub fn new(now: Moment) -> Rationing {
        Rationing {
            ration: Quota::new(now),
            budget: RetryBudget::new(REPEATS, now),
            refusals: RecentRefusals::new(now),
        }
    }

    /// Where more is asked than this hub can do, what is worth least is refused, at once and with the proof that it never
    /// ran; each connection from below, a branch's cache, has a fair part where the line falls. None: it is taken.
    pub fn refuses(&mut self, conn: ConnNo, key: Key, worth: f64, chance: f64, now: Moment) -> Option<Span> {
        // The protocol of the caches has no word for a second try: who was refused and asks again makes one.
        let second_try = self.refusals.contains(&(conn, key), now);
        let want = QuotaRequest { value: worth, units: 1.0, is_retry: second_try, branch: conn as u32 };
        match self.ration.admit(&want, chance, now) {
            Admission::Admitted => None,
            Admission::RetryAfter(after) => {
                self.refusals.record(&(conn, key), now);
                Some(after)
            }
        }
    }

    /// A first attempt pays for a part of a repeated one.
    pub fn first(&mut self, now: Moment) {
        self.budget.on_first_attempt(now);
    }

    pub fn lets_repeat(&mut self, now: Moment) -> bool {
        self.budget.allow_retry(now)
    }
}

impl Desk {
    /// What was refused here lately, and how much of it out of its order.
    pub fn refused(&self) -> QuotaStats {
        self.rationing.ration.stats()
    }

    pub(super) fn ration_beats(&mut self, now: Moment) {
        let room = self.room(now);
        self.rationing.ration.set_capacity(room);
    }

    /// What it can do at its age, by the newest version; none where no version names it.
    fn room(&self, now: Moment) -> Option<f64> {
        let shape = self.versions.newest()?;
        let hub = shape.node(shape.find(&self.name)?).and_then(Node::as_hub)?;
        let age = match hub.since_ms {
            0 => Span::millis(hub.cold_ms),
            since_ms => now.since(Moment::at_micros(since_ms.saturating_mul(1_000))),
        };
        Some(hub.capacity * warm_fraction(hub, age) * TAKES)
    }
}
