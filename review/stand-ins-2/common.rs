//! What all cases share: processes, a record, the node protocol, an archive, links that can be cut.
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, arg: u64, b: u64, c: u64, d: u64) -> i32;
}

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// A case gives up after this long: it could not run.
const LONGEST: Duration = Duration::from_secs(112);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A loopback address with a free port, below those that the system gives to outgoing connections.
pub fn free() -> SocketAddr {
    static TRIED: AtomicU64 = AtomicU64::new(0);
    loop {
        let tried = TRIED.fetch_add(1, Ordering::SeqCst);
        let port = 12_000 + (u64::from(std::process::id()) * 61 + tried) % 18_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().unwrap();
        }
    }
}

#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn say(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.1.elapsed().as_secs_f64());
        let _ = self.0.lock().unwrap().write_all(line.as_bytes());
        eprint!("{line}");
    }
}

/// One run of a case.
pub struct Play {
    pub folder: PathBuf,
    pub record: Record,
    pub trouble: bool,
    kids: Arc<Mutex<Vec<(String, Child)>>>,
    pids: Arc<Mutex<Vec<i32>>>,
}

impl Play {
    /// `case` is the case's folder; the record goes there.
    pub fn begin(case: &str) -> Play {
        let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
        let folder =
            std::env::temp_dir().join(format!("harestage-review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&folder).unwrap();
        let file = File::create(PathBuf::from(case).join("record.txt")).unwrap();
        let record = Record(Arc::new(Mutex::new(file)), Instant::now());
        record.say(if trouble { "with the disruption" } else { "without the disruption" });
        let play = Play { folder, record, trouble, kids: Arc::default(), pids: Arc::default() };
        let (pids, record, folder) = (play.pids.clone(), play.record.clone(), play.folder.clone());
        std::thread::spawn(move || {
            std::thread::sleep(LONGEST);
            record.say("not over in time: the case could not run");
            end_all(&pids);
            let _ = std::fs::remove_dir_all(folder);
            std::process::exit(NOT_RUN);
        });
        play
    }

    /// Ends everything and says what came of it.
    pub fn end(&self, code: i32, why: &str) -> ! {
        let word = ["the rule held", "THE RULE WAS BROKEN", "the case could not run"][code as usize];
        self.record.say(&format!("{word}: {why}"));
        if code != HELD && std::env::var("LOGS").is_ok() {
            for entry in std::fs::read_dir(&self.folder).unwrap().flatten() {
                if entry.path().extension().is_some_and(|e| e == "log") {
                    let text = std::fs::read_to_string(entry.path()).unwrap_or_default();
                    eprintln!("--- {}\n{text}", entry.path().display());
                }
            }
        }
        end_all(&self.pids);
        for (_, child) in self.kids.lock().unwrap().iter_mut() {
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
        std::process::exit(code);
    }

    pub fn need(&self, so: bool, why: &str) {
        if !so {
            self.end(NOT_RUN, why);
        }
    }

    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    pub fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    /// Starts a program of the project as a process of its own.
    pub fn start(&self, name: &str, program: &str, words: &[&str], env: &[(&str, &str)]) {
        let log =
            File::options().create(true).append(true).open(self.folder.join(format!("{name}.log"))).unwrap();
        let mut command = Command::new(program);
        command.args(words).stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        command.envs(env.iter().copied());
        ends_with_this_process(&mut command);
        let child = command.spawn().unwrap_or_else(|why| self.end(NOT_RUN, &format!("{program}: {why}")));
        self.record.say(&format!("starts {name}: {program} {}", words.join(" ")));
        self.pids.lock().unwrap().push(child.id() as i32);
        self.kids.lock().unwrap().push((name.into(), child));
    }

    pub fn harestage(&self, name: &str, words: &[&str]) {
        self.start(name, "target/release/harestage", words, &[]);
    }

    fn pid(&self, name: &str) -> i32 {
        let kids = self.kids.lock().unwrap();
        kids.iter().rev().find(|(known, _)| known == name).map(|(_, child)| child.id() as i32).unwrap()
    }

    pub fn signal(&self, name: &str, signal: i32) {
        self.record.say(&format!("signal {signal} to {name}"));
        unsafe { kill(self.pid(name), signal) };
    }

    /// Ends it at once, as a crash does.
    pub fn crash(&self, name: &str) {
        self.signal(name, 9);
        self.wait(name);
    }

    pub fn wait(&self, name: &str) {
        let pid = self.pid(name);
        let mut kids = self.kids.lock().unwrap();
        for (_, child) in kids.iter_mut().filter(|(_, child)| child.id() as i32 == pid) {
            let _ = child.wait();
        }
        self.pids.lock().unwrap().retain(|known| *known != pid);
    }

    pub fn log_has(&self, name: &str, text: &str) -> bool {
        let log = std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
        log.contains(text)
    }

    /// Waits for a line in a process's log.
    pub fn awaits(&self, name: &str, text: &str, within_ms: u64) -> bool {
        let begun = Instant::now();
        while !self.log_has(name, text) {
            if begun.elapsed() > Duration::from_millis(within_ms) {
                return false;
            }
            pause(20);
        }
        true
    }

    /// Runs an operator's command to its end.
    pub fn command(&self, words: &[&str]) -> (i32, String) {
        let mut command = Command::new("target/release/harestage");
        ends_with_this_process(command.args(words));
        let output = command.output();
        let output = output.unwrap_or_else(|why| self.end(NOT_RUN, &why.to_string()));
        let text =
            String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
        self.record.say(&format!("{} -> {:?}: {}", words.join(" "), output.status.code(), text.trim()));
        (output.status.code().unwrap_or(-1), text)
    }
}

/// Reached only where the driver panics: `end` does not return.
impl Drop for Play {
    fn drop(&mut self) {
        end_all(&self.pids);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The command's process is killed when this one ends, however that ends.
fn ends_with_this_process(command: &mut Command) {
    unsafe {
        command.pre_exec(|| {
            prctl(1, 9, 0, 0, 0);
            Ok(())
        });
    }
}

fn end_all(pids: &Mutex<Vec<i32>>) {
    for pid in pids.lock().unwrap().iter() {
        unsafe {
            kill(*pid, 9);
        }
    }
}

/// One line of JSON to a service, one line back.
pub fn call(at: SocketAddr, line: &str, within: Duration) -> Option<String> {
    let stream = TcpStream::connect_timeout(&at, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    (&stream).write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    BufReader::new(&stream).read_line(&mut answer).ok()?;
    (!answer.is_empty()).then_some(answer.trim().to_string())
}

pub fn encode(items: &[&[u8]]) -> Vec<u8> {
    let mut text = format!("*{}\r\n", items.len()).into_bytes();
    for item in items {
        text.extend(format!("${}\r\n", item.len()).into_bytes());
        text.extend_from_slice(item);
        text.extend_from_slice(b"\r\n");
    }
    text
}

/// The next message of the protocol; none at the end, or where the time is up.
pub fn receive(reader: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let number = |reader: &mut dyn BufRead, mark: char| {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        line.trim_end().strip_prefix(mark)?.parse::<usize>().ok()
    };
    let many = number(reader, '*')?;
    let mut items = Vec::new();
    for _ in 0..many {
        let length = number(reader, '$')?;
        let mut item = vec![0; length + 2];
        reader.read_exact(&mut item).ok()?;
        item.truncate(length);
        items.push(item);
    }
    Some(items)
}

pub fn text(item: &[u8]) -> String {
    String::from_utf8_lossy(item).into_owned()
}

pub fn field(fields: &str, name: &str) -> Option<String> {
    let find =
        |pair: &str| pair.split_once('=').filter(|(key, _)| *key == name).map(|(_, value)| value.to_string());
    fields.split(',').find_map(find)
}

/// What a node has answered.
#[derive(Clone, Debug)]
pub struct Answer {
    pub word: String,
    pub fields: String,
    pub body: String,
}

static LAST_ID: AtomicU64 = AtomicU64::new(0x9b00_0000_0000_0000);

/// One pull, as an edge cache sends it to its source: no copy bound of its own, a fill is wanted.
pub fn pull(record: &Record, name: &str, at: SocketAddr, object: &str, ms: u64) -> Option<Answer> {
    let id = format!("{:016x}", LAST_ID.fetch_add(1, Ordering::Relaxed));
    let fields = format!("kind=clip,obj={object},seg=0,ms={ms},parent=archive,shelf=1");
    let answer =
        exchange(at, &[b"serve", id.as_bytes(), fields.as_bytes(), b""], ms + 500).map(|items| Answer {
            word: items.get(1).map(|item| text(item)).unwrap_or_default(),
            fields: items.get(2).map(|item| text(item)).unwrap_or_default(),
            body: items.get(3).map(|item| text(item)).unwrap_or_default(),
        });
    match &answer {
        Some(Answer { word, fields, body }) => {
            let body: String = body.chars().take(40).collect();
            record.say(&format!("pull {object} from {name}: {word} {fields} body={body:?}"));
        }
        None => record.say(&format!("pull {object} from {name}: no answer")),
    }
    answer
}

pub fn exchange(at: SocketAddr, items: &[&[u8]], within_ms: u64) -> Option<Vec<Vec<u8>>> {
    let stream = TcpStream::connect_timeout(&at, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(within_ms))).ok()?;
    (&stream).write_all(&encode(items)).ok()?;
    receive(&mut BufReader::new(&stream))
}

/// Pulls until the node serves it, as clients that come again do.
pub fn served(record: &Record, name: &str, at: SocketAddr, object: &str, within_ms: u64) -> Option<Answer> {
    let begun = Instant::now();
    loop {
        let answer = pull(record, name, at, object, 2_000).filter(|answer| answer.word == "ACK");
        if answer.is_some() || begun.elapsed() > Duration::from_millis(within_ms) {
            return answer;
        }
        pause(300);
    }
}

/// The archive: it has every object, and gives each out with the time of that and its present version.
#[derive(Clone)]
pub struct Archive {
    pub at: SocketAddr,
    version: Arc<AtomicU64>,
    pub fetches: Arc<AtomicU64>,
}

impl Archive {
    pub fn open(record: &Record) -> Archive {
        let listener = TcpListener::bind(free()).unwrap();
        let at = listener.local_addr().unwrap();
        let archive = Archive { at, version: Arc::new(AtomicU64::new(1)), fetches: Arc::default() };
        let (serving, record) = (archive.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (serving, record) = (serving.clone(), record.clone());
                std::thread::spawn(move || serving.serve(stream, &record));
            }
        });
        archive
    }

    pub fn change(&self, record: &Record) {
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        record.say(&format!("every object at the archive is now version {version}"));
    }

    pub fn body(&self) -> String {
        format!("version {}", self.version.load(Ordering::SeqCst))
    }

    fn serve(&self, stream: TcpStream, record: &Record) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(items) = receive(&mut reader) {
            let answer = match items[0].as_slice() {
                b"serve" => {
                    self.fetches.fetch_add(1, Ordering::SeqCst);
                    let (version, body) = (self.version.load(Ordering::SeqCst), self.body());
                    let fields = format!("res=HIT,digest={version:016x},dated={}", unix_ms());
                    let asked = text(&items[2]);
                    record.say(&format!(
                        "archive gives out {:?}: {body}",
                        field(&asked, "obj").unwrap_or_default()
                    ));
                    encode(&[&items[1], b"ACK", fields.as_bytes(), body.as_bytes()])
                }
                b"health" | b"gauges" => encode(&[&items[1], b"READY", b"-", b""]),
                _ => continue,
            };
            if (&stream).write_all(&answer).is_err() {
                return;
            }
        }
    }
}

/// A link that carries connections to an address, and can be cut: then what is open stays open and silent, and new
/// connections come up and say nothing. `cut` may look at the first bytes that came, to tell who calls.
#[derive(Clone)]
pub struct Link {
    pub at: SocketAddr,
    pub cut: Arc<AtomicBool>,
    /// Connections whose first bytes hold one of these texts are cut, too.
    pub cut_callers: Arc<Mutex<Vec<String>>>,
}

impl Link {
    pub fn open(to: SocketAddr) -> Link {
        let listener = TcpListener::bind(free()).unwrap();
        let at = listener.local_addr().unwrap();
        let link = Link { at, cut: Arc::default(), cut_callers: Arc::default() };
        let carrying = link.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let carrying = carrying.clone();
                std::thread::spawn(move || carrying.carry(near, to));
            }
        });
        link
    }

    fn carry(&self, near: TcpStream, to: SocketAddr) {
        let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_millis(500)) else { return };
        let (_, _) = (near.set_nodelay(true), far.set_nodelay(true));
        let first = Arc::new(Mutex::new(String::new()));
        let (link, near_2, far_2, first_2) =
            (self.clone(), near.try_clone().unwrap(), far.try_clone().unwrap(), first.clone());
        let back = std::thread::spawn(move || link.pump(far_2, near_2, &first_2, false));
        self.pump(near, far, &first, true);
        let _ = back.join();
    }

    fn is_cut(&self, first: &Mutex<String>) -> bool {
        let callers = self.cut_callers.lock().unwrap();
        self.cut.load(Ordering::SeqCst)
            || !callers.is_empty() && {
                let first = first.lock().unwrap();
                callers.iter().any(|caller| first.contains(caller.as_str()))
            }
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, first: &Mutex<String>, notes: bool) {
        let mut piece = vec![0; 64 << 10];
        loop {
            let bytes = from.read(&mut piece).unwrap_or(0);
            if bytes > 0 && notes && first.lock().unwrap().len() < 256 {
                first.lock().unwrap().push_str(&String::from_utf8_lossy(&piece[..bytes.min(256)]));
            }
            let mut was_cut = false;
            while self.is_cut(first) {
                was_cut = true;
                pause(5);
            }
            // What came while the link was cut is lost, and its connection with it.
            if bytes == 0 || was_cut || to.write_all(&piece[..bytes]).is_err() {
                let _ = from.shutdown(std::net::Shutdown::Both);
                let _ = to.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

/// A hub's file. `more` are further keys, each with a comma behind it.
pub fn hub_file(name: &str, listen: SocketAddr, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"memory_mb\":64,{more}\"contents\":[{{\"name\":\"clip\"}}]}}"
    )
}

/// `hubs` as (name, address, site, up).
pub fn shape_text(
    version: u64,
    archive: SocketAddr,
    hubs: &[(&str, SocketAddr, &str, &str)],
    branches: &str,
) -> String {
    let hub = |(name, at, site, up): &(&str, SocketAddr, &str, &str)| {
        format!(
            "{{\"name\":\"{name}\",\"address\":\"{at}\",\"site\":\"{site}\",\"capacity\":200,\"passes\":0.3,\"up\":[\"{up}\"]}}"
        )
    };
    let hubs: Vec<String> = hubs.iter().map(hub).collect();
    format!(
        "{{\"version\":{version},\"archive\":{{\"name\":\"archive\",\"address\":\"{archive}\",\"capacity\":100}},\"hubs\":[{}],\"branches\":[{branches}]}}",
        hubs.join(",")
    )
}
