//! The routing task on a clock given by the test: it adds nothing to what the core orders, and it carries out
//! what the simulator does by itself.
#[path = "../../../tests/common/mod.rs"]
mod common;

use async_channel::{Receiver, bounded};
use bytes::Bytes;
use common::{CACHES, ORIGIN, PARENTS, profile};
use harestage::brain::Brain;
use harestage::door::{Event, Order, Register};
use harestage::state::*;
use harestage::time::{Moment, Span};
use harestage_profile::{Kinds, Outside};
use harestage_router::routing::nodes::{NodeEntry, NodeId, NodeTable};
use harestage_router::routing::{ClientId, Input, Loss, PullId, Routing, RoutingConfig, Transport};
use harestage_wire::client::{DownloadRequest, ToClient};
use harestage_wire::feed::{FeedEvent, Member, MemberState};
use harestage_wire::node::{Answer, AnswerStatus};
use harestage_wire::{Packet, fields::HexId};

const START: Moment = Moment::at_micros(1_764_576_000_000_000);
const KINDS: Kinds = Kinds { parent: Some(1), origin: Some(2) };

/// Notes what goes out; pulls stay unwritten while `stuck` is set.
#[derive(Default)]
struct Paper {
    answers: Vec<(u64, ToClient)>,
    pulls: Vec<(NodeId, PullId, String)>,
    cancels: Vec<PullId>,
    stuck: bool,
    /// Nodes take nothing, cancels among it.
    deaf: bool,
    renewed: Vec<NodeId>,
    forgotten: Vec<NodeId>,
    /// What is confirmed comes here; and whether there was something already at each pull and each one taken back.
    confirmed: Option<Receiver<u64>>,
    early: Vec<bool>,
}

impl Paper {
    fn note_early(&mut self) {
        self.early.extend(self.confirmed.as_ref().map(|confirmed| !confirmed.is_empty()));
    }
}

impl Transport for Paper {
    fn answer(&mut self, _: ClientId, tag: u64, answer: ToClient) {
        self.answers.push((tag, answer));
    }
    fn send_pull(&mut self, node: NodeId, _: &NodeEntry, pull: PullId, _: HexId, packet: Packet) -> bool {
        self.note_early();
        self.pulls.push((node, pull, String::from_utf8_lossy(&packet.head).into_owned()));
        true
    }
    fn cancel_pull(&mut self, _: NodeId, pull: PullId) -> bool {
        self.cancels.push(pull);
        self.stuck
    }
    fn remove_queued(&mut self, _: NodeId, _: PullId) -> bool {
        self.note_early();
        self.stuck
    }
    fn is_cancel_pending(&self, _: NodeId, _: PullId) -> bool {
        self.deaf
    }
    fn replace_connections(&mut self, node: NodeId) {
        self.renewed.push(node);
    }
    fn forget_node(&mut self, node: NodeId) {
        self.forgotten.push(node);
    }
}

