//! The service of purges, without its sockets and its disk. Effects come back in their order: what is written is synced
//! before anything that follows is told.
//!
//! A fence is told like a purge, under a number of the same order. So it is known when it holds: when all who are not
//! fenced themselves have confirmed that number. A purge is reached when everyone has it, or is fenced and everyone else
//! has confirmed the fence; from then on nobody takes an older copy from anyone.
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

/// What all members have is written down at most so often: what is written late only has to be confirmed again.
const WRITTEN_EVERY: Span = Span::millis(1_000);
/// Times of items that are remembered to measure confirmations by.
const MOST_TIMED: usize = 4_096;
/// Bytes of items that are kept, whatever their age: an hour and a half at twelve a second are 7.3 MB. As records they take
/// up to twice as much, and the group sends a member that lost its disk no more than 16 MB at once.
pub const MAX_RETAINED_BYTES: usize = 8 << 20;
/// Members that one item fences or frees; more are told by several.
const MOST_IN_ONE: usize = 1_024;
/// Between two items that fence, and two that free, at least. Each has to be confirmed by all.
const FENCES_EVERY: Span = Span::millis(100);
/// Nobody is freed for as long after somebody was fenced, since whoever is freed while many fall behind is fenced again, and each
/// fence holds the reports of all purges up that came meanwhile; but after the longer time all the same, so that one that
/// falls behind again and again keeps nobody else out.
const FREES_AFTER: (Span, Span) = (Span::millis(1_000), Span::millis(5_000));
/// Before the next item that frees, for each name on the list of fenced members besides. Items about fences cost every member
/// time by the length of that list: freed as they came, members were kept behind that were behind for nothing else.
const FOR_EACH_FENCED: Span = Span::millis(2);

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Write(LogEntry),
    /// To every member and gatherer that is connected.
    Broadcast(Item),
    Report(Report),
}

/// What a member is to be told on its confirmation.
#[derive(Clone, Debug, PartialEq)]
pub enum CatchUp {
    /// These follow what it has; no more than a piece at once.
    Delta(Vec<Item>),
    /// What it lacks is in part forgotten, or its past is unknown: this is the first piece of what it needs of all that
    /// lives, after `after`; up to `upto` it follows in further ones. Up to `after` it is told nothing: unless it had
    /// applied that before, it has to drop all that is as old as `forgotten_ms`.
    Snapshot { after: u64, upto: u64, forgotten_ms: u64, fenced: BTreeSet<String>, items: Vec<Item> },
}

/// What a gatherer is told on its line.
#[derive(Clone, Debug, PartialEq)]
pub struct GathererReply {
    pub catch_up: CatchUp,
    pub accepted: MembershipDigest,
    pub upto: u64,
    pub fully_applied: u64,
    pub replaced: BTreeMap<String, u64>,
}

pub struct Service {
    sequencer: Sequencer,
    members: Members,
    measured: LatencyStats,
    watch: PendingPurges,
    /// The number under which each fence was told that holds now.
    fences: BTreeMap<String, u64>,
    /// The latest of them.
    last_fence: u64,
    /// Who was fenced and may be used again, and is not told of yet: until then nothing is taken from them.
    freed: BTreeSet<String>,
    /// When an item fenced last, when one may free next, and since when somebody waits for that.
    fenced_at: Moment,
    frees_from: Moment,
    freed_since: Moment,
    /// When items were told lately, by their numbers.
    told: BTreeMap<u64, Moment>,
    /// What all had when it was written down last, and when that was.
    written: (u64, Moment),
    /// What all had when it was last looked for reports.
    looked_at: (u64, u64),
}

impl Service {
    /// Takes the service up from its log. Purges that were not reported are watched on, members are taken to have what
    /// they confirmed, and fences hold as they held.
    pub fn open(entries: &[LogEntry], limit: RateLimit, now: Moment) -> (Service, Vec<Effect>) {
        let mut service = Service::read(entries, limit, now);
        let term = service.sequencer.begin_term();
        (service, vec![Effect::Write(term)])
    }

    /// A log in fewer entries, for a member that does not lead. It stays under the term of whoever does: what that one
    /// writes next has to count, and under a term of this member's own it would be taken for that of a service that was
    /// replaced.
    pub fn compacted(entries: &[LogEntry], limit: RateLimit, now: Moment) -> Vec<LogEntry> {
        Service::read(entries, limit, now).snapshot()
    }

