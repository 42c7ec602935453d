//! Those who lag behind: who is brought up next and by which way, who is shut out, who is let in again and by how much, and
//! which version is to be taken back. What is decided comes back as [`Decision`]s, which stand in the keeper's log before
//! anything follows from them; [`Members::enter`] takes them in, also after a restart.
//!
//! A floor holds whatever the audit believes: of the members of one site and kind, a third at most are shut out, and never
//! the only one. An audit that is wrong (an old disk, a clock that is off) therefore costs a third, and not the site.
use crate::messages::Role;
use crate::obligations::{Obligations, Staleness, VersionKind};
use crate::stamp::Stamp;
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Who has not reported for as long is out of reach.
pub const UNREACHABLE_AFTER: Span = Span::millis(3_000);
/// And is forgotten after as long, unless it is shut out.
const FORGOTTEN: Span = Span::millis(3_600_000);
const MOST_MEMBERS: usize = 16_384;
/// Ways of bringing up are tried so often each before the next one is.
const TRIES: u32 = 2;
/// Between two tries at one member.
const TRIES_EVERY: Span = Span::millis(600);
/// Bringing up over the whole fleet: what a whole version costs, a second, and what may be saved up. A difference costs a
/// tenth.
const BUDGET: f64 = 60.0;
const SAVED: f64 = 30.0;
const DIFFERENCE: f64 = 0.1;
/// Starts within as long that all end without the version: it crashes on it.
const CRASHES: usize = 3;
const CRASHES_WITHIN: Span = Span::millis(60_000);
/// A version that so many refuse, and so large a part of those who report, is itself at fault.
const WITHDRAWN_BY: (usize, f64) = (3, 0.3);
/// Shares in which a member is let in again, and how long it stays good at each.
const STEPS: [f64; 2] = [0.25, 0.6];
const STEP: Span = Span::millis(1_000);

/// The share of a member's pulls that is let in; 0 shuts it out.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Share(pub f64);

/// What has to stand in the log before it is so.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "decided")]
pub enum Decision {
    #[serde(rename = "shut")]
    Excluded {
        member: String,
        #[serde(rename = "why")]
        reason: String,
    },
    /// Let in by so much.
    #[serde(rename = "eased")]
    ShareRaised { member: String, share: Share },
    #[serde(rename = "freed")]
    Readmitted { member: String },
    /// The version is to be taken back.
    Withdrawn { shape: u64, refused_by: Vec<String> },
}

/// Why a member does not take a version that it could have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Obstacle {
    #[serde(rename = "refuses")]
    Rejects {
        shape: u64,
        #[serde(rename = "why")]
        reason: String,
    },
    /// It has started so often without taking it.
    Crashes { shape: u64, starts: usize },
}

/// How a member is brought up next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpdateMethod {
    Difference,
    #[serde(rename = "whole")]
    Full,
    Restart,
}

/// What is told of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub member: String,
    pub role: Role,
    pub site: String,
    pub stamp: Stamp,
    #[serde(rename = "stands")]
    pub staleness: Staleness,
    /// How long it has lacked something.
    #[serde(rename = "lacks_ms")]
    pub behind_ms: Option<u64>,
    pub silent_ms: u64,
    #[serde(rename = "reached")]
    pub reachable: bool,
    #[serde(rename = "cannot")]
    pub obstacle: Option<Obstacle>,
    /// None: nothing holds it back.
    pub share: Option<Share>,
    /// The floor keeps it in, though it should be out.
    #[serde(rename = "kept_in")]
    pub kept_by_floor: bool,
    #[serde(rename = "brought")]
    pub updates_sent: u32,
}

#[derive(Clone, Debug)]
struct Member {
    role: Role,
    site: String,
    start: u64,
    stamp: Stamp,
    heard: Moment,
    /// When it was told last, by which way, and how often by that.
    told: Option<(Moment, UpdateMethod, u32)>,
    brought: u32,
    /// Its starts of late, with the shape that each came with.
    starts: VecDeque<(Moment, u64)>,
    refuses: Option<(u64, String)>,
    /// Since when it has been good without a break.
    good: Option<Moment>,
    kept_in: bool,
}

/// Everybody that the keeper hears of.
#[derive(Debug, Default)]
pub struct Members {
    members: BTreeMap<String, Member>,
    /// As the log has it, whoever is heard.
    shares: BTreeMap<String, Share>,
    eased: BTreeMap<String, Moment>,
    withdrawn: BTreeSet<u64>,
    tokens: f64,
    filled: Moment,
}

impl Members {
    pub fn new(now: Moment) -> Members {
        Members { tokens: SAVED, filled: now, ..Members::default() }
    }

    /// A decision that stands in the log.
    pub fn apply_decision(&mut self, decision: &Decision, now: Moment) {
        match decision {
            Decision::Excluded { member, .. } => {
                self.shares.insert(member.clone(), Share(0.0));
                self.eased.remove(member);
            }
            Decision::ShareRaised { member, share } => {
                self.shares.insert(member.clone(), *share);
                self.eased.insert(member.clone(), now);
            }
            Decision::Readmitted { member } => {
                self.shares.remove(member);
                self.eased.remove(member);
            }
            Decision::Withdrawn { shape, .. } => drop(self.withdrawn.insert(*shape)),
        }
    }

