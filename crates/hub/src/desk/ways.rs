//! Where a fill goes: by the shape, past those from whom nothing is to be taken now, to the archive last.
use super::fills::{Fill, Stage};
use super::{Ask, Desk, Order, Peer, PullNo};
use harestage::state::CacheStatus;
use harestage::time::{Moment, Span};
use harestage_shape::fetch_rights::REPLY_TIMEOUT;
use harestage_shape::route::{self, NextHop};
use harestage_shape::topology::{Node, NodeIndex, Shape, Versions};
use harestage_shape::wait_cycles::{Action, Key};
use harestage_wire::peer::HubRoute;
use std::collections::{BTreeMap, BTreeSet};

/// A fill that its source leaves without an answer for as long goes to the next, while there is time for that.
pub(super) const STALLED: Span = Span::millis(1_500);
/// A source whose connection was refused, or broke, is passed by for as long.
const PASSED_BY: Span = Span::millis(1_000);

/// From whom nothing is taken now.
#[derive(Default)]
pub(super) struct Sources {
    aside: BTreeMap<NodeIndex, Moment>,
    /// Hubs that lack a purge, by name and as the versions have them.
    fenced: BTreeSet<String>,
    fenced_hubs: BTreeSet<NodeIndex>,
    /// It follows a service of purges, and does not know yet from whom it may take copies.
    pub unknowing: bool,
}

impl Sources {
    pub fn pass_by(&mut self, place: NodeIndex, now: Moment) {
        self.aside.insert(place, now + PASSED_BY);
    }

    pub fn beat(&mut self, now: Moment) {
        self.aside.retain(|_, until| *until > now);
    }

    /// Finds the fenced hubs in all versions that are kept: one that has left the shape may still be asked for what it was
    /// the home of. To be called when a version or the fences have changed.
    pub fn find_fenced(&mut self, versions: &Versions) {
        let of_version = |shape: &Shape| -> Vec<NodeIndex> {
            self.fenced.iter().filter_map(|name| shape.find(name)).collect()
        };
        self.fenced_hubs = versions.all().flat_map(of_version).collect();
    }

    pub fn fenced_hubs(&self) -> &BTreeSet<NodeIndex> {
        &self.fenced_hubs
    }

    fn passed_by(&self, now: Moment) -> impl Iterator<Item = NodeIndex> {
        self.aside.iter().filter(move |(_, until)| **until > now).map(|(place, _)| *place)
    }
}

impl Desk {
    /// A service of purges has to tell all that lives before anything is taken from anyone.
    pub fn waits_for_purges(&mut self) {
        self.sources.unknowing = true;
    }

    /// Hubs that lack a purge: what waits for them goes elsewhere, since what they give may be older.
    pub(super) fn fence(&mut self, fenced: BTreeSet<String>, now: Moment) {
        self.sources.fenced = fenced;
        self.sources.find_fenced(&self.versions);
        let fenced = self.sources.fenced_hubs();
        let waits_there = |fill: &Fill| match fill.stage {
            Stage::Asking { pull, whom: place } | Stage::Waiting { pull, on: place } => {
                fenced.contains(&place).then_some((pull, place))
            }
            _ => None,
        };
        for (key, (pull, place)) in self.fills.each(waits_there) {
            self.cancel(pull);
            if let Some(fill) = self.fills.get_mut(key) {
                fill.avoid.push(place);
                fill.asked.push(place);
            }
            self.advance(key, now);
        }
    }

    /// Goes on after an attempt that failed, if that was paid for: tiers that each repeat everything would multiply a
    /// loss, and the first to feel it are those who are left.
    pub(super) fn again(&mut self, key: Key, now: Moment) {
        if self.sites.is_nowhere() || self.rationing.lets_repeat(now) {
            self.advance(key, now);
        } else {
            self.fail(key, CacheStatus::SourceLost);
        }
    }

    /// Sends a fill on after its first way has failed, by the newest version: a home that was passed by in an older
    /// one would be fetched from beside the new home.
    pub(super) fn advance(&mut self, key: Key, now: Moment) {
        if let Some(fill) = self.fills.get_mut(key) {
            self.versions.unpin(fill.version);
            fill.version = self.versions.pin().unwrap_or(0);
        }
        self.advance_by(key, &[], now);
    }

