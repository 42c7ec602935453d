//! Which downloads a piece may hold: a Bloom filter of ten bits a download, made for its count. It never misses one that was
//! entered; about one in a hundred others seems to be there.
use serde::{Deserialize, Serialize};

const BITS_EACH: usize = 10;
const PROBES: u64 = 7;
/// Downloads that one sketch is made for at most; further ones make it say yes more often.
pub const MAX_IDS: usize = 4_096;

/// Ids while a piece is open; the filter is made once, for as many as came.
#[derive(Clone, Debug, Default)]
pub struct Ids(Vec<u64>);

impl Ids {
    /// False: there is no room, and the piece has to be closed.
    pub fn push(&mut self, id: u64) -> bool {
        self.0.push(id);
        self.0.len() < MAX_IDS
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn first_and_last(&self) -> (u64, u64) {
        (self.0.first().copied().unwrap_or(0), self.0.last().copied().unwrap_or(0))
    }

    /// Takes them out, as a sketch.
    pub fn take_sketch(&mut self) -> Sketch {
        let mut words = vec![0u64; (self.0.len() * BITS_EACH).div_ceil(64)];
        let bits = words.len() as u64 * 64;
        for id in self.0.drain(..) {
            probes(id, bits).for_each(|bit| words[(bit / 64) as usize] |= 1 << (bit % 64));
        }
        Sketch { words: words.iter().map(|word| format!("{word:016x}")).collect() }
    }
}

/// As it is written: sixteen hex digits a word.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Sketch {
    words: String,
}

fn probes(id: u64, bits: u64) -> impl Iterator<Item = u64> {
    // Ids may be small numbers: mixed first (the finalizer of splitmix64), then stepped by an odd second hash.
    let mix = |mut x: u64| {
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    };
    let (first, step) = (mix(id.wrapping_add(0x9e37_79b9_7f4a_7c15)), mix(!id) | 1);
    (0..PROBES).map(move |n| first.wrapping_add(step.wrapping_mul(n)) % bits)
}

impl Sketch {
    pub fn may_contain(&self, id: u64) -> bool {
        let bits = self.words.len() as u64 / 16 * 64;
        let word = |at: u64| {
            let digits = self.words.get(at as usize * 16..at as usize * 16 + 16)?;
            u64::from_str_radix(digits, 16).ok()
        };
        bits > 0 && probes(id, bits).all(|bit| word(bit / 64).is_some_and(|w| w >> (bit % 64) & 1 == 1))
    }

    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    pub fn bytes(&self) -> usize {
        self.words.len() / 2
    }
}
