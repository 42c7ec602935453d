//! A scenario: one JSON file that says which processes there are, at which sites, how the ways between the sites are,
//! which faults come when, and what has to be seen in the end. It is taken whole or refused in one line that names file,
//! key and value, and then nothing is started.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Bounds of what one machine plays.
const MOST_PROCESSES: usize = 96;
const LONGEST_MS: u64 = 600_000;
const MOST_PORTS: usize = 64;

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// How long it is played once everything has started.
    pub lasts_ms: u64,
    pub sites: Vec<String>,
    pub processes: Vec<ProcessForm>,
    /// How the ways are from the start; what is not named passes everything at once.
    #[serde(default)]
    pub ways: Vec<WayForm>,
    #[serde(default)]
    pub faults: Vec<FaultForm>,
    #[serde(default)]
    pub expects: Vec<ExpectForm>,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ProcessForm {
    pub name: String,
    pub site: String,
    pub runs: Runs,
    /// What it is told in its file. A text `@NAME` or `@NAME/PORT` stands for where others reach a process, over their
    /// links, and `!NAME` or `!NAME/PORT` for where it listens itself.
    #[serde(default)]
    pub file: Map<String, Value>,
    /// Further words of its command line; the same texts may stand there.
    #[serde(default)]
    pub words: Vec<String>,
    /// Ports that it listens on beside its first one, by name.
    #[serde(default)]
    pub ports: Vec<String>,
    /// It is started so long after the others. Absent: with them, in the order of this list.
    #[serde(default)]
    pub starts_ms: u64,
    /// How far its wall clock is off.
    #[serde(default)]
    pub clock_off_ms: i64,
    /// Whether a kill takes from its disk what was not synced.
    #[serde(default)]
    pub forgets_unsynced: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Runs {
    Control,
    Purges,
    /// A site's gatherer, between its members and the service of purges.
    Gather,
    Hub,
    /// A branch's own feed.
    Feed,
    /// The keeper of the audit.
    Keeper,
    Router,
    /// Stand-ins by a script: an archive, edge caches, clients.
    Standin,
}

/// What a way does to all that passes. Bytes are never lost on a connection that goes on: TCP would send them again.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WayForm {
    /// A site, a process, or `*`.
    pub from: String,
    pub to: String,
    #[serde(default)]
    pub delay_ms: u64,
    /// 0: no bound.
    #[serde(default)]
    pub kb_per_s: u64,
    /// Nothing passes this way, and nobody is told: what is open stays open.
    #[serde(default)]
    pub silent: bool,
    /// What is open is reset, and what is new is refused.
    #[serde(default)]
    pub cut: bool,
    /// Both directions; else only what goes from the first to the second.
    #[serde(default = "yes")]
    pub both: bool,
}

