//! A hub that is asked for more than it can do, and one whose sources fail: what it refuses first, and how much it repeats.
use bytes::Bytes;
use harestage::state::CacheStatus;
use harestage::time::{Moment, Span};
use harestage_hub::desk::{Bounds, Desk, Keeping, News, Order};
use harestage_shape::archive_share::RateShare;
use harestage_shape::config::{ArchiveConfig, HubConfig, ShapeConfig};
use harestage_wire::fields::HexId;
use harestage_wire::node::{Answer, AnswerStatus, CopyTag, IncomingRequest};
use std::collections::{BTreeMap, HashMap};

fn hub(name: &str, site: &str, capacity: f64) -> HubConfig {
    HubConfig {
        name: name.into(),
        address: "127.0.0.1:1".into(),
        site: site.into(),
        capacity,
        passes: 0.5,
        since_ms: 0,
        cold_from: 0.1,
        cold_ms: 1_000,
        falls_at: 2.0,
        falls_within_ms: 1_000,
        up: vec!["archive".into()],
    }
}

fn shape(hubs: Vec<HubConfig>) -> ShapeConfig {
    let archive = ArchiveConfig {
        name: "archive".into(),
        address: "127.0.0.1:2".into(),
        capacity: 1e5,
        stops_at: 2.5,
        stops_within_ms: 3_000,
    };
    ShapeConfig { version: 1, archive, hubs, branches: Vec::new(), links: Vec::new() }
}

fn asked(no: u64, content: &'static str, object: u64) -> Box<IncomingRequest> {
    Box::new(IncomingRequest {
        id: HexId::from_u64(no),
        content: Bytes::from_static(content.as_bytes()),
        object: HexId::from_u64(object),
        part: 0,
        timeout_ms: 3_000,
        source: Some(Bytes::from_static(b"archive")),
        rank: 1,
        max_age_ms: None,
        join: true,
        only_if_cached: false,
        no_store: false,
        stale_while_revalidate: false,
        known_digest: None,
        body: Bytes::new(),
        route: None,
        mark: None,
    })
}

struct Bed {
    desk: Desk,
    ms: u64,
    no: u64,
    /// What became of each pull, by its number.
    became: BTreeMap<u64, AnswerStatus>,
    content: BTreeMap<u64, &'static str>,
    /// Pulls to other hubs and to the archive.
    hubs: usize,
    fetches: usize,
    /// Whether other hubs are there.
    others: bool,
}

impl Bed {
    fn new(site: &str, form: ShapeConfig) -> Bed {
        let keeping = |benefit| Keeping { fresh: None, grace: Span::ZERO, benefit };
        let named = |name: &'static str| Bytes::from_static(name.as_bytes());
        let contents = HashMap::from([(named("clip"), keeping(8.0)), (named("page"), keeping(1.0))]);
        let bounds = Bounds { store_bytes: 1 << 24, fills: 4_000, waiters: 32_000 };
        let at = Moment::at_micros(1_000_000);
        let mut desk = Desk::open("a", bounds, contents, at);
        desk.is_at(site, at);
        desk.step(at, std::iter::once(News::Told(Box::new(form))));
        let part = RateShare { rate: 1e5, floor: 1e5, number: 1 };
        desk.step(at, std::iter::once(News::Part { part, asked: at }));
        let (became, content) = Default::default();
        Bed { desk, ms: 1_000, no: 0, became, content, hubs: 0, fetches: 0, others: true }
    }

    fn at(&self) -> Moment {
        Moment::at_micros(self.ms * 1_000)
    }

    fn step(&mut self, news: Vec<News>) {
        let mut orders = self.desk.step(self.at(), news.into_iter());
        while let Some(order) = orders.pop() {
            let next = match order {
                Order::Answer { given, .. } => {
                    self.became.insert(given.id.as_u64(), given.status);
                    continue;
                }
                Order::Pull { pull, to, .. } if to.name == "archive" => {
                    self.fetches += 1;
                    self.good(pull)
                }
                Order::Pull { pull, .. } => {
                    self.hubs += 1;
                    if self.others { self.good(pull) } else { News::Lost { pull } }
                }
                _ => continue,
            };
            orders.extend(self.desk.step(self.at(), std::iter::once(next)));
        }
    }

    fn good(&self, pull: u64) -> News {
        let copy = CopyTag { digest: Bytes::from_static(b"d"), dated_ms: self.ms, group: None };
        let (id, word, remark) = (HexId::from_u64(pull), AnswerStatus::Fulfilled, CacheStatus::FromOrigin);
        let answer = Answer {
            id,
            status: word,
            cache_status: remark,
            first_byte_ms: 1.0,
            body: Bytes::from_static(b"body"),
        };
        News::Answered { pull, answer, copy: Some(copy) }
    }

