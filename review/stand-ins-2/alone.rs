//! A site is cut off from the service of purges, and a hub there starts: it has to fetch each fill anew.
use crate::common::*;

const OBJECT: &str = "7f3a9c21e0b4d655";

pub fn run(case: &str) {
    let play = Play::begin(case);
    let record = play.record.clone();
    let archive = Archive::open(&record);
    let (service, top, low, far) = (free(), free(), free(), free());
    // The line of the site west to the service of purges; the hub of the other site has one of its own.
    let line = Link::open(service);
    let hubs = [
        ("hub-top", top, "west", "archive"),
        ("hub-low", low, "west", "hub-top"),
        ("hub-far", far, "east", "hub-top"),
    ];
    let shape = shape_text(1, archive.at, &hubs, "");
    let folder = play.path("log");
    play.harestage("purges", &["purges", "--listen", &service.to_string(), "--folder", &folder]);
    play.need(play.awaits("purges", "takes up the service", 10_000), "the service of purges starts");
    for (name, at, site, _) in hubs {
        let by = if site == "west" { line.at } else { service };
        let disk = play.path(&format!("{name}-copies"));
        let more = format!(
            "\"site\":\"{site}\",\"purges\":\"{by}\",\"storage\":{{\"folder\":\"{disk}\",\"megabytes\":100}},\"shape\":{shape},"
        );
        let file = play.file(&format!("{name}.json"), &hub_file(name, at, &more));
        play.harestage(name, &["hub", &file]);
    }
    for (name, ..) in hubs {
        play.need(play.awaits(name, "purges up", 10_000), "the hub follows the service of purges");
    }
    let copy = served(&record, "hub-low", low, OBJECT, 30_000);
    play.need(copy.is_some_and(|copy| copy.body == "version 1"), "the hubs serve");
    let held = served(&record, "hub-top", top, OBJECT, 10_000);
    play.need(held.is_some_and(|held| held.fields.contains("HIT")), "the home keeps the copy");
    if play.trouble {
        line.cut.store(true, std::sync::atomic::Ordering::SeqCst);
        record.say("the site west is cut off from the service of purges");
    }
    play.crash("hub-low");
    let low_file = play.path("hub-low.json");
    play.harestage("hub-low", &["hub", &low_file]);
    pause(1_000);
    archive.change(&record);
    pause(50);
    let service_text = service.to_string();
    let (code, said) = play.command(&[
        "purge",
        "submit",
        "--object",
        OBJECT,
        "--key",
        "case-17-corrected",
        "--wait",
        "--purges",
        &service_text,
    ]);
    play.need(said.contains("reached") && (code == 0 || code == 4), "the purge is reported as reached");
    play.command(&["purge", "status", "--purges", &service_text]);
    if play.trouble {
        play.need(play.awaits("hub-low", "to: alone", 15_000), "the hub that started goes alone");
    }
    // What it is asked through its start and after it: refusals are fine, and so is the present version.
    let (mut older, mut answers) = (0, 0);
    for _ in 0..20 {
        let answer = pull(&record, "hub-low", low, OBJECT, 2_000);
        if let Some(answer) = answer.filter(|answer| answer.word == "ACK") {
            answers += 1;
            older += usize::from(answer.body != archive.body());
        }
        pause(500);
    }
    play.need(answers > 0, "the hub that started serves");
    match older {
        0 => play.end(HELD, &format!("{answers} answers, none from a copy older than the purge")),
        _ => play.end(
            BROKEN,
            &format!(
                "{older} of {answers} answers of the hub that started are from a copy older than the purge"
            ),
        ),
    }
}
