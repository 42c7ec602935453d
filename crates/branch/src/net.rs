//! A branch's own feed on sockets: one thread, one task for each line. Nothing here decides.
use crate::board::{Board, Saying};
use crate::start::FeedStart;
use async_channel::Receiver;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use harestage::time::Moment;
use harestage_audit::acting::{Acting, Wanted, Who};
use harestage_audit::lines::{Bring, Role, ToAudited};
use harestage_audit::stamp::Goes;
use harestage_following::audit::Audited;
use harestage_following::control::{Heard, Member};
use harestage_following::{Line, control, looks, purges};
use harestage_purge::follow::Act;
use harestage_shape::control::Report;
use harestage_shape::feed;
use harestage_shape::lines;
use harestage_sites::standby::Turn;
use harestage_sockets::accept::{Open, accept};
use harestage_sockets::clock::Clock;
use harestage_sockets::lines::{Lines, within, write_text};
use harestage_sockets::{Spawner, Stream};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(100);
const FEED_BEAT: Duration = Duration::from_millis(500);
/// A router that takes no line for as long is ended, and one that says nothing at all.
const STALL: Duration = Duration::from_secs(5);
/// A purge is confirmed once all routers that call have been sent it; those that don't take it for as long are ended, and
/// are told all again when they call.
const TAKES_WITHIN: Duration = Duration::from_millis(150);
/// Hubs of one site that are asked what they see.
const ASKED_A_SITE: usize = 3;
const LOOKS_AGAIN: Duration = Duration::from_millis(300);

fn line() -> Line {
    Line {
        connect: Duration::from_millis(400),
        silence: Duration::from_secs(3),
        pause: Duration::from_millis(120),
        report_every: Duration::from_millis(200),
        bytes: 8 << 20,
    }
}

/// A router that calls.
struct Caller {
    /// Up to where it was sent what was said.
    place: Cell<u64>,
    over: Cell<bool>,
}

struct Shared {
    board: RefCell<Board>,
    clock: Clock,
    log: Logger,
    name: String,
    /// What it went by, where there is a keeper.
    acting: Option<RefCell<Acting>>,
    callers: RefCell<BTreeMap<u64, Rc<Caller>>>,
    called: Cell<u64>,
    /// Something was said, or sent.
    news: Event,
}

/// A feed that listens already.
pub struct BranchFeed {
    start: FeedStart,
    listener: Async<TcpListener>,
}

impl BranchFeed {
    /// Takes the address; an error is one line, and nothing listens then.
    pub fn bind(start: FeedStart) -> Result<BranchFeed, String> {
        let listener = Async::<TcpListener>::bind(start.listen)
            .map_err(|why| format!("key listen: {} can't be listened on: {why}", start.listen))?;
        Ok(BranchFeed { start, listener })
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.get_ref().local_addr().unwrap_or(self.start.listen)
    }

    /// Serves until `stop` says so.
    pub fn serve(self, log: Logger, stop: Receiver<()>) {
        let spawner = Spawner::default();
        let BranchFeed { start, listener } = self;
        let clock = Clock::start();
        let board = Board::new(&start.branch, start.groups, !start.purges.is_empty(), clock.now());
        let acting = (!start.keepers.is_empty()).then(|| {
            let who = Who {
                member: start.name.clone(),
                start: clock.now().micros(),
                role: Role::Feed,
                site: start.branch.clone(),
                place: start.branch.clone(),
            };
            let (build, settings) = (start.build.clone(), start.settings);
            let goes = Goes { build, settings, ..Goes::default() };
            RefCell::new(Acting::begin(who, Vec::new(), goes, clock.now()))
        });
        let shared = Rc::new(Shared {
            board: RefCell::new(board),
            acting,
            clock,
            log: log.clone(),
            name: start.name.clone(),
            callers: RefCell::default(),
            called: Cell::new(0),
            news: Event::new(),
        });
        info!(log, "ready"; "branch" => &start.branch);
        let services = start.controls.clone();
        spawner.spawn(control::follow(Hears(shared.clone()), services, line(), log.clone()));
        if !start.purges.is_empty() {
            let (name, services, number) = (start.name, start.purges, shared.clock.now().micros());
            let (hands, log) = (Purges(shared.clone()), log.clone());
            spawner.spawn(async move {
                purges::follow(&name, number, 0, services, line(), hands, log).await;
            });
        }
        if !start.keepers.is_empty() {
            let (reports, keepers) = (Reports(shared.clone()), start.keepers.clone());
            spawner.spawn(harestage_following::audit::follow(reports, keepers, line(), log.clone()));
        }
        spawner.spawn(beats(shared.clone()));
        spawner.spawn(look(shared.clone(), spawner.clone()));
        let (open, serving, failing) = (Open::new(start.routers), shared.clone(), log.clone());
        let one = move |stream| {
            let shared = serving.clone();
            async move {
                let why = serve(&shared, &stream).await.err().unwrap_or_default();
                info!(shared.log, "router's feed ended"; "why" => why);
            }
        };
        let failed = move |why| warn!(failing, "accept failed"; "why" => %why);
        spawner.spawn(accept(listener, open, spawner.clone(), one, failed));
        let ending = shared.clone();
        spawner.block_on(async {
            let _ = stop.recv().await;
            ending.last_word().await;
        });
        info!(log, "ended"; "branch" => &start.branch);
    }
}

