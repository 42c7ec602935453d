//! The control service as a state machine, without sockets and files: it numbers versions and publishes them.
//! Calls come in with a moment, and what has to be done is returned as effects in order. A record is on disk
//! before any effect that follows it is carried out, so the service never forgets what it has told anyone.
use crate::archive_share::{RateShare, ShareAllocator};
use crate::config::ShapeConfig;
use crate::plan::{self, Plan, PlanError};
use crate::rollout::{Decision, HealthView, HoldReason, MemberHealth, Rollout, Transition};
use crate::topology::{self, Shape};
use crate::validation::Violation;
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// Versions kept for members that were away. A member that was away for longer gets the newest version whole.
const MAX_RETAINED_VERSIONS: usize = 64;
/// Wait cycles kept for `status`.
const MAX_RECENT_CYCLES: usize = 256;
/// A member that was silent for this long no longer counts, neither for steps nor for the load of the
/// archive.
const MEMBER_TIMEOUT: Span = Span::millis(5_000);
/// Limit on the members, whether the shape contains them or not.
const MAX_MEMBERS: usize = 4_096;

/// One record of the service's journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Whoever opens the journal takes the next term. Records that an older term writes after that are
    /// ignored.
    pub term: u64,
    pub entry: Entry,
}

/// What a journal record says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A member has opened the journal with a new term.
    Opened,
    /// The first shape, or the shape after a change. All records before it may be dropped.
    Shape(Box<ShapeConfig>),
    #[serde(rename = "begun")]
    ChangeStarted { plan: Box<Plan>, by: String },
    #[serde(rename = "stage")]
    Transition(Transition),
    /// The states of the sites from now on.
    Sites(Box<SitesRecord>),
}

/// What has to survive a restart of the service about its sites.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SitesRecord {
    #[serde(rename = "standings")]
    pub states: BTreeMap<String, SiteState>,
    /// The shape that operators want, if the one in service excludes sites.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wanted: Option<ShapeConfig>,
    /// When each site was lost recently, in Unix milliseconds. A site that flaps is held back for longer,
    /// whichever member leads.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub losses: BTreeMap<String, Vec<u64>>,
}

/// The state of a site on its way out of service and back; `harestage_sites` decides on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SiteState {
    /// Nodes may be linked to it.
    #[default]
    InService,
    /// No node is linked to it any more.
    Lost,
    /// It is heard again, and has to stay up for a while before it returns.
    Held,
    /// Its upstream links are being restored, step by step.
    Returning,
    /// Its upstream links are being removed, step by step, at an operator's request.
    Leaving,
    /// An operator keeps it out.
    Out,
}

/// What a witness reports of a site.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteObservation {
    pub site: String,
    /// The number of consecutive queries that nobody there has answered.
    pub unanswered: u32,
    /// Whether anything was ever heard of it.
    pub known: bool,
    /// Ratio of the recent answer times to the usual ones: 1 is usual.
    pub slowness: f64,
    /// The site itself says that it is shutting down in order.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// What has to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write and sync this record before anything that follows.
    Write(Record),
    /// Send this version to the members.
    Publish(u64),
    Announce(ChangeEvent),
}

/// An event for the log and for whoever watches a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum ChangeEvent {
    /// A change has started.
    #[serde(rename = "begun")]
    Started { from: u64, steps: usize, by: String },
    /// Step `step` of `of` was published as `version`.
    #[serde(rename = "step_out")]
    StepPublished { step: usize, of: usize, version: u64 },
    /// A published step is confirmed and healthy.
    StepSettled { step: usize, of: usize },
    /// The shape before the step was published again.
    #[serde(rename = "step_undone")]
    StepReverted {
        step: usize,
        version: u64,
        #[serde(rename = "why")]
        reason: String,
    },
    /// No step is published for now.
    Held {
        step: usize,
        of: usize,
        #[serde(rename = "why")]
        reason: String,
    },
    /// The change is over. `complete` is false if it was abandoned.
    Ended { complete: bool, version: u64 },
    /// A site has changed its state.
    Site {
        site: String,
        #[serde(rename = "is")]
        state: SiteState,
        #[serde(rename = "why")]
        reason: String,
    },
    /// The witnesses' view of a site has changed, before anything is done about it.
    #[serde(rename = "seen")]
    ViewChanged { site: String, view: String, seen_ms: u64 },
    /// A hub has broken a cycle of fills that waited for each other.
    #[serde(rename = "loop")]
    WaitCycle {
        hub: String,
        object: String,
        path: Vec<String>,
        waited_ms: f64,
        #[serde(rename = "before")]
        seen_before: u32,
    },
}

