//! Starts step by step, with random inputs, and by model checking over all orders of starts in a fleet.
use harestage::time::{Moment, Span};
use harestage_restart::ramp::{ArchiveCapacity, FetchRamp, INITIAL_SHARE};
use harestage_restart::stage::{Stage, Start, StartEvent, dependencies, unbounded_cycles};
use harestage_restart::trust::{PROCESS_KINDS, ProcessKind, STORED_ITEMS, TABLE, Trust, markdown, trust};
use proptest::prelude::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

fn at(ms: u64) -> Moment {
    Moment::at_micros(1_000_000 + ms * 1_000)
}

#[test]
fn the_table_has_one_rule_for_each_item_and_is_in_the_page() {
    let named: BTreeSet<_> = TABLE.iter().map(|rule| (rule.process, rule.item)).collect();
    assert_eq!(named.len(), TABLE.len());
    for process in PROCESS_KINDS {
        assert_ne!(trust(process, harestage_restart::trust::StoredItem::Name), Trust::NotKept);
    }
    assert!(STORED_ITEMS.iter().all(|item| TABLE.iter().any(|rule| rule.item == *item)));
    let page = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/start.md")).unwrap();
    assert!(page.contains(&markdown()), "docs/start.md has to contain the output of `harestage start table`");
}

#[test]
fn there_is_no_unbounded_wait_cycle() {
    assert_eq!(unbounded_cycles(), Vec::<Vec<ProcessKind>>::new());
    assert!(dependencies().iter().all(|dependency| dependency.dependent != dependency.on));
    // Only feeds and routers wait without a bound, and what they wait for does not wait for them.
    let unbounded = dependencies().into_iter().filter(|dependency| !dependency.bounded);
    assert!(
        unbounded
            .into_iter()
            .all(|dependency| matches!(dependency.dependent, ProcessKind::Feed | ProcessKind::Router))
    );
}

/// Ticks from one time to another; returns the stages that were entered.
fn run(start: &mut Start, from: u64, to: u64) -> Vec<Stage> {
    let ticks = (from / 100 + 1)..=(to / 100);
    ticks.filter_map(|tick| start.tick(at(tick * 100))).map(|change| change.to).collect()
}

#[test]
fn with_all_services_present_the_stages_follow_in_order() {
    let mut start = Start::new(at(0));
    start.on_event(StartEvent::IndexRead { copies: true });
    assert_eq!(run(&mut start, 0, 500), []);
    assert!(!start.stage().serves_copies() && !start.stage().allows_fills());
    start.on_event(StartEvent::ShapeKnown);
    start.on_event(StartEvent::PurgesKnown);
    assert_eq!(run(&mut start, 500, 1_000), [Stage::AwaitsShape, Stage::CopiesOnly]);
    assert!(start.stage().serves_copies() && !start.stage().allows_fills());
    assert_eq!(run(&mut start, 1_000, 3_500), [Stage::BestFills]);
    start.on_event(StartEvent::ArchiveAdmitsNone);
    assert_eq!(run(&mut start, 3_500, 3_800), [Stage::CopiesOnly], "it returns to copies only");
    start.on_event(StartEvent::ArchiveAdmitsAll);
    assert_eq!(run(&mut start, 3_800, 4_500), [Stage::BestFills, Stage::All]);
}

#[test]
fn without_any_service_it_serves_fills_and_stores_nothing() {
    let mut start = Start::new(at(0));
    start.on_event(StartEvent::IndexRead { copies: true });
    start.on_event(StartEvent::ShapeKnown);
    assert_eq!(run(&mut start, 0, 60_000), [Stage::WithoutPurges]);
    assert!(
        start.stage().allows_fills() && !start.stage().stores_fetched() && !start.stage().serves_copies()
    );
    start.on_event(StartEvent::PurgesKnown);
    assert_eq!(run(&mut start, 60_000, 60_500), [Stage::AwaitsShape, Stage::CopiesOnly]);
}

#[test]
fn an_operator_pauses_a_start_and_lets_it_continue() {
    let mut start = Start::new(at(0));
    start.on_event(StartEvent::IndexRead { copies: false });
    start.on_event(StartEvent::PurgesNotFollowed);
    start.on_event(StartEvent::ShapeKnown);
    assert_eq!(
        run(&mut start, 0, 300),
        [Stage::AwaitsShape, Stage::BestFills],
        "without copies there is nothing to serve from the disk"
    );
    start.on_event(StartEvent::Held);
    start.on_event(StartEvent::ArchiveAdmitsAll);
    assert_eq!(run(&mut start, 300, 90_000), []);
    start.on_event(StartEvent::Released);
    assert_eq!(run(&mut start, 90_000, 90_200), [Stage::All]);
}

