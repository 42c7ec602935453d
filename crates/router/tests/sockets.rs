//! The program on loopback, between small stand-ins for clients, caches and the feed.
mod fixture;

use bytes::Bytes;
use fixture::{Client, Fixture, Reply, launch, start, start_with, subscribed};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

#[test]
fn downloads_are_fulfilled_throttled_and_abandoned() {
    let large: Vec<u8> = (0..240_000u32).map(|n| (n * 7 + n / 251) as u8).collect();
    let body = large.clone();
    let bed = Fixture::open(2, None, move |_, fields| match fields {
        f if f.contains("kind=filing") => Reply::Say("EIO", "-", vec![]),
        f if f.contains("obj=0000000000000001") => {
            Reply::Say("ACK", "res=HIT,first=0,digest=aa", body.clone())
        }
        f if f.contains("obj=0000000000000002") => Reply::Say("ACK", "res=MISS,first=9.5", vec![]),
        f if f.contains("got=4be0c1927d55a6f3") => {
            Reply::Say("NOMOD", "res=HIT,digest=4be0c1927d55a6f3,dated=1", vec![])
        }
        _ => Reply::Say("EIO", "-", vec![]),
    });
    let mut client = bed.client();
    let (word, _, bytes) = client.fetch(1, "clip", 1, "");
    assert!(word == "ACK" && bytes == large, "whole and unchanged");
    assert_eq!(client.fetch(2, "clip", 2, ""), ("ACK".into(), "".into(), Bytes::new()));
    assert_eq!(client.fetch(3, "clip", 3, ",known=4be0c1927d55a6f3").1, "valid=1");
    let (word, fields, _) = client.fetch(4, "clip", 4, "");
    assert!(word == "NAK" && fields.starts_with("w="), "{word} {fields}");
    assert_eq!(client.fetch(5, "filing", 5, "").0, "FAIL");
    assert_eq!(client.fetch(6, "unknown", 6, "").0, "FAIL");
    let seen = bed.seen.lock().unwrap();
    let filing: Vec<_> =
        seen.iter().filter(|s| s.1.get(2).is_some_and(|f| f.starts_with(b"kind=filing"))).collect();
    assert_eq!(filing.len(), 1, "what may have run is not sent again");
    assert_eq!(filing[0].1[3], "\r\nbody\x00");
}

/// A reset after the write proves nothing; a refused connection proves that nothing ran.
#[test]
fn a_filing_goes_elsewhere_only_when_its_connection_was_refused() {
    let bed = Fixture::open(2, None, |_, _| Reply::Close);
    assert_eq!(bed.client().fetch(1, "filing", 1, "").0, "FAIL");
    bed.saw("serve", 1);
    for refusing in 0..2 {
        let bed = Fixture::open(2, Some(refusing), |_, _| {
            Reply::Say("ACK", "res=MISS_ORIGIN,first=3", b"done".to_vec())
        });
        let mut client = bed.client();
        assert!((1..6).all(|tag| client.fetch(tag, "filing", tag, "").0 == "ACK"));
        assert!(bed.saw("serve", 5).iter().all(|(no, _)| *no != refusing));
    }
}

#[test]
fn an_unreadable_answer_ends_its_connection_and_the_download_goes_on() {
    let bed = Fixture::open(2, None, |no, _| match no {
        0 => Reply::Raw(b"*1\r\n$900000\r\n"),
        _ => Reply::Say("ACK", "res=HIT", b"good".to_vec()),
    });
    let mut client = bed.client();
    assert!((1..12).all(|tag| client.fetch(tag, "clip", tag, "").0 == "ACK"));
    assert!(bed.seen.lock().unwrap().iter().any(|(no, _)| *no == 0), "the bad one was asked too");
}

