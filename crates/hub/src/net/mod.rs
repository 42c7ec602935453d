//! A hub on sockets: one thread, one task that owns the desk, and tasks for each connection that reach it through one
//! queue. Nothing here decides.
mod disk;
mod down;
mod follow;
mod purges;
mod up;

use crate::desk::{Desk, News, Order};
use crate::start::HubStart;
use async_channel::Receiver;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use harestage_following::{self as following, control};
use harestage_purge::messages::Past;
use harestage_sites::fallback::FallbackChange;
use harestage_sites::quota::QuotaStats;
use harestage_sockets::Spawner;
use harestage_sockets::clock::Clock;
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A hub that is told to end says so to whoever asks, and answers what it has under way, for as long at most.
const LEAVES_WITHIN: Duration = Duration::from_millis(1_500);
/// And for as long at least, so that others hear of it.
const LEAVES_AFTER: Duration = Duration::from_millis(350);
/// How often what was refused is told, where anything was.
const TELLS_REFUSED: Duration = Duration::from_millis(500);

/// What other tasks may ask of the desk, between two of its turns.
pub(crate) struct Shared {
    pub desk: RefCell<Desk>,
    pub clock: Clock,
    pub name: String,
    /// News of the service of purges that the desk has taken in: only then may they be confirmed.
    pub purges_taken: Cell<u64>,
    pub purges_were_taken: Event,
    /// It was told to end.
    pub leaving: Cell<bool>,
    /// The keeper of the audit wants it to start anew.
    pub anew: Cell<bool>,
    pub ends: Event,
}

/// A hub that listens already, so that whoever started it knows its address.
pub struct Hub {
    start: HubStart,
    listener: Async<TcpListener>,
}

impl Hub {
    /// Takes the address; an error is one line, and nothing listens then.
    pub fn bind(start: HubStart) -> Result<Hub, String> {
        let listener = Async::<TcpListener>::bind(start.listen)
            .map_err(|why| format!("key listen: {} can't be listened on: {why}", start.listen))?;
        Ok(Hub { start, listener })
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.get_ref().local_addr().unwrap_or(self.start.listen)
    }

    /// Serves until `stop` says so, or everyone who could say it is gone.
    pub fn serve(self, log: Logger, stop: Receiver<()>) {
        let spawner = Spawner::default();
        spawner.block_on(run(self, log, stop, spawner.clone()));
    }
}

