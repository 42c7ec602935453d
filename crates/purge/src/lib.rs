//! Purges of a whole fleet.
//!
//! Nothing here does input or output: time is handed in, what is to be done comes back as data. docs/purge.md argues
//! for the ways taken.
//!
//! | module | decides |
//! | --- | --- |
//! | `scope` | what a purge covers, and which ones are refused |
//! | `order` | the one order of purges: numbers, terms, keys of repeats |
//! | `index` | from when a copy of an object must be |
//! | `members` | who has what, who is fenced, and how much one that comes back is asked |
//! | `promise` | which delay is promised, and what became of it |
pub mod index;
pub mod members;
pub mod order;
pub mod promise;
pub mod scope;
