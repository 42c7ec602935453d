//! Where a hub fills an object from. All hubs on the same version come to the same result.
use crate::topology::{ARCHIVE, NodeIndex, Shape};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The next node on the path of an object.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NextHop {
    /// Another hub.
    Hub(NodeIndex),
    /// This hub is the preferred hub of the object, and fetches it for all others.
    Archive,
}

/// Rendezvous hashing: every hub computes the same order, and a node that is added or removed moves only its
/// own objects.
fn weight(shape: &Shape, node: NodeIndex, object: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (shape.name(node), object).hash(&mut hasher);
    hasher.finish()
}

/// The candidate with the highest weight for this object.
pub fn highest_weight(
    shape: &Shape,
    candidates: impl Iterator<Item = NodeIndex>,
    object: u64,
) -> Option<NodeIndex> {
    candidates.max_by_key(|node| (weight(shape, *node, object), std::cmp::Reverse(*node)))
}

/// The hub where all fills of an object meet: one of the top hubs.
pub fn preferred_hub(shape: &Shape, object: u64) -> Option<NodeIndex> {
    highest_weight(shape, shape.top_hubs().iter().copied(), object)
}

/// Where `local` fills `object` from, leaving out the nodes in `excluded`. `None` if there is no path left.
///
/// A hub below the top asks one of its upstreams, chosen by the object. A top hub asks the object's preferred
/// hub, and only the preferred hub asks the archive. If all upstreams are excluded, the preferred hub is
/// asked directly, and the archive as the last resort: a longer path is better for a branch than none.
pub fn next_hop(shape: &Shape, local: NodeIndex, object: u64, excluded: &[NodeIndex]) -> Option<NextHop> {
    let usable = |node: &NodeIndex| *node != local && !excluded.contains(node);
    let upstreams = shape.upstreams(local);
    if !upstreams.contains(&ARCHIVE) {
        let upstream = highest_weight(shape, upstreams.iter().copied().filter(usable), object);
        if let Some(upstream) = upstream {
            return Some(NextHop::Hub(upstream));
        }
    }
    // The local hub may be excluded too: one that waited for itself in a cycle must not become its own
    // preferred hub again.
    let candidates = shape.top_hubs().iter().copied().filter(|node| !excluded.contains(node));
    match highest_weight(shape, candidates, object) {
        Some(preferred) if preferred != local => Some(NextHop::Hub(preferred)),
        _ if excluded.contains(&ARCHIVE) => None,
        _ => Some(NextHop::Archive),
    }
}
