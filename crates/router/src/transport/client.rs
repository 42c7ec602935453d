//! Connections from clients. Each has a reader, which reads on whatever else goes on, so that a client that has gone
//! or cancels is noticed at once, and a writer with its own queue. What is past a bound is throttled at once. One
//! sweep over all of them ends those that have stalled, and where no more connections may be held, the one that is
//! needed least. A connection is ended by a half-close wherever its client may still be writing (docs/crossings.md).
use super::{SocketReader, Stream, write_packets};
use crate::program::limits::Limits;
use crate::routing::{ClientId, Input};
use async_channel::Sender;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::{or, yield_now};
use harestage_sockets::clock::Clock;
use harestage_wire::Packet;
use harestage_wire::client::{self, FromClient, ToClient};
use harestage_wire::resp::{Bounds, Decoder};
use slog::{Logger, debug, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{Shutdown, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a client that has nothing open is taken to be about.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Stand {
    /// No whole message has come from it yet.
    New,
    /// A further message has begun to come in.
    Inside,
    /// Nothing is under way.
    AtRest,
}

/// How a connection that others than its own client want to be over is ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Ending {
    /// Nothing more is written: its client takes nothing.
    Cut(&'static str),
    /// Once nothing is open and all is written, also inside a message.
    Close(&'static str),
    /// The same, but a message that has begun to come in is waited for.
    CloseBetweenMessages(&'static str),
}

/// Why a reader reads no more.
enum Read {
    /// The client has gone: nothing is owed any more.
    Gone(String),
    /// What is open still gets its answers, and no further message is taken.
    Closes(String),
}

/// One client connection, as far as others than its own task need it.
struct Connection {
    queue: RefCell<VecDeque<Packet>>,
    /// Downloads that are not answered yet, by tag, and the bytes that each holds.
    open: RefCell<HashMap<u64, usize>>,
    held: Cell<usize>,
    unsent: Cell<usize>,
    wrote: Cell<Instant>,
    stand: Cell<Stand>,
    /// Since when it stands so.
    since: Cell<Instant>,
    ending: Cell<Option<Ending>>,
    wake: Event,
    /// Nothing is open any more, or everything is written: whoever wants to close it looks again.
    rests: Event,
    /// An ending was set.
    ended: Event,
}

impl Connection {
    fn stands(&self, stand: Stand) {
        self.stand.set(stand);
        self.since.set(Instant::now());
    }

    fn has_nothing_open(&self) -> bool {
        self.unsent.get() == 0 && self.open.borrow().is_empty()
    }

    /// A cut is final; what waits for rest may still become one.
    fn end(&self, ending: Ending) {
        if !self.is_cut() {
            self.ending.set(Some(ending));
            self.ended.notify(usize::MAX);
        }
    }

    fn is_cut(&self) -> bool {
        matches!(self.ending.get(), Some(Ending::Cut(_)))
    }

    /// Why it is to be closed now, if it is.
    fn may_close(&self, inside: bool) -> Option<&'static str> {
        match self.ending.get()? {
            _ if !self.has_nothing_open() => None,
            Ending::Cut(why) | Ending::Close(why) => Some(why),
            Ending::CloseBetweenMessages(why) => (!inside).then_some(why),
        }
    }

    /// Why it has to go, if it has.
    fn overdue(&self, limits: &Limits) -> Option<Ending> {
        let stood = self.since.get().elapsed();
        if self.unsent.get() > 0 {
            let stalled = self.wrote.get().elapsed() > limits.client_stall;
            return stalled.then_some(Ending::Cut("the client takes nothing"));
        }
        if !self.open.borrow().is_empty() {
            return None;
        }
        let (most, why) = match self.stand.get() {
            Stand::New => (limits.client_first, "no message came"),
            Stand::Inside => (limits.client_message, "a message did not end"),
            Stand::AtRest => (limits.client_idle, "idle"),
        };
        (stood > most).then_some(Ending::Close(why))
    }

    /// How well a further client may have this one's place: first those that never said anything, then the one
    /// at rest for longest. None: it has something open, or had no time to speak.
    fn spare(&self, limits: &Limits) -> Option<(bool, Duration)> {
        let (stand, stood) = (self.stand.get(), self.since.get().elapsed());
        let may_go = self.ending.get().is_none() && self.has_nothing_open() && stood > limits.client_grace;
        may_go.then_some((stand == Stand::New, stood))
    }
}

const ENDS: Ending = Ending::CloseBetweenMessages("the router ends");

/// All client connections.
pub struct Clients {
    limits: Rc<Limits>,
    clock: Clock,
    news: Sender<Input>,
    log: Logger,
    connections: RefCell<HashMap<ClientId, Rc<Connection>>>,
    open: Cell<usize>,
    held: Cell<usize>,
    unsent: Cell<usize>,
    /// Lines about clients in the log since the last sweep, those that were left out among them.
    complaints: Cell<u64>,
    last: Cell<ClientId>,
    ready: Cell<bool>,
    /// All are to be closed as soon as nothing is open on them.
    ends: Cell<bool>,
    /// A connection has gone.
    left: Event,
}

impl Clients {
    /// `news` is a queue that never fills: what one client puts there between two turns of its reader's is bounded,
    /// and a reader that waited there would not see its client go.
    pub fn new(limits: Rc<Limits>, clock: Clock, news: Sender<Input>, log: Logger) -> Rc<Clients> {
        Rc::new(Clients {
            limits,
            clock,
            news,
            log,
            connections: RefCell::default(),
            open: Cell::new(0),
            held: Cell::new(0),
            unsent: Cell::new(0),
            complaints: Cell::new(0),
            last: Cell::new(0),
            ready: Cell::new(false),
            ends: Cell::new(false),
            left: Event::new(),
        })
    }

    pub fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    /// Nothing is open and all that was answered is written.
    pub fn is_idle(&self) -> bool {
        self.open.get() == 0 && self.unsent.get() == 0
    }

    pub fn open_downloads(&self) -> usize {
        self.open.get()
    }

    /// From now on each connection is closed as soon as nothing is open on it, new ones after a first look.
    pub fn close_all(&self) {
        self.ends.set(true);
        for connection in self.connections.borrow().values() {
            connection.end(ENDS);
        }
    }

    /// Waits until no connection is left.
    pub async fn wait_all_closed(&self) {
        loop {
            let left = self.left.listen();
            if self.connections.borrow().is_empty() {
                return;
            }
            left.await;
        }
    }

    /// Answers a download that is still open; a client that has gone or said never mind gets nothing.
    pub fn answer(&self, client: ClientId, tag: u64, answer: &ToClient) {
        let connection = self.connections.borrow().get(&client).cloned();
        let Some(connection) = connection.filter(|connection| self.close_one(connection, tag)) else {
            return;
        };
        if !connection.is_cut() {
            self.queue(&connection, client::encode_answer(tag, answer));
        }
    }

    /// Answers all that is still open.
    pub fn abandon_all(&self) {
        let connections: Vec<_> =
            self.connections.borrow().iter().map(|(no, connection)| (*no, connection.clone())).collect();
        for (no, connection) in connections {
            let tags: Vec<u64> = connection.open.borrow().keys().copied().collect();
            tags.into_iter().for_each(|tag| self.answer(no, tag, &ToClient::Abandoned));
        }
    }

    fn open_one(&self, connection: &Connection, tag: u64, bytes: usize) {
        connection.open.borrow_mut().insert(tag, bytes);
        connection.held.set(connection.held.get() + bytes);
        self.held.set(self.held.get() + bytes);
        self.open.set(self.open.get() + 1);
    }

    fn close_one(&self, connection: &Connection, tag: u64) -> bool {
        let Some(bytes) = connection.open.borrow_mut().remove(&tag) else { return false };
        connection.held.set(connection.held.get() - bytes);
        self.held.set(self.held.get() - bytes);
        self.open.set(self.open.get() - 1);
        self.look_again(connection);
        true
    }

    /// Whoever wants to close a connection waits for this.
    fn look_again(&self, connection: &Connection) {
        if connection.has_nothing_open() {
            connection.rests.notify(usize::MAX);
        }
    }

    /// Guards the log, and the core that writes it, against clients that misbehave by hundreds.
    fn complain(&self, client: ClientId, what: &str, why: &str) {
        self.complaints.set(self.complaints.get() + 1);
        if self.complaints.get() <= self.limits.complaints {
            info!(self.log, "{}", what; "client" => client, "why" => why);
        }
    }

    fn queue(&self, connection: &Connection, packet: Packet) {
        if connection.unsent.get() == 0 {
            connection.wrote.set(Instant::now());
        }
        connection.unsent.set(connection.unsent.get() + packet.len());
        self.unsent.set(self.unsent.get() + packet.len());
        connection.queue.borrow_mut().push_back(packet);
        connection.wake.notify(usize::MAX);
        if connection.queue.borrow().len() > self.limits.client_unsent_answers {
            self.cut(connection, "it asks on and takes no answers");
        } else if self.unsent.get() > self.limits.unsent_bytes {
            self.cut_fullest();
        }
    }

    /// Counted out at once, or the next answer would end the next client for the same bytes.
    fn cut(&self, connection: &Connection, why: &'static str) {
        connection.end(Ending::Cut(why));
        connection.queue.borrow_mut().clear();
        self.unsent.set(self.unsent.get() - connection.unsent.replace(0));
    }

    /// Guards the memory limit against clients that ask and don't read: the one with most waiting goes.
    fn cut_fullest(&self) {
        let connections = self.connections.borrow();
        let fullest =
            connections.iter().filter(|(_, l)| !l.is_cut()).max_by_key(|(no, l)| (l.unsent.get(), **no));
        if let Some((no, connection)) = fullest {
            warn!(self.log, "client ended: too much unsent"; "client" => no, "bytes" => connection.unsent.get());
            self.cut(connection, "too much unsent");
        }
    }

    /// Admission: what is held of this client and of all may not grow further. One that holds no more than its part
    /// is taken on: a few that send much must not turn all others away.
    fn is_full(&self, connection: &Connection) -> bool {
        let limits = &self.limits;
        let part = limits.held_bytes / limits.clients;
        self.open.get() >= limits.downloads
            || self.held.get() >= limits.held_bytes && connection.held.get() > part
            || connection.held.get() >= limits.client_held_bytes
            || connection.unsent.get() >= limits.client_unsent_bytes
    }

    fn enter(&self) -> (ClientId, Rc<Connection>) {
        let now = Instant::now();
        let connection = Rc::new(Connection {
            queue: RefCell::default(),
            open: RefCell::default(),
            held: Cell::new(0),
            unsent: Cell::new(0),
            wrote: Cell::new(now),
            stand: Cell::new(Stand::New),
            since: Cell::new(now),
            ending: Cell::new(self.ends.get().then_some(ENDS)),
            wake: Event::new(),
            rests: Event::new(),
            ended: Event::new(),
        });
        self.last.set(self.last.get() + 1);
        self.connections.borrow_mut().insert(self.last.get(), connection.clone());
        (self.last.get(), connection)
    }

    /// Nothing is owed to this client any more.
    fn hang_up(&self, client: ClientId, connection: &Connection) {
        let open = connection.open.take().len();
        self.open.set(self.open.get() - open);
        self.held.set(self.held.get() - connection.held.take());
        if open > 0 {
            self.tell(Input::Disconnected { client });
        }
    }

    /// Its descriptor is free.
    fn leave(&self, client: ClientId) {
        let Some(connection) = self.connections.borrow_mut().remove(&client) else { return };
        self.unsent.set(self.unsent.get() - connection.unsent.get());
        self.left.notify(usize::MAX);
    }

    /// Fails only once the routing task has ended, and the program with it.
    fn tell(&self, news: Input) {
        let _ = self.news.try_send(news);
    }
}

/// Ends what is overdue, for as long as it is polled.
pub async fn sweep(clients: Rc<Clients>) {
    loop {
        Timer::after(clients.limits.sweep_every).await;
        for connection in clients.connections.borrow().values().filter(|connection| !connection.is_cut()) {
            if let Some(ending) = connection.overdue(&clients.limits) {
                connection.end(ending);
            }
        }
        let left_out = clients.complaints.take().saturating_sub(clients.limits.complaints);
        if left_out > 0 {
            info!(clients.log, "lines about clients left out"; "lines" => left_out);
        }
    }
}

/// Closes the connections that are needed least, a few at once: a client that does not close its own side keeps its
/// place for as long as a half-close is waited for.
fn make_room(clients: &Clients) {
    let connections = clients.connections.borrow();
    let ending = connections.values().filter(|connection| connection.ending.get().is_some()).count();
    let spare = connections
        .iter()
        .filter_map(|(no, connection)| Some((connection.spare(&clients.limits)?, *no, connection)));
    let mut spare: Vec<_> = spare.collect();
    spare.sort_unstable_by_key(|(spare, no, _)| (*spare, *no));
    let most = clients.limits.client_closings.saturating_sub(ending);
    for (_, _, connection) in spare.iter().rev().take(most) {
        connection.end(Ending::Close("its place was needed"));
    }
}

/// Accepts for as long as it is polled, also after the machine has run out of descriptors for a while. Guards
/// against clients that come by hundreds and keep their connections: those that do nothing go first.
pub async fn listen(clients: Rc<Clients>, listener: Rc<Async<TcpListener>>, executor: super::Executor) {
    let mut refused = false;
    loop {
        while clients.connections.borrow().len() >= clients.limits.clients {
            let room = clients.left.listen();
            make_room(&clients);
            let spared = async {
                Timer::after(clients.limits.client_grace / 2).await;
            };
            or(room, spared).await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                refused = false;
                take_on(&clients, stream, &executor);
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

/// Entered here and not by its task, which may run only after many more were accepted.
fn take_on(clients: &Rc<Clients>, stream: Stream, executor: &super::Executor) {
    let (no, connection) = clients.enter();
    let served = serve(clients.clone(), no, connection, Rc::new(stream), executor.clone());
    executor.spawn(served).detach();
}

/// Takes on what the machine has accepted and nobody has seen yet: with its listener such a connection would be reset,
/// and what had been asked on it would be lost.
pub fn accept_pending(clients: &Rc<Clients>, listener: &Async<TcpListener>, executor: &super::Executor) {
    while clients.connections.borrow().len() < clients.limits.clients
        && let Ok((stream, _)) = listener.get_ref().accept()
        && let Ok(stream) = Async::new(stream)
    {
        take_on(clients, stream, executor);
    }
}

/// The writer is a task of its own: what wakes one side must not make the other try its socket for nothing. Either
/// may be dropped half way: by then its client has gone, or is cut off.
async fn serve(
    clients: Rc<Clients>,
    no: ClientId,
    connection: Rc<Connection>,
    stream: Rc<Stream>,
    executor: super::Executor,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let mut writer = executor.spawn(write(clients.clone(), connection.clone(), stream.clone()));
    let reader = async {
        let mut source = SocketReader::new(&stream);
        match read(&clients, no, &connection, &mut source).await {
            Read::Gone(why) => why,
            Read::Closes(why) => {
                close(&clients, &connection, &mut source).await;
                why
            }
        }
    };
    let why = or(or(reader, &mut writer), cut_off(&connection)).await;
    debug!(clients.log, "client gone"; "client" => no, "why" => &why);
    // At once, in the turn in which its last messages were taken; its place is free only once the descriptor is, which
    // the writer holds too.
    clients.hang_up(no, &connection);
    writer.cancel().await;
    drop(stream);
    clients.leave(no);
}

/// Reads until the client has gone or the connection is to be closed. Nothing else stops it: whoever does not read
/// can't know that its client has gone.
async fn read(
    clients: &Clients,
    no: ClientId,
    connection: &Connection,
    source: &mut SocketReader<'_>,
) -> Read {
    let limits = &clients.limits;
    let (items, item_bytes) = (limits.client_items, limits.client_item_bytes);
    let bounds = Bounds {
        max_items: items,
        max_item_bytes: item_bytes,
        initial_item_capacity: limits.client_item_room,
    };
    let mut decoder = Decoder::new(bounds, limits.read_buffer);
    let mut unusable = 0;
    loop {
        let taken = match decoder.next_message() {
            Ok(Some(items)) => client::decode(items),
            Ok(None) => {
                if decoder.is_mid_message() && connection.stand.get() == Stand::AtRest {
                    connection.stands(Stand::Inside);
                }
                match next_bytes(connection, source, &mut decoder).await {
                    Ok(()) => continue,
                    Err(read) => return read,
                }
            }
            Err(fault) => Err(fault),
        };
        let message = match taken {
            Ok(message) => message,
            Err(fault) => {
                clients.complain(no, "client ended: unreadable", &fault.to_string());
                return Read::Closes(fault.to_string());
            }
        };
        connection.stands(Stand::AtRest);
        // Two answers under one tag could not be told apart, whatever they said.
        let tag = message.answer_tag();
        if tag.is_some_and(|tag| connection.open.borrow().contains_key(&tag)) {
            clients.complain(no, "client ended: a tag twice", "");
            return Read::Closes("a tag twice".into());
        }
        if let Some((tag, why)) = taken_in(clients, no, connection, message) {
            unusable += 1;
            if unusable > limits.client_unusable {
                // A flood: what it holds open takes room from others, so that nothing more is done for it.
                return Read::Gone("too many unusable messages".into());
            }
            clients.complain(no, "client message unusable", why);
            clients.queue(connection, client::encode_answer(tag, &ToClient::Abandoned));
        }
    }
}

/// Carries out what a message asks for; gives its tag and the reason where it can't be.
fn taken_in(
    clients: &Clients,
    no: ClientId,
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
            if clients.close_one(connection, tag) {
                clients.tell(Input::Cancel { client: no, tag });
            }
        }
        FromClient::Download { tag, .. } if connection.open.borrow().len() >= limits.client_open => {
            return Some((tag, "too many open"));
        }
        FromClient::Download { tag, .. } if clients.is_full(connection) => {
            let retry_after_ms = limits.full_retry_after.as_millis() as u64;
            clients.queue(connection, client::encode_answer(tag, &ToClient::Throttled { retry_after_ms }));
        }
        FromClient::Download { tag, request: wish } => {
            clients.open_one(connection, tag, wish.body.len() + limits.download_bytes);
            clients.tell(Input::Download { client: no, tag, wish, at: clients.clock.now() });
        }
    }
    None
}

/// Waits for more from the client, or for the moment in which the connection may be closed. It looks before it waits,
/// in the turn in which the last messages were taken: of a client that asked and left while nobody read, the routing
/// task hears both at once, and what was there before a close is taken.
async fn next_bytes(
    connection: &Connection,
    source: &mut SocketReader<'_>,
    decoder: &mut Decoder,
) -> Result<(), Read> {
    let gone = |why: String| Err(Read::Gone(why));
    if source.expects_more() {
        // Guards others' time against a client that always has more.
        yield_now().await;
    }
    loop {
        let (rests, ended) = (connection.rests.listen(), connection.ended.listen());
        match source.try_read(decoder) {
            Ok(None) => {}
            Ok(Some(0)) => return gone("closed by the client".into()),
            Ok(Some(_)) => return Ok(()),
            Err(why) => return gone(why.to_string()),
        }
        if let Some(why) = connection.may_close(decoder.is_mid_message()) {
            return Err(Read::Closes(why.into()));
        }
        // What is dropped here has read nothing.
        let readable = async { source.readable().await.err() };
        let look = async {
            or(rests, ended).await;
            None
        };
        if let Some(why) = or(readable, look).await {
            return gone(why.to_string());
        }
    }
}

/// Guards answers that are on their way against a reset: a close over unread bytes sends one. What is open gets its
/// answer, then this side is shut, and what the client still writes is thrown away until it has closed its own.
async fn close(clients: &Clients, connection: &Connection, source: &mut SocketReader<'_>) {
    let limits = &clients.limits;
    let answered = async {
        loop {
            let rests = connection.rests.listen();
            if connection.has_nothing_open() {
                return true;
            }
            rests.await;
        }
    };
    let gone = async {
        discard(source, limits.client_discarded_bytes).await;
        false
    };
    if !or(answered, gone).await {
        return;
    }
    let _ = source.stream().get_ref().shutdown(Shutdown::Write);
    let late = async {
        Timer::after(limits.client_linger).await;
    };
    or(discard(source, limits.client_discarded_bytes), late).await;
}

/// Returns once the client has gone; past the bound it never does.
async fn discard(source: &mut SocketReader<'_>, most: usize) {
    let mut left = most;
    while left > 0 {
        match source.discard().await {
            Ok(bytes) if bytes > 0 => left = left.saturating_sub(bytes),
            _ => return,
        }
        yield_now().await;
    }
    std::future::pending().await
}

fn take_packets(queue: &mut VecDeque<Packet>, most: usize) -> Vec<Packet> {
    let packets = most.min(queue.len());
    queue.drain(..packets).collect()
}

async fn write(clients: Rc<Clients>, connection: Rc<Connection>, stream: Rc<Stream>) -> String {
    loop {
        let packets = take_packets(&mut connection.queue.borrow_mut(), clients.limits.packets_at_once);
        if packets.is_empty() {
            let wake = connection.wake.listen();
            if connection.queue.borrow().is_empty() {
                wake.await;
            }
            continue;
        }
        let progress = |bytes| {
            if connection.is_cut() {
                return;
            }
            connection.wrote.set(Instant::now());
            if connection.stand.get() == Stand::AtRest {
                connection.since.set(connection.wrote.get());
            }
            connection.unsent.set(connection.unsent.get() - bytes);
            clients.unsent.set(clients.unsent.get() - bytes);
            clients.look_again(&connection);
        };
        if let Err(why) = write_packets(&stream, &packets, progress).await {
            return why.to_string();
        }
    }
}

/// Waits until this connection is cut.
async fn cut_off(connection: &Connection) -> String {
    loop {
        let ended = connection.ended.listen();
        if let Some(Ending::Cut(why)) = connection.ending.get() {
            return why.into();
        }
        ended.await;
    }
}
