//! The Raft log in memory, and the records on disk from which it is restored.
use protobuf::Message as _;
use raft::prelude::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage};
use std::cell::RefCell;
use std::rc::Rc;

/// One record on the disk of a member. Its first byte is the kind.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Record {
    /// Identity of the member: its id, and the number of its disk, which no other disk has.
    Identity {
        id: u64,
        disk: u64,
    },
    Snapshot(Box<Snapshot>),
    HardState(HardState),
    Entry(Box<Entry>),
    /// Disk number of another member, as it was when they first connected.
    PeerDisk {
        id: u64,
        disk: u64,
    },
}

impl Record {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        let (kind, bytes) = match self {
            Self::Identity { id, disk } => (b'I', encode_numbers(*id, *disk)),
            Self::Snapshot(snapshot) => (b'S', snapshot.write_to_bytes().unwrap_or_default()),
            Self::HardState(state) => (b'H', state.write_to_bytes().unwrap_or_default()),
            Self::Entry(entry) => (b'E', entry.write_to_bytes().unwrap_or_default()),
            Self::PeerDisk { id, disk } => (b'P', encode_numbers(*id, *disk)),
        };
        let mut record = vec![kind];
        record.extend(bytes);
        record
    }

    /// Decodes a record; none if it is invalid.
    pub fn decode(record: &[u8]) -> Option<Record> {
        let (kind, bytes) = record.split_first()?;
        Some(match kind {
            b'I' => {
                let (id, disk) = decode_numbers(bytes)?;
                Record::Identity { id, disk }
            }
            b'P' => {
                let (id, disk) = decode_numbers(bytes)?;
                Record::PeerDisk { id, disk }
            }
            b'S' => Record::Snapshot(Box::new(Snapshot::parse_from_bytes(bytes).ok()?)),
            b'H' => Record::HardState(HardState::parse_from_bytes(bytes).ok()?),
            b'E' => Record::Entry(Box::new(Entry::parse_from_bytes(bytes).ok()?)),
            _ => return None,
        })
    }
}

fn encode_numbers(a: u64, b: u64) -> Vec<u8> {
    [a.to_be_bytes(), b.to_be_bytes()].concat()
}

fn decode_numbers(bytes: &[u8]) -> Option<(u64, u64)> {
    let (a, b) = (bytes.get(..8)?, bytes.get(8..16)?);
    Some((u64::from_be_bytes(a.try_into().ok()?), u64::from_be_bytes(b.try_into().ok()?)))
}

/// Concatenates pieces, each prefixed with its length.
pub(crate) fn join(pieces: &[Vec<u8>]) -> Vec<u8> {
    let piece = |piece: &Vec<u8>| [&(piece.len() as u32).to_be_bytes()[..], piece].concat();
    pieces.iter().flat_map(piece).collect()
}

/// Splits what [`join`] has concatenated.
pub(crate) fn split(mut bytes: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut pieces = Vec::new();
    while !bytes.is_empty() {
        let length = u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
        pieces.push(bytes.get(4..4 + length)?.to_vec());
        bytes = &bytes[4 + length..];
    }
    Some(pieces)
}

/// Storage of the log for Raft. Clones share their contents.
#[derive(Clone)]
pub(crate) struct Store {
    pub log: MemStorage,
    /// The latest snapshot that was made or received. It is sent to members that are too far behind for the log.
    pub snapshot: Rc<RefCell<Snapshot>>,
}

impl Store {
    /// An empty store.
    pub fn new() -> Store {
        Store { log: MemStorage::new(), snapshot: Rc::default() }
    }

    /// Installs a snapshot and drops all entries before it.
    pub fn restore(&self, snapshot: &Snapshot) -> raft::Result<()> {
        self.log.wl().apply_snapshot(snapshot.clone())?;
        *self.snapshot.borrow_mut() = snapshot.clone();
        Ok(())
    }

    /// Appends entries to the log.
    pub fn append(&self, entries: &[Entry]) -> raft::Result<()> {
        self.log.wl().append(entries)
    }

    /// Sets term, vote and commit index.
    pub fn set_hard_state(&self, state: HardState) {
        self.log.wl().set_hardstate(state);
    }

    /// Sets the commit index.
    pub fn set_commit(&self, commit: u64) {
        self.log.wl().mut_hard_state().set_commit(commit);
    }

    /// Term, vote and commit index.
    pub fn hard_state(&self) -> HardState {
        self.log.rl().hard_state().clone()
    }

    /// Sets the membership of the group.
    pub fn set_members(&self, conf: ConfState) {
        self.log.wl().set_conf_state(conf);
    }

    /// Drops the log up to the last entry of the snapshot.
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
        let current = self.snapshot.borrow().get_metadata().clone();
        if index == current.index && index > 0 { Ok(current.term) } else { self.log.term(index) }
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.log.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.log.last_index()
    }

    fn snapshot(&self, _request_index: u64, to: u64) -> raft::Result<Snapshot> {
        let current = self.snapshot.borrow().clone();
        // The receiver would ignore a snapshot that does not list it as a member.
        match current.get_metadata().get_conf_state().voters.contains(&to) {
            true => Ok(current),
            false => Err(raft::Error::Store(raft::StorageError::SnapshotTemporarilyUnavailable)),
        }
    }
}
