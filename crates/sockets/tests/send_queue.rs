//! Packets that wait for a socket are dropped one by one as they are written.
use async_io::Async;
use bytes::Bytes;
use harestage_sockets::send_queue::{SendQueue, queued_bytes};
use harestage_wire::Packet;
use harestage_wire::memory::MemoryCounter;
use harestage_wire::resp::LINE_END;
use std::io::Read;
use std::net::{TcpListener, TcpStream};

const BODY_BYTES: usize = 1 << 20;
const PACKETS: usize = 32;

#[test]
fn a_packet_is_dropped_as_soon_as_it_is_written_though_others_wait() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut reader = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let writer = Async::new(listener.accept().unwrap().0).unwrap();
    let (counter, mut queue, mut sent) = (MemoryCounter::default(), SendQueue::default(), Vec::new());
    for no in 0..PACKETS {
        let body = counter.reserve(BODY_BYTES).attach(vec![no as u8; BODY_BYTES]);
        let packet = Packet { head: Bytes::from(format!("head {no}")), body };
        sent.extend([&packet.head[..], &packet.body[..], LINE_END].concat());
        queue.push(packet);
    }
    let (mut received, mut freed, mut piece) = (Vec::new(), 0, vec![0; 100_000]);
    while received.len() < sent.len() {
        if !queue.is_empty() {
            freed += queue.try_write(&writer, PACKETS).unwrap().unwrap_or(0);
        }
        assert_eq!(counter.used(), queue.len() * BODY_BYTES);
        let bytes = reader.read(&mut piece).unwrap();
        received.extend_from_slice(&piece[..bytes]);
    }
    assert!(received == sent && queue.is_empty() && counter.used() == 0);
    let head_bytes = sent.len() - PACKETS * (BODY_BYTES + LINE_END.len());
    let empty = Packet { head: Bytes::new(), body: Bytes::from(vec![0; BODY_BYTES]) };
    assert_eq!(freed, PACKETS * queued_bytes(&empty) + head_bytes);
}
