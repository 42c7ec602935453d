//! The links of a record. Each holds the hash of the one before, over the bytes of its own words, so that a link that is
//! missing, altered, or put elsewhere shows.
use crate::sketch::Sketch;
use crate::stamp::{Stamp, Versions};
use serde::{Deserialize, Serialize};

/// Form of the links; a later one is named, and not read.
pub const FORMAT_VERSION: u32 = 1;

/// What became of a download.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    Fulfilled,
    Throttled,
    Abandoned,
    /// Whoever asked has left.
    #[serde(rename = "left")]
    ClientLeft,
}

pub const OUTCOMES: [Outcome; 4] =
    [Outcome::Fulfilled, Outcome::Throttled, Outcome::Abandoned, Outcome::ClientLeft];

/// Pulls that a hub was asked for, as their puller stamped them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReceivedPulls {
    /// Who pulled, and for which place of the shape.
    #[serde(rename = "by")]
    pub puller: String,
    pub place: String,
    pub stamp: Stamp,
    /// Those that were taken, and those that were refused for their stamp.
    #[serde(rename = "taken")]
    pub accepted: u64,
    pub refused: u64,
}

/// Downloads of one content type with one outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DownloadCount {
    pub content: String,
    pub outcome: Outcome,
    #[serde(rename = "many")]
    pub count: u64,
}

/// A stretch of downloads under one stamp.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    pub stamp: Stamp,
    /// The process's own numbers of its downloads: from the first to the last, both among them; none: 0 and 0.
    pub from: u64,
    pub to: u64,
    /// The process's own clock.
    pub began_ms: u64,
    pub ended_ms: u64,
    pub downloads: Vec<DownloadCount>,
    /// Pulls that went out under this stamp, by whom they went to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pulls: Vec<(String, u64)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "answered")]
    pub received: Vec<ReceivedPulls>,
    /// When the oldest copy that was given out was made, Unix milliseconds; 0: none was.
    #[serde(default)]
    pub oldest_ms: u64,
    /// Ids of the first and the last, and which may be among them.
    pub first: u64,
    pub last: u64,
    pub ids: Sketch,
}

impl Interval {
    pub fn download_count(&self) -> u64 {
        self.downloads.iter().map(|count| count.count).sum()
    }
}

/// The last link that a process can know of from before its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastLink {
    pub start: u64,
    pub number: u64,
    pub hash: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A process begins. What the one before did after its last link stays a gap.
    Began {
        #[serde(rename = "goes")]
        versions: Versions,
        #[serde(rename = "known")]
        last_link: Option<LastLink>,
    },
    /// From here on it goes by this; all downloads after it are under this stamp.
    Switched {
        #[serde(rename = "goes")]
        versions: Versions,
    },
    #[serde(rename = "span")]
    Interval(Box<Interval>),
    /// It ends in order: nothing follows.
    Ended,
}

/// One link of one process's record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Link {
    #[serde(rename = "form")]
    pub format: u32,
    pub member: String,
    /// No other start of it has this number.
    pub start: u64,
    /// From 1 on, without a gap.
    pub number: u64,
    /// Hash of the one before; empty for the first.
    #[serde(rename = "before")]
    pub previous_hash: String,
    pub at_ms: u64,
    pub body: Body,
    pub hash: String,
}

impl Link {
    pub fn new(member: &str, start: u64, number: u64, before: &str, at_ms: u64, body: Body) -> Link {
        let mut link = Link {
            format: FORMAT_VERSION,
            member: member.into(),
            start,
            number,
            previous_hash: before.into(),
            at_ms,
            body,
            hash: String::new(),
        };
        link.hash = link.compute_hash();
        link
    }

    /// Its hash by its words: over all of it but the hash itself, in the one order that the types give.
    fn compute_hash(&self) -> String {
        let body = serde_json::to_vec(&self.body).unwrap_or_default();
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.format.to_le_bytes());
        for text in [self.member.as_bytes(), self.previous_hash.as_bytes(), &body] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text);
        }
        for number in [self.start, self.number, self.at_ms] {
            hasher.update(&number.to_le_bytes());
        }
        hasher.finalize().to_hex().to_string()
    }

    /// Whether its words are those that its hash was made of.
    pub fn is_intact(&self) -> bool {
        self.format == FORMAT_VERSION && self.hash == self.compute_hash()
    }
}
