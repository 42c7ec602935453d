//! Fills that wait for each other, in a network without sockets: hubs that disagree, messages that are late or come
//! twice, and every circle found once and broken by one.
use harestage::time::{Moment, Span};
use harestage_shape::wait_cycles::{Action, Chase, Key, WaitCycle, WaitTracker};
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

const KEY: Key = (7, 0);

enum Message {
    /// A pull: who waits, and the path that it came by.
    Pull(Key, Vec<String>),
    Chase(Chase),
}

/// Hubs that each fill a key from the one that the test names, or from the archive.
struct Net {
    seed: u64,
    drawn: u64,
    now: u64,
    knots: BTreeMap<String, WaitTracker>,
    filling: HashMap<(String, Key), String>,
    ups: HashMap<(String, Key), String>,
    /// Per pair of hubs in order, as a connection delivers.
    wires: BTreeMap<(u64, u64), (String, String, Message)>,
    free_at: HashMap<(String, String), u64>,
    broken: Vec<(u64, WaitCycle)>,
    messages: usize,
    doubled: bool,
}

impl Net {
    fn new(names: &[&str], seed: u64) -> Net {
        Net {
            seed,
            drawn: 0,
            now: 0,
            knots: names.iter().map(|name| (name.to_string(), WaitTracker::new(name))).collect(),
            filling: HashMap::new(),
            ups: HashMap::new(),
            wires: BTreeMap::new(),
            free_at: HashMap::new(),
            broken: Vec::new(),
            messages: 0,
            doubled: false,
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
        let (at, n) = (*free, self.messages as u64);
        self.messages += 1;
        self.wires.insert((at, n), (from.into(), to.into(), message));
    }

    /// A client asks a hub, or a hub that has got a pull looks after it.
    fn asked(&mut self, hub: &str, key: Key, path: Vec<String>) {
        let now = Moment::at_micros(self.now * 1_000);
        let at = (hub.to_string(), key);
        if self.filling.contains_key(&at) {
            let act = self.knots.get_mut(hub).unwrap().on_join(key, &path, now);
            return self.act(hub, act);
        }
        let up = self.ups.get(&at).cloned().unwrap_or("archive".into());
        self.fill(hub, key, &up, path);
    }

    fn fill(&mut self, hub: &str, key: Key, up: &str, path: Vec<String>) {
        let now = Moment::at_micros(self.now * 1_000);
        let on = (up != "archive").then_some(up);
        self.filling.insert((hub.into(), key), up.into());
        let knots = self.knots.get_mut(hub).unwrap();
        knots.wait_started(key, on, now);
        let act = knots.on_join(key, &path, now);
        if let Some(up) = on {
            let own = path.iter().cloned().chain([hub.to_string()]).collect();
            self.send(hub, up, Message::Pull(key, own));
        }
        // The pull itself carries the path on, so that only what the path closes has to be acted on here.
        if matches!(act, Some(Action::Leave { .. })) {
            self.act(hub, act);
        }
    }

    fn act(&mut self, hub: &str, act: Option<Action>) {
        match act {
            Some(Action::Send { to, chase }) => {
                if self.doubled {
                    self.send(hub, &to, Message::Chase(chase.clone()));
                }
                self.send(hub, &to, Message::Chase(chase));
            }
            Some(Action::Leave { cycle }) => {
                let key = cycle.key;
                self.broken.push((self.now, cycle));
                self.fill(hub, key, "archive", Vec::new());
            }
            Some(Action::TooLong { .. }) => panic!("no path here is long"),
            None => {}
        }
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += 1;
            while let Some(entry) = self.wires.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (_, to, message) = entry.remove();
                match message {
                    Message::Pull(key, path) => self.asked(&to, key, path),
                    Message::Chase(chase) => {
                        let now = Moment::at_micros(self.now * 1_000);
                        let act = self.knots.get_mut(&to).unwrap().on_chase(chase, now);
                        self.act(&to, act);
                    }
                }
            }
            if self.now.is_multiple_of(50) {
                let now = Moment::at_micros(self.now * 1_000);
                for hub in self.knots.keys().cloned().collect::<Vec<_>>() {
                    for act in self.knots.get_mut(&hub).unwrap().tick(now) {
                        self.act(&hub, Some(act));
                    }
                }
            }
        }
    }

    /// Everyone's wait ends at the archive.
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

