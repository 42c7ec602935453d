//! What a hub decides: whom it answers with what, where it fills from, when it leaves a wait, and what it keeps. Events
//! come in with their moment, orders go out in a list. No socket, no clock, no chance: the same events give the same
//! orders.
use crate::store::{self, Copy, HIGHEST_RANK, Named, Store};
use bytes::Bytes;
use harestage::ring::Ring;
use harestage::state::Remark;
use harestage::time::{Moment, Span};
use harestage_audit::acting::{Acting, OLD, Wanted, Who};
use harestage_audit::chain::Outcome;
use harestage_audit::lines::{Bring, Role};
use harestage_audit::record::ContentNo;
use harestage_audit::stamp::{Goes, Stamp};
use harestage_copies::record::Marks;
use harestage_copies::shelf::Meta;
use harestage_purge::scope::Checked;
use harestage_restart::pace::{Bears, Pace as Climb};
use harestage_restart::stage::{Fact, Stage as StartStage, Start};
use harestage_shape::control::{LoopSeen, Report};
use harestage_shape::form::ShapeForm;
use harestage_shape::knots::{self, Act, Key, Knot, Knots};
use harestage_shape::parts::{Part, Share};
use harestage_shape::route::{self, Next};
use harestage_shape::shield::{ANSWERS_WITHIN, Reply, Right, Shield};
use harestage_shape::tree::{ARCHIVE, Place, PlaceIx, Shape, Versions, warmth};
use harestage_sites::budget::Budget;
use harestage_sites::ration::{self, Ration, Refusals, Want};
use harestage_sites::sight::{Sight, Sighting};
use harestage_sites::standby::{Planned, Standby, Turn};
use harestage_sites::watch::SILENCE;
use harestage_wire::fields::Hex;
use harestage_wire::node::{Answer, Asked, CopyTag, Given, Word};
use harestage_wire::peer::{Chase, Mark, Way};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

pub type ConnNo = u64;
pub type PullNo = u64;
type BellNo = (Moment, u64);

/// A fill that its source leaves without an answer for as long goes to the next, while there is time for that.
const STALLED: Span = Span::millis(1_500);
/// Of what it can do at its age, what a hub takes in a second; past it, what is worth least is refused.
const TAKES: f64 = 0.9;
/// Repeated attempts that each first one pays for.
const REPEATS: f64 = 0.2;
/// Questions to other sites that are remembered.
const MOST_ASKS: u64 = 4_096;
/// A source whose connection was refused, or broke, is passed by for as long.
const PASSED_BY: Span = Span::millis(1_000);
/// The archive turned a fetch away: it goes again after it, so often at most.
const AGAIN: Span = Span::millis(60);
const MOST_AGAIN: u32 = 3;
/// The rank of a copy whose pull names none.
const USUAL_RANK: u8 = 1;
const BEAT: Span = Span::millis(50);
/// Somebody at each other site is asked as often.
const LOOKS_EVERY: Span = Span::millis(100);
/// Questions in a row without an answer after which a whole site is passed by, here and for now: nobody else need agree.
const SITE_SILENT: u32 = 4;
/// A clock that is off by less counts as right.
const SKEWED: Span = Span::millis(2_000);
/// What is remembered beside copies is written down so often, where nothing else changes.
const MARKS_EVERY_MS: u64 = 1_000;
/// Loops that wait to be reported.
const MOST_LOOPS: usize = 256;

/// What bounds a desk.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub store_bytes: usize,
    /// Fills under way, and pulls that wait for them.
    pub fills: usize,
    pub waiters: usize,
}

/// How long copies of a content type are fresh, and how long past that they may do. None: until they are purged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Keeping {
    pub fresh: Option<Span>,
    pub grace: Span,
    /// What a download of it is worth.
    pub benefit: f64,
}

/// A place that is asked: its name in the shape, and its address.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    pub name: String,
    pub address: String,
}

#[derive(Clone, Debug)]
pub enum News {
    Asked {
        conn: ConnNo,
        asked: Box<Asked>,
    },
    Cancelled {
        conn: ConnNo,
        id: Hex,
    },
    Gone {
        conn: ConnNo,
    },
    Answered {
        pull: PullNo,
        answer: Answer,
        copy: Option<CopyTag>,
    },
    /// No answer will come: the connection never came up, or broke.
    Lost {
        pull: PullNo,
    },
    Chased(Chase),
    Told(Box<ShapeForm>),
    Part {
        part: Part,
        asked: Moment,
    },
    Purged {
        named: Named,
        at: Moment,
    },
    /// A purge of the service of purges.
    Covered {
        scope: Box<Checked>,
        at: Moment,
    },
    /// Nothing is to be taken from these, and from nobody else is it forbidden.
    Fenced(BTreeSet<String>),
    /// All purges that live are known.
    KnowsPurges,
    /// A hub of another site has answered, and named the sites from which it hears nothing itself.
    Seen {
        ask: PullNo,
        leaving: bool,
        unseen: Vec<String>,
    },
    /// What this hub is to do where a site is lost and no service speaks.
    Plans {
        version: u64,
        term: u64,
        plans: Vec<Planned>,
    },
    /// All purges up to that number are applied.
    HasPurges(u64),
    /// The keeper of the audit wants something of it.
    Wanted(Box<Wanted>),
    /// A copy from its disk; none: it can't be had, or is not what it was.
    Read {
        key: Key,
        copy: Option<Copy>,
    },
    /// The control service speaks, whatever it has said.
    ServiceSpoke,
    /// Whoever refuses a pull says when to come again; its answer follows.
    ComeAgain {
        pull: PullNo,
        after: Span,
    },
    /// What a hub calls itself.
    Named {
        addressed: String,
        own: String,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Answer {
        conn: ConnNo,
        given: Given,
    },
    Pull {
        pull: PullNo,
        to: Peer,
        ask: Ask,
    },
    Cancel {
        pull: PullNo,
    },
    Chase {
        to: Peer,
        chase: Chase,
    },
    /// Asks a hub of another site whether it is there.
    Look {
        ask: PullNo,
        to: Peer,
    },
    /// A circle of waits was found here, and broken.
    Broke(Knot),
    /// It goes by another plan from now on, for the log.
    Turned(Turn),
    /// The keeper of the audit wants it to start anew.
    StartAnew(String),
    /// Its start has come to another stage.
    Started(harestage_restart::stage::Turn),
    /// A copy is wanted from its disk, is to be kept there, and some are to go from there.
    Read {
        key: Key,
    },
    Keep {
        meta: Meta,
        body: Bytes,
    },
    Unkeep {
        keys: Vec<Key>,
    },
    /// What is to be remembered beside the copies.
    Mark(Marks),
}

/// A pull as the wire's request needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    pub content: Bytes,
    pub object: u64,
    pub part: u32,
    pub waits: Span,
    pub oldest_ms: Option<u64>,
    pub only_held: bool,
    pub no_copy: bool,
    /// None: it goes to the archive, which is not ours.
    pub way: Option<Way>,
    pub mark: Option<Mark>,
}

/// A pull of somebody below that waits for a fill.
struct Waiter {
    conn: ConnNo,
    id: Hex,
    until: Moment,
    oldest: Option<Span>,
    held: Option<Bytes>,
    /// It did not begin the fill.
    joined: bool,
    /// A hub of ours: told also what the platform's protocol has no field for.
    ours: bool,
}

enum Stage {
    /// A former home is asked for the right to fetch.
    Asking {
        pull: PullNo,
        whom: PlaceIx,
    },
    Waiting {
        pull: PullNo,
        on: PlaceIx,
    },
    Fetching {
        pull: PullNo,
    },
    /// It is on this hub's own disk.
    Reading,
    /// For its turn at the archive, or for a right that was given away.
    Resting,
}

struct Fill {
    content: Bytes,
    waiters: Vec<Waiter>,
    stage: Stage,
    /// Where it is not to be filled from.
    avoid: Vec<PlaceIx>,
    /// Former homes that have answered.
    asked: Vec<PlaceIx>,
    version: u64,
    rank: u8,
    no_copy: bool,
    begun: Moment,
    /// When its last pull went out.
    sent: Moment,
    until: Moment,
    again: u32,
    /// A source that refused it wants it back no sooner.
    come: Option<Moment>,
    /// It broke a circle: it fetches for all in it, whoever is home.
    forced: bool,
    /// It had its turn at the archive's gate asked for already.
    queued: bool,
    bell: Option<BellNo>,
}

