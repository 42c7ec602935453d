//! Where to call next, and how long to wait before it.
use harestage_sockets::leader::LeaderFinder;
use std::net::SocketAddr;

fn place(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Some rounds through all places go at the usual pace, as a change of leader needs; with each further one in vain it is
/// waited for longer, up to a bound, and not any more once somebody speaks.
#[test]
fn whoever_finds_nobody_calls_less_often() {
    let mut leader = LeaderFinder::from_addresses(vec![place(1), place(2)]).unwrap();
    let mut waits = Vec::new();
    for _ in 0..14 {
        leader.on_failure();
        waits.push(leader.backoff_factor());
    }
    assert_eq!(waits, [1, 1, 1, 1, 1, 1, 1, 2, 2, 4, 4, 4, 4, 4]);
    leader.on_leader(place(2));
    leader.on_failure();
    assert_eq!(leader.backoff_factor(), 1);
}
