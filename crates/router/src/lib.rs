//! One router process, in layers: `transport` (sockets), `routing` (owner of the decision core) and `program`
//! (configuration, limits, start and end).
pub mod program;
pub mod routing;
pub mod transport;
