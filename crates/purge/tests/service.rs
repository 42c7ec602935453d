//! The service, its log and its members under all kinds of faults: lost, late and duplicate messages,
//! members that fall silent, restart or return, and a service that crashes between any two effects.
use harestage::time::Moment;
use harestage_purge::follower::{Action, Follower};
use harestage_purge::messages::{Ack, Past, ToMember};
use harestage_purge::scope::{CompiledScope, Scope};
use harestage_purge::sequencer::{Delivery, Item, LogEntry, LogPosition, Payload, RateLimit};
use harestage_purge::service::{CatchUp, Effect, Service};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

const LIMIT: RateLimit = RateLimit { rate: 1e6, burst: 1e6 };

/// A member: a cache that applies items and takes copies from other members.
#[derive(Clone, Default)]
struct Member {
    incarnation: u64,
    position: LogPosition,
    bootstrapped: bool,
    applied_numbers: BTreeSet<u64>,
    fenced: BTreeSet<String>,
    silent_until: u64,
}

impl Member {
    /// `term` is that of the leader that sends the item, which may be newer than the item's.
    fn apply(&mut self, item: &Item, term: u64) {
        if self.position.advance(term, item.number) == Delivery::Next {
            self.record(item);
        }
    }

    fn record(&mut self, item: &Item) {
        self.applied_numbers.insert(item.number);
        item.payload.apply_to_fenced(&mut self.fenced);
    }

    fn catch_up(&mut self, catch_up: &CatchUp, term: u64) {
        match catch_up {
            CatchUp::Delta(items) => items.iter().for_each(|item| self.apply(item, term)),
            CatchUp::Snapshot { after, upto, fenced, items, .. } if term >= self.position.term => {
                self.fenced.clear();
                self.position = LogPosition { term, number: *after };
                items.iter().for_each(|item| self.apply(item, term));
                self.fenced.extend(fenced.iter().cloned());
                // Complete at once, as no snapshot in this test exceeds one batch.
                assert_eq!(self.position.number, *upto);
                self.bootstrapped = true;
            }
            CatchUp::Snapshot { .. } => {}
        }
    }
}

struct Simulation {
    seed: u64,
    random_draws: u64,
    now: u64,
    service: Option<Service>,
    log: Vec<LogEntry>,
    members: BTreeMap<String, Member>,
    /// When each purge was reported.
    reported: BTreeMap<u64, u64>,
    acknowledged: BTreeSet<u64>,
    submitted: u32,
    /// The service crashes after this many further effects.
    crash_in: Option<u64>,
}

