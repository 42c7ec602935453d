//! Packets that wait to be written to one socket. Each is dropped as soon as it is written.
use crate::{Stream, call_without_waiting};
use harestage_wire::Packet;
use harestage_wire::resp::LINE_END;
use std::collections::VecDeque;
use std::io::{self, IoSlice, Write};

/// Memory of a queued packet beside its bytes.
const PACKET_OVERHEAD_BYTES: usize = 160;

/// Memory that a packet takes in a queue.
pub fn queued_bytes(packet: &Packet) -> usize {
    packet.len() + PACKET_OVERHEAD_BYTES
}

/// A queue of packets, the first of which may be written in part.
#[derive(Default)]
pub struct SendQueue {
    packets: VecDeque<Packet>,
    /// Bytes of the first packet that are written.
    written: usize,
}

impl SendQueue {
    /// Appends a packet.
    pub fn push(&mut self, packet: Packet) {
        self.packets.push_back(packet);
    }

    /// Number of packets that are not written whole.
    pub fn len(&self) -> usize {
        self.packets.len()
    }

    /// Whether everything is written.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }

    /// Drops all packets. What is written of the first one can't be completed any more.
    pub fn clear(&mut self) {
        *self = SendQueue::default();
    }

    /// Writes what the socket takes of the first `max_packets` packets in one system call. Returns the memory
    /// that this freed, by [`queued_bytes`], or `None` if the socket takes nothing at the moment.
    pub fn try_write(&mut self, stream: &Stream, max_packets: usize) -> io::Result<Option<usize>> {
        let packets = self.packets.iter().take(max_packets);
        let parts = packets.flat_map(|packet| [&packet.head[..], &packet.body[..], LINE_END]);
        let mut slices: Vec<IoSlice> = parts.map(IoSlice::new).collect();
        let mut unwritten = &mut slices[..];
        IoSlice::advance_slices(&mut unwritten, self.written);
        match call_without_waiting(|| stream.get_ref().write_vectored(unwritten))? {
            Some(0) => Err(io::ErrorKind::WriteZero.into()),
            Some(bytes) => Ok(Some(self.advance(bytes))),
            None => Ok(None),
        }
    }

    fn advance(&mut self, bytes: usize) -> usize {
        self.written += bytes;
        let mut freed = 0;
        while let Some(first) = self.packets.front().map(Packet::len).filter(|first| *first <= self.written) {
            self.written -= first;
            freed += self.packets.pop_front().as_ref().map_or(0, queued_bytes);
        }
        if self.packets.is_empty() {
            // A burst must not leave its capacity behind on each connection.
            self.packets = VecDeque::new();
        }
        freed
    }
}
