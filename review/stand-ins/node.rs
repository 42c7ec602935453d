//! Both ends of the node protocol, as the operators' page on the protocol has it: RESP arrays of bulk strings.
use crate::common::{Record, listener, pause, unix_ms};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub fn encode(items: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", items.len()).into_bytes();
    for item in items {
        bytes.extend(format!("${}\r\n", item.len()).as_bytes());
        bytes.extend_from_slice(item);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// The next message; none once the other side has closed or nothing came in time.
pub fn receive(reader: &mut BufReader<TcpStream>) -> Option<Vec<Vec<u8>>> {
    let number = |reader: &mut BufReader<TcpStream>, sign: char| -> Option<usize> {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
        line.trim_end().strip_prefix(sign)?.parse().ok()
    };
    let items = number(reader, '*')?;
    let mut message = Vec::new();
    for _ in 0..items {
        let length = number(reader, '$')?;
        let mut item = vec![0; length + 2];
        reader.read_exact(&mut item).ok()?;
        item.truncate(length);
        message.push(item);
    }
    Some(message)
}

pub fn text(item: &[u8]) -> String {
    String::from_utf8_lossy(item).into_owned()
}

pub fn fields(list: &[u8]) -> HashMap<String, String> {
    let list = text(list);
    let each = list.split(',').filter_map(|field| field.split_once('='));
    each.map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

/// What a node answers.
#[derive(Clone, Debug)]
pub struct Reply {
    pub word: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn dated(&self) -> u64 {
        self.fields.get("dated").and_then(|dated| dated.parse().ok()).unwrap_or(0)
    }
}

/// Serves a listener: one thread for each connection; `reply` gives the answer's word, fields and body.
fn serve(
    listener: TcpListener,
    reply: impl Fn(&[Vec<u8>]) -> (String, String, Vec<u8>) + Send + Sync + 'static,
) {
    let reply = Arc::new(reply);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let reply = reply.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(writer) = stream.try_clone() else { return };
                let writer = Arc::new(Mutex::new(writer));
                let mut reader = BufReader::new(stream);
                while let Some(message) = receive(&mut reader) {
                    let word = message.first().map(|word| text(word)).unwrap_or_default();
                    if word == "health" || word == "gauges" {
                        let tag = message.get(1).cloned().unwrap_or_default();
                        let answer = encode(&[&tag, b"READY", b"-", b""]);
                        let _ = writer.lock().expect("no holder panics").write_all(&answer);
                        continue;
                    }
                    if word != "serve" || message.len() != 4 {
                        // A cancel is not answered; whoever is under way answers all the same.
                        continue;
                    }
                    let (reply, writer) = (reply.clone(), writer.clone());
                    std::thread::spawn(move || {
                        let (word, fields, body) = reply(&message);
                        let answer = encode(&[&message[1], word.as_bytes(), fields.as_bytes(), &body]);
                        let _ = writer.lock().expect("no holder panics").write_all(&answer);
                    });
                }
            });
        }
    });
}

/// The archive: it has every object, in the version that is current, and says when it gave the copy out.
#[derive(Clone)]
pub struct Archive {
    pub address: SocketAddr,
    version: Arc<AtomicU64>,
}

impl Archive {
    pub fn open(body_bytes: usize, answers_in_ms: u64, record: Option<Record>) -> Archive {
        let listener = listener();
        let address = listener.local_addr().expect("it is bound");
        let version = Arc::new(AtomicU64::new(1));
        let current = version.clone();
        serve(listener, move |message| {
            let asked = fields(&message[2]);
            let object = asked.get("obj").cloned().unwrap_or_default();
            let (version, dated) = (current.load(Ordering::SeqCst), unix_ms());
            pause(answers_in_ms);
            if let Some(record) = &record {
                record.note(&format!(
                    "archive: object {object} fetched, version {version}, given out at {dated}"
                ));
            }
            let mut body = format!("version={version},given={dated},object={object};").into_bytes();
            body.resize(body_bytes.max(body.len()), b'.');
            ("ACK".into(), format!("res=HIT,digest=d{object}v{version},dated={dated}"), body)
        });
        Archive { address, version }
    }

