//! Not a case: one answer of the archive to a hub is lost, and its connection goes on. How many pulls are answered then.
use crate::common::*;
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

const OBJECT: &str = "7f3a9c21e0b4d655";
const PULLS: u64 = 30;

pub fn run(case: &str) {
    let play = Play::begin(case);
    let record = play.record.clone();
    let listener = TcpListener::bind(free()).unwrap();
    let (at, loses) = (listener.local_addr().unwrap(), Arc::new(AtomicU64::new(u64::from(play.trouble))));
    let noting = record.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (loses, noting) = (loses.clone(), noting.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(items) = receive(&mut reader) {
                    let asked = items.get(2).map(|item| text(item)).unwrap_or_default();
                    let object = field(&asked, "obj").unwrap_or_default();
                    if items[0] != b"serve" {
                        continue;
                    }
                    if object == OBJECT && loses.swap(0, Ordering::SeqCst) > 0 {
                        noting.say(&format!("the archive's answer for {object} is lost"));
                        continue;
                    }
                    let fields = format!("res=HIT,digest={object},dated={}", unix_ms());
                    let answer = encode(&[&items[1], b"ACK", fields.as_bytes(), b"body"]);
                    if (&stream).write_all(&answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let hub = free();
    let shape = shape_text(1, at, &[("hub-a", hub, "east", "archive")], "");
    let file = play.file("hub-a.json", &hub_file("hub-a", hub, &format!("\"shape\":{shape},")));
    play.harestage("hub-a", &["hub", &file]);
    play.need(play.awaits("hub-a", "ready", 10_000), "the hub starts");
    // One pull a second for the object, each of which waits for 3 s, and one for an object of its own beside it.
    let (served, others) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let pulls: Vec<_> = (0..PULLS)
        .flat_map(|n| {
            [
                (n * 1_000, OBJECT.to_string(), &served),
                (n * 1_000 + 100, format!("{:016x}", 256 + n), &others),
            ]
        })
        .map(|(after_ms, object, count)| {
            let (record, count) = (record.clone(), count.clone());
            std::thread::spawn(move || {
                pause(after_ms);
                let answer = pull(&record, "hub-a", hub, &object, 3_000);
                count.fetch_add(
                    u64::from(answer.is_some_and(|answer| answer.word == "ACK")),
                    Ordering::SeqCst,
                );
            })
        })
        .collect();
    pulls.into_iter().for_each(|pull| drop(pull.join()));
    let (served, others) = (served.load(Ordering::SeqCst), others.load(Ordering::SeqCst));
    let why =
        format!("{served} of {PULLS} pulls of the object were answered, and {others} of {PULLS} others");
    // Those that wait when the answer is lost may go without one, and those until a second try.
    play.end(if served + 6 < PULLS { BROKEN } else { HELD }, &why)
}
