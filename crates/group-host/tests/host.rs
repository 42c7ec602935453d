//! The host of a service: which events wake waiting tasks, and what happens to effects when the member steps down.
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

/// Longer than any test, so that no task is woken by its timer.
const LONG_TIMEOUT: Duration = Duration::from_secs(600);
/// Number of yields after which every woken task has run.
const YIELDS: usize = 16;

enum Effect {
    Write(Vec<u8>),
    Publish(&'static str),
}

#[derive(Default)]
struct TestService {
    published: RefCell<Vec<&'static str>>,
    step_downs: Cell<usize>,
    failures: Cell<usize>,
}

impl HostedService for TestService {
    /// Number of entries that were committed before.
    type State = usize;
    type Effect = Effect;

    const FAILURE_TEXT: &'static str = "broken";
    const MAX_LINE_BYTES: usize = 64;

    fn open(_: &Host<TestService>, data: &[Vec<u8>]) -> Result<(usize, Vec<Effect>), String> {
        Ok((data.len(), vec![Effect::Write(b"term".to_vec())]))
    }

    fn log_entry(effect: &Effect) -> Option<Vec<u8>> {
        match effect {
            Effect::Write(entry) => Some(entry.clone()),
            Effect::Publish(_) => None,
        }
    }

    fn execute_effect(host: &Host<TestService>, effect: Effect) {
        if let Effect::Publish(item) = effect {
            host.service.published.borrow_mut().push(item);
        }
    }

    fn on_step_down(&self) {
        self.step_downs.set(self.step_downs.get() + 1);
    }

    fn on_failure(host: &Host<TestService>) {
        host.service.failures.set(host.service.failures.get() + 1);
    }

    async fn run(_: &Rc<Host<TestService>>, _: &Spawner) {}

    async fn serve(_: &Host<TestService>, _: &mut LineReader<'_>, _: Vec<u8>) -> Result<(), String> {
        Ok(())
    }
}

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("harestage-host-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn reject_legacy(_: Option<&[u8]>, _: &[Vec<u8>]) -> Result<Vec<Vec<u8>>, String> {
    Err("unknown format".into())
}

/// Returns the only member of a group. It becomes the leader once it runs, and commits its proposals at once.
fn host(name: &str) -> Rc<Host<TestService>> {
    let (log, config) = (Logger::root(Discard, o!()), GroupMemberConfig::standalone("a"));
    let member =
        GroupMember::open(&config, &folder(name), Vec::new(), reject_legacy, Clock::start(), log).unwrap();
    Rc::new(Host::new(member, TestService::default()))
}

fn run(host: &Rc<Host<TestService>>, spawner: &Spawner) {
    let event_host = host.clone();
    host.member.run(None, spawner, move |event| event_host.handle_event(event)).unwrap();
}

async fn run_woken_tasks() {
    for _ in 0..YIELDS {
        yield_now().await;
    }
}

/// Counts how many times a task that waits for updates is woken.
fn count_wakes(host: &Rc<Host<TestService>>, spawner: &Spawner) -> Rc<Cell<usize>> {
    let (host, wakes) = (host.clone(), Rc::new(Cell::new(0)));
    let counter = wakes.clone();
    spawner.spawn(async move {
        loop {
            host.wait_for_update(LONG_TIMEOUT).await;
            counter.set(counter.get() + 1);
        }
    });
    wakes
}

#[test]
fn only_executed_effects_and_leader_changes_wake_waiting_tasks() {
    let (spawner, host) = (Spawner::default(), host("wakes"));
    spawner.block_on(async {
        run(&host, &spawner);
        assert!(host.wait_settled().await, "a single member commits at once");
        let wakes = count_wakes(&host, &spawner);
        run_woken_tasks().await;
        for _ in 0..3 {
            host.execute(vec![Effect::Write(b"confirmed".to_vec())]);
            run_woken_tasks().await;
        }
        host.execute(Vec::new());
        run_woken_tasks().await;
        assert_eq!((wakes.get(), host.member.data().len()), (0, 4), "an entry alone wakes no task");
        host.execute(vec![Effect::Write(b"item".to_vec()), Effect::Publish("item"), Effect::Publish("more")]);
        run_woken_tasks().await;
        assert_eq!((wakes.get(), &host.service.published.borrow()[..]), (1, &["item", "more"][..]));
        host.handle_event(GroupEvent::SteppedDown);
        run_woken_tasks().await;
        assert_eq!(wakes.get(), 2, "the leader has changed");
    });
}

#[test]
fn a_member_that_is_not_the_leader_executes_nothing_and_has_no_state() {
    let host = host("down");
    // Before it runs it is not the leader: its proposals are not committed, and the effects after them not executed.
    host.execute(vec![Effect::Write(b"early".to_vec()), Effect::Publish("early")]);
    assert_eq!((host.service.step_downs.get(), host.service.published.borrow().len()), (1, 0));
    assert!(!block_on(host.wait_settled()));
    let spawner = Spawner::default();
    spawner.block_on(async {
        run(&host, &spawner);
        assert_eq!(host.with_state(|entries| *entries), Some(0));
        assert!(host.is_serving() && host.wait_settled().await);
        host.handle_event(GroupEvent::Failed);
        assert_eq!(
            (host.with_state(|entries| *entries), host.with_unleased_state(|entries| *entries)),
            (None, None)
        );
        assert_eq!(host.with_state_or(|_| "state".to_string(), |leader| format!("{leader:?}")), "None");
        assert!(!host.is_serving() && !host.wait_settled().await);
        assert_eq!(host.service.failures.get(), 1);
    });
}
