//! A router that says one thing and does another: it pulls straight from a hub, under a stamp that is not what it goes by.
//! What it really did is counted here.
use crate::say;
use crate::talk::{Caller, pull};
use harestage_wire::fields::HexId;
use harestage_wire::node::{AnswerStatus, Request};
use harestage_wire::peer::AuditMark;
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LiarPlace {
    /// The hub that it pulls from.
    pub hub: SocketAddr,
    /// What it says of itself.
    pub by: String,
    pub place: String,
    pub stamp: String,
    /// Pulls a second, and for how long.
    pub rate: f64,
    pub begins_ms: u64,
    pub lasts_ms: u64,
}

/// Plays it to its end or until `stop`.
pub fn play(place: &LiarPlace, stop: &AtomicBool) {
    let mark = AuditMark { by: place.by.clone(), place: place.place.clone(), stamp: place.stamp.clone() };
    let wait = |until: Instant| {
        while Instant::now() < until && !stop.load(Ordering::Relaxed) {
            std::thread::sleep((until - Instant::now()).min(Duration::from_millis(20)));
        }
    };
    let begun = Instant::now() + Duration::from_millis(place.begins_ms);
    wait(begun);
    let (mut sent, mut fulfilled, mut refused) = (0u64, 0u64, 0u64);
    let mut caller = None;
    while begun.elapsed() < Duration::from_millis(place.lasts_ms) && !stop.load(Ordering::Relaxed) {
        sent += 1;
        let usual = pull(sent, "page", 1_000_000 + sent % 50, 1_500);
        let request = Request { id: HexId::from_u64(sent), mark: Some(&mark), ..usual };
        caller = caller.or_else(|| Caller::to(place.hub).ok());
        match caller.as_ref().and_then(|caller| caller.ask(&request, Duration::from_millis(1_500))) {
            Some(reply) if reply.answer.status == AnswerStatus::Fulfilled => fulfilled += 1,
            Some(reply) if reply.answer.status == AnswerStatus::Busy => refused += 1,
            Some(_) => {}
            None => caller = None,
        }
        wait(begun + Duration::from_secs_f64(sent as f64 / place.rate));
    }
    say("liar", json!({"by": place.by, "sent": sent, "fulfilled": fulfilled, "refused": refused}));
}
