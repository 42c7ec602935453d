//! The host of a service that runs on a replicated group. It opens the service's state machine when this member becomes
//! the leader and drops it when the member steps down. It executes each effect once the group has committed the log
//! entries before it, and accepts connections. The service itself implements [`HostedService`].
use crate::{GroupEvent, GroupMember, GroupRequest, GroupResponse, PendingEffects, wait_for_event};
use async_io::Async;
use event_listener::Event;
use futures_lite::future::or;
use harestage::time::Moment;
use harestage_sockets::accept::{ConnectionLimit, accept};
use harestage_sockets::lines::{LineReader, with_timeout, write_text};
use harestage_sockets::{Spawner, Stream};
use serde::Serialize;
use slog::{Logger, error, info, warn};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// A connection is closed if its first line, or progress of a write, takes this long. Healthy peers are far faster, and
/// dead connections do not accumulate.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which waiting tasks check whether this member still holds the leader lease. The lease expires with time,
/// without a notification.
pub const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A service that runs on a replicated group.
pub trait HostedService: Sized + 'static {
    /// The state machine, which exists only on the leader.
    type State;
    /// What the state machine wants done: an entry to be committed, or an action after it.
    type Effect;

    /// The name of the service in log messages.
    const NAME: &'static str = "service";
    /// The error with which the process ends if the group member has failed.
    const FAILURE_TEXT: &'static str;
    /// Maximum length of the first line of a connection, in bytes.
    const MAX_LINE_BYTES: usize;

    /// Opens the state machine from the committed entries, and returns its first effects.
    fn open(host: &Host<Self>, data: &[Vec<u8>]) -> Result<(Self::State, Vec<Self::Effect>), String>;

    /// Returns the entry to be committed if the effect consists of nothing else.
    fn log_entry(effect: &Self::Effect) -> Option<Vec<u8>>;

    /// Executes an effect that is not an entry. All entries before it are committed.
    fn execute_effect(host: &Host<Self>, effect: Self::Effect);

    /// Drops what was derived from the state machine, which no longer exists.
    fn on_step_down(&self) {}

    /// Handles the failure of the group member.
    fn on_failure(_: &Host<Self>) {}

    /// Logs that the service accepts connections.
    fn log_ready(host: &Host<Self>) {
        info!(host.log(), "ready"; "name" => host.name());
    }

    /// Starts additional tasks.
    fn start_tasks(_: &Rc<Host<Self>>, _: &Spawner) {}

    /// Runs the ticks of the state machine until the group member fails.
    fn run(host: &Rc<Host<Self>>, spawner: &Spawner) -> impl Future<Output = ()>;

    /// Serves a connection from its first line on. An empty error stands for a normal end.
    fn serve(
        host: &Host<Self>,
        lines: &mut LineReader<'_>,
        first: Vec<u8>,
    ) -> impl Future<Output = Result<(), String>>;
}

/// A service together with its group member.
pub struct Host<S: HostedService> {
    pub member: Rc<GroupMember>,
    pub service: S,
    /// None if this member is not the leader.
    state: RefCell<Option<S::State>>,
    /// Effects that wait for the group to commit the entries before them.
    pending: PendingEffects<S::Effect>,
    /// Notified when an effect was executed, and when this member steps down.
    updated: Event,
    /// Notified when pending effects may have completed. It is separate from `updated`, because it is notified for every
    /// committed entry and concerns only tasks that have just proposed one.
    progress: Event,
}

impl<S: HostedService> Host<S> {
    /// Creates a host. It serves nothing until the member becomes the leader.
    pub fn new(member: Rc<GroupMember>, service: S) -> Host<S> {
        Host {
            member,
            service,
            state: RefCell::new(None),
            pending: PendingEffects::default(),
            updated: Event::new(),
            progress: Event::new(),
        }
    }

    /// Returns the logger of the member.
    pub fn log(&self) -> &Logger {
        &self.member.log
    }

