//! Where the load of a lost site goes, worked out for every version before anything fails.
//!
//! Routers spread what they ask for evenly over a branch's ties, and know no weights. So a plan is, for each place that
//! loses a tie, the hubs that it is tied to while the site is away: those that are left where they bear it, since they hold
//! the copies, and further ones with the most room where they don't. Places are taken largest first, and the widest hub
//! first; what does not fit is said beforehand, in fills a second that will be refused.
//!
//! Planning touches what the loss touches: the places tied to the site, and a heap of hubs by their room. A plan of the
//! version before is kept where it still holds, so that plans don't change with every version.
use harestage::time::{Moment, Span};
use harestage_shape::topology::{Node, NodeIndex, Shape, warm_fraction};
use harestage_shape::validation;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

/// Of what a hub can do at its age, what it is asked for at most while a site is away: nearer to all of it, what waits in
/// line makes answers late at every branch.
pub const HUB_SHARE: f64 = 0.7;
/// Of the archive's stopping point, what it is asked for at most.
pub const ARCHIVE_SHARE: f64 = 0.8;
/// Of what a link between two sites carries.
const LINK_SHARE: f64 = 0.9;
/// Ties that a place is given at most.
const MOST_TIES: usize = 6;
/// Hubs that are looked at for one tie, at most.
const LOOKED_AT: usize = 16;

/// What is done when these sites are lost together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SitePlan {
    pub lost: Vec<String>,
    /// New ties of each place that loses one, by its name.
    #[serde(rename = "ties")]
    pub upstreams: BTreeMap<String, Vec<String>>,
    /// Fills a second that no hub will bear, by the hub that is asked for them.
    pub refused: BTreeMap<String, f64>,
    /// Of all fills a second that are asked for, the part that is refused.
    pub refused_share: f64,
    /// The fullest hub, as a part of what it can do at its age.
    pub fullest: String,
    pub fullest_share: f64,
    /// What the archive is asked for, of its stopping point: while homes that were lost are fetched anew, if nothing held
    /// it back, and afterwards.
    pub archive_first: f64,
    pub archive_after: f64,
    /// Nobody is left.
    pub all_lost: bool,
}

impl SitePlan {
    /// Whether all that is asked for is served, and the archive stays below its mark once copies are back.
    pub fn fits(&self) -> bool {
        !self.all_lost && self.refused.is_empty() && self.archive_after <= ARCHIVE_SHARE
    }

    /// The shape in service while these sites are away. `version` is its number.
    pub fn shape(&self, from: &Shape, version: u64) -> Shape {
        let ties = |(place, ties): (&String, &Vec<String>)| {
            let to: Vec<NodeIndex> = ties.iter().filter_map(|tie| from.find(tie)).collect();
            Some((from.find(place)?, to))
        };
        let moved: Vec<(NodeIndex, Vec<NodeIndex>)> = self.upstreams.iter().filter_map(ties).collect();
        let lost = from.hubs().filter(|(_, hub)| self.lost.contains(&hub.site));
        // Hubs of a lost site are tied to nothing: no object has its home there.
        let cut = lost.map(|(at, _)| (at, Vec::new()));
        let all: Vec<_> = moved.into_iter().chain(cut).collect();
        from.with_upstreams(version, all.iter().map(|(at, ties)| (*at, ties.as_slice())))
    }
}

/// Plans for each site, and for each pair.
#[derive(Clone, Debug, Default)]
pub struct SitePlans {
    pub version: u64,
    by_loss: BTreeMap<BTreeSet<String>, SitePlan>,
    /// Plans that were made anew for this version; the others still held.
    pub recomputed: usize,
}

impl SitePlans {
    /// Makes all plans of a version, and keeps those of the version before that still hold.
    pub fn build(shape: &Shape, before: Option<&SitePlans>, pairs: bool, now: Moment) -> SitePlans {
        let base = Base::of(shape, now);
        let sites: Vec<String> = base.sites.iter().filter(|site| !site.is_empty()).cloned().collect();
        let mut losses: Vec<BTreeSet<String>> =
            sites.iter().map(|site| BTreeSet::from([site.clone()])).collect();
        if pairs {
            for (n, a) in sites.iter().enumerate() {
                losses.extend(sites[n + 1..].iter().map(|b| BTreeSet::from([a.clone(), b.clone()])));
            }
        }
        let (mut by_loss, mut made) = (BTreeMap::new(), 0);
        for lost in losses {
            let kept = before.and_then(|plans| plans.by_loss.get(&lost)).and_then(|plan| base.again(plan));
            made += usize::from(kept.is_none());
            let plan = kept.unwrap_or_else(|| base.plan(&lost));
            by_loss.insert(lost, plan);
        }
        SitePlans { version: shape.version(), by_loss, recomputed: made }
    }

