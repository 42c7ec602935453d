//! What staff asks of a group, as lines of JSON that the service takes beside its own.
use harestage_group::{Member, ReplicaStatus};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    GroupStatus,
    GroupAdd { member: Member },
    GroupRemove { name: String },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    GroupStatus(Box<ReplicaStatus>),
    /// The change has begun; the status shows when it is agreed on.
    GroupChanging,
    /// This member does not lead, or may not speak: where the one that does serves, if that is known.
    Elsewhere(Option<String>),
    Refused(String),
}
