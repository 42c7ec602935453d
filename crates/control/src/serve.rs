//! The control service on sockets: one thread; one task turns the state machine, and one for each connection of a
//! member, an operator or a router. It is a member of a group, alone or with others: whoever leads runs the state machine
//! on what the group has agreed on, and only it tells anyone anything, while it knows that it still leads.
use crate::journal;
use async_channel::Receiver;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use harestage_seats::{Council, CouncilStart, News, Waiting};
use harestage_shape::control::{Control, Effect, Said, Standing};
use harestage_shape::feed;
use harestage_shape::form::ShapeForm;
use harestage_shape::lines::{self, Answer, Call, FromMember, ToMember};
use harestage_shape::plan;
use harestage_shape::tree::Shape;
use harestage_sites::direct::{self, Director};
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
/// How often whoever waits looks whether this member still speaks.
const LOOK: Duration = Duration::from_millis(200);
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
    council: Rc<Council>,
    /// None: this member does not lead.
    director: RefCell<Option<Director>>,
    /// The shape to begin with, where nothing was agreed on yet.
    first: Option<ShapeForm>,
    /// What waits for the group to agree on the record at its head.
    waiting: Waiting<Effect>,
    /// The newest version that may be told.
    told: Cell<u64>,
    clock: Clock,
    log: Logger,
    name: String,
    /// Where this member is, as a witness of other sites.
    site: String,
    /// What was said lately, with its number.
    said: RefCell<VecDeque<(u64, Said)>>,
    numbered: Cell<u64>,
    /// Connections of members, operators and routers together.
    open: Open,
    /// Something was published or said.
    news: Event,
}

/// A service that listens already.
pub struct Keeper {
    service: Rc<Service>,
    listener: Async<TcpListener>,
    group_listen: Option<SocketAddr>,
}

impl Keeper {
    /// A group of one: takes up the service where its journal ends, or with a first shape where there is none. An error
    /// is one line.
    pub fn open(
        listen: SocketAddr,
        journal: &Path,
        first: Option<&ShapeForm>,
        log: Logger,
    ) -> Result<Keeper, String> {
        Keeper::open_member(listen, journal, first, &CouncilStart::alone("control"), log)
    }

    /// One member of a group.
    pub fn open_member(
        listen: SocketAddr,
        journal: &Path,
        first: Option<&ShapeForm>,
        start: &CouncilStart,
        log: Logger,
    ) -> Result<Keeper, String> {
        let clock = Clock::start();
        let council = Council::open(start, journal, Vec::new(), journal::read_old, clock, log.clone())
            .map_err(|why| why.to_string())?;
        if council.data().is_empty() && first.is_none() && !start.founders.is_empty() {
            return Err("the journal is empty, and no first shape was given".into());
        }
        // A shape that does not hold is refused before anything listens.
        let records = journal::records(&council.data())?;
        if let Some(first) = first {
            Control::open(&records, Some(first), clock.now()).map_err(|why| format!("first shape: {why}"))?;
        }
        let listener = Async::<TcpListener>::bind(listen)
            .map_err(|why| format!("key listen: {listen} can't be listened on: {why}"))?;
        let service = Service {
            council,
            director: RefCell::new(None),
            first: first.cloned(),
            waiting: Waiting::default(),
            told: Cell::new(0),
            clock,
            log,
            name: start.name.clone(),
            site: start.site(),
            said: RefCell::default(),
            numbered: Cell::new(0),
            open: Open::new(MOST_CONNECTIONS),
            news: Event::new(),
        };
        Ok(Keeper { service: Rc::new(service), listener, group_listen: start.listen })
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.get_ref().local_addr().ok()
    }

    /// Serves until `stop` says so; an error if the journal could not be written.
    pub fn serve(self, stop: Receiver<()>) -> Result<(), String> {
        let spawner = Spawner::default();
        let service = self.service.clone();
        info!(service.log, "ready"; "name" => &service.name);
        let stopped = async {
            let _ = stop.recv().await;
        };
        let hearing = service.clone();
        let work = async {
            service.council.run(self.group_listen, &spawner, move |news| hearing.hear_news(news))?;
            spawner.spawn(listen(service.clone(), self.listener, spawner.clone()));
            spawner.spawn(branch_feeds(service.clone(), spawner.clone()));
            or(turns(&service), stopped).await;
            Ok(())
        };
        spawner.block_on(work).and_then(|()| match service.council.is_broken() {
            true => Err("the journal can't be written, or is not this member's".into()),
            false => Ok(()),
        })
    }
}

impl Service {
    /// What the group has agreed on, and who leads it.
    fn hear_news(&self, news: News) {
        match news {
            News::Agreed(agreed) => {
                self.waiting.agreed(&agreed.data);
                self.release();
            }
            News::Leads => self.take_up(),
            News::SteppedDown | News::Replaced => self.lay_down(),
            News::Broken => {
                self.lay_down();
                error!(self.log, "journal not written");
            }
        }
    }

