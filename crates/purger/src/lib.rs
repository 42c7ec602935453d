//! The service of purges on sockets and disk: one thread; one task turns the state machine of `harestage_purge`, and
//! one for each connection of a member or a client. Nothing here decides.
//!
//! All that came within a turn is written with one sync, and told after it: what was not synced is told to nobody.
use async_channel::Receiver;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use harestage::time::Span;
use harestage_purge::lines::{Answer, Call, Confirm, MemberStatus, Status, ToMember, line};
use harestage_purge::order::{Entry, Item, Limit};
use harestage_purge::promise::Report;
use harestage_purge::service::{Effect, Service};
use harestage_segments::{Folder, Log};
use harestage_sockets::accept::{Open, accept};
use harestage_sockets::clock::Clock;
use harestage_sockets::lines::{Lines, within, write_text};
use harestage_sockets::{Spawner, Stream};
use slog::{Logger, error, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

const BEAT: Duration = Duration::from_millis(20);
/// A peer that says nothing, or takes nothing, for as long is ended.
const STALL: Duration = Duration::from_secs(5);
const LONGEST_LINE: usize = 64 << 10;
const SEGMENT: usize = 8 << 20;
const MOST_CONNECTIONS: usize = 8_192;
/// Reports that are kept for whoever waits for them.
const MOST_REPORTS: usize = 65_536;
/// Purges are kept for members that were away; one that was away for longer drops all that is older.
const KEPT: Span = Span::millis(3_600_000);
/// The log is looked at so often, and written anew when so many entries have come since it last was.
const LOOK_BACK: Duration = Duration::from_secs(10);
const WHOLE_AFTER: usize = 100_000;
/// Purges a second and at once that a tenant may ask for.
const LIMIT: Limit = Limit { rate: 200.0, burst: 2_000.0 };

struct Keeper {
    service: RefCell<Service>,
    log: RefCell<Log<Folder>>,
    clock: Clock,
    logger: Logger,
    /// Items in the order in which they may be told: all of them are on disk.
    told: RefCell<VecDeque<Item>>,
    reports: RefCell<BTreeMap<u64, Report>>,
    /// Entries since the log was last written whole.
    since_whole: Cell<usize>,
    broken: Cell<bool>,
    news: Event,
}

/// A service that listens already.
pub struct Purger {
    keeper: Rc<Keeper>,
    listener: Async<TcpListener>,
}

impl Purger {
    /// Takes the service up from its log. An error is one line.
    pub fn open(listen: SocketAddr, folder: &Path, logger: Logger) -> Result<Purger, String> {
        let named = |why: String| format!("{}: {why}", folder.display());
        let files = Folder::open(folder).map_err(|why| match why.kind() {
            std::io::ErrorKind::WouldBlock => named("another service holds it".into()),
            _ => named(why.to_string()),
        })?;
        let (mut log, found) = Log::open(files, SEGMENT).map_err(|why| named(why.to_string()))?;
        let wrong =
            |number: u64, why: serde_json::Error| named(format!("record {number} can't be read: {why}"));
        let mut entries: Vec<Entry> = match &found.snapshot {
            Some(whole) => serde_json::from_slice(&whole.bytes).map_err(|why| wrong(whole.number, why))?,
            None => Vec::new(),
        };
        for record in &found.records {
            entries.push(serde_json::from_slice(&record.bytes).map_err(|why| wrong(record.number, why))?);
        }
        let clock = Clock::start();
        let (service, effects) = Service::open(&entries, LIMIT, clock.now());
        for effect in &effects {
            if let Effect::Write(entry) = effect {
                append(&mut log, entry).map_err(named)?;
            }
        }
        log.sync().map_err(|why| named(why.to_string()))?;
        let listener = Async::<TcpListener>::bind(listen)
            .map_err(|why| format!("key listen: {listen} can't be listened on: {why}"))?;
        let keeper = Keeper {
            service: RefCell::new(service),
            log: RefCell::new(log),
            clock,
            logger,
            told: RefCell::default(),
            reports: RefCell::default(),
            since_whole: Cell::new(entries.len()),
            broken: Cell::new(false),
            news: Event::new(),
        };
        Ok(Purger { keeper: Rc::new(keeper), listener })
    }

    /// Serves until `stop` says so; an error if the log could not be written.
    pub fn serve(self, stop: Receiver<()>) -> Result<(), String> {
        let (spawner, keeper) = (Spawner::default(), self.keeper);
        info!(keeper.logger, "ready"; "term" => keeper.service.borrow().term(),
            "last" => keeper.service.borrow().last());
        let stopped = async {
            let _ = stop.recv().await;
        };
        let work = async {
            spawner.spawn(listen(keeper.clone(), self.listener, spawner.clone()));
            or(turns(&keeper), stopped).await;
        };
        spawner.block_on(work);
        if keeper.broken.get() { Err("the log can't be written".into()) } else { Ok(()) }
    }
}

fn append(log: &mut Log<Folder>, entry: &Entry) -> Result<(), String> {
    let bytes = serde_json::to_vec(entry).unwrap_or_default();
    log.append(&bytes).map(drop).map_err(|why| why.to_string())
}

impl Keeper {
    /// Writes, syncs once, and tells after it. False: the log is broken, and nothing may be told any more.
    fn carry_out(&self, effects: Vec<Effect>) -> bool {
        if self.broken.get() {
            return false;
        }
        let mut log = self.log.borrow_mut();
        let writes =
            effects.iter().filter_map(|e| if let Effect::Write(entry) = e { Some(entry) } else { None });
        let many = effects.iter().filter(|effect| matches!(effect, Effect::Write(_))).count();
        self.since_whole.set(self.since_whole.get() + many);
        let mut wrote = writes.map(|entry| append(&mut log, entry)).find(Result::is_err).unwrap_or(Ok(()));
        wrote = wrote.and_then(|()| log.sync().map(drop).map_err(|why| why.to_string()));
        if let Err(why) = wrote {
            error!(self.logger, "log not written"; "why" => why);
            self.broken.set(true);
            self.news.notify(usize::MAX);
            return false;
        }
        for effect in effects {
            match effect {
                Effect::Write(_) => {}
                Effect::Tell(item) => {
                    info!(self.logger, "told"; "item" => serde_json::to_string(&item).unwrap_or_default());
                    let mut told = self.told.borrow_mut();
                    told.push_back(item);
                    if told.len() > MOST_REPORTS {
                        told.pop_front();
                    }
                }
                Effect::Report(report) => {
                    let words = serde_json::to_string(&report).unwrap_or_default();
                    match report.kept {
                        true => info!(self.logger, "reached"; "report" => words),
                        false => warn!(self.logger, "reached late"; "report" => words),
                    }
                    let mut reports = self.reports.borrow_mut();
                    reports.insert(report.number, report);
                    if reports.len() > MOST_REPORTS {
                        reports.pop_first();
                    }
                }
            }
        }
        self.news.notify(usize::MAX);
        true
    }

    /// Forgets what is old, and writes the log anew once it has grown.
    fn forget(&self) {
        let now = self.clock.now();
        let effects = self.service.borrow_mut().forget_before(now.before(KEPT).micros() / 1_000, now);
        if !self.carry_out(effects) || self.since_whole.get() < WHOLE_AFTER {
            return;
        }
        let whole = serde_json::to_vec(&self.service.borrow().whole()).unwrap_or_default();
        match self.log.borrow_mut().snapshot(&whole) {
            Ok(upto) => {
                info!(self.logger, "log written anew"; "upto" => upto, "bytes" => whole.len());
                self.since_whole.set(0);
            }
            Err(why) => {
                error!(self.logger, "log not written"; "why" => %why);
                self.broken.set(true);
                self.news.notify(usize::MAX);
            }
        }
    }

    async fn until_news(&self, at_most: Duration) {
        let news = self.news.listen();
        or(news, async {
            Timer::after(at_most).await;
        })
        .await;
    }
}

async fn turns(keeper: &Keeper) {
    let mut looked = Instant::now();
    while !keeper.broken.get() {
        Timer::after(BEAT).await;
        if looked.elapsed() > LOOK_BACK {
            looked = Instant::now();
            keeper.forget();
        }
        let effects = keeper.service.borrow_mut().beat(keeper.clock.now());
        if !effects.is_empty() {
            keeper.carry_out(effects);
        }
    }
}

async fn listen(keeper: Rc<Keeper>, listener: Async<TcpListener>, spawner: Spawner) {
    let logger = keeper.logger.clone();
    let one = move |stream| {
        let keeper = keeper.clone();
        async move {
            let why = serve(&keeper, &stream).await.err().unwrap_or_default();
            if !why.is_empty() {
                info!(keeper.logger, "connection ended"; "why" => why);
            }
        }
    };
    let failed = |why| warn!(logger, "accept failed"; "why" => %why);
    accept(listener, Open::new(MOST_CONNECTIONS), spawner, one, failed).await;
}

async fn serve(keeper: &Keeper, stream: &Stream) -> Result<(), String> {
    let mut lines = Lines::new(stream, LONGEST_LINE);
    let first = within(STALL, "too slow", lines.next()).await?;
    if let Ok(confirm) = serde_json::from_slice::<Confirm>(&first) {
        return member(keeper, &mut lines, confirm).await;
    }
    match serde_json::from_slice::<Call>(&first) {
        Ok(call) => client(keeper, stream, call).await,
        Err(why) => {
            let refused = Answer::Refused(format!("the call can't be read: {why}"));
            write_text(stream, &line(&refused), STALL).await
        }
    }
}

/// A member: each of its lines is answered with what it lacks, and what is new is told at once.
async fn member(keeper: &Keeper, lines: &mut Lines<'_>, first: Confirm) -> Result<(), String> {
    if !first.is_named_well() {
        return Err("a member of no usable name".into());
    }
    let (name, stream) = (first.member.clone(), lines.stream());
    let mut next = first;
    loop {
        if next.member != name {
            return Err(format!("{name} calls itself {}", next.member));
        }
        // Up to here it is answered: what comes while the answer is written is news.
        let (missing, effects, answered) = {
            let mut service = keeper.service.borrow_mut();
            let answered = service.last();
            let now = keeper.clock.now();
            let (missing, effects) = service.confirm(&next.member, next.start, next.has, next.told_all, now);
            (missing, effects, answered)
        };
        if !keeper.carry_out(effects) {
            return Err("the log is broken".into());
        }
        let term = keeper.service.borrow().term();
        write_text(stream, &line(&ToMember::of(term, missing)), STALL).await?;
        // What is new is told without being asked; the next line comes in its time.
        let heard = async { Some(lines.next().await) };
        let new = async {
            while keeper.service.borrow().last() == answered && !keeper.broken.get() {
                keeper.news.listen().await;
            }
            None
        };
        let late = async {
            Timer::after(STALL).await;
            Some(Err("it says nothing".to_string()))
        };
        let line = match or(or(heard, new), late).await {
            Some(line) => line?,
            None => {
                let (term, items) = news(keeper, answered)?;
                write_text(stream, &self::line(&ToMember::Items { term, items }), STALL).await?;
                within(STALL, "it says nothing", lines.next()).await?
            }
        };
        next = serde_json::from_slice(&line).map_err(|why| format!("{name}: an unreadable line: {why}"))?;
    }
}

/// Items after a number that are on disk, and the term of the one who tells them.
fn news(keeper: &Keeper, after: u64) -> Result<(u64, Vec<Item>), String> {
    if keeper.broken.get() {
        return Err("the log is broken".into());
    }
    let told = keeper.told.borrow();
    let items = told.iter().filter(|item| item.number > after).cloned().collect();
    Ok((keeper.service.borrow().term(), items))
}

async fn client(keeper: &Keeper, stream: &Stream, call: Call) -> Result<(), String> {
    let answer = match call {
        Call::Submit { scope, tenant, key } => {
            let taken = keeper.service.borrow_mut().submit(scope, tenant, &key, keeper.clock.now());
            match taken {
                Ok((number, promise, effects)) => match keeper.carry_out(effects) {
                    true => Answer::Accepted { number, promise },
                    false => Answer::Refused("the log can't be written: nothing was begun".into()),
                },
                Err(why) => Answer::Refused(why.to_string()),
            }
        }
        Call::Wait { number } => loop {
            if let Some(report) = keeper.reports.borrow().get(&number).cloned() {
                break Answer::Report(report);
            }
            if number == 0 || number > keeper.service.borrow().last() {
                break Answer::Refused(format!("there is no purge {number}"));
            }
            if keeper.broken.get() {
                return Err("the log is broken".into());
            }
            keeper.until_news(STALL).await;
        },
        Call::Status => Answer::Status(status(keeper)),
        Call::List => Answer::List(keeper.service.borrow().live()),
    };
    write_text(stream, &line(&answer), STALL).await
}

fn status(keeper: &Keeper) -> Status {
    let service = keeper.service.borrow();
    let members = service.members();
    let each = members.names().map(|name| MemberStatus {
        name: name.into(),
        has: members.of(name).map_or(0, |(_, has)| has),
        fenced: members.is_fenced(name),
    });
    let members = each.collect();
    let (term, last, open) = (service.term(), service.last(), service.open_purges());
    Status { term, last, open, promise: service.promise(), members }
}
