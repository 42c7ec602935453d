//! Asks hubs whether they are there, and what they miss themselves: a branch's own feed bears no witness, and has no
//! fills over which it would hear of them anyway.
use crate::Line;
use async_io::{Async, Timer};
use futures_lite::future::or;
use harestage_sockets::lines::with_timeout;
use harestage_sockets::{SocketReader, Stream, write_packets};
use harestage_wire::node;
use harestage_wire::peer::{self, LIVENESS_TAG_PREFIX};
use harestage_wire::resp::{Bounds, Decoder};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Between two questions to one hub.
pub const ASKS_EVERY: Duration = Duration::from_millis(200);
const ITEM: usize = 4 << 10;

/// What a hub has answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub leaving: bool,
    /// Sites from which it hears nothing.
    pub unseen: Vec<String>,
}

/// Asks one hub for as long as it is polled, again after a break.
pub async fn ask(at: SocketAddr, line: Line, seen: impl Fn(Seen)) {
    loop {
        let up = async { Async::<TcpStream>::connect(at).await.map_err(|why| why.to_string()) };
        if let Ok(stream) = with_timeout(line.connect, "not up in time", up).await {
            let _ = stream.get_ref().set_nodelay(true);
            or(questions(&stream), answers(&stream, &line, &seen)).await;
        }
        Timer::after(line.pause).await;
    }
}

async fn questions(stream: &Stream) {
    for number in 0u64.. {
        let tag = [LIVENESS_TAG_PREFIX, number.to_string().as_bytes()].concat();
        if write_packets(stream, &[node::encode_gauges_query(&tag)], |_| {}).await.is_err() {
            return;
        }
        Timer::after(ASKS_EVERY).await;
    }
}

async fn answers(stream: &Stream, line: &Line, seen: &impl Fn(Seen)) {
    let mut decoder =
        Decoder::new(Bounds { max_items: 4, max_item_bytes: ITEM, initial_item_capacity: ITEM }, ITEM);
    let mut source = SocketReader::new(stream);
    loop {
        match decoder.next_message() {
            Ok(Some(items)) => {
                if let Some((leaving, unseen)) = peer::decode_liveness(&items) {
                    seen(Seen { leaving, unseen });
                }
            }
            Ok(None) => {
                let read = async { source.read_into(&mut decoder).await.map_err(|why| why.to_string()) };
                if !with_timeout(line.silence, "silent", read).await.is_ok_and(|bytes| bytes > 0) {
                    return;
                }
            }
            Err(_) => return,
        }
    }
}
