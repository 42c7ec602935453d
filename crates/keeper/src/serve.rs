//! The keeper on sockets: one thread; one task turns the state machine, one makes links safe with a sync for all that came
//! meanwhile, and one serves each connection. It is a member of a group, alone or with others; whoever leads takes reports.
//! It follows the control service and the service of purges, to know what is due.
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
use harestage_purge::follower::Action;
use harestage_purge::messages::Past;
use harestage_seats::host::{Host, Hosted, LOOK, Listening, STALL, say};
use harestage_seats::{Council, CouncilStart, until};
use harestage_shape::config::ShapeConfig;
use harestage_shape::control::HubReport as ShapeReport;
use harestage_shape::messages as shape_lines;
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

const BEAT: Duration = Duration::from_millis(100);
/// Links that came within as long are made safe with one sync.
const SYNC_EVERY: Duration = Duration::from_millis(5);
/// A report with as many links as one takes.
const LONGEST_LINE: usize = 4 << 20;
const MOST_CONNECTIONS: usize = 8_192;
/// A version that is to be taken back is asked for so often.
const TRIES: usize = 12;

/// What the keeper follows.
#[derive(Clone, Debug, Default)]
pub struct Follows {
    pub controls: Vec<SocketAddr>,
    pub purges: Vec<SocketAddr>,
}

fn terms() -> Line {
    Line {
        connect: Duration::from_millis(400),
        silence: Duration::from_secs(3),
        pause: Duration::from_millis(150),
        report_every: Duration::from_millis(200),
        bytes: 16 << 20,
    }
}

/// What this member keeps beside the group: links on its own disk, and what it has heard.
struct Links {
    store: RefCell<Store>,
    /// What was appended, and what of it is safe.
    appended: Cell<u64>,
    safe: Cell<u64>,
    broken: Cell<bool>,
    /// Something was appended, or is safe, or the disk takes nothing more.
    written: Event,
    /// All links that the disk held at the start, until the first time that this member leads.
    held: RefCell<Vec<Link>>,
    /// The last version that was heard, for whoever takes the keeper up.
    version: RefCell<Option<Box<ShapeConfig>>>,
    purges: Cell<u64>,
    follows: Follows,
}

type Service = Host<Links>;

/// A keeper that listens already.
pub struct Keeper(Listening<Links>);

fn records(data: &[Vec<u8>]) -> Result<Vec<Record>, String> {
    let read = |(n, bytes): (usize, &Vec<u8>)| {
        serde_json::from_slice(bytes).map_err(|why| format!("record {n} can't be read: {why}"))
    };
    data.iter().enumerate().map(read).collect()
}

fn bytes(record: &Record) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_default()
}

/// There was never a keeper that was no group.
fn no_old(_: Option<&[u8]>, _: &[Vec<u8>]) -> Result<Vec<Vec<u8>>, String> {
    Err("the folder holds something else".into())
}

impl Keeper {
    /// One member of the keeper. An error is one line.
    pub fn open(
        listen: SocketAddr,
        folder: &Path,
        start: &CouncilStart,
        follows: Follows,
        log: Logger,
    ) -> Result<Keeper, String> {
        let clock = Clock::start();
        let council = Council::open(start, folder, Vec::new(), no_old, clock, log.clone())
            .map_err(|why| why.to_string())?;
        records(&council.data()).map_err(|why| format!("{}: {why}", folder.display()))?;
        let (store, held) = Store::open(folder).map_err(|why| format!("{}: {why}", folder.display()))?;
        for wrong in &store.wrong {
            warn!(log, "a record can't be read"; "file" => &wrong.file, "row" => wrong.row, "why" => &wrong.why);
        }
        let links = Links {
            store: RefCell::new(store),
            appended: Cell::new(0),
            safe: Cell::new(0),
            broken: Cell::new(false),
            written: Event::new(),
            held: RefCell::new(held),
            version: RefCell::new(None),
            purges: Cell::new(0),
            follows,
        };
        Listening::at(listen, council, links, ConnectionLimit::new(MOST_CONNECTIONS)).map(Keeper)
    }

    /// Serves until `stop` says so; an error if the disk takes nothing more.
    pub fn serve(self, stop: Receiver<()>) -> Result<(), String> {
        let host = self.0.host().clone();
        let done = self.0.serve(async move {
            let _ = stop.recv().await;
        });
        // What is on the log becomes a file, so that usual tools see all of it.
        let rolled = host.hosted.store.borrow_mut().roll(true).map_err(|why| why.to_string());
        done.and_then(|()| match host.hosted.broken.get() {
            true => Err(Links::BROKEN.into()),
            false => rolled.map(drop),
        })
    }
}

impl Hosted for Links {
    type State = KeeperState;
    type Effect = Effect;

    const CALLED: &'static str = "keeper";
    const BROKEN: &'static str = "the disk takes nothing more, or is not this member's";
    const LONGEST_LINE: usize = LONGEST_LINE;

