//! Connections from clients. Each has a reader, which never stops reading, so that a disconnect or a cancel
//! is noticed at once, and a writer with its own queue. Downloads over a limit are throttled at once. A sweep
//! over all connections ends the stalled ones and, at the connection limit, the one that is needed least.
//! Wherever its client may still be writing, a connection is ended by a half-close (docs/crossings.md).
use super::held_back::{self, HeldBack};
use super::{SocketReader, Stream};
use crate::program::limits::Limits;
use crate::routing::{ClientId, Input};
use async_channel::Sender;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::{or, yield_now};
use harestage_sockets::clock::Clock;
use harestage_sockets::send_queue::{SendQueue, queued_bytes};
use harestage_wire::Packet;
use harestage_wire::client::{self, FromClient, ToClient};
use harestage_wire::memory::MemoryCounter;
use harestage_wire::resp::{Bounds, DecodeError, Decoder};
use slog::{Logger, debug, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io::ErrorKind;
use std::net::{Shutdown, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// State of a client's input.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum InputState {
    /// No complete message has arrived yet.
    New,
    /// Part of a further message has arrived.
    MidMessage,
    /// Between two messages.
    Idle,
}

/// How to end a connection from the router's side.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Ending {
    /// At once, without writing anything more: the client reads nothing.
    Cut(&'static str),
    /// Once no download is open and everything is written, even if part of a message has arrived.
    Close(&'static str),
    /// The same, but waits for the rest of a message of which a part has arrived.
    CloseBetweenMessages(&'static str),
}

/// A reader lets others run after this much.
const MAX_TURN_BYTES: usize = 64 << 10;
const MAX_TURN_MESSAGES: usize = 128;

/// What a reader has done since others could run.
#[derive(Default)]
struct Turn {
    bytes: usize,
    messages: usize,
}

impl Turn {
    /// Lets others run if this one has done enough.
    async fn yield_if_over(&mut self) {
        if self.bytes >= MAX_TURN_BYTES || self.messages >= MAX_TURN_MESSAGES {
            *self = Turn::default();
            yield_now().await;
        }
    }
}

/// Why a reader stopped.
enum ReadEnd {
    /// The client has disconnected; its downloads are cancelled.
    Disconnected(String),
    /// Open downloads still get their answers, but no further message is read.
    Close(String),
}

/// One client connection, as seen by other tasks than its own.
struct Connection {
    decoder: RefCell<Decoder>,
    queue: RefCell<SendQueue>,
    /// Open downloads by tag, with the bytes that each holds.
    open: RefCell<HashMap<u64, usize>>,
    /// Bytes that the open downloads hold.
    held: Cell<usize>,
    /// Open downloads that are not passed on yet.
    held_back: HeldBack,
    /// Bytes of answers that are not written yet.
    unsent: Cell<usize>,
    last_write_at: Cell<Instant>,
    input_state: Cell<InputState>,
    /// When the state last changed.
    state_since: Cell<Instant>,
    /// Since when a part of a message that is worth discarding has been waiting for the rest.
    partial_since: Cell<Option<Instant>>,
    ending: Cell<Option<Ending>>,
    wake: Event,
    /// No download is open any more, or everything is written: tasks that want to close the connection check
    /// again.
    idle: Event,
    /// `ending` was set.
    ending_set: Event,
}

impl Connection {
    fn set_input_state(&self, input_state: InputState) {
        self.input_state.set(input_state);
        self.state_since.set(Instant::now());
    }

    /// The next message that has arrived whole.
    fn next_message(&self) -> Result<Option<FromClient>, DecodeError> {
        let mut decoder = self.decoder.borrow_mut();
        let Some(items) = decoder.next_message()? else { return Ok(None) };
        let decode = if decoder.was_discarded() { client::decode_discarded } else { client::decode };
        decode(items).map(Some)
    }

    fn has_nothing_open(&self) -> bool {
        self.unsent.get() == 0 && self.open.borrow().is_empty()
    }

    /// `Cut` is final; the other ways to end may still be replaced.
    fn end(&self, ending: Ending) {
        if !self.is_cut() {
            self.ending.set(Some(ending));
            self.ending_set.notify(usize::MAX);
        }
    }

    fn is_cut(&self) -> bool {
        matches!(self.ending.get(), Some(Ending::Cut(_)))
    }

    /// The reason to close now, if the connection may be closed.
    fn may_close(&self) -> Option<&'static str> {
        match self.ending.get()? {
            _ if !self.has_nothing_open() => None,
            Ending::Cut(why) | Ending::Close(why) => Some(why),
            Ending::CloseBetweenMessages(why) => (!self.decoder.borrow().is_mid_message()).then_some(why),
        }
    }

    /// How to end the connection if it is overdue.
    fn overdue(&self, limits: &Limits) -> Option<Ending> {
        let elapsed = self.state_since.get().elapsed();
        if self.unsent.get() > 0 {
            let stalled = self.last_write_at.get().elapsed() > limits.client_stall;
            return stalled.then_some(Ending::Cut("the client reads nothing"));
        }
        if !self.open.borrow().is_empty() {
            return None;
        }
        let (limit, why) = match self.input_state.get() {
            InputState::New => (limits.client_first, "no message received"),
            InputState::MidMessage => (limits.client_message, "incomplete message"),
            InputState::Idle => (limits.client_idle, "idle"),
        };
        (elapsed > limit).then_some(Ending::Close(why))
    }

    /// Rank for giving this connection's slot to a new client: first connections that never sent a message,
    /// then the longest idle. `None`: a download is open, or the client had too little time to send.
    fn eviction_rank(&self, limits: &Limits) -> Option<(bool, Duration)> {
        let (input_state, elapsed) = (self.input_state.get(), self.state_since.get().elapsed());
        let is_evictable =
            self.ending.get().is_none() && self.has_nothing_open() && elapsed > limits.client_grace;
        is_evictable.then_some((input_state == InputState::New, elapsed))
    }
}

/// Bounds the rate at which a client's bytes are discarded.
const DISCARD_INTERVAL: Duration = Duration::from_millis(40);

/// After this many failures connections that wait to be accepted at shutdown are given up.
const MAX_ACCEPT_FAILURES: u32 = 10;

const SHUTDOWN: Ending = Ending::CloseBetweenMessages("the router is shutting down");

/// What happened at client connections since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounts {
    /// Connections accepted.
    pub accepted: u64,
    /// Downloads passed on to the routing task.
    pub downloads: u64,
    /// Downloads refused because of a limit.
    pub throttled: u64,
    /// Requests discarded before they were whole.
    pub discarded: u64,
    /// Messages that could not be served.
    pub invalid: u64,
    /// Connections ended for malformed input.
    pub malformed: u64,
    /// Connections cut off.
    pub cut: u64,
    /// Downloads dropped as their clients had left.
    pub left: u64,
}

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

    /// Abandons all open downloads.
    pub fn abandon_all(&self) {
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
        let now = Instant::now();
        let limits = &self.limits;
        let bounds = Bounds {
            max_items: limits.client_items,
            max_item_bytes: limits.client_item_bytes,
            initial_item_capacity: limits.client_item_room,
        };
        let decoder = Decoder::with_counter(bounds, limits.client_read_buffer, self.input_memory.clone());
        let connection = Rc::new(Connection {
            decoder: RefCell::new(decoder),
            queue: RefCell::default(),
            open: RefCell::default(),
            held: Cell::new(0),
            held_back: HeldBack::default(),
            unsent: Cell::new(0),
            last_write_at: Cell::new(now),
            input_state: Cell::new(InputState::New),
            state_since: Cell::new(now),
            partial_since: Cell::new(None),
            ending: Cell::new(self.is_shutting_down.get().then_some(SHUTDOWN)),
            wake: Event::new(),
            idle: Event::new(),
            ending_set: Event::new(),
        });
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

/// Ends overdue connections, for as long as it is polled.
pub async fn sweep(clients: Rc<Clients>) {
    loop {
        Timer::after(clients.limits.sweep_every).await;
        for connection in clients.connections.borrow().values().filter(|connection| !connection.is_cut()) {
            if let Some(ending) = connection.overdue(&clients.limits) {
                connection.end(ending);
            }
        }
        let suppressed = clients.complaints.take().saturating_sub(clients.limits.complaints);
        if suppressed > 0 {
            info!(clients.log, "log lines about clients suppressed"; "lines" => suppressed);
        }
    }
}

/// Closes the connections that are needed least, a few at a time: a client that does not close its own side
/// keeps its slot until the half-close times out.
fn make_room(clients: &Clients) {
    let connections = clients.connections.borrow();
    let ending = connections.values().filter(|connection| connection.ending.get().is_some()).count();
    let candidates = connections
        .iter()
        .filter_map(|(id, connection)| Some((connection.eviction_rank(&clients.limits)?, *id, connection)));
    let mut candidates: Vec<_> = candidates.collect();
    candidates.sort_unstable_by_key(|(rank, id, _)| (*rank, *id));
    let allowed = clients.limits.client_closings.saturating_sub(ending);
    for (_, _, connection) in candidates.iter().rev().take(allowed) {
        connection.end(Ending::Close("its slot was needed"));
    }
}

/// Accepts connections for as long as it is polled, and goes on after the process ran out of file
/// descriptors. Against hundreds of clients that keep connections open, those that do nothing are closed
/// first.
pub async fn listen(clients: Rc<Clients>, listener: Rc<Async<TcpListener>>, executor: super::Executor) {
    let mut refused = false;
    loop {
        while clients.connections.borrow().len() >= clients.limits.clients {
            let removed = clients.removed.listen();
            make_room(&clients);
            let next_attempt = async {
                Timer::after(clients.limits.client_grace / 2).await;
            };
            or(removed, next_attempt).await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                refused = false;
                spawn_connection(&clients, stream, &executor);
            }
            Err(why) => {
                if !refused {
                    warn!(clients.log, "accept failed"; "why" => %why);
                }
                refused = true;
                Timer::after(clients.limits.accept_pause).await;
            }
        }
    }
}

/// The standard library's length of the queue of connections that wait to be accepted.
const MIN_PENDING_CONNECTIONS: usize = 128;

/// Lets so many connections wait until they are accepted, or the usual number if it is larger. Past it the
/// kernel drops handshakes, and a client's next try comes after a second.
pub fn allow_pending(listener: &Async<TcpListener>, connections: usize) -> std::io::Result<()> {
    let connections = connections.max(MIN_PENDING_CONNECTIONS).try_into().unwrap_or(i32::MAX);
    Ok(rustix::net::listen(listener.get_ref(), connections)?)
}

/// The connection is registered here and not by its task, which may run only after many more were accepted.
fn spawn_connection(clients: &Rc<Clients>, stream: Stream, executor: &super::Executor) {
    let (id, connection) = clients.register();
    let served = serve(clients.clone(), id, connection, Rc::new(stream), executor.clone());
    executor.spawn(served).detach();
}

/// Accepts connections that the kernel has completed but nobody has accepted yet. Closing the listener would
/// reset them, and requests on them would be lost.
pub async fn accept_pending(
    clients: &Rc<Clients>,
    listener: &Async<TcpListener>,
    executor: &super::Executor,
) {
    let mut failures = 0;
    while clients.connections.borrow().len() < clients.limits.clients && failures < MAX_ACCEPT_FAILURES {
        match listener.get_ref().accept() {
            Ok((stream, _)) => match Async::new(stream) {
                Ok(stream) => spawn_connection(clients, stream, executor),
                Err(why) => warn!(clients.log, "connection not served"; "why" => %why),
            },
            Err(why) if why.kind() == ErrorKind::WouldBlock => return,
            // Of a connection that has ended already, or the system lacks descriptors at the moment.
            Err(_) => {
                failures += 1;
                Timer::after(clients.limits.accept_pause).await;
            }
        }
    }
}

/// The writer is a task of its own, so that a wakeup of one side does not make the other poll its socket in
/// vain. Either may be dropped at any point: by then the client has disconnected or is cut off.
async fn serve(
    clients: Rc<Clients>,
    id: ClientId,
    connection: Rc<Connection>,
    stream: Rc<Stream>,
    executor: super::Executor,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let mut writer = executor.spawn(write(clients.clone(), connection.clone(), stream.clone()));
    let reader = async {
        let mut source = SocketReader::new(&stream);
        match read(&clients, id, &connection, &mut source).await {
            ReadEnd::Disconnected(why) => why,
            ReadEnd::Close(why) => {
                close(&clients, &connection, &mut source).await;
                why
            }
        }
    };
    let why = or(or(reader, &mut writer), cut_off(&connection)).await;
    debug!(clients.log, "client connection ended"; "client" => id, "why" => &why);
    // The downloads are dropped in the step that took the last messages. The slot is free only once the
    // descriptor is closed, and the writer holds it too.
    clients.drop_downloads(id, &connection);
    writer.cancel().await;
    drop(stream);
    clients.remove(id);
}

/// Reads until the client disconnects or the connection is to be closed. Nothing else may stop the reader,
/// since a disconnect is only noticed by reading.
async fn read(
    clients: &Clients,
    id: ClientId,
    connection: &Rc<Connection>,
    source: &mut SocketReader<'_>,
) -> ReadEnd {
    let limits = &clients.limits;
    let (mut invalid_messages, mut turn) = (0, Turn::default());
    loop {
        let message = match connection.next_message() {
            Ok(Some(message)) => {
                clients.forget_partial_message(id, connection);
                turn.messages += 1;
                message
            }
            Ok(None) => {
                clients.note_partial_message(id, connection);
                clients.relieve_input_memory();
                if connection.held_back.is_overdue() {
                    clients.pass_on(id, connection);
                }
                match next_bytes(clients, id, connection, source, &mut turn).await {
                    Ok(()) => continue,
                    Err(end) => return end,
                }
            }
            Err(error) => {
                clients.count(|counts| counts.malformed += 1);
                clients.log_complaint(id, "client disconnected: malformed input", &error.to_string());
                clients.pass_on(id, connection);
                return ReadEnd::Close(error.to_string());
            }
        };
        connection.set_input_state(InputState::Idle);
        // Two answers under one tag could not be told apart.
        let tag = message.answer_tag();
        if tag.is_some_and(|tag| connection.open.borrow().contains_key(&tag)) {
            clients.log_complaint(id, "client disconnected: duplicate tag", "");
            clients.pass_on(id, connection);
            return ReadEnd::Close("duplicate tag".into());
        }
        if let Some((tag, why)) = handle_message(clients, id, connection, message) {
            invalid_messages += 1;
            clients.count(|counts| counts.invalid += 1);
            if invalid_messages > limits.client_unusable {
                // This is a flood; its open downloads take resources from others, so that they are dropped.
                return ReadEnd::Disconnected("too many invalid messages".into());
            }
            clients.log_complaint(id, "invalid client message", why);
            clients.queue(connection, client::encode_answer(tag, &ToClient::Abandoned));
        }
    }
}

/// Carries out a message. Returns its tag and the reason if that is impossible.
fn handle_message(
    clients: &Clients,
    id: ClientId,
    connection: &Connection,
    message: FromClient,
) -> Option<(u64, &'static str)> {
    let limits = &clients.limits;
    match message {
        FromClient::Status { tag } => {
            let ready = if clients.ready.get() { ToClient::Ready } else { ToClient::NotReady };
            clients.queue(connection, client::encode_answer(tag, &ready));
        }
        FromClient::Invalid { tag, reason: why } => return Some((tag, why)),
        FromClient::Cancel { tag } => {
            if clients.remove_download(connection, tag) {
                connection.held_back.cancel(tag);
                clients.send_input(Input::Cancel { client: id, tag });
            }
        }
        FromClient::Download { tag, .. } if connection.open.borrow().len() >= limits.client_open => {
            return Some((tag, "too many open downloads"));
        }
        FromClient::Discarded { tag } => clients.throttle(connection, tag),
        FromClient::Download { tag, mut request } => {
            if let Some(reason) = clients.refusal(connection) {
                clients.log_complaint(id, "download throttled", reason);
                clients.throttle(connection, tag);
                return None;
            }
            clients.count(|counts| counts.downloads += 1);
            clients.add_download(connection, tag, request.body.len() + limits.download_bytes);
            // Counted until the routing task drops the request, which may be after the answer.
            request.body = clients.input_memory.reserve(limits.download_bytes).attach(request.body);
            connection.held_back.add(held_back::Download { tag, request, at: clients.clock.now() });
        }
    }
    None
}

/// Waits for more bytes or for the moment when the connection may be closed. It reads before it waits, in the
/// step that took the last messages: if a client sent requests and disconnected while the process did not
/// run, the routing task gets both in one step, and requests that arrived before a close are taken.
async fn next_bytes(
    clients: &Clients,
    id: ClientId,
    connection: &Connection,
    source: &mut SocketReader<'_>,
    turn: &mut Turn,
) -> Result<(), ReadEnd> {
    let disconnected = |why: String| Err(ReadEnd::Disconnected(why));
    if source.expects_more() {
        // A client that always has more to read must not starve the others.
        turn.yield_if_over().await;
    } else {
        *turn = Turn::default();
    }
    loop {
        let (idle, ending_set) = (connection.idle.listen(), connection.ending_set.listen());
        match source.try_read(&mut connection.decoder.borrow_mut()) {
            Ok(None) => {}
            Ok(Some(0)) => return disconnected("closed by the client".into()),
            Ok(Some(_)) if source.expects_more() && source.peer_has_closed() => {
                return disconnected("closed by the client before all was read".into());
            }
            Ok(Some(bytes)) => {
                connection.held_back.note_read(bytes);
                turn.bytes += bytes;
                return Ok(());
            }
            Err(why) => return disconnected(why.to_string()),
        }
        let awaits_rest = connection.held_back.awaits_rest();
        if !awaits_rest {
            clients.pass_on(id, connection);
        }
        if let Some(why) = connection.may_close() {
            return Err(ReadEnd::Close(why.into()));
        }
        // Dropping this future loses no bytes, since it only waits.
        let readable = async { source.readable().await.err() };
        let may_be_closable = async {
            or(idle, ending_set).await;
            None
        };
        let rest_is_late = async {
            if !awaits_rest {
                std::future::pending::<()>().await;
            }
            Timer::after(held_back::WINDOW_REFILL_TIME).await;
            clients.pass_on(id, connection);
            None
        };
        if let Some(why) = or(or(readable, may_be_closable), rest_is_late).await {
            return disconnected(why.to_string());
        }
    }
}

/// Guards answers in transit: closing a socket with unread bytes resets the connection. Open downloads get
/// their answers, then the write side is shut down, and the client's further bytes are discarded until it
/// closes its own side.
async fn close(clients: &Clients, connection: &Connection, source: &mut SocketReader<'_>) {
    let limits = &clients.limits;
    let answered = async {
        loop {
            let idle = connection.idle.listen();
            if connection.has_nothing_open() {
                return true;
            }
            idle.await;
        }
    };
    let disconnected = async {
        discard(source, limits.client_discarded_bytes).await;
        false
    };
    if !or(answered, disconnected).await {
        return;
    }
    let _ = source.stream().get_ref().shutdown(Shutdown::Write);
    let late = async {
        Timer::after(limits.client_linger).await;
    };
    or(discard(source, limits.client_discarded_bytes), late).await;
}

/// Discards what the client sends, at most `max` bytes at an interval, and returns once it has closed. Its close
/// comes behind all that it has sent.
async fn discard(source: &mut SocketReader<'_>, max: usize) {
    loop {
        let mut left = max;
        while left > 0 {
            match source.discard().await {
                Ok(bytes) if bytes > 0 => left = left.saturating_sub(bytes),
                _ => return,
            }
            yield_now().await;
        }
        Timer::after(DISCARD_INTERVAL).await;
    }
}

/// Writes the queue for as long as it is polled; the queue stays with the connection, so that a cut frees it at
/// once. Returns the error that ended it.
async fn write(clients: Rc<Clients>, connection: Rc<Connection>, stream: Rc<Stream>) -> String {
    loop {
        if connection.queue.borrow().is_empty() {
            connection.wake.listen().await;
            continue;
        }
        let written = connection.queue.borrow_mut().try_write(&stream, clients.limits.packets_at_once);
        match written {
            Ok(Some(freed)) => {
                clients.note_written(&connection, freed);
                // A client that reads as fast as this writes must not starve the others.
                yield_now().await;
            }
            Ok(None) => {
                if let Err(why) = stream.writable().await {
                    return why.to_string();
                }
            }
            Err(why) => return why.to_string(),
        }
    }
}

/// Waits until the connection is cut.
async fn cut_off(connection: &Connection) -> String {
    loop {
        let ending_set = connection.ending_set.listen();
        if let Some(Ending::Cut(why)) = connection.ending.get() {
            return why.into();
        }
        ending_set.await;
    }
}