    /// The plan for these sites; none where nobody made one for so many.
    pub fn get(&self, lost: &BTreeSet<String>) -> Option<&SitePlan> {
        self.by_loss.get(lost)
    }

    pub fn all(&self) -> impl Iterator<Item = &SitePlan> {
        self.by_loss.values()
    }
}

/// Plans for each site and each pair, each beside those that are out already; `lost` names only what is lost then.
pub fn plans_with_sites_out(shape: &Shape, out: &BTreeSet<String>, now: Moment) -> Vec<SitePlan> {
    let base = Base::of(shape, now);
    let left: Vec<&String> = base.sites.iter().filter(|s| !s.is_empty() && !out.contains(*s)).collect();
    let mut losses: Vec<BTreeSet<String>> =
        left.iter().map(|site| BTreeSet::from([site.to_string()])).collect();
    for (n, a) in left.iter().enumerate() {
        losses.extend(left[n + 1..].iter().map(|b| BTreeSet::from([a.to_string(), b.to_string()])));
    }
    let planned = losses.into_iter().flat_map(|lost| {
        let plan = base.plan(&lost.union(out).cloned().collect());
        // One that was out for being lost may be seen as lost too, by whoever carries it out.
        let alone = SitePlan { lost: lost.iter().cloned().collect(), ..plan.clone() };
        [alone, plan]
    });
    planned.collect()
}

/// The plan for any set of sites, made now.
pub fn plan_loss(shape: &Shape, lost: &BTreeSet<String>, now: Moment) -> SitePlan {
    Base::of(shape, now).plan(lost)
}

type HubNo = usize;

struct Hub {
    name: String,
    site: usize,
    /// What it may be asked for while a site is away.
    limit: f64,
    can: f64,
    passes: f64,
    top: bool,
}

struct Tied {
    name: String,
    /// None: it names no site, and no link is reckoned for it.
    site: Option<usize>,
    load: f64,
    ties: Vec<HubNo>,
    /// A hub below others; it must not be tied below itself.
    hub: Option<HubNo>,
}

/// What a version says, laid out for planning.
struct Base {
    sites: Vec<String>,
    hubs: Vec<Hub>,
    tied: Vec<Tied>,
    /// Asked from below, by hub.
    asked: Vec<f64>,
    /// Places that are tied to a site's hubs.
    by_site: Vec<Vec<usize>>,
    numbers: HashMap<String, HubNo>,
    /// Fills a second between two sites, and how many of them are in use.
    links: BTreeMap<(usize, usize), f64>,
    link_used: BTreeMap<(usize, usize), f64>,
    stopping: f64,
    total: f64,
}

impl Base {
    fn of(shape: &Shape, now: Moment) -> Base {
        let mut sites: Vec<String> = shape.hubs().map(|(_, hub)| hub.site.clone()).collect();
        sites.sort();
        sites.dedup();
        let number = |site: &str| sites.binary_search_by(|s| s.as_str().cmp(site)).ok();
        let loads = validation::loads(shape).unwrap_or_default();
        let tops: BTreeSet<NodeIndex> = shape.top_hubs().iter().copied().collect();
        let (mut hubs, mut by_place) = (Vec::new(), BTreeMap::new());
        for (at, hub) in shape.hubs() {
            let age = match hub.since_ms {
                0 => Span::millis(hub.cold_ms),
                since_ms => now.since(Moment::at_micros(since_ms.saturating_mul(1_000))),
            };
            let can = hub.capacity * warm_fraction(hub, age);
            by_place.insert(at, hubs.len());
            hubs.push(Hub {
                name: hub.name.clone(),
                site: number(&hub.site).unwrap_or(0),
                limit: can * HUB_SHARE,
                can,
                passes: hub.passes,
                top: tops.contains(&at),
            });
        }
        let mut tied = Vec::new();
        for (at, place) in shape.nodes() {
            let ties: Vec<HubNo> =
                shape.upstreams(at).iter().filter_map(|tie| by_place.get(tie).copied()).collect();
            let (load, site, hub) = match place {
                Node::Branch(branch) => (branch.load, branch.site.as_str(), None),
                Node::Hub(hub) if !tops.contains(&at) => {
                    (loads.of(at) * hub.passes, hub.site.as_str(), by_place.get(&at).copied())
                }
                _ => continue,
            };
            if !ties.is_empty() {
                let site = Some(site).filter(|site| !site.is_empty()).and_then(number);
                tied.push(Tied { name: place.name().into(), site, load, ties, hub });
            }
        }
        let archive = shape.archive();
        let mut base = Base {
            asked: vec![0.0; hubs.len()],
            by_site: vec![Vec::new(); sites.len()],
            numbers: hubs.iter().enumerate().map(|(n, h)| (h.name.clone(), n)).collect(),
            links: shape
                .links()
                .filter_map(|(a, b, fills)| Some((pair(number(a)?, number(b)?), fills)))
                .collect(),
            link_used: BTreeMap::new(),
            stopping: archive.capacity * archive.stops_at,
            total: tied.iter().filter(|t| t.hub.is_none()).map(|t| t.load).sum(),
            sites,
            hubs,
            tied,
        };
        base.fill();
        base
    }

