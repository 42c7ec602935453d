//! Which process is at the far end of a connection: the kernel names the socket, and the open files of the processes that
//! were started name its holder. So the program needs no word about the rig.
//!
//! The kernel is asked for that one socket. Its whole table (`/proc/net/tcp`) takes some 10 ms to read, and longer with
//! each connection that has ended within the last minute: read for each new connection, on the thread that carries all
//! of them, it held every link of a play up for as long as a lease, where many connected at once.
use netlink_packet_core::{NLM_F_REQUEST, NetlinkHeader, NetlinkMessage, NetlinkPayload};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_packet_sock_diag::constants::{AF_INET, IPPROTO_TCP};
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, SocketId, StateFlags};
use netlink_sys::protocols::NETLINK_SOCK_DIAG;
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Mutex, MutexGuard};

/// Whoever knows who calls.
pub trait Callers: Send + Sync {
    /// Who holds the connection that came from `near` to `link`; none for what the rig did not start.
    fn find(&self, near: SocketAddr, link: SocketAddr) -> Option<String>;
}

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
}

impl Callers for Whose {
    fn find(&self, near: SocketAddr, link: SocketAddr) -> Option<String> {
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
    let (SocketAddr::V4(near), SocketAddr::V4(link)) = (near, link) else { return None };
    asked(near, link).or_else(|| listed(near, link))
}

/// The socket's number, as the kernel says of that one.
pub fn asked(near: SocketAddrV4, link: SocketAddrV4) -> Option<u64> {
    let socket_id = SocketId {
        source_address: (*near.ip()).into(),
        source_port: near.port(),
        destination_address: (*link.ip()).into(),
        destination_port: link.port(),
        interface_id: 0,
        // Whichever socket has these addresses.
        cookie: [0xff; 8],
    };
    let request = InetRequest {
        family: AF_INET,
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::empty(),
        states: StateFlags::all(),
        socket_id,
    };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    let socket = netlink_sys::Socket::new(NETLINK_SOCK_DIAG).ok()?;
    // The kernel answers within the call that asks.
    socket.set_non_blocking(true).ok()?;
    socket.connect(&netlink_sys::SocketAddr::new(0, 0)).ok()?;
    socket.send(&bytes, 0).ok()?;
    let (answer, _) = socket.recv_from_full().ok()?;
    match NetlinkMessage::<SockDiagMessage>::deserialize(&answer).ok()?.payload {
        NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(found)) => {
            Some(u64::from(found.header.inode)).filter(|inode| *inode > 0)
        }
        _ => None,
    }
}

/// The same from the table, for a kernel that answers no such question.
pub fn listed(near: SocketAddrV4, link: SocketAddrV4) -> Option<u64> {
    let (near, link) = (hex(near), hex(link));
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let row = table.lines().skip(1).find(|row| {
        let mut words = row.split_ascii_whitespace().skip(1);
        words.next() == Some(near.as_str()) && words.next() == Some(link.as_str())
    })?;
    row.split_ascii_whitespace().nth(9)?.parse().ok().filter(|inode| *inode > 0)
}

/// An address as that table words it: the four bytes of a word in the machine's own order.
fn hex(address: SocketAddrV4) -> String {
    format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port())
}
