//! The versions that determine what a process does, and the stamp that identifies them. Each number is assigned by its
//! source: the version of the shape, the number of the last purge, the sites that a plan excludes, the term of the group that
//! sent the version.
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// Everything that determines what a process does with a download.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Versions {
    /// Version of the program.
    pub build: String,
    /// Hash of its configuration.
    pub settings: u64,
    /// Version of the shape; 0 if it has none yet.
    pub shape: u64,
    /// Number of the last applied purge.
    pub purge: u64,
    /// Sites that it excludes by a fallback plan while no control service has a leader.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub plan: String,
    /// Term of the control service that sent the version.
    pub term: u64,
    /// Number of the set of keys that it verifies signatures with; 0 if there are none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub keys: u64,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// Compact form of [`Versions`]: a hash of all fields, and the two numbers that others compare directly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Stamp {
    pub digest: u64,
    pub shape: u64,
    pub purge: u64,
}

/// Greatest length of the text of a stamp.
pub const MAX_TEXT_BYTES: usize = 16 + 1 + 20 + 1 + 20;

impl Versions {
    /// The stamp of these versions.
    pub fn stamp(&self) -> Stamp {
        let mut hasher = blake3::Hasher::new();
        // Each text is prefixed with its length, so that different fields never give the same input.
        for text in [&self.build, &self.plan] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        for number in [self.settings, self.shape, self.purge, self.term, self.keys] {
            hasher.update(&number.to_le_bytes());
        }
        let mut digest = [0; 8];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Stamp { digest: u64::from_le_bytes(digest), shape: self.shape, purge: self.purge }
    }
}

/// Hash of a configuration, for [`Versions::settings`].
pub fn settings_digest(text: &[u8]) -> u64 {
    let mut digest = [0; 8];
    digest.copy_from_slice(&blake3::hash(text).as_bytes()[..8]);
    u64::from_le_bytes(digest)
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:016x}.{}.{}", self.digest, self.shape, self.purge)
    }
}

/// A text is not a valid stamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseStampError;

impl fmt::Display for ParseStampError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "invalid stamp: expected 16 hex digits and two numbers separated by dots")
    }
}

impl FromStr for Stamp {
    type Err = ParseStampError;

    fn from_str(text: &str) -> Result<Stamp, ParseStampError> {
        let mut parts = text.split('.');
        let (digest, shape, purge) = (parts.next(), parts.next(), parts.next());
        let digest = digest.filter(|d| d.len() == 16).and_then(|d| u64::from_str_radix(d, 16).ok());
        let number = |text: Option<&str>| text.and_then(|text| text.parse::<u64>().ok());
        match (digest, number(shape), number(purge), parts.next()) {
            (Some(digest), Some(shape), Some(purge), None) => Ok(Stamp { digest, shape, purge }),
            _ => Err(ParseStampError),
        }
    }
}

impl Serialize for Stamp {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Stamp {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Stamp, D::Error> {
        let text = String::deserialize(from)?;
        text.parse().map_err(|error: ParseStampError| D::Error::custom(format!("{error}: {text:?}")))
    }
}
