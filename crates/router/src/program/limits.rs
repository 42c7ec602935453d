//! All sizes, counts and times that bound the router, computed once from the configuration.
use harestage::time::Span;
use harestage_profile::RouterSettings;
use std::time::Duration;

/// Sizes in bytes and counts that the protocol defines.
const MAX_BODY_BYTES: usize = 240_000;
const MAX_REQUEST_BODY_BYTES: usize = 48_000;
const MAX_OPEN_PER_CONNECTION: usize = 32;
const MAX_READ_BUFFER_BYTES: usize = 16 << 10;
/// An id in the list by age and in the set of one connection.
const SPENT_ID_BYTES: usize = 56;
/// File descriptors other than connections of clients and nodes.
const OWN_FILE_DESCRIPTORS: usize = 16;
/// A remembered object and part: its entry, its place in the order by age, and the object's load.
const HISTORY_ENTRY_BYTES: usize = 400;
/// A longer deadline does not delay a shutdown further.
const MAX_DEADLINE: Duration = Duration::from_secs(3);

/// The limits of a router. The log line of the start prints them by these names.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Connections from clients. At the limit the one that is needed least is closed; while all are busy,
    /// none is accepted.
    pub clients: usize,
    /// Connections to nodes. At the limit an idle one is closed; if there is none, a pull that needs a new
    /// connection is not sent.
    pub node_connections: usize,
    /// Unanswered downloads, and the bytes that they hold. Over the byte limit only clients that hold no more
    /// than an equal share are admitted.
    pub downloads: usize,
    pub held_bytes: usize,
    /// Memory of all requests, half-read ones included. At the limit half-read requests are discarded, and
    /// further downloads are throttled.
    pub input_bytes: usize,
    /// Bytes that one client's downloads may hold; its further downloads are throttled.
    pub client_held_bytes: usize,
    /// Bytes that a download holds beside its body.
    pub download_bytes: usize,
    /// Open downloads on one connection.
    pub client_open: usize,
    pub client_items: usize,
    pub client_item_bytes: usize,
    /// Memory for an item from a client, or from a node, before any of its bytes have arrived.
    pub client_item_room: usize,
    pub node_item_room: usize,
    /// Unsent answer bytes on one connection, over which the client's downloads are throttled, and unsent
    /// answers, over which the client is cut off.
    pub client_unsent_bytes: usize,
    pub client_unsent_answers: usize,
    /// Retry delay for clients that are throttled because of these limits.
    pub full_retry_after: Duration,
    /// Answers written per system call.
    pub packets_at_once: usize,
    /// Unsent answer bytes on all connections; over it the client with the most is cut off.
    pub unsent_bytes: usize,
    /// A client that reads nothing for this long is cut off.
    pub client_stall: Duration,
    /// A client whose first message, or a further one, is not complete within this time is disconnected.
    pub client_first: Duration,
    pub client_message: Duration,
    /// A client that has been idle for this long is disconnected; well-behaved clients close earlier.
    pub client_idle: Duration,
    /// Minimum time before an idle client may lose its slot to another.
    pub client_grace: Duration,
    /// Connections closed at once to free slots for others.
    pub client_closings: usize,
    /// After a half-close, time for the client to close its own side, and bytes from it that are discarded in
    /// that time.
    pub client_linger: Duration,
    pub client_discarded_bytes: usize,
    /// Invalid messages before a client is disconnected.
    pub client_unusable: usize,
    /// Log lines about clients between two sweeps.
    pub complaints: u64,
    pub sweep_every: Duration,
    /// Interval of the log line on usage.
    pub report_every: Duration,
    pub node_items: usize,
    /// Bytes of the answers that are being read from nodes; further ones wait.
    pub answer_bytes: usize,
    pub body_bytes: usize,
    /// Pulls on one connection at once.
    pub node_pulls: usize,
    pub connect_within: Duration,
    /// Pulls on each of a node's connections before another one is opened, and connections per node.
    pub node_few: usize,
    pub node_own_connections: usize,
    /// A connection on which a pull has waited this long without any complete answer gets no further pulls
    /// while there is another one. Once such a pull is given up, it is not used again.
    pub node_silence: Duration,
    /// A connection on which a partial answer gets no further bytes for this long is closed.
    pub node_halt: Duration,
    /// Ids given up on a connection that are still recognized.
    pub node_spent_ids: usize,
    /// Idle time after which a connection is closed, before the node closes it.
    pub node_idle: Duration,
    /// Objects and parts whose requests the core remembers. At the limit the one that was requested longest ago
    /// is forgotten.
    pub history_entries: usize,
    /// How long after its deadline a download waits for the core's answer before the router abandons it.
    pub answer_grace: Span,
    /// How long after a cancel was queued the next pull of the same download may follow.
    pub call_back_settles: Span,
    /// How long a removed node is remembered: longer than any download lasts, and longer than the core relies
    /// on what a cache held.
    pub gone_kept: Span,
    pub feed_silence: Duration,
    pub feed_pause: Duration,
    pub feed_line_bytes: usize,
    /// Inputs waiting for the routing task; at the limit their senders wait.
    pub inbox: usize,
    /// Log lines waiting to be written; further lines are dropped and counted.
    pub log_lines: usize,
    pub read_buffer: usize,
    /// Bytes of short items and lengths that are read from a client in one turn; others come between.
    pub client_read_buffer: usize,
    /// Bytes that are read ahead of an answer's memory on each node connection.
    pub node_read_buffer: usize,
    pub accept_pause: Duration,
    pub watch_every: Duration,
    /// Times after SIGTERM: when idle connections begin to be closed, when open downloads are abandoned, and
    /// when the program ends in any case.
    pub drain_serve: Duration,
    pub drain_abandon: Duration,
    pub drain_end: Duration,
}

