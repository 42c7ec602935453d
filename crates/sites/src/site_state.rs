//! A site's way out of service and back into it.
//!
//! A loss is answered at once, by the plan that was made beforehand: one version in which nobody is tied to the site. The
//! way back is slow: the site has to be heard without a break for as long as it is held, its hubs start cold, and their
//! ties come back in the steps of an ordinary change, each only while hubs and archive are well. A second loss, of this
//! site or of one that carried it, ends those steps where they stand and is answered like any other. An evacuation is the
//! same steps the other way, begun by staff.
use crate::failure_detector::{SiteView, ViewChange};
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// After a change that was given up, before the way back is tried again; twice as long each time.
const AGAIN_FIRST: Span = Span::millis(5_000);
const AGAIN_MOST: Span = Span::millis(300_000);

pub use harestage_shape::control::SiteState;

/// What staff may ask for.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SiteCommand {
    /// Evacuate it, in steps.
    Leave,
    /// Let it come back, in steps, though it was kept out.
    Return,
    /// Keep it out until it is let back.
    Hold,
}

/// Why an ask is not followed.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandError {
    Unknown {
        site: String,
    },
    /// It is on that way, or at its end, already.
    Already {
        site: String,
        state: SiteState,
    },
    /// Nobody hears it.
    IsLost {
        site: String,
    },
    /// Another change is under way.
    Busy,
    /// Nobody would be left.
    LastSite {
        site: String,
    },
}

impl std::fmt::Display for CommandError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::Unknown { site } => write!(f, "site {site:?} is unknown"),
            Self::Already { site, state: standing } => {
                write!(f, "site {site} is {} already", state_label(standing))
            }
            Self::IsLost { site } => write!(f, "site {site} is lost: nobody hears it"),
            Self::Busy => write!(f, "another change is under way"),
            Self::LastSite { site } => write!(f, "site {site} is the last one in service"),
        }
    }
}

/// For lines and tables.
pub fn state_label(standing: &SiteState) -> &'static str {
    match standing {
        SiteState::InService => "in service",
        SiteState::Lost => "lost",
        SiteState::Held => "held",
        SiteState::Returning => "returning",
        SiteState::Leaving => "leaving",
        SiteState::Out => "out",
    }
}

/// What is to be done with the shape in service.
#[derive(Clone, Debug, PartialEq)]
pub enum ShapeStep {
    /// At once: the shape without these sites, by the plan for them.
    Exclude(BTreeSet<String>),
    /// In steps: towards the wanted shape without these sites.
    RollOut { excluded: BTreeSet<String>, site: String },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Site {
    standing: SiteState,
    /// Ways back that were given up.
    given_up: u32,
    not_before: Moment,
}

/// All sites' standings. What was decided comes back to be written down; `enter` takes it in, also after a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SiteStates {
    sites: BTreeMap<String, Site>,
}

/// A line of the journal: this site stands so from now on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StateChange {
    pub site: String,
    pub to: SiteState,
    #[serde(rename = "why")]
    pub reason: String,
}

