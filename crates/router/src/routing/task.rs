//! Runs a `Routing` on the real clock: one queue in, one turn for all that has come.
use super::clock::Clock;
use super::{News, Outward, Routing};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future::{or, pending};

pub async fn run(
    mut routing: Routing,
    inbox: Receiver<News>,
    mut outward: impl Outward,
    clock: Clock,
    most_in_a_turn: usize,
) {
    let mut news = Vec::with_capacity(most_in_a_turn);
    loop {
        let bell = routing.next_bell();
        let first = async { inbox.recv().await.ok() };
        let rung = async {
            match bell {
                Some(at) => Timer::at(clock.instant(at)).await,
                None => pending().await,
            };
            None
        };
        news.extend(or(first, rung).await);
        while news.len() < most_in_a_turn
            && let Ok(more) = inbox.try_recv()
        {
            news.push(more);
        }
        routing.step(clock.now(), news.drain(..), &mut outward);
    }
}
