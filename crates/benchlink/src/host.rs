//! Runs the routers of a simulation. Each gets its own events and nothing of any other.
use crate::frame::{ActionRecord, Batch, EventRecord, FrameError, MemberEntry, Reply, frame_error};
use harestage::interface::{Action, Event, IdRegistry, Pull};
use harestage::policy::Policy;
use harestage::state::*;
use harestage::time::{Moment, Span};
use harestage_profile::{NodeKinds, read_settings};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// One router.
struct Instance {
    policy: Policy,
    ids: IdRegistry,
    kinds: NodeKinds,
    /// Number of content types.
    content_types: u16,
}

/// All routers of a simulation, by their number.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
}

/// What a record means for its router.
enum InstanceInput {
    Start(Box<Instance>),
    Stop,
    Event(Event),
}

impl Host {
    /// Handles a batch and gives the reply, or an error if anything in the batch is malformed.
    pub fn handle_batch(&mut self, batch: &Batch) -> Result<Reply, FrameError> {
        let now = Moment::at_micros(batch.clock);
        let mut reply = Reply::default();
        let mut selected = None;
        let mut events = Vec::new();
        for (at, record) in &batch.records {
            if let EventRecord::For { instance } = record {
                self.step_instance(selected, now, &mut events, &mut reply);
                selected = Some(*instance);
                continue;
            }
            let Some(number) = selected else { return frame_error("record with no FOR before it", *at) };
            match self.read_input(number, record, *at, now)? {
                Some(InstanceInput::Start(instance)) => {
                    events.clear();
                    self.instances.insert(number, *instance);
                }
                Some(InstanceInput::Stop) => {
                    events.clear();
                    self.instances.remove(&number);
                }
                Some(InstanceInput::Event(event)) => events.push(event),
                None => {}
            }
        }
        self.step_instance(selected, now, &mut events, &mut reply);
        Ok(reply)
    }

