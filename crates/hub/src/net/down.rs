//! Connections from below. Each has a reader, which stops while too much is open or unsent, and a writer; one sweep
//! ends those that stall. Noise ends its own connection and nothing else.
use super::Shared;
use crate::desk::{ConnNo, News};
use crate::start::Limits;
use async_channel::Sender;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::{or, yield_now};
use harestage_sockets::accept::extend_listen_queue;
use harestage_sockets::send_queue::{SendQueue, queued_bytes};
use harestage_sockets::{SocketReader, Spawner, Stream};
use harestage_wire::Packet;
use harestage_wire::fields::HexId;
use harestage_wire::node::{self, OutgoingAnswer, ToNode};
use harestage_wire::peer::{self, LIVENESS_TAG_PREFIX, NAME_TAG};
use harestage_wire::resp::{Bounds, Decoder};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Packets that are written with one call to the system.
const AT_ONCE: usize = 32;
const ITEM_ROOM: usize = 2 << 10;
const READ_BUFFER: usize = 16 << 10;
const SWEEP: Duration = Duration::from_millis(250);
/// Lines about connections in the log between two sweeps.
const COMPLAINTS: u32 = 5;

struct Line {
    queue: RefCell<SendQueue>,
    open: RefCell<HashSet<HexId>>,
    unsent: Cell<usize>,
    wrote: Cell<Instant>,
    /// Since when a message stands half read.
    inside: Cell<Option<Instant>>,
    rests: Cell<Instant>,
    ending: Cell<bool>,
    wake: Event,
    room: Event,
    ended: Event,
}

impl Line {
    fn end(&self) {
        self.ending.set(true);
        self.ended.notify(usize::MAX);
    }

    fn overdue(&self, limits: &Limits) -> bool {
        let stalled = self.unsent.get() > 0 && self.wrote.get().elapsed() > limits.stall;
        let half = self.inside.get().is_some_and(|since| since.elapsed() > limits.message);
        let at_rest = self.unsent.get() == 0 && self.open.borrow().is_empty();
        stalled || half || at_rest && self.rests.get().elapsed() > limits.idle
    }
}

pub(crate) struct Below {
    limits: Rc<Limits>,
    shared: Rc<Shared>,
    inbox: Sender<News>,
    log: Logger,
    lines: RefCell<BTreeMap<ConnNo, Rc<Line>>>,
    last: Cell<ConnNo>,
    unsent: Cell<usize>,
    complaints: Cell<u32>,
    room: Event,
}

impl Below {
    pub fn new(limits: Rc<Limits>, shared: Rc<Shared>, inbox: Sender<News>, log: Logger) -> Rc<Below> {
        Rc::new(Below {
            limits,
            shared,
            inbox,
            log,
            lines: RefCell::default(),
            last: Cell::new(0),
            unsent: Cell::new(0),
            complaints: Cell::new(0),
            room: Event::new(),
        })
    }

    /// Queues an answer; whoever has gone, or taken its pull back, gets none.
    pub fn answer(&self, conn: ConnNo, given: &OutgoingAnswer) {
        let line = self.lines.borrow().get(&conn).cloned();
        let Some(line) = line.filter(|line| line.open.borrow_mut().remove(&given.id)) else { return };
        line.room.notify(usize::MAX);
        self.queue(&line, node::encode_answer(given));
    }

    fn queue(&self, line: &Line, packet: Packet) {
        if line.ending.get() {
            return;
        }
        if line.unsent.get() == 0 {
            line.wrote.set(Instant::now());
        }
        let bytes = queued_bytes(&packet);
        line.unsent.set(line.unsent.get() + bytes);
        self.unsent.set(self.unsent.get() + bytes);
        line.queue.borrow_mut().push(packet);
        line.wake.notify(usize::MAX);
        if self.unsent.get() > self.limits.all_unsent {
            self.end_fullest();
        }
    }

