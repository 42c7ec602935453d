//! A member of a replicated group on sockets and disk. [`GroupMember`] connects the state machine of `harestage_group` to
//! a log on disk, to connections to the other members, and to the service that runs on the group. It makes no decisions.
//!
//! All writes of a step are synced before anything of that step is sent or passed to the service.
mod disk;
pub mod host;
mod messages;
mod peers;
mod pending_effects;
mod recent_items;

pub use disk::{GroupMemberError, LegacyReader};
pub use messages::{GroupRequest, GroupResponse};
pub use pending_effects::PendingEffects;
pub use recent_items::RecentItems;

use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;
use harestage::time::Moment;
use harestage_group::{CommittedEntry, Member, NotLeaderError, Replica, ReplicaStatus, Start, StepOutput};
use harestage_segments::{Folder, Log};
use harestage_sockets::Spawner;
use harestage_sockets::clock::Clock;
use peers::{Outbox, Peer};
use slog::{Logger, error, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// The identity of a group member, and how it starts if its disk is empty.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupMemberConfig {
    pub name: String,
    pub incarnation: u64,
    /// Address at which other members reach it. None if it is the only member.
    pub listen: Option<SocketAddr>,
    /// Initial members of the group, including itself. If empty, it waits until it is added to a group.
    pub founders: Vec<Member>,
}

impl GroupMemberConfig {
    /// Returns the site of this member from the list of founders, or an empty string if it joins later or is alone.
    pub fn site(&self) -> String {
        let local = self.founders.iter().find(|member| member.name == self.name);
        local.map(|member| member.site.clone()).unwrap_or_default()
    }

    /// Returns the configuration of the only member of a group.
    pub fn standalone(name: &str) -> GroupMemberConfig {
        let member = Member {
            name: name.into(),
            site: String::new(),
            address: String::new(),
            service_address: String::new(),
            incarnation: 0,
        };
        GroupMemberConfig { name: name.into(), incarnation: 0, listen: None, founders: vec![member] }
    }
}

/// An event that the service on the group has to handle.
#[derive(Debug)]
pub enum GroupEvent {
    /// An entry was committed, whichever member proposed it.
    Committed(CommittedEntry),
    /// The committed data was replaced by a snapshot of another member: see [`GroupMember::data`].
    DataReplaced,
    /// This member is the leader from now on, and has everything that was committed before.
    BecameLeader,
    SteppedDown,
    /// The disk can't be written, or is not the one that this member had before. The process has to end.
    Failed,
}

/// Maximum number of callers that a joining member remembers.
const MAX_CALLERS: usize = 16;

/// A group member with its log and its connections to the others.
pub struct GroupMember {
    replica: RefCell<Replica>,
    disk: RefCell<Log<Folder>>,
    outboxes: RefCell<BTreeMap<u64, Rc<Outbox>>>,
    events: RefCell<VecDeque<GroupEvent>>,
    pub clock: Clock,
    log: Logger,
    name: String,
    failed: Cell<bool>,
    /// Whether it held the leader lease at the last tick, to log changes.
    held_lease: Cell<bool>,
    /// Address at which it listens for other members.
    listen: Option<SocketAddr>,
    /// Members that connected while this one knew of no member, which happens when a group adds it.
    callers: RefCell<BTreeMap<u64, SocketAddr>>,
    /// Notified when the list of members or callers may have changed, and on failure.
    members_changed: Event,
}

impl GroupMember {
    /// Opens a member from its folder. `initial_data` is the data of a newly founded group. A folder in the unreplicated
    /// format of the service is converted by `read_legacy`.
    pub fn open(
        config: &GroupMemberConfig,
        folder: &Path,
        initial_data: Vec<Vec<u8>>,
        read_legacy: LegacyReader,
        clock: Clock,
        log: Logger,
    ) -> Result<Rc<GroupMember>, GroupMemberError> {
        let opened = disk::open(folder, read_legacy)?;
        let founding = match (config.founders.is_empty(), opened.legacy_data) {
            (true, _) => Start::Join,
            (false, Some(data)) => Start::Found { members: config.founders.clone(), data },
            (false, None) => Start::Found { members: config.founders.clone(), data: initial_data },
        };
        let disk_id = rand::random();
        let (name, incarnation) = (&config.name, config.incarnation);
        let replica = Replica::open(name, incarnation, &opened.records, founding, disk_id, clock.now())
            .map_err(|reason| GroupMemberError::Start { path: folder.into(), reason })?;
        let group_member = GroupMember {
            replica: RefCell::new(replica),
            disk: RefCell::new(opened.log),
            outboxes: RefCell::default(),
            events: RefCell::default(),
            clock,
            log,
            name: config.name.clone(),
            failed: Cell::new(false),
            held_lease: Cell::new(false),
            listen: config.listen,
            callers: RefCell::default(),
            members_changed: Event::new(),
        };
        if opened.was_legacy {
            // Writes a snapshot, so that the old format is not read again together with new records.
            let data = group_member.data();
            let step = group_member.replica.borrow_mut().step(clock.now());
            let snapshot = group_member.replica.borrow_mut().compact(data);
            drop(step);
            group_member
                .persist(&snapshot)
                .map_err(|reason| GroupMemberError::Log { path: folder.into(), reason })?;
        }
        Ok(Rc::new(group_member))
    }

