//! Addresses of one play: each process has a loopback host of its own to listen on, and another one on which the links
//! to it listen, so that nobody reaches it past them.
use crate::scenario::{Named, Scenario};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// The first port of every process; named ones follow.
const PORT: u16 = 7_000;
/// Second bytes of loopback addresses that plays may take.
const NETS: std::ops::Range<u8> = 130..250;

/// Holds a net of loopback addresses for as long as it lives, so that plays beside each other don't meet.
pub struct Places {
    net: u8,
    hosts: BTreeMap<String, (u8, u8)>,
    ports: BTreeMap<String, Vec<String>>,
    _held: TcpListener,
}

impl Places {
    pub fn take(scenario: &Scenario) -> Result<Places, String> {
        let first = (std::process::id() % u32::from(NETS.end - NETS.start)) as u8;
        let nets = (0..NETS.end - NETS.start).map(|n| NETS.start + (first + n) % (NETS.end - NETS.start));
        let held = nets.into_iter().find_map(|net| {
            let key = SocketAddr::from((Ipv4Addr::new(127, net, 0, 1), PORT));
            TcpListener::bind(key).ok().map(|held| (net, held))
        });
        let (net, held) = held.ok_or("no net of loopback addresses is free")?;
        // Two hosts for each process: 1.1 and 1.2, 1.3 and 1.4, and so on.
        let host = |n: usize| ((1 + n / 100) as u8, (1 + n % 100 * 2) as u8);
        let hosts = scenario.processes.iter().enumerate().map(|(n, p)| (p.name.clone(), host(n))).collect();
        let ports = scenario.processes.iter().map(|p| (p.name.clone(), p.ports.clone())).collect();
        Ok(Places { net, hosts, ports, _held: held })
    }

    fn address(&self, process: &str, port: Option<&str>, link: u8) -> Option<SocketAddr> {
        let (c, d) = self.hosts.get(process)?;
        let number = match port {
            None => 0,
            Some(port) => 1 + self.ports.get(process)?.iter().position(|p| p == port)?,
        };
        Some(SocketAddr::from((Ipv4Addr::new(127, self.net, *c, d + link), PORT + number as u16)))
    }

    /// Where a process listens itself.
    pub fn own(&self, process: &str, port: Option<&str>) -> Option<SocketAddr> {
        self.address(process, port, 0)
    }

    /// Where others reach it.
    pub fn link(&self, process: &str, port: Option<&str>) -> Option<SocketAddr> {
        self.address(process, port, 1)
    }

    /// Every link: whose it is, where it listens, and what it leads to.
    pub fn links(&self) -> Vec<(String, SocketAddr, SocketAddr)> {
        let of = |process: &String| {
            let named = self.ports[process].iter().map(|port| Some(port.as_str()));
            let ports: Vec<Option<&str>> = std::iter::once(None).chain(named).collect();
            let link = |port| Some((process.clone(), self.link(process, port)?, self.own(process, port)?));
            ports.into_iter().filter_map(link).collect::<Vec<_>>()
        };
        self.hosts.keys().flat_map(of).collect()
    }

    /// A text with its address written out.
    pub fn text(&self, text: &str) -> String {
        let named = Named::read(text);
        let address = named.and_then(|n| self.address(n.process, n.port, u8::from(!n.own)));
        address.map_or_else(|| text.to_string(), |address| address.to_string())
    }

    /// A file with all addresses written out, in keys of objects too.
    pub fn json(&self, value: &Value) -> Value {
        match value {
            Value::String(text) => Value::String(self.text(text)),
            Value::Array(list) => Value::Array(list.iter().map(|v| self.json(v)).collect()),
            Value::Object(map) => {
                Value::Object(map.iter().map(|(key, v)| (self.text(key), self.json(v))).collect())
            }
            other => other.clone(),
        }
    }
}
