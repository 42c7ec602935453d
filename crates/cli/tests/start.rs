//! Black starts: every process of the fleet is gone in one instant, disks fall back to what was synced, and all come back in
//! a drawn order. What is judged is what clients get: nothing older than a purge, no body that the archive did not give,
//! nothing twice, and nobody who hangs.
mod common;

use common::*;
use harestage_fleet::Fleet;
use harestage_fleet::scenario::Act;
use harestage_fleet::timeline::Entry;
use harestage_measure::three::Three;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

fn three() -> Three {
    Three {
        lasts_ms: 150_000,
        services: 3,
        purges: true,
        own_feeds: true,
        storage: true,
        // Routers ask these themselves, and say what is worth keeping there.
        hub_caches: true,
        // Few, and asked for often: what is asked for rarely is kept by nobody.
        objects: 60,
        // The objects change before they are purged, so that an older copy can be told.
        changes_after_ms: Some(5_000),
        rate: 40.0,
        patience: 4,
        ..Three::default()
    }
}

/// Not as the other tests have it: so much is asked for that routers find copies worth keeping.
fn launch(three: &Three) -> Fleet {
    let fleet = Fleet::launch(three.scenario(), std::path::Path::new(env!("CARGO_BIN_EXE_harestage")));
    fleet.unwrap_or_else(|why| panic!("{why}"))
}

/// Everybody but the archive and the clients, who are not ours.
fn ours(fleet: &Fleet) -> Vec<String> {
    let not_ours = |name: &str| name == "archive" || name.starts_with("crowd-");
    let all = fleet.scenario().processes.iter().map(|p| p.name.clone());
    all.filter(|name| !not_ours(name)).collect()
}

/// All stop in the same instant, and are then ended one by one: nobody does anything in between.
fn power_goes(fleet: &mut Fleet) -> f64 {
    let names = ours(fleet);
    names.iter().for_each(|name| fleet.act(&Act::Stop(name.clone())));
    let at = fleet.timeline().now_ms();
    names.iter().for_each(|name| fleet.act(&Act::Kill(name.clone())));
    at
}

fn drawn(mut names: Vec<String>, seed: u64) -> Vec<String> {
    names.sort_by_key(|name| {
        let mut hasher = DefaultHasher::new();
        (seed, name).hash(&mut hasher);
        hasher.finish()
    });
    names
}

fn copies_are_kept(fleet: &mut Fleet) {
    for site in ["east", "west", "north"] {
        let kept = fleet.wait_for(LONG, |e| {
            e.site == site && e.says == "copies kept" && e.number("copies").is_some_and(|n| n >= 3.0)
        });
        assert!(kept.is_some(), "hubs of {site} keep copies\n{}", fleet.around(fleet.timeline().now_ms()));
    }
}

/// All that was changed by now is purged; when it was reached.
fn purge_all(fleet: &mut Fleet) -> f64 {
    let left = 6_500.0 - fleet.timeline().now_ms();
    fleet.play_for(Duration::from_millis(left.max(0.0) as u64));
    let at = members(fleet, "--purges", "purges");
    let (code, said) = command(&["purge", "submit", "--glob", "0*", "--key", "all", "--wait"], &at);
    assert!(code == 0 && said.contains("reached"), "{said}");
    fleet.timeline().now_ms()
}

/// Answers of the version from before the purge that were given from a moment on; a line of a crowd covers what came
/// within the quarter of a second before it.
fn older(entries: &[Entry], from: f64) -> f64 {
    let late = entries.iter().filter(|e| e.says == "crowd" && e.at_ms > from + 1_300.0);
    late.filter_map(|e| e.number("first_version")).sum()
}

fn served_since(entries: &[Entry], crowd: &str, from: f64) -> f64 {
    let of = |e: &&Entry| e.by == crowd && e.says == "crowd" && e.at_ms > from;
    entries.iter().filter(of).filter_map(|e| Some(e.number("in_time")? + e.number("late")?)).sum()
}

