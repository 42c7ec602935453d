//! Reading and writing messages on sockets, for all programs. Decoders are filled directly from the socket,
//! and packets are written whole, several per system call.
pub mod accept;
pub mod clock;
pub mod leader;
pub mod lines;
pub mod send_queue;

use async_executor::{LocalExecutor, Task};
use async_io::Async;
use harestage_wire::Packet;
use harestage_wire::resp::{Decoder, LINE_END};
use rustix::io::Errno;
use std::cell::RefCell;
use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;

/// The single-threaded executor of a program.
pub type Executor = Rc<LocalExecutor<'static>>;

/// Starts tasks that end with their program. Tasks own a reference to the executor, so that dropping the
/// executor alone would drop neither them nor their sockets.
#[derive(Clone, Default)]
pub struct Spawner {
    executor: Executor,
    tasks: Rc<RefCell<Vec<Task<()>>>>,
}

/// Finished tasks are removed after this many new ones.
const CLEANUP_INTERVAL: usize = 64;

impl Spawner {
    /// Starts a task that runs until the program ends.
    pub fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        let task = self.executor.spawn(work);
        let mut tasks = self.tasks.borrow_mut();
        if tasks.len() % CLEANUP_INTERVAL == CLEANUP_INTERVAL - 1 {
            tasks.retain(|task| !task.is_finished());
        }
        tasks.push(task);
    }

    /// Starts a task that ends when its handle is dropped.
    pub fn spawn_with_handle<T: 'static>(&self, work: impl Future<Output = T> + 'static) -> Task<T> {
        self.executor.spawn(work)
    }

    /// Runs `main` to its end, with all spawned tasks beside it, and then drops these.
    pub fn block_on<T>(&self, main: impl Future<Output = T>) -> T {
        let end = async_io::block_on(self.executor.run(main));
        // Dropping a task only marks it; the executor's next tick drops what it owns, which may mark further
        // tasks.
        loop {
            let tasks = std::mem::take(&mut *self.tasks.borrow_mut());
            if !self.executor.try_tick() && tasks.is_empty() {
                return end;
            }
        }
    }
}
/// A connection.
pub type Stream = Async<TcpStream>;

/// The reading half of a connection.
pub struct SocketReader<'a> {
    stream: &'a Stream,
    /// The last read filled its buffer, so that more may be waiting.
    may_have_more: bool,
}

/// Buffer size for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

impl SocketReader<'_> {
    /// Reads from `stream`.
    pub fn new(stream: &Stream) -> SocketReader<'_> {
        SocketReader { stream, may_have_more: true }
    }

    /// The connection that it reads from.
    pub fn stream(&self) -> &Stream {
        self.stream
    }

    /// Waits until the socket has bytes or is closed.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Reads and discards bytes; 0 means that the peer has closed.
    pub async fn discard(&mut self) -> io::Result<usize> {
        loop {
            self.stream.readable().await?;
            if let Some(bytes) = self.try_discard()? {
                return Ok(bytes);
            }
        }
    }

    /// Discards what has arrived, without waiting. The buffer must not be part of a task: each connection
    /// would hold one.
    fn try_discard(&mut self) -> io::Result<Option<usize>> {
        call_without_waiting(|| self.stream.get_ref().read(&mut [0; DISCARD_BUFFER_BYTES]))
    }

    /// Reads what has arrived, without waiting. `None` if there is nothing.
    pub fn try_read(&mut self, decoder: &mut Decoder) -> io::Result<Option<usize>> {
        let mut stream = self.stream.get_ref();
        let buffer = decoder.read_buffer();
        let capacity = buffer.len();
        let read = call_without_waiting(|| stream.read(buffer))?;
        match read {
            Some(bytes) => {
                self.may_have_more = bytes == capacity;
                decoder.commit(bytes);
            }
            None => {
                self.may_have_more = false;
                decoder.release_buffer();
            }
        }
        Ok(read)
    }

    /// Whether the last read filled its buffer.
    pub fn expects_more(&self) -> bool {
        self.may_have_more
    }

    /// Reads into the decoder. Waits until the socket is readable unless more is expected: a read that finds
    /// nothing costs as much as one that succeeds.
    pub async fn read_into(&mut self, decoder: &mut Decoder) -> io::Result<usize> {
        loop {
            if !self.may_have_more {
                self.stream.readable().await?;
            }
            if let Some(bytes) = self.try_read(decoder)? {
                return Ok(bytes);
            }
        }
    }
}

/// Makes a call that does not wait. `None`: it would have to wait, or the system lacks memory at the moment. A
/// call that a signal interrupts is made again.
pub fn call_without_waiting<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<Option<T>> {
    loop {
        let why = match call() {
            Ok(done) => return Ok(Some(done)),
            Err(why) => why,
        };
        match Errno::from_io_error(&why) {
            Some(Errno::INTR) => {}
            Some(Errno::WOULDBLOCK | Errno::NOBUFS | Errno::NOMEM) => return Ok(None),
            _ => return Err(why),
        }
    }
}

/// Reads some bytes; 0 means that the peer has closed.
pub async fn read_some(stream: &Stream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        if let Some(bytes) = call_without_waiting(|| stream.get_ref().read(buffer))? {
            return Ok(bytes);
        }
        stream.readable().await?;
    }
}

/// Writes packets whole, with as few system calls as possible; `progress` is called with the size of each
/// piece that the socket accepts.
pub async fn write_packets(
    to: &Stream,
    packets: &[Packet],
    mut progress: impl FnMut(usize),
) -> io::Result<()> {
    let parts = packets.iter().flat_map(|p| [&p.head[..], &p.body[..], LINE_END]);
    let mut parts: Vec<IoSlice> = parts.map(IoSlice::new).collect();
    let mut rest = &mut parts[..];
    while !rest.is_empty() {
        match call_without_waiting(|| to.get_ref().write_vectored(rest))? {
            Some(0) => return Err(io::ErrorKind::WriteZero.into()),
            Some(bytes) => {
                IoSlice::advance_slices(&mut rest, bytes);
                progress(bytes);
            }
            None => to.writable().await?,
        }
    }
    Ok(())
}
