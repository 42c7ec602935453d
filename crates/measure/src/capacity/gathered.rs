//! What a purge costs where confirmations are gathered by site: the leader's state machine and its lines, beside what each
//! site's gatherers do, without sockets. Gatherers and members are those of the program.
use super::leader::Cost;
use super::size::{PURGES_A_SECOND, Part};
use harestage::time::{Moment, Span};
use harestage_purge::gather::{Gatherer, MIN_REPORT_INTERVAL, REPORT_INTERVAL};
use harestage_purge::messages::{Ack, FromGatherer, GatheredReport, Past, ToMember, to_line};
use harestage_purge::scope::Scope;
use harestage_purge::sequencer::RateLimit;
use harestage_purge::service::{Effect, PushState, Service};
use std::time::{Duration, Instant};

/// Gatherers at a site.
pub const A_SITE: usize = 2;
const PURGE_EVERY: Span = Span::micros(1_000_000 / PURGES_A_SECOND);
const BEAT: Span = Span::millis(20);
const BEGIN: Moment = Moment::at_micros(1_000_000_000);
/// Between the leader and a gatherer, and within a site, one way.
const WAY: Span = Span::millis(40);
const NEAR: Span = Span::millis(1);

struct Site {
    gatherer: Gatherer,
    pushed: PushState,
    below: Vec<String>,
}

struct Run {
    service: Service,
    sites: Vec<Site>,
    last: u64,
    cost: Cost,
    /// The leader's time, and all gatherers'.
    busy: Duration,
    gathering: Duration,
}

impl Run {
    fn effects(&mut self, effects: Vec<Effect>) {
        let mut wrote = false;
        for effect in effects {
            match effect {
                Effect::Write(entry) => {
                    wrote = true;
                    self.cost.writes_a_purge += 1.0;
                    self.cost.write_bytes_a_purge +=
                        serde_json::to_vec(&entry).unwrap_or_default().len() as f64;
                }
                Effect::Broadcast(item) => self.last = item.number,
                Effect::Report(_) => {}
            }
        }
        self.cost.syncs_a_purge += f64::from(u8::from(wrote));
    }

    /// Lines of the leader to one gatherer, as they come there.
    fn deliver(&mut self, n: usize, told: &[Vec<u8>], now: Moment) {
        let begun = Instant::now();
        for text in told {
            self.cost.wire_bytes_a_purge += text.len() as f64;
            let told: ToMember = serde_json::from_slice(text).expect("the leader writes what is read");
            self.sites[n].gatherer.handle(told, now).expect("in its order");
        }
        self.gathering += begun.elapsed();
    }

    /// All below confirm what their gatherer has, and its line goes up and is answered.
    fn say(&mut self, n: usize, now: Moment) {
        let begun = Instant::now();
        let site = &mut self.sites[n];
        let has = site.gatherer.last();
        for member in &site.below {
            let said = Ack {
                member: member.clone(),
                incarnation: 1,
                applied: has,
                bootstrapped: true,
                past: Past::default(),
            };
            let told = site.gatherer.on_ack(&said, now);
            std::hint::black_box(told.ok().map(|told| to_line(&told)));
        }
        let up = site.gatherer.next_report(now + MIN_REPORT_INTERVAL).map(|up| to_line(&up));
        self.gathering += begun.elapsed();
        let Some(up) = up else { return };
        self.cost.wire_bytes_a_purge += up.len() as f64;
        let begun = Instant::now();
        let FromGatherer::Gathered(gathered): FromGatherer =
            serde_json::from_slice(&up).expect("a gatherer writes what is read");
        let told = self.hear(n, &gathered, now + WAY);
        self.busy += begun.elapsed();
        self.deliver(n, &told, now + WAY + WAY);
    }

    fn hear(&mut self, n: usize, gathered: &GatheredReport, now: Moment) -> Vec<Vec<u8>> {
        let (answered, effects) = self.service.on_gathered(gathered, now).expect("it is right");
        let may_tell = self.last;
        let told = self.sites[n].pushed.reply(&self.service, gathered, answered, may_tell);
        let told = told.iter().map(to_line).collect();
        self.effects(effects);
        told
    }
}

