//! Work that waits for the thread that owns a [`DiskStore`]. Whoever fills never waits for the disk: stores and reads are
//! queued, and refused where too many wait. Removals and the checkpoint are never refused.
use crate::disk::{CopiesError, DiskStore};
use crate::index::{CopyKey, CopyMetadata};
use crate::record::Checkpoint;
use bytes::Bytes;
use harestage_segments::Files;
use std::collections::{HashSet, VecDeque};

/// One thing to do with the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    Store(CopyMetadata, Bytes),
    Read(CopyKey),
    /// The last task: nothing is queued after it.
    Close,
}

/// The queue of one store.
#[derive(Debug)]
pub struct DiskQueue {
    tasks: VecDeque<Task>,
    max_tasks: usize,
    removals: Vec<CopyKey>,
    checkpoint: Option<Checkpoint>,
    is_closed: bool,
}

/// What is to be done next: removals first, then the checkpoint, then the task.
#[derive(Debug, Default, PartialEq)]
pub struct Batch {
    pub removals: Vec<CopyKey>,
    pub checkpoint: Option<Checkpoint>,
    pub task: Option<Task>,
}

/// What has come of a batch.
#[derive(Debug, PartialEq)]
pub enum Outcome {
    Done,
    /// A read has ended. `None`: the store has no such copy, or its bytes are not what they were.
    Read(CopyKey, Option<(CopyMetadata, Bytes)>),
    /// The store is to be closed.
    Closed,
}

impl DiskQueue {
    /// An empty queue that holds so many tasks at most.
    pub fn new(max_tasks: usize) -> DiskQueue {
        let tasks = VecDeque::with_capacity(max_tasks);
        DiskQueue { tasks, max_tasks, removals: Vec::new(), checkpoint: None, is_closed: false }
    }

    /// Queues a copy to be stored. False if too many tasks wait: then neither it nor an older one with its key is stored.
    pub fn store(&mut self, metadata: CopyMetadata, body: Bytes) -> bool {
        let key = metadata.key;
        let accepted = self.push(Task::Store(metadata, body));
        if !accepted {
            self.remove(vec![key]);
        }
        accepted
    }

    /// Queues a read. False if too many tasks wait.
    pub fn read(&mut self, key: CopyKey) -> bool {
        self.push(Task::Read(key))
    }

    fn push(&mut self, task: Task) -> bool {
        let accepted = self.tasks.len() < self.max_tasks && !self.is_closed;
        if accepted {
            self.tasks.push_back(task);
        }
        accepted
    }

    /// Removes copies from the store, and those that wait to be stored: they would come to disk after their removal.
    pub fn remove(&mut self, keys: Vec<CopyKey>) {
        let removed: HashSet<CopyKey> = keys.iter().copied().collect();
        let is_removed =
            |task: &Task| matches!(task, Task::Store(metadata, _) if removed.contains(&metadata.key));
        self.tasks.retain(|task| !is_removed(task));
        self.removals.extend(keys);
    }

    /// Replaces the state that is stored beside the copies.
    pub fn set_checkpoint(&mut self, checkpoint: Checkpoint) {
        self.checkpoint = Some(checkpoint);
    }

    /// The store is to be closed once all that waits is done.
    pub fn close(&mut self) {
        if !self.is_closed {
            self.is_closed = true;
            self.tasks.push_back(Task::Close);
        }
    }

    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty() && self.removals.is_empty() && self.checkpoint.is_none()
    }

    /// Takes the next batch.
    pub fn take(&mut self) -> Batch {
        Batch {
            removals: std::mem::take(&mut self.removals),
            checkpoint: self.checkpoint.take(),
            task: self.tasks.pop_front(),
        }
    }
}

impl Batch {
    /// Carries it out. What was changed is durable after the next flush.
    pub fn apply<F: Files>(self, store: &mut DiskStore<F>) -> Result<Outcome, CopiesError> {
        self.removals.into_iter().for_each(|key| store.remove(key));
        self.checkpoint.into_iter().for_each(|checkpoint| store.set_checkpoint(checkpoint));
        match self.task {
            Some(Task::Store(metadata, body)) => store.put(metadata, &body).map(|_| Outcome::Done),
            Some(Task::Read(key)) => Ok(Outcome::Read(key, store.read_copy(key))),
            Some(Task::Close) => Ok(Outcome::Closed),
            None => Ok(Outcome::Done),
        }
    }
}
