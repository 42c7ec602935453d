//! Start and end of a router.
pub mod config;
pub mod limits;
pub mod log;

use crate::routing::observer::Observer;
use crate::routing::{Input, Routing, RoutingConfig, task};
use crate::transport::{SocketTransport, client, feed, node};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use config::Config;
use futures_lite::StreamExt;
use futures_lite::future::or;
use harestage_sockets::clock::Clock;
use limits::Limits;
use slog::{Logger, info, warn};
use std::net::TcpListener;
use std::rc::Rc;

/// Serves what the configuration at `path` says until a signal ends it. An error is one line, and nothing
/// listens then.
pub fn run(path: &str) -> Result<(), String> {
    run_with(path, Vec::new(), None)
}

/// What was recorded last has so long to be told at the end.
const LAST_WORD: std::time::Duration = std::time::Duration::from_millis(1_000);

/// What somebody who attaches a witness is given.
pub struct ObserverContext {
    pub name: String,
    /// Content types by the numbers that the witness hears.
    pub contents: Vec<String>,
    pub clock: Clock,
    pub inbox: async_channel::Sender<Input>,
    pub log: Logger,
}

/// The router ends when this does, as at a signal.
pub type BackgroundTask = std::pin::Pin<Box<dyn Future<Output = ()>>>;
pub type AttachObserver = Box<dyn FnOnce(ObserverContext) -> (Rc<dyn Observer>, BackgroundTask)>;

/// The same where the control feed is a group: further addresses of it, one of which tells at a time. The platform has one.
pub fn run_with(
    path: &str,
    feeds: Vec<std::net::SocketAddr>,
    attach: Option<AttachObserver>,
) -> Result<(), String> {
    // Before the file is read: a signal to read it again must not end what has only just begun.
    let wanted = [Signal::Term, Signal::Int, Signal::Hup];
    let signals = Signals::new(wanted).map_err(|why| format!("no signals: {why}"))?;
    let start = config::load(path)?;
    let (log, _written_at_end) = log::open(&start.name, start.limits.log_lines);
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(serve(start, path, feeds, attach, signals, log, executor.clone())))
}

async fn serve(
    start: Config,
    path: &str,
    feeds: Vec<std::net::SocketAddr>,
    attach: Option<AttachObserver>,
    mut signals: Signals,
    log: Logger,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<(), String> {
    let Config { name, listen, seed, feed, last_event, initial_events, profile, kinds, outside, limits } =
        start;
    let limits = Rc::new(limits);
    let clock = Clock::start();
    let (inbox, news) = async_channel::bounded(limits.inbox);
    // Never full: what waits in it is bounded by the downloads that clients may have open, and by what their readers
    // read between two turns of the routing task, which takes all of it.
    let (from_clients, clients_news) = async_channel::unbounded();
    let clients = client::Clients::new(limits.clone(), clock, from_clients, log.clone());
    let mut nodes = node::NodeConnections::new(limits.clone(), inbox.clone(), log.clone(), executor.clone());
    let contents = outside.contents.clone();
    let attached = attach.map(|attach| {
        attach(ObserverContext { name, contents, clock, inbox: inbox.clone(), log: log.clone() })
    });
    let (observer, mut beside) = attached.unzip();
    let last_word = observer.clone();
    observer.iter().for_each(|observer: &Rc<dyn Observer>| nodes.set_observer(observer.clone()));
    let mut transport = SocketTransport { clients: clients.clone(), nodes };
    let (answer_grace, cancel_settles) = (limits.answer_grace, limits.call_back_settles);
    let gone_kept = limits.gone_kept;
    let purges_kept = profile.purge_settle_time;
    let terms = RoutingConfig {
        profile,
        kinds,
        outside,
        answer_grace,
        cancel_settles,
        removed_node_retention: gone_kept,
    };
    let mut routing = Routing::new(terms, seed, clock.now());
    let marks = observer.is_some();
    observer.into_iter().for_each(|observer| routing.set_observer(observer));
    routing.step(clock.now(), initial_events.into_iter().map(Input::Feed), &mut transport);
    let listener = Async::<TcpListener>::bind(listen)
        .map_err(|why| format!("key listen: {listen} can't be listened on: {why}"))?;
    let routing = task::run(routing, clients_news, news, transport, clock, limits.inbox);
    executor.spawn(routing).detach();
    let place = feed::FeedAddress::new(feed);
    let (limits_of, place_of, last) = (limits.clone(), place.clone(), last_event);
    let feed = feed::FeedClient {
        limits: limits_of,
        inbox,
        log: log.clone(),
        address: place_of,
        last_event: last,
        group_addresses: feeds.into(),
        track_service_state: marks,
        purge_retention: purges_kept,
        applied_purges: None,
    };
    executor.spawn(feed::follow(feed)).detach();
    let listener = Rc::new(listener);
    let listening = executor.spawn(client::listen(clients.clone(), listener.clone(), executor.clone()));
    let sweeping = executor.spawn(client::sweep(clients.clone()));
    clients.set_ready(true);
    info!(log, "ready"; "listen" => %listen, "known" => last_event, "limits" => ?limits);
    let anew = async {
        match &mut beside {
            Some(beside) => beside.await,
            None => std::future::pending().await,
        }
    };
    let anew_asked = or(
        async {
            until_told_to_end(&mut signals, path, &place, &log).await;
            false
        },
        async {
            anew.await;
            true
        },
    )
    .await;
    info!(log, "ending"; "open" => clients.open_downloads());
    let deaf_to_ends = async {
        loop {
            until_told_to_end(&mut signals, path, &place, &log).await;
        }
    };
    let drained = async {
        // Until then new connections and downloads may come as before.
        Timer::after(limits.drain_serve).await;
        listening.cancel().await;
        client::accept_pending(&clients, &listener, &executor);
        drop(listener);
        drain(&clients, &limits, &log).await;
    };
    or(drained, deaf_to_ends).await;
    drop(sweeping);
    if let (Some(observer), Some(beside), false) = (last_word, beside, anew_asked) {
        observer.on_shutdown();
        or(beside, async {
            Timer::after(LAST_WORD).await;
        })
        .await;
    }
    info!(log, "ended"; "open" => clients.open_downloads());
    Ok(())
}

/// Reads the configuration again at each SIGHUP; returns at the first signal that ends the program.
async fn until_told_to_end(signals: &mut Signals, path: &str, feed: &feed::FeedAddress, log: &Logger) {
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        // A wrong file must not end what serves: the configuration that was read last stays.
        match config::load(path) {
            Ok(start) => {
                info!(log, "configuration read again"; "feed" => %start.feed);
                feed.move_to(start.feed);
            }
            Err(why) => warn!(log, "configuration not taken over"; "why" => why),
        }
    }
}

/// Shutdown, once nothing new is accepted: each connection is closed when it comes to rest. What is still open when
/// the time of a restart is over is answered all the same: a kill would leave it without any answer.
async fn drain(clients: &client::Clients, limits: &Limits, log: &Logger) {
    clients.close_all();
    let late = async {
        Timer::after(limits.drain_abandon - limits.drain_serve).await;
        if clients.open_downloads() > 0 {
            warn!(log, "abandoned at the end"; "open" => clients.open_downloads());
        }
        clients.abandon_all();
        Timer::after(limits.drain_end - limits.drain_abandon).await;
    };
    or(clients.wait_all_closed(), late).await;
}
