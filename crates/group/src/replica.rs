//! One member of a group.
//!
//! Leader lease: the leader asks the other members whether they still follow it, and marks each request with the time at
//! which it was made. Once a majority has answered, it may answer clients and send decisions until [`LEASE`] after that
//! time. A leader that was paused (a stopped process or machine) has no recent enough answer when it resumes: those that
//! waited in its sockets belong to requests from before the pause. The lease is shorter than the election timeout of the
//! others, so that two members never hold it at once.
use crate::store::{Record, Store, join, split};
use harestage::time::{Moment, Span};
use protobuf::Message as _;
use raft::StateRole;
use raft::prelude::{
    ConfChange, ConfChangeType, ConfState, Config, Entry, EntryType, Message, MessageType, RawNode, Snapshot,
};
use serde::{Deserialize, Serialize};
use slog::{Discard, Logger, o};
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Interval at which [`Replica::tick`] has to be called.
pub const TICK: Span = Span::millis(50);
/// Ticks without a message of the leader before an election starts, at least. Raft randomizes it up to twice as many.
const ELECTION_TICKS: usize = 13;
const HEARTBEAT_TICKS: usize = 2;
/// Duration of the leader lease, from the request that a majority has answered. The others wait for at least
/// `ELECTION_TICKS` before an election; the difference is the tolerance for clocks that run at different rates.
pub const LEASE: Span = Span::millis(500);
/// Interval at which a leader renews its lease.
const LEASE_RENEWAL_INTERVAL: Span = Span::millis(100);
/// Records written since the last snapshot after which the log is compacted.
const COMPACT_AFTER_RECORDS: usize = 2_000;
/// Most bytes of entries in one message.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
/// Most unacknowledged messages to one member.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Most proposed entries that are not committed yet.
const MAX_PENDING_PROPOSALS: usize = 4_096;

/// A member of the group, as stored in its membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub site: String,
    /// Address for the other members.
    #[serde(rename = "at")]
    pub address: String,
    /// Address at which the service listens for clients.
    #[serde(rename = "serves")]
    pub service_address: String,
    /// Number of its disk. A member that lost its disk has to rejoin under the next number, as a new member.
    #[serde(default)]
    pub incarnation: u64,
}

/// Raft id of a member, computed from its name and incarnation; the same in every process.
pub fn member_id(name: &str, incarnation: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    ("member", name, incarnation).hash(&mut hasher);
    hasher.finish().max(1)
}

impl Member {
    /// Raft id of the member.
    pub fn id(&self) -> u64 {
        member_id(&self.name, self.incarnation)
    }
}

/// How a member starts if its disk is empty.
#[derive(Clone, Debug, PartialEq)]
pub enum Start {
    /// It founds the group together with these members. Each of them has to be started with the same list and data.
    Found { members: Vec<Member>, data: Vec<Vec<u8>> },
    /// It waits until it is added to an existing group.
    Join,
}

