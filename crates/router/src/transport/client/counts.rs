//! What happens at client connections, counted for the log.

/// What happened at client connections since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounts {
    /// Connections accepted.
    pub accepted: u64,
    /// Downloads passed on to the routing task.
    pub downloads: u64,
    /// Downloads refused because of a limit.
    pub throttled: u64,
    /// Requests discarded before they were whole.
    pub discarded: u64,
    /// Messages that could not be served.
    pub invalid: u64,
    /// Connections ended for malformed input.
    pub malformed: u64,
    /// Connections cut off.
    pub cut: u64,
    /// Downloads dropped as their clients had left.
    pub left: u64,
}
