//! Fills under way, and those who wait for them.
use super::bells::{Bell, BellNo};
use super::{Bounds, ConnNo, Desk, Order, PullNo};
use crate::store::HIGHEST_RANK;
use bytes::Bytes;
use harestage::time::{Moment, Span};
use harestage_shape::topology::NodeIndex;
use harestage_shape::wait_cycles::Key;
use harestage_wire::fields::HexId;
use harestage_wire::node::IncomingRequest;
use std::collections::HashMap;

/// The rank of a copy whose pull names none.
const USUAL_RANK: u8 = 1;

/// A pull of somebody below that waits for a fill.
pub(super) struct Waiter {
    pub conn: ConnNo,
    pub id: HexId,
    pub until: Moment,
    pub oldest: Option<Span>,
    pub held: Option<Bytes>,
    /// It did not begin the fill.
    pub joined: bool,
    /// A hub of ours: told also what the platform's protocol has no field for.
    pub ours: bool,
}

pub(super) enum Stage {
    /// A former home is asked for the right to fetch.
    Asking {
        pull: PullNo,
        whom: NodeIndex,
    },
    Waiting {
        pull: PullNo,
        on: NodeIndex,
    },
    Fetching {
        pull: PullNo,
    },
    /// It is on this hub's own disk.
    Reading,
    /// For its turn at the archive, or for a right that was given away.
    Resting,
}

pub(super) struct Fill {
    pub content: Bytes,
    pub waiters: Vec<Waiter>,
    pub stage: Stage,
    /// Where it is not to be filled from.
    pub avoid: Vec<NodeIndex>,
    /// Former homes that have answered.
    pub asked: Vec<NodeIndex>,
    pub version: u64,
    pub rank: u8,
    pub no_copy: bool,
    pub begun: Moment,
    /// When its last pull went out.
    pub sent: Moment,
    pub until: Moment,
    pub again: u32,
    /// A source that refused it wants it back no sooner.
    pub come: Option<Moment>,
    /// It broke a circle: it fetches for all in it, whoever is home.
    pub forced: bool,
    /// It had its turn at the archive's gate asked for already.
    pub queued: bool,
    pub bell: Option<BellNo>,
}

impl Fill {
    fn new(asked: &IncomingRequest, version: u64, now: Moment) -> Fill {
        Fill {
            content: asked.content.clone(),
            waiters: Vec::new(),
            stage: Stage::Resting,
            avoid: Vec::new(),
            asked: Vec::new(),
            version,
            rank: rank_of(asked),
            no_copy: asked.no_store,
            begun: now,
            sent: now,
            until: now + Span::millis(asked.timeout_ms),
            again: 0,
            come: None,
            forced: false,
            queued: false,
            bell: None,
        }
    }
}

fn rank_of(asked: &IncomingRequest) -> u8 {
    if asked.rank == 0 { USUAL_RANK } else { asked.rank.min(HIGHEST_RANK) }
}

/// All fills, found by their key, by those who wait, and by the pulls that are out for them. Whoever waits for a fill is in
/// the list of those who wait, and nobody else is.
pub(super) struct Fills {
    by_key: HashMap<Key, Fill>,
    /// Pulls below, so that a cancel finds its fill.
    waiting: HashMap<(ConnNo, HexId), Key>,
    pulls: HashMap<PullNo, Key>,
    most: usize,
    most_waiting: usize,
}

impl Fills {
    pub fn new(bounds: &Bounds) -> Fills {
        Fills {
            by_key: HashMap::new(),
            waiting: HashMap::new(),
            pulls: HashMap::new(),
            most: bounds.fills,
            most_waiting: bounds.waiters,
        }
    }

    pub fn get(&self, key: Key) -> Option<&Fill> {
        self.by_key.get(&key)
    }

    pub fn get_mut(&mut self, key: Key) -> Option<&mut Fill> {
        self.by_key.get_mut(&key)
    }

    pub fn has(&self, key: Key) -> bool {
        self.by_key.contains_key(&key)
    }

    pub fn count(&self) -> usize {
        self.by_key.len()
    }

    pub fn are_full(&self) -> bool {
        self.by_key.len() >= self.most
    }

    /// What a look at each fill finds, in the order of their keys.
    pub fn each<T>(&self, look: impl Fn(&Fill) -> Option<T>) -> Vec<(Key, T)> {
        let mut found: Vec<(Key, T)> =
            self.by_key.iter().filter_map(|(key, fill)| Some((*key, look(fill)?))).collect();
        found.sort_unstable_by_key(|(key, _)| *key);
        found
    }

    /// Puts a fill in, with all who wait for it.
    pub fn enter(&mut self, key: Key, fill: Fill) {
        self.waiting.extend(fill.waiters.iter().map(|waiter| ((waiter.conn, waiter.id), key)));
        self.by_key.insert(key, fill);
    }

    /// Takes a fill out, with all who wait for it.
    fn remove(&mut self, key: Key) -> Option<Fill> {
        let fill = self.by_key.remove(&key)?;
        for waiter in &fill.waiters {
            self.waiting.remove(&(waiter.conn, waiter.id));
        }
        Some(fill)
    }

    /// Whether a pull from below may wait: there is room, and it does not wait already.
    pub fn may_wait(&self, conn: ConnNo, id: HexId) -> bool {
        self.waiting.len() < self.most_waiting && !self.waiting.contains_key(&(conn, id))
    }

