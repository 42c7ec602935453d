//! The service, its log and its members with everything that goes wrong between them: lost, late and doubled messages,
//! members that fall silent, restart or come back, a service that dies between writing, answering and telling. What holds
//! throughout: once a purge is reported, nobody who may be asked takes a copy older than it from anyone.
use harestage::time::Moment;
use harestage_purge::follower::{Action, Follower};
use harestage_purge::messages::{Ack, Past, ToMember};
use harestage_purge::scope::{CompiledScope, Scope};
use harestage_purge::sequencer::{Delivery, Item, LogEntry, LogPosition, Payload, RateLimit};
use harestage_purge::service::{CatchUp, Effect, Service};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

const LIMIT: RateLimit = RateLimit { rate: 1e6, burst: 1e6 };

/// A member: a cache that keeps to what it was told, and takes copies from others.
#[derive(Clone, Default)]
struct Member {
    start: u64,
    place: LogPosition,
    told_all: bool,
    applied: BTreeSet<u64>,
    fenced: BTreeSet<String>,
    silent_until: u64,
}

impl Member {
    /// `term`: of the service that tells it, which may be younger than the one that gave it its number.
    fn apply(&mut self, item: &Item, term: u64) {
        if self.place.advance(term, item.number) == Delivery::Next {
            self.take(item);
        }
    }

    fn take(&mut self, item: &Item) {
        self.applied.insert(item.number);
        item.payload.apply_to_fenced(&mut self.fenced);
    }

    fn learn(&mut self, missing: &CatchUp, term: u64) {
        match missing {
            CatchUp::Delta(items) => items.iter().for_each(|item| self.apply(item, term)),
            CatchUp::Snapshot { after, upto, fenced, items, .. } if term >= self.place.term => {
                self.fenced.clear();
                self.place = LogPosition { term, number: *after };
                items.iter().for_each(|item| self.apply(item, term));
                self.fenced.extend(fenced.iter().cloned());
                // All at once: no list here is longer than a piece.
                assert_eq!(self.place.number, *upto);
                self.told_all = true;
            }
            CatchUp::Snapshot { .. } => {}
        }
    }
}

struct World {
    seed: u64,
    drawn: u64,
    now: u64,
    service: Option<Service>,
    log: Vec<LogEntry>,
    members: BTreeMap<String, Member>,
    /// When each report was given.
    reported: BTreeMap<u64, u64>,
    acknowledged: BTreeSet<u64>,
    asked: u32,
    /// The service dies after so many more effects.
    dies_in: Option<u64>,
}

impl World {
    fn new(seed: u64, members: usize) -> World {
        let (service, effects) = Service::open(&[], LIMIT, at(0));
        let mut world = World {
            seed,
            drawn: 0,
            now: 0,
            service: Some(service),
            log: Vec::new(),
            members: (0..members).map(|n| (format!("m{n}"), Member::default())).collect(),
            reported: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            asked: 0,
            dies_in: None,
        };
        world.carry_out(effects);
        world
    }

