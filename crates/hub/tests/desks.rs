//! Hubs without sockets: many desks and an archive in virtual time, on versions that differ, with messages that take
//! their time and hubs that die. The same seed plays the same way.
use bytes::Bytes;
use harestage::state::CacheStatus;
use harestage::time::{Moment, Span};
use harestage_hub::desk::{Ask, Bounds, Desk, Keeping, News, Order};
use harestage_hub::store::Named;
use harestage_purge::scope::CompiledScope;
use harestage_shape::archive_share::RateShare;
use harestage_shape::config::{ArchiveConfig, HubConfig, ShapeConfig};
use harestage_shape::wait_cycles::WaitCycle;
use harestage_wire::fields::HexId;
use harestage_wire::node::{Answer, AnswerStatus, CopyTag, IncomingRequest, OutgoingAnswer};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

const CONTENT: &[u8] = b"clip";

fn hub_form(name: &str, up: &[&str]) -> HubConfig {
    HubConfig {
        name: name.into(),
        address: "127.0.0.1:1".into(),
        site: String::new(),
        capacity: 1_000.0,
        passes: 0.5,
        since_ms: 0,
        cold_from: 0.1,
        cold_ms: 1,
        falls_at: 2.0,
        falls_within_ms: 1_000,
        up: up.iter().map(|up| up.to_string()).collect(),
    }
}

fn form(version: u64, hubs: &[(&str, &[&str])]) -> ShapeConfig {
    let archive = ArchiveConfig {
        name: "archive".into(),
        address: "127.0.0.1:2".into(),
        capacity: 400.0,
        stops_at: 2.5,
        stops_within_ms: 3_000,
    };
    let hubs = hubs.iter().map(|(name, up)| hub_form(name, up)).collect();
    ShapeConfig { version, archive, hubs, branches: Vec::new(), links: Vec::new() }
}

fn tops(version: u64, names: &[&str]) -> ShapeConfig {
    let hubs: Vec<(&str, &[&str])> = names.iter().map(|name| (*name, &["archive"][..])).collect();
    form(version, &hubs)
}

#[derive(Clone)]
enum Message {
    News(News),
    /// To the archive: from whom, under which pull, what.
    Fetch(String, u64, Ask),
}

struct Net {
    seed: u64,
    drawn: u64,
    now: u64,
    desks: BTreeMap<String, Desk>,
    dead: HashSet<String>,
    cut: HashSet<(String, String)>,
    wires: BTreeMap<(u64, u64), (String, String, Message)>,
    free_at: HashMap<(String, String), u64>,
    sent: u64,
    /// Pulls between hubs: the puller's number and name, by the id that the pulled sees.
    pulls: HashMap<(String, HexId), (String, u64)>,
    conns: HashMap<u64, String>,
    cancelled: HashSet<(String, u64)>,
    fetches: Vec<(u64, u64, String)>,
    fetch_takes: u64,
    answers: Vec<(u64, OutgoingAnswer)>,
    broke: Vec<(u64, String, WaitCycle)>,
    /// When the archive changed an object last, in virtual microseconds.
    dated: HashMap<u64, u64>,
}

const START: u64 = 10_000_000;

impl Net {
    fn new(names: &[&str], seed: u64) -> Net {
        let bounds = Bounds { store_bytes: 1 << 20, fills: 1_000, waiters: 4_000 };
        let keeping = Keeping { fresh: None, grace: Span::ZERO, benefit: 1.0 };
        let contents = HashMap::from([(Bytes::from_static(CONTENT), keeping)]);
        let desk = |name: &&str| {
            let desk = Desk::open(name, bounds.clone(), contents.clone(), Moment::at_micros(START));
            (name.to_string(), desk)
        };
        Net {
            seed,
            drawn: 0,
            now: START,
            desks: names.iter().map(desk).collect(),
            dead: HashSet::new(),
            cut: HashSet::new(),
            wires: BTreeMap::new(),
            free_at: HashMap::new(),
            sent: 0,
            pulls: HashMap::new(),
            conns: HashMap::new(),
            cancelled: HashSet::new(),
            fetches: Vec::new(),
            fetch_takes: 20_000,
            answers: Vec::new(),
            broke: Vec::new(),
            dated: HashMap::new(),
        }
    }

