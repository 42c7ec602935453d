//! The size that everything is held against: the operators' fleet in two years.

pub const ROUTERS: usize = 700;
pub const SITES: usize = 48;
pub const CACHES: usize = 180;
pub const REGIONS: usize = 4;
pub const ZONES: usize = 10;
/// Hubs at a site.
pub const HUBS_A_SITE: usize = 4;
pub const HUBS: usize = SITES * HUBS_A_SITE;
/// Members of the service of purges: hubs, and a feed in front of each router.
pub const MEMBERS: usize = HUBS + ROUTERS;
/// Requests a second of one router at the peak.
pub const REQUESTS_A_ROUTER: u64 = 970;
pub const PURGES_A_SECOND: u64 = 12;
/// Purges that live: the service forgets them after an hour.
pub const LIVE_PURGES: u64 = PURGES_A_SECOND * 3_600;
/// Everywhere within as much, in milliseconds.
pub const PURGE_MS: f64 = 4_800.0;
pub const CHANGES_A_DAY: usize = 3_000;
pub const CHANGE_MS: f64 = 7_000.0;
/// What a router may spend on control: of a core, MB, and bytes a second.
pub const ROUTER_CORE: f64 = 0.035;
pub const ROUTER_MB: f64 = 256.0;
pub const ROUTER_BYTES: f64 = 4_096.0;

/// A part of the size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    pub sites: usize,
    pub routers: usize,
}

impl Part {
    /// One of so many equal parts; at least two sites.
    pub fn one_of(many: usize) -> Part {
        Part { sites: (SITES / many).max(2), routers: (ROUTERS / many).max(2) }
    }

    pub fn hubs(&self) -> usize {
        self.sites * HUBS_A_SITE
    }

    pub fn members(&self) -> usize {
        self.hubs() + self.routers
    }

    /// Names of all members of the service of purges, each with the number of its site.
    pub fn names(&self) -> Vec<(String, usize)> {
        let hubs = (0..self.hubs()).map(|n| (format!("hub-{n}"), n % self.sites));
        let feeds = (0..self.routers).map(|n| (format!("feed-{n}"), n % self.sites));
        hubs.chain(feeds).collect()
    }

    /// The region of a site; sites of one region stand beside each other.
    pub fn region(&self, site: usize) -> usize {
        site * REGIONS / self.sites.max(1)
    }

    /// The zone of a site.
    pub fn zone(&self, site: usize) -> usize {
        site * ZONES / self.sites.max(1)
    }
}
