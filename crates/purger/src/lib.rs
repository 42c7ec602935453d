//! The service of purges on sockets and disk: one thread; one task turns the state machine of `harestage_purge`, and
//! one for each connection of a member or a client. Nothing here decides.
//!
//! Members call it themselves, or their site's gatherer does for them ([`gather`]). It is a member of a group, alone or with others: whoever leads runs the state machine on what the group has agreed on.
//! All that came within a turn is written with one sync, and told once it is agreed on: nobody hears of it before.
pub mod below;
pub mod gather;

use async_channel::Receiver;
use async_io::Timer;
use below::Teller;
use futures_lite::future::or;
use harestage::time::{Moment, Span};
use harestage_purge::members::MessageError;
use harestage_purge::messages::{
    Ack, FromGatherer, GatheredReport, MemberStatus, Request, Response, Status, ToMember,
};
use harestage_purge::promise::Report;
use harestage_purge::retained::MAX_BATCH_ITEMS;
use harestage_purge::sequencer::{Item, LogEntry, RateLimit};
use harestage_purge::service::{Effect, PushState, Service};
use harestage_seats::host::{Host, Hosted, LOOK, Listening, STALL, say};
use harestage_seats::{Council, CouncilStart, Recent};
use harestage_sockets::accept::ConnectionLimit;
use harestage_sockets::clock::Clock;
use harestage_sockets::lines::LineReader;
use harestage_sockets::{Spawner, Stream};
use slog::{Logger, info, warn};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

const BEAT: Duration = Duration::from_millis(20);
/// Of members and clients; a gatherer names all of its site.
const LONGEST_LINE: usize = 256 << 10;
const MOST_CONNECTIONS: usize = 8_192;
/// Items and reports that are kept for whoever waits for them.
const MOST_REPORTS: usize = 65_536;
/// Purges are kept for members that were away; one that was away for longer drops all that is older. Regions lose each
/// other for an hour: one that comes back after it, and after half an hour more, is told what it missed.
pub const KEPT: Span = Span::millis(90 * 60_000);
/// Purges on a page of a list.
const PAGE: usize = 4_096;
/// What is old is looked for so often.
const LOOK_BACK: Duration = Duration::from_secs(10);
/// Purges a second and at once that a tenant may ask for.
const LIMIT: RateLimit = RateLimit { rate: 200.0, burst: 2_000.0 };

/// What this member may tell of what the group has agreed on.
struct Purges {
    /// Items in the order in which they may be told.
    told: RefCell<Recent<Item>>,
    reports: RefCell<BTreeMap<u64, Report>>,
}

type Keeper = Host<Purges>;

/// A service that listens already.
pub struct Purger(Listening<Purges>);

fn read_entries(data: &[Vec<u8>]) -> Result<Vec<LogEntry>, String> {
    let read = |(n, bytes): (usize, &Vec<u8>)| {
        serde_json::from_slice(bytes).map_err(|why| format!("record {n} can't be read: {why}"))
    };
    data.iter().enumerate().map(read).collect()
}

fn bytes(entry: &LogEntry) -> Vec<u8> {
    serde_json::to_vec(entry).unwrap_or_default()
}

/// The log of a service that was not a group yet: a list of entries as a snapshot, then entries.
fn read_old(snapshot: Option<&[u8]>, records: &[Vec<u8>]) -> Result<Vec<Vec<u8>>, String> {
    let mut data = Vec::new();
    if let Some(snapshot) = snapshot {
        let whole: Vec<LogEntry> =
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
        let told = RefCell::new(Recent::new(MOST_REPORTS));
        let purges = Purges { told, reports: RefCell::default() };
        Listening::at(listen, council, purges, ConnectionLimit::new(MOST_CONNECTIONS)).map(Purger)
    }

    /// Serves until `stop` says so; an error if the log could not be written.
    pub fn serve(self, stop: Receiver<()>) -> Result<(), String> {
        self.0.serve(async move {
            let _ = stop.recv().await;
        })
    }
}

impl Hosted for Purges {
    type State = Service;
    type Effect = Effect;

    const BROKEN: &'static str = "the log can't be written, or is not this member's";
    const LONGEST_LINE: usize = LONGEST_LINE;

    fn open(host: &Keeper, data: &[Vec<u8>]) -> Result<(Service, Vec<Effect>), String> {
        let (service, effects) = Service::open(&read_entries(data)?, LIMIT, host.now());
        info!(host.log(), "takes up the service"; "term" => service.term(), "last" => service.last());
        Ok((service, effects))
    }

    fn entry(effect: &Effect) -> Option<Vec<u8>> {
        match effect {
            Effect::Write(entry) => Some(bytes(entry)),
            Effect::Broadcast(_) | Effect::Report(_) => None,
        }
    }

