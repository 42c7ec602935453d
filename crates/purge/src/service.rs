//! State machine of the purge service, without sockets or disk. Effects are returned in the order in which
//! they have to be carried out: what is written is synced before any later effect is sent.
//!
//! A fence is an item of the same log as the purges, so it is known to hold once all members that are not
//! fenced have acknowledged its number. A purge is reached when every member has applied it, or is fenced
//! and all others have acknowledged the fence. From then on no member takes an older copy from another.
use crate::members::{
    FENCE_TIMEOUT, GathererUpdate, MAX_GATHERER_ROUND_TRIP, MemberChange, Members, MessageError,
};
use crate::membership::MembershipDigest;
use crate::messages::{Ack, GatheredReport, ToMember};
use crate::promise::{LatencyStats, PendingPurges, Promise, Report};
use crate::retained::{MAX_BATCH_ITEMS, RetainedItems};
use crate::scope::Scope;
use crate::sequencer::{Item, LogEntry, Payload, RateLimit, Sequencer, Submission, SubmitError};
use harestage::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum interval between entries of the floor. If one is lost, its items only have to be acknowledged
/// again.
const FLOOR_WRITE_INTERVAL: Span = Span::millis(1_000);
/// Number of items whose send times are kept to measure the latency of acknowledgements.
const MAX_SEND_TIMES: usize = 4_096;
/// Maximum size of the retained items, whatever their age. An hour and a half at twelve purges a second is
/// 7.3 MB. As log records they take up to twice as much, and the group sends at most 16 MB at once to a
/// member that lost its disk.
pub const MAX_RETAINED_BYTES: usize = 8 << 20;
/// Members that one item may fence or free; more members take several items.
const MAX_MEMBERS_PER_ITEM: usize = 1_024;
/// Minimum interval between items that fence, and between items that free members, as all members have to
/// acknowledge each of them.
const FENCE_ITEM_INTERVAL: Span = Span::millis(100);
/// No member is freed for the first of these times after a fence: while many fall behind, a freed one is
/// soon fenced again, and each fence delays the reports of all purges sent meanwhile. After the second time,
/// members are freed in any case, so that one that keeps falling behind cannot lock out the others.
const FREE_DELAY: (Span, Span) = (Span::millis(1_000), Span::millis(5_000));
/// Extra delay before the next item that frees members, per fenced member. Such items cost each member time
/// in proportion to the list of fenced members: without the delay, they alone kept members lagging.
const FREE_DELAY_PER_FENCED: Span = Span::millis(2);

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append to the log and sync.
    Write(LogEntry),
    /// Send to all connected members and gatherers.
    Broadcast(Item),
    /// Report a purge as reached.
    Report(Report),
}

/// What a member has to be sent in reply to an acknowledgement.
#[derive(Clone, Debug, PartialEq)]
pub enum CatchUp {
    /// The items after those it has applied, at most one batch.
    Delta(Vec<Item>),
    /// First batch of a snapshot: the live items after `after`, up to `upto`, the rest of which follows in
    /// further batches. It is sent if items that the member lacks were evicted, or if its state is unknown.
    /// Nothing up to `after` is sent: unless the member had applied that before, it has to drop all copies
    /// as old as `forgotten_ms`.
    Snapshot { after: u64, upto: u64, forgotten_ms: u64, fenced: BTreeSet<String>, items: Vec<Item> },
}

/// Reply to the report of a gatherer.
#[derive(Clone, Debug, PartialEq)]
pub struct GathererReply {
    pub catch_up: CatchUp,
    pub accepted: MembershipDigest,
    pub upto: u64,
    pub fully_applied: u64,
    pub replaced: BTreeMap<String, u64>,
}

/// State of the purge service.
pub struct Service {
    sequencer: Sequencer,
    members: Members,
    latency: LatencyStats,
    pending: PendingPurges,
    /// Number of the item of each fence that holds.
    fences: BTreeMap<String, u64>,
    /// Number of the latest of them.
    last_fence: u64,
    /// Members that are no longer fenced, but whose item is not sent yet. Until then they are not used.
    to_free: BTreeSet<String>,
    /// When the last fence was sent, when the next item may free members, and since when members have been
    /// waiting for that.
    last_fenced_at: Moment,
    next_free_at: Moment,
    free_waiting_since: Moment,
    /// Send times of recent items by number.
    send_times: BTreeMap<u64, Moment>,
    /// The floor written last, and when.
    written_floor: (u64, Moment),
    /// Floor and last number at the last check for reached purges.
    last_report_check: (u64, u64),
}

