//! How long a process may act on the versions that it has. The keeper grants a lease, which counts from the time of the
//! process's request by the process's own clock: an answer that waited in a socket while the process was paused grants
//! nothing. A process whose lease has expired stops by itself before its next order, and reports that. Nobody needs to reach
//! it for that.
use harestage::time::{Moment, Span};

/// The lease of a process. Without a keeper there is no audit, and the lease is unlimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lease {
    /// The process follows no keeper.
    Unlimited,
    /// No keeper has answered yet; valid until this time.
    Initial(Moment),
    /// Granted by the keeper; valid until this time.
    Until(Moment),
    /// The keeper has excluded the process: it must not act.
    Excluded,
}

/// Lease of a process before the first answer of its keeper. It is safe, since a process starts with the newest versions or
/// with none.
pub const INITIAL_LEASE: Span = Span::millis(10_000);
/// Longest lease that is accepted from a keeper.
const MAX_LEASE: Span = Span::millis(120_000);

impl Lease {
    /// The lease of a process that has just started and follows a keeper.
    pub fn initial(now: Moment) -> Lease {
        Lease::Initial(now + INITIAL_LEASE)
    }

    /// The lease after an answer to the report that was sent at `requested`. An older answer never shortens a lease.
    pub fn renewed(self, requested: Moment, duration: Span, excluded: bool) -> Lease {
        let until = requested + duration.min(MAX_LEASE);
        match self {
            Lease::Unlimited => Lease::Unlimited,
            _ if excluded => Lease::Excluded,
            Lease::Until(current) => Lease::Until(current.max(until)),
            Lease::Initial(_) | Lease::Excluded => Lease::Until(until),
        }
    }

    /// Whether the process may act now.
    pub fn may_act(self, now: Moment) -> bool {
        match self {
            Lease::Unlimited => true,
            Lease::Initial(until) | Lease::Until(until) => now < until,
            Lease::Excluded => false,
        }
    }
}
