//! Effects in their order, each behind the records that the group has to agree on first.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

enum Due<E> {
    /// Nothing behind it may be done before this is agreed on.
    Record(Vec<u8>),
    Effect(E),
}

/// What a service that leads has decided and may not tell yet.
pub struct PendingEffects<E> {
    due: RefCell<VecDeque<Due<E>>>,
    /// How many came, and how many of them wait no more.
    came: Cell<u64>,
    done: Cell<u64>,
    /// How often all of it was thrown away.
    cleared: Cell<u64>,
}

/// All that waited at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    upto: u64,
    cleared: u64,
}

impl<E> Default for PendingEffects<E> {
    fn default() -> Self {
        PendingEffects {
            due: RefCell::default(),
            came: Cell::default(),
            done: Cell::default(),
            cleared: Cell::default(),
        }
    }
}

impl<E> PendingEffects<E> {
    fn add(&self, due: Due<E>) {
        self.due.borrow_mut().push_back(due);
        self.came.set(self.came.get() + 1);
    }

    pub fn push_entry(&self, record: Vec<u8>) {
        self.add(Due::Record(record));
    }

    pub fn push_effect(&self, effect: E) {
        self.add(Due::Effect(effect));
    }

    /// The group has agreed on something. Only the record at the head frees what is behind it: anything else is not this
    /// member's, or was decided before it led.
    pub fn on_committed(&self, data: &[u8]) {
        let mut due = self.due.borrow_mut();
        if matches!(due.front(), Some(Due::Record(own)) if own == data) {
            due.pop_front();
            self.done.set(self.done.get() + 1);
        }
    }

    /// The next effect that waits for nothing.
    pub fn pop_ready(&self) -> Option<E> {
        let mut due = self.due.borrow_mut();
        match due.pop_front()? {
            Due::Effect(effect) => {
                self.done.set(self.done.get() + 1);
                Some(effect)
            }
            record => {
                due.push_front(record);
                None
            }
        }
    }

    pub fn is_empty(&self) -> bool {
        self.due.borrow().is_empty()
    }

    /// All that waits now.
    pub fn position(&self) -> Position {
        Position { upto: self.came.get(), cleared: self.cleared.get() }
    }

    /// Whether all that waited at the mark was agreed on and done, whatever has come since. None: it was thrown away.
    pub fn is_completed(&self, mark: Position) -> Option<bool> {
        (mark.cleared == self.cleared.get()).then(|| self.done.get() >= mark.upto)
    }

    pub fn clear(&self) {
        self.due.borrow_mut().clear();
        self.done.set(self.came.get());
        self.cleared.set(self.cleared.get() + 1);
    }
}
