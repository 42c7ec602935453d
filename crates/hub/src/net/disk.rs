//! Copies on disk, on a thread of their own: a fill never waits for a disk. Copies are stored behind it, fewer of them where
//! the disk can't follow; what was purged is always removed, however long that takes.
use crate::desk::{News, ReadResult};
use crate::start::StorageStart;
use crate::store::Copy;
use async_channel::Sender;
use bytes::Bytes;
use harestage::time::Moment;
use harestage_copies::disk::{CopiesError, DiskStore, Recovered};
use harestage_copies::index::{CopyKey, CopyMetadata};
use harestage_copies::queue::{Batch, DiskQueue, Outcome};
use harestage_copies::record::Checkpoint;
use harestage_segments::Folder;
use slog::{Logger, info, warn};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Stores and reads that wait for the thread at most.
const MAX_TASKS: usize = 2_048;
/// What was stored is durable after this time.
const FLUSH_INTERVAL: Duration = Duration::from_millis(40);
/// How often the log tells of what was written.
const LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// The queue between a hub and the thread that owns its disk.
#[derive(Clone)]
struct SharedQueue {
    queue: Arc<Mutex<DiskQueue>>,
    work: Arc<Condvar>,
}

impl SharedQueue {
    fn lock(&self) -> MutexGuard<'_, DiskQueue> {
        self.queue.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The next batch, which is empty if there is nothing to do for that long.
    fn wait(&self, at_most: Duration) -> Batch {
        let mut queue = self.lock();
        if queue.is_empty() {
            let waited = self.work.wait_timeout(queue, at_most);
            queue = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
        queue.take()
    }
}

/// The hub's end of it.
#[derive(Clone)]
pub(crate) struct DiskHandle {
    queue: SharedQueue,
    inbox: Sender<News>,
    thread: Arc<Mutex<Option<JoinHandle<()>>>>,
}

/// A disk that was opened, and what was found on it.
pub(crate) struct OpenedDisk {
    pub disk: DiskHandle,
    pub metas: Vec<CopyMetadata>,
    pub found: Recovered,
    pub took_ms: u64,
}

/// Reads the index; an error is one line that names the folder.
pub(crate) fn open(storage: &StorageStart, inbox: Sender<News>, log: Logger) -> Result<OpenedDisk, String> {
    let named = |why: String| format!("{}: {why}", storage.folder.display());
    let begun = Instant::now();
    let within = |name| Folder::open_within(&storage.folder, name).map_err(|why| named(why.to_string()));
    let store = DiskStore::open(within("bodies")?, within("index")?, storage.bytes);
    let (store, found) = store.map_err(|why| named(why.to_string()))?;
    let metas = store.copies().in_eviction_order().map(|(meta, _)| meta.clone()).collect();
    let queue = SharedQueue {
        queue: Arc::new(Mutex::new(DiskQueue::new(MAX_TASKS))),
        work: Arc::new(Condvar::new()),
    };
    let thread = DiskThread::new(store, queue.clone(), inbox.clone(), log);
    let thread = std::thread::spawn(move || thread.run());
    let disk = DiskHandle { queue, inbox, thread: Arc::new(Mutex::new(Some(thread))) };
    Ok(OpenedDisk { disk, metas, found, took_ms: begun.elapsed().as_millis() as u64 })
}

impl DiskHandle {
    /// Left out where too much waits already.
    pub fn store(&self, meta: CopyMetadata, body: Bytes) {
        self.queue.lock().store(meta, body);
        self.queue.work.notify_one();
    }

    /// Its result comes as news.
    pub fn read(&self, key: CopyKey) {
        let queued = self.queue.lock().read(key);
        self.queue.work.notify_one();
        if !queued {
            let _ = self.inbox.try_send(News::Read { key, result: ReadResult::Busy });
        }
    }

    pub fn remove(&self, keys: Vec<CopyKey>) {
        self.queue.lock().remove(keys);
        self.queue.work.notify_one();
    }

    /// It is stored with the next flush: nobody waits for it.
    pub fn set_checkpoint(&self, checkpoint: Checkpoint) {
        self.queue.lock().set_checkpoint(checkpoint);
    }

    /// Everything is on disk when it returns.
    pub fn close(&self) {
        self.queue.lock().close();
        self.queue.work.notify_one();
        let thread = self.thread.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take();
        thread.into_iter().for_each(|thread| drop(thread.join()));
    }
}

/// The thread that owns the store.
struct DiskThread {
    store: DiskStore<Folder>,
    queue: SharedQueue,
    inbox: Sender<News>,
    log: Logger,
    flushed_at: Instant,
    logged_at: Instant,
    logged_bytes: u64,
    failed: bool,
}

impl DiskThread {
    fn new(store: DiskStore<Folder>, queue: SharedQueue, inbox: Sender<News>, log: Logger) -> DiskThread {
        let (now, logged_bytes) = (Instant::now(), store.written().total);
        DiskThread { store, queue, inbox, log, flushed_at: now, logged_at: now, logged_bytes, failed: false }
    }

    fn run(mut self) {
        loop {
            let batch = self.queue.wait(FLUSH_INTERVAL.saturating_sub(self.flushed_at.elapsed()));
            let done = batch.apply(&mut self.store);
            if let Ok(Outcome::Closed) = done {
                return self.close();
            }
            let done = done.and_then(|outcome| {
                self.tell(outcome);
                self.flush_if_due()
            });
            if let Err(why) = done
                && !std::mem::replace(&mut self.failed, true)
            {
                // The hub goes on by what it has in memory; what is on disk is given out no more than it can be read.
                warn!(self.log, "copies are kept no more"; "why" => %why);
            }
            self.log_if_due();
        }
    }

    fn tell(&self, outcome: Outcome) {
        if let Outcome::Read(key, copy) = outcome {
            let result =
                copy.map_or(ReadResult::Missing, |(meta, body)| ReadResult::Copy(copy_of(meta, body)));
            let _ = self.inbox.send_blocking(News::Read { key, result });
        }
    }

    fn flush_if_due(&mut self) -> Result<(), CopiesError> {
        if self.flushed_at.elapsed() < FLUSH_INTERVAL {
            return Ok(());
        }
        self.flushed_at = Instant::now();
        self.store.flush()?;
        self.store.compact_step().map(drop)
    }

    fn log_if_due(&mut self) {
        let written = self.store.written();
        if self.logged_at.elapsed() < LOG_INTERVAL || written.total == self.logged_bytes {
            return;
        }
        (self.logged_at, self.logged_bytes) = (Instant::now(), written.total);
        let copies = self.store.copies().len();
        info!(self.log, "copies kept"; "copies" => copies, "written" => written.total, "kept" => written.copies);
    }

    fn close(&mut self) {
        if let Err(why) = self.store.close() {
            warn!(self.log, "copies not kept to the end"; "why" => %why);
        }
    }
}

fn copy_of(meta: CopyMetadata, body: Bytes) -> Copy {
    let (digest, dated) = (Bytes::from(meta.digest), Moment::at_micros(meta.dated_us));
    Copy { digest, dated, group: meta.group, body }
}
