//! Grants and expiry of leases.
use harestage::time::{Moment, Span};
use harestage_audit::lease::Lease;

#[test]
fn a_lease_counts_from_the_request_and_expires_during_a_pause() {
    let at = |ms: u64| Moment::at_micros(ms * 1_000);
    let duration = Span::millis(3_000);
    assert!(Lease::initial(at(0)).may_act(at(9_999)) && !Lease::initial(at(0)).may_act(at(10_000)));
    let lease = Lease::initial(at(0)).renewed(at(1_000), duration, false);
    assert!(lease.may_act(at(3_999)) && !lease.may_act(at(4_000)), "the first answer ends the initial lease");
    let lease = Lease::Until(at(2_000)).renewed(at(1_500), duration, false);
    assert!(lease.may_act(at(4_499)) && !lease.may_act(at(4_500)));
    // The process was paused for a minute, while the answer to its last request waited in the socket.
    let late = lease.renewed(at(4_000), duration, false);
    assert!(!late.may_act(at(64_000)));
    let excluded = late.renewed(at(65_000), duration, true);
    assert!(!excluded.may_act(at(65_001)));
    assert!(excluded.renewed(at(66_000), duration, false).may_act(at(66_001)));
    assert!(Lease::Unlimited.renewed(at(0), duration, true).may_act(at(1)));
    assert!(!Lease::Until(at(0)).renewed(at(0), Span::millis(u64::MAX / 2_000), false).may_act(at(121_000)));
}
