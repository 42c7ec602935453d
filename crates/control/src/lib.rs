//! The control service: `journal` keeps what it has told on disk, `feed` words versions for routers, `serve` joins the
//! state machine of `harestage_shape::control` to sockets. Nothing here decides.
pub mod feed;
pub mod journal;
pub mod serve;