    fn fill(&mut self) {
        for n in 0..self.tied.len() {
            let (ties, load) = (self.tied[n].ties.clone(), self.tied[n].load);
            let part = load / ties.len() as f64;
            for tie in &ties {
                self.asked[*tie] += part;
                let sites = &mut self.by_site[self.hubs[*tie].site];
                if sites.last() != Some(&n) {
                    sites.push(n);
                }
                if let Some(link) = self.link(n, *tie) {
                    *self.link_used.entry(link).or_default() += part;
                }
            }
        }
    }

    /// The link that a place's fills from a hub go over, if it is bounded.
    fn link(&self, place: usize, hub: HubNo) -> Option<(usize, usize)> {
        let (own, far) = (self.tied[place].site?, self.hubs[hub].site);
        let link = pair(own, far);
        (own != far && self.links.contains_key(&link)).then_some(link)
    }

    /// Whether a plan of an earlier version still holds for this one; its figures are reckoned anew.
    fn again(&self, plan: &SitePlan) -> Option<SitePlan> {
        let lost = self.lost(&plan.lost.iter().cloned().collect())?;
        let affected = self.affected(&lost);
        if affected.len() != plan.upstreams.len() || !plan.refused.is_empty() || plan.all_lost {
            return None;
        }
        let mut laid = Laid::new(self, &lost, &affected);
        for n in &affected {
            let ties = plan.upstreams.get(&self.tied[*n].name)?;
            let ties: Vec<HubNo> =
                ties.iter().map(|t| self.numbers.get(t).copied()).collect::<Option<_>>()?;
            if ties.is_empty() || ties.iter().any(|tie| lost[self.hubs[*tie].site]) {
                return None;
            }
            // Ties that are left and were not there when the plan was made would be passed by.
            let left = self.tied[*n].ties.iter().filter(|tie| !lost[self.hubs[**tie].site]);
            if left.into_iter().any(|tie| !ties.contains(tie)) {
                return None;
            }
            laid.lay(*n, &ties);
        }
        let again = laid.plan(&affected);
        again.fits().then_some(again)
    }

    /// By site number; none where a site is not known here.
    fn lost(&self, lost: &BTreeSet<String>) -> Option<Vec<bool>> {
        let mut by_number = vec![false; self.sites.len()];
        for site in lost {
            by_number[self.sites.iter().position(|s| s == site)?] = true;
        }
        Some(by_number)
    }

    /// Places that lose a tie and are not lost themselves, largest first.
    fn affected(&self, lost: &[bool]) -> Vec<usize> {
        let mut affected: Vec<usize> = (0..self.sites.len())
            .filter(|site| lost[*site])
            .flat_map(|site| self.by_site[site].iter().copied())
            .filter(|n| self.tied[*n].hub.is_none_or(|hub| !lost[self.hubs[hub].site]))
            .collect();
        affected.sort_unstable();
        affected.dedup();
        affected.sort_by(|a, b| self.tied[*b].load.total_cmp(&self.tied[*a].load).then(a.cmp(b)));
        affected
    }

