//! What a branch's routers are told, and in which order. No socket, no clock.
//!
//! A router takes only the number that follows the last one it has. Numbers are therefore the connection's own: whoever
//! calls is told the whole list and the purges that it lacks, under the numbers that follow its last, and from there on what
//! is new. So a feed that starts anew, or a second one beside it, leaves no router behind, and needs no disk for it.
//!
//! Purges have numbers of their own, those of the service's one order. By them a router that calls again says what it has
//! ([`Had`]), whichever feed of the service told it.
use crate::ties::{Shown, Ties};
use harestage::time::{Moment, Span};
use harestage_purge::scope::CompiledScope;
use harestage_shape::config::ShapeConfig;
use harestage_shape::feed;
use harestage_shape::messages::FallbackPlan;
use harestage_shape::topology::Shape;
use harestage_sites::fallback::FallbackChange;
use harestage_wire::feed::AppliedPurges;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::rc::Rc;

/// Sayings that are kept for those who are behind; who is further behind calls again and is told the whole.
const MOST_SAID: usize = 2_048;
/// Purges are kept for as long, by the service's clock: a day, and a minute for clocks that differ.
pub const LIVES: Span = Span::millis(86_460_000);
/// Bytes of purges of single objects that are kept: at 24 bytes each 2,097,152 of them, which are a day at 24 a second. The
/// usual 12 a second take half of it, so that a day of twice the usual, or a million at once, is kept exactly.
pub const MOST_LIVE_BYTES: usize = 48 << 20;
const MOST_LIVE: usize = MOST_LIVE_BYTES / size_of::<Live>();
/// Purges that are folded at once where that binds: six minutes at 12 a second. Fewer would fold for every purge that comes.
const FOLDED_AT_ONCE: usize = 4_096;
/// Purges of single objects that one caller is told by themselves: an hour at 12 a second, 3 MB. What it lacks beyond them is
/// told of every group, up to the latest of that.
pub const MOST_TOLD: usize = 43_200;
/// Clocks of the service and of a feed differ by as much at most, where purges are left out because they are old.
const CLOCKS_DIFFER: Span = Span::millis(5_000);
/// Purges of groups, of 65,536 at most, are looked through for old ones so often.
const GROUPS_TIDIED_EVERY: Span = Span::millis(60_000);

/// One thing that routers are told.
#[derive(Clone, Debug)]
pub enum Saying {
    /// The ties, after those of the two sayings before; the whole list where there were none.
    Ties { long_before: Option<Rc<Shape>>, before: Option<Rc<Shape>>, now: Rc<Shape> },
    /// Copies that were given out up to then are old.
    Purge { object: Option<u64>, group: Option<u32>, at_ms: u64 },
    /// What whoever has taken all that was said goes by.
    Marks { purges: u64, at_ms: u64, plan: String },
}

impl Saying {
    /// As the platform words it, under the connection's own number.
    pub fn line(&self, number: u64, branch: &str) -> Vec<u8> {
        match self {
            Saying::Ties { long_before, before, now } => {
                feed::version_event(number, long_before.as_deref(), before.as_deref(), now, branch)
            }
            Saying::Purge { object, group, at_ms } => feed::purge_event(number, *object, *group, *at_ms),
            Saying::Marks { purges, at_ms, plan } => feed::markers_event(number, *purges, *at_ms, plan),
        }
    }
}

/// It has missed more than is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Behind;

/// A purge of a single object.
#[derive(Clone, Copy, Debug)]
struct Live {
    object: u64,
    at_ms: u64,
    /// Its number in the service's order, or a later one: fences have numbers, too, and are not told apart here.
    number: u64,
}

/// The latest purge of a group.
#[derive(Clone, Copy, Debug, Default)]
struct OfGroup {
    at_ms: u64,
    number: u64,
}

/// What came of purges that were taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Took {
    OnTop,
    /// The service counts anew: what routers say of its numbers means nothing any more, and they have to call again.
    Anew,
}

