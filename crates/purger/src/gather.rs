//! A site's gatherer on sockets: one thread, one task for the line to the service and one for each member of the site.
//! Nothing here decides: see `harestage_purge::gather`.
use crate::KEPT;
use crate::below::{self, Teller};
use async_channel::Receiver;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use harestage_following::{Line, subscribe};
use harestage_purge::gather::{GatherError, Gatherer, MIN_REPORT_INTERVAL};
use harestage_purge::messages::{Ack, ToMember, to_line};
use harestage_seats::host::{STALL, say};
use harestage_seats::until;
use harestage_sockets::accept::{ConnectionLimit, accept};
use harestage_sockets::clock::Clock;
use harestage_sockets::leader::LeaderFinder;
use harestage_sockets::lines::{LineReader, with_timeout, write_text};
use harestage_sockets::{Spawner, Stream};
use slog::{Logger, info, warn};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

const LONGEST_LINE: usize = 64 << 10;
/// The members of one site, and those who ask wrongly.
const MOST_CONNECTIONS: usize = 4_096;
/// What is old is looked for so often.
const LOOK_BACK: Duration = Duration::from_secs(10);
/// Whether something is due to be said is looked at so often, where nothing happens.
const IDLE: Duration = Duration::from_millis(50);

/// The line to the service. It answers each word at once, and words go up some times a second.
fn terms() -> Line {
    Line {
        connect: Duration::from_millis(1_000),
        silence: Duration::from_millis(1_500),
        pause: Duration::from_millis(60),
        report_every: IDLE,
        bytes: 8 << 20,
    }
}

struct Site {
    gatherer: RefCell<Gatherer>,
    clock: Clock,
    log: Logger,
    /// Something new came from the service.
    news: Event,
    /// Somebody below has said something, or is gone.
    said: Event,
}

/// What is set for a gatherer.
#[derive(Clone, Debug)]
pub struct GatherStart {
    pub name: String,
    pub listen: SocketAddr,
    /// The members of the service of purges.
    pub services: Vec<SocketAddr>,
}

/// A gatherer that listens already.
pub struct SiteGatherer {
    start: GatherStart,
    listener: Async<TcpListener>,
}

impl SiteGatherer {
    /// Takes the address; an error is one line, and nothing listens then.
    pub fn bind(start: GatherStart) -> Result<SiteGatherer, String> {
        if !harestage_purge::messages::is_valid_name(&start.name) {
            return Err(format!(
                "key name: {:?} is not a name of letters, digits, dots and dashes",
                start.name
            ));
        }
        if start.services.is_empty() {
            return Err("key services: there has to be one at least".into());
        }
        let listener = Async::<TcpListener>::bind(start.listen)
            .map_err(|why| format!("key listen: {} can't be listened on: {why}", start.listen))?;
        Ok(SiteGatherer { start, listener })
    }

    /// Serves until `stop` says so.
    pub fn serve(self, log: Logger, stop: Receiver<()>) {
        let (spawner, clock) = (Spawner::default(), Clock::start());
        let SiteGatherer { start, listener } = self;
        // No other start of it has this number: clocks go on between two of them.
        let gatherer = Gatherer::new(&start.name, clock.now().micros());
        let site = Rc::new(Site {
            gatherer: RefCell::new(gatherer),
            clock,
            log: log.clone(),
            news: Event::new(),
            said: Event::new(),
        });
        info!(log, "ready"; "name" => &start.name);
        spawner.spawn(follow(site.clone(), start.services));
        spawner.spawn(forget(site.clone()));
        let (serving, failing) = (site.clone(), log.clone());
        let one = move |stream| {
            let site = serving.clone();
            async move {
                let why = member(&site, &stream).await.err().unwrap_or_default();
                if !why.is_empty() {
                    info!(site.log, "connection ended"; "why" => why);
                }
            }
        };
        let failed = move |why| warn!(failing, "accept failed"; "why" => %why);
        spawner.spawn(accept(listener, ConnectionLimit::new(MOST_CONNECTIONS), spawner.clone(), one, failed));
        spawner.block_on(async {
            let _ = stop.recv().await;
        });
        info!(log, "ended"; "name" => &start.name);
    }
}

async fn forget(site: Rc<Site>) {
    loop {
        Timer::after(LOOK_BACK).await;
        let before = site.clock.now().before(KEPT).micros() / 1_000;
        site.gatherer.borrow_mut().forget_before(before);
    }
}

