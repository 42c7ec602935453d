//! The line of a member, against a teller by a script: what it is told, word by word.
use async_io::Async;
use harestage_purge::messages::{Ack, Past, ToMember, to_line};
use harestage_purge::scope::Scope;
use harestage_purge::sequencer::{Item, Payload};
use harestage_purger::below::{Teller, serve};
use harestage_sockets::Spawner;
use harestage_sockets::lines::{LineReader, write_text};
use std::cell::Cell;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Has told so many items, and answers each word by what it says.
struct Script(Rc<Cell<u64>>);

fn items(after: u64, upto: u64) -> ToMember {
    let item = |number: u64| {
        let what = Payload::Purge { scope: Scope::Group(number as u32), tenant: 0, key: "k".into() };
        Item { number, term: 1, at_ms: number, payload: what }
    };
    ToMember::Items { term: 1, items: (after + 1..=upto).map(item).collect() }
}

impl Teller for Script {
    async fn answer(&self, said: &Ack) -> Option<ToMember> {
        Some(items(said.applied, self.0.get()))
    }

    fn elsewhere(&self) -> ToMember {
        ToMember::NotLeader { leader: None }
    }

    fn told(&self) -> Option<u64> {
        Some(self.0.get())
    }

    fn after(&self, number: u64) -> Option<ToMember> {
        Some(items(number, self.0.get()))
    }

    async fn until_news(&self, _: Duration) {
        futures_lite::future::yield_now().await;
    }
}

/// A word is behind what was told by the way there and back. What is on its way to the member is not told again for it.
#[test]
fn a_late_word_brings_nothing_again() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = Async::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap()).unwrap();
    let far = Async::new(listener.accept().unwrap().0).unwrap();
    let last = Rc::new(Cell::new(3));
    let (spawner, script) = (Spawner::default(), Script(last.clone()));
    spawner.spawn(async move {
        let mut lines = LineReader::new(&far, 64 << 10);
        let first = lines.next_line().await.unwrap();
        let _ = serve(&script, &mut lines, serde_json::from_slice(&first).unwrap()).await;
    });
    spawner.block_on(async {
        let mut lines = LineReader::new(&near, 64 << 10);
        let say = async |start: u64, has: u64| {
            let said = Ack {
                member: "a".into(),
                incarnation: start,
                applied: has,
                bootstrapped: true,
                past: Past::default(),
            };
            write_text(&near, &to_line(&said), Duration::from_secs(5)).await.unwrap();
        };
        let mut told = async || {
            let text = lines.next_line().await.unwrap();
            match serde_json::from_slice(&text).unwrap() {
                ToMember::Items { items, .. } => items.iter().map(|item| item.number).collect::<Vec<_>>(),
                other => panic!("{other:?}"),
            }
        };
        say(1, 0).await;
        assert_eq!(told().await, [1, 2, 3]);
        last.set(4);
        assert_eq!(told().await, [4], "what is new comes without being asked for");
        // It had not read that yet when it said what it had before.
        say(1, 3).await;
        assert_eq!(told().await, Vec::<u64>::new(), "4 is on its way");
        last.set(6);
        assert_eq!(told().await, [5, 6]);
        say(1, 4).await;
        assert_eq!(told().await, Vec::<u64>::new());
        // Another start of it was told nothing yet.
        say(2, 4).await;
        assert_eq!(told().await, [5, 6]);
    });
}
