//! The hierarchy on sockets: hubs and the service as they run, between stand-ins, with the failures brought about.
use harestage_measure::branch::{self, Load, Tally};
use harestage_measure::rig::*;
use harestage_shape::config::{HubConfig, ShapeConfig};
use harestage_shape::control::ChangeEvent;
use harestage_shape::messages::{Request, Response, ToMember, encode_line};
use harestage_standins::{Archive, ArchiveScript, Caller, Fault, Link, pull};
use harestage_wire::node::AnswerStatus;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(10);

fn archive() -> Archive {
    Archive::open(ArchiveScript { capacity: 400.0, ..ArchiveScript::default() })
}

/// A service, an archive, hubs and branches that ask them.
struct Site {
    archive: Archive,
    control: SocketAddr,
    running_control: Option<Running>,
    hubs: HashMap<String, (SocketAddr, Running)>,
    scratch: Scratch,
    first: ShapeConfig,
    stop: Arc<AtomicBool>,
}

impl Site {
    /// Hubs `a` and `b` at the top, and branches that share them.
    fn open(branches: usize, load: f64) -> Site {
        let (archive, control, scratch) = (archive(), free_address(), Scratch::new());
        let addresses: Vec<(String, SocketAddr)> =
            ["a", "b"].map(|name| (name.to_string(), free_address())).into();
        let hubs = addresses.iter().map(|(name, address)| hub_form(name, *address, 300.0, 0)).collect();
        let feeds = (0..branches).map(|n| branch::form(&format!("br{n}"), load, &["a", "b"], free_address()));
        let first = ShapeConfig {
            version: 1,
            archive: archive_form(&archive, 400.0),
            hubs,
            branches: feeds.collect(),
            links: Vec::new(),
        };
        let mut site = Site {
            archive,
            control,
            running_control: None,
            hubs: HashMap::new(),
            scratch,
            first,
            stop: Arc::default(),
        };
        site.start_control();
        for (name, address) in addresses {
            site.start_hub(&name, address);
        }
        assert!(all_follow(control, &["a", "b"], LONG));
        site
    }

    fn start_control(&mut self) {
        let journal = self.scratch.file("journal");
        self.running_control = Some(start_control(self.control, &journal, &self.first).unwrap());
    }

    fn start_hub(&mut self, name: &str, address: SocketAddr) {
        let hub = start_hub(name, address, Some(self.control), None);
        self.hubs.insert(name.into(), (address, hub));
    }

    /// The shape with a fresh hub `c`, which takes the place of `b` for all branches.
    fn with_c(&mut self) -> ShapeConfig {
        let address = free_address();
        self.start_hub("c", address);
        let mut form = self.first.clone();
        form.hubs.push(hub_form("c", address, 300.0, unix_ms()));
        form.branches.iter_mut().for_each(|branch| branch.hubs = vec!["a".into(), "c".into()]);
        form
    }

    fn drive(&self, rate: f64, seed: u64, lasts: Duration) -> Vec<std::thread::JoinHandle<Tally>> {
        let each = self.first.branches.iter().enumerate().map(|(n, form)| {
            let feed = form.feed.as_ref().unwrap().parse().unwrap();
            let listed = branch::follow(feed, self.stop.clone());
            let until = Instant::now() + LONG;
            while listed.lock().unwrap().is_empty() && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(5));
            }
            let (target, gives_up) = (Duration::from_millis(400), Duration::from_secs(2));
            let load = Load { rate, objects: 400, target, gives_up, seed: seed + n as u64 };
            branch::drive(listed, load, lasts)
        });
        each.collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn joined(tallies: Vec<std::thread::JoinHandle<Tally>>) -> Tally {
    let mut all = Tally::default();
    tallies.into_iter().for_each(|tally| all.add(&tally.join().unwrap()));
    all
}

