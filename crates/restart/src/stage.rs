//! A start, stage by stage. Each stage has a reason why it waits, and a bound: what does not come by then is done without, in
//! the way that harms nobody. So nobody waits for a process that does not come, and no circle of waits can stand.
use crate::trust::Who;
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};

/// Where a start is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It reads what its disk has.
    Reading,
    /// Nothing that may have been purged goes out: it waits to be told all that lives.
    AwaitsPurges,
    /// It knows no purges and keeps nothing: each fill is fetched anew, and given to those who wait for it.
    Alone,
    /// It waits for a version of the shape; at the bound it goes by the one that it has, if any.
    AwaitsShape,
    /// What it holds goes out; nothing is fetched.
    FromCopies,
    /// Fills that are worth most, as many as the archive has proved to bear.
    Worthy,
    /// All of it.
    All,
}

/// What a hub has heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fact {
    /// Its index is read; whether it holds any copies.
    Read {
        copies: bool,
    },
    /// The service of purges has told all that lives.
    PurgesKnown,
    /// It follows no service of purges, or none that can be lost.
    NoPurges,
    /// A version of the shape is there.
    Shape,
    /// The archive bears what it is asked for now, in full.
    BearsAll,
    /// It bears part of it.
    BearsSome,
    /// It does not: it is slow, refuses, or is silent.
    BearsNone,
    /// Staff holds the start where it is, and lets it go on.
    Held,
    Released,
}

/// Why a stage waits, and for whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    pub on: Option<Who>,
    pub most: Span,
    pub why: &'static str,
}

impl Stage {
    /// None: it waits for nothing.
    pub fn wait(self) -> Option<Wait> {
        let wait = |on, ms, why| Some(Wait { on, most: Span::millis(ms), why });
        match self {
            Stage::Reading => wait(None, 60_000, "reading the index of its copies"),
            Stage::AwaitsPurges => wait(Some(Who::Service), 8_000, "purges that live are not known yet"),
            Stage::Alone => None,
            Stage::AwaitsShape => wait(Some(Who::Service), 4_000, "no version of the shape is known yet"),
            Stage::FromCopies => wait(None, 2_000, "the archive is spared while copies serve"),
            Stage::Worthy => wait(None, 12_000, "the archive has not proved to bear all"),
            Stage::All => None,
        }
    }

    /// Whether copies from the disk may go out.
    pub fn gives_copies(self) -> bool {
        self >= Stage::FromCopies
    }

    /// Whether anything may be fetched or filled.
    pub fn fills(self) -> bool {
        matches!(self, Stage::Alone | Stage::Worthy | Stage::All)
    }

    /// Whether what it fetches may be kept.
    pub fn keeps(self) -> bool {
        matches!(self, Stage::Worthy | Stage::All)
    }
}

/// A stage was left for another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    pub from: Stage,
    pub to: Stage,
    /// How long it stood there.
    pub lasted_ms: u64,
    pub why: String,
}

/// The start of one hub.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Start {
    stage: Stage,
    since: Moment,
    purges: bool,
    shape: bool,
    copies: bool,
    bears: Option<bool>,
    held: bool,
}

impl Start {
    pub fn begin(now: Moment) -> Start {
        Start {
            stage: Stage::Reading,
            since: now,
            purges: false,
            shape: false,
            copies: false,
            bears: None,
            held: false,
        }
    }

