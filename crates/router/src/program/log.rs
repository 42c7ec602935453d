//! Logs to standard error through a bounded queue. When it is full, lines are dropped and counted, so that a
//! slow log reader never delays serving.
use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use slog_term::{FullFormat, PlainDecorator};

/// Opens the log. Dropping the guard writes out what is queued.
pub fn open(name: &str, lines: usize) -> (Logger, AsyncGuard) {
    let format = FullFormat::new(PlainDecorator::new(std::io::stderr())).build().fuse();
    let queue = Async::new(format).chan_size(lines).overflow_strategy(OverflowStrategy::DropAndReport);
    let (drain, guard) = queue.build_with_guard();
    (Logger::root(drain.fuse(), o!("router" => name.to_string())), guard)
}
