//! What a hub can do at its age: pulls pass to it no faster than that, wait in line past it, and when too many come for
//! too long it falls over and stays down. It counts what was asked against what it may be asked.
use crate::talk::{decoder, receive};
use harestage_wire::resp::{LINE_END, encode_head};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a machine starts, and what pushes it over.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Pulls a second when it is warm.
    pub capacity: f64,
    pub started: Instant,
    pub cold_from: f64,
    pub cold: Duration,
    pub falls_at: f64,
    pub falls_within: Duration,
}

impl Machine {
    fn can(&self, now: Instant) -> f64 {
        let part = (now - self.started).as_secs_f64() / self.cold.as_secs_f64();
        self.capacity * (self.cold_from + (1.0 - self.cold_from) * part).min(1.0)
    }
}

#[derive(Default)]
struct State {
    asked: VecDeque<Instant>,
    /// Until when it is busy with what came before.
    busy: Option<Instant>,
    peak: f64,
    /// The same since somebody last asked for it.
    lately: f64,
    fell: bool,
    streams: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Front {
    pub address: SocketAddr,
    machine: Machine,
    state: Arc<Mutex<State>>,
}

impl Front {
    pub fn of(behind: SocketAddr, machine: Machine) -> Front {
        Front::on(TcpListener::bind("127.0.0.1:0").expect("loopback has room"), behind, machine)
    }

    pub fn on(listener: TcpListener, behind: SocketAddr, machine: Machine) -> Front {
        let address = listener.local_addr().expect("it is bound");
        let front = Front { address, machine, state: Arc::default() };
        let serving = front.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                if serving.has_fallen() {
                    continue;
                }
                let Ok(far) = TcpStream::connect(behind) else { continue };
                serving.clone().carry(near, far);
            }
        });
        front
    }

    pub fn has_fallen(&self) -> bool {
        self.state.lock().expect("no holder panics").fell
    }

    /// The worst that it was asked in any such window, as a part of what would push it over.
    pub fn peak_share(&self) -> f64 {
        self.state.lock().expect("no holder panics").peak
    }

    /// The worst since this was last asked for.
    pub fn take_lately(&self) -> f64 {
        std::mem::take(&mut self.state.lock().expect("no holder panics").lately)
    }

    fn carry(self, near: TcpStream, far: TcpStream) {
        let (Ok(back_from), Ok(mut back_to)) = (far.try_clone(), near.try_clone()) else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let clones = [near.try_clone(), far.try_clone()].into_iter().flatten();
        self.state.lock().expect("no holder panics").streams.extend(clones);
        std::thread::spawn(move || {
            let (mut back_from, mut piece) = (back_from, [0; 16 << 10]);
            while let Ok(bytes) = back_from.read(&mut piece) {
                if bytes == 0 || back_to.write_all(&piece[..bytes]).is_err() {
                    break;
                }
            }
            let _ = back_to.shutdown(Shutdown::Both);
        });
        std::thread::spawn(move || {
            let (mut decoder, mut far) = (decoder(), far);
            while let Some(items) = receive(&near, &mut decoder) {
                if items[0].as_ref() == b"serve" {
                    let Some(wait) = self.take() else { break };
                    std::thread::sleep(wait);
                }
                let Some((last, first)) = items.split_last() else { break };
                let first: Vec<&[u8]> = first.iter().map(|item| item.as_ref()).collect();
                if far
                    .write_all(&[&encode_head(&first, last.len()), last.as_ref(), LINE_END].concat())
                    .is_err()
                {
                    break;
                }
            }
            let _ = far.shutdown(Shutdown::Both);
        });
    }

    /// How long a pull waits for its turn; none if the machine has fallen over.
    fn take(&self) -> Option<Duration> {
        let (now, machine) = (Instant::now(), self.machine);
        let mut state = self.state.lock().expect("no holder panics");
        if state.fell {
            return None;
        }
        state.asked.push_back(now);
        while state.asked.front().is_some_and(|at| now - *at > machine.falls_within) {
            state.asked.pop_front();
        }
        let can = machine.can(now);
        let budget = can * machine.falls_at * machine.falls_within.as_secs_f64();
        let share = state.asked.len() as f64 / budget;
        state.peak = state.peak.max(share);
        state.lately = state.lately.max(share);
        // A single pull in a window is no pressure, however small the budget.
        if share > 1.0 && state.asked.len() > 3 {
            state.fell = true;
            state.streams.drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
            return None;
        }
        let from = state.busy.filter(|busy| *busy > now).unwrap_or(now);
        let until = from + Duration::from_secs_f64(1.0 / can);
        state.busy = Some(until);
        Some(until - now)
    }
}
