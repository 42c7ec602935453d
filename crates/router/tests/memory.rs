//! The resident memory of a router with the least memory that it is run with, among hundreds of clients that
//! misbehave together.
mod fixture;
use fixture::*;
use harestage_wire::resp::LINE_END;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
/// Resident memory over nine tenths of the limit counts as too much.
const MAX_RESIDENT_BYTES: usize = (MEMORY_MB << 20) as usize * 9 / 10;
const CROWD: u64 = 600;
const MAX_BODY_BYTES: usize = 48_000;
const MAX_ANSWER_BYTES: usize = 240_000;
/// How long a crowd stays.
const STAY: Duration = Duration::from_millis(1_500);
/// Within this time others get their answers.
const IN_TIME: Duration = Duration::from_secs(1);

fn good(_: usize, _: &str) -> Reply {
    Reply::Answer("ACK", "res=HIT,first=0", b"content".to_vec())
}

fn open(caches: usize, reply: impl Fn(usize, &str) -> Reply + Send + Sync + 'static) -> Fixture {
    Fixture::open_with_memory(caches, None, MEMORY_MB, reply)
}

fn item(bytes: &[u8]) -> Vec<u8> {
    [format!("${}\r\n", bytes.len()).as_bytes(), bytes, LINE_END].concat()
}

/// A download of an object of its own.
fn request(client: u64, tag: u64, more_fields: &str, body: &[u8]) -> Vec<u8> {
    let id = client * 100 + tag;
    let fields = format!("i={id:016x},d=3000,o={id:016x},chunk=0,tag=5{more_fields}");
    let items = [b"ASK", tag.to_string().as_bytes(), b"filing", fields.as_bytes(), body].map(item);
    [b"*5\r\n", &items.concat()[..]].concat()
}

fn crowd(fixture: &Fixture, bytes: impl Fn(u64) -> Vec<u8>) -> Vec<TcpStream> {
    crowd_of(CROWD, fixture, bytes)
}

/// Clients that connect, write what `bytes` gives for their number as far as the router takes it, and stay.
fn crowd_of(clients: u64, fixture: &Fixture, bytes: impl Fn(u64) -> Vec<u8>) -> Vec<TcpStream> {
    let connect = |client| {
        let stream = TcpStream::connect(&fixture.listen).unwrap();
        stream.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
        let _ = (&stream).write_all(&bytes(client));
        stream
    };
    (1..=clients).map(connect).collect()
}

