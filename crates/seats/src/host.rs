//! The host of a service that runs on what a group agrees on. It takes the state machine up when this member leads and
//! lays it down when it leads no more, carries effects out behind the records that the group has to agree on first, and
//! takes connections in. What the service is, it says by [`Hosted`].
use crate::{Answer, Call, Council, News, Waiting, until};
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
pub const STALL: Duration = Duration::from_secs(5);
/// How often whoever waits looks whether this member still speaks: that ends with time, and nobody tells of it.
pub const LOOK: Duration = Duration::from_millis(200);

/// A service that runs on what a group agrees on.
pub trait Hosted: Sized + 'static {
    /// What runs only on the member that leads.
    type State;
    type Effect;

    /// As the log calls it.
    const CALLED: &'static str = "service";
    /// Why it ends where the group's member is broken.
    const BROKEN: &'static str;
    /// Bytes of the first line of a connection at most.
    const LONGEST_LINE: usize;

    /// The state machine from what was agreed on, and what it wants done first.
    fn open(host: &Host<Self>, data: &[Vec<u8>]) -> Result<(Self::State, Vec<Self::Effect>), String>;

    /// What the group has to agree on, where that is the whole of the effect.
    fn entry(effect: &Self::Effect) -> Option<Vec<u8>>;

    /// Does what is no entry; everything before it is agreed on.
    fn tell_of(host: &Host<Self>, effect: Self::Effect);

    /// The state is gone: so goes what was made of it.
    fn laid_down(&self) {}

    /// The group's member is broken.
    fn broke(_: &Host<Self>) {}

    /// Says that it listens.
    fn ready(host: &Host<Self>) {
        info!(host.log(), "ready"; "name" => host.name());
    }

    /// Starts what runs beside the turns.
    fn begin(_: &Rc<Host<Self>>, _: &Spawner) {}

    /// Turns the state machine, until it is broken.
    fn turns(host: &Rc<Host<Self>>, spawner: &Spawner) -> impl Future<Output = ()>;

    /// Serves a connection from its first line on; an empty reason is an end like any other.
    fn serve(
        host: &Host<Self>,
        lines: &mut LineReader<'_>,
        first: Vec<u8>,
    ) -> impl Future<Output = Result<(), String>>;
}

/// A service on its group.
pub struct Host<S: Hosted> {
    pub council: Rc<Council>,
    pub hosted: S,
    /// None: this member does not lead.
    state: RefCell<Option<S::State>>,
    /// What waits for the group to agree on the entry at its head.
    waiting: Waiting<S::Effect>,
    /// An effect was carried out, or another member leads.
    news: Event,
    /// Nothing waits for the group any more. Apart from the news: it comes with each entry, and concerns only whoever has
    /// just wanted one.
    settled: Event,
}

impl<S: Hosted> Host<S> {
    pub fn new(council: Rc<Council>, hosted: S) -> Host<S> {
        Host {
            council,
            hosted,
            state: RefCell::new(None),
            waiting: Waiting::default(),
            news: Event::new(),
            settled: Event::new(),
        }
    }

    pub fn log(&self) -> &Logger {
        &self.council.log
    }

    pub fn name(&self) -> &str {
        &self.council.name
    }

    pub fn now(&self) -> Moment {
        self.council.clock.now()
    }

    /// What the group has agreed on, and who leads it.
    pub fn hear_news(&self, news: News) {
        match news {
            News::Agreed(agreed) => {
                self.waiting.agreed(&agreed.data);
                self.release();
            }
            News::Leads => self.take_up(),
            News::SteppedDown | News::Replaced => self.lay_down(),
            News::Broken => {
                self.lay_down();
                S::broke(self);
            }
        }
    }

    fn take_up(&self) {
        match S::open(self, &self.council.data()) {
            Ok((state, effects)) => {
                self.lay_down();
                *self.state.borrow_mut() = Some(state);
                self.carry_out(effects);
            }
            Err(why) => error!(self.log(), "{} not taken up", S::CALLED; "why" => why),
        }
    }

    fn lay_down(&self) {
        *self.state.borrow_mut() = None;
        self.waiting.clear();
        self.hosted.laid_down();
        self.news.notify(usize::MAX);
        self.settled.notify(usize::MAX);
    }

    /// Carries effects out in their order, each once the entries before it are agreed on.
    pub fn carry_out(&self, effects: Vec<S::Effect>) {
        for effect in effects {
            match S::entry(&effect) {
                Some(entry) => {
                    self.waiting.behind(entry.clone());
                    if self.council.want(entry).is_err() {
                        return self.lay_down();
                    }
                }
                None => self.waiting.push(effect),
            }
        }
        // All that came within this turn goes to disk with one sync.
        self.council.pump();
        while let Some(news) = self.council.take_news() {
            self.hear_news(news);
        }
        self.release();
    }

