//! The control service on sockets: one thread; one task turns the state machine, and one for each connection of a
//! member, an operator or a router. It is a member of a group, alone or with others: whoever leads runs the state machine
//! on what the group has agreed on, and only it tells anyone anything, while it knows that it still leads.
use crate::journal;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future::or;
use harestage_seats::host::{Host, Hosted, LOOK, Listening, STALL, say};
use harestage_seats::{Council, CouncilStart, Recent};
use harestage_shape::config::ShapeConfig;
use harestage_shape::control::{ChangeEvent, Control, Effect, SiteState};
use harestage_shape::feed;
use harestage_shape::messages::{self, FromMember, Request, Response, ToMember};
use harestage_shape::plan;
use harestage_shape::topology::Shape;
use harestage_sites::controller::{self, SiteController};
use harestage_sockets::accept::{ConnectionLimit, accept};
use harestage_sockets::clock::Clock;
use harestage_sockets::lines::{LineReader, with_timeout, write_text};
use harestage_sockets::{Spawner, Stream};
use slog::{Logger, error, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(50);
const FEED_BEAT: Duration = Duration::from_millis(500);
/// A whole shape of ten thousand branches fits.
const LONGEST_LINE: usize = 16 << 20;
/// Of a member, which sends nothing but reports.
const LONGEST_REPORT: usize = 256 << 10;
const MOST_CONNECTIONS: usize = 4_096;
/// Sayings that a watcher may be behind.
const MOST_SAID: usize = 1_024;

/// What this member may tell of what the group has agreed on, and where it is.
struct Changes {
    /// The shape to begin with, where nothing was agreed on yet.
    first: Option<ShapeConfig>,
    /// The newest version that may be told.
    told: Cell<u64>,
    /// Where this member is, as a witness of other sites.
    site: String,
    /// What was said lately, with its number.
    said: RefCell<Recent<ChangeEvent>>,
    /// Connections of members, operators and routers together.
    open: ConnectionLimit,
}

type Service = Host<Changes>;

impl Changes {
    fn last_said(&self) -> u64 {
        self.said.borrow().last()
    }
}

/// A service that listens already.
pub struct Keeper(Listening<Changes>);

impl Keeper {
    /// A group of one: takes up the service where its journal ends, or with a first shape where there is none. An error
    /// is one line.
    pub fn open(
        listen: SocketAddr,
        journal: &Path,
        first: Option<&ShapeConfig>,
        log: Logger,
    ) -> Result<Keeper, String> {
        Keeper::open_member(listen, journal, first, &CouncilStart::alone("control"), log)
    }

    /// One member of a group.
    pub fn open_member(
        listen: SocketAddr,
        journal: &Path,
        first: Option<&ShapeConfig>,
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
        let open = ConnectionLimit::new(MOST_CONNECTIONS);
        let changes = Changes {
            first: first.cloned(),
            told: Cell::new(0),
            site: start.site(),
            said: RefCell::new(Recent::new(MOST_SAID)),
            open: open.clone(),
        };
        Listening::at(listen, council, changes, open).map(Keeper)
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.0.address()
    }

    /// Serves until `stop` says so; an error if the journal could not be written.
    pub fn serve(self, stop: Receiver<()>) -> Result<(), String> {
        self.0.serve(async move {
            let _ = stop.recv().await;
        })
    }
}

impl Hosted for Changes {
    type State = SiteController;
    type Effect = Effect;

    const BROKEN: &'static str = "the journal can't be written, or is not this member's";
    const LONGEST_LINE: usize = LONGEST_LINE;

    /// Runs the state machine from what was agreed on.
    fn open(host: &Service, data: &[Vec<u8>]) -> Result<(SiteController, Vec<Effect>), String> {
        let (director, effects) =
            SiteController::open(&journal::records(data)?, host.hosted.first.as_ref(), host.now())
                .map_err(|why| why.to_string())?;
        let control = director.control();
        info!(host.log(), "takes up the service"; "term" => control.term(),
            "version" => control.shape().version());
        Ok((director, effects))
    }

    fn entry(effect: &Effect) -> Option<Vec<u8>> {
        match effect {
            Effect::Write(record) => Some(journal::bytes(record)),
            Effect::Publish(_) | Effect::Announce(_) => None,
        }
    }

    fn tell_of(host: &Service, effect: Effect) {
        match effect {
            Effect::Write(_) => {}
            Effect::Publish(version) => {
                info!(host.log(), "published"; "version" => version);
                host.hosted.told.set(host.hosted.told.get().max(version));
            }
            Effect::Announce(said) => {
                if let ChangeEvent::Site { site, state, reason } = &said {
                    info!(host.log(), "site"; "site" => site, "is" => standing(state), "why" => reason);
                }
                info!(host.log(), "change"; "said" => serde_json::to_string(&said).unwrap_or_default());
                let mut all = host.hosted.said.borrow_mut();
                let number = all.last() + 1;
                all.push(number, said);
            }
        }
    }

    fn laid_down(&self) {
        self.told.set(0);
    }

    fn broke(host: &Service) {
        error!(host.log(), "journal not written");
    }

    fn begin(host: &Rc<Service>, spawner: &Spawner) {
        spawner.spawn(branch_feeds(host.clone(), spawner.clone()));
    }

    async fn turns(host: &Rc<Service>, _: &Spawner) {
        while !host.council.is_broken() {
            Timer::after(BEAT).await;
            let now = host.now();
            let beat = |director: &mut SiteController| director.tick(host.name(), &host.hosted.site, now);
            let effects = host.with(beat).unwrap_or_default();
            if !effects.is_empty() {
                host.carry_out(effects);
            }
            host.council.tidy(journal::shortened);
        }
    }

    async fn serve(host: &Service, lines: &mut LineReader<'_>, first: Vec<u8>) -> Result<(), String> {
        let (stream, text) = (lines.stream(), String::from_utf8_lossy(&first).into_owned());
        let of_member = messages::parse_subscribe(&text)
            .map(|(last, name)| (last, name, Place::Hub(name)))
            .or_else(|| messages::parse_subscribe_all(&text).map(|(last, name)| (last, name, Place::All)))
            .or_else(|| {
                let (last, name, branch) = messages::parse_subscribe_branch(&text)?;
                Some((last, name, Place::Branch(branch)))
            });
        if let Some((last, name, place)) = of_member {
            lines.max_line_bytes = LONGEST_REPORT;
            return or(hear(host, lines, name), tell(host, stream, last, place)).await;
        }
        if let Ok(call) = serde_json::from_slice::<controller::SiteRequest>(&first) {
            return say(stream, &of_sites(host, call)).await;
        }
        match serde_json::from_slice(&first) {
            Ok(call) => answer(host, stream, call).await,
            Err(why) => say(stream, &Response::Refused(vec![format!("the call can't be read: {why}")])).await,
        }
    }
}

/// As the journal words it.
fn standing(is: &SiteState) -> String {
    let word = serde_json::to_value(is).ok();
    word.and_then(|word| word.as_str().map(str::to_string)).unwrap_or_default()
}

async fn in_time<T>(work: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    with_timeout(STALL, "too slow", work).await
}

async fn write(stream: &Stream, text: &[u8]) -> Result<(), String> {
    write_text(stream, text, STALL).await
}

fn of_sites(service: &Service, call: controller::SiteRequest) -> controller::SiteResponse {
    let now = service.now();
    match service.with(|director| director.handle_request(call, now)) {
        Some((answer, effects)) => {
            service.carry_out(effects);
            answer
        }
        None => controller::SiteResponse::NotLeader { leader: service.council.elsewhere() },
    }
}

/// Tells a member or an operator who does speak; whether they take it says nothing.
async fn elsewhere(service: &Service, stream: &Stream) -> Result<(), String> {
    let _ = say(stream, &ToMember::NotLeader { leader: service.council.elsewhere() }).await;
    Ok(())
}

/// What a member is, for what it is told of a version.
#[derive(Clone, Copy)]
enum Place<'a> {
    Hub(&'a str),
    Branch(&'a str),
    All,
}

/// Versions to a member, each whole; one that was away gets the newest only. With each go the plans for its place.
async fn tell(service: &Service, stream: &Stream, mut last: u64, place: Place<'_>) -> Result<(), String> {
    loop {
        if !service.speaks() {
            return elsewhere(service, stream).await;
        }
        // What was not agreed on must not be told, though the state has it already.
        let told = service.hosted.told.get();
        let version = service.with(|director| {
            let control = director.control();
            let shape = control.version(told).filter(|shape| shape.version() > last)?;
            let (form, plans) = match place {
                Place::Hub(hub) => (feed::config_for_hubs(shape), director.plans_for_node(hub)),
                Place::Branch(branch) => {
                    (feed::config_for_branch(shape, branch)?, director.plans_for_node(branch))
                }
                Place::All => (shape.to_config(), Vec::new()),
            };
            Some(ToMember::Version { term: control.term(), shape: Box::new(form), plans })
        });
        match version.flatten() {
            Some(version) => {
                last = told;
                say(stream, &version).await?;
            }
            None => service.until_news(LOOK).await,
        }
    }
}

/// Reports of a member, each answered.
async fn hear(service: &Service, lines: &mut LineReader<'_>, name: &str) -> Result<(), String> {
    loop {
        let line = in_time(lines.next_line()).await?;
        let Ok(FromMember::Report(report)) = serde_json::from_slice(&line) else {
            return Err(format!("{name}: an unreadable report"));
        };
        let now = service.now();
        let heard = service.with(|director| {
            let (part, effects) = director.on_report(name, &report, now);
            let control = director.control();
            let beat = ToMember::Heartbeat { term: control.term(), last: control.shape().version() };
            (part.map_or(beat, ToMember::Share), effects)
        });
        let Some((answer, effects)) = heard else { return elsewhere(service, lines.stream()).await };
        if !effects.is_empty() {
            service.carry_out(effects);
        }
        say(lines.stream(), &answer).await?;
    }
}

async fn answer(service: &Service, stream: &Stream, call: Request) -> Result<(), String> {
    let now = service.now();
    let refused = |text: String| Response::Refused(text.lines().map(str::to_string).collect());
    let answer = match call {
        Request::Status => service.with(|director| Response::Status(Box::new(director.status(now)))),
        Request::Shape => {
            service.with(|director| Response::Shape(Box::new(director.control().shape().to_config())))
        }
        Request::Plan { form } => {
            service.with(|director| match plan::plan_change(director.control().shape(), &form, now) {
                Ok(plan) => Response::Plan(Box::new(plan)),
                Err(why) => refused(why.to_string()),
            })
        }
        Request::Apply { form, expect, by } => {
            let from = service.hosted.last_said();
            match service.with(|director| director.apply(&form, expect, &by, now)) {
                Some(Ok(effects)) => {
                    service.carry_out(effects);
                    return watch(service, stream, from, true).await;
                }
                Some(Err(why)) => Some(refused(why.to_string())),
                None => None,
            }
        }
        Request::Watch if service.speaks() => {
            return watch(service, stream, service.hosted.last_said(), false).await;
        }
        Request::Watch => None,
    };
    let answer = answer.unwrap_or_else(|| Response::NotLeader { leader: service.council.elsewhere() });
    say(stream, &answer).await
}

/// Says on what is said, after the given number; to the end of the change, or for as long as anyone listens.
async fn watch(service: &Service, stream: &Stream, mut after: u64, to_the_end: bool) -> Result<(), String> {
    loop {
        let (last, new): (u64, Vec<ChangeEvent>) = {
            let said = service.hosted.said.borrow();
            (said.last(), said.after(after).cloned().collect())
        };
        after = last;
        for said in new {
            let ended = matches!(said, ChangeEvent::Ended { .. });
            say(stream, &Response::Event(said)).await?;
            if ended && to_the_end {
                return Ok(());
            }
        }
        if !service.speaks() {
            let answer = Response::NotLeader { leader: service.council.elsewhere() };
            return say(stream, &answer).await;
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
            .with(|director| feed::feed_addresses(director.control().shape(), service.name()))
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
                    let task = spawner.spawn_with_handle(one_feed(
                        service.clone(),
                        listener,
                        branch,
                        spawner.clone(),
                    ));
                    open.insert(feed, task);
                }
                Err(why) => warn!(service.log(), "branch feed not open"; "branch" => branch, "why" => %why),
            }
        }
        service.until_news(LOOK).await;
    }
}

