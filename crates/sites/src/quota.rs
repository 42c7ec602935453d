//! Admission by quota: what is refused first when there is more demand than capacity. Downloads are ranked by
//! their benefit per unit of the scarce resource, first attempts before retries. The best are admitted until
//! the capacity is used up. Where the cutoff falls within a rank, each branch gets a fair share of that rank.
//! Requests under way, and filings of copies, are never subject to it.
//!
//! The cutoff is raised at once when demand grows, and lowered only in small steps, so that it does not
//! oscillate. Refused requests are told when to retry, spread over the time in which there will be capacity
//! for them, so that they don't return in a wave.
use harestage::time::{Moment, Span};
use harestage::window::SlidingWindow;
use std::collections::{BTreeMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Ranks by benefit per unit, each for twice the value of the one below it. Retries have as many ranks again,
/// all of them below those of first attempts.
const VALUE_RANKS: usize = 24;
const RANKS: usize = 2 * VALUE_RANKS;
/// The benefit per unit at the top of the lowest rank.
const MIN_VALUE: f64 = 1.0 / 4_096.0;
/// The ranks by which the cutoff may drop in one update: so much less is refused.
const MAX_DROP: f64 = 0.2;
/// After the cutoff was raised, it does not drop for this long.
const DROP_DELAY: Span = Span::millis(500);
/// The interval of the cutoff's updates.
pub const UPDATE_INTERVAL: Span = Span::millis(100);
/// Limit on the branches that are distinguished; all others share one entry.
const MAX_BRANCHES: usize = 1_024;
/// The minimum and the maximum of the time after which refused requests may retry.
const RETRY_RANGE: (Span, Span) = (Span::millis(400), Span::millis(10_000));
/// Beyond the capacity by this factor nothing is admitted, whatever the cutoff is, since that is based on
/// earlier demand.
const OVERSHOOT: f64 = 1.15;
/// A request that comes again within this time after its refusal is a retry.
const RETRY_WINDOW: Span = Span::millis(8_000);
/// Limit on the refusals that are kept in each half of that time.
const MAX_REFUSALS_PER_HALF: usize = 8_192;

/// A download that requests admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRequest {
    /// Benefit per unit of the scarce resource.
    pub value: f64,
    /// Units that it needs.
    pub units: f64,
    pub is_retry: bool,
    pub branch: u32,
}

/// The decision on a download.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    Admitted,
    /// Refused at once. A retry is harmless, but should wait for this long.
    RetryAfter(Span),
}

/// The cutoff: ranks above it are admitted, of its own rank this fraction, and none below it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cutoff {
    pub rank: usize,
    pub fraction: f64,
}

impl Cutoff {
    const ADMIT_ALL: Cutoff = Cutoff { rank: 0, fraction: 1.0 };

    /// The cutoff as one number that grows with what is refused.
    fn height(self) -> f64 {
        self.rank as f64 + 1.0 - self.fraction
    }

    fn from_height(height: f64) -> Cutoff {
        let rank = (height.max(0.0).floor() as usize).min(RANKS - 1);
        Cutoff { rank, fraction: (rank as f64 + 1.0 - height).clamp(0.0, 1.0) }
    }
}

/// Limits the admitted units a second to a capacity.
pub struct Quota {
    /// Units a second; `None` if there is no limit.
    capacity: Option<f64>,
    demand: Vec<SlidingWindow>,
    admitted: SlidingWindow,
    refused: SlidingWindow,
    cutoff: Cutoff,
    cutoff_raised: Moment,
    /// The demand of each branch at the cutoff's rank.
    branch_demand: BTreeMap<u32, SlidingWindow>,
    /// Units a second that a branch may have at the cutoff's rank.
    branch_limit: f64,
    next_update: Moment,
    /// The best rank that was refused for lack of capacity since the last update: nothing below it is
    /// admitted until the next.
    best_refused: Option<usize>,
    stats: QuotaStats,
}

/// Decisions since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaStats {
    pub admitted: u64,
    pub refused: u64,
    pub retries: u64,
    /// Admitted although something of a higher rank had been refused for lack of capacity since the last
    /// update.
    pub out_of_order: u64,
}

