//! The states of a site on its way out of service and back into it.
//!
//! A loss is answered at once, by the plan that was made beforehand: one version in which no node is linked
//! to the site. The recovery is slow: the site has to be heard without interruption for its hold time, its
//! hubs start cold, and their links return in the steps of an ordinary change, each only while hubs and
//! archive are healthy. A second loss, of this site or of one that carried its load, ends those steps where
//! they stand and is handled like any other. An evacuation is the same steps in the other direction, started
//! by an operator.
use crate::failure_detector::{SiteView, ViewChange};
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The delay after an abandoned recovery before the next attempt; it doubles each time, up to the maximum.
const FIRST_RETRY_DELAY: Span = Span::millis(5_000);
const MAX_RETRY_DELAY: Span = Span::millis(300_000);

pub use harestage_shape::control::SiteState;

/// What an operator may request for a site.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SiteCommand {
    /// Evacuate it, in steps.
    Leave,
    /// Let it return, in steps, although it was kept out.
    Return,
    /// Keep it out until it is told to return.
    Hold,
}

/// Why a command was refused.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandError {
    Unknown {
        site: String,
    },
    /// It is already in that state, or on its way there.
    Already {
        site: String,
        state: SiteState,
    },
    /// No witness hears it.
    IsLost {
        site: String,
    },
    /// Another change is under way.
    Busy,
    /// No other site would be in service.
    LastSite {
        site: String,
    },
}

impl std::fmt::Display for CommandError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::Unknown { site } => write!(f, "site {site:?} is unknown"),
            Self::Already { site, state } => {
                write!(f, "site {site} is already {}", state_label(state))
            }
            Self::IsLost { site } => write!(f, "site {site} is lost: no witness hears it"),
            Self::Busy => write!(f, "another change is under way"),
            Self::LastSite { site } => write!(f, "site {site} is the last one in service"),
        }
    }
}

/// The state for output to people.
pub fn state_label(state: &SiteState) -> &'static str {
    match state {
        SiteState::InService => "in service",
        SiteState::Lost => "lost",
        SiteState::Held => "held",
        SiteState::Returning => "returning",
        SiteState::Leaving => "leaving",
        SiteState::Out => "out",
    }
}

/// What has to be done with the shape in service.
#[derive(Clone, Debug, PartialEq)]
pub enum ShapeStep {
    /// At once: the shape without these sites, by the plan for them.
    Exclude(BTreeSet<String>),
    /// In steps: towards the wanted shape without these sites.
    RollOut { excluded: BTreeSet<String>, site: String },
}

/// The state of one site.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Site {
    state: SiteState,
    /// The number of recoveries that were abandoned.
    abandoned_returns: u32,
    retry_at: Moment,
}

/// The states of all sites. Decisions are returned so that they can be journaled; `apply` then makes them
/// effective, also after a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SiteStates {
    sites: BTreeMap<String, Site>,
}

/// A change of a site's state, to be journaled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StateChange {
    pub site: String,
    pub to: SiteState,
    #[serde(rename = "why")]
    pub reason: String,
}

