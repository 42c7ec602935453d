//! What a hub or a branch does about a lost site while no service speaks. It was handed the plans for its own place with
//! each version, before anything failed; it goes by one of them when the service has been away for longer than a change of
//! its leader takes, and witnesses of more than one site hear nothing of a site. It goes back to the version as it stands
//! only when a service speaks again: a site that comes back is cold, and nobody else could pace its way back.
use crate::failure_detector::{FailureDetector, SiteView, WitnessKind};
use crate::liveness::SiteObservation;
use crate::plan::SitePlan;
use harestage::time::{Moment, Span};
pub use harestage_shape::messages::FallbackPlan;
use std::collections::BTreeSet;

/// No service has spoken for as long: whoever takes it over after a loss needs less.
pub const SERVICE_TIMEOUT: Span = Span::millis(2_000);
/// Beats further apart than this: the process itself did not run, and has heard nobody for that reason alone.
const ASLEEP: Span = Span::millis(700);
/// Plans that one place is handed at most: each site and each pair of 24.
pub const MAX_PLANS: usize = 300;

/// What a place is handed with a version: a plan for each loss that takes a tie from it. What is not named leaves its
/// ties as they are.
pub fn plans_for_node<'a>(place: &str, plans: impl Iterator<Item = &'a SitePlan>) -> Vec<FallbackPlan> {
    let planned = plans.filter(|plan| !plan.all_lost).filter_map(|plan| {
        let ties = plan.upstreams.get(place)?.clone();
        Some(FallbackPlan { lost: plan.lost.iter().cloned().collect(), upstreams: ties })
    });
    planned.take(MAX_PLANS).collect()
}

/// What has changed of what a place goes by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FallbackChange {
    /// It goes by the plan for these; by its own order of ties where nobody made one.
    Entered { lost: BTreeSet<String>, planned: bool },
    /// A service speaks: its version holds as it is.
    Left,
}

/// One place's readiness.
pub struct FallbackMode {
    detector: FailureDetector,
    sites: BTreeSet<String>,
    version: u64,
    plans: Vec<FallbackPlan>,
    /// When a service spoke last.
    last_service_message: Moment,
    last_tick: Moment,
    /// The sites that it goes without.
    excluded_sites: BTreeSet<String>,
}

impl FallbackMode {
    pub fn new(now: Moment) -> FallbackMode {
        FallbackMode {
            detector: FailureDetector::new(std::iter::empty(), now),
            sites: BTreeSet::new(),
            version: 0,
            plans: Vec::new(),
            last_service_message: now,
            last_tick: now,
            excluded_sites: BTreeSet::new(),
        }
    }

    /// A version, with the plans for this place. Plans of an older one are of no use any more: they name ties that it may
    /// not have.
    pub fn set_version<'a>(
        &mut self,
        version: u64,
        sites: impl Iterator<Item = &'a str>,
        plans: Vec<FallbackPlan>,
        now: Moment,
    ) {
        if version < self.version {
            return;
        }
        let named: Vec<&str> = sites.filter(|site| !site.is_empty()).collect();
        self.detector.set_sites(named.iter().copied(), now);
        self.sites = named.into_iter().map(str::to_string).collect();
        (self.version, self.plans) = (version, plans);
        self.plans.truncate(MAX_PLANS);
    }

    /// A service has said something, whatever it was.
    pub fn on_service_message(&mut self, now: Moment) -> Option<FallbackChange> {
        self.last_service_message = now;
        let was = std::mem::take(&mut self.excluded_sites);
        (!was.is_empty()).then_some(FallbackChange::Left)
    }

    /// What somebody sees of the sites: this process, or a hub that it has asked.
    pub fn on_observations(
        &mut self,
        witness: &str,
        site: &str,
        sightings: Vec<SiteObservation>,
        now: Moment,
    ) {
        self.detector.on_report(witness, site, WitnessKind::Hub, sightings, now);
    }

    /// To be called some times a second.
    pub fn tick(&mut self, now: Moment) -> Option<FallbackChange> {
        if now.since(std::mem::replace(&mut self.last_tick, now)) > ASLEEP {
            // It was stopped itself: what a service has said meanwhile is read only now.
            self.last_service_message = now;
        }
        self.detector.tick(now);
        if now.since(self.last_service_message) < SERVICE_TIMEOUT {
            return None;
        }
        let lost = |site: &&String| {
            *self.detector.view(site) == SiteView::Lost || self.excluded_sites.contains(*site)
        };
        let lost: BTreeSet<String> = self.sites.iter().filter(lost).cloned().collect();
        // To be tied to nobody helps nobody.
        if lost == self.excluded_sites || lost.len() == self.sites.len() {
            return None;
        }
        self.excluded_sites = lost.clone();
        let planned = self.plan().is_some();
        Some(FallbackChange::Entered { lost, planned })
    }

    /// The sites that it goes without; none while a service speaks.
    pub fn excluded_sites(&self) -> &BTreeSet<String> {
        &self.excluded_sites
    }

    /// The ties that the plan names for what is lost. None: nothing is lost, or nobody made a plan for it, or the loss
    /// takes no tie from this place.
    pub fn upstreams(&self) -> Option<&[String]> {
        self.plan().map(|plan| plan.upstreams.as_slice())
    }

    fn plan(&self) -> Option<&FallbackPlan> {
        let exact = self.plans.iter().find(|plan| plan.lost == self.excluded_sites);
        // More sites than any plan is for: the one that leaves out most of them, without the ties that are lost too, is
        // for who reads it.
        exact.or_else(|| {
            let part =
                |plan: &&FallbackPlan| !plan.lost.is_empty() && plan.lost.is_subset(&self.excluded_sites);
            self.plans.iter().filter(part).max_by_key(|plan| plan.lost.len())
        })
    }

    pub fn version(&self) -> u64 {
        self.version
    }
}
