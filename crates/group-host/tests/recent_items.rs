//! What is held of the newest of numbered things.
use harestage_group_host::RecentItems;

fn after(recent: &RecentItems<u64>, number: u64) -> Vec<u64> {
    recent.after(number).copied().collect()
}

#[test]
fn what_follows_a_number_is_found_by_its_place() {
    let mut recent = RecentItems::new(4);
    assert_eq!((recent.last(), after(&recent, 0)), (0, vec![]));
    (1..=3).for_each(|number| recent.push(number, number));
    assert_eq!((recent.last(), after(&recent, 0)), (3, vec![1, 2, 3]));
    assert_eq!((after(&recent, 2), after(&recent, 3), after(&recent, 9)), (vec![3], vec![], vec![]));
    (4..=9).for_each(|number| recent.push(number, number));
    assert_eq!(after(&recent, 0), [6, 7, 8, 9], "no more than it holds, the oldest gone first");
    assert_eq!(after(&recent, 7), [8, 9]);
}

#[test]
fn a_gap_and_a_clearing_begin_anew() {
    let mut recent = RecentItems::new(4);
    recent.push(7, 7);
    recent.push(8, 8);
    recent.push(12, 12);
    assert_eq!((recent.last(), after(&recent, 0)), (12, vec![12]), "places would be wrong across a gap");
    recent.push(13, 13);
    assert_eq!(after(&recent, 11), [12, 13]);
    recent.clear();
    assert_eq!((recent.last(), after(&recent, 0)), (0, vec![]));
    recent.push(3, 3);
    assert_eq!(after(&recent, 2), [3]);
}
