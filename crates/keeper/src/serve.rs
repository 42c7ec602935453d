//! The keeper on sockets: one thread; one task turns the state machine, one makes links safe with a sync for all that came
//! meanwhile, and one serves each connection. It is a member of a group, alone or with others; whoever leads takes reports.
//! It follows the control service and the service of purges, to know what is due.
use crate::store::Store;
use async_channel::Receiver;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use harestage::time::Moment;
use harestage_audit::chain::Link;
use harestage_audit::keep::{Effect, Keep, Record};
use harestage_audit::lines::{Answer, Call, FromAudited, Report, ToAudited, line};
use harestage_audit::straggle::Decision;
use harestage_following::control::{Heard, Member};
use harestage_following::{Line, control, purges, subscribe};
use harestage_purge::follow::Act;
use harestage_seats::{Council, CouncilStart, News, Waiting};
use harestage_shape::control::Report as ShapeReport;
use harestage_shape::form::ShapeForm;
use harestage_shape::lines as shape_lines;
use harestage_sockets::accept::{Open, accept};
use harestage_sockets::clock::Clock;
use harestage_sockets::lines::{Lines, within, write_text};
use harestage_sockets::{Spawner, Stream};
use slog::{Logger, error, info, warn};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(100);
/// Links that came within as long are made safe with one sync.
const SYNC_EVERY: Duration = Duration::from_millis(5);
const STALL: Duration = Duration::from_secs(5);
/// A report with as many links as one takes.
const LONGEST_LINE: usize = 4 << 20;
const MOST_CONNECTIONS: usize = 8_192;
const LOOK: Duration = Duration::from_millis(200);
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

struct Service {
    council: Rc<Council>,
    /// None: this member does not lead.
    keep: RefCell<Option<Keep>>,
    waiting: Waiting<Effect>,
    store: RefCell<Store>,
    /// What was appended, and what of it is safe.
    appended: Cell<u64>,
    safe: Cell<u64>,
    broken: Cell<bool>,
    /// All links that the disk held at the start, until the first time that this member leads.
    held: RefCell<Vec<Link>>,
    /// The last version that was heard, for whoever takes the keeper up.
    version: RefCell<Option<Box<ShapeForm>>>,
    purges: Cell<u64>,
    follows: Follows,
    clock: Clock,
    log: Logger,
    name: String,
    news: Event,
}

/// A keeper that listens already.
pub struct Keeper {
    service: Rc<Service>,
    listener: Async<TcpListener>,
    group_listen: Option<SocketAddr>,
}

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
        let listener = Async::<TcpListener>::bind(listen)
            .map_err(|why| format!("key listen: {listen} can't be listened on: {why}"))?;
        let service = Service {
            council,
            keep: RefCell::new(None),
            waiting: Waiting::default(),
            store: RefCell::new(store),
            appended: Cell::new(0),
            safe: Cell::new(0),
            broken: Cell::new(false),
            held: RefCell::new(held),
            version: RefCell::new(None),
            purges: Cell::new(0),
            follows,
            clock,
            log,
            name: start.name.clone(),
            news: Event::new(),
        };
        Ok(Keeper { service: Rc::new(service), listener, group_listen: start.listen })
    }

    /// Serves until `stop` says so; an error if the disk takes nothing more.
    pub fn serve(self, stop: Receiver<()>) -> Result<(), String> {
        let (spawner, service) = (Spawner::default(), self.service);
        info!(service.log, "ready"; "name" => &service.name, "links" => service.held.borrow().len());
        let stopped = async {
            let _ = stop.recv().await;
        };
        let hearing = service.clone();
        let work = async {
            service.council.run(self.group_listen, &spawner, move |news| hearing.hear_news(news))?;
            spawner.spawn(listen(service.clone(), self.listener, spawner.clone()));
            spawner.spawn(sync(service.clone()));
            let of_control = Follower(service.clone());
            spawner.spawn(control::follow(
                of_control,
                service.follows.controls.clone(),
                terms(),
                service.log.clone(),
            ));
            if !service.follows.purges.is_empty() {
                let (own, services) = (service.clone(), service.follows.purges.clone());
                spawner.spawn(async move {
                    let (name, number, log) = (own.name.clone(), own.clock.now().micros(), own.log.clone());
                    purges::follow(&name, number, 0, services, terms(), Purges(own), log).await;
                });
            }
            or(turns(&service, &spawner), stopped).await;
            Ok(())
        };
        let done = spawner.block_on(work);
        // What is on the log becomes a file, so that usual tools see all of it.
        let rolled = service.store.borrow_mut().roll(true).map_err(|why| why.to_string());
        done.and_then(|()| match service.broken.get() || service.council.is_broken() {
            true => Err("the disk takes nothing more, or is not this member's".into()),
            false => rolled.map(drop),
        })
    }
}

impl Service {
    fn hear_news(&self, news: News) {
        match news {
            News::Agreed(agreed) => {
                self.waiting.agreed(&agreed.data);
                self.release();
            }
            News::Leads => self.take_up(),
            News::SteppedDown | News::Replaced | News::Broken => self.lay_down(),
        }
    }

