//! The audit as processes with faults between them: who is recorded, who is found, who is shut out and let in again.
mod common;

use common::*;
use harestage_fleet::Fleet;
use harestage_fleet::scenario::{Act, ProcessForm, Runs, Scenario, WayForm};
use harestage_fleet::timeline::Entry;
use harestage_measure::three::Three;
use serde_json::{Value, json};
use std::path::Path;
use std::time::{Duration, Instant};

fn three() -> Three {
    Three {
        lasts_ms: 120_000,
        services: 3,
        keepers: 1,
        own_feeds: true,
        hub_caches: true,
        rate: 15.0,
        patience: 4,
        ..Three::default()
    }
}

fn launch_scenario(scenario: Scenario) -> Fleet {
    Fleet::launch(scenario, Path::new(env!("CARGO_BIN_EXE_harestage"))).unwrap_or_else(|why| panic!("{why}"))
}

fn audit(fleet: &Fleet, args: &[&str]) -> (i32, String) {
    let at: Vec<String> = (1..=3)
        .filter(|n| fleet.scenario().processes.iter().any(|p| p.name == format!("keeper-{n}")))
        .filter_map(|n| fleet.address(&format!("@keeper-{n}")))
        .flat_map(|at| ["--keeper".to_string(), at.to_string()])
        .collect();
    let all: Vec<&str> = std::iter::once("audit").chain(args.iter().copied()).collect();
    command(&all, &at)
}

/// What the keeper says as JSON; what the command says on standard error follows it.
fn asked(fleet: &Fleet, args: &[&str]) -> Value {
    let (_, said) = audit(fleet, &[args, &["--json"]].concat());
    serde_json::from_str(said.split("harestage:").next().unwrap_or_default()).unwrap_or_default()
}

/// Asks again until it is so.
fn until(fleet: &mut Fleet, what: &str, args: &[&str], holds: impl Fn(&Value) -> bool) -> Value {
    let until = Instant::now() + LONG;
    loop {
        let said = asked(fleet, args);
        if holds(&said) {
            return said;
        }
        assert!(Instant::now() < until, "{what}: {said:#}\n{}", fleet.around(fleet.timeline().now_ms()));
        fleet.play_for(Duration::from_millis(200));
    }
}

fn members_of(status: &Value) -> Vec<Value> {
    status["members"].as_array().cloned().unwrap_or_default()
}

fn find<'a>(list: &'a [Value], member: &str) -> Option<&'a Value> {
    list.iter().find(|m| m["member"] == member)
}

/// All twelve that are audited are heard, and the site's hubs bear witness.
fn all_are_audited(fleet: &mut Fleet, many: usize) -> Value {
    all_report(fleet);
    until(fleet, "everybody reports", &["status"], |status| {
        let members = members_of(status);
        members.len() >= many && members.iter().all(|m| m["stands"] == "up_to_date")
    })
}

fn change(fleet: &mut Fleet, site: &str) -> u64 {
    let at = members(fleet, "--control", "control");
    let (code, said) = command(&["site", "leave", site], &at);
    assert_eq!(code, 0, "{said}");
    assert!(fleet.wait_for(LONG, stands(site, "out")).is_some(), "the change is through");
    let status = asked(fleet, &["status"]);
    status["shape"].as_u64().unwrap_or(0)
}

/// The version that a router says it goes by from here on; its log is text.
fn took_up(e: &Entry) -> Option<u64> {
    let rest = e.says.strip_prefix("goes by, ")?.split("shape: ").nth(1)?;
    rest.split(',').next()?.trim().parse().ok()
}

fn way(from: &str, to: &str) -> WayForm {
    WayForm { from: from.into(), to: to.into(), silent: true, both: true, ..WayForm::default() }
}

fn after(fleet: &mut Fleet, from: f64, by: &str, says: &str) -> Entry {
    let found = fleet.wait_for(LONG, |e| e.by == by && e.at_ms >= from && e.says.starts_with(says));
    found.unwrap_or_else(|| panic!("{by} never says {says:?}\n{}", fleet.around(fleet.timeline().now_ms())))
}

