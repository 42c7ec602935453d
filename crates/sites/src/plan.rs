//! Plans for the loss of sites: where the load of a lost site goes, computed for every version before
//! anything fails.
//!
//! Routers spread their requests evenly over a branch's upstreams and know no weights. So a plan contains,
//! for each node that loses an upstream, its upstreams while the site is away: the remaining ones if they can
//! carry the load, since they hold the copies, and otherwise more hubs, those with the most spare capacity
//! first. Nodes are assigned in order of decreasing load. What does not fit is reported beforehand, as fills
//! a second that will be refused.
//!
//! Planning only touches what a loss affects: the nodes linked to the site, and a heap of hubs by their spare
//! capacity. A plan of the version before is kept if it still holds, so that plans don't change with every
//! version.
use harestage::time::{Moment, Span};
use harestage_shape::topology::{Node, NodeIndex, Shape, warm_fraction};
use harestage_shape::validation;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

/// The fraction of what a hub can do at its age that it may be asked for while a site is away. Nearer to all
/// of it, queueing makes answers late at every branch.
pub const HUB_SHARE: f64 = 0.7;
/// The fraction of the rate at which the archive stops that it may be asked for.
pub const ARCHIVE_SHARE: f64 = 0.8;
/// The fraction of a link's capacity between two sites that may be used.
const LINK_LOAD_FRACTION: f64 = 0.9;
/// Limit on the upstreams that a node gets.
const MAX_UPSTREAMS: usize = 6;
/// Limit on the hubs that are considered for one upstream.
const MAX_CANDIDATES: usize = 16;

/// What is done when these sites are lost together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SitePlan {
    pub lost: Vec<String>,
    /// The new upstreams of each node that loses one, by its name.
    #[serde(rename = "ties")]
    pub upstreams: BTreeMap<String, Vec<String>>,
    /// Fills a second that no hub can carry, by the hub that is asked for them.
    pub refused: BTreeMap<String, f64>,
    /// The refused fraction of all fills a second.
    pub refused_share: f64,
    /// The fullest hub, and its load as a fraction of what it can do at its age.
    pub fullest: String,
    pub fullest_share: f64,
    /// The load of the archive as a fraction of the rate at which it stops: first, while objects whose
    /// preferred hub was lost are fetched anew without any limit, and afterwards.
    pub archive_first: f64,
    pub archive_after: f64,
    /// Whether no hub is left.
    pub all_lost: bool,
}

impl SitePlan {
    /// Whether all requests are served, and the archive stays below its limit once copies are restored.
    pub fn fits(&self) -> bool {
        !self.all_lost && self.refused.is_empty() && self.archive_after <= ARCHIVE_SHARE
    }

    /// The shape in service while these sites are away. `version` is its number.
    pub fn shape(&self, from: &Shape, version: u64) -> Shape {
        let resolve = |(node, upstreams): (&String, &Vec<String>)| {
            let to: Vec<NodeIndex> = upstreams.iter().filter_map(|upstream| from.find(upstream)).collect();
            Some((from.find(node)?, to))
        };
        let moved: Vec<(NodeIndex, Vec<NodeIndex>)> = self.upstreams.iter().filter_map(resolve).collect();
        let lost = from.hubs().filter(|(_, hub)| self.lost.contains(&hub.site));
        // Hubs of a lost site are not linked to anything, so that no object has its preferred hub there.
        let cut = lost.map(|(node_index, _)| (node_index, Vec::new()));
        let all: Vec<_> = moved.into_iter().chain(cut).collect();
        from.with_upstreams(
            version,
            all.iter().map(|(node_index, upstreams)| (*node_index, upstreams.as_slice())),
        )
    }
}

/// The plans for each site and for each pair of sites.
#[derive(Clone, Debug, Default)]
pub struct SitePlans {
    pub version: u64,
    by_loss: BTreeMap<BTreeSet<String>, SitePlan>,
    /// The number of plans that were computed anew for this version; the others still held.
    pub recomputed: usize,
}

