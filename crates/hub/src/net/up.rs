//! Connections to what a hub fills from: one each, so that a chase never overtakes the pull that it follows. Its end
//! tells all that is open on it; a source that owes answers and says nothing for long is taken for gone.
use crate::desk::{Ask, News, Peer, PullNo};
use crate::start::Limits;
use async_channel::Sender;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use harestage::time::Span;
use harestage_sockets::{SocketReader, Spawner, Stream, write_packets};
use harestage_wire::Packet;
use harestage_wire::fields::{self, HexId};
use harestage_wire::node::{self, AnswerStatus, Request};
use harestage_wire::peer::{self, CycleProbe, LIVENESS_TAG_PREFIX, NAME_TAG};
use harestage_wire::resp::{Bounds, Decoder};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

const ITEM_ROOM: usize = 64 << 10;
const READ_BUFFER: usize = 16 << 10;
const LOOKS: Duration = Duration::from_millis(100);
/// On a connection that is not up yet.
const MOST_QUESTIONS: usize = 8;
const IDLE: Duration = Duration::from_secs(20);
/// What a source says of when to come again is believed up to here.
const LONGEST_COME_MS: u64 = 60_000;

struct Queued {
    pull: Option<PullNo>,
    packet: Packet,
}

struct Wire {
    queue: RefCell<VecDeque<Queued>>,
    /// Pulls that are owed an answer, queued or written.
    open: RefCell<HashMap<PullNo, Instant>>,
    heard: Cell<Instant>,
    used: Cell<Instant>,
    ended: Cell<bool>,
    wake: Event,
}

struct Common {
    limits: Rc<Limits>,
    inbox: Sender<News>,
    log: Logger,
}

pub(crate) struct Above {
    common: Rc<Common>,
    spawner: Spawner,
    wires: HashMap<Peer, Rc<Wire>>,
    on: HashMap<PullNo, Rc<Wire>>,
}

impl Above {
    pub fn new(limits: Rc<Limits>, inbox: Sender<News>, log: Logger, spawner: Spawner) -> Above {
        let common = Rc::new(Common { limits, inbox, log });
        Above { common, spawner, wires: HashMap::new(), on: HashMap::new() }
    }

    pub fn pull(&mut self, pull: PullNo, to: &Peer, ask: Ask) {
        let content = String::from_utf8_lossy(&ask.content).into_owned();
        let request = Request {
            id: HexId::from_u64(pull),
            content: &content,
            object: HexId::from_u64(ask.object),
            part: ask.part,
            timeout_ms: ask.waits.as_micros().div_ceil(1_000).max(1),
            // A hub may fill; what only asks for what is held names no source. The archive has everything.
            source: (!ask.only_held && ask.way.is_some()).then_some("archive"),
            rank: 0,
            max_age_ms: ask.oldest_ms,
            join: true,
            only_if_cached: ask.only_held,
            no_store: ask.no_copy,
            stale_while_revalidate: false,
            dedup_key: None,
            known_digest: None,
            body: bytes::Bytes::new(),
            route: ask.way.as_ref(),
            mark: ask.mark.as_ref(),
        };
        let packet = node::encode_request(&request);
        let wire = self.wire(to, ask.way.is_some());
        wire.open.borrow_mut().insert(pull, Instant::now());
        wire.queue.borrow_mut().push_back(Queued { pull: Some(pull), packet });
        wire.wake.notify(usize::MAX);
        self.on.retain(|_, wire| !wire.ended.get());
        self.on.insert(pull, wire);
    }

    fn wire(&mut self, to: &Peer, ours: bool) -> Rc<Wire> {
        self.wires.retain(|_, wire| !wire.ended.get());
        if let Some(wire) = self.wires.get(to) {
            return wire.clone();
        }
        let now = Instant::now();
        let wire = Rc::new(Wire {
            queue: RefCell::default(),
            open: RefCell::default(),
            heard: Cell::new(now),
            used: Cell::new(now),
            ended: Cell::new(false),
            wake: Event::new(),
        });
        if ours {
            wire.queue
                .borrow_mut()
                .push_back(Queued { pull: None, packet: node::encode_gauges_query(NAME_TAG) });
        }
        self.wires.insert(to.clone(), wire.clone());
        let run = run(self.common.clone(), self.spawner.clone(), wire.clone(), to.clone());
        self.spawner.spawn(run);
        wire
    }

    pub fn cancel(&mut self, pull: PullNo) {
        let Some(wire) = self.on.remove(&pull).filter(|wire| !wire.ended.get()) else { return };
        wire.open.borrow_mut().remove(&pull);
        let queued = wire.queue.borrow().iter().position(|q| q.pull == Some(pull));
        match queued {
            Some(at) => drop(wire.queue.borrow_mut().remove(at)),
            None => {
                let packet = node::encode_cancel(HexId::from_u64(pull));
                wire.queue.borrow_mut().push_back(Queued { pull: None, packet });
                wire.wake.notify(usize::MAX);
            }
        }
    }

    /// Asks whether it is there. Without an answer the asker counts silence; nothing is owed here.
    pub fn look(&mut self, to: &Peer, ask: PullNo) {
        let wire = self.wire(to, true);
        // A wire that gets nowhere is no reason to pile questions up on it.
        if wire.queue.borrow().len() < MOST_QUESTIONS {
            let tag = [LIVENESS_TAG_PREFIX, ask.to_string().as_bytes()].concat();
            wire.queue.borrow_mut().push_back(Queued { pull: None, packet: node::encode_gauges_query(&tag) });
            wire.wake.notify(usize::MAX);
        }
    }

