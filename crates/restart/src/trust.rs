//! Which state from before its start each kind of process trusts. The program follows this table, and docs/start.md
//! contains it.
use serde::{Deserialize, Serialize};

/// Kinds of processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessKind {
    /// A member of the control service, the purge service or the audit keeper.
    Service,
    Hub,
    Feed,
    Router,
}

/// All kinds of processes.
pub const PROCESS_KINDS: [ProcessKind; 4] =
    [ProcessKind::Service, ProcessKind::Hub, ProcessKind::Feed, ProcessKind::Router];

/// State that a process may find at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredItem {
    /// The replicated log of a service, or the index log of a hub.
    Log,
    /// Copies on disk.
    Copies,
    /// Its name.
    Name,
    /// The number of its previous start.
    StartNumber,
    /// The last version of the shape.
    LastShape,
    /// Fallback plans of sites.
    SitePlan,
    /// Leases that were granted before.
    Leases,
    /// Exclusions of members by the audit keeper.
    #[serde(rename = "shut_outs")]
    Exclusions,
    /// The time of the machine.
    WallClock,
    /// How long the process had been running, for its slow start.
    ColdAge,
    /// Usual durations of fills and fetches.
    #[serde(rename = "paces")]
    UsualDurations,
}

/// All kinds of stored state.
pub const STORED_ITEMS: [StoredItem; 11] = [
    StoredItem::Log,
    StoredItem::Copies,
    StoredItem::Name,
    StoredItem::StartNumber,
    StoredItem::LastShape,
    StoredItem::SitePlan,
    StoredItem::Leases,
    StoredItem::Exclusions,
    StoredItem::WallClock,
    StoredItem::ColdAge,
    StoredItem::UsualDurations,
];

/// Who has to confirm stored state before it is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Authority {
    /// A majority of the members of its group.
    Majority,
    /// The purge service.
    Purges,
    /// The control service.
    Control,
    /// The time in an answer of the archive.
    Archive,
}

/// Whether and when stored state is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Trust {
    /// Trusted from the start.
    #[serde(rename = "at_once")]
    Immediately,
    /// Trusted once it is confirmed.
    #[serde(rename = "once")]
    ConfirmedBy(Authority),
    /// Never trusted.
    Never,
    /// The process stores no such state.
    #[serde(rename = "none")]
    NotKept,
}

/// A row of the table.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    pub process: ProcessKind,
    pub item: StoredItem,
    pub trust: Trust,
    pub reason: &'static str,
}

const fn rule(process: ProcessKind, item: StoredItem, trust: Trust, reason: &'static str) -> Rule {
    Rule { process, item, trust, reason }
}

