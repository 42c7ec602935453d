//! What a service's group lets out, model-checked on the state machines that run: two members that may believe that they
//! lead, a log that agrees on one record after another, a lease that runs out, and a hub that hears what is told. The
//! control service (`Control`) decides, `Waiting` holds its effects back behind their records; the model only says when a
//! record is agreed on, seen, and who may speak.
use harestage::time::Moment;
use harestage_control::journal;
use harestage_seats::Waiting;
use harestage_shape::config::{ArchiveConfig, BranchConfig, HubConfig, ShapeConfig};
use harestage_shape::control::{Control, Effect};
use stateright::{Checker, Model, Property};

/// What a leader decides in one reign, at most.
const MOST_DECISIONS: usize = 3;

/// What a leader decides next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Decision {
    /// An operator's change begins.
    Change,
    /// A beat of the runner: a step goes out.
    Beat,
    /// A site is lost: another shape at once.
    Jump,
}

/// A member that believes that it leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Reign {
    /// How much of the log it took the service up from, and how much of it it has seen since.
    from: usize,
    seen: usize,
    decisions: Vec<Decision>,
    /// Of the records that it wanted, those that the group has agreed on.
    agreed: usize,
    /// Effects that were released, and told where it could speak.
    released: usize,
    speaks: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// All that the group has agreed on.
    log: Vec<Vec<u8>>,
    reigns: [Option<Reign>; 2],
    /// Who was chosen last: only its records are agreed on.
    chosen: usize,
    /// The highest version that the hub has heard, and whether it ever heard one go back or one that nobody agreed on.
    heard: u64,
    went_back: bool,
    not_agreed: bool,
    published_by: [bool; 2],
    left: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Act {
    Decides(usize, Decision),
    /// The group agrees on the next record of whoever was chosen last.
    Agrees,
    /// A member sees the next entry of the log, and lets out what waited for it.
    Sees(usize),
    /// Most have not answered, or it was stopped: its lease has run out.
    FallsSilent(usize),
    SpeaksAgain(usize),
    /// The other member is chosen, once nobody speaks any more.
    IsChosen(usize),
}

/// Checked up to so many steps of a way.
struct Group {
    depth: u8,
}

fn hub(name: &str, site: &str) -> HubConfig {
    HubConfig {
        name: name.into(),
        address: "127.0.0.1:1".into(),
        site: site.into(),
        capacity: 100.0,
        passes: 0.5,
        since_ms: 0,
        cold_from: 0.1,
        cold_ms: 1_000,
        falls_at: 2.0,
        falls_within_ms: 1_000,
        up: vec!["archive".into()],
    }
}

fn form(ties: &[&str]) -> ShapeConfig {
    let archive = ArchiveConfig {
        name: "archive".into(),
        address: "127.0.0.1:2".into(),
        capacity: 100.0,
        stops_at: 2.5,
        stops_within_ms: 3_000,
    };
    let branch = BranchConfig {
        name: "br".into(),
        site: String::new(),
        load: 10.0,
        hubs: ties.iter().map(|tie| tie.to_string()).collect(),
        feed: None,
        feeds: Default::default(),
        caches: Vec::new(),
    };
    let hubs = vec![hub("a", "east"), hub("b", "west")];
    ShapeConfig { version: 0, archive, hubs, branches: vec![branch], links: Vec::new() }
}

/// What a reign has come to, by the state machines themselves.
struct Played {
    control: Control,
    wanted: Vec<Vec<u8>>,
    released: Vec<Effect>,
}

fn play(reign: &Reign, log: &[Vec<u8>]) -> Option<Played> {
    let mut now = Moment::at_micros(1_000_000);
    let records = journal::records(&log[..reign.from]).ok()?;
    let (mut control, effects) = Control::open(&records, Some(&form(&["a"])), now).ok()?;
    let (waiting, mut wanted) = (Waiting::default(), Vec::new());
    let mut wait = |effects: Vec<Effect>| {
        for effect in effects {
            match effect {
                Effect::Write(record) => {
                    wanted.push(journal::bytes(&record));
                    waiting.behind(journal::bytes(&record));
                }
                effect => waiting.push(effect),
            }
        }
    };
    wait(effects);
    for decision in &reign.decisions {
        now = now + harestage::time::Span::millis(4_000);
        let effects = match decision {
            Decision::Change => control.apply(&form(&["a", "b"]), None, "anna", now).unwrap_or_default(),
            Decision::Beat => control.tick(now),
            Decision::Jump => {
                let shape = control.shape();
                let (branch, to) = (shape.find("br")?, shape.find("b")?);
                let next = shape.with_upstreams(shape.version() + 1, [(branch, [to].as_slice())]);
                control.replace_shape(next)
            }
        };
        wait(effects);
    }
    log[reign.from..reign.seen].iter().for_each(|entry| waiting.agreed(entry));
    let released = std::iter::from_fn(|| waiting.next()).collect();
    Some(Played { control, wanted, released })
}

