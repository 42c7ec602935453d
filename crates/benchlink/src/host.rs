//! Hosts the instances: each gets its own events and nothing of any other.
use crate::frame::{Action, Batch, Entry, Malformed, Record, Reply, malformed};
use harestage::brain::Brain;
use harestage::door::{Event, Order, Pull, Register};
use harestage::state::*;
use harestage::time::{Moment, Span};
use harestage_profile::{Kinds, read_settings};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

struct Instance {
    brain: Brain,
    register: Register,
    kinds: Kinds,
    contents: u16,
}

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
}

/// The events of one instance in one batch, and what it answers.
enum Step {
    Open(Box<Instance>),
    Close,
    Event(Event),
}

impl Host {
    /// Plays a batch. Nothing is given back where anything in it was malformed.
    pub fn play(&mut self, batch: &Batch) -> Result<Reply, Malformed> {
        let now = Moment::at_micros(batch.clock);
        let mut reply = Reply::default();
        let mut selected = None;
        let mut events = Vec::new();
        for (at, record) in &batch.records {
            if let Record::For { instance } = record {
                self.turn(selected, now, &mut events, &mut reply);
                selected = Some(*instance);
                continue;
            }
            let Some(number) = selected else { return malformed("record with no FOR before it", *at) };
            match self.step(number, record, *at, now)? {
                Some(Step::Open(instance)) => {
                    events.clear();
                    self.instances.insert(number, *instance);
                }
                Some(Step::Close) => {
                    events.clear();
                    self.instances.remove(&number);
                }
                Some(Step::Event(event)) => events.push(event),
                None => {}
            }
        }
        self.turn(selected, now, &mut events, &mut reply);
        Ok(reply)
    }

    fn turn(&mut self, number: Option<u16>, now: Moment, events: &mut Vec<Event>, reply: &mut Reply) {
        let Some(number) = number else { return };
        let Some(instance) = self.instances.get_mut(&number) else { return };
        if events.is_empty() {
            return;
        }
        let mut orders = Vec::new();
        let events = std::mem::take(events);
        let brain = &mut instance.brain;
        let ran = catch_unwind(AssertUnwindSafe(|| brain.turn(now, events, &mut orders)));
        if ran.is_ok() && orders.is_empty() {
            return;
        }
        reply.push(&Action::Instance { instance: number });
        if let Err(panic) = ran {
            let text = panic.downcast_ref::<String>().cloned();
            let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
            reply.push(&Action::Fault { text: text.unwrap_or_else(|| "panic without a text".into()) });
            self.instances.remove(&number);
            return;
        }
        for order in orders {
            if let Some(action) = write_order(&mut instance.register, order) {
                reply.push(&action);
            }
        }
    }

    fn step(
        &mut self,
        number: u16,
        record: &Record,
        at: usize,
        now: Moment,
    ) -> Result<Option<Step>, Malformed> {
        if let Record::Spawn { seed, info } = record {
            let (profile, kinds) = match read_settings(info) {
                Ok(read) => read,
                Err(what) => return malformed(format!("SPAWN Info: {what}"), at + 9),
            };
            let contents = profile.contents.len() as u16;
            let brain = Brain::open(profile, *seed, now);
            let instance = Instance { brain, register: Register::default(), kinds, contents };
            return Ok(Some(Step::Open(Box::new(instance))));
        }
        let Some(instance) = self.instances.get_mut(&number) else {
            if matches!(record, Record::Teardown) {
                return Ok(None);
            }
            return malformed(format!("record for instance {number}, which has not started"), at);
        };
        if matches!(record, Record::Teardown) {
            return Ok(Some(Step::Close));
        }
        Ok(read_event(instance, record, at)?.map(Step::Event))
    }
}

