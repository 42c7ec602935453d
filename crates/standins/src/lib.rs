//! Stand-ins on loopback for tests and rigs, written from the platform's protocol: an archive that slows down and
//! stops, edge caches, links that delay, go silent, reset and cut, and a caller. Threads and blocking sockets: there are
//! few of them, and they must share no fault with what they test.
mod archive;
mod crowd;
mod edge;
mod front;
mod liar;
mod link;
mod script;
pub mod soak;
mod talk;

pub use archive::{Archive, ArchiveScript};
pub use crowd::{CrowdPlace, until_ready};
pub use edge::Edge;
pub use front::{Front, Machine};
pub use liar::LiarPlace;
pub use link::{Fault, Link};
pub use script::{Script, ScriptError};
pub use talk::{Caller, Reply, pull};

/// A line for whoever gathers what stand-ins say: a JSON object with the text under `msg`, as the program's logs have it.
pub(crate) fn say(what: &str, mut fields: serde_json::Value) {
    use std::io::Write;
    fields["msg"] = what.into();
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{fields}").and_then(|()| out.flush());
}