/// The leader's cost of `purges`, as [`super::leader::cost`] has it for members that call the service themselves, and the
/// share of a core that the busiest gatherer needs.
pub fn cost(part: Part, purges: u64) -> (Cost, f64) {
    let limit = RateLimit { rate: 1e6, burst: 1e6 };
    let names = part.names();
    let sites = (0..part.sites * A_SITE).map(|n| Site {
        gatherer: Gatherer::new(&format!("g-{}-{}", n / A_SITE, n % A_SITE), 1),
        pushed: PushState::default(),
        below: names
            .iter()
            .filter(|(name, site)| *site == n / A_SITE && name.len() % A_SITE == n % A_SITE)
            .map(|(name, _)| name.clone())
            .collect(),
    });
    let mut run = Run {
        service: Service::open(&[], limit, BEGIN).0,
        sites: sites.collect(),
        last: 0,
        cost: Cost::default(),
        busy: Duration::ZERO,
        gathering: Duration::ZERO,
    };
    let mut now = BEGIN;
    // Everyone is taken in first.
    for _ in 0..4 {
        now = now + Span::millis(300);
        (0..run.sites.len()).for_each(|n| run.say(n, now));
    }
    (run.cost, run.busy, run.gathering) = (Cost::default(), Duration::ZERO, Duration::ZERO);
    let (mut rest, mut rest_gathering) = (Duration::ZERO, Duration::ZERO);
    for n in 1..=purges {
        now = now + PURGE_EVERY + WAY + WAY + NEAR + MIN_REPORT_INTERVAL + MIN_REPORT_INTERVAL;
        let begun = Instant::now();
        let scope = Scope::Object(format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        let (_, _, effects) =
            run.service.submit(scope, n as u32 % 50, &format!("k{n}"), now).expect("it is within the limits");
        run.effects(effects);
        let last = run.last;
        let mut told = Vec::new();
        for site in 0..run.sites.len() {
            let news = run.sites[site].pushed.next_push(&run.service, last).map(|news| to_line(&news));
            told.push((site, news));
        }
        run.busy += begun.elapsed();
        for (site, news) in told {
            news.into_iter().for_each(|news| run.deliver(site, &[news], now + WAY));
            run.say(site, now + WAY + NEAR);
        }
        // Until the next purge each says now and then that there is nothing new, and the service beats.
        let (busy, gathering) = (run.busy, run.gathering);
        let quiet = now + REPORT_INTERVAL + WAY + WAY;
        (0..run.sites.len()).for_each(|site| run.say(site, quiet));
        let part = PURGE_EVERY / REPORT_INTERVAL;
        rest += (run.busy - busy).mul_f64(part);
        rest_gathering += (run.gathering - gathering).mul_f64(part);
        (run.busy, run.gathering) = (busy, gathering);
        let begun = Instant::now();
        for _ in 0..PURGE_EVERY.as_micros() / BEAT.as_micros() {
            let effects = run.service.tick(quiet);
            run.effects(effects);
        }
        rest += begun.elapsed();
        now = quiet;
    }
    let many = purges.max(1) as f64;
    let mut cost = run.cost;
    cost.us_a_purge = run.busy.as_secs_f64() * 1e6 / many;
    cost.core_share = (run.busy + rest).as_secs_f64() / many * PURGES_A_SECOND as f64;
    cost.writes_a_purge /= many;
    cost.syncs_a_purge /= many;
    cost.write_bytes_a_purge /= many;
    cost.wire_bytes_a_purge /= many;
    cost.left_open = run.service.pending_purges();
    let gatherers = run.sites.len() as f64;
    let share = (run.gathering + rest_gathering).as_secs_f64() / many / gatherers * PURGES_A_SECOND as f64;
    (cost, share)
}
