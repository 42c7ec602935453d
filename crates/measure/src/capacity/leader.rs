//! What the leader of the service of purges spends on a purge, without sockets: its state machine, the reading of each line
//! and the writing of each answer. Once as the cost of single purges, and once in virtual time, where the measured cost of
//! each turn is the service time of the leader's one thread.
use super::machine::Busy;
use super::plain;
use super::size::Part;
use harestage::time::{Moment, Span};
use harestage_purge::messages::{Ack, ToMember, to_line};
use harestage_purge::scope::Scope;
use harestage_purge::sequencer::RateLimit;
use harestage_purge::service::{Effect, Service};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Between two regions, one way.
const WAY: Span = Span::millis(40);
/// Within a region, one way.
const NEAR: Span = Span::micros(500);
/// The service's own beat.
const BEAT: Span = Span::millis(20);
/// A member that has nothing new says so as often.
const SAYS_EVERY: Span = Span::millis(80);
const PURGE_EVERY: Span = Span::micros(1_000_000 / super::size::PURGES_A_SECOND);
/// Where the clocks begin.
const BEGIN: Moment = Moment::at_micros(1_000_000_000);
/// Purges that end later than the mark of a service that holds are counted as held up.
const HOLDS_WITHIN_MS: f64 = super::size::PURGE_MS;

/// What a turn of the leader brings.
#[derive(Default)]
pub struct Turned {
    /// The answer on the wire; empty where nobody asked.
    pub answer: Vec<u8>,
    /// Something new is to be told to everyone.
    pub tells: bool,
    /// Purges that were reported, with the milliseconds that they took.
    pub reported: Vec<(u64, u64)>,
    /// Records that were written, and their bytes.
    pub writes: u64,
    pub write_bytes: u64,
}

/// A leader, as a state machine.
pub trait Leads {
    fn submit(&mut self, n: u64, now: Moment) -> (u64, Turned);
    /// A member's line as it came.
    fn hear(&mut self, line: &[u8], now: Moment) -> Turned;
    fn beat(&mut self, now: Moment) -> Turned;
    /// The line that tells whoever has all up to that number what is new.
    fn news(&self, after: u64) -> Vec<u8>;
    fn last(&self) -> u64;
    /// How many purges are not reported.
    fn open(&self) -> usize;
    /// How many members nothing is taken from.
    fn fenced(&self) -> usize;
}

