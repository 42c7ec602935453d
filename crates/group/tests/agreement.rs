//! Members on a network in virtual time that loses, doubles, delays and cuts, with disks that lose what was not synced.
use harestage::time::{Moment, Span};
use harestage_group::{Member, Replica, Start, TICK, member_id};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

fn member(n: usize) -> Member {
    let name = format!("m{n}");
    Member {
        address: format!("{name}:1"),
        service_address: format!("{name}:2"),
        site: format!("s{n}"),
        incarnation: 0,
        name,
    }
}

struct Post {
    at: Moment,
    from: usize,
    to: u64,
    bytes: Vec<u8>,
}

struct Place {
    seat: Option<Replica>,
    member: Member,
    /// What syncs have covered.
    disk: Vec<Vec<u8>>,
    agreed: Vec<Vec<u8>>,
    stopped: bool,
    disk_number: u64,
}

struct Net {
    places: Vec<Place>,
    posts: Vec<Post>,
    now: Moment,
    dice: StdRng,
    /// Pairs that don't reach each other, the first not the second.
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    /// All that any member was ever told is agreed on, by its place in the order.
    order: Vec<Vec<u8>>,
    told: u64,
    /// Senders don't look whom they talk to.
    blind: bool,
}

impl Net {
    fn new(many: usize, seed: u64) -> Net {
        let founders: Vec<Member> = (0..many).map(member).collect();
        let mut net = Net {
            places: Vec::new(),
            posts: Vec::new(),
            now: Moment::at_micros(1_000_000),
            dice: StdRng::seed_from_u64(seed),
            cut: BTreeSet::new(),
            loss: 0.0,
            order: Vec::new(),
            told: 0,
            blind: false,
        };
        for member in &founders {
            let place = Place {
                seat: None,
                member: member.clone(),
                disk: Vec::new(),
                agreed: Vec::new(),
                stopped: false,
                disk_number: net.dice.random(),
            };
            net.places.push(place);
        }
        for n in 0..many {
            net.start(n, Start::Found { members: founders.clone(), data: vec![b"first".to_vec()] });
        }
        net
    }

    fn start(&mut self, n: usize, start: Start) {
        let now = self.now;
        let place = &mut self.places[n];
        let (name, incarnation) = (place.member.name.clone(), place.member.incarnation);
        let seat = Replica::open(&name, incarnation, &place.disk, start, place.disk_number, now);
        let seat = seat.unwrap_or_else(|why| panic!("{name}: {why}"));
        place.agreed = seat.data().to_vec();
        (place.seat, place.stopped) = (Some(seat), false);
        self.turn(n);
    }

    fn kill(&mut self, n: usize) {
        self.places[n].seat = None;
    }

    fn turn(&mut self, n: usize) {
        let now = self.now;
        loop {
            let place = &mut self.places[n];
            let Some(seat) = place.seat.as_mut().filter(|_| !place.stopped) else { return };
            let turn = seat.step(now);
            if turn.is_empty() {
                return;
            }
            place.disk.extend(turn.write);
            if let Some(whole) = &turn.snapshot {
                place.disk = Replica::decode_snapshot(whole).unwrap();
            }
            if turn.replaced {
                place.agreed = seat.data().to_vec();
            } else {
                place.agreed.extend(turn.committed.into_iter().map(|agreed| agreed.data));
            }
            if seat.needs_compaction() {
                let whole = seat.compact(seat.data().to_vec()).snapshot.unwrap();
                place.disk = Replica::decode_snapshot(&whole).unwrap();
            }
            let agreed = place.agreed.clone();
            self.same_order(&agreed);
            for (to, bytes) in turn.send {
                if self.dice.random::<f64>() < self.loss {
                    continue;
                }
                let twice = self.dice.random::<f64>() < self.loss / 2.0;
                for _ in 0..1 + u8::from(twice) {
                    let at = now + Span::millis(self.dice.random_range(1..30));
                    self.posts.push(Post { at, from: n, to, bytes: bytes.clone() });
                }
            }
        }
    }

    fn same_order(&mut self, agreed: &[Vec<u8>]) {
        let common = agreed.len().min(self.order.len());
        assert_eq!(agreed[..common], self.order[..common], "two members agreed on different things");
        self.order.extend_from_slice(&agreed[common..]);
    }

