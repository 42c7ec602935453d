//! The data that events, orders and the decisions share. Nothing here decides anything.
use crate::interface::{Action, ContentType, Pull, ServiceProfile};
use crate::time::{Moment, Span};
use crate::window::SlidingWindow;
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Index of a cache, parent or origin, given out at the door.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub struct NodeIndex(pub u32);

/// Index of a download that this router holds, given out at the door and used again later.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub struct DownloadIndex(pub u32);

/// Index of a content type in the service profile.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ContentIndex(pub u16);

#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub struct ObjectKey(pub u64);

#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Download {
    pub content: ContentIndex,
    pub object: ObjectKey,
    pub part: u32,
    pub group: u32,
    /// Size of this part; zero where it is not told.
    pub kilobytes: f32,
    pub deadline: Moment,
    pub is_retry: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    Ready,
    Draining,
    Removed,
}

/// Where a node stands between the clients and the one place that has everything.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Role {
    #[default]
    Cache,
    Parent,
    Origin,
}

/// One line of the roster.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct NodeRecord {
    pub node: NodeIndex,
    /// The same number for the node at every router: what hashes are taken over.
    pub hash_key: u64,
    pub zone: u16,
    pub cell: u16,
    pub kind: u8,
    pub scale: f32,
    pub role: Role,
    pub phase: Phase,
    /// None: running for longer than anyone needs to know.
    pub started: Option<Moment>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MembershipUpdate {
    Delta,
    Snapshot,
    /// No entries; what was known before still holds.
    Failed,
}

/// How a pull ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PullOutcome {
    Fulfilled,
    Error,
    Full,
    TimedOut,
    NoConnection,
    Broken,
    Cancelled,
    NotSent,
    Missed,
}

impl PullOutcome {
    /// The protocol's own promise that nothing ran.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            PullOutcome::Full | PullOutcome::NoConnection | PullOutcome::NotSent | PullOutcome::Missed
        )
    }
}

/// What a node tells of how it came by the object, or why it did not.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CacheStatus {
    Unknown,
    Hit,
    Filled,
    FromOrigin,
    Joined,
    Stale,
    SourceRefused,
    SourceLost,
    SourceLacks,
    NoFillSlot,
    OriginFailed,
}

impl CacheStatus {
    /// It tells of a failure of the source or the origin, not of the node that was asked.
    pub(crate) fn is_behind(self) -> bool {
        matches!(self, Self::SourceRefused | Self::SourceLost | Self::SourceLacks | Self::OriginFailed)
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PullResult {
    pub dl: DownloadIndex,
    pub attempt: u8,
    pub node: NodeIndex,
    pub outcome: PullOutcome,
    pub cache_status: CacheStatus,
    /// The download has its final answer, by this end or earlier.
    pub answered: bool,
    pub duration: Span,
    pub first_byte: Span,
}

/// What a running of the same download again may do.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Idempotency {
    Retriable,
    Deduped { scope: DedupeScope, window: Span },
    NonRetriable,
}

/// The caches that know each other's deduped downloads.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DedupeScope {
    All,
    Zone,
    Cell,
}

