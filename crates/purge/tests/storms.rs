//! Members whose machines are busy: what is told of fences costs each of them time, by the names that it holds, and while they
//! take it in they fall behind with everything else. What is told about a storm must not keep the storm up.
use harestage::time::Moment;
use harestage_purge::messages::{Ack, Past};
use harestage_purge::scope::Scope;
use harestage_purge::sequencer::{Item, Payload, RateLimit};
use harestage_purge::service::{Effect, Service};
use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

const LIMIT: RateLimit = RateLimit { rate: 1e6, burst: 1e6 };
/// Machines, and members on each, which it serves one after the other.
const MACHINES: usize = 4;
const MEMBERS: usize = 60;
/// What one item costs a machine for one member, in nanoseconds; and one about fences for each name that is on the list then,
/// which every member goes through.
const AN_ITEM: u64 = 70_000;
const A_NAME: u64 = 7_000;
const STEP_US: u64 = 1_000;

const ALL: fn(usize) -> bool = |_| true;

#[derive(Default)]
struct Machine {
    /// Numbers that each member has still to take in, with what that costs.
    queues: Vec<VecDeque<(u64, u64)>>,
    /// Whose turn it is, and the time that was given to it.
    turn: Option<usize>,
    spent: u64,
    drawn: u64,
}

impl Machine {
    /// One of those that have something to take in, by chance.
    fn next(&mut self) -> Option<usize> {
        let waiting: Vec<usize> = (0..self.queues.len()).filter(|n| !self.queues[*n].is_empty()).collect();
        let mut hasher = DefaultHasher::new();
        self.drawn += 1;
        self.drawn.hash(&mut hasher);
        waiting.get(hasher.finish() as usize % waiting.len().max(1)).copied()
    }

    /// Works on for a while; who has taken what in by then.
    fn work(&mut self, nanos: u64) -> Vec<(usize, u64)> {
        self.spent += nanos;
        let mut done = Vec::new();
        loop {
            self.turn = self.turn.or_else(|| self.next());
            let Some(member) = self.turn else {
                self.spent = 0;
                return done;
            };
            let Some((number, cost)) = self.queues[member].front().copied() else { return done };
            if self.spent < cost {
                return done;
            }
            self.spent -= cost;
            self.queues[member].pop_front();
            self.turn = None;
            done.push((member, number));
        }
    }
}

struct World {
    service: Service,
    now: u64,
    machines: Vec<Machine>,
    submitted: u32,
    /// Names in items about fences.
    names: usize,
    list: BTreeSet<String>,
    an_item: u64,
    a_name: u64,
}

fn names(what: &Payload) -> usize {
    match what {
        Payload::Purge { .. } => 0,
        Payload::Fenced { .. } | Payload::Freed { .. } => 1,
        Payload::FencedMany { members } | Payload::FreedMany { members } => members.len(),
    }
}

impl World {
    fn new() -> World {
        let (service, _) = Service::open(&[], LIMIT, Moment::at_micros(0));
        let machine = || Machine { queues: vec![VecDeque::new(); MEMBERS], ..Machine::default() };
        let mut world = World {
            service,
            now: 0,
            machines: std::iter::repeat_with(machine).take(MACHINES).collect(),
            submitted: 0,
            names: 0,
            list: BTreeSet::new(),
            an_item: AN_ITEM,
            a_name: A_NAME,
        };
        for machine in 0..MACHINES {
            for member in 0..MEMBERS {
                world.confirm(machine, member, 0);
            }
        }
        world
    }

    fn at(&self) -> Moment {
        Moment::at_micros(self.now)
    }

    fn tell(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            let Effect::Broadcast(Item { number, payload: what, .. }) = effect else { continue };
            let longest = self.list.len();
            let changed = what.apply_to_fenced(&mut self.list);
            let on_it = if changed { longest.max(self.list.len()) } else { 0 };
            let cost = self.an_item + self.a_name * on_it as u64;
            self.names += names(&what);
            for machine in &mut self.machines {
                machine.queues.iter_mut().for_each(|queue| queue.push_back((number, cost)));
            }
        }
    }

    fn confirm(&mut self, machine: usize, member: usize, has: u64) {
        let member = format!("member-{machine}-{member}");
        let said = Ack { member, incarnation: 1, applied: has, bootstrapped: true, past: Past::default() };
        let (_, effects) = self.service.on_ack(&said, self.at()).expect("it is taken");
        self.tell(effects);
    }

    fn purge(&mut self) {
        self.submitted += 1;
        let scope = Scope::Group(self.submitted);
        let key = self.submitted.to_string();
        let (_, _, effects) = self.service.submit(scope, 0, &key, self.at()).expect("it is taken");
        self.tell(effects);
    }

    /// Time goes on; machines stand still or work.
    fn run(&mut self, ms: u64, works: impl Fn(usize) -> bool, a_second: u64) {
        let until = self.now + ms * 1_000;
        while self.now < until {
            self.now += STEP_US;
            if self.now % (1_000_000 / a_second) < STEP_US {
                self.purge();
            }
            if self.now % 20_000 < STEP_US {
                let effects = self.service.tick(self.at());
                self.tell(effects);
            }
            for machine in (0..MACHINES).filter(|machine| works(*machine)) {
                for (member, number) in self.machines[machine].work(STEP_US * 1_000) {
                    self.confirm(machine, member, number);
                }
            }
        }
    }

    fn fenced(&self) -> usize {
        self.service.members().fenced().count()
    }
}

/// All stand still for half a second in the middle of a storm, and are fenced. Once it is over they come back, at the rate at
/// which purges come all the time, and stay.
#[test]
fn what_is_told_of_fences_does_not_keep_those_behind_who_hear_it() {
    let mut world = World::new();
    world.run(1_000, ALL, 12);
    assert_eq!((world.fenced(), world.names), (0, 0));
    world.run(1_000, ALL, 120);
    // One after the other.
    for machine in 0..MACHINES {
        world.run(600, |other| other != machine, 120);
    }
    assert!(world.names > 0, "some were fenced");
    world.run(10_000, ALL, 12);
    assert_eq!(world.fenced(), 0, "after 10 s, {} names were told", world.names);
    let told = world.names;
    world.run(2_000, ALL, 12);
    assert_eq!((world.fenced(), world.names), (0, told), "and it stays so");
}

/// However long they flap, what a member hears of fences is bounded in names a second: it has to fit beside all else.
#[test]
fn names_of_fenced_members_come_at_a_pace() {
    let mut world = World::new();
    // Quick machines: nothing but the pace holds anything up.
    (world.an_item, world.a_name) = (1_000, 0);
    for _ in 0..25 {
        world.run(300, |_| false, 12);
        world.run(100, ALL, 12);
    }
    // 500 names a second are freed, and the first ones at once; each that was freed may be fenced again.
    let most = 2 * (10 * 500 + MACHINES * MEMBERS) + MACHINES * MEMBERS;
    assert!(world.names <= most, "{} names in 10 s, {most} at most", world.names);
}