impl Service {
    /// Opens the service from its log as the new leader. Unreported purges are pending again, members have
    /// applied what they acknowledged, and fences still hold.
    pub fn open(entries: &[LogEntry], limit: RateLimit, now: Moment) -> (Service, Vec<Effect>) {
        let mut service = Service::load(entries, limit, now);
        let term = service.sequencer.begin_term();
        (service, vec![Effect::Write(term)])
    }

    /// Compacts the log for a member that is not the leader. The log stays in the leader's term: in a new
    /// term, what the leader writes next would be ignored as that of a replaced leader.
    pub fn compacted(entries: &[LogEntry], limit: RateLimit, now: Moment) -> Vec<LogEntry> {
        Service::load(entries, limit, now).snapshot()
    }

    fn load(entries: &[LogEntry], limit: RateLimit, now: Moment) -> Service {
        let mut service = Service {
            sequencer: Sequencer::replay(entries.iter().cloned(), limit),
            members: Members::default(),
            latency: LatencyStats::default(),
            pending: PendingPurges::default(),
            fences: BTreeMap::new(),
            last_fence: 0,
            to_free: BTreeSet::new(),
            last_fenced_at: Moment::default(),
            next_free_at: Moment::default(),
            free_waiting_since: Moment::default(),
            send_times: BTreeMap::new(),
            written_floor: (0, Moment::default()),
            last_report_check: (0, 0),
        };
        service.restore(entries, now);
        service
    }

    /// Restores members, fences and pending purges from the log.
    fn restore(&mut self, entries: &[LogEntry], now: Moment) {
        let (mut members_by_name, mut reported, mut term) =
            (BTreeMap::<String, (u64, u64)>::new(), BTreeSet::new(), 0);
        let mut fenced: BTreeSet<String> = BTreeSet::new();
        let mut replaced: Vec<(String, u64)> = Vec::new();
        let mut floor = 0;
        for entry in entries {
            match entry {
                LogEntry::Term { term: entry_term } => term = term.max(*entry_term),
                LogEntry::Confirmed { term: entry_term, member, incarnation, upto }
                    if *entry_term == term =>
                {
                    let before = members_by_name.insert(member.clone(), (*incarnation, *upto));
                    replaced.extend(
                        before
                            .filter(|(known, _)| known != incarnation)
                            .map(|(known, _)| (member.clone(), known)),
                    );
                }
                LogEntry::Admitted { term: entry_term, members } if *entry_term == term => {
                    for (member, incarnation) in members {
                        match members_by_name.insert(member.clone(), (*incarnation, 0)) {
                            Some((known, applied)) if known == *incarnation => {
                                members_by_name.extend([(member.clone(), (known, applied))])
                            }
                            Some((known, _)) => replaced.push((member.clone(), known)),
                            None => {}
                        }
                    }
                }
                // The floor covers all members that were not fenced when it was written. So does a report,
                // which requires that all of them have applied the purge.
                LogEntry::Floor { term: entry_term, upto }
                | LogEntry::Reported { term: entry_term, number: upto }
                    if *entry_term == term =>
                {
                    if matches!(entry, LogEntry::Reported { .. }) {
                        reported.insert(*upto);
                    }
                    if *upto <= floor {
                        continue;
                    }
                    floor = *upto;
                    let unfenced = members_by_name.iter_mut().filter(|(name, _)| !fenced.contains(*name));
                    unfenced.for_each(|(_, (_, applied))| *applied = floor.max(*applied));
                }
                LogEntry::Item(item) if item.term == term => {
                    item.payload.apply_to_fenced(&mut fenced);
                }
                _ => {}
            }
        }
        let last = self.sequencer.last();
        self.members.restore_last(last, now);
        for (member, (incarnation, upto)) in &members_by_name {
            self.members.restore(member, *incarnation, (*upto).min(last), last, now);
        }
        replaced.iter().for_each(|(member, incarnation)| self.members.restore_replaced(member, *incarnation));
        let items: Vec<Item> = self.sequencer.items().cloned().collect();
        for item in &items {
            match &item.payload {
                Payload::Purge { .. } if reported.contains(&item.number) => {}
                Payload::Purge { .. } => self.pending.insert(item.number, self.promise(now), now),
                fence => self.apply_fence(fence, item.number),
            }
        }
        reported.last().into_iter().for_each(|number| self.members.restore_reported(*number));
        self.fences.keys().for_each(|member| self.members.restore_fence(member));
    }

