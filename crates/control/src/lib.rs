//! The control service: `journal` keeps what it has told on disk, `serve` joins the state machine of `harestage_shape::control` to sockets. Nothing here decides.
pub mod journal;
pub mod serve;
