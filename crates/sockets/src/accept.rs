//! Takes connections in, a task each, up to a bound: past it one is closed at once.
use crate::{Spawner, Stream};
use async_io::{Async, Timer};
use std::cell::Cell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// After a failure to take one in, which mostly means that there is no descriptor left.
const PAUSE: Duration = Duration::from_millis(50);

/// Connections that are open, over all listeners that share it.
#[derive(Clone)]
pub struct ConnectionLimit {
    now: Rc<Cell<usize>>,
    most: usize,
}

impl ConnectionLimit {
    pub fn new(most: usize) -> ConnectionLimit {
        ConnectionLimit { now: Rc::default(), most }
    }
}

/// For as long as it is polled. `serve` gets each connection; `failed` hears when none could be taken in.
pub async fn accept<F: Future<Output = ()> + 'static>(
    listener: Async<TcpListener>,
    open: ConnectionLimit,
    spawner: Spawner,
    serve: impl Fn(Stream) -> F,
    failed: impl Fn(io::Error),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if open.now.get() < open.most => {
                let _ = stream.get_ref().set_nodelay(true);
                let (served, now) = (serve(stream), open.now.clone());
                now.set(now.get() + 1);
                spawner.spawn(async move {
                    served.await;
                    now.set(now.get() - 1);
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
