//! Both ends of the node protocol, blocking.
use bytes::Bytes;
use harestage_wire::Packet;
use harestage_wire::fields::HexId;
use harestage_wire::node::{self, Answer, CopyTag, IncomingRequest, OutgoingAnswer, Request, ToNode};
use harestage_wire::resp::{Bounds, Decoder, LINE_END};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const BOUNDS: Bounds = Bounds { max_items: 8, max_item_bytes: 240_000, initial_item_capacity: 4_096 };

pub(crate) fn send(mut stream: &TcpStream, packet: &Packet) -> std::io::Result<()> {
    stream.write_all(&[&packet.head, &packet.body, LINE_END].concat())
}

/// The next message; none once the other side has closed, or sent what can't be read.
pub(crate) fn receive(mut stream: &TcpStream, decoder: &mut Decoder) -> Option<Vec<Bytes>> {
    loop {
        if let Some(items) = decoder.next_message().ok()? {
            return Some(items);
        }
        let bytes = stream.read(decoder.read_buffer()).unwrap_or(0);
        if bytes == 0 {
            return None;
        }
        decoder.commit(bytes);
    }
}

pub(crate) fn decoder() -> Decoder {
    Decoder::new(BOUNDS, 16 << 10)
}

/// Serves the node protocol on a listener: `reply` gets each pull on a thread of its own, and may take its time.
pub(crate) fn serve(
    listener: TcpListener,
    reply: impl Fn(IncomingRequest) -> Option<OutgoingAnswer> + Send + Sync + 'static,
) {
    let reply = Arc::new(reply);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let reply = reply.clone();
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || {
                let mut decoder = decoder();
                let writer = Arc::new(Mutex::new(stream.try_clone().expect("a socket can be cloned")));
                while let Some(items) = receive(&stream, &mut decoder) {
                    let Some(ToNode::Serve(asked)) = node::decode_message(&items) else { continue };
                    let (reply, writer) = (reply.clone(), writer.clone());
                    std::thread::spawn(move || {
                        if let Some(given) = reply(*asked) {
                            let stream = writer.lock().expect("no writer panics");
                            let _ = send(&stream, &node::encode_answer(&given));
                        }
                    });
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

/// What came back on a pull.
#[derive(Clone, Debug)]
pub struct Reply {
    pub answer: Answer,
    pub copy: Option<CopyTag>,
}

/// A usual pull of a part, as an edge cache sends it to a hub.
pub fn pull(id: u64, content: &str, object: u64, waits_ms: u64) -> Request<'_> {
    Request {
        id: HexId::from_u64(id),
        content,
        object: HexId::from_u64(object),
        part: 0,
        timeout_ms: waits_ms,
        source: Some("archive"),
        rank: 1,
        max_age_ms: None,
        join: true,
        only_if_cached: false,
        no_store: false,
        stale_while_revalidate: false,
        dedup_key: None,
        known_digest: None,
        body: Bytes::new(),
        route: None,
        mark: None,
    }
}

/// One connection to a node, on which pulls may be open beside each other.
pub struct Caller {
    stream: TcpStream,
    replies: Receiver<Reply>,
}

impl Caller {
    pub fn to(address: SocketAddr) -> std::io::Result<Caller> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
        stream.set_nodelay(true)?;
        let (tell, replies) = channel();
        let reading = stream.try_clone()?;
        std::thread::spawn(move || {
            let mut decoder = decoder();
            while let Some(items) = receive(&reading, &mut decoder) {
                let Some(answer) = node::decode_answer(&items) else { break };
                if tell.send(Reply { answer, copy: node::decode_copy_tag(&items) }).is_err() {
                    break;
                }
            }
        });
        Ok(Caller { stream, replies })
    }

    pub fn send(&self, request: &Request) -> std::io::Result<()> {
        send(&self.stream, &node::encode_request(request))
    }

    pub fn cancel(&self, id: u64) -> std::io::Result<()> {
        send(&self.stream, &node::encode_cancel(HexId::from_u64(id)))
    }

    pub fn send_raw(&self, bytes: &[u8]) -> std::io::Result<()> {
        (&self.stream).write_all(bytes)
    }

    /// The next answer on this connection; none when the time is up or the connection has ended.
    pub fn next(&self, within: Duration) -> Option<Reply> {
        self.replies.recv_timeout(within).ok()
    }

    /// Whether the other side has ended the connection, once all that came is taken.
    pub fn is_ended(&self, within: Duration) -> bool {
        let ended = self.replies.recv_timeout(within);
        matches!(ended, Err(std::sync::mpsc::RecvTimeoutError::Disconnected))
    }

    pub fn ask(&self, request: &Request, within: Duration) -> Option<Reply> {
        self.send(request).ok()?;
        self.next(within)
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}
