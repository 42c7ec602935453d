//! The only owner of the decision core. Outside events come in as [`Input`], and the core's orders go out
//! through [`Transport`]. Timeouts, deadlines and open downloads are tracked here; decisions are left to the
//! core.
pub mod counts;
pub mod nodes;
pub mod observer;
pub mod recent_ids;
pub mod task;

use async_channel::Sender;
use bytes::Bytes;
use counts::PullCounts;
use harestage::interface::{Action, Event, IdRegistry, Pull, ServiceProfile};
use harestage::policy::Policy;
use harestage::state::*;
use harestage::time::{Moment, Span};
use harestage_profile::{NodeKinds, RouterSettings};
use harestage_sockets::clock;
use harestage_wire::client::{DownloadRequest, ToClient};
use harestage_wire::feed::{FeedEvent, ServiceState};
use harestage_wire::node::{Answer, AnswerStatus, Request};
use harestage_wire::{Packet, fields::HexId, node};
use nodes::{NodeEntry, NodeId, NodeTable};
use observer::{DownloadOutcome, Observer};
use recent_ids::RecentIds;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

/// Number of a client connection.
pub type ClientId = u64;
/// Number of a pull; never used twice.
pub type PullId = u64;
type DownloadId = u64;
/// When the timer fires, and a number that makes the key unique.
type TimerKey = (Moment, u64);

/// Ids of finished downloads that are remembered.
const MAX_IDS_WITH_EFFECT: usize = 4_096;

/// Why a pull gets no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The node can't have run it: the connection never came up, or ended before the pull was written whole.
    NotSent,
    /// The pull was written whole before its connection broke: the node may have run it.
    ConnectionBroken,
}

#[derive(Clone, Debug)]
/// An outside event for the routing task.
pub enum Input {
    Download {
        client: ClientId,
        tag: u64,
        request: DownloadRequest,
        at: Moment,
    },
    Cancel {
        client: ClientId,
        tag: u64,
    },
    Disconnected {
        client: ClientId,
    },
    Answered {
        pull: PullId,
        answer: Answer,
        /// Digest of the copy that an answer without a body refers to.
        copy_digest: Option<Bytes>,
    },
    Lost {
        pull: PullId,
        loss: Loss,
    },
    Feed(FeedEvent),
    /// State of our own services after all events before it; only sent while an observer is attached.
    ServiceState(ServiceState),
    /// Sends `number` to `to` once the core has processed all inputs before it. A number that still waits
    /// there is replaced.
    Confirm {
        number: u64,
        to: Sender<u64>,
    },
}

/// Sends answers to clients and pulls to nodes. Every call only queues and returns at once.
pub trait Transport {
    /// Answers a download.
    fn answer(&mut self, client: ClientId, tag: u64, answer: ToClient);
    /// Queues a pull. `false`: no connection to the node is available, and nothing was queued.
    fn send_pull(
        &mut self,
        node: NodeId,
        contact: &NodeEntry,
        pull: PullId,
        id: HexId,
        packet: Packet,
    ) -> bool;
    /// Gives up a pull. `true`: it was not written whole, and never will be.
    fn cancel_pull(&mut self, node: NodeId, pull: PullId) -> bool;
    /// Removes a pull from its queue. `true`: no byte of it was written.
    fn remove_queued(&mut self, node: NodeId, pull: PullId) -> bool;
    /// Whether the cancel of a pull has not been written to its node yet.
    fn is_cancel_pending(&self, node: NodeId, pull: PullId) -> bool;
    /// Sends nothing new over the connections that this node has now.
    fn replace_connections(&mut self, node: NodeId);
    /// Sends nothing to this node any more.
    fn forget_node(&mut self, node: NodeId);
}

#[derive(Clone, Copy)]
enum Timer {
    /// Set by the core.
    Core(u32),
    PullTimeout(PullId),
    /// A pull that is still queued by then must not be sent.
    StartDeadline(PullId),
    /// The node of a cancelled pull is assumed to have stopped.
    CancelSettled(PullId),
    /// The deadline of a download.
    Deadline(DownloadId),
    /// The grace period after the deadline is over.
    AnswerOverdue(DownloadId),
    /// The node was removed long ago.
    ForgetNode(NodeId),
}

