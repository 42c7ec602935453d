//! What members, gatherers, clients and the service of purges write to each other: one JSON object a line. The first line
//! says who it is.
use crate::membership::MembershipDigest;
use crate::promise::{Promise, Report};
use crate::scope::Scope;
use crate::sequencer::Item;
use crate::service::CatchUp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a member still has from before its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Past {
    /// Copies, to which all purges up to that number were applied; 0: none were, so that it needs all that live.
    Applied(u64),
    /// No copy at all.
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

/// The first and only kind of line of a member: which process it is, and what it has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ack {
    pub member: String,
    /// A number that no other start of it has.
    #[serde(rename = "start")]
    pub incarnation: u64,
    #[serde(rename = "has")]
    pub applied: u64,
    /// It was told all that lives since its start.
    #[serde(rename = "told_all")]
    pub bootstrapped: bool,
    #[serde(default, skip_serializing_if = "Past::is_usual")]
    pub past: Past,
}

/// A gatherer's line: what all below it have, as one number, and who is an exception. It says nothing of anyone who is not
/// on the roster that the service has from it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatheredReport {
    /// Itself, as a member that follows.
    #[serde(rename = "by")]
    pub gatherer: Ack,
    #[serde(rename = "roster")]
    pub membership: MembershipUpdate,
    /// All on the roster have all up to it, but those behind.
    pub floor: u64,
    /// Those that have less, or were not told all since their start (0).
    #[serde(rename = "behind", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub lagging: BTreeMap<String, u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipUpdate {
    /// As it was told before.
    #[serde(rename = "same")]
    Unchanged(MembershipDigest),
    /// Names, each with the number of its process.
    #[serde(rename = "whole")]
    Full(BTreeMap<String, u64>),
}

/// The first line of a gatherer, and all further ones: an object of its own, so that it can't be read as a member's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FromGatherer {
    Gathered(GatheredReport),
}

/// To a member, as the answer to each of its lines and whenever there is something new.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToMember {
    Items {
        term: u64,
        #[serde(with = "packed")]
        items: Vec<Item>,
    },
    /// The first piece of all that it needs: items after `after`. It knows all that lives once it has all up to `upto`.
    #[serde(rename = "all")]
    Snapshot {
        term: u64,
        /// Nothing up to there is told.
        #[serde(default)]
        after: u64,
        upto: u64,
        forgotten_ms: u64,
        /// From whom nothing is taken, whatever the items say of it.
        #[serde(default)]
        fenced: BTreeSet<String>,
        #[serde(with = "packed")]
        items: Vec<Item>,
    },
    /// To a gatherer, after the items up to `upto`: the roster that the service has from it now. Who is on it may be told
    /// all that lives once the gatherer has all up to there.
    #[serde(rename = "roster")]
    Membership {
        #[serde(rename = "taken")]
        accepted: MembershipDigest,
        upto: u64,
        /// Everyone who may be used has all up to it.
        #[serde(rename = "everyone_has")]
        fully_applied: u64,
        /// Starts that were replaced by another one of the same name: their lines are to be ended.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        replaced: BTreeMap<String, u64>,
    },
    /// Another process counts under its name. One that runs all the same goes on as a new process, under another number.
    Replaced,
    /// This member of the service does not speak for it; the one that does is there, if that is known.
    #[serde(rename = "elsewhere")]
    NotLeader {
        #[serde(rename = "serves")]
        leader: Option<String>,
    },
}

/// Many items in a line stand there as one text, a tenth as long; without keys and tenants, which concern the service alone.
mod packed {
    use crate::pack::{PackedItem, PackedPayload, decode, encode, from_base64, to_base64};
    use crate::sequencer::{Item, Payload};
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    /// A few are told as they are, so that a person can read them.
    const FROM: usize = 32;

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Form {
        Each(Vec<Item>),
        Packed(String),
    }

    pub fn serialize<S: Serializer>(items: &[Item], to: S) -> Result<S::Ok, S::Error> {
        if items.len() < FROM {
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
        let text = match Form::deserialize(from)? {
            Form::Each(items) => return Ok(items),
            Form::Packed(text) => text,
        };
        let wrong = |why: crate::pack::PackError| D::Error::custom(why);
        let all = decode(&from_base64(&text).map_err(wrong)?).map_err(wrong)?;
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
    pub fn from_catch_up(term: u64, missing: CatchUp) -> ToMember {
        match missing {
            CatchUp::Delta(items) => ToMember::Items { term, items },
            CatchUp::Snapshot { after, items, upto, forgotten_ms, fenced } => {
                ToMember::Snapshot { term, after, upto, forgotten_ms, fenced, items }
            }
        }
    }
}

/// A name that can stand in a log and a list: 1 to 32 letters, digits, dots and dashes.
pub fn is_valid_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=32).contains(&name.len()) && name.bytes().all(plain)
}

impl Ack {
    pub fn has_valid_name(&self) -> bool {
        is_valid_name(&self.member)
    }
}

/// What a client asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    Submit {
        scope: Scope,
        #[serde(default)]
        tenant: u32,
        key: String,
    },
    /// The report of a purge, once it has ended.
    Wait {
        number: u64,
    },
    Status,
    /// Purges that live, after a number: a page of them, in their order.
    List {
        #[serde(default)]
        after: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    Accepted {
        number: u64,
        promise: Promise,
    },
    Report(Report),
    /// It was reached, and another member of the service gave the report.
    Reached {
        number: u64,
    },
    Status(Status),
    List(Vec<Item>),
    Refused(String),
    /// This member of the service does not speak for it; the one that does is there, if that is known.
    #[serde(rename = "elsewhere")]
    NotLeader {
        #[serde(rename = "serves")]
        leader: Option<String>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub term: u64,
    pub last: u64,
    pub open: usize,
    pub promise: Promise,
    pub members: Vec<MemberStatus>,
    /// Lines that were refused: they decided nothing.
    #[serde(default)]
    pub refused_lines: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub name: String,
    #[serde(rename = "has")]
    pub applied: u64,
    pub fenced: bool,
    /// The gatherer that speaks for it.
    #[serde(rename = "by", default, skip_serializing_if = "Option::is_none")]
    pub gatherer: Option<String>,
}

/// One line, with its end.
pub fn to_line(message: &impl Serialize) -> Vec<u8> {
    let mut text = serde_json::to_vec(message).unwrap_or_default();
    text.push(b'\n');
    text
}
