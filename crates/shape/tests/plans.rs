//! Plans: bounded steps, allowances that cover, no loop on the way; and the runner with its guards.
mod common;
use common::*;
use harestage::time::Span;
use harestage_shape::plan::{Plan, PlanError, plan_change};
use harestage_shape::rollout::{Decision, HealthView, HoldReason, MemberHealth, Rollout, Transition};
use harestage_shape::topology::{Shape, validated_shape, warm_fraction};
use harestage_shape::validation;
use std::collections::BTreeMap;

const START: u64 = 1_000_000;

/// Walks a plan and looks at every shape on its way.
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
    assert_eq!(last.to_config(), wanted, "the last step is the shape that was asked for");
}

/// A place's ties grow before they shrink, so that an object moves once at most.
#[test]
fn an_object_moves_once_at_most_for_each_branch() {
    let from = validated_shape(&two_hubs()).unwrap();
    let plan = plan_change(&from, &third_hub(START), at_ms(START + 60_000)).unwrap();
    let shapes = walk(&from, &plan);
    let branch = from.find("n").unwrap();
    for object in 0..500 {
        let hub = |shape: &Shape| {
            let ties = shape.upstreams(branch).iter().copied();
            shape.name(harestage_shape::route::highest_weight(shape, ties, object).unwrap()).to_string()
        };
        let mut homes: Vec<String> = std::iter::once(&from).chain(&shapes).map(hub).collect();
        homes.dedup();
        assert!(homes.len() <= 2, "{homes:?}");
    }
}

/// Two hubs of a middle tier change places: any order of single ties would tie a loop on the way.
#[test]
fn what_would_tie_a_loop_on_the_way_goes_at_once() {
    let mut form = two_hubs();
    form.hubs.extend([hub("m", &["a"]), hub("k", &["m"])]);
    form.branches.push(branch("far", 5.0, &["k", "m"]));
    let from = validated_shape(&form).unwrap();
    form.hubs[2].up = vec!["k".into()];
    form.hubs[3].up = vec!["a".into()];
    let plan = plan_change(&from, &form, at_ms(START)).unwrap();
    for shape in walk(&from, &plan) {
        assert!(validation::cycles(&shape).is_empty());
    }
}

#[test]
fn what_can_never_be_carried_is_no_plan() {
    let mut to = third_hub(0);
    to.hubs[2].capacity = 10.0;
    let told = plan_change(&validated_shape(&two_hubs()).unwrap(), &to, at_ms(START)).unwrap_err();
    assert!(matches!(told, PlanError::Invalid(_)), "{told}");
}

struct Watch {
    members: BTreeMap<String, MemberHealth>,
    ages: BTreeMap<String, Span>,
}

impl Watch {
    fn new() -> Watch {
        let heard =
            |name: &str| (name.to_string(), MemberHealth { slowness: 1.0, ..MemberHealth::default() });
        Watch { members: ["a", "b", "c"].map(heard).into(), ages: BTreeMap::new() }
    }
    fn see(&mut self, version: u64, ms: u64) {
        self.members.values_mut().for_each(|heard| (heard.version, heard.last_report) = (version, at_ms(ms)));
        self.ages.insert("c".into(), Span::millis(ms - START));
    }
    fn view(&self) -> HealthView<'_> {
        HealthView { members: &self.members, archive_stop_rate: 250.0, ages: &self.ages }
    }
}

/// Turns a runner every 50 ms, as the service does; members follow at once unless `see` says otherwise.
fn run(
    runner: &mut Rollout,
    watch: &mut Watch,
    from: u64,
    to: u64,
    see: impl Fn(&mut Watch, u64, u64),
) -> Vec<Transition> {
    let mut stages = Vec::new();
    for ms in (from..to).step_by(50) {
        see(watch, runner.version(), ms);
        runner.observe(&watch.view(), at_ms(ms));
        if let Decision::Apply(stage) = runner.decide(&watch.view(), at_ms(ms)) {
            runner.apply(&stage, at_ms(ms));
            stages.push(stage);
        }
    }
    stages
}

fn runner() -> Rollout {
    let from = validated_shape(&two_hubs()).unwrap();
    Rollout::start(plan_change(&from, &third_hub(START), at_ms(START)).unwrap(), 1, at_ms(START))
}

#[test]
fn steps_go_out_one_by_one_each_when_its_hub_is_old_enough() {
    let (mut runner, mut watch) = (runner(), Watch::new());
    let steps = runner.plan.steps.clone();
    let mut out = Vec::new();
    for ms in (START..START + 60_000).step_by(50) {
        watch.see(runner.version(), ms);
        if let Decision::Apply(stage) = runner.decide(&watch.view(), at_ms(ms)) {
            if let Transition::Published { step, .. } = stage {
                for need in &steps[step - 1].needs {
                    assert!(ms - START >= need.age_ms, "step {step} at {ms}, {need:?}");
                }
                out.push(step);
            }
            runner.apply(&stage, at_ms(ms));
        }
    }
    assert_eq!(out, (1..=steps.len()).collect::<Vec<_>>());
    assert!(runner.is_finished());
}

