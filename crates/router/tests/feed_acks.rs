//! Acknowledgements that a router sends to its feed: only to feeds of our own, and only once the purges are
//! applied.
mod fixture;

use async_channel::bounded;
use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use fixture::{Fixture, Reply, TIMEOUT, accept_subscription};
use harestage::time::Span;
use harestage_profile::RouterSettings;
use harestage_router::program::limits::Limits;
use harestage_router::routing::Input;
use harestage_router::transport::feed;
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

const SHORT: Duration = Duration::from_millis(200);

fn good(_: usize, _: &str) -> Reply {
    Reply::Answer("ACK", "res=HIT", b"good".to_vec())
}

fn empty_event(n: u64, more: Value) -> String {
    let mut event = json!({"n": n, "members": {"index": n, "snapshot": false, "endpoints": []}});
    event.as_object_mut().unwrap().extend(more.as_object().unwrap().clone());
    format!("{event}\n")
}

fn accepts_acks(n: u64) -> String {
    empty_event(n, json!({"hears": true}))
}

fn service_state(n: u64, purges: u64, at_ms: u64) -> String {
    empty_event(n, json!({"purges": purges, "at": at_ms, "plan": ""}))
}

fn purge(n: u64, object: u64) -> String {
    format!("{}\n", json!({"n": n, "purge": {"key": format!("{object:016x}"), "at": 1}}))
}

/// The next line that the router sends.
fn line(stream: &mut TcpStream) -> String {
    let (mut text, mut byte) = (String::new(), [0]);
    while !text.ends_with('\n') {
        stream.read_exact(&mut byte).expect("a line");
        text.push(byte[0].into());
    }
    text
}

