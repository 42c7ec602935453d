//! The control service's state machine with its sites. Evidence comes in. What comes out are versions that
//! exclude a lost site, at once and by the plan that was made beforehand, or that restore one in the steps of
//! an ordinary change. Like [`Control`], it does no input or output: effects are returned in order, a record
//! before everything that follows from it.
use crate::failure_detector::{FailureDetector, SiteView, WitnessKind};
use crate::fallback;
use crate::liveness::SiteObservation;
use crate::plan::{self, SitePlan, SitePlans};
use crate::site_state::{ShapeStep, SiteCommand, SiteState, SiteStates, StateChange};
use harestage::time::{Moment, Span};
use harestage_shape::archive_share::RateShare;
use harestage_shape::config::ShapeConfig;
use harestage_shape::control::{
    ChangeError, ChangeEvent, Control, Effect, Entry, HubReport, Record, SitesRecord, Status,
};
use harestage_shape::messages::FallbackPlan;
use harestage_shape::topology::Shape;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The service counts one unanswered query for each time of this length without a report from any hub of a
/// site.
const REPORT_INTERVAL: Span = Span::millis(300);
/// If two ticks are further apart than this, the service itself did not run, and cannot count anything as
/// missed.
const SUSPENSION_THRESHOLD: Span = Span::millis(700);
/// Limit on the sites whose reports are tracked. The silence of a site's hubs counts only once they were
/// heard.
const MAX_SITES: usize = 256;

/// The status of a site, for `harestage site status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteStatus {
    pub site: String,
    pub view: SiteView,
    #[serde(rename = "standing")]
    pub state: SiteState,
    pub hubs: usize,
    /// Witnesses at the site that report now.
    pub witnesses: usize,
    pub losses: usize,
    /// The effect of its loss: whether all requests would be served, and what would be refused.
    pub fits: bool,
    pub refused_share: f64,
    pub fullest: String,
    pub fullest_share: f64,
    pub archive_first: f64,
}

/// The control service with its sites.
pub struct SiteController {
    control: Control,
    detector: FailureDetector,
    states: SiteStates,
    plans: SitePlans,
    /// The shape that operators want, without any site excluded.
    wanted: Shape,
    /// When the service itself last heard a hub of each site.
    last_reports: BTreeMap<String, Moment>,
    last_tick: Moment,
    /// The time since when the hubs of each site count as started: they come back without copies.
    restarted_ms: BTreeMap<String, u64>,
    /// The plans that nodes receive with a version: for the loss of a site, or of a pair, in addition to the
    /// excluded sites.
    fallback_plans: Vec<SitePlan>,
}

impl SiteController {
    /// Opens the service from its journal. The first effect is the record of the new term.
    pub fn open(
        journal: &[Record],
        first: Option<&ShapeConfig>,
        now: Moment,
    ) -> Result<(SiteController, Vec<Effect>), ChangeError> {
        let (control, effects) = Control::open(journal, first, now)?;
        let recorded = journal.iter().rev().find_map(|record| match &record.entry {
            Entry::Sites(recorded) => Some(recorded.as_ref().clone()),
            _ => None,
        });
        let recorded = recorded.unwrap_or_default();
        let losses = recorded.losses.clone();
        let wanted = recorded.wanted.as_ref().and_then(|config| control.shape().successor(config).ok());
        let wanted = wanted.unwrap_or_else(|| control.shape().clone());
        let names: Vec<String> = site_names(&wanted);
        let mut states = SiteStates::default();
        states.set_sites(names.iter().map(String::as_str));
        for (site, to) in recorded.states {
            // The steps of a site continue with the change that was under way. Without one, they have ended
            // where they stood.
            let to = match to {
                SiteState::Returning if !control.is_changing() => SiteState::Held,
                SiteState::Leaving if !control.is_changing() => SiteState::InService,
                other => other,
            };
            states.apply(&StateChange { site, to, reason: String::new() }, now);
        }
        let plans = SitePlans::build(&wanted, None, true, now);
        let mut detector = FailureDetector::new(names.iter().map(String::as_str), now);
        detector.restore_losses(&losses, now);
        let (last_reports, restarted_ms, fallback_plans) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        let mut controller = SiteController {
            control,
            detector,
            states,
            plans,
            wanted,
            last_reports,
            last_tick: now,
            restarted_ms,
            fallback_plans,
        };
        controller.update_fallback_plans(now);
        Ok((controller, effects))
    }

