//! Cycles of waiting fills, in a network without sockets: hubs on different versions, messages that are late
//! or duplicated. Each cycle is detected, and broken once by one hub.
use harestage::time::{Moment, Span};
use harestage_shape::wait_cycles::{Action, Chase, Key, WaitCycle, WaitTracker};
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

const KEY: Key = (7, 0);

enum Message {
    /// A pull, with the path that it came by.
    Pull(Key, Vec<String>),
    Chase(Chase),
}

/// Hubs that each fill a key from the one that the test names, or from the archive.
struct Network {
    seed: u64,
    drawn: u64,
    now: u64,
    trackers: BTreeMap<String, WaitTracker>,
    filling: HashMap<(String, Key), String>,
    upstreams: HashMap<(String, Key), String>,
    /// Messages in order for each pair of hubs, as a connection delivers them.
    in_transit: BTreeMap<(u64, u64), (String, String, Message)>,
    free_at: HashMap<(String, String), u64>,
    broken: Vec<(u64, WaitCycle)>,
    messages: usize,
    duplicate_messages: bool,
}

impl Network {
    fn new(names: &[&str], seed: u64) -> Network {
        Network {
            seed,
            drawn: 0,
            now: 0,
            trackers: names.iter().map(|name| (name.to_string(), WaitTracker::new(name))).collect(),
            filling: HashMap::new(),
            upstreams: HashMap::new(),
            in_transit: BTreeMap::new(),
            free_at: HashMap::new(),
            broken: Vec::new(),
            messages: 0,
            duplicate_messages: false,
        }
    }

    fn chance(&mut self, below: u64) -> u64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        hasher.finish() % below
    }

    fn send(&mut self, from: &str, to: &str, message: Message) {
        let late = self.now + 1 + self.chance(40);
        let free = self.free_at.entry((from.into(), to.into())).or_insert(0);
        *free = late.max(*free + 1);
        let (at, number) = (*free, self.messages as u64);
        self.messages += 1;
        self.in_transit.insert((at, number), (from.into(), to.into(), message));
    }

    /// A client or another hub pulls from a hub.
    fn pull(&mut self, hub: &str, key: Key, path: Vec<String>) {
        let now = Moment::at_micros(self.now * 1_000);
        let at = (hub.to_string(), key);
        if self.filling.contains_key(&at) {
            let action = self.trackers.get_mut(hub).unwrap().on_join(key, &path, now);
            return self.apply(hub, action);
        }
        let upstream = self.upstreams.get(&at).cloned().unwrap_or("archive".into());
        self.fill(hub, key, &upstream, path);
    }

    fn fill(&mut self, hub: &str, key: Key, upstream: &str, path: Vec<String>) {
        let now = Moment::at_micros(self.now * 1_000);
        let target = (upstream != "archive").then_some(upstream);
        self.filling.insert((hub.into(), key), upstream.into());
        let tracker = self.trackers.get_mut(hub).unwrap();
        tracker.wait_started(key, target, now);
        let action = tracker.on_join(key, &path, now);
        if let Some(upstream) = target {
            let own = path.iter().cloned().chain([hub.to_string()]).collect();
            self.send(hub, upstream, Message::Pull(key, own));
        }
        // The pull itself carries the path on, so only a cycle that the path closes has to be acted on here.
        if matches!(action, Some(Action::Leave { .. })) {
            self.apply(hub, action);
        }
    }

    fn apply(&mut self, hub: &str, action: Option<Action>) {
        match action {
            Some(Action::Send { to, chase }) => {
                if self.duplicate_messages {
                    self.send(hub, &to, Message::Chase(chase.clone()));
                }
                self.send(hub, &to, Message::Chase(chase));
            }
            Some(Action::Leave { cycle }) => {
                let key = cycle.key;
                self.broken.push((self.now, cycle));
                self.fill(hub, key, "archive", Vec::new());
            }
            Some(Action::TooLong { .. }) => panic!("no path in this test is too long"),
            None => {}
        }
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += 1;
            while let Some(entry) = self.in_transit.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (_, to, message) = entry.remove();
                match message {
                    Message::Pull(key, path) => self.pull(&to, key, path),
                    Message::Chase(chase) => {
                        let now = Moment::at_micros(self.now * 1_000);
                        let action = self.trackers.get_mut(&to).unwrap().on_chase(chase, now);
                        self.apply(&to, action);
                    }
                }
            }
            if self.now.is_multiple_of(50) {
                let now = Moment::at_micros(self.now * 1_000);
                for hub in self.trackers.keys().cloned().collect::<Vec<_>>() {
                    for action in self.trackers.get_mut(&hub).unwrap().tick(now) {
                        self.apply(&hub, Some(action));
                    }
                }
            }
        }
    }

    /// Whether every wait ends at the archive.
    fn all_end(&self) -> bool {
        self.filling.keys().all(|(hub, key)| {
            let (mut at, mut steps) = (hub.clone(), 0);
            while at != "archive" && steps < 50 {
                at = self.filling.get(&(at, *key)).cloned().unwrap_or("archive".into());
                steps += 1;
            }
            at == "archive"
        })
    }
}

fn ring(names: &[&str], seed: u64) -> Network {
    let mut network = Network::new(names, seed);
    for (number, name) in names.iter().enumerate() {
        let next = names[(number + 1) % names.len()];
        network.upstreams.insert((name.to_string(), KEY), next.to_string());
    }
    network
}

