//! Copies on disk, on a thread of their own: a fill never waits for a disk. What is kept is written behind, and where the disk
//! can't follow, fewer are kept; what was purged is always taken out, however long that takes.
use crate::desk::News;
use crate::start::StorageStart;
use crate::store::Copy;
use async_channel::Sender;
use bytes::Bytes;
use harestage::time::Moment;
use harestage_copies::disk::{DiskStore, Recovered};
use harestage_copies::index::{CopyKey, CopyMetadata};
use harestage_copies::record::Checkpoint;
use harestage_segments::Folder;
use slog::{Logger, info, warn};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Copies that wait to be written.
const WAITING: usize = 2_048;
/// What was put is on disk after as long.
const FLUSH_EVERY: Duration = Duration::from_millis(40);
/// How often what was written is said.
const TELLS_EVERY: Duration = Duration::from_millis(1_000);

enum Do {
    Keep(CopyMetadata, Bytes),
    Read(CopyKey),
    Wake,
    Close,
}

/// What may not be left out, whatever the queue holds.
#[derive(Default)]
struct Owed {
    gone: Vec<CopyKey>,
    marks: Option<Checkpoint>,
}

/// The desk's end of it.
#[derive(Clone)]
pub(crate) struct Shelf {
    queue: SyncSender<Do>,
    owed: Arc<Mutex<Owed>>,
    inbox: Sender<News>,
    thread: Arc<Mutex<Option<JoinHandle<()>>>>,
}

pub(crate) struct Opened {
    pub shelf: Shelf,
    pub metas: Vec<CopyMetadata>,
    pub found: Recovered,
    pub took_ms: u64,
}

/// Reads the index; an error is one line that names the folder.
pub(crate) fn open(storage: &StorageStart, inbox: Sender<News>, log: Logger) -> Result<Opened, String> {
    let named = |why: String| format!("{}: {why}", storage.folder.display());
    let begun = Instant::now();
    let within = |name| Folder::open_within(&storage.folder, name).map_err(|why| named(why.to_string()));
    let disk = DiskStore::open(within("bodies")?, within("index")?, storage.bytes);
    let (disk, found) = disk.map_err(|why| named(why.to_string()))?;
    let metas = disk.copies().in_eviction_order().map(|(meta, _)| meta.clone()).collect();
    let (queue, work) = sync_channel(WAITING);
    let owed = Arc::new(Mutex::new(Owed::default()));
    let (owing, telling) = (owed.clone(), inbox.clone());
    let thread = std::thread::spawn(move || run(disk, &work, &owing, &telling, &log));
    let thread = Arc::new(Mutex::new(Some(thread)));
    let shelf = Shelf { queue, owed, inbox, thread };
    Ok(Opened { shelf, metas, found, took_ms: begun.elapsed().as_millis() as u64 })
}

fn held<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Shelf {
    /// Left out where too much waits already.
    pub fn keep(&self, meta: CopyMetadata, body: Bytes) {
        let _ = self.queue.try_send(Do::Keep(meta, body));
    }

    /// Its bytes come as news; none where they can't be had.
    pub fn read(&self, key: CopyKey) {
        if self.queue.try_send(Do::Read(key)).is_err() {
            let _ = self.inbox.try_send(News::Read { key, copy: None });
        }
    }

    pub fn unkeep(&self, keys: Vec<CopyKey>) {
        held(&self.owed).gone.extend(keys);
        let _ = self.queue.try_send(Do::Wake);
    }

    pub fn mark(&self, marks: Checkpoint) {
        held(&self.owed).marks = Some(marks);
    }

    /// Everything is on disk when it returns.
    pub fn close(&self) {
        let _ = self.queue.send(Do::Close);
        let thread = held(&self.thread).take();
        thread.into_iter().for_each(|thread| drop(thread.join()));
    }
}

fn run(
    mut disk: DiskStore<Folder>,
    work: &Receiver<Do>,
    owed: &Mutex<Owed>,
    inbox: &Sender<News>,
    log: &Logger,
) {
    let (mut flushed, mut told, mut tidies, mut failed) = (Instant::now(), Instant::now(), false, false);
    let mut before = disk.written();
    loop {
        let next = work.recv_timeout(FLUSH_EVERY.saturating_sub(flushed.elapsed()));
        // What goes, goes before anything else is put or read.
        let Owed { gone, marks } = std::mem::take(&mut *held(owed));
        gone.into_iter().for_each(|key| disk.remove(key));
        marks.into_iter().for_each(|marks| disk.set_checkpoint(marks));
        let done = match next {
            Ok(Do::Keep(meta, body)) => disk.put(meta, &body).map(drop),
            Ok(Do::Read(key)) => {
                let copy = disk.read_copy(key).map(|(meta, body)| copy_of(meta, body));
                let _ = inbox.send_blocking(News::Read { key, copy });
                Ok(())
            }
            Ok(Do::Wake) | Err(RecvTimeoutError::Timeout) => Ok(()),
            Ok(Do::Close) | Err(RecvTimeoutError::Disconnected) => {
                if let Err(why) = disk.close() {
                    warn!(log, "copies not kept to the end"; "why" => %why);
                }
                return;
            }
        };
        let done = done.and_then(|()| {
            if flushed.elapsed() < FLUSH_EVERY {
                return Ok(());
            }
            flushed = Instant::now();
            disk.flush()?;
            tidies = disk.compact_step()?;
            Ok(())
        });
        if let Err(why) = done
            && !std::mem::replace(&mut failed, true)
        {
            // The hub goes on by what it has in memory; what is on disk is given out no more than it can be read.
            warn!(log, "copies are kept no more"; "why" => %why);
        }
        if told.elapsed() >= TELLS_EVERY && disk.written() != before {
            (told, before) = (Instant::now(), disk.written());
            info!(log, "copies kept"; "copies" => disk.copies().len(), "written" => before.total, "kept" => before.copies);
        }
    }
}

fn copy_of(meta: CopyMetadata, body: Bytes) -> Copy {
    let (digest, dated) = (Bytes::from(meta.digest), Moment::at_micros(meta.dated_us));
    Copy { digest, dated, group: meta.group, body }
}
