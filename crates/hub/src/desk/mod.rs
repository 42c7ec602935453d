//! What a hub decides: whom it answers with what, where it fills from, when it leaves a wait, and what it keeps. Events
//! come in with their moment, orders go out in a list. No socket, no clock, no chance: the same events give the same
//! orders.
//!
//! Each module holds one concern: its state, and what of the desk goes with it.
mod above;
mod archive;
mod audited;
mod bells;
mod below;
mod circles;
mod copies;
mod fills;
mod gauges;
mod messages;
mod rationing;
mod sites;
mod starting;
mod versions;
mod ways;

pub use messages::{Ask, Bounds, ConnNo, Keeping, News, Order, Peer, PullNo, ReadResult};

use archive::Archive;
use audited::Audited;
use bells::{Bell, Bells};
use bytes::Bytes;
use circles::Circles;
use copies::Copies;
use fills::Fills;
use gauges::Gauges;
use harestage::time::{Moment, Span};
use harestage_restart::stage::StartEvent;
use harestage_shape::topology::Versions;
use rationing::{Chance, Rationing};
use sites::Sites;
use starting::Starting;
use std::collections::HashMap;
use ways::Sources;

const BEAT: Span = Span::millis(50);

/// One hub.
pub struct Desk {
    name: String,
    contents: HashMap<Bytes, Keeping>,
    /// It follows no service.
    alone: bool,
    versions: Versions,
    term: u64,
    /// Up to which number purges are applied.
    has_purges: u64,
    copies: Copies,
    fills: Fills,
    circles: Circles,
    sources: Sources,
    archive: Archive,
    start: Starting,
    sites: Sites,
    rationing: Rationing,
    chance: Chance,
    /// What it acted on, where there is a keeper.
    audit: Option<Audited>,
    gauges: Gauges,
    bells: Bells,
    /// Pulls and questions to other sites are numbered together.
    last_pull: PullNo,
    orders: Vec<Order>,
}

impl Desk {
    pub fn open(name: &str, bounds: Bounds, contents: HashMap<Bytes, Keeping>, now: Moment) -> Desk {
        let mut desk = Desk {
            name: name.into(),
            contents,
            alone: false,
            versions: Versions::default(),
            term: 0,
            has_purges: 0,
            copies: Copies::new(bounds.store_bytes),
            fills: Fills::new(&bounds),
            circles: Circles::new(name),
            sources: Sources::default(),
            archive: Archive::new(now),
            start: Starting::over(now),
            sites: Sites::new(now),
            rationing: Rationing::new(now),
            chance: Chance::new(name),
            audit: None,
            gauges: Gauges::new(),
            bells: Bells::default(),
            last_pull: 0,
            orders: Vec::new(),
        };
        desk.bells.set(now + BEAT, Bell::Beat);
        desk
    }

    /// There is no service to get a part of the archive from: the shape's equal part is this hub's.
    pub fn stands_alone(&mut self) {
        self.alone = true;
    }

    pub fn next_bell(&self) -> Option<Moment> {
        self.bells.next()
    }

    /// Takes in what has come up to `now`, then what is due by then.
    pub fn step(&mut self, now: Moment, news: impl Iterator<Item = News>) -> Vec<Order> {
        news.for_each(|news| self.take_in(news, now));
        while let Some(bell) = self.bells.due(now) {
            self.ring(bell, now);
        }
        self.record(now);
        std::mem::take(&mut self.orders)
    }

    fn take_in(&mut self, news: News, now: Moment) {
        match news {
            News::Asked { conn, asked } => self.asked(conn, *asked, now),
            News::Cancelled { conn, id } => self.left(conn, id),
            News::Gone { conn } => self.gone(conn),
            News::Answered { pull, answer, copy } => self.answered(pull, answer, copy, now),
            News::Lost { pull } => self.lost(pull, now),
            News::Chased(chase) => self.chased(chase, now),
            News::Told(form) => {
                self.service_spoke(now);
                self.told(&form, now);
            }
            News::Part { part, asked } => {
                self.service_spoke(now);
                self.archive.share.on_share(part, asked, now);
            }
            News::Plans { version, term, plans } => {
                self.term = self.term.max(term);
                self.handed(version, plans, now);
            }
            News::HasPurges(number) => {
                self.has_purges = number;
                // Behind all that went because of them.
                self.remember(now);
            }
            News::Read { key, result } => self.read(key, result, now),
            News::Wanted(wanted) => self.wanted(*wanted, now),
            News::ServiceSpoke => self.service_spoke(now),
            News::ComeAgain { pull, after } => {
                self.fills.of_pull(pull).into_iter().for_each(|fill| fill.come = Some(now + after));
            }
            News::Purged { named, at } => self.orders.extend(self.copies.purge(named, at, now)),
            News::Covered { scope, at } => self.orders.extend(self.copies.purge_scope(&scope, at, now)),
            News::Fenced(fenced) => self.fence(fenced, now),
            News::KnowsPurges => {
                self.sources.unknowing = false;
                self.start.hear(StartEvent::PurgesKnown);
            }
            News::Seen { ask, leaving, unseen } => self.seen(ask, leaving, &unseen, now),
            News::Named { addressed, own } => self.circles.knots.add_alias(&addressed, &own),
        }
    }

    fn ring(&mut self, bell: Bell, now: Moment) {
        match bell {
            Bell::Beat => {
                self.bells.set(now + BEAT, Bell::Beat);
                self.sources.beat(now);
                self.audit.iter_mut().for_each(|audit| audit.acting.tick(now));
                self.start_beats(now);
                self.ration_beats(now);
                self.circles_beat(now);
            }
            Bell::Look => self.look(now),
            Bell::Waiter(key) => self.overdue(key, now),
            Bell::Fill(key) => self.stalled(key, now),
        }
    }

    fn next_pull(&mut self) -> PullNo {
        self.last_pull += 1;
        self.last_pull
    }
}