/// A machine that says nothing costs its own pulls until their deadline, and nobody else's.
#[test]
fn silence_holds_up_nobody_else() {
    let bed = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("obj=0000000000000001") => Reply::Silence,
        _ => Reply::Say("ACK", "res=HIT", b"good".to_vec()),
    });
    let (mut slow, mut quick) = (bed.client(), bed.client());
    let asked = Instant::now();
    slow.ask(1, "clip", 1, 700, "");
    assert!((2..20).all(|tag| quick.fetch(tag, "clip", tag, "").0 == "ACK"));
    assert!(asked.elapsed() < Duration::from_millis(600));
    let items = slow.next().expect("an answer");
    assert!(items[1] != "ACK" && asked.elapsed() < Duration::from_millis(750), "{:?}", asked.elapsed());
    bed.saw("cancel", 1);
}

/// What comes after a silence goes over a fresh connection, which comes up or proves that nothing ran.
#[test]
fn a_connection_that_fell_silent_is_not_used_again() {
    let bed = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("obj=0000000000000001") => Reply::Silence,
        _ => Reply::Say("ACK", "res=HIT", b"good".to_vec()),
    });
    let mut client = bed.client();
    assert_eq!(client.fetch(1, "clip", 2, "").0, "ACK");
    client.ask(2, "clip", 1, 400, "");
    assert_ne!(client.next().unwrap()[1], "ACK");
    bed.saw("connection", 1);
    assert_eq!(client.fetch(3, "clip", 3, "").0, "ACK");
    bed.saw("connection", 2);
}

/// Accepting fails while the descriptors are used up, and goes on once some are free again.
#[test]
fn clients_come_in_again_after_the_descriptors_ran_out() {
    let mut bed = Fixture::open(1, None, |_, _| Reply::Say("ACK", "res=HIT", b"good".to_vec()));
    let _ = bed.router.kill();
    let _ = bed.router.wait();
    bed.router = start_with(&bed.config, "ulimit -n 24; exec \"$0\"");
    bed.is_up();
    let crowd: Vec<Client> = (0..40).map(|_| bed.client()).collect();
    std::thread::sleep(Duration::from_millis(100));
    let files = std::fs::read_dir(format!("/proc/{}/fd", bed.router.id())).unwrap().count();
    assert!(files >= 24, "{files}: the descriptors did not run out");
    drop(crowd);
    let mut client = bed.client();
    client.send(&[b"STATUS", b"1", b""]);
    assert_eq!(client.next().unwrap()[1], "GREEN");
}

#[test]
fn a_client_that_leaves_has_its_pulls_cancelled() {
    let bed = Fixture::open(1, None, |_, _| Reply::Silence);
    let mut client = bed.client();
    client.ask(1, "clip", 1, 3_000, "");
    bed.saw("serve", 1);
    client.send(&[b"NEVERMIND", b"1"]);
    bed.saw("cancel", 1);
    client.ask(2, "clip", 2, 3_000, "");
    bed.saw("serve", 2);
    client.send(&[b"STATUS", b"3", b""]);
    assert_eq!(client.next().unwrap()[0], "3", "nothing is said of what was given up");
    drop(client);
    bed.saw("cancel", 2);
}

