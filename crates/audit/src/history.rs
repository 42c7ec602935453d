//! The keeper's file on every process: its chains, their gaps, what it acted on and when, and where two sides disagree. It
//! believes no clock but the keeper's own: what a process says of times is laid on that by the smallest difference that its
//! reports have shown.
use crate::chain::{Body, Interval, Link, Outcome};
use crate::obligations::{Obligations, Staleness, VersionKind};
use crate::stamp::{Stamp, Versions};
use harestage::time::{Moment, Span as Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Chains that are kept; past it the ones that were heard longest ago are forgotten here, and stay in the files.
const MOST_CHAINS: usize = 16_384;
const MOST_SPELLS: usize = 65_536;
const MOST_FINDINGS: usize = 4_096;
const MOST_GAPS: usize = 64;
/// Pieces whose sketches are kept for `explain`.
const MOST_SKETCHES: usize = 16_384;
/// Versions whose ties are kept.
const MOST_VERSIONS: usize = 64;
/// Stamps that are remembered of each chain: the newest, 42 s of them at twelve purges a second. Of one that is as old as what
/// was forgotten nobody can say any more whether it was declared.
const MOST_STAMPS: usize = 512;
/// Two starts of one member that both speak within as long are two processes.
const TWINS: Time = Time::millis(2_000);
/// What a puller declares may come after what a hub has seen of it, by as long.
const DECLARES_WITHIN: Time = Time::millis(5_000);
/// Pulls by ties that their version lacks before it counts as a finding: a router takes back what has not left yet, and
/// what was under way when its ties changed is no lie.
const ODD_PULLS: u64 = 8;

/// What came of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkOutcome {
    /// To be written down.
    New,
    /// It was taken before.
    Duplicate,
    /// It is not what it says that it is.
    Rejected(String),
}

/// Where nothing is known of what a process did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    pub member: String,
    pub start: u64,
    /// Links that were never seen; none between two starts.
    pub links: Option<(u64, u64)>,
    /// Downloads that lie in it, as far as their numbers show.
    pub downloads: Option<(u64, u64)>,
    /// The keeper's clock.
    pub from_ms: u64,
    pub to_ms: u64,
    #[serde(rename = "why")]
    pub reason: String,
}

/// Something that should not be.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Finding {
    Altered {
        member: String,
        start: u64,
        number: u64,
        #[serde(rename = "why")]
        reason: String,
    },
    #[serde(rename = "twins")]
    ConcurrentStarts { member: String, starts: (u64, u64), at_ms: u64 },
    /// A hub has seen a stamp that its bearer never declared.
    Undeclared { member: String, stamp: Stamp, hub: String, pulls: u64 },
    /// It says one version and acts by ties that only another has.
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
    /// A hub took pulls under a stamp that was forbidden.
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

/// A stretch of one process under one stamp.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampPeriod {
    pub member: String,
    pub start: u64,
    pub stamp: Stamp,
    /// What the stamp stands for, where the process has declared it.
    #[serde(rename = "goes")]
    pub versions: Option<Versions>,
    /// The keeper's clock.
    pub from_ms: u64,
    pub to_ms: u64,
    /// Numbers of the downloads in it.
    pub downloads: Option<(u64, u64)>,
    pub counts: BTreeMap<String, u64>,
    pub pulls: u64,
    pub refused: u64,
    pub oldest_ms: u64,
    /// How the stamp stood at its end, and how long before that it had come to lack something.
    #[serde(rename = "stood")]
    pub worst_staleness: Staleness,
    #[serde(rename = "lacked_ms")]
    pub behind_ms: Option<u64>,
}

/// What may be known of one download.
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
    /// The sketch says yes to one in a hundred that are not there; the first and the last of a piece are sure.
    #[serde(rename = "sure")]
    pub exact: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    pub members: usize,
    pub chains: usize,
    pub links: u64,
    pub downloads: u64,
    pub gaps: Vec<Gap>,
}

/// What a chain has declared, by its stamps.
#[derive(Clone, Debug, Default)]
struct Declared {
    goes: BTreeMap<Stamp, Versions>,
    by_age: VecDeque<Stamp>,
    /// The highest version and purge of those that were forgotten.
    forgotten: Option<(u64, u64)>,
}