    fn chance(&mut self, below: u64) -> u64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        hasher.finish() % below
    }

    fn at(&self) -> Moment {
        Moment::at_micros(self.now)
    }

    fn send(&mut self, from: &str, to: &str, message: Message) {
        if self.cut.contains(&(from.into(), to.into())) {
            return;
        }
        let late = self.now + 500 + self.chance(20_000);
        let free = self.free_at.entry((from.into(), to.into())).or_insert(0);
        *free = late.max(*free + 1);
        self.sent += 1;
        self.wires.insert((*free, self.sent), (from.into(), to.into(), message));
    }

    fn tell(&mut self, name: &str, form: &ShapeConfig) {
        self.step(name, vec![News::Told(Box::new(form.clone()))]);
        // Room at the archive for all of a test: the gate has tests of its own.
        let part = RateShare { rate: 10_000.0, floor: 10_000.0, number: form.version };
        self.step(name, vec![News::Part { part, asked: self.at() }]);
    }

    /// A client's pull, straight at a hub; its number stands for its connection.
    fn ask(&mut self, hub: &str, object: u64, no: u64) {
        let asked = asked(object, 4_000, no);
        self.step(hub, vec![News::Asked { conn: no, asked: Box::new(asked) }]);
    }

    fn step(&mut self, name: &str, news: Vec<News>) {
        let now = self.at();
        let Some(desk) = self.desks.get_mut(name).filter(|_| !self.dead.contains(name)) else { return };
        let orders = desk.step(now, news.into_iter());
        orders.into_iter().for_each(|order| self.carry_out(name, order));
    }

    fn carry_out(&mut self, name: &str, order: Order) {
        match order {
            // These desks have no disk, no site that is lost, and no keeper.
            Order::Look { .. }
            | Order::Turned(_)
            | Order::StartAnew(_)
            | Order::Started(_)
            | Order::Read { .. }
            | Order::Keep { .. }
            | Order::Unkeep { .. }
            | Order::Mark(_) => {}
            Order::Answer { conn, given } => match self.pulls.remove(&(name.into(), given.id)) {
                Some((puller, pull)) => {
                    let answer = Answer {
                        id: given.id,
                        status: given.status,
                        cache_status: given.cache_status,
                        first_byte_ms: given.first_byte_ms,
                        body: given.body,
                    };
                    self.send(
                        name,
                        &puller,
                        Message::News(News::Answered { pull, answer, copy: given.copy }),
                    );
                }
                None => self.answers.push((conn, given)),
            },
            Order::Pull { pull, to, ask } if to.name == "archive" => {
                assert_eq!(ask.way, None, "the archive is not ours, and knows no such field");
                self.send(name, "archive", Message::Fetch(name.into(), pull, ask));
            }
            Order::Pull { pull, to, ask } => {
                if self.dead.contains(&to.name) {
                    return self.send(&to.name, name, Message::News(News::Lost { pull }));
                }
                let number = name.bytes().fold(0, |n, b| n * 31 + u64::from(b)) * 100_000 + pull;
                let id = HexId::from_u64(number);
                self.pulls.insert((to.name.clone(), id), (name.into(), pull));
                let conn = 1_000_000 + name.bytes().map(u64::from).sum::<u64>();
                self.conns.insert(conn, name.into());
                let asked = IncomingRequest {
                    id,
                    content: ask.content,
                    object: HexId::from_u64(ask.object),
                    part: ask.part,
                    timeout_ms: ask.waits.as_micros().div_ceil(1_000),
                    source: (!ask.only_held).then(|| Bytes::from_static(b"up")),
                    rank: 0,
                    max_age_ms: ask.oldest_ms,
                    join: true,
                    only_if_cached: ask.only_held,
                    no_store: ask.no_copy,
                    stale_while_revalidate: false,
                    known_digest: None,
                    body: Bytes::new(),
                    route: ask.way,
                    mark: None,
                };
                self.send(name, &to.name, Message::News(News::Asked { conn, asked: Box::new(asked) }));
            }
            Order::Cancel { pull } => {
                self.cancelled.insert((name.into(), pull));
                let found = self.pulls.iter().find(|(_, p)| **p == (name.to_string(), pull));
                let Some((to, id)) = found.map(|(key, _)| key.clone()) else { return };
                self.pulls.remove(&(to.clone(), id));
                let conn = 1_000_000 + name.bytes().map(u64::from).sum::<u64>();
                self.send(name, &to, Message::News(News::Cancelled { conn, id }));
            }
            Order::Chase { to, chase } => self.send(name, &to.name, Message::News(News::Chased(chase))),
            Order::Broke(knot) => self.broke.push((self.now, name.into(), knot)),
        }
    }

    fn deliver(&mut self, from: String, to: String, message: Message) {
        match message {
            Message::News(news) => self.step(&to, vec![news]),
            Message::Fetch(..) if from == "archive" => {}
            Message::Fetch(by, pull, ask) => {
                self.fetches.push((self.now, ask.object, by.clone()));
                let dated_ms = self.dated.get(&ask.object).copied().unwrap_or(self.now) / 1_000 + 1;
                let copy =
                    CopyTag { digest: Bytes::from(format!("d{}", dated_ms)), dated_ms, group: Some(3) };
                let answer = Answer {
                    id: HexId::from_u64(pull),
                    status: AnswerStatus::Fulfilled,
                    cache_status: CacheStatus::Unknown,
                    first_byte_ms: 0.0,
                    body: Bytes::from_static(b"bytes"),
                };
                let at = self.now + self.fetch_takes;
                self.sent += 1;
                let news = Message::News(News::Answered { pull, answer, copy: Some(copy) });
                self.wires.insert((at, self.sent), ("archive".into(), by, news));
            }
        }
    }

    fn run(&mut self, millis: u64) {
        let until = self.now + millis * 1_000;
        loop {
            let message = self.wires.first_key_value().map(|((at, _), _)| *at);
            let alive = self.desks.iter().filter(|(name, _)| !self.dead.contains(*name));
            let bell = alive.filter_map(|(_, desk)| desk.next_bell()).map(Moment::micros).min();
            let next = message.into_iter().chain(bell).min().unwrap_or(until);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            while let Some(first) = self.wires.first_entry().filter(|first| first.key().0 <= self.now) {
                let (from, to, message) = first.remove();
                self.deliver(from, to, message);
            }
            let names: Vec<String> = self.desks.keys().cloned().collect();
            names.iter().for_each(|name| self.step(name, Vec::new()));
        }
    }

    /// A process ends: its connections with it, which those that wait on it hear.
    fn kill(&mut self, name: &str) {
        self.dead.insert(name.into());
        let waiting: Vec<_> = self
            .pulls
            .iter()
            .filter(|((to, _), _)| to == name)
            .map(|(k, v)| (k.clone(), v.clone()))
            .collect();
        for (key, (puller, pull)) in waiting {
            self.pulls.remove(&key);
            self.send(name, &puller, Message::News(News::Lost { pull }));
        }
    }

    fn answered_well(&self, no: u64) -> bool {
        self.answers.iter().any(|(conn, given)| *conn == no && given.status == AnswerStatus::Fulfilled)
    }
}

