//! CI's verdict on the output of the tests and the list of known failures (`.ci/verdict`).
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

/// The output of one test program with these tests, and how each ended.
fn output(tests: &[(&str, &str)]) -> String {
    let lines = tests.iter().map(|(test, end)| format!("test {test} ... {end}\n")).collect::<String>();
    let count = |end: &str| tests.iter().filter(|t| t.1 == end).count();
    let (passed, failed) = (count("ok"), count("FAILED"));
    format!(
        "     Running tests/links.rs (target/debug/deps/links-0123456789abcdef)\n\nrunning {} tests\n{lines}\n\
         test result: ok. {passed} passed; {failed} failed; 0 ignored; 0 measured; 0 filtered out\n",
        tests.len()
    )
}

/// Whether CI passes, and what it prints.
fn verdict(output: &str, known: &str) -> (bool, String) {
    static CASES: AtomicU32 = AtomicU32::new(0);
    let case = format!("harestage-verdict-{}-{}", std::process::id(), CASES.fetch_add(1, Ordering::Relaxed));
    let folder = std::env::temp_dir().join(case);
    std::fs::create_dir_all(&folder).unwrap();
    let (log, list) = (folder.join("said"), folder.join("known"));
    std::fs::write(&log, output).unwrap();
    std::fs::write(&list, known).unwrap();
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/verdict");
    let ended = Command::new("bash").arg(script).args([&log, &list]).output().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    (ended.status.success(), String::from_utf8(ended.stdout).unwrap())
}

const RED: &str = "# a note\n\nlinks::b | the cause | 30\n";

#[test]
fn exactly_the_listed_tests_may_fail() {
    let (good, printed) = verdict(&output(&[("a", "ok"), ("b", "ok")]), "# none\n");
    assert!(good && printed.ends_with("2 passed, 0 failed, 0 skipped\n"), "{printed}");
    let (good, printed) = verdict(&output(&[("a", "ok"), ("b", "FAILED")]), RED);
    assert!(good && printed.contains("links::b | the cause | 30"), "{printed}");
    assert!(printed.ends_with("1 passed, 0 failed, 1 skipped\n"), "{printed}");
    let (good, printed) = verdict(&output(&[("a", "FAILED"), ("b", "FAILED")]), RED);
    assert!(!good && printed.contains("failed: links::a"), "{printed}");
}

#[test]
fn an_entry_that_passes_names_no_test_or_is_one_too_many_fails() {
    let (good, printed) = verdict(&output(&[("a", "ok"), ("b", "ok")]), RED);
    assert!(!good && printed.contains("it passes: links::b"), "{printed}");
    let (good, printed) = verdict(&output(&[("a", "ok")]), RED);
    assert!(!good && printed.contains("no such test: links::b"), "{printed}");
    let (good, printed) = verdict(&output(&[("a", "ok")]), "links::a\n");
    assert!(!good && printed.contains("not TEST | cause | issue"), "{printed}");
    let four: String = ["a", "b", "c", "d"].map(|t| format!("links::{t} | the cause | 30\n")).concat();
    let all = ["a", "b", "c", "d"].map(|t| (t, "FAILED"));
    let (good, printed) = verdict(&output(&all), &four);
    assert!(!good && printed.contains("three at most"), "{printed}");
}

#[test]
fn a_program_that_ends_without_its_result_fails() {
    let aborted = "     Running tests/net.rs (target/debug/deps/net-0123456789abcdef)\n\nrunning 1 test\n";
    let (good, printed) = verdict(&(output(&[("a", "ok")]) + aborted), "");
    assert!(!good && printed.contains("2 test programs, 1 results"), "{printed}");
    let (good, printed) = verdict("", "");
    assert!(!good && printed.contains("no test ran"), "{printed}");
}
