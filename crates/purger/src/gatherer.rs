//! A site's gatherer on sockets. It aggregates the acknowledgements of the site's members for the purge service, and
//! distributes items to them. It uses one thread, with one task for the connection to the service and one for each member.
//! The decisions are made in `harestage_purge::gather`.
use crate::RETENTION;
use crate::member_connection::{self, UpdateSource};
use async_channel::Receiver;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use harestage_following::{Line, subscribe};
use harestage_group_host::host::{PEER_TIMEOUT, write_message};
use harestage_group_host::wait_for_event;
use harestage_purge::gather::{GatherError, Gatherer, MIN_REPORT_INTERVAL};
use harestage_purge::messages::{Ack, ToMember, to_line};
use harestage_sockets::accept::{ConnectionLimit, accept};
use harestage_sockets::clock::Clock;
use harestage_sockets::leader::LeaderFinder;
use harestage_sockets::lines::{LineReader, with_timeout, write_text};
use harestage_sockets::{Spawner, Stream};
use slog::{Logger, info, warn};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

const MAX_LINE_BYTES: usize = 64 << 10;
/// Covers the members of one site and clients that connect by mistake.
const MAX_CONNECTIONS: usize = 4_096;
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which an idle gatherer checks whether a report is due.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Settings of the connection to the service, which answers each report at once. Reports are sent several times a second.
fn connection_settings() -> Line {
    Line {
        connect: Duration::from_millis(1_000),
        silence: Duration::from_millis(1_500),
        pause: Duration::from_millis(60),
        report_every: REPORT_CHECK_INTERVAL,
        bytes: 8 << 20,
    }
}

struct Site {
    gatherer: RefCell<Gatherer>,
    clock: Clock,
    log: Logger,
    /// Notified when new items arrived from the service.
    updated: Event,
    /// Notified when the service answered, and when a member sent an acknowledgement or disconnected.
    report_changed: Event,
}

/// The configuration of a gatherer.
#[derive(Clone, Debug)]
pub struct GathererConfig {
    pub name: String,
    pub listen: SocketAddr,
    /// Addresses of the members of the purge service.
    pub services: Vec<SocketAddr>,
}

/// A gatherer whose listening socket is bound.
pub struct GathererServer {
    config: GathererConfig,
    listener: Async<TcpListener>,
}

impl GathererServer {
    /// Checks the configuration and binds the listening socket. An error is one line of text.
    pub fn bind(config: GathererConfig) -> Result<GathererServer, String> {
        if !harestage_purge::messages::is_valid_name(&config.name) {
            return Err(format!(
                "key name: {:?} is not a name of letters, digits, dots and dashes",
                config.name
            ));
        }
        if config.services.is_empty() {
            return Err("key services: at least one address is required".into());
        }
        let listener = Async::<TcpListener>::bind(config.listen)
            .map_err(|error| format!("key listen: {} can't be listened on: {error}", config.listen))?;
        Ok(GathererServer { config, listener })
    }

    /// Serves until `stop` receives a message or is closed.
    pub fn serve(self, log: Logger, stop: Receiver<()>) {
        let (spawner, clock) = (Spawner::default(), Clock::start());
        let GathererServer { config, listener } = self;
        // The time of the start is the incarnation. It differs from that of any earlier start.
        let gatherer = Gatherer::new(&config.name, clock.now().micros());
        let site = Rc::new(Site {
            gatherer: RefCell::new(gatherer),
            clock,
            log: log.clone(),
            updated: Event::new(),
            report_changed: Event::new(),
        });
        info!(log, "ready"; "name" => &config.name);
        spawner.spawn(follow(site.clone(), config.services));
        spawner.spawn(evict_old_items(site.clone()));
        let (connection_site, accept_log) = (site.clone(), log.clone());
        let serve_connection = move |stream| {
            let site = connection_site.clone();
            async move {
                let reason = accept_member(&site, &stream).await.err().unwrap_or_default();
                if !reason.is_empty() {
                    info!(site.log, "connection ended"; "why" => reason);
                }
            }
        };
        let on_accept_error = move |error| warn!(accept_log, "accept failed"; "why" => %error);
        spawner.spawn(accept(
            listener,
            ConnectionLimit::new(MAX_CONNECTIONS),
            spawner.clone(),
            serve_connection,
            on_accept_error,
        ));
        spawner.block_on(async {
            let _ = stop.recv().await;
        });
        info!(log, "ended"; "name" => &config.name);
    }
}

/// Evicts items that are older than the retention.
async fn evict_old_items(site: Rc<Site>) {
    loop {
        Timer::after(EXPIRY_CHECK_INTERVAL).await;
        let oldest_ms = site.clock.now().before(RETENTION).micros() / 1_000;
        site.gatherer.borrow_mut().forget_before(oldest_ms);
    }
}

