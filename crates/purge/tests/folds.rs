//! At its limits the index folds purges into the narrowest wider scope. Valid copies may be rejected, but
//! none that was purged is admitted, and everything is covered only if no narrower scope is left.
use harestage::time::{Moment, Span};
use harestage_purge::index::{FoldCounts, Index, LinearIndex};
use harestage_purge::scope::{CopyAttributes, Scope};
use std::hash::{DefaultHasher, Hash, Hasher};

const LONG: Span = Span::millis(1 << 40);

fn at(ms: u64) -> Moment {
    Moment::at_micros(ms * 1_000)
}

/// Deterministic random numbers from a seed and a counter.
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

    fn one<'a, T>(&mut self, of: &'a [T]) -> &'a T {
        &of[self.below(of.len() as u64) as usize]
    }
}

fn insert(index: &mut Index, scope: &Scope, ms: u64) {
    index.insert(&scope.compile().unwrap(), at(ms), at(ms));
}

fn object(id: u64) -> Scope {
    Scope::Object(format!("{id:016x}"))
}

fn named_copy(object: u64, name: &str) -> CopyAttributes<'_> {
    CopyAttributes { object, part: 0, group: Some(0), name: Some(name), tags: Some(&[]) }
}

const TAGS: [&str; 6] = ["claim", "north", "photo", "south", "urgent", "video"];

/// Ids in clusters as well as scattered ones.
fn id(rng: &mut TestRng) -> u64 {
    let cluster = rng.below(4) << 60;
    let offset = rng.below(40);
    match rng.below(3) {
        0 => cluster | offset,
        1 => cluster | offset << 40 | rng.below(3),
        _ => rng.next(),
    }
}

fn scope(rng: &mut TestRng) -> Scope {
    let set = |rng: &mut TestRng| (0..=rng.below(3)).map(|_| rng.one(&TAGS).to_string()).collect();
    match rng.below(12) {
        0..=3 => object(id(rng)),
        4..=5 => Scope::Part { object: format!("{:016x}", id(rng)), part: rng.below(3) as u32 },
        6 => Scope::Group(rng.below(9) as u32),
        7 => Scope::AllTags(set(rng)),
        8 => Scope::AnyTag(set(rng)),
        9..=10 => Scope::Prefix(format!("{:016x}", id(rng))[..1 + rng.below(8) as usize].to_string()),
        _ => Scope::Glob(format!(
            "{}*{}",
            &format!("{:016x}", id(rng))[..1 + rng.below(3) as usize],
            rng.below(9)
        )),
    }
}

#[test]
fn folding_never_admits_copies_that_a_linear_scan_rejects() {
    let (mut runs_at_limit, mut exact) = (0, 0);
    for seed in 0..60 {
        let mut rng = TestRng(seed, 0);
        let max_entries = *rng.one(&[20, 40, 100, 1_000, 1_000]);
        let max_copy_age = Span::millis(*rng.one(&[60_000, 1 << 40]));
        let (mut index, mut linear) = (Index::new(max_entries, max_copy_age), LinearIndex::default());
        let (mut now, mut folded_before) = (1_000_000, 0);
        for _ in 0..400 {
            now += rng.below(400);
            let compiled = scope(&mut rng).compile().unwrap();
            // Some purges arrive late.
            let purged = at(now - rng.below(3) * rng.below(4_000));
            index.insert(&compiled, purged, at(now));
            linear.insert(&compiled, purged);
            assert!(index.entry_count() <= max_entries, "seed {seed}: {} live", index.entry_count());
            let (object, part, group) = (id(&mut rng), rng.below(3) as u32, rng.below(9) as u32);
            let name = format!("{object:016x}");
            let tags: Vec<&str> = (0..rng.below(4)).map(|_| *rng.one(&TAGS)).collect();
            let attributes = CopyAttributes {
                object,
                part,
                group: Some(group).filter(|_| rng.below(5) > 0),
                name: Some(name.as_str()).filter(|_| rng.below(5) > 0),
                tags: Some(tags.as_slice()).filter(|_| rng.below(5) > 0),
            };
            let wanted =
                linear.newest_purge(&attributes).filter(|purged| at(now).since(*purged) < max_copy_age);
            let bound = index.newest_purge(&attributes);
            assert!(
                bound >= wanted,
                "seed {seed} at {now}: {bound:?} for {attributes:?}, {wanted:?} by the linear scan"
            );
            if index.total_folds() == 0 && max_copy_age == LONG {
                exact += 1;
                assert_eq!(bound, wanted, "seed {seed} at {now}: exact as long as nothing is folded");
            }
            folded_before = index.total_folds();
        }
        runs_at_limit += u64::from(folded_before > 0);
    }
    assert!(runs_at_limit >= 20 && exact > 2_000, "{runs_at_limit} runs with folding, {exact} exact answers");
}

