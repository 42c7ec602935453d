//! Connections from clients. Each has a reader, which never stops reading, so that a disconnect or a cancel
//! is noticed at once, and a writer with its own queue. Downloads over a limit are throttled at once. A sweep
//! over all connections ends the stalled ones and, at the connection limit, the one that is needed least.
//! Wherever its client may still be writing, a connection is ended by a half-close (docs/crossings.md).
mod connection;
mod counts;
mod held_back;
mod listener;
mod session;

pub use counts::ClientCounts;
pub use listener::{accept_pending, listen, sweep};

use crate::program::limits::Limits;
use crate::routing::{ClientId, Input};
use async_channel::Sender;
use connection::{Connection, Ending, InputState, SHUTDOWN};
use event_listener::Event;
use harestage_sockets::clock::Clock;
use harestage_sockets::send_queue::queued_bytes;
use harestage_wire::Packet;
use harestage_wire::client::{self, ToClient};
use harestage_wire::memory::MemoryCounter;
use harestage_wire::resp::{Bounds, Decoder};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Instant;

/// All client connections.
pub struct Clients {
    limits: Rc<Limits>,
    clock: Clock,
    inputs: Sender<Input>,
    log: Logger,
    connections: RefCell<HashMap<ClientId, Rc<Connection>>>,
    open: Cell<usize>,
    held: Cell<usize>,
    unsent: Cell<usize>,
    /// Memory of all requests, from their first byte until the routing task has dropped them.
    input_memory: MemoryCounter,
    /// Connections with a part of a message that is worth discarding, by their `partial_since`.
    partial: RefCell<BTreeMap<(Instant, ClientId), Rc<Connection>>>,
    counts: Cell<ClientCounts>,
    /// Log lines about clients since the last sweep, including suppressed ones.
    complaints: Cell<u64>,
    last_id: Cell<ClientId>,
    ready: Cell<bool>,
    /// All connections are to be closed as soon as nothing is open on them.
    is_shutting_down: Cell<bool>,
    /// Open downloads were abandoned at a shutdown, and further ones would not be answered before its end.
    is_abandoning: Cell<bool>,
    /// A connection was removed.
    removed: Event,
}

impl Clients {
    /// `inputs` has to be an unbounded queue. What one client adds between two steps of its reader is bounded,
    /// and a reader that waited for space would not notice that its client disconnects.
    pub fn new(limits: Rc<Limits>, clock: Clock, inputs: Sender<Input>, log: Logger) -> Rc<Clients> {
        Rc::new(Clients {
            limits,
            clock,
            inputs,
            log,
            connections: RefCell::default(),
            open: Cell::new(0),
            held: Cell::new(0),
            unsent: Cell::new(0),
            input_memory: MemoryCounter::default(),
            partial: RefCell::default(),
            counts: Cell::default(),
            complaints: Cell::new(0),
            last_id: Cell::new(0),
            ready: Cell::new(false),
            is_shutting_down: Cell::new(false),
            is_abandoning: Cell::new(false),
            removed: Event::new(),
        })
    }

    /// Sets the answer to a client's question whether the router is ready.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    /// Whether no download is open and all answers are written.
    pub fn is_idle(&self) -> bool {
        self.open.get() == 0 && self.unsent.get() == 0
    }

    /// Number of downloads without an answer, over all clients.
    pub fn open_downloads(&self) -> usize {
        self.open.get()
    }

    /// Number of connections.
    pub fn connection_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Memory of all requests that are held or arriving.
    pub fn input_bytes(&self) -> usize {
        self.input_memory.used()
    }

