//! Whether a purge that was reported was everywhere: the steps of all members and the reports, in the order in which they
//! happened. No input or output.
use std::collections::{BTreeMap, BTreeSet};

/// What a member did.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Did {
    /// It has applied all up to that number, and serves.
    Has(u64),
    /// It takes nothing from those on that list any more, and from everybody else.
    Fences(List),
    /// It serves nothing.
    Gone,
}

/// The place of a list in [`Lists`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct List(usize);

/// Lists of members, each kept once: most members go by the same ones.
#[derive(Clone, Debug)]
pub struct Lists {
    all: Vec<BTreeSet<usize>>,
    places: BTreeMap<BTreeSet<usize>, List>,
}

impl Default for Lists {
    /// The first is the empty one.
    fn default() -> Lists {
        Lists { all: vec![BTreeSet::new()], places: BTreeMap::from([(BTreeSet::new(), List(0))]) }
    }
}

impl Lists {
    pub fn place(&mut self, list: BTreeSet<usize>) -> List {
        if let Some(place) = self.places.get(&list) {
            return *place;
        }
        let place = List(self.all.len());
        self.all.push(list.clone());
        self.places.insert(list, place);
        place
    }

    pub fn at(&self, place: List) -> &BTreeSet<usize> {
        &self.all[place.0]
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    pub at: u64,
    pub member: usize,
    pub did: Did,
}

/// Whoever asked for the purge has heard that it is everywhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    pub at: u64,
    pub number: u64,
}

/// What came of all reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    pub reports: usize,
    /// Reports at which some member served without the purge, and nobody was safe from what it gave: see [`safe`].
    pub wrongly_reached: usize,
    /// Reports at which somebody lacked the purge and was fenced for it.
    pub fenced_for: usize,
    /// The most members at once that lacked a purge that was reported.
    pub lacked_most: usize,
}

#[derive(Default)]
struct Member {
    /// None: it serves nothing.
    has: Option<u64>,
    fences: List,
}

/// Steps and reports in any order; those at the same moment count as if the report came first.
pub fn judge(lists: &Lists, mut steps: Vec<Step>, mut reports: Vec<Report>) -> Verdict {
    steps.sort_by_key(|step| step.at);
    reports.sort_by_key(|report| report.at);
    let mut members: BTreeMap<usize, Member> = BTreeMap::new();
    let (mut steps, mut verdict) = (steps.into_iter().peekable(), Verdict::default());
    for report in reports {
        while let Some(step) = steps.next_if(|step| step.at < report.at) {
            let member = members.entry(step.member).or_default();
            match step.did {
                Did::Has(number) => member.has = Some(number),
                Did::Fences(list) => member.fences = list,
                Did::Gone => *member = Member::default(),
            }
        }
        verdict.reports += 1;
        let lacks = |member: &Member| member.has.is_some_and(|has| has < report.number);
        let late: Vec<usize> = members.iter().filter(|(_, m)| lacks(m)).map(|(n, _)| *n).collect();
        verdict.lacked_most = verdict.lacked_most.max(late.len());
        if late.is_empty() {
            continue;
        }
        match safe(lists, &members, late.into_iter().collect()) {
            0 => verdict.wrongly_reached += 1,
            _ => verdict.fenced_for += 1,
        }
    }
    verdict
}

/// How many that serve can't come by an older copy. Whoever takes from one that lacks the purge may have an older copy
/// from it again, whatever it has applied itself, and so may whoever takes from that one; who is fenced by all others
/// leads no further. Where a member that all take from still takes from one that is late, nobody is left.
fn safe(lists: &Lists, members: &BTreeMap<usize, Member>, late: BTreeSet<usize>) -> usize {
    let mut unsafe_ones = late;
    loop {
        // Many go by the same list.
        let mut holds_off = BTreeMap::<List, bool>::new();
        let serving = members.iter().filter(|(_, member)| member.has.is_some());
        let safe = serving.filter(|(n, _)| !unsafe_ones.contains(n));
        let (safe, more): (Vec<_>, Vec<_>) = safe.partition(|(_, m)| {
            *holds_off.entry(m.fences).or_insert_with(|| unsafe_ones.is_subset(lists.at(m.fences)))
        });
        if more.is_empty() {
            return safe.len();
        }
        unsafe_ones.extend(more.into_iter().map(|(n, _)| *n));
    }
}
