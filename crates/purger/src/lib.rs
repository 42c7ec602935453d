//! The purge service on sockets and disk. It uses one thread, with one task that runs the state machine of
//! `harestage_purge` and one task for each connection of a member or a client. It makes no decisions.
//!
//! Members connect directly or through the gatherer of their site ([`gatherer`]). The service is a member of a group, alone
//! or with others: the leader runs the state machine on what the group has committed. All entries of a step are written
//! with one sync. Nothing is sent before the group has committed it.
pub mod gatherer;
pub mod member_connection;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future::or;
use harestage::time::{Moment, Span};
use harestage_group_host::host::{
    Host, HostListener, HostedService, LEASE_CHECK_INTERVAL, PEER_TIMEOUT, write_message,
};
use harestage_group_host::{GroupMember, GroupMemberConfig, RecentItems};
use harestage_purge::members::MessageError;
use harestage_purge::messages::{
    Ack, FromGatherer, GatheredReport, MemberStatus, Request, Response, Status, ToMember,
};
use harestage_purge::promise::Report;
use harestage_purge::retained::MAX_BATCH_ITEMS;
use harestage_purge::sequencer::{Item, LogEntry, RateLimit};
use harestage_purge::service::{Effect, PushState, Service};
use harestage_sockets::accept::ConnectionLimit;
use harestage_sockets::clock::Clock;
use harestage_sockets::lines::LineReader;
use harestage_sockets::{Spawner, Stream};
use member_connection::UpdateSource;
use slog::{Logger, info, warn};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(20);
/// Maximum length of a line. A gatherer names all members of its site in one.
const MAX_LINE_BYTES: usize = 256 << 10;
const MAX_CONNECTIONS: usize = 8_192;
/// Maximum number of items, and of reports, kept for connections that wait for them.
const MAX_REPORTS: usize = 65_536;
/// Time for which purges are kept for disconnected members. A member that was disconnected for longer drops all older
/// copies. Regions may lose each other for an hour. A member that reconnects within half an hour after that still gets the
/// items it missed.
pub const RETENTION: Span = Span::millis(90 * 60_000);
/// Maximum number of purges in one response to a list request.
const LIST_PAGE_SIZE: usize = 4_096;
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Limit of purges per tenant, per second and in a burst.
const TENANT_RATE_LIMIT: RateLimit = RateLimit { rate: 200.0, burst: 2_000.0 };

/// What the leader may send, because the group has committed it.
struct Purges {
    /// Items in the order in which they are sent.
    published: RefCell<RecentItems<Item>>,
    reports: RefCell<BTreeMap<u64, Report>>,
}

type PurgeHost = Host<Purges>;

/// A purge service whose listening socket is bound.
pub struct PurgeServer(HostListener<Purges>);

fn read_entries(data: &[Vec<u8>]) -> Result<Vec<LogEntry>, String> {
    let read = |(n, bytes): (usize, &Vec<u8>)| {
        serde_json::from_slice(bytes).map_err(|error| format!("record {n} can't be read: {error}"))
    };
    data.iter().enumerate().map(read).collect()
}

fn encode_entry(entry: &LogEntry) -> Vec<u8> {
    serde_json::to_vec(entry).unwrap_or_default()
}

/// Converts the log of an unreplicated service: a snapshot with a list of entries, and the entries after it.
fn read_legacy(snapshot: Option<&[u8]>, records: &[Vec<u8>]) -> Result<Vec<Vec<u8>>, String> {
    let mut data = Vec::new();
    if let Some(snapshot) = snapshot {
        let entries: Vec<LogEntry> = serde_json::from_slice(snapshot)
            .map_err(|error| format!("the snapshot can't be read: {error}"))?;
        data.extend(entries.iter().map(encode_entry));
    }
    read_entries(records)?;
    data.extend_from_slice(records);
    Ok(data)
}

