//! The routing task with a clock controlled by the test: it adds nothing to the core's orders, and it does
//! what the simulator does by itself.
#[path = "../../../tests/common/mod.rs"]
mod common;

use async_channel::{Receiver, bounded};
use bytes::Bytes;
use common::{CACHES, ORIGIN, PARENTS, profile};
use harestage::interface::{Action, Event, IdRegistry};
use harestage::policy::Policy;
use harestage::state::*;
use harestage::time::{Moment, Span};
use harestage_profile::{NodeKinds, RouterSettings};
use harestage_router::routing::nodes::{NodeEntry, NodeId, NodeTable};
use harestage_router::routing::{ClientId, Input, Loss, PullId, Routing, RoutingConfig, Transport};
use harestage_wire::client::{DownloadRequest, ToClient};
use harestage_wire::feed::{FeedEvent, Member, MemberState};
use harestage_wire::node::{Answer, AnswerStatus};
use harestage_wire::{Packet, fields::HexId};

const START: Moment = Moment::at_micros(1_764_576_000_000_000);
const KINDS: NodeKinds = NodeKinds { parent: Some(1), origin: Some(2) };

/// Records all output; pulls stay unwritten while `stuck` is set.
#[derive(Default)]
struct RecordingTransport {
    answers: Vec<(u64, ToClient)>,
    pulls: Vec<(NodeId, PullId, String)>,
    cancels: Vec<PullId>,
    stuck: bool,
    /// Nodes read nothing, not even cancels.
    nodes_read_nothing: bool,
    renewed: Vec<NodeId>,
    forgotten: Vec<NodeId>,
    /// Receives confirmations; `confirmed_early` records whether one had arrived at each pull and each withdrawal.
    confirmed: Option<Receiver<u64>>,
    confirmed_early: Vec<bool>,
}

impl RecordingTransport {
    fn record_early_confirmation(&mut self) {
        self.confirmed_early.extend(self.confirmed.as_ref().map(|confirmed| !confirmed.is_empty()));
    }
}

impl Transport for RecordingTransport {
    fn answer(&mut self, _: ClientId, tag: u64, answer: ToClient) {
        self.answers.push((tag, answer));
    }
    fn send_pull(&mut self, node: NodeId, _: &NodeEntry, pull: PullId, _: HexId, packet: Packet) -> bool {
        self.record_early_confirmation();
        self.pulls.push((node, pull, String::from_utf8_lossy(&packet.head).into_owned()));
        true
    }
    fn cancel_pull(&mut self, _: NodeId, pull: PullId) -> bool {
        self.cancels.push(pull);
        self.stuck
    }
    fn remove_queued(&mut self, _: NodeId, _: PullId) -> bool {
        self.record_early_confirmation();
        self.stuck
    }
    fn is_cancel_pending(&self, _: NodeId, _: PullId) -> bool {
        self.nodes_read_nothing
    }
    fn replace_connections(&mut self, node: NodeId) {
        self.renewed.push(node);
    }
    fn forget_node(&mut self, node: NodeId) {
        self.forgotten.push(node);
    }
}

fn outside() -> RouterSettings {
    let names = |names: &[&str]| names.iter().map(|n| n.to_string()).collect();
    RouterSettings {
        contents: names(&["page", "write", "cell", "all"]),
        zones: names(&["hub", "other", "here"]),
        kinds: names(&["cache", "parent", "origin"]),
        connect_timeout: Span::millis(400),
        idle_timeout: Span::millis(30_000),
        pulls_per_connection: 100,
        max_held_downloads: 1_000,
        max_retry_after: Span::millis(500),
        max_wait: Span::millis(3_000),
    }
}

fn member(node: u32, state: MemberState, since_ms: u64) -> Member {
    let role = usize::from(PARENTS.contains(&node)) + 2 * usize::from(node == ORIGIN);
    let zone = if role == 0 { "here" } else { "hub" };
    Member {
        name: format!("s-{node:08x}"),
        address: format!("127.0.0.1:{}", 5_000 + node),
        zone: zone.into(),
        kind: ["cache", "parent", "origin"][role].into(),
        cell: (node / 2) as u16,
        state,
        scale: 1.0,
        since_ms,
    }
}

