//! Finding the member of a group that speaks: who is told where it is goes there, and otherwise tries one after another.
use std::net::SocketAddr;

/// Where to try next. There is always at least one place.
#[derive(Clone, Debug)]
pub struct LeaderFinder {
    places: Vec<SocketAddr>,
    at: usize,
    /// Told by another member; tried once.
    told: Option<SocketAddr>,
    /// Tries since anyone spoke.
    tries: u32,
}

/// The longest that is waited between two tries, in terms of the shortest.
const LONGEST_WAIT: u32 = 4;
/// Rounds through all places at the shortest wait: a change of leader takes no longer.
const QUICK_ROUNDS: usize = 4;

impl LeaderFinder {
    /// None: there is no place at all.
    pub fn from_addresses(places: Vec<SocketAddr>) -> Option<LeaderFinder> {
        (!places.is_empty()).then_some(LeaderFinder { places, at: 0, told: None, tries: 0 })
    }

    pub fn next_address(&self) -> SocketAddr {
        self.told.unwrap_or(self.places[self.at])
    }

    /// How long to wait before the next try, in terms of the shortest wait: once every place was tried some times in vain,
    /// longer with each round. A fleet whose service is away would otherwise spend itself on calling.
    pub fn backoff_factor(&self) -> u32 {
        let rounds = (self.tries as usize / self.places.len() + 1).saturating_sub(QUICK_ROUNDS);
        1u32.checked_shl(rounds as u32).unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT)
    }

    /// Whoever is there speaks: the next try goes there first.
    pub fn on_leader(&mut self, at: SocketAddr) {
        self.tries = 0;
        if let Some(n) = self.places.iter().position(|place| *place == at) {
            self.at = n;
        }
    }

    /// It was not there, or did not speak, or went away.
    pub fn on_failure(&mut self) {
        self.tries = self.tries.saturating_add(1);
        self.go_on();
    }

    fn go_on(&mut self) {
        if self.told.take().is_none() {
            self.at = (self.at + 1) % self.places.len();
        }
    }

    /// A member says who speaks. Only places that were known before are gone to: a member that is wrong, or lies, leads
    /// nobody elsewhere.
    pub fn on_redirect(&mut self, serves: Option<&str>) {
        self.go_on();
        let told = serves.and_then(|text| text.parse().ok());
        self.told = told.filter(|told| self.places.contains(told));
    }
}
