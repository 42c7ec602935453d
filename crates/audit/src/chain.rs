//! The links of a record. Each contains the hash of the previous link and a hash of its own contents, so that a missing,
//! altered or moved link is detected.
use crate::sketch::Sketch;
use crate::stamp::{Stamp, Versions};
use serde::{Deserialize, Serialize};

/// Format version of the links. Links of other versions are rejected.
pub const FORMAT_VERSION: u32 = 1;

/// Outcome of a download.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    Fulfilled,
    Throttled,
    Abandoned,
    /// The client closed its connection.
    #[serde(rename = "left")]
    ClientLeft,
}

/// All outcomes, in the order of their numbers.
pub const OUTCOMES: [Outcome; 4] =
    [Outcome::Fulfilled, Outcome::Throttled, Outcome::Abandoned, Outcome::ClientLeft];

/// Pulls that a hub has received from one puller under one stamp.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReceivedPulls {
    /// Name of the process that pulled.
    #[serde(rename = "by")]
    pub puller: String,
    /// Place of the shape that it pulled for.
    pub place: String,
    pub stamp: Stamp,
    /// Number of admitted pulls.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Number of pulls that were refused for their stamp.
    pub refused: u64,
}

/// Number of downloads of one content type with one outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DownloadCount {
    pub content: String,
    pub outcome: Outcome,
    #[serde(rename = "many")]
    pub count: u64,
}

/// A period of downloads under one stamp.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    pub stamp: Stamp,
    /// First and last of the process's sequence numbers of its downloads, both inclusive; 0 and 0 if there are none.
    pub from: u64,
    pub to: u64,
    /// Begin and end by the process's own clock, Unix milliseconds.
    pub began_ms: u64,
    pub ended_ms: u64,
    pub downloads: Vec<DownloadCount>,
    /// Number of pulls that were sent under this stamp, by the name of the receiver.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pulls: Vec<(String, u64)>,
    /// Pulls that were received.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "answered")]
    pub received: Vec<ReceivedPulls>,
    /// When the oldest served copy was made, Unix milliseconds; 0 if none was served.
    #[serde(default)]
    pub oldest_ms: u64,
    /// Ids of the first and the last download.
    pub first: u64,
    pub last: u64,
    /// Sketch of the ids of all downloads.
    pub ids: Sketch,
}

impl Interval {
    /// Number of all downloads in the interval.
    pub fn download_count(&self) -> u64 {
        self.downloads.iter().map(|count| count.count).sum()
    }
}

/// The last link of the previous start, as far as the process knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastLink {
    pub start: u64,
    pub number: u64,
    pub hash: String,
}

/// Contents of a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A process has started. What the previous start did after its last link stays a gap.
    Began {
        #[serde(rename = "goes")]
        versions: Versions,
        #[serde(rename = "known")]
        last_link: Option<LastLink>,
    },
    /// The versions have changed; all later downloads are under the new stamp.
    Switched {
        #[serde(rename = "goes")]
        versions: Versions,
    },
    /// Downloads and pulls of a closed interval.
    #[serde(rename = "span")]
    Interval(Box<Interval>),
    /// The process has shut down in order; nothing follows.
    Ended,
}

/// One link of the record of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Link {
    #[serde(rename = "form")]
    pub format: u32,
    pub member: String,
    /// Number of the start, unique among the starts of the member.
    pub start: u64,
    /// Sequence number, from 1 without gaps.
    pub number: u64,
    /// Hash of the previous link; empty for the first.
    #[serde(rename = "before")]
    pub previous_hash: String,
    /// Time by the clock of the process, Unix milliseconds.
    pub at_ms: u64,
    pub body: Body,
    /// Hash of all other fields.
    pub hash: String,
}

impl Link {
    /// Creates a link and computes its hash.
    pub fn new(member: &str, start: u64, number: u64, previous_hash: &str, at_ms: u64, body: Body) -> Link {
        let mut link = Link {
            format: FORMAT_VERSION,
            member: member.into(),
            start,
            number,
            previous_hash: previous_hash.into(),
            at_ms,
            body,
            hash: String::new(),
        };
        link.hash = link.compute_hash();
        link
    }

    /// The hash of all fields except the hash itself, in a fixed order.
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

    /// Whether the hash matches the contents and the format is supported.
    pub fn is_intact(&self) -> bool {
        self.format == FORMAT_VERSION && self.hash == self.compute_hash()
    }
}
