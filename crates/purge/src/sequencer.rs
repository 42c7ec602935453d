//! The purge log: a single sequence of numbered items. Numbers have no gaps, and each item belongs to the
//! term of the leader that numbered it. A leader that was replaced may go on numbering items: whoever knows
//! of a newer term ignores them.
use crate::retained::RetainedItems;
use crate::scope::{Scope, ScopeError};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::fmt;

/// Maximum length of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 64;
/// Number of idempotency keys that are remembered. If an older one is used again, the purge is repeated,
/// which does no harm.
const MAX_KEYS: usize = 100_000;

/// A numbered item of the log, delivered to every member in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub number: u64,
    pub term: u64,
    /// Unix milliseconds, by the clock of the service.
    pub at_ms: u64,
    #[serde(rename = "what")]
    pub payload: Payload,
}

/// What an item announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Payload {
    /// Copies that the archive gave out up to `at_ms` are outdated.
    Purge {
        scope: Scope,
        tenant: u32,
        /// Idempotency key: submitted again under the same key, it is the same purge.
        key: String,
    },
    /// The member is not used from now on.
    Fenced {
        member: String,
    },
    /// The member has caught up and may be used like a cold one.
    Freed {
        member: String,
    },
    /// The same for several members. If a whole site or zone falls silent, this takes one item and one round
    /// of acknowledgements.
    FencedMany {
        members: BTreeSet<String>,
    },
    FreedMany {
        members: BTreeSet<String>,
    },
}

impl Payload {
    /// Item that fences members.
    pub fn fenced(mut members: BTreeSet<String>) -> Payload {
        match (members.len(), members.pop_first()) {
            (1, Some(member)) => Payload::Fenced { member },
            (_, first) => Payload::FencedMany { members: members.into_iter().chain(first).collect() },
        }
    }

    /// Item that frees members.
    pub fn freed(mut members: BTreeSet<String>) -> Payload {
        match (members.len(), members.pop_first()) {
            (1, Some(member)) => Payload::Freed { member },
            (_, first) => Payload::FreedMany { members: members.into_iter().chain(first).collect() },
        }
    }

    /// Updates the set of fenced members. Returns whether it has changed.
    pub fn apply_to_fenced(&self, fenced: &mut BTreeSet<String>) -> bool {
        let before = fenced.len();
        match self {
            Payload::Fenced { member } => fenced.extend([member.clone()]),
            Payload::FencedMany { members } => fenced.extend(members.iter().cloned()),
            Payload::Freed { member } => fenced.retain(|name| name != member),
            Payload::FreedMany { members } => fenced.retain(|name| !members.contains(name)),
            Payload::Purge { .. } => {}
        }
        // Each kind either adds or removes members, so the size tells.
        fenced.len() != before
    }
}

/// Entry of the replicated log on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogEntry {
    /// A new leader has started its term.
    Term { term: u64 },
    /// Everything before was evicted: the items up to `upto`, the latest of which has the time
    /// `forgotten_ms`.
    Base { term: u64, upto: u64, forgotten_ms: u64 },
    /// An item of the purge log.
    Item(Item),
    /// These processes became members, each given by name and incarnation. From here on, a purge has to
    /// reach them too.
    Admitted { term: u64, members: Vec<(String, u64)> },
    /// All members that are not fenced have applied everything up to `upto`.
    Floor { term: u64, upto: u64 },
    /// One process of a member has applied everything up to `upto`.
    Confirmed {
        term: u64,
        member: String,
        #[serde(rename = "start")]
        incarnation: u64,
        upto: u64,
    },
    /// A purge was reported as reached.
    Reported { term: u64, number: u64 },
}

/// Reason why a purge is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// The scope is invalid.
    Scope(ScopeError),
    /// The idempotency key is empty or too long.
    KeyLength { bytes: usize },
    /// The tenant exceeds its rate limit and may retry after `wait_ms`.
    RateLimited { tenant: u32, wait_ms: u64 },
    /// The key belongs to a purge with another scope.
    KeyConflict { key: String, number: u64 },
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Scope(error) => write!(f, "{error}"),
            Self::KeyLength { bytes } => {
                write!(f, "key of {bytes} bytes, 1 to {MAX_KEY_BYTES} are allowed")
            }
            Self::RateLimited { tenant, wait_ms } => {
                write!(f, "rate limit of tenant {tenant} exceeded, retry in {wait_ms} ms")
            }
            Self::KeyConflict { key, number } => {
                write!(f, "key {key:?} was used for purge {number} with another scope")
            }
        }
    }
}

/// Rate of purges per second and burst size allowed to a tenant.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    pub rate: f64,
    pub burst: f64,
}

/// Assigns numbers to items and keeps them.
pub struct Sequencer {
    term: u64,
    retained: RetainedItems,
    keys: HashMap<(u32, String), u64>,
    key_order: VecDeque<(u32, String)>,
    limit: RateLimit,
    buckets: HashMap<u32, (f64, u64)>,
}

/// Outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submission {
    /// A new item, to be logged and synced before it is sent.
    New(Item),
    /// The key was used before, for the purge with this number.
    Duplicate(u64),
}

impl Sequencer {
    /// Rebuilds the state from a log, in the term of its last leader. Entries of replaced leaders are
    /// skipped.
    pub fn replay(entries: impl IntoIterator<Item = LogEntry>, limit: RateLimit) -> Sequencer {
        let mut sequencer = Sequencer {
            term: 0,
            retained: RetainedItems::default(),
            keys: HashMap::new(),
            key_order: VecDeque::new(),
            limit,
            buckets: HashMap::new(),
        };
        for entry in entries {
            match entry {
                LogEntry::Term { term } => sequencer.term = sequencer.term.max(term),
                LogEntry::Base { term, upto, forgotten_ms } if sequencer.last() <= upto => {
                    sequencer.term = sequencer.term.max(term);
                    sequencer.retained =
                        RetainedItems::after_base(upto, sequencer.retained.forgotten_ms().max(forgotten_ms));
                }
                // An entry of an older term after a newer one was written by a leader that had been replaced
                // already.
                LogEntry::Item(item)
                    if item.term == sequencer.term && item.number == sequencer.last() + 1 =>
                {
                    sequencer.push(item)
                }
                _ => {}
            }
        }
        sequencer
    }

    /// Starts a new term, in which this service assigns the numbers.
    pub fn begin_term(&mut self) -> LogEntry {
        self.term += 1;
        LogEntry::Term { term: self.term }
    }

    /// Submits a purge at `now_ms`, in Unix milliseconds.
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
            let same_scope =
                |item: &Item| matches!(&item.payload, Payload::Purge { scope: known, .. } if *known == scope);
            let conflicts = self.retained.get(number).is_some_and(|item| !same_scope(item));
            return match conflicts {
                true => Err(SubmitError::KeyConflict { key: key.into(), number }),
                false => Ok(Submission::Duplicate(number)),
            };
        }
        self.take_token(tenant, now_ms)?;
        let key = key.to_string();
        Ok(Submission::New(self.append(Payload::Purge { scope, tenant, key }, now_ms)))
    }

    /// Appends an item with the next number.
    pub fn append(&mut self, payload: Payload, now_ms: u64) -> Item {
        let item = Item { number: self.last() + 1, term: self.term, at_ms: now_ms, payload };
        self.push(item.clone());
        item
    }

    /// Takes a token from the tenant's token bucket.
    fn take_token(&mut self, tenant: u32, now_ms: u64) -> Result<(), SubmitError> {
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

    /// Adds an item and its key.
    fn push(&mut self, item: Item) {
        if let Payload::Purge { tenant, key, .. } = &item.payload {
            let key = (*tenant, key.clone());
            self.keys.insert(key.clone(), item.number);
            self.key_order.push_back(key);
        }
        while self.key_order.len() > MAX_KEYS {
            if let Some(old) = self.key_order.pop_front() {
                self.keys.remove(&old);
            }
        }
        self.retained.push(item);
    }

    /// Returns the items after a number in order, or `None` if some of them were evicted, so that a snapshot
    /// is needed.
    pub fn after(&self, number: u64) -> Option<impl Iterator<Item = &Item>> {
        self.retained.after(number)
    }

    /// Evicts items older than `before_ms`, in Unix milliseconds, and the oldest ones beyond `max_bytes`.
    pub fn evict(&mut self, before_ms: u64, max_bytes: usize) {
        self.retained.evict(before_ms, max_bytes);
    }

    /// The retained items.
    pub fn retained(&self) -> &RetainedItems {
        &self.retained
    }

    /// The retained items in order.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.retained.iter()
    }

    /// Term of the current leader.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Time of the latest evicted item in Unix milliseconds; 0 if none was evicted.
    pub fn forgotten_ms(&self) -> u64 {
        self.retained.forgotten_ms()
    }

    /// Number of the first retained item, or of the next one if there is none.
    pub fn first(&self) -> u64 {
        self.retained.first()
    }

    /// Number of the last item.
    pub fn last(&self) -> u64 {
        self.retained.last()
    }
}

/// Position of a member in the log: the term it follows and the last number it has applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogPosition {
    pub term: u64,
    pub number: u64,
}

/// How a delivered item relates to the position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The next item, to be applied.
    Next,
    /// Applied already.
    Duplicate,
    /// Earlier items are missing and have to be requested.
    Gap,
    /// Sent by a leader that was replaced, to be ignored.
    StaleTerm,
}

impl LogPosition {
    /// Advances the position if this is the next item. `term` is that of the leader that sends the item,
    /// which may have been numbered in an earlier term.
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
