//! The one place that has everything: it slows down when it is crowded, stops when it is pushed too far for too long,
//! and counts what it was asked for.
use crate::talk;
use bytes::Bytes;
use harestage::state::CacheStatus;
use harestage_wire::node::{AnswerStatus, CopyTag, IncomingRequest, OutgoingAnswer};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How an archive behaves.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ArchiveScript {
    /// Fetches a second that it answers without slowing down.
    pub capacity: f64,
    pub answers_in_ms: u64,
    /// Times its capacity at which it stops, if it is asked so much for `stops_within_ms`.
    pub stops_at: f64,
    pub stops_within_ms: u64,
    pub stops_for_ms: u64,
    pub body_bytes: usize,
    /// So long after its start every object has changed: bodies say by their second byte which they are.
    pub changes_after_ms: Option<u64>,
}

impl Default for ArchiveScript {
    fn default() -> Self {
        ArchiveScript {
            capacity: 200.0,
            answers_in_ms: 15,
            stops_at: 2.5,
            stops_within_ms: 3_000,
            stops_for_ms: 2_000,
            body_bytes: 2_000,
            changes_after_ms: None,
        }
    }
}

#[derive(Default)]
struct Seen {
    /// Every fetch, by when it came.
    fetches: Vec<(Instant, u64)>,
    /// How often each object was changed.
    changes: HashMap<u64, u64>,
    /// How often each filing ran.
    filings: HashMap<u64, u32>,
    stopped_until: Option<Instant>,
    stops: usize,
}

#[derive(Clone)]
pub struct Archive {
    pub address: SocketAddr,
    script: Arc<Mutex<ArchiveScript>>,
    seen: Arc<Mutex<Seen>>,
    opened: Instant,
}

impl Archive {
    pub fn open(script: ArchiveScript) -> Archive {
        Archive::on(TcpListener::bind("127.0.0.1:0").expect("loopback has room"), script)
    }

    pub fn on(listener: TcpListener, script: ArchiveScript) -> Archive {
        let address = listener.local_addr().expect("it is bound");
        let (script, seen) = (Arc::new(Mutex::new(script)), Arc::default());
        let archive = Archive { address, script, seen, opened: Instant::now() };
        let serving = archive.clone();
        talk::serve(listener, move |asked| serving.reply(asked));
        archive
    }

    fn reply(&self, asked: IncomingRequest) -> Option<OutgoingAnswer> {
        let script = *self.script.lock().expect("no holder panics");
        let (stopped, slow, change) = {
            let mut seen = self.seen.lock().expect("no holder panics");
            let now = Instant::now();
            let object = asked.object.as_u64();
            seen.fetches.push((now, object));
            if !asked.body.is_empty() {
                *seen.filings.entry(object).or_default() += 1;
            }
            let window = Duration::from_millis(script.stops_within_ms);
            let lately = seen.fetches.iter().rev().take_while(|(at, _)| now - *at < window).count() as f64;
            let load = lately / window.as_secs_f64() / script.capacity;
            if load > script.stops_at && seen.stopped_until.is_none_or(|until| until < now) {
                seen.stopped_until = Some(now + Duration::from_millis(script.stops_for_ms));
                seen.stops += 1;
            }
            let second = Duration::from_millis(500);
            let now_load = seen.fetches.iter().rev().take_while(|(at, _)| now - *at < second).count() as f64;
            let crowded = (now_load / second.as_secs_f64() / script.capacity).max(1.0);
            let stopped = seen.stopped_until.is_some_and(|until| until > now);
            (stopped, crowded * crowded, seen.changes.get(&object).copied().unwrap_or(0))
        };
        if stopped {
            return None;
        }
        std::thread::sleep(Duration::from_millis(script.answers_in_ms).mul_f64(slow.min(50.0)));
        let object = asked.object.as_u64();
        let changed =
            script.changes_after_ms.is_some_and(|ms| self.opened.elapsed() >= Duration::from_millis(ms));
        let change = change + u64::from(changed);
        let digest = Bytes::from(format!("{object:x}v{change}p{}", asked.part));
        let dated_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let copy = Some(CopyTag { digest, dated_ms, group: Some((object % 256) as u32) });
        let mut body = vec![(object % 251) as u8; script.body_bytes];
        body.get_mut(1).into_iter().for_each(|version| *version = change as u8);
        let body = Bytes::from(body);
        let (id, word, remark) = (asked.id, AnswerStatus::Fulfilled, CacheStatus::Unknown);
        Some(OutgoingAnswer {
            id,
            status: word,
            cache_status: remark,
            first_byte_ms: 0.0,
            copy,
            body,
            retry_after_ms: None,
            reason: None,
        })
    }

    /// From now on it behaves so.
    pub fn behave(&self, script: ArchiveScript) {
        *self.script.lock().expect("no holder panics") = script;
    }

    pub fn fetches(&self) -> usize {
        self.seen.lock().expect("no holder panics").fetches.len()
    }

    /// Filings that ran, and those of them that ran more than once.
    pub fn filings(&self) -> (usize, usize) {
        let seen = self.seen.lock().expect("no holder panics");
        (seen.filings.len(), seen.filings.values().filter(|times| **times > 1).count())
    }

    /// The most that any one object was fetched since then, and how many were fetched more than once.
    pub fn most_of_one(&self, since: Instant) -> (usize, usize) {
        let mut by_object: HashMap<u64, usize> = HashMap::new();
        let seen = self.seen.lock().expect("no holder panics");
        let lately = seen.fetches.iter().filter(|(at, _)| *at >= since);
        lately.for_each(|(_, object)| *by_object.entry(*object).or_default() += 1);
        (by_object.values().copied().max().unwrap_or(0), by_object.values().filter(|n| **n > 1).count())
    }

    /// The load of its worst such window since then, as a part of its stopping point.
    pub fn peak_share(&self, since: Instant) -> f64 {
        let script = *self.script.lock().expect("no holder panics");
        let window = Duration::from_millis(script.stops_within_ms);
        let seen = self.seen.lock().expect("no holder panics");
        let at: Vec<Instant> = seen.fetches.iter().map(|(at, _)| *at).filter(|at| *at >= since).collect();
        let (mut from, mut most) = (0, 0);
        for (to, now) in at.iter().enumerate() {
            while *now - at[from] > window {
                from += 1;
            }
            most = most.max(to + 1 - from);
        }
        most as f64 / window.as_secs_f64() / (script.capacity * script.stops_at)
    }

    pub fn stops(&self) -> usize {
        self.seen.lock().expect("no holder panics").stops
    }
}