    /// Sends a fill on its next way. `path`: the hubs that its first pull came through.
    pub(super) fn advance_by(&mut self, key: Key, path: &[String], now: Moment) {
        let Some(fill) = self.fills.get(key) else { return };
        let shape = self.sites.planned(fill.version).or_else(|| self.versions.get(fill.version));
        let Some(shape) = shape.cloned() else {
            return self.fail(key, CacheStatus::SourceLost);
        };
        let me = self.me(&shape);
        let mut avoid = fill.avoid.clone();
        avoid.extend(self.sources.passed_by(now));
        avoid.extend(self.sources.fenced_hubs());
        avoid.extend(self.sites.silent_hubs(&shape));
        let next =
            if fill.forced { Some(NextHop::Archive) } else { route::next_hop(&shape, me, key.0, &avoid) };
        // The home has refused it for want of room: past it, the archive would be asked for what is worth least.
        let refused = self.fills.get(key).and_then(|fill| fill.come).is_some_and(|come| come > now);
        match next {
            Some(NextHop::Archive) if refused => self.fail(key, CacheStatus::SourceLost),
            Some(NextHop::Hub(hub)) => self.wait_on(key, hub, path, &shape, now),
            Some(NextHop::Archive) => self.reach_archive(key, me, &shape, now),
            None => self.fail(key, CacheStatus::SourceLost),
        }
    }

    pub(super) fn wait_on(&mut self, key: Key, hub: NodeIndex, path: &[String], shape: &Shape, now: Moment) {
        let name = shape.name(hub).to_string();
        self.circles.knots.wait_started(key, Some(&name), now);
        // The path of the pull that began it; those who join later are followed by chases.
        let act = self.circles.knots.on_join(key, path, now);
        let way = self.way(path, shape.version(), false);
        let pull = self.pull(key, hub, shape, false, Some(way), now);
        self.stage(key, Stage::Waiting { pull, on: hub }, Some(now + STALLED), now);
        if matches!(act, Some(Action::Leave { .. })) {
            self.act(act, now);
        }
    }

    pub(super) fn way(&self, path: &[String], version: u64, hand_over: bool) -> HubRoute {
        let mut path = path.to_vec();
        path.push(self.name.clone());
        // What came by more hubs than a path may name keeps its last ones: a circle still shows by them.
        let over = path.len().saturating_sub(harestage_wire::peer::MAX_PATH_HUBS);
        path.drain(..over);
        HubRoute { path, shape_version: version, hand_over }
    }

    pub(super) fn pull(
        &mut self,
        key: Key,
        place: NodeIndex,
        shape: &Shape,
        only_held: bool,
        way: Option<HubRoute>,
        now: Moment,
    ) -> PullNo {
        let pull = self.next_pull();
        self.fills.pulled(pull, key);
        // A former home may be in older versions only.
        let to = peer(shape, place).or_else(|| self.versions.all().find_map(|shape| peer(shape, place)));
        let (Some(fill), Some(to)) = (self.fills.get(key), to) else { return pull };
        let waits = if only_held { REPLY_TIMEOUT } else { fill.until.since(now).max(Span::millis(1)) };
        let ask = Ask {
            content: fill.content.clone(),
            object: key.0,
            part: key.1,
            waits,
            oldest_ms: self.oldest(key, fill, now),
            only_held,
            no_copy: fill.no_copy,
            mark: way.is_some().then(|| self.mark()).flatten(),
            way,
        };
        self.orders.push(Order::Pull { pull, to, ask });
        pull
    }

    /// The oldest copy that will do for all who wait, and after all purges that are known.
    fn oldest(&self, key: Key, fill: &Fill, now: Moment) -> Option<u64> {
        let wanted = fill.waiters.iter().filter_map(|waiter| waiter.oldest).min();
        let purged = self.copies.purged_at(key.0);
        let since_purge = (purged > Moment::default()).then(|| now.since(purged));
        let oldest = wanted.into_iter().chain(since_purge).min();
        oldest.map(|oldest| (oldest.as_micros() / 1_000).max(1))
    }

    pub(super) fn stalled(&mut self, key: Key, now: Moment) {
        let Some(fill) = self.fills.get_mut(key) else { return };
        fill.bell = None;
        if fill.until <= now {
            return self.give_up(key);
        }
        match fill.stage {
            Stage::Asking { pull, whom } => {
                fill.asked.push(whom);
                self.cancel(pull);
            }
            Stage::Waiting { pull, on } => {
                fill.avoid.push(on);
                self.cancel(pull);
                return self.again(key, now);
            }
            Stage::Fetching { .. } => return,
            Stage::Resting | Stage::Reading => {}
        }
        self.advance(key, now);
    }
}

pub(super) fn peer(shape: &Shape, at: NodeIndex) -> Option<Peer> {
    let (name, address) = match shape.node(at)? {
        Node::Archive(archive) => (&archive.name, &archive.address),
        Node::Hub(hub) => (&hub.name, &hub.address),
        Node::Branch(_) => return None,
    };
    Some(Peer { name: name.clone(), address: address.clone() })
}