/// A late or repeated purge keeps the latest time when an older wheel slot of its scope expires or is
/// folded.
#[test]
fn a_scope_purged_again_expires_by_its_latest_purge() {
    let mut index = Index::new(10, Span::millis(10_000));
    for ms in [1_000_000, 1_004_000, 1_002_000] {
        insert(&mut index, &object(7), ms);
        insert(&mut index, &Scope::Prefix("ab".into()), ms);
    }
    assert_eq!(index.entry_count(), 2);
    index.maintain(at(1_011_500));
    assert_eq!(index.newest_purge(&named_copy(7, "x")), Some(at(1_004_000)));
    assert_eq!(index.newest_purge(&named_copy(1, "abc")), Some(at(1_004_000)));
    index.maintain(at(1_015_000));
    assert_eq!((index.entry_count(), index.newest_purge(&named_copy(7, "abc"))), (0, None));
}

/// An unknown attribute counts as covered only while a purge of that kind is live.
#[test]
fn unknown_attributes_are_covered_only_by_live_purges() {
    let mut index = Index::new(10, Span::millis(10_000));
    let unknown = CopyAttributes { object: 1, part: 0, group: None, name: None, tags: None };
    insert(&mut index, &Scope::Group(3), 1_000_000);
    insert(&mut index, &Scope::AnyTag(["claim".to_string()].into()), 1_001_000);
    insert(&mut index, &Scope::Prefix("ab".into()), 1_002_000);
    insert(&mut index, &object(9), 1_050_000);
    assert_eq!((index.entry_count(), index.newest_purge(&unknown)), (1, None));
}

#[test]
fn parts_fold_into_their_object_and_objects_into_common_prefixes() {
    let mut index = Index::new(64, LONG);
    for part in 0..8 {
        insert(
            &mut index,
            &Scope::Part { object: format!("{:016x}", 0xaau64 << 32), part },
            1_000 + u64::from(part),
        );
    }
    // Scattered ids: no two of them share two digits.
    let scattered = |n: u64| n << 60 | n << 56 | 0x77;
    (0..15).for_each(|n| insert(&mut index, &object(scattered(n + 1)), 2_000 + n));
    for n in 0..41 {
        insert(&mut index, &object(0xbeef_0000_0000_0000 + n * 16), 3_000 + n);
    }
    assert_eq!((index.entry_count(), index.total_folds()), (64, 0));
    insert(&mut index, &object(5), 4_000);
    assert_eq!(
        index.fold_counts(),
        FoldCounts { parts: 8, ..FoldCounts::default() },
        "folding the parts is enough"
    );
    assert_eq!(
        index.newest_purge(&named_copy(0xaa << 32, "x")),
        Some(at(1_007)),
        "a part that was not purged"
    );
    assert_eq!(index.newest_purge(&named_copy(0xaa << 32 | 1, "x")), None);
    for n in 0..7 {
        insert(&mut index, &object(0xc0 << 56 | n), 5_000 + n);
    }
    let folded = index.fold_counts();
    assert!(folded.objects > 0 && folded.everything == 0, "{folded:?}");
    let coverage = index.folded_coverage();
    assert!((1e-19..1e-12).contains(&coverage), "neighbours fold, {coverage} of all is covered");
    for n in 0..15 {
        assert_eq!(index.newest_purge(&named_copy(scattered(n + 1), "x")), Some(at(2_000 + n)));
        assert_eq!(
            index.newest_purge(&named_copy(scattered(n + 1) | 0x100, "x")),
            None,
            "scattered ids do not fold"
        );
    }
    assert_eq!(index.newest_purge(&named_copy(0x1234, "beef")), None);
}

#[test]
fn prefixes_patterns_and_tag_sets_fold_into_what_they_share() {
    let mut index = Index::new(32, LONG);
    (0..16).for_each(|n| insert(&mut index, &Scope::Prefix(format!("case/17/{n:02}/")), 1_000 + n));
    (0..16).for_each(|n| insert(&mut index, &Scope::Glob(format!("clip/3/*{n}")), 2_000 + n));
    insert(&mut index, &Scope::Prefix("file/9/".into()), 3_000);
    let folded = index.fold_counts();
    assert!(folded.prefixes + folded.patterns > 0 && folded.everything == 0, "{folded:?}");
    assert_eq!(index.newest_purge(&named_copy(1, "case/18/1")), None);
    assert_eq!(index.newest_purge(&named_copy(1, "clip/4/1")), None);
    assert_eq!(index.newest_purge(&named_copy(1, "file/9/x")), Some(at(3_000)));
    for n in 0..16 {
        assert!(index.newest_purge(&named_copy(1, &format!("case/17/{n:02}/x"))) >= Some(at(1_000 + n)));
        assert!(index.newest_purge(&named_copy(1, &format!("clip/3/x{n}"))) >= Some(at(2_000 + n)));
    }

    let mut index = Index::new(16, LONG);
    for n in 0..17u64 {
        let set = [format!("case-{n}"), "photo".to_string(), format!("z-{n}")];
        insert(&mut index, &Scope::AllTags(set.into()), 1_000 + n);
    }
    let folded = index.fold_counts();
    assert!(folded.tag_sets > 1 && folded.everything == 0, "{folded:?}");
    let with = |tags: &[&str]| index.newest_purge(&CopyAttributes { tags: Some(tags), ..named_copy(1, "x") });
    assert!(
        with(&["photo"]).is_some_and(|bound| bound < at(1_016)),
        "the oldest sets fold into the tag that all of them have"
    );
    assert_eq!(with(&["case-3", "z-3"]), None);
    assert_eq!(with(&["case-16", "photo", "z-16"]), Some(at(1_016)));
}

