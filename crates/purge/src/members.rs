//! Replication state of all members: which purges each one has applied, and which members are fenced.
//!
//! A member counts as having applied a purge once it has acknowledged it, under the incarnation of its
//! process, to the service or to the gatherer of its site. What an earlier incarnation acknowledged does not
//! count. A member that lacks a purge for too long is fenced: it is used neither as a cache nor as the
//! source of a fill until it has caught up. After that it goes through a slow start like a cold member.
//!
//! All members that are not fenced are kept in one set ordered by the number they have applied, either
//! individually or as one entry per gatherer for all members that have applied its floor. The number that
//! everyone has applied is the first of that set, so neither a purge nor an acknowledgement needs to visit
//! every member.
use crate::membership::MembershipDigest;
use crate::messages::{GatheredReport, MembershipUpdate, is_valid_name};
use harestage::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A member that lacks a purge for this long after it was sent is fenced. For members of a gatherer, the
/// round trip to the gatherer is added.
pub const FENCE_TIMEOUT: Span = Span::millis(250);
/// Upper bound of the round trip that is added.
pub const MAX_GATHERER_ROUND_TRIP: Span = Span::millis(600);
/// Assumed round trip of a gatherer that has not confirmed anything yet.
const INITIAL_ROUND_TRIP: Span = Span::millis(200);
/// Divisor of the moving average by which a round trip grows. A shorter sample takes effect at once.
const ROUND_TRIP_SMOOTHING: u64 = 16;
/// Time that a new leader gives members to find it.
const LEADER_DISCOVERY_GRACE: Span = Span::millis(500);
/// Duration of the slow start after a fence, from the load of a cold member to that of a warm one.
pub const SLOW_START: Span = Span::millis(8_000);
/// A member that is silent for this long is removed, and starts over with an unknown state when it returns.
/// It exceeds an hour, for which regions may be cut off from each other.
const MEMBER_EXPIRY: Span = Span::millis(3 * 3_600_000);
const EXPIRY_CHECK_INTERVAL: Span = Span::millis(1_000);
/// Maximum number of members.
pub const MAX_MEMBERS: usize = 16_384;
/// Maximum number of gatherers.
pub const MAX_GATHERERS: usize = 1_024;
/// Maximum number of members of one gatherer.
pub const MAX_MEMBERS_PER_GATHERER: usize = 2_048;
/// A gatherer without members that is silent for this long may be replaced by another one.
const IDLE_GATHERER_EXPIRY: Span = Span::millis(60_000);
/// Number of items whose send times are kept: nine minutes at ten times the usual rate. Older items count as
/// sent long ago.
const MAX_SEND_TIMES: usize = 65_536;
/// Number of replaced incarnations kept per member, to recognize their late messages.
const MAX_REPLACED_INCARNATIONS: usize = 4;

/// Whether a member may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FenceState {
    /// A process that has not caught up since it was first seen. It counts as having applied nothing, and
    /// holds back the reports of purges until it catches up or is fenced.
    CatchingUp,
    Active,
    /// Not to be used until it has caught up.
    Fenced,
}

/// How a member is counted in `by_applied`.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Tracking {
    Untracked,
    Individual(u64),
    /// Together with all other members that have applied the floor of this gatherer.
    Grouped(u32),
}

/// A member and its current process.
#[derive(Clone, Debug)]
struct Member {
    name: String,
    /// Identifies the process: no other start of this member has the same number.
    incarnation: u64,
    replaced_incarnations: VecDeque<u64>,
    /// Highest number applied without gaps, as acknowledged by the member itself or by its last gatherer.
    applied: u64,
    /// It has received all live items since its start.
    bootstrapped: bool,
    /// Since when the process is known, or zero once it has caught up. Its fence timeout does not begin
    /// earlier.
    catching_up_since: Moment,
    last_heard: Moment,
    fence_state: FenceState,
    freed_at: Option<Moment>,
    /// Gatherer that reports for the member, and whether that one reports it as lagging.
    gatherer_ix: Option<u32>,
    lagging: bool,
    tracking: Tracking,
}