    /// Runs the state machine from what was agreed on.
    fn take_up(&self) {
        let opened = journal::records(&self.council.data()).and_then(|records| {
            Director::open(&records, self.first.as_ref(), self.clock.now()).map_err(|why| why.to_string())
        });
        match opened {
            Ok((director, effects)) => {
                let control = director.control();
                info!(self.log, "takes up the service"; "term" => control.term(),
                    "version" => control.shape().version());
                self.lay_down();
                *self.director.borrow_mut() = Some(director);
                self.carry_out(effects);
            }
            Err(why) => error!(self.log, "service not taken up"; "why" => why),
        }
    }

    fn lay_down(&self) {
        *self.director.borrow_mut() = None;
        self.waiting.clear();
        self.told.set(0);
        self.news.notify(usize::MAX);
    }

    /// Carries effects out in their order, each once the records before it are agreed on.
    fn carry_out(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Write(record) => {
                    let record = journal::bytes(&record);
                    self.waiting.behind(record.clone());
                    if self.council.want(record).is_err() {
                        return self.lay_down();
                    }
                }
                effect => self.waiting.push(effect),
            }
        }
        // All that came within this turn goes to disk with one sync.
        self.council.pump();
        while let Some(news) = self.council.take_news() {
            self.hear_news(news);
        }
        self.release();
    }

    /// What waits for nothing any more.
    fn release(&self) {
        while let Some(effect) = self.waiting.next() {
            self.tell_of(effect);
        }
    }

    fn tell_of(&self, effect: Effect) {
        match effect {
            Effect::Write(_) => {}
            Effect::Publish(version) => {
                info!(self.log, "published"; "version" => version);
                self.told.set(self.told.get().max(version));
            }
            Effect::Say(said) => {
                if let Said::Site { site, is, why } = &said {
                    info!(self.log, "site"; "site" => site, "is" => standing(is), "why" => why);
                }
                info!(self.log, "change"; "said" => serde_json::to_string(&said).unwrap_or_default());
                self.numbered.set(self.numbered.get() + 1);
                let mut all = self.said.borrow_mut();
                all.push_back((self.numbered.get(), said));
                if all.len() > MOST_SAID {
                    all.pop_front();
                }
            }
        }
        self.news.notify(usize::MAX);
    }

    /// Whether this member may tell anyone anything now.
    fn speaks(&self) -> bool {
        self.council.may_speak() && self.director.borrow().is_some()
    }

    /// Looks at the state, if it is this member's to look at.
    fn with<T>(&self, look: impl FnOnce(&mut Director) -> T) -> Option<T> {
        self.council.may_speak().then_some(())?;
        self.director.borrow_mut().as_mut().map(look)
    }

    async fn until_news(&self, at_most: Duration) {
        let news = self.news.listen();
        or(news, async {
            Timer::after(at_most).await;
        })
        .await;
    }
}

/// As the journal words it.
fn standing(is: &Standing) -> String {
    let word = serde_json::to_value(is).ok();
    word.and_then(|word| word.as_str().map(str::to_string)).unwrap_or_default()
}

async fn turns(service: &Service) {
    while !service.council.is_broken() {
        Timer::after(BEAT).await;
        let now = service.clock.now();
        let effects =
            service.with(|director| director.beat(&service.name, &service.site, now)).unwrap_or_default();
        if !effects.is_empty() {
            service.carry_out(effects);
        }
        service.council.tidy(journal::shortened);
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
        return or(hear(service, &mut lines, name), tell(service, stream, last, Place::Hub(name))).await;
    }
    if let Some((last, name)) = lines::read_subscribe_all(&text) {
        lines.most = LONGEST_REPORT;
        return or(hear(service, &mut lines, name), tell(service, stream, last, Place::All)).await;
    }
    if let Some((last, name, branch)) = lines::read_subscribe_branch(&text) {
        lines.most = LONGEST_REPORT;
        return or(hear(service, &mut lines, name), tell(service, stream, last, Place::Branch(branch))).await;
    }
    if let Ok(call) = serde_json::from_slice::<harestage_seats::Call>(&line) {
        let answer = service.council.answer(&call);
        return write(stream, &lines::line(&answer)).await.err().unwrap_or_default();
    }
    if let Ok(call) = serde_json::from_slice::<direct::Call>(&line) {
        let answer = of_sites(service, call);
        return write(stream, &lines::line(&answer)).await.err().unwrap_or_default();
    }
    match serde_json::from_slice(&line) {
        Ok(call) => answer(service, stream, call).await.err().unwrap_or_default(),
        Err(why) => {
            let refused = Answer::Refused(vec![format!("the call can't be read: {why}")]);
            write(stream, &lines::line(&refused)).await.err().unwrap_or_default()
        }
    }
}

