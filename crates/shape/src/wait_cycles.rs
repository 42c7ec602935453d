//! Fills that wait for each other in a circle.
//!
//! Each version of a shape is free of loops, but hubs are on different versions for moments, and then hub A fills an
//! object from B while B fills it from A. Where both join a fill that is under way no request goes round, so that a
//! path in requests alone never shows it. So each hub that lets another hub wait for one of its own fills sends a
//! chase after that fill: to the hub it waits for, which adds itself and sends it on. A chase that comes to a hub
//! which stands in its path already has gone round a circle (edge chasing, as Chandy, Misra and Haas describe it for
//! processes that wait for one answer). The last edge of a circle is a join, and its chase runs over all others.
//!
//! Whoever closes the circle need not be the one that breaks it: two chases may close it at the same time, and two
//! breaks would be two fetches. The circle itself is sent on round until it comes to its member with the greatest
//! name; that one alone leaves its wait and fetches for all. Nobody else's fill is touched.
use harestage::time::{Moment, Span};
use std::collections::HashMap;

/// An object and its part.
pub type Key = (u64, u32);

/// After it a fill that still waits is chased once more, in case a chase was lost with its connection.
const AGAIN: Span = Span::millis(200);
/// Places in a path at most; the wire refuses longer ones too.
pub const MAX_PATH_LEN: usize = 24;
/// Circles that are remembered, to tell one that comes back from a new one.
const MOST_REMEMBERED: usize = 256;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chase {
    pub key: Key,
    /// Those that wait, each for the next; the last waits for the one that the chase comes to.
    pub path: Vec<String>,
    /// The path is a circle: the last waits for the first.
    pub closed: bool,
}

/// What follows from a chase.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send it to the hub that the fill waits for.
    Send { to: String, chase: Chase },
    /// This hub's fill has to leave the hub that it waits for, and fetch for all in the circle.
    Leave { cycle: WaitCycle },
    /// The path is longer than any way should be, without coming round.
    TooLong { key: Key, path: Vec<String> },
}

/// A circle that was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitCycle {
    pub key: Key,
    /// From the one that breaks it round to the one that waits for it.
    pub path: Vec<String>,
    /// How long this hub's own fill had waited.
    pub waited: Span,
    /// How often this very circle was found before, for any object.
    pub seen_before: u32,
}

struct Wait {
    /// The name that the hub waited for was addressed by; none: the archive, which waits for nobody.
    on: Option<String>,
    since: Moment,
    chased: Moment,
    /// A hub waits for this fill: only then can it stand in a circle.
    waited_for: bool,
}

/// The waits of one hub.
pub struct WaitTracker {
    local_name: String,
    waits: HashMap<Key, Wait>,
    /// Own names of hubs that were addressed by another.
    aliases: HashMap<String, String>,
    cycle_counts: HashMap<Vec<String>, u32>,
}

impl WaitTracker {
    pub fn new(me: &str) -> WaitTracker {
        WaitTracker {
            local_name: me.into(),
            waits: HashMap::new(),
            aliases: HashMap::new(),
            cycle_counts: HashMap::new(),
        }
    }

    pub fn local_name(&self) -> &str {
        &self.local_name
    }

    /// The hub addressed by `addressed` calls itself `own`: one hub may stand behind two names.
    pub fn add_alias(&mut self, addressed: &str, own: &str) {
        if addressed != own {
            self.aliases.insert(addressed.into(), own.into());
        }
    }

    /// A fill begins to wait for a hub, or for the archive, after whatever it waited for before.
    pub fn wait_started(&mut self, key: Key, on: Option<&str>, now: Moment) {
        let waited_for = self.waits.get(&key).is_some_and(|wait| wait.waited_for);
        self.waits.insert(key, Wait { on: on.map(str::to_string), since: now, chased: now, waited_for });
    }

    pub fn wait_ended(&mut self, key: Key) {
        self.waits.remove(&key);
    }

    /// A pull that came through these hubs waits for a fill of this one from now on.
    pub fn on_join(&mut self, key: Key, path: &[String], now: Moment) -> Option<Action> {
        if let Some(wait) = self.waits.get_mut(&key) {
            wait.waited_for |= !path.is_empty();
        }
        if path.is_empty() {
            return None;
        }
        self.on_chase(Chase { key, path: path.to_vec(), closed: false }, now)
    }

    /// A chase has come here: the last of its path waits for this hub's fill.
    pub fn on_chase(&mut self, chase: Chase, now: Moment) -> Option<Action> {
        let wait = self.waits.get(&chase.key)?;
        let on = wait.on.clone()?;
        if let Some(at) = chase.path.iter().position(|name| *name == self.local_name) {
            let circle = if chase.closed { chase.path } else { chase.path[at..].to_vec() };
            return self.on_cycle(chase.key, circle, on, now);
        }
        if chase.closed {
            return None;
        }
        if chase.path.len() >= MAX_PATH_LEN {
            return Some(Action::TooLong { key: chase.key, path: chase.path });
        }
        let mut path = chase.path;
        path.push(self.local_name.clone());
        Some(Action::Send { to: on, chase: Chase { key: chase.key, path, closed: false } })
    }

    /// This hub stands in a circle. It breaks it, or sends it on to the one that does.
    fn on_cycle(&mut self, key: Key, circle: Vec<String>, on: String, now: Moment) -> Option<Action> {
        let at = circle.iter().position(|name| *name == self.local_name)?;
        // What the circle says of this hub has to be so still: its fill may have gone elsewhere meanwhile.
        let next = &circle[(at + 1) % circle.len()];
        if self.own_name(&on) != next {
            return None;
        }
        let breaker = circle.iter().max()?;
        if *breaker != self.local_name {
            return Some(Action::Send { to: on, chase: Chase { key, path: circle, closed: true } });
        }
        let path = [&circle[at..], &circle[..at]].concat();
        let waited = self.waits.get(&key).map_or(Span::ZERO, |wait| now.since(wait.since));
        if self.cycle_counts.len() >= MOST_REMEMBERED {
            self.cycle_counts.clear();
        }
        let found = self.cycle_counts.entry(path.clone()).or_insert(0);
        let before = *found;
        *found += 1;
        Some(Action::Leave { cycle: WaitCycle { key, path, waited, seen_before: before } })
    }

    fn own_name<'a>(&'a self, addressed: &'a str) -> &'a str {
        self.aliases.get(addressed).map_or(addressed, String::as_str)
    }

    /// Fills that others wait for, and that have waited long, are chased again.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        let me = &self.local_name;
        let mut due: Vec<_> = self
            .waits
            .iter_mut()
            .filter(|(_, wait)| wait.waited_for && wait.on.is_some() && now.since(wait.chased) >= AGAIN)
            .map(|(key, wait)| {
                wait.chased = now;
                let to = wait.on.clone().unwrap_or_default();
                Action::Send { to, chase: Chase { key: *key, path: vec![me.clone()], closed: false } }
            })
            .collect();
        // The order of a hash map is no order: the same events must give the same acts.
        due.sort_by(|a, b| match (a, b) {
            (Action::Send { chase: a, .. }, Action::Send { chase: b, .. }) => a.key.cmp(&b.key),
            _ => std::cmp::Ordering::Equal,
        });
        due
    }

    /// Fills that wait, for the bound on memory that the hub keeps on them.
    pub fn waiting_count(&self) -> usize {
        self.waits.len()
    }
}
