//! A process that is audited, as far as it decides: what it records, whether it may act, whom it refuses, and what it makes
//! of the keeper's answers. Hubs, routers and feeds use the same.
use crate::chain::Outcome;
use crate::lease::Lease;
use crate::messages::{AdmissionRules, KeeperMessage, Report, Role, Update};
use crate::record::{ContentIndex, Recorder, StampSequence};
use crate::stamp::{Stamp, Versions};
use harestage::time::{Moment, Span};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Who it is.
#[derive(Clone, Debug)]
pub struct ProcessIdentity {
    pub member: String,
    /// No other start of it has this number.
    pub start: u64,
    pub role: Role,
    /// Its site, or its branch.
    pub site: String,
    /// The place of the shape that its pulls are made for.
    pub place: String,
}

/// Why a pull is refused.
pub const OUTDATED: &str = "old";

#[derive(Debug)]
pub struct AuditedProcess {
    identity: ProcessIdentity,
    recorder: Recorder,
    lease: Lease,
    refusals: AdmissionRules,
    /// A version that it was given and can't take.
    rejected_version: Option<(u64, String)>,
    /// It was told why it is shut out.
    shut: Option<String>,
    term: u64,
    drawn: u64,
}

/// What the keeper wants of it.
#[derive(Clone, Debug, PartialEq)]
pub enum KeeperRequest {
    /// To take this over.
    Apply(Update),
    /// To end, so that it starts anew.
    Restart(String),
}

impl AuditedProcess {
    pub fn new(who: ProcessIdentity, contents: Vec<String>, goes: Versions, now: Moment) -> AuditedProcess {
        let recorder = Recorder::new(&who.member, who.start, contents, goes, None, now);
        AuditedProcess {
            identity: who,
            recorder,
            lease: Lease::initial(now),
            refusals: AdmissionRules::default(),
            rejected_version: None,
            shut: None,
            term: 0,
            drawn: 0,
        }
    }

    pub fn identity(&self) -> &ProcessIdentity {
        &self.identity
    }

    pub fn recorder(&mut self) -> &mut Recorder {
        &mut self.recorder
    }

    pub fn versions(&self) -> &Versions {
        self.recorder.versions()
    }

    pub fn stamp(&self) -> Stamp {
        self.recorder.stamp()
    }

    /// It goes by this from now on.
    pub fn set_versions(&mut self, goes: Versions, now: Moment) {
        // What it could not take is behind it.
        if self.rejected_version.as_ref().is_some_and(|(version, _)| goes.shape >= *version) {
            self.rejected_version = None;
        }
        self.recorder.set_versions(goes, now);
    }

    /// It was given a version that it can't take.
    pub fn reject_version(&mut self, version: u64, why: &str) {
        self.rejected_version = Some((version, why.chars().take(200).collect()));
    }

    /// Whether it may give an order out now.
    pub fn may_act(&self, now: Moment) -> bool {
        self.lease.may_act(now)
    }

    pub fn exclusion_reason(&self, now: Moment) -> Option<String> {
        match &self.shut {
            Some(why) => Some(why.clone()),
            None if !self.may_act(now) => Some("its lease has run out".into()),
            None => None,
        }
    }

    /// Whether a pull under this stamp is taken: who is shut out is refused what is forbidden, and is let in again by
    /// shares. It is counted either way.
    pub fn admit_pull(&mut self, by: &str, place: &str, stamp: Stamp, now: Moment) -> bool {
        let takes = match self.refusals.excluded.iter().find(|(name, _)| name == by) {
            None => true,
            Some(_) if stamp.shape < self.refusals.min_shape || stamp.purge < self.refusals.min_purge => {
                false
            }
            Some((_, share)) => {
                let share = *share;
                self.chance(by) < share
            }
        };
        self.recorder.pull_received(by, place, stamp, takes, now);
        takes
    }

    /// Evenly from 0 to 1.
    fn chance(&mut self, of: &str) -> f64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (&self.identity.member, of, self.drawn).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn download_ended(&mut self, content: ContentIndex, outcome: Outcome, id: u64, now: Moment) {
        self.recorder.download_ended(content, outcome, id, now);
    }

    /// One whose last pull went out under that stamp.
    pub fn download_ended_under(
        &mut self,
        no: StampSequence,
        content: ContentIndex,
        outcome: Outcome,
        id: u64,
        now: Moment,
    ) {
        self.recorder.download_ended_under(no, content, outcome, id, now);
    }

    /// Guards nothing and is never shut out: only measurements do, for their baseline.
    pub fn disable_lease(&mut self) {
        self.lease = Lease::Unlimited;
    }

    /// To be called some times a second.
    pub fn tick(&mut self, now: Moment) {
        self.recorder.tick(now);
    }

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

    /// The answer to the report that went out at `asked`. None of a keeper of an older term counts.
    pub fn on_answer(&mut self, answer: KeeperMessage, asked: Moment) -> Option<KeeperRequest> {
        let KeeperMessage::Ack {
            term,
            start,
            upto,
            lease_ms,
            excluded: shut,
            update: bring,
            admission: refuse,
        } = answer
        else {
            return None;
        };
        if term < self.term || start != self.identity.start {
            return None;
        }
        self.term = term;
        self.recorder.acknowledged(start, upto);
        self.lease = self.lease.renewed(asked, Span::millis(lease_ms), shut.is_some());
        self.shut = shut;
        if let Some(refuse) = refuse {
            self.refusals = refuse;
        }
        match bring? {
            Update::Restart { reason: why } => Some(KeeperRequest::Restart(why)),
            bring => Some(KeeperRequest::Apply(bring)),
        }
    }
}
