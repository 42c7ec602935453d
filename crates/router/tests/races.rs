//! Races between two events, forced on sockets: each test waits for a sign that the first event has happened
//! before it causes the second. docs/crossings.md has a table of them.
mod fixture;

use fixture::{BOUNDS, Client, Fixture, Reply, TIMEOUT, accept_subscription, receive, send};
use harestage_wire::resp::Decoder;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// The router has closed the connection, without a reset that could have lost an answer.
fn assert_closed_cleanly(client: &mut Client) {
    assert!(client.next_message().is_none());
    client.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let read = client.stream.read(&mut [0; 1]);
    assert!(matches!(read, Ok(0)), "{read:?}");
}

fn good(_: usize, _: &str) -> Reply {
    Reply::Answer("ACK", "res=HIT", b"good".to_vec())
}

/// The object tells the fake node what to do with a download: object 1 is never answered.
fn silent_for_object_1(_: usize, fields: &str) -> Reply {
    if fields.contains("obj=0000000000000001") { Reply::Silence } else { good(0, "") }
}

fn split_request(tag: u64, object: u64) -> (Vec<u8>, Vec<u8>) {
    let fields = format!("i={:016x},d=2000,o={object:016x},chunk=0,tag=5", tag + object * 1_000);
    let whole = format!(
        "*5\r\n$3\r\nASK\r\n$1\r\n{tag}\r\n$4\r\nclip\r\n${}\r\n{fields}\r\n$0\r\n\r\n",
        fields.len()
    );
    let (first, second) = whole.as_bytes().split_at(whole.len() / 2);
    (first.to_vec(), second.to_vec())
}

/// Waits until the router has read everything that this client wrote, by sending a status query after it.
fn wait_until_read(client: &mut Client) {
    client.send(&[b"STATUS", b"999", b""]);
    assert_eq!(client.next_message().unwrap()[0], "999");
}

/// A message that was partly received when the shutdown begins is waited for and answered.
#[test]
fn a_partial_request_at_shutdown_is_answered_once_it_is_complete() {
    let mut fixture = Fixture::open(1, None, good);
    let (mut idle, mut half) = (fixture.client(), fixture.client());
    wait_until_read(&mut idle);
    wait_until_read(&mut half);
    let (first, second) = split_request(7, 3);
    half.stream.write_all(&first).unwrap();
    fixture.signal("-TERM");
    fixture.signal("-TERM");
    fixture.signal("-HUP");
    assert_closed_cleanly(&mut idle);
    half.stream.write_all(&second).unwrap();
    assert_eq!(
        half.next_message().expect("an answer, since the request began before the shutdown")[..2],
        ["7", "ACK"]
    );
    assert_closed_cleanly(&mut half);
    assert_eq!(fixture.router.wait().unwrap().code(), Some(0));
}

/// A request that is read after the half-close can't be answered, so it must not be sent to a node.
#[test]
fn requests_after_the_half_close_are_not_sent_to_nodes() {
    let mut fixture = Fixture::open(1, None, silent_for_object_1);
    let (mut idle, mut waiting) = (fixture.client(), fixture.client());
    wait_until_read(&mut idle);
    waiting.send_download(1, "clip", 1, 2_000, "");
    fixture.wait_for_messages("serve", 1);
    fixture.signal("-TERM");
    assert_closed_cleanly(&mut idle);
    idle.send_download(7, "clip", 3, 2_000, "");
    // The open download keeps the process alive, so that it could still send the request.
    assert_ne!(waiting.next_message().expect("an answer")[1], "ACK");
    assert_eq!(fixture.router.wait().unwrap().code(), Some(0));
    fixture.wait_for_messages("serve", 1);
}

/// Several requests in one write just after the signal, and another one after their answers.
#[test]
fn requests_written_together_at_the_signal_are_all_answered() {
    let mut fixture = Fixture::open(1, None, good);
    let mut client = fixture.client();
    wait_until_read(&mut client);
    fixture.signal("-TERM");
    let all: Vec<u8> =
        (1..=9).flat_map(|tag| [split_request(tag, tag).0, split_request(tag, tag).1].concat()).collect();
    client.stream.write_all(&all).unwrap();
    let mut tags: Vec<_> = (1..=9).map(|_| client.next_message().expect("an answer")[0].clone()).collect();
    tags.sort();
    assert_eq!(tags, ["1", "2", "3", "4", "5", "6", "7", "8", "9"]);
    client.send_download(10, "clip", 3, 2_000, "");
    assert_eq!(client.next_message().expect("an answer")[..2], ["10", "ACK"]);
    assert_closed_cleanly(&mut client);
    assert_eq!(fixture.router.wait().unwrap().code(), Some(0));
}

