//! A hub that is audited: what it refuses for its stamp, at once and never run, what it records, and how it takes what the
//! keeper brings.
use bytes::Bytes;
use harestage::state::CacheStatus;
use harestage::time::{Moment, Span};
use harestage_audit::chain::{Body, Link};
use harestage_audit::messages::{AdmissionRules, KeeperMessage, Update};
use harestage_audit::process::KeeperRequest;
use harestage_audit::stamp::{Stamp, Versions};
use harestage_hub::desk::{Bounds, Desk, Keeping, News, Order};
use harestage_shape::archive_share::RateShare;
use harestage_shape::config::{ArchiveConfig, HubConfig, ShapeConfig};
use harestage_wire::fields::HexId;
use harestage_wire::node::{Answer, AnswerStatus, CopyTag, IncomingRequest};
use harestage_wire::peer::AuditMark;
use std::collections::HashMap;

fn shape(version: u64) -> ShapeConfig {
    let hub = |name: &str| HubConfig {
        name: name.into(),
        address: "127.0.0.1:1".into(),
        site: "east".into(),
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
        capacity: 1e5,
        stops_at: 2.5,
        stops_within_ms: 3_000,
    };
    ShapeConfig { version, archive, hubs: vec![hub("a")], branches: Vec::new(), links: Vec::new() }
}

fn at(ms: u64) -> Moment {
    Moment::at_micros(1_000_000 + ms * 1_000)
}

fn desk() -> Desk {
    let keeping = Keeping { fresh: None, grace: Span::ZERO, benefit: 1.0 };
    let contents = HashMap::from([(Bytes::from_static(b"clip"), keeping)]);
    let bounds = Bounds { store_bytes: 1 << 20, fills: 100, waiters: 800 };
    let mut desk = Desk::open("a", bounds, contents, at(0));
    desk.is_at("east", at(0));
    desk.is_audited(9, "1", 7, at(0));
    desk.step(at(0), std::iter::once(News::Told(Box::new(shape(5)))));
    let part = RateShare { rate: 1e5, floor: 1e5, number: 1 };
    desk.step(at(0), std::iter::once(News::Part { part, asked: at(0) }));
    desk
}

fn stamp(shape: u64) -> Stamp {
    Versions { shape, ..Versions::default() }.stamp()
}

fn asked(no: u64, by: &str, shape: u64) -> News {
    let mark = AuditMark { by: by.into(), place: "br".into(), stamp: stamp(shape).to_string() };
    let asked = IncomingRequest {
        id: HexId::from_u64(no),
        content: Bytes::from_static(b"clip"),
        object: HexId::from_u64(no),
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
        mark: Some(mark),
    };
    News::Asked { conn: 1, asked: Box::new(asked) }
}

fn refuse(desk: &mut Desk, shut: &[(&str, f64)]) {
    let shut = shut.iter().map(|(name, share)| (name.to_string(), *share)).collect();
    let refuse = Some(AdmissionRules { excluded: shut, min_shape: 5, min_purge: 0 });
    let answer = KeeperMessage::Ack {
        term: 1,
        start: 9,
        upto: 0,
        lease_ms: 3_000,
        excluded: None,
        update: None,
        admission: refuse,
    };
    assert_eq!(desk.audit().unwrap().on_answer(answer, at(10)), None);
}

/// The word that a pull got at once, and its reason; none where it runs.
fn at_once(desk: &mut Desk, news: News) -> Option<(AnswerStatus, Option<&'static str>)> {
    let orders = desk.step(at(20), std::iter::once(news));
    let fetched = orders.iter().any(|order| matches!(order, Order::Pull { .. }));
    let given = orders.iter().find_map(|order| match order {
        Order::Answer { given, .. } => Some((given.status, given.reason)),
        _ => None,
    });
    assert!(given.is_none() || !fetched, "what is refused never runs");
    given
}