    fn run(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Span::millis(10);
            let now = self.now;
            let (due, left) = std::mem::take(&mut self.posts).into_iter().partition(|p| p.at <= now);
            self.posts = left;
            let due: Vec<Post> = due;
            for post in due {
                let to = self.places.iter().position(|p| p.member.id() == post.to);
                let Some(to) = to.filter(|to| !self.cut.contains(&(post.from, *to))) else { continue };
                // What is sent to one that is stopped waits in its sockets.
                if self.places[to].stopped {
                    self.posts.push(Post { at: now + Span::millis(10), ..post });
                    continue;
                }
                let from = self.places[post.from].member.id();
                let disk = self.places[post.from].disk_number;
                // Both ends of a connection look whether the other is still who it was; some come by a third way.
                let (other, known) = (self.places[to].member.id(), self.places[to].disk_number);
                let sender = self.places[post.from].seat.as_mut();
                let same = self.blind || sender.is_none_or(|seat| seat.verify_disk(other, known));
                if let Some(seat) = &mut self.places[to].seat
                    && same
                    && seat.verify_disk(from, disk)
                {
                    seat.on_message(&post.bytes, now);
                }
                self.turn(to);
            }
            if now.micros() % TICK.as_micros() < 10_000 {
                for n in 0..self.places.len() {
                    let place = &mut self.places[n];
                    let Some(seat) = place.seat.as_mut().filter(|_| !place.stopped) else { continue };
                    seat.tick(now);
                    self.turn(n);
                }
            }
            assert!(self.speakers().len() <= 1, "two members speak at once: {:?}", self.speakers());
        }
    }

    /// Those that would tell others something now; one that is stopped tells nobody anything, and is asked when it wakes.
    fn speakers(&self) -> Vec<usize> {
        let speaks =
            |p: &Place| !p.stopped && p.seat.as_ref().is_some_and(|s| s.holds_leader_lease(self.now));
        (0..self.places.len()).filter(|n| speaks(&self.places[*n])).collect()
    }

    fn until_speaker(&mut self) -> usize {
        for _ in 0..600 {
            if let [one] = self.speakers()[..] {
                return one;
            }
            self.run(Span::millis(10));
        }
        panic!("nobody may speak after 6 s");
    }

    fn propose(&mut self) -> Option<Vec<u8>> {
        let n = *self.speakers().first()?;
        self.told += 1;
        let data = format!("entry {}", self.told).into_bytes();
        let seat = self.places[n].seat.as_mut()?;
        seat.propose(data.clone()).ok()?;
        self.turn(n);
        Some(data)
    }

    fn isolate(&mut self, alone: usize) {
        for other in (0..self.places.len()).filter(|n| *n != alone) {
            self.cut.extend([(alone, other), (other, alone)]);
        }
    }
}

#[test]
fn a_group_agrees_and_the_next_leader_has_everything() {
    let mut net = Net::new(3, 1);
    let first = net.until_speaker();
    for _ in 0..20 {
        net.propose().unwrap();
    }
    net.run(Span::millis(300));
    let agreed = net.places[first].agreed.clone();
    assert_eq!(agreed.len(), 21);
    net.kill(first);
    let second = net.until_speaker();
    assert_ne!(first, second);
    assert_eq!(net.places[second].seat.as_ref().unwrap().data(), agreed);
    assert!(net.propose().is_some());
    net.run(Span::millis(300));
    net.start(first, Start::Join);
    net.run(Span::millis(1_500));
    assert_eq!(net.places[first].agreed.len(), 22, "it catches up from its own disk on");
}

#[test]
fn a_leader_that_lost_the_majority_stops_speaking_before_another_speaks() {
    for seed in 0..10 {
        let mut net = Net::new(5, seed);
        let first = net.until_speaker();
        net.isolate(first);
        let cut = net.now;
        while net.speakers() == [first] {
            net.run(Span::millis(10));
        }
        assert!(net.now.since(cut) < Span::millis(800), "it spoke on for {:?}", net.now.since(cut));
        let second = net.until_speaker();
        assert_ne!(first, second);
        assert!(net.now.since(cut) < Span::millis(3_000), "{:?} without a speaker", net.now.since(cut));
    }
}

/// What waited in its sockets while it was stopped says that the others followed it, long ago.
#[test]
fn a_leader_that_was_stopped_and_wakes_up_may_tell_nobody_anything() {
    for seed in 0..10 {
        let mut net = Net::new(3, 50 + seed);
        let first = net.until_speaker();
        let mut reached = net.order.len();
        net.places[first].stopped = true;
        net.run(Span::millis(4_000));
        let second = net.until_speaker();
        net.propose().unwrap();
        net.run(Span::millis(200));
        reached = reached.max(net.order.len());
        net.places[first].stopped = false;
        // The check on every step of `run` is what this test is about.
        net.run(Span::millis(1_500));
        assert_eq!(net.until_speaker(), second);
        assert_eq!(net.order.len(), reached, "and what it had in mind came to nothing");
    }
}