impl Declared {
    fn enter(&mut self, goes: &Versions) {
        let stamp = goes.stamp();
        if self.goes.insert(stamp, goes.clone()).is_none() {
            self.by_age.push_back(stamp);
        }
        while self.by_age.len() > MOST_STAMPS {
            let Some(old) = self.by_age.pop_front() else { return };
            self.goes.remove(&old);
            let (shape, purge) = self.forgotten.unwrap_or_default();
            self.forgotten = Some((shape.max(old.shape), purge.max(old.purge)));
        }
    }

    fn get(&self, stamp: &Stamp) -> Option<&Versions> {
        self.goes.get(stamp)
    }

    /// Whether it was declared, or may have been before what is remembered.
    fn may_have(&self, stamp: &Stamp) -> bool {
        let old = |(shape, purge): (u64, u64)| stamp.shape <= shape && stamp.purge <= purge;
        self.goes.contains_key(stamp) || self.forgotten.is_some_and(old)
    }
}

#[derive(Clone, Debug, Default)]
struct Chain {
    number: u64,
    hash: String,
    /// The last download that was told.
    told_to: u64,
    stamp: Stamp,
    goes: Declared,
    /// The smallest that the keeper's clock was ahead of the member's, microseconds; it may be behind.
    ahead: i64,
    first_heard: Moment,
    heard: Moment,
    ended: bool,
    gaps: Vec<Gap>,
}

impl Chain {
    fn at(&self, own_ms: u64) -> Moment {
        Moment::at_micros((own_ms.saturating_mul(1_000)).saturating_add_signed(self.ahead)).min(self.heard)
    }
}

struct Sketched {
    key: Key,
    link: u64,
    stamp: Stamp,
    from: Moment,
    to: Moment,
    first: u64,
    last: u64,
    ids: crate::sketch::Sketch,
}

type Key = (String, u64);

/// What hubs saw of one puller under one stamp.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    taken: u64,
    refused: u64,
    first: Moment,
    odd: u64,
    told: bool,
}

/// All of it.
#[derive(Default)]
pub struct History {
    chains: BTreeMap<Key, Chain>,
    spells: VecDeque<StampPeriod>,
    sketches: VecDeque<Sketched>,
    findings: VecDeque<Finding>,
    /// By puller, its place, its stamp, and the hub.
    seen: BTreeMap<(String, String, Stamp, String), Seen>,
    /// The ties of branches in each version, as sets of the nodes that their routers may pull from.
    ties: BTreeMap<u64, BTreeMap<String, BTreeSet<String>>>,
    links: u64,
    downloads: u64,
}

impl History {
    /// The ties of a version: for each branch, the nodes that its routers may pull from.
    pub fn shape_published(&mut self, number: u64, ties: BTreeMap<String, BTreeSet<String>>) {
        self.ties.insert(number, ties);
        while self.ties.len() > MOST_VERSIONS {
            self.ties.pop_first();
        }
    }

    /// A report has come: the member's clock, as far as it goes. `now_ms` is its own.
    pub fn on_report(&mut self, member: &str, start: u64, now_ms: u64, now: Moment) {
        let twin = self.chains.iter().find(|((name, other), chain)| {
            name == member
                && *other > start
                && !chain.ended
                && now.since(chain.heard) < TWINS
                && now.since(chain.first_heard) >= TWINS
        });
        if let Some(((_, other), _)) = twin {
            let starts = (start, *other);
            let known =
                |f: &Finding| matches!(f, Finding::ConcurrentStarts { starts: s, .. } if *s == starts);
            if !self.findings.iter().any(known) {
                let at_ms = now.micros() / 1_000;
                self.find(Finding::ConcurrentStarts { member: member.into(), starts, at_ms });
            }
        }
        let ahead = now.micros() as i64 - (now_ms.saturating_mul(1_000)) as i64;
        let chain = self.chains.entry((member.into(), start)).or_insert_with(|| Chain {
            ahead,
            first_heard: now,
            heard: now,
            ..Chain::default()
        });
        (chain.ahead, chain.heard) = (chain.ahead.min(ahead), now);
        self.bound();
    }

    fn bound(&mut self) {
        while self.chains.len() > MOST_CHAINS {
            let oldest = self.chains.iter().min_by_key(|(_, chain)| chain.heard).map(|(key, _)| key.clone());
            oldest.map(|key| self.chains.remove(&key));
        }
    }

