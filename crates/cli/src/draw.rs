//! A shape as a picture: branches below, the archive above, each tier a row.
use harestage_shape::plan::Plan;
use harestage_shape::topology::{ARCHIVE, Node, NodeIndex, Shape};
use harestage_shape::validation;
use std::collections::BTreeMap;
use std::fmt::Write;

const COLUMN: usize = 130;
const ROW: usize = 90;
const BOX: (usize, usize) = (110, 40);

/// The rows of a shape, the archive's first; a place stands one row under the lowest that it is tied to.
fn rows(shape: &Shape) -> Vec<Vec<NodeIndex>> {
    let mut level: BTreeMap<NodeIndex, usize> = BTreeMap::from([(ARCHIVE, 0)]);
    let many = shape.nodes().count();
    // As often as there are tiers, and never for good: a picture is drawn of what has loops, too.
    for _ in 0..many {
        let mut moved = false;
        for (at, _) in shape.nodes().filter(|(at, _)| *at != ARCHIVE) {
            let above = shape.upstreams(at).iter().filter_map(|tie| level.get(tie)).max().copied();
            let own = above.map_or(1, |above| (above + 1).min(many));
            moved |= level.insert(at, own) != Some(own);
        }
        if !moved {
            break;
        }
    }
    let lowest = level.values().copied().max().unwrap_or(0);
    let mut rows = vec![Vec::new(); lowest + 1];
    for (at, place) in shape.nodes() {
        let row = if matches!(place, Node::Branch(_)) { lowest } else { level[&at] };
        rows[row].push(at);
    }
    rows
}

pub fn svg(shape: &Shape) -> String {
    let (rows, loads) = (rows(shape), validation::loads(shape).unwrap_or_default());
    let widest = rows.iter().map(Vec::len).max().unwrap_or(1).max(1);
    let (width, height) = (widest * COLUMN + 40, rows.len() * ROW + 40);
    let mut spot = BTreeMap::new();
    for (y, row) in rows.iter().enumerate() {
        let left = (width - row.len() * COLUMN) / 2;
        row.iter().enumerate().for_each(|(x, at)| {
            spot.insert(*at, (left + x * COLUMN + 10, 20 + y * ROW));
        });
    }
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    for (at, (x, y)) in &spot {
        for tie in shape.upstreams(*at) {
            let Some((to_x, to_y)) = spot.get(tie) else { continue };
            let (from, to) = (x + BOX.0 / 2, to_x + BOX.0 / 2);
            let _ = writeln!(
                text,
                "<line x1=\"{from}\" y1=\"{y}\" x2=\"{to}\" y2=\"{}\" stroke=\"#888\"/>",
                to_y + BOX.1
            );
        }
    }
    for (at, (x, y)) in &spot {
        let Some(place) = shape.node(*at) else { continue };
        let (fill, figures) = match place {
            Node::Archive(a) => ("#fde9c9", format!("{:.0} of {:.0}", loads.of(*at), a.capacity)),
            Node::Hub(hub) => ("#d6e6f7", format!("{:.0} of {:.0}", loads.of(*at), hub.capacity)),
            Node::Branch(branch) => ("#e3f1dd", format!("asks {:.0}", branch.load)),
        };
        let _ = writeln!(
            text,
            "<rect x=\"{x}\" y=\"{y}\" width=\"{}\" height=\"{}\" rx=\"5\" fill=\"{fill}\" stroke=\"#555\"/>\n\
             <text x=\"{}\" y=\"{}\" text-anchor=\"middle\">{}</text>\n\
             <text x=\"{}\" y=\"{}\" text-anchor=\"middle\" fill=\"#555\">{figures}</text>",
            BOX.0,
            BOX.1,
            x + BOX.0 / 2,
            y + 17,
            place.name(),
            x + BOX.0 / 2,
            y + 32,
        );
    }
    text + "</svg>\n"
}

pub fn dot(shape: &Shape) -> String {
    let mut text = String::from("digraph shape {\n  rankdir=BT;\n");
    for (at, place) in shape.nodes() {
        let form = match place {
            Node::Archive(_) => "cylinder",
            Node::Hub(_) => "box",
            Node::Branch(_) => "ellipse",
        };
        let _ = writeln!(text, "  \"{}\" [shape={form}];", place.name());
        for tie in shape.upstreams(at) {
            let _ = writeln!(text, "  \"{}\" -> \"{}\";", place.name(), shape.name(*tie));
        }
    }
    text + "}\n"
}

/// A plan over time: a row a step, its length the load that it moves.
pub fn plan_svg(plan: &Plan) -> String {
    let height = plan.steps.len() * 22 + 40;
    let lasts = plan.min_duration().seconds().max(1.0);
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"760\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    for (n, step) in plan.steps.iter().enumerate() {
        let (y, at) = (20 + n * 22, step.not_before_ms as f64 / 1e3);
        let x = 60.0 + at / lasts * 400.0;
        let places: Vec<&str> = step.moves.iter().map(|one| one.node.as_str()).take(6).collect();
        let _ = writeln!(
            text,
            "<text x=\"8\" y=\"{}\">{}</text><rect x=\"{x:.0}\" y=\"{y}\" width=\"{:.0}\" height=\"16\" \
             fill=\"#7aa6d8\"/><text x=\"{:.0}\" y=\"{}\">{at:.1} s, {:.1}%: {}</text>",
            y + 13,
            step.number,
            (step.moved * 400.0).max(2.0),
            x + (step.moved * 400.0).max(2.0) + 6.0,
            y + 13,
            step.moved * 100.0,
            places.join(" "),
        );
    }
    text + "</svg>\n"
}
