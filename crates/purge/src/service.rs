//! The service of purges, without its sockets and its disk. Effects come back in their order: what is written is synced
//! before anything that follows is told.
//!
//! A fence is told like a purge, under a number of the same order. So it is known when it holds: when all who are not
//! fenced themselves have confirmed that number. A purge is reached when everyone has it, or is fenced and everyone else
//! has confirmed the fence; from then on nobody takes an older copy from anyone.
use crate::members::{Change, Members};
use crate::order::{Entry, Item, Limit, Order, Refused, Taken, What};
use crate::promise::{Measured, Promise, Report, Watch};
use crate::scope::Scope;
use harestage::time::{Moment, Span};
use std::collections::BTreeMap;

/// What a member has is written down at most so often: what is written late only has to be confirmed again.
const WRITTEN_EVERY: Span = Span::millis(1_000);
/// Times of items that are remembered to measure confirmations by.
const MOST_TIMED: usize = 4_096;

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Write(Entry),
    /// To every member that is connected.
    Tell(Item),
    Report(Report),
}

/// What a member is to be told on its confirmation.
#[derive(Clone, Debug, PartialEq)]
pub enum Missing {
    /// These follow what it has.
    Items(Vec<Item>),
    /// What it lacks is in part forgotten, or its past is unknown: this is all that lives.
    /// What was forgotten before is as old as `forgotten_ms` at most: who has been away for as long has to drop all that
    /// is older.
    All { items: Vec<Item>, upto: u64, forgotten_ms: u64 },
}

pub struct Service {
    order: Order,
    members: Members,
    measured: Measured,
    watch: Watch,
    /// The number under which each fence was told that holds now.
    fences: BTreeMap<String, u64>,
    /// When items were told lately, by their numbers.
    told: BTreeMap<u64, Moment>,
    written: BTreeMap<String, (u64, Moment)>,
}

impl Service {
    /// Takes the service up from its log. Purges that were not reported are watched on, members are taken to have what
    /// they confirmed, and fences hold as they held.
    pub fn open(entries: &[Entry], limit: Limit, now: Moment) -> (Service, Vec<Effect>) {
        let (order, term) = Order::recall(entries.iter().cloned(), limit);
        let mut service = Service {
            order,
            members: Members::default(),
            measured: Measured::default(),
            watch: Watch::default(),
            fences: BTreeMap::new(),
            told: BTreeMap::new(),
            written: BTreeMap::new(),
        };
        service.recall(entries, now);
        (service, vec![Effect::Write(term)])
    }

    fn recall(&mut self, entries: &[Entry], now: Moment) {
        let (mut confirmed, mut reported, mut term) = (BTreeMap::new(), Vec::new(), 0);
        for entry in entries {
            match entry {
                Entry::Term { term: its } => term = term.max(*its),
                Entry::Confirmed { term: its, member, start, upto } if *its == term => {
                    confirmed.insert(member.clone(), (*start, *upto));
                }
                Entry::Reported { term: its, number } if *its == term => reported.push(*number),
                _ => {}
            }
        }
        let last = self.order.last();
        for (member, (start, upto)) in &confirmed {
            self.members.recall(member, *start, (*upto).min(last), last, now);
        }
        let items: Vec<Item> = self.order.live().cloned().collect();
        for item in &items {
            match &item.what {
                What::Fenced { member } => drop(self.fences.insert(member.clone(), item.number)),
                What::Freed { member } => drop(self.fences.remove(member)),
                What::Purge { .. } if reported.contains(&item.number) => {}
                What::Purge { .. } => self.watch.begin(item.number, self.measured.promise(), now),
            }
        }
        self.fences.keys().for_each(|member| self.members.recall_fence(member, now));
    }

    /// Asks for a purge. The number stands for it from now on; it may be told to the one who asks once all effects
    /// before the first `Tell` are carried out.
    pub fn submit(
        &mut self,
        scope: Scope,
        tenant: u32,
        key: &str,
        now: Moment,
    ) -> Result<(u64, Promise, Vec<Effect>), Refused> {
        let promise = self.measured.promise();
        match self.order.ask(scope, tenant, key, now.micros() / 1_000)? {
            Taken::Known(number) => Ok((number, promise, Vec::new())),
            Taken::New(item) => {
                self.watch.begin(item.number, promise, now);
                Ok((item.number, promise, self.tell(item, now)))
            }
        }
    }

    fn tell(&mut self, item: Item, now: Moment) -> Vec<Effect> {
        self.members.purged(item.number, now);
        self.told.insert(item.number, now);
        while self.told.len() > MOST_TIMED {
            self.told.pop_first();
        }
        vec![Effect::Write(Entry::Item(item.clone())), Effect::Tell(item)]
    }

    /// A member says which process it is, and that it has applied all up to a number; `told_all`: it was told all that
    /// lives since its start. It is to be told what is missing.
    pub fn confirm(
        &mut self,
        member: &str,
        start: u64,
        has: u64,
        told_all: bool,
        now: Moment,
    ) -> (Missing, Vec<Effect>) {
        let before = self.members.of(member).filter(|(its, _)| *its == start).map(|(_, has)| has);
        let change = self.members.confirm(member, start, has, told_all, now);
        let known = self.members.of(member).map_or(0, |(_, has)| has);
        self.measure(before.unwrap_or(known), known, now);
        let mut effects = self.write_down(member, start, known, now);
        if let Some(Change::Freed { member }) = change
            && self.fences.remove(&member).is_some()
        {
            let item = self.order.note(What::Freed { member }, now.micros() / 1_000);
            effects.extend(self.tell(item, now));
        }
        effects.extend(self.reports(now));
        (self.missing(known, told_all), effects)
    }