/// The table. A process does not store what is not listed.
pub const TABLE: &[Rule] = &[
    rule(
        ProcessKind::Service,
        StoredItem::Log,
        Trust::ConfirmedBy(Authority::Majority),
        "other members may have committed more, and another may be leader",
    ),
    rule(
        ProcessKind::Service,
        StoredItem::Name,
        Trust::ConfirmedBy(Authority::Majority),
        "a member that lost its disk rejoins only as a new one",
    ),
    rule(
        ProcessKind::Service,
        StoredItem::LastShape,
        Trust::ConfirmedBy(Authority::Majority),
        "it is in the log",
    ),
    rule(ProcessKind::Service, StoredItem::SitePlan, Trust::Never, "plans are recomputed from the shape"),
    rule(ProcessKind::Service, StoredItem::Leases, Trust::Never, "a leader lease is shorter than any start"),
    rule(
        ProcessKind::Service,
        StoredItem::Exclusions,
        Trust::ConfirmedBy(Authority::Majority),
        "they are in the keeper's log, and end on their own",
    ),
    rule(
        ProcessKind::Service,
        StoredItem::WallClock,
        Trust::Immediately,
        "entries are ordered by terms; times are only used for bounds",
    ),
    rule(
        ProcessKind::Hub,
        StoredItem::Log,
        Trust::Immediately,
        "the index of its copies, verified by checksums; torn records are dropped",
    ),
    rule(
        ProcessKind::Hub,
        StoredItem::Copies,
        Trust::ConfirmedBy(Authority::Purges),
        "copies that were purged meanwhile must not be served",
    ),
    rule(ProcessKind::Hub, StoredItem::Name, Trust::Immediately, "it is in its configuration file"),
    rule(ProcessKind::Hub, StoredItem::StartNumber, Trust::Never, "each start has a unique number"),
    rule(
        ProcessKind::Hub,
        StoredItem::LastShape,
        Trust::ConfirmedBy(Authority::Control),
        "the one in its configuration file, if any, until a leader sends one",
    ),
    rule(
        ProcessKind::Hub,
        StoredItem::Leases,
        Trust::Never,
        "its share of the archive's concurrency limit starts at the floor",
    ),
    rule(
        ProcessKind::Hub,
        StoredItem::WallClock,
        Trust::ConfirmedBy(Authority::Archive),
        "until then no copy on disk counts as fresh by its age",
    ),
    rule(ProcessKind::Hub, StoredItem::ColdAge, Trust::Never, "it starts cold, whatever copies it has"),
    rule(
        ProcessKind::Hub,
        StoredItem::UsualDurations,
        Trust::Immediately,
        "the usual duration of a fill; it is only used for comparison",
    ),
    rule(ProcessKind::Feed, StoredItem::Name, Trust::Immediately, "it is in its configuration file"),
    rule(ProcessKind::Feed, StoredItem::StartNumber, Trust::Never, "each start has a unique number"),
    rule(ProcessKind::Router, StoredItem::Name, Trust::Immediately, "it is in its configuration file"),
    rule(ProcessKind::Router, StoredItem::StartNumber, Trust::Never, "each start has a unique number"),
    rule(
        ProcessKind::Router,
        StoredItem::Leases,
        Trust::Never,
        "the initial lease lasts until the keeper's first answer",
    ),
    rule(
        ProcessKind::Router,
        StoredItem::UsualDurations,
        Trust::Never,
        "routers measure them again from nothing",
    ),
];

/// Whether and when a kind of process trusts this state.
pub fn trust(process: ProcessKind, item: StoredItem) -> Trust {
    TABLE
        .iter()
        .find(|rule| rule.process == process && rule.item == item)
        .map_or(Trust::NotKept, |rule| rule.trust)
}

/// The table in the form of docs/start.md.
pub fn markdown() -> String {
    let mut text = String::from("| process | stored state | trusted | reason |\n| --- | --- | --- | --- |\n");
    for rule in TABLE {
        let process = match rule.process {
            ProcessKind::Service => "service member",
            ProcessKind::Hub => "hub",
            ProcessKind::Feed => "branch feed",
            ProcessKind::Router => "router",
        };
        let item = match rule.item {
            StoredItem::Log => "log",
            StoredItem::Copies => "copies",
            StoredItem::Name => "own name",
            StoredItem::StartNumber => "start number",
            StoredItem::LastShape => "last shape",
            StoredItem::SitePlan => "site plans",
            StoredItem::Leases => "leases",
            StoredItem::Exclusions => "shut-outs",
            StoredItem::WallClock => "wall clock",
            StoredItem::ColdAge => "cold age",
            StoredItem::UsualDurations => "usual times",
        };
        let trust = match rule.trust {
            Trust::Immediately => "at once",
            Trust::ConfirmedBy(Authority::Majority) => "once a majority of the members agrees",
            Trust::ConfirmedBy(Authority::Purges) => "once the purge service has sent all active purges",
            Trust::ConfirmedBy(Authority::Control) => "until the control service sends another",
            Trust::ConfirmedBy(Authority::Archive) => "once a fetch has shown the archive's time",
            Trust::Never => "never",
            Trust::NotKept => "not kept",
        };
        text += &format!("| {process} | {item} | {trust} | {} |\n", rule.reason);
    }
    text
}
