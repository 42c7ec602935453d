//! Connections to caches, parents and the origin: one for each node that carries many pulls, a further one
//! where that is full, was replaced, or has fallen silent.
use super::{Executor, Source, Stream, write_packets};
use crate::program::limits::Limits;
use crate::protocol::resp::{Bounds, Decoder};
use crate::protocol::{Packet, fields::Hex, node};
use crate::routing::nodes::{Contact, NodeNo};
use crate::routing::{Loss, News, PullNo};
use async_channel::Sender;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use slog::{Logger, debug, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

struct Queued {
    /// None: this is a cancel.
    pull: Option<(PullNo, Hex)>,
    packet: Packet,
}

/// A connection to a node.
struct Wire {
    queue: RefCell<VecDeque<Queued>>,
    /// Pulls that were written whole and wait for their answer, and when that was.
    written: RefCell<HashMap<Hex, (PullNo, Instant)>>,
    /// The pull being written, which may still be given up as one that never came whole.
    writing: Cell<Option<PullNo>>,
    /// Given up here: a late answer must not pass for that of a new pull of the same download.
    spent: RefCell<VecDeque<Hex>>,
    retired: Cell<bool>,
    ended: Cell<bool>,
    /// When something last came in.
    heard: Cell<Instant>,
    busy: Cell<Instant>,
    wake: Event,
}

impl Wire {
    fn load(&self) -> usize {
        let queued = self.queue.borrow().iter().filter(|q| q.pull.is_some()).count();
        queued + self.written.borrow().len() + usize::from(self.writing.get().is_some())
    }

    fn takes(&self, id: Hex, most: usize) -> bool {
        !self.retired.get() && !self.ended.get() && self.load() < most && !self.spent.borrow().contains(&id)
    }

    fn take_back(&self, pull: PullNo) -> bool {
        let mut queue = self.queue.borrow_mut();
        let at = queue.iter().position(|q| q.pull.is_some_and(|(no, _)| no == pull));
        at.and_then(|at| queue.remove(at)).is_some()
    }

    fn spend(&self, id: Hex, most: usize) {
        let mut spent = self.spent.borrow_mut();
        if spent.len() >= most {
            spent.pop_front();
        }
        spent.push_back(id);
    }
}

/// What every connection's task needs.
struct Common {
    limits: Rc<Limits>,
    inbox: Sender<News>,
    log: Logger,
    wires: Cell<usize>,
}

/// All connections to nodes.
pub struct Links {
    common: Rc<Common>,
    executor: Executor,
    wires: HashMap<NodeNo, Vec<Rc<Wire>>>,
}

impl Links {
    pub fn new(limits: Rc<Limits>, inbox: Sender<News>, log: Logger, executor: Executor) -> Links {
        let common = Rc::new(Common { limits, inbox, log, wires: Cell::new(0) });
        Links { common, executor, wires: HashMap::new() }
    }

    pub fn pull(&mut self, node: NodeNo, contact: &Contact, pull: PullNo, id: Hex, packet: Packet) -> bool {
        let Some(address) = contact.address else { return false };
        let limits = &self.common.limits;
        let wires = self.wires.entry(node).or_default();
        wires.retain(|wire| !wire.ended.get());
        let wire = match wires.iter().find(|wire| wire.takes(id, limits.node_pulls)) {
            Some(wire) => wire.clone(),
            None if self.common.wires.get() >= limits.node_connections => {
                warn!(self.common.log, "no connection free"; "node" => &contact.name);
                return false;
            }
            None => {
                let now = Instant::now();
                let wire = Rc::new(Wire {
                    queue: RefCell::default(),
                    written: RefCell::default(),
                    writing: Cell::new(None),
                    spent: RefCell::default(),
                    retired: Cell::new(false),
                    ended: Cell::new(false),
                    heard: Cell::new(now),
                    busy: Cell::new(now),
                    wake: Event::new(),
                });
                wires.push(wire.clone());
                let run = run(
                    self.common.clone(),
                    self.executor.clone(),
                    wire.clone(),
                    address,
                    contact.name.clone(),
                );
                self.common.wires.set(self.common.wires.get() + 1);
                self.executor.spawn(run).detach();
                wire
            }
        };
        wire.queue.borrow_mut().push_back(Queued { pull: Some((pull, id)), packet });
        wire.wake.notify(usize::MAX);
        true
    }

    pub fn cancel(&mut self, node: NodeNo, pull: PullNo) -> bool {
        for wire in self.wires.get(&node).into_iter().flatten() {
            if wire.take_back(pull) {
                return true;
            }
            let id =
                wire.written.borrow().iter().find(|(_, (no, _))| *no == pull).map(|(id, (_, at))| (*id, *at));
            if let Some((id, at)) = id {
                wire.written.borrow_mut().remove(&id);
                wire.spend(id, self.common.limits.node_spent_ids);
                // Nothing came in since this was written: the machine may have vanished. What comes next goes
                // over a fresh connection, which then comes up or proves that nothing ran.
                if wire.heard.get() < at && at.elapsed() > self.common.limits.node_silence {
                    wire.retired.set(true);
                }
                wire.queue.borrow_mut().push_back(Queued { pull: None, packet: node::write_cancel(id) });
                wire.wake.notify(usize::MAX);
                return false;
            }
            if wire.writing.get() == Some(pull) {
                wire.writing.set(None);
                return false;
            }
        }
        false
    }

    pub fn take_back(&mut self, node: NodeNo, pull: PullNo) -> bool {
        self.wires.get(&node).into_iter().flatten().any(|wire| wire.take_back(pull))
    }

    pub fn renew(&mut self, node: NodeNo) {
        for wire in self.wires.get(&node).into_iter().flatten() {
            wire.retired.set(true);
            wire.wake.notify(usize::MAX);
        }
    }
}

/// One connection from its first byte to its last; every pull on it ends in an answer, a loss or a cancel.
async fn run(common: Rc<Common>, executor: Executor, wire: Rc<Wire>, address: SocketAddr, name: String) {
    let connect = async { Async::<TcpStream>::connect(address).await.map_err(|why| why.to_string()) };
    let late = async {
        Timer::after(common.limits.connect_within).await;
        Err("not up in time".to_string())
    };
    match or(connect, late).await {
        Ok(stream) => {
            let _ = stream.get_ref().set_nodelay(true);
            wire.heard.set(Instant::now());
            let stream = Rc::new(stream);
            // A task of its own: what wakes one side must not make the other try its socket for nothing.
            let writer = executor.spawn(write(wire.clone(), stream.clone(), common.limits.node_spent_ids));
            let why = or(or(read(&common, &wire, &stream, &name), writer), watch(&common, &wire)).await;
            debug!(common.log, "node connection ended"; "node" => &name, "why" => &why);
        }
        Err(why) => info!(common.log, "node not reached"; "node" => &name, "why" => &why),
    }
    wire.ended.set(true);
    common.wires.set(common.wires.get() - 1);
    let written: Vec<_> =
        wire.written.borrow_mut().drain().map(|(_, (pull, _))| (pull, Loss::Broken)).collect();
    let half = wire.writing.take().map(|pull| (pull, Loss::NeverLeft));
    let queued: Vec<_> = wire.queue.borrow_mut().drain(..).filter_map(|q| q.pull).collect();
    let queued = queued.into_iter().map(|(pull, _)| (pull, Loss::NeverLeft));
    let mut lost: Vec<_> = written.into_iter().chain(half).chain(queued).collect();
    lost.sort_unstable_by_key(|(pull, _)| *pull);
    if lost.iter().any(|(_, loss)| *loss == Loss::Broken) {
        info!(common.log, "node connection broke with pulls on it"; "node" => &name, "pulls" => lost.len());
    }
    for (pull, loss) in lost {
        let _ = common.inbox.send(News::Lost { pull, loss }).await;
    }
}

async fn read(common: &Common, wire: &Wire, stream: &Stream, name: &str) -> String {
    let limits = &common.limits;
    let bounds = Bounds { items: limits.node_items, item_bytes: limits.body_bytes };
    let mut decoder = Decoder::new(bounds, limits.read_buffer);
    let mut source = Source::new(stream);
    loop {
        match decoder.take() {
            Ok(Some(items)) => {
                let Some(answer) = node::read(&items) else {
                    warn!(common.log, "node connection ended: unreadable answer"; "node" => name);
                    return "unreadable answer".into();
                };
                let known = wire.written.borrow_mut().remove(&answer.id);
                wire.busy.set(Instant::now());
                if let Some((pull, _)) = known {
                    let _ = common.inbox.send(News::Answered { pull, answer }).await;
                }
            }
            Ok(None) => {
                match source.read_into(&mut decoder).await {
                    Ok(0) => return "closed by the node".into(),
                    Ok(_) => {}
                    Err(why) => return why.to_string(),
                }
                wire.heard.set(Instant::now());
            }
            Err(fault) => {
                warn!(common.log, "node connection ended: unreadable"; "node" => name, "why" => %fault);
                return fault.to_string();
            }
        }
    }
}

async fn write(wire: Rc<Wire>, stream: Rc<Stream>, spent_ids: usize) -> String {
    loop {
        let next = wire.queue.borrow_mut().pop_front();
        let Some(Queued { pull, packet }) = next else {
            let wake = wire.wake.listen();
            if wire.queue.borrow().is_empty() {
                wake.await;
            }
            continue;
        };
        wire.writing.set(pull.map(|(no, _)| no));
        let wrote = write_packets(&stream, &[packet], |_| {}).await;
        wire.busy.set(Instant::now());
        if let Err(why) = wrote {
            return why.to_string();
        }
        if let Some((no, id)) = pull {
            if wire.writing.take() == Some(no) {
                wire.written.borrow_mut().insert(id, (no, Instant::now()));
            } else {
                // Given up while it was being written: it is whole now, so it has to be called back.
                wire.spend(id, spent_ids);
                wire.queue.borrow_mut().push_front(Queued { pull: None, packet: node::write_cancel(id) });
            }
        }
    }
}

/// Closes what nobody needs any more: a connection that was replaced once its pulls are over, and one that
/// has been idle, before the node closes it on a pull that is just being written.
async fn watch(common: &Common, wire: &Wire) -> String {
    loop {
        Timer::after(common.limits.watch_every).await;
        let over = wire.load() == 0 && wire.queue.borrow().is_empty();
        if over && (wire.retired.get() || wire.busy.get().elapsed() > common.limits.node_idle) {
            return "idle".into();
        }
    }
}
