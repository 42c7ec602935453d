//! Whom to ask among several places.
use harestage_sockets::leader::Leader;
use std::net::SocketAddr;

#[test]
fn all_places_are_tried_and_what_is_told_is_tried_first() {
    let place = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
    let mut leader = Leader::among(vec![place(1), place(2), place(3)]).unwrap();
    assert_eq!(leader.next(), place(1));
    leader.missed();
    assert_eq!(leader.next(), place(2));
    leader.elsewhere(Some("127.0.0.1:1"));
    assert_eq!(leader.next(), place(1));
    leader.missed();
    assert_eq!(leader.next(), place(3), "the round goes on where it was");
    leader.elsewhere(Some("127.0.0.1:9"));
    assert_eq!(leader.next(), place(1), "nobody is led to a place that was not known");
    leader.found(place(2));
    assert_eq!(leader.next(), place(2));
    assert!(Leader::among(Vec::new()).is_none());
}
