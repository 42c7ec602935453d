//! The control service's state machine with its sites: evidence in, and versions that leave a lost site out, at once and by
//! the plan that was made beforehand, or bring one back in the steps of an ordinary change. Like [`Control`], it does no
//! input or output: effects come back in their order, a record before all that follows from it.
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

/// A site whose hubs have not reported for as long counts one question without an answer, at the service.
const REPORT_MISSED: Span = Span::millis(300);
/// Beats further apart than this: the service itself did not run, and missed nothing that it could count.
const ASLEEP: Span = Span::millis(700);
/// A reported silence of hubs counts only once a site's hubs were heard at all.
const MOST_SITES: usize = 256;

/// For `harestage site status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteStatus {
    pub site: String,
    pub view: SiteView,
    #[serde(rename = "standing")]
    pub state: SiteState,
    pub hubs: usize,
    /// Witnesses at the site that have a word now.
    pub witnesses: usize,
    pub losses: usize,
    /// What its loss would do: whether all is served, and what is not.
    pub fits: bool,
    pub refused_share: f64,
    pub fullest: String,
    pub fullest_share: f64,
    pub archive_first: f64,
}

/// The whole of it.
pub struct SiteController {
    control: Control,
    detector: FailureDetector,
    states: SiteStates,
    plans: SitePlans,
    /// The shape that operators want, with no site left out.
    wanted: Shape,
    /// When a hub of each site was last heard, by the service itself.
    last_reports: BTreeMap<String, Moment>,
    last_tick: Moment,
    /// Since when each site's hubs count as started: they come back with nothing.
    restarted_ms: BTreeMap<String, u64>,
    /// What places are handed with a version: what is done when a site, or a pair, goes beside those that are out.
    fallback_plans: Vec<SitePlan>,
}

impl SiteController {
    /// Takes the service up from its journal. What comes back first is the record of the new term.
    pub fn open(
        journal: &[Record],
        first: Option<&ShapeConfig>,
        now: Moment,
    ) -> Result<(SiteController, Vec<Effect>), ChangeError> {
        let (control, effects) = Control::open(journal, first, now)?;
        let kept = journal.iter().rev().find_map(|record| match &record.entry {
            Entry::Sites(kept) => Some(kept.as_ref().clone()),
            _ => None,
        });
        let kept = kept.unwrap_or_default();
        let losses = kept.losses.clone();
        let wanted = kept.wanted.as_ref().and_then(|form| control.shape().successor(form).ok());
        let wanted = wanted.unwrap_or_else(|| control.shape().clone());
        let names: Vec<String> = sites_of(&wanted);
        let mut standings = SiteStates::default();
        standings.set_sites(names.iter().map(String::as_str));
        for (site, to) in kept.states {
            // Its steps go on in the change that was under way; if there is none, they have ended where they stood.
            let to = match to {
                SiteState::Returning if !control.is_changing() => SiteState::Held,
                SiteState::Leaving if !control.is_changing() => SiteState::InService,
                other => other,
            };
            standings.apply(&StateChange { site, to, reason: String::new() }, now);
        }
        let plans = SitePlans::build(&wanted, None, true, now);
        let mut watch = FailureDetector::new(names.iter().map(String::as_str), now);
        watch.restore_losses(&losses, now);
        let (heard, since_ms, handed) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        let mut director = SiteController {
            control,
            detector: watch,
            states: standings,
            plans,
            wanted,
            last_reports: heard,
            last_tick: now,
            restarted_ms: since_ms,
            fallback_plans: handed,
        };
        director.update_fallback_plans(now);
        Ok((director, effects))
    }

    pub fn control(&self) -> &Control {
        &self.control
    }

    pub fn plans(&self) -> &SitePlans {
        &self.plans
    }

    pub fn state(&self, site: &str) -> Option<&SiteState> {
        self.states.get(site)
    }

    /// The plans for a place, to be handed to it with the version in service.
    pub fn plans_for_node(&self, place: &str) -> Vec<FallbackPlan> {
        fallback::plans_for_node(place, self.fallback_plans.iter())
    }

    /// A plan that is handed out leaves out also those that are out already, whatever it is that is lost.
    fn update_fallback_plans(&mut self, now: Moment) {
        let out = self.states.excluded();
        self.fallback_plans = match out.is_empty() {
            true => self.plans.all().cloned().collect(),
            false => plan::plans_with_sites_out(&self.wanted, &out, now),
        };
    }