    fn chance(&mut self, below: u64) -> u64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        hasher.finish() % below
    }

    /// True: the service died before the end of them.
    fn carry_out(&mut self, effects: Vec<Effect>) -> bool {
        for effect in effects {
            if let Some(left) = &mut self.dies_in {
                if *left == 0 {
                    (self.service, self.dies_in) = (None, None);
                    return true;
                }
                *left -= 1;
            }
            match effect {
                Effect::Write(entry) => self.log.push(entry),
                Effect::Broadcast(item) => {
                    let names: Vec<String> = self.members.keys().cloned().collect();
                    for name in names {
                        // Lost to one in five, and to those that are silent.
                        let lost = self.chance(5) == 0;
                        let (now, doubled) = (self.now, self.chance(9) == 0);
                        let Some(member) = self.members.get_mut(&name) else { continue };
                        if !lost && member.silent_until <= now && member.told_all {
                            member.apply(&item, item.term);
                            if doubled {
                                member.apply(&item, item.term);
                            }
                        }
                    }
                }
                Effect::Report(report) => {
                    self.reported.entry(report.number).or_insert(self.now);
                    self.check();
                }
            }
        }
        false
    }

    /// Once a purge is reported, whoever may be used has it, or is fenced in the eyes of all who may be used.
    fn check(&self) {
        let Some(service) = &self.service else { return };
        for number in self.reported.keys() {
            let usable = |name: &&String| {
                !service.members().is_fenced(name) && service.members().progress(name).is_some()
            };
            for (name, reader) in self.members.iter().filter(|(name, _)| usable(name)) {
                if !reader.told_all
                    || service.members().progress(name).map(|(start, _)| start) != Some(reader.start)
                {
                    // A new process takes nothing from anyone before it was told all.
                    continue;
                }
                assert!(reader.applied.contains(number), "{}: {name} is used and lacks {number}", self.seed);
                for (other, source) in &self.members {
                    let lacks =
                        !source.applied.contains(number) && service.members().progress(other).is_some();
                    let taken = !reader.fenced.contains(other) && source.told_all;
                    assert!(
                        !(lacks && taken),
                        "{}: {name} takes from {other}, which lacks {number}",
                        self.seed
                    );
                }
            }
        }
    }

    fn confirm(&mut self, name: &str) {
        let (now, lost) = (at(self.now), self.chance(6) == 0);
        let Some(member) = self.members.get(name).cloned() else { return };
        let Some(service) = &mut self.service else { return };
        let has = member.place.number;
        let said = said(name, member.start, has, member.told_all);
        let (missing, effects) = service.on_ack(&said, now).expect("no process comes back");
        let term = service.term();
        if self.carry_out(effects) || lost {
            return;
        }
        self.members.get_mut(name).into_iter().for_each(|member| member.learn(&missing, term));
    }

    fn submit(&mut self) {
        self.asked += 1;
        let (asked, now) = (self.asked, at(self.now));
        let Some(service) = &mut self.service else { return };
        let Ok((number, _, effects)) = service.submit(Scope::Group(asked), 0, &format!("k{asked}"), now)
        else {
            panic!("it is within the limits");
        };
        if !self.carry_out(effects) {
            self.acknowledged.insert(number);
        }
    }

    fn restart_service(&mut self) {
        let (service, effects) = Service::open(&self.log, LIMIT, at(self.now));
        self.service = Some(service);
        self.carry_out(effects);
    }

    fn step(&mut self) {
        self.now += self.chance(60);
        let names: Vec<String> = self.members.keys().cloned().collect();
        let name = names[self.chance(names.len() as u64) as usize].clone();
        match self.chance(40) {
            0..=3 => self.submit(),
            4 => {
                let silent = self.chance(1_500);
                let until = self.now + silent;
                self.members.get_mut(&name).into_iter().for_each(|member| member.silent_until = until);
            }
            5 => {
                // A new process under the old name: it has lost everything, and a silence ends with it.
                let start = self.now + 1;
                self.members.insert(name, Member { start, ..Member::default() });
            }
            6 => self.dies_in = Some(self.chance(4)),
            7 => self.service = None,
            _ => {
                if self.members[&name].silent_until <= self.now {
                    self.confirm(&name);
                }
            }
        }
        if self.service.is_none() && self.chance(4) == 0 {
            self.restart_service();
        }
        let now = at(self.now);
        if let Some(service) = &mut self.service {
            let effects = service.tick(now);
            self.carry_out(effects);
        }
    }
}

fn said(member: &str, start: u64, has: u64, told_all: bool) -> Ack {
    Ack {
        member: member.into(),
        incarnation: start,
        applied: has,
        bootstrapped: told_all,
        past: Past::default(),
    }
}

/// A confirmation that is taken, and its effects.
fn confirm(service: &mut Service, member: &str, has: u64, told_all: bool, ms: u64) -> (CatchUp, Vec<Effect>) {
    service.on_ack(&said(member, 1, has, told_all), at(ms)).expect("it is taken")
}

fn at(ms: u64) -> Moment {
    Moment::at_micros(ms * 1_000)
}

