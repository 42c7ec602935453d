//! Finds the leader of a group: goes to the member that another one named, and otherwise tries one after
//! another.
use std::net::SocketAddr;

/// Chooses the address to try next. There is always at least one.
#[derive(Clone, Debug)]
pub struct LeaderFinder {
    addresses: Vec<SocketAddr>,
    current: usize,
    /// Address that another member named as the leader's; tried once.
    redirect: Option<SocketAddr>,
    /// Tries since a leader was last found.
    tries: u32,
}

/// Longest wait between two tries, as a multiple of the shortest.
const MAX_BACKOFF_FACTOR: u32 = 4;
/// Rounds through all addresses at the shortest wait: a change of leader takes no longer than these.
const QUICK_ROUNDS: usize = 4;

impl LeaderFinder {
    /// `None` if the list is empty.
    pub fn from_addresses(addresses: Vec<SocketAddr>) -> Option<LeaderFinder> {
        (!addresses.is_empty()).then_some(LeaderFinder { addresses, current: 0, redirect: None, tries: 0 })
    }

    /// The address to try next.
    pub fn next_address(&self) -> SocketAddr {
        self.redirect.unwrap_or(self.addresses[self.current])
    }

    /// How long to wait before the next try, as a multiple of the shortest wait. After some rounds in vain it
    /// grows with each round: otherwise a whole fleet would keep its processors busy connecting while the
    /// service is down.
    pub fn backoff_factor(&self) -> u32 {
        let rounds = (self.tries as usize / self.addresses.len() + 1).saturating_sub(QUICK_ROUNDS);
        1u32.checked_shl(rounds as u32).unwrap_or(MAX_BACKOFF_FACTOR).min(MAX_BACKOFF_FACTOR)
    }

    /// The leader is at this address: the next try goes there first.
    pub fn on_leader(&mut self, at: SocketAddr) {
        self.tries = 0;
        if let Some(n) = self.addresses.iter().position(|address| *address == at) {
            self.current = n;
        }
    }

    /// The address did not answer, is not the leader, or closed the connection.
    pub fn on_failure(&mut self) {
        self.tries = self.tries.saturating_add(1);
        self.advance();
    }

    fn advance(&mut self) {
        if self.redirect.take().is_none() {
            self.current = (self.current + 1) % self.addresses.len();
        }
    }

    /// Another member named the leader's address. It is used only if it is in the list: a member that is
    /// wrong or malicious can't redirect clients to other addresses.
    pub fn on_redirect(&mut self, leader: Option<&str>) {
        self.advance();
        let named = leader.and_then(|text| text.parse().ok());
        self.redirect = named.filter(|named| self.addresses.contains(named));
    }
}
