//! The router process on the loopback interface between fake clients, nodes and a fake feed.
mod fixture;

use bytes::Bytes;
use fixture::{Client, Fixture, Reply, accept_subscription, launch, start, start_with};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

#[test]
fn downloads_are_fulfilled_throttled_and_abandoned() {
    let large: Vec<u8> = (0..240_000u32).map(|n| (n * 7 + n / 251) as u8).collect();
    let body = large.clone();
    let fixture = Fixture::open(2, None, move |_, fields| match fields {
        f if f.contains("kind=filing") => Reply::Answer("EIO", "-", vec![]),
        f if f.contains("obj=0000000000000001") => {
            Reply::Answer("ACK", "res=HIT,first=0,digest=aa", body.clone())
        }
        f if f.contains("obj=0000000000000002") => Reply::Answer("ACK", "res=MISS,first=9.5", vec![]),
        f if f.contains("got=4be0c1927d55a6f3") => {
            Reply::Answer("NOMOD", "res=HIT,digest=4be0c1927d55a6f3,dated=1", vec![])
        }
        _ => Reply::Answer("EIO", "-", vec![]),
    });
    let mut client = fixture.client();
    let (word, _, bytes) = client.fetch(1, "clip", 1, "");
    assert!(word == "ACK" && bytes == large, "complete and unchanged");
    assert_eq!(client.fetch(2, "clip", 2, ""), ("ACK".into(), "".into(), Bytes::new()));
    assert_eq!(client.fetch(3, "clip", 3, ",known=4be0c1927d55a6f3").1, "valid=1");
    let (word, fields, _) = client.fetch(4, "clip", 4, "");
    assert!(word == "NAK" && fields.starts_with("w="), "{word} {fields}");
    assert_eq!(client.fetch(5, "filing", 5, "").0, "FAIL");
    assert_eq!(client.fetch(6, "unknown", 6, "").0, "FAIL");
    let received = fixture.received.lock().unwrap();
    let filing: Vec<_> =
        received.iter().filter(|s| s.1.get(2).is_some_and(|f| f.starts_with(b"kind=filing"))).collect();
    assert_eq!(filing.len(), 1, "a pull that may have run is not repeated");
    assert_eq!(filing[0].1[3], "\r\nbody\x00");
}

/// A reset after the write proves nothing; a refused connection proves that the pull did not run.
#[test]
fn a_filing_goes_elsewhere_only_when_its_connection_was_refused() {
    let fixture = Fixture::open(2, None, |_, _| Reply::Close);
    assert_eq!(fixture.client().fetch(1, "filing", 1, "").0, "FAIL");
    fixture.wait_for_messages("serve", 1);
    for refusing in 0..2 {
        let fixture = Fixture::open(2, Some(refusing), |_, _| {
            Reply::Answer("ACK", "res=MISS_ORIGIN,first=3", b"done".to_vec())
        });
        let mut client = fixture.client();
        assert!((1..6).all(|tag| client.fetch(tag, "filing", tag, "").0 == "ACK"));
        assert!(fixture.wait_for_messages("serve", 5).iter().all(|(no, _)| *no != refusing));
    }
}

#[test]
fn a_malformed_answer_ends_its_connection_and_the_download_goes_on() {
    let fixture = Fixture::open(2, None, |no, _| match no {
        0 => Reply::Raw(b"*1\r\n$900000\r\n"),
        _ => Reply::Answer("ACK", "res=HIT", b"good".to_vec()),
    });
    let mut client = fixture.client();
    assert!((1..12).all(|tag| client.fetch(tag, "clip", tag, "").0 == "ACK"));
    assert!(
        fixture.received.lock().unwrap().iter().any(|(no, _)| *no == 0),
        "the misbehaving node was used too"
    );
}

