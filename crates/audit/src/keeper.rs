//! The state machine of the audit keeper: it handles reports, answers them, and decides on exclusions. Like those of the other
//! services it does no I/O: it returns effects in order, each record before everything that depends on it, and the next
//! leader restores it from the committed records. The group's log contains only exclusions and withdrawn versions; the
//! records of processes are on the disk of the keeper member that received them.
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

/// Lease of a process: how long it may act without another answer of the keeper.
pub const LEASE: Span = Span::millis(3_000);
/// Most versions that are stored to compute differences.
const MAX_SHAPES: usize = 16;
/// A decision that was not committed within this time is proposed again, if it is still due.
const COMMIT_TIMEOUT: Span = Span::millis(2_000);

/// A record of the group's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub term: u64,
    pub entry: Entry,
}

/// Contents of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A new leader has opened the log.
    Opened,
    /// A decision.
    Decided(Decision),
}

/// What has to be done, in the returned order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Commit the record before the effects that follow.
    Write(Record),
    /// The decision is in force: apply it with [`KeeperState::apply_decision`] and log it.
    Decided(Decision),
}

/// State of the keeper.
pub struct KeeperState {
    term: u64,
    history: History,
    members: Members,
    obligations: Obligations,
    shapes: BTreeMap<u64, Shape>,
    /// Reasons of exclusions, by member.
    exclusion_reasons: BTreeMap<String, String>,
    /// Proposed decisions that are not committed, by their subject, with the time of the proposal.
    pending: BTreeMap<String, Moment>,
}

/// Subject of a decision: a member or a version.
fn subject(decision: &Decision) -> String {
    match decision {
        Decision::Excluded { member, .. }
        | Decision::ShareRaised { member, .. }
        | Decision::Readmitted { member } => member.clone(),
        Decision::Withdrawn { shape, .. } => format!("version {shape}"),
    }
}

impl KeeperState {
    /// Restores the keeper from the group's log. The first effect is the record of the new term.
    pub fn open(records: &[Record], now: Moment) -> (KeeperState, Vec<Effect>) {
        let term = records.iter().map(|record| record.term).max().unwrap_or(0) + 1;
        let mut keeper = KeeperState {
            term,
            history: History::default(),
            members: Members::new(now),
            obligations: Obligations::default(),
            shapes: BTreeMap::new(),
            exclusion_reasons: BTreeMap::new(),
            pending: BTreeMap::new(),
        };
        // A record with an older term after one with a newer term is from a leader that had been replaced.
        let mut highest = 0;
        for record in records {
            if record.term >= highest
                && let Entry::Decided(decision) = &record.entry
            {
                keeper.apply_decision(decision, now);
            }
            highest = highest.max(record.term);
        }
        (keeper, vec![Effect::Write(Record { term, entry: Entry::Opened })])
    }

    /// Its term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The history of all processes.
    pub fn history(&mut self) -> &mut History {
        &mut self.history
    }

    /// A version of the shape was published.
    pub fn shape_published(&mut self, config: &ShapeConfig, now: Moment) {
        let Ok(shape) = Shape::from_config(config) else { return };
        self.obligations.publish(VersionKind::Shape, config.version, now);
        self.history.shape_published(config.version, may_pull_from(config));
        self.shapes.insert(config.version, shape);
        while self.shapes.len() > MAX_SHAPES {
            self.shapes.pop_first();
        }
    }

    /// Purges up to this number were published.
    pub fn purges_published(&mut self, number: u64, now: Moment) {
        if number > 0 {
            self.obligations.publish(VersionKind::Purge, number, now);
        }
    }

    /// Handles a report. The returned links have to be on disk before the report is answered.
    pub fn on_report(&mut self, report: &Report, now: Moment) -> Vec<Link> {
        self.history.on_report(&report.member, report.start, report.now_ms, now);
        let of_member = |link: &&Link| link.member == report.member && link.start == report.start;
        let links = report.links.iter().filter(of_member);
        let new: Vec<Link> = links
            .filter(|link| self.history.add_link(link, &self.obligations, now) == LinkOutcome::New)
            .cloned()
            .collect();
        let Report { member, role, site, start, stamp, rejected, .. } = report;
        self.members.on_report(member, *role, site, *start, *stamp, rejected.clone(), now);
        new
    }

