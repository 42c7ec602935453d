//! What the keeper knows of all processes: their chains and gaps, which versions they acted on and when, and where the records
//! of two processes contradict each other. All times are by the clock of the keeper. Times of a process are converted with the
//! smallest difference to its clock that its reports have shown.
use crate::chain::{Body, Interval, Link, Outcome};
use crate::obligations::{Obligations, Staleness, VersionKind};
use crate::stamp::{Stamp, Versions};
use harestage::time::{Moment, Span as Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most chains in memory. Beyond that the one that was heard from longest ago is dropped here; it stays on disk.
const MAX_CHAINS: usize = 16_384;
/// Most periods in memory.
const MAX_PERIODS: usize = 65_536;
/// Most findings in memory.
const MAX_FINDINGS: usize = 4_096;
/// Most gaps of one chain.
const MAX_GAPS_PER_CHAIN: usize = 64;
/// Most intervals whose sketches are stored for [`History::intervals_with`].
const MAX_SKETCHES: usize = 16_384;
/// Most versions whose upstream links are stored.
const MAX_VERSIONS: usize = 64;
/// Most declared stamps of one chain: the newest, which cover 42 s at twelve purges a second. Whether an older stamp was
/// declared is no longer known.
const MAX_STAMPS_PER_CHAIN: usize = 512;
/// Two starts of one member that both report within this time are two processes running at once.
const CONCURRENT_WITHIN: Time = Time::millis(2_000);
/// Time by which the declaration of a stamp may arrive after a hub has seen a pull under it.
const DECLARATION_DELAY: Time = Time::millis(5_000);
/// Pulls over upstream links that their version does not have, before they count as a finding. When its links change a router
/// cancels unsent pulls, but a few may already be in flight.
const MIN_CONTRADICTING_PULLS: u64 = 8;

/// Result of adding a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkOutcome {
    /// The link is new and has to be stored.
    New,
    /// The link is stored already.
    Duplicate,
    /// The link contradicts its hash or its chain; the reason.
    Rejected(String),
}

/// A period of a process without a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    pub member: String,
    pub start: u64,
    /// First and last missing link, if known.
    pub links: Option<(u64, u64)>,
    /// First and last missing download, as far as their sequence numbers show.
    pub downloads: Option<(u64, u64)>,
    /// Begin and end by the keeper's clock, Unix milliseconds.
    pub from_ms: u64,
    pub to_ms: u64,
    #[serde(rename = "why")]
    pub reason: String,
}

/// A violation that the keeper has found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Finding {
    /// A link that contradicts its hash or its chain.
    Altered {
        member: String,
        start: u64,
        number: u64,
        #[serde(rename = "why")]
        reason: String,
    },
    /// Two processes with the same name report at the same time.
    #[serde(rename = "twins")]
    ConcurrentStarts { member: String, starts: (u64, u64), at_ms: u64 },
    /// A hub has seen a stamp that the puller never declared.
    Undeclared { member: String, stamp: Stamp, hub: String, pulls: u64 },
    /// A process declares one version and pulls over upstream links that only another version has.
    #[serde(rename = "acts_by_other")]
    UsesOtherVersion {
        member: String,
        #[serde(rename = "says")]
        declared: u64,
        #[serde(rename = "acts_by")]
        actual: Option<u64>,
        place: String,
        hub: String,
        pulls: u64,
    },
    /// A hub admitted pulls under a forbidden stamp.
    #[serde(rename = "taken_past")]
    ForbiddenAccepted {
        member: String,
        stamp: Stamp,
        hub: String,
        pulls: u64,
        #[serde(rename = "past_ms")]
        overdue_ms: u64,
    },
}

/// A period of one process under one stamp.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampPeriod {
    pub member: String,
    pub start: u64,
    pub stamp: Stamp,
    /// The versions of the stamp, if the process has declared them.
    #[serde(rename = "goes")]
    pub versions: Option<Versions>,
    /// Begin and end by the keeper's clock, Unix milliseconds.
    pub from_ms: u64,
    pub to_ms: u64,
    /// Sequence numbers of its first and last download.
    pub downloads: Option<(u64, u64)>,
    /// Number of downloads, by content type and outcome.
    pub counts: BTreeMap<String, u64>,
    /// Number of pulls that it sent.
    pub pulls: u64,
    /// Number of received pulls that it refused.
    pub refused: u64,
    /// When the oldest copy that it served was made, Unix milliseconds; 0 if none was served.
    pub oldest_ms: u64,
    /// Worst staleness of the stamp at the end of an interval.
    #[serde(rename = "stood")]
    pub worst_staleness: Staleness,
    /// How long the process had been behind at the end of its last interval.
    #[serde(rename = "lacked_ms")]
    pub behind_ms: Option<u64>,
}

