//! Messages between members, gatherers, clients and the purge service: one JSON object per line. The first
//! line identifies the sender.
use crate::membership::MembershipDigest;
use crate::promise::{Promise, Report};
use crate::scope::Scope;
use crate::sequencer::Item;
use crate::service::CatchUp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a member keeps from before its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Past {
    /// Copies to which all purges up to this number were applied. 0 means that none were, so that it needs
    /// all live ones.
    Applied(u64),
    /// No copies.
    Cold,
}

impl Default for Past {
    fn default() -> Past {
        Past::Applied(0)
    }
}

impl Past {
    fn is_usual(&self) -> bool {
        *self == Past::default()
    }
}

/// The only message of a member: the identity of its process and what it has applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ack {
    pub member: String,
    /// Identifies the process: no other start of the member has the same number.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// Everything up to this number is applied.
    #[serde(rename = "has")]
    pub applied: u64,
    /// The member has received all live items since its start.
    #[serde(rename = "told_all")]
    pub bootstrapped: bool,
    #[serde(default, skip_serializing_if = "Past::is_usual")]
    pub past: Past,
}

/// Report of a gatherer: the number that all its members have applied, and the exceptions. It says nothing
/// about processes that are not in the member list the service has from it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatheredReport {
    /// The gatherer's own acknowledgement as a follower.
    #[serde(rename = "by")]
    pub gatherer: Ack,
    #[serde(rename = "roster")]
    pub membership: MembershipUpdate,
    /// All members have applied everything up to this number, except the lagging ones.
    pub floor: u64,
    /// Members that have applied less, with what they have applied; 0 if they have not received all live
    /// items since their start.
    #[serde(rename = "behind", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub lagging: BTreeMap<String, u64>,
}

/// Member list of a gatherer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipUpdate {
    /// The list is the same as before.
    #[serde(rename = "same")]
    Unchanged(MembershipDigest),
    /// Names and incarnations.
    #[serde(rename = "whole")]
    Full(BTreeMap<String, u64>),
}

/// Message of a gatherer. It is wrapped in an object of its own, so that it cannot be mistaken for that of a
/// member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FromGatherer {
    Gathered(GatheredReport),
}

/// Message to a member or gatherer, in reply to each of its messages and whenever there are new items.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToMember {
    /// The items after those that were acknowledged, in the given term.
    Items {
        term: u64,
        #[serde(with = "packed")]
        items: Vec<Item>,
    },
    /// First batch of a snapshot: the live items after `after`. The member knows all live items once it has
    /// applied everything up to `upto`.
    #[serde(rename = "all")]
    Snapshot {
        term: u64,
        /// No items up to this number are sent.
        #[serde(default)]
        after: u64,
        upto: u64,
        forgotten_ms: u64,
        /// All fenced members, whatever the items say of them.
        #[serde(default)]
        fenced: BTreeSet<String>,
        #[serde(with = "packed")]
        items: Vec<Item>,
    },
    /// To a gatherer, after the items up to `upto`: the member list that the service has from it now. These
    /// members may receive the live items once the gatherer has everything up to `upto`.
    #[serde(rename = "roster")]
    Membership {
        #[serde(rename = "taken")]
        accepted: MembershipDigest,
        upto: u64,
        /// All usable members have applied everything up to this number.
        #[serde(rename = "everyone_has")]
        fully_applied: u64,
        /// Incarnations that were replaced by another one of the same name; their connections have to be
        /// closed.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        replaced: BTreeMap<String, u64>,
    },
    /// Another process has taken the name. A process that is still running continues under a new
    /// incarnation.
    Replaced,
    /// This server is not the leader. `leader` is the address of the leader, if known.
    #[serde(rename = "elsewhere")]
    NotLeader {
        #[serde(rename = "serves")]
        leader: Option<String>,
    },
}

/// Serializes many items as one packed text, a tenth of the size, without keys and tenants, which only the
/// service needs.
mod packed {
    use crate::pack::{PackedItem, PackedPayload, decode, encode, from_base64, to_base64};
    use crate::sequencer::{Item, Payload};
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    /// Fewer items than this stay readable JSON.
    const MIN_PACKED_ITEMS: usize = 32;

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Encoded {
        Each(Vec<Item>),
        Packed(String),
    }

