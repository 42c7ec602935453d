//! The host of a service that runs on what a group agrees on. It takes the state machine up when this member leads and
//! lays it down when it leads no more, carries effects out behind the records that the group has to agree on first, and
//! takes connections in. What the service is, it says by [`HostedService`].
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

/// A peer that says nothing before its first line, or takes nothing, for as long is ended: far longer than a healthy one
/// ever needs, and short enough that dead ones don't pile up.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// How often whoever waits looks whether this member still speaks: that ends with time, and nobody tells of it.
pub const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A service that runs on what a group agrees on.
pub trait HostedService: Sized + 'static {
    /// What runs only on the member that leads.
    type State;
    type Effect;

    /// As the log calls it.
    const NAME: &'static str = "service";
    /// Why it ends where the group's member is broken.
    const FAILURE_TEXT: &'static str;
    /// Bytes of the first line of a connection at most.
    const MAX_LINE_BYTES: usize;

    /// The state machine from what was agreed on, and what it wants done first.
    fn open(host: &Host<Self>, data: &[Vec<u8>]) -> Result<(Self::State, Vec<Self::Effect>), String>;

    /// What the group has to agree on, where that is the whole of the effect.
    fn log_entry(effect: &Self::Effect) -> Option<Vec<u8>>;

    /// Does what is no entry; everything before it is agreed on.
    fn execute_effect(host: &Host<Self>, effect: Self::Effect);

    /// The state is gone: so goes what was made of it.
    fn on_step_down(&self) {}

    /// The group's member is broken.
    fn on_failure(_: &Host<Self>) {}

    /// Says that it listens.
    fn log_ready(host: &Host<Self>) {
        info!(host.log(), "ready"; "name" => host.name());
    }

    /// Starts what runs beside the turns.
    fn start_tasks(_: &Rc<Host<Self>>, _: &Spawner) {}

    /// Turns the state machine, until it is broken.
    fn run(host: &Rc<Host<Self>>, spawner: &Spawner) -> impl Future<Output = ()>;

    /// Serves a connection from its first line on; an empty reason is an end like any other.
    fn serve(
        host: &Host<Self>,
        lines: &mut LineReader<'_>,
        first: Vec<u8>,
    ) -> impl Future<Output = Result<(), String>>;
}

/// A service on its group.
pub struct Host<S: HostedService> {
    pub member: Rc<GroupMember>,
    pub service: S,
    /// None: this member does not lead.
    state: RefCell<Option<S::State>>,
    /// What waits for the group to agree on the entry at its head.
    waiting: PendingEffects<S::Effect>,
    /// An effect was carried out, or another member leads.
    news: Event,
    /// Nothing waits for the group any more. Apart from the news: it comes with each entry, and concerns only whoever has
    /// just wanted one.
    settled: Event,
}

impl<S: HostedService> Host<S> {
    pub fn new(member: Rc<GroupMember>, service: S) -> Host<S> {
        Host {
            member,
            service,
            state: RefCell::new(None),
            waiting: PendingEffects::default(),
            news: Event::new(),
            settled: Event::new(),
        }
    }

    pub fn log(&self) -> &Logger {
        &self.member.log
    }

    pub fn name(&self) -> &str {
        &self.member.name
    }

    pub fn now(&self) -> Moment {
        self.member.clock.now()
    }

