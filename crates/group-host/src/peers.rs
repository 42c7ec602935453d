//! Connections between members. Each member connects to every other one, identifies itself and its disk, and sends
//! frames over that connection. The other member replies over its own connection. Messages that do not fit into a bounded
//! queue are dropped, as Raft sends them again.
use crate::{GroupEvent, GroupMember};
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use harestage_sockets::accept::{ConnectionLimit, accept};
use harestage_sockets::lines::{with_timeout, write_text};
use harestage_sockets::{Spawner, Stream};
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of bytes queued for one member.
const MAX_OUTBOX_BYTES: usize = 16 << 20;
const MAX_FRAME_BYTES: usize = 32 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// Timeout of the handshake and of each frame that is written.
const IO_TIMEOUT: Duration = Duration::from_secs(3);
/// An empty frame is sent after this long without a message, to detect broken connections. Followers send nothing to each
/// other until one of them becomes a candidate, and then each message lost on a broken connection costs an election.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// A connection on which nothing was received for this long is closed.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_CONNECTIONS: usize = 64;
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
const MAX_HANDSHAKE_BYTES: usize = 256;

/// The queue of messages to one member.
pub(crate) struct Outbox {
    queue: RefCell<VecDeque<Vec<u8>>>,
    queued_bytes: Cell<usize>,
    pushed: Event,
}

impl Outbox {
    fn new() -> Outbox {
        Outbox { queue: RefCell::default(), queued_bytes: Cell::new(0), pushed: Event::new() }
    }

    pub fn push(&self, bytes: Vec<u8>) {
        let mut queue = self.queue.borrow_mut();
        self.queued_bytes.set(self.queued_bytes.get() + bytes.len());
        queue.push_back(bytes);
        // Drops the oldest messages, since later ones repeat what they said.
        while self.queued_bytes.get() > MAX_OUTBOX_BYTES {
            let Some(oldest) = queue.pop_front() else { break };
            self.queued_bytes.set(self.queued_bytes.get() - oldest.len());
        }
        self.pushed.notify(usize::MAX);
    }

    fn pop(&self) -> Option<Vec<u8>> {
        let bytes = self.queue.borrow_mut().pop_front()?;
        self.queued_bytes.set(self.queued_bytes.get() - bytes.len());
        Some(bytes)
    }

    fn clear(&self) {
        self.queue.borrow_mut().clear();
        self.queued_bytes.set(0);
    }
}

/// Accepts connections of other members.
pub(crate) fn listen(
    group_member: Rc<GroupMember>,
    address: SocketAddr,
    spawner: &Spawner,
    on_event: Rc<dyn Fn(GroupEvent)>,
) -> Result<(), String> {
    let listener = Async::<TcpListener>::bind(address)
        .map_err(|error| format!("key group-listen: {address} can't be listened on: {error}"))?;
    let connection_limit = ConnectionLimit::new(MAX_CONNECTIONS);
    let (log, accept_spawner) = (group_member.log.clone(), spawner.clone());
    spawner.spawn(async move {
        let serve_connection = move |stream| {
            let (group_member, on_event) = (group_member.clone(), on_event.clone());
            async move {
                if let Err(reason) = receive(&group_member, &stream, &*on_event).await {
                    info!(group_member.log, "member's line ended"; "why" => reason);
                }
            }
        };
        accept(
            listener,
            connection_limit,
            accept_spawner,
            serve_connection,
            |error| warn!(log, "accept failed"; "why" => %error),
        )
        .await;
    });
    Ok(())
}

/// Encodes the handshake `MEMBER FROM DISK TO ADDRESS`: the sender, its disk and the receiver in hex, and the address of
/// the sender, so that a receiver that knows of no member yet can reply.
fn encode_handshake(from: u64, disk: u64, to: u64, address: &str) -> String {
    format!("MEMBER {from:016x} {disk:016x} {to:016x} {address}\n")
}