    /// Gives a router the events that were collected for it, and adds its actions to the reply.
    fn step_instance(
        &mut self,
        number: Option<u16>,
        now: Moment,
        events: &mut Vec<Event>,
        reply: &mut Reply,
    ) {
        let Some(number) = number else { return };
        let Some(instance) = self.instances.get_mut(&number) else { return };
        if events.is_empty() {
            return;
        }
        let mut actions = Vec::new();
        let events = std::mem::take(events);
        let policy = &mut instance.policy;
        let ran = catch_unwind(AssertUnwindSafe(|| policy.step(now, events, &mut actions)));
        if ran.is_ok() && actions.is_empty() {
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
        for action in actions {
            if let Some(record) = write_action(&mut instance.ids, action) {
                reply.push(&record);
            }
        }
    }

    /// Reads a record for a router, which starts at `at` in the frame.
    fn read_input(
        &mut self,
        number: u16,
        record: &EventRecord,
        at: usize,
        now: Moment,
    ) -> Result<Option<InstanceInput>, FrameError> {
        if let EventRecord::Spawn { seed, info } = record {
            let (profile, kinds) = match read_settings(info) {
                Ok(settings) => settings,
                Err(reason) => return frame_error(format!("SPAWN Info: {reason}"), at + 9),
            };
            let content_types = profile.content_types.len() as u16;
            let policy = Policy::new(profile, *seed, now);
            let instance = Instance { policy, ids: IdRegistry::default(), kinds, content_types };
            return Ok(Some(InstanceInput::Start(Box::new(instance))));
        }
        let Some(instance) = self.instances.get_mut(&number) else {
            if matches!(record, EventRecord::Teardown) {
                return Ok(None);
            }
            return frame_error(format!("record for instance {number}, which has not started"), at);
        };
        if matches!(record, EventRecord::Teardown) {
            return Ok(Some(InstanceInput::Stop));
        }
        Ok(read_event(instance, record, at)?.map(InstanceInput::Event))
    }
}

/// Translates a record to an event for the policy, if it is of any use to it.
fn read_event(instance: &mut Instance, record: &EventRecord, at: usize) -> Result<Option<Event>, FrameError> {
    let Instance { ids, kinds, content_types, .. } = instance;
    Ok(match record {
        EventRecord::Targets { how, entries } => {
            let update = match how {
                1 => MembershipUpdate::Delta,
                0 | 3 => MembershipUpdate::Snapshot,
                4 => MembershipUpdate::Failed,
                _ => return frame_error(format!("TARGETS How {how} is unknown"), at + 1),
            };
            let records = entries
                .iter()
                .map(|entry| read_node_record(ids, *kinds, entry, at))
                .collect::<Result<_, _>>()?;
            Some(Event::Membership { update, records })
        }
        EventRecord::Request { class, .. } if class >= content_types => {
            return frame_error(format!("REQUEST TierClass {class} is not among the Classes"), at + 9);
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
            Some(Event::Arrived { dl: ids.register_download(*ticket), download })
        }
        EventRecord::Response { ticket, rc, note, first_byte, cache, hop, complete, took } => {
            let outcome = match rc {
                200 => PullOutcome::Fulfilled,
                502 => PullOutcome::Error,
                429 => PullOutcome::Full,
                408 => PullOutcome::TimedOut,
                521 => PullOutcome::NoConnection,
                520 => PullOutcome::Broken,
                444 => PullOutcome::Cancelled,
                409 => PullOutcome::NotSent,
                204 => PullOutcome::Missed,
                _ => return frame_error(format!("RESPONSE Rc {rc} is unknown"), at + 9),
            };
            ids.dl(*ticket).zip(ids.node(*cache)).map(|(dl, node)| {
                Event::PullEnded(PullResult {
                    dl,
                    attempt: *hop,
                    node,
                    outcome,
                    cache_status: read_cache_status(*note),
                    answered: *complete,
                    duration: Span::micros(u64::from(*took)),
                    first_byte: Span::micros(u64::from(*first_byte)),
                })
            })
        }
        EventRecord::Aborted { ticket } => ids.dl(*ticket).map(|dl| Event::ClientLeft { dl }),
        EventRecord::Elapsed { handle } => Some(Event::TimerFired { timer: *handle }),
        EventRecord::Replaced { item, tag, age } => Some(Event::Purged {
            object: (*item != 0).then_some(ObjectKey(*item)),
            group: u32::from(*tag),
            ago: Span::micros(u64::from(*age)),
        }),
        // The policy has no use for the start of a stream or for messages of other routers, and sends no probes.
        EventRecord::Established { .. } | EventRecord::Sampled { .. } | EventRecord::Inbox => None,
        EventRecord::Spawn { .. } | EventRecord::Teardown | EventRecord::For { .. } => None,
    })
}

fn read_node_record(
    ids: &mut IdRegistry,
    kinds: NodeKinds,
    entry: &MemberEntry,
    at: usize,
) -> Result<NodeRecord, FrameError> {
    let phase = match entry.phase {
        1 => Phase::Ready,
        2 => Phase::Draining,
        0 => Phase::Removed,
        other => return frame_error(format!("TARGETS MembersList Phase {other} is unknown"), at + 10),
    };
    Ok(NodeRecord {
        node: ids.register_node(entry.cache),
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

fn read_cache_status(note: u32) -> CacheStatus {
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

/// A span in microseconds, as far as the field can hold it.
fn wire_span(span: Span) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}

/// Translates an action of the policy to a record, if the simulator has anything to do for it.
fn write_action(ids: &mut IdRegistry, action: Action) -> Option<ActionRecord> {
    Some(match action {
        Action::Pull(pull) => write_pull(ids, pull),
        Action::Cancel { dl, attempt } => ActionRecord::Abandon { ticket: ids.download_id(dl), hop: attempt },
        Action::Throttle { dl, retry_after } => {
            ActionRecord::PushBack { ticket: ids.download_id(dl), not_before: wire_span(retry_after) }
        }
        Action::Abandon { dl } => ActionRecord::RespondError { ticket: ids.download_id(dl) },
        Action::SetTimer { after, timer } => {
            ActionRecord::Sleep { from_now: wire_span(after), handle: timer }
        }
        Action::WatchMembership => ActionRecord::Track { enable: true },
        Action::Release { dl } => {
            ids.release_download(dl);
            return None;
        }
    })
}

fn write_pull(ids: &IdRegistry, pull: Pull) -> ActionRecord {
    let switches = [(pull.join, 1), (pull.only_held, 2), (pull.no_copy, 4), (pull.renew, 8)];
    // The simulator ends a pull when the client leaves at the latest, and would read a span past the range of i32 as a
    // negative one.
    let within = wire_span(pull.timeout).min(i32::MAX as u32);
    ActionRecord::ServeVia {
        ticket: ids.download_id(pull.dl),
        age: wire_span(pull.max_age),
        rank: pull.rank,
        within,
        cache: ids.node_id(pull.node),
        switches: switches.iter().filter(|(on, _)| *on).map(|(_, bit)| bit).sum(),
        feeder: ids.node_id(pull.source.unwrap_or(pull.node)),
    }
}
