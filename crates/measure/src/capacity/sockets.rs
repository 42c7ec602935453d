//! The fleet on sockets, stretch by stretch: purges at the fleet's rate, a storm of them, a site that is cut off and comes
//! back, a quarter of all members that start anew at once, and a leader that is killed with purges under way.
use super::fleet::{Fleet, Pace, REAL_HUBS, Stretch, Topology};
use super::hollow::Order;
use super::real::{Hubs, Looked};
use super::size::{self, MEMBERS, PURGES_A_SECOND, Part, REGIONS};
use crate::Figures;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Times the usual rate in a storm.
const STORM: u64 = 10;

/// How long each stretch lasts.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub steady: Duration,
    pub storm: Duration,
    pub loss: Duration,
    /// Until all have caught up after whatever was done to them.
    pub back: Duration,
}

impl Times {
    /// The direct way is shown at a part of the size only, and shorter: it is there to be compared with.
    pub fn of(quick: bool, topology: Topology) -> Times {
        let times = |steady, storm, loss, back| {
            let s = Duration::from_secs;
            Times { steady: s(steady), storm: s(storm), loss: s(loss), back: s(back) }
        };
        match (quick, topology) {
            (true, _) => times(4, 2, 3, 5),
            (false, Topology::Direct) => times(30, 10, 8, 30),
            (false, Topology::Gathered) => times(30, 30, 12, 45),
        }
    }
}

