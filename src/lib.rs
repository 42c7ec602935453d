//! The core of harestage: what a router decides, with no input or output of its own.
//!
//! `door` is the one way in; `brain` holds every decision behind it.
pub mod brain;
pub mod door;
pub mod ring;
pub mod state;
pub mod time;