#[test]
fn through_cuts_kills_and_losses_by_chance_there_is_one_order_and_one_speaker() {
    for seed in 0..30 {
        let mut net = Net::new(if seed % 2 == 0 { 3 } else { 5 }, 100 + seed);
        net.loss = 0.05;
        let many = net.places.len();
        let mut kept: Vec<Vec<u8>> = Vec::new();
        for _ in 0..25 {
            let n = net.dice.random_range(0..many);
            match net.dice.random_range(0..7) {
                0 if net.places.iter().filter(|p| p.seat.is_none()).count() < many / 2 => net.kill(n),
                1 if net.places[n].seat.is_none() => net.start(n, Start::Join),
                2 => net.isolate(n),
                3 => {
                    let other = (n + 1) % many;
                    net.cut.insert((n, other));
                }
                4 => net.cut.clear(),
                5 => net.places[n].stopped = !net.places[n].stopped,
                _ => {}
            }
            for _ in 0..3 {
                net.propose();
            }
            net.run(Span::millis(400));
            // Whatever a speaker has agreed on is kept, whoever leads next.
            if let Some(speaker) = net.speakers().first() {
                let agreed = &net.places[*speaker].agreed;
                assert!(agreed.starts_with(&kept) || kept.starts_with(agreed), "seed {seed}");
                kept = if agreed.len() > kept.len() { agreed.clone() } else { kept };
            }
        }
        net.cut.clear();
        net.loss = 0.0;
        for n in 0..many {
            net.places[n].stopped = false;
            if net.places[n].seat.is_none() {
                net.start(n, Start::Join);
            }
        }
        net.run(Span::millis(3_000));
        net.until_speaker();
        net.run(Span::millis(2_000));
        let all: Vec<usize> = net.places.iter().map(|p| p.agreed.len()).collect();
        assert!(all.iter().all(|n| *n == net.order.len()), "seed {seed}: {all:?} of {}", net.order.len());
        assert!(net.order.starts_with(&kept), "seed {seed}");
    }
}

#[test]
fn a_member_that_lost_its_disk_comes_back_only_as_a_new_one() {
    let mut net = Net::new(3, 7);
    let speaker = net.until_speaker();
    net.propose();
    net.run(Span::millis(500));
    let lost = (speaker + 1) % 3;
    net.kill(lost);
    net.places[lost].disk.clear();
    net.places[lost].disk_number += 1;
    let founders: Vec<Member> = (0..3).map(member).collect();
    net.start(lost, Start::Found { members: founders, data: vec![b"first".to_vec()] });
    net.run(Span::millis(3_000));
    assert_eq!(net.places[lost].agreed.len(), 1, "nobody listens to it, and it learns nothing");
    net.blind = true;
    net.run(Span::millis(500));
    assert!(
        net.places[lost].seat.as_ref().unwrap().has_lost_log(),
        "it knows what it is from what it is told"
    );
    net.blind = false;
    net.kill(lost);
    let speaker = net.until_speaker();
    let seat = net.places[speaker].seat.as_mut().unwrap();
    seat.remove(&format!("m{lost}")).unwrap();
    net.turn(speaker);
    net.run(Span::millis(500));
    let anew = Member { incarnation: 1, ..member(lost) };
    (net.places[lost].member, net.places[lost].disk) = (anew.clone(), Vec::new());
    net.start(lost, Start::Join);
    let speaker = net.until_speaker();
    net.places[speaker].seat.as_mut().unwrap().add(&anew).unwrap();
    net.turn(speaker);
    net.run(Span::millis(2_000));
    assert_eq!(net.places[lost].agreed, net.order, "it was sent everything whole");
    let seat = net.places[lost].seat.as_ref().unwrap();
    assert_eq!((seat.members().count(), seat.id()), (3, member_id(&anew.name, 1)));
}

#[test]
fn a_log_that_is_written_whole_says_the_same_and_helps_who_was_away() {
    let mut net = Net::new(3, 9);
    let speaker = net.until_speaker();
    let away = (speaker + 1) % 3;
    net.kill(away);
    for _ in 0..50 {
        net.propose();
        net.run(Span::millis(20));
    }
    net.run(Span::millis(500));
    let before = net.places[speaker].agreed.clone();
    for n in [speaker, (speaker + 2) % 3] {
        let seat = net.places[n].seat.as_mut().unwrap();
        let whole = seat.compact(seat.data().to_vec()).snapshot.unwrap();
        net.places[n].disk = Replica::decode_snapshot(&whole).unwrap();
    }
    net.start(away, Start::Join);
    net.run(Span::millis(2_000));
    assert_eq!(net.places[away].agreed, before);
    for n in 0..3 {
        net.kill(n);
    }
    for n in 0..3 {
        net.start(n, Start::Join);
    }
    net.until_speaker();
    net.run(Span::millis(1_000));
    let all: BTreeMap<usize, usize> = net.places.iter().map(|p| p.agreed.len()).enumerate().collect();
    assert!(all.values().all(|n| *n == before.len()), "{all:?}");
}
