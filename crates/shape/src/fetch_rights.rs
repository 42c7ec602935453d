//! Which hub may fetch an object from the archive. Only one hub may at a time, also while the object's
//! preferred hub changes.
//!
//! The preferred hub of an object, by the newest version that a hub knows, fetches it. A new preferred hub
//! first asks the former ones, the latest first. A former one has three answers: the copy; that it is
//! fetching the object itself, and the new hub may join that fetch; or that it does not have the object and
//! cedes the right to fetch it. After that it asks the new preferred hub, whatever version it is on, so at
//! most one hub may start a fetch. A ceded right returns after a term, so that the failure of its holder
//! delays others for no longer than that.
use crate::route;
use crate::topology::{NodeIndex, Versions};
use crate::wait_cycles::Key;
use harestage::time::{Moment, Span};
use std::collections::{HashMap, VecDeque};

/// Former preferred hubs are asked first for this long after a version came. An object that nobody requested
/// for longer may be fetched anew.
pub const HANDOVER_WINDOW: Span = Span::millis(60_000);
/// A former preferred hub that does not answer within this time counts as having nothing.
pub const REPLY_TIMEOUT: Span = Span::millis(250);
/// A ceded right returns after this time if nothing more was heard of it.
pub const CESSION_TERM: Span = Span::millis(1_000);
/// Limit on the former preferred hubs that are asked.
const MAX_ASKED: usize = 3;
/// Limit on the ceded rights that are kept. Beyond it the oldest is dropped, which can cost a second fetch of
/// an object that two hubs request within the same second.
const MAX_CESSIONS: usize = 65_536;

/// What a hub may do about an object that it needs from the archive.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FetchRight {
    /// This hub may fetch the object.
    Own,
    /// Ask this former preferred hub first.
    Ask(NodeIndex),
    /// The right is ceded until then: its holder has the object or is fetching it.
    Ceded { until: Moment },
}

/// How a former preferred hub answers the new one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum HandoverReply {
    /// It has a usable copy.
    Held,
    /// It is fetching the object or waits for it; the new preferred hub may join.
    UnderWay,
    /// It does not have the object, and will not fetch it until then.
    Ceded { until: Moment },
    /// It ceded the right to another hub until then.
    Elsewhere { until: Moment },
}

/// A right that was ceded to another hub.
#[derive(Clone)]
struct Ceded {
    to: String,
    until: Moment,
}

/// The rights that this hub has ceded.
#[derive(Default)]
pub struct FetchRights {
    ceded: HashMap<Key, Ceded>,
    order: VecDeque<(Moment, Key)>,
}

impl FetchRights {
    /// Whether this hub may fetch from the archive now. `asked` are the former preferred hubs that have
    /// answered or failed to. `unreachable` are hubs that nothing is heard of; asking each of them would cost
    /// a timeout.
    pub fn check(
        &self,
        versions: &Versions,
        local: NodeIndex,
        key: Key,
        asked: &[NodeIndex],
        unreachable: &[NodeIndex],
        now: Moment,
    ) -> FetchRight {
        if let Some(ceded) = self.ceded.get(&key).filter(|ceded| ceded.until > now) {
            return FetchRight::Ceded { until: ceded.until };
        }
        if asked.len() >= MAX_ASKED {
            return FetchRight::Own;
        }
        // Includes hubs that the newest version no longer contains: they may still have the object or be
        // fetching it.
        let former =
            versions.recent(now, HANDOVER_WINDOW).filter_map(|shape| route::preferred_hub(shape, key.0));
        let mut former =
            former.filter(|node| *node != local && !asked.contains(node) && !unreachable.contains(node));
        former.next().map_or(FetchRight::Own, FetchRight::Ask)
    }

    /// The hub that holds the ceded right, while it is ceded.
    pub fn holder(&self, key: Key, now: Moment) -> Option<&str> {
        self.ceded.get(&key).filter(|ceded| ceded.until > now).map(|ceded| ceded.to.as_str())
    }

    /// Answers a hub that considers itself the new preferred hub and requests the right to fetch.
    pub fn on_request(
        &mut self,
        key: Key,
        requester: &str,
        has_copy: bool,
        is_fetching: bool,
        now: Moment,
    ) -> HandoverReply {
        if has_copy {
            return HandoverReply::Held;
        }
        if let Some(ceded) = self.ceded.get(&key).filter(|ceded| ceded.until > now && ceded.to != requester) {
            return HandoverReply::Elsewhere { until: ceded.until };
        }
        if is_fetching {
            return HandoverReply::UnderWay;
        }
        let until = now + CESSION_TERM;
        self.ceded.insert(key, Ceded { to: requester.into(), until });
        self.order.push_back((until, key));
        self.drop_expired(now);
        HandoverReply::Ceded { until }
    }

    /// A copy has arrived, so the object needs no other fetch, whichever hub fetched it.
    pub fn on_filled(&mut self, key: Key) {
        self.ceded.remove(&key);
    }

    fn drop_expired(&mut self, now: Moment) {
        while let Some((until, key)) = self.order.front().copied() {
            if until > now && self.ceded.len() <= MAX_CESSIONS {
                return;
            }
            self.order.pop_front();
            if self.ceded.get(&key).is_some_and(|ceded| ceded.until <= until) {
                self.ceded.remove(&key);
            }
        }
    }

    /// The number of ceded rights that are kept.
    pub fn ceded_count(&self) -> usize {
        self.ceded.len()
    }
}
