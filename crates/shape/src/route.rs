//! Where a hub fills an object from. Every hub that knows the same version comes to the same answer.
use crate::tree::{ARCHIVE, PlaceIx, Shape};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The next place on the way of an object.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Next {
    Hub(PlaceIx),
    /// This hub is the object's home: it fetches for all.
    Archive,
}

/// Rendezvous hashing: the same order at every hub, and a place that comes or goes moves only its own objects.
fn weight(shape: &Shape, place: PlaceIx, object: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (shape.name(place), object).hash(&mut hasher);
    hasher.finish()
}

/// The first of these in the object's own order.
pub fn first(shape: &Shape, among: impl Iterator<Item = PlaceIx>, object: u64) -> Option<PlaceIx> {
    among.max_by_key(|place| (weight(shape, *place, object), std::cmp::Reverse(*place)))
}

/// The hub at which all fills of an object meet: one of those that are tied to the archive.
pub fn home(shape: &Shape, object: u64) -> Option<PlaceIx> {
    first(shape, shape.tops().iter().copied(), object)
}

/// Where `me` fills `object` from, passing by the places of `avoid`. None: there is no way left but to give up.
///
/// A hub below the top asks one of its ties, each object its own; a hub at the top asks the object's home, and only
/// the home asks the archive. Where all ties are to be avoided, the home is asked straight away, and at last the
/// archive: a branch whose way is cut is better served by a longer one than by none.
pub fn next(shape: &Shape, me: PlaceIx, object: u64, avoid: &[PlaceIx]) -> Option<Next> {
    let open = |place: &PlaceIx| *place != me && !avoid.contains(place);
    let ties = shape.ties(me);
    if !ties.contains(&ARCHIVE) {
        let tie = first(shape, ties.iter().copied().filter(open), object);
        if let Some(tie) = tie {
            return Some(Next::Hub(tie));
        }
    }
    // Itself may be avoided too: who was found waiting for itself must not be its own home again.
    let candidates = shape.tops().iter().copied().filter(|place| !avoid.contains(place));
    match first(shape, candidates, object) {
        Some(home) if home != me => Some(Next::Hub(home)),
        _ if avoid.contains(&ARCHIVE) => None,
        _ => Some(Next::Archive),
    }
}
