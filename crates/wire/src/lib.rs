//! What is spoken on the sockets: each message is decoded once into a small typed value and encoded once.
//! Nothing here does input or output. The wire's own words stand in this layer only.
pub mod client;
pub mod feed;
pub mod fields;
pub mod node;
pub mod peer;
pub mod resp;

use bytes::Bytes;

/// A message ready to be written: its body is shared with whoever else holds it, never copied.
#[derive(Clone, Debug, PartialEq)]
pub struct Packet {
    pub head: Bytes,
    pub body: Bytes,
}

impl Packet {
    pub fn len(&self) -> usize {
        self.head.len() + self.body.len() + resp::LINE_END.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