/// A silent node delays its own pulls until their deadline, and no others.
#[test]
fn a_silent_node_delays_no_other_download() {
    let fixture = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("obj=0000000000000001") => Reply::Silence,
        _ => Reply::Answer("ACK", "res=HIT", b"good".to_vec()),
    });
    let (mut slow, mut quick) = (fixture.client(), fixture.client());
    let asked = Instant::now();
    slow.send_download(1, "clip", 1, 700, "");
    assert!((2..20).all(|tag| quick.fetch(tag, "clip", tag, "").0 == "ACK"));
    assert!(asked.elapsed() < Duration::from_millis(600));
    let items = slow.next_message().expect("an answer");
    assert!(items[1] != "ACK" && asked.elapsed() < Duration::from_millis(750), "{:?}", asked.elapsed());
    fixture.wait_for_messages("cancel", 1);
}

/// After a silence the next pull uses a new connection, which comes up or proves that the pull did not run.
#[test]
fn a_connection_that_fell_silent_is_not_used_again() {
    let fixture = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("obj=0000000000000001") => Reply::Silence,
        _ => Reply::Answer("ACK", "res=HIT", b"good".to_vec()),
    });
    let mut client = fixture.client();
    assert_eq!(client.fetch(1, "clip", 2, "").0, "ACK");
    client.send_download(2, "clip", 1, 400, "");
    assert_ne!(client.next_message().unwrap()[1], "ACK");
    fixture.wait_for_messages("connection", 1);
    assert_eq!(client.fetch(3, "clip", 3, "").0, "ACK");
    fixture.wait_for_messages("connection", 2);
}

/// Accepting connections fails while file descriptors are used up, and goes on once some are free again.
#[test]
fn clients_are_accepted_again_after_file_descriptors_ran_out() {
    let mut fixture = Fixture::open(1, None, |_, _| Reply::Answer("ACK", "res=HIT", b"good".to_vec()));
    let _ = fixture.router.kill();
    let _ = fixture.router.wait();
    fixture.router = start_with(&fixture.config, "ulimit -n 24; exec \"$0\"");
    fixture.wait_until_ready();
    let crowd: Vec<Client> = (0..40).map(|_| fixture.client()).collect();
    std::thread::sleep(Duration::from_millis(100));
    let files = std::fs::read_dir(format!("/proc/{}/fd", fixture.router.id())).unwrap().count();
    assert!(files >= 24, "{files}: the descriptors did not run out");
    drop(crowd);
    let mut client = fixture.client();
    client.send(&[b"STATUS", b"1", b""]);
    assert_eq!(client.next_message().unwrap()[1], "GREEN");
}

#[test]
fn a_client_that_leaves_has_its_pulls_cancelled() {
    let fixture = Fixture::open(1, None, |_, _| Reply::Silence);
    let mut client = fixture.client();
    client.send_download(1, "clip", 1, 3_000, "");
    fixture.wait_for_messages("serve", 1);
    client.send(&[b"NEVERMIND", b"1"]);
    fixture.wait_for_messages("cancel", 1);
    client.send_download(2, "clip", 2, 3_000, "");
    fixture.wait_for_messages("serve", 2);
    client.send(&[b"STATUS", b"3", b""]);
    assert_eq!(client.next_message().unwrap()[0], "3", "a cancelled download gets no answer");
    drop(client);
    fixture.wait_for_messages("cancel", 2);
}