fn all_ready() -> FeedEvent {
    let nodes = CACHES.iter().chain(&PARENTS).chain([&ORIGIN]);
    FeedEvent::Members {
        is_snapshot: true,
        members: nodes.map(|n| member(*n, MemberState::Ready, 0)).collect(),
    }
}

fn download_request(content: &str, object: u64, timeout_ms: u64) -> DownloadRequest {
    let hex = |n: u64| HexId::parse(format!("{n:016x}").as_bytes()).unwrap();
    let (content, held, body) = (Bytes::from(content.to_string()), None, Bytes::new());
    let (id, object) = (hex(object + 77), hex(object));
    let (part, group, repeat, kilobytes, dedup_key) = (0, 3, false, 0.0, None);
    DownloadRequest {
        id,
        content,
        object,
        part,
        group,
        timeout_ms,
        repeat,
        kilobytes,
        dedup_key,
        known_digest: held,
        body,
    }
}

fn answer(word: AnswerStatus, remark: CacheStatus) -> Answer {
    let id = HexId::parse(b"0000000000000001").unwrap();
    Answer { id, status: word, cache_status: remark, first_byte_ms: 0.0, body: Bytes::from("bytes") }
}

struct Fixture {
    routing: Routing,
    transport: RecordingTransport,
    now: Moment,
}

impl Fixture {
    fn open() -> Fixture {
        let (outside, answer_grace, gone_kept) = (outside(), Span::millis(20), Span::millis(10_000));
        let cancel_settles = Span::millis(10);
        let config = RoutingConfig {
            profile: profile(),
            kinds: KINDS,
            outside,
            answer_grace,
            cancel_settles,
            removed_node_retention: gone_kept,
        };
        let routing = Routing::new(config, 11, START);
        let mut fixture = Fixture { routing, transport: RecordingTransport::default(), now: START };
        fixture.handle(vec![Input::Feed(all_ready())]);
        fixture
    }
    fn handle(&mut self, inputs: Vec<Input>) {
        self.routing.step(self.now, inputs.into_iter(), &mut self.transport);
    }
    fn ask(&mut self, tag: u64, content: &str, timeout_ms: u64) -> PullId {
        let request = download_request(content, tag * 1_000, timeout_ms);
        self.handle(vec![Input::Download { client: 1, tag, request, at: self.now }]);
        self.transport.pulls.last().unwrap().1
    }
    fn wait(&mut self, ms: u64) {
        let until = self.now + Span::millis(ms);
        while let Some(due) = self.routing.next_timer().filter(|b| *b <= until) {
            self.now = due.max(self.now);
            self.handle(Vec::new());
        }
        self.now = until;
    }
    fn answered(&self, tag: u64) -> Vec<&ToClient> {
        self.transport.answers.iter().filter(|a| a.0 == tag).map(|a| &a.1).collect()
    }
}

