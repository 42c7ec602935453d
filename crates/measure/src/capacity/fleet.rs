//! A fleet of hollow members on loopback sockets: the service of purges as three processes of the program, gatherers where
//! the program has them, and processes of hollow members for all hubs and branch feeds. It submits purges at a pace of its
//! own, and holds each report against what every member had at that moment.
use super::hollow::{Did, Hollow, Order, Spec, Told};
use super::judge::{self, Verdict, judge};
use super::machine::{self, Asks, Held};
use super::size::Part;
use crate::purge::ask;
use crate::rig::{Scratch, free_address};
use async_io::Timer;
use harestage_fleet::mind::Minder;
use harestage_purge::messages::{Request, Response, to_line};
use harestage_purge::scope::Scope;
use harestage_sockets::Spawner;
use harestage_sockets::clock::Clock;
use harestage_sockets::lines::{LineReader, with_timeout};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{ChildStdout, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Members of the service of purges.
const SERVICES: usize = 3;
/// Hubs of the program that stand among the hollow members.
pub const REAL_HUBS: usize = 4;
/// Hollow members that one process hosts.
const A_PROCESS: usize = 224;
/// What a process of each kind is reckoned to take, in MB.
const SERVICE_MB: f64 = 200.0;
const GATHERER_MB: f64 = 20.0;
const HUB_MB: f64 = 100.0;
const HOLLOW_MB: f64 = 400.0;
/// Until all members follow.
const SETTLES_WITHIN: Duration = Duration::from_secs(60);
/// A purge that is not reported by then is given up.
const REPORTED_WITHIN: Duration = Duration::from_secs(20);
/// A generator that is later than this, or keeps up less than this part of its pace, makes a run void.
const LATE_MOST: Duration = Duration::from_millis(100);
const PACE_LEAST: f64 = 0.95;

/// Where members are sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topology {
    /// To the service itself.
    Direct,
    /// To two gatherers at their own site.
    Gathered,
}

impl Topology {
    /// The way in service: the program says whether it has gatherers.
    pub fn in_service(binary: &Path) -> Topology {
        let knows = Command::new(binary)
            .args(["gather", "--help"])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .status()
            .is_ok_and(|status| status.success());
        if knows { Topology::Gathered } else { Topology::Direct }
    }

    fn gatherers(self, part: Part) -> usize {
        match self {
            Topology::Direct => 0,
            Topology::Gathered => 2 * part.sites,
        }
    }
}

/// One process of the program, to be started again on its folder.
struct Process {
    words: Vec<String>,
    held: Option<Held>,
}

struct Hosts {
    held: Held,
    told: BufReader<ChildStdout>,
    /// Global numbers of its members.
    members: Vec<usize>,
    /// The lists of fenced members that it has told, by its own places.
    lists: Vec<judge::List>,
}

pub struct Fleet {
    part: Part,
    binary: PathBuf,
    minder: Minder,
    services: Vec<Process>,
    serves: Vec<SocketAddr>,
    gatherers: Vec<Process>,
    hubs: Vec<Held>,
    /// Where members of each site are sent to.
    by_site: Vec<Vec<SocketAddr>>,
    hosts: Vec<Hosts>,
    names: Vec<(String, usize)>,
    numbers: BTreeMap<String, usize>,
    clock: Clock,
    steps: Vec<judge::Step>,
    /// What each member has, and whom it takes nothing from, by the steps so far.
    has: Vec<Option<u64>>,
    fences: Vec<judge::List>,
    lists: judge::Lists,
    reports: Vec<judge::Report>,
    lost_steps: u64,
    scratch: Scratch,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for held in self.hubs.iter_mut().chain(self.hosts.iter_mut().map(|host| &mut host.held)) {
            held.kill();
        }
        for process in self.gatherers.iter_mut().chain(&mut self.services) {
            process.held.take().into_iter().for_each(|mut held| held.kill());
        }
    }
}

