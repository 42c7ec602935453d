//! Connections to caches, parents and the origin. Each carries only a few pulls at once, so that one
//! corrupted answer affects few of them. Another connection is opened if the existing ones are busy, retired
//! or stalled.
use super::answer_memory::AnswerMemory;
use super::{Executor, SocketReader, Stream, write_packets};
use crate::program::limits::Limits;
use crate::routing::nodes::{NodeEntry, NodeId};
use crate::routing::observer::Observer;
use crate::routing::recent_ids::RecentIds;
use crate::routing::{Input, Loss, PullId};
use async_channel::Sender;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use harestage_sockets::call_without_waiting;
use harestage_wire::resp::{Bounds, Decoder};
use harestage_wire::{Packet, fields::HexId, node, node::AnswerStatus};
use slog::{Logger, debug, info, warn};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which a running write checks whether it may continue.
const PERMISSION_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A message to a node.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Message {
    Pull(PullId, HexId),
    /// Cancels a pull.
    Cancel(PullId),
}

/// A message that waits to be written.
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

/// A connection to a node.
struct Connection {
    queue: RefCell<VecDeque<Queued>>,
    /// Pulls that are written whole and wait for their answers, and when they were written.
    awaiting_answer: RefCell<HashMap<HexId, (PullId, Instant)>>,
    /// The pull that is being written. If the connection ends now, the node can't have run it.
    writing: Cell<Option<(PullId, HexId)>>,
    /// Since when the current packet, cancelled or not, is being written.
    write_started: Cell<Option<Instant>>,
    /// Pulls whose cancel is not written yet: the node may still be running them.
    pending_cancels: RefCell<Vec<PullId>>,
    /// Ids that were answered or given up here. A late answer for such an id must not be taken for the answer
    /// to a new pull of the same download.
    spent: RefCell<RecentIds>,
    retired: Cell<bool>,
    ended: Cell<bool>,
    /// When the last complete answer arrived. Bytes alone prove nothing: an answer with a wrong length
    /// swallows those that follow it.
    last_answer_at: Cell<Instant>,
    /// Since when the rest of a partial answer is awaited without another byte.
    partial_since: Cell<Option<Instant>>,
    /// Since when the answer that is being read has its memory.
    answer_since: Cell<Option<Instant>>,
    last_used_at: Cell<Instant>,
    wake: Event,
    check: Event,
}

impl Connection {
    fn load(&self) -> usize {
        let queued = self.queue.borrow().iter().filter(|q| q.pull().is_some()).count();
        queued + self.awaiting_answer.borrow().len() + usize::from(self.writing.get().is_some())
    }

    /// Two pulls with one id on one connection could not be told apart, nor a new pull from one that was
    /// given up.
    fn has_id(&self, id: HexId) -> bool {
        self.awaiting_answer.borrow().contains_key(&id)
            || self.writing.get().is_some_and(|(_, writing)| writing == id)
            || self.queue.borrow().iter().any(|q| q.pull().is_some_and(|(_, queued)| queued == id))
            || self.spent.borrow().contains(id)
    }

    fn can_carry(&self, id: HexId, max: usize) -> bool {
        !self.retired.get() && !self.ended.get() && self.load() < max && !self.has_id(id)
    }

    /// A pull waits, and no complete answer has arrived for this long. The answer may just be slow, but new
    /// pulls should not queue behind it: a connection that brought a corrupted answer may stay open and
    /// silent.
    fn is_doubtful(&self, silence: Duration) -> bool {
        let first = self.awaiting_answer.borrow().values().map(|(_, at)| *at).min();
        first.is_some_and(|at| at.max(self.last_answer_at.get()).elapsed() > silence)
            || self.is_stuck(silence)
    }

    /// The node has accepted no bytes for this long.
    fn is_stuck(&self, silence: Duration) -> bool {
        self.write_started.get().is_some_and(|since| since.elapsed() > silence)
    }

    fn is_idle(&self) -> bool {
        self.load() == 0 && self.queue.borrow().is_empty()
    }

    fn retire(&self) {
        self.retired.set(true);
        self.check.notify(usize::MAX);
    }

