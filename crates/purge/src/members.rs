//! Who has what. A member counts as having a purge when it has said so itself, under the number of its process, to the
//! service or to the gatherer of its site; what came before a start of its is not known, and counts as lacking. One that
//! lacks a purge for too long is fenced: nothing is taken from it, neither as a cache nor as the source of a fill, until it
//! has caught up, and then it is asked no more at once than a cold one.
//!
//! All who count stand in one order by what they have: a member by itself, or one gatherer for all of its roster that have
//! as much as it says. So what everyone has is the head of that order, and neither a purge nor a confirmation looks at
//! every member.
use crate::membership::MembershipDigest;
use crate::messages::{GatheredReport, MembershipUpdate, is_valid_name};
use harestage::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A member that lacks a purge for as long after it was told is fenced; for what a gatherer speaks for, the way to it is
/// added.
pub const FENCE_TIMEOUT: Span = Span::millis(250);
/// The longest way there and back that is added.
pub const MAX_GATHERER_ROUND_TRIP: Span = Span::millis(600);
/// The way to a gatherer that has not confirmed anything yet.
const FIRST_WAY: Span = Span::millis(200);
/// One sample in so many counts against what a way was before, where it is longer; a shorter one counts at once.
const WAY_SLOWNESS: u64 = 16;
/// Members look for whoever speaks for the service now: one that takes over gives them as long to be there.
const FINDS_WITHIN: Span = Span::millis(500);
/// After a fence, a member is asked for as little as a cold one, and for as much as a warm one after it.
pub const SLOW_START: Span = Span::millis(8_000);
/// A member that was silent for as long is forgotten; when it comes again, it comes as one of unknown past. Regions lose
/// each other for an hour.
const FORGOTTEN_AFTER: Span = Span::millis(3 * 3_600_000);
const LOOKED_FOR_FORGOTTEN: Span = Span::millis(1_000);
/// Members at most.
pub const MAX_MEMBERS: usize = 16_384;
/// Gatherers at most, and members on one roster.
pub const MAX_GATHERERS: usize = 1_024;
pub const MAX_MEMBERS_PER_GATHERER: usize = 2_048;
/// Without anyone on its roster and without a word for as long, a gatherer's place may be taken by another.
const SPEAKER_RESTS: Span = Span::millis(60_000);
/// Times of items that are remembered: at ten times the usual rate, nine minutes. Older ones count as told long ago.
const MOST_TIMED: usize = 65_536;
/// Earlier processes of a name that are remembered, so that a late line of one is known for what it is.
const FORMER: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq)]
enum FenceState {
    /// A process that has not caught up since it was heard of: it counts as lacking all, and holds up what is to be
    /// reached until it has, or is fenced.
    Unknown,
    Free,
    Fenced,
}

/// How a member is counted in the order.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Counted {
    Not,
    Alone(u64),
    /// With all others of that gatherer.
    By(u32),
}

#[derive(Clone, Debug)]
struct Member {
    name: String,
    /// The number of its process, which no other start of it has.
    incarnation: u64,
    replaced_incarnations: VecDeque<u64>,
    /// All up to it are applied, as it said itself, or as its gatherer said last when it stopped speaking for it.
    applied: u64,
    /// It was told all that lives since its start.
    bootstrapped: bool,
    /// Since when it is known, where it has not caught up since: it could lack nothing before that.
    joined: Moment,
    heard: Moment,
    standing: FenceState,
    freed: Option<Moment>,
    /// The gatherer whose roster it is on, and whether that one names it as behind.
    by: Option<u32>,
    behind: bool,
    counted: Counted,
}

#[derive(Clone, Debug)]
struct Speaker {
    name: String,
    incarnation: u64,
    floor: u64,
    roster: BTreeSet<u32>,
    digest: MembershipDigest,
    /// Those of the roster that are fenced or unknown, and those that it names as behind.
    apart: BTreeSet<u32>,
    /// Those that are counted by it.
    with: usize,
    counted: Option<u64>,
    heard: Moment,
    way: Span,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Unit {
    Member(u32),
    Speaker(u32),
}

/// What changes for others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    Fenced { member: String, applied: u64 },
    Freed { member: String },
}