impl Limits {
    /// Divides the configured memory and file descriptors among the limits; `outside` is what the settings allow.
    pub fn new(memory_mb: usize, sockets: usize, outside: &RouterSettings) -> Limits {
        let memory = memory_mb << 20;
        // The program's own files are logs, signals, timers, the listener and the feed; most of them are
        // needed at any size.
        let connections = sockets - (sockets / 8).max(OWN_FILE_DESCRIPTORS.min(sockets / 2));
        // The process is killed at the longest deadline plus 0.7 s after the signal: a shorter deadline leaves
        // less time.
        let drain_abandon = Duration::from(outside.max_wait).min(MAX_DEADLINE) + Duration::from_millis(350);
        let node_connections = (connections / 7 * 2).max(1);
        Limits {
            clients: (connections / 7 * 5).max(1),
            node_connections,
            downloads: outside.max_held_downloads.max(1),
            held_bytes: memory / 8,
            input_bytes: memory / 32 * 5,
            client_held_bytes: memory / 64,
            download_bytes: 2_500,
            client_open: MAX_OPEN_PER_CONNECTION,
            client_items: 8,
            client_item_bytes: MAX_REQUEST_BODY_BYTES,
            client_item_room: 2 << 10,
            node_item_room: 1 << 10,
            client_unsent_bytes: 4 * MAX_BODY_BYTES,
            client_unsent_answers: 8 * MAX_OPEN_PER_CONNECTION,
            full_retry_after: outside.max_retry_after.into(),
            packets_at_once: 32,
            unsent_bytes: (memory / 32 * 5).max(2 * MAX_BODY_BYTES),
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
            report_every: Duration::from_secs(5),
            node_items: 8,
            answer_bytes: memory / 32 * 3,
            body_bytes: MAX_BODY_BYTES,
            node_pulls: outside.pulls_per_connection,
            connect_within: outside.connect_timeout.into(),
            node_few: 3,
            node_own_connections: (sockets / 32).max(1),
            node_silence: Duration::from_millis(250),
            node_halt: Duration::from_millis(700),
            node_spent_ids: (memory / 32 / node_connections / SPENT_ID_BYTES).clamp(32, 256),
            node_idle: Duration::from(outside.idle_timeout).mul_f64(0.8),
            history_entries: memory / 32 * 3 / HISTORY_ENTRY_BYTES,
            answer_grace: Span::millis(20),
            call_back_settles: Span::millis(10),
            gone_kept: Span::millis(90_000),
            feed_silence: Duration::from_millis(1_800),
            feed_pause: Duration::from_millis(200),
            feed_line_bytes: 1 << 20,
            inbox: (memory / 16 / MAX_BODY_BYTES).clamp(4, 64),
            log_lines: 1_024,
            read_buffer: MAX_READ_BUFFER_BYTES,
            client_read_buffer: 4 << 10,
            node_read_buffer: (memory / 64 / node_connections).clamp(1 << 10, MAX_READ_BUFFER_BYTES),
            accept_pause: Duration::from_millis(20),
            watch_every: Duration::from_millis(500),
            drain_serve: Duration::from_millis(900).min(drain_abandon),
            drain_abandon,
            drain_end: drain_abandon + Duration::from_millis(250),
        }
    }
}
