//! What a node connection proves of a pull that it could not bring to an answer.
use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use bytes::Bytes;
use harestage::interface::IdRegistry;
use harestage::time::{Moment, Span};
use harestage_profile::{NodeKinds, RouterSettings};
use harestage_router::program::limits::Limits;
use harestage_router::routing::nodes::{NodeEntry, NodeTable};
use harestage_router::routing::{Input, Loss};
use harestage_router::transport::node::NodeConnections;
use harestage_wire::feed::{Member, MemberState};
use harestage_wire::{Packet, fields::HexId, resp::encode_head};
use slog::{Discard, Logger, o};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// More than the machine takes for a peer that does not read.
const HUGE: usize = 64 << 20;
const SHORT: Duration = Duration::from_millis(150);

fn packet(body: usize) -> Packet {
    Packet { head: encode_head(&[b"serve"], body), body: Bytes::from(vec![0; body]) }
}

/// A whole answer without bytes, and one that says that thousands of bytes follow.
fn answer(n: u64, word: &str) -> String {
    format!("*4\r\n$16\r\n{}\r\n$3\r\n{word}\r\n$1\r\n-\r\n$0\r\n\r\n", id(n).as_str())
}

fn begun_answer(n: u64) -> String {
    format!("*4\r\n$16\r\n{}\r\n$3\r\nACK\r\n$1\r\n-\r\n$9000\r\n", id(n).as_str())
}

fn id(n: u64) -> HexId {
    HexId::parse(format!("{n:016x}").as_bytes()).unwrap()
}

/// Sends pulls of these sizes, numbered from 1, to a node that accepts and reads nothing; then `look` has its say.
fn play(sizes: &[usize], look: impl AsyncFnOnce(&mut NodeConnections, TcpStream)) -> Vec<(u64, Loss)> {
    play_on(usize::MAX, async |links, contact, listener| {
        for (pull, size) in (1..).zip(sizes) {
            assert!(links.send_pull(0, contact, pull, id(pull), packet(*size)));
        }
        // Connecting goes on only while this waits.
        Timer::after(SHORT).await;
        let (stream, _) = listener.accept().unwrap();
        look(links, stream).await;
    })
}

/// Plays against one node whose connections carry a few pulls each; gives the pulls that were lost.
fn play_on(
    few: usize,
    script: impl AsyncFnOnce(&mut NodeConnections, &NodeEntry, &TcpListener),
) -> Vec<(u64, Loss)> {
    let lost = play_within(few, usize::MAX, script).into_iter().map(|news| match news {
        Input::Lost { pull, loss } => (pull, loss),
        other => panic!("{other:?}"),
    });
    lost.collect()
}

