//! Detection and breaking of cycles of fills that wait for each other.
//!
//! Each version of a shape is free of cycles, but hubs can be on different versions for a moment. Then hub A
//! fills an object from B while B fills it from A. Where both join a fill that is under way, no request
//! travels round the cycle, so the paths in requests don't show it. So each hub that has another hub waiting
//! for one of its own fills sends a chase after that fill: to the hub that the fill waits for, which appends
//! its name and sends the chase on. A chase that reaches a hub whose name is already in its path has gone
//! round a cycle. This is edge chasing, as Chandy, Misra and Haas describe it for processes that wait for one
//! answer. The last edge that closes a cycle is a join, and its chase runs over all other edges.
//!
//! The hub that detects the cycle need not be the one that breaks it: two chases may detect it at the same
//! time, and breaking it twice would cost two fetches. The cycle itself is sent round until it reaches the
//! hub with the greatest name. Only that hub leaves its wait and fetches for all. No other hub's fill is
//! affected.
use harestage::time::{Moment, Span};
use std::collections::HashMap;

/// An object and the number of its part.
pub type Key = (u64, u32);

/// A fill that still waits is chased again after this time, in case a chase was lost with its connection.
const CHASE_INTERVAL: Span = Span::millis(200);
/// Limit on the nodes in a path; the wire format rejects longer ones too.
pub const MAX_PATH_LEN: usize = 24;
/// Limit on the cycles that are counted, to distinguish recurring ones from new ones.
const MAX_COUNTED_CYCLES: usize = 256;

/// A message that follows the waits for one object, from hub to hub.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chase {
    pub key: Key,
    /// The hubs that wait, each for the next; the last waits for the hub that receives the chase.
    pub path: Vec<String>,
    /// Whether the path is a cycle: the last hub waits for the first.
    pub closed: bool,
}

/// What has to be done after a chase.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send it to the hub that the fill waits for.
    Send { to: String, chase: Chase },
    /// This hub's fill has to leave the hub that it waits for, and fetch for all hubs in the cycle.
    Leave { cycle: WaitCycle },
    /// The path is longer than any valid one, and has not closed.
    TooLong { key: Key, path: Vec<String> },
}

/// A cycle that was detected.
/// A fill of this hub that waits for another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitCycle {
    pub key: Key,
    /// From the hub that breaks it, round to the hub that waits for it.
    pub path: Vec<String>,
    /// How long this hub's own fill had waited.
    pub waited: Span,
    /// How often the same cycle was detected before, for any object.
    pub seen_before: u32,
}

/// A fill of this hub that waits for another node.
struct Wait {
    /// The name under which the other hub was addressed; `None` for the archive, which waits for nobody.
    target: Option<String>,
    since: Moment,
    last_chase: Moment,
    /// Whether a hub waits for this fill: only then can the fill be part of a cycle.
    has_waiters: bool,
}

/// The waits of one hub.
pub struct WaitTracker {
    local_name: String,
    waits: HashMap<Key, Wait>,
    /// The canonical names of hubs that were addressed by another name.
    aliases: HashMap<String, String>,
    cycle_counts: HashMap<Vec<String>, u32>,
}

impl WaitTracker {
    /// A tracker without waits, for the hub of this name.
    pub fn new(local_name: &str) -> WaitTracker {
        WaitTracker {
            local_name: local_name.into(),
            waits: HashMap::new(),
            aliases: HashMap::new(),
            cycle_counts: HashMap::new(),
        }
    }

    /// The name of this hub.
    pub fn local_name(&self) -> &str {
        &self.local_name
    }

    /// Records that the hub addressed as `addressed` calls itself `canonical`: one hub may have two names.
    pub fn add_alias(&mut self, addressed: &str, canonical: &str) {
        if addressed != canonical {
            self.aliases.insert(addressed.into(), canonical.into());
        }
    }