/// Why a change was refused.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeError {
    /// The wanted shape is invalid.
    Invalid(Vec<Violation>),
    /// There is no plan for the change.
    NoPlan(PlanError),
    /// Another change is under way.
    Busy { by: String, step: usize, of: usize },
    /// The current version is not the one that the operator looked at.
    VersionMismatch { expected: u64, actual: u64 },
    /// The wanted shape is the current one.
    Unchanged { version: u64 },
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Invalid(violations) => {
                let lines: Vec<_> = violations.iter().map(|violation| violation.to_string()).collect();
                write!(f, "{}", lines.join("\n"))
            }
            Self::NoPlan(reason) => write!(f, "{reason}"),
            Self::Busy { by, step, of } => write!(f, "a change by {by} is under way, at step {step} of {of}"),
            Self::VersionMismatch { expected, actual } => {
                write!(f, "version {expected} was expected, but the current version is {actual}")
            }
            Self::Unchanged { version } => write!(f, "version {version} already has this shape"),
        }
    }
}

/// What a hub reports of itself, a few times a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HubReport {
    /// The version that it uses.
    pub version: u64,
    pub slowness: f64,
    /// Ratio of the archive's fetch time to its usual one.
    #[serde(default)]
    pub archive_slowness: f64,
    /// Pulls a second that it receives, from branches and from other hubs.
    #[serde(default)]
    #[serde(rename = "asked")]
    pub request_rate: f64,
    /// Fetches a second at the archive, those that it would have started, and the number of the last archive
    /// share that it has applied.
    #[serde(rename = "fetches")]
    pub fetch_rate: f64,
    #[serde(rename = "wants")]
    pub wanted_rate: f64,
    #[serde(rename = "part")]
    pub share_number: u64,
    /// Fetches a second that this share allows, as long as it is valid.
    #[serde(default)]
    #[serde(rename = "holds")]
    pub granted_rate: f64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "loops")]
    pub wait_cycles: Vec<CycleReport>,
    /// Its site, and what it observes of other sites.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub site: String,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "sightings")]
    pub observations: Vec<SiteObservation>,
}

/// A wait cycle that a hub has broken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CycleReport {
    pub object: String,
    pub path: Vec<String>,
    pub waited_ms: f64,
    #[serde(rename = "before")]
    pub seen_before: u32,
}

/// The state of the service.
pub struct Control {
    term: u64,
    shape: Shape,
    /// The versions published recently, by their numbers.
    retained: BTreeMap<u64, Shape>,
    /// The shape that the current plan starts from.
    base: Option<Shape>,
    rollout: Option<(Rollout, String)>,
    hold: Option<HoldReason>,
    last_event: Option<ChangeEvent>,
    members: BTreeMap<String, MemberHealth>,
    shares: ShareAllocator,
    recent_cycles: VecDeque<ChangeEvent>,
    cycles_seen: u64,
}