/// A pull that has not ended yet.
struct InFlightPull {
    dl: DownloadId,
    /// The core's number of the pull within its download.
    number: u8,
    node: NodeId,
    source: Option<NodeId>,
    sent_at: Moment,
}

/// A download that the core still knows, whether it is answered or not.
struct HeldDownload {
    client: ClientId,
    tag: u64,
    request: DownloadRequest,
    content: ContentIndex,
    leaves_at: Moment,
    deadline_timer: TimerKey,
    answered: bool,
    /// A pull may have run, and another run of this content type would have an effect of its own.
    has_lasting_effect: bool,
    /// All pulls of the download, indexed by the core's number of each pull.
    pulls: Vec<PullId>,
    /// The observer's state number when the last pull was sent, if there is an observer.
    state_number: Option<u64>,
}

/// Settings of the routing task.
pub struct RoutingConfig {
    pub profile: ServiceProfile,
    pub kinds: NodeKinds,
    pub outside: RouterSettings,
    /// How long after its deadline a download waits for the core's answer before the router abandons it.
    pub answer_grace: Span,
    /// How long a cancelled pull is assumed to be still running at its node.
    pub cancel_settles: Span,
    /// How long a removed node is remembered.
    pub removed_node_retention: Span,
}

/// Runs the decision core on inputs and timers.
pub struct Routing {
    policy: Policy,
    register: IdRegistry,
    kinds: NodeKinds,
    outside: RouterSettings,
    answer_grace: Span,
    cancel_settles: Span,
    removed_node_retention: Span,
    contents: HashMap<Vec<u8>, ContentIndex>,
    node_table: NodeTable,
    held: HashMap<DownloadId, HeldDownload>,
    open: HashMap<(ClientId, u64), DownloadId>,
    /// Ids of the held downloads, so that no two downloads with one id are in progress.
    ids: HashSet<HexId>,
    /// By content type: a repeat of a download does no harm.
    retriable: Vec<bool>,
    /// Ids of downloads that must not run again under the same id.
    ids_with_effect: RecentIds,
    in_flight: HashMap<PullId, InFlightPull>,
    timers: BTreeMap<TimerKey, Timer>,
    events: Vec<Event>,
    timers_set: u64,
    last_dl: DownloadId,
    last_pull: PullId,
    pull_counts: Rc<RefCell<PullCounts>>,
    observer: Option<Rc<dyn Observer>>,
    /// To be confirmed at the end of the step.
    confirms: Vec<(u64, Sender<u64>)>,
    /// Time of the current step, for the observer.
    now: Moment,
}

impl Routing {
    /// A routing task with the core's state at `now`; `seed` is the core's seed for random choices.
    pub fn new(config: RoutingConfig, seed: u64, now: Moment) -> Routing {
        let RoutingConfig { profile, kinds, outside, answer_grace, cancel_settles, removed_node_retention } =
            config;
        let names = outside.contents.iter().enumerate();
        let types = profile.content_types.iter();
        let retriable = types.map(|content| content.idempotency == Idempotency::Retriable).collect();
        Routing {
            policy: Policy::new(profile, seed, now),
            register: IdRegistry::default(),
            kinds,
            answer_grace,
            cancel_settles,
            removed_node_retention,
            contents: names.map(|(at, n)| (n.clone().into_bytes(), ContentIndex(at as u16))).collect(),
            outside,
            node_table: NodeTable::default(),
            held: HashMap::new(),
            open: HashMap::new(),
            ids: HashSet::new(),
            retriable,
            ids_with_effect: RecentIds::default(),
            in_flight: HashMap::new(),
            timers: BTreeMap::new(),
            events: Vec::new(),
            timers_set: 0,
            last_dl: 0,
            last_pull: 0,
            pull_counts: Rc::default(),
            observer: None,
            confirms: Vec::new(),
            now,
        }
    }

