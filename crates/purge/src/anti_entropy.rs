//! From which number on do two differ who each hold purges by number? One says digests of blocks of what it holds, whose
//! lengths are powers of two; the other says in which block the first difference is, and so on until the block is short.
//! What both hold before it is the same, under whatever term it was told, and need not be told again.
//!
//! Digests guard against mistakes, not against somebody who looks for two purges of one digest.
use crate::pack::{PackedItem, encode};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::ops::RangeInclusive;
use twox_hash::XxHash3_64;

/// Blocks that one message has at most: a day at 12 a second, 1,036,800, is searched in four of them.
pub const MAX_BLOCKS: usize = 17;
/// Numbers of a block that is searched no further: to tell as many again takes less than another message.
pub const LEAF_BLOCK_LENGTH: u64 = 16;

/// Digests of all that is held, without gaps.
#[derive(Clone, Debug)]
pub struct RangeDigests {
    first: u64,
    /// Of all that was held up to each number, so that the digest of a range is the difference of two. One more than there
    /// are numbers: the first is of what was before.
    sums: VecDeque<u64>,
}

/// What one holds of a range, block by block. All blocks have `1 << shift` numbers and begin at multiples of that, but for
/// the ends of the range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BlockDigests {
    pub first: u64,
    pub last: u64,
    pub shift: u32,
    pub digests: Vec<u64>,
}

/// What follows from the blocks of the other side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// Both hold the same up to that number, as far as both hold it.
    Same { upto: u64 },
    /// The first difference is in this range: its blocks are wanted.
    Narrow(RangeInclusive<u64>),
    /// What is held before that number is the same; from there on it may differ.
    Differ { from: u64 },
    /// Nothing is held by both.
    Disjoint,
    /// Blocks that do not fit to their range.
    Malformed,
}

impl RangeDigests {
    /// Holds nothing yet; `first` is the number that comes next.
    pub fn new(first: u64) -> RangeDigests {
        RangeDigests { first, sums: VecDeque::from([0]) }
    }

    /// Takes the next in; false if it is another number.
    #[must_use]
    pub fn push(&mut self, item: &PackedItem) -> bool {
        let sum = self.sums.back().copied().unwrap_or_default();
        let is_next = item.number == self.next();
        if is_next {
            self.sums.push_back(sum.wrapping_add(digest(item)));
        }
        is_next
    }

    pub fn forget_before(&mut self, number: u64) {
        while self.first < number && self.sums.len() > 1 {
            self.sums.pop_front();
            self.first += 1;
        }
    }

    /// Forgets that number and all after it, which the other side holds otherwise.
    pub fn forget_from(&mut self, number: u64) {
        let kept = number.saturating_sub(self.first);
        self.sums.truncate(usize::try_from(kept).unwrap_or(usize::MAX).saturating_add(1));
    }

    fn next(&self) -> u64 {
        self.first.saturating_add(self.sums.len() as u64 - 1)
    }

    /// All that is held.
    pub fn held(&self) -> Option<RangeInclusive<u64>> {
        (self.sums.len() > 1).then(|| self.first..=self.next() - 1)
    }

    fn of(&self, range: &RangeInclusive<u64>) -> u64 {
        let sum = |number: u64| self.sums.get((number - self.first) as usize).copied().unwrap_or_default();
        sum(*range.end() + 1).wrapping_sub(sum(*range.start()))
    }

    /// The blocks of a range, as far as it is held.
    pub fn blocks(&self, range: &RangeInclusive<u64>) -> Option<BlockDigests> {
        let (first, last) = common(&self.held()?, range)?.into_inner();
        let mut shift = 0;
        while (last >> shift) - (first >> shift) >= MAX_BLOCKS as u64 {
            shift += 1;
        }
        let digests = cut(first, last, shift).map(|block| self.of(&block)).collect();
        Some(BlockDigests { first, last, shift, digests })
    }

    /// What the blocks of the other side say beside what is held here.
    pub fn compare(&self, theirs: &BlockDigests) -> Comparison {
        let BlockDigests { first, last, shift, digests } = theirs;
        let whole = first <= last && *shift < u64::BITS && *last < u64::MAX;
        if !whole
            || digests.len() > MAX_BLOCKS
            || (last >> shift) - (first >> shift) + 1 != digests.len() as u64
        {
            return Comparison::Malformed;
        }
        let range = *first..=*last;
        let Some(both) = self.held().and_then(|held| common(&held, &range)) else {
            return Comparison::Disjoint;
        };
        if both != range {
            return Comparison::Narrow(both);
        }
        let differs =
            cut(*first, *last, *shift).zip(digests).find(|(block, digest)| self.of(block) != **digest);
        match differs {
            None => Comparison::Same { upto: *last },
            Some((block, _)) if block.end() - block.start() < LEAF_BLOCK_LENGTH => {
                Comparison::Differ { from: *block.start() }
            }
            Some((block, _)) => Comparison::Narrow(block),
        }
    }
}

/// The blocks of a range, in order.
fn cut(first: u64, last: u64, shift: u32) -> impl Iterator<Item = RangeInclusive<u64>> {
    ((first >> shift)..=(last >> shift)).map(move |block| {
        let begins = block << shift;
        begins.max(first)..=(begins | ((1 << shift) - 1)).min(last)
    })
}

fn common(a: &RangeInclusive<u64>, b: &RangeInclusive<u64>) -> Option<RangeInclusive<u64>> {
    let both = *a.start().max(b.start())..=*a.end().min(b.end());
    (!both.is_empty()).then_some(both)
}

/// Of all that a member is told, the term among it.
fn digest(item: &PackedItem) -> u64 {
    XxHash3_64::oneshot(&encode(std::slice::from_ref(item)))
}