/// A change goes through a fleet of two builds and back again: every process is recorded, each download is told once, what
/// is on disk holds, and nothing is found. In the end it is all there as a timeline.
#[test]
fn every_process_is_recorded_through_a_change_and_its_way_back() {
    let _turn = turn();
    let mut scenario = three().scenario();
    // A roll of builds with both at work.
    for form in scenario.processes.iter_mut().filter(|p| p.name == "router-west-1") {
        form.words.extend(["--build".to_string(), "next".into()]);
    }
    let mut fleet = launch_scenario(scenario);
    assert!(fleet.running() >= 23, "{} processes", fleet.running());
    all_are_audited(&mut fleet, 12);
    let due = change(&mut fleet, "north");
    assert!(due >= 2);
    let shape = due.to_string();
    let when = until(&mut fleet, "everybody takes it up", &["when", "--shape", &shape], |when| {
        when.as_array().is_some_and(|all| all.len() >= 12 && all.iter().all(|t| t["at_ms"].is_u64()))
    });
    assert!(when.as_array().is_some_and(|all| all.iter().any(|t| t["after_ms"].is_u64())));
    // Half way back and forth again: it ends where staff wants it.
    let at = members(&fleet, "--control", "control");
    assert_eq!(command(&["site", "return", "north"], &at).0, 0);
    assert!(fleet.wait_for(LONG, stands("north", "in_service")).is_some());
    let status = until(&mut fleet, "nobody lags behind", &["status"], |status| {
        let members = members_of(status);
        members.iter().all(|m| m["stands"] == "up_to_date") && members.len() >= 12
    });
    assert_eq!(status["findings"], json!([]), "{status:#}");
    assert_eq!(status["chains"]["gaps"], json!([]), "{status:#}");
    assert_eq!(audit(&fleet, &["stragglers"]).0, 0);
    let who = asked(&fleet, &["who", "--from", "-600"]);
    let builds: std::collections::BTreeSet<&str> =
        who.as_array().into_iter().flatten().filter_map(|spell| spell["goes"]["build"].as_str()).collect();
    assert!(builds.contains("next") && builds.len() == 2, "{builds:?}");
    let (code, said) = audit(&fleet, &["explain", "zz"]);
    assert!(code == 1 && said.contains("is not 16 hex digits"), "{said}");
    let entries = whole(&mut fleet);
    let folder = fleet.disk("keeper-1").map(|disk| disk.path.display().to_string()).unwrap_or_default();
    let (code, said) = harestage(&["audit", "verify", &folder, "--json"]);
    assert_eq!(code, 0, "{said}");
    let verified: Value = serde_json::from_str(&said).unwrap_or_default();
    assert_eq!(verified["gaps"], json!([]), "{verified:#}");
    // Each try of a client is one download of a router.
    let (code, lines) = harestage(&["audit", "export", &folder]);
    assert_eq!(code, 0);
    let told: u64 = lines
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok())
        .filter(|link| link["member"].as_str().is_some_and(|m| m.starts_with("router-")))
        .flat_map(|link| link["body"]["span"]["downloads"].as_array().cloned().unwrap_or_default())
        .filter_map(|count| count["many"].as_u64())
        .sum();
    assert_eq!(told as f64, sum(&entries, "crowd", "tries") - sum(&entries, "crowd", "cut_off"));
    let (code, svg) = harestage(&["audit", "export", "--svg", &folder]);
    assert!(code == 0 && svg.starts_with("<svg") && svg.contains("router-west-1") && svg.contains("hsl("));
}

