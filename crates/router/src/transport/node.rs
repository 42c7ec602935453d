//! Connections to caches, parents and the origin. Each carries a few pulls at once, so that one spoilt answer
//! takes few others with it; a further one is opened where those are busy, were replaced, or get nowhere.
use super::{Executor, Source, Stream, write_packets};
use crate::program::limits::Limits;
use crate::routing::nodes::{Contact, NodeNo};
use crate::routing::witness::Witness;
use crate::routing::{Loss, News, PullNo};
use async_channel::Sender;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use harestage_wire::resp::{Bounds, Decoder};
use harestage_wire::{Packet, fields::Hex, node};
use slog::{Logger, debug, info, warn};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often a write that is under way looks whether it may go on.
const LAPSE: Duration = Duration::from_millis(50);

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
    writing: Cell<Option<(PullNo, Hex)>>,
    /// Since when a packet, given up or not, has been on its way out.
    writes: Cell<Option<Instant>>,
    /// Given up here: a late answer must not pass for that of a new pull of the same download.
    spent: RefCell<VecDeque<Hex>>,
    retired: Cell<bool>,
    ended: Cell<bool>,
    /// When a whole answer last came in. Bytes alone prove nothing: a wrong length swallows what follows it.
    brought: Cell<Instant>,
    /// Since when an answer stands half read without another byte.
    halted: Cell<Option<Instant>>,
    busy: Cell<Instant>,
    wake: Event,
    look: Event,
}

impl Wire {
    fn load(&self) -> usize {
        let queued = self.queue.borrow().iter().filter(|q| q.pull.is_some()).count();
        queued + self.written.borrow().len() + usize::from(self.writing.get().is_some())
    }

    /// Two pulls of one id on one connection could not be told apart, nor a new one from one given up.
    fn knows(&self, id: Hex) -> bool {
        self.written.borrow().contains_key(&id)
            || self.writing.get().is_some_and(|(_, writing)| writing == id)
            || self.queue.borrow().iter().any(|q| q.pull.is_some_and(|(_, queued)| queued == id))
            || self.spent.borrow().contains(&id)
    }

    fn takes(&self, id: Hex, most: usize) -> bool {
        !self.retired.get() && !self.ended.get() && self.load() < most && !self.knows(id)
    }

    /// A pull waits, and no whole answer has come for as long. What is slow is not lost, but what comes next
    /// had better not wait behind it: a connection that brought a spoilt answer may stay open and silent.
    fn is_doubtful(&self, silence: Duration) -> bool {
        let first = self.written.borrow().values().map(|(_, at)| *at).min();
        first.is_some_and(|at| at.max(self.brought.get()).elapsed() > silence) || self.is_stuck(silence)
    }

    /// The node takes nothing.
    fn is_stuck(&self, silence: Duration) -> bool {
        self.writes.get().is_some_and(|since| since.elapsed() > silence)
    }

    fn is_idle(&self) -> bool {
        self.load() == 0 && self.queue.borrow().is_empty()
    }

    fn retire(&self) {
        self.retired.set(true);
        self.look.notify(usize::MAX);
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
    /// The platform's router has none.
    witness: OnceCell<Rc<dyn Witness>>,
}

impl Common {
    fn may_act(&self) -> bool {
        self.witness.get().is_none_or(|witness| witness.may_act())
    }
}

/// All connections to nodes.
pub struct Links {
    common: Rc<Common>,
    executor: Executor,
    wires: HashMap<NodeNo, Vec<Rc<Wire>>>,
}

impl Links {
    pub fn new(limits: Rc<Limits>, inbox: Sender<News>, log: Logger, executor: Executor) -> Links {
        let common = Rc::new(Common { limits, inbox, log, wires: Cell::new(0), witness: OnceCell::new() });
        Links { common, executor, wires: HashMap::new() }
    }

    /// From now on nothing is written while this says that the router may not act.
    pub fn attach(&mut self, witness: Rc<dyn Witness>) {
        let _ = self.common.witness.set(witness);
    }

