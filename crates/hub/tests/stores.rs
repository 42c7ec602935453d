//! What a hub keeps: lowest rank first, then least recently used, nothing for a copy of lower rank; purges at once.
use bytes::Bytes;
use harestage::time::{Moment, Span};
use harestage_hub::store::{Copy, Named, Store};
use harestage_purge::scope::Scope;
use quickcheck::{Gen, QuickCheck};

const OVERHEAD: usize = 256;

fn at(ms: u64) -> Moment {
    Moment::at_micros(ms * 1_000)
}

fn copy(bytes: usize, dated: u64, group: Option<u32>) -> Copy {
    Copy { digest: "d".into(), dated: at(dated), group, body: Bytes::from(vec![0; bytes]) }
}

/// Against a list that is searched whole.
#[test]
fn what_goes_is_what_a_plain_list_would_let_go() {
    fn same(steps: Vec<(u8, u8, u8)>) -> bool {
        let room = 8 * (100 + OVERHEAD);
        let mut store = Store::new(room);
        // Key, rank, last use.
        let mut plain: Vec<(u64, u8, usize)> = Vec::new();
        for (now, (what, object, rank)) in steps.into_iter().enumerate() {
            let (object, rank) = (u64::from(object % 14), rank % 4);
            if what % 3 == 0 {
                let found = store.get((object, 0)).is_some();
                let entry = plain.iter_mut().find(|(o, _, _)| *o == object);
                if found != entry.is_some() {
                    return false;
                }
                entry.into_iter().for_each(|entry| entry.2 = now);
                continue;
            }
            let kept = store.put((object, 0), copy(100, 1_000, None), rank);
            let before = plain.iter().find(|(o, _, _)| *o == object).copied();
            let rank = if rank == 0 { 0 } else { before.map_or(rank, |(_, own, _)| own.max(rank)) };
            let others = plain.iter().filter(|(o, _, _)| *o != object).count();
            let victim =
                plain.iter().filter(|(o, r, _)| *o != object && *r <= rank).min_by_key(|(_, r, n)| (*r, *n));
            let victim = victim.map(|(o, _, _)| *o);
            let fits = rank > 0 && (others < 8 || victim.is_some());
            if kept != fits {
                return false;
            }
            if fits {
                if others >= 8 {
                    plain.retain(|(o, _, _)| Some(*o) != victim);
                }
                plain.retain(|(o, _, _)| *o != object);
                plain.push((object, rank, now));
            }
            if store.bytes() > room || store.copies() != plain.len() {
                return false;
            }
        }
        true
    }
    for seed in 1..=4 {
        let rng = Gen::from_size_and_seed(200, seed);
        QuickCheck::new().rng(rng).tests(150).quickcheck(same as fn(Vec<(u8, u8, u8)>) -> bool);
    }
}

#[test]
fn an_older_copy_that_comes_late_does_not_replace_a_newer_one() {
    let mut store = Store::new(10_000);
    assert!(store.put((1, 0), copy(10, 2_000, None), 1));
    assert!(store.put((1, 0), copy(10, 1_000, None), 3));
    assert_eq!(store.look((1, 0)).unwrap().dated, at(2_000));
    assert!(!store.put((2, 0), copy(20_000, 1, None), 3), "larger than the whole");
}

#[test]
fn a_purge_drops_what_it_names_and_keeps_older_copies_out() {
    let mut store = Store::new(100_000);
    for (object, group) in [(1, Some(7)), (2, Some(8)), (3, None)] {
        assert!(store.put((object, 0), copy(10, 1_000, group), 1));
    }
    store.purge(Named::Group(7), at(1_500), at(1_500));
    let held = |store: &Store| [1, 2, 3].map(|object| store.look((object, 0)).is_some());
    assert_eq!(held(&store), [false, true, false], "a copy of no told group may be of any");
    assert!(!store.put((1, 0), copy(10, 1_500, Some(7)), 1), "of the very moment");
    assert!(store.put((1, 0), copy(10, 1_501, Some(7)), 1));
    store.purge(Named::Object(2), at(1_600), at(1_600));
    assert_eq!(held(&store), [true, false, false]);
    assert_eq!(store.purged_at(2), at(1_600));
    let scope = Scope::Prefix("0000".into()).compile().unwrap();
    store.purge_scope(&scope, at(1_700), at(1_700));
    assert_eq!(held(&store), [false; 3]);
    assert!(
        !store.put((9, 0), copy(10, 1_700, Some(1)), 1) && store.put((9, 0), copy(10, 1_701, Some(1)), 1)
    );
}

/// Memory of purges is bounded: past it a copy is refused that was good, never taken that is old.
#[test]
fn many_purges_fold_into_a_bound_for_all() {
    let mut store = Store::new(100_000);
    let now = at(10_000_000);
    for n in 0..70_000u64 {
        store.purge(Named::Object(1_000_000 + n), now + Span::micros(n), now);
    }
    assert!(
        !store.put((1_000_000, 0), copy(10, 10_000_000, Some(1)), 1),
        "still refused, though its line is gone"
    );
    assert!(store.put((5, 0), copy(10, 10_000_100, Some(1)), 1));
}

/// Purges of objects, parts and groups against a list that is walked whole: the same copies stay, and each purge of an object
/// finds all its parts.
#[test]
fn a_purge_leaves_what_a_walk_over_all_copies_would_leave() {
    fn same(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut store = Store::new(1 << 20);
        // Key, when it was dated, group.
        let mut plain: Vec<((u64, u32), u64, u32)> = Vec::new();
        let mut now = 10_000;
        for (what, object, part) in steps {
            now += 10;
            let (object, part, group) = (u64::from(object % 6), u32::from(part % 3), u32::from(object % 2));
            let scope = match what % 7 {
                0 => Scope::Object(format!("{object:016x}")),
                1 => Scope::Part { object: format!("{object:016x}"), part },
                2 => Scope::Group(group),
                3 => {
                    store.purge(Named::Object(object), at(now - 5), at(now));
                    plain.retain(|((own, _), dated, _)| *own != object || *dated > now - 5);
                    continue;
                }
                4 => {
                    store.purge(Named::Group(group), at(now - 5), at(now));
                    plain.retain(|(_, dated, own)| *own != group || *dated > now - 5);
                    continue;
                }
                _ => {
                    // Some copies are from before a purge that is known.
                    let dated = if part == 2 { now - 40 } else { now };
                    let kept = store.put((object, part), copy(10, dated, Some(group)), 1);
                    if kept && !plain.iter().any(|(key, own, _)| *key == (object, part) && *own > dated) {
                        plain.retain(|(key, _, _)| *key != (object, part));
                        plain.push(((object, part), dated, group));
                    }
                    continue;
                }
            };
            let checked = scope.compile().expect("it is a scope");
            store.purge_scope(&checked, at(now - 5), at(now));
            plain.retain(|((own, its), dated, in_group)| {
                let meant = match what % 7 {
                    0 => *own == object,
                    1 => (*own, *its) == (object, part),
                    _ => *in_group == group,
                };
                !meant || *dated > now - 5
            });
            if store.copies() != plain.len() || !plain.iter().all(|(key, _, _)| store.look(*key).is_some()) {
                return false;
            }
        }
        true
    }
    for seed in 1..=4 {
        let rng = Gen::from_size_and_seed(120, seed);
        QuickCheck::new().rng(rng).tests(200).quickcheck(same as fn(Vec<(u8, u8, u8)>) -> bool);
    }
}