#[derive(Clone, Copy)]
enum Bell {
    Fill(Key),
    Waiter(Key),
    Beat,
    Look,
}

/// How long something takes now, against what it usually takes.
struct Pace {
    recent: Ring,
    usual: Option<f64>,
}

/// Of each new value in the usual one.
const PACE_WEIGHT: f64 = 0.02;
/// Fewer in a second say nothing, nor does what takes less than so many seconds.
const PACE_LEAST: (f64, f64) = (5.0, 0.005);

impl Default for Pace {
    fn default() -> Pace {
        Pace { recent: Ring::new(Span::millis(250), 4), usual: None }
    }
}

impl Pace {
    fn add(&mut self, now: Moment, seconds: f64) {
        self.recent.add(now, seconds);
        let usual = self.usual.unwrap_or(seconds);
        self.usual = Some(usual + (seconds - usual) * PACE_WEIGHT);
    }

    /// 1 is usual.
    fn slowness(&self, now: Moment) -> f64 {
        let recent = self.recent.mean(now).filter(|_| self.recent.count(now) >= PACE_LEAST.0);
        recent.zip(self.usual).map_or(1.0, |(recent, usual)| recent / usual.max(PACE_LEAST.1))
    }
}

/// One hub.
pub struct Desk {
    name: String,
    bounds: Bounds,
    contents: HashMap<Bytes, Keeping>,
    store: Store,
    versions: Versions,
    knots: Knots,
    shield: Shield,
    share: Share,
    fills: HashMap<Key, Fill>,
    /// Pulls below, so that a cancel finds its fill.
    waiting: HashMap<(ConnNo, Hex), Key>,
    pulls: HashMap<PullNo, Key>,
    aside: BTreeMap<PlaceIx, Moment>,
    bells: BTreeMap<BellNo, Bell>,
    rung: u64,
    last_pull: PullNo,
    orders: Vec<Order>,
    loops: Vec<LoopSeen>,
    fetches: Ring,
    asked: Ring,
    /// How long fills took, and fetches at the archive among them.
    lasted: Pace,
    fetched: Pace,
    hits: Ring,
    fenced: BTreeSet<String>,
    /// It follows a service of purges, and does not know yet from whom it may take copies.
    unknowing: bool,
    /// It follows no service.
    alone: bool,
    /// The site that it is at, and what it sees of others.
    site: String,
    sight: Sight,
    /// Who is asked next at each other site.
    asked_next: usize,
    /// What is refused first where not all fits, and how much is repeated. Both only for a hub that is at a site.
    ration: Ration,
    budget: Budget,
    drawn: u64,
    /// Pulls that were refused lately, so that their second tries are told apart.
    refusals: Refusals,
    /// Questions that are on their way, by the pull number that stands for them: who was asked, where, and its number.
    asks: HashMap<PullNo, (String, String, u64)>,
    /// What it does about a lost site while no service speaks, and the newest version by that.
    standby: Standby,
    planned: Option<Shape>,
    /// What it acted on, where there is a keeper; the content types by their places in that record, and those of pulls that
    /// are not answered yet.
    audit: Option<Acting>,
    content_numbers: HashMap<Bytes, ContentNo>,
    asked_of: HashMap<(ConnNo, Hex), ContentNo>,
    has_purges: u64,
    term: u64,
    /// What is on its disk, and how its start goes; without a disk a start is over at once.
    kept: HashMap<Key, Meta>,
    has_disk: bool,
    start: Start,
    climb: Climb,
    climb_tokens: f64,
    climb_filled: Moment,
    marks: Marks,
    /// How far the archive's time is behind this hub's, once a fetch has shown it; and until then whether the clock of this
    /// start can be doubted.
    skew: Option<i64>,
    /// False: the way that others are measured against, in which a new home fetches without asking the old one.
    hands_over: bool,
}

impl Desk {
    pub fn open(name: &str, bounds: Bounds, contents: HashMap<Bytes, Keeping>, now: Moment) -> Desk {
        let mut desk = Desk {
            name: name.into(),
            store: Store::new(bounds.store_bytes),
            bounds,
            contents,
            versions: Versions::default(),
            knots: Knots::new(name),
            shield: Shield::default(),
            share: Share::new(now),
            fills: HashMap::new(),
            waiting: HashMap::new(),
            pulls: HashMap::new(),
            aside: BTreeMap::new(),
            bells: BTreeMap::new(),
            rung: 0,
            last_pull: 0,
            orders: Vec::new(),
            loops: Vec::new(),
            fetches: Ring::new(Span::millis(250), 4),
            asked: Ring::new(Span::millis(250), 4),
            lasted: Pace::default(),
            fetched: Pace::default(),
            hits: Ring::new(Span::millis(1_000), 4),
            fenced: BTreeSet::new(),
            unknowing: false,
            alone: false,
            site: String::new(),
            sight: Sight::default(),
            asked_next: 0,
            ration: Ration::new(now),
            budget: Budget::new(REPEATS, now),
            drawn: 0,
            refusals: Refusals::new(now),
            asks: HashMap::new(),
            standby: Standby::new(now),
            planned: None,
            audit: None,
            content_numbers: HashMap::new(),
            asked_of: HashMap::new(),
            has_purges: 0,
            term: 0,
            kept: HashMap::new(),
            has_disk: false,
            start: Start::over(now),
            climb: Climb::begin(now),
            climb_tokens: 0.0,
            climb_filled: now,
            marks: Marks::default(),
            skew: None,
            hands_over: true,
        };
        desk.set(now + BEAT, Bell::Beat);
        desk
    }

    /// There is no service to get a part of the archive from: the shape's equal part is this hub's.
    pub fn stands_alone(&mut self) {
        self.alone = true;
    }

    /// It is at a site, and looks at the others.
    pub fn is_at(&mut self, site: &str, now: Moment) {
        self.site = site.into();
        if !site.is_empty() {
            self.set(now + LOOKS_EVERY, Bell::Look);
        }
    }

    /// A service of purges has to tell all that lives before anything is taken from anyone.
    pub fn waits_for_purges(&mut self) {
        self.unknowing = true;
    }

    /// What its disk has held through the time that it was away. Nothing of it counts before the purges that may cover it
    /// are known; `no_purges` says that nobody tells of any.
    pub fn has_kept(&mut self, metas: Vec<Meta>, marks: Marks, no_purges: bool, now: Moment) {
        self.kept = metas.into_iter().map(|meta| (meta.key, meta)).collect();
        (self.has_disk, self.marks) = (true, marks);
        self.climb = Climb::begin(now);
        self.climb.usually(marks.fetched);
        self.start = Start::begin(now);
        self.start.hear(Fact::Read { copies: !self.kept.is_empty() });
        if no_purges {
            self.start.hear(Fact::NoPurges);
        }
    }

    /// Staff holds its start where it is, or lets it go on.
    pub fn hold_start(&mut self, held: bool) {
        self.start.hear(if held { Fact::Held } else { Fact::Released });
    }

    /// Where its start is, and why it waits.
    pub fn start(&self) -> &Start {
        &self.start
    }

    /// Copies on its disk.
    pub fn kept(&self) -> usize {
        self.kept.len()
    }

    /// What it does is recorded from now on, and the keeper may have pulls refused.
    pub fn is_audited(&mut self, start: u64, build: &str, settings: u64, now: Moment) {
        let mut names: Vec<Bytes> = self.contents.keys().cloned().collect();
        names.sort();
        let contents = names.iter().map(|name| String::from_utf8_lossy(name).into_owned()).collect();
        self.content_numbers = names.into_iter().enumerate().map(|(n, name)| (name, n)).collect();
        let who = Who {
            member: self.name.clone(),
            start,
            role: Role::Hub,
            site: self.site.clone(),
            place: self.name.clone(),
        };
        let goes = Goes { build: build.into(), settings, ..Goes::default() };
        self.audit = Some(Acting::begin(who, contents, goes, now));
    }

    pub fn audit(&mut self) -> Option<&mut Acting> {
        self.audit.as_mut()
    }

    /// For measurements only: homes move without being handed over.
    pub fn without_handover(&mut self) {
        self.hands_over = false;
    }

