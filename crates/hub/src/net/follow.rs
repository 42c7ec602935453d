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
    pub control: SocketAddr,
}

/// Reports that wait for their part, at most.
const MOST_ASKED: usize = 64;

pub(crate) async fn follow(follower: Follower) {
    // The highest term heard: what an older one says comes from a service that was replaced.
    let term = Cell::new(0);
    let mut down = false;
    loop {
        let why = match connect(&follower).await {
            Ok(stream) => {
                down = false;
                info!(follower.log, "control up"; "version" => follower.shared.desk.borrow().version());
                let asked = RefCell::new(VecDeque::new());
                or(read(&follower, &stream, &term, &asked), report(&follower, &stream, &asked)).await
            }
            Err(why) => why,
        };
        if !std::mem::replace(&mut down, true) {
            warn!(follower.log, "control down"; "why" => why);
        }
        Timer::after(follower.limits.control_pause).await;
    }
}

async fn connect(follower: &Follower) -> Result<Stream, String> {
    let hello = lines::subscribe(follower.shared.desk.borrow().version(), &follower.shared.name);
    super::subscribe(follower.control, hello.as_bytes(), follower.limits.connect).await
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

async fn read(
    follower: &Follower,
    stream: &Stream,
    term: &Cell<u64>,
    asked: &RefCell<VecDeque<Moment>>,
) -> String {
    let mut lines = Lines::new(stream, follower.limits.line_bytes);
    loop {
        let line = match within(follower.limits.control_silence, "silent", lines.next()).await {
            Ok(line) => line,
            Err(why) => return why,
        };
        let Ok(line) = serde_json::from_slice(&line) else { return "an unreadable line".into() };
        if let Some(why) = take_in(follower, line, term, asked).await {
            return why;
        }
    }
}

/// Some: the connection is of no further use.
async fn take_in(
    follower: &Follower,
    line: ToMember,
    term: &Cell<u64>,
    asked: &RefCell<VecDeque<Moment>>,
) -> Option<String> {
    let of_term = |its: u64| {
        let stale = its < term.get();
        term.set(its.max(term.get()));
        stale.then(|| format!("of term {its}, after term {}", term.get()))
    };
    match line {
        ToMember::Version { term: its, shape } => {
            if let Some(why) = of_term(its) {
                return Some(why);
            }
            info!(follower.log, "version"; "number" => shape.version, "term" => its);
            let _ = follower.inbox.send(News::Told(shape)).await;
        }
        ToMember::Part(part) => {
            let asked = asked.borrow_mut().pop_front();
            if let Some(asked) = asked {
                let _ = follower.inbox.send(News::Part { part, asked }).await;
            }
        }
        // The answer to a report of a hub that needs no part.
        ToMember::Beat { term: its, .. } => {
            asked.borrow_mut().pop_front();
            return of_term(its);
        }
    }
    None
}