    fn remove_queued(&self, pull: PullId) -> bool {
        let mut queue = self.queue.borrow_mut();
        let at = queue.iter().position(|q| q.pull().is_some_and(|(queued, _)| queued == pull));
        at.and_then(|at| queue.remove(at)).is_some()
    }

    fn begin_cancel(&self, pull: PullId, id: HexId, max: usize) {
        self.spent.borrow_mut().add(id, max);
        self.pending_cancels.borrow_mut().push(pull);
    }
}

/// Shared by the tasks of all connections.
struct Shared {
    limits: Rc<Limits>,
    inbox: Sender<Input>,
    log: Logger,
    /// Number of connections, including those that still wait for a socket slot.
    connections: Cell<usize>,
    /// Number of socket slots in use.
    sockets: Cell<usize>,
    /// A slot was freed.
    freed: Event,
    answer_memory: AnswerMemory,
    /// None in the platform's router.
    observer: OnceCell<Rc<dyn Observer>>,
}

impl Shared {
    fn may_send(&self) -> bool {
        self.observer.get().is_none_or(|observer| observer.may_send())
    }
}

/// One of the sockets that the limit allows.
struct SocketSlot(Rc<Shared>);

/// A socket and its slot; the slot is freed only once reader and writer have dropped the socket.
struct SlottedStream {
    stream: Stream,
    _slot: SocketSlot,
}

impl SocketSlot {
    /// Waits for a free slot: an idle connection that gives way to a new one may need another step to close.
    async fn take(shared: &Rc<Shared>) -> SocketSlot {
        loop {
            let freed = shared.freed.listen();
            if shared.sockets.get() < shared.limits.node_connections {
                shared.sockets.set(shared.sockets.get() + 1);
                return SocketSlot(shared.clone());
            }
            freed.await;
        }
    }
}

impl Drop for SocketSlot {
    fn drop(&mut self) {
        self.0.sockets.set(self.0.sockets.get() - 1);
        self.0.freed.notify_additional(1);
    }
}

/// All connections to nodes.
pub struct NodeConnections {
    shared: Rc<Shared>,
    executor: Executor,
    connections: HashMap<NodeId, Vec<Rc<Connection>>>,
}

/// What the connections to nodes hold at the moment.
pub struct NodeGauges(Rc<Shared>);

impl NodeGauges {
    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.0.connections.get()
    }

    /// Memory of the answers that are being read.
    pub fn answer_bytes(&self) -> usize {
        self.0.answer_memory.reserved()
    }
}

impl NodeConnections {
    /// No connections yet. Answers and lost pulls go to `inbox`.
    pub fn new(limits: Rc<Limits>, inbox: Sender<Input>, log: Logger, executor: Executor) -> NodeConnections {
        let shared = Rc::new(Shared {
            answer_memory: AnswerMemory::new(limits.answer_bytes),
            limits,
            inbox,
            log,
            connections: Cell::new(0),
            sockets: Cell::new(0),
            freed: Event::new(),
            observer: OnceCell::new(),
        });
        NodeConnections { shared, executor, connections: HashMap::new() }
    }

    /// The gauges of these connections.
    pub fn gauges(&self) -> NodeGauges {
        NodeGauges(self.shared.clone())
    }

    /// Writes no pulls from now on while this observer forbids it.
    pub fn set_observer(&mut self, observer: Rc<dyn Observer>) {
        let _ = self.shared.observer.set(observer);
    }