/// The kernel has accepted a connection and received a request on it, but the router sees neither before it
/// stops listening.
#[test]
fn a_connection_accepted_at_the_last_moment_is_served() {
    let mut fixture = Fixture::open(1, None, good);
    fixture.signal("-TERM");
    fixture.signal("-STOP");
    let mut late = fixture.client();
    late.send_download(1, "clip", 3, 3_000, "");
    // Long enough for the listening period to end while the process is stopped.
    std::thread::sleep(Duration::from_millis(1_100));
    fixture.signal("-CONT");
    assert_eq!(late.next_message().expect("an answer")[1], "ACK");
    assert_closed_cleanly(&mut late);
    assert_eq!(fixture.router.wait().unwrap().code(), Some(0));
}

/// The process is killed a little later after the signal than the longest deadline in the settings.
#[test]
fn a_shorter_deadline_ends_a_shutdown_sooner() {
    let mut fixture = Fixture::open(1, None, |_, _| Reply::Silence);
    for class in fixture.config["settings"]["Classes"].as_array_mut().unwrap() {
        class["HardLimit"] = json!(1_000_000);
    }
    fixture.restart();
    let mut client = fixture.client();
    client.send_download(1, "clip", 1, 10_000, "");
    fixture.wait_for_messages("serve", 1);
    let signalled_at = Instant::now();
    fixture.signal("-TERM");
    assert_ne!(client.next_message().expect("an answer")[1], "ACK");
    assert_closed_cleanly(&mut client);
    assert_eq!(fixture.router.wait().unwrap().code(), Some(0));
    assert!(signalled_at.elapsed() < Duration::from_millis(1_700), "{:?}", signalled_at.elapsed());
}

/// A client with a small receive buffer, so that it reads slowly.
fn slow_client(fixture: &Fixture) -> Client {
    use rustix::net::{AddressFamily, SocketType, connect, socket, sockopt};
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    sockopt::set_socket_recv_buffer_size(&socket, 4_096).unwrap();
    let address: std::net::SocketAddrV4 = fixture.listen.parse().unwrap();
    connect(&socket, &address).unwrap();
    Client::new(TcpStream::from(socket))
}

/// The end of an answer is still in the kernel's buffer when the connection is closed, and the client goes on
/// writing. Closing a socket with unread bytes would reset the connection and lose the rest of the answer.
#[test]
fn an_answer_in_transit_survives_further_writes_of_its_client() {
    let fixture = Fixture::open(1, None, |_, _| Reply::Answer("ACK", "res=HIT", vec![7; 240_000]));
    let mut client = slow_client(&fixture);
    client.send_download(1, "clip", 2, 2_000, "");
    client.stream.write_all(b"what is this\r\n").unwrap();
    let (mut whole, mut piece) = (0, [0; 8_192]);
    loop {
        let bytes = client.stream.read(&mut piece).expect("no reset");
        if bytes == 0 {
            break;
        }
        whole += bytes;
        let _ = client.stream.write_all(b"and this");
    }
    assert!(whole > 240_000, "{whole}");
}

/// Requests before malformed bytes keep their answers, and further such bytes do not lose them by a reset.
#[test]
fn valid_requests_before_malformed_bytes_keep_their_answers() {
    let fixture = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("obj=0000000000000001") => Reply::After(300, "ACK"),
        _ => Reply::Answer("ACK", "res=HIT", vec![7; 240_000]),
    });
    let mut client = fixture.client();
    client.send_download(1, "clip", 1, 2_000, "");
    fixture.wait_for_messages("serve", 1);
    client.send_download(2, "clip", 2, 2_000, "");
    client.stream.write_all(b"what is this\r\n").unwrap();
    let mut answered = Vec::new();
    for _ in 0..2 {
        client.stream.write_all(&[b'x'; 5_000]).unwrap();
        answered.push(client.next_message().expect("an answer"));
    }
    answered.sort_by(|a, b| a[0].cmp(&b[0]));
    assert_eq!(
        (&answered[0][..2], &answered[1][..2]),
        (&["1".into(), "ACK".into()][..], &["2".into(), "ACK".into()][..])
    );
    assert_eq!(answered[1][3].len(), 240_000);
    assert_closed_cleanly(&mut client);
}

