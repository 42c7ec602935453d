//! A version of the shape: numbered, immutable, cheap to derive the next from, since all versions share what they
//! have in common.
use crate::check::{self, Complaint};
use crate::form::{ArchiveForm, BranchForm, HubForm, LinkForm, ShapeForm};
use harestage::time::{Moment, Span};
use imbl::OrdMap;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Index of a place, the same in all versions that were derived from one another.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub struct PlaceIx(pub u32);

/// The archive has the first index in every version.
pub const ARCHIVE: PlaceIx = PlaceIx(0);

#[derive(Clone, PartialEq, Debug)]
pub enum Place {
    Archive(ArchiveForm),
    Hub(HubForm),
    Branch(BranchForm),
}

impl Place {
    pub fn name(&self) -> &str {
        match self {
            Place::Archive(archive) => &archive.name,
            Place::Hub(hub) => &hub.name,
            Place::Branch(branch) => &branch.name,
        }
    }

    pub fn hub(&self) -> Option<&HubForm> {
        if let Place::Hub(hub) = self { Some(hub) } else { None }
    }
}

pub type Ties = Arc<[PlaceIx]>;

/// One version of who is tied to whom.
#[derive(Clone, Debug)]
pub struct Shape {
    version: u64,
    places: OrdMap<PlaceIx, Arc<Place>>,
    ties: OrdMap<PlaceIx, Ties>,
    names: OrdMap<Arc<str>, PlaceIx>,
    /// Hubs that fetch from the archive, by their indices.
    tops: Arc<[PlaceIx]>,
    links: Arc<[LinkForm]>,
    next: u32,
}

impl Shape {
    /// Builds a version from its form. Complaints are about names only; whether the whole holds is
    /// [`check::check`]'s to say.
    pub fn of(form: &ShapeForm) -> Result<Shape, Vec<Complaint>> {
        let mut shape = Shape {
            version: form.version,
            places: OrdMap::new(),
            ties: OrdMap::new(),
            names: OrdMap::new(),
            tops: Arc::from([]),
            links: form.links.as_slice().into(),
            next: 0,
        };
        let mut wrong = Vec::new();
        let places = std::iter::once(Place::Archive(form.archive.clone()))
            .chain(form.hubs.iter().cloned().map(Place::Hub))
            .chain(form.branches.iter().cloned().map(Place::Branch));
        places.for_each(|place| wrong.extend(shape.settle(place).err()));
        let hubs = form.hubs.iter().map(|hub| (&hub.name, &hub.up));
        let branches = form.branches.iter().map(|branch| (&branch.name, &branch.hubs));
        for (name, ties) in hubs.chain(branches) {
            match shape.resolve(name, ties) {
                Ok((place, ties)) => drop(shape.ties.insert(place, ties)),
                Err(complaints) => wrong.extend(complaints),
            }
        }
        shape.find_tops();
        if wrong.is_empty() { Ok(shape) } else { Err(wrong) }
    }

    fn settle(&mut self, place: Place) -> Result<PlaceIx, Complaint> {
        let name: Arc<str> = place.name().into();
        if self.names.contains_key(&name) {
            return Err(Complaint::Doubled { place: name.to_string() });
        }
        let at = PlaceIx(self.next);
        self.next += 1;
        self.names.insert(name, at);
        self.places.insert(at, Arc::new(place));
        Ok(at)
    }

    fn resolve(&self, name: &str, to: &[String]) -> Result<(PlaceIx, Ties), Vec<Complaint>> {
        let place = self.names.get(name).copied().unwrap_or(ARCHIVE);
        let (mut ties, mut wrong) = (Vec::with_capacity(to.len()), Vec::new());
        for tie in to {
            let (place_name, tie_name) = (name.to_string(), tie.clone());
            match self.names.get(tie.as_str()) {
                None => wrong.push(Complaint::Unknown { place: place_name, tie: tie_name }),
                Some(at) if ties.contains(at) => {
                    wrong.push(Complaint::DoubledTie { place: place_name, tie: tie_name })
                }
                Some(at) if matches!(*self.places[at], Place::Branch(_)) => {
                    wrong.push(Complaint::ToBranch { place: place_name, tie: tie_name })
                }
                Some(at) => ties.push(*at),
            }
        }
        if wrong.is_empty() { Ok((place, ties.into())) } else { Err(wrong) }
    }

    fn find_tops(&mut self) {
        let to_archive = |(place, ties): (&PlaceIx, &Ties)| {
            let hub = matches!(*self.places[place], Place::Hub(_));
            (hub && ties.contains(&ARCHIVE)).then_some(*place)
        };
        self.tops = self.ties.iter().filter_map(to_archive).collect();
    }

    /// The next version, in which some places have other ties. Costs what differs, not what stays.
    pub fn with_ties<'a>(
        &self,
        version: u64,
        moves: impl IntoIterator<Item = (PlaceIx, &'a [PlaceIx])>,
    ) -> Shape {
        let mut next = Shape { version, ..self.clone() };
        for (place, ties) in moves {
            next.ties.insert(place, ties.into());
            if let Some(moved) = next.places.get(&place).map(|p| next.renamed(p, ties)) {
                next.places.insert(place, Arc::new(moved));
            }
        }
        next.find_tops();
        next
    }

