//! What is refused first, how often is repeated, and how a site stands, by chance and by hand.
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

/// Branches that ask for two kinds, the dear one worth eight times as much.
struct Load {
    ration: Quota,
    dice: StdRng,
    ms: u64,
    taken: BTreeMap<(u32, bool), f64>,
    asked: BTreeMap<(u32, bool), f64>,
    again: Vec<Span>,
    lines: Vec<f64>,
}

impl Load {
    fn new(room: f64, seed: u64) -> Load {
        let mut ration = Quota::new(at(0));
        ration.set_capacity(Some(room));
        let (dice, ms) = (StdRng::seed_from_u64(seed), 0);
        Load {
            ration,
            dice,
            ms,
            taken: BTreeMap::new(),
            asked: BTreeMap::new(),
            again: Vec::new(),
            lines: Vec::new(),
        }
    }

    /// `rates`: asked a second by each branch, of the dear kind and of the cheap one.
    fn run(&mut self, ms: u64, rates: &[(f64, f64)]) {
        (self.taken, self.asked) = Default::default();
        for _ in 0..ms {
            self.ms += 1;
            for (branch, (dear, cheap)) in rates.iter().enumerate() {
                for (is_dear, rate) in [(true, *dear), (false, *cheap)] {
                    if self.dice.random::<f64>() < rate / 1e3 {
                        self.ask(branch as u32, is_dear);
                    }
                }
            }
            if self.ms.is_multiple_of(100) {
                let line = self.ration.cutoff();
                self.lines.push(line.rank as f64 + 1.0 - line.fraction);
            }
        }
    }

    fn ask(&mut self, branch: u32, dear: bool) {
        let worth = if dear { 8.0 } else { 1.0 };
        let want = QuotaRequest { value: worth, units: 1.0, is_retry: false, branch };
        *self.asked.entry((branch, dear)).or_default() += 1.0;
        match self.ration.admit(&want, self.dice.random(), at(self.ms)) {
            Admission::Admitted => *self.taken.entry((branch, dear)).or_default() += 1.0,
            Admission::RetryAfter(span) => self.again.push(span),
        }
    }

    fn share(&self, branch: u32, dear: bool) -> f64 {
        let of = |map: &BTreeMap<(u32, bool), f64>| map.get(&(branch, dear)).copied().unwrap_or(0.0);
        of(&self.taken) / of(&self.asked).max(1.0)
    }

    fn all_taken(&self) -> f64 {
        self.taken.values().sum()
    }
}

#[test]
fn the_dear_are_taken_whole_before_the_cheap_and_the_room_is_used() {
    let mut load = Load::new(200.0, 1);
    let rates = [(60.0, 100.0), (60.0, 100.0)];
    load.run(3_000, &rates);
    load.run(5_000, &rates);
    assert!(load.share(0, true) > 0.99 && load.share(1, true) > 0.99);
    let cheap = load.share(0, false);
    assert!((0.25..0.55).contains(&cheap), "80 of 200 a second fit: {cheap}");
    let a_second = load.all_taken() / 5.0;
    assert!((180.0..=230.0).contains(&a_second), "{a_second} of 200");
}

#[test]
fn at_the_line_each_branch_gets_a_fair_part() {
    let mut load = Load::new(100.0, 2);
    let rates = [(0.0, 20.0), (0.0, 300.0), (0.0, 300.0)];
    load.run(3_000, &rates);
    load.run(6_000, &rates);
    assert!(load.share(0, false) > 0.8, "who asks for less than its part gets it: {}", load.share(0, false));
    let (one, two) = (load.share(1, false), load.share(2, false));
    assert!((one - two).abs() < 0.06 && one < 0.25, "{one} and {two}");
}