#[test]
fn the_share_grows_only_while_the_archive_has_capacity() {
    let (mut ramp, mut ms, mut peak) = (FetchRamp::new(at(0)), 0u64, 0.0f64);
    let concurrency_part = 100.0;
    // The cold archive has capacity for 40 fetches a second and is eight times as slow above that.
    for _ in 0..400 {
        ms += 50;
        let rate = concurrency_part * ramp.share();
        peak = peak.max(rate);
        let answers = (rate * 0.05).max(0.3);
        for n in 0..answers.ceil() as u64 {
            let slowdown = if rate > 40.0 { 8.0 } else { 1.0 };
            ramp.on_answer(0.015 * slowdown, at(ms + n));
        }
        ramp.tick(at(ms));
    }
    assert!(peak <= 40.0 * 1.3, "{peak}");
    assert!(ramp.share() >= INITIAL_SHARE, "it stays near the capacity: {}", ramp.share());
    // The archive recovers and has full capacity.
    for _ in 0..400 {
        ms += 50;
        (0..5).for_each(|n| ramp.on_answer(0.015, at(ms + n)));
        ramp.tick(at(ms));
    }
    assert_eq!((ramp.share(), ramp.archive_capacity()), (1.0, ArchiveCapacity::Full));
    // Then it fails completely.
    for _ in 0..100 {
        ms += 50;
        ramp.on_failure(at(ms));
        ramp.tick(at(ms));
    }
    assert!(ramp.share() < INITIAL_SHARE && ramp.archive_capacity() == ArchiveCapacity::None);
}

#[test]
fn the_highest_worth_is_filled_first_and_retries_are_spread() {
    let mut ramp = FetchRamp::new(at(0));
    assert!(ramp.admits(8.0, 8.0) && !ramp.admits(1.0, 8.0));
    let spans: Vec<Span> = (0..=10).map(|n| ramp.retry_after(f64::from(n) / 10.0)).collect();
    assert!(spans.windows(2).all(|pair| pair[0] < pair[1]) && spans[10].seconds() > 3.0);
    for n in 0..200u64 {
        (0..4).for_each(|m| ramp.on_answer(0.01, at(n * 50 + m)));
        ramp.tick(at(n * 50));
    }
    assert!(ramp.admits(1.0, 8.0) && ramp.retry_after(1.0) <= Span::millis(400));
}

proptest! {
    /// For any events in any order: copies are served only once the purges are known, and every wait ends.
    #[test]
    fn random_events_never_serve_unpurged_copies_and_every_wait_ends(events in prop::collection::vec((0u8..8, 0u64..4_000), 0..60)) {
        let (mut start, mut ms, mut purges) = (Start::new(at(0)), 0u64, false);
        for (event, elapsed_ms) in events {
            let event = match event {
                0 => StartEvent::IndexRead { copies: elapsed_ms % 2 == 0 },
                1 => { purges = true; StartEvent::PurgesKnown }
                2 => StartEvent::ShapeKnown,
                3 => StartEvent::ArchiveAdmitsAll,
                4 => StartEvent::ArchiveAdmitsSome,
                5 => StartEvent::ArchiveAdmitsNone,
                6 => StartEvent::Held,
                _ => StartEvent::Released,
            };
            start.on_event(event);
            for _ in 0..elapsed_ms / 100 + 1 {
                ms += 100;
                start.tick(at(ms));
                prop_assert!(!start.stage().serves_copies() || purges);
                prop_assert!(!start.stage().stores_fetched() || purges);
            }
        }
        start.on_event(StartEvent::Released);
        // Without further events it ends in a stage that serves.
        for _ in 0..1_500 {
            ms += 100;
            start.tick(at(ms));
        }
        prop_assert!(start.stage().allows_fills() || start.stage() == Stage::CopiesOnly, "{:?}", start.stage());
        prop_assert!(start.stage() != Stage::Reading && start.stage() != Stage::AwaitsShape);
    }
}

