//! Members on a simulated network in virtual time that loses, duplicates, delays and partitions, with disks that lose what
//! was not synced.
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

struct Envelope {
    at: Moment,
    from: usize,
    to: u64,
    bytes: Vec<u8>,
}

struct Node {
    replica: Option<Replica>,
    member: Member,
    /// The synced records.
    disk: Vec<Vec<u8>>,
    committed: Vec<Vec<u8>>,
    stopped: bool,
    disk_number: u64,
}

struct Net {
    nodes: Vec<Node>,
    in_flight: Vec<Envelope>,
    now: Moment,
    rng: StdRng,
    /// Pairs of which the first can't reach the second.
    partitioned: BTreeSet<(usize, usize)>,
    loss: f64,
    /// All entries that any member has seen as committed, in order.
    order: Vec<Vec<u8>>,
    proposed: u64,
    /// Senders don't verify the disk of the receiver.
    skips_disk_check: bool,
}

impl Net {
    fn new(count: usize, seed: u64) -> Net {
        let founders: Vec<Member> = (0..count).map(member).collect();
        let mut net = Net {
            nodes: Vec::new(),
            in_flight: Vec::new(),
            now: Moment::at_micros(1_000_000),
            rng: StdRng::seed_from_u64(seed),
            partitioned: BTreeSet::new(),
            loss: 0.0,
            order: Vec::new(),
            proposed: 0,
            skips_disk_check: false,
        };
        for member in &founders {
            let node = Node {
                replica: None,
                member: member.clone(),
                disk: Vec::new(),
                committed: Vec::new(),
                stopped: false,
                disk_number: net.rng.random(),
            };
            net.nodes.push(node);
        }
        for n in 0..count {
            net.start(n, Start::Found { members: founders.clone(), data: vec![b"first".to_vec()] });
        }
        net
    }

    fn start(&mut self, n: usize, start: Start) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let (name, incarnation) = (node.member.name.clone(), node.member.incarnation);
        let replica = Replica::open(&name, incarnation, &node.disk, start, node.disk_number, now);
        let replica = replica.unwrap_or_else(|error| panic!("{name}: {error}"));
        node.committed = replica.data().to_vec();
        (node.replica, node.stopped) = (Some(replica), false);
        self.step(n);
    }

    fn kill(&mut self, n: usize) {
        self.nodes[n].replica = None;
    }

    fn step(&mut self, n: usize) {
        let now = self.now;
        loop {
            let node = &mut self.nodes[n];
            let Some(replica) = node.replica.as_mut().filter(|_| !node.stopped) else { return };
            let output = replica.step(now);
            if output.is_empty() {
                return;
            }
            node.disk.extend(output.write);
            if let Some(snapshot) = &output.snapshot {
                node.disk = Replica::decode_snapshot(snapshot).unwrap();
            }
            if output.replaced {
                node.committed = replica.data().to_vec();
            } else {
                node.committed.extend(output.committed.into_iter().map(|committed| committed.data));
            }
            if replica.needs_compaction() {
                let snapshot = replica.compact(replica.data().to_vec()).snapshot.unwrap();
                node.disk = Replica::decode_snapshot(&snapshot).unwrap();
            }
            let committed = node.committed.clone();
            self.check_order(&committed);
            for (to, bytes) in output.send {
                if self.rng.random::<f64>() < self.loss {
                    continue;
                }
                let duplicated = self.rng.random::<f64>() < self.loss / 2.0;
                for _ in 0..1 + u8::from(duplicated) {
                    let at = now + Span::millis(self.rng.random_range(1..30));
                    self.in_flight.push(Envelope { at, from: n, to, bytes: bytes.clone() });
                }
            }
        }
    }

    fn check_order(&mut self, committed: &[Vec<u8>]) {
        let common = committed.len().min(self.order.len());
        assert_eq!(committed[..common], self.order[..common], "two members have committed different entries");
        self.order.extend_from_slice(&committed[common..]);
    }

    fn run(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Span::millis(10);
            let now = self.now;
            let (due, later) = std::mem::take(&mut self.in_flight).into_iter().partition(|p| p.at <= now);
            self.in_flight = later;
            let due: Vec<Envelope> = due;
            for envelope in due {
                let to = self.nodes.iter().position(|p| p.member.id() == envelope.to);
                let Some(to) = to.filter(|to| !self.partitioned.contains(&(envelope.from, *to))) else {
                    continue;
                };
                // Messages to a paused process wait in its sockets.
                if self.nodes[to].stopped {
                    self.in_flight.push(Envelope { at: now + Span::millis(10), ..envelope });
                    continue;
                }
                let from = self.nodes[envelope.from].member.id();
                let disk = self.nodes[envelope.from].disk_number;
                // Both ends of a connection verify the disk of the other. If the sender was killed since, only the receiver does.
                let (other, known) = (self.nodes[to].member.id(), self.nodes[to].disk_number);
                let sender = self.nodes[envelope.from].replica.as_mut();
                let accepted =
                    self.skips_disk_check || sender.is_none_or(|replica| replica.verify_disk(other, known));
                if let Some(replica) = &mut self.nodes[to].replica
                    && accepted
                    && replica.verify_disk(from, disk)
                {
                    replica.on_message(&envelope.bytes, now);
                }
                self.step(to);
            }
            if now.micros() % TICK.as_micros() < 10_000 {
                for n in 0..self.nodes.len() {
                    let node = &mut self.nodes[n];
                    let Some(replica) = node.replica.as_mut().filter(|_| !node.stopped) else { continue };
                    replica.tick(now);
                    self.step(n);
                }
            }
            assert!(
                self.lease_holders().len() <= 1,
                "two members hold the lease at once: {:?}",
                self.lease_holders()
            );
        }
    }

    /// Running members that hold the leader lease. A paused one sends nothing, so it is checked when it resumes.
    fn lease_holders(&self) -> Vec<usize> {
        let holds_lease =
            |p: &Node| !p.stopped && p.replica.as_ref().is_some_and(|s| s.holds_leader_lease(self.now));
        (0..self.nodes.len()).filter(|n| holds_lease(&self.nodes[*n])).collect()
    }

    fn until_lease_holder(&mut self) -> usize {
        for _ in 0..600 {
            if let [one] = self.lease_holders()[..] {
                return one;
            }
            self.run(Span::millis(10));
        }
        panic!("nobody holds the lease after 6 s");
    }

    fn propose(&mut self) -> Option<Vec<u8>> {
        let n = *self.lease_holders().first()?;
        self.proposed += 1;
        let data = format!("entry {}", self.proposed).into_bytes();
        let replica = self.nodes[n].replica.as_mut()?;
        replica.propose(data.clone()).ok()?;
        self.step(n);
        Some(data)
    }

    fn isolate(&mut self, isolated: usize) {
        for other in (0..self.nodes.len()).filter(|n| *n != isolated) {
            self.partitioned.extend([(isolated, other), (other, isolated)]);
        }
    }
}

