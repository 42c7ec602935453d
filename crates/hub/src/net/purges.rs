//! Hears of purges from a control feed in the platform's form, as routers do. What it tells of caches is not a hub's
//! concern. A hub that starts holds nothing, so that no purge from before its start concerns it; after a break it asks
//! for all that it missed.
use crate::desk::News;
use crate::start::Limits;
use crate::store::Named;
use async_channel::Sender;
use async_io::Timer;
use harestage_following::subscribe;
use harestage_sockets::clock::moment_from_unix_ms;
use harestage_sockets::lines::{LineReader, with_timeout};
use harestage_wire::feed::{self, FeedEvent, FeedMessage, decode_line};
use slog::{Logger, info, warn};
use std::net::SocketAddr;
use std::rc::Rc;

pub(crate) async fn follow(from: SocketAddr, limits: Rc<Limits>, inbox: Sender<News>, log: Logger) {
    let (mut last, mut down) = (0, false);
    loop {
        let why = stay(from, &limits, &inbox, &mut last).await.err().unwrap_or_default();
        if !std::mem::replace(&mut down, true) {
            warn!(log, "feed down"; "why" => &why, "last" => last);
        }
        Timer::after(limits.control_pause).await;
        if last > 0 {
            down = false;
            info!(log, "feed again"; "after" => last);
        }
    }
}

/// Follows one connection to its end. Events that come twice are passed over; a gap ends it, and is asked for again.
async fn stay(from: SocketAddr, limits: &Limits, inbox: &Sender<News>, last: &mut u64) -> Result<(), String> {
    let stream = subscribe(from, &feed::encode_subscribe(*last), limits.connect).await?;
    let mut lines = LineReader::new(&stream, limits.line_bytes);
    loop {
        let line = with_timeout(limits.control_silence, "silent", lines.next_line()).await?;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        match decode_line(&line).map_err(|why| format!("unreadable line: {why}"))? {
            FeedMessage::Event(n, told) if n == *last + 1 || *last == 0 => {
                if let FeedEvent::Purge { object, group, at_ms } = told {
                    let named = object.map_or(Named::Group(group), Named::Object);
                    let _ = inbox.send(News::Purged { named, at: moment_from_unix_ms(at_ms) }).await;
                }
                *last = n;
            }
            FeedMessage::Event(n, _) | FeedMessage::Heartbeat(n) if n <= *last => {}
            FeedMessage::Heartbeat(_) if *last == 0 => {}
            FeedMessage::Event(n, _) | FeedMessage::Heartbeat(n) => {
                return Err(format!("event {n} follows {last}"));
            }
        }
    }
}