    /// Reports what the router does to `observer` from now on.
    pub fn set_observer(&mut self, observer: Rc<dyn Observer>) {
        self.observer = Some(observer);
    }

    /// How pulls have ended; whoever reports the counts takes them.
    pub fn pull_counts(&self) -> Rc<RefCell<PullCounts>> {
        self.pull_counts.clone()
    }

    /// Number of downloads that are not answered yet.
    pub fn unanswered(&self) -> usize {
        self.open.len()
    }

    /// When `step` has to be called at the latest, even without inputs.
    pub fn next_timer(&self) -> Option<Moment> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Handles the inputs up to `now` and carries out the core's orders. Inputs are handled before timers, so
    /// that an answer that arrived in time is not lost to a timeout in the same step.
    pub fn step(&mut self, now: Moment, inputs: impl Iterator<Item = Input>, transport: &mut dyn Transport) {
        self.now = now;
        for input in inputs {
            self.handle_input(input, now, transport);
        }
        while let Some(first) = self.timers.first_entry().filter(|first| first.key().0 <= now) {
            let timer = first.remove();
            self.on_timer(timer, now, transport);
        }
        let mut orders = Vec::new();
        while !self.events.is_empty() {
            self.policy.step(now, std::mem::take(&mut self.events), &mut orders);
            for order in orders.drain(..) {
                self.execute(order, now, transport);
            }
        }
        for (number, to) in self.confirms.drain(..) {
            // Sending fails if the connection that asked is gone: then nobody waits for the number.
            let _ = to.force_send(number);
        }
    }

    fn handle_input(&mut self, input: Input, now: Moment, transport: &mut dyn Transport) {
        match input {
            Input::Download { client, tag, request, at } => {
                self.on_download(client, tag, request, at, transport)
            }
            Input::Cancel { client, tag } => {
                if let Some(dl) = self.open.get(&(client, tag)).copied() {
                    self.on_cancel(dl);
                }
            }
            Input::Disconnected { client } => {
                let of_client = self.open.iter().filter(|((c, _), _)| *c == client);
                let mut downloads: Vec<DownloadId> = of_client.map(|(_, dl)| *dl).collect();
                downloads.sort_unstable();
                downloads.into_iter().for_each(|dl| self.on_cancel(dl));
            }
            Input::Answered { pull, answer, copy_digest } => {
                self.on_answer(pull, answer, copy_digest, now, transport)
            }
            Input::Lost { pull, loss } => {
                let ending = if loss == Loss::ConnectionBroken {
                    PullOutcome::Broken
                } else {
                    PullOutcome::NoConnection
                };
                self.end_pull(pull, ending, CacheStatus::Unknown, Span::ZERO, now);
            }
            Input::Feed(event) => self.on_feed_event(event, now, transport),
            Input::Confirm { number, to } => self.confirms.push((number, to)),
            Input::ServiceState(state) => {
                self.observer.iter().for_each(|observer| observer.on_service_state(&state, now))
            }
        }
    }

    /// The delay after which a client may retry, if the router must not act on the state that it has. The
    /// core does not see such a download.
    fn refusal_delay(&self, content: ContentIndex, id: u64, now: Moment) -> Option<u64> {
        let observer = self.observer.as_ref().filter(|observer| !observer.may_send())?;
        observer.on_download_end(content, DownloadOutcome::Throttled, id, None, now);
        Some(observer.retry_after_ms())
    }

