//! The way as it stood before confirmations were gathered by site: every member confirms to the leader itself, each open
//! purge is held against every member by name at each confirmation, members that come back are told all that lives as JSON,
//! and a branch's board folds single purges into purges of all groups at its bound. Kept here, reduced to what a run
//! needs, so that the baseline lives on beside the way that took its place.
use harestage::time::{Moment, Span};
use harestage_purge::scope::Scope;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A member that lacks a purge for as long after it was told is fenced.
pub const FENCED_AFTER: Span = Span::millis(250);
/// What a member has is written down at most so often.
const WRITTEN_EVERY: Span = Span::millis(1_000);
/// Times of items that are remembered to measure confirmations by.
const MOST_TIMED: usize = 4_096;
/// Nothing shorter was promised; before so many were measured, a second was.
const LEAST_MS: f64 = 300.0;
const UNMEASURED_MS: u64 = 1_000;
const ENOUGH: u64 = 50;
/// Of what was measured, this part was quicker; twice its time was promised.
const PART: f64 = 0.999;
const TIMES: f64 = 2.0;
/// Longest delay that was measured, in milliseconds.
const LONGEST_MS: u64 = 3_600_000;
/// Purges of single objects that lived at once on a branch's board before they were folded.
const MOST_OBJECTS: usize = 4_096;
/// How long they lived there.
const LIVES_MS: u64 = 3_660_000;

/// One thing that every member is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub number: u64,
    pub term: u64,
    pub at_ms: u64,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    Purge { scope: Scope, tenant: u32, key: String },
    Fenced { member: String },
    Freed { member: String },
}

/// What stood in the log.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    Item(Item),
    Confirmed { term: u64, member: String, start: u64, upto: u64 },
    Reported { term: u64, number: u64 },
}

/// A member's line.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Confirm {
    pub member: String,
    pub start: u64,
    pub has: u64,
    pub told_all: bool,
}

/// The answer to it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToMember {
    Items { term: u64, items: Vec<Item> },
    All { term: u64, upto: u64, forgotten_ms: u64, items: Vec<Item> },
}

/// How a purge ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub number: u64,
    pub reached_ms: u64,
}

#[derive(Clone, Debug)]
pub enum Effect {
    Write(Entry),
    Tell(Item),
    Report(Report),
}

struct Member {
    start: u64,
    has: u64,
    lacks: Option<Moment>,
    fenced: bool,
}

/// Who has what.
#[derive(Default)]
struct Members {
    known: BTreeMap<String, Member>,
    last: u64,
}

impl Members {
    fn of(&self, name: &str) -> Option<(u64, u64)> {
        self.known.get(name).map(|member| (member.start, member.has))
    }

    fn is_fenced(&self, name: &str) -> bool {
        self.known.get(name).is_some_and(|member| member.fenced)
    }

    fn names(&self) -> impl Iterator<Item = &str> {
        self.known.keys().map(String::as_str)
    }

    fn purged(&mut self, number: u64, now: Moment) {
        self.last = self.last.max(number);
        let last = self.last;
        self.known.values_mut().filter(|m| m.has < last).for_each(|m| m.lacks = m.lacks.or(Some(now)));
    }

    /// True: it was fenced, and has caught up.
    fn confirm(&mut self, name: &str, start: u64, has: u64, told_all: bool, now: Moment) -> bool {
        let last = self.last;
        let fresh = || Member { start, has: 0, lacks: Some(now), fenced: true };
        let member = self.known.entry(name.into()).or_insert_with(fresh);
        if member.start != start {
            *member = fresh();
        }
        if has > last || !told_all && member.has == 0 {
            return false;
        }
        member.has = member.has.max(has);
        if member.has < last {
            return false;
        }
        member.lacks = None;
        std::mem::take(&mut member.fenced)
    }

    fn beat(&mut self, now: Moment) -> Vec<String> {
        let due = self
            .known
            .iter_mut()
            .filter(|(_, m)| !m.fenced && m.lacks.is_some_and(|since| now.since(since) >= FENCED_AFTER));
        due.map(|(name, member)| {
            member.fenced = true;
            name.clone()
        })
        .collect()
    }
}

/// Delays that were measured, for what is promised.
struct Measured(Histogram<u64>);

impl Measured {
    fn new() -> Measured {
        Measured(Histogram::new_with_bounds(1, LONGEST_MS, 3).expect("the bounds are apart"))
    }

    fn confirmed(&mut self, took: Span) {
        self.0.saturating_record((took.as_micros() / 1_000).max(1));
    }

    fn promise(&self) -> (u64, f64) {
        if self.0.len() < ENOUGH {
            return (UNMEASURED_MS, 0.0);
        }
        let quick = self.0.value_at_quantile(PART) as f64;
        let fence = FENCED_AFTER.as_micros() as f64 / 1e3 + quick;
        let within = (quick * TIMES).max(fence).max(LEAST_MS).ceil() as u64;
        (within, self.0.count_between(0, within) as f64 / self.0.len() as f64)
    }
}

/// The leader's state machine.
pub struct Service {
    live: VecDeque<Item>,
    last: u64,
    members: Members,
    measured: Measured,
    /// Purges that are not reported, since when.
    open: BTreeMap<u64, Moment>,
    /// The number under which each fence was told that holds now.
    fences: BTreeMap<String, u64>,
    told: BTreeMap<u64, Moment>,
    written: BTreeMap<String, (u64, Moment)>,
}

const TERM: u64 = 1;

impl Default for Service {
    fn default() -> Service {
        Service {
            live: VecDeque::new(),
            last: 0,
            members: Members::default(),
            measured: Measured::new(),
            open: BTreeMap::new(),
            fences: BTreeMap::new(),
            told: BTreeMap::new(),
            written: BTreeMap::new(),
        }
    }
}