    /// The place with its ties written out, so that a version can be handed out as it is.
    fn renamed(&self, place: &Place, ties: &[PlaceIx]) -> Place {
        let names = || ties.iter().map(|tie| self.name(*tie).to_string()).collect();
        match place {
            Place::Hub(hub) => Place::Hub(HubForm { up: names(), ..hub.clone() }),
            Place::Branch(branch) => Place::Branch(BranchForm { hubs: names(), ..branch.clone() }),
            Place::Archive(archive) => Place::Archive(archive.clone()),
        }
    }

    /// This version with all places of `form` that it lacks, tied to nothing yet, and the figures of those it has.
    pub fn widened(&self, version: u64, form: &ShapeForm) -> Shape {
        let mut wide = Shape { version, links: form.links.as_slice().into(), ..self.clone() };
        let hubs = form.hubs.iter().cloned().map(|hub| Place::Hub(HubForm { up: Vec::new(), ..hub }));
        let branches = form.branches.iter().cloned();
        let branches = branches.map(|b| Place::Branch(BranchForm { hubs: Vec::new(), ..b }));
        // It may have another name now, and is the same place all the same.
        wide.names.remove(self.archive().name.as_str());
        wide.names.insert(form.archive.name.as_str().into(), ARCHIVE);
        wide.places.insert(ARCHIVE, Arc::new(Place::Archive(form.archive.clone())));
        for place in hubs.chain(branches) {
            match wide.names.get(place.name()).copied() {
                Some(at) => {
                    let ties = wide.ties(at).to_vec();
                    let place = wide.renamed(&place, &ties);
                    wide.places.insert(at, Arc::new(place));
                }
                None => {
                    if let Ok(at) = wide.settle(place) {
                        wide.ties.insert(at, Arc::from([]));
                    }
                }
            }
        }
        wide
    }

    /// This version without the places that `form` does not name.
    pub fn narrowed(&self, version: u64, form: &ShapeForm) -> Shape {
        let named: std::collections::HashSet<&str> = std::iter::once(form.archive.name.as_str())
            .chain(form.hubs.iter().map(|h| h.name.as_str()))
            .chain(form.branches.iter().map(|b| b.name.as_str()))
            .collect();
        let mut narrow = Shape { version, ..self.clone() };
        for (at, place) in &self.places {
            if !named.contains(place.name()) {
                narrow.places.remove(at);
                narrow.ties.remove(at);
                narrow.names.remove(place.name());
            }
        }
        narrow.find_tops();
        narrow
    }

    /// The version that a form says, its places under the indices that they have here.
    pub fn followed_by(&self, form: &ShapeForm) -> Result<Shape, Vec<Complaint>> {
        let said = Shape::of(form)?;
        let wide = self.widened(form.version, form);
        let here = |at: &PlaceIx| wide.find(said.name(*at)).unwrap_or(ARCHIVE);
        let ties =
            said.places().map(|(at, _)| (here(&at), said.ties(at).iter().map(here).collect::<Vec<_>>()));
        let ties: Vec<_> = ties.filter(|(at, ties)| wide.ties(*at) != ties.as_slice()).collect();
        let moved = wide.with_ties(form.version, ties.iter().map(|(at, ties)| (*at, ties.as_slice())));
        Ok(moved.narrowed(form.version, form))
    }

