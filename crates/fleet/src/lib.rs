//! The rig of all tests and drills that need many processes: it starts the program's own binary many times over from one
//! scenario, carries every connection between two of them over links that can fail, brings faults about on a timetable or
//! when something was said, and keeps what all of them say in one timeline under one clock.
//!
//! What decides stands apart from what does: `scenario` (what may be played), `conditions` (what a way does to bytes),
//! `timetable` (which fault is due), `verdict` (what was to be expected) know no process and no socket.
pub mod conditions;
pub mod disk;
pub mod links;
pub mod mind;
pub mod places;
pub mod play;
pub mod process;
pub mod scenario;
pub mod timeline;
pub mod timetable;
pub mod verdict;
pub mod whose;

pub use play::Fleet;
pub use scenario::Scenario;
