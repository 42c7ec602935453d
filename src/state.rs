//! The data that events, orders and the decisions share. Nothing here decides anything.
use crate::door::{Content, Order, Pull, ServiceProfile};
use crate::ring::Ring;
use crate::time::{Moment, Span};
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Index of a cache, parent or origin, given out at the door.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub struct NodeIx(pub u32);

/// Index of a download that this router holds, given out at the door and used again later.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub struct DlIx(pub u32);

/// Index of a content type in the service profile.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ContentIx(pub u16);

#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub struct ObjectKey(pub u64);

#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Download {
    pub content: ContentIx,
    pub object: ObjectKey,
    pub part: u32,
    pub group: u32,
    /// Size of this part; zero where it is not told.
    pub kilobytes: f32,
    pub leaves_at: Moment,
    pub repeat: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    Ready,
    Draining,
    Gone,
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
pub struct Listing {
    pub node: NodeIx,
    /// The same number for the node at every router: what hashes are taken over.
    pub stamp: u64,
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
pub enum RosterNews {
    Changes,
    Whole,
    /// No entries; what was known before still holds.
    Failed,
}

/// How a pull ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Ending {
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

impl Ending {
    /// The protocol's own promise that nothing ran.
    pub fn proves_unrun(self) -> bool {
        matches!(self, Ending::Full | Ending::NoConnection | Ending::NotSent | Ending::Missed)
    }
}

/// What a node tells of how it came by the object, or why it did not.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Remark {
    Nothing,
    Hit,
    Filled,
    FromOrigin,
    Joined,
    Aged,
    SourceRefused,
    SourceLost,
    SourceLacks,
    NoPlace,
    OriginFailed,
}

impl Remark {
    /// It tells of a failure of the source or the origin, not of the node that was asked.
    pub(crate) fn is_behind(self) -> bool {
        matches!(self, Self::SourceRefused | Self::SourceLost | Self::SourceLacks | Self::OriginFailed)
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PullEnd {
    pub dl: DlIx,
    pub pull: u8,
    pub node: NodeIx,
    pub ending: Ending,
    pub remark: Remark,
    /// The download has its final answer, by this end or earlier.
    pub closed: bool,
    pub took: Span,
    pub first_byte: Span,
}

/// What a running of the same download again may do.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Repeat {
    Retriable,
    Deduped { within: Circle, memory: Span },
    NonRetriable,
}

/// The caches that know each other's deduped downloads.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Circle {
    All,
    Zone,
    Cell,
}