#[test]
fn the_line_does_not_flutter_and_goes_when_there_is_room() {
    let mut load = Load::new(150.0, 3);
    let rates = [(50.0, 120.0), (50.0, 120.0)];
    load.run(4_000, &rates);
    load.lines.clear();
    load.run(8_000, &rates);
    let turns = load.lines.windows(3).filter(|w| (w[1] - w[0]) * (w[2] - w[1]) < 0.0).count();
    let span = load.lines.iter().fold(0.0, |m: f64, l| m.max(*l))
        - load.lines.iter().fold(99.0, |m: f64, l| m.min(*l));
    assert!(span < 0.6, "the line moves by {span} ranks, and turns {turns} times");
    load.run(4_000, &[(20.0, 20.0), (20.0, 20.0)]);
    load.run(2_000, &[(20.0, 20.0), (20.0, 20.0)]);
    assert!(load.share(0, false) > 0.99, "with room for all, all are taken");
    load.ration.set_capacity(None);
    load.run(500, &[(500.0, 500.0)]);
    assert_eq!(load.share(0, false), 1.0);
}

#[test]
fn those_who_are_refused_come_again_spread_over_time() {
    let mut load = Load::new(50.0, 4);
    load.run(4_000, &[(0.0, 400.0)]);
    load.again.clear();
    load.run(2_000, &[(0.0, 400.0)]);
    let mut by_half_second = BTreeMap::new();
    load.again.iter().for_each(|s| *by_half_second.entry(s.as_micros() / 500_000).or_insert(0) += 1);
    let most = by_half_second.values().max().copied().unwrap_or(0);
    assert!(most * 4 < load.again.len(), "{most} of {} come in one half second", load.again.len());
    assert!(load.again.iter().all(|s| *s >= Span::millis(400) && *s <= Span::millis(10_400)));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]
    /// Nothing below the line is taken while something above it is refused, but for what the line was laid without.
    #[test]
    fn nobody_is_refused_out_of_order(seed in 0u64..1_000, room in 20.0f64..400.0) {
        let mut dice = StdRng::seed_from_u64(seed);
        let mut ration = Quota::new(at(0));
        ration.set_capacity(Some(room));
        for step in 0..4_000u64 {
            let want = QuotaRequest {
                value: 2f64.powi(dice.random_range(-6..6)),
                units: 1.0,
                is_retry: dice.random::<f64>() < 0.2,
                branch: dice.random_range(0..4),
            };
            let now = at(step * 2);
            let answer = ration.admit(&want, dice.random(), now);
            let line = ration.cutoff();
            if answer == Admission::Admitted {
                prop_assert!(rank(&want) >= line.rank, "taken below the line");
            }
        }
    }

    /// Tiers that each have a budget add a bounded part to what is asked, however much fails.
    #[test]
    fn a_budget_bounds_what_repeats_add(firsts in 200u32..2_000, every_ms in 1u64..20) {
        let mut budget = RetryBudget::new(RETRIES_PER_ATTEMPT, at(0));
        let mut repeats = 0.0;
        for n in 0..firsts {
            let now = at(u64::from(n) * every_ms);
            budget.on_first_attempt(now);
            // Everything fails, and each failure would be repeated three times.
            repeats += (0..3).filter(|_| budget.allow_retry(now)).count() as f64;
        }
        let seconds = f64::from(firsts) * every_ms as f64 / 1e3;
        prop_assert!(repeats <= f64::from(firsts) * RETRIES_PER_ATTEMPT + seconds + 3.0, "{repeats} of {firsts}");
    }
}

#[test]
fn a_quiet_hour_pays_for_no_storm() {
    let mut budget = RetryBudget::new(RETRIES_PER_ATTEMPT, at(0));
    (0..1_000).for_each(|n| budget.on_first_attempt(at(n)));
    let storm = at(3_600_000);
    let lets = (0..1_000).filter(|_| budget.allow_retry(storm)).count();
    assert!(lets <= 2, "{lets}");
}

fn change(site: &str, to: SiteView) -> ViewChange {
    ViewChange { site: site.into(), from: SiteView::Up, to, seen_for: Span::millis(300) }
}

fn enter(standings: &mut SiteStates, turned: &StateChange, ms: u64) {
    standings.apply(turned, at(ms));
}

