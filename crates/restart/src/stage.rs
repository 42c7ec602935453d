//! A start, stage by stage. Each stage has a reason why it waits, and a bound: what does not come by then is done without, in
//! the way that harms nobody. So nobody waits for a process that does not come, and no circle of waits can stand.
use crate::trust::ProcessKind;
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
    #[serde(rename = "alone")]
    WithoutPurges,
    /// It waits for a version of the shape; at the bound it goes by the one that it has, if any.
    AwaitsShape,
    /// What it holds goes out; nothing is fetched.
    #[serde(rename = "from_copies")]
    CopiesOnly,
    /// Fills that are worth most, as many as the archive has proved to bear.
    #[serde(rename = "worthy")]
    BestFills,
    /// All of it.
    All,
}

/// What a hub has heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StartEvent {
    /// Its index is read; whether it holds any copies.
    IndexRead {
        copies: bool,
    },
    /// The service of purges has told all that lives.
    PurgesKnown,
    /// It follows no service of purges, or none that can be lost.
    PurgesNotFollowed,
    /// A version of the shape is there.
    ShapeKnown,
    /// The archive bears what it is asked for now, in full.
    ArchiveAdmitsAll,
    /// It bears part of it.
    ArchiveAdmitsSome,
    /// It does not: it is slow, refuses, or is silent.
    ArchiveAdmitsNone,
    /// Staff holds the start where it is, and lets it go on.
    Held,
    Released,
}

/// Why a stage waits, and for whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    pub on: Option<ProcessKind>,
    pub max: Span,
    pub reason: &'static str,
}

impl Stage {
    /// None: it waits for nothing.
    pub fn wait(self) -> Option<Wait> {
        let wait = |on, ms, why| Some(Wait { on, max: Span::millis(ms), reason: why });
        match self {
            Stage::Reading => wait(None, 60_000, "reading the index of its copies"),
            Stage::AwaitsPurges => {
                wait(Some(ProcessKind::Service), 8_000, "purges that live are not known yet")
            }
            Stage::WithoutPurges => None,
            Stage::AwaitsShape => {
                wait(Some(ProcessKind::Service), 4_000, "no version of the shape is known yet")
            }
            Stage::CopiesOnly => wait(None, 2_000, "the archive is spared while copies serve"),
            Stage::BestFills => wait(None, 12_000, "the archive has not proved to bear all"),
            Stage::All => None,
        }
    }

    /// Whether copies from the disk may go out.
    pub fn serves_copies(self) -> bool {
        self >= Stage::CopiesOnly
    }

    /// Whether anything may be fetched or filled.
    pub fn allows_fills(self) -> bool {
        matches!(self, Stage::WithoutPurges | Stage::BestFills | Stage::All)
    }

    /// Whether what it fetches may be kept.
    pub fn stores_fetched(self) -> bool {
        matches!(self, Stage::BestFills | Stage::All)
    }
}

