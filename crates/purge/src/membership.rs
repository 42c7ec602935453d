//! Who is on a roster, as one number that both sides can hold against each other. It does not depend on order, and it
//! changes with each name and each process that joins or leaves, so that it is kept up without walking the roster.
use serde::{Deserialize, Serialize};

/// How many, and the sum of the hashes of each name with the number of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipDigest {
    #[serde(rename = "many")]
    pub count: u32,
    pub sum: u64,
}

fn hash(name: &str, incarnation: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&incarnation.to_le_bytes());
    hasher.update(name.as_bytes());
    let mut eight = [0; 8];
    eight.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(eight)
}

impl MembershipDigest {
    pub fn of<'a>(all: impl Iterator<Item = (&'a str, u64)>) -> MembershipDigest {
        let mut digest = MembershipDigest::default();
        all.for_each(|(name, incarnation)| digest.insert(name, incarnation));
        digest
    }

    pub fn insert(&mut self, name: &str, incarnation: u64) {
        self.count += 1;
        self.sum = self.sum.wrapping_add(hash(name, incarnation));
    }

    pub fn remove(&mut self, name: &str, incarnation: u64) {
        self.count = self.count.saturating_sub(1);
        self.sum = self.sum.wrapping_sub(hash(name, incarnation));
    }
}
