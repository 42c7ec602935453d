//! Items retained by the service and by each gatherer, in the order of their numbers and without gaps.
//! Access by number takes constant time.
use crate::messages::{Ack, Past};
use crate::sequencer::{Item, Payload};
use crate::service::CatchUp;
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of items in a message to a member or gatherer. One that lacks more receives the rest after
/// its next acknowledgement. This paces it by its own round trip and keeps each message below a tenth of the
/// longest that can be read.
pub const MAX_BATCH_ITEMS: usize = 512;

/// Size of an item in memory without its strings, in bytes.
const ITEM_BYTES: usize = size_of::<Item>();

/// Retained items.
#[derive(Clone, Debug, Default)]
pub struct RetainedItems {
    items: VecDeque<Item>,
    last: u64,
    /// Time of the latest evicted item; 0 if none was evicted.
    forgotten_ms: u64,
    bytes: usize,
}

/// Size of an item in memory, in bytes.
fn item_bytes(item: &Item) -> usize {
    let string_bytes = match &item.payload {
        Payload::Purge { scope, key, .. } => scope.text_bytes() + key.len(),
        Payload::Fenced { member } | Payload::Freed { member } => member.len(),
        Payload::FencedMany { members } | Payload::FreedMany { members } => {
            members.iter().map(|name| name.len() + size_of::<String>()).sum()
        }
    };
    ITEM_BYTES + string_bytes
}

impl RetainedItems {
    /// Creates an empty list that continues after `upto`. `forgotten_ms` is the time of the latest item
    /// before that.
    pub fn after_base(upto: u64, forgotten_ms: u64) -> RetainedItems {
        RetainedItems { last: upto, forgotten_ms, ..RetainedItems::default() }
    }

    /// Appends the next item. Returns false, without appending it, if it does not follow the last one.
    pub fn push(&mut self, item: Item) -> bool {
        if item.number != self.last + 1 {
            return false;
        }
        self.last = item.number;
        self.bytes += item_bytes(&item);
        self.items.push_back(item);
        true
    }

    /// Number of the first retained item, or of the next one if there is none.
    pub fn first(&self) -> u64 {
        self.last + 1 - self.items.len() as u64
    }

    /// Number of the last item, retained or evicted.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Time of the latest evicted item in Unix milliseconds; 0 if none was evicted.
    pub fn forgotten_ms(&self) -> u64 {
        self.forgotten_ms
    }

    /// Estimated size of the items in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of retained items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no items are retained.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The retained items in order.
    pub fn iter(&self) -> impl Iterator<Item = &Item> {
        self.items.iter()
    }

    /// The item with a number, if it is retained.
    pub fn get(&self, number: u64) -> Option<&Item> {
        self.items.get(number.checked_sub(self.first())? as usize)
    }

    /// Returns the items after a number in order, or `None` if some of them were evicted.
    pub fn after(&self, number: u64) -> Option<impl Iterator<Item = &Item>> {
        let first = self.first();
        (number + 1 >= first)
            .then(|| self.items.range(((number + 1 - first) as usize).min(self.items.len())..))
    }

    /// Evicts items older than `before_ms`, in Unix milliseconds, and the oldest ones beyond `max_bytes`.
    pub fn evict(&mut self, before_ms: u64, max_bytes: usize) {
        while let Some(first) = self.items.front() {
            if first.at_ms >= before_ms && self.bytes <= max_bytes {
                return;
            }
            self.forgotten_ms = self.forgotten_ms.max(first.at_ms);
            self.bytes -= item_bytes(first);
            self.items.pop_front();
        }
    }

    /// Returns what a member lacks according to its acknowledgement. `fully_applied`: all usable members
    /// have applied everything up to it. `fenced`: the members that are fenced now.
    pub fn catch_up(
        &self,
        ack: &Ack,
        fully_applied: u64,
        fenced: impl FnOnce() -> BTreeSet<String>,
    ) -> CatchUp {
        // The member is in the middle of a snapshot or up to date, so it goes on from what it has applied.
        if (ack.bootstrapped || ack.applied > 0)
            && let Some(after) = self.after(ack.applied)
        {
            return CatchUp::Delta(after.take(MAX_BATCH_ITEMS).cloned().collect());
        }
        // The member gets its copies from the archive or from members that have applied everything up to
        // `fully_applied`. If it keeps no copies from before, it needs no older purges; otherwise it needs
        // all that it had not applied.
        let from = match ack.past {
            Past::Cold => fully_applied,
            // A number beyond the last one belongs to another log and proves nothing.
            Past::Applied(number) if number <= self.last => number,
            Past::Applied(_) => 0,
        };
        let after = from.clamp(self.first() - 1, self.last);
        let items = self.after(after).into_iter().flatten().take(MAX_BATCH_ITEMS).cloned().collect();
        let (upto, forgotten_ms) = (self.last, self.forgotten_ms);
        CatchUp::Snapshot { after, upto, forgotten_ms, fenced: fenced(), items }
    }
}
