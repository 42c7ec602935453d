//! One router on sockets, by layer: `transport` (sockets), `routing` (the one owner
//! of the core), `program` (configuration, limits, start and end).
pub mod program;
pub mod routing;
pub mod transport;
