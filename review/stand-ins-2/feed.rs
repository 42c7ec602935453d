//! Not a case: a hub with a disk that hears of purges by a control feed starts while the feed is down. What was purged
//! while it was away must not go out from its disk.
use crate::common::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

const OBJECT: &str = "7f3a9c21e0b4d655";

/// A control feed in the platform's form. While it is down, it takes connections and says nothing.
#[derive(Clone, Default)]
struct Feed {
    events: Arc<Mutex<Vec<String>>>,
    down: Arc<AtomicBool>,
}

impl Feed {
    fn serve(&self, stream: TcpStream, record: &Record) {
        let mut line = String::new();
        if BufReader::new(&stream).read_line(&mut line).is_err() {
            return;
        }
        record.say(&format!("feed: {}", line.trim()));
        let mut last: usize = line.trim().strip_prefix("SUB ").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut beat = 0;
        loop {
            if self.down.load(Ordering::SeqCst) {
                pause(20);
                continue;
            }
            let new: Vec<String> = self.events.lock().unwrap().iter().skip(last).cloned().collect();
            last += new.len();
            let mut text = new.concat();
            beat += 1;
            if beat % 50 == 1 {
                text += &format!("{last}\n");
            }
            if !text.is_empty() && (&stream).write_all(text.as_bytes()).is_err() {
                return;
            }
            pause(20);
        }
    }

    fn tell(&self, what: &str, record: &Record) {
        let mut events = self.events.lock().unwrap();
        let line = format!("{{\"n\":{},{what}}}\n", events.len() + 1);
        record.say(&format!("feed has {}", line.trim()));
        events.push(line);
    }
}

pub fn run(case: &str) {
    let play = Play::begin(case);
    let record = play.record.clone();
    let archive = Archive::open(&record);
    let (feed, listener) = (Feed::default(), TcpListener::bind(free()).unwrap());
    let at = listener.local_addr().unwrap();
    feed.tell("\"members\":{\"index\":1,\"snapshot\":true,\"endpoints\":[]}", &record);
    let (serving, noting) = (feed.clone(), record.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (serving, noting) = (serving.clone(), noting.clone());
            std::thread::spawn(move || serving.serve(stream, &noting));
        }
    });
    let hub = free();
    let shape = shape_text(1, archive.at, &[("hub-a", hub, "east", "archive")], "");
    let disk = play.path("copies");
    let more = format!(
        "\"feed\":\"{at}\",\"storage\":{{\"folder\":\"{disk}\",\"megabytes\":100}},\"shape\":{shape},"
    );
    let file = play.file("hub-a.json", &hub_file("hub-a", hub, &more));
    play.harestage("hub-a", &["hub", &file]);
    let copy = served(&record, "hub-a", hub, OBJECT, 30_000);
    play.need(copy.is_some_and(|copy| copy.body == "version 1"), "the hub serves");
    // Its disk has the copy, too: bodies are synced within moments.
    pause(3_000);
    play.crash("hub-a");
    archive.change(&record);
    pause(50);
    feed.tell(&format!("\"purge\":{{\"key\":\"{OBJECT}\",\"at\":{}}}", unix_ms()), &record);
    pause(1_500);
    if play.trouble {
        feed.down.store(true, Ordering::SeqCst);
        record.say("the feed is down");
    }
    play.harestage("hub-a", &["hub", &file]);
    let (mut older, mut answers) = (0, 0);
    for _ in 0..20 {
        pause(250);
        let answer = pull(&record, "hub-a", hub, OBJECT, 2_000);
        if let Some(answer) = answer.filter(|answer| answer.word == "ACK") {
            answers += 1;
            older += usize::from(answer.body != archive.body());
        }
    }
    feed.down.store(false, Ordering::SeqCst);
    match older {
        0 => play.end(HELD, &format!("{answers} answers, none from a copy older than the purge")),
        _ => play.end(BROKEN, &format!("{older} of {answers} answers are from a copy older than the purge")),
    }
}