    fn find(&mut self, finding: Finding) {
        self.findings.push_back(finding);
        while self.findings.len() > MOST_FINDINGS {
            self.findings.pop_front();
        }
    }

    /// Takes one link in. What is new has to be on disk before it is acknowledged.
    pub fn add_link(&mut self, link: &Link, owed: &Obligations, now: Moment) -> LinkOutcome {
        let key = (link.member.clone(), link.start);
        let altered = |why: &str| Finding::Altered {
            member: link.member.clone(),
            start: link.start,
            number: link.number,
            reason: why.into(),
        };
        if !link.is_intact() {
            self.find(altered("its words are not those of its hash"));
            return LinkOutcome::Rejected("its words are not those of its hash".into());
        }
        let new = Chain { first_heard: now, heard: now, ..Chain::default() };
        let own = self.chains.get(&key).unwrap_or(&new);
        let wrong = match link.number {
            // What was taken under this number was another link.
            n if n == own.number && n > 0 && link.hash != own.hash => Some("another link has this number"),
            n if n <= own.number => return LinkOutcome::Duplicate,
            n if n == own.number + 1 && link.previous_hash != own.hash => {
                Some("it does not follow the one before")
            }
            _ => None,
        };
        if let Some(why) = wrong {
            self.find(altered(why));
            return LinkOutcome::Rejected(why.into());
        }
        let gap = match (own.number, &link.body) {
            (0, Body::Began { last_link: known, .. }) if link.number == 1 => {
                self.between_starts(link, known.as_ref(), now)
            }
            (before, _) if link.number > before + 1 => Some(self.left_out(own, link)),
            _ => None,
        };
        let chain = self.chains.entry(key.clone()).or_insert(new);
        if let Some(gap) = gap
            && chain.gaps.len() < MOST_GAPS
        {
            chain.gaps.push(gap);
        }
        (chain.number, chain.hash) = (link.number, link.hash.clone());
        self.links += 1;
        match &link.body {
            Body::Began { versions: goes, .. } | Body::Switched { versions: goes } => {
                chain.stamp = goes.stamp();
                chain.goes.enter(goes);
                let at = chain.at(link.at_ms);
                self.spell_begins(&key, at);
            }
            Body::Interval(span) => {
                chain.told_to = chain.told_to.max(span.to);
                self.downloads += span.download_count();
                self.span(&key, link.number, span, owed);
            }
            Body::Ended => chain.ended = true,
        }
        LinkOutcome::New
    }

    /// What lies between the last link of the start before and this one is not known, whoever says what of it.
    fn between_starts(
        &self,
        link: &Link,
        known: Option<&crate::chain::LastLink>,
        now: Moment,
    ) -> Option<Gap> {
        let before =
            self.chains.range((link.member.clone(), 0)..(link.member.clone(), link.start)).next_back();
        let (start, number, from, ended) = match (before, known) {
            (Some(((_, start), chain)), _) => (*start, chain.number, chain.heard, chain.ended),
            (None, Some(known)) => (known.start, known.number, now, false),
            (None, None) => return None,
        };
        let told = known.filter(|k| k.start == start).map_or(0, |k| k.number);
        // It ended in order, and everything that it had said is here.
        if ended && told <= number {
            return None;
        }
        Some(Gap {
            member: link.member.clone(),
            start,
            links: (told > number).then_some((number + 1, told)),
            downloads: None,
            from_ms: from.micros() / 1_000,
            to_ms: now.micros() / 1_000,
            reason: "it ended without a last word".into(),
        })
    }

    fn left_out(&self, own: &Chain, link: &Link) -> Gap {
        let from_dl = own.told_to + 1;
        let to_dl = match &link.body {
            Body::Interval(span) if span.from > from_dl => Some(span.from - 1),
            _ => None,
        };
        Gap {
            member: link.member.clone(),
            start: link.start,
            links: Some((own.number + 1, link.number - 1)),
            downloads: to_dl.map(|to| (from_dl, to)),
            from_ms: own.heard.micros() / 1_000,
            to_ms: own.at(link.at_ms).micros() / 1_000,
            reason: "links are missing".into(),
        }
    }

