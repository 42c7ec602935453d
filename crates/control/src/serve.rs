//! The control service on sockets: one thread; one task turns the state machine, and one for each connection of a
//! member, an operator or a router.
use crate::feed;
use crate::journal::Journal;
use async_channel::Receiver;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use harestage_shape::control::{Control, Effect, Said};
use harestage_shape::form::ShapeForm;
use harestage_shape::lines::{self, Answer, Call, FromMember, ToMember};
use harestage_shape::plan;
use harestage_shape::tree::Shape;
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
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(50);
/// A member or router that takes no line for as long is ended, and one that says nothing at all before its first.
const STALL: Duration = Duration::from_secs(5);
const FEED_BEAT: Duration = Duration::from_millis(500);
/// A whole shape of ten thousand branches fits.
const LONGEST_LINE: usize = 16 << 20;
/// Of a member, which sends nothing but reports.
const LONGEST_REPORT: usize = 256 << 10;
const MOST_CONNECTIONS: usize = 4_096;
/// Sayings that a watcher may be behind.
const MOST_SAID: usize = 1_024;

struct Service {
    control: RefCell<Control>,
    journal: RefCell<Journal>,
    clock: Clock,
    log: Logger,
    /// What was said lately, with its number.
    said: RefCell<VecDeque<(u64, Said)>>,
    numbered: Cell<u64>,
    /// Connections of members, operators and routers together.
    open: Open,
    /// Something was published or said.
    news: Event,
    /// The journal can't be written any more.
    broken: Cell<bool>,
}

/// A service that listens already.
pub struct Keeper {
    service: Rc<Service>,
    listener: Async<TcpListener>,
}

impl Keeper {
    /// Takes up the service where its journal ends, or with a first shape where there is none. An error is one line.
    pub fn open(
        listen: SocketAddr,
        journal: &Path,
        first: Option<&ShapeForm>,
        log: Logger,
    ) -> Result<Keeper, String> {
        let (mut journal, records) = Journal::open(journal).map_err(|why| why.to_string())?;
        let clock = Clock::start();
        if records.is_empty() && first.is_none() {
            return Err("the journal is empty, and no first shape was given".into());
        }
        let (control, effects) =
            Control::open(&records, first, clock.now()).map_err(|why| format!("first shape: {why}"))?;
        let listener = Async::<TcpListener>::bind(listen)
            .map_err(|why| format!("key listen: {listen} can't be listened on: {why}"))?;
        for effect in &effects {
            if let Effect::Write(record) = effect {
                journal.write(record).map_err(|why| format!("journal: {why}"))?;
            }
        }
        let service = Service {
            control: RefCell::new(control),
            journal: RefCell::new(journal),
            clock,
            log,
            said: RefCell::default(),
            numbered: Cell::new(0),
            open: Open::new(MOST_CONNECTIONS),
            news: Event::new(),
            broken: Cell::new(false),
        };
        Ok(Keeper { service: Rc::new(service), listener })
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.get_ref().local_addr().ok()
    }

    /// Serves until `stop` says so; an error if the journal could not be written.
    pub fn serve(self, stop: Receiver<()>) -> Result<(), String> {
        let spawner = Spawner::default();
        let service = self.service.clone();
        info!(service.log, "ready"; "term" => service.control.borrow().term(),
            "version" => service.control.borrow().shape().version());
        let stopped = async {
            let _ = stop.recv().await;
        };
        let work = async {
            spawner.spawn(listen(service.clone(), self.listener, spawner.clone()));
            spawner.spawn(branch_feeds(service.clone(), spawner.clone()));
            or(turns(&service), stopped).await;
        };
        spawner.block_on(work);
        if service.broken.get() { Err("the journal can't be written".into()) } else { Ok(()) }
    }
}