/// All hubs are through their starts, and every branch is served.
fn all_are_back(fleet: &mut Fleet, from: f64) {
    for site in ["east", "west", "north"] {
        for n in 1..=2 {
            let hub = format!("hub-{site}-{n}");
            let through = fleet.wait_for(Duration::from_secs(60), |e| {
                e.by == hub && e.says == "start" && e.at_ms > from && e.text("to") == "all"
            });
            assert!(through.is_some(), "{hub} is through\n{}", fleet.around(fleet.timeline().now_ms()));
        }
    }
    fleet.play_for(Duration::from_millis(1_500));
    let entries = fleet.timeline().all();
    for site in ["east", "west", "north"] {
        assert!(served_since(&entries, &format!("crowd-{site}"), from) > 0.0, "br-{site} is served again");
    }
}

#[test]
fn all_killed_at_one_instant_come_back_with_their_copies_and_nothing_older() {
    let _turn = turn();
    let mut fleet = launch(&three());
    assert!(fleet.running() >= 25, "{} processes", fleet.running());
    all_report(&mut fleet);
    copies_are_kept(&mut fleet);
    // Gone a moment after the purge was reached: its confirmation is synced, and what it took from disks may not be.
    let reached = purge_all(&mut fleet);
    let gone = power_goes(&mut fleet);
    let again = drawn(ours(&fleet), 1);
    again.iter().for_each(|name| fleet.start_now(name));
    all_are_back(&mut fleet, gone);
    // And once more, with copies of the new version on the disks.
    copies_are_kept(&mut fleet);
    fleet.play_for(Duration::from_millis(2_000));
    let gone = power_goes(&mut fleet);
    let again = drawn(ours(&fleet), 2);
    again.iter().for_each(|name| fleet.start_now(name));
    let found = fleet.wait_for(LONG, |e| {
        e.says == "copies on disk" && e.at_ms > gone && e.number("copies").is_some_and(|n| n >= 3.0)
    });
    assert!(found.is_some(), "copies are there after the loss");
    let serves =
        fleet.wait_for(LONG, |e| e.says == "start" && e.at_ms > gone && e.text("to") == "from_copies");
    assert!(serves.is_some(), "and serve before anything is fetched");
    all_are_back(&mut fleet, gone);
    let hub = fleet.address("@hub-east-1").unwrap().to_string();
    let (code, said) = harestage(&["start", "status", "--hub", &hub]);
    assert!(code == 0 && said.contains("hub-east-1") && said.contains("all"), "{said}");
    let entries = whole(&mut fleet);
    assert_eq!(older(&entries, reached), 0.0, "nothing older than the purge goes out");
    assert_eq!(last(&entries, "archive ended", "stops"), 0.0);
    assert!(last(&entries, "archive ended", "peak_share") <= 0.8);
}

/// The power goes again 3 s after a start, and again; then routers come before any hub, and one site long after the others.
#[test]
fn a_power_loss_during_a_start_and_sites_that_come_late_leave_nobody_hanging() {
    let _turn = turn();
    let mut fleet = launch(&three());
    all_report(&mut fleet);
    copies_are_kept(&mut fleet);
    let reached = purge_all(&mut fleet);
    for seed in 3..5 {
        power_goes(&mut fleet);
        drawn(ours(&fleet), seed).iter().for_each(|name| fleet.start_now(name));
        fleet.play_for(Duration::from_millis(3_000));
    }
    let gone = power_goes(&mut fleet);
    let (routers, others): (Vec<String>, Vec<String>) =
        ours(&fleet).into_iter().partition(|name| name.starts_with("router-"));
    routers.iter().for_each(|name| fleet.start_now(name));
    fleet.play_for(Duration::from_millis(1_000));
    let of_west =
        |name: &str| name.contains("west") && !name.starts_with("edge") && !name.starts_with("feed");
    let late: Vec<String> = others.iter().filter(|name| of_west(name)).cloned().collect();
    drawn(others, 5).iter().filter(|name| !late.contains(name)).for_each(|name| fleet.start_now(name));
    fleet.play_for(Duration::from_millis(8_000));
    let entries = fleet.timeline().all();
    for site in ["east", "north"] {
        assert!(
            served_since(&entries, &format!("crowd-{site}"), gone) > 0.0,
            "br-{site} does not wait for west"
        );
    }
    late.iter().for_each(|name| fleet.start_now(name));
    all_are_back(&mut fleet, gone);
    let entries = whole(&mut fleet);
    assert_eq!(older(&entries, reached), 0.0, "nothing older than the purge goes out");
}

