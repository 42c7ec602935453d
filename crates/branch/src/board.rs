//! What a branch's routers are told, and in which order. No socket, no clock.
//!
//! A router takes only the number that follows the last one it has. Numbers are therefore the connection's own: whoever
//! calls is told the whole list and every purge that lives, under the numbers that follow its last, and from there on what
//! is new. So a feed that starts anew, or a second one beside it, leaves no router behind, and needs no disk for it.
use harestage::time::{Moment, Span};
use harestage_purge::scope::Checked;
use harestage_shape::feed;
use harestage_shape::form::ShapeForm;
use harestage_shape::lines::Planned;
use harestage_shape::tree::{PlaceIx, Shape};
use harestage_sites::sight::Sighting;
use harestage_sites::standby::{Standby, Turn};
use harestage_sites::watch::SILENCE;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Sayings that are kept for those who are behind; who is further behind calls again and is told the whole.
const MOST_SAID: usize = 2_048;
/// Purges of single objects that live at once; past it they are folded into purges of all groups, which errs towards
/// younger copies.
const MOST_OBJECTS: usize = 4_096;
/// The service forgets purges after an hour; no router serves a copy that was told it before that.
const LIVES: Span = Span::millis(3_660_000);
/// Kept a while for its words only.
const SHAPES: usize = 3;

/// One thing that routers are told.
#[derive(Clone, Debug)]
pub enum Saying {
    /// The ties, after those of the two sayings before; the whole list where there were none.
    Ties { long_before: Option<Rc<Shape>>, before: Option<Rc<Shape>>, now: Rc<Shape> },
    /// Copies that were given out up to then are old.
    Purge { object: Option<u64>, group: Option<u32>, at_ms: u64 },
    /// What whoever has taken all that was said goes by.
    Marks { purges: u64, plan: String },
}

impl Saying {
    /// As the platform words it, under the connection's own number.
    pub fn line(&self, number: u64, branch: &str) -> Vec<u8> {
        match self {
            Saying::Ties { long_before, before, now } => {
                feed::event(number, long_before.as_deref(), before.as_deref(), now, branch)
            }
            Saying::Purge { object, group, at_ms } => feed::purge(number, *object, *group, *at_ms),
            Saying::Marks { purges, plan } => feed::marks(number, *purges, plan),
        }
    }
}

/// It has missed more than is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Behind;

/// All that a branch's routers go by.
pub struct Board {
    branch: String,
    /// Groups that the archive knows, from 0 on: what can't be told otherwise is told of each of them.
    groups: u32,
    version: Option<Shape>,
    standby: Standby,
    shown: VecDeque<Rc<Shape>>,
    objects: BTreeMap<u64, u64>,
    purged_groups: BTreeMap<u32, u64>,
    /// The sites that were left out when the ties were shown last.
    shown_plan: String,
    said: VecDeque<Saying>,
    /// The place of the saying that was said last, from 1 on.
    place: u64,
    /// All purges that live are known.
    knows_purges: bool,
    /// The last purge that was told.
    has_purges: u64,
}

impl Board {
    /// `waits`: there is a service of purges, and nobody is told anything before all that live are known.
    pub fn new(branch: &str, groups: u32, waits: bool, now: Moment) -> Board {
        Board {
            branch: branch.into(),
            groups,
            version: None,
            standby: Standby::new(now),
            shown: VecDeque::new(),
            objects: BTreeMap::new(),
            purged_groups: BTreeMap::new(),
            shown_plan: String::new(),
            said: VecDeque::new(),
            place: 0,
            knows_purges: !waits,
            has_purges: 0,
        }
    }