fn three() -> SiteStates {
    let mut standings = SiteStates::default();
    standings.set_sites(["east", "north", "west"].into_iter());
    standings
}

fn out(sites: &[&str]) -> BTreeSet<String> {
    sites.iter().map(|s| s.to_string()).collect()
}

#[test]
fn a_site_goes_out_at_once_and_comes_back_in_steps() {
    let mut standings = three();
    let (lost, step) = standings.on_view_change(&change("west", SiteView::Lost)).unwrap();
    assert_eq!((&lost.to, step), (&SiteState::Lost, Some(ShapeStep::Exclude(out(&["west"])))));
    enter(&mut standings, &lost, 0);
    assert!(standings.on_view_change(&change("west", SiteView::Lost)).is_none());
    assert!(standings.next_readmission(false, |_| false, at(100)).is_none(), "nobody hears it");
    let (held, step) = standings.on_view_change(&change("west", SiteView::Up)).unwrap();
    assert_eq!((&held.to, step), (&SiteState::Held, None));
    enter(&mut standings, &held, 200);
    assert!(standings.next_readmission(false, |_| true, at(300)).is_none(), "it is held");
    assert!(standings.next_readmission(true, |_| false, at(300)).is_none(), "something else changes");
    let (returning, step) = standings.next_readmission(false, |_| false, at(5_000)).unwrap();
    assert_eq!(step, ShapeStep::RollOut { excluded: out(&[]), site: "west".into() });
    enter(&mut standings, &returning, 5_000);
    let back = standings.on_change_ended(true).unwrap();
    enter(&mut standings, &back, 9_000);
    assert_eq!(standings.get("west"), Some(&SiteState::InService));
}

#[test]
fn a_second_loss_ends_a_return_and_each_one_given_up_waits_longer() {
    let mut standings = three();
    let mut waits = Vec::new();
    let mut now = 0;
    let turned = standings.on_view_change(&change("west", SiteView::Lost)).unwrap().0.clone();
    enter(&mut standings, &turned, now);
    let turned = standings.on_view_change(&change("west", SiteView::Up)).unwrap().0.clone();
    enter(&mut standings, &turned, now);
    for _ in 0..3 {
        let from = now;
        while standings.next_readmission(false, |_| false, at(now)).is_none() {
            now += 100;
        }
        waits.push(now - from);
        let (returning, _) = standings.next_readmission(false, |_| false, at(now)).unwrap();
        enter(&mut standings, &returning, now);
        let turned = standings.on_change_ended(false).unwrap().clone();
        enter(&mut standings, &turned, now);
    }
    assert!(waits[1] >= 5_000 && waits[2] >= 10_000, "{waits:?}");
    now += 60_000;
    let (returning, _) = standings.next_readmission(false, |_| false, at(now)).unwrap();
    enter(&mut standings, &returning, now);
    let (lost, step) = standings.on_view_change(&change("east", SiteView::Lost)).unwrap();
    assert_eq!(
        step,
        Some(ShapeStep::Exclude(out(&["east", "west"]))),
        "the one that returns goes out again with its steps"
    );
    enter(&mut standings, &lost, now);
    let (lost, step) = standings.on_view_change(&change("west", SiteView::Lost)).unwrap();
    assert_eq!(step, Some(ShapeStep::Exclude(out(&["east", "west"]))));
    enter(&mut standings, &lost, now);
    assert_eq!(standings.excluded(), out(&["east", "west"]));
}

