//! The one order of purges. Numbers have no gaps; each belongs to the term of the service that gave it. A service that
//! has been replaced may go on giving numbers out: whoever has heard of a newer term takes none of them.
use crate::retained::RetainedItems;
use crate::scope::{Scope, ScopeError};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::fmt;

/// Bytes of a key of repeats.
pub const MAX_KEY_BYTES: usize = 64;
/// Keys that are remembered; past it the oldest are forgotten, and asked for again are new purges, which harm nobody.
const MOST_KEYS: usize = 100_000;

/// One thing that every member is told, in this order and no other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub number: u64,
    pub term: u64,
    /// Unix milliseconds of the service.
    pub at_ms: u64,
    #[serde(rename = "what")]
    pub payload: Payload,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Payload {
    /// Copies of this that the archive gave out up to `at_ms` are old.
    Purge {
        scope: Scope,
        tenant: u32,
        /// Asked for again under the same key, it is the same purge.
        key: String,
    },
    /// Nothing is taken from this member from now on.
    Fenced {
        member: String,
    },
    /// It has caught up, and may be asked as a cold one.
    Freed {
        member: String,
    },
    /// The same of many at once: a site or a zone that falls silent is one item, and one confirmation of it.
    FencedMany {
        members: BTreeSet<String>,
    },
    FreedMany {
        members: BTreeSet<String>,
    },
}

impl Payload {
    pub fn fenced(mut members: BTreeSet<String>) -> Payload {
        match (members.len(), members.pop_first()) {
            (1, Some(member)) => Payload::Fenced { member },
            (_, first) => Payload::FencedMany { members: members.into_iter().chain(first).collect() },
        }
    }

    pub fn freed(mut members: BTreeSet<String>) -> Payload {
        match (members.len(), members.pop_first()) {
            (1, Some(member)) => Payload::Freed { member },
            (_, first) => Payload::FreedMany { members: members.into_iter().chain(first).collect() },
        }
    }

    /// What it makes of the list of those from whom nothing is taken; whether that is another one then.
    pub fn apply_to_fenced(&self, fenced: &mut BTreeSet<String>) -> bool {
        let before = fenced.len();
        match self {
            Payload::Fenced { member } => fenced.extend([member.clone()]),
            Payload::FencedMany { members } => fenced.extend(members.iter().cloned()),
            Payload::Freed { member } => fenced.retain(|name| name != member),
            Payload::FreedMany { members } => fenced.retain(|name| !members.contains(name)),
            Payload::Purge { .. } => {}
        }
        // Each kind only adds, or only takes away.
        fenced.len() != before
    }
}

/// What stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogEntry {
    /// A service has taken over.
    Term {
        term: u64,
    },
    /// What stood before is forgotten: all up to that number, the latest of it of that time.
    Base {
        term: u64,
        upto: u64,
        forgotten_ms: u64,
    },
    Item(Item),
    /// These are members, each under the number of its process: from here on a purge is reached only with them.
    Admitted {
        term: u64,
        members: Vec<(String, u64)>,
    },
    /// All members that are not fenced have confirmed all up to that number.
    Floor {
        term: u64,
        upto: u64,
    },
    /// A member has confirmed all up to that number, under the number of its process.
    Confirmed {
        term: u64,
        member: String,
        #[serde(rename = "start")]
        incarnation: u64,
        upto: u64,
    },
    /// A purge has ended: the report was given.
    Reported {
        term: u64,
        number: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitError {
    Scope(ScopeError),
    KeyLength {
        bytes: usize,
    },
    /// The tenant has asked for too many: it may come again after so many milliseconds.
    RateLimited {
        tenant: u32,
        wait_ms: u64,
    },
    /// This key stands for another purge.
    KeyConflict {
        key: String,
        number: u64,
    },
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Scope(why) => write!(f, "{why}"),
            Self::KeyLength { bytes } => {
                write!(f, "a key of {bytes} bytes, and 1 to {MAX_KEY_BYTES} are allowed")
            }
            Self::RateLimited { tenant, wait_ms } => {
                write!(f, "tenant {tenant} has asked for too many purges: again in {wait_ms} ms")
            }
            Self::KeyConflict { key, number } => {
                write!(f, "key {key:?} stands for purge {number} of another scope")
            }
        }
    }
}

/// Purges a second that a tenant may ask for, and how many at once after a rest.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    pub rate: f64,
    pub burst: f64,
}

/// The order as the service keeps it.
pub struct Sequencer {
    term: u64,
    retained: RetainedItems,
    keys: HashMap<(u32, String), u64>,
    by_age: VecDeque<(u32, String)>,
    limit: RateLimit,
    buckets: HashMap<u32, (f64, u64)>,
}

/// What came of a wish for a purge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submission {
    /// To be written down, synced, and only then told.
    New(Item),
    /// It was asked for before, under this number.
    Duplicate(u64),
}

