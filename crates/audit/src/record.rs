//! The recorder of a process: which versions each download was handled under, in links that are sent until they are
//! acknowledged. For each download it only increments a counter and appends an id; everything else is done in
//! [`Recorder::tick`].
//!
//! Memory is bounded: an interval is closed after a second or when its list of ids is full. Unacknowledged links are kept up to
//! a limit; then the oldest are dropped, which shows as a gap in the chain that is never filled.
use crate::chain::{Body, DownloadCount, Interval, LastLink, Link, OUTCOMES, Outcome, ReceivedPulls};
use crate::sketch::Ids;
use crate::stamp::{Stamp, Versions};
use harestage::time::{Moment, Span as Time};
use std::collections::{BTreeMap, VecDeque};

/// Duration after which an interval is closed, if anything was counted in it.
const INTERVAL: Time = Time::millis(1_000);
/// Most links that wait for their acknowledgement.
const MAX_PENDING_LINKS: usize = 1_024;
/// Most links in one report.
const MAX_LINKS_PER_REPORT: usize = 32;
/// Most previous stamps whose downloads may still be in progress: 85 s at twelve purges a second, longer than any download
/// deadline.
const MAX_PREVIOUS_STAMPS: usize = 1_024;
/// Most pullers, and most receivers of pulls, in one interval.
const MAX_PEERS: usize = 512;

/// A content type, as its index in the list that was passed to the recorder.
pub type ContentIndex = usize;

/// A stamp, as the number of version changes before it.
pub type StampSequence = u64;

/// An interval that is still open.
#[derive(Debug, Default)]
struct OpenInterval {
    /// Sequence numbers of its first and last download; 0 if there are none yet.
    from: u64,
    to: u64,
    began: Moment,
    counts: Vec<[u64; OUTCOMES.len()]>,
    pulls: BTreeMap<String, u64>,
    /// Admitted and refused pulls, by puller, its place and its stamp.
    received: BTreeMap<(String, String, Stamp), (u64, u64)>,
    oldest_ms: u64,
    ids: Ids,
}

impl OpenInterval {
    fn new(contents: usize, began: Moment) -> OpenInterval {
        OpenInterval { began, counts: vec![Default::default(); contents], ..OpenInterval::default() }
    }

    /// Counts a download. True if the interval is full and has to be closed.
    fn add(&mut self, number: u64, content: ContentIndex, outcome: Outcome, id: u64) -> bool {
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
        self.ids.is_empty() && self.pulls.is_empty() && self.received.is_empty()
    }
}

/// The recorder of one start of one process.
#[derive(Debug)]
pub struct Recorder {
    member: String,
    start: u64,
    versions: Versions,
    stamp: Stamp,
    contents: Vec<String>,
    /// Number of downloads so far.
    downloads: u64,
    open: OpenInterval,
    /// Downloads under previous stamps that have ended since, by the number of the stamp.
    late: BTreeMap<StampSequence, OpenInterval>,
    /// Previous stamps, with consecutive numbers.
    previous_stamps: VecDeque<(StampSequence, Stamp)>,
    /// Number of the current stamp.
    sequence: StampSequence,
    /// Number and hash of the newest link.
    number: u64,
    hash: String,
    /// Links that are not acknowledged.
    pending: VecDeque<Link>,
    dropped: u64,
}

impl Recorder {
    /// Starts a record. `known`: the last link of the previous start, if it is known.
    pub fn new(
        member: &str,
        start: u64,
        contents: Vec<String>,
        versions: Versions,
        known: Option<LastLink>,
        now: Moment,
    ) -> Recorder {
        let stamp = versions.stamp();
        let mut recorder = Recorder {
            member: member.into(),
            start,
            versions: versions.clone(),
            stamp,
            open: OpenInterval::new(contents.len(), now),
            contents,
            downloads: 0,
            late: BTreeMap::new(),
            previous_stamps: VecDeque::new(),
            sequence: 0,
            number: 0,
            hash: String::new(),
            pending: VecDeque::new(),
            dropped: 0,
        };
        recorder.add_link(Body::Began { versions, last_link: known }, now);
        recorder
    }

    /// Name of the process.
    pub fn member(&self) -> &str {
        &self.member
    }

    /// Number of its start.
    pub fn start(&self) -> u64 {
        self.start
    }

    /// Its current versions.
    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    /// Its current stamp.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Number of counted downloads.
    pub fn downloads(&self) -> u64 {
        self.downloads
    }

    /// Number of links that were dropped because too many were pending.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Changes the versions. Open intervals are closed under their own stamps.
    pub fn set_versions(&mut self, versions: Versions, now: Moment) {
        if versions == self.versions {
            return;
        }
        self.close(now);
        self.previous_stamps.push_back((self.sequence, self.stamp));
        self.sequence += 1;
        while self.previous_stamps.len() > MAX_PREVIOUS_STAMPS {
            self.previous_stamps.pop_front();
        }
        (self.stamp, self.versions) = (versions.stamp(), versions.clone());
        self.add_link(Body::Switched { versions }, now);
    }

    /// Number of the current stamp, for a download whose last pull is sent now.
    pub fn stamp_sequence(&self) -> StampSequence {
        self.sequence
    }

    /// A download has ended; it counts under the current stamp.
    pub fn download_ended(&mut self, content: ContentIndex, outcome: Outcome, id: u64, now: Moment) {
        self.downloads += 1;
        if self.open.add(self.downloads, content, outcome, id) {
            self.close(now);
        }
    }

