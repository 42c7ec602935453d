//! The messages that a member's connection sends, with a scripted source of items.
use async_io::Async;
use harestage_purge::messages::{Ack, Past, ToMember, to_line};
use harestage_purge::scope::Scope;
use harestage_purge::sequencer::{Item, Payload};
use harestage_purger::member_connection::{UpdateSource, serve_member};
use harestage_sockets::Spawner;
use harestage_sockets::lines::{LineReader, write_text};
use std::cell::Cell;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A source that has published a given number of items, and answers each acknowledgement with the items after it.
struct ScriptedSource(Rc<Cell<u64>>);

fn items(after: u64, upto: u64) -> ToMember {
    let item = |number: u64| {
        let payload = Payload::Purge { scope: Scope::Group(number as u32), tenant: 0, key: "k".into() };
        Item { number, term: 1, at_ms: number, payload }
    };
    ToMember::Items { term: 1, items: (after + 1..=upto).map(item).collect() }
}

impl UpdateSource for ScriptedSource {
    async fn on_ack(&self, ack: &Ack) -> Option<ToMember> {
        Some(items(ack.applied, self.0.get()))
    }

    fn redirect(&self) -> ToMember {
        ToMember::NotLeader { leader: None }
    }

    fn last_published(&self) -> Option<u64> {
        Some(self.0.get())
    }

    fn updates_after(&self, number: u64) -> Option<ToMember> {
        Some(items(number, self.0.get()))
    }

    async fn wait_for_update(&self, _: Duration) {
        futures_lite::future::yield_now().await;
    }
}

/// An acknowledgement is older than the last items sent by a round trip. Items that are under way are not sent again.
#[test]
fn items_under_way_are_not_sent_again_after_a_late_acknowledgement() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = Async::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap()).unwrap();
    let server = Async::new(listener.accept().unwrap().0).unwrap();
    let last = Rc::new(Cell::new(3));
    let (spawner, source) = (Spawner::default(), ScriptedSource(last.clone()));
    spawner.spawn(async move {
        let mut lines = LineReader::new(&server, 64 << 10);
        let first = lines.next_line().await.unwrap();
        let _ = serve_member(&source, &mut lines, serde_json::from_slice(&first).unwrap()).await;
    });
    spawner.block_on(async {
        let mut lines = LineReader::new(&client, 64 << 10);
        let acknowledge = async |incarnation: u64, applied: u64| {
            let ack =
                Ack { member: "a".into(), incarnation, applied, bootstrapped: true, past: Past::default() };
            write_text(&client, &to_line(&ack), Duration::from_secs(5)).await.unwrap();
        };
        let mut received = async || {
            let line = lines.next_line().await.unwrap();
            match serde_json::from_slice(&line).unwrap() {
                ToMember::Items { items, .. } => items.iter().map(|item| item.number).collect::<Vec<_>>(),
                other => panic!("{other:?}"),
            }
        };
        acknowledge(1, 0).await;
        assert_eq!(received().await, [1, 2, 3]);
        last.set(4);
        assert_eq!(received().await, [4], "new items are pushed");
        // The member had not read item 4 yet when it sent this.
        acknowledge(1, 3).await;
        assert_eq!(received().await, Vec::<u64>::new(), "item 4 is under way");
        last.set(6);
        assert_eq!(received().await, [5, 6]);
        acknowledge(1, 4).await;
        assert_eq!(received().await, Vec::<u64>::new());
        // Nothing was sent to another incarnation yet.
        acknowledge(2, 4).await;
        assert_eq!(received().await, [5, 6]);
    });
}
