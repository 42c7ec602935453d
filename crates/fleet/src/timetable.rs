//! Which fault is due: by the time, or by what was said. Each comes once.
use crate::scenario::{Act, FaultForm, LineForm, When};
use crate::timeline::Entry;

/// What a line has to be like, with the sites of processes known.
pub fn fits(line: &LineForm, entry: &Entry) -> bool {
    let by = line.by == "*" || line.by == entry.by || line.by == entry.site;
    let is = |(name, value): (&String, &serde_json::Value)| entry.fields.get(name) == Some(value);
    let least = |(name, least): (&String, &f64)| entry.number(name).is_some_and(|n| n >= *least);
    by && entry.says.starts_with(&line.says) && line.is.iter().all(is) && line.least.iter().all(least)
}

struct Waits {
    number: usize,
    fault: FaultForm,
    /// Lines that are still missing.
    left: u64,
    due: Option<u64>,
}

/// The faults of a scenario that have not come yet. Times are milliseconds of the play.
pub struct Timetable {
    waits: Vec<Waits>,
}

impl Timetable {
    pub fn of(faults: &[FaultForm]) -> Timetable {
        let waits = faults.iter().enumerate().map(|(number, fault)| match &fault.when {
            When::AtMs(ms) => Waits { number, fault: fault.clone(), left: 0, due: Some(*ms) },
            When::Said { times, .. } => Waits { number, fault: fault.clone(), left: *times, due: None },
        });
        Timetable { waits: waits.collect() }
    }

    /// A line was said.
    pub fn hear(&mut self, entry: &Entry) {
        for waits in self.waits.iter_mut().filter(|w| w.due.is_none()) {
            let When::Said { line, after_ms, .. } = &waits.fault.when else { continue };
            if fits(line, entry) {
                waits.left = waits.left.saturating_sub(1);
                waits.due = (waits.left == 0).then(|| entry.at_ms as u64 + after_ms);
            }
        }
    }

    /// What is due by now, earliest first, each with its place in the scenario's list.
    pub fn due(&mut self, now_ms: u64) -> Vec<(usize, Act)> {
        let is_due = |w: &Waits| w.due.is_some_and(|due| due <= now_ms);
        let (mut due, waits): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waits).into_iter().partition(is_due);
        self.waits = waits;
        due.sort_by_key(|w| (w.due, w.number));
        due.into_iter().map(|w| (w.number, w.fault.act)).collect()
    }

    /// When the next one comes, as far as that is known.
    pub fn next(&self) -> Option<u64> {
        self.waits.iter().filter_map(|w| w.due).min()
    }

    /// Faults that never came, by their places: what they wait for was not said.
    pub fn never_came(&self) -> Vec<usize> {
        self.waits.iter().map(|w| w.number).collect()
    }
}
