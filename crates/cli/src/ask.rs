//! A call to a service: one line of JSON out, lines of JSON back.
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const CONNECT: Duration = Duration::from_secs(2);

/// A call under way.
pub struct Call {
    service: String,
    lines: BufReader<TcpStream>,
}

impl Call {
    /// `service` is named in what goes wrong.
    pub fn begin(service: &str, address: SocketAddr, what: &impl Serialize) -> Result<Call, String> {
        let away = |why: std::io::Error| format!("{service} {address}: {why}");
        let stream = TcpStream::connect_timeout(&address, CONNECT).map_err(away)?;
        let mut line = serde_json::to_vec(what).map_err(|why| why.to_string())?;
        line.push(b'\n');
        (&stream).write_all(&line).map_err(away)?;
        Ok(Call { service: service.into(), lines: BufReader::new(stream) })
    }

    pub fn next<T: DeserializeOwned>(&mut self) -> Result<T, String> {
        let mut line = String::new();
        let read = self.lines.read_line(&mut line).map_err(|why| format!("{}: {why}", self.service))?;
        if read == 0 {
            return Err(format!("{} went away", self.service));
        }
        serde_json::from_str(&line).map_err(|why| format!("{}: an unreadable answer: {why}", self.service))
    }
}
