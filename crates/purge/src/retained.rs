//! Items as they are kept, by the service and by each gatherer: in the order of their numbers, without gaps. What is asked
//! for by a number is found at once, however many live.
use crate::messages::{Ack, Past};
use crate::sequencer::{Item, Payload};
use crate::service::CatchUp;
use std::collections::{BTreeSet, VecDeque};

/// Items that one line to a member or gatherer holds at most. Whoever lacks more is told the rest on its next
/// confirmation, which paces it by its own way and keeps each line under a tenth of the longest that is read.
pub const MAX_BATCH_ITEMS: usize = 512;

/// What stands around an item, beside its texts: in memory, in bytes.
const AROUND: usize = size_of::<Item>();

#[derive(Clone, Debug, Default)]
pub struct RetainedItems {
    items: VecDeque<Item>,
    last: u64,
    /// The time of the latest item that was forgotten; 0 if none was.
    forgotten_ms: u64,
    bytes: usize,
}

fn item_bytes(item: &Item) -> usize {
    let texts = match &item.payload {
        Payload::Purge { scope, key, .. } => scope.text_bytes() + key.len(),
        Payload::Fenced { member } | Payload::Freed { member } => member.len(),
        Payload::FencedMany { members } | Payload::FreedMany { members } => {
            members.iter().map(|name| name.len() + size_of::<String>()).sum()
        }
    };
    AROUND + texts
}

impl RetainedItems {
    /// Nothing of before that number is kept, the latest of it of that time.
    pub fn after_base(upto: u64, forgotten_ms: u64) -> RetainedItems {
        RetainedItems { last: upto, forgotten_ms, ..RetainedItems::default() }
    }

    /// The next item. False: it does not follow the last one, and is not taken.
    pub fn push(&mut self, item: Item) -> bool {
        if item.number != self.last + 1 {
            return false;
        }
        self.last = item.number;
        self.bytes += item_bytes(&item);
        self.items.push_back(item);
        true
    }

    /// The number of the first that is kept, or of the next.
    pub fn first(&self) -> u64 {
        self.last + 1 - self.items.len() as u64
    }

    pub fn last(&self) -> u64 {
        self.last
    }

    pub fn forgotten_ms(&self) -> u64 {
        self.forgotten_ms
    }

    /// About the bytes that the items take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Item> {
        self.items.iter()
    }

    pub fn get(&self, number: u64) -> Option<&Item> {
        self.items.get(number.checked_sub(self.first())? as usize)
    }

    /// What follows a number, in order; none if some of it is no longer kept.
    pub fn after(&self, number: u64) -> Option<impl Iterator<Item = &Item>> {
        let first = self.first();
        (number + 1 >= first)
            .then(|| self.items.range(((number + 1 - first) as usize).min(self.items.len())..))
    }

    /// Forgets what is older than that time, Unix milliseconds, and the oldest past that many bytes.
    pub fn evict(&mut self, before_ms: u64, most_bytes: usize) {
        while let Some(first) = self.items.front() {
            if first.at_ms >= before_ms && self.bytes <= most_bytes {
                return;
            }
            self.forgotten_ms = self.forgotten_ms.max(first.at_ms);
            self.bytes -= item_bytes(first);
            self.items.pop_front();
        }
    }

    /// What a member is told on its confirmation. `everyone_has`: all who may be used have all up to there. `fenced`: from
    /// whom nothing is taken now.
    pub fn catch_up(
        &self,
        said: &Ack,
        fully_applied: u64,
        fenced: impl FnOnce() -> BTreeSet<String>,
    ) -> CatchUp {
        // In the middle of what it is told, or complete: it goes on from what it has.
        if (said.bootstrapped || said.applied > 0)
            && let Some(after) = self.after(said.applied)
        {
            return CatchUp::Delta(after.take(MAX_BATCH_ITEMS).cloned().collect());
        }
        // Copies that it takes come from members that have all up to `everyone_has`, or from the archive: one that keeps
        // nothing from before needs no older purge. One that has kept something needs what it had not applied.
        let from = match said.past {
            Past::Cold => fully_applied,
            // A number from the future is of another order, and proves nothing.
            Past::Applied(number) if number <= self.last => number,
            Past::Applied(_) => 0,
        };
        let after = from.clamp(self.first() - 1, self.last);
        let items = self.after(after).into_iter().flatten().take(MAX_BATCH_ITEMS).cloned().collect();
        let (upto, forgotten_ms) = (self.last, self.forgotten_ms);
        CatchUp::Snapshot { after, upto, forgotten_ms, fenced: fenced(), items }
    }
}