impl Service {
    /// Asks for a purge: its number, and what follows.
    pub fn submit(&mut self, scope: Scope, tenant: u32, key: &str, now: Moment) -> (u64, Vec<Effect>) {
        let _ = self.measured.promise();
        let item = self.note(What::Purge { scope, tenant, key: key.into() }, now);
        self.open.insert(item.number, now);
        (item.number, self.tell(item, now))
    }

    fn note(&mut self, what: What, now: Moment) -> Item {
        self.last += 1;
        let item = Item { number: self.last, term: TERM, at_ms: now.micros() / 1_000, what };
        self.live.push_back(item.clone());
        item
    }

    fn tell(&mut self, item: Item, now: Moment) -> Vec<Effect> {
        self.members.purged(item.number, now);
        self.told.insert(item.number, now);
        while self.told.len() > MOST_TIMED {
            self.told.pop_first();
        }
        vec![Effect::Write(Entry::Item(item.clone())), Effect::Tell(item)]
    }

    /// A member's line: its answer, and what follows.
    pub fn confirm(&mut self, said: &Confirm, now: Moment) -> (ToMember, Vec<Effect>) {
        let Confirm { member, start, has, told_all } = said;
        let before = self.members.of(member).filter(|(its, _)| its == start).map(|(_, has)| has);
        let freed = self.members.confirm(member, *start, *has, *told_all, now);
        let known = self.members.of(member).map_or(0, |(_, has)| has);
        for (_, told) in self.told.range(before.unwrap_or(known) + 1..known + 1) {
            self.measured.confirmed(now.since(*told));
        }
        let mut effects = self.write_down(member, *start, known, now);
        if freed && self.fences.remove(member).is_some() {
            let item = self.note(What::Freed { member: member.clone() }, now);
            effects.extend(self.tell(item, now));
        }
        effects.extend(self.reports(now));
        (self.missing(known, *told_all), effects)
    }

    fn write_down(&mut self, member: &str, start: u64, upto: u64, now: Moment) -> Vec<Effect> {
        let due =
            self.written.get(member).is_none_or(|(its, at)| *its != start || now.since(*at) >= WRITTEN_EVERY);
        if !due || upto == 0 && self.last > 0 {
            return Vec::new();
        }
        self.written.insert(member.into(), (start, now));
        vec![Effect::Write(Entry::Confirmed { term: TERM, member: member.into(), start, upto })]
    }

    fn missing(&self, has: u64, told_all: bool) -> ToMember {
        let first = self.live.front().map_or(self.last + 1, |item| item.number);
        match told_all && has + 1 >= first {
            true => {
                let items = self.live.iter().skip((has + 1 - first) as usize).cloned().collect();
                ToMember::Items { term: TERM, items }
            }
            false => {
                let items = self.live.iter().cloned().collect();
                ToMember::All { term: TERM, upto: self.last, forgotten_ms: 0, items }
            }
        }
    }

    /// Fences who lacks something for too long, and reports what is reached.
    pub fn beat(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        for member in self.members.beat(now) {
            let item = self.note(What::Fenced { member: member.clone() }, now);
            self.fences.insert(member, item.number);
            effects.extend(self.tell(item, now));
        }
        effects.extend(self.reports(now));
        effects
    }

    fn reports(&mut self, now: Moment) -> Vec<Effect> {
        let (members, fences) = (&self.members, &self.fences);
        let done: Vec<u64> =
            self.open.keys().copied().filter(|number| reached(members, fences, *number)).collect();
        let report = |number| {
            let begun = self.open.remove(&number)?;
            let reached_ms = now.since(begun).as_micros().div_ceil(1_000);
            let written = Effect::Write(Entry::Reported { term: TERM, number });
            Some([written, Effect::Report(Report { number, reached_ms })])
        };
        done.into_iter().filter_map(report).flatten().collect()
    }

    /// Items after a number, as the line of a member that follows is told them.
    pub fn after(&self, number: u64) -> ToMember {
        self.missing(number, true)
    }

    /// How many purges are not reported.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// How many members are fenced.
    pub fn fenced(&self) -> usize {
        self.members.known.values().filter(|member| member.fenced).count()
    }
}

/// Everyone has the purge, or is fenced by a fence that all others have.
fn reached(members: &Members, fences: &BTreeMap<String, u64>, number: u64) -> bool {
    let has = |name: &str| members.of(name).map_or(0, |(_, has)| has);
    let late = members.names().filter(|name| members.is_fenced(name) && has(name) < number);
    let fence = |name: &str| fences.get(name).copied().unwrap_or(u64::MAX);
    let needed = late.map(fence).max().unwrap_or(0).max(number);
    members.names().filter(|name| !members.is_fenced(name)).all(|name| has(name) >= needed)
}

/// The purges of a branch's board, and how often they were folded into purges of all groups.
#[derive(Default)]
pub struct Board {
    objects: BTreeMap<u64, u64>,
    pub folds: u64,
}

impl Board {
    pub fn purge(&mut self, object: u64, at_ms: u64) {
        if self.objects.len() >= MOST_OBJECTS && !self.objects.contains_key(&object) {
            self.objects.clear();
            self.folds += 1;
            return;
        }
        let known = self.objects.entry(object).or_insert(0);
        *known = at_ms.max(*known);
    }

    pub fn beat(&mut self, now_ms: u64) {
        let oldest_ms = now_ms.saturating_sub(LIVES_MS);
        self.objects.retain(|_, at| *at >= oldest_ms);
    }
}