#[test]
fn misbehaving_clients_affect_no_others() {
    let fixture = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("obj=0000000000000001") => Reply::Silence,
        _ => Reply::Answer("ACK", "res=HIT", b"good".to_vec()),
    });
    for noise in
        [&b"*3\r\n$-1\r\n"[..], b"GET / HTTP/1.1\r\n\r\n", b"*2\r\n$3\r\nASK\r\n$1\r\nx\r\n", b"*999\r\n"]
    {
        let mut client = fixture.client();
        client.stream.write_all(noise).unwrap();
        assert!(client.next_message().is_none(), "{}", String::from_utf8_lossy(noise));
    }
    let mut twice = fixture.client();
    twice.send_download(1, "clip", 1, 3_000, "");
    fixture.wait_for_messages("serve", 1);
    twice.send_download(1, "clip", 1, 3_000, "");
    let mut third = fixture.client();
    third.send_download(1, "clip", 1, 3_000, "");
    third.send(&[b"STATUS", b"1", b""]);
    third.send(&[b"STATUS", b"2", b""]);
    for client in [&mut twice, &mut third] {
        // The first request was valid and gets its one answer; nothing after the second is handled.
        assert_ne!(client.next_message().expect("an answer")[1], "ACK");
        assert!(client.next_message().is_none());
    }
    let mut odd = fixture.client();
    odd.send(&[b"WHAT", b"4"]);
    odd.send(&[b"ASK", b"5", b"clip", b"i=3", b""]);
    assert_eq!(
        (odd.next_message().unwrap()[1].clone(), odd.next_message().unwrap()[1].clone()),
        ("FAIL".into(), "FAIL".into())
    );
    let half = fixture.client();
    (&half.stream).write_all(b"*5\r\n$3\r\nAS").unwrap();
    assert_eq!(odd.fetch(6, "clip", 6, "").0, "ACK");
    let mut many = fixture.client();
    (1..=33).for_each(|tag| many.send_download(tag, "clip", 1, 3_000, ""));
    // Some earlier downloads may be throttled, depending on how many wait at one cache.
    let other = std::iter::from_fn(|| many.next_message()).find(|items| items[1] != "NAK");
    assert_eq!(other.unwrap()[..2], ["33", "FAIL"]);
}

/// After a few invalid messages a client counts as a flood: its open downloads are cancelled, and it is cut
/// off.
#[test]
fn a_flood_of_invalid_messages_is_cut_off() {
    let fixture = Fixture::open(1, None, |_, _| Reply::Silence);
    let mut flood = fixture.client();
    flood.send_download(1, "clip", 1, 9_000, "");
    fixture.wait_for_messages("serve", 1);
    (2..=10).for_each(|tag: u64| flood.send(&[b"WHAT", tag.to_string().as_bytes()]));
    assert!(std::iter::from_fn(|| flood.next_message()).all(|items| items[1] == "FAIL" && items[0] != "1"));
    fixture.wait_for_messages("cancel", 1);
}

/// Guards the file descriptors against clients that keep idle connections. A connection with an open download
/// stays.
#[test]
fn stalled_client_connections_are_closed_in_time() {
    let fixture = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("obj=0000000000000001") => Reply::After(3_500, "ACK"),
        _ => Reply::Answer("ACK", "res=HIT", b"good".to_vec()),
    });
    let since = Instant::now();
    let (mut silent, mut half, mut slow) = (fixture.client(), fixture.client(), fixture.client());
    let (mut rested, mut waits) = (fixture.client(), fixture.client());
    (&half.stream).write_all(b"*5\r\n$3\r\nAS").unwrap();
    assert_eq!(slow.fetch(1, "clip", 2, "").0, "ACK");
    let mut sender = slow.stream.try_clone().unwrap();
    std::thread::spawn(move || {
        for byte in b"*5\r\n$3\r\nASK\r\n$1\r\n7\r\n$4\r\nclip\r\n$200\r\n".iter().chain([b'x'; 30].iter()) {
            std::thread::sleep(Duration::from_millis(100));
            let _ = sender.write_all(&[*byte]);
        }
    });
    waits.send_download(1, "clip", 1, 5_000, "");
    assert_eq!(rested.fetch(1, "clip", 3, "").0, "ACK");
    for (what, client) in [("silent", &mut silent), ("half", &mut half), ("slow", &mut slow)] {
        assert!(client.next_message().is_none());
        assert!(since.elapsed() < Duration::from_millis(3_000), "{what}: {:?}", since.elapsed());
    }
    assert_eq!(rested.fetch(2, "clip", 4, "").0, "ACK", "closed earlier than well-behaved clients close");
    let rests = Instant::now();
    assert_eq!(waits.next_message().expect("an answer: a connection with an open download stays")[1], "ACK");
    assert!(rested.next_message().is_none());
    let rested = rests.elapsed();
    assert!(rested > Duration::from_millis(4_000) && rested < Duration::from_millis(6_000), "{rested:?}");
}

