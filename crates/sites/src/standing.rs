//! A site's way out of service and back into it.
//!
//! A loss is answered at once, by the plan that was made beforehand: one version in which nobody is tied to the site. The
//! way back is slow: the site has to be heard without a break for as long as it is held, its hubs start cold, and their
//! ties come back in the steps of an ordinary change, each only while hubs and archive are well. A second loss, of this
//! site or of one that carried it, ends those steps where they stand and is answered like any other. An evacuation is the
//! same steps the other way, begun by staff.
use crate::watch::{Change, View};
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// After a change that was given up, before the way back is tried again; twice as long each time.
const AGAIN_FIRST: Span = Span::millis(5_000);
const AGAIN_MOST: Span = Span::millis(300_000);

pub use harestage_shape::control::Standing;

/// What staff may ask for.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// Evacuate it, in steps.
    Leave,
    /// Let it come back, in steps, though it was kept out.
    Return,
    /// Keep it out until it is let back.
    Hold,
}

/// Why an ask is not followed.
#[derive(Clone, Debug, PartialEq)]
pub enum Refused {
    Unknown {
        site: String,
    },
    /// It is on that way, or at its end, already.
    Already {
        site: String,
        standing: Standing,
    },
    /// Nobody hears it.
    IsLost {
        site: String,
    },
    /// Another change is under way.
    Busy,
    /// Nobody would be left.
    LastOne {
        site: String,
    },
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::Unknown { site } => write!(f, "site {site:?} is unknown"),
            Self::Already { site, standing } => write!(f, "site {site} is {} already", word(standing)),
            Self::IsLost { site } => write!(f, "site {site} is lost: nobody hears it"),
            Self::Busy => write!(f, "another change is under way"),
            Self::LastOne { site } => write!(f, "site {site} is the last one in service"),
        }
    }
}

/// For lines and tables.
pub fn word(standing: &Standing) -> &'static str {
    match standing {
        Standing::InService => "in service",
        Standing::Lost => "lost",
        Standing::Held => "held",
        Standing::Returning => "returning",
        Standing::Leaving => "leaving",
        Standing::Out => "out",
    }
}

/// What is to be done with the shape in service.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// At once: the shape without these sites, by the plan for them.
    Without(BTreeSet<String>),
    /// In steps: towards the wanted shape without these sites.
    Towards { out: BTreeSet<String>, site: String },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Site {
    standing: Standing,
    /// Ways back that were given up.
    given_up: u32,
    not_before: Moment,
}

/// All sites' standings. What was decided comes back to be written down; `enter` takes it in, also after a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Standings {
    sites: BTreeMap<String, Site>,
}

/// A line of the journal: this site stands so from now on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Turned {
    pub site: String,
    pub to: Standing,
    pub why: String,
}