impl SitePlans {
    /// Computes all plans of a version, and keeps those of the version before that still hold.
    pub fn build(shape: &Shape, before: Option<&SitePlans>, pairs: bool, now: Moment) -> SitePlans {
        let topology = Topology::of(shape, now);
        let sites: Vec<String> = topology.sites.iter().filter(|site| !site.is_empty()).cloned().collect();
        let mut losses: Vec<BTreeSet<String>> =
            sites.iter().map(|site| BTreeSet::from([site.clone()])).collect();
        if pairs {
            for (index, a) in sites.iter().enumerate() {
                losses.extend(sites[index + 1..].iter().map(|b| BTreeSet::from([a.clone(), b.clone()])));
            }
        }
        let (mut by_loss, mut recomputed) = (BTreeMap::new(), 0);
        for lost in losses {
            let retained =
                before.and_then(|plans| plans.by_loss.get(&lost)).and_then(|plan| topology.revalidated(plan));
            recomputed += usize::from(retained.is_none());
            let plan = retained.unwrap_or_else(|| topology.plan(&lost));
            by_loss.insert(lost, plan);
        }
        SitePlans { version: shape.version(), by_loss, recomputed }
    }

    /// The plan for these sites; `None` if there is none for so many.
    pub fn get(&self, lost: &BTreeSet<String>) -> Option<&SitePlan> {
        self.by_loss.get(lost)
    }

    /// All plans.
    pub fn all(&self) -> impl Iterator<Item = &SitePlan> {
        self.by_loss.values()
    }
}

/// Plans for each site and each pair, with the sites in `out` excluded as well. `lost` names only what is
/// lost in addition.
pub fn plans_with_sites_out(shape: &Shape, out: &BTreeSet<String>, now: Moment) -> Vec<SitePlan> {
    let topology = Topology::of(shape, now);
    let remaining: Vec<&String> =
        topology.sites.iter().filter(|s| !s.is_empty() && !out.contains(*s)).collect();
    let mut losses: Vec<BTreeSet<String>> =
        remaining.iter().map(|site| BTreeSet::from([site.to_string()])).collect();
    for (index, a) in remaining.iter().enumerate() {
        losses.extend(remaining[index + 1..].iter().map(|b| BTreeSet::from([a.to_string(), b.to_string()])));
    }
    let planned = losses.into_iter().flat_map(|lost| {
        let plan = topology.plan(&lost.union(out).cloned().collect());
        // A site that is already out because it was lost may also be seen as lost by whoever applies the
        // plan.
        let without_excluded = SitePlan { lost: lost.iter().cloned().collect(), ..plan.clone() };
        [without_excluded, plan]
    });
    planned.collect()
}

/// The plan for any set of sites, computed now.
pub fn plan_loss(shape: &Shape, lost: &BTreeSet<String>, now: Moment) -> SitePlan {
    Topology::of(shape, now).plan(lost)
}

type HubIndex = usize;

/// A hub, prepared for planning.
struct Hub {
    name: String,
    site: usize,
    /// The load that it may have while a site is away.
    limit: f64,
    current_capacity: f64,
    passes: f64,
    is_top: bool,
}

/// A branch, or a hub below the top, that is linked to hubs.
struct Downstream {
    name: String,
    /// `None` if the node names no site; then no link is accounted for.
    site: Option<usize>,
    load: f64,
    upstreams: Vec<HubIndex>,
    /// Set if the node is a hub itself; it must not become its own upstream.
    hub: Option<HubIndex>,
}

/// The topology of a version, prepared for planning.
struct Topology {
    sites: Vec<String>,
    hubs: Vec<Hub>,
    downstreams: Vec<Downstream>,
    /// Requests from downstream, by hub.
    hub_load: Vec<f64>,
    /// The nodes that are linked to the hubs of a site.
    by_site: Vec<Vec<usize>>,
    numbers: HashMap<String, HubIndex>,
    /// The capacity of each limited link between two sites in fills a second, and the load that it has.
    links: BTreeMap<(usize, usize), f64>,
    link_used: BTreeMap<(usize, usize), f64>,
    stop_rate: f64,
    total_load: f64,
}

