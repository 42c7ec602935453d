//! Which address is tried next, and the wait before it.
use harestage_sockets::leader::LeaderFinder;
use std::net::SocketAddr;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The first rounds through all addresses have the shortest wait, enough for a change of leader. Each further round in
/// vain doubles the wait up to a limit; finding a leader resets it.
#[test]
fn the_wait_grows_while_no_leader_is_found() {
    let mut leader = LeaderFinder::from_addresses(vec![address(1), address(2)]).unwrap();
    let mut waits = Vec::new();
    for _ in 0..14 {
        leader.on_failure();
        waits.push(leader.backoff_factor());
    }
    assert_eq!(waits, [1, 1, 1, 1, 1, 1, 1, 2, 2, 4, 4, 4, 4, 4]);
    leader.on_leader(address(2));
    leader.on_failure();
    assert_eq!(leader.backoff_factor(), 1);
}