impl Standings {
    pub fn set_sites<'a>(&mut self, sites: impl Iterator<Item = &'a str>) {
        let named: BTreeSet<&str> = sites.filter(|site| !site.is_empty()).collect();
        self.sites.retain(|site, _| named.contains(site.as_str()));
        for site in named {
            if !self.sites.contains_key(site) {
                self.sites.insert(site.into(), Site::default());
            }
        }
    }

    pub fn of(&self, site: &str) -> Option<&Standing> {
        self.sites.get(site).map(|site| &site.standing)
    }

    pub fn all(&self) -> impl Iterator<Item = (&str, &Standing)> {
        self.sites.iter().map(|(name, site)| (name.as_str(), &site.standing))
    }

    /// Sites that nobody is to be tied to.
    pub fn out(&self) -> BTreeSet<String> {
        let is_out = |site: &Site| !matches!(site.standing, Standing::InService | Standing::Returning);
        self.sites.iter().filter(|(_, site)| is_out(site)).map(|(name, _)| name.clone()).collect()
    }

    /// Who is left out at once when a site is lost. Steps that are under way end where they stand: a site that was leaving
    /// stays, and one that was returning goes out again, unless nobody else is left.
    fn out_after_a_loss(&self, lost: &str) -> BTreeSet<String> {
        let is_out = |(name, site): &(&String, &Site), returning: bool| {
            let gone = matches!(site.standing, Standing::Lost | Standing::Held | Standing::Out);
            name.as_str() == lost || gone || returning && site.standing == Standing::Returning
        };
        let out = |returning| -> BTreeSet<String> {
            self.sites.iter().filter(|site| is_out(site, returning)).map(|(name, _)| name.clone()).collect()
        };
        let all = out(true);
        if all.len() < self.sites.len() { all } else { out(false) }
    }

    /// What was written down, now or by a forerunner.
    pub fn enter(&mut self, turned: &Turned, now: Moment) {
        let Some(site) = self.sites.get_mut(&turned.site) else { return };
        if site.standing == Standing::Returning && matches!(turned.to, Standing::Held | Standing::Lost) {
            site.given_up += 1;
            let longer = 2f64.powi(site.given_up.saturating_sub(1).min(16) as i32);
            site.not_before = now + (AGAIN_FIRST * longer).min(AGAIN_MOST);
        }
        if turned.to == Standing::InService {
            site.given_up = 0;
        }
        site.standing = turned.to;
    }

    /// The watch holds something else of a site than before.
    pub fn seen(&self, change: &Change) -> Option<(Turned, Option<Step>)> {
        let standing = self.of(&change.site)?;
        let turned = |to: Standing, why: &str| Turned { site: change.site.clone(), to, why: why.into() };
        match (&change.to, standing) {
            (View::Lost, Standing::Lost | Standing::Out) => None,
            (View::Lost, _) => {
                let out = self.out_after_a_loss(&change.site);
                let why = format!("not heard by any other site for {:.1} s", change.seen_for.seconds());
                Some((turned(Standing::Lost, &why), Some(Step::Without(out))))
            }
            (_, Standing::Lost) => Some((turned(Standing::Held, "heard again"), None)),
            _ => None,
        }
    }

    /// A site that may start its way back now: one at a time, while nothing else changes.
    pub fn next_return(
        &self,
        busy: bool,
        is_held: impl Fn(&str) -> bool,
        now: Moment,
    ) -> Option<(Turned, Step)> {
        if busy || self.sites.values().any(|s| matches!(s.standing, Standing::Returning | Standing::Leaving))
        {
            return None;
        }
        let ready = |(name, site): &(&String, &Site)| {
            site.standing == Standing::Held && now >= site.not_before && !is_held(name)
        };
        let (name, _) = self.sites.iter().find(ready)?;
        Some(self.towards(name, Standing::Returning, "it has stayed for as long as it was held"))
    }

    fn towards(&self, site: &str, to: Standing, why: &str) -> (Turned, Step) {
        let mut out = self.out();
        match to {
            Standing::Returning => out.remove(site),
            _ => out.insert(site.into()),
        };
        let turned = Turned { site: site.into(), to, why: why.into() };
        (turned, Step::Towards { out, site: site.into() })
    }

    /// Staff asks for something.
    pub fn ask(&self, site: &str, ask: Ask, by: &str, busy: bool) -> Result<(Turned, Option<Step>), Refused> {
        let standing = self.of(site).ok_or_else(|| Refused::Unknown { site: site.into() })?;
        let already = || Refused::Already { site: site.into(), standing: *standing };
        let turned = |to| Turned { site: site.into(), to, why: format!("asked for by {by}") };
        match (ask, standing) {
            (Ask::Hold, Standing::Out) => Err(already()),
            (Ask::Hold, Standing::Lost | Standing::Held) => Ok((turned(Standing::Out), None)),
            (Ask::Hold | Ask::Leave, Standing::InService) if self.is_last(site) => {
                Err(Refused::LastOne { site: site.into() })
            }
            (Ask::Leave, Standing::InService) | (Ask::Hold, Standing::InService) if busy => {
                Err(Refused::Busy)
            }
            (Ask::Hold | Ask::Leave, Standing::InService) => {
                let (turned, step) = self.towards(site, Standing::Leaving, &format!("asked for by {by}"));
                Ok((turned, Some(step)))
            }
            // Its steps end where they stand, and it is out at once.
            (Ask::Hold, Standing::Returning) => {
                let mut out = self.out();
                out.insert(site.into());
                Ok((turned(Standing::Out), Some(Step::Without(out))))
            }
            (Ask::Return, Standing::Out) => Ok((turned(Standing::Held), None)),
            (Ask::Return, Standing::Lost) => Err(Refused::IsLost { site: site.into() }),
            _ => Err(already()),
        }
    }

    fn is_last(&self, site: &str) -> bool {
        let out = self.out();
        self.sites.keys().all(|other| other == site || out.contains(other))
    }

    /// The steps of a change have come to their end, or were given up.
    pub fn ended(&self, complete: bool) -> Option<Turned> {
        let moving =
            |(_, site): &(&String, &Site)| matches!(site.standing, Standing::Returning | Standing::Leaving);
        let (name, site) = self.sites.iter().find(moving)?;
        let (to, why) = match (&site.standing, complete) {
            (Standing::Returning, true) => (Standing::InService, "its ties are back"),
            (Standing::Returning, false) => (Standing::Held, "its way back was given up"),
            (Standing::Leaving, true) => (Standing::Out, "nobody is tied to it any more"),
            _ => (Standing::InService, "its evacuation was given up"),
        };
        Some(Turned { site: name.clone(), to, why: why.into() })
    }
}