    /// The version in service, with the plans for this branch. One that does not hold, or does not name the branch, is
    /// passed over whole.
    pub fn told(&mut self, form: &ShapeForm, plans: Vec<Planned>, now: Moment) -> Option<Turn> {
        let turn = self.service_spoke(now);
        let shape = match &self.version {
            Some(version) if form.version <= version.version() => return turn,
            Some(version) => version.followed_by(form),
            None => Shape::of(form),
        };
        let Ok(shape) = shape else { return turn };
        if shape.find(&self.branch).is_none() {
            return turn;
        }
        self.standby.handed(shape.version(), shape.sites().into_iter(), plans, now);
        self.version = Some(shape);
        self.show();
        turn
    }

    /// The control service has said something, whatever it was.
    pub fn service_spoke(&mut self, now: Moment) -> Option<Turn> {
        let turn = self.standby.service_spoke(now);
        if turn.is_some() {
            self.show();
        }
        turn
    }

    /// A hub has answered, and named the sites from which it hears nothing.
    pub fn seen(&mut self, hub: &str, unseen: &[String], leaving: bool, now: Moment) {
        let Some(shape) = &self.version else { return };
        let Some(own) = shape.find(hub).and_then(|at| shape.place(at)?.hub()) else { return };
        let site = own.site.clone();
        let others = shape.sites().into_iter().filter(|other| *other != site);
        let sightings = others.map(|other| Sighting {
            site: other.into(),
            unanswered: if unseen.iter().any(|name| name == other) { SILENCE } else { 0 },
            known: true,
            slowness: 1.0,
            leaving,
        });
        let sightings = sightings.collect();
        self.standby.hear(hub, &site, sightings, now);
    }

    /// To be called some times a second.
    pub fn beat(&mut self, now: Moment) -> Option<Turn> {
        let oldest_ms = (now.micros().saturating_sub(LIVES.as_micros())) / 1_000;
        self.objects.retain(|_, at| *at >= oldest_ms);
        self.purged_groups.retain(|_, at| *at >= oldest_ms);
        let turn = self.standby.beat(now)?;
        self.show();
        Some(turn)
    }

    /// The ties as they are to be shown: the version's, or while no service speaks those of the plan for what is lost; and
    /// where nobody made one, those that are left.
    fn ties(&self, shape: &Shape) -> Option<Vec<PlaceIx>> {
        if self.standby.without().is_empty() {
            return None;
        }
        let lost = |at: &PlaceIx| {
            let hub = shape.place(*at).and_then(|place| place.hub());
            hub.is_some_and(|hub| self.standby.without().contains(&hub.site))
        };
        let of_plan = self.standby.ties().map(|ties| {
            let found = ties.iter().filter_map(|tie| shape.find(tie));
            found.filter(|at| !lost(at)).collect::<Vec<_>>()
        });
        let own = || {
            let own = shape.find(&self.branch).map(|at| shape.ties(at).to_vec()).unwrap_or_default();
            own.into_iter().filter(|at| !lost(at)).collect::<Vec<_>>()
        };
        Some(of_plan.filter(|ties| !ties.is_empty()).unwrap_or_else(own)).filter(|ties| !ties.is_empty())
    }

    fn show(&mut self) {
        let Some(version) = &self.version else { return };
        let now = match (self.ties(version), version.find(&self.branch)) {
            (Some(ties), Some(branch)) => version.with_ties(version.version(), [(branch, ties.as_slice())]),
            _ => version.clone(),
        };
        let now = Rc::new(now);
        let (before, long_before) = (self.shown.back().cloned(), self.shown.iter().rev().nth(1).cloned());
        self.shown.push_back(now.clone());
        while self.shown.len() > SHAPES {
            self.shown.pop_front();
        }
        self.say(Saying::Ties { long_before, before, now });
        if self.shown_plan != self.plan() {
            self.shown_plan = self.plan();
            self.say_marks();
        }
    }

    /// The sites that it goes without, for marks.
    pub fn plan(&self) -> String {
        self.standby.without().iter().cloned().collect::<Vec<_>>().join("+")
    }

    fn say_marks(&mut self) {
        self.say(Saying::Marks { purges: self.has_purges, plan: self.shown_plan.clone() });
    }