/// Recent refusals, in two halves of the retry window: the older half is dropped as a whole. The memory is
/// limited; beyond the limit a retry counts as a first attempt.
#[derive(Clone, Debug)]
pub struct RecentRefusals {
    halves: [HashSet<u64>; 2],
    rotated: Moment,
}

impl RecentRefusals {
    /// A record without refusals.
    pub fn new(now: Moment) -> RecentRefusals {
        RecentRefusals { halves: Default::default(), rotated: now }
    }

    fn rotate(&mut self, now: Moment) {
        let half = Span::micros(RETRY_WINDOW.as_micros() / 2);
        if now.since(self.rotated) >= half {
            let both = now.since(self.rotated) >= RETRY_WINDOW;
            self.halves.swap(0, 1);
            self.halves[0].clear();
            if both {
                self.halves[1].clear();
            }
            self.rotated = now;
        }
    }

    fn key(item: &impl Hash) -> u64 {
        let mut hasher = DefaultHasher::new();
        item.hash(&mut hasher);
        hasher.finish()
    }

    /// Records a refusal.
    pub fn record(&mut self, item: &impl Hash, now: Moment) {
        self.rotate(now);
        if self.halves[0].len() < MAX_REFUSALS_PER_HALF {
            self.halves[0].insert(RecentRefusals::key(item));
        }
    }

    /// Whether the item was refused within the retry window.
    pub fn contains(&mut self, item: &impl Hash, now: Moment) -> bool {
        self.rotate(now);
        let key = RecentRefusals::key(item);
        self.halves.iter().any(|half| half.contains(&key))
    }
}

/// The rank of a download; higher is better.
pub fn rank(request: &QuotaRequest) -> usize {
    let step = (request.value.max(0.0) / MIN_VALUE).max(1.0).log2().floor() as usize;
    step.min(VALUE_RANKS - 1) + if request.is_retry { 0 } else { VALUE_RANKS }
}

impl Quota {
    /// A quota without a limit.
    pub fn new(now: Moment) -> Quota {
        let window = || SlidingWindow::new(Span::millis(250), 4);
        Quota {
            capacity: None,
            demand: (0..RANKS).map(|_| window()).collect(),
            admitted: window(),
            refused: window(),
            cutoff: Cutoff::ADMIT_ALL,
            cutoff_raised: Moment::default(),
            branch_demand: BTreeMap::new(),
            branch_limit: f64::INFINITY,
            next_update: now,
            best_refused: None,
            stats: QuotaStats::default(),
        }
    }

    /// Sets the units a second that are available. `None` removes the limit.
    pub fn set_capacity(&mut self, capacity: Option<f64>) {
        self.capacity = capacity.filter(|capacity| capacity.is_finite() && *capacity >= 0.0);
    }

    /// The current cutoff.
    pub fn cutoff(&self) -> Cutoff {
        self.cutoff
    }

    /// The decisions since the start.
    pub fn stats(&self) -> QuotaStats {
        self.stats
    }

    /// Decides on a download. `chance` is drawn uniformly from 0 to 1.
    pub fn admit(&mut self, request: &QuotaRequest, chance: f64, now: Moment) -> Admission {
        let rank = rank(request);
        self.demand[rank].add(now, request.units);
        if now >= self.next_update {
            self.next_update = now + UPDATE_INTERVAL;
            self.best_refused = None;
            self.update_cutoff(now);
        }
        self.stats.retries += u64::from(request.is_retry);
        if rank == self.cutoff.rank && self.capacity.is_some() {
            self.record_branch(request, now);
        }
        let admitted = match self.capacity {
            None => true,
            Some(capacity) => {
                let exhausted = self.admitted.sum(now) >= capacity * OVERSHOOT;
                if exhausted && rank > self.cutoff.rank {
                    self.best_refused = self.best_refused.max(Some(rank));
                }
                let above_cutoff = self.is_above_cutoff(request, rank, chance, now);
                // What was admitted drops out of the window between two updates. The capacity that this frees
                // is not for lower ranks.
                above_cutoff && !exhausted && self.best_refused.is_none_or(|best| rank >= best)
            }
        };
        if admitted {
            self.stats.admitted += 1;
            self.stats.out_of_order += u64::from(self.best_refused.is_some_and(|best| rank < best));
            self.admitted.add(now, request.units);
            return Admission::Admitted;
        }
        self.stats.refused += 1;
        self.refused.add(now, request.units);
        Admission::RetryAfter(self.retry_after(chance, now))
    }