    /// The state machine of the changes.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// The plans for the wanted shape.
    pub fn plans(&self) -> &SitePlans {
        &self.plans
    }

    /// The state of a site.
    pub fn state(&self, site: &str) -> Option<&SiteState> {
        self.states.get(site)
    }

    /// The plans for a node, which it receives with the version in service.
    pub fn plans_for_node(&self, node: &str) -> Vec<FallbackPlan> {
        fallback::plans_for_node(node, self.fallback_plans.iter())
    }

    /// Every fallback plan also excludes the sites that are out already, whatever else is lost.
    fn update_fallback_plans(&mut self, now: Moment) {
        let excluded = self.states.excluded();
        self.fallback_plans = match excluded.is_empty() {
            true => self.plans.all().cloned().collect(),
            false => plan::plans_with_sites_out(&self.wanted, &excluded, now),
        };
    }

    /// Handles the report of a hub and returns its share of the archive.
    pub fn on_report(
        &mut self,
        hub: &str,
        report: &HubReport,
        now: Moment,
    ) -> (Option<RateShare>, Vec<Effect>) {
        if !report.site.is_empty()
            && (self.last_reports.len() < MAX_SITES || self.last_reports.contains_key(&report.site))
        {
            self.last_reports.insert(report.site.clone(), now);
            self.detector.on_report(hub, &report.site, WitnessKind::Hub, report.observations.clone(), now);
        }
        self.control.on_report(hub, report, now)
    }

    /// Has to be called a few times a second. `site` is the site of the leading member of the service.
    pub fn tick(&mut self, name: &str, site: &str, now: Moment) -> Vec<Effect> {
        self.report_own_observations(name, site, now);
        let mut effects = self.control.tick(now);
        let ended = self.on_change_ended(&effects, now);
        effects.extend(ended);
        for change in self.detector.tick(now) {
            effects.push(Effect::Announce(ChangeEvent::ViewChanged {
                site: change.site.clone(),
                view: view_label(&change.to),
                seen_ms: change.seen_for.as_micros() / 1_000,
            }));
            if change.from == SiteView::Lost {
                self.restarted_ms.insert(change.site.clone(), now.micros() / 1_000);
            }
            if let Some((state_change, step)) = self.states.on_view_change(&change) {
                effects.extend(self.change_state(state_change, step, now));
            }
        }
        let detector = &self.detector;
        let next = self.states.next_readmission(
            self.control.is_changing(),
            |site| detector.is_held_back(site, now),
            now,
        );
        if let Some((change, step)) = next {
            effects.extend(self.change_state(change, Some(step), now));
        }
        effects
    }

    /// The service is a witness too: it hears a site when a hub there reports.
    fn report_own_observations(&mut self, name: &str, site: &str, now: Moment) {
        let suspended = now.since(self.last_tick) > SUSPENSION_THRESHOLD;
        self.last_tick = now;
        if suspended {
            // Reports that arrived in the meantime are only handled now, so the silence is the service's own.
            self.last_reports.values_mut().for_each(|last_report| *last_report = now);
        }
        if site.is_empty() {
            return;
        }
        let observation = |(other, last_report): (&String, &Moment)| SiteObservation {
            site: other.clone(),
            unanswered: (now.since(*last_report) / REPORT_INTERVAL) as u32,
            known: true,
            slowness: 1.0,
            leaving: false,
        };
        let observations =
            self.last_reports.iter().filter(|(other, _)| *other != site).map(observation).collect();
        self.detector.on_report(name, site, WitnessKind::Service, observations, now);
    }

    /// A change that has ended may have been the steps of a site.
    fn on_change_ended(&mut self, effects: &[Effect], now: Moment) -> Vec<Effect> {
        let ended = effects.iter().find_map(|effect| match effect {
            Effect::Announce(ChangeEvent::Ended { complete, .. }) => Some(*complete),
            _ => None,
        });
        let Some(complete) = ended else { return Vec::new() };
        match self.states.on_change_ended(complete) {
            Some(change) => self.change_state(change, None, now),
            // Whatever the shape is now, the states of the sites have to follow it in the journal.
            None => vec![self.sites_record()],
        }
    }

