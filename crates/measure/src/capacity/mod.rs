//! The fleet's size two years on: what each role spends and how that grows, the way of purges as it stood beside the one in
//! service, and a fleet of hollow members on sockets. `QUICK=1` runs at an eighth and a quarter of the size.
pub mod fit;
pub mod fleet;
pub mod gathered;
pub mod hollow;
pub mod judge;
pub mod leader;
pub mod machine;
pub mod plain;
pub mod real;
pub mod size;
pub mod slopes;
pub mod sockets;

use crate::Figures;
use fit::fit;
use harestage::time::Span;
use leader::Leads;
use size::Part;
use std::collections::BTreeMap;
use std::process::{Command, Stdio};
use std::time::Duration;

/// Purges by which the cost of one is measured at the whole size, three seconds of them, so that what is written down once a
/// second counts by its rate; at a part there are more, so that each takes as long.
const PURGES: u64 = 36;
/// Of virtual time, to see whether purges pile up, and on the wall clock at most.
const STRETCH: Span = Span::millis(20_000);

pub fn measure(quick: bool) -> Figures {
    let mut figures = Figures::new("capacity");
    let parts: &[usize] = if quick { &[8, 4] } else { &[8, 4, 2, 1] };
    let largest = Part::one_of(*parts.last().unwrap_or(&1));
    figures.set("routers", largest.routers as f64);
    figures.set("sites", largest.sites as f64);
    figures.set("caches", (size::CACHES * largest.sites / size::SITES) as f64);
    figures.set("regions", size::REGIONS as f64);
    figures.set("zones", size::ZONES as f64);
    // Of all figures, the largest factor by which a size was reached by the fitted power and not by a run.
    figures.set("extrapolated_most", size::SITES as f64 / largest.sites as f64);
    leaders(parts, quick, &mut figures);
    roles(parts, &mut figures);
    looks(parts, &mut figures);
    match crate::site::program() {
        Ok(binary) => sockets::measure(quick, &binary, &mut figures),
        Err(why) => eprintln!("capacity: {why}"),
    }
    figures.bound("wrongly_reached", 0.0);
    figures.bound("older_copies", 0.0);
    // In a storm, too: a run in which most of it was never reported must not pass.
    for way in ["", "_direct_4", "_direct_8"] {
        if way.is_empty() || !quick {
            figures.bound(&format!("purges_unreported{way}"), 0.0);
            figures.bound(&format!("not_caught_up{way}"), 0.0);
        }
    }
    figures.bound("purge_done_ms_max", size::PURGE_MS);
    figures.at_least("copies_kept_after_cut", 0.99);
    figures.bound("whole_folds", 0.0);
    figures.at_least("whole_folds_plain", 1.0);
    figures.bound("leader_core_share", 0.5);
    figures.bound("purge_cost_slope", 1.1);
    figures
}

/// One slope, with its residual, and a line about it.
fn slope(role: &str, driver: &str, points: &[(f64, f64)], figures: &mut Figures) {
    let Some(fit) = fit(points) else { return };
    figures.set(&format!("slope_{role}_{driver}"), fit.exponent);
    figures.set(&format!("residual_{role}_{driver}"), fit.residual);
    let points: Vec<String> = points.iter().map(|(x, y)| format!("{x:.0}: {y:.3}")).collect();
    let (power, residual, growth) = (fit.exponent, fit.residual, fit.growth);
    let points = points.join(", ");
    eprintln!(
        "capacity: {role} over {driver}: power {power:.2}, residual {residual:.3}, {growth:?} ({points})"
    );
}

fn cost_of(leader: &mut impl Leads, part: Part) -> leader::Cost {
    leader::cost(leader, &part.names(), PURGES * (size::MEMBERS / part.members()) as u64)
}

