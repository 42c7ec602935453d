//! Which process is at the far end of a connection: the kernel's table of sockets names the socket, and the open files of
//! the processes that were started name its holder. So the program needs no word about the rig.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

/// The processes that run, by their ids.
#[derive(Default)]
pub struct Whose(Mutex<BTreeMap<u32, String>>);

impl Whose {
    fn known(&self) -> MutexGuard<'_, BTreeMap<u32, String>> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn enter(&self, id: u32, name: &str) {
        self.known().insert(id, name.into());
    }

    pub fn leave(&self, id: u32) {
        self.known().remove(&id);
    }

    /// Who holds the connection that came from `near` to `link`; none for what the rig did not start.
    pub fn find(&self, near: SocketAddr, link: SocketAddr) -> Option<String> {
        let socket = format!("socket:[{}]", inode(near, link)?);
        let known = self.known().clone();
        known.into_iter().find(|(id, _)| holds(*id, &socket)).map(|(_, name)| name)
    }
}

fn holds(id: u32, socket: &str) -> bool {
    let Ok(files) = std::fs::read_dir(format!("/proc/{id}/fd")) else { return false };
    files
        .filter_map(Result::ok)
        .any(|file| std::fs::read_link(file.path()).is_ok_and(|to| to.as_os_str() == socket))
}

fn inode(near: SocketAddr, link: SocketAddr) -> Option<u64> {
    let (near, link) = (hex(near)?, hex(link)?);
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let row = table.lines().skip(1).find(|row| {
        let mut words = row.split_ascii_whitespace().skip(1);
        words.next() == Some(near.as_str()) && words.next() == Some(link.as_str())
    })?;
    row.split_ascii_whitespace().nth(9)?.parse().ok().filter(|inode| *inode > 0)
}

/// An address as that table words it: the four bytes of a word in the machine's own order.
fn hex(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    Some(format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port()))
}
