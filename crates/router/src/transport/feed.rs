//! The control feed: subscribes after the last event applied, and again after a break, a silence or a gap.
use super::Stream;
use crate::program::limits::Limits;
use crate::protocol::feed::{self, Line};
use crate::routing::News;
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use slog::{Logger, info, warn};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

pub struct Feed {
    pub limits: Rc<Limits>,
    pub inbox: Sender<News>,
    pub log: Logger,
    pub address: SocketAddr,
    /// The number of the last event that was applied.
    pub last: u64,
}

/// Follows the feed for as long as it is polled.
pub async fn follow(mut feed: Feed) {
    let mut broken = false;
    loop {
        let before = feed.last;
        let why = match connect(&feed).await {
            Ok(stream) => {
                info!(feed.log, "feed up"; "after" => feed.last);
                read(&mut feed, &stream).await
            }
            Err(why) => why,
        };
        // Said once for each break, however long it lasts.
        if !broken || feed.last != before {
            warn!(feed.log, "feed down"; "why" => &why, "last" => feed.last);
        }
        broken = feed.last == before;
        Timer::after(feed.limits.feed_pause).await;
    }
}

async fn connect(feed: &Feed) -> Result<Stream, String> {
    let up = async { Async::<TcpStream>::connect(feed.address).await.map_err(|why| why.to_string()) };
    let stream = within(feed, up).await?;
    within(feed, async {
        let text = feed::subscribe(feed.last);
        (&stream).write_all(&text).await.map_err(|why| why.to_string())
    })
    .await?;
    Ok(stream)
}

async fn within<T>(feed: &Feed, work: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let late = async {
        Timer::after(feed.limits.feed_silence).await;
        Err("silent".to_string())
    };
    or(work, late).await
}

async fn read(feed: &mut Feed, mut stream: &Stream) -> String {
    let mut text = Vec::new();
    let mut piece = vec![0; feed.limits.read_buffer];
    loop {
        let got = within(feed, async { stream.read(&mut piece).await.map_err(|why| why.to_string()) }).await;
        match got {
            Ok(0) => return "closed".into(),
            Ok(bytes) => text.extend_from_slice(&piece[..bytes]),
            Err(why) => return why,
        }
        let mut done = 0;
        while let Some(length) = text[done..].iter().position(|b| *b == b'\n') {
            let line = &text[done..done + length];
            done += length + 1;
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            match feed::read_line(line) {
                Ok(Line::Event(n, told)) if n == feed.last + 1 => {
                    feed.last = n;
                    let _ = feed.inbox.send(News::Told(told)).await;
                }
                Ok(Line::Event(n, _)) | Ok(Line::Beat(n)) if n <= feed.last => {}
                Ok(Line::Event(n, _)) | Ok(Line::Beat(n)) => {
                    return format!("event {n} follows {}", feed.last);
                }
                Err(why) => {
                    let start = String::from_utf8_lossy(&line[..line.len().min(80)]);
                    return format!("unreadable line: {why}: {start}");
                }
            }
        }
        text.drain(..done);
        if text.len() > feed.limits.feed_line_bytes {
            return "a line past the bound".into();
        }
    }
}