    /// Guards memory against those that ask and don't read.
    fn end_fullest(&self) {
        let lines = self.lines.borrow();
        let fullest =
            lines.iter().filter(|(_, l)| !l.ending.get()).max_by_key(|(no, l)| (l.unsent.get(), **no));
        if let Some((no, line)) = fullest {
            warn!(self.log, "connection ended: too much unsent"; "conn" => no, "bytes" => line.unsent.get());
            line.end();
            line.queue.borrow_mut().clear();
            self.unsent.set(self.unsent.get() - line.unsent.replace(0));
        }
    }

    fn complain(&self, conn: ConnNo, why: &str) {
        self.complaints.set(self.complaints.get() + 1);
        if self.complaints.get() <= COMPLAINTS {
            info!(self.log, "connection ended"; "conn" => conn, "why" => why);
        }
    }

    fn enter(&self) -> (ConnNo, Rc<Line>) {
        let now = Instant::now();
        let line = Rc::new(Line {
            queue: RefCell::default(),
            open: RefCell::default(),
            unsent: Cell::new(0),
            wrote: Cell::new(now),
            inside: Cell::new(None),
            rests: Cell::new(now),
            ending: Cell::new(false),
            wake: Event::new(),
            room: Event::new(),
            ended: Event::new(),
        });
        self.last.set(self.last.get() + 1);
        self.lines.borrow_mut().insert(self.last.get(), line.clone());
        (self.last.get(), line)
    }

    async fn leave(&self, conn: ConnNo) {
        let Some(line) = self.lines.borrow_mut().remove(&conn) else { return };
        self.unsent.set(self.unsent.get() - line.unsent.get());
        self.room.notify(usize::MAX);
        let _ = self.inbox.send(News::Gone { conn }).await;
    }
}

pub(crate) async fn sweep(below: Rc<Below>) {
    loop {
        Timer::after(SWEEP).await;
        below.complaints.set(0);
        for line in below.lines.borrow().values().filter(|line| !line.ending.get()) {
            if line.overdue(&below.limits) {
                line.end();
            }
        }
    }
}

pub(crate) async fn listen(below: Rc<Below>, listener: Async<TcpListener>, spawner: Spawner) {
    if let Err(why) = extend_listen_queue(&listener, below.limits.connections) {
        warn!(below.log, "listen queue not extended"; "why" => %why);
    }
    loop {
        while below.lines.borrow().len() >= below.limits.connections {
            let room = below.room.listen();
            end_the_idlest(&below);
            or(room, async {
                Timer::after(SWEEP).await;
            })
            .await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let (no, line) = below.enter();
                let served = serve(below.clone(), no, line, Rc::new(stream), spawner.clone());
                spawner.spawn(served);
            }
            Err(why) => {
                warn!(below.log, "accept failed"; "why" => %why);
                Timer::after(SWEEP).await;
            }
        }
    }
}

/// One that has something open keeps its place.
fn end_the_idlest(below: &Below) {
    let lines = below.lines.borrow();
    let idle =
        lines.values().filter(|l| l.unsent.get() == 0 && l.open.borrow().is_empty() && !l.ending.get());
    if let Some(line) = idle.min_by_key(|line| line.rests.get()) {
        line.end();
    }
}

async fn serve(below: Rc<Below>, no: ConnNo, line: Rc<Line>, stream: Rc<Stream>, spawner: Spawner) {
    let _ = stream.get_ref().set_nodelay(true);
    let writer = spawner.spawn_with_handle(write(below.clone(), line.clone(), stream.clone()));
    let ended = async {
        while !line.ending.get() {
            line.ended.listen().await;
        }
        String::new()
    };
    let why = or(or(read(&below, no, &line, &stream), writer), ended).await;
    if !why.is_empty() {
        below.complain(no, &why);
    }
    line.ending.set(true);
    below.leave(no).await;
}

