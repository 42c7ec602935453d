//! The reader and the writer of one client connection.
use super::connection::{Connection, Ending, InputState};
use super::{Clients, held_back};
use crate::routing::{ClientId, Input};
use crate::transport::{Executor, SocketReader, Stream};
use async_io::Timer;
use futures_lite::future::{or, yield_now};
use harestage_wire::client::{self, FromClient, ToClient};
use slog::debug;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

/// A reader lets others run after this much.
const MAX_TURN_BYTES: usize = 64 << 10;
const MAX_TURN_MESSAGES: usize = 128;

/// What a reader has done since others could run.
#[derive(Default)]
struct Turn {
    bytes: usize,
    messages: usize,
}

impl Turn {
    /// Lets others run if this one has done enough.
    async fn yield_if_over(&mut self) {
        if self.bytes >= MAX_TURN_BYTES || self.messages >= MAX_TURN_MESSAGES {
            *self = Turn::default();
            yield_now().await;
        }
    }
}

/// Why a reader stopped.
enum ReadEnd {
    /// The client has disconnected; its downloads are cancelled.
    Disconnected(String),
    /// Open downloads still get their answers, but no further message is read.
    Close(String),
}

/// Bounds the rate at which a client's bytes are discarded.
const DISCARD_INTERVAL: Duration = Duration::from_millis(40);

/// The writer is a task of its own, so that a wakeup of one side does not make the other poll its socket in
/// vain. Either may be dropped at any point: by then the client has disconnected or is cut off.
pub(super) async fn serve(
    clients: Rc<Clients>,
    id: ClientId,
    connection: Rc<Connection>,
    stream: Rc<Stream>,
    executor: Executor,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let mut writer = executor.spawn(write(clients.clone(), connection.clone(), stream.clone()));
    let reader = async {
        let mut source = SocketReader::new(&stream);
        match read(&clients, id, &connection, &mut source).await {
            ReadEnd::Disconnected(why) => why,
            ReadEnd::Close(why) => {
                close(&clients, &connection, &mut source).await;
                why
            }
        }
    };
    let why = or(or(reader, &mut writer), cut_off(&connection)).await;
    debug!(clients.log, "client connection ended"; "client" => id, "why" => &why);
    // The downloads are dropped in the step that took the last messages. The slot is free only once the
    // descriptor is closed, and the writer holds it too.
    clients.drop_downloads(id, &connection);
    writer.cancel().await;
    drop(stream);
    clients.remove(id);
}

/// Reads until the client disconnects or the connection is to be closed. Nothing else may stop the reader,
/// since a disconnect is only noticed by reading.
async fn read(
    clients: &Clients,
    id: ClientId,
    connection: &Rc<Connection>,
    source: &mut SocketReader<'_>,
) -> ReadEnd {
    let limits = &clients.limits;
    let (mut invalid_messages, mut turn) = (0, Turn::default());
    loop {
        let message = match connection.next_message() {
            Ok(Some(message)) => {
                clients.forget_partial_message(id, connection);
                turn.messages += 1;
                message
            }
            Ok(None) => {
                clients.note_partial_message(id, connection);
                clients.relieve_input_memory();
                if connection.held_back.is_overdue() {
                    clients.pass_on(id, connection);
                }
                match next_bytes(clients, id, connection, source, &mut turn).await {
                    Ok(()) => continue,
                    Err(end) => return end,
                }
            }
            Err(error) => {
                clients.count(|counts| counts.malformed += 1);
                clients.log_complaint(id, "client disconnected: malformed input", &error.to_string());
                clients.pass_on(id, connection);
                return ReadEnd::Close(error.to_string());
            }
        };
        connection.set_input_state(InputState::Idle);
        // Two answers under one tag could not be told apart.
        let tag = message.answer_tag();
        if tag.is_some_and(|tag| connection.open.borrow().contains_key(&tag)) {
            clients.log_complaint(id, "client disconnected: duplicate tag", "");
            clients.pass_on(id, connection);
            return ReadEnd::Close("duplicate tag".into());
        }
        if let Some((tag, why)) = handle_message(clients, id, connection, message) {
            invalid_messages += 1;
            clients.count(|counts| counts.invalid += 1);
            if invalid_messages > limits.client_unusable {
                // This is a flood; its open downloads take resources from others, so that they are dropped.
                return ReadEnd::Disconnected("too many invalid messages".into());
            }
            clients.log_complaint(id, "invalid client message", why);
            clients.queue(connection, client::encode_answer(tag, &ToClient::Abandoned));
        }
    }
}

