//! The service that numbers versions and hands them out, without its sockets and its file. What comes in are calls
//! with a moment; what is to be done comes back as effects in their order. A record is on disk before any effect that
//! follows it is carried out, so that what anyone was told is never forgotten.
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

/// Versions that are kept for members that were away; who was away for longer is told the newest whole.
const MOST_KEPT: usize = 64;
/// Loops that are remembered for `status`.
const MOST_LOOPS: usize = 256;
/// A member that was silent for as long does not count any more, neither for steps nor for the archive's load.
const MEMBER_SILENCE: Span = Span::millis(5_000);
/// Members at most, known by the shape or not.
const MOST_MEMBERS: usize = 4_096;

/// One line of the service's journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Whoever opens the journal takes the next term; what an older term writes after that does not count.
    pub term: u64,
    pub entry: Entry,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    Opened,
    /// The first shape, or what stands after a change: all before it may be forgotten.
    Shape(Box<ShapeConfig>),
    #[serde(rename = "begun")]
    ChangeStarted {
        plan: Box<Plan>,
        by: String,
    },
    #[serde(rename = "stage")]
    Transition(Transition),
    /// How the sites stand from now on.
    Sites(Box<SitesRecord>),
}

/// What has to outlive a service about its sites.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SitesRecord {
    #[serde(rename = "standings")]
    pub states: BTreeMap<String, SiteState>,
    /// The shape that operators want, where the one in service leaves sites out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wanted: Option<ShapeConfig>,
    /// When each site was lost lately, Unix milliseconds: what flaps is held for longer, whoever leads.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub losses: BTreeMap<String, Vec<u64>>,
}

/// Where a site is on its way out of service and back; `harestage_sites` decides on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SiteState {
    #[default]
    InService,
    /// Nobody is tied to it any more.
    Lost,
    /// It is heard again, and proves that it stays.
    Held,
    /// Its ties come back, step by step.
    Returning,
    /// Its ties go, step by step: staff has asked for it.
    Leaving,
    /// Staff keeps it out.
    Out,
}

/// What a witness says of a site, in its report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteObservation {
    pub site: String,
    /// Questions in a row that nobody there has answered.
    pub unanswered: u32,
    /// Whether anything was ever heard of it.
    pub known: bool,
    /// Time of the last answers against the usual one; 1 is usual.
    pub slowness: f64,
    /// The site itself says that it is going down in order.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// What has to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Written and synced before anything that follows.
    Write(Record),
    /// Members are to be told this version.
    Publish(u64),
    Announce(ChangeEvent),
}

/// For the log, and for whoever watches a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum ChangeEvent {
    #[serde(rename = "begun")]
    Started {
        from: u64,
        steps: usize,
        by: String,
    },
    #[serde(rename = "step_out")]
    StepPublished {
        step: usize,
        of: usize,
        version: u64,
    },
    StepSettled {
        step: usize,
        of: usize,
    },
    #[serde(rename = "step_undone")]
    StepReverted {
        step: usize,
        version: u64,
        #[serde(rename = "why")]
        reason: String,
    },
    Held {
        step: usize,
        of: usize,
        #[serde(rename = "why")]
        reason: String,
    },
    Ended {
        complete: bool,
        version: u64,
    },
    /// A site stands so from now on.
    Site {
        site: String,
        #[serde(rename = "is")]
        state: SiteState,
        #[serde(rename = "why")]
        reason: String,
    },
    /// What is held of a site, before anything is done about it.
    #[serde(rename = "seen")]
    ViewChanged {
        site: String,
        view: String,
        seen_ms: u64,
    },
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

#[derive(Clone, Debug, PartialEq)]
pub enum ChangeError {
    Invalid(Vec<Violation>),
    NoPlan(PlanError),
    /// Another change is under way.
    Busy {
        by: String,
        step: usize,
        of: usize,
    },
    /// The shape is another than the one that the operator looked at.
    VersionMismatch {
        expected: u64,
        actual: u64,
    },
    Unchanged {
        version: u64,
    },
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Invalid(complaints) => {
                let lines: Vec<_> = complaints.iter().map(|c| c.to_string()).collect();
                write!(f, "{}", lines.join("\n"))
            }
            Self::NoPlan(why) => write!(f, "{why}"),
            Self::Busy { by, step, of } => write!(f, "a change by {by} is under way, at step {step} of {of}"),
            Self::VersionMismatch { expected, actual: is } => {
                write!(f, "version {expected} was expected, and it is {is}")
            }
            Self::Unchanged { version } => write!(f, "version {version} is that shape already"),
        }
    }
}

