//! Two sides that each hold purges by number find from where they differ, against a plain comparison.
use harestage_purge::anti_entropy::{BlockDigests, Comparison, LEAF_BLOCK_LENGTH, MAX_BLOCKS, RangeDigests};
use harestage_purge::pack::{PackedItem, PackedPayload};
use harestage_purge::scope::Scope;
use std::hash::{DefaultHasher, Hash, Hasher};

struct Chance(u64, u64);

impl Chance {
    fn next(&mut self) -> u64 {
        self.1 += 1;
        let mut hasher = DefaultHasher::new();
        (self.0, self.1).hash(&mut hasher);
        hasher.finish()
    }

    fn below(&mut self, most: u64) -> u64 {
        self.next() % most
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

/// Messages back and forth until it is known: what came out, how many messages, and their bytes as JSON.
fn search(one: &RangeDigests, other: &RangeDigests) -> (Comparison, usize, usize) {
    let (mut asked, mut messages, mut bytes) = (one.held(), 0, 0);
    loop {
        let Some(blocks) = asked.as_ref().and_then(|range| one.blocks(range)) else {
            return (Comparison::Disjoint, messages, bytes);
        };
        assert!(blocks.digests.len() <= MAX_BLOCKS);
        messages += 1;
        bytes += serde_json::to_vec(&blocks).unwrap().len();
        assert!(messages <= 20, "it ends");
        match other.compare(&blocks) {
            Comparison::Narrow(range) => {
                bytes += format!("{range:?}").len();
                asked = Some(range);
            }
            step => return (step, messages, bytes),
        }
    }
}

#[test]
fn the_first_difference_is_found_as_by_a_plain_comparison() {
    let (mut same, mut differ, mut apart) = (0, 0, 0);
    for seed in 0..3_000 {
        let mut chance = Chance(seed, 0);
        let most = [3, 40, 700][chance.below(3) as usize];
        let length = 1 + chance.below(most);
        let begun = 1 + chance.below(5_000);
        let whole: Vec<PackedItem> = (begun..begun + length).map(|n| item(n, n as u32)).collect();
        let mut other = whole.clone();
        match chance.below(4) {
            0 => {}
            // Another service wrote on from there.
            1 => other.iter_mut().skip(chance.below(length) as usize).for_each(|item| item.term = 4),
            _ => (0..=chance.below(3)).for_each(|_| other[chance.below(length) as usize].at_ms += 1),
        }
        let part = |chance: &mut Chance, items: &[PackedItem]| {
            let from = chance.below(length) as usize / (1 + chance.below(4) as usize);
            let upto = from + 1 + chance.below(length - from as u64) as usize;
            items[from..upto].to_vec()
        };
        let (a, b) = (part(&mut chance, &whole), part(&mut chance, &other));
        let common: Vec<u64> =
            a.iter().map(|item| item.number).filter(|n| b.iter().any(|other| other.number == *n)).collect();
        let of = |items: &[PackedItem], n: u64| items.iter().find(|item| item.number == n).cloned();
        let first = common.iter().copied().find(|n| of(&a, *n) != of(&b, *n));
        let (step, _, _) = search(&digests(&a), &digests(&b));
        match (step, first) {
            (Comparison::Disjoint, None) if common.is_empty() => apart += 1,
            (Comparison::Same { upto }, None) => {
                assert_eq!(Some(&upto), common.last(), "seed {seed}");
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

/// What was forgotten on either side, or was told anew, counts as if it had been so from the beginning.
#[test]
fn what_is_forgotten_does_not_count() {
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
fn blocks_that_do_not_fit_to_their_range_are_refused() {
    let held = digests(&(1..100).map(|n| item(n, 0)).collect::<Vec<_>>());
    let blocks = |first, last, shift, many| BlockDigests { first, last, shift, digests: vec![0; many] };
    for wrong in [
        blocks(5, 4, 0, 1),
        blocks(1, 10, 0, 9),
        blocks(1, 10, 64, 1),
        blocks(1, 99, 0, 99),
        blocks(0, u64::MAX, 63, 2),
        blocks(0, u64::MAX - 1, 0, 0),
    ] {
        assert_eq!(held.compare(&wrong), Comparison::Malformed, "{wrong:?}");
    }
}

/// A day at 12 a second, and a member that holds it under another service: the bytes that it takes to find out.
#[test]
fn a_day_is_searched_in_a_few_messages() {
    let many = 1_036_800u64;
    let items: Vec<PackedItem> = (1..=many).map(|n| item(n, n as u32)).collect();
    let service = digests(&items);
    let (step, messages, bytes) = search(&digests(&items[..items.len() - 5_000]), &service);
    println!("5,000 missing: {messages} message, {bytes} bytes");
    assert_eq!((step, messages), (Comparison::Same { upto: many - 5_000 }, 1));
    let mut other = items.clone();
    other.iter_mut().skip(many as usize - 777).for_each(|item| item.term = 4);
    let (step, messages, bytes) = search(&digests(&other), &service);
    println!("the last 777 of another term: {messages} messages, {bytes} bytes");
    assert!(
        matches!(step, Comparison::Differ { from } if from <= many - 776 && from > many - 777 - LEAF_BLOCK_LENGTH),
        "{step:?}"
    );
    assert!(messages <= 5 && bytes <= 2_000, "{messages} messages, {bytes} bytes");
}
