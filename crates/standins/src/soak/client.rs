//! A client that uses its connection until it is ended: it asks, writes slowly, cancels and leaves, by chance.
use super::{Chances, Record};
use crate::talk::decoder;
use bytes::Bytes;
use harestage_wire::client::{self, DownloadRequest, ToClient};
use harestage_wire::fields::HexId;
use harestage_wire::resp::{Decoder, LINE_END};
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A request that is written within this time of a close has crossed it.
const CROSSING: Duration = Duration::from_millis(50);
/// A client waits this long past a deadline before it takes a request for lost.
const PATIENCE: Duration = Duration::from_millis(1_000);
const READ_SLICE: Duration = Duration::from_millis(5);
/// How long a request's client waits for the answer.
const TIMEOUTS_MS: [u64; 4] = [300, 800, 1_500, 2_900];

/// What a client needs to know.
pub struct ClientPlan {
    pub address: SocketAddr,
    /// Different for each client; ids are made from it.
    pub number: u64,
    pub seed: u64,
    /// Content types of downloads that may be repeated, and that must run once.
    pub repeatable: &'static str,
    pub once: &'static str,
    /// No new connection is made once this is set.
    pub ending: Arc<AtomicBool>,
}

/// An open request.
struct Open {
    id: u64,
    object: HexId,
    written_at: Instant,
    /// Nothing else was open on the connection when it was written.
    at_rest: bool,
    deadline: Instant,
    cancelled: bool,
}

/// Why a connection is of no further use.
struct Ended;

struct Connection<'a> {
    stream: TcpStream,
    decoder: Decoder,
    open: HashMap<u64, Open>,
    last_tag: u64,
    record: &'a Record,
}

/// Runs a client until its connection ends after `ending` is set.
pub fn run_client(plan: &ClientPlan, record: &Record) {
    let (mut chances, mut last_id) = (Chances::new(plan.seed ^ plan.number), plan.number << 32);
    while !plan.ending.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect(plan.address) else { return };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(READ_SLICE));
        let (decoder, open) = (decoder(), HashMap::new());
        let mut connection = Connection { stream, decoder, open, last_tag: 0, record };
        let ended = loop {
            let done = connection.step(plan, &mut chances, &mut last_id);
            if !matches!(done, Ok(true)) {
                break done;
            }
        };
        match ended {
            Err(Ended) => connection.judge_end(),
            Ok(_) => connection.leave(),
        }
    }
}

/// Sends the first part of a large request on each of many connections, and keeps them.
pub fn send_partly(address: SocketAddr, connections: usize, bytes: usize) -> Vec<TcpStream> {
    let head = b"*5\r\n$3\r\nASK\r\n$1\r\n1\r\n$6\r\nfiling\r\n$5\r\ni=abc\r\n$48000\r\n";
    let part = [&head[..], &vec![b'x'; bytes]].concat();
    let connect = |_| {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_write_timeout(Some(Duration::from_millis(100))).ok()?;
        let _ = (&stream).write_all(&part);
        Some(stream)
    };
    (0..connections).filter_map(connect).collect()
}

