//! The interface of the decision module: events go in, actions come out.
//!
//! The program around the module (the host: a router on sockets, or the simulator's adapter) creates a
//! `Policy` with a `ServiceProfile`, calls `Policy::step` with the events of a moment, and carries out the
//! actions that it returns. The module does no input or output and reads no clock. An `IdRegistry` maps the
//! host's own ids to small indices.
use crate::state::*;
use crate::time::Span;
use std::collections::{HashMap, HashSet, VecDeque};

/// What a router is told of its service when it starts.
#[derive(Clone, Debug)]
pub struct ServiceProfile {
    /// The zone of this router.
    pub zone: u16,
    /// Number of routers that serve each zone, by zone; zero for zones of hubs.
    pub zone_routers: Vec<u16>,
    /// Number of all routers.
    pub routers: u16,
    pub content_types: Vec<ContentType>,
    /// The scales in the node records don't change and can be compared between nodes.
    pub scales_comparable: bool,
    /// The member list is sent only after `Action::WatchMembership`.
    pub membership_on_request: bool,
    /// Pulls may be cancelled.
    pub may_cancel: bool,
    /// Pulls may go to a parent without a cache.
    pub may_bypass: bool,
    /// A pull may wait for a fill of the same object that is already under way.
    pub may_join: bool,
    /// Maximum number of pulls for one download.
    pub max_pulls: u32,
    /// Maximum time after which a throttled client may be told to come back; zero: clients are told nothing.
    pub max_retry_after: Span,
    /// Rate of one transfer to a client, in kilobytes a second; zero if unknown.
    pub client_kb_per_s: f64,
    /// Capacity of the link into each zone, in kilobytes a second; zero if unknown.
    pub zone_link_kb_per_s: Vec<f64>,
    /// Part of its capacity that a cache has when it starts cold.
    pub cold_share: f64,
    /// Time that a cache takes to warm up.
    pub warm_up_time: Span,
    /// Multiple of its capacity at which a cache is overloaded.
    pub overload_factor: f64,
    /// Time over which that load is summed.
    pub overload_window: Span,
    /// The same three for parents.
    pub parent_cold_share: f64,
    pub parent_warm_up_time: Span,
    pub parent_overload_factor: f64,
    /// Time after which every cache has carried out a purge.
    pub purge_settle_time: Span,
    /// Most objects and parts whose requests the router remembers at a time.
    pub max_history_entries: usize,
}

impl ServiceProfile {
    /// Number of routers that share the caches of this router's zone, itself included.
    pub(crate) fn zone_router_count(&self) -> f64 {
        let known = self.zone_routers.get(self.zone as usize).copied();
        f64::from(known.unwrap_or(self.routers).max(1))
    }

    /// How nodes of a role start, and how many routers share one.
    pub(crate) fn slow_start(&self, role: Role) -> SlowStart {
        let caches = (self.cold_share, self.warm_up_time, self.overload_factor, self.zone_router_count());
        let all_routers = f64::from(self.routers.max(1));
        let parents =
            (self.parent_cold_share, self.parent_warm_up_time, self.parent_overload_factor, all_routers);
        let (initial_share, duration, overload_factor, routers) =
            if role == Role::Cache { caches } else { parents };
        SlowStart { initial_share, duration, overload_factor, window: self.overload_window, routers }
    }

    /// Number of zones with routers.
    pub(crate) fn zone_count(&self) -> f64 {
        self.zone_routers.iter().filter(|routers| **routers > 0).count().max(1) as f64
    }

    /// Capacity of the link into this router's zone, and the mean capacity of a link into a zone, both in
    /// transfers to a client at the same time.
    pub(crate) fn link_capacities(&self) -> (f64, f64) {
        let links = &self.zone_link_kb_per_s;
        let own = links.get(self.zone as usize).copied().unwrap_or_default();
        let client_rate = self.client_kb_per_s.max(1.0);
        let zones = links.iter().filter(|link| **link > 0.0).count().max(1);
        (own / client_rate, links.iter().sum::<f64>() / zones as f64 / client_rate)
    }
}