fn of_sites(service: &Service, call: direct::Call) -> direct::Answer {
    let now = service.clock.now();
    match service.with(|director| director.answer(call, now)) {
        Some((answer, effects)) => {
            service.carry_out(effects);
            answer
        }
        None => direct::Answer::Elsewhere { serves: service.council.elsewhere() },
    }
}

/// Tells a member or an operator who does speak.
async fn elsewhere(service: &Service, stream: &Stream) -> String {
    let serves = service.council.elsewhere();
    let _ = write(stream, &lines::line(&ToMember::Elsewhere { serves })).await;
    String::new()
}

/// What a member is, for what it is told of a version.
#[derive(Clone, Copy)]
enum Place<'a> {
    Hub(&'a str),
    Branch(&'a str),
    All,
}

/// Versions to a member, each whole; one that was away gets the newest only. With each go the plans for its place.
async fn tell(service: &Service, stream: &Stream, mut last: u64, place: Place<'_>) -> String {
    loop {
        if !service.speaks() {
            return elsewhere(service, stream).await;
        }
        // What was not agreed on must not be told, though the state has it already.
        let told = service.told.get();
        let version = service.with(|director| {
            let control = director.control();
            let shape = control.version(told).filter(|shape| shape.version() > last)?;
            let (form, plans) = match place {
                Place::Hub(hub) => (feed::for_hubs(shape), director.handed(hub)),
                Place::Branch(branch) => (feed::for_branch(shape, branch)?, director.handed(branch)),
                Place::All => (shape.form(), Vec::new()),
            };
            Some(ToMember::Version { term: control.term(), shape: Box::new(form), plans })
        });
        match version.flatten() {
            Some(version) => {
                last = told;
                if let Err(why) = write(stream, &lines::line(&version)).await {
                    return why;
                }
            }
            None => service.until_news(LOOK).await,
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
        let now = service.clock.now();
        let heard = service.with(|director| {
            let (part, effects) = director.hear(name, &report, now);
            let control = director.control();
            let beat = ToMember::Beat { term: control.term(), last: control.shape().version() };
            (part.map_or(beat, ToMember::Part), effects)
        });
        let Some((answer, effects)) = heard else { return elsewhere(service, lines.stream()).await };
        if !effects.is_empty() {
            service.carry_out(effects);
        }
        if let Err(why) = write(lines.stream(), &lines::line(&answer)).await {
            return why;
        }
    }
}

async fn answer(service: &Service, stream: &Stream, call: Call) -> Result<(), String> {
    let now = service.clock.now();
    let refused = |text: String| Answer::Refused(text.lines().map(str::to_string).collect());
    let answer = match call {
        Call::Status => service.with(|director| Answer::Status(Box::new(director.status(now)))),
        Call::Shape => service.with(|director| Answer::Shape(Box::new(director.control().shape().form()))),
        Call::Plan { form } => {
            service.with(|director| match plan::plan(director.control().shape(), &form, now) {
                Ok(plan) => Answer::Plan(Box::new(plan)),
                Err(why) => refused(why.to_string()),
            })
        }
        Call::Apply { form, expect, by } => {
            let from = service.numbered.get();
            match service.with(|director| director.apply(&form, expect, &by, now)) {
                Some(Ok(effects)) => {
                    service.carry_out(effects);
                    return watch(service, stream, from, true).await;
                }
                Some(Err(why)) => Some(refused(why.to_string())),
                None => None,
            }
        }
        Call::Watch if service.speaks() => {
            return watch(service, stream, service.numbered.get(), false).await;
        }
        Call::Watch => None,
    };
    let answer = answer.unwrap_or_else(|| Answer::Elsewhere { serves: service.council.elsewhere() });
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
        if !service.speaks() {
            let answer = Answer::Elsewhere { serves: service.council.elsewhere() };
            return write(stream, &lines::line(&answer)).await;
        }
        service.until_news(LOOK).await;
    }
}

/// Opens a listener for each branch that has a feed, as versions name them, and closes those that are named no more.
async fn branch_feeds(service: Rc<Service>, spawner: Spawner) {
    let mut open: BTreeMap<(String, String), async_executor::Task<()>> = BTreeMap::new();
    loop {
        // Only who speaks has something to tell routers; they look for it among the feeds that they know.
        let wanted = service
            .with(|director| feed::feeds(director.control().shape(), &service.name))
            .unwrap_or_default();
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
        service.until_news(LOOK).await;
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
        let told = service.told.get();
        let text = service.with(|director| events(director.control(), branch, told, &mut last));
        write(stream, &text.ok_or("this member does not speak")?).await?;
        service.until_news(FEED_BEAT).await;
    }
}

/// All events after `last`, or a beat where there are none.
fn events(control: &Control, branch: &str, newest: u64, last: &mut u64) -> Vec<u8> {
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
                text.extend(feed::event(number, before, control.version(*last), shape, branch));
            }
        }
        *last = number;
    }
    text
}
