//! Shapes are taken whole or refused whole, and each complaint names the place.
mod common;
use common::*;
use harestage_shape::config;
use harestage_shape::route::{self, NextHop};
use harestage_shape::topology::{self, ARCHIVE, Node, NodeIndex, Shape, Versions};
use harestage_shape::validation::{Violation, validate};

fn complaints(form: &config::ShapeConfig) -> Vec<String> {
    topology::validated_shape(form).err().unwrap_or_default().iter().map(Violation::to_string).collect()
}

#[test]
fn a_sound_shape_is_taken_with_its_loads() {
    let shape = topology::validated_shape(&two_hubs()).unwrap();
    let loads = validate(&shape).unwrap();
    let a = shape.find("a").unwrap();
    // 80 fills over two hubs; each passes 12, half of it to the other.
    assert_eq!(loads.of(a), 46.0);
    assert!((loads.of(ARCHIVE) - (12.0 + 2.0 * 6.0 * 0.3)).abs() < 1e-9);
}

#[test]
fn each_wrong_shape_is_refused_by_what_is_wrong() {
    let mut doubled = two_hubs();
    doubled.hubs.push(hub("a", &["archive"]));
    assert_eq!(complaints(&doubled), ["a: named twice"]);
    let mut unknown = two_hubs();
    unknown.branches[1].hubs.push("x".into());
    unknown.branches[2].hubs.push("a".into());
    assert_eq!(complaints(&unknown), ["e: tied to x, which is unknown", "s: tied to a twice"]);
    let mut to_branch = two_hubs();
    to_branch.hubs[0].up = vec!["n".into()];
    assert_eq!(complaints(&to_branch), ["a: tied to n, which is a branch"]);
    let mut cut = two_hubs();
    cut.hubs.push(hub("c", &[]));
    cut.branches.push(branch("far", 1.0, &["c"]));
    assert_eq!(complaints(&cut), ["far: no way to the archive"]);
    let mut mixed = two_hubs();
    mixed.hubs[0].up.push("b".into());
    assert_eq!(complaints(&mixed), ["a: tied to the archive and to hub b"]);
}

#[test]
fn a_loop_is_told_with_its_whole_path() {
    let mut looped = two_hubs();
    looped.hubs.extend([hub("c", &["d"]), hub("d", &["e1"]), hub("e1", &["c", "a"])]);
    looped.branches.push(branch("far", 1.0, &["c"]));
    assert_eq!(complaints(&looped), ["loop: c -> d -> e1 -> c"]);
    let mut selfish = two_hubs();
    selfish.hubs.push(hub("c", &["c"]));
    assert_eq!(complaints(&selfish), ["loop: c -> c"]);
}

#[test]
fn overload_is_told_also_after_the_loss_of_one_hub() {
    let mut over = two_hubs();
    over.branches[0].load = 200.0;
    assert!(complaints(&over)[0].starts_with("a: asked for "), "{:?}", complaints(&over));
    let mut barely = two_hubs();
    barely.hubs[0].capacity = 79.0;
    assert_eq!(complaints(&barely), ["a: after the loss of b asked for 80.0 and carries 79.0"]);
    let mut weak = two_hubs();
    weak.archive.capacity = 16.0;
    weak.archive.stops_at = 1.2;
    let told = complaints(&weak);
    assert!(
        told.contains(&"archive: after the loss of a asked for 24.0 and carries 15.4".into()),
        "{told:?}"
    );
}

/// Losses are worked out by what they change; here against the whole shape without the lost hub.
#[test]
fn a_loss_by_its_change_is_the_loss_by_a_full_search() {
    let mut form = two_hubs();
    form.hubs[0].capacity = 1.0;
    form.hubs[1].capacity = 1.0;
    for n in 0..6 {
        let up = [["a", "b"], ["b", "a"], ["a", "b"]][n % 3];
        form.hubs.push(config::HubConfig { capacity: 1.0, ..hub(&format!("m{n}"), &up[..1 + n % 2]) });
    }
    for n in 0..9 {
        let (one, two) = (format!("m{}", n % 6), format!("m{}", (n * 5 + 1) % 6));
        let ties = if one == two { vec![one.as_str()] } else { vec![one.as_str(), two.as_str()] };
        form.branches.push(branch(&format!("br{n}"), 3.0 + n as f64, &ties));
    }
    let told = topology::validated_shape(&form).unwrap_err();
    for lost in form.hubs.iter().map(|hub| hub.name.clone()) {
        let mut without = form.clone();
        without.hubs.retain(|hub| hub.name != lost);
        without.hubs.iter_mut().for_each(|hub| hub.up.retain(|up| *up != lost));
        let mut cut_off = 0.0;
        without.branches.iter_mut().for_each(|branch| branch.hubs.retain(|hub| *hub != lost));
        without.branches.retain(|branch| {
            cut_off += if branch.hubs.is_empty() { branch.load } else { 0.0 };
            !branch.hubs.is_empty()
        });
        // A hub whose ties are all gone asks the archive straight, as a branch does.
        let orphans: Vec<_> =
            without.hubs.iter().filter(|h| h.up.is_empty()).map(|h| h.name.clone()).collect();
        if !orphans.is_empty() || cut_off > 0.0 {
            continue;
        }
        let Err(alone) = topology::validated_shape(&without) else { panic!("all are overloaded") };
        for complaint in alone {
            let Violation::Overload { node: place, asked, .. } = complaint else { continue };
            let same = told.iter().find_map(|c| match c {
                Violation::OverloadAfterLoss { node: p, lost: l, asked, .. } if *p == place && *l == lost => {
                    Some(*asked)
                }
                _ => None,
            });
            // A place whose load does not differ is told of without a loss only.
            let usual = told.iter().find_map(|c| match c {
                Violation::Overload { node: p, asked, .. } if *p == place => Some(*asked),
                _ => None,
            });
            let found = same.or(usual).unwrap();
            assert!((found - asked).abs() < 1e-6, "{place} without {lost}: {found}, {asked}");
        }
    }
}

