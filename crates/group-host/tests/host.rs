//! The host of a service: who is woken by what, and what becomes of effects when the group's member leads no more.
use futures_lite::future::{block_on, yield_now};
use harestage_group_host::host::{Host, HostedService};
use harestage_group_host::{GroupEvent, GroupMember, GroupMemberConfig};
use harestage_sockets::Spawner;
use harestage_sockets::clock::Clock;
use harestage_sockets::lines::LineReader;
use slog::{Discard, Logger, o};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Longer than any test lasts: a wake is never that of a timer.
const LONG: Duration = Duration::from_secs(600);
/// Turns of the executor in which every task that was woken has run.
const TURNS: usize = 16;

enum Effect {
    Write(Vec<u8>),
    Tell(&'static str),
}

#[derive(Default)]
struct Telling {
    told: RefCell<Vec<&'static str>>,
    laid_down: Cell<usize>,
    broke: Cell<usize>,
}

impl HostedService for Telling {
    /// Entries that were agreed on before.
    type State = usize;
    type Effect = Effect;

    const FAILURE_TEXT: &'static str = "broken";
    const MAX_LINE_BYTES: usize = 64;

    fn open(_: &Host<Telling>, data: &[Vec<u8>]) -> Result<(usize, Vec<Effect>), String> {
        Ok((data.len(), vec![Effect::Write(b"term".to_vec())]))
    }

    fn log_entry(effect: &Effect) -> Option<Vec<u8>> {
        match effect {
            Effect::Write(entry) => Some(entry.clone()),
            Effect::Tell(_) => None,
        }
    }

    fn execute_effect(host: &Host<Telling>, effect: Effect) {
        if let Effect::Tell(what) = effect {
            host.service.told.borrow_mut().push(what);
        }
    }

    fn on_step_down(&self) {
        self.laid_down.set(self.laid_down.get() + 1);
    }

    fn on_failure(host: &Host<Telling>) {
        host.service.broke.set(host.service.broke.get() + 1);
    }

    async fn run(_: &Rc<Host<Telling>>, _: &Spawner) {}

    async fn serve(_: &Host<Telling>, _: &mut LineReader<'_>, _: Vec<u8>) -> Result<(), String> {
        Ok(())
    }
}

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("harestage-host-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn no_old(_: Option<&[u8]>, _: &[Vec<u8>]) -> Result<Vec<Vec<u8>>, String> {
    Err("something else".into())
}

/// A group of one: it leads once it runs, and what it wants is agreed on at once.
fn host(name: &str) -> Rc<Host<Telling>> {
    let (log, start) = (Logger::root(Discard, o!()), GroupMemberConfig::standalone("a"));
    let council = GroupMember::open(&start, &folder(name), Vec::new(), no_old, Clock::start(), log).unwrap();
    Rc::new(Host::new(council, Telling::default()))
}

fn run(host: &Rc<Host<Telling>>, spawner: &Spawner) {
    let hearing = host.clone();
    host.member.run(None, spawner, move |news| hearing.handle_event(news)).unwrap();
}

async fn turns() {
    for _ in 0..TURNS {
        yield_now().await;
    }
}

/// Counts how often somebody who waits for news is woken.
fn count_wakes(host: &Rc<Host<Telling>>, spawner: &Spawner) -> Rc<Cell<usize>> {
    let (host, woken) = (host.clone(), Rc::new(Cell::new(0)));
    let counts = woken.clone();
    spawner.spawn(async move {
        loop {
            host.wait_for_update(LONG).await;
            counts.set(counts.get() + 1);
        }
    });
    woken
}

#[test]
fn only_what_is_told_wakes_those_who_wait_for_news() {
    let (spawner, host) = (Spawner::default(), host("wakes"));
    spawner.block_on(async {
        run(&host, &spawner);
        assert!(host.wait_settled().await, "a group of one agrees at once");
        let woken = count_wakes(&host, &spawner);
        turns().await;
        for _ in 0..3 {
            host.execute(vec![Effect::Write(b"confirmed".to_vec())]);
            turns().await;
        }
        host.execute(Vec::new());
        turns().await;
        assert_eq!((woken.get(), host.member.data().len()), (0, 4), "an entry alone concerns nobody");
        host.execute(vec![Effect::Write(b"item".to_vec()), Effect::Tell("item"), Effect::Tell("more")]);
        turns().await;
        assert_eq!((woken.get(), &host.service.told.borrow()[..]), (1, &["item", "more"][..]));
        host.handle_event(GroupEvent::SteppedDown);
        turns().await;
        assert_eq!(woken.get(), 2, "who speaks has changed");
    });
}

#[test]
fn a_member_that_leads_no_more_tells_nothing_and_knows_nothing() {
    let host = host("down");
    // Before it runs it leads nothing: what it wants is not agreed on, and what is behind it is not told.
    host.execute(vec![Effect::Write(b"early".to_vec()), Effect::Tell("early")]);
    assert_eq!((host.service.laid_down.get(), host.service.told.borrow().len()), (1, 0));
    assert!(!block_on(host.wait_settled()));
    let spawner = Spawner::default();
    spawner.block_on(async {
        run(&host, &spawner);
        assert_eq!(host.with_state(|before| *before), Some(0));
        assert!(host.is_serving() && host.wait_settled().await);
        host.handle_event(GroupEvent::Failed);
        assert_eq!(
            (host.with_state(|before| *before), host.with_unleased_state(|before| *before)),
            (None, None)
        );
        assert_eq!(host.with_state_or(|_| "state".to_string(), |at| format!("{at:?}")), "None");
        assert!(!host.is_serving() && !host.wait_settled().await);
        assert_eq!(host.service.broke.get(), 1);
    });
}
