//! How long a process may act on what it has. The keeper grants a span; it counts from the moment at which the process
//! asked, by its own clock, so that an answer that waited in a socket while the process was stopped gives it nothing. Who has
//! none any more shuts itself out before its next order, and says so; nobody has to reach it for that.
use harestage::time::{Moment, Span};

/// A process's right to act. One that was never asked for holds for good: without a keeper there is no audit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lease {
    /// No keeper is followed.
    Unlimited,
    /// No keeper has answered yet: until then.
    Initial(Moment),
    /// Until then.
    Until(Moment),
    /// Its stamp is forbidden: it acts no more, however long the lease would be.
    Excluded,
}

/// Before the first answer of a keeper, a process that has one may act for as long: it starts with what is newest, or with
/// nothing.
pub const INITIAL_LEASE: Span = Span::millis(10_000);
/// A grant is believed up to here.
const MOST: Span = Span::millis(120_000);

impl Lease {
    /// For a process that follows a keeper.
    pub fn initial(now: Moment) -> Lease {
        Lease::Initial(now + INITIAL_LEASE)
    }

    /// What the answer to a report that went out at `asked` gives. An older answer never shortens a newer one.
    pub fn renewed(self, asked: Moment, term: Span, shut: bool) -> Lease {
        let until = asked + term.min(MOST);
        match self {
            Lease::Unlimited => Lease::Unlimited,
            _ if shut => Lease::Excluded,
            Lease::Until(own) => Lease::Until(own.max(until)),
            Lease::Initial(_) | Lease::Excluded => Lease::Until(until),
        }
    }

    pub fn may_act(self, now: Moment) -> bool {
        match self {
            Lease::Unlimited => true,
            Lease::Initial(until) | Lease::Until(until) => now < until,
            Lease::Excluded => false,
        }
    }
}