    fn is_above_cutoff(&self, request: &QuotaRequest, rank: usize, chance: f64, now: Moment) -> bool {
        if rank != self.cutoff.rank {
            return rank > self.cutoff.rank;
        }
        // Max-min fair: a branch that asks for less than the limit gets all of it, and the others get the
        // limit each.
        let branch_units =
            self.branch_demand.get(&self.branch_key(request.branch)).map_or(0.0, |window| window.sum(now));
        let fair_fraction =
            if branch_units > 0.0 { (self.branch_limit / branch_units).min(1.0) } else { 1.0 };
        chance < fair_fraction
    }

    fn branch_key(&self, branch: u32) -> u32 {
        let is_known = self.branch_demand.contains_key(&branch) || self.branch_demand.len() < MAX_BRANCHES;
        if is_known { branch } else { u32::MAX }
    }

    fn record_branch(&mut self, request: &QuotaRequest, now: Moment) {
        let key = self.branch_key(request.branch);
        let window =
            self.branch_demand.entry(key).or_insert_with(|| SlidingWindow::new(Span::millis(250), 4));
        window.add(now, request.units);
    }

    /// Sets the cutoff such that the demand above it uses the capacity.
    fn update_cutoff(&mut self, now: Moment) {
        let Some(capacity) = self.capacity else {
            (self.cutoff, self.branch_limit) = (Cutoff::ADMIT_ALL, f64::INFINITY);
            return self.branch_demand.clear();
        };
        let (mut above_cutoff, mut target) = (0.0, Cutoff::ADMIT_ALL);
        for rank in (0..RANKS).rev() {
            let demand = self.demand[rank].sum(now);
            if demand > 0.0 && above_cutoff + demand > capacity {
                target = Cutoff { rank, fraction: ((capacity - above_cutoff) / demand).clamp(0.0, 1.0) };
                break;
            }
            above_cutoff += demand;
        }
        let previous = self.cutoff;
        if target.height() >= previous.height() {
            self.cutoff_raised = if target.height() > previous.height() { now } else { self.cutoff_raised };
            self.cutoff = target;
        } else if now.since(self.cutoff_raised) >= DROP_DELAY {
            self.cutoff = Cutoff::from_height(
                (previous.height() - self.max_drop(previous, target)).max(target.height()),
            );
        }
        if self.cutoff.rank != previous.rank {
            self.branch_demand.clear();
        }
        self.branch_demand.retain(|_, window| window.sum(now) > 0.0);
        self.branch_limit =
            self.fair_branch_limit(self.demand[self.cutoff.rank].sum(now) * self.cutoff.fraction, now);
    }

    /// Ranks without demand are skipped at once: nothing there could oscillate.
    fn max_drop(&self, from: Cutoff, to: Cutoff) -> f64 {
        let empty_ranks = (to.rank..from.rank)
            .rev()
            .take_while(|rank| self.demand[*rank].peak_rate(self.next_update) <= 0.0);
        MAX_DROP + empty_ranks.count() as f64
    }

    /// The limit for each branch at the cutoff's rank, so that all branches together get `units`.
    fn fair_branch_limit(&self, units: f64, now: Moment) -> f64 {
        let mut demands: Vec<f64> = self.branch_demand.values().map(|window| window.sum(now)).collect();
        demands.sort_by(f64::total_cmp);
        let (mut remaining, mut branches_left) = (units, demands.len());
        for demand in demands {
            if demand * branches_left as f64 >= remaining {
                return remaining / branches_left as f64;
            }
            (remaining, branches_left) = (remaining - demand, branches_left - 1);
        }
        f64::INFINITY
    }

    /// Spread over the time that it takes to serve what was refused within the last second, beside other
    /// requests.
    fn retry_after(&self, chance: f64, now: Moment) -> Span {
        let (refused, admitted) = (self.refused.sum(now), self.admitted.sum(now).max(1.0));
        let spread = RETRY_RANGE.0 * (1.0 + 4.0 * refused / admitted);
        RETRY_RANGE.0 + (spread * chance).min(RETRY_RANGE.1)
    }
}
