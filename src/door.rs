//! The one door to the core: a front hands in events and gets orders back.
//!
//! A front opens a `Brain` with a `ServiceProfile`, and then calls `Brain::turn` with the events of a moment.
//! It keeps a `Register`, which turns the front's own ids into small indices and back.
use crate::state::*;
use crate::time::Span;
use std::collections::{HashMap, HashSet, VecDeque};

/// What a router is told of its service when it starts.
#[derive(Clone, Debug)]
pub struct ServiceProfile {
    pub zone: u16,
    /// How many routers serve each zone, by zone; zero for the hubs.
    pub zone_routers: Vec<u16>,
    pub routers: u16,
    pub contents: Vec<Content>,
    /// Roster scales that stay the same and compare sizes.
    pub scales_compare: bool,
    pub roster_on_call: bool,
    pub may_cancel: bool,
    pub may_bypass: bool,
    pub may_join: bool,
    pub most_pulls: u32,
    /// Zero: clients are not told when to come back.
    pub longest_retry_after: Span,
    pub flow_kb_per_s: f64,
    /// Kilobytes a second of each zone's link in; zero where it is not told.
    pub zone_link_kb_per_s: Vec<f64>,
    pub cold_from: f64,
    pub cold: Span,
    pub fall_multiple: f64,
    pub fall: Span,
    pub parent_cold_from: f64,
    pub parent_cold: Span,
    pub parent_fall_multiple: f64,
    pub purge_settles: Span,
}

impl ServiceProfile {
    /// How many routers share the caches of this router's zone, itself among them.
    pub(crate) fn own_routers(&self) -> f64 {
        let told = self.zone_routers.get(self.zone as usize).copied();
        f64::from(told.unwrap_or(self.routers).max(1))
    }

    /// How a node of this role starts, and who shares it.
    pub(crate) fn cold_start(&self, role: Role) -> Cold {
        let own = (self.cold_from, self.cold, self.fall_multiple, self.own_routers());
        let all = f64::from(self.routers.max(1));
        let parents = (self.parent_cold_from, self.parent_cold, self.parent_fall_multiple, all);
        let (from, lasts, multiple, sharers) = if role == Role::Cache { own } else { parents };
        Cold { from, lasts, multiple, window: self.fall, sharers }
    }

    pub(crate) fn zones(&self) -> f64 {
        self.zone_routers.iter().filter(|n| **n > 0).count().max(1) as f64
    }

    /// The link into this router's zone and the mean link into a zone, in transfers to a client.
    pub(crate) fn links(&self) -> (f64, f64) {
        let links = &self.zone_link_kb_per_s;
        let own = links.get(self.zone as usize).copied().unwrap_or_default();
        let flow = self.flow_kb_per_s.max(1.0);
        let zones = links.iter().filter(|l| **l > 0.0).count().max(1);
        (own / flow, links.iter().sum::<f64>() / zones as f64 / flow)
    }
}

#[derive(Clone, Debug)]
pub struct Content {
    pub repeat: Repeat,
    pub target: Span,
    pub target_stretch: f64,
    pub benefit: f64,
    pub write: bool,
    /// Objects have several parts, asked for one after another.
    pub in_parts: bool,
    /// None: a copy is good until it is purged.
    pub fresh: Option<Span>,
    pub grace: Span,
}

