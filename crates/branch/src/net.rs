//! A branch's own feed on sockets: one thread, one task for each line. Nothing here decides.
use crate::board::{Board, Saying, Took};
use crate::caller::{Caller, Ended, TAKES_WITHIN};
use crate::start::FeedStart;
use async_channel::Receiver;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use harestage::time::Moment;
use harestage_audit::messages::{KeeperMessage, Role, Update};
use harestage_audit::process::{AuditedProcess, KeeperRequest, ProcessIdentity};
use harestage_audit::stamp::Versions;
use harestage_following::audit::Audited;
use harestage_following::control::{Heard, Member};
use harestage_following::{Line, control, looks, purges};
use harestage_purge::follower::Action;
use harestage_purge::messages::Past;
use harestage_purge::scope::CompiledScope;
use harestage_shape::control::HubReport;
use harestage_shape::feed;
use harestage_shape::messages;
use harestage_sites::fallback::FallbackChange;
use harestage_sockets::accept::{ConnectionLimit, accept};
use harestage_sockets::clock::Clock;
use harestage_sockets::lines::{LineReader, with_timeout, write_text};
use harestage_sockets::{Spawner, Stream};
use harestage_wire::feed::{Ack, AppliedPurges, MAX_ACK_BYTES};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(100);
const FEED_BEAT: Duration = Duration::from_millis(500);
/// A router that takes no line for as long is ended, and one that says nothing at all.
const STALL: Duration = Duration::from_secs(5);
/// A router that has not answered the first event by then is told all, and may be of a program without the word.
const ANSWERS_WITHIN: Duration = Duration::from_millis(300);
/// A list is written in pieces of as many lines, each of which has to be taken in time.
const PIECE: usize = 512;
/// How [`Lines`] says that a line is too long.
const PAST_THE_BOUND: &str = "a line past the bound";
/// Numbers that a connection may begin behind: those that stay exact in every reader of JSON, and never run out here.
const MOST_EVENTS: u64 = 1 << 53;
/// Bytes of a subscription at most.
const LONGEST_SUBSCRIPTION: usize = 256;
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

/// The connection of a router that calls.
struct Calling {
    caller: RefCell<Caller>,
    over: Cell<Option<Ended>>,
}

impl Calling {
    fn owes(&self, place: u64, number: u64) -> bool {
        self.over.get().is_none() && self.caller.borrow().is_waited_for(place, number)
    }
}

struct Shared {
    board: RefCell<Board>,
    clock: Clock,
    log: Logger,
    name: String,
    /// What it went by, where there is a keeper.
    acting: Option<RefCell<AuditedProcess>>,
    callers: RefCell<BTreeMap<u64, Rc<Calling>>>,
    called: Cell<u64>,
    /// Connections that were ended for a word that can't be.
    refused: Cell<u64>,
    /// Something was said.
    news: Event,
    /// A router was sent something, or has said a word.
    taken: Event,
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
            let who = ProcessIdentity {
                member: start.name.clone(),
                start: clock.now().micros(),
                role: Role::Feed,
                site: start.branch.clone(),
                place: start.branch.clone(),
            };
            let (build, settings) = (start.build.clone(), start.settings);
            let goes = Versions { build, settings, ..Versions::default() };
            RefCell::new(AuditedProcess::new(who, Vec::new(), goes, clock.now()))
        });
        let shared = Rc::new(Shared {
            board: RefCell::new(board),
            acting,
            clock,
            log: log.clone(),
            name: start.name.clone(),
            callers: RefCell::default(),
            called: Cell::new(0),
            refused: Cell::new(0),
            news: Event::new(),
            taken: Event::new(),
        });
        info!(log, "ready"; "branch" => &start.branch);
        let services = start.controls.clone();
        spawner.spawn(control::follow(Hears(shared.clone()), services, line(), log.clone()));
        if !start.purges.is_empty() {
            let (name, services, number) = (start.name, start.purges, shared.clock.now().micros());
            let (hands, log) = (Purges(shared.clone()), log.clone());
            spawner.spawn(async move {
                purges::follow(&name, number, Past::default(), services, line(), hands, log).await;
            });
        }
        if !start.keepers.is_empty() {
            let (reports, keepers) = (Reports(shared.clone()), start.keepers.clone());
            spawner.spawn(harestage_following::audit::follow(reports, keepers, line(), log.clone()));
        }
        spawner.spawn(beats(shared.clone()));
        spawner.spawn(look(shared.clone(), spawner.clone()));
        let (open, serving, failing) = (ConnectionLimit::new(start.routers), shared.clone(), log.clone());
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

