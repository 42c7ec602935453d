//! Reading and writing messages on sockets, the same for router and hub: decoders are filled straight from the socket,
//! and packets are written whole, several with one call to the system.
pub mod clock;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use harestage_wire::Packet;
use harestage_wire::resp::{Decoder, LINE_END};
use std::io::{self, IoSlice};
use std::net::TcpStream;
use std::rc::Rc;

pub type Executor = Rc<LocalExecutor<'static>>;
pub type Stream = Async<TcpStream>;

/// The reading side of a connection.
pub struct Source<'a> {
    stream: &'a Stream,
    /// The last read filled its room, so that there may be more.
    more: bool,
}

impl Source<'_> {
    pub fn new(stream: &Stream) -> Source<'_> {
        Source { stream, more: true }
    }

    /// Waits first where nothing is to be expected: a try that finds nothing costs as much as one that reads.
    pub async fn read_into(&mut self, decoder: &mut Decoder) -> io::Result<usize> {
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
pub async fn write_packets(
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