/// A router is stopped before a change and woken long after it: it acts no more before it has heard the keeper, is shut out
/// for what it went by, brought up, and let in step by step. No hub takes anything of it that was forbidden.
#[test]
fn a_router_that_wakes_up_long_after_a_change_does_nothing_by_the_old_one() {
    let _turn = turn();
    let mut fleet = launch_scenario(Three { routers_a_branch: 3, ..three() }.scenario());
    all_are_audited(&mut fleet, 18);
    let slept = "router-west-1";
    fleet.act(&Act::Stop(slept.into()));
    let due = change(&mut fleet, "north");
    let shut = after(&mut fleet, 0.0, "keeper-1", "shut out");
    assert_eq!(shut.text("member"), slept);
    let woken = fleet.timeline().now_ms();
    fleet.act(&Act::Wake(slept.into()));
    after(&mut fleet, woken, slept, "acts no more");
    let took = fleet.wait_for(LONG, |e| e.by == slept && e.at_ms > woken && took_up(e) >= Some(due));
    assert!(took.is_some(), "it takes the change up");
    let eased = after(&mut fleet, woken, "keeper-1", "let in by a share");
    let freed = after(&mut fleet, eased.at_ms, "keeper-1", "let in again");
    assert_eq!((eased.text("member"), freed.text("member")), (slept, slept));
    let acts = after(&mut fleet, woken, slept, "acts again");
    assert!(acts.at_ms >= took.map_or(0.0, |e| e.at_ms), "not before it had caught up");
    let status = asked(&fleet, &["status"]);
    assert_eq!(status["findings"], json!([]), "{status:#}");
    let shut_out = fleet.timeline().all().into_iter().filter(|e| e.says == "shut out").count();
    assert_eq!(shut_out, 1, "and nobody else");
    whole(&mut fleet);
}

/// One router's feed is cut while clients still reach it: the keeper brings it up. Then its way to the keeper is cut too: its
/// lease runs out, it turns everybody away at once, and comes back by itself when the cut is healed.
#[test]
fn a_router_without_a_feed_is_brought_up_and_one_without_a_lease_shuts_itself_out() {
    let _turn = turn();
    let mut fleet = launch_scenario(Three { routers_a_branch: 2, ..three() }.scenario());
    all_are_audited(&mut fleet, 15);
    let router = "router-west-1";
    fleet.set_way(way(router, "feed-west"));
    let cut = fleet.timeline().now_ms();
    let due = change(&mut fleet, "north");
    after(&mut fleet, cut, router, "brought up by the keeper");
    let took = fleet.wait_for(LONG, |e| e.by == router && e.at_ms > cut && took_up(e) >= Some(due));
    assert!(took.is_some(), "by the keeper's line it goes by the change");
    until(&mut fleet, "it is up to date", &["status"], |status| {
        find(&members_of(status), router).is_some_and(|m| m["stands"] == "up_to_date")
    });
    fleet.set_way(way(router, "keeper-1"));
    let cut = fleet.timeline().now_ms();
    let out = after(&mut fleet, cut, router, "acts no more");
    assert!(out.says.contains("lease"), "{out}");
    fleet.play_for(Duration::from_millis(1_500));
    fleet.heal(router, "keeper-1");
    fleet.heal(router, "feed-west");
    after(&mut fleet, out.at_ms, router, "acts again");
    let entries = whole(&mut fleet);
    // The other router of the branch served on, and whoever was turned away came again.
    let of = |e: &&Entry| {
        e.by == "crowd-west" && e.says == "crowd" && e.at_ms > out.at_ms && e.at_ms < out.at_ms + 1_500.0
    };
    let served: f64 =
        entries.iter().filter(of).filter_map(|e| Some(e.number("in_time")? + e.number("late")?)).sum();
    assert!(served > 0.0, "the branch is served by its other router");
}

