//! Ends what a rig has started when the rig itself is gone, however it went: a process of its own whose input closes with
//! the rig, and which leads the group that all of the rig's processes are in. It ends that group and nothing else. Told of
//! ids one by one it left behind whoever was started in the moment in which the rig was killed, before it could be told.
use rustix::process::{Pid, Signal, getpgrp, getpid, kill_process, kill_process_group};
use std::io::BufRead;
use std::os::unix::process::CommandExt;
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

/// The main of that process: waits until the input ends, then ends all of its group, itself with it.
pub fn mind(input: impl BufRead) {
    input.lines().map_while(Result::ok).for_each(drop);
    // Only a group of its own: started by hand from within another one, it ends nobody.
    if getpgrp() == getpid() {
        let _ = kill_process_group(getpid(), Signal::KILL);
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
            .process_group(0)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()
            .map_err(|why| format!("{}: {why}", binary.display()))?;
        let tell = process.stdin.take();
        Ok(Minder { process, tell })
    }

    /// The group that whatever the rig starts has to be in from its first moment on.
    pub fn group(&self) -> i32 {
        self.process.id() as i32
    }
}

impl Drop for Minder {
    fn drop(&mut self) {
        drop(self.tell.take());
        let _ = self.process.wait();
    }
}