impl Simulation {
    fn new(seed: u64, members: usize) -> Simulation {
        let (service, effects) = Service::open(&[], LIMIT, at(0));
        let mut simulation = Simulation {
            seed,
            random_draws: 0,
            now: 0,
            service: Some(service),
            log: Vec::new(),
            members: (0..members).map(|n| (format!("m{n}"), Member::default())).collect(),
            reported: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            submitted: 0,
            crash_in: None,
        };
        simulation.execute(effects);
        simulation
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.random_draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.random_draws).hash(&mut hasher);
        hasher.finish() % bound
    }

    /// Executes effects; returns true if the service crashed before the last one.
    fn execute(&mut self, effects: Vec<Effect>) -> bool {
        for effect in effects {
            if let Some(left) = &mut self.crash_in {
                if *left == 0 {
                    (self.service, self.crash_in) = (None, None);
                    return true;
                }
                *left -= 1;
            }
            match effect {
                Effect::Write(entry) => self.log.push(entry),
                Effect::Broadcast(item) => {
                    let names: Vec<String> = self.members.keys().cloned().collect();
                    for name in names {
                        // Lost for one in five, and for those that are silent.
                        let lost = self.random_below(5) == 0;
                        let (now, duplicated) = (self.now, self.random_below(9) == 0);
                        let Some(member) = self.members.get_mut(&name) else { continue };
                        if !lost && member.silent_until <= now && member.bootstrapped {
                            member.apply(&item, item.term);
                            if duplicated {
                                member.apply(&item, item.term);
                            }
                        }
                    }
                }
                Effect::Report(report) => {
                    self.reported.entry(report.number).or_insert(self.now);
                    self.check_invariants();
                }
            }
        }
        false
    }

    /// Once a purge is reported, every usable member has applied it, or is known as fenced to all usable
    /// ones.
    fn check_invariants(&self) {
        let Some(service) = &self.service else { return };
        for number in self.reported.keys() {
            let usable = |name: &&String| {
                !service.members().is_fenced(name) && service.members().progress(name).is_some()
            };
            for (name, user) in self.members.iter().filter(|(name, _)| usable(name)) {
                if !user.bootstrapped
                    || service.members().progress(name).map(|(incarnation, _)| incarnation)
                        != Some(user.incarnation)
                {
                    // A new process uses no other member before it has all live items.
                    continue;
                }
                assert!(
                    user.applied_numbers.contains(number),
                    "{}: {name} is used and lacks {number}",
                    self.seed
                );
                for (other, source) in &self.members {
                    let lacks = !source.applied_numbers.contains(number)
                        && service.members().progress(other).is_some();
                    let taken = !user.fenced.contains(other) && source.bootstrapped;
                    assert!(!(lacks && taken), "{}: {name} uses {other}, which lacks {number}", self.seed);
                }
            }
        }
    }

    fn acknowledge(&mut self, name: &str) {
        let (now, lost) = (at(self.now), self.random_below(6) == 0);
        let Some(member) = self.members.get(name).cloned() else { return };
        let Some(service) = &mut self.service else { return };
        let applied = member.position.number;
        let ack = new_ack(name, member.incarnation, applied, member.bootstrapped);
        let (catch_up, effects) = service.on_ack(&ack, now).expect("no process returns");
        let term = service.term();
        if self.execute(effects) || lost {
            return;
        }
        self.members.get_mut(name).into_iter().for_each(|member| member.catch_up(&catch_up, term));
    }

    fn submit(&mut self) {
        self.submitted += 1;
        let (submitted, now) = (self.submitted, at(self.now));
        let Some(service) = &mut self.service else { return };
        let Ok((number, _, effects)) =
            service.submit(Scope::Group(submitted), 0, &format!("k{submitted}"), now)
        else {
            panic!("within the limits");
        };
        if !self.execute(effects) {
            self.acknowledged.insert(number);
        }
    }

    fn restart_service(&mut self) {
        let (service, effects) = Service::open(&self.log, LIMIT, at(self.now));
        self.service = Some(service);
        self.execute(effects);
    }

    fn step(&mut self) {
        self.now += self.random_below(60);
        let names: Vec<String> = self.members.keys().cloned().collect();
        let name = names[self.random_below(names.len() as u64) as usize].clone();
        match self.random_below(40) {
            0..=3 => self.submit(),
            4 => {
                let silent = self.random_below(1_500);
                let until = self.now + silent;
                self.members.get_mut(&name).into_iter().for_each(|member| member.silent_until = until);
            }
            5 => {
                // A new process under the same name: it has lost everything, and it is not silent.
                let incarnation = self.now + 1;
                self.members.insert(name, Member { incarnation, ..Member::default() });
            }
            6 => self.crash_in = Some(self.random_below(4)),
            7 => self.service = None,
            _ => {
                if self.members[&name].silent_until <= self.now {
                    self.acknowledge(&name);
                }
            }
        }
        if self.service.is_none() && self.random_below(4) == 0 {
            self.restart_service();
        }
        let now = at(self.now);
        if let Some(service) = &mut self.service {
            let effects = service.tick(now);
            self.execute(effects);
        }
    }
}

fn new_ack(member: &str, incarnation: u64, applied: u64, bootstrapped: bool) -> Ack {
    Ack { member: member.into(), incarnation, applied, bootstrapped, past: Past::default() }
}