/// What differs by content type, and what is learnt of it.
pub struct ContentState {
    pub(crate) settings: ContentType,
    /// Mean seconds that a warm, idle cache takes to send one.
    pub(crate) mean_send_seconds: f64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Recipient {
    Dispatcher,
    Node(NodeIndex),
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum HealthSignal {
    Success,
    Failure,
    Overloaded,
    Inconclusive,
}

/// A pull that the desk would like a node to take.
#[derive(Clone, Copy)]
pub struct PullOffer {
    pub(crate) pull: Pull,
    pub(crate) in_flight: InFlight,
    pub(crate) cheapness: f64,
    pub(crate) max_in_flight: f64,
    pub(crate) capacity: f64,
    pub(crate) may_probe: bool,
}

#[derive(Clone, Copy)]
pub enum Message {
    Tick,
    MembershipLost,
    /// Recipient the desk from the door, and on to the node with the rules for its cold start.
    NodeUpdated(NodeRecord, SlowStart),
    Arrived(DownloadIndex, Download),
    ClientLeft(DownloadIndex),
    PullEnded(PullResult),
    Purged {
        object: Option<ObjectKey>,
        group: u32,
        at: Moment,
    },
    OfferPull(PullOffer),
    PullReply {
        dl: DownloadIndex,
        node: NodeIndex,
        accepted: bool,
        ejected: bool,
    },
    OfferFill {
        node: NodeIndex,
        fill: InFlight,
        capacity: f64,
        /// No other source has declined it.
        first_choice: bool,
    },
    FillReply {
        dl: DownloadIndex,
        node: NodeIndex,
        granted: bool,
    },
    /// A pull or a fill is over; `charge` is what a fill turned out to weigh.
    Finished {
        dl: DownloadIndex,
        signal: HealthSignal,
        latency_ratio: Option<f64>,
        charge: Option<f64>,
    },
    Overdue {
        dl: DownloadIndex,
        /// The node is set aside or gone.
        ejected: bool,
    },
}

impl Message {
    /// Takes back a fill that no pull was sent for.
    pub(crate) fn never_sent(dl: DownloadIndex) -> Message {
        Message::Finished { dl, signal: HealthSignal::Inconclusive, latency_ratio: None, charge: Some(0.0) }
    }
}

/// The inboxes, and what leaves the router.
#[derive(Default)]
pub struct Context {
    pub(crate) now: Moment,
    pub(crate) inboxes: Vec<VecDeque<Message>>,
    pub(crate) queue: VecDeque<Recipient>,
    pub(crate) actions: Vec<Action>,
    pub(crate) seed: u64,
    pub(crate) draws: u64,
    /// The last that was said of each node, to tell who is missing from a whole list.
    pub(crate) last_records: Vec<Option<NodeRecord>>,
}

impl Context {
    pub(crate) fn slot(to: Recipient) -> usize {
        match to {
            Recipient::Dispatcher => 0,
            Recipient::Node(node) => node.0 as usize + 1,
        }
    }
    pub(crate) fn send(&mut self, to: Recipient, note: Message) {
        let slot = Self::slot(to);
        if self.inboxes.len() <= slot {
            self.inboxes.resize_with(slot + 1, VecDeque::new);
        }
        self.inboxes[slot].push_back(note);
        self.queue.push_back(to);
    }
    pub(crate) fn next(&mut self) -> Option<(Recipient, Message)> {
        let to = self.queue.pop_front()?;
        self.inboxes[Self::slot(to)].pop_front().map(|note| (to, note))
    }
    pub(crate) fn order(&mut self, order: Action) {
        self.actions.push(order);
    }
    pub(crate) fn chance(&mut self) -> f64 {
        self.draws += 1;
        unit(hash((self.seed, self.draws)))
    }
}

pub(crate) fn hash(of: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    hasher.finish()
}

/// Strictly between 0 and 1, so that its logarithm is finite.
pub(crate) fn unit(hash: u64) -> f64 {
    ((hash >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}

/// How a node starts cold, and what this router may take it to carry.
#[derive(Clone, Copy, Default)]
pub struct SlowStart {
    pub(crate) initial_share: f64,
    pub(crate) duration: Span,
    pub(crate) overload_factor: f64,
    pub(crate) window: Span,
    /// Routers that share it.
    pub(crate) routers: f64,
}

/// A bound on what is under way, in pulls, and the slowness that was shown behind it.
#[derive(Default)]
pub struct ConcurrencyLimiter {
    pub(crate) limit: f64,
    /// Part of the room by which it may widen.
    pub(crate) growth: f64,
    /// Of this router, now and over some time.
    pub(crate) in_flight: f64,
    pub(crate) mean_in_flight: f64,
    /// Since it was opened.
    pub(crate) ticks: f64,
    /// Routers that stand before the same thing.
    pub(crate) routers: f64,
    pub(crate) slow_ratio: f64,
    /// What this gate guards, as a part of the thing itself.
    pub(crate) share: f64,
    pub(crate) latency_ratios: SlidingWindow,
}

/// A pull under way at a cache, or a fill that may be at its source.
#[derive(Clone, Copy)]
pub struct InFlight {
    pub(crate) dl: DownloadIndex,
    pub(crate) sent_at: Moment,
    pub(crate) overdue_after: Span,
    /// How surely silence is this node's own doing.
    pub(crate) certainty: f64,
    pub(crate) charge: f64,
    pub(crate) reported_overdue: bool,
}

/// A cache, a parent or the origin: an actor that takes pulls and fills, or declines them.
#[derive(Default)]
pub struct NodeState {
    pub(crate) record: Option<NodeRecord>,
    pub(crate) slow_start: SlowStart,
    pub(crate) in_flight: Vec<InFlight>,
    pub(crate) failure_streak: f64,
    pub(crate) ejected_until: Option<Moment>,
    pub(crate) ejections: i32,
    pub(crate) last_success: Moment,
    pub(crate) last_failure: Moment,
    pub(crate) recent_charges: SlidingWindow,
    pub(crate) limiter: ConcurrencyLimiter,
}

/// The design's last-request table and its two characteristic times.
#[derive(Default)]
pub struct RequestHistory {
    pub(crate) entries: HashMap<(ObjectKey, u32), HistoryEntry>,
    /// Sending done lately, of each object and of all.
    pub(crate) object_load: HashMap<ObjectKey, SlidingWindow>,
    pub(crate) total_load: SlidingWindow,
    pub(crate) by_age: VecDeque<(Moment, (ObjectKey, u32))>,
    pub(crate) edge_tau: Span,
    pub(crate) parent_tau: Span,
}

impl RequestHistory {
    /// Keeps the shortest sending seen of an object and part.
    pub(crate) fn saw(&mut self, what: &Download, sending: f64) {
        if let Some(line) = self.entries.get_mut(&(what.object, what.part)) {
            line.best_send_seconds = Some(line.best_send_seconds.map_or(sending, |s| s.min(sending)));
        }
    }

    /// Enters seconds of sending; `fresh` is the ring of an object not heard of lately.
    pub(crate) fn warm(&mut self, object: ObjectKey, sending: f64, fresh: SlidingWindow, now: Moment) {
        self.total_load.add(now, sending);
        self.object_load.entry(object).or_insert(fresh).add(now, sending);
    }

    /// Drops what was last asked for longer ago than `expiry`.
    pub(crate) fn tidy(&mut self, now: Moment, expiry: Span) {
        self.object_load.retain(|_, ring| ring.count(now) > 0.0);
        while let Some((at, key)) = self.by_age.front().copied().filter(|(at, _)| now.since(*at) > expiry) {
            self.by_age.pop_front();
            if self.entries.get(&key).is_some_and(|l| l.last_request <= at) {
                self.entries.remove(&key);
            }
        }
    }
}

/// A node and since when it has had the copy.
pub type KnownCopy = Option<(NodeIndex, Moment)>;

#[derive(Clone, Copy, Default)]
pub struct HistoryEntry {
    pub(crate) last_request: Moment,
    pub(crate) gap: Option<Span>,
    /// Seconds in which it was sent at best.
    pub(crate) best_send_seconds: Option<f64>,
    pub(crate) edge_copy: KnownCopy,
    pub(crate) parent_copy: KnownCopy,
}

#[derive(Clone, Copy)]
pub struct Attempt {
    pub(crate) node: NodeIndex,
    pub(crate) source: Option<NodeIndex>,
    pub(crate) sent_at: Moment,
    pub(crate) ended: bool,
    /// It has ended with a proof that it never ran.
    pub(crate) proven_unrun: bool,
    pub(crate) cancelled: bool,
}

/// A download that the router holds.
pub struct PendingDownload {
    pub(crate) request: Download,
    pub(crate) history: HistoryEntry,
    pub(crate) attempts: Vec<Attempt>,
    /// Who said no to the pull now being placed.
    pub(crate) declined: Vec<NodeIndex>,
    /// Which nodes failed it, for good.
    pub(crate) failed: Vec<NodeIndex>,
    pub(crate) source: Option<NodeIndex>,
    pub(crate) fill_failures: u32,
    pub(crate) only_held: bool,
    pub(crate) link_load: f64,
    pub(crate) origin_load: f64,
    pub(crate) answered: bool,
}

impl PendingDownload {
    pub(crate) fn new(what: Download, line: HistoryEntry) -> PendingDownload {
        let (sent, declined, failed) = (Vec::new(), Vec::new(), Vec::new());
        let source = None;
        PendingDownload {
            request: what,
            history: line,
            attempts: sent,
            declined,
            failed,
            source,
            fill_failures: 0,
            only_held: false,
            link_load: 0.0,
            origin_load: 0.0,
            answered: false,
        }
    }
    /// The first pull that may have run.
    pub(crate) fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|s| !s.proven_unrun)
    }
    pub(crate) fn pulls_out(&self) -> bool {
        self.attempts.iter().any(|s| !s.ended)
    }
}

/// What a router was told lately of purges.
#[derive(Default)]
pub struct PurgeMemory {
    pub(crate) objects: HashMap<ObjectKey, Moment>,
    pub(crate) groups: HashMap<u32, Moment>,
}

impl PurgeMemory {
    pub(crate) fn hear(&mut self, object: Option<ObjectKey>, group: u32, at: Moment) {
        let known = match object {
            Some(object) => self.objects.entry(object).or_insert(at),
            None => self.groups.entry(group).or_insert(at),
        };
        *known = at.max(*known);
    }

    pub(crate) fn tidy(&mut self, settled: Moment) {
        self.objects.retain(|_, at| *at >= settled);
        self.groups.retain(|_, at| *at >= settled);
    }

    pub(crate) fn last_of(&self, what: &Download) -> Option<Moment> {
        self.objects.get(&what.object).max(self.groups.get(&what.group)).copied()
    }
}

/// Takes downloads in, finds each its way, and answers it.
pub struct Dispatcher {
    pub(crate) profile: ServiceProfile,
    pub(crate) content_types: Vec<ContentState>,
    pub(crate) members: Vec<Option<NodeRecord>>,
    /// The only nodes that this router can name: caches of its own zone, parents, the origin.
    pub(crate) reachable: Vec<NodeIndex>,
    /// The most caches in reach that were listed at once.
    pub(crate) max_caches: usize,
    pub(crate) pulls_in_flight: Vec<usize>,
    pub(crate) downloads: Vec<Option<PendingDownload>>,
    pub(crate) history: RequestHistory,
    pub(crate) purge_memory: PurgeMemory,
    /// Whether pulls needed a fill, without and with a believed copy, and whether fills went to the origin.
    pub(crate) fill_rates: [SlidingWindow; 3],
    pub(crate) link_limiter: ConcurrencyLimiter,
    pub(crate) origin_limiter: ConcurrencyLimiter,
}

/// One router's decisions; the way in is through `door`.
pub struct Policy {
    pub(crate) context: Context,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) nodes: Vec<NodeState>,
}

impl Dispatcher {
    pub(crate) fn hold(&mut self, dl: DownloadIndex, held: PendingDownload) {
        let at = dl.0 as usize;
        if self.downloads.len() <= at {
            self.downloads.resize_with(at + 1, || None);
        }
        self.downloads[at] = Some(held);
    }