    /// A download has ended whose last pull was sent under an earlier stamp; it counts under that one.
    pub fn download_ended_under(
        &mut self,
        sequence: StampSequence,
        content: ContentIndex,
        outcome: Outcome,
        id: u64,
        now: Moment,
    ) {
        if sequence == self.sequence || self.stamp_of(sequence).is_none() {
            return self.download_ended(content, outcome, id, now);
        }
        self.downloads += 1;
        let contents = self.contents.len();
        let open = self.late.entry(sequence).or_insert_with(|| OpenInterval::new(contents, now));
        if open.add(self.downloads, content, outcome, id) {
            self.close(now);
        }
    }

    /// A pull was sent under the current stamp.
    pub fn pull_sent(&mut self, receiver: &str, now: Moment) {
        match self.open.pulls.get_mut(receiver) {
            Some(count) => *count += 1,
            None => {
                if self.open.pulls.len() >= MAX_PEERS {
                    self.close(now);
                }
                self.open.pulls.insert(receiver.into(), 1);
            }
        }
    }

    /// A pull was received, with the stamp of its puller.
    pub fn pull_received(&mut self, puller: &str, place: &str, stamp: Stamp, accepted: bool, now: Moment) {
        if self.open.received.len() >= MAX_PEERS {
            self.close(now);
        }
        let key = (puller.to_string(), place.to_string(), stamp);
        let (accepted_count, refused_count) = (u64::from(accepted), u64::from(!accepted));
        let counts = self.open.received.entry(key).or_default();
        *counts = (counts.0 + accepted_count, counts.1 + refused_count);
    }

    /// A copy was served that was made at this time, Unix milliseconds.
    pub fn copy_served(&mut self, made_ms: u64) {
        let oldest = &mut self.open.oldest_ms;
        *oldest = if *oldest == 0 { made_ms } else { made_ms.min(*oldest) };
    }

    /// Closes due intervals; to be called several times a second.
    pub fn tick(&mut self, now: Moment) {
        let due = |open: &OpenInterval| now.since(open.began) >= INTERVAL;
        if due(&self.open) || self.late.values().any(due) {
            self.close(now);
        }
    }

    /// Ends the record at an orderly shutdown: open intervals are closed and the last link is added.
    pub fn finish(&mut self, now: Moment) {
        self.close(now);
        self.add_link(Body::Ended, now);
    }

    /// A previous stamp, by its number; the stored numbers are consecutive.
    fn stamp_of(&self, sequence: StampSequence) -> Option<Stamp> {
        let (first, _) = self.previous_stamps.front()?;
        let (_, stamp) = self.previous_stamps.get(sequence.checked_sub(*first)? as usize)?;
        Some(*stamp)
    }

    /// Closes all open intervals, those of previous stamps first.
    fn close(&mut self, now: Moment) {
        for (sequence, open) in std::mem::take(&mut self.late) {
            if let Some(stamp) = self.stamp_of(sequence) {
                self.close_interval(open, stamp, now);
            }
        }
        let open = std::mem::replace(&mut self.open, OpenInterval::new(self.contents.len(), now));
        self.close_interval(open, self.stamp, now);
    }

    fn close_interval(&mut self, mut open: OpenInterval, stamp: Stamp, now: Moment) {
        if open.is_empty() {
            return;
        }
        let (first, last) = open.ids.first_and_last();
        let downloads = open.counts.iter().zip(&self.contents).flat_map(|(counts, content)| {
            let each = OUTCOMES.iter().zip(counts).filter(|(_, count)| **count > 0);
            each.map(|(outcome, count)| DownloadCount {
                content: content.clone(),
                outcome: *outcome,
                count: *count,
            })
        });
        let received = open.received.into_iter().map(|((puller, place, stamp), (accepted, refused))| {
            ReceivedPulls { puller, place, stamp, accepted, refused }
        });
        let interval = Interval {
            stamp,
            from: open.from,
            to: open.to,
            began_ms: open.began.micros() / 1_000,
            ended_ms: now.micros() / 1_000,
            downloads: downloads.collect(),
            pulls: open.pulls.into_iter().collect(),
            received: received.collect(),
            oldest_ms: open.oldest_ms,
            first,
            last,
            ids: open.ids.take_sketch(),
        };
        self.add_link(Body::Interval(Box::new(interval)), now);
    }

    fn add_link(&mut self, body: Body, now: Moment) {
        self.number += 1;
        let at_ms = now.micros() / 1_000;
        let link = Link::new(&self.member, self.start, self.number, &self.hash, at_ms, body);
        self.hash = link.hash.clone();
        self.pending.push_back(link);
        while self.pending.len() > MAX_PENDING_LINKS {
            self.pending.pop_front();
            self.dropped += 1;
        }
    }

    /// The links of the next report; they are repeated until they are acknowledged.
    pub fn pending_links(&self) -> Vec<Link> {
        self.pending.iter().take(MAX_LINKS_PER_REPORT).cloned().collect()
    }

    /// Whether more links are pending than fit in one report.
    pub fn has_more(&self) -> bool {
        self.pending.len() > MAX_LINKS_PER_REPORT
    }

    /// Whether the keeper has acknowledged all links.
    pub fn is_fully_acknowledged(&self) -> bool {
        self.pending.is_empty()
    }

    /// The keeper has all links up to this number on disk.
    pub fn acknowledged(&mut self, start: u64, upto: u64) {
        if start != self.start {
            return;
        }
        while self.pending.front().is_some_and(|link| link.number <= upto) {
            self.pending.pop_front();
        }
    }

    /// The newest link, for the next start.
    pub fn last_link(&self) -> LastLink {
        LastLink { start: self.start, number: self.number, hash: self.hash.clone() }
    }
}
