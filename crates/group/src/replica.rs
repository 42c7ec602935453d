//! One member of a group.
//!
//! The right to speak: a leader asks the others, under the moment at which it asks, whether they still follow it, and may
//! tell anyone anything for [`LEASE`] after that moment once most have answered. A leader that was stopped and wakes up
//! has no such answer that is young enough; answers that waited in its sockets meanwhile are to questions as old as its
//! sleep. The lease is shorter than the time after which others would choose another, so that no two may speak.
use crate::store::{Record, Store, join, part};
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

/// To be called as often.
pub const TICK: Span = Span::millis(50);
/// Ticks without a word of the leader after which another is chosen, at least; up to twice as many by chance.
const ELECTION_TICKS: usize = 13;
const HEARTBEAT_TICKS: usize = 2;
/// For how long a leader may speak after it asked what most have answered. The others wait for at least
/// `ELECTION_TICKS`; clocks of members may run apart by the rest.
pub const LEASE: Span = Span::millis(500);
/// A leader asks so often.
const ASKS_EVERY: Span = Span::millis(100);
/// Entries after which the log is written whole.
const WHOLE_AFTER: usize = 2_000;
/// Bytes of entries in one message, and such messages on their way to one member.
const MESSAGE_BYTES: u64 = 1 << 20;
const MESSAGES: usize = 64;
/// Entries that wait to be agreed on.
const MOST_PENDING: usize = 4_096;

/// A member as all know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub site: String,
    /// Where other members reach it.
    #[serde(rename = "at")]
    pub address: String,
    /// Where the service itself listens.
    #[serde(rename = "serves")]
    pub service_address: String,
    /// Counts its disks: one that lost its disk comes back under the next number, as another member.
    #[serde(default)]
    pub incarnation: u64,
}

/// Of a name and its disk's number; the same everywhere.
pub fn member_id(name: &str, incarnation: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    ("member", name, incarnation).hash(&mut hasher);
    hasher.finish().max(1)
}

impl Member {
    pub fn id(&self) -> u64 {
        member_id(&self.name, self.incarnation)
    }
}

/// How a member begins where its disk holds nothing.
#[derive(Clone, Debug, PartialEq)]
pub enum Start {
    /// The group is founded with these; each of them is started so, with the same list.
    Found { members: Vec<Member>, data: Vec<Vec<u8>> },
    /// It waits until a group takes it in.
    Join,
}

/// Why a member can't begin.
#[derive(Debug, PartialEq)]
pub enum StartError {
    /// A record of its disk says nothing that this program knows.
    Unreadable {
        record: usize,
    },
    /// The disk is another member's.
    WrongDisk {
        found: u64,
        expected: u64,
    },
    NotAMember {
        name: String,
    },
    Raft(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Unreadable { record } => write!(f, "record {record} can't be read"),
            Self::WrongDisk { found: is, expected } => {
                write!(f, "the disk is that of member {is:016x}, and not of {expected:016x}")
            }
            Self::NotAMember { name } => write!(f, "{name} is not among the members"),
            Self::Raft(why) => write!(f, "{why}"),
        }
    }
}

impl std::error::Error for StartError {}

/// This member does not lead, or may not speak now.
#[derive(Clone, Debug, PartialEq)]
pub struct NotLeaderError {
    /// Who leads, as far as it is known.
    pub leader: Option<Member>,
}

/// Something the group has agreed on.
#[derive(Clone, Debug, PartialEq)]
pub struct CommittedEntry {
    pub index: u64,
    pub data: Vec<u8>,
}

/// What a turn brings. What is in `write` goes to disk, in this order, and is synced before anything else is done.
#[derive(Debug, Default)]
pub struct StepOutput {
    pub write: Vec<Vec<u8>>,
    /// This stands for all records before it.
    pub snapshot: Option<Vec<u8>>,
    pub send: Vec<(u64, Vec<u8>)>,
    pub committed: Vec<CommittedEntry>,
    /// The data was taken over whole from another member; what was agreed on before does not count any more.
    pub replaced: bool,
    /// It leads from now on, under this term, and everything that was agreed on before is in its data.
    pub became_leader: Option<u64>,
    /// It leads no more.
    pub stepped_down: bool,
    /// The list of members has changed.
    pub members_changed: bool,
}