/// Guards the slots of normal clients against crowds that connect and send nothing, or send one request and
/// stay.
#[test]
fn a_crowd_of_idle_clients_shuts_nobody_out() {
    let mut fixture = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("obj=0000000000000001") => Reply::After(1_500, "ACK"),
        _ => Reply::Answer("ACK", "res=HIT", b"good".to_vec()),
    });
    fixture.config["limits"]["sockets"] = json!(64);
    fixture.restart();
    let mut waits = fixture.client();
    waits.send_download(1, "clip", 1, 3_000, "");
    fixture.wait_for_messages("serve", 1);
    let asks_once = |_| {
        let mut client = fixture.client();
        assert_eq!(client.fetch(1, "clip", 2, "").0, "ACK");
        client
    };
    let mut crowd: Vec<Client> = (0..60).map(asks_once).collect();
    crowd.extend((0..60).map(|_| fixture.client()));
    let asked = Instant::now();
    assert_eq!(fixture.client().fetch(1, "clip", 3, "").0, "ACK");
    assert!(asked.elapsed() < Duration::from_millis(700), "{:?}", asked.elapsed());
    let files = std::fs::read_dir(format!("/proc/{}/fd", fixture.router.id())).unwrap().count();
    assert!(files <= 64, "{files}");
    assert_eq!(waits.next_message().expect("an answer: a connection with an open download stays")[1], "ACK");
}

/// Guards the response time for normal clients against a few that send as much as they may.
#[test]
fn clients_that_send_much_delay_only_themselves() {
    let mut fixture = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("kind=filing") => Reply::Silence,
        _ => Reply::Answer("ACK", "res=HIT", b"good".to_vec()),
    });
    fixture.config["limits"]["memory_mb"] = json!(16);
    fixture.restart();
    let body = vec![7; 40_000];
    let busy: Vec<Client> = (0..12).map(|_| fixture.client()).collect();
    for (no, client) in (1..).zip(&busy) {
        for tag in 1..=7 {
            let fields = format!("i={:016x},d=3000,o={no:016x},chunk=0,tag=5", no * 100 + tag);
            client.send(&[b"ASK", tag.to_string().as_bytes(), b"filing", fields.as_bytes(), &body]);
        }
    }
    std::thread::sleep(Duration::from_millis(300));
    let written = fixture.received.lock().unwrap().iter().filter(|s| s.1[0] == "serve").count();
    assert!((45..84).contains(&written), "{written}: all together may hold 2 MB");
    // The core may refuse the download, since the cache answers nothing; but it is read and answered at once.
    let (asked, mut usual) = (Instant::now(), fixture.client());
    (1..=3).for_each(|tag| drop(usual.fetch(tag, "clip", 3, "")));
    assert!(asked.elapsed() < Duration::from_millis(700), "{:?}", asked.elapsed());
}

/// Answers for clients that do not read are buffered within limits while others are served. Over the limit
/// for all of them, only as many clients are cut off as necessary.
#[test]
fn clients_that_do_not_read_delay_nobody_else() {
    let reply = |_, _: &str| Reply::Answer("ACK", "res=HIT", vec![7; 240_000]);
    let mut fixture = Fixture::open(1, None, reply);
    fixture.config["limits"]["memory_mb"] = json!(40);
    fixture.restart();
    let slow_reader: Vec<Client> = (0..8).map(|_| fixture.client()).collect();
    for (no, slow_reader) in (1..).zip(&slow_reader) {
        (1..=24).for_each(|tag| slow_reader.send_download(tag, "clip", no * 100 + tag, 3_000, ""));
        // The core throttles while so much arrives at once; the requests below check what holds afterwards.
        std::thread::sleep(Duration::from_millis(200));
    }
    std::thread::sleep(Duration::from_millis(700));
    let mut client = fixture.client();
    assert!((1..20).all(|tag| client.fetch(tag, "clip", tag, "").0 == "ACK"));
    let status = std::fs::read_to_string(format!("/proc/{}/status", fixture.router.id())).unwrap();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    let kb: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
    assert!(kb < 40_000, "{kb} kB with eight deaf clients");
    let mut ended = 0;
    for mut slow_reader in slow_reader {
        let whole = std::iter::from_fn(|| slow_reader.next_message()).take(24).count();
        ended += usize::from(whole < 24);
    }
    assert!((1..=6).contains(&ended), "{ended} of 8 were ended");
}

