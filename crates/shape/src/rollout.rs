//! Runs a plan: one step after another, each only while what is seen is well. Every move of the runner is a record
//! first, so that whoever runs on after a death goes on where this one stood; a step that goes out a second time says
//! the same, since it names the ties that a place has, and not what changes.
use crate::plan::{Plan, SETTLE_TIME, Step};
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Of the archive's stopping point: past the first no step goes out, past the second one is undone.
const ARCHIVE_HOLDS: f64 = 0.7;
const ARCHIVE_UNDOES: f64 = 0.85;
/// Times a hub's usual time for a fill, and the archive's for a fetch.
const HUB_HOLDS: f64 = 3.0;
const HUB_UNDOES: f64 = 8.0;
/// What is past its mark for as long undoes the step that went out last; shorter peaks only hold the next.
const BAD_FOR: Span = Span::millis(800);
/// A member that has heard nothing of a step for as long is passed over; a place of the step itself undoes it.
const ANSWERS_WITHIN: Span = Span::millis(3_000);
/// After a step was undone. The next try also waits twice as long after each step.
const RESTS: Span = Span::millis(2_000);
/// Times that steps are undone before the change is given up where it stands.
const MOST_UNDONE: u32 = 3;

/// What is written down before it is done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Transition {
    /// Step `step` goes out as `version`.
    #[serde(rename = "out")]
    Published {
        step: usize,
        version: u64,
    },
    /// It is seen to be well.
    Settled {
        step: usize,
    },
    /// The shape of the step before goes out as `version`.
    #[serde(rename = "undone")]
    Reverted {
        step: usize,
        version: u64,
        #[serde(rename = "why")]
        reason: String,
    },
    Ended {
        complete: bool,
    },
}

/// What a member was last heard to say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberHealth {
    pub version: u64,
    pub last_report: Moment,
    /// Time to the first byte against its usual one; 1 is usual.
    pub slowness: f64,
    /// Time of a fetch at the archive against its usual one.
    pub archive_slowness: f64,
    /// Pulls a second that came to it.
    pub request_rate: f64,
    /// Fetches a second at the archive.
    pub fetch_rate: f64,
}

/// What the runner looks at.
pub struct HealthView<'a> {
    pub members: &'a BTreeMap<String, MemberHealth>,
    /// Fetches a second at which the archive stops.
    pub archive_stop_rate: f64,
    /// How old each hub is that has started lately; hubs that are not in it are warm.
    pub ages: &'a BTreeMap<String, Span>,
}

/// Why no step goes out just now.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldReason {
    Settling,
    BackingOff,
    HubTooYoung { hub: String, age: Span, needed: Span },
    ArchiveBusy { share: f64 },
    ArchiveSlow { slowness: f64 },
    HubSlow { hub: String, slowness: f64 },
    Unconfirmed { node: String },
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
            Self::HubSlow { hub, slowness } => write!(f, "{hub} is {slowness:.1} times slower than usual"),
            Self::Unconfirmed { node: place } => write!(f, "{place} has not said that it follows"),
            Self::NotDue => write!(f, "planned for later"),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// To be written down, and then done.
    Apply(Transition),
    Hold(HoldReason),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    /// Nothing is out that has not settled.
    Between {
        since: Moment,
        rest: Span,
    },
    Out {
        step: usize,
        version: u64,
        since: Moment,
        bad_since: Option<Moment>,
    },
    Ended,
}

/// The runner of one plan.
#[derive(Clone, Debug)]
pub struct Rollout {
    pub plan: Plan,
    started: Moment,
    /// Steps that have gone out, whether they have settled or not.
    published_steps: usize,
    reverted_count: u32,
    phase: At,
    version: u64,
}

impl Rollout {
    pub fn start(plan: Plan, version: u64, now: Moment) -> Rollout {
        Rollout {
            plan,
            started: now,
            published_steps: 0,
            reverted_count: 0,
            phase: At::Between { since: now, rest: Span::ZERO },
            version,
        }
    }

    /// Takes in a stage: one that was just written down, or all of a forerunner's after its death.
    pub fn apply(&mut self, stage: &Transition, now: Moment) {
        match stage {
            Transition::Published { step, version } => {
                (self.published_steps, self.version) = (*step, *version);
                self.phase = At::Out { step: *step, version: *version, since: now, bad_since: None };
            }
            Transition::Settled { .. } => self.phase = At::Between { since: now, rest: Span::ZERO },
            Transition::Reverted { step, version, .. } => {
                (self.published_steps, self.version) = (*step - 1, *version);
                self.reverted_count += 1;
                self.phase = At::Between { since: now, rest: RESTS };
            }
            Transition::Ended { .. } => self.phase = At::Ended,
        }
    }

