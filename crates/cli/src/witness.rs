//! `harestage router --keeper`: what joins a router to the keeper of the audit. The platform's router has nothing of it.
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future::or;
use harestage::state::ContentIndex;
use harestage::time::Moment;
use harestage_audit::chain::Outcome;
use harestage_audit::messages::{KeeperMessage, Report, Role, Update};
use harestage_audit::process::{AuditedProcess, KeeperRequest, ProcessIdentity};
use harestage_audit::stamp::Versions;
use harestage_following::audit::{Audited, follow};
use harestage_router::program::{AttachObserver, BackgroundTask, ObserverContext};
use harestage_router::routing::Input;
use harestage_router::routing::observer::{DownloadOutcome, Observer};
use harestage_sockets::clock::Clock;
use harestage_wire::feed::{self, FeedMessage, ServiceState};
use harestage_wire::peer::AuditMark;
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What the router's command line says of the audit.
#[derive(clap::Args, Clone, Debug)]
pub struct Watch {
    /// A member of the keeper of the audit; further ones are tried where it is away. Absent: nothing is recorded.
    #[arg(long = "keeper")]
    pub keepers: Vec<SocketAddr>,
    /// The branch that this router is at, as the shape names it.
    #[arg(long, default_value = "")]
    pub branch: String,
    /// Nodes whose names begin so are hubs of ours, and are told under what a pull is made.
    #[arg(long = "marks", default_values_t = vec!["hub-".to_string()])]
    pub marked: Vec<String>,
    /// For measurements: it is recorded, and nothing shuts it out.
    #[arg(long, hide = true)]
    pub plain: bool,
    /// What this program is called in records; absent: its version.
    #[arg(long, default_value = env!("CARGO_PKG_VERSION"))]
    pub build: String,
}

const BEAT: Duration = Duration::from_millis(100);
/// Those who are turned away are told to come again after as long, spread over as much again.
const COME_AGAIN_MS: u64 = 500;

struct Watching {
    acting: RefCell<AuditedProcess>,
    clock: Clock,
    marked: Vec<String>,
    drawn: Cell<u64>,
    inbox: Sender<Input>,
    log: Logger,
    /// It was said that this router may not act.
    said: Cell<bool>,
    /// It ends once all is told.
    ends: Cell<bool>,
}

fn line() -> harestage_following::Line {
    harestage_following::Line {
        connect: Duration::from_millis(400),
        silence: Duration::from_secs(2),
        pause: Duration::from_millis(150),
        report_every: Duration::from_millis(200),
        bytes: 8 << 20,
    }
}

/// None: there is no keeper.
pub fn attach(watch: &Watch, file: &str) -> Option<AttachObserver> {
    if watch.keepers.is_empty() {
        return None;
    }
    let (watch, settings) = (watch.clone(), std::fs::read(file).unwrap_or_default());
    Some(Box::new(move |to: ObserverContext| {
        let ObserverContext { name, contents, clock, inbox, log } = to;
        let place = if watch.branch.is_empty() { name.clone() } else { watch.branch.clone() };
        let start = clock.now().micros();
        let who = ProcessIdentity { member: name, start, role: Role::Router, site: place.clone(), place };
        let settings = harestage_audit::stamp::settings_digest(&settings);
        let goes = Versions { build: watch.build.clone(), settings, ..Versions::default() };
        let mut acting = AuditedProcess::new(who, contents, goes, clock.now());
        if watch.plain {
            acting.disable_lease();
        }
        let acting = RefCell::new(acting);
        let (marked, drawn, said) = (watch.marked.clone(), Cell::new(0), Cell::new(false));
        let ends = Cell::new(false);
        let watching =
            Rc::new(Watching { acting, clock, marked, drawn, inbox, log: log.clone(), said, ends });
        let reporting = follow(Reporting(watching.clone()), watch.keepers.clone(), line(), log);
        let beside: BackgroundTask = Box::pin(or(reporting, beats(watching.clone())));
        (watching as Rc<dyn Observer>, beside)
    }))
}

async fn beats(watching: Rc<Watching>) {
    loop {
        Timer::after(BEAT).await;
        let now = watching.clock.now();
        watching.acting.borrow_mut().tick(now);
        let why = watching.acting.borrow().exclusion_reason(now);
        if watching.said.replace(why.is_some()) != why.is_some() {
            match why {
                Some(why) => warn!(watching.log, "acts no more"; "why" => why),
                None => info!(watching.log, "acts again"),
            }
        }
    }
}

