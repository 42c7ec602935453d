//! Hollow members: each follows the service of purges over a real connection, as a hub or a branch's feed does, and keeps
//! only the numbers that it has applied. One process hosts some hundreds; it takes its orders as lines of JSON on its
//! standard input and ends when that closes.
use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;
use harestage_following::Line;
use harestage_following::purges::{Hands, follow};
use harestage_purge::follower::Action;
use harestage_purge::messages::Past;
use harestage_sockets::Spawner;
use harestage_sockets::clock::Clock;
use serde::{Deserialize, Serialize};
use slog::{Discard, Logger, o};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::BufRead;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Steps that one process keeps until it is asked for them: enough for a storm that fences everybody once.
const MOST_STEPS: usize = 4_000_000;
/// Lists of fenced members that one process has seen, at most.
const MOST_LISTS: usize = 16_384;
/// What a member may need to apply purges, at most, in microseconds.
const APPLIES_WITHIN_US: u64 = 4_000;

/// What a process of hollow members is started with.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    pub members: Vec<Hollow>,
    pub seed: u64,
    /// How far this process is made to believe that the wall clock stands elsewhere.
    #[serde(default)]
    pub clock_off_ms: i64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hollow {
    pub name: String,
    pub services: Vec<SocketAddr>,
}

/// What the parent wants; members are named by their places in the specification.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// These processes die, with all that they know.
    Kill(Vec<usize>),
    /// They start anew.
    Start(Vec<usize>),
    /// These neither read nor say anything, and go on serving what they have.
    Cut(Vec<usize>),
    Heal(Vec<usize>),
    /// All steps since the last time.
    Tell,
}

