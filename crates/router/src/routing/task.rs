//! Runs a [`Routing`] on the real clock: it reads two queues and handles all waiting inputs in one step.
use super::{Input, Routing, Transport};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future::or;
use harestage::time::Moment;
use harestage_sockets::clock::Clock;

/// `clients` is unbounded, so that its senders never wait, and is emptied in each step. `inbox` is bounded,
/// since answers of nodes are large.
pub async fn run(
    mut routing: Routing,
    clients: Receiver<Input>,
    inbox: Receiver<Input>,
    mut transport: impl Transport,
    clock: Clock,
    max_inputs_per_step: usize,
) {
    let mut inputs = Vec::with_capacity(max_inputs_per_step);
    let mut timer = Timer::never();
    // Setting a timer costs system calls, so one that fires too early is left as it is.
    let mut set_for: Option<Moment> = None;
    loop {
        if let Some(due) = routing.next_timer().filter(|due| set_for.is_none_or(|at| *due < at)) {
            timer.set_at(clock.instant(due));
            set_for = Some(due);
        }
        let first = or(async { clients.recv().await.ok() }, async { inbox.recv().await.ok() });
        let fired = async {
            (&mut timer).await;
            None
        };
        let woken = or(first, fired).await;
        if woken.is_none() {
            set_for = None;
        }
        inputs.extend(woken);
        // All inputs from clients are taken first, so that a client's disconnect is seen before anything is
        // done for it.
        inputs.extend(std::iter::from_fn(|| clients.try_recv().ok()));
        inputs.extend(std::iter::from_fn(|| inbox.try_recv().ok()).take(max_inputs_per_step));
        routing.step(clock.now(), inputs.drain(..), &mut transport);
    }
}
