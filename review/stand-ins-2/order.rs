//! The member of the control service that leads is cut off from the others, and staff orders a site to be evacuated.
use crate::common::*;
use std::net::SocketAddr;
use std::time::Duration;

const SITES: [&str; 3] = ["east", "west", "north"];

struct Member {
    name: String,
    serves: SocketAddr,
    line: Link,
}

pub fn run(case: &str) {
    let play = Play::begin(case);
    let record = play.record.clone();
    let archive = Archive::open(&record);
    let hubs: Vec<(String, SocketAddr, &str)> =
        SITES.iter().map(|site| (format!("hub-{site}"), free(), *site)).collect();
    let in_shape: Vec<(&str, SocketAddr, &str, &str)> =
        hubs.iter().map(|(name, at, site)| (name.as_str(), *at, *site, "archive")).collect();
    let branch = |site: &&str| format!("{{\"name\":\"br-{site}\",\"load\":10,\"hubs\":[\"hub-{site}\"]}}");
    let branches: Vec<String> = SITES.iter().map(branch).collect();
    let first = play.file("shape.json", &shape_text(1, archive.at, &in_shape, &branches.join(",")));
    // Lines between the members go over links that can be cut; staff and hubs reach each member by itself.
    let members: Vec<(Member, SocketAddr)> = SITES
        .iter()
        .map(|site| {
            let inside = free();
            (Member { name: format!("control-{site}"), serves: free(), line: Link::open(inside) }, inside)
        })
        .collect();
    let mut founders: Vec<String> = Vec::new();
    for (member, site) in members.iter().map(|(member, _)| member).zip(SITES) {
        founders.extend(["--peer".into(), format!("{}={site}", member.name)]);
        founders.extend([
            "--at".into(),
            member.line.at.to_string(),
            "--serves".into(),
            member.serves.to_string(),
        ]);
    }
    for (member, inside) in &members {
        let (listen, journal, inside) =
            (member.serves.to_string(), play.path(&format!("{}-journal", member.name)), inside.to_string());
        let mut words = vec!["control", "--listen", &listen, "--journal", &journal, "--first", &first];
        words.extend(["--member", &member.name, "--group-listen", &inside]);
        words.extend(founders.iter().map(String::as_str));
        play.harestage(&member.name, &words);
    }
    let controls: Vec<String> = members.iter().map(|(member, _)| format!("\"{}\"", member.serves)).collect();
    for (name, at, site) in &hubs {
        let more = format!("\"site\":\"{site}\",\"controls\":[{}],", controls.join(","));
        let file = play.file(&format!("{name}.json"), &hub_file(name, *at, &more));
        play.harestage(name, &["hub", &file]);
    }
    for (name, ..) in &hubs {
        play.need(play.awaits(name, "control up", 15_000), "the hubs follow the control service");
    }
    pause(2_000);
    // Who speaks says how the sites stand; the others say who does.
    let sites = |at: SocketAddr| call(at, "\"sites\"", Duration::from_secs(2)).unwrap_or_default();
    let speaks = |member: &Member| sites(member.serves).starts_with("{\"sites\"");
    let leader = members.iter().position(|(member, _)| speaks(member));
    play.need(leader.is_some(), "somebody speaks for the control service");
    let leader = leader.unwrap();
    let led = &members[leader].0;
    record.say(&format!("{} leads: {}", led.name, sites(led.serves)));
    let leaves = SITES.iter().find(|site| !led.name.ends_with(*site)).unwrap();
    if play.trouble {
        // Both ways: what others send it, and what it sends others, whom its own address tells.
        led.line.cut.store(true, std::sync::atomic::Ordering::SeqCst);
        for (other, _) in members.iter().filter(|(other, _)| other.name != led.name) {
            other.line.cut_callers.lock().unwrap().push(led.line.at.to_string());
        }
        record.say(&format!("{} is cut off from the other members", led.name));
    }
    // Staff asks the member that speaks; the command goes on to the others where that one sends it elsewhere.
    let mut words =
        vec!["site".to_string(), "leave".into(), leaves.to_string(), "--by".into(), "anna".into()];
    let others = members.iter().map(|(member, _)| member).filter(|member| member.name != led.name);
    for member in std::iter::once(led).chain(others) {
        words.extend(["--control".into(), member.serves.to_string()]);
    }
    let (code, said) = play.command(&words.iter().map(String::as_str).collect::<Vec<_>>());
    if code != 0 {
        // Refused, or left without an answer: nothing was accepted.
        play.end(HELD, "the order was not accepted by a member that can't carry it out");
    }
    play.need(said.contains("is leaving now"), "the order is accepted in the words that staff knows");
    // The others choose one of them, and go on: what was accepted has to be among what they have agreed on.
    let mut stands = String::new();
    for _ in 0..20 {
        pause(1_000);
        let speaker = members
            .iter()
            .map(|(member, _)| member)
            .find(|member| (!play.trouble || member.name != led.name) && speaks(member));
        let Some(speaker) = speaker else { continue };
        let said = sites(speaker.serves);
        let of_site =
            said.split("{\"site\":").find(|part| part.starts_with(&format!("\"{leaves}\""))).unwrap_or("");
        stands =
            field(&of_site.replace(['"', '{', '}'], "").replace(':', "="), "standing").unwrap_or_default();
        record.say(&format!("{} says that {leaves} is {stands}", speaker.name));
        if stands == "leaving" || stands == "out" {
            play.end(HELD, "the order that was accepted is carried out");
        }
    }
    play.need(!stands.is_empty(), "a member speaks after the cut");
    // The cut ends: the order may still come through.
    for (member, _) in &members {
        member.line.cut.store(false, std::sync::atomic::Ordering::SeqCst);
        member.line.cut_callers.lock().unwrap().clear();
    }
    record.say("the cut is over");
    for _ in 0..10 {
        pause(1_000);
        for (member, _) in &members {
            let said = sites(member.serves);
            let of_site = said
                .split("{\"site\":")
                .find(|part| part.starts_with(&format!("\"{leaves}\"")))
                .unwrap_or("");
            let stands = field(&of_site.replace(['"', '{', '}'], "").replace(':', "="), "standing")
                .unwrap_or_default();
            if !stands.is_empty() {
                record.say(&format!("{} says that {leaves} is {stands}", member.name));
            }
            if stands == "leaving" || stands == "out" {
                play.end(HELD, "the order that was accepted is carried out");
            }
        }
    }
    play.end(BROKEN, &format!("the order was accepted, and nobody knows of it: {leaves} is {stands}"));
}