fn ring(names: &[&str], seed: u64) -> Net {
    let mut net = Net::new(names, seed);
    for (n, name) in names.iter().enumerate() {
        let next = names[(n + 1) % names.len()];
        net.ups.insert((name.to_string(), KEY), next.to_string());
    }
    net
}

#[test]
fn circles_of_two_three_and_five_are_broken_once_by_one() {
    for names in [&["a", "b"][..], &["c", "a", "b"], &["d", "b", "e", "a", "c"]] {
        for seed in 0..200 {
            let mut net = ring(names, seed);
            // All begin within the time that a message takes, so that every hub joins a fill under way.
            for name in names {
                let wait = net.chance(30);
                net.run(net.now + wait);
                net.asked(name, KEY, Vec::new());
            }
            net.run(net.now + 1_000);
            assert_eq!(net.broken.len(), 1, "{names:?} {seed}: {:?}", net.broken);
            let (at, knot) = &net.broken[0];
            assert_eq!(knot.path.iter().max(), knot.path.first());
            assert_eq!(knot.path.len(), names.len());
            assert!(net.all_end() && *at < 600, "{names:?} {seed} at {at}");
        }
    }
}

#[test]
fn messages_that_come_twice_break_nothing_twice() {
    for seed in 0..100 {
        let mut net = ring(&["a", "b", "c"], seed);
        net.doubled = true;
        ["a", "b", "c"].into_iter().for_each(|name| net.asked(name, KEY, Vec::new()));
        net.run(1_000);
        assert!(net.broken.len() == 1 && net.all_end(), "{seed}: {:?}", net.broken);
    }
}

/// Only some objects go round; those that do not are left alone, also at the same hubs.
#[test]
fn other_objects_and_hubs_outside_keep_their_waits() {
    let mut net = ring(&["a", "b", "c"], 3);
    for key in [(8, 0), (7, 1)] {
        net.ups.insert(("a".into(), key), "b".into());
        net.ups.insert(("b".into(), key), "c".into());
    }
    net.knots.insert("far".into(), WaitTracker::new("far"));
    net.ups.insert(("far".into(), KEY), "a".into());
    for key in [KEY, (8, 0), (7, 1)] {
        ["far", "a", "b", "c"].into_iter().for_each(|name| net.asked(name, key, Vec::new()));
    }
    net.run(1_000);
    assert_eq!(net.broken.len(), 1);
    assert_eq!(
        (net.broken[0].1.key, &net.broken[0].1.path),
        (KEY, &vec!["c".into(), "a".into(), "b".into()])
    );
    assert_eq!(net.filling[&("far".to_string(), KEY)], "a", "who waits outside the circle is not touched");
    assert_eq!(net.filling[&("a".to_string(), (8, 0))], "b");
}

/// The same circle again, for the next object: found again, and told as one that has come back.
#[test]
fn a_circle_that_comes_back_is_broken_again_and_known() {
    let mut net = ring(&["a", "b"], 5);
    for object in 20..24 {
        net.ups.insert(("a".into(), (object, 0)), "b".into());
        net.ups.insert(("b".into(), (object, 0)), "a".into());
        net.asked("a", (object, 0), Vec::new());
        net.asked("b", (object, 0), Vec::new());
        net.run(net.now + 500);
    }
    assert_eq!(net.broken.iter().map(|(_, knot)| knot.seen_before).collect::<Vec<_>>(), [0, 1, 2, 3]);
    assert!(net.all_end());
}

/// `b` is listed as `x` as well, and `a` fills from it under that name.
#[test]
fn a_hub_behind_two_names_is_one_hub() {
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

/// A chase that was under way while the fill went elsewhere must not break what is sound now.
#[test]
fn a_circle_that_is_over_breaks_nothing() {
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

/// A chase lost with its connection is sent again.
#[test]
fn what_still_waits_is_chased_again() {
    let mut a = WaitTracker::new("a");
    a.wait_started(KEY, Some("b"), Moment::at_micros(0));
    assert!(a.tick(Moment::at_micros(900_000)).is_empty(), "nobody waits for it");
    a.on_join(KEY, &["c".into()], Moment::at_micros(0));
    assert_eq!(a.tick(Moment::at_micros(900_000)).len(), 1);
    assert!(a.tick(Moment::at_micros(950_000)).is_empty());
}