    fn read(entries: &[LogEntry], limit: RateLimit, now: Moment) -> Service {
        let mut service = Service {
            sequencer: Sequencer::replay(entries.iter().cloned(), limit),
            members: Members::default(),
            measured: LatencyStats::default(),
            watch: PendingPurges::default(),
            fences: BTreeMap::new(),
            last_fence: 0,
            freed: BTreeSet::new(),
            fenced_at: Moment::default(),
            frees_from: Moment::default(),
            freed_since: Moment::default(),
            told: BTreeMap::new(),
            written: (0, Moment::default()),
            looked_at: (0, 0),
        };
        service.restore(entries, now);
        service
    }

    fn restore(&mut self, entries: &[LogEntry], now: Moment) {
        let (mut known, mut reported, mut term) = (BTreeMap::<String, (u64, u64)>::new(), BTreeSet::new(), 0);
        let mut fenced: BTreeSet<String> = BTreeSet::new();
        let mut former: Vec<(String, u64)> = Vec::new();
        let mut floor = 0;
        for entry in entries {
            match entry {
                LogEntry::Term { term: its } => term = term.max(*its),
                LogEntry::Confirmed { term: its, member, incarnation, upto } if *its == term => {
                    let before = known.insert(member.clone(), (*incarnation, *upto));
                    former.extend(
                        before.filter(|(its, _)| its != incarnation).map(|(its, _)| (member.clone(), its)),
                    );
                }
                LogEntry::Admitted { term: its, members } if *its == term => {
                    for (member, incarnation) in members {
                        match known.insert(member.clone(), (*incarnation, 0)) {
                            Some((its, applied)) if its == *incarnation => {
                                known.extend([(member.clone(), (its, applied))])
                            }
                            Some((its, _)) => former.push((member.clone(), its)),
                            None => {}
                        }
                    }
                }
                // It speaks of those who were not fenced when it was written; and so does a report, which was given
                // only when all of them had the purge.
                LogEntry::Floor { term: its, upto } | LogEntry::Reported { term: its, number: upto }
                    if *its == term =>
                {
                    if matches!(entry, LogEntry::Reported { .. }) {
                        reported.insert(*upto);
                    }
                    if *upto <= floor {
                        continue;
                    }
                    floor = *upto;
                    let free = known.iter_mut().filter(|(name, _)| !fenced.contains(*name));
                    free.for_each(|(_, (_, applied))| *applied = floor.max(*applied));
                }
                LogEntry::Item(item) if item.term == term => {
                    item.payload.apply_to_fenced(&mut fenced);
                }
                _ => {}
            }
        }
        let last = self.sequencer.last();
        self.members.restore_last(last, now);
        for (member, (incarnation, upto)) in &known {
            self.members.restore(member, *incarnation, (*upto).min(last), last, now);
        }
        former.iter().for_each(|(member, incarnation)| self.members.restore_replaced(member, *incarnation));
        let items: Vec<Item> = self.sequencer.items().cloned().collect();
        for item in &items {
            match &item.payload {
                Payload::Purge { .. } if reported.contains(&item.number) => {}
                Payload::Purge { .. } => self.watch.insert(item.number, self.promise(now), now),
                fence => self.hear_fence(fence, item.number),
            }
        }
        reported.last().into_iter().for_each(|number| self.members.restore_reported(*number));
        self.fences.keys().for_each(|member| self.members.restore_fence(member));
    }

    fn hear_fence(&mut self, what: &Payload, number: u64) {
        let mut names = BTreeSet::new();
        what.apply_to_fenced(&mut names);
        for name in names {
            self.fences.insert(name, number);
            self.last_fence = number;
        }
        match what {
            Payload::Freed { member } => self.fences.retain(|name, _| name != member),
            Payload::FreedMany { members } => self.fences.retain(|name, _| !members.contains(name)),
            _ => {}
        }
    }