    /// Somebody waits for a fill.
    fn wait(&mut self, key: Key, waiter: Waiter) {
        let Some(fill) = self.by_key.get_mut(&key) else { return };
        self.waiting.insert((waiter.conn, waiter.id), key);
        fill.waiters.push(waiter);
    }

    /// Somebody waits no more. The fill, if nobody else waits for it.
    fn leave(&mut self, conn: ConnNo, id: HexId) -> Option<Key> {
        let key = self.waiting.remove(&(conn, id))?;
        let fill = self.by_key.get_mut(&key)?;
        fill.waiters.retain(|waiter| (waiter.conn, waiter.id) != (conn, id));
        fill.waiters.is_empty().then_some(key)
    }

    /// A pull has gone out for a fill.
    pub fn pulled(&mut self, pull: PullNo, key: Key) {
        self.pulls.insert(pull, key);
    }

    /// A pull is over; the fill that it was for.
    pub fn ended(&mut self, pull: PullNo) -> Option<Key> {
        self.pulls.remove(&pull)
    }

    /// The fill that a pull is out for.
    pub fn of_pull(&mut self, pull: PullNo) -> Option<&mut Fill> {
        let key = self.pulls.get(&pull)?;
        self.by_key.get_mut(key)
    }

    /// Those of a connection who wait.
    fn of_conn(&self, conn: ConnNo) -> Vec<HexId> {
        let of_conn = self.waiting.keys().filter(|(c, _)| *c == conn);
        let mut ids: Vec<HexId> = of_conn.map(|(_, id)| *id).collect();
        ids.sort_by_key(HexId::as_u64);
        ids
    }
}

impl Desk {
    /// Fills under way.
    pub fn fills(&self) -> usize {
        self.fills.count()
    }

    pub(super) fn begin(&mut self, key: Key, asked: &IncomingRequest, now: Moment) {
        self.rationing.first(now);
        let version = self.versions.pin().unwrap_or(0);
        self.fills.enter(key, Fill::new(asked, version, now));
    }

    /// Somebody waits for a fill; `joined`: it did not begin it.
    pub(super) fn wait(
        &mut self,
        conn: ConnNo,
        key: Key,
        asked: &IncomingRequest,
        oldest: Option<Span>,
        joined: bool,
        now: Moment,
    ) {
        let until = now + Span::millis(asked.timeout_ms);
        let (held, ours) = (asked.known_digest.clone(), asked.route.is_some());
        self.fills.wait(key, Waiter { conn, id: asked.id, until, oldest, held, joined, ours });
        self.bells.set(until, Bell::Waiter(key));
        if let Some(fill) = self.fills.get_mut(key) {
            fill.until = fill.until.max(until);
            fill.no_copy &= asked.no_store;
            fill.rank = fill.rank.max(rank_of(asked));
        }
    }

    /// A connection from below is gone, and so are all who waited on it.
    pub(super) fn gone(&mut self, conn: ConnNo) {
        self.fills.of_conn(conn).into_iter().for_each(|id| self.left(conn, id));
    }

    /// One of those who wait has left. When nobody waits any more, the fill is given up, and so is what it asked for.
    pub(super) fn left(&mut self, conn: ConnNo, id: HexId) {
        self.audit.iter_mut().for_each(|audit| audit.left(conn, id));
        if let Some(key) = self.fills.leave(conn, id) {
            self.give_up(key);
        }
    }

    pub(super) fn give_up(&mut self, key: Key) {
        let pull = match self.end(key).map(|fill| fill.stage) {
            Some(Stage::Asking { pull, .. } | Stage::Waiting { pull, .. } | Stage::Fetching { pull }) => pull,
            Some(Stage::Resting | Stage::Reading) | None => return,
        };
        self.cancel(pull);
    }

    pub(super) fn cancel(&mut self, pull: PullNo) {
        if self.fills.ended(pull).is_some() {
            self.orders.push(Order::Cancel { pull });
        }
    }

    pub(super) fn end(&mut self, key: Key) -> Option<Fill> {
        let fill = self.fills.remove(key)?;
        self.versions.unpin(fill.version);
        self.circles.knots.wait_ended(key);
        fill.bell.into_iter().for_each(|bell| self.bells.stop(bell));
        Some(fill)
    }

    /// Sets what a fill waits for, and until when at most.
    pub(super) fn stage(&mut self, key: Key, stage: Stage, until: Option<Moment>, now: Moment) {
        let until = until.map(|until| until.max(now + Span::millis(1)));
        let bell = until.map(|until| self.bells.set(until, Bell::Fill(key)));
        let Some(fill) = self.fills.get_mut(key) else { return };
        (fill.stage, fill.sent) = (stage, now);
        if let Some(before) = std::mem::replace(&mut fill.bell, bell) {
            self.bells.stop(before);
        }
    }

    /// Those whose time is up are forgotten: who asked has given up by itself.
    pub(super) fn overdue(&mut self, key: Key, now: Moment) {
        let Some(fill) = self.fills.get(key) else { return };
        let due: Vec<_> = fill.waiters.iter().filter(|w| w.until <= now).map(|w| (w.conn, w.id)).collect();
        due.into_iter().for_each(|(conn, id)| self.left(conn, id));
    }
}