    fn on_download(
        &mut self,
        client: ClientId,
        tag: u64,
        request: DownloadRequest,
        at: Moment,
        transport: &mut dyn Transport,
    ) {
        let Some(content) = self.contents.get(request.content.as_ref()).copied() else {
            return transport.answer(client, tag, ToClient::Abandoned);
        };
        if let Some(retry_after_ms) = self.refusal_delay(content, request.id.as_u64(), at) {
            return transport.answer(client, tag, ToClient::Throttled { retry_after_ms });
        }
        // Guards against a client that uses the id of another open download: on one connection to a node the
        // two answers would be indistinguishable, and a client could get the bytes of another object. The id of
        // a download that may have run and was given up must not run again either.
        if self.ids_with_effect.contains(request.id) || !self.ids.insert(request.id) {
            return transport.answer(client, tag, ToClient::Abandoned);
        }
        self.last_dl += 1;
        let dl = self.last_dl;
        let leaves_at = at + Span::millis(request.timeout_ms.min(u64::from(u32::MAX)));
        let download = Download {
            content,
            object: ObjectKey(request.object.as_u64()),
            part: request.part,
            group: request.group,
            kilobytes: request.kilobytes,
            deadline: leaves_at,
            is_retry: request.repeat,
        };
        let deadline_timer = self.set_timer(leaves_at, Timer::Deadline(dl));
        let (answered, has_lasting_effect, pulls, state_number) = (false, false, Vec::new(), None);
        let held = HeldDownload {
            client,
            tag,
            request,
            content,
            leaves_at,
            deadline_timer,
            answered,
            has_lasting_effect,
            pulls,
            state_number,
        };
        self.held.insert(dl, held);
        self.open.insert((client, tag), dl);
        self.events.push(Event::Arrived { dl: self.register.register_download(dl), download });
    }

    /// Marks a download as answered. Returns its client and tag, or `None` if it was answered before.
    fn close(&mut self, dl: DownloadId) -> Option<(ClientId, u64)> {
        let held = self.held.get_mut(&dl).filter(|h| !h.answered)?;
        held.answered = true;
        self.timers.remove(&held.deadline_timer);
        self.open.remove(&(held.client, held.tag));
        Some((held.client, held.tag))
    }

    /// The client no longer wants this download.
    fn on_cancel(&mut self, dl: DownloadId) {
        if self.close(dl).is_none() {
            return;
        }
        self.report_end(dl, DownloadOutcome::Left);
        self.events.extend(self.register.dl(dl).map(|dl| Event::ClientLeft { dl }));
    }

    /// Answers the client, unless that was done before.
    fn reply(&mut self, dl: DownloadId, answer: ToClient, transport: &mut dyn Transport) {
        if let Some((client, tag)) = self.close(dl) {
            if self.observer.is_some() {
                let outcome = match &answer {
                    ToClient::Fulfilled { .. } | ToClient::NotModified => DownloadOutcome::Fulfilled,
                    ToClient::Throttled { .. } => DownloadOutcome::Throttled,
                    _ => DownloadOutcome::Abandoned,
                };
                self.report_end(dl, outcome);
            }
            transport.answer(client, tag, answer);
        }
    }

    fn report_end(&self, dl: DownloadId, outcome: DownloadOutcome) {
        if let Some((observer, held)) = self.observer.as_ref().zip(self.held.get(&dl)) {
            observer.on_download_end(
                held.content,
                outcome,
                held.request.id.as_u64(),
                held.state_number,
                self.now,
            );
        }
    }

    fn on_answer(
        &mut self,
        pull: PullId,
        answer: Answer,
        copy_digest: Option<Bytes>,
        now: Moment,
        transport: &mut dyn Transport,
    ) {
        let Some(sent) = self.in_flight.get(&pull) else { return };
        let dl = sent.dl;
        let known = self.held.get(&dl).and_then(|held| held.request.known_digest.as_ref());
        let is_current = known.is_some() && known == copy_digest.as_ref();
        let ending = match answer.status {
            AnswerStatus::Fulfilled => PullOutcome::Fulfilled,
            // A corrupted answer may name no copy, or another one than the client holds.
            AnswerStatus::NotModified if is_current => PullOutcome::Fulfilled,
            AnswerStatus::NotModified | AnswerStatus::Failed => PullOutcome::Error,
            AnswerStatus::NotFound => PullOutcome::Missed,
            AnswerStatus::Busy => PullOutcome::Full,
            AnswerStatus::TooLate => PullOutcome::NotSent,
        };
        if ending == PullOutcome::Fulfilled {
            let good = match answer.status {
                AnswerStatus::NotModified => ToClient::NotModified,
                _ => ToClient::Fulfilled { body: answer.body },
            };
            self.reply(dl, good, transport);
        }
        self.end_pull(pull, ending, answer.cache_status, Span::from_seconds(answer.first_byte_ms / 1e3), now);
    }

