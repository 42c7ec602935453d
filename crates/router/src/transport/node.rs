//! Connections to caches, parents and the origin. Each carries a few pulls at once, so that one spoilt answer
//! takes few others with it; a further one is opened where those are busy, were replaced, or get nowhere.
use super::{Executor, SocketReader, Stream, write_packets};
use crate::program::limits::Limits;
use crate::routing::nodes::{NodeEntry, NodeId};
use crate::routing::observer::Observer;
use crate::routing::{Input, Loss, PullId};
use async_channel::Sender;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use harestage_wire::resp::{Bounds, Decoder};
use harestage_wire::{Packet, fields::HexId, node, node::AnswerStatus};
use slog::{Logger, debug, info, warn};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often a write that is under way looks whether it may go on.
const LAPSE: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Message {
    Pull(PullId, HexId),
    /// Calls a pull back.
    Cancel(PullId),
}

struct Queued {
    message: Message,
    packet: Packet,
}

impl Queued {
    fn pull(&self) -> Option<(PullId, HexId)> {
        match self.message {
            Message::Pull(pull, id) => Some((pull, id)),
            Message::Cancel(_) => None,
        }
    }

    fn cancel(pull: PullId, id: HexId) -> Queued {
        Queued { message: Message::Cancel(pull), packet: node::encode_cancel(id) }
    }
}

/// Ids that a connection has had an answer to, or whose pull was given up on it: what still comes for them must not
/// pass for the answer to a new pull of the same download. The oldest are forgotten past a bound.
#[derive(Default)]
struct SpentIds {
    by_age: VecDeque<HexId>,
    ids: HashSet<HexId>,
}

impl SpentIds {
    fn spend(&mut self, id: HexId, most: usize) {
        if self.by_age.len() >= most
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.ids.remove(&oldest);
        }
        if self.ids.insert(id) {
            self.by_age.push_back(id);
        }
    }
}

/// A connection to a node.
struct Connection {
    queue: RefCell<VecDeque<Queued>>,
    /// Pulls that were written whole and wait for their answer, and when that was.
    written: RefCell<HashMap<HexId, (PullId, Instant)>>,
    /// The pull being written, which may still be given up as one that never came whole.
    writing: Cell<Option<(PullId, HexId)>>,
    /// Since when a packet, given up or not, has been on its way out.
    writes: Cell<Option<Instant>>,
    /// Called back, and the cancel is not written yet: until it is, the node may be at work on them.
    called_back: RefCell<Vec<PullId>>,
    spent: RefCell<SpentIds>,
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

impl Connection {
    fn load(&self) -> usize {
        let queued = self.queue.borrow().iter().filter(|q| q.pull().is_some()).count();
        queued + self.written.borrow().len() + usize::from(self.writing.get().is_some())
    }

    /// Two pulls of one id on one connection could not be told apart, nor a new one from one given up.
    fn knows(&self, id: HexId) -> bool {
        self.written.borrow().contains_key(&id)
            || self.writing.get().is_some_and(|(_, writing)| writing == id)
            || self.queue.borrow().iter().any(|q| q.pull().is_some_and(|(_, queued)| queued == id))
            || self.spent.borrow().ids.contains(&id)
    }

    fn takes(&self, id: HexId, most: usize) -> bool {
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

    fn remove_queued(&self, pull: PullId) -> bool {
        let mut queue = self.queue.borrow_mut();
        let at = queue.iter().position(|q| q.pull().is_some_and(|(no, _)| no == pull));
        at.and_then(|at| queue.remove(at)).is_some()
    }

    fn call_back(&self, pull: PullId, id: HexId, most: usize) {
        self.spent.borrow_mut().spend(id, most);
        self.called_back.borrow_mut().push(pull);
    }
}

/// What every connection's task needs.
struct Common {
    limits: Rc<Limits>,
    inbox: Sender<Input>,
    log: Logger,
    /// Connections that are wanted, those among them that wait for a descriptor.
    connections: Cell<usize>,
    /// Descriptors that connections hold.
    sockets: Cell<usize>,
    /// One of them was given back.
    freed: Event,
    /// The platform's router has none.
    observer: OnceCell<Rc<dyn Observer>>,
}

impl Common {
    fn may_send(&self) -> bool {
        self.observer.get().is_none_or(|observer| observer.may_send())
    }
}

/// A descriptor's place under the bound.
struct Place(Rc<Common>);

/// A socket and its place, given back only once both sides have let go of the socket.
struct Placed {
    stream: Stream,
    _place: Place,
}

impl Place {
    /// Guards the descriptors: the idle connection that gives way to a new one may take a turn to close.
    async fn take(common: &Rc<Common>) -> Place {
        loop {
            let freed = common.freed.listen();
            if common.sockets.get() < common.limits.node_connections {
                common.sockets.set(common.sockets.get() + 1);
                return Place(common.clone());
            }
            freed.await;
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.sockets.set(self.0.sockets.get() - 1);
        self.0.freed.notify_additional(1);
    }
}

/// All connections to nodes.
pub struct NodeConnections {
    common: Rc<Common>,
    executor: Executor,
    connections: HashMap<NodeId, Vec<Rc<Connection>>>,
}

impl NodeConnections {
    pub fn new(limits: Rc<Limits>, inbox: Sender<Input>, log: Logger, executor: Executor) -> NodeConnections {
        let (connections, sockets, freed) = (Cell::new(0), Cell::new(0), Event::new());
        let common =
            Rc::new(Common { limits, inbox, log, connections, sockets, freed, observer: OnceCell::new() });
        NodeConnections { common, executor, connections: HashMap::new() }
    }