fn scope(n: u64) -> Scope {
    Scope::Object(format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
}

/// The way as it stood.
#[derive(Default)]
pub struct Plain {
    service: plain::Service,
    last: u64,
}

impl Plain {
    fn turned(&mut self, answer: Vec<u8>, effects: Vec<plain::Effect>) -> Turned {
        let mut turned = Turned { answer, ..Turned::default() };
        for effect in effects {
            match effect {
                plain::Effect::Write(entry) => {
                    turned.writes += 1;
                    turned.write_bytes += serde_json::to_vec(&entry).unwrap_or_default().len() as u64;
                }
                plain::Effect::Tell(item) => {
                    self.last = item.number;
                    turned.tells = true;
                }
                plain::Effect::Report(report) => turned.reported.push((report.number, report.reached_ms)),
            }
        }
        turned
    }
}

impl Leads for Plain {
    fn submit(&mut self, n: u64, now: Moment) -> (u64, Turned) {
        let (number, effects) = self.service.submit(scope(n), n as u32 % 50, &format!("k{n}"), now);
        (number, self.turned(Vec::new(), effects))
    }

    fn hear(&mut self, text: &[u8], now: Moment) -> Turned {
        let Ok(said) = serde_json::from_slice::<plain::Confirm>(text) else { return Turned::default() };
        let (answer, effects) = self.service.confirm(&said, now);
        self.turned(to_line(&answer), effects)
    }

    fn beat(&mut self, now: Moment) -> Turned {
        let effects = self.service.beat(now);
        self.turned(Vec::new(), effects)
    }

    fn news(&self, after: u64) -> Vec<u8> {
        to_line(&self.service.after(after))
    }

    fn last(&self) -> u64 {
        self.last
    }

    fn open(&self) -> usize {
        self.service.open()
    }

    fn fenced(&self) -> usize {
        self.service.fenced()
    }
}

/// The state machine in service.
pub struct Live {
    service: Service,
    told: Vec<harestage_purge::sequencer::Item>,
}

impl Default for Live {
    fn default() -> Live {
        let limit = RateLimit { rate: 1e6, burst: 1e6 };
        Live { service: Service::open(&[], limit, BEGIN).0, told: Vec::new() }
    }
}

impl Live {
    fn turned(&mut self, answer: Vec<u8>, effects: Vec<Effect>) -> Turned {
        let mut turned = Turned { answer, ..Turned::default() };
        for effect in effects {
            match effect {
                Effect::Write(entry) => {
                    turned.writes += 1;
                    turned.write_bytes += serde_json::to_vec(&entry).unwrap_or_default().len() as u64;
                }
                Effect::Broadcast(item) => {
                    self.told.push(item);
                    turned.tells = true;
                }
                Effect::Report(report) => turned.reported.push((report.number, report.reached_ms)),
            }
        }
        turned
    }
}

impl Leads for Live {
    fn submit(&mut self, n: u64, now: Moment) -> (u64, Turned) {
        let asked = self.service.submit(scope(n), n as u32 % 50, &format!("k{n}"), now);
        let (number, _, effects) = asked.unwrap_or_else(|why| panic!("purge {n}: {why}"));
        (number, self.turned(Vec::new(), effects))
    }

    fn hear(&mut self, text: &[u8], now: Moment) -> Turned {
        let Ok(said) = serde_json::from_slice::<Ack>(text) else { return Turned::default() };
        let Ok((missing, effects)) = self.service.on_ack(&said, now) else { return Turned::default() };
        let answer = to_line(&ToMember::from_catch_up(self.service.term(), missing));
        self.turned(answer, effects)
    }

    fn beat(&mut self, now: Moment) -> Turned {
        let effects = self.service.tick(now);
        self.turned(Vec::new(), effects)
    }

    fn news(&self, after: u64) -> Vec<u8> {
        let from = self.told.partition_point(|item| item.number <= after);
        to_line(&ToMember::Items { term: self.service.term(), items: self.told[from..].to_vec() })
    }

    fn last(&self) -> u64 {
        self.service.last()
    }

    fn open(&self) -> usize {
        self.service.pending_purges()
    }

    fn fenced(&self) -> usize {
        self.service.members().fenced().count()
    }
}

fn confirm(member: &str, has: u64) -> Vec<u8> {
    to_line(&plain::Confirm { member: member.into(), start: 1, has, told_all: true })
}

/// What purges cost, one after another, each confirmed by all before the next is asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    pub us_a_purge: f64,
    /// The same with what members say meanwhile that have nothing new, and the service's beats: what of a core goes at the
    /// fleet's purges a second.
    pub core_share: f64,
    pub writes_a_purge: f64,
    /// Turns that write something: each is a sync of its own.
    pub syncs_a_purge: f64,
    pub write_bytes_a_purge: f64,
    pub wire_bytes_a_purge: f64,
    /// Purges that were not reported once all had confirmed.
    pub left_open: usize,
}

/// `purges` of them at `names`.
pub fn cost(leader: &mut impl Leads, names: &[(String, usize)], purges: u64) -> Cost {
    let mut now = BEGIN;
    names.iter().for_each(|(name, _)| drop(leader.hear(&confirm(name, 0), now)));
    let mut cost = Cost::default();
    let (mut busy, mut rest) = (Duration::ZERO, Duration::ZERO);
    for n in 1..=purges {
        now = now + PURGE_EVERY;
        let begun = Busy::now();
        let (number, turned) = leader.submit(n, now);
        let mut turns = vec![turned];
        for (name, _) in names {
            let news = leader.news(number - 1);
            cost.wire_bytes_a_purge += news.len() as f64;
            let turned = leader.hear(&confirm(name, number), now + WAY);
            cost.wire_bytes_a_purge += turned.answer.len() as f64;
            turns.push(turned);
        }
        busy += begun.elapsed();
        cost.writes_a_purge += turns.iter().map(|turned| turned.writes).sum::<u64>() as f64;
        cost.syncs_a_purge += turns.iter().filter(|turned| turned.writes > 0).count() as f64;
        cost.write_bytes_a_purge += turns.iter().map(|turned| turned.write_bytes).sum::<u64>() as f64;
        let begun = Busy::now();
        // Until the next purge everyone says once that there is nothing new, and the service beats.
        names.iter().for_each(|(name, _)| drop(leader.hear(&confirm(name, number), now + WAY)));
        (0..PURGE_EVERY.as_micros() / BEAT.as_micros()).for_each(|_| drop(leader.beat(now + WAY)));
        rest += begun.elapsed();
    }
    let many = purges.max(1) as f64;
    cost.us_a_purge = busy.as_secs_f64() * 1e6 / many;
    cost.core_share = (busy + rest).as_secs_f64() / many * super::size::PURGES_A_SECOND as f64;
    cost.writes_a_purge /= many;
    cost.syncs_a_purge /= many;
    cost.write_bytes_a_purge /= many;
    cost.wire_bytes_a_purge /= many;
    cost.left_open = leader.open();
    cost
}