    /// Restores links from the disk of this keeper member, so that chains continue. It does not count as a report of their
    /// processes.
    pub fn restore_links(&mut self, links: &[Link], now: Moment) {
        links.iter().for_each(|link| drop(self.history.add_link(link, &self.obligations, now)));
    }

    /// The answer to a report. All its new links have to be on disk.
    pub fn answer_report(&mut self, report: &Report, now: Moment) -> KeeperMessage {
        let excluded = self.members.share(&report.member).filter(|share| share.0 == 0.0);
        let reason =
            || self.exclusion_reasons.get(&report.member).cloned().unwrap_or_else(|| "excluded".into());
        let excluded = excluded.map(|_| reason());
        let admission = (report.role == Role::Hub).then(|| self.admission_rules(now));
        let method = self.members.next_update(&report.member, &self.obligations, now);
        KeeperMessage::Ack {
            term: self.term,
            start: report.start,
            upto: self.history.last_contiguous(&report.member, report.start),
            lease_ms: LEASE.as_micros() / 1_000,
            excluded,
            update: method.and_then(|method| self.update_for(report, method)),
            admission,
        }
    }

    fn admission_rules(&self, now: Moment) -> AdmissionRules {
        let (min_shape, min_purge) = self.obligations.min_allowed(now);
        let excluded = self.members.excluded().into_iter().map(|(name, share)| (name, share.0)).collect();
        AdmissionRules { excluded, min_shape, min_purge }
    }

    fn update_for(&self, report: &Report, method: UpdateMethod) -> Option<Update> {
        let due = self.shapes.get(&self.obligations.newest(VersionKind::Shape))?;
        if method == UpdateMethod::Restart {
            return Some(Update::Restart {
                reason: format!("version {} was not applied by other updates", due.version()),
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
                let current =
                    self.shapes.get(&report.stamp.shape).filter(|_| method == UpdateMethod::Difference);
                let difference = current.and_then(|current| difference(current, due));
                Some(difference.unwrap_or_else(|| Update::Full {
                    shape: Box::new(feed::config_for_hubs(due)),
                    plans: Vec::new(),
                }))
            }
        }
    }

    /// Makes due decisions; to be called several times a second.
    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        self.history.tick(now);
        self.pending.retain(|_, since| now.since(*since) < COMMIT_TIMEOUT);
        let mut effects = Vec::new();
        for decision in self.members.tick(&self.obligations, now) {
            let subject = subject(&decision);
            if self.pending.contains_key(&subject) {
                continue;
            }
            self.pending.insert(subject, now);
            let entry = Entry::Decided(decision.clone());
            effects.extend([Effect::Write(Record { term: self.term, entry }), Effect::Decided(decision)]);
        }
        effects
    }

    /// Applies a committed decision.
    pub fn apply_decision(&mut self, decision: &Decision, now: Moment) {
        self.pending.remove(&subject(decision));
        match decision {
            Decision::Excluded { member, reason } => {
                drop(self.exclusion_reasons.insert(member.clone(), reason.clone()))
            }
            Decision::Readmitted { member } => drop(self.exclusion_reasons.remove(member)),
            Decision::Withdrawn { shape, .. } => self.obligations.withdraw(VersionKind::Shape, *shape),
            Decision::ShareRaised { .. } => {}
        }
        self.members.apply_decision(decision, now);
    }

    /// The newest version before this one, to return to when this one is withdrawn.
    pub fn previous_version(&self, shape: u64) -> Option<ShapeConfig> {
        self.shapes.range(..shape).next_back().map(|(_, shape)| shape.to_config())
    }

