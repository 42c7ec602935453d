//! A program's clock: Unix time as it was at the start, carried on by the monotonic clock, so that a
//! `Moment` never jumps and the protocol's Unix milliseconds need no more than a factor.
use harestage::time::Moment;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How far this process is made to believe that the wall clock stands elsewhere, in milliseconds.
static OFFSET_MS: AtomicI64 = AtomicI64::new(0);

/// For rigs: clocks that start from now on are off by as much. Nothing sets it in service.
pub fn set_offset(ms: i64) {
    OFFSET_MS.store(ms, Ordering::Relaxed);
}

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix_micros: u64,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let off = OFFSET_MS.load(Ordering::Relaxed).saturating_mul(1_000);
        Clock { started: Instant::now(), unix_micros: (unix.as_micros() as u64).saturating_add_signed(off) }
    }

    pub fn now(&self) -> Moment {
        Moment::at_micros(self.unix_micros + self.started.elapsed().as_micros() as u64)
    }

    pub fn instant(&self, at: Moment) -> Instant {
        self.started + Duration::from_micros(at.micros().saturating_sub(self.unix_micros))
    }
}

pub fn moment_from_unix_ms(ms: u64) -> Moment {
    Moment::at_micros(ms.saturating_mul(1_000))
}
