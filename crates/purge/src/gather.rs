//! The gatherer of a site: an aggregator between the purge service and the members of one site. It follows
//! the service, relays items to the members, and reports in one message what all of them have applied. It
//! decides nothing about any member, so a gatherer that fails, lags or runs twice costs time but cannot make
//! a purge look reached that is not:
//!
//! * it reports only what members have acknowledged to it, under their incarnations;
//! * its reports count only for the members that the service has accepted from it;
//! * a new process receives the live items, and may serve copies after that, only once the service has
//!   admitted it and the gatherer has everything that the service had sent by then.
use crate::members::MAX_MEMBERS_PER_GATHERER;
use crate::membership::MembershipDigest;
use crate::messages::{Ack, FromGatherer, GatheredReport, MembershipUpdate, Past, ToMember};
use crate::retained::RetainedItems;
use crate::sequencer::{Delivery, LogPosition};
use crate::service::{CatchUp, MAX_RETAINED_BYTES};
use harestage::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A member that lacks an item for this long after the gatherer received it is reported as lagging and does
/// not hold back the floor.
pub const MAX_LAG: Span = Span::millis(60);
/// Minimum interval between reports with news, so that the acknowledgements of one purge share a report.
pub const MIN_REPORT_INTERVAL: Span = Span::millis(15);
/// Interval between reports without news.
pub const REPORT_INTERVAL: Span = Span::millis(200);
/// A gatherer that has not heard from the service for this long leaves its members to the other gatherer of
/// the site.
pub const SERVICE_TIMEOUT: Span = Span::millis(600);
/// Number of items whose arrival times are kept; older ones count as received long ago.
const MAX_ARRIVAL_TIMES: usize = 16_384;

/// A process that follows this gatherer.
#[derive(Clone, Debug, PartialEq)]
struct Member {
    incarnation: u64,
    applied: u64,
    bootstrapped: bool,
    /// Admitted by the service, so that it may receive the live items.
    admitted: bool,
}

/// Content of the last report.
#[derive(Clone, Debug, Default, PartialEq)]
struct LastReport {
    floor: u64,
    lagging: BTreeMap<String, u64>,
    applied: u64,
}

/// State of a gatherer.
pub struct Gatherer {
    name: String,
    incarnation: u64,
    position: LogPosition,
    synced_upto: Option<u64>,
    retained: RetainedItems,
    fenced: BTreeSet<String>,
    fully_applied: u64,
    members: BTreeMap<String, Member>,
    digest: MembershipDigest,
    /// The last member list sent in full on this connection.
    sent_list: Option<(MembershipDigest, BTreeMap<String, u64>)>,
    /// The service has accepted another member list.
    list_differs: bool,
    /// An accepted member list, to take effect once all items up to a number have arrived.
    accepted_list: Option<(MembershipDigest, u64)>,
    /// Incarnations replaced according to the service; each is notified when it next sends a message.
    replaced: BTreeMap<String, u64>,
    floor: u64,
    /// Arrival times of the last items.
    arrivals: VecDeque<Moment>,
    last_report: LastReport,
    reported_at: Option<Moment>,
    last_heard: Option<Moment>,
}

/// The source sends an older term or leaves out items, so its connection has to be closed.
pub use crate::follower::SourceError;

/// Reason why a member is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatherError {
    /// The gatherer has as many members as one member list may have.
    TooManyMembers,
    /// The gatherer is not synchronized yet or has lost the service. Another one may serve the member.
    NotServing,
}

impl Gatherer {
    /// Creates a gatherer that has received nothing yet. `incarnation` must differ from that of any other
    /// start of this gatherer.
    pub fn new(name: &str, incarnation: u64) -> Gatherer {
        Gatherer {
            name: name.into(),
            incarnation,
            position: LogPosition::default(),
            synced_upto: None,
            retained: RetainedItems::default(),
            fenced: BTreeSet::new(),
            fully_applied: 0,
            members: BTreeMap::new(),
            digest: MembershipDigest::default(),
            sent_list: None,
            list_differs: false,
            accepted_list: None,
            replaced: BTreeMap::new(),
            floor: 0,
            arrivals: VecDeque::new(),
            last_report: LastReport::default(),
            reported_at: None,
            last_heard: None,
        }
    }

    /// Starts a new connection to the service, on which the member list is sent in full first.
    pub fn on_connected(&mut self) {
        (self.sent_list, self.accepted_list, self.reported_at, self.list_differs) = (None, None, None, false);
    }