/// How purges are submitted for a stretch.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    pub a_second: u64,
    pub lasts: Duration,
}

/// What is done to a fleet while purges go on, and after how long.
pub type Meanwhile<'a> = (Duration, &'a mut dyn FnMut(&mut Fleet));

/// What came of a stretch.
#[derive(Clone, Debug, Default)]
pub struct Stretch {
    pub submitted: usize,
    pub reported: usize,
    /// Accepted, and never reported.
    pub unreported: usize,
    pub done_ms: Vec<f64>,
    /// Reports that name a member that was fenced.
    pub fenced: usize,
    pub leader_core_share: f64,
    pub leader_mb: f64,
    pub leader_descriptors: usize,
    pub hollow_core_share: f64,
    /// Why the stretch says nothing: its own generator did not keep up.
    pub void: Option<String>,
}

impl Stretch {
    pub fn done_ms_max(&self) -> f64 {
        self.done_ms.iter().copied().fold(0.0, f64::max)
    }
}

struct Done {
    number: u64,
    at: u64,
    took_ms: f64,
    fenced: bool,
}

fn own_words(words: &[String]) -> Vec<String> {
    ["--log", "json"].iter().map(|word| word.to_string()).chain(words.iter().cloned()).collect()
}

impl Fleet {
    /// Starts everything, and waits until all follow. Nothing is started where it would be too much for the machine.
    pub fn launch(part: Part, topology: Topology, binary: &Path, seed: u64) -> Result<Fleet, String> {
        let names = part.names();
        let hosts = names.len().div_ceil(A_PROCESS);
        let gatherers = topology.gatherers(part);
        let asks = Asks {
            processes: SERVICES + gatherers + REAL_HUBS + hosts + 1,
            mb: SERVICES as f64 * SERVICE_MB
                + gatherers as f64 * GATHERER_MB
                + REAL_HUBS as f64 * HUB_MB
                + hosts as f64 * HOLLOW_MB,
        };
        asks.borne_by(machine::this_machine_mb()).map_err(|why| why.to_string())?;
        let scratch = Scratch::new();
        let serves: Vec<SocketAddr> = (0..SERVICES).map(|_| free_address()).collect();
        let inner: Vec<SocketAddr> = (0..SERVICES).map(|_| free_address()).collect();
        let services = (0..SERVICES).map(|n| service(n, &serves, &inner, &scratch)).collect();
        let (mut by_site, mut gatherers) = (vec![serves.clone(); part.sites], Vec::new());
        if topology == Topology::Gathered {
            for (site, own) in by_site.iter_mut().enumerate() {
                *own = vec![free_address(), free_address()];
                gatherers.extend(own.iter().enumerate().map(|(n, at)| gatherer(site, n, *at, &serves)));
            }
        }
        let numbers = names.iter().enumerate().map(|(n, (name, _))| (name.clone(), n)).collect();
        let mut fleet = Fleet {
            part,
            binary: binary.into(),
            minder: Minder::start(binary)?,
            services,
            serves,
            gatherers,
            hubs: Vec::new(),
            by_site,
            hosts: Vec::new(),
            has: vec![None; names.len()],
            fences: vec![judge::List::default(); names.len()],
            lists: judge::Lists::default(),
            names,
            numbers,
            clock: Clock::start(),
            steps: Vec::new(),
            reports: Vec::new(),
            lost_steps: 0,
            scratch,
        };
        (0..SERVICES).try_for_each(|n| fleet.start_service(n))?;
        for n in 0..fleet.gatherers.len() {
            let words = fleet.gatherers[n].words.clone();
            fleet.gatherers[n].held = Some(fleet.start(&words)?);
        }
        fleet.leader(SETTLES_WITHIN).ok_or("no member of the service of purges leads")?;
        // Members of one site stand in one process where they have room there.
        let mut order: Vec<usize> = (0..fleet.names.len()).collect();
        order.sort_by_key(|n| (fleet.names[*n].1, *n));
        for (n, members) in order.chunks(A_PROCESS).enumerate() {
            let host = fleet.start_host(members, seed + n as u64)?;
            fleet.hosts.push(host);
        }
        fleet.settled_first(SETTLES_WITHIN)?;
        Ok(fleet)
    }