fn read_event(instance: &mut Instance, record: &Record, at: usize) -> Result<Option<Event>, Malformed> {
    let Instance { register, kinds, contents, .. } = instance;
    Ok(match record {
        Record::Targets { how, entries } => {
            let news = match how {
                1 => RosterNews::Changes,
                0 | 3 => RosterNews::Whole,
                4 => RosterNews::Failed,
                _ => return malformed(format!("TARGETS How {how} is unknown"), at + 1),
            };
            let listings =
                entries.iter().map(|e| read_listing(register, *kinds, e, at)).collect::<Result<_, _>>()?;
            Some(Event::Roster { news, listings })
        }
        Record::Request { class, .. } if class >= contents => {
            return malformed(format!("REQUEST TierClass {class} is not among the Classes"), at + 9);
        }
        Record::Request { ticket, class, item, valid_until, size_kb, tag, part, options } => {
            let download = Download {
                content: ContentIx(*class),
                object: ObjectKey(*item),
                part: *part as u32,
                group: *tag as u32,
                kilobytes: *size_kb,
                leaves_at: Moment::at_micros(*valid_until),
                repeat: options & 2 != 0,
            };
            Some(Event::Arrived { dl: register.enter_dl(*ticket), download })
        }
        Record::Response { ticket, rc, note, first_byte, cache, hop, complete, took } => {
            let ending = match rc {
                200 => Ending::Fulfilled,
                502 => Ending::Error,
                429 => Ending::Full,
                408 => Ending::TimedOut,
                521 => Ending::NoConnection,
                520 => Ending::Broken,
                444 => Ending::Cancelled,
                409 => Ending::NotSent,
                204 => Ending::Missed,
                _ => return malformed(format!("RESPONSE Rc {rc} is unknown"), at + 9),
            };
            register.dl(*ticket).zip(register.node(*cache)).map(|(dl, node)| {
                Event::Ended(PullEnd {
                    dl,
                    pull: *hop,
                    node,
                    ending,
                    remark: read_note(*note),
                    closed: *complete,
                    took: Span::micros(u64::from(*took)),
                    first_byte: Span::micros(u64::from(*first_byte)),
                })
            })
        }
        Record::Aborted { ticket } => register.dl(*ticket).map(|dl| Event::Left { dl }),
        Record::Elapsed { handle } => Some(Event::TimerFired { timer: *handle }),
        Record::Replaced { item, tag, age } => Some(Event::Purged {
            object: (*item != 0).then_some(ObjectKey(*item)),
            group: u32::from(*tag),
            ago: Span::micros(u64::from(*age)),
        }),
        // Nothing is decided by the start of a stream, nor by probes, which are never sent, nor by peers.
        Record::Established { .. } | Record::Sampled { .. } | Record::Inbox => None,
        Record::Spawn { .. } | Record::Teardown | Record::For { .. } => None,
    })
}

fn read_listing(
    register: &mut Register,
    kinds: Kinds,
    entry: &Entry,
    at: usize,
) -> Result<Listing, Malformed> {
    let phase = match entry.phase {
        1 => Phase::Ready,
        2 => Phase::Draining,
        0 => Phase::Gone,
        other => return malformed(format!("TARGETS MembersList Phase {other} is unknown"), at + 10),
    };
    Ok(Listing {
        node: register.enter_node(entry.cache),
        stamp: u64::from(entry.cache),
        zone: entry.hall,
        cell: entry.bay,
        kind: entry.kind,
        scale: entry.scale,
        role: match Some(entry.kind) {
            kind if kind == kinds.origin => Role::Origin,
            kind if kind == kinds.parent => Role::Parent,
            _ => Role::Cache,
        },
        phase,
        started: (entry.online_since > 0).then_some(Moment::at_micros(entry.online_since)),
    })
}

fn read_note(note: u32) -> Remark {
    match note {
        1 => Remark::Hit,
        2 => Remark::Filled,
        3 => Remark::FromOrigin,
        4 => Remark::Joined,
        5 => Remark::Aged,
        6 => Remark::SourceRefused,
        7 => Remark::SourceLost,
        8 => Remark::SourceLacks,
        9 => Remark::NoPlace,
        10 => Remark::OriginFailed,
        _ => Remark::Nothing,
    }
}

/// Spans that outgrow the field say as much as it can hold.
fn wire_span(span: Span) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}

fn write_order(register: &mut Register, order: Order) -> Option<Action> {
    Some(match order {
        Order::Pull(pull) => write_pull(register, pull),
        Order::Cancel { dl, pull } => Action::Abandon { ticket: register.dl_id(dl), hop: pull },
        Order::Throttle { dl, retry_after } => {
            Action::PushBack { ticket: register.dl_id(dl), not_before: wire_span(retry_after) }
        }
        Order::Abandon { dl } => Action::RespondError { ticket: register.dl_id(dl) },
        Order::SetTimer { after, timer } => Action::Sleep { from_now: wire_span(after), handle: timer },
        Order::WatchRoster => Action::Track { enable: true },
        Order::Forget { dl } => {
            register.forget_dl(dl);
            return None;
        }
    })
}

fn write_pull(register: &Register, pull: Pull) -> Action {
    let switches = [(pull.join, 1), (pull.only_held, 2), (pull.no_copy, 4), (pull.renew, 8)];
    // The wire caps a time-out at the client's leave; spans past the i32 range would read as negative there.
    let within = wire_span(pull.time_out).min(i32::MAX as u32);
    Action::ServeVia {
        ticket: register.dl_id(pull.dl),
        age: wire_span(pull.oldest),
        rank: pull.rank,
        within,
        cache: register.node_id(pull.node),
        switches: switches.iter().filter(|(on, _)| *on).map(|(_, bit)| bit).sum(),
        feeder: register.node_id(pull.source.unwrap_or(pull.node)),
    }
}
