//! A hub is away from the service of purges for longer than that remembers what the hub lacks, and comes back.
use crate::common::{Play, free, pause, unix_ms};
use crate::node::{Archive, Caller, of_body};
use crate::proxy::Proxy;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

const OBJECTS: u64 = 24;
/// Purges that follow, each of a name that no object has, until the service has passed its 8 MB.
const MORE: u64 = 21_000;
const CALLERS: u64 = 8;
/// Each may ask for 200 purges a second, and 2,000 at once.
const TENANTS: u64 = 4;

pub fn play(play: &mut Play) -> Result<bool, String> {
    let archive = Archive::open(2_000, 10, None);
    let [purges, hub_a, hub_b] = std::array::from_fn(|_| free());
    let way = Proxy::open(purges);
    let folder = play.folder.join("purges");
    let service = purges.to_string();
    play.start(
        "purges",
        "harestage",
        &["purges", "--listen", &service, "--folder", &folder.to_string_lossy()],
    )?;
    play.wait_listens(purges)?;
    for (name, at, service) in [("hub-a", hub_a, way.address), ("hub-b", hub_b, purges)] {
        let file = format!(
            r#"{{"name": "{name}", "listen": "{at}", "purges": "{service}", "memory_mb": 64,
            "contents": [{{"name": "case-media", "benefit": 2}},
                {{"name": "case-pages", "fresh_ms": 20000, "grace_ms": 10000}}],
            "shape": {{"version": 1, "archive": {{"name": "archive", "address": "{}", "capacity": 200, "stops_at": 2.5}},
                "hubs": [{{"name": "hub-a", "address": "{hub_a}", "capacity": 200, "passes": 0.3, "up": ["archive"]}},
                    {{"name": "hub-b", "address": "{hub_b}", "capacity": 200, "passes": 0.3, "up": ["archive"]}}]}}}}"#,
            archive.address
        );
        let file = play.file(&format!("{name}.json"), &file);
        play.start(name, "harestage", &["hub", &file.to_string_lossy()])?;
        play.wait_listens(at)?;
    }
    let status = |play: &Play| {
        let status = play.look("harestage", &["purge", "status", "--purges", &service]);
        status.map(|(_, text)| text).unwrap_or_default()
    };
    let is_free = |play: &Play, name: &str| {
        status(play).lines().any(|line| line.contains(name) && !line.contains("fenced"))
    };
    play.until(10_000, "both hubs follow the service", || is_free(play, "hub-a") && is_free(play, "hub-b"))?;
    pause(500);
    // Branch caches ask hub-a for every object; it keeps the copies.
    for object in 1..=OBJECTS {
        let (word, version, given, _) = ask(hub_a, object).ok_or("hub-a can't be reached")?;
        if word != "ACK" || version != 1 {
            return Err(format!("object {object}: {word}, version {version}, given out at {given}"));
        }
    }
    if play.trouble {
        way.cut(true);
        play.note("the way between hub-a and the service of purges is cut");
    }
    pause(300);
    archive.correct();
    let asked = [
        "purge",
        "submit",
        "--prefix",
        "00000000",
        "--key",
        "corrected",
        "--wait",
        "--json",
        "--purges",
        &service,
    ];
    let (code, _) = play.run("harestage", &asked)?;
    let reached = unix_ms();
    if code != 0 && code != 4 {
        return Err("the purge was not reported".into());
    }
    play.note(&format!("the purge of all objects is number 1, reported by {reached}"));
    // Purging goes on, of other names.
    let (next, accepted) = (Arc::new(AtomicU64::new(1)), Arc::new(AtomicU64::new(0)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (next, accepted) = (next.clone(), accepted.clone());
            std::thread::spawn(move || {
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    if number > MORE {
                        return;
                    }
                    let call = format!(
                        r#"{{"submit": {{"scope": {{"prefix": "z{number:0255}"}}, "tenant": {}, "key": "{number:064}"}}}}"#,
                        number % TENANTS
                    );
                    let mut answer = call_service(purges, &call).unwrap_or_default();
                    while answer.contains("rate limit") {
                        // As the service says: nothing was begun, again in a moment.
                        pause(20);
                        answer = call_service(purges, &call).unwrap_or_default();
                    }
                    accepted.fetch_add(u64::from(answer.contains("accepted")), Ordering::SeqCst);
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| drop(caller.join()));
    play.note(&format!("{} further purges of other names accepted", accepted.load(Ordering::SeqCst)));
    play.until(25_000, "the service has forgotten the first purge", || {
        let list = call_service(purges, r#"{"list": {"after": 0}}"#).unwrap_or_default();
        let first =
            list.split("\"number\":").nth(1).and_then(|rest| rest.split(',').next()).map(str::to_string);
        first.and_then(|first| first.parse::<u64>().ok()).is_some_and(|first| first > 1)
    })?;
    play.note("the service has forgotten the purge of all objects");
    if play.trouble {
        way.cut(false);
        play.note("the way between hub-a and the service of purges is whole again");
    }
    play.until(20_000, "hub-a has caught up and is free", || is_free(play, "hub-a"))?;
    pause(1_500);
    play.run("harestage", &["purge", "status", "--purges", &service])?;
    if !is_free(play, "hub-a") {
        return Err("hub-a is fenced again".into());
    }
    let (mut old, mut answered) = (0, 0);
    for object in 1..=OBJECTS {
        let Some((word, version, given, how)) = ask(hub_a, object) else { continue };
        play.note(&format!("hub-a: object {object}: {word} ({how}) version {version}, given out at {given}"));
        answered += u64::from(word == "ACK");
        old += u64::from(word == "ACK" && version == 1);
    }
    play.note(&format!("{old} of {OBJECTS} objects answered from a copy older than the purge"));
    if answered < OBJECTS / 2 {
        return Err(format!("only {answered} of {OBJECTS} objects were answered"));
    }
    Ok(old == 0)
}

/// Word, version, when the archive gave the copy out, and how the hub came by it.
fn ask(hub: SocketAddr, object: u64) -> Option<(String, u64, u64, String)> {
    let list = format!("kind=case-media,obj={object:016x},seg=0,ms=3000,parent=archive,shelf=2");
    let reply = Caller::to(hub)?.ask(&format!("{:016x}", object + 0x1000), &list, 3_000)?;
    let (version, given) = of_body(&reply.body).unwrap_or((0, 0));
    Some((reply.word, version, given, reply.fields.get("res").cloned().unwrap_or_default()))
}

/// One call to the service, as the command makes it: a line of JSON, and the line that answers it.
fn call_service(service: SocketAddr, call: &str) -> Option<String> {
    let mut stream = TcpStream::connect(service).ok()?;
    stream.write_all(call.as_bytes()).ok()?;
    stream.write_all(b"\n").ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    Some(line)
}