/// Disks that are full, damaged, or not there any more: such a hub starts without its copies, or without the ones that are
/// bad, and never gives out a body that the archive did not give.
#[test]
fn bad_disks_cost_copies_and_never_a_wrong_body() {
    let _turn = turn();
    let mut fleet = launch(&Three { changes_after_ms: None, ..three() });
    all_report(&mut fleet);
    copies_are_kept(&mut fleet);
    fleet.play_for(Duration::from_millis(1_500));
    let gone = power_goes(&mut fleet);
    fleet.act(&Act::LoseDisk("hub-west-1".into()));
    fleet.act(&Act::FillDisk("hub-north-1".into()));
    // Every fiftieth byte of what one of them has is turned over.
    let disk = fleet.disk("hub-east-1").cloned().unwrap();
    let mut flipped = 0;
    for entry in std::fs::read_dir(disk.path.join("bodies")).unwrap().flatten() {
        let Ok(mut bytes) = std::fs::read(entry.path()) else { continue };
        bytes.iter_mut().step_by(50).for_each(|byte| *byte ^= 0x11);
        flipped += bytes.len();
        std::fs::write(entry.path(), bytes).unwrap();
    }
    assert!(flipped > 1_000, "{flipped}");
    drawn(ours(&fleet), 6).iter().for_each(|name| fleet.start_now(name));
    let without = fleet.wait_for(LONG, |e| {
        e.by == "hub-north-1" && e.at_ms > gone && e.says.starts_with("copies on disk not opened")
    });
    assert!(without.is_some(), "a hub whose disk takes nothing starts without it");
    let empty =
        fleet.wait_for(LONG, |e| e.by == "hub-west-1" && e.at_ms > gone && e.says == "copies on disk");
    assert_eq!(empty.and_then(|e| e.number("copies")), Some(0.0));
    let other = fleet.wait_for(LONG, |e| {
        e.by == "hub-west-2" && e.at_ms > gone && e.says == "start" && e.text("to") == "all"
    });
    assert!(other.is_some());
    fleet.play_for(Duration::from_millis(3_000));
    fleet.act(&Act::MendDisk("hub-north-1".into()));
    let entries = whole(&mut fleet);
    for site in ["east", "west", "north"] {
        assert!(served_since(&entries, &format!("crowd-{site}"), gone) > 0.0, "br-{site} is served");
    }
}

/// Staff holds a start where it is, and lets it go on.
#[test]
fn staff_holds_a_start_and_lets_it_go_on() {
    let _turn = turn();
    let mut fleet = launch(&Three { changes_after_ms: None, ..three() });
    let hub = fleet.address("!hub-east-1").unwrap().to_string();
    let from = std::time::Instant::now();
    while harestage(&["start", "hold", "--hub", &hub]).0 != 0 {
        assert!(from.elapsed() < LONG, "the hub can be reached");
    }
    fleet.play_for(Duration::from_millis(2_000));
    let (code, said) = harestage(&["start", "status", "--hub", &hub, "--json"]);
    assert!(said.contains("\"held\": true") && (code == 4 || said.contains("\"all\"")), "{said}");
    assert_eq!(harestage(&["start", "go", "--hub", &hub]).0, 0);
    let through =
        fleet.wait_for(LONG, |e| e.by == "hub-east-1" && e.says == "start" && e.text("to") == "all");
    assert!(through.is_some());
    assert_eq!(harestage(&["start", "status", "--hub", &hub]).0, 0);
    let (code, said) = harestage(&["start", "table"]);
    assert!(
        code == 0 && said.contains("| hub | copies | once the purge service has sent all active purges |"),
        "{said}"
    );
    whole(&mut fleet);
}