/// Clocks minutes apart, a second process under one name, a router killed between acting and reporting, and the keeper
/// killed on a disk that falls back: nobody is shut out for a clock, the twin is found, what was lost is a gap with its
/// bounds, and all that was acknowledged is there.
#[test]
fn kills_clocks_and_twins_are_told_for_what_they_are() {
    let _turn = turn();
    let mut scenario = three().scenario();
    for form in scenario.processes.iter_mut() {
        form.clock_off_ms = match form.name.as_str() {
            "router-east-1" => 180_000,
            "feed-east" => -180_000,
            "keeper-1" => 60_000,
            _ => 0,
        };
    }
    let own = scenario.processes.iter().find(|p| p.name == "router-north-1").cloned().unwrap();
    let twin = ProcessForm { name: "router-twin".into(), starts_ms: 9_000, ..own };
    let mut twin_file = twin.file.clone();
    twin_file.insert("listen".into(), json!("!router-twin"));
    scenario.processes.push(ProcessForm { file: twin_file, ..twin });
    let mut fleet = launch_scenario(scenario);
    all_are_audited(&mut fleet, 12);
    fleet.play_for(Duration::from_millis(1_500));
    // Killed under load: what it had not told is not known.
    fleet.kill_now("router-west-1");
    fleet.start_now("router-west-1");
    until(&mut fleet, "the gap is told", &["status"], |status| {
        let gaps = status["chains"]["gaps"].as_array().cloned().unwrap_or_default();
        gaps.iter()
            .any(|gap| gap["member"] == "router-west-1" && gap["from_ms"].as_u64() <= gap["to_ms"].as_u64())
    });
    let before = asked(&fleet, &["status"]);
    fleet.kill_now("keeper-1");
    let gone = fleet.timeline().now_ms();
    fleet.play_for(Duration::from_millis(400));
    fleet.start_now("keeper-1");
    after(&mut fleet, gone, "keeper-1", "takes up the service");
    let status = until(&mut fleet, "everybody reports again", &["status"], |status| {
        members_of(status).len() >= 12
            && status["chains"]["downloads"].as_u64() >= before["chains"]["downloads"].as_u64()
    });
    let gaps = status["chains"]["gaps"].as_array().cloned().unwrap_or_default();
    assert!(gaps.iter().all(|gap| gap["member"] == "router-west-1"), "{gaps:?}");
    let found = until(&mut fleet, "the twin is found", &["status"], |status| {
        let findings = status["findings"].as_array().cloned().unwrap_or_default();
        findings.iter().any(|f| f["what"] == "twins" && f["member"] == "router-north-1")
    });
    let others: Vec<Value> = found["findings"]
        .as_array()
        .into_iter()
        .flatten()
        .filter(|f| f["what"] != "twins")
        .cloned()
        .collect();
    assert_eq!(others, Vec::<Value>::new());
    let shut = fleet.timeline().all().into_iter().find(|e| e.says == "shut out");
    assert!(shut.is_none(), "{}", shut.map(|e| e.to_string()).unwrap_or_default());
    let due = change(&mut fleet, "east");
    let shape = due.to_string();
    let when = until(&mut fleet, "all that live take the change up", &["when", "--shape", &shape], |when| {
        let has = |name: &str| {
            let of_name = |t: &&Value| t["member"] == name && t["at_ms"].is_u64();
            when.as_array().is_some_and(|all| all.iter().any(|t| of_name(&t)))
        };
        ["router-east-1", "router-west-1", "feed-east", "hub-east-1"].into_iter().all(has)
    });
    // Laid on the keeper's clock, whatever their own says.
    let late = |t: &Value| t["after_ms"].as_u64().is_some_and(|ms| ms > 60_000);
    assert!(!when.as_array().into_iter().flatten().any(late), "{when:#}");
    whole(&mut fleet);
    let folder = fleet.disk("keeper-1").map(|disk| disk.path.display().to_string()).unwrap_or_default();
    let (code, said) = harestage(&["audit", "verify", &folder]);
    assert_eq!(code, 0, "{said}");
}