    /// What the group has agreed on, and who leads it.
    pub fn handle_event(&self, news: GroupEvent) {
        match news {
            GroupEvent::Committed(agreed) => {
                self.waiting.on_committed(&agreed.data);
                self.release();
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
            Err(why) => error!(self.log(), "{} not taken up", S::NAME; "why" => why),
        }
    }

    fn step_down(&self) {
        *self.state.borrow_mut() = None;
        self.waiting.clear();
        self.service.on_step_down();
        self.news.notify(usize::MAX);
        self.settled.notify(usize::MAX);
    }

    /// Carries effects out in their order, each once the entries before it are agreed on.
    pub fn execute(&self, effects: Vec<S::Effect>) {
        for effect in effects {
            match S::log_entry(&effect) {
                Some(entry) => {
                    self.waiting.push_entry(entry.clone());
                    if self.member.propose(entry).is_err() {
                        return self.step_down();
                    }
                }
                None => self.waiting.push_effect(effect),
            }
        }
        // All that came within this turn goes to disk with one sync.
        self.member.pump();
        while let Some(news) = self.member.next_event() {
            self.handle_event(news);
        }
        self.release();
    }

    /// What waits for nothing any more. Each connection that is woken looks at the state: so it is woken only where there
    /// is something for it.
    fn release(&self) {
        let mut told = false;
        while let Some(effect) = self.waiting.pop_ready() {
            S::execute_effect(self, effect);
            told = true;
        }
        if told {
            self.news.notify(usize::MAX);
        }
        self.settled.notify(usize::MAX);
    }

    /// Whether this member may tell anyone anything now.
    pub fn is_serving(&self) -> bool {
        self.member.holds_leader_lease() && self.state.borrow().is_some()
    }

    /// Looks at the state, if it is this member's to tell of.
    pub fn with_state<T>(&self, look: impl FnOnce(&mut S::State) -> T) -> Option<T> {
        self.member.holds_leader_lease().then_some(())?;
        self.with_unleased_state(look)
    }

    /// Looks at the state as long as this member leads, whether or not it may tell anyone.
    pub fn with_unleased_state<T>(&self, look: impl FnOnce(&mut S::State) -> T) -> Option<T> {
        self.state.borrow_mut().as_mut().map(look)
    }

    /// What the state says, or where else to ask.
    pub fn with_state_or<T>(
        &self,
        look: impl FnOnce(&mut S::State) -> T,
        elsewhere: impl FnOnce(Option<String>) -> T,
    ) -> T {
        self.with_state(look).unwrap_or_else(|| elsewhere(self.member.leader_service_address()))
    }

    /// Nothing waits for the group.
    pub fn is_settled(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Waits until all that was wanted by now is agreed on, whatever is wanted meanwhile: where much is, something always
    /// waits. False: this member speaks no more, and nobody knows.
    pub async fn wait_settled(&self) -> bool {
        let mark = self.waiting.position();
        while self.is_serving() {
            match self.waiting.is_completed(mark) {
                Some(true) => return true,
                Some(false) => wait_for_event(&self.settled, LEASE_CHECK_INTERVAL).await,
                None => return false,
            }
        }
        false
    }

    /// Waits until an effect is carried out or another member leads, or so long.
    pub async fn wait_for_update(&self, at_most: Duration) {
        wait_for_event(&self.news, at_most).await;
    }

    /// The answer where a line is a call of staff on the group.
    pub fn answer_group_request(&self, line: &[u8]) -> Option<GroupResponse> {
        let call: GroupRequest = serde_json::from_slice(line).ok()?;
        Some(self.member.handle_request(&call))
    }
}

/// A service that listens already.
pub struct HostListener<S: HostedService> {
    host: Rc<Host<S>>,
    listener: Async<TcpListener>,
    open: ConnectionLimit,
}

impl<S: HostedService> HostListener<S> {
    /// `open` bounds its connections. An error is one line.
    pub fn bind(
        listen: SocketAddr,
        member: Rc<GroupMember>,
        service: S,
        open: ConnectionLimit,
    ) -> Result<Self, String> {
        let listener = Async::<TcpListener>::bind(listen)
            .map_err(|why| format!("key listen: {listen} can't be listened on: {why}"))?;
        Ok(HostListener { host: Rc::new(Host::new(member, service)), listener, open })
    }

    pub fn host(&self) -> &Rc<Host<S>> {
        &self.host
    }

    pub fn local_address(&self) -> Option<SocketAddr> {
        self.listener.get_ref().local_addr().ok()
    }

    /// Serves until `stop` ends; an error if the group's member is broken.
    pub fn serve(self, stop: impl Future<Output = ()>) -> Result<(), String> {
        let (spawner, host) = (Spawner::default(), self.host);
        S::log_ready(&host);
        let hearing = host.clone();
        let work = async {
            host.member.run(host.member.listen, &spawner, move |news| hearing.handle_event(news))?;
            spawner.spawn(listen(host.clone(), self.listener, self.open, spawner.clone()));
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
    open: ConnectionLimit,
    spawner: Spawner,
) {
    let log = host.log().clone();
    let one = move |stream| {
        let host = host.clone();
        async move {
            let why = first_line(&host, &stream).await.err().unwrap_or_default();
            if !why.is_empty() {
                info!(host.log(), "connection ended"; "why" => why);
            }
        }
    };
    let failed = |why| warn!(log, "accept failed"; "why" => %why);
    accept(listener, open, spawner, one, failed).await;
}

async fn first_line<S: HostedService>(host: &Host<S>, stream: &Stream) -> Result<(), String> {
    let mut lines = LineReader::new(stream, S::MAX_LINE_BYTES);
    let first = with_timeout(PEER_TIMEOUT, "too slow", lines.next_line()).await?;
    match host.answer_group_request(&first) {
        Some(answer) => write_message(stream, &answer).await,
        None => S::serve(host, &mut lines, first).await,
    }
}

/// Writes one line, with its end, in time.
pub async fn write_message(stream: &Stream, what: &impl Serialize) -> Result<(), String> {
    let mut text = serde_json::to_vec(what).unwrap_or_default();
    text.push(b'\n');
    write_text(stream, &text, PEER_TIMEOUT).await
}
