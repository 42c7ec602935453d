//! What comes from above, and from this hub's own disk.
use super::below::give;
use super::fills::{Fill, Stage};
use super::ways::STALLED;
use super::{Desk, Order, PullNo, ReadResult};
use crate::store::Copy;
use harestage::state::CacheStatus;
use harestage::time::{Moment, Span};
use harestage_restart::stage::Stage as StartStage;
use harestage_shape::topology::ARCHIVE;
use harestage_shape::wait_cycles::Key;
use harestage_wire::fields::HexId;
use harestage_wire::node::{Answer, AnswerStatus, CopyTag};

/// The archive turned a fetch away: it goes again after it, so often at most.
const AGAIN: Span = Span::millis(60);
const MOST_AGAIN: u32 = 3;

impl Desk {
    pub(super) fn answered(&mut self, pull: PullNo, answer: Answer, copy: Option<CopyTag>, now: Moment) {
        let Some(key) = self.fills.ended(pull) else { return };
        let Some(fill) = self.fills.get_mut(key) else { return };
        let (asking, fetching, on) = match fill.stage {
            Stage::Asking { whom, .. } => (true, false, whom),
            Stage::Waiting { on, .. } => (false, false, on),
            Stage::Fetching { .. } => (false, true, ARCHIVE),
            Stage::Resting | Stage::Reading => return,
        };
        match (answer.status, copy) {
            (AnswerStatus::Fulfilled, Some(tag)) => return self.filled(key, answer, tag, fetching, now),
            // Bytes that say nothing of their age can't be kept or given on.
            (AnswerStatus::Fulfilled | AnswerStatus::NotModified, _)
            | (AnswerStatus::Failed | AnswerStatus::TooLate, _)
                if fetching =>
            {
                return self.fail(key, CacheStatus::OriginFailed);
            }
            (AnswerStatus::NotFound, _) if fetching => return self.fail(key, CacheStatus::SourceLacks),
            (AnswerStatus::Busy, _) if fetching => {
                self.start.fetch_failed(now);
                fill.again += 1;
                if fill.again > MOST_AGAIN {
                    return self.fail(key, CacheStatus::OriginFailed);
                }
                return self.stage(key, Stage::Resting, Some(now + AGAIN), now);
            }
            // The former home is fetching it: to join that is to fetch it once.
            (AnswerStatus::NotFound, _) if asking && answer.cache_status == CacheStatus::Joined => {
                fill.asked.push(on);
                let shape = self.versions.get(fill.version).cloned();
                return match shape {
                    Some(shape) => self.wait_on(key, on, &[], &shape, now),
                    None => self.fail(key, CacheStatus::SourceLost),
                };
            }
            // The right went to another: that one's term has to end first.
            (AnswerStatus::Busy, _) if asking && fill.again < MOST_AGAIN => {
                fill.again += 1;
                return self.stage(
                    key,
                    Stage::Resting,
                    Some(now + harestage_shape::fetch_rights::CESSION_TERM * 0.4),
                    now,
                );
            }
            _ => {}
        }
        if asking {
            fill.asked.push(on);
            return self.advance(key, now);
        }
        fill.avoid.push(on);
        self.again(key, now);
    }

    pub(super) fn lost(&mut self, pull: PullNo, now: Moment) {
        let Some(key) = self.fills.ended(pull) else { return };
        let Some(fill) = self.fills.get_mut(key) else { return };
        match fill.stage {
            Stage::Asking { whom, .. } => {
                fill.asked.push(whom);
                self.sources.pass_by(whom, now);
            }
            Stage::Waiting { on, .. } => {
                fill.avoid.push(on);
                self.sources.pass_by(on, now);
                return self.again(key, now);
            }
            Stage::Fetching { .. } => {
                self.start.fetch_failed(now);
                fill.again += 1;
                if fill.again > MOST_AGAIN {
                    return self.fail(key, CacheStatus::OriginFailed);
                }
                return self.stage(key, Stage::Resting, Some(now + AGAIN), now);
            }
            Stage::Resting | Stage::Reading => return,
        }
        self.advance(key, now);
    }

