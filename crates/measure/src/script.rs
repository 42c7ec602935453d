//! A control service that says what it is told to: hubs on versions that differ, or all on a new one at once.
use harestage_shape::archive_share::RateShare;
use harestage_shape::config::ShapeConfig;
use harestage_shape::control::{CycleReport, HubReport};
use harestage_shape::messages::{FromMember, ToMember, encode_line, parse_subscribe};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Instant;

type Shapes = Arc<Mutex<Vec<(String, TcpStream)>>>;

/// Loops that hubs have reported, and when.
pub type Reported = Arc<Mutex<Vec<(Instant, String, CycleReport)>>>;

#[derive(Clone)]
pub struct Script {
    pub address: SocketAddr,
    pub reported: Reported,
    members: Shapes,
    part: f64,
}

impl Script {
    /// Gives every hub that asks a part of so many fetches a second.
    pub fn open(part: f64) -> Script {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has room");
        let address = listener.local_addr().expect("it is bound");
        let script = Script { address, reported: Reported::default(), members: Shapes::default(), part };
        let serving = script.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let member = serving.clone();
                std::thread::spawn(move || member.serve(stream));
            }
        });
        script
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut lines = BufReader::new(stream.try_clone().ok()?).lines().map_while(Result::ok);
        let first = lines.next()?;
        let (_, name) = parse_subscribe(&first)?;
        self.members.lock().expect("no holder panics").push((name.to_string(), stream.try_clone().ok()?));
        for (number, text) in lines.enumerate() {
            let FromMember::Report(report) = serde_json::from_str(&text).ok()?;
            let HubReport { wait_cycles: loops, .. } = report;
            let now = Instant::now();
            let mut reported = self.reported.lock().expect("no holder panics");
            reported.extend(loops.into_iter().map(|seen| (now, name.to_string(), seen)));
            drop(reported);
            let part = RateShare { rate: self.part, floor: self.part, number: number as u64 + 1 };
            (&stream).write_all(&encode_line(&ToMember::Share(part))).ok()?;
        }
        Some(())
    }

    /// Members that have come.
    pub fn members(&self) -> usize {
        self.members.lock().expect("no holder panics").len()
    }

    /// Tells each member the shape that is its own.
    pub fn tell(&self, shape_of: impl Fn(&str) -> ShapeConfig) {
        for (name, stream) in self.members.lock().expect("no holder panics").iter() {
            let version = ToMember::Version { term: 1, shape: Box::new(shape_of(name)), plans: Vec::new() };
            let mut stream: &TcpStream = stream;
            let _ = stream.write_all(&encode_line(&version));
        }
    }
}