/// A fleet of three members of a service, two hubs, a feed and a router that start in any order. One member of the service
/// and one hub may never start. A stage is left when what it waits for is present, or when its bound has passed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FleetState {
    services: [Presence; 3],
    hubs: [(Presence, Option<Stage>); 2],
    feed: (Presence, bool),
    router: (Presence, bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Presence {
    NotStarted,
    Running,
    Never,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Service(usize, bool),
    Hub(usize, bool),
    /// A hub enters the next stage because what it waits for is present.
    HubProceeds(usize),
    /// A hub enters the next stage because the bound has passed.
    HubTimesOut(usize),
    Feed,
    FeedSends,
    Router,
    RouterServes,
}

struct Fleet;

impl FleetState {
    fn service_has_quorum(&self) -> bool {
        self.services.iter().filter(|presence| **presence == Presence::Running).count() >= 2
    }

    /// The stage that the real state machine enters from `stage`, if any.
    fn next_stage(stage: Stage, has_quorum: bool, times_out: bool) -> Option<Stage> {
        let mut start = Start::new(at(0));
        start.on_event(StartEvent::IndexRead { copies: true });
        let (mut ms, mut reached) = (0, start.stage());
        // The events that lead to the stage.
        let events: &[StartEvent] = match stage {
            Stage::Reading | Stage::AwaitsPurges => &[],
            Stage::WithoutPurges => &[],
            Stage::AwaitsShape => &[StartEvent::PurgesKnown],
            _ => &[StartEvent::PurgesKnown, StartEvent::ShapeKnown],
        };
        events.iter().for_each(|event| start.on_event(*event));
        while reached != stage {
            ms += 1_000;
            reached = start.tick(at(ms)).map_or(reached, |change| change.to);
            if ms > 100_000 {
                return None;
            }
        }
        if has_quorum {
            start.on_event(StartEvent::PurgesKnown);
            start.on_event(StartEvent::ShapeKnown);
        }
        ms += if times_out { 70_000 } else { 1 };
        start.tick(at(ms)).map(|change| change.to)
    }
}

impl Model for Fleet {
    type State = FleetState;
    type Action = Action;

    fn init_states(&self) -> Vec<FleetState> {
        let (hubs, feed, router) =
            ([(Presence::NotStarted, None); 2], (Presence::NotStarted, false), (Presence::NotStarted, false));
        vec![FleetState { services: [Presence::NotStarted; 3], hubs, feed, router }]
    }

    fn actions(&self, state: &FleetState, actions: &mut Vec<Action>) {
        let never = state.services.iter().filter(|presence| **presence == Presence::Never).count();
        for n in 0..3 {
            if state.services[n] == Presence::NotStarted {
                actions.push(Action::Service(n, true));
                if never == 0 {
                    actions.push(Action::Service(n, false));
                }
            }
        }
        let absent = state.hubs.iter().any(|(presence, _)| *presence == Presence::Never);
        for n in 0..2 {
            match state.hubs[n] {
                (Presence::NotStarted, _) => {
                    actions.push(Action::Hub(n, true));
                    if !absent {
                        actions.push(Action::Hub(n, false));
                    }
                }
                (Presence::Running, Some(stage)) if stage != Stage::All => {
                    actions.extend([Action::HubProceeds(n), Action::HubTimesOut(n)]);
                }
                _ => {}
            }
        }
        actions.extend(match state.feed {
            (Presence::NotStarted, _) => Some(Action::Feed),
            (Presence::Running, false) if state.service_has_quorum() => Some(Action::FeedSends),
            _ => None,
        });
        actions.extend(match state.router {
            (Presence::NotStarted, _) => Some(Action::Router),
            (Presence::Running, false) if state.feed.1 => Some(Action::RouterServes),
            _ => None,
        });
    }

    fn next_state(&self, last: &FleetState, action: Action) -> Option<FleetState> {
        let mut state = last.clone();
        let presence = |starts: bool| if starts { Presence::Running } else { Presence::Never };
        match action {
            Action::Service(n, starts) => state.services[n] = presence(starts),
            Action::Hub(n, starts) => {
                state.hubs[n] = (presence(starts), starts.then_some(Stage::AwaitsPurges))
            }
            Action::HubProceeds(n) | Action::HubTimesOut(n) => {
                let stage = last.hubs[n].1?;
                let next = FleetState::next_stage(
                    stage,
                    last.service_has_quorum(),
                    matches!(action, Action::HubTimesOut(_)),
                )?;
                state.hubs[n].1 = Some(next);
            }
            Action::Feed => state.feed.0 = Presence::Running,
            Action::FeedSends => state.feed.1 = true,
            Action::Router => state.router.0 = Presence::Running,
            Action::RouterServes => state.router.1 = true,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        // A state from which nothing more can happen.
        fn is_final(state: &FleetState) -> bool {
            let mut actions = Vec::new();
            Fleet.actions(state, &mut actions);
            actions.iter().all(|action| Fleet.next_state(state, *action).is_none_or(|next| next == *state))
        }
        vec![
            Property::always("no process waits forever", |_, state: &FleetState| {
                !is_final(state)
                    || state.service_has_quorum()
                        && state.feed.1
                        && state.router.1
                        && state.hubs.iter().all(|(presence, stage)| {
                            *presence == Presence::Never || *stage == Some(Stage::All)
                        })
            }),
            Property::always(
                "copies are served only if the service has a quorum",
                |_, state: &FleetState| {
                    let serves_copies =
                        |(_, stage): &(Presence, Option<Stage>)| stage.is_some_and(Stage::serves_copies);
                    !state.hubs.iter().any(serves_copies) || state.service_has_quorum()
                },
            ),
            Property::sometimes("a hub serves before the service has a quorum", |_, state: &FleetState| {
                !state.service_has_quorum()
                    && state.hubs.iter().any(|(_, stage)| stage.is_some_and(Stage::allows_fills))
            }),
            Property::sometimes("the fleet recovers without a minority", |_, state: &FleetState| {
                is_final(state)
                    && state.services.contains(&Presence::Never)
                    && state.hubs.iter().any(|(presence, _)| *presence == Presence::Never)
            }),
        ]
    }
}

#[test]
fn no_order_of_starts_leaves_a_process_waiting() {
    let checker = Fleet.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1_000, "{} states", checker.unique_state_count());
}
