//! Decisions for the recovery of a fleet from a power loss. No I/O: the current time is an argument. docs/start.md explains
//! the design.
//!
//! - [`trust`]: which stored state each kind of process trusts at its start, in one table that docs/start.md contains.
//! - [`stage`]: the start of a hub as a sequence of stages, each with a reason for waiting and an upper bound.
//! - [`ramp`]: how much a starting hub may fetch, and for which content, by the capacity that the archive has shown.
pub mod ramp;
pub mod stage;
pub mod trust;
