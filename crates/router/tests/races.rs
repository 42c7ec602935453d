//! Two events that cross, forced on sockets: each test waits for what shows that the first has happened before it
//! brings about the second. docs/crossings.md has the table of them.
mod fixture;

use fixture::{BOUNDS, Client, Fixture, LONG, Reply, receive, send, subscribed};
use harestage_wire::resp::Decoder;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// The other side has closed, and no reset came that could have cost an answer.
fn ends_cleanly(client: &mut Client) {
    assert!(client.next().is_none());
    client.stream.set_read_timeout(Some(LONG)).unwrap();
    let read = client.stream.read(&mut [0; 1]);
    assert!(matches!(read, Ok(0)), "{read:?}");
}

fn good(_: usize, _: &str) -> Reply {
    Reply::Say("ACK", "res=HIT", b"good".to_vec())
}

/// What a stand-in does with each download is told by its object: 1 is never answered.
fn silent_on_one(_: usize, fields: &str) -> Reply {
    if fields.contains("obj=0000000000000001") { Reply::Silence } else { good(0, "") }
}

fn half_of(tag: u64, object: u64) -> (Vec<u8>, Vec<u8>) {
    let fields = format!("i={:016x},d=2000,o={object:016x},chunk=0,tag=5", tag + object * 1_000);
    let whole = format!(
        "*5\r\n$3\r\nASK\r\n$1\r\n{tag}\r\n$4\r\nclip\r\n${}\r\n{fields}\r\n$0\r\n\r\n",
        fields.len()
    );
    let (first, second) = whole.as_bytes().split_at(whole.len() / 2);
    (first.to_vec(), second.to_vec())
}

/// Waits until the router has taken every byte that this client wrote: a status asked for behind them is answered.
fn is_read(client: &mut Client) {
    client.send(&[b"STATUS", b"999", b""]);
    assert_eq!(client.next().unwrap()[0], "999");
}

/// A message that is half in when connections begin to be closed is waited for, and answered.
#[test]
fn half_a_request_at_the_shutdown_is_answered_once_it_is_whole() {
    let mut bed = Fixture::open(1, None, good);
    let (mut rests, mut half) = (bed.client(), bed.client());
    is_read(&mut rests);
    is_read(&mut half);
    let (first, second) = half_of(7, 3);
    half.stream.write_all(&first).unwrap();
    bed.signal("-TERM");
    bed.signal("-TERM");
    bed.signal("-HUP");
    ends_cleanly(&mut rests);
    half.stream.write_all(&second).unwrap();
    assert_eq!(half.next().expect("it was begun before the close")[..2], ["7", "ACK"]);
    ends_cleanly(&mut half);
    assert_eq!(bed.router.wait().unwrap().code(), Some(0));
}

/// A request that is read after the half-close can't be answered, so that it must not be sent on.
#[test]
fn nothing_that_comes_after_the_half_close_is_sent_on() {
    let mut bed = Fixture::open(1, None, silent_on_one);
    let (mut rests, mut waits) = (bed.client(), bed.client());
    is_read(&mut rests);
    waits.ask(1, "clip", 1, 2_000, "");
    bed.saw("serve", 1);
    bed.signal("-TERM");
    ends_cleanly(&mut rests);
    rests.ask(7, "clip", 3, 2_000, "");
    // The one that waits holds the program up, so that it could still send that on.
    assert_ne!(waits.next().expect("an answer")[1], "ACK");
    assert_eq!(bed.router.wait().unwrap().code(), Some(0));
    bed.saw("serve", 1);
}

/// Several requests in one write just after the signal, and one more behind their answers.
#[test]
fn requests_written_together_at_the_signal_are_all_answered() {
    let mut bed = Fixture::open(1, None, good);
    let mut client = bed.client();
    is_read(&mut client);
    bed.signal("-TERM");
    let all: Vec<u8> = (1..=9).flat_map(|tag| [half_of(tag, tag).0, half_of(tag, tag).1].concat()).collect();
    client.stream.write_all(&all).unwrap();
    let mut tags: Vec<_> = (1..=9).map(|_| client.next().expect("an answer")[0].clone()).collect();
    tags.sort();
    assert_eq!(tags, ["1", "2", "3", "4", "5", "6", "7", "8", "9"]);
    client.ask(10, "clip", 3, 2_000, "");
    assert_eq!(client.next().expect("an answer")[..2], ["10", "ACK"]);
    ends_cleanly(&mut client);
    assert_eq!(bed.router.wait().unwrap().code(), Some(0));
}

