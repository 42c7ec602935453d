//! Leases and their ends.
use harestage::time::{Moment, Span};
use harestage_audit::lease::Lease;

#[test]
fn a_lease_counts_from_the_question_and_a_stop_runs_it_out() {
    let at = |ms: u64| Moment::at_micros(ms * 1_000);
    let term = Span::millis(3_000);
    assert!(Lease::initial(at(0)).may_act(at(9_999)) && !Lease::initial(at(0)).may_act(at(10_000)));
    let lease = Lease::initial(at(0)).renewed(at(1_000), term, false);
    assert!(lease.may_act(at(3_999)) && !lease.may_act(at(4_000)), "with an answer the first one is over");
    let lease = Lease::Until(at(2_000)).renewed(at(1_500), term, false);
    assert!(lease.may_act(at(4_499)) && !lease.may_act(at(4_500)));
    // It was stopped for a minute; the answer to its question from before waits in the socket.
    let late = lease.renewed(at(4_000), term, false);
    assert!(!late.may_act(at(64_000)));
    let shut = late.renewed(at(65_000), term, true);
    assert!(!shut.may_act(at(65_001)));
    assert!(shut.renewed(at(66_000), term, false).may_act(at(66_001)));
    assert!(Lease::Unlimited.renewed(at(0), term, true).may_act(at(1)));
    assert!(!Lease::Until(at(0)).renewed(at(0), Span::millis(u64::MAX / 2_000), false).may_act(at(121_000)));
}
