//! Connections from clients. Each has a reader, which stops while too much is open or unsent, and a writer with
//! its own queue. One sweep over all of them ends those that have stalled, and where no more connections may
//! be held, the one that is needed least.
use super::{Source, Stream, write_packets};
use crate::program::limits::Limits;
use crate::routing::{ClientNo, News};
use async_channel::Sender;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use harestage_sockets::clock::Clock;
use harestage_wire::Packet;
use harestage_wire::client::{self, FromClient, ToClient};
use harestage_wire::resp::{Bounds, Decoder};
use slog::{Logger, debug, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::TcpListener;
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

/// One client connection, as far as others than its own task need it.
struct Line {
    queue: RefCell<VecDeque<Packet>>,
    /// Downloads that are not answered yet, by tag, and the bytes that each holds.
    open: RefCell<HashMap<u64, usize>>,
    held: Cell<usize>,
    unsent: Cell<usize>,
    wrote: Cell<Instant>,
    stand: Cell<Stand>,
    /// Since when it stands so.
    since: Cell<Instant>,
    ending: Cell<Option<&'static str>>,
    wake: Event,
    room: Event,
    ended: Event,
}

impl Line {
    fn stands(&self, stand: Stand) {
        self.stand.set(stand);
        self.since.set(Instant::now());
    }

    fn has_nothing_open(&self) -> bool {
        self.unsent.get() == 0 && self.open.borrow().is_empty()
    }

    fn end(&self, why: &'static str) {
        self.ending.set(Some(why));
        self.ended.notify(usize::MAX);
    }

    /// Why it has to go, if it has.
    fn overdue(&self, limits: &Limits) -> Option<&'static str> {
        let stood = self.since.get().elapsed();
        if self.unsent.get() > 0 {
            return (self.wrote.get().elapsed() > limits.client_stall).then_some("the client takes nothing");
        }
        // What is read no further because of open downloads is not the client's delay.
        match self.stand.get() {
            Stand::New => (stood > limits.client_first).then_some("no message came"),
            Stand::Inside if self.open.borrow().is_empty() => {
                (stood > limits.client_message).then_some("a message did not end")
            }
            Stand::AtRest if self.open.borrow().is_empty() => (stood > limits.client_idle).then_some("idle"),
            _ => None,
        }
    }

    /// How well a further client may have this one's place: first those that never said anything, then the one
    /// at rest for longest. None: it has something open, or had no time to speak.
    fn spare(&self, limits: &Limits) -> Option<(bool, Duration)> {
        let (stand, stood) = (self.stand.get(), self.since.get().elapsed());
        let may_go = self.ending.get().is_none() && self.has_nothing_open() && stood > limits.client_grace;
        may_go.then_some((stand == Stand::New, stood))
    }
}

/// All client connections.
pub struct Clients {
    limits: Rc<Limits>,
    clock: Clock,
    inbox: Sender<News>,
    log: Logger,
    lines: RefCell<HashMap<ClientNo, Rc<Line>>>,
    open: Cell<usize>,
    held: Cell<usize>,
    unsent: Cell<usize>,
    /// Lines about clients in the log since the last sweep, those that were left out among them.
    complaints: Cell<u64>,
    last: Cell<ClientNo>,
    asked: Cell<Instant>,
    ready: Cell<bool>,
    /// A connection has gone, or a download was answered.
    room: Event,
}

impl Clients {
    pub fn new(limits: Rc<Limits>, clock: Clock, inbox: Sender<News>, log: Logger) -> Rc<Clients> {
        Rc::new(Clients {
            limits,
            clock,
            inbox,
            log,
            lines: RefCell::default(),
            open: Cell::new(0),
            held: Cell::new(0),
            unsent: Cell::new(0),
            complaints: Cell::new(0),
            last: Cell::new(0),
            asked: Cell::new(Instant::now()),
            ready: Cell::new(false),
            room: Event::new(),
        })
    }