/// Hubs on versions that differ, each filling from the next: pulls wait in a circle until it is broken.
#[test]
fn circles_of_two_three_and_five_hubs_are_broken_while_downloads_wait_in_them() {
    for many in [2, 3, 5] {
        let archive = archive();
        let addresses: Vec<SocketAddr> = (0..many).map(|_| free_address()).collect();
        let name = |n: usize| format!("h{}", n % many);
        let shape = |odd: usize| {
            let up = |n: usize| if n == odd { vec![name(n + 1)] } else { vec!["archive".into()] };
            let hub =
                |(n, at): (usize, &SocketAddr)| HubConfig { up: up(n), ..hub_form(&name(n), *at, 300.0, 0) };
            let hubs = addresses.iter().enumerate().map(hub).collect();
            ShapeConfig {
                version: 1,
                archive: archive_form(&archive, 400.0),
                hubs,
                branches: Vec::new(),
                links: Vec::new(),
            }
        };
        let _hubs: Vec<Running> =
            (0..many).map(|n| start_hub(&name(n), addresses[n], None, Some(shape(n)))).collect();
        let callers: Vec<Caller> = addresses.iter().map(|at| Caller::to(*at).unwrap()).collect();
        for object in 0..20 {
            let asked = Instant::now();
            callers.iter().for_each(|c| c.send(&pull(object + 1, "clip", object, 3_000)).unwrap());
            for caller in &callers {
                let reply = caller.next(LONG).expect("an answer");
                assert_eq!(reply.answer.status, AnswerStatus::Fulfilled, "{many} hubs, object {object}");
            }
            assert!(asked.elapsed() < Duration::from_secs(1), "{many} hubs: {:?}", asked.elapsed());
        }
        assert_eq!(archive.most_of_one(Instant::now() - LONG), (1, 0), "one fetch for all in a circle");
    }
}

#[test]
fn a_change_under_load_keeps_service_the_archive_and_the_fresh_hub() {
    let mut site = Site::open(3, 40.0);
    let driven = site.drive(40.0, 1, Duration::from_secs(9));
    std::thread::sleep(Duration::from_millis(1_500));
    let wanted = site.with_c();
    let begun = Instant::now();
    assert_eq!(apply(site.control, &wanted, "op"), Ok(true));
    assert!(all_follow(site.control, &["a", "b", "c"], LONG));
    let all = joined(driven);
    assert!(all.failed == 0 && all.share() > 0.98, "{} of {}, {} failed", all.in_time, all.asked, all.failed);
    assert!(site.archive.most_of_one(begun).0 <= 1, "{:?}", site.archive.most_of_one(begun));
    assert!(site.archive.peak_share(begun) < 0.8 && site.archive.stops() == 0);
}

/// A hub dies before, while and after it takes branches on; the change ends or is undone, and service goes on.
#[test]
fn a_hub_killed_in_each_phase_of_a_change_takes_nobody_with_it() {
    for (victim, after_ms) in [("c", 100), ("c", 1_600), ("b", 800), ("a", 1_200)] {
        let mut site = Site::open(3, 20.0);
        let driven = site.drive(20.0, 7, Duration::from_secs(6));
        let (wanted, control) = (site.with_c(), site.control);
        let change = std::thread::spawn(move || apply(control, &wanted, "op"));
        std::thread::sleep(Duration::from_millis(after_ms));
        site.hubs.remove(victim);
        let all = joined(driven);
        assert!(all.share() > 0.9, "{victim} {after_ms}: {} of {}", all.in_time, all.asked);
        assert!(all.failed <= all.asked / 50, "{victim} {after_ms}: {} failed", all.failed);
        drop(site.running_control.take());
        let _ = change.join();
    }
}

#[test]
fn the_service_killed_half_way_goes_on_where_it_stood() {
    let mut site = Site::open(3, 30.0);
    let driven = site.drive(30.0, 3, Duration::from_secs(12));
    let (wanted, control) = (site.with_c(), site.control);
    let form = wanted.clone();
    let change = std::thread::spawn(move || apply(control, &form, "op"));
    std::thread::sleep(Duration::from_millis(2_300));
    let before = status(site.control).unwrap();
    assert!(before.change.as_ref().is_some_and(|change| change.step > 0), "{before:?}");
    drop(site.running_control.take());
    assert!(change.join().unwrap().is_err(), "whoever watched hears of it");
    std::thread::sleep(Duration::from_millis(500));
    site.start_control();
    let after = status(site.control).unwrap();
    assert!(after.term == before.term + 1 && after.version >= before.version && after.change.is_some());
    let until = Instant::now() + Duration::from_secs(20);
    while status(site.control).unwrap().change.is_some() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(all_follow(site.control, &["a", "b", "c"], LONG));
    let Ok(Response::Shape(shape)) = call(site.control, &Request::Shape) else { panic!("a shape") };
    assert_eq!(*shape, ShapeConfig { version: shape.version, ..wanted });
    let all = joined(driven);
    assert!(all.share() > 0.98 && all.failed == 0, "{} of {}", all.in_time, all.asked);
}

#[test]
fn of_two_operators_at_once_one_is_told_to_wait() {
    let mut site = Site::open(2, 10.0);
    let (wanted, control) = (site.with_c(), site.control);
    let mut first = open_call(
        control,
        &Request::Apply { form: Box::new(wanted.clone()), expect: None, by: "one".into() },
    )
    .unwrap();
    assert!(matches!(next(&mut first), Ok(Response::Event(ChangeEvent::Started { .. }))));
    let refused = apply(control, &wanted, "two").unwrap_err();
    assert!(refused.starts_with("a change by one is under way"), "{refused}");
    // A second service on the same journal does not begin.
    let journal = site.scratch.file("journal");
    let second = start_control(free_address(), &journal, &site.first).err().unwrap();
    assert!(second.ends_with("another service holds it"), "{second}");
}

