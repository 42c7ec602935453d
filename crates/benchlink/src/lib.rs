//! The bench's wire on one side, the harestage core on the other. Decides nothing.
pub mod frame;
pub mod host;