    /// A compacted log with the current exclusions.
    pub fn snapshot(&self) -> Vec<Record> {
        let record = |entry| Record { term: self.term, entry };
        let exclusions = self.members.excluded().into_iter().flat_map(|(member, share)| {
            let reason = self.exclusion_reasons.get(&member).cloned().unwrap_or_default();
            let exclusion = Decision::Excluded { member: member.clone(), reason };
            let share_raised = (share.0 > 0.0).then_some(Decision::ShareRaised { member, share });
            std::iter::once(exclusion).chain(share_raised)
        });
        std::iter::once(record(Entry::Opened)).chain(exclusions.map(|d| record(Entry::Decided(d)))).collect()
    }

    /// Answers an operator.
    pub fn answer_operator(&self, request: &OperatorRequest, now: Moment) -> OperatorResponse {
        match request {
            OperatorRequest::AuditStatus => OperatorResponse::Status(Box::new(self.status(now))),
            OperatorRequest::AuditWho { from_ms, to_ms } if from_ms > to_ms => {
                OperatorResponse::Refused(format!("the begin {from_ms} is after the end {to_ms}"))
            }
            OperatorRequest::AuditWho { from_ms, to_ms } => {
                OperatorResponse::Who(self.history.periods_between(*from_ms, *to_ms))
            }
            OperatorRequest::AuditWhen { shape, purge } => self.when(*shape, *purge),
            OperatorRequest::AuditLagging => {
                OperatorResponse::Lagging(self.members.status(&self.obligations, now))
            }
            OperatorRequest::AuditExplain { id } => {
                OperatorResponse::Explained(self.history.intervals_with(*id))
            }
        }
    }

    fn when(&self, shape: Option<u64>, purge: Option<u64>) -> OperatorResponse {
        let (kind, number) = match (shape, purge) {
            (Some(shape), None) => (VersionKind::Shape, shape),
            (None, Some(purge)) => (VersionKind::Purge, purge),
            _ => return OperatorResponse::Refused("exactly one of shape and purge is required".into()),
        };
        let has = |stamp: &Stamp| {
            if kind == VersionKind::Shape { stamp.shape >= number } else { stamp.purge >= number }
        };
        let due_ms =
            self.obligations.behind_since(kind, number.saturating_sub(1)).map(|at| at.micros() / 1_000);
        let adopted = self.history.adoption_times(has).into_iter().map(|((member, start), at_ms)| TakenUp {
            member,
            start,
            at_ms,
            after_ms: at_ms.zip(due_ms).map(|(at, due)| at.saturating_sub(due)),
        });
        OperatorResponse::When(adopted.collect())
    }

    fn status(&self, now: Moment) -> KeeperStatus {
        KeeperStatus {
            term: self.term,
            now_ms: now.micros() / 1_000,
            shape: self.obligations.newest(VersionKind::Shape),
            purge: self.obligations.newest(VersionKind::Purge),
            members: self.members.status(&self.obligations, now),
            excluded: self.members.excluded(),
            chains: self.history.summary(),
            findings: self.history.findings().cloned().collect(),
        }
    }
}

/// The upstream links that differ, if both versions have the same hubs.
fn difference(current: &Shape, due: &Shape) -> Option<Update> {
    let names = |shape: &Shape| shape.hubs().map(|(_, hub)| hub.name.clone()).collect::<BTreeSet<_>>();
    if names(current) != names(due) {
        return None;
    }
    let differs = due.hubs().filter_map(|(_, hub)| {
        let at = current.find(&hub.name)?;
        let was = current.node(at).and_then(Node::as_hub)?;
        (was.up != hub.up).then(|| (hub.name.clone(), hub.up.clone()))
    });
    Some(Update::Difference { from: current.version(), to: due.version(), upstreams: differs.collect() })
}

/// For each branch, the hubs that its routers may pull from: its upstream links, and the hubs that serve as its caches.
fn may_pull_from(config: &ShapeConfig) -> BTreeMap<String, BTreeSet<String>> {
    let of_branch = |branch: &harestage_shape::config::BranchConfig| {
        let is_cache = |address: &String| branch.caches.iter().any(|cache| cache.address == *address);
        let caches = config.hubs.iter().filter(|hub| is_cache(&hub.address)).map(|hub| hub.name.clone());
        (branch.name.clone(), branch.hubs.iter().cloned().chain(caches).collect())
    };
    config.branches.iter().map(of_branch).collect()
}
