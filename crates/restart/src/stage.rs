//! The start of a hub as a sequence of stages. Each stage has a reason for waiting and an upper bound, after which the hub
//! goes on in a safe way without what it waited for. So no process waits forever for one that does not come, and there
//! is no deadlock by a wait cycle.
use crate::trust::ProcessKind;
use harestage::time::{Moment, Span};
use serde::{Deserialize, Serialize};

/// A stage of the start of a hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It reads the index of its copies on disk.
    Reading,
    /// It serves nothing that may have been purged, and waits for all active purges.
    AwaitsPurges,
    /// It does not know the purges. Each fill is fetched from the archive, served to its waiting clients, and not stored.
    #[serde(rename = "alone")]
    WithoutPurges,
    /// It waits for a version of the shape. After the bound it uses the one that it has, if any.
    AwaitsShape,
    /// It serves its copies and fetches nothing.
    #[serde(rename = "from_copies")]
    CopiesOnly,
    /// It fetches the content with the highest worth, as far as the archive has shown capacity.
    #[serde(rename = "worthy")]
    BestFills,
    /// The start is over: no restrictions.
    All,
}

/// An input of the start of a hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StartEvent {
    /// The index of its copies was read.
    IndexRead {
        /// Whether it has any copies.
        copies: bool,
    },
    /// The purge service has sent all active purges.
    PurgesKnown,
    /// It follows no purge service that it could lose contact with.
    PurgesNotFollowed,
    /// A version of the shape is known.
    ShapeKnown,
    /// The archive has shown capacity for all fetches.
    ArchiveAdmitsAll,
    /// The archive has shown capacity for some fetches.
    ArchiveAdmitsSome,
    /// The archive has no capacity: it is slow, refuses fetches or does not answer.
    ArchiveAdmitsNone,
    /// An operator pauses the start.
    Held,
    /// An operator lets it continue.
    Released,
}

/// Why a stage waits, for which process, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// The kind of process that it waits for; none: the hub itself or the archive.
    pub on: Option<ProcessKind>,
    /// Upper bound of the wait.
    pub max: Span,
    pub reason: &'static str,
}

impl Stage {
    /// What this stage waits for, if anything.
    pub fn wait(self) -> Option<Wait> {
        let wait = |on, ms, reason| Some(Wait { on, max: Span::millis(ms), reason });
        match self {
            Stage::Reading => wait(None, 60_000, "reading the index of its copies"),
            Stage::AwaitsPurges => {
                wait(Some(ProcessKind::Service), 8_000, "the active purges are not known yet")
            }
            Stage::WithoutPurges => None,
            Stage::AwaitsShape => {
                wait(Some(ProcessKind::Service), 4_000, "no version of the shape is known yet")
            }
            Stage::CopiesOnly => wait(None, 2_000, "the archive is spared while copies are served"),
            Stage::BestFills => wait(None, 12_000, "the archive has not shown full capacity yet"),
            Stage::All => None,
        }
    }

    /// Whether copies from the disk may be served.
    pub fn serves_copies(self) -> bool {
        self >= Stage::CopiesOnly
    }

    /// Whether fetches and fills are allowed.
    pub fn allows_fills(self) -> bool {
        matches!(self, Stage::WithoutPurges | Stage::BestFills | Stage::All)
    }

    /// Whether fetched content is stored.
    pub fn stores_fetched(self) -> bool {
        matches!(self, Stage::BestFills | Stage::All)
    }
}

/// A change from one stage to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageChange {
    pub from: Stage,
    pub to: Stage,
    /// Duration of the stage that was left.
    pub lasted_ms: u64,
    #[serde(rename = "why")]
    pub reason: String,
}

/// State machine for the start of one hub.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Start {
    stage: Stage,
    since: Moment,
    purges_known: bool,
    shape_known: bool,
    has_copies: bool,
    /// Whether the archive has shown full capacity (true), none (false), or neither.
    archive_admits: Option<bool>,
    held: bool,
}

impl Start {
    /// Begins at the first stage.
    pub fn new(now: Moment) -> Start {
        Start {
            stage: Stage::Reading,
            since: now,
            purges_known: false,
            shape_known: false,
            has_copies: false,
            archive_admits: None,
            held: false,
        }
    }

