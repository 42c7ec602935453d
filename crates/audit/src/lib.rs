//! An audit of which process acted on which version, with tamper-evident records, and the treatment of lagging members. No
//! I/O: the current time is an argument. docs/audit.md explains the design.
//!
//! Hubs, routers and branch feeds are audited. They report to the audit keeper, a replicated service.
//!
//! - [`stamp`]: the versions that determine what a process does, and their compact form for pulls and reports.
//! - [`chain`]: the links of a process's record, each with the hash of the previous one.
//! - [`record`]: the recorder of a process: counts by stamp, in links that are sent until they are acknowledged.
//! - [`sketch`]: a Bloom filter of the downloads in an interval.
//! - [`process`]: the decisions of an audited process: its record, its lease, and which pulls it refuses.
//! - [`lease`]: how long a process may act without an answer from the keeper.
//! - [`obligations`]: which versions are due since when, and how stale a stamp is.
//! - [`history`]: what the keeper knows of all processes: it verifies chains, and finds gaps and contradictions.
//! - [`keeper`]: the state machine of the keeper.
//! - [`lagging`]: which members are updated and how, which are excluded and readmitted, and which version is withdrawn.
//! - [`messages`]: the messages between processes, operators and the keeper.
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
