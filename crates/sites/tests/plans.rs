//! Plans for the loss of sites, checked against a direct computation of what they have to guarantee.
use harestage::time::Moment;
use harestage_shape::config::{ArchiveConfig, BranchConfig, HubConfig, LinkConfig, ShapeConfig};
use harestage_shape::topology::Shape;
use harestage_sites::plan::{self, HUB_SHARE, SitePlan, SitePlans};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

fn hub(name: String, site: &str, capacity: f64) -> HubConfig {
    HubConfig {
        name,
        address: "127.0.0.1:1".into(),
        site: site.into(),
        capacity,
        passes: 0.2,
        since_ms: 0,
        cold_from: 0.1,
        cold_ms: 10_000,
        falls_at: 2.0,
        falls_within_ms: 1_000,
        up: vec!["archive".into()],
    }
}

fn branch(name: String, site: &str, load: f64, hubs: Vec<String>) -> BranchConfig {
    BranchConfig {
        name,
        site: site.into(),
        load,
        hubs,
        feed: None,
        feeds: BTreeMap::new(),
        caches: Vec::new(),
    }
}

fn archive(capacity: f64) -> ArchiveConfig {
    ArchiveConfig {
        name: "archive".into(),
        address: "127.0.0.1:1".into(),
        capacity,
        stops_at: 2.5,
        stops_within_ms: 3_000,
    }
}

/// Sites with a number of hubs each, and branches linked to two hubs of different sites.
fn random_shape(sites: usize, hubs: usize, branches: usize, load: f64, seed: u64) -> ShapeConfig {
    let mut rng = StdRng::seed_from_u64(seed);
    let site = |n: usize| format!("site-{n}");
    let name = |s: usize, h: usize| format!("h-{s}-{h}");
    let total_load = (0..sites).flat_map(|s| (0..hubs).map(move |h| (s, h)));
    let hub_configs =
        total_load.map(|(s, h)| hub(name(s, h), &site(s), rng.random_range(80.0..120.0))).collect();
    let mut rng = StdRng::seed_from_u64(seed + 1);
    let capacity = (sites * hubs) as f64 * 100.0;
    let branch_configs = (0..branches).map(|n| {
        let first = rng.random_range(0..sites);
        let second = (first + rng.random_range(1..sites)) % sites;
        let upstreams = vec![name(first, rng.random_range(0..hubs)), name(second, rng.random_range(0..hubs))];
        let load = capacity * load / branches as f64 * rng.random_range(0.5..1.5);
        branch(format!("br-{n}"), &site(first), load, upstreams)
    });
    ShapeConfig {
        version: 1,
        archive: archive(capacity),
        hubs: hub_configs,
        branches: branch_configs.collect(),
        links: Vec::new(),
    }
}

fn now() -> Moment {
    Moment::at_micros(1_000_000_000_000)
}

fn lost(sites: &[&str]) -> BTreeSet<String> {
    sites.iter().map(|s| s.to_string()).collect()
}

/// The load of each hub from branches while a plan is applied.
fn loads(config: &ShapeConfig, plan: &SitePlan) -> BTreeMap<String, f64> {
    let mut loads = BTreeMap::new();
    for branch in &config.branches {
        let upstreams = plan.upstreams.get(&branch.name).unwrap_or(&branch.hubs);
        for upstream in upstreams {
            *loads.entry(upstream.clone()).or_insert(0.0) += branch.load / upstreams.len() as f64;
        }
    }
    loads
}

#[test]
fn random_plans_keep_every_hub_within_its_limit_or_report_what_is_refused() {
    for seed in 0..40 {
        let load = 0.2 + 0.02 * seed as f64;
        let config = random_shape(4, 5, 120, load, seed);
        let shape = Shape::from_config(&config).unwrap();
        let plans = SitePlans::build(&shape, None, true, now());
        assert_eq!(plans.all().count(), 4 + 6);
        for plan in plans.all() {
            let loads = loads(&config, plan);
            for hub in config.hubs.iter().filter(|hub| plan.lost.contains(&hub.site)) {
                assert!(!loads.contains_key(&hub.name), "seed {seed}: {} is lost but has load", hub.name);
            }
            for hub in config.hubs.iter().filter(|hub| !plan.lost.contains(&hub.site)) {
                let excess = loads.get(&hub.name).copied().unwrap_or(0.0) - hub.capacity * HUB_SHARE;
                let reported = plan.refused.get(&hub.name).copied().unwrap_or(0.0);
                assert!(
                    excess <= reported + 1e-6,
                    "seed {seed}: {} over by {excess}, reported {reported}",
                    hub.name
                );
            }
            for (branch, upstreams) in &plan.upstreams {
                let before = &config.branches.iter().find(|b| b.name == *branch).unwrap().hubs;
                let site = |hub: &String| &config.hubs.iter().find(|h| h.name == *hub).unwrap().site;
                assert!(
                    before.iter().any(|upstream| plan.lost.contains(site(upstream))),
                    "{branch} lost nothing"
                );
                assert!(!upstreams.is_empty(), "seed {seed}: {branch} has no upstream");
            }
            // Available capacity is used: a plan must not refuse requests while half of the capacity is idle.
            let capacity: f64 = config
                .hubs
                .iter()
                .filter(|h| !plan.lost.contains(&h.site))
                .map(|h| h.capacity * HUB_SHARE)
                .sum();
            let total_load: f64 = config.branches.iter().map(|b| b.load).sum();
            assert!(
                total_load > capacity * 0.5 || plan.refused.is_empty(),
                "seed {seed}: {:?} of {capacity} refused {:?}",
                total_load,
                plan.refused
            );
        }
    }
}