/// Guards against ending on SIGHUP, and against waiting until the old feed's connection breaks.
#[test]
fn a_new_configuration_moves_the_feed_at_once_and_an_invalid_one_changes_nothing() {
    let mut fixture = Fixture::open(1, None, |_, _| Reply::Answer("ACK", "res=HIT", b"good".to_vec()));
    let (mut old, line) = accept_subscription(&fixture.feed);
    assert_eq!(line, "SUB 1\n");
    let purge = |n: u64| json!({"n": n, "purge": {"group": 5, "at": 1}});
    old.write_all(format!("{}\n", purge(2)).as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let new = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = fixture.config.clone();
    fixture.reconfigure("{\"name\": \"n0\"");
    std::thread::sleep(Duration::from_millis(50));
    config["feed"] = json!("nowhere");
    fixture.reconfigure(&config.to_string());
    std::thread::sleep(Duration::from_millis(50));
    old.write_all(format!("{}\n", purge(3)).as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    config["feed"] = json!(new.local_addr().unwrap().to_string());
    let asked = Instant::now();
    fixture.reconfigure(&config.to_string());
    let (mut stream, line) = accept_subscription(&new);
    assert_eq!(line, "SUB 3\n", "the numbers carry on");
    assert!(asked.elapsed() < Duration::from_millis(1_000), "the router waited for the old feed");
    assert_eq!(old.read(&mut [0; 1]).unwrap(), 0, "the old connection is closed");
    config["feed"] = json!(fixture.feed.local_addr().unwrap().to_string());
    stream.write_all(format!("{}\n", purge(4)).as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    fixture.reconfigure(&config.to_string());
    assert_eq!(accept_subscription(&fixture.feed).1, "SUB 4\n", "the feed moves back");
    assert_eq!(fixture.client().fetch(1, "clip", 1, "").0, "ACK");
    fixture.signal("-HUP");
    fixture.signal("-TERM");
    fixture.signal("-HUP");
    assert_eq!(fixture.router.wait().unwrap().code(), Some(0));
    let mut said = String::new();
    fixture.router.stderr.take().unwrap().read_to_string(&mut said).unwrap();
    let wrong: Vec<_> = said.lines().filter(|l| l.contains("configuration not reloaded")).collect();
    assert!(wrong.len() == 2 && wrong[0].contains("JSON") && wrong[1].contains("key feed"), "{said}");
}

#[test]
fn the_feed_is_resumed_after_the_last_event_applied() {
    let fixture = Fixture::open(2, None, |no, _| {
        Reply::Answer("ACK", if no == 0 { "res=HIT" } else { "res=MISS" }, b"x".to_vec())
    });
    let accept_subscription = || accept_subscription(&fixture.feed);
    let (mut stream, line) = accept_subscription();
    assert_eq!(line, "SUB 1\n");
    let removal = json!({"n": 2, "members": {"index": 2, "snapshot": false, "endpoints": [
        {"name": "s-00000000", "address": "", "zone": "here", "type": "std", "group": 0, "status": "Gone",
         "weight": 1, "since_ms": 0}]}});
    let text = format!("1\n{{\"n\":1}}\n{removal}\n");
    let (first, rest) = text.split_at(text.len() / 2);
    stream.write_all(first.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(30));
    stream.write_all(rest.as_bytes()).unwrap();
    stream.write_all(b"what is this\n").unwrap();
    let (mut stream, line) = accept_subscription();
    assert_eq!(line, "SUB 2\n", "after a malformed line");
    let purge = json!({"n": 3, "purge": {"group": 5, "at": 1}});
    stream.write_all(format!("{removal}\n{purge}\n").as_bytes()).unwrap();
    drop(stream);
    let (_silent, line) = accept_subscription();
    assert_eq!(line, "SUB 3\n", "after a break; known events are skipped");
    let (_stream, line) = accept_subscription();
    assert_eq!(line, "SUB 3\n", "after a silence");
    let mut client = fixture.client();
    assert!((1..12).all(|tag| client.fetch(tag, "clip", tag, "").0 == "ACK"));
    assert!(
        fixture.wait_for_messages("serve", 11).iter().all(|(no, _)| *no == 1),
        "the removed node gets no pulls"
    );
}

#[test]
fn a_term_signal_leaves_nothing_unanswered() {
    let mut fixture = Fixture::open(1, None, |_, _| Reply::After(1_200, "ACK"));
    let mut before = fixture.client();
    before.send_download(1, "clip", 1, 3_000, "");
    fixture.wait_for_messages("serve", 1);
    fixture.signal("-TERM");
    std::thread::sleep(Duration::from_millis(300));
    let mut after = fixture.client();
    after.send_download(1, "clip", 2, 3_000, "");
    assert_eq!(before.next_message().unwrap()[1], "ACK");
    assert_eq!(after.next_message().unwrap()[1], "ACK");
    let ended = fixture.router.wait().unwrap();
    assert_eq!(ended.code(), Some(0));
    assert!(before.next_message().is_none());
}

/// Guards against a kill while downloads are open because caches are slower than a restart may take.
#[test]
fn downloads_that_outlast_a_shutdown_are_abandoned_in_time() {
    let mut fixture = Fixture::open(1, None, |_, _| Reply::Silence);
    let mut client = fixture.client();
    client.send_download(1, "clip", 1, 5_000, "");
    fixture.wait_for_messages("serve", 1);
    let signalled_at = Instant::now();
    fixture.signal("-TERM");
    assert_ne!(client.next_message().expect("an answer")[1], "ACK");
    assert_eq!(fixture.router.wait().unwrap().code(), Some(0));
    assert!(signalled_at.elapsed() < Duration::from_millis(3_650), "{:?}", signalled_at.elapsed());
}

#[test]
fn an_invalid_configuration_gives_one_line_that_names_the_key() {
    let fixture = Fixture::open(1, None, |_, _| Reply::Silence);
    let cases = [
        ("/listen", json!("nowhere"), "listen"),
        ("/listen", json!(fixture.listen), "listen"),
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
        let mut config = fixture.config.clone();
        *config.pointer_mut(path).unwrap() = value;
        let ended = start(&config).wait_with_output().unwrap();
        let said = String::from_utf8(ended.stderr).unwrap();
        let complaint: Vec<&str> = said.lines().filter(|l| l.starts_with("harestage-router:")).collect();
        let named = complaint.len() == 1 && complaint[0].contains(key);
        let value = config.pointer(path).filter(|value| !value.is_null()).map(|value| value.to_string());
        let names_value = value.is_none_or(|value| complaint[0].contains(value.trim_matches('"')));
        assert!(!ended.status.success() && named && names_value, "{path}: {said}");
    }
    let mut router = Command::new(env!("CARGO_BIN_EXE_harestage-router"));
    let ended =
        launch(router.env_remove("BALANCER_CONFIG").stderr(Stdio::piped())).wait_with_output().unwrap();
    assert!(!ended.status.success() && String::from_utf8(ended.stderr).unwrap().contains("BALANCER_CONFIG"));
}
