//! Accepts client connections, and ends those that are overdue or needed least.
use super::Clients;
use super::connection::Ending;
use super::session::serve;
use crate::transport::{Executor, Stream};
use async_io::{Async, Timer};
use futures_lite::future::or;
use slog::{info, warn};
use std::io::ErrorKind;
use std::net::TcpListener;
use std::rc::Rc;

/// After this many failures connections that wait to be accepted at shutdown are given up.
const MAX_ACCEPT_FAILURES: u32 = 10;

/// Ends overdue connections, for as long as it is polled.
pub async fn sweep(clients: Rc<Clients>) {
    loop {
        Timer::after(clients.limits.sweep_every).await;
        for connection in clients.connections.borrow().values().filter(|connection| !connection.is_cut()) {
            if let Some(ending) = connection.overdue(&clients.limits) {
                connection.end(ending);
            }
        }
        let suppressed = clients.complaints.take().saturating_sub(clients.limits.complaints);
        if suppressed > 0 {
            info!(clients.log, "log lines about clients suppressed"; "lines" => suppressed);
        }
    }
}

/// Closes the connections that are needed least, a few at a time: a client that does not close its own side
/// keeps its slot until the half-close times out.
fn make_room(clients: &Clients) {
    let connections = clients.connections.borrow();
    let ending = connections.values().filter(|connection| connection.ending.get().is_some()).count();
    let candidates = connections
        .iter()
        .filter_map(|(id, connection)| Some((connection.eviction_rank(&clients.limits)?, *id, connection)));
    let mut candidates: Vec<_> = candidates.collect();
    candidates.sort_unstable_by_key(|(rank, id, _)| (*rank, *id));
    let allowed = clients.limits.client_closings.saturating_sub(ending);
    for (_, _, connection) in candidates.iter().rev().take(allowed) {
        connection.end(Ending::Close("its slot was needed"));
    }
}

/// Accepts connections for as long as it is polled, and goes on after the process ran out of file
/// descriptors. Against hundreds of clients that keep connections open, those that do nothing are closed
/// first.
pub async fn listen(clients: Rc<Clients>, listener: Rc<Async<TcpListener>>, executor: Executor) {
    let mut refused = false;
    loop {
        while clients.connections.borrow().len() >= clients.limits.clients {
            let removed = clients.removed.listen();
            make_room(&clients);
            let next_attempt = async {
                Timer::after(clients.limits.client_grace / 2).await;
            };
            or(removed, next_attempt).await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                refused = false;
                spawn_connection(&clients, stream, &executor);
            }
            Err(why) => {
                if !refused {
                    warn!(clients.log, "accept failed"; "why" => %why);
                }
                refused = true;
                Timer::after(clients.limits.accept_pause).await;
            }
        }
    }
}

/// The connection is registered here and not by its task, which may run only after many more were accepted.
fn spawn_connection(clients: &Rc<Clients>, stream: Stream, executor: &Executor) {
    let (id, connection) = clients.register();
    let served = serve(clients.clone(), id, connection, Rc::new(stream), executor.clone());
    executor.spawn(served).detach();
}

/// Accepts connections that the kernel has completed but nobody has accepted yet. Closing the listener would
/// reset them, and requests on them would be lost.
pub async fn accept_pending(clients: &Rc<Clients>, listener: &Async<TcpListener>, executor: &Executor) {
    let mut failures = 0;
    while clients.connections.borrow().len() < clients.limits.clients && failures < MAX_ACCEPT_FAILURES {
        match listener.get_ref().accept() {
            Ok((stream, _)) => match Async::new(stream) {
                Ok(stream) => spawn_connection(clients, stream, executor),
                Err(why) => warn!(clients.log, "connection not served"; "why" => %why),
            },
            Err(why) if why.kind() == ErrorKind::WouldBlock => return,
            // Of a connection that has ended already, or the system lacks descriptors at the moment.
            Err(_) => {
                failures += 1;
                Timer::after(clients.limits.accept_pause).await;
            }
        }
    }
}