/// An interval that may contain a certain download.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateInterval {
    pub member: String,
    pub start: u64,
    pub link: u64,
    pub stamp: Stamp,
    #[serde(rename = "goes")]
    pub versions: Option<Versions>,
    pub from_ms: u64,
    pub to_ms: u64,
    /// Whether it is certain: it is for the first and the last download of an interval, while the sketch has a false positive
    /// for one in a hundred others.
    #[serde(rename = "sure")]
    pub exact: bool,
}

/// Totals over all chains, and their gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    pub members: usize,
    pub chains: usize,
    pub links: u64,
    pub downloads: u64,
    pub gaps: Vec<Gap>,
}

/// The versions that a chain has declared, by their stamps.
#[derive(Clone, Debug, Default)]
struct Declared {
    versions: BTreeMap<Stamp, Versions>,
    /// Stamps from oldest to newest.
    by_age: VecDeque<Stamp>,
    /// Highest shape and purge of the dropped stamps.
    dropped: Option<(u64, u64)>,
}

impl Declared {
    fn add(&mut self, versions: &Versions) {
        let stamp = versions.stamp();
        if self.versions.insert(stamp, versions.clone()).is_none() {
            self.by_age.push_back(stamp);
        }
        while self.by_age.len() > MAX_STAMPS_PER_CHAIN {
            let Some(oldest) = self.by_age.pop_front() else { return };
            self.versions.remove(&oldest);
            let (shape, purge) = self.dropped.unwrap_or_default();
            self.dropped = Some((shape.max(oldest.shape), purge.max(oldest.purge)));
        }
    }

    fn get(&self, stamp: &Stamp) -> Option<&Versions> {
        self.versions.get(stamp)
    }

    /// Whether the stamp was declared, or may have been among the dropped ones.
    fn may_contain(&self, stamp: &Stamp) -> bool {
        let may_be_dropped = |(shape, purge): (u64, u64)| stamp.shape <= shape && stamp.purge <= purge;
        self.versions.contains_key(stamp) || self.dropped.is_some_and(may_be_dropped)
    }
}

/// State of the chain of one start of a process.
#[derive(Clone, Debug, Default)]
struct Chain {
    /// Number and hash of the last link.
    number: u64,
    hash: String,
    /// Sequence number of the last recorded download.
    last_download: u64,
    stamp: Stamp,
    declared: Declared,
    /// Smallest observed lead of the keeper's clock over the member's, microseconds; may be negative.
    clock_lead: i64,
    first_heard: Moment,
    last_heard: Moment,
    ended: bool,
    gaps: Vec<Gap>,
}

impl Chain {
    /// Converts a time of the member to the clock of the keeper.
    fn keeper_time(&self, member_ms: u64) -> Moment {
        Moment::at_micros((member_ms.saturating_mul(1_000)).saturating_add_signed(self.clock_lead))
            .min(self.last_heard)
    }
}

/// The sketch of an interval.
struct SketchedInterval {
    key: ChainKey,
    link: u64,
    stamp: Stamp,
    from: Moment,
    to: Moment,
    first: u64,
    last: u64,
    ids: crate::sketch::Sketch,
}

/// A member and the number of its start.
type ChainKey = (String, u64);

/// Pulls of one puller under one stamp, as recorded by a hub.
#[derive(Clone, Copy, Debug, Default)]
struct ObservedPulls {
    accepted: u64,
    refused: u64,
    first: Moment,
    /// Pulls over upstream links that the declared version does not have.
    contradicting: u64,
    /// Whether a finding was reported for them.
    reported: bool,
}

