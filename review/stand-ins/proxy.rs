//! A way between two processes that can be cut: bytes are then taken and thrown away, and nothing is said.
use crate::common::listener;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn open(to: SocketAddr) -> Proxy {
        let listener = listener();
        let address = listener.local_addr().expect("it is bound");
        let cut = Arc::new(AtomicBool::new(false));
        let is_cut = cut.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (Ok(near_again), Ok(far_again)) = (near.try_clone(), far.try_clone()) else { continue };
                carry(near, far, is_cut.clone());
                carry(far_again, near_again, is_cut.clone());
            }
        });
        Proxy { address, cut }
    }

    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, is_cut: Arc<AtomicBool>) {
    std::thread::spawn(move || {
        let mut bytes = [0; 16 << 10];
        while let Ok(read) = from.read(&mut bytes) {
            if read == 0 {
                break;
            }
            if !is_cut.load(Ordering::SeqCst) && to.write_all(&bytes[..read]).is_err() {
                break;
            }
        }
        let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
    });
}