impl Shared {
    fn say(&self, turn: Option<Turn>) {
        match turn {
            None => {}
            Some(Turn::Back) => info!(self.log, "goes by its version again"),
            Some(Turn::Without { lost, planned }) => {
                let lost = lost.into_iter().collect::<Vec<_>>().join(" ");
                warn!(self.log, "goes without a site, with no service"; "lost" => lost, "planned" => planned);
            }
        }
        self.news.notify(usize::MAX);
    }

    /// What was recorded last is told, if that takes no longer than a moment.
    async fn last_word(&self) {
        let Some(acting) = &self.acting else { return };
        acting.borrow_mut().recorder().end(self.clock.now());
        for _ in 0..20 {
            if acting.borrow_mut().recorder().is_told() {
                return;
            }
            Timer::after(BEAT / 2).await;
        }
    }

    /// What it goes by now, for its record.
    fn record(&self, now: Moment) {
        let Some(acting) = &self.acting else { return };
        let (shape, purge) = self.board.borrow().goes();
        let plan = self.board.borrow().plan();
        let mut acting = acting.borrow_mut();
        let goes = Goes { shape, purge, plan, ..acting.goes().clone() };
        acting.goes_by(goes, now);
        acting.beat(now);
    }

    async fn until_news(&self, at_most: Duration) {
        let news = self.news.listen();
        or(news, async {
            Timer::after(at_most).await;
        })
        .await;
    }
}

struct Hears(Rc<Shared>);

impl Member for Hears {
    fn hello(&self) -> String {
        lines::subscribe_branch(self.version(), &self.0.name, self.0.board.borrow().branch())
    }

    fn version(&self) -> u64 {
        self.0.board.borrow().version()
    }

    fn now(&self) -> Moment {
        self.0.clock.now()
    }

    /// It bears no witness, and asks for no part: only what it goes by is of use.
    fn report(&self) -> Report {
        Report { version: self.version(), ..Report::default() }
    }

    async fn hear(&self, heard: Heard) {
        let now = self.now();
        let before = self.0.board.borrow().place();
        let turn = match heard {
            Heard::Version { shape, plans, .. } => self.0.board.borrow_mut().told(&shape, plans, now),
            Heard::Part { .. } | Heard::Beat => self.0.board.borrow_mut().service_spoke(now),
        };
        if self.0.board.borrow().place() != before {
            self.0.say(turn);
        }
    }
}

/// Its reports to the keeper of the audit.
struct Reports(Rc<Shared>);

impl Reports {
    fn with<T>(&self, look: impl FnOnce(&mut Acting) -> T) -> Option<T> {
        self.0.acting.as_ref().map(|acting| look(&mut acting.borrow_mut()))
    }
}

impl Audited for Reports {
    fn now(&self) -> Moment {
        self.0.clock.now()
    }

    fn report(&self) -> harestage_audit::lines::Report {
        let now = self.now();
        let report = self.with(|acting| acting.report(now));
        report.unwrap_or_else(|| unreachable!("only a feed that is audited reports"))
    }

    fn has_more(&self) -> bool {
        self.with(|acting| acting.recorder().has_more()).unwrap_or(false)
    }

    async fn answered(&self, answer: ToAudited, asked: Moment) -> bool {
        // A feed that starts anew would leave its branch without one: it is brought up, and never ended.
        if let Some(Wanted::Take(Bring::Whole { shape, plans })) =
            self.with(|acting| acting.answered(answer, asked)).flatten()
        {
            info!(self.0.log, "brought up by the keeper"; "version" => shape.version);
            let now = self.now();
            let turn = self.0.board.borrow_mut().told(&shape, plans, now);
            self.0.say(turn);
        }
        true
    }
}

struct Purges(Rc<Shared>);

impl purges::Hands for Purges {
    async fn apply(&mut self, acts: Vec<Act>, has: u64, ready: bool) {
        if !acts.is_empty() {
            info!(self.0.log, "purges told"; "has" => has, "many" => acts.len());
        }
        let place = {
            let mut board = self.0.board.borrow_mut();
            for act in acts {
                match act {
                    Act::Purge { scope, at } => board.purge(&scope, at),
                    // Routers name no hub as a source that the shape does not name; hubs pass fenced ones by.
                    Act::Fences(_) => {}
                }
            }
            board.has_purges(has);
            if ready {
                board.knows_purges();
            }
            board.place()
        };
        self.0.news.notify(usize::MAX);
        let behind = |shared: &Shared| {
            shared.callers.borrow().values().any(|c| !c.over.get() && c.place.get() < place)
        };
        let all_have = async {
            while behind(&self.0) {
                self.0.until_news(TAKES_WITHIN / 8).await;
            }
        };
        or(all_have, async {
            Timer::after(TAKES_WITHIN).await;
        })
        .await;
        for caller in self.0.callers.borrow().values().filter(|c| c.place.get() < place) {
            caller.over.set(true);
        }
        self.0.news.notify(usize::MAX);
    }
}