    /// Notes that a pull has gone out.
    pub(crate) fn place(&mut self, dl: DownloadIndex, node: NodeIndex, at: Moment) {
        let Some(Some(held)) = self.downloads.get_mut(dl.0 as usize) else { return };
        let source = held.source;
        held.declined.clear();
        held.attempts.push(Attempt {
            node,
            source,
            sent_at: at,
            ended: false,
            proven_unrun: false,
            cancelled: false,
        });
        self.pulls_in_flight[node.0 as usize] += 1;
    }

    pub(crate) fn is_parent(&self, node: NodeIndex) -> bool {
        self.members[node.0 as usize].is_some_and(|l| l.role == Role::Parent)
    }

    pub(crate) fn known(&self) -> impl Iterator<Item = &NodeRecord> {
        self.reachable.iter().filter_map(|node| self.members[node.0 as usize].as_ref())
    }

    pub(crate) fn scale(&self, l: &NodeRecord) -> f64 {
        if self.profile.scales_comparable { f64::from(l.scale.max(0.01)) } else { 1.0 }
    }

    pub(crate) fn leave_gates(&mut self, dl: DownloadIndex) {
        let Some(Some(held)) = self.downloads.get_mut(dl.0 as usize) else { return };
        self.link_limiter.in_flight -= std::mem::take(&mut held.link_load);
        self.origin_limiter.in_flight -= std::mem::take(&mut held.origin_load);
    }

    pub(crate) fn enter(&mut self, listing: NodeRecord) {
        let at = listing.node.0 as usize;
        if self.members.len() <= at {
            self.members.resize(at + 1, None);
            self.pulls_in_flight.resize(at + 1, 0);
        }
        if self.members[at].replace(listing).is_none() {
            self.reachable.push(listing.node);
        }
        let stand = self.known().filter(|l| l.role == Role::Cache && l.phase != Phase::Removed).count();
        self.max_caches = self.max_caches.max(stand);
    }
}

/// The actor of a node, which is made when the first note for it comes.
pub(crate) fn node_at(nodes: &mut Vec<NodeState>, node: NodeIndex) -> &mut NodeState {
    let at = node.0 as usize;
    if nodes.len() <= at {
        nodes.resize_with(at + 1, NodeState::default);
    }
    &mut nodes[at]
}