/// The history of all processes.
#[derive(Default)]
pub struct History {
    chains: BTreeMap<ChainKey, Chain>,
    periods: VecDeque<StampPeriod>,
    sketches: VecDeque<SketchedInterval>,
    findings: VecDeque<Finding>,
    /// By puller, its place, its stamp, and the hub.
    observed: BTreeMap<(String, String, Stamp, String), ObservedPulls>,
    /// The upstream links of branches in each version, as sets of the nodes that their routers may pull from.
    upstreams: BTreeMap<u64, BTreeMap<String, BTreeSet<String>>>,
    links: u64,
    downloads: u64,
}

impl History {
    /// Stores the upstream links of a version: for each branch, the nodes that its routers may pull from.
    pub fn shape_published(&mut self, number: u64, upstreams: BTreeMap<String, BTreeSet<String>>) {
        self.upstreams.insert(number, upstreams);
        while self.upstreams.len() > MAX_VERSIONS {
            self.upstreams.pop_first();
        }
    }

    /// A report has arrived. `now_ms` is the time by the clock of the member.
    pub fn on_report(&mut self, member: &str, start: u64, now_ms: u64, now: Moment) {
        let concurrent = self.chains.iter().find(|((name, other), chain)| {
            name == member
                && *other > start
                && !chain.ended
                && now.since(chain.last_heard) < CONCURRENT_WITHIN
                && now.since(chain.first_heard) >= CONCURRENT_WITHIN
        });
        if let Some(((_, other), _)) = concurrent {
            let starts = (start, *other);
            let known =
                |f: &Finding| matches!(f, Finding::ConcurrentStarts { starts: s, .. } if *s == starts);
            if !self.findings.iter().any(known) {
                let at_ms = now.micros() / 1_000;
                self.add_finding(Finding::ConcurrentStarts { member: member.into(), starts, at_ms });
            }
        }
        let clock_lead = now.micros() as i64 - (now_ms.saturating_mul(1_000)) as i64;
        let chain = self.chains.entry((member.into(), start)).or_insert_with(|| Chain {
            clock_lead,
            first_heard: now,
            last_heard: now,
            ..Chain::default()
        });
        (chain.clock_lead, chain.last_heard) = (chain.clock_lead.min(clock_lead), now);
        self.limit_chains();
    }

    /// Drops the oldest chains beyond the limit.
    fn limit_chains(&mut self) {
        while self.chains.len() > MAX_CHAINS {
            let oldest =
                self.chains.iter().min_by_key(|(_, chain)| chain.last_heard).map(|(key, _)| key.clone());
            oldest.map(|key| self.chains.remove(&key));
        }
    }

    fn add_finding(&mut self, finding: Finding) {
        self.findings.push_back(finding);
        while self.findings.len() > MAX_FINDINGS {
            self.findings.pop_front();
        }
    }

    /// Adds one link. A new one has to be on disk before it is acknowledged.
    pub fn add_link(&mut self, link: &Link, obligations: &Obligations, now: Moment) -> LinkOutcome {
        let key = (link.member.clone(), link.start);
        let altered = |reason: &str| Finding::Altered {
            member: link.member.clone(),
            start: link.start,
            number: link.number,
            reason: reason.into(),
        };
        if !link.is_intact() {
            self.add_finding(altered("the hash does not match the contents"));
            return LinkOutcome::Rejected("the hash does not match the contents".into());
        }
        let new = Chain { first_heard: now, last_heard: now, ..Chain::default() };
        let chain_state = self.chains.get(&key).unwrap_or(&new);
        let wrong = match link.number {
            n if n == chain_state.number && n > 0 && link.hash != chain_state.hash => {
                Some("another link has this number")
            }
            n if n <= chain_state.number => return LinkOutcome::Duplicate,
            n if n == chain_state.number + 1 && link.previous_hash != chain_state.hash => {
                Some("it does not follow the previous link")
            }
            _ => None,
        };
        if let Some(reason) = wrong {
            self.add_finding(altered(reason));
            return LinkOutcome::Rejected(reason.into());
        }
        let gap = match (chain_state.number, &link.body) {
            (0, Body::Began { last_link: known, .. }) if link.number == 1 => {
                self.between_starts(link, known.as_ref(), now)
            }
            (before, _) if link.number > before + 1 => Some(self.missing_links(chain_state, link)),
            _ => None,
        };
        let chain = self.chains.entry(key.clone()).or_insert(new);
        if let Some(gap) = gap
            && chain.gaps.len() < MAX_GAPS_PER_CHAIN
        {
            chain.gaps.push(gap);
        }
        (chain.number, chain.hash) = (link.number, link.hash.clone());
        self.links += 1;
        match &link.body {
            Body::Began { versions, .. } | Body::Switched { versions } => {
                chain.stamp = versions.stamp();
                chain.declared.add(versions);
                let at = chain.keeper_time(link.at_ms);
                self.begin_period(&key, at);
            }
            Body::Interval(interval) => {
                chain.last_download = chain.last_download.max(interval.to);
                self.downloads += interval.download_count();
                self.add_interval(&key, link.number, interval, obligations);
            }
            Body::Ended => chain.ended = true,
        }
        LinkOutcome::New
    }

