//! Copies of a hub that outlive it. [`index`] decides, without input or output, what is kept and what goes; [`disk`] has
//! bodies in files that only grow, and an index on the log of `harestage_segments`; [`record`] is that index's form.
//!
//! A body is synced before the index names it, and checked by its sum before it goes out: what a power loss tears is found at
//! the start or at the first look, and counts as not kept. A start reads the index, not the bodies.
pub mod disk;
pub mod index;
pub mod record;