    /// Reports the end of a pull to the core.
    fn end_pull(
        &mut self,
        pull: PullId,
        ending: PullOutcome,
        remark: CacheStatus,
        first_byte: Span,
        now: Moment,
    ) {
        let Some(sent) = self.in_flight.remove(&pull) else { return };
        self.pull_counts.borrow_mut().count_end(ending);
        let Some(held) = self.held.get_mut(&sent.dl) else { return };
        held.has_lasting_effect |= !ending.proves_not_run() && !self.retriable[held.content.0 as usize];
        let Some((dl, node)) = self.register.dl(sent.dl).zip(self.register.node(sent.node)) else { return };
        let (closed, took) = (held.answered, now.since(sent.sent_at));
        let number = sent.number;
        self.events.push(Event::PullEnded(PullResult {
            dl,
            attempt: number,
            node,
            outcome: ending,
            cache_status: remark,
            answered: closed,
            duration: took,
            first_byte,
        }));
    }

    /// The event is passed to the core before queued pulls are withdrawn because of it, so that the core does
    /// not place them again without knowing it.
    fn on_feed_event(&mut self, event: FeedEvent, now: Moment, transport: &mut dyn Transport) {
        match event {
            FeedEvent::Members { is_snapshot, members } => {
                let mut listings = Vec::with_capacity(members.len());
                // Nodes to which queued pulls must not go, and those of them that are removed.
                let (mut unusable, mut removed) = (Vec::new(), Vec::new());
                for member in &members {
                    let update =
                        self.node_table.apply(member, &mut self.register, self.kinds, &self.outside, now);
                    if update.replaced {
                        transport.replace_connections(update.node);
                        unusable.push(update.node);
                    }
                    if let Some((node, record)) = update.superseded {
                        removed.push(node);
                        listings.push(record);
                    }
                    match update.record.phase {
                        Phase::Ready => {}
                        Phase::Draining => unusable.push(update.node),
                        Phase::Removed => removed.push(update.node),
                    }
                    listings.push(update.record);
                }
                if is_snapshot {
                    removed.extend(self.node_table.mark_missing_removed(&members, now));
                }
                for node in &removed {
                    transport.replace_connections(*node);
                    self.set_timer(now + self.removed_node_retention, Timer::ForgetNode(*node));
                }
                unusable.extend(removed);
                let news = if is_snapshot { MembershipUpdate::Snapshot } else { MembershipUpdate::Delta };
                self.events.push(Event::Membership { update: news, records: listings });
                let is_unusable = |node: &NodeId| unusable.contains(node);
                self.remove_queued(
                    |sent, _| is_unusable(&sent.node) || sent.source.iter().any(is_unusable),
                    now,
                    transport,
                );
            }
            FeedEvent::Purge { object, group, at_ms } => {
                let ago = now.since(clock::moment_from_unix_ms(at_ms));
                self.events.push(Event::Purged { object: object.map(ObjectKey), group, ago });
                let is_purged = |w: &DownloadRequest| {
                    object.map_or(w.group == group, |object| w.object.as_u64() == object)
                };
                self.remove_queued(|_, held| is_purged(&held.request), now, transport);
            }
        }
    }

    /// Withdraws queued pulls that must not be sent any more: a pull must not reach a draining node, nor
    /// accept a copy by an age limit from before a purge.
    fn remove_queued(
        &mut self,
        applies: impl Fn(&InFlightPull, &HeldDownload) -> bool,
        now: Moment,
        transport: &mut dyn Transport,
    ) {
        let applies = |sent: &InFlightPull| self.held.get(&sent.dl).is_some_and(|held| applies(sent, held));
        let mut pulls: Vec<(PullId, NodeId)> = self
            .in_flight
            .iter()
            .filter(|(_, sent)| applies(sent))
            .map(|(pull, sent)| (*pull, sent.node))
            .collect();
        pulls.sort_unstable();
        for (pull, node) in pulls {
            if transport.remove_queued(node, pull) {
                self.end_pull(pull, PullOutcome::NotSent, CacheStatus::Unknown, Span::ZERO, now);
            }
        }
    }

