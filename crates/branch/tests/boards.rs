//! What a branch's routers are told: read back by the router's own reader of the feed, as the list and the purges that a
//! router then has.
mod common;

use common::{at, version};
use harestage_branch::board::{Board, Saying, Took};
use harestage_branch::start::FeedFile;
use harestage_purge::scope::Scope;
use harestage_shape::config::ShapeConfig;
use harestage_shape::messages::FallbackPlan;
use harestage_wire::feed::{FeedEvent, FeedMessage, MemberState, decode_line};
use std::collections::BTreeMap;

/// A router's side: takes only the number that follows.
#[derive(Default)]
struct Router {
    last: u64,
    list: BTreeMap<String, MemberState>,
    purged: Vec<(Option<u64>, u32, u64)>,
    place: u64,
}

impl Router {
    fn take(&mut self, saying: &Saying) {
        let line = saying.line(self.last + 1, "br");
        match decode_line(&line).unwrap() {
            FeedMessage::Event(n, told) => {
                assert_eq!(n, self.last + 1);
                self.last = n;
                match told {
                    FeedEvent::Members { is_snapshot: whole, members } => {
                        if whole {
                            self.list.clear();
                        }
                        self.list.extend(members.into_iter().map(|m| (m.name, m.state)));
                        self.list.retain(|_, state| *state != MemberState::Removed);
                    }
                    FeedEvent::Purge { object, group, at_ms } => self.purged.push((object, group, at_ms)),
                }
            }
            other => panic!("{other:?}"),
        }
    }

    fn calls(&mut self, board: &Board) {
        let (sayings, place) = board.whole().expect("there is something to tell");
        sayings.iter().for_each(|saying| self.take(saying));
        self.place = place;
    }

    fn follows(&mut self, board: &Board) {
        let new: Vec<Saying> = board.after(self.place).expect("it is not behind").cloned().collect();
        new.iter().for_each(|saying| self.take(saying));
        self.place = board.place();
    }

    fn parents(&self) -> Vec<&str> {
        let parent =
            |(name, state): &(&String, &MemberState)| name.len() == 1 && **state == MemberState::Ready;
        self.list.iter().filter(parent).map(|(name, _)| name.as_str()).collect()
    }
}

/// Under the next number.
fn purge(board: &mut Board, scope: &Scope, ms: u64) {
    let has = board.goes().1 + 1;
    assert_eq!(board.take(&[(scope.compile().unwrap(), at(ms))], has), Took::OnTop);
}

fn planned(lost: &[&str], ties: &[&str]) -> FallbackPlan {
    let owned = |list: &[&str]| list.iter().map(|name| name.to_string()).collect::<Vec<_>>();
    FallbackPlan { lost: owned(lost).into_iter().collect(), upstreams: owned(ties) }
}

/// East and north say for so long that they hear nothing of west, and no service says anything.
fn west_is_lost(board: &mut Board, from_ms: u64) -> u64 {
    let mut ms = from_ms;
    for _ in 0..50 {
        ms += 100;
        for hub in ["e", "n"] {
            board.seen(hub, &["west".into()], false, at(ms));
        }
        board.beat(at(ms));
    }
    ms
}