#[test]
fn a_group_commits_and_the_next_leader_has_everything() {
    let mut net = Net::new(3, 1);
    let first = net.until_lease_holder();
    for _ in 0..20 {
        net.propose().unwrap();
    }
    net.run(Span::millis(300));
    let committed = net.nodes[first].committed.clone();
    assert_eq!(committed.len(), 21);
    net.kill(first);
    let second = net.until_lease_holder();
    assert_ne!(first, second);
    assert_eq!(net.nodes[second].replica.as_ref().unwrap().data(), committed);
    assert!(net.propose().is_some());
    net.run(Span::millis(300));
    net.start(first, Start::Join);
    net.run(Span::millis(1_500));
    assert_eq!(net.nodes[first].committed.len(), 22, "it catches up from the state of its own disk");
}

#[test]
fn a_leader_without_a_majority_loses_its_lease_before_another_gets_one() {
    for seed in 0..10 {
        let mut net = Net::new(5, seed);
        let first = net.until_lease_holder();
        net.isolate(first);
        let cut_at = net.now;
        while net.lease_holders() == [first] {
            net.run(Span::millis(10));
        }
        assert!(
            net.now.since(cut_at) < Span::millis(800),
            "it held the lease for another {:?}",
            net.now.since(cut_at)
        );
        let second = net.until_lease_holder();
        assert_ne!(first, second);
        assert!(
            net.now.since(cut_at) < Span::millis(3_000),
            "{:?} without a lease holder",
            net.now.since(cut_at)
        );
    }
}

/// The answers that waited in its sockets during the pause confirm only that the others followed it before the pause.
#[test]
fn a_leader_that_resumes_after_a_pause_does_not_hold_the_lease() {
    for seed in 0..10 {
        let mut net = Net::new(3, 50 + seed);
        let first = net.until_lease_holder();
        let mut reached = net.order.len();
        net.nodes[first].stopped = true;
        net.run(Span::millis(4_000));
        let second = net.until_lease_holder();
        net.propose().unwrap();
        net.run(Span::millis(200));
        reached = reached.max(net.order.len());
        net.nodes[first].stopped = false;
        // `run` checks at every step that at most one member holds the lease; that is the point of this test.
        net.run(Span::millis(1_500));
        assert_eq!(net.until_lease_holder(), second);
        assert_eq!(net.order.len(), reached, "what it still had to send has no effect");
    }
}

