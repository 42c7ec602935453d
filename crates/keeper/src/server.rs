//! The audit keeper on sockets. It uses one thread. One task runs the state machine, one syncs appended links in batches,
//! and one serves each connection. The keeper is a member of a group, alone or with others, and the leader accepts reports.
//! It follows the control service and the purge service, to know which versions and purges the processes have to apply.
use crate::store::Store;
use async_channel::Receiver;
use async_io::Timer;
use event_listener::Event;
use harestage::time::Moment;
use harestage_audit::chain::Link;
use harestage_audit::keeper::{Effect, KeeperState, Record};
use harestage_audit::lagging::Decision;
use harestage_audit::messages::{KeeperMessage, OperatorRequest, OperatorResponse, ProcessMessage, Report};
use harestage_following::control::{Heard, Member};
use harestage_following::{Line, control, purges, subscribe};
use harestage_group_host::host::{
    Host, HostListener, HostedService, LEASE_CHECK_INTERVAL, PEER_TIMEOUT, write_message,
};
use harestage_group_host::{GroupMember, GroupMemberConfig, wait_for_event};
use harestage_purge::follower::Action;
use harestage_purge::messages::Past;
use harestage_shape::config::ShapeConfig;
use harestage_shape::control::HubReport as ShapeReport;
use harestage_shape::messages as shape_messages;
use harestage_sockets::Spawner;
use harestage_sockets::accept::ConnectionLimit;
use harestage_sockets::clock::Clock;
use harestage_sockets::lines::{LineReader, with_timeout};
use slog::{Logger, error, info, warn};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);
/// Links that are appended within this time share one sync.
const SYNC_DELAY: Duration = Duration::from_millis(5);
/// Fits a report with the maximum number of links.
const MAX_LINE_BYTES: usize = 4 << 20;
const MAX_CONNECTIONS: usize = 8_192;
/// Number of attempts per control service to have a withdrawn version replaced.
const REVERT_ATTEMPTS: usize = 12;

/// Addresses of the services that the keeper follows.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    pub control_services: Vec<SocketAddr>,
    pub purge_services: Vec<SocketAddr>,
}

/// Settings of the connections to the services that the keeper follows.
fn connection_settings() -> Line {
    Line {
        connect: Duration::from_millis(400),
        silence: Duration::from_secs(3),
        pause: Duration::from_millis(150),
        report_every: Duration::from_millis(200),
        bytes: 16 << 20,
    }
}

/// State of this member outside of the group: links on its disk, and the versions and purges it has received.
struct LinkStore {
    store: RefCell<Store>,
    /// Number of appended links.
    appended: Cell<u64>,
    /// Number of appended links that are synced.
    synced: Cell<u64>,
    /// Whether the disk can't be written any more.
    failed: Cell<bool>,
    /// Notified when links are appended or synced, and when the disk fails.
    changed: Event,
    /// Links that were on the disk at the start, until this member first becomes the leader.
    stored: RefCell<Vec<Link>>,
    /// The last version received, for when this member becomes the leader.
    version: RefCell<Option<Box<ShapeConfig>>>,
    /// Number of the last purge received.
    last_purge: Cell<u64>,
    upstreams: Upstreams,
}

type KeeperHost = Host<LinkStore>;

/// A keeper whose listening socket is bound.
pub struct KeeperServer(HostListener<LinkStore>);

fn decode_records(data: &[Vec<u8>]) -> Result<Vec<Record>, String> {
    let read = |(n, bytes): (usize, &Vec<u8>)| {
        serde_json::from_slice(bytes).map_err(|error| format!("record {n} can't be read: {error}"))
    };
    data.iter().enumerate().map(read).collect()
}

fn encode_record(record: &Record) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_default()
}

/// The keeper has no unreplicated format.
fn reject_legacy(_: Option<&[u8]>, _: &[Vec<u8>]) -> Result<Vec<Vec<u8>>, String> {
    Err("the folder has an unknown format".into())
}

