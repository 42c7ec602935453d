//! At its bounds the index gives places to the narrowest wider scope: copies may be refused that were good, none is taken
//! that is old, and everything is taken only where nothing narrower is left.
use harestage::time::{Moment, Span};
use harestage_purge::index::{FoldCounts, Index, LinearIndex};
use harestage_purge::scope::{CopyAttributes, Scope};
use std::hash::{DefaultHasher, Hash, Hasher};

const LONG: Span = Span::millis(1 << 40);

fn at(ms: u64) -> Moment {
    Moment::at_micros(ms * 1_000)
}

/// Chance from a seed and a counter.
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

    fn one<'a, T>(&mut self, of: &'a [T]) -> &'a T {
        &of[self.below(of.len() as u64) as usize]
    }
}

fn enter(index: &mut Index, scope: &Scope, ms: u64) {
    index.insert(&scope.compile().unwrap(), at(ms), at(ms));
}

fn object(id: u64) -> Scope {
    Scope::Object(format!("{id:016x}"))
}

fn bare(object: u64, name: &str) -> CopyAttributes<'_> {
    CopyAttributes { object, part: 0, group: Some(0), name: Some(name), tags: Some(&[]) }
}

const TAGS: [&str; 6] = ["claim", "north", "photo", "south", "urgent", "video"];

/// Ids that stand in heaps, as well as far from each other.
fn id(chance: &mut Chance) -> u64 {
    let heap = chance.below(4) << 60;
    let few = chance.below(40);
    match chance.below(3) {
        0 => heap | few,
        1 => heap | few << 40 | chance.below(3),
        _ => chance.next(),
    }
}

fn scope(chance: &mut Chance) -> Scope {
    let set = |chance: &mut Chance| (0..=chance.below(3)).map(|_| chance.one(&TAGS).to_string()).collect();
    match chance.below(12) {
        0..=3 => object(id(chance)),
        4..=5 => Scope::Part { object: format!("{:016x}", id(chance)), part: chance.below(3) as u32 },
        6 => Scope::Group(chance.below(9) as u32),
        7 => Scope::AllTags(set(chance)),
        8 => Scope::AnyTag(set(chance)),
        9..=10 => Scope::Prefix(format!("{:016x}", id(chance))[..1 + chance.below(8) as usize].to_string()),
        _ => Scope::Glob(format!(
            "{}*{}",
            &format!("{:016x}", id(chance))[..1 + chance.below(3) as usize],
            chance.below(9)
        )),
    }
}

#[test]
fn folded_or_not_the_index_never_allows_an_older_copy_than_a_plain_list() {
    let (mut bound_binds, mut exact) = (0, 0);
    for seed in 0..60 {
        let mut chance = Chance(seed, 0);
        let most = *chance.one(&[20, 40, 100, 1_000, 1_000]);
        let longest = Span::millis(*chance.one(&[60_000, 1 << 40]));
        let (mut index, mut plain) = (Index::new(most, longest), LinearIndex::default());
        let (mut now, mut folded_before) = (1_000_000, 0);
        for _ in 0..400 {
            now += chance.below(400);
            let checked = scope(&mut chance).compile().unwrap();
            // Some are told late.
            let purged = at(now - chance.below(3) * chance.below(4_000));
            index.insert(&checked, purged, at(now));
            plain.insert(&checked, purged);
            assert!(index.entry_count() <= most, "seed {seed}: {} live", index.entry_count());
            let (object, part, group) = (id(&mut chance), chance.below(3) as u32, chance.below(9) as u32);
            let name = format!("{object:016x}");
            let tags: Vec<&str> = (0..chance.below(4)).map(|_| *chance.one(&TAGS)).collect();
            let facts = CopyAttributes {
                object,
                part,
                group: Some(group).filter(|_| chance.below(5) > 0),
                name: Some(name.as_str()).filter(|_| chance.below(5) > 0),
                tags: Some(tags.as_slice()).filter(|_| chance.below(5) > 0),
            };
            let wanted = plain.newest_purge(&facts).filter(|purged| at(now).since(*purged) < longest);
            let told = index.newest_purge(&facts);
            assert!(told >= wanted, "seed {seed} at {now}: {told:?} for {facts:?}, {wanted:?} by the list");
            if index.total_folds() == 0 && longest == LONG {
                exact += 1;
                assert_eq!(told, wanted, "seed {seed} at {now}: exact while the bound does not bind");
            }
            folded_before = index.total_folds();
        }
        bound_binds += u64::from(folded_before > 0);
    }
    assert!(bound_binds >= 20 && exact > 2_000, "{bound_binds} runs at the bound, {exact} exact answers");
}