    /// Queues a pull on the best connection to the node. `false`: there is none, and none can be opened.
    pub fn send_pull(
        &mut self,
        node: NodeId,
        entry: &NodeEntry,
        pull: PullId,
        id: HexId,
        packet: Packet,
    ) -> bool {
        let Some(address) = entry.address else { return false };
        let limits = self.shared.limits.clone();
        let connections = self.connections.entry(node).or_default();
        connections.retain(|connection| !connection.ended.get());
        let usable = connections.iter().filter(|connection| connection.can_carry(id, limits.node_pulls));
        let best = usable
            .min_by_key(|connection| (connection.is_doubtful(limits.node_silence), connection.load()))
            .cloned();
        let is_good = |connection: &Rc<Connection>| {
            connection.load() < limits.node_few && !connection.is_doubtful(limits.node_silence)
        };
        let open_count = connections.iter().filter(|connection| !connection.retired.get()).count();
        if best.is_none() {
            // An idle connection that is unusable only because it knows this id gives way to a new one, so
            // that an id that comes again and again takes up no more connections than a new id.
            let idle = connections.iter().find(|c| c.is_idle() && !c.retired.get());
            idle.into_iter().for_each(|c| c.retire());
        }
        let connection = match best {
            Some(connection) if is_good(&connection) => connection,
            Some(connection) if open_count >= limits.node_own_connections => connection,
            _ if self.make_room() => self.open(node, address, entry.name.clone()),
            Some(connection) => connection,
            None => {
                warn!(self.shared.log, "no node connection available"; "node" => &entry.name);
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
            awaiting_answer: RefCell::default(),
            writing: Cell::new(None),
            write_started: Cell::new(None),
            pending_cancels: RefCell::default(),
            spent: RefCell::default(),
            retired: Cell::new(false),
            ended: Cell::new(false),
            last_answer_at: Cell::new(now),
            partial_since: Cell::new(None),
            answer_since: Cell::new(None),
            last_used_at: Cell::new(now),
            wake: Event::new(),
            check: Event::new(),
        });
        self.connections.entry(node).or_default().push(connection.clone());
        self.shared.connections.set(self.shared.connections.get() + 1);
        let run = run(self.shared.clone(), self.executor.clone(), connection.clone(), address, name);
        self.executor.spawn(run).detach();
        connection
    }

    /// Whether another connection may be opened. At the limit, the connection that has been idle for longest
    /// is retired.
    fn make_room(&self) -> bool {
        if self.shared.connections.get() < self.shared.limits.node_connections {
            return true;
        }
        let all = self.connections.values().flatten();
        let idle = all.filter(|connection| {
            connection.is_idle() && !connection.retired.get() && !connection.ended.get()
        });
        let Some(connection) = idle.min_by_key(|connection| connection.last_used_at.get()) else {
            return false;
        };
        connection.retire();
        true
    }

    /// Gives up a pull. `true`: it was still queued, and no byte of it was written.
    pub fn cancel_pull(&mut self, node: NodeId, pull: PullId) -> bool {
        for connection in self.connections.get(&node).into_iter().flatten() {
            if connection.remove_queued(pull) {
                return true;
            }
            let id = connection
                .awaiting_answer
                .borrow()
                .iter()
                .find(|(_, (waiting, _))| *waiting == pull)
                .map(|(id, (_, at))| (*id, *at));
            if let Some((id, at)) = id {
                connection.awaiting_answer.borrow_mut().remove(&id);
                connection.begin_cancel(pull, id, self.shared.limits.node_spent_ids);
                // No answer arrived since this pull was written: the machine may have vanished, or an earlier
                // answer may have corrupted the connection. The next pull uses a new connection, which either
                // comes up or proves that the pull did not run.
                if connection.last_answer_at.get() < at && at.elapsed() > self.shared.limits.node_silence {
                    connection.retire();
                }
                connection.queue.borrow_mut().push_back(Queued::cancel(pull, id));
                connection.wake.notify(usize::MAX);
                return false;
            }
            if let Some((_, id)) = connection.writing.get().filter(|(writing, _)| *writing == pull) {
                connection.writing.set(None);
                connection.begin_cancel(pull, id, self.shared.limits.node_spent_ids);
                if connection.is_stuck(self.shared.limits.node_silence) {
                    connection.retire();
                }
                return false;
            }
        }
        false
    }

    /// Removes a pull that is still queued. `false`: it is not.
    pub fn remove_queued(&mut self, node: NodeId, pull: PullId) -> bool {
        self.connections.get(&node).into_iter().flatten().any(|connection| connection.remove_queued(pull))
    }

    /// Whether the cancel of a pull has not been written yet.
    pub fn is_cancel_pending(&self, node: NodeId, pull: PullId) -> bool {
        let connections = self.connections.get(&node).into_iter().flatten();
        connections
            .filter(|connection| !connection.ended.get())
            .any(|connection| connection.pending_cancels.borrow().contains(&pull))
    }

    /// Drops the node. Its connections end by themselves once their pulls are over.
    pub fn forget_node(&mut self, node: NodeId) {
        self.connections.remove(&node);
    }

