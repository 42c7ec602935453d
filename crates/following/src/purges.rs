//! Follows the service of purges: says what it has, some times a second and after each news, and applies what it is told
//! before it says so.
use crate::{Line, subscribe};
use async_io::Timer;
use futures_lite::future::or;
use harestage_purge::follower::{Action, Follower};
use harestage_purge::messages::{Past, ToMember, to_line};
use harestage_sockets::leader::LeaderFinder;
use harestage_sockets::lines::{LineReader, with_timeout, write_text};
use slog::{Logger, info, warn};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Between two words to the service, where there is nothing new.
const SAYS_EVERY: Duration = Duration::from_millis(80);
/// Whoever tells answers each word at once. One that does not for as long, and for four times as long as it ever took, is
/// left for the next: a gatherer that was stopped would keep its site fenced until the line's own silence.
const ANSWERS_WITHIN: Duration = Duration::from_millis(500);
const TIMES_ITS_SLOWEST: u32 = 4;

/// Whoever applies purges.
pub trait Hands {
    /// Applies all of them: when it returns, no answer goes by what was before. `has` is the number of the last of them;
    /// `ready` says that all that lives is known.
    fn apply(&mut self, acts: Vec<Action>, has: u64, ready: bool) -> impl Future<Output = ()>;
}

/// Follows for as long as it is polled: the service's members, or the gatherers of its site. `start` is a number that no
/// other start of this member has.
pub async fn follow(
    name: &str,
    start: u64,
    past: Past,
    services: Vec<SocketAddr>,
    terms: Line,
    mut hands: impl Hands,
    log: Logger,
) {
    let mut follower = Follower::new(name, start).with_past(past);
    let mut down = false;
    let Some(mut leader) = LeaderFinder::from_addresses(services) else { return };
    loop {
        let stayed = stay(&mut leader, &mut follower, &terms, &mut hands, &log, &mut down).await;
        let why = stayed.err().unwrap_or_default();
        if !std::mem::replace(&mut down, true) {
            warn!(log, "purges down"; "why" => why, "has" => follower.ack().applied);
        }
        Timer::after(terms.pause * leader.backoff_factor()).await;
    }
}

async fn stay(
    leader: &mut LeaderFinder,
    follower: &mut Follower,
    terms: &Line,
    hands: &mut impl Hands,
    log: &Logger,
    down: &mut bool,
) -> Result<(), String> {
    let at = leader.next_address();
    // Where it breaks without a word of who speaks, the next one is tried.
    leader.on_failure();
    let stream = subscribe(at, &to_line(&follower.ack()), terms.connect).await?;
    let mut lines = LineReader::new(&stream, terms.bytes);
    let (mut up, mut slowest, mut asked) = (false, Duration::ZERO, Instant::now());
    loop {
        let before = follower.ack();
        let patience = (slowest * TIMES_ITS_SLOWEST).max(ANSWERS_WITHIN).min(terms.silence);
        let told = with_timeout(patience, "silent", lines.next_line()).await?;
        slowest = slowest.max(asked.elapsed());
        let told = read(&told)?;
        if let ToMember::NotLeader { leader: serves } = &told {
            leader.on_redirect(serves.as_deref());
            return Err("this member does not speak".into());
        }
        if !std::mem::replace(&mut up, true) {
            leader.on_leader(at);
            *down = false;
            info!(log, "purges up"; "has" => follower.ack().applied);
        }
        apply(told, follower, hands).await?;
        // What is new is confirmed at once: others wait for it, and a fence comes soon.
        if follower.ack() != before {
            write_text(&stream, &to_line(&follower.ack()), terms.silence).await?;
            asked = Instant::now();
            continue;
        }
        // What comes within the pause is applied at once, and confirmed with what came before.
        let pause = async {
            Timer::after(SAYS_EVERY).await;
            None
        };
        if let Some(more) = or(async { Some(lines.next_line().await) }, pause).await {
            apply(read(&more?)?, follower, hands).await?;
        }
        write_text(&stream, &to_line(&follower.ack()), terms.silence).await?;
        asked = Instant::now();
    }
}

fn read(line: &[u8]) -> Result<ToMember, String> {
    serde_json::from_slice(line).map_err(|why| format!("an unreadable line: {why}"))
}

async fn apply(told: ToMember, follower: &mut Follower, hands: &mut impl Hands) -> Result<(), String> {
    let is_replaced = told == ToMember::Replaced;
    let acts = follower.handle(told).map_err(|why| format!("{why:?}"))?;
    if is_replaced {
        // It has what it had; the next word says so under another number.
        return Ok(());
    }
    hands.apply(acts, follower.ack().applied, follower.is_ready()).await;
    Ok(())
}