impl Topology {
    fn of(shape: &Shape, now: Moment) -> Topology {
        let mut sites: Vec<String> = shape.hubs().map(|(_, hub)| hub.site.clone()).collect();
        sites.sort();
        sites.dedup();
        let site_number = |site: &str| sites.binary_search_by(|s| s.as_str().cmp(site)).ok();
        let loads = validation::loads(shape).unwrap_or_default();
        let top_hubs: BTreeSet<NodeIndex> = shape.top_hubs().iter().copied().collect();
        let (mut hubs, mut hub_by_node) = (Vec::new(), BTreeMap::new());
        for (node_index, hub) in shape.hubs() {
            let age = match hub.since_ms {
                0 => Span::millis(hub.cold_ms),
                since_ms => now.since(Moment::at_micros(since_ms.saturating_mul(1_000))),
            };
            let current_capacity = hub.capacity * warm_fraction(hub, age);
            hub_by_node.insert(node_index, hubs.len());
            hubs.push(Hub {
                name: hub.name.clone(),
                site: site_number(&hub.site).unwrap_or(0),
                limit: current_capacity * HUB_SHARE,
                current_capacity,
                passes: hub.passes,
                is_top: top_hubs.contains(&node_index),
            });
        }
        let mut downstreams = Vec::new();
        for (node_index, node) in shape.nodes() {
            let upstreams: Vec<HubIndex> = shape
                .upstreams(node_index)
                .iter()
                .filter_map(|upstream| hub_by_node.get(upstream).copied())
                .collect();
            let (load, site, hub) = match node {
                Node::Branch(branch) => (branch.load, branch.site.as_str(), None),
                Node::Hub(hub) if !top_hubs.contains(&node_index) => (
                    loads.of(node_index) * hub.passes,
                    hub.site.as_str(),
                    hub_by_node.get(&node_index).copied(),
                ),
                _ => continue,
            };
            if !upstreams.is_empty() {
                let site = Some(site).filter(|site| !site.is_empty()).and_then(site_number);
                downstreams.push(Downstream { name: node.name().into(), site, load, upstreams, hub });
            }
        }
        let archive = shape.archive();
        let mut topology = Topology {
            hub_load: vec![0.0; hubs.len()],
            by_site: vec![Vec::new(); sites.len()],
            numbers: hubs.iter().enumerate().map(|(index, hub)| (hub.name.clone(), index)).collect(),
            links: shape
                .links()
                .filter_map(|(a, b, fills)| Some((ordered_pair(site_number(a)?, site_number(b)?), fills)))
                .collect(),
            link_used: BTreeMap::new(),
            stop_rate: archive.capacity * archive.stops_at,
            total_load: downstreams
                .iter()
                .filter(|downstream| downstream.hub.is_none())
                .map(|downstream| downstream.load)
                .sum(),
            sites,
            hubs,
            downstreams,
        };
        topology.add_loads();
        topology
    }

    fn add_loads(&mut self) {
        for index in 0..self.downstreams.len() {
            let (upstreams, load) = (self.downstreams[index].upstreams.clone(), self.downstreams[index].load);
            let share = load / upstreams.len() as f64;
            for upstream in &upstreams {
                self.hub_load[*upstream] += share;
                let sites = &mut self.by_site[self.hubs[*upstream].site];
                if sites.last() != Some(&index) {
                    sites.push(index);
                }
                if let Some(link) = self.link(index, *upstream) {
                    *self.link_used.entry(link).or_default() += share;
                }
            }
        }
    }

    /// The limited link that a node's fills from a hub go over, if there is one.
    fn link(&self, index: usize, hub: HubIndex) -> Option<(usize, usize)> {
        let (own_site, hub_site) = (self.downstreams[index].site?, self.hubs[hub].site);
        let link = ordered_pair(own_site, hub_site);
        (own_site != hub_site && self.links.contains_key(&link)).then_some(link)
    }

    /// The plan of an earlier version with its figures computed anew, if it still holds for this version.
    fn revalidated(&self, plan: &SitePlan) -> Option<SitePlan> {
        let lost = self.lost(&plan.lost.iter().cloned().collect())?;
        let affected = self.affected(&lost);
        if affected.len() != plan.upstreams.len() || !plan.refused.is_empty() || plan.all_lost {
            return None;
        }
        let mut builder = PlanBuilder::new(self, &lost, &affected);
        for index in &affected {
            let upstreams = plan.upstreams.get(&self.downstreams[*index].name)?;
            let upstreams: Vec<HubIndex> =
                upstreams.iter().map(|name| self.numbers.get(name).copied()).collect::<Option<_>>()?;
            if upstreams.is_empty() || upstreams.iter().any(|upstream| lost[self.hubs[*upstream].site]) {
                return None;
            }
            // Remaining upstreams that the plan does not know would not be used.
            let remaining = self.downstreams[*index]
                .upstreams
                .iter()
                .filter(|upstream| !lost[self.hubs[**upstream].site]);
            if remaining.into_iter().any(|upstream| !upstreams.contains(upstream)) {
                return None;
            }
            builder.assign(*index, &upstreams);
        }
        let revalidated = builder.plan(&affected);
        revalidated.fits().then_some(revalidated)
    }

