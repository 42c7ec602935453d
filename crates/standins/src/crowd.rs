//! Clients of a branch: they ask its routers open loop, so that a slow answer does not slow the asking down, come again
//! when they are told to, and count what became of every download. They also look whether what they got is what the
//! archive gives.
use crate::say;
use crate::talk::{decoder, receive, send};
use bytes::Bytes;
use harestage_wire::client::{DownloadRequest, ToClient, decode_answer, encode_download, encode_status};
use harestage_wire::fields::HexId;
use serde::Deserialize;
use serde_json::json;
use std::collections::{BinaryHeap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Open downloads on a connection, as the protocol allows.
const OPEN: usize = 32;
/// Connections to one router, at most.
const CONNECTIONS: usize = 24;
/// What was counted is said as often.
const SAYS_EVERY: Duration = Duration::from_millis(250);
/// An answer that comes later after its time is overdue.
const SLACK: Duration = Duration::from_millis(500);
/// At the end downloads are waited for as long, past the time of the longest: then they are lost.
const AT_THE_END: Duration = Duration::from_secs(4);
const CONNECT: Duration = Duration::from_millis(300);

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrowdPlace {
    pub routers: Vec<SocketAddr>,
    /// Downloads a second.
    pub rate: f64,
    pub contents: Vec<CrowdContent>,
    /// Objects that are drawn from, the first ones more often.
    pub objects: u64,
    /// The first of them; crowds with different ones want nothing in common.
    #[serde(default)]
    pub first_object: u64,
    #[serde(default)]
    pub seed: u64,
    #[serde(default)]
    pub begins_ms: u64,
    pub lasts_ms: u64,
    /// Times that a client comes again after it was refused.
    #[serde(default)]
    pub comes_again: u32,
    /// It comes again at once, whatever it is told, and also after it was given up on.
    #[serde(default)]
    pub eager: bool,
    /// From then on, for so long, so many times as much is asked for.
    #[serde(default)]
    pub surge: Option<Surge>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    pub at_ms: u64,
    pub lasts_ms: u64,
    pub times: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrowdContent {
    pub name: String,
    /// Part of all downloads, against the others' parts.
    pub share: f64,
    pub waits_ms: u64,
    pub target_ms: u64,
    #[serde(default = "one")]
    pub benefit: f64,
    /// Each is a write of its own, which has to run at most once.
    #[serde(default)]
    pub filing: bool,
}

fn one() -> f64 {
    1.0
}

/// What became of downloads, by content type; all of them counts since the beginning.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub asked: u64,
    /// Those that were sent, second ones among them.
    pub tries: u64,
    pub in_time: u64,
    pub late: u64,
    pub throttled: u64,
    pub abandoned: u64,
    /// The router has gone, or the connection to it: there was nobody to answer.
    pub cut_off: u64,
    /// No answer at all over a connection that stayed.
    pub lost: u64,
    /// An answer of any kind that came after its time by more than the slack.
    pub overdue: u64,
    pub wrong: u64,
    /// Answers by which change of its object they are: before the first, and after it.
    pub first_version: u64,
    pub second_version: u64,
}

struct Open {
    wish: DownloadRequest,
    content: usize,
    asked: Instant,
    tries: u32,
}

#[derive(Default)]
struct State {
    counts: Vec<Counts>,
    /// Those that come again, by when.
    again: BinaryHeap<std::cmp::Reverse<(Instant, u64)>>,
    coming: HashMap<u64, Open>,
    number: u64,
}

struct Connection {
    stream: TcpStream,
    open: Mutex<HashMap<u64, Open>>,
    ended: AtomicBool,
}

type Shared = Arc<(CrowdPlace, Mutex<State>)>;

fn held<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Plays a crowd to its end or until `stop`; what it says goes to standard output.
pub fn play(place: CrowdPlace, stop: &AtomicBool) {
    let begun = Instant::now();
    let at = |ms: u64| begun + Duration::from_millis(ms);
    let state = State { counts: vec![Counts::default(); place.contents.len()], ..State::default() };
    let shared: Shared = Arc::new((place.clone(), Mutex::new(state)));
    let mut lines: Vec<Vec<Arc<Connection>>> = place.routers.iter().map(|_| Vec::new()).collect();
    let (mut drawn, mut tag) = (0u64, 0u64);
    let mut next = at(place.begins_ms);
    let mut says = begun + SAYS_EVERY;
    let end = at(place.begins_ms + place.lasts_ms);
    let until_asked = |now: Instant| now < end && !stop.load(Ordering::Relaxed);
    while until_asked(Instant::now()) {
        let now = Instant::now();
        if now >= says {
            says += SAYS_EVERY;
            tell(&shared);
        }
        let due = due_again(&shared, now);
        for open in due {
            tag += 1;
            ask(&shared, &mut lines, tag, open);
        }
        if now < next {
            std::thread::sleep((next - now).min(Duration::from_millis(2)));
            continue;
        }
        drawn += 1;
        let surge = place.surge.filter(|s| now >= at(s.at_ms) && now < at(s.at_ms + s.lasts_ms));
        let rate = place.rate * surge.map_or(1.0, |s| s.times);
        let gap = -unit(&(place.seed, drawn, "gap")).ln() / rate;
        next = next.max(now - Duration::from_millis(200)) + Duration::from_secs_f64(gap);
        tag += 1;
        let open = draw(&place, drawn);
        held(&shared.1).counts[open.content].asked += 1;
        ask(&shared, &mut lines, tag, open);
    }
    let longest = place.contents.iter().map(|c| c.waits_ms).max().unwrap_or(0);
    let last = Instant::now() + Duration::from_millis(longest) + AT_THE_END;
    let open = |lines: &Vec<Vec<Arc<Connection>>>| lines.iter().flatten().any(|c| !held(&c.open).is_empty());
    while open(&lines) && Instant::now() < last {
        std::thread::sleep(Duration::from_millis(10));
    }
    for connection in lines.iter().flatten() {
        let left: Vec<Open> = held(&connection.open).drain().map(|(_, open)| open).collect();
        let _ = connection.stream.shutdown(Shutdown::Both);
        left.iter().for_each(|open| held(&shared.1).counts[open.content].lost += 1);
    }
    tell(&shared);
    say("crowd ended", json!({}));
}

/// Strictly between 0 and 1.
fn unit(of: &impl Hash) -> f64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    ((hasher.finish() >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}

fn number(of: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    hasher.finish()
}

fn draw(place: &CrowdPlace, drawn: u64) -> Open {
    let all: f64 = place.contents.iter().map(|c| c.share).sum();
    let mut left = unit(&(place.seed, drawn, "content")) * all;
    let at = place.contents.iter().position(|c| {
        left -= c.share;
        left <= 0.0
    });
    let content = at.unwrap_or(place.contents.len() - 1);
    let kind = &place.contents[content];
    // The first objects more often, with a long tail: the square of an even draw.
    let object = match kind.filing {
        true => number(&(place.seed, drawn, "filing")) | 1 << 63,
        false => {
            place.first_object + (unit(&(place.seed, drawn, "object")).powi(2) * place.objects as f64) as u64
        }
    };
    let body = if kind.filing { Bytes::from(format!("filing {object:016x}")) } else { Bytes::new() };
    let wish = DownloadRequest {
        id: HexId::from_u64(number(&(place.seed, drawn, "id"))),
        content: Bytes::from(kind.name.clone().into_bytes()),
        object: HexId::from_u64(object),
        part: 0,
        group: (object % 256) as u32,
        timeout_ms: kind.waits_ms,
        repeat: false,
        kilobytes: 0.0,
        dedup_key: None,
        known_digest: None,
        body,
    };
    Open { wish, content, asked: Instant::now(), tries: 0 }
}

fn due_again(shared: &Shared, now: Instant) -> Vec<Open> {
    let mut state = held(&shared.1);
    let mut due = Vec::new();
    while state.again.peek().is_some_and(|first| first.0.0 <= now) {
        let Some(std::cmp::Reverse((_, number))) = state.again.pop() else { break };
        due.extend(state.coming.remove(&number));
    }
    due
}

fn ask(shared: &Shared, lines: &mut [Vec<Arc<Connection>>], tag: u64, mut open: Open) {
    let content = open.content;
    open.asked = Instant::now();
    let Some(connection) = connection(shared, lines, &open) else {
        return over(shared, open, None);
    };
    let packet = encode_download(tag, &open.wish);
    held(&shared.1).counts[content].tries += 1;
    held(&connection.open).insert(tag, open);
    if send(&connection.stream, &packet).is_err() && held(&connection.open).remove(&tag).is_some() {
        held(&shared.1).counts[content].cut_off += 1;
    }
}

/// A connection with room to the object's usual router, or to another that can be reached.
fn connection(shared: &Shared, lines: &mut [Vec<Arc<Connection>>], open: &Open) -> Option<Arc<Connection>> {
    let first = number(&(open.wish.id.as_u64(), open.tries)) as usize;
    for n in 0..lines.len() {
        let router = (first + n) % lines.len();
        lines[router].retain(|c| !c.ended.load(Ordering::Relaxed));
        let free = lines[router].iter().find(|c| held(&c.open).len() < OPEN);
        if let Some(free) = free {
            return Some(free.clone());
        }
        if lines[router].len() < CONNECTIONS
            && let Some(new) = connect(shared, router)
        {
            lines[router].push(new.clone());
            return Some(new);
        }
    }
    None
}

fn connect(shared: &Shared, router: usize) -> Option<Arc<Connection>> {
    let stream = TcpStream::connect_timeout(&shared.0.routers[router], CONNECT).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_write_timeout(Some(Duration::from_secs(2))).ok()?;
    let reading = stream.try_clone().ok()?;
    let (open, ended) = (Mutex::default(), AtomicBool::new(false));
    let connection = Arc::new(Connection { stream, open, ended });
    let (shared, read) = (shared.clone(), connection.clone());
    std::thread::spawn(move || {
        let mut decoder = decoder();
        while let Some(items) = receive(&reading, &mut decoder) {
            let Some((tag, answer)) = decode_answer(&items) else { break };
            let open = held(&read.open).remove(&tag);
            if let Some(open) = open {
                over(&shared, open, Some(answer));
            }
        }
        read.ended.store(true, Ordering::Relaxed);
        let left: Vec<Open> = held(&read.open).drain().map(|(_, open)| open).collect();
        left.into_iter().for_each(|open| over(&shared, open, None));
    });
    Some(connection)
}

/// What became of one. None: there was nobody to answer.
fn over(shared: &Shared, open: Open, answer: Option<ToClient>) {
    let kind = &shared.0.contents[open.content];
    let took = open.asked.elapsed();
    let object = open.wish.object.as_u64();
    let mut state = held(&shared.1);
    let state = &mut *state;
    let counts = &mut state.counts[open.content];
    // Told apart from what never came: on a busy machine an answer may be late through nobody's fault.
    counts.overdue += u64::from(took > Duration::from_millis(kind.waits_ms) + SLACK);
    match answer {
        Some(ToClient::Fulfilled { body }) => {
            let good = kind.filing || body.first() == Some(&((object % 251) as u8));
            counts.wrong += u64::from(!good);
            let version = body.get(1).copied().filter(|_| !kind.filing);
            counts.first_version += u64::from(version == Some(0));
            counts.second_version += u64::from(version == Some(1));
            let in_time = took <= Duration::from_millis(kind.target_ms);
            counts.in_time += u64::from(in_time);
            counts.late += u64::from(!in_time);
        }
        Some(ToClient::NotModified) => counts.in_time += 1,
        Some(ToClient::Throttled { .. } | ToClient::Abandoned)
            if shared.0.eager && open.tries < shared.0.comes_again && !kind.filing =>
        {
            again(state, open, 10);
        }
        Some(ToClient::Throttled { retry_after_ms }) if open.tries < shared.0.comes_again => {
            again(state, open, retry_after_ms.max(50));
        }
        Some(ToClient::Throttled { .. }) => counts.throttled += 1,
        Some(_) => counts.abandoned += 1,
        None => counts.cut_off += 1,
    }
}

fn again(state: &mut State, mut open: Open, after_ms: u64) {
    open.tries += 1;
    open.wish.repeat = true;
    open.wish.id = HexId::from_u64(number(&(open.wish.id.as_u64(), open.tries)));
    state.number += 1;
    let at = Instant::now() + Duration::from_millis(after_ms);
    state.again.push(std::cmp::Reverse((at, state.number)));
    state.coming.insert(state.number, open);
}

fn tell(shared: &Shared) {
    let mut state = held(&shared.1);
    for (kind, counts) in shared.0.contents.iter().zip(state.counts.iter_mut()) {
        let new = std::mem::take(counts);
        say(
            "crowd",
            json!({"content": kind.name, "asked": new.asked, "tries": new.tries, "in_time": new.in_time, "late": new.late,
                "throttled": new.throttled, "abandoned": new.abandoned, "cut_off": new.cut_off,
                "lost": new.lost, "overdue": new.overdue, "wrong": new.wrong,
                "first_version": new.first_version, "second_version": new.second_version, "benefit_asked": new.asked as f64 * kind.benefit,
                "benefit_served": new.in_time as f64 * kind.benefit}),
        );
    }
}

/// Waits until a router says that it is ready.
pub fn until_ready(router: SocketAddr, within: Duration) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if let Ok(stream) = TcpStream::connect_timeout(&router, CONNECT) {
            let _ = stream.set_read_timeout(Some(CONNECT));
            let asked = send(&stream, &encode_status(1)).is_ok();
            let answer = receive(&stream, &mut decoder()).filter(|_| asked);
            if answer.and_then(|items| decode_answer(&items)).is_some_and(|(_, a)| a == ToClient::Ready) {
                return true;
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