    pub fn pull(&mut self, node: NodeNo, contact: &Contact, pull: PullNo, id: Hex, packet: Packet) -> bool {
        let Some(address) = contact.address else { return false };
        let limits = self.common.limits.clone();
        let wires = self.wires.entry(node).or_default();
        wires.retain(|wire| !wire.ended.get());
        let usable = wires.iter().filter(|wire| wire.takes(id, limits.node_pulls));
        let best = usable.min_by_key(|wire| (wire.is_doubtful(limits.node_silence), wire.load())).cloned();
        let good = |wire: &Rc<Wire>| wire.load() < limits.node_few && !wire.is_doubtful(limits.node_silence);
        let own = wires.iter().filter(|wire| !wire.retired.get()).count();
        let wire = match best {
            Some(wire) if good(&wire) => wire,
            Some(wire) if own >= limits.node_own_connections => wire,
            _ if self.has_room() => self.open(node, address, contact.name.clone()),
            Some(wire) => wire,
            None => {
                warn!(self.common.log, "no connection free"; "node" => &contact.name);
                return false;
            }
        };
        wire.queue.borrow_mut().push_back(Queued { pull: Some((pull, id)), packet });
        wire.wake.notify(usize::MAX);
        true
    }

    fn open(&mut self, node: NodeNo, address: SocketAddr, name: String) -> Rc<Wire> {
        let now = Instant::now();
        let wire = Rc::new(Wire {
            queue: RefCell::default(),
            written: RefCell::default(),
            writing: Cell::new(None),
            writes: Cell::new(None),
            spent: RefCell::default(),
            retired: Cell::new(false),
            ended: Cell::new(false),
            brought: Cell::new(now),
            halted: Cell::new(None),
            busy: Cell::new(now),
            wake: Event::new(),
            look: Event::new(),
        });
        self.wires.entry(node).or_default().push(wire.clone());
        self.common.wires.set(self.common.wires.get() + 1);
        let run = run(self.common.clone(), self.executor.clone(), wire.clone(), address, name);
        self.executor.spawn(run).detach();
        wire
    }

    /// Whether one more connection may be held. At the bound the one that has been idle for longest goes.
    fn has_room(&self) -> bool {
        if self.common.wires.get() < self.common.limits.node_connections {
            return true;
        }
        let all = self.wires.values().flatten();
        let idle = all.filter(|wire| wire.is_idle() && !wire.retired.get() && !wire.ended.get());
        let Some(wire) = idle.min_by_key(|wire| wire.busy.get()) else { return false };
        wire.retire();
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
                // No answer came since this was written: the machine may have vanished, or what came before has
                // spoilt the connection. What comes next goes over a fresh one, which then comes up or proves
                // that nothing ran.
                if wire.brought.get() < at && at.elapsed() > self.common.limits.node_silence {
                    wire.retire();
                }
                wire.queue.borrow_mut().push_back(Queued { pull: None, packet: node::write_cancel(id) });
                wire.wake.notify(usize::MAX);
                return false;
            }
            if let Some((_, id)) = wire.writing.get().filter(|(no, _)| *no == pull) {
                wire.writing.set(None);
                wire.spend(id, self.common.limits.node_spent_ids);
                if wire.is_stuck(self.common.limits.node_silence) {
                    wire.retire();
                }
                return false;
            }
        }
        false
    }

    pub fn take_back(&mut self, node: NodeNo, pull: PullNo) -> bool {
        self.wires.get(&node).into_iter().flatten().any(|wire| wire.take_back(pull))
    }

    /// Its connections end by themselves once their pulls are over.
    pub fn forget(&mut self, node: NodeNo) {
        self.wires.remove(&node);
    }

    pub fn renew(&mut self, node: NodeNo) {
        for wire in self.wires.get(&node).into_iter().flatten() {
            wire.retire();
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
            wire.brought.set(Instant::now());
            let stream = Rc::new(stream);
            // A task of its own: what wakes one side must not make the other try its socket for nothing.
            let writer = executor.spawn(write(common.clone(), wire.clone(), stream.clone()));
            let why = or(or(read(&common, &wire, &stream, &name), writer), watch(&common, &wire)).await;
            debug!(common.log, "node connection ended"; "node" => &name, "why" => &why);
        }
        Err(why) => info!(common.log, "node not reached"; "node" => &name, "why" => &why),
    }
    wire.ended.set(true);
    common.wires.set(common.wires.get() - 1);
    let written: Vec<_> =
        wire.written.borrow_mut().drain().map(|(_, (pull, _))| (pull, Loss::Broken)).collect();
    let half = wire.writing.take().map(|(pull, _)| (pull, Loss::NeverLeft));
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
    let (items, item_bytes) = (limits.node_items, limits.body_bytes);
    let bounds = Bounds { items, item_bytes, item_room: limits.node_item_room };
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
                wire.brought.set(Instant::now());
                wire.busy.set(wire.brought.get());
                if let Some((pull, _)) = known {
                    let _ = common.inbox.send(News::Answered { pull, answer }).await;
                }
            }
            Ok(None) => {
                wire.halted.set(decoder.is_inside().then(Instant::now));
                let read = source.read_into(&mut decoder).await;
                wire.halted.set(None);
                match read {
                    Ok(0) => return "closed by the node".into(),
                    Ok(_) => {}
                    Err(why) => return why.to_string(),
                }
            }
            Err(fault) => {
                warn!(common.log, "node connection ended: unreadable"; "node" => name, "why" => %fault);
                return fault.to_string();
            }
        }
    }
}