fn outside() -> Outside {
    let names = |names: &[&str]| names.iter().map(|n| n.to_string()).collect();
    Outside {
        contents: names(&["page", "write", "cell", "all"]),
        zones: names(&["hub", "other", "here"]),
        kinds: names(&["cache", "parent", "origin"]),
        connect_within: Span::millis(400),
        idle_closes_after: Span::millis(30_000),
        pulls_per_connection: 100,
        most_held: 1_000,
        longest_retry_after: Span::millis(500),
        longest_wait: Span::millis(3_000),
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

fn wish(content: &str, object: u64, waits_ms: u64) -> DownloadRequest {
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
        timeout_ms: waits_ms,
        repeat,
        kilobytes,
        dedup_key,
        known_digest: held,
        body,
    }
}

fn answer(word: AnswerStatus, remark: Remark) -> Answer {
    let id = HexId::parse(b"0000000000000001").unwrap();
    Answer { id, status: word, remark, first_byte_ms: 0.0, body: Bytes::from("bytes") }
}

struct Fixture {
    routing: Routing,
    paper: Paper,
    now: Moment,
}

impl Fixture {
    fn open() -> Fixture {
        let (outside, answer_grace, gone_kept) = (outside(), Span::millis(20), Span::millis(10_000));
        let cancel_settles = Span::millis(10);
        let terms = RoutingConfig {
            profile: profile(),
            kinds: KINDS,
            outside,
            answer_grace,
            cancel_settles,
            removed_node_retention: gone_kept,
        };
        let routing = Routing::new(terms, 11, START);
        let mut bed = Fixture { routing, paper: Paper::default(), now: START };
        bed.hear(vec![Input::Feed(all_ready())]);
        bed
    }
    fn hear(&mut self, news: Vec<Input>) {
        self.routing.step(self.now, news.into_iter(), &mut self.paper);
    }
    fn ask(&mut self, tag: u64, content: &str, waits_ms: u64) -> PullId {
        let wish = wish(content, tag * 1_000, waits_ms);
        self.hear(vec![Input::Download { client: 1, tag, request: wish, at: self.now }]);
        self.paper.pulls.last().unwrap().1
    }
    fn wait(&mut self, ms: u64) {
        let until = self.now + Span::millis(ms);
        while let Some(due) = self.routing.next_timer().filter(|b| *b <= until) {
            self.now = due.max(self.now);
            self.hear(Vec::new());
        }
        self.now = until;
    }
    fn answered(&self, tag: u64) -> Vec<&ToClient> {
        self.paper.answers.iter().filter(|a| a.0 == tag).map(|a| &a.1).collect()
    }
}

/// Plays one script both ways: whom the router pulls from, when, and whom it throttles must be what the core says.
#[test]
fn the_router_adds_nothing_to_what_the_core_orders() {
    let mut bed = Fixture::open();
    let (mut register, mut contacts) = (Register::default(), NodeTable::default());
    let mut brain = Brain::open(profile(), 11, START);
    let FeedEvent::Members { members, .. } = all_ready() else { unreachable!() };
    let enter = |m| contacts.apply(m, &mut register, KINDS, &outside(), START).record;
    let listings = members.iter().map(enter).collect();
    let mut timers = Vec::new();
    let mut direct: Vec<(u32, u32)> = Vec::new();
    let mut throttled = 0;
    let mut turn = |now: Moment, event: Event, direct: &mut Vec<(u32, u32)>, timers: &mut Vec<Moment>| {
        let mut orders = Vec::new();
        brain.turn(now, vec![event], &mut orders);
        for order in orders {
            match order {
                Order::Pull(pull) => direct.push((pull.dl.0, register.node_id(pull.node))),
                Order::SetTimer { after, .. } => timers.push(now + after),
                Order::Throttle { .. } => throttled += 1,
                _ => {}
            }
        }
    };
    turn(START, Event::Roster { news: RosterNews::Whole, listings }, &mut direct, &mut timers);
    let endings = [
        (AnswerStatus::Fulfilled, Ending::Fulfilled, Remark::FromOrigin),
        (AnswerStatus::Failed, Ending::Error, Remark::Nothing),
        (AnswerStatus::Busy, Ending::Full, Remark::SourceRefused),
        (AnswerStatus::Fulfilled, Ending::Fulfilled, Remark::Hit),
        (AnswerStatus::NotFound, Ending::Missed, Remark::SourceLacks),
    ];
    for round in 0..400u64 {
        // No download is ever forgotten before the next comes, so that both give out the same indices.
        let (object, before) = (round % 37 * 1_000, bed.paper.pulls.len());
        let download = Download {
            content: ContentIx(0),
            object: ObjectKey(object),
            part: 0,
            group: 3,
            kilobytes: 0.0,
            leaves_at: bed.now + Span::millis(2_000),
            repeat: false,
        };
        bed.hear(vec![Input::Download {
            client: 1,
            tag: round + 1,
            request: wish("page", object, 2_000),
            at: bed.now,
        }]);
        turn(bed.now, Event::Arrived { dl: DlIx(0), download }, &mut direct, &mut timers);
        let mut number = 0;
        while bed.paper.pulls.len() > before + number {
            let (node, pull, _) = bed.paper.pulls[before + number].clone();
            let (word, ending, remark) = endings[(round as usize + number) % endings.len()];
            bed.hear(vec![Input::Answered { pull, answer: answer(word, remark), copy_digest: None }]);
            let (dl, node, closed) = (DlIx(0), NodeIx(node), ending == Ending::Fulfilled);
            let (took, first_byte) = (Span::ZERO, Span::ZERO);
            let end = PullEnd { dl, pull: number as u8, node, ending, remark, closed, took, first_byte };
            turn(bed.now, Event::Ended(end), &mut direct, &mut timers);
            number += 1;
        }
        let until = bed.now + Span::millis(7 + round % 11);
        while let Some(at) = timers.first().copied().filter(|at| *at <= until) {
            timers.remove(0);
            turn(at, Event::TimerFired { timer: 0 }, &mut direct, &mut timers);
        }
        bed.wait(7 + round % 11);
    }
    assert!(direct.len() > 400, "pulls go on after failures");
    let routed: Vec<NodeId> = bed.paper.pulls.iter().map(|p| p.0).collect();
    assert_eq!(routed, direct.iter().map(|d| d.1).collect::<Vec<_>>());
    let refused = |a: &&(u64, ToClient)| matches!(a.1, ToClient::Throttled { .. });
    assert_eq!(bed.paper.answers.iter().filter(refused).count(), throttled);
    assert_eq!(bed.paper.answers.len(), 400, "each download has one answer");
}

#[test]
fn a_deadline_ends_the_pull_and_answers_at_once() {
    let mut bed = Fixture::open();
    let pull = bed.ask(1, "page", 300);
    bed.wait(299);
    assert!(bed.answered(1).is_empty());
    bed.wait(2);
    assert_eq!(bed.answered(1).len(), 1);
    assert_eq!(bed.paper.cancels, [pull]);
    // What comes after the end is passed over.
    bed.hear(vec![Input::Answered {
        pull,
        answer: answer(AnswerStatus::Fulfilled, Remark::Hit),
        copy_digest: None,
    }]);
    bed.wait(500);
    assert_eq!(bed.answered(1).len(), 1);
    assert_eq!(bed.routing.unanswered(), 0);
}

#[test]
fn an_answer_in_the_turn_of_the_deadline_is_passed_on_once() {
    let mut bed = Fixture::open();
    let pull = bed.ask(1, "page", 300);
    bed.now = bed.now + Span::millis(300);
    bed.hear(vec![Input::Answered {
        pull,
        answer: answer(AnswerStatus::Fulfilled, Remark::Hit),
        copy_digest: None,
    }]);
    bed.wait(200);
    assert_eq!(bed.answered(1), [&ToClient::Fulfilled { body: Bytes::from("bytes") }]);
}

/// A reset after the request was written whole proves nothing, so what must not run twice is abandoned; a
/// connection that never came up proves that it may go elsewhere.
#[test]
fn a_non_retriable_download_goes_again_only_after_proof() {
    let mut bed = Fixture::open();
    let pull = bed.ask(1, "write", 2_000);
    bed.hear(vec![Input::Lost { pull, loss: Loss::NotSent }]);
    let second = bed.paper.pulls.last().unwrap().1;
    assert_ne!(pull, second, "never left: goes on");
    bed.hear(vec![Input::Lost { pull: second, loss: Loss::ConnectionBroken }]);
    assert_eq!(bed.paper.pulls.len(), 2);
    assert_eq!(bed.answered(1), [&ToClient::Abandoned]);
    for word in [AnswerStatus::Busy, AnswerStatus::TooLate, AnswerStatus::Failed] {
        let pull = bed.ask(2, "write", 2_000);
        bed.hear(vec![Input::Answered { pull, answer: answer(word, Remark::Nothing), copy_digest: None }]);
        let failed = bed.answered(2).contains(&&ToClient::Abandoned);
        assert_eq!(failed, word == AnswerStatus::Failed, "{word:?}");
        bed.hear(vec![Input::Disconnected { client: 1 }]);
    }
}

#[test]
fn a_client_that_leaves_is_owed_nothing_and_its_pull_is_called_back() {
    let mut bed = Fixture::open();
    let first = bed.ask(1, "page", 2_000);
    bed.hear(vec![Input::Cancel { client: 1, tag: 1 }]);
    let second = bed.ask(2, "page", 2_000);
    bed.hear(vec![Input::Disconnected { client: 1 }]);
    assert_eq!(bed.paper.cancels, [first, second]);
    bed.wait(3_000);
    assert!(bed.paper.answers.is_empty());
}

/// The next pull may go over another connection than the cancel, and must not overtake it: some operators allow no
/// two at work at once.
#[test]
fn what_is_called_back_goes_on_only_once_its_cancel_has_settled() {
    let mut bed = Fixture::open();
    let first = bed.ask(1, "page", 2_000);
    let members = vec![member(bed.paper.pulls[0].0, MemberState::Removed, 0)];
    bed.hear(vec![Input::Feed(FeedEvent::Members { is_snapshot: false, members })]);
    assert_eq!(bed.paper.cancels, [first]);
    bed.wait(9);
    assert_eq!(bed.paper.pulls.len(), 1, "{:?}", bed.paper.pulls);
    bed.wait(2);
    assert_eq!(bed.paper.pulls.len(), 2);
    assert_ne!(bed.paper.pulls[1].0, bed.paper.pulls[0].0);
}

/// A pull that waits for its connection must not reach a node that drains meanwhile, nor carry copy limits from
/// before a purge; one that is out runs on.
#[test]
fn queued_pulls_are_dropped_by_drains_and_purges() {
    for stuck in [true, false] {
        let mut bed = Fixture::open();
        bed.ask(1, "page", 2_000);
        bed.paper.stuck = stuck;
        let (node, _, _) = bed.paper.pulls[0].clone();
        let members = vec![member(CACHES[node as usize], MemberState::Draining, 0)];
        bed.hear(vec![Input::Feed(FeedEvent::Members { is_snapshot: false, members })]);
        let moved: Vec<NodeId> = bed.paper.pulls[1..].iter().map(|p| p.0).collect();
        assert_eq!(moved.len(), usize::from(stuck));
        assert!(!moved.contains(&node));

        let mut bed = Fixture::open();
        bed.ask(1, "page", 2_000);
        bed.paper.stuck = stuck;
        let at_ms = bed.now.micros() / 1_000 - 1_500;
        bed.hear(vec![Input::Feed(FeedEvent::Purge { object: Some(1_000), group: 0, at_ms })]);
        let again: Vec<&String> = bed.paper.pulls[1..].iter().map(|p| &p.2).collect();
        assert_eq!(again.len(), usize::from(stuck));
        assert!(again.iter().all(|head| head.contains("accept=1495")), "{again:?}");
    }
}

#[test]
fn a_new_process_under_an_old_name_gets_new_connections() {
    let mut bed = Fixture::open();
    let relist = |state, since| {
        Input::Feed(FeedEvent::Members { is_snapshot: false, members: vec![member(CACHES[1], state, since)] })
    };
    bed.hear(vec![relist(MemberState::Ready, 0), relist(MemberState::Draining, 0)]);
    assert!(bed.paper.renewed.is_empty(), "a drain leaves pulls running");
    bed.hear(vec![relist(MemberState::Removed, 0), relist(MemberState::Ready, 1_764_576_000_000)]);
    assert_eq!(bed.paper.renewed, [1, 1], "once gone, and once it is there again");
}

/// Guards memory on a day on which caches are replaced under new names all the time. What was known of one that
/// is gone must not pass for the next one's.
#[test]
fn names_that_are_gone_for_long_are_forgotten() {
    let mut bed = Fixture::open();
    for day in 0..40u32 {
        let (old, new) = (100 + day, 101 + day);
        let at_ms = bed.now.micros() / 1_000;
        let members = vec![member(old, MemberState::Removed, 1), member(new, MemberState::Ready, at_ms)];
        bed.hear(vec![Input::Feed(FeedEvent::Members { is_snapshot: false, members })]);
        bed.wait(2_000);
        let pull = bed.ask(u64::from(day) + 1, "page", 1_000);
        assert!(!bed.paper.forgotten.contains(&bed.paper.pulls.last().unwrap().0));
        bed.hear(vec![Input::Answered {
            pull,
            answer: answer(AnswerStatus::Fulfilled, Remark::Hit),
            copy_digest: None,
        }]);
    }
    assert!(bed.paper.forgotten.len() >= 34, "{:?}", bed.paper.forgotten);
    let (first, last) = (bed.paper.forgotten[0], *bed.paper.forgotten.last().unwrap());
    assert_eq!(last - first + 1, bed.paper.forgotten.len() as u32, "one after the other, and none twice");
    let mut register = Register::default();
    let mut contacts = NodeTable::default();
    for day in 0..40u32 {
        let gone = |state| member(100 + day, state, 1);
        let now = START + Span::millis(u64::from(day) * 1_000);
        for state in [MemberState::Ready, MemberState::Removed] {
            let no = contacts.apply(&gone(state), &mut register, KINDS, &outside(), now);
            assert!(no.record.node.0 < 3, "indices are used again: {:?}", no.record.node);
        }
        if let Some(old) = day.checked_sub(2) {
            assert!(!contacts.forget(old, Span::millis(2_001), now, &mut register), "too soon");
            assert!(contacts.forget(old, Span::millis(2_000), now, &mut register));
            assert!(!contacts.forget(old, Span::ZERO, now, &mut register), "twice");
        }
    }
}

/// Guards against answers that pass for those of another download, and bytes that pass for another object's.
#[test]
fn the_id_of_an_open_download_is_taken() {
    let mut bed = Fixture::open();
    bed.ask(1, "page", 2_000);
    let stolen =
        DownloadRequest { object: HexId::parse(b"00000000000000ff").unwrap(), ..wish("page", 1_000, 2_000) };
    let asked = |tag, client| Input::Download { client, tag, request: stolen.clone(), at: START };
    bed.hear(vec![asked(2, 1), asked(3, 2)]);
    assert_eq!((bed.answered(2), bed.answered(3)), (vec![&ToClient::Abandoned], vec![&ToClient::Abandoned]));
    assert_eq!(bed.paper.pulls.len(), 1);
    let pull = bed.paper.pulls[0].1;
    bed.hear(vec![Input::Answered {
        pull,
        answer: answer(AnswerStatus::Fulfilled, Remark::Hit),
        copy_digest: None,
    }]);
    assert_eq!(bed.answered(1).len(), 1);
    bed.hear(vec![asked(4, 1)]);
    assert_eq!(bed.paper.pulls.len(), 2, "free again once that is answered");
}

#[test]
fn an_unknown_content_type_is_abandoned() {
    let mut bed = Fixture::open();
    bed.hear(vec![Input::Download { client: 1, tag: 1, request: wish("nothing", 1, 500), at: START }]);
    assert_eq!(bed.answered(1), [&ToClient::Abandoned]);
    assert!(bed.paper.pulls.is_empty());
}

/// A repeat may wait for its connection until the window of the first is over, and no longer.
#[test]
fn a_deduped_repeat_that_waits_too_long_is_never_sent() {
    for stuck in [true, false] {
        let mut bed = Fixture::open();
        let first = bed.ask(1, "all", 3_000);
        bed.wait(300);
        bed.hear(vec![Input::Lost { pull: first, loss: Loss::ConnectionBroken }]);
        assert_eq!(bed.paper.pulls.len(), 2, "within its window it goes again");
        bed.paper.stuck = stuck;
        bed.wait(699);
        assert!(bed.answered(1).is_empty());
        bed.wait(2);
        assert_eq!(bed.paper.pulls.len(), 2, "nothing follows once the window is over");
        assert_eq!(bed.answered(1).len(), usize::from(stuck), "what has left runs on");
    }
}

/// Guards against two at work at once where a node does not even take the cancel.
#[test]
fn nothing_follows_a_pull_whose_node_was_not_told_of_its_cancel() {
    let mut bed = Fixture::open();
    bed.ask(1, "page", 2_000);
    bed.paper.deaf = true;
    let members = vec![member(bed.paper.pulls[0].0, MemberState::Removed, 0)];
    bed.hear(vec![Input::Feed(FeedEvent::Members { is_snapshot: false, members })]);
    bed.wait(300);
    assert_eq!((bed.paper.cancels.len(), bed.paper.pulls.len()), (1, 1));
    bed.paper.deaf = false;
    bed.wait(11);
    assert_eq!(bed.paper.pulls.len(), 2);
}

/// A client leaves while its next pull waits for the cancel of the one before to settle.
#[test]
fn no_retry_follows_for_a_client_that_has_left() {
    for leaves in [Input::Cancel { client: 1, tag: 1 }, Input::Disconnected { client: 1 }] {
        let mut bed = Fixture::open();
        bed.ask(1, "page", 2_000);
        let members = vec![member(bed.paper.pulls[0].0, MemberState::Removed, 0)];
        bed.hear(vec![Input::Feed(FeedEvent::Members { is_snapshot: false, members })]);
        bed.wait(5);
        bed.hear(vec![leaves]);
        bed.wait(2_000);
        assert_eq!(bed.paper.pulls.len(), 1);
        assert!(bed.paper.answers.is_empty());
    }
}

/// The request and its client's leaving are read in one turn: not a byte of it may be sent.
#[test]
fn what_is_asked_and_given_up_in_one_turn_is_taken_back_in_it() {
    let mut bed = Fixture::open();
    bed.paper.stuck = true;
    let asked = Input::Download { client: 1, tag: 1, request: wish("page", 1_000, 2_000), at: bed.now };
    bed.hear(vec![asked, Input::Disconnected { client: 1 }]);
    assert_eq!(bed.paper.cancels.len(), bed.paper.pulls.len(), "taken back in the same turn");
    bed.wait(2_000);
    assert!(bed.paper.answers.is_empty() && bed.routing.unanswered() == 0);
}

/// What was queued before a purge is taken back and placed anew by it; only then is the purge had.
#[test]
fn a_purge_is_confirmed_after_all_that_follows_from_it() {
    let mut bed = Fixture::open();
    bed.ask(1, "page", 2_000);
    let (to, confirmed) = bounded(1);
    bed.paper.stuck = true;
    bed.paper.confirmed = Some(confirmed.clone());
    let purge = FeedEvent::Purge { object: Some(1_000), group: 0, at_ms: START.micros() / 1_000 };
    let confirm = |number: u64| Input::Confirm { number, to: to.clone() };
    bed.hear(vec![Input::Feed(purge), confirm(7), confirm(8)]);
    assert!(
        bed.paper.early.len() >= 2 && bed.paper.early.iter().all(|early| !early),
        "{:?}",
        bed.paper.early
    );
    assert_eq!((confirmed.try_recv(), confirmed.is_empty()), (Ok(8), true), "the newest stands for all");
    // Nobody waits for it any more: nothing holds the routing task up.
    drop(bed.paper.confirmed.take());
    drop(confirmed);
    bed.hear(vec![Input::Confirm { number: 9, to: to.clone() }]);
    assert!(bed.paper.answers.is_empty());
}