/// An acknowledgement that is accepted, and its effects.
fn acknowledge(
    service: &mut Service,
    member: &str,
    applied: u64,
    bootstrapped: bool,
    ms: u64,
) -> (CatchUp, Vec<Effect>) {
    service.on_ack(&new_ack(member, 1, applied, bootstrapped), at(ms)).expect("accepted")
}

fn at(ms: u64) -> Moment {
    Moment::at_micros(ms * 1_000)
}

#[test]
fn no_outdated_copy_is_used_after_a_report_whatever_goes_wrong() {
    let (mut purges, mut reports) = (0, 0);
    for seed in 0..400 {
        let mut simulation = Simulation::new(seed, 4);
        (0..300).for_each(|_| simulation.step());
        // Without faults, all purges are reported and no member stays fenced.
        simulation.crash_in = None;
        if simulation.service.is_none() {
            simulation.restart_service();
        }
        simulation.members.values_mut().for_each(|member| member.silent_until = 0);
        for _ in 0..60 {
            simulation.now += 20;
            let names: Vec<String> = simulation.members.keys().cloned().collect();
            names.iter().for_each(|name| simulation.acknowledge(name));
            let now = at(simulation.now);
            let effects = simulation.service.as_mut().map(|service| service.tick(now)).unwrap_or_default();
            simulation.execute(effects);
        }
        let service = simulation.service.as_ref().unwrap();
        assert_eq!(service.pending_purges(), 0, "{seed}: all purges are reported in the end");
        assert_eq!(service.members().fenced().count(), 0, "{seed}: no member stays fenced");
        for number in &simulation.acknowledged {
            let kept =
                simulation.log.iter().any(|e| matches!(e, LogEntry::Item(item) if item.number == *number));
            assert!(kept, "{seed}: {number} was acknowledged and is not in the log");
        }
        (purges, reports) = (purges + simulation.acknowledged.len(), reports + simulation.reported.len());
    }
    assert!(purges > 8_000 && reports > 8_000, "{purges}, {reports}");
}

/// A purge is reached once all members have acknowledged it, or, if one is silent, once its fence holds.
#[test]
fn a_report_names_the_members_fenced_for_the_purge() {
    let (mut service, _) = Service::open(&[], LIMIT, at(0));
    ["a", "b", "c"].iter().for_each(|m| drop(acknowledge(&mut service, m, 0, true, 0)));
    let last = service.last();
    ["a", "b", "c"].iter().for_each(|m| drop(acknowledge(&mut service, m, last, true, 10)));
    let (number, promise, effects) = service.submit(Scope::Group(1), 0, "k", at(10_000)).unwrap();
    assert!(matches!(effects[..], [Effect::Write(_), Effect::Broadcast(_)]), "{effects:?}");
    assert_eq!(promise.within_ms, 1_000);
    acknowledge(&mut service, "a", number, true, 10_005);
    acknowledge(&mut service, "b", number, true, 10_006);
    let fenced = service.tick(at(10_260));
    let fences = fenced
        .iter()
        .filter(|e| matches!(e, Effect::Broadcast(Item { payload: Payload::Fenced { .. }, .. })));
    assert_eq!(fences.count(), 1);
    let fence = service.last();
    let report = |effects: Vec<Effect>| {
        effects.into_iter().find_map(|e| match e {
            Effect::Report(report) => Some(report),
            _ => None,
        })
    };
    assert_eq!(
        report(acknowledge(&mut service, "a", fence, true, 10_270).1),
        None,
        "b may still take from c"
    );
    let report = report(acknowledge(&mut service, "b", fence, true, 10_275).1).unwrap();
    assert_eq!((report.reached_ms, report.kept, report.fenced), (275, true, vec!["c".to_string()]));
}