#[test]
fn routers_are_told_each_version_and_one_that_calls_again_the_whole() {
    let mut board = Board::new("br", 4, false, at(1_000));
    assert!(board.whole().is_none() && board.waits_for().is_some());
    board.told(&version(5, &["w"]), Vec::new(), at(1_000));
    let (mut first, mut second) = (Router::default(), Router { last: 57, ..Router::default() });
    first.calls(&board);
    second.calls(&board);
    assert_eq!((first.parents(), second.parents()), (vec!["w"], vec!["w"]));
    assert_eq!((first.last, second.last), (2, 59), "each under the number that follows its own last");
    board.told(&version(6, &["e", "w"]), Vec::new(), at(1_100));
    board.told(&version(7, &["e"]), Vec::new(), at(1_200));
    first.follows(&board);
    assert_eq!(first.parents(), ["e"]);
    assert_eq!(first.list["w"], MemberState::Draining, "what is dropped drains first");
    board.told(&version(8, &["e", "n"]), Vec::new(), at(1_300));
    first.follows(&board);
    assert!(!first.list.contains_key("w") && first.parents() == ["e", "n"]);
    // An older version, one that names the branch no more, and one that can't be, change nothing.
    board.told(&version(7, &["w"]), Vec::new(), at(1_400));
    board.told(&ShapeConfig { branches: Vec::new(), ..version(9, &[]) }, Vec::new(), at(1_400));
    board.told(&version(10, &["mars"]), Vec::new(), at(1_400));
    assert_eq!((board.version(), board.after(first.place).unwrap().count()), (8, 0));
}

#[test]
fn with_no_service_the_plan_is_carried_out_and_taken_back_by_a_service_alone() {
    let mut board = Board::new("br", 4, false, at(1_000));
    board.told(&version(5, &["w"]), vec![planned(&["west"], &["e", "n"])], at(1_000));
    let mut router = Router::default();
    router.calls(&board);
    let ms = west_is_lost(&mut board, 1_000);
    router.follows(&board);
    assert_eq!((router.parents(), router.list["w"]), (vec!["e", "n"], MemberState::Draining));
    let mut late = Router::default();
    late.calls(&board);
    assert_eq!(late.parents(), ["e", "n"], "who calls meanwhile is told the same");
    board.service_spoke(at(ms + 100));
    router.follows(&board);
    assert_eq!(router.parents(), ["w"]);
    // A version that the service gives for the loss takes its place, too.
    let ms = west_is_lost(&mut board, ms + 100);
    board.told(&version(6, &["n"]), Vec::new(), at(ms + 100));
    router.follows(&board);
    assert_eq!(router.parents(), ["n"]);
}

#[test]
fn where_nobody_made_a_plan_the_ties_that_are_left_stay_and_never_none() {
    let mut board = Board::new("br", 4, false, at(1_000));
    board.told(&version(5, &["n", "w"]), Vec::new(), at(1_000));
    let mut router = Router::default();
    router.calls(&board);
    west_is_lost(&mut board, 1_000);
    router.follows(&board);
    assert_eq!(router.parents(), ["n"]);
    let mut only = Board::new("br", 4, false, at(1_000));
    only.told(&version(5, &["w"]), Vec::new(), at(1_000));
    west_is_lost(&mut only, 1_000);
    let mut router = Router::default();
    router.calls(&only);
    assert_eq!(router.parents(), ["w"], "to be tied to nobody helps nobody");
}

/// The fences under the next number.
fn fence(board: &mut Board, members: &[&str], ms: u64) {
    board.set_fenced(members.iter().map(|name| name.to_string()).collect(), at(ms));
    assert_eq!(board.take(&[], board.goes().1 + 1), Took::OnTop);
}

