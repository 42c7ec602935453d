//! All ways of a group's two members through decisions, agreement, leases and choices, on the state machines that run.
#[test]
fn what_a_group_lets_out_holds_on_all_ways() {
    let states = harestage_measure::effects::check(9);
    assert!(states > 2_000, "{states} states");
}
