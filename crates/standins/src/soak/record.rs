//! What became of every request of a soak, and which rules were broken.
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// All time limits are this much longer on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// An answer later than this after the deadline counts as lost.
const LATE: Duration = Duration::from_millis(500);
/// Attempts may begin for this long after their client has left.
const AFTER_LEAVING: Duration = Duration::from_millis(100);
/// By how much the deadline told to a cache may be later than the client's.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// A request as its client knows it.
struct Request {
    deadline: Instant,
    /// It must not run twice.
    runs_once: bool,
    answers: Vec<Instant>,
    /// When its client cancelled it or closed its connection.
    gone_at: Option<Instant>,
    /// Sent while the router closed its connection: the client sends it again elsewhere.
    crossed_close: bool,
    lost: Option<String>,
}

/// An attempt as a cache saw it.
struct Attempt {
    id: u64,
    received_at: Instant,
    deadline: Instant,
    may_have_run: bool,
}

/// The record of one soak, shared by its clients and caches.
#[derive(Default)]
pub struct Record {
    requests: Mutex<HashMap<u64, Request>>,
    attempts: Mutex<Vec<Attempt>>,
    faults: Mutex<Vec<String>>,
}

impl Record {
    /// The last byte of a request is about to be written.
    pub fn sent(&self, id: u64, timeout: Duration, runs_once: bool) {
        let request = Request {
            deadline: Instant::now() + timeout,
            runs_once,
            answers: Vec::new(),
            gone_at: None,
            crossed_close: false,
            lost: None,
        };
        self.requests.lock().expect("no holder panics").insert(id, request);
    }

    fn change(&self, id: u64, change: impl FnOnce(&mut Request)) {
        if let Some(request) = self.requests.lock().expect("no holder panics").get_mut(&id) {
            change(request);
        }
    }

    /// An answer has come.
    pub fn answered(&self, id: u64) {
        self.change(id, |request| request.answers.push(Instant::now()));
    }

    /// The client has cancelled the request, or closed its connection.
    pub fn gone(&self, id: u64) {
        self.change(id, |request| request.gone_at = Some(Instant::now()));
    }

    /// The request crossed the close of a connection at rest.
    pub fn crossed_close(&self, id: u64) {
        self.change(id, |request| request.crossed_close = true);
    }

    /// The request was not answered.
    pub fn lost(&self, id: u64, why: String) {
        self.change(id, |request| request.lost = Some(why));
    }

    /// A cache has received an attempt.
    pub fn attempted(&self, id: u64, timeout: Duration, may_have_run: bool) {
        let received_at = Instant::now();
        let attempt = Attempt { id, received_at, deadline: received_at + timeout, may_have_run };
        self.attempts.lock().expect("no holder panics").push(attempt);
    }

    /// Something else is wrong.
    pub fn fault(&self, what: String) {
        self.faults.lock().expect("no holder panics").push(what);
    }

    /// Number of requests, and of those that were answered.
    pub fn counts(&self) -> (usize, usize) {
        let requests = self.requests.lock().expect("no holder panics");
        (requests.len(), requests.values().filter(|request| !request.answers.is_empty()).count())
    }

    /// All broken rules.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = self.faults.lock().expect("no holder panics").clone();
        let requests = self.requests.lock().expect("no holder panics");
        for (id, request) in requests.iter() {
            faults.extend(request.fault().map(|fault| format!("request {id:x}: {fault}")));
        }
        let mut runs: HashMap<u64, u32> = HashMap::new();
        for attempt in self.attempts.lock().expect("no holder panics").iter() {
            let Some(request) = requests.get(&attempt.id) else {
                faults.push(format!("attempt {:x}: no client sent it", attempt.id));
                continue;
            };
            let fault = attempt.fault(request);
            faults.extend(fault.map(|fault| format!("attempt {:x}: {fault}", attempt.id)));
            let run = runs.entry(attempt.id).or_default();
            *run += u32::from(attempt.may_have_run && request.runs_once);
            if *run > 1 {
                faults.push(format!("request {:x}: ran {run} times", attempt.id));
            }
        }
        faults
    }
}

impl Request {
    fn fault(&self) -> Option<String> {
        if self.answers.len() > 1 {
            return Some(format!("{} answers", self.answers.len()));
        }
        if self.gone_at.is_some() || self.crossed_close {
            return None;
        }
        let Some(answered_at) = self.answers.first() else {
            return Some(format!("lost: {}", self.lost.as_deref().unwrap_or("never answered")));
        };
        let late = answered_at.saturating_duration_since(self.deadline + LATE + SLACK);
        (late > Duration::ZERO).then(|| format!("lost: answered {late:?} too late"))
    }
}

impl Attempt {
    fn fault(&self, request: &Request) -> Option<String> {
        let left_before = request.gone_at.map(|gone| self.received_at.saturating_duration_since(gone));
        if let Some(before) = left_before.filter(|before| *before > AFTER_LEAVING + SLACK) {
            return Some(format!("begun {before:?} after its client left"));
        }
        let beyond = self.deadline.saturating_duration_since(request.deadline);
        (beyond > DEADLINE_SLACK + SLACK).then(|| format!("told a deadline {beyond:?} past its client's"))
    }
}
