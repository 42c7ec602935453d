//! A client of a router, and the router's configuration.
use crate::common::Play;
use crate::node::{encode, receive, text};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// What a client hears: the word, and the body.
pub struct Heard {
    pub word: String,
    pub body: Vec<u8>,
}

pub struct Client {
    reader: BufReader<TcpStream>,
    tag: u64,
}

impl Client {
    pub fn to(router: SocketAddr) -> Result<Client, String> {
        let stream =
            TcpStream::connect_timeout(&router, Duration::from_secs(1)).map_err(|why| why.to_string())?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
        Ok(Client { reader: BufReader::new(stream), tag: 0 })
    }

    pub fn is_ready(&mut self) -> bool {
        self.tag += 1;
        let asked = encode(&[b"STATUS", self.tag.to_string().as_bytes(), b""]);
        let sent = self.reader.get_mut().write_all(&asked).is_ok();
        let answer = sent.then(|| receive(&mut self.reader)).flatten();
        answer.is_some_and(|answer| answer.get(1).is_some_and(|word| word == b"GREEN"))
    }

    /// Asks once, and waits for the answer.
    pub fn ask(&mut self, class: &str, id: u64, object: u64, waits_ms: u64) -> Option<Heard> {
        self.tag += 1;
        let list = format!("i={id:016x},d={waits_ms},o={object:016x},chunk=0,tag={}", object % 256);
        let asked =
            encode(&[b"ASK", self.tag.to_string().as_bytes(), class.as_bytes(), list.as_bytes(), b""]);
        self.reader.get_mut().write_all(&asked).ok()?;
        loop {
            let answer = receive(&mut self.reader)?;
            if answer.len() >= 2 && answer[0] == self.tag.to_string().as_bytes() {
                let body = answer.get(3).cloned().unwrap_or_default();
                return Some(Heard { word: text(&answer[1]), body });
            }
        }
    }
}

/// The configuration of a router of a small deployment: one zone of caches, hubs as parents, one archive.
pub fn config(play: &Play, name: &str, listen: SocketAddr, feed: SocketAddr) -> PathBuf {
    let settings = r#"{
        "Allowed": {"Cancel": true, "ConnectTimeout": 400000, "IdleClose": 30000000, "MaxAttempts": 6,
            "MaxRetryAfter": 500000, "MostHeld": 20000, "RetryAfter": true, "StreamsPerConn": 100},
        "Balancers": 1,
        "Classes": [{"Name": "case-media", "Aim": 400000, "AimStretch": 1.6, "HardLimit": 5000000, "Idempotency": "repeatable", "Worth": 2.0},
            {"Name": "case-pages", "Aim": 250000, "AimStretch": 2.0, "HardLimit": 3000000, "Idempotency": "repeatable", "Worth": 1.0}],
        "FamilyInfo": {"MidKind": 1, "StoreKind": 2, "CountByZone": [0, 1], "FlowKbPerS": 8000.0,
            "ZoneLinkKbPerS": [0.0, 800000.0], "GoodFor": [0, 20000000], "GraceFor": [0, 10000000], "ClassWrite": [false, false],
            "ClassParts": [false, false], "PurgeSettles": 6000000, "HeedWithin": 1000000, "ParentColdFrom": 0.5,
            "ParentRamp": 4000000, "ParentBreaksAt": 4.0},
        "Localities": ["hub", "here"], "Shapes": ["std", "parent", "origin"],
        "Safety": {"Cold": 4000000, "ColdFrom": 0.5, "Fall": 2000000, "FallMultiple": 4.0}, "Zone": 1}"#;
    let text = format!(
        r#"{{"name": "{name}", "listen": "{listen}", "seed": "8c1f30d27a5be964",
        "limits": {{"cores": 1.0, "memory_mb": 96, "sockets": 512}}, "feed": "{feed}",
        "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000, "known": {{"n": 0, "events": []}},
        "settings": {settings}}}"#
    );
    play.file(&format!("{name}.json"), &text)
}
