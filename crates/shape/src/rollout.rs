//! Runs a plan: one step after another, each only while the service is healthy. Every transition is journaled
//! first, so that a successor continues where this one stopped. A step that is published twice has the same
//! effect, since it names all upstreams of a node rather than the differences.
use crate::plan::{Plan, SETTLE_TIME, Step};
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Fractions of the rate at which the archive stops: above the first no step is published, above the second
/// the last step is reverted.
const ARCHIVE_HOLD_FRACTION: f64 = 0.7;
const ARCHIVE_REVERT_FRACTION: f64 = 0.85;
/// Ratios to the usual time of a hub's fills and of fetches at the archive: the same for both.
const HOLD_SLOWNESS: f64 = 3.0;
const REVERT_SLOWNESS: f64 = 8.0;
/// A value above its limit for this long reverts the last step. Shorter peaks only hold back the next one.
const REVERT_DELAY: Span = Span::millis(800);
/// A member that does not confirm a step for this long is ignored, but a node of the step itself causes its
/// revert.
const REPORT_TIMEOUT: Span = Span::millis(3_000);
/// The pause after a reverted step. The next attempt also waits twice as long after each step.
const BACKOFF: Span = Span::millis(2_000);
/// The number of reverted steps after which the change is abandoned where it stands.
const MAX_REVERTS: u32 = 3;

/// A transition that is journaled before it takes effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Transition {
    /// Step `step` is published as `version`.
    #[serde(rename = "out")]
    Published { step: usize, version: u64 },
    /// The step is confirmed and healthy.
    Settled { step: usize },
    /// The shape before the step is published again, as `version`.
    #[serde(rename = "undone")]
    Reverted {
        step: usize,
        version: u64,
        #[serde(rename = "why")]
        reason: String,
    },
    /// The change is over. `complete` is false if it was abandoned.
    Ended { complete: bool },
}

/// What a member last reported.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberHealth {
    pub version: u64,
    pub last_report: Moment,
    /// Ratio of the time to the first byte to its usual value: 1 is usual.
    pub slowness: f64,
    /// Ratio of the archive's fetch time to its usual value.
    pub archive_slowness: f64,
    /// Pulls a second that it receives.
    pub request_rate: f64,
    /// Fetches a second at the archive.
    pub fetch_rate: f64,
}

/// The observations that decisions are based on.
pub struct HealthView<'a> {
    pub members: &'a BTreeMap<String, MemberHealth>,
    /// Fetches a second at which the archive stops.
    pub archive_stop_rate: f64,
    /// The ages of the hubs that have started recently; other hubs are warm.
    pub ages: &'a BTreeMap<String, Span>,
}

/// Why no step is published now.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldReason {
    /// The last step has not settled yet.
    Settling,
    /// A step was reverted a moment ago.
    BackingOff,
    /// A hub of the next step has not reached the age that the step needs.
    HubTooYoung { hub: String, age: Span, needed: Span },
    /// The archive is asked for too large a share of the rate at which it stops.
    ArchiveBusy { share: f64 },
    /// Fetches at the archive take too long compared with the usual time.
    ArchiveSlow { slowness: f64 },
    /// Fills of a hub take too long compared with the usual time.
    HubSlow { hub: String, slowness: f64 },
    /// A node of the step has not confirmed the version.
    Unconfirmed { node: String },
    /// Nothing is due.
    NotDue,
}

impl std::fmt::Display for HoldReason {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::Settling => write!(f, "the step before settles"),
            Self::BackingOff => write!(f, "resting after an undone step"),
            Self::HubTooYoung { hub, age, needed } => {
                write!(f, "{hub} is {:.1} s old and has to be {:.1} s", age.seconds(), needed.seconds())
            }
            Self::ArchiveBusy { share } => write!(f, "the archive is asked {share:.2} of its stopping point"),
            Self::ArchiveSlow { slowness } => {
                write!(f, "the archive is {slowness:.1} times slower than usual")
            }
            Self::HubSlow { hub, slowness } => {
                write!(f, "{hub} is {slowness:.1} times slower than usual")
            }
            Self::Unconfirmed { node } => write!(f, "{node} has not said that it follows"),
            Self::NotDue => write!(f, "planned for later"),
        }
    }
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// To be journaled and then applied.
    Apply(Transition),
    Hold(HoldReason),
}

