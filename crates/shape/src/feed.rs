//! The control feed of a branch, in the platform's format: its routers get the hubs that the branch is linked
//! to as member events. Each version is one event with its own number, so that routers see no gap, whatever
//! changed.
use crate::config::{CacheConfig, HubConfig, ShapeConfig};
use crate::topology::{Node, NodeIndex, Shape};
use serde_json::{Value, json};

/// The event for a version of a branch. It lists the changes against the two versions before, as far as they
/// are still known, or all endpoints where the version before is unknown.
///
/// `number` is the event's own number: the version's where members of the service send it, the connection's
/// where a branch's own feed does.
pub fn version_event(
    number: u64,
    two_before: Option<&Shape>,
    before: Option<&Shape>,
    now: &Shape,
    branch: &str,
) -> Vec<u8> {
    let (snapshot, mut endpoints) = match before {
        None => (true, endpoints(now, branch)),
        Some(before) => (false, changes(two_before.unwrap_or(before), before, now, branch)),
    };
    endpoints.sort_by(|a, b| a["name"].as_str().cmp(&b["name"].as_str()));
    let members = json!({"index": number, "snapshot": snapshot, "endpoints": endpoints});
    // The version is included for whoever records which one is in use.
    (json!({"n": number, "members": members, "version": now.version()}).to_string() + "\n").into_bytes()
}

/// An event without changes that says what its sender has applied: the number of purges, the time of the last
/// of them, and the sites that a fallback plan excludes.
pub fn markers_event(number: u64, purges: u64, at_ms: u64, plan: &str) -> Vec<u8> {
    let members = json!({"index": number, "snapshot": false, "endpoints": []});
    let markers = json!({"n": number, "members": members, "purges": purges, "at": at_ms, "plan": plan});
    (markers.to_string() + "\n").into_bytes()
}

/// An event without changes that says that this feed accepts reports of what routers hold. Routers send
/// reports only after it. It is the first event on a connection, if it is sent at all.
pub fn accepts_reports_event(number: u64) -> Vec<u8> {
    let members = json!({"index": number, "snapshot": false, "endpoints": []});
    (json!({"n": number, "members": members, "hears": true}).to_string() + "\n").into_bytes()
}

/// An event for a purge: copies of an object, or of a group, that were served before `at_ms` are stale.
pub fn purge_event(number: u64, object: Option<u64>, group: Option<u32>, at_ms: u64) -> Vec<u8> {
    let purge = match (object, group) {
        (Some(object), _) => json!({"key": format!("{object:016x}"), "at": at_ms}),
        (None, group) => json!({"group": group.unwrap_or(0), "at": at_ms}),
    };
    (json!({"n": number, "purge": purge}).to_string() + "\n").into_bytes()
}

/// An event without content, which keeps the numbers without a gap.
pub fn empty_event(number: u64) -> Vec<u8> {
    let members = json!({"index": number, "snapshot": false, "endpoints": []});
    (json!({"n": number, "members": members}).to_string() + "\n").into_bytes()
}

/// A line that repeats the last event number and shows that the connection is alive.
pub fn heartbeat(last: u64) -> Vec<u8> {
    format!("{last}\n").into_bytes()
}

/// Everything that a branch's routers may use: its caches, the hubs that it is linked to, the archive.
fn endpoints(shape: &Shape, branch: &str) -> Vec<Value> {
    let Some(at) = shape.find(branch) else { return Vec::new() };
    let caches = match shape.node(at) {
        Some(Node::Branch(config)) => config.caches.as_slice(),
        _ => &[],
    };
    let hubs = shape.upstreams(at).iter().filter_map(|upstream| shape.node(*upstream).and_then(Node::as_hub));
    let archive = shape.archive();
    let origin = entry(&archive.name, &archive.address, "hub", "origin", "Ready", 0);
    caches.iter().map(cache).chain(hubs.map(|hub| parent(hub, "Ready"))).chain([origin]).collect()
}

/// Endpoints that are new or differ, and those that the branch is no longer linked to. The latter drain with
/// this version and are removed with the next, so that nothing new goes there while requests under way may
/// finish.
fn changes(two_before: &Shape, before: &Shape, now: &Shape, branch: &str) -> Vec<Value> {
    let (two_before, previous, current) =
        (endpoints(two_before, branch), endpoints(before, branch), endpoints(now, branch));
    let contains = |list: &[Value], name: &Value| list.iter().any(|entry| entry["name"] == *name);
    let mut changes: Vec<Value> = current.iter().filter(|entry| !previous.contains(entry)).cloned().collect();
    let with_status = |mut entry: Value, status: &str| {
        entry["status"] = json!(status);
        entry
    };
    let drains = previous.iter().filter(|entry| !contains(&current, &entry["name"]));
    changes.extend(drains.map(|entry| with_status(entry.clone(), "Terminating")));
    let removed = two_before
        .iter()
        .filter(|entry| !contains(&previous, &entry["name"]) && !contains(&current, &entry["name"]));
    changes.extend(removed.map(|entry| with_status(entry.clone(), "Gone")));
    changes
}

fn cache(cache: &CacheConfig) -> Value {
    entry(&cache.name, &cache.address, "here", "std", "Ready", cache.since_ms)
}

fn parent(hub: &HubConfig, status: &str) -> Value {
    entry(&hub.name, &hub.address, "hub", "parent", status, hub.since_ms)
}

fn entry(name: &str, address: &str, zone: &str, kind: &str, status: &str, since_ms: u64) -> Value {
    json!({"name": name, "address": address, "zone": zone, "type": kind, "group": 0, "status": status,
        "weight": 1, "since_ms": since_ms})
}

/// The version that hubs get: without branches.
pub fn config_for_hubs(shape: &Shape) -> ShapeConfig {
    let mut config = shape.to_config();
    config.branches.clear();
    config
}

/// The version that a branch's own feed gets: without the other branches. `None` if no branch has that name.
pub fn config_for_branch(shape: &Shape, branch: &str) -> Option<ShapeConfig> {
    let Node::Branch(own) = shape.node(shape.find(branch)?)? else { return None };
    let mut config = config_for_hubs(shape);
    config.branches.push(own.clone());
    Some(config)
}

/// The branches that this member of the service has a feed for, with the address that it listens on.
pub fn feed_addresses(shape: &Shape, member: &str) -> Vec<(String, String)> {
    let feed = |(_, node): (NodeIndex, &Node)| match node {
        Node::Branch(branch) => {
            let at = branch.feeds.get(member).or(branch.feed.as_ref());
            at.map(|feed| (branch.name.clone(), feed.clone()))
        }
        _ => None,
    };
    shape.nodes().filter_map(feed).collect()
}
