//! The log goes to standard error through a bounded queue: lines past it are dropped and counted, so that a
//! slow reader of the log never holds up serving.
use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use slog_term::{FullFormat, PlainDecorator};

/// The guard writes out what is queued when it is dropped.
pub fn open(name: &str, lines: usize) -> (Logger, AsyncGuard) {
    let format = FullFormat::new(PlainDecorator::new(std::io::stderr())).build().fuse();
    let queue = Async::new(format).chan_size(lines).overflow_strategy(OverflowStrategy::DropAndReport);
    let (drain, guard) = queue.build_with_guard();
    (Logger::root(drain.fuse(), o!("router" => name.to_string())), guard)
}