    /// From now on nothing is written while this says that the router may not act.
    pub fn set_observer(&mut self, observer: Rc<dyn Observer>) {
        let _ = self.common.observer.set(observer);
    }

    pub fn send_pull(
        &mut self,
        node: NodeId,
        contact: &NodeEntry,
        pull: PullId,
        id: HexId,
        packet: Packet,
    ) -> bool {
        let Some(address) = contact.address else { return false };
        let limits = self.common.limits.clone();
        let connections = self.connections.entry(node).or_default();
        connections.retain(|connection| !connection.ended.get());
        let usable = connections.iter().filter(|connection| connection.takes(id, limits.node_pulls));
        let best = usable
            .min_by_key(|connection| (connection.is_doubtful(limits.node_silence), connection.load()))
            .cloned();
        let good = |connection: &Rc<Connection>| {
            connection.load() < limits.node_few && !connection.is_doubtful(limits.node_silence)
        };
        let own = connections.iter().filter(|connection| !connection.retired.get()).count();
        if best.is_none() {
            // At rest, and no good only because it knows this id: it gives way, so that an id that comes again and
            // again takes no more room than one that is new.
            let rests = connections.iter().find(|c| c.is_idle() && !c.retired.get());
            rests.into_iter().for_each(|c| c.retire());
        }
        let connection = match best {
            Some(connection) if good(&connection) => connection,
            Some(connection) if own >= limits.node_own_connections => connection,
            _ if self.has_room() => self.open(node, address, contact.name.clone()),
            Some(connection) => connection,
            None => {
                warn!(self.common.log, "no connection free"; "node" => &contact.name);
                return false;
            }
        };
        connection.queue.borrow_mut().push_back(Queued { message: Message::Pull(pull, id), packet });
        connection.wake.notify(usize::MAX);
        true
    }

    fn open(&mut self, node: NodeId, address: SocketAddr, name: String) -> Rc<Connection> {
        let now = Instant::now();
        let connection = Rc::new(Connection {
            queue: RefCell::default(),
            written: RefCell::default(),
            writing: Cell::new(None),
            writes: Cell::new(None),
            called_back: RefCell::default(),
            spent: RefCell::default(),
            retired: Cell::new(false),
            ended: Cell::new(false),
            brought: Cell::new(now),
            halted: Cell::new(None),
            busy: Cell::new(now),
            wake: Event::new(),
            look: Event::new(),
        });
        self.connections.entry(node).or_default().push(connection.clone());
        self.common.connections.set(self.common.connections.get() + 1);
        let run = run(self.common.clone(), self.executor.clone(), connection.clone(), address, name);
        self.executor.spawn(run).detach();
        connection
    }

    /// Whether one more connection may be held. At the bound the one that has been idle for longest goes.
    fn has_room(&self) -> bool {
        if self.common.connections.get() < self.common.limits.node_connections {
            return true;
        }
        let all = self.connections.values().flatten();
        let idle = all.filter(|connection| {
            connection.is_idle() && !connection.retired.get() && !connection.ended.get()
        });
        let Some(connection) = idle.min_by_key(|connection| connection.busy.get()) else { return false };
        connection.retire();
        true
    }

