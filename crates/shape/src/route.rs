//! Where a hub fills an object from. Every hub that knows the same version comes to the same answer.
use crate::topology::{ARCHIVE, NodeIndex, Shape};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The next place on the way of an object.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NextHop {
    Hub(NodeIndex),
    /// This hub is the object's home: it fetches for all.
    Archive,
}

/// Rendezvous hashing: the same order at every hub, and a place that comes or goes moves only its own objects.
fn weight(shape: &Shape, place: NodeIndex, object: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (shape.name(place), object).hash(&mut hasher);
    hasher.finish()
}

/// The first of these in the object's own order.
pub fn highest_weight(
    shape: &Shape,
    among: impl Iterator<Item = NodeIndex>,
    object: u64,
) -> Option<NodeIndex> {
    among.max_by_key(|place| (weight(shape, *place, object), std::cmp::Reverse(*place)))
}

/// The hub at which all fills of an object meet: one of those that are tied to the archive.
pub fn preferred_hub(shape: &Shape, object: u64) -> Option<NodeIndex> {
    highest_weight(shape, shape.top_hubs().iter().copied(), object)
}

/// Where `me` fills `object` from, passing by the places of `avoid`. None: there is no way left but to give up.
///
/// A hub below the top asks one of its ties, each object its own; a hub at the top asks the object's home, and only
/// the home asks the archive. Where all ties are to be avoided, the home is asked straight away, and at last the
/// archive: a branch whose way is cut is better served by a longer one than by none.
pub fn next_hop(shape: &Shape, me: NodeIndex, object: u64, avoid: &[NodeIndex]) -> Option<NextHop> {
    let open = |place: &NodeIndex| *place != me && !avoid.contains(place);
    let ties = shape.upstreams(me);
    if !ties.contains(&ARCHIVE) {
        let tie = highest_weight(shape, ties.iter().copied().filter(open), object);
        if let Some(tie) = tie {
            return Some(NextHop::Hub(tie));
        }
    }
    // Itself may be avoided too: who was found waiting for itself must not be its own home again.
    let candidates = shape.top_hubs().iter().copied().filter(|place| !avoid.contains(place));
    match highest_weight(shape, candidates, object) {
        Some(home) if home != me => Some(NextHop::Hub(home)),
        _ if avoid.contains(&ARCHIVE) => None,
        _ => Some(NextHop::Archive),
    }
}