#[test]
fn no_old_copy_is_taken_once_a_purge_is_reported_whatever_goes_wrong() {
    let (mut purges, mut reports) = (0, 0);
    for seed in 0..400 {
        let mut world = World::new(seed, 4);
        (0..300).for_each(|_| world.step());
        // Then everything is well again: all is reported, and nobody stays fenced.
        world.dies_in = None;
        if world.service.is_none() {
            world.restart_service();
        }
        world.members.values_mut().for_each(|member| member.silent_until = 0);
        for _ in 0..60 {
            world.now += 20;
            let names: Vec<String> = world.members.keys().cloned().collect();
            names.iter().for_each(|name| world.confirm(name));
            let now = at(world.now);
            let effects = world.service.as_mut().map(|service| service.tick(now)).unwrap_or_default();
            world.carry_out(effects);
        }
        let service = world.service.as_ref().unwrap();
        assert_eq!(service.pending_purges(), 0, "{seed}: all are reported in the end");
        assert_eq!(service.members().fenced().count(), 0, "{seed}: nobody is fenced for ever");
        for number in &world.acknowledged {
            let kept = world.log.iter().any(|e| matches!(e, LogEntry::Item(item) if item.number == *number));
            assert!(kept, "{seed}: {number} was acknowledged and is not in the log");
        }
        (purges, reports) = (purges + world.acknowledged.len(), reports + world.reported.len());
    }
    assert!(purges > 8_000 && reports > 8_000, "{purges}, {reports}");
}

/// With nobody silent a purge is reached as soon as all have said so; with one silent, a fence later.
#[test]
fn a_purge_is_reported_with_who_was_fenced_for_it() {
    let (mut service, _) = Service::open(&[], LIMIT, at(0));
    ["a", "b", "c"].iter().for_each(|m| drop(confirm(&mut service, m, 0, true, 0)));
    let last = service.last();
    ["a", "b", "c"].iter().for_each(|m| drop(confirm(&mut service, m, last, true, 10)));
    let (number, promise, effects) = service.submit(Scope::Group(1), 0, "k", at(10_000)).unwrap();
    assert!(matches!(effects[..], [Effect::Write(_), Effect::Broadcast(_)]), "{effects:?}");
    assert_eq!(promise.within_ms, 1_000);
    confirm(&mut service, "a", number, true, 10_005);
    confirm(&mut service, "b", number, true, 10_006);
    let fenced = service.tick(at(10_260));
    let tells = fenced
        .iter()
        .filter(|e| matches!(e, Effect::Broadcast(Item { payload: Payload::Fenced { .. }, .. })));
    assert_eq!(tells.count(), 1);
    let fence = service.last();
    let report = |effects: Vec<Effect>| {
        effects.into_iter().find_map(|e| match e {
            Effect::Report(report) => Some(report),
            _ => None,
        })
    };
    assert_eq!(report(confirm(&mut service, "a", fence, true, 10_270).1), None, "b may still take from c");
    let report = report(confirm(&mut service, "b", fence, true, 10_275).1).unwrap();
    assert_eq!((report.reached_ms, report.kept, report.fenced), (275, true, vec!["c".to_string()]));
}

/// A service takes over where nothing was purged yet, and is asked at once: its members are still looking for it, which is
/// held against nobody for half a second, and the promise says so. One that does not come by then is fenced.
#[test]
fn a_purge_asked_of_a_service_that_has_just_taken_over_waits_for_members_to_find_it() {
    for silent in [false, true] {
        let (mut service, effects) = Service::open(&[], LIMIT, at(0));
        let mut log: Vec<LogEntry> = effects.into_iter().filter_map(written).collect();
        for member in ["a", "b"] {
            let (_, effects) = confirm(&mut service, member, 0, true, 1);
            log.extend(effects.into_iter().filter_map(written));
        }
        let (mut next, _) = Service::open(&log, LIMIT, at(10_000));
        assert_eq!(next.promise(at(10_600)).within_ms, 1_000, "what is promised once they have had the time");
        let (number, promise, _) = next.submit(Scope::Group(1), 0, "k", at(10_020)).unwrap();
        assert_eq!(promise.within_ms, 1_480);
        for ms in (10_040..10_700).step_by(20) {
            assert_eq!(next.tick(at(ms)), Vec::new(), "nobody is fenced after {ms}");
        }
        confirm(&mut next, "a", number, true, 10_700);
        if silent {
            let is_fence =
                |e: &Effect| matches!(e, Effect::Broadcast(Item { payload: Payload::Fenced { .. }, .. }));
            assert_eq!(next.tick(at(10_760)).iter().filter(|e| is_fence(e)).count(), 1);
            continue;
        }
        let (_, effects) = confirm(&mut next, "b", number, true, 10_720);
        let report = effects.into_iter().find_map(|e| match e {
            Effect::Report(report) => Some(report),
            _ => None,
        });
        let report = report.expect("both have it");
        assert_eq!((report.kept, report.fenced), (true, Vec::new()));
    }
}

