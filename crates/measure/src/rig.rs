//! Hubs, a control service and an archive on loopback, each on threads of its own, to be started, killed and cut off.
use async_channel::{Receiver, Sender};
use harestage_control::serve::Keeper;
use harestage_hub::net::Hub;
use harestage_hub::start::{ContentFile, HubFile, HubStart};
use harestage_shape::config::{ArchiveConfig, HubConfig, ShapeConfig};
use harestage_shape::control::{ChangeEvent, Status};
use harestage_shape::messages::{Request, Response, encode_line};
use harestage_standins::Archive;
use slog::{Discard, Logger, o};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Something that runs on a thread of its own until it is told to end.
pub struct Running {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    /// Runs something that is told to stop, on a thread of its own, with a file or folder of its own.
    pub fn of(run: impl FnOnce(Receiver<()>, PathBuf, Logger) + Send + 'static, path: &Path) -> Running {
        let (stop, stopped) = async_channel::bounded(1);
        let path = path.to_path_buf();
        let thread = std::thread::spawn(move || run(stopped, path, quiet()));
        Running { stop: Some(stop), thread: Some(thread) }
    }

    /// Ends it. Its sockets close with it, as those of a process that is killed do.
    pub fn kill(&mut self) {
        drop(self.stop.take());
        self.thread.take().into_iter().for_each(|thread| drop(thread.join()));
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A loopback address that nobody else of this process is given; the port is free when this returns.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let pid = u64::from(std::process::id());
    let host = format!("127.{}.{}.{}:0", 80 + pid % 100, n / 250 % 250, 2 + n % 250);
    let listener = TcpListener::bind(&host).expect("loopback has room");
    listener.local_addr().expect("it is bound")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn quiet() -> Logger {
    Logger::root(Discard, o!())
}

/// Starts a hub; `shape` is what it knows before the service tells it anything.
pub fn start_hub(
    name: &str,
    listen: SocketAddr,
    control: Option<SocketAddr>,
    shape: Option<ShapeConfig>,
) -> Running {
    start_hub_as(name, listen, control, shape, true)
}

/// The same; `hands_over` is no for the way that others are measured against.
pub fn start_hub_as(
    name: &str,
    listen: SocketAddr,
    control: Option<SocketAddr>,
    shape: Option<ShapeConfig>,
    hands_over: bool,
) -> Running {
    let file =
        HubFile { control: control.map(|control| control.to_string()), shape, ..hub_file(name, listen) };
    run_hub(HubStart { hands_over, ..file.checked().expect("the rig's files are right") })
}

/// A hub that hears of purges from a control feed.
pub fn start_hub_with_feed(name: &str, listen: SocketAddr, shape: ShapeConfig, feed: SocketAddr) -> Running {
    let file = HubFile { shape: Some(shape), feed: Some(feed.to_string()), ..hub_file(name, listen) };
    run_hub(file.checked().expect("the rig's files are right"))
}

/// A hub that follows a service of purges.
pub fn start_hub_with_purges(
    name: &str,
    listen: SocketAddr,
    shape: ShapeConfig,
    purges: SocketAddr,
) -> Running {
    let file = HubFile { shape: Some(shape), purges: Some(purges.to_string()), ..hub_file(name, listen) };
    run_hub(file.checked().expect("the rig's files are right"))
}

fn hub_file(name: &str, listen: SocketAddr) -> HubFile {
    HubFile {
        name: name.into(),
        listen: listen.to_string(),
        control: None,
        controls: Vec::new(),
        feed: None,
        purges: None,
        keepers: Vec::new(),
        storage: None,
        purge_services: Vec::new(),
        site: String::new(),
        memory_mb: 64,
        connections: 512,
        fills: 4_096,
        contents: vec![ContentFile { name: "clip".into(), fresh_ms: 0, grace_ms: 0, benefit: 1.0 }],
        shape: None,
    }
}

fn run_hub(start: HubStart) -> Running {
    // The port of one that has just been killed may need a moment.
    let until = Instant::now() + Duration::from_secs(5);
    let hub = loop {
        match Hub::bind(start.clone()) {
            Ok(hub) => break hub,
            Err(why) => assert!(Instant::now() < until, "{why}"),
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    let (stop, stopped) = async_channel::bounded(1);
    let thread = std::thread::spawn(move || hub.serve(quiet(), stopped));
    Running { stop: Some(stop), thread: Some(thread) }
}

/// Starts the control service on a journal.
pub fn start_control(listen: SocketAddr, journal: &Path, first: &ShapeConfig) -> Result<Running, String> {
    let (stop, stopped) = async_channel::bounded(1);
    let (tell, told) = std::sync::mpsc::channel();
    let (journal, first) = (journal.to_path_buf(), first.clone());
    let thread = std::thread::spawn(move || {
        let until = Instant::now() + Duration::from_secs(5);
        let keeper = loop {
            match Keeper::open(listen, &journal, Some(&first), quiet()) {
                Err(why) if why.contains("listened on") && Instant::now() < until => {
                    std::thread::sleep(Duration::from_millis(20));
                }
                other => break other,
            }
        };
        match keeper {
            Ok(keeper) => {
                let _ = tell.send(Ok(()));
                let _ = keeper.serve(stopped);
            }
            Err(why) => drop(tell.send(Err(why))),
        }
    });
    told.recv().map_err(|why| why.to_string())??;
    Ok(Running { stop: Some(stop), thread: Some(thread) })
}

/// A file in a folder of its own, which goes with this.
pub struct Scratch(PathBuf);

impl Scratch {
    pub fn new() -> Scratch {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("harestage-rig-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the temporary folder can be written");
        Scratch(path)
    }

    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Default for Scratch {
    fn default() -> Self {
        Scratch::new()
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn archive_form(archive: &Archive, capacity: f64) -> ArchiveConfig {
    ArchiveConfig {
        name: "archive".into(),
        address: archive.address.to_string(),
        capacity,
        stops_at: 2.5,
        stops_within_ms: 3_000,
    }
}

/// A hub at the top, warm unless it says when it started.
pub fn hub_form(name: &str, address: SocketAddr, capacity: f64, since_ms: u64) -> HubConfig {
    HubConfig {
        name: name.into(),
        address: address.to_string(),
        site: String::new(),
        capacity,
        passes: 0.3,
        since_ms,
        cold_from: 0.1,
        cold_ms: 6_000,
        falls_at: 2.0,
        falls_within_ms: 1_000,
        up: vec!["archive".into()],
    }
}

/// A call to the service, and the first thing that it answers.
pub fn call(control: SocketAddr, call: &Request) -> std::io::Result<Response> {
    let mut lines = open_call(control, call)?;
    next(&mut lines)
}

pub fn open_call(control: SocketAddr, call: &Request) -> std::io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&control, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(60)))?;
    (&stream).write_all(&encode_line(call))?;
    Ok(BufReader::new(stream))
}

pub fn next(lines: &mut BufReader<TcpStream>) -> std::io::Result<Response> {
    let mut text = String::new();
    if lines.read_line(&mut text)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    serde_json::from_str(&text).map_err(std::io::Error::other)
}

pub fn status(control: SocketAddr) -> std::io::Result<Status> {
    match call(control, &Request::Status)? {
        Response::Status(status) => Ok(*status),
        other => Err(std::io::Error::other(format!("{other:?}"))),
    }
}

/// Applies a shape and waits for its end; false if it was given up, or why it was refused.
pub fn apply(control: SocketAddr, form: &ShapeConfig, by: &str) -> Result<bool, String> {
    let form = Box::new(form.clone());
    let apply = Request::Apply { form, expect: None, by: by.into() };
    let mut lines = open_call(control, &apply).map_err(|why| why.to_string())?;
    loop {
        match next(&mut lines).map_err(|why| why.to_string())? {
            Response::Event(ChangeEvent::Ended { complete, .. }) => return Ok(complete),
            Response::Event(_) => {}
            Response::Refused(lines) => return Err(lines.join("\n")),
            other => return Err(format!("{other:?}")),
        }
    }
}

/// Waits until all these members go by the newest version; false if they have not in time.
pub fn all_follow(control: SocketAddr, members: &[&str], within: Duration) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if let Ok(status) = status(control) {
            let follows = |name: &&str| {
                status.members.iter().any(|member| member.name == **name && member.version == status.version)
            };
            if members.iter().all(follows) {
                return true;
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
