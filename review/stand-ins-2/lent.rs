//! Not a case: a branch is cut off from all services; its router, which has stopped acting, is started again.
use crate::common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const OBJECT: &str = "7f3a9c21e0b4d655";
/// docs/audit.md: a purge that is lacked is forbidden after 2 s; a lease is 3 s.
const FORBIDDEN_MS: u64 = 5_000;

/// An edge cache that keeps nothing: it asks the source that a pull names, with the same bounds.
fn edge(at: SocketAddr, sources: HashMap<String, SocketAddr>, record: &Record) {
    let (listener, record) = (TcpListener::bind(at).unwrap(), record.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (sources, record) = (sources.clone(), record.clone());
            std::thread::spawn(move || edge_line(stream, &sources, &record));
        }
    });
}

fn edge_line(stream: TcpStream, sources: &HashMap<String, SocketAddr>, record: &Record) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(items) = receive(&mut reader) {
        let answer = match items[0].as_slice() {
            b"serve" => {
                let fields = text(&items[2]);
                let source = field(&fields, "parent").unwrap_or_default();
                record.say(&format!("edge cache is asked for {fields}"));
                let given = sources
                    .get(&source)
                    .and_then(|at| exchange(*at, &[b"serve", &items[1], fields.as_bytes(), b""], 2_000));
                match given {
                    Some(given) if given.len() == 4 && given[1] == b"ACK" => {
                        let fields = text(&given[2]).replace("res=HIT", "res=MISS");
                        encode(&[&items[1], b"ACK", fields.as_bytes(), &given[3]])
                    }
                    Some(_) => encode(&[&items[1], b"AGAIN", b"res=UP_BUSY", b""]),
                    None if source.is_empty() => encode(&[&items[1], b"NOENT", b"-", b""]),
                    None => encode(&[&items[1], b"AGAIN", b"res=UP_DOWN", b""]),
                }
            }
            b"health" | b"gauges" => encode(&[&items[1], b"READY", b"-", b""]),
            _ => continue,
        };
        if (&stream).write_all(&answer).is_err() {
            return;
        }
    }
}

const SETTINGS: &str = r#"{"Allowed":{"Cancel":true,"ConnectTimeout":400000,"IdleClose":30000000,"MaxAttempts":6,"MaxRetryAfter":500000,"MostHeld":20000,"RetryAfter":true,"StreamsPerConn":100},"Balancers":1,"Classes":[{"Name":"clip","Aim":600000,"Idempotency":"repeatable","Worth":2.0}],"FamilyInfo":{"MidKind":1,"StoreKind":2,"CountByZone":[0,1],"FlowKbPerS":8000.0,"ZoneLinkKbPerS":[0.0,800000.0],"GoodFor":[0],"GraceFor":[0],"ClassWrite":[false],"ClassParts":[false],"PurgeSettles":6000000,"ParentColdFrom":0.5,"ParentRamp":4000000,"ParentBreaksAt":4.0},"Localities":["hub","here"],"Shapes":["std","parent","origin"],"Safety":{"Cold":4000000,"ColdFrom":0.5,"Fall":2000000,"FallMultiple":4.0},"Zone":1}"#;

/// What a client gets: word and body.
fn ask(record: &Record, router: SocketAddr, n: u64) -> Option<(String, String)> {
    let fields = format!("i={:016x},d=2000,o={OBJECT},chunk=0,tag=1", 0x5100_0000_0000_0000u64 + n);
    let items = exchange(router, &[b"ASK", b"1", b"clip", fields.as_bytes(), b""], 2_500);
    let got = items.map(|items| (text(&items[1]), items.get(3).map(|body| text(body)).unwrap_or_default()));
    record.say(&format!("client asks: {got:?}"));
    got
}

