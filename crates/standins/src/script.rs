//! Stand-ins by a script in JSON: which there are, and what happens to their links when.
use crate::{Archive, ArchiveScript, CrowdPlace, Edge, Fault, Front, LiarPlace, Link, Machine, crowd, say};
use serde::Deserialize;
use serde_json::json;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Script {
    pub archives: Vec<ArchivePlace>,
    pub edges: Vec<EdgePlace>,
    pub links: Vec<LinkPlace>,
    pub crowds: Vec<CrowdPlace>,
    pub fronts: Vec<FrontPlace>,
    pub liars: Vec<LiarPlace>,
    /// How long it all lasts; absent: ten minutes.
    pub lasts_ms: Option<u64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ArchivePlace {
    pub listen: SocketAddr,
    #[serde(default)]
    pub behaves: ArchiveScript,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EdgePlace {
    pub listen: SocketAddr,
    /// Where the sources are that pulls may name.
    pub sources: HashMap<String, SocketAddr>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkPlace {
    pub listen: SocketAddr,
    pub to: SocketAddr,
    #[serde(default)]
    pub faults: Vec<FaultAt>,
}

/// The machine that a hub runs on: it starts with the script, cold.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontPlace {
    pub listen: SocketAddr,
    pub to: SocketAddr,
    pub capacity: f64,
    /// 1: warm from its start.
    pub cold_from: f64,
    pub cold_ms: u64,
    pub falls_at: f64,
    pub falls_within_ms: u64,
}

impl FrontPlace {
    fn machine(&self) -> Machine {
        Machine {
            capacity: self.capacity,
            started: Instant::now(),
            cold_from: self.cold_from,
            cold: Duration::from_millis(self.cold_ms),
            falls_at: self.falls_at,
            falls_within: Duration::from_millis(self.falls_within_ms),
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultAt {
    pub at_ms: u64,
    pub fault: Fault,
}

/// Why a script can't be played; the text names key or address.
#[derive(Debug)]
pub enum ScriptError {
    Malformed(serde_json::Error),
    /// Stand-ins stay on loopback.
    NotLoopback(SocketAddr),
    NotBound(SocketAddr, std::io::Error),
}

impl std::fmt::Display for ScriptError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::Malformed(why) => write!(f, "{why}"),
            Self::NotLoopback(address) => write!(f, "{address} is not on loopback"),
            Self::NotBound(address, why) => write!(f, "{address}: {why}"),
        }
    }
}

impl Script {
    pub fn read(text: &[u8]) -> Result<Script, ScriptError> {
        serde_json::from_slice(text).map_err(ScriptError::Malformed)
    }

    /// Plays it to its end, or until `stop`.
    pub fn play(&self, stop: &Arc<AtomicBool>) -> Result<(), ScriptError> {
        let archives = self.archives.iter().map(|place| Ok(Archive::on(bind(place.listen)?, place.behaves)));
        let archives: Vec<Archive> = archives.collect::<Result<_, ScriptError>>()?;
        let mut edges = Vec::new();
        for place in &self.edges {
            let edge = Edge::on(bind(place.listen)?);
            edge.sources.lock().expect("no holder panics").extend(place.sources.clone());
            edges.push(edge);
        }
        let mut due = Vec::new();
        for place in &self.links {
            let link = Link::on(bind(place.listen)?, place.to);
            due.extend(place.faults.iter().map(|fault| (fault.at_ms, link.clone(), fault.fault)));
        }
        due.sort_by_key(|(at, _, _)| *at);
        let fronts =
            self.fronts.iter().map(|place| Ok(Front::on(bind(place.listen)?, place.to, place.machine())));
        let fronts: Vec<Front> = fronts.collect::<Result<_, ScriptError>>()?;
        let crowds = self.crowds.iter().cloned().map(|place| {
            let stop = stop.clone();
            std::thread::spawn(move || crowd::play(place, &stop))
        });
        let crowds: Vec<_> = crowds.collect();
        let liars: Vec<_> = self
            .liars
            .iter()
            .cloned()
            .map(|place| {
                let stop = stop.clone();
                std::thread::spawn(move || crate::liar::play(&place, &stop))
            })
            .collect();
        say("ready", json!({}));
        let (begun, lasts) = (Instant::now(), Duration::from_millis(self.lasts_ms.unwrap_or(600_000)));
        let mut told = vec![0; archives.len()];
        while begun.elapsed() < lasts && !stop.load(Ordering::Relaxed) {
            while due.first().is_some_and(|(at, _, _)| Duration::from_millis(*at) <= begun.elapsed()) {
                let (_, link, fault) = due.remove(0);
                link.set(fault);
            }
            archives.iter().zip(&mut told).for_each(|(archive, told)| tell(archive, told));
            for ((by, stamp), pulls) in edges.iter().flat_map(Edge::take_acts) {
                say("acts", json!({"by": by, "stamp": stamp, "pulls": pulls}));
            }
            for front in &fronts {
                say("front", json!({"share": front.take_lately(), "fell": front.has_fallen()}));
            }
            std::thread::sleep(TELLS_EVERY);
        }
        stop.store(true, Ordering::Relaxed);
        crowds.into_iter().chain(liars).for_each(|player| drop(player.join()));
        for ((by, stamp), downloads) in edges.iter().flat_map(Edge::downloads) {
            say("acted", json!({"by": by, "stamp": stamp, "downloads": downloads}));
        }
        for (archive, told) in archives.iter().zip(&mut told) {
            tell(archive, told);
            let (ran, doubled) = archive.filings();
            let fields = json!({"fetches": archive.fetches(), "stops": archive.stops(),
                "peak_share": archive.peak_share(begun), "filings": ran, "filings_doubled": doubled});
            say("archive ended", fields);
        }
        Ok(())
    }
}

/// How often an archive says what it was asked for.
const TELLS_EVERY: Duration = Duration::from_millis(250);

fn tell(archive: &Archive, told: &mut usize) {
    let fetches = archive.fetches();
    let (now, stops) = (fetches - *told, archive.stops());
    *told = fetches;
    say("archive", json!({"fetches": now, "stops": stops}));
}

fn bind(address: SocketAddr) -> Result<TcpListener, ScriptError> {
    if !address.ip().is_loopback() {
        return Err(ScriptError::NotLoopback(address));
    }
    TcpListener::bind(address).map_err(|why| ScriptError::NotBound(address, why))
}
