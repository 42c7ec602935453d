//! Requests of operators about the group itself, as lines of JSON. The service accepts them on the same port as its own.
use harestage_group::{Member, ReplicaStatus};
use serde::{Deserialize, Serialize};

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupRequest {
    GroupStatus,
    GroupAdd { member: Member },
    GroupRemove { name: String },
}

/// The response to a [`GroupRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupResponse {
    GroupStatus(Box<ReplicaStatus>),
    /// The change of members was proposed. The status shows when it is committed.
    GroupChanging,
    /// This member is not the leader, or does not hold the leader lease. Contains the service address of the leader if it
    /// is known.
    #[serde(rename = "elsewhere")]
    NotLeader(Option<String>),
    Refused(String),
}
