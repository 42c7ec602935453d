//! The recovery of a fleet from a loss of power, as far as it decides; no input or output, moments are handed in.
//! docs/start.md argues for the ways taken.
//!
//! - [`trust`]: what each kind of process trusts of what it finds, in one table from which the page's is printed.
//! - [`stage`]: a start as named stages, each with the reason why it waits and a bound on that.
//! - [`ramp`]: how fast a hub that starts may fetch, and what for, by what the archive proves to bear.
pub mod ramp;
pub mod stage;
pub mod trust;