    /// A fill starts to wait for a hub, or for the archive (`None`). This replaces any earlier wait.
    pub fn wait_started(&mut self, key: Key, target: Option<&str>, now: Moment) {
        let has_waiters = self.waits.get(&key).is_some_and(|wait| wait.has_waiters);
        self.waits.insert(
            key,
            Wait { target: target.map(str::to_string), since: now, last_chase: now, has_waiters },
        );
    }

    /// The fill waits no longer.
    pub fn wait_ended(&mut self, key: Key) {
        self.waits.remove(&key);
    }

    /// A request that came through the hubs in `path` waits for a fill of this hub from now on.
    pub fn on_join(&mut self, key: Key, path: &[String], now: Moment) -> Option<Action> {
        if let Some(wait) = self.waits.get_mut(&key) {
            wait.has_waiters |= !path.is_empty();
        }
        if path.is_empty() {
            return None;
        }
        self.on_chase(Chase { key, path: path.to_vec(), closed: false }, now)
    }

    /// Handles a chase that has arrived: the last hub in its path waits for this hub's fill.
    pub fn on_chase(&mut self, chase: Chase, now: Moment) -> Option<Action> {
        let wait = self.waits.get(&chase.key)?;
        let target = wait.target.clone()?;
        if let Some(position) = chase.path.iter().position(|name| *name == self.local_name) {
            let cycle = if chase.closed { chase.path } else { chase.path[position..].to_vec() };
            return self.on_cycle(chase.key, cycle, target, now);
        }
        if chase.closed {
            return None;
        }
        if chase.path.len() >= MAX_PATH_LEN {
            return Some(Action::TooLong { key: chase.key, path: chase.path });
        }
        let mut path = chase.path;
        path.push(self.local_name.clone());
        Some(Action::Send { to: target, chase: Chase { key: chase.key, path, closed: false } })
    }

    /// Handles a cycle that this hub is part of: breaks it, or sends it on to the hub that has to.
    fn on_cycle(&mut self, key: Key, cycle: Vec<String>, target: String, now: Moment) -> Option<Action> {
        let position = cycle.iter().position(|name| *name == self.local_name)?;
        // What the cycle says about this hub must still be true: its fill may have moved on in the meantime.
        let next = &cycle[(position + 1) % cycle.len()];
        if self.canonical_name(&target) != next {
            return None;
        }
        let breaker = cycle.iter().max()?;
        if *breaker != self.local_name {
            return Some(Action::Send { to: target, chase: Chase { key, path: cycle, closed: true } });
        }
        let path = [&cycle[position..], &cycle[..position]].concat();
        let waited = self.waits.get(&key).map_or(Span::ZERO, |wait| now.since(wait.since));
        if self.cycle_counts.len() >= MAX_COUNTED_CYCLES {
            self.cycle_counts.clear();
        }
        let count = self.cycle_counts.entry(path.clone()).or_insert(0);
        let seen_before = *count;
        *count += 1;
        Some(Action::Leave { cycle: WaitCycle { key, path, waited, seen_before } })
    }

    fn canonical_name<'a>(&'a self, addressed: &'a str) -> &'a str {
        self.aliases.get(addressed).map_or(addressed, String::as_str)
    }

    /// Chases the fills again that other hubs wait for and that have waited for long.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        let local_name = &self.local_name;
        let mut due: Vec<_> = self
            .waits
            .iter_mut()
            .filter(|(_, wait)| {
                wait.has_waiters && wait.target.is_some() && now.since(wait.last_chase) >= CHASE_INTERVAL
            })
            .map(|(key, wait)| {
                wait.last_chase = now;
                let to = wait.target.clone().unwrap_or_default();
                Action::Send { to, chase: Chase { key: *key, path: vec![local_name.clone()], closed: false } }
            })
            .collect();
        // A hash map has no fixed order, but the same events must give the same actions.
        due.sort_by(|a, b| match (a, b) {
            (Action::Send { chase: a, .. }, Action::Send { chase: b, .. }) => a.key.cmp(&b.key),
            _ => std::cmp::Ordering::Equal,
        });
        due
    }

    /// The number of waiting fills, for the hub's memory limit on them.
    pub fn waiting_count(&self) -> usize {
        self.waits.len()
    }
}