/// One that is fenced has the purge, and has not heard that another one lacks it: as long as somebody has not heard of its
/// own fence, an old copy could come through it.
#[test]
fn a_fence_counts_only_where_all_others_that_are_fenced_have_heard_of_it_or_are_held_off_too() {
    let (mut service, _) = Service::open(&[], LIMIT, at(0));
    ["a", "x", "m"].iter().for_each(|m| drop(confirm(&mut service, m, 0, true, 0)));
    let (number, _, _) = service.submit(Scope::Group(1), 0, "k", at(10)).unwrap();
    ["a", "x"].iter().for_each(|m| drop(confirm(&mut service, m, number, true, 20)));
    let reports = |effects: &[Effect]| effects.iter().filter(|e| matches!(e, Effect::Report(_))).count();
    // m is fenced, and a has heard of it; then x is, which had not heard of that.
    assert_eq!(reports(&service.tick(at(270))), 0);
    assert_eq!(reports(&confirm(&mut service, "a", number + 1, true, 280).1), 0);
    assert_eq!(reports(&service.tick(at(540))), 0, "a may take from x, and x from m");
    let last = service.last();
    assert_eq!(reports(&confirm(&mut service, "a", last, true, 550).1), 1);
}

/// Killed between writing and answering, and between answering and telling: what was written is told by the next.
#[test]
fn a_service_killed_at_any_effect_loses_no_purge_and_doubles_none() {
    for cut in 0..3 {
        let (mut service, effects) = Service::open(&[], LIMIT, at(0));
        let mut log: Vec<LogEntry> = effects.into_iter().filter_map(written).collect();
        let (_, effects) = confirm(&mut service, "a", 0, true, 1);
        log.extend(effects.into_iter().filter_map(written));
        let (number, _, effects) = service.submit(Scope::Group(9), 4, "case-17", at(2)).unwrap();
        log.extend(effects.into_iter().take(cut).filter_map(written));
        let (mut next, _) = Service::open(&log, LIMIT, at(50));
        let (again, _, effects) = next.submit(Scope::Group(9), 4, "case-17", at(60)).unwrap();
        assert_eq!(again, number, "cut at {cut}");
        assert_eq!(effects.is_empty(), cut > 0, "cut at {cut}: asked again, it is the same purge");
        let (missing, _) = confirm(&mut next, "a", 0, true, 70);
        let CatchUp::Delta(items) = missing else { panic!("cut at {cut}") };
        let purges = items.iter().filter(|item| matches!(item.payload, Payload::Purge { .. })).count();
        assert_eq!(purges, 1, "cut at {cut}");
    }
}