    /// One that has no disk and starts as it always did.
    pub fn over(now: Moment) -> Start {
        Start { stage: Stage::All, purges: true, shape: true, ..Start::begin(now) }
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    pub fn is_held(&self) -> bool {
        self.held
    }

    /// Why it waits, and how long at most from now on.
    pub fn waits(&self, now: Moment) -> Option<(Wait, Span)> {
        let wait = self.stage.wait()?;
        let left = (self.since + wait.most).since(now);
        Some((wait, left))
    }

    /// Something was heard; the stage changes with the next beat.
    pub fn hear(&mut self, fact: Fact) {
        match fact {
            Fact::Read { copies } => {
                self.copies = copies;
                if self.stage == Stage::Reading {
                    self.stage = Stage::AwaitsPurges;
                }
            }
            Fact::PurgesKnown | Fact::NoPurges => self.purges = true,
            Fact::Shape => self.shape = true,
            Fact::BearsAll => self.bears = Some(true),
            Fact::BearsSome => self.bears = None,
            Fact::BearsNone => self.bears = Some(false),
            Fact::Held => self.held = true,
            Fact::Released => self.held = false,
        }
    }

    /// To be called some times a second.
    pub fn beat(&mut self, now: Moment) -> Option<Turn> {
        let from = self.stage;
        // The index was read between two beats: the stage began then.
        let (to, why) = self.next(now)?;
        let lasted_ms = now.since(self.since).as_micros() / 1_000;
        (self.stage, self.since) = (to, now);
        Some(Turn { from, to, lasted_ms, why: why.into() })
    }

    fn next(&self, now: Moment) -> Option<(Stage, &'static str)> {
        let over = self.stage.wait().is_some_and(|wait| now.since(self.since) >= wait.most);
        match self.stage {
            Stage::Reading if over => Some((Stage::AwaitsPurges, "its index can't be read in time")),
            Stage::Reading => None,
            Stage::AwaitsPurges if self.purges => Some((Stage::AwaitsShape, "purges that live are known")),
            Stage::AwaitsPurges if over => Some((Stage::Alone, "no service of purges has come")),
            Stage::AwaitsPurges => None,
            Stage::Alone if self.purges => Some((Stage::AwaitsShape, "purges that live are known")),
            Stage::Alone => None,
            Stage::AwaitsShape if self.shape => Some((self.first(), "a version of the shape is known")),
            Stage::AwaitsShape if over => Some((self.first(), "no control service has come")),
            Stage::AwaitsShape => None,
            _ if self.held => None,
            Stage::FromCopies if over || self.bears == Some(true) => {
                Some((Stage::Worthy, "the archive is tried"))
            }
            Stage::FromCopies => None,
            Stage::Worthy if self.bears == Some(false) && self.copies => {
                Some((Stage::FromCopies, "the archive does not bear it"))
            }
            Stage::Worthy if self.bears == Some(true) => Some((Stage::All, "the archive bears all")),
            Stage::Worthy if over => Some((Stage::All, "it has been spared for long enough")),
            Stage::Worthy => None,
            Stage::All => None,
        }
    }

    /// Without copies there is nothing to serve from.
    fn first(&self) -> Stage {
        if self.copies { Stage::FromCopies } else { Stage::Worthy }
    }
}

/// For whom each kind of process waits at its start, and whether it does without after a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Edge {
    pub who: Who,
    pub on: Who,
    pub bounded: bool,
}

/// All waits of one kind for another. Those of hubs are their stages'.
pub fn edges() -> Vec<Edge> {
    let all = [Stage::Reading, Stage::AwaitsPurges, Stage::AwaitsShape, Stage::FromCopies, Stage::Worthy];
    let of_hubs = all.into_iter().filter_map(|stage| stage.wait()?.on);
    let mut edges: Vec<Edge> = of_hubs.map(|on| Edge { who: Who::Hub, on, bounded: true }).collect();
    // A feed tells nothing before it knows a version and the purges, since it could only tell what is old.
    edges.push(Edge { who: Who::Feed, on: Who::Service, bounded: false });
    edges.push(Edge { who: Who::Router, on: Who::Feed, bounded: false });
    edges
}

/// Circles of waits that nothing ends: there must be none. Each as the kinds on it.
pub fn circles() -> Vec<Vec<Who>> {
    let edges: Vec<Edge> = edges().into_iter().filter(|edge| !edge.bounded).collect();
    let mut found = Vec::new();
    for first in crate::trust::EVERYBODY {
        let mut ways = vec![vec![first]];
        while let Some(way) = ways.pop() {
            let Some(last) = way.last() else { continue };
            for edge in edges.iter().filter(|edge| edge.who == *last) {
                if edge.on == first {
                    found.push(way.clone());
                } else if !way.contains(&edge.on) {
                    ways.push(way.iter().copied().chain([edge.on]).collect());
                }
            }
        }
    }
    found
}