/// The same with a bound on all connections; gives all that was told.
fn play_within(
    few: usize,
    connections: usize,
    script: impl AsyncFnOnce(&mut NodeConnections, &NodeEntry, &TcpListener),
) -> Vec<Input> {
    let outside = RouterSettings {
        contents: vec![],
        zones: vec![],
        kinds: vec![],
        connect_timeout: Span::millis(400),
        idle_timeout: Span::millis(30_000),
        pulls_per_connection: 100,
        max_held_downloads: 100,
        max_retry_after: Span::millis(500),
        max_wait: Span::millis(3_000),
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (name, zone, kind) = ("s-1".into(), String::new(), String::new());
    let (address, state) = (listener.local_addr().unwrap().to_string(), MemberState::Ready);
    let member = Member { name, address, zone, kind, cell: 0, state, scale: 1.0, since_ms: 0 };
    let mut contacts = NodeTable::default();
    let (kinds, now) = (NodeKinds { parent: None, origin: None }, Moment::at_micros(1));
    contacts.apply(&member, &mut IdRegistry::default(), kinds, &outside, now);
    let executor = Rc::new(LocalExecutor::new());
    let (inbox, news) = async_channel::bounded(64);
    let usual = Limits::new(192, 1_024, &outside);
    let node_connections = connections.min(usual.node_connections);
    let limits = Rc::new(Limits { node_few: few, node_connections, ..usual });
    let mut links = NodeConnections::new(limits, inbox, Logger::root(Discard, o!()), executor.clone());
    block_on(executor.run(async {
        script(&mut links, contacts.get(0).unwrap(), &listener).await;
        Timer::after(SHORT).await;
    }));
    std::iter::from_fn(|| news.try_recv().ok()).collect()
}

/// Guards what must not run twice against breaks that prove nothing, and lets go on what never came whole.
#[test]
fn a_break_proves_something_only_of_what_was_not_written_whole() {
    let lost = play(&[10, HUGE, 10], async |_, node| drop(node));
    assert_eq!(lost, [(1, Loss::ConnectionBroken), (2, Loss::NotSent), (3, Loss::NotSent)]);
}

#[test]
fn giving_up_proves_something_only_of_what_was_still_queued() {
    let lost = play(&[10, HUGE, 10, 10], async |links, node| {
        assert!(!links.remove_queued(0, 1) && !links.remove_queued(0, 2), "both have left");
        assert!(links.remove_queued(0, 3) && links.cancel_pull(0, 4), "not a byte of these has");
        assert!(!links.cancel_pull(0, 1) && !links.cancel_pull(0, 2), "these may run yet");
        assert!(!links.cancel_pull(0, 1), "given up already");
        assert!(
            links.is_cancel_pending(0, 1) && links.is_cancel_pending(0, 2),
            "the node has heard of neither"
        );
        drop(node);
    });
    assert_eq!(lost, [], "what was given up is heard of no more");
}

/// The half that is out can't be taken back: it is written to its end and called back then, so that the next message
/// is still told from it.
#[test]
fn what_is_given_up_while_it_is_written_is_called_back_once_it_is_whole() {
    let mut read = Vec::new();
    play(&[HUGE], async |links, mut node| {
        assert!(!links.cancel_pull(0, 1));
        let reader = std::thread::spawn(move || {
            node.set_read_timeout(Some(Duration::from_millis(400))).unwrap();
            let _ = node.read_to_end(&mut read);
            read
        });
        while !reader.is_finished() {
            Timer::after(Duration::from_millis(5)).await;
        }
        let read = reader.join().unwrap();
        let cancel = format!("\r\n*2\r\n$6\r\ncancel\r\n$16\r\n{}\r\n", id(1).as_str());
        assert!(read.len() > HUGE && read.ends_with(cancel.as_bytes()));
    });
}

/// Guards the pulls beside a spoilt answer: it ends its connection with all that is open there.
#[test]
fn a_connection_carries_a_few_pulls_and_takes_only_those_with_it() {
    let mut nodes = Vec::new();
    let lost = play_on(3, async |links, contact, listener| {
        (1..=7).for_each(|pull| assert!(links.send_pull(0, contact, pull, id(pull), packet(10))));
        Timer::after(SHORT).await;
        listener.set_nonblocking(true).unwrap();
        nodes.extend(std::iter::from_fn(|| listener.accept().ok()).map(|(node, _)| node));
        assert_eq!(nodes.len(), 3);
        (&nodes[0]).write_all(b"noise\r\n").unwrap();
        Timer::after(SHORT).await;
    });
    assert_eq!(lost.len(), 3);
    assert!(lost.iter().all(|(_, loss)| *loss == Loss::ConnectionBroken));
}

#[test]
fn one_id_is_never_open_twice_on_a_connection() {
    let mut nodes = Vec::new();
    let lost = play_on(3, async |links, contact, listener| {
        (1..=2).for_each(|pull| assert!(links.send_pull(0, contact, pull, id(7), packet(10))));
        Timer::after(SHORT).await;
        assert!(links.send_pull(0, contact, 3, id(7), packet(10)), "the two are written now");
        Timer::after(SHORT).await;
        listener.set_nonblocking(true).unwrap();
        nodes.extend((0..4).map_while(|_| listener.accept().ok()));
    });
    assert_eq!((nodes.len(), lost), (3, vec![]));
}

/// Guards what comes next against a node that takes nothing: it would wait behind the one being written.
#[test]
fn a_connection_whose_node_takes_nothing_gets_nothing_more() {
    let mut nodes = Vec::new();
    let lost = play_on(3, async |links, contact, listener| {
        assert!(links.send_pull(0, contact, 1, id(1), packet(HUGE)));
        Timer::after(Duration::from_millis(400)).await;
        nodes.push(listener.accept().unwrap().0);
        listener.set_nonblocking(true).unwrap();
        assert!(links.send_pull(0, contact, 2, id(2), packet(10)));
        Timer::after(SHORT).await;
        nodes.push(listener.accept().expect("the second goes over another").0);
        assert!(!links.cancel_pull(0, 1), "half of it is out");
        Timer::after(SHORT).await;
        let mut first = &nodes[0];
        first.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        let read = std::io::copy(&mut first, &mut std::io::sink()).expect("ended, not left open");
        assert!(read < HUGE as u64, "{read}");
    });
    assert_eq!(lost, []);
}

/// Guards against a wrong length, which swallows the answers after it, and against what stops half way: bytes may
/// keep coming, but no answer does.
#[test]
fn a_connection_that_gets_nowhere_takes_no_further_pulls_and_ends_where_an_answer_stopped() {
    let head = begun_answer(1);
    let mut nodes = Vec::new();
    let lost = play_on(3, async |links, contact, listener| {
        assert!(links.send_pull(0, contact, 1, id(1), packet(10)));
        Timer::after(SHORT).await;
        nodes.push(listener.accept().unwrap().0);
        let mut node = &nodes[0];
        node.write_all(head.as_bytes()).unwrap();
        for _ in 0..3 {
            node.write_all(b"bytes").unwrap();
            Timer::after(SHORT).await;
        }
        listener.set_nonblocking(true).unwrap();
        assert!(links.send_pull(0, contact, 2, id(2), packet(10)));
        Timer::after(SHORT).await;
        nodes.push(listener.accept().expect("the second goes over another").0);
        Timer::after(Duration::from_millis(1_200)).await;
    });
    assert_eq!(lost, [(1, Loss::ConnectionBroken)]);
}

/// Guards against a node that takes nothing while a pull there is called back: until it is told, or its connection
/// has ended, the next pull would be the second at work.
#[test]
fn a_pull_is_called_back_once_its_node_was_told() {
    let lost = play(&[10], async |links, node| {
        assert!(!links.cancel_pull(0, 1));
        assert!(links.is_cancel_pending(0, 1), "the cancel has only just been queued");
        Timer::after(SHORT).await;
        assert!(!links.is_cancel_pending(0, 1));
        drop(node);
    });
    assert_eq!(lost, []);
    let lost = play(&[10, HUGE], async |links, mut node| {
        assert!(!links.cancel_pull(0, 1));
        Timer::after(SHORT).await;
        assert!(links.is_cancel_pending(0, 1), "it waits behind what the node does not take");
        Timer::after(Duration::from_millis(900)).await;
        assert!(!links.is_cancel_pending(0, 1));
        node.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        let read = std::io::copy(&mut node, &mut std::io::sink()).expect("ended, not left open");
        assert!(read < HUGE as u64, "{read}");
    });
    assert_eq!(lost, [(2, Loss::NotSent)]);
}

/// A node answers one pull twice. The second answer must not pass for that to the next pull of the same download.
#[test]
fn a_second_answer_is_nobodys() {
    let mut nodes = Vec::new();
    let told = play_within(3, usize::MAX, async |links, contact, listener| {
        assert!(links.send_pull(0, contact, 1, id(1), packet(10)));
        Timer::after(SHORT).await;
        nodes.push(listener.accept().unwrap().0);
        (&nodes[0]).write_all(answer(1, "EIO").as_bytes()).unwrap();
        Timer::after(SHORT).await;
        assert!(links.send_pull(0, contact, 2, id(1), packet(10)));
        Timer::after(SHORT).await;
        (&nodes[0]).write_all(answer(1, "ACK").as_bytes()).unwrap();
        Timer::after(SHORT).await;
        listener.set_nonblocking(true).unwrap();
        nodes.push(listener.accept().expect("the second goes over another").0);
    });
    let told: Vec<u64> = told
        .iter()
        .map(|news| match news {
            Input::Answered { pull, .. } => *pull,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(told, [1]);
}

/// Guards the descriptors: the connection that gives way is closed before the one that takes its place is opened.
#[test]
fn no_more_connections_are_held_than_the_bound_says() {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    /// From now on no file can be opened but in the place of one that is closed.
    fn no_more_files() -> Rlimit {
        use std::os::fd::AsRawFd;
        let usual = getrlimit(Resource::Nofile);
        let first_free = std::fs::File::open("/dev/null").unwrap().as_raw_fd() as u64;
        setrlimit(Resource::Nofile, Rlimit { current: Some(first_free), ..usual }).unwrap();
        usual
    }
    // In a program of its own: other tests open files too.
    if std::env::var("HARESTAGE_ALONE").is_err() {
        let alone = std::process::Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "no_more_connections_are_held_than_the_bound_says", "--test-threads=1"])
            .env("HARESTAGE_ALONE", "1")
            .output()
            .unwrap();
        assert!(alone.status.success(), "{}", String::from_utf8_lossy(&alone.stdout));
        return;
    }
    let mut nodes = Vec::new();
    let told = play_within(1, 2, async |links, contact, listener| {
        listener.set_nonblocking(true).unwrap();
        // Two connections to as many nodes, both at rest.
        for node in 0..2 {
            assert!(links.send_pull(node, contact, u64::from(node), id(u64::from(node)), packet(10)));
            Timer::after(SHORT).await;
            nodes.push(listener.accept().unwrap().0);
            (&nodes[node as usize]).write_all(answer(node.into(), "ACK").as_bytes()).unwrap();
        }
        Timer::after(SHORT).await;
        // Two more in one turn: both of the idle ones give way, and there is no place for a third.
        let usual = no_more_files();
        for node in 2..4 {
            assert!(links.send_pull(node, contact, u64::from(node), id(u64::from(node)), packet(10)));
        }
        assert!(!links.send_pull(4, contact, 4, id(4), packet(10)), "none is idle");
        Timer::after(SHORT).await;
        setrlimit(Resource::Nofile, usual).unwrap();
        nodes.extend(std::iter::from_fn(|| listener.accept().ok()).map(|(node, _)| node));
        assert_eq!(nodes.len(), 4);
    });
    assert_eq!(told.len(), 2, "{told:?}");
}

/// An id that comes again and again needs a connection that does not know it; it gets the place of one that does.
#[test]
fn an_id_that_comes_again_takes_no_further_room() {
    let answer = answer(1, "ACK");
    let mut nodes = Vec::new();
    play_within(3, usize::MAX, async |links, contact, listener| {
        listener.set_nonblocking(true).unwrap();
        for pull in 1..=4 {
            assert!(links.send_pull(0, contact, pull, id(1), packet(10)));
            Timer::after(SHORT).await;
            nodes.push(listener.accept().expect("over another").0);
            nodes.last_mut().unwrap().write_all(answer.as_bytes()).unwrap();
            Timer::after(SHORT).await;
        }
        let open = nodes.iter().filter(|node| {
            node.set_nonblocking(true).unwrap();
            let read = std::io::copy(&mut &**node, &mut std::io::sink());
            read.is_err_and(|why| why.kind() == std::io::ErrorKind::WouldBlock)
        });
        assert_eq!(open.count(), 1);
    });
}

/// A node closes a connection at rest, and nobody has read that when the next pull is written: it must not be lost where
/// nothing could prove that it never ran.
#[test]
fn a_pull_is_not_written_to_a_connection_that_has_been_closed_at_rest() {
    let answer = answer(1, "ACK");
    let told = play_within(3, usize::MAX, async |links, contact, listener| {
        assert!(links.send_pull(0, contact, 1, id(1), packet(10)));
        Timer::after(SHORT).await;
        let mut node = listener.accept().unwrap().0;
        node.write_all(answer.as_bytes()).unwrap();
        Timer::after(SHORT).await;
        // Nothing runs between the pull and the close, and the writer comes first then: its turn is queued already.
        let mut all = [0; 128];
        let _ = node.read(&mut all).unwrap();
        assert!(links.send_pull(0, contact, 2, id(2), packet(10)));
        drop(node);
        Timer::after(SHORT).await;
    });
    assert!(
        matches!(told[..], [Input::Answered { pull: 1, .. }, Input::Lost { pull: 2, loss: Loss::NotSent }]),
        "{told:?}"
    );
}

/// An answer that never ends: bytes keep coming, so that it has not stopped. It holds up nothing beside its own pull, and
/// its connection is ended as that is given up.
#[test]
fn an_answer_that_never_ends_holds_up_only_its_own_pull() {
    let head = begun_answer(1);
    let mut nodes = Vec::new();
    let lost = play_on(3, async |links, contact, listener| {
        assert!(links.send_pull(0, contact, 1, id(1), packet(10)));
        Timer::after(SHORT).await;
        nodes.push(listener.accept().unwrap().0);
        (&nodes[0]).write_all(head.as_bytes()).unwrap();
        for _ in 0..12 {
            (&nodes[0]).write_all(b"x").unwrap();
            Timer::after(Duration::from_millis(100)).await;
        }
        listener.set_nonblocking(true).unwrap();
        assert!(links.send_pull(0, contact, 2, id(2), packet(10)));
        Timer::after(SHORT).await;
        nodes.push(listener.accept().expect("the second goes over another").0);
        assert!(!links.cancel_pull(0, 1));
        Timer::after(Duration::from_millis(700)).await;
        let mut first = &nodes[0];
        first.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        std::io::copy(&mut first, &mut std::io::sink()).expect("ended, not left open");
    });
    assert_eq!(lost, []);
}
