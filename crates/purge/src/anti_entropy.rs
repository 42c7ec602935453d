//! Anti-entropy between two sides that hold numbered items: finds the first number from which on they may
//! differ. One side sends digests of blocks of what it holds, with lengths that are powers of two. The other
//! side answers with the block that holds the first difference, and so on until the block is short.
//! Everything before it is the same on both sides, in whichever term it was sent, and need not be sent
//! again.
//!
//! The digests detect accidental differences. They do not resist someone who constructs two items with the
//! same digest.
use crate::pack::{PackedItem, encode};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::ops::RangeInclusive;
use twox_hash::XxHash3_64;

/// Maximum number of blocks in a message. A day at 12 purges a second, 1,036,800 items, takes four messages.
pub const MAX_BLOCKS: usize = 17;
/// Length of a block that is not searched any further, as sending its items again takes fewer bytes than
/// another message.
pub const LEAF_BLOCK_LENGTH: u64 = 16;

/// Digests of a range of items without gaps.
#[derive(Clone, Debug)]
pub struct RangeDigests {
    first: u64,
    /// Sums of the digests of all items before each number, so that the digest of a range is the difference
    /// of two sums. There is one more than there are items: the first covers what was before them.
    sums: VecDeque<u64>,
}

/// Digests of a range, block by block. Every block has `1 << shift` numbers and begins at a multiple of
/// that, except at the ends of the range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BlockDigests {
    pub first: u64,
    pub last: u64,
    pub shift: u32,
    pub digests: Vec<u64>,
}

/// Result of comparing the blocks of the other side with the local items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// Both sides hold the same items up to this number, as far as both hold any.
    Same { upto: u64 },
    /// The first difference is in this range; its blocks are needed next.
    Narrow(RangeInclusive<u64>),
    /// Everything before this number is the same; later items may differ.
    Differ { from: u64 },
    /// The sides hold no number in common.
    Disjoint,
    /// The blocks do not fit their range.
    Malformed,
}

impl RangeDigests {
    /// Creates an empty range; `first` is the number of the next item.
    pub fn new(first: u64) -> RangeDigests {
        RangeDigests { first, sums: VecDeque::from([0]) }
    }

    /// Adds the next item. Returns false if the item has another number.
    #[must_use]
    pub fn push(&mut self, item: &PackedItem) -> bool {
        let sum = self.sums.back().copied().unwrap_or_default();
        let is_next = item.number == self.next();
        if is_next {
            self.sums.push_back(sum.wrapping_add(item_digest(item)));
        }
        is_next
    }

    /// Drops all earlier numbers.
    pub fn forget_before(&mut self, number: u64) {
        while self.first < number && self.sums.len() > 1 {
            self.sums.pop_front();
            self.first += 1;
        }
    }

    /// Drops this and all later numbers, where the other side holds different items.
    pub fn forget_from(&mut self, number: u64) {
        let kept = number.saturating_sub(self.first);
        self.sums.truncate(usize::try_from(kept).unwrap_or(usize::MAX).saturating_add(1));
    }

    fn next(&self) -> u64 {
        self.first.saturating_add(self.sums.len() as u64 - 1)
    }

    /// The range of numbers held.
    pub fn held(&self) -> Option<RangeInclusive<u64>> {
        (self.sums.len() > 1).then(|| self.first..=self.next() - 1)
    }

    /// Digest of a range that is held.
    fn range_digest(&self, range: &RangeInclusive<u64>) -> u64 {
        let sum = |number: u64| self.sums.get((number - self.first) as usize).copied().unwrap_or_default();
        sum(*range.end() + 1).wrapping_sub(sum(*range.start()))
    }

    /// Returns the blocks of a range, as far as it is held.
    pub fn blocks(&self, range: &RangeInclusive<u64>) -> Option<BlockDigests> {
        let (first, last) = intersection(&self.held()?, range)?.into_inner();
        let mut shift = 0;
        while (last >> shift) - (first >> shift) >= MAX_BLOCKS as u64 {
            shift += 1;
        }
        let digests = split_into_blocks(first, last, shift).map(|block| self.range_digest(&block)).collect();
        Some(BlockDigests { first, last, shift, digests })
    }

    /// Compares the blocks of the other side with the local items.
    pub fn compare(&self, theirs: &BlockDigests) -> Comparison {
        let BlockDigests { first, last, shift, digests } = theirs;
        let is_valid = first <= last && *shift < u64::BITS && *last < u64::MAX;
        if !is_valid
            || digests.len() > MAX_BLOCKS
            || (last >> shift) - (first >> shift) + 1 != digests.len() as u64
        {
            return Comparison::Malformed;
        }
        let range = *first..=*last;
        let Some(shared) = self.held().and_then(|held| intersection(&held, &range)) else {
            return Comparison::Disjoint;
        };
        if shared != range {
            return Comparison::Narrow(shared);
        }
        let differs = split_into_blocks(*first, *last, *shift)
            .zip(digests)
            .find(|(block, digest)| self.range_digest(block) != **digest);
        match differs {
            None => Comparison::Same { upto: *last },
            Some((block, _)) if block.end() - block.start() < LEAF_BLOCK_LENGTH => {
                Comparison::Differ { from: *block.start() }
            }
            Some((block, _)) => Comparison::Narrow(block),
        }
    }
}

/// The blocks of a range in order.
fn split_into_blocks(first: u64, last: u64, shift: u32) -> impl Iterator<Item = RangeInclusive<u64>> {
    ((first >> shift)..=(last >> shift)).map(move |block| {
        let begins = block << shift;
        begins.max(first)..=(begins | ((1 << shift) - 1)).min(last)
    })
}

fn intersection(a: &RangeInclusive<u64>, b: &RangeInclusive<u64>) -> Option<RangeInclusive<u64>> {
    let shared = *a.start().max(b.start())..=*a.end().min(b.end());
    (!shared.is_empty()).then_some(shared)
}

/// Digest of all that a member receives of an item, including its term.
fn item_digest(item: &PackedItem) -> u64 {
    XxHash3_64::oneshot(&encode(std::slice::from_ref(item)))
}