/// Bytes of the lines that tell a member of unknown past all that lives after so many purges, a piece after another.
pub fn all(leader: &mut impl Leads, purges: u64) -> usize {
    let mut now = BEGIN;
    for n in 1..=purges {
        now = now + PURGE_EVERY;
        leader.submit(n, now);
    }
    let (mut bytes, mut has, mut told_all) = (0, 0, false);
    loop {
        let said = plain::Confirm { member: "hub-0".into(), start: 1, has, told_all };
        let answer = leader.hear(&to_line(&said), now).answer;
        bytes += answer.len();
        // The plain way tells all in one line; the other in pieces, each after the one before was confirmed.
        let (last, is_all) = match serde_json::from_slice::<ToMember>(&answer) {
            Ok(ToMember::Snapshot { items, upto, .. }) => {
                let last = items.last().map_or(upto, |item| item.number);
                (last, last >= upto)
            }
            Ok(ToMember::Items { items, .. }) => match items.last() {
                Some(item) => (item.number, item.number >= purges),
                None => return bytes,
            },
            _ => return bytes,
        };
        if is_all || last <= has {
            return bytes;
        }
        (has, told_all) = (last, false);
    }
}

/// What came of a stretch of virtual time.
#[derive(Clone, Debug, Default)]
pub struct Stretch {
    pub seconds: f64,
    pub submitted: u64,
    pub reported: u64,
    /// The longest, of those that were reported and of the ages of those that were not.
    pub done_ms_max: f64,
    /// Purges under way at each whole second.
    pub open: Vec<usize>,
    /// Members that nothing is taken from, at each whole second: a purge also ends by fencing whoever lacks it.
    pub fenced: Vec<usize>,
    /// Of the leader's one thread.
    pub busy_share: f64,
}

impl Stretch {
    /// Whether purges end in time, and by being applied: with members fenced for good they end without it.
    pub fn holds(&self) -> bool {
        self.done_ms_max <= HOLDS_WITHIN_MS && self.fenced_at_end() == 0
    }