fn parse_handshake(line: &str) -> Option<(u64, u64, u64, SocketAddr)> {
    let mut fields = line.trim_end().strip_prefix("MEMBER ")?.split(' ');
    let mut number = || u64::from_str_radix(fields.next()?, 16).ok();
    let (from, disk, to) = (number()?, number()?, number()?);
    Some((from, disk, to, fields.next()?.parse().ok()?))
}

async fn read_line(mut stream: &Stream) -> Result<String, String> {
    let (mut line, mut byte) = (Vec::new(), [0]);
    while !line.ends_with(b"\n") {
        let bytes = stream.read(&mut byte).await.map_err(|error| error.to_string())?;
        if bytes == 0 || line.len() > MAX_HANDSHAKE_BYTES {
            return Err("handshake is incomplete or too long".into());
        }
        line.push(byte[0]);
    }
    String::from_utf8(line).map_err(|_| "handshake is not UTF-8".into())
}

/// Handles a connection of another member: the handshake, and then its messages until the connection ends.
async fn receive(
    group_member: &GroupMember,
    stream: &Stream,
    on_event: &dyn Fn(GroupEvent),
) -> Result<(), String> {
    let line = with_timeout(IO_TIMEOUT, "handshake timed out", read_line(stream)).await?;
    let (from, disk, to, address) = parse_handshake(&line).ok_or("handshake can't be parsed")?;
    let (local_id, local_disk) = (group_member.replica.borrow().id(), group_member.replica.borrow().disk());
    if to != local_id {
        write_text(stream, b"NOT ME\n", IO_TIMEOUT).await?;
        return Err("connection is meant for another member".into());
    }
    let is_known_disk = group_member.replica.borrow_mut().verify_disk(from, disk);
    group_member.pump();
    if !is_known_disk {
        write_text(stream, b"NOT YOU\n", IO_TIMEOUT).await?;
        return Err("member is on another disk than before".into());
    }
    write_text(stream, format!("DISK {local_disk:016x}\n").as_bytes(), IO_TIMEOUT).await?;
    group_member.on_caller(from, address);
    loop {
        let frame = with_timeout(READ_TIMEOUT, "silent", read_frame(stream)).await?;
        if frame.is_empty() {
            continue;
        }
        let now = group_member.clock.now();
        group_member.replica.borrow_mut().on_message(&frame, now);
        group_member.pump();
        group_member.deliver_events(on_event);
        if group_member.has_failed() {
            return Ok(());
        }
    }
}

async fn read_frame(mut stream: &Stream) -> Result<Vec<u8>, String> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.map_err(|error| error.to_string())?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err("frame exceeds the size limit".into());
    }
    let mut frame = Vec::with_capacity(length.min(64 << 10));
    // Allocates as bytes arrive, and not by the announced length.
    while frame.len() < length {
        let count = (length - frame.len()).min(64 << 10);
        let start = frame.len();
        frame.resize(start + count, 0);
        stream.read_exact(&mut frame[start..]).await.map_err(|error| error.to_string())?;
    }
    Ok(frame)
}

/// Keeps a connection to each peer, as the list of peers changes.
pub(crate) async fn connect_to_peers(
    group_member: Rc<GroupMember>,
    spawner: Spawner,
    on_event: Rc<dyn Fn(GroupEvent)>,
) {
    let mut connections: BTreeMap<u64, async_executor::Task<()>> = BTreeMap::new();
    loop {
        let peers = group_member.peers();
        connections.retain(|id, _| peers.iter().any(|peer| peer.id == *id));
        group_member.outboxes.borrow_mut().retain(|id, _| connections.contains_key(id));
        for peer in peers {
            connections.entry(peer.id).or_insert_with(|| {
                let outbox = Rc::new(Outbox::new());
                group_member.outboxes.borrow_mut().insert(peer.id, outbox.clone());
                spawner.spawn_with_handle(keep_connected(
                    group_member.clone(),
                    peer,
                    outbox,
                    on_event.clone(),
                ))
            });
        }
        group_member.wait_for_member_change(PEER_CHECK_INTERVAL).await;
    }
}

/// A member to connect to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Peer {
    pub id: u64,
    pub name: String,
    pub address: String,
}

