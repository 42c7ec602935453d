//! A branch's feed on loopback between stand-ins: a control service, a service of purges, and routers that speak by hand.
mod common;

use common::{object, version};
use harestage_branch::caller::TAKES_WITHIN;
use harestage_branch::net::BranchFeed;
use harestage_branch::start::FeedFile;
use harestage_purge::messages::{Ack as PurgeAck, ToMember, to_line};
use harestage_purge::sequencer::{Item, Payload};
use harestage_shape::messages::{self, ToMember as ToFollower};
use harestage_wire::feed::{Ack, AppliedPurges, MAX_ACK_BYTES};
use serde_json::Value;
use slog::{Drain, Key, Logger, Never, OwnedKVList, Record, Serializer, o};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(20);
const KEEPS_MS: u64 = 3_600_000;

/// A control service with one version. It answers each report.
fn control() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut to = stream.try_clone().unwrap();
                let shape = Box::new(version(5, &["w"]));
                let first = ToFollower::Version { term: 1, shape, plans: Vec::new() };
                let _ = to.write_all(&messages::encode_line(&first));
                for _ in BufReader::new(stream).lines().map_while(Result::ok).skip(1) {
                    let _ = to.write_all(&messages::encode_line(&ToFollower::Heartbeat { term: 1, last: 5 }));
                }
            });
        }
    });
    address
}

/// The number that was confirmed last, and when each was first.
type Confirmed = (u64, Vec<Instant>);

/// A service of purges, as far as one member needs it: tells what follows what the member has.
#[derive(Clone, Default)]
struct Service {
    items: Arc<Mutex<Vec<Item>>>,
    has: Arc<(Mutex<Confirmed>, Condvar)>,
    /// When each item was told first.
    told: Arc<Mutex<Vec<Instant>>>,
}

impl Service {
    fn opens(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, service) = (listener.local_addr().unwrap(), self.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let service = service.clone();
                std::thread::spawn(move || service.tells(stream));
            }
        });
        address
    }

    fn tells(&self, stream: TcpStream) {
        let mut to = stream.try_clone().unwrap();
        for text in BufReader::new(stream).lines().map_while(Result::ok) {
            let said: PurgeAck = serde_json::from_str(&text).unwrap();
            {
                let mut has = self.has.0.lock().unwrap();
                while has.1.len() < said.applied as usize {
                    has.1.push(Instant::now());
                }
                has.0 = said.applied;
            }
            self.has.1.notify_all();
            let items = self.items.lock().unwrap().clone();
            let upto = items.len() as u64;
            {
                let mut told = self.told.lock().unwrap();
                let many = items.len().max(told.len());
                told.resize(many, Instant::now());
            }
            let answer = match said.bootstrapped {
                false => ToMember::Snapshot {
                    term: 1,
                    after: 0,
                    upto,
                    forgotten_ms: 0,
                    fenced: Default::default(),
                    items,
                },
                true => ToMember::Items {
                    term: 1,
                    items: items.into_iter().skip(said.applied as usize).collect(),
                },
            };
            if to.write_all(&to_line(&answer)).is_err() {
                return;
            }
        }
    }

    /// Asks for a purge; its number.
    fn purges(&self, key: u64) -> u64 {
        self.appends(Payload::Purge { scope: object(key), tenant: 0, key: format!("k{key}") })
    }

    /// The next item; its number.
    fn appends(&self, payload: Payload) -> u64 {
        let mut items = self.items.lock().unwrap();
        let number = items.len() as u64 + 1;
        items.push(Item { number, term: 1, at_ms: unix_ms(), payload });
        number
    }

    /// Waits until the feed has confirmed that number: how long after it was told first.
    fn confirmed(&self, number: u64) -> Duration {
        let has = self.has.0.lock().unwrap();
        let (has, late) = self.has.1.wait_timeout_while(has, LONG, |has| has.0 < number).unwrap();
        assert!(!late.timed_out(), "purge {number} is never confirmed");
        has.1[number as usize - 1] - self.told.lock().unwrap()[number as usize - 1]
    }
}

fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

/// What the feed writes to its log, a line each.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<String>>>);

struct Text(String);

