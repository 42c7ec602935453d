//! Lines of text from a socket, within a bound and a time.
use crate::Stream;
use async_io::Timer;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::time::Duration;

const PIECE: usize = 16 << 10;

/// The lines that come in on a connection.
pub struct LineReader<'a> {
    stream: &'a Stream,
    text: Vec<u8>,
    /// Bytes of a line at most.
    pub max_line_bytes: usize,
}

impl<'a> LineReader<'a> {
    pub fn new(stream: &'a Stream, most: usize) -> LineReader<'a> {
        LineReader { stream, text: Vec::new(), max_line_bytes: most }
    }

    /// The next line without its end, or why there is none; an empty reason is a close between two lines.
    pub async fn next_line(&mut self) -> Result<Vec<u8>, String> {
        let (mut piece, mut looked) = (vec![0; PIECE], 0);
        loop {
            if let Some(at) = self.text[looked..].iter().position(|b| *b == b'\n') {
                let mut line: Vec<u8> = self.text.drain(..=looked + at).collect();
                line.pop();
                return Ok(line);
            }
            looked = self.text.len();
            if looked > self.max_line_bytes {
                return Err("a line past the bound".into());
            }
            match (&mut &*self.stream).read(&mut piece).await {
                Ok(0) => return Err(if looked == 0 { String::new() } else { "closed in a line".into() }),
                Ok(bytes) => self.text.extend_from_slice(&piece[..bytes]),
                Err(why) => return Err(why.to_string()),
            }
        }
    }

    pub fn stream(&self) -> &'a Stream {
        self.stream
    }
}

/// What takes longer is given up; the reason is `late`.
pub async fn with_timeout<T>(
    time: Duration,
    late: &str,
    work: impl Future<Output = Result<T, String>>,
) -> Result<T, String> {
    let timer = async {
        Timer::after(time).await;
        Err(late.to_string())
    };
    or(work, timer).await
}

/// Writes text whole, in time.
pub async fn write_text(mut stream: &Stream, text: &[u8], time: Duration) -> Result<(), String> {
    with_timeout(time, "it takes nothing", async {
        stream.write_all(text).await.map_err(|why| why.to_string())
    })
    .await
}