/// A member that follows writes its log whole now and then, and the leader goes on under its own term: whoever is chosen
/// next has all of both.
#[test]
fn what_the_leader_writes_counts_behind_a_log_that_a_follower_wrote_whole() {
    let (mut leader, effects) = Service::open(&[], LIMIT, at(0));
    let mut log: Vec<LogEntry> = effects.into_iter().filter_map(written).collect();
    let step = |leader: &mut Service, log: &mut Vec<LogEntry>, n: u32| {
        let ms = u64::from(n) * 100;
        let (number, _, effects) =
            leader.submit(Scope::Group(n), 0, &n.to_string(), at(ms)).expect("it is taken");
        log.extend(effects.into_iter().filter_map(written));
        let (_, effects) = confirm(leader, "a", number, true, ms + 10);
        log.extend(effects.into_iter().filter_map(written));
    };
    (1..=3).for_each(|n| step(&mut leader, &mut log, n));
    // Twice in one term of the leader.
    for n in [4, 8] {
        log = Service::compacted(&log, LIMIT, at(5_000));
        (n..n + 4).for_each(|n| step(&mut leader, &mut log, n));
    }
    let (next, _) = Service::open(&log, LIMIT, at(6_000));
    assert_eq!((next.last(), leader.last()), (11, 11));
    assert_eq!((next.pending_purges(), next.term()), (0, leader.term() + 1));
    let items = |service: &Service| {
        service.purges_after(0, 100).into_iter().map(|item| item.payload).collect::<Vec<_>>()
    };
    assert_eq!(items(&next), items(&leader));
}

fn written(effect: Effect) -> Option<LogEntry> {
    match effect {
        Effect::Write(entry) => Some(entry),
        _ => None,
    }
}

/// What is forgotten is told as its latest time: a member that was away for as long drops all that is older. A fence
/// that still holds is told anew, and the whole state opens as it was.
#[test]
fn what_is_forgotten_is_told_whole_and_fences_stay() {
    let (mut service, _) = Service::open(&[], LIMIT, at(0));
    for member in ["a", "b"] {
        confirm(&mut service, member, 0, true, 0);
        let last = service.last();
        confirm(&mut service, member, last, true, 1);
    }
    for n in 0..20u32 {
        service.submit(Scope::Group(n), 0, &format!("{n}"), at(1_000 + u64::from(n) * 100)).unwrap();
    }
    service.tick(at(3_500));
    let last = service.last();
    assert!(service.forget_before(2_000, at(3_500)).is_empty(), "not while a purge is open");
    confirm(&mut service, "a", last, true, 3_500);
    let last = service.last();
    confirm(&mut service, "a", last, true, 3_510);
    assert_eq!(service.pending_purges(), 0);
    // It has caught up, and others hear of that a second after the last fence.
    let freed = service.tick(at(4_500));
    let of_a = |e: &Effect| matches!(e, Effect::Broadcast(Item { payload: Payload::Freed { member }, .. }) if member == "a");
    assert!(freed.iter().any(of_a), "{freed:?}");
    let last = service.last();
    confirm(&mut service, "a", last, true, 4_510);
    let told = service.forget_before(3_600, at(9_000));
    assert!(told.iter().any(
        |e| matches!(e, Effect::Broadcast(Item { payload: Payload::Fenced { member }, .. }) if member == "b")
    ));
    let (missing, _) = confirm(&mut service, "c", 0, false, 9_100);
    let CatchUp::Snapshot { after, items, upto, forgotten_ms, fenced } = missing else {
        panic!("{missing:?}")
    };
    assert!(forgotten_ms >= 2_900 && upto == service.last(), "{forgotten_ms}");
    assert!(items.iter().any(|item| matches!(&item.payload, Payload::Fenced { member } if member == "b")));
    let (again, _) = Service::open(&service.snapshot(), LIMIT, at(9_200));
    assert_eq!((again.last(), again.term()), (service.last(), service.term() + 1));
    assert!(again.members().is_fenced("b") && !again.members().is_fenced("a"));
    assert_eq!(again.pending_purges(), 0);
    // A hub that had been away: everything as old as what was forgotten goes.
    let mut follower = Follower::new("d", 7);
    let acts =
        follower.handle(ToMember::Snapshot { term: 1, after, upto, forgotten_ms, fenced, items }).unwrap();
    let Action::Purge { scope: CompiledScope::Everything, at: bound } = &acts[0] else { panic!("{acts:?}") };
    assert_eq!(bound.micros(), forgotten_ms * 1_000);
    let Some(Action::SetFenced(fenced)) = acts.last() else { panic!("{acts:?}") };
    assert!(fenced.contains("b"));
}
