//! Plans for the loss of sites, against a plain reading of what they have to keep.
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

/// Sites with so many hubs each, and branches tied to two hubs of different sites.
fn drawn(sites: usize, hubs: usize, branches: usize, load: f64, seed: u64) -> ShapeConfig {
    let mut dice = StdRng::seed_from_u64(seed);
    let site = |n: usize| format!("site-{n}");
    let name = |s: usize, h: usize| format!("h-{s}-{h}");
    let all = (0..sites).flat_map(|s| (0..hubs).map(move |h| (s, h)));
    let hub_forms = all.map(|(s, h)| hub(name(s, h), &site(s), dice.random_range(80.0..120.0))).collect();
    let mut dice = StdRng::seed_from_u64(seed + 1);
    let capacity = (sites * hubs) as f64 * 100.0;
    let branch_forms = (0..branches).map(|n| {
        let first = dice.random_range(0..sites);
        let second = (first + dice.random_range(1..sites)) % sites;
        let ties = vec![name(first, dice.random_range(0..hubs)), name(second, dice.random_range(0..hubs))];
        let own = capacity * load / branches as f64 * dice.random_range(0.5..1.5);
        branch(format!("br-{n}"), &site(first), own, ties)
    });
    ShapeConfig {
        version: 1,
        archive: archive(capacity),
        hubs: hub_forms,
        branches: branch_forms.collect(),
        links: Vec::new(),
    }
}

fn now() -> Moment {
    Moment::at_micros(1_000_000_000_000)
}

fn lost(sites: &[&str]) -> BTreeSet<String> {
    sites.iter().map(|s| s.to_string()).collect()
}

/// What each hub is asked for by branches while a plan is in force.
fn asked(form: &ShapeConfig, plan: &SitePlan) -> BTreeMap<String, f64> {
    let mut asked = BTreeMap::new();
    for branch in &form.branches {
        let ties = plan.upstreams.get(&branch.name).unwrap_or(&branch.hubs);
        for tie in ties {
            *asked.entry(tie.clone()).or_insert(0.0) += branch.load / ties.len() as f64;
        }
    }
    asked
}

#[test]
fn plans_by_chance_keep_everyone_below_the_mark_or_say_what_is_refused() {
    for seed in 0..40 {
        let load = 0.2 + 0.02 * seed as f64;
        let form = drawn(4, 5, 120, load, seed);
        let shape = Shape::from_config(&form).unwrap();
        let plans = SitePlans::build(&shape, None, true, now());
        assert_eq!(plans.all().count(), 4 + 6);
        for plan in plans.all() {
            let asked = asked(&form, plan);
            for hub in form.hubs.iter().filter(|hub| plan.lost.contains(&hub.site)) {
                assert!(!asked.contains_key(&hub.name), "seed {seed}: {} is lost and asked", hub.name);
            }
            for hub in form.hubs.iter().filter(|hub| !plan.lost.contains(&hub.site)) {
                let over = asked.get(&hub.name).copied().unwrap_or(0.0) - hub.capacity * HUB_SHARE;
                let said = plan.refused.get(&hub.name).copied().unwrap_or(0.0);
                assert!(over <= said + 1e-6, "seed {seed}: {} over by {over}, said {said}", hub.name);
            }
            for (branch, ties) in &plan.upstreams {
                let before = &form.branches.iter().find(|b| b.name == *branch).unwrap().hubs;
                let site = |hub: &String| &form.hubs.iter().find(|h| h.name == *hub).unwrap().site;
                assert!(before.iter().any(|tie| plan.lost.contains(site(tie))), "{branch} lost nothing");
                assert!(!ties.is_empty(), "seed {seed}: {branch} is tied to nobody");
            }
            // Room for all is used for all: refusing while half of the room lies idle would be no plan.
            let room: f64 = form
                .hubs
                .iter()
                .filter(|h| !plan.lost.contains(&h.site))
                .map(|h| h.capacity * HUB_SHARE)
                .sum();
            let all: f64 = form.branches.iter().map(|b| b.load).sum();
            assert!(
                all > room * 0.5 || plan.refused.is_empty(),
                "seed {seed}: {:?} of {room} refused {:?}",
                all,
                plan.refused
            );
        }
    }
}

#[test]
fn ties_that_are_left_are_kept_where_they_bear_it() {
    let form = drawn(4, 6, 200, 0.25, 3);
    let plan = plan::plan_loss(&Shape::from_config(&form).unwrap(), &lost(&["site-1"]), now());
    assert!(plan.fits(), "{plan:?}");
    let site = |hub: &String| form.hubs.iter().find(|h| h.name == *hub).unwrap().site.clone();
    let kept = plan.upstreams.iter().filter(|(branch, ties)| {
        let before = &form.branches.iter().find(|b| b.name == **branch).unwrap().hubs;
        before.iter().filter(|tie| site(tie) != "site-1").all(|tie| ties.contains(tie))
    });
    assert!(
        kept.count() * 10 >= plan.upstreams.len() * 9,
        "most branches keep the hub that has their copies"
    );
}