/// Plays one script through the router and directly through the core: the nodes of the pulls, their times and
/// the throttled downloads must be the same.
#[test]
fn the_router_adds_nothing_to_the_orders_of_the_core() {
    let mut fixture = Fixture::open();
    let (mut register, mut node_table) = (IdRegistry::default(), NodeTable::default());
    let mut policy = Policy::new(profile(), 11, START);
    let FeedEvent::Members { members, .. } = all_ready() else { unreachable!() };
    let enter = |m| node_table.apply(m, &mut register, KINDS, &outside(), START).record;
    let listings = members.iter().map(enter).collect();
    let mut timers = Vec::new();
    let mut direct: Vec<(u32, u32)> = Vec::new();
    let mut throttled = 0;
    let mut step = |now: Moment, event: Event, direct: &mut Vec<(u32, u32)>, timers: &mut Vec<Moment>| {
        let mut orders = Vec::new();
        policy.step(now, vec![event], &mut orders);
        for order in orders {
            match order {
                Action::Pull(pull) => direct.push((pull.dl.0, register.node_id(pull.node))),
                Action::SetTimer { after, .. } => timers.push(now + after),
                Action::Throttle { .. } => throttled += 1,
                _ => {}
            }
        }
    };
    step(
        START,
        Event::Membership { update: MembershipUpdate::Snapshot, records: listings },
        &mut direct,
        &mut timers,
    );
    let endings = [
        (AnswerStatus::Fulfilled, PullOutcome::Fulfilled, CacheStatus::FromOrigin),
        (AnswerStatus::Failed, PullOutcome::Error, CacheStatus::Unknown),
        (AnswerStatus::Busy, PullOutcome::Full, CacheStatus::SourceRefused),
        (AnswerStatus::Fulfilled, PullOutcome::Fulfilled, CacheStatus::Hit),
        (AnswerStatus::NotFound, PullOutcome::Missed, CacheStatus::SourceLacks),
    ];
    for round in 0..400u64 {
        // Each download is forgotten before the next arrives, so that both use the same indices.
        let (object, before) = (round % 37 * 1_000, fixture.transport.pulls.len());
        let download = Download {
            content: ContentIndex(0),
            object: ObjectKey(object),
            part: 0,
            group: 3,
            kilobytes: 0.0,
            deadline: fixture.now + Span::millis(2_000),
            is_retry: false,
        };
        fixture.handle(vec![Input::Download {
            client: 1,
            tag: round + 1,
            request: download_request("page", object, 2_000),
            at: fixture.now,
        }]);
        step(fixture.now, Event::Arrived { dl: DownloadIndex(0), download }, &mut direct, &mut timers);
        let mut number = 0;
        while fixture.transport.pulls.len() > before + number {
            let (node, pull, _) = fixture.transport.pulls[before + number].clone();
            let (word, ending, remark) = endings[(round as usize + number) % endings.len()];
            fixture.handle(vec![Input::Answered { pull, answer: answer(word, remark), copy_digest: None }]);
            let (dl, node, closed) = (DownloadIndex(0), NodeIndex(node), ending == PullOutcome::Fulfilled);
            let (took, first_byte) = (Span::ZERO, Span::ZERO);
            let end = PullResult {
                dl,
                attempt: number as u8,
                node,
                outcome: ending,
                cache_status: remark,
                answered: closed,
                duration: took,
                first_byte,
            };
            step(fixture.now, Event::PullEnded(end), &mut direct, &mut timers);
            number += 1;
        }
        let until = fixture.now + Span::millis(7 + round % 11);
        while let Some(at) = timers.first().copied().filter(|at| *at <= until) {
            timers.remove(0);
            step(at, Event::TimerFired { timer: 0 }, &mut direct, &mut timers);
        }
        fixture.wait(7 + round % 11);
    }
    assert!(direct.len() > 400, "pulls go on after failures");
    let routed: Vec<NodeId> = fixture.transport.pulls.iter().map(|p| p.0).collect();
    assert_eq!(routed, direct.iter().map(|d| d.1).collect::<Vec<_>>());
    let refused = |a: &&(u64, ToClient)| matches!(a.1, ToClient::Throttled { .. });
    assert_eq!(fixture.transport.answers.iter().filter(refused).count(), throttled);
    assert_eq!(fixture.transport.answers.len(), 400, "each download has one answer");
}

#[test]
fn a_deadline_ends_the_pull_and_answers_at_once() {
    let mut fixture = Fixture::open();
    let pull = fixture.ask(1, "page", 300);
    fixture.wait(299);
    assert!(fixture.answered(1).is_empty());
    fixture.wait(2);
    assert_eq!(fixture.answered(1).len(), 1);
    assert_eq!(fixture.transport.cancels, [pull]);
    // Input after the end is ignored.
    fixture.handle(vec![Input::Answered {
        pull,
        answer: answer(AnswerStatus::Fulfilled, CacheStatus::Hit),
        copy_digest: None,
    }]);
    fixture.wait(500);
    assert_eq!(fixture.answered(1).len(), 1);
    assert_eq!(fixture.routing.unanswered(), 0);
}

#[test]
fn an_answer_in_the_step_of_the_deadline_is_passed_on_once() {
    let mut fixture = Fixture::open();
    let pull = fixture.ask(1, "page", 300);
    fixture.now = fixture.now + Span::millis(300);
    fixture.handle(vec![Input::Answered {
        pull,
        answer: answer(AnswerStatus::Fulfilled, CacheStatus::Hit),
        copy_digest: None,
    }]);
    fixture.wait(200);
    assert_eq!(fixture.answered(1), [&ToClient::Fulfilled { body: Bytes::from("bytes") }]);
}

