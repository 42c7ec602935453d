//! What the ways between processes do to what passes, by the latest that was said of each. No socket: links ask.
use crate::scenario::{Scenario, WayForm};
use std::collections::BTreeMap;
use std::time::Duration;

/// What one direction of one connection meets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Condition {
    pub delay: Duration,
    /// 0: no bound.
    pub bytes_per_s: u64,
    pub silent: bool,
    pub cut: bool,
}

impl Condition {
    fn of(way: &WayForm) -> Condition {
        Condition {
            delay: Duration::from_millis(way.delay_ms),
            bytes_per_s: way.kb_per_s * 1_000,
            silent: way.silent,
            cut: way.cut,
        }
    }

    /// When the last of so many bytes that came at `came` may go on, after what went on until `free`. All times are
    /// since one moment.
    pub fn passes_at(&self, came: Duration, free: Duration, bytes: usize) -> Duration {
        let takes = match self.bytes_per_s {
            0 => Duration::ZERO,
            rate => Duration::from_secs_f64(bytes as f64 / rate as f64),
        };
        (came + self.delay).max(free + takes)
    }
}

/// All ways of a scenario.
#[derive(Clone, Debug)]
pub struct Conditions {
    sites: BTreeMap<String, String>,
    start: Vec<WayForm>,
    /// Later ones count before earlier ones.
    said: Vec<WayForm>,
}

impl Conditions {
    pub fn of(scenario: &Scenario) -> Conditions {
        let sites = scenario.processes.iter().map(|p| (p.name.clone(), p.site.clone())).collect();
        Conditions { sites, start: scenario.ways.clone(), said: Vec::new() }
    }

    pub fn set(&mut self, way: WayForm) {
        // What the new one covers whole is of no further use, so that a flapping way does not grow the list.
        self.said.retain(|old| (&old.from, &old.to, old.both) != (&way.from, &way.to, way.both));
        self.said.push(way);
    }

    /// Forgets what was said of the ways between these two, in either direction.
    pub fn heal(&mut self, from: &str, to: &str) {
        let meant = |way: &WayForm| (way.from == from && way.to == to) || (way.from == to && way.to == from);
        self.said.retain(|way| !meant(way));
    }

    /// What bytes from one process to another meet. A name that nobody has passes everything: a test's own caller.
    pub fn between(&self, from: &str, to: &str) -> Condition {
        let latest = self.said.iter().rev().chain(self.start.iter().rev());
        let mut found = latest.filter(|way| self.covers(way, from, to));
        found.next().map_or(Condition::default(), Condition::of)
    }

    fn covers(&self, way: &WayForm, from: &str, to: &str) -> bool {
        let forth = self.is(&way.from, from) && self.is(&way.to, to);
        let back = way.both && self.is(&way.from, to) && self.is(&way.to, from);
        // A site's own processes reach each other whatever becomes of its ways.
        let inside = self.sites.get(from).is_some_and(|site| self.sites.get(to) == Some(site));
        let named = self.sites.contains_key(&way.from) || self.sites.contains_key(&way.to);
        (forth || back) && (!inside || named)
    }

    fn is(&self, whom: &str, process: &str) -> bool {
        let Some(site) = self.sites.get(process) else { return false };
        whom == "*" || whom == process || whom == site
    }
}