impl StepOutput {
    pub fn is_empty(&self) -> bool {
        self.write.is_empty()
            && self.snapshot.is_none()
            && self.send.is_empty()
            && self.committed.is_empty()
            && !(self.replaced || self.stepped_down || self.members_changed)
            && self.became_leader.is_none()
    }
}

/// For `status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    pub name: String,
    pub term: u64,
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// It leads, and most of the others have said so lately.
    #[serde(rename = "may_speak")]
    pub holds_leader_lease: bool,
    pub leader: Option<String>,
    #[serde(rename = "agreed")]
    pub last_applied: u64,
    pub members: Vec<Member>,
    /// Members that a leader has heard of lately, by name.
    #[serde(rename = "heard")]
    pub recently_heard: Vec<String>,
}

pub struct Replica {
    me: u64,
    disk: u64,
    name: String,
    node: RawNode<Store>,
    store: Store,
    members: BTreeMap<u64, Member>,
    met: BTreeMap<u64, u64>,
    /// What was agreed on, as the service wants it kept.
    data: Vec<Vec<u8>>,
    applied: u64,
    since_whole: usize,
    /// The term under which it leads, once all before is agreed on.
    leading: Option<u64>,
    lease_until: Moment,
    asked: Moment,
    heard: BTreeMap<u64, Moment>,
    write: Vec<Vec<u8>>,
    pending: usize,
    forgot: bool,
}

/// What the service's data and the members are in a snapshot.
#[derive(Serialize, Deserialize)]
struct Body {
    members: Vec<Member>,
}

fn snapshot_of(
    members: &BTreeMap<u64, Member>,
    data: &[Vec<u8>],
    index: u64,
    term: u64,
    conf: ConfState,
) -> Snapshot {
    let body = Body { members: members.values().cloned().collect() };
    let mut pieces = vec![serde_json::to_vec(&body).unwrap_or_default()];
    pieces.extend(data.iter().cloned());
    let mut snapshot = Snapshot::default();
    snapshot.set_data(join(&pieces).into());
    snapshot.mut_metadata().set_conf_state(conf);
    snapshot.mut_metadata().index = index;
    snapshot.mut_metadata().term = term;
    snapshot
}

type Members = BTreeMap<u64, Member>;

fn read_snapshot(snapshot: &Snapshot) -> Option<(Members, Vec<Vec<u8>>)> {
    let pieces = part(snapshot.get_data())?;
    let (body, data) = pieces.split_first()?;
    let body: Body = serde_json::from_slice(body).ok()?;
    Some((body.members.into_iter().map(|m| (m.id(), m)).collect(), data.to_vec()))
}

