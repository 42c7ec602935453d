//! Ends what a rig has started when the rig itself is gone, however it went: a process of its own that is told each id,
//! and whose input closes with the rig. It ends nothing but those ids, and only while they still are what they were.
use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::process::{Child, ChildStdin, Command, Stdio};

/// When a process was started, in the kernel's own count: with its id it names one process for good.
pub fn started(id: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name may hold spaces and brackets; what follows it does not.
    let after = &stat[stat.rfind(')')? + 2..];
    after.split_ascii_whitespace().nth(19)?.parse().ok()
}

/// Signals one process, if it still is the one that was started then.
pub fn signal(id: u32, was_started: u64, signal: Signal) -> bool {
    let same = started(id) == Some(was_started);
    let pid = i32::try_from(id).ok().and_then(Pid::from_raw);
    same && pid.is_some_and(|pid| kill_process(pid, signal).is_ok())
}

/// The main of that process: lines `+ID STARTED` and `-ID` until the input ends.
pub fn mind(input: impl BufRead) {
    let mut minded: BTreeMap<u32, u64> = BTreeMap::new();
    for line in input.lines().map_while(Result::ok) {
        match line.split_at_checked(1) {
            Some(("+", rest)) => {
                let numbers: Option<(u32, u64)> =
                    rest.split_once(' ').and_then(|(id, at)| Some((id.parse().ok()?, at.parse().ok()?)));
                minded.extend(numbers);
            }
            Some(("-", id)) => drop(id.parse().ok().and_then(|id: u32| minded.remove(&id))),
            _ => {}
        }
    }
    for (id, at) in minded {
        signal(id, at, Signal::KILL);
    }
}

/// The rig's end of it.
pub struct Minder {
    process: Child,
    tell: Option<ChildStdin>,
}

impl Minder {
    /// `binary` has to call [`mind`] on its input when its first word is `mind`.
    pub fn start(binary: &std::path::Path) -> Result<Minder, String> {
        let mut process = Command::new(binary)
            .arg("mind")
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()
            .map_err(|why| format!("{}: {why}", binary.display()))?;
        let tell = process.stdin.take();
        Ok(Minder { process, tell })
    }

    pub fn enter(&mut self, id: u32, started: u64) {
        let tell = self.tell.as_mut();
        tell.into_iter().for_each(|tell| drop(writeln!(tell, "+{id} {started}")));
    }

    pub fn leave(&mut self, id: u32) {
        let tell = self.tell.as_mut();
        tell.into_iter().for_each(|tell| drop(writeln!(tell, "-{id}")));
    }
}

impl Drop for Minder {
    fn drop(&mut self) {
        drop(self.tell.take());
        let _ = self.process.wait();
    }
}
