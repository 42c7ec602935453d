//! Finding the member of a group that speaks: who is told where it is goes there, and otherwise tries one after another.
use std::net::SocketAddr;

/// Where to try next. There is always at least one place.
#[derive(Clone, Debug)]
pub struct Leader {
    places: Vec<SocketAddr>,
    at: usize,
    /// Told by another member; tried once.
    told: Option<SocketAddr>,
}

impl Leader {
    /// None: there is no place at all.
    pub fn among(places: Vec<SocketAddr>) -> Option<Leader> {
        (!places.is_empty()).then_some(Leader { places, at: 0, told: None })
    }

    pub fn next(&self) -> SocketAddr {
        self.told.unwrap_or(self.places[self.at])
    }

    /// Whoever is there speaks: the next try goes there first.
    pub fn found(&mut self, at: SocketAddr) {
        if let Some(n) = self.places.iter().position(|place| *place == at) {
            self.at = n;
        }
    }

    /// It was not there, or did not speak, or went away.
    pub fn missed(&mut self) {
        if self.told.take().is_none() {
            self.at = (self.at + 1) % self.places.len();
        }
    }

    /// A member says who speaks. Only places that were known before are gone to: a member that is wrong, or lies, leads
    /// nobody elsewhere.
    pub fn elsewhere(&mut self, serves: Option<&str>) {
        self.missed();
        let told = serves.and_then(|text| text.parse().ok());
        self.told = told.filter(|told| self.places.contains(told));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_places_are_tried_and_what_is_told_is_tried_first() {
        let place = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
        let mut leader = Leader::among(vec![place(1), place(2), place(3)]).unwrap();
        assert_eq!(leader.next(), place(1));
        leader.missed();
        assert_eq!(leader.next(), place(2));
        leader.elsewhere(Some("127.0.0.1:1"));
        assert_eq!(leader.next(), place(1));
        leader.missed();
        assert_eq!(leader.next(), place(3), "the round goes on where it was");
        leader.elsewhere(Some("127.0.0.1:9"));
        assert_eq!(leader.next(), place(1), "nobody is led to a place that was not known");
        leader.found(place(2));
        assert_eq!(leader.next(), place(2));
        assert!(Leader::among(Vec::new()).is_none());
    }
}
