//! The topology of the cache hierarchy above the branches, and how it changes in service.
//!
//! A *shape* is a versioned topology: the archive, the hubs, the branches, and the upstream links between
//! them. Each change publishes a new version with its own number.
//!
//! Nothing here does input or output. The time is passed in as `Moment`s, no randomness is used, and whatever
//! has to be sent is returned as data. docs/shape.md explains the design.
//!
//! | module | decides |
//! | --- | --- |
//! | `config` | what a shape file may contain |
//! | `topology` | numbered versions of a shape, and which of them are still in use |
//! | `validation` | whether a version is accepted, as a whole or not at all |
//! | `route` | where a hub fills an object from |
//! | `wait_cycles` | which fills wait for each other in a cycle, and which hub breaks it |
//! | `fetch_rights` | which hub may fetch an object from the archive |
//! | `archive_share` | how many fetches each hub may send to the archive |
//! | `plan` | the steps from one version to another |
//! | `rollout` | when a step is published, held back or reverted |
//! | `control` | what the control service sends to whom, and what it writes to its journal first |
//! | `feed` | nothing: it encodes a version for the routers of a branch |
//! | `messages` | nothing: it defines the messages between the service, its members and operators |
pub mod archive_share;
pub mod config;
pub mod control;
pub mod feed;
pub mod fetch_rights;
pub mod messages;
pub mod plan;
pub mod rollout;
pub mod route;
pub mod topology;
pub mod validation;
pub mod wait_cycles;