/// All that a branch's routers go by.
pub struct Board {
    ties: Ties,
    /// Groups that the archive knows, from 0 on: what can't be told otherwise is told of each of them.
    groups: u32,
    /// In the order of their numbers, so that the oldest go first and what follows a number is found at once.
    live: VecDeque<Live>,
    purged_groups: BTreeMap<u32, OfGroup>,
    groups_tidied: Moment,
    folds: u64,
    /// The sites that were left out when the ties were shown last.
    shown_plan: String,
    said: VecDeque<Saying>,
    /// The place of the saying that was said last, from 1 on.
    place: u64,
    /// All purges that live are known.
    knows_purges: bool,
    /// The last number of purges that was told, and when the purge was asked for that is the last up to it.
    has_purges: u64,
    last_at_ms: u64,
    /// The highest such number ever.
    goes_by_purge: u64,
}

impl Board {
    /// `waits`: there is a service of purges, and nobody is told anything before all that live are known.
    pub fn new(branch: &str, groups: u32, waits: bool, now: Moment) -> Board {
        Board {
            ties: Ties::new(branch, now),
            groups,
            live: VecDeque::new(),
            purged_groups: BTreeMap::new(),
            groups_tidied: now,
            folds: 0,
            shown_plan: String::new(),
            said: VecDeque::new(),
            place: 0,
            knows_purges: !waits,
            has_purges: 0,
            last_at_ms: 0,
            goes_by_purge: 0,
        }
    }

    /// The version in service, with the plans for this branch. One that does not hold, or does not name the branch, is
    /// passed over whole.
    pub fn told(
        &mut self,
        form: &ShapeConfig,
        plans: Vec<FallbackPlan>,
        now: Moment,
    ) -> Option<FallbackChange> {
        let turn = self.service_spoke(now);
        if self.ties.set_version(form, plans, now) {
            self.show();
        }
        turn
    }

    /// The control service has said something, whatever it was.
    pub fn service_spoke(&mut self, now: Moment) -> Option<FallbackChange> {
        let turn = self.ties.on_service_message(now);
        if turn.is_some() {
            self.show();
        }
        turn
    }

    /// A hub has answered, and named the sites from which it hears nothing.
    pub fn seen(&mut self, hub: &str, unseen: &[String], leaving: bool, now: Moment) {
        self.ties.on_observation(hub, unseen, leaving, now);
    }

    /// To be called some times a second.
    pub fn beat(&mut self, now: Moment) -> Option<FallbackChange> {
        let oldest_ms = (now.micros().saturating_sub(LIVES.as_micros())) / 1_000;
        // Clocks of members that gave numbers differ: one that is old behind one that is not stays a while longer.
        while self.live.front().is_some_and(|live| live.at_ms < oldest_ms) {
            self.live.pop_front();
        }
        if now.since(self.groups_tidied) >= GROUPS_TIDIED_EVERY {
            self.groups_tidied = now;
            self.purged_groups.retain(|_, known| known.at_ms >= oldest_ms);
        }
        let turn = self.ties.tick(now)?;
        self.show();
        Some(turn)
    }

    /// Shows the ties again if fences have changed them. Returns whether they have.
    fn show_fences(&mut self) -> bool {
        let changed = self.ties.have_changed();
        if changed {
            self.show();
        }
        changed
    }

    fn show(&mut self) {
        let Some(Shown { long_before, before, now }) = self.ties.show() else { return };
        self.say(Saying::Ties { long_before, before, now });
        if self.shown_plan != self.plan() {
            self.shown_plan = self.plan();
            self.say_marks();
        }
    }

    /// The sites that it goes without, for marks.
    pub fn plan(&self) -> String {
        self.ties.excluded_sites()
    }

    fn say_marks(&mut self) {
        self.say(self.marks());
    }

    fn marks(&self) -> Saying {
        let plan = self.shown_plan.clone();
        Saying::Marks { purges: self.has_purges, at_ms: self.last_at_ms, plan }
    }

    /// What it goes by itself: version and last purge.
    pub fn goes(&self) -> (u64, u64) {
        (self.version(), self.goes_by_purge)
    }

    fn say(&mut self, saying: Saying) {
        self.place += 1;
        self.said.push_back(saying);
        while self.said.len() > MOST_SAID {
            self.said.pop_front();
        }
    }

    /// Which members are fenced from now on. Routers are told with the purges that are taken next, before the marks that
    /// they confirm: a fence holds once they have.
    pub fn set_fenced(&mut self, fenced: BTreeSet<String>, now: Moment) {
        self.ties.set_fenced(fenced, now);
    }

