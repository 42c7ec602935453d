//! Startup and shutdown of a router.
pub mod config;
pub mod limits;
pub mod log;
pub mod metrics;

use crate::routing::observer::Observer;
use crate::routing::{Input, Routing, RoutingConfig, task};
use crate::transport::{SocketTransport, client, feed, node};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use config::Config;
use futures_lite::StreamExt;
use futures_lite::future::or;
use harestage::interface::ServiceProfile;
use harestage_sockets::accept::extend_listen_queue;
use harestage_sockets::clock::Clock;
use limits::Limits;
use slog::{Logger, info, warn};
use std::net::TcpListener;
use std::rc::Rc;

/// Serves by the configuration at `path` until a signal ends the program. On an error nothing was served; its
/// text is one line.
pub fn run(path: &str) -> Result<(), String> {
    run_with(path, Vec::new(), None)
}

/// Time for the observer to send its last reports at shutdown.
const FINAL_REPORT_TIME: std::time::Duration = std::time::Duration::from_millis(1_000);

/// What an observer gets to know of the router.
pub struct ObserverContext {
    pub name: String,
    /// Names of content types, indexed by the numbers that the observer is given.
    pub contents: Vec<String>,
    pub clock: Clock,
    pub inbox: async_channel::Sender<Input>,
    pub log: Logger,
}

/// Runs beside the router, which shuts down when this task ends, as on a signal.
pub type BackgroundTask = std::pin::Pin<Box<dyn Future<Output = ()>>>;
/// Creates an observer and its background task.
pub type AttachObserver = Box<dyn FnOnce(ObserverContext) -> (Rc<dyn Observer>, BackgroundTask)>;

/// Like [`run`], with further addresses of the control feed if a group serves it, and with an observer. One
/// member of such a group serves the feed at a time. The platform has neither.
pub fn run_with(
    path: &str,
    feeds: Vec<std::net::SocketAddr>,
    attach: Option<AttachObserver>,
) -> Result<(), String> {
    // Signals are handled before the file is read: a SIGHUP must not kill a process that has only just
    // started.
    let wanted = [Signal::Term, Signal::Int, Signal::Hup];
    let signals = Signals::new(wanted).map_err(|why| format!("signals can't be handled: {why}"))?;
    let router_config = config::load(path)?;
    let (log, _written_at_end) = log::open(&router_config.name, router_config.limits.log_lines);
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(serve(
        router_config,
        path,
        feeds,
        attach,
        signals,
        log,
        executor.clone(),
    )))
}