    /// From now on every object is in its next version: they were corrected.
    pub fn correct(&self) {
        self.version.fetch_add(1, Ordering::SeqCst);
    }
}

/// What the archive wrote into a body: the version, and when it gave it out.
pub fn of_body(body: &[u8]) -> Option<(u64, u64)> {
    let head = text(&body[..body.len().min(200)]);
    let head = head.split(';').next()?;
    let all = fields(head.as_bytes());
    Some((all.get("version")?.parse().ok()?, all.get("given")?.parse().ok()?))
}

/// A cache of the platform that keeps nothing: each pull is filled from the parent that it names.
pub struct Edge {
    pub address: SocketAddr,
}

impl Edge {
    pub fn open(sources: HashMap<String, SocketAddr>, record: Record) -> Edge {
        let listener = listener();
        let address = listener.local_addr().expect("it is bound");
        let ids = AtomicU64::new(1);
        serve(listener, move |message| {
            let asked = fields(&message[2]);
            let lost = |why: &str| ("EIO".to_string(), format!("res={why}"), Vec::new());
            let Some(parent) = asked.get("parent") else {
                return ("NOENT".into(), "-".into(), Vec::new());
            };
            let Some(address) = sources.get(parent) else { return lost("UP_DOWN") };
            let id = format!("{:016x}", ids.fetch_add(1, Ordering::SeqCst));
            // To a parent a miss is a fill: it names the archive as its source. Age and switches go on as they came.
            let mut list: Vec<String> = ["kind", "obj", "seg", "ms", "accept"]
                .iter()
                .filter_map(|name| Some(format!("{name}={}", asked.get(*name)?)))
                .collect();
            list.push("parent=archive".into());
            list.push("shelf=1".into());
            let hints = asked.get("hints").cloned().unwrap_or_default();
            let hints: Vec<&str> =
                hints.split('+').filter(|hint| *hint == "peek" || *hint == "pass").collect();
            if !hints.is_empty() {
                list.push(format!("hints={}", hints.join("+")));
            }
            let within = asked.get("ms").and_then(|ms| ms.parse().ok()).unwrap_or(3_000);
            let reply = Caller::to(*address).and_then(|mut caller| caller.ask(&id, &list.join(","), within));
            let object = asked.get("obj").cloned().unwrap_or_default();
            let accept = asked.get("accept").cloned().unwrap_or("any age".into());
            match reply {
                Some(reply) if reply.word == "ACK" => {
                    let (dated, digest) =
                        (reply.dated(), reply.fields.get("digest").cloned().unwrap_or_default());
                    record.note(&format!(
                        "cache: object {object} (accept {accept}) filled from {parent}, a copy given out at {dated}"
                    ));
                    ("ACK".into(), format!("res=MISS,digest={digest},dated={dated}"), reply.body)
                }
                Some(reply) => {
                    record.note(&format!("cache: object {object} from {parent}: {}", reply.word));
                    if reply.word == "AGAIN" { lost("UP_BUSY") } else { lost("UP_DOWN") }
                }
                None => {
                    record.note(&format!("cache: object {object} from {parent}: no answer"));
                    lost("UP_DOWN")
                }
            }
        });
        Edge { address }
    }
}

/// One connection to a node, for one pull after another.
pub struct Caller {
    reader: BufReader<TcpStream>,
}

impl Caller {
    pub fn to(address: SocketAddr) -> Option<Caller> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(1_000)).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Caller { reader: BufReader::new(stream) })
    }

    /// Asks for an object; the answer under that id, if it comes in time.
    pub fn ask(&mut self, id: &str, list: &str, within_ms: u64) -> Option<Reply> {
        let stream = self.reader.get_mut();
        stream.set_read_timeout(Some(Duration::from_millis(within_ms.max(1)))).ok()?;
        stream.write_all(&encode(&[b"serve", id.as_bytes(), list.as_bytes(), b""])).ok()?;
        loop {
            let message = receive(&mut self.reader)?;
            if message.len() == 4 && message[0] == id.as_bytes() {
                let [_, word, list, body] = <[Vec<u8>; 4]>::try_from(message).ok()?;
                return Some(Reply { word: text(&word), fields: fields(&list), body });
            }
        }
    }
}
