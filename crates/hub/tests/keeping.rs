//! A hub that kept its copies through a loss of power: what goes out and when, by the desk alone.
use bytes::Bytes;
use harestage::state::CacheStatus;
use harestage::time::{Moment, Span};
use harestage_copies::index::CopyMetadata;
use harestage_copies::record::Checkpoint;
use harestage_hub::desk::{Bounds, Desk, Keeping, News, Order, ReadResult};
use harestage_hub::store::Copy;
use harestage_purge::scope::Scope;
use harestage_restart::stage::Stage;
use harestage_shape::archive_share::RateShare;
use harestage_shape::config::{ArchiveConfig, HubConfig, ShapeConfig};
use harestage_wire::fields::HexId;
use harestage_wire::node::{Answer, AnswerStatus, CopyTag, IncomingRequest};
use std::collections::HashMap;

const DAY: u64 = 86_400_000;

fn at(ms: u64) -> Moment {
    Moment::at_micros((DAY + ms) * 1_000)
}

fn shape() -> ShapeConfig {
    let hub = HubConfig {
        name: "a".into(),
        address: "127.0.0.1:1".into(),
        site: String::new(),
        capacity: 1_000.0,
        passes: 0.5,
        since_ms: 0,
        cold_from: 0.1,
        cold_ms: 1_000,
        falls_at: 2.0,
        falls_within_ms: 1_000,
        up: vec!["archive".into()],
    };
    let archive = ArchiveConfig {
        name: "archive".into(),
        address: "127.0.0.1:2".into(),
        capacity: 1e4,
        stops_at: 2.5,
        stops_within_ms: 3_000,
    };
    ShapeConfig { version: 1, archive, hubs: vec![hub], branches: Vec::new(), links: Vec::new() }
}

struct Bed {
    desk: Desk,
    ms: u64,
    no: u64,
    orders: Vec<Order>,
}

impl Bed {
    /// A hub with copies of objects 1 to 9, made ten seconds before the loss.
    fn new(no_purges: bool) -> Bed {
        let keeping = |fresh: Option<Span>, benefit| Keeping { fresh, grace: Span::ZERO, benefit };
        let contents = HashMap::from([
            (Bytes::from_static(b"clip"), keeping(None, 8.0)),
            (Bytes::from_static(b"page"), keeping(Some(Span::millis(60_000)), 1.0)),
        ]);
        let bounds = Bounds { store_bytes: 1 << 22, fills: 500, waiters: 4_000 };
        let mut desk = Desk::open("a", bounds, contents, at(0));
        if !no_purges {
            desk.waits_for_purges();
        }
        let meta = |object: u64| CopyMetadata {
            key: (object, 0),
            digest: b"old".to_vec(),
            dated_us: at(0).micros() - 10_000_000,
            group: Some(object as u32 % 3),
            rank: 1,
        };
        let marks = Checkpoint {
            applied_purge: 5,
            latest_clock_ms: DAY - 1_000,
            fill_seconds: 0.01,
            fetch_seconds: 0.01,
        };
        desk.has_kept((1..10).map(meta).collect(), marks, no_purges, at(0));
        Bed { desk, ms: 0, no: 0, orders: Vec::new() }
    }