fn asked(object: u64, waits_ms: u64, no: u64) -> IncomingRequest {
    IncomingRequest {
        id: HexId::from_u64(no),
        content: Bytes::from_static(CONTENT),
        object: HexId::from_u64(object),
        part: 0,
        timeout_ms: waits_ms,
        source: Some(Bytes::from_static(b"archive")),
        rank: 1,
        max_age_ms: None,
        join: true,
        only_if_cached: false,
        no_store: false,
        stale_while_revalidate: false,
        known_digest: None,
        body: Bytes::new(),
        route: None,
        mark: None,
    }
}

/// An object whose home, by the version that each hub is given, is the next hub in a ring.
fn ring_versions(names: &[&str]) -> Vec<ShapeConfig> {
    let next = |n: usize| names[(n + 1) % names.len()];
    (0..names.len())
        .map(|n| {
            let ups: Vec<(&str, Vec<&str>)> = names
                .iter()
                .enumerate()
                .map(|(m, name)| (*name, if m == n { vec![next(n)] } else { vec!["archive"] }))
                .collect();
            let hubs: Vec<(&str, &[&str])> = ups.iter().map(|(name, up)| (*name, up.as_slice())).collect();
            form(1 + n as u64, &hubs)
        })
        .collect()
}

#[test]
fn circles_of_waits_are_broken_once_and_all_are_fulfilled_by_one_fetch() {
    for names in [&["a", "b"][..], &["a", "b", "c"], &["d", "b", "e", "a", "c"]] {
        for seed in 0..60 {
            let mut net = Net::new(names, seed);
            for (name, form) in names.iter().zip(ring_versions(names)) {
                net.tell(name, &form);
            }
            for (n, name) in names.iter().enumerate() {
                net.ask(name, 7, n as u64 + 1);
                let wait = net.chance(6);
                net.run(wait);
            }
            let begun = net.now;
            net.run(1_500);
            assert!(
                (1..=names.len() as u64).all(|no| net.answered_well(no)),
                "{names:?} {seed}: {:?}",
                net.answers
            );
            assert_eq!(net.fetches.len(), 1, "{names:?} {seed}: {:?}", net.fetches);
            assert_eq!(net.broke.len(), 1, "{names:?} {seed}");
            let (at, _, knot) = &net.broke[0];
            assert!(*at < begun + 400_000 && knot.path.len() == names.len(), "{names:?} {seed}: {knot:?}");
        }
    }
}

