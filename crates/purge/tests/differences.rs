//! Anti-entropy search for the first difference between two sides, checked against a direct comparison.
use harestage_purge::anti_entropy::{BlockDigests, Comparison, LEAF_BLOCK_LENGTH, MAX_BLOCKS, RangeDigests};
use harestage_purge::pack::{PackedItem, PackedPayload};
use harestage_purge::scope::Scope;
use std::hash::{DefaultHasher, Hash, Hasher};

struct TestRng(u64, u64);

impl TestRng {
    fn next(&mut self) -> u64 {
        self.1 += 1;
        let mut hasher = DefaultHasher::new();
        (self.0, self.1).hash(&mut hasher);
        hasher.finish()
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

fn item(number: u64, group: u32) -> PackedItem {
    PackedItem { number, term: 3, at_ms: number * 83, payload: PackedPayload::Purge(Scope::Group(group)) }
}

fn digests(items: &[PackedItem]) -> RangeDigests {
    let mut digests = RangeDigests::new(items.first().map_or(1, |item| item.number));
    assert!(items.iter().all(|item| digests.push(item)));
    digests
}

/// Exchanges messages until the search ends. Returns the result, the number of messages and their size as
/// JSON.
fn search(one: &RangeDigests, other: &RangeDigests) -> (Comparison, usize, usize) {
    let (mut requested, mut messages, mut bytes) = (one.held(), 0, 0);
    loop {
        let Some(blocks) = requested.as_ref().and_then(|range| one.blocks(range)) else {
            return (Comparison::Disjoint, messages, bytes);
        };
        assert!(blocks.digests.len() <= MAX_BLOCKS);
        messages += 1;
        bytes += serde_json::to_vec(&blocks).unwrap().len();
        assert!(messages <= 20, "the search ends");
        match other.compare(&blocks) {
            Comparison::Narrow(range) => {
                bytes += format!("{range:?}").len();
                requested = Some(range);
            }
            step => return (step, messages, bytes),
        }
    }
}

#[test]
fn search_finds_the_first_difference() {
    let (mut same, mut differ, mut apart) = (0, 0, 0);
    for seed in 0..3_000 {
        let mut rng = TestRng(seed, 0);
        let bound = [3, 40, 700][rng.below(3) as usize];
        let length = 1 + rng.below(bound);
        let first_number = 1 + rng.below(5_000);
        let whole: Vec<PackedItem> =
            (first_number..first_number + length).map(|n| item(n, n as u32)).collect();
        let mut other = whole.clone();
        match rng.below(4) {
            0 => {}
            // Another leader continued from there.
            1 => other.iter_mut().skip(rng.below(length) as usize).for_each(|item| item.term = 4),
            _ => (0..=rng.below(3)).for_each(|_| other[rng.below(length) as usize].at_ms += 1),
        }
        let random_part = |rng: &mut TestRng, items: &[PackedItem]| {
            let from = rng.below(length) as usize / (1 + rng.below(4) as usize);
            let upto = from + 1 + rng.below(length - from as u64) as usize;
            items[from..upto].to_vec()
        };
        let (a, b) = (random_part(&mut rng, &whole), random_part(&mut rng, &other));
        let shared: Vec<u64> =
            a.iter().map(|item| item.number).filter(|n| b.iter().any(|other| other.number == *n)).collect();
        let item_at = |items: &[PackedItem], n: u64| items.iter().find(|item| item.number == n).cloned();
        let first = shared.iter().copied().find(|n| item_at(&a, *n) != item_at(&b, *n));
        let (step, _, _) = search(&digests(&a), &digests(&b));
        match (step, first) {
            (Comparison::Disjoint, None) if shared.is_empty() => apart += 1,
            (Comparison::Same { upto }, None) => {
                assert_eq!(Some(&upto), shared.last(), "seed {seed}");
                same += 1;
            }
            (Comparison::Differ { from }, Some(first)) => {
                assert!(from <= first && first < from + LEAF_BLOCK_LENGTH, "seed {seed}: {from} for {first}");
                differ += 1;
            }
            other => panic!("seed {seed}: {other:?}"),
        }
    }
    assert!(same > 300 && differ > 300 && apart > 30, "{same} same, {differ} differ, {apart} apart");
}

/// Items dropped on either side, or added again, count as if it had been so from the beginning.
#[test]
fn dropped_items_do_not_affect_the_search() {
    let items: Vec<PackedItem> = (100..400).map(|n| item(n, n as u32)).collect();
    let mut digests_of_all = digests(&items);
    digests_of_all.forget_before(250);
    digests_of_all.forget_from(350);
    assert_eq!(digests_of_all.held(), Some(250..=349));
    let part = digests(&items[150..250]);
    assert_eq!(digests_of_all.blocks(&(0..=u64::MAX)), part.blocks(&(0..=u64::MAX)));
    assert!(!digests_of_all.push(&item(351, 1)) && digests_of_all.push(&item(350, 350)));
    assert_eq!(search(&digests_of_all, &digests(&items)).0, Comparison::Same { upto: 350 });
    digests_of_all.forget_from(0);
    assert_eq!(digests_of_all.held(), None);
    assert_eq!(search(&digests(&items), &digests_of_all).0, Comparison::Disjoint);
}

#[test]
fn blocks_that_do_not_fit_their_range_are_refused() {
    let held = digests(&(1..100).map(|n| item(n, 0)).collect::<Vec<_>>());
    let blocks = |first, last, shift, count| BlockDigests { first, last, shift, digests: vec![0; count] };
    for invalid in [
        blocks(5, 4, 0, 1),
        blocks(1, 10, 0, 9),
        blocks(1, 10, 64, 1),
        blocks(1, 99, 0, 99),
        blocks(0, u64::MAX, 63, 2),
        blocks(0, u64::MAX - 1, 0, 0),
    ] {
        assert_eq!(held.compare(&invalid), Comparison::Malformed, "{invalid:?}");
    }
}

/// A day of purges at 12 a second, and a member that holds items of another term: the bytes that the search
/// takes.
#[test]
fn a_day_is_searched_in_a_few_messages() {
    let count = 1_036_800u64;
    let items: Vec<PackedItem> = (1..=count).map(|n| item(n, n as u32)).collect();
    let service = digests(&items);
    let (step, messages, bytes) = search(&digests(&items[..items.len() - 5_000]), &service);
    println!("5,000 missing: {messages} message, {bytes} bytes");
    assert_eq!((step, messages), (Comparison::Same { upto: count - 5_000 }, 1));
    let mut other = items.clone();
    other.iter_mut().skip(count as usize - 777).for_each(|item| item.term = 4);
    let (step, messages, bytes) = search(&digests(&other), &service);
    println!("the last 777 of another term: {messages} messages, {bytes} bytes");
    assert!(
        matches!(step, Comparison::Differ { from } if from <= count - 776 && from > count - 777 - LEAF_BLOCK_LENGTH),
        "{step:?}"
    );
    assert!(messages <= 5 && bytes <= 2_000, "{messages} messages, {bytes} bytes");
}