impl Serializer for Text {
    fn emit_arguments(&mut self, key: Key, value: &std::fmt::Arguments) -> slog::Result {
        self.0 += &format!(" {key}={value}");
        Ok(())
    }
}

impl Drain for Log {
    type Ok = ();
    type Err = Never;
    fn log(&self, record: &Record, _: &OwnedKVList) -> Result<(), Never> {
        let mut text = Text(record.msg().to_string());
        let _ = slog::KV::serialize(&record.kv(), record, &mut text);
        self.0.lock().unwrap().push(text.0);
        Ok(())
    }
}

/// A feed that serves for as long as this is held.
struct Feed {
    address: SocketAddr,
    log: Log,
    stop: async_channel::Sender<()>,
    serves: Option<std::thread::JoinHandle<()>>,
}

impl Feed {
    fn of(service: SocketAddr) -> Feed {
        let file: FeedFile = serde_json::from_value(serde_json::json!({
            "name": "feed-1", "branch": "br", "listen": "127.0.0.1:0", "groups": 4,
            "controls": [control().to_string()], "purge_services": [service.to_string()]
        }))
        .unwrap();
        let feed = BranchFeed::bind(file.checked().unwrap()).unwrap();
        let (stop, stops) = async_channel::bounded(1);
        let address = feed.address();
        let log = Log::default();
        let logger = Logger::root(log.clone(), o!());
        let serves = std::thread::spawn(move || feed.serve(logger, stops));
        Feed { address, log, stop, serves: Some(serves) }
    }
}

impl Drop for Feed {
    fn drop(&mut self) {
        let _ = self.stop.send_blocking(());
        let _ = self.serves.take().map(|serves| serves.join());
    }
}

struct Router {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
    had: AppliedPurges,
    /// Objects of the purges that it was told, on all its connections.
    told: Vec<u64>,
    /// Endpoints by name, as it was told of them last.
    endpoints: BTreeMap<String, Value>,
}

