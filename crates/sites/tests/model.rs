//! All ways that three sites can take through losses, returns, staff and changes that end or are given up, up to a depth,
//! on the state machine that runs.
use harestage::time::{Moment, Span};
use harestage_sites::failure_detector::{SiteView, ViewChange};
use harestage_sites::site_state::{ShapeStep, SiteCommand, SiteState, SiteStates};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const SITES: [&str; 3] = ["east", "north", "west"];
const DEPTH: u8 = 9;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    standings: SiteStates,
    /// Sites that nobody hears.
    dead: BTreeSet<&'static str>,
    /// Sites that the shape in service ties nobody to, and those that a change under way leads to.
    out: BTreeSet<String>,
    towards: Option<BTreeSet<String>>,
    ms: u64,
    left: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Act {
    Dies(&'static str),
    IsHeard(&'static str),
    Staff(&'static str, Staff),
    Passes,
    Ends(bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Staff {
    Leave,
    Return,
    Hold,
}

struct Sites;

/// Then whatever is tied to anyone is tied to a site that is out.
fn all_are_out(world: &World) -> bool {
    SITES.into_iter().all(|site| world.standings.get(site) != Some(&SiteState::InService))
}

impl World {
    fn now(&self) -> Moment {
        Moment::at_micros(self.ms * 1_000)
    }

    fn seen(&mut self, site: &str, to: SiteView) {
        let change =
            ViewChange { site: site.into(), from: SiteView::Unknown, to, seen_for: Span::millis(200) };
        if let Some((turned, step)) = self.standings.on_view_change(&change) {
            self.standings.apply(&turned, self.now());
            self.step(step);
        }
    }

    fn step(&mut self, step: Option<ShapeStep>) {
        match step {
            None => {}
            // A version at once ends whatever was under way, and nobody is tied to nobody.
            Some(ShapeStep::Exclude(out)) if out.len() < SITES.len() => {
                if self.towards.take().is_some()
                    && let Some(turned) = self.standings.on_change_ended(false)
                {
                    self.standings.apply(&turned, self.now());
                }
                self.out = out;
            }
            Some(ShapeStep::Exclude(_)) => {}
            Some(ShapeStep::RollOut { excluded: out, .. }) => self.towards = Some(out),
        }
    }
}

impl Model for Sites {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let mut standings = SiteStates::default();
        standings.set_sites(SITES.into_iter());
        let (dead, out) = (BTreeSet::new(), BTreeSet::new());
        vec![World { standings, dead, out, towards: None, ms: 1_000, left: DEPTH }]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        if world.left == 0 {
            return;
        }
        for site in SITES {
            acts.push(if world.dead.contains(site) { Act::IsHeard(site) } else { Act::Dies(site) });
            acts.extend([Staff::Leave, Staff::Return, Staff::Hold].map(|staff| Act::Staff(site, staff)));
        }
        acts.push(Act::Passes);
        if world.towards.is_some() {
            acts.extend([Act::Ends(true), Act::Ends(false)]);
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut world = World { left: last.left - 1, ..last.clone() };
        match act {
            Act::Dies(site) => {
                world.dead.insert(site);
                world.seen(site, SiteView::Lost);
            }
            Act::IsHeard(site) => {
                world.dead.remove(site);
                world.seen(site, SiteView::Up);
            }
            Act::Staff(site, staff) => {
                let ask = match staff {
                    Staff::Leave => SiteCommand::Leave,
                    Staff::Return => SiteCommand::Return,
                    Staff::Hold => SiteCommand::Hold,
                };
                let (turned, step) =
                    world.standings.command(site, ask, "anna", world.towards.is_some()).ok()?;
                world.standings.apply(&turned, world.now());
                world.step(step);
            }
            Act::Passes => {
                world.ms += 20_000;
                let dead = world.dead.clone();
                let busy = world.towards.is_some();
                let next = world.standings.next_readmission(busy, |site| dead.contains(site), world.now());
                if let Some((turned, step)) = next {
                    world.standings.apply(&turned, world.now());
                    world.step(Some(step));
                }
            }
            Act::Ends(complete) => {
                let towards = world.towards.take()?;
                if complete {
                    world.out = towards;
                }
                if let Some(turned) = world.standings.on_change_ended(complete) {
                    world.standings.apply(&turned, world.now());
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one site moves at a time", |_, world: &World| {
                let moves =
                    |(_, is): &(&str, &SiteState)| matches!(is, SiteState::Returning | SiteState::Leaving);
                world.standings.iter().filter(moves).count() <= 1
            }),
            Property::always("nobody is tied to a lost site", |_, world: &World| {
                let lost = |(_, is): &(&str, &SiteState)| matches!(is, SiteState::Lost);
                let tied = |(site, _): (&str, &SiteState)| !world.out.contains(site);
                all_are_out(world) || !world.standings.iter().filter(lost).any(tied)
            }),
            Property::always("a site in service is in the shape", |_, world: &World| {
                let serves = |(_, is): &(&str, &SiteState)| matches!(is, SiteState::InService);
                world.standings.iter().filter(serves).all(|(site, _)| !world.out.contains(site))
            }),
            Property::always("a dead site is never in service", |_, world: &World| {
                world.dead.iter().all(|site| world.standings.get(site) != Some(&SiteState::InService))
            }),
            Property::sometimes("a site goes out and comes back", |_, world: &World| {
                world.ms > 1_000 && world.out.is_empty() && world.left < DEPTH - 4
            }),
        ]
    }
}

#[test]
fn all_ways_of_three_sites_hold() {
    let checker = Sites.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000, "{} states", checker.unique_state_count());
    println!("{} states", checker.unique_state_count());
}
