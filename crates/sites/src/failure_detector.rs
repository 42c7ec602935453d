//! What many witnesses prove of a site together. A witness is a hub or a member of a service; it says how many questions
//! in a row each other site has left without an answer.
//!
//! Nobody is declared lost by one witness, nor by witnesses of one site: a cut between two sites looks to each of them
//! like the loss of the other. A site is lost when all witnesses whose word counts hear nothing of it, they are at two
//! other sites at least, and at more than half of the other sites that there are. Whoever hears nobody at all has no word:
//! it is cut off itself.
use crate::liveness::SiteObservation;
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Questions in a row without an answer that are silence. With a question each 100 ms and [`crate::sight::ANSWERS_WITHIN`]
/// for each, a site that died is silent to a witness after 600 to 700 ms.
pub const SILENCE_THRESHOLD: u32 = 4;
/// A witness that has not reported for as long says nothing any more.
const STALE: Span = Span::millis(900);
/// All this has to be seen for as long before it counts, so that a hiccup is none.
const LASTS: Span = Span::millis(200);
/// Times the usual time at which a site is slow.
const SLOW: f64 = 4.0;
/// A site that came back is held for as long, twice as long with each loss that is remembered.
const HELD_FIRST: Span = Span::millis(2_000);
const HELD_MOST: Span = Span::millis(120_000);
/// A loss is forgotten after it.
const REMEMBERED: Span = Span::millis(600_000);
const MOST_REMEMBERED: usize = 32;
/// Witnesses that are listened to at most.
const MOST_WITNESSES: usize = 4_096;

/// How a site stands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "is")]
pub enum SiteView {
    /// Nobody has said anything of it yet.
    #[default]
    Unknown,
    Up,
    /// Half of the sites that reach it find it so many times slower than usual.
    Slow {
        times: f64,
    },
    /// These sites do not reach it, others do.
    CutFromSome {
        by: Vec<String>,
    },
    /// Hubs of other sites reach it, and the services do not.
    CutFromServices,
    /// It goes down in order.
    Leaving,
    Lost,
}

/// Who reports.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WitnessKind {
    Hub,
    Service,
}

struct Witness {
    site: String,
    kind: WitnessKind,
    last_report: Moment,
    sightings: Vec<SiteObservation>,
}

impl Witness {
    /// It hears somebody of another site than its own: it is not cut off itself.
    fn hears_another_site(&self) -> bool {
        self.sightings.iter().any(|s| s.site != self.site && s.known && s.unanswered < SILENCE_THRESHOLD)
    }
}

#[derive(Clone, Debug, Default)]
struct Site {
    view: SiteView,
    /// What the evidence says now, and since when it has said that without a break.
    says: SiteView,
    since: Moment,
    /// Losses that are remembered.
    losses: Vec<Moment>,
    held_until: Moment,
}

/// A change of what is held of a site.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewChange {
    pub site: String,
    pub from: SiteView,
    pub to: SiteView,
    /// How long the evidence had said so.
    pub seen_for: Span,
}

/// All that is known of all sites.
pub struct FailureDetector {
    sites: BTreeMap<String, Site>,
    witnesses: BTreeMap<String, Witness>,
}