/// A reset after the request was written whole proves nothing, so a download that must not run twice is
/// abandoned. A connection that never came up proves that the pull did not run, so it may go to another node.
#[test]
fn a_non_retriable_download_is_retried_only_if_it_provably_never_ran() {
    let mut fixture = Fixture::open();
    let pull = fixture.ask(1, "write", 2_000);
    fixture.handle(vec![Input::Lost { pull, loss: Loss::NotSent }]);
    let second = fixture.transport.pulls.last().unwrap().1;
    assert_ne!(pull, second, "it was not sent, so it is retried");
    fixture.handle(vec![Input::Lost { pull: second, loss: Loss::ConnectionBroken }]);
    assert_eq!(fixture.transport.pulls.len(), 2);
    assert_eq!(fixture.answered(1), [&ToClient::Abandoned]);
    for (tag, word) in (2..).zip([AnswerStatus::Busy, AnswerStatus::TooLate, AnswerStatus::Failed]) {
        let pull = fixture.ask(tag, "write", 2_000);
        fixture.handle(vec![Input::Answered {
            pull,
            answer: answer(word, CacheStatus::Unknown),
            copy_digest: None,
        }]);
        let failed = fixture.answered(tag).contains(&&ToClient::Abandoned);
        assert_eq!(failed, word == AnswerStatus::Failed, "{word:?}");
        fixture.handle(vec![Input::Disconnected { client: 1 }]);
    }
}

#[test]
fn a_client_that_leaves_gets_no_answer_and_its_pull_is_cancelled() {
    let mut fixture = Fixture::open();
    let first = fixture.ask(1, "page", 2_000);
    fixture.handle(vec![Input::Cancel { client: 1, tag: 1 }]);
    let second = fixture.ask(2, "page", 2_000);
    fixture.handle(vec![Input::Disconnected { client: 1 }]);
    assert_eq!(fixture.transport.cancels, [first, second]);
    fixture.wait(3_000);
    assert!(fixture.transport.answers.is_empty());
}

/// The next pull may use another connection than the cancel, and must not overtake it: some operators don't
/// allow two concurrent pulls of one download.
#[test]
fn a_cancelled_pull_is_followed_only_after_its_cancel_has_settled() {
    let mut fixture = Fixture::open();
    let first = fixture.ask(1, "page", 2_000);
    let members = vec![member(fixture.transport.pulls[0].0, MemberState::Removed, 0)];
    fixture.handle(vec![Input::Feed(FeedEvent::Members { is_snapshot: false, members })]);
    assert_eq!(fixture.transport.cancels, [first]);
    fixture.wait(9);
    assert_eq!(fixture.transport.pulls.len(), 1, "{:?}", fixture.transport.pulls);
    fixture.wait(2);
    assert_eq!(fixture.transport.pulls.len(), 2);
    assert_ne!(fixture.transport.pulls[1].0, fixture.transport.pulls[0].0);
}

/// A pull that waits for its connection must not reach a node that starts to drain, nor accept a copy by an
/// age limit from before a purge. A pull that was sent goes on.
#[test]
fn queued_pulls_are_withdrawn_by_drains_and_purges() {
    for stuck in [true, false] {
        let mut fixture = Fixture::open();
        fixture.ask(1, "page", 2_000);
        fixture.transport.stuck = stuck;
        let (node, _, _) = fixture.transport.pulls[0].clone();
        let members = vec![member(CACHES[node as usize], MemberState::Draining, 0)];
        fixture.handle(vec![Input::Feed(FeedEvent::Members { is_snapshot: false, members })]);
        let moved: Vec<NodeId> = fixture.transport.pulls[1..].iter().map(|p| p.0).collect();
        assert_eq!(moved.len(), usize::from(stuck));
        assert!(!moved.contains(&node));

        let mut fixture = Fixture::open();
        fixture.ask(1, "page", 2_000);
        fixture.transport.stuck = stuck;
        let at_ms = fixture.now.micros() / 1_000 - 1_500;
        fixture.handle(vec![Input::Feed(FeedEvent::Purge { object: Some(1_000), group: 0, at_ms })]);
        let again: Vec<&String> = fixture.transport.pulls[1..].iter().map(|p| &p.2).collect();
        assert_eq!(again.len(), usize::from(stuck));
        assert!(again.iter().all(|head| head.contains("accept=1495")), "{again:?}");
    }
}

