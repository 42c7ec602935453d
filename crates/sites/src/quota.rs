//! What is refused first where not all fits. Downloads are ordered by their benefit for each unit of what is scarce, first
//! tries before second ones; the best are taken until the room is used up, and where the line falls within one rank, each
//! branch gets a fair part of it. What is under way, and filings, are never asked for here: they pass.
//!
//! The line moves down at once when more is asked for, and up in small steps only, so that it does not flutter. Those who
//! are refused are told when to come again, spread over the time in which there will be room for them, so that they don't
//! come back in a wave.
use harestage::time::{Moment, Span};
use harestage::window::SlidingWindow;
use std::collections::{BTreeMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Ranks by benefit for a unit, each twice the one below it; and as many again for second tries, all below the first.
const STEPS: usize = 24;
const RANKS: usize = 2 * STEPS;
/// Benefit for a unit at the lowest rank's top.
const LEAST_WORTH: f64 = 1.0 / 4_096.0;
/// Ranks by which the line rises at most in one beat: that much less is refused.
const RISE: f64 = 0.2;
/// After the line fell, it does not rise for as long.
const RESTS: Span = Span::millis(500);
/// The beat at which the line is laid.
pub const UPDATE_INTERVAL: Span = Span::millis(100);
/// Branches that are told apart at most; others share one part.
const MOST_BRANCHES: usize = 1_024;
/// Until those who are refused come again, at least and at most.
const AGAIN: (Span, Span) = (Span::millis(400), Span::millis(10_000));
/// Past the room by so much nothing is taken, whatever the line says: it is laid by what was asked for before.
const OVERDRAFT: f64 = 1.15;
/// Whoever was refused and asks again within as long makes a second try.
const SECOND_WITHIN: Span = Span::millis(8_000);
/// Refusals that are remembered in each half of that time.
const MOST_REFUSALS: usize = 8_192;

/// A download that would like to be taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRequest {
    /// Benefit for each unit of what is scarce.
    pub value: f64,
    /// Units that it takes.
    pub units: f64,
    pub is_retry: bool,
    pub branch: u32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    Admitted,
    /// Refused at once; harmless to repeat, and better not before this has passed.
    RetryAfter(Span),
}

/// The line: everything above it is taken, `part` of its own rank, nothing below.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cutoff {
    pub rank: usize,
    pub fraction: f64,
}

impl Cutoff {
    const ADMIT_ALL: Cutoff = Cutoff { rank: 0, fraction: 1.0 };

    /// As one number that grows with what is refused.
    fn height(self) -> f64 {
        self.rank as f64 + 1.0 - self.fraction
    }

    fn from_height(height: f64) -> Cutoff {
        let rank = (height.max(0.0).floor() as usize).min(RANKS - 1);
        Cutoff { rank, fraction: (rank as f64 + 1.0 - height).clamp(0.0, 1.0) }
    }
}

pub struct Quota {
    /// Units a second; none: there is room for all.
    capacity: Option<f64>,
    asked: Vec<SlidingWindow>,
    admitted: SlidingWindow,
    refused: SlidingWindow,
    cutoff: Cutoff,
    cutoff_raised: Moment,
    /// What each branch asked for at the line's rank.
    branch_demand: BTreeMap<u32, SlidingWindow>,
    /// Units a second that a branch may have at the line's rank.
    branch_limit: f64,
    next_update: Moment,
    /// The best rank that was refused for want of room in this beat: nothing below it is taken any more.
    best_refused: Option<usize>,
    stats: QuotaStats,
}

/// What was decided since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaStats {
    pub admitted: u64,
    pub refused: u64,
    pub retries: u64,
    /// Taken though something of more worth had been refused for want of room within the same beat.
    pub out_of_order: u64,
}

/// What was refused lately, in two halves of a time: the older half is forgotten at once. Bounded; past the bound a second
/// try passes for a first one.
#[derive(Clone, Debug)]
pub struct RecentRefusals {
    halves: [HashSet<u64>; 2],
    rotated: Moment,
}

