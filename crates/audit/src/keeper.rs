//! The keeper's state machine: what it hears, what it answers, what it decides. Like the other services' it does no input or
//! output: effects come back in their order, a record before all that follows from it, and whoever leads next opens it from
//! what was agreed on. Only who is held back and what was withdrawn stands in the group's log; records of processes are on
//! the disk of the member that took them.
use crate::chain::Link;
use crate::history::{History, LinkOutcome};
use crate::lagging::{Decision, Members, UpdateMethod};
use crate::messages::{
    AdmissionRules, Adoption as TakenUp, KeeperMessage, KeeperStatus, OperatorRequest, OperatorResponse,
    Report, Role, Update,
};
use crate::obligations::{Obligations, VersionKind};
use crate::stamp::Stamp;
use harestage::time::{Moment, Span};
use harestage_shape::config::ShapeConfig;
use harestage_shape::feed;
use harestage_shape::topology::{Node, Shape};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a process may act for without hearing from the keeper again.
pub const LEASE: Span = Span::millis(3_000);
/// Versions that are kept for differences.
const MOST_SHAPES: usize = 16;
/// A decision that was not agreed on within as long is made again, if it still holds.
const AGREES_WITHIN: Span = Span::millis(2_000);

/// A line of the group's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub term: u64,
    pub entry: Entry,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    Opened,
    Decided(Decision),
}

/// What has to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Agreed on before anything that follows.
    Write(Record),
    /// It is so from now on: to be entered, and said.
    Decided(Decision),
}

pub struct KeeperState {
    term: u64,
    history: History,
    members: Members,
    owed: Obligations,
    shapes: BTreeMap<u64, Shape>,
    why: BTreeMap<String, String>,
    /// Decisions that wait for the group, by whom they are about, since when.
    pending: BTreeMap<String, Moment>,
}

/// Whom a decision is about.
fn about(decision: &Decision) -> String {
    match decision {
        Decision::Excluded { member, .. }
        | Decision::ShareRaised { member, .. }
        | Decision::Readmitted { member } => member.clone(),
        Decision::Withdrawn { shape, .. } => format!("version {shape}"),
    }
}

