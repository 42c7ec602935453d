//! Purges of a whole fleet.
//!
//! Nothing here does input or output: time is handed in, what is to be done comes back as data. docs/purge.md argues
//! for the ways taken.
//!
//! | module | decides |
//! | --- | --- |
//! | `scope` | what a purge covers, and which ones are refused |
//! | `order` | the one order of purges: numbers, terms, keys of repeats |
//! | `follow` | what a member makes of what it is told |
//! | `gather` | what a site's gatherer says for all below it, and whom it tells what |
//! | `kept` | which items are kept, and what of them a member lacks |
//! | `roster` | nothing: a roster as one number |
//! | `index` | from when a copy of an object must be |
//! | `lines` | nothing: what is written between service, members and clients |
//! | `pack` | nothing: many purges in few bytes |
//! | `ranges` | from which number on two differ who each hold purges |
//! | `members` | who has what, who is fenced, and how much one that comes back is asked |
//! | `promise` | which delay is promised, and what became of it |
//! | `service` | what is written down, told and reported, in which order |
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