    fn open(host: &Service, data: &[Vec<u8>]) -> Result<(KeeperState, Vec<Effect>), String> {
        let (records, now) = (records(data)?, host.now());
        let (mut keep, effects) = KeeperState::open(&records, now);
        if let Some(form) = host.hosted.version.borrow().as_ref() {
            keep.shape_published(form, now);
        }
        keep.purges_published(host.hosted.purges.get(), now);
        // What this disk has of earlier times: chains go on where they stood.
        let held = std::mem::take(&mut *host.hosted.held.borrow_mut());
        keep.restore_links(&held, now);
        info!(host.log(), "takes up the service"; "term" => keep.term(), "links" => held.len());
        Ok((keep, effects))
    }

    fn entry(effect: &Effect) -> Option<Vec<u8>> {
        match effect {
            Effect::Write(record) => Some(bytes(record)),
            Effect::Decided(_) => None,
        }
    }

    fn tell_of(host: &Service, effect: Effect) {
        let Effect::Decided(decision) = effect else { return };
        let words = serde_json::to_string(&decision).unwrap_or_default();
        match &decision {
            Decision::Excluded { member, .. } => {
                warn!(host.log(), "shut out"; "member" => member, "said" => words)
            }
            Decision::ShareRaised { member, share } => {
                info!(host.log(), "let in by a share"; "member" => member, "share" => share.0);
            }
            Decision::Readmitted { member } => info!(host.log(), "let in again"; "member" => member),
            Decision::Withdrawn { shape, .. } => {
                warn!(host.log(), "version withdrawn"; "shape" => shape, "said" => words);
            }
        }
        let now = host.now();
        host.while_leading(|keep| keep.apply_decision(&decision, now));
    }

    fn ready(host: &Service) {
        let links = host.hosted.held.borrow().len();
        info!(host.log(), "ready"; "name" => host.name(), "links" => links);
    }

    fn begin(host: &Rc<Service>, spawner: &Spawner) {
        spawner.spawn(sync(host.clone()));
        let follows = &host.hosted.follows;
        let of_control = Follower(host.clone());
        spawner.spawn(control::follow(of_control, follows.controls.clone(), terms(), host.log().clone()));
        if !follows.purges.is_empty() {
            let (own, services) = (host.clone(), follows.purges.clone());
            spawner.spawn(async move {
                let (name, number, log) = (own.name().to_string(), own.now().micros(), own.log().clone());
                purges::follow(&name, number, Past::Cold, services, terms(), Purges(own), log).await;
            });
        }
    }

    async fn turns(host: &Rc<Service>, spawner: &Spawner) {
        turns(host, spawner).await;
    }

    async fn serve(host: &Service, lines: &mut LineReader<'_>, first: Vec<u8>) -> Result<(), String> {
        serve(host, lines, first).await
    }
}

impl Links {
    fn append(&self, links: &[Link]) -> Result<(), String> {
        if links.is_empty() {
            return Ok(());
        }
        let done = self.store.borrow_mut().append(links);
        self.appended.set(self.appended.get() + links.len() as u64);
        self.written.notify(usize::MAX);
        done.map_err(|why| why.to_string())
    }

    /// Waits until all that was appended is safe.
    async fn safe(&self) -> Result<(), String> {
        let upto = self.appended.get();
        while self.safe.get() < upto {
            if self.broken.get() {
                return Err("the disk takes nothing more".into());
            }
            until(&self.written, LOOK).await;
        }
        Ok(())
    }
}

/// The disk takes nothing more.
fn breaks(service: &Service, why: &str) -> String {
    error!(service.log(), "records not written"; "why" => why);
    service.hosted.broken.set(true);
    service.hosted.written.notify(usize::MAX);
    why.into()
}

async fn sync(service: Rc<Service>) {
    let links = &service.hosted;
    while !links.broken.get() {
        let upto = links.appended.get();
        if links.safe.get() == upto {
            until(&links.written, LOOK).await;
            if links.safe.get() == links.appended.get() {
                continue;
            }
        }
        Timer::after(SYNC_EVERY).await;
        let upto = links.appended.get();
        let done = links.store.borrow_mut().sync().map_err(|why| why.to_string());
        match done {
            Ok(()) => links.safe.set(upto),
            Err(why) => drop(breaks(&service, &why)),
        }
        links.written.notify(usize::MAX);
    }
}

async fn turns(service: &Rc<Service>, spawner: &Spawner) {
    let mut withdrawn = None;
    while !service.council.is_broken() && !service.hosted.broken.get() {
        Timer::after(BEAT).await;
        let now = service.now();
        let effects = service.with(|keep| keep.tick(now)).unwrap_or_default();
        for effect in &effects {
            if let Effect::Decided(Decision::Withdrawn { shape, .. }) = effect {
                withdrawn = Some(*shape);
            }
        }
        if !effects.is_empty() {
            service.carry_out(effects);
        }
        // Asked for once the group has agreed on it.
        if service.is_settled()
            && let Some(shape) = withdrawn.take()
            && let Some(before) = service.with(|keep| keep.previous_version(shape)).flatten()
        {
            spawner.spawn(take_back(service.clone(), shape, before));
        }
        let rolled = service.hosted.store.borrow_mut().roll(false);
        match rolled {
            Ok(Some(file)) => info!(service.log(), "records rolled"; "file" => file),
            Ok(None) => {}
            Err(why) => drop(breaks(service, &why.to_string())),
        }
        if service.is_settled() {
            service.council.tidy(|data| match service.while_leading(|keep| keep.snapshot()) {
                Some(whole) => whole.iter().map(bytes).collect(),
                None => data,
            });
        }
    }
}

