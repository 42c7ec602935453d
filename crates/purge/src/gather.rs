//! A site's gatherer: it follows the service of purges for its site, tells all below it on, and says in one line for all of
//! them what they have. It decides nothing about anyone: a gatherer that dies, lies behind or is doubled costs time, and
//! can't make a purge look reached that is not, since
//!
//! * it says only what those below it have confirmed to it, under the number of their process;
//! * what it says counts for those alone who are on the roster that the service has taken from it;
//! * a new process below is told all that lives, and may so give copies out, only once the service has taken it in, and no
//!   less than the service had told by then.
use crate::members::MAX_MEMBERS_PER_GATHERER;
use crate::membership::MembershipDigest;
use crate::messages::{Ack, FromGatherer, GatheredReport, MembershipUpdate, Past, ToMember};
use crate::retained::RetainedItems;
use crate::sequencer::{Delivery, LogPosition};
use crate::service::{CatchUp, MAX_RETAINED_BYTES};
use harestage::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One below that lacks an item for as long after it came here is named as behind, and holds nobody else up.
pub const MAX_LAG: Span = Span::millis(60);
/// Between two lines at least, where something is new, so that confirmations of one purge go up together.
pub const MIN_REPORT_INTERVAL: Span = Span::millis(15);
/// Between two lines where nothing is new.
pub const REPORT_INTERVAL: Span = Span::millis(200);
/// A service that was not heard of for as long leaves those below to the other gatherer of the site.
pub const SERVICE_TIMEOUT: Span = Span::millis(600);
/// Times at which items came that are remembered; older ones came long ago.
const MOST_TIMED: usize = 16_384;

#[derive(Clone, Debug, PartialEq)]
struct Member {
    incarnation: u64,
    applied: u64,
    bootstrapped: bool,
    /// The service has taken it in: it may be told all that lives.
    admitted: bool,
}

/// What was said last.
#[derive(Clone, Debug, Default, PartialEq)]
struct LastReport {
    floor: u64,
    late: BTreeMap<String, u64>,
    applied: u64,
}

pub struct Gatherer {
    name: String,
    incarnation: u64,
    position: LogPosition,
    knows_at: Option<u64>,
    retained: RetainedItems,
    fenced: BTreeSet<String>,
    fully_applied: u64,
    members: BTreeMap<String, Member>,
    digest: MembershipDigest,
    /// The roster that went up last on this connection, whole.
    sent: Option<(MembershipDigest, BTreeMap<String, u64>)>,
    /// The service has another roster than that.
    differs: bool,
    /// A roster that was taken, to be admitted once all up to a number is here.
    accepted: Option<(MembershipDigest, u64)>,
    /// Processes that another one has replaced, as the service said; each is told when it speaks.
    replaced: BTreeMap<String, u64>,
    floor: u64,
    /// When the last items came.
    came: VecDeque<Moment>,
    said: LastReport,
    said_at: Option<Moment>,
    heard: Option<Moment>,
}

/// A teller of an older term, or one that leaves something out: its connection is of no further use.
pub use crate::follower::SourceError;

/// Why one below is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatherError {
    /// There are as many below as one roster may have.
    TooManyMembers,
    /// This gatherer knows nothing yet, or has lost the service: another one may serve it.
    NotServing,
}

impl Gatherer {
    /// `start`: a number that no other start of it has.
    pub fn new(name: &str, incarnation: u64) -> Gatherer {
        Gatherer {
            name: name.into(),
            incarnation,
            position: LogPosition::default(),
            knows_at: None,
            retained: RetainedItems::default(),
            fenced: BTreeSet::new(),
            fully_applied: 0,
            members: BTreeMap::new(),
            digest: MembershipDigest::default(),
            sent: None,
            differs: false,
            accepted: None,
            replaced: BTreeMap::new(),
            floor: 0,
            came: VecDeque::new(),
            said: LastReport::default(),
            said_at: None,
            heard: None,
        }
    }

    /// A connection to the service begins: the roster goes up whole first.
    pub fn on_connected(&mut self) {
        (self.sent, self.accepted, self.said_at, self.differs) = (None, None, None, false);
    }