impl Control {
    /// Opens the service from its journal, or from a first shape if the journal is empty. The first effect is
    /// the record of the new term.
    pub fn open(
        journal: &[Record],
        first: Option<&ShapeConfig>,
        now: Moment,
    ) -> Result<(Control, Vec<Effect>), ChangeError> {
        let journal = current_term_records(journal);
        let term = journal.last().map_or(0, |record| record.term) + 1;
        let fallback = first.cloned().map(|config| ShapeConfig { version: config.version.max(1), ..config });
        let shape = journal.iter().rev().find_map(|record| match &record.entry {
            Entry::Shape(config) => Some(config.as_ref().clone()),
            _ => None,
        });
        let recovered = shape.is_some();
        let config = shape.or(fallback).ok_or(ChangeError::Unchanged { version: 0 })?;
        // A recovered shape was accepted before and is accepted again: a check that has become stricter must
        // not stop the service.
        let shape = if recovered { Shape::from_config(&config) } else { topology::validated_shape(&config) }
            .map_err(ChangeError::Invalid)?;
        let archive = &config.archive;
        let mut control = Control {
            term,
            shape: shape.clone(),
            retained: BTreeMap::from([(shape.version(), shape)]),
            base: None,
            rollout: None,
            hold: None,
            last_event: None,
            members: BTreeMap::new(),
            shares: ShareAllocator::new(archive.capacity * archive.stops_at),
            recent_cycles: VecDeque::new(),
            cycles_seen: 0,
        };
        let mut effects = vec![control.record(Entry::Opened)];
        if !recovered {
            effects.push(control.record(Entry::Shape(Box::new(control.shape.to_config()))));
        }
        control.replay(&journal, now);
        control.shares.start_after_predecessor(now);
        effects.push(Effect::Publish(control.shape.version()));
        Ok((control, effects))
    }

    /// Applies what a predecessor wrote after the last whole shape.
    fn replay(&mut self, journal: &[&Record], now: Moment) {
        let after = journal.iter().rposition(|r| matches!(r.entry, Entry::Shape(_))).map_or(0, |at| at + 1);
        for record in &journal[after..] {
            match &record.entry {
                Entry::ChangeStarted { plan, by } => {
                    self.base = Some(self.shape.clone());
                    let rollout = Rollout::start(plan.as_ref().clone(), self.shape.version(), now);
                    self.rollout = Some((rollout, by.clone()));
                }
                Entry::Transition(transition) => self.apply_transition(transition, now),
                Entry::Opened | Entry::Shape(_) | Entry::Sites(_) => {}
            }
        }
    }

    fn record(&self, entry: Entry) -> Effect {
        Effect::Write(Record { term: self.term, entry })
    }

    /// Applies a transition that was just journaled or is being replayed.
    fn apply_transition(&mut self, transition: &Transition, now: Moment) {
        let Some((rollout, _)) = &mut self.rollout else { return };
        rollout.apply(transition, now);
        let version = match transition {
            Transition::Published { version, .. } | Transition::Reverted { version, .. } => *version,
            Transition::Settled { .. } => return,
            Transition::Ended { .. } => {
                (self.rollout, self.base) = (None, None);
                return;
            }
        };
        let Some(base) = &self.base else { return };
        self.shape = rollout.plan.shape_after(base, rollout.published_steps(), version);
        self.retain_version();
    }

    fn retain_version(&mut self) {
        self.retained.insert(self.shape.version(), self.shape.clone());
        while self.retained.len() > MAX_RETAINED_VERSIONS {
            self.retained.pop_first();
        }
        let archive = self.shape.archive();
        self.shares.set_stop_rate(archive.capacity * archive.stops_at);
    }

    /// Starts a change. `expect` is the version that the operator looked at.
    pub fn apply(
        &mut self,
        config: &ShapeConfig,
        expect: Option<u64>,
        by: &str,
        now: Moment,
    ) -> Result<Vec<Effect>, ChangeError> {
        if let Some((rollout, by)) = &self.rollout {
            let (step, of) = (rollout.published_steps(), rollout.plan.steps.len());
            return Err(ChangeError::Busy { by: by.clone(), step, of });
        }
        let actual = self.shape.version();
        if let Some(expected) = expect.filter(|expected| *expected != actual) {
            return Err(ChangeError::VersionMismatch { expected, actual });
        }
        let plan = plan::plan_change(&self.shape, config, now).map_err(|reason| match reason {
            PlanError::Invalid(violations) => ChangeError::Invalid(violations),
            reason => ChangeError::NoPlan(reason),
        })?;
        if plan.steps.is_empty() {
            return Err(ChangeError::Unchanged { version: actual });
        }
        let event = ChangeEvent::Started { from: actual, steps: plan.steps.len(), by: by.into() };
        let record = self.record(Entry::ChangeStarted { plan: Box::new(plan.clone()), by: by.into() });
        self.base = Some(self.shape.clone());
        self.rollout = Some((Rollout::start(plan, actual, now), by.into()));
        Ok(vec![record, self.announce(event)])
    }

