//! A bounded buffer of the newest consecutively numbered items.
use std::collections::VecDeque;

/// Keeps the newest items. Their numbers are consecutive, so items after a given number are found by position
/// instead of by a search.
pub struct RecentItems<T> {
    items: VecDeque<T>,
    /// Number of the newest item, 0 if there was none.
    last: u64,
    capacity: usize,
}

impl<T> RecentItems<T> {
    /// Creates an empty buffer that keeps at most `capacity` items.
    pub fn new(capacity: usize) -> RecentItems<T> {
        RecentItems { items: VecDeque::new(), last: 0, capacity }
    }

    /// Appends an item. If its number does not follow the last one, all earlier items are dropped.
    pub fn push(&mut self, number: u64, item: T) {
        if number != self.last + 1 {
            self.items.clear();
        }
        self.last = number;
        self.items.push_back(item);
        if self.items.len() > self.capacity {
            self.items.pop_front();
        }
    }

    /// Returns the number of the newest item, or 0.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Returns the buffered items with a higher number, in order.
    pub fn after(&self, number: u64) -> impl Iterator<Item = &T> {
        let newer = self.last.saturating_sub(number).min(self.items.len() as u64) as usize;
        self.items.range(self.items.len() - newer..)
    }

    /// Resets the buffer to its initial state.
    pub fn clear(&mut self) {
        self.items.clear();
        self.last = 0;
    }
}