/// A stage was left for another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageChange {
    pub from: Stage,
    pub to: Stage,
    /// How long it stood there.
    pub lasted_ms: u64,
    #[serde(rename = "why")]
    pub reason: String,
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
    pub fn new(now: Moment) -> Start {
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
    pub fn completed(now: Moment) -> Start {
        Start { stage: Stage::All, purges: true, shape: true, ..Start::new(now) }
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    pub fn is_held(&self) -> bool {
        self.held
    }

    /// Why it waits, and how long at most from now on.
    pub fn current_wait(&self, now: Moment) -> Option<(Wait, Span)> {
        let wait = self.stage.wait()?;
        let left = (self.since + wait.max).since(now);
        Some((wait, left))
    }

    /// Something was heard; the stage changes with the next beat.
    pub fn on_event(&mut self, fact: StartEvent) {
        match fact {
            StartEvent::IndexRead { copies } => {
                self.copies = copies;
                if self.stage == Stage::Reading {
                    self.stage = Stage::AwaitsPurges;
                }
            }
            StartEvent::PurgesKnown | StartEvent::PurgesNotFollowed => self.purges = true,
            StartEvent::ShapeKnown => self.shape = true,
            StartEvent::ArchiveAdmitsAll => self.bears = Some(true),
            StartEvent::ArchiveAdmitsSome => self.bears = None,
            StartEvent::ArchiveAdmitsNone => self.bears = Some(false),
            StartEvent::Held => self.held = true,
            StartEvent::Released => self.held = false,
        }
    }

    /// To be called some times a second.
    pub fn tick(&mut self, now: Moment) -> Option<StageChange> {
        let from = self.stage;
        // The index was read between two beats: the stage began then.
        let (to, why) = self.next(now)?;
        let lasted_ms = now.since(self.since).as_micros() / 1_000;
        (self.stage, self.since) = (to, now);
        Some(StageChange { from, to, lasted_ms, reason: why.into() })
    }

    fn next(&self, now: Moment) -> Option<(Stage, &'static str)> {
        let over = self.stage.wait().is_some_and(|wait| now.since(self.since) >= wait.max);
        match self.stage {
            Stage::Reading if over => Some((Stage::AwaitsPurges, "its index can't be read in time")),
            Stage::Reading => None,
            Stage::AwaitsPurges if self.purges => Some((Stage::AwaitsShape, "purges that live are known")),
            Stage::AwaitsPurges if over => Some((Stage::WithoutPurges, "no service of purges has come")),
            Stage::AwaitsPurges => None,
            Stage::WithoutPurges if self.purges => Some((Stage::AwaitsShape, "purges that live are known")),
            Stage::WithoutPurges => None,
            Stage::AwaitsShape if self.shape => Some((self.first(), "a version of the shape is known")),
            Stage::AwaitsShape if over => Some((self.first(), "no control service has come")),
            Stage::AwaitsShape => None,
            _ if self.held => None,
            Stage::CopiesOnly if over || self.bears == Some(true) => {
                Some((Stage::BestFills, "the archive is tried"))
            }
            Stage::CopiesOnly => None,
            Stage::BestFills if self.bears == Some(false) && self.copies => {
                Some((Stage::CopiesOnly, "the archive does not bear it"))
            }
            Stage::BestFills if self.bears == Some(true) => Some((Stage::All, "the archive bears all")),
            Stage::BestFills if over => Some((Stage::All, "it has been spared for long enough")),
            Stage::BestFills => None,
            Stage::All => None,
        }
    }

    /// Without copies there is nothing to serve from.
    fn first(&self) -> Stage {
        if self.copies { Stage::CopiesOnly } else { Stage::BestFills }
    }
}

/// For whom each kind of process waits at its start, and whether it does without after a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dependency {
    pub dependent: ProcessKind,
    pub on: ProcessKind,
    pub bounded: bool,
}

/// All waits of one kind for another. Those of hubs are their stages'.
pub fn dependencies() -> Vec<Dependency> {
    let all = [Stage::Reading, Stage::AwaitsPurges, Stage::AwaitsShape, Stage::CopiesOnly, Stage::BestFills];
    let of_hubs = all.into_iter().filter_map(|stage| stage.wait()?.on);
    let mut edges: Vec<Dependency> =
        of_hubs.map(|on| Dependency { dependent: ProcessKind::Hub, on, bounded: true }).collect();
    // A feed tells nothing before it knows a version and the purges, since it could only tell what is old.
    edges.push(Dependency { dependent: ProcessKind::Feed, on: ProcessKind::Service, bounded: false });
    edges.push(Dependency { dependent: ProcessKind::Router, on: ProcessKind::Feed, bounded: false });
    edges
}

/// Circles of waits that nothing ends: there must be none. Each as the kinds on it.
pub fn unbounded_cycles() -> Vec<Vec<ProcessKind>> {
    let edges: Vec<Dependency> = dependencies().into_iter().filter(|edge| !edge.bounded).collect();
    let mut found = Vec::new();
    for first in crate::trust::PROCESS_KINDS {
        let mut ways = vec![vec![first]];
        while let Some(way) = ways.pop() {
            let Some(last) = way.last() else { continue };
            for edge in edges.iter().filter(|edge| edge.dependent == *last) {
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