    fn take_up(&self) {
        let records = match records(&self.council.data()) {
            Ok(records) => records,
            Err(why) => return error!(self.log, "keeper not taken up"; "why" => why),
        };
        self.lay_down();
        let now = self.clock.now();
        let (mut keep, effects) = Keep::open(&records, now);
        if let Some(form) = self.version.borrow().as_ref() {
            keep.version(form, now);
        }
        keep.purges(self.purges.get(), now);
        // What this disk has of earlier times: chains go on where they stood.
        let held = std::mem::take(&mut *self.held.borrow_mut());
        keep.recall(&held, now);
        info!(self.log, "takes up the service"; "term" => keep.term(), "links" => held.len());
        *self.keep.borrow_mut() = Some(keep);
        self.carry_out(effects);
    }

    fn lay_down(&self) {
        *self.keep.borrow_mut() = None;
        self.waiting.clear();
        self.news.notify(usize::MAX);
    }

    fn carry_out(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Write(record) => {
                    let record = bytes(&record);
                    self.waiting.behind(record.clone());
                    if self.council.want(record).is_err() {
                        return self.lay_down();
                    }
                }
                effect => self.waiting.push(effect),
            }
        }
        self.council.pump();
        while let Some(news) = self.council.take_news() {
            self.hear_news(news);
        }
        self.release();
    }

    fn release(&self) {
        while let Some(effect) = self.waiting.next() {
            let Effect::Decided(decision) = effect else { continue };
            let words = serde_json::to_string(&decision).unwrap_or_default();
            match &decision {
                Decision::Shut { member, .. } => {
                    warn!(self.log, "shut out"; "member" => member, "said" => words)
                }
                Decision::Eased { member, share } => {
                    info!(self.log, "let in by a share"; "member" => member, "share" => share.0);
                }
                Decision::Freed { member } => info!(self.log, "let in again"; "member" => member),
                Decision::Withdrawn { shape, .. } => {
                    warn!(self.log, "version withdrawn"; "shape" => shape, "said" => words);
                }
            }
            let now = self.clock.now();
            self.keep.borrow_mut().iter_mut().for_each(|keep| keep.enter(&decision, now));
        }
        self.news.notify(usize::MAX);
    }

    /// Looks at the state, if it is this member's to look at.
    fn with<T>(&self, look: impl FnOnce(&mut Keep) -> T) -> Option<T> {
        self.council.may_speak().then_some(())?;
        self.keep.borrow_mut().as_mut().map(look)
    }

    fn append(&self, links: &[Link]) -> Result<(), String> {
        if links.is_empty() {
            return Ok(());
        }
        let done = self.store.borrow_mut().append(links);
        self.appended.set(self.appended.get() + links.len() as u64);
        done.map_err(|why| self.breaks(&why.to_string()))
    }

    fn breaks(&self, why: &str) -> String {
        error!(self.log, "records not written"; "why" => why);
        self.broken.set(true);
        self.news.notify(usize::MAX);
        why.into()
    }

    /// Waits until all that was appended is safe.
    async fn safe(&self) -> Result<(), String> {
        let upto = self.appended.get();
        while self.safe.get() < upto {
            if self.broken.get() {
                return Err("the disk takes nothing more".into());
            }
            self.until_news(LOOK).await;
        }
        Ok(())
    }

    async fn until_news(&self, at_most: Duration) {
        let news = self.news.listen();
        or(news, async {
            Timer::after(at_most).await;
        })
        .await;
    }
}

async fn sync(service: Rc<Service>) {
    while !service.broken.get() {
        let upto = service.appended.get();
        if service.safe.get() == upto {
            service.until_news(LOOK).await;
            if service.safe.get() == service.appended.get() {
                continue;
            }
        }
        Timer::after(SYNC_EVERY).await;
        let upto = service.appended.get();
        let done = service.store.borrow_mut().sync().map_err(|why| why.to_string());
        match done {
            Ok(()) => service.safe.set(upto),
            Err(why) => drop(service.breaks(&why)),
        }
        service.news.notify(usize::MAX);
    }
}

async fn turns(service: &Rc<Service>, spawner: &Spawner) {
    let mut withdrawn = None;
    while !service.council.is_broken() && !service.broken.get() {
        Timer::after(BEAT).await;
        let now = service.clock.now();
        let effects = service.with(|keep| keep.beat(now)).unwrap_or_default();
        for effect in &effects {
            if let Effect::Decided(Decision::Withdrawn { shape, .. }) = effect {
                withdrawn = Some(*shape);
            }
        }
        if !effects.is_empty() {
            service.carry_out(effects);
        }
        // Asked for once the group has agreed on it.
        if service.waiting.is_empty()
            && let Some(shape) = withdrawn.take()
            && let Some(before) = service.with(|keep| keep.before(shape)).flatten()
        {
            spawner.spawn(take_back(service.clone(), shape, before));
        }
        let rolled = service.store.borrow_mut().roll(false);
        match rolled {
            Ok(Some(file)) => info!(service.log, "records rolled"; "file" => file),
            Ok(None) => {}
            Err(why) => drop(service.breaks(&why.to_string())),
        }
        let whole = service.keep.borrow().as_ref().map(Keep::whole);
        if service.waiting.is_empty() {
            service.council.tidy(|data| whole.map_or(data, |whole| whole.iter().map(bytes).collect()));
        }
    }
}