/// Why a gatherer's line decides nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageError {
    InvalidName(String),
    /// More gatherers, or more on one roster, than there may be.
    LimitExceeded,
    /// What was never told can't be had.
    AheadOfLog {
        floor: u64,
        last: u64,
    },
    /// It takes back what it said before.
    Regressed {
        floor: u64,
        before: u64,
    },
    /// Another process has its name by now.
    Replaced,
    /// It names someone as behind who is not on its roster, or who has more than the others.
    InvalidLag(String),
}

/// What became of a gatherer's line.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GathererUpdate {
    /// The roster that counts now. Where it is not the gatherer's own, nothing else of the line was taken.
    pub accepted: MembershipDigest,
    pub freed: Vec<String>,
    /// Processes that were not known before.
    pub admitted: Vec<(String, u64)>,
    /// Starts that another one of the same name has replaced.
    pub replaced: BTreeMap<String, u64>,
}

/// All members, as the service sees them.
#[derive(Default)]
pub struct Members {
    names: BTreeMap<String, u32>,
    all: Vec<Member>,
    spare: Vec<u32>,
    speaker_names: BTreeMap<String, u32>,
    speakers: Vec<Speaker>,
    /// Everyone who is not fenced, by what they have.
    by_applied: BTreeSet<(u64, Unit)>,
    fenced: BTreeSet<u32>,
    /// From when on a service that has taken over holds earlier items against anyone.
    began: Moment,
    /// When the items after number `timed_after` were told.
    told: VecDeque<Moment>,
    timed_after: u64,
    /// The number of the last purge.
    last: u64,
    /// The highest that was reported as reached: whoever lacks it may not be used.
    reported: u64,
    looked: Moment,
    wrong: u64,
}

/// How a member may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    Full,
    /// Of what it can do when warm, from 0 to 1.
    SlowStart(f64),
    /// Nothing is taken from it.
    Denied,
}

impl Members {
    fn find(&self, name: &str) -> Option<&Member> {
        self.names.get(name).map(|ix| &self.all[*ix as usize])
    }

    /// Takes a process in that was not known. None: there are too many.
    fn admit(&mut self, name: &str, incarnation: u64, now: Moment) -> Option<u32> {
        if self.names.len() >= MAX_MEMBERS {
            return None;
        }
        let member = Member {
            name: name.into(),
            incarnation,
            replaced_incarnations: VecDeque::new(),
            applied: 0,
            bootstrapped: false,
            joined: now,
            heard: now,
            standing: FenceState::Unknown,
            freed: None,
            by: None,
            behind: false,
            counted: Counted::Not,
        };
        let ix = match self.spare.pop() {
            Some(ix) => {
                self.all[ix as usize] = member;
                ix
            }
            None => {
                self.all.push(member);
                self.all.len() as u32 - 1
            }
        };
        self.names.insert(name.into(), ix);
        self.count(ix);
        Some(ix)
    }

    /// Another process under the same name: it has nothing.
    fn replace(&mut self, ix: u32, incarnation: u64, now: Moment) {
        let member = &mut self.all[ix as usize];
        member.replaced_incarnations.push_back(member.incarnation);
        if member.replaced_incarnations.len() > FORMER {
            member.replaced_incarnations.pop_front();
        }
        let (before, by) = (member.incarnation, member.by);
        (member.incarnation, member.applied, member.bootstrapped) = (incarnation, 0, false);
        (member.joined, member.heard, member.freed) = (now, now, None);
        // One that is fenced stays so: its fence is known already, and goes once it has caught up.
        if member.standing == FenceState::Free {
            member.standing = FenceState::Unknown;
        }
        let name = member.name.clone();
        if let Some(by) = by {
            let digest = &mut self.speakers[by as usize].digest;
            digest.remove(&name, before);
            digest.insert(&name, incarnation);
            self.all[ix as usize].behind = true;
        }
        self.count(ix);
    }

    /// What it has, as far as anyone has said.
    fn applied(&self, ix: u32) -> u64 {
        let member = &self.all[ix as usize];
        match member.by {
            Some(by) if !member.behind => member.applied.max(self.speakers[by as usize].floor),
            _ => member.applied,
        }
    }

