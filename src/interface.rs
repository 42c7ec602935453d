//! The one door to the core: a front hands in events and gets orders back.
//!
//! A front opens a `Policy` with a `ServiceProfile`, and then calls `Policy::turn` with the events of a moment.
//! It keeps a `IdRegistry`, which turns the front's own ids into small indices and back.
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
    pub content_types: Vec<ContentType>,
    /// Roster scales that stay the same and compare sizes.
    pub scales_comparable: bool,
    pub membership_on_request: bool,
    pub may_cancel: bool,
    pub may_bypass: bool,
    pub may_join: bool,
    pub max_pulls: u32,
    /// Zero: clients are not told when to come back.
    pub max_retry_after: Span,
    pub client_kb_per_s: f64,
    /// Kilobytes a second of each zone's link in; zero where it is not told.
    pub zone_link_kb_per_s: Vec<f64>,
    pub cold_share: f64,
    pub warm_up_time: Span,
    pub overload_factor: f64,
    pub overload_window: Span,
    pub parent_cold_share: f64,
    pub parent_warm_up_time: Span,
    pub parent_overload_factor: f64,
    pub purge_settle_time: Span,
}

impl ServiceProfile {
    /// How many routers share the caches of this router's zone, itself among them.
    pub(crate) fn own_routers(&self) -> f64 {
        let told = self.zone_routers.get(self.zone as usize).copied();
        f64::from(told.unwrap_or(self.routers).max(1))
    }

    /// How a node of this role starts, and who shares it.
    pub(crate) fn cold_start(&self, role: Role) -> SlowStart {
        let own = (self.cold_share, self.warm_up_time, self.overload_factor, self.own_routers());
        let all = f64::from(self.routers.max(1));
        let parents = (self.parent_cold_share, self.parent_warm_up_time, self.parent_overload_factor, all);
        let (from, lasts, multiple, sharers) = if role == Role::Cache { own } else { parents };
        SlowStart {
            initial_share: from,
            duration: lasts,
            overload_factor: multiple,
            window: self.overload_window,
            routers: sharers,
        }
    }

    pub(crate) fn zones(&self) -> f64 {
        self.zone_routers.iter().filter(|n| **n > 0).count().max(1) as f64
    }

    /// The link into this router's zone and the mean link into a zone, in transfers to a client.
    pub(crate) fn links(&self) -> (f64, f64) {
        let links = &self.zone_link_kb_per_s;
        let own = links.get(self.zone as usize).copied().unwrap_or_default();
        let flow = self.client_kb_per_s.max(1.0);
        let zones = links.iter().filter(|l| **l > 0.0).count().max(1);
        (own / flow, links.iter().sum::<f64>() / zones as f64 / flow)
    }
}

#[derive(Clone, Debug)]
pub struct ContentType {
    pub idempotency: Idempotency,
    pub target_time: Span,
    pub target_stretch: f64,
    pub benefit: f64,
    pub write: bool,
    /// Objects have several parts, asked for one after another.
    pub in_parts: bool,
    /// None: a copy is good until it is purged.
    pub fresh_for: Option<Span>,
    pub grace: Span,
}