/// The settings of a content type.
#[derive(Clone, Debug)]
pub struct ContentType {
    pub idempotency: Idempotency,
    /// Time within which a download should be answered.
    pub target_time: Span,
    /// Seconds that are added to the target time for each second of sending.
    pub target_stretch: f64,
    /// Benefit of a download that is answered in time.
    pub benefit: f64,
    /// Downloads run at the origin; no copies are kept.
    pub write: bool,
    /// Objects have several parts, which are requested one after another.
    pub in_parts: bool,
    /// Time for which a copy is fresh; none: until it is purged.
    pub fresh_for: Option<Span>,
    /// Time after the fresh time in which a copy may still be served if no other can be had.
    pub grace: Span,
}

/// What the host reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// A report on the member list.
    Membership {
        update: MembershipUpdate,
        records: Vec<NodeRecord>,
    },
    /// A client requests a download.
    Arrived {
        dl: DownloadIndex,
        download: Download,
    },
    PullEnded(PullResult),
    /// The client left, or the host answered it since the policy's answer was overdue.
    ClientLeft {
        dl: DownloadIndex,
    },
    TimerFired {
        timer: u32,
    },
    /// An object was purged, or with none all objects of a group.
    Purged {
        object: Option<ObjectKey>,
        group: u32,
        /// How long ago the purge was ordered.
        ago: Span,
    },
}

/// What the host is to do.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Action {
    Pull(Pull),
    /// Cancel a pull. Its end is still reported.
    Cancel {
        dl: DownloadIndex,
        /// Number of the pull among those of its download, from zero.
        attempt: u8,
    },
    /// Answer the client that it may repeat its request after this time.
    Throttle {
        dl: DownloadIndex,
        retry_after: Span,
    },
    /// Answer the client that its download has failed.
    Abandon {
        dl: DownloadIndex,
    },
    SetTimer {
        after: Span,
        timer: u32,
    },
    /// Ask for the member list and its changes.
    WatchMembership,
    /// No other action will name this download: its index is free.
    Release {
        dl: DownloadIndex,
    },
}

/// A request for one part of an object, to a cache or parent.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Pull {
    pub dl: DownloadIndex,
    pub node: NodeIndex,
    /// Where the node may fill from; none: it answers only with a copy that it holds.
    pub source: Option<NodeIndex>,
    /// Maximum age of the copy; zero: the fresh time of the content type.
    pub max_age: Span,
    /// How long the node should keep the copy compared with others: 0 not at all, higher ranks longer.
    pub rank: u8,
    /// Time after which the pull is given up; zero: when the client leaves.
    pub timeout: Span,
    /// Time that it may wait for its connection; it must not be sent later. Zero: until it times out.
    pub connect_within: Span,
    /// Wait for a fill of the same object that is already under way.
    pub join: bool,
    /// The source may answer only with a copy that it holds.
    pub only_held: bool,
    /// The source keeps no copy of what it has to fetch.
    pub no_copy: bool,
    /// A node that answers with a stale copy renews it in the background.
    pub renew: bool,
}

impl Pull {
    /// A lookup of what a node holds, which fills nothing and keeps nothing.
    pub(crate) fn lookup(dl: DownloadIndex, node: NodeIndex) -> Pull {
        let (source, max_age, rank) = (None, Span::ZERO, 0);
        let (timeout, connect_within) = (Span::ZERO, Span::ZERO);
        let (join, only_held, no_copy, renew) = (false, false, false, false);
        Pull { dl, node, source, max_age, rank, timeout, connect_within, join, only_held, no_copy, renew }
    }
}

/// Maps the host's ids of nodes and downloads to small indices and back.
#[derive(Default)]
pub struct IdRegistry {
    node_ids: Vec<u32>,
    nodes: HashMap<u32, NodeIndex>,
    free_nodes: VecDeque<NodeIndex>,
    download_ids: Vec<u64>,
    downloads: HashMap<u64, DownloadIndex>,
    free_downloads: Vec<DownloadIndex>,
}