    pub fn cancel_pull(&mut self, node: NodeId, pull: PullId) -> bool {
        for connection in self.connections.get(&node).into_iter().flatten() {
            if connection.remove_queued(pull) {
                return true;
            }
            let id = connection
                .written
                .borrow()
                .iter()
                .find(|(_, (no, _))| *no == pull)
                .map(|(id, (_, at))| (*id, *at));
            if let Some((id, at)) = id {
                connection.written.borrow_mut().remove(&id);
                connection.call_back(pull, id, self.common.limits.node_spent_ids);
                // No answer came since this was written: the machine may have vanished, or what came before has
                // spoilt the connection. What comes next goes over a fresh one, which then comes up or proves
                // that nothing ran.
                if connection.brought.get() < at && at.elapsed() > self.common.limits.node_silence {
                    connection.retire();
                }
                connection.queue.borrow_mut().push_back(Queued::cancel(pull, id));
                connection.wake.notify(usize::MAX);
                return false;
            }
            if let Some((_, id)) = connection.writing.get().filter(|(no, _)| *no == pull) {
                connection.writing.set(None);
                connection.call_back(pull, id, self.common.limits.node_spent_ids);
                if connection.is_stuck(self.common.limits.node_silence) {
                    connection.retire();
                }
                return false;
            }
        }
        false
    }

    pub fn remove_queued(&mut self, node: NodeId, pull: PullId) -> bool {
        self.connections.get(&node).into_iter().flatten().any(|connection| connection.remove_queued(pull))
    }

    /// A pull was called back, and the node has not been told yet.
    pub fn is_cancel_pending(&self, node: NodeId, pull: PullId) -> bool {
        let connections = self.connections.get(&node).into_iter().flatten();
        connections
            .filter(|connection| !connection.ended.get())
            .any(|connection| connection.called_back.borrow().contains(&pull))
    }

    /// Its connections end by themselves once their pulls are over.
    pub fn forget_node(&mut self, node: NodeId) {
        self.connections.remove(&node);
    }

