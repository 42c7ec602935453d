//! Sockets of clients, nodes and the control feed. Inputs go to the routing task through its queues, and
//! output waits in a queue per connection. No decisions are made here.
pub mod answer_memory;
pub mod client;
pub mod feed;
pub mod node;

use crate::routing::nodes::{NodeEntry, NodeId};
use crate::routing::{ClientId, PullId, Transport};
use harestage_sockets::{Executor, SocketReader, Stream, write_packets};
use harestage_wire::client::ToClient;
use harestage_wire::{Packet, fields::HexId};
use std::rc::Rc;

/// The router's connections to clients and nodes, as the routing task uses them.
pub struct SocketTransport {
    pub clients: Rc<client::Clients>,
    pub nodes: node::NodeConnections,
}

impl Transport for SocketTransport {
    fn answer(&mut self, client: ClientId, tag: u64, answer: ToClient) {
        self.clients.answer(client, tag, &answer);
    }
    fn send_pull(
        &mut self,
        node: NodeId,
        contact: &NodeEntry,
        pull: PullId,
        id: HexId,
        packet: Packet,
    ) -> bool {
        self.nodes.send_pull(node, contact, pull, id, packet)
    }
    fn cancel_pull(&mut self, node: NodeId, pull: PullId) -> bool {
        self.nodes.cancel_pull(node, pull)
    }
    fn remove_queued(&mut self, node: NodeId, pull: PullId) -> bool {
        self.nodes.remove_queued(node, pull)
    }
    fn is_cancel_pending(&self, node: NodeId, pull: PullId) -> bool {
        self.nodes.is_cancel_pending(node, pull)
    }
    fn replace_connections(&mut self, node: NodeId) {
        self.nodes.replace_connections(node);
    }
    fn forget_node(&mut self, node: NodeId) {
        self.nodes.forget_node(node);
    }
}
