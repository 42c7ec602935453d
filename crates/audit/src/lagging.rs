//! Lagging members: which one is updated next and how, which are excluded, which are readmitted with which share, and which
//! version is withdrawn. The results are [`Decision`]s. They are committed to the keeper's log before they have any effect,
//! and are then applied with [`Members::apply_decision`], also after a restart.
//!
//! The number of exclusions is limited: at most a third of the members of one site and role (one of two), and never the only
//! one. So a wrong audit (after a disk with old data, or with a wrong clock) costs a site at most a third of its members.
use crate::messages::Role;
use crate::obligations::{Obligations, Staleness, VersionKind};
use crate::stamp::Stamp;
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A member that has not reported for this time is unreachable.
pub const UNREACHABLE_AFTER: Span = Span::millis(3_000);
/// A member that has not reported for this time is removed, unless it is excluded.
const REMOVED_AFTER: Span = Span::millis(3_600_000);
/// Most members; reports of further ones are ignored.
const MAX_MEMBERS: usize = 16_384;
/// Attempts with each update method before the next one is used.
const ATTEMPTS_PER_METHOD: u32 = 2;
/// Time between two attempts at one member.
const ATTEMPT_INTERVAL: Span = Span::millis(600);
/// Token bucket for updates of the whole fleet: tokens per second.
const TOKENS_PER_SECOND: f64 = 60.0;
/// Capacity of the token bucket.
const MAX_TOKENS: f64 = 30.0;
/// Tokens of an update by a difference. Any other update takes one token.
const DIFFERENCE_TOKENS: f64 = 0.1;
/// Number of starts without the newest version, within [`CRASH_WINDOW`], after which a member counts as crashing on it.
const CRASHING_STARTS: usize = 3;
/// Period in which starts are counted.
const CRASH_WINDOW: Span = Span::millis(60_000);
/// A version is faulty and is withdrawn if at least this many members, and this share of the reachable ones, reject it.
const WITHDRAWAL_QUORUM: (usize, f64) = (3, 0.3);
/// Shares at which a member is readmitted.
const READMISSION_SHARES: [f64; 2] = [0.25, 0.6];
/// Time for which a member has to be up to date before each step.
const READMISSION_STEP: Span = Span::millis(1_000);

/// Share of the pulls of an excluded member that hubs admit; 0 admits none.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Share(pub f64);

/// A decision that has to be committed before it takes effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "decided")]
pub enum Decision {
    /// A member is excluded.
    #[serde(rename = "shut")]
    Excluded {
        member: String,
        #[serde(rename = "why")]
        reason: String,
    },
    /// The admitted share of an excluded member is raised.
    #[serde(rename = "eased")]
    ShareRaised { member: String, share: Share },
    /// A member is no longer excluded.
    #[serde(rename = "freed")]
    Readmitted { member: String },
    /// A version is withdrawn.
    Withdrawn { shape: u64, refused_by: Vec<String> },
}

/// Why a member does not adopt a version that was sent to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Obstacle {
    /// It has rejected the version.
    #[serde(rename = "refuses")]
    Rejects {
        shape: u64,
        #[serde(rename = "why")]
        reason: String,
    },
    /// It has started this often without adopting the version.
    Crashes { shape: u64, starts: usize },
}

/// How a member is updated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpdateMethod {
    /// Only the changed upstream links are sent.
    Difference,
    /// The whole version is sent.
    #[serde(rename = "whole")]
    Full,
    /// The process is asked to restart.
    Restart,
}

/// Status of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub member: String,
    pub role: Role,
    pub site: String,
    pub stamp: Stamp,
    #[serde(rename = "stands")]
    pub staleness: Staleness,
    /// How long it has been behind.
    #[serde(rename = "lacks_ms")]
    pub behind_ms: Option<u64>,
    /// Time since its last report.
    pub silent_ms: u64,
    #[serde(rename = "reached")]
    pub reachable: bool,
    #[serde(rename = "cannot")]
    pub obstacle: Option<Obstacle>,
    /// Admitted share; none if it is not excluded.
    pub share: Option<Share>,
    /// It should be excluded, but the limit for its site is reached.
    #[serde(rename = "kept_in")]
    pub kept_by_floor: bool,
    /// Number of updates sent to it.
    #[serde(rename = "brought")]
    pub updates_sent: u32,
}

