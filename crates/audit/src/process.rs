//! The audit decisions of a process: what it records, whether it may act, which pulls it refuses, and how it handles the
//! answers of the keeper. Hubs, routers and branch feeds share this code.
use crate::chain::Outcome;
use crate::lease::Lease;
use crate::messages::{AdmissionRules, KeeperMessage, Report, Role, Update};
use crate::record::{ContentIndex, Recorder, StampSequence};
use crate::stamp::{Stamp, Versions};
use harestage::time::{Moment, Span};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Identity of an audited process.
#[derive(Clone, Debug)]
pub struct ProcessIdentity {
    pub member: String,
    /// Number of its start, unique among its starts.
    pub start: u64,
    pub role: Role,
    /// Its site, or its branch.
    pub site: String,
    /// Place of the shape that its pulls are for.
    pub place: String,
}

/// The reason that is sent with a pull that was refused for its stamp.
pub const OUTDATED: &str = "old";

/// Audit state of a process.
#[derive(Debug)]
pub struct AuditedProcess {
    identity: ProcessIdentity,
    recorder: Recorder,
    lease: Lease,
    admission: AdmissionRules,
    /// A version that it was sent and rejected, and the reason.
    rejected_version: Option<(u64, String)>,
    /// Reason why the keeper has excluded it, if it has.
    exclusion: Option<String>,
    /// Term of the keeper that has answered last.
    term: u64,
    /// Number of random draws so far.
    draws: u64,
}

/// What the keeper requires of the process.
#[derive(Clone, Debug, PartialEq)]
pub enum KeeperRequest {
    /// Apply this update.
    Apply(Update),
    /// Exit in order to be restarted, for this reason.
    Restart(String),
}

impl AuditedProcess {
    /// A process that has just started, with its initial lease.
    pub fn new(
        identity: ProcessIdentity,
        contents: Vec<String>,
        versions: Versions,
        now: Moment,
    ) -> AuditedProcess {
        let recorder = Recorder::new(&identity.member, identity.start, contents, versions, None, now);
        AuditedProcess {
            identity,
            recorder,
            lease: Lease::initial(now),
            admission: AdmissionRules::default(),
            rejected_version: None,
            exclusion: None,
            term: 0,
            draws: 0,
        }
    }

    /// Its identity.
    pub fn identity(&self) -> &ProcessIdentity {
        &self.identity
    }

    /// Its recorder.
    pub fn recorder(&mut self) -> &mut Recorder {
        &mut self.recorder
    }

    /// Its current versions.
    pub fn versions(&self) -> &Versions {
        self.recorder.versions()
    }

    /// Its current stamp.
    pub fn stamp(&self) -> Stamp {
        self.recorder.stamp()
    }

    /// Changes its versions.
    pub fn set_versions(&mut self, versions: Versions, now: Moment) {
        // The rejected version is superseded.
        if self.rejected_version.as_ref().is_some_and(|(version, _)| versions.shape >= *version) {
            self.rejected_version = None;
        }
        self.recorder.set_versions(versions, now);
    }

    /// It was sent a version that it can't use.
    pub fn reject_version(&mut self, version: u64, reason: &str) {
        self.rejected_version = Some((version, reason.chars().take(200).collect()));
    }

    /// Whether it may act now.
    pub fn may_act(&self, now: Moment) -> bool {
        self.lease.may_act(now)
    }

    /// Why it must not act, if so.
    pub fn exclusion_reason(&self, now: Moment) -> Option<String> {
        match &self.exclusion {
            Some(reason) => Some(reason.clone()),
            None if !self.may_act(now) => Some("its lease has expired".into()),
            None => None,
        }
    }

    /// Whether a pull under this stamp is admitted. Of an excluded puller, pulls under forbidden versions are refused, and of
    /// the others a share is admitted. The pull is recorded either way.
    pub fn admit_pull(&mut self, puller: &str, place: &str, stamp: Stamp, now: Moment) -> bool {
        let admitted = match self.admission.excluded.iter().find(|(name, _)| name == puller) {
            None => true,
            Some(_) if stamp.shape < self.admission.min_shape || stamp.purge < self.admission.min_purge => {
                false
            }
            Some((_, share)) => {
                let share = *share;
                self.random_fraction(puller) < share
            }
        };
        self.recorder.pull_received(puller, place, stamp, admitted, now);
        admitted
    }

    /// A pseudo-random number, uniform from 0 to 1.
    fn random_fraction(&mut self, of: &str) -> f64 {
        self.draws += 1;
        let mut hasher = DefaultHasher::new();
        (&self.identity.member, of, self.draws).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A download has ended under the current stamp.
    pub fn download_ended(&mut self, content: ContentIndex, outcome: Outcome, id: u64, now: Moment) {
        self.recorder.download_ended(content, outcome, id, now);
    }

    /// A download has ended whose last pull was sent under that stamp.
    pub fn download_ended_under(
        &mut self,
        sequence: StampSequence,
        content: ContentIndex,
        outcome: Outcome,
        id: u64,
        now: Moment,
    ) {
        self.recorder.download_ended_under(sequence, content, outcome, id, now);
    }

    /// Disables the lease, so that the process may always act. Only for the baseline of measurements.
    pub fn disable_lease(&mut self) {
        self.lease = Lease::Unlimited;
    }

    /// Closes due intervals; to be called several times a second.
    pub fn tick(&mut self, now: Moment) {
        self.recorder.tick(now);
    }

    /// The next report.
    pub fn report(&self, now: Moment) -> Report {
        Report {
            member: self.identity.member.clone(),
            start: self.identity.start,
            role: self.identity.role,
            site: self.identity.site.clone(),
            now_ms: now.micros() / 1_000,
            stamp: self.recorder.stamp(),
            links: self.recorder.pending_links(),
            rejected: self.rejected_version.clone(),
        }
    }

    /// Handles the answer to the report that was sent at `requested`. Answers of a keeper with an older term are ignored.
    pub fn on_answer(&mut self, answer: KeeperMessage, requested: Moment) -> Option<KeeperRequest> {
        let KeeperMessage::Ack { term, start, upto, lease_ms, excluded, update, admission } = answer else {
            return None;
        };
        if term < self.term || start != self.identity.start {
            return None;
        }
        self.term = term;
        self.recorder.acknowledged(start, upto);
        self.lease = self.lease.renewed(requested, Span::millis(lease_ms), excluded.is_some());
        self.exclusion = excluded;
        if let Some(admission) = admission {
            self.admission = admission;
        }
        match update? {
            Update::Restart { reason } => Some(KeeperRequest::Restart(reason)),
            update => Some(KeeperRequest::Apply(update)),
        }
    }
}