    /// So many pulls of each content type a second, over two connections.
    fn run(&mut self, ms: u64, clips: u64, pages: u64) {
        for _ in 0..ms {
            self.ms += 1;
            self.step(Vec::new());
            for (content, rate) in [("clip", clips), ("page", pages)] {
                let due = self.ms * rate / 1_000 - (self.ms - 1) * rate / 1_000;
                for _ in 0..due {
                    self.no += 1;
                    let (no, object) = (self.no, self.no * 7);
                    self.content.insert(no, content);
                    let news = News::Asked { conn: 1 + no % 2, asked: asked(no, content, object) };
                    self.step(vec![news]);
                }
            }
        }
    }

    fn share(&self, content: &str, word: AnswerStatus, after: u64) -> f64 {
        let of: Vec<&u64> =
            self.content.iter().filter(|(no, c)| **c == content && **no > after).map(|(no, _)| no).collect();
        of.iter().filter(|no| self.became.get(*no) == Some(&word)).count() as f64 / of.len().max(1) as f64
    }
}

#[test]
fn past_its_room_a_hub_refuses_what_is_worth_least() {
    let mut bed = Bed::new("east", shape(vec![hub("a", "east", 200.0)]));
    bed.run(2_000, 100, 300);
    let settled = bed.no;
    bed.run(4_000, 100, 300);
    assert!(
        bed.share("clip", AnswerStatus::Fulfilled, settled) > 0.99,
        "{}",
        bed.share("clip", AnswerStatus::Fulfilled, settled)
    );
    let pages = bed.share("page", AnswerStatus::Fulfilled, settled);
    assert!((0.15..0.45).contains(&pages), "80 of 300 a second fit: {pages}");
    assert!(
        bed.share("page", AnswerStatus::Busy, settled) > 0.5,
        "refused at once, with the proof that they never ran"
    );
    let settled = bed.no;
    bed.run(2_000, 50, 50);
    bed.run(2_000, 50, 50);
    assert!(
        bed.share("page", AnswerStatus::Busy, settled + 100) < 0.02,
        "with room for all, nothing is refused"
    );
}

#[test]
fn a_hub_that_names_no_site_refuses_nothing_by_worth() {
    let mut bed = Bed::new("", shape(vec![hub("a", "", 200.0)]));
    bed.run(2_000, 100, 300);
    assert_eq!(bed.share("page", AnswerStatus::Busy, 0), 0.0);
}

/// Other homes are gone and every pull to them fails: what a hub repeats stays within what first attempts paid for.
#[test]
fn repeats_stay_within_their_budget() {
    let others = ["b", "c", "d", "e", "f"].map(|name| hub(name, "west", 1e4));
    let mut form = shape(others.into());
    form.hubs.push(hub("a", "east", 1e4));
    let mut bed = Bed::new("east", form);
    bed.others = false;
    bed.run(10_000, 200, 0);
    let firsts = bed.no as f64;
    let sent = (bed.hubs + bed.fetches) as f64;
    assert!(sent <= firsts * 1.3, "{sent} pulls for {firsts}");
    let answered = bed.became.len() as f64;
    assert!(answered >= firsts * 0.99, "each hears at once what became of it: {answered}");
}

/// A hub below that is refused hears when to come again, and tells those who wait below it; a cache is told nothing that
/// its protocol has no word for.
#[test]
fn a_hub_that_was_refused_tells_hubs_below_when_to_come_again() {
    use harestage_wire::peer::HubRoute;
    let mut bed = Bed::new("east", shape(vec![hub("b", "west", 1e4)]));
    let ask = |no: u64, way: Option<HubRoute>| {
        let mut asked = asked(no, "clip", 7);
        asked.route = way;
        News::Asked { conn: no, asked }
    };
    let way = HubRoute { path: vec!["low".into()], shape_version: 1, hand_over: false };
    let orders = bed.desk.step(bed.at(), [ask(1, Some(way)), ask(2, None)].into_iter());
    let pull = orders.iter().find_map(|order| match order {
        Order::Pull { pull, to, .. } if to.name == "b" => Some(*pull),
        _ => None,
    });
    let pull = pull.expect("it asks the object's home");
    bed.ms += 5;
    let answer = Answer {
        id: HexId::from_u64(pull),
        status: AnswerStatus::Busy,
        cache_status: CacheStatus::NoFillSlot,
        first_byte_ms: 0.0,
        body: Bytes::new(),
    };
    let news =
        [News::ComeAgain { pull, after: Span::millis(700) }, News::Answered { pull, answer, copy: None }];
    let orders = bed.desk.step(bed.at(), news.into_iter());
    let to_archive =
        orders.iter().any(|order| matches!(order, Order::Pull { to, .. } if to.name == "archive"));
    assert!(!to_archive, "what the home refuses for want of room is not asked of the archive past it");
    let given = |no: u64| {
        orders.iter().find_map(|order| match order {
            Order::Answer { conn, given } if *conn == no => Some((given.status, given.retry_after_ms)),
            _ => None,
        })
    };
    assert_eq!(
        (given(1), given(2)),
        (Some((AnswerStatus::Busy, Some(705))), Some((AnswerStatus::Busy, None)))
    );
}
