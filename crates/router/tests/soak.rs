//! Routers with the least memory among clients and caches that behave badly by chance, until they are killed at the
//! earliest moment after a planned restart. `SOAK_SEEDS=50` plays the seeds from 1 to 50; `SOAK_FIRST` is the first.
mod fixture;
use fixture::*;
use harestage_standins::soak::{Chances, ClientPlan, Record, run_client, send_partly, serve_cache};
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const CLIENTS: u64 = 16;
const MEMORY_MB: u64 = 32;
/// The longest deadline and 0.7 s more.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// New connections go on coming for so long after the signal.
const CONNECTING: Duration = Duration::from_millis(400);

/// Plays one seed and returns what went wrong.
fn play(seed: u64) -> Vec<String> {
    let (mut chances, record) = (Chances::new(seed), Arc::new(Record::default()));
    let mut fixture = Fixture::open_with_memory(3, None, MEMORY_MB, |_, _| Reply::Silence);
    let endpoints = fixture.config["known"]["events"][0]["members"]["endpoints"].as_array_mut().unwrap();
    for (endpoint, number) in endpoints.iter_mut().zip(0..) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        endpoint["address"] = json!(listener.local_addr().unwrap().to_string());
        serve_cache(listener, seed << 8 | number, record.clone());
    }
    fixture.restart();
    let (address, ending): (SocketAddr, _) =
        (fixture.listen.parse().unwrap(), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|number| {
            let (ending, record) = (ending.clone(), record.clone());
            let plan = ClientPlan { address, number, seed, repeatable: "clip", once: "filing", ending };
            std::thread::spawn(move || run_client(&plan, &record))
        })
        .collect();
    let _crowd = chances.happens(40).then(|| send_partly(address, 300, chances.below(47_000) as usize));
    for _ in 0..chances.below(4) {
        std::thread::sleep(Duration::from_millis(chances.below(300)));
        fixture.signal("-HUP");
    }
    std::thread::sleep(Duration::from_millis(500 + chances.below(500)));
    let peak = fixture.peak_memory();
    fixture.signal("-TERM");
    let kill_at = Instant::now() + KILL_AFTER;
    std::thread::sleep(CONNECTING);
    ending.store(true, Ordering::Relaxed);
    for _ in 0..chances.below(3) {
        fixture.signal(["-TERM", "-HUP"][chances.below(2) as usize]);
        std::thread::sleep(Duration::from_millis(chances.below(200)));
    }
    while Instant::now() < kill_at && fixture.router.try_wait().unwrap().is_none() {
        std::thread::sleep(Duration::from_millis(5));
    }
    let ended = fixture.router.try_wait().unwrap();
    let _ = fixture.router.kill();
    clients.into_iter().for_each(|client| client.join().unwrap());
    let (sent, answered) = record.counts();
    println!("seed {seed}: {sent} requests, {answered} answered, {} kB, {ended:?}", peak >> 10);
    let mut faults = record.faults();
    if !ended.is_none_or(|status| status.success()) {
        faults.push(format!("ended with {ended:?}"));
    }
    if peak > (MEMORY_MB << 20) as usize * 9 / 10 {
        faults.push(format!("{} kB resident", peak >> 10));
    }
    faults
}

#[test]
fn no_request_is_lost_or_run_twice_until_the_kill() {
    let number =
        |name, default| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default);
    let first: u64 = number("SOAK_FIRST", 1);
    let seeds = first..first + number("SOAK_SEEDS", 4);
    let faults: Vec<String> = seeds
        .flat_map(|seed| play(seed).into_iter().map(move |fault| format!("seed {seed}: {fault}")))
        .collect();
    assert!(faults.is_empty(), "{faults:#?}");
}