    /// Switches to another shape at once and ends any change under way: a site is lost, and there is no time
    /// for steps.
    pub fn replace_shape(&mut self, shape: Shape) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.rollout.take().is_some() {
            (self.base, self.hold) = (None, None);
            let version = self.shape.version();
            effects.push(self.record(Entry::Transition(Transition::Ended { complete: false })));
            effects.push(self.announce(ChangeEvent::Ended { complete: false, version }));
        }
        self.shape = shape;
        self.retain_version();
        effects.push(self.record(Entry::Shape(Box::new(self.shape.to_config()))));
        effects.push(Effect::Publish(self.shape.version()));
        effects
    }

    /// A journal record of this term, for decisions made outside of this state machine.
    pub fn journal_entry(&self, entry: Entry) -> Effect {
        self.record(entry)
    }

    fn announce(&mut self, event: ChangeEvent) -> Effect {
        self.last_event = Some(event.clone());
        Effect::Announce(event)
    }

    /// Handles the report of a hub and returns its share of the archive.
    pub fn on_report(
        &mut self,
        hub: &str,
        report: &HubReport,
        now: Moment,
    ) -> (Option<RateShare>, Vec<Effect>) {
        if !self.members.contains_key(hub) && self.members.len() >= MAX_MEMBERS {
            return (None, Vec::new());
        }
        let finite = |n: f64| if n.is_finite() { n.max(0.0) } else { 0.0 };
        let (slowness, fetch_rate) = (finite(report.slowness), finite(report.fetch_rate));
        let (request_rate, archive_slowness) = (finite(report.request_rate), finite(report.archive_slowness));
        let member = MemberHealth {
            version: report.version,
            last_report: now,
            slowness,
            archive_slowness,
            request_rate,
            fetch_rate,
        };
        self.members.insert(hub.into(), member);
        let mut effects = Vec::new();
        for cycle in report.wait_cycles.iter().take(MAX_RECENT_CYCLES) {
            let (object, path) = (cycle.object.clone(), cycle.path.clone());
            let event = ChangeEvent::WaitCycle {
                hub: hub.into(),
                object,
                path,
                waited_ms: cycle.waited_ms,
                seen_before: cycle.seen_before,
            };
            self.cycles_seen += 1;
            self.recent_cycles.push_back(event.clone());
            effects.push(Effect::Announce(event));
        }
        while self.recent_cycles.len() > MAX_RECENT_CYCLES {
            self.recent_cycles.pop_front();
        }
        // A hub that is not a top hub needs no share: it only asks other hubs.
        let is_top_hub = self.shape.find(hub).is_some_and(|at| self.shape.top_hubs().contains(&at));
        let hub_count = self.shape.top_hubs().len();
        let share = is_top_hub.then(|| {
            self.shares.request(
                hub,
                report.wanted_rate,
                report.share_number,
                report.granted_rate,
                hub_count,
                now,
            )
        });
        (share, effects)
    }

    /// Has to be called a few times a second.
    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        self.members.retain(|_, member| now.since(member.last_report) < MEMBER_TIMEOUT);
        let Some((mut rollout, by)) = self.rollout.take() else { return Vec::new() };
        let ages = self.hub_ages(now);
        let archive = self.shape.archive();
        let archive_stop_rate = archive.capacity * archive.stops_at;
        let view = HealthView { members: &self.members, archive_stop_rate, ages: &ages };
        rollout.observe(&view, now);
        let decision = rollout.decide(&view, now);
        let (step, of) = (rollout.published_steps(), rollout.plan.steps.len());
        self.rollout = Some((rollout, by));
        match decision {
            Decision::Hold(hold) => {
                let is_new =
                    self.hold.as_ref().map(std::mem::discriminant) != Some(std::mem::discriminant(&hold));
                let reason = hold.to_string();
                self.hold = Some(hold);
                if is_new { vec![self.announce(ChangeEvent::Held { step, of, reason })] } else { Vec::new() }
            }
            Decision::Apply(transition) => self.commit(transition, of, now),
        }
    }

    fn commit(&mut self, transition: Transition, of: usize, now: Moment) -> Vec<Effect> {
        self.hold = None;
        let mut effects = vec![self.record(Entry::Transition(transition.clone()))];
        self.apply_transition(&transition, now);
        match transition {
            Transition::Published { step, version } => {
                effects.extend([
                    Effect::Publish(version),
                    self.announce(ChangeEvent::StepPublished { step, of, version }),
                ]);
            }
            Transition::Settled { step } => {
                effects.push(self.announce(ChangeEvent::StepSettled { step, of }))
            }
            Transition::Reverted { step, version, reason } => {
                effects.extend([
                    Effect::Publish(version),
                    self.announce(ChangeEvent::StepReverted { step, version, reason }),
                ]);
            }
            Transition::Ended { complete } => {
                effects.push(self.record(Entry::Shape(Box::new(self.shape.to_config()))));
                let version = self.shape.version();
                effects.push(self.announce(ChangeEvent::Ended { complete, version }));
            }
        }
        effects
    }

    fn hub_ages(&self, now: Moment) -> BTreeMap<String, Span> {
        let started = self.shape.hubs().filter(|(_, hub)| hub.since_ms > 0);
        let age = |since_ms: u64| now.since(Moment::at_micros(since_ms.saturating_mul(1_000)));
        started.map(|(_, hub)| (hub.name.clone(), age(hub.since_ms))).collect()
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The shape in service.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// A version, if it is still retained.
    pub fn version(&self, number: u64) -> Option<&Shape> {
        self.retained.get(&number)
    }

    /// Whether a change is under way.
    pub fn is_changing(&self) -> bool {
        self.rollout.is_some()
    }

    /// The status of the service, its members and the current change.
    pub fn status(&self, now: Moment) -> Status {
        let change = self.rollout.as_ref().map(|(rollout, by)| ChangeStatus {
            by: by.clone(),
            step: rollout.published_steps(),
            of: rollout.plan.steps.len(),
            undone: rollout.reverted_count(),
            lasted_ms: rollout.elapsed(now).as_micros() / 1_000,
            held: self.hold.as_ref().map(HoldReason::to_string),
        });
        let members = self.members.iter().map(|(name, member)| MemberStatus {
            name: name.clone(),
            version: member.version,
            silent_ms: now.since(member.last_report).as_micros() / 1_000,
            slowness: member.slowness,
            asked: member.request_rate,
            allowance: self.shape.find(name).map_or(0.0, |at| self.shape.allowance(at, now)),
            fetches: member.fetch_rate,
        });
        let archive = self.shape.archive();
        let fetch_rate: f64 = self.members.values().map(|member| member.fetch_rate).sum();
        Status {
            term: self.term,
            version: self.shape.version(),
            change,
            members: members.collect(),
            archive_share: fetch_rate / (archive.capacity * archive.stops_at).max(1e-9),
            allocated: self.shares.allocated(now),
            wait_cycles: self.cycles_seen,
            last_wait_cycles: self.recent_cycles.iter().rev().take(8).cloned().collect(),
        }
    }
}