async fn beats(shared: Rc<Shared>) {
    loop {
        Timer::after(BEAT).await;
        let now = shared.clock.now();
        let turn = shared.board.borrow_mut().beat(now);
        if turn.is_some() {
            shared.say(turn);
        }
        shared.record(now);
    }
}

/// Keeps a line to some hubs of each site.
async fn look(shared: Rc<Shared>, spawner: Spawner) {
    let mut asked: BTreeMap<(String, SocketAddr), async_executor::Task<()>> = BTreeMap::new();
    loop {
        let wanted = hubs_to_ask(&shared.board.borrow());
        asked.retain(|hub, _| wanted.contains(hub));
        for (name, at) in wanted {
            asked.entry((name.clone(), at)).or_insert_with(|| {
                let shared = shared.clone();
                spawner.spawn_held(looks::ask(at, line(), move |seen| {
                    let now = shared.clock.now();
                    shared.board.borrow_mut().seen(&name, &seen.unseen, seen.leaving, now);
                }))
            });
        }
        Timer::after(LOOKS_AGAIN).await;
    }
}

fn hubs_to_ask(board: &Board) -> Vec<(String, SocketAddr)> {
    let Some(shape) = board.shape() else { return Vec::new() };
    let mut by_site: BTreeMap<&str, Vec<(String, SocketAddr)>> = BTreeMap::new();
    for (_, hub) in shape.hubs().filter(|(_, hub)| !hub.site.is_empty()) {
        let Ok(at) = hub.address.parse() else { continue };
        let of_site = by_site.entry(&hub.site).or_default();
        if of_site.len() < ASKED_A_SITE {
            of_site.push((hub.name.clone(), at));
        }
    }
    by_site.into_values().flatten().collect()
}

/// The platform's control feed to one router.
async fn serve(shared: &Shared, stream: &Stream) -> Result<(), String> {
    let mut lines = Lines::new(stream, 256);
    let line = within(STALL, "silent", lines.next()).await?;
    let first = std::str::from_utf8(&line).ok().and_then(|line| line.trim_end().strip_prefix("SUB "));
    let mut last: u64 = first.and_then(|n| n.parse().ok()).ok_or("no subscription")?;
    let (sayings, place) = loop {
        if let Some(whole) = shared.board.borrow().whole() {
            break whole;
        }
        // A router that waits hears that the feed is there.
        write_text(stream, &feed::beat(last), STALL).await?;
        shared.until_news(FEED_BEAT).await;
    };
    let branch = shared.board.borrow().branch().to_string();
    write_text(stream, &worded(sayings.iter(), &mut last, &branch), STALL).await?;
    let number = shared.called.get() + 1;
    shared.called.set(number);
    let caller = Rc::new(Caller { place: Cell::new(place), over: Cell::new(false) });
    shared.callers.borrow_mut().insert(number, caller.clone());
    info!(shared.log, "router follows"; "after" => last);
    let gone = async {
        // It has nothing more to say; what ends here is the connection.
        let _ = lines.next().await;
        Ok(())
    };
    let done = or(follow(shared, stream, &caller, last, &branch), gone).await;
    caller.over.set(true);
    shared.callers.borrow_mut().remove(&number);
    done
}

async fn follow(
    shared: &Shared,
    stream: &Stream,
    caller: &Caller,
    mut last: u64,
    branch: &str,
) -> Result<(), String> {
    loop {
        if caller.over.get() {
            return Err("it has not taken a purge in time".into());
        }
        let (text, place) = {
            let board = shared.board.borrow();
            let new = board.after(caller.place.get()).map_err(|_| "it is too far behind")?;
            (worded(new, &mut last, branch), board.place())
        };
        let text = if text.is_empty() { feed::beat(last) } else { text };
        write_text(stream, &text, STALL).await?;
        if caller.place.replace(place) != place {
            shared.news.notify(usize::MAX);
        }
        if shared.board.borrow().place() == place {
            shared.until_news(FEED_BEAT).await;
        }
    }
}

fn worded<'a>(sayings: impl Iterator<Item = &'a Saying>, last: &mut u64, branch: &str) -> Vec<u8> {
    let mut text = Vec::new();
    for saying in sayings {
        *last += 1;
        text.extend(saying.line(*last, branch));
    }
    text
}
