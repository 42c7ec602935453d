//! A fleet that runs: everything that a scenario names, from the first start to the last end.
use crate::conditions::Conditions;
use crate::disk::{FAILING, FULL};
use crate::links::{Links, Table};
use crate::mind::Minder;
use crate::places::Places;
use crate::process::{Common, Process};
use crate::scenario::{Act, Runs, Scenario, WayForm};
use crate::timeline::{Entry, Timeline};
use crate::timetable::Timetable;
use crate::verdict::{self, Verdict};
use crate::whose::Whose;
use rustix::process::Signal;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// How often processes are looked after.
const LOOK: Duration = Duration::from_millis(5);
/// What was told to end has so long for it at the end of a play.
const ENDS_WITHIN: Duration = Duration::from_secs(10);
/// Lines of the timeline that a failure shows.
const SHOWN: usize = 120;

pub struct Fleet {
    scenario: Scenario,
    common: Common,
    table: Arc<Table>,
    minder: Minder,
    processes: Vec<Process>,
    timetable: Timetable,
    /// Lines that the timetable has heard.
    heard: usize,
    ended: Vec<String>,
    links: Option<Links>,
    folder: PathBuf,
    begun: Instant,
    judged: bool,
}

impl Fleet {
    /// Starts all that starts at once. `binary` is the program; nothing has started where this returns an error.
    pub fn launch(scenario: Scenario, binary: &Path) -> Result<Fleet, String> {
        scenario.check().map_err(|why| why.to_string())?;
        let folder = scratch()?;
        let places = Places::take(&scenario)?;
        let whose = Arc::new(Whose::default());
        let table = Table::new(Conditions::of(&scenario), whose.clone());
        let links = Some(Links::open(places.links(), table.clone())?);
        let timeline = Arc::new(Timeline::default());
        let common = Common { binary: binary.to_path_buf(), places, timeline, whose };
        let minder = Minder::start(binary)?;
        let processes = scenario.processes.iter().map(|form| Process::new(form, &folder));
        let processes = processes.collect::<Result<_, _>>()?;
        let timetable = Timetable::of(&scenario.faults);
        let (heard, ended, begun, judged) = (0, Vec::new(), Instant::now(), false);
        let mut fleet = Fleet {
            scenario,
            common,
            table,
            minder,
            processes,
            timetable,
            heard,
            ended,
            links,
            folder,
            begun,
            judged,
        };
        fleet.common.timeline.begin();
        fleet.start_those(|starts_ms| starts_ms == 0)?;
        Ok(fleet)
    }

    fn start_those(&mut self, meant: impl Fn(u64) -> bool) -> Result<(), String> {
        let meant = |p: &&mut Process| meant(p.form.starts_ms);
        let mut due = self.processes.iter_mut().filter(meant);
        due.try_for_each(|p| p.start(&self.common, &self.minder))
    }

    pub fn timeline(&self) -> &Timeline {
        &self.common.timeline
    }

    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// Where others reach a process, as `@NAME` or `@NAME/PORT` says it in a scenario.
    pub fn address(&self, text: &str) -> Option<SocketAddr> {
        self.common.places.text(text).parse().ok()
    }

    /// Processes that run now.
    pub fn running(&self) -> usize {
        self.processes.iter().filter(|p| p.id().is_some()).count()
    }

    /// Does what a fault says, now.
    pub fn act(&mut self, act: &Act) {
        let timeline = self.common.timeline.clone();
        match act {
            Act::Way(way) => self.table.change(|ways| ways.set(way.clone())),
            Act::Heal { from, to } => self.table.change(|ways| ways.heal(from, to)),
            Act::Kill(whom) => self.kill(whom),
            Act::Stop(whom) => self.each(whom, |p, _, _| {
                p.signal(Signal::STOP);
            }),
            Act::Wake(whom) => self.each(whom, |p, _, _| {
                p.signal(Signal::CONT);
            }),
            Act::End(whom) => self.each(whom, |p, _, _| {
                p.signal(Signal::TERM);
            }),
            Act::Start(whom) => self.each(whom, |p, common, minder| {
                if let Err(why) = p.start(common, minder) {
                    timeline.note("not started", &[("why", why.into())]);
                }
            }),
            Act::LoseDisk(whom) => self.disks(whom, |p| p.disk.lose()),
            Act::FillDisk(whom) => self.disks(whom, |p| p.disk.set_state(Some(FULL))),
            Act::FailDisk(whom) => self.disks(whom, |p| p.disk.set_state(Some(FAILING))),
            Act::MendDisk(whom) => self.disks(whom, |p| p.disk.set_state(None)),
        }
    }

    fn each(&mut self, whom: &str, mut act: impl FnMut(&mut Process, &Common, &Minder)) {
        let meant: Vec<String> = self.scenario.meant(whom).iter().map(|p| p.name.clone()).collect();
        let meant = |p: &&mut Process| meant.contains(&p.form.name);
        self.processes.iter_mut().filter(meant).for_each(|p| act(p, &self.common, &self.minder));
    }

    /// All signals go out before anyone is waited for: those that are killed together die together.
    fn kill(&mut self, whom: &str) {
        self.each(whom, |p, _, _| {
            p.signal(Signal::KILL);
        });
        let timeline = self.common.timeline.clone();
        self.each(whom, |p, common, _| {
            p.kill(common);
            match p.disk.fall_back() {
                Ok(true) => timeline.note("disk fell back", &[("process", p.form.name.as_str().into())]),
                Ok(false) => {}
                Err(why) => timeline.note("disk not laid anew", &[("why", why.to_string().into())]),
            }
        });
    }

