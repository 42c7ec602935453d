//! Starts by hand, by chance, and over all orders of a whole fleet's.
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
fn the_table_says_one_thing_of_each_and_the_page_has_it() {
    let named: BTreeSet<_> = TABLE.iter().map(|rule| (rule.process, rule.item)).collect();
    assert_eq!(named.len(), TABLE.len());
    for who in PROCESS_KINDS {
        assert_ne!(trust(who, harestage_restart::trust::StoredItem::Name), Trust::NotKept);
    }
    assert!(STORED_ITEMS.iter().all(|thing| TABLE.iter().any(|rule| rule.item == *thing)));
    let page = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/start.md")).unwrap();
    assert!(page.contains(&markdown()), "harestage start table prints what has to stand in docs/start.md");
}

#[test]
fn no_circle_of_waits_can_stand() {
    assert_eq!(unbounded_cycles(), Vec::<Vec<ProcessKind>>::new());
    assert!(dependencies().iter().all(|edge| edge.dependent != edge.on));
    // Whoever waits without a bound waits for somebody who waits for nobody but its own kind.
    let unbounded = dependencies().into_iter().filter(|edge| !edge.bounded);
    assert!(
        unbounded.into_iter().all(|edge| matches!(edge.dependent, ProcessKind::Feed | ProcessKind::Router))
    );
}

/// Beats until so long after the beginning; the stages that were passed.
fn run(start: &mut Start, from: u64, to: u64) -> Vec<Stage> {
    let beats = (from / 100 + 1)..=(to / 100);
    beats.filter_map(|beat| start.tick(at(beat * 100))).map(|turn| turn.to).collect()
}

#[test]
fn with_everybody_there_it_goes_through_its_stages_in_order() {
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
    assert_eq!(run(&mut start, 3_500, 3_800), [Stage::CopiesOnly], "it can go back");
    start.on_event(StartEvent::ArchiveAdmitsAll);
    assert_eq!(run(&mut start, 3_800, 4_500), [Stage::BestFills, Stage::All]);
}

