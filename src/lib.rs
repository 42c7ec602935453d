//! The decision module of harestage: what a router decides, with no input or output of its own.
//!
//! `interface` holds the events and actions, `policy` every decision, `state` the data that they work on.
pub mod interface;
pub mod policy;
pub mod state;
pub mod time;
pub mod window;
