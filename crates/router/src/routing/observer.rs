//! Interface for auditing a router: an observer sees which state the router acts on and how downloads end,
//! and can stop it from sending pulls. Only audited installations attach one; the platform's router has none
//! and links no code for it.
use harestage::state::ContentIndex;
use harestage::time::Moment;
use harestage_wire::feed::ServiceState;
use harestage_wire::peer::AuditMark;

/// How a download ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownloadOutcome {
    Fulfilled,
    Throttled,
    Abandoned,
    Left,
}

/// Watches a router. Calls come from the routing task and from connection writers; they must not block.
pub trait Observer {
    /// All events before this state are processed; from now on the router acts on it.
    fn on_service_state(&self, state: &ServiceState, now: Moment);
    /// Whether a pull may be sent, by the current clock: the process may have been stopped since its step
    /// began.
    fn may_send(&self) -> bool;
    /// The delay in milliseconds after which a client that is refused for that reason may retry.
    fn retry_after_ms(&self) -> u64;
    /// A download ended. `state_number` is the [`Observer::state_number`] at its last pull; `None` if it had no
    /// pull.
    fn on_download_end(
        &self,
        content: ContentIndex,
        outcome: DownloadOutcome,
        id: u64,
        state_number: Option<u64>,
        now: Moment,
    );
    /// A number for the state that the router acts on now.
    fn state_number(&self) -> u64;
    /// The router is about to end: pending reports have to be sent now.
    fn on_shutdown(&self);
    /// A pull is sent to this node. Returns the audit mark to send with it, if the node is to get one.
    fn on_pull(&self, node: &str, now: Moment) -> Option<AuditMark>;
}