impl RecentRefusals {
    pub fn new(now: Moment) -> RecentRefusals {
        RecentRefusals { halves: Default::default(), rotated: now }
    }

    fn rotate(&mut self, now: Moment) {
        let half = Span::micros(SECOND_WITHIN.as_micros() / 2);
        if now.since(self.rotated) >= half {
            let both = now.since(self.rotated) >= SECOND_WITHIN;
            self.halves.swap(0, 1);
            self.halves[0].clear();
            if both {
                self.halves[1].clear();
            }
            self.rotated = now;
        }
    }

    fn key(of: &impl Hash) -> u64 {
        let mut hasher = DefaultHasher::new();
        of.hash(&mut hasher);
        hasher.finish()
    }

    pub fn record(&mut self, of: &impl Hash, now: Moment) {
        self.rotate(now);
        if self.halves[0].len() < MOST_REFUSALS {
            self.halves[0].insert(RecentRefusals::key(of));
        }
    }

    pub fn contains(&mut self, of: &impl Hash, now: Moment) -> bool {
        self.rotate(now);
        let key = RecentRefusals::key(of);
        self.halves.iter().any(|half| half.contains(&key))
    }
}

/// The rank of a download, higher is better.
pub fn rank(want: &QuotaRequest) -> usize {
    let step = (want.value.max(0.0) / LEAST_WORTH).max(1.0).log2().floor() as usize;
    step.min(STEPS - 1) + if want.is_retry { 0 } else { STEPS }
}

impl Quota {
    pub fn new(now: Moment) -> Quota {
        let ring = || SlidingWindow::new(Span::millis(250), 4);
        Quota {
            capacity: None,
            asked: (0..RANKS).map(|_| ring()).collect(),
            admitted: ring(),
            refused: ring(),
            cutoff: Cutoff::ADMIT_ALL,
            cutoff_raised: Moment::default(),
            branch_demand: BTreeMap::new(),
            branch_limit: f64::INFINITY,
            next_update: now,
            best_refused: None,
            stats: QuotaStats::default(),
        }
    }

    /// How many units a second there are; none lifts the line for good.
    pub fn set_capacity(&mut self, room: Option<f64>) {
        self.capacity = room.filter(|room| room.is_finite() && *room >= 0.0);
    }

    pub fn cutoff(&self) -> Cutoff {
        self.cutoff
    }

    pub fn stats(&self) -> QuotaStats {
        self.stats
    }

    /// Decides on a download. `chance` is drawn evenly from 0 to 1.
    pub fn admit(&mut self, want: &QuotaRequest, chance: f64, now: Moment) -> Admission {
        let rank = rank(want);
        self.asked[rank].add(now, want.units);
        if now >= self.next_update {
            self.next_update = now + UPDATE_INTERVAL;
            self.best_refused = None;
            self.update_cutoff(now);
        }
        self.stats.retries += u64::from(want.is_retry);
        if rank == self.cutoff.rank && self.capacity.is_some() {
            self.record_branch(want, now);
        }
        let takes = match self.capacity {
            None => true,
            Some(room) => {
                let full = self.admitted.sum(now) >= room * OVERDRAFT;
                if full && rank > self.cutoff.rank {
                    self.best_refused = self.best_refused.max(Some(rank));
                }
                let above = self.is_admitted(want, rank, chance, now);
                // What was taken drops out of the window between two beats: that room is not for lesser ones.
                above && !full && self.best_refused.is_none_or(|best| rank >= best)
            }
        };
        if takes {
            self.stats.admitted += 1;
            self.stats.out_of_order += u64::from(self.best_refused.is_some_and(|best| rank < best));
            self.admitted.add(now, want.units);
            return Admission::Admitted;
        }
        self.stats.refused += 1;
        self.refused.add(now, want.units);
        Admission::RetryAfter(self.retry_after(chance, now))
    }

