//! The sockets: clients, nodes and the control feed. What comes in goes to the routing task by its one
//! queue, and what goes out waits in a queue for each connection. Nothing here decides.
pub mod client;
pub mod feed;
pub mod node;

use crate::routing::nodes::{Contact, NodeNo};
use crate::routing::{ClientNo, Outward, PullNo};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use harestage_wire::client::ToClient;
use harestage_wire::resp::{Decoder, LINE_END};
use harestage_wire::{Packet, fields::Hex};
use std::io::{self, IoSlice};
use std::net::TcpStream;
use std::rc::Rc;

pub type Executor = Rc<LocalExecutor<'static>>;
pub type Stream = Async<TcpStream>;

/// The reading side of a connection.
struct Source<'a> {
    stream: &'a Stream,
    /// The last read filled its room, so that there may be more.
    more: bool,
}

impl Source<'_> {
    fn new(stream: &Stream) -> Source<'_> {
        Source { stream, more: true }
    }

    /// Waits first where nothing is to be expected: a try that finds nothing costs as much as one that reads.
    async fn read_into(&mut self, decoder: &mut Decoder) -> io::Result<usize> {
        if !self.more {
            self.stream.readable().await?;
        }
        let room = decoder.room();
        let (bytes, most) = (self.stream.read(room).await?, room.len());
        self.more = bytes == most;
        decoder.filled(bytes);
        Ok(bytes)
    }
}

/// Writes packets whole, as many as it can with one call to the system; `progress` hears of each piece that
/// the socket takes.
async fn write_packets(
    mut to: &Stream,
    packets: &[Packet],
    mut progress: impl FnMut(usize),
) -> io::Result<()> {
    let parts = packets.iter().flat_map(|p| [&p.head[..], &p.body[..], LINE_END]);
    let mut parts: Vec<IoSlice> = parts.map(IoSlice::new).collect();
    let mut rest = &mut parts[..];
    while !rest.is_empty() {
        let wrote = to.write_vectored(rest).await?;
        if wrote == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        IoSlice::advance_slices(&mut rest, wrote);
        progress(wrote);
    }
    Ok(())
}

/// Both sides of a router, as the routing task sees them.
pub struct Outside {
    pub clients: Rc<client::Clients>,
    pub nodes: node::Links,
}

impl Outward for Outside {
    fn answer(&mut self, client: ClientNo, tag: u64, answer: ToClient) {
        self.clients.answer(client, tag, &answer);
    }
    fn pull(&mut self, node: NodeNo, contact: &Contact, pull: PullNo, id: Hex, packet: Packet) -> bool {
        self.nodes.pull(node, contact, pull, id, packet)
    }
    fn cancel(&mut self, node: NodeNo, pull: PullNo) -> bool {
        self.nodes.cancel(node, pull)
    }
    fn take_back(&mut self, node: NodeNo, pull: PullNo) -> bool {
        self.nodes.take_back(node, pull)
    }
    fn renew(&mut self, node: NodeNo) {
        self.nodes.renew(node);
    }
    fn forget(&mut self, node: NodeNo) {
        self.nodes.forget(node);
    }
}
