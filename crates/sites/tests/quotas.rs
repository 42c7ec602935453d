//! Quotas, retry budgets and the states of sites, with random and fixed inputs.
use harestage::time::{Moment, Span};
use harestage_sites::failure_detector::{SiteView, ViewChange};
use harestage_sites::quota::{Admission, Quota, QuotaRequest, rank};
use harestage_sites::retry_budget::{RETRIES_PER_ATTEMPT, RetryBudget};
use harestage_sites::site_state::{CommandError, ShapeStep, SiteCommand, SiteState, SiteStates, StateChange};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

fn at(ms: u64) -> Moment {
    Moment::at_micros(1_000_000_000 + ms * 1_000)
}

/// Branches with requests of two kinds, the valuable one worth eight times as much as the cheap one.
struct Load {
    quota: Quota,
    rng: StdRng,
    ms: u64,
    admitted: BTreeMap<(u32, bool), f64>,
    requested: BTreeMap<(u32, bool), f64>,
    retry_delays: Vec<Span>,
    cutoffs: Vec<f64>,
}

impl Load {
    fn new(capacity: f64, seed: u64) -> Load {
        let mut quota = Quota::new(at(0));
        quota.set_capacity(Some(capacity));
        let (rng, ms) = (StdRng::seed_from_u64(seed), 0);
        Load {
            quota,
            rng,
            ms,
            admitted: BTreeMap::new(),
            requested: BTreeMap::new(),
            retry_delays: Vec::new(),
            cutoffs: Vec::new(),
        }
    }

    /// `rates`: requests a second by each branch, of the valuable and of the cheap kind.
    fn run(&mut self, ms: u64, rates: &[(f64, f64)]) {
        (self.admitted, self.requested) = Default::default();
        for _ in 0..ms {
            self.ms += 1;
            for (branch, (valuable, cheap)) in rates.iter().enumerate() {
                for (is_valuable, rate) in [(true, *valuable), (false, *cheap)] {
                    if self.rng.random::<f64>() < rate / 1e3 {
                        self.request(branch as u32, is_valuable);
                    }
                }
            }
            if self.ms.is_multiple_of(100) {
                let cutoff = self.quota.cutoff();
                self.cutoffs.push(cutoff.rank as f64 + 1.0 - cutoff.fraction);
            }
        }
    }

    fn request(&mut self, branch: u32, valuable: bool) {
        let value = if valuable { 8.0 } else { 1.0 };
        let request = QuotaRequest { value, units: 1.0, is_retry: false, branch };
        *self.requested.entry((branch, valuable)).or_default() += 1.0;
        match self.quota.admit(&request, self.rng.random(), at(self.ms)) {
            Admission::Admitted => *self.admitted.entry((branch, valuable)).or_default() += 1.0,
            Admission::RetryAfter(span) => self.retry_delays.push(span),
        }
    }

    fn share(&self, branch: u32, valuable: bool) -> f64 {
        let of = |map: &BTreeMap<(u32, bool), f64>| map.get(&(branch, valuable)).copied().unwrap_or(0.0);
        of(&self.admitted) / of(&self.requested).max(1.0)
    }

    fn all_admitted(&self) -> f64 {
        self.admitted.values().sum()
    }
}

#[test]
fn valuable_requests_are_all_admitted_before_cheap_ones_and_the_capacity_is_used() {
    let mut load = Load::new(200.0, 1);
    let rates = [(60.0, 100.0), (60.0, 100.0)];
    load.run(3_000, &rates);
    load.run(5_000, &rates);
    assert!(load.share(0, true) > 0.99 && load.share(1, true) > 0.99);
    let cheap = load.share(0, false);
    assert!((0.25..0.55).contains(&cheap), "80 of 200 a second fit: {cheap}");
    let a_second = load.all_admitted() / 5.0;
    assert!((180.0..=230.0).contains(&a_second), "{a_second} of 200");
}

#[test]
fn at_the_cutoff_each_branch_gets_a_fair_share() {
    let mut load = Load::new(100.0, 2);
    let rates = [(0.0, 20.0), (0.0, 300.0), (0.0, 300.0)];
    load.run(3_000, &rates);
    load.run(6_000, &rates);
    assert!(
        load.share(0, false) > 0.8,
        "a branch that requests less than its share gets it: {}",
        load.share(0, false)
    );
    let (one, two) = (load.share(1, false), load.share(2, false));
    assert!((one - two).abs() < 0.06 && one < 0.25, "{one} and {two}");
}