    pub fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    /// Nothing is open and all that was answered is written.
    pub fn is_idle(&self) -> bool {
        self.open.get() == 0 && self.unsent.get() == 0
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// When a download came last.
    pub fn last_asked(&self) -> Instant {
        self.asked.get()
    }

    /// Answers a download that is still open; a client that has gone or said never mind gets nothing.
    pub fn answer(&self, client: ClientNo, tag: u64, answer: &ToClient) {
        let line = self.lines.borrow().get(&client).cloned();
        let Some(line) = line.filter(|line| self.close_one(line, tag)) else { return };
        if line.ending.get().is_none() {
            self.queue(&line, client::write(tag, answer));
        }
    }

    /// Answers all that is still open.
    pub fn abandon_all(&self) {
        let lines: Vec<_> = self.lines.borrow().iter().map(|(no, line)| (*no, line.clone())).collect();
        for (no, line) in lines {
            let tags: Vec<u64> = line.open.borrow().keys().copied().collect();
            tags.into_iter().for_each(|tag| self.answer(no, tag, &ToClient::Abandoned));
        }
    }

    fn open_one(&self, line: &Line, tag: u64, bytes: usize) {
        line.open.borrow_mut().insert(tag, bytes);
        line.held.set(line.held.get() + bytes);
        self.held.set(self.held.get() + bytes);
        self.open.set(self.open.get() + 1);
        self.asked.set(Instant::now());
    }

    fn close_one(&self, line: &Line, tag: u64) -> bool {
        let Some(bytes) = line.open.borrow_mut().remove(&tag) else { return false };
        line.held.set(line.held.get() - bytes);
        self.held.set(self.held.get() - bytes);
        self.open.set(self.open.get() - 1);
        self.room.notify(usize::MAX);
        line.room.notify(usize::MAX);
        true
    }

    /// Guards the log, and the core that writes it, against clients that misbehave by hundreds.
    fn complain(&self, client: ClientNo, what: &str, why: &str) {
        self.complaints.set(self.complaints.get() + 1);
        if self.complaints.get() <= self.limits.complaints {
            info!(self.log, "{}", what; "client" => client, "why" => why);
        }
    }

    fn queue(&self, line: &Line, packet: Packet) {
        if line.unsent.get() == 0 {
            line.wrote.set(Instant::now());
        }
        line.unsent.set(line.unsent.get() + packet.len());
        self.unsent.set(self.unsent.get() + packet.len());
        line.queue.borrow_mut().push_back(packet);
        line.wake.notify(usize::MAX);
        if self.unsent.get() > self.limits.unsent_bytes {
            self.end_fullest();
        }
    }

    /// Guards the memory limit against clients that ask and don't read: the one with most waiting goes.
    fn end_fullest(&self) {
        let lines = self.lines.borrow();
        let fullest = lines
            .iter()
            .filter(|(_, l)| l.ending.get().is_none())
            .max_by_key(|(no, l)| (l.unsent.get(), **no));
        if let Some((no, line)) = fullest {
            warn!(self.log, "client ended: too much unsent"; "client" => no, "bytes" => line.unsent.get());
            line.end("too much unsent");
            // Counted out at once, or the next answer would end the next client for the same bytes.
            line.queue.borrow_mut().clear();
            self.unsent.set(self.unsent.get() - line.unsent.replace(0));
        }
    }

    fn enter(&self) -> (ClientNo, Rc<Line>) {
        let now = Instant::now();
        let line = Rc::new(Line {
            queue: RefCell::default(),
            open: RefCell::default(),
            held: Cell::new(0),
            unsent: Cell::new(0),
            wrote: Cell::new(now),
            stand: Cell::new(Stand::New),
            since: Cell::new(now),
            ending: Cell::new(None),
            wake: Event::new(),
            room: Event::new(),
            ended: Event::new(),
        });
        self.last.set(self.last.get() + 1);
        self.lines.borrow_mut().insert(self.last.get(), line.clone());
        (self.last.get(), line)
    }

    async fn leave(&self, client: ClientNo) {
        let Some(line) = self.lines.borrow_mut().remove(&client) else { return };
        self.unsent.set(self.unsent.get() - line.unsent.get());
        let open = line.open.borrow().len();
        self.open.set(self.open.get() - open);
        self.held.set(self.held.get() - line.held.get());
        self.room.notify(usize::MAX);
        if open > 0 {
            let _ = self.inbox.send(News::HungUp { client }).await;
        }
    }
}

/// Ends what is overdue, for as long as it is polled.
pub async fn sweep(clients: Rc<Clients>) {
    loop {
        Timer::after(clients.limits.sweep_every).await;
        for line in clients.lines.borrow().values().filter(|line| line.ending.get().is_none()) {
            if let Some(why) = line.overdue(&clients.limits) {
                line.end(why);
            }
        }
        let left_out = clients.complaints.take().saturating_sub(clients.limits.complaints);
        if left_out > 0 {
            info!(clients.log, "lines about clients left out"; "lines" => left_out);
        }
    }
}

/// Ends the client that is needed least; false if all are at work or have just come.
fn make_room(clients: &Clients) -> bool {
    let lines = clients.lines.borrow();
    let spare = lines.iter().filter_map(|(no, line)| Some((line.spare(&clients.limits)?, *no, line)));
    let Some((_, _, line)) = spare.max_by_key(|(spare, no, _)| (*spare, *no)) else { return false };
    line.end("its place was needed");
    true
}

/// Accepts for as long as it is polled, also after the machine has run out of descriptors for a while. Guards
/// against clients that come by hundreds and keep their connections: those that do nothing go first.
pub async fn listen(clients: Rc<Clients>, listener: Async<TcpListener>, executor: super::Executor) {
    let mut refused = false;
    loop {
        while clients.lines.borrow().len() >= clients.limits.clients {
            let room = clients.room.listen();
            let ending = clients.lines.borrow().values().any(|line| line.ending.get().is_some());
            if !ending {
                make_room(&clients);
            }
            let spared = async {
                Timer::after(clients.limits.client_grace / 2).await;
            };
            or(room, spared).await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                refused = false;
                // Entered here and not by its task, which may run only after many more were accepted.
                let (no, line) = clients.enter();
                let served = serve(clients.clone(), no, line, Rc::new(stream), executor.clone());
                executor.spawn(served).detach();
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

/// The writer is a task of its own: what wakes one side must not make the other try its socket for nothing.
async fn serve(
    clients: Rc<Clients>,
    no: ClientNo,
    line: Rc<Line>,
    stream: Rc<Stream>,
    executor: super::Executor,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let writer = executor.spawn(write(clients.clone(), line.clone(), stream.clone()));
    let why = or(or(read(&clients, no, &line, &stream), writer), end_of(&line)).await;
    debug!(clients.log, "client gone"; "client" => no, "why" => &why);
    clients.leave(no).await;
}

async fn read(clients: &Clients, no: ClientNo, line: &Line, stream: &Stream) -> String {
    let limits = &clients.limits;
    let (items, item_bytes) = (limits.client_items, limits.client_item_bytes);
    let bounds = Bounds { items, item_bytes, item_room: limits.client_item_room };
    let mut decoder = Decoder::new(bounds, limits.read_buffer);
    let mut source = Source::new(stream);
    let mut unusable = 0;
    loop {
        let taken = match decoder.take() {
            Ok(Some(items)) => client::read(items),
            Ok(None) => {
                if decoder.is_inside() && line.stand.get() == Stand::AtRest {
                    line.stands(Stand::Inside);
                }
                match source.read_into(&mut decoder).await {
                    Ok(0) => return "closed by the client".into(),
                    Ok(_) => continue,
                    Err(why) => return why.to_string(),
                }
            }
            Err(fault) => Err(fault),
        };
        let message = match taken {
            Ok(message) => message,
            Err(fault) => {
                clients.complain(no, "client ended: unreadable", &fault.to_string());
                return fault.to_string();
            }
        };
        line.stands(Stand::AtRest);
        // Two answers under one tag could not be told apart, whatever they said.
        let tag = message.answered_under();
        if tag.is_some_and(|tag| line.open.borrow().contains_key(&tag)) {
            clients.complain(no, "client ended: a tag twice", "");
            return "a tag twice".into();
        }
        let refused = match message {
            FromClient::Status { tag } => {
                let ready = if clients.ready.get() { ToClient::Ready } else { ToClient::NotReady };
                clients.queue(line, client::write(tag, &ready));
                None
            }
            FromClient::Unusable { tag, why } => Some((tag, why)),
            FromClient::NeverMind { tag } => {
                if clients.close_one(line, tag) {
                    let _ = clients.inbox.send(News::NeverMind { client: no, tag }).await;
                }
                None
            }
            FromClient::Wish { tag, .. } if line.open.borrow().len() >= limits.client_open => {
                Some((tag, "too many open"))
            }
            FromClient::Wish { tag, wish } => {
                let at = clients.clock.now();
                clients.open_one(line, tag, wish.body.len() + limits.download_bytes);
                let _ = clients.inbox.send(News::Asked { client: no, tag, wish, at }).await;
                None
            }
        };
        if let Some((tag, why)) = refused {
            unusable += 1;
            if unusable > limits.client_unusable {
                return "too many unusable messages".into();
            }
            clients.complain(no, "client message unusable", why);
            clients.queue(line, client::write(tag, &ToClient::Abandoned));
        }
        wait_for_room(clients, line).await;
    }
}

/// Backpressure: past a bound nothing more is read from this client.
async fn wait_for_room(clients: &Clients, line: &Line) {
    let limits = &clients.limits;
    // One that holds no more than its part is read on: a few that send much must not stop all others.
    let part = limits.held_bytes / limits.clients;
    let full = || {
        clients.open.get() >= limits.downloads
            || clients.held.get() >= limits.held_bytes && line.held.get() > part
    };
    let behind =
        || line.unsent.get() >= limits.client_unsent_bytes || line.held.get() >= limits.client_held_bytes;
    while full() || behind() {
        let (all, own) = (clients.room.listen(), line.room.listen());
        if full() {
            all.await;
        } else if behind() {
            own.await;
        }
    }
}

fn take_packets(queue: &mut VecDeque<Packet>, most: usize) -> Vec<Packet> {
    let packets = most.min(queue.len());
    queue.drain(..packets).collect()
}

async fn write(clients: Rc<Clients>, line: Rc<Line>, stream: Rc<Stream>) -> String {
    loop {
        let packets = take_packets(&mut line.queue.borrow_mut(), clients.limits.packets_at_once);
        if packets.is_empty() {
            let wake = line.wake.listen();
            if line.queue.borrow().is_empty() {
                wake.await;
            }
            continue;
        }
        let progress = |bytes| {
            if line.ending.get().is_some() {
                return;
            }
            line.wrote.set(Instant::now());
            if line.stand.get() == Stand::AtRest {
                line.since.set(line.wrote.get());
            }
            line.unsent.set(line.unsent.get() - bytes);
            clients.unsent.set(clients.unsent.get() - bytes);
            line.room.notify(usize::MAX);
        };
        if let Err(why) = write_packets(&stream, &packets, progress).await {
            return why.to_string();
        }
    }
}

/// Waits until someone else ends this connection.
async fn end_of(line: &Line) -> String {
    loop {
        let ended = line.ended.listen();
        if let Some(why) = line.ending.get() {
            return why.into();
        }
        ended.await;
    }
}
