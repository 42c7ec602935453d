//! The data that events, actions and the decisions share. Nothing here decides anything.
use crate::interface::{Action, ContentType, Pull, ServiceProfile};
use crate::time::{Moment, Span};
use crate::window::SlidingWindow;
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Index of a cache, parent or origin, given out by `IdRegistry`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub struct NodeIndex(pub u32);

/// Index of a download that this router holds, given out by `IdRegistry` and reused after `Action::Release`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub struct DownloadIndex(pub u32);

/// Index of a content type in `ServiceProfile::content_types`.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ContentIndex(pub u16);

/// Identity of an object, the same at every router.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub struct ObjectKey(pub u64);

/// What a client requests: one part of an object.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Download {
    pub content: ContentIndex,
    pub object: ObjectKey,
    pub part: u32,
    /// Group of objects that can be purged together.
    pub group: u32,
    /// Size of this part; zero if unknown.
    pub kilobytes: f32,
    /// When the client leaves if it has no answer.
    pub deadline: Moment,
    /// The client repeats a request that was not served.
    pub is_retry: bool,
}

/// Life cycle of a node. Only ready nodes may be named in new pulls.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    Ready,
    Draining,
    Removed,
}

/// Tier of a node, from the clients towards the one place that has all objects.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Role {
    #[default]
    Cache,
    Parent,
    Origin,
}

/// What the member list tells about one node.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct NodeRecord {
    pub node: NodeIndex,
    /// The same number for the node at every router; hash orders are taken over it.
    pub hash_key: u64,
    pub zone: u16,
    /// Group of caches within the zone.
    pub cell: u16,
    /// Machine kind, an index into the settings' list of kinds.
    pub kind: u8,
    /// Relative size of the node; see `ServiceProfile::scales_comparable`.
    pub scale: f32,
    pub role: Role,
    pub phase: Phase,
    /// Start of the node's process; none if it is older than the warm-up of any node.
    pub started: Option<Moment>,
}

/// Kind of a report on the member list.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MembershipUpdate {
    /// Only the given records have changed.
    Delta,
    /// The given records are the whole list; nodes that it leaves out are removed.
    Snapshot,
    /// The list can't be read at the moment: no records, and what was known before still holds.
    Failed,
}

/// How a pull ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PullOutcome {
    Fulfilled,
    /// The node answered with an error.
    Error,
    /// The node refused the pull since it is at its capacity.
    Full,
    TimedOut,
    NoConnection,
    /// The connection broke after the pull was sent.
    Broken,
    /// Cancelled by this router.
    Cancelled,
    /// Given up before any of it was sent.
    NotSent,
    /// The node does not hold the object, and had no source to fill it from.
    Missed,
}

impl PullOutcome {
    /// Whether the protocol guarantees that nothing was run for the pull.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            PullOutcome::Full | PullOutcome::NoConnection | PullOutcome::NotSent | PullOutcome::Missed
        )
    }
}

/// What a node reports on how it came by the object, or why it did not.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CacheStatus {
    /// Nothing was reported.
    Unknown,
    Hit,
    /// Filled with a copy that the source held.
    Filled,
    /// Filled with an object that had to come from the origin.
    FromOrigin,
    /// Served by a fill that was already under way for another pull.
    Joined,
    /// A hit on a copy past its fresh time.
    Stale,
    /// The source refused the fill.
    SourceRefused,
    /// The connection to the source was lost, or it failed.
    SourceLost,
    /// The source does not hold the object and may not get it.
    SourceLacks,
    /// The node has no room for another fill.
    NoFillSlot,
    OriginFailed,
}

impl CacheStatus {
    /// Whether the source or the origin failed, and not the node itself.
    pub(crate) fn is_upstream_failure(self) -> bool {
        matches!(self, Self::SourceRefused | Self::SourceLost | Self::SourceLacks | Self::OriginFailed)
    }
}