    /// Starts the ticks and the sockets. `on_event` is called with each event. It may call methods of this member: no
    /// `RefCell` of it is borrowed during the call.
    pub fn run(
        self: &Rc<GroupMember>,
        listen: Option<SocketAddr>,
        spawner: &Spawner,
        on_event: impl Fn(GroupEvent) + 'static,
    ) -> Result<(), String> {
        let on_event: Rc<dyn Fn(GroupEvent)> = Rc::new(on_event);
        if let Some(address) = listen {
            peers::listen(self.clone(), address, spawner, on_event.clone())?;
        }
        // The only member of a group can become the leader at once.
        let now = self.clock.now();
        if self.replica.borrow().members().count() == 1 {
            self.replica.borrow_mut().tick(now);
            self.pump();
            self.deliver_events(&*on_event);
        }
        spawner.spawn(peers::connect_to_peers(self.clone(), spawner.clone(), on_event.clone()));
        let group_member = self.clone();
        spawner.spawn(async move {
            loop {
                let now = group_member.clock.now();
                group_member.replica.borrow_mut().tick(now);
                group_member.pump();
                group_member.log_lease_change(now);
                group_member.deliver_events(&*on_event);
                Timer::after(Duration::from_micros(harestage_group::TICK.as_micros())).await;
            }
        });
        Ok(())
    }

    /// Delivers queued events to the service in order, including those that are added meanwhile.
    fn deliver_events(&self, on_event: &dyn Fn(GroupEvent)) {
        loop {
            let next = self.events.borrow_mut().pop_front();
            match next {
                Some(event) => on_event(event),
                None => return,
            }
        }
    }

    /// Runs all steps of the replica that are due. Their events are queued for [`GroupMember::next_event`].
    pub fn pump(&self) {
        loop {
            if self.failed.get() {
                return;
            }
            let step = self.replica.borrow_mut().step(self.clock.now());
            if step.is_empty() {
                break;
            }
            if let Err(error) = self.persist(&step) {
                error!(self.log, "log not written"; "why" => %error);
                return self.fail();
            }
            self.dispatch(step);
        }
        if self.replica.borrow().has_lost_log() {
            error!(self.log, "log on disk is incomplete: the member has to rejoin under a new incarnation");
            self.fail();
        }
    }

    fn fail(&self) {
        self.failed.set(true);
        self.events.borrow_mut().push_back(GroupEvent::Failed);
        self.members_changed.notify(usize::MAX);
    }

    /// Writes the records and the snapshot of a step to disk. They are synced when this returns `Ok`.
    fn persist(&self, step: &StepOutput) -> Result<(), harestage_segments::LogError> {
        let mut disk = self.disk.borrow_mut();
        for record in &step.write {
            disk.append(record)?;
        }
        if !step.write.is_empty() {
            disk.sync()?;
        }
        if let Some(snapshot) = &step.snapshot {
            disk.snapshot(snapshot)?;
        }
        Ok(())
    }

    fn dispatch(&self, step: StepOutput) {
        for (to, bytes) in step.send {
            if let Some(outbox) = self.outboxes.borrow().get(&to) {
                outbox.push(bytes);
            }
        }
        let mut events = self.events.borrow_mut();
        if step.stepped_down {
            info!(self.log, "stepped down");
            events.push_back(GroupEvent::SteppedDown);
        }
        if step.replaced {
            events.push_back(GroupEvent::DataReplaced);
        }
        events.extend(step.committed.into_iter().map(GroupEvent::Committed));
        if let Some(term) = step.became_leader {
            info!(self.log, "leads"; "group_term" => term);
            events.push_back(GroupEvent::BecameLeader);
        }
        if step.members_changed {
            let names: Vec<String> = self.replica.borrow().members().map(|m| m.name.clone()).collect();
            info!(self.log, "members"; "names" => names.join(" "));
            self.members_changed.notify(usize::MAX);
        }
    }

    fn log_lease_change(&self, now: Moment) {
        let (holds_lease, is_leader) =
            (self.replica.borrow().holds_leader_lease(now), self.replica.borrow().is_leader());
        if holds_lease != self.held_lease.replace(holds_lease) {
            match holds_lease {
                true => info!(self.log, "speaks"),
                false if is_leader => warn!(self.log, "speaks no more: no recent answers from a majority"),
                false => info!(self.log, "speaks no more"),
            }
        }
    }

