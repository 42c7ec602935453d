//! What members, clients and the service of purges write to each other: one JSON object a line. The first line says who
//! it is.
use crate::order::Item;
use crate::promise::{Promise, Report};
use crate::scope::Scope;
use crate::service::Missing;
use serde::{Deserialize, Serialize};

/// The first and only kind of line of a member: which process it is, and what it has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Confirm {
    pub member: String,
    /// A number that no other start of it has.
    pub start: u64,
    pub has: u64,
    /// It was told all that lives since its start.
    pub told_all: bool,
}

/// To a member, as the answer to each of its lines and whenever there is something new.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToMember {
    Items {
        term: u64,
        items: Vec<Item>,
    },
    All {
        term: u64,
        upto: u64,
        forgotten_ms: u64,
        items: Vec<Item>,
    },
    /// This member of the service does not speak for it; the one that does is there, if that is known.
    Elsewhere {
        serves: Option<String>,
    },
}

impl ToMember {
    pub fn of(term: u64, missing: Missing) -> ToMember {
        match missing {
            Missing::Items(items) => ToMember::Items { term, items },
            Missing::All { items, upto, forgotten_ms } => ToMember::All { term, upto, forgotten_ms, items },
        }
    }
}

impl Confirm {
    /// A name that can stand in a log and a list: 1 to 32 letters, digits, dots and dashes.
    pub fn is_named_well(&self) -> bool {
        let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        (1..=32).contains(&self.member.len()) && self.member.bytes().all(plain)
    }
}

/// What a client asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
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
    /// Purges that live.
    List,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    Accepted {
        number: u64,
        promise: Promise,
    },
    Report(Report),
    Status(Status),
    List(Vec<Item>),
    Refused(String),
    /// This member of the service does not speak for it; the one that does is there, if that is known.
    Elsewhere {
        serves: Option<String>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub term: u64,
    pub last: u64,
    pub open: usize,
    pub promise: Promise,
    pub members: Vec<MemberStatus>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub name: String,
    pub has: u64,
    pub fenced: bool,
}

/// One line, with its end.
pub fn line(what: &impl Serialize) -> Vec<u8> {
    let mut text = serde_json::to_vec(what).unwrap_or_default();
    text.push(b'\n');
    text
}