    fn is_ready(&self) -> bool {
        self.knows_at.is_some_and(|upto| self.position.number >= upto)
    }

    /// Whether those below are served: it knows all that lives, and the service was heard of lately.
    pub fn is_serving(&self, now: Moment) -> bool {
        self.is_ready() && self.heard.is_some_and(|heard| now.since(heard) < SERVICE_TIMEOUT)
    }

    /// The service says something. What is new is told below from [`Gatherer::after`].
    pub fn handle(&mut self, told: ToMember, now: Moment) -> Result<(), SourceError> {
        match told {
            ToMember::Items { term, items } => {
                for item in items {
                    match self.position.advance(term, item.number) {
                        Delivery::Next => {
                            item.payload.apply_to_fenced(&mut self.fenced);
                            self.retained.push(item);
                            self.came.push_back(now);
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
                self.came.clear();
                self.fenced.clear();
                for item in items {
                    if self.position.advance(term, item.number) != Delivery::Next {
                        return Err(SourceError::Gap);
                    }
                    item.payload.apply_to_fenced(&mut self.fenced);
                    self.retained.push(item);
                    self.came.push_back(now);
                }
                self.fenced.extend(fenced);
                self.knows_at = Some(upto);
            }
            ToMember::Membership { accepted, upto, fully_applied, replaced } => {
                self.fully_applied = self.fully_applied.max(fully_applied);
                // Their processes are gone, as far as the service knows, whatever their connections look like.
                for (name, incarnation) in replaced {
                    self.on_disconnect(&name, incarnation);
                    if self.replaced.len() < MAX_MEMBERS_PER_GATHERER {
                        self.replaced.insert(name, incarnation);
                    }
                }
                let is_sent = self.sent.as_ref().is_some_and(|(digest, _)| *digest == accepted);
                self.differs = !is_sent;
                if is_sent {
                    self.accepted = Some((accepted, upto));
                }
            }
            ToMember::NotLeader { .. } | ToMember::Replaced => return Ok(()),
        }
        self.heard = Some(now);
        while self.came.len() > MOST_TIMED {
            self.came.pop_front();
        }
        self.admit();
        Ok(())
    }

    /// Those of a roster that the service has taken may be told, once everything that it had told by then is here.
    fn admit(&mut self) {
        let Some((accepted, upto)) = self.accepted else { return };
        if self.position.number < upto {
            return;
        }
        let Some((_, roster)) = self.sent.as_ref().filter(|(digest, _)| *digest == accepted) else { return };
        for (name, member) in &mut self.members {
            member.admitted |= roster.get(name) == Some(&member.incarnation);
        }
    }

    /// One below says what it has; what it is told in return.
    pub fn on_ack(&mut self, said: &Ack, now: Moment) -> Result<ToMember, GatherError> {
        if !self.is_serving(now) {
            return Err(GatherError::NotServing);
        }
        match self.replaced.get(&said.member) {
            Some(incarnation) if *incarnation == said.incarnation => return Ok(ToMember::Replaced),
            _ => self.replaced.remove(&said.member),
        };
        let new = Member { incarnation: said.incarnation, applied: 0, bootstrapped: false, admitted: false };
        match self.members.get(&said.member).map(|member| member.incarnation) {
            Some(incarnation) if incarnation == said.incarnation => {}
            None if self.members.len() >= MAX_MEMBERS_PER_GATHERER => {
                return Err(GatherError::TooManyMembers);
            }
            known => {
                known.into_iter().for_each(|incarnation| self.digest.remove(&said.member, incarnation));
                self.digest.insert(&said.member, said.incarnation);
                self.members.insert(said.member.clone(), new);
            }
        }
        let Some(member) = self.members.get_mut(&said.member) else {
            return Err(GatherError::TooManyMembers);
        };
        if said.bootstrapped {
            (member.bootstrapped, member.applied) = (true, member.applied.max(said.applied));
        }
        // One that knows all that lives goes on from there; a new one waits until the service knows of it.
        let missing = match said.bootstrapped || member.admitted {
            true => self.retained.catch_up(said, self.fully_applied, || self.fenced.clone()),
            false => CatchUp::Delta(Vec::new()),
        };
        Ok(ToMember::from_catch_up(self.position.term, missing))
    }

    /// The line of one below has ended.
    pub fn on_disconnect(&mut self, name: &str, incarnation: u64) {
        if self.members.get(name).is_some_and(|member| member.incarnation == incarnation) {
            self.members.remove(name);
            self.digest.remove(name, incarnation);
        }
    }

    /// Whether this process is below; one whose start was replaced is not any more.
    pub fn has_member(&self, name: &str, incarnation: u64) -> bool {
        self.members.get(name).is_some_and(|member| member.incarnation == incarnation)
    }

    /// When an item came; long ago if that is not remembered.
    fn came_at(&self, number: u64) -> Moment {
        let first = self.position.number + 1 - self.came.len() as u64;
        let at = number.checked_sub(first).and_then(|n| self.came.get(n as usize));
        at.copied().unwrap_or_default()
    }

    fn lags(&self, member: &Member, now: Moment) -> bool {
        let lacks = member.applied < self.position.number;
        !member.bootstrapped
            || member.applied < self.floor
            || lacks && now.since(self.came_at(member.applied + 1)) >= MAX_LAG
    }

    /// What is to be said to the service now, if anything is.
    pub fn next_report(&mut self, now: Moment) -> Option<FromGatherer> {
        let since = self.said_at.map(|at| now.since(at));
        if since.is_some_and(|since| since < MIN_REPORT_INTERVAL) {
            return None;
        }
        let mut late = BTreeMap::new();
        let mut least = None::<u64>;
        for (name, member) in &self.members {
            match self.lags(member, now) {
                true => drop(late.insert(name.clone(), if member.bootstrapped { member.applied } else { 0 })),
                false => least = Some(least.map_or(member.applied, |least| least.min(member.applied))),
            }
        }
        // Nobody can have what was not told here yet, whatever it heard elsewhere.
        self.floor = least.unwrap_or(0).min(self.position.number).max(self.floor);
        let floor = self.floor;
        late.retain(|_, applied| *applied < floor.max(1));
        let said = LastReport { floor, late, applied: self.position.number };
        let needs_whole = self.differs || self.sent.as_ref().is_none_or(|(digest, _)| *digest != self.digest);
        if said == self.said && !needs_whole && since.is_some_and(|since| since < REPORT_INTERVAL) {
            return None;
        }
        let roster = match needs_whole {
            true => {
                let all: BTreeMap<String, u64> =
                    self.members.iter().map(|(name, member)| (name.clone(), member.incarnation)).collect();
                (self.sent, self.accepted, self.differs) = (Some((self.digest, all.clone())), None, false);
                MembershipUpdate::Full(all)
            }
            false => MembershipUpdate::Unchanged(self.digest),
        };
        (self.said, self.said_at) = (said.clone(), Some(now));
        let (member, incarnation, applied) = (self.name.clone(), self.incarnation, self.position.number);
        let by = Ack { member, incarnation, applied, bootstrapped: self.is_ready(), past: Past::default() };
        Some(FromGatherer::Gathered(GatheredReport {
            gatherer: by,
            membership: roster,
            floor,
            lagging: said.late,
        }))
    }

    /// What those below are told that have all up to a number: the next piece, and the term of the one who tells it.
    pub fn after(&self, number: u64) -> Option<(u64, CatchUp)> {
        let items = self.retained.after(number)?.take(crate::retained::MAX_BATCH_ITEMS).cloned().collect();
        Some((self.position.term, CatchUp::Delta(items)))
    }

    /// Forgets what is older than that time, Unix milliseconds.
    pub fn forget_before(&mut self, at_ms: u64) {
        self.retained.evict(at_ms, MAX_RETAINED_BYTES);
    }

    pub fn last(&self) -> u64 {
        self.position.number
    }

    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    pub fn retained(&self) -> &RetainedItems {
        &self.retained
    }
}