    /// Journals and announces a change of state, and does what follows from it.
    fn change_state(&mut self, change: StateChange, step: Option<ShapeStep>, now: Moment) -> Vec<Effect> {
        self.states.apply(&change, now);
        self.update_fallback_plans(now);
        let event =
            ChangeEvent::Site { site: change.site.clone(), state: change.to, reason: change.reason.clone() };
        let mut effects = vec![self.sites_record(), Effect::Announce(event)];
        match step {
            None => {}
            Some(ShapeStep::Exclude(excluded)) => effects.extend(self.exclude_sites(&excluded, now)),
            Some(ShapeStep::RollOut { excluded, site }) => {
                effects.extend(self.roll_out(&excluded, &site, now))
            }
        }
        effects
    }

    fn sites_record(&self) -> Effect {
        let states = self.states.iter().map(|(site, state)| (site.to_string(), *state)).collect();
        let (wanted, losses) = (Some(self.wanted.to_config()), self.detector.recorded_losses());
        self.control.journal_entry(Entry::Sites(Box::new(SitesRecord { states, wanted, losses })))
    }

    /// The plan that was made beforehand, or one computed now if more sites are lost than any plan covers.
    fn plan_for(&self, excluded: &BTreeSet<String>, now: Moment) -> SitePlan {
        let prepared = self
            .plans
            .get(excluded)
            .filter(|plan| self.plans.version == self.wanted.version() && !plan.all_lost);
        prepared.cloned().unwrap_or_else(|| plan::plan_loss(&self.wanted, excluded, now))
    }

    /// Excludes sites at once.
    fn exclude_sites(&mut self, excluded: &BTreeSet<String>, now: Moment) -> Vec<Effect> {
        let plan = self.plan_for(excluded, now);
        if plan.all_lost {
            // A shape without any site serves nobody.
            return Vec::new();
        }
        let shape = plan.shape(&self.wanted, self.control.shape().version() + 1);
        let was_changing = self.control.is_changing();
        let mut effects = self.control.replace_shape(shape);
        match self.states.on_change_ended(false).filter(|_| was_changing) {
            Some(change) => effects.extend(self.change_state(change, None, now)),
            None => effects.push(self.sites_record()),
        }
        effects
    }

    /// Starts a change in steps, like any other; an invalid one is abandoned before it starts.
    fn roll_out(&mut self, excluded: &BTreeSet<String>, site: &str, now: Moment) -> Vec<Effect> {
        let mut config = match excluded.is_empty() {
            true => self.wanted.to_config(),
            false => self.plan_for(excluded, now).shape(&self.wanted, self.wanted.version()).to_config(),
        };
        if let Some(restarted_ms) = self.restarted_ms.get(site) {
            for hub in config.hubs.iter_mut().filter(|hub| hub.site == site) {
                hub.since_ms = hub.since_ms.max(*restarted_ms);
            }
        }
        match self.control.apply(&config, None, &format!("site {site}"), now) {
            Ok(effects) => effects,
            Err(ChangeError::Unchanged { .. }) => self.finish_steps(true, now),
            Err(_) => self.finish_steps(false, now),
        }
    }

    fn finish_steps(&mut self, complete: bool, now: Moment) -> Vec<Effect> {
        match self.states.on_change_ended(complete) {
            Some(change) => self.change_state(change, None, now),
            None => Vec::new(),
        }
    }

    /// Starts a change that an operator wants. Excluded sites stay excluded: the target is the wanted shape
    /// without them.
    pub fn apply(
        &mut self,
        config: &ShapeConfig,
        expect: Option<u64>,
        by: &str,
        now: Moment,
    ) -> Result<Vec<Effect>, ChangeError> {
        let excluded = self.states.excluded();
        let wanted = self.wanted.successor(config).map_err(ChangeError::Invalid)?;
        let target = match excluded.is_empty() {
            true => config.clone(),
            false => plan::plan_loss(&wanted, &excluded, now).shape(&wanted, wanted.version()).to_config(),
        };
        let mut effects = self.control.apply(&target, expect, by, now)?;
        self.wanted = wanted;
        let names = site_names(&self.wanted);
        self.states.set_sites(names.iter().map(String::as_str));
        self.detector.set_sites(names.iter().map(String::as_str), now);
        self.plans = SitePlans::build(&self.wanted, Some(&self.plans), true, now);
        self.update_fallback_plans(now);
        effects.push(self.sites_record());
        Ok(effects)
    }