#[test]
fn a_fleet_that_is_full_says_beforehand_what_would_be_refused() {
    let form = drawn(3, 4, 60, 0.8, 5);
    let shape = Shape::from_config(&form).unwrap();
    let plan = plan::plan_loss(&shape, &lost(&["site-0"]), now());
    assert!(!plan.fits() && plan.refused_share > 0.1, "{}", plan.refused_share);
    let all = plan::plan_loss(&shape, &lost(&["site-0", "site-1", "site-2"]), now());
    assert!(all.all_lost && !all.fits());
    assert!((all.refused_share - 1.0).abs() < 1e-6 || all.refused.contains_key("-"), "{all:?}");
}

#[test]
fn cold_hubs_and_narrow_links_bear_less() {
    let ms = now().micros() / 1_000;
    let mut form = drawn(3, 3, 30, 0.3, 6);
    let warm = plan::plan_loss(&Shape::from_config(&form).unwrap(), &lost(&["site-0"]), now());
    form.hubs.iter_mut().filter(|h| h.site == "site-1").for_each(|h| h.since_ms = ms - 100);
    let cold = plan::plan_loss(&Shape::from_config(&form).unwrap(), &lost(&["site-0"]), now());
    let at = |plan: &SitePlan, site: &str| -> f64 {
        asked(&form, plan)
            .iter()
            .filter(|(hub, _)| hub.starts_with(&site.replace("site", "h")))
            .map(|(_, a)| a)
            .sum()
    };
    assert!(at(&cold, "site-2") > at(&warm, "site-2"), "what is cold is spared");
    form.hubs.iter_mut().for_each(|h| h.since_ms = 0);
    form.links = vec![LinkConfig { between: ["site-0".into(), "site-1".into()], fills: 1.0 }];
    let narrow = plan::plan_loss(&Shape::from_config(&form).unwrap(), &lost(&["site-0"]), now());
    let over_link = |plan: &SitePlan| -> f64 {
        let own = form.branches.iter().filter(|b| b.site == "site-0");
        let part = |b: &BranchConfig| {
            let ties = plan.upstreams.get(&b.name).unwrap_or(&b.hubs).clone();
            ties.iter().filter(|t| t.starts_with("h-1")).count() as f64 * b.load / ties.len() as f64
        };
        own.map(part).sum()
    };
    assert!(over_link(&narrow) < over_link(&warm), "{} and {}", over_link(&narrow), over_link(&warm));
}

#[test]
fn plans_that_still_hold_are_kept_and_others_are_made_anew() {
    let form = drawn(4, 5, 120, 0.15, 8);
    let first = SitePlans::build(&Shape::from_config(&form).unwrap(), None, true, now());
    assert_eq!(first.recomputed, 10);
    let same = SitePlans::build(
        &Shape::from_config(&ShapeConfig { version: 2, ..form.clone() }).unwrap(),
        Some(&first),
        true,
        now(),
    );
    assert_eq!(same.recomputed, 0);
    for (a, b) in first.all().zip(same.all()) {
        assert_eq!((&a.upstreams, &a.lost), (&b.upstreams, &b.lost));
    }
    let mut moved = form.clone();
    moved.version = 3;
    moved.branches[0].hubs = vec!["h-2-0".into(), "h-3-0".into()];
    let moved = SitePlans::build(&Shape::from_config(&moved).unwrap(), Some(&same), true, now());
    assert!(moved.recomputed > 0 && moved.recomputed < 10, "{} of 10", moved.recomputed);
}

#[test]
fn the_shape_of_a_plan_has_no_tie_to_a_lost_site_and_holds() {
    let form = drawn(3, 4, 50, 0.3, 9);
    let shape = Shape::from_config(&form).unwrap();
    let plan = plan::plan_loss(&shape, &lost(&["site-1"]), now());
    let without = plan.shape(&shape, 7);
    assert_eq!(without.version(), 7);
    assert!(without.top_hubs().iter().all(|top| !without.name(*top).starts_with("h-1")));
    assert!(harestage_shape::validation::cycles(&without).is_empty());
    let tied = without
        .nodes()
        .flat_map(|(at, _)| without.upstreams(at))
        .filter(|t| without.name(**t).starts_with("h-1"));
    assert_eq!(tied.count(), 0);
}