    /// Returns the name of the member.
    pub fn name(&self) -> &str {
        &self.member.name
    }

    /// Returns the current time of the member's clock.
    pub fn now(&self) -> Moment {
        self.member.clock.now()
    }

    /// Handles an event of the group: a committed entry, or a change of leadership.
    pub fn handle_event(&self, event: GroupEvent) {
        match event {
            GroupEvent::Committed(entry) => {
                self.pending.on_committed(&entry.data);
                self.execute_ready();
            }
            GroupEvent::BecameLeader => self.become_leader(),
            GroupEvent::SteppedDown | GroupEvent::DataReplaced => self.step_down(),
            GroupEvent::Failed => {
                self.step_down();
                S::on_failure(self);
            }
        }
    }

    fn become_leader(&self) {
        match S::open(self, &self.member.data()) {
            Ok((state, effects)) => {
                self.step_down();
                *self.state.borrow_mut() = Some(state);
                self.execute(effects);
            }
            Err(reason) => error!(self.log(), "{} not opened on the new leader", S::NAME; "why" => reason),
        }
    }

    fn step_down(&self) {
        *self.state.borrow_mut() = None;
        self.pending.clear();
        self.service.on_step_down();
        self.updated.notify(usize::MAX);
        self.progress.notify(usize::MAX);
    }

    /// Executes effects in order, each once the entries before it are committed.
    pub fn execute(&self, effects: Vec<S::Effect>) {
        for effect in effects {
            match S::log_entry(&effect) {
                Some(entry) => {
                    self.pending.push_entry(entry.clone());
                    if self.member.propose(entry).is_err() {
                        return self.step_down();
                    }
                }
                None => self.pending.push_effect(effect),
            }
        }
        // Writes all proposals of this step with one sync.
        self.member.pump();
        while let Some(event) = self.member.next_event() {
            self.handle_event(event);
        }
        self.execute_ready();
    }

    /// Executes the effects that wait for no entry. Connections are notified only if there was one, since each of them then
    /// checks the state.
    fn execute_ready(&self) {
        let mut executed = false;
        while let Some(effect) = self.pending.pop_ready() {
            S::execute_effect(self, effect);
            executed = true;
        }
        if executed {
            self.updated.notify(usize::MAX);
        }
        self.progress.notify(usize::MAX);
    }

    /// Returns whether this member is the leader, holds the lease and has opened the state machine.
    pub fn is_serving(&self) -> bool {
        self.member.holds_leader_lease() && self.state.borrow().is_some()
    }

    /// Calls a function with the state. None if this member is not the leader or does not hold the lease.
    pub fn with_state<T>(&self, access: impl FnOnce(&mut S::State) -> T) -> Option<T> {
        self.member.holds_leader_lease().then_some(())?;
        self.with_unleased_state(access)
    }

    /// Calls a function with the state as long as this member is the leader, even without the lease.
    pub fn with_unleased_state<T>(&self, access: impl FnOnce(&mut S::State) -> T) -> Option<T> {
        self.state.borrow_mut().as_mut().map(access)
    }

    /// Calls `access` with the state as [`Host::with_state`] does, or else `redirect` with the address of the leader.
    pub fn with_state_or<T>(
        &self,
        access: impl FnOnce(&mut S::State) -> T,
        redirect: impl FnOnce(Option<String>) -> T,
    ) -> T {
        self.with_state(access).unwrap_or_else(|| redirect(self.member.leader_service_address()))
    }

    /// Returns whether no effect or entry is pending.
    pub fn is_settled(&self) -> bool {
        self.pending.is_empty()
    }

    /// Waits until everything that is pending now is committed and executed. It does not wait for later additions, as under
    /// load something is always pending. Returns false if this member is no longer the leader: the outcome is unknown then.
    pub async fn wait_settled(&self) -> bool {
        let position = self.pending.position();
        while self.is_serving() {
            match self.pending.is_completed(position) {
                Some(true) => return true,
                Some(false) => wait_for_event(&self.progress, LEASE_CHECK_INTERVAL).await,
                None => return false,
            }
        }
        false
    }

