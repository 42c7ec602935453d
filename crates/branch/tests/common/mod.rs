//! A branch with one cache and hubs at three sites, and what a router knows of the purges that it is told.
#![allow(dead_code)] // each test program uses a part of it
use harestage::time::Moment;
use harestage_branch::board::{Board, Saying};
use harestage_purge::scope::Scope;
use harestage_shape::config::{ArchiveConfig, BranchConfig, CacheConfig, HubConfig, ShapeConfig};
use harestage_wire::feed::AppliedPurges;
use std::collections::{BTreeMap, HashMap};

pub fn hub(name: &str, site: &str) -> HubConfig {
    HubConfig {
        name: name.into(),
        address: "127.0.0.1:1".into(),
        site: site.into(),
        capacity: 100.0,
        passes: 0.5,
        since_ms: 0,
        cold_from: 0.1,
        cold_ms: 1_000,
        falls_at: 2.0,
        falls_within_ms: 1_000,
        up: vec!["archive".into()],
    }
}

pub fn version(number: u64, ties: &[&str]) -> ShapeConfig {
    let archive = ArchiveConfig {
        name: "archive".into(),
        address: "127.0.0.1:2".into(),
        capacity: 100.0,
        stops_at: 2.5,
        stops_within_ms: 3_000,
    };
    let branch = BranchConfig {
        name: "br".into(),
        site: String::new(),
        load: 10.0,
        hubs: ties.iter().map(|tie| tie.to_string()).collect(),
        feed: None,
        feeds: BTreeMap::new(),
        caches: vec![CacheConfig { name: "cache".into(), address: "127.0.0.1:3".into(), since_ms: 0 }],
    };
    let hubs = vec![hub("e", "east"), hub("n", "north"), hub("w", "west")];
    ShapeConfig { version: number, archive, hubs, branches: vec![branch], links: Vec::new() }
}

pub fn at(ms: u64) -> Moment {
    Moment::at_micros(ms * 1_000)
}

pub fn object(object: u64) -> Scope {
    Scope::Object(format!("{object:016x}"))
}

/// The latest purge of each object and group that a router was told, and the number that it has.
#[derive(Default)]
pub struct Known {
    pub objects: HashMap<u64, u64>,
    pub groups: HashMap<u32, u64>,
    pub number: u64,
    at_ms: u64,
    place: u64,
}

impl Known {
    fn take(&mut self, sayings: &[Saying]) {
        for saying in sayings {
            match saying {
                Saying::Ties { .. } => {}
                Saying::Purge { object, group, at_ms } => {
                    let known = match (object, group) {
                        (Some(object), _) => self.objects.entry(*object).or_insert(0),
                        (None, group) => self.groups.entry(group.unwrap()).or_insert(0),
                    };
                    *known = at_ms.max(known).to_owned();
                }
                Saying::Marks { purges, at_ms, .. } => (self.number, self.at_ms) = (*purges, *at_ms),
            }
        }
    }

    pub fn calls(&mut self, (sayings, place): (Vec<Saying>, u64)) {
        self.take(&sayings);
        self.place = place;
    }

    pub fn follows(&mut self, board: &Board) {
        let new: Vec<Saying> = board.after(self.place).expect("it is not behind").cloned().collect();
        self.take(&new);
        self.place = board.place();
    }

    pub fn had(&self, keeps_ms: u64) -> AppliedPurges {
        AppliedPurges { number: self.number, at_ms: self.at_ms, retention_ms: keeps_ms }
    }
}