    pub fn form(&self) -> ShapeForm {
        let (mut hubs, mut branches) = (Vec::new(), Vec::new());
        for place in self.places.values() {
            match place.as_ref() {
                Place::Hub(hub) => hubs.push(hub.clone()),
                Place::Branch(branch) => branches.push(branch.clone()),
                Place::Archive(_) => {}
            }
        }
        let links = self.links.to_vec();
        ShapeForm { version: self.version, archive: self.archive().clone(), hubs, branches, links }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn archive(&self) -> &ArchiveForm {
        match self.places[&ARCHIVE].as_ref() {
            Place::Archive(archive) => archive,
            _ => unreachable!("the archive is entered first"),
        }
    }

    pub fn place(&self, at: PlaceIx) -> Option<&Place> {
        self.places.get(&at).map(Arc::as_ref)
    }

    pub fn name(&self, at: PlaceIx) -> &str {
        self.place(at).map_or("", Place::name)
    }

    pub fn find(&self, name: &str) -> Option<PlaceIx> {
        self.names.get(name).copied()
    }

    pub fn places(&self) -> impl Iterator<Item = (PlaceIx, &Place)> {
        self.places.iter().map(|(at, place)| (*at, place.as_ref()))
    }

    pub fn hubs(&self) -> impl Iterator<Item = (PlaceIx, &HubForm)> {
        self.places().filter_map(|(at, place)| place.hub().map(|hub| (at, hub)))
    }

    /// Two sites, and the fills a second that the link between them carries.
    pub fn links(&self) -> impl Iterator<Item = (&str, &str, f64)> {
        self.links.iter().map(|link| (link.between[0].as_str(), link.between[1].as_str(), link.fills))
    }

    /// The sites that hubs are at, each once.
    pub fn sites(&self) -> std::collections::BTreeSet<&str> {
        self.hubs().map(|(_, hub)| hub.site.as_str()).filter(|site| !site.is_empty()).collect()
    }

    pub fn ties(&self, at: PlaceIx) -> &[PlaceIx] {
        self.ties.get(&at).map_or(&[], |ties| ties)
    }

    /// Hubs that are tied to the archive: each object has its home at one of them.
    pub fn tops(&self) -> &[PlaceIx] {
        &self.tops
    }

    /// Fills a second that a hub may be asked for at this time without being pushed over, before any margin.
    pub fn allowance(&self, at: PlaceIx, now: Moment) -> f64 {
        let Some(hub) = self.place(at).and_then(Place::hub) else { return f64::INFINITY };
        let started = Moment::at_micros(hub.since_ms.saturating_mul(1_000));
        let age = if hub.since_ms == 0 { Span::millis(hub.cold_ms) } else { now.since(started) };
        hub.capacity * warmth(hub, age) * hub.falls_at
    }
}

/// Part of its capacity that a hub of this age has, from 0 to 1.
pub fn warmth(hub: &HubForm, age: Span) -> f64 {
    let part = age / Span::millis(hub.cold_ms);
    (hub.cold_from + (1.0 - hub.cold_from) * part).min(1.0)
}

/// A shape that is whole and holds, or why it does not.
pub fn take(form: &ShapeForm) -> Result<Shape, Vec<Complaint>> {
    let shape = Shape::of(form)?;
    check::check(&shape).map(|_| shape)
}

/// Versions that are kept at most, whatever still uses them: past it the oldest goes, and what used it goes on by
/// the newest.
const MOST_ALIVE: usize = 16;

/// All versions in use: a download keeps to the one that it began with.
#[derive(Default)]
pub struct Versions {
    alive: BTreeMap<u64, Alive>,
    /// The last shapes with each other set of hubs at the top, and until when they were in force: by them it is known
    /// who was home before. A change of many steps moves homes with few of them.
    former: VecDeque<(Moment, Shape)>,
}

struct Alive {
    shape: Shape,
    users: usize,
    since: Moment,
}

/// Sets of hubs at the top that are remembered.
const MOST_FORMER: usize = 8;

impl Versions {
    /// Takes a version in. False: it is not newer than what is known, told twice or out of order.
    pub fn enter(&mut self, shape: Shape, now: Moment) -> bool {
        if self.alive.last_key_value().is_some_and(|(last, _)| *last >= shape.version) {
            return false;
        }
        if let Some((_, last)) = self.alive.last_key_value().filter(|(_, last)| last.shape.tops != shape.tops)
        {
            self.former.push_front((now, last.shape.clone()));
            self.former.truncate(MOST_FORMER);
        }
        self.alive.insert(shape.version, Alive { shape, users: 0, since: now });
        self.tidy();
        true
    }

    fn tidy(&mut self) {
        let last = self.alive.last_key_value().map_or(0, |(last, _)| *last);
        self.alive.retain(|version, alive| *version == last || alive.users > 0);
        while self.alive.len() > MOST_ALIVE {
            self.alive.pop_first();
        }
    }

    pub fn newest(&self) -> Option<&Shape> {
        self.alive.last_key_value().map(|(_, alive)| &alive.shape)
    }

    pub fn newest_since(&self) -> Option<Moment> {
        self.alive.last_key_value().map(|(_, alive)| alive.since)
    }

    /// Shapes that were in force within `span`, each with another set of hubs at the top than the next; newest first.
    pub fn lately(&self, now: Moment, span: Span) -> impl Iterator<Item = &Shape> {
        self.former.iter().filter(move |(until, _)| now.since(*until) < span).map(|(_, shape)| shape)
    }

    /// The version asked for, or the newest where that is no longer kept.
    pub fn get(&self, version: u64) -> Option<&Shape> {
        self.alive.get(&version).map(|alive| &alive.shape).or(self.newest())
    }

    /// A download begins: it is told the version that it keeps to.
    pub fn pin(&mut self) -> Option<u64> {
        let mut newest = self.alive.last_entry()?;
        newest.get_mut().users += 1;
        Some(*newest.key())
    }

    pub fn unpin(&mut self, version: u64) {
        if let Some(alive) = self.alive.get_mut(&version) {
            alive.users = alive.users.saturating_sub(1);
        }
        self.tidy();
    }

    /// All that are kept, newest first.
    pub fn all(&self) -> impl Iterator<Item = &Shape> {
        let alive = self.alive.values().rev().map(|alive| &alive.shape);
        alive.chain(self.former.iter().map(|(_, shape)| shape))
    }

    pub fn alive(&self) -> usize {
        self.alive.len()
    }
}