#[derive(Clone, Debug)]
struct Member {
    role: Role,
    site: String,
    start: u64,
    stamp: Stamp,
    last_heard: Moment,
    /// Time and method of the last update, and the number of attempts with that method.
    last_update: Option<(Moment, UpdateMethod, u32)>,
    updates_sent: u32,
    /// Its recent starts, with the version of the shape at each.
    starts: VecDeque<(Moment, u64)>,
    rejected: Option<(u64, String)>,
    /// Since when it has been reachable and not late.
    well_since: Option<Moment>,
    kept_by_floor: bool,
}

/// All members that report to the keeper.
#[derive(Debug, Default)]
pub struct Members {
    members: BTreeMap<String, Member>,
    /// Admitted shares of excluded members, as in the log.
    shares: BTreeMap<String, Share>,
    /// When the share of a member was last raised.
    share_raised: BTreeMap<String, Moment>,
    withdrawn: BTreeSet<u64>,
    tokens: f64,
    tokens_updated: Moment,
}

impl Members {
    /// No members yet, and a full token bucket.
    pub fn new(now: Moment) -> Members {
        Members { tokens: MAX_TOKENS, tokens_updated: now, ..Members::default() }
    }

    /// Applies a committed decision.
    pub fn apply_decision(&mut self, decision: &Decision, now: Moment) {
        match decision {
            Decision::Excluded { member, .. } => {
                self.shares.insert(member.clone(), Share(0.0));
                self.share_raised.remove(member);
            }
            Decision::ShareRaised { member, share } => {
                self.shares.insert(member.clone(), *share);
                self.share_raised.insert(member.clone(), now);
            }
            Decision::Readmitted { member } => {
                self.shares.remove(member);
                self.share_raised.remove(member);
            }
            Decision::Withdrawn { shape, .. } => drop(self.withdrawn.insert(*shape)),
        }
    }

    /// Handles a report of a member.
    #[allow(clippy::too_many_arguments)]
    pub fn on_report(
        &mut self,
        name: &str,
        role: Role,
        site: &str,
        start: u64,
        stamp: Stamp,
        rejected: Option<(u64, String)>,
        now: Moment,
    ) {
        if self.members.len() >= MAX_MEMBERS && !self.members.contains_key(name) {
            return;
        }
        let new = Member {
            role,
            site: site.into(),
            start: 0,
            stamp,
            last_heard: now,
            last_update: None,
            updates_sent: 0,
            starts: VecDeque::new(),
            rejected: None,
            well_since: None,
            kept_by_floor: false,
        };
        let member = self.members.entry(name.into()).or_insert(new);
        // Of two processes with one name, the one that started last counts.
        if start < member.start {
            return;
        }
        if start > member.start {
            member.start = start;
            member.starts.push_back((now, stamp.shape));
            member.starts.retain(|(at, _)| now.since(*at) < CRASH_WINDOW);
        }
        if stamp != member.stamp {
            member.last_update = None;
        }
        (member.role, member.site, member.stamp, member.last_heard) = (role, site.into(), stamp, now);
        member.rejected = rejected;
    }

    /// Admitted share of a member; none if it is not excluded.
    pub fn share(&self, member: &str) -> Option<Share> {
        self.shares.get(member).copied()
    }

    /// All excluded members with their admitted shares.
    pub fn excluded(&self) -> Vec<(String, Share)> {
        self.shares.iter().map(|(name, share)| (name.clone(), *share)).collect()
    }

    /// Why a member does not adopt the newest version, if there is a reason.
    fn obstacle(&self, member: &Member, obligations: &Obligations) -> Option<Obstacle> {
        let due = obligations.newest(VersionKind::Shape);
        if let Some((shape, reason)) = &member.rejected {
            return Some(Obstacle::Rejects { shape: *shape, reason: reason.clone() });
        }
        let starts_without = member.starts.iter().filter(|(_, shape)| *shape < due).count();
        let crashes = starts_without >= CRASHING_STARTS && member.stamp.shape < due;
        crashes.then_some(Obstacle::Crashes { shape: due, starts: starts_without })
    }

