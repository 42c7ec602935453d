//! Real hubs among the hollow members: processes of the program that keep copies of a stand-in archive, asked after each
//! report whether what they give is younger than the purge.
use super::fleet::Fleet;
use crate::purge::ask;
use crate::rig::{archive_form, free_address, hub_form, unix_ms};
use harestage_purge::messages::{Request, Response};
use harestage_purge::scope::Scope;
use harestage_shape::config::ShapeConfig;
use harestage_standins::{Archive, ArchiveScript, Caller, pull};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Fills a second of hubs and archive: far more than is asked for.
const CAPACITY: f64 = 1e5;
/// Objects that are asked for, again and again.
const OBJECTS: u64 = 64;
/// A copy is waited for as long, in milliseconds.
const WAITS_MS: u64 = 3_000;

/// What was found.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Looked {
    /// Reports after which all hubs were asked.
    pub reports: usize,
    /// Copies that were given out after the report, were older than the purge, and came from a hub that was not fenced.
    pub older: usize,
    /// Copies that were looked at.
    pub copies: usize,
}

pub struct Hubs {
    names: Vec<String>,
    callers: Vec<Caller>,
    /// Copies are filled from it for as long as this lives.
    _archive: Archive,
    asked: u64,
}

impl Hubs {
    /// Starts so many hubs in the fleet, one a site as far as there are sites, and waits until each gives copies.
    pub fn start(fleet: &mut Fleet, many: usize) -> Result<Hubs, String> {
        let script = ArchiveScript { capacity: CAPACITY, answers_in_ms: 2, ..ArchiveScript::default() };
        let archive = Archive::open(script);
        let addresses: Vec<SocketAddr> = (0..many).map(|_| free_address()).collect();
        let names: Vec<String> = (0..many).map(|n| format!("real-{n}")).collect();
        let hubs = names.iter().zip(&addresses).map(|(name, at)| hub_form(name, *at, CAPACITY, 0));
        let shape = ShapeConfig {
            version: 1,
            archive: archive_form(&archive, CAPACITY),
            hubs: hubs.collect(),
            branches: Vec::new(),
            links: Vec::new(),
        };
        for (n, (name, at)) in names.iter().zip(&addresses).enumerate() {
            let services: Vec<String> = fleet.services_at(n).iter().map(SocketAddr::to_string).collect();
            let file = json!({"name": name, "listen": at.to_string(), "purge_services": services,
                "memory_mb": 64, "contents": [{"name": "clip", "fresh_ms": 0}], "shape": shape});
            fleet.start_hub(name, &file.to_string())?;
        }
        let mut hubs = Hubs { names, callers: Vec::new(), _archive: archive, asked: 0 };
        let until = std::time::Instant::now() + Duration::from_secs(20);
        while hubs.callers.len() < many && std::time::Instant::now() < until {
            std::thread::sleep(Duration::from_millis(50));
            hubs.callers = addresses.iter().filter_map(|at| Caller::to(*at).ok()).collect();
        }
        while std::time::Instant::now() < until {
            if (0..hubs.callers.len()).all(|hub| hubs.dated(hub, 0).is_some()) && hubs.callers.len() == many {
                return Ok(hubs);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("not all of {many} hubs gave copies in time"))
    }

    pub fn many(&self) -> usize {
        self.names.len()
    }

    /// When the copy that a hub gives was made; none: it gives none.
    fn dated(&mut self, hub: usize, object: u64) -> Option<u64> {
        self.asked += 1;
        let wanted = pull(self.asked, "clip", object, WAITS_MS);
        let reply = self.callers.get(hub)?.ask(&wanted, Duration::from_millis(WAITS_MS))?;
        Some(reply.copy?.dated_ms)
    }

    /// Purges one object after another for `lasts`, and asks every hub for it as soon as its report is there.
    pub fn look(&mut self, service: SocketAddr, lasts: Duration) -> Looked {
        let (mut looked, begun) = (Looked::default(), std::time::Instant::now());
        let mut n = 0;
        while begun.elapsed() < lasts {
            n += 1;
            let object = n % OBJECTS;
            for hub in 0..self.many() {
                self.dated(hub, object);
            }
            // The archive's dates are whole milliseconds.
            std::thread::sleep(Duration::from_millis(2));
            let asked_ms = unix_ms();
            let scope = Scope::Object(format!("{object:016x}"));
            let call = Request::Submit { scope, tenant: 77, key: format!("real-{n}") };
            let Some(Response::Accepted { number, .. }) = ask(service, &call) else { continue };
            let Some(Response::Report(report)) = ask(service, &Request::Wait { number }) else { continue };
            looked.reports += 1;
            let status = match ask(service, &Request::Status) {
                Some(Response::Status(status)) => status.members,
                _ => continue,
            };
            for hub in 0..self.many() {
                // What a fenced hub gives is taken by nobody, whether it was fenced for this purge or before it.
                let own = &self.names[hub];
                let fenced = report.fenced.contains(own) || status.iter().any(|m| m.fenced && m.name == *own);
                let Some(dated) = self.dated(hub, object) else { continue };
                looked.copies += 1;
                looked.older += usize::from(!fenced && dated < asked_ms);
            }
        }
        looked
    }
}