    fn disks(&mut self, whom: &str, change: impl Fn(&mut Process) -> std::io::Result<()>) {
        let timeline = self.common.timeline.clone();
        self.each(whom, |p, _, _| {
            if let Err(why) = change(p) {
                let fields =
                    [("process", Value::from(p.form.name.as_str())), ("why", why.to_string().into())];
                timeline.note("disk not changed", &fields);
            }
        });
    }

    pub fn kill_now(&mut self, whom: &str) {
        self.act(&Act::Kill(whom.into()));
    }

    pub fn start_now(&mut self, whom: &str) {
        self.act(&Act::Start(whom.into()));
    }

    pub fn set_way(&mut self, way: WayForm) {
        self.act(&Act::Way(way));
    }

    pub fn heal(&mut self, from: &str, to: &str) {
        self.act(&Act::Heal { from: from.into(), to: to.into() });
    }

    /// The disk of a process that does not run, for tests that keep an old one.
    pub fn disk(&self, process: &str) -> Option<&crate::disk::Disk> {
        self.processes.iter().find(|p| p.form.name == process).map(|p| &p.disk)
    }

    /// Waits for a line that fits, said before or from now on; faults that fall due meanwhile come.
    pub fn wait_for(&mut self, within: Duration, fits: impl Fn(&Entry) -> bool) -> Option<Entry> {
        let (until, mut seen) = (Instant::now() + within, 0);
        loop {
            self.turn();
            let new = self.common.timeline.after(seen, LOOK);
            if let Some(found) = new.iter().find(|entry| fits(entry)) {
                return Some(found.clone());
            }
            seen += new.len();
            if Instant::now() >= until {
                return None;
            }
        }
    }

    /// Plays on for so long.
    pub fn play_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.turn();
            std::thread::sleep(LOOK.min(until.saturating_duration_since(Instant::now())));
        }
    }

    /// Late starts, faults that are due, and those that ended.
    fn turn(&mut self) {
        let now_ms = self.begun.elapsed().as_millis() as u64;
        let late: Vec<String> = {
            let due = |p: &&Process| p.form.starts_ms > 0 && p.form.starts_ms <= now_ms;
            let new = |p: &&Process| p.id().is_none() && !p.was_told() && !self.ended.contains(&p.form.name);
            self.processes.iter().filter(due).filter(new).map(|p| p.form.name.clone()).collect()
        };
        late.iter().for_each(|name| self.start_now(name));
        let new = self.common.timeline.after(self.heard, Duration::ZERO);
        self.heard += new.len();
        new.iter().for_each(|entry| self.timetable.hear(entry));
        for (number, act) in self.timetable.due(self.common.timeline.now_ms() as u64) {
            let what = serde_json::to_value(&act).unwrap_or_default();
            self.common.timeline.note("fault", &[("number", number.into()), ("what", what)]);
            self.act(&act);
        }
        for process in &mut self.processes {
            let Some(how) = process.look(&self.common) else { continue };
            let name = process.form.name.clone();
            let fields = [("process", Value::from(name.as_str())), ("how", how.into())];
            self.common.timeline.note("ended", &fields);
            // Stand-ins end when their script does.
            if !process.was_told() && process.form.runs != Runs::Standin {
                self.ended.push(name);
            }
        }
    }

    /// Plays to the scenario's end, ends everything with SIGTERM, and judges.
    pub fn play(&mut self) -> Verdict {
        let all = Duration::from_millis(self.scenario.lasts_ms);
        self.play_for(all.saturating_sub(self.begun.elapsed()));
        self.finish()
    }

    /// Ends everything now, with SIGTERM, and judges.
    pub fn finish(&mut self) -> Verdict {
        self.end_all();
        self.judge()
    }

    /// SIGTERM to clients first, so that they say what came of their last downloads while there is somebody to answer,
    /// then to the program's own processes, and to stand-ins last.
    fn end_all(&mut self) {
        let turn = |p: &Process| match p.form.runs {
            Runs::Standin if p.form.file.contains_key("crowds") => 0,
            Runs::Standin => 3,
            // It hears the last words of all others.
            Runs::Keeper => 2,
            _ => 1,
        };
        for now in 0..4 {
            for process in self.processes.iter_mut().filter(|p| turn(p) == now) {
                process.signal(Signal::CONT);
                process.signal(Signal::TERM);
            }
            let until = Instant::now() + ENDS_WITHIN;
            let left = |fleet: &Fleet| fleet.processes.iter().any(|p| turn(p) == now && p.id().is_some());
            while left(self) && Instant::now() < until {
                self.turn();
                std::thread::sleep(LOOK);
            }
        }
        for process in &mut self.processes {
            process.kill(&self.common);
        }
    }

    fn judge(&mut self) -> Verdict {
        let entries = self.common.timeline.all();
        let findings = self.scenario.expects.iter().map(|expect| verdict::find(expect, &entries)).collect();
        self.judged = true;
        Verdict {
            scenario: self.scenario.name.clone(),
            processes: self.scenario.processes.len(),
            findings,
            never_came: self.timetable.never_came(),
            ended_by_themselves: self.ended.clone(),
        }
    }

    /// The lines of the second before a moment and a little after it.
    pub fn around(&self, at_ms: f64) -> String {
        self.common.timeline.around(at_ms, 1_500.0, 300.0, SHOWN)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let now = self.common.timeline.now_ms();
            eprintln!("the last lines of scenario {}:\n{}", self.scenario.name, self.around(now));
        }
        for process in &mut self.processes {
            process.signal(Signal::KILL);
        }
        for process in &mut self.processes {
            process.kill(&self.common);
        }
        drop(self.links.take());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A folder for one play, gone with it.
fn scratch() -> Result<PathBuf, String> {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("harestage-fleet-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&path).map_err(|why| format!("{}: {why}", path.display()))?;
    Ok(path)
}