impl KeeperServer {
    /// Opens one member of the keeper. An error is one line of text.
    pub fn open(
        listen: SocketAddr,
        folder: &Path,
        config: &GroupMemberConfig,
        upstreams: Upstreams,
        log: Logger,
    ) -> Result<KeeperServer, String> {
        let clock = Clock::start();
        let member = GroupMember::open(config, folder, Vec::new(), reject_legacy, clock, log.clone())
            .map_err(|error| error.to_string())?;
        decode_records(&member.data()).map_err(|error| format!("{}: {error}", folder.display()))?;
        let (store, stored) =
            Store::open(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        for error in &store.read_errors {
            warn!(log, "a record can't be read"; "file" => &error.file, "row" => error.row, "why" => &error.reason);
        }
        let link_store = LinkStore {
            store: RefCell::new(store),
            appended: Cell::new(0),
            synced: Cell::new(0),
            failed: Cell::new(false),
            changed: Event::new(),
            stored: RefCell::new(stored),
            version: RefCell::new(None),
            last_purge: Cell::new(0),
            upstreams,
        };
        HostListener::bind(listen, member, link_store, ConnectionLimit::new(MAX_CONNECTIONS))
            .map(KeeperServer)
    }

    /// Serves until `stop` receives a message or is closed. Returns an error if the disk can't be written.
    pub fn serve(self, stop: Receiver<()>) -> Result<(), String> {
        let host = self.0.host().clone();
        let result = self.0.serve(async move {
            let _ = stop.recv().await;
        });
        // Writes the links of the log to a file, so that common tools see all of them.
        let rolled = host.service.store.borrow_mut().roll(true).map_err(|error| error.to_string());
        result.and_then(|()| match host.service.failed.get() {
            true => Err(LinkStore::FAILURE_TEXT.into()),
            false => rolled.map(drop),
        })
    }
}

impl HostedService for LinkStore {
    type State = KeeperState;
    type Effect = Effect;

    const NAME: &'static str = "keeper";
    const FAILURE_TEXT: &'static str = "the disk can't be written, or is not this member's";
    const MAX_LINE_BYTES: usize = MAX_LINE_BYTES;

    fn open(host: &KeeperHost, data: &[Vec<u8>]) -> Result<(KeeperState, Vec<Effect>), String> {
        let (records, now) = (decode_records(data)?, host.now());
        let (mut state, effects) = KeeperState::open(&records, now);
        if let Some(shape) = host.service.version.borrow().as_ref() {
            state.shape_published(shape, now);
        }
        state.purges_published(host.service.last_purge.get(), now);
        // Restores the links on this disk, so that chains continue after them.
        let stored = std::mem::take(&mut *host.service.stored.borrow_mut());
        state.restore_links(&stored, now);
        info!(host.log(), "takes up the service"; "term" => state.term(), "links" => stored.len());
        Ok((state, effects))
    }

    fn log_entry(effect: &Effect) -> Option<Vec<u8>> {
        match effect {
            Effect::Write(record) => Some(encode_record(record)),
            Effect::Decided(_) => None,
        }
    }

    fn execute_effect(host: &KeeperHost, effect: Effect) {
        let Effect::Decided(decision) = effect else { return };
        let text = serde_json::to_string(&decision).unwrap_or_default();
        match &decision {
            Decision::Excluded { member, .. } => {
                warn!(host.log(), "shut out"; "member" => member, "said" => text)
            }
            Decision::ShareRaised { member, share } => {
                info!(host.log(), "let in by a share"; "member" => member, "share" => share.0);
            }
            Decision::Readmitted { member } => info!(host.log(), "let in again"; "member" => member),
            Decision::Withdrawn { shape, .. } => {
                warn!(host.log(), "version withdrawn"; "shape" => shape, "said" => text);
            }
        }
        let now = host.now();
        host.with_unleased_state(|state| state.apply_decision(&decision, now));
    }

    fn log_ready(host: &KeeperHost) {
        let links = host.service.stored.borrow().len();
        info!(host.log(), "ready"; "name" => host.name(), "links" => links);
    }

    fn start_tasks(host: &Rc<KeeperHost>, spawner: &Spawner) {
        spawner.spawn(sync_appended(host.clone()));
        let upstreams = &host.service.upstreams;
        let shape_follower = ShapeFollower(host.clone());
        spawner.spawn(control::follow(
            shape_follower,
            upstreams.control_services.clone(),
            connection_settings(),
            host.log().clone(),
        ));
        if !upstreams.purge_services.is_empty() {
            let (host, services) = (host.clone(), upstreams.purge_services.clone());
            spawner.spawn(async move {
                let (name, incarnation, log) =
                    (host.name().to_string(), host.now().micros(), host.log().clone());
                purges::follow(
                    &name,
                    incarnation,
                    Past::Cold,
                    services,
                    connection_settings(),
                    PurgeFollower(host),
                    log,
                )
                .await;
            });
        }
    }

