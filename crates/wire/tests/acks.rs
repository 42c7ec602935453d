//! Acknowledgements that routers send to feeds of our own, and how they recognize such a feed.
use harestage_wire::feed::{
    Ack, AppliedPurges, MAX_ACK_BYTES, ServiceState, accepts_acks, decode_line, decode_service_state,
};

#[test]
fn acks_round_trip() {
    for ack in [
        Ack::Applied(0),
        Ack::Applied(u64::MAX),
        Ack::Initial(AppliedPurges { number: 3, at_ms: 4, retention_ms: 5 }),
    ] {
        let line = ack.encode();
        assert_eq!(Ack::decode(line.strip_suffix(b"\n").unwrap()), Some(ack));
    }
    let longest =
        Ack::Initial(AppliedPurges { number: u64::MAX, at_ms: u64::MAX, retention_ms: u64::MAX }).encode();
    assert_eq!(longest.len(), MAX_ACK_BYTES + 1);
    let malformed: [&[u8]; 6] = [
        b"HAS 3 at 4",
        b"HAS 3 at 4 keeps",
        b"HAS 3 at 4 keeps 5 6",
        b"HAS 3 keeps 5 at 4",
        b"HAS 3 at 4 keeps x",
        b"HAS 3 at  4 keeps 5",
    ];
    assert!(malformed.iter().all(|line| Ack::decode(line).is_none()));
}

#[test]
fn only_a_feed_that_says_so_accepts_acks() {
    let empty = r#"{"members":{"endpoints":[],"index":5,"snapshot":false},"n":5"#;
    let line = |more: &str| format!("{empty}{more}}}");
    assert!(accepts_acks(line(r#","hears":true"#).as_bytes()));
    for more in ["", r#","hears":false"#, r#","hears":1"#, r#","purges":3,"at":9"#] {
        assert!(!accepts_acks(line(more).as_bytes()), "{more}");
        assert!(decode_line(line(more).as_bytes()).is_ok());
    }
    assert!(!accepts_acks(b"5") && !accepts_acks(b"hears") && !accepts_acks(b"[true]"));
    let marks = ServiceState { purge_number: Some(3), purged_at_ms: Some(9), ..ServiceState::default() };
    assert_eq!(decode_service_state(line(r#","purges":3,"at":9"#).as_bytes()), Some(marks));
    assert_eq!(
        decode_service_state(line(r#","hears":true"#).as_bytes()),
        None,
        "it carries no service state"
    );
}