    pub fn published_steps(&self) -> usize {
        self.published_steps
    }

    pub fn reverted_count(&self) -> u32 {
        self.reverted_count
    }

    pub fn is_finished(&self) -> bool {
        self.phase == At::Ended
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// What to do now. Calls for the same moment and view say the same, until the stage is entered.
    pub fn decide(&self, view: &HealthView, now: Moment) -> Decision {
        match self.phase {
            At::Ended => Decision::Hold(HoldReason::NotDue),
            At::Out { step, version, since, .. } => self.watch_step(step, version, since, view, now),
            At::Between { since, rest } => self.next_step(since, rest, view, now),
        }
    }

    /// A peak has to last before it undoes anything: the runner notes since when it is seen.
    pub fn observe(&mut self, view: &HealthView, now: Moment) {
        let bad = self.revert_reason(view).is_some();
        if let At::Out { bad_since, .. } = &mut self.phase {
            *bad_since = if bad { bad_since.or(Some(now)) } else { None };
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
        let At::Out { bad_since, .. } = self.phase else { return Decision::Hold(HoldReason::Settling) };
        if let (Some(bad), Some(why)) = (bad_since, self.revert_reason(view))
            && now.since(bad) >= BAD_FOR
        {
            return self.revert(step, why.to_string());
        }
        let unheard = self.unconfirmed_node(step, version, view, now);
        if now.since(since) >= ANSWERS_WITHIN
            && let Some(place) = &unheard
        {
            return self.revert(step, HoldReason::Unconfirmed { node: place.clone() }.to_string());
        }
        if let Some(place) = unheard {
            return Decision::Hold(HoldReason::Unconfirmed { node: place });
        }
        if now.since(since) < SETTLE_TIME * self.settle_factor() || bad_since.is_some() {
            return Decision::Hold(HoldReason::Settling);
        }
        Decision::Apply(Transition::Settled { step })
    }

    fn revert(&self, step: usize, why: String) -> Decision {
        Decision::Apply(Transition::Reverted { step, version: self.version + 1, reason: why })
    }

    fn next_step(&self, since: Moment, rest: Span, view: &HealthView, now: Moment) -> Decision {
        if self.published_steps >= self.plan.steps.len() {
            return Decision::Apply(Transition::Ended { complete: true });
        }
        if self.reverted_count >= MOST_UNDONE {
            return Decision::Apply(Transition::Ended { complete: false });
        }
        if now.since(since) < rest {
            return Decision::Hold(HoldReason::BackingOff);
        }
        let step = &self.plan.steps[self.published_steps];
        if let Some(hold) = self.too_young_hub(step, view).or_else(|| busy(view, ARCHIVE_HOLDS, HUB_HOLDS)) {
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
        busy(view, ARCHIVE_UNDOES, HUB_UNDOES)
    }

    /// A hub of the step, or one that it is tied to, that has not said that it follows. Others that are silent are
    /// passed over: they serve on by the version that they have.
    fn unconfirmed_node(&self, step: usize, version: u64, view: &HealthView, now: Moment) -> Option<String> {
        let moves = self.plan.steps.get(step.checked_sub(1)?)?.moves.iter();
        let named = moves.flat_map(|one| one.to.iter().chain([&one.node]));
        let behind = named.filter(|name| {
            let heard = view.members.get(*name);
            heard.is_some_and(|heard| {
                heard.version < version && now.since(heard.last_report) < ANSWERS_WITHIN * 2.0
            })
        });
        behind.min().cloned()
    }

    pub fn elapsed(&self, now: Moment) -> Span {
        now.since(self.started)
    }
}

fn busy(view: &HealthView, archive: f64, hub: f64) -> Option<HoldReason> {
    let fetches: f64 = view.members.values().map(|heard| heard.fetch_rate).sum();
    let share = fetches / view.archive_stop_rate.max(1e-9);
    if share > archive {
        return Some(HoldReason::ArchiveBusy { share });
    }
    // One hub that sees a slow archive may have a slow way there: half of those that fetch have to see it.
    let mut seen: Vec<f64> =
        view.members.values().filter(|m| m.fetch_rate > 0.0).map(|m| m.archive_slowness).collect();
    seen.sort_by(f64::total_cmp);
    if let Some(slowness) = seen.get(seen.len() / 2).copied().filter(|slowness| *slowness > hub) {
        return Some(HoldReason::ArchiveSlow { slowness });
    }
    let slow = view.members.iter().find(|(_, heard)| heard.slowness > hub);
    slow.map(|(name, heard)| HoldReason::HubSlow { hub: name.clone(), slowness: heard.slowness })
}
