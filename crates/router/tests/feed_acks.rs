//! What a router says to its feed of the purges that it has: to one of ours alone, and no earlier than it is so.
mod fixture;

use async_channel::bounded;
use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use fixture::{Fixture, LONG, Reply, subscribed};
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
    Reply::Say("ACK", "res=HIT", b"good".to_vec())
}

fn nothing(n: u64, more: Value) -> String {
    let mut event = json!({"n": n, "members": {"index": n, "snapshot": false, "endpoints": []}});
    event.as_object_mut().unwrap().extend(more.as_object().unwrap().clone());
    format!("{event}\n")
}

fn hears(n: u64) -> String {
    nothing(n, json!({"hears": true}))
}

fn marks(n: u64, purges: u64, at_ms: u64) -> String {
    nothing(n, json!({"purges": purges, "at": at_ms, "plan": ""}))
}

fn purge(n: u64, object: u64) -> String {
    format!("{}\n", json!({"n": n, "purge": {"key": format!("{object:016x}"), "at": 1}}))
}

/// What a router says next, up to the end of a line.
fn line(stream: &mut TcpStream) -> String {
    let (mut text, mut byte) = (String::new(), [0]);
    while !text.ends_with('\n') {
        stream.read_exact(&mut byte).expect("a line");
        text.push(byte[0].into());
    }
    text
}