impl Watching {
    fn take_up(&self, marks: &ServiceState, now: Moment) {
        let mut acting = self.acting.borrow_mut();
        let own = acting.versions().clone();
        // Numbers never go back: a feed that starts anew tells what it has, which may be less than was told before it.
        let shape = marks.shape_version.unwrap_or(own.shape).max(own.shape);
        let purge = marks.purge_number.unwrap_or(own.purge).max(own.purge);
        let plan = marks.plan.clone().unwrap_or(own.plan.clone());
        if (shape, purge, &plan) != (own.shape, own.purge, &own.plan) {
            info!(self.log, "goes by"; "shape" => shape, "purge" => purge, "plan" => &plan);
        }
        acting.set_versions(Versions { shape, purge, plan, ..own }, now);
    }
}

impl Observer for Watching {
    fn on_service_state(&self, marks: &ServiceState, now: Moment) {
        self.take_up(marks, now);
    }

    fn may_send(&self) -> bool {
        self.acting.borrow().may_act(self.clock.now())
    }

    fn retry_after_ms(&self) -> u64 {
        self.drawn.set(self.drawn.get() + 1);
        COME_AGAIN_MS + self.drawn.get().wrapping_mul(0x9e37_79b9_7f4a_7c15) % COME_AGAIN_MS
    }

    fn state_number(&self) -> u64 {
        self.acting.borrow_mut().recorder().stamp_sequence()
    }

    fn on_download_end(
        &self,
        content: ContentIndex,
        became: DownloadOutcome,
        id: u64,
        acted: Option<u64>,
        now: Moment,
    ) {
        let outcome = match became {
            DownloadOutcome::Fulfilled => Outcome::Fulfilled,
            DownloadOutcome::Throttled => Outcome::Throttled,
            DownloadOutcome::Abandoned => Outcome::Abandoned,
            DownloadOutcome::Left => Outcome::ClientLeft,
        };
        let (mut acting, content) = (self.acting.borrow_mut(), content.0 as usize);
        match acted {
            Some(acted) => acting.download_ended_under(acted, content, outcome, id, now),
            None => acting.download_ended(content, outcome, id, now),
        }
    }

    fn on_shutdown(&self) {
        self.ends.set(true);
        let now = self.clock.now();
        self.acting.borrow_mut().recorder().finish(now);
    }

    fn on_pull(&self, node: &str, now: Moment) -> Option<AuditMark> {
        let mut acting = self.acting.borrow_mut();
        acting.recorder().pull_sent(node, now);
        let ours = self.marked.iter().any(|prefix| node.starts_with(prefix.as_str()));
        ours.then(|| {
            let (by, place) = (acting.identity().member.clone(), acting.identity().place.clone());
            AuditMark { by, place, stamp: acting.stamp().to_string() }
        })
    }
}

struct Reporting(Rc<Watching>);

impl Audited for Reporting {
    fn now(&self) -> Moment {
        self.0.clock.now()
    }

    fn report(&self) -> Report {
        self.0.acting.borrow().report(self.now())
    }

    fn has_more(&self) -> bool {
        self.0.acting.borrow_mut().recorder().has_more()
    }

    async fn answered(&self, answer: KeeperMessage, asked: Moment) -> bool {
        let wanted = self.0.acting.borrow_mut().on_answer(answer, asked);
        match wanted {
            Some(KeeperRequest::Restart(why)) => {
                warn!(self.0.log, "starts anew: the keeper asks for it"; "why" => why);
                return false;
            }
            // Through the same door as the feed, under no number of its own.
            Some(KeeperRequest::Apply(Update::Membership { event })) => {
                info!(self.0.log, "brought up by the keeper");
                if let Ok(FeedMessage::Event(_, told)) = feed::decode_line(event.as_bytes()) {
                    let _ = self.0.inbox.send(Input::Feed(told)).await;
                    if let Some(marks) = feed::decode_service_state(event.as_bytes()) {
                        let _ = self.0.inbox.send(Input::ServiceState(marks)).await;
                    }
                }
            }
            _ => {}
        }
        !(self.0.ends.get() && self.0.acting.borrow_mut().recorder().is_fully_acknowledged())
    }
}
