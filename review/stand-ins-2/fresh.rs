//! The service of purges is started on an empty folder, as the operators' page says where its log is damaged.
use crate::common::*;

const OBJECT: &str = "7f3a9c21e0b4d655";
const OTHER: &str = "1111222233334444";

pub fn run(case: &str) {
    let play = Play::begin(case);
    let record = play.record.clone();
    let archive = Archive::open(&record);
    let (service, hub, second) = (free(), free(), free());
    let shape = shape_text(
        1,
        archive.at,
        &[("hub-a", hub, "east", "archive"), ("hub-b", second, "west", "hub-a")],
        "",
    );
    let purges = |folder: &str| {
        let folder = play.path(folder);
        play.harestage("purges", &["purges", "--listen", &service.to_string(), "--folder", &folder]);
    };
    purges("log-1");
    play.need(play.awaits("purges", "takes up the service", 10_000), "the service of purges starts");
    for (name, at) in [("hub-a", hub), ("hub-b", second)] {
        let more = format!("\"purges\":\"{service}\",\"shape\":{shape},");
        let file = play.file(&format!("{name}.json"), &hub_file(name, at, &more));
        play.harestage(name, &["hub", &file]);
        play.need(play.awaits(name, "purges up", 10_000), "the hub follows the service of purges");
    }
    let service_text = service.to_string();
    let purge = |object: &str, key: &str| {
        play.command(&[
            "purge",
            "submit",
            "--object",
            object,
            "--key",
            key,
            "--wait",
            "--purges",
            &service_text,
        ])
    };
    // The service as it is in use: a copy is there, and a purge of another object was reached.
    let copy = served(&record, "hub-b", second, OBJECT, 10_000);
    play.need(copy.is_some_and(|copy| copy.body == "version 1"), "the hubs serve");
    let (code, said) = purge(OTHER, "first");
    play.need(code == 0 && said.contains("reached"), "a first purge is reached");
    play.need(!said.contains("fenced"), "nobody is fenced for the first purge");
    play.crash("purges");
    purges(if play.trouble { "log-2" } else { "log-1" });
    // Members find the service again.
    pause(6_000);
    play.command(&["purge", "status", "--purges", &service_text]);
    archive.change(&record);
    // The archive's copies of before are older than the purge by the clock, too.
    pause(50);
    let (code, said) = purge(OBJECT, "case-17-corrected");
    play.need(said.contains("reached") && (code == 0 || code == 4), "the purge is reported as reached");
    play.command(&["purge", "status", "--purges", &service_text]);
    let mut older = Vec::new();
    for after_ms in [1_000, 5_000, 5_000] {
        pause(after_ms);
        for (name, at) in [("hub-a", hub), ("hub-b", second)] {
            let answer = pull(&record, name, at, OBJECT, 2_000);
            if answer.is_some_and(|answer| answer.word == "ACK" && answer.body != archive.body()) {
                older.push(name);
            }
        }
    }
    match older.is_empty() {
        true => play.end(HELD, "no answer from a copy older than the purge"),
        false => play.end(
            BROKEN,
            &format!("after the report, answers from copies older than the purge: {}", older.join(" ")),
        ),
    }
}