    /// Puts a member where it belongs in the order after anything of it has changed.
    fn count(&mut self, ix: u32) {
        let member = &self.all[ix as usize];
        let (was, by) = (member.counted, member.by);
        let (standing, behind) = (member.standing, member.behind);
        let is = match (standing, by) {
            (FenceState::Fenced, _) => Counted::Not,
            (FenceState::Free, Some(by)) if !behind => Counted::By(by),
            (FenceState::Unknown, _) if !member.bootstrapped => Counted::Alone(0),
            _ => Counted::Alone(self.applied(ix)),
        };
        match standing {
            FenceState::Fenced => self.fenced.insert(ix),
            _ => self.fenced.remove(&ix),
        };
        if let Some(by) = by {
            let apart = &mut self.speakers[by as usize].apart;
            match standing == FenceState::Free && !behind {
                true => apart.remove(&ix),
                false => apart.insert(ix),
            };
        }
        if was == is {
            return;
        }
        match was {
            Counted::Not => {}
            Counted::Alone(applied) => {
                self.by_applied.remove(&(applied, Unit::Member(ix)));
            }
            Counted::By(speaker) => {
                self.speakers[speaker as usize].with -= 1;
                self.count_speaker(speaker);
            }
        }
        match is {
            Counted::Not => {}
            Counted::Alone(applied) => {
                self.by_applied.insert((applied, Unit::Member(ix)));
            }
            Counted::By(speaker) => {
                self.speakers[speaker as usize].with += 1;
                self.count_speaker(speaker);
            }
        }
        self.all[ix as usize].counted = is;
    }

    fn count_speaker(&mut self, ix: u32) {
        let speaker = &mut self.speakers[ix as usize];
        let is = (speaker.with > 0).then_some(speaker.floor);
        let was = std::mem::replace(&mut speaker.counted, is);
        if was != is {
            if let Some(floor) = was {
                self.by_applied.remove(&(floor, Unit::Speaker(ix)));
            }
            if let Some(floor) = is {
                self.by_applied.insert((floor, Unit::Speaker(ix)));
            }
        }
    }

    /// A member leaves the roster that it is on; what was said of it stays.
    fn leave(&mut self, ix: u32) {
        let Some(by) = self.all[ix as usize].by else { return };
        let (applied, heard) = (self.applied(ix), self.speakers[by as usize].heard);
        let member = &mut self.all[ix as usize];
        (member.applied, member.by, member.behind) = (applied, None, false);
        member.heard = member.heard.max(heard);
        let (name, incarnation) = (member.name.clone(), member.incarnation);
        // First out of the order as it was counted, then out of the roster.
        self.count(ix);
        let speaker = &mut self.speakers[by as usize];
        speaker.roster.remove(&ix);
        speaker.apart.remove(&ix);
        speaker.digest.remove(&name, incarnation);
    }

    fn join(&mut self, ix: u32, by: u32) {
        if self.all[ix as usize].by == Some(by) {
            return;
        }
        self.leave(ix);
        let member = &mut self.all[ix as usize];
        (member.by, member.behind) = (Some(by), true);
        let speaker = &mut self.speakers[by as usize];
        speaker.roster.insert(ix);
        speaker.digest.insert(&member.name, member.incarnation);
        self.count(ix);
    }

    /// When an item was told, as far as that is remembered; an earlier one counts from when the service began.
    fn told_at(&self, number: u64) -> Moment {
        let at = number.checked_sub(self.timed_after + 1).and_then(|n| self.told.get(n as usize));
        // Members look for a service that has just taken over: what it tells meanwhile is held against nobody either.
        at.copied().unwrap_or(self.began).max(self.began)
    }

    /// How long members may still be looking for a service that has taken over.
    pub fn leader_grace(&self, now: Moment) -> Span {
        self.began.since(now)
    }

    /// Whether one that has all up to there may be used again: it lacks nothing that was reported, and nothing for which
    /// it would be fenced soon. It need not have the very last item, or nobody would come back while many are told.
    fn is_up(&self, applied: u64, now: Moment) -> bool {
        let soon = FENCE_TIMEOUT * 0.5;
        applied >= self.reported && (applied >= self.last || now.since(self.told_at(applied + 1)) < soon)
    }

    fn try_free(&mut self, ix: u32, now: Moment) -> Option<String> {
        let (member, applied) = (&self.all[ix as usize], self.applied(ix));
        if member.standing == FenceState::Free || !member.bootstrapped || !self.is_up(applied, now) {
            return None;
        }
        let member = &mut self.all[ix as usize];
        (member.standing, member.freed, member.joined) = (FenceState::Free, Some(now), Moment::default());
        let name = member.name.clone();
        self.count(ix);
        Some(name)
    }