    pub fn replace_connections(&mut self, node: NodeId) {
        for connection in self.connections.get(&node).into_iter().flatten() {
            connection.retire();
        }
    }
}

/// One connection from its first byte to its last; every pull on it ends in an answer, a loss or a cancel.
async fn run(
    common: Rc<Common>,
    executor: Executor,
    connection: Rc<Connection>,
    address: SocketAddr,
    name: String,
) {
    let connect = async {
        let place = Place::take(&common).await;
        let stream = Async::<TcpStream>::connect(address).await.map_err(|why| why.to_string())?;
        Ok(Placed { stream, _place: place })
    };
    let late = async {
        Timer::after(common.limits.connect_within).await;
        Err("not up in time".to_string())
    };
    match or(connect, late).await {
        Ok(placed) => {
            let _ = placed.stream.get_ref().set_nodelay(true);
            connection.brought.set(Instant::now());
            let placed = Rc::new(placed);
            // A task of its own: what wakes one side must not make the other try its socket for nothing.
            let writer = executor.spawn(write(common.clone(), connection.clone(), placed.clone()));
            let why = or(
                or(read(&common, &connection, &placed.stream, &name), writer),
                watch(&common, &connection),
            )
            .await;
            debug!(common.log, "node connection ended"; "node" => &name, "why" => &why);
        }
        Err(why) => info!(common.log, "node not reached"; "node" => &name, "why" => &why),
    }
    connection.ended.set(true);
    common.connections.set(common.connections.get() - 1);
    let written: Vec<_> = connection
        .written
        .borrow_mut()
        .drain()
        .map(|(_, (pull, _))| (pull, Loss::ConnectionBroken))
        .collect();
    let half = connection.writing.take().map(|(pull, _)| (pull, Loss::NotSent));
    let queued: Vec<_> = connection.queue.borrow_mut().drain(..).filter_map(|q| q.pull()).collect();
    let queued = queued.into_iter().map(|(pull, _)| (pull, Loss::NotSent));
    let mut lost: Vec<_> = written.into_iter().chain(half).chain(queued).collect();
    lost.sort_unstable_by_key(|(pull, _)| *pull);
    if lost.iter().any(|(_, loss)| *loss == Loss::ConnectionBroken) {
        info!(common.log, "node connection broke with pulls on it"; "node" => &name, "pulls" => lost.len());
    }
    for (pull, loss) in lost {
        let _ = common.inbox.send(Input::Lost { pull, loss }).await;
    }
}

async fn read(common: &Common, connection: &Connection, stream: &Stream, name: &str) -> String {
    let limits = &common.limits;
    let (items, item_bytes) = (limits.node_items, limits.body_bytes);
    let bounds =
        Bounds { max_items: items, max_item_bytes: item_bytes, initial_item_capacity: limits.node_item_room };
    let mut decoder = Decoder::new(bounds, limits.read_buffer);
    let mut source = SocketReader::new(stream);
    loop {
        match decoder.next_message() {
            Ok(Some(items)) => {
                let Some(answer) = node::decode_answer(&items) else {
                    warn!(common.log, "node connection ended: unreadable answer"; "node" => name);
                    return "unreadable answer".into();
                };
                let known = connection.written.borrow_mut().remove(&answer.id);
                connection.brought.set(Instant::now());
                connection.busy.set(connection.brought.get());
                if let Some((pull, _)) = known {
                    connection.spent.borrow_mut().spend(answer.id, limits.node_spent_ids);
                    let without_bytes =
                        (answer.status == AnswerStatus::NotModified).then(|| node::decode_copy_tag(&items));
                    let names = without_bytes.flatten().map(|copy| copy.digest);
                    let _ = common.inbox.send(Input::Answered { pull, answer, copy_digest: names }).await;
                }
            }
            Ok(None) => {
                connection.halted.set(decoder.is_mid_message().then(Instant::now));
                let read = source.read_into(&mut decoder).await;
                connection.halted.set(None);
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

async fn write(common: Rc<Common>, connection: Rc<Connection>, placed: Rc<Placed>) -> String {
    loop {
        let next = connection.queue.borrow_mut().pop_front();
        let Some(Queued { message, packet }) = next else {
            let wake = connection.wake.listen();
            if connection.queue.borrow().is_empty() {
                wake.await;
            }
            continue;
        };
        let pull = match message {
            Message::Pull(pull, id) => Some((pull, id)),
            Message::Cancel(_) => None,
        };
        if pull.is_some() && !common.may_send() {
            // It has not left, and proves so by its end.
            connection.queue.borrow_mut().push_front(Queued { message, packet });
            return "this router may not act".into();
        }
        if pull.is_some() && connection.written.borrow().is_empty() && has_closed(&placed.stream) {
            connection.queue.borrow_mut().push_front(Queued { message, packet });
            return "closed by the node while it was idle".into();
        }
        connection.writing.set(pull);
        connection.writes.set(Some(Instant::now()));
        let packets = [packet];
        let whole =
            async { write_packets(&placed.stream, &packets, |_| {}).await.map_err(|why| why.to_string()) };
        let wrote = match common.observer.get() {
            None => whole.await,
            Some(observer) => or(lapse(observer.as_ref()), whole).await,
        };
        connection.writes.set(None);
        connection.busy.set(Instant::now());
        if let Err(why) = wrote {
            return why;
        }
        match message {
            Message::Pull(no, id) if connection.writing.take() == Some((no, id)) => {
                connection.written.borrow_mut().insert(id, (no, Instant::now()));
            }
            // Given up while it was being written: it is whole now, so it has to be called back.
            Message::Pull(no, id) => connection.queue.borrow_mut().push_front(Queued::cancel(no, id)),
            Message::Cancel(no) => {
                connection.called_back.borrow_mut().retain(|called_back| *called_back != no)
            }
        }
    }
}

/// Guards what must not run twice: on a connection that its node has closed at rest, and whose end nobody has read yet, a
/// pull would be written into nowhere, and nothing could prove that it never ran.
fn has_closed(stream: &Stream) -> bool {
    match stream.get_ref().peek(&mut [0]) {
        Ok(bytes) => bytes == 0,
        Err(why) => why.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Ends a write whose right has run out half way: what was not written whole never runs.
async fn lapse(observer: &dyn Observer) -> Result<(), String> {
    while observer.may_send() {
        Timer::after(LAPSE).await;
    }
    Err("this router may not act".into())
}

/// Closes what nobody needs any more: a connection that was replaced once its pulls are over, and one that
/// has been idle, before the node closes it on a pull that is just being written. Ends one on which an answer
/// stopped half way: what else is open there gets no answer either.
async fn watch(common: &Common, connection: &Connection) -> String {
    let limits = &common.limits;
    loop {
        let look = connection.look.listen();
        if connection.is_idle()
            && (connection.retired.get() || connection.busy.get().elapsed() > limits.node_idle)
        {
            return "idle".into();
        }
        if connection.halted.get().is_some_and(|since| since.elapsed() > limits.node_halt) {
            return "an answer stopped half way".into();
        }
        // The end of the connection tells the node what a cancel can't.
        if connection.is_stuck(limits.node_silence) && !connection.called_back.borrow().is_empty() {
            return "a cancel can't be written".into();
        }
        let later = async {
            Timer::after(limits.watch_every).await;
        };
        or(look, later).await;
    }
}
