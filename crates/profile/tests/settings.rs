//! Settings that can't be used are refused with their key and value.
use harestage_profile::read_settings;

fn settings(group: &str) -> String {
    format!(
        r#"{{"Zone": 0, "Balancers": 1, "Allowed": {{}}, "Safety": {{}}, "FamilyInfo": {{}},
            "Classes": [{{"Name": "turn", "Aim": 700000, "Idempotency": "by_key", "Group": "{group}"}}]}}"#
    )
}

/// Guards against guessing which caches drop repeats of a deduped download: if an unknown group counted as all caches, a
/// download could run twice.
#[test]
fn an_unknown_group_of_deduplicating_caches_is_refused() {
    for known in ["all", "zone", "cell"] {
        assert!(read_settings(settings(known).as_bytes()).is_ok(), "{known}");
    }
    let error = read_settings(settings("row").as_bytes()).expect_err("it is refused");
    assert!(error.contains("Classes[0].Group") && error.contains("row"), "{error}");
}
