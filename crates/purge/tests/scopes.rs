//! Scopes: invalid ones are refused with a reason, and the index is checked against a linear scan.
use harestage::time::{Moment, Span};
use harestage_purge::index::{Index, LinearIndex};
use harestage_purge::scope::{CopyAttributes, Scope, ScopeError};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeSet;

fn tag_set(tags: &[&str]) -> BTreeSet<String> {
    tags.iter().map(|tag| tag.to_string()).collect()
}

fn at(ms: u64) -> Moment {
    Moment::at_micros(ms * 1_000)
}

fn named(name: &str) -> CopyAttributes<'_> {
    CopyAttributes { object: 1, part: 0, group: Some(0), name: Some(name), tags: Some(&[]) }
}

#[test]
fn invalid_scopes_are_refused_with_a_reason() {
    let error = |scope: Scope| scope.compile().unwrap_err().to_string();
    assert_eq!(error(Scope::Object("12".into())), "object \"12\" is not 16 hex digits");
    assert_eq!(error(Scope::AnyTag(tag_set(&[]))), "0 tags given, 1 to 16 are allowed");
    assert!(error(Scope::AllTags(tag_set(&["a b"]))).contains("\"a b\""));
    assert!(error(Scope::Glob("case/[a".into())).starts_with("pattern \"case/[a\": "));
    assert!(error(Scope::Regex("case(".into())).starts_with("pattern \"case(\": "));
    assert!(error(Scope::Prefix("x".repeat(300))).contains("has 300 bytes"));
    for regex in [
        "a)|(b",
        "(?:x{1000}){1000}",
        "[",
        "a**{",
        "(((((((((((((((((((((((((((((a)))))))))))))))))))))))))))))",
    ] {
        assert!(Scope::Regex(regex.into()).compile().is_err(), "{regex}");
    }
    let all = [Scope::Prefix(String::new()), Scope::Glob("**".into()), Scope::Regex(".*".into())];
    for scope in all {
        assert!(matches!(scope.compile(), Err(ScopeError::CoversAll { .. })), "{scope:?}");
    }
    assert!(Scope::Everything.compile().is_ok(), "it is explicit");
    assert!(serde_json::from_str::<Scope>("{\"prefixes\":\"x\"}").is_err());
}

#[test]
fn patterns_match_as_documented() {
    let covers = |scope: Scope, name: &str| scope.compile().unwrap().covers(&named(name));
    assert!(covers(Scope::Glob("case/17/*.mp4".into()), "case/17/a.mp4"));
    assert!(!covers(Scope::Glob("case/17/*.mp4".into()), "case/17/b/a.mp4"));
    assert!(covers(Scope::Glob("case/17/**".into()), "case/17/b/a.mp4"));
    assert!(covers(Scope::Regex("case/(1|2)[0-9]".into()), "case/17"));
    assert!(!covers(Scope::Regex("case/(1|2)[0-9]".into()), "case/177"));
    assert!(covers(Scope::Regex("cases?/1".into()), "case/1") && covers(Scope::Regex("a|bc".into()), "bc"));
}

const NAMES: [&str; 12] =
    ["a", "ab", "abc", "b", "case/1", "case/12", "case/1/x", "case/2/x.mp4", "cb", "x", "xyz", "case"];
const TAGS: [&str; 4] = ["claim", "north", "photo", "urgent"];

#[derive(Clone, Debug)]
struct AnyScope(Scope);

impl Arbitrary for AnyScope {
    fn arbitrary(g: &mut Gen) -> AnyScope {
        let random_tags = |g: &mut Gen| {
            let count = usize::arbitrary(g) % 3 + 1;
            (0..count).map(|_| TAGS[usize::arbitrary(g) % 4].to_string()).collect::<BTreeSet<String>>()
        };
        let object = |g: &mut Gen| format!("{:016x}", u64::arbitrary(g) % 6);
        let patterns = ["case/*", "a*", "c?se/1", "{a,x}*", "case/**", "[a-c]", "x"];
        let regexes = ["case/[0-9]+", "ab?c?", "a|x.*", "c.*/x", "(case|b)/?.*", "abc*"];
        AnyScope(match u8::arbitrary(g) % 9 {
            0 => Scope::Object(object(g)),
            1 => Scope::Part { object: object(g), part: u32::arbitrary(g) % 3 },
            2 => Scope::Group(u32::arbitrary(g) % 4),
            3 => Scope::AllTags(random_tags(g)),
            4 => Scope::AnyTag(random_tags(g)),
            5 => Scope::Prefix(NAMES[usize::arbitrary(g) % 12].into()),
            6 => Scope::Glob(patterns[usize::arbitrary(g) % patterns.len()].into()),
            7 => Scope::Regex(regexes[usize::arbitrary(g) % regexes.len()].into()),
            _ => Scope::Object(object(g)),
        })
    }
}