async fn run(hub: Hub, log: Logger, stop: Receiver<()>, spawner: Spawner) {
    let Hub { start, listener } = hub;
    let clock = Clock::start();
    let (disk_inbox, disk_news) = async_channel::bounded(start.limits.inbox);
    let disk = match &start.storage {
        None => None,
        Some(storage) => match disk::open(storage, disk_inbox, log.clone()) {
            Ok(opened) => Some(opened),
            // A hub without its copies is one that starts cold, as it always did.
            Err(why) => {
                warn!(log, "copies on disk not opened: it starts without"; "why" => why);
                None
            }
        },
    };
    let mut desk = Desk::open(&start.name, start.bounds.clone(), start.contents.clone(), clock.now());
    if start.controls.is_empty() {
        desk.stands_alone();
    }
    if !start.purges.is_empty() {
        desk.waits_for_purges();
    }
    desk.is_at(&start.site, clock.now());
    // Copies that outlived the last start need what was purged meanwhile; a hub without any needs none of it.
    let past = match &disk {
        Some(opened) if opened.found.copies > 0 => Past::Applied(opened.found.checkpoint.applied_purge),
        _ => Past::Cold,
    };
    let disk = disk.map(|opened| {
        let now = clock.now();
        desk.has_kept(opened.metas, opened.found.checkpoint, start.purges.is_empty(), now);
        info!(log, "copies on disk"; "copies" => opened.found.copies, "lost" => opened.found.lost,
            "purges" => opened.found.checkpoint.applied_purge, "took_ms" => opened.took_ms);
        opened.disk
    });
    if !start.keepers.is_empty() {
        let number = clock.now().micros();
        desk.is_audited(number, &start.build, start.settings, clock.now());
    }
    if !start.hands_over {
        desk.without_handover();
    }
    if let Some(shape) = start.shape.clone() {
        desk.step(clock.now(), std::iter::once(News::Told(Box::new(shape))));
    }
    let shared = Rc::new(Shared {
        desk: RefCell::new(desk),
        clock,
        name: start.name.clone(),
        purges_taken: Cell::new(0),
        purges_were_taken: Event::new(),
        leaving: Cell::new(false),
        anew: Cell::new(false),
        ends: Event::new(),
    });
    let limits = Rc::new(start.limits);
    let (inbox, news) = async_channel::bounded(limits.inbox);
    let inbox_of_audit = inbox.clone();
    if disk.is_some() {
        let inbox = inbox.clone();
        spawner.spawn(async move {
            while let Ok(news) = disk_news.recv().await {
                let _ = inbox.send(news).await;
            }
        });
    }
    let closing = disk.clone();
    let below = down::Below::new(limits.clone(), shared.clone(), inbox.clone(), log.clone());
    let above = up::Above::new(limits.clone(), inbox.clone(), log.clone(), spawner.clone());
    info!(log, "ready"; "hub" => &start.name, "listen" => ?listener.get_ref().local_addr().ok());
    spawner.spawn(down::listen(below.clone(), listener, spawner.clone()));
    spawner.spawn(down::sweep(below.clone()));
    if !start.controls.is_empty() {
        let hub = follow::Hub { shared: shared.clone(), inbox: inbox.clone() };
        spawner.spawn(control::follow(hub, start.controls.clone(), limits.line(), log.clone()));
    }
    if let Some(feed) = start.feed {
        spawner.spawn(purges::follow(feed, limits.clone(), inbox.clone(), log.clone()));
    }
    if !start.purges.is_empty() {
        let hands = follow::Hands { shared: shared.clone(), inbox, handed: 0, knows: false, has: 0 };
        let (name, services, line, log) = (start.name.clone(), start.purges, limits.line(), log.clone());
        // No other start of this member has this number: clocks go on between two of them.
        let number = clock.now().micros();
        spawner.spawn(async move {
            following::purges::follow(&name, number, past, services, line, hands, log).await;
        });
    }
    if !start.keepers.is_empty() {
        let hub = follow::AuditedHub { shared: shared.clone(), inbox: inbox_of_audit };
        spawner.spawn(following::audit::follow(hub, start.keepers, limits.line(), log.clone()));
    }
    spawner.spawn(tell_refused(shared.clone(), log.clone()));
    let leaving = shared.clone();
    let stopped = async {
        let told = async {
            let _ = stop.recv().await;
        };
        let anew = async {
            while !leaving.anew.get() {
                leaving.ends.listen().await;
            }
        };
        or(told, anew).await;
        leave(&leaving).await;
    };
    or(turns(shared, news, below, above, disk, log.clone()), stopped).await;
    if let Some(disk) = closing {
        disk.close();
    }
    info!(log, "ended"; "hub" => &start.name);
}

/// A stage of a start, as tables have it.
fn word(stage: harestage_restart::stage::Stage) -> &'static str {
    use harestage_restart::stage::Stage;
    match stage {
        Stage::Reading => "reading",
        Stage::AwaitsPurges => "awaits_purges",
        Stage::WithoutPurges => "alone",
        Stage::AwaitsShape => "awaits_shape",
        Stage::CopiesOnly => "from_copies",
        Stage::BestFills => "worthy",
        Stage::All => "all",
    }
}

/// Goes down in order: others hear of it, and what is under way is answered.
async fn leave(shared: &Shared) {
    shared.leaving.set(true);
    let begun = Instant::now();
    Timer::after(LEAVES_AFTER).await;
    while shared.desk.borrow().fills() > 0 && begun.elapsed() < LEAVES_WITHIN {
        Timer::after(LEAVES_AFTER / 8).await;
    }
    let now = shared.clock.now();
    shared.desk.borrow_mut().audit().into_iter().for_each(|audit| audit.recorder().finish(now));
    let told =
        || shared.desk.borrow_mut().audit().is_none_or(|audit| audit.recorder().is_fully_acknowledged());
    while !told() && begun.elapsed() < LEAVES_WITHIN * 2 {
        Timer::after(LEAVES_AFTER / 8).await;
    }
}