    /// Updates the fences from an item.
    fn apply_fence(&mut self, payload: &Payload, number: u64) {
        let mut names = BTreeSet::new();
        payload.apply_to_fenced(&mut names);
        for name in names {
            self.fences.insert(name, number);
            self.last_fence = number;
        }
        match payload {
            Payload::Freed { member } => self.fences.retain(|name, _| name != member),
            Payload::FreedMany { members } => self.fences.retain(|name, _| !members.contains(name)),
            _ => {}
        }
    }

    /// Submits a purge, which is identified by the returned number from now on. The client may be told once
    /// all effects before the first `Broadcast` are carried out.
    pub fn submit(
        &mut self,
        scope: Scope,
        tenant: u32,
        key: &str,
        now: Moment,
    ) -> Result<(u64, Promise, Vec<Effect>), SubmitError> {
        let promise = self.promise(now);
        match self.sequencer.submit(scope, tenant, key, now.micros() / 1_000)? {
            Submission::Duplicate(number) => Ok((number, promise, Vec::new())),
            Submission::New(item) => {
                self.pending.insert(item.number, promise, now);
                Ok((item.number, promise, self.log_and_send(item, now)))
            }
        }
    }

    /// Records an item as sent, and returns the effects that log and send it.
    fn log_and_send(&mut self, item: Item, now: Moment) -> Vec<Effect> {
        self.members.on_new_item(item.number, now);
        self.send_times.insert(item.number, now);
        while self.send_times.len() > MAX_SEND_TIMES {
            self.send_times.pop_first();
        }
        vec![Effect::Write(LogEntry::Item(item.clone())), Effect::Broadcast(item)]
    }

    /// Logs and sends items that fence or free members.
    fn send_fences(
        &mut self,
        names: Vec<String>,
        payload: fn(BTreeSet<String>) -> Payload,
        now: Moment,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        for some in names.chunks(MAX_MEMBERS_PER_ITEM) {
            let item = self.sequencer.append(payload(some.iter().cloned().collect()), now.micros() / 1_000);
            self.apply_fence(&item.payload, item.number);
            effects.extend(self.log_and_send(item, now));
        }
        effects
    }

    /// Handles the acknowledgement of a member, and returns what the member lacks.
    pub fn on_ack(&mut self, ack: &Ack, now: Moment) -> Result<(CatchUp, Vec<Effect>), MessageError> {
        let (member, incarnation) = (ack.member.as_str(), ack.incarnation);
        if self.members.is_replaced(member, incarnation) {
            return Err(MessageError::Replaced);
        }
        let before = self
            .members
            .progress(member)
            .filter(|(known, _)| *known == incarnation)
            .map(|(_, applied)| applied);
        let is_new_process = self.members.is_new_process(member, incarnation);
        let change = self.members.on_ack(member, incarnation, ack.applied, ack.bootstrapped, now);
        let applied = self.members.progress(member).map_or(0, |(_, applied)| applied);
        self.record_latency(before.unwrap_or(applied), applied, now);
        let mut effects = Vec::new();
        // A member that was not admitted, as there are too many, is not logged.
        if is_new_process && self.members.progress(member).is_some() {
            effects.push(self.admission(vec![(member.into(), incarnation)]));
        }
        let freed = change.into_iter().filter_map(|change| match change {
            MemberChange::Freed { member } => Some(member),
            MemberChange::Fenced { .. } => None,
        });
        effects.extend(self.queue_free(freed.collect(), now));
        effects.extend(self.take_reports(now));
        Ok((self.catch_up(ack, applied), effects))
    }