impl PurgeServer {
    /// Opens the only member of a group from its log. An error is one line of text.
    pub fn open(listen: SocketAddr, folder: &Path, logger: Logger) -> Result<PurgeServer, String> {
        PurgeServer::open_member(listen, folder, &GroupMemberConfig::standalone("purges"), logger)
    }

    /// Opens one member of a group. An error is one line of text.
    pub fn open_member(
        listen: SocketAddr,
        folder: &Path,
        config: &GroupMemberConfig,
        logger: Logger,
    ) -> Result<PurgeServer, String> {
        let clock = Clock::start();
        let member = GroupMember::open(config, folder, Vec::new(), read_legacy, clock, logger.clone())
            .map_err(|error| error.to_string())?;
        read_entries(&member.data()).map_err(|error| format!("{}: {error}", folder.display()))?;
        let published = RefCell::new(RecentItems::new(MAX_REPORTS));
        let purges = Purges { published, reports: RefCell::default() };
        HostListener::bind(listen, member, purges, ConnectionLimit::new(MAX_CONNECTIONS)).map(PurgeServer)
    }

    /// Serves until `stop` receives a message or is closed. Returns an error if the group member has failed.
    pub fn serve(self, stop: Receiver<()>) -> Result<(), String> {
        self.0.serve(async move {
            let _ = stop.recv().await;
        })
    }
}

impl HostedService for Purges {
    type State = Service;
    type Effect = Effect;

    const FAILURE_TEXT: &'static str = "the log can't be written, or is not this member's";
    const MAX_LINE_BYTES: usize = MAX_LINE_BYTES;

    fn open(host: &PurgeHost, data: &[Vec<u8>]) -> Result<(Service, Vec<Effect>), String> {
        let (service, effects) = Service::open(&read_entries(data)?, TENANT_RATE_LIMIT, host.now());
        info!(host.log(), "takes up the service"; "term" => service.term(), "last" => service.last());
        Ok((service, effects))
    }

    fn log_entry(effect: &Effect) -> Option<Vec<u8>> {
        match effect {
            Effect::Write(entry) => Some(encode_entry(entry)),
            Effect::Broadcast(_) | Effect::Report(_) => None,
        }
    }

    fn execute_effect(host: &PurgeHost, effect: Effect) {
        match effect {
            Effect::Write(_) => {}
            Effect::Broadcast(item) => {
                info!(host.log(), "told"; "number" => item.number,
                    "item" => serde_json::to_string(&item).unwrap_or_default());
                host.service.published.borrow_mut().push(item.number, item);
            }
            Effect::Report(report) => {
                let text = serde_json::to_string(&report).unwrap_or_default();
                match report.kept {
                    true => info!(host.log(), "reached"; "number" => report.number, "report" => text),
                    false => warn!(host.log(), "reached late"; "number" => report.number, "report" => text),
                }
                let mut reports = host.service.reports.borrow_mut();
                reports.insert(report.number, report);
                if reports.len() > MAX_REPORTS {
                    reports.pop_first();
                }
            }
        }
    }

    fn on_step_down(&self) {
        self.published.borrow_mut().clear();
    }

    async fn run(host: &Rc<PurgeHost>, _: &Spawner) {
        let mut expiry_checked = Instant::now();
        while !host.member.has_failed() {
            Timer::after(TICK).await;
            if expiry_checked.elapsed() > EXPIRY_CHECK_INTERVAL {
                expiry_checked = Instant::now();
                evict_old_items(host);
            }
            compact_log(host);
            let now = host.now();
            let effects = host.with_state(|service| service.tick(now)).unwrap_or_default();
            if !effects.is_empty() {
                host.execute(effects);
            }
        }
    }

    async fn serve(host: &PurgeHost, lines: &mut LineReader<'_>, first: Vec<u8>) -> Result<(), String> {
        if let Ok(ack) = serde_json::from_slice::<Ack>(&first) {
            return member_connection::serve_member(&DirectMembers(host), lines, ack).await;
        }
        if let Ok(FromGatherer::Gathered(report)) = serde_json::from_slice(&first) {
            return serve_gatherer(host, lines, report).await;
        }
        match serde_json::from_slice::<Request>(&first) {
            Ok(request) => serve_client(host, lines.stream(), request).await,
            Err(error) => {
                write_message(lines.stream(), &Response::Refused(format!("request can't be parsed: {error}")))
                    .await
            }
        }
    }
}

