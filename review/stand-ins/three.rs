//! A hub keeps copies on its disk. While it fills, purges come; then it is stopped in order and started again.
use crate::common::{Play, free, pause, unix_ms};
use crate::node::{Archive, Caller, of_body};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Clients' pulls a second at the hub, each for an object that it does not have.
const RATE: u64 = 200;
/// They come by so many at the same moment, as the parts of a page or a clip do.
const CALLERS: u64 = 20;
const BODY: usize = 240_000;
/// Groups of objects, as the operators' simulator has them; an object's group is its number modulo this.
const GROUPS: u64 = 32;
/// How often all groups are purged, and the time between two purges: 12 a second.
const FLUSHES: u64 = 6;
const EVERY_MS: u64 = 80;

pub fn play(play: &mut Play) -> Result<bool, String> {
    let archive = Archive::open(BODY, 10, None);
    let [purges, hub] = std::array::from_fn(|_| free());
    let (folder, disk) = (play.folder.join("purges"), play.folder.join("hub-disk"));
    let service = purges.to_string();
    play.start(
        "purges",
        "harestage",
        &["purges", "--listen", &service, "--folder", &folder.to_string_lossy()],
    )?;
    play.wait_listens(purges)?;
    let file = format!(
        r#"{{"name": "hub-a", "listen": "{hub}", "purges": "{service}", "memory_mb": 256,
        "storage": {{"folder": "{}", "megabytes": 2000}}, "contents": [{{"name": "case-media", "benefit": 2}}, {{"name": "case-pages", "fresh_ms": 20000, "grace_ms": 10000}}],
        "shape": {{"version": 1, "archive": {{"name": "archive", "address": "{}", "capacity": 200, "stops_at": 2.5}},
            "hubs": [{{"name": "hub-a", "address": "{hub}", "capacity": 400, "passes": 0.3, "up": ["archive"]}}]}}}}"#,
        disk.display(),
        archive.address
    );
    let file = play.file("hub-a.json", &file);
    let file = file.to_string_lossy().into_owned();
    play.start("hub-a", "harestage", &["hub", &file])?;
    play.wait_listens(hub)?;
    through(play, hub)?;
    pause(500);

    // Clients ask for one object after another.
    let (next, stop) = (Arc::new(AtomicU64::new(1)), Arc::new(AtomicBool::new(false)));
    let begun = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (next, stop) = (next.clone(), stop.clone());
            std::thread::spawn(move || {
                let mut got = 0;
                let Some(mut line) = Caller::to(hub) else { return got };
                while !stop.load(Ordering::SeqCst) {
                    let object = next.fetch_add(1, Ordering::SeqCst);
                    // At a moment of its own within each tenth of a second, so that nothing keeps step with the purges.
                    let burst = object / CALLERS;
                    let wait = (burst.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) % 100_000;
                    let due = begun + Duration::from_micros(burst * CALLERS * 1_000_000 / RATE + wait);
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let list =
                        format!("kind=case-media,obj={object:016x},seg=0,ms=3000,parent=archive,shelf=2");
                    let reply = line.ask(&format!("{:016x}", object | (caller + 1) << 48), &list, 3_000);
                    match reply {
                        Some(reply) => got += u64::from(reply.word == "ACK"),
                        None => return got,
                    }
                }
                got
            })
        })
        .collect();
    pause(1_000);
    // Purges of one group after the other, each under a key of its own, and each waited for.
    let mut purged_at = [0; GROUPS as usize];
    for number in 1..=GROUPS * FLUSHES {
        pause(EVERY_MS);
        let (group, key) = (number % GROUPS, format!("corrected-{number}"));
        purged_at[group as usize] = unix_ms();
        let group = group.to_string();
        let asked =
            ["purge", "submit", "--group", &group, "--key", &key, "--wait", "--json", "--purges", &service];
        let (code, _) = play.run("harestage", &asked)?;
        if code != 0 && code != 4 {
            return Err("a purge was not reported".into());
        }
    }
    pause(1_000);
    stop.store(true, Ordering::SeqCst);
    let got: u64 = callers.into_iter().map(|caller| caller.join().unwrap_or(0)).sum();
    let asked = next.load(Ordering::SeqCst);
    play.note(&format!("clients asked for {asked} objects and got {got}"));
    pause(1_000);
    if play.trouble {
        play.signal("hub-a", "TERM")?;
        play.wait_end("hub-a", 10_000)?;
        play.start("hub-a", "harestage", &["hub", &file])?;
        play.wait_listens(hub)?;
        through(play, hub)?;
    }
    // Every object is asked for once more: the hub gives its copy, or fetches the object anew.
    let (next, found) = (Arc::new(AtomicU64::new(1)), Arc::new(Mutex::new(Vec::new())));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (next, found) = (next.clone(), found.clone());
            std::thread::spawn(move || {
                let Some(mut line) = Caller::to(hub) else { return };
                loop {
                    let object = next.fetch_add(1, Ordering::SeqCst);
                    if object >= asked {
                        return;
                    }
                    let list =
                        format!("kind=case-media,obj={object:016x},seg=0,ms=3000,parent=archive,shelf=2");
                    let Some(reply) =
                        line.ask(&format!("{:016x}", object | (caller + 1) << 52), &list, 3_000)
                    else {
                        return;
                    };
                    let given_out = of_body(&reply.body).map_or(0, |(_, given_out)| given_out);
                    let how = reply.fields.get("res").cloned().unwrap_or_default();
                    found.lock().expect("no holder panics").push((object, reply.word, how, given_out));
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let found = found.lock().expect("no holder panics");
    let given = found.iter().filter(|(_, word, _, _)| word == "ACK").count();
    let mut old = 0;
    for (object, _, how, given_out) in found.iter().filter(|(_, word, _, _)| word == "ACK") {
        let purged_at = purged_at[(object % GROUPS) as usize];
        if *given_out < purged_at {
            old += 1;
            let before = purged_at - given_out;
            play.note(&format!(
                "object {object:016x}: the hub gives ({how}) a copy given out at {given_out}, {before} ms before the \
                 last purge of its group"
            ));
        }
    }
    play.note(&format!("{given} copies given, {old} of them older than the last purge of their group"));
    if got < asked / 2 || given < found.len() / 2 {
        return Err(format!("only {got} of {asked} and {given} of {} pulls were answered", found.len()));
    }
    Ok(old == 0)
}

/// Waits until the hub's start is over.
fn through(play: &Play, hub: SocketAddr) -> Result<(), String> {
    let hub = hub.to_string();
    play.until(30_000, "the hub's start is over", || {
        play.look("harestage", &["start", "status", "--hub", &hub]).is_ok_and(|(code, _)| code == 0)
    })
}