    /// The lost sites by number; `None` if a site is unknown here.
    fn lost(&self, lost: &BTreeSet<String>) -> Option<Vec<bool>> {
        let mut by_number = vec![false; self.sites.len()];
        for site in lost {
            by_number[self.sites.iter().position(|s| s == site)?] = true;
        }
        Some(by_number)
    }

    /// Nodes that lose an upstream and are not lost themselves, by decreasing load.
    fn affected(&self, lost: &[bool]) -> Vec<usize> {
        let mut affected: Vec<usize> = (0..self.sites.len())
            .filter(|site| lost[*site])
            .flat_map(|site| self.by_site[site].iter().copied())
            .filter(|index| self.downstreams[*index].hub.is_none_or(|hub| !lost[self.hubs[hub].site]))
            .collect();
        affected.sort_unstable();
        affected.dedup();
        affected
            .sort_by(|a, b| self.downstreams[*b].load.total_cmp(&self.downstreams[*a].load).then(a.cmp(b)));
        affected
    }

    fn plan(&self, lost: &BTreeSet<String>) -> SitePlan {
        let Some(by_number) = self.lost(lost) else { return SitePlan::default() };
        let affected = self.affected(&by_number);
        let mut builder = PlanBuilder::new(self, &by_number, &affected);
        for index in &affected {
            let upstreams = builder.choose_upstreams(*index);
            builder.assign(*index, &upstreams);
        }
        builder.plan(&affected)
    }
}

fn ordered_pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

/// The spare capacity of a hub, for a heap with the largest first. Equal ones are ordered by number, so that
/// every planner gets the same result.
#[derive(PartialEq)]
struct SpareCapacity(f64, HubIndex);

impl Eq for SpareCapacity {}
impl PartialOrd for SpareCapacity {
    fn partial_cmp(&self, other: &SpareCapacity) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for SpareCapacity {
    fn cmp(&self, other: &SpareCapacity) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(other.1.cmp(&self.1))
    }
}

/// A plan that is being computed.
struct PlanBuilder<'a> {
    topology: &'a Topology,
    hub_load: Vec<f64>,
    /// The requests of top hubs to each other, for each top hub.
    sideways: f64,
    link_used: BTreeMap<(usize, usize), f64>,
    spare_heap: BinaryHeap<SpareCapacity>,
    upstreams: BTreeMap<usize, Vec<HubIndex>>,
    /// By site number.
    lost: &'a [bool],
}

