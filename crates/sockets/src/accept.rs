//! Accepts connections up to a limit, each served by its own task; connections over the limit are closed at
//! once.
use crate::{Spawner, Stream};
use async_io::{Async, Timer};
use std::cell::Cell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Pause after a failed accept, which mostly means that the process has run out of file descriptors.
const PAUSE: Duration = Duration::from_millis(50);

/// The standard library's length of the queue of connections that wait to be accepted.
const MIN_LISTEN_QUEUE: usize = 128;

/// Lets `connections` wait until they are accepted, or the usual number if it is larger. Past it the kernel drops
/// handshakes, and the peer's next try comes after a second.
pub fn extend_listen_queue(listener: &Async<TcpListener>, connections: usize) -> io::Result<()> {
    let length = connections.max(MIN_LISTEN_QUEUE).try_into().unwrap_or(i32::MAX);
    Ok(rustix::net::listen(listener.get_ref(), length)?)
}

/// Limits the number of open connections over all listeners that share it.
#[derive(Clone)]
pub struct ConnectionLimit {
    open: Rc<Cell<usize>>,
    max_open: usize,
}

impl ConnectionLimit {
    /// Allows `max_open` connections at a time.
    pub fn new(max_open: usize) -> ConnectionLimit {
        ConnectionLimit { open: Rc::default(), max_open }
    }
}

/// Accepts for as long as it is polled. `serve` gets each connection, `failed` each error of an accept.
pub async fn accept<F: Future<Output = ()> + 'static>(
    listener: Async<TcpListener>,
    limit: ConnectionLimit,
    spawner: Spawner,
    serve: impl Fn(Stream) -> F,
    failed: impl Fn(io::Error),
) {
    if let Err(why) = extend_listen_queue(&listener, limit.max_open) {
        failed(why);
    }
    loop {
        match listener.accept().await {
            Ok((stream, _)) if limit.open.get() < limit.max_open => {
                let _ = stream.get_ref().set_nodelay(true);
                let (served, open) = (serve(stream), limit.open.clone());
                open.set(open.get() + 1);
                spawner.spawn(async move {
                    served.await;
                    open.set(open.get() - 1);
                });
            }
            Ok(_) => {}
            Err(why) => {
                failed(why);
                Timer::after(PAUSE).await;
            }
        }
    }
}