    /// Hubs that no router may name as a source, of those that the branch is tied to.
    pub fn fenced_ties(&self) -> Vec<&str> {
        self.ties.fenced()
    }

    /// Purges of the service in their order; `has` is the number up to which there is none beside them and those before.
    pub fn take(&mut self, purges: &[(CompiledScope, Moment)], has: u64) -> Took {
        // Each has a number of its own, and the last has this one at most.
        let behind = purges.len() as u64;
        // Told again, as all that lives is: what is known stays as it is.
        let again = behind > has.saturating_sub(self.has_purges);
        let known: HashSet<(u64, u64)> = match again {
            true => self.live.iter().map(|live| (live.object, live.at_ms)).collect(),
            false => HashSet::new(),
        };
        let (before, mut unknown) = (self.has_purges, false);
        if has < before {
            self.live.iter_mut().for_each(|live| live.number = has);
            self.purged_groups.values_mut().for_each(|known| known.number = has);
        }
        for ((scope, at), behind) in purges.iter().zip((0..behind).rev()) {
            self.last_at_ms = at.micros() / 1_000;
            if again && self.has_taken(scope, self.last_at_ms, &known) {
                continue;
            }
            // Told late, or of another order: whoever has less than all of this is told it.
            let number = has.saturating_sub(behind);
            let number = if before > 0 && number <= before { has } else { number };
            unknown |= !matches!(scope, CompiledScope::Everything);
            self.purge(scope, self.last_at_ms, number);
        }
        let unconfirmed = self.show_fences() || unknown;
        if has != before {
            self.has_purges = has;
            self.goes_by_purge = has.max(self.goes_by_purge);
            self.say_marks();
        }
        // Under a number that routers have confirmed already they can't confirm anything more.
        if has < before || has == before && unconfirmed { Took::Anew } else { Took::OnTop }
    }

    fn has_taken(&self, scope: &CompiledScope, at_ms: u64, known: &HashSet<(u64, u64)>) -> bool {
        let has_group = |group| self.purged_groups.get(&group).is_some_and(|known| known.at_ms >= at_ms);
        match scope {
            CompiledScope::Object(object) | CompiledScope::Part(object, _) => {
                known.contains(&(*object, at_ms))
            }
            CompiledScope::Group(group) => has_group(*group),
            _ => (0..self.groups).all(has_group),
        }
    }

    /// Routers know objects and groups; anything wider is told of every group.
    fn purge(&mut self, scope: &CompiledScope, at_ms: u64, number: u64) {
        match scope {
            CompiledScope::Object(object) | CompiledScope::Part(object, _) => {
                self.purge_object(*object, at_ms, number)
            }
            CompiledScope::Group(group) => self.purge_group(*group, at_ms, number),
            _ => (0..self.groups).for_each(|group| self.purge_group(group, at_ms, number)),
        }
    }

    fn purge_object(&mut self, object: u64, at_ms: u64, number: u64) {
        if self.live.len() >= MOST_LIVE {
            self.fold();
        }
        // What was told late stands behind what came before it: numbers here never go back.
        let number = self.live.back().map_or(number, |last| number.max(last.number));
        self.live.push_back(Live { object, at_ms, number });
        self.say(Saying::Purge { object: Some(object), group: None, at_ms });
    }

    fn purge_group(&mut self, group: u32, at_ms: u64, number: u64) {
        self.note_group(group, at_ms, number);
        self.say(Saying::Purge { object: None, group: Some(group), at_ms });
    }

    fn note_group(&mut self, group: u32, at_ms: u64, number: u64) {
        let known = self.purged_groups.entry(group).or_default();
        *known = OfGroup { at_ms: at_ms.max(known.at_ms), number: number.max(known.number) };
    }

    /// The oldest stand as purges of every group up to the latest of them: nobody told which group an object is of, and
    /// routers have no narrower word. Those who follow were told them one by one, and are not told this.
    fn fold(&mut self) {
        let oldest: Vec<Live> = self.live.drain(..FOLDED_AT_ONCE.min(self.live.len())).collect();
        let at_ms = oldest.iter().map(|live| live.at_ms).max().unwrap_or(0);
        let number = oldest.last().map_or(0, |live| live.number);
        (0..self.groups).for_each(|group| self.note_group(group, at_ms, number));
        self.folds += 1;
    }

