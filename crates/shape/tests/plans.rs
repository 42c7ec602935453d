//! Plans: bounded steps, loads within limits, no cycle on the way. Rollouts: the conditions that hold a step
//! or revert it.
mod common;
use common::*;
use harestage::time::Span;
use harestage_shape::plan::{Plan, PlanError, plan_change};
use harestage_shape::rollout::{Decision, HealthView, HoldReason, MemberHealth, Rollout, Transition};
use harestage_shape::topology::{Shape, validated_shape, warm_fraction};
use harestage_shape::validation;
use std::collections::BTreeMap;

const START: u64 = 1_000_000;

/// The shapes after each step of a plan.
fn walk(from: &Shape, plan: &Plan) -> Vec<Shape> {
    (1..=plan.steps.len()).map(|n| plan.shape_after(from, n, from.version() + n as u64)).collect()
}

#[test]
fn a_fresh_hub_is_never_asked_for_more_than_it_can_do() {
    let from = validated_shape(&two_hubs()).unwrap();
    let to = third_hub(START);
    let plan = plan_change(&from, &to, at_ms(START)).unwrap();
    assert!(plan.steps.len() > 4, "{:#?}", plan.steps);
    let mut last = from.clone();
    for (shape, step) in walk(&from, &plan).iter().zip(&plan.steps) {
        assert!(validation::cycles(shape).is_empty());
        let at = shape.find("c").unwrap();
        let hub = shape.node(at).unwrap().as_hub().unwrap();
        let age = Span::millis(step.needs.iter().find(|need| need.hub == "c").map_or(0, |need| need.age_ms));
        let asked = validation::loads(shape).unwrap().of(at);
        assert!(asked <= hub.capacity * warm_fraction(hub, age) * 0.75 + 1e-6, "{asked} at {age:?}");
        assert!(step.moved <= 0.1 + 1e-9 || step.moves.len() == 1, "{step:?}");
        last = shape.clone();
    }
    let mut wanted = validated_shape(&to).unwrap().to_config();
    wanted.version = last.version();
    assert_eq!(last.to_config(), wanted, "the last step is the wanted shape");
}

/// A node gets its new upstreams before it loses its old ones, so that an object moves at most once.
#[test]
fn an_object_moves_at_most_once_for_each_branch() {
    let from = validated_shape(&two_hubs()).unwrap();
    let plan = plan_change(&from, &third_hub(START), at_ms(START + 60_000)).unwrap();
    let shapes = walk(&from, &plan);
    let branch = from.find("n").unwrap();
    for object in 0..500 {
        let hub = |shape: &Shape| {
            let upstreams = shape.upstreams(branch).iter().copied();
            shape.name(harestage_shape::route::highest_weight(shape, upstreams, object).unwrap()).to_string()
        };
        let mut preferred_hubs: Vec<String> = std::iter::once(&from).chain(&shapes).map(hub).collect();
        preferred_hubs.dedup();
        assert!(preferred_hubs.len() <= 2, "{preferred_hubs:?}");
    }
}

/// Two hubs of a middle tier swap places: any order of single links would close a cycle on the way.
#[test]
fn links_that_would_close_a_cycle_on_the_way_are_replaced_at_once() {
    let mut config = two_hubs();
    config.hubs.extend([hub("m", &["a"]), hub("k", &["m"])]);
    config.branches.push(branch("far", 5.0, &["k", "m"]));
    let from = validated_shape(&config).unwrap();
    config.hubs[2].up = vec!["k".into()];
    config.hubs[3].up = vec!["a".into()];
    let plan = plan_change(&from, &config, at_ms(START)).unwrap();
    for shape in walk(&from, &plan) {
        assert!(validation::cycles(&shape).is_empty());
    }
}

#[test]
fn a_shape_that_can_never_carry_its_load_has_no_plan() {
    let mut to = third_hub(0);
    to.hubs[2].capacity = 10.0;
    let error = plan_change(&validated_shape(&two_hubs()).unwrap(), &to, at_ms(START)).unwrap_err();
    assert!(matches!(error, PlanError::Invalid(_)), "{error}");
}

struct Health {
    members: BTreeMap<String, MemberHealth>,
    ages: BTreeMap<String, Span>,
}

impl Health {
    fn new() -> Health {
        let member =
            |name: &str| (name.to_string(), MemberHealth { slowness: 1.0, ..MemberHealth::default() });
        Health { members: ["a", "b", "c"].map(member).into(), ages: BTreeMap::new() }
    }
    fn update(&mut self, version: u64, ms: u64) {
        self.members
            .values_mut()
            .for_each(|member| (member.version, member.last_report) = (version, at_ms(ms)));
        self.ages.insert("c".into(), Span::millis(ms - START));
    }
    fn view(&self) -> HealthView<'_> {
        HealthView { members: &self.members, archive_stop_rate: 250.0, ages: &self.ages }
    }
}

/// Runs a rollout with a decision every 50 ms, as the service does. Members follow at once unless `update`
/// does otherwise.
fn run(
    rollout: &mut Rollout,
    health: &mut Health,
    from: u64,
    to: u64,
    update: impl Fn(&mut Health, u64, u64),
) -> Vec<Transition> {
    let mut transitions = Vec::new();
    for ms in (from..to).step_by(50) {
        update(health, rollout.version(), ms);
        rollout.observe(&health.view(), at_ms(ms));
        if let Decision::Apply(transition) = rollout.decide(&health.view(), at_ms(ms)) {
            rollout.apply(&transition, at_ms(ms));
            transitions.push(transition);
        }
    }
    transitions
}

