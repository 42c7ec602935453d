//! Clients that come by hundreds or send much, before a router with usual memory.
mod fixture;
use fixture::{Client, Fixture, Reply};
use std::io::Write;
use std::net::TcpStream;
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