    /// How often purges of objects were folded into purges of every group.
    pub fn folds(&self) -> u64 {
        self.folds
    }

    /// Purges of single objects that are kept, and the bytes that they take.
    pub fn live(&self) -> (usize, usize) {
        (self.live.len(), self.live.capacity() * size_of::<Live>())
    }

    /// All purges that live are known.
    pub fn knows_purges(&mut self) {
        self.knows_purges = true;
    }

    /// Why nobody is told anything yet.
    pub fn waits_for(&self) -> Option<&'static str> {
        match (self.ties.version(), self.knows_purges) {
            (None, _) => Some("no version was told yet"),
            (_, false) => Some("the purges that live are not known yet"),
            _ => None,
        }
    }

    /// What a router that calls, and says nothing of what it has, is told first, and the place after which the rest follows.
    /// None: nothing yet.
    pub fn whole(&self) -> Option<(Vec<Saying>, u64)> {
        self.list(None, 0)
    }

    /// The same for one that says what it has: without the purges that it was told, and those that no longer matter to it.
    pub fn lacking(&self, had: &AppliedPurges, now: Moment) -> Option<(Vec<Saying>, u64)> {
        // Nothing is kept here for longer, whatever it says.
        let matters = Span::millis(had.retention_ms.min(LIVES.as_micros() / 1_000)) + CLOCKS_DIFFER;
        self.list(self.knows(had).then_some(had.number), now.before(matters).micros() / 1_000)
    }

    /// The number is one of this order: the purge that is the last up to it here was asked for at the same moment there.
    fn knows(&self, had: &AppliedPurges) -> bool {
        let before = self.live.partition_point(|live| live.number <= had.number);
        let of_objects = before.checked_sub(1).and_then(|at| self.live.get(at));
        let of_objects = of_objects.map(|live| (live.number, live.at_ms));
        let of_groups = self.purged_groups.values().filter(|known| known.number <= had.number);
        let of_groups = of_groups.map(|known| (known.number, known.at_ms)).max();
        of_objects.max(of_groups).is_some_and(|(_, at_ms)| at_ms == had.at_ms)
    }

    /// `after`: purges up to that number are left out, and those that were asked for before `oldest_ms`.
    fn list(&self, after: Option<u64>, oldest_ms: u64) -> Option<(Vec<Saying>, u64)> {
        if self.waits_for().is_some() {
            return None;
        }
        let now = self.ties.shown()?.clone();
        let mut sayings = vec![Saying::Ties { long_before: None, before: None, now }];
        let lacks = |number: u64, at_ms: u64| after.is_none_or(|after| number > after) && at_ms >= oldest_ms;
        let skipped = after.map_or(0, |after| self.live.partition_point(|live| live.number <= after));
        let lacked = self.live.iter().skip(skipped).filter(|live| lacks(live.number, live.at_ms));
        let beyond = lacked.clone().count().saturating_sub(MOST_TOLD);
        let beyond_ms = lacked.clone().take(beyond).map(|live| live.at_ms).max();
        let mut groups: BTreeMap<u32, u64> = BTreeMap::new();
        groups.extend(
            beyond_ms.into_iter().flat_map(|at_ms| (0..self.groups).map(move |group| (group, at_ms))),
        );
        for (group, known) in self.purged_groups.iter().filter(|(_, known)| lacks(known.number, known.at_ms))
        {
            let told = groups.entry(*group).or_insert(0);
            *told = known.at_ms.max(*told);
        }
        let group = |(group, at_ms)| Saying::Purge { object: None, group: Some(group), at_ms };
        let object =
            |live: &Live| Saying::Purge { object: Some(live.object), group: None, at_ms: live.at_ms };
        sayings.extend(groups.into_iter().map(group));
        sayings.extend(lacked.skip(beyond).map(object));
        sayings.push(self.marks());
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
        self.ties.branch()
    }

    /// The version in service, as far as it was told.
    pub fn version(&self) -> u64 {
        self.ties.version().map_or(0, Shape::version)
    }

    pub fn shape(&self) -> Option<&Shape> {
        self.ties.version()
    }
}
