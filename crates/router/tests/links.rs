//! What a node connection proves of a pull that it could not bring to an answer.
use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use bytes::Bytes;
use harestage::door::Register;
use harestage::time::Span;
use harestage_profile::{Kinds, Outside};
use harestage_router::program::limits::Limits;
use harestage_router::protocol::feed::{Member, MemberState};
use harestage_router::protocol::{Packet, fields::Hex, resp::head};
use harestage_router::routing::nodes::Contacts;
use harestage_router::routing::{Loss, News};
use harestage_router::transport::node::Links;
use slog::{Discard, Logger, o};
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// More than the machine takes for a peer that does not read.
const HUGE: usize = 64 << 20;

fn packet(body: usize) -> Packet {
    Packet { head: head(&[b"serve"], body), body: Bytes::from(vec![0; body]) }
}

fn id(n: u64) -> Hex {
    Hex::read(format!("{n:016x}").as_bytes()).unwrap()
}

/// Sends pulls of these sizes, numbered from 1, to a node that accepts and reads nothing; then `look` has its say.
fn play(sizes: &[usize], look: impl AsyncFnOnce(&mut Links, TcpStream)) -> Vec<(u64, Loss)> {
    let outside = Outside {
        contents: vec![],
        zones: vec![],
        kinds: vec![],
        connect_within: Span::millis(400),
        idle_closes_after: Span::millis(30_000),
        pulls_per_connection: 100,
        most_held: 100,
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (name, zone, kind) = ("s-1".into(), String::new(), String::new());
    let (address, state) = (listener.local_addr().unwrap().to_string(), MemberState::Ready);
    let member = Member { name, address, zone, kind, cell: 0, state, scale: 1.0, since_ms: 0 };
    let mut contacts = Contacts::default();
    contacts.enter(&member, &mut Register::default(), Kinds { parent: None, origin: None }, &outside);
    let executor = Rc::new(LocalExecutor::new());
    let (inbox, news) = async_channel::bounded(64);
    let limits = Rc::new(Limits::new(192, 1_024, &outside));
    let mut links = Links::new(limits, inbox, Logger::root(Discard, o!()), executor.clone());
    block_on(executor.run(async {
        for (pull, size) in (1..).zip(sizes) {
            assert!(links.pull(0, contacts.get(0).unwrap(), pull, id(pull), packet(*size)));
        }
        // Connecting goes on only while this waits.
        Timer::after(Duration::from_millis(150)).await;
        let (stream, _) = listener.accept().unwrap();
        look(&mut links, stream).await;
        Timer::after(Duration::from_millis(150)).await;
    }));
    let lost = std::iter::from_fn(|| news.try_recv().ok()).map(|news| match news {
        News::Lost { pull, loss } => (pull, loss),
        other => panic!("{other:?}"),
    });
    lost.collect()
}

/// Guards what must not run twice against breaks that prove nothing, and lets go on what never came whole.
#[test]
fn a_break_proves_something_only_of_what_was_not_written_whole() {
    let lost = play(&[10, HUGE, 10], async |_, node| drop(node));
    assert_eq!(lost, [(1, Loss::Broken), (2, Loss::NeverLeft), (3, Loss::NeverLeft)]);
}

#[test]
fn giving_up_proves_something_only_of_what_was_still_queued() {
    let lost = play(&[10, HUGE, 10, 10], async |links, node| {
        assert!(!links.take_back(0, 1) && !links.take_back(0, 2), "both have left");
        assert!(links.take_back(0, 3) && links.cancel(0, 4), "not a byte of these has");
        assert!(!links.cancel(0, 1) && !links.cancel(0, 2), "these may run yet");
        assert!(!links.cancel(0, 1), "given up already");
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
        assert!(!links.cancel(0, 1));
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