#[test]
fn with_nobody_there_it_serves_alone_and_keeps_nothing() {
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
fn staff_holds_a_start_and_lets_it_go() {
    let mut start = Start::new(at(0));
    start.on_event(StartEvent::IndexRead { copies: false });
    start.on_event(StartEvent::PurgesNotFollowed);
    start.on_event(StartEvent::ShapeKnown);
    assert_eq!(
        run(&mut start, 0, 300),
        [Stage::AwaitsShape, Stage::BestFills],
        "without copies there is nothing to serve"
    );
    start.on_event(StartEvent::Held);
    start.on_event(StartEvent::ArchiveAdmitsAll);
    assert_eq!(run(&mut start, 300, 90_000), []);
    start.on_event(StartEvent::Released);
    assert_eq!(run(&mut start, 90_000, 90_200), [Stage::All]);
}

#[test]
fn the_archive_is_asked_for_more_only_while_it_bears_it() {
    let (mut pace, mut ms, mut peak) = (FetchRamp::new(at(0)), 0u64, 0.0f64);
    let part = 100.0;
    // It bears 40 a second from cold, and is four times as slow past it.
    for _ in 0..400 {
        ms += 50;
        let rate = part * pace.share();
        peak = peak.max(rate);
        let due = (rate * 0.05).max(0.3);
        for n in 0..due.ceil() as u64 {
            let slow = if rate > 40.0 { 8.0 } else { 1.0 };
            pace.on_answer(0.015 * slow, at(ms + n));
        }
        pace.tick(at(ms));
    }
    assert!(peak <= 40.0 * 1.3, "{peak}");
    assert!(pace.share() >= INITIAL_SHARE, "it stays near what is borne: {}", pace.share());
    // It gets better, and then all of it is borne.
    for _ in 0..400 {
        ms += 50;
        (0..5).for_each(|n| pace.on_answer(0.015, at(ms + n)));
        pace.tick(at(ms));
    }
    assert_eq!((pace.share(), pace.archive_capacity()), (1.0, ArchiveCapacity::Full));
    // And then nothing.
    for _ in 0..100 {
        ms += 50;
        pace.on_failure(at(ms));
        pace.tick(at(ms));
    }
    assert!(pace.share() < INITIAL_SHARE && pace.archive_capacity() == ArchiveCapacity::None);
}

#[test]
fn what_is_worth_most_is_filled_first_and_those_who_wait_come_back_spread() {
    let mut pace = FetchRamp::new(at(0));
    assert!(pace.admits(8.0, 8.0) && !pace.admits(1.0, 8.0));
    let spans: Vec<Span> = (0..=10).map(|n| pace.retry_after(f64::from(n) / 10.0)).collect();
    assert!(spans.windows(2).all(|pair| pair[0] < pair[1]) && spans[10].seconds() > 3.0);
    for n in 0..200u64 {
        (0..4).for_each(|m| pace.on_answer(0.01, at(n * 50 + m)));
        pace.tick(at(n * 50));
    }
    assert!(pace.admits(1.0, 8.0) && pace.retry_after(1.0) <= Span::millis(400));
}

proptest! {
    /// Whatever is heard in whatever order: copies go out only once purges are known, and every wait ends.
    #[test]
    fn by_chance(facts in prop::collection::vec((0u8..8, 0u64..4_000), 0..60)) {
        let (mut start, mut ms, mut purges) = (Start::new(at(0)), 0u64, false);
        for (fact, passes) in facts {
            let fact = match fact {
                0 => StartEvent::IndexRead { copies: passes % 2 == 0 },
                1 => { purges = true; StartEvent::PurgesKnown }
                2 => StartEvent::ShapeKnown,
                3 => StartEvent::ArchiveAdmitsAll,
                4 => StartEvent::ArchiveAdmitsSome,
                5 => StartEvent::ArchiveAdmitsNone,
                6 => StartEvent::Held,
                _ => StartEvent::Released,
            };
            start.on_event(fact);
            for _ in 0..passes / 100 + 1 {
                ms += 100;
                start.tick(at(ms));
                prop_assert!(!start.stage().serves_copies() || purges);
                prop_assert!(!start.stage().stores_fetched() || purges);
            }
        }
        start.on_event(StartEvent::Released);
        // Nobody comes any more: it ends where it serves.
        for _ in 0..1_500 {
            ms += 100;
            start.tick(at(ms));
        }
        prop_assert!(start.stage().allows_fills() || start.stage() == Stage::CopiesOnly, "{:?}", start.stage());
        prop_assert!(start.stage() != Stage::Reading && start.stage() != Stage::AwaitsShape);
    }
}

/// A fleet of three members of a service, two hubs, a feed and a router, which start in any order; a minority of the
/// service never comes, and neither may a hub. Steps of a start take place when what they wait for is there, or when their
/// bound is over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    services: [Up; 3],
    hubs: [(Up, Option<Stage>); 2],
    feed: (Up, bool),
    router: (Up, bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Up {
    NotYet,
    Yes,
    Never,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Act {
    Service(usize, bool),
    Hub(usize, bool),
    /// A hub's next step, because what it waits for is there, or since its bound is over.
    Goes(usize),
    BoundOver(usize),
    Feed,
    FeedTells,
    Router,
    RouterServes,
}

struct Fleet;

impl World {
    fn service_speaks(&self) -> bool {
        self.services.iter().filter(|up| **up == Up::Yes).count() >= 2
    }

    /// What a real start of the program comes to by this: the state machine itself.
    fn turned(stage: Stage, speaks: bool, over: bool) -> Option<Stage> {
        let mut start = Start::new(at(0));
        start.on_event(StartEvent::IndexRead { copies: true });
        let (mut ms, mut reached) = (0, start.stage());
        // Brought to the stage by the facts that lead there.
        let facts: &[StartEvent] = match stage {
            Stage::Reading | Stage::AwaitsPurges => &[],
            Stage::WithoutPurges => &[],
            Stage::AwaitsShape => &[StartEvent::PurgesKnown],
            _ => &[StartEvent::PurgesKnown, StartEvent::ShapeKnown],
        };
        facts.iter().for_each(|fact| start.on_event(*fact));
        while reached != stage {
            ms += 1_000;
            reached = start.tick(at(ms)).map_or(reached, |turn| turn.to);
            if ms > 100_000 {
                return None;
            }
        }
        if speaks {
            start.on_event(StartEvent::PurgesKnown);
            start.on_event(StartEvent::ShapeKnown);
        }
        ms += if over { 70_000 } else { 1 };
        start.tick(at(ms)).map(|turn| turn.to)
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let (hubs, feed, router) = ([(Up::NotYet, None); 2], (Up::NotYet, false), (Up::NotYet, false));
        vec![World { services: [Up::NotYet; 3], hubs, feed, router }]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        let never = world.services.iter().filter(|up| **up == Up::Never).count();
        for n in 0..3 {
            if world.services[n] == Up::NotYet {
                acts.push(Act::Service(n, true));
                if never == 0 {
                    acts.push(Act::Service(n, false));
                }
            }
        }
        let gone = world.hubs.iter().any(|(up, _)| *up == Up::Never);
        for n in 0..2 {
            match world.hubs[n] {
                (Up::NotYet, _) => {
                    acts.push(Act::Hub(n, true));
                    if !gone {
                        acts.push(Act::Hub(n, false));
                    }
                }
                (Up::Yes, Some(stage)) if stage != Stage::All => {
                    acts.extend([Act::Goes(n), Act::BoundOver(n)]);
                }
                _ => {}
            }
        }
        acts.extend(match world.feed {
            (Up::NotYet, _) => Some(Act::Feed),
            (Up::Yes, false) if world.service_speaks() => Some(Act::FeedTells),
            _ => None,
        });
        acts.extend(match world.router {
            (Up::NotYet, _) => Some(Act::Router),
            (Up::Yes, false) if world.feed.1 => Some(Act::RouterServes),
            _ => None,
        });
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut world = last.clone();
        let up = |comes: bool| if comes { Up::Yes } else { Up::Never };
        match act {
            Act::Service(n, comes) => world.services[n] = up(comes),
            Act::Hub(n, comes) => world.hubs[n] = (up(comes), comes.then_some(Stage::AwaitsPurges)),
            Act::Goes(n) | Act::BoundOver(n) => {
                let stage = last.hubs[n].1?;
                let next = World::turned(stage, last.service_speaks(), matches!(act, Act::BoundOver(_)))?;
                world.hubs[n].1 = Some(next);
            }
            Act::Feed => world.feed.0 = Up::Yes,
            Act::FeedTells => world.feed.1 = true,
            Act::Router => world.router.0 = Up::Yes,
            Act::RouterServes => world.router.1 = true,
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        // A state from which nothing more can happen: everybody who came serves.
        fn is_over(world: &World) -> bool {
            let mut acts = Vec::new();
            Fleet.actions(world, &mut acts);
            acts.iter().all(|act| Fleet.next_state(world, *act).is_none_or(|next| next == *world))
        }
        vec![
            Property::always("nobody hangs", |_, world: &World| {
                !is_over(world)
                    || world.service_speaks()
                        && world.feed.1
                        && world.router.1
                        && world.hubs.iter().all(|(up, stage)| *up == Up::Never || *stage == Some(Stage::All))
            }),
            Property::always("copies go out only where the service has spoken", |_, world: &World| {
                let gives = |(_, stage): &(Up, Option<Stage>)| stage.is_some_and(Stage::serves_copies);
                !world.hubs.iter().any(gives) || world.service_speaks()
            }),
            Property::sometimes("a hub serves before the service comes", |_, world: &World| {
                !world.service_speaks()
                    && world.hubs.iter().any(|(_, stage)| stage.is_some_and(Stage::allows_fills))
            }),
            Property::sometimes("all are back without a minority", |_, world: &World| {
                is_over(world)
                    && world.services.contains(&Up::Never)
                    && world.hubs.iter().any(|(up, _)| *up == Up::Never)
            }),
        ]
    }
}

#[test]
fn no_order_of_starts_leaves_anybody_waiting() {
    let checker = Fleet.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1_000, "{} states", checker.unique_state_count());
}