async fn after(time: Duration) {
    Timer::after(time).await;
}

impl Shared {
    fn say(&self, turn: Option<FallbackChange>) {
        match turn {
            None => {}
            Some(FallbackChange::Left) => info!(self.log, "goes by its version again"),
            Some(FallbackChange::Entered { lost, planned }) => {
                let lost = lost.into_iter().collect::<Vec<_>>().join(" ");
                warn!(self.log, "goes without a site, with no service"; "lost" => lost, "planned" => planned);
            }
        }
        self.news.notify(usize::MAX);
    }

    /// What was recorded last is told, if that takes no longer than a moment.
    async fn last_word(&self) {
        let Some(acting) = &self.acting else { return };
        acting.borrow_mut().recorder().finish(self.clock.now());
        for _ in 0..20 {
            if acting.borrow_mut().recorder().is_fully_acknowledged() {
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
        let goes = Versions { shape, purge, plan, ..acting.versions().clone() };
        acting.set_versions(goes, now);
        acting.tick(now);
    }

    async fn until_news(&self, at_most: Duration) {
        or(self.news.listen(), after(at_most)).await;
    }

    fn is_waiting(&self, place: u64, number: u64) -> bool {
        self.callers.borrow().values().any(|calling| calling.owes(place, number))
    }

    /// Routers that a purge of that number, said at that place, waits for.
    fn waits_for(&self, place: u64, number: u64) -> Vec<Rc<Calling>> {
        let callers = self.callers.borrow();
        callers.values().filter(|calling| calling.owes(place, number)).cloned().collect()
    }
}

struct Hears(Rc<Shared>);

impl Member for Hears {
    fn hello(&self) -> String {
        messages::subscribe_branch_line(self.version(), &self.0.name, self.0.board.borrow().branch())
    }

    fn version(&self) -> u64 {
        self.0.board.borrow().version()
    }

    fn now(&self) -> Moment {
        self.0.clock.now()
    }

    /// It bears no witness, and asks for no part: only what it goes by is of use.
    fn report(&self) -> HubReport {
        HubReport { version: self.version(), ..HubReport::default() }
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
    fn with<T>(&self, look: impl FnOnce(&mut AuditedProcess) -> T) -> Option<T> {
        self.0.acting.as_ref().map(|acting| look(&mut acting.borrow_mut()))
    }
}

impl Audited for Reports {
    fn now(&self) -> Moment {
        self.0.clock.now()
    }

    fn report(&self) -> harestage_audit::messages::Report {
        let now = self.now();
        let report = self.with(|acting| acting.report(now));
        report.unwrap_or_else(|| unreachable!("only a feed that is audited reports"))
    }

    fn has_more(&self) -> bool {
        self.with(|acting| acting.recorder().has_more()).unwrap_or(false)
    }

    async fn answered(&self, answer: KeeperMessage, asked: Moment) -> bool {
        // A feed that starts anew would leave its branch without one: it is brought up, and never ended.
        if let Some(KeeperRequest::Apply(Update::Full { shape, plans })) =
            self.with(|acting| acting.on_answer(answer, asked)).flatten()
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
    async fn apply(&mut self, acts: Vec<Action>, has: u64, ready: bool) {
        if !acts.is_empty() {
            info!(self.0.log, "purges told"; "has" => has, "many" => acts.len());
        }
        let (purges, fences) = split(acts);
        let (took, folds, place) = {
            let mut board = self.0.board.borrow_mut();
            let before = board.folds();
            if let Some(fenced) = fences {
                board.set_fenced(fenced, self.0.clock.now());
                info!(self.0.log, "fences told"; "has" => has, "ties" => board.fenced_ties().join(" "));
            }
            let took = board.take(&purges, has);
            if ready {
                board.knows_purges();
            }
            (took, board.folds() - before, board.place())
        };
        if folds > 0 {
            warn!(self.0.log, "old purges folded into purges of every group"; "times" => folds);
        }
        if took == Took::Anew {
            warn!(self.0.log, "the service counts anew: all routers call again"; "has" => has);
            self.0.callers.borrow().values().for_each(|calling| calling.over.set(Some(Ended::Anew)));
        }
        self.0.news.notify(usize::MAX);
        let all_have = async {
            loop {
                let taken = self.0.taken.listen();
                if !self.0.is_waiting(place, has) {
                    return;
                }
                taken.await;
            }
        };
        or(all_have, after(TAKES_WITHIN.into())).await;
        let late = self.0.waits_for(place, has);
        late.iter().for_each(|calling| calling.over.set(Some(Ended::Late)));
        if !late.is_empty() {
            self.0.news.notify(usize::MAX);
        }
    }
}

/// The purges among what a follower is told, and the latest set of fenced members, if that has changed.
fn split(actions: Vec<Action>) -> (Vec<(CompiledScope, Moment)>, Option<BTreeSet<String>>) {
    let (mut purges, mut fences) = (Vec::new(), None);
    for action in actions {
        match action {
            Action::Purge { scope, at } => purges.push((scope, at)),
            Action::SetFenced(fenced) => fences = Some(fenced),
        }
    }
    (purges, fences)
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
                spawner.spawn_with_handle(looks::ask(at, line(), move |seen| {
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

/// The platform's control feed to one router. What it says of what it has is heard beside.
async fn serve(shared: &Shared, stream: &Stream) -> Result<(), String> {
    let mut lines = LineReader::new(stream, LONGEST_SUBSCRIPTION);
    let line = with_timeout(STALL, "silent", lines.next_line()).await?;
    let first = std::str::from_utf8(&line).ok().and_then(|line| line.trim_end().strip_prefix("SUB "));
    let number = first.and_then(|n| n.parse().ok()).filter(|n| *n <= MOST_EVENTS);
    let mut last: u64 = number.ok_or("no subscription")?;
    lines.max_line_bytes = MAX_ACK_BYTES;
    while shared.board.borrow().waits_for().is_some() {
        // A router that waits hears that the feed is there.
        write_text(stream, &feed::heartbeat(last), STALL).await?;
        shared.until_news(FEED_BEAT).await;
    }
    last += 1;
    write_text(stream, &feed::accepts_reports_event(last), STALL).await?;
    let had = had(shared, &mut lines).await?;
    let list = {
        let board = shared.board.borrow();
        had.map_or_else(|| board.whole(), |had| board.lacking(&had, shared.clock.now()))
    };
    let (sayings, place) = list.ok_or("there is nothing to tell")?;
    let branch = shared.board.borrow().branch().to_string();
    let (before, mut bytes) = (last, 0);
    for piece in sayings.chunks(PIECE) {
        let text = worded(piece.iter(), &mut last, &branch);
        bytes += text.len();
        write_text(stream, &text, STALL).await?;
    }
    let mut caller = Caller::new(had, place);
    let sent = caller.was_sent(place, marked(&sayings), shared.clock.now());
    sent.map_err(|why| why.to_string())?;
    let number = shared.called.get() + 1;
    shared.called.set(number);
    let calling = Rc::new(Calling { caller: RefCell::new(caller), over: Cell::new(None) });
    shared.callers.borrow_mut().insert(number, calling.clone());
    let (has, told) = (had.map_or(0, |had| had.number), last - before);
    info!(shared.log, "router follows"; "after" => last, "had" => has, "says" => had.is_some(),
        "told" => told, "bytes" => bytes);
    // Words that wait are heard before anyone is called late.
    let done = or(hear(shared, &calling, &mut lines), follow(shared, stream, &calling, last, &branch)).await;
    shared.callers.borrow_mut().remove(&number);
    shared.taken.notify(usize::MAX);
    done
}

/// What it says that it had. None: it says nothing, as programs do that don't know the word.
async fn had(shared: &Shared, lines: &mut LineReader<'_>) -> Result<Option<AppliedPurges>, String> {
    let silent = async {
        after(ANSWERS_WITHIN).await;
        Ok(None)
    };
    let line = or(async { lines.next_line().await.map(Some) }, silent).await;
    match line.map_err(|why| ended_itself(shared, why))?.map(|line| Ack::decode(&line)) {
        None => Ok(None),
        Some(Some(Ack::Initial(had))) => Ok(Some(had)),
        Some(Some(Ack::Applied(_))) => Err(refused(shared, Ended::OutOfTurn)),
        Some(None) => Err(refused(shared, Ended::NoWord)),
    }
}

fn refused(shared: &Shared, why: Ended) -> String {
    shared.refused.set(shared.refused.get() + 1);
    format!("{why}; {} were refused by now", shared.refused.get())
}

/// A line past its bound is refused like a word that can't be; what breaks by itself is not.
fn ended_itself(shared: &Shared, why: String) -> String {
    if why == PAST_THE_BOUND { refused(shared, Ended::NoWord) } else { why }
}

/// Takes its words in for as long as it says what can be.
async fn hear(shared: &Shared, calling: &Calling, lines: &mut LineReader<'_>) -> Result<(), String> {
    loop {
        let line = lines.next_line().await.map_err(|why| ended_itself(shared, why))?;
        let said = calling.caller.borrow_mut().says(&line, shared.clock.now());
        said.map_err(|why| refused(shared, why))?;
        shared.taken.notify(usize::MAX);
    }
}

async fn follow(
    shared: &Shared,
    stream: &Stream,
    calling: &Calling,
    mut last: u64,
    branch: &str,
) -> Result<(), String> {
    loop {
        if let Some(why) = calling.over.get() {
            return Err(why.to_string());
        }
        if calling.caller.borrow().is_late(shared.clock.now()) {
            return Err(Ended::Late.to_string());
        }
        let news = shared.news.listen();
        let was = calling.caller.borrow().place();
        let (text, marks, place) = {
            let board = shared.board.borrow();
            let new: Vec<Saying> = board.after(was).map_err(|_| "it is too far behind")?.cloned().collect();
            (worded(new.iter(), &mut last, branch), marked(&new).collect::<Vec<_>>(), board.place())
        };
        // Before it is written: an answer may come before the write has returned.
        let sent = calling.caller.borrow_mut().was_sent(was, marks.into_iter(), shared.clock.now());
        sent.map_err(|why| why.to_string())?;
        let text = if text.is_empty() { feed::heartbeat(last) } else { text };
        write_text(stream, &text, STALL).await?;
        let sent = calling.caller.borrow_mut().was_sent(place, std::iter::empty(), shared.clock.now());
        sent.map_err(|why| why.to_string())?;
        if place != was {
            shared.taken.notify(usize::MAX);
        }
        if shared.board.borrow().place() == place && calling.over.get().is_none() {
            or(news, after(FEED_BEAT)).await;
        }
    }
}

/// The numbers of marks among sayings.
fn marked(sayings: &[Saying]) -> impl Iterator<Item = u64> {
    sayings.iter().filter_map(|saying| match saying {
        Saying::Marks { purges, .. } => Some(*purges),
        _ => None,
    })
}

fn worded<'a>(sayings: impl Iterator<Item = &'a Saying>, last: &mut u64, branch: &str) -> Vec<u8> {
    let mut text = Vec::new();
    for saying in sayings {
        *last += 1;
        text.extend(saying.line(*last, branch));
    }
    text
}