/// Asks the control service for the version before the one that is withdrawn.
async fn take_back(service: Rc<Service>, shape: u64, before: ShapeConfig) {
    let form = Box::new(ShapeConfig { version: 0, ..before });
    let call =
        shape_lines::Request::Apply { form, expect: Some(shape), by: format!("audit, withdrawing {shape}") };
    let controls = &service.hosted.follows.controls;
    for n in 0..TRIES * controls.len().max(1) {
        let at = controls[n % controls.len()];
        let said = async {
            let stream = subscribe(at, &shape_lines::encode_line(&call), terms().connect).await?;
            let mut lines = LineReader::new(&stream, terms().bytes);
            let line = with_timeout(terms().silence, "silent", lines.next_line()).await?;
            serde_json::from_slice::<shape_lines::Response>(&line).map_err(|why| why.to_string())
        };
        match said.await {
            Ok(shape_lines::Response::Event(_)) => {
                info!(service.log(), "goes back"; "from" => shape);
                return;
            }
            // Another change has to end first; it may be the one that brought this version.
            Ok(shape_lines::Response::Refused(why)) if why.iter().any(|why| why.contains("under way")) => {
                Timer::after(LOOK * 5).await;
                continue;
            }
            Ok(shape_lines::Response::Refused(why)) => {
                warn!(service.log(), "not gone back"; "from" => shape, "why" => why.join("; "));
                return;
            }
            _ => Timer::after(LOOK).await,
        };
    }
}

/// The keeper as a member of the control service: it is told whole versions, with all branches.
struct Follower(Rc<Service>);

impl Member for Follower {
    fn hello(&self) -> String {
        shape_lines::subscribe_all_line(self.version(), self.0.name())
    }

    fn version(&self) -> u64 {
        self.0.hosted.version.borrow().as_ref().map_or(0, |form| form.version)
    }

    fn now(&self) -> Moment {
        self.0.now()
    }

    fn report(&self) -> ShapeReport {
        ShapeReport { version: self.version(), ..ShapeReport::default() }
    }

    async fn hear(&self, heard: Heard) {
        if let Heard::Version { shape, .. } = heard {
            let now = self.now();
            self.0.while_leading(|keep| keep.shape_published(&shape, now));
            *self.0.hosted.version.borrow_mut() = Some(shape);
        }
    }
}

struct Purges(Rc<Service>);

impl purges::Hands for Purges {
    async fn apply(&mut self, _: Vec<Action>, has: u64, _: bool) {
        if has > self.0.hosted.purges.replace(has) {
            let now = self.0.now();
            self.0.while_leading(|keep| keep.purges_published(has, now));
        }
    }
}

async fn serve(service: &Service, lines: &mut LineReader<'_>, first: Vec<u8>) -> Result<(), String> {
    let (mut next, stream) = (first, lines.stream());
    loop {
        if let Ok(ProcessMessage::Report(report)) = serde_json::from_slice(&next) {
            let answer = audited(service, &report).await?;
            let elsewhere = matches!(answer, KeeperMessage::NotLeader { .. });
            say(stream, &answer).await?;
            if elsewhere {
                return Ok(());
            }
            next = with_timeout(STALL, "silent", lines.next_line()).await?;
            continue;
        }
        // Staff may ask for the group on a line that reports came on.
        if let Some(answer) = service.of_group(&next) {
            return say(stream, &answer).await;
        }
        let answer = match serde_json::from_slice::<OperatorRequest>(&next) {
            Ok(call) => {
                let now = service.now();
                service.or_elsewhere(
                    |keep| keep.answer_operator(&call, now),
                    |serves| OperatorResponse::NotLeader { leader_address: serves },
                )
            }
            Err(why) => OperatorResponse::Refused(format!("the call can't be read: {why}")),
        };
        return say(stream, &answer).await;
    }
}

/// A report is answered once all that is new in it is safe.
async fn audited(service: &Service, report: &Report) -> Result<KeeperMessage, String> {
    let elsewhere = |serves| KeeperMessage::NotLeader { leader_address: serves };
    let now = service.now();
    let Some(new) = service.with(|keep| keep.on_report(report, now)) else {
        return Ok(elsewhere(service.council.elsewhere()));
    };
    if !new.is_empty() {
        service.hosted.append(&new).map_err(|why| breaks(service, &why))?;
        service.hosted.safe().await?;
    }
    let now = service.now();
    Ok(service.or_elsewhere(|keep| keep.answer_report(report, now), elsewhere))
}