    fn tell_of(host: &Keeper, effect: Effect) {
        match effect {
            Effect::Write(_) => {}
            Effect::Broadcast(item) => {
                info!(host.log(), "told"; "number" => item.number,
                    "item" => serde_json::to_string(&item).unwrap_or_default());
                host.hosted.told.borrow_mut().push(item.number, item);
            }
            Effect::Report(report) => {
                let words = serde_json::to_string(&report).unwrap_or_default();
                match report.kept {
                    true => info!(host.log(), "reached"; "number" => report.number, "report" => words),
                    false => warn!(host.log(), "reached late"; "number" => report.number, "report" => words),
                }
                let mut reports = host.hosted.reports.borrow_mut();
                reports.insert(report.number, report);
                if reports.len() > MOST_REPORTS {
                    reports.pop_first();
                }
            }
        }
    }

    fn laid_down(&self) {
        self.told.borrow_mut().clear();
    }

    async fn turns(host: &Rc<Keeper>, _: &Spawner) {
        let mut looked = Instant::now();
        while !host.council.is_broken() {
            Timer::after(BEAT).await;
            if looked.elapsed() > LOOK_BACK {
                looked = Instant::now();
                forget(host);
            }
            tidy(host);
            let now = host.now();
            let effects = host.with(|service| service.tick(now)).unwrap_or_default();
            if !effects.is_empty() {
                host.carry_out(effects);
            }
        }
    }

    async fn serve(host: &Keeper, lines: &mut LineReader<'_>, first: Vec<u8>) -> Result<(), String> {
        if let Ok(confirm) = serde_json::from_slice::<Ack>(&first) {
            return below::serve(&Direct(host), lines, confirm).await;
        }
        if let Ok(FromGatherer::Gathered(line)) = serde_json::from_slice(&first) {
            return gatherer(host, lines, line).await;
        }
        match serde_json::from_slice::<Request>(&first) {
            Ok(call) => client(host, lines.stream(), call).await,
            Err(why) => {
                say(lines.stream(), &Response::Refused(format!("the call can't be read: {why}"))).await
            }
        }
    }
}

/// Forgets what is old.
fn forget(host: &Keeper) {
    let now = host.now();
    let before = now.before(KEPT).micros() / 1_000;
    let effects = host.with(|service| service.forget_before(before, now)).unwrap_or_default();
    if !effects.is_empty() {
        host.carry_out(effects);
    }
}

/// Writes the log anew once it has grown.
fn tidy(host: &Keeper) {
    if !host.is_settled() {
        return;
    }
    host.council.tidy(|data| match host.while_leading(|service| service.snapshot()) {
        Some(whole) => whole.iter().map(bytes).collect(),
        // Who does not lead goes by what was agreed on.
        None => match read_entries(&data) {
            Ok(entries) => Service::compacted(&entries, LIMIT, host.now()).iter().map(bytes).collect(),
            Err(_) => data,
        },
    });
}

/// Members that call the service itself.
struct Direct<'a>(&'a Keeper);

impl Teller for Direct<'_> {
    async fn answer(&self, said: &Ack) -> Option<ToMember> {
        let now = self.0.now();
        let heard = self.0.with(|service| (service.term(), service.on_ack(said, now)))?;
        let (term, (missing, effects)) = match heard {
            (term, Ok(heard)) => (term, heard),
            (_, Err(MessageError::Replaced)) => return Some(ToMember::Replaced),
            (_, Err(why)) => {
                warn!(self.0.log(), "a line refused"; "member" => &said.member, "why" => format!("{why:?}"));
                return Some(ToMember::Items { term: 0, items: Vec::new() });
            }
        };
        if !effects.is_empty() {
            self.0.carry_out(effects);
        }
        // What the group has not agreed on yet must not be told, though the state has it already.
        self.0.settled().await.then(|| ToMember::from_catch_up(term, missing))
    }

    fn elsewhere(&self) -> ToMember {
        elsewhere(self.0)
    }

    fn told(&self) -> Option<u64> {
        self.0.council.may_speak().then(|| self.0.hosted.told.borrow().last())
    }

    fn after(&self, number: u64) -> Option<ToMember> {
        let term = self.0.with(|service| service.term())?;
        let items = self.0.hosted.told.borrow().after(number).take(MAX_BATCH_ITEMS).cloned().collect();
        Some(ToMember::Items { term, items })
    }

    async fn until_news(&self, at_most: Duration) {
        self.0.until_news(at_most).await;
    }
}