/// Evicts items that are older than the retention.
fn evict_old_items(host: &PurgeHost) {
    let now = host.now();
    let oldest_ms = now.before(RETENTION).micros() / 1_000;
    let effects = host.with_state(|service| service.forget_before(oldest_ms, now)).unwrap_or_default();
    if !effects.is_empty() {
        host.execute(effects);
    }
}

/// Replaces the log by a snapshot once it has grown.
fn compact_log(host: &PurgeHost) {
    if !host.is_settled() {
        return;
    }
    host.member.compact_log(|data| match host.with_unleased_state(|service| service.snapshot()) {
        Some(snapshot) => snapshot.iter().map(encode_entry).collect(),
        // A member that is not the leader compacts the committed entries.
        None => match read_entries(&data) {
            Ok(entries) => {
                Service::compacted(&entries, TENANT_RATE_LIMIT, host.now()).iter().map(encode_entry).collect()
            }
            Err(_) => data,
        },
    });
}

/// The source of items for members that connect to the service directly.
struct DirectMembers<'a>(&'a PurgeHost);

impl UpdateSource for DirectMembers<'_> {
    async fn on_ack(&self, ack: &Ack) -> Option<ToMember> {
        let now = self.0.now();
        let result = self.0.with_state(|service| (service.term(), service.on_ack(ack, now)))?;
        let (term, (catch_up, effects)) = match result {
            (term, Ok(accepted)) => (term, accepted),
            (_, Err(MessageError::Replaced)) => return Some(ToMember::Replaced),
            (_, Err(error)) => {
                warn!(self.0.log(), "acknowledgement refused"; "member" => &ack.member, "why" => format!("{error:?}"));
                return Some(ToMember::Items { term: 0, items: Vec::new() });
            }
        };
        if !effects.is_empty() {
            self.0.execute(effects);
        }
        // The state already contains entries that the group has not committed yet. They must not be sent.
        self.0.wait_settled().await.then(|| ToMember::from_catch_up(term, catch_up))
    }

    fn redirect(&self) -> ToMember {
        redirect(self.0)
    }

    fn last_published(&self) -> Option<u64> {
        self.0.member.holds_leader_lease().then(|| self.0.service.published.borrow().last())
    }

    fn updates_after(&self, number: u64) -> Option<ToMember> {
        let term = self.0.with_state(|service| service.term())?;
        let items = self.0.service.published.borrow().after(number).take(MAX_BATCH_ITEMS).cloned().collect();
        Some(ToMember::Items { term, items })
    }

    async fn wait_for_update(&self, timeout: Duration) {
        self.0.wait_for_update(timeout).await;
    }
}

