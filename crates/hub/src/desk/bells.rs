//! When something is due.
use harestage::time::Moment;
use harestage_shape::wait_cycles::Key;
use std::collections::BTreeMap;

pub(super) type BellNo = (Moment, u64);

#[derive(Clone, Copy)]
pub(super) enum Bell {
    Fill(Key),
    Waiter(Key),
    Beat,
    Look,
}

/// Bells in the order in which they ring; those of one moment ring as they were set.
#[derive(Default)]
pub(super) struct Bells {
    set: BTreeMap<BellNo, Bell>,
    last: u64,
}

impl Bells {
    pub fn set(&mut self, at: Moment, bell: Bell) -> BellNo {
        self.last += 1;
        self.set.insert((at, self.last), bell);
        (at, self.last)
    }

    pub fn stop(&mut self, bell: BellNo) {
        self.set.remove(&bell);
    }

    pub fn next(&self) -> Option<Moment> {
        self.set.first_key_value().map(|((at, _), _)| *at)
    }

    /// The first that rings by now; it rings no more.
    pub fn due(&mut self, now: Moment) -> Option<Bell> {
        self.set.first_entry().filter(|first| first.key().0 <= now).map(|first| first.remove())
    }
}