/// The router buffers output for a client that does not read, and still handles its cancel.
#[test]
fn a_cancel_is_handled_from_a_client_that_reads_no_answers() {
    let fixture = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("obj=0000000000000001") => Reply::Silence,
        _ => Reply::Answer("ACK", "res=HIT", vec![7; 240_000]),
    });
    let slow_reader = fixture.client();
    slow_reader.send_download(1, "clip", 1, 9_000, "");
    fixture.wait_for_messages("serve", 1);
    let mut usual = fixture.client();
    // As much as the kernel buffers in between, plus what may be unsent.
    let mut tag = 1;
    while is_sending(&slow_reader) {
        tag += 1;
        assert!(tag < 60, "the router never had unsent answers");
        slow_reader.send_download(tag, "clip", tag, 9_000, "");
        assert_eq!(usual.fetch(tag, "clip", 1_000 + tag, "").0, "ACK");
    }
    for tag in tag + 1..tag + 8 {
        slow_reader.send_download(tag, "clip", tag, 9_000, "");
    }
    slow_reader.send(&[b"NEVERMIND", b"1"]);
    fixture.wait_for_messages("cancel", 1);
}

/// Whether answers are still being sent: the kernel's buffers are full once no more bytes arrive here.
fn is_sending(client: &Client) -> bool {
    let mut buffer = vec![0; 8 << 20];
    let received = client.stream.peek(&mut buffer).unwrap_or(0);
    std::thread::sleep(Duration::from_millis(20));
    received != client.stream.peek(&mut buffer).unwrap_or(0)
}

/// A client cancels while the answer is on its way: nothing more is sent for it, and the connection goes on.
#[test]
fn a_cancel_that_crosses_its_answer_has_no_effect() {
    let fixture = Fixture::open(1, None, good);
    let mut client = fixture.client();
    assert_eq!(client.fetch(1, "clip", 2, "").0, "ACK");
    client.send(&[b"NEVERMIND", b"1"]);
    assert_eq!(client.fetch(2, "clip", 3, "").0, "ACK");
}

/// The connection to a cache comes up only after the client has cancelled: nothing is sent on it for this
/// client.
#[test]
fn a_pull_that_waits_for_a_connection_is_not_sent_after_its_cancel() {
    let late = LateNode::open();
    let mut fixture = Fixture::open(1, None, good);
    fixture.config["settings"]["Allowed"]["ConnectTimeout"] = json!(3_000_000);
    fixture.config["known"]["events"][0]["members"]["endpoints"][0]["address"] = json!(late.address);
    fixture.restart();
    let mut client = fixture.client();
    client.send_download(1, "clip", 1, 3_000, "");
    client.send(&[b"NEVERMIND", b"1"]);
    wait_until_read(&mut client);
    let mut stays = fixture.client();
    stays.send_download(2, "clip", 2, 3_000, "");
    wait_until_read(&mut stays);
    let read = late.accept_first();
    assert!(read.contains("obj=0000000000000002"), "{read}");
    assert!(!read.contains("obj=0000000000000001"), "{read}");
}

/// A node whose kernel accepts a connection only after a while: earlier connections fill its backlog.
struct LateNode {
    listener: TcpListener,
    address: String,
    crowd: Vec<TcpStream>,
}

impl LateNode {
    fn open() -> LateNode {
        use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        bind(&socket, &std::net::SocketAddrV4::new([127, 0, 0, 1].into(), 0)).unwrap();
        listen(&socket, 0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        // The backlog is full once a further connection does not come up.
        let mut crowd = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            crowd.push(stream);
            assert!(crowd.len() < 8, "the backlog can't be filled");
        }
        LateNode { listener, address: address.to_string(), crowd }
    }

    /// Frees the backlog, and returns the first bytes that arrive on a connection of the router.
    fn accept_first(mut self) -> String {
        self.crowd.clear();
        self.listener.set_nonblocking(true).unwrap();
        let until = Instant::now() + TIMEOUT;
        loop {
            assert!(Instant::now() < until, "no connection arrived");
            let Ok((mut stream, _)) = self.listener.accept() else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            stream.set_nonblocking(false).unwrap();
            stream.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
            let mut text = vec![0; 4_096];
            if let Ok(bytes @ 1..) = stream.read(&mut text) {
                return String::from_utf8_lossy(&text[..bytes]).into_owned();
            }
        }
    }
}

