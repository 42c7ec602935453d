//! Lines between members: each dials every other one, says who it is and on which disk, and sends frames over that
//! connection; answers come over the other's own. What does not fit into a bounded queue is left out: Raft sends it again.
use crate::{Council, News};
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

/// Bytes that wait for one member at most, and of one frame.
const MOST_WAITING: usize = 16 << 20;
const LONGEST_FRAME: usize = 32 << 20;
const CONNECT: Duration = Duration::from_millis(400);
const PAUSE: Duration = Duration::from_millis(150);
const STALL: Duration = Duration::from_secs(3);
/// Where there is nothing to say, an empty frame says that the line stands: members that follow say nothing to each other
/// until one of them wants to lead, and then every lost word costs an election.
const BEAT: Duration = Duration::from_millis(500);
/// A line on which nothing came for as long has ended.
const SILENT: Duration = Duration::from_secs(5);
const MOST_CONNECTIONS: usize = 64;
const LOOK: Duration = Duration::from_millis(500);
const LONGEST_HELLO: usize = 256;

/// What waits to be sent to one member.
pub(crate) struct Post {
    queue: RefCell<VecDeque<Vec<u8>>>,
    waiting: Cell<usize>,
    wake: Event,
}

impl Post {
    fn new() -> Post {
        Post { queue: RefCell::default(), waiting: Cell::new(0), wake: Event::new() }
    }

    pub fn push(&self, bytes: Vec<u8>) {
        let mut queue = self.queue.borrow_mut();
        self.waiting.set(self.waiting.get() + bytes.len());
        queue.push_back(bytes);
        // The oldest say least: whatever they were about was said again since.
        while self.waiting.get() > MOST_WAITING {
            let Some(old) = queue.pop_front() else { break };
            self.waiting.set(self.waiting.get() - old.len());
        }
        self.wake.notify(usize::MAX);
    }

    fn pop(&self) -> Option<Vec<u8>> {
        let bytes = self.queue.borrow_mut().pop_front()?;
        self.waiting.set(self.waiting.get() - bytes.len());
        Some(bytes)
    }

    fn clear(&self) {
        self.queue.borrow_mut().clear();
        self.waiting.set(0);
    }
}

pub(crate) fn listen(
    council: Rc<Council>,
    at: SocketAddr,
    spawner: &Spawner,
    hear: Rc<dyn Fn(News)>,
) -> Result<(), String> {
    let listener = Async::<TcpListener>::bind(at)
        .map_err(|why| format!("key group-listen: {at} can't be listened on: {why}"))?;
    let open = ConnectionLimit::new(MOST_CONNECTIONS);
    let (log, spawning) = (council.log.clone(), spawner.clone());
    spawner.spawn(async move {
        let one = move |stream| {
            let (council, hear) = (council.clone(), hear.clone());
            async move {
                if let Err(why) = hear_member(&council, &stream, &*hear).await {
                    info!(council.log, "member's line ended"; "why" => why);
                }
            }
        };
        accept(listener, open, spawning, one, |why| warn!(log, "accept failed"; "why" => %why)).await;
    });
    Ok(())
}

/// `MEMBER FROM DISK TO AT` and a line end: three numbers in hex, and where the one who says it is reached, so that a member
/// that knows nobody yet can answer.
fn hello(from: u64, disk: u64, to: u64, at: &str) -> String {
    format!("MEMBER {from:016x} {disk:016x} {to:016x} {at}\n")
}

fn read_hello(line: &str) -> Option<(u64, u64, u64, SocketAddr)> {
    let mut words = line.trim_end().strip_prefix("MEMBER ")?.split(' ');
    let mut number = || u64::from_str_radix(words.next()?, 16).ok();
    let (from, disk, to) = (number()?, number()?, number()?);
    Some((from, disk, to, words.next()?.parse().ok()?))
}

async fn read_line(mut stream: &Stream) -> Result<String, String> {
    let (mut line, mut byte) = (Vec::new(), [0]);
    while !line.ends_with(b"\n") {
        let bytes = stream.read(&mut byte).await.map_err(|why| why.to_string())?;
        if bytes == 0 || line.len() > LONGEST_HELLO {
            return Err("no hello".into());
        }
        line.push(byte[0]);
    }
    String::from_utf8(line).map_err(|_| "no hello".into())
}

async fn hear_member(council: &Council, stream: &Stream, hear: &dyn Fn(News)) -> Result<(), String> {
    let line = with_timeout(STALL, "no hello in time", read_line(stream)).await?;
    let (from, disk, to, at) = read_hello(&line).ok_or("an unreadable hello")?;
    let (me, own) = (council.seat.borrow().id(), council.seat.borrow().disk());
    if to != me {
        write_text(stream, b"NOT ME\n", STALL).await?;
        return Err("meant for another member".into());
    }
    let met = council.seat.borrow_mut().verify_disk(from, disk);
    council.pump();
    if !met {
        write_text(stream, b"NOT YOU\n", STALL).await?;
        return Err("a member on another disk than before".into());
    }
    write_text(stream, format!("DISK {own:016x}\n").as_bytes(), STALL).await?;
    council.is_called_by(from, at);
    loop {
        let frame = with_timeout(SILENT, "silent", read_frame(stream)).await?;
        if frame.is_empty() {
            continue;
        }
        let now = council.clock.now();
        council.seat.borrow_mut().on_message(&frame, now);
        council.pump();
        council.hand_out(hear);
        if council.is_broken() {
            return Ok(());
        }
    }
}