    fn set_timer(&mut self, at: Moment, timer: Timer) -> TimerKey {
        self.timers_set += 1;
        self.timers.insert((at, self.timers_set), timer);
        (at, self.timers_set)
    }

    fn on_timer(&mut self, timer: Timer, now: Moment, transport: &mut dyn Transport) {
        match timer {
            Timer::Core(timer) => self.events.push(Event::TimerFired { timer }),
            Timer::PullTimeout(pull) => self.time_out_pull(pull, now, transport),
            Timer::CancelSettled(pull) => {
                // Guards against two concurrent pulls of one download where the node reads nothing, not even
                // the cancel.
                if self.in_flight.get(&pull).is_some_and(|sent| transport.is_cancel_pending(sent.node, pull))
                {
                    self.set_timer(now + self.cancel_settles, Timer::CancelSettled(pull));
                } else {
                    self.end_pull(pull, PullOutcome::Cancelled, CacheStatus::Unknown, Span::ZERO, now);
                }
            }
            Timer::StartDeadline(pull) => {
                if self.in_flight.get(&pull).is_some_and(|sent| transport.remove_queued(sent.node, pull)) {
                    self.end_pull(pull, PullOutcome::NotSent, CacheStatus::Unknown, Span::ZERO, now);
                }
            }
            Timer::Deadline(dl) => {
                if let Some(held) = self.held.get(&dl).filter(|h| !h.answered) {
                    held.pulls.clone().into_iter().for_each(|pull| self.time_out_pull(pull, now, transport));
                    self.set_timer(now + self.answer_grace, Timer::AnswerOverdue(dl));
                }
            }
            Timer::ForgetNode(node) => {
                let in_use = |sent: &InFlightPull| sent.node == node || sent.source == Some(node);
                if self.in_flight.values().any(in_use) {
                    self.set_timer(now + self.removed_node_retention, Timer::ForgetNode(node));
                } else if self.node_table.forget(node, self.removed_node_retention, now, &mut self.register) {
                    transport.forget_node(node);
                }
            }
            // Every download gets an answer, even if the core holds one without a pull.
            Timer::AnswerOverdue(dl) => {
                if self.held.get(&dl).is_some_and(|h| !h.answered) {
                    self.reply(dl, ToClient::Abandoned, transport);
                    self.events.extend(self.register.dl(dl).map(|dl| Event::ClientLeft { dl }));
                }
            }
        }
    }

    fn time_out_pull(&mut self, pull: PullId, now: Moment, transport: &mut dyn Transport) {
        let Some(node) = self.in_flight.get(&pull).map(|sent| sent.node) else { return };
        let not_sent = transport.cancel_pull(node, pull);
        let ending = if not_sent { PullOutcome::NotSent } else { PullOutcome::TimedOut };
        self.end_pull(pull, ending, CacheStatus::Unknown, Span::ZERO, now);
    }

