//! What each kind of process trusts from before its start. One table: the starts of the program go by it, and the page
//! prints it.
use serde::{Deserialize, Serialize};

/// Kinds of processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Who {
    /// A member of the control service, of the service of purges, or of the keeper.
    Service,
    Hub,
    Feed,
    Router,
}

pub const EVERYBODY: [Who; 4] = [Who::Service, Who::Hub, Who::Feed, Who::Router];

/// What may be found at a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Thing {
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

pub const EVERYTHING: [Thing; 11] = [
    Thing::Log,
    Thing::Copies,
    Thing::Name,
    Thing::StartNumber,
    Thing::LastShape,
    Thing::SitePlan,
    Thing::Leases,
    Thing::ShutOuts,
    Thing::WallClock,
    Thing::ColdAge,
    Thing::Paces,
];

/// Whose word it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum By {
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
    AtOnce,
    Once(By),
    Never,
    /// It keeps none.
    None,
}

/// A line of the table.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    pub who: Who,
    pub thing: Thing,
    pub trust: Trust,
    pub why: &'static str,
}

const fn rule(who: Who, thing: Thing, trust: Trust, why: &'static str) -> Rule {
    Rule { who, thing, trust, why }
}

/// All of it. What is not named is not kept.
pub const TABLE: &[Rule] = &[
    rule(
        Who::Service,
        Thing::Log,
        Trust::Once(By::Majority),
        "others may have agreed on more, and another may lead",
    ),
    rule(
        Who::Service,
        Thing::Name,
        Trust::Once(By::Majority),
        "a member that lost its disk comes back only as a new one",
    ),
    rule(Who::Service, Thing::LastShape, Trust::Once(By::Majority), "it is in the log"),
    rule(Who::Service, Thing::SitePlan, Trust::Never, "plans are made anew from the shape"),
    rule(Who::Service, Thing::Leases, Trust::Never, "a right to speak is shorter than any start"),
    rule(
        Who::Service,
        Thing::ShutOuts,
        Trust::Once(By::Majority),
        "they are in the keeper's log, and end by themselves",
    ),
    rule(Who::Service, Thing::WallClock, Trust::AtOnce, "it numbers by terms; its times only bound"),
    rule(
        Who::Hub,
        Thing::Log,
        Trust::AtOnce,
        "the index of its copies, by its checksums; what is torn is dropped",
    ),
    rule(Who::Hub, Thing::Copies, Trust::Once(By::Purges), "what was purged meanwhile must not go out"),
    rule(Who::Hub, Thing::Name, Trust::AtOnce, "it stands in its file"),
    rule(Who::Hub, Thing::StartNumber, Trust::Never, "each start has one that no other had"),
    rule(
        Who::Hub,
        Thing::LastShape,
        Trust::Once(By::Control),
        "the one in its file, if any, until a service speaks",
    ),
    rule(Who::Hub, Thing::Leases, Trust::Never, "its part of the archive's gate begins at the floor"),
    rule(
        Who::Hub,
        Thing::WallClock,
        Trust::Once(By::Archive),
        "until then no copy on disk counts as fresh by its age",
    ),
    rule(Who::Hub, Thing::ColdAge, Trust::Never, "it starts cold, whatever it holds"),
    rule(Who::Hub, Thing::Paces, Trust::AtOnce, "what a fill usually takes; it is only compared with"),
    rule(Who::Feed, Thing::Name, Trust::AtOnce, "it stands in its file"),
    rule(Who::Feed, Thing::StartNumber, Trust::Never, "each start has one that no other had"),
    rule(Who::Router, Thing::Name, Trust::AtOnce, "it stands in its file"),
    rule(Who::Router, Thing::StartNumber, Trust::Never, "each start has one that no other had"),
    rule(Who::Router, Thing::Leases, Trust::Never, "the first lasts until the keeper's first answer"),
    rule(Who::Router, Thing::Paces, Trust::Never, "routers begin again from nothing"),
];

/// What `who` trusts of it.
pub fn trust(who: Who, thing: Thing) -> Trust {
    TABLE.iter().find(|rule| rule.who == who && rule.thing == thing).map_or(Trust::None, |rule| rule.trust)
}

/// The table as the page has it.
pub fn markdown() -> String {
    let mut text = String::from("| process | what it finds | trusted | since |\n| --- | --- | --- | --- |\n");
    for rule in TABLE {
        let who = match rule.who {
            Who::Service => "service member",
            Who::Hub => "hub",
            Who::Feed => "branch feed",
            Who::Router => "router",
        };
        let thing = match rule.thing {
            Thing::Log => "log",
            Thing::Copies => "copies",
            Thing::Name => "own name",
            Thing::StartNumber => "start number",
            Thing::LastShape => "last shape",
            Thing::SitePlan => "site plans",
            Thing::Leases => "leases",
            Thing::ShutOuts => "shut-outs",
            Thing::WallClock => "wall clock",
            Thing::ColdAge => "cold age",
            Thing::Paces => "usual times",
        };
        let trust = match rule.trust {
            Trust::AtOnce => "at once",
            Trust::Once(By::Majority) => "once most members agree",
            Trust::Once(By::Purges) => "once the service of purges has told all",
            Trust::Once(By::Control) => "until the control service tells another",
            Trust::Once(By::Archive) => "once a fetch has shown the archive's time",
            Trust::Never => "never",
            Trust::None => "not kept",
        };
        text += &format!("| {who} | {thing} | {trust} | {} |\n", rule.why);
    }
    text
}