    /// Handles the report of a gatherer for all its members. An invalid report is refused and counted, and
    /// has no effect.
    pub fn on_gathered(
        &mut self,
        report: &GatheredReport,
        now: Moment,
    ) -> Result<(GathererReply, Vec<Effect>), MessageError> {
        let update = self.members.on_gathered(report, now)?;
        let GathererUpdate { accepted, freed, admitted, replaced } = update;
        let mut effects = Vec::new();
        if !admitted.is_empty() {
            effects.push(self.admission(admitted));
        }
        effects.extend(self.queue_free(freed, now));
        effects.extend(self.take_reports(now));
        let catch_up = self.catch_up(&report.gatherer, report.gatherer.applied);
        let (upto, fully_applied) = (self.sequencer.last(), self.members.fully_applied());
        Ok((GathererReply { catch_up, accepted, upto, fully_applied, replaced }, effects))
    }

    fn admission(&self, members: Vec<(String, u64)>) -> Effect {
        Effect::Write(LogEntry::Admitted { term: self.sequencer.term(), members })
    }

    /// Frees members whose fences were announced, so that the change has to be announced as well.
    fn queue_free(&mut self, names: Vec<String>, now: Moment) -> Vec<Effect> {
        if self.to_free.is_empty() {
            self.free_waiting_since = now;
        }
        self.to_free.extend(names.into_iter().filter(|name| self.fences.contains_key(name)));
        self.send_freed(now)
    }

    /// Announces members that are no longer fenced, unless it is too soon.
    fn send_freed(&mut self, now: Moment) -> Vec<Effect> {
        // Members that were fenced again meanwhile stay fenced.
        self.to_free.retain(|name| !self.members.is_fenced(name));
        let may_free = now.since(self.last_fenced_at) >= FREE_DELAY.0
            || now.since(self.free_waiting_since) >= FREE_DELAY.1;
        if self.to_free.is_empty() || now < self.next_free_at || !may_free {
            return Vec::new();
        }
        self.next_free_at = now + FENCE_ITEM_INTERVAL + FREE_DELAY_PER_FENCED * self.fences.len() as f64;
        let names = std::mem::take(&mut self.to_free);
        self.send_fences(names.into_iter().collect(), Payload::freed, now)
    }

    /// Records the latency of newly acknowledged items.
    fn record_latency(&mut self, before: u64, applied: u64, now: Moment) {
        for (_, sent_at) in self.send_times.range(before + 1..applied + 1) {
            self.latency.record_ack(now.since(*sent_at));
        }
    }

    fn catch_up(&self, ack: &Ack, applied: u64) -> CatchUp {
        let fenced = || self.fences.keys().cloned().collect();
        let ack = Ack { applied: if ack.bootstrapped { applied } else { ack.applied }, ..ack.clone() };
        self.sequencer.retained().catch_up(&ack, self.members.fully_applied(), fenced)
    }