/// Carries out a message. Returns its tag and the reason if that is impossible.
fn handle_message(
    clients: &Clients,
    id: ClientId,
    connection: &Connection,
    message: FromClient,
) -> Option<(u64, &'static str)> {
    let limits = &clients.limits;
    match message {
        FromClient::Status { tag } => {
            let ready = if clients.ready.get() { ToClient::Ready } else { ToClient::NotReady };
            clients.queue(connection, client::encode_answer(tag, &ready));
        }
        FromClient::Invalid { tag, reason: why } => return Some((tag, why)),
        FromClient::Cancel { tag } => {
            if clients.remove_download(connection, tag) {
                connection.held_back.cancel(tag);
                clients.send_input(Input::Cancel { client: id, tag });
            }
        }
        FromClient::Download { tag, .. } if connection.open.borrow().len() >= limits.client_open => {
            return Some((tag, "too many open downloads"));
        }
        FromClient::Discarded { tag } => clients.throttle(connection, tag),
        FromClient::Download { tag, mut request } => {
            if let Some(reason) = clients.refusal(connection) {
                clients.log_complaint(id, "download throttled", reason);
                clients.throttle(connection, tag);
                return None;
            }
            clients.count(|counts| counts.downloads += 1);
            clients.add_download(connection, tag, request.body.len() + limits.download_bytes);
            // Counted until the routing task drops the request, which may be after the answer.
            request.body = clients.input_memory.reserve(limits.download_bytes).attach(request.body);
            connection.held_back.add(held_back::Download { tag, request, at: clients.clock.now() });
        }
    }
    None
}

/// Waits for more bytes or for the moment when the connection may be closed. It reads before it waits, in the
/// step that took the last messages: if a client sent requests and disconnected while the process did not
/// run, the routing task gets both in one step, and requests that arrived before a close are taken.
async fn next_bytes(
    clients: &Clients,
    id: ClientId,
    connection: &Connection,
    source: &mut SocketReader<'_>,
    turn: &mut Turn,
) -> Result<(), ReadEnd> {
    let disconnected = |why: String| Err(ReadEnd::Disconnected(why));
    if source.expects_more() {
        // A client that always has more to read must not starve the others.
        turn.yield_if_over().await;
    } else {
        *turn = Turn::default();
    }
    loop {
        let (idle, ending_set) = (connection.idle.listen(), connection.ending_set.listen());
        match source.try_read(&mut connection.decoder.borrow_mut()) {
            Ok(None) => {}
            Ok(Some(0)) => return disconnected("closed by the client".into()),
            Ok(Some(bytes)) => {
                connection.held_back.note_read(bytes);
                turn.bytes += bytes;
                return Ok(());
            }
            Err(why) => return disconnected(why.to_string()),
        }
        let awaits_rest = connection.held_back.awaits_rest();
        if !awaits_rest {
            clients.pass_on(id, connection);
        }
        if let Some(why) = connection.may_close() {
            return Err(ReadEnd::Close(why.into()));
        }
        // Dropping this future loses no bytes, since it only waits.
        let readable = async { source.readable().await.err() };
        let may_be_closable = async {
            or(idle, ending_set).await;
            None
        };
        let rest_is_late = async {
            if !awaits_rest {
                std::future::pending::<()>().await;
            }
            Timer::after(held_back::WINDOW_REFILL_TIME).await;
            clients.pass_on(id, connection);
            None
        };
        if let Some(why) = or(or(readable, may_be_closable), rest_is_late).await {
            return disconnected(why.to_string());
        }
    }
}

/// Guards answers in transit: closing a socket with unread bytes resets the connection. Open downloads get
/// their answers, then the write side is shut down, and the client's further bytes are discarded until it
/// closes its own side.
async fn close(clients: &Clients, connection: &Connection, source: &mut SocketReader<'_>) {
    let limits = &clients.limits;
    let answered = async {
        loop {
            let idle = connection.idle.listen();
            if connection.has_nothing_open() {
                return true;
            }
            idle.await;
        }
    };
    let disconnected = async {
        discard(source, limits.client_discarded_bytes).await;
        false
    };
    if !or(answered, disconnected).await {
        return;
    }
    let _ = source.stream().get_ref().shutdown(Shutdown::Write);
    let late = async {
        Timer::after(limits.client_linger).await;
    };
    or(discard(source, limits.client_discarded_bytes), late).await;
}

/// Discards what the client sends, at most `max` bytes at an interval, and returns once it has closed. Its close
/// comes behind all that it has sent.
async fn discard(source: &mut SocketReader<'_>, max: usize) {
    loop {
        let mut left = max;
        while left > 0 {
            match source.discard().await {
                Ok(bytes) if bytes > 0 => left = left.saturating_sub(bytes),
                _ => return,
            }
            yield_now().await;
        }
        Timer::after(DISCARD_INTERVAL).await;
    }
}

/// Writes the queue for as long as it is polled; the queue stays with the connection, so that a cut frees it at
/// once. Returns the error that ended it.
async fn write(clients: Rc<Clients>, connection: Rc<Connection>, stream: Rc<Stream>) -> String {
    loop {
        if connection.queue.borrow().is_empty() {
            connection.wake.listen().await;
            continue;
        }
        let written = connection.queue.borrow_mut().try_write(&stream, clients.limits.packets_at_once);
        match written {
            Ok(Some(freed)) => {
                clients.note_written(&connection, freed);
                // A client that reads as fast as this writes must not starve the others.
                yield_now().await;
            }
            Ok(None) => {
                if let Err(why) = stream.writable().await {
                    return why.to_string();
                }
            }
            Err(why) => return why.to_string(),
        }
    }
}

/// Waits until the connection is cut.
async fn cut_off(connection: &Connection) -> String {
    loop {
        let ending_set = connection.ending_set.listen();
        if let Some(Ending::Cut(why)) = connection.ending.get() {
            return why.into();
        }
        ending_set.await;
    }
}