    fn start(&mut self, words: &[String]) -> Result<Held, String> {
        let mut command = Command::new(&self.binary);
        command.args(words).stdout(Stdio::null()).stderr(Stdio::null());
        command.process_group(self.minder.group());
        let held = Held::start(&mut command).map_err(|why| format!("{}: {why}", self.binary.display()))?;
        Ok(held)
    }

    fn start_service(&mut self, n: usize) -> Result<(), String> {
        let words = self.services[n].words.clone();
        self.services[n].held = Some(self.start(&words)?);
        Ok(())
    }

    fn start_host(&mut self, members: &[usize], seed: u64) -> Result<Hosts, String> {
        let hollow = |n: &usize| {
            let (name, site) = &self.names[*n];
            Hollow { name: name.clone(), services: self.by_site[*site].clone() }
        };
        let spec = Spec { members: members.iter().map(hollow).collect(), seed, clock_off_ms: 0 };
        let spec = serde_json::to_string(&spec).unwrap_or_default();
        let own = std::env::current_exe().map_err(|why| why.to_string())?;
        let mut command = Command::new(own);
        command.args(["hollow", &spec]).stdout(Stdio::piped());
        let mut held = Held::start(&mut command).map_err(|why| why.to_string())?;
        let told = held.child().stdout.take().ok_or("no output of a process of hollow members")?;
        Ok(Hosts { held, told: BufReader::new(told), members: members.to_vec(), lists: Vec::new() })
    }

    /// Starts a hub from the text of its file.
    pub fn start_hub(&mut self, name: &str, file: &str) -> Result<(), String> {
        let path = self.scratch.file(&format!("{name}.json"));
        std::fs::write(&path, file).map_err(|why| format!("{}: {why}", path.display()))?;
        let held = self.start(&own_words(&["hub".into(), path.display().to_string()]))?;
        self.hubs.push(held);
        Ok(())
    }

    /// Where members of that site are sent to; sites are counted round.
    pub fn services_at(&self, site: usize) -> &[SocketAddr] {
        &self.by_site[site % self.by_site.len()]
    }

    /// The address of the member of the service that speaks for it.
    pub fn speaks(&self) -> Option<SocketAddr> {
        self.leader(SETTLES_WITHIN).map(|n| self.serves[n])
    }

    pub fn processes(&self) -> usize {
        self.real_processes() + self.hosts.len() + 1
    }

    /// Processes of the program itself.
    pub fn real_processes(&self) -> usize {
        self.services.len() + self.gatherers.len() + self.hubs.len()
    }

    /// What all processes of the rig hold.
    pub fn resident_mb(&self) -> f64 {
        let ids = self.services.iter().chain(&self.gatherers).filter_map(|p| Some(p.held.as_ref()?.id()));
        let ids = ids.chain(self.hubs.iter().map(Held::id));
        let ids = ids.chain(self.hosts.iter().map(|host| host.held.id()));
        ids.filter_map(machine::resident_mb).sum::<f64>()
            + machine::resident_mb(std::process::id()).unwrap_or(0.0)
    }