#[test]
fn staff_evacuates_holds_and_lets_back() {
    let mut standings = three();
    assert!(matches!(
        standings.command("mars", SiteCommand::Leave, "anna", false),
        Err(CommandError::Unknown { .. })
    ));
    assert_eq!(standings.command("east", SiteCommand::Leave, "anna", true), Err(CommandError::Busy));
    let (leaving, step) = standings.command("east", SiteCommand::Leave, "anna", false).unwrap();
    assert_eq!(step, Some(ShapeStep::RollOut { excluded: out(&["east"]), site: "east".into() }));
    enter(&mut standings, &leaving, 0);
    let turned = standings.on_change_ended(true).unwrap().clone();
    enter(&mut standings, &turned, 100);
    assert_eq!(standings.get("east"), Some(&SiteState::Out));
    assert!(standings.on_view_change(&change("east", SiteView::Lost)).is_none(), "it is out already");
    assert!(matches!(
        standings.command("east", SiteCommand::Hold, "anna", false),
        Err(CommandError::Already { .. })
    ));
    let turned = standings.on_view_change(&change("north", SiteView::Lost)).unwrap().0.clone();
    enter(&mut standings, &turned, 200);
    assert!(matches!(
        standings.command("west", SiteCommand::Leave, "anna", false),
        Err(CommandError::LastSite { .. })
    ));
    assert!(matches!(
        standings.command("north", SiteCommand::Return, "anna", false),
        Err(CommandError::IsLost { .. })
    ));
    let (back, step) = standings.command("east", SiteCommand::Return, "anna", false).unwrap();
    assert_eq!((&back.to, step), (&SiteState::Held, None));
}

/// Whoever was refused and asks again makes a second try, for a while, and only so many are remembered.
#[test]
fn second_tries_are_told_by_what_was_refused_lately() {
    use harestage_sites::quota::RecentRefusals;
    let mut refusals = RecentRefusals::new(Moment::at_micros(0));
    let at = |ms: u64| Moment::at_micros(ms * 1_000);
    refusals.record(&(1, 7), at(100));
    assert!(refusals.contains(&(1, 7), at(200)) && !refusals.contains(&(2, 7), at(200)));
    assert!(refusals.contains(&(1, 7), at(4_500)), "the older half is still known");
    assert!(!refusals.contains(&(1, 7), at(9_000)), "and then forgotten");
    refusals.record(&(1, 8), at(9_000));
    assert!(!refusals.contains(&(1, 8), at(60_000)), "both halves, after a long rest");
    for n in 0..100_000u64 {
        refusals.record(&n, at(60_000));
    }
    let known = (0..100_000u64).filter(|n| refusals.contains(n, at(60_000))).count();
    assert!(known < 20_000, "{known}");
}

/// A surge that comes at once, before any line is laid for it: once something was refused for want of room, nothing of less
/// worth is taken in that beat; and second tries go after first ones.
#[test]
fn nothing_is_taken_past_something_better_that_was_refused() {
    for seed in 0..40u64 {
        let mut ration = Quota::new(Moment::at_micros(0));
        ration.set_capacity(Some(50.0));
        let (mut taken_second, mut refused_first) = (0, 0);
        for n in 0..4_000u64 {
            let mut hasher = std::hash::DefaultHasher::new();
            std::hash::Hash::hash(&(seed, n), &mut hasher);
            let drawn = std::hash::Hasher::finish(&hasher);
            let worth = [0.25, 1.0, 4.0][(drawn % 3) as usize];
            let second_try = drawn >> 8 & 3 == 0;
            let want = QuotaRequest {
                value: worth,
                units: 1.0,
                is_retry: second_try,
                branch: (drawn >> 16) as u32 % 3,
            };
            let chance = (drawn >> 11) as f64 / (1u64 << 53) as f64;
            // Quiet at first, then twenty times as much.
            let ms = if n < 100 { n * 25 } else { 2_500 + n };
            let answer = ration.admit(&want, chance, Moment::at_micros(ms * 1_000));
            if n > 1_000 {
                taken_second += u64::from(second_try && answer == Admission::Admitted);
                refused_first += u64::from(!second_try && worth == 4.0 && answer != Admission::Admitted);
            }
        }
        let tally = ration.stats();
        assert!(tally.refused > 1_000 && tally.admitted > 100, "{tally:?}");
        assert_eq!(tally.out_of_order, 0, "seed {seed}: {tally:?}");
        assert!(
            taken_second == 0 || refused_first == 0,
            "{taken_second} second tries, {refused_first} first ones refused"
        );
    }
}