    fn step(&mut self, news: Vec<News>) -> Vec<Order> {
        let orders = self.desk.step(at(self.ms), news.into_iter());
        self.orders.extend(orders.clone());
        orders
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.ms += 50;
            self.step(Vec::new());
        }
    }

    fn ready(&mut self) {
        let part = RateShare { rate: 1_000.0, floor: 1_000.0, number: 1 };
        let asked = at(self.ms);
        self.step(vec![News::Told(Box::new(shape())), News::Part { part, asked }]);
    }

    fn ask(&mut self, object: u64, content: &'static str, oldest_ms: Option<u64>) -> Vec<Order> {
        self.no += 1;
        let asked = IncomingRequest {
            id: HexId::from_u64(self.no),
            content: Bytes::from_static(content.as_bytes()),
            object: HexId::from_u64(object),
            part: 0,
            timeout_ms: 3_000,
            source: Some(Bytes::from_static(b"archive")),
            rank: 1,
            max_age_ms: oldest_ms,
            join: true,
            only_if_cached: false,
            no_store: false,
            stale_while_revalidate: false,
            known_digest: None,
            body: Bytes::new(),
            route: None,
            mark: None,
        };
        self.step(vec![News::Asked { conn: 1, asked: Box::new(asked) }])
    }

    fn disk_gives(&mut self, object: u64) -> Vec<Order> {
        let dated = Moment::at_micros(at(0).micros() - 10_000_000);
        let (digest, body) = (Bytes::from_static(b"old"), Bytes::from_static(b"body"));
        let copy = Copy { digest, dated, group: Some(object as u32 % 3), body };
        self.step(vec![News::Read { key: (object, 0), result: ReadResult::Copy(copy) }])
    }

    /// The archive answers a fetch; it says that it is so late.
    fn fetched(&mut self, orders: &[Order], archive_ms: u64) -> Vec<Order> {
        let pull = orders.iter().find_map(|order| match order {
            Order::Pull { pull, .. } => Some(*pull),
            _ => None,
        });
        let pull = pull.expect("it is fetched");
        let copy = Some(CopyTag { digest: Bytes::from_static(b"new"), dated_ms: archive_ms, group: Some(1) });
        let (id, word, remark) = (HexId::from_u64(pull), AnswerStatus::Fulfilled, CacheStatus::Unknown);
        let answer = Answer {
            id,
            status: word,
            cache_status: remark,
            first_byte_ms: 1.0,
            body: Bytes::from_static(b"newer"),
        };
        self.step(vec![News::Answered { pull, answer, copy }])
    }
}

/// Objects whose copies go from the disk.
fn unkept(orders: &[Order]) -> Vec<u64> {
    let keys = orders.iter().filter_map(|order| match order {
        Order::Unkeep { keys } => Some(keys.iter().map(|key| key.0)),
        _ => None,
    });
    keys.flatten().collect()
}

fn word(orders: &[Order]) -> Option<AnswerStatus> {
    orders.iter().find_map(|order| match order {
        Order::Answer { given, .. } => Some(given.status),
        _ => None,
    })
}

fn reads(orders: &[Order]) -> bool {
    orders.iter().any(|order| matches!(order, Order::Read { .. }))
}

#[test]
fn nothing_goes_out_before_the_purges_are_known_and_then_what_they_leave() {
    let mut bed = Bed::new(false);
    bed.ready();
    bed.run(1_000);
    assert_eq!(bed.desk.start().stage(), Stage::AwaitsPurges);
    let orders = bed.ask(1, "clip", None);
    assert!(word(&orders) == Some(AnswerStatus::Busy) && !reads(&orders));
    // All that lives is told: objects 2 and 3 went while it was away, and everything of group 1.
    let covered =
        |scope: Scope, ms: u64| News::Covered { scope: Box::new(scope.compile().unwrap()), at: at(ms) };
    bed.step(vec![
        covered(Scope::Object(format!("{:016x}", 2)), 0),
        covered(Scope::Object(format!("{:016x}", 3)), 0),
        covered(Scope::Group(1), 0),
        News::KnowsPurges,
        News::HasPurges(9),
    ]);
    assert_eq!(unkept(&bed.orders), [2, 3, 1, 4, 7], "what goes from the disk");
    assert!(bed.orders.iter().any(|order| matches!(order, Order::Mark(marks) if marks.applied_purge == 9)));
    bed.run(200);
    assert_eq!(bed.desk.start().stage(), Stage::CopiesOnly);
    let orders = bed.ask(5, "clip", None);
    assert!(reads(&orders) && word(&orders).is_none());
    assert_eq!(word(&bed.disk_gives(5)), Some(AnswerStatus::Fulfilled));
    for gone in [1, 2, 3, 4, 7] {
        let orders = bed.ask(gone, "clip", None);
        assert!(
            word(&orders) == Some(AnswerStatus::Busy) && !reads(&orders),
            "{gone} is gone, and nothing is fetched yet"
        );
    }
}

