//! A hub on sockets: one thread, one task that owns the desk, and tasks for each connection that reach it through one
//! queue. Nothing here decides.
mod down;
mod follow;
mod purge_service;
mod purges;
mod up;

use crate::desk::{Desk, News, Order};
use crate::start::HubStart;
use async_channel::Receiver;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use harestage_sockets::clock::Clock;
use harestage_sockets::lines::{within, write_text};
use harestage_sockets::{Spawner, Stream};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The tag under which a hub asks another what it calls itself.
const WHO: &[u8] = b"hub-who";
/// The same for a hub that asks another site whether it is there; a number follows.
const LOOK: &[u8] = b"hub-look-";

/// What other tasks may ask of the desk, between two of its turns.
pub(crate) struct Shared {
    pub desk: RefCell<Desk>,
    pub clock: Clock,
    pub name: String,
    /// News of the service of purges that the desk has taken in: only then may they be confirmed.
    pub purges_taken: Cell<u64>,
    pub purges_were_taken: Event,
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
    let mut desk = Desk::open(&start.name, start.bounds.clone(), start.contents.clone(), clock.now());
    if start.controls.is_empty() {
        desk.stands_alone();
    }
    if !start.purges.is_empty() {
        desk.waits_for_purges();
    }
    desk.is_at(&start.site, clock.now());
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
    });
    let limits = Rc::new(start.limits);
    let (inbox, news) = async_channel::bounded(limits.inbox);
    let below = down::Below::new(limits.clone(), shared.clone(), inbox.clone(), log.clone());
    let above = up::Above::new(limits.clone(), inbox.clone(), log.clone(), spawner.clone());
    info!(log, "ready"; "hub" => &start.name, "listen" => ?listener.get_ref().local_addr().ok());
    spawner.spawn(down::listen(below.clone(), listener, spawner.clone()));
    spawner.spawn(down::sweep(below.clone()));
    if !start.controls.is_empty() {
        let (limits, inbox, controls) = (limits.clone(), inbox.clone(), start.controls.clone());
        let follower = follow::Follower { limits, shared: shared.clone(), inbox, log: log.clone(), controls };
        spawner.spawn(follow::follow(follower));
    }
    if let Some(feed) = start.feed {
        spawner.spawn(purges::follow(feed, limits.clone(), inbox.clone(), log.clone()));
    }
    if !start.purges.is_empty() {
        spawner.spawn(purge_service::follow(start.purges, shared.clone(), limits, inbox, log.clone()));
    }
    let stopped = async {
        let _ = stop.recv().await;
    };
    or(turns(shared, news, below, above, log.clone()), stopped).await;
    info!(log, "ended"; "hub" => &start.name);
}

/// One turn for all that has come; the desk is free for others between turns only.
async fn turns(
    shared: Rc<Shared>,
    news: Receiver<News>,
    below: Rc<down::Below>,
    mut above: up::Above,
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
        let of_purges =
            |news: &&News| matches!(news, News::Covered { .. } | News::Fenced(_) | News::KnowsPurges);
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
                Order::Broke(knot) => {
                    let (path, object) = (knot.path.join(" -> "), format!("{:016x}", knot.key.0));
                    let waited_ms = knot.waited.as_micros() as f64 / 1e3;
                    warn!(log, "loop broken"; "path" => path, "object" => object, "waited_ms" => waited_ms,
                        "seen_before" => knot.before);
                }
            }
        }
    }
}

/// Connects, and says the first line.
async fn subscribe(to: SocketAddr, hello: &[u8], time: Duration) -> Result<Stream, String> {
    within(time, "not up in time", async {
        let stream = Async::<TcpStream>::connect(to).await.map_err(|why| why.to_string())?;
        write_text(&stream, hello, time).await?;
        Ok(stream)
    })
    .await
}
