//! What members, operators and the control service write to each other: one JSON object a line. A member's first line
//! is `SUB N NAME`, with the number of the last version that it has; an operator's is a `Call`.
use crate::archive_share::RateShare;
use crate::config::ShapeConfig;
use crate::control::{ChangeEvent, HubReport, Status};
use crate::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The ties of one place while these sites are lost together, worked out beforehand; `harestage_sites` decides on them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FallbackPlan {
    pub lost: BTreeSet<String>,
    #[serde(rename = "ties")]
    pub upstreams: Vec<String>,
}

/// To a member. A term that is older than one it has heard comes from a service that was replaced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToMember {
    /// A whole version, without branches: hubs need none of them, and a branch's own feed only that one. With it come the
    /// plans for this member's place, so that it can carry them out with no service reachable.
    Version {
        term: u64,
        shape: Box<ShapeConfig>,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        plans: Vec<FallbackPlan>,
    },
    /// The answer to a report of a hub at the top.
    #[serde(rename = "part")]
    Share(RateShare),
    /// The answer to the report of any other: the number of the newest version.
    #[serde(rename = "beat")]
    Heartbeat { term: u64, last: u64 },
    /// This member of the service does not speak for it; the one that does is there, if that is known.
    #[serde(rename = "elsewhere")]
    NotLeader {
        #[serde(rename = "serves")]
        leader: Option<String>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FromMember {
    Report(HubReport),
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    Status,
    /// The shape as it is.
    Shape,
    /// The steps that a change would take, without taking any.
    Plan {
        form: Box<ShapeConfig>,
    },
    Apply {
        form: Box<ShapeConfig>,
        expect: Option<u64>,
        by: String,
    },
    /// Everything that is said of a change from now on.
    Watch,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    Status(Box<Status>),
    Shape(Box<ShapeConfig>),
    Plan(Box<Plan>),
    #[serde(rename = "said")]
    Event(ChangeEvent),
    /// Each line says one thing that is wrong.
    Refused(Vec<String>),
    /// This member of the service does not speak for it; the one that does is there, if that is known.
    #[serde(rename = "elsewhere")]
    NotLeader {
        #[serde(rename = "serves")]
        leader: Option<String>,
    },
}

/// The first line of a member.
pub fn subscribe_line(last: u64, name: &str) -> String {
    format!("SUB {last} {name}\n")
}

/// The number and name of a member's first line; none for anything else.
pub fn parse_subscribe(line: &str) -> Option<(u64, &str)> {
    let (last, name) = line.strip_prefix("SUB ")?.split_once(' ')?;
    Some((last.parse().ok()?, name)).filter(|_| is_name(name))
}

/// The first line of a member that is told whole versions, with all branches.
pub fn subscribe_all_line(last: u64, name: &str) -> String {
    format!("ALL {last} {name}\n")
}

/// The number and name of such a line; none for anything else.
pub fn parse_subscribe_all(line: &str) -> Option<(u64, &str)> {
    let (last, name) = line.strip_prefix("ALL ")?.split_once(' ')?;
    Some((last.parse().ok()?, name)).filter(|_| is_name(name))
}

/// The first line of a branch's own feed.
pub fn subscribe_branch_line(last: u64, name: &str, branch: &str) -> String {
    format!("BRANCH {last} {name} {branch}\n")
}

/// The number, name and branch of such a line; none for anything else.
pub fn parse_subscribe_branch(line: &str) -> Option<(u64, &str, &str)> {
    let (rest, branch) = line.strip_prefix("BRANCH ")?.rsplit_once(' ')?;
    let (last, name) = rest.split_once(' ')?;
    Some((last.parse().ok()?, name, branch)).filter(|_| is_name(name) && is_name(branch))
}

fn is_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=32).contains(&name.len()) && name.bytes().all(plain)
}

/// One line, with its end.
pub fn encode_line(what: &impl Serialize) -> Vec<u8> {
    let mut text = serde_json::to_vec(what).unwrap_or_default();
    text.push(b'\n');
    text
}