    async fn run(host: &Rc<KeeperHost>, spawner: &Spawner) {
        run_ticks(host, spawner).await;
    }

    async fn serve(host: &KeeperHost, lines: &mut LineReader<'_>, first: Vec<u8>) -> Result<(), String> {
        serve_connection(host, lines, first).await
    }
}

impl LinkStore {
    /// Appends links. They are durable once [`LinkStore::wait_synced`] returns.
    fn append(&self, links: &[Link]) -> Result<(), String> {
        if links.is_empty() {
            return Ok(());
        }
        let result = self.store.borrow_mut().append(links);
        self.appended.set(self.appended.get() + links.len() as u64);
        self.changed.notify(usize::MAX);
        result.map_err(|error| error.to_string())
    }

    /// Waits until all links appended so far are synced.
    async fn wait_synced(&self) -> Result<(), String> {
        let upto = self.appended.get();
        while self.synced.get() < upto {
            if self.failed.get() {
                return Err("the disk can't be written".into());
            }
            wait_for_event(&self.changed, LEASE_CHECK_INTERVAL).await;
        }
        Ok(())
    }
}

/// Marks the disk as failed, which ends the process.
fn on_disk_failure(host: &KeeperHost, reason: &str) -> String {
    error!(host.log(), "records not written"; "why" => reason);
    host.service.failed.set(true);
    host.service.changed.notify(usize::MAX);
    reason.into()
}

/// Syncs appended links in batches.
async fn sync_appended(host: Rc<KeeperHost>) {
    let link_store = &host.service;
    while !link_store.failed.get() {
        let upto = link_store.appended.get();
        if link_store.synced.get() == upto {
            wait_for_event(&link_store.changed, LEASE_CHECK_INTERVAL).await;
            if link_store.synced.get() == link_store.appended.get() {
                continue;
            }
        }
        Timer::after(SYNC_DELAY).await;
        let upto = link_store.appended.get();
        let result = link_store.store.borrow_mut().sync().map_err(|error| error.to_string());
        match result {
            Ok(()) => link_store.synced.set(upto),
            Err(reason) => drop(on_disk_failure(&host, &reason)),
        }
        link_store.changed.notify(usize::MAX);
    }
}

/// Runs the ticks of the state machine until the group member or the disk fails.
async fn run_ticks(host: &Rc<KeeperHost>, spawner: &Spawner) {
    let mut withdrawn = None;
    while !host.member.has_failed() && !host.service.failed.get() {
        Timer::after(TICK).await;
        let now = host.now();
        let effects = host.with_state(|state| state.tick(now)).unwrap_or_default();
        for effect in &effects {
            if let Effect::Decided(Decision::Withdrawn { shape, .. }) = effect {
                withdrawn = Some(*shape);
            }
        }
        if !effects.is_empty() {
            host.execute(effects);
        }
        // The previous version is requested once the group has committed the withdrawal.
        if host.is_settled()
            && let Some(shape) = withdrawn.take()
            && let Some(previous) = host.with_state(|state| state.previous_version(shape)).flatten()
        {
            spawner.spawn(revert_version(host.clone(), shape, previous));
        }
        let rolled = host.service.store.borrow_mut().roll(false);
        match rolled {
            Ok(Some(file)) => info!(host.log(), "records rolled"; "file" => file),
            Ok(None) => {}
            Err(error) => drop(on_disk_failure(host, &error.to_string())),
        }
        if host.is_settled() {
            host.member.compact_log(|data| match host.with_unleased_state(|state| state.snapshot()) {
                Some(snapshot) => snapshot.iter().map(encode_record).collect(),
                None => data,
            });
        }
    }
}

/// Asks the control service to apply the version before a withdrawn one again.
async fn revert_version(host: Rc<KeeperHost>, shape: u64, previous: ShapeConfig) {
    let form = Box::new(ShapeConfig { version: 0, ..previous });
    let request = shape_messages::Request::Apply {
        form,
        expect: Some(shape),
        by: format!("audit, withdrawing {shape}"),
    };
    let controls = &host.service.upstreams.control_services;
    for attempt in 0..REVERT_ATTEMPTS * controls.len().max(1) {
        let address = controls[attempt % controls.len()];
        let exchange = async {
            let stream =
                subscribe(address, &shape_messages::encode_line(&request), connection_settings().connect)
                    .await?;
            let mut lines = LineReader::new(&stream, connection_settings().bytes);
            let line = with_timeout(connection_settings().silence, "silent", lines.next_line()).await?;
            serde_json::from_slice::<shape_messages::Response>(&line).map_err(|error| error.to_string())
        };
        match exchange.await {
            Ok(shape_messages::Response::Event(_)) => {
                info!(host.log(), "goes back"; "from" => shape);
                return;
            }
            // Another change has to end first. It may be the one that introduced this version.
            Ok(shape_messages::Response::Refused(reasons))
                if reasons.iter().any(|reason| reason.contains("under way")) =>
            {
                Timer::after(LEASE_CHECK_INTERVAL * 5).await;
                continue;
            }
            Ok(shape_messages::Response::Refused(reasons)) => {
                warn!(host.log(), "not gone back"; "from" => shape, "why" => reasons.join("; "));
                return;
            }
            _ => Timer::after(LEASE_CHECK_INTERVAL).await,
        };
    }
}

/// Follows the control service. The keeper receives complete versions with all branches.
struct ShapeFollower(Rc<KeeperHost>);

impl Member for ShapeFollower {
    fn hello(&self) -> String {
        shape_messages::subscribe_all_line(self.version(), self.0.name())
    }

