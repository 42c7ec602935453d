//! Which process acted on which version, provably whole, and what is done about those that lag behind. No input or output:
//! moments and chance are handed in. docs/audit.md argues for the ways taken.
//!
//! - [`stamp`]: the one notion of what a process goes by, and its compact form that travels with pulls and reports.
//! - [`chain`]: the links of a process's record, each with the hash of the one before.
//! - [`record`]: the process's side: counts by stamp, pieces that are sent until they are acknowledged.
//! - [`sketch`]: which downloads a piece may hold, in a few bits each.
//! - [`process`]: an audited process, as far as it decides: record, lease, refusals.
//! - [`lease`]: how long a process may act on what it has without hearing of anything newer.
//! - [`obligations`]: how late is harmless, late, forbidden, for each kind of version.
//! - [`history`]: the keeper's side: checks chains, tells gaps, finds twins and those who say one thing and do another.
//! - [`keeper`]: the keeper's state machine with all of it.
//! - [`lagging`]: who is brought up, by which way, who is shut out and let in again, and which version is withdrawn.
//! - [`messages`]: nothing: what processes and the keeper write to each other.
pub mod chain;
pub mod history;
pub mod keeper;
pub mod lagging;
pub mod lease;
pub mod messages;
pub mod obligations;
pub mod process;
pub mod record;
pub mod sketch;
pub mod stamp;
