//! Lines of text on sockets, with bounds on length and time.
use crate::{Stream, call_without_waiting};
use async_io::Timer;
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use std::io::{self, Read};
use std::time::Duration;

/// Bytes per read.
const READ_BYTES: usize = 16 << 10;

/// Reads lines from a connection.
pub struct LineReader<'a> {
    stream: &'a Stream,
    text: Vec<u8>,
    /// Longest line in bytes.
    pub max_line_bytes: usize,
}

impl<'a> LineReader<'a> {
    /// Accepts lines up to `max_line_bytes` long.
    pub fn new(stream: &'a Stream, max_line_bytes: usize) -> LineReader<'a> {
        LineReader { stream, text: Vec::new(), max_line_bytes }
    }

    /// The next line without its end, or the error. An empty error text means that the peer closed between
    /// two lines.
    pub async fn next_line(&mut self) -> Result<Vec<u8>, String> {
        let mut searched = 0;
        loop {
            if let Some(at) = self.text[searched..].iter().position(|b| *b == b'\n') {
                let mut line: Vec<u8> = self.text.drain(..=searched + at).collect();
                line.pop();
                return Ok(line);
            }
            searched = self.text.len();
            if searched > self.max_line_bytes {
                return Err("a line past the bound".into());
            }
            match self.read_more().await {
                Ok(0) => {
                    return Err(if searched == 0 {
                        String::new()
                    } else {
                        "closed in the middle of a line".into()
                    });
                }
                Ok(_) => {}
                Err(why) => return Err(why.to_string()),
            }
        }
    }

    /// Appends what comes next; 0: the peer has closed.
    async fn read_more(&mut self) -> io::Result<usize> {
        loop {
            if let Some(bytes) = self.try_read()? {
                return Ok(bytes);
            }
            self.stream.readable().await?;
        }
    }

    /// The buffer must not be part of a task: each connection that waits would hold one.
    fn try_read(&mut self) -> io::Result<Option<usize>> {
        let mut piece = [0; READ_BYTES];
        let read = call_without_waiting(|| self.stream.get_ref().read(&mut piece))?;
        self.text.extend_from_slice(&piece[..read.unwrap_or(0)]);
        Ok(read)
    }

    /// The connection that it reads from.
    pub fn stream(&self) -> &'a Stream {
        self.stream
    }
}

/// Runs `work` with a time limit; the error after that time is `late`.
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

/// Writes the whole text within a time limit.
pub async fn write_text(mut stream: &Stream, text: &[u8], time: Duration) -> Result<(), String> {
    with_timeout(time, "the peer accepts no data", async {
        stream.write_all(text).await.map_err(|why| why.to_string())
    })
    .await
}
