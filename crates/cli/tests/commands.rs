//! The command as operators and scripts use it, and a router of the platform behind its branch's feed.
use harestage_standins::{Archive, ArchiveScript, Edge};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

fn harestage(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_harestage")).args(args).output().unwrap()
}

fn said(output: &Output) -> (i32, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().unwrap_or(-1), text(&output.stdout), text(&output.stderr))
}

/// Files of one test, gone with it.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Scratch {
        let path = std::env::temp_dir().join(format!("harestage-cli-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Scratch(path)
    }
    fn write(&self, name: &str, json: &Value) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, json.to_string()).unwrap();
        path.display().to_string()
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

struct Started(Child);

impl Started {
    fn run(args: &[&str]) -> Started {
        let command = Command::new(env!("CARGO_BIN_EXE_harestage")).args(args).stderr(Stdio::null()).spawn();
        Started(command.unwrap())
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn hub(name: &str, at: SocketAddr) -> Value {
    json!({"name": name, "address": at.to_string(), "capacity": 300, "passes": 0.3, "up": ["archive"]})
}

fn shape(archive: SocketAddr, hubs: &[Value], branches: Value) -> Value {
    let archive = json!({"name": "archive", "address": archive.to_string(), "capacity": 400});
    json!({"archive": archive, "hubs": hubs, "branches": branches})
}

#[test]
fn wrong_files_are_refused_in_lines_that_scripts_can_read() {
    let scratch = Scratch::new("files");
    let at = free();
    let hubs = [hub("a", at), hub("b", at)];
    let branches = json!([{"name": "n", "load": 10, "hubs": ["a", "b"]}]);
    let good = scratch.write("good.json", &shape(at, &hubs, branches.clone()));
    let (code, out, _) = said(&harestage(&["shape", "check", &good]));
    assert!(code == 0 && out.contains("asked"), "{out}");
    let (code, out, _) = said(&harestage(&["shape", "check", &good, "--json"]));
    let json: Value = serde_json::from_str(&out).unwrap();
    assert!(code == 0 && json["holds"] == true, "{out}");
    let mut looped = hubs.to_vec();
    looped[0]["up"] = json!(["b"]);
    looped[1]["up"] = json!(["a"]);
    let bad = scratch.write("bad.json", &shape(at, &looped, branches.clone()));
    let (code, _, err) = said(&harestage(&["shape", "check", &bad]));
    assert_eq!((code, err), (1, format!("harestage: {bad}: loop: a -> b -> a\n")));
    let text = std::fs::read_to_string(&good).unwrap();
    std::fs::write(&bad, &text[..text.len() / 2]).unwrap();
    let (code, _, err) = said(&harestage(&["shape", "check", &bad]));
    assert!(code == 1 && err.lines().count() == 1 && err.contains("bad.json"), "{err}");
    let moved = json!([{"name": "n", "load": 10, "hubs": ["a"]}]);
    let moved = scratch.write("moved.json", &shape(at, &hubs, moved));
    let (_, out, _) = said(&harestage(&["shape", "diff", &good, &moved]));
    assert_eq!(out, "n: a b -> a\n");
    let (code, out, _) = said(&harestage(&["shape", "plan", &moved, "--from", &good]));
    assert!(code == 0 && out.contains("n: a b -> a"), "{out}");
    let (_, out, _) = said(&harestage(&["shape", "draw", &good]));
    assert!(out.starts_with("<svg") && out.contains(">a<") && out.ends_with("</svg>\n"));
    let (_, out, _) = said(&harestage(&["shape", "draw", &good, "--dot"]));
    assert!(out.contains("\"n\" -> \"b\""), "{out}");
    let nobody = free().to_string();
    let (code, _, err) = said(&harestage(&["shape", "status", "--control", &nobody]));
    assert!(code == 3 && err.contains(&nobody), "{err}");
    let file = json!({"name": "a b", "listen": at.to_string(), "contents": []});
    let file = scratch.write("hub.json", &file);
    let (code, _, err) = said(&harestage(&["hub", &file]));
    assert!(code == 1 && err.contains("hub.json: key name: \"a b\""), "{err}");
}

/// What `deploy/` holds is what the command prints, and its examples hold.
#[test]
fn schemas_and_examples_are_those_in_the_repository() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    for of in ["shape", "hub", "feed", "scenario"] {
        let (_, printed, _) = said(&harestage(&["schema", of]));
        let kept = std::fs::read_to_string(deploy.join(format!("{of}.schema.json"))).unwrap();
        assert!(printed == kept, "make schemas");
    }
    for file in ["shape.json", "shape-west-moves.json"] {
        let path = deploy.join("first").join(file).display().to_string();
        assert_eq!(said(&harestage(&["shape", "check", &path])).0, 0);
    }
}

fn settings() -> Value {
    json!({
        "Allowed": {"Cancel": true, "ConnectTimeout": 400_000, "IdleClose": 30_000_000, "MaxAttempts": 6,
            "MaxRetryAfter": 500_000, "MostHeld": 20_000, "RetryAfter": true, "StreamsPerConn": 100},
        "Balancers": 1,
        "Classes": [{"Name": "clip", "Aim": 400_000, "Idempotency": "repeatable", "Worth": 1.0}],
        "FamilyInfo": {"MidKind": 1, "StoreKind": 2, "CountByZone": [0, 1], "FlowKbPerS": 8_000.0,
            "ZoneLinkKbPerS": [0.0, 80_000.0], "GoodFor": [0], "GraceFor": [0], "ClassWrite": [false],
            "ClassParts": [false], "PurgeSettles": 6_000_000, "ParentColdFrom": 0.5, "ParentRamp": 1_000_000,
            "ParentBreaksAt": 4.0},
        "Localities": ["hub", "here"], "Shapes": ["std", "parent", "origin"],
        "Safety": {"Cold": 18_000_000, "ColdFrom": 0.2, "Fall": 2_000_000, "FallMultiple": 4.0},
        "Zone": 1
    })
}

/// Asks a router for an object, and says whether it was fulfilled.
fn ask(mut router: &TcpStream, tag: u64, object: u64) -> bool {
    let fields = format!("i={:016x},d=2000,o={object:016x},chunk=0,tag=5", tag + object * 1_000);
    let tag = tag.to_string();
    let items = ["ASK", &tag, "clip", &fields, ""];
    let text: String = items.iter().map(|item| format!("${}\r\n{item}\r\n", item.len())).collect();
    router.write_all(format!("*5\r\n{text}").as_bytes()).unwrap();
    let mut piece = [0; 64 << 10];
    let mut seen = Vec::new();
    // A whole answer has four items; its body here is 2,000 bytes.
    while !seen.windows(5).any(|w| w == b"FAIL\r" || w == b"\nNAK\r") && seen.len() < 2_000 {
        let bytes = router.read(&mut piece).unwrap();
        assert!(bytes > 0, "the router closed");
        seen.extend_from_slice(&piece[..bytes]);
    }
    seen.windows(4).any(|w| w == b"\nACK")
}

/// A router follows its branch's feed, fills from the hubs that it names, and goes on while they change.
#[test]
fn a_router_gets_its_hubs_as_roster_events_and_serves_through_a_change() {
    let scratch = Scratch::new("router");
    let archive = Archive::open(ArchiveScript { capacity: 400.0, ..ArchiveScript::default() });
    let (control, feed, listen) = (free().to_string(), free().to_string(), free().to_string());
    let hubs: Vec<(&str, SocketAddr)> = ["a", "b", "c"].into_iter().map(|name| (name, free())).collect();
    let edge = Edge::open();
    edge.sources.lock().unwrap().extend(hubs.iter().map(|(name, at)| (name.to_string(), *at)));
    edge.sources.lock().unwrap().insert("archive".into(), archive.address);
    let branch = |ties: &[&str]| {
        let caches = json!([{"name": "s-1", "address": edge.address.to_string()}]);
        json!([{"name": "n", "load": 30, "hubs": ties, "feed": feed, "caches": caches}])
    };
    let forms: Vec<Value> = hubs.iter().map(|(name, at)| hub(name, *at)).collect();
    let first = scratch.write("first.json", &shape(archive.address, &forms[..2], branch(&["a", "b"])));
    let second = scratch.write("second.json", &shape(archive.address, &forms, branch(&["a", "c"])));
    let journal = scratch.0.join("journal").display().to_string();
    let _control = Started::run(&["control", "--listen", &control, "--journal", &journal, "--first", &first]);
    let contents = json!([{"name": "clip"}]);
    let _hubs: Vec<Started> = hubs
        .iter()
        .map(|(name, at)| {
            let file =
                json!({"name": name, "listen": at.to_string(), "control": control, "contents": contents});
            Started::run(&["hub", &scratch.write(&format!("{name}.json"), &file)])
        })
        .collect();
    let config = json!({"name": "n0", "listen": listen, "seed": "8c1f30d27a5be964", "feed": feed,
        "limits": {"memory_mb": 192, "sockets": 1024}, "known": {"n": 0, "events": []}, "settings": settings()});
    let _router = Started::run(&["router", &scratch.write("router.json", &config)]);
    let until = Instant::now() + Duration::from_secs(10);
    let router = loop {
        assert!(Instant::now() < until, "the router never listened");
        match TcpStream::connect(&listen) {
            Ok(stream) => break stream,
            Err(_) => std::thread::sleep(Duration::from_millis(20)),
        }
    };
    router.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut tag = 0;
    let mut good = |from: u64, to: u64| {
        let asked = (from..to).map(|object| {
            tag += 1;
            std::thread::sleep(Duration::from_millis(5));
            ask(&router, tag, object)
        });
        asked.filter(|good| *good).count()
    };
    while good(9_000, 9_001) == 0 {
        assert!(Instant::now() < until, "the feed never came");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(good(0, 60) >= 58);
    assert!(edge.filled_from("a") > 5 && edge.filled_from("b") > 5 && edge.filled_from("c") == 0);
    let apply =
        std::thread::spawn(move || said(&harestage(&["shape", "apply", &second, "--control", &control])));
    let through = good(100, 400);
    let (code, out, err) = apply.join().unwrap();
    assert!(code == 0 && out.contains("complete at version"), "{out}{err}");
    assert!(through >= 295, "{through} of 300");
    std::thread::sleep(Duration::from_millis(600));
    let before = edge.filled_from("b");
    assert!(good(500, 600) >= 98);
    assert!(edge.filled_from("c") > 20, "the new hub is asked: {}", edge.filled_from("c"));
    assert_eq!(edge.filled_from("b"), before, "the old one is not");
}

/// Asks for a purge as an operator does, and gets its report.
#[test]
fn a_purge_is_asked_for_and_reported_on() {
    let scratch = Scratch::new("purge");
    let archive = Archive::open(ArchiveScript { capacity: 400.0, ..ArchiveScript::default() });
    let (service, at) = (free().to_string(), free());
    let folder = scratch.0.join("purges").display().to_string();
    let _service = Started::run(&["purges", "--listen", &service, "--folder", &folder]);
    let shape = shape(archive.address, &[hub("a", at)], json!([]));
    let file = json!({"name": "a", "listen": at.to_string(), "purges": service, "contents": [{"name": "clip"}],
        "shape": shape});
    let _hub = Started::run(&["hub", &scratch.write("a.json", &file)]);
    let purge = |args: &[&str]| said(&harestage(&[&["purge"], args, &["--purges", &service]].concat()));
    let until = Instant::now() + Duration::from_secs(10);
    while !purge(&["status"]).1.contains("\na ") {
        assert!(Instant::now() < until, "the hub never followed");
        std::thread::sleep(Duration::from_millis(50));
    }
    let (code, out, err) = purge(&["submit", "--glob", "7f*", "--key", "case-17", "--wait"]);
    assert!(code == 0 && out.contains("promised within") && out.contains("reached in"), "{out}{err}");
    let (_, again, _) = purge(&["submit", "--glob", "7f*", "--key", "case-17", "--json"]);
    let number = serde_json::from_str::<Value>(&again).unwrap()["number"].as_u64().unwrap();
    assert!(out.starts_with(&format!("purge {number}:")), "the same purge: {out}{again}");
    let (code, _, err) = purge(&["submit", "--glob", "**", "--key", "x"]);
    assert!(code == 1 && err.contains("covers everything"), "{err}");
    let (code, out, _) = purge(&["submit", "--regex", "7f.*", "--key", "y", "--dry-run"]);
    assert!(code == 0 && out.contains("would be promised"), "{out}");
    assert_eq!(purge(&["list"]).1.lines().count(), 1);
}
