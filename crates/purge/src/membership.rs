//! Digest of a gatherer's member list, by which both sides check that their lists agree. It does not depend
//! on the order and can be updated for each process that joins or leaves, without visiting the whole list.
use serde::{Deserialize, Serialize};

/// Number of members, and the sum of the hashes of each name and incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipDigest {
    #[serde(rename = "many")]
    pub count: u32,
    pub sum: u64,
}

/// Hash of a name and incarnation.
fn hash(name: &str, incarnation: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&incarnation.to_le_bytes());
    hasher.update(name.as_bytes());
    let mut first_bytes = [0; 8];
    first_bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first_bytes)
}

impl MembershipDigest {
    /// Digest of a list of names and incarnations.
    pub fn of<'a>(processes: impl Iterator<Item = (&'a str, u64)>) -> MembershipDigest {
        let mut digest = MembershipDigest::default();
        processes.for_each(|(name, incarnation)| digest.insert(name, incarnation));
        digest
    }

    /// Adds a process.
    pub fn insert(&mut self, name: &str, incarnation: u64) {
        self.count += 1;
        self.sum = self.sum.wrapping_add(hash(name, incarnation));
    }

    /// Removes a process.
    pub fn remove(&mut self, name: &str, incarnation: u64) {
        self.count = self.count.saturating_sub(1);
        self.sum = self.sum.wrapping_sub(hash(name, incarnation));
    }
}
