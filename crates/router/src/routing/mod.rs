//! The one owner of the core. What happens outside comes in as `News`, what the core orders goes out through
//! `Outward`; time-outs, deadlines and the register of what is open are kept here. Nothing here decides.
pub mod nodes;
pub mod observer;
pub mod task;

use async_channel::Sender;
use bytes::Bytes;
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
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

pub type ClientId = u64;
pub type PullId = u64;
type DownloadId = u64;
/// When it rings, and a number that tells it from others of that moment.
type TimerKey = (Moment, u64);

/// A pull that will bring no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Nothing of it can have run: the connection never came up, or ended before it was written whole.
    NotSent,
    /// It was written whole: a break proves nothing.
    ConnectionBroken,
}

#[derive(Clone, Debug)]
pub enum Input {
    Download {
        client: ClientId,
        tag: u64,
        wish: DownloadRequest,
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
        /// The copy that an answer without bytes is about.
        copy_digest: Option<Bytes>,
    },
    Lost {
        pull: PullId,
        loss: Loss,
    },
    Feed(FeedEvent),
    /// What the events before it amount to; only where a witness is attached.
    ServiceState(ServiceState),
    /// Once the core has taken in all that came before, the number goes to whoever asked; what waits there is replaced.
    Confirm {
        number: u64,
        to: Sender<u64>,
    },
}

/// Where answers and pulls go. Every call only queues: none of them waits.
pub trait Transport {
    fn answer(&mut self, client: ClientId, tag: u64, answer: ToClient);
    /// False: there is no way to that node now, and nothing was queued.
    fn send_pull(
        &mut self,
        node: NodeId,
        contact: &NodeEntry,
        pull: PullId,
        id: HexId,
        packet: Packet,
    ) -> bool;
    /// Gives a pull up. True: it had not been written whole, and now never will be.
    fn cancel_pull(&mut self, node: NodeId, pull: PullId) -> bool;
    /// Takes a pull out of its queue. True: not a byte of it had been written.
    fn remove_queued(&mut self, node: NodeId, pull: PullId) -> bool;
    /// A pull was called back, and its node has not been told yet.
    fn is_cancel_pending(&self, node: NodeId, pull: PullId) -> bool;
    /// Nothing new goes over the connections that this node has now.
    fn replace_connections(&mut self, node: NodeId);
    /// Nothing is sent to this node any more.
    fn forget_node(&mut self, node: NodeId);
}

#[derive(Clone, Copy)]
enum Timer {
    Core(u32),
    PullTimesOut(PullId),
    /// What has not left by then must not leave any more.
    StartsTooLate(PullId),
    CalledBack(PullId),
    Deadline(DownloadId),
    Overdue(DownloadId),
    Forget(NodeId),
}

struct Out {
    dl: DownloadId,
    number: u8,
    node: NodeId,
    source: Option<NodeId>,
    sent: Moment,
}

struct Held {
    client: ClientId,
    tag: u64,
    wish: DownloadRequest,
    content: ContentIndex,
    leaves_at: Moment,
    deadline: TimerKey,
    answered: bool,
    /// All its pulls, by the numbers that the core gives them.
    pulls: Vec<PullId>,
    /// What the router went by when the last of them was made, where somebody records it.
    acted: Option<u64>,
}

/// What a routing task is told at its start.
pub struct RoutingConfig {
    pub profile: ServiceProfile,
    pub kinds: NodeKinds,
    pub outside: RouterSettings,
    /// How long after its deadline a download waits for the core's answer before it is abandoned here.
    pub answer_grace: Span,
    /// How long a pull that was called back is taken to be still at its node.
    pub cancel_settles: Span,
    /// How long a node that is gone is remembered.
    pub removed_node_retention: Span,
}

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
    held: HashMap<DownloadId, Held>,
    open: HashMap<(ClientId, u64), DownloadId>,
    /// Those whose downloads are held, so that no two are under way under one.
    ids: HashSet<HexId>,
    out: HashMap<PullId, Out>,
    timers: BTreeMap<TimerKey, Timer>,
    events: Vec<Event>,
    timers_set: u64,
    last_dl: DownloadId,
    last_pull: PullId,
    observer: Option<Rc<dyn Observer>>,
    /// To be confirmed when the turn has ended.
    confirms: Vec<(u64, Sender<u64>)>,
    /// The moment of the turn, for the witness.
    now: Moment,
}

