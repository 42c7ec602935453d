//! A call to a service: one line of JSON out, lines of JSON back.
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const CONNECT: Duration = Duration::from_secs(2);
/// Times that all members are asked, and the pause between two of them.
const ROUNDS: usize = 8;
const PAUSE: Duration = Duration::from_millis(300);

/// A call under way.
pub struct Call {
    service: String,
    lines: BufReader<TcpStream>,
    /// The first line, read to see whether this member speaks for its group.
    first: Option<String>,
}

impl Call {
    /// `service` is named in what goes wrong.
    pub fn begin(service: &str, address: SocketAddr, what: &impl Serialize) -> Result<Call, String> {
        let away = |why: std::io::Error| format!("{service} {address}: {why}");
        let stream = TcpStream::connect_timeout(&address, CONNECT).map_err(away)?;
        let mut line = serde_json::to_vec(what).map_err(|why| why.to_string())?;
        line.push(b'\n');
        (&stream).write_all(&line).map_err(away)?;
        Ok(Call { service: service.into(), lines: BufReader::new(stream), first: None })
    }

    /// The same to a service that is a group: one member after another, until one speaks for it. While a new one is being
    /// chosen none does, for a moment.
    pub fn find(service: &str, members: &[SocketAddr], what: &impl Serialize) -> Result<Call, String> {
        let mut why = format!("no member of the {service} speaks for it");
        for round in 0..ROUNDS {
            let mut due: Vec<SocketAddr> = members.to_vec();
            let (mut tried, mut heard) = (Vec::new(), false);
            while !due.is_empty() {
                let at = due.remove(0);
                if tried.contains(&at) {
                    continue;
                }
                tried.push(at);
                let mut call = match Call::begin(service, at, what) {
                    Ok(call) => call,
                    Err(away) => {
                        why = away;
                        continue;
                    }
                };
                let line = match call.line() {
                    Ok(line) => line,
                    Err(away) => {
                        why = away;
                        continue;
                    }
                };
                match elsewhere(&line) {
                    Some(serves) => {
                        heard = true;
                        due.splice(0..0, serves.and_then(|text| text.parse().ok())).for_each(drop);
                    }
                    None => {
                        call.first = Some(line);
                        return Ok(call);
                    }
                }
            }
            // Nobody is there at all: to wait for a choice would be to wait for nothing.
            if !heard || round + 1 == ROUNDS {
                break;
            }
            std::thread::sleep(PAUSE);
        }
        Err(why)
    }

    fn line(&mut self) -> Result<String, String> {
        if let Some(first) = self.first.take() {
            return Ok(first);
        }
        let mut line = String::new();
        let read = self.lines.read_line(&mut line).map_err(|why| format!("{}: {why}", self.service))?;
        if read == 0 {
            return Err(format!("{} went away", self.service));
        }
        Ok(line)
    }

    pub fn next<T: DeserializeOwned>(&mut self) -> Result<T, String> {
        let line = self.line()?;
        serde_json::from_str(&line).map_err(|why| format!("{}: an unreadable answer: {why}", self.service))
    }
}

/// Some: it is another member that speaks, there if that is known.
fn elsewhere(line: &str) -> Option<Option<String>> {
    let json: serde_json::Value = serde_json::from_str(line).ok()?;
    let elsewhere = json.get("elsewhere")?;
    let serves = elsewhere.as_str().or_else(|| elsewhere.get("serves").and_then(|s| s.as_str()));
    Some(serves.map(str::to_string))
}
