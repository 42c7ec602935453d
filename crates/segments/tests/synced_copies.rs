//! The second folder of a rig that takes the power away: at every moment it holds what syncs have covered.
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

/// A process that is killed while a sync is copied leaves the copy of the sync before: whoever holds the file as it was
/// sees nothing of the new one being written.
#[test]
fn a_copy_is_replaced_whole_and_never_written_over() {
    let outer = scratch("whole");
    let (real, kept, aside) = (outer.join("disk"), outer.join("kept"), outer.join("aside"));
    mirror_synced_files(&kept).expect("a second folder");
    let (mut log, _) = Log::open(Folder::open(&real).expect("a folder"), 1 << 20).expect("a log");
    log.append(b"the first").expect("room");
    log.sync().expect("a disk");
    let before = std::fs::read(segment(&kept)).expect("what was synced");
    std::fs::hard_link(segment(&kept), &aside).expect("a second name");
    log.append(b"the second").expect("room");
    log.sync().expect("a disk");
    let after = std::fs::read(segment(&kept)).expect("what was synced");
    assert!(after.len() > before.len() && after.starts_with(&before), "both are there");
    assert_eq!(std::fs::read(&aside).expect("the old file"), before, "what was there was written over");
    // Nothing on its way is left in either folder, where a log would come upon it.
    for folder in [&real, &kept] {
        let names = std::fs::read_dir(folder).expect("its files").flatten();
        let strange = names
            .filter(|e| !["log-", "lock"].iter().any(|n| e.file_name().to_string_lossy().starts_with(n)));
        assert_eq!(strange.count(), 0);
    }
    let _ = std::fs::remove_dir_all(&outer);
}
