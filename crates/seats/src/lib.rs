//! A member of a group on sockets and disk: [`Council`] joins the state machine of `harestage_group` to a log on disk, to
//! lines to the other members, and to the service that runs on it. Nothing here decides.
//!
//! Everything of a turn is written and synced before anything of it is sent, or told to the service.
mod disk;
pub mod host;
mod lines;
mod net;
mod recent;
mod waiting;

pub use disk::{CouncilError, Old};
pub use lines::{Answer, Call};
pub use recent::Recent;
pub use waiting::Waiting;

use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;
use harestage::time::Moment;
use harestage_group::{CommittedEntry, Member, NotLeaderError, Replica, ReplicaStatus, Start, StepOutput};
use harestage_segments::{Folder, Log};
use harestage_sockets::Spawner;
use harestage_sockets::clock::Clock;
use net::Post;
use slog::{Logger, error, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// Who this member is, and how it begins where its disk is empty.
#[derive(Clone, Debug, PartialEq)]
pub struct CouncilStart {
    pub name: String,
    pub incarnation: u64,
    /// Where other members reach it; none: it is alone.
    pub listen: Option<SocketAddr>,
    /// The founders, itself among them. Empty: it waits until a group takes it in.
    pub founders: Vec<Member>,
}

impl CouncilStart {
    /// Where this member is, as its founders say; nowhere for one that joins later or is alone.
    pub fn site(&self) -> String {
        let own = self.founders.iter().find(|member| member.name == self.name);
        own.map(|member| member.site.clone()).unwrap_or_default()
    }

    /// A group of one.
    pub fn alone(name: &str) -> CouncilStart {
        let member = Member {
            name: name.into(),
            site: String::new(),
            address: String::new(),
            service_address: String::new(),
            incarnation: 0,
        };
        CouncilStart { name: name.into(), incarnation: 0, listen: None, founders: vec![member] }
    }
}

/// What the service has to hear.
#[derive(Debug)]
pub enum News {
    /// Something was agreed on, whoever wanted it.
    Agreed(CommittedEntry),
    /// All that was agreed on was taken over whole: see [`Council::data`].
    Replaced,
    /// This member leads from now on, and has all that was agreed on before.
    Leads,
    SteppedDown,
    /// The disk takes nothing more, or is not the one that this member had: the program has to end.
    Broken,
}

/// Callers that a member that joins remembers.
const MOST_CALLERS: usize = 16;

pub struct Council {
    seat: RefCell<Replica>,
    disk: RefCell<Log<Folder>>,
    posts: RefCell<BTreeMap<u64, Rc<Post>>>,
    news: RefCell<VecDeque<News>>,
    pub clock: Clock,
    log: Logger,
    name: String,
    broken: Cell<bool>,
    spoke: Cell<bool>,
    /// Where it listens for other members, and who has called while it knew of no member: a group that takes it in.
    listen: Option<SocketAddr>,
    callers: RefCell<BTreeMap<u64, SocketAddr>>,
    /// The members, or what was agreed on, may have changed.
    changed: Event,
}

impl Council {
    /// Takes a member up from its folder. `first` is what a group that is founded begins with; a folder of the service's
    /// own older form is taken over by `old`.
    pub fn open(
        start: &CouncilStart,
        folder: &Path,
        first: Vec<Vec<u8>>,
        old: Old,
        clock: Clock,
        log: Logger,
    ) -> Result<Rc<Council>, CouncilError> {
        let opened = disk::open(folder, old)?;
        let begin = match (start.founders.is_empty(), opened.old) {
            (true, _) => Start::Join,
            (false, Some(data)) => Start::Found { members: start.founders.clone(), data },
            (false, None) => Start::Found { members: start.founders.clone(), data: first },
        };
        let number = rand::random();
        let (name, incarnation) = (&start.name, start.incarnation);
        let seat = Replica::open(name, incarnation, &opened.records, begin, number, clock.now())
            .map_err(|why| CouncilError::Start { path: folder.into(), why })?;
        let council = Council {
            seat: RefCell::new(seat),
            disk: RefCell::new(opened.log),
            posts: RefCell::default(),
            news: RefCell::default(),
            clock,
            log,
            name: start.name.clone(),
            broken: Cell::new(false),
            spoke: Cell::new(false),
            listen: start.listen,
            callers: RefCell::default(),
            changed: Event::new(),
        };
        if opened.was_old {
            // The old form must not be read again beside the new one.
            let data = council.data();
            let turn = council.seat.borrow_mut().step(clock.now());
            let whole = council.seat.borrow_mut().compact(data);
            drop(turn);
            council.keep(&whole).map_err(|why| CouncilError::Log { path: folder.into(), why })?;
        }
        Ok(Rc::new(council))
    }

    /// Starts ticks and sockets. `hear` is called with all that is new, and may call back; never while anything of this is
    /// borrowed.
    pub fn run(
        self: &Rc<Council>,
        listen: Option<SocketAddr>,
        spawner: &Spawner,
        hear: impl Fn(News) + 'static,
    ) -> Result<(), String> {
        let hear: Rc<dyn Fn(News)> = Rc::new(hear);
        if let Some(at) = listen {
            net::listen(self.clone(), at, spawner, hear.clone())?;
        }
        // A group of one has nobody to wait for.
        let now = self.clock.now();
        if self.seat.borrow().members().count() == 1 {
            self.seat.borrow_mut().tick(now);
            self.pump();
            self.hand_out(&*hear);
        }
        spawner.spawn(net::dial_members(self.clone(), spawner.clone(), hear.clone()));
        let council = self.clone();
        spawner.spawn(async move {
            loop {
                let now = council.clock.now();
                council.seat.borrow_mut().tick(now);
                council.pump();
                council.say_whether_it_speaks(now);
                council.hand_out(&*hear);
                Timer::after(Duration::from_micros(harestage_group::TICK.as_micros())).await;
            }
        });
        Ok(())
    }

    /// Hands the service what is new, in its order. What comes up meanwhile is handed out too.
    fn hand_out(&self, hear: &dyn Fn(News)) {
        loop {
            let next = self.news.borrow_mut().pop_front();
            match next {
                Some(news) => hear(news),
                None => return,
            }
        }
    }

    /// Carries out all turns that are due; what they bring waits for [`Council::take_news`].
    pub fn pump(&self) {
        loop {
            if self.broken.get() {
                return;
            }
            let turn = self.seat.borrow_mut().step(self.clock.now());
            if turn.is_empty() {
                break;
            }
            if let Err(why) = self.keep(&turn) {
                error!(self.log, "log not written"; "why" => %why);
                return self.end();
            }
            self.dispatch(turn);
        }
        if self.seat.borrow().has_lost_log() {
            error!(self.log, "this disk has lost what it had: the member has to come back as a new one");
            self.end();
        }
    }

    fn end(&self) {
        self.broken.set(true);
        self.news.borrow_mut().push_back(News::Broken);
        self.changed.notify(usize::MAX);
    }

    /// On disk when it returns well.
    fn keep(&self, turn: &StepOutput) -> Result<(), harestage_segments::LogError> {
        let mut disk = self.disk.borrow_mut();
        for record in &turn.write {
            disk.append(record)?;
        }
        if !turn.write.is_empty() {
            disk.sync()?;
        }
        if let Some(whole) = &turn.snapshot {
            disk.snapshot(whole)?;
        }
        Ok(())
    }

    fn dispatch(&self, turn: StepOutput) {
        for (to, bytes) in turn.send {
            if let Some(post) = self.posts.borrow().get(&to) {
                post.push(bytes);
            }
        }
        let mut news = self.news.borrow_mut();
        if turn.stepped_down {
            info!(self.log, "leads no more");
            news.push_back(News::SteppedDown);
        }
        if turn.replaced {
            news.push_back(News::Replaced);
        }
        news.extend(turn.committed.into_iter().map(News::Agreed));
        if let Some(term) = turn.became_leader {
            info!(self.log, "leads"; "group_term" => term);
            news.push_back(News::Leads);
        }
        if turn.members_changed {
            let names: Vec<String> = self.seat.borrow().members().map(|m| m.name.clone()).collect();
            info!(self.log, "members"; "names" => names.join(" "));
            self.changed.notify(usize::MAX);
        }
    }

    fn say_whether_it_speaks(&self, now: Moment) {
        let (speaks, leads) = (self.seat.borrow().holds_leader_lease(now), self.seat.borrow().is_leader());
        if speaks != self.spoke.replace(speaks) {
            match speaks {
                true => info!(self.log, "speaks"),
                false if leads => warn!(self.log, "speaks no more: most members have not answered"),
                false => info!(self.log, "speaks no more"),
            }
        }
    }

    /// Wants something to be agreed on; it comes back as news. Several go to disk with one sync: [`Council::pump`] follows
    /// the last of them.
    pub fn want(&self, data: Vec<u8>) -> Result<(), NotLeaderError> {
        if self.broken.get() {
            return Err(NotLeaderError { leader: None });
        }
        self.seat.borrow_mut().propose(data)
    }

    /// What has come up since it was last asked; for a service that has just proposed something.
    pub fn take_news(&self) -> Option<News> {
        self.news.borrow_mut().pop_front()
    }

    /// What was agreed on so far, as the service wants it kept.
    pub fn data(&self) -> Vec<Vec<u8>> {
        self.seat.borrow().data().to_vec()
    }

    /// Whether this member may tell anyone anything now.
    pub fn may_speak(&self) -> bool {
        !self.broken.get() && self.seat.borrow().holds_leader_lease(self.clock.now())
    }

    pub fn is_broken(&self) -> bool {
        self.broken.get()
    }

    /// Where the member that leads serves, as far as it is known and another one.
    pub fn elsewhere(&self) -> Option<String> {
        self.seat.borrow().not_leader().leader.map(|leader| leader.service_address)
    }

    pub fn status(&self) -> ReplicaStatus {
        self.seat.borrow().status(self.clock.now())
    }

    /// Writes the log whole where it has grown, with what `shorten` leaves of the data.
    pub fn tidy(&self, shorten: impl FnOnce(Vec<Vec<u8>>) -> Vec<Vec<u8>>) {
        if self.broken.get() || !self.seat.borrow().needs_compaction() {
            return;
        }
        let data = shorten(self.data());
        let turn = self.seat.borrow_mut().compact(data);
        if let Err(why) = self.keep(&turn) {
            error!(self.log, "log not written"; "why" => %why);
            self.end();
        }
    }

    /// What staff asks of the group.
    pub fn answer(&self, call: &Call) -> Answer {
        let changed = match call {
            Call::GroupStatus => return Answer::GroupStatus(Box::new(self.status())),
            _ if !self.may_speak() => return Answer::Elsewhere(self.elsewhere()),
            Call::GroupAdd { member } => self.seat.borrow_mut().add(member),
            Call::GroupRemove { name } => self.seat.borrow_mut().remove(name),
        };
        self.pump();
        match changed {
            Ok(()) => Answer::GroupChanging,
            Err(why) => Answer::Refused(why),
        }
    }

    /// Everyone to whom it keeps a line: the members but itself; and as long as it knows of none, those who called.
    fn others(&self) -> Vec<net::Other> {
        let seat = self.seat.borrow();
        let other = |member: &Member| net::Other {
            id: member.id(),
            name: member.name.clone(),
            at: member.address.clone(),
        };
        let others: Vec<net::Other> = seat.members().filter(|m| m.id() != seat.id()).map(other).collect();
        if seat.members().next().is_some() {
            self.callers.borrow_mut().clear();
            return others;
        }
        let caller = |(id, at): (&u64, &SocketAddr)| net::Other {
            id: *id,
            name: format!("{id:016x}"),
            at: at.to_string(),
        };
        self.callers.borrow().iter().map(caller).collect()
    }

    fn is_called_by(&self, id: u64, at: SocketAddr) {
        let mut callers = self.callers.borrow_mut();
        let knows_nobody = self.seat.borrow().members().next().is_none();
        if knows_nobody && callers.len() < MOST_CALLERS && callers.insert(id, at) != Some(at) {
            self.changed.notify(usize::MAX);
        }
    }

    /// Where others reach this member, as they know it; else where it listens.
    fn own_place(&self) -> String {
        let seat = self.seat.borrow();
        let listed = seat.member(seat.id()).map(|member| member.address.clone());
        listed.or(self.listen.map(|at| at.to_string())).unwrap_or_default()
    }

    /// Waits for a change of members, or so long.
    async fn changed(&self, at_most: Duration) {
        until(&self.changed, at_most).await;
    }
}

/// Waits for an event from now on, or so long.
pub async fn until(event: &Event, at_most: Duration) {
    let listener = event.listen();
    or(listener, async {
        Timer::after(at_most).await;
    })
    .await;
}