    /// Memory of all answers that are not written yet.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent.get()
    }

    /// What has happened since the last call.
    pub fn take_counts(&self) -> ClientCounts {
        self.counts.take()
    }

    fn count(&self, change: impl FnOnce(&mut ClientCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// From now on closes each connection as soon as nothing is open on it; a new one after a first read.
    pub fn close_all(&self) {
        self.is_shutting_down.set(true);
        for connection in self.connections.borrow().values() {
            connection.end(SHUTDOWN);
        }
    }

    /// Waits until no connection is left.
    pub async fn wait_all_closed(&self) {
        loop {
            let left = self.removed.listen();
            if self.connections.borrow().is_empty() {
                return;
            }
            left.await;
        }
    }

    /// Answers a download that is still open. A client that has disconnected or cancelled gets nothing.
    pub fn answer(&self, client: ClientId, tag: u64, answer: &ToClient) {
        let connection = self.connections.borrow().get(&client).cloned();
        let Some(connection) = connection.filter(|connection| self.remove_download(connection, tag)) else {
            return;
        };
        if !connection.is_cut() {
            self.queue(&connection, client::encode_answer(tag, answer));
        }
    }

    /// Abandons all open downloads, and refuses further ones.
    pub fn abandon_all(&self) {
        self.is_abandoning.set(true);
        let connections: Vec<_> =
            self.connections.borrow().iter().map(|(id, connection)| (*id, connection.clone())).collect();
        for (id, connection) in connections {
            let tags: Vec<u64> = connection.open.borrow().keys().copied().collect();
            tags.into_iter().for_each(|tag| self.answer(id, tag, &ToClient::Abandoned));
        }
    }

    fn add_download(&self, connection: &Connection, tag: u64, bytes: usize) {
        connection.open.borrow_mut().insert(tag, bytes);
        connection.held.set(connection.held.get() + bytes);
        self.held.set(self.held.get() + bytes);
        self.open.set(self.open.get() + 1);
    }

    /// Passes on what was held back and is still open.
    fn pass_on(&self, client: ClientId, connection: &Connection) {
        for held_back::Download { tag, request, at } in connection.held_back.take() {
            if connection.open.borrow().contains_key(&tag) {
                self.send_input(Input::Download { client, tag, request, at });
            }
        }
    }

    fn remove_download(&self, connection: &Connection, tag: u64) -> bool {
        let Some(bytes) = connection.open.borrow_mut().remove(&tag) else { return false };
        connection.held.set(connection.held.get() - bytes);
        self.held.set(self.held.get() - bytes);
        self.open.set(self.open.get() - 1);
        self.notify_if_idle(connection);
        true
    }

    /// Wakes tasks that wait to close the connection.
    fn notify_if_idle(&self, connection: &Connection) {
        if connection.has_nothing_open() {
            connection.idle.notify(usize::MAX);
        }
    }

    /// Limits the log lines about misbehaving clients, of which there may be hundreds, and the processor time
    /// that they cost.
    fn log_complaint(&self, client: ClientId, what: &str, why: &str) {
        self.complaints.set(self.complaints.get() + 1);
        if self.complaints.get() <= self.limits.complaints {
            info!(self.log, "{}", what; "client" => client, "why" => why);
        }
    }

    fn queue(&self, connection: &Connection, packet: Packet) {
        if connection.unsent.get() == 0 {
            connection.last_write_at.set(Instant::now());
        }
        let bytes = queued_bytes(&packet);
        connection.unsent.set(connection.unsent.get() + bytes);
        self.unsent.set(self.unsent.get() + bytes);
        connection.queue.borrow_mut().push(packet);
        connection.wake.notify(usize::MAX);
        if connection.queue.borrow().len() > self.limits.client_unsent_answers {
            self.cut(connection, "it sends requests without reading answers");
        } else if self.unsent.get() > self.limits.unsent_bytes {
            self.cut_largest();
        }
    }

    fn note_written(&self, connection: &Connection, freed: usize) {
        connection.last_write_at.set(Instant::now());
        if connection.input_state.get() == InputState::Idle {
            connection.state_since.set(connection.last_write_at.get());
        }
        connection.unsent.set(connection.unsent.get() - freed);
        self.unsent.set(self.unsent.get() - freed);
        self.notify_if_idle(connection);
    }

    /// The bytes are subtracted at once: otherwise the next answer would cut another client for the same
    /// bytes.
    fn cut(&self, connection: &Connection, why: &'static str) {
        self.count(|counts| counts.cut += 1);
        connection.end(Ending::Cut(why));
        connection.queue.borrow_mut().clear();
        self.unsent.set(self.unsent.get() - connection.unsent.replace(0));
    }

    /// Guards the memory limit against clients that don't read their answers: cuts the one with the most
    /// unsent bytes.
    fn cut_largest(&self) {
        let connections = self.connections.borrow();
        let largest = connections
            .iter()
            .filter(|(_, connection)| !connection.is_cut())
            .max_by_key(|(id, connection)| (connection.unsent.get(), **id));
        if let Some((id, connection)) = largest {
            warn!(self.log, "client disconnected: too many unsent bytes"; "client" => id, "bytes" => connection.unsent.get());
            self.cut(connection, "too many unsent bytes");
        }
    }

    /// Admission control by the downloads and bytes held for this client and for all: the reason to refuse a
    /// download. A client that holds no more than an equal share is admitted while the total is over its limit:
    /// a few that send much must not shut out all others. None is admitted while the memory for requests is
    /// used up.
    fn refusal(&self, connection: &Connection) -> Option<&'static str> {
        let limits = &self.limits;
        let share = limits.held_bytes / limits.clients;
        // What has come whole goes before what has not.
        self.relieve_input_memory();
        let reasons = [
            (self.is_abandoning.get(), "the router is about to end"),
            (self.open.get() >= limits.downloads, "too many open downloads in all"),
            (
                self.held.get() >= limits.held_bytes && connection.held.get() > share,
                "over its share of the held bytes",
            ),
            (connection.held.get() >= limits.client_held_bytes, "too many held bytes"),
            (connection.unsent.get() >= limits.client_unsent_bytes, "too many unread answers"),
            (self.input_memory.used() > limits.input_bytes, "the memory for requests is used up"),
        ];
        reasons.into_iter().find_map(|(applies, reason)| applies.then_some(reason))
    }

    /// Notes that the client has sent a part of a message, if it has.
    fn note_partial_message(&self, id: ClientId, connection: &Rc<Connection>) {
        let decoder = connection.decoder.borrow();
        if decoder.is_mid_message() && connection.input_state.get() == InputState::Idle {
            connection.set_input_state(InputState::MidMessage);
        }
        if decoder.can_discard() && connection.partial_since.get().is_none() {
            let since = Instant::now();
            connection.partial_since.set(Some(since));
            self.partial.borrow_mut().insert((since, id), connection.clone());
        }
    }

    /// The message has come whole, or will not come.
    fn forget_partial_message(&self, id: ClientId, connection: &Connection) {
        if let Some(since) = connection.partial_since.take() {
            self.partial.borrow_mut().remove(&(since, id));
        }
    }

    /// Guards the memory limit against requests that arrive slowly or never whole: those that have been
    /// arriving for longest are discarded. They are throttled once they are whole.
    fn relieve_input_memory(&self) {
        while self.input_memory.used() > self.limits.input_bytes {
            let Some(((_, id), connection)) = self.partial.borrow_mut().pop_first() else { return };
            connection.partial_since.set(None);
            connection.decoder.borrow_mut().discard_message();
            self.count(|counts| counts.discarded += 1);
            self.log_complaint(id, "client message discarded", "the memory for requests is used up");
        }
    }

    /// Refuses a download that was not passed on.
    fn throttle(&self, connection: &Connection, tag: u64) {
        let retry_after_ms = self.limits.full_retry_after.as_millis() as u64;
        self.count(|counts| counts.throttled += 1);
        self.queue(connection, client::encode_answer(tag, &ToClient::Throttled { retry_after_ms }));
    }

    fn register(&self) -> (ClientId, Rc<Connection>) {
        let limits = &self.limits;
        let bounds = Bounds {
            max_items: limits.client_items,
            max_item_bytes: limits.client_item_bytes,
            initial_item_capacity: limits.client_item_room,
        };
        let decoder = Decoder::with_counter(bounds, limits.client_read_buffer, self.input_memory.clone());
        let ending = self.is_shutting_down.get().then_some(SHUTDOWN);
        let connection = Rc::new(Connection::new(decoder, ending));
        self.count(|counts| counts.accepted += 1);
        self.last_id.set(self.last_id.get() + 1);
        self.connections.borrow_mut().insert(self.last_id.get(), connection.clone());
        (self.last_id.get(), connection)
    }

    /// Drops the client's open downloads.
    fn drop_downloads(&self, client: ClientId, connection: &Connection) {
        let open = connection.open.take().len();
        self.open.set(self.open.get() - open);
        self.held.set(self.held.get() - connection.held.take());
        if open > 0 {
            self.count(|counts| counts.left += open as u64);
            self.send_input(Input::Disconnected { client });
        }
    }

    /// Removes the connection once its file descriptor is closed.
    fn remove(&self, client: ClientId) {
        let Some(connection) = self.connections.borrow_mut().remove(&client) else { return };
        self.forget_partial_message(client, &connection);
        self.unsent.set(self.unsent.get() - connection.unsent.get());
        self.removed.notify(usize::MAX);
    }

    /// Fails only after the routing task has ended, and the program with it.
    fn send_input(&self, input: Input) {
        let _ = self.inputs.try_send(input);
    }
}