    /// All purges up to that number were told.
    pub fn has_purges(&mut self, number: u64) {
        if number > self.has_purges {
            self.has_purges = number;
            self.say_marks();
        }
    }

    /// What it goes by itself: version and last purge.
    pub fn goes(&self) -> (u64, u64) {
        (self.version(), self.has_purges)
    }

    fn say(&mut self, saying: Saying) {
        self.place += 1;
        self.said.push_back(saying);
        while self.said.len() > MOST_SAID {
            self.said.pop_front();
        }
    }

    /// A purge of the service. Routers know objects and groups; anything wider is told of every group.
    pub fn purge(&mut self, scope: &Checked, at: Moment) {
        let at_ms = at.micros() / 1_000;
        match scope {
            Checked::Object(object) | Checked::Part(object, _) => self.purge_object(*object, at_ms),
            Checked::Group(group) => self.purge_group(*group, at_ms),
            _ => (0..self.groups).for_each(|group| self.purge_group(group, at_ms)),
        }
    }

    fn purge_object(&mut self, object: u64, at_ms: u64) {
        if self.objects.len() >= MOST_OBJECTS && !self.objects.contains_key(&object) {
            let latest = self.objects.values().copied().max().unwrap_or(0).max(at_ms);
            self.objects.clear();
            return (0..self.groups).for_each(|group| self.purge_group(group, latest));
        }
        let known = self.objects.entry(object).or_insert(0);
        *known = at_ms.max(*known);
        self.say(Saying::Purge { object: Some(object), group: None, at_ms });
    }

    fn purge_group(&mut self, group: u32, at_ms: u64) {
        let known = self.purged_groups.entry(group).or_insert(0);
        *known = at_ms.max(*known);
        self.say(Saying::Purge { object: None, group: Some(group), at_ms });
    }

    /// All purges that live are known.
    pub fn knows_purges(&mut self) {
        self.knows_purges = true;
    }

    /// Why nobody is told anything yet.
    pub fn waits_for(&self) -> Option<&'static str> {
        match (&self.version, self.knows_purges) {
            (None, _) => Some("no version was told yet"),
            (_, false) => Some("the purges that live are not known yet"),
            _ => None,
        }
    }

    /// What a router that calls is told first, and the place after which the rest follows. None: nothing yet.
    pub fn whole(&self) -> Option<(Vec<Saying>, u64)> {
        if self.waits_for().is_some() {
            return None;
        }
        let now = self.shown.back()?.clone();
        let mut sayings = vec![Saying::Ties { long_before: None, before: None, now }];
        let group =
            |(group, at_ms): (&u32, &u64)| Saying::Purge { object: None, group: Some(*group), at_ms: *at_ms };
        let object = |(object, at_ms): (&u64, &u64)| Saying::Purge {
            object: Some(*object),
            group: None,
            at_ms: *at_ms,
        };
        sayings.extend(self.purged_groups.iter().map(group));
        sayings.extend(self.objects.iter().map(object));
        sayings.push(Saying::Marks { purges: self.has_purges, plan: self.shown_plan.clone() });
        Some((sayings, self.place))
    }

    /// What was said after that place.
    pub fn after(&self, place: u64) -> Result<impl Iterator<Item = &Saying>, Behind> {
        let missed = self.place.saturating_sub(place) as usize;
        match missed <= self.said.len() {
            true => Ok(self.said.iter().skip(self.said.len() - missed)),
            false => Err(Behind),
        }
    }

    pub fn place(&self) -> u64 {
        self.place
    }

    pub fn branch(&self) -> &str {
        &self.branch
    }

    /// The version in service, as far as it was told.
    pub fn version(&self) -> u64 {
        self.version.as_ref().map_or(0, Shape::version)
    }

    pub fn shape(&self) -> Option<&Shape> {
        self.version.as_ref()
    }
}
