//! Connects the decision module to the simulator: translates between the simulator's protocol and the module's events
//! and actions. Decides nothing.
pub mod frame;
pub mod host;