    pub fn fenced_at_end(&self) -> usize {
        self.fenced.last().copied().unwrap_or(0)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Submit(u64),
    Beat,
    /// A line of a member is there.
    Line {
        member: usize,
        has: u64,
    },
    /// A line of the leader is there.
    Told {
        member: usize,
        upto: u64,
    },
    /// A member has nothing new; only the pause of that number counts.
    Pause {
        member: usize,
        no: u64,
    },
}

struct Follower {
    has: u64,
    /// Waits for the leader's next line before it says anything.
    awaits: bool,
    /// Counts pauses.
    pause: u64,
    way: Span,
    /// Up to where the leader has told it, on its connection.
    told: u64,
    /// The leader owes it no answer: news go out to it at once.
    follows: bool,
}

/// Purges at the fleet's rate for `lasts` of virtual time, or until `at_most` has gone by on the wall clock.
pub fn stretch(leader: &mut impl Leads, part: Part, lasts: Span, at_most: Duration) -> Stretch {
    let names = part.names();
    let way = |site: usize| if part.region(site) == 0 { NEAR } else { WAY };
    let mut members: Vec<Follower> = names
        .iter()
        .map(|(_, site)| Follower {
            has: 0,
            awaits: true,
            pause: 0,
            way: way(*site),
            told: 0,
            follows: false,
        })
        .collect();
    let mut events: BinaryHeap<Reverse<(Moment, u64, Event)>> = BinaryHeap::new();
    let mut order = 0;
    let mut at = |events: &mut BinaryHeap<_>, when: Moment, event: Event| {
        order += 1;
        events.push(Reverse((when, order, event)));
    };
    for (n, _) in names.iter().enumerate() {
        // Spread over a pause, as members are that started at different times.
        let when = BEGIN + Span::micros(SAYS_EVERY.as_micros() * n as u64 / names.len() as u64);
        at(&mut events, when, Event::Line { member: n, has: 0 });
    }
    let first = BEGIN + Span::millis(500);
    at(&mut events, first, Event::Submit(1));
    at(&mut events, BEGIN, Event::Beat);
    let (end, wall) = (first + lasts, Instant::now());
    let (mut free, mut busy, mut now) = (BEGIN, Span::ZERO, BEGIN);
    let mut begun = std::collections::BTreeMap::new();
    let mut stretch = Stretch::default();
    let mut next_second = first + Span::millis(1_000);
    while let Some(Reverse((when, _, event))) = events.pop() {
        if when >= end || wall.elapsed() > at_most {
            break;
        }
        now = when;
        while now >= next_second {
            stretch.open.push(leader.open());
            stretch.fenced.push(leader.fenced());
            next_second = next_second + Span::millis(1_000);
        }
        let starts = when.max(free);
        let clock = Busy::now();
        let (turned, answered) = match event {
            Event::Submit(n) => {
                let (number, turned) = leader.submit(n, starts);
                begun.insert(number, when);
                stretch.submitted += 1;
                at(&mut events, when + PURGE_EVERY, Event::Submit(n + 1));
                (turned, None)
            }
            Event::Beat => {
                at(&mut events, starts.max(when) + BEAT, Event::Beat);
                (leader.beat(starts), None)
            }
            Event::Line { member, has } => {
                (leader.hear(&confirm(&names[member].0, has), starts), Some(member))
            }
            Event::Told { member, upto } => {
                let own = &mut members[member];
                let new = upto > own.has;
                own.has = own.has.max(upto);
                if new || !own.awaits {
                    let (has, way) = (own.has, own.way);
                    own.awaits = true;
                    at(&mut events, when + way, Event::Line { member, has });
                } else {
                    own.awaits = false;
                    own.pause += 1;
                    let no = own.pause;
                    at(&mut events, when + SAYS_EVERY, Event::Pause { member, no });
                }
                continue;
            }
            Event::Pause { member, no } => {
                let own = &mut members[member];
                if !own.awaits && own.pause == no {
                    own.awaits = true;
                    let (has, way) = (own.has, own.way);
                    at(&mut events, when + way, Event::Line { member, has });
                }
                continue;
            }
        };
        let last = leader.last();
        let mut told = Vec::new();
        if let Some(member) = answered {
            (members[member].told, members[member].follows) = (last, true);
            told.push(member);
        }
        if turned.tells {
            for (n, member) in
                members.iter_mut().enumerate().filter(|(n, m)| m.follows && Some(*n) != answered)
            {
                std::hint::black_box(leader.news(member.told));
                // After news it waits for the member's word before it tells it more.
                (member.told, member.follows) = (last, false);
                told.push(n);
            }
        }
        let took = Span::micros(clock.elapsed().as_micros() as u64);
        free = starts + took;
        busy = busy + took;
        for member in told {
            at(&mut events, free + members[member].way, Event::Told { member, upto: last });
        }
        for (number, _) in turned.reported {
            let Some(asked) = begun.remove(&number) else { continue };
            stretch.reported += 1;
            stretch.done_ms_max = stretch.done_ms_max.max(free.since(asked).as_micros() as f64 / 1e3);
        }
    }
    let still = begun.values().map(|asked| now.max(free).since(*asked).as_micros() as f64 / 1e3);
    stretch.done_ms_max = still.fold(stretch.done_ms_max, f64::max);
    stretch.seconds = now.max(free).since(first).seconds();
    stretch.busy_share = busy.seconds() / now.max(free).since(BEGIN).seconds().max(1e-9);
    stretch
}
