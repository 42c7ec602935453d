//! Which downloads an interval may contain: a Bloom filter with ten bits for each download. It contains all downloads of the
//! interval, and about one in a hundred others as a false positive.
use serde::{Deserialize, Serialize};

const BITS_PER_ID: usize = 10;
const HASHES_PER_ID: u64 = 7;
/// Most ids in one sketch. An interval is closed when it has that many.
pub const MAX_IDS: usize = 4_096;

/// The ids of an open interval. The filter is built once, sized for their count.
#[derive(Clone, Debug, Default)]
pub struct Ids(Vec<u64>);

impl Ids {
    /// Adds an id. False if the list is full and the interval has to be closed.
    pub fn push(&mut self, id: u64) -> bool {
        self.0.push(id);
        self.0.len() < MAX_IDS
    }

    /// Number of ids.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no ids.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The first and the last id; 0 if there are none.
    pub fn first_and_last(&self) -> (u64, u64) {
        (self.0.first().copied().unwrap_or(0), self.0.last().copied().unwrap_or(0))
    }

    /// Removes all ids and returns their sketch.
    pub fn take_sketch(&mut self) -> Sketch {
        let mut words = vec![0u64; (self.0.len() * BITS_PER_ID).div_ceil(64)];
        let bits = words.len() as u64 * 64;
        for id in self.0.drain(..) {
            bit_positions(id, bits).for_each(|bit| words[(bit / 64) as usize] |= 1 << (bit % 64));
        }
        Sketch { words: words.iter().map(|word| format!("{word:016x}")).collect() }
    }
}

/// A Bloom filter in its written form: 16 hex digits for each 64-bit word.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Sketch {
    words: String,
}

fn bit_positions(id: u64, bits: u64) -> impl Iterator<Item = u64> {
    // Ids may be small numbers, so they are mixed with the finalizer of splitmix64. Further probes add an odd second hash
    // (double hashing).
    let mix = |mut x: u64| {
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    };
    let (first, step) = (mix(id.wrapping_add(0x9e37_79b9_7f4a_7c15)), mix(!id) | 1);
    (0..HASHES_PER_ID).map(move |n| first.wrapping_add(step.wrapping_mul(n)) % bits)
}

impl Sketch {
    /// Whether the interval may contain this id. A no is certain.
    pub fn may_contain(&self, id: u64) -> bool {
        let bits = self.words.len() as u64 / 16 * 64;
        let word = |at: u64| {
            let digits = self.words.get(at as usize * 16..at as usize * 16 + 16)?;
            u64::from_str_radix(digits, 16).ok()
        };
        bits > 0
            && bit_positions(id, bits).all(|bit| word(bit / 64).is_some_and(|w| w >> (bit % 64) & 1 == 1))
    }

    /// Whether the sketch is of no ids.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// Size of the filter in bytes.
    pub fn bytes(&self) -> usize {
        self.words.len() / 2
    }
}