#[test]
fn the_cutoff_does_not_oscillate_and_drops_when_there_is_capacity() {
    let mut load = Load::new(150.0, 3);
    let rates = [(50.0, 120.0), (50.0, 120.0)];
    load.run(4_000, &rates);
    load.cutoffs.clear();
    load.run(8_000, &rates);
    let reversals = load.cutoffs.windows(3).filter(|w| (w[1] - w[0]) * (w[2] - w[1]) < 0.0).count();
    let span = load.cutoffs.iter().fold(0.0, |m: f64, l| m.max(*l))
        - load.cutoffs.iter().fold(99.0, |m: f64, l| m.min(*l));
    assert!(span < 0.6, "the cutoff moves by {span} ranks, and reverses {reversals} times");
    load.run(4_000, &[(20.0, 20.0), (20.0, 20.0)]);
    load.run(2_000, &[(20.0, 20.0), (20.0, 20.0)]);
    assert!(load.share(0, false) > 0.99, "with capacity for all, all are admitted");
    load.quota.set_capacity(None);
    load.run(500, &[(500.0, 500.0)]);
    assert_eq!(load.share(0, false), 1.0);
}

#[test]
fn retries_of_refused_requests_are_spread_over_time() {
    let mut load = Load::new(50.0, 4);
    load.run(4_000, &[(0.0, 400.0)]);
    load.retry_delays.clear();
    load.run(2_000, &[(0.0, 400.0)]);
    let mut by_half_second = BTreeMap::new();
    load.retry_delays.iter().for_each(|s| *by_half_second.entry(s.as_micros() / 500_000).or_insert(0) += 1);
    let largest = by_half_second.values().max().copied().unwrap_or(0);
    assert!(
        largest * 4 < load.retry_delays.len(),
        "{largest} of {} come in one half second",
        load.retry_delays.len()
    );
    assert!(load.retry_delays.iter().all(|s| *s >= Span::millis(400) && *s <= Span::millis(10_400)));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]
    /// Nothing below the cutoff is admitted, whatever else is requested.
    #[test]
    fn nothing_below_the_cutoff_is_admitted(seed in 0u64..1_000, capacity in 20.0f64..400.0) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut quota = Quota::new(at(0));
        quota.set_capacity(Some(capacity));
        for step in 0..4_000u64 {
            let request = QuotaRequest {
                value: 2f64.powi(rng.random_range(-6..6)),
                units: 1.0,
                is_retry: rng.random::<f64>() < 0.2,
                branch: rng.random_range(0..4),
            };
            let now = at(step * 2);
            let admission = quota.admit(&request, rng.random(), now);
            let cutoff = quota.cutoff();
            if admission == Admission::Admitted {
                prop_assert!(rank(&request) >= cutoff.rank, "admitted below the cutoff");
            }
        }
    }

    /// A tier with a budget adds a bounded fraction to its requests, however much fails.
    #[test]
    fn a_budget_bounds_the_added_retries(first_attempts in 200u32..2_000, every_ms in 1u64..20) {
        let mut budget = RetryBudget::new(RETRIES_PER_ATTEMPT, at(0));
        let mut retries = 0.0;
        for n in 0..first_attempts {
            let now = at(u64::from(n) * every_ms);
            budget.on_first_attempt(now);
            // Everything fails, and each failure would be retried three times.
            retries += (0..3).filter(|_| budget.allow_retry(now)).count() as f64;
        }
        let seconds = f64::from(first_attempts) * every_ms as f64 / 1e3;
        prop_assert!(retries <= f64::from(first_attempts) * RETRIES_PER_ATTEMPT + seconds + 3.0, "{retries} of {first_attempts}");
    }
}

#[test]
fn a_quiet_hour_does_not_pay_for_a_storm_of_retries() {
    let mut budget = RetryBudget::new(RETRIES_PER_ATTEMPT, at(0));
    (0..1_000).for_each(|n| budget.on_first_attempt(at(n)));
    let storm = at(3_600_000);
    let allowed = (0..1_000).filter(|_| budget.allow_retry(storm)).count();
    assert!(allowed <= 2, "{allowed}");
}