impl Replica {
    /// Takes a member up from its disk's records, or begins one. `disk` is a number drawn by chance, for a new disk.
    pub fn open(
        name: &str,
        incarnation: u64,
        records: &[Vec<u8>],
        start: Start,
        disk: u64,
        now: Moment,
    ) -> Result<Replica, StartError> {
        let me = member_id(name, incarnation);
        let store = Store::new();
        let (mut known, mut met) = (None, BTreeMap::new());
        let (mut members, mut data) = (BTreeMap::new(), Vec::new());
        let raft = |why: raft::Error| StartError::Raft(why.to_string());
        for (n, record) in records.iter().enumerate() {
            match Record::read(record).ok_or(StartError::Unreadable { record: n })? {
                Record::Who { id, disk } => known = Some((id, disk)),
                Record::Met { id, disk } => drop(met.insert(id, disk)),
                Record::Hard(hard) => store.set_hard(hard),
                Record::Entry(entry) => store.append(&[*entry]).map_err(raft)?,
                Record::Snapshot(snapshot) => {
                    let hard = store.hard();
                    store.restore(&snapshot).map_err(raft)?;
                    // A snapshot says less of votes than what was written before it.
                    if hard.term > store.hard().term {
                        let mut kept = hard;
                        kept.commit = kept.commit.max(snapshot.get_metadata().index);
                        store.set_hard(kept);
                    }
                    (members, data) = read_snapshot(&snapshot).ok_or(StartError::Unreadable { record: n })?;
                }
            }
        }
        let mut write = Vec::new();
        match known {
            Some((is, _)) if is != me => return Err(StartError::WrongDisk { found: is, expected: me }),
            Some(_) => {}
            None => {
                write.push(Record::Who { id: me, disk }.write());
                if let Start::Found { members: founders, data: first } = start {
                    members = founders.into_iter().map(|m| (m.id(), m)).collect();
                    if !members.contains_key(&me) {
                        return Err(StartError::NotAMember { name: name.into() });
                    }
                    let conf =
                        ConfState { voters: members.keys().copied().collect(), ..ConfState::default() };
                    // All founders begin with the same entry behind them, so that whoever joins later is sent it whole.
                    let snapshot = snapshot_of(&members, &first, 1, 1, conf);
                    store.restore(&snapshot).map_err(raft)?;
                    write.push(Record::Snapshot(Box::new(snapshot)).write());
                    data = first;
                }
            }
        }
        let applied = store.snapshot.borrow().get_metadata().index;
        let config = Config {
            id: me,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            max_size_per_msg: MESSAGE_BYTES,
            max_inflight_msgs: MESSAGES,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        // Election times are drawn by Raft's own generator; nothing of the agreement depends on them.
        let node = RawNode::new(&config, store.clone(), &Logger::root(Discard, o!())).map_err(raft)?;
        Ok(Replica {
            me,
            disk: known.map_or(disk, |(_, disk)| disk),
            name: name.into(),
            node,
            store,
            members,
            met,
            data,
            applied,
            since_whole: records.len(),
            leading: None,
            lease_until: Moment::default(),
            asked: now,
            heard: BTreeMap::new(),
            write,
            pending: 0,
            forgot: false,
        })
    }

    pub fn id(&self) -> u64 {
        self.me
    }

    /// The number of its disk, which others know it by.
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// Another member says who it is. False: it is under the id of one whose disk was another, and lost its own.
    pub fn verify_disk(&mut self, id: u64, disk: u64) -> bool {
        match self.met.get(&id) {
            Some(known) => *known == disk,
            None => {
                self.met.insert(id, disk);
                self.write.push(Record::Met { id, disk }.write());
                true
            }
        }
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub fn member(&self, id: u64) -> Option<&Member> {
        self.members.get(&id)
    }

    /// What was agreed on so far.
    pub fn data(&self) -> &[Vec<u8>] {
        &self.data
    }

    pub fn tick(&mut self, now: Moment) {
        self.node.tick();
        // A group of one needs no election's wait.
        let alone = self.members.len() == 1 && self.members.contains_key(&self.me);
        if alone && self.node.raft.state != StateRole::Leader {
            let _ = self.node.campaign();
        }
        if self.leading.is_some() && now.since(self.asked) >= ASKS_EVERY {
            self.asked = now;
            self.node.read_index(now.micros().to_be_bytes().to_vec());
        }
    }

    /// Bytes that another member sent.
    pub fn on_message(&mut self, bytes: &[u8], now: Moment) {
        let Ok(message) = Message::parse_from_bytes(bytes) else { return };
        // What is meant for another incarnation of this member is not for this one.
        if message.to != self.me {
            return;
        }
        // It is told that something was agreed on that it said to have: its disk is not the one that it had.
        let has = raft::Storage::last_index(&self.store).unwrap_or(0);
        if message.get_msg_type() == MessageType::MsgHeartbeat && message.commit > has {
            self.forgot = true;
        }
        if self.forgot {
            return;
        }
        self.heard.insert(message.from, now);
        let _ = self.node.step(message);
    }

    /// Its disk has lost what it said that it had: it may not go on under this id, since it would vote twice.
    pub fn has_lost_log(&self) -> bool {
        self.forgot
    }

    /// A member could not be reached: Raft sends it less.
    pub fn report_unreachable(&mut self, id: u64) {
        if self.node.raft.state == StateRole::Leader {
            self.node.report_unreachable(id);
        }
    }

    /// Whether it leads and may tell anyone anything at this moment.
    pub fn holds_leader_lease(&self, now: Moment) -> bool {
        self.leading.is_some() && now < self.lease_until
    }

    pub fn leader(&self) -> Option<&Member> {
        self.members.get(&self.node.raft.leader_id)
    }

    pub fn not_leader(&self) -> NotLeaderError {
        let leader = self.leader().filter(|leader| leader.id() != self.me);
        NotLeaderError { leader: leader.cloned() }
    }

    /// Wants something to be agreed on. It is done with when it comes back in a turn; a step down before that leaves it
    /// open whether it ever will.
    pub fn propose(&mut self, data: Vec<u8>) -> Result<(), NotLeaderError> {
        if self.leading.is_none() || self.pending >= MOST_PENDING {
            return Err(self.not_leader());
        }
        self.node.propose(Vec::new(), data).map_err(|_| self.not_leader())?;
        self.pending += 1;
        Ok(())
    }

    /// Takes a member in. One at a time; a name that is a member already is refused.
    pub fn add(&mut self, member: &Member) -> Result<(), String> {
        if let Some(known) = self.members.values().find(|m| m.name == member.name) {
            return Err(format!("{} is a member already, as number {}", known.name, known.incarnation));
        }
        self.change(ConfChangeType::AddNode, member)
    }

    pub fn remove(&mut self, name: &str) -> Result<(), String> {
        let member = self.members.values().find(|m| m.name == name).cloned();
        let member = member.ok_or_else(|| format!("{name} is no member"))?;
        if self.members.len() == 1 {
            return Err(format!("{name} is the last member"));
        }
        self.change(ConfChangeType::RemoveNode, &member)
    }

    fn change(&mut self, kind: ConfChangeType, member: &Member) -> Result<(), String> {
        if self.leading.is_none() {
            return Err("this member does not lead".into());
        }
        if self.node.raft.has_pending_conf() {
            return Err("another change of members is under way".into());
        }
        let mut change = ConfChange::default();
        change.set_change_type(kind);
        change.node_id = member.id();
        let context = serde_json::to_vec(member).unwrap_or_default();
        self.node.propose_conf_change(context, change).map_err(|why| why.to_string())
    }

    /// What has come of all that came in. Call it until it brings nothing more.
    pub fn step(&mut self, now: Moment) -> StepOutput {
        let mut turn = StepOutput { write: std::mem::take(&mut self.write), ..StepOutput::default() };
        if self.node.has_ready() {
            self.ready(&mut turn, now);
        }
        let leads = self.node.raft.state == StateRole::Leader;
        if self.leading.is_some() && !leads || self.leading.is_some_and(|term| term != self.node.raft.term) {
            self.leading = None;
            self.lease_until = Moment::default();
            self.pending = 0;
            turn.stepped_down = true;
        }
        // Everything before its own first entry is agreed on once that is.
        let own = |term: u64| raft::Storage::term(&self.store, self.applied).is_ok_and(|at| at == term);
        if leads && self.leading.is_none() && own(self.node.raft.term) {
            self.leading = Some(self.node.raft.term);
            turn.became_leader = self.leading;
            self.asked = now;
            self.node.read_index(now.micros().to_be_bytes().to_vec());
        }
        turn
    }

    fn ready(&mut self, turn: &mut StepOutput, now: Moment) {
        let mut ready = self.node.ready();
        self.send(ready.take_messages(), turn);
        if !ready.snapshot().is_empty() {
            self.take_over(ready.snapshot().clone(), turn);
        }
        let agreed = ready.take_committed_entries();
        for entry in ready.entries() {
            turn.write.push(Record::Entry(Box::new(entry.clone())).write());
        }
        let _ = self.store.append(ready.entries());
        if let Some(hard) = ready.hs() {
            self.store.set_hard(hard.clone());
            turn.write.push(Record::Hard(hard.clone()).write());
        }
        self.since_whole += turn.write.len();
        for state in ready.take_read_states() {
            self.heard_by_most(&state.request_ctx, now);
        }
        self.send(ready.take_persisted_messages(), turn);
        self.apply(agreed, turn);
        let mut light = self.node.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.store.set_commit(commit);
        }
        self.send(light.take_messages(), turn);
        let agreed = light.take_committed_entries();
        self.apply(agreed, turn);
        self.node.advance_apply();
    }

    fn send(&self, messages: Vec<Message>, turn: &mut StepOutput) {
        let bytes = |message: Message| Some((message.to, message.write_to_bytes().ok()?));
        turn.send.extend(messages.into_iter().filter_map(bytes));
    }

    fn heard_by_most(&mut self, asked: &[u8], now: Moment) {
        let Some(asked) = asked.try_into().ok().map(u64::from_be_bytes) else { return };
        let asked = Moment::at_micros(asked);
        if asked <= now {
            self.lease_until = self.lease_until.max(asked + LEASE);
        }
    }

    fn take_over(&mut self, snapshot: Snapshot, turn: &mut StepOutput) {
        if self.store.restore(&snapshot).is_err() {
            return;
        }
        if let Some((members, data)) = read_snapshot(&snapshot) {
            (self.members, self.data) = (members, data);
        }
        self.applied = snapshot.get_metadata().index;
        turn.write.push(Record::Snapshot(Box::new(snapshot)).write());
        (turn.replaced, turn.members_changed) = (true, true);
    }

    fn apply(&mut self, entries: Vec<Entry>, turn: &mut StepOutput) {
        for entry in entries {
            self.applied = self.applied.max(entry.index);
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.get_data().is_empty() => {}
                EntryType::EntryNormal => {
                    let data = entry.get_data().to_vec();
                    self.pending = self.pending.saturating_sub(1);
                    self.data.push(data.clone());
                    turn.committed.push(CommittedEntry { index: entry.index, data });
                }
                _ => self.apply_change(&entry, turn),
            }
        }
    }

