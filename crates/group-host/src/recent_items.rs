//! The newest of things that are numbered one after another.
use std::collections::VecDeque;

/// Holds a bounded number of things; what is after a number is found by its place, not by a search.
pub struct RecentItems<T> {
    held: VecDeque<T>,
    /// The number of the newest; 0: there was none.
    last: u64,
    most: usize,
}

impl<T> RecentItems<T> {
    pub fn new(most: usize) -> RecentItems<T> {
        RecentItems { held: VecDeque::new(), last: 0, most }
    }

    /// A number that does not follow the last one begins anew: nothing before it is held.
    pub fn push(&mut self, number: u64, what: T) {
        if number != self.last + 1 {
            self.held.clear();
        }
        self.last = number;
        self.held.push_back(what);
        if self.held.len() > self.most {
            self.held.pop_front();
        }
    }

    pub fn last(&self) -> u64 {
        self.last
    }

    /// What is held after a number, in order.
    pub fn after(&self, number: u64) -> impl Iterator<Item = &T> {
        let newer = self.last.saturating_sub(number).min(self.held.len() as u64) as usize;
        self.held.range(self.held.len() - newer..)
    }

    /// Holds nothing, as at first.
    pub fn clear(&mut self) {
        self.held.clear();
        self.last = 0;
    }
}