    /// The gap between the last link of the previous start and the first of this one.
    fn between_starts(
        &self,
        link: &Link,
        known: Option<&crate::chain::LastLink>,
        now: Moment,
    ) -> Option<Gap> {
        let before =
            self.chains.range((link.member.clone(), 0)..(link.member.clone(), link.start)).next_back();
        let (start, number, from, ended) = match (before, known) {
            (Some(((_, start), chain)), _) => (*start, chain.number, chain.last_heard, chain.ended),
            (None, Some(known)) => (known.start, known.number, now, false),
            (None, None) => return None,
        };
        let declared_last = known.filter(|k| k.start == start).map_or(0, |k| k.number);
        // It ended in order, and all its links are stored.
        if ended && declared_last <= number {
            return None;
        }
        Some(Gap {
            member: link.member.clone(),
            start,
            links: (declared_last > number).then_some((number + 1, declared_last)),
            downloads: None,
            from_ms: from.micros() / 1_000,
            to_ms: now.micros() / 1_000,
            reason: "it ended without a final link".into(),
        })
    }

    /// The gap before a link that does not directly follow the last one.
    fn missing_links(&self, chain_state: &Chain, link: &Link) -> Gap {
        let from_dl = chain_state.last_download + 1;
        let to_dl = match &link.body {
            Body::Interval(interval) if interval.from > from_dl => Some(interval.from - 1),
            _ => None,
        };
        Gap {
            member: link.member.clone(),
            start: link.start,
            links: Some((chain_state.number + 1, link.number - 1)),
            downloads: to_dl.map(|to| (from_dl, to)),
            from_ms: chain_state.last_heard.micros() / 1_000,
            to_ms: chain_state.keeper_time(link.at_ms).micros() / 1_000,
            reason: "links are missing".into(),
        }
    }

    /// Begins a period under the current stamp of a chain.
    fn begin_period(&mut self, key: &ChainKey, at: Moment) {
        let Some(chain) = self.chains.get(key) else { return };
        let at_ms = at.micros() / 1_000;
        let period = StampPeriod {
            member: key.0.clone(),
            start: key.1,
            stamp: chain.stamp,
            versions: chain.declared.get(&chain.stamp).cloned(),
            from_ms: at_ms,
            to_ms: at_ms,
            downloads: None,
            counts: BTreeMap::new(),
            pulls: 0,
            refused: 0,
            oldest_ms: 0,
            worst_staleness: Staleness::UpToDate,
            behind_ms: None,
        };
        self.periods.push_back(period);
        while self.periods.len() > MAX_PERIODS {
            self.periods.pop_front();
        }
    }