/// What is late or purged again does not lose its time when an older slot of it runs out or is folded.
#[test]
fn a_scope_purged_again_lives_by_its_latest_purge() {
    let mut index = Index::new(10, Span::millis(10_000));
    for ms in [1_000_000, 1_004_000, 1_002_000] {
        enter(&mut index, &object(7), ms);
        enter(&mut index, &Scope::Prefix("ab".into()), ms);
    }
    assert_eq!(index.entry_count(), 2);
    index.maintain(at(1_011_500));
    assert_eq!(index.newest_purge(&bare(7, "x")), Some(at(1_004_000)));
    assert_eq!(index.newest_purge(&bare(1, "abc")), Some(at(1_004_000)));
    index.maintain(at(1_015_000));
    assert_eq!((index.entry_count(), index.newest_purge(&bare(7, "abc"))), (0, None));
}

/// What is not told counts as covered only while something of that kind lives.
#[test]
fn facts_that_are_not_told_are_covered_only_by_what_lives() {
    let mut index = Index::new(10, Span::millis(10_000));
    let untold = CopyAttributes { object: 1, part: 0, group: None, name: None, tags: None };
    enter(&mut index, &Scope::Group(3), 1_000_000);
    enter(&mut index, &Scope::AnyTag(["claim".to_string()].into()), 1_001_000);
    enter(&mut index, &Scope::Prefix("ab".into()), 1_002_000);
    enter(&mut index, &object(9), 1_050_000);
    assert_eq!((index.entry_count(), index.newest_purge(&untold)), (1, None));
}

#[test]
fn parts_fold_into_their_object_and_objects_into_the_digits_that_they_share() {
    let mut index = Index::new(64, LONG);
    for part in 0..8 {
        enter(
            &mut index,
            &Scope::Part { object: format!("{:016x}", 0xaau64 << 32), part },
            1_000 + u64::from(part),
        );
    }
    // Far from each other: two alone share fewer than two digits with any.
    let far = |n: u64| n << 60 | n << 56 | 0x77;
    (0..15).for_each(|n| enter(&mut index, &object(far(n + 1)), 2_000 + n));
    for n in 0..41 {
        enter(&mut index, &object(0xbeef_0000_0000_0000 + n * 16), 3_000 + n);
    }
    assert_eq!((index.entry_count(), index.total_folds()), (64, 0));
    enter(&mut index, &object(5), 4_000);
    assert_eq!(
        index.fold_counts(),
        FoldCounts { parts: 8, ..FoldCounts::default() },
        "the parts give all that is needed"
    );
    assert_eq!(index.newest_purge(&bare(0xaa << 32, "x")), Some(at(1_007)), "a part that was not purged");
    assert_eq!(index.newest_purge(&bare(0xaa << 32 | 1, "x")), None);
    for n in 0..7 {
        enter(&mut index, &object(0xc0 << 56 | n), 5_000 + n);
    }
    let folded = index.fold_counts();
    assert!(folded.objects > 0 && folded.everything == 0, "{folded:?}");
    let covers = index.folded_coverage();
    assert!((1e-19..1e-12).contains(&covers), "neighbours fold, {covers} of all is covered");
    for n in 0..15 {
        assert_eq!(index.newest_purge(&bare(far(n + 1), "x")), Some(at(2_000 + n)));
        assert_eq!(index.newest_purge(&bare(far(n + 1) | 0x100, "x")), None, "what is alone stays as it is");
    }
    assert_eq!(index.newest_purge(&bare(0x1234, "beef")), None);
}

#[test]
fn prefixes_patterns_and_sets_fold_into_what_they_share() {
    let mut index = Index::new(32, LONG);
    (0..16).for_each(|n| enter(&mut index, &Scope::Prefix(format!("case/17/{n:02}/")), 1_000 + n));
    (0..16).for_each(|n| enter(&mut index, &Scope::Glob(format!("clip/3/*{n}")), 2_000 + n));
    enter(&mut index, &Scope::Prefix("file/9/".into()), 3_000);
    let folded = index.fold_counts();
    assert!(folded.prefixes + folded.patterns > 0 && folded.everything == 0, "{folded:?}");
    assert_eq!(index.newest_purge(&bare(1, "case/18/1")), None);
    assert_eq!(index.newest_purge(&bare(1, "clip/4/1")), None);
    assert_eq!(index.newest_purge(&bare(1, "file/9/x")), Some(at(3_000)));
    for n in 0..16 {
        assert!(index.newest_purge(&bare(1, &format!("case/17/{n:02}/x"))) >= Some(at(1_000 + n)));
        assert!(index.newest_purge(&bare(1, &format!("clip/3/x{n}"))) >= Some(at(2_000 + n)));
    }

    let mut index = Index::new(16, LONG);
    for n in 0..17u64 {
        let set = [format!("case-{n}"), "photo".to_string(), format!("z-{n}")];
        enter(&mut index, &Scope::AllTags(set.into()), 1_000 + n);
    }
    let folded = index.fold_counts();
    assert!(folded.tag_sets > 1 && folded.everything == 0, "{folded:?}");
    let with = |tags: &[&str]| index.newest_purge(&CopyAttributes { tags: Some(tags), ..bare(1, "x") });
    assert!(
        with(&["photo"]).is_some_and(|bound| bound < at(1_016)),
        "the tag that all of them have, the oldest first"
    );
    assert_eq!(with(&["case-3", "z-3"]), None);
    assert_eq!(with(&["case-16", "photo", "z-16"]), Some(at(1_016)));
}