impl Service {
    /// Carries effects out in their order. What can't be written down ends the service: nobody may hear of it.
    fn carry_out(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Write(record) => {
                    if let Err(why) = self.journal.borrow_mut().write(&record) {
                        error!(self.log, "journal not written"; "why" => %why);
                        self.broken.set(true);
                        self.news.notify(usize::MAX);
                        return;
                    }
                }
                Effect::Publish(version) => {
                    info!(self.log, "published"; "version" => version);
                    self.news.notify(usize::MAX);
                }
                Effect::Say(said) => {
                    info!(self.log, "change"; "said" => serde_json::to_string(&said).unwrap_or_default());
                    self.numbered.set(self.numbered.get() + 1);
                    let mut all = self.said.borrow_mut();
                    all.push_back((self.numbered.get(), said));
                    if all.len() > MOST_SAID {
                        all.pop_front();
                    }
                    self.news.notify(usize::MAX);
                }
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

async fn turns(service: &Service) {
    while !service.broken.get() {
        Timer::after(BEAT).await;
        let effects = service.control.borrow_mut().beat(service.clock.now());
        service.carry_out(effects);
    }
}

async fn listen(service: Rc<Service>, listener: Async<TcpListener>, spawner: Spawner) {
    let (log, open) = (service.log.clone(), service.open.clone());
    let one = move |stream| {
        let service = service.clone();
        async move {
            let why = first_line(&service, &stream).await;
            if !why.is_empty() {
                info!(service.log, "connection ended"; "why" => why);
            }
        }
    };
    accept(listener, open, spawner, one, |why| warn!(log, "accept failed"; "why" => %why)).await;
}

async fn in_time<T>(work: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    within(STALL, "too slow", work).await
}

async fn write(stream: &Stream, text: &[u8]) -> Result<(), String> {
    write_text(stream, text, STALL).await
}

async fn first_line(service: &Service, stream: &Stream) -> String {
    let mut lines = Lines::new(stream, LONGEST_LINE);
    let line = match in_time(lines.next()).await {
        Ok(line) => line,
        Err(why) => return why,
    };
    let text = String::from_utf8_lossy(&line).into_owned();
    if let Some((last, name)) = lines::read_subscribe(&text) {
        lines.most = LONGEST_REPORT;
        return or(hear(service, &mut lines, name), tell(service, stream, last)).await;
    }
    match serde_json::from_slice(&line) {
        Ok(call) => answer(service, stream, call).await.err().unwrap_or_default(),
        Err(why) => {
            let refused = Answer::Refused(vec![format!("the call can't be read: {why}")]);
            write(stream, &lines::line(&refused)).await.err().unwrap_or_default()
        }
    }
}

/// Versions to a member, each whole; one that was away gets the newest only.
async fn tell(service: &Service, stream: &Stream, mut last: u64) -> String {
    loop {
        // What was not written down must not be told, though the state has it already.
        if service.broken.get() {
            return "the journal is broken".into();
        }
        let news = {
            let control = service.control.borrow();
            let newest = control.shape();
            (newest.version() > last).then(|| {
                last = newest.version();
                ToMember::Version { term: control.term(), shape: Box::new(feed::for_hubs(newest)) }
            })
        };
        match news {
            Some(version) => {
                if let Err(why) = write(stream, &lines::line(&version)).await {
                    return why;
                }
            }
            None => service.until_news(STALL).await,
        }
    }
}

/// Reports of a member, each answered.
async fn hear(service: &Service, lines: &mut Lines<'_>, name: &str) -> String {
    loop {
        let line = match in_time(lines.next()).await {
            Ok(line) => line,
            Err(why) => return why,
        };
        let Ok(FromMember::Report(report)) = serde_json::from_slice(&line) else {
            return format!("{name}: an unreadable report");
        };
        let (answer, effects) = {
            let mut control = service.control.borrow_mut();
            let (part, effects) = control.hear(name, &report, service.clock.now());
            let beat = ToMember::Beat { term: control.term(), last: control.shape().version() };
            (part.map_or(beat, ToMember::Part), effects)
        };
        service.carry_out(effects);
        if let Err(why) = write(lines.stream(), &lines::line(&answer)).await {
            return why;
        }
    }
}

async fn answer(service: &Service, stream: &Stream, call: Call) -> Result<(), String> {
    let now = service.clock.now();
    let answer = match call {
        Call::Status => Answer::Status(Box::new(service.control.borrow().status(now))),
        Call::Shape => Answer::Shape(Box::new(service.control.borrow().shape().form())),
        Call::Plan { form } => match plan::plan(service.control.borrow().shape(), &form, now) {
            Ok(plan) => Answer::Plan(Box::new(plan)),
            Err(why) => Answer::Refused(why.to_string().lines().map(str::to_string).collect()),
        },
        Call::Apply { form, expect, by } => {
            let from = service.numbered.get();
            let begun = service.control.borrow_mut().apply(&form, expect, &by, now);
            match begun {
                Ok(effects) => {
                    service.carry_out(effects);
                    return watch(service, stream, from, true).await;
                }
                Err(why) => Answer::Refused(why.to_string().lines().map(str::to_string).collect()),
            }
        }
        Call::Watch => return watch(service, stream, service.numbered.get(), false).await,
    };
    write(stream, &lines::line(&answer)).await
}

/// Says on what is said, after the given number; to the end of the change, or for as long as anyone listens.
async fn watch(service: &Service, stream: &Stream, mut after: u64, to_the_end: bool) -> Result<(), String> {
    loop {
        let new: Vec<(u64, Said)> =
            service.said.borrow().iter().filter(|(number, _)| *number > after).cloned().collect();
        for (number, said) in new {
            after = number;
            let ended = matches!(said, Said::Ended { .. });
            write(stream, &lines::line(&Answer::Said(said))).await?;
            if ended && to_the_end {
                return Ok(());
            }
        }
        if service.broken.get() {
            return Err("the journal is broken".into());
        }
        service.until_news(STALL).await;
    }
}

/// Opens a listener for each branch that has a feed, as versions name them, and closes those that are named no more.
async fn branch_feeds(service: Rc<Service>, spawner: Spawner) {
    let mut open: BTreeMap<(String, String), async_executor::Task<()>> = BTreeMap::new();
    loop {
        let wanted = feed::feeds(service.control.borrow().shape());
        open.retain(|feed, task| wanted.contains(feed) && !task.is_finished());
        for feed in wanted {
            if open.contains_key(&feed) {
                continue;
            }
            let (branch, address) = feed.clone();
            let Some(address) = address.parse::<SocketAddr>().ok() else { continue };
            match Async::<TcpListener>::bind(address) {
                Ok(listener) => {
                    let task =
                        spawner.spawn_held(one_feed(service.clone(), listener, branch, spawner.clone()));
                    open.insert(feed, task);
                }
                Err(why) => warn!(service.log, "branch feed not open"; "branch" => branch, "why" => %why),
            }
        }
        service.until_news(STALL).await;
    }
}

async fn one_feed(service: Rc<Service>, listener: Async<TcpListener>, branch: String, spawner: Spawner) {
    info!(service.log, "branch feed open"; "branch" => &branch);
    let (log, open) = (service.log.clone(), service.open.clone());
    let one = move |stream| {
        let (service, branch) = (service.clone(), branch.clone());
        async move {
            let why = router_feed(&service, &stream, &branch).await.err().unwrap_or_default();
            info!(service.log, "router's feed ended"; "branch" => branch, "why" => why);
        }
    };
    accept(listener, open, spawner, one, |why| warn!(log, "accept failed"; "why" => %why)).await;
}

/// The platform's control feed to one router: `SUB N`, then an event for each later version, without a gap.
async fn router_feed(service: &Service, stream: &Stream, branch: &str) -> Result<(), String> {
    let mut lines = Lines::new(stream, 256);
    let line = in_time(lines.next()).await?;
    let first = std::str::from_utf8(&line).ok().and_then(|line| line.trim_end().strip_prefix("SUB "));
    let mut last: u64 = first.and_then(|n| n.parse().ok()).ok_or("no subscription")?;
    loop {
        if service.broken.get() {
            return Err("the journal is broken".into());
        }
        let text = {
            let control = service.control.borrow();
            events(&control, branch, &mut last)
        };
        write(stream, &text).await?;
        service.until_news(FEED_BEAT).await;
    }
}

/// All events after `last`, or a beat where there are none.
fn events(control: &Control, branch: &str, last: &mut u64) -> Vec<u8> {
    let newest = control.shape().version();
    if *last >= newest {
        return feed::beat(newest);
    }
    let mut text = Vec::new();
    while *last < newest {
        let number = *last + 1;
        let version: Option<&Shape> = control.version(number);
        // Versions that are no longer kept say nothing; the first that is kept says the whole.
        match version {
            None => text.extend(feed::nothing(number)),
            Some(shape) => {
                let before = last.checked_sub(1).and_then(|number| control.version(number));
                text.extend(feed::event(before, control.version(*last), shape, branch));
            }
        }
        *last = number;
    }
    text
}
