//! Messages between audited processes, operators and the keeper: one JSON object per line.
use crate::chain::Link;
use crate::history::{CandidateInterval, Finding, StampPeriod, Summary};
use crate::lagging::{MemberStatus, Share};
use crate::stamp::Stamp;
use harestage_shape::config::ShapeConfig;
use harestage_shape::messages::FallbackPlan;
use serde::{Deserialize, Serialize};

/// Kind of an audited process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Hub,
    #[default]
    Router,
    Feed,
}

/// Report of a process, sent several times a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub member: String,
    /// Number of its start.
    pub start: u64,
    pub role: Role,
    /// Its site or branch, for the limit on excluded members.
    pub site: String,
    /// Time by its own clock, Unix milliseconds.
    pub now_ms: u64,
    pub stamp: Stamp,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub links: Vec<Link>,
    /// A version that it was sent and rejected, and the reason.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "refuses")]
    pub rejected: Option<(u64, String)>,
}

/// How a lagging member is updated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// The changed upstream links of single places, for a process that has version `from`.
    Difference {
        from: u64,
        to: u64,
        #[serde(rename = "ties")]
        upstreams: Vec<(String, Vec<String>)>,
    },
    /// The whole version, in the form for hubs and branch feeds.
    #[serde(rename = "whole")]
    Full { shape: Box<ShapeConfig>, plans: Vec<FallbackPlan> },
    /// The whole member list, in the form for routers: an event of the platform's feed. Its number has no meaning.
    #[serde(rename = "listing")]
    Membership { event: String },
    /// The process should restart; sent when the other updates had no effect.
    Restart {
        #[serde(rename = "why")]
        reason: String,
    },
}

/// Whose pulls hubs refuse, and below which versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRules {
    /// Excluded members, each with the share of its pulls that is admitted nevertheless.
    #[serde(rename = "shut")]
    pub excluded: Vec<(String, f64)>,
    /// The lowest versions that are not forbidden.
    #[serde(rename = "shape")]
    pub min_shape: u64,
    #[serde(rename = "purge")]
    pub min_purge: u64,
}

/// Answer of the keeper to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeeperMessage {
    Ack {
        term: u64,
        start: u64,
        /// All links up to this number are on disk.
        upto: u64,
        lease_ms: u64,
        /// Reason why the process is excluded. It must not act until it has caught up.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "shut")]
        excluded: Option<String>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "bring")]
        update: Option<Update>,
        /// For hubs only.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "refuse")]
        admission: Option<AdmissionRules>,
    },
    /// This member of the keeper is not its leader; the address of the leader, if known.
    #[serde(rename = "elsewhere")]
    NotLeader {
        #[serde(rename = "serves")]
        leader_address: Option<String>,
    },
}

/// Message of an audited process to the keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessMessage {
    /// A report.
    #[serde(rename = "audited")]
    Report(Box<Report>),
}

/// Request of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRequest {
    AuditStatus,
    /// Who acted on which versions in this period, Unix milliseconds by the keeper's clock.
    AuditWho {
        from_ms: u64,
        to_ms: u64,
    },
    /// When each process adopted this version or this purge.
    AuditWhen {
        shape: Option<u64>,
        purge: Option<u64>,
    },
    #[serde(rename = "audit_stragglers")]
    AuditLagging,
    /// Which versions a download may have been handled under.
    AuditExplain {
        id: u64,
    },
}

/// Response to an operator.
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

/// When a process adopted a version or purge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Adoption {
    pub member: String,
    pub start: u64,
    /// None: not yet, as far as it has reported.
    pub at_ms: Option<u64>,
    /// Time after it was due.
    pub after_ms: Option<u64>,
}

/// Status of the keeper.
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

/// Serializes a message to one line with its line end.
pub fn to_line(message: &impl Serialize) -> Vec<u8> {
    let mut text = serde_json::to_vec(message).unwrap_or_default();
    text.push(b'\n');
    text
}
