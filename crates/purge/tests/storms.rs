//! Members on busy machines: each fence item costs them time in proportion to the list of fenced members,
//! during which they fall behind with all else. The fences sent during a storm must not prolong it.
use harestage::time::Moment;
use harestage_purge::messages::{Ack, Past};
use harestage_purge::scope::Scope;
use harestage_purge::sequencer::{Item, Payload, RateLimit};
use harestage_purge::service::{Effect, Service};
use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

const LIMIT: RateLimit = RateLimit { rate: 1e6, burst: 1e6 };
/// Number of machines, and of members on each, which are served one after the other.
const MACHINES: usize = 4;
const MEMBERS: usize = 60;
/// Cost of one item for one member in nanoseconds, and of a fence item per name on the list of fenced
/// members, which every member goes through.
const ITEM_NANOS: u64 = 70_000;
const NAME_NANOS: u64 = 7_000;
const STEP_US: u64 = 1_000;

const ALL: fn(usize) -> bool = |_| true;

#[derive(Default)]
struct Machine {
    /// Numbers that each member still has to apply, and their cost.
    queues: Vec<VecDeque<(u64, u64)>>,
    /// The member being served, and the time spent on it.
    serving: Option<usize>,
    spent: u64,
    random_draws: u64,
}

impl Machine {
    /// A random member that has something to apply.
    fn next(&mut self) -> Option<usize> {
        let waiting: Vec<usize> = (0..self.queues.len()).filter(|n| !self.queues[*n].is_empty()).collect();
        let mut hasher = DefaultHasher::new();
        self.random_draws += 1;
        self.random_draws.hash(&mut hasher);
        waiting.get(hasher.finish() as usize % waiting.len().max(1)).copied()
    }

    /// Works for a while. Returns which member has applied which number by then.
    fn work(&mut self, nanos: u64) -> Vec<(usize, u64)> {
        self.spent += nanos;
        let mut done = Vec::new();
        loop {
            self.serving = self.serving.or_else(|| self.next());
            let Some(member) = self.serving else {
                self.spent = 0;
                return done;
            };
            let Some((number, cost)) = self.queues[member].front().copied() else { return done };
            if self.spent < cost {
                return done;
            }
            self.spent -= cost;
            self.queues[member].pop_front();
            self.serving = None;
            done.push((member, number));
        }
    }
}

struct Simulation {
    service: Service,
    now: u64,
    machines: Vec<Machine>,
    submitted: u32,
    /// Number of names in fence items.
    fence_names: usize,
    fenced_list: BTreeSet<String>,
    item_nanos: u64,
    name_nanos: u64,
}

fn fence_names(payload: &Payload) -> usize {
    match payload {
        Payload::Purge { .. } => 0,
        Payload::Fenced { .. } | Payload::Freed { .. } => 1,
        Payload::FencedMany { members } | Payload::FreedMany { members } => members.len(),
    }
}

impl Simulation {
    fn new() -> Simulation {
        let (service, _) = Service::open(&[], LIMIT, Moment::at_micros(0));
        let machine = || Machine { queues: vec![VecDeque::new(); MEMBERS], ..Machine::default() };
        let mut simulation = Simulation {
            service,
            now: 0,
            machines: std::iter::repeat_with(machine).take(MACHINES).collect(),
            submitted: 0,
            fence_names: 0,
            fenced_list: BTreeSet::new(),
            item_nanos: ITEM_NANOS,
            name_nanos: NAME_NANOS,
        };
        for machine in 0..MACHINES {
            for member in 0..MEMBERS {
                simulation.acknowledge(machine, member, 0);
            }
        }
        simulation
    }

    fn at(&self) -> Moment {
        Moment::at_micros(self.now)
    }

    fn send(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            let Effect::Broadcast(Item { number, payload, .. }) = effect else { continue };
            let length_before = self.fenced_list.len();
            let changed = payload.apply_to_fenced(&mut self.fenced_list);
            let listed = if changed { length_before.max(self.fenced_list.len()) } else { 0 };
            let cost = self.item_nanos + self.name_nanos * listed as u64;
            self.fence_names += fence_names(&payload);
            for machine in &mut self.machines {
                machine.queues.iter_mut().for_each(|queue| queue.push_back((number, cost)));
            }
        }
    }

    fn acknowledge(&mut self, machine: usize, member: usize, applied: u64) {
        let member = format!("member-{machine}-{member}");
        let ack = Ack { member, incarnation: 1, applied, bootstrapped: true, past: Past::default() };
        let (_, effects) = self.service.on_ack(&ack, self.at()).expect("accepted");
        self.send(effects);
    }

    fn purge(&mut self) {
        self.submitted += 1;
        let scope = Scope::Group(self.submitted);
        let key = self.submitted.to_string();
        let (_, _, effects) = self.service.submit(scope, 0, &key, self.at()).expect("accepted");
        self.send(effects);
    }

    /// Runs for a while, in which the machines selected by `works` make progress.
    fn run(&mut self, ms: u64, is_running: impl Fn(usize) -> bool, per_second: u64) {
        let until = self.now + ms * 1_000;
        while self.now < until {
            self.now += STEP_US;
            if self.now % (1_000_000 / per_second) < STEP_US {
                self.purge();
            }
            if self.now % 20_000 < STEP_US {
                let effects = self.service.tick(self.at());
                self.send(effects);
            }
            for machine in (0..MACHINES).filter(|machine| is_running(*machine)) {
                for (member, number) in self.machines[machine].work(STEP_US * 1_000) {
                    self.acknowledge(machine, member, number);
                }
            }
        }
    }

    fn fenced(&self) -> usize {
        self.service.members().fenced().count()
    }
}

/// During a storm, each machine stands still for half a second and its members are fenced. Afterwards they
/// return at the usual rate of purges, and are not fenced again.
#[test]
fn fence_items_do_not_keep_busy_members_lagging() {
    let mut simulation = Simulation::new();
    simulation.run(1_000, ALL, 12);
    assert_eq!((simulation.fenced(), simulation.fence_names), (0, 0));
    simulation.run(1_000, ALL, 120);
    // One after the other.
    for machine in 0..MACHINES {
        simulation.run(600, |other| other != machine, 120);
    }
    assert!(simulation.fence_names > 0, "some were fenced");
    simulation.run(10_000, ALL, 12);
    assert_eq!(simulation.fenced(), 0, "after 10 s, {} names were sent", simulation.fence_names);
    let sent = simulation.fence_names;
    simulation.run(2_000, ALL, 12);
    assert_eq!((simulation.fenced(), simulation.fence_names), (0, sent), "and it stays so");
}

/// However long members flap, the names in fence items are limited to a rate that members can handle beside
/// all else.
#[test]
fn fenced_names_are_sent_at_a_limited_rate() {
    let mut simulation = Simulation::new();
    // With fast machines, only the rate limit holds anything up.
    (simulation.item_nanos, simulation.name_nanos) = (1_000, 0);
    for _ in 0..25 {
        simulation.run(300, |_| false, 12);
        simulation.run(100, ALL, 12);
    }
    // 500 names a second are freed, and the first ones at once. Each freed member may be fenced again.
    let max_names = 2 * (10 * 500 + MACHINES * MEMBERS) + MACHINES * MEMBERS;
    assert!(
        simulation.fence_names <= max_names,
        "{} names in 10 s, {max_names} at most",
        simulation.fence_names
    );
}