/// A new leader, with nothing purged before, receives a purge at once, while its members are still looking
/// for it. That is not held against them for half a second, and the promise includes it. A member that does
/// not appear by then is fenced.
#[test]
fn a_new_leader_gives_members_time_to_find_it() {
    for silent in [false, true] {
        let (mut service, effects) = Service::open(&[], LIMIT, at(0));
        let mut log: Vec<LogEntry> = effects.into_iter().filter_map(written).collect();
        for member in ["a", "b"] {
            let (_, effects) = acknowledge(&mut service, member, 0, true, 1);
            log.extend(effects.into_iter().filter_map(written));
        }
        let (mut next, _) = Service::open(&log, LIMIT, at(10_000));
        assert_eq!(next.promise(at(10_600)).within_ms, 1_000, "the promise after the grace period");
        let (number, promise, _) = next.submit(Scope::Group(1), 0, "k", at(10_020)).unwrap();
        assert_eq!(promise.within_ms, 1_480);
        for ms in (10_040..10_700).step_by(20) {
            assert_eq!(next.tick(at(ms)), Vec::new(), "nobody is fenced after {ms}");
        }
        acknowledge(&mut next, "a", number, true, 10_700);
        if silent {
            let is_fence =
                |e: &Effect| matches!(e, Effect::Broadcast(Item { payload: Payload::Fenced { .. }, .. }));
            assert_eq!(next.tick(at(10_760)).iter().filter(|e| is_fence(e)).count(), 1);
            continue;
        }
        let (_, effects) = acknowledge(&mut next, "b", number, true, 10_720);
        let report = effects.into_iter().find_map(|e| match e {
            Effect::Report(report) => Some(report),
            _ => None,
        });
        let report = report.expect("both have applied it");
        assert_eq!((report.kept, report.fenced), (true, Vec::new()));
    }
}

/// A fenced member may have applied the purge without knowing that another member lacks it. As long as
/// somebody does not know that the first is fenced, an outdated copy could pass through it.
#[test]
fn a_fence_counts_only_once_other_fenced_members_cannot_relay_old_copies() {
    let (mut service, _) = Service::open(&[], LIMIT, at(0));
    ["a", "x", "m"].iter().for_each(|m| drop(acknowledge(&mut service, m, 0, true, 0)));
    let (number, _, _) = service.submit(Scope::Group(1), 0, "k", at(10)).unwrap();
    ["a", "x"].iter().for_each(|m| drop(acknowledge(&mut service, m, number, true, 20)));
    let reports = |effects: &[Effect]| effects.iter().filter(|e| matches!(e, Effect::Report(_))).count();
    // m is fenced, and a knows of it; then x is fenced, which did not know of that.
    assert_eq!(reports(&service.tick(at(270))), 0);
    assert_eq!(reports(&acknowledge(&mut service, "a", number + 1, true, 280).1), 0);
    assert_eq!(reports(&service.tick(at(540))), 0, "a may take from x, and x from m");
    let last = service.last();
    assert_eq!(reports(&acknowledge(&mut service, "a", last, true, 550).1), 1);
}

/// A crash between logging and responding, or between responding and sending: what was logged is sent by the
/// next leader.
#[test]
fn a_crash_after_any_effect_loses_and_repeats_no_purge() {
    for effects_kept in 0..3 {
        let (mut service, effects) = Service::open(&[], LIMIT, at(0));
        let mut log: Vec<LogEntry> = effects.into_iter().filter_map(written).collect();
        let (_, effects) = acknowledge(&mut service, "a", 0, true, 1);
        log.extend(effects.into_iter().filter_map(written));
        let (number, _, effects) = service.submit(Scope::Group(9), 4, "case-17", at(2)).unwrap();
        log.extend(effects.into_iter().take(effects_kept).filter_map(written));
        let (mut next, _) = Service::open(&log, LIMIT, at(50));
        let (resubmitted, _, effects) = next.submit(Scope::Group(9), 4, "case-17", at(60)).unwrap();
        assert_eq!(resubmitted, number, "crash after {effects_kept} effects");
        assert_eq!(
            effects.is_empty(),
            effects_kept > 0,
            "crash after {effects_kept} effects: submitted again, it is the same purge"
        );
        let (catch_up, _) = acknowledge(&mut next, "a", 0, true, 70);
        let CatchUp::Delta(items) = catch_up else { panic!("crash after {effects_kept} effects") };
        let purges = items.iter().filter(|item| matches!(item.payload, Payload::Purge { .. })).count();
        assert_eq!(purges, 1, "crash after {effects_kept} effects");
    }
}