#[test]
fn what_is_forbidden_is_refused_to_those_who_are_shut_out_and_never_runs() {
    let mut desk = desk();
    assert_eq!(at_once(&mut desk, asked(1, "r-1", 4)), None, "nobody is shut out yet");
    refuse(&mut desk, &[("r-1", 0.0), ("r-2", 0.5)]);
    assert_eq!(at_once(&mut desk, asked(2, "r-1", 4)), Some((AnswerStatus::Busy, Some("old"))));
    assert_eq!(
        at_once(&mut desk, asked(3, "r-1", 5)),
        Some((AnswerStatus::Busy, Some("old"))),
        "let in by no share yet"
    );
    assert_eq!(at_once(&mut desk, asked(4, "r-2", 4)), Some((AnswerStatus::Busy, Some("old"))));
    assert_eq!(at_once(&mut desk, asked(5, "r-3", 4)), None, "only those whom the keeper has decided on");
    let refused = (100..300).filter(|no| at_once(&mut desk, asked(*no, "r-2", 5)).is_some()).count();
    assert!((60..140).contains(&refused), "half of what is not forbidden: {refused} of 200");
}

#[test]
fn what_it_answered_is_in_its_record_under_what_it_was_asked_by() {
    let mut desk = desk();
    refuse(&mut desk, &[("r-1", 0.0)]);
    at_once(&mut desk, asked(1, "r-1", 4));
    let orders = desk.step(at(30), std::iter::once(asked(2, "r-2", 5)));
    let pull = orders.iter().find_map(|order| match order {
        Order::Pull { pull, ask, .. } => Some((*pull, ask.mark.clone())),
        _ => None,
    });
    let (pull, mark) = pull.expect("it fetches");
    assert_eq!(mark, None, "the archive is not ours");
    let copy = CopyTag { digest: Bytes::from_static(b"d"), dated_ms: 700, group: None };
    let answer = Answer {
        id: HexId::from_u64(pull),
        status: AnswerStatus::Fulfilled,
        cache_status: CacheStatus::Unknown,
        first_byte_ms: 1.0,
        body: Bytes::from_static(b"body"),
    };
    desk.step(at(40), std::iter::once(News::Answered { pull, answer, copy: Some(copy) }));
    desk.step(at(2_000), std::iter::empty());
    let links: Vec<Link> = desk.audit().unwrap().recorder().pending_links();
    let spans = links.iter().filter_map(|link| match &link.body {
        Body::Interval(span) => Some(span.as_ref()),
        _ => None,
    });
    let spans: Vec<_> = spans.collect();
    assert_eq!(spans.iter().map(|span| span.download_count()).sum::<u64>(), 2);
    let answered: Vec<_> = spans.iter().flat_map(|span| &span.received).collect();
    let of =
        |by: &str| answered.iter().find(|a| a.puller == by).map(|a| (a.stamp.shape, a.accepted, a.refused));
    assert_eq!((of("r-1"), of("r-2")), (Some((4, 0, 1)), Some((5, 1, 0))));
    assert_eq!(spans.iter().map(|span| span.oldest_ms).max(), Some(700));
    assert!(spans.iter().all(|span| span.stamp.shape == 5));
    assert!(links.iter().all(Link::is_intact));
}

#[test]
fn a_version_that_the_keeper_brings_is_taken_and_one_that_can_not_be_is_told() {
    let mut desk = desk();
    let whole = |form: ShapeConfig| {
        News::Wanted(Box::new(KeeperRequest::Apply(Update::Full {
            shape: Box::new(form),
            plans: Vec::new(),
        })))
    };
    desk.step(at(50), std::iter::once(whole(shape(6))));
    assert_eq!(desk.version(), 6);
    let difference =
        Update::Difference { from: 6, to: 7, upstreams: vec![("a".into(), vec!["archive".into()])] };
    desk.step(at(60), std::iter::once(News::Wanted(Box::new(KeeperRequest::Apply(difference)))));
    assert_eq!(desk.version(), 7);
    let mut wrong = shape(8);
    wrong.hubs[0].up = vec!["mars".into()];
    desk.step(at(70), std::iter::once(whole(wrong)));
    let report = desk.audit().unwrap().report(at(70));
    assert!(report.rejected.is_some_and(|(version, why)| version == 8 && why.contains("mars")));
    assert_eq!(desk.version(), 7);
    desk.step(at(80), std::iter::once(whole(shape(9))));
    assert_eq!((desk.version(), desk.audit().unwrap().report(at(80)).rejected), (9, None));
    let asked = News::Wanted(Box::new(KeeperRequest::Restart("it helps".into())));
    let orders = desk.step(at(90), std::iter::once(asked));
    assert!(orders.contains(&Order::StartAnew("it helps".into())));
}
