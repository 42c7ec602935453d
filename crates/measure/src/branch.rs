//! A branch as its hubs see it: it follows its control feed as a router does, and asks each object of its home among
//! the hubs that the feed lists, open loop, so that a slow hub does not slow the asking down.
use harestage_shape::config::BranchConfig;
use harestage_standins::{Caller, pull};
use harestage_wire::feed::{FeedEvent, FeedMessage, MemberState, decode_line};
use harestage_wire::fields::HexId;
use harestage_wire::node::{AnswerStatus, Request};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The hubs that a branch's feed lists as ready.
pub type Listed = Arc<Mutex<BTreeMap<String, SocketAddr>>>;

/// Follows a branch's feed for good, over breaks, from the last number that it has.
pub fn follow(feed: SocketAddr, stop: Arc<AtomicBool>) -> Listed {
    let listed = Listed::default();
    let told = listed.clone();
    std::thread::spawn(move || {
        let mut last = 0;
        while !stop.load(Ordering::Relaxed) {
            let _ = follow_once(feed, &told, &mut last, &stop);
            std::thread::sleep(Duration::from_millis(20));
        }
    });
    listed
}

fn follow_once(feed: SocketAddr, told: &Listed, last: &mut u64, stop: &AtomicBool) -> std::io::Result<()> {
    let stream = TcpStream::connect_timeout(&feed, Duration::from_millis(300))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    (&stream).write_all(format!("SUB {last}\n").as_bytes())?;
    for line in BufReader::new(stream).lines() {
        let line = line?;
        if stop.load(Ordering::Relaxed) {
            return Ok(());
        }
        let Ok(FeedMessage::Event(n, FeedEvent::Members { is_snapshot: whole, members })) =
            decode_line(line.as_bytes())
        else {
            continue;
        };
        assert_eq!(n, *last + 1, "a router takes no gap");
        *last = n;
        let mut listed = told.lock().expect("no holder panics");
        if whole {
            listed.clear();
        }
        for member in members.iter().filter(|member| member.kind == "parent") {
            match member.address.parse() {
                Ok(address) if member.state == MemberState::Ready => {
                    listed.insert(member.name.clone(), address)
                }
                _ => listed.remove(&member.name),
            };
        }
    }
    Ok(())
}

/// How a branch's load is made.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Pulls a second.
    pub rate: f64,
    /// Objects that are drawn from, the first ones more often.
    pub objects: u64,
    pub target: Duration,
    pub gives_up: Duration,
    pub seed: u64,
}

/// What came of a branch's pulls.
#[derive(Clone, Default)]
pub struct Tally {
    pub asked: u64,
    pub in_time: u64,
    pub failed: u64,
    pub took_us: Option<Histogram<u64>>,
}

impl Tally {
    pub fn share(&self) -> f64 {
        self.in_time as f64 / (self.asked as f64).max(1.0)
    }

    pub fn add(&mut self, other: &Tally) {
        (self.asked, self.in_time) = (self.asked + other.asked, self.in_time + other.in_time);
        self.failed += other.failed;
        match (&mut self.took_us, &other.took_us) {
            (Some(all), Some(more)) => drop(all.add(more)),
            (none, more) => *none = more.clone(),
        }
    }
}

/// Asks for as long as it is told to. Chance is drawn from the seed and a counter; time to answer counts from when a
/// pull was due, not from when it got out, so that a stall is not left out.
pub fn drive(listed: Listed, load: Load, lasts: Duration) -> std::thread::JoinHandle<Tally> {
    let (tally, ids) = (Arc::new(Mutex::new(Tally::default())), Arc::new(AtomicU64::new(1)));
    std::thread::spawn(move || {
        tally.lock().expect("no holder panics").took_us = Histogram::new_with_bounds(1, 60_000_000, 3).ok();
        let begun = Instant::now();
        let pools: Pools = Arc::default();
        let mut workers = Vec::new();
        for n in 0.. {
            let due = begun + Duration::from_secs_f64(n as f64 / load.rate);
            if due >= begun + lasts {
                break;
            }
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let object = object(load, n);
            let (listed, tally, pools) = (listed.clone(), tally.clone(), pools.clone());
            let id = ids.fetch_add(1, Ordering::Relaxed);
            workers.push(std::thread::spawn(move || one(listed, tally, pools, load, object, id, due)));
            workers.retain(|worker| !worker.is_finished());
        }
        workers.into_iter().for_each(|worker| drop(worker.join()));
        tally.lock().expect("no holder panics").clone()
    })
}

fn draw(seed: u64, n: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, n).hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}

/// Twice as likely in each lower half, and so on: a popular head and a long tail.
fn object(load: Load, n: u64) -> u64 {
    let part = draw(load.seed, n);
    (part * part * load.objects as f64) as u64
}

type Pools = Arc<Mutex<HashMap<SocketAddr, Vec<Caller>>>>;

fn one(
    listed: Listed,
    tally: Arc<Mutex<Tally>>,
    pools: Pools,
    load: Load,
    object: u64,
    id: u64,
    due: Instant,
) {
    let mut failed = Vec::new();
    let mut good = false;
    // As the module does: the object's home among the hubs that are listed, then the next, at most three.
    while failed.len() < 3 && due.elapsed() < load.gives_up {
        let Some((name, address)) = home(&listed, object, &failed) else { break };
        let left = load.gives_up.saturating_sub(due.elapsed());
        let request: Request =
            Request { id: HexId::from_u64(id), ..pull(id, "clip", object, left.as_millis() as u64 + 1) };
        let pooled = pools.lock().expect("no holder panics").entry(address).or_default().pop();
        let caller = pooled.or_else(|| Caller::to(address).ok());
        let reply = caller.as_ref().and_then(|caller| caller.ask(&request, left));
        if let (Some(caller), Some(_)) = (caller, &reply) {
            pools.lock().expect("no holder panics").entry(address).or_default().push(caller);
        }
        if reply.is_some_and(|reply| reply.answer.status == AnswerStatus::Fulfilled) {
            good = true;
            break;
        }
        failed.push(name);
    }
    let took = due.elapsed();
    let mut tally = tally.lock().expect("no holder panics");
    tally.asked += 1;
    tally.in_time += u64::from(good && took <= load.target);
    tally.failed += u64::from(!good);
    if let Some(times) = &mut tally.took_us {
        times.saturating_record(took.as_micros() as u64);
    }
}

fn home(listed: &Listed, object: u64, but: &[String]) -> Option<(String, SocketAddr)> {
    let listed = listed.lock().expect("no holder panics");
    let open = listed.iter().filter(|(name, _)| !but.contains(name));
    let weight = |name: &String| {
        let mut hasher = DefaultHasher::new();
        (name, object).hash(&mut hasher);
        hasher.finish()
    };
    open.max_by_key(|(name, _)| weight(name)).map(|(name, address)| (name.clone(), *address))
}

/// A branch's form with a feed of its own.
pub fn form(name: &str, load: f64, hubs: &[&str], feed: SocketAddr) -> BranchConfig {
    BranchConfig {
        name: name.into(),
        site: String::new(),
        load,
        hubs: hubs.iter().map(|hub| hub.to_string()).collect(),
        feed: Some(feed.to_string()),
        feeds: Default::default(),
        caches: Vec::new(),
    }
}