/// Versions reach hubs at different times, in the middle of pulls: no object is fetched twice for one change.
#[test]
fn an_object_is_fetched_once_while_its_home_moves() {
    for seed in 0..40 {
        let mut net = Net::new(&["a", "b", "c"], seed);
        let (one, two) = (tops(1, &["a", "b"]), tops(2, &["a", "b", "c"]));
        ["a", "b", "c"].into_iter().for_each(|name| net.tell(name, &one));
        let mut no = 0;
        let told: Vec<u64> = (0..3).map(|_| net.chance(300)).collect();
        for ms in 0..400u64 {
            for (n, name) in ["a", "b", "c"].into_iter().enumerate() {
                if told[n] == ms {
                    net.tell(name, &two);
                }
            }
            if ms % 3 == 0 {
                no += 1;
                let (hub, object) = (["a", "b", "c"][net.chance(3) as usize], net.chance(60));
                net.ask(hub, object, no);
            }
            net.run(1);
        }
        net.run(3_000);
        let missed = (1..=no).filter(|no| !net.answered_well(*no)).count();
        assert_eq!(missed, 0, "{seed}: of {no}");
        let mut by_object: HashMap<u64, usize> = HashMap::new();
        net.fetches.iter().for_each(|(_, object, _)| *by_object.entry(*object).or_default() += 1);
        assert!(by_object.values().all(|n| *n == 1), "{seed}: {by_object:?}");
    }
}