impl KeeperState {
    /// Takes the keeper up from its group's log. What comes back first is the record of the new term.
    pub fn open(records: &[Record], now: Moment) -> (KeeperState, Vec<Effect>) {
        let term = records.iter().map(|record| record.term).max().unwrap_or(0) + 1;
        let mut keep = KeeperState {
            term,
            history: History::default(),
            members: Members::new(now),
            owed: Obligations::default(),
            shapes: BTreeMap::new(),
            why: BTreeMap::new(),
            pending: BTreeMap::new(),
        };
        // A line of an older term behind one of a newer term was written by a keeper that had been replaced.
        let mut highest = 0;
        for record in records {
            if record.term >= highest
                && let Entry::Decided(decision) = &record.entry
            {
                keep.apply_decision(decision, now);
            }
            highest = highest.max(record.term);
        }
        (keep, vec![Effect::Write(Record { term, entry: Entry::Opened })])
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    pub fn history(&mut self) -> &mut History {
        &mut self.history
    }

    /// A version of the shape is in service.
    pub fn shape_published(&mut self, form: &ShapeConfig, now: Moment) {
        let Ok(shape) = Shape::from_config(form) else { return };
        self.owed.publish(VersionKind::Shape, form.version, now);
        self.history.shape_published(form.version, may_pull_from(form));
        self.shapes.insert(form.version, shape);
        while self.shapes.len() > MOST_SHAPES {
            self.shapes.pop_first();
        }
    }

    /// Purges up to that number were told.
    pub fn purges_published(&mut self, number: u64, now: Moment) {
        if number > 0 {
            self.owed.publish(VersionKind::Purge, number, now);
        }
    }

    /// A process has reported. What comes back has to be on disk before it is answered.
    pub fn on_report(&mut self, report: &Report, now: Moment) -> Vec<Link> {
        self.history.on_report(&report.member, report.start, report.now_ms, now);
        let of_member = |link: &&Link| link.member == report.member && link.start == report.start;
        let links = report.links.iter().filter(of_member);
        let new: Vec<Link> = links
            .filter(|link| self.history.add_link(link, &self.owed, now) == LinkOutcome::New)
            .cloned()
            .collect();
        let Report { member, role, site, start, stamp, rejected: refuses, .. } = report;
        self.members.on_report(member, *role, site, *start, *stamp, refuses.clone(), now);
        new
    }

    /// Links that this member's disk held from before: chains go on where they stood, and nobody counts as heard by them.
    pub fn restore_links(&mut self, links: &[Link], now: Moment) {
        links.iter().for_each(|link| drop(self.history.add_link(link, &self.owed, now)));
    }

    /// The answer to a report all of whose new links are on disk.
    pub fn answer_report(&mut self, report: &Report, now: Moment) -> KeeperMessage {
        let shut = self.members.share(&report.member).filter(|share| share.0 == 0.0);
        let why = || self.why.get(&report.member).cloned().unwrap_or_else(|| "shut out".into());
        let shut = shut.map(|_| why());
        let refuse = (report.role == Role::Hub).then(|| self.refusals(now));
        let way = self.members.next_update(&report.member, &self.owed, now);
        KeeperMessage::Ack {
            term: self.term,
            start: report.start,
            upto: self.history.last_contiguous(&report.member, report.start),
            lease_ms: LEASE.as_micros() / 1_000,
            excluded: shut,
            update: way.and_then(|way| self.bring(report, way)),
            admission: refuse,
        }
    }

    fn refusals(&self, now: Moment) -> AdmissionRules {
        let (shape, purge) = self.owed.min_allowed(now);
        let shut = self.members.excluded().into_iter().map(|(name, share)| (name, share.0)).collect();
        AdmissionRules { excluded: shut, min_shape: shape, min_purge: purge }
    }

    fn bring(&self, report: &Report, way: UpdateMethod) -> Option<Update> {
        let due = self.shapes.get(&self.owed.newest(VersionKind::Shape))?;
        if way == UpdateMethod::Restart {
            return Some(Update::Restart {
                reason: format!("version {} was not taken otherwise", due.version()),
            });
        }
        match report.role {
            Role::Router => {
                let event = feed::version_event(1, None, None, due, &report.site);
                Some(Update::Membership { event: String::from_utf8_lossy(&event).trim_end().into() })
            }
            Role::Feed => {
                let shape = Box::new(feed::config_for_branch(due, &report.site)?);
                Some(Update::Full { shape, plans: Vec::new() })
            }
            Role::Hub => {
                let own = self.shapes.get(&report.stamp.shape).filter(|_| way == UpdateMethod::Difference);
                let difference = own.and_then(|own| difference(own, due));
                Some(difference.unwrap_or_else(|| Update::Full {
                    shape: Box::new(feed::config_for_hubs(due)),
                    plans: Vec::new(),
                }))
            }
        }
    }

    /// To be called some times a second.
    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        self.history.tick(now);
        self.pending.retain(|_, since| now.since(*since) < AGREES_WITHIN);
        let mut effects = Vec::new();
        for decision in self.members.tick(&self.owed, now) {
            let about = about(&decision);
            if self.pending.contains_key(&about) {
                continue;
            }
            self.pending.insert(about, now);
            let entry = Entry::Decided(decision.clone());
            effects.extend([Effect::Write(Record { term: self.term, entry }), Effect::Decided(decision)]);
        }
        effects
    }

    /// A decision stands: agreed on now, or found in the log.
    pub fn apply_decision(&mut self, decision: &Decision, now: Moment) {
        self.pending.remove(&about(decision));
        match decision {
            Decision::Excluded { member, reason: why } => drop(self.why.insert(member.clone(), why.clone())),
            Decision::Readmitted { member } => drop(self.why.remove(member)),
            Decision::Withdrawn { shape, .. } => self.owed.withdraw(VersionKind::Shape, *shape),
            Decision::ShareRaised { .. } => {}
        }
        self.members.apply_decision(decision, now);
    }

    /// The newest version before that one: what is gone back to when it is withdrawn.
    pub fn previous_version(&self, shape: u64) -> Option<ShapeConfig> {
        self.shapes.range(..shape).next_back().map(|(_, shape)| shape.to_config())
    }

