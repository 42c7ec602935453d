//! A branch's own feed. It stands at the branch, follows the control service and the service of purges, and tells the
//! branch's routers of both in the platform's form, over a line that no cut between sites touches. It was handed the plans
//! for its branch with each version, and carries them out where a site is lost and no service can be reached.
//!
//! [`board`] decides what routers are told, `ties` which hubs they may fill from, and [`caller`] what each of them has, without input or output; [`start`] is its
//! file; [`net`] joins them to sockets.
pub mod board;
pub mod caller;
pub mod net;
pub mod start;
mod ties;
