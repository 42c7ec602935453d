//! A bounded set of download ids that forgets the oldest ones.
use harestage_wire::fields::HexId;
use std::collections::{HashSet, VecDeque};

/// The ids that were added last.
#[derive(Debug, Default)]
pub struct RecentIds {
    by_age: VecDeque<HexId>,
    ids: HashSet<HexId>,
}

impl RecentIds {
    /// Adds an id; of more than `max` ids the oldest one is forgotten.
    pub fn add(&mut self, id: HexId, max: usize) {
        if self.by_age.len() >= max
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.ids.remove(&oldest);
        }
        if self.ids.insert(id) {
            self.by_age.push_back(id);
        }
    }

    /// Whether the id was added and is not forgotten.
    pub fn contains(&self, id: HexId) -> bool {
        self.ids.contains(&id)
    }
}