/// The phase of the execution.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Every published step has settled.
    BetweenSteps {
        since: Moment,
        backoff: Span,
    },
    StepPublished {
        step: usize,
        version: u64,
        since: Moment,
        unhealthy_since: Option<Moment>,
    },
    Ended,
}

/// The execution of one plan.
#[derive(Clone, Debug)]
pub struct Rollout {
    pub plan: Plan,
    started: Moment,
    /// Steps that were published, whether they have settled or not.
    published_steps: usize,
    reverted_count: u32,
    phase: Phase,
    version: u64,
}

impl Rollout {
    /// Starts a plan from the given version.
    pub fn start(plan: Plan, version: u64, now: Moment) -> Rollout {
        Rollout {
            plan,
            started: now,
            published_steps: 0,
            reverted_count: 0,
            phase: Phase::BetweenSteps { since: now, backoff: Span::ZERO },
            version,
        }
    }

    /// Applies a transition: one that was just journaled, or those of a predecessor after its failure.
    pub fn apply(&mut self, transition: &Transition, now: Moment) {
        match transition {
            Transition::Published { step, version } => {
                (self.published_steps, self.version) = (*step, *version);
                self.phase = Phase::StepPublished {
                    step: *step,
                    version: *version,
                    since: now,
                    unhealthy_since: None,
                };
            }
            Transition::Settled { .. } => {
                self.phase = Phase::BetweenSteps { since: now, backoff: Span::ZERO }
            }
            Transition::Reverted { step, version, .. } => {
                (self.published_steps, self.version) = (*step - 1, *version);
                self.reverted_count += 1;
                self.phase = Phase::BetweenSteps { since: now, backoff: BACKOFF };
            }
            Transition::Ended { .. } => self.phase = Phase::Ended,
        }
    }

    /// The number of published steps.
    pub fn published_steps(&self) -> usize {
        self.published_steps
    }

    /// How many times a step was reverted.
    pub fn reverted_count(&self) -> u32 {
        self.reverted_count
    }

    /// Whether the change is over.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// The version that was published last.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What to do now. Calls for the same moment and view give the same result until a transition is applied.
    pub fn decide(&self, view: &HealthView, now: Moment) -> Decision {
        match self.phase {
            Phase::Ended => Decision::Hold(HoldReason::NotDue),
            Phase::StepPublished { step, version, since, .. } => {
                self.watch_step(step, version, since, view, now)
            }
            Phase::BetweenSteps { since, backoff } => self.next_step(since, backoff, view, now),
        }
    }

    /// Notes since when a value is above its limit, since a peak has to last before it reverts anything.
    pub fn observe(&mut self, view: &HealthView, now: Moment) {
        let unhealthy = self.revert_reason(view).is_some();
        if let Phase::StepPublished { unhealthy_since, .. } = &mut self.phase {
            *unhealthy_since = if unhealthy { unhealthy_since.or(Some(now)) } else { None };
        }
    }

    fn settle_factor(&self) -> f64 {
        2f64.powi(self.reverted_count as i32)
    }

    fn watch_step(
        &self,
        step: usize,
        version: u64,
        since: Moment,
        view: &HealthView,
        now: Moment,
    ) -> Decision {
        let Phase::StepPublished { unhealthy_since, .. } = self.phase else {
            return Decision::Hold(HoldReason::Settling);
        };
        if let (Some(unhealthy), Some(reason)) = (unhealthy_since, self.revert_reason(view))
            && now.since(unhealthy) >= REVERT_DELAY
        {
            return self.revert(step, reason.to_string());
        }
        let unconfirmed = self.unconfirmed_node(step, version, view, now);
        if now.since(since) >= REPORT_TIMEOUT
            && let Some(node) = &unconfirmed
        {
            return self.revert(step, HoldReason::Unconfirmed { node: node.clone() }.to_string());
        }
        if let Some(node) = unconfirmed {
            return Decision::Hold(HoldReason::Unconfirmed { node });
        }
        if now.since(since) < SETTLE_TIME * self.settle_factor() || unhealthy_since.is_some() {
            return Decision::Hold(HoldReason::Settling);
        }
        Decision::Apply(Transition::Settled { step })
    }