    /// Adds an interval to the periods, sketches and observed pulls.
    fn add_interval(&mut self, key: &ChainKey, number: u64, interval: &Interval, obligations: &Obligations) {
        let Some(chain) = self.chains.get(key) else { return };
        let (from, to, current_stamp) =
            (chain.keeper_time(interval.began_ms), chain.keeper_time(interval.ended_ms), chain.stamp);
        if !interval.ids.is_empty() {
            let sketch = SketchedInterval {
                key: key.clone(),
                link: number,
                stamp: interval.stamp,
                from,
                to,
                first: interval.first,
                last: interval.last,
                ids: interval.ids.clone(),
            };
            self.sketches.push_back(sketch);
            while self.sketches.len() > MAX_SKETCHES {
                self.sketches.pop_front();
            }
        }
        for received in &interval.received {
            let puller = (received.puller.clone(), received.place.clone(), received.stamp, key.0.clone());
            let contradicting = self.contradicts_version(&received.place, &received.stamp, &key.0);
            let observed = self
                .observed
                .entry(puller)
                .or_insert(ObservedPulls { first: from, ..ObservedPulls::default() });
            observed.accepted += received.accepted;
            observed.refused += received.refused;
            if contradicting {
                observed.contradicting += received.accepted;
            }
            if received.accepted > 0 && obligations.staleness(&received.stamp, from) == Staleness::Forbidden {
                let past = obligations.most_overdue(&received.stamp, from).map(|(kind, _, since)| {
                    let grace = if kind == VersionKind::Shape {
                        crate::obligations::SHAPE_GRACE
                    } else {
                        crate::obligations::PURGE_GRACE
                    };
                    from.since(since + grace.forbidden_after)
                });
                let finding = Finding::ForbiddenAccepted {
                    member: received.puller.clone(),
                    stamp: received.stamp,
                    hub: key.0.clone(),
                    pulls: received.accepted,
                    overdue_ms: past.map_or(0, |past| past.as_micros() / 1_000),
                };
                self.add_finding(finding);
            }
        }
        // Extends the last period of this start under this stamp, or begins one if the change to it is missing.
        let is_current = |period: &&mut StampPeriod| {
            (&period.member, period.start, period.stamp) == (&key.0, key.1, interval.stamp)
        };
        if self.periods.iter_mut().rev().find(is_current).is_none() {
            self.chains.entry(key.clone()).and_modify(|chain| chain.stamp = interval.stamp);
            self.begin_period(key, from);
            self.chains.entry(key.clone()).and_modify(|chain| chain.stamp = current_stamp);
        }
        let Some(period) = self.periods.iter_mut().rev().find(is_current) else { return };
        period.to_ms = period.to_ms.max(to.micros() / 1_000);
        if interval.to > 0 {
            let first = period.downloads.map_or(interval.from, |(first, _)| first);
            period.downloads = Some((first, interval.to));
        }
        for count in &interval.downloads {
            let name = format!("{} {}", count.content, outcome_name(count.outcome));
            *period.counts.entry(name).or_default() += count.count;
        }
        period.pulls += interval.pulls.iter().map(|(_, count)| count).sum::<u64>();
        period.refused += interval.received.iter().map(|a| a.refused).sum::<u64>();
        if interval.oldest_ms > 0 {
            period.oldest_ms = if period.oldest_ms == 0 {
                interval.oldest_ms
            } else {
                period.oldest_ms.min(interval.oldest_ms)
            };
        }
        period.worst_staleness = obligations.staleness(&interval.stamp, to).max(period.worst_staleness);
        period.behind_ms = obligations
            .most_overdue(&interval.stamp, to)
            .map(|(_, _, since)| to.since(since).as_micros() / 1_000);
    }

    /// Whether a router of a branch had no upstream link to that hub in the version that it declares. For unknown versions and places
    /// nothing is known, so this is false.
    fn contradicts_version(&self, place: &str, stamp: &Stamp, hub: &str) -> bool {
        let upstreams = self.upstreams.get(&stamp.shape).and_then(|version| version.get(place));
        upstreams.is_some_and(|upstreams| !upstreams.contains(hub))
    }

    /// Compares the pulls that hubs have recorded with what the pullers declare; to be called several times a second.
    pub fn tick(&mut self, now: Moment) {
        let mut found = Vec::new();
        for ((puller, place, stamp, hub), observed) in
            self.observed.iter_mut().filter(|(_, observed)| !observed.reported)
        {
            let starts = (puller.clone(), 0)..(puller.clone(), u64::MAX);
            let declared =
                |stamp: &Stamp| self.chains.range(starts.clone()).any(|(_, c)| c.declared.may_contain(stamp));
            let pulls = observed.accepted + observed.refused;
            // The upstream links of a fallback plan are in no version.
            let has_plan = self
                .chains
                .range(starts.clone())
                .any(|(_, c)| c.declared.get(stamp).is_some_and(|versions| !versions.plan.is_empty()));
            if observed.contradicting >= MIN_CONTRADICTING_PULLS && !has_plan {
                let actual = self.upstreams.range(..).rev().find(|(number, version)| {
                    **number != stamp.shape
                        && version.get(place).is_some_and(|upstreams| upstreams.contains(hub))
                });
                let (member, place, hub) = (puller.clone(), place.clone(), hub.clone());
                let actual = actual.map(|(number, _)| *number);
                found.push(Finding::UsesOtherVersion {
                    member,
                    declared: stamp.shape,
                    actual,
                    place,
                    hub,
                    pulls: observed.contradicting,
                });
                observed.reported = true;
            } else if now.since(observed.first) >= DECLARATION_DELAY && !declared(stamp) {
                found.push(Finding::Undeclared {
                    member: puller.clone(),
                    stamp: *stamp,
                    hub: hub.clone(),
                    pulls,
                });
                observed.reported = true;
            }
        }
        found.into_iter().for_each(|finding| self.add_finding(finding));
        // Old observations are dropped.
        let expired = |observed: &ObservedPulls| now.since(observed.first) > Time::millis(600_000);
        self.observed.retain(|_, observed| !expired(observed));
    }