/// Two liars, which are stand-ins: one says the version in service and pulls by a tie that it lacks, one bears a stamp that
/// nobody declared. Both are found, and nobody else.
#[test]
fn liars_are_found_by_what_the_other_side_saw() {
    let _turn = turn();
    let mut scenario = three().scenario();
    let stamp = |digest: u64, shape: u64| format!("{digest:016x}.{shape}.0");
    let liar = |by: &str, hub: &str, stamp: String| {
        json!({"hub": format!("!{hub}"), "by": by, "place": "br-west", "stamp": stamp, "rate": 8.0,
            "begins_ms": 4_000, "lasts_ms": 60_000})
    };
    // br-west is tied to a hub of its own site and one of north, and never to one of east.
    let liars = json!({"liars": [liar("liar-1", "hub-east-1", stamp(7, 1)), liar("liar-2", "hub-west-1", stamp(8, 1))]});
    let file = liars.as_object().cloned().unwrap_or_default();
    let own = scenario.processes.iter().find(|p| p.runs == Runs::Standin).cloned().unwrap();
    scenario.processes.push(ProcessForm { name: "liars".into(), site: "br-west".into(), file, ..own });
    let mut fleet = launch_scenario(scenario);
    all_report(&mut fleet);
    let status = until(&mut fleet, "both are found", &["status"], |status| {
        let findings = status["findings"].as_array().cloned().unwrap_or_default();
        ["liar-1", "liar-2"].into_iter().all(|liar| findings.iter().any(|f| f["member"] == liar))
    });
    let findings = status["findings"].as_array().cloned().unwrap_or_default();
    let of = |liar: &str| findings.iter().find(|f| f["member"] == liar).cloned().unwrap_or_default();
    assert_eq!(
        (of("liar-1")["what"].as_str(), of("liar-1")["says"].as_u64()),
        (Some("acts_by_other"), Some(1))
    );
    assert_eq!(of("liar-2")["what"], "undeclared");
    let honest = findings.iter().find(|f| !f["member"].as_str().is_some_and(|m| m.starts_with("liar")));
    assert_eq!(honest, None);
    whole(&mut fleet);
}

/// A router that never lives long enough to take a version up is told apart from one that can't be reached; the keeper on an
/// old disk shuts out one again that had long been let in, never more than the floor allows, and lets it in by itself.
#[test]
fn crashes_are_told_from_silence_and_an_old_keeper_harms_no_site() {
    let _turn = turn();
    let mut fleet = launch_scenario(Three { routers_a_branch: 2, ..three() }.scenario());
    all_are_audited(&mut fleet, 15);
    // One sleeps through a change and is shut out; the keeper's disk is kept as it is then.
    let slept = "router-west-1";
    fleet.act(&Act::Stop(slept.into()));
    change(&mut fleet, "north");
    let shut = after(&mut fleet, 0.0, "keeper-1", "shut out");
    assert_eq!(shut.text("member"), slept);
    let old = std::env::temp_dir().join(format!("harestage-old-keeper-{}", std::process::id()));
    let disk = fleet.disk("keeper-1").cloned().unwrap();
    disk.save(&old).unwrap();
    let woken = fleet.timeline().now_ms();
    fleet.act(&Act::Wake(slept.into()));
    after(&mut fleet, woken, "keeper-1", "let in again");
    // One that is out of reach.
    fleet.act(&Act::Stop("router-east-2".into()));
    // One that starts again and again, each time without its feed and without any version.
    let crashes = "router-north-1";
    fleet.set_way(way(crashes, "feed-north"));
    for _ in 0..4 {
        let from = fleet.timeline().now_ms();
        fleet.kill_now(crashes);
        fleet.start_now(crashes);
        after(&mut fleet, from, crashes, "keeper up");
    }
    let behind = until(&mut fleet, "both are told", &["stragglers"], |members| {
        let members = members.as_array().cloned().unwrap_or_default();
        find(&members, crashes).is_some_and(|m| m["cannot"]["crashes"]["starts"].as_u64() >= Some(3))
    });
    assert!(find(behind.as_array().unwrap(), crashes).is_some());
    let all = asked(&fleet, &["status"]);
    let silent = until(&mut fleet, "one is out of reach", &["status"], |status| {
        find(&members_of(status), "router-east-2").is_some_and(|m| m["reached"] == false)
    });
    assert!(find(&members_of(&silent), "router-east-2").is_some_and(|m| m["cannot"].is_null()), "{all:#}");
    fleet.act(&Act::Wake("router-east-2".into()));
    fleet.heal(crashes, "feed-north");
    // The keeper comes back on the disk from when one was shut out.
    fleet.kill_now("keeper-1");
    disk.put_back(&old).unwrap();
    let gone = fleet.timeline().now_ms();
    fleet.start_now("keeper-1");
    after(&mut fleet, gone, "keeper-1", "takes up the service");
    let freed = after(&mut fleet, gone, "keeper-1", "let in again");
    assert_eq!(freed.text("member"), slept);
    until(&mut fleet, "nobody is held back", &["status"], |status| {
        status["shut"] == json!([]) && members_of(status).len() >= 15
    });
    let entries = whole(&mut fleet);
    let mut out: std::collections::BTreeMap<String, usize> = Default::default();
    for e in entries.iter().filter(|e| e.at_ms > gone) {
        let branch = e.text("member").rsplit_once('-').map(|(name, _)| name.to_string()).unwrap_or_default();
        match e.says.as_str() {
            "shut out" => *out.entry(branch.clone()).or_default() += 1,
            "let in again" => drop(out.remove(&branch)),
            _ => {}
        }
        assert!(out.values().all(|many| *many <= 1), "{e}");
    }
    let _ = std::fs::remove_dir_all(old);
}

