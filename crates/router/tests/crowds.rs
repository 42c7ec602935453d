//! Clients that come by hundreds or send much, before a router with usual memory.
mod fixture;
use fixture::{Client, Fixture, Reply};
use harestage_wire::resp::{LINE_END, encode_head};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

fn good(_: usize, _: &str) -> Reply {
    Reply::Answer("ACK", "res=HIT,first=0", b"content".to_vec())
}

/// More than one read takes: the close is behind bytes that are read later.
#[test]
fn requests_of_a_client_that_left_much_unread_are_not_sent_to_nodes() {
    for resets in [false, true] {
        let fixture = Fixture::open(1, None, good);
        assert_eq!(fixture.client().fetch(9, "clip", 2, "").0, "ACK");
        let client = fixture.client();
        fixture.signal("-STOP");
        for tag in 1..=30 {
            let fields = format!("i={0:016x},d=3000,o={0:016x},chunk=0,tag=5", 500 + tag);
            client.send(&[b"ASK", tag.to_string().as_bytes(), b"filing", fields.as_bytes(), &[b'x'; 10_000]]);
        }
        if resets {
            rustix::net::sockopt::set_socket_linger(&client.stream, Some(Duration::ZERO)).unwrap();
        }
        drop(client);
        fixture.signal("-CONT");
        assert_eq!(fixture.client().fetch(2, "clip", 2, "").0, "ACK");
        fixture.wait_for_messages("serve", 2);
    }
}

#[test]
fn a_client_that_leaves_while_nothing_more_is_read_from_it_has_its_pulls_cancelled() {
    let fixture = Fixture::open(1, None, |_, _| Reply::Silence);
    let client = fixture.client();
    client.send_download(1, "clip", 1, 3_000, "");
    fixture.wait_for_messages("serve", 1);
    (&client.stream).write_all(b"malformed\r\n").unwrap();
    client.stream.set_nonblocking(true).unwrap();
    // Until the router reads no more and all buffers are full.
    while (&client.stream).write(&[b'x'; 1 << 16]).is_ok() {}
    let left = Instant::now();
    drop(client);
    fixture.wait_for_messages("cancel", 1);
    assert!(left.elapsed() < Duration::from_millis(500), "cancelled after {:?}", left.elapsed());
}

#[test]
fn hundreds_of_clients_that_connect_at_once_are_all_answered_in_time() {
    let fixture = Fixture::open(1, None, good);
    fixture.signal("-STOP");
    // None is accepted before all have connected.
    let connecting: Vec<_> = (0..300)
        .map(|_| {
            let listen = fixture.listen.clone();
            std::thread::spawn(move || {
                let mut client = Client::new(TcpStream::connect(listen).unwrap());
                client.send(&[b"STATUS", b"1", b""]);
                client.next_message().map(|answer| (answer[1].clone(), Instant::now()))
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    fixture.signal("-CONT");
    let continued = Instant::now();
    for client in connecting {
        let (word, at) = client.join().unwrap().expect("an answer");
        let late = at.duration_since(continued);
        assert!(word == "GREEN" && late < Duration::from_millis(500), "{word:?} after {late:?}");
    }
}

fn message(items: &[&[u8]]) -> Vec<u8> {
    let (last, first) = items.split_last().unwrap();
    [&encode_head(first, last.len()), *last, LINE_END].concat()
}

/// What a client sends at full speed, by the number of the message.
type Flood = (&'static str, fn(u64) -> Vec<u8>);

const FLOODS: [Flood; 6] = [
    ("questions", |_| message(&[b"STATUS", b"1", b""])),
    ("cancels", |no| message(&[b"NEVERMIND", no.to_string().as_bytes()])),
    ("unknown words", |no| message(&[format!("W{no}").as_bytes(), no.to_string().as_bytes()])),
    ("unknown content types", |no| download(no, &format!("content-{no}"), no)),
    ("new objects", |no| download(no, "clip", no)),
    ("one object", |no| download(no, "filing", 1)),
];

fn download(no: u64, content: &str, object: u64) -> Vec<u8> {
    let fields = format!("i={no:016x},d=1000,o={object:016x},chunk=0,tag=5");
    message(&[b"ASK", no.to_string().as_bytes(), content.as_bytes(), fields.as_bytes(), b""])
}

/// Sends at full speed, reads all answers, and comes again when it is cut off.
fn flood(listen: &str, until: Instant, bytes: fn(u64) -> Vec<u8>) {
    let mut no = 1;
    while Instant::now() < until {
        let stream = TcpStream::connect(listen).unwrap();
        let mut answers = stream.try_clone().unwrap();
        let reader = std::thread::spawn(move || std::io::copy(&mut answers, &mut std::io::sink()));
        while Instant::now() < until {
            let batch: Vec<u8> = (no..no + 64).flat_map(bytes).collect();
            no += 64;
            if (&stream).write_all(&batch).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        let _ = reader.join();
    }
}

#[test]
fn one_client_at_full_speed_delays_nobody_and_takes_bounded_memory() {
    for (what, bytes) in FLOODS {
        let fixture = Fixture::open_with_memory(2, None, 32, good);
        let (listen, until) = (fixture.listen.clone(), Instant::now() + Duration::from_millis(800));
        let flooding = std::thread::spawn(move || flood(&listen, until, bytes));
        let (mut usual, mut tag) = (fixture.client(), 0);
        while Instant::now() < until {
            tag += 1;
            let asked = Instant::now();
            // The core may refuse it while the flood takes all that caches can do.
            usual.send_download(tag, "clip", 1 << 40 | tag, 1_000, "");
            usual.next_message().expect("an answer");
            assert!(asked.elapsed() < Duration::from_millis(300), "{what}: {:?}", asked.elapsed());
        }
        flooding.join().unwrap();
        assert!(tag > 50, "{what}: only {tag} answers");
        assert!(fixture.peak_memory() < 32 << 20, "{what}: {} kB", fixture.peak_memory() >> 10);
    }
}
