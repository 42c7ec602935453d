//! A soak of one router: clients and caches that behave well and badly by a seed, and a record of what became of
//! every request.
mod cache;
mod client;
mod record;

pub use cache::serve_cache;
pub use client::{ClientPlan, run_client, send_partly};
pub use record::Record;

/// Chances that follow from a seed.
pub struct Chances(u64);

impl Chances {
    /// The same seed gives the same chances.
    pub fn new(seed: u64) -> Chances {
        Chances(seed)
    }

    /// The next number below `end`, by splitmix64.
    pub fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % end
    }

    /// Whether something happens that happens `percent` times in a hundred.
    pub fn happens(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