/// Serves a gatherer: handles each of its reports, and pushes new items at once.
async fn serve_gatherer(
    host: &PurgeHost,
    lines: &mut LineReader<'_>,
    first: GatheredReport,
) -> Result<(), String> {
    let stream = lines.stream();
    let (mut push_state, mut report, mut is_first) = (PushState::default(), first, true);
    loop {
        let (now, may_send) = (host.now(), host.service.published.borrow().last());
        let result = host.with_state(|service| {
            let (answered, effects) = service.on_gathered(&report, now)?;
            Ok::<_, MessageError>((push_state.reply(service, &report, answered, may_send), effects))
        });
        let (messages, effects) = match result {
            None => return write_message(stream, &redirect(host)).await,
            Some(Err(error)) => return Err(format!("{}: report refused: {error:?}", report.gatherer.member)),
            Some(Ok(accepted)) => accepted,
        };
        // The first answer, and one that admits members, may contain uncommitted items. Later answers contain only items up
        // to `may_send`.
        let needs_commit = std::mem::take(&mut is_first) || !effects.is_empty();
        if !effects.is_empty() {
            host.execute(effects);
        }
        if needs_commit && !host.wait_settled().await {
            return write_message(stream, &redirect(host)).await;
        }
        for message in messages {
            write_message(stream, &message).await?;
        }
        let line = loop {
            let received = async { Some(lines.next_line().await) };
            let updated = async {
                while !push_state.can_push(host.service.published.borrow().last()) && host.is_serving() {
                    host.wait_for_update(LEASE_CHECK_INTERVAL).await;
                }
                None
            };
            let timed_out = async {
                Timer::after(PEER_TIMEOUT).await;
                Some(Err("no report in time".to_string()))
            };
            if let Some(line) = or(or(received, updated), timed_out).await {
                break line?;
            }
            let may_send = host.service.published.borrow().last();
            match host.with_state(|service| push_state.next_push(service, may_send)) {
                None => return write_message(stream, &redirect(host)).await,
                Some(Some(update)) => write_message(stream, &update).await?,
                Some(None) => return Err("items that it lacks were evicted: it has to reconnect".into()),
            }
        };
        let line = serde_json::from_slice(&line).map_err(|error| format!("line can't be parsed: {error}"))?;
        let FromGatherer::Gathered(next) = line;
        if next.gatherer.member != report.gatherer.member {
            return Err(format!("{} changed its name to {}", report.gatherer.member, next.gatherer.member));
        }
        report = next;
    }
}

fn redirect(host: &PurgeHost) -> ToMember {
    ToMember::NotLeader { leader: host.member.leader_service_address() }
}

async fn serve_client(host: &PurgeHost, stream: &Stream, request: Request) -> Result<(), String> {
    let redirect = |leader| Response::NotLeader { leader };
    let response = match request {
        Request::Submit { scope, tenant, key } => {
            let now = host.now();
            match host.with_state(|service| service.submit(scope, tenant, &key, now)) {
                Some(Ok((number, promise, effects))) => {
                    host.execute(effects);
                    match host.wait_settled().await {
                        true => Response::Accepted { number, promise },
                        // The purge may still be committed. A retry with the same key refers to the same purge on any leader.
                        false => redirect(host.member.leader_service_address()),
                    }
                }
                Some(Err(error)) => Response::Refused(error.to_string()),
                None => redirect(host.member.leader_service_address()),
            }
        }
        Request::Wait { number } => loop {
            if let Some(report) = host.service.reports.borrow().get(&number).cloned() {
                break Response::Report(report);
            }
            match host.with_state(|service| (service.last(), service.is_reported(number))) {
                None => break redirect(host.member.leader_service_address()),
                Some((last, _)) if number == 0 || number > last => {
                    break Response::Refused(format!("there is no purge {number}"));
                }
                // An earlier leader made the report. If this leader makes it, it is available once committed.
                Some((_, true)) if host.is_settled() => break Response::Reached { number },
                Some(_) => host.wait_for_update(LEASE_CHECK_INTERVAL).await,
            }
        },
        Request::Status => {
            let now = host.now();
            host.with_state_or(|service| Response::Status(status(service, now)), redirect)
        }
        Request::List { after } => host
            .with_state_or(|service| Response::List(service.purges_after(after, LIST_PAGE_SIZE)), redirect),
    };
    write_message(stream, &response).await
}

fn status(service: &Service, now: Moment) -> Status {
    let members = service.members();
    let statuses = members.names().map(|name| MemberStatus {
        name: name.into(),
        applied: members.progress(name).map_or(0, |(_, applied)| applied),
        fenced: members.is_fenced(name),
        gatherer: members.gatherer_of(name).map(str::to_string),
    });
    let statuses = statuses.collect();
    Status {
        term: service.term(),
        last: service.last(),
        open: service.pending_purges(),
        promise: service.promise(now),
        members: statuses,
        refused_lines: members.refused_lines(),
    }
}