/// A change of many steps: who was home before the first of them still has what nobody asked the new home for yet.
#[test]
fn a_home_that_moved_many_versions_ago_is_still_asked_first() {
    let mut net = Net::new(&["a", "b", "c"], 1);
    ["a", "b", "c"].into_iter().for_each(|name| net.tell(name, &tops(1, &["a", "b"])));
    (0..60).for_each(|object| net.ask("a", object, object + 1));
    net.run(500);
    for version in 2..30 {
        ["a", "b", "c"].into_iter().for_each(|name| net.tell(name, &tops(version, &["a", "b", "c"])));
        net.run(300);
    }
    (0..60).for_each(|object| net.ask("c", object, object + 101));
    net.run(500);
    assert!((101..161).all(|no| net.answered_well(no)));
    assert_eq!(net.fetches.len(), 60, "nothing is fetched again");
}

/// The old home dies while its right is being asked for, or while it fetches: nobody waits long, and what had been
/// fetched by others is not fetched again.
#[test]
fn a_home_that_dies_in_the_middle_delays_nobody_for_long() {
    for seed in 0..40 {
        let mut net = Net::new(&["a", "b", "c"], seed);
        let (one, two) = (tops(1, &["a", "b"]), tops(2, &["b", "c"]));
        ["a", "b", "c"].into_iter().for_each(|name| net.tell(name, &one));
        for object in 0..30 {
            net.ask(["a", "b"][object as usize % 2], object, object + 1);
        }
        let early = net.chance(40);
        net.run(early);
        ["b", "c"].into_iter().for_each(|name| net.tell(name, &two));
        for object in 0..30 {
            net.ask(["b", "c"][object as usize % 2], object, object + 101);
        }
        let then = net.chance(30);
        net.run(then);
        net.kill("a");
        let died = net.now;
        net.run(3_000);
        let missed: Vec<u64> = (101..131).filter(|no| !net.answered_well(*no)).collect();
        assert!(missed.is_empty(), "{seed}: {missed:?}");
        let mut alive: HashMap<u64, usize> = HashMap::new();
        let by_living = net.fetches.iter().filter(|(_, _, by)| by != "a");
        by_living.for_each(|(_, object, _)| *alive.entry(*object).or_default() += 1);
        assert!(alive.values().all(|n| *n == 1), "{seed}: {alive:?}");
        assert!(net.fetches.iter().all(|(at, _, _)| *at < died + 1_500_000), "{seed}");
    }
}

#[test]
fn a_cancel_reaches_the_archive_when_nobody_waits_any_more() {
    let mut net = Net::new(&["a", "b"], 1);
    net.fetch_takes = 1_000_000;
    let shape = form(1, &[("a", &["b"]), ("b", &["archive"])]);
    ["a", "b"].into_iter().for_each(|name| net.tell(name, &shape));
    net.ask("a", 5, 1);
    net.ask("a", 5, 2);
    net.run(100);
    net.step("a", vec![News::Cancelled { conn: 1, id: HexId::from_u64(1) }]);
    net.run(100);
    assert_eq!(net.desks["b"].fills(), 1, "the second still waits");
    net.step("a", vec![News::Gone { conn: 2 }]);
    net.run(100);
    assert_eq!((net.desks["a"].fills(), net.desks["b"].fills()), (0, 0));
    assert!(net.cancelled.contains(&("b".to_string(), 1)));
}

/// A purge comes while a copy from before it is on its way: that copy is neither kept nor given on.
#[test]
fn a_copy_from_before_a_purge_is_fetched_again() {
    let mut net = Net::new(&["a"], 1);
    net.tell("a", &tops(1, &["a"]));
    net.dated.insert(5, net.now - 1_000_000);
    net.ask("a", 5, 1);
    net.run(25);
    let at = net.at();
    net.dated.insert(5, net.now + 1_000);
    net.step("a", vec![News::Purged { named: Named::Group(3), at }]);
    net.run(200);
    let (_, given) = net.answers.iter().find(|(no, _)| *no == 1).unwrap();
    let dated = given.copy.as_ref().unwrap().dated_ms;
    assert!(given.status == AnswerStatus::Fulfilled && dated * 1_000 > at.micros(), "{given:?}");
    assert_eq!(net.fetches.len(), 2);
}