/// Keeps a connection to the leader of the service.
async fn follow(site: Rc<Site>, services: Vec<SocketAddr>) {
    let mut is_down = false;
    let Some(mut leader) = LeaderFinder::from_addresses(services) else { return };
    loop {
        let reason = follow_once(&site, &mut leader, &mut is_down).await.err().unwrap_or_default();
        if !std::mem::replace(&mut is_down, true) {
            warn!(site.log, "purges down"; "why" => reason, "has" => site.gatherer.borrow().last());
        }
        Timer::after(connection_settings().pause * leader.backoff_factor()).await;
    }
}

/// Connects to one member of the service, and exchanges reports and items until the connection ends.
async fn follow_once(site: &Site, leader: &mut LeaderFinder, is_down: &mut bool) -> Result<(), String> {
    let address = leader.next_address();
    // If the connection ends without a redirect, the next address is tried.
    leader.on_failure();
    site.gatherer.borrow_mut().on_connected();
    let first = site.gatherer.borrow_mut().next_report(site.clock.now());
    let first = first.ok_or("no initial report")?;
    let stream = subscribe(address, &to_line(&first), connection_settings().connect).await?;
    or(receive_items(site, &stream, address, leader, is_down), send_reports(site, &stream)).await
}

async fn receive_items(
    site: &Site,
    stream: &Stream,
    address: SocketAddr,
    leader: &mut LeaderFinder,
    is_down: &mut bool,
) -> Result<(), String> {
    let mut lines = LineReader::new(stream, connection_settings().bytes);
    let mut is_up = false;
    loop {
        let message = with_timeout(connection_settings().silence, "silent", lines.next_line()).await?;
        let message: ToMember =
            serde_json::from_slice(&message).map_err(|error| format!("line can't be parsed: {error}"))?;
        if let ToMember::NotLeader { leader: leader_address } = &message {
            leader.on_redirect(leader_address.as_deref());
            return Err("this member is not the leader".into());
        }
        let last = site.gatherer.borrow().last();
        let result = site.gatherer.borrow_mut().handle(message, site.clock.now());
        result.map_err(|error| format!("{error:?}"))?;
        if !std::mem::replace(&mut is_up, true) {
            leader.on_leader(address);
            *is_down = false;
            info!(site.log, "purges up"; "has" => site.gatherer.borrow().last());
        }
        if site.gatherer.borrow().last() != last {
            site.updated.notify(usize::MAX);
        }
        site.report_changed.notify(usize::MAX);
    }
}

async fn send_reports(site: &Site, stream: &Stream) -> Result<(), String> {
    loop {
        let report = site.gatherer.borrow_mut().next_report(site.clock.now());
        match report {
            Some(report) => {
                write_text(stream, &to_line(&report), PEER_TIMEOUT).await?;
                Timer::after(MIN_REPORT_INTERVAL.into()).await;
            }
            None => {
                wait_for_event(&site.report_changed, REPORT_CHECK_INTERVAL).await;
                // Batches acknowledgements that arrive at nearly the same time into one report.
                Timer::after(Duration::from(MIN_REPORT_INTERVAL) / 3).await;
            }
        }
    }
}

/// Serves a connection whose first line is that of a member of the site.
async fn accept_member(site: &Site, stream: &Stream) -> Result<(), String> {
    let mut lines = LineReader::new(stream, MAX_LINE_BYTES);
    let first = with_timeout(PEER_TIMEOUT, "no first line in time", lines.next_line()).await?;
    let Ok(first) = serde_json::from_slice::<Ack>(&first) else {
        return write_message(stream, &ToMember::NotLeader { leader: None }).await;
    };
    let member = SiteMember { site, identity: RefCell::new((first.member.clone(), first.incarnation)) };
    let result = member_connection::serve_member(&member, &mut lines, first).await;
    let (name, incarnation) = member.identity.into_inner();
    site.gatherer.borrow_mut().on_disconnect(&name, incarnation);
    site.report_changed.notify(usize::MAX);
    result
}

/// One member of the site, with its name and the incarnation of its last acknowledgement.
struct SiteMember<'a> {
    site: &'a Site,
    identity: RefCell<(String, u64)>,
}

impl UpdateSource for SiteMember<'_> {
    async fn on_ack(&self, ack: &Ack) -> Option<ToMember> {
        self.identity.replace((ack.member.clone(), ack.incarnation));
        let answer = self.site.gatherer.borrow_mut().on_ack(ack, self.site.clock.now());
        self.site.report_changed.notify(usize::MAX);
        match answer {
            Ok(message) => Some(message),
            Err(GatherError::NotServing) => None,
            Err(GatherError::TooManyMembers) => {
                warn!(self.site.log, "too many members"; "member" => &ack.member);
                None
            }
        }
    }

    fn redirect(&self) -> ToMember {
        ToMember::NotLeader { leader: None }
    }

    fn last_published(&self) -> Option<u64> {
        let gatherer = self.site.gatherer.borrow();
        gatherer.is_serving(self.site.clock.now()).then(|| gatherer.last())
    }

    fn updates_after(&self, number: u64) -> Option<ToMember> {
        let (term, catch_up) = self.site.gatherer.borrow().after(number)?;
        Some(ToMember::from_catch_up(term, catch_up))
    }

    async fn wait_for_update(&self, timeout: Duration) {
        wait_for_event(&self.site.updated, timeout).await;
    }
}
