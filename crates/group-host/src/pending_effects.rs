//! A queue that holds each effect back until the group has committed the log entries before it.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

enum Pending<E> {
    /// Nothing after this entry may be executed before it is committed.
    Entry(Vec<u8>),
    Effect(E),
}

/// Effects that a leader's service has decided on but may not execute yet, with the log entries they wait for.
pub struct PendingEffects<E> {
    queue: RefCell<VecDeque<Pending<E>>>,
    /// Total number of elements that were added.
    added: Cell<u64>,
    /// Number of added elements that no longer wait.
    completed: Cell<u64>,
    /// How many times the queue was cleared.
    clears: Cell<u64>,
}

/// A position in the queue, up to which everything had been added at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    added: u64,
    clears: u64,
}

impl<E> Default for PendingEffects<E> {
    fn default() -> Self {
        PendingEffects {
            queue: RefCell::default(),
            added: Cell::default(),
            completed: Cell::default(),
            clears: Cell::default(),
        }
    }
}

impl<E> PendingEffects<E> {
    fn add(&self, pending: Pending<E>) {
        self.queue.borrow_mut().push_back(pending);
        self.added.set(self.added.get() + 1);
    }

    /// Adds a proposed log entry, for which all later effects wait.
    pub fn push_entry(&self, entry: Vec<u8>) {
        self.add(Pending::Entry(entry));
    }

    /// Adds an effect, which waits for all entries before it.
    pub fn push_effect(&self, effect: E) {
        self.add(Pending::Effect(effect));
    }

    /// Handles an entry that the group has committed. Only the entry at the head of the queue releases what follows it:
    /// any other was proposed by another member, or before this member became leader.
    pub fn on_committed(&self, data: &[u8]) {
        let mut queue = self.queue.borrow_mut();
        if matches!(queue.front(), Some(Pending::Entry(entry)) if entry == data) {
            queue.pop_front();
            self.completed.set(self.completed.get() + 1);
        }
    }

    /// Removes and returns the next effect, unless it still waits for an entry.
    pub fn pop_ready(&self) -> Option<E> {
        let mut queue = self.queue.borrow_mut();
        match queue.pop_front()? {
            Pending::Effect(effect) => {
                self.completed.set(self.completed.get() + 1);
                Some(effect)
            }
            entry => {
                queue.push_front(entry);
                None
            }
        }
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    /// Returns the current end of the queue.
    pub fn position(&self) -> Position {
        Position { added: self.added.get(), clears: self.clears.get() }
    }

    /// Returns whether everything up to a position is committed and executed, regardless of later additions. None if it
    /// was discarded by [`PendingEffects::clear`].
    pub fn is_completed(&self, position: Position) -> Option<bool> {
        (position.clears == self.clears.get()).then(|| self.completed.get() >= position.added)
    }

    /// Discards everything that waits.
    pub fn clear(&self) {
        self.queue.borrow_mut().clear();
        self.completed.set(self.added.get());
        self.clears.set(self.clears.get() + 1);
    }
}
