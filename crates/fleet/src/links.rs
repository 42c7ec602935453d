//! The links: one listener for each port of each process, on one thread; another one finds out who has called, so that
//! nothing that is carried waits for that. A connection is carried piece by piece, each
//! held back as its way says at that moment; a cut resets both ends. What a way does is decided in `conditions`.
//!
//! Limit: the kernel completes a handshake before anyone here can refuse it. Over a silent way a new connection therefore
//! comes up and says nothing, where a lost machine would not even answer; both look the same to who waits for an answer.
use crate::conditions::{Condition, Conditions};
use crate::whose::Callers;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use harestage_sockets::Spawner;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Pieces that are on the way in one direction of a connection; past it the sender waits.
const PIECES: usize = 64;
const PIECE: usize = 16 << 10;
/// Connections whose callers are being looked for; past it further ones are accepted later.
const CALLS: usize = 256;

/// What is shared with the thread that carries.
pub struct Table {
    conditions: Mutex<Conditions>,
    changed: Event,
    whose: Arc<dyn Callers>,
}

impl Table {
    pub fn new(conditions: Conditions, whose: Arc<dyn Callers>) -> Arc<Table> {
        Arc::new(Table { conditions: Mutex::new(conditions), changed: Event::new(), whose })
    }

    fn conditions(&self) -> MutexGuard<'_, Conditions> {
        self.conditions.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn change(&self, change: impl FnOnce(&mut Conditions)) {
        change(&mut self.conditions());
        self.changed.notify(usize::MAX);
    }

    fn between(&self, from: &str, to: &str) -> Condition {
        self.conditions().between(from, to)
    }
}

/// Carries until it is dropped.
pub struct Links {
    stop: Option<async_channel::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Links {
    /// Binds all listeners first, so that nothing has started where one is taken.
    pub fn open(links: Vec<(String, SocketAddr, SocketAddr)>, table: Arc<Table>) -> Result<Links, String> {
        let bind = |(to, at, far): (String, SocketAddr, SocketAddr)| {
            let listener = TcpListener::bind(at).map_err(|why| format!("link to {to} at {at}: {why}"))?;
            Ok((to, listener, far))
        };
        let bound: Vec<_> = links.into_iter().map(bind).collect::<Result<_, String>>()?;
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let (calls, called) = async_channel::bounded::<Called>(CALLS);
        let whose = table.whose.clone();
        // It ends with the last one that may ask.
        std::thread::spawn(move || {
            while let Ok(Called { from, at, tell }) = called.recv_blocking() {
                let _ = tell.send_blocking(whose.find(from, at).unwrap_or_default());
            }
        });
        let thread = std::thread::spawn(move || {
            let spawner = Spawner::default();
            for (to, listener, far) in bound {
                let Ok(listener) = Async::new(listener) else { continue };
                spawner.spawn(listen(spawner.clone(), table.clone(), calls.clone(), to, listener, far));
            }
            spawner.block_on(async {
                let _ = stopped.recv().await;
            });
        });
        Ok(Links { stop: Some(stop), thread: Some(thread) })
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        drop(self.stop.take());
        self.thread.take().into_iter().for_each(|thread| drop(thread.join()));
    }
}

/// A connection whose caller is to be found.
struct Called {
    from: SocketAddr,
    at: SocketAddr,
    tell: async_channel::Sender<String>,
}

async fn listen(
    spawner: Spawner,
    table: Arc<Table>,
    calls: async_channel::Sender<Called>,
    to: String,
    listener: Async<TcpListener>,
    far: SocketAddr,
) {
    loop {
        let Ok((near, from)) = listener.accept().await else {
            Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        let Ok(at) = near.get_ref().local_addr() else { continue };
        let (tell, told) = async_channel::bounded(1);
        if calls.send(Called { from, at, tell }).await.is_err() {
            return;
        }
        let (table, to) = (table.clone(), to.clone());
        spawner.spawn(async move {
            let Ok(from) = told.recv().await else { return reset(&near) };
            carry(table, from, to, near, far).await;
        });
    }
}

type Stream = Rc<Async<TcpStream>>;

/// Ends a connection so that the other side sees a reset.
fn reset(stream: &Async<TcpStream>) {
    let _ = rustix::net::sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
}

async fn carry(table: Arc<Table>, from: String, to: String, near: Async<TcpStream>, far: SocketAddr) {
    if table.between(&from, &to).cut || table.between(&to, &from).cut {
        return reset(&near);
    }
    // Nobody listens there: a refusal comes back as one.
    let Ok(far) = Async::<TcpStream>::connect(far).await else { return reset(&near) };
    let _ = (near.get_ref().set_nodelay(true), far.get_ref().set_nodelay(true));
    let (near, far): (Stream, Stream) = (Rc::new(near), Rc::new(far));
    let up = pass(&table, &from, &to, &near, &far);
    let back = pass(&table, &to, &from, &far, &near);
    let both = futures_lite::future::zip(up, back);
    let cut = until_cut(&table, &from, &to);
    let was_cut = or(
        async {
            both.await;
            false
        },
        async {
            cut.await;
            true
        },
    )
    .await;
    if was_cut {
        reset(&near);
        reset(&far);
    }
}

async fn until_cut(table: &Table, from: &str, to: &str) {
    loop {
        let changed = table.changed.listen();
        if table.between(from, to).cut || table.between(to, from).cut {
            return;
        }
        changed.await;
    }
}

/// One direction, to its end; what came before the end still goes on.
async fn pass(table: &Table, from: &str, to: &str, source: &Stream, sink: &Stream) {
    let begun = Instant::now();
    let (send, receive) = async_channel::bounded::<(Duration, Vec<u8>)>(PIECES);
    let read = async {
        let mut piece = vec![0; PIECE];
        while let Ok(bytes @ 1..) = (&**source).read(&mut piece).await {
            if send.send((begun.elapsed(), piece[..bytes].to_vec())).await.is_err() {
                break;
            }
        }
        drop(send);
    };
    let write = async {
        let mut free = Duration::ZERO;
        while let Ok((came, piece)) = receive.recv().await {
            free = until_it_passes(table, from, to, came, free, piece.len(), begun).await;
            if (&**sink).write_all(&piece).await.is_err() {
                break;
            }
        }
        drop(receive);
        let _ = sink.get_ref().shutdown(Shutdown::Write);
        // A sink that takes nothing more: the source has to hear of it.
        let _ = source.get_ref().shutdown(Shutdown::Read);
    };
    futures_lite::future::zip(read, write).await;
}

/// Waits as the way says, which may change meanwhile; returns when the piece was through.
async fn until_it_passes(
    table: &Table,
    from: &str,
    to: &str,
    came: Duration,
    free: Duration,
    bytes: usize,
    begun: Instant,
) -> Duration {
    loop {
        let changed = table.changed.listen();
        let condition = table.between(from, to);
        if condition.silent {
            changed.await;
            continue;
        }
        let at = condition.passes_at(came, free, bytes);
        let now = begun.elapsed();
        if now >= at {
            return now.max(free);
        }
        let due = async {
            Timer::at(begun + at).await;
        };
        or(changed, due).await;
    }
}