impl Sequencer {
    /// The order as it stands in a log, under the term of whoever wrote last; what does not count is left out.
    pub fn replay(entries: impl IntoIterator<Item = LogEntry>, limit: RateLimit) -> Sequencer {
        let mut order = Sequencer {
            term: 0,
            retained: RetainedItems::default(),
            keys: HashMap::new(),
            by_age: VecDeque::new(),
            limit,
            buckets: HashMap::new(),
        };
        for entry in entries {
            match entry {
                LogEntry::Term { term } => order.term = order.term.max(term),
                LogEntry::Base { term, upto, forgotten_ms } if order.last() <= upto => {
                    order.term = order.term.max(term);
                    order.retained =
                        RetainedItems::after_base(upto, order.retained.forgotten_ms().max(forgotten_ms));
                }
                // Of an older term, behind a newer one: written by a service that did not know yet.
                LogEntry::Item(item) if item.term == order.term && item.number == order.last() + 1 => {
                    order.enter(item)
                }
                _ => {}
            }
        }
        order
    }

    /// From here on it is this service that gives the numbers.
    pub fn begin_term(&mut self) -> LogEntry {
        self.term += 1;
        LogEntry::Term { term: self.term }
    }

    /// Asks for a purge at `now_ms`, Unix milliseconds.
    pub fn submit(
        &mut self,
        scope: Scope,
        tenant: u32,
        key: &str,
        now_ms: u64,
    ) -> Result<Submission, SubmitError> {
        scope.compile().map_err(SubmitError::Scope)?;
        if !(1..=MAX_KEY_BYTES).contains(&key.len()) {
            return Err(SubmitError::KeyLength { bytes: key.len() });
        }
        if let Some(number) = self.keys.get(&(tenant, key.to_string())).copied() {
            let is =
                |item: &Item| matches!(&item.payload, Payload::Purge { scope: own, .. } if *own == scope);
            let other = self.retained.get(number).is_some_and(|item| !is(item));
            return match other {
                true => Err(SubmitError::KeyConflict { key: key.into(), number }),
                false => Ok(Submission::Duplicate(number)),
            };
        }
        self.charge(tenant, now_ms)?;
        let key = key.to_string();
        Ok(Submission::New(self.append(Payload::Purge { scope, tenant, key }, now_ms)))
    }

    /// Gives the next number to something that all have to be told.
    pub fn append(&mut self, payload: Payload, now_ms: u64) -> Item {
        let item = Item { number: self.last() + 1, term: self.term, at_ms: now_ms, payload };
        self.enter(item.clone());
        item
    }

    fn charge(&mut self, tenant: u32, now_ms: u64) -> Result<(), SubmitError> {
        let RateLimit { rate, burst } = self.limit;
        let (tokens, since) = self.buckets.entry(tenant).or_insert((burst, now_ms));
        *tokens = (*tokens + now_ms.saturating_sub(*since) as f64 / 1e3 * rate).min(burst);
        *since = now_ms.max(*since);
        if *tokens < 1.0 {
            let wait_ms = ((1.0 - *tokens) / rate.max(1e-9) * 1e3).ceil() as u64;
            return Err(SubmitError::RateLimited { tenant, wait_ms });
        }
        *tokens -= 1.0;
        Ok(())
    }

    fn enter(&mut self, item: Item) {
        if let Payload::Purge { tenant, key, .. } = &item.payload {
            let key = (*tenant, key.clone());
            self.keys.insert(key.clone(), item.number);
            self.by_age.push_back(key);
        }
        while self.by_age.len() > MOST_KEYS {
            if let Some(old) = self.by_age.pop_front() {
                self.keys.remove(&old);
            }
        }
        self.retained.push(item);
    }

    /// What follows a number, in order; none if some of it is no longer kept, so that all that lives has to be told.
    pub fn after(&self, number: u64) -> Option<impl Iterator<Item = &Item>> {
        self.retained.after(number)
    }

    /// Forgets what is older than that time, Unix milliseconds, and the oldest past that many bytes.
    pub fn evict(&mut self, before_ms: u64, most_bytes: usize) {
        self.retained.evict(before_ms, most_bytes);
    }

    pub fn retained(&self) -> &RetainedItems {
        &self.retained
    }

    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.retained.iter()
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    pub fn forgotten_ms(&self) -> u64 {
        self.retained.forgotten_ms()
    }

    /// The number of the first that lives, or of the next.
    pub fn first(&self) -> u64 {
        self.retained.first()
    }

    pub fn last(&self) -> u64 {
        self.retained.last()
    }
}

/// Where a member stands in the order: what it takes next, and from whom.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogPosition {
    pub term: u64,
    pub number: u64,
}

/// What a member makes of what it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// To be applied.
    Next,
    /// It has it already.
    Duplicate,
    /// Something is missing before it: to be asked for.
    Gap,
    /// From a service that was replaced: nothing of it counts.
    StaleTerm,
}

impl LogPosition {
    /// `term` is that of the service that tells it, not of the one that gave the number: a new service tells on what its
    /// forerunners wrote.
    pub fn advance(&mut self, term: u64, number: u64) -> Delivery {
        if term < self.term {
            return Delivery::StaleTerm;
        }
        self.term = term;
        match number {
            n if n <= self.number => Delivery::Duplicate,
            n if n == self.number + 1 => {
                self.number = n;
                Delivery::Next
            }
            _ => Delivery::Gap,
        }
    }
}