    pub fn serialize<S: Serializer>(items: &[Item], to: S) -> Result<S::Ok, S::Error> {
        if items.len() < MIN_PACKED_ITEMS {
            return items.serialize(to);
        }
        let pack = |item: &Item| {
            let payload = match &item.payload {
                Payload::Purge { scope, .. } => PackedPayload::Purge(scope.clone()),
                Payload::Fenced { member } => PackedPayload::Fenced(vec![member.clone()]),
                Payload::Freed { member } => PackedPayload::Freed(vec![member.clone()]),
                Payload::FencedMany { members } => PackedPayload::Fenced(members.iter().cloned().collect()),
                Payload::FreedMany { members } => PackedPayload::Freed(members.iter().cloned().collect()),
            };
            PackedItem { number: item.number, term: item.term, at_ms: item.at_ms, payload }
        };
        let all: Vec<PackedItem> = items.iter().map(pack).collect();
        to.serialize_str(&to_base64(&encode(&all)))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Item>, D::Error> {
        let text = match Encoded::deserialize(from)? {
            Encoded::Each(items) => return Ok(items),
            Encoded::Packed(text) => text,
        };
        let invalid = |error: crate::pack::PackError| D::Error::custom(error);
        let all = decode(&from_base64(&text).map_err(invalid)?).map_err(invalid)?;
        let unpack = |item: PackedItem| {
            let payload = match item.payload {
                PackedPayload::Purge(scope) => Payload::Purge { scope, tenant: 0, key: String::new() },
                PackedPayload::Fenced(members) => Payload::fenced(members.into_iter().collect()),
                PackedPayload::Freed(members) => Payload::freed(members.into_iter().collect()),
            };
            Item { number: item.number, term: item.term, at_ms: item.at_ms, payload }
        };
        Ok(all.into_iter().map(unpack).collect())
    }
}

impl ToMember {
    /// The message that sends a member what it lacks.
    pub fn from_catch_up(term: u64, missing: CatchUp) -> ToMember {
        match missing {
            CatchUp::Delta(items) => ToMember::Items { term, items },
            CatchUp::Snapshot { after, items, upto, forgotten_ms, fenced } => {
                ToMember::Snapshot { term, after, upto, forgotten_ms, fenced, items }
            }
        }
    }
}

/// Returns whether a name can be used in logs and lists: 1 to 32 letters, digits, dots, dashes and
/// underscores.
pub fn is_valid_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=32).contains(&name.len()) && name.bytes().all(plain)
}

impl Ack {
    /// Returns whether the member's name is valid.
    pub fn has_valid_name(&self) -> bool {
        is_valid_name(&self.member)
    }
}

/// Request of a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Submit a purge. `key` makes retries idempotent.
    Submit {
        scope: Scope,
        #[serde(default)]
        tenant: u32,
        key: String,
    },
    /// Wait until a purge has ended and return the report.
    Wait { number: u64 },
    /// Return the status of the service.
    Status,
    /// List one page of the live purges after a number, in order.
    List {
        #[serde(default)]
        after: u64,
    },
}

/// Response to a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    Accepted {
        number: u64,
        promise: Promise,
    },
    Report(Report),
    /// The purge was reached, but another leader reported it.
    Reached {
        number: u64,
    },
    Status(Status),
    List(Vec<Item>),
    /// The request was refused, for the given reason.
    Refused(String),
    /// This server is not the leader. `leader` is the address of the leader, if known.
    #[serde(rename = "elsewhere")]
    NotLeader {
        #[serde(rename = "serves")]
        leader: Option<String>,
    },
}

/// Status of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub term: u64,
    pub last: u64,
    pub open: usize,
    pub promise: Promise,
    pub members: Vec<MemberStatus>,
    /// Number of messages that were refused without any effect.
    #[serde(default)]
    pub refused_lines: u64,
}

/// Status of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub name: String,
    #[serde(rename = "has")]
    pub applied: u64,
    pub fenced: bool,
    /// Gatherer that reports for the member.
    #[serde(rename = "by", default, skip_serializing_if = "Option::is_none")]
    pub gatherer: Option<String>,
}

/// Serializes a message as one line.
pub fn to_line(message: &impl Serialize) -> Vec<u8> {
    let mut text = serde_json::to_vec(message).unwrap_or_default();
    text.push(b'\n');
    text
}
