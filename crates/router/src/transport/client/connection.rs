//! One client connection: what has arrived, what is open and unsent, and how it is to end.
use super::held_back::HeldBack;
use crate::program::limits::Limits;
use event_listener::Event;
use harestage_sockets::send_queue::SendQueue;
use harestage_wire::client::{self, FromClient};
use harestage_wire::resp::{DecodeError, Decoder};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// State of a client's input.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum InputState {
    /// No complete message has arrived yet.
    New,
    /// Part of a further message has arrived.
    MidMessage,
    /// Between two messages.
    Idle,
}

/// How to end a connection from the router's side.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Ending {
    /// At once, without writing anything more: the client reads nothing.
    Cut(&'static str),
    /// Once no download is open and everything is written, even if part of a message has arrived.
    Close(&'static str),
    /// The same, but waits for the rest of a message of which a part has arrived.
    CloseBetweenMessages(&'static str),
}

/// One client connection, as seen by other tasks than its own.
pub(super) struct Connection {
    pub(super) decoder: RefCell<Decoder>,
    pub(super) queue: RefCell<SendQueue>,
    /// Open downloads by tag, with the bytes that each holds.
    pub(super) open: RefCell<HashMap<u64, usize>>,
    /// Bytes that the open downloads hold.
    pub(super) held: Cell<usize>,
    /// Open downloads that are not passed on yet.
    pub(super) held_back: HeldBack,
    /// Bytes of answers that are not written yet.
    pub(super) unsent: Cell<usize>,
    pub(super) last_write_at: Cell<Instant>,
    pub(super) input_state: Cell<InputState>,
    /// When the state last changed.
    pub(super) state_since: Cell<Instant>,
    /// Since when a part of a message that is worth discarding has been waiting for the rest.
    pub(super) partial_since: Cell<Option<Instant>>,
    pub(super) ending: Cell<Option<Ending>>,
    pub(super) wake: Event,
    /// No download is open any more, or everything is written: tasks that want to close the connection check
    /// again.
    pub(super) idle: Event,
    /// `ending` was set.
    pub(super) ending_set: Event,
}

impl Connection {
    /// A connection without input.
    pub(super) fn new(decoder: Decoder, ending: Option<Ending>) -> Connection {
        let now = Instant::now();
        Connection {
            decoder: RefCell::new(decoder),
            queue: RefCell::default(),
            open: RefCell::default(),
            held: Cell::new(0),
            held_back: HeldBack::default(),
            unsent: Cell::new(0),
            last_write_at: Cell::new(now),
            input_state: Cell::new(InputState::New),
            state_since: Cell::new(now),
            partial_since: Cell::new(None),
            ending: Cell::new(ending),
            wake: Event::new(),
            idle: Event::new(),
            ending_set: Event::new(),
        }
    }

    pub(super) fn set_input_state(&self, input_state: InputState) {
        self.input_state.set(input_state);
        self.state_since.set(Instant::now());
    }

    /// The next message that has arrived whole.
    pub(super) fn next_message(&self) -> Result<Option<FromClient>, DecodeError> {
        let mut decoder = self.decoder.borrow_mut();
        let Some(items) = decoder.next_message()? else { return Ok(None) };
        let decode = if decoder.was_discarded() { client::decode_discarded } else { client::decode };
        decode(items).map(Some)
    }

    pub(super) fn has_nothing_open(&self) -> bool {
        self.unsent.get() == 0 && self.open.borrow().is_empty()
    }

    /// `Cut` is final; the other ways to end may still be replaced.
    pub(super) fn end(&self, ending: Ending) {
        if !self.is_cut() {
            self.ending.set(Some(ending));
            self.ending_set.notify(usize::MAX);
        }
    }

    pub(super) fn is_cut(&self) -> bool {
        matches!(self.ending.get(), Some(Ending::Cut(_)))
    }

    /// The reason to close now, if the connection may be closed.
    pub(super) fn may_close(&self) -> Option<&'static str> {
        match self.ending.get()? {
            _ if !self.has_nothing_open() => None,
            Ending::Cut(why) | Ending::Close(why) => Some(why),
            Ending::CloseBetweenMessages(why) => (!self.decoder.borrow().is_mid_message()).then_some(why),
        }
    }

    /// How to end the connection if it is overdue.
    pub(super) fn overdue(&self, limits: &Limits) -> Option<Ending> {
        let elapsed = self.state_since.get().elapsed();
        if self.unsent.get() > 0 {
            let stalled = self.last_write_at.get().elapsed() > limits.client_stall;
            return stalled.then_some(Ending::Cut("the client reads nothing"));
        }
        if !self.open.borrow().is_empty() {
            return None;
        }
        let (limit, why) = match self.input_state.get() {
            InputState::New => (limits.client_first, "no message received"),
            InputState::MidMessage => (limits.client_message, "incomplete message"),
            InputState::Idle => (limits.client_idle, "idle"),
        };
        (elapsed > limit).then_some(Ending::Close(why))
    }

    /// Rank for giving this connection's slot to a new client: first connections that never sent a message,
    /// then the longest idle. `None`: a download is open, or the client had too little time to send.
    pub(super) fn eviction_rank(&self, limits: &Limits) -> Option<(bool, Duration)> {
        let (input_state, elapsed) = (self.input_state.get(), self.state_since.get().elapsed());
        let is_evictable =
            self.ending.get().is_none() && self.has_nothing_open() && elapsed > limits.client_grace;
        is_evictable.then_some((input_state == InputState::New, elapsed))
    }
}

/// The ending of each connection at a shutdown.
pub(super) const SHUTDOWN: Ending = Ending::CloseBetweenMessages("the router is shutting down");