#[test]
fn folding_covers_everything_only_if_no_narrower_scope_is_left() {
    let mut index = Index::new(100, LONG);
    (0..100).for_each(|n| insert(&mut index, &Scope::Group(n as u32), 1_000_000 + n * 1_000));
    for _ in 0..50 {
        (0..100).for_each(|n| insert(&mut index, &Scope::Group(n as u32), 2_000_000 + n * 1_000));
    }
    assert_eq!(
        (index.entry_count(), index.folds_to_everything()),
        (100, 0),
        "repeated purges of a group count once"
    );
    insert(&mut index, &Scope::Group(1_000), 3_000_000);
    assert!(index.folds_to_everything() > 0 && index.folded_coverage() == 1.0);
    assert!(
        index.newest_purge(&named_copy(1, "x")).is_some_and(|bound| bound < at(2_010_000)),
        "only the oldest are folded"
    );

    // With groups filling most of the entries, objects are folded as far as possible.
    let mut index = Index::new(100, LONG);
    (0..80).for_each(|n| insert(&mut index, &Scope::Group(n as u32), 1_000_000 + n));
    let mut rng = TestRng(1, 0);
    (0..5_000).for_each(|n| insert(&mut index, &object(rng.next()), 2_000_000 + n * 100));
    assert_eq!(index.folds_to_everything(), 0);
}

/// Twice as many purges by object as there are entries, for hours: nothing is folded into everything, and
/// most copies stay valid.
#[test]
fn scattered_objects_fold_to_a_small_coverage() {
    // The largest index takes several rounds to fold all ids.
    for (max_entries, load, max_coverage) in [(20_000, 1.1, 0.1), (20_000, 2.0, 0.75), (80_000, 1.1, 0.1)] {
        let max_copy_age = Span::millis(1_000_000);
        let mut index = Index::new(max_entries, max_copy_age);
        let mut rng = TestRng(7, 0);
        let entries = (max_entries as f64 * load) as u64;
        let mut latest = Vec::new();
        for n in 0..entries * 2 {
            let (id, ms) = (rng.next(), 10_000_000 + n * 1_000_000 / entries);
            insert(&mut index, &object(id), ms);
            latest.push((id, ms));
        }
        assert_eq!(index.folds_to_everything(), 0);
        let coverage = index.folded_coverage();
        assert!(
            coverage <= max_coverage && coverage > 0.0,
            "{coverage} covered at {load} times {max_entries}"
        );
        let first_live = latest.len() - entries as usize + 100;
        for (id, ms) in &latest[first_live..] {
            assert!(index.newest_purge(&named_copy(*id, "x")) >= Some(at(*ms)));
        }
        let covered_others =
            (0..20_000).filter(|_| index.newest_purge(&named_copy(rng.next(), "x")).is_some()).count();
        let share = covered_others as f64 / 20_000.0;
        assert!((share - coverage).abs() < 0.02, "{share} of other ids are covered, {coverage} estimated");
    }
}

#[test]
fn the_byte_limit_holds_like_the_entry_limit() {
    let bytes = 2 << 20;
    let mut rng = TestRng(3, 0);
    let mut index = Index::new(1_000_000, LONG).with_max_bytes(bytes);
    for n in 0..60_000u64 {
        insert(&mut index, &scope(&mut rng), 1_000_000 + n * 20);
        assert!(index.estimated_bytes() <= bytes, "{} bytes after {n}", index.estimated_bytes());
    }
    assert_eq!(index.folds_to_everything(), 0, "{:?}", index.fold_counts());
    // Repeated purges of the same object leave stale wheel slots, which must not cause any folding.
    let mut index = Index::new(1_000_000, LONG).with_max_bytes(1 << 20);
    (0..100_000).for_each(|n| insert(&mut index, &object(n % 3), 1_000_000 + n * 1_000));
    assert_eq!((index.entry_count(), index.total_folds()), (3, 0));
    assert!(index.estimated_bytes() <= 1 << 20);
}
