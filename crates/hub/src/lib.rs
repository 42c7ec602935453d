//! A hub: a cache of ours above the branches.
//!
//! `store` keeps copies, `desk` takes pulls in, fills what is missing once for all who wait, and holds to the shape;
//! neither knows a socket. `start` reads what operators set, `net` joins all to sockets.
pub mod desk;
pub mod net;
pub mod start;
pub mod store;