/// A follower compacts its log now and then while the leader continues in its term. The next leader must
/// have the entries of both.
#[test]
fn leader_entries_count_after_a_log_compacted_by_a_follower() {
    let (mut leader, effects) = Service::open(&[], LIMIT, at(0));
    let mut log: Vec<LogEntry> = effects.into_iter().filter_map(written).collect();
    let step = |leader: &mut Service, log: &mut Vec<LogEntry>, n: u32| {
        let ms = u64::from(n) * 100;
        let (number, _, effects) =
            leader.submit(Scope::Group(n), 0, &n.to_string(), at(ms)).expect("accepted");
        log.extend(effects.into_iter().filter_map(written));
        let (_, effects) = acknowledge(leader, "a", number, true, ms + 10);
        log.extend(effects.into_iter().filter_map(written));
    };
    (1..=3).for_each(|n| step(&mut leader, &mut log, n));
    // Twice within one term of the leader.
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

/// Evicted items are represented by their latest time: a member that was away for longer drops all copies
/// that are as old. A fence that still holds is sent again, and the snapshot restores the same state.
#[test]
fn evicted_items_are_reported_by_time_and_fences_stay() {
    let (mut service, _) = Service::open(&[], LIMIT, at(0));
    for member in ["a", "b"] {
        acknowledge(&mut service, member, 0, true, 0);
        let last = service.last();
        acknowledge(&mut service, member, last, true, 1);
    }
    for n in 0..20u32 {
        service.submit(Scope::Group(n), 0, &format!("{n}"), at(1_000 + u64::from(n) * 100)).unwrap();
    }
    service.tick(at(3_500));
    let last = service.last();
    assert!(service.forget_before(2_000, at(3_500)).is_empty(), "not while a purge is pending");
    acknowledge(&mut service, "a", last, true, 3_500);
    let last = service.last();
    acknowledge(&mut service, "a", last, true, 3_510);
    assert_eq!(service.pending_purges(), 0);
    // It has caught up, which is announced one second after the last fence.
    let freed = service.tick(at(4_500));
    let frees_a = |e: &Effect| matches!(e, Effect::Broadcast(Item { payload: Payload::Freed { member }, .. }) if member == "a");
    assert!(freed.iter().any(frees_a), "{freed:?}");
    let last = service.last();
    acknowledge(&mut service, "a", last, true, 4_510);
    let effects = service.forget_before(3_600, at(9_000));
    assert!(effects.iter().any(
        |e| matches!(e, Effect::Broadcast(Item { payload: Payload::Fenced { member }, .. }) if member == "b")
    ));
    let (catch_up, _) = acknowledge(&mut service, "c", 0, false, 9_100);
    let CatchUp::Snapshot { after, items, upto, forgotten_ms, fenced } = catch_up else {
        panic!("{catch_up:?}")
    };
    assert!(forgotten_ms >= 2_900 && upto == service.last(), "{forgotten_ms}");
    assert!(items.iter().any(|item| matches!(&item.payload, Payload::Fenced { member } if member == "b")));
    let (reopened, _) = Service::open(&service.snapshot(), LIMIT, at(9_200));
    assert_eq!((reopened.last(), reopened.term()), (service.last(), service.term() + 1));
    assert!(reopened.members().is_fenced("b") && !reopened.members().is_fenced("a"));
    assert_eq!(reopened.pending_purges(), 0);
    // A member that was away: all copies as old as the evicted items are dropped.
    let mut follower = Follower::new("d", 7);
    let actions =
        follower.handle(ToMember::Snapshot { term: 1, after, upto, forgotten_ms, fenced, items }).unwrap();
    let Action::Purge { scope: CompiledScope::Everything, at: bound } = &actions[0] else {
        panic!("{actions:?}")
    };
    assert_eq!(bound.micros(), forgotten_ms * 1_000);
    let Some(Action::SetFenced(fenced)) = actions.last() else { panic!("{actions:?}") };
    assert!(fenced.contains("b"));
}
