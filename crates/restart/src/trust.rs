//! What each kind of process trusts from before its start. One table: the starts of the program go by it, and the page
//! prints it.
use serde::{Deserialize, Serialize};

/// Kinds of processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessKind {
    /// A member of the control service, of the service of purges, or of the keeper.
    Service,
    Hub,
    Feed,
    Router,
}

pub const PROCESS_KINDS: [ProcessKind; 4] =
    [ProcessKind::Service, ProcessKind::Hub, ProcessKind::Feed, ProcessKind::Router];

/// What may be found at a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredItem {
    Log,
    Copies,
    Name,
    StartNumber,
    LastShape,
    SitePlan,
    Leases,
    ShutOuts,
    WallClock,
    ColdAge,
    Paces,
}

pub const STORED_ITEMS: [StoredItem; 11] = [
    StoredItem::Log,
    StoredItem::Copies,
    StoredItem::Name,
    StoredItem::StartNumber,
    StoredItem::LastShape,
    StoredItem::SitePlan,
    StoredItem::Leases,
    StoredItem::ShutOuts,
    StoredItem::WallClock,
    StoredItem::ColdAge,
    StoredItem::Paces,
];

/// Whose word it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Authority {
    /// Most members of its group.
    Majority,
    Purges,
    Control,
    /// A fetch at the archive, whose time it bears.
    Archive,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Trust {
    #[serde(rename = "at_once")]
    Immediately,
    #[serde(rename = "once")]
    ConfirmedBy(Authority),
    Never,
    /// It keeps none.
    #[serde(rename = "none")]
    NotKept,
}

/// A line of the table.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    pub process: ProcessKind,
    pub item: StoredItem,
    pub trust: Trust,
    pub reason: &'static str,
}

const fn rule(who: ProcessKind, thing: StoredItem, trust: Trust, why: &'static str) -> Rule {
    Rule { process: who, item: thing, trust, reason: why }
}

/// All of it. What is not named is not kept.
pub const TABLE: &[Rule] = &[
    rule(
        ProcessKind::Service,
        StoredItem::Log,
        Trust::ConfirmedBy(Authority::Majority),
        "others may have agreed on more, and another may lead",
    ),
    rule(
        ProcessKind::Service,
        StoredItem::Name,
        Trust::ConfirmedBy(Authority::Majority),
        "a member that lost its disk comes back only as a new one",
    ),
    rule(
        ProcessKind::Service,
        StoredItem::LastShape,
        Trust::ConfirmedBy(Authority::Majority),
        "it is in the log",
    ),
    rule(ProcessKind::Service, StoredItem::SitePlan, Trust::Never, "plans are made anew from the shape"),
    rule(
        ProcessKind::Service,
        StoredItem::Leases,
        Trust::Never,
        "a right to speak is shorter than any start",
    ),
    rule(
        ProcessKind::Service,
        StoredItem::ShutOuts,
        Trust::ConfirmedBy(Authority::Majority),
        "they are in the keeper's log, and end by themselves",
    ),
    rule(
        ProcessKind::Service,
        StoredItem::WallClock,
        Trust::Immediately,
        "it numbers by terms; its times only bound",
    ),
    rule(
        ProcessKind::Hub,
        StoredItem::Log,
        Trust::Immediately,
        "the index of its copies, by its checksums; what is torn is dropped",
    ),
    rule(
        ProcessKind::Hub,
        StoredItem::Copies,
        Trust::ConfirmedBy(Authority::Purges),
        "what was purged meanwhile must not go out",
    ),
    rule(ProcessKind::Hub, StoredItem::Name, Trust::Immediately, "it stands in its file"),
    rule(ProcessKind::Hub, StoredItem::StartNumber, Trust::Never, "each start has one that no other had"),
    rule(
        ProcessKind::Hub,
        StoredItem::LastShape,
        Trust::ConfirmedBy(Authority::Control),
        "the one in its file, if any, until a service speaks",
    ),
    rule(
        ProcessKind::Hub,
        StoredItem::Leases,
        Trust::Never,
        "its part of the archive's gate begins at the floor",
    ),
    rule(
        ProcessKind::Hub,
        StoredItem::WallClock,
        Trust::ConfirmedBy(Authority::Archive),
        "until then no copy on disk counts as fresh by its age",
    ),
    rule(ProcessKind::Hub, StoredItem::ColdAge, Trust::Never, "it starts cold, whatever it holds"),
    rule(
        ProcessKind::Hub,
        StoredItem::Paces,
        Trust::Immediately,
        "what a fill usually takes; it is only compared with",
    ),
    rule(ProcessKind::Feed, StoredItem::Name, Trust::Immediately, "it stands in its file"),
    rule(ProcessKind::Feed, StoredItem::StartNumber, Trust::Never, "each start has one that no other had"),
    rule(ProcessKind::Router, StoredItem::Name, Trust::Immediately, "it stands in its file"),
    rule(ProcessKind::Router, StoredItem::StartNumber, Trust::Never, "each start has one that no other had"),
    rule(
        ProcessKind::Router,
        StoredItem::Leases,
        Trust::Never,
        "the first lasts until the keeper's first answer",
    ),
    rule(ProcessKind::Router, StoredItem::Paces, Trust::Never, "routers begin again from nothing"),
];

/// What `who` trusts of it.
pub fn trust(who: ProcessKind, thing: StoredItem) -> Trust {
    TABLE
        .iter()
        .find(|rule| rule.process == who && rule.item == thing)
        .map_or(Trust::NotKept, |rule| rule.trust)
}

/// The table as the page has it.
pub fn markdown() -> String {
    let mut text = String::from("| process | what it finds | trusted | since |\n| --- | --- | --- | --- |\n");
    for rule in TABLE {
        let who = match rule.process {
            ProcessKind::Service => "service member",
            ProcessKind::Hub => "hub",
            ProcessKind::Feed => "branch feed",
            ProcessKind::Router => "router",
        };
        let thing = match rule.item {
            StoredItem::Log => "log",
            StoredItem::Copies => "copies",
            StoredItem::Name => "own name",
            StoredItem::StartNumber => "start number",
            StoredItem::LastShape => "last shape",
            StoredItem::SitePlan => "site plans",
            StoredItem::Leases => "leases",
            StoredItem::ShutOuts => "shut-outs",
            StoredItem::WallClock => "wall clock",
            StoredItem::ColdAge => "cold age",
            StoredItem::Paces => "usual times",
        };
        let trust = match rule.trust {
            Trust::Immediately => "at once",
            Trust::ConfirmedBy(Authority::Majority) => "once most members agree",
            Trust::ConfirmedBy(Authority::Purges) => "once the service of purges has told all",
            Trust::ConfirmedBy(Authority::Control) => "until the control service tells another",
            Trust::ConfirmedBy(Authority::Archive) => "once a fetch has shown the archive's time",
            Trust::Never => "never",
            Trust::NotKept => "not kept",
        };
        text += &format!("| {who} | {thing} | {trust} | {} |\n", rule.reason);
    }
    text
}