#[test]
fn what_a_pull_says_is_honoured() {
    let mut net = Net::new(&["a"], 1);
    net.tell("a", &tops(1, &["a"]));
    let ask = |net: &mut Net, no: u64, object: u64, change: &dyn Fn(&mut IncomingRequest)| {
        let mut asked = asked(object, 2_000, no);
        change(&mut asked);
        net.step("a", vec![News::Asked { conn: no, asked: Box::new(asked) }]);
        net.run(100);
        let found = net.answers.iter().rev().find(|(conn, _)| *conn == no).unwrap();
        (found.1.status, found.1.cache_status)
    };
    assert_eq!(
        ask(&mut net, 1, 1, &|a| a.source = None),
        (AnswerStatus::NotFound, CacheStatus::Unknown),
        "no source: no fill"
    );
    assert_eq!(
        ask(&mut net, 2, 1, &|a| a.only_if_cached = true),
        (AnswerStatus::NotFound, CacheStatus::Unknown)
    );
    assert_eq!(
        ask(&mut net, 3, 1, &|a| a.no_store = true),
        (AnswerStatus::Fulfilled, CacheStatus::FromOrigin)
    );
    assert_eq!(
        ask(&mut net, 4, 1, &|a| a.only_if_cached = true),
        (AnswerStatus::NotFound, CacheStatus::Unknown),
        "it was not kept"
    );
    assert_eq!(ask(&mut net, 5, 1, &|_| {}), (AnswerStatus::Fulfilled, CacheStatus::FromOrigin));
    assert_eq!(
        ask(&mut net, 6, 1, &|a| a.only_if_cached = true),
        (AnswerStatus::Fulfilled, CacheStatus::Hit)
    );
    let copy = net.answers.last().unwrap().1.copy.clone().unwrap();
    assert_eq!(copy.group, None, "a cache of the platform knows no such field");
    let digest = copy.digest;
    assert_eq!(
        ask(&mut net, 7, 1, &|a| a.known_digest = Some(digest.clone())),
        (AnswerStatus::NotModified, CacheStatus::Hit)
    );
    assert_eq!(
        ask(&mut net, 8, 1, &|a| a.max_age_ms = Some(20)),
        (AnswerStatus::Fulfilled, CacheStatus::FromOrigin),
        "too old"
    );
    let body = |a: &mut IncomingRequest| a.body = Bytes::from_static(b"filing");
    assert_eq!(
        ask(&mut net, 9, 1, &body),
        (AnswerStatus::Busy, CacheStatus::SourceRefused),
        "no hub runs a write"
    );
}

/// An ageing copy is given at once where the pull allows its age, and renewed behind where it asks for that.
#[test]
fn a_renewal_behind_an_answer_brings_a_younger_copy() {
    let mut net = Net::new(&["a"], 1);
    let page = Keeping { fresh: Some(Span::millis(500)), grace: Span::millis(5_000), benefit: 1.0 };
    let contents = HashMap::from([(Bytes::from_static(CONTENT), page)]);
    let bounds = Bounds { store_bytes: 1 << 20, fills: 10, waiters: 40 };
    net.desks.insert("a".into(), Desk::open("a", bounds, contents, net.at()));
    net.tell("a", &tops(1, &["a"]));
    net.ask("a", 1, 1);
    net.run(900);
    let aged = |net: &mut Net, no: u64, renew: bool| {
        let mut asked = asked(1, 2_000, no);
        (asked.max_age_ms, asked.stale_while_revalidate) = (Some(5_000), renew);
        net.step("a", vec![News::Asked { conn: no, asked: Box::new(asked) }]);
        net.run(200);
        net.answers.iter().find(|(conn, _)| *conn == no).map(|(_, given)| given.cache_status)
    };
    assert_eq!(aged(&mut net, 2, false), Some(CacheStatus::Stale));
    assert_eq!(net.fetches.len(), 1, "nobody asked for a renewal");
    assert_eq!(aged(&mut net, 3, true), Some(CacheStatus::Stale), "the answer does not wait for it");
    assert_eq!(net.fetches.len(), 2);
    assert_eq!(aged(&mut net, 4, true), Some(CacheStatus::Hit));
    assert_eq!((net.fetches.len(), net.desks["a"].fills()), (2, 0));
}

