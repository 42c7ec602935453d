//! The service of purges on sockets and disk: one thread; one task turns the state machine of `harestage_purge`, and
//! one for each connection of a member or a client. Nothing here decides.
//!
//! It is a member of a group, alone or with others: whoever leads runs the state machine on what the group has agreed on.
//! All that came within a turn is written with one sync, and told once it is agreed on: nobody hears of it before.
use async_channel::Receiver;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use harestage::time::Span;
use harestage_purge::lines::{Answer, Call, Confirm, MemberStatus, Status, ToMember, line};
use harestage_purge::order::{Entry, Item, Limit};
use harestage_purge::promise::Report;
use harestage_purge::service::{Effect, Service};
use harestage_seats::{Council, CouncilStart, News, Waiting};
use harestage_sockets::accept::{Open, accept};
use harestage_sockets::clock::Clock;
use harestage_sockets::lines::{Lines, within, write_text};
use harestage_sockets::{Spawner, Stream};
use slog::{Logger, error, info, warn};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

const BEAT: Duration = Duration::from_millis(20);
/// A peer that says nothing, or takes nothing, for as long is ended.
const STALL: Duration = Duration::from_secs(5);
const LONGEST_LINE: usize = 64 << 10;
const MOST_CONNECTIONS: usize = 8_192;
/// Reports that are kept for whoever waits for them.
const MOST_REPORTS: usize = 65_536;
/// Purges are kept for members that were away; one that was away for longer drops all that is older.
const KEPT: Span = Span::millis(3_600_000);
/// What is old is looked for so often.
const LOOK_BACK: Duration = Duration::from_secs(10);
/// How often whoever waits looks whether this member still speaks.
const LOOK: Duration = Duration::from_millis(200);
/// Purges a second and at once that a tenant may ask for.
const LIMIT: Limit = Limit { rate: 200.0, burst: 2_000.0 };

struct Keeper {
    council: Rc<Council>,
    /// None: this member does not lead.
    service: RefCell<Option<Service>>,
    /// What waits for the group to agree on the entry at its head.
    waiting: Waiting<Effect>,
    clock: Clock,
    logger: Logger,
    name: String,
    /// Items in the order in which they may be told: all of them are agreed on.
    told: RefCell<VecDeque<Item>>,
    reports: RefCell<BTreeMap<u64, Report>>,
    news: Event,
}

/// A service that listens already.
pub struct Purger {
    keeper: Rc<Keeper>,
    listener: Async<TcpListener>,
    group_listen: Option<SocketAddr>,
}

fn read_entries(data: &[Vec<u8>]) -> Result<Vec<Entry>, String> {
    let read = |(n, bytes): (usize, &Vec<u8>)| {
        serde_json::from_slice(bytes).map_err(|why| format!("record {n} can't be read: {why}"))
    };
    data.iter().enumerate().map(read).collect()
}

fn bytes(entry: &Entry) -> Vec<u8> {
    serde_json::to_vec(entry).unwrap_or_default()
}

/// The log of a service that was not a group yet: a list of entries as a snapshot, then entries.
fn read_old(snapshot: Option<&[u8]>, records: &[Vec<u8>]) -> Result<Vec<Vec<u8>>, String> {
    let mut data = Vec::new();
    if let Some(snapshot) = snapshot {
        let whole: Vec<Entry> =
            serde_json::from_slice(snapshot).map_err(|why| format!("the snapshot can't be read: {why}"))?;
        data.extend(whole.iter().map(bytes));
    }
    read_entries(records)?;
    data.extend_from_slice(records);
    Ok(data)
}

impl Purger {
    /// A group of one: takes the service up from its log. An error is one line.
    pub fn open(listen: SocketAddr, folder: &Path, logger: Logger) -> Result<Purger, String> {
        Purger::open_member(listen, folder, &CouncilStart::alone("purges"), logger)
    }

    /// One member of a group.
    pub fn open_member(
        listen: SocketAddr,
        folder: &Path,
        start: &CouncilStart,
        logger: Logger,
    ) -> Result<Purger, String> {
        let clock = Clock::start();
        let council = Council::open(start, folder, Vec::new(), read_old, clock, logger.clone())
            .map_err(|why| why.to_string())?;
        read_entries(&council.data()).map_err(|why| format!("{}: {why}", folder.display()))?;
        let listener = Async::<TcpListener>::bind(listen)
            .map_err(|why| format!("key listen: {listen} can't be listened on: {why}"))?;
        let keeper = Keeper {
            council,
            service: RefCell::new(None),
            waiting: Waiting::default(),
            clock,
            logger,
            name: start.name.clone(),
            told: RefCell::default(),
            reports: RefCell::default(),
            news: Event::new(),
        };
        Ok(Purger { keeper: Rc::new(keeper), listener, group_listen: start.listen })
    }

