//! The hierarchy above the branches, and how its shape changes in service.
//!
//! Nothing here does input or output: time is handed in as `Moment`s, chance is not used at all, and whatever is
//! to be sent comes back as data. docs/shape.md argues for the ways taken.
//!
//! | module | decides |
//! | --- | --- |
//! | `form` | what a shape file may say |
//! | `tree` | numbered versions of a shape, and which of them are still in use |
//! | `check` | whether a version is taken, whole or not at all |
//! | `route` | where a hub fills an object from |
//! | `knots` | which fills wait for each other in a circle, and who breaks it |
//! | `shield` | who may fetch an object from the archive |
//! | `parts` | how much each hub may ask of the archive |
//! | `plan` | the steps from one version to another |
//! | `run` | when a step goes out, is held, or is undone, and by whom |
//! | `feed` | nothing: how a version is worded for a branch's routers |
//! | `lines` | nothing: what is written between service, members and operators |
//! | `control` | what the service tells whom, and what it writes down first |
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
