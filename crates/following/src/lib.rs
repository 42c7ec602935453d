//! Lines to the services, for hubs and branch feeds: whoever speaks for a group is found and found again, what it says is
//! handed on, and what the follower has to say goes the other way. Nothing here decides anything but where to call next.
pub mod audit;
pub mod control;
pub mod looks;
pub mod purges;

use async_io::Async;
use harestage_sockets::Stream;
use harestage_sockets::lines::{with_timeout, write_text};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Times and sizes of a line to a service.
#[derive(Clone, Debug)]
pub struct Line {
    pub connect: Duration,
    /// A service that says nothing for as long is taken for gone.
    pub silence: Duration,
    /// Before the next member is tried.
    pub pause: Duration,
    pub report_every: Duration,
    pub bytes: usize,
}

/// Connects, and says the first line.
pub async fn subscribe(to: SocketAddr, hello: &[u8], time: Duration) -> Result<Stream, String> {
    with_timeout(time, "not up in time", async {
        let stream = Async::<TcpStream>::connect(to).await.map_err(|why| why.to_string())?;
        write_text(&stream, hello, time).await?;
        Ok(stream)
    })
    .await
}