/// A gatherer and its current process.
#[derive(Clone, Debug)]
struct Gatherer {
    name: String,
    incarnation: u64,
    floor: u64,
    membership: BTreeSet<u32>,
    digest: MembershipDigest,
    /// Members that are fenced or catching up, or reported as lagging.
    individual: BTreeSet<u32>,
    /// Number of members counted together under the floor.
    grouped_count: usize,
    indexed_floor: Option<u64>,
    last_heard: Moment,
    round_trip: Span,
}

/// An entry of `by_applied`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Unit {
    Member(u32),
    Gatherer(u32),
}

/// Change of a member that all others have to learn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// It lacked an item for too long.
    Fenced { member: String, applied: u64 },
    /// It has caught up.
    Freed { member: String },
}

/// Reason why a message is refused without any effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// The name is not a valid member name.
    InvalidName(String),
    /// Too many gatherers, or too many members of one gatherer.
    LimitExceeded,
    /// Acknowledges items that were never sent.
    AheadOfLog { floor: u64, last: u64 },
    /// The floor is lower than one reported before.
    Regressed { floor: u64, before: u64 },
    /// A newer process has the same name.
    Replaced,
    /// A member reported as lagging does not belong to the gatherer, or has applied as much as the others.
    InvalidLag(String),
}

/// Effects of a gatherer's report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GathererUpdate {
    /// Members that now count as the gatherer's. If they differ from its own list, nothing else of the
    /// report was applied.
    pub accepted: MembershipDigest,
    /// Members whose fences are lifted.
    pub freed: Vec<String>,
    /// Processes that were not known before, with their incarnations.
    pub admitted: Vec<(String, u64)>,
    /// Incarnations that were replaced by another one of the same name.
    pub replaced: BTreeMap<String, u64>,
}

/// Replication state of all members, as the service knows it.
#[derive(Default)]
pub struct Members {
    names: BTreeMap<String, u32>,
    members: Vec<Member>,
    free_slots: Vec<u32>,
    gatherer_names: BTreeMap<String, u32>,
    gatherers: Vec<Gatherer>,
    /// All members that are not fenced, by the number they have applied.
    by_applied: BTreeSet<(u64, Unit)>,
    fenced: BTreeSet<u32>,
    /// End of the grace period after a leader change. Earlier items count as sent then.
    grace_until: Moment,
    /// Send times of the items after number `send_times_after`.
    send_times: VecDeque<Moment>,
    send_times_after: u64,
    /// Number of the last item.
    last: u64,
    /// Highest number reported as reached. A member that lacks it may not be used.
    reported: u64,
    last_expiry_check: Moment,
    refused_lines: u64,
}

/// How much a member may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Without limits.
    Full,
    /// Share of its warm capacity, from 0 to 1.
    SlowStart(f64),
    /// Not to be used at all.
    Denied,
}

impl Members {
    fn find(&self, name: &str) -> Option<&Member> {
        self.names.get(name).map(|ix| &self.members[*ix as usize])
    }

