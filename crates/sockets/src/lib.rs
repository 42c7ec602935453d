//! Reading and writing messages on sockets, the same for router and hub: decoders are filled straight from the socket,
//! and packets are written whole, several with one call to the system.
pub mod accept;
pub mod clock;
pub mod leader;
pub mod lines;

use async_executor::{LocalExecutor, Task};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use harestage_wire::Packet;
use harestage_wire::resp::{Decoder, LINE_END};
use std::cell::RefCell;
use std::io::{self, IoSlice, Read};
use std::net::TcpStream;
use std::rc::Rc;

pub type Executor = Rc<LocalExecutor<'static>>;

/// Starts tasks that end with their program: those of an executor hold it themselves, so that it alone would never go,
/// nor would the sockets that they hold.
#[derive(Clone, Default)]
pub struct Spawner {
    executor: Executor,
    tasks: Rc<RefCell<Vec<Task<()>>>>,
}

/// Ended tasks are looked for when so many have been started since.
const LOOK_AFTER: usize = 64;

impl Spawner {
    pub fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        let task = self.executor.spawn(work);
        let mut tasks = self.tasks.borrow_mut();
        if tasks.len() % LOOK_AFTER == LOOK_AFTER - 1 {
            tasks.retain(|task| !task.is_finished());
        }
        tasks.push(task);
    }

    /// A task that ends when its handle is dropped.
    pub fn spawn_with_handle<T: 'static>(&self, work: impl Future<Output = T> + 'static) -> Task<T> {
        self.executor.spawn(work)
    }

    /// Runs `main` to its end, and everything that was started beside it for as long; then ends all of that.
    pub fn block_on<T>(&self, main: impl Future<Output = T>) -> T {
        let end = async_io::block_on(self.executor.run(main));
        // Dropping a task only marks it; its turn drops what it holds, and that may mark others.
        loop {
            let ended = std::mem::take(&mut *self.tasks.borrow_mut());
            if !self.executor.try_tick() && ended.is_empty() {
                return end;
            }
        }
    }
}
pub type Stream = Async<TcpStream>;

/// The reading side of a connection.
pub struct SocketReader<'a> {
    stream: &'a Stream,
    /// The last read filled its room, so that there may be more.
    more: bool,
}

/// What is thrown away is read in pieces of as much.
const DISCARDED: usize = 4 << 10;

impl SocketReader<'_> {
    pub fn new(stream: &Stream) -> SocketReader<'_> {
        SocketReader { stream, more: true }
    }

    pub fn stream(&self) -> &Stream {
        self.stream
    }

    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Reads and throws away; 0: the other side has closed.
    pub async fn discard(&mut self) -> io::Result<usize> {
        self.stream.readable().await?;
        self.stream.read(&mut [0; DISCARDED]).await
    }

    /// Takes what has come up to now, without waiting for more. None: nothing has.
    pub fn try_read(&mut self, decoder: &mut Decoder) -> io::Result<Option<usize>> {
        let room = decoder.read_buffer();
        let (got, most) = (self.stream.get_ref().read(room), room.len());
        match got {
            Ok(bytes) => {
                self.more = bytes == most;
                decoder.commit(bytes);
                Ok(Some(bytes))
            }
            Err(why) if why.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(why) => Err(why),
        }
    }

    /// The last read filled its room.
    pub fn expects_more(&self) -> bool {
        self.more
    }

    /// Waits first where nothing is to be expected: a try that finds nothing costs as much as one that reads.
    pub async fn read_into(&mut self, decoder: &mut Decoder) -> io::Result<usize> {
        if !self.more {
            self.stream.readable().await?;
        }
        let room = decoder.read_buffer();
        let (bytes, most) = (self.stream.read(room).await?, room.len());
        self.more = bytes == most;
        decoder.commit(bytes);
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