    pub fn next_bell(&self) -> Option<Moment> {
        self.bells.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes in what has come up to `now`, then what is due by then.
    pub fn step(&mut self, now: Moment, news: impl Iterator<Item = News>) -> Vec<Order> {
        news.for_each(|news| self.take_in(news, now));
        while let Some(first) = self.bells.first_entry().filter(|first| first.key().0 <= now) {
            let bell = first.remove();
            self.ring(bell, now);
        }
        self.record(now);
        std::mem::take(&mut self.orders)
    }

    /// Counts what this turn has ordered, and under what.
    fn record(&mut self, now: Moment) {
        let plan = self.standby.without().iter().cloned().collect::<Vec<_>>().join("+");
        let (shape, purge, term) = (self.version(), self.has_purges, self.term);
        let Some(audit) = &mut self.audit else { return };
        if (audit.goes().shape, audit.goes().purge, audit.goes().term) != (shape, purge, term)
            || audit.goes().plan != plan
        {
            let goes = Goes { shape, purge, term, plan, ..audit.goes().clone() };
            audit.goes_by(goes, now);
        }
        for order in &self.orders {
            match order {
                Order::Answer { conn, given } => {
                    let Some(content) = self.asked_of.remove(&(*conn, given.id)) else { continue };
                    let outcome = match given.word {
                        Word::Good | Word::StillGood => Outcome::Fulfilled,
                        Word::Full => Outcome::Throttled,
                        Word::Lacks | Word::Failed | Word::TooLate => Outcome::Abandoned,
                    };
                    audit.ended(content, outcome, given.id.number(), now);
                    given.copy.iter().for_each(|copy| audit.recorder().gave(copy.dated_ms));
                }
                Order::Pull { to, .. } => audit.recorder().pulled(&to.name, now),
                _ => {}
            }
        }
    }

    fn wanted(&mut self, wanted: Wanted, now: Moment) {
        match wanted {
            Wanted::Restart(why) => self.orders.push(Order::StartAnew(why)),
            Wanted::Take(bring) => self.brought(bring, now),
        }
    }

    /// A version that came by the keeper, since the service could not be heard.
    fn brought(&mut self, bring: Bring, now: Moment) {
        match bring {
            Bring::Whole { shape, plans } => {
                let version = shape.version;
                self.told(&shape, now);
                self.handed(version, plans, now);
            }
            Bring::Difference { from, to, ties } => {
                let Some(own) = self.versions.newest().filter(|own| own.version() == from) else { return };
                let mut form = own.form();
                form.version = to;
                for (place, up) in ties {
                    form.hubs.iter_mut().filter(|hub| hub.name == place).for_each(|hub| hub.up = up.clone());
                }
                self.told(&form, now);
            }
            Bring::Listing { .. } | Bring::Restart { .. } => {}
        }
    }

    fn take_in(&mut self, news: News, now: Moment) {
        match news {
            News::Asked { conn, asked } => self.asked(conn, *asked, now),
            News::Cancelled { conn, id } => self.left(conn, id),
            News::Gone { conn } => {
                let of_conn = self.waiting.keys().filter(|(c, _)| *c == conn);
                let mut ids: Vec<Hex> = of_conn.map(|(_, id)| *id).collect();
                ids.sort_by_key(Hex::number);
                ids.into_iter().for_each(|id| self.left(conn, id));
            }
            News::Answered { pull, answer, copy } => self.answered(pull, answer, copy, now),
            News::Lost { pull } => self.lost(pull, now),
            News::Chased(chase) => {
                let key = (chase.object.number(), chase.part);
                let chase = knots::Chase { key, path: chase.path, closed: chase.closed };
                let act = self.knots.chased(chase, now);
                self.act(act, now);
            }
            News::Told(form) => {
                self.service_spoke(now);
                self.told(&form, now);
            }
            News::Part { part, asked } => {
                self.service_spoke(now);
                self.share.told(part, asked, now);
            }
            News::Plans { version, term, plans } => {
                self.term = self.term.max(term);
                self.handed(version, plans, now);
            }
            News::HasPurges(number) => {
                self.has_purges = number;
                // Behind all that went because of them.
                self.remember(now);
            }
            News::Read { key, copy } => self.read(key, copy, now),
            News::Wanted(wanted) => self.wanted(*wanted, now),
            News::ServiceSpoke => self.service_spoke(now),
            News::ComeAgain { pull, after } => {
                let fill = self.pulls.get(&pull).and_then(|key| self.fills.get_mut(key));
                fill.into_iter().for_each(|fill| fill.come = Some(now + after));
            }
            News::Purged { named, at } => {
                self.store.purge(named, at, now);
                self.unkeep(at, |meta| match named {
                    Named::Object(object) => meta.key.0 == object,
                    Named::Group(group) => meta.group.is_none_or(|own| own == group),
                });
            }
            News::Covered { scope, at } => {
                self.store.purge_scope(&scope, at, now);
                self.unkeep(at, |meta| store::covers(&scope, meta.key, meta.group));
            }
            News::Fenced(fenced) => self.fence(fenced, now),
            News::KnowsPurges => {
                self.unknowing = false;
                self.start.hear(Fact::PurgesKnown);
            }
            News::Seen { ask, leaving, unseen } => self.seen(ask, leaving, &unseen, now),
            News::Named { addressed, own } => self.knots.known_as(&addressed, &own),
        }
    }

    fn set(&mut self, at: Moment, bell: Bell) -> BellNo {
        self.rung += 1;
        self.bells.insert((at, self.rung), bell);
        (at, self.rung)
    }

    /// A version that does not hold is passed over whole; the service checks it before it hands it out.
    fn told(&mut self, form: &ShapeForm, now: Moment) {
        let shape = match self.versions.newest() {
            Some(newest) if form.version <= newest.version() => return,
            Some(newest) => newest.followed_by(form),
            None => Shape::of(form),
        };
        let shape = match shape {
            Ok(shape) => shape,
            Err(wrong) => {
                let why = wrong.first().map(ToString::to_string).unwrap_or_default();
                return self.audit.iter_mut().for_each(|audit| audit.refuses(form.version, &why));
            }
        };
        let (archive, tops) = (shape.archive(), shape.tops().len());
        self.share.known(archive.capacity * archive.stops_at, tops, self.alone);
        self.versions.enter(shape, now);
        self.start.hear(Fact::Shape);
        // What rests may have another way now.
        let mut resting: Vec<Key> = self
            .fills
            .iter()
            .filter(|(_, f)| matches!(f.stage, Stage::Resting))
            .map(|(key, _)| *key)
            .collect();
        resting.sort_unstable();
        resting.into_iter().for_each(|key| self.advance(key, now));
    }

    pub fn version(&self) -> u64 {
        self.versions.newest().map_or(0, Shape::version)
    }

    fn me(&self, shape: &Shape) -> PlaceIx {
        // A hub that no version names yet still serves what it holds; its fills go the usual way from nowhere.
        shape.find(&self.name).unwrap_or(PlaceIx(u32::MAX))
    }

    /// Hubs that lack a purge: what waits for them goes elsewhere, since what they give may be older.
    fn fence(&mut self, fenced: BTreeSet<String>, now: Moment) {
        self.fenced = fenced;
        let waits_there = |fill: &Fill| match fill.stage {
            Stage::Asking { pull, whom: place } | Stage::Waiting { pull, on: place } => {
                let named =
                    self.versions.get(fill.version).is_some_and(|s| self.fenced.contains(s.name(place)));
                named.then_some((pull, place))
            }
            _ => None,
        };
        let mut due: Vec<_> = self.fills.iter().filter_map(|(k, f)| Some((*k, waits_there(f)?))).collect();
        due.sort_unstable();
        for (key, (pull, place)) in due {
            self.cancel(pull);
            if let Some(fill) = self.fills.get_mut(&key) {
                fill.avoid.push(place);
                fill.asked.push(place);
            }
            self.advance(key, now);
        }
    }

    // What comes from below.

    fn asked(&mut self, conn: ConnNo, asked: Asked, now: Moment) {
        self.asked.add(now, 1.0);
        if self.audit.is_some() && !self.takes_mark(conn, &asked, now) {
            return;
        }
        // Writes run at the archive and nowhere else: two of them must never pass for one fill.
        if !asked.body.is_empty() {
            return self.refuse(conn, asked.id, Word::Full, Remark::SourceRefused);
        }
        let key = (asked.object.number(), asked.part);
        let keeping = self.contents.get(&asked.content).copied();
        if let ration::Answer::ComeAgain(after) = self.takes(conn, &asked, keeping, now) {
            self.refusals.note(&(conn, key), now);
            return self.refuse_until(conn, asked.id, asked.way.is_some().then_some(after));
        }
        let fresh = keeping.and_then(|k| k.fresh);
        let oldest = asked.oldest_ms.map(Span::millis).or(fresh);
        let good = self.good_copy(key, oldest, now);
        self.hits.add(now, f64::from(u8::from(good.is_some())));
        if let Some(way) = asked.way.as_ref().filter(|way| way.hand_over) {
            let by = way.path.last().cloned().unwrap_or_default();
            let under_way = self.fills.contains_key(&key);
            let reply = self.shield.asked(key, &by, good.is_some(), under_way, now);
            return self.hand_over(conn, asked.id, reply, good);
        }
        if let Some(copy) = good {
            let aged = fresh.is_some_and(|fresh| now.since(copy.dated) > fresh);
            let remark = if aged { Remark::Aged } else { Remark::Hit };
            let given = give(asked.id, &copy, asked.held.as_ref(), asked.way.is_some(), remark, 0.0);
            self.orders.push(Order::Answer { conn, given });
            if aged && asked.renew && !self.fills.contains_key(&key) && self.fills.len() < self.bounds.fills {
                self.begin(key, &asked, now);
                self.advance(key, now);
            }
            return;
        }
        if self.has_on_disk(key, oldest, now) && !self.fills.contains_key(&key) && !asked.only_held {
            return self.fill_from_disk(conn, key, asked, oldest, now);
        }
        if asked.only_held || asked.source.is_none() {
            let remark = if self.fills.contains_key(&key) { Remark::Joined } else { Remark::Nothing };
            return self.refuse(conn, asked.id, Word::Lacks, remark);
        }
        self.fill_for(conn, key, asked, oldest, now);
    }

    /// Records under what a pull was made. False: it was refused for that, and never ran.
    fn takes_mark(&mut self, conn: ConnNo, asked: &Asked, now: Moment) -> bool {
        if let Some(number) = self.content_numbers.get(&asked.content) {
            self.asked_of.insert((conn, asked.id), *number);
        }
        let Some((audit, mark)) = self.audit.as_mut().zip(asked.mark.as_ref()) else { return true };
        // What can't be read as a stamp is the oldest there is.
        let stamp = mark.stamp.parse().unwrap_or(Stamp::default());
        let takes = audit.takes(&mark.by, &mark.place, stamp, now);
        if !takes {
            let (word, remark, first_ms) = (Word::Full, Remark::SourceRefused, 0.0);
            let (copy, body, come_ms, why) = (None, Bytes::new(), None, Some(OLD));
            let given = Given { id: asked.id, word, remark, first_ms, copy, body, come_ms, why };
            self.orders.push(Order::Answer { conn, given });
        }
        takes
    }

    /// Where more is asked than this hub can do, what is worth least is refused, at once and with the proof that it never
    /// ran; each connection from below, a branch's cache, has a fair part where the line falls. Questions among homes pass.
    fn takes(
        &mut self,
        conn: ConnNo,
        asked: &Asked,
        keeping: Option<Keeping>,
        now: Moment,
    ) -> ration::Answer {
        if self.site.is_empty() || asked.way.as_ref().is_some_and(|way| way.hand_over) {
            return ration::Answer::Taken;
        }
        let chance = self.chance();
        let worth = keeping.map_or(1.0, |keeping| keeping.benefit);
        // The protocol of the caches has no word for a second try: who was refused and asks again makes one.
        let key = (asked.object.number(), asked.part);
        let second_try = self.refusals.has(&(conn, key), now);
        let want = Want { worth, takes: 1.0, second_try, branch: conn as u32 };
        self.ration.ask(&want, chance, now)
    }

    /// What was refused here lately, and how much of it out of its order.
    pub fn refused(&self) -> ration::Tally {
        self.ration.tally()
    }

    /// What it can do at its age, by the newest version; none where no version names it.
    fn room(&self, now: Moment) -> Option<f64> {
        let shape = self.versions.newest()?;
        let hub = shape.place(shape.find(&self.name)?).and_then(Place::hub)?;
        let age = match hub.since_ms {
            0 => Span::millis(hub.cold_ms),
            since_ms => now.since(Moment::at_micros(since_ms.saturating_mul(1_000))),
        };
        Some(hub.capacity * warmth(hub, age) * TAKES)
    }

    /// Goes on after an attempt that failed, if that was paid for: tiers that each repeat everything would multiply a
    /// loss, and the first to feel it are those who are left.
    fn again(&mut self, key: Key, now: Moment) {
        if self.site.is_empty() || self.budget.lets(now) {
            self.advance(key, now);
        } else {
            self.fail(key, Remark::SourceLost);
        }
    }

    fn good_copy(&mut self, key: Key, oldest: Option<Span>, now: Moment) -> Option<Copy> {
        let now = self.by_archive(now);
        let copy = self.store.get(key)?;
        let good = oldest.is_none_or(|oldest| now.since(copy.dated) <= oldest);
        good.then(|| copy.clone())
    }

    /// The moment by the archive's time, by which copies are dated, as far as a fetch has shown it.
    fn by_archive(&self, now: Moment) -> Moment {
        let skew = self.skew.filter(|skew| skew.abs() > SKEWED.as_micros() as i64).unwrap_or(0);
        Moment::at_micros(now.micros().saturating_add_signed(-skew))
    }

    // Copies on its own disk, and its start.

    /// Whether its disk has a copy that may go out. Until a fetch has shown the archive's time, age can't be told.
    fn has_on_disk(&self, key: Key, oldest: Option<Span>, now: Moment) -> bool {
        let Some(meta) = self.kept.get(&key).filter(|_| self.start.stage().gives_copies()) else {
            return false;
        };
        let dated = Moment::at_micros(meta.dated_us);
        let young = |oldest| self.skew.is_some() && self.by_archive(now).since(dated) <= oldest;
        oldest.is_none_or(young) && self.store.allows(key, meta.group, dated)
    }

    /// A copy has come from the disk, or can't be had: then the fill goes its usual way.
    fn read(&mut self, key: Key, copy: Option<Copy>, now: Moment) {
        let reading = self.fills.get(&key).is_some_and(|fill| matches!(fill.stage, Stage::Reading));
        if copy.is_none() {
            self.kept.remove(&key);
        }
        if !reading {
            return;
        }
        let good = copy.filter(|copy| self.kept.contains_key(&key) && self.store.is_good(key, copy));
        match good {
            Some(copy) => {
                let tag =
                    CopyTag { digest: copy.digest, dated_ms: copy.dated.micros() / 1_000, group: copy.group };
                let (id, word, remark) = (Hex::of(0), Word::Good, Remark::Hit);
                let answer = Answer { id, word, remark, first_ms: 0.0, body: copy.body };
                self.filled(key, answer, tag, false, now);
            }
            None if !self.start.stage().fills() => self.turn_away(key, now),
            None => self.advance(key, now),
        }
    }

    /// A fill that can't go on while its start spares the archive: those who wait are told when to come again.
    fn turn_away(&mut self, key: Key, now: Moment) {
        let chance = self.chance();
        let after = self.climb.come_again(chance);
        if let Some(fill) = self.fills.get_mut(&key) {
            (fill.come, fill.sent) = (Some(now + after), now);
        }
        self.fail(key, Remark::SourceLost);
    }

    /// Evenly from 0 to 1.
    fn chance(&mut self) -> f64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (&self.name, self.drawn).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// What is purged goes from the disk, too.
    fn unkeep(&mut self, at: Moment, covered: impl Fn(&Meta) -> bool) {
        let gone = self.kept.values().filter(|meta| meta.dated_us <= at.micros() && covered(meta));
        let mut keys: Vec<Key> = gone.map(|meta| meta.key).collect();
        if keys.is_empty() {
            return;
        }
        keys.sort_unstable();
        keys.iter().for_each(|key| drop(self.kept.remove(key)));
        self.orders.push(Order::Unkeep { keys });
    }

    fn keep(&mut self, key: Key, copy: &Copy, rank: u8) {
        if !self.has_disk || rank == 0 || !self.start.stage().keeps() {
            return;
        }
        let (digest, dated_us, group) = (copy.digest.to_vec(), copy.dated.micros(), copy.group);
        let meta = Meta { key, digest, dated_us, group, rank };
        if self
            .kept
            .get(&key)
            .is_some_and(|kept| kept.digest == meta.digest && kept.dated_us >= meta.dated_us)
        {
            return;
        }
        self.kept.insert(key, meta.clone());
        self.orders.push(Order::Keep { meta, body: copy.body.clone() });
    }

    /// Writes down what is to be remembered beside the copies, where that is due.
    fn remember(&mut self, now: Moment) {
        let marks = Marks {
            purges: self.has_purges,
            seen_ms: now.micros() / 1_000,
            lasted: self.lasted.usual.unwrap_or(0.0),
            fetched: self.fetched.usual.unwrap_or(0.0),
        };
        if self.has_disk
            && (marks.purges != self.marks.purges || marks.seen_ms > self.marks.seen_ms + MARKS_EVERY_MS)
        {
            self.marks = marks;
            self.orders.push(Order::Mark(marks));
        }
    }

    /// Whether a fill may be begun for something of this worth.
    fn may_begin(&self, worth: f64) -> bool {
        match self.start.stage() {
            StartStage::Worthy => {
                let best = self.contents.values().map(|keeping| keeping.benefit).fold(0.0, f64::max);
                self.climb.worthy(worth, best)
            }
            stage => stage.fills(),
        }
    }

    /// One fetch within what the archive has proved to bear; `part` is this hub's part of its gate.
    fn climbs(&mut self, now: Moment) -> bool {
        if self.start.stage() == StartStage::All {
            return true;
        }
        let rate = self.share.rate(now).max(1.0) * self.climb.share();
        let passed = now.since(std::mem::replace(&mut self.climb_filled, now)).seconds();
        self.climb_tokens = (self.climb_tokens + rate * passed).min((rate * 0.5).max(1.0));
        let lets = self.climb_tokens >= 1.0;
        match lets {
            true => self.climb_tokens -= 1.0,
            false => self.climb.holds_back(),
        }
        lets
    }

    fn start_beats(&mut self, now: Moment) {
        if !self.has_disk {
            return;
        }
        self.climb.beat(now);
        self.start.hear(match self.climb.bears() {
            Bears::All => Fact::BearsAll,
            Bears::Some => Fact::BearsSome,
            Bears::None => Fact::BearsNone,
        });
        if let Some(turn) = self.start.beat(now) {
            self.orders.push(Order::Started(turn));
        }
        self.remember(now);
    }

    fn refuse(&mut self, conn: ConnNo, id: Hex, word: Word, remark: Remark) {
        let (first_ms, copy, body, come_ms, why) = (0.0, None, Bytes::new(), None, None);
        let given = Given { id, word, remark, first_ms, copy, body, come_ms, why };
        self.orders.push(Order::Answer { conn, given });
    }

    /// Refused for want of room; a hub of ours hears when to come again.
    fn refuse_until(&mut self, conn: ConnNo, id: Hex, after: Option<Span>) {
        let (first_ms, copy, body, why) = (0.0, None, Bytes::new(), None);
        let come_ms = after.map(|after| (after.as_micros() / 1_000).max(1));
        let (word, remark) = (Word::Full, Remark::NoPlace);
        let given = Given { id, word, remark, first_ms, copy, body, come_ms, why };
        self.orders.push(Order::Answer { conn, given });
    }

    fn hand_over(&mut self, conn: ConnNo, id: Hex, reply: Reply, good: Option<Copy>) {
        match (reply, good) {
            (Reply::Held, Some(copy)) => {
                let given = give(id, &copy, None, true, Remark::Hit, 0.0);
                self.orders.push(Order::Answer { conn, given });
            }
            (Reply::UnderWay, _) => self.refuse(conn, id, Word::Lacks, Remark::Joined),
            (Reply::Elsewhere { .. }, _) => self.refuse(conn, id, Word::Full, Remark::SourceRefused),
            (Reply::Ceded { .. } | Reply::Held, _) => self.refuse(conn, id, Word::Lacks, Remark::Nothing),
        }
    }

    /// Its own disk has it: a fill that goes nowhere else, and that others may join.
    fn fill_from_disk(&mut self, conn: ConnNo, key: Key, asked: Asked, oldest: Option<Span>, now: Moment) {
        if self.waiting.len() >= self.bounds.waiters
            || self.fills.len() >= self.bounds.fills
            || self.waiting.contains_key(&(conn, asked.id))
        {
            return self.refuse(conn, asked.id, Word::Full, Remark::NoPlace);
        }
        self.begin(key, &asked, now);
        let until = now + Span::millis(asked.waits_ms);
        let (held, ours) = (asked.held.clone(), asked.way.is_some());
        let waiter = Waiter { conn, id: asked.id, until, oldest, held, joined: false, ours };
        self.waiting.insert((conn, asked.id), key);
        self.set(until, Bell::Waiter(key));
        if let Some(fill) = self.fills.get_mut(&key) {
            fill.waiters.push(waiter);
        }
        self.stage(key, Stage::Reading, Some(now + STALLED), now);
        self.orders.push(Order::Read { key });
    }

    fn fill_for(&mut self, conn: ConnNo, key: Key, asked: Asked, oldest: Option<Span>, now: Moment) {
        let worth = self.contents.get(&asked.content).map_or(1.0, |keeping| keeping.benefit);
        if !self.may_begin(worth) && !self.fills.contains_key(&key) {
            let chance = self.chance();
            let after = self.climb.come_again(chance);
            return self.refuse_until(conn, asked.id, asked.way.is_some().then_some(after));
        }
        if self.unknowing && self.start.stage() != StartStage::Alone
            || self.waiting.len() >= self.bounds.waiters
            || self.waiting.contains_key(&(conn, asked.id))
        {
            return self.refuse(conn, asked.id, Word::Full, Remark::NoPlace);
        }
        let path = asked.way.as_ref().map(|way| way.path.clone()).unwrap_or_default();
        let new = !self.fills.contains_key(&key);
        if new {
            // It came round to a hub whose own fill is over meanwhile: a new one would go round again.
            if path.contains(&self.name) {
                return self.refuse(conn, asked.id, Word::Full, Remark::SourceRefused);
            }
            if self.fills.len() >= self.bounds.fills {
                return self.refuse(conn, asked.id, Word::Full, Remark::NoPlace);
            }
            self.begin(key, &asked, now);
        }
        let until = now + Span::millis(asked.waits_ms);
        let (held, ours) = (asked.held.clone(), asked.way.is_some());
        let waiter = Waiter { conn, id: asked.id, until, oldest, held, joined: !new, ours };
        self.waiting.insert((conn, asked.id), key);
        self.set(until, Bell::Waiter(key));
        if let Some(fill) = self.fills.get_mut(&key) {
            fill.waiters.push(waiter);
            fill.until = fill.until.max(until);
            fill.no_copy &= asked.no_copy;
            fill.rank = fill.rank.max(rank_of(&asked));
        }
        if new {
            self.advance_by(key, &path, now);
        } else {
            let act = self.knots.joined(key, &path, now);
            self.act(act, now);
        }
    }

    fn begin(&mut self, key: Key, asked: &Asked, now: Moment) {
        self.budget.first(now);
        let version = self.versions.pin().unwrap_or(0);
        let fill = Fill {
            content: asked.content.clone(),
            waiters: Vec::new(),
            stage: Stage::Resting,
            avoid: Vec::new(),
            asked: Vec::new(),
            version,
            rank: rank_of(asked),
            no_copy: asked.no_copy,
            begun: now,
            sent: now,
            until: now + Span::millis(asked.waits_ms),
            again: 0,
            come: None,
            forced: false,
            queued: false,
            bell: None,
        };
        self.fills.insert(key, fill);
    }

    /// One of those who wait has left. When nobody waits any more, the fill is given up, and so is what it asked for.
    fn left(&mut self, conn: ConnNo, id: Hex) {
        self.asked_of.remove(&(conn, id));
        let Some(key) = self.waiting.remove(&(conn, id)) else { return };
        let Some(fill) = self.fills.get_mut(&key) else { return };
        fill.waiters.retain(|waiter| (waiter.conn, waiter.id) != (conn, id));
        if fill.waiters.is_empty() {
            self.give_up(key);
        }
    }

    fn give_up(&mut self, key: Key) {
        let pull = match self.end(key).map(|fill| fill.stage) {
            Some(Stage::Asking { pull, .. } | Stage::Waiting { pull, .. } | Stage::Fetching { pull }) => pull,
            Some(Stage::Resting | Stage::Reading) | None => return,
        };
        self.cancel(pull);
    }

    fn cancel(&mut self, pull: PullNo) {
        if self.pulls.remove(&pull).is_some() {
            self.orders.push(Order::Cancel { pull });
        }
    }

    fn end(&mut self, key: Key) -> Option<Fill> {
        let fill = self.fills.remove(&key)?;
        self.versions.unpin(fill.version);
        self.knots.over(key);
        fill.bell.map(|bell| self.bells.remove(&bell));
        for waiter in &fill.waiters {
            self.waiting.remove(&(waiter.conn, waiter.id));
        }
        Some(fill)
    }

    // Where a fill goes.

    /// Sends a fill on after its first way has failed, by the newest version: a home that was passed by in an older
    /// one would be fetched from beside the new home.
    fn advance(&mut self, key: Key, now: Moment) {
        if let Some(fill) = self.fills.get_mut(&key) {
            self.versions.unpin(fill.version);
            fill.version = self.versions.pin().unwrap_or(0);
        }
        self.advance_by(key, &[], now);
    }

    /// Sends a fill on its next way. `path`: the hubs that its first pull came through.
    fn advance_by(&mut self, key: Key, path: &[String], now: Moment) {
        let Some(fill) = self.fills.get(&key) else { return };
        let planned = self.planned.as_ref().filter(|planned| planned.version() == fill.version);
        let Some(shape) = planned.or(self.versions.get(fill.version)).cloned() else {
            return self.fail(key, Remark::SourceLost);
        };
        let me = self.me(&shape);
        let mut avoid = fill.avoid.clone();
        avoid.extend(self.aside.iter().filter(|(_, until)| **until > now).map(|(place, _)| *place));
        avoid.extend(self.fenced.iter().filter_map(|name| shape.find(name)));
        avoid.extend(self.silent_hubs(&shape));
        let next = if fill.forced { Some(Next::Archive) } else { route::next(&shape, me, key.0, &avoid) };
        // The home has refused it for want of room: past it, the archive would be asked for what is worth least.
        let refused = self.fills.get(&key).and_then(|fill| fill.come).is_some_and(|come| come > now);
        match next {
            Some(Next::Archive) if refused => self.fail(key, Remark::SourceLost),
            Some(Next::Hub(hub)) => self.wait_on(key, hub, path, &shape, now),
            Some(Next::Archive) => self.reach_archive(key, me, &shape, now),
            None => self.fail(key, Remark::SourceLost),
        }
    }

    fn wait_on(&mut self, key: Key, hub: PlaceIx, path: &[String], shape: &Shape, now: Moment) {
        let name = shape.name(hub).to_string();
        self.knots.waits(key, Some(&name), now);
        // The path of the pull that began it; those who join later are followed by chases.
        let act = self.knots.joined(key, path, now);
        let way = self.way(path, shape.version(), false);
        let pull = self.pull(key, hub, shape, false, Some(way), now);
        self.stage(key, Stage::Waiting { pull, on: hub }, Some(now + STALLED), now);
        if matches!(act, Some(Act::Leave { .. })) {
            self.act(act, now);
        }
    }

    fn way(&self, path: &[String], version: u64, hand_over: bool) -> Way {
        let mut path = path.to_vec();
        path.push(self.name.clone());
        // What came by more hubs than a path may name keeps its last ones: a circle still shows by them.
        let over = path.len().saturating_sub(harestage_wire::peer::LONGEST_PATH);
        path.drain(..over);
        Way { path, version, hand_over }
    }

    /// Asks former homes, takes its turn at the gate, and fetches.
    fn reach_archive(&mut self, key: Key, me: PlaceIx, shape: &Shape, now: Moment) {
        let silent = self.silent_hubs(shape);
        let Some(fill) = self.fills.get_mut(&key) else { return };
        let right = match fill.forced || !self.hands_over {
            true => Right::Own,
            false => {
                let fenced = self.fenced.iter().filter_map(|name| shape.find(name));
                let asked: Vec<PlaceIx> = fill.asked.iter().copied().chain(fenced).collect();
                self.shield.right(&self.versions, me, key, &asked, &silent, now)
            }
        };
        self.knots.waits(key, None, now);
        match right {
            Right::Ask(whom) => {
                let way = self.way(&[], shape.version(), true);
                let pull = self.pull(key, whom, shape, true, Some(way), now);
                self.stage(key, Stage::Asking { pull, whom }, Some(now + ANSWERS_WITHIN), now);
            }
            Right::Ceded { until } => {
                let holder = self.shield.holder(key, now).and_then(|name| shape.find(name));
                let holder = holder.filter(|place| *place != me && !fill.avoid.contains(place));
                match holder {
                    Some(holder) => self.wait_on(key, holder, &[], shape, now),
                    None => self.stage(key, Stage::Resting, Some(until), now),
                }
            }
            Right::Own => {
                let queued = fill.queued;
                if !self.climbs(now) {
                    return self.stage(key, Stage::Resting, Some(now + BEAT), now);
                }
                let lets = if queued { self.share.again(now) } else { self.share.lets(now) };
                self.fills.get_mut(&key).into_iter().for_each(|fill| fill.queued = !lets);
                if !lets {
                    let next = self.share.next(now);
                    return self.stage(key, Stage::Resting, Some(next), now);
                }
                self.fetches.add(now, 1.0);
                let pull = self.pull(key, ARCHIVE, shape, false, None, now);
                self.stage(key, Stage::Fetching { pull }, None, now);
            }
        }
    }

    /// Sets what a fill waits for, and until when at most.
    fn stage(&mut self, key: Key, stage: Stage, until: Option<Moment>, now: Moment) {
        let until = until.map(|until| until.max(now + Span::millis(1)));
        let bell = until.map(|until| self.set(until, Bell::Fill(key)));
        let Some(fill) = self.fills.get_mut(&key) else { return };
        (fill.stage, fill.sent) = (stage, now);
        if let Some(before) = std::mem::replace(&mut fill.bell, bell) {
            self.bells.remove(&before);
        }
    }

    fn pull(
        &mut self,
        key: Key,
        place: PlaceIx,
        shape: &Shape,
        only_held: bool,
        way: Option<Way>,
        now: Moment,
    ) -> PullNo {
        self.last_pull += 1;
        let pull = self.last_pull;
        self.pulls.insert(pull, key);
        // A former home may be in older versions only.
        let to = peer(shape, place).or_else(|| self.versions.all().find_map(|shape| peer(shape, place)));
        let (Some(fill), Some(to)) = (self.fills.get(&key), to) else { return pull };
        let waits = if only_held { ANSWERS_WITHIN } else { fill.until.since(now).max(Span::millis(1)) };
        let ask = Ask {
            content: fill.content.clone(),
            object: key.0,
            part: key.1,
            waits,
            oldest_ms: self.oldest(key, fill, now),
            only_held,
            no_copy: fill.no_copy,
            mark: way.is_some().then(|| self.mark()).flatten(),
            way,
        };
        self.orders.push(Order::Pull { pull, to, ask });
        pull
    }

    fn mark(&self) -> Option<Mark> {
        let audit = self.audit.as_ref()?;
        let (by, place) = (audit.who().member.clone(), audit.who().place.clone());
        Some(Mark { by, place, stamp: audit.stamp().to_string() })
    }

    /// The oldest copy that will do for all who wait, and after all purges that are known.
    fn oldest(&self, key: Key, fill: &Fill, now: Moment) -> Option<u64> {
        let wanted = fill.waiters.iter().filter_map(|waiter| waiter.oldest).min();
        let purged = self.store.purged_at(key.0);
        let since_purge = (purged > Moment::default()).then(|| now.since(purged));
        let oldest = wanted.into_iter().chain(since_purge).min();
        oldest.map(|oldest| (oldest.as_micros() / 1_000).max(1))
    }

    // What comes from above.

    fn answered(&mut self, pull: PullNo, answer: Answer, copy: Option<CopyTag>, now: Moment) {
        let Some(key) = self.pulls.remove(&pull) else { return };
        let Some(fill) = self.fills.get_mut(&key) else { return };
        let (asking, fetching, on) = match fill.stage {
            Stage::Asking { whom, .. } => (true, false, whom),
            Stage::Waiting { on, .. } => (false, false, on),
            Stage::Fetching { .. } => (false, true, ARCHIVE),
            Stage::Resting | Stage::Reading => return,
        };
        match (answer.word, copy) {
            (Word::Good, Some(tag)) => return self.filled(key, answer, tag, fetching, now),
            // Bytes that say nothing of their age can't be kept or given on.
            (Word::Good | Word::StillGood, _) | (Word::Failed | Word::TooLate, _) if fetching => {
                return self.fail(key, Remark::OriginFailed);
            }
            (Word::Lacks, _) if fetching => return self.fail(key, Remark::SourceLacks),
            (Word::Full, _) if fetching => {
                self.climb.failed(now);
                fill.again += 1;
                if fill.again > MOST_AGAIN {
                    return self.fail(key, Remark::OriginFailed);
                }
                return self.stage(key, Stage::Resting, Some(now + AGAIN), now);
            }
            // The former home is fetching it: to join that is to fetch it once.
            (Word::Lacks, _) if asking && answer.remark == Remark::Joined => {
                fill.asked.push(on);
                let shape = self.versions.get(fill.version).cloned();
                return match shape {
                    Some(shape) => self.wait_on(key, on, &[], &shape, now),
                    None => self.fail(key, Remark::SourceLost),
                };
            }
            // The right went to another: that one's term has to end first.
            (Word::Full, _) if asking && fill.again < MOST_AGAIN => {
                fill.again += 1;
                return self.stage(key, Stage::Resting, Some(now + harestage_shape::shield::TERM * 0.4), now);
            }
            _ => {}
        }
        if asking {
            fill.asked.push(on);
            return self.advance(key, now);
        }
        fill.avoid.push(on);
        self.again(key, now);
    }

    fn lost(&mut self, pull: PullNo, now: Moment) {
        let Some(key) = self.pulls.remove(&pull) else { return };
        let Some(fill) = self.fills.get_mut(&key) else { return };
        match fill.stage {
            Stage::Asking { whom, .. } => {
                fill.asked.push(whom);
                self.aside.insert(whom, now + PASSED_BY);
            }
            Stage::Waiting { on, .. } => {
                fill.avoid.push(on);
                self.aside.insert(on, now + PASSED_BY);
                return self.again(key, now);
            }
            Stage::Fetching { .. } => {
                self.climb.failed(now);
                fill.again += 1;
                if fill.again > MOST_AGAIN {
                    return self.fail(key, Remark::OriginFailed);
                }
                return self.stage(key, Stage::Resting, Some(now + AGAIN), now);
            }
            Stage::Resting | Stage::Reading => return,
        }
        self.advance(key, now);
    }

    fn filled(&mut self, key: Key, answer: Answer, tag: CopyTag, fetched: bool, now: Moment) {
        let dated = Moment::at_micros(tag.dated_ms.saturating_mul(1_000));
        let copy = Copy { digest: tag.digest, dated, group: tag.group, body: answer.body };
        // A purge has come while it was on its way.
        if !self.store.is_good(key, &copy) {
            let Some(fill) = self.fills.get_mut(&key) else { return };
            fill.again += 1;
            if fill.again > MOST_AGAIN {
                return self.fail(key, Remark::OriginFailed);
            }
            return self.advance(key, now);
        }
        self.shield.filled(key);
        let Some(mut fill) = self.end(key) else { return };
        let lasted = now.since(fill.begun).seconds();
        self.lasted.add(now, lasted);
        if fetched {
            let took = now.since(fill.sent).seconds();
            self.fetched.add(now, took);
            self.climb.answered(took, now);
            // A fetch is dated when it is given out: what this clock says beside that is how far it is off.
            self.skew = Some(now.micros() as i64 - dated.micros() as i64);
        }
        let rank = if fill.no_copy { 0 } else { fill.rank };
        if !self.has_disk || self.start.stage() != StartStage::Alone {
            self.store.put(key, copy.clone(), rank);
            self.keep(key, &copy, rank);
        }
        let (too_old, served): (Vec<_>, Vec<_>) = std::mem::take(&mut fill.waiters)
            .into_iter()
            .partition(|waiter| waiter.oldest.is_some_and(|oldest| now.since(dated) > oldest));
        let origin = fetched || answer.remark == Remark::FromOrigin;
        for waiter in served {
            let remark = match (waiter.joined, origin) {
                (true, _) => Remark::Joined,
                (false, true) => Remark::FromOrigin,
                (false, false) => Remark::Filled,
            };
            let first_ms = (lasted * 1e5).round() / 1e2;
            let given = give(waiter.id, &copy, waiter.held.as_ref(), waiter.ours, remark, first_ms);
            self.orders.push(Order::Answer { conn: waiter.conn, given });
        }
        // Who joined asking for a younger copy than the fill was begun for gets one of its own.
        if !too_old.is_empty() && !fetched {
            let version = self.versions.pin().unwrap_or(0);
            self.waiting.extend(too_old.iter().map(|waiter| ((waiter.conn, waiter.id), key)));
            self.fills
                .insert(key, Fill { waiters: too_old, version, bell: None, stage: Stage::Resting, ..fill });
            self.advance(key, now);
        } else {
            too_old
                .iter()
                .for_each(|waiter| self.refuse(waiter.conn, waiter.id, Word::Lacks, Remark::SourceLacks));
        }
    }

    /// Ends a fill that no way is left for. Each of those who wait hears it at once.
    fn fail(&mut self, key: Key, remark: Remark) {
        let Some(fill) = self.end(key) else { return };
        // It was refused above for want of room, and never ran: so it is refused here, until that time.
        if let Some(come) = fill.come.filter(|_| remark == Remark::SourceLost) {
            // From when its last pull went out: a little later than it was told, and never earlier.
            let after = come.since(fill.sent);
            for waiter in &fill.waiters {
                self.refuse_until(waiter.conn, waiter.id, waiter.ours.then_some(after));
            }
            return;
        }
        let word = match remark {
            Remark::SourceLacks => Word::Lacks,
            // Nothing was sent anywhere: a hub that knows no shape yet.
            Remark::NoPlace => Word::Full,
            _ => Word::Failed,
        };
        fill.waiters.iter().for_each(|waiter| self.refuse(waiter.conn, waiter.id, word, remark));
    }

    // Circles.

    fn act(&mut self, act: Option<Act>, now: Moment) {
        match act {
            Some(Act::Send { to, chase }) => self.send_chase(&to, chase),
            Some(Act::Leave { knot }) => self.leave(knot, now),
            // A way that long is no way: whoever waits gives up by its own deadline.
            Some(Act::TooLong { .. }) | None => {}
        }
    }

    fn send_chase(&mut self, to: &str, chase: knots::Chase) {
        let shape = self.fills.get(&chase.key).and_then(|fill| self.versions.get(fill.version));
        let Some(to) = shape.and_then(|shape| peer(shape, shape.find(to)?)) else { return };
        let (object, part) = (Hex::of(chase.key.0), chase.key.1);
        let chase = Chase { object, part, path: chase.path, closed: chase.closed };
        self.orders.push(Order::Chase { to, chase });
    }

    /// This hub breaks the circle: its fill leaves the hub that it waits for and fetches for all in it.
    fn leave(&mut self, knot: Knot, now: Moment) {
        let Some(fill) = self.fills.get_mut(&knot.key) else { return };
        fill.forced = true;
        let waiting = match fill.stage {
            Stage::Waiting { pull, .. } => Some(pull),
            _ => None,
        };
        waiting.into_iter().for_each(|pull| self.cancel(pull));
        if self.loops.len() < MOST_LOOPS {
            self.loops.push(LoopSeen {
                object: format!("{:016x}", knot.key.0),
                path: knot.path.clone(),
                waited_ms: knot.waited.as_micros() as f64 / 1e3,
                before: knot.before,
            });
        }
        let key = knot.key;
        self.orders.push(Order::Broke(knot));
        self.advance(key, now);
    }

    // Time.

    fn ring(&mut self, bell: Bell, now: Moment) {
        match bell {
            Bell::Beat => {
                self.set(now + BEAT, Bell::Beat);
                self.aside.retain(|_, until| *until > now);
                self.audit.iter_mut().for_each(|audit| audit.beat(now));
                self.start_beats(now);
                let room = self.room(now);
                self.ration.set_room(room);
                for act in self.knots.beat(now) {
                    self.act(Some(act), now);
                }
            }
            Bell::Look => self.look(now),
            Bell::Waiter(key) => self.overdue(key, now),
            Bell::Fill(key) => self.stalled(key, now),
        }
    }

    /// Those whose time is up are forgotten: who asked has given up by itself.
    fn overdue(&mut self, key: Key, now: Moment) {
        let Some(fill) = self.fills.get(&key) else { return };
        let due: Vec<_> = fill.waiters.iter().filter(|w| w.until <= now).map(|w| (w.conn, w.id)).collect();
        due.into_iter().for_each(|(conn, id)| self.left(conn, id));
    }

    fn stalled(&mut self, key: Key, now: Moment) {
        let Some(fill) = self.fills.get_mut(&key) else { return };
        fill.bell = None;
        if fill.until <= now {
            return self.give_up(key);
        }
        match fill.stage {
            Stage::Asking { pull, whom } => {
                fill.asked.push(whom);
                self.cancel(pull);
            }
            Stage::Waiting { pull, on } => {
                fill.avoid.push(on);
                self.cancel(pull);
                return self.again(key, now);
            }
            Stage::Fetching { .. } => return,
            Stage::Resting | Stage::Reading => {}
        }
        self.advance(key, now);
    }

    // Other sites.

    /// Asks one hub of each other site whether it is there, each time the next one.
    fn look(&mut self, now: Moment) {
        self.set(now + LOOKS_EVERY, Bell::Look);
        let Some(shape) = self.versions.newest().cloned() else { return };
        let others: Vec<&str> = shape.sites().into_iter().filter(|site| *site != self.site).collect();
        self.sight.look_at(others.iter().copied());
        self.sight.beat(now);
        self.asked_next += 1;
        for site in others {
            let there: Vec<PlaceIx> =
                shape.hubs().filter(|(_, hub)| hub.site == site).map(|(at, _)| at).collect();
            let to = there.get(self.asked_next % there.len().max(1)).and_then(|at| peer(&shape, *at));
            let (Some(to), Some(number)) = (to, self.sight.asks(site, now)) else { continue };
            self.last_pull += 1;
            self.asks.insert(self.last_pull, (to.name.clone(), site.into(), number));
            self.orders.push(Order::Look { ask: self.last_pull, to });
        }
        // What waits for longer was counted as silence already.
        let oldest = self.last_pull.saturating_sub(MOST_ASKS);
        self.asks.retain(|ask, _| *ask >= oldest);
        self.stand_by(now);
    }

    /// Somebody at another site has answered; what it misses itself counts as its word.
    fn seen(&mut self, ask: PullNo, leaving: bool, unseen: &[String], now: Moment) {
        let Some((hub, site, number)) = self.asks.remove(&ask) else { return };
        self.sight.answered(&site, number, leaving, now);
        let Some(shape) = self.versions.newest() else { return };
        let others = shape.sites().into_iter().filter(|other| *other != site);
        let sightings = others.map(|other| Sighting {
            site: other.into(),
            unanswered: if unseen.iter().any(|name| name == other) { SILENCE } else { 0 },
            known: true,
            slowness: 1.0,
            leaving: false,
        });
        let sightings = sightings.collect();
        self.standby.hear(&hub, &site, sightings, now);
    }

    /// Sites from which it hears nothing, for whoever asks.
    pub fn unseen(&self) -> Vec<String> {
        let silent = self.sight.sightings().into_iter().filter(|seen| seen.unanswered >= SITE_SILENT);
        silent.map(|seen| seen.site).collect()
    }

    // While no service speaks.

    fn handed(&mut self, version: u64, plans: Vec<Planned>, now: Moment) {
        let Some(shape) = self.versions.newest().filter(|shape| shape.version() == version).cloned() else {
            return;
        };
        self.standby.handed(version, shape.sites().into_iter(), plans, now);
        self.go_by_plan();
    }

    fn service_spoke(&mut self, now: Moment) {
        if let Some(turn) = self.standby.service_spoke(now) {
            self.planned = None;
            self.orders.push(Order::Turned(turn));
        }
    }

    fn stand_by(&mut self, now: Moment) {
        let sightings = self.sight.sightings();
        let (name, site) = (self.name.clone(), self.site.clone());
        self.standby.hear(&name, &site, sightings, now);
        let turn = self.standby.beat(now).filter(|_| !self.alone);
        if let Some(turn) = turn {
            self.go_by_plan();
            self.orders.push(Order::Turned(turn));
        }
    }

    /// The newest version with the ties that the plan names for this hub.
    fn go_by_plan(&mut self) {
        self.planned = self.versions.newest().and_then(|shape| {
            let ties = self.standby.ties()?;
            let ties: Vec<PlaceIx> = ties.iter().filter_map(|tie| shape.find(tie)).collect();
            let me = shape.find(&self.name).filter(|_| !ties.is_empty())?;
            Some(shape.with_ties(shape.version(), [(me, ties.as_slice())]))
        });
    }

    /// Hubs of sites from which nothing is heard: to ask them one by one would cost a time-out each.
    fn silent_hubs(&self, shape: &Shape) -> Vec<PlaceIx> {
        let mut silent = self.unseen();
        silent.extend(self.standby.without().iter().cloned());
        if silent.is_empty() {
            return Vec::new();
        }
        shape.hubs().filter(|(_, hub)| silent.contains(&hub.site)).map(|(at, _)| at).collect()
    }

    // What is told of this hub.

    /// For the control service, some times a second.
    pub fn report(&mut self, now: Moment) -> Report {
        let ((wants, part), holds) = (self.share.ask(now), self.share.holds(now));
        let (slowness, archive_slowness) = (self.lasted.slowness(now), self.fetched.slowness(now));
        let (fetches, asked) = (self.fetches.count(now), self.asked.count(now));
        let loops = std::mem::take(&mut self.loops);
        let (site, sightings) = (self.site.clone(), self.sight.sightings());
        Report {
            version: self.version(),
            slowness,
            archive_slowness,
            asked,
            fetches,
            wants,
            part,
            holds,
            loops,
            site,
            sightings,
        }
    }

    /// Fills under way, and the share of hits.
    pub fn gauges(&self, now: Moment) -> (usize, f64) {
        (self.fills.len(), self.hits.mean(now).unwrap_or(0.0))
    }

    pub fn store(&self) -> &Store {
        &self.store
    }

    pub fn fills(&self) -> usize {
        self.fills.len()
    }
}

fn rank_of(asked: &Asked) -> u8 {
    if asked.rank == 0 { USUAL_RANK } else { asked.rank.min(HIGHEST_RANK) }
}

fn peer(shape: &Shape, at: PlaceIx) -> Option<Peer> {
    use harestage_shape::tree::Place;
    let (name, address) = match shape.place(at)? {
        Place::Archive(archive) => (&archive.name, &archive.address),
        Place::Hub(hub) => (&hub.name, &hub.address),
        Place::Branch(_) => return None,
    };
    Some(Peer { name: name.clone(), address: address.clone() })
}

/// The answer that a copy is; its group is told to hubs of ours only.
fn give(id: Hex, copy: &Copy, held: Option<&Bytes>, ours: bool, remark: Remark, first_ms: f64) -> Given {
    let still_good = held == Some(&copy.digest);
    let (word, body) =
        if still_good { (Word::StillGood, Bytes::new()) } else { (Word::Good, copy.body.clone()) };
    let dated_ms = copy.dated.micros() / 1_000;
    let tag = CopyTag { digest: copy.digest.clone(), dated_ms, group: copy.group.filter(|_| ours) };
    Given { id, word, remark, first_ms, copy: Some(tag), body, come_ms: None, why: None }
}