/// Why a member can't start.
#[derive(Debug, PartialEq)]
pub enum StartError {
    /// A record on its disk can't be decoded.
    Unreadable { record: usize },
    /// The disk belongs to another member.
    WrongDisk { found: u64, expected: u64 },
    /// The member is not in the list of founders.
    NotAMember { name: String },
    /// Raft reported an error.
    Raft(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Unreadable { record } => write!(f, "record {record} can't be read"),
            Self::WrongDisk { found, expected } => {
                write!(f, "the disk belongs to member {found:016x}, not to {expected:016x}")
            }
            Self::NotAMember { name } => write!(f, "{name} is not among the founding members"),
            Self::Raft(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for StartError {}

/// This member is not the leader, or can't accept proposals now.
#[derive(Clone, Debug, PartialEq)]
pub struct NotLeaderError {
    /// The current leader, if known.
    pub leader: Option<Member>,
}

/// An entry that the group has committed.
#[derive(Clone, Debug, PartialEq)]
pub struct CommittedEntry {
    pub index: u64,
    pub data: Vec<u8>,
}

/// What a step requires. `write` goes to disk in this order and is synced before anything else is done.
#[derive(Debug, Default)]
pub struct StepOutput {
    pub write: Vec<Vec<u8>>,
    /// Replaces all earlier records on disk.
    pub snapshot: Option<Vec<u8>>,
    /// Messages, by the id of the receiver.
    pub send: Vec<(u64, Vec<u8>)>,
    /// Newly committed entries.
    pub committed: Vec<CommittedEntry>,
    /// The data was replaced by a snapshot from another member; entries reported before no longer count.
    pub replaced: bool,
    /// It became leader in this term, and its data contains everything committed before.
    pub became_leader: Option<u64>,
    /// It is no longer leader.
    pub stepped_down: bool,
    /// The membership has changed.
    pub members_changed: bool,
}

impl StepOutput {
    /// Whether nothing is to be done.
    pub fn is_empty(&self) -> bool {
        self.write.is_empty()
            && self.snapshot.is_none()
            && self.send.is_empty()
            && self.committed.is_empty()
            && !(self.replaced || self.stepped_down || self.members_changed)
            && self.became_leader.is_none()
    }
}

/// Status of a member for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    pub name: String,
    pub term: u64,
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Whether it is leader and a majority has confirmed it recently.
    #[serde(rename = "may_speak")]
    pub holds_leader_lease: bool,
    pub leader: Option<String>,
    #[serde(rename = "agreed")]
    pub last_applied: u64,
    pub members: Vec<Member>,
    /// Names of the members that have sent a message within the last two seconds.
    #[serde(rename = "heard")]
    pub recently_heard: Vec<String>,
}

/// State machine of one member.
pub struct Replica {
    id: u64,
    disk: u64,
    name: String,
    node: RawNode<Store>,
    store: Store,
    members: BTreeMap<u64, Member>,
    /// Disk numbers of other members, by id.
    peer_disks: BTreeMap<u64, u64>,
    /// The committed data, as compacted by the service.
    data: Vec<Vec<u8>>,
    applied: u64,
    records_since_compaction: usize,
    /// Its term as leader, once everything from before that term is committed.
    leader_term: Option<u64>,
    lease_until: Moment,
    lease_requested: Moment,
    last_heard: BTreeMap<u64, Moment>,
    write: Vec<Vec<u8>>,
    pending_proposals: usize,
    has_lost_log: bool,
}

/// First piece of the data of a snapshot; the data of the service follows.
#[derive(Serialize, Deserialize)]
struct SnapshotHeader {
    members: Vec<Member>,
}

fn make_snapshot(
    members: &BTreeMap<u64, Member>,
    data: &[Vec<u8>],
    index: u64,
    term: u64,
    conf: ConfState,
) -> Snapshot {
    let header = SnapshotHeader { members: members.values().cloned().collect() };
    let mut pieces = vec![serde_json::to_vec(&header).unwrap_or_default()];
    pieces.extend(data.iter().cloned());
    let mut snapshot = Snapshot::default();
    snapshot.set_data(join(&pieces).into());
    snapshot.mut_metadata().set_conf_state(conf);
    snapshot.mut_metadata().index = index;
    snapshot.mut_metadata().term = term;
    snapshot
}

/// Members by their id.
type Members = BTreeMap<u64, Member>;

fn read_snapshot(snapshot: &Snapshot) -> Option<(Members, Vec<Vec<u8>>)> {
    let pieces = split(snapshot.get_data())?;
    let (header, data) = pieces.split_first()?;
    let header: SnapshotHeader = serde_json::from_slice(header).ok()?;
    Some((header.members.into_iter().map(|m| (m.id(), m)).collect(), data.to_vec()))
}

impl Replica {
    /// Restores a member from the records on its disk, or starts a new one. `disk` is a random number for a new disk.
    pub fn open(
        name: &str,
        incarnation: u64,
        records: &[Vec<u8>],
        start: Start,
        disk: u64,
        now: Moment,
    ) -> Result<Replica, StartError> {
        let id = member_id(name, incarnation);
        let store = Store::new();
        let (mut known, mut peer_disks) = (None, BTreeMap::new());
        let (mut members, mut data) = (BTreeMap::new(), Vec::new());
        let raft_error = |error: raft::Error| StartError::Raft(error.to_string());
        for (n, record) in records.iter().enumerate() {
            match Record::decode(record).ok_or(StartError::Unreadable { record: n })? {
                Record::Identity { id, disk } => known = Some((id, disk)),
                Record::PeerDisk { id, disk } => drop(peer_disks.insert(id, disk)),
                Record::HardState(hard) => store.set_hard_state(hard),
                Record::Entry(entry) => store.append(&[*entry]).map_err(raft_error)?,
                Record::Snapshot(snapshot) => {
                    let hard = store.hard_state();
                    store.restore(&snapshot).map_err(raft_error)?;
                    // A snapshot contains no vote, so a newer hard state from before it stays.
                    if hard.term > store.hard_state().term {
                        let mut merged = hard;
                        merged.commit = merged.commit.max(snapshot.get_metadata().index);
                        store.set_hard_state(merged);
                    }
                    (members, data) = read_snapshot(&snapshot).ok_or(StartError::Unreadable { record: n })?;
                }
            }
        }
        let mut write = Vec::new();
        match known {
            Some((found, _)) if found != id => return Err(StartError::WrongDisk { found, expected: id }),
            Some(_) => {}
            None => {
                write.push(Record::Identity { id, disk }.encode());
                if let Start::Found { members: founders, data: founding_data } = start {
                    members = founders.into_iter().map(|m| (m.id(), m)).collect();
                    if !members.contains_key(&id) {
                        return Err(StartError::NotAMember { name: name.into() });
                    }
                    let conf =
                        ConfState { voters: members.keys().copied().collect(), ..ConfState::default() };
                    // All founders start from the same snapshot, so that a member that joins later is sent a snapshot.
                    let snapshot = make_snapshot(&members, &founding_data, 1, 1, conf);
                    store.restore(&snapshot).map_err(raft_error)?;
                    write.push(Record::Snapshot(Box::new(snapshot)).encode());
                    data = founding_data;
                }
            }
        }
        let applied = store.snapshot.borrow().get_metadata().index;
        let config = Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        // Raft draws election timeouts with its own random generator; correctness does not depend on them.
        let node = RawNode::new(&config, store.clone(), &Logger::root(Discard, o!())).map_err(raft_error)?;
        Ok(Replica {
            id,
            disk: known.map_or(disk, |(_, disk)| disk),
            name: name.into(),
            node,
            store,
            members,
            peer_disks,
            data,
            applied,
            records_since_compaction: records.len(),
            leader_term: None,
            lease_until: Moment::default(),
            lease_requested: now,
            last_heard: BTreeMap::new(),
            write,
            pending_proposals: 0,
            has_lost_log: false,
        })
    }

    /// Raft id of this member.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Number of its disk, by which the others recognize it.
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// Checks the disk number of another member against the one from their first connection. False if it differs: that
    /// member has lost its disk and must not go on under the same id.
    pub fn verify_disk(&mut self, id: u64, disk: u64) -> bool {
        match self.peer_disks.get(&id) {
            Some(known) => *known == disk,
            None => {
                self.peer_disks.insert(id, disk);
                self.write.push(Record::PeerDisk { id, disk }.encode());
                true
            }
        }
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The member with this id.
    pub fn member(&self, id: u64) -> Option<&Member> {
        self.members.get(&id)
    }

    /// The committed data.
    pub fn data(&self) -> &[Vec<u8>] {
        &self.data
    }

    /// Advances the clock of Raft and renews the leader lease; to be called every [`TICK`].
    pub fn tick(&mut self, now: Moment) {
        self.node.tick();
        // A group of one member need not wait for the election timeout.
        let single = self.members.len() == 1 && self.members.contains_key(&self.id);
        if single && self.node.raft.state != StateRole::Leader {
            let _ = self.node.campaign();
        }
        if self.leader_term.is_some() && now.since(self.lease_requested) >= LEASE_RENEWAL_INTERVAL {
            self.lease_requested = now;
            self.node.read_index(now.micros().to_be_bytes().to_vec());
        }
    }

    /// Handles a message from another member.
    pub fn on_message(&mut self, bytes: &[u8], now: Moment) {
        let Ok(message) = Message::parse_from_bytes(bytes) else { return };
        // The message may be meant for another incarnation of this member.
        if message.to != self.id {
            return;
        }
        // The leader counts an entry as committed that this member had acknowledged but does not have: its disk was lost.
        let last_index = raft::Storage::last_index(&self.store).unwrap_or(0);
        if message.get_msg_type() == MessageType::MsgHeartbeat && message.commit > last_index {
            self.has_lost_log = true;
        }
        if self.has_lost_log {
            return;
        }
        self.last_heard.insert(message.from, now);
        let _ = self.node.step(message);
    }

    /// Whether its disk has lost entries that it had acknowledged. It must not go on under this id, since it might vote twice
    /// in one term.
    pub fn has_lost_log(&self) -> bool {
        self.has_lost_log
    }

    /// Reports that a member could not be reached, so that Raft sends it less.
    pub fn report_unreachable(&mut self, id: u64) {
        if self.node.raft.state == StateRole::Leader {
            self.node.report_unreachable(id);
        }
    }

    /// Whether it is leader and may answer clients now.
    pub fn holds_leader_lease(&self, now: Moment) -> bool {
        self.leader_term.is_some() && now < self.lease_until
    }

    /// The current leader, if known.
    pub fn leader(&self) -> Option<&Member> {
        self.members.get(&self.node.raft.leader_id)
    }

    /// The error for a request that another member has to handle.
    pub fn not_leader(&self) -> NotLeaderError {
        let leader = self.leader().filter(|leader| leader.id() != self.id);
        NotLeaderError { leader: leader.cloned() }
    }

    /// Proposes an entry. It is committed once a step returns it. If the leader steps down before that, the outcome is
    /// unknown.
    pub fn propose(&mut self, data: Vec<u8>) -> Result<(), NotLeaderError> {
        if self.leader_term.is_none() || self.pending_proposals >= MAX_PENDING_PROPOSALS {
            return Err(self.not_leader());
        }
        self.node.propose(Vec::new(), data).map_err(|_| self.not_leader())?;
        self.pending_proposals += 1;
        Ok(())
    }

    /// Adds a member. Only one change of the membership at a time; a name that is already a member is refused.
    pub fn add(&mut self, member: &Member) -> Result<(), String> {
        if let Some(known) = self.members.values().find(|m| m.name == member.name) {
            return Err(format!(
                "{} is a member already, with incarnation {}",
                known.name, known.incarnation
            ));
        }
        self.change(ConfChangeType::AddNode, member)
    }

    /// Removes a member by its name. The last one can't be removed.
    pub fn remove(&mut self, name: &str) -> Result<(), String> {
        let member = self.members.values().find(|m| m.name == name).cloned();
        let member = member.ok_or_else(|| format!("{name} is not a member"))?;
        if self.members.len() == 1 {
            return Err(format!("{name} is the last member"));
        }
        self.change(ConfChangeType::RemoveNode, &member)
    }

    fn change(&mut self, kind: ConfChangeType, member: &Member) -> Result<(), String> {
        if self.leader_term.is_none() {
            return Err("this member is not the leader".into());
        }
        if self.node.raft.has_pending_conf() {
            return Err("another membership change is in progress".into());
        }
        let mut change = ConfChange::default();
        change.set_change_type(kind);
        change.node_id = member.id();
        let context = serde_json::to_vec(member).unwrap_or_default();
        self.node.propose_conf_change(context, change).map_err(|error| error.to_string())
    }

    /// Returns what is to be done after the inputs so far. To be called until the output is empty.
    pub fn step(&mut self, now: Moment) -> StepOutput {
        let mut output = StepOutput { write: std::mem::take(&mut self.write), ..StepOutput::default() };
        if self.node.has_ready() {
            self.process_ready(&mut output, now);
        }
        let is_leader = self.node.raft.state == StateRole::Leader;
        if self.leader_term.is_some() && !is_leader
            || self.leader_term.is_some_and(|term| term != self.node.raft.term)
        {
            self.leader_term = None;
            self.lease_until = Moment::default();
            self.pending_proposals = 0;
            output.stepped_down = true;
        }
        // Once the first entry of its own term is committed, so are all entries before it.
        let has_applied =
            |term: u64| raft::Storage::term(&self.store, self.applied).is_ok_and(|at| at == term);
        if is_leader && self.leader_term.is_none() && has_applied(self.node.raft.term) {
            self.leader_term = Some(self.node.raft.term);
            output.became_leader = self.leader_term;
            self.lease_requested = now;
            self.node.read_index(now.micros().to_be_bytes().to_vec());
        }
        output
    }

    /// Processes what Raft has made ready.
    fn process_ready(&mut self, output: &mut StepOutput, now: Moment) {
        let mut ready = self.node.ready();
        self.send(ready.take_messages(), output);
        if !ready.snapshot().is_empty() {
            self.install_snapshot(ready.snapshot().clone(), output);
        }
        let committed = ready.take_committed_entries();
        for entry in ready.entries() {
            output.write.push(Record::Entry(Box::new(entry.clone())).encode());
        }
        let _ = self.store.append(ready.entries());
        if let Some(hard) = ready.hs() {
            self.store.set_hard_state(hard.clone());
            output.write.push(Record::HardState(hard.clone()).encode());
        }
        self.records_since_compaction += output.write.len();
        for state in ready.take_read_states() {
            self.renew_lease(&state.request_ctx, now);
        }
        self.send(ready.take_persisted_messages(), output);
        self.apply(committed, output);
        let mut light = self.node.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.store.set_commit(commit);
        }
        self.send(light.take_messages(), output);
        let committed = light.take_committed_entries();
        self.apply(committed, output);
        self.node.advance_apply();
    }

    fn send(&self, messages: Vec<Message>, output: &mut StepOutput) {
        let bytes = |message: Message| Some((message.to, message.write_to_bytes().ok()?));
        output.send.extend(messages.into_iter().filter_map(bytes));
    }

    fn renew_lease(&mut self, requested: &[u8], now: Moment) {
        let Some(requested) = requested.try_into().ok().map(u64::from_be_bytes) else { return };
        let requested = Moment::at_micros(requested);
        if requested <= now {
            self.lease_until = self.lease_until.max(requested + LEASE);
        }
    }

    fn install_snapshot(&mut self, snapshot: Snapshot, output: &mut StepOutput) {
        if self.store.restore(&snapshot).is_err() {
            return;
        }
        if let Some((members, data)) = read_snapshot(&snapshot) {
            (self.members, self.data) = (members, data);
        }
        self.applied = snapshot.get_metadata().index;
        output.write.push(Record::Snapshot(Box::new(snapshot)).encode());
        (output.replaced, output.members_changed) = (true, true);
    }

    fn apply(&mut self, entries: Vec<Entry>, output: &mut StepOutput) {
        for entry in entries {
            self.applied = self.applied.max(entry.index);
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.get_data().is_empty() => {}
                EntryType::EntryNormal => {
                    let data = entry.get_data().to_vec();
                    self.pending_proposals = self.pending_proposals.saturating_sub(1);
                    self.data.push(data.clone());
                    output.committed.push(CommittedEntry { index: entry.index, data });
                }
                _ => self.apply_change(&entry, output),
            }
        }
    }

    fn apply_change(&mut self, entry: &Entry, output: &mut StepOutput) {
        let Ok(change) = ConfChange::parse_from_bytes(entry.get_data()) else { return };
        let Ok(conf) = self.node.apply_conf_change(&change) else { return };
        self.store.set_members(conf);
        match change.get_change_type() {
            ConfChangeType::RemoveNode => drop(self.members.remove(&change.node_id)),
            _ => {
                let member: Option<Member> = serde_json::from_slice(entry.get_context()).ok();
                self.members.extend(member.map(|member| (member.id(), member)));
                // The new member needs a snapshot that lists it, so a compaction is due.
                self.records_since_compaction = COMPACT_AFTER_RECORDS;
            }
        }
        output.members_changed = true;
    }

    /// Whether the log has grown so much that it should be compacted.
    pub fn needs_compaction(&self) -> bool {
        self.records_since_compaction >= COMPACT_AFTER_RECORDS
    }

    /// Compacts the log to a snapshot with the data that the service still needs. The output contains only that snapshot.
    pub fn compact(&mut self, data: Vec<Vec<u8>>) -> StepOutput {
        let term = raft::Storage::term(&self.store, self.applied).unwrap_or(0);
        let Ok(state) = raft::Storage::initial_state(&self.store) else { return StepOutput::default() };
        let snapshot = make_snapshot(&self.members, &data, self.applied, term, state.conf_state);
        if self.store.compact(snapshot.clone()).is_err() {
            return StepOutput::default();
        }
        self.data = data;
        self.records_since_compaction = 0;
        let mut records = vec![Record::Identity { id: self.id, disk: self.disk }.encode()];
        records.extend(
            self.peer_disks.iter().map(|(id, disk)| Record::PeerDisk { id: *id, disk: *disk }.encode()),
        );
        records.push(Record::Snapshot(Box::new(snapshot)).encode());
        records.push(Record::HardState(self.store.hard_state()).encode());
        let (first, last) =
            (self.applied + 1, raft::Storage::last_index(&self.store).unwrap_or(self.applied));
        if last >= first {
            let context = raft::GetEntriesContext::empty(false);
            let remaining =
                raft::Storage::entries(&self.store, first, last + 1, None, context).unwrap_or_default();
            records.extend(remaining.into_iter().map(|entry| Record::Entry(Box::new(entry)).encode()));
        }
        StepOutput { snapshot: Some(join(&records)), ..StepOutput::default() }
    }

    /// Decodes the records of a compacted log.
    pub fn decode_snapshot(bytes: &[u8]) -> Option<Vec<Vec<u8>>> {
        split(bytes)
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// Whether it is leader, with or without a valid lease.
    pub fn is_leader(&self) -> bool {
        self.leader_term.is_some()
    }

    /// Status for operators.
    pub fn status(&self, now: Moment) -> ReplicaStatus {
        let recently =
            |id: &&u64| self.last_heard.get(*id).is_some_and(|at| now.since(*at) < Span::millis(2_000));
        ReplicaStatus {
            name: self.name.clone(),
            term: self.term(),
            is_leader: self.is_leader(),
            holds_leader_lease: self.holds_leader_lease(now),
            leader: self.leader().map(|m| m.name.clone()),
            last_applied: self.applied,
            members: self.members.values().cloned().collect(),
            recently_heard: self
                .members
                .keys()
                .filter(recently)
                .map(|id| self.members[id].name.clone())
                .collect(),
        }
    }
}