async fn read_frame(mut stream: &Stream) -> Result<Vec<u8>, String> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.map_err(|why| why.to_string())?;
    let length = u32::from_be_bytes(length) as usize;
    if length > LONGEST_FRAME {
        return Err("a frame past the bound".into());
    }
    let mut frame = Vec::with_capacity(length.min(64 << 10));
    // Room comes with the bytes, not with the claim.
    while frame.len() < length {
        let more = (length - frame.len()).min(64 << 10);
        let from = frame.len();
        frame.resize(from + more, 0);
        stream.read_exact(&mut frame[from..]).await.map_err(|why| why.to_string())?;
    }
    Ok(frame)
}

/// Keeps a line to every other member, as the list of members says.
pub(crate) async fn dial_members(council: Rc<Council>, spawner: Spawner, hear: Rc<dyn Fn(News)>) {
    let mut dialling: BTreeMap<u64, async_executor::Task<()>> = BTreeMap::new();
    loop {
        let others = council.others();
        dialling.retain(|id, _| others.iter().any(|other| other.id == *id));
        council.posts.borrow_mut().retain(|id, _| dialling.contains_key(id));
        for other in others {
            dialling.entry(other.id).or_insert_with(|| {
                let post = Rc::new(Post::new());
                council.posts.borrow_mut().insert(other.id, post.clone());
                spawner.spawn_with_handle(dial(council.clone(), other, post, hear.clone()))
            });
        }
        council.changed(LOOK).await;
    }
}

/// Somebody to be dialled.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Other {
    pub id: u64,
    pub name: String,
    pub at: String,
}

async fn dial(council: Rc<Council>, other: Other, post: Rc<Post>, hear: Rc<dyn Fn(News)>) {
    let mut down = false;
    loop {
        let why = match stay(&council, &other, &post, &mut down).await {
            Err(Why::NotYou) => {
                warn!(council.log, "refused by a member that knows another disk of this one"; "by" => &other.name);
                council.end();
                council.hand_out(&*hear);
                return;
            }
            Err(Why::Broke(why)) => why,
            Ok(()) => return,
        };
        if !std::mem::replace(&mut down, true) {
            info!(council.log, "member not reached"; "member" => &other.name, "why" => why, "name" => &council.name);
        }
        council.seat.borrow_mut().report_unreachable(other.id);
        post.clear();
        Timer::after(PAUSE).await;
    }
}

enum Why {
    Broke(String),
    /// It says that this member's disk is not the one it had.
    NotYou,
}

impl From<String> for Why {
    fn from(why: String) -> Why {
        Why::Broke(why)
    }
}

async fn stay(council: &Council, other: &Other, post: &Post, down: &mut bool) -> Result<(), Why> {
    let at: SocketAddr = other.at.parse().map_err(|_| format!("{:?} is no address", other.at))?;
    let (me, disk) = (council.seat.borrow().id(), council.seat.borrow().disk());
    let stream = with_timeout(CONNECT, "not up in time", async {
        Async::<TcpStream>::connect(at).await.map_err(|why| why.to_string())
    })
    .await?;
    let _ = stream.get_ref().set_nodelay(true);
    write_text(&stream, hello(me, disk, other.id, &council.own_place()).as_bytes(), CONNECT).await?;
    let answer = with_timeout(STALL, "no answer to the hello", read_line(&stream)).await?;
    if answer == "NOT YOU\n" {
        return Err(Why::NotYou);
    }
    let number = answer.strip_prefix("DISK ").and_then(|n| u64::from_str_radix(n.trim_end(), 16).ok());
    let number = number.ok_or_else(|| "another member is there".to_string())?;
    let met = council.seat.borrow_mut().verify_disk(other.id, number);
    council.pump();
    if !met {
        return Err(format!("{} is on another disk than before", other.name).into());
    }
    *down = false;
    let write = async {
        loop {
            let bytes = match post.pop() {
                Some(bytes) => bytes,
                None => {
                    let wake = post.wake.listen();
                    if post.waiting.get() == 0 {
                        futures_lite::future::or(wake, async {
                            Timer::after(BEAT).await;
                        })
                        .await;
                    }
                    post.pop().unwrap_or_default()
                }
            };
            let frame = [&(bytes.len() as u32).to_be_bytes()[..], &bytes].concat();
            let wrote = with_timeout(STALL, "it takes nothing", async {
                (&stream).write_all(&frame).await.map_err(|why| why.to_string())
            });
            if let Err(why) = wrote.await {
                return why;
            }
        }
    };
    // The other side says nothing more on this line: what can be read is its end, which a write would learn of too late.
    let closed = async {
        let mut byte = [0];
        match (&stream).read(&mut byte).await {
            Ok(0) => "closed".to_string(),
            Ok(_) => "it speaks where it should listen".to_string(),
            Err(why) => why.to_string(),
        }
    };
    Err(futures_lite::future::or(write, closed).await.into())
}