    /// Fences members that lack an item for too long, and reports the purges that are reached. To be called
    /// regularly.
    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        let mut fenced = Vec::new();
        if now.since(self.last_fenced_at) >= FENCE_ITEM_INTERVAL {
            for change in self.members.tick(now) {
                if let MemberChange::Fenced { member, applied } = change {
                    self.pending.on_member_fenced(&member, applied);
                    // A member that was about to be freed is still fenced for all others.
                    if !self.fences.contains_key(&member) {
                        fenced.push(member);
                    }
                }
            }
        }
        let any = !fenced.is_empty();
        let mut effects = self.send_fences(fenced, Payload::fenced, now);
        if any {
            self.last_fenced_at = now;
        }
        effects.extend(self.send_freed(now));
        effects.extend(self.take_reports(now));
        effects.extend(self.write_floor(now));
        effects
    }

    /// Logs the floor if it has grown and the last entry is old enough.
    fn write_floor(&mut self, now: Moment) -> Option<Effect> {
        let (upto, at) = self.written_floor;
        let min_applied = self.members.min_applied();
        if min_applied <= upto || now.since(at) < FLOOR_WRITE_INTERVAL || self.members.is_empty() {
            return None;
        }
        self.written_floor = (min_applied, now);
        Some(Effect::Write(LogEntry::Floor { term: self.sequencer.term(), upto: min_applied }))
    }

    /// Reports the purges that are reached.
    fn take_reports(&mut self, now: Moment) -> Vec<Effect> {
        let min_applied = self.members.min_applied();
        // Nothing has changed for the pending purges.
        if self.pending.first().is_none_or(|first| first > min_applied)
            || std::mem::replace(&mut self.last_report_check, (min_applied, self.sequencer.last()))
                == self.last_report_check
        {
            return Vec::new();
        }
        let reports = if self.last_fence <= min_applied {
            // All members that are not fenced have applied every fence.
            self.pending.take_reached(min_applied, |_| true, now)
        } else {
            // A member that lacks the purge must be fenced by an item that all others have applied. A fenced
            // member that lacks that item may still take copies from the first, so it must be fenced by an
            // item that all others have applied, too.
            let mut late: Vec<(u64, u64)> = self
                .members
                .fenced()
                // A fence that is not sent yet holds nobody off.
                .map(|(name, applied)| (applied, self.fences.get(name).copied().unwrap_or(u64::MAX)))
                .collect();
            late.sort_unstable();
            let (mut next, mut needed) = (0, 0);
            let is_reached = |number: u64| {
                needed = needed.max(number);
                while let Some((_, fence)) = late.get(next).filter(|(applied, _)| *applied < needed) {
                    needed = needed.max(*fence);
                    next += 1;
                }
                needed <= min_applied
            };
            self.pending.take_reached(min_applied, is_reached, now)
        };
        let term = self.sequencer.term();
        reports.iter().for_each(|report| self.members.mark_reported(report.number));
        let each = reports.into_iter().flat_map(|report| {
            let entry = LogEntry::Reported { term, number: report.number };
            [Effect::Write(entry), Effect::Report(report)]
        });
        each.collect()
    }

    /// Evicts items older than a time in Unix milliseconds, and the oldest ones above the size limit, but
    /// none from the first unreported purge on. Fences that still hold are sent again, so that new members
    /// learn of them.
    pub fn forget_before(&mut self, at_ms: u64, now: Moment) -> Vec<Effect> {
        let first_pending = self.pending.first().and_then(|number| self.sequencer.retained().get(number));
        let at_ms = first_pending.map_or(at_ms, |item| item.at_ms.min(at_ms));
        let before = self.sequencer.first();
        self.sequencer.evict(at_ms, MAX_RETAINED_BYTES);
        let first = self.sequencer.first();
        if first == before {
            return Vec::new();
        }
        let still_fenced: Vec<String> =
            self.fences.iter().filter(|(_, n)| **n < first).map(|(m, _)| m.clone()).collect();
        self.send_fences(still_fenced, Payload::fenced, now)
    }

    /// Returns a minimal log from which the service can be opened in its current state.
    pub fn snapshot(&self) -> Vec<LogEntry> {
        let (term, upto) = (self.sequencer.term(), self.sequencer.first() - 1);
        let base = LogEntry::Base { term, upto, forgotten_ms: self.sequencer.forgotten_ms() };
        let mut entries = vec![LogEntry::Term { term }, base];
        // All items get the current term, whichever term numbered them, as invalid ones were dropped
        // already.
        entries.extend(self.sequencer.items().cloned().map(|item| LogEntry::Item(Item { term, ..item })));
        for name in self.members.names() {
            let before =
                self.members.replaced_incarnations(name).map(|incarnation| (name.to_string(), incarnation));
            entries.extend(before.map(|one| LogEntry::Admitted { term, members: vec![one] }));
        }
        entries.extend(self.members.names().filter_map(|name| {
            let (incarnation, applied) = self.members.progress(name)?;
            Some(LogEntry::Confirmed { term, member: name.into(), incarnation, upto: applied })
        }));
        let pending = self.pending.numbers();
        let purges = self.sequencer.items().filter(|item| matches!(item.payload, Payload::Purge { .. }));
        let reported = purges.filter(|item| !pending.contains(&item.number));
        entries.extend(reported.map(|item| LogEntry::Reported { term, number: item.number }));
        entries
    }

    /// Returns up to `max_count` live purges after a number.
    pub fn purges_after(&self, number: u64, max_count: usize) -> Vec<Item> {
        let from = number.max(self.sequencer.first() - 1);
        let purges = self.sequencer.after(from).into_iter().flatten();
        purges.filter(|item| matches!(item.payload, Payload::Purge { .. })).take(max_count).cloned().collect()
    }

    /// The items that are retained for members that lack them.
    pub fn retained(&self) -> &RetainedItems {
        self.sequencer.retained()
    }

    /// Number of the last item.
    pub fn last(&self) -> u64 {
        self.sequencer.last()
    }

    /// Term of this leader.
    pub fn term(&self) -> u64 {
        self.sequencer.term()
    }

    /// Replication state of all members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Number of purges not reported yet.
    pub fn pending_purges(&self) -> usize {
        self.pending.count()
    }

    /// Returns whether a purge was reported, by this leader or an earlier one.
    pub fn is_reported(&self, number: u64) -> bool {
        number <= self.sequencer.last() && !self.pending.contains(number)
    }

    /// The latency promised for a purge submitted now. After a leader change it includes the remaining grace
    /// period, as nobody is fenced before its end.
    pub fn promise(&self, now: Moment) -> Promise {
        let gatherer_delay = if self.members.has_gatherers() { MAX_GATHERER_ROUND_TRIP } else { Span::ZERO };
        let promise =
            self.latency.promise_with_fence_timeout(FENCE_TIMEOUT + gatherer_delay + FENCE_ITEM_INTERVAL);
        let grace_ms = self.members.leader_grace(now).as_micros().div_ceil(1_000);
        Promise { within_ms: promise.within_ms + grace_ms, ..promise }
    }
}