/// Says what was refused for want of room, where anything was.
async fn tell_refused(shared: Rc<Shared>, log: Logger) {
    let mut before = QuotaStats::default();
    loop {
        Timer::after(TELLS_REFUSED).await;
        let tally = shared.desk.borrow().refused();
        if tally.refused > before.refused {
            info!(log, "refused"; "refused" => tally.refused - before.refused,
                "taken" => tally.admitted - before.admitted, "second_tries" => tally.retries - before.retries,
                "out_of_order" => tally.out_of_order - before.out_of_order);
            before = tally;
        }
    }
}

/// One turn for all that has come; the desk is free for others between turns only.
async fn turns(
    shared: Rc<Shared>,
    news: Receiver<News>,
    below: Rc<down::Below>,
    mut above: up::Above,
    disk: Option<disk::DiskHandle>,
    log: Logger,
) {
    let mut come = Vec::new();
    loop {
        let bell = shared.desk.borrow().next_bell();
        let rung = async {
            match bell {
                Some(bell) => Timer::at(shared.clock.instant(bell)).await,
                None => Timer::never().await,
            };
            None
        };
        come.extend(or(async { news.recv().await.ok() }, rung).await);
        while let Ok(more) = news.try_recv() {
            come.push(more);
        }
        let of_purges = |news: &&News| {
            matches!(news, News::Covered { .. } | News::Fenced(_) | News::KnowsPurges | News::HasPurges(_))
        };
        let purges = come.iter().filter(of_purges).count() as u64;
        let orders = shared.desk.borrow_mut().step(shared.clock.now(), come.drain(..));
        if purges > 0 {
            shared.purges_taken.set(shared.purges_taken.get() + purges);
            shared.purges_were_taken.notify(usize::MAX);
        }
        for order in orders {
            match order {
                Order::Answer { conn, given } => below.answer(conn, &given),
                Order::Pull { pull, to, ask } => above.pull(pull, &to, ask),
                Order::Cancel { pull } => above.cancel(pull),
                Order::Chase { to, chase } => above.chase(&to, &chase),
                Order::Look { ask, to } => above.look(&to, ask),
                Order::Read { key } => {
                    if let Some(disk) = &disk {
                        disk.read(key);
                    }
                }
                Order::Keep { meta, body } => {
                    if let Some(disk) = &disk {
                        disk.store(meta, body);
                    }
                }
                Order::Unkeep { keys } => {
                    if let Some(disk) = &disk {
                        disk.remove(keys);
                    }
                }
                Order::Mark(marks) => {
                    if let Some(disk) = &disk {
                        disk.set_checkpoint(marks);
                    }
                }
                Order::Started(turn) => {
                    let (from, to) = (word(turn.from), word(turn.to));
                    info!(log, "start"; "from" => from, "to" => to, "lasted_ms" => turn.lasted_ms, "why" => turn.reason);
                }
                Order::StartAnew(why) => {
                    warn!(log, "starts anew: the keeper asks for it"; "why" => why);
                    shared.ends.notify(usize::MAX);
                    shared.anew.set(true);
                }
                Order::Turned(FallbackChange::Left) => info!(log, "goes by its version again"),
                Order::Turned(FallbackChange::Entered { lost, planned }) => {
                    let lost = lost.into_iter().collect::<Vec<_>>().join(" ");
                    warn!(log, "goes without a site, with no service"; "lost" => lost, "planned" => planned);
                }
                Order::Broke(knot) => {
                    let (path, object) = (knot.path.join(" -> "), format!("{:016x}", knot.key.0));
                    let waited_ms = knot.waited.as_micros() as f64 / 1e3;
                    warn!(log, "loop broken"; "path" => path, "object" => object, "waited_ms" => waited_ms,
                        "seen_before" => knot.seen_before);
                }
            }
        }
    }
}