/// The end of a pull.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PullResult {
    pub dl: DownloadIndex,
    /// Number of the pull among those of its download, from zero.
    pub attempt: u8,
    pub node: NodeIndex,
    pub outcome: PullOutcome,
    pub cache_status: CacheStatus,
    /// The client has its final answer, by this pull or from before.
    pub answered: bool,
    /// From the sending of the pull to its end.
    pub duration: Span,
    /// Time that the node waited for the first byte from its source; zero for a hit.
    pub first_byte: Span,
}

/// What may happen when the same download runs a second time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Idempotency {
    /// A repeat does no harm.
    Retriable,
    /// The caches of `scope` drop a repeat that comes within `window` after the first run.
    Deduped { scope: DedupeScope, window: Span },
    /// A repeat would run twice.
    NonRetriable,
}

/// The caches that know of each other's deduped downloads.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DedupeScope {
    All,
    Zone,
    Cell,
}

/// The settings of a content type, and what was learnt about it.
pub struct ContentState {
    pub(crate) settings: ContentType,
    /// Mean seconds that a warm, idle cache takes to send one download.
    pub(crate) mean_send_seconds: f64,
}

/// Receiver of a message within the policy.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Recipient {
    Dispatcher,
    Node(NodeIndex),
}

/// What the end of a pull or fill says about the health of a node.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum HealthSignal {
    Success,
    Failure,
    /// The node refused since it is at its capacity: no failure, but a reason to send it less.
    Overloaded,
    Inconclusive,
}

/// A pull that the dispatcher offers to a node.
#[derive(Clone, Copy)]
pub struct PullOffer {
    pub(crate) pull: Pull,
    pub(crate) in_flight: InFlight,
    /// See `Dispatcher::cheapness`.
    pub(crate) cheapness: f64,
    /// Number of pulls under way at the node above which it declines.
    pub(crate) max_in_flight: f64,
    /// Capacity of the node, in transfers at the same time.
    pub(crate) capacity: f64,
    /// The download may be repeated, so that it may probe an ejected node.
    pub(crate) may_probe: bool,
}

/// A message to the dispatcher or to a node.
#[derive(Clone, Copy)]
pub enum Message {
    /// Regular timer, from the host to the dispatcher and from there to all nodes.
    Tick,
    MembershipLost,
    /// From the host to the dispatcher, and from there to the node with the rules of its slow start.
    NodeUpdated(NodeRecord, SlowStart),
    Arrived(DownloadIndex, Download),
    ClientLeft(DownloadIndex),
    PullEnded(PullResult),
    /// A purge of an object, or with none of all objects of a group.
    Purged {
        object: Option<ObjectKey>,
        group: u32,
        at: Moment,
    },
    /// To a cache: send this pull. Answered with `PullReply`.
    OfferPull(PullOffer),
    PullReply {
        dl: DownloadIndex,
        node: NodeIndex,
        accepted: bool,
        /// It declined since it is ejected.
        ejected: bool,
    },
    /// To a parent or the origin: be the source of this fill. Answered with `FillReply`.
    OfferFill {
        node: NodeIndex,
        fill: InFlight,
        /// Capacity of the node, in transfers at the same time.
        capacity: f64,
        /// No other source has declined it.
        first_choice: bool,
    },
    FillReply {
        dl: DownloadIndex,
        node: NodeIndex,
        accepted: bool,
    },
    /// To a node: a pull or fill has ended.
    Finished {
        dl: DownloadIndex,
        signal: HealthSignal,
        /// Time that it took, as a part of the target time.
        latency_ratio: Option<f64>,
        /// Seconds of sending that a fill has really cost the source, in place of what it was charged with.
        charge: Option<f64>,
    },
    /// To the dispatcher: a pull or fill has been under way for too long, or its node is no longer to be
    /// waited for.
    Overdue {
        dl: DownloadIndex,
        /// The node was ejected, restarted or removed.
        ejected: bool,
    },
}

impl Message {
    /// Takes back a fill that a source has accepted but for which no pull was sent.
    pub(crate) fn withdrawn_fill(dl: DownloadIndex) -> Message {
        Message::Finished { dl, signal: HealthSignal::Inconclusive, latency_ratio: None, charge: Some(0.0) }
    }
}

