//! What a hub acts on, recorded where there is a keeper of the audit.
use super::{ConnNo, Desk, Order};
use bytes::Bytes;
use harestage::state::CacheStatus;
use harestage::time::Moment;
use harestage_audit::chain::Outcome;
use harestage_audit::messages::Role;
use harestage_audit::process::{AuditedProcess, OUTDATED, ProcessIdentity};
use harestage_audit::record::ContentIndex;
use harestage_audit::stamp::{Stamp, Versions};
use harestage_wire::fields::HexId;
use harestage_wire::node::{AnswerStatus, IncomingRequest, OutgoingAnswer};
use harestage_wire::peer::AuditMark;
use std::collections::HashMap;

pub(super) struct Audited {
    pub acting: AuditedProcess,
    /// Content types by their places in the record, and those of pulls that are not answered yet.
    contents: HashMap<Bytes, ContentIndex>,
    asked: HashMap<(ConnNo, HexId), ContentIndex>,
}

impl Audited {
    /// Whoever asked is not answered.
    pub fn left(&mut self, conn: ConnNo, id: HexId) {
        self.asked.remove(&(conn, id));
    }

    /// Records under what a pull was made. False: it is refused for that.
    fn takes(&mut self, conn: ConnNo, asked: &IncomingRequest, now: Moment) -> bool {
        if let Some(number) = self.contents.get(&asked.content) {
            self.asked.insert((conn, asked.id), *number);
        }
        let Some(mark) = &asked.mark else { return true };
        // What can't be read as a stamp is the oldest there is.
        let stamp = mark.stamp.parse().unwrap_or(Stamp::default());
        self.acting.admit_pull(&mark.by, &mark.place, stamp, now)
    }

    fn goes_by(&mut self, shape: u64, purge: u64, term: u64, plan: String, now: Moment) {
        let goes = self.acting.versions();
        if (goes.shape, goes.purge, goes.term) != (shape, purge, term) || goes.plan != plan {
            let goes = Versions { shape, purge, term, plan, ..goes.clone() };
            self.acting.set_versions(goes, now);
        }
    }

    fn ordered(&mut self, order: &Order, now: Moment) {
        match order {
            Order::Answer { conn, given } => {
                let Some(content) = self.asked.remove(&(*conn, given.id)) else { return };
                let outcome = match given.status {
                    AnswerStatus::Fulfilled | AnswerStatus::NotModified => Outcome::Fulfilled,
                    AnswerStatus::Busy => Outcome::Throttled,
                    AnswerStatus::NotFound | AnswerStatus::Failed | AnswerStatus::TooLate => {
                        Outcome::Abandoned
                    }
                };
                self.acting.download_ended(content, outcome, given.id.as_u64(), now);
                given.copy.iter().for_each(|copy| self.acting.recorder().copy_served(copy.dated_ms));
            }
            Order::Pull { to, .. } => self.acting.recorder().pull_sent(&to.name, now),
            _ => {}
        }
    }
}

impl Desk {
    /// What it does is recorded from now on, and the keeper may have pulls refused.
    pub fn is_audited(&mut self, start: u64, build: &str, settings: u64, now: Moment) {
        let mut names: Vec<Bytes> = self.contents.keys().cloned().collect();
        names.sort();
        let contents = names.iter().map(|name| String::from_utf8_lossy(name).into_owned()).collect();
        let numbers = names.into_iter().enumerate().map(|(n, name)| (name, n)).collect();
        let who = ProcessIdentity {
            member: self.name.clone(),
            start,
            role: Role::Hub,
            site: self.sites.name().into(),
            place: self.name.clone(),
        };
        let goes = Versions { build: build.into(), settings, ..Versions::default() };
        let acting = AuditedProcess::new(who, contents, goes, now);
        self.audit = Some(Audited { acting, contents: numbers, asked: HashMap::new() });
    }

    pub fn audit(&mut self) -> Option<&mut AuditedProcess> {
        self.audit.as_mut().map(|audit| &mut audit.acting)
    }

    /// Counts what this turn has ordered, and under what.
    pub(super) fn record(&mut self, now: Moment) {
        let (shape, purge, term, plan) =
            (self.version(), self.has_purges, self.term, self.sites.lost_by_plan());
        let Some(audit) = &mut self.audit else { return };
        audit.goes_by(shape, purge, term, plan, now);
        self.orders.iter().for_each(|order| audit.ordered(order, now));
    }

    /// Records under what a pull was made. False: it was refused for that, and never ran.
    pub(super) fn takes_mark(&mut self, conn: ConnNo, asked: &IncomingRequest, now: Moment) -> bool {
        let takes = self.audit.as_mut().is_none_or(|audit| audit.takes(conn, asked, now));
        if !takes {
            let (word, remark, first_ms) = (AnswerStatus::Busy, CacheStatus::SourceRefused, 0.0);
            let (copy, body, come_ms, why) = (None, Bytes::new(), None, Some(OUTDATED));
            let given = OutgoingAnswer {
                id: asked.id,
                status: word,
                cache_status: remark,
                first_byte_ms: first_ms,
                copy,
                body,
                retry_after_ms: come_ms,
                reason: why,
            };
            self.orders.push(Order::Answer { conn, given });
        }
        takes
    }

    pub(super) fn mark(&self) -> Option<AuditMark> {
        let audit = &self.audit.as_ref()?.acting;
        let (by, place) = (audit.identity().member.clone(), audit.identity().place.clone());
        Some(AuditMark { by, place, stamp: audit.stamp().to_string() })
    }
}