/// The machine has accepted a connection and taken a request on it, and the router gets to see neither before the
/// time comes to stop listening.
#[test]
fn a_connection_accepted_in_the_last_moment_is_served() {
    let mut bed = Fixture::open(1, None, good);
    bed.signal("-TERM");
    bed.signal("-STOP");
    let mut late = bed.client();
    late.ask(1, "clip", 3, 3_000, "");
    // Not a hope: while it is stopped the time for which it listens is over.
    std::thread::sleep(Duration::from_millis(1_100));
    bed.signal("-CONT");
    assert_eq!(late.next().expect("an answer")[1], "ACK");
    ends_cleanly(&mut late);
    assert_eq!(bed.router.wait().unwrap().code(), Some(0));
}

/// A kill comes as long after the signal as the longest deadline of the settings and a little more.
#[test]
fn a_shorter_deadline_ends_a_restart_sooner() {
    let mut bed = Fixture::open(1, None, |_, _| Reply::Silence);
    for class in bed.config["settings"]["Classes"].as_array_mut().unwrap() {
        class["HardLimit"] = json!(1_000_000);
    }
    bed.restart();
    let mut client = bed.client();
    client.ask(1, "clip", 1, 10_000, "");
    bed.saw("serve", 1);
    let told = Instant::now();
    bed.signal("-TERM");
    assert_ne!(client.next().expect("an answer")[1], "ACK");
    ends_cleanly(&mut client);
    assert_eq!(bed.router.wait().unwrap().code(), Some(0));
    assert!(told.elapsed() < Duration::from_millis(1_700), "{:?}", told.elapsed());
}

/// A client that reads slowly, as its machine has little room for it.
fn narrow_client(bed: &Fixture) -> Client {
    use rustix::net::{AddressFamily, SocketType, connect, socket, sockopt};
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    sockopt::set_socket_recv_buffer_size(&socket, 4_096).unwrap();
    let address: std::net::SocketAddrV4 = bed.listen.parse().unwrap();
    connect(&socket, &address).unwrap();
    Client::on(TcpStream::from(socket))
}

/// The end of the answer is still in the machine's buffer when the connection is closed, and its client writes on: a
/// close over bytes that nobody reads would reset the connection, and the answer would never be whole.
#[test]
fn an_answer_that_is_still_on_its_way_survives_what_its_client_writes() {
    let bed = Fixture::open(1, None, |_, _| Reply::Say("ACK", "res=HIT", vec![7; 240_000]));
    let mut client = narrow_client(&bed);
    client.ask(1, "clip", 2, 2_000, "");
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

/// What was asked before unreadable bytes keeps its answer, and more of those bytes do not cost it by a reset.
#[test]
fn sound_requests_before_unreadable_bytes_keep_their_answers() {
    let bed = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("obj=0000000000000001") => Reply::After(300, "ACK"),
        _ => Reply::Say("ACK", "res=HIT", vec![7; 240_000]),
    });
    let mut client = bed.client();
    client.ask(1, "clip", 1, 2_000, "");
    bed.saw("serve", 1);
    client.ask(2, "clip", 2, 2_000, "");
    client.stream.write_all(b"what is this\r\n").unwrap();
    let mut answered = Vec::new();
    for _ in 0..2 {
        client.stream.write_all(&[b'x'; 5_000]).unwrap();
        answered.push(client.next().expect("an answer"));
    }
    answered.sort_by(|a, b| a[0].cmp(&b[0]));
    assert_eq!(
        (&answered[0][..2], &answered[1][..2]),
        (&["1".into(), "ACK".into()][..], &["2".into(), "ACK".into()][..])
    );
    assert_eq!(answered[1][3].len(), 240_000);
    ends_cleanly(&mut client);
}