impl SiteStates {
    /// Sets the sites of a new version; others are dropped.
    pub fn set_sites<'a>(&mut self, sites: impl Iterator<Item = &'a str>) {
        let names: BTreeSet<&str> = sites.filter(|site| !site.is_empty()).collect();
        self.sites.retain(|site, _| names.contains(site.as_str()));
        for site in names {
            if !self.sites.contains_key(site) {
                self.sites.insert(site.into(), Site::default());
            }
        }
    }

    /// The state of a site.
    pub fn get(&self, site: &str) -> Option<&SiteState> {
        self.sites.get(site).map(|site| &site.state)
    }

    /// All sites with their states.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &SiteState)> {
        self.sites.iter().map(|(name, site)| (name.as_str(), &site.state))
    }

    /// Sites that no node is to be linked to.
    pub fn excluded(&self) -> BTreeSet<String> {
        let is_excluded = |site: &Site| !matches!(site.state, SiteState::InService | SiteState::Returning);
        self.sites.iter().filter(|(_, site)| is_excluded(site)).map(|(name, _)| name.clone()).collect()
    }

    /// The sites to exclude at once when a site is lost. Steps under way end where they stand: a site that
    /// was leaving stays, and one that was returning is excluded again, unless no other site is left.
    fn excluded_after_loss(&self, lost: &str) -> BTreeSet<String> {
        let is_excluded = |(name, site): &(&String, &Site), returning: bool| {
            let is_out = matches!(site.state, SiteState::Lost | SiteState::Held | SiteState::Out);
            name.as_str() == lost || is_out || returning && site.state == SiteState::Returning
        };
        let excluded_with = |returning| -> BTreeSet<String> {
            self.sites
                .iter()
                .filter(|site| is_excluded(site, returning))
                .map(|(name, _)| name.clone())
                .collect()
        };
        let all = excluded_with(true);
        if all.len() < self.sites.len() { all } else { excluded_with(false) }
    }

    /// Applies a change that was journaled, now or by a predecessor.
    pub fn apply(&mut self, change: &StateChange, now: Moment) {
        let Some(site) = self.sites.get_mut(&change.site) else { return };
        if site.state == SiteState::Returning && matches!(change.to, SiteState::Held | SiteState::Lost) {
            site.abandoned_returns += 1;
            let factor = 2f64.powi(site.abandoned_returns.saturating_sub(1).min(16) as i32);
            site.retry_at = now + (FIRST_RETRY_DELAY * factor).min(MAX_RETRY_DELAY);
        }
        if change.to == SiteState::InService {
            site.abandoned_returns = 0;
        }
        site.state = change.to;
    }

    /// The failure detector's view of a site has changed.
    pub fn on_view_change(&self, change: &ViewChange) -> Option<(StateChange, Option<ShapeStep>)> {
        let state = self.get(&change.site)?;
        let state_change = |to: SiteState, reason: &str| StateChange {
            site: change.site.clone(),
            to,
            reason: reason.into(),
        };
        match (&change.to, state) {
            (SiteView::Lost, SiteState::Lost | SiteState::Out) => None,
            (SiteView::Lost, _) => {
                let excluded = self.excluded_after_loss(&change.site);
                let reason = format!("not heard by any other site for {:.1} s", change.seen_for.seconds());
                Some((state_change(SiteState::Lost, &reason), Some(ShapeStep::Exclude(excluded))))
            }
            (_, SiteState::Lost) => Some((state_change(SiteState::Held, "heard again"), None)),
            _ => None,
        }
    }

    /// A site that may start to return now: one at a time, while nothing else changes.
    pub fn next_readmission(
        &self,
        is_changing: bool,
        is_held: impl Fn(&str) -> bool,
        now: Moment,
    ) -> Option<(StateChange, ShapeStep)> {
        if is_changing
            || self.sites.values().any(|s| matches!(s.state, SiteState::Returning | SiteState::Leaving))
        {
            return None;
        }
        let can_return = |(name, site): &(&String, &Site)| {
            site.state == SiteState::Held && now >= site.retry_at && !is_held(name)
        };
        let (name, _) = self.sites.iter().find(can_return)?;
        Some(self.roll_out(name, SiteState::Returning, "it was heard without interruption for its hold time"))
    }

    fn roll_out(&self, site: &str, to: SiteState, reason: &str) -> (StateChange, ShapeStep) {
        let mut excluded = self.excluded();
        match to {
            SiteState::Returning => excluded.remove(site),
            _ => excluded.insert(site.into()),
        };
        let change = StateChange { site: site.into(), to, reason: reason.into() };
        (change, ShapeStep::RollOut { excluded, site: site.into() })
    }

    /// Handles an operator's command.
    pub fn command(
        &self,
        site: &str,
        command: SiteCommand,
        by: &str,
        is_changing: bool,
    ) -> Result<(StateChange, Option<ShapeStep>), CommandError> {
        let state = self.get(site).ok_or_else(|| CommandError::Unknown { site: site.into() })?;
        let already = || CommandError::Already { site: site.into(), state: *state };
        let state_change = |to| StateChange { site: site.into(), to, reason: format!("requested by {by}") };
        match (command, state) {
            (SiteCommand::Hold, SiteState::Out) => Err(already()),
            (SiteCommand::Hold, SiteState::Lost | SiteState::Held) => {
                Ok((state_change(SiteState::Out), None))
            }
            (SiteCommand::Hold | SiteCommand::Leave, SiteState::InService)
                if self.is_last_in_service(site) =>
            {
                Err(CommandError::LastSite { site: site.into() })
            }
            (SiteCommand::Leave, SiteState::InService) | (SiteCommand::Hold, SiteState::InService)
                if is_changing =>
            {
                Err(CommandError::Busy)
            }
            (SiteCommand::Hold | SiteCommand::Leave, SiteState::InService) => {
                let (change, step) = self.roll_out(site, SiteState::Leaving, &format!("requested by {by}"));
                Ok((change, Some(step)))
            }
            // The steps end where they stand, and the site is out at once.
            (SiteCommand::Hold, SiteState::Returning) => {
                let mut excluded = self.excluded();
                excluded.insert(site.into());
                Ok((state_change(SiteState::Out), Some(ShapeStep::Exclude(excluded))))
            }
            (SiteCommand::Return, SiteState::Out) => Ok((state_change(SiteState::Held), None)),
            (SiteCommand::Return, SiteState::Lost) => Err(CommandError::IsLost { site: site.into() }),
            _ => Err(already()),
        }
    }

    fn is_last_in_service(&self, site: &str) -> bool {
        let excluded = self.excluded();
        self.sites.keys().all(|other| other == site || excluded.contains(other))
    }

    /// The steps of a change have ended, or the change was abandoned.
    pub fn on_change_ended(&self, complete: bool) -> Option<StateChange> {
        let in_steps =
            |(_, site): &(&String, &Site)| matches!(site.state, SiteState::Returning | SiteState::Leaving);
        let (name, site) = self.sites.iter().find(in_steps)?;
        let (to, reason) = match (&site.state, complete) {
            (SiteState::Returning, true) => (SiteState::InService, "its upstream links are restored"),
            (SiteState::Returning, false) => (SiteState::Held, "its return was abandoned"),
            (SiteState::Leaving, true) => (SiteState::Out, "no node is linked to it any more"),
            _ => (SiteState::InService, "its evacuation was abandoned"),
        };
        Some(StateChange { site: name.clone(), to, reason: reason.into() })
    }
}