    /// Waits until an effect is executed or this member steps down, at most for `timeout`.
    pub async fn wait_for_update(&self, timeout: Duration) {
        wait_for_event(&self.updated, timeout).await;
    }

    /// Returns the response if a line is a request of an operator about the group.
    pub fn answer_group_request(&self, line: &[u8]) -> Option<GroupResponse> {
        let request: GroupRequest = serde_json::from_slice(line).ok()?;
        Some(self.member.handle_request(&request))
    }
}

/// A host whose listening socket is bound.
pub struct HostListener<S: HostedService> {
    host: Rc<Host<S>>,
    listener: Async<TcpListener>,
    connection_limit: ConnectionLimit,
}

impl<S: HostedService> HostListener<S> {
    /// Binds the listening socket. An error is one line of text.
    pub fn bind(
        address: SocketAddr,
        member: Rc<GroupMember>,
        service: S,
        connection_limit: ConnectionLimit,
    ) -> Result<Self, String> {
        let listener = Async::<TcpListener>::bind(address)
            .map_err(|error| format!("key listen: {address} can't be listened on: {error}"))?;
        Ok(HostListener { host: Rc::new(Host::new(member, service)), listener, connection_limit })
    }

    /// Returns the host.
    pub fn host(&self) -> &Rc<Host<S>> {
        &self.host
    }

    /// Returns the address of the listening socket.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.listener.get_ref().local_addr().ok()
    }

    /// Serves until `stop` completes. Returns an error if the group member has failed.
    pub fn serve(self, stop: impl Future<Output = ()>) -> Result<(), String> {
        let (spawner, host) = (Spawner::default(), self.host);
        S::log_ready(&host);
        let event_host = host.clone();
        let work = async {
            host.member.run(host.member.listen, &spawner, move |event| event_host.handle_event(event))?;
            spawner.spawn(listen(host.clone(), self.listener, self.connection_limit, spawner.clone()));
            S::start_tasks(&host, &spawner);
            or(S::run(&host, &spawner), stop).await;
            Ok(())
        };
        spawner.block_on(work).and_then(|()| match host.member.has_failed() {
            true => Err(S::FAILURE_TEXT.into()),
            false => Ok(()),
        })
    }
}

async fn listen<S: HostedService>(
    host: Rc<Host<S>>,
    listener: Async<TcpListener>,
    connection_limit: ConnectionLimit,
    spawner: Spawner,
) {
    let log = host.log().clone();
    let serve_connection = move |stream| {
        let host = host.clone();
        async move {
            let reason = serve(&host, &stream).await.err().unwrap_or_default();
            if !reason.is_empty() {
                info!(host.log(), "connection ended"; "why" => reason);
            }
        }
    };
    let on_accept_error = |error| warn!(log, "accept failed"; "why" => %error);
    accept(listener, connection_limit, spawner, serve_connection, on_accept_error).await;
}

async fn serve<S: HostedService>(host: &Host<S>, stream: &Stream) -> Result<(), String> {
    let mut lines = LineReader::new(stream, S::MAX_LINE_BYTES);
    let first = with_timeout(PEER_TIMEOUT, "no first line in time", lines.next_line()).await?;
    match host.answer_group_request(&first) {
        Some(response) => write_message(stream, &response).await,
        None => S::serve(host, &mut lines, first).await,
    }
}

/// Writes a message as one line of JSON, within [`PEER_TIMEOUT`].
pub async fn write_message(stream: &Stream, message: &impl Serialize) -> Result<(), String> {
    let mut text = serde_json::to_vec(message).unwrap_or_default();
    text.push(b'\n');
    write_text(stream, &text, PEER_TIMEOUT).await
}