/// The router holds back what it reads for a client that takes no answers, and still hears that it cancels.
#[test]
fn a_cancel_is_heard_of_a_client_that_takes_no_answers() {
    let bed = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("obj=0000000000000001") => Reply::Silence,
        _ => Reply::Say("ACK", "res=HIT", vec![7; 240_000]),
    });
    let deaf = bed.client();
    deaf.ask(1, "clip", 1, 9_000, "");
    bed.saw("serve", 1);
    let mut usual = bed.client();
    // As much as the machine takes between the two, and what may be unsent beside.
    let mut tag = 1;
    while unsent_to(&deaf) {
        tag += 1;
        assert!(tag < 60, "the router never had answers left over");
        deaf.ask(tag, "clip", tag, 9_000, "");
        assert_eq!(usual.fetch(tag, "clip", 1_000 + tag, "").0, "ACK");
    }
    for tag in tag + 1..tag + 8 {
        deaf.ask(tag, "clip", tag, 9_000, "");
    }
    deaf.send(&[b"NEVERMIND", b"1"]);
    bed.saw("cancel", 1);
}

/// What was taken is being sent for as long as the machine's buffers have room: they have none once no more bytes
/// come to this side.
fn unsent_to(client: &Client) -> bool {
    let mut buffer = vec![0; 8 << 20];
    let seen = client.stream.peek(&mut buffer).unwrap_or(0);
    std::thread::sleep(Duration::from_millis(20));
    seen != client.stream.peek(&mut buffer).unwrap_or(0)
}

/// An answer is on its way when its client gives up: nothing more is said of it, and the connection serves on.
#[test]
fn a_cancel_that_crosses_its_answer_ends_nothing() {
    let bed = Fixture::open(1, None, good);
    let mut client = bed.client();
    assert_eq!(client.fetch(1, "clip", 2, "").0, "ACK");
    client.send(&[b"NEVERMIND", b"1"]);
    assert_eq!(client.fetch(2, "clip", 3, "").0, "ACK");
}

/// The connection to a cache comes up only after the client has left: nothing goes over it.
#[test]
fn what_waited_for_a_late_connection_is_not_sent_once_its_client_has_left() {
    let late = LateNode::open();
    let mut bed = Fixture::open(1, None, good);
    bed.config["settings"]["Allowed"]["ConnectTimeout"] = json!(3_000_000);
    bed.config["known"]["events"][0]["members"]["endpoints"][0]["address"] = json!(late.address);
    bed.restart();
    let mut client = bed.client();
    client.ask(1, "clip", 1, 3_000, "");
    client.send(&[b"NEVERMIND", b"1"]);
    is_read(&mut client);
    let mut stays = bed.client();
    stays.ask(2, "clip", 2, 3_000, "");
    is_read(&mut stays);
    let read = late.lets_in();
    assert!(read.contains("obj=0000000000000002"), "{read}");
    assert!(!read.contains("obj=0000000000000001"), "{read}");
}

