//! What a purge covers: refused scopes by what is wrong with them, and the index against a plain list.
use harestage::time::{Moment, Span};
use harestage_purge::index::{Index, LinearIndex};
use harestage_purge::scope::{CopyAttributes, Scope, ScopeError};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeSet;

fn set(tags: &[&str]) -> BTreeSet<String> {
    tags.iter().map(|tag| tag.to_string()).collect()
}

fn at(ms: u64) -> Moment {
    Moment::at_micros(ms * 1_000)
}

fn named(name: &str) -> CopyAttributes<'_> {
    CopyAttributes { object: 1, part: 0, group: Some(0), name: Some(name), tags: Some(&[]) }
}

#[test]
fn scopes_that_can_not_be_used_are_refused_by_what_is_wrong() {
    let told = |scope: Scope| scope.compile().unwrap_err().to_string();
    assert_eq!(told(Scope::Object("12".into())), "object \"12\" is not 16 hex digits");
    assert_eq!(told(Scope::AnyTag(set(&[]))), "0 tags are not 1 to 16");
    assert!(told(Scope::AllTags(set(&["a b"]))).contains("\"a b\""));
    assert!(told(Scope::Glob("case/[a".into())).starts_with("pattern \"case/[a\": "));
    assert!(told(Scope::Regex("case(".into())).starts_with("pattern \"case(\": "));
    assert!(told(Scope::Prefix("x".repeat(300))).contains("has 300 bytes"));
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
    assert!(Scope::Everything.compile().is_ok(), "it says so");
    assert!(serde_json::from_str::<Scope>("{\"prefixes\":\"x\"}").is_err());
}

#[test]
fn patterns_cover_what_they_say() {
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
struct Any(Scope);

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Any {
        let few = |g: &mut Gen| {
            let many = usize::arbitrary(g) % 3 + 1;
            (0..many).map(|_| TAGS[usize::arbitrary(g) % 4].to_string()).collect::<BTreeSet<String>>()
        };
        let object = |g: &mut Gen| format!("{:016x}", u64::arbitrary(g) % 6);
        let patterns = ["case/*", "a*", "c?se/1", "{a,x}*", "case/**", "[a-c]", "x"];
        let regexes = ["case/[0-9]+", "ab?c?", "a|x.*", "c.*/x", "(case|b)/?.*", "abc*"];
        Any(match u8::arbitrary(g) % 9 {
            0 => Scope::Object(object(g)),
            1 => Scope::Part { object: object(g), part: u32::arbitrary(g) % 3 },
            2 => Scope::Group(u32::arbitrary(g) % 4),
            3 => Scope::AllTags(few(g)),
            4 => Scope::AnyTag(few(g)),
            5 => Scope::Prefix(NAMES[usize::arbitrary(g) % 12].into()),
            6 => Scope::Glob(patterns[usize::arbitrary(g) % patterns.len()].into()),
            7 => Scope::Regex(regexes[usize::arbitrary(g) % regexes.len()].into()),
            _ => Scope::Object(object(g)),
        })
    }
}

/// Every combination of facts that a copy may have, those that are not told among them.
fn all_facts(check: &mut dyn FnMut(&CopyAttributes)) {
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
fn the_index_says_what_a_plain_list_says() {
    fn same(scopes: Vec<(Any, u16)>) -> bool {
        let (mut index, mut plain) = (Index::new(100_000, Span::millis(1 << 40)), LinearIndex::default());
        for (Any(scope), ms) in &scopes {
            let (checked, at) = (scope.compile().unwrap(), at(1 + u64::from(*ms)));
            index.insert(&checked, at, at);
            plain.insert(&checked, at);
        }
        let mut same = true;
        all_facts(&mut |facts| same &= index.newest_purge(facts) == plain.newest_purge(facts));
        same
    }
    for seed in 1..=4 {
        let rng = Gen::from_size_and_seed(60, seed);
        QuickCheck::new().rng(rng).tests(120).quickcheck(same as fn(Vec<(Any, u16)>) -> bool);
    }
}

/// At its bound, and as purges grow old, it may ask for a younger copy than the list does, never for an older one; and
/// what is dropped is older than any copy can be.
#[test]
fn a_bounded_index_errs_towards_younger_copies_only() {
    fn holds(scopes: Vec<(Any, u8)>) -> bool {
        let longest = Span::millis(20_000);
        let (mut index, mut plain) = (Index::new(24, longest), LinearIndex::default());
        let mut now = at(1_000_000);
        for (Any(scope), ms) in &scopes {
            now = now + Span::millis(u64::from(*ms) * 8);
            let checked = scope.compile().unwrap();
            index.insert(&checked, now, now);
            plain.insert(&checked, now);
        }
        let mut good = index.entry_count() <= 24 + 4;
        all_facts(&mut |facts| {
            let wanted = plain.newest_purge(facts).filter(|at| now.since(*at) < longest);
            good &= index.newest_purge(facts).unwrap_or_default() >= wanted.unwrap_or_default();
        });
        good
    }
    for seed in 1..=4 {
        let rng = Gen::from_size_and_seed(120, seed);
        QuickCheck::new().rng(rng).tests(120).quickcheck(holds as fn(Vec<(Any, u8)>) -> bool);
    }
}

#[test]
fn what_is_over_gives_its_room_back() {
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
        "nodes are used again: {} after {full}",
        index.estimated_bytes()
    );
}

/// Many patterns at one node: the oldest count for all that begins so.
#[test]
fn patterns_at_one_node_are_bounded() {
    let mut index = Index::new(1_000_000, Span::millis(1 << 40));
    for n in 0..200u64 {
        let scope = Scope::Glob(format!("case/*{n}"));
        index.insert(&scope.compile().unwrap(), at(1_000 + n), at(1_000 + n));
    }
    assert_eq!(index.newest_purge(&named("case/x199")), Some(at(1_199)));
    assert!(
        index.newest_purge(&named("case/x")).is_some_and(|bound| bound >= at(1_100)),
        "younger than it had to be"
    );
    assert_eq!(index.newest_purge(&named("file/x1")), None);
}