fn yes() -> bool {
    true
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FaultForm {
    pub when: When,
    #[serde(rename = "do")]
    pub act: Act,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum When {
    /// So long after all that start at once have started.
    AtMs(u64),
    /// When a line was said so often.
    Said {
        line: LineForm,
        #[serde(default = "once")]
        times: u64,
        #[serde(default)]
        after_ms: u64,
    },
}

fn once() -> u64 {
    1
}

/// Which lines are meant: all that is named has to fit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LineForm {
    /// A process, a site, or `*`.
    #[serde(default = "anyone")]
    pub by: String,
    /// The line begins so.
    #[serde(default)]
    pub says: String,
    /// Fields that have exactly this value.
    #[serde(default)]
    pub is: BTreeMap<String, Value>,
    /// Fields that are numbers of this size at least.
    #[serde(default)]
    pub least: BTreeMap<String, f64>,
}

fn anyone() -> String {
    "*".into()
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Act {
    /// SIGKILL; of a process, of a site, or of all (`*`).
    Kill(String),
    /// SIGSTOP and SIGCONT.
    Stop(String),
    Wake(String),
    /// SIGTERM.
    End(String),
    /// Starts what was killed or has ended, on the disk that it left.
    Start(String),
    /// Takes the whole disk of one that does not run.
    LoseDisk(String),
    /// Its disk takes nothing more: no room is left on it, or every write fails.
    FillDisk(String),
    FailDisk(String),
    MendDisk(String),
    /// A way is so from now on.
    Way(WayForm),
    /// All ways between two are as they were at the start.
    Heal {
        from: String,
        to: String,
    },
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ExpectForm {
    /// What is expected, for the verdict.
    pub that: String,
    pub of: Measure,
    #[serde(default)]
    pub at_least: Option<f64>,
    #[serde(default)]
    pub at_most: Option<f64>,
    /// Only lines of this stretch of the play count.
    #[serde(default)]
    pub from_ms: u64,
    #[serde(default)]
    pub to_ms: Option<u64>,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Measure {
    /// How many such lines there are.
    Lines(LineForm),
    /// A field, added up over such lines.
    Sum { line: LineForm, field: String },
    /// The largest value of a field.
    Largest { line: LineForm, field: String },
    /// One field added up against another.
    Share { line: LineForm, part: String, whole: String },
    /// How long after a fault, by its place in the list, the first such line was said.
    Delay { line: LineForm, fault: usize },
}

/// Why a scenario is not played: key and value are in the text.
#[derive(Debug, PartialEq)]
pub struct Wrong {
    pub key: String,
    pub why: String,
}

impl std::fmt::Display for Wrong {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        if self.key == "." { write!(f, "{}", self.why) } else { write!(f, "key {}: {}", self.key, self.why) }
    }
}

fn wrong<T>(key: impl Into<String>, why: impl Into<String>) -> Result<T, Wrong> {
    Err(Wrong { key: key.into(), why: why.into() })
}

impl Scenario {
    /// Reads and checks a file; an error is one line that names it.
    pub fn read_file(path: &Path) -> Result<Scenario, String> {
        let file = path.display();
        let text = std::fs::read(path).map_err(|why| format!("{file}: can't be read: {why}"))?;
        Scenario::read(&text).map_err(|why| format!("{file}: {why}"))
    }

    pub fn read(text: &[u8]) -> Result<Scenario, Wrong> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let read: Scenario = serde_path_to_error::deserialize(&mut json)
            .map_err(|why| Wrong { key: why.path().to_string(), why: why.inner().to_string() })?;
        json.end().map_err(|why| Wrong { key: ".".into(), why: why.to_string() })?;
        read.check()?;
        Ok(read)
    }

    /// What the types alone don't say.
    pub fn check(&self) -> Result<(), Wrong> {
        if !(1..=LONGEST_MS).contains(&self.lasts_ms) {
            return wrong("lasts_ms", format!("{} is not from 1 to {LONGEST_MS}", self.lasts_ms));
        }
        if self.processes.is_empty() || self.processes.len() > MOST_PROCESSES {
            return wrong(
                "processes",
                format!("{} are not from 1 to {MOST_PROCESSES}", self.processes.len()),
            );
        }
        let mut names: BTreeSet<&str> = BTreeSet::new();
        for (n, site) in self.sites.iter().enumerate() {
            name_holds(&format!("sites[{n}]"), site, &mut names)?;
        }
        for (n, process) in self.processes.iter().enumerate() {
            let key = |field: &str| format!("processes[{n}].{field}");
            name_holds(&key("name"), &process.name, &mut names)?;
            if !self.sites.contains(&process.site) {
                return wrong(key("site"), format!("{:?} is no site of this scenario", process.site));
            }
            if process.ports.len() > MOST_PORTS {
                return wrong(key("ports"), format!("{} are more than {MOST_PORTS}", process.ports.len()));
            }
            if process.starts_ms > self.lasts_ms {
                return wrong(key("starts_ms"), format!("{} is after the end", process.starts_ms));
            }
        }
        for (n, process) in self.processes.iter().enumerate() {
            let file = Value::Object(process.file.clone());
            self.texts_hold(&format!("processes[{n}].file"), &file)?;
            for (m, word) in process.words.iter().enumerate() {
                self.text_holds(&format!("processes[{n}].words[{m}]"), word)?;
            }
        }
        for (n, way) in self.ways.iter().enumerate() {
            self.way_holds(&format!("ways[{n}]"), way)?;
        }
        for (n, fault) in self.faults.iter().enumerate() {
            self.fault_holds(&format!("faults[{n}]"), fault)?;
        }
        for (n, expect) in self.expects.iter().enumerate() {
            self.expect_holds(&format!("expects[{n}]"), expect)?;
        }
        Ok(())
    }

    /// A site, a process, or all.
    fn someone(&self, key: String, name: &str) -> Result<(), Wrong> {
        let known = name == "*"
            || self.sites.iter().any(|s| s == name)
            || self.processes.iter().any(|p| p.name == name);
        if known { Ok(()) } else { wrong(key, format!("{name:?} is neither a site nor a process")) }
    }

    fn way_holds(&self, key: &str, way: &WayForm) -> Result<(), Wrong> {
        self.someone(format!("{key}.from"), &way.from)?;
        self.someone(format!("{key}.to"), &way.to)
    }

    fn fault_holds(&self, key: &str, fault: &FaultForm) -> Result<(), Wrong> {
        match &fault.when {
            When::AtMs(ms) if *ms > self.lasts_ms => {
                return wrong(format!("{key}.when.at_ms"), format!("{ms} is after the end"));
            }
            When::Said { times: 0, .. } => return wrong(format!("{key}.when.said.times"), "0 is never"),
            When::Said { line, .. } => self.someone(format!("{key}.when.said.line.by"), &line.by)?,
            When::AtMs(_) => {}
        }
        let key = format!("{key}.do");
        match &fault.act {
            Act::Way(way) => self.way_holds(&key, way),
            Act::Heal { from, to } => {
                self.someone(format!("{key}.from"), from)?;
                self.someone(format!("{key}.to"), to)
            }
            Act::Kill(whom)
            | Act::Stop(whom)
            | Act::Wake(whom)
            | Act::End(whom)
            | Act::Start(whom)
            | Act::LoseDisk(whom)
            | Act::FillDisk(whom)
            | Act::FailDisk(whom)
            | Act::MendDisk(whom) => self.someone(key, whom),
        }
    }

    fn expect_holds(&self, key: &str, expect: &ExpectForm) -> Result<(), Wrong> {
        if expect.at_least.is_none() && expect.at_most.is_none() {
            return wrong(key, "neither at_least nor at_most: it could not fail");
        }
        let line = match &expect.of {
            Measure::Delay { fault, .. } if *fault >= self.faults.len() => {
                return wrong(format!("{key}.of.delay.fault"), format!("{fault} is no fault of the list"));
            }
            Measure::Lines(line)
            | Measure::Sum { line, .. }
            | Measure::Largest { line, .. }
            | Measure::Share { line, .. }
            | Measure::Delay { line, .. } => line,
        };
        self.someone(format!("{key}.of.by"), &line.by)
    }

    fn texts_hold(&self, key: &str, value: &Value) -> Result<(), Wrong> {
        match value {
            Value::String(text) => self.text_holds(key, text),
            Value::Array(list) => {
                list.iter().enumerate().try_for_each(|(n, v)| self.texts_hold(&format!("{key}[{n}]"), v))
            }
            Value::Object(map) => {
                map.iter().try_for_each(|(name, v)| self.texts_hold(&format!("{key}.{name}"), v))
            }
            _ => Ok(()),
        }
    }

    fn text_holds(&self, key: &str, text: &str) -> Result<(), Wrong> {
        let Some(named) = Named::read(text) else { return Ok(()) };
        let Some(process) = self.processes.iter().find(|p| p.name == named.process) else {
            return wrong(key, format!("{text:?} names no process"));
        };
        match named.port {
            Some(port) if !process.ports.iter().any(|p| p == port) => {
                wrong(key, format!("{text:?}: {} has no port {port:?}", process.name))
            }
            _ => Ok(()),
        }
    }

    /// Those that a name stands for: one process, those of a site, or all.
    pub fn meant(&self, whom: &str) -> Vec<&ProcessForm> {
        let meant = |p: &&ProcessForm| whom == "*" || p.name == whom || p.site == whom;
        self.processes.iter().filter(meant).collect()
    }

    pub fn site_of(&self, process: &str) -> &str {
        self.processes.iter().find(|p| p.name == process).map_or("", |p| p.site.as_str())
    }
}

fn name_holds<'a>(key: &str, name: &'a str, names: &mut BTreeSet<&'a str>) -> Result<(), Wrong> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if !(1..=32).contains(&name.len()) || !name.bytes().all(plain) {
        return wrong(key, format!("{name:?} is not a name of 1 to 32 letters, digits, dots and dashes"));
    }
    if !names.insert(name) {
        return wrong(key, format!("{name:?} is named twice"));
    }
    Ok(())
}

/// A text that stands for an address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Named<'a> {
    /// Where it listens itself; else where others reach it.
    pub own: bool,
    pub process: &'a str,
    pub port: Option<&'a str>,
}

impl Named<'_> {
    /// None: an ordinary text.
    pub fn read(text: &str) -> Option<Named<'_>> {
        let own = text.starts_with('!');
        let rest = text.strip_prefix(if own { '!' } else { '@' })?;
        let (process, port) = match rest.split_once('/') {
            Some((process, port)) => (process, Some(port)),
            None => (rest, None),
        };
        Some(Named { own, process, port })
    }
}

/// The JSON schema of a scenario.
pub fn schema() -> String {
    let schema = schemars::schema_for!(Scenario);
    serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
}