/// All that a router writes on a connection: for a while, and up to its end once it has read the end of what is written here.
fn all_said(mut stream: TcpStream) -> String {
    stream.set_read_timeout(Some(SHORT)).unwrap();
    let mut first = [0; 64];
    if let Ok(bytes) = stream.read(&mut first) {
        return String::from_utf8_lossy(&first[..bytes]).into();
    }
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

/// The same without holding up this thread, on which the router's own task runs.
async fn line_beside(stream: &mut TcpStream) -> String {
    let (mut text, mut byte, until) = (String::new(), [0], Instant::now() + LONG);
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
fn a_feed_that_hears_no_words_is_written_nothing_but_the_subscription() {
    let bed = Fixture::open(1, None, good);
    let (mut platform, line) = subscribed(&bed.feed);
    assert_eq!(line, "SUB 1\n");
    let group = json!({"n": 3, "purge": {"group": 5, "at": 1}});
    platform.write_all(format!("1\n{}{group}\n3\n{{\"n\":3}}\n", purge(2, 7)).as_bytes()).unwrap();
    assert_eq!(all_said(platform), "");
    // Nor is a feed of ours that tells marks, and does not hear words.
    let (mut older, line) = subscribed(&bed.feed);
    assert_eq!(line, "SUB 3\n");
    older.write_all((nothing(4, json!({"version": 3})) + &marks(5, 9, 70)).as_bytes()).unwrap();
    assert_eq!(all_said(older), "");
    // Only the first event counts: nothing that comes in the middle makes it speak.
    let (mut late, line) = subscribed(&bed.feed);
    assert_eq!(line, "SUB 5\n");
    late.write_all((purge(6, 7) + &hears(7) + &marks(8, 9, 70)).as_bytes()).unwrap();
    assert_eq!(all_said(late), "");
}

#[test]
fn a_router_says_what_it_has_and_after_a_break_what_it_had() {
    let mut bed = Fixture::open(1, None, good);
    let (mut stream, _) = subscribed(&bed.feed);
    stream.write_all(hears(2).as_bytes()).unwrap();
    assert_eq!(line(&mut stream), "HAS 0 at 0 keeps 6000\n");
    stream.write_all((purge(3, 7) + &marks(4, 5, 70)).as_bytes()).unwrap();
    assert_eq!(line(&mut stream), "HAS 5\n");
    // Marks that say nothing new of purges are not answered: the next word is the next number.
    stream.write_all((marks(5, 5, 70) + &marks(6, 6, 80)).as_bytes()).unwrap();
    assert_eq!(line(&mut stream), "HAS 6\n");
    // A list that breaks off is not had.
    stream.write_all(purge(7, 8).as_bytes()).unwrap();
    assert_eq!(all_said(stream), "");
    let (mut stream, said) = subscribed(&bed.feed);
    assert_eq!(said, "SUB 7\n");
    stream.write_all(hears(8).as_bytes()).unwrap();
    assert_eq!(line(&mut stream), "HAS 6 at 80 keeps 6000\n");
    // A service that counts anew: the router goes by what it is told.
    stream.write_all(marks(9, 2, 90).as_bytes()).unwrap();
    assert_eq!(line(&mut stream), "HAS 2\n");
    drop(stream);
    let (mut stream, _) = subscribed(&bed.feed);
    stream.write_all(hears(10).as_bytes()).unwrap();
    assert_eq!(line(&mut stream), "HAS 2 at 90 keeps 6000\n");
    // A process that starts anew has nothing, whatever it said before.
    bed.restart();
    let (mut stream, said) = subscribed(&bed.feed);
    assert_eq!(said, "SUB 1\n");
    stream.write_all(hears(2).as_bytes()).unwrap();
    assert_eq!(line(&mut stream), "HAS 0 at 0 keeps 6000\n");
}

/// Stopped with a purge and its marks in its socket, it says nothing of them; woken it takes them first.
#[test]
fn a_router_that_is_stopped_says_nothing_until_it_goes_on() {
    let bed = Fixture::open(1, None, good);
    let (mut stream, _) = subscribed(&bed.feed);
    stream.write_all((hears(2) + &marks(3, 1, 70)).as_bytes()).unwrap();
    assert_eq!(line(&mut stream) + &line(&mut stream), "HAS 0 at 0 keeps 6000\nHAS 1\n");
    bed.signal("-STOP");
    let until = Instant::now() + LONG;
    let status = format!("/proc/{}/status", bed.router.id());
    while !std::fs::read_to_string(&status).unwrap().contains("State:\tT") {
        assert!(Instant::now() < until, "it is never stopped");
        std::thread::sleep(Duration::from_millis(5));
    }
    stream.write_all((purge(4, 7) + &marks(5, 2, 80)).as_bytes()).unwrap();
    stream.set_read_timeout(Some(SHORT)).unwrap();
    let why = stream.read(&mut [0; 1]).unwrap_err().kind();
    assert!(matches!(why, ErrorKind::WouldBlock | ErrorKind::TimedOut), "{why:?}");
    stream.set_read_timeout(Some(LONG)).unwrap();
    bed.signal("-CONT");
    assert_eq!(line(&mut stream), "HAS 2\n");
}

/// Nobody takes the router's news: the feed was read to its end, and nothing of it is said to be had. Then the routing task
/// takes several marks in one turn: the newest is said, once.
#[test]
fn nothing_is_had_before_the_routing_task_has_taken_it_and_the_newest_stands_for_all() {
    let executor = Rc::new(LocalExecutor::new());
    let (inbox, news) = bounded(16);
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
    let follows = feed::FeedClient {
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
        let follows = executor.spawn(feed::follow(follows));
        listener.set_nonblocking(true).unwrap();
        let until = Instant::now() + LONG;
        let mut stream = loop {
            match listener.accept() {
                Ok((stream, _)) => break stream,
                Err(why) => assert!(Instant::now() < until, "no subscription: {why}"),
            }
            Timer::after(Duration::from_millis(2)).await;
        };
        assert_eq!(line_beside(&mut stream).await, "SUB 4\n");
        let text =
            hears(5) + &purge(6, 1) + &marks(7, 1, 10) + &purge(8, 2) + &marks(9, 2, 20) + &marks(10, 3, 30);
        stream.write_all(text.as_bytes()).unwrap();
        let mut confirms = Vec::new();
        while confirms.len() < 3 {
            if let Input::Confirm { number, to } = news.recv().await.unwrap() {
                confirms.push((number, to));
            }
        }
        assert!(news.is_empty(), "all was read, and passed on");
        assert_eq!(line_beside(&mut stream).await, "HAS 0 at 0 keeps 250\n");
        Timer::after(SHORT).await;
        assert_eq!(stream.read(&mut [0; 1]).unwrap_err().kind(), ErrorKind::WouldBlock);
        // All in one turn of this thread: the connection's task runs afterwards.
        for (number, to) in &confirms {
            to.force_send(*number).unwrap();
        }
        assert_eq!(line_beside(&mut stream).await, "HAS 3\n");
        // An answer that comes late, and is older, is not said: the next word is the next number.
        confirms[1].1.force_send(2).unwrap();
        Timer::after(SHORT).await;
        confirms[1].1.force_send(4).unwrap();
        assert_eq!(line_beside(&mut stream).await, "HAS 4\n");
        // Nor does one go to the next connection.
        follows.cancel().await;
        assert!(confirms[0].1.force_send(9).is_err(), "nobody waits for it");
    }));
}