/// Everything that the router writes on a connection: waits for a while, then closes the write side and reads
/// to the end.
fn read_all(mut stream: TcpStream) -> String {
    stream.set_read_timeout(Some(SHORT)).unwrap();
    let mut first = [0; 64];
    if let Ok(bytes) = stream.read(&mut first) {
        return String::from_utf8_lossy(&first[..bytes]).into();
    }
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

/// Like `line`, without blocking this thread, which also runs the router's task.
async fn line_async(stream: &mut TcpStream) -> String {
    let (mut text, mut byte, until) = (String::new(), [0], Instant::now() + TIMEOUT);
    stream.set_nonblocking(true).unwrap();
    while !text.ends_with('\n') {
        match stream.read(&mut byte) {
            Ok(1) => text.push(byte[0].into()),
            Err(why) if why.kind() == ErrorKind::WouldBlock => {
                assert!(Instant::now() < until, "no line, only {text:?}");
                Timer::after(Duration::from_millis(2)).await;
            }
            other => panic!("no line, only {text:?}: {other:?}"),
        }
    }
    text
}

#[test]
fn a_feed_without_acks_is_sent_nothing_but_the_subscription() {
    let fixture = Fixture::open(1, None, good);
    let (mut platform, line) = accept_subscription(&fixture.feed);
    assert_eq!(line, "SUB 1\n");
    let group = json!({"n": 3, "purge": {"group": 5, "at": 1}});
    platform.write_all(format!("1\n{}{group}\n3\n{{\"n\":3}}\n", purge(2, 7)).as_bytes()).unwrap();
    assert_eq!(read_all(platform), "");
    // Nor does a feed of our own that reports a service state but does not accept acknowledgements.
    let (mut older, line) = accept_subscription(&fixture.feed);
    assert_eq!(line, "SUB 3\n");
    older.write_all((empty_event(4, json!({"version": 3})) + &service_state(5, 9, 70)).as_bytes()).unwrap();
    assert_eq!(read_all(older), "");
    // Only the first event counts: acceptance in a later event is ignored.
    let (mut late, line) = accept_subscription(&fixture.feed);
    assert_eq!(line, "SUB 5\n");
    late.write_all((purge(6, 7) + &accepts_acks(7) + &service_state(8, 9, 70)).as_bytes()).unwrap();
    assert_eq!(read_all(late), "");
}

#[test]
fn a_router_acknowledges_purges_and_reports_them_after_a_reconnect() {
    let mut fixture = Fixture::open(1, None, good);
    let (mut stream, _) = accept_subscription(&fixture.feed);
    stream.write_all(accepts_acks(2).as_bytes()).unwrap();
    assert_eq!(line(&mut stream), "HAS 0 at 0 keeps 6000\n");
    stream.write_all((purge(3, 7) + &service_state(4, 5, 70)).as_bytes()).unwrap();
    assert_eq!(line(&mut stream), "HAS 5\n");
    // A state without a new purge number is not acknowledged; the next acknowledgement is for the next
    // number.
    stream.write_all((service_state(5, 5, 70) + &service_state(6, 6, 80)).as_bytes()).unwrap();
    assert_eq!(line(&mut stream), "HAS 6\n");
    // Purges whose state has not arrived when the connection breaks are not acknowledged.
    stream.write_all(purge(7, 8).as_bytes()).unwrap();
    assert_eq!(read_all(stream), "");
    let (mut stream, subscription) = accept_subscription(&fixture.feed);
    assert_eq!(subscription, "SUB 7\n");
    stream.write_all(accepts_acks(8).as_bytes()).unwrap();
    assert_eq!(line(&mut stream), "HAS 6 at 80 keeps 6000\n");
    // The service restarted its numbers: the router follows what it is told.
    stream.write_all(service_state(9, 2, 90).as_bytes()).unwrap();
    assert_eq!(line(&mut stream), "HAS 2\n");
    drop(stream);
    let (mut stream, _) = accept_subscription(&fixture.feed);
    stream.write_all(accepts_acks(10).as_bytes()).unwrap();
    assert_eq!(line(&mut stream), "HAS 2 at 90 keeps 6000\n");
    // A restarted process has applied nothing, whatever it acknowledged before.
    fixture.restart();
    let (mut stream, subscription) = accept_subscription(&fixture.feed);
    assert_eq!(subscription, "SUB 1\n");
    stream.write_all(accepts_acks(2).as_bytes()).unwrap();
    assert_eq!(line(&mut stream), "HAS 0 at 0 keeps 6000\n");
}

/// A stopped router with a purge and its state in the socket acknowledges nothing; once it runs again, it
/// applies the purge first.
#[test]
fn a_stopped_router_acknowledges_nothing_until_it_continues() {
    let fixture = Fixture::open(1, None, good);
    let (mut stream, _) = accept_subscription(&fixture.feed);
    stream.write_all((accepts_acks(2) + &service_state(3, 1, 70)).as_bytes()).unwrap();
    assert_eq!(line(&mut stream) + &line(&mut stream), "HAS 0 at 0 keeps 6000\nHAS 1\n");
    fixture.signal("-STOP");
    let until = Instant::now() + TIMEOUT;
    let status = format!("/proc/{}/status", fixture.router.id());
    while !std::fs::read_to_string(&status).unwrap().contains("State:\tT") {
        assert!(Instant::now() < until, "the router did not stop");
        std::thread::sleep(Duration::from_millis(5));
    }
    stream.write_all((purge(4, 7) + &service_state(5, 2, 80)).as_bytes()).unwrap();
    stream.set_read_timeout(Some(SHORT)).unwrap();
    let why = stream.read(&mut [0; 1]).unwrap_err().kind();
    assert!(matches!(why, ErrorKind::WouldBlock | ErrorKind::TimedOut), "{why:?}");
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    fixture.signal("-CONT");
    assert_eq!(line(&mut stream), "HAS 2\n");
}

/// While no task takes the router's inputs, nothing is acknowledged, though the feed was read to its end. If
/// the routing task then takes several states in one step, only the newest is acknowledged.
#[test]
fn purges_are_acknowledged_only_after_the_routing_task_and_only_the_newest() {
    let executor = Rc::new(LocalExecutor::new());
    let (inbox, inputs) = bounded(16);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let outside = RouterSettings {
        contents: vec![],
        zones: vec![],
        kinds: vec![],
        connect_timeout: Span::millis(400),
        idle_timeout: Span::millis(30_000),
        pulls_per_connection: 100,
        max_held_downloads: 10_000,
        max_retry_after: Span::millis(500),
        max_wait: Span::millis(3_000),
    };
    let feed_client = feed::FeedClient {
        limits: Rc::new(Limits::new(192, 1_024, &outside)),
        inbox,
        log: Logger::root(Discard, o!()),
        address: feed::FeedAddress::new(listener.local_addr().unwrap()),
        last_event: 4,
        group_addresses: VecDeque::new(),
        track_service_state: false,
        purge_retention: Span::millis(250),
        applied_purges: None,
    };
    block_on(executor.run(async {
        let feed_client = executor.spawn(feed::follow(feed_client));
        listener.set_nonblocking(true).unwrap();
        let until = Instant::now() + TIMEOUT;
        let mut stream = loop {
            match listener.accept() {
                Ok((stream, _)) => break stream,
                Err(why) => assert!(Instant::now() < until, "no subscription: {why}"),
            }
            Timer::after(Duration::from_millis(2)).await;
        };
        assert_eq!(line_async(&mut stream).await, "SUB 4\n");
        let text = accepts_acks(5)
            + &purge(6, 1)
            + &service_state(7, 1, 10)
            + &purge(8, 2)
            + &service_state(9, 2, 20)
            + &service_state(10, 3, 30);
        stream.write_all(text.as_bytes()).unwrap();
        let mut confirmations = Vec::new();
        while confirmations.len() < 3 {
            if let Input::Confirm { number, to } = inputs.recv().await.unwrap() {
                confirmations.push((number, to));
            }
        }
        assert!(inputs.is_empty(), "all events were read and passed on");
        assert_eq!(line_async(&mut stream).await, "HAS 0 at 0 keeps 250\n");
        Timer::after(SHORT).await;
        assert_eq!(stream.read(&mut [0; 1]).unwrap_err().kind(), ErrorKind::WouldBlock);
        // All in one step of this thread: the connection's task runs afterwards.
        for (number, to) in &confirmations {
            to.force_send(*number).unwrap();
        }
        assert_eq!(line_async(&mut stream).await, "HAS 3\n");
        // A late confirmation of an older number is not acknowledged; the next acknowledgement is for the
        // next number.
        confirmations[1].1.force_send(2).unwrap();
        Timer::after(SHORT).await;
        confirmations[1].1.force_send(4).unwrap();
        assert_eq!(line_async(&mut stream).await, "HAS 4\n");
        // Nor is it sent on the next connection.
        feed_client.cancel().await;
        assert!(confirmations[0].1.force_send(9).is_err(), "nothing receives confirmations after the end");
    }));
}
