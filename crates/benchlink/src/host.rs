//! Hosts the instances: each gets its own events and nothing of any other.
use crate::frame::{ActionRecord, Batch, EventRecord, Malformed, MemberEntry, Reply, malformed};
use harestage::interface::{Action, Event, IdRegistry, Pull};
use harestage::policy::Policy;
use harestage::state::*;
use harestage::time::{Moment, Span};
use harestage_profile::{NodeKinds, read_settings};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

struct Instance {
    policy: Policy,
    register: IdRegistry,
    kinds: NodeKinds,
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
            if let EventRecord::For { instance } = record {
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
        let policy = &mut instance.policy;
        let ran = catch_unwind(AssertUnwindSafe(|| policy.step(now, events, &mut orders)));
        if ran.is_ok() && orders.is_empty() {
            return;
        }
        reply.push(&ActionRecord::Instance { instance: number });
        if let Err(panic) = ran {
            let text = panic.downcast_ref::<String>().cloned();
            let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
            reply.push(&ActionRecord::Fault { text: text.unwrap_or_else(|| "panic without a text".into()) });
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
        record: &EventRecord,
        at: usize,
        now: Moment,
    ) -> Result<Option<Step>, Malformed> {
        if let EventRecord::Spawn { seed, info } = record {
            let (profile, kinds) = match read_settings(info) {
                Ok(read) => read,
                Err(what) => return malformed(format!("SPAWN Info: {what}"), at + 9),
            };
            let contents = profile.content_types.len() as u16;
            let policy = Policy::new(profile, *seed, now);
            let instance = Instance { policy, register: IdRegistry::default(), kinds, contents };
            return Ok(Some(Step::Open(Box::new(instance))));
        }
        let Some(instance) = self.instances.get_mut(&number) else {
            if matches!(record, EventRecord::Teardown) {
                return Ok(None);
            }
            return malformed(format!("record for instance {number}, which has not started"), at);
        };
        if matches!(record, EventRecord::Teardown) {
            return Ok(Some(Step::Close));
        }
        Ok(read_event(instance, record, at)?.map(Step::Event))
    }
}

fn read_event(instance: &mut Instance, record: &EventRecord, at: usize) -> Result<Option<Event>, Malformed> {
    let Instance { register, kinds, contents, .. } = instance;
    Ok(match record {
        EventRecord::Targets { how, entries } => {
            let news = match how {
                1 => MembershipUpdate::Delta,
                0 | 3 => MembershipUpdate::Snapshot,
                4 => MembershipUpdate::Failed,
                _ => return malformed(format!("TARGETS How {how} is unknown"), at + 1),
            };
            let listings =
                entries.iter().map(|e| read_listing(register, *kinds, e, at)).collect::<Result<_, _>>()?;
            Some(Event::Membership { update: news, records: listings })
        }
        EventRecord::Request { class, .. } if class >= contents => {
            return malformed(format!("REQUEST TierClass {class} is not among the Classes"), at + 9);
        }
        EventRecord::Request { ticket, class, item, valid_until, size_kb, tag, part, options } => {
            let download = Download {
                content: ContentIndex(*class),
                object: ObjectKey(*item),
                part: *part as u32,
                group: *tag as u32,
                kilobytes: *size_kb,
                deadline: Moment::at_micros(*valid_until),
                is_retry: options & 2 != 0,
            };
            Some(Event::Arrived { dl: register.register_download(*ticket), download })
        }
        EventRecord::Response { ticket, rc, note, first_byte, cache, hop, complete, took } => {
            let ending = match rc {
                200 => PullOutcome::Fulfilled,
                502 => PullOutcome::Error,
                429 => PullOutcome::Full,
                408 => PullOutcome::TimedOut,
                521 => PullOutcome::NoConnection,
                520 => PullOutcome::Broken,
                444 => PullOutcome::Cancelled,
                409 => PullOutcome::NotSent,
                204 => PullOutcome::Missed,
                _ => return malformed(format!("RESPONSE Rc {rc} is unknown"), at + 9),
            };
            register.dl(*ticket).zip(register.node(*cache)).map(|(dl, node)| {
                Event::PullEnded(PullResult {
                    dl,
                    attempt: *hop,
                    node,
                    outcome: ending,
                    cache_status: read_note(*note),
                    answered: *complete,
                    duration: Span::micros(u64::from(*took)),
                    first_byte: Span::micros(u64::from(*first_byte)),
                })
            })
        }
        EventRecord::Aborted { ticket } => register.dl(*ticket).map(|dl| Event::ClientLeft { dl }),
        EventRecord::Elapsed { handle } => Some(Event::TimerFired { timer: *handle }),
        EventRecord::Replaced { item, tag, age } => Some(Event::Purged {
            object: (*item != 0).then_some(ObjectKey(*item)),
            group: u32::from(*tag),
            ago: Span::micros(u64::from(*age)),
        }),
        // Nothing is decided by the start of a stream, nor by probes, which are never sent, nor by peers.
        EventRecord::Established { .. } | EventRecord::Sampled { .. } | EventRecord::Inbox => None,
        EventRecord::Spawn { .. } | EventRecord::Teardown | EventRecord::For { .. } => None,
    })
}

fn read_listing(
    register: &mut IdRegistry,
    kinds: NodeKinds,
    entry: &MemberEntry,
    at: usize,
) -> Result<NodeRecord, Malformed> {
    let phase = match entry.phase {
        1 => Phase::Ready,
        2 => Phase::Draining,
        0 => Phase::Removed,
        other => return malformed(format!("TARGETS MembersList Phase {other} is unknown"), at + 10),
    };
    Ok(NodeRecord {
        node: register.register_node(entry.cache),
        hash_key: u64::from(entry.cache),
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

fn read_note(note: u32) -> CacheStatus {
    match note {
        1 => CacheStatus::Hit,
        2 => CacheStatus::Filled,
        3 => CacheStatus::FromOrigin,
        4 => CacheStatus::Joined,
        5 => CacheStatus::Stale,
        6 => CacheStatus::SourceRefused,
        7 => CacheStatus::SourceLost,
        8 => CacheStatus::SourceLacks,
        9 => CacheStatus::NoFillSlot,
        10 => CacheStatus::OriginFailed,
        _ => CacheStatus::Unknown,
    }
}

/// Spans that outgrow the field say as much as it can hold.
fn wire_span(span: Span) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}

fn write_order(register: &mut IdRegistry, order: Action) -> Option<ActionRecord> {
    Some(match order {
        Action::Pull(pull) => write_pull(register, pull),
        Action::Cancel { dl, attempt: pull } => {
            ActionRecord::Abandon { ticket: register.download_id(dl), hop: pull }
        }
        Action::Throttle { dl, retry_after } => {
            ActionRecord::PushBack { ticket: register.download_id(dl), not_before: wire_span(retry_after) }
        }
        Action::Abandon { dl } => ActionRecord::RespondError { ticket: register.download_id(dl) },
        Action::SetTimer { after, timer } => {
            ActionRecord::Sleep { from_now: wire_span(after), handle: timer }
        }
        Action::WatchMembership => ActionRecord::Track { enable: true },
        Action::Release { dl } => {
            register.release_download(dl);
            return None;
        }
    })
}

fn write_pull(register: &IdRegistry, pull: Pull) -> ActionRecord {
    let switches = [(pull.join, 1), (pull.only_held, 2), (pull.no_copy, 4), (pull.renew, 8)];
    // The wire caps a time-out at the client's leave; spans past the i32 range would read as negative there.
    let within = wire_span(pull.timeout).min(i32::MAX as u32);
    ActionRecord::ServeVia {
        ticket: register.download_id(pull.dl),
        age: wire_span(pull.max_age),
        rank: pull.rank,
        within,
        cache: register.node_id(pull.node),
        switches: switches.iter().filter(|(on, _)| *on).map(|(_, bit)| bit).sum(),
        feeder: register.node_id(pull.source.unwrap_or(pull.node)),
    }
}