#[test]
fn a_hub_that_gets_slow_undoes_the_step_and_the_plan_goes_on_later() {
    let (mut runner, mut watch) = (runner(), Watch::new());
    let slow_from = START + 2_000;
    let stages = run(&mut runner, &mut watch, START, START + 90_000, |watch, version, ms| {
        watch.see(version, ms);
        let slow = (slow_from..slow_from + 1_500).contains(&ms);
        watch.members.get_mut("c").unwrap().slowness = if slow { 20.0 } else { 1.0 };
    });
    let undone = stages.iter().filter(|stage| matches!(stage, Transition::Reverted { .. })).count();
    assert_eq!(undone, 1, "{stages:?}");
    assert_eq!(stages.last(), Some(&Transition::Ended { complete: true }));
    let versions = stages.iter().filter_map(|stage| match stage {
        Transition::Published { version, .. } | Transition::Reverted { version, .. } => Some(*version),
        _ => None,
    });
    let versions: Vec<u64> = versions.collect();
    assert!(versions.windows(2).all(|two| two[1] == two[0] + 1), "numbers never go back: {versions:?}");
}

#[test]
fn a_busy_archive_holds_and_one_near_its_stopping_point_undoes() {
    let (mut runner, mut watch) = (runner(), Watch::new());
    let stages = run(&mut runner, &mut watch, START, START + 8_000, |watch, version, ms| {
        watch.see(version, ms);
        watch.members.get_mut("a").unwrap().fetch_rate = 0.75 * 250.0;
    });
    assert!(stages.is_empty(), "{stages:?}");
    let busy = runner.decide(&watch.view(), at_ms(START + 8_000));
    assert!(matches!(busy, Decision::Hold(HoldReason::ArchiveBusy { .. })), "{busy:?}");
    let stages = run(&mut runner, &mut watch, START + 8_000, START + 60_000, |watch, version, ms| {
        watch.see(version, ms);
        let fetches = if version > 1 { 0.9 * 250.0 } else { 1.0 };
        watch.members.get_mut("a").unwrap().fetch_rate = fetches;
    });
    // The undone step brings a version of its own, so that the trouble stays, and the change is given up.
    assert!(matches!(stages[1], Transition::Reverted { .. }), "{stages:?}");
}

#[test]
fn a_slow_archive_holds_when_half_of_those_that_fetch_see_it() {
    let (mut runner, mut watch) = (runner(), Watch::new());
    let stages = run(&mut runner, &mut watch, START, START + 4_000, |watch, version, ms| {
        watch.see(version, ms);
        let fetching = watch.members.values_mut();
        fetching.for_each(|heard| (heard.fetch_rate, heard.archive_slowness) = (1.0, 1.0));
        watch.members.get_mut("a").unwrap().archive_slowness = 9.0;
    });
    assert!(!stages.is_empty(), "one of three sees it: its own way is slow");
    let (mut runner, mut watch) = (self::runner(), Watch::new());
    let stages = run(&mut runner, &mut watch, START, START + 4_000, |watch, version, ms| {
        watch.see(version, ms);
        let fetching = watch.members.values_mut();
        fetching.for_each(|heard| (heard.fetch_rate, heard.archive_slowness) = (1.0, 4.0));
    });
    let held = runner.decide(&watch.view(), at_ms(START + 4_000));
    assert!(stages.is_empty() && matches!(held, Decision::Hold(HoldReason::ArchiveSlow { .. })), "{held:?}");
}

#[test]
fn a_place_of_the_step_that_does_not_answer_undoes_it_and_others_are_passed_over() {
    let (mut runner, mut watch) = (runner(), Watch::new());
    let stages = run(&mut runner, &mut watch, START, START + 12_000, |watch, version, ms| {
        watch.see(version, ms);
        watch.members.get_mut("c").unwrap().version = 1;
    });
    assert!(
        stages
            .iter()
            .any(|stage| matches!(stage, Transition::Reverted { reason: why, .. } if why.contains('c'))),
        "{stages:?}"
    );
    let (mut runner, mut watch) = (self::runner(), Watch::new());
    let stages = run(&mut runner, &mut watch, START, START + 90_000, |watch, version, ms| {
        watch.see(version, ms);
        *watch.members.get_mut("b").unwrap() =
            MemberHealth { last_report: at_ms(START - 9_000), ..MemberHealth::default() };
    });
    assert_eq!(stages.last(), Some(&Transition::Ended { complete: true }));
}