fn view_change(site: &str, to: SiteView) -> ViewChange {
    ViewChange { site: site.into(), from: SiteView::Up, to, seen_for: Span::millis(300) }
}

fn apply(states: &mut SiteStates, change: &StateChange, ms: u64) {
    states.apply(change, at(ms));
}

fn three() -> SiteStates {
    let mut states = SiteStates::default();
    states.set_sites(["east", "north", "west"].into_iter());
    states
}

fn out(sites: &[&str]) -> BTreeSet<String> {
    sites.iter().map(|s| s.to_string()).collect()
}

#[test]
fn a_site_is_excluded_at_once_and_returns_in_steps() {
    let mut states = three();
    let (lost, step) = states.on_view_change(&view_change("west", SiteView::Lost)).unwrap();
    assert_eq!((&lost.to, step), (&SiteState::Lost, Some(ShapeStep::Exclude(out(&["west"])))));
    apply(&mut states, &lost, 0);
    assert!(states.on_view_change(&view_change("west", SiteView::Lost)).is_none());
    assert!(states.next_readmission(false, |_| false, at(100)).is_none(), "no witness hears it");
    let (held, step) = states.on_view_change(&view_change("west", SiteView::Up)).unwrap();
    assert_eq!((&held.to, step), (&SiteState::Held, None));
    apply(&mut states, &held, 200);
    assert!(states.next_readmission(false, |_| true, at(300)).is_none(), "it is held");
    assert!(states.next_readmission(true, |_| false, at(300)).is_none(), "something else changes");
    let (returning, step) = states.next_readmission(false, |_| false, at(5_000)).unwrap();
    assert_eq!(step, ShapeStep::RollOut { excluded: out(&[]), site: "west".into() });
    apply(&mut states, &returning, 5_000);
    let back = states.on_change_ended(true).unwrap();
    apply(&mut states, &back, 9_000);
    assert_eq!(states.get("west"), Some(&SiteState::InService));
}

#[test]
fn a_second_loss_ends_a_return_and_each_abandoned_one_waits_longer() {
    let mut states = three();
    let mut waits = Vec::new();
    let mut now = 0;
    let change = states.on_view_change(&view_change("west", SiteView::Lost)).unwrap().0.clone();
    apply(&mut states, &change, now);
    let change = states.on_view_change(&view_change("west", SiteView::Up)).unwrap().0.clone();
    apply(&mut states, &change, now);
    for _ in 0..3 {
        let from = now;
        while states.next_readmission(false, |_| false, at(now)).is_none() {
            now += 100;
        }
        waits.push(now - from);
        let (returning, _) = states.next_readmission(false, |_| false, at(now)).unwrap();
        apply(&mut states, &returning, now);
        let change = states.on_change_ended(false).unwrap().clone();
        apply(&mut states, &change, now);
    }
    assert!(waits[1] >= 5_000 && waits[2] >= 10_000, "{waits:?}");
    now += 60_000;
    let (returning, _) = states.next_readmission(false, |_| false, at(now)).unwrap();
    apply(&mut states, &returning, now);
    let (lost, step) = states.on_view_change(&view_change("east", SiteView::Lost)).unwrap();
    assert_eq!(
        step,
        Some(ShapeStep::Exclude(out(&["east", "west"]))),
        "the site that returns is excluded again, and its steps end"
    );
    apply(&mut states, &lost, now);
    let (lost, step) = states.on_view_change(&view_change("west", SiteView::Lost)).unwrap();
    assert_eq!(step, Some(ShapeStep::Exclude(out(&["east", "west"]))));
    apply(&mut states, &lost, now);
    assert_eq!(states.excluded(), out(&["east", "west"]));
}