#[test]
fn a_file_is_refused_in_one_line_that_names_file_key_and_value() {
    let whole = serde_json::to_string(&two_hubs()).unwrap();
    let refused = |text: &str| config::parse("fleet.json", text.as_bytes()).unwrap_err().to_string();
    for cut in 0..whole.len() {
        let line = refused(&whole[..cut]);
        assert!(line.starts_with("fleet.json: ") && !line.contains('\n'), "{line}");
    }
    assert_eq!(config::parse("fleet.json", whole.as_bytes()).unwrap(), two_hubs());
    let with = |from: &str, to: &str| refused(&whole.replacen(from, to, 1));
    assert_eq!(with("\"load\":20.0", "\"load\":-1"), "fleet.json: key branches[0].load: -1 is not 0 or more");
    assert!(
        with("\"capacity\":100.0", "\"capacity\":\"x\"")
            .starts_with("fleet.json: key archive.capacity: invalid type")
    );
    assert!(with("127.0.0.1:2", "nowhere").contains("\"nowhere\" is not an address with a port"));
    assert!(with("\"load\"", "\"laod\"").contains("unknown field `laod`"));
    assert!(refused(&(whole.clone() + "}")).contains("trailing"));
}

#[test]
fn versions_come_once_and_in_order_and_stay_while_they_are_used() {
    let mut versions = Versions::default();
    let numbered = |n| Shape::from_config(&config::ShapeConfig { version: n, ..two_hubs() }).unwrap();
    assert!(versions.insert(numbered(1), at_ms(0)));
    let pinned = versions.pin().unwrap();
    for n in 2..9 {
        assert!(versions.insert(numbered(n), at_ms(n)));
        assert!(!versions.insert(numbered(n), at_ms(n)), "told twice");
        assert!(!versions.insert(numbered(n - 1), at_ms(n)), "out of order");
    }
    assert_eq!((versions.retained(), versions.get(pinned).unwrap().version()), (2, 1));
    versions.unpin(pinned);
    assert_eq!((versions.retained(), versions.get(pinned).unwrap().version()), (1, 8));
}

/// An object moves only to a hub that came or from one that went, and all hubs agree on its home.
#[test]
fn homes_move_no_more_than_they_have_to() {
    let before = Shape::from_config(&two_hubs()).unwrap();
    let mut form = two_hubs();
    form.hubs.push(hub("c", &["archive"]));
    let after = before.successor(&config::ShapeConfig { version: 2, ..form }).unwrap();
    let c = after.find("c").unwrap();
    let mut moved = 0;
    for object in 0..3_000 {
        let (old, new) =
            (route::preferred_hub(&before, object).unwrap(), route::preferred_hub(&after, object).unwrap());
        moved += u32::from(old != new);
        assert!(old == new || new == c);
        for me in ["a", "b", "c"].map(|name| after.find(name).unwrap()) {
            let expected = if me == new { NextHop::Archive } else { NextHop::Hub(new) };
            assert_eq!(route::next_hop(&after, me, object, &[]), Some(expected));
            let other: Vec<NodeIndex> = after.top_hubs().iter().copied().filter(|top| *top != me).collect();
            assert_eq!(route::next_hop(&after, me, object, &other), Some(NextHop::Archive));
        }
    }
    assert!((900..1_100).contains(&moved), "a third: {moved}");
    assert_eq!(before.find("a"), after.find("a"), "indices stay from version to version");
    assert!(matches!(after.node(c), Some(Node::Hub(_))));
}