impl IdRegistry {
    /// The index of a node; a new one if the node is unknown.
    pub fn register_node(&mut self, id: u32) -> NodeIndex {
        let (node_ids, free_nodes) = (&mut self.node_ids, &mut self.free_nodes);
        let node = *self.nodes.entry(id).or_insert_with(|| {
            free_nodes.pop_front().unwrap_or_else(|| {
                node_ids.push(id);
                NodeIndex(node_ids.len() as u32 - 1)
            })
        });
        node_ids[node.0 as usize] = id;
        node
    }

    /// Frees the index of a node for another one. To be called only for a node that was removed, long after
    /// the last download that it had a part in: otherwise what the policy remembers of it would be applied to
    /// the other node.
    pub fn release_node(&mut self, id: u32) {
        self.free_nodes.extend(self.nodes.remove(&id));
    }

    /// The index of a node, if it is registered.
    pub fn node(&self, id: u32) -> Option<NodeIndex> {
        self.nodes.get(&id).copied()
    }

    /// The host's id of a node.
    pub fn node_id(&self, node: NodeIndex) -> u32 {
        self.node_ids[node.0 as usize]
    }

    /// A new index for a download.
    pub fn register_download(&mut self, id: u64) -> DownloadIndex {
        let dl = self.free_downloads.pop().unwrap_or_else(|| {
            self.download_ids.push(id);
            DownloadIndex(self.download_ids.len() as u32 - 1)
        });
        self.download_ids[dl.0 as usize] = id;
        self.downloads.insert(id, dl);
        dl
    }

    /// The index of a download, if it is registered.
    pub fn dl(&self, id: u64) -> Option<DownloadIndex> {
        self.downloads.get(&id).copied()
    }

    /// The host's id of a download.
    pub fn download_id(&self, dl: DownloadIndex) -> u64 {
        self.download_ids[dl.0 as usize]
    }

    /// Frees the index of a download for another one, after `Action::Release`.
    pub fn release_download(&mut self, dl: DownloadIndex) {
        if self.downloads.remove(&self.download_ids[dl.0 as usize]).is_some() {
            self.free_downloads.push(dl);
        }
    }
}

impl Context {
    /// Turns an event into messages to the dispatcher.
    pub(crate) fn handle_event(&mut self, event: Event) {
        let message = match event {
            Event::Membership { update: MembershipUpdate::Failed, .. } => Message::MembershipLost,
            Event::Membership { update, records } => return self.handle_membership(update, records),
            Event::Arrived { dl, download } => Message::Arrived(dl, download),
            Event::PullEnded(result) => Message::PullEnded(result),
            Event::ClientLeft { dl } => Message::ClientLeft(dl),
            Event::TimerFired { .. } => Message::Tick,
            Event::Purged { object, group, ago } => {
                Message::Purged { object, group, at: self.now.before(ago) }
            }
        };
        self.send(Recipient::Dispatcher, message);
    }

    /// Passes on node records. A node that a snapshot leaves out is removed.
    fn handle_membership(&mut self, update: MembershipUpdate, mut records: Vec<NodeRecord>) {
        if update == MembershipUpdate::Snapshot {
            let members: HashSet<NodeIndex> = records.iter().map(|record| record.node).collect();
            let is_missing = |record: &&NodeRecord| !members.contains(&record.node);
            let removed = self.last_records.iter().flatten().filter(is_missing);
            let removed: Vec<_> =
                removed.map(|record| NodeRecord { phase: Phase::Removed, ..*record }).collect();
            records.extend(removed);
        }
        for record in records {
            let index = record.node.0 as usize;
            if self.last_records.len() <= index {
                self.last_records.resize(index + 1, None);
            }
            self.last_records[index] = Some(record);
            self.send(Recipient::Dispatcher, Message::NodeUpdated(record, SlowStart::default()));
        }
    }
}