/// A gatherer: each of its lines is heard, and what is new goes to it as it comes.
async fn gatherer(host: &Keeper, lines: &mut LineReader<'_>, first: GatheredReport) -> Result<(), String> {
    let stream = lines.stream();
    let (mut pushed, mut next, mut is_first) = (PushState::default(), first, true);
    loop {
        let (now, may_tell) = (host.now(), host.hosted.told.borrow().last());
        let heard = host.with(|service| {
            let (answered, effects) = service.on_gathered(&next, now)?;
            Ok::<_, MessageError>((pushed.reply(service, &next, answered, may_tell), effects))
        });
        let (told, effects) = match heard {
            None => return say(stream, &elsewhere(host)).await,
            Some(Err(why)) => return Err(format!("{}: a line refused: {why:?}", next.gatherer.member)),
            Some(Ok(heard)) => heard,
        };
        // Whom it takes in, and what comes first, may be told once the group has agreed on all of it; the rest was.
        let waits = std::mem::take(&mut is_first) || !effects.is_empty();
        if !effects.is_empty() {
            host.carry_out(effects);
        }
        if waits && !host.settled().await {
            return say(stream, &elsewhere(host)).await;
        }
        for told in told {
            say(stream, &told).await?;
        }
        let line = loop {
            let heard = async { Some(lines.next_line().await) };
            let new = async {
                while !pushed.can_push(host.hosted.told.borrow().last()) && host.speaks() {
                    host.until_news(LOOK).await;
                }
                None
            };
            let late = async {
                Timer::after(STALL).await;
                Some(Err("it says nothing".to_string()))
            };
            if let Some(line) = or(or(heard, new), late).await {
                break line?;
            }
            let may_tell = host.hosted.told.borrow().last();
            match host.with(|service| pushed.next_push(service, may_tell)) {
                None => return say(stream, &elsewhere(host)).await,
                Some(Some(news)) => say(stream, &news).await?,
                Some(None) => return Err("what it lacks is forgotten: it has to begin anew".into()),
            }
        };
        let line = serde_json::from_slice(&line).map_err(|why| format!("an unreadable line: {why}"))?;
        let FromGatherer::Gathered(gathered) = line;
        if gathered.gatherer.member != next.gatherer.member {
            return Err(format!("{} calls itself {}", next.gatherer.member, gathered.gatherer.member));
        }
        next = gathered;
    }
}

fn elsewhere(host: &Keeper) -> ToMember {
    ToMember::NotLeader { leader: host.council.elsewhere() }
}

async fn client(host: &Keeper, stream: &Stream, call: Request) -> Result<(), String> {
    let elsewhere = |serves| Response::NotLeader { leader: serves };
    let answer = match call {
        Request::Submit { scope, tenant, key } => {
            let now = host.now();
            match host.with(|service| service.submit(scope, tenant, &key, now)) {
                Some(Ok((number, promise, effects))) => {
                    host.carry_out(effects);
                    match host.settled().await {
                        true => Response::Accepted { number, promise },
                        // It may still come about: under the same key it is the same purge, whoever is asked.
                        false => elsewhere(host.council.elsewhere()),
                    }
                }
                Some(Err(why)) => Response::Refused(why.to_string()),
                None => elsewhere(host.council.elsewhere()),
            }
        }
        Request::Wait { number } => loop {
            if let Some(report) = host.hosted.reports.borrow().get(&number).cloned() {
                break Response::Report(report);
            }
            match host.with(|service| (service.last(), service.is_reported(number))) {
                None => break elsewhere(host.council.elsewhere()),
                Some((last, _)) if number == 0 || number > last => {
                    break Response::Refused(format!("there is no purge {number}"));
                }
                // A member that led before gave the report; or this one will, once the group has agreed on it.
                Some((_, true)) if host.is_settled() => break Response::Reached { number },
                Some(_) => host.until_news(LOOK).await,
            }
        },
        Request::Status => {
            let now = host.now();
            host.or_elsewhere(|service| Response::Status(status(service, now)), elsewhere)
        }
        Request::List { after } => {
            host.or_elsewhere(|service| Response::List(service.purges_after(after, PAGE)), elsewhere)
        }
    };
    say(stream, &answer).await
}

fn status(service: &Service, now: Moment) -> Status {
    let members = service.members();
    let each = members.names().map(|name| MemberStatus {
        name: name.into(),
        applied: members.progress(name).map_or(0, |(_, has)| has),
        fenced: members.is_fenced(name),
        gatherer: members.gatherer_of(name).map(str::to_string),
    });
    let each = each.collect();
    Status {
        term: service.term(),
        last: service.last(),
        open: service.pending_purges(),
        promise: service.promise(now),
        members: each,
        refused_lines: members.refused_lines(),
    }
}
