//! How the start of a hub goes that was away: what it may give out, fetch and keep by now.
use super::{Desk, Order};
use harestage::time::{Moment, Span};
use harestage_copies::index::CopyMetadata;
use harestage_copies::record::Checkpoint;
use harestage_restart::ramp::{ArchiveCapacity, FetchRamp as Climb};
use harestage_restart::stage::{Stage as StartStage, StageChange, Start, StartEvent};

/// Without a disk a start is over at once.
pub(super) struct Starting {
    start: Start,
    climb: Climb,
    /// Fetches that it may make within what the archive has proved to bear, and when they were last reckoned.
    tokens: f64,
    filled: Moment,
}

impl Starting {
    pub fn over(now: Moment) -> Starting {
        Starting { start: Start::completed(now), climb: Climb::new(now), tokens: 0.0, filled: now }
    }

    /// With what its disk has held; `fetched` is how long a fetch usually took.
    fn begin(&mut self, copies: bool, fetched: f64, now: Moment) {
        self.climb = Climb::new(now);
        self.climb.set_usual_fetch_time(fetched);
        self.start = Start::new(now);
        self.start.on_event(StartEvent::IndexRead { copies });
    }

    pub fn hear(&mut self, fact: StartEvent) {
        self.start.on_event(fact);
    }

    pub fn stage(&self) -> StartStage {
        self.start.stage()
    }

    /// Whether a fill may be begun for something of this worth, where the best is worth that.
    pub fn may_begin(&self, worth: f64, best: f64) -> bool {
        match self.start.stage() {
            StartStage::BestFills => self.climb.admits(worth, best),
            stage => stage.allows_fills(),
        }
    }

    /// One fetch within what the archive has proved to bear; `part` is this hub's part of its gate, in fetches a second.
    pub fn lets_fetch(&mut self, part: f64, now: Moment) -> bool {
        if self.start.stage() == StartStage::All {
            return true;
        }
        let rate = part.max(1.0) * self.climb.share();
        let passed = now.since(std::mem::replace(&mut self.filled, now)).seconds();
        self.tokens = (self.tokens + rate * passed).min((rate * 0.5).max(1.0));
        let lets = self.tokens >= 1.0;
        match lets {
            true => self.tokens -= 1.0,
            false => self.climb.on_fetch_withheld(),
        }
        lets
    }

    pub fn fetch_failed(&mut self, now: Moment) {
        self.climb.on_failure(now);
    }

    pub fn fetch_took(&mut self, seconds: f64, now: Moment) {
        self.climb.on_answer(seconds, now);
    }

    /// When whoever can't be served yet is to come again; `chance` spreads them.
    pub fn come_again(&self, chance: f64) -> Span {
        self.climb.retry_after(chance)
    }

    fn beat(&mut self, now: Moment) -> Option<StageChange> {
        self.climb.tick(now);
        self.start.on_event(match self.climb.archive_capacity() {
            ArchiveCapacity::Full => StartEvent::ArchiveAdmitsAll,
            ArchiveCapacity::Partial => StartEvent::ArchiveAdmitsSome,
            ArchiveCapacity::None => StartEvent::ArchiveAdmitsNone,
        });
        self.start.tick(now)
    }
}

impl Desk {
    /// What its disk has held through the time that it was away. Nothing of it counts before the purges that may cover it
    /// are known; `no_purges` says that nobody tells of any.
    pub fn has_kept(&mut self, metas: Vec<CopyMetadata>, marks: Checkpoint, no_purges: bool, now: Moment) {
        let copies = self.copies.have_disk(metas, marks);
        self.start.begin(copies > 0, marks.fetch_seconds, now);
        if no_purges {
            self.start.hear(StartEvent::PurgesNotFollowed);
        }
    }

    /// Staff holds its start where it is, or lets it go on.
    pub fn hold_start(&mut self, held: bool) {
        self.start.hear(if held { StartEvent::Held } else { StartEvent::Released });
    }

    /// Where its start is, and why it waits.
    pub fn start(&self) -> &Start {
        &self.start.start
    }

    pub(super) fn start_beats(&mut self, now: Moment) {
        if !self.copies.has_disk() {
            return;
        }
        let turn = self.start.beat(now);
        self.orders.extend(turn.map(Order::Started));
        self.remember(now);
    }
}
