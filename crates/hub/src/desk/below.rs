//! What comes from below, and what is answered at once.
use super::{ConnNo, Desk, Order};
use crate::store::Copy;
use bytes::Bytes;
use harestage::state::CacheStatus;
use harestage::time::{Moment, Span};
use harestage_restart::stage::Stage as StartStage;
use harestage_shape::fetch_rights::HandoverReply;
use harestage_shape::wait_cycles::Key;
use harestage_wire::fields::HexId;
use harestage_wire::node::{AnswerStatus, CopyTag, IncomingRequest, OutgoingAnswer};

impl Desk {
    pub(super) fn asked(&mut self, conn: ConnNo, asked: IncomingRequest, now: Moment) {
        self.gauges.asked.add(now, 1.0);
        if !self.takes_mark(conn, &asked, now) {
            return;
        }
        // Writes run at the archive and nowhere else: two of them must never pass for one fill.
        if !asked.body.is_empty() {
            return self.refuse(conn, asked.id, AnswerStatus::Busy, CacheStatus::SourceRefused);
        }
        let key = (asked.object.as_u64(), asked.part);
        if let Some(after) = self.turned_away(conn, &asked, now) {
            return self.refuse_until(conn, asked.id, asked.route.is_some().then_some(after));
        }
        let fresh = self.contents.get(&asked.content).and_then(|keeping| keeping.fresh);
        let oldest = asked.max_age_ms.map(Span::millis).or(fresh);
        let good = self.copies.good(key, oldest, now);
        self.gauges.hits.add(now, f64::from(u8::from(good.is_some())));
        if let Some(way) = asked.route.as_ref().filter(|way| way.hand_over) {
            let by = way.path.last().cloned().unwrap_or_default();
            let under_way = self.fills.has(key);
            let reply = self.archive.shield.on_request(key, &by, good.is_some(), under_way, now);
            return self.hand_over(conn, asked.id, reply, good);
        }
        if let Some(copy) = good {
            let aged = fresh.is_some_and(|fresh| now.since(copy.dated) > fresh);
            let remark = if aged { CacheStatus::Stale } else { CacheStatus::Hit };
            let given =
                give(asked.id, &copy, asked.known_digest.as_ref(), asked.route.is_some(), remark, 0.0);
            self.orders.push(Order::Answer { conn, given });
            if aged && asked.stale_while_revalidate && !self.fills.has(key) && !self.fills.are_full() {
                self.begin(key, &asked, now);
                self.advance(key, now);
            }
            return;
        }
        let gives = self.start.stage().serves_copies();
        if gives && self.copies.on_disk(key, oldest, now) && !self.fills.has(key) && !asked.only_if_cached {
            return self.fill_from_disk(conn, key, asked, oldest, now);
        }
        if asked.only_if_cached || asked.source.is_none() {
            let remark = if self.fills.has(key) { CacheStatus::Joined } else { CacheStatus::Unknown };
            return self.refuse(conn, asked.id, AnswerStatus::NotFound, remark);
        }
        self.fill_for(conn, key, asked, oldest, now);
    }

    /// When it has to come again where not all that is asked fits. Questions among homes pass.
    fn turned_away(&mut self, conn: ConnNo, asked: &IncomingRequest, now: Moment) -> Option<Span> {
        if self.sites.is_nowhere() || asked.route.as_ref().is_some_and(|way| way.hand_over) {
            return None;
        }
        let chance = self.chance.draw();
        let worth = self.worth(asked);
        self.rationing.refuses(conn, (asked.object.as_u64(), asked.part), worth, chance, now)
    }

    fn worth(&self, asked: &IncomingRequest) -> f64 {
        self.contents.get(&asked.content).map_or(1.0, |keeping| keeping.benefit)
    }

    /// Whether its start lets a fill begin for something of this worth.
    fn may_begin(&self, worth: f64) -> bool {
        let best = self.contents.values().map(|keeping| keeping.benefit).fold(0.0, f64::max);
        self.start.may_begin(worth, best)
    }

