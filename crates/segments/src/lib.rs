//! A log on disk that survives crashes.
//!
//! Records have numbers without gaps and come back in their order. A record counts as kept once [`Log::sync`] has
//! returned well after its append; until then it may be lost, but never in the middle: what comes back is always a
//! beginning of what was appended, no shorter than what was kept. After a write or sync that failed nothing is known of
//! the disk, so the log takes nothing more and has to be opened anew.
//!
//! A snapshot stands for all records up to its number; segments that it covers are removed.
//!
//! The log does its work through [`Files`], so that tests can bring about every crash, a full disk and failed syncs.
//! [`Folder`] is the real one.
mod files;
mod log;
pub mod simulated;

pub use files::{Files, Folder, mirror_synced_files};
pub use log::{Log, LogError, LogRecord, Recovered};