async fn serve(
    router_config: Config,
    path: &str,
    feeds: Vec<std::net::SocketAddr>,
    attach: Option<AttachObserver>,
    mut signals: Signals,
    log: Logger,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<(), String> {
    let Config { name, listen, seed, feed, last_event, initial_events, profile, kinds, outside, limits } =
        router_config;
    let limits = Rc::new(limits);
    let clock = Clock::start();
    let (inbox, inputs) = async_channel::bounded(limits.inbox);
    // Unbounded, but never large: it holds no more than the downloads that clients may have open, and what
    // their readers take between two steps of the routing task, which empties it.
    let (client_sender, client_inputs) = async_channel::unbounded();
    let clients = client::Clients::new(limits.clone(), clock, client_sender, log.clone());
    let mut nodes = node::NodeConnections::new(limits.clone(), inbox.clone(), log.clone(), executor.clone());
    let gauges = nodes.gauges();
    let contents = outside.contents.clone();
    let attached = attach.map(|attach| {
        attach(ObserverContext { name, contents, clock, inbox: inbox.clone(), log: log.clone() })
    });
    let (observer, mut background) = attached.unzip();
    let final_observer = observer.clone();
    observer.iter().for_each(|observer: &Rc<dyn Observer>| nodes.set_observer(observer.clone()));
    let mut transport = SocketTransport { clients: clients.clone(), nodes };
    let (answer_grace, cancel_settles) = (limits.answer_grace, limits.call_back_settles);
    let removed_node_retention = limits.gone_kept;
    let purge_retention = profile.purge_settle_time;
    let profile = ServiceProfile { max_history_entries: limits.history_entries, ..profile };
    let config =
        RoutingConfig { profile, kinds, outside, answer_grace, cancel_settles, removed_node_retention };
    let mut routing = Routing::new(config, seed, clock.now());
    let track_service_state = observer.is_some();
    observer.into_iter().for_each(|observer| routing.set_observer(observer));
    routing.step(clock.now(), initial_events.into_iter().map(Input::Feed), &mut transport);
    let listener = Async::<TcpListener>::bind(listen)
        .map_err(|why| format!("key listen: {listen} can't be listened on: {why}"))?;
    let sources = metrics::Sources { clients: clients.clone(), nodes: gauges, pulls: routing.pull_counts() };
    if let Err(why) = extend_listen_queue(&listener, limits.clients) {
        warn!(log, "listen queue not extended"; "why" => %why);
    }
    let routing = task::run(routing, client_inputs, inputs, transport, clock, limits.inbox);
    executor.spawn(routing).detach();
    let feed_address = feed::FeedAddress::new(feed);
    let (feed_limits, shared_address, last) = (limits.clone(), feed_address.clone(), last_event);
    let feed = feed::FeedClient {
        limits: feed_limits,
        inbox,
        log: log.clone(),
        address: shared_address,
        last_event: last,
        group_addresses: feeds.into(),
        track_service_state,
        purge_retention,
        applied_purges: None,
    };
    executor.spawn(feed::follow(feed)).detach();
    let listener = Rc::new(listener);
    let listening = executor.spawn(client::listen(clients.clone(), listener.clone(), executor.clone()));
    let sweeping = executor.spawn(client::sweep(clients.clone()));
    let reporting = executor.spawn(metrics::report(sources, limits.report_every, log.clone()));
    clients.set_ready(true);
    info!(log, "ready"; "listen" => %listen, "known" => last_event, "limits" => ?limits);
    let background_end = async {
        match &mut background {
            Some(background) => background.await,
            None => std::future::pending().await,
        }
    };
    let ended_by_background = or(
        async {
            wait_for_shutdown_signal(&mut signals, path, &feed_address, &log).await;
            false
        },
        async {
            background_end.await;
            true
        },
    )
    .await;
    info!(log, "ending"; "open" => clients.open_downloads());
    let ignore_further_signals = async {
        loop {
            wait_for_shutdown_signal(&mut signals, path, &feed_address, &log).await;
        }
    };
    let drained = async {
        // Until then new connections and downloads are accepted as before.
        Timer::after(limits.drain_serve).await;
        listening.cancel().await;
        client::accept_pending(&clients, &listener, &executor).await;
        drop(listener);
        drain(&clients, &limits, &log).await;
    };
    or(drained, ignore_further_signals).await;
    drop((sweeping, reporting));
    if let (Some(observer), Some(background), false) = (final_observer, background, ended_by_background) {
        observer.on_shutdown();
        or(background, async {
            Timer::after(FINAL_REPORT_TIME).await;
        })
        .await;
    }
    info!(log, "ended"; "open" => clients.open_downloads());
    Ok(())
}

/// Reloads the configuration at each SIGHUP; returns at the first signal that ends the program.
async fn wait_for_shutdown_signal(signals: &mut Signals, path: &str, feed: &feed::FeedAddress, log: &Logger) {
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        // An invalid file must not end a running router: the previous configuration stays in force.
        match config::load(path) {
            Ok(router_config) => {
                info!(log, "configuration reloaded"; "feed" => %router_config.feed);
                feed.move_to(router_config.feed);
            }
            Err(why) => warn!(log, "configuration not reloaded"; "why" => why),
        }
    }
}

/// Shuts down once nothing new is accepted: each connection is closed as soon as it is idle. What is still
/// open near the end is abandoned, since a kill would leave it without any answer.
async fn drain(clients: &client::Clients, limits: &Limits, log: &Logger) {
    clients.close_all();
    let late = async {
        Timer::after(limits.drain_abandon - limits.drain_serve).await;
        if clients.open_downloads() > 0 {
            warn!(log, "downloads abandoned at shutdown"; "open" => clients.open_downloads());
        }
        clients.abandon_all();
        Timer::after(limits.drain_end - limits.drain_abandon).await;
    };
    or(clients.wait_all_closed(), late).await;
}