    /// Proposes an entry. Once committed, it comes back as an event. Several proposals are written with one sync: call
    /// [`GroupMember::pump`] after the last one.
    pub fn propose(&self, data: Vec<u8>) -> Result<(), NotLeaderError> {
        if self.failed.get() {
            return Err(NotLeaderError { leader: None });
        }
        self.replica.borrow_mut().propose(data)
    }

    /// Returns the next queued event, for a service that has just proposed entries.
    pub fn next_event(&self) -> Option<GroupEvent> {
        self.events.borrow_mut().pop_front()
    }

    /// Returns the committed entries, as compacted by the service.
    pub fn data(&self) -> Vec<Vec<u8>> {
        self.replica.borrow().data().to_vec()
    }

    /// Returns whether this member is the leader and holds the lease, so that it may respond to clients.
    pub fn holds_leader_lease(&self) -> bool {
        !self.failed.get() && self.replica.borrow().holds_leader_lease(self.clock.now())
    }

    /// Returns whether the disk can't be written or is not this member's. The process has to end then.
    pub fn has_failed(&self) -> bool {
        self.failed.get()
    }

    /// Returns the service address of the leader, if it is known and another member.
    pub fn leader_service_address(&self) -> Option<String> {
        self.replica.borrow().not_leader().leader.map(|leader| leader.service_address)
    }

    /// Returns the status of the group as this member sees it.
    pub fn status(&self) -> ReplicaStatus {
        self.replica.borrow().status(self.clock.now())
    }

    /// Replaces the log by a snapshot if it has grown. `compact` returns the data that is still needed.
    pub fn compact_log(&self, compact: impl FnOnce(Vec<Vec<u8>>) -> Vec<Vec<u8>>) {
        if self.failed.get() || !self.replica.borrow().needs_compaction() {
            return;
        }
        let data = compact(self.data());
        let step = self.replica.borrow_mut().compact(data);
        if let Err(error) = self.persist(&step) {
            error!(self.log, "log not written"; "why" => %error);
            self.fail();
        }
    }

    /// Handles a request of an operator about the group.
    pub fn handle_request(&self, request: &GroupRequest) -> GroupResponse {
        let result = match request {
            GroupRequest::GroupStatus => return GroupResponse::GroupStatus(Box::new(self.status())),
            _ if !self.holds_leader_lease() => {
                return GroupResponse::NotLeader(self.leader_service_address());
            }
            GroupRequest::GroupAdd { member } => self.replica.borrow_mut().add(member),
            GroupRequest::GroupRemove { name } => self.replica.borrow_mut().remove(name),
        };
        self.pump();
        match result {
            Ok(()) => GroupResponse::GroupChanging,
            Err(reason) => GroupResponse::Refused(reason),
        }
    }

    /// Returns the peers that it connects to: all other members, or its callers as long as it knows of no member.
    fn peers(&self) -> Vec<Peer> {
        let replica = self.replica.borrow();
        let to_peer = |member: &Member| Peer {
            id: member.id(),
            name: member.name.clone(),
            address: member.address.clone(),
        };
        let peers: Vec<Peer> = replica.members().filter(|m| m.id() != replica.id()).map(to_peer).collect();
        if replica.members().next().is_some() {
            self.callers.borrow_mut().clear();
            return peers;
        }
        let to_peer = |(id, address): (&u64, &SocketAddr)| Peer {
            id: *id,
            name: format!("{id:016x}"),
            address: address.to_string(),
        };
        self.callers.borrow().iter().map(to_peer).collect()
    }

    /// Remembers a caller if this member knows of no other one yet.
    fn on_caller(&self, id: u64, address: SocketAddr) {
        let mut callers = self.callers.borrow_mut();
        let knows_no_members = self.replica.borrow().members().next().is_none();
        if knows_no_members && callers.len() < MAX_CALLERS && callers.insert(id, address) != Some(address) {
            self.members_changed.notify(usize::MAX);
        }
    }

    /// Returns the address of this member in the list of members, or else the one at which it listens.
    fn local_address(&self) -> String {
        let replica = self.replica.borrow();
        let registered = replica.member(replica.id()).map(|member| member.address.clone());
        registered.or(self.listen.map(|address| address.to_string())).unwrap_or_default()
    }

    /// Waits for a change of members or callers, at most for `timeout`.
    async fn wait_for_member_change(&self, timeout: Duration) {
        wait_for_event(&self.members_changed, timeout).await;
    }
}

/// Waits for the next notification of an event, at most for `timeout`.
pub async fn wait_for_event(event: &Event, timeout: Duration) {
    let listener = event.listen();
    or(listener, async {
        Timer::after(timeout).await;
    })
    .await;
}