#[test]
fn operators_evacuate_hold_and_return_a_site() {
    let mut states = three();
    assert!(matches!(
        states.command("mars", SiteCommand::Leave, "anna", false),
        Err(CommandError::Unknown { .. })
    ));
    assert_eq!(states.command("east", SiteCommand::Leave, "anna", true), Err(CommandError::Busy));
    let (leaving, step) = states.command("east", SiteCommand::Leave, "anna", false).unwrap();
    assert_eq!(step, Some(ShapeStep::RollOut { excluded: out(&["east"]), site: "east".into() }));
    apply(&mut states, &leaving, 0);
    let change = states.on_change_ended(true).unwrap().clone();
    apply(&mut states, &change, 100);
    assert_eq!(states.get("east"), Some(&SiteState::Out));
    assert!(states.on_view_change(&view_change("east", SiteView::Lost)).is_none(), "it is out already");
    assert!(matches!(
        states.command("east", SiteCommand::Hold, "anna", false),
        Err(CommandError::Already { .. })
    ));
    let change = states.on_view_change(&view_change("north", SiteView::Lost)).unwrap().0.clone();
    apply(&mut states, &change, 200);
    assert!(matches!(
        states.command("west", SiteCommand::Leave, "anna", false),
        Err(CommandError::LastSite { .. })
    ));
    assert!(matches!(
        states.command("north", SiteCommand::Return, "anna", false),
        Err(CommandError::IsLost { .. })
    ));
    let (back, step) = states.command("east", SiteCommand::Return, "anna", false).unwrap();
    assert_eq!((&back.to, step), (&SiteState::Held, None));
}

/// A request that comes again within a time after its refusal is a retry, and the number of recorded refusals
/// is limited.
#[test]
fn retries_are_recognized_by_recent_refusals() {
    use harestage_sites::quota::RecentRefusals;
    let mut refusals = RecentRefusals::new(Moment::at_micros(0));
    let at = |ms: u64| Moment::at_micros(ms * 1_000);
    refusals.record(&(1, 7), at(100));
    assert!(refusals.contains(&(1, 7), at(200)) && !refusals.contains(&(2, 7), at(200)));
    assert!(refusals.contains(&(1, 7), at(4_500)), "the older half is still kept");
    assert!(!refusals.contains(&(1, 7), at(9_000)), "and then dropped");
    refusals.record(&(1, 8), at(9_000));
    assert!(!refusals.contains(&(1, 8), at(60_000)), "both halves are dropped after a long pause");
    for n in 0..100_000u64 {
        refusals.record(&n, at(60_000));
    }
    let known = (0..100_000u64).filter(|n| refusals.contains(n, at(60_000))).count();
    assert!(known < 20_000, "{known}");
}

/// A sudden surge, before the cutoff accounts for it: once something was refused for lack of capacity,
/// nothing of lower value is admitted until the next update, and retries come after first attempts.
#[test]
fn nothing_is_admitted_after_something_better_was_refused() {
    for seed in 0..40u64 {
        let mut quota = Quota::new(Moment::at_micros(0));
        quota.set_capacity(Some(50.0));
        let (mut admitted_retries, mut refused_first_attempts) = (0, 0);
        for n in 0..4_000u64 {
            let mut hasher = std::hash::DefaultHasher::new();
            std::hash::Hash::hash(&(seed, n), &mut hasher);
            let drawn = std::hash::Hasher::finish(&hasher);
            let value = [0.25, 1.0, 4.0][(drawn % 3) as usize];
            let is_retry = drawn >> 8 & 3 == 0;
            let request = QuotaRequest { value, units: 1.0, is_retry, branch: (drawn >> 16) as u32 % 3 };
            let chance = (drawn >> 11) as f64 / (1u64 << 53) as f64;
            // Quiet at first, then twenty times as much.
            let ms = if n < 100 { n * 25 } else { 2_500 + n };
            let admission = quota.admit(&request, chance, Moment::at_micros(ms * 1_000));
            if n > 1_000 {
                admitted_retries += u64::from(is_retry && admission == Admission::Admitted);
                refused_first_attempts +=
                    u64::from(!is_retry && value == 4.0 && admission != Admission::Admitted);
            }
        }
        let stats = quota.stats();
        assert!(stats.refused > 1_000 && stats.admitted > 100, "{stats:?}");
        assert_eq!(stats.out_of_order, 0, "seed {seed}: {stats:?}");
        assert!(
            admitted_retries == 0 || refused_first_attempts == 0,
            "{admitted_retries} retries admitted, {refused_first_attempts} first attempts refused"
        );
    }
}