/// The leader of the service of purges, as it stood and as it stands.
fn leaders(parts: &[usize], quick: bool, figures: &mut Figures) {
    let (mut plain, mut direct, mut live) = (Vec::new(), Vec::new(), Vec::new());
    for part in parts.iter().map(|part| Part::one_of(*part)) {
        plain.push((part, cost_of(&mut leader::Plain::default(), part)));
        direct.push((part, cost_of(&mut leader::Live::default(), part)));
        let (cost, gatherer) = gathered::cost(part, PURGES * 20);
        figures.set("gatherer_core_share", gatherer);
        figures.set("left_open", cost.left_open as f64);
        live.push((part, cost));
    }
    // As it stood; with all members on the service itself; and gathered by site, which is the way in service.
    for (costs, end) in [(&plain, "_plain"), (&direct, "_direct"), (&live, "")] {
        let over = |of: &dyn Fn(&leader::Cost) -> f64| -> Vec<(f64, f64)> {
            costs.iter().map(|(part, cost)| (part.members() as f64, of(cost))).collect()
        };
        let us = over(&|cost| cost.us_a_purge);
        slope(&format!("leader{end}"), "members", &us, figures);
        slope(&format!("leader_core{end}"), "members", &over(&|cost| cost.core_share), figures);
        slope(&format!("writes{end}"), "members", &over(&|cost| cost.writes_a_purge), figures);
        if let Some(fit) = fit(&us) {
            figures.set(&format!("purge_cost_slope{end}"), fit.exponent);
        }
        if let Some((_, cost)) = costs.last() {
            figures.set(&format!("purge_us{end}"), cost.us_a_purge);
            figures.set(&format!("leader_core_share{end}"), cost.core_share);
            figures.set(&format!("writes_a_purge{end}"), cost.writes_a_purge);
            figures.set(&format!("syncs_a_purge{end}"), cost.syncs_a_purge);
            figures.set(&format!("log_bytes_a_purge{end}"), cost.write_bytes_a_purge);
            figures.set(&format!("leader_bytes_a_purge{end}"), cost.wire_bytes_a_purge);
        }
    }
    // In virtual time: the plain way at the largest size of the run.
    let largest = Part::one_of(*parts.last().unwrap_or(&1));
    let at_most = Duration::from_secs(if quick { 6 } else { 60 });
    let stretch = leader::stretch(&mut leader::Plain::default(), largest, STRETCH, at_most);
    figures.set("purge_done_ms_max_plain", stretch.done_ms_max);
    figures.set("purges_open_plain", stretch.open.last().copied().unwrap_or(0) as f64);
    figures.set("plain_fenced_at_end", stretch.fenced_at_end() as f64);
    figures.set("plain_stretch_s", stretch.seconds);
    figures.set("plain_holds", f64::from(u8::from(stretch.holds())));
    figures.set("plain_busy_share", stretch.busy_share);
    let word = if stretch.holds() { "holds" } else { "does not hold" };
    let (members, open) = (largest.members(), &stretch.open);
    eprintln!(
        "capacity: the plain way at {members} members {word}: {} of {} purges reported in {:.1} s, under way by the second {open:?}, members fenced {:?}",
        stretch.reported, stretch.submitted, stretch.seconds, stretch.fenced
    );
}

/// Runs a part of `slopes` in a process of its own.
fn run(name: &str, size: u64) -> Option<BTreeMap<String, f64>> {
    let own = std::env::current_exe().ok()?;
    let output = Command::new(own)
        .args(["part", name, &size.to_string()])
        .stdin(Stdio::null())
        .stderr(Stdio::inherit())
        .output()
        .ok()?;
    let found = serde_json::from_slice(&output.stdout).ok();
    if found.is_none() {
        eprintln!("capacity: part {name} at {size} gave no figures: {}", output.status);
    }
    found
}

/// A part at several sizes; those that gave nothing are left out.
struct Series(Vec<(f64, BTreeMap<String, f64>)>);

impl Series {
    fn of(name: &str, sizes: impl IntoIterator<Item = u64>) -> Series {
        Series(sizes.into_iter().filter_map(|size| Some((size as f64, run(name, size)?))).collect())
    }

    fn points(&self, key: &str) -> Vec<(f64, f64)> {
        self.0.iter().filter_map(|(size, found)| Some((*size, *found.get(key)?))).collect()
    }