pub fn run(case: &str) {
    let play = Play::begin(case);
    let record = play.record.clone();
    let archive = Archive::open(&record);
    let (purges, control, keeper) = (free(), free(), free());
    let (hub, feed, router, cache) = (free(), free(), free(), free());
    let (to_purges, to_control, to_keeper) = (Link::open(purges), Link::open(control), Link::open(keeper));
    let branch = format!(
        "{{\"name\":\"br\",\"load\":10,\"hubs\":[\"hub-a\"],\"caches\":[{{\"name\":\"s-1\",\"address\":\"{cache}\"}}]}}"
    );
    let first =
        play.file("shape.json", &shape_text(1, archive.at, &[("hub-a", hub, "east", "archive")], &branch));
    edge(cache, HashMap::from([("hub-a".to_string(), hub), ("archive".to_string(), archive.at)]), &record);
    let folder = |name: &str| play.path(name);
    play.harestage("purges", &["purges", "--listen", &purges.to_string(), "--folder", &folder("p")]);
    play.harestage(
        "control",
        &["control", "--listen", &control.to_string(), "--journal", &folder("c"), "--first", &first],
    );
    pause(300);
    let (c, p) = (control.to_string(), purges.to_string());
    play.harestage(
        "keeper",
        &[
            "keeper",
            "--listen",
            &keeper.to_string(),
            "--folder",
            &folder("k"),
            "--control",
            &c,
            "--purges",
            &p,
        ],
    );
    pause(300);
    let more = format!(
        "\"site\":\"east\",\"control\":\"{}\",\"purges\":\"{}\",\"keepers\":[\"{}\"],",
        to_control.at, to_purges.at, to_keeper.at
    );
    let file = play.file("hub-a.json", &hub_file("hub-a", hub, &more));
    play.harestage("hub-a", &["hub", &file]);
    let file = play.file("feed.json", &format!("{{\"name\":\"feed-br\",\"branch\":\"br\",\"listen\":\"{feed}\",\"controls\":[\"{}\"],\"purge_services\":[\"{}\"],\"keepers\":[\"{}\"]}}", to_control.at, to_purges.at, to_keeper.at));
    play.harestage("feed", &["feed", &file]);
    let file = play.file("router.json", &format!("{{\"name\":\"router-1\",\"listen\":\"{router}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"memory_mb\":96,\"sockets\":512}},\"feed\":\"{feed}\",\"known\":{{\"n\":0,\"events\":[]}},\"settings\":{SETTINGS}}}"));
    let by = to_keeper.at.to_string();
    let start_router = || play.harestage("router-1", &["router", &file, "--keeper", &by, "--branch", "br"]);
    start_router();
    play.need(
        play.awaits("hub-a", "purges up", 10_000) && play.awaits("feed", "purges up", 10_000),
        "hub and feed follow",
    );
    let (mut n, begun) = (0, Instant::now());
    let mut ask_next = || {
        n += 1;
        ask(&record, router, n)
    };
    while ask_next().is_none_or(|(word, body)| word != "ACK" || body != "version 1") {
        play.need(begun.elapsed() < Duration::from_secs(20), "the client is served");
        pause(300);
    }
    pause(6_000);
    play.need(ask_next().is_some_and(|(word, _)| word == "ACK"), "the client is served");
    if play.trouble {
        for line in [&to_purges, &to_control, &to_keeper] {
            line.cut.store(true, Ordering::SeqCst);
        }
        record.say("the branch is cut off from all services");
    }
    pause(500);
    archive.change(&record);
    pause(50);
    let (code, said) =
        play.command(&["purge", "submit", "--object", OBJECT, "--key", "case-17", "--wait", "--purges", &p]);
    play.need(said.contains("reached") && (code == 0 || code == 4), "the purge is reported as reached");
    pause(FORBIDDEN_MS + 1_000);
    // The router has stopped acting by now, where it hears no keeper.
    for _ in 0..3 {
        if ask_next().is_some_and(|(word, body)| word == "ACK" && body == "version 1") {
            play.end(BROKEN, "a router that hears nobody acts on");
        }
        pause(300);
    }
    play.crash("router-1");
    start_router();
    let (mut older, mut answers) = (0, 0);
    for _ in 0..28 {
        pause(500);
        if let Some((word, body)) = ask_next().filter(|(word, _)| word == "ACK") {
            answers += 1;
            older += usize::from(word == "ACK" && body == "version 1");
        }
    }
    match older {
        0 => play.end(HELD, &format!("{answers} answers, none from a copy older than the purge")),
        _ => play.end(BROKEN, &format!("{older} of {answers} answers after the start are from before a purge that was reported {} s before it", FORBIDDEN_MS / 1_000 + 1)),
    }
}
