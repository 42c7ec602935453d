//! What a member knows of the log, in memory, and the records on disk from which it is known again.
use protobuf::Message as _;
use raft::prelude::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage};
use std::cell::RefCell;
use std::rc::Rc;

/// One record of a member's disk; the first byte tells which.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Record {
    /// Who it is: its id, and a number that no other disk has.
    Who {
        id: u64,
        disk: u64,
    },
    Snapshot(Box<Snapshot>),
    Hard(HardState),
    Entry(Box<Entry>),
    /// The disk of another member, as it was first met.
    Met {
        id: u64,
        disk: u64,
    },
}

impl Record {
    pub fn write(&self) -> Vec<u8> {
        let (kind, bytes) = match self {
            Self::Who { id, disk } => (b'I', numbers(*id, *disk)),
            Self::Snapshot(snapshot) => (b'S', snapshot.write_to_bytes().unwrap_or_default()),
            Self::Hard(hard) => (b'H', hard.write_to_bytes().unwrap_or_default()),
            Self::Entry(entry) => (b'E', entry.write_to_bytes().unwrap_or_default()),
            Self::Met { id, disk } => (b'P', numbers(*id, *disk)),
        };
        let mut record = vec![kind];
        record.extend(bytes);
        record
    }

    pub fn read(record: &[u8]) -> Option<Record> {
        let (kind, bytes) = record.split_first()?;
        Some(match kind {
            b'I' => {
                let (id, disk) = read_numbers(bytes)?;
                Record::Who { id, disk }
            }
            b'P' => {
                let (id, disk) = read_numbers(bytes)?;
                Record::Met { id, disk }
            }
            b'S' => Record::Snapshot(Box::new(Snapshot::parse_from_bytes(bytes).ok()?)),
            b'H' => Record::Hard(HardState::parse_from_bytes(bytes).ok()?),
            b'E' => Record::Entry(Box::new(Entry::parse_from_bytes(bytes).ok()?)),
            _ => return None,
        })
    }
}

fn numbers(a: u64, b: u64) -> Vec<u8> {
    [a.to_be_bytes(), b.to_be_bytes()].concat()
}

fn read_numbers(bytes: &[u8]) -> Option<(u64, u64)> {
    let (a, b) = (bytes.get(..8)?, bytes.get(8..16)?);
    Some((u64::from_be_bytes(a.try_into().ok()?), u64::from_be_bytes(b.try_into().ok()?)))
}

/// Pieces in one record, each with its length before it.
pub(crate) fn join(pieces: &[Vec<u8>]) -> Vec<u8> {
    let piece = |piece: &Vec<u8>| [&(piece.len() as u32).to_be_bytes()[..], piece].concat();
    pieces.iter().flat_map(piece).collect()
}

pub(crate) fn part(mut bytes: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut pieces = Vec::new();
    while !bytes.is_empty() {
        let length = u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
        pieces.push(bytes.get(4..4 + length)?.to_vec());
        bytes = &bytes[4 + length..];
    }
    Some(pieces)
}

/// The log as Raft asks for it. Clones share what they hold.
#[derive(Clone)]
pub(crate) struct Store {
    pub log: MemStorage,
    /// The last one that was made or taken in: what members far behind are sent.
    pub snapshot: Rc<RefCell<Snapshot>>,
}

impl Store {
    pub fn new() -> Store {
        Store { log: MemStorage::new(), snapshot: Rc::default() }
    }

    /// Takes a snapshot in: all before it is gone.
    pub fn restore(&self, snapshot: &Snapshot) -> raft::Result<()> {
        self.log.wl().apply_snapshot(snapshot.clone())?;
        *self.snapshot.borrow_mut() = snapshot.clone();
        Ok(())
    }

    pub fn append(&self, entries: &[Entry]) -> raft::Result<()> {
        self.log.wl().append(entries)
    }

    pub fn set_hard(&self, hard: HardState) {
        self.log.wl().set_hardstate(hard);
    }

    pub fn set_commit(&self, commit: u64) {
        self.log.wl().mut_hard_state().set_commit(commit);
    }

    pub fn hard(&self) -> HardState {
        self.log.rl().hard_state().clone()
    }

    pub fn set_members(&self, members: ConfState) {
        self.log.wl().set_conf_state(members);
    }

    /// The log up to the snapshot's last entry is forgotten.
    pub fn compact(&self, snapshot: Snapshot) -> raft::Result<()> {
        let upto = snapshot.get_metadata().index;
        *self.snapshot.borrow_mut() = snapshot;
        self.log.wl().compact(upto)
    }
}

impl Storage for Store {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.log.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.log.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let kept = self.snapshot.borrow().get_metadata().clone();
        if index == kept.index && index > 0 { Ok(kept.term) } else { self.log.term(index) }
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.log.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.log.last_index()
    }

    fn snapshot(&self, _request_index: u64, to: u64) -> raft::Result<Snapshot> {
        let kept = self.snapshot.borrow().clone();
        // One that does not name its reader as a member would be passed over there.
        match kept.get_metadata().get_conf_state().voters.contains(&to) {
            true => Ok(kept),
            false => Err(raft::Error::Store(raft::StorageError::SnapshotTemporarilyUnavailable)),
        }
    }
}