    /// Asks for a purge. The number stands for it from now on; it may be told to the one who asks once all effects
    /// before the first `Tell` are carried out.
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
                self.watch.insert(item.number, promise, now);
                Ok((item.number, promise, self.tell(item, now)))
            }
        }
    }

    fn tell(&mut self, item: Item, now: Moment) -> Vec<Effect> {
        self.members.on_new_item(item.number, now);
        self.told.insert(item.number, now);
        while self.told.len() > MOST_TIMED {
            self.told.pop_first();
        }
        vec![Effect::Write(LogEntry::Item(item.clone())), Effect::Broadcast(item)]
    }

    /// Tells who is fenced, or freed, from now on.
    fn tell_fences(
        &mut self,
        names: Vec<String>,
        what: fn(BTreeSet<String>) -> Payload,
        now: Moment,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        for some in names.chunks(MOST_IN_ONE) {
            let item = self.sequencer.append(what(some.iter().cloned().collect()), now.micros() / 1_000);
            self.hear_fence(&item.payload, item.number);
            effects.extend(self.tell(item, now));
        }
        effects
    }

    /// A member says which process it is, and that it has applied all up to a number; `told_all`: it was told all that
    /// lives since its start. It is to be told what is missing.
    pub fn on_ack(&mut self, said: &Ack, now: Moment) -> Result<(CatchUp, Vec<Effect>), MessageError> {
        let (member, incarnation) = (said.member.as_str(), said.incarnation);
        if self.members.is_replaced(member, incarnation) {
            return Err(MessageError::Replaced);
        }
        let before =
            self.members.progress(member).filter(|(its, _)| *its == incarnation).map(|(_, applied)| applied);
        let is_new_process = self.members.is_new_process(member, incarnation);
        let change = self.members.on_ack(member, incarnation, said.applied, said.bootstrapped, now);
        let known = self.members.progress(member).map_or(0, |(_, applied)| applied);
        self.measure(before.unwrap_or(known), known, now);
        let mut effects = Vec::new();
        // One that was not taken in, for there are too many, leaves no trace.
        if is_new_process && self.members.progress(member).is_some() {
            effects.push(self.admitted(vec![(member.into(), incarnation)]));
        }
        let freed = change.into_iter().filter_map(|change| match change {
            MemberChange::Freed { member } => Some(member),
            MemberChange::Fenced { .. } => None,
        });
        effects.extend(self.free(freed.collect(), now));
        effects.extend(self.reports(now));
        Ok((self.missing(said, known), effects))
    }

    /// A gatherer says what all below it have. A line that can't be right is refused, counted, and decides nothing.
    pub fn on_gathered(
        &mut self,
        line: &GatheredReport,
        now: Moment,
    ) -> Result<(GathererReply, Vec<Effect>), MessageError> {
        let heard = self.members.on_gathered(line, now)?;
        let GathererUpdate { accepted, freed, admitted, replaced } = heard;
        let mut effects = Vec::new();
        if !admitted.is_empty() {
            effects.push(self.admitted(admitted));
        }
        effects.extend(self.free(freed, now));
        effects.extend(self.reports(now));
        let catch_up = self.missing(&line.gatherer, line.gatherer.applied);
        let (upto, fully_applied) = (self.sequencer.last(), self.members.fully_applied());
        Ok((GathererReply { catch_up, accepted, upto, fully_applied, replaced }, effects))
    }

    fn admitted(&self, members: Vec<(String, u64)>) -> Effect {
        Effect::Write(LogEntry::Admitted { term: self.sequencer.term(), members })
    }

    /// Those that were freed and had been fenced before everyone, who has to hear of it.
    fn free(&mut self, names: Vec<String>, now: Moment) -> Vec<Effect> {
        if self.freed.is_empty() {
            self.freed_since = now;
        }
        self.freed.extend(names.into_iter().filter(|name| self.fences.contains_key(name)));
        self.tell_freed(now)
    }

    fn tell_freed(&mut self, now: Moment) -> Vec<Effect> {
        // One that was fenced again meanwhile stays so.
        self.freed.retain(|name| !self.members.is_fenced(name));
        let rests =
            now.since(self.fenced_at) >= FREES_AFTER.0 || now.since(self.freed_since) >= FREES_AFTER.1;
        if self.freed.is_empty() || now < self.frees_from || !rests {
            return Vec::new();
        }
        self.frees_from = now + FENCES_EVERY + FOR_EACH_FENCED * self.fences.len() as f64;
        let names = std::mem::take(&mut self.freed);
        self.tell_fences(names.into_iter().collect(), Payload::freed, now)
    }

    fn measure(&mut self, before: u64, known: u64, now: Moment) {
        for (_, told) in self.told.range(before + 1..known + 1) {
            self.measured.record_ack(now.since(*told));
        }
    }

    fn missing(&self, said: &Ack, known: u64) -> CatchUp {
        let fenced = || self.fences.keys().cloned().collect();
        let said = Ack { applied: if said.bootstrapped { known } else { said.applied }, ..said.clone() };
        self.sequencer.retained().catch_up(&said, self.members.fully_applied(), fenced)
    }

    /// Fences who lacks something for too long, and reports what is reached.
    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        let mut fenced = Vec::new();
        if now.since(self.fenced_at) >= FENCES_EVERY {
            for change in self.members.tick(now) {
                if let MemberChange::Fenced { member, applied } = change {
                    self.watch.on_member_fenced(&member, applied);
                    // One that was about to be freed is held off still, as everyone has heard.
                    if !self.fences.contains_key(&member) {
                        fenced.push(member);
                    }
                }
            }
        }
        let any = !fenced.is_empty();
        let mut effects = self.tell_fences(fenced, Payload::fenced, now);
        if any {
            self.fenced_at = now;
        }
        effects.extend(self.tell_freed(now));
        effects.extend(self.reports(now));
        effects.extend(self.write_down(now));
        effects
    }

    fn write_down(&mut self, now: Moment) -> Option<Effect> {
        let (upto, at) = self.written;
        let all_have = self.members.min_applied();
        if all_have <= upto || now.since(at) < WRITTEN_EVERY || self.members.is_empty() {
            return None;
        }
        self.written = (all_have, now);
        Some(Effect::Write(LogEntry::Floor { term: self.sequencer.term(), upto: all_have }))
    }

    fn reports(&mut self, now: Moment) -> Vec<Effect> {
        let all_have = self.members.min_applied();
        // Nothing is new for what is open.
        if self.watch.first().is_none_or(|first| first > all_have)
            || std::mem::replace(&mut self.looked_at, (all_have, self.sequencer.last())) == self.looked_at
        {
            return Vec::new();
        }
        let reports = if self.last_fence <= all_have {
            // Everyone who counts has heard of every fence.
            self.watch.take_reached(all_have, |_| true, now)
        } else {
            // Whoever lacks the purge is fenced, by a fence that all others have; and whoever of those has not heard of
            // that one is fenced too, by one that all the others have, since it may still take from the first.
            let mut late: Vec<(u64, u64)> = self
                .members
                .fenced()
                // A fence that is not told yet holds nobody off.
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
                needed <= all_have
            };
            self.watch.take_reached(all_have, is_reached, now)
        };
        let term = self.sequencer.term();
        reports.iter().for_each(|report| self.members.mark_reported(report.number));
        let each = reports.into_iter().flat_map(|report| {
            let written = LogEntry::Reported { term, number: report.number };
            [Effect::Write(written), Effect::Report(report)]
        });
        each.collect()
    }

    /// Forgets items of before that time, Unix milliseconds, and the oldest past the bound on bytes; but nothing that is
    /// not reported. A fence that still holds is told anew, so that whoever comes hears of it.
    pub fn forget_before(&mut self, at_ms: u64, now: Moment) -> Vec<Effect> {
        let first_open = self.watch.first().and_then(|number| self.sequencer.retained().get(number));
        let at_ms = first_open.map_or(at_ms, |open| open.at_ms.min(at_ms));
        let before = self.sequencer.first();
        self.sequencer.evict(at_ms, MAX_RETAINED_BYTES);
        let first = self.sequencer.first();
        if first == before {
            return Vec::new();
        }
        let held: Vec<String> =
            self.fences.iter().filter(|(_, n)| **n < first).map(|(m, _)| m.clone()).collect();
        self.tell_fences(held, Payload::fenced, now)
    }

    /// Everything that a log has to hold to open the service as it is now.
    pub fn snapshot(&self) -> Vec<LogEntry> {
        let (term, upto) = (self.sequencer.term(), self.sequencer.first() - 1);
        let base = LogEntry::Base { term, upto, forgotten_ms: self.sequencer.forgotten_ms() };
        let mut entries = vec![LogEntry::Term { term }, base];
        // Under this term, whichever gave them their numbers: what counts has been sorted out.
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
        let open = self.watch.numbers();
        let purges = self.sequencer.items().filter(|item| matches!(item.payload, Payload::Purge { .. }));
        let reported = purges.filter(|item| !open.contains(&item.number));
        entries.extend(reported.map(|item| LogEntry::Reported { term, number: item.number }));
        entries
    }

    /// Purges that live, after a number: at most so many.
    pub fn purges_after(&self, number: u64, most: usize) -> Vec<Item> {
        let from = number.max(self.sequencer.first() - 1);
        let purges = self.sequencer.after(from).into_iter().flatten();
        purges.filter(|item| matches!(item.payload, Payload::Purge { .. })).take(most).cloned().collect()
    }

    pub fn retained(&self) -> &RetainedItems {
        self.sequencer.retained()
    }

    pub fn last(&self) -> u64 {
        self.sequencer.last()
    }

    pub fn term(&self) -> u64 {
        self.sequencer.term()
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Purges that are not reported yet.
    pub fn pending_purges(&self) -> usize {
        self.watch.count()
    }

    /// Whether it was reported, by this member or one that led before.
    pub fn is_reported(&self, number: u64) -> bool {
        number <= self.sequencer.last() && !self.watch.contains(number)
    }

    /// What is promised for a purge that comes now: longer as long as members may be looking for this service, which has
    /// just taken over, since nobody is fenced before.
    pub fn promise(&self, now: Moment) -> Promise {
        let way = if self.members.has_gatherers() { MAX_GATHERER_ROUND_TRIP } else { Span::ZERO };
        let promise = self.measured.promise_with_fence_timeout(FENCE_TIMEOUT + way + FENCES_EVERY);
        let found_in = self.members.leader_grace(now).as_micros().div_ceil(1_000);
        Promise { within_ms: promise.within_ms + found_in, ..promise }
    }
}

