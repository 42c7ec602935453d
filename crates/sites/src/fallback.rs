//! What a hub or a branch does about a lost site while no control service is reachable. It received the
//! fallback plans for its own node with each version, before anything failed. It applies one of them when the
//! service has been away for longer than a change of its leader takes, and witnesses of more than one site
//! hear nothing of a site. It returns to the published version only when a service is heard again: a site
//! that comes back is cold, and only the service can pace its recovery.
use crate::failure_detector::{FailureDetector, SiteView, WitnessKind};
use crate::liveness::SiteObservation;
use crate::plan::SitePlan;
use harestage::time::{Moment, Span};
pub use harestage_shape::messages::FallbackPlan;
use std::collections::BTreeSet;

/// After this time without a message the service counts as away. A new leader takes less time to take over
/// after a loss.
pub const SERVICE_TIMEOUT: Span = Span::millis(2_000);
/// If two ticks are further apart than this, the process itself did not run, and its silence about others
/// says nothing.
const SUSPENSION_THRESHOLD: Span = Span::millis(700);
/// Limit on the plans of one node: each site and each pair of 24 sites.
pub const MAX_PLANS: usize = 300;

/// The plans that a node receives with a version: one for each loss that takes an upstream from it. In any
/// other loss its upstreams stay as they are.
pub fn plans_for_node<'a>(node: &str, plans: impl Iterator<Item = &'a SitePlan>) -> Vec<FallbackPlan> {
    let planned = plans.filter(|plan| !plan.all_lost).filter_map(|plan| {
        let upstreams = plan.upstreams.get(node)?.clone();
        Some(FallbackPlan { lost: plan.lost.iter().cloned().collect(), upstreams })
    });
    planned.take(MAX_PLANS).collect()
}

/// A change of the fallback mode.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FallbackChange {
    /// The node excludes these sites: by the plan for them, or by its own order of upstreams if there is no
    /// plan.
    Entered { lost: BTreeSet<String>, planned: bool },
    /// A service is heard again, and its version applies as it is.
    Left,
}

/// The fallback mode of one node.
pub struct FallbackMode {
    detector: FailureDetector,
    sites: BTreeSet<String>,
    version: u64,
    plans: Vec<FallbackPlan>,
    /// When a message of a service was last received.
    last_service_message: Moment,
    last_tick: Moment,
    /// The sites that are excluded now.
    excluded_sites: BTreeSet<String>,
}

impl FallbackMode {
    /// A node without plans, at a time when a service was last heard.
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

    /// Takes a version with the plans for this node. Plans of an older version are dropped: they name
    /// upstreams that the node may not have.
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
        let site_names: Vec<&str> = sites.filter(|site| !site.is_empty()).collect();
        self.detector.set_sites(site_names.iter().copied(), now);
        self.sites = site_names.into_iter().map(str::to_string).collect();
        (self.version, self.plans) = (version, plans);
        self.plans.truncate(MAX_PLANS);
    }

    /// A service has sent a message of any kind.
    pub fn on_service_message(&mut self, now: Moment) -> Option<FallbackChange> {
        self.last_service_message = now;
        let excluded = std::mem::take(&mut self.excluded_sites);
        (!excluded.is_empty()).then_some(FallbackChange::Left)
    }

    /// Handles the observations of a witness: this process, or a hub that it has queried.
    pub fn on_observations(
        &mut self,
        witness: &str,
        site: &str,
        observations: Vec<SiteObservation>,
        now: Moment,
    ) {
        self.detector.on_report(witness, site, WitnessKind::Hub, observations, now);
    }

    /// Has to be called a few times a second.
    pub fn tick(&mut self, now: Moment) -> Option<FallbackChange> {
        if now.since(std::mem::replace(&mut self.last_tick, now)) > SUSPENSION_THRESHOLD {
            // This process was suspended: messages that the service sent in the meantime are only handled
            // now.
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
        // A node without any upstream serves nobody.
        if lost == self.excluded_sites || lost.len() == self.sites.len() {
            return None;
        }
        self.excluded_sites = lost.clone();
        let planned = self.plan().is_some();
        Some(FallbackChange::Entered { lost, planned })
    }

    /// The sites that are excluded; none while a service is heard.
    pub fn excluded_sites(&self) -> &BTreeSet<String> {
        &self.excluded_sites
    }

    /// The upstreams that the plan for the excluded sites names. `None` if no site is excluded, there is no
    /// plan, or the loss takes no upstream from this node.
    pub fn upstreams(&self) -> Option<&[String]> {
        self.plan().map(|plan| plan.upstreams.as_slice())
    }

    fn plan(&self) -> Option<&FallbackPlan> {
        let exact = self.plans.iter().find(|plan| plan.lost == self.excluded_sites);
        // More sites are lost than any plan covers. The plan that covers most of them is used; its reader has
        // to leave out upstreams that are lost too.
        exact.or_else(|| {
            let is_subset =
                |plan: &&FallbackPlan| !plan.lost.is_empty() && plan.lost.is_subset(&self.excluded_sites);
            self.plans.iter().filter(is_subset).max_by_key(|plan| plan.lost.len())
        })
    }

    /// The version that the plans belong to.
    pub fn version(&self) -> u64 {
        self.version
    }
}