impl FailureDetector {
    pub fn new<'a>(sites: impl Iterator<Item = &'a str>, now: Moment) -> FailureDetector {
        let site = |name: &str| (name.to_string(), Site { since: now, ..Site::default() });
        FailureDetector { sites: sites.map(site).collect(), witnesses: BTreeMap::new() }
    }

    /// The sites of a new version. What is known of those that stay, stays.
    pub fn set_sites<'a>(&mut self, sites: impl Iterator<Item = &'a str>, now: Moment) {
        let named: BTreeSet<&str> = sites.collect();
        self.sites.retain(|name, _| named.contains(name.as_str()));
        for name in named {
            if !self.sites.contains_key(name) {
                self.sites.insert(name.into(), Site { since: now, ..Site::default() });
            }
        }
    }

    /// A witness has reported.
    pub fn on_report(
        &mut self,
        name: &str,
        site: &str,
        kind: WitnessKind,
        sightings: Vec<SiteObservation>,
        now: Moment,
    ) {
        if self.witnesses.len() >= MOST_WITNESSES && !self.witnesses.contains_key(name) {
            return;
        }
        let site = site.to_string();
        self.witnesses.insert(name.into(), Witness { site, kind, last_report: now, sightings });
    }

    /// To be called some times a second; what has changed comes back.
    pub fn tick(&mut self, now: Moment) -> Vec<ViewChange> {
        self.witnesses.retain(|_, witness| now.since(witness.last_report) < STALE);
        let names: Vec<String> = self.sites.keys().cloned().collect();
        let mut changes = Vec::new();
        for name in names {
            let says = self.evidence(&name);
            let Some(site) = self.sites.get_mut(&name) else { continue };
            if !same(&says, &site.says) {
                site.since = now;
            }
            site.says = says;
            changes.extend(site.settle(&name, now));
        }
        changes
    }

    /// What the witnesses say of a site at this moment.
    fn evidence(&self, of: &str) -> SiteView {
        let others: BTreeSet<&str> = self.sites.keys().map(String::as_str).filter(|s| *s != of).collect();
        let (mut reach, mut miss) = (BTreeMap::<&str, u32>::new(), BTreeMap::<&str, u32>::new());
        let (mut hubs_reach, mut services_reach, mut services) = (false, false, false);
        let (mut slowness, mut leaving) = (BTreeMap::<&str, f64>::new(), false);
        for witness in self.witnesses.values().filter(|w| w.site != of && others.contains(w.site.as_str())) {
            let Some(seen) = witness.sightings.iter().find(|s| s.site == of) else { continue };
            let reaches = seen.unanswered < SILENCE_THRESHOLD && seen.known;
            services |= witness.kind == WitnessKind::Service;
            if reaches {
                *reach.entry(&witness.site).or_default() += 1;
                match witness.kind {
                    WitnessKind::Hub => hubs_reach = true,
                    WitnessKind::Service => services_reach = true,
                }
                leaving |= seen.leaving;
                let least = slowness.entry(&witness.site).or_insert(f64::INFINITY);
                *least = least.min(seen.slowness);
            } else if seen.unanswered >= SILENCE_THRESHOLD
                && (witness.hears_another_site() || self.has_only_two_sites())
            {
                *miss.entry(&witness.site).or_default() += 1;
            }
        }
        if reach.is_empty() {
            let witnesses: u32 = miss.values().sum();
            let enough = miss.len() >= 2 && miss.len() * 2 > others.len() && witnesses >= 2;
            return if enough { SiteView::Lost } else { SiteView::Unknown };
        }
        if leaving {
            return SiteView::Leaving;
        }
        let by: Vec<String> =
            miss.keys().filter(|site| !reach.contains_key(*site)).map(|s| s.to_string()).collect();
        if !by.is_empty() {
            return SiteView::CutFromSome { by };
        }
        if services && hubs_reach && !services_reach {
            return SiteView::CutFromServices;
        }
        let mut times: Vec<f64> = slowness.into_values().collect();
        times.sort_by(f64::total_cmp);
        let middle = times[times.len() / 2];
        if middle >= SLOW { SiteView::Slow { times: middle } } else { SiteView::Up }
    }

    /// With two sites a cut and a loss can't be told apart: staff may say what it is.
    fn has_only_two_sites(&self) -> bool {
        self.sites.len() <= 2
    }

    pub fn view(&self, site: &str) -> &SiteView {
        self.sites.get(site).map_or(&SiteView::Unknown, |site| &site.view)
    }

    /// Whether a site that is heard again may be used again: it has to stay for longer with each loss.
    pub fn is_held_back(&self, site: &str, now: Moment) -> bool {
        self.sites.get(site).is_some_and(|site| site.view == SiteView::Lost || now < site.held_until)
    }

    /// Losses that are remembered.
    pub fn loss_count(&self, site: &str) -> usize {
        self.sites.get(site).map_or(0, |site| site.losses.len())
    }

    /// When sites were lost, as far as that is remembered, Unix milliseconds.
    pub fn recorded_losses(&self) -> BTreeMap<String, Vec<u64>> {
        let at = |site: &Site| site.losses.iter().map(|at| at.micros() / 1_000).collect::<Vec<u64>>();
        let lost = self.sites.iter().filter(|(_, site)| !site.losses.is_empty());
        lost.map(|(name, site)| (name.clone(), at(site))).collect()
    }

    /// What a forerunner remembered. A clock that was ahead says nothing of the future.
    pub fn restore_losses(&mut self, losses: &BTreeMap<String, Vec<u64>>, now: Moment) {
        for (name, at_ms) in losses {
            let Some(site) = self.sites.get_mut(name) else { continue };
            let at = at_ms.iter().map(|ms| Moment::at_micros(ms.saturating_mul(1_000)).min(now));
            site.losses = at.filter(|at| now.since(*at) < REMEMBERED).take(MOST_REMEMBERED).collect();
        }
    }

    pub fn sites(&self) -> impl Iterator<Item = &str> {
        self.sites.keys().map(String::as_str)
    }

    /// Witnesses that have a word now, by their sites.
    pub fn witness_counts(&self) -> BTreeMap<&str, usize> {
        let mut by_site = BTreeMap::new();
        self.witnesses.values().for_each(|w| *by_site.entry(w.site.as_str()).or_insert(0) += 1);
        by_site
    }
}

impl Site {
    fn settle(&mut self, name: &str, now: Moment) -> Option<ViewChange> {
        self.losses.retain(|at| now.since(*at) < REMEMBERED);
        let seen_for = now.since(self.since);
        // Silence of the witnesses proves nothing: what was held of the site stays.
        if self.says == SiteView::Unknown || self.says == self.view || seen_for < LASTS {
            return None;
        }
        if self.says == SiteView::Lost {
            self.losses.push(now);
            if self.losses.len() > MOST_REMEMBERED {
                self.losses.remove(0);
            }
        } else if self.view == SiteView::Lost {
            let longer = 2f64.powi(self.losses.len().saturating_sub(1).min(16) as i32);
            self.held_until = now + (HELD_FIRST * longer).min(HELD_MOST);
        }
        let from = std::mem::replace(&mut self.view, self.says.clone());
        Some(ViewChange { site: name.into(), from, to: self.view.clone(), seen_for })
    }
}

/// Of one kind: how slow, and cut off from whom, may change without a break.
fn same(a: &SiteView, b: &SiteView) -> bool {
    std::mem::discriminant(a) == std::mem::discriminant(b)
}
