//! Stand-ins on loopback for tests and rigs, written from the platform's protocol: an archive that slows down and
//! stops, edge caches, links that delay, go silent, reset and cut, and a caller. Threads and blocking sockets: there are
//! few of them, and they must share no fault with what they test.
mod archive;
mod edge;
mod front;
mod link;
mod script;
mod talk;

pub use archive::{Archive, ArchiveScript};
pub use edge::Edge;
pub use front::{Front, Machine};
pub use link::{Fault, Link};
pub use script::{Script, ScriptError};
pub use talk::{Caller, Reply, pull};