    fn slope(&self, key: &str, role: &str, driver: &str, figures: &mut Figures) {
        slope(role, driver, &self.points(key), figures);
    }

    /// At the largest size.
    fn last(&self, key: &str, name: &str, figures: &mut Figures) {
        if let Some(value) = self.0.last().and_then(|(_, found)| found.get(key)).filter(|v| v.is_finite()) {
            figures.set(name, *value);
        }
    }
}

fn roles(parts: &[usize], figures: &mut Figures) {
    let shares = || parts.iter().map(|part| *part as u64);
    let sites = parts.iter().map(|part| Part::one_of(*part).sites as u64);
    let plans = Series::of("plans", sites.clone());
    for (key, role) in [
        ("of_ms", "plans"),
        ("again_ms", "plans_again"),
        ("beside_ms", "plans_beside"),
        ("hand_ms", "plans_handed"),
        ("bytes_a_place", "plan_bytes"),
    ] {
        plans.slope(key, role, "sites", figures);
        plans.last(key, key_of(key), figures);
    }
    plans.last("plans_a_place", "plans_a_place", figures);
    plans.last("bytes_a_place_max", "plan_bytes_a_place_max", figures);

    // Below the bound of the board, which folds past it.
    let board = Series::of("board", [500, 1_000, 2_000, 4_000]);
    board.slope("state_bytes", "board_state_bytes", "purges", figures);
    board.slope("whole_bytes", "board_whole_bytes", "purges", figures);
    board.slope("beat_us", "board_beat", "purges", figures);
    board.last("whole_bytes", "board_whole_bytes_4000", figures);
    board.last("state_bytes", "board_state_bytes_4000", figures);
    if let Some(found) = run("folds", 1) {
        found.get("folds").into_iter().for_each(|folds| figures.set("whole_folds", *folds));
        let bytes = found.get("router_line_bytes").into_iter();
        bytes.for_each(|bytes| figures.set("feed_bytes_a_second", bytes * size::PURGES_A_SECOND as f64));
    }
    let mut board = plain::Board::default();
    for n in 0..size::LIVE_PURGES {
        board.purge(n.wrapping_mul(0x9e37_79b9_7f4a_7c15), n * 1_000 / size::PURGES_A_SECOND);
        if n % size::PURGES_A_SECOND == 0 {
            board.beat(n * 1_000 / size::PURGES_A_SECOND);
        }
    }
    figures.set("whole_folds_plain", board.folds as f64);

    let live: Vec<u64> = shares().map(|part| size::LIVE_PURGES / part).collect();
    let index = Series::of("index", live.clone());
    index.slope("resident_bytes", "index_resident_bytes", "purges", figures);
    index.slope("bytes", "index_bytes", "purges", figures);
    index.slope("look_ns", "index_look", "purges", figures);
    index.last("resident_bytes", "index_resident_bytes", figures);
    index.last("bytes", "index_bytes", figures);
    index.last("look_ns", "index_look_ns", figures);

    let log = Series::of("log", live.clone());
    log.slope("reopen_ms", "log_reopen", "purges", figures);
    log.slope("take_up_ms", "log_take_up", "purges", figures);
    log.slope("bytes", "log_bytes", "purges", figures);
    log.last("reopen_ms", "log_reopen_ms", figures);
    log.last("take_up_ms", "log_take_up_ms", figures);
    log.last("whole_ms", "log_whole_ms", figures);

    catch_up(&live, figures);

    let record = Series::of("record", shares().map(|part| size::REQUESTS_A_ROUTER / part));
    for label in ["quiet", "purges"] {
        record.slope(
            &format!("bytes_a_second_{label}"),
            &format!("record_bytes_{label}"),
            "requests",
            figures,
        );
        record.last(&format!("bytes_a_second_{label}"), &format!("record_bytes_a_second_{label}"), figures);
        record.last(&format!("links_a_second_{label}"), &format!("record_links_a_second_{label}"), figures);
        record.last(&format!("core_share_{label}"), &format!("record_core_share_{label}"), figures);
    }

    let keeper = Series::of("keeper", shares().map(|part| (size::ROUTERS as u64).div_ceil(part)));
    keeper.slope("us_a_report", "keeper_report", "routers", figures);
    keeper.slope("core_share", "keeper_core", "routers", figures);
    keeper.slope("log_bytes_a_second", "keeper_disk", "routers", figures);
    for key in [
        "us_a_report",
        "core_share",
        "decide_share",
        "in_bytes_a_second",
        "log_bytes_a_second",
        "file_bytes_a_second",
        "resident_mb",
    ] {
        keeper.last(key, &format!("keeper_{key}"), figures);
    }

    let change = Series::of("change", sites);
    change.slope("first_ms", "change", "sites", figures);
    change.slope("reckoned_ms_a_change", "change_reckoned", "sites", figures);
    change.last("first_ms", "change_in_force_ms", figures);
    change.last("last_of_burst_ms", "change_in_force_ms_max", figures);
    change.last("reckoned_ms_a_change", "change_reckoned_ms", figures);
    change.last("day_share", "change_day_share", figures);

    // An hour, and a tenth of it more: regions lose each other for an hour now and then.
    let cut = run("cut", 66).unwrap_or_default();
    for key in ["copies_kept_after_cut", "cut_purged", "cut_bytes", "cut_behind"] {
        cut.get(key).into_iter().for_each(|value| figures.set(key, *value));
    }

    let walk = Series::of("walk", [62_500, 250_000, 1_000_000]);
    walk.slope("ms_a_second", "hub_purges", "copies", figures);
    walk.last("ms_a_second", "hub_purges_ms_a_second", figures);

    let core = Series::of("core", shares().map(|part| size::REQUESTS_A_ROUTER / part));
    core.slope("table_mb", "core_table", "requests", figures);
    core.slope("us_a_request", "core_request", "requests", figures);
    for key in ["table_mb", "us_a_request", "core_share", "late_growth_share", "virtual_s", "throttled_share"]
    {
        core.last(key, &format!("core_{key}"), figures);
    }
}