/// Checks all combinations of attributes, including unknown ones.
fn for_all_attributes(check: &mut dyn FnMut(&CopyAttributes)) {
    let tag_sets: [Option<&[&str]>; 5] =
        [None, Some(&[]), Some(&["claim"]), Some(&["claim", "photo"]), Some(&["north", "photo", "urgent"])];
    for object in 0..6 {
        for (n, name) in NAMES.into_iter().map(Some).chain([None]).enumerate() {
            let group = [None, Some(0), Some(3)][n % 3];
            let tags = tag_sets[(n + object as usize) % 5];
            check(&CopyAttributes { object, part: n as u32 % 3, group, name, tags });
        }
    }
}

#[test]
fn the_index_agrees_with_a_linear_scan() {
    fn agrees(scopes: Vec<(AnyScope, u16)>) -> bool {
        let (mut index, mut linear) = (Index::new(100_000, Span::millis(1 << 40)), LinearIndex::default());
        for (AnyScope(scope), ms) in &scopes {
            let (compiled, at) = (scope.compile().unwrap(), at(1 + u64::from(*ms)));
            index.insert(&compiled, at, at);
            linear.insert(&compiled, at);
        }
        let mut agrees = true;
        for_all_attributes(&mut |attributes| {
            agrees &= index.newest_purge(attributes) == linear.newest_purge(attributes)
        });
        agrees
    }
    for seed in 1..=4 {
        let rng = Gen::from_size_and_seed(60, seed);
        QuickCheck::new().rng(rng).tests(120).quickcheck(agrees as fn(Vec<(AnyScope, u16)>) -> bool);
    }
}

/// At its limit, and as purges expire, the index may require younger copies than a linear scan, but never
/// admits older ones. Expired purges are older than any copy can be.
#[test]
fn a_full_index_errs_towards_younger_copies_only() {
    fn never_admits_older(scopes: Vec<(AnyScope, u8)>) -> bool {
        let max_copy_age = Span::millis(20_000);
        let (mut index, mut linear) = (Index::new(24, max_copy_age), LinearIndex::default());
        let mut now = at(1_000_000);
        for (AnyScope(scope), ms) in &scopes {
            now = now + Span::millis(u64::from(*ms) * 8);
            let compiled = scope.compile().unwrap();
            index.insert(&compiled, now, now);
            linear.insert(&compiled, now);
        }
        let mut is_valid = index.entry_count() <= 24 + 4;
        for_all_attributes(&mut |attributes| {
            let expected = linear.newest_purge(attributes).filter(|at| now.since(*at) < max_copy_age);
            is_valid &= index.newest_purge(attributes).unwrap_or_default() >= expected.unwrap_or_default();
        });
        is_valid
    }
    for seed in 1..=4 {
        let rng = Gen::from_size_and_seed(120, seed);
        QuickCheck::new()
            .rng(rng)
            .tests(120)
            .quickcheck(never_admits_older as fn(Vec<(AnyScope, u8)>) -> bool);
    }
}

#[test]
fn expired_entries_free_their_memory() {
    let mut index = Index::new(1_000_000, Span::millis(10_000));
    for n in 0..20_000u64 {
        let scope = Scope::Prefix(format!("case/{n}/"));
        index.insert(&scope.compile().unwrap(), at(1_000_000 + n), at(1_000_000 + n));
    }
    let full = index.estimated_bytes();
    index.maintain(at(1_100_000));
    assert_eq!((index.entry_count(), index.total_folds()), (0, 0));
    assert_eq!(index.newest_purge(&named("case/17/a")), None);
    for n in 0..20_000u64 {
        let scope = Scope::Prefix(format!("file/{n}/"));
        index.insert(&scope.compile().unwrap(), at(1_200_000 + n), at(1_200_000 + n));
    }
    assert!(
        index.estimated_bytes() < full * 11 / 10,
        "nodes are reused: {} after {full}",
        index.estimated_bytes()
    );
}

/// With many patterns at one node, the oldest are folded into a purge of the node's prefix.
#[test]
fn patterns_per_node_are_limited() {
    let mut index = Index::new(1_000_000, Span::millis(1 << 40));
    for n in 0..200u64 {
        let scope = Scope::Glob(format!("case/*{n}"));
        index.insert(&scope.compile().unwrap(), at(1_000 + n), at(1_000 + n));
    }
    assert_eq!(index.newest_purge(&named("case/x199")), Some(at(1_199)));
    assert!(
        index.newest_purge(&named("case/x")).is_some_and(|bound| bound >= at(1_100)),
        "younger than necessary"
    );
    assert_eq!(index.newest_purge(&named("file/x1")), None);
}