impl Connection<'_> {
    /// One thing that the client does. `false`: it leaves.
    fn step(&mut self, plan: &ClientPlan, chances: &mut Chances, last_id: &mut u64) -> Result<bool, Ended> {
        match chances.below(100) {
            0..70 => {
                for _ in 0..=chances.below(4) {
                    self.ask(plan, chances, last_id)?;
                }
                if !chances.happens(30) {
                    self.read_until_answered()?;
                }
            }
            70..80 => {
                self.ask(plan, chances, last_id)?;
                self.read_for(Duration::from_millis(chances.below(30)))?;
                self.cancel_all()?;
            }
            80..92 => self.read_for(Duration::from_millis(chances.below(60)))?,
            92..95 if !plan.ending.load(Ordering::Relaxed) => return Ok(false),
            _ => self.read_until_answered()?,
        }
        Ok(true)
    }

    fn ask(&mut self, plan: &ClientPlan, chances: &mut Chances, last_id: &mut u64) -> Result<(), Ended> {
        if self.open.len() >= 24 {
            return self.read_until_answered();
        }
        self.read_for(Duration::ZERO)?;
        *last_id += 1;
        self.last_tag += 1;
        let (id, tag, once) = (*last_id, self.last_tag, chances.happens(40));
        let timeout = Duration::from_millis(TIMEOUTS_MS[chances.below(4) as usize]);
        let object = HexId::from_u64(chances.below(if once { u64::MAX } else { 40 }));
        let body_bytes = if once { chances.below(48_000) as usize } else { 0 };
        let request = DownloadRequest {
            id: HexId::from_u64(id),
            content: Bytes::from(if once { plan.once } else { plan.repeatable }),
            object,
            part: 0,
            group: 0,
            timeout_ms: timeout.as_millis() as u64,
            repeat: false,
            kilobytes: 0.0,
            dedup_key: None,
            known_digest: None,
            body: Bytes::from(vec![b'x'; body_bytes]),
        };
        let packet = client::encode_download(tag, &request);
        let bytes = [&packet.head[..], &packet.body[..], LINE_END].concat();
        let at_rest = self.open.values().all(|open| open.cancelled);
        let slow_pieces = if chances.happens(10) { 3 } else { 1 };
        let mut pieces = bytes.chunks(bytes.len().div_ceil(slow_pieces)).peekable();
        while let Some(piece) = pieces.next() {
            if pieces.peek().is_none() {
                self.record.sent(id, timeout, once);
                let (written_at, cancelled) = (Instant::now(), false);
                let deadline = written_at + timeout;
                self.open.insert(tag, Open { id, object, written_at, at_rest, deadline, cancelled });
            }
            self.stream.write_all(piece).map_err(|_| Ended)?;
            if pieces.peek().is_some() {
                self.read_for(Duration::from_millis(chances.below(60)))?;
            }
        }
        Ok(())
    }

    fn cancel_all(&mut self) -> Result<(), Ended> {
        let tags: Vec<u64> =
            self.open.iter().filter(|(_, open)| !open.cancelled).map(|(tag, _)| *tag).collect();
        for tag in tags {
            let tag_text = tag.to_string();
            let message = format!("*2\r\n$9\r\nNEVERMIND\r\n${}\r\n{tag_text}\r\n", tag_text.len());
            self.stream.write_all(message.as_bytes()).map_err(|_| Ended)?;
            // The answer may have crossed the cancel.
            let Some(open) = self.open.get_mut(&tag) else { continue };
            open.cancelled = true;
            self.record.gone(open.id);
        }
        Ok(())
    }

    fn read_until_answered(&mut self) -> Result<(), Ended> {
        loop {
            let owed = self.open.values().filter(|open| !open.cancelled);
            let Some(latest) = owed.map(|open| open.deadline + PATIENCE).max() else { return Ok(()) };
            if Instant::now() > latest {
                return Err(Ended);
            }
            self.read_for(READ_SLICE)?;
        }
    }

    /// Reads for some time, and what has come already in any case.
    fn read_for(&mut self, time: Duration) -> Result<(), Ended> {
        let until = Instant::now() + time;
        loop {
            while let Ok(Some(items)) = self.decoder.next_message() {
                self.take_answer(&items);
            }
            let is_last = Instant::now() >= until;
            let _ = self.stream.set_nonblocking(is_last);
            let read = self.stream.read(self.decoder.read_buffer());
            let _ = self.stream.set_nonblocking(false);
            match read {
                Ok(0) => return Err(Ended),
                Ok(bytes) => self.decoder.commit(bytes),
                Err(why) if matches!(why.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if is_last {
                        return Ok(());
                    }
                }
                Err(_) => return Err(Ended),
            }
        }
    }

    fn take_answer(&mut self, items: &[Bytes]) {
        let answer =
            client::decode_answer(items).and_then(|(tag, answer)| Some((self.open.remove(&tag)?, answer)));
        let Some((open, answer)) = answer else {
            return self.record.fault(format!("an answer that nobody asked for: {:?}", items.first()));
        };
        self.record.answered(open.id);
        let wrong = matches!(answer, ToClient::Fulfilled { body } if !body.starts_with(open.object.as_str().as_bytes()));
        if wrong {
            self.record.fault(format!("request {:x}: the bytes of another object", open.id));
        }
    }

    /// The router has ended the connection, or owes answers for too long. A connection at rest may be closed, and
    /// what is written to it at that moment, one request or several, has crossed the close.
    fn judge_end(self) {
        let now = Instant::now();
        let mut owed: Vec<Open> = self.open.into_values().filter(|open| !open.cancelled).collect();
        owed.sort_by_key(|open| open.written_at);
        let first = owed.first().map(|first| (first.at_rest, now.duration_since(first.written_at)));
        for open in owed {
            let waited = now.duration_since(open.written_at);
            if open.at_rest && waited <= CROSSING {
                self.record.crossed_close(open.id);
            } else {
                let late = now.saturating_duration_since(open.deadline);
                let what =
                    format!("ended after {waited:?}, {late:?} past the deadline; first open: {first:?}");
                self.record.lost(open.id, what);
            }
        }
    }

    /// The client closes its connection without waiting for what is open.
    fn leave(self) {
        self.open.values().for_each(|open| self.record.gone(open.id));
    }
}
