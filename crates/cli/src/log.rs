//! The log on standard error, for people or as JSON, and the signals that end a program.
use async_channel::Receiver;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use slog_term::{FullFormat, PlainDecorator};

#[derive(Clone, Copy, clap::ValueEnum)]
pub enum Form {
    Text,
    Json,
}

/// Lines that wait to be written; past it lines are dropped and counted, so that a slow reader holds nothing up.
const LINES: usize = 1_024;

/// The guard writes out what is queued when it is dropped.
pub fn open(name: &str, form: Form) -> (Logger, AsyncGuard) {
    let (drain, guard) = match form {
        Form::Text => queued(FullFormat::new(PlainDecorator::new(std::io::stderr())).build()),
        Form::Json => queued(slog_json::Json::default(std::io::stderr())),
    };
    (Logger::root(drain.fuse(), o!("program" => name.to_string())), guard)
}

fn queued<D: Drain + Send + 'static>(drain: D) -> (Async, AsyncGuard)
where
    D::Err: std::fmt::Debug,
{
    let queue = Async::new(drain.fuse()).chan_size(LINES).overflow_strategy(OverflowStrategy::DropAndReport);
    queue.build_with_guard()
}

/// Tells once when SIGTERM or SIGINT has come.
pub fn until_signal() -> Result<Receiver<()>, String> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int]).map_err(|why| format!("no signals: {why}"))?;
    let (tell, told) = async_channel::bounded(1);
    std::thread::spawn(move || {
        async_io::block_on(async {
            signals.next().await;
            let _ = tell.send(()).await;
        });
    });
    Ok(told)
}