/// Connects to a peer again whenever the connection ends.
async fn keep_connected(
    group_member: Rc<GroupMember>,
    peer: Peer,
    outbox: Rc<Outbox>,
    on_event: Rc<dyn Fn(GroupEvent)>,
) {
    let mut is_down = false;
    loop {
        let reason = match send(&group_member, &peer, &outbox, &mut is_down).await {
            Err(ConnectionError::DiskRejected) => {
                warn!(group_member.log, "refused by a member that knows another disk of this one"; "by" => &peer.name);
                group_member.fail();
                group_member.deliver_events(&*on_event);
                return;
            }
            Err(ConnectionError::Lost(reason)) => reason,
            Ok(()) => return,
        };
        if !std::mem::replace(&mut is_down, true) {
            info!(group_member.log, "no connection to member"; "member" => &peer.name, "why" => reason, "name" => &group_member.name);
        }
        group_member.replica.borrow_mut().report_unreachable(peer.id);
        outbox.clear();
        Timer::after(RECONNECT_DELAY).await;
    }
}

enum ConnectionError {
    Lost(String),
    /// The peer remembers another disk of this member.
    DiskRejected,
}

impl From<String> for ConnectionError {
    fn from(reason: String) -> ConnectionError {
        ConnectionError::Lost(reason)
    }
}

/// Connects to a peer and sends it the messages of its outbox until the connection ends.
async fn send(
    group_member: &GroupMember,
    peer: &Peer,
    outbox: &Outbox,
    is_down: &mut bool,
) -> Result<(), ConnectionError> {
    let address: SocketAddr =
        peer.address.parse().map_err(|_| format!("{:?} is not a valid address", peer.address))?;
    let (local_id, local_disk) = (group_member.replica.borrow().id(), group_member.replica.borrow().disk());
    let stream = with_timeout(CONNECT_TIMEOUT, "connecting timed out", async {
        Async::<TcpStream>::connect(address).await.map_err(|error| error.to_string())
    })
    .await?;
    let _ = stream.get_ref().set_nodelay(true);
    write_text(
        &stream,
        encode_handshake(local_id, local_disk, peer.id, &group_member.local_address()).as_bytes(),
        CONNECT_TIMEOUT,
    )
    .await?;
    let answer = with_timeout(IO_TIMEOUT, "no answer to the handshake", read_line(&stream)).await?;
    if answer == "NOT YOU\n" {
        return Err(ConnectionError::DiskRejected);
    }
    let disk = answer.strip_prefix("DISK ").and_then(|n| u64::from_str_radix(n.trim_end(), 16).ok());
    let disk = disk.ok_or_else(|| "another member has this address".to_string())?;
    let is_known_disk = group_member.replica.borrow_mut().verify_disk(peer.id, disk);
    group_member.pump();
    if !is_known_disk {
        return Err(format!("{} is on another disk than before", peer.name).into());
    }
    *is_down = false;
    let write = async {
        loop {
            let bytes = match outbox.pop() {
                Some(bytes) => bytes,
                None => {
                    let pushed = outbox.pushed.listen();
                    if outbox.queued_bytes.get() == 0 {
                        futures_lite::future::or(pushed, async {
                            Timer::after(KEEPALIVE_INTERVAL).await;
                        })
                        .await;
                    }
                    outbox.pop().unwrap_or_default()
                }
            };
            let frame = [&(bytes.len() as u32).to_be_bytes()[..], &bytes].concat();
            let written = with_timeout(IO_TIMEOUT, "write timed out", async {
                (&stream).write_all(&frame).await.map_err(|error| error.to_string())
            });
            if let Err(reason) = written.await {
                return reason;
            }
        }
    };
    // The peer sends nothing more on this connection. Reading detects its end earlier than a failed write.
    let closed = async {
        let mut byte = [0];
        match (&stream).read(&mut byte).await {
            Ok(0) => "closed".to_string(),
            Ok(_) => "unexpected data from the peer".to_string(),
            Err(error) => error.to_string(),
        }
    };
    Err(futures_lite::future::or(write, closed).await.into())
}
