//! The program on loopback, between small stand-ins for clients, caches and the feed.
#![allow(dead_code)] // each test program uses a part of it
use bytes::Bytes;
use harestage_wire::resp::{Bounds, Decoder, LINE_END, encode_head};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const BOUNDS: Bounds = Bounds { max_items: 8, max_item_bytes: 240_000, initial_item_capacity: 4_096 };
pub const LONG: Duration = Duration::from_secs(10);

pub type Items = Vec<Bytes>;
pub type Seen = Arc<Mutex<Vec<(usize, Items)>>>;

/// What a stand-in does with a message.
pub enum Reply {
    Say(&'static str, &'static str, Vec<u8>),
    Raw(&'static [u8]),
    After(u64, &'static str),
    Silence,
    Close,
}

pub fn send(mut stream: &TcpStream, items: &[&[u8]]) {
    let (last, first) = items.split_last().unwrap();
    let _ = stream.write_all(&[&encode_head(first, last.len()), *last, LINE_END].concat());
}

/// The next message, or None once the other side has closed.
pub fn receive(mut stream: &TcpStream, decoder: &mut Decoder) -> Option<Items> {
    loop {
        if let Some(items) = decoder.next_message().unwrap() {
            return Some(items);
        }
        let bytes = stream.read(decoder.read_buffer()).unwrap_or(0);
        if bytes == 0 {
            return None;
        }
        decoder.commit(bytes);
    }
}

pub fn stand_in(
    no: usize,
    listener: TcpListener,
    seen: Seen,
    reply: impl Fn(usize, &str) -> Reply + Send + Sync + 'static,
) {
    let reply = Arc::new(reply);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (seen, reply) = (seen.clone(), reply.clone());
            seen.lock().unwrap().push((no, vec![Bytes::from("connection")]));
            std::thread::spawn(move || {
                let mut decoder = Decoder::new(BOUNDS, 4_096);
                while let Some(items) = receive(&stream, &mut decoder) {
                    seen.lock().unwrap().push((no, items.clone()));
                    if items[0] != "serve" {
                        continue;
                    }
                    let id = items[1].clone();
                    match reply(no, std::str::from_utf8(&items[2]).unwrap()) {
                        Reply::Say(word, fields, body) => {
                            send(&stream, &[&id, word.as_bytes(), fields.as_bytes(), &body])
                        }
                        Reply::Raw(bytes) => (&stream).write_all(bytes).unwrap(),
                        Reply::After(ms, word) => {
                            let stream = stream.try_clone().unwrap();
                            std::thread::spawn(move || {
                                std::thread::sleep(Duration::from_millis(ms));
                                send(&stream, &[&id, word.as_bytes(), b"res=HIT,first=0", b"late"]);
                            });
                        }
                        Reply::Silence => {}
                        Reply::Close => break,
                    }
                }
            });
        }
    });
}

pub fn settings() -> Value {
    let class =
        |name: &str, effect: &str| json!({"Name": name, "Aim": 400_000, "Idempotency": effect, "Worth": 1.0});
    json!({
        "Allowed": {"Cancel": true, "ConnectTimeout": 400_000, "IdleClose": 30_000_000, "MaxAttempts": 6,
            "MaxRetryAfter": 500_000, "MostHeld": 20_000, "RetryAfter": true, "StreamsPerConn": 100},
        "Balancers": 1,
        "Classes": [class("clip", "repeatable"), class("filing", "once")],
        "FamilyInfo": {"MidKind": 1, "StoreKind": 2, "CountByZone": [0, 1], "FlowKbPerS": 8_000.0,
            "ZoneLinkKbPerS": [0.0, 80_000.0], "GoodFor": [20_000_000, 0], "GraceFor": [0, 0],
            "ClassWrite": [false, true], "ClassParts": [false, false], "PurgeSettles": 6_000_000},
        "Localities": ["hub", "here"], "Shapes": ["std", "parent", "origin"],
        "Safety": {"Cold": 18_000_000, "ColdFrom": 0.2, "Fall": 2_000_000, "FallMultiple": 4.0},
        "Zone": 1
    })
}

/// A router among its stand-ins: caches 0.., then a parent and the origin, which are never asked here.
pub struct Bed {
    pub router: Child,
    pub listen: String,
    pub config: Value,
    pub seen: Seen,
    pub feed: TcpListener,
}