#[test]
fn random_partitions_kills_and_losses_leave_one_order_and_one_lease_holder() {
    for seed in 0..30 {
        let mut net = Net::new(if seed % 2 == 0 { 3 } else { 5 }, 100 + seed);
        net.loss = 0.05;
        let count = net.nodes.len();
        let mut known: Vec<Vec<u8>> = Vec::new();
        for _ in 0..25 {
            let n = net.rng.random_range(0..count);
            match net.rng.random_range(0..7) {
                0 if net.nodes.iter().filter(|p| p.replica.is_none()).count() < count / 2 => net.kill(n),
                1 if net.nodes[n].replica.is_none() => net.start(n, Start::Join),
                2 => net.isolate(n),
                3 => {
                    let other = (n + 1) % count;
                    net.partitioned.insert((n, other));
                }
                4 => net.partitioned.clear(),
                5 => net.nodes[n].stopped = !net.nodes[n].stopped,
                _ => {}
            }
            for _ in 0..3 {
                net.propose();
            }
            net.run(Span::millis(400));
            // Whatever a lease holder has seen as committed stays committed under the next leader.
            if let Some(leader) = net.lease_holders().first() {
                let committed = &net.nodes[*leader].committed;
                assert!(committed.starts_with(&known) || known.starts_with(committed), "seed {seed}");
                known = if committed.len() > known.len() { committed.clone() } else { known };
            }
        }
        net.partitioned.clear();
        net.loss = 0.0;
        for n in 0..count {
            net.nodes[n].stopped = false;
            if net.nodes[n].replica.is_none() {
                net.start(n, Start::Join);
            }
        }
        net.run(Span::millis(3_000));
        net.until_lease_holder();
        net.run(Span::millis(2_000));
        let all: Vec<usize> = net.nodes.iter().map(|p| p.committed.len()).collect();
        assert!(all.iter().all(|n| *n == net.order.len()), "seed {seed}: {all:?} of {}", net.order.len());
        assert!(net.order.starts_with(&known), "seed {seed}");
    }
}

#[test]
fn a_member_that_lost_its_disk_can_only_rejoin_as_a_new_member() {
    let mut net = Net::new(3, 7);
    let leader = net.until_lease_holder();
    net.propose();
    net.run(Span::millis(500));
    let lost = (leader + 1) % 3;
    net.kill(lost);
    net.nodes[lost].disk.clear();
    net.nodes[lost].disk_number += 1;
    let founders: Vec<Member> = (0..3).map(member).collect();
    net.start(lost, Start::Found { members: founders, data: vec![b"first".to_vec()] });
    net.run(Span::millis(3_000));
    assert_eq!(net.nodes[lost].committed.len(), 1, "nobody accepts its messages, and it receives nothing");
    net.skips_disk_check = true;
    net.run(Span::millis(500));
    assert!(
        net.nodes[lost].replica.as_ref().unwrap().has_lost_log(),
        "it detects the loss from the messages that it receives"
    );
    net.skips_disk_check = false;
    net.kill(lost);
    let leader = net.until_lease_holder();
    let replica = net.nodes[leader].replica.as_mut().unwrap();
    replica.remove(&format!("m{lost}")).unwrap();
    net.step(leader);
    net.run(Span::millis(500));
    let rejoined = Member { incarnation: 1, ..member(lost) };
    (net.nodes[lost].member, net.nodes[lost].disk) = (rejoined.clone(), Vec::new());
    net.start(lost, Start::Join);
    let leader = net.until_lease_holder();
    net.nodes[leader].replica.as_mut().unwrap().add(&rejoined).unwrap();
    net.step(leader);
    net.run(Span::millis(2_000));
    assert_eq!(net.nodes[lost].committed, net.order, "it was sent a snapshot");
    let replica = net.nodes[lost].replica.as_ref().unwrap();
    assert_eq!((replica.members().count(), replica.id()), (3, member_id(&rejoined.name, 1)));
}

#[test]
fn a_compacted_log_has_the_same_contents_and_serves_members_that_were_away() {
    let mut net = Net::new(3, 9);
    let leader = net.until_lease_holder();
    let away = (leader + 1) % 3;
    net.kill(away);
    for _ in 0..50 {
        net.propose();
        net.run(Span::millis(20));
    }
    net.run(Span::millis(500));
    let before = net.nodes[leader].committed.clone();
    for n in [leader, (leader + 2) % 3] {
        let replica = net.nodes[n].replica.as_mut().unwrap();
        let snapshot = replica.compact(replica.data().to_vec()).snapshot.unwrap();
        net.nodes[n].disk = Replica::decode_snapshot(&snapshot).unwrap();
    }
    net.start(away, Start::Join);
    net.run(Span::millis(2_000));
    assert_eq!(net.nodes[away].committed, before);
    for n in 0..3 {
        net.kill(n);
    }
    for n in 0..3 {
        net.start(n, Start::Join);
    }
    net.until_lease_holder();
    net.run(Span::millis(1_000));
    let all: BTreeMap<usize, usize> = net.nodes.iter().map(|p| p.committed.len()).enumerate().collect();
    assert!(all.values().all(|n| *n == before.len()), "{all:?}");
}