#[test]
fn bad_clients_end_alone() {
    let bed = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("obj=0000000000000001") => Reply::Silence,
        _ => Reply::Say("ACK", "res=HIT", b"good".to_vec()),
    });
    for noise in
        [&b"*3\r\n$-1\r\n"[..], b"GET / HTTP/1.1\r\n\r\n", b"*2\r\n$3\r\nASK\r\n$1\r\nx\r\n", b"*999\r\n"]
    {
        let mut client = bed.client();
        client.stream.write_all(noise).unwrap();
        assert!(client.next().is_none(), "{}", String::from_utf8_lossy(noise));
    }
    let mut twice = bed.client();
    twice.ask(1, "clip", 1, 3_000, "");
    bed.saw("serve", 1);
    twice.ask(1, "clip", 1, 3_000, "");
    let mut thrice = bed.client();
    thrice.ask(1, "clip", 1, 3_000, "");
    thrice.send(&[b"STATUS", b"1", b""]);
    thrice.send(&[b"STATUS", b"2", b""]);
    for client in [&mut twice, &mut thrice] {
        // The first of them was sound, and keeps its one answer; nothing after the second is taken.
        assert_ne!(client.next().expect("an answer")[1], "ACK");
        assert!(client.next().is_none());
    }
    let mut odd = bed.client();
    odd.send(&[b"WHAT", b"4"]);
    odd.send(&[b"ASK", b"5", b"clip", b"i=3", b""]);
    assert_eq!(
        (odd.next().unwrap()[1].clone(), odd.next().unwrap()[1].clone()),
        ("FAIL".into(), "FAIL".into())
    );
    let half = bed.client();
    (&half.stream).write_all(b"*5\r\n$3\r\nAS").unwrap();
    assert_eq!(odd.fetch(6, "clip", 6, "").0, "ACK");
    let mut many = bed.client();
    (1..=33).for_each(|tag| many.ask(tag, "clip", 1, 3_000, ""));
    // Of the others some may be throttled before it, as many as wait at one cache.
    let told = std::iter::from_fn(|| many.next()).find(|items| items[1] != "NAK");
    assert_eq!(told.unwrap()[..2], ["33", "FAIL"]);
}

/// Past a few messages without use a client is a flood: what it has open is called back, and it is cut off.
#[test]
fn a_flood_of_messages_without_use_is_cut_off() {
    let bed = Fixture::open(1, None, |_, _| Reply::Silence);
    let mut flood = bed.client();
    flood.ask(1, "clip", 1, 9_000, "");
    bed.saw("serve", 1);
    (2..=10).for_each(|tag: u64| flood.send(&[b"WHAT", tag.to_string().as_bytes()]));
    assert!(std::iter::from_fn(|| flood.next()).all(|items| items[1] == "FAIL" && items[0] != "1"));
    bed.saw("cancel", 1);
}

/// Guards the descriptors against clients that keep connections for nothing. What is under way stays.
#[test]
fn connections_that_get_nowhere_are_closed_in_time() {
    let bed = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("obj=0000000000000001") => Reply::After(3_500, "ACK"),
        _ => Reply::Say("ACK", "res=HIT", b"good".to_vec()),
    });
    let since = Instant::now();
    let (mut silent, mut half, mut slow) = (bed.client(), bed.client(), bed.client());
    let (mut rested, mut waits) = (bed.client(), bed.client());
    (&half.stream).write_all(b"*5\r\n$3\r\nAS").unwrap();
    assert_eq!(slow.fetch(1, "clip", 2, "").0, "ACK");
    let mut sender = slow.stream.try_clone().unwrap();
    std::thread::spawn(move || {
        for byte in b"*5\r\n$3\r\nASK\r\n$1\r\n7\r\n$4\r\nclip\r\n$200\r\n".iter().chain([b'x'; 30].iter()) {
            std::thread::sleep(Duration::from_millis(100));
            let _ = sender.write_all(&[*byte]);
        }
    });
    waits.ask(1, "clip", 1, 5_000, "");
    assert_eq!(rested.fetch(1, "clip", 3, "").0, "ACK");
    for (what, client) in [("silent", &mut silent), ("half", &mut half), ("slow", &mut slow)] {
        assert!(client.next().is_none());
        assert!(since.elapsed() < Duration::from_millis(3_000), "{what}: {:?}", since.elapsed());
    }
    assert_eq!(rested.fetch(2, "clip", 4, "").0, "ACK", "closed before usual clients close");
    let rests = Instant::now();
    assert_eq!(waits.next().expect("not closed under a download")[1], "ACK");
    assert!(rested.next().is_none());
    let rested = rests.elapsed();
    assert!(rested > Duration::from_millis(4_000) && rested < Duration::from_millis(6_000), "{rested:?}");
}