    pub(super) fn refuse(&mut self, conn: ConnNo, id: HexId, word: AnswerStatus, remark: CacheStatus) {
        let (first_ms, copy, body, come_ms, why) = (0.0, None, Bytes::new(), None, None);
        let given = OutgoingAnswer {
            id,
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

    /// Refused for want of room; a hub of ours hears when to come again.
    pub(super) fn refuse_until(&mut self, conn: ConnNo, id: HexId, after: Option<Span>) {
        let (first_ms, copy, body, why) = (0.0, None, Bytes::new(), None);
        let come_ms = after.map(|after| (after.as_micros() / 1_000).max(1));
        let (word, remark) = (AnswerStatus::Busy, CacheStatus::NoFillSlot);
        let given = OutgoingAnswer {
            id,
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

    fn hand_over(&mut self, conn: ConnNo, id: HexId, reply: HandoverReply, good: Option<Copy>) {
        match (reply, good) {
            (HandoverReply::Held, Some(copy)) => {
                let given = give(id, &copy, None, true, CacheStatus::Hit, 0.0);
                self.orders.push(Order::Answer { conn, given });
            }
            (HandoverReply::UnderWay, _) => {
                self.refuse(conn, id, AnswerStatus::NotFound, CacheStatus::Joined)
            }
            (HandoverReply::Elsewhere { .. }, _) => {
                self.refuse(conn, id, AnswerStatus::Busy, CacheStatus::SourceRefused)
            }
            (HandoverReply::Ceded { .. } | HandoverReply::Held, _) => {
                self.refuse(conn, id, AnswerStatus::NotFound, CacheStatus::Unknown)
            }
        }
    }

    /// Its own disk has it: a fill that goes nowhere else, and that others may join.
    fn fill_from_disk(
        &mut self,
        conn: ConnNo,
        key: Key,
        asked: IncomingRequest,
        oldest: Option<Span>,
        now: Moment,
    ) {
        if self.fills.are_full() || !self.fills.may_wait(conn, asked.id) {
            return self.refuse(conn, asked.id, AnswerStatus::Busy, CacheStatus::NoFillSlot);
        }
        self.begin(key, &asked, now);
        self.wait(conn, key, &asked, oldest, false, now);
        self.read_from_disk(key, now);
    }

    fn fill_for(
        &mut self,
        conn: ConnNo,
        key: Key,
        asked: IncomingRequest,
        oldest: Option<Span>,
        now: Moment,
    ) {
        let worth = self.worth(&asked);
        if !self.may_begin(worth) && !self.fills.has(key) {
            let chance = self.chance.draw();
            let after = self.start.come_again(chance);
            return self.refuse_until(conn, asked.id, asked.route.is_some().then_some(after));
        }
        if self.sources.unknowing && self.start.stage() != StartStage::WithoutPurges
            || !self.fills.may_wait(conn, asked.id)
        {
            return self.refuse(conn, asked.id, AnswerStatus::Busy, CacheStatus::NoFillSlot);
        }
        let path = asked.route.as_ref().map(|way| way.path.clone()).unwrap_or_default();
        let new = !self.fills.has(key);
        if new {
            // It came round to a hub whose own fill is over meanwhile: a new one would go round again.
            if path.contains(&self.name) {
                return self.refuse(conn, asked.id, AnswerStatus::Busy, CacheStatus::SourceRefused);
            }
            if self.fills.are_full() {
                return self.refuse(conn, asked.id, AnswerStatus::Busy, CacheStatus::NoFillSlot);
            }
            self.begin(key, &asked, now);
        }
        self.wait(conn, key, &asked, oldest, !new, now);
        if new {
            self.advance_by(key, &path, now);
        } else {
            let act = self.circles.knots.on_join(key, &path, now);
            self.act(act, now);
        }
    }
}

/// The answer that a copy is; its group is told to hubs of ours only.
pub(super) fn give(
    id: HexId,
    copy: &Copy,
    held: Option<&Bytes>,
    ours: bool,
    remark: CacheStatus,
    first_ms: f64,
) -> OutgoingAnswer {
    let still_good = held == Some(&copy.digest);
    let (word, body) = if still_good {
        (AnswerStatus::NotModified, Bytes::new())
    } else {
        (AnswerStatus::Fulfilled, copy.body.clone())
    };
    let dated_ms = copy.dated.micros() / 1_000;
    let tag = CopyTag { digest: copy.digest.clone(), dated_ms, group: copy.group.filter(|_| ours) };
    OutgoingAnswer {
        id,
        status: word,
        cache_status: remark,
        first_byte_ms: first_ms,
        copy: Some(tag),
        body,
        retry_after_ms: None,
        reason: None,
    }
}
