//! The disk store of a hub: copies that survive a restart. [`index`] decides which copies are kept and which are evicted, and
//! does no I/O. [`disk`] stores bodies in append-only files and the index in a log of `harestage_segments`. [`record`] is
//! the format of the records in that log, and [`queue`] what waits for the thread that owns the store.
//!
//! A body is synced before the index refers to it, and verified by its checksum before it is served. A copy that a power loss
//! has torn is therefore found at startup or at its first read, and counts as missing. A start reads the index, not the
//! bodies.
pub mod disk;
pub mod index;
pub mod queue;
pub mod record;
