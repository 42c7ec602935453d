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