/// Asks the control service for the version before the one that is withdrawn.
async fn take_back(service: Rc<Service>, shape: u64, before: ShapeForm) {
    let form = Box::new(ShapeForm { version: 0, ..before });
    let call =
        shape_lines::Call::Apply { form, expect: Some(shape), by: format!("audit, withdrawing {shape}") };
    for n in 0..TRIES * service.follows.controls.len().max(1) {
        let at = service.follows.controls[n % service.follows.controls.len()];
        let said = async {
            let stream = subscribe(at, &shape_lines::line(&call), terms().connect).await?;
            let mut lines = Lines::new(&stream, terms().bytes);
            let line = within(terms().silence, "silent", lines.next()).await?;
            serde_json::from_slice::<shape_lines::Answer>(&line).map_err(|why| why.to_string())
        };
        match said.await {
            Ok(shape_lines::Answer::Said(_)) => {
                info!(service.log, "goes back"; "from" => shape);
                return;
            }
            // Another change has to end first; it may be the one that brought this version.
            Ok(shape_lines::Answer::Refused(why)) if why.iter().any(|why| why.contains("under way")) => {
                Timer::after(LOOK * 5).await;
                continue;
            }
            Ok(shape_lines::Answer::Refused(why)) => {
                warn!(service.log, "not gone back"; "from" => shape, "why" => why.join("; "));
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
        shape_lines::subscribe_all(self.version(), &self.0.name)
    }

    fn version(&self) -> u64 {
        self.0.version.borrow().as_ref().map_or(0, |form| form.version)
    }

    fn now(&self) -> Moment {
        self.0.clock.now()
    }

    fn report(&self) -> ShapeReport {
        ShapeReport { version: self.version(), ..ShapeReport::default() }
    }

    async fn hear(&self, heard: Heard) {
        if let Heard::Version { shape, .. } = heard {
            let now = self.now();
            self.0.keep.borrow_mut().iter_mut().for_each(|keep| keep.version(&shape, now));
            *self.0.version.borrow_mut() = Some(shape);
        }
    }
}

struct Purges(Rc<Service>);

impl purges::Hands for Purges {
    async fn apply(&mut self, _: Vec<Act>, has: u64, _: bool) {
        if has > self.0.purges.replace(has) {
            let now = self.0.clock.now();
            self.0.keep.borrow_mut().iter_mut().for_each(|keep| keep.purges(has, now));
        }
    }
}

async fn listen(service: Rc<Service>, listener: Async<TcpListener>, spawner: Spawner) {
    let log = service.log.clone();
    let one = move |stream| {
        let service = service.clone();
        async move {
            let why = serve(&service, &stream).await.err().unwrap_or_default();
            if !why.is_empty() {
                info!(service.log, "connection ended"; "why" => why);
            }
        }
    };
    let failed = |why| warn!(log, "accept failed"; "why" => %why);
    accept(listener, Open::new(MOST_CONNECTIONS), spawner, one, failed).await;
}

async fn serve(service: &Service, stream: &Stream) -> Result<(), String> {
    let mut lines = Lines::new(stream, LONGEST_LINE);
    let mut next = within(STALL, "too slow", lines.next()).await?;
    loop {
        if let Ok(FromAudited::Audited(report)) = serde_json::from_slice(&next) {
            let answer = audited(service, &report).await?;
            let elsewhere = matches!(answer, ToAudited::Elsewhere { .. });
            write_text(stream, &line(&answer), STALL).await?;
            if elsewhere {
                return Ok(());
            }
            next = within(STALL, "silent", lines.next()).await?;
            continue;
        }
        if let Ok(call) = serde_json::from_slice::<harestage_seats::Call>(&next) {
            return write_text(stream, &line(&service.council.answer(&call)), STALL).await;
        }
        let answer = match serde_json::from_slice::<Call>(&next) {
            Ok(call) => {
                let now = service.clock.now();
                let elsewhere = || Answer::Elsewhere { serves: service.council.elsewhere() };
                service.with(|keep| keep.call(&call, now)).unwrap_or_else(elsewhere)
            }
            Err(why) => Answer::Refused(format!("the call can't be read: {why}")),
        };
        return write_text(stream, &line(&answer), STALL).await;
    }
}

/// A report is answered once all that is new in it is safe.
async fn audited(service: &Service, report: &Report) -> Result<ToAudited, String> {
    let elsewhere = || ToAudited::Elsewhere { serves: service.council.elsewhere() };
    let now = service.clock.now();
    let Some(new) = service.with(|keep| keep.hear(report, now)) else { return Ok(elsewhere()) };
    if !new.is_empty() {
        service.append(&new)?;
        service.news.notify(usize::MAX);
        service.safe().await?;
    }
    let now = service.clock.now();
    Ok(service.with(|keep| keep.answer(report, now)).unwrap_or_else(elsewhere))
}