/// Guards the place of usual clients against crowds that connect and say nothing, or ask once and stay.
#[test]
fn a_crowd_that_does_nothing_shuts_nobody_out() {
    let mut bed = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("obj=0000000000000001") => Reply::After(1_500, "ACK"),
        _ => Reply::Say("ACK", "res=HIT", b"good".to_vec()),
    });
    bed.config["limits"]["sockets"] = json!(64);
    bed.restart();
    let mut waits = bed.client();
    waits.ask(1, "clip", 1, 3_000, "");
    bed.saw("serve", 1);
    let asks_once = |_| {
        let mut client = bed.client();
        assert_eq!(client.fetch(1, "clip", 2, "").0, "ACK");
        client
    };
    let mut crowd: Vec<Client> = (0..60).map(asks_once).collect();
    crowd.extend((0..60).map(|_| bed.client()));
    let asked = Instant::now();
    assert_eq!(bed.client().fetch(1, "clip", 3, "").0, "ACK");
    assert!(asked.elapsed() < Duration::from_millis(700), "{:?}", asked.elapsed());
    let files = std::fs::read_dir(format!("/proc/{}/fd", bed.router.id())).unwrap().count();
    assert!(files <= 64, "{files}");
    assert_eq!(waits.next().expect("under way, so it stays")[1], "ACK");
}

/// Guards the time of usual clients against a few that send as much as they may and wait for it.
#[test]
fn clients_that_send_much_stop_only_themselves() {
    let mut bed = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("kind=filing") => Reply::Silence,
        _ => Reply::Say("ACK", "res=HIT", b"good".to_vec()),
    });
    bed.config["limits"]["memory_mb"] = json!(16);
    bed.restart();
    let body = vec![7; 40_000];
    let busy: Vec<Client> = (0..12).map(|_| bed.client()).collect();
    for (no, client) in (1..).zip(&busy) {
        for tag in 1..=7 {
            let fields = format!("i={:016x},d=3000,o={no:016x},chunk=0,tag=5", no * 100 + tag);
            client.send(&[b"ASK", tag.to_string().as_bytes(), b"filing", fields.as_bytes(), &body]);
        }
    }
    std::thread::sleep(Duration::from_millis(300));
    let written = bed.seen.lock().unwrap().iter().filter(|s| s.1[0] == "serve").count();
    assert!((45..84).contains(&written), "{written}: all together may hold 2 MB");
    // The core may turn it away, as it sees a cache that answers nothing; but it is read, and answered.
    let (asked, mut usual) = (Instant::now(), bed.client());
    (1..=3).for_each(|tag| drop(usual.fetch(tag, "clip", 3, "")));
    assert!(asked.elapsed() < Duration::from_millis(700), "{:?}", asked.elapsed());
}

/// Answers wait for clients that do not read them, within bounds, while others are served. Past the bound on all
/// of them only as many clients go as have to.
#[test]
fn clients_that_do_not_read_hold_up_nobody_else() {
    let reply = |_, _: &str| Reply::Say("ACK", "res=HIT", vec![7; 240_000]);
    let mut bed = Fixture::open(1, None, reply);
    bed.config["limits"]["memory_mb"] = json!(40);
    bed.restart();
    let deaf: Vec<Client> = (0..8).map(|_| bed.client()).collect();
    for (no, deaf) in (1..).zip(&deaf) {
        (1..=24).for_each(|tag| deaf.ask(tag, "clip", no * 100 + tag, 3_000, ""));
        // The core throttles while so much comes at once; what is asked below is what holds afterwards.
        std::thread::sleep(Duration::from_millis(200));
    }
    std::thread::sleep(Duration::from_millis(700));
    let mut client = bed.client();
    assert!((1..20).all(|tag| client.fetch(tag, "clip", tag, "").0 == "ACK"));
    let status = std::fs::read_to_string(format!("/proc/{}/status", bed.router.id())).unwrap();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    let kb: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
    assert!(kb < 40_000, "{kb} kB with eight deaf clients");
    let mut ended = 0;
    for mut deaf in deaf {
        let whole = std::iter::from_fn(|| deaf.next()).take(24).count();
        ended += usize::from(whole < 24);
    }
    assert!((1..=6).contains(&ended), "{ended} of 8 were ended");
}