impl<'a> PlanBuilder<'a> {
    fn new(topology: &'a Topology, lost: &'a [bool], affected: &[usize]) -> PlanBuilder<'a> {
        let (mut hub_load, mut link_used) = (topology.hub_load.clone(), topology.link_used.clone());
        for index in affected {
            let downstream = &topology.downstreams[*index];
            let share = downstream.load / downstream.upstreams.len() as f64;
            for upstream in &downstream.upstreams {
                hub_load[*upstream] -= share;
                topology
                    .link(*index, *upstream)
                    .map(|link| link_used.entry(link).and_modify(|used| *used -= share));
            }
        }
        // Lost hubs of a lower tier no longer pass requests on.
        let lost_downstreams = topology
            .downstreams
            .iter()
            .filter(|downstream| downstream.hub.is_some_and(|hub| lost[topology.hubs[hub].site]));
        for downstream in lost_downstreams {
            downstream.upstreams.iter().for_each(|upstream| {
                hub_load[*upstream] -= downstream.load / downstream.upstreams.len() as f64
            });
        }
        let remaining_top = |hub: &&Hub| hub.is_top && !lost[hub.site];
        let top_count = topology.hubs.iter().filter(remaining_top).count().max(1) as f64;
        let passed_on: f64 = topology
            .hubs
            .iter()
            .zip(&topology.hub_load)
            .filter(|(hub, _)| hub.is_top)
            .map(|(hub, load)| hub.passes * load)
            .sum();
        let sideways = passed_on * (1.0 - 1.0 / top_count) / top_count;
        let (spare_heap, upstreams) = (BinaryHeap::new(), BTreeMap::new());
        let mut builder =
            PlanBuilder { topology, hub_load, sideways, link_used, spare_heap, upstreams, lost };
        let remaining = (0..topology.hubs.len()).filter(|hub| !lost[topology.hubs[*hub].site]);
        builder.spare_heap = remaining.map(|hub| SpareCapacity(builder.spare_capacity(hub), hub)).collect();
        builder
    }

    /// Fills a second that a hub can take in addition.
    fn spare_capacity(&self, hub: HubIndex) -> f64 {
        let Hub { limit, is_top, .. } = &self.topology.hubs[hub];
        limit - self.hub_load[hub] - if *is_top { self.sideways } else { 0.0 }
    }

    /// The same, limited by the link between the node and the hub.
    fn spare_capacity_for(&self, index: usize, hub: HubIndex) -> f64 {
        let link = self.topology.link(index, hub).map_or(f64::INFINITY, |link| {
            self.topology.links[&link] * LINK_LOAD_FRACTION
                - self.link_used.get(&link).copied().unwrap_or(0.0)
        });
        self.spare_capacity(hub).min(link)
    }

    /// The remaining upstreams if they can carry the load; otherwise with as many additional hubs as it
    /// takes.
    fn choose_upstreams(&mut self, index: usize) -> Vec<HubIndex> {
        let downstream = &self.topology.downstreams[index];
        let is_remaining = |hub: &HubIndex| !self.lost[self.topology.hubs[*hub].site];
        let mut upstreams: Vec<HubIndex> =
            downstream.upstreams.iter().copied().filter(is_remaining).collect();
        let fits = |builder: &PlanBuilder, upstreams: &[HubIndex]| {
            let share = downstream.load / upstreams.len().max(1) as f64;
            !upstreams.is_empty()
                && upstreams.iter().all(|upstream| builder.spare_capacity_for(index, *upstream) >= share)
        };
        if fits(self, &upstreams) {
            return upstreams;
        }
        let mut visited = Vec::new();
        while upstreams.len() < MAX_UPSTREAMS && !fits(self, &upstreams) {
            let Some(candidate) = self.best_candidate(index, &upstreams, &mut visited) else { break };
            upstreams.push(candidate);
        }
        // An upstream that is already full is worse than none, as long as others can carry the load.
        let full_upstreams: Vec<HubIndex> = upstreams
            .iter()
            .copied()
            .filter(|upstream| self.spare_capacity_for(index, *upstream) <= 0.0)
            .collect();
        if full_upstreams.len() < upstreams.len() {
            upstreams.retain(|upstream| !full_upstreams.contains(upstream));
        }
        self.spare_heap.extend(visited);
        // If no hub has spare capacity, the least loaded one is used, and refuses what it has to by value.
        // Without any upstream, valuable requests would be lost with the others.
        if upstreams.is_empty() {
            let remaining =
                (0..self.topology.hubs.len()).filter(|hub| !self.lost[self.topology.hubs[*hub].site]);
            let own_hub = self.topology.downstreams[index].hub;
            upstreams.extend(
                remaining
                    .filter(|hub| Some(*hub) != own_hub)
                    .max_by(|a, b| self.spare_capacity(*a).total_cmp(&self.spare_capacity(*b))),
            );
        }
        upstreams
    }

    fn best_candidate(
        &mut self,
        index: usize,
        upstreams: &[HubIndex],
        visited: &mut Vec<SpareCapacity>,
    ) -> Option<HubIndex> {
        let mut best: Option<(f64, HubIndex)> = None;
        for _ in 0..MAX_CANDIDATES {
            let Some(SpareCapacity(recorded, hub)) = self.spare_heap.pop() else { break };
            let current = self.spare_capacity(hub);
            // Its spare capacity has changed since it was put on the heap: it goes back to its new position.
            if current < recorded {
                self.spare_heap.push(SpareCapacity(current, hub));
                continue;
            }
            let spare = self.spare_capacity_for(index, hub);
            let is_itself = self.topology.downstreams[index].hub == Some(hub);
            if !upstreams.contains(&hub)
                && !is_itself
                && spare > 0.0
                && best.is_none_or(|(best_spare, _)| spare > best_spare)
            {
                best = Some((spare, hub));
            }
            visited.push(SpareCapacity(current, hub));
            // The hubs that follow have no more spare capacity than this one, even without a link.
            if best.is_some_and(|(best_spare, _)| best_spare >= current) {
                break;
            }
        }
        best.map(|(_, hub)| hub)
    }

    fn assign(&mut self, index: usize, upstreams: &[HubIndex]) {
        let share = self.topology.downstreams[index].load / upstreams.len().max(1) as f64;
        for upstream in upstreams {
            self.hub_load[*upstream] += share;
            if let Some(link) = self.topology.link(index, *upstream) {
                *self.link_used.entry(link).or_default() += share;
            }
        }
        self.upstreams.insert(index, upstreams.to_vec());
    }

    fn plan(self, affected: &[usize]) -> SitePlan {
        let (topology, lost) = (self.topology, self.lost);
        let remaining: Vec<HubIndex> =
            (0..topology.hubs.len()).filter(|hub| !lost[topology.hubs[*hub].site]).collect();
        let full_load =
            |hub: HubIndex| self.hub_load[hub] + if topology.hubs[hub].is_top { self.sideways } else { 0.0 };
        let load_fraction = |hub: HubIndex| full_load(hub) / topology.hubs[hub].current_capacity.max(1e-9);
        let fullest =
            remaining.iter().copied().max_by(|a, b| load_fraction(*a).total_cmp(&load_fraction(*b)));
        let excess = |hub: &HubIndex| {
            let excess = full_load(*hub) - topology.hubs[*hub].limit;
            (excess > 1e-6).then(|| (topology.hubs[*hub].name.clone(), excess))
        };
        let mut refused: BTreeMap<String, f64> = remaining.iter().filter_map(excess).collect();
        let unassigned: f64 = affected
            .iter()
            .filter(|index| self.upstreams.get(index).is_none_or(Vec::is_empty))
            .map(|index| topology.downstreams[*index].load)
            .sum();
        if unassigned > 0.0 {
            refused.insert("-".into(), unassigned);
        }
        let (first_share, after_share) = self.archive();
        let names = |upstreams: &Vec<HubIndex>| {
            upstreams.iter().map(|upstream| topology.hubs[*upstream].name.clone()).collect()
        };
        SitePlan {
            lost: topology
                .sites
                .iter()
                .zip(lost)
                .filter(|(_, lost)| **lost)
                .map(|(site, _)| site.clone())
                .collect(),
            upstreams: affected
                .iter()
                .map(|index| (topology.downstreams[*index].name.clone(), names(&self.upstreams[index])))
                .collect(),
            refused_share: refused.values().sum::<f64>() / topology.total_load.max(1e-9),
            fullest: fullest.map_or(String::new(), |hub| topology.hubs[hub].name.clone()),
            fullest_share: fullest.map_or(0.0, load_fraction),
            refused,
            archive_first: first_share,
            archive_after: after_share,
            all_lost: remaining.is_empty(),
        }
    }

    /// The load of the archive as a fraction of the rate at which it stops: at once after the loss, and once
    /// copies are restored.
    fn archive(&self) -> (f64, f64) {
        let (topology, lost) = (self.topology, self.lost);
        let top_count = topology.hubs.iter().filter(|hub| hub.is_top).count().max(1) as f64;
        let lost_count = topology.hubs.iter().filter(|hub| hub.is_top && lost[hub.site]).count() as f64;
        let remaining_count = (top_count - lost_count).max(1.0);
        let remaining =
            || topology.hubs.iter().zip(&self.hub_load).filter(|(hub, _)| hub.is_top && !lost[hub.site]);
        let own_load: f64 = remaining().map(|(hub, load)| hub.passes * load).sum();
        let after_share: f64 =
            own_load / remaining_count + remaining().map(|(hub, _)| hub.passes * self.sideways).sum::<f64>();
        // Objects whose preferred hub was lost are fetched once more.
        let refetched = own_load * lost_count / top_count;
        ((after_share + refetched) / topology.stop_rate.max(1e-9), after_share / topology.stop_rate.max(1e-9))
    }
}
