//! What a process goes by. Each number is that of whoever gives it: the shape's version, the last purge of the one order,
//! the sites that a plan leaves out, the term of the group that told it.
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// All that decides what a process does with a download.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Versions {
    pub build: String,
    /// Hash of its own file.
    pub settings: u64,
    /// Version of the shape; 0: none yet.
    pub shape: u64,
    /// The last purge that it has applied.
    pub purge: u64,
    /// Sites that it goes without by a plan, while no service speaks.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub plan: String,
    /// Term of the control service that told it the version.
    pub term: u64,
    /// Number of the keys that it checks by; 0: there are none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub keys: u64,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// The compact form: a hash of all of it, and the two numbers that others judge by at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Stamp {
    pub digest: u64,
    pub shape: u64,
    pub purge: u64,
}

/// Bytes of a stamp's text, at most.
pub const MAX_TEXT_BYTES: usize = 16 + 1 + 20 + 1 + 20;

impl Versions {
    pub fn stamp(&self) -> Stamp {
        let mut hasher = blake3::Hasher::new();
        // Lengths first, so that no two lists of fields read alike.
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

/// Hash of a file's bytes, for `settings`.
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

/// The text is no stamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseStampError;

impl fmt::Display for ParseStampError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "no stamp: 16 hex digits and two numbers")
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
        text.parse().map_err(|why: ParseStampError| D::Error::custom(format!("{why}: {text:?}")))
    }
}