    /// Follows the pull that it is about over the same connection; without one there is nothing to follow.
    pub fn chase(&mut self, to: &Peer, chase: &CycleProbe) {
        if let Some(wire) = self.wires.get(to).filter(|wire| !wire.ended.get()) {
            wire.queue.borrow_mut().push_back(Queued { pull: None, packet: peer::encode_probe(chase) });
            wire.wake.notify(usize::MAX);
        }
    }
}

async fn run(common: Rc<Common>, spawner: Spawner, wire: Rc<Wire>, to: Peer) {
    match connect(&common, &to).await {
        Ok(stream) => {
            wire.heard.set(Instant::now());
            let stream = Rc::new(stream);
            let writer = spawner.spawn_with_handle(write(wire.clone(), stream.clone()));
            let why = or(or(read(&common, &wire, &stream, &to), writer), watch(&common, &wire)).await;
            if !wire.open.borrow().is_empty() {
                warn!(common.log, "source lost"; "source" => &to.name, "why" => why);
            }
        }
        Err(why) => info!(common.log, "source not reached"; "source" => &to.name, "why" => why),
    }
    wire.ended.set(true);
    let mut lost: Vec<PullNo> = wire.open.borrow_mut().drain().map(|(pull, _)| pull).collect();
    lost.sort_unstable();
    for pull in lost {
        let _ = common.inbox.send(News::Lost { pull }).await;
    }
}

async fn connect(common: &Common, to: &Peer) -> Result<Stream, String> {
    let address: SocketAddr = to.address.parse().map_err(|_| format!("no address: {}", to.address))?;
    let up = async { Async::<TcpStream>::connect(address).await.map_err(|why| why.to_string()) };
    let late = async {
        Timer::after(common.limits.connect).await;
        Err("not up in time".to_string())
    };
    let stream = or(up, late).await?;
    let _ = stream.get_ref().set_nodelay(true);
    Ok(stream)
}

async fn read(common: &Common, wire: &Wire, stream: &Stream, to: &Peer) -> String {
    let limits = &common.limits;
    let bounds = Bounds {
        max_items: limits.items,
        max_item_bytes: limits.body_bytes,
        initial_item_capacity: ITEM_ROOM,
    };
    let mut decoder = Decoder::new(bounds, READ_BUFFER);
    let mut source = SocketReader::new(stream);
    loop {
        let items = match decoder.next_message() {
            Ok(Some(items)) => items,
            Ok(None) => match source.read_into(&mut decoder).await {
                Ok(0) => return "closed".into(),
                Ok(_) => {
                    wire.heard.set(Instant::now());
                    continue;
                }
                Err(why) => return why.to_string(),
            },
            Err(fault) => return fault.to_string(),
        };
        if items.first().is_some_and(|tag| tag.as_ref() == NAME_TAG) {
            if let Some(own) = items.get(2).and_then(own_name) {
                let _ = common.inbox.send(News::Named { addressed: to.name.clone(), own }).await;
            }
            continue;
        }
        if let Some(ask) = items.first().and_then(|tag| tag.strip_prefix(LIVENESS_TAG_PREFIX)) {
            let ask = std::str::from_utf8(ask).ok().and_then(|ask| ask.parse().ok());
            if let Some((ask, (leaving, unseen))) = Option::zip(ask, peer::decode_liveness(&items)) {
                wire.used.set(Instant::now());
                let _ = common.inbox.send(News::Seen { ask, leaving, unseen }).await;
            }
            continue;
        }
        let Some(answer) = node::decode_answer(&items) else { return "an unreadable answer".into() };
        let pull = answer.id.as_u64();
        wire.used.set(Instant::now());
        if wire.open.borrow_mut().remove(&pull).is_some() {
            let copy = node::decode_copy_tag(&items);
            if let Some(come_ms) =
                peer::decode_retry_after(&items).filter(|_| answer.status == AnswerStatus::Busy)
            {
                let after = Span::millis(come_ms.min(LONGEST_COME_MS));
                let _ = common.inbox.send(News::ComeAgain { pull, after }).await;
            }
            let _ = common.inbox.send(News::Answered { pull, answer, copy }).await;
        }
    }
}

fn own_name(list: &bytes::Bytes) -> Option<String> {
    let name = fields::parse_list(list).find(|(name, _)| *name == b"name").map(|(_, value)| value)?;
    String::from_utf8(name.to_vec()).ok().filter(|name| peer::is_valid_name(name))
}

async fn write(wire: Rc<Wire>, stream: Rc<Stream>) -> String {
    loop {
        let next = wire.queue.borrow_mut().pop_front();
        let Some(next) = next else {
            let wake = wire.wake.listen();
            if wire.queue.borrow().is_empty() {
                wake.await;
            }
            continue;
        };
        wire.used.set(Instant::now());
        if let Err(why) = write_packets(&stream, &[next.packet], |_| {}).await {
            return why.to_string();
        }
    }
}

async fn watch(common: &Common, wire: &Wire) -> String {
    loop {
        Timer::after(LOOKS).await;
        let oldest = wire.open.borrow().values().min().copied();
        if oldest.is_some_and(|at| at.max(wire.heard.get()).elapsed() > common.limits.silence) {
            return "it owes answers and says nothing".into();
        }
        if oldest.is_none() && wire.queue.borrow().is_empty() && wire.used.get().elapsed() > IDLE {
            return "idle".into();
        }
    }
}
