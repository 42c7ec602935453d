//! Start and end of a router.
pub mod config;
pub mod limits;
pub mod log;

use crate::routing::clock::Clock;
use crate::routing::{News, Routing, Terms, task};
use crate::transport::{Outside, client, feed, node};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use config::Start;
use futures_lite::StreamExt;
use limits::Limits;
use slog::{Logger, info, warn};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Instant;

/// Serves until a signal ends it. An error is one line, and nothing listens then.
pub fn run(start: Start) -> Result<(), String> {
    let (log, _written_at_end) = log::open(&start.name, start.limits.log_lines);
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(serve(start, log, executor.clone())))
}

async fn serve(start: Start, log: Logger, executor: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int]).map_err(|why| format!("no signals: {why}"))?;
    let Start { name: _, listen, seed, feed, known_last, known, profile, kinds, outside, limits } = start;
    let limits = Rc::new(limits);
    let clock = Clock::start();
    let (inbox, news) = async_channel::bounded(limits.inbox);
    let clients = client::Clients::new(limits.clone(), clock, inbox.clone(), log.clone());
    let nodes = node::Links::new(limits.clone(), inbox.clone(), log.clone(), executor.clone());
    let mut outward = Outside { clients: clients.clone(), nodes };
    let terms = Terms { profile, kinds, outside, answer_grace: limits.answer_grace };
    let mut routing = Routing::open(terms, seed, clock.now());
    routing.step(clock.now(), known.into_iter().map(News::Told), &mut outward);
    let listener = Async::<TcpListener>::bind(listen)
        .map_err(|why| format!("key listen: {listen} can't be listened on: {why}"))?;
    let routing = task::run(routing, news, outward, clock, limits.inbox);
    executor.spawn(routing).detach();
    let feed =
        feed::Feed { limits: limits.clone(), inbox, log: log.clone(), address: feed, last: known_last };
    executor.spawn(feed::follow(feed)).detach();
    let listening = executor.spawn(client::listen(clients.clone(), listener, executor.clone()));
    clients.set_ready(true);
    info!(log, "ready"; "listen" => %listen, "known" => known_last, "limits" => ?limits);
    let signal = signals.next().await;
    info!(log, "ending"; "signal" => ?signal, "open" => clients.open());
    drain(&clients, &limits, &log).await;
    drop(listening);
    info!(log, "ended"; "open" => clients.open());
    Ok(())
}

/// Serves on while downloads may still come, then until all are answered and written, within bounds.
async fn drain(clients: &client::Clients, limits: &Limits, log: &Logger) {
    let since = Instant::now();
    loop {
        Timer::after(limits.drain_quiet / 16).await;
        let quiet = clients.is_idle() && clients.last_asked().elapsed() >= limits.drain_quiet;
        if quiet && since.elapsed() >= limits.drain_least {
            return;
        }
        if since.elapsed() >= limits.drain_most {
            warn!(log, "ended with downloads open"; "open" => clients.open());
            return;
        }
    }
}