async fn write(common: Rc<Common>, wire: Rc<Wire>, stream: Rc<Stream>) -> String {
    loop {
        let next = wire.queue.borrow_mut().pop_front();
        let Some(Queued { pull, packet }) = next else {
            let wake = wire.wake.listen();
            if wire.queue.borrow().is_empty() {
                wake.await;
            }
            continue;
        };
        if pull.is_some() && !common.may_act() {
            // It has not left, and proves so by its end.
            wire.queue.borrow_mut().push_front(Queued { pull, packet });
            return "this router may not act".into();
        }
        wire.writing.set(pull);
        wire.writes.set(Some(Instant::now()));
        let packets = [packet];
        let whole = async { write_packets(&stream, &packets, |_| {}).await.map_err(|why| why.to_string()) };
        let wrote = match common.witness.get() {
            None => whole.await,
            Some(witness) => or(lapse(witness.as_ref()), whole).await,
        };
        wire.writes.set(None);
        wire.busy.set(Instant::now());
        if let Err(why) = wrote {
            return why;
        }
        if let Some((no, id)) = pull {
            if wire.writing.take() == Some((no, id)) {
                wire.written.borrow_mut().insert(id, (no, Instant::now()));
            } else {
                // Given up while it was being written: it is whole now, so it has to be called back.
                wire.queue.borrow_mut().push_front(Queued { pull: None, packet: node::write_cancel(id) });
            }
        }
    }
}

/// Ends a write whose right has run out half way: what was not written whole never runs.
async fn lapse(witness: &dyn Witness) -> Result<(), String> {
    while witness.may_act() {
        Timer::after(LAPSE).await;
    }
    Err("this router may not act".into())
}

/// Closes what nobody needs any more: a connection that was replaced once its pulls are over, and one that
/// has been idle, before the node closes it on a pull that is just being written. Ends one on which an answer
/// stopped half way: what else is open there gets no answer either.
async fn watch(common: &Common, wire: &Wire) -> String {
    let limits = &common.limits;
    loop {
        let look = wire.look.listen();
        if wire.is_idle() && (wire.retired.get() || wire.busy.get().elapsed() > limits.node_idle) {
            return "idle".into();
        }
        if wire.halted.get().is_some_and(|since| since.elapsed() > limits.node_halt) {
            return "an answer stopped half way".into();
        }
        let later = async {
            Timer::after(limits.watch_every).await;
        };
        or(look, later).await;
    }
}
