//! CI's check that no line of the decision module is too long (`.ci/limits`), on generated files.
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

/// Whether the check passes in a folder with these files, and what it prints.
fn limits(files: &[(&str, String)]) -> (bool, String) {
    static CASES: AtomicU32 = AtomicU32::new(0);
    let case = format!("harestage-limits-{}-{}", std::process::id(), CASES.fetch_add(1, Ordering::Relaxed));
    let folder = std::env::temp_dir().join(case);
    for (path, text) in files {
        let path = folder.join(path);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(path, text).unwrap();
    }
    let said = checked(&folder);
    std::fs::remove_dir_all(&folder).unwrap();
    said
}

fn checked(folder: &Path) -> (bool, String) {
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/limits");
    let ended = Command::new("bash").arg(script).arg(folder).output().unwrap();
    assert!(ended.stderr.is_empty(), "{}", String::from_utf8_lossy(&ended.stderr));
    (ended.status.success(), String::from_utf8(ended.stdout).unwrap())
}

/// `deploy/balancer.toml` with this `policy` line among others.
fn list(policy: &str) -> (&'static str, String) {
    ("deploy/balancer.toml", format!("run = \"a\"\n{policy}\nnode = [\"src/long\"]\n"))
}

const ONE: &str = "policy = [\"src/policy.rs\"]   # the files that hold the decision logic";

#[test]
fn the_module_as_it_stands_passes() {
    let (good, printed) = checked(Path::new(env!("CARGO_MANIFEST_DIR")));
    assert!(good, "{printed}");
}

#[test]
fn a_long_module_passes_while_its_lines_are_not_too_long() {
    let of = |lines, last: &str| limits(&[list(ONE), ("src/policy.rs", "a\n".repeat(lines) + last)]);
    for lines in [840, 841, 5_000] {
        let (good, printed) = of(lines, "");
        assert!(good && printed == format!("1 files of the decision module, {lines} lines\n"), "{printed}");
    }
    let (good, printed) = of(4_999, &"a".repeat(111));
    assert!(!good && printed.contains("src/policy.rs:5000: 111 characters, 110 at most\n"), "{printed}");
}

#[test]
fn a_long_line_fails_with_file_line_and_characters() {
    let of = |line: String| limits(&[list(ONE), ("src/policy.rs", format!("a\n{line}\nb\n"))]);
    let (good, printed) = of("a".repeat(110));
    assert!(good, "{printed}");
    let (good, printed) = of("a".repeat(111));
    assert!(!good && printed.contains("src/policy.rs:2: 111 characters, 110 at most\n"), "{printed}");
    // Characters count, and not their bytes.
    let (good, printed) = of("τ".repeat(110));
    assert!(good, "{printed}");
    let (good, printed) = of("τ".repeat(111));
    assert!(!good && printed.contains("src/policy.rs:2: 111 characters"), "{printed}");
}

#[test]
fn all_files_that_the_list_names_are_checked_and_no_others() {
    let two = list("policy = [\"src/policy.rs\", \"src/more\"]");
    let of = |policy_file: String, more: String| {
        limits(&[
            two.clone(),
            ("src/policy.rs", policy_file),
            ("src/more/one.rs", more),
            ("src/long/node.rs", "c".repeat(200)),
        ])
    };
    for more in [340, 341] {
        let (good, printed) = of("a\n".repeat(500), "b\n".repeat(more));
        let counted = format!("2 files of the decision module, {} lines\n", 500 + more);
        assert!(good && printed == counted, "{printed}");
    }
    let (good, printed) = of("a\n".repeat(500), "b\n".repeat(341) + &"b".repeat(111));
    assert!(!good && printed.contains("src/more/one.rs:342: 111 characters, 110 at most\n"), "{printed}");
    let (good, printed) = of("a\n".repeat(500) + &"a".repeat(111), "b\n".repeat(341));
    assert!(!good && printed.contains("src/policy.rs:501: 111 characters, 110 at most\n"), "{printed}");
    let (good, printed) = of("a\n".into(), "b".repeat(111));
    assert!(!good && printed.contains("src/more/one.rs:1: 111 characters"), "{printed}");
}

#[test]
fn a_list_that_is_not_understood_fails() {
    let policy_file = ("src/policy.rs", String::from("a\n"));
    for policy in ["", "policy = []", "policy = [\n\"src/policy.rs\"\n]", "policy = \"src/policy.rs\""] {
        let (good, printed) = limits(&[list(policy), policy_file.clone()]);
        assert!(
            !good && printed.starts_with("deploy/balancer.toml: no line policy = "),
            "{policy}: {printed}"
        );
    }
    let (good, printed) = limits(&[list(&format!("{ONE}\n{ONE}")), policy_file.clone()]);
    assert!(!good && printed.contains("or several"), "{printed}");
    let (good, printed) = limits(&[list("policy = [\"src/gone.rs\"]"), policy_file.clone()]);
    assert!(!good && printed.contains("policy names src/gone.rs, which is not there"), "{printed}");
    let (good, printed) = limits(&[policy_file]);
    assert!(!good && printed.contains("deploy/balancer.toml: there is no such file"), "{printed}");
}