/// Reads until the other side closes, which says nothing, or sends what can't be read.
async fn read(below: &Below, no: ConnNo, line: &Line, stream: &Stream) -> String {
    let limits = &below.limits;
    let bounds = Bounds {
        max_items: limits.items,
        max_item_bytes: limits.asked_bytes,
        initial_item_capacity: ITEM_ROOM,
    };
    let mut decoder = Decoder::new(bounds, READ_BUFFER);
    let mut source = SocketReader::new(stream);
    loop {
        let items = match decoder.next_message() {
            Ok(Some(items)) => items,
            Ok(None) => {
                line.inside
                    .set(decoder.is_mid_message().then(|| line.inside.get().unwrap_or_else(Instant::now)));
                match source.read_into(&mut decoder).await {
                    Ok(0) => return String::new(),
                    Ok(_) => continue,
                    Err(why) => return why.to_string(),
                }
            }
            Err(fault) => return fault.to_string(),
        };
        line.inside.set(None);
        line.rests.set(Instant::now());
        let Some(message) = node::decode_message(&items) else { return "an unreadable message".into() };
        let news = match message {
            // Two answers under one id could not be told apart.
            ToNode::Serve(asked) if !line.open.borrow_mut().insert(asked.id) => return "an id twice".into(),
            ToNode::Serve(asked) => News::Asked { conn: no, asked },
            ToNode::Cancel(id) => {
                line.open.borrow_mut().remove(&id);
                News::Cancelled { conn: no, id }
            }
            ToNode::Probe(chase) => News::Chased(chase),
            ToNode::Health(tag) => {
                below.queue(line, node::encode_state(&tag, !below.shared.leaving.get(), None, None));
                continue;
            }
            ToNode::Gauges(tag) if peer::decode_start_tag(&tag).is_some() => {
                if let Some(held) = peer::decode_start_tag(&tag).flatten() {
                    below.shared.desk.borrow_mut().hold_start(held);
                }
                let start = {
                    let desk = below.shared.desk.borrow();
                    let (stage, held) =
                        (super::word(desk.start().stage()).to_string(), desk.start().is_held());
                    peer::HubStart {
                        name: below.shared.name.clone(),
                        stage,
                        copies: desk.kept() as u64,
                        held,
                    }
                };
                below.queue(line, peer::encode_start(&tag, &start));
                continue;
            }
            ToNode::Gauges(tag) if tag.starts_with(LIVENESS_TAG_PREFIX) => {
                let unseen = below.shared.desk.borrow().unseen();
                below.queue(line, peer::encode_liveness(&tag, below.shared.leaving.get(), &unseen));
                continue;
            }
            ToNode::Gauges(tag) => {
                let (fills, hits) = below.shared.desk.borrow().gauges(below.shared.clock.now());
                // Only a hub of ours asks under this tag, and is told what the platform has no field for.
                let own = (tag.as_ref() == NAME_TAG).then_some(below.shared.name.as_str());
                let gauges = format!("inflight:{fills}/x0:{hits:.3}");
                below.queue(line, node::encode_state(&tag, true, Some(&gauges), own));
                continue;
            }
        };
        let _ = below.inbox.send(news).await;
        while line.open.borrow().len() >= limits.open || line.unsent.get() >= limits.unsent {
            line.room.listen().await;
        }
    }
}

/// Writes the queue; it stays with the connection, so that ending it frees the answers at once.
async fn write(below: Rc<Below>, line: Rc<Line>, stream: Rc<Stream>) -> String {
    loop {
        if line.queue.borrow().is_empty() {
            line.wake.listen().await;
            continue;
        }
        let written = line.queue.borrow_mut().try_write(&stream, AT_ONCE);
        match written {
            Ok(Some(freed)) => {
                line.wrote.set(Instant::now());
                line.rests.set(line.wrote.get());
                line.unsent.set(line.unsent.get() - freed);
                below.unsent.set(below.unsent.get() - freed);
                line.room.notify(usize::MAX);
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