impl Router {
    fn calls(feed: &Feed) -> Router {
        let stream = TcpStream::connect(feed.address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        let lines = BufReader::new(stream.try_clone().unwrap());
        let mut router = Router {
            stream,
            lines,
            had: AppliedPurges { retention_ms: KEEPS_MS, ..AppliedPurges::default() },
            told: vec![],
            endpoints: BTreeMap::new(),
        };
        router.says(b"SUB 0\n");
        router
    }

    fn calls_again(self, feed: &Feed) -> Router {
        let Router { had, told, .. } = self;
        Router { had, told, ..Router::calls(feed) }
    }

    fn says(&mut self, text: &[u8]) {
        let _ = self.stream.write_all(text);
    }

    /// The next event; none once the feed has ended the connection.
    fn event(&mut self) -> Option<Value> {
        loop {
            let mut text = String::new();
            match self.lines.read_line(&mut text) {
                Ok(0) => return None,
                Err(why) if why.kind() == ErrorKind::ConnectionReset => return None,
                Err(why) => panic!("no line: {why}"),
                Ok(_) => {}
            }
            let event: Value = serde_json::from_str(&text).unwrap();
            if event.is_number() {
                continue;
            }
            if event.pointer("/members/snapshot") == Some(&Value::Bool(true)) {
                self.endpoints.clear();
            }
            for entry in event.pointer("/members/endpoints").and_then(Value::as_array).into_iter().flatten() {
                self.endpoints.insert(entry["name"].as_str().unwrap().into(), entry.clone());
            }
            if let Some(key) = event.pointer("/purge/key").and_then(Value::as_str) {
                self.told.push(u64::from_str_radix(key, 16).unwrap());
            }
            if let Some(number) = event.get("purges").and_then(Value::as_u64) {
                (self.had.number, self.had.at_ms) = (number, event["at"].as_u64().unwrap());
            }
            return Some(event);
        }
    }

    /// Up to the next marks: their number.
    fn marks(&mut self) -> Option<u64> {
        std::iter::from_fn(|| self.event()).find_map(|event| event.get("purges")?.as_u64())
    }

    /// Takes all up to a number and confirms it, on a new connection where this machine held it up.
    fn takes(mut self, feed: &Feed, number: u64) -> Router {
        while self.had.number < number {
            match self.marks() {
                Some(has) => self.says(&Ack::Applied(has).encode()),
                None => {
                    self = self.calls_again(feed);
                    self.is_brought_up();
                }
            }
        }
        self
    }

    /// Whether it may name a hub as the source of a fill, and since when that runs.
    fn source(&self, hub: &str) -> Option<u64> {
        self.endpoints.get(hub).filter(|entry| entry["status"] == "Ready")?["since_ms"].as_u64()
    }

    /// Answers the first event with what it has, and takes the list.
    fn is_brought_up(&mut self) {
        assert_eq!(self.event().expect("the first event")["hears"], true);
        self.says(&Ack::Initial(self.had).encode());
        let number = self.marks().expect("marks at the end of the list");
        self.says(&Ack::Applied(number).encode());
    }
}

#[test]
fn a_purge_is_confirmed_by_the_words_of_routers_or_their_end() {
    let service = Service::default();
    let feed = Feed::of(service.opens());
    let mut router = Router::calls(&feed);
    router.is_brought_up();
    // It answers: it stays, and some purge is confirmed before anyone is ended. One that this machine held up is told again.
    let mut quickest = LONG;
    for n in 1..=10 {
        let number = service.purges(n);
        while router.had.number < number || !router.told.contains(&n) {
            match router.marks() {
                Some(has) => router.says(&Ack::Applied(has).encode()),
                None => {
                    router = router.calls_again(&feed);
                    router.is_brought_up();
                }
            }
        }
        quickest = quickest.min(service.confirmed(number));
    }
    assert!(quickest < Duration::from(TAKES_WITHIN), "{quickest:?}");
    assert_eq!(router.told, (1..=10).collect::<Vec<_>>(), "each once, whatever broke");
    // It takes the purge and says nothing: nothing is confirmed before its connection was ended for that.
    let number = service.purges(11);
    while router.marks().is_some() {}
    assert!(router.told.contains(&11));
    let took = service.confirmed(number);
    assert!(took >= Duration::from(TAKES_WITHIN), "{took:?}");
    // Nor does it count when it calls again, before it says so; and it is told the rest alone.
    service.purges(12);
    service.confirmed(12);
    let before = router.told.len();
    let mut router = router.calls_again(&feed);
    router.had.number -= 1;
    router.had.at_ms = service.items.lock().unwrap()[9].at_ms;
    router.is_brought_up();
    assert_eq!(router.told[before..], [11, 12]);
}

/// Guards against routers that fill from a fenced hub: the feed dropped fences, and clients got purged copies.
#[test]
fn a_fence_is_confirmed_once_routers_no_longer_name_the_hub_as_a_source() {
    let service = Service::default();
    let feed = Feed::of(service.opens());
    let mut router = Router::calls(&feed);
    router.is_brought_up();
    assert_eq!(router.source("w"), Some(0));
    let fenced = service.appends(Payload::Fenced { member: "w".into() });
    let router = router.takes(&feed, fenced);
    assert_eq!(router.source("w"), None);
    service.confirmed(fenced);
    let mut late = Router::calls(&feed);
    late.is_brought_up();
    assert_eq!((late.had.number, late.source("w")), (fenced, None), "nor does one that calls meanwhile");
    let before_ms = unix_ms();
    let freed = service.appends(Payload::Freed { member: "w".into() });
    let since_ms = router.takes(&feed, freed).source("w").expect("it may name the hub again");
    assert!(since_ms >= before_ms, "a freed hub is asked like one that has just started");
}

/// A program from before the word counts by what was written to it: it holds nothing up, and stays.
#[test]
fn a_router_that_does_not_know_the_word_is_told_all_and_holds_nothing_up() {
    let service = Service::default();
    let feed = Feed::of(service.opens());
    service.purges(1);
    service.confirmed(1);
    let mut router = Router::calls(&feed);
    assert_eq!(router.event().unwrap()["hears"], true);
    assert_eq!(router.marks(), Some(1));
    let mut quickest = LONG;
    for n in 2..=6 {
        let number = service.purges(n);
        assert_eq!(router.marks(), Some(number), "it stays");
        quickest = quickest.min(service.confirmed(number));
    }
    assert_eq!(router.told, (1..=6).collect::<Vec<_>>());
    assert!(quickest < Duration::from(TAKES_WITHIN), "{quickest:?}");
}

#[test]
fn words_that_can_not_be_end_their_connection_and_nothing_else() {
    let service = Service::default();
    let feed = Feed::of(service.opens());
    let mut good = Router::calls(&feed);
    good.is_brought_up();
    let long = [vec![b'7'; 2 * MAX_ACK_BYTES], b"\n".to_vec()].concat();
    let had = b"HAS 0 at 0 keeps 6000\n".to_vec();
    let after = |words: &[u8]| [had.clone(), words.to_vec()].concat();
    let flood = b"HAS 0\n".repeat(5_000);
    // A subscription that can't be is no word, and ends before anything is told.
    for first in ["SUB 18446744073709551615\n", "SUB -1\n", "SUB\n", "HAS 1\n"] {
        let mut stream = TcpStream::connect(feed.address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.write_all(first.as_bytes()).unwrap();
        assert_eq!(stream.read(&mut [0; 1]).unwrap(), 0, "{first}");
    }
    let cases: [Vec<u8>; 11] = [
        b"what is this\n".to_vec(),
        b"HAS 0\n".to_vec(),
        b"HAS -1 at 0 keeps 0\n".to_vec(),
        long.clone(),
        after(b"HAS 99\n"),
        after(b"HAS\n"),
        after(&long),
        vec![b'7'; 100_000],
        after(&[b'7'; 100_000]),
        after(&flood),
        after(&had),
    ];
    for (case, words) in cases.iter().enumerate() {
        let mut bad = Router::calls(&feed);
        bad.event().expect("the first event");
        bad.says(words);
        while bad.event().is_some() {}
        assert_eq!(service.has.0.lock().unwrap().0, 0, "case {case}");
    }
    let until = Instant::now() + LONG;
    let counted = || feed.log.0.lock().unwrap().iter().any(|line| line.contains("11 were refused by now"));
    while !counted() {
        assert!(Instant::now() < until, "{:?}", feed.log.0.lock().unwrap());
        std::thread::sleep(Duration::from_millis(5));
    }
    // Nothing of that was taken for a purge that is had, and who speaks well stays.
    let number = service.purges(1);
    assert_eq!(good.marks(), Some(number));
    good.says(&Ack::Applied(number).encode());
    service.confirmed(number);
}

/// Both feeds follow one service: what one has told counts at the other, also when that one starts anew.
#[test]
fn a_router_is_told_what_it_lacks_by_another_feed_and_by_one_that_starts_anew() {
    let service = Service::default();
    let at = service.opens();
    let (first, second) = (Feed::of(at), Feed::of(at));
    for n in 1..=300 {
        service.purges(n);
        // Moments of purges tell them apart.
        std::thread::sleep(Duration::from_millis(1));
    }
    let mut router = Router::calls(&first);
    router.is_brought_up();
    while router.told.len() < 300 {
        router.marks().expect("it is told all");
        let has = router.had.number;
        router.says(&Ack::Applied(has).encode());
    }
    for n in 301..=320 {
        service.purges(n);
    }
    drop(first);
    let upto = |router: &mut Router, many: usize| {
        while router.told.len() < many {
            router.marks().expect("it is told all");
        }
    };
    // One that is behind the first could not tell what the number stands for, and would tell more.
    let mut other = Router::calls(&second);
    other.event().expect("the first event");
    upto(&mut other, 300);
    let mut router = router.calls_again(&second);
    router.is_brought_up();
    upto(&mut router, 320);
    assert_eq!(router.told, (1..=320).collect::<Vec<_>>(), "each once");
    drop(second);
    let third = Feed::of(at);
    for n in 321..=340 {
        service.purges(n);
    }
    let mut router = router.calls_again(&third);
    router.is_brought_up();
    upto(&mut router, 340);
    assert_eq!(router.told, (1..=340).collect::<Vec<_>>(), "each once");
    // One that starts anew has nothing, and is told all that matters to it.
    let mut new = Router::calls(&third);
    new.is_brought_up();
    upto(&mut new, 340);
}