    /// Handles an operator's command for a site.
    pub fn command(
        &mut self,
        site: &str,
        command: SiteCommand,
        by: &str,
        now: Moment,
    ) -> Result<Vec<Effect>, String> {
        let is_changing = self.control.is_changing();
        let (change, step) =
            self.states.command(site, command, by, is_changing).map_err(|reason| reason.to_string())?;
        Ok(self.change_state(change, step, now))
    }

    /// The status of the service and its members.
    pub fn status(&self, now: Moment) -> Status {
        self.control.status(now)
    }

    /// The status of all sites.
    pub fn sites(&self) -> Vec<SiteStatus> {
        let witnesses = self.detector.witness_counts();
        let status = |(site, state): (&str, &SiteState)| {
            let plan = self.plans.get(&BTreeSet::from([site.to_string()])).cloned().unwrap_or_default();
            SiteStatus {
                site: site.into(),
                view: self.detector.view(site).clone(),
                state: *state,
                hubs: self.wanted.hubs().filter(|(_, hub)| hub.site == site).count(),
                witnesses: witnesses.get(site).copied().unwrap_or(0),
                losses: self.detector.loss_count(site),
                fits: plan.fits(),
                refused_share: plan.refused_share,
                fullest: plan.fullest,
                fullest_share: plan.fullest_share,
                archive_first: plan.archive_first,
            }
        };
        self.states.iter().map(status).collect()
    }
}

fn site_names(shape: &Shape) -> Vec<String> {
    shape.sites().into_iter().map(str::to_string).collect()
}

/// The view for output to people.
pub fn view_label(view: &SiteView) -> String {
    match view {
        SiteView::Unknown => "unknown".into(),
        SiteView::Up => "up".into(),
        SiteView::Slow { times } => format!("slow, {times:.1} times its usual"),
        SiteView::CutFromSome { by } => format!("cut off from {}", by.join(" ")),
        SiteView::CutFromServices => "cut off from the service".into(),
        SiteView::Leaving => "leaving".into(),
        SiteView::Lost => "lost".into(),
    }
}

/// Operators' requests, as lines of JSON that the control service accepts beside its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SiteRequest {
    Sites,
    Site {
        site: String,
        #[serde(rename = "ask")]
        command: SiteCommand,
        by: String,
    },
    /// The plan for the loss of these sites.
    SitePlan {
        lost: BTreeSet<String>,
    },
}

/// The answer to a [`SiteRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SiteResponse {
    Sites(Vec<SiteStatus>),
    SiteBegun {
        site: String,
        #[serde(rename = "standing")]
        state: SiteState,
    },
    SitePlan(Box<SitePlan>),
    Refused(String),
    /// This member of the service is not the leader.
    #[serde(rename = "elsewhere")]
    NotLeader {
        #[serde(rename = "serves")]
        leader: Option<String>,
    },
}

impl SiteController {
    /// Answers a request, and returns what has to be done for it.
    pub fn handle_request(&mut self, request: SiteRequest, now: Moment) -> (SiteResponse, Vec<Effect>) {
        match request {
            SiteRequest::Sites => (SiteResponse::Sites(self.sites()), Vec::new()),
            SiteRequest::SitePlan { lost } => {
                let unknown = lost.iter().find(|site| self.states.get(site).is_none());
                match unknown {
                    Some(site) => (SiteResponse::Refused(format!("site {site:?} is unknown")), Vec::new()),
                    None => (SiteResponse::SitePlan(Box::new(self.plan_for(&lost, now))), Vec::new()),
                }
            }
            SiteRequest::Site { site, command, by } => match self.command(&site, command, &by, now) {
                Ok(effects) => {
                    let state = self.states.get(&site).copied().unwrap_or_default();
                    (SiteResponse::SiteBegun { site, state }, effects)
                }
                Err(reason) => (SiteResponse::Refused(reason), Vec::new()),
            },
        }
    }
}
