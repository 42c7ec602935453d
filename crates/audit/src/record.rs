//! A process's own record: what it acted on, for every download, in links that are sent until they are acknowledged. On the
//! ordinary path a download costs a count in a small table and an id in a list; everything else waits for the next beat.
//!
//! Bounded: a piece ends after a second, or when its list of ids is full; links that nobody acknowledges are kept up to a
//! bound, and then the oldest are dropped, which shows as a gap in the chain and is never filled.
use crate::chain::{Body, DownloadCount, Interval, LastLink, Link, OUTCOMES, Outcome, ReceivedPulls};
use crate::sketch::Ids;
use crate::stamp::{Stamp, Versions};
use harestage::time::{Moment, Span as Time};
use std::collections::{BTreeMap, VecDeque};

/// A piece is closed after as long, if anything was counted in it.
const PIECE: Time = Time::millis(1_000);
/// Links that wait for their acknowledgement.
const MOST_LINKS: usize = 1_024;
/// Links in one report.
const BATCH: usize = 32;
/// Stamps of before whose downloads may still be under way: 85 s of them at twelve purges a second, longer than any deadline.
const MOST_STAMPS: usize = 1_024;
/// Pullers, and those pulled from, that one piece tells apart.
const MOST_OTHERS: usize = 512;

/// A content type, by its place in the list that the record was opened with.
pub type ContentIndex = usize;

/// A stamp, by the number of switches before it.
pub type StampSequence = u64;

#[derive(Debug, Default)]
struct Piece {
    /// Numbers of its first and last download; 0: none yet.
    from: u64,
    to: u64,
    began: Moment,
    counts: Vec<[u64; OUTCOMES.len()]>,
    pulls: BTreeMap<String, u64>,
    answered: BTreeMap<(String, String, Stamp), (u64, u64)>,
    oldest_ms: u64,
    ids: Ids,
}

impl Piece {
    fn new(contents: usize, began: Moment) -> Piece {
        Piece { began, counts: vec![Default::default(); contents], ..Piece::default() }
    }

    /// True: there is no room for another.
    fn enter(&mut self, number: u64, content: ContentIndex, outcome: Outcome, id: u64) -> bool {
        if self.from == 0 {
            self.from = number;
        }
        self.to = number;
        if let Some(count) = self.counts.get_mut(content) {
            count[outcome as usize] += 1;
        }
        !self.ids.push(id)
    }

    fn is_empty(&self) -> bool {
        self.ids.is_empty() && self.pulls.is_empty() && self.answered.is_empty()
    }
}

/// The record of one start of one process.
#[derive(Debug)]
pub struct Recorder {
    member: String,
    start: u64,
    versions: Versions,
    stamp: Stamp,
    contents: Vec<String>,
    /// Downloads so far.
    downloads: u64,
    piece: Piece,
    /// What was acted on under stamps of before, and ended since; by their numbers.
    late: BTreeMap<StampSequence, Piece>,
    /// The stamps of before, and the number of the one in force.
    stamps: VecDeque<(StampSequence, Stamp)>,
    no: StampSequence,
    number: u64,
    hash: String,
    waiting: VecDeque<Link>,
    dropped: u64,
}

impl Recorder {
    /// `known`: the last link that is known of from before this start.
    pub fn new(
        member: &str,
        start: u64,
        contents: Vec<String>,
        goes: Versions,
        known: Option<LastLink>,
        now: Moment,
    ) -> Recorder {
        let stamp = goes.stamp();
        let mut recorder = Recorder {
            member: member.into(),
            start,
            versions: goes.clone(),
            stamp,
            piece: Piece::new(contents.len(), now),
            contents,
            downloads: 0,
            late: BTreeMap::new(),
            stamps: VecDeque::new(),
            no: 0,
            number: 0,
            hash: String::new(),
            waiting: VecDeque::new(),
            dropped: 0,
        };
        recorder.link(Body::Began { versions: goes, last_link: known }, now);
        recorder
    }

    pub fn member(&self) -> &str {
        &self.member
    }

    pub fn start(&self) -> u64 {
        self.start
    }

    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Downloads that were counted.
    pub fn downloads(&self) -> u64 {
        self.downloads
    }

    /// Links that were dropped for want of room.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// From here on it goes by this. What was counted before is closed under what it went by then.
    pub fn set_versions(&mut self, goes: Versions, now: Moment) {
        if goes == self.versions {
            return;
        }
        self.close(now);
        self.stamps.push_back((self.no, self.stamp));
        self.no += 1;
        while self.stamps.len() > MOST_STAMPS {
            self.stamps.pop_front();
        }
        (self.stamp, self.versions) = (goes.stamp(), goes.clone());
        self.link(Body::Switched { versions: goes }, now);
    }

    /// The number of the stamp in force, for a download whose last pull goes out now.
    pub fn stamp_sequence(&self) -> StampSequence {
        self.no
    }

    /// A download has ended; it counts under what the process goes by at this moment.
    pub fn download_ended(&mut self, content: ContentIndex, outcome: Outcome, id: u64, now: Moment) {
        self.downloads += 1;
        if self.piece.enter(self.downloads, content, outcome, id) {
            self.close(now);
        }
    }