#[derive(Clone, Debug)]
pub enum Event {
    Roster {
        news: RosterNews,
        listings: Vec<Listing>,
    },
    Arrived {
        dl: DlIx,
        download: Download,
    },
    Ended(PullEnd),
    /// The client left, or the answer was overdue.
    Left {
        dl: DlIx,
    },
    TimerFired {
        timer: u32,
    },
    /// No object: every object of the group.
    Purged {
        object: Option<ObjectKey>,
        group: u32,
        ago: Span,
    },
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Order {
    Pull(Pull),
    Cancel {
        dl: DlIx,
        pull: u8,
    },
    Throttle {
        dl: DlIx,
        retry_after: Span,
    },
    Abandon {
        dl: DlIx,
    },
    SetTimer {
        after: Span,
        timer: u32,
    },
    WatchRoster,
    /// Nothing more will be said of this download: its index is free.
    Forget {
        dl: DlIx,
    },
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Pull {
    pub dl: DlIx,
    pub node: NodeIx,
    /// None: what the node lacks is not filled.
    pub source: Option<NodeIx>,
    /// Zero: the content type's fresh time.
    pub oldest: Span,
    pub rank: u8,
    /// Zero: until the client leaves.
    pub time_out: Span,
    /// It may wait so long for its connection, and must not be sent later; zero: until it times out.
    pub start_within: Span,
    pub join: bool,
    pub only_held: bool,
    pub no_copy: bool,
    pub renew: bool,
}

impl Pull {
    /// A look at what a node holds, which keeps and fills nothing.
    pub(crate) fn plain(dl: DlIx, node: NodeIx) -> Pull {
        let (source, oldest, rank) = (None, Span::ZERO, 0);
        let (time_out, start_within) = (Span::ZERO, Span::ZERO);
        let (join, only_held, no_copy, renew) = (false, false, false, false);
        Pull { dl, node, source, oldest, rank, time_out, start_within, join, only_held, no_copy, renew }
    }
}

/// Ids of a front and the small indices that stand for them behind the door.
#[derive(Default)]
pub struct Register {
    node_ids: Vec<u32>,
    nodes: HashMap<u32, NodeIx>,
    free_nodes: VecDeque<NodeIx>,
    dl_ids: Vec<u64>,
    dls: HashMap<u64, DlIx>,
    free: Vec<DlIx>,
}

impl Register {
    pub fn enter_node(&mut self, id: u32) -> NodeIx {
        let (node_ids, free) = (&mut self.node_ids, &mut self.free_nodes);
        let node = *self.nodes.entry(id).or_insert_with(|| {
            free.pop_front().unwrap_or_else(|| {
                node_ids.push(id);
                NodeIx(node_ids.len() as u32 - 1)
            })
        });
        node_ids[node.0 as usize] = id;
        node
    }

    /// Its index may stand for another node from now on. To be called only for one that is gone, long after the
    /// last download that it had a part in: otherwise what is remembered of it would pass for the other's.
    pub fn forget_node(&mut self, id: u32) {
        self.free_nodes.extend(self.nodes.remove(&id));
    }

    pub fn node(&self, id: u32) -> Option<NodeIx> {
        self.nodes.get(&id).copied()
    }

    pub fn node_id(&self, node: NodeIx) -> u32 {
        self.node_ids[node.0 as usize]
    }

    pub fn enter_dl(&mut self, id: u64) -> DlIx {
        let dl = self.free.pop().unwrap_or_else(|| {
            self.dl_ids.push(id);
            DlIx(self.dl_ids.len() as u32 - 1)
        });
        self.dl_ids[dl.0 as usize] = id;
        self.dls.insert(id, dl);
        dl
    }

    pub fn dl(&self, id: u64) -> Option<DlIx> {
        self.dls.get(&id).copied()
    }

    pub fn dl_id(&self, dl: DlIx) -> u64 {
        self.dl_ids[dl.0 as usize]
    }

    pub fn forget_dl(&mut self, dl: DlIx) {
        if self.dls.remove(&self.dl_ids[dl.0 as usize]).is_some() {
            self.free.push(dl);
        }
    }
}

impl Post {
    /// Puts what an event says into the inboxes it is for.
    pub(crate) fn deliver(&mut self, event: Event) {
        let note = match event {
            Event::Roster { news: RosterNews::Failed, .. } => Note::RosterLost,
            Event::Roster { news, listings } => return self.deliver_roster(news, listings),
            Event::Arrived { dl, download } => Note::Arrived(dl, download),
            Event::Ended(end) => Note::Ended(end),
            Event::Left { dl } => Note::Left(dl),
            Event::TimerFired { .. } => Note::Beat,
            Event::Purged { object, group, ago } => Note::Purged { object, group, at: self.now.before(ago) },
        };
        self.send(To::Desk, note);
    }

    /// A node that a whole list leaves out is gone.
    fn deliver_roster(&mut self, news: RosterNews, mut listings: Vec<Listing>) {
        if news == RosterNews::Whole {
            let listed: HashSet<NodeIx> = listings.iter().map(|l| l.node).collect();
            let missing = |l: &&Listing| !listed.contains(&l.node);
            let gone = self.named.iter().flatten().filter(missing);
            let gone: Vec<_> = gone.map(|l| Listing { phase: Phase::Gone, ..*l }).collect();
            listings.extend(gone);
        }
        for listing in listings {
            let at = listing.node.0 as usize;
            if self.named.len() <= at {
                self.named.resize(at + 1, None);
            }
            self.named[at] = Some(listing);
            self.send(To::Desk, Note::Listed(listing, Cold::default()));
        }
    }
}
