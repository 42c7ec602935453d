//! What was to be seen of a play, and whether it was.
use crate::scenario::{ExpectForm, LineForm, Measure};
use crate::timeline::{Entry, RIG};
use crate::timetable::fits;
use serde::Serialize;

/// Of one expectation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    pub that: String,
    /// None: there was nothing to measure, which no expectation allows.
    pub found: Option<f64>,
    pub at_least: Option<f64>,
    pub at_most: Option<f64>,
    pub holds: bool,
    /// Where in the play to look: the last line that counted, or the end.
    pub look_at_ms: f64,
}

/// A play's end.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    pub scenario: String,
    pub processes: usize,
    pub findings: Vec<Finding>,
    /// Faults that never came, by their places in the list.
    pub never_came: Vec<usize>,
    /// Processes that ended without being told to.
    pub ended_by_themselves: Vec<String>,
}

impl Verdict {
    pub fn holds(&self) -> bool {
        let found = self.findings.iter().all(|finding| finding.holds);
        found && self.never_came.is_empty() && self.ended_by_themselves.is_empty()
    }
}

/// Measures one expectation.
pub fn find(expect: &ExpectForm, entries: &[Entry]) -> Finding {
    let to_ms = expect.to_ms.map_or(f64::INFINITY, |ms| ms as f64);
    let stretch = expect.from_ms as f64..to_ms;
    let meant = |line: &LineForm| -> Vec<&Entry> {
        entries.iter().filter(|e| stretch.contains(&e.at_ms) && fits(line, e)).collect()
    };
    let sum = |lines: &[&Entry], field: &str| lines.iter().filter_map(|e| e.number(field)).sum::<f64>();
    let (lines, found) = match &expect.of {
        Measure::Lines(line) => {
            let lines = meant(line);
            let found = lines.len() as f64;
            (lines, Some(found))
        }
        Measure::Sum { line, field } => {
            let lines = meant(line);
            // A sum over nothing that was ever said proves nothing.
            let said = lines.iter().any(|e| e.number(field).is_some());
            let found = said.then(|| sum(&lines, field));
            (lines, found)
        }
        Measure::Largest { line, field } => {
            let lines = meant(line);
            let found = lines.iter().filter_map(|e| e.number(field)).reduce(f64::max);
            (lines, found)
        }
        Measure::Share { line, part, whole } => {
            let lines = meant(line);
            let all = sum(&lines, whole);
            let found = (all > 0.0).then(|| sum(&lines, part) / all);
            (lines, found)
        }
        Measure::Delay { line, fault } => {
            let came = entries.iter().find(|e| is_fault(e, *fault)).map(|e| e.at_ms);
            let lines = meant(line);
            let after = |e: &&&Entry| came.is_some_and(|came| e.at_ms >= came);
            let first = lines.iter().find(after).map(|e| e.at_ms);
            let found = first.zip(came).map(|(first, came)| first - came);
            (lines, found)
        }
    };
    let high = |found: f64| expect.at_most.is_none_or(|most| found <= most);
    let low = |found: f64| expect.at_least.is_none_or(|least| found >= least);
    let holds = found.is_some_and(|found| high(found) && low(found));
    let end = entries.last().map_or(0.0, |e| e.at_ms);
    let look_at_ms = lines.last().map_or(end.min(to_ms), |e| e.at_ms);
    let (at_least, at_most) = (expect.at_least, expect.at_most);
    Finding { that: expect.that.clone(), found, at_least, at_most, holds, look_at_ms }
}

fn is_fault(entry: &Entry, number: usize) -> bool {
    entry.by == RIG && entry.says == "fault" && entry.number("number") == Some(number as f64)
}