    /// Sends nothing new over the node's present connections.
    pub fn replace_connections(&mut self, node: NodeId) {
        for connection in self.connections.get(&node).into_iter().flatten() {
            connection.retire();
        }
    }
}

/// Runs one connection from connecting to its end. Every pull on it ends in an answer, a loss or a cancel.
async fn run(
    shared: Rc<Shared>,
    executor: Executor,
    connection: Rc<Connection>,
    address: SocketAddr,
    name: String,
) {
    let connect = async {
        let slot = SocketSlot::take(&shared).await;
        let stream = Async::<TcpStream>::connect(address).await.map_err(|why| why.to_string())?;
        Ok(SlottedStream { stream, _slot: slot })
    };
    let late = async {
        Timer::after(shared.limits.connect_within).await;
        Err("not connected in time".to_string())
    };
    match or(connect, late).await {
        Ok(slotted) => {
            let _ = slotted.stream.get_ref().set_nodelay(true);
            connection.last_answer_at.set(Instant::now());
            let slotted = Rc::new(slotted);
            // The writer is a task of its own, so that a wakeup of one side does not make the other poll its
            // socket in vain.
            let writer = executor.spawn(write(shared.clone(), connection.clone(), slotted.clone()));
            let why = or(
                or(read(&shared, &connection, &slotted.stream, &name), writer),
                watch(&shared, &connection, &name),
            )
            .await;
            debug!(shared.log, "node connection ended"; "node" => &name, "why" => &why);
        }
        Err(why) => info!(shared.log, "node connection failed"; "node" => &name, "why" => &why),
    }
    connection.ended.set(true);
    shared.connections.set(shared.connections.get() - 1);
    let awaiting_answer: Vec<_> = connection
        .awaiting_answer
        .borrow_mut()
        .drain()
        .map(|(_, (pull, _))| (pull, Loss::ConnectionBroken))
        .collect();
    let partial = connection.writing.take().map(|(pull, _)| (pull, Loss::NotSent));
    let queued: Vec<_> = connection.queue.borrow_mut().drain(..).filter_map(|q| q.pull()).collect();
    let queued = queued.into_iter().map(|(pull, _)| (pull, Loss::NotSent));
    let mut lost: Vec<_> = awaiting_answer.into_iter().chain(partial).chain(queued).collect();
    lost.sort_unstable_by_key(|(pull, _)| *pull);
    if lost.iter().any(|(_, loss)| *loss == Loss::ConnectionBroken) {
        info!(shared.log, "node connection broke with open pulls"; "node" => &name, "pulls" => lost.len());
    }
    for (pull, loss) in lost {
        let _ = shared.inbox.send(Input::Lost { pull, loss }).await;
    }
}

async fn read(shared: &Shared, connection: &Connection, stream: &Stream, name: &str) -> String {
    let limits = &shared.limits;
    let (items, item_bytes) = (limits.node_items, limits.body_bytes);
    let bounds =
        Bounds { max_items: items, max_item_bytes: item_bytes, initial_item_capacity: limits.node_item_room };
    let mut decoder = Decoder::new(bounds, limits.node_read_buffer);
    let mut source = SocketReader::new(stream);
    let mut reservation = None;
    loop {
        match decoder.next_message() {
            Ok(Some(items)) => {
                connection.answer_since.set(None);
                let Some(answer) = node::decode_answer(&items) else {
                    warn!(shared.log, "node connection closed: malformed answer"; "node" => name);
                    return "malformed answer".into();
                };
                let known = connection.awaiting_answer.borrow_mut().remove(&answer.id);
                connection.last_answer_at.set(Instant::now());
                connection.last_used_at.set(connection.last_answer_at.get());
                if let Some((pull, _)) = known {
                    connection.spent.borrow_mut().add(answer.id, limits.node_spent_ids);
                    let unchanged_copy =
                        (answer.status == AnswerStatus::NotModified).then(|| node::decode_copy_tag(&items));
                    let copy_digest = unchanged_copy.flatten().map(|copy| copy.digest);
                    // The queue may be full for a while.
                    decoder.release_buffer();
                    let _ = shared.inbox.send(Input::Answered { pull, answer, copy_digest }).await;
                }
                reservation = None;
            }
            Ok(None) => {
                if reservation.is_none() && decoder.missing_item_bytes() > 0 {
                    reservation = Some(shared.answer_memory.reserve(decoder.missing_item_bytes()).await);
                    connection.answer_since.set(Some(Instant::now()));
                    decoder.allocate_item();
                }
                connection.partial_since.set(decoder.is_mid_message().then(Instant::now));
                let read = source.read_into(&mut decoder).await;
                connection.partial_since.set(None);
                match read {
                    Ok(0) => return "closed by the node".into(),
                    Ok(_) => {}
                    Err(why) => return why.to_string(),
                }
            }
            Err(fault) => {
                warn!(shared.log, "node connection closed: malformed input"; "node" => name, "why" => %fault);
                return fault.to_string();
            }
        }
    }
}

