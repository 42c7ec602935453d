//! Circles of waits: found by chases, and broken by one hub of each.
use super::fills::Stage;
use super::ways::peer;
use super::{Desk, Order};
use harestage::time::Moment;
use harestage_shape::control::CycleReport;
use harestage_shape::wait_cycles::{self, Action, WaitCycle, WaitTracker};
use harestage_wire::fields::HexId;
use harestage_wire::peer::CycleProbe;

/// Loops that wait to be reported.
const MOST_LOOPS: usize = 256;

pub(super) struct Circles {
    pub knots: WaitTracker,
    /// Those that were broken here, until they are reported.
    loops: Vec<CycleReport>,
}

impl Circles {
    pub fn new(name: &str) -> Circles {
        Circles { knots: WaitTracker::new(name), loops: Vec::new() }
    }

    /// What was broken since it was last asked.
    pub fn take_loops(&mut self) -> Vec<CycleReport> {
        std::mem::take(&mut self.loops)
    }
}

impl Desk {
    pub(super) fn chased(&mut self, chase: CycleProbe, now: Moment) {
        let key = (chase.object.as_u64(), chase.part);
        let chase = wait_cycles::Chase { key, path: chase.path, closed: chase.is_cycle };
        let act = self.circles.knots.on_chase(chase, now);
        self.act(act, now);
    }

    pub(super) fn circles_beat(&mut self, now: Moment) {
        for act in self.circles.knots.tick(now) {
            self.act(Some(act), now);
        }
    }

    pub(super) fn act(&mut self, act: Option<Action>, now: Moment) {
        match act {
            Some(Action::Send { to, chase }) => self.send_chase(&to, chase),
            Some(Action::Leave { cycle }) => self.leave(cycle, now),
            // A way that long is no way: whoever waits gives up by its own deadline.
            Some(Action::TooLong { .. }) | None => {}
        }
    }

    fn send_chase(&mut self, to: &str, chase: wait_cycles::Chase) {
        let shape = self.fills.get(chase.key).and_then(|fill| self.versions.get(fill.version));
        let Some(to) = shape.and_then(|shape| peer(shape, shape.find(to)?)) else { return };
        let (object, part) = (HexId::from_u64(chase.key.0), chase.key.1);
        let chase = CycleProbe { object, part, path: chase.path, is_cycle: chase.closed };
        self.orders.push(Order::Chase { to, chase });
    }

    /// This hub breaks the circle: its fill leaves the hub that it waits for and fetches for all in it.
    fn leave(&mut self, knot: WaitCycle, now: Moment) {
        let Some(fill) = self.fills.get_mut(knot.key) else { return };
        fill.forced = true;
        let waiting = match fill.stage {
            Stage::Waiting { pull, .. } => Some(pull),
            _ => None,
        };
        waiting.into_iter().for_each(|pull| self.cancel(pull));
        if self.circles.loops.len() < MOST_LOOPS {
            self.circles.loops.push(CycleReport {
                object: format!("{:016x}", knot.key.0),
                path: knot.path.clone(),
                waited_ms: knot.waited.as_micros() as f64 / 1e3,
                seen_before: knot.seen_before,
            });
        }
        let key = knot.key;
        self.orders.push(Order::Broke(knot));
        self.advance(key, now);
    }
}