#[test]
fn a_new_process_under_an_old_name_gets_new_connections() {
    let mut fixture = Fixture::open();
    let update = |state, since| {
        Input::Feed(FeedEvent::Members { is_snapshot: false, members: vec![member(CACHES[1], state, since)] })
    };
    fixture.handle(vec![update(MemberState::Ready, 0), update(MemberState::Draining, 0)]);
    assert!(fixture.transport.renewed.is_empty(), "a drain leaves pulls running");
    fixture.handle(vec![update(MemberState::Removed, 0), update(MemberState::Ready, 1_764_576_000_000)]);
    assert_eq!(fixture.transport.renewed, [1, 1], "at the removal and at the return");
}

#[test]
fn a_process_at_the_address_of_another_is_not_taken_for_it() {
    let mut fixture = Fixture::open();
    fixture.ask(1, "page", 2_000);
    let (old, _, _) = fixture.transport.pulls[0].clone();
    let at_address_of = |node: u32, name: &str, state, since| {
        let member = Member { name: name.into(), ..member(node, state, since) };
        Input::Feed(FeedEvent::Members { is_snapshot: false, members: vec![member] })
    };
    let old_name = format!("s-{old:08x}");
    // The feed tells of the new process before the end of the old one.
    fixture.transport.stuck = true;
    fixture.handle(vec![at_address_of(old, "s-new", MemberState::Ready, 1_764_576_000_000)]);
    assert_eq!(fixture.transport.renewed, [old]);
    let placed: Vec<NodeId> = fixture.transport.pulls.iter().map(|pull| pull.0).collect();
    assert!(placed.len() == 2 && placed[1] != old, "the queued pull goes elsewhere: {placed:?}");
    // Late news of the old process changes nothing.
    fixture.handle(vec![at_address_of(old, &old_name, MemberState::Ready, 0)]);
    for tag in 2..20 {
        fixture.ask(tag, "page", 2_000);
    }
    assert!(fixture.transport.pulls.iter().skip(1).all(|pull| pull.0 != old));
    fixture.handle(vec![at_address_of(old, "s-new", MemberState::Removed, 1_764_576_000_000)]);
    fixture.handle(vec![at_address_of(old, &old_name, MemberState::Ready, 0)]);
    for tag in 20..60 {
        fixture.ask(tag, "page", 2_000);
    }
    assert!(fixture.transport.pulls.iter().skip(1).any(|pull| pull.0 == old), "it is back");
}

#[test]
fn pulls_queued_for_a_process_that_was_replaced_are_placed_again() {
    let mut fixture = Fixture::open();
    let first = fixture.ask(1, "write", 2_000);
    fixture.transport.stuck = true;
    let cache = fixture.transport.pulls[0].0;
    let replaced = vec![member(cache, MemberState::Ready, 1_764_576_000_000)];
    fixture.handle(vec![Input::Feed(FeedEvent::Members { is_snapshot: false, members: replaced })]);
    let last = fixture.transport.pulls.last().unwrap();
    assert!(last.1 != first && fixture.transport.pulls.len() == 2, "{last:?}");
}

