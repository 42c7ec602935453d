//! A program's clock: the Unix time at its start, advanced by the monotonic clock. A `Moment` therefore never
//! jumps, and converting it to Unix milliseconds takes no more than a factor.
use harestage::time::Moment;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Offset in milliseconds that is added to the wall clock when a clock starts.
static OFFSET_MS: AtomicI64 = AtomicI64::new(0);

/// For tests: clocks that start from now on are off by `ms`. Nothing sets it in service.
pub fn set_offset(ms: i64) {
    OFFSET_MS.store(ms, Ordering::Relaxed);
}

/// A clock that reads the wall clock once, at its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix_micros: u64,
}

impl Clock {
    /// Starts the clock at the current Unix time.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let off = OFFSET_MS.load(Ordering::Relaxed).saturating_mul(1_000);
        Clock { started: Instant::now(), unix_micros: (unix.as_micros() as u64).saturating_add_signed(off) }
    }

    /// The current time.
    pub fn now(&self) -> Moment {
        Moment::at_micros(self.unix_micros + self.started.elapsed().as_micros() as u64)
    }

    /// The monotonic instant of a moment, for timers.
    pub fn instant(&self, at: Moment) -> Instant {
        self.started + Duration::from_micros(at.micros().saturating_sub(self.unix_micros))
    }
}

/// The moment of a time in Unix milliseconds.
pub fn moment_from_unix_ms(ms: u64) -> Moment {
    Moment::at_micros(ms.saturating_mul(1_000))
}