/// The service reaches one half only: the other stays on its version, and both serve.
#[test]
fn a_partition_leaves_one_half_on_the_old_version_and_both_serve() {
    let mut site = Site::open(2, 20.0);
    let link = Link::to(site.control);
    let address = free_address();
    // `b` starts anew behind a link that can be cut.
    site.hubs.remove("b");
    let b_address = site.first.hubs[1].address.parse().unwrap();
    let hub = start_hub("b", b_address, Some(link.address), None);
    site.hubs.insert("b".into(), (b_address, hub));
    // It knows the shape when it can fill: what the service last heard may be of the one before it.
    let knows = || Caller::to(b_address).ok()?.ask(&pull(1, "clip", 9_999, 500), LONG);
    let until = Instant::now() + LONG;
    while knows().is_none_or(|reply| reply.answer.status != AnswerStatus::Fulfilled) {
        assert!(Instant::now() < until, "b never followed");
        std::thread::sleep(Duration::from_millis(20));
    }
    link.set(Fault::Cut);
    let hub = start_hub("c", address, Some(site.control), None);
    site.hubs.insert("c".into(), (address, hub));
    let mut wanted = site.first.clone();
    wanted.hubs.push(hub_form("c", address, 300.0, 0));
    let control = site.control;
    let change = std::thread::spawn(move || apply(control, &wanted, "op"));
    std::thread::sleep(Duration::from_millis(1_500));
    let callers: Vec<Caller> =
        ["a", "b", "c"].iter().map(|name| Caller::to(site.hubs[*name].0).unwrap()).collect();
    for object in 0..60 {
        let caller = &callers[object as usize % 3];
        let reply = caller.ask(&pull(object + 1, "clip", object, 2_000), LONG).expect("an answer");
        assert_eq!(reply.answer.status, AnswerStatus::Fulfilled, "object {object}: {:?}", reply.answer);
    }
    assert_eq!(site.archive.most_of_one(Instant::now() - LONG).0, 1, "hubs that reach each other fetch once");
    link.set(Fault::None);
    assert!(all_follow(site.control, &["a", "b", "c"], LONG), "{:?}", status(site.control));
    let _ = change.join();
}

/// A service that was replaced, and lines that come twice or out of order, change nothing.
#[test]
fn a_hub_follows_the_newest_term_and_version_only() {
    let (archive, address) = (archive(), free_address());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _hub = start_hub("a", address, Some(listener.local_addr().unwrap()), None);
    let shape = |version: u64| ShapeConfig {
        version,
        archive: archive_form(&archive, 400.0),
        hubs: vec![hub_form("a", address, 300.0, 0)],
        branches: Vec::new(),
        links: Vec::new(),
    };
    let said = |term, version| {
        encode_line(&ToMember::Version { term, shape: Box::new(shape(version)), plans: Vec::new() })
    };
    let (stream, _) = listener.accept().unwrap();
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    assert_eq!(lines.next().unwrap().unwrap(), "SUB 0 a");
    for (term, version) in [(2, 5), (2, 5), (2, 3), (2, 6)] {
        (&stream).write_all(&said(term, version)).unwrap();
    }
    let version = |line: &str| {
        let json: serde_json::Value = serde_json::from_str(line).unwrap();
        json["report"]["version"].as_u64().unwrap()
    };
    assert!(lines.by_ref().map_while(Result::ok).take(50).any(|line| version(&line) == 6));
    (&stream).write_all(&said(1, 9)).unwrap();
    assert!(lines.by_ref().map_while(Result::ok).all(|line| version(&line) == 6), "it ends that connection");
    let (stream, _) = listener.accept().unwrap();
    let first = BufReader::new(stream).lines().next().unwrap().unwrap();
    assert_eq!(first, "SUB 6 a");
}

