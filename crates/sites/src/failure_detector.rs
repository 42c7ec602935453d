//! What many witnesses prove together about a site. A witness is a hub or a member of the control service. It
//! reports for each other site how many consecutive queries were not answered.
//!
//! A site is never declared lost by one witness, nor by the witnesses of one site: to each of two sites, a
//! cut between them looks like the loss of the other. A site is lost if none of the witnesses that count
//! hears it, and they are at two other sites at least and at more than half of all other sites. A witness
//! that hears no other site at all does not count: it is cut off itself.
use crate::liveness::SiteObservation;
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Consecutive unanswered queries that count as silence. With a query each 100 ms and
/// [`crate::liveness::ANSWER_TIMEOUT`] for each, a site that fails is silent to a witness after 600 to 700
/// ms.
pub const SILENCE_THRESHOLD: u32 = 4;
/// A witness that has not reported for this long no longer counts.
const WITNESS_TIMEOUT: Span = Span::millis(900);
/// Evidence has to last this long before it counts, so that a short disturbance is ignored.
const CONFIRMATION_TIME: Span = Span::millis(200);
/// Ratio to the usual answer time from which on a site is slow.
const SLOW_FACTOR: f64 = 4.0;
/// A site that came back is held for this long, twice as long with each recorded loss, up to the maximum.
const FIRST_HOLD: Span = Span::millis(2_000);
const MAX_HOLD: Span = Span::millis(120_000);
/// Losses older than this are dropped.
const LOSS_RETENTION: Span = Span::millis(600_000);
const MAX_RECORDED_LOSSES: usize = 32;
/// Limit on the witnesses.
const MAX_WITNESSES: usize = 4_096;

/// What the witnesses together say about a site.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "is")]
pub enum SiteView {
    /// No witness has reported on it yet.
    #[default]
    Unknown,
    /// Other sites reach it at its usual pace.
    Up,
    /// Half of the sites that reach it find it slower than usual by at least this factor.
    Slow { times: f64 },
    /// These sites do not reach it, but others do.
    CutFromSome { by: Vec<String> },
    /// Hubs of other sites reach it, but no member of the service does.
    CutFromServices,
    /// It is shutting down in order.
    Leaving,
    /// No witness hears it, and the evidence suffices.
    Lost,
}

/// The kind of process that reports.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WitnessKind {
    Hub,
    Service,
}

/// The last report of a witness.
struct Witness {
    site: String,
    kind: WitnessKind,
    last_report: Moment,
    observations: Vec<SiteObservation>,
}

impl Witness {
    /// Whether it hears any other site, so that it is not cut off itself.
    fn hears_another_site(&self) -> bool {
        self.observations.iter().any(|observation| {
            observation.site != self.site && observation.known && observation.unanswered < SILENCE_THRESHOLD
        })
    }
}

/// The state of one site.
#[derive(Clone, Debug, Default)]
struct Site {
    view: SiteView,
    /// What the evidence says now, and since when without interruption.
    evidence_now: SiteView,
    since: Moment,
    /// The recorded losses.
    losses: Vec<Moment>,
    held_until: Moment,
}

/// A change of the view of a site.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewChange {
    pub site: String,
    pub from: SiteView,
    pub to: SiteView,
    /// How long the evidence had said so.
    pub seen_for: Span,
}

/// The evidence and the views of all sites.
pub struct FailureDetector {
    sites: BTreeMap<String, Site>,
    witnesses: BTreeMap<String, Witness>,
}