    /// Returns whether all live items have arrived.
    fn is_ready(&self) -> bool {
        self.synced_upto.is_some_and(|upto| self.position.number >= upto)
    }

    /// Returns whether members are served: the gatherer has all live items and has heard from the service
    /// recently.
    pub fn is_serving(&self, now: Moment) -> bool {
        self.is_ready() && self.last_heard.is_some_and(|last_heard| now.since(last_heard) < SERVICE_TIMEOUT)
    }

    /// Handles a message of the service. [`Gatherer::after`] returns the new items for the members.
    pub fn handle(&mut self, message: ToMember, now: Moment) -> Result<(), SourceError> {
        match message {
            ToMember::Items { term, items } => {
                for item in items {
                    match self.position.advance(term, item.number) {
                        Delivery::Next => {
                            item.payload.apply_to_fenced(&mut self.fenced);
                            self.retained.push(item);
                            self.arrivals.push_back(now);
                        }
                        Delivery::Duplicate => {}
                        Delivery::Gap => return Err(SourceError::Gap),
                        Delivery::StaleTerm => return Err(SourceError::StaleTerm),
                    }
                }
            }
            ToMember::Snapshot { term, after, upto, forgotten_ms, fenced, items } => {
                if term < self.position.term {
                    return Err(SourceError::StaleTerm);
                }
                self.position = LogPosition { term, number: after };
                self.retained = RetainedItems::after_base(after, forgotten_ms);
                self.arrivals.clear();
                self.fenced.clear();
                for item in items {
                    if self.position.advance(term, item.number) != Delivery::Next {
                        return Err(SourceError::Gap);
                    }
                    item.payload.apply_to_fenced(&mut self.fenced);
                    self.retained.push(item);
                    self.arrivals.push_back(now);
                }
                self.fenced.extend(fenced);
                self.synced_upto = Some(upto);
            }
            ToMember::Membership { accepted, upto, fully_applied, replaced } => {
                self.fully_applied = self.fully_applied.max(fully_applied);
                // For the service these processes are gone, whatever the state of their connections.
                for (name, incarnation) in replaced {
                    self.on_disconnect(&name, incarnation);
                    if self.replaced.len() < MAX_MEMBERS_PER_GATHERER {
                        self.replaced.insert(name, incarnation);
                    }
                }
                let is_sent = self.sent_list.as_ref().is_some_and(|(digest, _)| *digest == accepted);
                self.list_differs = !is_sent;
                if is_sent {
                    self.accepted_list = Some((accepted, upto));
                }
            }
            ToMember::NotLeader { .. } | ToMember::Replaced => return Ok(()),
        }
        self.last_heard = Some(now);
        while self.arrivals.len() > MAX_ARRIVAL_TIMES {
            self.arrivals.pop_front();
        }
        self.admit_accepted();
        Ok(())
    }

    /// Admits the members of an accepted list once all items that the service had sent by then have arrived.
    fn admit_accepted(&mut self) {
        let Some((accepted_list, upto)) = self.accepted_list else { return };
        if self.position.number < upto {
            return;
        }
        let Some((_, list)) = self.sent_list.as_ref().filter(|(digest, _)| *digest == accepted_list) else {
            return;
        };
        for (name, member) in &mut self.members {
            member.admitted |= list.get(name) == Some(&member.incarnation);
        }
    }

    /// Handles the acknowledgement of a member and returns the reply.
    pub fn on_ack(&mut self, ack: &Ack, now: Moment) -> Result<ToMember, GatherError> {
        if !self.is_serving(now) {
            return Err(GatherError::NotServing);
        }
        match self.replaced.get(&ack.member) {
            Some(incarnation) if *incarnation == ack.incarnation => return Ok(ToMember::Replaced),
            _ => self.replaced.remove(&ack.member),
        };
        let new = Member { incarnation: ack.incarnation, applied: 0, bootstrapped: false, admitted: false };
        match self.members.get(&ack.member).map(|member| member.incarnation) {
            Some(incarnation) if incarnation == ack.incarnation => {}
            None if self.members.len() >= MAX_MEMBERS_PER_GATHERER => {
                return Err(GatherError::TooManyMembers);
            }
            known => {
                known.into_iter().for_each(|incarnation| self.digest.remove(&ack.member, incarnation));
                self.digest.insert(&ack.member, ack.incarnation);
                self.members.insert(ack.member.clone(), new);
            }
        }
        let Some(member) = self.members.get_mut(&ack.member) else {
            return Err(GatherError::TooManyMembers);
        };
        if ack.bootstrapped {
            (member.bootstrapped, member.applied) = (true, member.applied.max(ack.applied));
        }
        // A member with all live items goes on from there; a new one waits until the service has admitted
        // it.
        let catch_up = match ack.bootstrapped || member.admitted {
            true => self.retained.catch_up(ack, self.fully_applied, || self.fenced.clone()),
            false => CatchUp::Delta(Vec::new()),
        };
        Ok(ToMember::from_catch_up(self.position.term, catch_up))
    }