/// The records that count. A record of an older term after one of a newer term was written by a leader that
/// had been replaced and did not know it yet.
fn current_term_records(journal: &[Record]) -> Vec<&Record> {
    let mut term = 0;
    let counts = journal.iter().filter(|record| {
        let counts = record.term >= term;
        term = term.max(record.term);
        counts
    });
    counts.collect()
}

/// The answer to a status request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub term: u64,
    pub version: u64,
    pub change: Option<ChangeStatus>,
    pub members: Vec<MemberStatus>,
    /// Fetches a second, as the hubs report them, relative to the rate at which the archive stops.
    pub archive_share: f64,
    #[serde(rename = "given_out")]
    pub allocated: f64,
    #[serde(rename = "loops")]
    pub wait_cycles: u64,
    #[serde(rename = "last_loops")]
    pub last_wait_cycles: Vec<ChangeEvent>,
}

/// The status of the current change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeStatus {
    pub by: String,
    pub step: usize,
    pub of: usize,
    pub undone: u32,
    pub lasted_ms: u64,
    pub held: Option<String>,
}

/// The status of a member, by its last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub name: String,
    pub version: u64,
    pub silent_ms: u64,
    pub slowness: f64,
    /// Pulls a second that it receives, and how many would overload it at its age.
    pub asked: f64,
    pub allowance: f64,
    pub fetches: f64,
}