    fn filled(&mut self, key: Key, answer: Answer, tag: CopyTag, fetched: bool, now: Moment) {
        let dated = Moment::at_micros(tag.dated_ms.saturating_mul(1_000));
        let copy = Copy { digest: tag.digest, dated, group: tag.group, body: answer.body };
        // A purge has come while it was on its way.
        if !self.copies.is_good(key, &copy) {
            let Some(fill) = self.fills.get_mut(key) else { return };
            fill.again += 1;
            if fill.again > MOST_AGAIN {
                return self.fail(key, CacheStatus::OriginFailed);
            }
            return self.advance(key, now);
        }
        self.archive.shield.on_filled(key);
        let Some(mut fill) = self.end(key) else { return };
        let lasted = now.since(fill.begun).seconds();
        self.gauges.lasted.add(now, lasted);
        if fetched {
            let took = now.since(fill.sent).seconds();
            self.gauges.fetched.add(now, took);
            self.start.fetch_took(took, now);
            self.copies.was_fetched(dated, now);
        }
        let rank = if fill.no_copy { 0 } else { fill.rank };
        let stage = self.start.stage();
        if !self.copies.has_disk() || stage != StartStage::WithoutPurges {
            self.copies.put(key, copy.clone(), rank);
            self.orders.extend(stage.stores_fetched().then(|| self.copies.keep(key, &copy, rank)).flatten());
        }
        let (too_old, served): (Vec<_>, Vec<_>) = std::mem::take(&mut fill.waiters)
            .into_iter()
            .partition(|waiter| waiter.oldest.is_some_and(|oldest| now.since(dated) > oldest));
        let origin = fetched || answer.cache_status == CacheStatus::FromOrigin;
        for waiter in served {
            let remark = match (waiter.joined, origin) {
                (true, _) => CacheStatus::Joined,
                (false, true) => CacheStatus::FromOrigin,
                (false, false) => CacheStatus::Filled,
            };
            let first_ms = (lasted * 1e5).round() / 1e2;
            let given = give(waiter.id, &copy, waiter.held.as_ref(), waiter.ours, remark, first_ms);
            self.orders.push(Order::Answer { conn: waiter.conn, given });
        }
        // Who joined asking for a younger copy than the fill was begun for gets one of its own.
        if !too_old.is_empty() && !fetched {
            let version = self.versions.pin().unwrap_or(0);
            let again = Fill { waiters: too_old, version, bell: None, stage: Stage::Resting, ..fill };
            self.fills.enter(key, again);
            self.advance(key, now);
        } else {
            too_old.iter().for_each(|waiter| {
                self.refuse(waiter.conn, waiter.id, AnswerStatus::NotFound, CacheStatus::SourceLacks)
            });
        }
    }

    /// Ends a fill that no way is left for. Each of those who wait hears it at once.
    pub(super) fn fail(&mut self, key: Key, remark: CacheStatus) {
        let Some(fill) = self.end(key) else { return };
        // It was refused above for want of room, and never ran: so it is refused here, until that time.
        if let Some(come) = fill.come.filter(|_| remark == CacheStatus::SourceLost) {
            // From when its last pull went out: a little later than it was told, and never earlier.
            let after = come.since(fill.sent);
            for waiter in &fill.waiters {
                self.refuse_until(waiter.conn, waiter.id, waiter.ours.then_some(after));
            }
            return;
        }
        let word = match remark {
            CacheStatus::SourceLacks => AnswerStatus::NotFound,
            // Nothing was sent anywhere: a hub that knows no shape yet.
            CacheStatus::NoFillSlot => AnswerStatus::Busy,
            _ => AnswerStatus::Failed,
        };
        fill.waiters.iter().for_each(|waiter| self.refuse(waiter.conn, waiter.id, word, remark));
    }

    /// Asks its own disk, for a fill that goes nowhere else meanwhile.
    pub(super) fn read_from_disk(&mut self, key: Key, now: Moment) {
        self.stage(key, Stage::Reading, Some(now + STALLED), now);
        self.orders.push(Order::Read { key });
    }

    /// A copy has come from the disk, or can't be had: then the fill goes its usual way.
    pub(super) fn read(&mut self, key: Key, result: ReadResult, now: Moment) {
        let reading = self.fills.get(key).is_some_and(|fill| matches!(fill.stage, Stage::Reading));
        let copy = match result {
            ReadResult::Copy(copy) => Some(copy),
            ReadResult::Busy => None,
            ReadResult::Missing => {
                self.orders.extend(self.copies.not_on_disk(key));
                None
            }
        };
        if !reading {
            return;
        }
        let good = copy.filter(|copy| self.copies.is_still_good(key, copy));
        match good {
            Some(copy) => {
                let tag =
                    CopyTag { digest: copy.digest, dated_ms: copy.dated.micros() / 1_000, group: copy.group };
                let (id, word, remark) = (HexId::from_u64(0), AnswerStatus::Fulfilled, CacheStatus::Hit);
                let answer =
                    Answer { id, status: word, cache_status: remark, first_byte_ms: 0.0, body: copy.body };
                self.filled(key, answer, tag, false, now);
            }
            None if !self.start.stage().allows_fills() => self.turn_away(key, now),
            None => self.advance(key, now),
        }
    }

    /// A fill that can't go on while its start spares the archive: those who wait are told when to come again.
    fn turn_away(&mut self, key: Key, now: Moment) {
        let chance = self.chance.draw();
        let after = self.start.come_again(chance);
        if let Some(fill) = self.fills.get_mut(key) {
            (fill.come, fill.sent) = (Some(now + after), now);
        }
        self.fail(key, CacheStatus::SourceLost);
    }
}