/// A cache confirms another copy than the one that the client holds, or names none, as a late answer to
/// another pull would. Only a confirmation of the client's own copy is passed on.
#[test]
fn a_copy_is_called_current_only_if_the_cache_names_it() {
    let fixture = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("obj=0000000000000001") => {
            Reply::Answer("NOMOD", "res=HIT,digest=00000000000000aa,dated=1", vec![])
        }
        f if f.contains("obj=0000000000000002") => Reply::Answer("NOMOD", "res=HIT", vec![]),
        _ => Reply::Answer("NOMOD", "res=HIT,digest=4be0c1927d55a6f3,dated=1", vec![]),
    });
    let mut client = fixture.client();
    for (object, current) in [(1, false), (2, false), (3, true)] {
        let (word, fields, _) = client.fetch(object, "clip", object, ",known=4be0c1927d55a6f3");
        assert_eq!(word == "ACK" && fields == "valid=1", current, "{object}: {word} {fields}");
    }
}

/// Bytes arrive, but no complete line with content: the router would miss what the feed reports meanwhile.
#[test]
fn a_feed_that_sends_bytes_without_content_is_left() {
    for piece in [&b"\n"[..], b" ", b"  \r\n", b"0\n"] {
        let fixture = Fixture::open(1, None, good);
        let (mut stream, line) = accept_subscription(&fixture.feed);
        assert_eq!(line, "SUB 1\n");
        let (over, stop) = mpsc::channel::<()>();
        let trickle = std::thread::spawn(move || {
            while stop.recv_timeout(Duration::from_millis(100)).is_err() && stream.write_all(piece).is_ok() {}
        });
        assert_eq!(accept_subscription(&fixture.feed).1, "SUB 1\n", "{piece:?}");
        let _ = over.send(());
        trickle.join().unwrap();
    }
}

/// A feed that sends heartbeats is kept; only one without content is left.
#[test]
fn a_feed_that_sends_heartbeats_is_kept() {
    let fixture = Fixture::open(1, None, good);
    let (mut stream, _) = accept_subscription(&fixture.feed);
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(4_000) {
        stream.write_all(b"1\n").unwrap();
        std::thread::sleep(Duration::from_millis(900));
    }
    fixture.feed.set_nonblocking(true).unwrap();
    assert!(fixture.feed.accept().is_err());
}

/// The connection to the feed breaks in the middle of an event: the whole event is sent again and applied
/// once.
#[test]
fn an_event_cut_in_two_is_requested_again() {
    let fixture = Fixture::open(2, None, good);
    let (mut stream, _) = accept_subscription(&fixture.feed);
    let removal = json!({"n": 2, "members": {"index": 2, "snapshot": false, "endpoints": [
        {"name": "s-00000000", "address": "", "zone": "here", "type": "std", "group": 0, "status": "Terminating",
         "weight": 1, "since_ms": 0}]}});
    let text = format!("{removal}\n");
    let (first, rest) = text.split_at(text.len() / 2);
    stream.write_all(first.as_bytes()).unwrap();
    drop(stream);
    let (mut stream, line) = accept_subscription(&fixture.feed);
    assert_eq!(line, "SUB 1\n");
    // The rest of the line alone is malformed; only the whole event counts.
    stream.write_all(rest.as_bytes()).unwrap();
    let (mut stream, line) = accept_subscription(&fixture.feed);
    assert_eq!(line, "SUB 1\n");
    stream.write_all(text.as_bytes()).unwrap();
    drop(stream);
    assert_eq!(accept_subscription(&fixture.feed).1, "SUB 2\n");
    let mut client = fixture.client();
    assert!((1..12).all(|tag| client.fetch(tag, "clip", tag, "").0 == "ACK"));
    assert!(
        fixture.wait_for_messages("serve", 11).iter().all(|(no, _)| *no == 1),
        "the draining node gets no pulls"
    );
}

/// Idle clients hold all connections that they may while the feed is down: the feed is still reached again,
/// and so is a cache.
#[test]
fn idle_clients_block_neither_the_feed_nor_caches() {
    let mut fixture = Fixture::open(1, None, good);
    // Nobody listens at the feed's address while the router starts, and it becomes ready all the same.
    let address = fixture.feed.local_addr().unwrap();
    fixture.feed = TcpListener::bind("127.0.0.1:0").unwrap();
    fixture.config["limits"]["sockets"] = json!(64);
    let started = Instant::now();
    fixture.restart();
    assert!(started.elapsed() < Duration::from_secs(5), "ready with the initial events");
    let mut crowd: Vec<Client> = (0..40).map(|_| fixture.client()).collect();
    crowd.iter_mut().take(20).for_each(wait_until_read);
    fixture.feed = TcpListener::bind(address).unwrap();
    assert_eq!(accept_subscription(&fixture.feed).1, "SUB 1\n");
    assert_eq!(fixture.client().fetch(1, "clip", 3, "").0, "ACK");
}