    /// A member as it stood in the log of a service that has ended: it is taken to have what it confirmed, and has to
    /// confirm the rest in the usual time.
    pub fn restore(&mut self, name: &str, incarnation: u64, applied: u64, last: u64, now: Moment) {
        self.restore_last(last, now);
        if self.names.contains_key(name) {
            return;
        }
        // It has to find this service first, also where nothing was told yet.
        self.began = self.began.max(now + FINDS_WITHIN);
        let Some(ix) = self.admit(name, incarnation, now) else { return };
        // One that was admitted and had nothing by then was not told all yet, as far as anyone knows.
        if applied > 0 || last == 0 {
            let member = &mut self.all[ix as usize];
            (member.applied, member.bootstrapped, member.standing) = (applied, true, FenceState::Free);
            member.joined = Moment::default();
        }
        self.count(ix);
    }

    /// A process whose place another one had taken by then: it stays replaced.
    pub fn restore_replaced(&mut self, name: &str, incarnation: u64) {
        let Some(ix) = self.names.get(name).copied() else { return };
        let replaced_incarnations = &mut self.all[ix as usize].replaced_incarnations;
        replaced_incarnations.push_back(incarnation);
        if replaced_incarnations.len() > FORMER {
            replaced_incarnations.pop_front();
        }
    }

    /// Earlier processes of each name, oldest first.
    pub fn replaced_incarnations(&self, name: &str) -> impl Iterator<Item = u64> {
        self.find(name).into_iter().flat_map(|member| member.replaced_incarnations.iter().copied())
    }

    /// The last number of a log. When its items were told is not known: whoever lacks one does so since it was recalled.
    pub fn restore_last(&mut self, last: u64, now: Moment) {
        if last > self.last {
            (self.last, self.timed_after, self.began) = (last, last, now + FINDS_WITHIN);
            self.told.clear();
        }
    }

    /// What was reported before: nobody who lacks it is used.
    pub fn restore_reported(&mut self, number: u64) {
        self.reported = self.reported.max(number);
    }

    /// A member that was fenced when the service ended is fenced still.
    pub fn restore_fence(&mut self, name: &str) {
        if let Some(ix) = self.names.get(name).copied() {
            self.all[ix as usize].standing = FenceState::Fenced;
            self.count(ix);
        }
    }

    /// The number of its process, and what it has.
    pub fn progress(&self, name: &str) -> Option<(u64, u64)> {
        self.names.get(name).map(|ix| (self.all[*ix as usize].incarnation, self.applied(*ix)))
    }