/// What dispatcher and nodes share: the time, the messages between them, the actions for the host, and random
/// numbers.
#[derive(Default)]
pub struct Context {
    pub(crate) now: Moment,
    pub(crate) inboxes: Vec<VecDeque<Message>>,
    /// Recipients in the order in which messages were sent to them.
    pub(crate) queue: VecDeque<Recipient>,
    pub(crate) actions: Vec<Action>,
    pub(crate) seed: u64,
    /// Random numbers drawn so far.
    pub(crate) draws: u64,
    /// The last record of each node, to find those that a snapshot of the member list leaves out.
    pub(crate) last_records: Vec<Option<NodeRecord>>,
}

impl Context {
    /// Index of a recipient's inbox.
    pub(crate) fn inbox_index(recipient: Recipient) -> usize {
        match recipient {
            Recipient::Dispatcher => 0,
            Recipient::Node(node) => node.0 as usize + 1,
        }
    }
    /// Queues a message. Messages are handled in the order in which they were sent.
    pub(crate) fn send(&mut self, recipient: Recipient, message: Message) {
        let index = Self::inbox_index(recipient);
        if self.inboxes.len() <= index {
            self.inboxes.resize_with(index + 1, VecDeque::new);
        }
        self.inboxes[index].push_back(message);
        self.queue.push_back(recipient);
    }
    /// Takes the next message from the queue.
    pub(crate) fn next_message(&mut self) -> Option<(Recipient, Message)> {
        let recipient = self.queue.pop_front()?;
        self.inboxes[Self::inbox_index(recipient)].pop_front().map(|message| (recipient, message))
    }
    /// Adds an action for the host.
    pub(crate) fn emit(&mut self, action: Action) {
        self.actions.push(action);
    }
    /// The next random number, strictly between 0 and 1.
    pub(crate) fn random(&mut self) -> f64 {
        self.draws += 1;
        unit_interval(hash((self.seed, self.draws)))
    }
}