impl FailureDetector {
    /// A detector without evidence on these sites.
    pub fn new<'a>(sites: impl Iterator<Item = &'a str>, now: Moment) -> FailureDetector {
        let site = |name: &str| (name.to_string(), Site { since: now, ..Site::default() });
        FailureDetector { sites: sites.map(site).collect(), witnesses: BTreeMap::new() }
    }

    /// Sets the sites of a new version. The state of sites that remain is kept.
    pub fn set_sites<'a>(&mut self, sites: impl Iterator<Item = &'a str>, now: Moment) {
        let names: BTreeSet<&str> = sites.collect();
        self.sites.retain(|name, _| names.contains(name.as_str()));
        for name in names {
            if !self.sites.contains_key(name) {
                self.sites.insert(name.into(), Site { since: now, ..Site::default() });
            }
        }
    }

    /// Handles the report of a witness.
    pub fn on_report(
        &mut self,
        name: &str,
        site: &str,
        kind: WitnessKind,
        observations: Vec<SiteObservation>,
        now: Moment,
    ) {
        if self.witnesses.len() >= MAX_WITNESSES && !self.witnesses.contains_key(name) {
            return;
        }
        let site = site.to_string();
        self.witnesses.insert(name.into(), Witness { site, kind, last_report: now, observations });
    }

    /// Has to be called a few times a second. Returns the views that have changed.
    pub fn tick(&mut self, now: Moment) -> Vec<ViewChange> {
        self.witnesses.retain(|_, witness| now.since(witness.last_report) < WITNESS_TIMEOUT);
        let names: Vec<String> = self.sites.keys().cloned().collect();
        let mut changes = Vec::new();
        for name in names {
            let evidence_now = self.evidence(&name);
            let Some(site) = self.sites.get_mut(&name) else { continue };
            if !same_kind(&evidence_now, &site.evidence_now) {
                site.since = now;
            }
            site.evidence_now = evidence_now;
            changes.extend(site.settle(&name, now));
        }
        changes
    }

    /// What the witnesses say of a site at this moment.
    fn evidence(&self, site_name: &str) -> SiteView {
        let others: BTreeSet<&str> =
            self.sites.keys().map(String::as_str).filter(|site| *site != site_name).collect();
        let (mut reached_by, mut missed_by) = (BTreeMap::<&str, u32>::new(), BTreeMap::<&str, u32>::new());
        let (mut reached_by_hub, mut reached_by_service, mut has_service_witness) = (false, false, false);
        let (mut slowness_by_site, mut leaving) = (BTreeMap::<&str, f64>::new(), false);
        for witness in self
            .witnesses
            .values()
            .filter(|witness| witness.site != site_name && others.contains(witness.site.as_str()))
        {
            let Some(observation) =
                witness.observations.iter().find(|observation| observation.site == site_name)
            else {
                continue;
            };
            let reaches = observation.unanswered < SILENCE_THRESHOLD && observation.known;
            has_service_witness |= witness.kind == WitnessKind::Service;
            if reaches {
                *reached_by.entry(&witness.site).or_default() += 1;
                match witness.kind {
                    WitnessKind::Hub => reached_by_hub = true,
                    WitnessKind::Service => reached_by_service = true,
                }
                leaving |= observation.leaving;
                let lowest = slowness_by_site.entry(&witness.site).or_insert(f64::INFINITY);
                *lowest = lowest.min(observation.slowness);
            } else if observation.unanswered >= SILENCE_THRESHOLD
                && (witness.hears_another_site() || self.has_only_two_sites())
            {
                *missed_by.entry(&witness.site).or_default() += 1;
            }
        }
        if reached_by.is_empty() {
            let witnesses: u32 = missed_by.values().sum();
            let enough = missed_by.len() >= 2 && missed_by.len() * 2 > others.len() && witnesses >= 2;
            return if enough { SiteView::Lost } else { SiteView::Unknown };
        }
        if leaving {
            return SiteView::Leaving;
        }
        let by: Vec<String> = missed_by
            .keys()
            .filter(|site| !reached_by.contains_key(*site))
            .map(|site| site.to_string())
            .collect();
        if !by.is_empty() {
            return SiteView::CutFromSome { by };
        }
        if has_service_witness && reached_by_hub && !reached_by_service {
            return SiteView::CutFromServices;
        }
        let mut slownesses: Vec<f64> = slowness_by_site.into_values().collect();
        slownesses.sort_by(f64::total_cmp);
        let median = slownesses[slownesses.len() / 2];
        if median >= SLOW_FACTOR { SiteView::Slow { times: median } } else { SiteView::Up }
    }

    /// With only two sites, a cut and a loss cannot be told apart: operators have to decide.
    fn has_only_two_sites(&self) -> bool {
        self.sites.len() <= 2
    }

    /// The current view of a site.
    pub fn view(&self, site: &str) -> &SiteView {
        self.sites.get(site).map_or(&SiteView::Unknown, |site| &site.view)
    }

    /// Whether a site is lost or still held. After each loss a site has to stay up for longer.
    pub fn is_held_back(&self, site: &str, now: Moment) -> bool {
        self.sites.get(site).is_some_and(|site| site.view == SiteView::Lost || now < site.held_until)
    }

    /// The number of recorded losses.
    pub fn loss_count(&self, site: &str) -> usize {
        self.sites.get(site).map_or(0, |site| site.losses.len())
    }

    /// When sites were lost, as far as it is recorded, in Unix milliseconds.
    pub fn recorded_losses(&self) -> BTreeMap<String, Vec<u64>> {
        let at = |site: &Site| site.losses.iter().map(|at| at.micros() / 1_000).collect::<Vec<u64>>();
        let lost = self.sites.iter().filter(|(_, site)| !site.losses.is_empty());
        lost.map(|(name, site)| (name.clone(), at(site))).collect()
    }

    /// Restores the losses that a predecessor recorded. Times ahead of this clock are set to now.
    pub fn restore_losses(&mut self, losses: &BTreeMap<String, Vec<u64>>, now: Moment) {
        for (name, times_ms) in losses {
            let Some(site) = self.sites.get_mut(name) else { continue };
            let at = times_ms.iter().map(|ms| Moment::at_micros(ms.saturating_mul(1_000)).min(now));
            site.losses = at.filter(|at| now.since(*at) < LOSS_RETENTION).take(MAX_RECORDED_LOSSES).collect();
        }
    }

    /// The names of all sites.
    pub fn sites(&self) -> impl Iterator<Item = &str> {
        self.sites.keys().map(String::as_str)
    }

    /// The number of witnesses that report now, by site.
    pub fn witness_counts(&self) -> BTreeMap<&str, usize> {
        let mut by_site = BTreeMap::new();
        self.witnesses.values().for_each(|witness| *by_site.entry(witness.site.as_str()).or_insert(0) += 1);
        by_site
    }
}

impl Site {
    fn settle(&mut self, name: &str, now: Moment) -> Option<ViewChange> {
        self.losses.retain(|at| now.since(*at) < LOSS_RETENTION);
        let seen_for = now.since(self.since);
        // No evidence proves nothing: the view stays.
        if self.evidence_now == SiteView::Unknown
            || self.evidence_now == self.view
            || seen_for < CONFIRMATION_TIME
        {
            return None;
        }
        if self.evidence_now == SiteView::Lost {
            self.losses.push(now);
            if self.losses.len() > MAX_RECORDED_LOSSES {
                self.losses.remove(0);
            }
        } else if self.view == SiteView::Lost {
            let factor = 2f64.powi(self.losses.len().saturating_sub(1).min(16) as i32);
            self.held_until = now + (FIRST_HOLD * factor).min(MAX_HOLD);
        }
        let from = std::mem::replace(&mut self.view, self.evidence_now.clone());
        Some(ViewChange { site: name.into(), from, to: self.view.clone(), seen_for })
    }
}

/// Whether both are of the same kind. The slowness, and the sites that a site is cut off from, may change
/// without interruption.
fn same_kind(a: &SiteView, b: &SiteView) -> bool {
    std::mem::discriminant(a) == std::mem::discriminant(b)
}
