//! The way to the archive: the right to fetch, what this hub's start lets it fetch, and its part of the gate.
use super::fills::Stage;
use super::{BEAT, Desk};
use harestage::time::Moment;
use harestage_shape::archive_share::ShareLimiter;
use harestage_shape::fetch_rights::{FetchRight, FetchRights, REPLY_TIMEOUT};
use harestage_shape::topology::{ARCHIVE, NodeIndex, Shape};
use harestage_shape::wait_cycles::Key;

pub(super) struct Archive {
    /// This hub's part of the archive's gate.
    pub share: ShareLimiter,
    /// Which home has the right to fetch.
    pub shield: FetchRights,
    /// False: the way that others are measured against, in which a new home fetches without asking the old one.
    hands_over: bool,
}

impl Archive {
    pub fn new(now: Moment) -> Archive {
        Archive { share: ShareLimiter::new(now), shield: FetchRights::default(), hands_over: true }
    }
}

impl Desk {
    /// For measurements only: homes move without being handed over.
    pub fn without_handover(&mut self) {
        self.archive.hands_over = false;
    }

    /// Asks former homes, takes its turn at the gate, and fetches.
    pub(super) fn reach_archive(&mut self, key: Key, me: NodeIndex, shape: &Shape, now: Moment) {
        let silent = self.sites.silent_hubs(shape);
        let Some(fill) = self.fills.get_mut(key) else { return };
        let right = match fill.forced || !self.archive.hands_over {
            true => FetchRight::Own,
            false => {
                let fenced = self.sources.fenced_hubs();
                let asked: Vec<NodeIndex> = fill.asked.iter().chain(fenced).copied().collect();
                self.archive.shield.check(&self.versions, me, key, &asked, &silent, now)
            }
        };
        self.circles.knots.wait_started(key, None, now);
        match right {
            FetchRight::Ask(whom) => {
                let way = self.way(&[], shape.version(), true);
                let pull = self.pull(key, whom, shape, true, Some(way), now);
                self.stage(key, Stage::Asking { pull, whom }, Some(now + REPLY_TIMEOUT), now);
            }
            FetchRight::Ceded { until } => {
                let holder = self.archive.shield.holder(key, now).and_then(|name| shape.find(name));
                let fenced = self.sources.fenced_hubs();
                let holder = holder
                    .filter(|place| *place != me && !fill.avoid.contains(place) && !fenced.contains(place));
                match holder {
                    Some(holder) => self.wait_on(key, holder, &[], shape, now),
                    None => self.stage(key, Stage::Resting, Some(until), now),
                }
            }
            FetchRight::Own => {
                let queued = fill.queued;
                if !self.climbs(now) {
                    return self.stage(key, Stage::Resting, Some(now + BEAT), now);
                }
                let lets = if queued {
                    self.archive.share.retry_fetch(now)
                } else {
                    self.archive.share.try_fetch(now)
                };
                self.fills.get_mut(key).into_iter().for_each(|fill| fill.queued = !lets);
                if !lets {
                    let next = self.archive.share.next_fetch_at(now);
                    return self.stage(key, Stage::Resting, Some(next), now);
                }
                self.gauges.fetches.add(now, 1.0);
                let pull = self.pull(key, ARCHIVE, shape, false, None, now);
                self.stage(key, Stage::Fetching { pull }, None, now);
            }
        }
    }

    /// One fetch within what the archive has proved to bear.
    fn climbs(&mut self, now: Moment) -> bool {
        let part = self.archive.share.rate(now);
        self.start.lets_fetch(part, now)
    }
}