/// Files that are altered, cut, or no records at all are named by file and row, and the rest is still read.
#[test]
fn records_that_do_not_hold_are_named_and_the_rest_is_read() {
    use harestage_audit::chain::Outcome;
    use harestage_audit::record::Recorder;
    use harestage_audit::stamp::Versions;
    use harestage_keeper::columns;
    let at = |ms: u64| harestage::time::Moment::at_micros(ms * 1_000);
    let mut recorder = Recorder::new("router-1", 1, vec!["clip".into()], Versions::default(), None, at(0));
    for second in 0..20u64 {
        (0..30).for_each(|n| {
            recorder.download_ended(0, Outcome::Fulfilled, second * 30 + n, at(second * 1_000))
        });
        recorder.tick(at(second * 1_000 + 1_000));
    }
    let links = recorder.pending_links();
    let folder = std::env::temp_dir().join(format!("harestage-records-{}", std::process::id()));
    std::fs::create_dir_all(folder.join("files")).unwrap();
    let path = folder.join("files").join("audit-00000001.parquet");
    let whole = columns::write(&links).unwrap();
    std::fs::write(&path, &whole).unwrap();
    let shown = folder.display().to_string();
    let verify = || harestage(&["audit", "verify", &shown]);
    assert_eq!(verify().0, 0);
    // A row whose words are another's.
    let mut altered = links.clone();
    altered[5].at_ms += 1;
    std::fs::write(folder.join("files").join("audit-00000002.parquet"), columns::write(&altered).unwrap())
        .unwrap();
    let (code, said) = verify();
    assert!(
        code == 4 && said.contains("audit-00000002.parquet: row 6: its words are not those of its hash"),
        "{said}"
    );
    assert!(said.contains("downloads") && said.contains("router-1") | said.contains("1 starts"), "{said}");
    // A file that is cut, one of another kind, and one of a later form.
    std::fs::write(folder.join("files").join("audit-00000003.parquet"), &whole[..whole.len() / 2]).unwrap();
    std::fs::write(folder.join("files").join("audit-00000004.parquet"), b"not one").unwrap();
    let mut later = links.clone();
    later[0].format = 9;
    std::fs::write(folder.join("files").join("audit-00000005.parquet"), columns::write(&later).unwrap())
        .unwrap();
    let (code, said) = verify();
    assert_eq!(code, 4);
    for says in [
        "audit-00000003.parquet: can't be read",
        "audit-00000004.parquet: can't be read",
        "audit-00000005.parquet: row 1: of form 9",
    ] {
        assert!(said.contains(says), "{says}: {said}");
    }
    let (code, said) = harestage(&["audit", "verify", "/nowhere/at/all"]);
    assert!(code == 4 || code == 1, "{said}");
    let _ = std::fs::remove_dir_all(folder);
}

