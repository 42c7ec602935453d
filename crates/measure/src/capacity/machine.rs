//! What the machine has and what a process of this run takes, from `/proc`; and children that end with whoever holds them.
use std::io::Write;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::time::Duration;

/// Of the machine's memory, what a run may ask for.
const MEMORY_SHARE: f64 = 0.5;
/// Processes that one run may start: a few hundred, as the machine is shared.
pub const MOST_PROCESSES: usize = 300;
/// Bytes of a page, on every machine that this runs on.
const PAGE: f64 = 4_096.0;
/// Milliseconds of a tick of the kernel's clock.
const TICK_MS: f64 = 10.0;

/// What a run asks of the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asks {
    pub processes: usize,
    pub mb: f64,
}

/// Why a run is not begun, with the figure.
#[derive(Clone, Debug, PartialEq)]
pub enum TooMuch {
    Processes { asked: usize },
    Memory { asked_mb: f64, most_mb: f64 },
}

impl std::fmt::Display for TooMuch {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::Processes { asked } => {
                write!(f, "the run asks for {asked} processes, and {MOST_PROCESSES} are the most")
            }
            Self::Memory { asked_mb, most_mb } => {
                write!(
                    f,
                    "the run asks for {asked_mb:.0} MB, and half of the machine's memory is {most_mb:.0} MB"
                )
            }
        }
    }
}

impl Asks {
    /// `machine_mb`: all memory that the machine has.
    pub fn borne_by(&self, machine_mb: f64) -> Result<(), TooMuch> {
        if self.processes > MOST_PROCESSES {
            return Err(TooMuch::Processes { asked: self.processes });
        }
        let most_mb = machine_mb * MEMORY_SHARE;
        if self.mb > most_mb {
            return Err(TooMuch::Memory { asked_mb: self.mb, most_mb });
        }
        Ok(())
    }
}

/// All memory of the machine, from the text of `/proc/meminfo`.
pub fn machine_mb(meminfo: &str) -> Option<f64> {
    let line = meminfo.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    Some(line.split_ascii_whitespace().next()?.parse::<f64>().ok()? / 1_024.0)
}

pub fn this_machine_mb() -> f64 {
    std::fs::read_to_string("/proc/meminfo").ok().and_then(|text| machine_mb(&text)).unwrap_or(0.0)
}

/// Processor time that this thread has taken since: what others do on the machine is not in it.
#[derive(Clone, Copy, Debug)]
pub struct Busy(Duration);

impl Busy {
    pub fn now() -> Busy {
        let at = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
        Busy(Duration::new(at.tv_sec.unsigned_abs(), at.tv_nsec.unsigned_abs() as u32))
    }

    pub fn elapsed(&self) -> Duration {
        Busy::now().0.saturating_sub(self.0)
    }
}

fn of(id: u32, file: &str) -> Option<String> {
    std::fs::read_to_string(format!("/proc/{id}/{file}")).ok()
}

/// Memory of a process that is resident, in MB.
pub fn resident_mb(id: u32) -> Option<f64> {
    Some(of(id, "statm")?.split_ascii_whitespace().nth(1)?.parse::<f64>().ok()? * PAGE / 1e6)
}

/// Processor time of a process so far.
pub fn cpu_ms(id: u32) -> Option<f64> {
    let stat = of(id, "stat")?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_ascii_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok());
    Some((ticks(11)? + ticks(12)?) * TICK_MS)
}

/// Bytes that a process has read and written so far, over all descriptors.
pub fn moved_bytes(id: u32) -> Option<(f64, f64)> {
    let io = of(id, "io")?;
    let field = |name: &str| io.lines().find_map(|line| line.strip_prefix(name)?.trim().parse::<f64>().ok());
    Some((field("rchar:")?, field("wchar:")?))
}

/// Open descriptors of a process.
pub fn descriptors(id: u32) -> Option<usize> {
    Some(std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count())
}

/// A child process. It is ended by its id when this goes, and ends by itself when its standard input closes.
pub struct Held {
    child: Child,
    input: Option<ChildStdin>,
    ended: bool,
}

impl Held {
    /// Starts it with its standard input held open.
    pub fn start(command: &mut Command) -> std::io::Result<Held> {
        let mut child = command.stdin(Stdio::piped()).spawn()?;
        let input = child.stdin.take();
        Ok(Held { child, input, ended: false })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn child(&mut self) -> &mut Child {
        &mut self.child
    }

    /// Says a line to it.
    pub fn say(&mut self, line: &[u8]) -> std::io::Result<()> {
        let input = self.input.as_mut().ok_or(std::io::ErrorKind::BrokenPipe)?;
        input.write_all(line)?;
        input.flush()
    }

    pub fn is_running(&mut self) -> bool {
        !self.ended && matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends it at once, as a machine that fails does, and waits until it is gone.
    pub fn kill(&mut self) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        drop(self.input.take());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.kill();
    }
}