/// What was sent on the connection of one gatherer. New items are sent at once, without waiting for
/// acknowledgements. Only after a full batch, the next one waits for its acknowledgement, so that a gatherer
/// that lacks many items is paced by its own round trip.
#[derive(Clone, Debug, Default)]
pub struct PushState {
    /// Highest number sent; `None` before the first message.
    sent_upto: Option<u64>,
    /// The last batch was full: nothing more is sent before this number is acknowledged.
    awaited: Option<u64>,
}

impl PushState {
    /// Returns the messages to send after a report, in this order. They contain items up to `may_tell` only,
    /// apart from the first message.
    pub fn reply(
        &mut self,
        service: &Service,
        report: &GatheredReport,
        reply: GathererReply,
        may_send: u64,
    ) -> Vec<ToMember> {
        let term = service.term();
        let mut messages = Vec::new();
        if self.sent_upto.is_none() {
            let upto = match &reply.catch_up {
                CatchUp::Delta(items) => items.last().map_or(report.gatherer.applied, |item| item.number),
                CatchUp::Snapshot { after, items, .. } => items.last().map_or(*after, |item| item.number),
            };
            self.record_push(upto, &reply.catch_up);
            messages.push(ToMember::from_catch_up(term, reply.catch_up));
        } else if self.awaited.is_some_and(|number| report.gatherer.applied >= number) {
            self.awaited = None;
            messages.extend(self.next_push(service, may_send));
        }
        let GathererReply { accepted, upto, fully_applied, replaced, .. } = reply;
        messages.push(ToMember::Membership { accepted, upto, fully_applied, replaced });
        messages
    }

    /// Records what was sent.
    fn record_push(&mut self, upto: u64, catch_up: &CatchUp) {
        let (CatchUp::Delta(items) | CatchUp::Snapshot { items, .. }) = catch_up;
        self.sent_upto = Some(upto);
        self.awaited = (items.len() >= MAX_BATCH_ITEMS).then_some(upto);
    }

    /// Returns whether there is something to send, given that all items up to `may_tell` may be sent.
    pub fn can_push(&self, may_send: u64) -> bool {
        self.awaited.is_none() && self.sent_upto.is_some_and(|upto| upto < may_send)
    }

    /// Returns the next new items up to a number. `None` if there are none, if an acknowledgement is
    /// awaited, or if the items it lacks were evicted, in which case the connection has to start over.
    pub fn next_push(&mut self, service: &Service, upto: u64) -> Option<ToMember> {
        let after = self.sent_upto.filter(|_| self.can_push(upto))?;
        let items = service.retained().after(after)?;
        let items: Vec<Item> =
            items.take_while(|item| item.number <= upto).take(MAX_BATCH_ITEMS).cloned().collect();
        let last = items.last()?.number;
        let catch_up = CatchUp::Delta(items);
        self.record_push(last, &catch_up);
        Some(ToMember::from_catch_up(service.term(), catch_up))
    }
}