#[test]
fn a_copy_that_is_purged_while_it_is_read_does_not_go_out() {
    let mut bed = Bed::new(true);
    bed.ready();
    bed.run(300);
    assert!(reads(&bed.ask(5, "clip", None)));
    bed.step(vec![News::Covered { scope: Box::new(Scope::Group(2).compile().unwrap()), at: at(400) }]);
    bed.run(3_000);
    let orders = bed.disk_gives(5);
    assert!(!orders.iter().any(
        |order| matches!(order, Order::Answer { given, .. } if given.status == AnswerStatus::Fulfilled)
    ));
}

/// Guards against a purged copy that comes back at the next start: a read that failed struck it from the hub's list while the
/// disk had it, or was about to have a younger one, so that no purge took it from there.
#[test]
fn what_may_be_on_disk_after_a_read_that_failed_is_still_purged() {
    let mut bed = Bed::new(true);
    bed.ready();
    bed.run(300);
    assert!(reads(&bed.ask(5, "clip", None)));
    bed.step(vec![News::Read { key: (5, 0), result: ReadResult::Busy }]);
    assert!(reads(&bed.ask(6, "clip", None)));
    let orders = bed.step(vec![News::Read { key: (6, 0), result: ReadResult::Missing }]);
    assert_eq!(unkept(&orders), [6], "what waits for the disk under its key");
    let purge = |object| Scope::Object(format!("{object:016x}")).compile().unwrap();
    let orders = bed.step(vec![News::Covered { scope: Box::new(purge(5)), at: at(bed.ms) }]);
    assert_eq!(unkept(&orders), [5]);
}

#[test]
fn age_counts_only_once_a_fetch_has_shown_the_archives_time() {
    let mut bed = Bed::new(true);
    bed.ready();
    bed.run(4_000);
    assert!(bed.desk.start().stage().allows_fills());
    // No older than a minute is wanted, and by this clock it is ten seconds old: but which clock is right is not known.
    let orders = bed.ask(5, "page", None);
    assert!(!reads(&orders));
    let orders = bed.ask(20, "clip", None);
    // The archive is ten minutes ahead of this clock, which went back.
    bed.fetched(&orders, DAY + bed.ms + 600_000);
    assert!(!reads(&bed.ask(6, "page", None)), "it is ten minutes old by the archive's time");
    assert!(reads(&bed.ask(8, "clip", None)), "what does not age goes out all the same");
    let mut right = Bed::new(true);
    right.ready();
    right.run(4_000);
    let orders = right.ask(20, "clip", None);
    right.fetched(&orders, DAY + right.ms - 10);
    assert!(reads(&right.ask(6, "page", None)));
}

#[test]
fn with_no_service_of_purges_it_serves_alone_and_keeps_nothing() {
    let mut bed = Bed::new(false);
    bed.ready();
    bed.run(9_000);
    assert_eq!(bed.desk.start().stage(), Stage::WithoutPurges);
    for _ in 0..2 {
        let mut orders = bed.ask(5, "clip", None);
        assert!(!reads(&orders));
        for _ in 0..40 {
            if orders.iter().any(|order| matches!(order, Order::Pull { .. })) {
                break;
            }
            bed.ms += 50;
            orders = bed.step(Vec::new());
        }
        let answered = bed.fetched(&orders, DAY + bed.ms);
        assert_eq!(word(&answered), Some(AnswerStatus::Fulfilled));
        assert!(!answered.iter().any(|order| matches!(order, Order::Keep { .. })));
    }
}

#[test]
fn what_is_fetched_once_it_is_through_is_kept_and_once_only() {
    let mut bed = Bed::new(true);
    bed.ready();
    bed.run(40_000);
    assert_eq!(bed.desk.start().stage(), Stage::All);
    let orders = bed.ask(30, "clip", None);
    let answered = bed.fetched(&orders, DAY + bed.ms);
    let kept =
        answered.iter().filter(|order| matches!(order, Order::Keep { meta, .. } if meta.key == (30, 0)));
    assert_eq!(kept.count(), 1);
    assert_eq!(bed.desk.kept(), 10);
}