impl SiteStates {
    pub fn set_sites<'a>(&mut self, sites: impl Iterator<Item = &'a str>) {
        let named: BTreeSet<&str> = sites.filter(|site| !site.is_empty()).collect();
        self.sites.retain(|site, _| named.contains(site.as_str()));
        for site in named {
            if !self.sites.contains_key(site) {
                self.sites.insert(site.into(), Site::default());
            }
        }
    }

    pub fn get(&self, site: &str) -> Option<&SiteState> {
        self.sites.get(site).map(|site| &site.standing)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&str, &SiteState)> {
        self.sites.iter().map(|(name, site)| (name.as_str(), &site.standing))
    }

    /// Sites that nobody is to be tied to.
    pub fn excluded(&self) -> BTreeSet<String> {
        let is_out = |site: &Site| !matches!(site.standing, SiteState::InService | SiteState::Returning);
        self.sites.iter().filter(|(_, site)| is_out(site)).map(|(name, _)| name.clone()).collect()
    }

    /// Who is left out at once when a site is lost. Steps that are under way end where they stand: a site that was leaving
    /// stays, and one that was returning goes out again, unless nobody else is left.
    fn excluded_after_loss(&self, lost: &str) -> BTreeSet<String> {
        let is_out = |(name, site): &(&String, &Site), returning: bool| {
            let gone = matches!(site.standing, SiteState::Lost | SiteState::Held | SiteState::Out);
            name.as_str() == lost || gone || returning && site.standing == SiteState::Returning
        };
        let out = |returning| -> BTreeSet<String> {
            self.sites.iter().filter(|site| is_out(site, returning)).map(|(name, _)| name.clone()).collect()
        };
        let all = out(true);
        if all.len() < self.sites.len() { all } else { out(false) }
    }

    /// What was written down, now or by a forerunner.
    pub fn apply(&mut self, turned: &StateChange, now: Moment) {
        let Some(site) = self.sites.get_mut(&turned.site) else { return };
        if site.standing == SiteState::Returning && matches!(turned.to, SiteState::Held | SiteState::Lost) {
            site.given_up += 1;
            let longer = 2f64.powi(site.given_up.saturating_sub(1).min(16) as i32);
            site.not_before = now + (AGAIN_FIRST * longer).min(AGAIN_MOST);
        }
        if turned.to == SiteState::InService {
            site.given_up = 0;
        }
        site.standing = turned.to;
    }

    /// The watch holds something else of a site than before.
    pub fn on_view_change(&self, change: &ViewChange) -> Option<(StateChange, Option<ShapeStep>)> {
        let standing = self.get(&change.site)?;
        let turned =
            |to: SiteState, why: &str| StateChange { site: change.site.clone(), to, reason: why.into() };
        match (&change.to, standing) {
            (SiteView::Lost, SiteState::Lost | SiteState::Out) => None,
            (SiteView::Lost, _) => {
                let out = self.excluded_after_loss(&change.site);
                let why = format!("not heard by any other site for {:.1} s", change.seen_for.seconds());
                Some((turned(SiteState::Lost, &why), Some(ShapeStep::Exclude(out))))
            }
            (_, SiteState::Lost) => Some((turned(SiteState::Held, "heard again"), None)),
            _ => None,
        }
    }

    /// A site that may start its way back now: one at a time, while nothing else changes.
    pub fn next_readmission(
        &self,
        busy: bool,
        is_held: impl Fn(&str) -> bool,
        now: Moment,
    ) -> Option<(StateChange, ShapeStep)> {
        if busy
            || self.sites.values().any(|s| matches!(s.standing, SiteState::Returning | SiteState::Leaving))
        {
            return None;
        }
        let ready = |(name, site): &(&String, &Site)| {
            site.standing == SiteState::Held && now >= site.not_before && !is_held(name)
        };
        let (name, _) = self.sites.iter().find(ready)?;
        Some(self.roll_out(name, SiteState::Returning, "it has stayed for as long as it was held"))
    }

    fn roll_out(&self, site: &str, to: SiteState, why: &str) -> (StateChange, ShapeStep) {
        let mut out = self.excluded();
        match to {
            SiteState::Returning => out.remove(site),
            _ => out.insert(site.into()),
        };
        let turned = StateChange { site: site.into(), to, reason: why.into() };
        (turned, ShapeStep::RollOut { excluded: out, site: site.into() })
    }

    /// Staff asks for something.
    pub fn command(
        &self,
        site: &str,
        ask: SiteCommand,
        by: &str,
        busy: bool,
    ) -> Result<(StateChange, Option<ShapeStep>), CommandError> {
        let standing = self.get(site).ok_or_else(|| CommandError::Unknown { site: site.into() })?;
        let already = || CommandError::Already { site: site.into(), state: *standing };
        let turned = |to| StateChange { site: site.into(), to, reason: format!("asked for by {by}") };
        match (ask, standing) {
            (SiteCommand::Hold, SiteState::Out) => Err(already()),
            (SiteCommand::Hold, SiteState::Lost | SiteState::Held) => Ok((turned(SiteState::Out), None)),
            (SiteCommand::Hold | SiteCommand::Leave, SiteState::InService)
                if self.is_last_in_service(site) =>
            {
                Err(CommandError::LastSite { site: site.into() })
            }
            (SiteCommand::Leave, SiteState::InService) | (SiteCommand::Hold, SiteState::InService)
                if busy =>
            {
                Err(CommandError::Busy)
            }
            (SiteCommand::Hold | SiteCommand::Leave, SiteState::InService) => {
                let (turned, step) = self.roll_out(site, SiteState::Leaving, &format!("asked for by {by}"));
                Ok((turned, Some(step)))
            }
            // Its steps end where they stand, and it is out at once.
            (SiteCommand::Hold, SiteState::Returning) => {
                let mut out = self.excluded();
                out.insert(site.into());
                Ok((turned(SiteState::Out), Some(ShapeStep::Exclude(out))))
            }
            (SiteCommand::Return, SiteState::Out) => Ok((turned(SiteState::Held), None)),
            (SiteCommand::Return, SiteState::Lost) => Err(CommandError::IsLost { site: site.into() }),
            _ => Err(already()),
        }
    }

    fn is_last_in_service(&self, site: &str) -> bool {
        let out = self.excluded();
        self.sites.keys().all(|other| other == site || out.contains(other))
    }

    /// The steps of a change have come to their end, or were given up.
    pub fn on_change_ended(&self, complete: bool) -> Option<StateChange> {
        let moving =
            |(_, site): &(&String, &Site)| matches!(site.standing, SiteState::Returning | SiteState::Leaving);
        let (name, site) = self.sites.iter().find(moving)?;
        let (to, why) = match (&site.standing, complete) {
            (SiteState::Returning, true) => (SiteState::InService, "its ties are back"),
            (SiteState::Returning, false) => (SiteState::Held, "its way back was given up"),
            (SiteState::Leaving, true) => (SiteState::Out, "nobody is tied to it any more"),
            _ => (SiteState::InService, "its evacuation was given up"),
        };
        Some(StateChange { site: name.clone(), to, reason: why.into() })
    }
}
