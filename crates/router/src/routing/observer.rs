//! What an installation that is audited attaches to a router: it hears what the router goes by and what became of downloads,
//! and may say that no further order goes out. The platform's router has none, and links nothing for it.
use harestage::state::ContentIndex;
use harestage::time::Moment;
use harestage_wire::feed::ServiceState;
use harestage_wire::peer::AuditMark;

/// What became of a download.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownloadOutcome {
    Fulfilled,
    Throttled,
    Abandoned,
    Left,
}

/// Whoever watches. Calls come from the routing task and from writers of connections, none of them waits.
pub trait Observer {
    /// Everything that was told before is taken in; from here on the router goes by this.
    fn on_service_state(&self, marks: &ServiceState, now: Moment);
    /// Whether an order may go out, by the clock as it is now: the process may have been stopped since its turn began.
    fn may_send(&self) -> bool;
    /// When whoever is turned away for that may come again, in milliseconds.
    fn retry_after_ms(&self) -> u64;
    /// `acted`: what [`Witness::acts_by`] said when its last pull went out; none: it had no pull.
    fn on_download_end(
        &self,
        content: ContentIndex,
        became: DownloadOutcome,
        id: u64,
        acted: Option<u64>,
        now: Moment,
    );
    /// A number for what the router goes by now.
    fn state_number(&self) -> u64;
    /// Nothing more will come: what is open is to be told before the router ends.
    fn on_shutdown(&self);
    /// A pull goes out to that node; none: nothing of the router is told to it.
    fn on_pull(&self, node: &str, now: Moment) -> Option<AuditMark>;
}
