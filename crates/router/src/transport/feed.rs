//! The control feed: subscribes after the last event applied, and again after a break, a silence, a gap or a
//! move to another address.
//!
//! A feed of ours says with its first event that it hears words; then the router says what purges it has, and after that
//! each number once all before it is applied. To any other feed it writes nothing but its subscription.
use super::Stream;
use crate::program::limits::Limits;
use crate::routing::Input;
use async_channel::{Receiver, Sender, bounded};
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use harestage::time::Span;
use harestage_wire::feed::{self, Ack, AppliedPurges, FeedMessage, ServiceState};
use slog::{Logger, info, warn};
use std::cell::Cell;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Where the feed is to be found.
pub struct FeedAddress {
    address: Cell<SocketAddr>,
    moved: Event,
}

impl FeedAddress {
    pub fn new(address: SocketAddr) -> Rc<FeedAddress> {
        Rc::new(FeedAddress { address: Cell::new(address), moved: Event::new() })
    }

    /// The connection to the old address is given up at once, whatever it is waiting for.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moved.notify(usize::MAX);
        }
    }
}

pub struct FeedClient {
    pub limits: Rc<Limits>,
    pub inbox: Sender<Input>,
    pub log: Logger,
    pub address: Rc<FeedAddress>,
    /// The number of the last event that was applied.
    pub last_event: u64,
    /// Further addresses of the feed, where it is told by a group: after a break the next one is tried.
    pub group_addresses: VecDeque<SocketAddr>,
    /// Somebody records what the router goes by.
    pub track_service_state: bool,
    /// Purges that were asked for longer ago do not matter to the core.
    pub purge_retention: Span,
    /// The purges that were passed on, and when the last of them was asked for, by the marks that were heard last.
    pub applied_purges: Option<(u64, u64)>,
}

/// What is to be said to a feed that hears words, on one connection.
struct Says {
    /// The number that the core has taken in: what was not said before a newer one comes is not said.
    core: (Sender<u64>, Receiver<u64>),
    /// The feed hears words.
    hears: Event,
    heard: Cell<bool>,
}

impl FeedClient {
    /// The feed's own address, and those after it, take turns.
    fn turn(&mut self) {
        if let Some(next) = self.group_addresses.pop_front() {
            self.group_addresses.push_back(self.address.address.replace(next));
        }
    }
}

/// Follows the feed for as long as it is polled, from one address to the next.
pub async fn follow(mut feed: FeedClient) {
    let place = feed.address.clone();
    loop {
        let moved = place.moved.listen();
        or(stay(&mut feed), moved).await;
        info!(feed.log, "feed moved"; "to" => %place.address.get(), "after" => feed.last_event);
    }
}

/// Takes the feed up again and again where it is now.
async fn stay(feed: &mut FeedClient) {
    let mut broken = false;
    loop {
        let (before, since) = (feed.last_event, Instant::now());
        let why = match connect(feed).await {
            Ok(stream) => {
                info!(feed.log, "feed up"; "after" => feed.last_event);
                let says = Says { core: bounded(1), hears: Event::new(), heard: Cell::new(false) };
                let had = feed.applied_purges.unwrap_or_default();
                let had = AppliedPurges {
                    number: had.0,
                    at_ms: had.1,
                    retention_ms: feed.purge_retention.as_micros() / 1_000,
                };
                let silence = feed.limits.feed_silence;
                or(read(feed, &stream, &says), say(&stream, &says, had, silence)).await
            }
            Err(why) => why,
        };
        // Said once for each break, however long it lasts.
        if !broken || feed.last_event != before {
            warn!(feed.log, "feed down"; "why" => &why, "last" => feed.last_event);
        }
        broken = feed.last_event == before;
        feed.turn();
        // What is told counts against the router soon after a break: only a feed that flaps is made to wait.
        Timer::after(feed.limits.feed_pause.saturating_sub(since.elapsed())).await;
    }
}

async fn connect(feed: &FeedClient) -> Result<Stream, String> {
    let up = async {
        Async::<TcpStream>::connect(feed.address.address.get()).await.map_err(|why| why.to_string())
    };
    let silence = feed.limits.feed_silence;
    let stream = within(silence, up).await?;
    within(silence, async {
        let text = feed::encode_subscribe(feed.last_event);
        (&stream).write_all(&text).await.map_err(|why| why.to_string())
    })
    .await?;
    Ok(stream)
}