/// Guards memory on days when caches are often replaced under new names. What was learnt about a removed
/// cache must not be applied to the next one with its index.
#[test]
fn nodes_that_were_removed_long_ago_are_forgotten() {
    let mut fixture = Fixture::open();
    for day in 0..40u32 {
        let (old, new) = (100 + day, 101 + day);
        let at_ms = fixture.now.micros() / 1_000;
        let members = vec![member(old, MemberState::Removed, 1), member(new, MemberState::Ready, at_ms)];
        fixture.handle(vec![Input::Feed(FeedEvent::Members { is_snapshot: false, members })]);
        fixture.wait(2_000);
        let pull = fixture.ask(u64::from(day) + 1, "page", 1_000);
        assert!(!fixture.transport.forgotten.contains(&fixture.transport.pulls.last().unwrap().0));
        fixture.handle(vec![Input::Answered {
            pull,
            answer: answer(AnswerStatus::Fulfilled, CacheStatus::Hit),
            copy_digest: None,
        }]);
    }
    assert!(fixture.transport.forgotten.len() >= 34, "{:?}", fixture.transport.forgotten);
    let (first, last) = (fixture.transport.forgotten[0], *fixture.transport.forgotten.last().unwrap());
    assert_eq!(last - first + 1, fixture.transport.forgotten.len() as u32, "one after the other, none twice");
    let mut register = IdRegistry::default();
    let mut node_table = NodeTable::default();
    for day in 0..40u32 {
        let entry = |state| member(100 + day, state, 1);
        let now = START + Span::millis(u64::from(day) * 1_000);
        for state in [MemberState::Ready, MemberState::Removed] {
            let no = node_table.apply(&entry(state), &mut register, KINDS, &outside(), now);
            assert!(no.record.node.0 < 3, "indices are reused: {:?}", no.record.node);
        }
        if let Some(old) = day.checked_sub(2) {
            assert!(!node_table.forget(old, Span::millis(2_001), now, &mut register), "too soon");
            assert!(node_table.forget(old, Span::millis(2_000), now, &mut register));
            assert!(!node_table.forget(old, Span::ZERO, now, &mut register), "twice");
        }
    }
}

/// Guards against answers taken for those of another download, and bytes taken for another object's.
#[test]
fn the_id_of_an_open_download_can_not_be_used_again() {
    let mut fixture = Fixture::open();
    fixture.ask(1, "page", 2_000);
    let reused_id = DownloadRequest {
        object: HexId::parse(b"00000000000000ff").unwrap(),
        ..download_request("page", 1_000, 2_000)
    };
    let asked = |tag, client| Input::Download { client, tag, request: reused_id.clone(), at: START };
    fixture.handle(vec![asked(2, 1), asked(3, 2)]);
    assert_eq!(
        (fixture.answered(2), fixture.answered(3)),
        (vec![&ToClient::Abandoned], vec![&ToClient::Abandoned])
    );
    assert_eq!(fixture.transport.pulls.len(), 1);
    let pull = fixture.transport.pulls[0].1;
    fixture.handle(vec![Input::Answered {
        pull,
        answer: answer(AnswerStatus::Fulfilled, CacheStatus::Hit),
        copy_digest: None,
    }]);
    assert_eq!(fixture.answered(1).len(), 1);
    fixture.handle(vec![asked(4, 1)]);
    assert_eq!(fixture.transport.pulls.len(), 2, "the id is free again after the answer");
}

#[test]
fn an_id_that_may_have_run_does_not_run_again_after_its_client_has_left() {
    for (content, pulls) in [("write", 1), ("cell", 1), ("page", 2)] {
        let mut fixture = Fixture::open();
        fixture.ask(1, content, 2_000);
        fixture.handle(vec![Input::Disconnected { client: 1 }]);
        fixture.wait(100);
        let request = download_request(content, 1_000, 2_000);
        fixture.handle(vec![Input::Download { client: 2, tag: 5, request, at: fixture.now }]);
        assert_eq!(fixture.transport.pulls.len(), pulls, "{content}");
        let answers = if pulls == 1 { vec![&ToClient::Abandoned] } else { vec![] };
        assert_eq!(fixture.answered(5), answers, "{content}");
    }
}

#[test]
fn an_id_that_provably_never_ran_is_free_again() {
    let mut fixture = Fixture::open();
    fixture.transport.stuck = true;
    fixture.ask(1, "write", 2_000);
    fixture.handle(vec![Input::Disconnected { client: 1 }]);
    fixture.wait(100);
    fixture.ask(1, "write", 2_000);
    assert_eq!(fixture.transport.pulls.len(), 2);
}

#[test]
fn an_unknown_content_type_is_abandoned() {
    let mut fixture = Fixture::open();
    fixture.handle(vec![Input::Download {
        client: 1,
        tag: 1,
        request: download_request("nothing", 1, 500),
        at: START,
    }]);
    assert_eq!(fixture.answered(1), [&ToClient::Abandoned]);
    assert!(fixture.transport.pulls.is_empty());
}

