//! Three members of the control service. The leader is cut off from the second one; then the third is started again, and
//! reaches the second one only. Two members must never speak for the service at once.
use crate::common::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SITES: [&str; 3] = ["east", "west", "north"];
const ROUNDS: usize = 15;
const ROUNDS_END: Duration = Duration::from_secs(95);

struct Member {
    name: String,
    serves: SocketAddr,
    line: Link,
    words: Vec<String>,
}

impl Member {
    fn start(&self, play: &Play) {
        let words: Vec<&str> = self.words.iter().map(String::as_str).collect();
        play.harestage(&self.name, &words);
    }
}

/// The term under which a member speaks, if it does.
fn speaks(at: SocketAddr) -> Option<u64> {
    let said = call(at, "\"status\"", Duration::from_millis(400))?;
    let rest = said.strip_prefix("{\"status\":{\"term\":")?;
    rest.split(',').next()?.parse().ok()
}

fn cut(record: &Record, from: &Member, to: &Member) {
    record.say(&format!("the link between {} and {} is cut", from.name, to.name));
    to.line.cut_callers.lock().unwrap().push(from.line.at.to_string());
    from.line.cut_callers.lock().unwrap().push(to.line.at.to_string());
}

/// Answers of members that speak: when each was asked and when it had answered, who, and its term.
type Spoken = Arc<Mutex<Vec<(Instant, Instant, usize, u64)>>>;

pub fn run(case: &str) {
    let play = Play::begin(case);
    let record = play.record.clone();
    let archive = Archive::open(&record);
    let hub = free();
    let first = play.file(
        "shape.json",
        &shape_text(
            1,
            archive.at,
            &[("hub-a", hub, "east", "archive")],
            "{\"name\":\"br\",\"load\":10,\"hubs\":[\"hub-a\"]}",
        ),
    );
    let mut members: Vec<Member> = Vec::new();
    let mut inside = Vec::new();
    for site in SITES {
        let at = free();
        inside.push(at);
        members.push(Member {
            name: format!("control-{site}"),
            serves: free(),
            line: Link::open(at),
            words: Vec::new(),
        });
    }
    let mut founders: Vec<String> = Vec::new();
    for (member, site) in members.iter().zip(SITES) {
        founders.extend(["--peer".into(), format!("{}={site}", member.name)]);
        founders.extend([
            "--at".into(),
            member.line.at.to_string(),
            "--serves".into(),
            member.serves.to_string(),
        ]);
    }
    for (member, inside) in members.iter_mut().zip(inside) {
        let journal = play.path(&format!("{}-journal", member.name));
        let listen = member.serves.to_string();
        let own = [
            "control",
            "--listen",
            &listen,
            "--journal",
            &journal,
            "--first",
            &first,
            "--member",
            &member.name,
        ];
        member.words = own.iter().map(|word| word.to_string()).collect();
        member.words.extend(["--group-listen".into(), inside.to_string()]);
        member.words.extend(founders.iter().cloned());
        member.start(&play);
    }
    let leader = |within: Duration| {
        let begun = Instant::now();
        loop {
            if let Some(found) = members.iter().position(|member| speaks(member.serves).is_some()) {
                return Some(found);
            }
            if begun.elapsed() > within {
                return None;
            }
            pause(50);
        }
    };
    let begun = Instant::now();
    let (mut rounds, mut both) = (0, Vec::new());
    while rounds < ROUNDS && begun.elapsed() < ROUNDS_END {
        rounds += 1;
        let leads = leader(Duration::from_secs(10));
        play.need(leads.is_some(), "somebody speaks for the control service");
        let leads = leads.unwrap();
        // All follow it.
        pause(1_200);
        let (second, third) = ((leads + 1) % 3, (leads + 2) % 3);
        let (round_begun, spoken) = (Instant::now(), Spoken::default());
        record.say(&format!("round {rounds} begins"));
        let over = Arc::new(AtomicBool::new(false));
        let asking: Vec<_> = [leads, second]
            .into_iter()
            .map(|who| {
                let (at, spoken, over) = (members[who].serves, spoken.clone(), over.clone());
                std::thread::spawn(move || {
                    while !over.load(Ordering::SeqCst) {
                        let asked = Instant::now();
                        if let Some(term) = speaks(at) {
                            spoken.lock().unwrap().push((asked, Instant::now(), who, term));
                        }
                        pause(2);
                    }
                })
            })
            .collect();
        if play.trouble {
            cut(&record, &members[leads], &members[second]);
        }
        pause(1_500);
        if play.trouble {
            cut(&record, &members[leads], &members[third]);
        }
        play.crash(&members[third].name);
        members[third].start(&play);
        pause(2_500);
        over.store(true, Ordering::SeqCst);
        asking.into_iter().for_each(|thread| drop(thread.join()));
        let spoken = spoken.lock().unwrap();
        let (name, other) = (&members[leads].name, &members[second].name);
        for who in [leads, second] {
            record.say(&format!(
                "round {rounds}: status asked of {} again and again, 2 ms between",
                members[who].name
            ));
            let terms: BTreeSet<u64> =
                spoken.iter().filter(|(_, _, by, _)| *by == who).map(|s| s.3).collect();
            for term in terms {
                let of_term = || spoken.iter().filter(|(_, _, by, of)| *by == who && *of == term);
                let since = |at: &Instant| at.duration_since(round_begun).as_millis();
                let (first, last) = (of_term().next().unwrap(), of_term().last().unwrap());
                record.say(&format!(
                    "round {rounds}: {} answered as the speaker of term {term} {} times: first asked {} and answered {} ms, last asked {} and answered {} ms after the round's begin",
                    members[who].name, of_term().count(), since(&first.0), since(&first.1), since(&last.0), since(&last.1)
                ));
            }
        }
        let first_of_second =
            spoken.iter().filter(|(_, _, who, _)| *who == second).min_by_key(|(_, had, ..)| *had);
        let last_of_leader =
            spoken.iter().filter(|(_, _, who, _)| *who == leads).max_by_key(|(asked, ..)| *asked);
        match (first_of_second, last_of_leader) {
            (Some((_, had, _, newer)), Some((asked, _, _, older))) if asked > had => {
                let for_ms = asked.duration_since(*had).as_millis();
                let after = spoken.iter().filter(|(at, _, who, _)| *who == leads && at > had).count();
                record.say(&format!(
                    "round {rounds}: {other} spoke under term {newer}; {name}, asked after that, spoke under term {older} {after} times, for {for_ms} ms more"
                ));
                both.push(for_ms);
            }
            (found, _) => record.say(&format!(
                "round {rounds}: {name} led, {other} {}",
                if found.is_some() { "spoke after it" } else { "did not speak" }
            )),
        }
        for member in &members {
            member.line.cut_callers.lock().unwrap().clear();
        }
        record.say("no link is cut any more");
        pause(800);
    }
    match both.is_empty() {
        true => play.end(HELD, &format!("one member at most spoke at once in {rounds} rounds")),
        false => play.end(
            BROKEN,
            &format!(
                "in {} of {rounds} rounds two members spoke at once, for up to {} ms",
                both.len(),
                both.iter().max().unwrap()
            ),
        ),
    }
}