    fn apply_change(&mut self, entry: &Entry, turn: &mut StepOutput) {
        let Ok(change) = ConfChange::parse_from_bytes(entry.get_data()) else { return };
        let Ok(conf) = self.node.apply_conf_change(&change) else { return };
        self.store.set_members(conf);
        match change.get_change_type() {
            ConfChangeType::RemoveNode => drop(self.members.remove(&change.node_id)),
            _ => {
                let member: Option<Member> = serde_json::from_slice(entry.get_context()).ok();
                self.members.extend(member.map(|member| (member.id(), member)));
                // Whoever has nothing yet is sent everything whole, and that has to name it as a member.
                self.since_whole = WHOLE_AFTER;
            }
        }
        turn.members_changed = true;
    }

    /// Whether the log has grown so much that it is worth writing whole.
    pub fn needs_compaction(&self) -> bool {
        self.since_whole >= WHOLE_AFTER
    }

    /// Writes the log whole, with what the service wants kept of its data. The turn that comes back is empty but for that.
    pub fn compact(&mut self, data: Vec<Vec<u8>>) -> StepOutput {
        let term = raft::Storage::term(&self.store, self.applied).unwrap_or(0);
        let Ok(state) = raft::Storage::initial_state(&self.store) else { return StepOutput::default() };
        let snapshot = snapshot_of(&self.members, &data, self.applied, term, state.conf_state);
        if self.store.compact(snapshot.clone()).is_err() {
            return StepOutput::default();
        }
        self.data = data;
        self.since_whole = 0;
        let mut records = vec![Record::Who { id: self.me, disk: self.disk }.write()];
        records.extend(self.met.iter().map(|(id, disk)| Record::Met { id: *id, disk: *disk }.write()));
        records.push(Record::Snapshot(Box::new(snapshot)).write());
        records.push(Record::Hard(self.store.hard()).write());
        let (first, last) =
            (self.applied + 1, raft::Storage::last_index(&self.store).unwrap_or(self.applied));
        if last >= first {
            let context = raft::GetEntriesContext::empty(false);
            let left =
                raft::Storage::entries(&self.store, first, last + 1, None, context).unwrap_or_default();
            records.extend(left.into_iter().map(|entry| Record::Entry(Box::new(entry)).write()));
        }
        StepOutput { snapshot: Some(join(&records)), ..StepOutput::default() }
    }

    /// The records of a log that was written whole.
    pub fn decode_snapshot(bytes: &[u8]) -> Option<Vec<Vec<u8>>> {
        part(bytes)
    }

    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// Whether it leads, may it speak or not.
    pub fn is_leader(&self) -> bool {
        self.leading.is_some()
    }

    pub fn status(&self, now: Moment) -> ReplicaStatus {
        let lately = |id: &&u64| self.heard.get(*id).is_some_and(|at| now.since(*at) < Span::millis(2_000));
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
                .filter(lately)
                .map(|id| self.members[id].name.clone())
                .collect(),
        }
    }
}