async fn write(shared: Rc<Shared>, connection: Rc<Connection>, slotted: Rc<SlottedStream>) -> String {
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
        if pull.is_some() && !shared.may_send() {
            // The pull has not been sent, and the end of the connection reports it so.
            connection.queue.borrow_mut().push_front(Queued { message, packet });
            return "this router must not send".into();
        }
        if pull.is_some() && connection.awaiting_answer.borrow().is_empty() && has_closed(&slotted.stream) {
            connection.queue.borrow_mut().push_front(Queued { message, packet });
            return "closed by the node while it was idle".into();
        }
        connection.writing.set(pull);
        connection.write_started.set(Some(Instant::now()));
        let packets = [packet];
        let write_all =
            async { write_packets(&slotted.stream, &packets, |_| {}).await.map_err(|why| why.to_string()) };
        let result = match shared.observer.get() {
            None => write_all.await,
            Some(observer) => or(wait_until_forbidden(observer.as_ref()), write_all).await,
        };
        connection.write_started.set(None);
        connection.last_used_at.set(Instant::now());
        if let Err(why) = result {
            return why;
        }
        match message {
            Message::Pull(pull, id) if connection.writing.take() == Some((pull, id)) => {
                connection.awaiting_answer.borrow_mut().insert(id, (pull, Instant::now()));
            }
            // The pull was given up while it was being written. It is complete now, so it has to be
            // cancelled.
            Message::Pull(pull, id) => connection.queue.borrow_mut().push_front(Queued::cancel(pull, id)),
            Message::Cancel(pull) => {
                connection.pending_cancels.borrow_mut().retain(|pending| *pending != pull)
            }
        }
    }
}

/// Whether the node has closed an idle connection whose end was not read yet. A pull written there would be
/// lost without proof that it never ran, and some pulls must not run twice.
fn has_closed(stream: &Stream) -> bool {
    !matches!(call_without_waiting(|| stream.get_ref().peek(&mut [0])), Ok(None | Some(1..)))
}

/// Fails once the observer forbids sending: a pull that is not written whole never runs.
async fn wait_until_forbidden(observer: &dyn Observer) -> Result<(), String> {
    while observer.may_send() {
        Timer::after(PERMISSION_CHECK_INTERVAL).await;
    }
    Err("this router must not send".into())
}

/// Closes connections that are no longer needed: a retired one once its pulls are over, and an idle one
/// before the node closes it just as a pull is being written. Also ends one whose answer stopped half way,
/// since no other pull on it can get an answer.
async fn watch(shared: &Shared, connection: &Connection, name: &str) -> String {
    let limits = &shared.limits;
    loop {
        let check = connection.check.listen();
        if connection.is_idle()
            && (connection.retired.get() || connection.last_used_at.get().elapsed() > limits.node_idle)
        {
            return "idle".into();
        }
        if connection.partial_since.get().is_some_and(|since| since.elapsed() > limits.node_halt) {
            return "incomplete answer".into();
        }
        let is_slow = connection.answer_since.get().is_some_and(|since| since.elapsed() > limits.node_halt);
        if is_slow && shared.answer_memory.has_waiters() {
            info!(shared.log, "node connection closed: slow answer while others wait for memory"; "node" => name);
            return "slow answer while others wait for memory".into();
        }
        // The end of the connection tells the node what the cancel can't.
        if connection.is_stuck(limits.node_silence) && !connection.pending_cancels.borrow().is_empty() {
            return "a cancel can't be written".into();
        }
        let later = async {
            Timer::after(limits.watch_every).await;
        };
        or(check, later).await;
    }
}