/// One thing that a member did, and when by its process's own clock, in Unix microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    pub at: u64,
    pub member: usize,
    pub what: Did,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Did {
    /// It has applied all up to that number, and serves.
    Has(u64),
    /// It takes nothing from those of this list any more, and from everybody else. Lists are told once, and stand here by
    /// their places: where all are fenced, a step for each member and each name would be the square of all.
    Fences(u32),
    /// It serves nothing.
    Gone,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Told {
    pub steps: Vec<Step>,
    /// Lists that were not told before; the first of all is the empty one.
    pub lists: Vec<BTreeSet<String>>,
    /// Steps that there was no room for: nothing can be said of the run.
    pub lost: u64,
}

/// Lists of those from whom nothing is taken, each kept once.
struct Lists {
    known: HashMap<BTreeSet<String>, u32>,
    new: Vec<BTreeSet<String>>,
}

impl Default for Lists {
    fn default() -> Lists {
        let none = BTreeSet::new();
        Lists { known: HashMap::from([(none.clone(), 0)]), new: vec![none] }
    }
}

impl Lists {
    /// None: there are too many.
    fn place(&mut self, list: BTreeSet<String>) -> Option<u32> {
        if let Some(place) = self.known.get(&list) {
            return Some(*place);
        }
        let place = self.known.len() as u32;
        (self.known.len() < MOST_LISTS).then(|| {
            self.new.push(list.clone());
            self.known.insert(list, place);
            place
        })
    }
}

struct Shared {
    clock: Clock,
    seed: u64,
    steps: RefCell<Vec<Step>>,
    lists: RefCell<Lists>,
    lost: Cell<u64>,
    members: Vec<Member>,
    changed: Event,
}

struct Member {
    name: String,
    services: Vec<SocketAddr>,
    runs: Cell<bool>,
    cut: Cell<bool>,
    starts: Cell<u64>,
}

impl Shared {
    fn note(&self, member: usize, what: Did) {
        let mut steps = self.steps.borrow_mut();
        match steps.len() < MOST_STEPS {
            true => steps.push(Step { at: self.clock.now().micros(), member, what }),
            false => self.lost.set(self.lost.get() + 1),
        }
    }

    /// Returns once that is so.
    async fn until(&self, is: impl Fn() -> bool) {
        while !is() {
            let changed = self.changed.listen();
            if !is() {
                changed.await;
            }
        }
    }
}

struct Applies {
    shared: Rc<Shared>,
    member: usize,
    has: u64,
    ready: bool,
    applied: u64,
}

impl Hands for Applies {
    async fn apply(&mut self, acts: Vec<Action>, has: u64, ready: bool) {
        let own = &self.shared.members[self.member];
        self.shared.until(|| !own.cut.get()).await;
        if !acts.is_empty() {
            self.applied += 1;
            let mut hasher = DefaultHasher::new();
            (self.shared.seed, &own.name, self.applied).hash(&mut hasher);
            Timer::after(Duration::from_micros(hasher.finish() % APPLIES_WITHIN_US)).await;
            self.shared.until(|| !own.cut.get()).await;
        }
        for act in acts {
            let Action::SetFenced(fenced) = act else { continue };
            let place = self.shared.lists.borrow_mut().place(fenced);
            match place {
                Some(place) => self.shared.note(self.member, Did::Fences(place)),
                None => self.shared.lost.set(self.shared.lost.get() + 1),
            }
        }
        if ready && (has > self.has || !self.ready) {
            (self.has, self.ready) = (has, true);
            self.shared.note(self.member, Did::Has(has));
        }
    }
}

fn terms() -> Line {
    Line {
        connect: Duration::from_millis(400),
        silence: Duration::from_secs(3),
        pause: Duration::from_millis(120),
        report_every: Duration::from_millis(200),
        bytes: 8 << 20,
    }
}

async fn live(shared: Rc<Shared>, member: usize) {
    let own = &shared.members[member];
    loop {
        shared.until(|| own.runs.get()).await;
        own.starts.set(own.starts.get() + 1);
        let hands = Applies { shared: shared.clone(), member, has: 0, ready: false, applied: 0 };
        // No other start of this name may have the number: the clock goes on between two of them.
        let start = shared.clock.now().micros() * 8 + own.starts.get() % 8;
        let log = Logger::root(Discard, o!());
        let follows = follow(&own.name, start, Past::Cold, own.services.clone(), terms(), hands, log);
        or(follows, shared.until(|| !own.runs.get())).await;
        shared.note(member, Did::Gone);
    }
}

/// The main of a process of hollow members.
pub fn host(spec: &str, input: impl BufRead + Send + 'static) -> Result<(), String> {
    let spec: Spec = serde_json::from_str(spec).map_err(|why| format!("the specification: {why}"))?;
    harestage_sockets::clock::set_offset(spec.clock_off_ms);
    let member = |hollow: Hollow| Member {
        name: hollow.name,
        services: hollow.services,
        runs: Cell::new(true),
        cut: Cell::new(false),
        starts: Cell::new(0),
    };
    let shared = Rc::new(Shared {
        clock: Clock::start(),
        seed: spec.seed,
        steps: RefCell::default(),
        lists: RefCell::default(),
        lost: Cell::new(0),
        members: spec.members.into_iter().map(member).collect(),
        changed: Event::new(),
    });
    let (tell, orders) = async_channel::bounded(64);
    std::thread::spawn(move || {
        for line in input.lines().map_while(Result::ok) {
            if tell.send_blocking(line).is_err() {
                return;
            }
        }
    });
    let spawner = Spawner::default();
    for member in 0..shared.members.len() {
        spawner.spawn(live(shared.clone(), member));
    }
    spawner.block_on(async {
        while let Ok(line) = orders.recv().await {
            let order = serde_json::from_str(&line).map_err(|why| format!("order {line:?}: {why}"))?;
            obey(&shared, order);
        }
        Ok(())
    })
}

fn obey(shared: &Shared, order: Order) {
    let each = |members: &[usize], set: &dyn Fn(&Member)| {
        members.iter().filter_map(|n| shared.members.get(*n)).for_each(set);
        shared.changed.notify(usize::MAX);
    };
    match order {
        Order::Kill(members) => each(&members, &|member| member.runs.set(false)),
        Order::Start(members) => each(&members, &|member| member.runs.set(true)),
        Order::Cut(members) => each(&members, &|member| member.cut.set(true)),
        Order::Heal(members) => each(&members, &|member| member.cut.set(false)),
        Order::Tell => {
            let lists = std::mem::take(&mut shared.lists.borrow_mut().new);
            let told = Told { steps: shared.steps.take(), lists, lost: shared.lost.take() };
            println!("{}", serde_json::to_string(&told).unwrap_or_default());
        }
    }
}