    /// The same for one whose last pull went out under that stamp: it was acted on by that, whatever came since.
    pub fn download_ended_under(
        &mut self,
        no: StampSequence,
        content: ContentIndex,
        outcome: Outcome,
        id: u64,
        now: Moment,
    ) {
        if no == self.no || self.stamp_of(no).is_none() {
            return self.download_ended(content, outcome, id, now);
        }
        self.downloads += 1;
        let contents = self.contents.len();
        let piece = self.late.entry(no).or_insert_with(|| Piece::new(contents, now));
        if piece.enter(self.downloads, content, outcome, id) {
            self.close(now);
        }
    }

    /// A pull goes out, under the stamp of this moment.
    pub fn pull_sent(&mut self, from: &str, now: Moment) {
        match self.piece.pulls.get_mut(from) {
            Some(many) => *many += 1,
            None => {
                if self.piece.pulls.len() >= MOST_OTHERS {
                    self.close(now);
                }
                self.piece.pulls.insert(from.into(), 1);
            }
        }
    }

    /// Somebody has pulled here, and says under what.
    pub fn pull_received(&mut self, by: &str, place: &str, stamp: Stamp, taken: bool, now: Moment) {
        if self.piece.answered.len() >= MOST_OTHERS {
            self.close(now);
        }
        let key = (by.to_string(), place.to_string(), stamp);
        let (is_taken, is_refused) = (u64::from(taken), u64::from(!taken));
        let counts = self.piece.answered.entry(key).or_default();
        *counts = (counts.0 + is_taken, counts.1 + is_refused);
    }

    /// A copy was given out that was made then.
    pub fn copy_served(&mut self, made_ms: u64) {
        let oldest = &mut self.piece.oldest_ms;
        *oldest = if *oldest == 0 { made_ms } else { made_ms.min(*oldest) };
    }

    /// To be called some times a second.
    pub fn tick(&mut self, now: Moment) {
        let due = |piece: &Piece| now.since(piece.began) >= PIECE;
        if due(&self.piece) || self.late.values().any(due) {
            self.close(now);
        }
    }

    /// It ends in order: what is open is closed, and nothing follows.
    pub fn finish(&mut self, now: Moment) {
        self.close(now);
        self.link(Body::Ended, now);
    }

    /// A stamp of before, by its number: they stand there without gaps.
    fn stamp_of(&self, no: StampSequence) -> Option<Stamp> {
        let (first, _) = self.stamps.front()?;
        let (_, stamp) = self.stamps.get(no.checked_sub(*first)? as usize)?;
        Some(*stamp)
    }

    /// Closes all that is open: what was acted on under stamps of before first.
    fn close(&mut self, now: Moment) {
        for (no, piece) in std::mem::take(&mut self.late) {
            if let Some(stamp) = self.stamp_of(no) {
                self.close_piece(piece, stamp, now);
            }
        }
        let piece = std::mem::replace(&mut self.piece, Piece::new(self.contents.len(), now));
        self.close_piece(piece, self.stamp, now);
    }

    fn close_piece(&mut self, mut piece: Piece, stamp: Stamp, now: Moment) {
        if piece.is_empty() {
            return;
        }
        let (first, last) = piece.ids.first_and_last();
        let downloads = piece.counts.iter().zip(&self.contents).flat_map(|(counts, content)| {
            let each = OUTCOMES.iter().zip(counts).filter(|(_, many)| **many > 0);
            each.map(|(outcome, many)| DownloadCount {
                content: content.clone(),
                outcome: *outcome,
                count: *many,
            })
        });
        let answered = piece.answered.into_iter().map(|((by, place, stamp), (taken, refused))| {
            ReceivedPulls { puller: by, place, stamp, accepted: taken, refused }
        });
        let span = Interval {
            stamp,
            from: piece.from,
            to: piece.to,
            began_ms: piece.began.micros() / 1_000,
            ended_ms: now.micros() / 1_000,
            downloads: downloads.collect(),
            pulls: piece.pulls.into_iter().collect(),
            received: answered.collect(),
            oldest_ms: piece.oldest_ms,
            first,
            last,
            ids: piece.ids.take_sketch(),
        };
        self.link(Body::Interval(Box::new(span)), now);
    }

    fn link(&mut self, body: Body, now: Moment) {
        self.number += 1;
        let at_ms = now.micros() / 1_000;
        let link = Link::new(&self.member, self.start, self.number, &self.hash, at_ms, body);
        self.hash = link.hash.clone();
        self.waiting.push_back(link);
        while self.waiting.len() > MOST_LINKS {
            self.waiting.pop_front();
            self.dropped += 1;
        }
    }

    /// The links of the next report: the same again until they are acknowledged.
    pub fn pending_links(&self) -> Vec<Link> {
        self.waiting.iter().take(BATCH).cloned().collect()
    }

    /// Whether there is more than one report takes.
    pub fn has_more(&self) -> bool {
        self.waiting.len() > BATCH
    }

    pub fn is_fully_acknowledged(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The keeper has all up to that number on disk.
    pub fn acknowledged(&mut self, start: u64, upto: u64) {
        if start != self.start {
            return;
        }
        while self.waiting.front().is_some_and(|link| link.number <= upto) {
            self.waiting.pop_front();
        }
    }

    /// The newest link, for whoever starts next.
    pub fn last_link(&self) -> LastLink {
        LastLink { start: self.start, number: self.number, hash: self.hash.clone() }
    }
}