#[test]
fn cycles_of_two_three_and_five_are_broken_once_by_one_hub() {
    for names in [&["a", "b"][..], &["c", "a", "b"], &["d", "b", "e", "a", "c"]] {
        for seed in 0..200 {
            let mut network = ring(names, seed);
            // All start within the time that a message takes, so that every hub joins a fill under way.
            for name in names {
                let wait = network.chance(30);
                network.run(network.now + wait);
                network.pull(name, KEY, Vec::new());
            }
            network.run(network.now + 1_000);
            assert_eq!(network.broken.len(), 1, "{names:?} {seed}: {:?}", network.broken);
            let (at, cycle) = &network.broken[0];
            assert_eq!(cycle.path.iter().max(), cycle.path.first());
            assert_eq!(cycle.path.len(), names.len());
            assert!(network.all_end() && *at < 600, "{names:?} {seed} at {at}");
        }
    }
}

#[test]
fn duplicate_messages_break_no_cycle_twice() {
    for seed in 0..100 {
        let mut network = ring(&["a", "b", "c"], seed);
        network.duplicate_messages = true;
        ["a", "b", "c"].into_iter().for_each(|name| network.pull(name, KEY, Vec::new()));
        network.run(1_000);
        assert!(network.broken.len() == 1 && network.all_end(), "{seed}: {:?}", network.broken);
    }
}

/// Only some objects are part of the cycle. Others are left alone, even at the same hubs.
#[test]
fn other_objects_and_hubs_outside_the_cycle_keep_their_waits() {
    let mut network = ring(&["a", "b", "c"], 3);
    for key in [(8, 0), (7, 1)] {
        network.upstreams.insert(("a".into(), key), "b".into());
        network.upstreams.insert(("b".into(), key), "c".into());
    }
    network.trackers.insert("far".into(), WaitTracker::new("far"));
    network.upstreams.insert(("far".into(), KEY), "a".into());
    for key in [KEY, (8, 0), (7, 1)] {
        ["far", "a", "b", "c"].into_iter().for_each(|name| network.pull(name, key, Vec::new()));
    }
    network.run(1_000);
    assert_eq!(network.broken.len(), 1);
    assert_eq!(
        (network.broken[0].1.key, &network.broken[0].1.path),
        (KEY, &vec!["c".into(), "a".into(), "b".into()])
    );
    assert_eq!(network.filling[&("far".to_string(), KEY)], "a", "a wait outside the cycle is not affected");
    assert_eq!(network.filling[&("a".to_string(), (8, 0))], "b");
}

/// The same cycle for the next object is detected again, and reported with the number of earlier times.
#[test]
fn a_recurring_cycle_is_broken_again_and_counted() {
    let mut network = ring(&["a", "b"], 5);
    for object in 20..24 {
        network.upstreams.insert(("a".into(), (object, 0)), "b".into());
        network.upstreams.insert(("b".into(), (object, 0)), "a".into());
        network.pull("a", (object, 0), Vec::new());
        network.pull("b", (object, 0), Vec::new());
        network.run(network.now + 500);
    }
    assert_eq!(network.broken.iter().map(|(_, cycle)| cycle.seen_before).collect::<Vec<_>>(), [0, 1, 2, 3]);
    assert!(network.all_end());
}

/// `b` is also known as `x`, and `a` fills from it under that name.
#[test]
fn a_hub_with_two_names_is_one_hub() {
    let (now, key) = (Moment::at_micros(0), KEY);
    let mut a = WaitTracker::new("a");
    a.add_alias("x", "b");
    a.wait_started(key, Some("x"), now);
    let Some(Action::Send { to, chase }) = a.on_join(key, &["b".into()], now) else { panic!() };
    assert_eq!((to.as_str(), chase.path.clone()), ("x", vec!["b".into(), "a".into()]));
    let mut b = WaitTracker::new("b");
    b.wait_started(key, Some("a"), now);
    let Some(Action::Leave { cycle }) = b.on_chase(chase, now + Span::millis(9)) else { panic!() };
    assert_eq!((cycle.path, cycle.waited), (vec!["b".to_string(), "a".to_string()], Span::millis(9)));
    // A hub that waits for itself under its other name.
    let mut b = WaitTracker::new("b");
    b.add_alias("x", "b");
    b.wait_started(key, Some("x"), now);
    let Some(Action::Leave { cycle }) = b.on_join(key, &["b".into()], now) else { panic!() };
    assert_eq!(cycle.path, ["b"]);
}

/// A chase that was on its way while the fill moved elsewhere must not break anything.
#[test]
fn a_cycle_that_no_longer_exists_breaks_nothing() {
    let (now, key) = (Moment::at_micros(0), KEY);
    let mut c = WaitTracker::new("c");
    c.wait_started(key, Some("a"), now);
    c.wait_started(key, Some("d"), now);
    let late = Chase { key, path: vec!["c".into(), "a".into(), "b".into()], closed: false };
    assert_eq!(c.on_chase(late.clone(), now), None);
    c.wait_started(key, None, now);
    assert_eq!(c.on_chase(late.clone(), now), None);
    c.wait_ended(key);
    assert_eq!((c.on_chase(late, now), c.waiting_count()), (None, 0));
}

/// A chase that was lost with its connection is sent again.
#[test]
fn a_fill_that_still_waits_is_chased_again() {
    let mut a = WaitTracker::new("a");
    a.wait_started(KEY, Some("b"), Moment::at_micros(0));
    assert!(a.tick(Moment::at_micros(900_000)).is_empty(), "no hub waits for it");
    a.on_join(KEY, &["c".into()], Moment::at_micros(0));
    assert_eq!(a.tick(Moment::at_micros(900_000)).len(), 1);
    assert!(a.tick(Moment::at_micros(950_000)).is_empty());
}
