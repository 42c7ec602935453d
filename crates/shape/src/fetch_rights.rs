//! Who may fetch an object from the archive: one hub for all, also while its home moves.
//!
//! The home of an object, by the newest version that a hub knows, fetches it. A home that is new asks those that were
//! home lately first, the latest first. Each of them answers one of three things: the copy; that a fetch of its own
//! is under way, which the new home then joins; or that it lacks the object, and with that it gives the right away:
//! from then on it asks the new home, whatever version it is on. So at each moment one hub at most may begin a fetch.
//! A right that was given away comes back after a term, so that a holder that died delays nobody for longer.
use crate::route;
use crate::topology::{NodeIndex, Versions};
use crate::wait_cycles::Key;
use harestage::time::{Moment, Span};
use std::collections::{HashMap, VecDeque};

/// For as long after a version came, who was home before it is asked first. What nobody wanted for longer is as good
/// as new, and may be fetched anew.
pub const HANDOVER_WINDOW: Span = Span::millis(60_000);
/// A former home that does not answer in this time is taken to have nothing.
pub const REPLY_TIMEOUT: Span = Span::millis(250);
/// A right that was given away, and of which nothing was heard again, comes back after it.
pub const CESSION_TERM: Span = Span::millis(1_000);
/// Former homes that are asked at most.
const MOST_ASKED: usize = 3;
/// Rights given away that are remembered. Past it the oldest is forgotten, which can cost a second fetch of an object
/// that two hubs want within the same second.
const MOST_CEDED: usize = 65_536;

/// What a hub may do about an object that it is to get from the archive.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FetchRight {
    Own,
    /// This one was home before, and has not been asked yet.
    Ask(NodeIndex),
    /// Given away until then: the holder has it, or is fetching it.
    Ceded {
        until: Moment,
    },
}

/// How a former home answers the new one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum HandoverReply {
    /// It has a copy that will do.
    Held,
    /// It is fetching one, or waits for one: the new home may join.
    UnderWay,
    /// It lacks the object, and fetches it no more until then.
    Ceded { until: Moment },
    /// It gave the right to another hub, until then.
    Elsewhere { until: Moment },
}

#[derive(Clone)]
struct Ceded {
    to: String,
    until: Moment,
}

#[derive(Default)]
pub struct FetchRights {
    ceded: HashMap<Key, Ceded>,
    order: VecDeque<(Moment, Key)>,
}

impl FetchRights {
    /// May this hub fetch from the archive now? `asked` are the former homes that have answered, or failed to; `gone` are
    /// those of whom nothing is heard at all: to ask them would cost a time-out each.
    pub fn check(
        &self,
        versions: &Versions,
        me: NodeIndex,
        key: Key,
        asked: &[NodeIndex],
        gone: &[NodeIndex],
        now: Moment,
    ) -> FetchRight {
        if let Some(ceded) = self.ceded.get(&key).filter(|ceded| ceded.until > now) {
            return FetchRight::Ceded { until: ceded.until };
        }
        if asked.len() >= MOST_ASKED {
            return FetchRight::Own;
        }
        // Also one that the newest version no longer names: it may hold the object, or be fetching it, all the same.
        let before =
            versions.recent(now, HANDOVER_WINDOW).filter_map(|shape| route::preferred_hub(shape, key.0));
        let mut before =
            before.filter(|place| *place != me && !asked.contains(place) && !gone.contains(place));
        before.next().map_or(FetchRight::Own, FetchRight::Ask)
    }

    /// To whom the right was given, if it still is.
    pub fn holder(&self, key: Key, now: Moment) -> Option<&str> {
        self.ceded.get(&key).filter(|ceded| ceded.until > now).map(|ceded| ceded.to.as_str())
    }

    /// A hub that takes itself for the new home asks for the right to fetch.
    pub fn on_request(
        &mut self,
        key: Key,
        by: &str,
        held: bool,
        under_way: bool,
        now: Moment,
    ) -> HandoverReply {
        if held {
            return HandoverReply::Held;
        }
        if let Some(ceded) = self.ceded.get(&key).filter(|ceded| ceded.until > now && ceded.to != by) {
            return HandoverReply::Elsewhere { until: ceded.until };
        }
        if under_way {
            return HandoverReply::UnderWay;
        }
        let until = now + CESSION_TERM;
        self.ceded.insert(key, Ceded { to: by.into(), until });
        self.order.push_back((until, key));
        self.drop_expired(now);
        HandoverReply::Ceded { until }
    }

    /// A copy has come: whoever fetched it, nobody else has to.
    pub fn on_filled(&mut self, key: Key) {
        self.ceded.remove(&key);
    }

    fn drop_expired(&mut self, now: Moment) {
        while let Some((until, key)) = self.order.front().copied() {
            if until > now && self.ceded.len() <= MOST_CEDED {
                return;
            }
            self.order.pop_front();
            if self.ceded.get(&key).is_some_and(|ceded| ceded.until <= until) {
                self.ceded.remove(&key);
            }
        }
    }

    pub fn ceded_count(&self) -> usize {
        self.ceded.len()
    }
}