    /// Members whose declarations were contradicted by a hub.
    pub fn contradicted_members(&self) -> BTreeSet<&str> {
        let contradicted = |finding: &'_ Finding| match finding {
            Finding::UsesOtherVersion { member, .. } | Finding::Undeclared { member, .. } => {
                Some(member.clone())
            }
            _ => None,
        };
        let names: BTreeSet<String> = self.findings.iter().filter_map(contradicted).collect();
        self.findings
            .iter()
            .filter_map(|finding| match finding {
                Finding::UsesOtherVersion { member, .. } | Finding::Undeclared { member, .. } => {
                    Some(member.as_str())
                }
                _ => None,
            })
            .filter(|name| names.contains(*name))
            .collect()
    }

    /// All findings, oldest first.
    pub fn findings(&self) -> impl Iterator<Item = &Finding> {
        self.findings.iter()
    }

    /// Number of the last link of a start, which is acknowledged to the process; 0 if there is none.
    pub fn last_contiguous(&self, member: &str, start: u64) -> u64 {
        self.chains.get(&(member.to_string(), start)).map_or(0, |chain| chain.number)
    }

    /// The periods that overlap a time range by the keeper's clock.
    pub fn periods_between(&self, from_ms: u64, to_ms: u64) -> Vec<StampPeriod> {
        let within = |period: &&StampPeriod| period.from_ms <= to_ms && period.to_ms >= from_ms;
        self.periods.iter().filter(within).cloned().collect()
    }

    /// When each start of each member adopted a version: the begin of its first period whose stamp has it.
    pub fn adoption_times(&self, has: impl Fn(&Stamp) -> bool) -> BTreeMap<ChainKey, Option<u64>> {
        let mut adopted: BTreeMap<ChainKey, Option<u64>> =
            self.chains.keys().map(|key| (key.clone(), None)).collect();
        for period in &self.periods {
            let at = adopted.entry((period.member.clone(), period.start)).or_default();
            if at.is_none() && has(&period.stamp) {
                *at = Some(period.from_ms);
            }
        }
        adopted
    }

    /// The intervals that may contain a download.
    pub fn intervals_with(&self, id: u64) -> Vec<CandidateInterval> {
        let may_contain = |s: &&SketchedInterval| s.first == id || s.last == id || s.ids.may_contain(id);
        let candidate = |s: &SketchedInterval| CandidateInterval {
            member: s.key.0.clone(),
            start: s.key.1,
            link: s.link,
            stamp: s.stamp,
            versions: self.chains.get(&s.key).and_then(|chain| chain.declared.get(&s.stamp).cloned()),
            from_ms: s.from.micros() / 1_000,
            to_ms: s.to.micros() / 1_000,
            exact: s.first == id || s.last == id,
        };
        self.sketches.iter().filter(may_contain).map(candidate).collect()
    }

    /// Totals over all chains, and their gaps.
    pub fn summary(&self) -> Summary {
        let members: BTreeSet<&String> = self.chains.keys().map(|(name, _)| name).collect();
        Summary {
            members: members.len(),
            chains: self.chains.len(),
            links: self.links,
            downloads: self.downloads,
            gaps: self.chains.values().flat_map(|chain| chain.gaps.iter().cloned()).collect(),
        }
    }
}

/// Name of an outcome, as used in counts.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Fulfilled => "fulfilled",
        Outcome::Throttled => "throttled",
        Outcome::Abandoned => "abandoned",
        Outcome::ClientLeft => "left",
    }
}
