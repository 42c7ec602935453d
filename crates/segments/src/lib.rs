//! A write-ahead log on disk that survives crashes.
//!
//! Records are numbered without gaps and are recovered in order. A record is durable once [`Log::sync`] has returned
//! successfully after its append. Until then it may be lost, but only from the end: recovery always yields a prefix of
//! the appended records that includes every durable one. After a failed write or sync the state of the disk is unknown,
//! so the log accepts nothing more and has to be reopened.
//!
//! A snapshot replaces all records up to its number; segments that it covers are removed.
//!
//! The log accesses the disk through [`Files`], so that tests can simulate crashes at every step, a full disk and failed
//! syncs ([`simulated`]). [`Folder`] is the implementation for a real folder.
mod files;
mod log;
pub mod simulated;

pub use files::{Files, Folder, mirror_synced_files};
pub use log::{Log, LogError, LogRecord, Recovered};