    /// A member has reported.
    #[allow(clippy::too_many_arguments)]
    pub fn on_report(
        &mut self,
        name: &str,
        role: Role,
        site: &str,
        start: u64,
        stamp: Stamp,
        refuses: Option<(u64, String)>,
        now: Moment,
    ) {
        if self.members.len() >= MOST_MEMBERS && !self.members.contains_key(name) {
            return;
        }
        let fresh = Member {
            role,
            site: site.into(),
            start: 0,
            stamp,
            heard: now,
            told: None,
            brought: 0,
            starts: VecDeque::new(),
            refuses: None,
            good: None,
            kept_in: false,
        };
        let member = self.members.entry(name.into()).or_insert(fresh);
        // Two processes under one name: the one that started last counts.
        if start < member.start {
            return;
        }
        if start > member.start {
            member.start = start;
            member.starts.push_back((now, stamp.shape));
            member.starts.retain(|(at, _)| now.since(*at) < CRASHES_WITHIN);
        }
        if stamp != member.stamp {
            member.told = None;
        }
        (member.role, member.site, member.stamp, member.heard) = (role, site.into(), stamp, now);
        member.refuses = refuses;
    }

    /// The share of a member's pulls that is let in; none: all of it.
    pub fn share(&self, member: &str) -> Option<Share> {
        self.shares.get(member).copied()
    }

    /// Those that hubs hold back.
    pub fn excluded(&self) -> Vec<(String, Share)> {
        self.shares.iter().map(|(name, share)| (name.clone(), *share)).collect()
    }

    fn cannot(&self, member: &Member, owed: &Obligations) -> Option<Obstacle> {
        let due = owed.newest(VersionKind::Shape);
        if let Some((shape, why)) = &member.refuses {
            return Some(Obstacle::Rejects { shape: *shape, reason: why.clone() });
        }
        let without = member.starts.iter().filter(|(_, shape)| *shape < due).count();
        let crashes = without >= CRASHES && member.stamp.shape < due;
        crashes.then_some(Obstacle::Crashes { shape: due, starts: without })
    }

    /// To be called some times a second: what is to be decided now. Nothing of it is so before it is entered.
    pub fn tick(&mut self, owed: &Obligations, now: Moment) -> Vec<Decision> {
        let shares = &self.shares;
        self.members.retain(|name, member| now.since(member.heard) < FORGOTTEN || shares.contains_key(name));
        for member in self.members.values_mut() {
            let good = owed.staleness(&member.stamp, now) <= Staleness::Harmless
                && now.since(member.heard) < UNREACHABLE_AFTER;
            member.good = if good { member.good.or(Some(now)) } else { None };
        }
        let mut decisions = self.let_in(owed, now);
        decisions.extend(self.shut_out(owed, now));
        decisions.extend(self.withdraw(owed, now));
        decisions
    }