/// What one fleet gave.
#[derive(Clone, Debug, Default)]
pub struct Found {
    pub members: usize,
    pub processes: usize,
    pub rig_mb: f64,
    pub real_processes: usize,
    /// What real hubs gave out after reports, while purges went on at the fleet's rate.
    pub looked: Option<Looked>,
    pub stretches: Vec<(&'static str, Stretch)>,
    pub wrongly_reached: Option<usize>,
    pub fenced_for: usize,
    pub lacked_most: usize,
    pub reports: usize,
    /// Until all had caught up after each of these.
    pub back_ms: Vec<(&'static str, f64)>,
    /// Times that not all had caught up; what would have come after it is left out.
    pub never_back: usize,
}

impl Found {
    /// A stretch that says something.
    pub fn of(&self, name: &str) -> Option<&Stretch> {
        self.stretches.iter().find(|(own, stretch)| *own == name && stretch.void.is_none()).map(|(_, s)| s)
    }
}

/// One fleet through all stretches. What was found up to a failure is kept, and the failure told.
pub fn run(part: Part, topology: Topology, binary: &Path, times: Times) -> (Found, Result<(), String>) {
    let mut found = Found { members: part.members(), ..Found::default() };
    let done = through(part, topology, binary, times, &mut found);
    (found, done)
}

fn through(
    part: Part,
    topology: Topology,
    binary: &Path,
    times: Times,
    found: &mut Found,
) -> Result<(), String> {
    let mut fleet = Fleet::launch(part, topology, binary, 17)?;
    found.processes = fleet.processes();
    let done = stretches(&mut fleet, part, times, found);
    // Whatever came of it, all reports are held against what every member had.
    let verdict =
        fleet.verdict().ok_or("steps of hollow members were lost: nothing can be said of reports")?;
    found.wrongly_reached = Some(verdict.wrongly_reached);
    (found.fenced_for, found.lacked_most, found.reports) =
        (verdict.fenced_for, verdict.lacked_most, verdict.reports);
    done
}

fn stretches(fleet: &mut Fleet, part: Part, times: Times, found: &mut Found) -> Result<(), String> {
    let usual = |lasts| Pace { a_second: PURGES_A_SECOND, lasts };
    found.stretches.push(("steady", fleet.play(usual(times.steady), "steady", None)?));
    found.rig_mb = fleet.resident_mb();
    found.processes = fleet.processes();
    found.real_processes = fleet.real_processes();
    let storm = Pace { a_second: PURGES_A_SECOND * STORM, lasts: times.storm };
    found.stretches.push(("storm", fleet.play(storm, "storm", None)?));
    back(fleet, "storm", times, found)?;

    let site = fleet.at_site(part.sites - 1);
    let mut cut = |fleet: &mut Fleet| drop(fleet.order(&site, Order::Cut));
    let stretch = fleet.play(usual(times.loss), "site", Some((times.loss / 4, &mut cut)))?;
    found.stretches.push(("site", stretch));
    fleet.order(&site, Order::Heal)?;
    back(fleet, "site", times, found)?;

    // A region's share of all, at once.
    let many = fleet.at_once((size::ROUTERS / REGIONS * part.members() / MEMBERS).max(1));
    let mut kill = |fleet: &mut Fleet| drop(fleet.order(&many, Order::Kill));
    let stretch = fleet.play(usual(times.loss), "zone", Some((times.loss / 4, &mut kill)))?;
    found.stretches.push(("zone", stretch));
    fleet.order(&many, Order::Start)?;
    back(fleet, "zone", times, found)?;

    let mut kill = |fleet: &mut Fleet| fleet.kill_leader(Duration::from_millis(1_000));
    let stretch = fleet.play(usual(times.loss), "leader", Some((times.loss / 4, &mut kill)))?;
    found.stretches.push(("leader", stretch));
    back(fleet, "leader", times, found)?;

    // Last of all: the verdict on reports knows hollow members alone, and has to know all that count.
    let mut hubs = Hubs::start(fleet, REAL_HUBS)?;
    (found.processes, found.real_processes) = (fleet.processes(), fleet.real_processes());
    let mut looked = Looked::default();
    let mut look = |fleet: &mut Fleet| {
        let Some(at) = fleet.speaks() else { return };
        looked = hubs.look(at, times.loss);
    };
    let stretch = fleet.play(usual(times.loss), "real", Some((Duration::ZERO, &mut look)))?;
    found.stretches.push(("real", stretch));
    found.looked = Some(looked).filter(|looked| looked.reports > 0);
    Ok(())
}

/// Waits until all have caught up.
fn back(fleet: &mut Fleet, after: &'static str, times: Times, found: &mut Found) -> Result<(), String> {
    match fleet.settled(times.back) {
        Ok(took) => {
            found.back_ms.push((after, took.as_secs_f64() * 1e3));
            Ok(())
        }
        Err(why) => {
            found.never_back += 1;
            Err(format!("after {after} not all had caught up: {why}"))
        }
    }
}

/// The way in service at the largest size, and the direct way at an eighth and a quarter.
pub fn measure(quick: bool, binary: &Path, figures: &mut Figures) {
    let in_service = Topology::in_service(binary);
    let mut runs: Vec<(Topology, usize)> = vec![(Topology::Direct, 8), (Topology::Direct, 4)];
    if in_service == Topology::Gathered {
        // Quick runs have a minute for everything.
        runs =
            if quick { vec![(in_service, 4)] } else { runs.into_iter().chain([(in_service, 1)]).collect() };
    }
    if quick && in_service == Topology::Direct {
        runs.truncate(1);
    }
    figures.set("disk_sync_ms_median", sync_ms());
    let (mut wrongly, mut judged, mut older) = (0, true, None);
    for (topology, part) in runs {
        let (found, done) = run(Part::one_of(part), topology, binary, Times::of(quick, topology));
        if let Err(why) = &done {
            eprintln!("capacity: {topology:?} at 1/{part}: {why}");
        }
        tell(topology, part, &found);
        judged &= found.wrongly_reached.is_some();
        wrongly += found.wrongly_reached.unwrap_or(0);
        older = found.looked.map(|looked| looked.older + older.unwrap_or(0)).or(older);
        let end = if topology == Topology::Direct { format!("_direct_{part}") } else { String::new() };
        set(&found, &end, figures);
    }
    if judged {
        figures.set("wrongly_reached", wrongly as f64);
    }
    older.into_iter().for_each(|older| figures.set("older_copies", older as f64));
    figures.set("purges_a_second", PURGES_A_SECOND as f64);
}

/// The fleet on sockets alone, one of so many parts of the size, gathered: to look at by itself.
pub fn part(part: usize, quick: bool) -> Option<BTreeMap<String, f64>> {
    let binary = crate::site::program().inspect_err(|why| eprintln!("capacity: {why}")).ok()?;
    let (found, done) =
        run(Part::one_of(part), Topology::Gathered, &binary, Times::of(quick, Topology::Gathered));
    if let Err(why) = &done {
        eprintln!("capacity: 1/{part}: {why}");
    }
    tell(Topology::Gathered, part, &found);
    let mut figures = Figures::new("capacity");
    set(&found, "", &mut figures);
    figures.set("wrongly_reached", found.wrongly_reached.map_or(f64::NAN, |wrongly| wrongly as f64));
    Some(figures.values().clone())
}

/// Time of a sync on the disk that the services' logs stand on: each record waits for it.
fn sync_ms() -> f64 {
    let scratch = crate::rig::Scratch::new();
    let folder = harestage_segments::Folder::open(&scratch.file("log")).expect("a folder");
    let (mut log, _) = harestage_segments::Log::open(folder, 8 << 20).expect("a log");
    let once = || {
        let begun = std::time::Instant::now();
        log.append(&[7; 100]).expect("room");
        log.sync().expect("it is kept");
        begun.elapsed().as_secs_f64() * 1e3
    };
    let mut took: Vec<f64> = std::iter::repeat_with(once).take(60).collect();
    crate::quantile(&mut took, 0.5)
}

fn set(found: &Found, end: &str, figures: &mut Figures) {
    if found.processes > 0 {
        figures.set(&format!("processes{end}"), found.processes as f64);
        figures.set(&format!("hollow_members{end}"), found.members as f64);
    }
    if found.real_processes > 0 {
        figures.set(&format!("real_processes{end}"), found.real_processes as f64);
    }
    if let Some(looked) = found.looked {
        figures.set(&format!("copies_looked_at{end}"), looked.copies as f64);
    }
    if found.rig_mb > 0.0 {
        figures.set(&format!("rig_mb{end}"), found.rig_mb);
    }
    for (stretch, name) in [
        ("steady", "purge_done_ms_max"),
        ("storm", "purge_done_ms_max_storm"),
        ("site", "purge_done_ms_max_site"),
        ("zone", "purge_done_ms_max_zone"),
        ("leader", "purge_done_ms_max_leader"),
    ] {
        let Some(found) = found.of(stretch).filter(|s| s.reported > 0) else { continue };
        figures.set(&format!("{name}{end}"), found.done_ms_max());
    }
    if let Some(steady) = found.of("steady") {
        figures.set(&format!("leader_socket_core_share{end}"), steady.leader_core_share);
        figures.set(&format!("leader_mb{end}"), steady.leader_mb);
        figures.set(&format!("leader_descriptors{end}"), steady.leader_descriptors as f64);
        figures.set(&format!("hollow_core_share{end}"), steady.hollow_core_share);
    }
    if let Some(storm) = found.of("storm") {
        figures.set(&format!("leader_socket_core_share_storm{end}"), storm.leader_core_share);
    }
    for (name, took) in &found.back_ms {
        figures.set(&format!("back_{name}_ms{end}"), *took);
    }
    // What a quarter of all members takes that start anew at once is what a region's return takes.
    if let Some((_, took)) = found.back_ms.iter().find(|(name, _)| *name == "zone").filter(|_| end.is_empty())
    {
        figures.set("catch_up_region_ms", *took);
    }
    figures.set(&format!("not_caught_up{end}"), found.never_back as f64);
    let unreported: usize = found.stretches.iter().map(|(_, stretch)| stretch.unreported).sum();
    figures.set(&format!("purges_unreported{end}"), unreported as f64);
    let void = found.stretches.iter().filter(|(_, stretch)| stretch.void.is_some()).count();
    figures.set(&format!("void_stretches{end}"), void as f64);
}

fn tell(topology: Topology, part: usize, found: &Found) {
    let (members, processes) = (found.members, found.processes);
    eprintln!(
        "capacity: {topology:?} at 1/{part}: {members} members in {processes} processes, {:.0} MB",
        found.rig_mb
    );
    for (name, stretch) in &found.stretches {
        if let Some(why) = &stretch.void {
            eprintln!("capacity: {topology:?} at 1/{part}, {name}: void, {why}");
        }
        let mut done = stretch.done_ms.clone();
        eprintln!(
            "capacity: {topology:?} at 1/{part}, {name}: {} of {} reported, done ms median {:.0} max {:.0}, {} with members fenced, leader {:.3} of a core, {:.0} MB, {} descriptors; hollow {:.2} cores",
            stretch.reported,
            stretch.submitted,
            crate::quantile(&mut done, 0.5),
            stretch.done_ms_max(),
            stretch.fenced,
            stretch.leader_core_share,
            stretch.leader_mb,
            stretch.leader_descriptors,
            stretch.hollow_core_share,
        );
    }
    if let Some(Looked { reports, older, copies }) = found.looked {
        eprintln!(
            "capacity: {topology:?} at 1/{part}: of {copies} copies of real hubs after {reports} reports {older} were older"
        );
    }
    let (wrongly, fenced, lacked) = (found.wrongly_reached, found.fenced_for, found.lacked_most);
    let reports = found.reports;
    eprintln!(
        "capacity: {topology:?} at 1/{part}: of {reports} reports wrongly reached {wrongly:?}, {fenced} with members fenced for it, {lacked} members at most lacked one; back in ms {:?}",
        found.back_ms
    );
}
