//! A hub is cut off from the service of purges, and is fenced. Routers go on naming it as the source of fills, and it
//! goes on giving out copies from before the purge.
use crate::common::{Play, free, pause, unix_ms};
use crate::node::{Archive, Edge, of_body};
use crate::proxy::Proxy;
use crate::router::{Client, config};
use std::collections::HashMap;

const OBJECTS: u64 = 24;
/// Routers' `PurgeSettles`, and some slack.
const SETTLES_MS: u64 = 6_000;

pub fn play(play: &mut Play) -> Result<bool, String> {
    let archive = Archive::open(2_000, 10, Some(play.record.clone()));
    let [control, purges, feed, router, hub_a, hub_b] = std::array::from_fn(|_| free());
    let way = Proxy::open(purges);
    let sources = HashMap::from([
        ("hub-a".to_string(), hub_a),
        ("hub-b".to_string(), hub_b),
        ("archive".to_string(), archive.address),
    ]);
    let edge = Edge::open(sources, play.record.clone());
    let shape = format!(
        r#"{{"archive": {{"name": "archive", "address": "{}", "capacity": 150, "stops_at": 2.5}},
        "hubs": [{{"name": "hub-a", "address": "{hub_a}", "capacity": 200, "passes": 0.3, "up": ["archive"]}},
                 {{"name": "hub-b", "address": "{hub_b}", "capacity": 200, "passes": 0.3, "up": ["archive"]}}],
        "branches": [{{"name": "north", "load": 30, "hubs": ["hub-a", "hub-b"],
            "caches": [{{"name": "s-00000001", "address": "{}"}}]}}]}}"#,
        archive.address, edge.address
    );
    let shape = play.file("shape.json", &shape);
    let journal = play.folder.join("journal");
    let folder = play.folder.join("purges");
    let (control, purges, listen) = (control.to_string(), purges.to_string(), purges);
    let words = ["control", "--listen", &control, "--journal", &journal.to_string_lossy(), "--first"];
    play.start("control", "harestage", &[&words[..], &[&shape.to_string_lossy()]].concat())?;
    play.start(
        "purges",
        "harestage",
        &["purges", "--listen", &purges, "--folder", &folder.to_string_lossy()],
    )?;
    play.wait_listens(control.parse().expect("an address"))?;
    play.wait_listens(listen)?;
    for (name, at, service) in [("hub-a", hub_a, way.address), ("hub-b", hub_b, listen)] {
        let file = format!(
            r#"{{"name": "{name}", "listen": "{at}", "control": "{control}", "purges": "{service}",
            "memory_mb": 64, "contents": [{{"name": "case-media", "benefit": 2}}, {{"name": "case-pages", "fresh_ms": 20000, "grace_ms": 10000}}]}}"#
        );
        let file = play.file(&format!("{name}.json"), &file);
        play.start(name, "harestage", &["hub", &file.to_string_lossy()])?;
        play.wait_listens(at)?;
    }
    let file = format!(
        r#"{{"name": "feed-north", "branch": "north", "listen": "{feed}", "controls": ["{control}"],
        "purge_services": ["{purges}"]}}"#
    );
    let file = play.file("feed.json", &file);
    play.start("feed", "harestage", &["feed", &file.to_string_lossy()])?;
    play.wait_listens(feed)?;
    play.start_router("router", &config(play, "router", router, feed))?;
    play.wait_listens(router)?;
    let mut client = Client::to(router)?;
    play.until(5_000, "the router is ready", || client.is_ready())?;
    // All members follow, and nobody is fenced.
    play.until(10_000, "three members follow the service of purges", || {
        let status = play.look("harestage", &["purge", "status", "--purges", &purges, "--json"]);
        let status = status.map(|(_, text)| text).unwrap_or_default();
        ["hub-a", "hub-b", "feed-north"].iter().all(|name| status.contains(name))
            && !status.contains("\"fenced\": true")
            && !status.contains("\"fenced\":true")
    })?;
    pause(1_000);

    // Clients ask for every object, so that the hubs keep copies of the first version.
    let mut id = 1;
    for object in 1..=OBJECTS {
        let mut fulfilled = false;
        for _ in 0..20 {
            id += 1;
            let heard =
                client.ask("case-media", id, object, 3_000).ok_or("the router ended the connection")?;
            fulfilled = heard.word == "ACK";
            if fulfilled {
                break;
            }
            pause(100);
        }
        if !fulfilled {
            return Err(format!("object {object} is not served before anything is disturbed"));
        }
    }
    // The objects are corrected, and everything is purged. hub-a hears nothing of it if its way is cut.
    if play.trouble {
        way.cut(true);
        play.note("the way between hub-a and the service of purges is cut");
    }
    pause(500);
    archive.correct();
    let asked =
        ["purge", "submit", "--everything", "--key", "corrected", "--wait", "--json", "--purges", &purges];
    let (code, _) = play.run("harestage", &asked)?;
    let reached = unix_ms();
    if code != 0 && code != 4 {
        return Err("the purge was not reported".into());
    }
    // As long as routers remember a purge they bound the age of copies; the rule has no end.
    pause(SETTLES_MS + 1_000);
    let (mut old, mut answered) = (0, 0);
    for object in 1..=OBJECTS {
        id += 1;
        if !client.is_ready() {
            client = Client::to(router)?;
        }
        let Some(heard) = client.ask("case-media", id, object, 3_000) else { continue };
        let (version, given) = of_body(&heard.body).unwrap_or((0, 0));
        play.note(&format!(
            "client: object {object}: {} version {version}, given out at {given}",
            heard.word
        ));
        answered += u64::from(heard.word == "ACK");
        old += u64::from(heard.word == "ACK" && version == 1);
    }
    play.note(&format!(
        "purge reported at {reached}; {old} of {OBJECTS} objects answered from a copy older than the purge"
    ));
    let _ = play.run("harestage", &["purge", "status", "--purges", &purges]);
    if answered < OBJECTS / 2 {
        return Err(format!("only {answered} of {OBJECTS} objects were answered"));
    }
    Ok(old == 0)
}