#[test]
fn everything_is_taken_only_where_nothing_narrower_is_left() {
    let mut index = Index::new(100, LONG);
    (0..100).for_each(|n| enter(&mut index, &Scope::Group(n as u32), 1_000_000 + n * 1_000));
    for _ in 0..50 {
        (0..100).for_each(|n| enter(&mut index, &Scope::Group(n as u32), 2_000_000 + n * 1_000));
    }
    assert_eq!(
        (index.entry_count(), index.folds_to_everything()),
        (100, 0),
        "groups are as many as there are"
    );
    enter(&mut index, &Scope::Group(1_000), 3_000_000);
    assert!(index.folds_to_everything() > 0 && index.folded_coverage() == 1.0);
    assert!(
        index.newest_purge(&bare(1, "x")).is_some_and(|bound| bound < at(2_010_000)),
        "the oldest of them only"
    );

    // Beside as many groups as there is room, objects are folded as wide as they go.
    let mut index = Index::new(100, LONG);
    (0..80).for_each(|n| enter(&mut index, &Scope::Group(n as u32), 1_000_000 + n));
    let mut chance = Chance(1, 0);
    (0..5_000).for_each(|n| enter(&mut index, &object(chance.next()), 2_000_000 + n * 100));
    assert_eq!(index.folds_to_everything(), 0);
}

/// Twice the purges that there is room for, by object, for hours: no purge of everything, and most copies stay good.
#[test]
fn objects_far_from_each_other_fold_to_a_small_share() {
    // The largest takes several rounds to fold over all ids.
    for (most, times, most_covered) in [(20_000, 1.1, 0.1), (20_000, 2.0, 0.75), (80_000, 1.1, 0.1)] {
        let longest = Span::millis(1_000_000);
        let mut index = Index::new(most, longest);
        let mut chance = Chance(7, 0);
        let many = (most as f64 * times) as u64;
        let mut latest = Vec::new();
        for n in 0..many * 2 {
            let (id, ms) = (chance.next(), 10_000_000 + n * 1_000_000 / many);
            enter(&mut index, &object(id), ms);
            latest.push((id, ms));
        }
        assert_eq!(index.folds_to_everything(), 0);
        let covers = index.folded_coverage();
        assert!(covers <= most_covered && covers > 0.0, "{covers} covered at {times} times {most}");
        let living = latest.len() - many as usize + 100;
        for (id, ms) in &latest[living..] {
            assert!(index.newest_purge(&bare(*id, "x")) >= Some(at(*ms)));
        }
        let others = (0..20_000).filter(|_| index.newest_purge(&bare(chance.next(), "x")).is_some()).count();
        let share = others as f64 / 20_000.0;
        assert!((share - covers).abs() < 0.02, "{share} of others are covered, {covers} told");
    }
}

#[test]
fn the_bound_in_bytes_holds_as_the_bound_in_number_does() {
    let bytes = 2 << 20;
    let mut chance = Chance(3, 0);
    let mut index = Index::new(1_000_000, LONG).with_max_bytes(bytes);
    for n in 0..60_000u64 {
        enter(&mut index, &scope(&mut chance), 1_000_000 + n * 20);
        assert!(index.estimated_bytes() <= bytes, "{} bytes after {n}", index.estimated_bytes());
    }
    assert_eq!(index.folds_to_everything(), 0, "{:?}", index.fold_counts());
    // The same object again and again leaves slots of its seconds behind, which cost nothing but room.
    let mut index = Index::new(1_000_000, LONG).with_max_bytes(1 << 20);
    (0..100_000).for_each(|n| enter(&mut index, &object(n % 3), 1_000_000 + n * 1_000));
    assert_eq!((index.entry_count(), index.total_folds()), (3, 0));
    assert!(index.estimated_bytes() <= 1 << 20);
}
