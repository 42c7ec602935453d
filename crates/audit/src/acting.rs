//! A process that is audited, as far as it decides: what it records, whether it may act, whom it refuses, and what it makes
//! of the keeper's answers. Hubs, routers and feeds use the same.
use crate::chain::Outcome;
use crate::lease::Lease;
use crate::lines::{Bring, Refusals, Report, Role, ToAudited};
use crate::record::{ContentNo, Recorder, StampNo};
use crate::stamp::{Goes, Stamp};
use harestage::time::{Moment, Span};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Who it is.
#[derive(Clone, Debug)]
pub struct Who {
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
pub const OLD: &str = "old";

#[derive(Debug)]
pub struct Acting {
    who: Who,
    recorder: Recorder,
    lease: Lease,
    refusals: Refusals,
    /// A version that it was given and can't take.
    refuses: Option<(u64, String)>,
    /// It was told why it is shut out.
    shut: Option<String>,
    term: u64,
    drawn: u64,
}

/// What the keeper wants of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Wanted {
    /// To take this over.
    Take(Bring),
    /// To end, so that it starts anew.
    Restart(String),
}

impl Acting {
    pub fn begin(who: Who, contents: Vec<String>, goes: Goes, now: Moment) -> Acting {
        let recorder = Recorder::begin(&who.member, who.start, contents, goes, None, now);
        Acting {
            who,
            recorder,
            lease: Lease::first(now),
            refusals: Refusals::default(),
            refuses: None,
            shut: None,
            term: 0,
            drawn: 0,
        }
    }

    pub fn who(&self) -> &Who {
        &self.who
    }

    pub fn recorder(&mut self) -> &mut Recorder {
        &mut self.recorder
    }

    pub fn goes(&self) -> &Goes {
        self.recorder.goes()
    }

    pub fn stamp(&self) -> Stamp {
        self.recorder.stamp()
    }

    /// It goes by this from now on.
    pub fn goes_by(&mut self, goes: Goes, now: Moment) {
        // What it could not take is behind it.
        if self.refuses.as_ref().is_some_and(|(version, _)| goes.shape >= *version) {
            self.refuses = None;
        }
        self.recorder.goes_by(goes, now);
    }

    /// It was given a version that it can't take.
    pub fn refuses(&mut self, version: u64, why: &str) {
        self.refuses = Some((version, why.chars().take(200).collect()));
    }

    /// Whether it may give an order out now.
    pub fn may_act(&self, now: Moment) -> bool {
        self.lease.may_act(now)
    }

    pub fn why_shut(&self, now: Moment) -> Option<String> {
        match &self.shut {
            Some(why) => Some(why.clone()),
            None if !self.may_act(now) => Some("its lease has run out".into()),
            None => None,
        }
    }

    /// Whether a pull under this stamp is taken: who is shut out is refused what is forbidden, and is let in again by
    /// shares. It is counted either way.
    pub fn takes(&mut self, by: &str, place: &str, stamp: Stamp, now: Moment) -> bool {
        let takes = match self.refusals.shut.iter().find(|(name, _)| name == by) {
            None => true,
            Some(_) if stamp.shape < self.refusals.shape || stamp.purge < self.refusals.purge => false,
            Some((_, share)) => {
                let share = *share;
                self.chance(by) < share
            }
        };
        self.recorder.answered(by, place, stamp, takes, now);
        takes
    }

    /// Evenly from 0 to 1.
    fn chance(&mut self, of: &str) -> f64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (&self.who.member, of, self.drawn).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn ended(&mut self, content: ContentNo, outcome: Outcome, id: u64, now: Moment) {
        self.recorder.ended(content, outcome, id, now);
    }

    /// One whose last pull went out under that stamp.
    pub fn ended_under(&mut self, no: StampNo, content: ContentNo, outcome: Outcome, id: u64, now: Moment) {
        self.recorder.ended_under(no, content, outcome, id, now);
    }

    /// Guards nothing and is never shut out: only measurements do, for their baseline.
    pub fn is_plain(&mut self) {
        self.lease = Lease::Free;
    }

    /// To be called some times a second.
    pub fn beat(&mut self, now: Moment) {
        self.recorder.beat(now);
    }

    pub fn report(&self, now: Moment) -> Report {
        Report {
            member: self.who.member.clone(),
            start: self.who.start,
            role: self.who.role,
            site: self.who.site.clone(),
            now_ms: now.micros() / 1_000,
            stamp: self.recorder.stamp(),
            links: self.recorder.due(),
            refuses: self.refuses.clone(),
        }
    }

    /// The answer to the report that went out at `asked`. None of a keeper of an older term counts.
    pub fn answered(&mut self, answer: ToAudited, asked: Moment) -> Option<Wanted> {
        let ToAudited::Ack { term, start, upto, lease_ms, shut, bring, refuse } = answer else { return None };
        if term < self.term || start != self.who.start {
            return None;
        }
        self.term = term;
        self.recorder.acknowledged(start, upto);
        self.lease = self.lease.granted(asked, Span::millis(lease_ms), shut.is_some());
        self.shut = shut;
        if let Some(refuse) = refuse {
            self.refusals = refuse;
        }
        match bring? {
            Bring::Restart { why } => Some(Wanted::Restart(why)),
            bring => Some(Wanted::Take(bring)),
        }
    }
}
