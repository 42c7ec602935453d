//! What a node connection reports about pulls that got no answer.
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

/// More than the kernel buffers for a peer that does not read.
const HUGE: usize = 64 << 20;
const SHORT: Duration = Duration::from_millis(150);

fn packet(body: usize) -> Packet {
    Packet { head: encode_head(&[b"serve"], body), body: Bytes::from(vec![0; body]) }
}

/// A complete answer without a body, and the start of one that announces thousands of bytes.
fn answer(n: u64, word: &str) -> String {
    format!("*4\r\n$16\r\n{}\r\n$3\r\n{word}\r\n$1\r\n-\r\n$0\r\n\r\n", id(n).as_str())
}

fn partial_answer(n: u64) -> String {
    format!("*4\r\n$16\r\n{}\r\n$3\r\nACK\r\n$1\r\n-\r\n$9000\r\n", id(n).as_str())
}

fn id(n: u64) -> HexId {
    HexId::parse(format!("{n:016x}").as_bytes()).unwrap()
}

/// Sends pulls of these sizes, numbered from 1, to a node that accepts the connection and reads nothing, then
/// runs `look`.
fn run_with_pulls(
    sizes: &[usize],
    script: impl AsyncFnOnce(&mut NodeConnections, TcpStream),
) -> Vec<(u64, Loss)> {
    run_script(usize::MAX, async |connections, entry, listener| {
        for (pull, size) in (1..).zip(sizes) {
            assert!(connections.send_pull(0, entry, pull, id(pull), packet(*size)));
        }
        // The connection comes up only while this waits.
        Timer::after(SHORT).await;
        let (stream, _) = listener.accept().unwrap();
        script(connections, stream).await;
    })
}

/// Runs a script against one node whose connections carry `few` pulls each. Returns the lost pulls.
fn run_script(
    few: usize,
    script: impl AsyncFnOnce(&mut NodeConnections, &NodeEntry, &TcpListener),
) -> Vec<(u64, Loss)> {
    let lost = run_script_with_limit(few, usize::MAX, script).into_iter().map(|input| match input {
        Input::Lost { pull, loss } => (pull, loss),
        other => panic!("{other:?}"),
    });
    lost.collect()
}

/// The same with a limit on all connections. Returns all inputs for the routing task.
fn run_script_with_limit(
    few: usize,
    max_connections: usize,
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
    let mut node_table = NodeTable::default();
    let (kinds, now) = (NodeKinds { parent: None, origin: None }, Moment::at_micros(1));
    node_table.apply(&member, &mut IdRegistry::default(), kinds, &outside, now);
    let executor = Rc::new(LocalExecutor::new());
    let (inbox, input) = async_channel::bounded(64);
    let default_limits = Limits::new(192, 1_024, &outside);
    let node_connections = max_connections.min(default_limits.node_connections);
    let limits = Rc::new(Limits { node_few: few, node_connections, ..default_limits });
    let mut connections = NodeConnections::new(limits, inbox, Logger::root(Discard, o!()), executor.clone());
    block_on(executor.run(async {
        script(&mut connections, node_table.get(0).unwrap(), &listener).await;
        Timer::after(SHORT).await;
    }));
    std::iter::from_fn(|| input.try_recv().ok()).collect()
}

/// Guards pulls that must not run twice: a broken connection proves nothing about a pull that was written
/// whole, but does prove that a partly written one never ran.
#[test]
fn a_broken_connection_proves_not_sent_only_for_pulls_not_written_whole() {
    let lost = run_with_pulls(&[10, HUGE, 10], async |_, node| drop(node));
    assert_eq!(lost, [(1, Loss::ConnectionBroken), (2, Loss::NotSent), (3, Loss::NotSent)]);
}