async fn one_feed(service: Rc<Service>, listener: Async<TcpListener>, branch: String, spawner: Spawner) {
    info!(service.log(), "branch feed open"; "branch" => &branch);
    let (log, open) = (service.log().clone(), service.hosted.open.clone());
    let one = move |stream| {
        let (service, branch) = (service.clone(), branch.clone());
        async move {
            let why = router_feed(&service, &stream, &branch).await.err().unwrap_or_default();
            info!(service.log(), "router's feed ended"; "branch" => branch, "why" => why);
        }
    };
    accept(listener, open, spawner, one, |why| warn!(log, "accept failed"; "why" => %why)).await;
}

/// The platform's control feed to one router: `SUB N`, then an event for each later version, without a gap.
async fn router_feed(service: &Service, stream: &Stream, branch: &str) -> Result<(), String> {
    let mut lines = LineReader::new(stream, 256);
    let line = in_time(lines.next_line()).await?;
    let first = std::str::from_utf8(&line).ok().and_then(|line| line.trim_end().strip_prefix("SUB "));
    let mut last: u64 = first.and_then(|n| n.parse().ok()).ok_or("no subscription")?;
    loop {
        let told = service.hosted.told.get();
        let text = service.with(|director| events(director.control(), branch, told, &mut last));
        write(stream, &text.ok_or("this member does not speak")?).await?;
        service.until_news(FEED_BEAT).await;
    }
}

/// All events after `last`, or a beat where there are none.
fn events(control: &Control, branch: &str, newest: u64, last: &mut u64) -> Vec<u8> {
    if *last >= newest {
        return feed::heartbeat(newest);
    }
    let mut text = Vec::new();
    while *last < newest {
        let number = *last + 1;
        let version: Option<&Shape> = control.version(number);
        // Versions that are no longer kept say nothing; the first that is kept says the whole.
        match version {
            None => text.extend(feed::empty_event(number)),
            Some(shape) => {
                let before = last.checked_sub(1).and_then(|number| control.version(number));
                text.extend(feed::version_event(number, before, control.version(*last), shape, branch));
            }
        }
        *last = number;
    }
    text
}