/// One line of JSON to a service, and its first answer.
fn tell(at: std::net::SocketAddr, what: &Value) -> Value {
    use std::io::{BufRead, BufReader, Write};
    let Ok(stream) = std::net::TcpStream::connect_timeout(&at, Duration::from_secs(2)) else {
        return Value::Null;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let _ = (&stream).write_all(format!("{what}\n").as_bytes());
    let mut line = String::new();
    let _ = BufReader::new(stream).read_line(&mut line);
    serde_json::from_str(&line).unwrap_or_default()
}

/// The member of the control service that speaks, by who answers.
fn speaking(fleet: &Fleet, what: &Value) -> (std::net::SocketAddr, Value) {
    for _ in 0..50 {
        for n in 1..=3 {
            let Some(at) = fleet.address(&format!("@control-{n}")) else { continue };
            let answer = tell(at, what);
            if !answer.is_null() && answer.get("elsewhere").is_none() {
                return (at, answer);
            }
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    panic!("nobody speaks for the control service");
}

/// A version that a third of those who report can't take is withdrawn by the keeper: the control service goes back to the one
/// before, while half of the fleet has the newer one already. The members that refuse it are stand-ins.
#[test]
fn a_version_that_many_refuse_is_taken_back_while_half_have_it() {
    use std::sync::atomic::{AtomicBool, Ordering};
    let _turn = turn();
    let mut fleet = launch_scenario(three().scenario());
    all_are_audited(&mut fleet, 12);
    let (_, before) = speaking(&fleet, &json!("shape"));
    let mut form = before["shape"].clone();
    let old = form["version"].as_u64().unwrap_or(0);
    let ties = |form: &Value| form["branches"][0]["hubs"].clone();
    let first = ties(&form);
    form["version"] = 0.into();
    form["branches"][0]["hubs"] = json!(["hub-east-1", "hub-west-1", "hub-north-1"]);
    let (stop, keeper) = (std::sync::Arc::new(AtomicBool::new(false)), fleet.address("!keeper-1").unwrap());
    let (at, _) = speaking(&fleet, &json!("status"));
    let begun = tell(at, &json!({"apply": {"form": form, "expect": null, "by": "anna"}}));
    assert!(begun["said"].is_object(), "{begun}");
    let seen = until(&mut fleet, "the change is out", &["status"], |s| s["shape"].as_u64() > Some(old));
    let due = seen["shape"].as_u64().unwrap_or(0);
    // Seven hubs that are not the program's refuse it from the start; the runner's change ends meanwhile.
    let refusing: Vec<_> = (0..7)
        .map(|n| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let report = json!({"audited": {"member": format!("other-{n}"), "start": 1, "role": "hub", "site": "mars",
                    "now_ms": 1, "stamp": format!("{:016x}.{old}.0", 5), "refuses": [due, "no such place"]}});
                while !stop.load(Ordering::Relaxed) {
                    tell(keeper, &report);
                    std::thread::sleep(Duration::from_millis(300));
                }
            })
        })
        .collect();
    let withdrawn = fleet.wait_for(LONG, |e| e.by == "keeper-1" && e.says == "version withdrawn");
    assert_eq!(withdrawn.and_then(|e| e.number("shape")), Some(due as f64));
    let back =
        fleet.wait_for(LONG, |e| e.by == "keeper-1" && (e.says == "goes back" || e.says == "not gone back"));
    let back = back.expect("it asks for the one before");
    assert_eq!(back.says, "goes back", "{back}");
    let begun = Instant::now();
    loop {
        let (_, shape) = speaking(&fleet, &json!("shape"));
        if ties(&shape["shape"]) == first && shape["shape"]["version"].as_u64() > Some(due) {
            break;
        }
        assert!(begun.elapsed() < LONG, "{}", ties(&shape["shape"]));
        fleet.play_for(Duration::from_millis(300));
    }
    stop.store(true, Ordering::Relaxed);
    refusing.into_iter().for_each(|thread| drop(thread.join()));
    let told = fleet.timeline().all().into_iter().filter(|e| e.says == "version withdrawn").count();
    assert_eq!(told, 1, "once");
    whole(&mut fleet);
}