/// Noise, endless lines, wrong lengths and a claim of 3 GB end their own connection; others are served meanwhile.
#[test]
fn noise_ends_its_own_connection_and_nothing_else() {
    let (archive, address) = (archive(), free_address());
    let shape = ShapeConfig {
        version: 1,
        archive: archive_form(&archive, 400.0),
        hubs: vec![hub_form("a", address, 300.0, 0)],
        branches: Vec::new(),
        links: Vec::new(),
    };
    let _hub = start_hub("a", address, None, Some(shape));
    let good = Caller::to(address).unwrap();
    let noise: Vec<Vec<u8>> = vec![
        b"\x00\xff\xfe noise".to_vec(),
        vec![b'*'; 100_000],
        b"*4\r\n$-5\r\n".to_vec(),
        b"*4\r\n$3000000000\r\n".to_vec(),
        b"*900\r\n".to_vec(),
        b"*2\r\n$5\r\nflush\r\n$1\r\nx\r\n".to_vec(),
        b"*4\r\n$5\r\nserve\r\n$16\r\n000000000000000g\r\n$1\r\n-\r\n$0\r\n\r\n".to_vec(),
        b"*3\r\n$5\r\nchase\r\n$1\r\n-\r\n$1\r\na\r\n".to_vec(),
    ];
    for (n, bytes) in noise.iter().enumerate() {
        let bad = Caller::to(address).unwrap();
        let _ = bad.send_raw(bytes);
        assert!(bad.is_ended(Duration::from_secs(3)), "noise {n}");
        let reply = good.ask(&pull(n as u64 + 1, "clip", n as u64, 1_000), LONG).expect("an answer");
        assert_eq!(reply.answer.status, AnswerStatus::Fulfilled);
    }
    // Half a message, and then nothing: ended by its time, and nobody waits for it.
    let half = Caller::to(address).unwrap();
    half.send_raw(b"*4\r\n$5\r\nser").unwrap();
    assert!(half.is_ended(Duration::from_secs(4)));
}

/// Whoever leaves takes its wait along: the archive is not asked for what nobody waits for any more.
#[test]
fn a_wait_in_a_silent_way_goes_on_another() {
    let archive = archive();
    let (a, b, silent) = (free_address(), free_address(), free_address());
    let link = Link::to(silent);
    link.set(Fault::Silent);
    let shape = ShapeConfig {
        version: 1,
        archive: archive_form(&archive, 400.0),
        hubs: vec![
            HubConfig { up: vec!["s".into(), "b".into()], ..hub_form("a", a, 300.0, 0) },
            hub_form("b", b, 300.0, 0),
            hub_form("s", link.address, 300.0, 0),
        ],
        branches: Vec::new(),
        links: Vec::new(),
    };
    let _hubs = [
        start_hub("a", a, None, Some(shape.clone())),
        start_hub("b", b, None, Some(shape.clone())),
        start_hub("s", silent, None, Some(shape)),
    ];
    let caller = Caller::to(a).unwrap();
    (0..30).for_each(|object| caller.send(&pull(object + 1, "clip", object, 4_000)).unwrap());
    let replies: Vec<_> = (0..30).map_while(|_| caller.next(LONG)).collect();
    let good = replies.iter().filter(|reply| reply.answer.status == AnswerStatus::Fulfilled).count();
    assert_eq!(good, 30, "a silent hub costs its pulls a moment, and not their answer");
}

/// A purge on the control feed drops the copy, and what is asked for after it is fetched anew.
#[test]
fn a_hub_hears_of_purges_and_asks_for_what_it_missed() {
    let (archive, address) = (archive(), free_address());
    let feed = TcpListener::bind("127.0.0.1:0").unwrap();
    let shape = ShapeConfig {
        version: 1,
        archive: archive_form(&archive, 400.0),
        hubs: vec![hub_form("a", address, 300.0, 0)],
        branches: Vec::new(),
        links: Vec::new(),
    };
    let _hub = start_hub_with_feed("a", address, shape, feed.local_addr().unwrap());
    let caller = Caller::to(address).unwrap();
    let fetch = |id: u64, object: u64| {
        let reply = caller.ask(&pull(id, "clip", object, 2_000), LONG).expect("an answer");
        assert_eq!(reply.answer.status, AnswerStatus::Fulfilled);
        reply.copy.unwrap().dated_ms
    };
    let before = [fetch(1, 5), fetch(2, 261)];
    let listen = || {
        let (stream, _) = feed.accept().unwrap();
        let first = BufReader::new(stream.try_clone().unwrap()).lines().next().unwrap().unwrap();
        (stream, first)
    };
    let (stream, first) = listen();
    assert_eq!(first, "SUB 0");
    let purge = |n: u64, what: &str| format!("{{\"n\":{n},\"purge\":{{{what},\"at\":{}}}}}\n", unix_ms());
    (&stream).write_all(purge(1, "\"key\":\"0000000000000005\"").as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    assert!(fetch(3, 5) > before[0] && fetch(4, 261) == before[1], "the object, and no other");
    drop(stream);
    let (stream, first) = listen();
    assert_eq!(first, "SUB 1");
    (&stream).write_all(purge(2, "\"group\":5").as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    assert!(fetch(5, 261) > before[1], "261 is of group 5");
}