    /// Returns the decisions that are due; to be called several times a second. None has an effect before it is applied.
    pub fn tick(&mut self, obligations: &Obligations, now: Moment) -> Vec<Decision> {
        let shares = &self.shares;
        self.members
            .retain(|name, member| now.since(member.last_heard) < REMOVED_AFTER || shares.contains_key(name));
        for member in self.members.values_mut() {
            let well = obligations.staleness(&member.stamp, now) <= Staleness::Harmless
                && now.since(member.last_heard) < UNREACHABLE_AFTER;
            member.well_since = if well { member.well_since.or(Some(now)) } else { None };
        }
        let mut decisions = self.readmit(obligations, now);
        decisions.extend(self.exclude(obligations, now));
        decisions.extend(self.withdraw(obligations, now));
        decisions
    }

    /// Readmits members in steps while they are well, and excludes those again that have become forbidden.
    fn readmit(&self, obligations: &Obligations, now: Moment) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for (name, share) in &self.shares {
            let Some(member) = self.members.get(name) else { continue };
            let relapsed = share.0 > 0.0 && obligations.staleness(&member.stamp, now) == Staleness::Forbidden;
            if relapsed {
                decisions.push(Decision::Excluded { member: name.clone(), reason: "it fell back".into() });
                continue;
            }
            let since = self.share_raised.get(name).copied().max(member.well_since);
            if member.well_since.is_none() || since.is_none_or(|since| now.since(since) < READMISSION_STEP) {
                continue;
            }
            let next = READMISSION_SHARES.into_iter().find(|step| *step > share.0);
            decisions.push(match next {
                Some(step) => Decision::ShareRaised { member: name.clone(), share: Share(step) },
                None => Decision::Readmitted { member: name.clone() },
            });
        }
        decisions
    }

    /// Excludes routers with forbidden stamps, those first that have been behind for longest, up to the limit for each site.
    fn exclude(&mut self, obligations: &Obligations, now: Moment) -> Vec<Decision> {
        let mut due: Vec<(Moment, String)> = Vec::new();
        for (name, member) in &self.members {
            let forbidden = obligations.staleness(&member.stamp, now) == Staleness::Forbidden;
            if forbidden && !self.shares.contains_key(name) && member.role == Role::Router {
                due.extend(
                    obligations.most_overdue(&member.stamp, now).map(|(_, _, since)| (since, name.clone())),
                );
            }
        }
        due.sort();
        let mut excluded_by_site: BTreeMap<(Role, String), usize> = BTreeMap::new();
        for member in self.shares.keys().filter_map(|name| self.members.get(name)) {
            *excluded_by_site.entry((member.role, member.site.clone())).or_default() += 1;
        }
        let mut decisions = Vec::new();
        let due_names: BTreeSet<String> = due.iter().map(|(_, name)| name.clone()).collect();
        for (since, name) in due {
            let Some((role, site)) = self.members.get(&name).map(|m| (m.role, m.site.clone())) else {
                continue;
            };
            let all = self.members.values().filter(|m| m.role == role && m.site == site).count();
            let excluded = excluded_by_site.entry((role, site)).or_default();
            let kept_by_floor = *excluded >= max_excluded(all);
            if !kept_by_floor {
                *excluded += 1;
                let behind_ms = now.since(since).as_micros() / 1_000;
                let reason = format!("it has gone by what is forbidden for {behind_ms} ms");
                decisions.push(Decision::Excluded { member: name.clone(), reason });
            }
            self.members.get_mut(&name).into_iter().for_each(|member| member.kept_by_floor = kept_by_floor);
        }
        let others = self.members.iter_mut().filter(|(name, _)| !due_names.contains(*name));
        others.for_each(|(_, member)| member.kept_by_floor = false);
        decisions
    }

    /// Withdraws the newest version if many reachable members can't adopt it.
    fn withdraw(&self, obligations: &Obligations, now: Moment) -> Vec<Decision> {
        let due = obligations.newest(VersionKind::Shape);
        let reachable: Vec<(&String, &Member)> =
            self.members.iter().filter(|(_, m)| now.since(m.last_heard) < UNREACHABLE_AFTER).collect();
        let is_of_due = |obstacle: Obstacle| match obstacle {
            Obstacle::Rejects { shape, .. } | Obstacle::Crashes { shape, .. } => shape == due,
        };
        let rejecting: Vec<String> = reachable
            .iter()
            .filter(|(_, member)| self.obstacle(member, obligations).is_some_and(is_of_due))
            .map(|(name, _)| name.to_string())
            .collect();
        let is_faulty = rejecting.len() >= WITHDRAWAL_QUORUM.0
            && rejecting.len() as f64 >= reachable.len() as f64 * WITHDRAWAL_QUORUM.1;
        if due == 0 || !is_faulty || self.withdrawn.contains(&due) {
            return Vec::new();
        }
        vec![Decision::Withdrawn { shape: due, refused_by: rejecting }]
    }

    /// Adds the tokens since the last call.
    fn refill_tokens(&mut self, now: Moment) {
        let passed = now.since(self.tokens_updated).seconds();
        self.tokens_updated = now;
        self.tokens = (self.tokens + passed * TOKENS_PER_SECOND).min(MAX_TOKENS);
    }

    /// The update to send to a member that reports now, if any. Members with a worse staleness come first; those that can't
    /// adopt the due version are not tried again.
    pub fn next_update(
        &mut self,
        name: &str,
        obligations: &Obligations,
        now: Moment,
    ) -> Option<UpdateMethod> {
        self.refill_tokens(now);
        let member = self.members.get(name)?;
        let due = obligations.newest(VersionKind::Shape);
        let staleness = obligations.staleness(&member.stamp, now);
        // Before that the control service updates it in the regular way.
        if member.stamp.shape >= due
            || staleness < Staleness::Late
            || self.obstacle(member, obligations).is_some()
        {
            return None;
        }
        let method = match member.last_update {
            Some((at, ..)) if now.since(at) < ATTEMPT_INTERVAL => return None,
            None => UpdateMethod::Difference,
            Some((_, method, attempts)) if attempts < ATTEMPTS_PER_METHOD => method,
            Some((_, UpdateMethod::Difference, _)) => UpdateMethod::Full,
            Some((_, UpdateMethod::Full, _)) => UpdateMethod::Restart,
            Some((_, UpdateMethod::Restart, _)) => return None,
        };
        let cost = if method == UpdateMethod::Difference { DIFFERENCE_TOKENS } else { 1.0 };
        let more_urgent = |other: &&Member| {
            let waits = other.stamp.shape < due && now.since(other.last_heard) < UNREACHABLE_AFTER;
            let was_updated = other.last_update.is_some_and(|(at, ..)| now.since(at) < ATTEMPT_INTERVAL);
            waits && !was_updated && obligations.staleness(&other.stamp, now) > staleness
        };
        let more_urgent_count = self.members.values().filter(more_urgent).count() as f64;
        if self.tokens < cost * (1.0 + more_urgent_count) {
            return None;
        }
        self.tokens -= cost;
        let member = self.members.get_mut(name)?;
        let attempts =
            member.last_update.filter(|(_, last, _)| *last == method).map_or(0, |(.., attempts)| attempts);
        member.last_update = Some((now, method, attempts + 1));
        member.updates_sent += 1;
        Some(method)
    }

    /// Status of all members.
    pub fn status(&self, obligations: &Obligations, now: Moment) -> Vec<MemberStatus> {
        let status = |(name, member): (&String, &Member)| MemberStatus {
            member: name.clone(),
            role: member.role,
            site: member.site.clone(),
            stamp: member.stamp,
            staleness: obligations.staleness(&member.stamp, now),
            behind_ms: obligations
                .most_overdue(&member.stamp, now)
                .map(|(_, _, since)| now.since(since).as_micros() / 1_000),
            silent_ms: now.since(member.last_heard).as_micros() / 1_000,
            reachable: now.since(member.last_heard) < UNREACHABLE_AFTER,
            obstacle: self.obstacle(member, obligations),
            share: self.share(name),
            kept_by_floor: member.kept_by_floor,
            updates_sent: member.updates_sent,
        };
        self.members.iter().map(status).collect()
    }

    /// The last reported stamp of a member.
    pub fn stamp(&self, name: &str) -> Option<Stamp> {
        self.members.get(name).map(|member| member.stamp)
    }
}

/// Most members of a site that the audit may exclude.
pub fn max_excluded(members: usize) -> usize {
    match members {
        0 | 1 => 0,
        2 => 1,
        count => count / 3,
    }
}