/// Guards against ending on SIGHUP, and against waiting for the old feed to break.
#[test]
fn a_new_configuration_moves_the_feed_at_once_and_a_wrong_one_moves_nothing() {
    let mut bed = Fixture::open(1, None, |_, _| Reply::Say("ACK", "res=HIT", b"good".to_vec()));
    let (mut old, line) = subscribed(&bed.feed);
    assert_eq!(line, "SUB 1\n");
    let purge = |n: u64| json!({"n": n, "purge": {"group": 5, "at": 1}});
    old.write_all(format!("{}\n", purge(2)).as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let new = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = bed.config.clone();
    bed.reconfigure("{\"name\": \"n0\"");
    std::thread::sleep(Duration::from_millis(50));
    config["feed"] = json!("nowhere");
    bed.reconfigure(&config.to_string());
    std::thread::sleep(Duration::from_millis(50));
    old.write_all(format!("{}\n", purge(3)).as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    config["feed"] = json!(new.local_addr().unwrap().to_string());
    let asked = Instant::now();
    bed.reconfigure(&config.to_string());
    let (mut stream, line) = subscribed(&new);
    assert_eq!(line, "SUB 3\n", "the numbers carry on");
    assert!(asked.elapsed() < Duration::from_millis(1_000), "the old feed was waited for");
    assert_eq!(old.read(&mut [0; 1]).unwrap(), 0, "the old connection is closed");
    config["feed"] = json!(bed.feed.local_addr().unwrap().to_string());
    stream.write_all(format!("{}\n", purge(4)).as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    bed.reconfigure(&config.to_string());
    assert_eq!(subscribed(&bed.feed).1, "SUB 4\n", "and back again");
    assert_eq!(bed.client().fetch(1, "clip", 1, "").0, "ACK");
    bed.signal("-HUP");
    bed.signal("-TERM");
    bed.signal("-HUP");
    assert_eq!(bed.router.wait().unwrap().code(), Some(0));
    let mut said = String::new();
    bed.router.stderr.take().unwrap().read_to_string(&mut said).unwrap();
    let wrong: Vec<_> = said.lines().filter(|l| l.contains("configuration not reloaded")).collect();
    assert!(wrong.len() == 2 && wrong[0].contains("JSON") && wrong[1].contains("key feed"), "{said}");
}

#[test]
fn the_feed_is_taken_up_again_after_the_last_event_applied() {
    let bed = Fixture::open(2, None, |no, _| {
        Reply::Say("ACK", if no == 0 { "res=HIT" } else { "res=MISS" }, b"x".to_vec())
    });
    let subscribed = || subscribed(&bed.feed);
    let (mut stream, line) = subscribed();
    assert_eq!(line, "SUB 1\n");
    let gone = json!({"n": 2, "members": {"index": 2, "snapshot": false, "endpoints": [
        {"name": "s-00000000", "address": "", "zone": "here", "type": "std", "group": 0, "status": "Gone",
         "weight": 1, "since_ms": 0}]}});
    let text = format!("1\n{{\"n\":1}}\n{gone}\n");
    let (first, rest) = text.split_at(text.len() / 2);
    stream.write_all(first.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(30));
    stream.write_all(rest.as_bytes()).unwrap();
    stream.write_all(b"what is this\n").unwrap();
    let (mut stream, line) = subscribed();
    assert_eq!(line, "SUB 2\n", "after a line that can't be read");
    let purge = json!({"n": 3, "purge": {"group": 5, "at": 1}});
    stream.write_all(format!("{gone}\n{purge}\n").as_bytes()).unwrap();
    drop(stream);
    let (_silent, line) = subscribed();
    assert_eq!(line, "SUB 3\n", "after a break; what was seen is passed over");
    let (_stream, line) = subscribed();
    assert_eq!(line, "SUB 3\n", "after a silence");
    let mut client = bed.client();
    assert!((1..12).all(|tag| client.fetch(tag, "clip", tag, "").0 == "ACK"));
    assert!(bed.saw("serve", 11).iter().all(|(no, _)| *no == 1), "the one that is gone gets nothing");
}

#[test]
fn a_term_signal_leaves_nothing_unanswered() {
    let mut bed = Fixture::open(1, None, |_, _| Reply::After(1_200, "ACK"));
    let mut before = bed.client();
    before.ask(1, "clip", 1, 3_000, "");
    bed.saw("serve", 1);
    bed.signal("-TERM");
    std::thread::sleep(Duration::from_millis(300));
    let mut after = bed.client();
    after.ask(1, "clip", 2, 3_000, "");
    assert_eq!(before.next().unwrap()[1], "ACK");
    assert_eq!(after.next().unwrap()[1], "ACK");
    let ended = bed.router.wait().unwrap();
    assert_eq!(ended.code(), Some(0));
    assert!(before.next().is_none());
}

/// Guards against a kill that finds downloads open, because the caches are slower than a restart may be.
#[test]
fn what_a_restart_leaves_no_time_for_is_abandoned_in_time() {
    let mut bed = Fixture::open(1, None, |_, _| Reply::Silence);
    let mut client = bed.client();
    client.ask(1, "clip", 1, 5_000, "");
    bed.saw("serve", 1);
    let told = Instant::now();
    bed.signal("-TERM");
    assert_ne!(client.next().expect("an answer")[1], "ACK");
    assert_eq!(bed.router.wait().unwrap().code(), Some(0));
    assert!(told.elapsed() < Duration::from_millis(3_650), "{:?}", told.elapsed());
}

#[test]
fn a_configuration_that_cannot_be_is_one_line_that_names_the_key() {
    let bed = Fixture::open(1, None, |_, _| Reply::Silence);
    let cases = [
        ("/listen", json!("nowhere"), "listen"),
        ("/listen", json!(bed.listen), "listen"),
        ("/feed", json!(7), "feed"),
        ("/seed", json!("xyz"), "seed"),
        ("/name", Value::Null, "name"),
        ("/limits/sockets", json!(0), "limits.sockets"),
        ("/limits/memory_mb", json!("much"), "limits.memory_mb"),
        ("/known/n", Value::Null, "known.n"),
        ("/settings/Zone", Value::Null, "Zone"),
        ("/settings/Allowed/StreamsPerConn", json!(0), "Allowed.StreamsPerConn"),
        ("/settings/Shapes", json!(3), "Shapes"),
        ("/settings/Classes/0/Aim", json!(-3), "Classes[0].Aim"),
        ("/settings/Classes/1/Aim", json!("soon"), "Classes[1].Aim"),
        ("/settings/Classes/1/Idempotency", json!("maybe"), "Classes[1].Idempotency"),
        ("/settings/Allowed/MaxRetryAfter", json!([]), "Allowed.MaxRetryAfter"),
    ];
    for (path, value, key) in cases {
        let mut config = bed.config.clone();
        *config.pointer_mut(path).unwrap() = value;
        let ended = start(&config).wait_with_output().unwrap();
        let said = String::from_utf8(ended.stderr).unwrap();
        let complaint: Vec<&str> = said.lines().filter(|l| l.starts_with("harestage-router:")).collect();
        let named = complaint.len() == 1 && complaint[0].contains(key);
        let value = config.pointer(path).filter(|value| !value.is_null()).map(|value| value.to_string());
        let told = value.is_none_or(|value| complaint[0].contains(value.trim_matches('"')));
        assert!(!ended.status.success() && named && told, "{path}: {said}");
    }
    let mut router = Command::new(env!("CARGO_BIN_EXE_harestage-router"));
    let ended =
        launch(router.env_remove("BALANCER_CONFIG").stderr(Stdio::piped())).wait_with_output().unwrap();
    assert!(!ended.status.success() && String::from_utf8(ended.stderr).unwrap().contains("BALANCER_CONFIG"));
}