/// The router reads a request only after its client has closed the connection: nothing of it is sent to a
/// node.
#[test]
fn requests_of_a_client_that_has_left_are_not_sent_to_nodes() {
    for connected in [true, false] {
        let fixture = Fixture::open(1, None, good);
        let mut before = fixture.client();
        // A connection to the cache already exists, so that a pull would not have to wait for one.
        assert_eq!(before.fetch(9, "clip", 2, "").0, "ACK");
        fixture.signal("-STOP");
        let client = if connected { before } else { fixture.client() };
        client.send_download(1, "clip", 1, 3_000, "");
        drop(client);
        fixture.signal("-CONT");
        let mut usual = fixture.client();
        assert_eq!(usual.fetch(2, "clip", 2, "").0, "ACK");
        let served = fixture.wait_for_messages("serve", 2);
        let of_it =
            served.iter().filter(|s| String::from_utf8_lossy(&s.1[2]).contains("obj=0000000000000001"));
        assert_eq!(of_it.count(), 0);
    }
}

/// A cache closes its idle connection, and the router reads that only together with the next request. A pull
/// that must not run twice goes over another connection, since it can't have run on this one.
#[test]
fn a_connection_closed_by_its_cache_while_idle_is_not_written_to() {
    let node = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut fixture = Fixture::open(1, None, good);
    fixture.config["known"]["events"][0]["members"]["endpoints"][0]["address"] =
        json!(node.local_addr().unwrap().to_string());
    fixture.restart();
    let serve = |stream: &TcpStream| {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut decoder = Decoder::new(BOUNDS, 4_096);
        let items = receive(stream, &mut decoder).expect("a request");
        send(stream, &[&items[1], b"ACK", b"res=MISS_ORIGIN,first=3", b"done"]);
        items
    };
    let mut client = fixture.client();
    client.send_download(1, "filing", 3, 2_000, "");
    let (first, _) = node.accept().unwrap();
    serve(&first);
    assert_eq!(client.next_message().unwrap()[1], "ACK");
    fixture.signal("-STOP");
    drop(first);
    client.send_download(2, "filing", 4, 2_000, "");
    fixture.signal("-CONT");
    let answers = std::thread::spawn(move || client.next_message());
    node.set_nonblocking(true).unwrap();
    let until = Instant::now() + Duration::from_secs(3);
    let second = loop {
        match node.accept() {
            Ok((second, _)) => break second,
            Err(why) => {
                assert!(Instant::now() < until, "the pull was written to the closed connection: {why}")
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    second.set_nonblocking(false).unwrap();
    let items = serve(&second);
    assert!(String::from_utf8_lossy(&items[2]).contains("obj=0000000000000004"));
    assert_eq!(answers.join().unwrap().unwrap()[1], "ACK");
}

/// A client with many open downloads disconnects: all of them are cancelled at once.
#[test]
fn all_pulls_of_a_client_that_leaves_are_cancelled() {
    let fixture = Fixture::open(1, None, |_, _| Reply::Silence);
    let client = fixture.client();
    (1..=8).for_each(|tag| client.send_download(tag, "clip", tag, 9_000, ""));
    fixture.wait_for_messages("serve", 8);
    drop(client);
    fixture.wait_for_messages("cancel", 8);
}

/// Each pull of a deduped download carries its key, without which a node could not recognize a repeat.
#[test]
fn each_pull_of_a_deduped_download_carries_its_key() {
    let fixture = Fixture::open(2, None, |_, _| Reply::Answer("EIO", "-", vec![]));
    let mut client = fixture.client();
    let key = "8ea629a4f8df4235720770bec72bcf5f";
    assert_ne!(client.fetch(1, "clip", 3, &format!(",k={key}")).0, "ACK");
    assert_ne!(client.fetch(2, "clip", 4, "").0, "ACK");
    assert_eq!(client.fetch(3, "clip", 5, ",k=a+b").0, "FAIL", "an invalid key is not passed on");
    let received = fixture.received.lock().unwrap();
    let fields: Vec<String> = received
        .iter()
        .filter(|s| s.1[0] == "serve")
        .map(|s| String::from_utf8_lossy(&s.1[2]).into_owned())
        .collect();
    let (with, without): (Vec<_>, Vec<_>) = fields.iter().partition(|f| f.contains("obj=0000000000000003"));
    assert!(
        with.len() > 1 && with.iter().all(|f| f.split(',').any(|f| f == format!("token={key}"))),
        "{with:?}"
    );
    assert!(!without.is_empty() && without.iter().all(|f| !f.contains("token")), "{without:?}");
}