    /// The log anew: how everybody is held back now.
    pub fn snapshot(&self) -> Vec<Record> {
        let record = |entry| Record { term: self.term, entry };
        let shut = self.members.excluded().into_iter().flat_map(|(member, share)| {
            let why = self.why.get(&member).cloned().unwrap_or_default();
            let out = Decision::Excluded { member: member.clone(), reason: why };
            let eased = (share.0 > 0.0).then_some(Decision::ShareRaised { member, share });
            std::iter::once(out).chain(eased)
        });
        std::iter::once(record(Entry::Opened)).chain(shut.map(|d| record(Entry::Decided(d)))).collect()
    }

    /// Answers what an operator asks.
    pub fn answer_operator(&self, call: &OperatorRequest, now: Moment) -> OperatorResponse {
        match call {
            OperatorRequest::AuditStatus => OperatorResponse::Status(Box::new(self.status(now))),
            OperatorRequest::AuditWho { from_ms, to_ms } if from_ms > to_ms => {
                OperatorResponse::Refused(format!("from {from_ms} is after to {to_ms}"))
            }
            OperatorRequest::AuditWho { from_ms, to_ms } => {
                OperatorResponse::Who(self.history.periods_between(*from_ms, *to_ms))
            }
            OperatorRequest::AuditWhen { shape, purge } => self.when(*shape, *purge),
            OperatorRequest::AuditLagging => OperatorResponse::Lagging(self.members.status(&self.owed, now)),
            OperatorRequest::AuditExplain { id } => {
                OperatorResponse::Explained(self.history.intervals_with(*id))
            }
        }
    }

    fn when(&self, shape: Option<u64>, purge: Option<u64>) -> OperatorResponse {
        let (kind, number) = match (shape, purge) {
            (Some(shape), None) => (VersionKind::Shape, shape),
            (None, Some(purge)) => (VersionKind::Purge, purge),
            _ => return OperatorResponse::Refused("one of shape and purge has to be named".into()),
        };
        let has = |stamp: &Stamp| {
            if kind == VersionKind::Shape { stamp.shape >= number } else { stamp.purge >= number }
        };
        let due_ms = self.owed.behind_since(kind, number.saturating_sub(1)).map(|at| at.micros() / 1_000);
        let taken = self.history.adoption_times(has).into_iter().map(|((member, start), at_ms)| TakenUp {
            member,
            start,
            at_ms,
            after_ms: at_ms.zip(due_ms).map(|(at, due)| at.saturating_sub(due)),
        });
        OperatorResponse::When(taken.collect())
    }

    fn status(&self, now: Moment) -> KeeperStatus {
        KeeperStatus {
            term: self.term,
            now_ms: now.micros() / 1_000,
            shape: self.owed.newest(VersionKind::Shape),
            purge: self.owed.newest(VersionKind::Purge),
            members: self.members.status(&self.owed, now),
            excluded: self.members.excluded(),
            chains: self.history.summary(),
            findings: self.history.findings().cloned().collect(),
        }
    }
}

/// The ties that differ, where both versions name the same hubs.
fn difference(own: &Shape, due: &Shape) -> Option<Update> {
    let names = |shape: &Shape| shape.hubs().map(|(_, hub)| hub.name.clone()).collect::<BTreeSet<_>>();
    if names(own) != names(due) {
        return None;
    }
    let differs = due.hubs().filter_map(|(_, hub)| {
        let at = own.find(&hub.name)?;
        let was = own.node(at).and_then(Node::as_hub)?;
        (was.up != hub.up).then(|| (hub.name.clone(), hub.up.clone()))
    });
    Some(Update::Difference { from: own.version(), to: due.version(), ties: differs.collect() })
}

/// For each branch, the hubs that its routers may pull from: those that it is tied to, and those that stand as its caches.
fn may_pull_from(form: &ShapeConfig) -> BTreeMap<String, BTreeSet<String>> {
    let of_branch = |branch: &harestage_shape::config::BranchConfig| {
        let as_cache = |address: &String| branch.caches.iter().any(|cache| cache.address == *address);
        let caches = form.hubs.iter().filter(|hub| as_cache(&hub.address)).map(|hub| hub.name.clone());
        (branch.name.clone(), branch.hubs.iter().cloned().chain(caches).collect())
    };
    form.branches.iter().map(of_branch).collect()
}