#[test]
fn a_cancel_proves_not_sent_only_for_queued_pulls() {
    let lost = run_with_pulls(&[10, HUGE, 10, 10], async |connections, node| {
        assert!(
            !connections.remove_queued(0, 1) && !connections.remove_queued(0, 2),
            "both are being written or written"
        );
        assert!(
            connections.remove_queued(0, 3) && connections.cancel_pull(0, 4),
            "no byte of these was written"
        );
        assert!(!connections.cancel_pull(0, 1) && !connections.cancel_pull(0, 2), "these may still run");
        assert!(!connections.cancel_pull(0, 1), "cancelled already");
        assert!(
            connections.is_cancel_pending(0, 1) && connections.is_cancel_pending(0, 2),
            "neither cancel was written"
        );
        drop(node);
    });
    assert_eq!(lost, [], "cancelled pulls are not reported");
}

/// A partly written pull can't be withdrawn. It is written to its end and cancelled then, so that the node
/// can parse the next message.
#[test]
fn a_pull_cancelled_while_it_is_written_is_cancelled_once_it_is_whole() {
    let mut read = Vec::new();
    run_with_pulls(&[HUGE], async |connections, mut node| {
        assert!(!connections.cancel_pull(0, 1));
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

/// A corrupted answer ends its connection with all pulls on it, so that a connection carries only a few.
#[test]
fn a_corrupted_answer_breaks_only_the_few_pulls_of_its_connection() {
    let mut nodes = Vec::new();
    let lost = run_script(3, async |connections, entry, listener| {
        (1..=7).for_each(|pull| assert!(connections.send_pull(0, entry, pull, id(pull), packet(10))));
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
    let lost = run_script(3, async |connections, entry, listener| {
        (1..=2).for_each(|pull| assert!(connections.send_pull(0, entry, pull, id(7), packet(10))));
        Timer::after(SHORT).await;
        assert!(connections.send_pull(0, entry, 3, id(7), packet(10)), "the first two are written now");
        Timer::after(SHORT).await;
        listener.set_nonblocking(true).unwrap();
        nodes.extend((0..4).map_while(|_| listener.accept().ok()));
    });
    assert_eq!((nodes.len(), lost), (3, vec![]));
}

/// Guards new pulls against a node that reads nothing: they would wait behind the one that is being written.
#[test]
fn a_connection_whose_node_reads_nothing_gets_no_further_pulls() {
    let mut nodes = Vec::new();
    let lost = run_script(3, async |connections, entry, listener| {
        assert!(connections.send_pull(0, entry, 1, id(1), packet(HUGE)));
        Timer::after(Duration::from_millis(400)).await;
        nodes.push(listener.accept().unwrap().0);
        listener.set_nonblocking(true).unwrap();
        assert!(connections.send_pull(0, entry, 2, id(2), packet(10)));
        Timer::after(SHORT).await;
        nodes.push(listener.accept().expect("the second pull uses another connection").0);
        assert!(!connections.cancel_pull(0, 1), "it is partly written");
        Timer::after(SHORT).await;
        let mut first = &nodes[0];
        first.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        let read = std::io::copy(&mut first, &mut std::io::sink()).expect("the connection is closed");
        assert!(read < HUGE as u64, "{read}");
    });
    assert_eq!(lost, []);
}

/// Guards against an answer with a wrong length, which swallows the answers after it, and against one that
/// stops half way: bytes may still arrive, but no complete answer.
#[test]
fn a_stalled_connection_gets_no_further_pulls_and_ends_if_an_answer_stopped() {
    let head = partial_answer(1);
    let mut nodes = Vec::new();
    let lost = run_script(3, async |connections, entry, listener| {
        assert!(connections.send_pull(0, entry, 1, id(1), packet(10)));
        Timer::after(SHORT).await;
        nodes.push(listener.accept().unwrap().0);
        let mut node = &nodes[0];
        node.write_all(head.as_bytes()).unwrap();
        for _ in 0..3 {
            node.write_all(b"bytes").unwrap();
            Timer::after(SHORT).await;
        }
        listener.set_nonblocking(true).unwrap();
        assert!(connections.send_pull(0, entry, 2, id(2), packet(10)));
        Timer::after(SHORT).await;
        nodes.push(listener.accept().expect("the second pull uses another connection").0);
        Timer::after(Duration::from_millis(1_200)).await;
    });
    assert_eq!(lost, [(1, Loss::ConnectionBroken)]);
}

/// Guards against a node that reads nothing while a pull is cancelled: until the cancel is written or the
/// connection has ended, the next pull would run concurrently with it.
#[test]
fn a_cancel_is_pending_until_it_is_written() {
    let lost = run_with_pulls(&[10], async |connections, node| {
        assert!(!connections.cancel_pull(0, 1));
        assert!(connections.is_cancel_pending(0, 1), "the cancel is still queued");
        Timer::after(SHORT).await;
        assert!(!connections.is_cancel_pending(0, 1));
        drop(node);
    });
    assert_eq!(lost, []);
    let lost = run_with_pulls(&[10, HUGE], async |connections, mut node| {
        assert!(!connections.cancel_pull(0, 1));
        Timer::after(SHORT).await;
        assert!(connections.is_cancel_pending(0, 1), "it waits behind a pull that the node does not read");
        Timer::after(Duration::from_millis(900)).await;
        assert!(!connections.is_cancel_pending(0, 1));
        node.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        let read = std::io::copy(&mut node, &mut std::io::sink()).expect("the connection is closed");
        assert!(read < HUGE as u64, "{read}");
    });
    assert_eq!(lost, [(2, Loss::NotSent)]);
}

/// A node answers one pull twice. The second answer must not be taken for the answer to the next pull of the
/// same download.
#[test]
fn a_second_answer_to_a_pull_is_ignored() {
    let mut nodes = Vec::new();
    let inputs = run_script_with_limit(3, usize::MAX, async |connections, entry, listener| {
        assert!(connections.send_pull(0, entry, 1, id(1), packet(10)));
        Timer::after(SHORT).await;
        nodes.push(listener.accept().unwrap().0);
        (&nodes[0]).write_all(answer(1, "EIO").as_bytes()).unwrap();
        Timer::after(SHORT).await;
        assert!(connections.send_pull(0, entry, 2, id(1), packet(10)));
        Timer::after(SHORT).await;
        (&nodes[0]).write_all(answer(1, "ACK").as_bytes()).unwrap();
        Timer::after(SHORT).await;
        listener.set_nonblocking(true).unwrap();
        nodes.push(listener.accept().expect("the second pull uses another connection").0);
    });
    let inputs: Vec<u64> = inputs
        .iter()
        .map(|input| match input {
            Input::Answered { pull, .. } => *pull,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(inputs, [1]);
}

/// Guards the number of file descriptors: a connection that gives way is closed before its replacement is
/// opened.
#[test]
fn no_more_connections_are_open_than_the_limit_allows() {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    /// From now on a file can only be opened after another one was closed.
    fn no_more_files() -> Rlimit {
        use std::os::fd::AsRawFd;
        let default_limits = getrlimit(Resource::Nofile);
        let first_free = std::fs::File::open("/dev/null").unwrap().as_raw_fd() as u64;
        setrlimit(Resource::Nofile, Rlimit { current: Some(first_free), ..default_limits }).unwrap();
        default_limits
    }
    // Runs in a process of its own, since other tests open files too.
    if std::env::var("HARESTAGE_ALONE").is_err() {
        let child = std::process::Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "no_more_connections_are_open_than_the_limit_allows", "--test-threads=1"])
            .env("HARESTAGE_ALONE", "1")
            .output()
            .unwrap();
        assert!(child.status.success(), "{}", String::from_utf8_lossy(&child.stdout));
        return;
    }
    let mut nodes = Vec::new();
    let inputs = run_script_with_limit(1, 2, async |connections, entry, listener| {
        listener.set_nonblocking(true).unwrap();
        // Two idle connections to two nodes.
        for node in 0..2 {
            assert!(connections.send_pull(node, entry, u64::from(node), id(u64::from(node)), packet(10)));
            Timer::after(SHORT).await;
            nodes.push(listener.accept().unwrap().0);
            (&nodes[node as usize]).write_all(answer(node.into(), "ACK").as_bytes()).unwrap();
        }
        Timer::after(SHORT).await;
        // Two more in one step: both idle connections give way, and there is no slot for a third.
        let default_limits = no_more_files();
        for node in 2..4 {
            assert!(connections.send_pull(node, entry, u64::from(node), id(u64::from(node)), packet(10)));
        }
        assert!(!connections.send_pull(4, entry, 4, id(4), packet(10)), "no connection is idle");
        Timer::after(SHORT).await;
        setrlimit(Resource::Nofile, default_limits).unwrap();
        nodes.extend(std::iter::from_fn(|| listener.accept().ok()).map(|(node, _)| node));
        assert_eq!(nodes.len(), 4);
    });
    assert_eq!(inputs.len(), 2, "{inputs:?}");
}

/// An id that is used again needs a connection that has not seen it. That connection replaces the one that
/// has.
#[test]
fn a_repeated_id_uses_no_further_connections() {
    let answer = answer(1, "ACK");
    let mut nodes = Vec::new();
    run_script_with_limit(3, usize::MAX, async |connections, entry, listener| {
        listener.set_nonblocking(true).unwrap();
        for pull in 1..=4 {
            assert!(connections.send_pull(0, entry, pull, id(1), packet(10)));
            Timer::after(SHORT).await;
            nodes.push(listener.accept().expect("each pull uses another connection").0);
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

/// A node closes an idle connection, and the router has not read that when it writes the next pull. The pull
/// must not be lost without proof that it never ran.
#[test]
fn a_pull_is_not_written_to_a_connection_closed_while_idle() {
    let answer = answer(1, "ACK");
    let inputs = run_script_with_limit(3, usize::MAX, async |connections, entry, listener| {
        assert!(connections.send_pull(0, entry, 1, id(1), packet(10)));
        Timer::after(SHORT).await;
        let mut node = listener.accept().unwrap().0;
        node.write_all(answer.as_bytes()).unwrap();
        Timer::after(SHORT).await;
        // No task runs between the pull and the close, and the writer, already scheduled, runs first
        // afterwards.
        let mut all = [0; 128];
        let _ = node.read(&mut all).unwrap();
        assert!(connections.send_pull(0, entry, 2, id(2), packet(10)));
        drop(node);
        Timer::after(SHORT).await;
    });
    assert!(
        matches!(inputs[..], [Input::Answered { pull: 1, .. }, Input::Lost { pull: 2, loss: Loss::NotSent }]),
        "{inputs:?}"
    );
}

/// An answer that never ends: bytes keep arriving, so it does not count as stopped. It delays no other pull,
/// and its connection is closed when its own pull is given up.
#[test]
fn an_answer_that_never_ends_delays_only_its_own_pull() {
    let head = partial_answer(1);
    let mut nodes = Vec::new();
    let lost = run_script(3, async |connections, entry, listener| {
        assert!(connections.send_pull(0, entry, 1, id(1), packet(10)));
        Timer::after(SHORT).await;
        nodes.push(listener.accept().unwrap().0);
        (&nodes[0]).write_all(head.as_bytes()).unwrap();
        for _ in 0..12 {
            (&nodes[0]).write_all(b"x").unwrap();
            Timer::after(Duration::from_millis(100)).await;
        }
        listener.set_nonblocking(true).unwrap();
        assert!(connections.send_pull(0, entry, 2, id(2), packet(10)));
        Timer::after(SHORT).await;
        nodes.push(listener.accept().expect("the second pull uses another connection").0);
        assert!(!connections.cancel_pull(0, 1));
        Timer::after(Duration::from_millis(700)).await;
        let mut first = &nodes[0];
        first.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        std::io::copy(&mut first, &mut std::io::sink()).expect("the connection is closed");
    });
    assert_eq!(lost, []);
}