/// What a hub says of itself, some times a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HubReport {
    /// The version that it goes by.
    pub version: u64,
    pub slowness: f64,
    /// Time of a fetch at the archive against its usual one.
    #[serde(default)]
    pub archive_slowness: f64,
    /// Pulls a second that came to it, from branches and from other hubs.
    #[serde(default)]
    #[serde(rename = "asked")]
    pub request_rate: f64,
    /// Fetches a second at the archive, those that it would have begun, and the part it has taken in last.
    #[serde(rename = "fetches")]
    pub fetch_rate: f64,
    #[serde(rename = "wants")]
    pub wanted_rate: f64,
    #[serde(rename = "part")]
    pub share_number: u64,
    /// Fetches a second that it may begin by that part, as long as it lasts.
    #[serde(default)]
    #[serde(rename = "holds")]
    pub granted_rate: f64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "loops")]
    pub wait_cycles: Vec<CycleReport>,
    /// Where it is, and what it sees of other sites.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub site: String,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "sightings")]
    pub observations: Vec<SiteObservation>,
}

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
    /// The versions that went out lately, by their numbers.
    retained: BTreeMap<u64, Shape>,
    /// The shape that the plan under way starts from.
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
    /// Takes up the service from its journal, or from a first shape where that is empty. What comes back first is the
    /// record of the new term.
    pub fn open(
        journal: &[Record],
        first: Option<&ShapeConfig>,
        now: Moment,
    ) -> Result<(Control, Vec<Effect>), ChangeError> {
        let journal = fenced(journal);
        let term = journal.last().map_or(0, |record| record.term) + 1;
        let fallback = first.cloned().map(|form| ShapeConfig { version: form.version.max(1), ..form });
        let shape = journal.iter().rev().find_map(|record| match &record.entry {
            Entry::Shape(form) => Some(form.as_ref().clone()),
            _ => None,
        });
        let recovered = shape.is_some();
        let form = shape.or(fallback).ok_or(ChangeError::Unchanged { version: 0 })?;
        // What was taken once is taken again: a check that has become stricter must not stop the service.
        let shape = if recovered { Shape::from_config(&form) } else { topology::validated_shape(&form) }
            .map_err(ChangeError::Invalid)?;
        let archive = &form.archive;
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

    /// Goes through what a forerunner wrote after the last whole shape.
    fn replay(&mut self, journal: &[&Record], now: Moment) {
        let after = journal.iter().rposition(|r| matches!(r.entry, Entry::Shape(_))).map_or(0, |at| at + 1);
        for record in &journal[after..] {
            match &record.entry {
                Entry::ChangeStarted { plan, by } => {
                    self.base = Some(self.shape.clone());
                    let runner = Rollout::start(plan.as_ref().clone(), self.shape.version(), now);
                    self.rollout = Some((runner, by.clone()));
                }
                Entry::Transition(stage) => self.apply_transition(stage, now),
                Entry::Opened | Entry::Shape(_) | Entry::Sites(_) => {}
            }
        }
    }

    fn record(&self, entry: Entry) -> Effect {
        Effect::Write(Record { term: self.term, entry })
    }

    /// A stage is taken in, whether it was just written down or recalled.
    fn apply_transition(&mut self, stage: &Transition, now: Moment) {
        let Some((runner, _)) = &mut self.rollout else { return };
        runner.apply(stage, now);
        let version = match stage {
            Transition::Published { version, .. } | Transition::Reverted { version, .. } => *version,
            Transition::Settled { .. } => return,
            Transition::Ended { .. } => {
                (self.rollout, self.base) = (None, None);
                return;
            }
        };
        let Some(base) = &self.base else { return };
        self.shape = runner.plan.shape_after(base, runner.published_steps(), version);
        self.retain_version();
    }

    fn retain_version(&mut self) {
        self.retained.insert(self.shape.version(), self.shape.clone());
        while self.retained.len() > MOST_KEPT {
            self.retained.pop_first();
        }
        let archive = self.shape.archive();
        self.shares.set_stop_rate(archive.capacity * archive.stops_at);
    }

    /// Begins a change. `expect` is the version that the operator looked at.
    pub fn apply(
        &mut self,
        form: &ShapeConfig,
        expect: Option<u64>,
        by: &str,
        now: Moment,
    ) -> Result<Vec<Effect>, ChangeError> {
        if let Some((runner, by)) = &self.rollout {
            let (step, of) = (runner.published_steps(), runner.plan.steps.len());
            return Err(ChangeError::Busy { by: by.clone(), step, of });
        }
        let is = self.shape.version();
        if let Some(expected) = expect.filter(|expected| *expected != is) {
            return Err(ChangeError::VersionMismatch { expected, actual: is });
        }
        let plan = plan::plan_change(&self.shape, form, now).map_err(|why| match why {
            PlanError::Invalid(complaints) => ChangeError::Invalid(complaints),
            why => ChangeError::NoPlan(why),
        })?;
        if plan.steps.is_empty() {
            return Err(ChangeError::Unchanged { version: is });
        }
        let said = ChangeEvent::Started { from: is, steps: plan.steps.len(), by: by.into() };
        let record = self.record(Entry::ChangeStarted { plan: Box::new(plan.clone()), by: by.into() });
        self.base = Some(self.shape.clone());
        self.rollout = Some((Rollout::start(plan, is, now), by.into()));
        Ok(vec![record, self.announce(said)])
    }

    /// Goes over to another shape at once, whatever is under way: a site is lost, and there is no time for steps.
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

    /// A record of this term, for what is decided beside it.
    pub fn journal_entry(&self, entry: Entry) -> Effect {
        self.record(entry)
    }

    fn announce(&mut self, said: ChangeEvent) -> Effect {
        self.last_event = Some(said.clone());
        Effect::Announce(said)
    }

    /// A hub has reported; it gets its part of the archive.
    pub fn on_report(
        &mut self,
        hub: &str,
        report: &HubReport,
        now: Moment,
    ) -> (Option<RateShare>, Vec<Effect>) {
        if !self.members.contains_key(hub) && self.members.len() >= MOST_MEMBERS {
            return (None, Vec::new());
        }
        let finite = |n: f64| if n.is_finite() { n.max(0.0) } else { 0.0 };
        let (slowness, fetches) = (finite(report.slowness), finite(report.fetch_rate));
        let (asked, archive_slowness) = (finite(report.request_rate), finite(report.archive_slowness));
        let heard = MemberHealth {
            version: report.version,
            last_report: now,
            slowness,
            archive_slowness,
            request_rate: asked,
            fetch_rate: fetches,
        };
        self.members.insert(hub.into(), heard);
        let mut effects = Vec::new();
        for seen in report.wait_cycles.iter().take(MOST_LOOPS) {
            let (object, path) = (seen.object.clone(), seen.path.clone());
            let said = ChangeEvent::WaitCycle {
                hub: hub.into(),
                object,
                path,
                waited_ms: seen.waited_ms,
                seen_before: seen.seen_before,
            };
            self.cycles_seen += 1;
            self.recent_cycles.push_back(said.clone());
            effects.push(Effect::Announce(said));
        }
        while self.recent_cycles.len() > MOST_LOOPS {
            self.recent_cycles.pop_front();
        }
        // Who is at no top needs no part: it asks other hubs only.
        let at_top = self.shape.find(hub).is_some_and(|at| self.shape.top_hubs().contains(&at));
        let most = self.shape.top_hubs().len();
        let part = at_top.then(|| {
            self.shares.request(hub, report.wanted_rate, report.share_number, report.granted_rate, most, now)
        });
        (part, effects)
    }

    /// To be called some times a second.
    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        self.members.retain(|_, heard| now.since(heard.last_report) < MEMBER_SILENCE);
        let Some((mut runner, by)) = self.rollout.take() else { return Vec::new() };
        let ages = self.hub_ages(now);
        let archive = self.shape.archive();
        let stopping = archive.capacity * archive.stops_at;
        let view = HealthView { members: &self.members, archive_stop_rate: stopping, ages: &ages };
        runner.observe(&view, now);
        let turn = runner.decide(&view, now);
        let (done, of) = (runner.published_steps(), runner.plan.steps.len());
        self.rollout = Some((runner, by));
        match turn {
            Decision::Hold(hold) => {
                let new =
                    self.hold.as_ref().map(std::mem::discriminant) != Some(std::mem::discriminant(&hold));
                let why = hold.to_string();
                self.hold = Some(hold);
                if new {
                    vec![self.announce(ChangeEvent::Held { step: done, of, reason: why })]
                } else {
                    Vec::new()
                }
            }
            Decision::Apply(stage) => self.commit(stage, of, now),
        }
    }

    fn commit(&mut self, stage: Transition, of: usize, now: Moment) -> Vec<Effect> {
        self.hold = None;
        let mut effects = vec![self.record(Entry::Transition(stage.clone()))];
        self.apply_transition(&stage, now);
        match stage {
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
        let fresh = self.shape.hubs().filter(|(_, hub)| hub.since_ms > 0);
        let age = |since_ms: u64| now.since(Moment::at_micros(since_ms.saturating_mul(1_000)));
        fresh.map(|(_, hub)| (hub.name.clone(), age(hub.since_ms))).collect()
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// A version that is still kept.
    pub fn version(&self, number: u64) -> Option<&Shape> {
        self.retained.get(&number)
    }

    pub fn is_changing(&self) -> bool {
        self.rollout.is_some()
    }

    pub fn status(&self, now: Moment) -> Status {
        let change = self.rollout.as_ref().map(|(runner, by)| ChangeStatus {
            by: by.clone(),
            step: runner.published_steps(),
            of: runner.plan.steps.len(),
            undone: runner.reverted_count(),
            lasted_ms: runner.elapsed(now).as_micros() / 1_000,
            held: self.hold.as_ref().map(HoldReason::to_string),
        });
        let members = self.members.iter().map(|(name, heard)| MemberStatus {
            name: name.clone(),
            version: heard.version,
            silent_ms: now.since(heard.last_report).as_micros() / 1_000,
            slowness: heard.slowness,
            asked: heard.request_rate,
            allowance: self.shape.find(name).map_or(0.0, |at| self.shape.allowance(at, now)),
            fetches: heard.fetch_rate,
        });
        let archive = self.shape.archive();
        let asked: f64 = self.members.values().map(|heard| heard.fetch_rate).sum();
        Status {
            term: self.term,
            version: self.shape.version(),
            change,
            members: members.collect(),
            archive_share: asked / (archive.capacity * archive.stops_at).max(1e-9),
            allocated: self.shares.allocated(now),
            wait_cycles: self.cycles_seen,
            last_wait_cycles: self.recent_cycles.iter().rev().take(8).cloned().collect(),
        }
    }
}

/// The lines that count. One of an older term behind one of a newer term was written by a runner that had been
/// replaced and did not know it yet.
fn fenced(journal: &[Record]) -> Vec<&Record> {
    let mut term = 0;
    let counts = journal.iter().filter(|record| {
        let counts = record.term >= term;
        term = term.max(record.term);
        counts
    });
    counts.collect()
}

/// What `status` tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub term: u64,
    pub version: u64,
    pub change: Option<ChangeStatus>,
    pub members: Vec<MemberStatus>,
    /// Fetches a second against the archive's stopping point, by what hubs report.
    pub archive_share: f64,
    #[serde(rename = "given_out")]
    pub allocated: f64,
    #[serde(rename = "loops")]
    pub wait_cycles: u64,
    #[serde(rename = "last_loops")]
    pub last_wait_cycles: Vec<ChangeEvent>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeStatus {
    pub by: String,
    pub step: usize,
    pub of: usize,
    pub undone: u32,
    pub lasted_ms: u64,
    pub held: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub name: String,
    pub version: u64,
    pub silent_ms: u64,
    pub slowness: f64,
    /// Pulls a second that came to it, and how many would push it over at its age.
    pub asked: f64,
    pub allowance: f64,
    pub fetches: f64,
}