    /// A hub has reported; it gets its part of the archive.
    pub fn on_report(
        &mut self,
        hub: &str,
        report: &HubReport,
        now: Moment,
    ) -> (Option<RateShare>, Vec<Effect>) {
        if !report.site.is_empty()
            && (self.last_reports.len() < MOST_SITES || self.last_reports.contains_key(&report.site))
        {
            self.last_reports.insert(report.site.clone(), now);
            self.detector.on_report(hub, &report.site, WitnessKind::Hub, report.observations.clone(), now);
        }
        self.control.on_report(hub, report, now)
    }

    /// To be called some times a second; `site` is where the member of the service is that leads.
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
            if let Some((turned, step)) = self.states.on_view_change(&change) {
                effects.extend(self.change_state(turned, step, now));
            }
        }
        let watch = &self.detector;
        let next = self.states.next_readmission(
            self.control.is_changing(),
            |site| watch.is_held_back(site, now),
            now,
        );
        if let Some((turned, step)) = next {
            effects.extend(self.change_state(turned, Some(step), now));
        }
        effects
    }

    /// The service is a witness too: it hears a site when a hub there reports.
    fn report_own_observations(&mut self, name: &str, site: &str, now: Moment) {
        let asleep = now.since(self.last_tick) > ASLEEP;
        self.last_tick = now;
        if asleep {
            // Reports that waited meanwhile are read only now: their silence is the service's own.
            self.last_reports.values_mut().for_each(|heard| *heard = now);
        }
        if site.is_empty() {
            return;
        }
        let sighting = |(other, heard): (&String, &Moment)| SiteObservation {
            site: other.clone(),
            unanswered: (now.since(*heard) / REPORT_MISSED) as u32,
            known: true,
            slowness: 1.0,
            leaving: false,
        };
        let sightings = self.last_reports.iter().filter(|(other, _)| *other != site).map(sighting).collect();
        self.detector.on_report(name, site, WitnessKind::Service, sightings, now);
    }

    /// A change that has come to its end was some site's steps, perhaps.
    fn on_change_ended(&mut self, said: &[Effect], now: Moment) -> Vec<Effect> {
        let ended = said.iter().find_map(|effect| match effect {
            Effect::Announce(ChangeEvent::Ended { complete, .. }) => Some(*complete),
            _ => None,
        });
        let Some(complete) = ended else { return Vec::new() };
        match self.states.on_change_ended(complete) {
            Some(turned) => self.change_state(turned, None, now),
            // Whatever the shape is now, what stands of the sites has to be behind it in the journal.
            None => vec![self.sites_record()],
        }
    }

    /// Writes a standing down, says it, and does what follows.
    fn change_state(&mut self, turned: StateChange, step: Option<ShapeStep>, now: Moment) -> Vec<Effect> {
        self.states.apply(&turned, now);
        self.update_fallback_plans(now);
        let said =
            ChangeEvent::Site { site: turned.site.clone(), state: turned.to, reason: turned.reason.clone() };
        let mut effects = vec![self.sites_record(), Effect::Announce(said)];
        match step {
            None => {}
            Some(ShapeStep::Exclude(out)) => effects.extend(self.exclude_sites(&out, now)),
            Some(ShapeStep::RollOut { excluded, site }) => {
                effects.extend(self.roll_out(&excluded, &site, now))
            }
        }
        effects
    }

    fn sites_record(&self) -> Effect {
        let standings = self.states.iter().map(|(site, standing)| (site.to_string(), *standing)).collect();
        let (wanted, losses) = (Some(self.wanted.to_config()), self.detector.recorded_losses());
        self.control.journal_entry(Entry::Sites(Box::new(SitesRecord { states: standings, wanted, losses })))
    }

    /// By the plan that was made beforehand, or one made now for more sites than any was made for.
    fn plan_for(&self, out: &BTreeSet<String>, now: Moment) -> SitePlan {
        let known =
            self.plans.get(out).filter(|plan| self.plans.version == self.wanted.version() && !plan.all_lost);
        known.cloned().unwrap_or_else(|| plan::plan_loss(&self.wanted, out, now))
    }

    /// At once.
    fn exclude_sites(&mut self, out: &BTreeSet<String>, now: Moment) -> Vec<Effect> {
        let plan = self.plan_for(out, now);
        if plan.all_lost {
            // To be tied to nobody helps nobody.
            return Vec::new();
        }
        let shape = plan.shape(&self.wanted, self.control.shape().version() + 1);
        let cut_short = self.control.is_changing();
        let mut effects = self.control.replace_shape(shape);
        match self.states.on_change_ended(false).filter(|_| cut_short) {
            Some(turned) => effects.extend(self.change_state(turned, None, now)),
            None => effects.push(self.sites_record()),
        }
        effects
    }

    /// In steps, as any change; one that does not hold is given up before it begins.
    fn roll_out(&mut self, out: &BTreeSet<String>, site: &str, now: Moment) -> Vec<Effect> {
        let mut form = match out.is_empty() {
            true => self.wanted.to_config(),
            false => self.plan_for(out, now).shape(&self.wanted, self.wanted.version()).to_config(),
        };
        if let Some(since_ms) = self.restarted_ms.get(site) {
            for hub in form.hubs.iter_mut().filter(|hub| hub.site == site) {
                hub.since_ms = hub.since_ms.max(*since_ms);
            }
        }
        match self.control.apply(&form, None, &format!("site {site}"), now) {
            Ok(effects) => effects,
            Err(ChangeError::Unchanged { .. }) => self.finish_steps(true, now),
            Err(_) => self.finish_steps(false, now),
        }
    }

    fn finish_steps(&mut self, complete: bool, now: Moment) -> Vec<Effect> {
        match self.states.on_change_ended(complete) {
            Some(turned) => self.change_state(turned, None, now),
            None => Vec::new(),
        }
    }

    /// Begins a change that an operator wants. Sites that are out stay out: it goes towards the wanted shape without them.
    pub fn apply(
        &mut self,
        form: &ShapeConfig,
        expect: Option<u64>,
        by: &str,
        now: Moment,
    ) -> Result<Vec<Effect>, ChangeError> {
        let out = self.states.excluded();
        let wanted = self.wanted.successor(form).map_err(ChangeError::Invalid)?;
        let target = match out.is_empty() {
            true => form.clone(),
            false => plan::plan_loss(&wanted, &out, now).shape(&wanted, wanted.version()).to_config(),
        };
        let mut effects = self.control.apply(&target, expect, by, now)?;
        self.wanted = wanted;
        let names = sites_of(&self.wanted);
        self.states.set_sites(names.iter().map(String::as_str));
        self.detector.set_sites(names.iter().map(String::as_str), now);
        self.plans = SitePlans::build(&self.wanted, Some(&self.plans), true, now);
        self.update_fallback_plans(now);
        effects.push(self.sites_record());
        Ok(effects)
    }

    /// Staff asks for something of a site.
    pub fn command(
        &mut self,
        site: &str,
        ask: SiteCommand,
        by: &str,
        now: Moment,
    ) -> Result<Vec<Effect>, String> {
        let busy = self.control.is_changing();
        let (turned, step) = self.states.command(site, ask, by, busy).map_err(|why| why.to_string())?;
        Ok(self.change_state(turned, step, now))
    }

    pub fn status(&self, now: Moment) -> Status {
        self.control.status(now)
    }

    pub fn sites(&self) -> Vec<SiteStatus> {
        let witnesses = self.detector.witness_counts();
        let status = |(site, standing): (&str, &SiteState)| {
            let plan = self.plans.get(&BTreeSet::from([site.to_string()])).cloned().unwrap_or_default();
            SiteStatus {
                site: site.into(),
                view: self.detector.view(site).clone(),
                state: *standing,
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

fn sites_of(shape: &Shape) -> Vec<String> {
    shape.sites().into_iter().map(str::to_string).collect()
}

/// What is held of a site, for lines.
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

/// What staff asks, as lines of JSON that the control service takes beside its own.
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
    /// The plan for the loss of these.
    SitePlan {
        lost: BTreeSet<String>,
    },
}

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
    /// This member of the service does not speak for it.
    #[serde(rename = "elsewhere")]
    NotLeader {
        #[serde(rename = "serves")]
        leader: Option<String>,
    },
}

impl SiteController {
    /// Answers a call, with what has to be done for it.
    pub fn handle_request(&mut self, call: SiteRequest, now: Moment) -> (SiteResponse, Vec<Effect>) {
        match call {
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
                    let standing = self.states.get(&site).copied().unwrap_or_default();
                    (SiteResponse::SiteBegun { site, state: standing }, effects)
                }
                Err(why) => (SiteResponse::Refused(why), Vec::new()),
            },
        }
    }
}