fn key_of(key: &str) -> &str {
    match key {
        "of_ms" => "plan_ms",
        "again_ms" => "plan_again_ms",
        "beside_ms" => "plan_beside_ms",
        "hand_ms" => "plan_handed_ms",
        "bytes_a_place" => "plan_bytes_a_place",
        other => other,
    }
}

/// What a member is told that was away for longer than what follows its number is kept: all that lives, as it stood and as
/// it stands.
fn catch_up(live: &[u64], figures: &mut Figures) {
    let told = |leader: &mut dyn FnMut(u64) -> usize| -> Vec<(f64, f64)> {
        live.iter().map(|purges| (*purges as f64, leader(*purges) as f64)).collect()
    };
    let plain = told(&mut |purges| leader::all(&mut leader::Plain::default(), purges));
    let now = told(&mut |purges| leader::all(&mut leader::Live::default(), purges));
    for (points, end) in [(plain, "_plain"), (now, "")] {
        slope(&format!("catch_up_bytes{end}"), "purges", &points, figures);
        points.last().into_iter().for_each(|(_, bytes)| figures.set(&format!("catch_up_bytes{end}"), *bytes));
    }
}

/// Questions between sites, counted from the code: a hub asks one hub of each other site at each beat of 100 ms, and a
/// branch's feed asks three hubs of each site every 200 ms.
fn looks(parts: &[usize], figures: &mut Figures) {
    let (mut hubs, mut feeds) = (Vec::new(), Vec::new());
    for part in parts.iter().map(|part| Part::one_of(*part)) {
        let sites = part.sites as f64;
        hubs.push((sites, part.hubs() as f64 * (sites - 1.0) * 10.0));
        feeds.push((sites, part.routers as f64 * sites * 3.0 * 5.0));
    }
    for (points, role) in [(hubs, "hub_looks"), (feeds, "feed_looks")] {
        slope(role, "sites", &points, figures);
        points.last().into_iter().for_each(|(_, many)| figures.set(&format!("{role}_a_second"), *many));
    }
}
