//! Follows the control feed: subscribes after the last applied event, and again after a broken connection, a
//! silence, a gap in the event numbers or a change of the address.
//!
//! A feed of our own says in its first event that it accepts acknowledgements. The router then reports the
//! purges that it has applied, and each later purge number once everything before it is applied. To any other
//! feed it sends nothing but its subscription.
use super::Stream;
use crate::program::limits::Limits;
use crate::routing::Input;
use async_channel::{Receiver, Sender, bounded};
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use harestage::time::Span;
use harestage_sockets::read_some;
use harestage_wire::feed::{self, Ack, AppliedPurges, FeedMessage, ServiceState};
use slog::{Logger, info, warn};
use std::cell::Cell;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The current address of the feed.
pub struct FeedAddress {
    address: Cell<SocketAddr>,
    moved: Event,
}

impl FeedAddress {
    /// An address that can be changed later.
    pub fn new(address: SocketAddr) -> Rc<FeedAddress> {
        Rc::new(FeedAddress { address: Cell::new(address), moved: Event::new() })
    }

    /// Changes the address. A connection to the old one is closed at once, whatever it is waiting for.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moved.notify(usize::MAX);
        }
    }
}

/// A subscriber of the control feed.
pub struct FeedClient {
    pub limits: Rc<Limits>,
    pub inbox: Sender<Input>,
    pub log: Logger,
    pub address: Rc<FeedAddress>,
    /// Number of the last event passed on to the routing task.
    pub last_event: u64,
    /// Further addresses, if the feed is served by a group: the next one is tried after each break.
    pub group_addresses: VecDeque<SocketAddr>,
    /// Passes the service state on to the routing task, for an observer.
    pub track_service_state: bool,
    /// The core does not need purges that were requested longer ago than this.
    pub purge_retention: Span,
    /// The last purge number passed on, and when that purge was requested, as the feed reported it.
    pub applied_purges: Option<(u64, u64)>,
}

/// Acknowledgements to send on one connection.
struct AckChannel {
    /// Purge numbers that the core has confirmed. A newer one replaces one that is not sent yet.
    confirmed: (Sender<u64>, Receiver<u64>),
    /// The feed accepts acknowledgements.
    accepted: Event,
    is_accepted: Cell<bool>,
}

impl FeedClient {
    /// Moves on to the next address of the group; the current one becomes its last.
    fn rotate_address(&mut self) {
        if let Some(next) = self.group_addresses.pop_front() {
            self.group_addresses.push_back(self.address.address.replace(next));
        }
    }
}

/// Follows the feed for as long as it is polled, from one address to the next.
pub async fn follow(mut feed: FeedClient) {
    let address = feed.address.clone();
    loop {
        let moved = address.moved.listen();
        or(follow_address(&mut feed), moved).await;
        info!(feed.log, "feed moved"; "to" => %address.address.get(), "after" => feed.last_event);
    }
}

/// Reconnects to the feed again and again until the address changes.
async fn follow_address(feed: &mut FeedClient) {
    let mut is_outage = false;
    loop {
        let (before, started) = (feed.last_event, Instant::now());
        let why = match connect(feed).await {
            Ok(stream) => {
                info!(feed.log, "feed up"; "after" => feed.last_event);
                let acks = AckChannel {
                    confirmed: bounded(1),
                    accepted: Event::new(),
                    is_accepted: Cell::new(false),
                };
                let applied = feed.applied_purges.unwrap_or_default();
                let applied = AppliedPurges {
                    number: applied.0,
                    at_ms: applied.1,
                    retention_ms: feed.purge_retention.as_micros() / 1_000,
                };
                let silence = feed.limits.feed_silence;
                or(read(feed, &stream, &acks), send_acks(&stream, &acks, applied, silence)).await
            }
            Err(why) => why,
        };
        // Logged once per outage.
        if !is_outage || feed.last_event != before {
            warn!(feed.log, "feed down"; "why" => &why, "last" => feed.last_event);
        }
        is_outage = feed.last_event == before;
        feed.rotate_address();
        // A router without a feed soon acts on outdated state, so it reconnects at once. It waits only if
        // connections break in quick succession.
        Timer::after(feed.limits.feed_pause.saturating_sub(started.elapsed())).await;
    }
}

async fn connect(feed: &FeedClient) -> Result<Stream, String> {
    let up = async {
        Async::<TcpStream>::connect(feed.address.address.get()).await.map_err(|why| why.to_string())
    };
    let silence = feed.limits.feed_silence;
    let stream = with_timeout(silence, up).await?;
    with_timeout(silence, async {
        let text = feed::encode_subscribe(feed.last_event);
        (&stream).write_all(&text).await.map_err(|why| why.to_string())
    })
    .await?;
    Ok(stream)
}

