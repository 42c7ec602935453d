//! One read buffer for each thread that passes from decoder to decoder, as mostly one of them reads at a time.
use std::cell::Cell;

thread_local! {
    static SPARE: Cell<Vec<u8>> = const { Cell::new(Vec::new()) };
}

/// A buffer of this size with any content.
pub fn take(size: usize) -> Vec<u8> {
    let spare = SPARE.take();
    if spare.len() == size { spare } else { vec![0; size] }
}

/// Keeps a buffer for the next decoder.
pub fn put_back(buffer: Vec<u8>) {
    SPARE.set(buffer);
}