    fn plan(&self, lost: &BTreeSet<String>) -> SitePlan {
        let Some(by_number) = self.lost(lost) else { return SitePlan::default() };
        let affected = self.affected(&by_number);
        let mut laid = Laid::new(self, &by_number, &affected);
        for n in &affected {
            let ties = laid.choose(*n);
            laid.lay(*n, &ties);
        }
        laid.plan(&affected)
    }
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

/// Rooms in a heap, widest first; equal ones by their number, so that every planner says the same.
#[derive(PartialEq)]
struct Room(f64, HubNo);

impl Eq for Room {}
impl PartialOrd for Room {
    fn partial_cmp(&self, other: &Room) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Room {
    fn cmp(&self, other: &Room) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(other.1.cmp(&self.1))
    }
}

/// A plan that is being made.
struct Laid<'a> {
    base: &'a Base,
    asked: Vec<f64>,
    /// What hubs at the top ask of each other.
    sideways: f64,
    link_used: BTreeMap<(usize, usize), f64>,
    rooms: BinaryHeap<Room>,
    ties: BTreeMap<usize, Vec<HubNo>>,
    /// By site.
    lost: &'a [bool],
}

impl<'a> Laid<'a> {
    fn new(base: &'a Base, lost: &'a [bool], affected: &[usize]) -> Laid<'a> {
        let (mut asked, mut link_used) = (base.asked.clone(), base.link_used.clone());
        for n in affected {
            let tied = &base.tied[*n];
            let part = tied.load / tied.ties.len() as f64;
            for tie in &tied.ties {
                asked[*tie] -= part;
                base.link(*n, *tie).map(|link| link_used.entry(link).and_modify(|used| *used -= part));
            }
        }
        // What lost hubs of a lower tier passed on, they pass on no more.
        let gone = base.tied.iter().filter(|t| t.hub.is_some_and(|hub| lost[base.hubs[hub].site]));
        for tied in gone {
            tied.ties.iter().for_each(|tie| asked[*tie] -= tied.load / tied.ties.len() as f64);
        }
        let left = |hub: &&Hub| hub.top && !lost[hub.site];
        let tops = base.hubs.iter().filter(left).count().max(1) as f64;
        let all: f64 =
            base.hubs.iter().zip(&base.asked).filter(|(h, _)| h.top).map(|(h, a)| h.passes * a).sum();
        let sideways = all * (1.0 - 1.0 / tops) / tops;
        let (rooms, ties) = (BinaryHeap::new(), BTreeMap::new());
        let mut laid = Laid { base, asked, sideways, link_used, rooms, ties, lost };
        let left = (0..base.hubs.len()).filter(|hub| !lost[base.hubs[*hub].site]);
        laid.rooms = left.map(|hub| Room(laid.room(hub), hub)).collect();
        laid
    }

    /// Fills a second that a hub may still be asked for.
    fn room(&self, hub: HubNo) -> f64 {
        let Hub { limit, top, .. } = &self.base.hubs[hub];
        limit - self.asked[hub] - if *top { self.sideways } else { 0.0 }
    }

    /// Also by the link between them.
    fn room_for(&self, place: usize, hub: HubNo) -> f64 {
        let link = self.base.link(place, hub).map_or(f64::INFINITY, |link| {
            self.base.links[&link] * LINK_SHARE - self.link_used.get(&link).copied().unwrap_or(0.0)
        });
        self.room(hub).min(link)
    }

    /// The ties that are left if they bear the load; else as many further ones as it takes.
    fn choose(&mut self, place: usize) -> Vec<HubNo> {
        let tied = &self.base.tied[place];
        let is_left = |hub: &HubNo| !self.lost[self.base.hubs[*hub].site];
        let mut ties: Vec<HubNo> = tied.ties.iter().copied().filter(is_left).collect();
        let fits = |laid: &Laid, ties: &[HubNo]| {
            let part = tied.load / ties.len().max(1) as f64;
            !ties.is_empty() && ties.iter().all(|tie| laid.room_for(place, *tie) >= part)
        };
        if fits(self, &ties) {
            return ties;
        }
        let mut taken = Vec::new();
        while ties.len() < MOST_TIES && !fits(self, &ties) {
            let Some(widest) = self.widest(place, &ties, &mut taken) else { break };
            ties.push(widest);
        }
        // A tie that is full already is worth less than none, as long as others bear it.
        let full: Vec<HubNo> = ties.iter().copied().filter(|tie| self.room_for(place, *tie) <= 0.0).collect();
        if full.len() < ties.len() {
            ties.retain(|tie| !full.contains(tie));
        }
        self.rooms.extend(taken);
        // Where nobody has room, the least full one refuses what it has to, by its worth; to be tied to nobody would
        // lose the dear with the cheap.
        if ties.is_empty() {
            let left = (0..self.base.hubs.len()).filter(|hub| !self.lost[self.base.hubs[*hub].site]);
            let own = self.base.tied[place].hub;
            ties.extend(
                left.filter(|hub| Some(*hub) != own).max_by(|a, b| self.room(*a).total_cmp(&self.room(*b))),
            );
        }
        ties
    }

    fn widest(&mut self, place: usize, ties: &[HubNo], taken: &mut Vec<Room>) -> Option<HubNo> {
        let mut best: Option<(f64, HubNo)> = None;
        for _ in 0..LOOKED_AT {
            let Some(Room(was, hub)) = self.rooms.pop() else { break };
            let is = self.room(hub);
            // Its room has changed since it was put there: it goes back to its place.
            if is < was {
                self.rooms.push(Room(is, hub));
                continue;
            }
            let room = self.room_for(place, hub);
            let own = self.base.tied[place].hub == Some(hub);
            if !ties.contains(&hub) && !own && room > 0.0 && best.is_none_or(|(most, _)| room > most) {
                best = Some((room, hub));
            }
            taken.push(Room(is, hub));
            // Whoever follows has no more room than this one without its link.
            if best.is_some_and(|(most, _)| most >= is) {
                break;
            }
        }
        best.map(|(_, hub)| hub)
    }

    fn lay(&mut self, place: usize, ties: &[HubNo]) {
        let part = self.base.tied[place].load / ties.len().max(1) as f64;
        for tie in ties {
            self.asked[*tie] += part;
            if let Some(link) = self.base.link(place, *tie) {
                *self.link_used.entry(link).or_default() += part;
            }
        }
        self.ties.insert(place, ties.to_vec());
    }

    fn plan(self, affected: &[usize]) -> SitePlan {
        let (base, lost) = (self.base, self.lost);
        let left: Vec<HubNo> = (0..base.hubs.len()).filter(|hub| !lost[base.hubs[*hub].site]).collect();
        let full = |hub: HubNo| self.asked[hub] + if base.hubs[hub].top { self.sideways } else { 0.0 };
        let share = |hub: HubNo| full(hub) / base.hubs[hub].can.max(1e-9);
        let fullest = left.iter().copied().max_by(|a, b| share(*a).total_cmp(&share(*b)));
        let over = |hub: &HubNo| {
            let over = full(*hub) - base.hubs[*hub].limit;
            (over > 1e-6).then(|| (base.hubs[*hub].name.clone(), over))
        };
        let mut refused: BTreeMap<String, f64> = left.iter().filter_map(over).collect();
        let homeless: f64 = affected
            .iter()
            .filter(|n| self.ties.get(n).is_none_or(Vec::is_empty))
            .map(|n| base.tied[*n].load)
            .sum();
        if homeless > 0.0 {
            refused.insert("-".into(), homeless);
        }
        let (first, after) = self.archive();
        let names = |ties: &Vec<HubNo>| ties.iter().map(|tie| base.hubs[*tie].name.clone()).collect();
        SitePlan {
            lost: base
                .sites
                .iter()
                .zip(lost)
                .filter(|(_, lost)| **lost)
                .map(|(site, _)| site.clone())
                .collect(),
            upstreams: affected.iter().map(|n| (base.tied[*n].name.clone(), names(&self.ties[n]))).collect(),
            refused_share: refused.values().sum::<f64>() / base.total.max(1e-9),
            fullest: fullest.map_or(String::new(), |hub| base.hubs[hub].name.clone()),
            fullest_share: fullest.map_or(0.0, share),
            refused,
            archive_first: first,
            archive_after: after,
            all_lost: left.is_empty(),
        }
    }

    /// What the archive is asked for, of its stopping point: at once after the loss, and once copies are back.
    fn archive(&self) -> (f64, f64) {
        let (base, lost) = (self.base, self.lost);
        let tops = base.hubs.iter().filter(|hub| hub.top).count().max(1) as f64;
        let gone = base.hubs.iter().filter(|hub| hub.top && lost[hub.site]).count() as f64;
        let homes = (tops - gone).max(1.0);
        let left = || base.hubs.iter().zip(&self.asked).filter(|(hub, _)| hub.top && !lost[hub.site]);
        let own: f64 = left().map(|(hub, asked)| hub.passes * asked).sum();
        let after: f64 = own / homes + left().map(|(hub, _)| hub.passes * self.sideways).sum::<f64>();
        // Objects whose home was lost are at no home now, and each is fetched once more.
        let anew = own * gone / tops;
        ((after + anew) / base.stopping.max(1e-9), after / base.stopping.max(1e-9))
    }
}
