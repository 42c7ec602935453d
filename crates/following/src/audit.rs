//! A line to the keeper of the audit: a report, its answer, and again. What is not acknowledged goes out again with the next
//! one, to whoever speaks for the keeper then.
use crate::Line;
use crate::subscribe;
use async_io::Timer;
use harestage::time::Moment;
use harestage_audit::messages::{KeeperMessage, ProcessMessage, Report, to_line};
use harestage_sockets::leader::LeaderFinder;
use harestage_sockets::lines::{LineReader, with_timeout, write_text};
use slog::{Logger, info, warn};
use std::net::SocketAddr;

/// Whoever is audited.
pub trait Audited {
    fn now(&self) -> Moment;
    fn report(&self) -> Report;
    /// There is more to send than one report takes.
    fn has_more(&self) -> bool;
    /// The answer to the report that went out at `asked`. False: it has to start anew, and nothing more is to be reported.
    fn answered(&self, answer: KeeperMessage, asked: Moment) -> impl Future<Output = bool>;
}

/// Reports for as long as it is polled; returns when the process has to start anew.
pub async fn follow(audited: impl Audited, keepers: Vec<SocketAddr>, terms: Line, log: Logger) {
    let Some(mut leader) = LeaderFinder::from_addresses(keepers) else { return std::future::pending().await };
    let mut down = false;
    loop {
        let mut up = false;
        match stay(&audited, &mut leader, &terms, &log, &mut up).await {
            Ok(()) => return,
            Err(why) => {
                down &= !up;
                if !std::mem::replace(&mut down, true) {
                    warn!(log, "keeper down"; "why" => why);
                }
            }
        }
        Timer::after(terms.pause).await;
    }
}

async fn stay(
    audited: &impl Audited,
    leader: &mut LeaderFinder,
    terms: &Line,
    log: &Logger,
    up: &mut bool,
) -> Result<(), String> {
    let at = leader.next_address();
    // Where it breaks without a word of who speaks, the next one is tried.
    leader.on_failure();
    let (mut asked, mut report) = (audited.now(), audited.report());
    let stream = subscribe(at, &to_line(&ProcessMessage::Report(Box::new(report))), terms.connect).await?;
    let mut lines = LineReader::new(&stream, terms.bytes);
    loop {
        let answer = with_timeout(terms.silence, "silent", lines.next_line()).await?;
        let answer = serde_json::from_slice(&answer).map_err(|why| format!("an unreadable line: {why}"))?;
        if let KeeperMessage::NotLeader { leader_address: serves } = &answer {
            leader.on_redirect(serves.as_deref());
            return Err("this member does not speak".into());
        }
        if !std::mem::replace(up, true) {
            leader.on_leader(at);
            info!(log, "keeper up");
        }
        if !audited.answered(answer, asked).await {
            return Ok(());
        }
        if !audited.has_more() {
            Timer::after(terms.report_every).await;
        }
        (asked, report) = (audited.now(), audited.report());
        write_text(&stream, &to_line(&ProcessMessage::Report(Box::new(report))), terms.silence).await?;
    }
}