/// A node whose machine accepts a connection only after a while: those before it fill the place that it has.
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
        // Its place is full once a further connection does not come up.
        let mut crowd = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            crowd.push(stream);
            assert!(crowd.len() < 8, "this machine's places can't be filled");
        }
        LateNode { listener, address: address.to_string(), crowd }
    }

    /// Makes room, and gives the first that comes in on a connection of the router's.
    fn lets_in(mut self) -> String {
        self.crowd.clear();
        self.listener.set_nonblocking(true).unwrap();
        let until = Instant::now() + LONG;
        loop {
            assert!(Instant::now() < until, "nothing came");
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

/// A cache answers one pull twice. The second answer must not pass for that of the next pull of this download.
#[test]
fn a_copy_that_another_one_is_named_for_is_not_called_current() {
    let bed = Fixture::open(1, None, |_, fields| match fields {
        f if f.contains("obj=0000000000000001") => {
            Reply::Say("NOMOD", "res=HIT,digest=00000000000000aa,dated=1", vec![])
        }
        f if f.contains("obj=0000000000000002") => Reply::Say("NOMOD", "res=HIT", vec![]),
        _ => Reply::Say("NOMOD", "res=HIT,digest=4be0c1927d55a6f3,dated=1", vec![]),
    });
    let mut client = bed.client();
    for (object, current) in [(1, false), (2, false), (3, true)] {
        let (word, fields, _) = client.fetch(object, "clip", object, ",known=4be0c1927d55a6f3");
        assert_eq!(word == "ACK" && fields == "valid=1", current, "{object}: {word} {fields}");
    }
}

/// Bytes come, but no whole line that says anything: what is told meanwhile would never be heard.
#[test]
fn a_feed_that_trickles_without_a_beat_is_left() {
    for piece in [&b"\n"[..], b" ", b"  \r\n", b"0\n"] {
        let bed = Fixture::open(1, None, good);
        let (mut stream, line) = subscribed(&bed.feed);
        assert_eq!(line, "SUB 1\n");
        let (over, stop) = mpsc::channel::<()>();
        let trickle = std::thread::spawn(move || {
            while stop.recv_timeout(Duration::from_millis(100)).is_err() && stream.write_all(piece).is_ok() {}
        });
        assert_eq!(subscribed(&bed.feed).1, "SUB 1\n", "{piece:?}");
        let _ = over.send(());
        trickle.join().unwrap();
    }
}

/// A feed that beats stays: only what says nothing is left.
#[test]
fn a_feed_that_beats_is_not_left() {
    let bed = Fixture::open(1, None, good);
    let (mut stream, _) = subscribed(&bed.feed);
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(4_000) {
        stream.write_all(b"1\n").unwrap();
        std::thread::sleep(Duration::from_millis(900));
    }
    bed.feed.set_nonblocking(true).unwrap();
    assert!(bed.feed.accept().is_err());
}

/// The feed breaks in the middle of an event: it is told again as a whole, and applied once.
#[test]
fn an_event_cut_in_two_is_asked_for_again() {
    let bed = Fixture::open(2, None, good);
    let (mut stream, _) = subscribed(&bed.feed);
    let gone = json!({"n": 2, "members": {"index": 2, "snapshot": false, "endpoints": [
        {"name": "s-00000000", "address": "", "zone": "here", "type": "std", "group": 0, "status": "Terminating",
         "weight": 1, "since_ms": 0}]}});
    let text = format!("{gone}\n");
    let (first, rest) = text.split_at(text.len() / 2);
    stream.write_all(first.as_bytes()).unwrap();
    drop(stream);
    let (mut stream, line) = subscribed(&bed.feed);
    assert_eq!(line, "SUB 1\n");
    // The rest alone is nothing; the whole event counts.
    stream.write_all(rest.as_bytes()).unwrap();
    let (mut stream, line) = subscribed(&bed.feed);
    assert_eq!(line, "SUB 1\n");
    stream.write_all(text.as_bytes()).unwrap();
    drop(stream);
    assert_eq!(subscribed(&bed.feed).1, "SUB 2\n");
    let mut client = bed.client();
    assert!((1..12).all(|tag| client.fetch(tag, "clip", tag, "").0 == "ACK"));
    assert!(bed.saw("serve", 11).iter().all(|(no, _)| *no == 1), "the one that drains gets nothing");
}

/// Idle clients hold all the connections that they may while the feed is away: it is reached again, and so is a cache.
#[test]
fn idle_clients_keep_neither_the_feed_nor_caches_away() {
    let mut bed = Fixture::open(1, None, good);
    // Nobody listens at the feed's address while the router starts, and it is ready all the same.
    let address = bed.feed.local_addr().unwrap();
    bed.feed = TcpListener::bind("127.0.0.1:0").unwrap();
    bed.config["limits"]["sockets"] = json!(64);
    let started = Instant::now();
    bed.restart();
    assert!(started.elapsed() < Duration::from_secs(5), "ready by what it was given at its start");
    let mut crowd: Vec<Client> = (0..40).map(|_| bed.client()).collect();
    crowd.iter_mut().take(20).for_each(is_read);
    bed.feed = TcpListener::bind(address).unwrap();
    assert_eq!(subscribed(&bed.feed).1, "SUB 1\n");
    assert_eq!(bed.client().fetch(1, "clip", 3, "").0, "ACK");
}

/// The router gets to read a request only when its client has already closed: nothing of it is sent on.
#[test]
fn what_was_asked_by_a_client_that_has_left_is_not_sent_on() {
    for connected in [true, false] {
        let bed = Fixture::open(1, None, good);
        let mut before = bed.client();
        // So that a connection to the cache is there, and nothing would have to wait for one.
        assert_eq!(before.fetch(9, "clip", 2, "").0, "ACK");
        bed.signal("-STOP");
        let client = if connected { before } else { bed.client() };
        client.ask(1, "clip", 1, 3_000, "");
        drop(client);
        bed.signal("-CONT");
        let mut usual = bed.client();
        assert_eq!(usual.fetch(2, "clip", 2, "").0, "ACK");
        let served = bed.saw("serve", 2);
        let of_it =
            served.iter().filter(|s| String::from_utf8_lossy(&s.1[2]).contains("obj=0000000000000001"));
        assert_eq!(of_it.count(), 0);
    }
}

/// A cache closes its idle connection, and the router gets to read that only together with the next request: what must
/// not run twice goes over another connection, since it can't have run on this one.
#[test]
fn an_idle_connection_that_its_cache_has_closed_is_not_written_to() {
    let node = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut bed = Fixture::open(1, None, good);
    bed.config["known"]["events"][0]["members"]["endpoints"][0]["address"] =
        json!(node.local_addr().unwrap().to_string());
    bed.restart();
    let serve = |stream: &TcpStream| {
        stream.set_read_timeout(Some(LONG)).unwrap();
        let mut decoder = Decoder::new(BOUNDS, 4_096);
        let items = receive(stream, &mut decoder).expect("a request");
        send(stream, &[&items[1], b"ACK", b"res=MISS_ORIGIN,first=3", b"done"]);
        items
    };
    let mut client = bed.client();
    client.ask(1, "filing", 3, 2_000, "");
    let (first, _) = node.accept().unwrap();
    serve(&first);
    assert_eq!(client.next().unwrap()[1], "ACK");
    bed.signal("-STOP");
    drop(first);
    client.ask(2, "filing", 4, 2_000, "");
    bed.signal("-CONT");
    let answers = std::thread::spawn(move || client.next());
    node.set_nonblocking(true).unwrap();
    let until = Instant::now() + Duration::from_secs(3);
    let second = loop {
        match node.accept() {
            Ok((second, _)) => break second,
            Err(why) => assert!(Instant::now() < until, "it was written to the closed one: {why}"),
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    second.set_nonblocking(false).unwrap();
    let items = serve(&second);
    assert!(String::from_utf8_lossy(&items[2]).contains("obj=0000000000000004"));
    assert_eq!(answers.join().unwrap().unwrap()[1], "ACK");
}

/// Much at once and gone: nothing of it is at work a moment later.
#[test]
fn what_a_client_left_behind_is_called_back() {
    let bed = Fixture::open(1, None, |_, _| Reply::Silence);
    let client = bed.client();
    (1..=8).for_each(|tag| client.ask(tag, "clip", tag, 9_000, ""));
    bed.saw("serve", 8);
    drop(client);
    bed.saw("cancel", 8);
}

/// A deduped download carries the key by which its repeat is known: without it nodes could tell neither.
#[test]
fn the_key_of_a_deduped_download_goes_on_with_each_of_its_pulls() {
    let bed = Fixture::open(2, None, |_, _| Reply::Say("EIO", "-", vec![]));
    let mut client = bed.client();
    let key = "8ea629a4f8df4235720770bec72bcf5f";
    assert_ne!(client.fetch(1, "clip", 3, &format!(",k={key}")).0, "ACK");
    assert_ne!(client.fetch(2, "clip", 4, "").0, "ACK");
    assert_eq!(
        client.fetch(3, "clip", 5, ",k=a+b").0,
        "FAIL",
        "what can't stand in a field is not passed on"
    );
    let seen = bed.seen.lock().unwrap();
    let fields: Vec<String> = seen
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
