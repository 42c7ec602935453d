//! All sizes, counts and times that bound the router, in one type: filled at start from the configuration and
//! handed down.
use harestage::time::Span;
use harestage_profile::RouterSettings;
use std::time::Duration;

/// The protocol's own bounds.
const BODY: usize = 240_000;
const WRITE_BODY: usize = 48_000;
const OPEN_ON_A_CONNECTION: usize = 32;
/// Files that are no connections of clients or nodes.
const OWN_FILES: usize = 16;
/// No longer deadline holds up a kill.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Connections from clients; past it the one needed least goes, and none is accepted while all are at work.
    pub clients: usize,
    /// Connections to nodes; past it one that is idle goes, and without one a pull that needs a new one is not
    /// sent.
    pub node_connections: usize,
    /// Downloads that are not answered yet, and the bytes that they hold; past the bytes only clients are taken on
    /// that hold no more than an equal part.
    pub downloads: usize,
    pub held_bytes: usize,
    /// What one client's downloads may hold; past it what it asks for is throttled.
    pub client_held_bytes: usize,
    /// What a download holds beside its body.
    pub download_bytes: usize,
    /// Open downloads on one connection.
    pub client_open: usize,
    pub client_items: usize,
    pub client_item_bytes: usize,
    /// Room that an item from a client, or from a node, gets before any of it has come.
    pub client_item_room: usize,
    pub node_item_room: usize,
    /// Bytes of answers waiting on one connection; past it what its client asks for is throttled, and past so many
    /// answers the client is cut off.
    pub client_unsent_bytes: usize,
    pub client_unsent_answers: usize,
    /// When whoever is throttled because of these bounds may come again.
    pub full_retry_after: Duration,
    /// Answers that are written with one call to the system.
    pub packets_at_once: usize,
    /// Answers waiting on all connections; past it the client with the most is ended.
    pub unsent_bytes: usize,
    /// A client that takes nothing for as long is ended.
    pub client_stall: Duration,
    /// A client whose first message, or a further one, has not come whole in as long is ended.
    pub client_first: Duration,
    pub client_message: Duration,
    /// So is one that has nothing open and has been at rest for as long: usual ones close before.
    pub client_idle: Duration,
    /// Has to pass before a client that does nothing may lose its place to another.
    pub client_grace: Duration,
    /// Connections that are closed at once to make room for others.
    pub client_closings: usize,
    /// After a half-close the client has so long to close its own side; what it writes in that time is thrown away,
    /// as much of it as the bytes say.
    pub client_linger: Duration,
    pub client_discarded_bytes: usize,
    /// Messages without use before their client is ended.
    pub client_unusable: usize,
    /// Lines about clients in the log between two sweeps.
    pub complaints: u64,
    pub sweep_every: Duration,
    pub node_items: usize,
    pub body_bytes: usize,
    /// Pulls that one connection carries at once.
    pub node_pulls: usize,
    pub connect_within: Duration,
    /// Pulls on each of a node's connections before a further one is opened, and such connections at most.
    pub node_few: usize,
    pub node_own_connections: usize,
    /// A connection on which a pull has waited as long, and no whole answer came, gets no further ones while
    /// there is another; it is not used again once such a pull was given up.
    pub node_silence: Duration,
    /// A connection on which an answer stands half read for as long without another byte is ended.
    pub node_halt: Duration,
    /// Ids given up on a connection that are still told from new ones.
    pub node_spent_ids: usize,
    /// An idle connection is closed after it, before the node does so.
    pub node_idle: Duration,
    /// How long after its deadline a download waits for the core's answer before it is abandoned all the
    /// same.
    pub answer_grace: Span,
    /// How long after a cancel was queued for a pull the next pull of its download may follow.
    pub call_back_settles: Span,
    /// How long a node that is gone is remembered: longer than any download lasts, and than the core believes
    /// in what a cache held.
    pub gone_kept: Span,
    pub feed_silence: Duration,
    pub feed_pause: Duration,
    pub feed_line_bytes: usize,
    /// News waiting for the routing task; past it those who bring them wait.
    pub inbox: usize,
    /// Log lines waiting to be written; past it lines are dropped and counted.
    pub log_lines: usize,
    pub read_buffer: usize,
    pub accept_pause: Duration,
    pub watch_every: Duration,
    /// After a SIGTERM: when connections are closed as they come to rest, when what is still open is abandoned, and
    /// when the program ends whatever is left.
    pub drain_serve: Duration,
    pub drain_abandon: Duration,
    pub drain_end: Duration,
}

impl Limits {
    pub fn new(memory_mb: usize, sockets: usize, outside: &RouterSettings) -> Limits {
        let memory = memory_mb << 20;
        // The program's own are logs, signals, timers, the listener and the feed; most of them are there at any size.
        let connections = sockets - (sockets / 8).max(OWN_FILES.min(sockets / 2));
        // A kill comes that long after the signal and 0.7 s more, so that a deadline shorter than usual brings it sooner.
        let drain_abandon = Duration::from(outside.max_wait).min(LONGEST_WAIT) + Duration::from_millis(350);
        Limits {
            clients: (connections / 7 * 5).max(1),
            node_connections: (connections / 7 * 2).max(1),
            downloads: outside.max_held_downloads.max(1),
            held_bytes: memory / 8,
            client_held_bytes: memory / 64,
            download_bytes: 1_500,
            client_open: OPEN_ON_A_CONNECTION,
            client_items: 8,
            client_item_bytes: WRITE_BODY,
            client_item_room: 2 << 10,
            node_item_room: 64 << 10,
            client_unsent_bytes: 4 * BODY,
            client_unsent_answers: 8 * OPEN_ON_A_CONNECTION,
            full_retry_after: outside.max_retry_after.into(),
            packets_at_once: 32,
            unsent_bytes: (memory / 4).max(2 * BODY),
            client_stall: Duration::from_secs(6),
            client_first: Duration::from_secs(2),
            client_message: Duration::from_secs(2),
            client_idle: Duration::from_secs(5),
            client_grace: Duration::from_millis(100),
            client_closings: 8,
            client_linger: Duration::from_millis(60),
            client_discarded_bytes: 1 << 20,
            client_unusable: 8,
            complaints: 5,
            sweep_every: Duration::from_millis(250),
            node_items: 8,
            body_bytes: BODY,
            node_pulls: outside.pulls_per_connection,
            connect_within: outside.connect_timeout.into(),
            node_few: 3,
            node_own_connections: (sockets / 32).max(1),
            node_silence: Duration::from_millis(250),
            node_halt: Duration::from_millis(700),
            node_spent_ids: 256,
            node_idle: Duration::from(outside.idle_timeout).mul_f64(0.8),
            answer_grace: Span::millis(20),
            call_back_settles: Span::millis(10),
            gone_kept: Span::millis(90_000),
            feed_silence: Duration::from_millis(1_800),
            feed_pause: Duration::from_millis(200),
            feed_line_bytes: 1 << 20,
            inbox: (memory / 8 / BODY).clamp(4, 64),
            log_lines: 1_024,
            read_buffer: 16 << 10,
            accept_pause: Duration::from_millis(20),
            watch_every: Duration::from_millis(500),
            drain_serve: Duration::from_millis(900).min(drain_abandon),
            drain_abandon,
            drain_end: drain_abandon + Duration::from_millis(250),
        }
    }
}
