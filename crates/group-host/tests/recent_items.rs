//! Which items the buffer of recent items keeps.
use harestage_group_host::RecentItems;

fn after(items: &RecentItems<u64>, number: u64) -> Vec<u64> {
    items.after(number).copied().collect()
}

#[test]
fn items_after_a_number_are_found_by_position() {
    let mut items = RecentItems::new(4);
    assert_eq!((items.last(), after(&items, 0)), (0, vec![]));
    (1..=3).for_each(|number| items.push(number, number));
    assert_eq!((items.last(), after(&items, 0)), (3, vec![1, 2, 3]));
    assert_eq!((after(&items, 2), after(&items, 3), after(&items, 9)), (vec![3], vec![], vec![]));
    (4..=9).for_each(|number| items.push(number, number));
    assert_eq!(after(&items, 0), [6, 7, 8, 9], "the oldest items are dropped beyond the capacity");
    assert_eq!(after(&items, 7), [8, 9]);
}

#[test]
fn a_gap_and_a_clear_drop_all_earlier_items() {
    let mut items = RecentItems::new(4);
    items.push(7, 7);
    items.push(8, 8);
    items.push(12, 12);
    assert_eq!((items.last(), after(&items, 0)), (12, vec![12]), "positions would be wrong across a gap");
    items.push(13, 13);
    assert_eq!(after(&items, 11), [12, 13]);
    items.clear();
    assert_eq!((items.last(), after(&items, 0)), (0, vec![]));
    items.push(3, 3);
    assert_eq!(after(&items, 2), [3]);
}
