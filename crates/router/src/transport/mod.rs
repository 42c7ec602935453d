//! The sockets: clients, nodes and the control feed. What comes in goes to the routing task by its one
//! queue, and what goes out waits in a queue for each connection. Nothing here decides.
pub mod client;
pub mod feed;
pub mod node;

use crate::routing::nodes::{Contact, NodeNo};
use crate::routing::{ClientNo, Outward, PullNo};
use harestage_sockets::{Executor, SocketReader, Stream, write_packets};
use harestage_wire::client::ToClient;
use harestage_wire::{Packet, fields::HexId};
use std::rc::Rc;

/// Both sides of a router, as the routing task sees them.
pub struct Outside {
    pub clients: Rc<client::Clients>,
    pub nodes: node::Links,
}

impl Outward for Outside {
    fn answer(&mut self, client: ClientNo, tag: u64, answer: ToClient) {
        self.clients.answer(client, tag, &answer);
    }
    fn pull(&mut self, node: NodeNo, contact: &Contact, pull: PullNo, id: HexId, packet: Packet) -> bool {
        self.nodes.pull(node, contact, pull, id, packet)
    }
    fn cancel(&mut self, node: NodeNo, pull: PullNo) -> bool {
        self.nodes.cancel(node, pull)
    }
    fn take_back(&mut self, node: NodeNo, pull: PullNo) -> bool {
        self.nodes.take_back(node, pull)
    }
    fn still_calls_back(&self, node: NodeNo, pull: PullNo) -> bool {
        self.nodes.still_calls_back(node, pull)
    }
    fn renew(&mut self, node: NodeNo) {
        self.nodes.renew(node);
    }
    fn forget(&mut self, node: NodeNo) {
        self.nodes.forget(node);
    }
}