    /// The member of the service that speaks for it.
    fn leader(&self, within: Duration) -> Option<usize> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            for (n, at) in self.serves.iter().enumerate() {
                if self.services[n].held.is_some()
                    && matches!(ask(*at, &Request::Status), Some(Response::Status(_)))
                {
                    return Some(n);
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Asks all processes of hollow members for what they did.
    pub fn hear(&mut self) -> Result<(), String> {
        let tell = to_line(&Order::Tell);
        for host in &mut self.hosts {
            host.held.say(&tell).map_err(|why| format!("a process of hollow members: {why}"))?;
        }
        for host in &mut self.hosts {
            let mut text = String::new();
            host.told.read_line(&mut text).map_err(|why| why.to_string())?;
            let told: Told = serde_json::from_str(&text).map_err(|why| format!("steps: {why}"))?;
            self.lost_steps += told.lost;
            for list in told.lists {
                let list = list.iter().filter_map(|name| self.numbers.get(name).copied()).collect();
                host.lists.push(self.lists.place(list));
            }
            for step in told.steps {
                let member = host.members[step.member];
                let did = match step.what {
                    Did::Has(number) => judge::Did::Has(number),
                    Did::Gone => judge::Did::Gone,
                    Did::Fences(list) => match host.lists.get(list as usize) {
                        Some(list) => judge::Did::Fences(*list),
                        None => return Err(format!("list {list} of fenced members was not told")),
                    },
                };
                match did {
                    judge::Did::Has(number) => self.has[member] = Some(number),
                    judge::Did::Gone => {
                        (self.has[member], self.fences[member]) = (None, judge::List::default())
                    }
                    judge::Did::Fences(list) => self.fences[member] = list,
                }
                self.steps.push(judge::Step { at: step.at, member, did });
            }
        }
        Ok(())
    }

    /// Waits until all members have the same, and nobody is fenced; how long that took, or who is behind.
    pub fn settled(&mut self, within: Duration) -> Result<Duration, String> {
        let begun = Instant::now();
        loop {
            self.hear()?;
            let most = self.has.iter().flatten().max().copied().unwrap_or(0);
            let behind: Vec<usize> = (0..self.has.len()).filter(|n| self.has[*n] != Some(most)).collect();
            let lists: BTreeSet<judge::List> = self.fences.iter().copied().collect();
            let fenced: BTreeSet<usize> =
                lists.iter().flat_map(|list| self.lists.at(*list)).copied().collect();
            if most > 0 && behind.is_empty() && fenced.is_empty() {
                return Ok(begun.elapsed());
            }
            if begun.elapsed() >= within {
                let least = behind.iter().map(|n| self.has[*n].unwrap_or(0)).min().unwrap_or(most);
                let names: Vec<&str> =
                    behind.iter().chain(&fenced).take(4).map(|n| self.names[*n].0.as_str()).collect();
                return Err(format!(
                    "after {} s {} of {} members are behind {most}, the last at {least}, and {} are fenced: {}",
                    within.as_secs(),
                    behind.len(),
                    self.has.len(),
                    fenced.len(),
                    names.join(" ")
                ));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// At first there may be no number yet: it is enough that all serve.
    fn settled_first(&mut self, within: Duration) -> Result<(), String> {
        let begun = Instant::now();
        while begun.elapsed() < within {
            self.hear()?;
            if self.has.iter().all(Option::is_some) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        let missing = self.has.iter().filter(|has| has.is_none()).count();
        Err(format!("{missing} of {} members did not follow in time", self.has.len()))
    }

    /// Tells the processes that host these members something of them.
    pub fn order(&mut self, members: &[usize], of: impl Fn(Vec<usize>) -> Order) -> Result<(), String> {
        let wanted: BTreeSet<usize> = members.iter().copied().collect();
        for host in &mut self.hosts {
            let own: Vec<usize> =
                (0..host.members.len()).filter(|n| wanted.contains(&host.members[*n])).collect();
            if !own.is_empty() {
                host.held.say(&to_line(&of(own))).map_err(|why| why.to_string())?;
            }
        }
        Ok(())
    }

    /// All members at a site.
    pub fn at_site(&self, site: usize) -> Vec<usize> {
        (0..self.names.len()).filter(|n| self.names[*n].1 == site).collect()
    }

    /// So many members, those of whole sites first.
    pub fn at_once(&self, many: usize) -> Vec<usize> {
        (0..self.part.sites).flat_map(|site| self.at_site(site)).take(many).collect()
    }

    /// Submits purges at a pace, and waits for all their reports. `meanwhile` is called once, that long after the begin.
    pub fn play(&mut self, pace: Pace, key: &str, meanwhile: Option<Meanwhile>) -> Result<Stretch, String> {
        let leads = self.leader(SETTLES_WITHIN).ok_or("no member of the service of purges leads")?;
        let id = self.services[leads].held.as_ref().map(Held::id).ok_or("the leader is gone")?;
        let hollow = |fleet: &Fleet| -> f64 {
            fleet.hosts.iter().filter_map(|host| machine::cpu_ms(host.held.id())).sum()
        };
        let (cpu, hollow_cpu, begun) = (machine::cpu_ms(id), hollow(self), Instant::now());
        let (serves, clock, own_key) = (self.serves.clone(), self.clock, key.to_string());
        let generator = std::thread::spawn(move || generate(serves, pace, clock, &own_key));
        if let Some((after, what)) = meanwhile {
            std::thread::sleep(after);
            what(self);
        }
        std::thread::sleep(pace.lasts.saturating_sub(begun.elapsed()));
        let took_ms = begun.elapsed().as_secs_f64() * 1e3;
        let mut stretch = Stretch::default();
        // A leader that was ended meanwhile has no figures.
        if let (Some(before), Some(after)) = (cpu, machine::cpu_ms(id)) {
            stretch.leader_core_share = (after - before) / took_ms;
        }
        stretch.hollow_core_share = (hollow(self) - hollow_cpu) / took_ms;
        stretch.leader_mb = machine::resident_mb(id).unwrap_or(0.0);
        stretch.leader_descriptors = machine::descriptors(id).unwrap_or(0);
        let generated = generator.join().map_err(|_| "the generator failed")?;
        stretch.submitted = generated.submitted;
        stretch.reported = generated.done.len();
        stretch.unreported = generated.unreported;
        stretch.fenced = generated.done.iter().filter(|done| done.fenced).count();
        stretch.done_ms = generated.done.iter().map(|done| done.took_ms).collect();
        stretch.void = generated.void;
        let reports = generated.done.iter().map(|done| judge::Report { at: done.at, number: done.number });
        self.reports.extend(reports);
        Ok(stretch)
    }

    /// Kills the member of the service that leads, and starts it again after a while.
    pub fn kill_leader(&mut self, away: Duration) {
        let Some(leads) = self.leader(SETTLES_WITHIN) else { return };
        if let Some(mut held) = self.services[leads].held.take() {
            held.kill();
        }
        std::thread::sleep(away);
        if let Err(why) = self.start_service(leads) {
            eprintln!("capacity: {why}");
        }
    }

    /// All reports so far against all steps. None: steps were lost, and nothing can be said.
    pub fn verdict(&mut self) -> Option<Verdict> {
        self.hear().ok()?;
        (self.lost_steps == 0).then(|| judge(&self.lists, self.steps.clone(), self.reports.clone()))
    }
}

fn service(n: usize, serves: &[SocketAddr], inner: &[SocketAddr], scratch: &Scratch) -> Process {
    let name = |n: usize| format!("purges-{}", n + 1);
    let folder = scratch.file(&name(n));
    let mut words = vec![
        "purges".to_string(),
        "--listen".into(),
        serves[n].to_string(),
        "--folder".into(),
        folder.display().to_string(),
        "--member".into(),
        name(n),
        "--group-listen".into(),
        inner[n].to_string(),
    ];
    for other in 0..serves.len() {
        let peer = format!("{}=site-{other}", name(other));
        let each =
            [("--peer", peer), ("--at", inner[other].to_string()), ("--serves", serves[other].to_string())];
        words.extend(each.into_iter().flat_map(|(word, value)| [word.to_string(), value]));
    }
    Process { words: own_words(&words), held: None }
}

fn gatherer(site: usize, n: usize, at: SocketAddr, serves: &[SocketAddr]) -> Process {
    let mut words: Vec<String> = vec![
        "gather".into(),
        "--name".into(),
        format!("gather-{site}-{n}"),
        "--listen".into(),
        at.to_string(),
    ];
    words.extend(serves.iter().flat_map(|at| ["--purges".to_string(), at.to_string()]));
    Process { words: own_words(&words), held: None }
}

#[derive(Default)]
struct Generated {
    submitted: usize,
    unreported: usize,
    done: Vec<Done>,
    void: Option<String>,
}

/// Open loop: a purge is submitted when it is due, however many are under way.
fn generate(serves: Vec<SocketAddr>, pace: Pace, clock: Clock, key: &str) -> Generated {
    let spawner = Spawner::default();
    let generated = Rc::new(RefCell::new(Generated::default()));
    let serves = Rc::new(serves);
    let outcome = generated.clone();
    let key = key.to_string();
    spawner.clone().block_on(async move {
        let many = (pace.a_second as f64 * pace.lasts.as_secs_f64()) as u64;
        let (begun, mut latest) = (Instant::now(), Duration::ZERO);
        let mut under_way = Vec::new();
        for n in 0..many {
            let due = begun + Duration::from_secs_f64(n as f64 / pace.a_second as f64);
            Timer::at(due).await;
            latest = latest.max(due.elapsed());
            let (serves, generated, key) = (serves.clone(), outcome.clone(), format!("{key}-{n}"));
            generated.borrow_mut().submitted += 1;
            under_way.push(spawner.spawn_with_handle(async move {
                match one(&serves, n, &key, due, clock).await {
                    Some(done) => generated.borrow_mut().done.push(done),
                    None => generated.borrow_mut().unreported += 1,
                }
            }));
        }
        let pace_kept =
            pace.lasts.as_secs_f64() / begun.elapsed().as_secs_f64().max(pace.lasts.as_secs_f64());
        if latest > LATE_MOST || pace_kept < PACE_LEAST {
            let why = format!(
                "the generator was {} ms late and kept {pace_kept:.3} of its pace",
                latest.as_millis()
            );
            outcome.borrow_mut().void = Some(why);
        }
        for task in under_way {
            task.await;
        }
    });
    Rc::try_unwrap(generated).map(RefCell::into_inner).unwrap_or_default()
}

/// Submits one purge and waits for its report, wherever the service is spoken for meanwhile.
async fn one(serves: &[SocketAddr], n: u64, key: &str, due: Instant, clock: Clock) -> Option<Done> {
    let mut at = 0;
    let scope = Scope::Object(format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    let mut number = None;
    while due.elapsed() < REPORTED_WITHIN {
        let asked = match number {
            None => Request::Submit { scope: scope.clone(), tenant: n as u32 % 50, key: key.into() },
            Some(number) => Request::Wait { number },
        };
        let answer = call(serves[at % serves.len()], &asked).await;
        match answer {
            Some(Response::Accepted { number: given, .. }) => number = Some(given),
            Some(Response::Report(report)) => {
                let at = clock.now().micros();
                let took_ms = due.elapsed().as_secs_f64() * 1e3;
                let fenced = !report.fenced.is_empty();
                return Some(Done { number: report.number, at, took_ms, fenced });
            }
            Some(Response::NotLeader { leader: Some(other) }) => {
                let told = serves.iter().position(|at| at.to_string() == other);
                at = told.unwrap_or(at + 1);
                Timer::after(Duration::from_millis(5)).await;
            }
            _ => {
                at += 1;
                Timer::after(Duration::from_millis(40)).await;
            }
        }
    }
    None
}

async fn call(at: SocketAddr, call: &Request) -> Option<Response> {
    let connect = Duration::from_millis(500);
    let stream = harestage_following::subscribe(at, &to_line(call), connect).await.ok()?;
    let mut lines = LineReader::new(&stream, 1 << 20);
    let answer = with_timeout(REPORTED_WITHIN, "no answer", lines.next_line()).await.ok()?;
    serde_json::from_slice(&answer).ok()
}
