//! Fleet-wide purges.
//!
//! The crate does no I/O: the time is passed in, and actions are returned as data. docs/purge.md explains
//! the design.
//!
//! | module | content |
//! | --- | --- |
//! | `scope` | what a purge covers, and which scopes are refused |
//! | `sequencer` | the purge log: numbers, terms, idempotency keys |
//! | `follower` | how a member handles messages |
//! | `gather` | the gatherer of a site, which aggregates the acknowledgements of its members |
//! | `retained` | which items are retained, and which of them a member lacks |
//! | `membership` | digest of a gatherer's member list |
//! | `index` | how old a copy of an object may be |
//! | `messages` | messages between service, members and clients |
//! | `pack` | compact encoding of many items |
//! | `anti_entropy` | search for the first difference between two sides |
//! | `members` | what each member has applied, who is fenced, and the slow start after a fence |
//! | `promise` | the promised latency, and whether it was kept |
//! | `service` | the state machine: what is logged, sent and reported, in which order |
pub mod anti_entropy;
pub mod follower;
pub mod gather;
pub mod index;
pub mod members;
pub mod membership;
pub mod messages;
pub mod pack;
pub mod promise;
pub mod retained;
pub mod scope;
pub mod sequencer;
pub mod service;