/// What differs by content type, and what is learnt of it.
pub struct Trade {
    pub(crate) content: Content,
    /// Mean seconds that a warm, idle cache takes to send one.
    pub(crate) sending: f64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum To {
    Desk,
    Node(NodeIx),
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Good,
    Bad,
    Full,
    Unclear,
}

/// A pull that the desk would like a node to take.
#[derive(Clone, Copy)]
pub struct Ask {
    pub(crate) pull: Pull,
    pub(crate) out: Out,
    pub(crate) cheap: f64,
    pub(crate) bound: f64,
    pub(crate) carries: f64,
    pub(crate) trial: bool,
}

#[derive(Clone, Copy)]
pub enum Note {
    Beat,
    RosterLost,
    /// To the desk from the door, and on to the node with the rules for its cold start.
    Listed(Listing, Cold),
    Arrived(DlIx, Download),
    Left(DlIx),
    Ended(PullEnd),
    Purged {
        object: Option<ObjectKey>,
        group: u32,
        at: Moment,
    },
    Ask(Ask),
    Answer {
        dl: DlIx,
        node: NodeIx,
        taken: bool,
        aside: bool,
    },
    AskFill {
        node: NodeIx,
        fill: Out,
        carries: f64,
        /// No other source has declined it.
        first: bool,
    },
    FillAnswer {
        dl: DlIx,
        node: NodeIx,
        granted: bool,
    },
    /// A pull or a fill is over; `charge` is what a fill turned out to weigh.
    Over {
        dl: DlIx,
        verdict: Verdict,
        ratio: Option<f64>,
        charge: Option<f64>,
    },
    Overdue {
        dl: DlIx,
        /// The node is set aside or gone.
        aside: bool,
    },
}

impl Note {
    /// Takes back a fill that no pull was sent for.
    pub(crate) fn never_sent(dl: DlIx) -> Note {
        Note::Over { dl, verdict: Verdict::Unclear, ratio: None, charge: Some(0.0) }
    }
}

/// The inboxes, and what leaves the router.
#[derive(Default)]
pub struct Post {
    pub(crate) now: Moment,
    pub(crate) inboxes: Vec<VecDeque<Note>>,
    pub(crate) due: VecDeque<To>,
    pub(crate) orders: Vec<Order>,
    pub(crate) seed: u64,
    pub(crate) drawn: u64,
    /// The last that was said of each node, to tell who is missing from a whole list.
    pub(crate) named: Vec<Option<Listing>>,
}

impl Post {
    pub(crate) fn slot(to: To) -> usize {
        match to {
            To::Desk => 0,
            To::Node(node) => node.0 as usize + 1,
        }
    }
    pub(crate) fn send(&mut self, to: To, note: Note) {
        let slot = Self::slot(to);
        if self.inboxes.len() <= slot {
            self.inboxes.resize_with(slot + 1, VecDeque::new);
        }
        self.inboxes[slot].push_back(note);
        self.due.push_back(to);
    }
    pub(crate) fn next(&mut self) -> Option<(To, Note)> {
        let to = self.due.pop_front()?;
        self.inboxes[Self::slot(to)].pop_front().map(|note| (to, note))
    }
    pub(crate) fn order(&mut self, order: Order) {
        self.orders.push(order);
    }
    pub(crate) fn chance(&mut self) -> f64 {
        self.drawn += 1;
        unit(hash((self.seed, self.drawn)))
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
pub struct Cold {
    pub(crate) from: f64,
    pub(crate) lasts: Span,
    pub(crate) multiple: f64,
    pub(crate) window: Span,
    /// Routers that share it.
    pub(crate) sharers: f64,
}

/// A bound on what is under way, in pulls, and the slowness that was shown behind it.
#[derive(Default)]
pub struct Gate {
    pub(crate) room: f64,
    /// Part of the room by which it may widen.
    pub(crate) growth: f64,
    /// Of this router, now and over some time.
    pub(crate) used: f64,
    pub(crate) mean: f64,
    /// Since it was opened.
    pub(crate) beats: f64,
    /// Routers that stand before the same thing.
    pub(crate) sharers: f64,
    pub(crate) slow: f64,
    /// What this gate guards, as a part of the thing itself.
    pub(crate) part: f64,
    pub(crate) shown: Ring,
}

/// A pull under way at a cache, or a fill that may be at its source.
#[derive(Clone, Copy)]
pub struct Out {
    pub(crate) dl: DlIx,
    pub(crate) sent: Moment,
    pub(crate) overdue: Span,
    /// How surely silence is this node's own doing.
    pub(crate) odds: f64,
    pub(crate) charge: f64,
    pub(crate) told: bool,
}

/// A cache, a parent or the origin: an actor that takes pulls and fills, or declines them.
#[derive(Default)]
pub struct Node {
    pub(crate) listing: Option<Listing>,
    pub(crate) cold: Cold,
    pub(crate) out: Vec<Out>,
    pub(crate) streak: f64,
    pub(crate) aside: Option<Moment>,
    pub(crate) holds: i32,
    pub(crate) last_good: Moment,
    pub(crate) last_bad: Moment,
    pub(crate) sent: Ring,
    pub(crate) gate: Gate,
}

/// The design's last-request table and its two characteristic times.
#[derive(Default)]
pub struct Ledger {
    pub(crate) lines: HashMap<(ObjectKey, u32), Line>,
    /// Sending done lately, of each object and of all.
    pub(crate) heat: HashMap<ObjectKey, Ring>,
    pub(crate) traffic: Ring,
    pub(crate) by_age: VecDeque<(Moment, (ObjectKey, u32))>,
    pub(crate) edge_tau: Span,
    pub(crate) parent_tau: Span,
}

impl Ledger {
    /// Keeps the shortest sending seen of an object and part.
    pub(crate) fn saw(&mut self, what: &Download, sending: f64) {
        if let Some(line) = self.lines.get_mut(&(what.object, what.part)) {
            line.sending = Some(line.sending.map_or(sending, |s| s.min(sending)));
        }
    }

    /// Enters seconds of sending; `fresh` is the ring of an object not heard of lately.
    pub(crate) fn warm(&mut self, object: ObjectKey, sending: f64, fresh: Ring, now: Moment) {
        self.traffic.add(now, sending);
        self.heat.entry(object).or_insert(fresh).add(now, sending);
    }

    /// Drops what was last asked for longer ago than `expiry`.
    pub(crate) fn tidy(&mut self, now: Moment, expiry: Span) {
        self.heat.retain(|_, ring| ring.count(now) > 0.0);
        while let Some((at, key)) = self.by_age.front().copied().filter(|(at, _)| now.since(*at) > expiry) {
            self.by_age.pop_front();
            if self.lines.get(&key).is_some_and(|l| l.last <= at) {
                self.lines.remove(&key);
            }
        }
    }
}

/// A node and since when it has had the copy.
pub type Copied = Option<(NodeIx, Moment)>;

#[derive(Clone, Copy, Default)]
pub struct Line {
    pub(crate) last: Moment,
    pub(crate) gap: Option<Span>,
    /// Seconds in which it was sent at best.
    pub(crate) sending: Option<f64>,
    pub(crate) edge: Copied,
    pub(crate) parent: Copied,
}

#[derive(Clone, Copy)]
pub struct Sent {
    pub(crate) node: NodeIx,
    pub(crate) source: Option<NodeIx>,
    pub(crate) at: Moment,
    pub(crate) over: bool,
    /// It has ended with a proof that it never ran.
    pub(crate) unrun: bool,
    pub(crate) called_back: bool,
}

/// A download that the router holds.
pub struct Dl {
    pub(crate) what: Download,
    pub(crate) line: Line,
    pub(crate) sent: Vec<Sent>,
    /// Who said no to the pull now being placed.
    pub(crate) declined: Vec<NodeIx>,
    /// Which nodes failed it, for good.
    pub(crate) failed: Vec<NodeIx>,
    pub(crate) source: Option<NodeIx>,
    pub(crate) fill_failures: u32,
    pub(crate) only_held: bool,
    pub(crate) on_link: f64,
    pub(crate) at_origin: f64,
    pub(crate) answered: bool,
}

impl Dl {
    pub(crate) fn new(what: Download, line: Line) -> Dl {
        let (sent, declined, failed) = (Vec::new(), Vec::new(), Vec::new());
        let source = None;
        Dl {
            what,
            line,
            sent,
            declined,
            failed,
            source,
            fill_failures: 0,
            only_held: false,
            on_link: 0.0,
            at_origin: 0.0,
            answered: false,
        }
    }
    /// The first pull that may have run.
    pub(crate) fn may_have_run(&self) -> Option<&Sent> {
        self.sent.iter().find(|s| !s.unrun)
    }
    pub(crate) fn pulls_out(&self) -> bool {
        self.sent.iter().any(|s| !s.over)
    }
}

/// What a router was told lately of purges.
#[derive(Default)]
pub struct Purges {
    pub(crate) objects: HashMap<ObjectKey, Moment>,
    pub(crate) groups: HashMap<u32, Moment>,
}

impl Purges {
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
pub struct Desk {
    pub(crate) profile: ServiceProfile,
    pub(crate) trades: Vec<Trade>,
    pub(crate) roster: Vec<Option<Listing>>,
    /// The only nodes that this router can name: caches of its own zone, parents, the origin.
    pub(crate) near: Vec<NodeIx>,
    /// The most caches in reach that were listed at once.
    pub(crate) most: usize,
    pub(crate) out: Vec<usize>,
    pub(crate) dls: Vec<Option<Dl>>,
    pub(crate) ledger: Ledger,
    pub(crate) purges: Purges,
    /// Whether pulls needed a fill, without and with a believed copy, and whether fills went to the origin.
    pub(crate) odds: [Ring; 3],
    pub(crate) link: Gate,
    pub(crate) origin: Gate,
}

/// One router's decisions; the way in is through `door`.
pub struct Brain {
    pub(crate) post: Post,
    pub(crate) desk: Desk,
    pub(crate) nodes: Vec<Node>,
}

impl Desk {
    pub(crate) fn hold(&mut self, dl: DlIx, held: Dl) {
        let at = dl.0 as usize;
        if self.dls.len() <= at {
            self.dls.resize_with(at + 1, || None);
        }
        self.dls[at] = Some(held);
    }

    /// Notes that a pull has gone out.
    pub(crate) fn place(&mut self, dl: DlIx, node: NodeIx, at: Moment) {
        let Some(Some(held)) = self.dls.get_mut(dl.0 as usize) else { return };
        let source = held.source;
        held.declined.clear();
        held.sent.push(Sent { node, source, at, over: false, unrun: false, called_back: false });
        self.out[node.0 as usize] += 1;
    }

    pub(crate) fn is_parent(&self, node: NodeIx) -> bool {
        self.roster[node.0 as usize].is_some_and(|l| l.role == Role::Parent)
    }

    pub(crate) fn known(&self) -> impl Iterator<Item = &Listing> {
        self.near.iter().filter_map(|node| self.roster[node.0 as usize].as_ref())
    }

    pub(crate) fn scale(&self, l: &Listing) -> f64 {
        if self.profile.scales_compare { f64::from(l.scale.max(0.01)) } else { 1.0 }
    }

    pub(crate) fn leave_gates(&mut self, dl: DlIx) {
        let Some(Some(held)) = self.dls.get_mut(dl.0 as usize) else { return };
        self.link.used -= std::mem::take(&mut held.on_link);
        self.origin.used -= std::mem::take(&mut held.at_origin);
    }

    pub(crate) fn enter(&mut self, listing: Listing) {
        let at = listing.node.0 as usize;
        if self.roster.len() <= at {
            self.roster.resize(at + 1, None);
            self.out.resize(at + 1, 0);
        }
        if self.roster[at].replace(listing).is_none() {
            self.near.push(listing.node);
        }
        let stand = self.known().filter(|l| l.role == Role::Cache && l.phase != Phase::Gone).count();
        self.most = self.most.max(stand);
    }
}

/// The actor of a node, which is made when the first note for it comes.
pub(crate) fn node_at(nodes: &mut Vec<Node>, node: NodeIx) -> &mut Node {
    let at = node.0 as usize;
    if nodes.len() <= at {
        nodes.resize_with(at + 1, Node::default);
    }
    &mut nodes[at]
}
