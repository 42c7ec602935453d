//! What the rig decides, without a process: ways, faults, lines and verdicts.
use harestage_fleet::conditions::Conditions;
use harestage_fleet::scenario::{Act, FaultForm, LineForm, Named, Scenario, WayForm, When};
use harestage_fleet::timeline::{Entry, Timeline};
use harestage_fleet::timetable::Timetable;
use harestage_fleet::verdict::find;
use serde_json::json;
use std::time::Duration;

fn scenario() -> Scenario {
    let process = |name: &str, site: &str| json!({"name": name, "site": site, "runs": "hub"});
    let text = json!({
        "name": "two sites", "lasts_ms": 1_000, "sites": ["east", "west"],
        "processes": [process("a", "east"), process("b", "east"), process("c", "west")],
        "ways": [{"from": "east", "to": "west", "delay_ms": 5}]
    });
    Scenario::read(text.to_string().as_bytes()).unwrap()
}

fn way(from: &str, to: &str) -> WayForm {
    WayForm { from: from.into(), to: to.into(), both: true, ..WayForm::default() }
}

#[test]
fn the_latest_word_on_a_way_counts_until_it_is_healed() {
    let mut ways = Conditions::of(&scenario());
    let delay = |ways: &Conditions, from: &str, to: &str| ways.between(from, to).delay;
    assert_eq!(delay(&ways, "a", "c"), Duration::from_millis(5));
    assert_eq!(delay(&ways, "a", "b"), Duration::ZERO, "within a site");
    ways.set(WayForm { silent: true, both: false, ..way("east", "west") });
    assert!(ways.between("a", "c").silent && !ways.between("c", "a").silent, "one way");
    ways.set(WayForm { cut: true, ..way("*", "*") });
    assert!(
        ways.between("c", "a").cut && !ways.between("a", "b").cut,
        "a site's own processes reach each other"
    );
    ways.set(WayForm { cut: true, ..way("a", "b") });
    assert!(ways.between("b", "a").cut, "unless they are named");
    assert!(!ways.between("", "a").cut, "a test's own caller passes");
    for pair in [("a", "b"), ("*", "*"), ("west", "east")] {
        ways.heal(pair.0, pair.1);
    }
    assert_eq!(delay(&ways, "a", "c"), Duration::from_millis(5));
    assert!(!ways.between("a", "b").cut);
}

#[test]
fn a_narrow_way_passes_bytes_at_its_rate_and_after_its_delay() {
    let mut ways = Conditions::of(&scenario());
    ways.set(WayForm { delay_ms: 10, kb_per_s: 100, ..way("east", "west") });
    let condition = ways.between("a", "c");
    let ms = Duration::from_millis;
    assert_eq!(condition.passes_at(ms(0), ms(0), 100), ms(10));
    assert_eq!(condition.passes_at(ms(0), ms(0), 5_000), ms(50));
    assert_eq!(condition.passes_at(ms(10), ms(50), 1_000), ms(60), "after what went before");
}

fn entry(at_ms: f64, by: &str, says: &str, fields: serde_json::Value) -> Entry {
    let fields = fields.as_object().cloned().unwrap_or_default();
    Entry { at_ms, by: by.into(), site: "east".into(), says: says.into(), fields }
}

#[test]
fn a_fault_comes_by_the_time_or_when_a_line_was_said_so_often_and_once() {
    let line = LineForm {
        by: "a".into(),
        says: "version".into(),
        least: [("number".to_string(), 17.0)].into(),
        ..LineForm::default()
    };
    let said = When::Said { line, times: 2, after_ms: 100 };
    let faults = [
        FaultForm { when: said, act: Act::Kill("a".into()) },
        FaultForm { when: When::AtMs(50), act: Act::Stop("b".into()) },
    ];
    let mut table = Timetable::of(&faults);
    assert_eq!(table.next(), Some(50));
    assert!(table.due(49).is_empty());
    assert_eq!(table.due(50), [(1, Act::Stop("b".into()))]);
    for (number, by) in [(16, "a"), (17, "b"), (18, "a")] {
        table.hear(&entry(200.0, by, "version", json!({"number": number})));
    }
    assert_eq!((table.next(), table.never_came()), (None, vec![0]), "once so far");
    table.hear(&entry(300.0, "a", "version", json!({"number": "19"})));
    assert!(table.due(399).is_empty());
    assert_eq!(table.due(400), [(0, Act::Kill("a".into()))]);
    assert!(table.due(10_000).is_empty() && table.never_came().is_empty());
}

#[test]
fn lines_are_read_from_logs_in_json_and_in_text() {
    let json = Entry::read(1.0, "a", "east", r#"{"msg":"version","level":"INFO","number":3}"#);
    assert_eq!((json.says.as_str(), json.number("number")), ("version", Some(3.0)));
    let text = Entry::read(1.0, "r", "east", "Dec 01 23:04:15.363 INFO feed up, after: 1, router: n0");
    assert_eq!(text.says, "feed up, after: 1, router: n0");
    let timeline = Timeline::default();
    timeline.begin();
    timeline.take_in("a", "east", r#"{"msg":"one"}"#);
    timeline.take_in("a", "east", r#"{"msg":"two"}"#);
    assert!(timeline.wait_for(Duration::ZERO, |e| e.says == "two").is_some());
    assert!(timeline.wait_for(Duration::ZERO, |e| e.says == "three").is_none());
    assert!(timeline.around(0.0, 1e6, 1e6, 1).starts_with("... 1 lines before"));
    assert_eq!(timeline.json_lines().lines().count(), 2);
}

#[test]
fn a_verdict_measures_and_never_holds_by_measuring_nothing() {
    let entries = [
        entry(10.0, "crowd", "crowd", json!({"asked": 10, "in_time": 9})),
        entry(20.0, "rig", "fault", json!({"number": 0})),
        entry(25.0, "x", "site", json!({"is": "lost"})),
        entry(90.0, "crowd", "crowd", json!({"asked": 10, "in_time": 1})),
    ];
    let found = |of: serde_json::Value, to_ms: Option<u64>| {
        let expect = json!({"that": "x", "of": of, "at_most": 1e9, "to_ms": to_ms});
        find(&serde_json::from_value(expect).unwrap(), &entries)
    };
    let crowd = json!({"says": "crowd"});
    assert_eq!(found(json!({"sum": {"line": crowd, "field": "asked"}}), None).found, Some(20.0));
    assert_eq!(
        found(json!({"share": {"line": crowd, "part": "in_time", "whole": "asked"}}), None).found,
        Some(0.5)
    );
    assert_eq!(found(json!({"largest": {"line": crowd, "field": "in_time"}}), Some(50)).found, Some(9.0));
    let lost = json!({"says": "site", "is": {"is": "lost"}});
    assert_eq!(found(json!({"delay": {"line": lost, "fault": 0}}), None).found, Some(5.0));
    assert_eq!(found(json!({"lines": lost}), None).found, Some(1.0));
    let nothing = found(json!({"sum": {"line": {"says": "nobody"}, "field": "x"}}), None);
    assert!(nothing.found.is_none() && !nothing.holds);
}

#[test]
fn texts_that_stand_for_addresses_are_told_from_others() {
    assert_eq!(Named::read("127.0.0.1:1"), None);
    assert_eq!(Named::read("@a/feed"), Some(Named { own: false, process: "a", port: Some("feed") }));
    assert_eq!(Named::read("!a"), Some(Named { own: true, process: "a", port: None }));
}
