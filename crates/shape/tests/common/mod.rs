//! Shapes to try things on.
#![allow(dead_code)]
use harestage::time::Moment;
use harestage_shape::config::{ArchiveConfig, BranchConfig, HubConfig, ShapeConfig};

pub fn at_ms(ms: u64) -> Moment {
    Moment::at_micros(ms * 1_000)
}

pub fn hub(name: &str, up: &[&str]) -> HubConfig {
    HubConfig {
        name: name.into(),
        address: "127.0.0.1:1".into(),
        site: String::new(),
        capacity: 100.0,
        passes: 0.3,
        since_ms: 0,
        cold_from: 0.1,
        cold_ms: 20_000,
        falls_at: 2.0,
        falls_within_ms: 1_000,
        up: up.iter().map(|name| name.to_string()).collect(),
    }
}

pub fn branch(name: &str, load: f64, hubs: &[&str]) -> BranchConfig {
    let hubs = hubs.iter().map(|name| name.to_string()).collect();
    BranchConfig {
        name: name.into(),
        site: String::new(),
        load,
        hubs,
        feed: None,
        feeds: Default::default(),
        caches: Vec::new(),
    }
}

pub fn shape(hubs: Vec<HubConfig>, branches: Vec<BranchConfig>) -> ShapeConfig {
    let archive = ArchiveConfig {
        name: "archive".into(),
        address: "127.0.0.1:2".into(),
        capacity: 100.0,
        stops_at: 2.5,
        stops_within_ms: 3_000,
    };
    ShapeConfig { version: 1, archive, hubs, branches, links: Vec::new() }
}

/// Two hubs at the top that four branches share.
pub fn two_hubs() -> ShapeConfig {
    let hubs = vec![hub("a", &["archive"]), hub("b", &["archive"])];
    let branches = ["n", "e", "s", "w"].map(|name| branch(name, 20.0, &["a", "b"]));
    shape(hubs, branches.into())
}

/// The same with a third that has just started, and every branch tied to it instead of `b`.
pub fn third_hub(since_ms: u64) -> ShapeConfig {
    let mut form = two_hubs();
    form.hubs.push(HubConfig { since_ms, ..hub("c", &["archive"]) });
    form.branches.iter_mut().for_each(|branch| branch.hubs = vec!["a".into(), "c".into()]);
    form
}