    fn is_admitted(&self, want: &QuotaRequest, rank: usize, chance: f64, now: Moment) -> bool {
        if rank != self.cutoff.rank {
            return rank > self.cutoff.rank;
        }
        // Max-min fair: who asks for less than the level gets it all, the others get the level each.
        let own = self.branch_demand.get(&self.branch_key(want.branch)).map_or(0.0, |ring| ring.sum(now));
        let fair = if own > 0.0 { (self.branch_limit / own).min(1.0) } else { 1.0 };
        chance < fair
    }

    fn branch_key(&self, branch: u32) -> u32 {
        let known = self.branch_demand.contains_key(&branch) || self.branch_demand.len() < MOST_BRANCHES;
        if known { branch } else { u32::MAX }
    }

    fn record_branch(&mut self, want: &QuotaRequest, now: Moment) {
        let key = self.branch_key(want.branch);
        let ring = self.branch_demand.entry(key).or_insert_with(|| SlidingWindow::new(Span::millis(250), 4));
        ring.add(now, want.units);
    }

    /// Lays the line where what is above it fills the room.
    fn update_cutoff(&mut self, now: Moment) {
        let Some(room) = self.capacity else {
            (self.cutoff, self.branch_limit) = (Cutoff::ADMIT_ALL, f64::INFINITY);
            return self.branch_demand.clear();
        };
        let (mut above, mut wanted) = (0.0, Cutoff::ADMIT_ALL);
        for rank in (0..RANKS).rev() {
            let asked = self.asked[rank].sum(now);
            if asked > 0.0 && above + asked > room {
                wanted = Cutoff { rank, fraction: ((room - above) / asked).clamp(0.0, 1.0) };
                break;
            }
            above += asked;
        }
        let before = self.cutoff;
        if wanted.height() >= before.height() {
            self.cutoff_raised = if wanted.height() > before.height() { now } else { self.cutoff_raised };
            self.cutoff = wanted;
        } else if now.since(self.cutoff_raised) >= RESTS {
            self.cutoff =
                Cutoff::from_height((before.height() - self.max_drop(before, wanted)).max(wanted.height()));
        }
        if self.cutoff.rank != before.rank {
            self.branch_demand.clear();
        }
        self.branch_demand.retain(|_, ring| ring.sum(now) > 0.0);
        self.branch_limit =
            self.fair_level(self.asked[self.cutoff.rank].sum(now) * self.cutoff.fraction, now);
    }

    /// Ranks that nobody asks at are passed over at once: there is nothing there that could flutter.
    fn max_drop(&self, from: Cutoff, to: Cutoff) -> f64 {
        let empty = (to.rank..from.rank)
            .rev()
            .take_while(|rank| self.asked[*rank].peak_rate(self.next_update) <= 0.0);
        RISE + empty.count() as f64
    }

    /// The level up to which everyone at the line's rank is served, so that all together get `units`.
    fn fair_level(&self, units: f64, now: Moment) -> f64 {
        let mut asks: Vec<f64> = self.branch_demand.values().map(|ring| ring.sum(now)).collect();
        asks.sort_by(f64::total_cmp);
        let (mut left, mut heads) = (units, asks.len());
        for ask in asks {
            if ask * heads as f64 >= left {
                return left / heads as f64;
            }
            (left, heads) = (left - ask, heads - 1);
        }
        f64::INFINITY
    }

    /// Spread over the time in which those who were refused within the last second can be served beside the others.
    fn retry_after(&self, chance: f64, now: Moment) -> Span {
        let (refused, taken) = (self.refused.sum(now), self.admitted.sum(now).max(1.0));
        let over = AGAIN.0 * (1.0 + 4.0 * refused / taken);
        AGAIN.0 + (over * chance).min(AGAIN.1)
    }
}