/// What one gatherer's connection was told. Items go out as they come, without waiting for an answer to each; only after a
/// full piece it is waited for, so that one that lacks much is paced by its own way.
#[derive(Clone, Debug, Default)]
pub struct PushState {
    /// All up to it; none: nothing yet.
    upto: Option<u64>,
    /// The last piece was full: no more before that is had.
    waits_for: Option<u64>,
}

impl PushState {
    /// What is written after a line of the gatherer, in this order; items up to `may_tell`, but for what comes first.
    pub fn reply(
        &mut self,
        service: &Service,
        line: &GatheredReport,
        answered: GathererReply,
        may_tell: u64,
    ) -> Vec<ToMember> {
        let term = service.term();
        let mut told = Vec::new();
        if self.upto.is_none() {
            let upto = match &answered.catch_up {
                CatchUp::Delta(items) => items.last().map_or(line.gatherer.applied, |item| item.number),
                CatchUp::Snapshot { after, items, .. } => items.last().map_or(*after, |item| item.number),
            };
            self.has_told(upto, &answered.catch_up);
            told.push(ToMember::from_catch_up(term, answered.catch_up));
        } else if self.waits_for.is_some_and(|number| line.gatherer.applied >= number) {
            self.waits_for = None;
            told.extend(self.next_push(service, may_tell));
        }
        let GathererReply { accepted, upto, fully_applied, replaced, .. } = answered;
        told.push(ToMember::Membership { accepted, upto, fully_applied, replaced });
        told
    }

    fn has_told(&mut self, upto: u64, missing: &CatchUp) {
        let (CatchUp::Delta(items) | CatchUp::Snapshot { items, .. }) = missing;
        self.upto = Some(upto);
        self.waits_for = (items.len() >= MAX_BATCH_ITEMS).then_some(upto);
    }

    /// Whether it is told something where all up to that number may be told.
    pub fn can_push(&self, may_tell: u64) -> bool {
        self.waits_for.is_none() && self.upto.is_some_and(|upto| upto < may_tell)
    }

    /// What is new, up to a number. None: nothing, or it is not its turn, or the connection has to begin anew since what
    /// it lacks is forgotten.
    pub fn next_push(&mut self, service: &Service, upto: u64) -> Option<ToMember> {
        let after = self.upto.filter(|_| self.can_push(upto))?;
        let items = service.retained().after(after)?;
        let items: Vec<Item> =
            items.take_while(|item| item.number <= upto).take(MAX_BATCH_ITEMS).cloned().collect();
        let last = items.last()?.number;
        let missing = CatchUp::Delta(items);
        self.has_told(last, &missing);
        Some(ToMember::from_catch_up(service.term(), missing))
    }
}
