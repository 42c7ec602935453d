//! Follows the control service: versions in, reports out, again and again after a break. While it is away, the last
//! version stays, and the floor of the archive's gate with it.
use super::Shared;
use crate::desk::News;
use crate::start::Limits;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future::or;
use harestage::time::Moment;
use harestage_shape::lines::{self, FromMember, ToMember};
use harestage_sockets::Stream;
use harestage_sockets::leader::Leader;
use harestage_sockets::lines::{Lines, within, write_text};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

pub(crate) struct Follower {
    pub limits: Rc<Limits>,
    pub shared: Rc<Shared>,
    pub inbox: Sender<News>,
    pub log: Logger,
    /// Members of the control service.
    pub controls: Vec<SocketAddr>,
}

/// Reports that wait for their part, at most.
const MOST_ASKED: usize = 64;

pub(crate) async fn follow(follower: Follower) {
    // The highest term heard: what an older one says comes from a service that was replaced.
    let term = Cell::new(0);
    let mut down = false;
    let Some(leader) = Leader::among(follower.controls.clone()) else { return };
    let leader = RefCell::new(leader);
    loop {
        let at = leader.borrow().next();
        let why = match connect(&follower, at).await {
            Ok(stream) => {
                let link = Link {
                    term: &term,
                    asked: RefCell::default(),
                    leader: &leader,
                    at,
                    up: Cell::new(false),
                };
                let why = or(read(&follower, &stream, &link), report(&follower, &stream, &link.asked)).await;
                down &= !link.up.get();
                why
            }
            Err(why) => {
                leader.borrow_mut().missed();
                why
            }
        };
        if !std::mem::replace(&mut down, true) {
            warn!(follower.log, "control down"; "why" => why);
        }
        Timer::after(follower.limits.control_pause).await;
    }
}

/// A connection to a member of the service.
struct Link<'a> {
    term: &'a Cell<u64>,
    /// When each report that is not answered yet was written.
    asked: RefCell<VecDeque<Moment>>,
    leader: &'a RefCell<Leader>,
    at: SocketAddr,
    /// It speaks.
    up: Cell<bool>,
}

impl Link<'_> {
    fn is_up(&self, follower: &Follower) {
        if !self.up.replace(true) {
            self.leader.borrow_mut().found(self.at);
            info!(follower.log, "control up"; "version" => follower.shared.desk.borrow().version());
        }
    }
}

async fn connect(follower: &Follower, at: SocketAddr) -> Result<Stream, String> {
    let hello = lines::subscribe(follower.shared.desk.borrow().version(), &follower.shared.name);
    super::subscribe(at, hello.as_bytes(), follower.limits.connect).await
}

async fn report(follower: &Follower, stream: &Stream, asked: &RefCell<VecDeque<Moment>>) -> String {
    loop {
        let now = follower.shared.clock.now();
        let report = follower.shared.desk.borrow_mut().report(now);
        if asked.borrow().len() >= MOST_ASKED {
            return "it answers no report".into();
        }
        asked.borrow_mut().push_back(now);
        let report = lines::line(&FromMember::Report(report));
        if let Err(why) = write_text(stream, &report, follower.limits.control_silence).await {
            return why;
        }
        Timer::after(follower.limits.report_every).await;
    }
}

async fn read(follower: &Follower, stream: &Stream, link: &Link<'_>) -> String {
    let mut lines = Lines::new(stream, follower.limits.line_bytes);
    loop {
        let line = match within(follower.limits.control_silence, "silent", lines.next()).await {
            Ok(line) => line,
            Err(why) => {
                link.leader.borrow_mut().missed();
                return why;
            }
        };
        let Ok(line) = serde_json::from_slice(&line) else { return "an unreadable line".into() };
        if let Some(why) = take_in(follower, line, link).await {
            return why;
        }
    }
}

/// Some: the connection is of no further use.
async fn take_in(follower: &Follower, line: ToMember, link: &Link<'_>) -> Option<String> {
    let of_term = |its: u64| {
        let stale = its < link.term.get();
        link.term.set(its.max(link.term.get()));
        if stale {
            link.leader.borrow_mut().missed();
        }
        stale.then(|| format!("of term {its}, after term {}", link.term.get()))
    };
    match line {
        ToMember::Version { term: its, shape } => {
            if let Some(why) = of_term(its) {
                return Some(why);
            }
            link.is_up(follower);
            info!(follower.log, "version"; "number" => shape.version, "term" => its);
            let _ = follower.inbox.send(News::Told(shape)).await;
        }
        ToMember::Part(part) => {
            link.is_up(follower);
            let asked = link.asked.borrow_mut().pop_front();
            if let Some(asked) = asked {
                let _ = follower.inbox.send(News::Part { part, asked }).await;
            }
        }
        // The answer to a report of a hub that needs no part.
        ToMember::Beat { term: its, .. } => {
            link.asked.borrow_mut().pop_front();
            let stale = of_term(its);
            if stale.is_none() {
                link.is_up(follower);
            }
            return stale;
        }
        ToMember::Elsewhere { serves } => {
            link.leader.borrow_mut().elsewhere(serves.as_deref());
            return Some("this member does not speak".into());
        }
    }
    None
}
