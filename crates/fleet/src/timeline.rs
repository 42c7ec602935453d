//! What all processes and stand-ins said, and what was done to them, under one clock: that of the rig, at the moment at
//! which it read the line. The writer's own clock may be off, and stays among the fields.
use serde_json::{Map, Value};
use std::fmt;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The rig's own name in it.
pub const RIG: &str = "rig";
/// Lines that are kept; past it the play is over its bound, and later ones are counted only.
const MOST: usize = 2_000_000;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// Since the play began; what was said before stands at 0.
    pub at_ms: f64,
    pub by: String,
    pub site: String,
    pub says: String,
    pub fields: Map<String, Value>,
}

impl Entry {
    /// A field that is a number, also one that is written as a text.
    pub fn number(&self, field: &str) -> Option<f64> {
        match self.fields.get(field)? {
            Value::Number(n) => n.as_f64(),
            Value::String(text) => text.parse().ok(),
            Value::Bool(yes) => Some(f64::from(u8::from(*yes))),
            _ => None,
        }
    }

    pub fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    /// Reads a line of a process: the JSON of its log, or a bare text.
    pub fn read(at_ms: f64, by: &str, site: &str, line: &str) -> Entry {
        let (by, site) = (by.to_string(), site.to_string());
        match serde_json::from_str::<Map<String, Value>>(line) {
            Ok(mut fields) => {
                let says = fields.remove("msg").and_then(|msg| msg.as_str().map(str::to_string));
                Entry { at_ms, by, site, says: says.unwrap_or_default(), fields }
            }
            Err(_) => Entry { at_ms, by, site, says: bare(line).to_string(), fields: Map::new() },
        }
    }
}

/// A line of a text log without its time and level.
fn bare(line: &str) -> &str {
    let after = ["INFO ", "WARN ", "ERRO ", "CRIT ", "DEBG "].iter().find_map(|level| {
        let at = line.find(level).filter(|at| *at < 32)?;
        Some(&line[at + level.len()..])
    });
    after.unwrap_or(line)
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:>9.1} {:<12} {}", self.at_ms, self.by, self.says)?;
        let own = |name: &&String| !matches!(name.as_str(), "level" | "ts" | "program");
        for name in self.fields.keys().filter(own) {
            write!(f, " {name}={}", self.fields[name])?;
        }
        Ok(())
    }
}

#[derive(Default)]
struct Kept {
    begun: Option<Instant>,
    entries: Vec<Entry>,
    left_out: u64,
}

/// One play's lines.
#[derive(Default)]
pub struct Timeline {
    kept: Mutex<Kept>,
    news: Condvar,
}

impl Timeline {
    /// A holder that panicked has only appended: what is there is whole.
    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The clock begins now.
    pub fn begin(&self) {
        self.kept().begun = Some(Instant::now());
    }

    pub fn now_ms(&self) -> f64 {
        self.kept().begun.map_or(0.0, |begun| begun.elapsed().as_secs_f64() * 1e3)
    }

    pub fn take_in(&self, by: &str, site: &str, line: &str) {
        let at_ms = self.now_ms();
        self.push(Entry::read(at_ms, by, site, line));
    }

    /// What the rig itself did.
    pub fn note(&self, says: &str, fields: &[(&str, Value)]) {
        let fields = fields.iter().map(|(name, value)| (name.to_string(), value.clone())).collect();
        let at_ms = self.now_ms();
        self.push(Entry { at_ms, by: RIG.into(), site: String::new(), says: says.into(), fields });
    }

    fn push(&self, entry: Entry) {
        let mut kept = self.kept();
        if kept.entries.len() < MOST {
            kept.entries.push(entry);
        } else {
            kept.left_out += 1;
        }
        self.news.notify_all();
    }

    /// Lines from the given number on; waits for one at most so long.
    pub fn after(&self, number: usize, wait: Duration) -> Vec<Entry> {
        let kept = self.kept();
        let none = |kept: &mut Kept| kept.entries.len() <= number;
        let (kept, _) =
            self.news.wait_timeout_while(kept, wait, none).unwrap_or_else(|poisoned| poisoned.into_inner());
        kept.entries.get(number..).unwrap_or_default().to_vec()
    }

    pub fn all(&self) -> Vec<Entry> {
        self.kept().entries.clone()
    }

    pub fn left_out(&self) -> u64 {
        self.kept().left_out
    }

    /// Waits for a line that fits, said before or from now on.
    pub fn wait_for(&self, within: Duration, fits: impl Fn(&Entry) -> bool) -> Option<Entry> {
        let (until, mut seen) = (Instant::now() + within, 0);
        loop {
            let new = self.after(seen, until.saturating_duration_since(Instant::now()));
            if let Some(found) = new.iter().find(|entry| fits(entry)) {
                return Some(found.clone());
            }
            seen += new.len();
            if Instant::now() >= until {
                return None;
            }
        }
    }

    /// The lines around a moment, for whoever looks for a cause.
    pub fn around(&self, at_ms: f64, before_ms: f64, after_ms: f64, most: usize) -> String {
        let kept = self.kept();
        let near = |entry: &&Entry| (at_ms - before_ms..=at_ms + after_ms).contains(&entry.at_ms);
        let lines: Vec<String> = kept.entries.iter().filter(near).map(Entry::to_string).collect();
        let skipped = lines.len().saturating_sub(most);
        let head = if skipped > 0 { format!("... {skipped} lines before\n") } else { String::new() };
        head + &lines[skipped..].join("\n")
    }

    /// As JSON lines, for tools.
    pub fn json_lines(&self) -> String {
        let line = |entry: &Entry| {
            let json = serde_json::json!({"at_ms": entry.at_ms, "by": entry.by, "site": entry.site,
                "says": entry.says, "fields": entry.fields});
            json.to_string() + "\n"
        };
        self.kept().entries.iter().map(line).collect()
    }
}