fn rollout() -> Rollout {
    let from = validated_shape(&two_hubs()).unwrap();
    Rollout::start(plan_change(&from, &third_hub(START), at_ms(START)).unwrap(), 1, at_ms(START))
}

#[test]
fn steps_are_published_one_by_one_each_when_its_hub_is_old_enough() {
    let (mut rollout, mut health) = (rollout(), Health::new());
    let steps = rollout.plan.steps.clone();
    let mut published = Vec::new();
    for ms in (START..START + 60_000).step_by(50) {
        health.update(rollout.version(), ms);
        if let Decision::Apply(transition) = rollout.decide(&health.view(), at_ms(ms)) {
            if let Transition::Published { step, .. } = transition {
                for need in &steps[step - 1].needs {
                    assert!(ms - START >= need.age_ms, "step {step} at {ms}, {need:?}");
                }
                published.push(step);
            }
            rollout.apply(&transition, at_ms(ms));
        }
    }
    assert_eq!(published, (1..=steps.len()).collect::<Vec<_>>());
    assert!(rollout.is_finished());
}

#[test]
fn a_hub_that_gets_slow_reverts_the_step_and_the_plan_continues_later() {
    let (mut rollout, mut health) = (rollout(), Health::new());
    let slow_from = START + 2_000;
    let transitions = run(&mut rollout, &mut health, START, START + 90_000, |health, version, ms| {
        health.update(version, ms);
        let slow = (slow_from..slow_from + 1_500).contains(&ms);
        health.members.get_mut("c").unwrap().slowness = if slow { 20.0 } else { 1.0 };
    });
    let reverted =
        transitions.iter().filter(|transition| matches!(transition, Transition::Reverted { .. })).count();
    assert_eq!(reverted, 1, "{transitions:?}");
    assert_eq!(transitions.last(), Some(&Transition::Ended { complete: true }));
    let versions = transitions.iter().filter_map(|transition| match transition {
        Transition::Published { version, .. } | Transition::Reverted { version, .. } => Some(*version),
        _ => None,
    });
    let versions: Vec<u64> = versions.collect();
    assert!(versions.windows(2).all(|two| two[1] == two[0] + 1), "numbers never go back: {versions:?}");
}

#[test]
fn a_busy_archive_holds_and_one_near_its_stop_rate_reverts() {
    let (mut rollout, mut health) = (rollout(), Health::new());
    let transitions = run(&mut rollout, &mut health, START, START + 8_000, |health, version, ms| {
        health.update(version, ms);
        health.members.get_mut("a").unwrap().fetch_rate = 0.75 * 250.0;
    });
    assert!(transitions.is_empty(), "{transitions:?}");
    let decision = rollout.decide(&health.view(), at_ms(START + 8_000));
    assert!(matches!(decision, Decision::Hold(HoldReason::ArchiveBusy { .. })), "{decision:?}");
    let transitions = run(&mut rollout, &mut health, START + 8_000, START + 60_000, |health, version, ms| {
        health.update(version, ms);
        let fetches = if version > 1 { 0.9 * 250.0 } else { 1.0 };
        health.members.get_mut("a").unwrap().fetch_rate = fetches;
    });
    // The revert is published as a version of its own, so the load stays high, and the change is abandoned.
    assert!(matches!(transitions[1], Transition::Reverted { .. }), "{transitions:?}");
}

#[test]
fn a_slow_archive_holds_when_half_of_those_that_fetch_see_it() {
    let (mut rollout, mut health) = (rollout(), Health::new());
    let transitions = run(&mut rollout, &mut health, START, START + 4_000, |health, version, ms| {
        health.update(version, ms);
        let fetching = health.members.values_mut();
        fetching.for_each(|member| (member.fetch_rate, member.archive_slowness) = (1.0, 1.0));
        health.members.get_mut("a").unwrap().archive_slowness = 9.0;
    });
    assert!(!transitions.is_empty(), "one of three sees it: its own path is slow");
    let (mut rollout, mut health) = (self::rollout(), Health::new());
    let transitions = run(&mut rollout, &mut health, START, START + 4_000, |health, version, ms| {
        health.update(version, ms);
        let fetching = health.members.values_mut();
        fetching.for_each(|member| (member.fetch_rate, member.archive_slowness) = (1.0, 4.0));
    });
    let decision = rollout.decide(&health.view(), at_ms(START + 4_000));
    assert!(
        transitions.is_empty() && matches!(decision, Decision::Hold(HoldReason::ArchiveSlow { .. })),
        "{decision:?}"
    );
}

#[test]
fn a_node_of_the_step_that_does_not_confirm_reverts_it_and_others_are_ignored() {
    let (mut rollout, mut health) = (rollout(), Health::new());
    let transitions = run(&mut rollout, &mut health, START, START + 12_000, |health, version, ms| {
        health.update(version, ms);
        health.members.get_mut("c").unwrap().version = 1;
    });
    assert!(
        transitions.iter().any(
            |transition| matches!(transition, Transition::Reverted { reason, .. } if reason.contains('c'))
        ),
        "{transitions:?}"
    );
    let (mut rollout, mut health) = (self::rollout(), Health::new());
    let transitions = run(&mut rollout, &mut health, START, START + 90_000, |health, version, ms| {
        health.update(version, ms);
        *health.members.get_mut("b").unwrap() =
            MemberHealth { last_report: at_ms(START - 9_000), ..MemberHealth::default() };
    });
    assert_eq!(transitions.last(), Some(&Transition::Ended { complete: true }));
}