    fn execute(&mut self, order: Action, now: Moment, transport: &mut dyn Transport) {
        match order {
            Action::Pull(pull) => self.send_pull(pull, now, transport),
            Action::Cancel { dl, attempt: number } => {
                let dl = self.register.download_id(dl);
                let pulls = self.held.get(&dl).map(|held| &held.pulls);
                let Some(pull) = pulls.and_then(|p| p.get(number as usize)).copied() else { return };
                let Some(node) = self.in_flight.get(&pull).map(|sent| sent.node) else { return };
                let not_sent = transport.cancel_pull(node, pull);
                if not_sent || self.held.get(&dl).is_none_or(|held| held.answered) {
                    let ending = if not_sent { PullOutcome::NotSent } else { PullOutcome::Cancelled };
                    return self.end_pull(pull, ending, CacheStatus::Unknown, Span::ZERO, now);
                }
                // Guards against two concurrent pulls of one download: the next pull may use another
                // connection, and would overtake the cancel.
                self.set_timer(now + self.cancel_settles, Timer::CancelSettled(pull));
            }
            Action::Throttle { dl, retry_after } => {
                let retry_after_ms = retry_after.as_micros().div_ceil(1_000);
                self.reply(self.register.download_id(dl), ToClient::Throttled { retry_after_ms }, transport);
            }
            Action::Abandon { dl } => {
                self.reply(self.register.download_id(dl), ToClient::Abandoned, transport)
            }
            Action::SetTimer { after, timer } => {
                self.set_timer(now + after, Timer::Core(timer));
            }
            // The router subscribes to the feed at its start, whether the core asks for it or not.
            Action::WatchMembership => {}
            Action::Release { dl } => {
                if let Some(held) = self.held.remove(&self.register.download_id(dl)) {
                    self.ids.remove(&held.request.id);
                    if held.has_lasting_effect {
                        self.ids_with_effect.add(held.request.id, MAX_IDS_WITH_EFFECT);
                    }
                }
                self.register.release_download(dl);
            }
        }
    }

    fn send_pull(&mut self, order: Pull, now: Moment, transport: &mut dyn Transport) {
        let dl = self.register.download_id(order.dl);
        let Some((node, contact)) = self.node_table.by_index(&self.register, order.node) else { return };
        let source = order.source.and_then(|source| self.node_table.by_index(&self.register, source));
        let Some(held) = self.held.get_mut(&dl) else { return };
        self.last_pull += 1;
        let (pull, number) = (self.last_pull, held.pulls.len() as u8);
        held.pulls.push(pull);
        let mut counts = self.pull_counts.borrow_mut();
        counts.ordered += 1;
        counts.retried += u64::from(number > 0);
        drop(counts);
        held.state_number =
            self.observer.as_ref().map(|observer| observer.state_number()).or(held.state_number);
        let until = match order.timeout {
            Span::ZERO => held.leaves_at,
            time_out => held.leaves_at.min(now + time_out),
        };
        let may_send = self.observer.as_ref().is_none_or(|observer| observer.may_send());
        let mark = self.observer.as_ref().filter(|_| may_send).and_then(|w| w.on_pull(&contact.name, now));
        let request = Request {
            id: held.request.id,
            content: &self.outside.contents[held.content.0 as usize],
            object: held.request.object,
            part: held.request.part,
            timeout_ms: until.since(now).as_micros().div_ceil(1_000).max(1),
            source: source.map(|(_, contact)| contact.name.as_str()),
            rank: order.rank,
            // Rounded down, since a slightly older copy is not acceptable; 0 would mean the default age.
            max_age_ms: (order.max_age > Span::ZERO).then(|| (order.max_age.as_micros() / 1_000).max(1)),
            join: order.join,
            only_if_cached: order.only_held,
            no_store: order.no_copy,
            stale_while_revalidate: order.renew,
            dedup_key: held.request.dedup_key.as_ref().and_then(|k| std::str::from_utf8(k).ok()),
            known_digest: held.request.known_digest.as_ref().and_then(|h| std::str::from_utf8(h).ok()),
            body: held.request.body.clone(),
            // Nodes of the platform don't know fields beyond its protocol.
            route: None,
            mark: mark.as_ref(),
        };
        let queued = may_send
            && until > now
            && transport.send_pull(node, contact, pull, held.request.id, node::encode_request(&request));
        let source = source.map(|(source, _)| source);
        self.in_flight.insert(pull, InFlightPull { dl, number, node, source, sent_at: now });
        if !queued {
            return self.end_pull(pull, PullOutcome::NotSent, CacheStatus::Unknown, Span::ZERO, now);
        }
        if order.timeout > Span::ZERO {
            self.set_timer(until, Timer::PullTimeout(pull));
        }
        if order.connect_within > Span::ZERO {
            self.set_timer(now + order.connect_within, Timer::StartDeadline(pull));
        }
    }
}