/// Guards against routers that fill from a fenced hub.
#[test]
fn fenced_hubs_are_no_ties_under_versions_plans_and_fences_to_come() {
    let mut board = Board::new("br", 4, false, at(1_000));
    board.told(&version(5, &["e", "w"]), vec![planned(&["west"], &["e", "n"])], at(1_000));
    let mut router = Router::default();
    router.calls(&board);
    fence(&mut board, &["w"], 1_100);
    router.follows(&board);
    assert_eq!((router.parents(), board.fenced_ties()), (vec!["e"], vec!["w"]));
    board.told(&version(6, &["n", "w"]), vec![planned(&["west"], &["e", "n"])], at(1_200));
    router.follows(&board);
    assert_eq!(router.parents(), ["n"], "a new version does not lift a fence");
    // Members that the branch is not tied to change nothing for its routers.
    let place = board.place();
    fence(&mut board, &["e", "feed-of-another-branch", "w"], 1_300);
    let said: Vec<_> = board.after(place).unwrap().collect();
    assert!(matches!(said[..], [Saying::Marks { .. }]), "{said:?}");
    let ms = west_is_lost(&mut board, 1_300);
    router.follows(&board);
    assert_eq!(router.parents(), ["n"], "nor does a plan");
    fence(&mut board, &["e", "n", "w"], ms);
    router.follows(&board);
    assert!(router.parents().is_empty(), "fills come from the archive where all ties are fenced");
    let mut late = Router::default();
    late.calls(&board);
    assert!(late.parents().is_empty());
    board.service_spoke(at(ms + 100));
    fence(&mut board, &[], ms + 200);
    router.follows(&board);
    assert_eq!(router.parents(), ["n", "w"]);
    // A fence under a number that routers have confirmed already has to reach them by a new list.
    board.set_fenced(["w".to_string()].into(), at(ms + 300));
    assert_eq!(board.take(&[], board.goes().1), Took::Anew);
}

#[test]
fn purges_are_told_by_object_or_of_all_groups_and_anew_to_whoever_calls() {
    let mut board = Board::new("br", 3, true, at(1_000));
    board.told(&version(5, &["w"]), Vec::new(), at(1_000));
    assert_eq!(board.waits_for(), Some("the purges that live are not known yet"));
    board.knows_purges();
    let mut router = Router::default();
    router.calls(&board);
    purge(&mut board, &Scope::Object("00000000000000ff".into()), 2_000);
    purge(&mut board, &Scope::Part { object: "00000000000000fe".into(), part: 3 }, 2_100);
    purge(&mut board, &Scope::Group(2), 2_200);
    router.follows(&board);
    assert_eq!(router.purged, [(Some(0xff), 0, 2_000), (Some(0xfe), 0, 2_100), (None, 2, 2_200)]);
    purge(&mut board, &Scope::Glob("00*".into()), 2_300);
    router.follows(&board);
    assert_eq!(router.purged[3..], [(None, 0, 2_300), (None, 1, 2_300), (None, 2, 2_300)]);
    let mut late = Router { last: 9, ..Router::default() };
    late.calls(&board);
    let all: Vec<_> =
        (0..3).map(|g| (None, g, 2_300)).chain([(Some(0xff), 0, 2_000), (Some(0xfe), 0, 2_100)]).collect();
    assert_eq!(late.purged, all);
    // What no copy can be older than is forgotten.
    board.beat(at(2_000 + 86_500_000));
    let (sayings, _) = board.whole().unwrap();
    assert_eq!(sayings.len(), 2, "the list, and what whoever has it goes by");
}

#[test]
fn a_file_that_can_not_be_is_refused_by_its_key() {
    let good = serde_json::json!({"name": "feed-1", "branch": "br", "listen": "127.0.0.1:9",
        "controls": ["127.0.0.1:8"]});
    let read = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut json = good.clone();
        change(&mut json);
        let file: FeedFile = serde_json::from_value(json).unwrap();
        file.checked().map(|start| start.groups)
    };
    assert_eq!(read(&|_| {}), Ok(256));
    type Change<'a> = &'a dyn Fn(&mut serde_json::Value);
    let cases: [(&str, Change); 6] = [
        ("key name: \"a b\"", &|j| j["name"] = "a b".into()),
        ("key branch: \"\"", &|j| j["branch"] = "".into()),
        ("key listen: \"here\"", &|j| j["listen"] = "here".into()),
        ("key controls[0]: \"x\"", &|j| j["controls"][0] = "x".into()),
        ("key controls: there has to be one", &|j| j["controls"] = serde_json::json!([])),
        ("key groups: 0 is not from 1", &|j| j["groups"] = 0.into()),
    ];
    for (says, change) in cases {
        let why = read(change).unwrap_err();
        assert!(why.starts_with(says) && why.lines().count() == 1, "{says}: {why}");
    }
}
