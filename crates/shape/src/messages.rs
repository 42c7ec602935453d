//! The messages between members, operators and the control service: one JSON object a line. A member's first
//! line is `SUB N NAME`, with the number of the last version that it has. An operator's first line is a
//! [`Request`].
use crate::archive_share::RateShare;
use crate::config::ShapeConfig;
use crate::control::{ChangeEvent, HubReport, Status};
use crate::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The upstreams of one node while these sites are lost together, computed beforehand. `harestage_sites`
/// decides on them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FallbackPlan {
    pub lost: BTreeSet<String>,
    #[serde(rename = "ties")]
    pub upstreams: Vec<String>,
}

/// To a member. If the term is older than the latest that the member has seen, the message comes from a
/// service that was replaced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToMember {
    /// A whole version. Hubs get it without branches, a branch's own feed with that branch only. It comes
    /// with the fallback plans for this member's node, so that the member can apply them while no service is
    /// reachable.
    Version {
        term: u64,
        shape: Box<ShapeConfig>,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        plans: Vec<FallbackPlan>,
    },
    /// The answer to a report of a top hub.
    #[serde(rename = "part")]
    Share(RateShare),
    /// The answer to a report of any other hub: the number of the newest version.
    #[serde(rename = "beat")]
    Heartbeat { term: u64, last: u64 },
    /// This member of the service is not the leader. `leader` is the leader's address if it is known.
    #[serde(rename = "elsewhere")]
    NotLeader {
        #[serde(rename = "serves")]
        leader: Option<String>,
    },
}

/// From a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FromMember {
    /// The regular report of a hub or a branch.
    Report(HubReport),
}

/// What an operator requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// The status of the service.
    Status,
    /// The current shape.
    Shape,
    /// The steps that a change would take, without taking any.
    Plan { form: Box<ShapeConfig> },
    /// Start a change, if the current version is the expected one.
    Apply { form: Box<ShapeConfig>, expect: Option<u64>, by: String },
    /// All events of changes from now on.
    Watch,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    Status(Box<Status>),
    Shape(Box<ShapeConfig>),
    Plan(Box<Plan>),
    /// An event of a change.
    #[serde(rename = "said")]
    Event(ChangeEvent),
    /// Each line names one thing that is wrong.
    Refused(Vec<String>),
    /// This member of the service is not the leader. `leader` is the leader's address if it is known.
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

/// The version and the name from a member's first line; `None` for any other line.
pub fn parse_subscribe(line: &str) -> Option<(u64, &str)> {
    let (last, name) = line.strip_prefix("SUB ")?.split_once(' ')?;
    Some((last.parse().ok()?, name)).filter(|_| is_name(name))
}

/// The first line of a member that gets whole versions, with all branches.
pub fn subscribe_all_line(last: u64, name: &str) -> String {
    format!("ALL {last} {name}\n")
}

/// The version and the name from such a line; `None` for any other line.
pub fn parse_subscribe_all(line: &str) -> Option<(u64, &str)> {
    let (last, name) = line.strip_prefix("ALL ")?.split_once(' ')?;
    Some((last.parse().ok()?, name)).filter(|_| is_name(name))
}

/// The first line of a branch's own feed.
pub fn subscribe_branch_line(last: u64, name: &str, branch: &str) -> String {
    format!("BRANCH {last} {name} {branch}\n")
}

/// The version, the name and the branch from such a line; `None` for any other line.
pub fn parse_subscribe_branch(line: &str) -> Option<(u64, &str, &str)> {
    let (head, branch) = line.strip_prefix("BRANCH ")?.rsplit_once(' ')?;
    let (last, name) = head.split_once(' ')?;
    Some((last.parse().ok()?, name, branch)).filter(|_| is_name(name) && is_name(branch))
}

fn is_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=32).contains(&name.len()) && name.bytes().all(allowed)
}

/// Encodes a message as one line, including the newline.
pub fn encode_line(message: &impl Serialize) -> Vec<u8> {
    let mut text = serde_json::to_vec(message).unwrap_or_default();
    text.push(b'\n');
    text
}