/// Hash that is the same in every process of one build.
pub(crate) fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Maps a hash to a number strictly between 0 and 1, so that its logarithm is finite.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    ((hash >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}

/// How much load a node may get while it is cold.
#[derive(Clone, Copy, Default)]
pub struct SlowStart {
    /// Part of its capacity that the node has at its start; it grows linearly to the whole.
    pub(crate) initial_share: f64,
    /// Time from its start until the node is warm.
    pub(crate) duration: Span,
    /// Multiple of the current capacity at which the node is overloaded.
    pub(crate) overload_factor: f64,
    /// Time over which the load is summed.
    pub(crate) window: Span,
    /// Number of routers that share the node.
    pub(crate) routers: f64,
}

/// An adaptive limit on the load that is under way at a cache, at a parent, on the link in or at the origin.
#[derive(Default)]
pub struct ConcurrencyLimiter {
    /// Load of all routers that is allowed.
    pub(crate) limit: f64,
    /// Maximum growth of the limit a tick, as a part of it.
    pub(crate) growth: f64,
    /// Load of this router.
    pub(crate) in_flight: f64,
    /// Moving average of `in_flight`.
    pub(crate) mean_in_flight: f64,
    /// Ticks since the limiter was created.
    pub(crate) ticks: f64,
    /// Number of routers that share the limit.
    pub(crate) routers: f64,
    /// Mean latency ratio above which answers are too slow.
    pub(crate) slow_ratio: f64,
    /// Factor on the initial and the minimum limit.
    pub(crate) limit_factor: f64,
    /// Recent answer times as parts of their target times, with their weights.
    pub(crate) latency_ratios: SlidingWindow,
}

/// A pull under way at a cache, or a fill for which a source may be asked.
#[derive(Clone, Copy)]
pub struct InFlight {
    pub(crate) dl: DownloadIndex,
    pub(crate) sent_at: Moment,
    /// Time after which it is overdue.
    pub(crate) overdue_after: Span,
    /// How likely the node itself is at work on it: a cache may be waiting for a fill, and a source not be
    /// asked at all. Silence counts as a failure of the node by this weight.
    pub(crate) likelihood: f64,
    /// Seconds of sending that count against the node's slow-start allowance.
    pub(crate) charge: f64,
    pub(crate) reported_overdue: bool,
}

/// What this router knows of a cache, a parent or the origin. It accepts or declines pulls and fills for that
/// node.
#[derive(Default)]
pub struct NodeState {
    pub(crate) record: Option<NodeRecord>,
    pub(crate) slow_start: SlowStart,
    pub(crate) in_flight: Vec<InFlight>,
    /// Weighted number of failures since the last success.
    pub(crate) failure_streak: f64,
    /// While the node is ejected: when it may be probed.
    pub(crate) ejected_until: Option<Moment>,
    /// Number of recent ejections, by which their duration grows.
    pub(crate) ejections: i32,
    pub(crate) last_success: Moment,
    pub(crate) last_failure: Moment,
    /// Seconds of sending charged within the slow-start window.
    pub(crate) recent_charges: SlidingWindow,
    pub(crate) limiter: ConcurrencyLimiter,
}

/// The last request of each object and part, and the characteristic times that are estimated from the gaps.
#[derive(Default)]
pub struct RequestHistory {
    pub(crate) entries: HashMap<(ObjectKey, u32), HistoryEntry>,
    /// Recent seconds of sending of each object.
    pub(crate) object_load: HashMap<ObjectKey, SlidingWindow>,
    /// Recent seconds of sending of all objects.
    pub(crate) total_load: SlidingWindow,
    /// All recorded requests, the oldest first. A request that was followed by another one of its object and
    /// part is outdated.
    pub(crate) by_age: VecDeque<(Moment, (ObjectKey, u32))>,
    /// Most entries, and most objects with a load of their own.
    pub(crate) max_entries: usize,
    /// Characteristic time of the zone's caches: how long a copy stays that nobody asks for.
    pub(crate) edge_tau: Span,
    /// Characteristic time of the parents.
    pub(crate) parent_tau: Span,
}

impl RequestHistory {
    /// Keeps the shortest sending time that was seen of an object and part.
    pub(crate) fn record_send_time(&mut self, request: &Download, seconds: f64) {
        if let Some(entry) = self.entries.get_mut(&(request.object, request.part)) {
            entry.best_send_seconds = Some(entry.best_send_seconds.map_or(seconds, |best| best.min(seconds)));
        }
    }

    /// Adds seconds of sending. `empty` becomes the window of an object without recent load.
    /// An object beyond `max_entries` counts only for the total.
    pub(crate) fn record_load(&mut self, object: ObjectKey, seconds: f64, empty: SlidingWindow, now: Moment) {
        self.total_load.add(now, seconds);
        if self.object_load.len() < self.max_entries || self.object_load.contains_key(&object) {
            self.object_load.entry(object).or_insert(empty).add(now, seconds);
        }
    }

    /// Drops entries whose last request is longer ago than `expiry`.
    pub(crate) fn expire(&mut self, now: Moment, expiry: Span) {
        self.object_load.retain(|_, window| window.count(now) > 0.0);
        while self.by_age.front().is_some_and(|(at, _)| now.since(*at) > expiry) {
            self.drop_oldest();
        }
    }

    /// Keeps the tables within `max_entries`, whatever clients ask for: drops outdated requests, and then
    /// entries whose last request is the longest ago.
    pub(crate) fn enforce_limit(&mut self) {
        if self.by_age.len() > self.max_entries.saturating_mul(2) {
            let entries = &self.entries;
            self.by_age.retain(|(at, key)| entries.get(key).is_some_and(|entry| entry.last_request == *at));
        }
        while self.entries.len() > self.max_entries && !self.by_age.is_empty() {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((at, key)) = self.by_age.pop_front() else { return };
        if self.entries.get(&key).is_some_and(|entry| entry.last_request <= at) {
            self.entries.remove(&key);
        }
    }
}

/// A node that should hold a copy, and since when.
pub type KnownCopy = Option<(NodeIndex, Moment)>;

/// What is known of the requests for one part of an object.
#[derive(Clone, Copy, Default)]
pub struct HistoryEntry {
    pub(crate) last_request: Moment,
    /// Time between the last request and the one before it.
    pub(crate) gap: Option<Span>,
    /// Shortest time in which it was seen sent.
    pub(crate) best_send_seconds: Option<f64>,
    /// The copy at a cache of the zone.
    pub(crate) edge_copy: KnownCopy,
    /// The copy at a parent.
    pub(crate) parent_copy: KnownCopy,
}

/// A pull that was sent for a download.
#[derive(Clone, Copy)]
pub struct Attempt {
    pub(crate) node: NodeIndex,
    pub(crate) source: Option<NodeIndex>,
    pub(crate) sent_at: Moment,
    pub(crate) ended: bool,
    /// It has ended in a way that proves that nothing was run.
    pub(crate) proven_unrun: bool,
    /// The host was told to cancel it.
    pub(crate) cancelled: bool,
}

/// A download that the router holds.
pub struct PendingDownload {
    pub(crate) request: Download,
    /// The history of its object and part as it was at the arrival of the download, this request included.
    pub(crate) history: HistoryEntry,
    pub(crate) attempts: Vec<Attempt>,
    /// Nodes that have declined the pull that is now being placed, or its fill.
    pub(crate) declined: Vec<NodeIndex>,
    /// Nodes that have failed this download; they are not tried again for it.
    pub(crate) failed: Vec<NodeIndex>,
    /// The source that has accepted the fill.
    pub(crate) source: Option<NodeIndex>,
    pub(crate) fill_failures: u32,
    /// Only a copy that a cache or a parent holds may serve it, since the limit of the link or the origin is
    /// reached.
    pub(crate) only_held: bool,
    /// Expected fills that it counts for in the link's limiter.
    pub(crate) link_load: f64,
    /// The same in the origin's limiter.
    pub(crate) origin_load: f64,
    pub(crate) answered: bool,
}

impl PendingDownload {
    /// A download that has just arrived.
    pub(crate) fn new(request: Download, history: HistoryEntry) -> PendingDownload {
        let (attempts, declined, failed) = (Vec::new(), Vec::new(), Vec::new());
        let source = None;
        PendingDownload {
            request,
            history,
            attempts,
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
    pub(crate) fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.proven_unrun)
    }
    /// Whether a pull is still under way.
    pub(crate) fn has_open_attempts(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.ended)
    }
}

/// Recent purges that this router was told of, with the latest moment of each.
#[derive(Default)]
pub struct PurgeMemory {
    pub(crate) objects: HashMap<ObjectKey, Moment>,
    pub(crate) groups: HashMap<u32, Moment>,
}

impl PurgeMemory {
    /// Records a purge of an object, or with none of a group.
    pub(crate) fn record(&mut self, object: Option<ObjectKey>, group: u32, at: Moment) {
        let known = match object {
            Some(object) => self.objects.entry(object).or_insert(at),
            None => self.groups.entry(group).or_insert(at),
        };
        *known = at.max(*known);
    }

    /// Forgets purges from before `settled`, by which time all caches have carried them out.
    pub(crate) fn expire(&mut self, settled: Moment) {
        self.objects.retain(|_, at| *at >= settled);
        self.groups.retain(|_, at| *at >= settled);
    }

    /// The latest purge that covers the object of a request.
    pub(crate) fn latest_for(&self, request: &Download) -> Option<Moment> {
        self.objects.get(&request.object).max(self.groups.get(&request.group)).copied()
    }
}

/// Takes downloads in, finds cache and source of each, and gives up those that can't be served.
pub struct Dispatcher {
    pub(crate) profile: ServiceProfile,
    /// By `ContentIndex`.
    pub(crate) content_types: Vec<ContentState>,
    /// The records of reachable nodes, by `NodeIndex`.
    pub(crate) members: Vec<Option<NodeRecord>>,
    /// The nodes that this router may name in a pull: caches of its own zone, parents, the origin.
    pub(crate) reachable: Vec<NodeIndex>,
    /// Highest number of reachable caches so far that were members at the same time.
    pub(crate) max_caches: usize,
    /// Number of pulls under way, by `NodeIndex`.
    pub(crate) pulls_in_flight: Vec<usize>,
    /// By `DownloadIndex`.
    pub(crate) downloads: Vec<Option<PendingDownload>>,
    pub(crate) history: RequestHistory,
    pub(crate) purge_memory: PurgeMemory,
    /// Shares of pulls that needed a fill, first of those without and then of those with an expected copy,
    /// and the share of fills that went on to the origin.
    pub(crate) fill_rates: [SlidingWindow; 3],
    /// Limits the fills over the zone's link in.
    pub(crate) link_limiter: ConcurrencyLimiter,
    /// Limits the fills that reach the origin.
    pub(crate) origin_limiter: ConcurrencyLimiter,
}

/// All decisions of one router. Events and actions are those of `interface`.
pub struct Policy {
    pub(crate) context: Context,
    pub(crate) dispatcher: Dispatcher,
    /// By `NodeIndex`.
    pub(crate) nodes: Vec<NodeState>,
}

impl Dispatcher {
    /// Takes in a download.
    pub(crate) fn add_download(&mut self, dl: DownloadIndex, download: PendingDownload) {
        let index = dl.0 as usize;
        if self.downloads.len() <= index {
            self.downloads.resize_with(index + 1, || None);
        }
        self.downloads[index] = Some(download);
    }

    /// Records that a pull was sent.
    pub(crate) fn record_attempt(&mut self, dl: DownloadIndex, node: NodeIndex, sent_at: Moment) {
        let Some(Some(download)) = self.downloads.get_mut(dl.0 as usize) else { return };
        let source = download.source;
        download.declined.clear();
        download.attempts.push(Attempt {
            node,
            source,
            sent_at,
            ended: false,
            proven_unrun: false,
            cancelled: false,
        });
        self.pulls_in_flight[node.0 as usize] += 1;
    }

    /// Whether a node is a parent.
    pub(crate) fn is_parent(&self, node: NodeIndex) -> bool {
        self.members[node.0 as usize].is_some_and(|record| record.role == Role::Parent)
    }

    /// The records of all nodes that a pull may name once they are ready.
    pub(crate) fn reachable_records(&self) -> impl Iterator<Item = &NodeRecord> {
        self.reachable.iter().filter_map(|node| self.members[node.0 as usize].as_ref())
    }

    /// Relative size of a node; the same for all where the scales can't be compared.
    pub(crate) fn scale(&self, record: &NodeRecord) -> f64 {
        if self.profile.scales_comparable { f64::from(record.scale.max(0.01)) } else { 1.0 }
    }

    /// Takes a download's load off the limiters of the link and the origin.
    pub(crate) fn release_limiters(&mut self, dl: DownloadIndex) {
        let Some(Some(download)) = self.downloads.get_mut(dl.0 as usize) else { return };
        self.link_limiter.in_flight -= std::mem::take(&mut download.link_load);
        self.origin_limiter.in_flight -= std::mem::take(&mut download.origin_load);
    }

    /// Adds a node or replaces its record.
    pub(crate) fn add_member(&mut self, record: NodeRecord) {
        let index = record.node.0 as usize;
        if self.members.len() <= index {
            self.members.resize(index + 1, None);
            self.pulls_in_flight.resize(index + 1, 0);
        }
        if self.members[index].replace(record).is_none() {
            self.reachable.push(record.node);
        }
        let caches = self
            .reachable_records()
            .filter(|record| record.role == Role::Cache && record.phase != Phase::Removed)
            .count();
        self.max_caches = self.max_caches.max(caches);
    }
}

/// The state of a node, created with the first message for it.
pub(crate) fn node_at(nodes: &mut Vec<NodeState>, node: NodeIndex) -> &mut NodeState {
    let index = node.0 as usize;
    if nodes.len() <= index {
        nodes.resize_with(index + 1, NodeState::default);
    }
    &mut nodes[index]
}
