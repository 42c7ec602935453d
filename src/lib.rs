//! The core of harestage: what a router decides, with no input or output of its own.
//!
//! `interface` is the one way in; `policy` holds every decision behind it.
pub mod interface;
pub mod policy;
pub mod state;
pub mod time;
pub mod window;