    /// Step by step, each only while it stays good.
    fn let_in(&self, owed: &Obligations, now: Moment) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for (name, share) in &self.shares {
            let Some(member) = self.members.get(name) else { continue };
            let relapsed = share.0 > 0.0 && owed.staleness(&member.stamp, now) == Staleness::Forbidden;
            if relapsed {
                decisions.push(Decision::Excluded { member: name.clone(), reason: "it fell back".into() });
                continue;
            }
            let since = self.eased.get(name).copied().max(member.good);
            if member.good.is_none() || since.is_none_or(|since| now.since(since) < STEP) {
                continue;
            }
            let next = STEPS.into_iter().find(|step| *step > share.0);
            decisions.push(match next {
                Some(step) => Decision::ShareRaised { member: name.clone(), share: Share(step) },
                None => Decision::Readmitted { member: name.clone() },
            });
        }
        decisions
    }

    /// Those whose stamp is forbidden, the ones that have lacked something for longest first, as far as the floor lets.
    fn shut_out(&mut self, owed: &Obligations, now: Moment) -> Vec<Decision> {
        let mut due: Vec<(Moment, String)> = Vec::new();
        for (name, member) in &self.members {
            let forbidden = owed.staleness(&member.stamp, now) == Staleness::Forbidden;
            if forbidden && !self.shares.contains_key(name) && member.role == Role::Router {
                due.extend(owed.most_overdue(&member.stamp, now).map(|(_, _, since)| (since, name.clone())));
            }
        }
        due.sort();
        let mut out: BTreeMap<(Role, String), usize> = BTreeMap::new();
        for member in self.shares.keys().filter_map(|name| self.members.get(name)) {
            *out.entry((member.role, member.site.clone())).or_default() += 1;
        }
        let mut decisions = Vec::new();
        let named: BTreeSet<String> = due.iter().map(|(_, name)| name.clone()).collect();
        for (since, name) in due {
            let Some((role, site)) = self.members.get(&name).map(|m| (m.role, m.site.clone())) else {
                continue;
            };
            let all = self.members.values().filter(|m| m.role == role && m.site == site).count();
            let are_out = out.entry((role, site)).or_default();
            let kept_in = *are_out >= max_excluded(all);
            if !kept_in {
                *are_out += 1;
                let lacks_ms = now.since(since).as_micros() / 1_000;
                let why = format!("it has gone by what is forbidden for {lacks_ms} ms");
                decisions.push(Decision::Excluded { member: name.clone(), reason: why });
            }
            self.members.get_mut(&name).into_iter().for_each(|member| member.kept_in = kept_in);
        }
        let others = self.members.iter_mut().filter(|(name, _)| !named.contains(*name));
        others.for_each(|(_, member)| member.kept_in = false);
        decisions
    }

    /// A version that many who are well can't take is at fault itself.
    fn withdraw(&self, owed: &Obligations, now: Moment) -> Vec<Decision> {
        let due = owed.newest(VersionKind::Shape);
        let reached: Vec<(&String, &Member)> =
            self.members.iter().filter(|(_, m)| now.since(m.heard) < UNREACHABLE_AFTER).collect();
        let of_due = |cannot: Obstacle| match cannot {
            Obstacle::Rejects { shape, .. } | Obstacle::Crashes { shape, .. } => shape == due,
        };
        let refuse: Vec<String> = reached
            .iter()
            .filter(|(_, member)| self.cannot(member, owed).is_some_and(of_due))
            .map(|(name, _)| name.to_string())
            .collect();
        let many =
            refuse.len() >= WITHDRAWN_BY.0 && refuse.len() as f64 >= reached.len() as f64 * WITHDRAWN_BY.1;
        if due == 0 || !many || self.withdrawn.contains(&due) {
            return Vec::new();
        }
        vec![Decision::Withdrawn { shape: due, refused_by: refuse }]
    }

    fn fill(&mut self, now: Moment) {
        let passed = now.since(self.filled).seconds();
        self.filled = now;
        self.tokens = (self.tokens + passed * BUDGET).min(SAVED);
    }

    /// Whether a member that reports now is brought up now, and how. Who does more harm goes first; those who can't take
    /// what is due are not tried again.
    pub fn next_update(&mut self, name: &str, owed: &Obligations, now: Moment) -> Option<UpdateMethod> {
        self.fill(now);
        let member = self.members.get(name)?;
        let due = owed.newest(VersionKind::Shape);
        let stands = owed.staleness(&member.stamp, now);
        // A service that speaks tells it by itself at first.
        if member.stamp.shape >= due || stands < Staleness::Late || self.cannot(member, owed).is_some() {
            return None;
        }
        let way = match member.told {
            Some((at, ..)) if now.since(at) < TRIES_EVERY => return None,
            None => UpdateMethod::Difference,
            Some((_, way, times)) if times < TRIES => way,
            Some((_, UpdateMethod::Difference, _)) => UpdateMethod::Full,
            Some((_, UpdateMethod::Full, _)) => UpdateMethod::Restart,
            Some((_, UpdateMethod::Restart, _)) => return None,
        };
        let cost = if way == UpdateMethod::Difference { DIFFERENCE } else { 1.0 };
        let worse = |other: &&Member| {
            let waits = other.stamp.shape < due && now.since(other.heard) < UNREACHABLE_AFTER;
            let told = other.told.is_some_and(|(at, ..)| now.since(at) < TRIES_EVERY);
            waits && !told && owed.staleness(&other.stamp, now) > stands
        };
        let before = self.members.values().filter(worse).count() as f64;
        if self.tokens < cost * (1.0 + before) {
            return None;
        }
        self.tokens -= cost;
        let member = self.members.get_mut(name)?;
        let times = member.told.filter(|(_, last, _)| *last == way).map_or(0, |(.., times)| times);
        member.told = Some((now, way, times + 1));
        member.brought += 1;
        Some(way)
    }

    pub fn status(&self, owed: &Obligations, now: Moment) -> Vec<MemberStatus> {
        let status = |(name, member): (&String, &Member)| MemberStatus {
            member: name.clone(),
            role: member.role,
            site: member.site.clone(),
            stamp: member.stamp,
            staleness: owed.staleness(&member.stamp, now),
            behind_ms: owed
                .most_overdue(&member.stamp, now)
                .map(|(_, _, since)| now.since(since).as_micros() / 1_000),
            silent_ms: now.since(member.heard).as_micros() / 1_000,
            reachable: now.since(member.heard) < UNREACHABLE_AFTER,
            obstacle: self.cannot(member, owed),
            share: self.share(name),
            kept_by_floor: member.kept_in,
            updates_sent: member.brought,
        };
        self.members.iter().map(status).collect()
    }

    pub fn stamp(&self, name: &str) -> Option<Stamp> {
        self.members.get(name).map(|member| member.stamp)
    }
}

/// Of so many members of a site, how many the audit may shut out at most.
pub fn max_excluded(members: usize) -> usize {
    match members {
        0 | 1 => 0,
        2 => 1,
        many => many / 3,
    }
}