#[derive(Clone, Debug)]
pub enum Event {
    Membership {
        update: MembershipUpdate,
        records: Vec<NodeRecord>,
    },
    Arrived {
        dl: DownloadIndex,
        download: Download,
    },
    PullEnded(PullResult),
    /// The client left, or the answer was overdue.
    ClientLeft {
        dl: DownloadIndex,
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
pub enum Action {
    Pull(Pull),
    Cancel {
        dl: DownloadIndex,
        attempt: u8,
    },
    Throttle {
        dl: DownloadIndex,
        retry_after: Span,
    },
    Abandon {
        dl: DownloadIndex,
    },
    SetTimer {
        after: Span,
        timer: u32,
    },
    WatchMembership,
    /// Nothing more will be said of this download: its index is free.
    Release {
        dl: DownloadIndex,
    },
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Pull {
    pub dl: DownloadIndex,
    pub node: NodeIndex,
    /// None: what the node lacks is not filled.
    pub source: Option<NodeIndex>,
    /// Zero: the content type's fresh time.
    pub max_age: Span,
    pub rank: u8,
    /// Zero: until the client leaves.
    pub timeout: Span,
    /// It may wait so long for its connection, and must not be sent later; zero: until it times out.
    pub connect_within: Span,
    pub join: bool,
    pub only_held: bool,
    pub no_copy: bool,
    pub renew: bool,
}

impl Pull {
    /// A look at what a node holds, which keeps and fills nothing.
    pub(crate) fn plain(dl: DownloadIndex, node: NodeIndex) -> Pull {
        let (source, oldest, rank) = (None, Span::ZERO, 0);
        let (time_out, start_within) = (Span::ZERO, Span::ZERO);
        let (join, only_held, no_copy, renew) = (false, false, false, false);
        Pull {
            dl,
            node,
            source,
            max_age: oldest,
            rank,
            timeout: time_out,
            connect_within: start_within,
            join,
            only_held,
            no_copy,
            renew,
        }
    }
}

/// Ids of a front and the small indices that stand for them behind the door.
#[derive(Default)]
pub struct IdRegistry {
    node_ids: Vec<u32>,
    nodes: HashMap<u32, NodeIndex>,
    free_nodes: VecDeque<NodeIndex>,
    dl_ids: Vec<u64>,
    dls: HashMap<u64, DownloadIndex>,
    free: Vec<DownloadIndex>,
}

impl IdRegistry {
    pub fn register_node(&mut self, id: u32) -> NodeIndex {
        let (node_ids, free) = (&mut self.node_ids, &mut self.free_nodes);
        let node = *self.nodes.entry(id).or_insert_with(|| {
            free.pop_front().unwrap_or_else(|| {
                node_ids.push(id);
                NodeIndex(node_ids.len() as u32 - 1)
            })
        });
        node_ids[node.0 as usize] = id;
        node
    }

    /// Its index may stand for another node from now on. Recipient be called only for one that is gone, long after the
    /// last download that it had a part in: otherwise what is remembered of it would pass for the other's.
    pub fn release_node(&mut self, id: u32) {
        self.free_nodes.extend(self.nodes.remove(&id));
    }

    pub fn node(&self, id: u32) -> Option<NodeIndex> {
        self.nodes.get(&id).copied()
    }

    pub fn node_id(&self, node: NodeIndex) -> u32 {
        self.node_ids[node.0 as usize]
    }

    pub fn register_download(&mut self, id: u64) -> DownloadIndex {
        let dl = self.free.pop().unwrap_or_else(|| {
            self.dl_ids.push(id);
            DownloadIndex(self.dl_ids.len() as u32 - 1)
        });
        self.dl_ids[dl.0 as usize] = id;
        self.dls.insert(id, dl);
        dl
    }

    pub fn dl(&self, id: u64) -> Option<DownloadIndex> {
        self.dls.get(&id).copied()
    }

    pub fn download_id(&self, dl: DownloadIndex) -> u64 {
        self.dl_ids[dl.0 as usize]
    }

    pub fn release_download(&mut self, dl: DownloadIndex) {
        if self.dls.remove(&self.dl_ids[dl.0 as usize]).is_some() {
            self.free.push(dl);
        }
    }
}

impl Context {
    /// Puts what an event says into the inboxes it is for.
    pub(crate) fn deliver(&mut self, event: Event) {
        let note = match event {
            Event::Membership { update: MembershipUpdate::Failed, .. } => Message::MembershipLost,
            Event::Membership { update: news, records: listings } => {
                return self.deliver_roster(news, listings);
            }
            Event::Arrived { dl, download } => Message::Arrived(dl, download),
            Event::PullEnded(end) => Message::PullEnded(end),
            Event::ClientLeft { dl } => Message::ClientLeft(dl),
            Event::TimerFired { .. } => Message::Tick,
            Event::Purged { object, group, ago } => {
                Message::Purged { object, group, at: self.now.before(ago) }
            }
        };
        self.send(Recipient::Dispatcher, note);
    }

    /// A node that a whole list leaves out is gone.
    fn deliver_roster(&mut self, news: MembershipUpdate, mut listings: Vec<NodeRecord>) {
        if news == MembershipUpdate::Snapshot {
            let listed: HashSet<NodeIndex> = listings.iter().map(|l| l.node).collect();
            let missing = |l: &&NodeRecord| !listed.contains(&l.node);
            let gone = self.last_records.iter().flatten().filter(missing);
            let gone: Vec<_> = gone.map(|l| NodeRecord { phase: Phase::Removed, ..*l }).collect();
            listings.extend(gone);
        }
        for listing in listings {
            let at = listing.node.0 as usize;
            if self.last_records.len() <= at {
                self.last_records.resize(at + 1, None);
            }
            self.last_records[at] = Some(listing);
            self.send(Recipient::Dispatcher, Message::NodeUpdated(listing, SlowStart::default()));
        }
    }
}