    /// Serves until `stop` says so; an error if the log could not be written.
    pub fn serve(self, stop: Receiver<()>) -> Result<(), String> {
        let (spawner, keeper) = (Spawner::default(), self.keeper);
        info!(keeper.logger, "ready"; "name" => &keeper.name);
        let stopped = async {
            let _ = stop.recv().await;
        };
        let hearing = keeper.clone();
        let work = async {
            keeper.council.run(self.group_listen, &spawner, move |news| hearing.hear_news(news))?;
            spawner.spawn(listen(keeper.clone(), self.listener, spawner.clone()));
            or(turns(&keeper), stopped).await;
            Ok(())
        };
        spawner.block_on(work).and_then(|()| match keeper.council.is_broken() {
            true => Err("the log can't be written, or is not this member's".into()),
            false => Ok(()),
        })
    }
}

impl Keeper {
    /// What the group has agreed on, and who leads it.
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
        match read_entries(&self.council.data()) {
            Ok(entries) => {
                self.lay_down();
                let (service, effects) = Service::open(&entries, LIMIT, self.clock.now());
                info!(self.logger, "takes up the service"; "term" => service.term(), "last" => service.last());
                *self.service.borrow_mut() = Some(service);
                self.carry_out(effects);
            }
            Err(why) => error!(self.logger, "service not taken up"; "why" => why),
        }
    }

    fn lay_down(&self) {
        *self.service.borrow_mut() = None;
        self.waiting.clear();
        self.told.borrow_mut().clear();
        self.news.notify(usize::MAX);
    }

    /// Carries effects out in their order, each once the entries before it are agreed on.
    fn carry_out(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Write(entry) => {
                    let entry = bytes(&entry);
                    self.waiting.behind(entry.clone());
                    if self.council.want(entry).is_err() {
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
        self.news.notify(usize::MAX);
    }

    fn tell_of(&self, effect: Effect) {
        match effect {
            Effect::Write(_) => {}
            Effect::Tell(item) => {
                info!(self.logger, "told"; "number" => item.number,
                    "item" => serde_json::to_string(&item).unwrap_or_default());
                let mut told = self.told.borrow_mut();
                told.push_back(item);
                if told.len() > MOST_REPORTS {
                    told.pop_front();
                }
            }
            Effect::Report(report) => {
                let words = serde_json::to_string(&report).unwrap_or_default();
                match report.kept {
                    true => info!(self.logger, "reached"; "number" => report.number, "report" => words),
                    false => warn!(self.logger, "reached late"; "number" => report.number, "report" => words),
                }
                let mut reports = self.reports.borrow_mut();
                reports.insert(report.number, report);
                if reports.len() > MOST_REPORTS {
                    reports.pop_first();
                }
            }
        }
    }

    /// Looks at the state, if it is this member's to look at.
    fn with<T>(&self, look: impl FnOnce(&mut Service) -> T) -> Option<T> {
        self.council.may_speak().then_some(())?;
        self.service.borrow_mut().as_mut().map(look)
    }

    fn elsewhere(&self) -> Answer {
        Answer::Elsewhere { serves: self.council.elsewhere() }
    }

    /// Forgets what is old.
    fn forget(&self) {
        let now = self.clock.now();
        let before = now.before(KEPT).micros() / 1_000;
        let effects = self.with(|service| service.forget_before(before, now)).unwrap_or_default();
        if !effects.is_empty() {
            self.carry_out(effects);
        }
    }

    /// Writes the log anew once it has grown.
    fn tidy(&self) {
        if !self.waiting.is_empty() {
            return;
        }
        let whole = self.service.borrow().as_ref().map(|service| service.whole());
        self.council.tidy(|data| match whole {
            Some(whole) => whole.iter().map(bytes).collect(),
            // Who does not lead goes by what was agreed on.
            None => match read_entries(&data) {
                Ok(entries) => {
                    Service::open(&entries, LIMIT, self.clock.now()).0.whole().iter().map(bytes).collect()
                }
                Err(_) => data,
            },
        });
    }

    /// Waits until all that was wanted is agreed on. False: this member speaks no more, and nobody knows.
    async fn settled(&self) -> bool {
        while self.council.may_speak() && self.service.borrow().is_some() {
            if self.waiting.is_empty() {
                return true;
            }
            self.until_news(LOOK).await;
        }
        false
    }

    fn is_newer(&self, than: u64) -> bool {
        self.told.borrow().back().is_some_and(|item| item.number > than)
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
    while !keeper.council.is_broken() {
        Timer::after(BEAT).await;
        if looked.elapsed() > LOOK_BACK {
            looked = Instant::now();
            keeper.forget();
        }
        keeper.tidy();
        let now = keeper.clock.now();
        let effects = keeper.with(|service| service.beat(now)).unwrap_or_default();
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
    if let Ok(call) = serde_json::from_slice::<harestage_seats::Call>(&first) {
        return write_text(stream, &line(&keeper.council.answer(&call)), STALL).await;
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
        let now = keeper.clock.now();
        let heard = keeper.with(|service| {
            let answered = service.last();
            let (missing, effects) = service.confirm(&next.member, next.start, next.has, next.told_all, now);
            (service.term(), missing, effects, answered)
        });
        let Some((term, missing, effects, answered)) = heard else {
            let serves = keeper.council.elsewhere();
            return write_text(stream, &line(&ToMember::Elsewhere { serves }), STALL).await;
        };
        keeper.carry_out(effects);
        // What the group has not agreed on yet must not be told, though the state has it already.
        if !keeper.settled().await {
            let serves = keeper.council.elsewhere();
            return write_text(stream, &line(&ToMember::Elsewhere { serves }), STALL).await;
        }
        write_text(stream, &line(&ToMember::of(term, missing)), STALL).await?;
        // What is new is told without being asked; the next line comes in its time.
        let heard = async { Some(lines.next().await) };
        let new = async {
            while !keeper.is_newer(answered) && keeper.council.may_speak() {
                keeper.until_news(LOOK).await;
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
                let Some((term, items)) = news(keeper, answered) else {
                    let serves = keeper.council.elsewhere();
                    return write_text(stream, &self::line(&ToMember::Elsewhere { serves }), STALL).await;
                };
                write_text(stream, &self::line(&ToMember::Items { term, items }), STALL).await?;
                within(STALL, "it says nothing", lines.next()).await?
            }
        };
        next = serde_json::from_slice(&line).map_err(|why| format!("{name}: an unreadable line: {why}"))?;
    }
}

/// Items after a number that are agreed on, and the term of the one who tells them.
fn news(keeper: &Keeper, after: u64) -> Option<(u64, Vec<Item>)> {
    let term = keeper.with(|service| service.term())?;
    let told = keeper.told.borrow();
    Some((term, told.iter().filter(|item| item.number > after).cloned().collect()))
}

async fn client(keeper: &Keeper, stream: &Stream, call: Call) -> Result<(), String> {
    let answer = match call {
        Call::Submit { scope, tenant, key } => {
            let now = keeper.clock.now();
            match keeper.with(|service| service.submit(scope, tenant, &key, now)) {
                Some(Ok((number, promise, effects))) => {
                    keeper.carry_out(effects);
                    match keeper.settled().await {
                        true => Answer::Accepted { number, promise },
                        // It may still come about: under the same key it is the same purge, whoever is asked.
                        false => keeper.elsewhere(),
                    }
                }
                Some(Err(why)) => Answer::Refused(why.to_string()),
                None => keeper.elsewhere(),
            }
        }
        Call::Wait { number } => loop {
            if let Some(report) = keeper.reports.borrow().get(&number).cloned() {
                break Answer::Report(report);
            }
            match keeper.with(|service| service.last()) {
                None => break keeper.elsewhere(),
                Some(last) if number == 0 || number > last => {
                    break Answer::Refused(format!("there is no purge {number}"));
                }
                Some(_) => keeper.until_news(LOOK).await,
            }
        },
        Call::Status => {
            keeper.with(|service| Answer::Status(status(service))).unwrap_or_else(|| keeper.elsewhere())
        }
        Call::List => {
            keeper.with(|service| Answer::List(service.live())).unwrap_or_else(|| keeper.elsewhere())
        }
    };
    write_text(stream, &line(&answer), STALL).await
}

fn status(service: &Service) -> Status {
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