#[test]
fn remaining_upstreams_are_kept_where_they_can_carry_the_load() {
    let config = random_shape(4, 6, 200, 0.25, 3);
    let plan = plan::plan_loss(&Shape::from_config(&config).unwrap(), &lost(&["site-1"]), now());
    assert!(plan.fits(), "{plan:?}");
    let site = |hub: &String| config.hubs.iter().find(|h| h.name == *hub).unwrap().site.clone();
    let unchanged = plan.upstreams.iter().filter(|(branch, upstreams)| {
        let before = &config.branches.iter().find(|b| b.name == **branch).unwrap().hubs;
        before
            .iter()
            .filter(|upstream| site(upstream) != "site-1")
            .all(|upstream| upstreams.contains(upstream))
    });
    assert!(
        unchanged.count() * 10 >= plan.upstreams.len() * 9,
        "most branches keep the hub that has their copies"
    );
}

#[test]
fn a_fully_loaded_fleet_reports_beforehand_what_would_be_refused() {
    let config = random_shape(3, 4, 60, 0.8, 5);
    let shape = Shape::from_config(&config).unwrap();
    let plan = plan::plan_loss(&shape, &lost(&["site-0"]), now());
    assert!(!plan.fits() && plan.refused_share > 0.1, "{}", plan.refused_share);
    let all_sites = plan::plan_loss(&shape, &lost(&["site-0", "site-1", "site-2"]), now());
    assert!(all_sites.all_lost && !all_sites.fits());
    assert!(
        (all_sites.refused_share - 1.0).abs() < 1e-6 || all_sites.refused.contains_key("-"),
        "{all_sites:?}"
    );
}

#[test]
fn cold_hubs_and_narrow_links_get_less_load() {
    let ms = now().micros() / 1_000;
    let mut config = random_shape(3, 3, 30, 0.3, 6);
    let warm = plan::plan_loss(&Shape::from_config(&config).unwrap(), &lost(&["site-0"]), now());
    config.hubs.iter_mut().filter(|h| h.site == "site-1").for_each(|h| h.since_ms = ms - 100);
    let cold = plan::plan_loss(&Shape::from_config(&config).unwrap(), &lost(&["site-0"]), now());
    let load_at = |plan: &SitePlan, site: &str| -> f64 {
        loads(&config, plan)
            .iter()
            .filter(|(hub, _)| hub.starts_with(&site.replace("site", "h")))
            .map(|(_, load)| load)
            .sum()
    };
    assert!(load_at(&cold, "site-2") > load_at(&warm, "site-2"), "cold hubs get less load");
    config.hubs.iter_mut().for_each(|h| h.since_ms = 0);
    config.links = vec![LinkConfig { between: ["site-0".into(), "site-1".into()], fills: 1.0 }];
    let narrow = plan::plan_loss(&Shape::from_config(&config).unwrap(), &lost(&["site-0"]), now());
    let over_link = |plan: &SitePlan| -> f64 {
        let branches = config.branches.iter().filter(|b| b.site == "site-0");
        let share = |b: &BranchConfig| {
            let upstreams = plan.upstreams.get(&b.name).unwrap_or(&b.hubs).clone();
            upstreams.iter().filter(|upstream| upstream.starts_with("h-1")).count() as f64 * b.load
                / upstreams.len() as f64
        };
        branches.map(share).sum()
    };
    assert!(over_link(&narrow) < over_link(&warm), "{} and {}", over_link(&narrow), over_link(&warm));
}

#[test]
fn plans_that_still_hold_are_kept_and_others_are_recomputed() {
    let config = random_shape(4, 5, 120, 0.15, 8);
    let first = SitePlans::build(&Shape::from_config(&config).unwrap(), None, true, now());
    assert_eq!(first.recomputed, 10);
    let same = SitePlans::build(
        &Shape::from_config(&ShapeConfig { version: 2, ..config.clone() }).unwrap(),
        Some(&first),
        true,
        now(),
    );
    assert_eq!(same.recomputed, 0);
    for (before, after) in first.all().zip(same.all()) {
        assert_eq!((&before.upstreams, &before.lost), (&after.upstreams, &after.lost));
    }
    let mut moved = config.clone();
    moved.version = 3;
    moved.branches[0].hubs = vec!["h-2-0".into(), "h-3-0".into()];
    let moved = SitePlans::build(&Shape::from_config(&moved).unwrap(), Some(&same), true, now());
    assert!(moved.recomputed > 0 && moved.recomputed < 10, "{} of 10", moved.recomputed);
}

#[test]
fn the_shape_of_a_plan_has_no_link_to_a_lost_site_and_is_valid() {
    let config = random_shape(3, 4, 50, 0.3, 9);
    let shape = Shape::from_config(&config).unwrap();
    let plan = plan::plan_loss(&shape, &lost(&["site-1"]), now());
    let without = plan.shape(&shape, 7);
    assert_eq!(without.version(), 7);
    assert!(without.top_hubs().iter().all(|top| !without.name(*top).starts_with("h-1")));
    assert!(harestage_shape::validation::cycles(&without).is_empty());
    let linked = without
        .nodes()
        .flat_map(|(index, _)| without.upstreams(index))
        .filter(|upstream| without.name(**upstream).starts_with("h-1"));
    assert_eq!(linked.count(), 0);
}
