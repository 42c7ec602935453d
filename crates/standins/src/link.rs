//! A link with faults: bytes pass through it late, not at all, or until it is cut or reset.
use serde::Deserialize;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a link does to all that passes from now on.
#[derive(Clone, Copy, Debug, PartialEq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    #[default]
    None,
    #[serde(rename = "delay_ms", deserialize_with = "millis")]
    Delay(Duration),
    /// Takes everything and passes nothing on; new connections come up.
    Silent,
    /// Ends what is open, and refuses what is new.
    Cut,
    /// Takes what comes from below, and nothing of what comes back: a one-way cut.
    NoWayBack,
}

fn millis<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    u64::deserialize(from).map(Duration::from_millis)
}

#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    fault: Arc<Mutex<Fault>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

/// How often a link looks whether its fault has changed.
const LOOK: Duration = Duration::from_millis(5);

impl Link {
    pub fn to(far: SocketAddr) -> Link {
        Link::on(TcpListener::bind("127.0.0.1:0").expect("loopback has room"), far)
    }

    pub fn on(listener: TcpListener, far: SocketAddr) -> Link {
        let address = listener.local_addr().expect("it is bound");
        let link = Link { address, fault: Arc::default(), streams: Arc::default() };
        let carrying = link.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                if carrying.now() == Fault::Cut {
                    continue;
                }
                let Ok(far) = TcpStream::connect(far) else { continue };
                carrying.carry(near, far);
            }
        });
        link
    }

    pub fn set(&self, fault: Fault) {
        *self.fault.lock().expect("no holder panics") = fault;
        if fault == Fault::Cut {
            let streams = std::mem::take(&mut *self.streams.lock().expect("no holder panics"));
            streams.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        }
    }

    fn now(&self) -> Fault {
        *self.fault.lock().expect("no holder panics")
    }

    fn carry(&self, near: TcpStream, far: TcpStream) {
        let (Ok(near_out), Ok(far_out)) = (near.try_clone(), far.try_clone()) else { return };
        let mut streams = self.streams.lock().expect("no holder panics");
        streams.extend([near.try_clone(), far.try_clone()].into_iter().flatten());
        let (up, back) = (self.clone(), self.clone());
        std::thread::spawn(move || up.pass(near, far_out, false));
        std::thread::spawn(move || back.pass(far, near_out, true));
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream, back: bool) {
        let mut piece = [0; 16 << 10];
        loop {
            let bytes = match from.read(&mut piece) {
                Ok(bytes) if bytes > 0 => bytes,
                _ => break,
            };
            let came = Instant::now();
            loop {
                match self.now() {
                    Fault::Delay(delay) if came.elapsed() < delay => {
                        std::thread::sleep((delay - came.elapsed()).min(LOOK));
                    }
                    Fault::Silent => std::thread::sleep(LOOK),
                    Fault::NoWayBack if back => std::thread::sleep(LOOK),
                    Fault::Cut => return,
                    _ => break,
                }
            }
            if to.write_all(&piece[..bytes]).is_err() {
                break;
            }
        }
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }
}