    fn version(&self) -> u64 {
        self.0.service.version.borrow().as_ref().map_or(0, |shape| shape.version)
    }

    fn now(&self) -> Moment {
        self.0.now()
    }

    fn report(&self) -> ShapeReport {
        ShapeReport { version: self.version(), ..ShapeReport::default() }
    }

    async fn hear(&self, message: Heard) {
        if let Heard::Version { shape, .. } = message {
            let now = self.now();
            self.0.with_unleased_state(|state| state.shape_published(&shape, now));
            *self.0.service.version.borrow_mut() = Some(shape);
        }
    }
}

/// Follows the purge service, to know the number of the last purge.
struct PurgeFollower(Rc<KeeperHost>);

impl purges::Hands for PurgeFollower {
    async fn apply(&mut self, _: Vec<Action>, last: u64, _: bool) {
        if last > self.0.service.last_purge.replace(last) {
            let now = self.0.now();
            self.0.with_unleased_state(|state| state.purges_published(last, now));
        }
    }
}

/// Serves a connection: reports of a process, or a single request of an operator.
async fn serve_connection(
    host: &KeeperHost,
    lines: &mut LineReader<'_>,
    first: Vec<u8>,
) -> Result<(), String> {
    let (mut line, stream) = (first, lines.stream());
    loop {
        if let Ok(ProcessMessage::Report(report)) = serde_json::from_slice(&line) {
            let answer = handle_report(host, &report).await?;
            let is_redirect = matches!(answer, KeeperMessage::NotLeader { .. });
            write_message(stream, &answer).await?;
            if is_redirect {
                return Ok(());
            }
            line = with_timeout(PEER_TIMEOUT, "silent", lines.next_line()).await?;
            continue;
        }
        // A request about the group may also follow reports on the same connection.
        if let Some(answer) = host.answer_group_request(&line) {
            return write_message(stream, &answer).await;
        }
        let answer = match serde_json::from_slice::<OperatorRequest>(&line) {
            Ok(request) => {
                let now = host.now();
                host.with_state_or(
                    |state| state.answer_operator(&request, now),
                    |leader_address| OperatorResponse::NotLeader { leader_address },
                )
            }
            Err(error) => OperatorResponse::Refused(format!("request can't be parsed: {error}")),
        };
        return write_message(stream, &answer).await;
    }
}

/// Handles a report. It is answered once all new links in it are synced.
async fn handle_report(host: &KeeperHost, report: &Report) -> Result<KeeperMessage, String> {
    let redirect = |leader_address| KeeperMessage::NotLeader { leader_address };
    let now = host.now();
    let Some(new_links) = host.with_state(|state| state.on_report(report, now)) else {
        return Ok(redirect(host.member.leader_service_address()));
    };
    if !new_links.is_empty() {
        host.service.append(&new_links).map_err(|reason| on_disk_failure(host, &reason))?;
        host.service.wait_synced().await?;
    }
    let now = host.now();
    Ok(host.with_state_or(|state| state.answer_report(report, now), redirect))
}
