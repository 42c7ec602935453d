//! What a desk is told and what it orders, and what bounds it.
use crate::store::{Copy, Named};
use bytes::Bytes;
use harestage::time::{Moment, Span};
use harestage_audit::process::KeeperRequest;
use harestage_copies::index::CopyMetadata;
use harestage_copies::record::Checkpoint;
use harestage_purge::scope::CompiledScope;
use harestage_restart::stage;
use harestage_shape::archive_share::RateShare;
use harestage_shape::config::ShapeConfig;
use harestage_shape::wait_cycles::{Key, WaitCycle};
use harestage_sites::fallback::{FallbackChange, FallbackPlan};
use harestage_wire::fields::HexId;
use harestage_wire::node::{Answer, CopyTag, IncomingRequest, OutgoingAnswer};
use harestage_wire::peer::{AuditMark, CycleProbe, HubRoute};
use std::collections::BTreeSet;

pub type ConnNo = u64;
pub type PullNo = u64;

/// What bounds a desk.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub store_bytes: usize,
    /// Fills under way, and pulls that wait for them.
    pub fills: usize,
    pub waiters: usize,
}

/// How long copies of a content type are fresh, and how long past that they may do. None: until they are purged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Keeping {
    pub fresh: Option<Span>,
    pub grace: Span,
    /// What a download of it is worth.
    pub benefit: f64,
}

/// A place that is asked: its name in the shape, and its address.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    pub name: String,
    pub address: String,
}

/// How a read from the disk has ended.
#[derive(Clone, Debug)]
pub enum ReadResult {
    Copy(Copy),
    /// The disk has no such copy, or its bytes are not what they were.
    Missing,
    /// Too much waits for the disk. It may have the copy all the same.
    Busy,
}

#[derive(Clone, Debug)]
pub enum News {
    Asked {
        conn: ConnNo,
        asked: Box<IncomingRequest>,
    },
    Cancelled {
        conn: ConnNo,
        id: HexId,
    },
    Gone {
        conn: ConnNo,
    },
    Answered {
        pull: PullNo,
        answer: Answer,
        copy: Option<CopyTag>,
    },
    /// No answer will come: the connection never came up, or broke.
    Lost {
        pull: PullNo,
    },
    Chased(CycleProbe),
    Told(Box<ShapeConfig>),
    Part {
        part: RateShare,
        asked: Moment,
    },
    Purged {
        named: Named,
        at: Moment,
    },
    /// A purge of the service of purges.
    Covered {
        scope: Box<CompiledScope>,
        at: Moment,
    },
    /// Nothing is to be taken from these, and from nobody else is it forbidden.
    Fenced(BTreeSet<String>),
    /// All purges that live are known.
    KnowsPurges,
    /// A hub of another site has answered, and named the sites from which it hears nothing itself.
    Seen {
        ask: PullNo,
        leaving: bool,
        unseen: Vec<String>,
    },
    /// What this hub is to do where a site is lost and no service speaks.
    Plans {
        version: u64,
        term: u64,
        plans: Vec<FallbackPlan>,
    },
    /// All purges up to that number are applied.
    HasPurges(u64),
    /// The keeper of the audit wants something of it.
    Wanted(Box<KeeperRequest>),
    /// A read from its disk has ended.
    Read {
        key: Key,
        result: ReadResult,
    },
    /// The control service speaks, whatever it has said.
    ServiceSpoke,
    /// Whoever refuses a pull says when to come again; its answer follows.
    ComeAgain {
        pull: PullNo,
        after: Span,
    },
    /// What a hub calls itself.
    Named {
        addressed: String,
        own: String,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Answer {
        conn: ConnNo,
        given: OutgoingAnswer,
    },
    Pull {
        pull: PullNo,
        to: Peer,
        ask: Ask,
    },
    Cancel {
        pull: PullNo,
    },
    Chase {
        to: Peer,
        chase: CycleProbe,
    },
    /// Asks a hub of another site whether it is there.
    Look {
        ask: PullNo,
        to: Peer,
    },
    /// A circle of waits was found here, and broken.
    Broke(WaitCycle),
    /// It goes by another plan from now on, for the log.
    Turned(FallbackChange),
    /// The keeper of the audit wants it to start anew.
    StartAnew(String),
    /// Its start has come to another stage.
    Started(stage::StageChange),
    /// A copy is wanted from its disk, is to be kept there, and some are to go from there.
    Read {
        key: Key,
    },
    Keep {
        meta: CopyMetadata,
        body: Bytes,
    },
    Unkeep {
        keys: Vec<Key>,
    },
    /// What is to be remembered beside the copies.
    Mark(Checkpoint),
}

/// A pull as the wire's request needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    pub content: Bytes,
    pub object: u64,
    pub part: u32,
    pub waits: Span,
    pub oldest_ms: Option<u64>,
    pub only_held: bool,
    pub no_copy: bool,
    /// None: it goes to the archive, which is not ours.
    pub way: Option<HubRoute>,
    pub mark: Option<AuditMark>,
}