    /// What waits for nothing any more. Each connection that is woken looks at the state: so it is woken only where there
    /// is something for it.
    fn release(&self) {
        let mut told = false;
        while let Some(effect) = self.waiting.next() {
            S::tell_of(self, effect);
            told = true;
        }
        if told {
            self.news.notify(usize::MAX);
        }
        self.settled.notify(usize::MAX);
    }

    /// Whether this member may tell anyone anything now.
    pub fn speaks(&self) -> bool {
        self.council.may_speak() && self.state.borrow().is_some()
    }

    /// Looks at the state, if it is this member's to tell of.
    pub fn with<T>(&self, look: impl FnOnce(&mut S::State) -> T) -> Option<T> {
        self.council.may_speak().then_some(())?;
        self.while_leading(look)
    }

    /// Looks at the state as long as this member leads, whether or not it may tell anyone.
    pub fn while_leading<T>(&self, look: impl FnOnce(&mut S::State) -> T) -> Option<T> {
        self.state.borrow_mut().as_mut().map(look)
    }

    /// What the state says, or where else to ask.
    pub fn or_elsewhere<T>(
        &self,
        look: impl FnOnce(&mut S::State) -> T,
        elsewhere: impl FnOnce(Option<String>) -> T,
    ) -> T {
        self.with(look).unwrap_or_else(|| elsewhere(self.council.elsewhere()))
    }

    /// Nothing waits for the group.
    pub fn is_settled(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Waits until all that was wanted by now is agreed on, whatever is wanted meanwhile: where much is, something always
    /// waits. False: this member speaks no more, and nobody knows.
    pub async fn settled(&self) -> bool {
        let mark = self.waiting.mark();
        while self.speaks() {
            match self.waiting.is_past(mark) {
                Some(true) => return true,
                Some(false) => until(&self.settled, LOOK).await,
                None => return false,
            }
        }
        false
    }

    /// Waits until an effect is carried out or another member leads, or so long.
    pub async fn until_news(&self, at_most: Duration) {
        until(&self.news, at_most).await;
    }

    /// The answer where a line is a call of staff on the group.
    pub fn of_group(&self, line: &[u8]) -> Option<Answer> {
        let call: Call = serde_json::from_slice(line).ok()?;
        Some(self.council.answer(&call))
    }
}

/// A service that listens already.
pub struct Listening<S: Hosted> {
    host: Rc<Host<S>>,
    listener: Async<TcpListener>,
    open: ConnectionLimit,
}

impl<S: Hosted> Listening<S> {
    /// `open` bounds its connections. An error is one line.
    pub fn at(
        listen: SocketAddr,
        council: Rc<Council>,
        hosted: S,
        open: ConnectionLimit,
    ) -> Result<Self, String> {
        let listener = Async::<TcpListener>::bind(listen)
            .map_err(|why| format!("key listen: {listen} can't be listened on: {why}"))?;
        Ok(Listening { host: Rc::new(Host::new(council, hosted)), listener, open })
    }

    pub fn host(&self) -> &Rc<Host<S>> {
        &self.host
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.get_ref().local_addr().ok()
    }

    /// Serves until `stop` ends; an error if the group's member is broken.
    pub fn serve(self, stop: impl Future<Output = ()>) -> Result<(), String> {
        let (spawner, host) = (Spawner::default(), self.host);
        S::ready(&host);
        let hearing = host.clone();
        let work = async {
            host.council.run(host.council.listen, &spawner, move |news| hearing.hear_news(news))?;
            spawner.spawn(listen(host.clone(), self.listener, self.open, spawner.clone()));
            S::begin(&host, &spawner);
            or(S::turns(&host, &spawner), stop).await;
            Ok(())
        };
        spawner.block_on(work).and_then(|()| match host.council.is_broken() {
            true => Err(S::BROKEN.into()),
            false => Ok(()),
        })
    }
}

async fn listen<S: Hosted>(
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

async fn first_line<S: Hosted>(host: &Host<S>, stream: &Stream) -> Result<(), String> {
    let mut lines = LineReader::new(stream, S::LONGEST_LINE);
    let first = with_timeout(STALL, "too slow", lines.next_line()).await?;
    match host.of_group(&first) {
        Some(answer) => say(stream, &answer).await,
        None => S::serve(host, &mut lines, first).await,
    }
}

/// Writes one line, with its end, in time.
pub async fn say(stream: &Stream, what: &impl Serialize) -> Result<(), String> {
    let mut text = serde_json::to_vec(what).unwrap_or_default();
    text.push(b'\n');
    write_text(stream, &text, STALL).await
}