    pub fn is_fenced(&self, name: &str) -> bool {
        self.find(name).is_some_and(|member| member.standing == FenceState::Fenced)
    }

    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.keys().map(String::as_str)
    }

    /// The gatherer that speaks for it.
    pub fn gatherer_of(&self, name: &str) -> Option<&str> {
        let by = self.find(name)?.by?;
        Some(&self.speakers[by as usize].name)
    }

    /// A purge, or anything else under a number, has been written down, and is told from now on.
    pub fn on_new_item(&mut self, number: u64, now: Moment) {
        if number <= self.last {
            return;
        }
        // What stands between, if anything does, came at the same moment as far as anyone knows.
        (self.last..number).for_each(|_| self.told.push_back(now));
        self.last = number;
        let all_have = self.min_applied();
        while self.told.len() > MOST_TIMED || self.timed_after < all_have && !self.told.is_empty() {
            self.told.pop_front();
            self.timed_after += 1;
        }
    }

    /// A member says what it has. A process that was not heard of before has nothing, whatever it says of its past:
    /// it first has to be told all that lives, and to say that it has that.
    pub fn on_ack(
        &mut self,
        name: &str,
        incarnation: u64,
        applied: u64,
        bootstrapped: bool,
        now: Moment,
    ) -> Option<MemberChange> {
        let ix = match self.names.get(name).copied() {
            Some(ix) => ix,
            None => self.admit(name, incarnation, now)?,
        };
        let known = &self.all[ix as usize];
        if known.replaced_incarnations.contains(&incarnation) {
            self.wrong += 1;
            return None;
        }
        if known.incarnation != incarnation {
            self.replace(ix, incarnation, now);
        }
        // It speaks for itself from here on.
        self.leave(ix);
        let last = self.last;
        let member = &mut self.all[ix as usize];
        member.heard = now;
        // Numbers from the future come from another order, and prove nothing.
        if applied > last || !bootstrapped && !member.bootstrapped {
            return None;
        }
        member.bootstrapped = true;
        member.applied = member.applied.max(applied);
        self.count(ix);
        self.try_free(ix, now).map(|member| MemberChange::Freed { member })
    }

    /// Whether another process has taken this one's place.
    pub fn is_replaced(&self, name: &str, incarnation: u64) -> bool {
        self.find(name).is_some_and(|member| member.replaced_incarnations.contains(&incarnation))
    }

    /// Everyone who may be used has all up to it, and whoever becomes usable has first.
    pub fn fully_applied(&self) -> u64 {
        self.reported
    }

    pub fn has_gatherers(&self) -> bool {
        !self.speakers.is_empty()
    }

    /// Whether that process is another one than was known under the name.
    pub fn is_new_process(&self, name: &str, incarnation: u64) -> bool {
        self.find(name).is_none_or(|member| {
            member.incarnation != incarnation && !member.replaced_incarnations.contains(&incarnation)
        })
    }

    /// A gatherer says what those on its roster have. A line that can't be right is refused whole.
    pub fn on_gathered(
        &mut self,
        line: &GatheredReport,
        now: Moment,
    ) -> Result<GathererUpdate, MessageError> {
        let heard = self.apply_gathered(line, now);
        self.wrong += u64::from(heard.is_err());
        heard
    }

    fn apply_gathered(&mut self, line: &GatheredReport, now: Moment) -> Result<GathererUpdate, MessageError> {
        if line.floor > self.last {
            return Err(MessageError::AheadOfLog { floor: line.floor, last: self.last });
        }
        if let MembershipUpdate::Full(roster) = &line.membership {
            if roster.len() > MAX_MEMBERS_PER_GATHERER {
                return Err(MessageError::LimitExceeded);
            }
            if let Some(name) = roster.keys().find(|name| !is_valid_name(name)) {
                return Err(MessageError::InvalidName(name.chars().take(40).collect()));
            }
            if let Some((name, _)) = line.lagging.iter().find(|(name, _)| !roster.contains_key(*name)) {
                return Err(MessageError::InvalidLag(name.chars().take(40).collect()));
            }
        }
        if let Some((name, _)) = line.lagging.iter().find(|(_, applied)| **applied >= line.floor.max(1)) {
            return Err(MessageError::InvalidLag(name.chars().take(40).collect()));
        }
        let by = self.speaker(line, now)?;
        let mut heard = GathererUpdate::default();
        if let MembershipUpdate::Full(roster) = &line.membership {
            self.take_roster(by, roster, &mut heard, now);
        }
        heard.accepted = self.speakers[by as usize].digest;
        let says = match &line.membership {
            MembershipUpdate::Unchanged(digest) => *digest,
            MembershipUpdate::Full(roster) => {
                MembershipDigest::of(roster.iter().map(|(name, incarnation)| (name.as_str(), *incarnation)))
            }
        };
        // It speaks for others than are counted by it: nobody's number may be taken from that.
        if says != heard.accepted {
            return Ok(heard);
        }
        let unknown = |name: &&String| {
            let ix = self.names.get(*name);
            ix.is_none_or(|ix| !self.speakers[by as usize].roster.contains(ix))
        };
        if let Some(name) = line.lagging.keys().find(unknown) {
            return Err(MessageError::InvalidLag(name.chars().take(40).collect()));
        }
        self.take_floor(by, line, now);
        // Whoever is fenced, unknown or behind may have caught up by it.
        let apart: Vec<u32> = self.speakers[by as usize].apart.iter().copied().collect();
        heard.freed = apart.into_iter().filter_map(|ix| self.try_free(ix, now)).collect();
        Ok(heard)
    }

    fn speaker(&mut self, line: &GatheredReport, now: Moment) -> Result<u32, MessageError> {
        let Said { name, incarnation } = Said::of(line)?;
        let by = match self.speaker_names.get(name).copied() {
            Some(by) => by,
            None => {
                let new = Speaker {
                    name: name.into(),
                    incarnation,
                    floor: 0,
                    roster: BTreeSet::new(),
                    digest: MembershipDigest::default(),
                    apart: BTreeSet::new(),
                    with: 0,
                    counted: None,
                    heard: now,
                    way: FIRST_WAY,
                };
                let by = self.place_for_speaker(new, now).ok_or(MessageError::LimitExceeded)?;
                self.speaker_names.insert(name.into(), by);
                by
            }
        };
        let speaker = &self.speakers[by as usize];
        if speaker.incarnation != incarnation {
            // What the process before said of its roster stands; nobody is on the new one's yet.
            let roster: Vec<u32> = speaker.roster.iter().copied().collect();
            roster.into_iter().for_each(|ix| self.leave(ix));
            let speaker = &mut self.speakers[by as usize];
            (speaker.incarnation, speaker.floor, speaker.way) = (incarnation, 0, FIRST_WAY);
            self.count_speaker(by);
        }
        let speaker = &mut self.speakers[by as usize];
        if line.floor < speaker.floor {
            return Err(MessageError::Regressed { floor: line.floor, before: speaker.floor });
        }
        speaker.heard = now;
        Ok(by)
    }

    /// A new place, or that of one that speaks for nobody and was not heard of for long.
    fn place_for_speaker(&mut self, new: Speaker, now: Moment) -> Option<u32> {
        if self.speakers.len() < MAX_GATHERERS {
            self.speakers.push(new);
            return Some(self.speakers.len() as u32 - 1);
        }
        let idle = |s: &Speaker| s.roster.is_empty() && now.since(s.heard) >= SPEAKER_RESTS;
        let at = self.speakers.iter().position(idle)?;
        let old = std::mem::replace(&mut self.speakers[at], new);
        self.speaker_names.remove(&old.name);
        Some(at as u32)
    }

    fn take_roster(
        &mut self,
        by: u32,
        roster: &BTreeMap<String, u64>,
        heard: &mut GathererUpdate,
        now: Moment,
    ) {
        let gone: Vec<u32> = self.speakers[by as usize]
            .roster
            .iter()
            .copied()
            .filter(|ix| !roster.contains_key(&self.all[*ix as usize].name))
            .collect();
        gone.into_iter().for_each(|ix| self.leave(ix));
        for (name, incarnation) in roster {
            let ix = match self.names.get(name).copied() {
                Some(ix) => {
                    let known = &self.all[ix as usize];
                    if known.replaced_incarnations.contains(incarnation) {
                        heard.replaced.insert(name.clone(), *incarnation);
                        continue;
                    }
                    if known.incarnation != *incarnation {
                        self.replace(ix, *incarnation, now);
                        heard.admitted.push((name.clone(), *incarnation));
                    }
                    ix
                }
                None => {
                    let Some(ix) = self.admit(name, *incarnation, now) else { continue };
                    heard.admitted.push((name.clone(), *incarnation));
                    ix
                }
            };
            self.join(ix, by);
        }
    }

    fn take_floor(&mut self, by: u32, line: &GatheredReport, now: Moment) {
        // Those behind first: whoever is counted with the others until now has the floor as it was, and no more.
        for (name, applied) in &line.lagging {
            let Some(ix) = self.names.get(name).copied() else { continue };
            let known = self.applied(ix);
            let member = &mut self.all[ix as usize];
            (member.applied, member.behind) = (known.max(*applied), true);
            // Zero: it was not told all since its start, or nothing was told yet.
            member.bootstrapped |= *applied > 0;
            self.count(ix);
        }
        let speaker = &mut self.speakers[by as usize];
        if line.floor > speaker.floor {
            let (first, before) = (speaker.floor + 1, speaker.way);
            speaker.floor = line.floor;
            self.count_speaker(by);
            if first > self.timed_after {
                let took = now.since(self.told_at(first));
                let slower = Span::micros(took.less(before).as_micros() / WAY_SLOWNESS);
                let way = if took < before { took } else { before + slower };
                self.speakers[by as usize].way = way.min(MAX_GATHERER_ROUND_TRIP);
            }
        }
        let apart: Vec<u32> = self.speakers[by as usize].apart.iter().copied().collect();
        for ix in apart {
            let member = &mut self.all[ix as usize];
            if !line.lagging.contains_key(&member.name) {
                (member.behind, member.bootstrapped) = (false, true);
                self.count(ix);
            }
        }
    }

    /// When a unit is to be fenced, if it is as far behind as that.
    fn due_at(&self, applied: u64, unit: Unit) -> Moment {
        let (joined, way) = match unit {
            Unit::Speaker(ix) => (Moment::default(), self.speakers[ix as usize].way),
            Unit::Member(ix) => {
                let member = &self.all[ix as usize];
                (member.joined, member.by.map_or(Span::ZERO, |by| self.speakers[by as usize].way))
            }
        };
        self.told_at(applied + 1).max(joined) + FENCE_TIMEOUT + way
    }

    /// Fences those that lack a purge for too long.
    pub fn tick(&mut self, now: Moment) -> Vec<MemberChange> {
        self.forget(now);
        let mut due = Vec::new();
        for (applied, unit) in &self.by_applied {
            // In the order in which they fell behind: nobody after this one can be due.
            if *applied >= self.last || now < self.told_at(applied + 1) + FENCE_TIMEOUT {
                break;
            }
            if now >= self.due_at(*applied, *unit) {
                due.push(*unit);
            }
        }
        let mut changes = Vec::new();
        for unit in due {
            let all: Vec<u32> = match unit {
                Unit::Member(ix) => vec![ix],
                Unit::Speaker(by) => {
                    let speaker = &self.speakers[by as usize];
                    speaker.roster.difference(&speaker.apart).copied().collect()
                }
            };
            for ix in all {
                let applied = self.applied(ix);
                self.all[ix as usize].standing = FenceState::Fenced;
                self.count(ix);
                changes.push(MemberChange::Fenced { member: self.all[ix as usize].name.clone(), applied });
            }
        }
        changes
    }

    /// Forgets who was silent for too long.
    fn forget(&mut self, now: Moment) {
        if now.since(self.looked) < LOOKED_FOR_FORGOTTEN {
            return;
        }
        self.looked = now;
        let heard = |ix: u32| {
            let member = &self.all[ix as usize];
            let by = member.by.map(|by| self.speakers[by as usize].heard);
            by.map_or(member.heard, |heard| heard.max(member.heard))
        };
        let silent = self.names.values().copied().filter(|ix| now.since(heard(*ix)) >= FORGOTTEN_AFTER);
        for ix in silent.collect::<Vec<u32>>() {
            self.leave(ix);
            let member = &mut self.all[ix as usize];
            member.standing = FenceState::Fenced;
            let name = member.name.clone();
            self.count(ix);
            self.fenced.remove(&ix);
            self.names.remove(&name);
            self.spare.push(ix);
        }
    }

    /// `cold_from`: of what it can do when warm, what a member can do that has just started.
    pub fn admission(&self, name: &str, cold_from: f64, now: Moment) -> Admission {
        let Some(member) = self.find(name) else { return Admission::Denied };
        if member.standing != FenceState::Free {
            return Admission::Denied;
        }
        match member.freed.map(|freed| now.since(freed)) {
            Some(since) if since < SLOW_START => {
                Admission::SlowStart(cold_from + (1.0 - cold_from) * (since / SLOW_START))
            }
            _ => Admission::Full,
        }
    }

    /// Everyone has this purge, or is fenced for it: no older copy is answered any more.
    pub fn is_reached(&self, number: u64) -> bool {
        self.min_applied() >= number
    }

    /// It was reported as reached: whoever lacks it is not used before it has it.
    pub fn mark_reported(&mut self, number: u64) {
        self.reported = self.reported.max(number);
    }

    /// Who is fenced, and what they have.
    pub fn fenced(&self) -> impl Iterator<Item = (&str, u64)> {
        self.fenced.iter().map(|ix| (self.all[*ix as usize].name.as_str(), self.applied(*ix)))
    }

    /// The number that all members have that are not fenced. Where all are, nobody has heard of the others' fences: nothing
    /// more is reached by that.
    pub fn min_applied(&self) -> u64 {
        match self.by_applied.first() {
            Some((applied, _)) => *applied,
            None if self.names.is_empty() => self.last,
            None => self.reported,
        }
    }

    /// Lines that were refused.
    pub fn refused_lines(&self) -> u64 {
        self.wrong
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// Who a gatherer's line is from.
struct Said<'a> {
    name: &'a str,
    incarnation: u64,
}

impl Said<'_> {
    fn of(line: &GatheredReport) -> Result<Said<'_>, MessageError> {
        match line.gatherer.has_valid_name() {
            true => Ok(Said { name: &line.gatherer.member, incarnation: line.gatherer.incarnation }),
            false => Err(MessageError::InvalidName(line.gatherer.member.chars().take(40).collect())),
        }
    }
}
