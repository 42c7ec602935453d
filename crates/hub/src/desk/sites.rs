//! What a hub sees of other sites, and what it does about a lost one while no service speaks.
use super::bells::Bell;
use super::ways::peer;
use super::{Desk, Order, PullNo};
use harestage::time::{Moment, Span};
use harestage_shape::topology::{NodeIndex, Shape};
use harestage_sites::failure_detector::SILENCE_THRESHOLD;
use harestage_sites::fallback::{FallbackMode, FallbackPlan};
use harestage_sites::liveness::{LivenessView, SiteObservation};
use std::collections::HashMap;

/// Questions to other sites that are remembered.
const MOST_ASKS: u64 = 4_096;
/// Somebody at each other site is asked as often.
const LOOKS_EVERY: Span = Span::millis(100);
/// Questions in a row without an answer after which a whole site is passed by, here and for now: nobody else need agree.
const SITE_SILENT: u32 = 4;

pub(super) struct Sites {
    /// The site that it is at, and what it sees of others.
    site: String,
    sight: LivenessView,
    /// Who is asked next at each other site.
    asked_next: usize,
    /// Questions that are on their way, by the pull number that stands for them: who was asked, where, and its number.
    asks: HashMap<PullNo, (String, String, u64)>,
    /// What it does about a lost site while no service speaks, and the newest version by that.
    standby: FallbackMode,
    planned: Option<Shape>,
}

impl Sites {
    pub fn new(now: Moment) -> Sites {
        Sites {
            site: String::new(),
            sight: LivenessView::default(),
            asked_next: 0,
            asks: HashMap::new(),
            standby: FallbackMode::new(now),
            planned: None,
        }
    }

    /// It is at no site.
    pub fn is_nowhere(&self) -> bool {
        self.site.is_empty()
    }

    pub fn name(&self) -> &str {
        &self.site
    }

    pub fn sightings(&self) -> Vec<SiteObservation> {
        self.sight.observations()
    }

    /// That version with the ties of the plan that it goes by.
    pub fn planned(&self, version: u64) -> Option<&Shape> {
        self.planned.as_ref().filter(|planned| planned.version() == version)
    }

    /// The sites that are lost by the plan that it goes by.
    pub fn lost_by_plan(&self) -> String {
        self.standby.excluded_sites().iter().cloned().collect::<Vec<_>>().join("+")
    }

    fn unseen(&self) -> Vec<String> {
        let silent = self.sight.observations().into_iter().filter(|seen| seen.unanswered >= SITE_SILENT);
        silent.map(|seen| seen.site).collect()
    }

    /// Hubs of sites from which nothing is heard: to ask them one by one would cost a time-out each.
    pub fn silent_hubs(&self, shape: &Shape) -> Vec<NodeIndex> {
        let mut silent = self.unseen();
        silent.extend(self.standby.excluded_sites().iter().cloned());
        if silent.is_empty() {
            return Vec::new();
        }
        shape.hubs().filter(|(_, hub)| silent.contains(&hub.site)).map(|(at, _)| at).collect()
    }
}

impl Desk {
    /// It is at a site, and looks at the others.
    pub fn is_at(&mut self, site: &str, now: Moment) {
        self.sites.site = site.into();
        if !site.is_empty() {
            self.bells.set(now + LOOKS_EVERY, Bell::Look);
        }
    }

    /// Asks one hub of each other site whether it is there, each time the next one.
    pub(super) fn look(&mut self, now: Moment) {
        self.bells.set(now + LOOKS_EVERY, Bell::Look);
        let Some(shape) = self.versions.newest().cloned() else { return };
        let others: Vec<&str> = shape.sites().into_iter().filter(|site| *site != self.sites.site).collect();
        self.sites.sight.set_sites(others.iter().copied());
        self.sites.sight.tick(now);
        self.sites.asked_next += 1;
        for site in others {
            let there: Vec<NodeIndex> =
                shape.hubs().filter(|(_, hub)| hub.site == site).map(|(at, _)| at).collect();
            let to = there.get(self.sites.asked_next % there.len().max(1)).and_then(|at| peer(&shape, *at));
            let (Some(to), Some(number)) = (to, self.sites.sight.on_query(site, now)) else { continue };
            let ask = self.next_pull();
            self.sites.asks.insert(ask, (to.name.clone(), site.into(), number));
            self.orders.push(Order::Look { ask, to });
        }
        // What waits for longer was counted as silence already.
        let oldest = self.last_pull.saturating_sub(MOST_ASKS);
        self.sites.asks.retain(|ask, _| *ask >= oldest);
        self.stand_by(now);
    }

    /// Somebody at another site has answered; what it misses itself counts as its word.
    pub(super) fn seen(&mut self, ask: PullNo, leaving: bool, unseen: &[String], now: Moment) {
        let Some((hub, site, number)) = self.sites.asks.remove(&ask) else { return };
        self.sites.sight.on_answer(&site, number, leaving, now);
        let Some(shape) = self.versions.newest() else { return };
        let others = shape.sites().into_iter().filter(|other| *other != site);
        let sightings = others.map(|other| SiteObservation {
            site: other.into(),
            unanswered: if unseen.iter().any(|name| name == other) { SILENCE_THRESHOLD } else { 0 },
            known: true,
            slowness: 1.0,
            leaving: false,
        });
        let sightings = sightings.collect();
        self.sites.standby.on_observations(&hub, &site, sightings, now);
    }

    /// Sites from which it hears nothing, for whoever asks.
    pub fn unseen(&self) -> Vec<String> {
        self.sites.unseen()
    }

    pub(super) fn handed(&mut self, version: u64, plans: Vec<FallbackPlan>, now: Moment) {
        let Some(shape) = self.versions.newest().filter(|shape| shape.version() == version).cloned() else {
            return;
        };
        self.sites.standby.set_version(version, shape.sites().into_iter(), plans, now);
        self.go_by_plan();
    }

    pub(super) fn service_spoke(&mut self, now: Moment) {
        if let Some(turn) = self.sites.standby.on_service_message(now) {
            self.sites.planned = None;
            self.orders.push(Order::Turned(turn));
        }
    }

    fn stand_by(&mut self, now: Moment) {
        let sightings = self.sites.sight.observations();
        let (name, site) = (self.name.clone(), self.sites.site.clone());
        self.sites.standby.on_observations(&name, &site, sightings, now);
        let turn = self.sites.standby.tick(now).filter(|_| !self.alone);
        if let Some(turn) = turn {
            self.go_by_plan();
            self.orders.push(Order::Turned(turn));
        }
    }

    /// The newest version with the ties that the plan names for this hub.
    fn go_by_plan(&mut self) {
        self.sites.planned = self.versions.newest().and_then(|shape| {
            let ties = self.sites.standby.upstreams()?;
            let ties: Vec<NodeIndex> = ties.iter().filter_map(|tie| shape.find(tie)).collect();
            let me = shape.find(&self.name).filter(|_| !ties.is_empty())?;
            Some(shape.with_upstreams(shape.version(), [(me, ties.as_slice())]))
        });
    }
}
