//! One router on sockets, by layer: `transport` (sockets), `protocol` (messages), `routing` (the one owner
//! of the core), `program` (configuration, limits, start and end).
pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