/// While the crowd stays, others are answered in time and the memory stays within its limit.
fn assert_holds(fixture: &Fixture) {
    let until = Instant::now() + STAY;
    while Instant::now() < until {
        let (mut client, begun) = (fixture.client(), Instant::now());
        client.send(&[b"STATUS", b"1", b""]);
        assert_eq!(client.next_message().expect("an answer")[1], "GREEN");
        assert!(begun.elapsed() < IN_TIME, "answered after {:?}", begun.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
    let (peak, max) = (fixture.peak_memory() >> 10, MAX_RESIDENT_BYTES >> 10);
    println!("{peak} kB resident at the most");
    assert!(peak <= max, "{peak} kB resident of {max}");
}

/// A client that sends a large request at once is served.
fn assert_large_request_is_served(fixture: &Fixture) {
    let mut client = fixture.client();
    (&client.stream).write_all(&request(CROWD + 1, 1, "", &[b'x'; MAX_BODY_BYTES])).unwrap();
    assert_eq!(client.next_message().expect("an answer")[1], "ACK");
}

#[test]
fn half_read_requests_of_a_crowd_stay_within_the_memory_limit() {
    let fixture = open(2, good);
    let _crowd = crowd(&fixture, |client| {
        let mut request = request(client, 1, "", &[b'x'; MAX_BODY_BYTES]);
        request.truncate(request.len() - 1_000);
        request
    });
    assert_large_request_is_served(&fixture);
    assert_holds(&fixture);
}

#[test]
fn half_read_messages_of_many_long_items_stay_within_the_memory_limit() {
    let fixture = open(2, good);
    let _crowd = crowd(&fixture, |_| {
        let items = item(&[b'x'; MAX_BODY_BYTES]).repeat(7);
        [b"*8\r\n", items.as_slice()].concat()
    });
    assert_large_request_is_served(&fixture);
    assert_holds(&fixture);
}

#[test]
fn a_discarded_request_is_refused_once_it_is_whole() {
    let mut fixture = open(2, good);
    let mut log = BufReader::new(fixture.router.stderr.take().unwrap()).lines();
    let mut slow = fixture.client();
    let whole = request(CROWD + 2, 7, "", &[b'x'; MAX_BODY_BYTES]);
    let (begin, rest) = whole.split_at(whole.len() - 1_000);
    (&slow.stream).write_all(begin).unwrap();
    let _crowd =
        crowd_of(200, &fixture, |client| request(client, 1, "", &[b'x'; MAX_BODY_BYTES])[..40_000].into());
    // The first one to be discarded is the oldest.
    assert!(log.any(|line| line.unwrap().contains("client message discarded")));
    (&slow.stream).write_all(rest).unwrap();
    let answer = slow.next_message().expect("an answer");
    assert_eq!((&answer[0][..], &answer[1][..]), (&b"7"[..], &b"NAK"[..]));
    assert!(fixture.received.lock().unwrap().iter().all(|(_, message)| message[0] != "serve"));
    slow.send_download(8, "filing", 9, 2_000, "");
    assert_eq!(slow.next_message().expect("an answer")[1], "ACK");
}

/// The other half is divided among requests and answers.
#[test]
fn connections_that_wait_for_input_take_less_than_half_of_the_memory() {
    let fixture = open(2, good);
    let _crowd = crowd(&fixture, |_| b"*5\r\n".to_vec());
    assert_holds(&fixture);
    let peak = fixture.peak_memory() >> 10;
    assert!(peak <= MAX_RESIDENT_BYTES >> 11, "{peak} kB resident");
}

/// Each request is passed on before its client takes it back. What is remembered of objects has its own part of the
/// memory, so that less than half of it is in use.
#[test]
fn ever_new_objects_of_one_client_stay_within_the_memory_limit() {
    let fixture = open(2, good);
    let mut client = fixture.client();
    for batch in 0..2_000 {
        let tags = batch * 33 + 1..batch * 33 + 33;
        let requests: Vec<u8> = tags.clone().flat_map(|tag| request(0, tag, "", b"")).collect();
        (&client.stream).write_all(&requests).unwrap();
        let question = tags.end.to_string();
        client.send(&[b"STATUS", question.as_bytes(), b""]);
        while client.next_message().expect("an answer")[0] != question {}
        tags.for_each(|tag| client.send(&[b"NEVERMIND", tag.to_string().as_bytes()]));
    }
    assert_holds(&fixture);
    let peak = fixture.peak_memory() >> 10;
    assert!(peak <= MAX_RESIDENT_BYTES >> 11, "{peak} kB resident");
}

#[test]
fn answers_that_stop_half_way_stay_within_the_memory_limit() {
    let head = format!("*4\r\n$16\r\n{:016x}\r\n$3\r\nACK\r\n$1\r\n-\r\n${MAX_ANSWER_BYTES}\r\n", 0);
    let half: &[u8] = [head.as_bytes(), &[b'x'; MAX_ANSWER_BYTES - 10]].concat().leak();
    let fixture = open(8, move |_, _| Reply::Raw(half));
    let _crowd = crowd(&fixture, |client| request(client, 1, "", b""));
    assert_holds(&fixture);
}

#[test]
fn large_answers_that_arrive_together_wait_for_each_other_and_all_arrive() {
    let large = || vec![b'x'; MAX_ANSWER_BYTES];
    let fixture = open(8, move |_, _| Reply::Answer("ACK", "res=HIT,first=0", large()));
    let clients: Vec<Client> = (0..40).map(|_| fixture.client()).collect();
    for (no, client) in (1..).zip(&clients) {
        (&client.stream).write_all(&request(no, 1, "", b"")).unwrap();
    }
    for mut client in clients {
        let answer = client.next_message().expect("an answer");
        assert_eq!((&answer[1][..], answer[3].len()), (&b"ACK"[..], MAX_ANSWER_BYTES));
    }
    assert_holds(&fixture);
}

#[test]
fn large_answers_that_a_crowd_does_not_read_stay_within_the_memory_limit() {
    let large = || vec![b'x'; MAX_ANSWER_BYTES];
    let fixture = open(8, move |_, _| Reply::Answer("ACK", "res=HIT,first=0", large()));
    let _crowd = crowd(&fixture, |client| (1..=32).flat_map(|tag| request(client, tag, "", b"")).collect());
    assert_holds(&fixture);
}

#[test]
fn small_answers_that_a_crowd_does_not_read_stay_within_the_memory_limit() {
    let fixture = open(2, good);
    let status = [b"*3\r\n".to_vec(), item(b"STATUS"), item(b"1"), item(b"")].concat();
    let _crowd = crowd_of(100, &fixture, |_| status.repeat(100_000));
    assert_holds(&fixture);
}

#[test]
fn downloads_of_a_crowd_that_wait_for_a_silent_node_stay_within_the_memory_limit() {
    let fixture = open(2, |_, _| Reply::Silence);
    let body = [b'x'; MAX_BODY_BYTES];
    let requests =
        |client| (1..=32).flat_map(|tag| request(client, tag, "", &body[..100 * tag as usize])).collect();
    let _crowd = crowd(&fixture, requests);
    assert_holds(&fixture);
}

#[test]
fn long_field_lists_of_a_crowd_stay_within_the_memory_limit() {
    let fixture = open(2, |_, _| Reply::Silence);
    let many = format!(",known=ab{}", ",a=1".repeat(11_900));
    let _crowd = crowd(&fixture, |client| (1..=8).flat_map(|tag| request(client, tag, &many, b"")).collect());
    assert_holds(&fixture);
}
