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
    Begun {
        plan: Box<Plan>,
        by: String,
    },
    Stage(Transition),
    /// How the sites stand from now on.
    Sites(Box<SitesRecord>),
}

/// What has to outlive a service about its sites.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SitesRecord {
    pub standings: BTreeMap<String, SiteState>,
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
    Say(ChangeEvent),
}

/// For the log, and for whoever watches a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum ChangeEvent {
    Begun {
        from: u64,
        steps: usize,
        by: String,
    },
    StepOut {
        step: usize,
        of: usize,
        version: u64,
    },
    StepSettled {
        step: usize,
        of: usize,
    },
    StepUndone {
        step: usize,
        version: u64,
        why: String,
    },
    Held {
        step: usize,
        of: usize,
        why: String,
    },
    Ended {
        complete: bool,
        version: u64,
    },
    /// A site stands so from now on.
    Site {
        site: String,
        is: SiteState,
        why: String,
    },
    /// What is held of a site, before anything is done about it.
    Seen {
        site: String,
        view: String,
        seen_ms: u64,
    },
    Loop {
        hub: String,
        object: String,
        path: Vec<String>,
        waited_ms: f64,
        before: u32,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum ChangeError {
    Wrong(Vec<Violation>),
    NoPlan(PlanError),
    /// Another change is under way.
    Busy {
        by: String,
        step: usize,
        of: usize,
    },
    /// The shape is another than the one that the operator looked at.
    Moved {
        expected: u64,
        is: u64,
    },
    Same {
        version: u64,
    },
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Wrong(complaints) => {
                let lines: Vec<_> = complaints.iter().map(|c| c.to_string()).collect();
                write!(f, "{}", lines.join("\n"))
            }
            Self::NoPlan(why) => write!(f, "{why}"),
            Self::Busy { by, step, of } => write!(f, "a change by {by} is under way, at step {step} of {of}"),
            Self::Moved { expected, is } => write!(f, "version {expected} was expected, and it is {is}"),
            Self::Same { version } => write!(f, "version {version} is that shape already"),
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
    pub asked: f64,
    /// Fetches a second at the archive, those that it would have begun, and the part it has taken in last.
    pub fetches: f64,
    pub wants: f64,
    pub part: u64,
    /// Fetches a second that it may begin by that part, as long as it lasts.
    #[serde(default)]
    pub holds: f64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loops: Vec<CycleReport>,
    /// Where it is, and what it sees of other sites.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub site: String,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sightings: Vec<SiteObservation>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CycleReport {
    pub object: String,
    pub path: Vec<String>,
    pub waited_ms: f64,
    pub before: u32,
}

/// The state of the service.
pub struct Control {
    term: u64,
    shape: Shape,
    /// The versions that went out lately, by their numbers.
    kept: BTreeMap<u64, Shape>,
    /// The shape that the plan under way starts from.
    base: Option<Shape>,
    runner: Option<(Rollout, String)>,
    held: Option<HoldReason>,
    last: Option<ChangeEvent>,
    members: BTreeMap<String, MemberHealth>,
    sharing: ShareAllocator,
    loops: VecDeque<ChangeEvent>,
    loops_seen: u64,
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
        let form = shape.or(fallback).ok_or(ChangeError::Same { version: 0 })?;
        // What was taken once is taken again: a check that has become stricter must not stop the service.
        let shape = if recovered { Shape::of(&form) } else { topology::validated_shape(&form) }
            .map_err(ChangeError::Wrong)?;
        let archive = &form.archive;
        let mut control = Control {
            term,
            shape: shape.clone(),
            kept: BTreeMap::from([(shape.version(), shape)]),
            base: None,
            runner: None,
            held: None,
            last: None,
            members: BTreeMap::new(),
            sharing: ShareAllocator::new(archive.capacity * archive.stops_at),
            loops: VecDeque::new(),
            loops_seen: 0,
        };
        let mut effects = vec![control.record(Entry::Opened)];
        if !recovered {
            effects.push(control.record(Entry::Shape(Box::new(control.shape.form()))));
        }
        control.recall(&journal, now);
        control.sharing.begin_after(now);
        effects.push(Effect::Publish(control.shape.version()));
        Ok((control, effects))
    }

    /// Goes through what a forerunner wrote after the last whole shape.
    fn recall(&mut self, journal: &[&Record], now: Moment) {
        let after = journal.iter().rposition(|r| matches!(r.entry, Entry::Shape(_))).map_or(0, |at| at + 1);
        for record in &journal[after..] {
            match &record.entry {
                Entry::Begun { plan, by } => {
                    self.base = Some(self.shape.clone());
                    let runner = Rollout::begin(plan.as_ref().clone(), self.shape.version(), now);
                    self.runner = Some((runner, by.clone()));
                }
                Entry::Stage(stage) => self.enter(stage, now),
                Entry::Opened | Entry::Shape(_) | Entry::Sites(_) => {}
            }
        }
    }

    fn record(&self, entry: Entry) -> Effect {
        Effect::Write(Record { term: self.term, entry })
    }

    /// A stage is taken in, whether it was just written down or recalled.
    fn enter(&mut self, stage: &Transition, now: Moment) {
        let Some((runner, _)) = &mut self.runner else { return };
        runner.enter(stage, now);
        let version = match stage {
            Transition::Out { version, .. } | Transition::Undone { version, .. } => *version,
            Transition::Settled { .. } => return,
            Transition::Ended { .. } => {
                (self.runner, self.base) = (None, None);
                return;
            }
        };
        let Some(base) = &self.base else { return };
        self.shape = runner.plan.shape_after(base, runner.done(), version);
        self.keep();
    }

    fn keep(&mut self) {
        self.kept.insert(self.shape.version(), self.shape.clone());
        while self.kept.len() > MOST_KEPT {
            self.kept.pop_first();
        }
        let archive = self.shape.archive();
        self.sharing.set_stopping(archive.capacity * archive.stops_at);
    }

    /// Begins a change. `expect` is the version that the operator looked at.
    pub fn apply(
        &mut self,
        form: &ShapeConfig,
        expect: Option<u64>,
        by: &str,
        now: Moment,
    ) -> Result<Vec<Effect>, ChangeError> {
        if let Some((runner, by)) = &self.runner {
            let (step, of) = (runner.done(), runner.plan.steps.len());
            return Err(ChangeError::Busy { by: by.clone(), step, of });
        }
        let is = self.shape.version();
        if let Some(expected) = expect.filter(|expected| *expected != is) {
            return Err(ChangeError::Moved { expected, is });
        }
        let plan = plan::plan_change(&self.shape, form, now).map_err(|why| match why {
            PlanError::Wrong(complaints) => ChangeError::Wrong(complaints),
            why => ChangeError::NoPlan(why),
        })?;
        if plan.steps.is_empty() {
            return Err(ChangeError::Same { version: is });
        }
        let said = ChangeEvent::Begun { from: is, steps: plan.steps.len(), by: by.into() };
        let record = self.record(Entry::Begun { plan: Box::new(plan.clone()), by: by.into() });
        self.base = Some(self.shape.clone());
        self.runner = Some((Rollout::begin(plan, is, now), by.into()));
        Ok(vec![record, self.say(said)])
    }

    /// Goes over to another shape at once, whatever is under way: a site is lost, and there is no time for steps.
    pub fn jump(&mut self, shape: Shape) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.runner.take().is_some() {
            (self.base, self.held) = (None, None);
            let version = self.shape.version();
            effects.push(self.record(Entry::Stage(Transition::Ended { complete: false })));
            effects.push(self.say(ChangeEvent::Ended { complete: false, version }));
        }
        self.shape = shape;
        self.keep();
        effects.push(self.record(Entry::Shape(Box::new(self.shape.form()))));
        effects.push(Effect::Publish(self.shape.version()));
        effects
    }

    /// A record of this term, for what is decided beside it.
    pub fn note(&self, entry: Entry) -> Effect {
        self.record(entry)
    }

    fn say(&mut self, said: ChangeEvent) -> Effect {
        self.last = Some(said.clone());
        Effect::Say(said)
    }

    /// A hub has reported; it gets its part of the archive.
    pub fn hear(&mut self, hub: &str, report: &HubReport, now: Moment) -> (Option<RateShare>, Vec<Effect>) {
        if !self.members.contains_key(hub) && self.members.len() >= MOST_MEMBERS {
            return (None, Vec::new());
        }
        let finite = |n: f64| if n.is_finite() { n.max(0.0) } else { 0.0 };
        let (slowness, fetches) = (finite(report.slowness), finite(report.fetches));
        let (asked, archive_slowness) = (finite(report.asked), finite(report.archive_slowness));
        let heard =
            MemberHealth { version: report.version, at: now, slowness, archive_slowness, asked, fetches };
        self.members.insert(hub.into(), heard);
        let mut effects = Vec::new();
        for seen in report.loops.iter().take(MOST_LOOPS) {
            let (object, path) = (seen.object.clone(), seen.path.clone());
            let said = ChangeEvent::Loop {
                hub: hub.into(),
                object,
                path,
                waited_ms: seen.waited_ms,
                before: seen.before,
            };
            self.loops_seen += 1;
            self.loops.push_back(said.clone());
            effects.push(Effect::Say(said));
        }
        while self.loops.len() > MOST_LOOPS {
            self.loops.pop_front();
        }
        // Who is at no top needs no part: it asks other hubs only.
        let at_top = self.shape.find(hub).is_some_and(|at| self.shape.tops().contains(&at));
        let most = self.shape.tops().len();
        let part = at_top.then(|| self.sharing.ask(hub, report.wants, report.part, report.holds, most, now));
        (part, effects)
    }

    /// To be called some times a second.
    pub fn beat(&mut self, now: Moment) -> Vec<Effect> {
        self.members.retain(|_, heard| now.since(heard.at) < MEMBER_SILENCE);
        let Some((mut runner, by)) = self.runner.take() else { return Vec::new() };
        let ages = self.ages(now);
        let archive = self.shape.archive();
        let stopping = archive.capacity * archive.stops_at;
        let view = HealthView { members: &self.members, stopping, ages: &ages };
        runner.look(&view, now);
        let turn = runner.turn(&view, now);
        let (done, of) = (runner.done(), runner.plan.steps.len());
        self.runner = Some((runner, by));
        match turn {
            Decision::Hold(hold) => {
                let new =
                    self.held.as_ref().map(std::mem::discriminant) != Some(std::mem::discriminant(&hold));
                let why = hold.to_string();
                self.held = Some(hold);
                if new { vec![self.say(ChangeEvent::Held { step: done, of, why })] } else { Vec::new() }
            }
            Decision::Do(stage) => self.carry_out(stage, of, now),
        }
    }

    fn carry_out(&mut self, stage: Transition, of: usize, now: Moment) -> Vec<Effect> {
        self.held = None;
        let mut effects = vec![self.record(Entry::Stage(stage.clone()))];
        self.enter(&stage, now);
        match stage {
            Transition::Out { step, version } => {
                effects
                    .extend([Effect::Publish(version), self.say(ChangeEvent::StepOut { step, of, version })]);
            }
            Transition::Settled { step } => effects.push(self.say(ChangeEvent::StepSettled { step, of })),
            Transition::Undone { step, version, why } => {
                effects.extend([
                    Effect::Publish(version),
                    self.say(ChangeEvent::StepUndone { step, version, why }),
                ]);
            }
            Transition::Ended { complete } => {
                effects.push(self.record(Entry::Shape(Box::new(self.shape.form()))));
                let version = self.shape.version();
                effects.push(self.say(ChangeEvent::Ended { complete, version }));
            }
        }
        effects
    }

    fn ages(&self, now: Moment) -> BTreeMap<String, Span> {
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
        self.kept.get(&number)
    }

    pub fn is_changing(&self) -> bool {
        self.runner.is_some()
    }

    pub fn status(&self, now: Moment) -> Status {
        let change = self.runner.as_ref().map(|(runner, by)| ChangeStatus {
            by: by.clone(),
            step: runner.done(),
            of: runner.plan.steps.len(),
            undone: runner.undone(),
            lasted_ms: runner.lasted(now).as_micros() / 1_000,
            held: self.held.as_ref().map(HoldReason::to_string),
        });
        let members = self.members.iter().map(|(name, heard)| MemberStatus {
            name: name.clone(),
            version: heard.version,
            silent_ms: now.since(heard.at).as_micros() / 1_000,
            slowness: heard.slowness,
            asked: heard.asked,
            allowance: self.shape.find(name).map_or(0.0, |at| self.shape.allowance(at, now)),
            fetches: heard.fetches,
        });
        let archive = self.shape.archive();
        let asked: f64 = self.members.values().map(|heard| heard.fetches).sum();
        Status {
            term: self.term,
            version: self.shape.version(),
            change,
            members: members.collect(),
            archive_share: asked / (archive.capacity * archive.stops_at).max(1e-9),
            given_out: self.sharing.given_out(now),
            loops: self.loops_seen,
            last_loops: self.loops.iter().rev().take(8).cloned().collect(),
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
    pub given_out: f64,
    pub loops: u64,
    pub last_loops: Vec<ChangeEvent>,
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
