//! Follows the control service: versions in, reports out, again and again after a break. While it is away, the last
//! version stays, and what else the follower has with it.
use crate::{Line, subscribe};
use async_io::Timer;
use futures_lite::future::or;
use harestage::time::Moment;
use harestage_shape::archive_share::RateShare;
use harestage_shape::config::ShapeConfig;
use harestage_shape::control::HubReport;
use harestage_shape::messages::{self, FallbackPlan, FromMember, ToMember};
use harestage_sockets::Stream;
use harestage_sockets::leader::LeaderFinder;
use harestage_sockets::lines::{LineReader, with_timeout, write_text};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// What a service that speaks has said.
#[derive(Debug)]
pub enum Heard {
    Version {
        term: u64,
        shape: Box<ShapeConfig>,
        plans: Vec<FallbackPlan>,
    },
    /// The answer to a report of a hub at the top, which was written at `asked`.
    Part {
        part: RateShare,
        asked: Moment,
    },
    /// The answer to any other report.
    Beat,
}

/// Whoever follows.
pub trait Member {
    /// The first line, with the number of the last version that it has.
    fn hello(&self) -> String;
    fn version(&self) -> u64;
    fn now(&self) -> Moment;
    fn report(&self) -> HubReport;
    fn hear(&self, heard: Heard) -> impl Future<Output = ()>;
}

/// Reports that wait for their answer, at most.
const MOST_ASKED: usize = 64;

/// Follows for as long as it is polled.
pub async fn follow(member: impl Member, services: Vec<SocketAddr>, line: Line, log: Logger) {
    let Some(leader) = LeaderFinder::from_addresses(services) else { return };
    // The highest term heard: what an older one says comes from a service that was replaced.
    let (term, leader, mut down) = (Cell::new(0), RefCell::new(leader), false);
    loop {
        let at = leader.borrow().next_address();
        let why = match subscribe(at, member.hello().as_bytes(), line.connect).await {
            Ok(stream) => {
                let (asked, up) = (RefCell::default(), Cell::new(false));
                let link = Link {
                    member: &member,
                    line: &line,
                    log: &log,
                    term: &term,
                    asked,
                    leader: &leader,
                    at,
                    up,
                };
                let why = or(link.read(&stream), link.report(&stream)).await;
                down &= !link.up.get();
                why
            }
            Err(why) => {
                leader.borrow_mut().on_failure();
                why
            }
        };
        if !std::mem::replace(&mut down, true) {
            warn!(log, "control down"; "why" => why);
        }
        Timer::after(line.pause).await;
    }
}

/// A connection to a member of the service.
struct Link<'a, M> {
    member: &'a M,
    line: &'a Line,
    log: &'a Logger,
    term: &'a Cell<u64>,
    /// When each report that is not answered yet was written.
    asked: RefCell<VecDeque<Moment>>,
    leader: &'a RefCell<LeaderFinder>,
    at: SocketAddr,
    /// It speaks.
    up: Cell<bool>,
}

impl<M: Member> Link<'_, M> {
    fn is_up(&self) {
        if !self.up.replace(true) {
            self.leader.borrow_mut().on_leader(self.at);
            info!(self.log, "control up"; "version" => self.member.version());
        }
    }

    async fn report(&self, stream: &Stream) -> String {
        loop {
            if self.asked.borrow().len() >= MOST_ASKED {
                return "it answers no report".into();
            }
            self.asked.borrow_mut().push_back(self.member.now());
            let report = messages::encode_line(&FromMember::Report(self.member.report()));
            if let Err(why) = write_text(stream, &report, self.line.silence).await {
                return why;
            }
            Timer::after(self.line.report_every).await;
        }
    }

    async fn read(&self, stream: &Stream) -> String {
        let mut lines = LineReader::new(stream, self.line.bytes);
        loop {
            let line = match with_timeout(self.line.silence, "silent", lines.next_line()).await {
                Ok(line) => line,
                Err(why) => {
                    self.leader.borrow_mut().on_failure();
                    return why;
                }
            };
            let Ok(line) = serde_json::from_slice(&line) else { return "an unreadable line".into() };
            if let Some(why) = self.take_in(line).await {
                return why;
            }
        }
    }

    /// Some: it comes from a service that was replaced.
    fn stale(&self, its: u64) -> Option<String> {
        let stale = its < self.term.get();
        self.term.set(its.max(self.term.get()));
        if stale {
            self.leader.borrow_mut().on_failure();
        }
        stale.then(|| format!("of term {its}, after term {}", self.term.get()))
    }

    /// Some: the connection is of no further use.
    async fn take_in(&self, line: ToMember) -> Option<String> {
        match line {
            ToMember::Version { term: its, shape, plans } => {
                if let Some(why) = self.stale(its) {
                    return Some(why);
                }
                self.is_up();
                info!(self.log, "version"; "number" => shape.version, "term" => its, "plans" => plans.len());
                self.member.hear(Heard::Version { term: its, shape, plans }).await;
            }
            ToMember::Share(part) => {
                self.is_up();
                let asked = self.asked.borrow_mut().pop_front();
                if let Some(asked) = asked {
                    self.member.hear(Heard::Part { part, asked }).await;
                }
            }
            ToMember::Heartbeat { term: its, .. } => {
                self.asked.borrow_mut().pop_front();
                if let Some(why) = self.stale(its) {
                    return Some(why);
                }
                self.is_up();
                self.member.hear(Heard::Beat).await;
            }
            ToMember::NotLeader { leader } => {
                self.leader.borrow_mut().on_redirect(leader.as_deref());
                return Some("this member does not speak".into());
            }
        }
        None
    }
}