impl Bed {
    /// `refusing`: this cache is listed where nobody listens.
    pub fn open(
        caches: usize,
        refusing: Option<usize>,
        reply: impl Fn(usize, &str) -> Reply + Send + Sync + 'static,
    ) -> Bed {
        let (seen, reply) = (Seen::default(), Arc::new(reply));
        let mut endpoints = Vec::new();
        for no in 0..caches + 2 {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap().to_string();
            let (kind, zone) =
                [("std", "here"), ("parent", "hub"), ("origin", "hub")][(no + 1).saturating_sub(caches)];
            endpoints
                .push(json!({"name": format!("s-{no:08x}"), "address": address, "zone": zone, "type": kind,
                "group": no, "status": "Ready", "weight": 1, "since_ms": 0}));
            if refusing != Some(no) {
                let reply = reply.clone();
                stand_in(no, listener, seen.clone(), move |no, fields| reply(no, fields));
            }
        }
        let feed = TcpListener::bind("127.0.0.1:0").unwrap();
        // An address of its own: nobody else can be given the port between this and the router's start.
        static BEDS: AtomicU32 = AtomicU32::new(2);
        let own = format!("127.0.77.{}:0", BEDS.fetch_add(1, Ordering::Relaxed));
        let listen = {
            let _none_starts = STARTING.lock();
            TcpListener::bind(own).unwrap().local_addr().unwrap().to_string()
        };
        let members = json!({"n": 1, "members": {"index": 1, "snapshot": true, "endpoints": endpoints}});
        let config = json!({
            "name": "n0", "listen": listen, "seed": "8c1f30d27a5be964", "feed": feed.local_addr().unwrap().to_string(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
            "known": {"n": 1, "events": [members]}, "settings": settings()
        });
        let router = start(&config);
        let bed = Bed { router, listen, config, seen, feed };
        bed.is_up();
        bed
    }

    pub fn is_up(&self) {
        let until = Instant::now() + LONG;
        while TcpStream::connect(&self.listen).is_err() {
            assert!(Instant::now() < until, "the router never listened");
            std::thread::sleep(Duration::from_millis(5));
        }
        let mut client = self.client();
        client.send(&[b"STATUS", b"1", b""]);
        assert_eq!(client.next().unwrap()[1], "GREEN");
    }

    pub fn client(&self) -> Client {
        Client::on(TcpStream::connect(&self.listen).unwrap())
    }

    /// Waits until a stand-in has seen as many messages of that word.
    pub fn saw(&self, word: &str, times: usize) -> Vec<(usize, Items)> {
        let until = Instant::now() + LONG;
        loop {
            let seen =
                self.seen.lock().unwrap().iter().filter(|s| s.1[0] == word).cloned().collect::<Vec<_>>();
            if seen.len() >= times || Instant::now() > until {
                assert_eq!(seen.len(), times, "{word}");
                return seen;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn signal(&self, which: &str) {
        let _ = launch(Command::new("kill").args([which, &self.router.id().to_string()])).wait();
    }

    /// Kills the router and starts another with what `config` says by now.
    pub fn restart(&mut self) {
        let _ = self.router.kill();
        let _ = self.router.wait();
        self.router = start(&self.config);
        self.is_up();
    }

    /// Puts another text in the place of the configuration that the router has read.
    pub fn reconfigure(&self, text: &str) {
        let environment = std::fs::read(format!("/proc/{}/environ", self.router.id())).unwrap();
        let environment = String::from_utf8(environment).unwrap();
        let path = environment.split('\0').find_map(|v| v.strip_prefix("BALANCER_CONFIG=")).unwrap();
        std::fs::write(path, text).unwrap();
        self.signal("-HUP");
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        let _ = self.router.kill();
        let _ = self.router.wait();
    }
}

pub fn start(config: &Value) -> Child {
    start_with(config, "exec \"$0\"")
}

pub fn start_with(config: &Value, script: &str) -> Child {
    static STARTS: AtomicU32 = AtomicU32::new(0);
    let name = format!("harestage-{}-{}.json", std::process::id(), STARTS.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config.to_string()).unwrap();
    let mut shell = Command::new("/bin/sh");
    shell.args(["-c", script, env!("CARGO_BIN_EXE_harestage-router")]).stderr(Stdio::piped());
    launch(shell.env("BALANCER_CONFIG", &path))
}

/// A process that is just being started holds copies of all sockets of this one for a moment, so that a listener
/// which was closed meanwhile would still take connections.
static STARTING: Mutex<()> = Mutex::new(());

pub fn launch(command: &mut Command) -> Child {
    let _one_by_one = STARTING.lock();
    command.spawn().unwrap()
}

pub struct Client {
    pub stream: TcpStream,
    pub decoder: Decoder,
}

impl Client {
    pub fn on(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(LONG)).unwrap();
        Client { stream, decoder: Decoder::new(BOUNDS, 4_096) }
    }
    pub fn send(&self, items: &[&[u8]]) {
        send(&self.stream, items);
    }
    pub fn ask(&self, tag: u64, content: &str, object: u64, ms: u64, more: &str) {
        let fields = format!("i={:016x},d={ms},o={object:016x},chunk=0,tag=5{more}", tag + object * 1_000);
        self.send(&[
            b"ASK",
            tag.to_string().as_bytes(),
            content.as_bytes(),
            fields.as_bytes(),
            b"\r\nbody\x00",
        ]);
    }
    pub fn next(&mut self) -> Option<Items> {
        receive(&self.stream, &mut self.decoder)
    }
    /// Asks and gives the word, the fields and the body of the answer.
    pub fn fetch(&mut self, tag: u64, content: &str, object: u64, more: &str) -> (String, String, Bytes) {
        self.ask(tag, content, object, 2_000, more);
        let items = self.next().expect("an answer");
        assert_eq!(items[0], tag.to_string());
        let text = |n: usize| String::from_utf8(items[n].to_vec()).unwrap();
        (text(1), text(2), items[3].clone())
    }
}

/// The next subscription to a feed, and how it is worded.
pub fn subscribed(feed: &TcpListener) -> (TcpStream, String) {
    feed.set_nonblocking(true).unwrap();
    let until = Instant::now() + LONG;
    loop {
        match feed.accept() {
            Ok((mut stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                stream.set_read_timeout(Some(LONG)).unwrap();
                let mut line = [0; 6];
                stream.read_exact(&mut line).unwrap();
                return (stream, String::from_utf8(line.to_vec()).unwrap());
            }
            Err(why) => assert!(Instant::now() < until, "no subscription: {why}"),
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}