    /// For a hub without a disk: it starts without any restrictions.
    pub fn completed(now: Moment) -> Start {
        Start { stage: Stage::All, purges_known: true, shape_known: true, ..Start::new(now) }
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether an operator has paused the start.
    pub fn is_held(&self) -> bool {
        self.held
    }

    /// The wait of the current stage, and the time left until its bound.
    pub fn current_wait(&self, now: Moment) -> Option<(Wait, Span)> {
        let wait = self.stage.wait()?;
        let remaining = (self.since + wait.max).since(now);
        Some((wait, remaining))
    }

    /// Handles an event. The stage changes with the next [`Start::tick`].
    pub fn on_event(&mut self, event: StartEvent) {
        match event {
            StartEvent::IndexRead { copies } => {
                self.has_copies = copies;
                if self.stage == Stage::Reading {
                    self.stage = Stage::AwaitsPurges;
                }
            }
            StartEvent::PurgesKnown | StartEvent::PurgesNotFollowed => self.purges_known = true,
            StartEvent::ShapeKnown => self.shape_known = true,
            StartEvent::ArchiveAdmitsAll => self.archive_admits = Some(true),
            StartEvent::ArchiveAdmitsSome => self.archive_admits = None,
            StartEvent::ArchiveAdmitsNone => self.archive_admits = Some(false),
            StartEvent::Held => self.held = true,
            StartEvent::Released => self.held = false,
        }
    }

    /// Enters the next stage if it is due; to be called several times a second.
    pub fn tick(&mut self, now: Moment) -> Option<StageChange> {
        let from = self.stage;
        // `on_event` leaves [`Stage::Reading`] without a tick, so the next stage counts from the start of the reading.
        let (to, reason) = self.next(now)?;
        let lasted_ms = now.since(self.since).as_micros() / 1_000;
        (self.stage, self.since) = (to, now);
        Some(StageChange { from, to, lasted_ms, reason: reason.into() })
    }

    fn next(&self, now: Moment) -> Option<(Stage, &'static str)> {
        let expired = self.stage.wait().is_some_and(|wait| now.since(self.since) >= wait.max);
        match self.stage {
            Stage::Reading if expired => Some((Stage::AwaitsPurges, "the index was not read in time")),
            Stage::Reading => None,
            Stage::AwaitsPurges if self.purges_known => {
                Some((Stage::AwaitsShape, "the active purges are known"))
            }
            Stage::AwaitsPurges if expired => Some((Stage::WithoutPurges, "no purge service has answered")),
            Stage::AwaitsPurges => None,
            Stage::WithoutPurges if self.purges_known => {
                Some((Stage::AwaitsShape, "the active purges are known"))
            }
            Stage::WithoutPurges => None,
            Stage::AwaitsShape if self.shape_known => {
                Some((self.first_serving_stage(), "a version of the shape is known"))
            }
            Stage::AwaitsShape if expired => {
                Some((self.first_serving_stage(), "no control service has answered"))
            }
            Stage::AwaitsShape => None,
            _ if self.held => None,
            Stage::CopiesOnly if expired || self.archive_admits == Some(true) => {
                Some((Stage::BestFills, "the archive is probed"))
            }
            Stage::CopiesOnly => None,
            Stage::BestFills if self.archive_admits == Some(false) && self.has_copies => {
                Some((Stage::CopiesOnly, "the archive has no capacity"))
            }
            Stage::BestFills if self.archive_admits == Some(true) => {
                Some((Stage::All, "the archive has shown full capacity"))
            }
            Stage::BestFills if expired => Some((Stage::All, "the archive has been spared for long enough")),
            Stage::BestFills => None,
            Stage::All => None,
        }
    }

    /// The first stage that serves: without copies there is nothing to serve from the disk.
    fn first_serving_stage(&self) -> Stage {
        if self.has_copies { Stage::CopiesOnly } else { Stage::BestFills }
    }
}

/// A kind of process that waits for another kind at its start. `bounded`: after a bound it continues without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dependency {
    pub dependent: ProcessKind,
    pub on: ProcessKind,
    pub bounded: bool,
}

/// All waits of one kind of process for another. Those of hubs are the waits of their stages.
pub fn dependencies() -> Vec<Dependency> {
    let waiting_stages =
        [Stage::Reading, Stage::AwaitsPurges, Stage::AwaitsShape, Stage::CopiesOnly, Stage::BestFills];
    let of_hubs = waiting_stages.into_iter().filter_map(|stage| stage.wait()?.on);
    let mut dependencies: Vec<Dependency> =
        of_hubs.map(|on| Dependency { dependent: ProcessKind::Hub, on, bounded: true }).collect();
    // A feed sends nothing before it knows a version and the purges, since what it has may be outdated.
    dependencies.push(Dependency { dependent: ProcessKind::Feed, on: ProcessKind::Service, bounded: false });
    dependencies.push(Dependency { dependent: ProcessKind::Router, on: ProcessKind::Feed, bounded: false });
    dependencies
}

/// Cycles of waits without a bound, each as the kinds of processes on it. There must be none.
pub fn unbounded_cycles() -> Vec<Vec<ProcessKind>> {
    let dependencies: Vec<Dependency> =
        dependencies().into_iter().filter(|dependency| !dependency.bounded).collect();
    let mut found = Vec::new();
    for first in crate::trust::PROCESS_KINDS {
        let mut paths = vec![vec![first]];
        while let Some(path) = paths.pop() {
            let Some(last) = path.last() else { continue };
            for dependency in dependencies.iter().filter(|dependency| dependency.dependent == *last) {
                if dependency.on == first {
                    found.push(path.clone());
                } else if !path.contains(&dependency.on) {
                    paths.push(path.iter().copied().chain([dependency.on]).collect());
                }
            }
        }
    }
    found
}
