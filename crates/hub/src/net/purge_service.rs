//! Follows the service of purges: says what it has, some times a second and after each news, and applies what it is told
//! before it says so.
use super::{Shared, subscribe};
use crate::desk::News;
use crate::start::Limits;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future::or;
use harestage_purge::follow::{Act, Follower};
use harestage_purge::lines::{ToMember, line};
use harestage_sockets::leader::Leader;
use harestage_sockets::lines::{Lines, within, write_text};
use slog::{Logger, info, warn};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Between two words to the service, where there is nothing new.
const SAYS_EVERY: Duration = Duration::from_millis(80);

pub(crate) async fn follow(
    services: Vec<SocketAddr>,
    shared: Rc<Shared>,
    limits: Rc<Limits>,
    inbox: Sender<News>,
    log: Logger,
) {
    // No other start of this member has this number: clocks go on between two of them.
    let mut follower = Follower::new(&shared.name, shared.clock.now().micros());
    let mut down = false;
    let mut hands = Hands { shared, inbox, handed: 0, knows: false };
    let Some(mut leader) = Leader::among(services) else { return };
    loop {
        let why = stay(&mut leader, &mut follower, &limits, &mut hands, &log, &mut down)
            .await
            .err()
            .unwrap_or_default();
        if !std::mem::replace(&mut down, true) {
            warn!(log, "purges down"; "why" => why, "has" => follower.confirm().has);
        }
        Timer::after(limits.control_pause).await;
    }
}

async fn stay(
    leader: &mut Leader,
    follower: &mut Follower,
    limits: &Limits,
    hands: &mut Hands,
    log: &Logger,
    down: &mut bool,
) -> Result<(), String> {
    let at = leader.next();
    // Where it breaks without a word of who speaks, the next one is tried.
    leader.missed();
    let stream = subscribe(at, &line(&follower.confirm()), limits.connect).await?;
    let mut lines = Lines::new(&stream, limits.line_bytes);
    let mut up = false;
    loop {
        let before = follower.confirm();
        let told = within(limits.control_silence, "silent", lines.next()).await?;
        if let Ok(ToMember::Elsewhere { serves }) = serde_json::from_slice(&told) {
            leader.elsewhere(serves.as_deref());
            return Err("this member does not speak".into());
        }
        if !std::mem::replace(&mut up, true) {
            leader.found(at);
            *down = false;
            info!(log, "purges up"; "has" => follower.confirm().has);
        }
        hands.apply(&told, follower).await?;
        // What is new is confirmed at once: others wait for it, and a fence comes soon.
        if follower.confirm() != before {
            write_text(&stream, &line(&follower.confirm()), limits.control_silence).await?;
            continue;
        }
        // What comes within the pause is applied at once, and confirmed with what came before.
        let pause = async {
            Timer::after(SAYS_EVERY).await;
            None
        };
        if let Some(more) = or(async { Some(lines.next().await) }, pause).await {
            hands.apply(&more?, follower).await?;
        }
        write_text(&stream, &line(&follower.confirm()), limits.control_silence).await?;
    }
}

/// Hands on what is told, and waits until the desk has taken it in: no answer after that goes by what was before.
struct Hands {
    shared: Rc<Shared>,
    inbox: Sender<News>,
    handed: u64,
    knows: bool,
}

impl Hands {
    async fn apply(&mut self, told: &[u8], follower: &mut Follower) -> Result<(), String> {
        let told: ToMember =
            serde_json::from_slice(told).map_err(|why| format!("an unreadable line: {why}"))?;
        for act in follower.hear(told).map_err(|why| format!("{why:?}"))? {
            let news = match act {
                Act::Purge { scope, at } => News::Covered { scope: Box::new(scope), at },
                Act::Fences(fenced) => News::Fenced(fenced),
            };
            self.hand(news).await;
        }
        if follower.is_ready() && !self.knows {
            self.knows = true;
            self.hand(News::KnowsPurges).await;
        }
        while self.shared.purges_taken.get() < self.handed {
            let taken = self.shared.purges_were_taken.listen();
            if self.shared.purges_taken.get() < self.handed {
                taken.await;
            }
        }
        Ok(())
    }

    async fn hand(&mut self, news: News) {
        self.handed += 1;
        let _ = self.inbox.send(news).await;
    }
}