impl Routing {
    pub fn new(terms: RoutingConfig, seed: u64, now: Moment) -> Routing {
        let RoutingConfig { profile, kinds, outside, answer_grace, cancel_settles, removed_node_retention } =
            terms;
        let names = outside.contents.iter().enumerate();
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
            out: HashMap::new(),
            timers: BTreeMap::new(),
            events: Vec::new(),
            timers_set: 0,
            last_dl: 0,
            last_pull: 0,
            observer: None,
            confirms: Vec::new(),
            now,
        }
    }

    /// From now on this hears of what the router does.
    pub fn set_observer(&mut self, observer: Rc<dyn Observer>) {
        self.observer = Some(observer);
    }

    /// Downloads that are not answered yet.
    pub fn unanswered(&self) -> usize {
        self.open.len()
    }

    /// When `step` has to be called at the latest, news or none.
    pub fn next_timer(&self) -> Option<Moment> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes in what has come up to `now` and carries out what the core orders on it. News go before timers,
    /// so that an answer that is here in time is not lost to a time-out of the same turn.
    pub fn step(&mut self, now: Moment, news: impl Iterator<Item = Input>, transport: &mut dyn Transport) {
        self.now = now;
        for news in news {
            self.take_in(news, now, transport);
        }
        while let Some(first) = self.timers.first_entry().filter(|first| first.key().0 <= now) {
            let timer = first.remove();
            self.fire(timer, now, transport);
        }
        let mut orders = Vec::new();
        while !self.events.is_empty() {
            self.policy.step(now, std::mem::take(&mut self.events), &mut orders);
            for order in orders.drain(..) {
                self.carry_out(order, now, transport);
            }
        }
        for (number, to) in self.confirms.drain(..) {
            // Its connection may have gone meanwhile: then nobody waits for the number.
            let _ = to.force_send(number);
        }
    }

    fn take_in(&mut self, news: Input, now: Moment, transport: &mut dyn Transport) {
        match news {
            Input::Download { client, tag, wish, at } => self.asked(client, tag, wish, at, transport),
            Input::Cancel { client, tag } => {
                if let Some(dl) = self.open.get(&(client, tag)).copied() {
                    self.left(dl);
                }
            }
            Input::Disconnected { client } => {
                let of_client = self.open.iter().filter(|((c, _), _)| *c == client);
                let mut gone: Vec<DownloadId> = of_client.map(|(_, dl)| *dl).collect();
                gone.sort_unstable();
                gone.into_iter().for_each(|dl| self.left(dl));
            }
            Input::Answered { pull, answer, copy_digest: names } => {
                self.pull_answered(pull, answer, names, now, transport)
            }
            Input::Lost { pull, loss } => {
                let ending = if loss == Loss::ConnectionBroken {
                    PullOutcome::Broken
                } else {
                    PullOutcome::NoConnection
                };
                self.ended(pull, ending, CacheStatus::Unknown, Span::ZERO, now);
            }
            Input::Feed(told) => self.told(told, now, transport),
            Input::Confirm { number, to } => self.confirms.push((number, to)),
            Input::ServiceState(marks) => {
                self.observer.iter().for_each(|observer| observer.on_service_state(&marks, now))
            }
        }
    }

    /// Turned away before the core hears of it: this process may not act on what it has.
    fn turned_away(&self, content: ContentIndex, id: u64, now: Moment) -> Option<u64> {
        let observer = self.observer.as_ref().filter(|observer| !observer.may_send())?;
        observer.on_download_end(content, DownloadOutcome::Throttled, id, None, now);
        Some(observer.retry_after_ms())
    }

    fn asked(
        &mut self,
        client: ClientId,
        tag: u64,
        wish: DownloadRequest,
        at: Moment,
        transport: &mut dyn Transport,
    ) {
        let Some(content) = self.contents.get(wish.content.as_ref()).copied() else {
            return transport.answer(client, tag, ToClient::Abandoned);
        };
        if let Some(retry_after_ms) = self.turned_away(content, wish.id.as_u64(), at) {
            return transport.answer(client, tag, ToClient::Throttled { retry_after_ms });
        }
        // Guards against a client that uses the id of another download: on one connection to a node the answers
        // to both could not be told apart, and the bytes of one object would pass for the other's.
        if !self.ids.insert(wish.id) {
            return transport.answer(client, tag, ToClient::Abandoned);
        }
        self.last_dl += 1;
        let dl = self.last_dl;
        let leaves_at = at + Span::millis(wish.timeout_ms.min(u64::from(u32::MAX)));
        let download = Download {
            content,
            object: ObjectKey(wish.object.as_u64()),
            part: wish.part,
            group: wish.group,
            kilobytes: wish.kilobytes,
            deadline: leaves_at,
            is_retry: wish.repeat,
        };
        let deadline = self.set(leaves_at, Timer::Deadline(dl));
        let (answered, pulls, acted) = (false, Vec::new(), None);
        let held = Held { client, tag, wish, content, leaves_at, deadline, answered, pulls, acted };
        self.held.insert(dl, held);
        self.open.insert((client, tag), dl);
        self.events.push(Event::Arrived { dl: self.register.register_download(dl), download });
    }

    /// Nothing is owed any more: whose answer it was, unless that had been said before.
    fn close(&mut self, dl: DownloadId) -> Option<(ClientId, u64)> {
        let held = self.held.get_mut(&dl).filter(|h| !h.answered)?;
        held.answered = true;
        self.timers.remove(&held.deadline);
        self.open.remove(&(held.client, held.tag));
        Some((held.client, held.tag))
    }

    fn left(&mut self, dl: DownloadId) {
        if self.close(dl).is_none() {
            return;
        }
        self.witnessed(dl, DownloadOutcome::Left);
        self.events.extend(self.register.dl(dl).map(|dl| Event::ClientLeft { dl }));
    }

    fn reply(&mut self, dl: DownloadId, answer: ToClient, transport: &mut dyn Transport) {
        if let Some((client, tag)) = self.close(dl) {
            if self.observer.is_some() {
                let became = match &answer {
                    ToClient::Fulfilled { .. } | ToClient::NotModified => DownloadOutcome::Fulfilled,
                    ToClient::Throttled { .. } => DownloadOutcome::Throttled,
                    _ => DownloadOutcome::Abandoned,
                };
                self.witnessed(dl, became);
            }
            transport.answer(client, tag, answer);
        }
    }

    fn witnessed(&self, dl: DownloadId, became: DownloadOutcome) {
        if let Some((observer, held)) = self.observer.as_ref().zip(self.held.get(&dl)) {
            observer.on_download_end(held.content, became, held.wish.id.as_u64(), held.acted, self.now);
        }
    }

    fn pull_answered(
        &mut self,
        pull: PullId,
        answer: Answer,
        names: Option<Bytes>,
        now: Moment,
        transport: &mut dyn Transport,
    ) {
        let Some(out) = self.out.get(&pull) else { return };
        let dl = out.dl;
        let held = self.held.get(&dl).and_then(|held| held.wish.known_digest.as_ref());
        let offered = held.is_some() && held == names.as_ref();
        let ending = match answer.status {
            AnswerStatus::Fulfilled => PullOutcome::Fulfilled,
            // An answer may be spoilt, and then names no copy, or another one than the client has.
            AnswerStatus::NotModified if offered => PullOutcome::Fulfilled,
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
        self.ended(pull, ending, answer.remark, Span::from_seconds(answer.first_byte_ms / 1e3), now);
    }

    fn ended(
        &mut self,
        pull: PullId,
        ending: PullOutcome,
        remark: CacheStatus,
        first_byte: Span,
        now: Moment,
    ) {
        let Some(out) = self.out.remove(&pull) else { return };
        let Some(held) = self.held.get(&out.dl) else { return };
        let Some((dl, node)) = self.register.dl(out.dl).zip(self.register.node(out.node)) else { return };
        let (closed, took) = (held.answered, now.since(out.sent));
        let number = out.number;
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

    /// The core hears the news first: what is taken back because of them must not be placed again without
    /// them.
    fn told(&mut self, told: FeedEvent, now: Moment, transport: &mut dyn Transport) {
        match told {
            FeedEvent::Members { is_snapshot: whole, members } => {
                let mut listings = Vec::with_capacity(members.len());
                let (mut closed, mut gone) = (Vec::new(), Vec::new());
                for member in &members {
                    let said =
                        self.node_table.apply(member, &mut self.register, self.kinds, &self.outside, now);
                    if said.replaced {
                        transport.replace_connections(said.node);
                    }
                    match said.record.phase {
                        Phase::Ready => {}
                        Phase::Draining => closed.push(said.node),
                        Phase::Removed => gone.push(said.node),
                    }
                    listings.push(said.record);
                }
                if whole {
                    gone.extend(self.node_table.mark_missing_removed(&members, now));
                }
                for node in &gone {
                    transport.replace_connections(*node);
                    self.set(now + self.removed_node_retention, Timer::Forget(*node));
                }
                closed.extend(gone);
                let news = if whole { MembershipUpdate::Snapshot } else { MembershipUpdate::Delta };
                self.events.push(Event::Membership { update: news, records: listings });
                let is_closed = |node: &NodeId| closed.contains(node);
                self.remove_queued(
                    |out, _| is_closed(&out.node) || out.source.iter().any(is_closed),
                    now,
                    transport,
                );
            }
            FeedEvent::Purge { object, group, at_ms } => {
                let ago = now.since(clock::moment_from_unix_ms(at_ms));
                self.events.push(Event::Purged { object: object.map(ObjectKey), group, ago });
                let meant = |w: &DownloadRequest| {
                    object.map_or(w.group == group, |object| w.object.as_u64() == object)
                };
                self.remove_queued(|_, held| meant(&held.wish), now, transport);
            }
        }
    }

    /// What has not left yet and no longer may: a queued pull must not reach a node that drains, nor ask
    /// for a copy by limits from before a purge.
    fn remove_queued(
        &mut self,
        meant: impl Fn(&Out, &Held) -> bool,
        now: Moment,
        transport: &mut dyn Transport,
    ) {
        let meant = |out: &Out| self.held.get(&out.dl).is_some_and(|held| meant(out, held));
        let mut pulls: Vec<(PullId, NodeId)> =
            self.out.iter().filter(|(_, out)| meant(out)).map(|(pull, out)| (*pull, out.node)).collect();
        pulls.sort_unstable();
        for (pull, node) in pulls {
            if transport.remove_queued(node, pull) {
                self.ended(pull, PullOutcome::NotSent, CacheStatus::Unknown, Span::ZERO, now);
            }
        }
    }

    fn set(&mut self, at: Moment, timer: Timer) -> TimerKey {
        self.timers_set += 1;
        self.timers.insert((at, self.timers_set), timer);
        (at, self.timers_set)
    }

    fn fire(&mut self, timer: Timer, now: Moment, transport: &mut dyn Transport) {
        match timer {
            Timer::Core(timer) => self.events.push(Event::TimerFired { timer }),
            Timer::PullTimesOut(pull) => self.time_out(pull, now, transport),
            Timer::CalledBack(pull) => {
                // Guards against two at work at once where the node takes nothing, not even the cancel.
                if self.out.get(&pull).is_some_and(|out| transport.is_cancel_pending(out.node, pull)) {
                    self.set(now + self.cancel_settles, Timer::CalledBack(pull));
                } else {
                    self.ended(pull, PullOutcome::Cancelled, CacheStatus::Unknown, Span::ZERO, now);
                }
            }
            Timer::StartsTooLate(pull) => {
                if self.out.get(&pull).is_some_and(|out| transport.remove_queued(out.node, pull)) {
                    self.ended(pull, PullOutcome::NotSent, CacheStatus::Unknown, Span::ZERO, now);
                }
            }
            Timer::Deadline(dl) => {
                if let Some(held) = self.held.get(&dl).filter(|h| !h.answered) {
                    held.pulls.clone().into_iter().for_each(|pull| self.time_out(pull, now, transport));
                    self.set(now + self.answer_grace, Timer::Overdue(dl));
                }
            }
            Timer::Forget(node) => {
                let in_use = |out: &Out| out.node == node || out.source == Some(node);
                if self.out.values().any(in_use) {
                    self.set(now + self.removed_node_retention, Timer::Forget(node));
                } else if self.node_table.forget(node, self.removed_node_retention, now, &mut self.register) {
                    transport.forget_node(node);
                }
            }
            // Guards the rule that all are answered against a core that holds one without a pull.
            Timer::Overdue(dl) => {
                if self.held.get(&dl).is_some_and(|h| !h.answered) {
                    self.reply(dl, ToClient::Abandoned, transport);
                    self.events.extend(self.register.dl(dl).map(|dl| Event::ClientLeft { dl }));
                }
            }
        }
    }

    fn time_out(&mut self, pull: PullId, now: Moment, transport: &mut dyn Transport) {
        let Some(node) = self.out.get(&pull).map(|out| out.node) else { return };
        let never_left = transport.cancel_pull(node, pull);
        let ending = if never_left { PullOutcome::NotSent } else { PullOutcome::TimedOut };
        self.ended(pull, ending, CacheStatus::Unknown, Span::ZERO, now);
    }

    fn carry_out(&mut self, order: Action, now: Moment, transport: &mut dyn Transport) {
        match order {
            Action::Pull(pull) => self.pull(pull, now, transport),
            Action::Cancel { dl, attempt: number } => {
                let dl = self.register.download_id(dl);
                let pulls = self.held.get(&dl).map(|held| &held.pulls);
                let Some(pull) = pulls.and_then(|p| p.get(number as usize)).copied() else { return };
                let Some(node) = self.out.get(&pull).map(|out| out.node) else { return };
                let never_left = transport.cancel_pull(node, pull);
                if never_left || self.held.get(&dl).is_none_or(|held| held.answered) {
                    let ending = if never_left { PullOutcome::NotSent } else { PullOutcome::Cancelled };
                    return self.ended(pull, ending, CacheStatus::Unknown, Span::ZERO, now);
                }
                // Guards against two pulls of one download at work at once: the next one may go over another
                // connection, and would overtake the cancel on its way.
                self.set(now + self.cancel_settles, Timer::CalledBack(pull));
            }
            Action::Throttle { dl, retry_after } => {
                let retry_after_ms = retry_after.as_micros().div_ceil(1_000);
                self.reply(self.register.download_id(dl), ToClient::Throttled { retry_after_ms }, transport);
            }
            Action::Abandon { dl } => {
                self.reply(self.register.download_id(dl), ToClient::Abandoned, transport)
            }
            Action::SetTimer { after, timer } => {
                self.set(now + after, Timer::Core(timer));
            }
            // The feed runs from the start, asked for or not.
            Action::WatchMembership => {}
            Action::Release { dl } => {
                if let Some(held) = self.held.remove(&self.register.download_id(dl)) {
                    self.ids.remove(&held.wish.id);
                }
                self.register.release_download(dl);
            }
        }
    }

    fn pull(&mut self, order: Pull, now: Moment, transport: &mut dyn Transport) {
        let dl = self.register.download_id(order.dl);
        let Some((node, contact)) = self.node_table.by_index(&self.register, order.node) else { return };
        let source = order.source.and_then(|source| self.node_table.by_index(&self.register, source));
        let Some(held) = self.held.get_mut(&dl) else { return };
        self.last_pull += 1;
        let (pull, number) = (self.last_pull, held.pulls.len() as u8);
        held.pulls.push(pull);
        held.acted = self.observer.as_ref().map(|observer| observer.state_number()).or(held.acted);
        let until = match order.timeout {
            Span::ZERO => held.leaves_at,
            time_out => held.leaves_at.min(now + time_out),
        };
        let may_send = self.observer.as_ref().is_none_or(|observer| observer.may_send());
        let mark = self.observer.as_ref().filter(|_| may_send).and_then(|w| w.on_pull(&contact.name, now));
        let request = Request {
            id: held.wish.id,
            content: &self.outside.contents[held.content.0 as usize],
            object: held.wish.object,
            part: held.wish.part,
            timeout_ms: until.since(now).as_micros().div_ceil(1_000).max(1),
            source: source.map(|(_, contact)| contact.name.as_str()),
            rank: order.rank,
            // Rounded down: a copy that is a moment too old will not do, and 0 would mean the usual.
            max_age_ms: (order.max_age > Span::ZERO).then(|| (order.max_age.as_micros() / 1_000).max(1)),
            join: order.join,
            only_if_cached: order.only_held,
            no_store: order.no_copy,
            stale_while_revalidate: order.renew,
            dedup_key: held.wish.dedup_key.as_ref().and_then(|k| std::str::from_utf8(k).ok()),
            known_digest: held.wish.known_digest.as_ref().and_then(|h| std::str::from_utf8(h).ok()),
            body: held.wish.body.clone(),
            // Nodes of the platform know no fields beyond its protocol.
            route: None,
            mark: mark.as_ref(),
        };
        let queued = may_send
            && until > now
            && transport.send_pull(node, contact, pull, held.wish.id, node::encode_request(&request));
        let source = source.map(|(source, _)| source);
        self.out.insert(pull, Out { dl, number, node, source, sent: now });
        if !queued {
            return self.ended(pull, PullOutcome::NotSent, CacheStatus::Unknown, Span::ZERO, now);
        }
        if order.timeout > Span::ZERO {
            self.set(until, Timer::PullTimesOut(pull));
        }
        if order.connect_within > Span::ZERO {
            self.set(now + order.connect_within, Timer::StartsTooLate(pull));
        }
    }
}