    /// Adds an unknown process. `None` if there are too many members.
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
            catching_up_since: now,
            last_heard: now,
            fence_state: FenceState::CatchingUp,
            freed_at: None,
            gatherer_ix: None,
            lagging: false,
            tracking: Tracking::Untracked,
        };
        let ix = match self.free_slots.pop() {
            Some(ix) => {
                self.members[ix as usize] = member;
                ix
            }
            None => {
                self.members.push(member);
                self.members.len() as u32 - 1
            }
        };
        self.names.insert(name.into(), ix);
        self.update_tracking(ix);
        Some(ix)
    }

    /// Replaces the process of a member; the new one has applied nothing.
    fn replace_process(&mut self, ix: u32, incarnation: u64, now: Moment) {
        let member = &mut self.members[ix as usize];
        member.replaced_incarnations.push_back(member.incarnation);
        if member.replaced_incarnations.len() > MAX_REPLACED_INCARNATIONS {
            member.replaced_incarnations.pop_front();
        }
        let (before, gatherer_ix) = (member.incarnation, member.gatherer_ix);
        (member.incarnation, member.applied, member.bootstrapped) = (incarnation, 0, false);
        (member.catching_up_since, member.last_heard, member.freed_at) = (now, now, None);
        // A fenced member stays fenced: the fence was announced already, and is lifted once it has caught
        // up.
        if member.fence_state == FenceState::Active {
            member.fence_state = FenceState::CatchingUp;
        }
        let name = member.name.clone();
        if let Some(gatherer_ix) = gatherer_ix {
            let digest = &mut self.gatherers[gatherer_ix as usize].digest;
            digest.remove(&name, before);
            digest.insert(&name, incarnation);
            self.members[ix as usize].lagging = true;
        }
        self.update_tracking(ix);
    }

    /// The number that a member has applied, according to itself or its gatherer.
    fn applied(&self, ix: u32) -> u64 {
        let member = &self.members[ix as usize];
        match member.gatherer_ix {
            Some(gatherer_ix) if !member.lagging => {
                member.applied.max(self.gatherers[gatherer_ix as usize].floor)
            }
            _ => member.applied,
        }
    }

    /// Updates the place of a member in `by_applied` after any change to it.
    fn update_tracking(&mut self, ix: u32) {
        let member = &self.members[ix as usize];
        let (previous, gatherer_ix) = (member.tracking, member.gatherer_ix);
        let (fence_state, lagging) = (member.fence_state, member.lagging);
        let current = match (fence_state, gatherer_ix) {
            (FenceState::Fenced, _) => Tracking::Untracked,
            (FenceState::Active, Some(gatherer_ix)) if !lagging => Tracking::Grouped(gatherer_ix),
            (FenceState::CatchingUp, _) if !member.bootstrapped => Tracking::Individual(0),
            _ => Tracking::Individual(self.applied(ix)),
        };
        match fence_state {
            FenceState::Fenced => self.fenced.insert(ix),
            _ => self.fenced.remove(&ix),
        };
        if let Some(gatherer_ix) = gatherer_ix {
            let individual = &mut self.gatherers[gatherer_ix as usize].individual;
            match fence_state == FenceState::Active && !lagging {
                true => individual.remove(&ix),
                false => individual.insert(ix),
            };
        }
        if previous == current {
            return;
        }
        match previous {
            Tracking::Untracked => {}
            Tracking::Individual(applied) => {
                self.by_applied.remove(&(applied, Unit::Member(ix)));
            }
            Tracking::Grouped(gatherer) => {
                self.gatherers[gatherer as usize].grouped_count -= 1;
                self.update_gatherer_tracking(gatherer);
            }
        }
        match current {
            Tracking::Untracked => {}
            Tracking::Individual(applied) => {
                self.by_applied.insert((applied, Unit::Member(ix)));
            }
            Tracking::Grouped(gatherer) => {
                self.gatherers[gatherer as usize].grouped_count += 1;
                self.update_gatherer_tracking(gatherer);
            }
        }
        self.members[ix as usize].tracking = current;
    }

    /// Updates the entry of a gatherer in `by_applied`.
    fn update_gatherer_tracking(&mut self, ix: u32) {
        let gatherer = &mut self.gatherers[ix as usize];
        let current = (gatherer.grouped_count > 0).then_some(gatherer.floor);
        let previous = std::mem::replace(&mut gatherer.indexed_floor, current);
        if previous != current {
            if let Some(floor) = previous {
                self.by_applied.remove(&(floor, Unit::Gatherer(ix)));
            }
            if let Some(floor) = current {
                self.by_applied.insert((floor, Unit::Gatherer(ix)));
            }
        }
    }

    /// Removes a member from its gatherer; what the gatherer acknowledged for it stays.
    fn leave_gatherer(&mut self, ix: u32) {
        let Some(gatherer_ix) = self.members[ix as usize].gatherer_ix else { return };
        let (applied, last_heard) = (self.applied(ix), self.gatherers[gatherer_ix as usize].last_heard);
        let member = &mut self.members[ix as usize];
        (member.applied, member.gatherer_ix, member.lagging) = (applied, None, false);
        member.last_heard = member.last_heard.max(last_heard);
        let (name, incarnation) = (member.name.clone(), member.incarnation);
        // It has to leave `by_applied` while it is still a member of the gatherer it is counted with.
        self.update_tracking(ix);
        let gatherer = &mut self.gatherers[gatherer_ix as usize];
        gatherer.membership.remove(&ix);
        gatherer.individual.remove(&ix);
        gatherer.digest.remove(&name, incarnation);
    }

    /// Assigns a member to a gatherer, as lagging until the gatherer says otherwise.
    fn join_gatherer(&mut self, ix: u32, gatherer_ix: u32) {
        if self.members[ix as usize].gatherer_ix == Some(gatherer_ix) {
            return;
        }
        self.leave_gatherer(ix);
        let member = &mut self.members[ix as usize];
        (member.gatherer_ix, member.lagging) = (Some(gatherer_ix), true);
        let gatherer = &mut self.gatherers[gatherer_ix as usize];
        gatherer.membership.insert(ix);
        gatherer.digest.insert(&member.name, member.incarnation);
        self.update_tracking(ix);
    }

    /// When an item was sent. If that is no longer known, the end of the grace period.
    fn sent_at(&self, number: u64) -> Moment {
        let at = number.checked_sub(self.send_times_after + 1).and_then(|n| self.send_times.get(n as usize));
        // While members are looking for the new leader, items it sends are not held against them.
        at.copied().unwrap_or(self.grace_until).max(self.grace_until)
    }

    /// Remaining grace period in which members may still be looking for the new leader.
    pub fn leader_grace(&self, now: Moment) -> Span {
        self.grace_until.since(now)
    }

    /// Returns whether a member that has applied all items up to `applied` may be used again: it lacks no
    /// reported purge, and no item for which it would be fenced soon. It need not have the last item, or no
    /// member could return while many are sent.
    fn has_caught_up(&self, applied: u64, now: Moment) -> bool {
        let margin = FENCE_TIMEOUT * 0.5;
        applied >= self.reported && (applied >= self.last || now.since(self.sent_at(applied + 1)) < margin)
    }

    /// Lifts the fence of a member, or ends its catching-up state, if it has caught up. Returns its name in
    /// that case.
    fn try_free(&mut self, ix: u32, now: Moment) -> Option<String> {
        let (member, applied) = (&self.members[ix as usize], self.applied(ix));
        if member.fence_state == FenceState::Active
            || !member.bootstrapped
            || !self.has_caught_up(applied, now)
        {
            return None;
        }
        let member = &mut self.members[ix as usize];
        (member.fence_state, member.freed_at, member.catching_up_since) =
            (FenceState::Active, Some(now), Moment::default());
        let name = member.name.clone();
        self.update_tracking(ix);
        Some(name)
    }

    /// Restores a member from the log of a previous leader. It keeps what it had acknowledged, and has to
    /// acknowledge the rest within the usual timeout.
    pub fn restore(&mut self, name: &str, incarnation: u64, applied: u64, last: u64, now: Moment) {
        self.restore_last(last, now);
        if self.names.contains_key(name) {
            return;
        }
        // The member has to find this leader first, even if no item was sent yet.
        self.grace_until = self.grace_until.max(now + LEADER_DISCOVERY_GRACE);
        let Some(ix) = self.admit(name, incarnation, now) else { return };
        // A member that was admitted and had not acknowledged anything may not have received all live items.
        if applied > 0 || last == 0 {
            let member = &mut self.members[ix as usize];
            (member.applied, member.bootstrapped, member.fence_state) = (applied, true, FenceState::Active);
            member.catching_up_since = Moment::default();
        }
        self.update_tracking(ix);
    }

    /// Restores an incarnation that had been replaced.
    pub fn restore_replaced(&mut self, name: &str, incarnation: u64) {
        let Some(ix) = self.names.get(name).copied() else { return };
        let replaced_incarnations = &mut self.members[ix as usize].replaced_incarnations;
        replaced_incarnations.push_back(incarnation);
        if replaced_incarnations.len() > MAX_REPLACED_INCARNATIONS {
            replaced_incarnations.pop_front();
        }
    }

    /// Replaced incarnations of a member, oldest first.
    pub fn replaced_incarnations(&self, name: &str) -> impl Iterator<Item = u64> {
        self.find(name).into_iter().flat_map(|member| member.replaced_incarnations.iter().copied())
    }

    /// Restores the last number of the log. The send times of its items are unknown, so the fence timeout
    /// for them starts now.
    pub fn restore_last(&mut self, last: u64, now: Moment) {
        if last > self.last {
            (self.last, self.send_times_after, self.grace_until) = (last, last, now + LEADER_DISCOVERY_GRACE);
            self.send_times.clear();
        }
    }

    /// Restores the highest reported number: a member that lacks it is not used.
    pub fn restore_reported(&mut self, number: u64) {
        self.reported = self.reported.max(number);
    }

    /// Restores the fence of a member.
    pub fn restore_fence(&mut self, name: &str) {
        if let Some(ix) = self.names.get(name).copied() {
            self.members[ix as usize].fence_state = FenceState::Fenced;
            self.update_tracking(ix);
        }
    }

    /// Incarnation of a member and the number it has applied.
    pub fn progress(&self, name: &str) -> Option<(u64, u64)> {
        self.names.get(name).map(|ix| (self.members[*ix as usize].incarnation, self.applied(*ix)))
    }

    /// Returns whether a member is fenced.
    pub fn is_fenced(&self, name: &str) -> bool {
        self.find(name).is_some_and(|member| member.fence_state == FenceState::Fenced)
    }

    /// Names of all members.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.keys().map(String::as_str)
    }

    /// Name of the gatherer that reports for a member.
    pub fn gatherer_of(&self, name: &str) -> Option<&str> {
        let gatherer_ix = self.find(name)?.gatherer_ix?;
        Some(&self.gatherers[gatherer_ix as usize].name)
    }

    /// Records that an item was written to the log and is sent from now on.
    pub fn on_new_item(&mut self, number: u64, now: Moment) {
        if number <= self.last {
            return;
        }
        // Items in between, if any, count as sent at the same time.
        (self.last..number).for_each(|_| self.send_times.push_back(now));
        self.last = number;
        let min_applied = self.min_applied();
        while self.send_times.len() > MAX_SEND_TIMES
            || self.send_times_after < min_applied && !self.send_times.is_empty()
        {
            self.send_times.pop_front();
            self.send_times_after += 1;
        }
    }

    /// Handles the acknowledgement of a member. A new process counts as having applied nothing, whatever it
    /// kept from before: it first has to receive all live items and to acknowledge them.
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
        let known = &self.members[ix as usize];
        if known.replaced_incarnations.contains(&incarnation) {
            self.refused_lines += 1;
            return None;
        }
        if known.incarnation != incarnation {
            self.replace_process(ix, incarnation, now);
        }
        // From here on it reports for itself.
        self.leave_gatherer(ix);
        let last = self.last;
        let member = &mut self.members[ix as usize];
        member.last_heard = now;
        // Numbers beyond the last item belong to another log and prove nothing.
        if applied > last || !bootstrapped && !member.bootstrapped {
            return None;
        }
        member.bootstrapped = true;
        member.applied = member.applied.max(applied);
        self.update_tracking(ix);
        self.try_free(ix, now).map(|member| MemberChange::Freed { member })
    }

    /// Returns whether this process was replaced by another one of the same name.
    pub fn is_replaced(&self, name: &str, incarnation: u64) -> bool {
        self.find(name).is_some_and(|member| member.replaced_incarnations.contains(&incarnation))
    }

    /// Highest number that every usable member has applied. A member becomes usable only once it has applied
    /// it.
    pub fn fully_applied(&self) -> u64 {
        self.reported
    }

    /// Returns whether any gatherer has reported so far.
    pub fn has_gatherers(&self) -> bool {
        !self.gatherers.is_empty()
    }

    /// Returns whether this is a new process for the name, rather than the current or a replaced one.
    pub fn is_new_process(&self, name: &str, incarnation: u64) -> bool {
        self.find(name).is_none_or(|member| {
            member.incarnation != incarnation && !member.replaced_incarnations.contains(&incarnation)
        })
    }

    /// Handles the report of a gatherer for its members. An invalid report is refused as a whole.
    pub fn on_gathered(
        &mut self,
        report: &GatheredReport,
        now: Moment,
    ) -> Result<GathererUpdate, MessageError> {
        let update = self.apply_gathered(report, now);
        self.refused_lines += u64::from(update.is_err());
        update
    }

    /// Validates a report and applies it.
    fn apply_gathered(
        &mut self,
        report: &GatheredReport,
        now: Moment,
    ) -> Result<GathererUpdate, MessageError> {
        if report.floor > self.last {
            return Err(MessageError::AheadOfLog { floor: report.floor, last: self.last });
        }
        if let MembershipUpdate::Full(membership) = &report.membership {
            if membership.len() > MAX_MEMBERS_PER_GATHERER {
                return Err(MessageError::LimitExceeded);
            }
            if let Some(name) = membership.keys().find(|name| !is_valid_name(name)) {
                return Err(MessageError::InvalidName(name.chars().take(40).collect()));
            }
            if let Some((name, _)) = report.lagging.iter().find(|(name, _)| !membership.contains_key(*name)) {
                return Err(MessageError::InvalidLag(name.chars().take(40).collect()));
            }
        }
        if let Some((name, _)) = report.lagging.iter().find(|(_, applied)| **applied >= report.floor.max(1)) {
            return Err(MessageError::InvalidLag(name.chars().take(40).collect()));
        }
        let gatherer_ix = self.find_or_add_gatherer(report, now)?;
        let mut update = GathererUpdate::default();
        if let MembershipUpdate::Full(membership) = &report.membership {
            self.apply_membership(gatherer_ix, membership, &mut update, now);
        }
        update.accepted = self.gatherers[gatherer_ix as usize].digest;
        let claimed = match &report.membership {
            MembershipUpdate::Unchanged(digest) => *digest,
            MembershipUpdate::Full(membership) => MembershipDigest::of(
                membership.iter().map(|(name, incarnation)| (name.as_str(), *incarnation)),
            ),
        };
        // The gatherer reports for other members than those counted under it, so its numbers cannot be used.
        if claimed != update.accepted {
            return Ok(update);
        }
        let is_unknown = |name: &&String| {
            let ix = self.names.get(*name);
            ix.is_none_or(|ix| !self.gatherers[gatherer_ix as usize].membership.contains(ix))
        };
        if let Some(name) = report.lagging.keys().find(is_unknown) {
            return Err(MessageError::InvalidLag(name.chars().take(40).collect()));
        }
        self.apply_floor(gatherer_ix, report, now);
        // Members that are fenced, catching up or lagging may have caught up.
        let individual: Vec<u32> = self.gatherers[gatherer_ix as usize].individual.iter().copied().collect();
        update.freed = individual.into_iter().filter_map(|ix| self.try_free(ix, now)).collect();
        Ok(update)
    }

    /// Returns the gatherer that sent a report, adding it or replacing its process as needed.
    fn find_or_add_gatherer(&mut self, report: &GatheredReport, now: Moment) -> Result<u32, MessageError> {
        let Sender { name, incarnation } = Sender::of(report)?;
        let gatherer_ix = match self.gatherer_names.get(name).copied() {
            Some(gatherer_ix) => gatherer_ix,
            None => {
                let new = Gatherer {
                    name: name.into(),
                    incarnation,
                    floor: 0,
                    membership: BTreeSet::new(),
                    digest: MembershipDigest::default(),
                    individual: BTreeSet::new(),
                    grouped_count: 0,
                    indexed_floor: None,
                    last_heard: now,
                    round_trip: INITIAL_ROUND_TRIP,
                };
                let gatherer_ix = self.gatherer_slot(new, now).ok_or(MessageError::LimitExceeded)?;
                self.gatherer_names.insert(name.into(), gatherer_ix);
                gatherer_ix
            }
        };
        let gatherer = &self.gatherers[gatherer_ix as usize];
        if gatherer.incarnation != incarnation {
            // What the previous process reported for its members stays valid; the new one has no members
            // yet.
            let membership: Vec<u32> = gatherer.membership.iter().copied().collect();
            membership.into_iter().for_each(|ix| self.leave_gatherer(ix));
            let gatherer = &mut self.gatherers[gatherer_ix as usize];
            (gatherer.incarnation, gatherer.floor, gatherer.round_trip) =
                (incarnation, 0, INITIAL_ROUND_TRIP);
            self.update_gatherer_tracking(gatherer_ix);
        }
        let gatherer = &mut self.gatherers[gatherer_ix as usize];
        if report.floor < gatherer.floor {
            return Err(MessageError::Regressed { floor: report.floor, before: gatherer.floor });
        }
        gatherer.last_heard = now;
        Ok(gatherer_ix)
    }

    /// Returns a new slot, or that of a gatherer without members that has been silent for long.
    fn gatherer_slot(&mut self, new: Gatherer, now: Moment) -> Option<u32> {
        if self.gatherers.len() < MAX_GATHERERS {
            self.gatherers.push(new);
            return Some(self.gatherers.len() as u32 - 1);
        }
        let idle = |s: &Gatherer| s.membership.is_empty() && now.since(s.last_heard) >= IDLE_GATHERER_EXPIRY;
        let at = self.gatherers.iter().position(idle)?;
        let old = std::mem::replace(&mut self.gatherers[at], new);
        self.gatherer_names.remove(&old.name);
        Some(at as u32)
    }

    /// Applies the full member list of a gatherer.
    fn apply_membership(
        &mut self,
        gatherer_ix: u32,
        membership: &BTreeMap<String, u64>,
        update: &mut GathererUpdate,
        now: Moment,
    ) {
        let removed: Vec<u32> = self.gatherers[gatherer_ix as usize]
            .membership
            .iter()
            .copied()
            .filter(|ix| !membership.contains_key(&self.members[*ix as usize].name))
            .collect();
        removed.into_iter().for_each(|ix| self.leave_gatherer(ix));
        for (name, incarnation) in membership {
            let ix = match self.names.get(name).copied() {
                Some(ix) => {
                    let known = &self.members[ix as usize];
                    if known.replaced_incarnations.contains(incarnation) {
                        update.replaced.insert(name.clone(), *incarnation);
                        continue;
                    }
                    if known.incarnation != *incarnation {
                        self.replace_process(ix, *incarnation, now);
                        update.admitted.push((name.clone(), *incarnation));
                    }
                    ix
                }
                None => {
                    let Some(ix) = self.admit(name, *incarnation, now) else { continue };
                    update.admitted.push((name.clone(), *incarnation));
                    ix
                }
            };
            self.join_gatherer(ix, gatherer_ix);
        }
    }

    /// Applies the floor of a gatherer and the numbers of its lagging members.
    fn apply_floor(&mut self, gatherer_ix: u32, report: &GatheredReport, now: Moment) {
        // Lagging members first, as those counted under the floor so far have applied the old floor and no
        // more.
        for (name, applied) in &report.lagging {
            let Some(ix) = self.names.get(name).copied() else { continue };
            let known = self.applied(ix);
            let member = &mut self.members[ix as usize];
            (member.applied, member.lagging) = (known.max(*applied), true);
            // Zero means that it has not received all live items since its start, or that there are no items
            // yet.
            member.bootstrapped |= *applied > 0;
            self.update_tracking(ix);
        }
        let gatherer = &mut self.gatherers[gatherer_ix as usize];
        if report.floor > gatherer.floor {
            let (first, before) = (gatherer.floor + 1, gatherer.round_trip);
            gatherer.floor = report.floor;
            self.update_gatherer_tracking(gatherer_ix);
            if first > self.send_times_after {
                let elapsed = now.since(self.sent_at(first));
                let increase =
                    Span::micros(elapsed.saturating_sub(before).as_micros() / ROUND_TRIP_SMOOTHING);
                let round_trip = if elapsed < before { elapsed } else { before + increase };
                self.gatherers[gatherer_ix as usize].round_trip = round_trip.min(MAX_GATHERER_ROUND_TRIP);
            }
        }
        let individual: Vec<u32> = self.gatherers[gatherer_ix as usize].individual.iter().copied().collect();
        for ix in individual {
            let member = &mut self.members[ix as usize];
            if !report.lagging.contains_key(&member.name) {
                (member.lagging, member.bootstrapped) = (false, true);
                self.update_tracking(ix);
            }
        }
    }

    /// Returns when a unit that has applied this number is to be fenced.
    fn fence_deadline(&self, applied: u64, unit: Unit) -> Moment {
        let (catching_up_since, round_trip) = match unit {
            Unit::Gatherer(ix) => (Moment::default(), self.gatherers[ix as usize].round_trip),
            Unit::Member(ix) => {
                let member = &self.members[ix as usize];
                (
                    member.catching_up_since,
                    member
                        .gatherer_ix
                        .map_or(Span::ZERO, |gatherer_ix| self.gatherers[gatherer_ix as usize].round_trip),
                )
            }
        };
        self.sent_at(applied + 1).max(catching_up_since) + FENCE_TIMEOUT + round_trip
    }

    /// Fences all members that lack an item for too long.
    pub fn tick(&mut self, now: Moment) -> Vec<MemberChange> {
        self.expire_silent(now);
        let mut due = Vec::new();
        for (applied, unit) in &self.by_applied {
            // The set is ordered by who fell behind first: nobody after this one can be due.
            if *applied >= self.last || now < self.sent_at(applied + 1) + FENCE_TIMEOUT {
                break;
            }
            if now >= self.fence_deadline(*applied, *unit) {
                due.push(*unit);
            }
        }
        let mut changes = Vec::new();
        for unit in due {
            let members: Vec<u32> = match unit {
                Unit::Member(ix) => vec![ix],
                Unit::Gatherer(gatherer_ix) => {
                    let gatherer = &self.gatherers[gatherer_ix as usize];
                    gatherer.membership.difference(&gatherer.individual).copied().collect()
                }
            };
            for ix in members {
                let applied = self.applied(ix);
                self.members[ix as usize].fence_state = FenceState::Fenced;
                self.update_tracking(ix);
                changes
                    .push(MemberChange::Fenced { member: self.members[ix as usize].name.clone(), applied });
            }
        }
        changes
    }

    /// Removes members that have been silent for too long.
    fn expire_silent(&mut self, now: Moment) {
        if now.since(self.last_expiry_check) < EXPIRY_CHECK_INTERVAL {
            return;
        }
        self.last_expiry_check = now;
        let last_heard = |ix: u32| {
            let member = &self.members[ix as usize];
            let by_gatherer =
                member.gatherer_ix.map(|gatherer_ix| self.gatherers[gatherer_ix as usize].last_heard);
            by_gatherer.map_or(member.last_heard, |last_heard| last_heard.max(member.last_heard))
        };
        let silent = self.names.values().copied().filter(|ix| now.since(last_heard(*ix)) >= MEMBER_EXPIRY);
        for ix in silent.collect::<Vec<u32>>() {
            self.leave_gatherer(ix);
            let member = &mut self.members[ix as usize];
            member.fence_state = FenceState::Fenced;
            let name = member.name.clone();
            self.update_tracking(ix);
            self.fenced.remove(&ix);
            self.names.remove(&name);
            self.free_slots.push(ix);
        }
    }

    /// Returns how much a member may be used. `cold_capacity` is the share of its warm capacity that a newly
    /// started member can serve.
    pub fn admission(&self, name: &str, cold_capacity: f64, now: Moment) -> Admission {
        let Some(member) = self.find(name) else { return Admission::Denied };
        if member.fence_state != FenceState::Active {
            return Admission::Denied;
        }
        match member.freed_at.map(|freed| now.since(freed)) {
            Some(since) if since < SLOW_START => {
                Admission::SlowStart(cold_capacity + (1.0 - cold_capacity) * (since / SLOW_START))
            }
            _ => Admission::Full,
        }
    }

    /// Returns whether all members have applied this number or are fenced, so that no older copy is served
    /// any more.
    pub fn is_reached(&self, number: u64) -> bool {
        self.min_applied() >= number
    }

    /// Records that a purge was reported as reached: members that lack it are not used until they have it.
    pub fn mark_reported(&mut self, number: u64) {
        self.reported = self.reported.max(number);
    }

    /// Fenced members and the numbers they have applied.
    pub fn fenced(&self) -> impl Iterator<Item = (&str, u64)> {
        self.fenced.iter().map(|ix| (self.members[*ix as usize].name.as_str(), self.applied(*ix)))
    }

    /// The number that all members have applied that are not fenced. If all are fenced, none of them has
    /// learnt of the fences of the others, so nothing more counts as reached.
    pub fn min_applied(&self) -> u64 {
        match self.by_applied.first() {
            Some((applied, _)) => *applied,
            None if self.names.is_empty() => self.last,
            None => self.reported,
        }
    }

    /// Number of messages that were refused.
    pub fn refused_lines(&self) -> u64 {
        self.refused_lines
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// Sender of a gatherer's report.
struct Sender<'a> {
    name: &'a str,
    incarnation: u64,
}

impl Sender<'_> {
    fn of(report: &GatheredReport) -> Result<Sender<'_>, MessageError> {
        match report.gatherer.has_valid_name() {
            true => Ok(Sender { name: &report.gatherer.member, incarnation: report.gatherer.incarnation }),
            false => Err(MessageError::InvalidName(report.gatherer.member.chars().take(40).collect())),
        }
    }
}
