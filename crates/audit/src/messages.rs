//! What audited processes, operators and the keeper write to each other: one JSON object a line.
use crate::chain::Link;
use crate::history::{CandidateInterval, Finding, StampPeriod, Summary};
use crate::lagging::{MemberStatus, Share};
use crate::stamp::Stamp;
use harestage_shape::config::ShapeConfig;
use harestage_shape::messages::FallbackPlan;
use serde::{Deserialize, Serialize};

/// What kind of process it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Hub,
    #[default]
    Router,
    Feed,
}

/// What a process says of itself, some times a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub member: String,
    pub start: u64,
    pub role: Role,
    /// The site or branch that it is at, for the floor of those that are shut out.
    pub site: String,
    /// Its own clock.
    pub now_ms: u64,
    pub stamp: Stamp,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub links: Vec<Link>,
    /// A version that it was given and can't take, and why.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "refuses")]
    pub rejected: Option<(u64, String)>,
}

/// How a straggler is brought up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// Ties of single places, for whoever has the version `from`.
    Difference { from: u64, to: u64, ties: Vec<(String, Vec<String>)> },
    /// The whole version as hubs and branches' feeds take it.
    #[serde(rename = "whole")]
    Full { shape: Box<ShapeConfig>, plans: Vec<FallbackPlan> },
    /// The whole list as routers take it: an event of the platform's feed, whose number says nothing.
    #[serde(rename = "listing")]
    Membership { event: String },
    /// Nothing else has helped.
    Restart {
        #[serde(rename = "why")]
        reason: String,
    },
}

/// Who is refused by hubs, and what is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRules {
    /// Members that are shut out, each with the share of its pulls that is let in all the same.
    #[serde(rename = "shut")]
    pub excluded: Vec<(String, f64)>,
    /// The least numbers that are not forbidden.
    #[serde(rename = "shape")]
    pub min_shape: u64,
    #[serde(rename = "purge")]
    pub min_purge: u64,
}

/// The answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeeperMessage {
    Ack {
        term: u64,
        start: u64,
        /// All links up to that number are on disk.
        upto: u64,
        lease_ms: u64,
        /// It is shut out: it is to act no more until it has caught up.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "shut")]
        excluded: Option<String>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "bring")]
        update: Option<Update>,
        /// For hubs.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "refuse")]
        admission: Option<AdmissionRules>,
    },
    /// This member of the keeper does not speak for it; the one that does is there, if that is known.
    #[serde(rename = "elsewhere")]
    NotLeader {
        #[serde(rename = "serves")]
        leader_address: Option<String>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessMessage {
    #[serde(rename = "audited")]
    Report(Box<Report>),
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRequest {
    AuditStatus,
    /// Who acted on what between these, Unix milliseconds of the keeper.
    AuditWho {
        from_ms: u64,
        to_ms: u64,
    },
    /// When each process took this version, or this purge, up.
    AuditWhen {
        shape: Option<u64>,
        purge: Option<u64>,
    },
    #[serde(rename = "audit_stragglers")]
    AuditLagging,
    /// The download of this id.
    AuditExplain {
        id: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorResponse {
    Status(Box<KeeperStatus>),
    Who(Vec<StampPeriod>),
    When(Vec<Adoption>),
    #[serde(rename = "stragglers")]
    Lagging(Vec<MemberStatus>),
    Explained(Vec<CandidateInterval>),
    Refused(String),
    #[serde(rename = "elsewhere")]
    NotLeader {
        #[serde(rename = "serves")]
        leader_address: Option<String>,
    },
}

/// When a process took a number up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Adoption {
    pub member: String,
    pub start: u64,
    /// None: it never did, as far as it has told.
    pub at_ms: Option<u64>,
    /// How long after it was due.
    pub after_ms: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeeperStatus {
    pub term: u64,
    pub now_ms: u64,
    pub shape: u64,
    pub purge: u64,
    pub members: Vec<MemberStatus>,
    #[serde(rename = "shut")]
    pub excluded: Vec<(String, Share)>,
    pub chains: Summary,
    pub findings: Vec<Finding>,
}

/// One line, with its end.
pub fn to_line(what: &impl Serialize) -> Vec<u8> {
    let mut text = serde_json::to_vec(what).unwrap_or_default();
    text.push(b'\n');
    text
}