async fn within<T>(time: Duration, work: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let late = async {
        Timer::after(time).await;
        Err("silent".to_string())
    };
    or(work, late).await
}

/// Says what there is to say, once the feed hears it; why it can't.
async fn say(mut stream: &Stream, says: &Says, had: AppliedPurges, silence: Duration) -> String {
    let hears = says.hears.listen();
    if !says.heard.get() {
        hears.await;
    }
    let (mut word, mut said) = (Ack::Initial(had), None);
    loop {
        let write = async { stream.write_all(&word.encode()).await.map_err(|why| why.to_string()) };
        if let Err(why) = within(silence, write).await {
            return why;
        }
        word = loop {
            match says.core.1.recv().await {
                // Marks that say nothing new of purges are not answered.
                Ok(number) if said.is_none_or(|said| number > said) => {
                    said = Some(number);
                    break Ack::Applied(number);
                }
                Ok(_) => {}
                Err(_) => std::future::pending().await,
            }
        };
    }
}

async fn read(feed: &mut FeedClient, mut stream: &Stream, says: &Says) -> String {
    let mut first = true;
    let mut text = Vec::new();
    let mut piece = vec![0; feed.limits.read_buffer];
    // Whole lines that say something count, not bytes: blank lines, halves of lines, or beats with a number from
    // before say nothing of what is told by now.
    let mut heard = Instant::now();
    loop {
        let left = feed.limits.feed_silence.saturating_sub(heard.elapsed());
        let got = within(left, async { stream.read(&mut piece).await.map_err(|why| why.to_string()) }).await;
        match got {
            Ok(0) => return "closed".into(),
            Ok(bytes) => text.extend_from_slice(&piece[..bytes]),
            Err(why) => return why,
        }
        let mut done = 0;
        while let Some(length) = text[done..].iter().position(|b| *b == b'\n') {
            let line = &text[done..done + length];
            done += length + 1;
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            match feed::decode_line(line) {
                Ok(FeedMessage::Event(n, told)) if n == feed.last_event + 1 => {
                    if std::mem::take(&mut first) && feed::accepts_acks(line) {
                        says.heard.set(true);
                        says.hears.notify(1);
                    }
                    let marks = (feed.track_service_state || says.heard.get())
                        .then(|| feed::decode_service_state(line))
                        .flatten();
                    // In this order: a move to another address may end this while it waits for room, and what
                    // was not passed on must be asked for again.
                    let _ = feed.inbox.send(Input::Feed(told)).await;
                    if let Some(marks) = marks {
                        pass_on(feed, marks, says).await;
                    }
                    feed.last_event = n;
                    heard = Instant::now();
                }
                Ok(FeedMessage::Heartbeat(n)) if n == feed.last_event => heard = Instant::now(),
                Ok(FeedMessage::Event(n, _)) | Ok(FeedMessage::Heartbeat(n)) if n <= feed.last_event => {}
                Ok(FeedMessage::Event(n, _)) | Ok(FeedMessage::Heartbeat(n)) => {
                    return format!("event {n} follows {}", feed.last_event);
                }
                Err(why) => {
                    let start = String::from_utf8_lossy(&line[..line.len().min(80)]);
                    return format!("unreadable line: {why}: {start}");
                }
            }
        }
        text.drain(..done);
        if text.len() > feed.limits.feed_line_bytes {
            return "a line past the bound".into();
        }
    }
}

async fn pass_on(feed: &mut FeedClient, marks: ServiceState, says: &Says) {
    let purges = marks.purge_number.filter(|_| says.heard.get());
    let at_ms = marks.purged_at_ms.unwrap_or_default();
    if feed.track_service_state {
        let _ = feed.inbox.send(Input::ServiceState(marks)).await;
    }
    if let Some(number) = purges {
        let _ = feed.inbox.send(Input::Confirm { number, to: says.core.0.clone() }).await;
        feed.applied_purges = Some((number, at_ms));
    }
}
