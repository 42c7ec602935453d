//! Connections to clients and to the feed, with a routing task that the test holds up.
use async_channel::{Receiver, Sender, bounded, unbounded};
use async_executor::LocalExecutor;
use async_io::{Async, Timer, block_on};
use harestage::time::Span;
use harestage_profile::RouterSettings;
use harestage_router::program::limits::Limits;
use harestage_router::routing::Input;
use harestage_router::transport::{client, feed};
use harestage_sockets::clock::Clock;
use slog::{Discard, Logger, o};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const SHORT: Duration = Duration::from_millis(150);

fn limits() -> Rc<Limits> {
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
    Rc::new(Limits::new(192, 1_024, &outside))
}

fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// Disconnects of clients are noticed and queued even while the routing task takes no inputs.
#[test]
fn disconnects_are_noticed_while_no_inputs_are_taken() {
    let executor = Rc::new(LocalExecutor::new());
    let (sender, inputs): (Sender<Input>, Receiver<Input>) = unbounded();
    let clients = client::Clients::new(limits(), Clock::start(), sender, log());
    let listener = Rc::new(Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap());
    let address = listener.get_ref().local_addr().unwrap();
    block_on(executor.run(async {
        let _listens = executor.spawn(client::listen(clients.clone(), listener, executor.clone()));
        let crowd: Vec<TcpStream> = (0..8).map(|_| TcpStream::connect(address).unwrap()).collect();
        for (no, mut client) in crowd.iter().enumerate() {
            for tag in 1..=30 {
                let fields = format!("i={:016x},d=9000,o={tag:016x},chunk=0,tag=5", no * 100 + tag);
                let head = format!("*5\r\n$3\r\nASK\r\n${}\r\n{tag}\r\n", tag.to_string().len());
                let rest = format!("$4\r\nclip\r\n${}\r\n{fields}\r\n$0\r\n\r\n", fields.len());
                client.write_all((head + &rest).as_bytes()).unwrap();
            }
        }
        Timer::after(SHORT).await;
        assert_eq!(clients.open_downloads(), 8 * 30);
        drop(crowd);
        Timer::after(SHORT).await;
        assert_eq!(clients.open_downloads(), 0, "the disconnects were not noticed");
    }));
    let received: Vec<Input> = std::iter::from_fn(|| inputs.try_recv().ok()).collect();
    let disconnects = received.iter().filter(|inputs| matches!(inputs, Input::Disconnected { .. })).count();
    assert_eq!((received.len(), disconnects), (8 * 30 + 8, 8));
}

/// The feed's address changes while an event waits for queue space. That event was not passed on, so it is
/// requested again from the new address.
#[test]
fn an_event_that_waited_while_the_feed_moved_is_requested_again() {
    let executor = Rc::new(LocalExecutor::new());
    let (inbox, inputs) = bounded(1);
    let (old, new) = (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
    let place = feed::FeedAddress::new(old.local_addr().unwrap());
    let feed_client = feed::FeedClient {
        limits: limits(),
        inbox: inbox.clone(),
        log: log(),
        address: place.clone(),
        last_event: 4,
        group_addresses: VecDeque::new(),
        track_service_state: false,
        purge_retention: Span::millis(6_000),
        applied_purges: None,
    };
    let purge = |n: u64| format!("{{\"n\":{n},\"purge\":{{\"group\":{n},\"at\":1}}}}\n");
    let accept_subscription = async |listener: &TcpListener| {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        Timer::after(SHORT).await;
        let mut line = [0; 6];
        stream.read_exact(&mut line).unwrap();
        (stream, String::from_utf8(line.to_vec()).unwrap())
    };
    block_on(executor.run(async {
        inbox.send(Input::Disconnected { client: 0 }).await.unwrap();
        let _follows = executor.spawn(feed::follow(feed_client));
        Timer::after(SHORT).await;
        let (mut stream, line) = accept_subscription(&old).await;
        assert_eq!(line, "SUB 4\n");
        stream.write_all(purge(5).as_bytes()).unwrap();
        Timer::after(SHORT).await;
        place.move_to(new.local_addr().unwrap());
        Timer::after(SHORT).await;
        let (mut stream, line) = accept_subscription(&new).await;
        assert_eq!(line, "SUB 4\n", "the event that waited was not applied");
        assert!(matches!(inputs.recv().await, Ok(Input::Disconnected { .. })));
        stream.write_all((purge(5) + &purge(6)).as_bytes()).unwrap();
        for n in [5, 6] {
            let received = format!("{:?}", inputs.recv().await.unwrap());
            assert!(received.contains(&format!("group: {n}")), "{received}");
        }
        Timer::after(SHORT).await;
        assert!(inputs.is_empty());
    }));
}

/// A download that is in the socket when open ones are abandoned would outlast the process.
#[test]
fn downloads_that_come_when_a_shutdown_abandons_are_refused_and_not_lost() {
    let executor = Rc::new(LocalExecutor::new());
    let (sender, inputs): (Sender<Input>, Receiver<Input>) = unbounded();
    let clients = client::Clients::new(limits(), Clock::start(), sender, log());
    let listener = Rc::new(Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap());
    let address = listener.get_ref().local_addr().unwrap();
    let download = |tag: u64| {
        let fields = format!("i={tag:016x},d=9000,o={tag:016x},chunk=0,tag=5");
        format!("*5\r\n$3\r\nASK\r\n$1\r\n{tag}\r\n$4\r\nclip\r\n${}\r\n{fields}\r\n$0\r\n\r\n", fields.len())
    };
    let mut client = TcpStream::connect(address).unwrap();
    block_on(executor.run(async {
        let _listens = executor.spawn(client::listen(clients.clone(), listener, executor.clone()));
        client.write_all(download(1).as_bytes()).unwrap();
        Timer::after(SHORT).await;
        assert_eq!(clients.open_downloads(), 1);
        clients.close_all();
        client.write_all(download(2).as_bytes()).unwrap();
        clients.abandon_all();
        Timer::after(SHORT).await;
        assert_eq!(clients.open_downloads(), 0, "nothing stays open");
    }));
    let mut answers = [0; 200];
    let bytes = client.read(&mut answers).unwrap();
    let answers = String::from_utf8_lossy(&answers[..bytes]);
    assert!(answers.contains("FAIL") && answers.contains("NAK"), "{answers}");
    let passed_on = std::iter::from_fn(|| inputs.try_recv().ok());
    assert_eq!(passed_on.filter(|input| matches!(input, Input::Download { .. })).count(), 1);
}