async fn with_timeout<T>(time: Duration, work: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let late = async {
        Timer::after(time).await;
        Err("silent".to_string())
    };
    or(work, late).await
}

/// Sends acknowledgements once the feed accepts them. Returns the error that ended it.
async fn send_acks(
    mut stream: &Stream,
    acks: &AckChannel,
    applied: AppliedPurges,
    silence: Duration,
) -> String {
    let accepted = acks.accepted.listen();
    if !acks.is_accepted.get() {
        accepted.await;
    }
    let (mut ack, mut acked) = (Ack::Initial(applied), None);
    loop {
        let write = async { stream.write_all(&ack.encode()).await.map_err(|why| why.to_string()) };
        if let Err(why) = with_timeout(silence, write).await {
            return why;
        }
        ack = loop {
            match acks.confirmed.1.recv().await {
                // A state without a new purge number is not acknowledged again.
                Ok(number) if acked.is_none_or(|acked| number > acked) => {
                    acked = Some(number);
                    break Ack::Applied(number);
                }
                Ok(_) => {}
                Err(_) => std::future::pending().await,
            }
        };
    }
}

async fn read(feed: &mut FeedClient, stream: &Stream, acks: &AckChannel) -> String {
    let mut first = true;
    let mut text = Vec::new();
    let mut piece = vec![0; feed.limits.read_buffer];
    // Only complete lines with content count as a sign of life. Blank lines, parts of lines and heartbeats
    // with an old number don't prove that the feed is up to date.
    let mut last_sign_of_life = Instant::now();
    loop {
        let left = feed.limits.feed_silence.saturating_sub(last_sign_of_life.elapsed());
        let got =
            with_timeout(left, async { read_some(stream, &mut piece).await.map_err(|why| why.to_string()) })
                .await;
        match got {
            Ok(0) => return "closed".into(),
            Ok(bytes) => text.extend_from_slice(&piece[..bytes]),
            Err(why) => return why,
        }
        let mut consumed = 0;
        while let Some(length) = text[consumed..].iter().position(|b| *b == b'\n') {
            let line = &text[consumed..consumed + length];
            consumed += length + 1;
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            match feed::decode_line(line) {
                Ok(FeedMessage::Event(n, event)) if n == feed.last_event + 1 => {
                    if std::mem::take(&mut first) && feed::accepts_acks(line) {
                        acks.is_accepted.set(true);
                        acks.accepted.notify(1);
                    }
                    let state = (feed.track_service_state || acks.is_accepted.get())
                        .then(|| feed::decode_service_state(line))
                        .flatten();
                    // The event is sent before its number is stored: a change of the address may cancel this
                    // future while it waits for queue space, and an event that was not passed on has to be
                    // requested again.
                    let _ = feed.inbox.send(Input::Feed(event)).await;
                    if let Some(state) = state {
                        pass_on(feed, state, acks).await;
                    }
                    feed.last_event = n;
                    last_sign_of_life = Instant::now();
                }
                Ok(FeedMessage::Heartbeat(n)) if n == feed.last_event => last_sign_of_life = Instant::now(),
                Ok(FeedMessage::Event(n, _)) | Ok(FeedMessage::Heartbeat(n)) if n <= feed.last_event => {}
                Ok(FeedMessage::Event(n, _)) | Ok(FeedMessage::Heartbeat(n)) => {
                    return format!("event {n} received after event {}", feed.last_event);
                }
                Err(why) => {
                    let start = String::from_utf8_lossy(&line[..line.len().min(80)]);
                    return format!("malformed line: {why}: {start}");
                }
            }
        }
        text.drain(..consumed);
        if text.len() > feed.limits.feed_line_bytes {
            return "a line over the size limit".into();
        }
    }
}

async fn pass_on(feed: &mut FeedClient, state: ServiceState, acks: &AckChannel) {
    let purges = state.purge_number.filter(|_| acks.is_accepted.get());
    let at_ms = state.purged_at_ms.unwrap_or_default();
    if feed.track_service_state {
        let _ = feed.inbox.send(Input::ServiceState(state)).await;
    }
    if let Some(number) = purges {
        let _ = feed.inbox.send(Input::Confirm { number, to: acks.confirmed.0.clone() }).await;
        feed.applied_purges = Some((number, at_ms));
    }
}