/// Keeps a line to whoever speaks for the service.
async fn follow(site: Rc<Site>, services: Vec<SocketAddr>) {
    let mut down = false;
    let Some(mut leader) = LeaderFinder::from_addresses(services) else { return };
    loop {
        let why = stay(&site, &mut leader, &mut down).await.err().unwrap_or_default();
        if !std::mem::replace(&mut down, true) {
            warn!(site.log, "purges down"; "why" => why, "has" => site.gatherer.borrow().last());
        }
        Timer::after(terms().pause * leader.backoff_factor()).await;
    }
}

async fn stay(site: &Site, leader: &mut LeaderFinder, down: &mut bool) -> Result<(), String> {
    let at = leader.next_address();
    // Where it breaks without a word of who speaks, the next one is tried.
    leader.on_failure();
    site.gatherer.borrow_mut().on_connected();
    let first = site.gatherer.borrow_mut().next_report(site.clock.now());
    let first = first.ok_or("nothing to say at first")?;
    let stream = subscribe(at, &to_line(&first), terms().connect).await?;
    or(hear(site, &stream, at, leader, down), speak(site, &stream)).await
}

async fn hear(
    site: &Site,
    stream: &Stream,
    at: SocketAddr,
    leader: &mut LeaderFinder,
    down: &mut bool,
) -> Result<(), String> {
    let mut lines = LineReader::new(stream, terms().bytes);
    let mut up = false;
    loop {
        let told = with_timeout(terms().silence, "silent", lines.next_line()).await?;
        let told: ToMember =
            serde_json::from_slice(&told).map_err(|why| format!("an unreadable line: {why}"))?;
        if let ToMember::NotLeader { leader: serves } = &told {
            leader.on_redirect(serves.as_deref());
            return Err("this member does not speak".into());
        }
        let before = site.gatherer.borrow().last();
        let heard = site.gatherer.borrow_mut().handle(told, site.clock.now());
        heard.map_err(|why| format!("{why:?}"))?;
        if !std::mem::replace(&mut up, true) {
            leader.on_leader(at);
            *down = false;
            info!(site.log, "purges up"; "has" => site.gatherer.borrow().last());
        }
        if site.gatherer.borrow().last() != before {
            site.news.notify(usize::MAX);
        }
        site.said.notify(usize::MAX);
    }
}

async fn speak(site: &Site, stream: &Stream) -> Result<(), String> {
    loop {
        let due = site.gatherer.borrow_mut().next_report(site.clock.now());
        match due {
            Some(due) => {
                write_text(stream, &to_line(&due), STALL).await?;
                Timer::after(MIN_REPORT_INTERVAL.into()).await;
            }
            None => {
                until(&site.said, IDLE).await;
                // What others say in the same moment goes up in the same line.
                Timer::after(Duration::from(MIN_REPORT_INTERVAL) / 3).await;
            }
        }
    }
}

async fn member(site: &Site, stream: &Stream) -> Result<(), String> {
    let mut lines = LineReader::new(stream, LONGEST_LINE);
    let first = with_timeout(STALL, "too slow", lines.next_line()).await?;
    let Ok(first) = serde_json::from_slice::<Ack>(&first) else {
        return say(stream, &ToMember::NotLeader { leader: None }).await;
    };
    let below = Below { site, is: RefCell::new((first.member.clone(), first.incarnation)) };
    let done = below::serve(&below, &mut lines, first).await;
    let (name, start) = below.is.into_inner();
    site.gatherer.borrow_mut().on_disconnect(&name, start);
    site.said.notify(usize::MAX);
    done
}

/// One member of the site, under the number of the process that it said last.
struct Below<'a> {
    site: &'a Site,
    is: RefCell<(String, u64)>,
}

impl Teller for Below<'_> {
    async fn answer(&self, said: &Ack) -> Option<ToMember> {
        self.is.replace((said.member.clone(), said.incarnation));
        let answer = self.site.gatherer.borrow_mut().on_ack(said, self.site.clock.now());
        self.site.said.notify(usize::MAX);
        match answer {
            Ok(told) => Some(told),
            Err(GatherError::NotServing) => None,
            Err(GatherError::TooManyMembers) => {
                warn!(self.site.log, "too many below"; "member" => &said.member);
                None
            }
        }
    }

    fn elsewhere(&self) -> ToMember {
        ToMember::NotLeader { leader: None }
    }

    fn told(&self) -> Option<u64> {
        let gatherer = self.site.gatherer.borrow();
        gatherer.is_serving(self.site.clock.now()).then(|| gatherer.last())
    }

    fn after(&self, number: u64) -> Option<ToMember> {
        let (term, missing) = self.site.gatherer.borrow().after(number)?;
        Some(ToMember::from_catch_up(term, missing))
    }

    async fn until_news(&self, at_most: Duration) {
        until(&self.site.news, at_most).await;
    }
}
