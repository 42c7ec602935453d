//! What the index says that it takes, against what the process takes. One test in a process of its own, which keeps all
//! that it builds, so that nothing is taken from memory that was given back.
use harestage::time::{Moment, Span};
use harestage_purge::index::Index;
use harestage_purge::scope::{CopyAttributes, Scope};

/// Bytes that this process has in memory.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * 1_024
}

/// Spreads a counter over all ids.
fn spread(n: u64) -> u64 {
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

#[test]
fn the_bytes_that_are_told_are_those_that_are_taken() {
    let tags = |n: u64| [format!("case-{}", n / 3), format!("photo-{n}")];
    let hex = |n: u64| format!("{:016x}", spread(n));
    type Kind<'a> = (&'a str, u64, &'a dyn Fn(u64) -> Scope);
    let kinds: [Kind; 9] = [
        ("objects", 400_000, &|n| Scope::Object(hex(n))),
        ("objects in order", 400_000, &|n| Scope::Object(format!("{n:016x}"))),
        ("parts", 200_000, &|n| Scope::Part { object: hex(n / 2), part: n as u32 % 2 }),
        ("groups", 200_000, &|n| Scope::Group(n as u32)),
        ("tags", 100_000, &|n| Scope::AnyTag([format!("tag-{n}")].into())),
        ("sets of tags", 60_000, &|n| Scope::AllTags(tags(n).into())),
        ("prefixes", 60_000, &|n| Scope::Prefix(hex(n)[..6].to_string())),
        ("regexes", 2_000, &|n| Scope::Regex(format!("case/{n}/[a-z]+-[0-9]*\\.mp4"))),
        ("patterns", 3_000, &|n| Scope::Glob(format!("case/{n}/*.mp4"))),
    ];
    let mut kept = Vec::new();
    for (kind, many, scope) in kinds {
        let before = resident();
        let mut index = Index::new(1 << 20, Span::millis(1 << 40));
        for n in 0..many {
            let at = Moment::at_micros(1_000_000_000 + n * 1_000_000 / 12);
            index.insert(&scope(n).compile().unwrap(), at, at);
        }
        // Every pattern is tried on a name, and takes what that takes.
        for n in (0..many).take(5_000) {
            let name = format!("case/{n}/clip.mp4");
            index.newest_purge(&CopyAttributes {
                object: spread(n),
                part: 0,
                group: Some(1),
                name: Some(&name),
                tags: Some(&[]),
            });
        }
        assert_eq!(index.total_folds(), 0, "{kind}");
        let (told, taken) = (index.estimated_bytes(), resident() - before);
        let share = told as f64 / taken as f64;
        println!("{kind}: {many} are told to take {told} bytes, and take {taken}: {share:.2}");
        assert!((1.0 / 1.5..1.5).contains(&share), "{kind}: {told} bytes told, {taken} taken");
        kept.push(index);
    }
}