/// A repeat may wait for its connection until the dedup window of the first pull is over, and no longer.
#[test]
fn a_deduped_repeat_that_waits_too_long_is_never_sent() {
    for stuck in [true, false] {
        let mut fixture = Fixture::open();
        let first = fixture.ask(1, "all", 3_000);
        fixture.wait(300);
        fixture.handle(vec![Input::Lost { pull: first, loss: Loss::ConnectionBroken }]);
        assert_eq!(fixture.transport.pulls.len(), 2, "retried within the dedup window");
        fixture.transport.stuck = stuck;
        fixture.wait(699);
        assert!(fixture.answered(1).is_empty());
        fixture.wait(2);
        assert_eq!(fixture.transport.pulls.len(), 2, "no retry after the dedup window");
        assert_eq!(fixture.answered(1).len(), usize::from(stuck), "a pull that was sent goes on");
    }
}

/// Guards against concurrent pulls of one download where the node does not even read the cancel.
#[test]
fn no_pull_follows_while_a_cancel_is_not_written() {
    let mut fixture = Fixture::open();
    fixture.ask(1, "page", 2_000);
    fixture.transport.nodes_read_nothing = true;
    let members = vec![member(fixture.transport.pulls[0].0, MemberState::Removed, 0)];
    fixture.handle(vec![Input::Feed(FeedEvent::Members { is_snapshot: false, members })]);
    fixture.wait(300);
    assert_eq!((fixture.transport.cancels.len(), fixture.transport.pulls.len()), (1, 1));
    fixture.transport.nodes_read_nothing = false;
    fixture.wait(11);
    assert_eq!(fixture.transport.pulls.len(), 2);
}

/// A client disconnects or cancels while its next pull waits for the previous cancel to settle.
#[test]
fn no_retry_follows_for_a_client_that_has_left() {
    for leaves in [Input::Cancel { client: 1, tag: 1 }, Input::Disconnected { client: 1 }] {
        let mut fixture = Fixture::open();
        fixture.ask(1, "page", 2_000);
        let members = vec![member(fixture.transport.pulls[0].0, MemberState::Removed, 0)];
        fixture.handle(vec![Input::Feed(FeedEvent::Members { is_snapshot: false, members })]);
        fixture.wait(5);
        fixture.handle(vec![leaves]);
        fixture.wait(2_000);
        assert_eq!(fixture.transport.pulls.len(), 1);
        assert!(fixture.transport.answers.is_empty());
    }
}

/// A request and its client's disconnect are handled in one step: no byte of the pull may be sent.
#[test]
fn a_download_requested_and_given_up_in_one_step_is_withdrawn_in_it() {
    let mut fixture = Fixture::open();
    fixture.transport.stuck = true;
    let asked = Input::Download {
        client: 1,
        tag: 1,
        request: download_request("page", 1_000, 2_000),
        at: fixture.now,
    };
    fixture.handle(vec![asked, Input::Disconnected { client: 1 }]);
    assert_eq!(fixture.transport.cancels.len(), fixture.transport.pulls.len(), "withdrawn in the same step");
    fixture.wait(2_000);
    assert!(fixture.transport.answers.is_empty() && fixture.routing.unanswered() == 0);
}

/// A queued pull is withdrawn and placed again because of a purge; only then is the purge confirmed.
#[test]
fn a_purge_is_confirmed_after_its_consequences() {
    let mut fixture = Fixture::open();
    fixture.ask(1, "page", 2_000);
    let (to, confirmed) = bounded(1);
    fixture.transport.stuck = true;
    fixture.transport.confirmed = Some(confirmed.clone());
    let purge = FeedEvent::Purge { object: Some(1_000), group: 0, at_ms: START.micros() / 1_000 };
    let confirm = |number: u64| Input::Confirm { number, to: to.clone() };
    fixture.handle(vec![Input::Feed(purge), confirm(7), confirm(8)]);
    assert!(
        fixture.transport.confirmed_early.len() >= 2
            && fixture.transport.confirmed_early.iter().all(|confirmed_early| !confirmed_early),
        "{:?}",
        fixture.transport.confirmed_early
    );
    assert_eq!((confirmed.try_recv(), confirmed.is_empty()), (Ok(8), true), "only the newest number is kept");
    // The receiver is gone: sending to it does not hold up the routing task.
    drop(fixture.transport.confirmed.take());
    drop(confirmed);
    fixture.handle(vec![Input::Confirm { number: 9, to: to.clone() }]);
    assert!(fixture.transport.answers.is_empty());
}
