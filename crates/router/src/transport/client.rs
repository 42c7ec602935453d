//! Connections from clients. Each has a reader, which stops while too much is open or unsent, a writer with
//! its own queue, and a watch that ends connections on which a peer has stalled.
use super::{Source, Stream, write_packets};
use crate::program::limits::Limits;
use crate::protocol::Packet;
use crate::protocol::client::{self, FromClient, ToClient};
use crate::protocol::resp::{Bounds, Decoder};
use crate::routing::clock::Clock;
use crate::routing::{ClientNo, News};
use async_channel::Sender;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use slog::{Logger, debug, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Instant;

/// One client connection, as far as others than its own task need it.
struct Line {
    queue: RefCell<VecDeque<Packet>>,
    open: RefCell<HashSet<u64>>,
    unsent: Cell<usize>,
    wrote: Cell<Instant>,
    read: Cell<Instant>,
    ending: Cell<bool>,
    wake: Event,
    room: Event,
}

/// All client connections.
pub struct Clients {
    limits: Rc<Limits>,
    clock: Clock,
    inbox: Sender<News>,
    log: Logger,
    lines: RefCell<HashMap<ClientNo, Rc<Line>>>,
    open: Cell<usize>,
    unsent: Cell<usize>,
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
            unsent: Cell::new(0),
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
        let Some(line) = line.filter(|line| line.open.borrow_mut().remove(&tag)) else { return };
        self.closed_one(&line);
        if !line.ending.get() {
            self.queue(&line, client::write(tag, answer));
        }
    }

    /// Answers all that is still open.
    pub fn abandon_all(&self) {
        let lines: Vec<_> = self.lines.borrow().iter().map(|(no, line)| (*no, line.clone())).collect();
        for (no, line) in lines {
            let tags: Vec<u64> = line.open.borrow().iter().copied().collect();
            tags.into_iter().for_each(|tag| self.answer(no, tag, &ToClient::Abandoned));
        }
    }

    fn closed_one(&self, line: &Line) {
        self.open.set(self.open.get() - 1);
        self.room.notify(usize::MAX);
        line.room.notify(usize::MAX);
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
        let fullest =
            lines.iter().filter(|(_, l)| !l.ending.get()).max_by_key(|(no, l)| (l.unsent.get(), **no));
        if let Some((no, line)) = fullest {
            warn!(self.log, "client ended: too much unsent"; "client" => no, "bytes" => line.unsent.get());
            line.ending.set(true);
            line.wake.notify(usize::MAX);
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
            unsent: Cell::new(0),
            wrote: Cell::new(now),
            read: Cell::new(now),
            ending: Cell::new(false),
            wake: Event::new(),
            room: Event::new(),
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
        self.room.notify(usize::MAX);
        if open > 0 {
            let _ = self.inbox.send(News::HungUp { client }).await;
        }
    }
}

/// Accepts for as long as it is polled, also after the machine has run out of descriptors for a while.
pub async fn listen(clients: Rc<Clients>, listener: Async<TcpListener>, executor: super::Executor) {
    let mut refused = false;
    loop {
        while clients.lines.borrow().len() >= clients.limits.clients {
            let room = clients.room.listen();
            if clients.lines.borrow().len() >= clients.limits.clients {
                room.await;
            }
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                refused = false;
                executor.spawn(serve(clients.clone(), Rc::new(stream), executor.clone())).detach();
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
async fn serve(clients: Rc<Clients>, stream: Rc<Stream>, executor: super::Executor) {
    let _ = stream.get_ref().set_nodelay(true);
    let (no, line) = clients.enter();
    let writer = executor.spawn(write(clients.clone(), line.clone(), stream.clone()));
    let why = or(or(read(&clients, no, &line, &stream), writer), watch(&clients, &line)).await;
    debug!(clients.log, "client gone"; "client" => no, "why" => &why);
    clients.leave(no).await;
}

async fn read(clients: &Clients, no: ClientNo, line: &Line, stream: &Stream) -> String {
    let limits = &clients.limits;
    let bounds = Bounds { items: limits.client_items, item_bytes: limits.client_item_bytes };
    let mut decoder = Decoder::new(bounds, limits.read_buffer);
    let mut source = Source::new(stream);
    loop {
        let items = match decoder.take() {
            Ok(Some(items)) => items,
            Ok(None) => {
                match source.read_into(&mut decoder).await {
                    Ok(0) => return "closed by the client".into(),
                    Ok(_) => {}
                    Err(why) => return why.to_string(),
                }
                line.read.set(Instant::now());
                continue;
            }
            Err(fault) => {
                info!(clients.log, "client ended: unreadable"; "client" => no, "why" => %fault);
                return fault.to_string();
            }
        };
        let message = match client::read(items) {
            Ok(message) => message,
            Err(fault) => {
                info!(clients.log, "client ended: unreadable"; "client" => no, "why" => %fault);
                return fault.to_string();
            }
        };
        // Two answers under one tag could not be told apart, whatever they said.
        let tag = message.answered_under();
        if tag.is_some_and(|tag| line.open.borrow().contains(&tag)) {
            info!(clients.log, "client ended: a tag twice"; "client" => no);
            return "a tag twice".into();
        }
        match message {
            FromClient::Status { tag } => {
                let ready = if clients.ready.get() { ToClient::Ready } else { ToClient::NotReady };
                clients.queue(line, client::write(tag, &ready));
            }
            FromClient::Unusable { tag, why } => {
                info!(clients.log, "client message unusable"; "client" => no, "why" => why);
                clients.queue(line, client::write(tag, &ToClient::Abandoned));
            }
            FromClient::NeverMind { tag } => {
                if line.open.borrow_mut().remove(&tag) {
                    clients.closed_one(line);
                    let _ = clients.inbox.send(News::NeverMind { client: no, tag }).await;
                }
            }
            FromClient::Wish { tag, wish } => {
                let at = clients.clock.now();
                if line.open.borrow().len() >= limits.client_open {
                    info!(clients.log, "client message unusable"; "client" => no, "why" => "too many open");
                    clients.queue(line, client::write(tag, &ToClient::Abandoned));
                    continue;
                }
                line.open.borrow_mut().insert(tag);
                clients.open.set(clients.open.get() + 1);
                clients.asked.set(Instant::now());
                let _ = clients.inbox.send(News::Asked { client: no, tag, wish, at }).await;
            }
        }
        wait_for_room(clients, line).await;
    }
}

/// Backpressure: past a bound nothing more is read from this client.
async fn wait_for_room(clients: &Clients, line: &Line) {
    let limits = &clients.limits;
    let full = || clients.open.get() >= limits.downloads;
    let behind = || line.unsent.get() >= limits.client_unsent_bytes;
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
            if line.queue.borrow().is_empty() && !line.ending.get() {
                wake.await;
            }
            if line.ending.get() {
                return "ended here".into();
            }
            continue;
        }
        let progress = |bytes| {
            if line.ending.get() {
                return;
            }
            line.wrote.set(Instant::now());
            line.unsent.set(line.unsent.get() - bytes);
            clients.unsent.set(clients.unsent.get() - bytes);
            line.room.notify(usize::MAX);
        };
        if let Err(why) = write_packets(&stream, &packets, progress).await {
            return why.to_string();
        }
    }
}

/// Ends a connection whose client takes nothing, stops inside a message, or has been silent for long.
async fn watch(clients: &Clients, line: &Line) -> String {
    let limits = &clients.limits;
    loop {
        Timer::after(limits.watch_every).await;
        if line.ending.get() {
            return "ended here".into();
        }
        if line.unsent.get() > 0 && line.wrote.get().elapsed() > limits.client_stall {
            return "the client takes nothing".into();
        }
        let quiet = line.unsent.get() == 0 && line.open.borrow().is_empty();
        if quiet && line.read.get().elapsed() > limits.client_idle {
            return "idle".into();
        }
    }
}
