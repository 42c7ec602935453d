//! Effects in their order, each behind the records that the group has to agree on first.
use std::cell::RefCell;
use std::collections::VecDeque;

enum Due<E> {
    /// Nothing behind it may be done before this is agreed on.
    Record(Vec<u8>),
    Effect(E),
}

/// What a service that leads has decided and may not tell yet.
pub struct Waiting<E>(RefCell<VecDeque<Due<E>>>);

impl<E> Default for Waiting<E> {
    fn default() -> Self {
        Waiting(RefCell::default())
    }
}

impl<E> Waiting<E> {
    pub fn behind(&self, record: Vec<u8>) {
        self.0.borrow_mut().push_back(Due::Record(record));
    }

    pub fn push(&self, effect: E) {
        self.0.borrow_mut().push_back(Due::Effect(effect));
    }

    /// The group has agreed on something. Only the record at the head frees what is behind it: anything else is not this
    /// member's, or was decided before it led.
    pub fn agreed(&self, data: &[u8]) {
        let mut waiting = self.0.borrow_mut();
        if matches!(waiting.front(), Some(Due::Record(own)) if own == data) {
            waiting.pop_front();
        }
    }

    /// The next effect that waits for nothing.
    pub fn next(&self) -> Option<E> {
        let mut waiting = self.0.borrow_mut();
        match waiting.pop_front()? {
            Due::Effect(effect) => Some(effect),
            record => {
                waiting.push_front(record);
                None
            }
        }
    }

    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    pub fn clear(&self) {
        self.0.borrow_mut().clear();
    }
}