    fn revert(&self, step: usize, reason: String) -> Decision {
        Decision::Apply(Transition::Reverted { step, version: self.version + 1, reason })
    }

    fn next_step(&self, since: Moment, backoff: Span, view: &HealthView, now: Moment) -> Decision {
        if self.published_steps >= self.plan.steps.len() {
            return Decision::Apply(Transition::Ended { complete: true });
        }
        if self.reverted_count >= MAX_REVERTS {
            return Decision::Apply(Transition::Ended { complete: false });
        }
        if now.since(since) < backoff {
            return Decision::Hold(HoldReason::BackingOff);
        }
        let step = &self.plan.steps[self.published_steps];
        if let Some(hold) =
            self.too_young_hub(step, view).or_else(|| hold_reason(view, ARCHIVE_HOLD_FRACTION, HOLD_SLOWNESS))
        {
            return Decision::Hold(hold);
        }
        Decision::Apply(Transition::Published { step: self.published_steps + 1, version: self.version + 1 })
    }

    fn too_young_hub(&self, step: &Step, view: &HealthView) -> Option<HoldReason> {
        step.needs.iter().find_map(|need| {
            let (age, needed) = (*view.ages.get(&need.hub)?, Span::millis(need.age_ms));
            (age < needed).then(|| HoldReason::HubTooYoung { hub: need.hub.clone(), age, needed })
        })
    }

    fn revert_reason(&self, view: &HealthView) -> Option<HoldReason> {
        hold_reason(view, ARCHIVE_REVERT_FRACTION, REVERT_SLOWNESS)
    }

    /// A hub of the step, or one that it is linked to, that has not confirmed the version. Other silent
    /// members are ignored: they go on with the version that they have.
    fn unconfirmed_node(&self, step: usize, version: u64, view: &HealthView, now: Moment) -> Option<String> {
        let moves = self.plan.steps.get(step.checked_sub(1)?)?.moves.iter();
        let nodes = moves.flat_map(|change| change.to.iter().chain([&change.node]));
        let lagging = nodes.filter(|name| {
            let member = view.members.get(*name);
            member.is_some_and(|member| {
                member.version < version && now.since(member.last_report) < REPORT_TIMEOUT * 2.0
            })
        });
        lagging.min().cloned()
    }

    /// The time since the start.
    pub fn elapsed(&self, now: Moment) -> Span {
        now.since(self.started)
    }
}

fn hold_reason(view: &HealthView, archive_fraction: f64, max_slowness: f64) -> Option<HoldReason> {
    let fetch_rate: f64 = view.members.values().map(|member| member.fetch_rate).sum();
    let share = fetch_rate / view.archive_stop_rate.max(1e-9);
    if share > archive_fraction {
        return Some(HoldReason::ArchiveBusy { share });
    }
    // A single hub may see a slow archive because of its own network path, so half of the hubs that fetch
    // have to see it.
    let mut slownesses: Vec<f64> = view
        .members
        .values()
        .filter(|member| member.fetch_rate > 0.0)
        .map(|member| member.archive_slowness)
        .collect();
    slownesses.sort_by(f64::total_cmp);
    if let Some(slowness) =
        slownesses.get(slownesses.len() / 2).copied().filter(|slowness| *slowness > max_slowness)
    {
        return Some(HoldReason::ArchiveSlow { slowness });
    }
    let slow_hub = view.members.iter().find(|(_, member)| member.slowness > max_slowness);
    slow_hub.map(|(name, member)| HoldReason::HubSlow { hub: name.clone(), slowness: member.slowness })
}
