//! One process of the program: started with its files and addresses, its lines read into the timeline, signalled by its
//! id, and ended with the rig.
use crate::disk::Disk;
use crate::mind::{self, Minder};
use crate::places::Places;
use crate::scenario::{ProcessForm, Runs};
use crate::timeline::Timeline;
use crate::whose::Whose;
use rustix::process::Signal;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread::JoinHandle;

/// A line that a process writes, at most; what is longer is cut there.
const LONGEST_LINE: u64 = 1 << 20;

struct Running {
    child: Child,
    started: u64,
    readers: Vec<JoinHandle<()>>,
    stopped: bool,
}

pub struct Process {
    pub form: ProcessForm,
    pub disk: Disk,
    folder: PathBuf,
    running: Option<Running>,
    /// The rig has told it to end.
    told: bool,
}

/// What every start needs.
pub struct Common {
    pub binary: PathBuf,
    pub places: Places,
    pub timeline: Arc<Timeline>,
    pub whose: Arc<Whose>,
}

impl Process {
    pub fn new(form: &ProcessForm, under: &Path) -> Result<Process, String> {
        let folder = under.join(&form.name);
        let disk = std::fs::create_dir_all(&folder)
            .and_then(|()| Disk::under(&folder, form.forgets_unsynced))
            .map_err(|why| format!("{}: {why}", folder.display()))?;
        Ok(Process { form: form.clone(), disk, folder, running: None, told: false })
    }

    pub fn id(&self) -> Option<u32> {
        self.running.as_ref().map(|running| running.child.id())
    }

    pub fn is_stopped(&self) -> bool {
        self.running.as_ref().is_some_and(|running| running.stopped)
    }

    fn words(&self, common: &Common) -> Result<Vec<String>, String> {
        let form = &self.form;
        let file = self.folder.join("file.json");
        let json = common.places.json(&Value::Object(form.file.clone()));
        // Where its disk is stands in its file as a word of its own.
        let json = json.to_string().replace("%disk", &self.disk.path.display().to_string());
        std::fs::write(&file, json).map_err(|why| format!("{}: {why}", file.display()))?;
        let own = common.places.own(&form.name, None).map(|at| at.to_string()).unwrap_or_default();
        let (file, disk) = (file.display().to_string(), self.disk.path.display().to_string());
        let mut words: Vec<String> = vec!["--log".into(), "json".into()];
        if form.clock_off_ms != 0 {
            words.push(format!("--clock-off-ms={}", form.clock_off_ms));
        }
        if let Some(kept) = &self.disk.kept {
            words.push(format!("--synced-copy={}", kept.display()));
        }
        let own_words: &[&str] = match form.runs {
            Runs::Control => &["control", "--listen", &own, "--journal", &disk, "--first", &file],
            Runs::Purges => &["purges", "--listen", &own, "--folder", &disk],
            Runs::Gather => &["gather", "--name", &form.name, "--listen", &own],
            Runs::Hub => &["hub", &file],
            Runs::Keeper => &["keeper", "--listen", &own, "--folder", &disk],
            Runs::Feed => &["feed", &file],
            Runs::Router => &["router", &file],
            Runs::Standin => &["standin", &file],
        };
        words.extend(own_words.iter().map(|word| word.to_string()));
        words.extend(form.words.iter().map(|word| common.places.text(word)));
        Ok(words)
    }

    /// Starts it; one that runs already is left as it is.
    pub fn start(&mut self, common: &Common, minder: &Minder) -> Result<(), String> {
        if self.running.is_some() {
            return Ok(());
        }
        let words = self.words(common)?;
        let mut command = Command::new(&common.binary);
        command.args(&words).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        command.process_group(minder.group());
        let mut child = command.spawn().map_err(|why| format!("{}: {why}", common.binary.display()))?;
        let id = child.id();
        let started = mind::started(id).unwrap_or(0);
        common.whose.enter(id, &self.form.name);
        let pipes: [Option<Box<dyn Read + Send>>; 2] = [
            child.stdout.take().map(|pipe| Box::new(pipe) as Box<dyn Read + Send>),
            child.stderr.take().map(|pipe| Box::new(pipe) as Box<dyn Read + Send>),
        ];
        let read = |pipe| {
            let (timeline, name, site) =
                (common.timeline.clone(), self.form.name.clone(), self.form.site.clone());
            std::thread::spawn(move || read_lines(pipe, &timeline, &name, &site))
        };
        let readers = pipes.into_iter().flatten().map(read).collect();
        let fields = [("process", Value::from(self.form.name.as_str())), ("id", Value::from(id))];
        common.timeline.note("started", &fields);
        self.running = Some(Running { child, started, readers, stopped: false });
        self.told = false;
        Ok(())
    }

    pub fn signal(&mut self, signal: Signal) -> bool {
        let Some(running) = &mut self.running else { return false };
        if signal == Signal::KILL || signal == Signal::TERM {
            self.told = true;
        }
        running.stopped = match signal {
            Signal::STOP => true,
            Signal::CONT => false,
            _ => running.stopped,
        };
        mind::signal(running.child.id(), running.started, signal)
    }

    /// Whether it has ended meanwhile, with how; all that it wrote is in the timeline then.
    pub fn look(&mut self, common: &Common) -> Option<String> {
        let status = self.running.as_mut()?.child.try_wait().ok()??;
        self.over(common);
        Some(match (status.code(), status.signal()) {
            (Some(code), _) => format!("exit code {code}"),
            (None, signal) => format!("signal {}", signal.unwrap_or(0)),
        })
    }

    /// SIGKILL, and waits until it is gone.
    pub fn kill(&mut self, common: &Common) {
        self.signal(Signal::KILL);
        if let Some(running) = &mut self.running {
            let _ = running.child.wait();
            self.over(common);
        }
    }

    fn over(&mut self, common: &Common) {
        let Some(running) = self.running.take() else { return };
        let id = running.child.id();
        common.whose.leave(id);
        running.readers.into_iter().for_each(|reader| drop(reader.join()));
    }

    /// False: nobody told it to end.
    pub fn was_told(&self) -> bool {
        self.told
    }
}

fn read_lines(pipe: impl Read, timeline: &Timeline, name: &str, site: &str) {
    let mut pipe = BufReader::new(pipe);
    loop {
        let mut line = Vec::new();
        match pipe.by_ref().take(LONGEST_LINE).read_until(b'\n', &mut line) {
            Ok(0) | Err(_) => return,
            Ok(_) => {
                let text = String::from_utf8_lossy(&line);
                timeline.take_in(name, site, text.trim_end());
            }
        }
    }
}
