//! Codecs of all messages on sockets: each message is decoded once into a typed value and encoded once. This
//! crate does no input or output, and no other crate knows the words and fields of the protocols.
pub mod client;
pub mod feed;
pub mod fields;
pub mod memory;
pub mod node;
pub mod peer;
pub mod resp;

use bytes::Bytes;

/// An encoded message. Its body is shared with its other holders and never copied.
/// Everything before the body.
#[derive(Clone, Debug, PartialEq)]
pub struct Packet {
    pub head: Bytes,
    pub body: Bytes,
}

impl Packet {
    /// Bytes on the wire, with the line end after the body.
    pub fn len(&self) -> usize {
        self.head.len() + self.body.len() + resp::LINE_END.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