/// Bounds hold: what comes past them is turned away at once.
#[test]
fn fills_past_the_bound_are_turned_away() {
    let mut net = Net::new(&["a"], 1);
    net.fetch_takes = 3_000_000;
    net.tell("a", &tops(1, &["a"]));
    (0..1_200).for_each(|object| net.ask("a", object, object + 1));
    let full = net.answers.iter().filter(|(_, given)| given.status == AnswerStatus::Busy).count();
    assert_eq!((full, net.desks["a"].fills()), (200, 1_000));
}

/// A purge that `behind` does not hear of: it is fenced for that. Its moment.
fn purge_behind(net: &mut Net, knows: &str, behind: &str) -> u64 {
    let (scope, at) = (Box::new(CompiledScope::Everything), net.at());
    let fenced = BTreeSet::from([behind.to_string()]);
    net.step(knows, vec![News::Covered { scope, at }, News::Fenced(fenced)]);
    at.micros()
}

/// Guards against a purged copy from a fenced hub that staff took out of the shape: former homes are asked for a while.
#[test]
fn a_fenced_home_that_left_the_shape_gives_nothing() {
    let mut net = Net::new(&["a", "b"], 1);
    ["a", "b"].into_iter().for_each(|name| net.tell(name, &tops(1, &["a", "b"])));
    (0..40).for_each(|object| net.ask("a", object, object + 1));
    net.run(500);
    let purged_at = purge_behind(&mut net, "b", "a");
    // Past the time for which hubs remember a purge; the next one makes them forget it.
    net.run(130_000);
    let (scope, at) = (Box::new(CompiledScope::Object(1_000)), net.at());
    net.step("b", vec![News::Covered { scope, at }]);
    net.tell("b", &tops(2, &["b"]));
    (0..40).for_each(|object| net.ask("b", object, object + 101));
    net.run(2_000);
    let given = net.answers.iter().filter(|(no, given)| *no > 100 && given.status == AnswerStatus::Fulfilled);
    let dated: Vec<u64> = given.map(|(_, given)| given.copy.as_ref().unwrap().dated_ms * 1_000).collect();
    let old = dated.iter().filter(|dated| **dated <= purged_at).count();
    assert_eq!((dated.len(), old), (40, 0));
}

/// Guards against a purged copy from a fenced hub that had been given the right to fetch.
#[test]
fn a_fenced_hub_with_the_right_to_fetch_is_not_waited_for() {
    let mut net = Net::new(&["a", "b"], 1);
    ["a", "b"].into_iter().for_each(|name| net.tell(name, &tops(1, &["b"])));
    ["a", "b"].into_iter().for_each(|name| net.tell(name, &tops(2, &["a", "b"])));
    net.fetch_takes = 900_000;
    (0..40).for_each(|object| net.ask("a", object, object + 1));
    net.run(200);
    let ceded = net.fetches.iter().filter(|(_, _, by)| by == "a").count();
    assert!(ceded > 5, "the home of {ceded} objects moved to the hub that asks");
    purge_behind(&mut net, "b", "a");
    (0..40).for_each(|object| net.ask("b", object, object + 101));
    for _ in 0..30 {
        net.run(100);
        let waits = net.pulls.iter().filter(|((at, _), (by, _))| at == "a" && by == "b").count();
        assert_eq!(waits, 0, "fills of b that wait for a");
    }
    assert!((101..141).all(|no| net.answered_well(no)));
}
