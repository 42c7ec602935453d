//! A branch's control feed in the platform's form: its routers get the hubs that it is tied to as roster events. Each
//! version is one event under its own number, so that routers find no gap, whatever changed.
use crate::config::{CacheConfig, HubConfig, ShapeConfig};
use crate::topology::{Node, NodeIndex, Shape};
use serde_json::{Value, json};

/// The event of a version for a branch, after the two versions before it as far as they are still known; the whole list
/// where the one before is not.
///
/// `number` is the event's own: the version's where members of the service tell it, the connection's where a branch's own
/// feed does.
pub fn version_event(
    number: u64,
    long_before: Option<&Shape>,
    before: Option<&Shape>,
    now: &Shape,
    branch: &str,
) -> Vec<u8> {
    let (snapshot, mut endpoints) = match before {
        None => (true, listed(now, branch)),
        Some(before) => (false, changes(long_before.unwrap_or(before), before, now, branch)),
    };
    endpoints.sort_by(|a, b| a["name"].as_str().cmp(&b["name"].as_str()));
    let members = json!({"index": number, "snapshot": snapshot, "endpoints": endpoints});
    // The version stands beside, for whoever records what it goes by.
    (json!({"n": number, "members": members, "version": now.version()}).to_string() + "\n").into_bytes()
}

/// An event that changes nothing, and says what whoever takes it goes by: the purges that were told before it, when the last
/// of them was asked for, and the sites that a plan leaves out.
pub fn markers_event(number: u64, purges: u64, at_ms: u64, plan: &str) -> Vec<u8> {
    let members = json!({"index": number, "snapshot": false, "endpoints": []});
    let marks = json!({"n": number, "members": members, "purges": purges, "at": at_ms, "plan": plan});
    (marks.to_string() + "\n").into_bytes()
}

/// An event that changes nothing, and says that this feed hears words of what routers have. Without it a router says none:
/// it is the first event on a connection, or there is none.
pub fn accepts_reports_event(number: u64) -> Vec<u8> {
    let members = json!({"index": number, "snapshot": false, "endpoints": []});
    (json!({"n": number, "members": members, "hears": true}).to_string() + "\n").into_bytes()
}

/// Copies of an object, or of a group, that were given out up to then are old.
pub fn purge_event(number: u64, object: Option<u64>, group: Option<u32>, at_ms: u64) -> Vec<u8> {
    let purge = match (object, group) {
        (Some(object), _) => json!({"key": format!("{object:016x}"), "at": at_ms}),
        (None, group) => json!({"group": group.unwrap_or(0), "at": at_ms}),
    };
    (json!({"n": number, "purge": purge}).to_string() + "\n").into_bytes()
}

/// An event that says nothing: it keeps the numbers without a gap.
pub fn empty_event(number: u64) -> Vec<u8> {
    let members = json!({"index": number, "snapshot": false, "endpoints": []});
    (json!({"n": number, "members": members}).to_string() + "\n").into_bytes()
}

pub fn heartbeat(last: u64) -> Vec<u8> {
    format!("{last}\n").into_bytes()
}

/// All that a branch's routers may name: its caches, the hubs that it is tied to, the archive.
fn listed(shape: &Shape, branch: &str) -> Vec<Value> {
    let Some(at) = shape.find(branch) else { return Vec::new() };
    let caches = match shape.node(at) {
        Some(Node::Branch(form)) => form.caches.as_slice(),
        _ => &[],
    };
    let hubs = shape.upstreams(at).iter().filter_map(|tie| shape.node(*tie).and_then(Node::as_hub));
    let archive = shape.archive();
    let origin = entry(&archive.name, &archive.address, "hub", "origin", "Ready", 0);
    caches.iter().map(cache).chain(hubs.map(|hub| parent(hub, "Ready"))).chain([origin]).collect()
}

/// What is new or differs, and what the branch is tied to no longer: that drains with this version and is gone with
/// the next, so that nothing new goes there while what is under way may end.
fn changes(long_before: &Shape, before: &Shape, now: &Shape, branch: &str) -> Vec<Value> {
    let (older, old, new) = (listed(long_before, branch), listed(before, branch), listed(now, branch));
    let named = |list: &[Value], name: &Value| list.iter().any(|entry| entry["name"] == *name);
    let mut changes: Vec<Value> = new.iter().filter(|entry| !old.contains(entry)).cloned().collect();
    let said = |mut entry: Value, status: &str| {
        entry["status"] = json!(status);
        entry
    };
    let drains = old.iter().filter(|entry| !named(&new, &entry["name"]));
    changes.extend(drains.map(|entry| said(entry.clone(), "Terminating")));
    let gone = older.iter().filter(|entry| !named(&old, &entry["name"]) && !named(&new, &entry["name"]));
    changes.extend(gone.map(|entry| said(entry.clone(), "Gone")));
    changes
}

fn cache(form: &CacheConfig) -> Value {
    entry(&form.name, &form.address, "here", "std", "Ready", form.since_ms)
}

fn parent(hub: &HubConfig, status: &str) -> Value {
    entry(&hub.name, &hub.address, "hub", "parent", status, hub.since_ms)
}

fn entry(name: &str, address: &str, zone: &str, kind: &str, status: &str, since_ms: u64) -> Value {
    json!({"name": name, "address": address, "zone": zone, "type": kind, "group": 0, "status": status,
        "weight": 1, "since_ms": since_ms})
}

/// A hub is told a version without branches.
pub fn config_for_hubs(shape: &Shape) -> ShapeConfig {
    let mut form = shape.to_config();
    form.branches.clear();
    form
}

/// A branch's own feed is told a version without the other branches. None: no branch has that name.
pub fn config_for_branch(shape: &Shape, branch: &str) -> Option<ShapeConfig> {
    let Node::Branch(own) = shape.node(shape.find(branch)?)? else { return None };
    let mut form = config_for_hubs(shape);
    form.branches.push(own.clone());
    Some(form)
}

/// The branches that have a feed of their own at this member of the service, with its address.
pub fn feed_addresses(shape: &Shape, member: &str) -> Vec<(String, String)> {
    let feed = |(_, place): (NodeIndex, &Node)| match place {
        Node::Branch(branch) => {
            let at = branch.feeds.get(member).or(branch.feed.as_ref());
            at.map(|feed| (branch.name.clone(), feed.clone()))
        }
        _ => None,
    };
    shape.nodes().filter_map(feed).collect()
}