impl World {
    /// The newest version that stands in what was agreed on.
    fn agreed_version(&self) -> u64 {
        let records = journal::records(&self.log).unwrap_or_default();
        let opened = Control::open(&records, Some(&form(&["a"])), Moment::at_micros(1_000_000));
        opened.map_or(0, |(control, _)| control.shape().version())
    }

    /// Lets out what waits for nothing, as the service does after each entry that it sees.
    fn let_out(&mut self, member: usize) {
        let Some(reign) = self.reigns[member].clone() else { return };
        let Some(played) = play(&reign, &self.log) else { return };
        let news = &played.released[reign.released.min(played.released.len())..];
        let published = news.iter().filter_map(|effect| match effect {
            Effect::Publish(version) => Some(*version),
            _ => None,
        });
        if let Some(version) = published.max().filter(|_| reign.speaks) {
            self.went_back |= version < self.heard;
            self.not_agreed |= version > self.agreed_version();
            self.heard = self.heard.max(version);
            self.published_by[member] = true;
        }
        if let Some(reign) = &mut self.reigns[member] {
            reign.released = played.released.len();
        }
    }
}

impl Model for Group {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            log: Vec::new(),
            reigns: [None, None],
            chosen: 0,
            heard: 0,
            went_back: false,
            not_agreed: false,
            published_by: [false; 2],
            left: self.depth,
        };
        world.reigns[0] = Some(reign(0));
        vec![world]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        if world.left == 0 {
            return;
        }
        acts.push(Act::Agrees);
        for member in 0..2 {
            match &world.reigns[member] {
                Some(reign) => {
                    if reign.decisions.len() < MOST_DECISIONS {
                        let all = [Decision::Change, Decision::Beat, Decision::Jump];
                        acts.extend(all.map(|decision| Act::Decides(member, decision)));
                    }
                    if reign.seen < world.log.len() {
                        acts.push(Act::Sees(member));
                    }
                    acts.push(if reign.speaks { Act::FallsSilent(member) } else { Act::SpeaksAgain(member) });
                }
                None => acts.push(Act::IsChosen(member)),
            }
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut world = World { left: last.left - 1, ..last.clone() };
        match act {
            Act::Decides(member, decision) => {
                world.reigns[member].as_mut()?.decisions.push(decision);
                let after = play(world.reigns[member].as_ref()?, &world.log)?;
                let before = play(last.reigns[member].as_ref()?, &last.log)?;
                // A decision that comes to nothing is no step.
                if after.wanted.len() == before.wanted.len()
                    && after.control.shape().version() == before.control.shape().version()
                {
                    return None;
                }
                world.let_out(member);
            }
            Act::Agrees => {
                let reign = world.reigns[world.chosen].clone()?;
                let record = play(&reign, &world.log)?.wanted.get(reign.agreed)?.clone();
                world.log.push(record);
                world.reigns[world.chosen].as_mut()?.agreed += 1;
            }
            Act::Sees(member) => {
                world.reigns[member].as_mut()?.seen += 1;
                world.let_out(member);
            }
            Act::FallsSilent(member) => world.reigns[member].as_mut()?.speaks = false,
            // Only the one that was chosen last gets answers to new questions.
            Act::SpeaksAgain(member) if world.chosen == member => {
                world.reigns[member].as_mut()?.speaks = true;
            }
            Act::SpeaksAgain(_) => return None,
            Act::IsChosen(member) => {
                if world.reigns.iter().flatten().any(|reign| reign.speaks) {
                    return None;
                }
                world.chosen = member;
                world.reigns[member] = Some(reign(world.log.len()));
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one member speaks at a time", |_, world: &World| {
                world.reigns.iter().flatten().filter(|reign| reign.speaks).count() <= 1
            }),
            Property::always("what is heard never goes back", |_, world: &World| !world.went_back),
            Property::always("nothing is heard that was not agreed on", |_, world: &World| !world.not_agreed),
            Property::always("whoever takes over has all that was heard", |_, world: &World| {
                world.agreed_version() >= world.heard
            }),
            Property::sometimes("a second leader publishes", |_, world: &World| world.published_by[1]),
            Property::sometimes("a change goes out", |_, world: &World| world.heard >= 2),
        ]
    }
}

fn reign(from: usize) -> Reign {
    Reign { from, seen: from, decisions: Vec::new(), agreed: 0, released: 0, speaks: true }
}

/// Checks all ways of so many steps, and says how many states there are. A property that does not hold panics, with the
/// way that leads there.
pub fn check(depth: u8) -> usize {
    let checker = Group { depth }.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    checker.unique_state_count()
}
