//! What a router that calls has of what it was told. No socket, no clock.
//!
//! A router that knows the word counts as having a purge by that word alone. Until its first word a connection counts by
//! what was written to it: a program from before the word has no other way, and a router that does know it, and has not
//! spoken yet, is no worse off than one whose connection was ended. One that was told what it lacked, and has not said yet
//! that it has it, is like one that is away: no purge waits for it.
use harestage::time::{Moment, Span};
use harestage_wire::feed::{Ack, AppliedPurges};
use std::collections::VecDeque;
use std::fmt;

/// A purge is confirmed once all routers that follow have it; one that does not for as long is ended, and told what it lacks
/// when it calls again. The service fences a member after 250 ms.
pub const TAKES_WITHIN: Span = Span::millis(150);
/// The same for the list that is told first, which may be of 43,200 purges.
pub const TAKES_LIST_WITHIN: Span = Span::millis(5_000);
/// Marks that were told and not answered; past it the connection is ended. 12 a second come to five minutes of them.
const MOST_OPEN: usize = 4_096;

/// Why a connection is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It is no word, or too long for one.
    NoWord,
    /// What it had before is said once, and first.
    OutOfTurn,
    /// A number that it was not told, has said before, or went behind.
    Impossible { number: u64 },
    /// Marks were not answered in time.
    Late,
    /// The service counts anew: what it has said means nothing any more.
    Anew,
}

impl fmt::Display for Ended {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::NoWord => write!(f, "it said what is no word"),
            Self::OutOfTurn => write!(f, "it said out of turn what it had"),
            Self::Impossible { number } => write!(f, "it said that it has purge {number}, which can't be"),
            Self::Late => write!(f, "it has not taken a purge in time"),
            Self::Anew => write!(f, "the service counts anew"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Counts {
    /// It has not said a word yet.
    ByWriting,
    /// It was told what it lacked, and has not said that it has it.
    NotYet,
    /// All up to this number.
    ByWord(u64),
}

/// A connection of a router.
#[derive(Debug)]
pub struct Caller {
    /// Up to where it was sent what was said.
    place: u64,
    counts: Counts,
    /// Numbers of marks that were sent and not answered, and since when each is owed.
    open: VecDeque<(u64, Moment)>,
    /// The highest that was sent.
    sent: Option<u64>,
}

impl Caller {
    /// `had`: what it said that it had, where it did. `place`: what follows it was not sent.
    pub fn new(had: Option<AppliedPurges>, place: u64) -> Caller {
        let counts = had.map_or(Counts::ByWriting, |_| Counts::NotYet);
        Caller { place, counts, open: VecDeque::new(), sent: None }
    }

    /// It was sent all up to a place; `marks` are the numbers of the marks among it, in order.
    pub fn was_sent(
        &mut self,
        place: u64,
        marks: impl Iterator<Item = u64>,
        now: Moment,
    ) -> Result<(), Ended> {
        self.place = place.max(self.place);
        for number in marks {
            if self.sent.is_some_and(|sent| number < sent) {
                return Err(Ended::Anew);
            }
            // Marks that differ in the plan alone name a number again, and are not answered again.
            if self.sent.is_none_or(|sent| number > sent) {
                self.sent = Some(number);
                self.open.push_back((number, now));
            }
        }
        while self.open.len() > MOST_OPEN {
            if self.counts != Counts::ByWriting {
                return Err(Ended::Late);
            }
            self.open.pop_front();
        }
        Ok(())
    }

    /// A line that it said.
    pub fn says(&mut self, line: &[u8], now: Moment) -> Result<(), Ended> {
        match (Ack::decode(line).ok_or(Ended::NoWord)?, self.counts) {
            // It was slow to answer, and was told all: from here on it counts by its words.
            (Ack::Initial(_), Counts::ByWriting) => {
                self.counts = Counts::NotYet;
                self.open.iter_mut().for_each(|(_, since)| *since = now);
                Ok(())
            }
            (Ack::Initial(_), _) | (Ack::Applied(_), Counts::ByWriting) => Err(Ended::OutOfTurn),
            (Ack::Applied(number), _) => {
                // Only marks that are open: nothing from the future, nothing twice, and no more words than marks.
                let at = self.open.iter().position(|(open, _)| *open == number);
                self.open.drain(..=at.ok_or(Ended::Impossible { number })?);
                self.counts = Counts::ByWord(number);
                Ok(())
            }
        }
    }

    /// A purge of that number, said at that place, is not confirmed before this router has it.
    pub fn is_waited_for(&self, place: u64, number: u64) -> bool {
        match self.counts {
            Counts::ByWriting => self.place < place,
            Counts::NotYet => false,
            Counts::ByWord(has) => has < number,
        }
    }

    /// Its connection is to be ended: it has not said in time that it has something.
    pub fn is_late(&self, now: Moment) -> bool {
        let within = match self.counts {
            Counts::ByWriting => return false,
            Counts::NotYet => TAKES_LIST_WITHIN,
            Counts::ByWord(_) => TAKES_WITHIN,
        };
        self.open.front().is_some_and(|(_, since)| now.since(*since) > within)
    }

    pub fn place(&self) -> u64 {
        self.place
    }

    /// All purges up to this number, by its word.
    pub fn has(&self) -> Option<u64> {
        match self.counts {
            Counts::ByWord(has) => Some(has),
            _ => None,
        }
    }
}
