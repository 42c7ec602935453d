//! The mirror folder for simulated power losses: at every moment it holds exactly what syncs have covered.
use harestage_segments::{Folder, Log, mirror_synced_files};
use std::path::{Path, PathBuf};

fn scratch(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("harestage-synced-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn segment(folder: &Path) -> PathBuf {
    let names = std::fs::read_dir(folder).expect("its files").flatten().map(|entry| entry.path());
    let is_segment =
        |path: &PathBuf| path.file_name().is_some_and(|n| n.to_string_lossy().starts_with("log-"));
    names.filter(is_segment).max().expect("a segment")
}

/// A process that is killed while a sync is copied must leave the copy of the previous sync intact, so a hard link to the
/// old file never sees bytes of the new one.
#[test]
fn a_mirrored_file_is_replaced_and_never_overwritten() {
    let outer = scratch("replaced");
    let (real, mirror, linked) = (outer.join("disk"), outer.join("mirror"), outer.join("linked"));
    mirror_synced_files(&mirror).expect("a mirror folder");
    let (mut log, _) = Log::open(Folder::open(&real).expect("a folder"), 1 << 20).expect("a log");
    log.append(b"the first").expect("appended");
    log.sync().expect("a sync");
    let before = std::fs::read(segment(&mirror)).expect("the synced segment");
    std::fs::hard_link(segment(&mirror), &linked).expect("a hard link");
    log.append(b"the second").expect("appended");
    log.sync().expect("a sync");
    let after = std::fs::read(segment(&mirror)).expect("the synced segment");
    assert!(after.len() > before.len() && after.starts_with(&before), "both records are there");
    assert_eq!(std::fs::read(&linked).expect("the old file"), before, "the old file was overwritten");
    // No temporary file is left in either folder, where a log would list it.
    for folder in [&real, &mirror] {
        let names = std::fs::read_dir(folder).expect("its files").flatten();
        let unexpected = names
            .filter(|e| !["log-", "lock"].iter().any(|n| e.file_name().to_string_lossy().starts_with(n)));
        assert_eq!(unexpected.count(), 0);
    }
    let _ = std::fs::remove_dir_all(&outer);
}
