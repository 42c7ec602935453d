//! Memory for answers that arrive from nodes. Each answer reserves what it needs before its body is read, so
//! that many at once wait for each other in place of growing together, and those that have begun can end.
use event_listener::Event;
use std::cell::Cell;

/// A limit on the bytes of all answers that are being read.
pub struct AnswerMemory {
    limit: usize,
    reserved: Cell<usize>,
    waiting: Cell<usize>,
    freed: Event,
}

impl AnswerMemory {
    /// Lets answers of `limit` bytes together be read at once, and always a single one.
    pub fn new(limit: usize) -> AnswerMemory {
        AnswerMemory { limit, reserved: Cell::new(0), waiting: Cell::new(0), freed: Event::new() }
    }

    /// Bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.reserved.get()
    }

    /// Whether an answer waits for memory.
    pub fn has_waiters(&self) -> bool {
        self.waiting.get() > 0
    }

    /// Waits until `bytes` are free, after those who wait already.
    pub async fn reserve(&self, bytes: usize) -> AnswerReservation<'_> {
        if self.has_waiters() || !self.fits(bytes) {
            let _waiter = Waiter::new(self);
            loop {
                let freed = self.freed.listen();
                if self.fits(bytes) && self.waiting.get() == 1 {
                    break;
                }
                freed.await;
                if self.fits(bytes) {
                    break;
                }
            }
        }
        self.reserved.set(self.reserved.get() + bytes);
        // There may be enough left for the next one.
        self.freed.notify_additional(1);
        AnswerReservation { memory: self, bytes }
    }

    fn fits(&self, bytes: usize) -> bool {
        self.reserved.get() == 0 || self.reserved.get() + bytes <= self.limit
    }
}

/// Counts one that waits, also if it gives up.
struct Waiter<'a>(&'a AnswerMemory);

impl Waiter<'_> {
    fn new(memory: &AnswerMemory) -> Waiter<'_> {
        memory.waiting.set(memory.waiting.get() + 1);
        Waiter(memory)
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
        self.0.freed.notify_additional(1);
    }
}

/// Bytes of one answer, free again when it is dropped.
pub struct AnswerReservation<'a> {
    memory: &'a AnswerMemory,
    bytes: usize,
}

impl Drop for AnswerReservation<'_> {
    fn drop(&mut self) {
        self.memory.reserved.set(self.memory.reserved.get() - self.bytes);
        self.memory.freed.notify_additional(1);
    }
}