    fn spell_begins(&mut self, key: &Key, at: Moment) {
        let Some(chain) = self.chains.get(key) else { return };
        let at_ms = at.micros() / 1_000;
        let spell = StampPeriod {
            member: key.0.clone(),
            start: key.1,
            stamp: chain.stamp,
            versions: chain.goes.get(&chain.stamp).cloned(),
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
        self.spells.push_back(spell);
        while self.spells.len() > MOST_SPELLS {
            self.spells.pop_front();
        }
    }

    fn span(&mut self, key: &Key, number: u64, span: &Interval, owed: &Obligations) {
        let Some(chain) = self.chains.get(key) else { return };
        let (from, to, in_force) = (chain.at(span.began_ms), chain.at(span.ended_ms), chain.stamp);
        if !span.ids.is_empty() {
            let sketched = Sketched {
                key: key.clone(),
                link: number,
                stamp: span.stamp,
                from,
                to,
                first: span.first,
                last: span.last,
                ids: span.ids.clone(),
            };
            self.sketches.push_back(sketched);
            while self.sketches.len() > MOST_SKETCHES {
                self.sketches.pop_front();
            }
        }
        for answered in &span.received {
            let by = (answered.puller.clone(), answered.place.clone(), answered.stamp, key.0.clone());
            let odd = self.is_odd(&answered.place, &answered.stamp, &key.0);
            let seen = self.seen.entry(by).or_insert(Seen { first: from, ..Seen::default() });
            seen.taken += answered.accepted;
            seen.refused += answered.refused;
            if odd {
                seen.odd += answered.accepted;
            }
            if answered.accepted > 0 && owed.staleness(&answered.stamp, from) == Staleness::Forbidden {
                let past = owed.most_overdue(&answered.stamp, from).map(|(kind, _, since)| {
                    let grace = if kind == VersionKind::Shape {
                        crate::obligations::SHAPE_GRACE
                    } else {
                        crate::obligations::PURGE_GRACE
                    };
                    from.since(since + grace.forbidden_after)
                });
                let finding = Finding::ForbiddenAccepted {
                    member: answered.puller.clone(),
                    stamp: answered.stamp,
                    hub: key.0.clone(),
                    pulls: answered.accepted,
                    overdue_ms: past.map_or(0, |past| past.as_micros() / 1_000),
                };
                self.find(finding);
            }
        }
        // The last spell of this start under this stamp goes on; without its beginning one begins here.
        let own = |spell: &&mut StampPeriod| {
            (&spell.member, spell.start, spell.stamp) == (&key.0, key.1, span.stamp)
        };
        if self.spells.iter_mut().rev().find(own).is_none() {
            self.chains.entry(key.clone()).and_modify(|chain| chain.stamp = span.stamp);
            self.spell_begins(key, from);
            self.chains.entry(key.clone()).and_modify(|chain| chain.stamp = in_force);
        }
        let Some(spell) = self.spells.iter_mut().rev().find(own) else { return };
        spell.to_ms = spell.to_ms.max(to.micros() / 1_000);
        if span.to > 0 {
            let first = spell.downloads.map_or(span.from, |(first, _)| first);
            spell.downloads = Some((first, span.to));
        }
        for count in &span.downloads {
            let name = format!("{} {}", count.content, outcome_name(count.outcome));
            *spell.counts.entry(name).or_default() += count.count;
        }
        spell.pulls += span.pulls.iter().map(|(_, many)| many).sum::<u64>();
        spell.refused += span.received.iter().map(|a| a.refused).sum::<u64>();
        if span.oldest_ms > 0 {
            spell.oldest_ms =
                if spell.oldest_ms == 0 { span.oldest_ms } else { spell.oldest_ms.min(span.oldest_ms) };
        }
        spell.worst_staleness = owed.staleness(&span.stamp, to).max(spell.worst_staleness);
        spell.behind_ms =
            owed.most_overdue(&span.stamp, to).map(|(_, _, since)| to.since(since).as_micros() / 1_000);
    }

    /// Whether a branch's router had no tie to that hub in the version that it says. Unknown versions and places prove
    /// nothing.
    fn is_odd(&self, place: &str, stamp: &Stamp, hub: &str) -> bool {
        let ties = self.ties.get(&stamp.shape).and_then(|version| version.get(place));
        ties.is_some_and(|ties| !ties.contains(hub))
    }

    /// To be called some times a second: holds what the two sides say against each other.
    pub fn tick(&mut self, now: Moment) {
        let mut found = Vec::new();
        for ((by, place, stamp, hub), seen) in self.seen.iter_mut().filter(|(_, seen)| !seen.told) {
            let own = (by.clone(), 0)..(by.clone(), u64::MAX);
            let declared =
                |stamp: &Stamp| self.chains.range(own.clone()).any(|(_, c)| c.goes.may_have(stamp));
            let pulls = seen.taken + seen.refused;
            // A plan names ties that no version has.
            let planned = self
                .chains
                .range(own.clone())
                .any(|(_, c)| c.goes.get(stamp).is_some_and(|goes| !goes.plan.is_empty()));
            if seen.odd >= ODD_PULLS && !planned {
                let acts_by = self.ties.range(..).rev().find(|(number, version)| {
                    **number != stamp.shape && version.get(place).is_some_and(|ties| ties.contains(hub))
                });
                let (member, place, hub) = (by.clone(), place.clone(), hub.clone());
                let acts_by = acts_by.map(|(number, _)| *number);
                found.push(Finding::UsesOtherVersion {
                    member,
                    declared: stamp.shape,
                    actual: acts_by,
                    place,
                    hub,
                    pulls: seen.odd,
                });
                seen.told = true;
            } else if now.since(seen.first) >= DECLARES_WITHIN && !declared(stamp) {
                found.push(Finding::Undeclared {
                    member: by.clone(),
                    stamp: *stamp,
                    hub: hub.clone(),
                    pulls,
                });
                seen.told = true;
            }
        }
        found.into_iter().for_each(|finding| self.find(finding));
        // What is settled and old says nothing new any more.
        let old = |seen: &Seen| now.since(seen.first) > Time::millis(600_000);
        self.seen.retain(|_, seen| !old(seen));
    }

    /// Those who were found to say one thing and do another.
    pub fn contradicted_members(&self) -> BTreeSet<&str> {
        let liar = |finding: &'_ Finding| match finding {
            Finding::UsesOtherVersion { member, .. } | Finding::Undeclared { member, .. } => {
                Some(member.clone())
            }
            _ => None,
        };
        let names: BTreeSet<String> = self.findings.iter().filter_map(liar).collect();
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

    pub fn findings(&self) -> impl Iterator<Item = &Finding> {
        self.findings.iter()
    }

    /// All links up to that number are known without a break at their end.
    pub fn last_contiguous(&self, member: &str, start: u64) -> u64 {
        self.chains.get(&(member.to_string(), start)).map_or(0, |chain| chain.number)
    }

    /// What acted on what between two moments of the keeper's clock.
    pub fn periods_between(&self, from_ms: u64, to_ms: u64) -> Vec<StampPeriod> {
        let within = |spell: &&StampPeriod| spell.from_ms <= to_ms && spell.to_ms >= from_ms;
        self.spells.iter().filter(within).cloned().collect()
    }

    /// When each start of each member took a number up: the beginning of its first spell that has it.
    pub fn adoption_times(&self, has: impl Fn(&Stamp) -> bool) -> BTreeMap<Key, Option<u64>> {
        let mut taken: BTreeMap<Key, Option<u64>> =
            self.chains.keys().map(|key| (key.clone(), None)).collect();
        for spell in &self.spells {
            let at = taken.entry((spell.member.clone(), spell.start)).or_default();
            if at.is_none() && has(&spell.stamp) {
                *at = Some(spell.from_ms);
            }
        }
        taken
    }

    /// The pieces that may hold a download.
    pub fn intervals_with(&self, id: u64) -> Vec<CandidateInterval> {
        let may = |s: &&Sketched| s.first == id || s.last == id || s.ids.may_contain(id);
        let explained = |s: &Sketched| CandidateInterval {
            member: s.key.0.clone(),
            start: s.key.1,
            link: s.link,
            stamp: s.stamp,
            versions: self.chains.get(&s.key).and_then(|chain| chain.goes.get(&s.stamp).cloned()),
            from_ms: s.from.micros() / 1_000,
            to_ms: s.to.micros() / 1_000,
            exact: s.first == id || s.last == id,
        };
        self.sketches.iter().filter(may).map(explained).collect()
    }

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

pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Fulfilled => "fulfilled",
        Outcome::Throttled => "throttled",
        Outcome::Abandoned => "abandoned",
        Outcome::ClientLeft => "left",
    }
}
