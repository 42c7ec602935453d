//! Explores all sequences of losses, recoveries, operators' commands and changes for three sites, up to a
//! depth, on the state machine that the service runs.
use harestage::time::{Moment, Span};
use harestage_sites::failure_detector::{SiteView, ViewChange};
use harestage_sites::site_state::{ShapeStep, SiteCommand, SiteState, SiteStates};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const SITES: [&str; 3] = ["east", "north", "west"];
const DEPTH: u8 = 9;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    states: SiteStates,
    /// Sites that no witness hears.
    failed: BTreeSet<&'static str>,
    /// Sites that the shape in service excludes, and those that the current change will exclude.
    excluded: BTreeSet<String>,
    target: Option<BTreeSet<String>>,
    ms: u64,
    steps_left: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Event {
    Fails(&'static str),
    Recovers(&'static str),
    Command(&'static str, Command),
    TimePasses,
    ChangeEnds(bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Command {
    Leave,
    Return,
    Hold,
}

struct Sites;

/// Then every upstream link leads to a site that is out.
fn none_is_in_service(world: &World) -> bool {
    SITES.into_iter().all(|site| world.states.get(site) != Some(&SiteState::InService))
}

impl World {
    fn now(&self) -> Moment {
        Moment::at_micros(self.ms * 1_000)
    }

    fn on_view(&mut self, site: &str, to: SiteView) {
        let change =
            ViewChange { site: site.into(), from: SiteView::Unknown, to, seen_for: Span::millis(200) };
        if let Some((change, step)) = self.states.on_view_change(&change) {
            self.states.apply(&change, self.now());
            self.step(step);
        }
    }

    fn step(&mut self, step: Option<ShapeStep>) {
        match step {
            None => {}
            // An immediate version ends any change under way. A shape without any site is never published.
            Some(ShapeStep::Exclude(excluded)) if excluded.len() < SITES.len() => {
                if self.target.take().is_some()
                    && let Some(change) = self.states.on_change_ended(false)
                {
                    self.states.apply(&change, self.now());
                }
                self.excluded = excluded;
            }
            Some(ShapeStep::Exclude(_)) => {}
            Some(ShapeStep::RollOut { excluded, .. }) => self.target = Some(excluded),
        }
    }
}

impl Model for Sites {
    type State = World;
    type Action = Event;

    fn init_states(&self) -> Vec<World> {
        let mut states = SiteStates::default();
        states.set_sites(SITES.into_iter());
        let (failed, excluded) = (BTreeSet::new(), BTreeSet::new());
        vec![World { states, failed, excluded, target: None, ms: 1_000, steps_left: DEPTH }]
    }

    fn actions(&self, world: &World, events: &mut Vec<Event>) {
        if world.steps_left == 0 {
            return;
        }
        for site in SITES {
            events.push(if world.failed.contains(site) { Event::Recovers(site) } else { Event::Fails(site) });
            events.extend(
                [Command::Leave, Command::Return, Command::Hold].map(|command| Event::Command(site, command)),
            );
        }
        events.push(Event::TimePasses);
        if world.target.is_some() {
            events.extend([Event::ChangeEnds(true), Event::ChangeEnds(false)]);
        }
    }

    fn next_state(&self, previous: &World, event: Event) -> Option<World> {
        let mut world = World { steps_left: previous.steps_left - 1, ..previous.clone() };
        match event {
            Event::Fails(site) => {
                world.failed.insert(site);
                world.on_view(site, SiteView::Lost);
            }
            Event::Recovers(site) => {
                world.failed.remove(site);
                world.on_view(site, SiteView::Up);
            }
            Event::Command(site, command) => {
                let site_command = match command {
                    Command::Leave => SiteCommand::Leave,
                    Command::Return => SiteCommand::Return,
                    Command::Hold => SiteCommand::Hold,
                };
                let (change, step) =
                    world.states.command(site, site_command, "anna", world.target.is_some()).ok()?;
                world.states.apply(&change, world.now());
                world.step(step);
            }
            Event::TimePasses => {
                world.ms += 20_000;
                let failed = world.failed.clone();
                let is_changing = world.target.is_some();
                let next =
                    world.states.next_readmission(is_changing, |site| failed.contains(site), world.now());
                if let Some((change, step)) = next {
                    world.states.apply(&change, world.now());
                    world.step(Some(step));
                }
            }
            Event::ChangeEnds(complete) => {
                let target = world.target.take()?;
                if complete {
                    world.excluded = target;
                }
                if let Some(change) = world.states.on_change_ended(complete) {
                    world.states.apply(&change, world.now());
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one site is in steps at a time", |_, world: &World| {
                let in_steps = |(_, state): &(&str, &SiteState)| {
                    matches!(state, SiteState::Returning | SiteState::Leaving)
                };
                world.states.iter().filter(in_steps).count() <= 1
            }),
            Property::always("no node is linked to a lost site", |_, world: &World| {
                let lost = |(_, state): &(&str, &SiteState)| matches!(state, SiteState::Lost);
                let linked = |(site, _): (&str, &SiteState)| !world.excluded.contains(site);
                none_is_in_service(world) || !world.states.iter().filter(lost).any(linked)
            }),
            Property::always("a site in service is in the shape", |_, world: &World| {
                let in_service = |(_, state): &(&str, &SiteState)| matches!(state, SiteState::InService);
                world.states.iter().filter(in_service).all(|(site, _)| !world.excluded.contains(site))
            }),
            Property::always("a failed site is never in service", |_, world: &World| {
                world.failed.iter().all(|site| world.states.get(site) != Some(&SiteState::InService))
            }),
            Property::sometimes("a site goes out and comes back", |_, world: &World| {
                world.ms > 1_000 && world.excluded.is_empty() && world.steps_left < DEPTH - 4
            }),
        ]
    }
}

#[test]
fn all_sequences_of_events_for_three_sites_hold() {
    let checker = Sites.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000, "{} states", checker.unique_state_count());
    println!("{} states", checker.unique_state_count());
}
