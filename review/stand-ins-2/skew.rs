//! A hub fetches one oversized object over a thin link. Copies that it gives out after that must be no older than asked.
use crate::common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

const OBJECT: &str = "7f3a9c21e0b4d655";
const LARGE: &str = "00000000000000b1";
/// The largest object that the protocol allows, and how long it is sent.
const LARGE_BYTES: usize = 240_000;
const SENT_FOR_MS: u64 = 4_000;

/// An archive: each answer is dated when it begins. The large object is sent in pieces.
fn archive(slow: bool, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind(free()).unwrap();
    let (at, record) = (listener.local_addr().unwrap(), record.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            std::thread::spawn(move || serve(stream, slow, &record));
        }
    });
    at
}

fn serve(stream: TcpStream, slow: bool, record: &Record) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let writing = Arc::new(Mutex::new(stream));
    while let Some(items) = receive(&mut reader) {
        if items[0] != b"serve" {
            continue;
        }
        let (object, dated) = (field(&text(&items[2]), "obj").unwrap_or_default(), unix_ms());
        record.say(&format!("archive gives out {object}, dated {dated}"));
        let fields = format!("res=HIT,digest={dated:016x},dated={dated}");
        let body = if object == LARGE { vec![b'x'; LARGE_BYTES] } else { b"body".to_vec() };
        let answer = encode(&[&items[1], b"ACK", fields.as_bytes(), &body]);
        let pieces = if slow && object == LARGE { 60 } else { 1 };
        let stream = writing.lock().unwrap();
        for piece in answer.chunks(answer.len().div_ceil(pieces)) {
            if (&*stream).write_all(piece).is_err() {
                return;
            }
            if pieces > 1 {
                pause(SENT_FOR_MS / 60);
            }
        }
    }
}

/// A pull that takes no copy older than that; the age of what was given, at the latest when it was asked for.
fn age(record: &Record, at: SocketAddr, oldest_ms: u64) -> Option<u64> {
    let asked = unix_ms();
    let id = format!("{asked:016x}");
    let fields = format!("kind=clip,obj={OBJECT},seg=0,ms=2000,parent=archive,shelf=1,accept={oldest_ms}");
    let items = exchange(at, &[b"serve", id.as_bytes(), fields.as_bytes(), b""], 2_500)?;
    let fields = text(items.get(2)?);
    let dated: u64 = field(&fields, "dated")?.parse().ok()?;
    let age = asked.saturating_sub(dated);
    record.say(&format!("pull {OBJECT} accept={oldest_ms}: {} {fields}: {age} ms old", text(items.get(1)?)));
    (items[1] == b"ACK").then_some(age)
}

pub fn run(case: &str) {
    let play = Play::begin(case);
    let record = play.record.clone();
    let archive = archive(play.trouble, &record);
    let hub = free();
    let shape = shape_text(1, archive, &[("hub-a", hub, "east", "archive")], "");
    let file = play.file("hub-a.json", &hub_file("hub-a", hub, &format!("\"shape\":{shape},")));
    play.harestage("hub-a", &["hub", &file]);
    play.need(play.awaits("hub-a", "ready", 10_000), "the hub starts");
    play.need(served(&record, "hub-a", hub, OBJECT, 5_000).is_some(), "the hub serves");
    let large = pull(&record, "hub-a", hub, LARGE, 12_000).filter(|answer| answer.word == "ACK");
    play.need(large.is_some(), "the large object comes whole");
    // The copy is as old by now as the large object took, and a little more.
    pause(if play.trouble { 300 } else { 300 + SENT_FOR_MS });
    let mut older = Vec::new();
    for oldest_ms in [1_000, 2_000, 3_000] {
        match age(&record, hub, oldest_ms) {
            // 50 ms for the way.
            Some(age) if age > oldest_ms + 50 => older.push(format!("{age} ms for {oldest_ms}")),
            Some(_) => {}
            None => play.end(NOT_RUN, "the hub gives no copy"),
        }
    }
    match older.is_empty() {
        true => play.end(HELD, "no copy older than was asked for"),
        false => play.end(BROKEN, &format!("copies older than was asked for: {}", older.join(", "))),
    }
}