    fn measure(&mut self, before: u64, known: u64, now: Moment) {
        for (_, told) in self.told.range(before + 1..known + 1) {
            self.measured.confirmed(now.since(*told));
        }
    }

    fn write_down(&mut self, member: &str, start: u64, upto: u64, now: Moment) -> Vec<Effect> {
        let due =
            self.written.get(member).is_none_or(|(its, at)| *its != start || now.since(*at) >= WRITTEN_EVERY);
        // One that was not taken in, for there are too many, leaves no trace.
        if !due || upto == 0 && self.order.last() > 0 || self.members.of(member).is_none() {
            return Vec::new();
        }
        self.written.insert(member.into(), (start, now));
        let term = self.order.term();
        vec![Effect::Write(Entry::Confirmed { term, member: member.into(), start, upto })]
    }

    fn missing(&self, has: u64, told_all: bool) -> Missing {
        let after = if told_all { self.order.after(has) } else { None };
        match after {
            Some(items) => Missing::Items(items.cloned().collect()),
            None => {
                let items = self.order.live().cloned().collect();
                Missing::All { items, upto: self.order.last(), forgotten_ms: self.order.forgotten_ms() }
            }
        }
    }

    /// Fences who lacks something for too long, and reports what is reached.
    pub fn beat(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        for change in self.members.beat(now) {
            if let Change::Fenced { member, has } = change {
                self.watch.fenced(&member, has);
                let item = self.order.note(What::Fenced { member: member.clone() }, now.micros() / 1_000);
                self.fences.insert(member, item.number);
                effects.extend(self.tell(item, now));
            }
        }
        effects.extend(self.reports(now));
        effects
    }

    fn reports(&mut self, now: Moment) -> Vec<Effect> {
        let (members, fences) = (&self.members, &self.fences);
        let reports = self.watch.reached(|number| reached(members, fences, number), now);
        let term = self.order.term();
        let each = reports.into_iter().flat_map(|report| {
            let written = Entry::Reported { term, number: report.number };
            [Effect::Write(written), Effect::Report(report)]
        });
        each.collect()
    }

    /// Forgets items of before that time, Unix milliseconds, that everyone has or is fenced for. A fence that still holds
    /// is told anew, so that whoever comes hears of it.
    pub fn forget_before(&mut self, at_ms: u64, now: Moment) -> Vec<Effect> {
        if self.watch.open() > 0 {
            return Vec::new();
        }
        let before = self.order.first();
        self.order.forget_before(at_ms);
        let first = self.order.first();
        if first == before {
            return Vec::new();
        }
        let held: Vec<String> =
            self.fences.iter().filter(|(_, n)| **n < first).map(|(m, _)| m.clone()).collect();
        let mut effects = Vec::new();
        for member in held {
            let item = self.order.note(What::Fenced { member: member.clone() }, now.micros() / 1_000);
            self.fences.insert(member, item.number);
            effects.extend(self.tell(item, now));
        }
        effects
    }

    /// Everything that a log has to hold to open the service as it is now.
    pub fn whole(&self) -> Vec<Entry> {
        let (term, upto) = (self.order.term(), self.order.first() - 1);
        let base = Entry::Base { term, upto, forgotten_ms: self.order.forgotten_ms() };
        let mut entries = vec![Entry::Term { term }, base];
        // Under this term, whichever gave them their numbers: what counts has been sorted out.
        entries.extend(self.order.live().cloned().map(|item| Entry::Item(Item { term, ..item })));
        entries.extend(self.members.names().filter_map(|name| {
            let (start, has) = self.members.of(name)?;
            Some(Entry::Confirmed { term, member: name.into(), start, upto: has })
        }));
        let open = self.watch.numbers();
        let purges = self.order.live().filter(|item| matches!(item.what, What::Purge { .. }));
        let reported = purges.filter(|item| !open.contains(&item.number));
        entries.extend(reported.map(|item| Entry::Reported { term, number: item.number }));
        entries
    }

    /// Purges that live.
    pub fn live(&self) -> Vec<Item> {
        self.order.live().filter(|item| matches!(item.what, What::Purge { .. })).cloned().collect()
    }

    pub fn last(&self) -> u64 {
        self.order.last()
    }

    pub fn term(&self) -> u64 {
        self.order.term()
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Purges that are not reported yet.
    pub fn open_purges(&self) -> usize {
        self.watch.open()
    }

    pub fn promise(&self) -> Promise {
        self.measured.promise()
    }
}

/// Everyone has the purge, or is fenced by a fence that all others have.
fn reached(members: &Members, fences: &BTreeMap<String, u64>, number: u64) -> bool {
    let has = |name: &str| members.of(name).map_or(0, |(_, has)| has);
    let late = members.names().filter(|name| members.is_fenced(name) && has(name) < number);
    // A fence that is not told yet holds nobody off.
    let fence = |name: &str| fences.get(name).copied().unwrap_or(u64::MAX);
    let needed = late.map(fence).max().unwrap_or(0).max(number);
    members.names().filter(|name| !members.is_fenced(name)).all(|name| has(name) >= needed)
}