    /// Handles the end of a member's connection.
    pub fn on_disconnect(&mut self, name: &str, incarnation: u64) {
        if self.members.get(name).is_some_and(|member| member.incarnation == incarnation) {
            self.members.remove(name);
            self.digest.remove(name, incarnation);
        }
    }

    /// Returns whether this process is a member here; a replaced one is not.
    pub fn has_member(&self, name: &str, incarnation: u64) -> bool {
        self.members.get(name).is_some_and(|member| member.incarnation == incarnation)
    }

    /// When an item arrived; zero if that is no longer known.
    fn arrived_at(&self, number: u64) -> Moment {
        let first = self.position.number + 1 - self.arrivals.len() as u64;
        let at = number.checked_sub(first).and_then(|n| self.arrivals.get(n as usize));
        at.copied().unwrap_or_default()
    }

    /// Returns whether a member has to be reported as lagging.
    fn is_lagging(&self, member: &Member, now: Moment) -> bool {
        let lacks = member.applied < self.position.number;
        !member.bootstrapped
            || member.applied < self.floor
            || lacks && now.since(self.arrived_at(member.applied + 1)) >= MAX_LAG
    }

    /// Returns the report to send now, if one is due.
    pub fn next_report(&mut self, now: Moment) -> Option<FromGatherer> {
        let since = self.reported_at.map(|at| now.since(at));
        if since.is_some_and(|since| since < MIN_REPORT_INTERVAL) {
            return None;
        }
        let mut late = BTreeMap::new();
        let mut least = None::<u64>;
        for (name, member) in &self.members {
            match self.is_lagging(member, now) {
                true => drop(late.insert(name.clone(), if member.bootstrapped { member.applied } else { 0 })),
                false => least = Some(least.map_or(member.applied, |least| least.min(member.applied))),
            }
        }
        // Nobody can count for items that have not arrived here yet, whatever it received elsewhere.
        self.floor = least.unwrap_or(0).min(self.position.number).max(self.floor);
        let floor = self.floor;
        late.retain(|_, applied| *applied < floor.max(1));
        let report = LastReport { floor, lagging: late, applied: self.position.number };
        let needs_full_list =
            self.list_differs || self.sent_list.as_ref().is_none_or(|(digest, _)| *digest != self.digest);
        if report == self.last_report
            && !needs_full_list
            && since.is_some_and(|since| since < REPORT_INTERVAL)
        {
            return None;
        }
        let membership = match needs_full_list {
            true => {
                let all_members: BTreeMap<String, u64> =
                    self.members.iter().map(|(name, member)| (name.clone(), member.incarnation)).collect();
                (self.sent_list, self.accepted_list, self.list_differs) =
                    (Some((self.digest, all_members.clone())), None, false);
                MembershipUpdate::Full(all_members)
            }
            false => MembershipUpdate::Unchanged(self.digest),
        };
        (self.last_report, self.reported_at) = (report.clone(), Some(now));
        let (member, incarnation, applied) = (self.name.clone(), self.incarnation, self.position.number);
        let ack = Ack { member, incarnation, applied, bootstrapped: self.is_ready(), past: Past::default() };
        Some(FromGatherer::Gathered(GatheredReport {
            gatherer: ack,
            membership,
            floor,
            lagging: report.lagging,
        }))
    }

    /// Returns the next batch for members that have applied everything up to a number, and the term of the
    /// leader that sends it.
    pub fn after(&self, number: u64) -> Option<(u64, CatchUp)> {
        let items = self.retained.after(number)?.take(crate::retained::MAX_BATCH_ITEMS).cloned().collect();
        Some((self.position.term, CatchUp::Delta(items)))
    }

    /// Evicts items older than `at_ms`, in Unix milliseconds.
    pub fn forget_before(&mut self, at_ms: u64) {
        self.retained.evict(at_ms, MAX_RETAINED_BYTES);
    }

    /// Number of the last item received.
    pub fn last(&self) -> u64 {
        self.position.number
    }

    /// Number of members.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// The retained items.
    pub fn retained(&self) -> &RetainedItems {
        &self.retained
    }
}
