//! Counting of the memory that messages hold, from their first byte until their last holder drops them.
use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A count of bytes in use that its reservations share.
#[derive(Clone, Debug, Default)]
pub struct MemoryCounter(Arc<AtomicUsize>);

impl MemoryCounter {
    /// Bytes that all reservations hold.
    pub fn used(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts `bytes` until the reservation is dropped.
    pub fn reserve(&self, bytes: usize) -> Reservation {
        let mut reservation = Reservation { counter: self.clone(), bytes: 0 };
        reservation.resize(bytes);
        reservation
    }
}

/// Bytes that are counted as in use.
#[derive(Debug)]
pub struct Reservation {
    counter: MemoryCounter,
    bytes: usize,
}

impl Reservation {
    /// Bytes that it holds.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of bytes that it holds.
    pub fn resize(&mut self, bytes: usize) {
        self.counter.0.fetch_add(bytes, Ordering::Relaxed);
        self.counter.0.fetch_sub(std::mem::replace(&mut self.bytes, bytes), Ordering::Relaxed);
    }

    /// Ties the reservation to `data`: it ends with the last slice of it.
    pub fn attach(self, data: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(CountedData { data, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

struct CountedData<T> {
    data: T,
    _reservation: Reservation,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for CountedData<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}
