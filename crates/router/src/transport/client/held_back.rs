//! Downloads of one client that are not passed on before everything that has arrived behind them is read, since
//! the client's close may be there. Nothing must be begun for a client that has left.
use harestage::time::Moment;
use harestage_wire::client::DownloadRequest;
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

/// How long downloads are held back at the most.
const MAX_TIME: Duration = Duration::from_millis(50);

/// Bytes read without a wait that may have filled the receive window: the client's machine may have had to keep
/// the rest, its close included.
const FULL_WINDOW_BYTES: usize = 64 << 10;

/// How long the rest takes to come once there is room.
pub const WINDOW_REFILL_TIME: Duration = Duration::from_millis(5);

/// A download that is held back.
pub struct Download {
    pub tag: u64,
    pub request: DownloadRequest,
    /// When it was read.
    pub at: Moment,
}

/// The downloads that are held back, and how much was read since the last wait.
#[derive(Default)]
pub struct HeldBack {
    downloads: RefCell<Vec<Download>>,
    since: Cell<Option<Instant>>,
    burst_bytes: Cell<usize>,
}

impl HeldBack {
    /// Holds a download back.
    pub fn add(&self, download: Download) {
        self.since.set(self.since.get().or_else(|| Some(Instant::now())));
        self.downloads.borrow_mut().push(download);
    }

    /// Drops a download that its client has cancelled.
    pub fn cancel(&self, tag: u64) {
        self.downloads.borrow_mut().retain(|download| download.tag != tag);
    }

    /// Notes that so many bytes were read.
    pub fn note_read(&self, bytes: usize) {
        self.burst_bytes.set(self.burst_bytes.get() + bytes);
    }

    /// Whether the first one has been held back for long enough.
    pub fn is_overdue(&self) -> bool {
        self.since.get().is_some_and(|since| since.elapsed() > MAX_TIME)
    }

    /// Whether more may be on its way though nothing is left to read.
    pub fn awaits_rest(&self) -> bool {
        !self.is_overdue() && self.since.get().is_some() && self.burst_bytes.get() >= FULL_WINDOW_BYTES
    }

    /// Takes all downloads, to be passed on.
    pub fn take(&self) -> Vec<Download> {
        self.since.set(None);
        self.burst_bytes.set(0);
        self.downloads.take()
    }
}
