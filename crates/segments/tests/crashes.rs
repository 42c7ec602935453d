//! A disk that loses what was not synced, in any way that a disk may; and a log that is cut off after every one of its
//! steps. What was told to be kept comes back, in order, with no gap and nothing else.
use harestage_segments::simulated::SimulatedDisk;
use harestage_segments::{Files, Folder, Log, LogError, LogRecord, Recovered};
use std::io;

fn record(number: u64) -> Vec<u8> {
    format!("record {number} {}", "x".repeat((number * 7 % 40) as usize)).into_bytes()
}

/// Appends in groups, with snapshots now and then, until the disk fails. Gives the disk back, the last number that was
/// told to be kept, and the last that was taken in.
fn work(disk: SimulatedDisk, records: u64) -> (Option<SimulatedDisk>, u64, u64) {
    let Ok((mut log, found)) = Log::open(disk, 600) else { return (None, 0, 0) };
    let mut kept = found.records.last().map_or(found.snapshot.map_or(0, |s| s.number), |r| r.number);
    let mut taken = kept;
    while taken < records {
        for _ in 0..taken % 5 + 1 {
            match log.append(&record(taken + 1)) {
                Ok(number) => {
                    assert_eq!(number, taken + 1);
                    taken = number;
                }
                Err(_) => return (Some(log.into_files()), kept, taken),
            }
        }
        match log.sync() {
            Ok(number) => kept = number,
            Err(_) => return (Some(log.into_files()), kept, taken),
        }
        if kept % 23 < 3 && log.snapshot(&kept.to_be_bytes()).is_err() {
            return (Some(log.into_files()), kept, taken);
        }
    }
    (Some(log.into_files()), kept, taken)
}

/// All that stands in a log is a beginning of what was taken in, and no shorter than what was kept.
fn check(found: &Recovered, kept: u64, taken: u64, told: &str) -> u64 {
    let covered = found.snapshot.as_ref().map_or(0, |snapshot| {
        assert_eq!(snapshot.bytes, snapshot.number.to_be_bytes(), "{told}");
        snapshot.number
    });
    for (at, LogRecord { number, bytes }) in found.records.iter().enumerate() {
        assert_eq!((*number, bytes), (covered + 1 + at as u64, &record(*number)), "{told}");
    }
    let last = covered + found.records.len() as u64;
    assert!(last >= kept && last <= taken, "{told}: {last}, kept {kept}, taken {taken}");
    last
}

#[test]
fn what_was_kept_comes_back_after_a_crash_at_every_step() {
    let whole = work(SimulatedDisk::new(), 120).0.unwrap().steps();
    let mut tried = 0;
    for dies_at in 1..=whole {
        for seed in 0..8 {
            let (disk, kept, taken) = work(SimulatedDisk::new().losing_power_after(dies_at), 120);
            let Some(disk) = disk else { continue };
            let told = format!("died at {dies_at}, seed {seed}");
            let (log, found) =
                Log::open(disk.after_crash(seed), 600).unwrap_or_else(|why| panic!("{told}: {why}"));
            let last = check(&found, kept, taken, &told);
            // And it goes on from there, with another crash soon after.
            let again = log.into_files().losing_power_after(9 + seed * 3);
            let (disk, kept, taken) = work(again, 120);
            if let Some(disk) = disk {
                let after = disk.after_crash(seed + 1);
                let (_, found) = Log::open(after, 600).unwrap_or_else(|why| panic!("{told}: {why}"));
                check(&found, kept.max(last), taken, &told);
            }
            tried += 1;
        }
    }
    assert!(tried > 800, "{tried}");
}

#[test]
fn a_full_disk_and_a_failed_sync_end_the_log_and_lose_nothing_kept() {
    for room in (20..3_000).step_by(37) {
        let (disk, kept, taken) = work(SimulatedDisk::new().with_free_bytes(room), 120);
        let Some(disk) = disk else { continue };
        let freed = disk.clone().with_free_bytes(usize::MAX);
        let (_, found) = Log::open(freed, 600).unwrap_or_else(|why| panic!("room {room}: {why}"));
        check(&found, kept, taken, &format!("room {room}"));
    }
    for sync_fails_at in 1..60 {
        let (disk, kept, taken) = work(SimulatedDisk::new().failing_sync_at(sync_fails_at), 40);
        let Some(disk) = disk else { continue };
        for seed in 0..4 {
            let (_, found) = Log::open(disk.after_crash(seed), 600).unwrap();
            check(&found, kept, taken, &format!("sync {sync_fails_at}"));
        }
    }
    let (log, _) = Log::open(SimulatedDisk::new(), 600).unwrap();
    let opened = log.into_files().steps();
    // The write of the record comes first, and then its sync.
    let (mut log, _) = Log::open(SimulatedDisk::new().failing_sync_at(opened + 2), 600).unwrap();
    log.append(b"one").unwrap();
    assert!(log.sync().is_err());
    assert!(matches!(log.append(b"two"), Err(LogError::Failed)), "nothing is known of the disk any more");
}

/// Every single byte of the last segment may be the last that came to disk.
#[test]
fn a_log_cut_at_any_byte_is_the_records_before_it() {
    let (mut log, _) = Log::open(SimulatedDisk::new(), 1 << 20).unwrap();
    for n in 1..=12 {
        log.append(&record(n)).unwrap();
    }
    log.sync().unwrap();
    let disk = log.into_files();
    let name = "log-0000000000000001";
    let bytes = disk.read(name).unwrap();
    for length in 0..bytes.len() {
        let mut cut = disk.clone();
        cut.truncate(name, length as u64).unwrap();
        let (_, found) = Log::open(cut, 1 << 20).unwrap();
        check(&found, 0, 12, &format!("cut at {length}"));
    }
}

#[test]
fn damage_in_the_middle_is_told_and_not_passed_over() {
    let (mut log, _) = Log::open(SimulatedDisk::new(), 300).unwrap();
    for n in 1..=40 {
        log.append(&record(n)).unwrap();
        log.sync().unwrap();
    }
    let disk = log.into_files();
    let mut damaged = disk.clone();
    damaged.flip_bits("log-0000000000000001", HEADER_AND_SOME, 1).unwrap();
    let told = Log::open(damaged, 300).err().unwrap().to_string();
    assert!(told.starts_with("log-0000000000000001: damaged at byte "), "{told}");
    let mut lost = disk.clone();
    let names = disk.list().unwrap();
    lost.remove(&names[1]).unwrap();
    assert!(matches!(Log::open(lost, 300), Err(LogError::Gap { .. })));
    let mut newer = disk.clone();
    newer.flip_bits(&names[0], 7, b'1' ^ b'9').unwrap();
    assert!(matches!(Log::open(newer, 300), Err(LogError::UnknownFormat { .. })));
}

const HEADER_AND_SOME: usize = 20 + 20;

#[test]
fn a_real_folder_keeps_a_log_and_lets_one_program_in() {
    let path = std::env::temp_dir().join(format!("harestage-segments-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let (mut log, found) = Log::open(Folder::open(&path).unwrap(), 400).unwrap();
    assert_eq!(found, Recovered::default());
    for n in 1..=30 {
        log.append(&record(n)).unwrap();
        log.sync().unwrap();
        if n == 20 {
            log.snapshot(&20u64.to_be_bytes()).unwrap();
        }
    }
    assert_eq!(Folder::open(&path).err().unwrap().kind(), io::ErrorKind::WouldBlock);
    drop(log);
    let (log, found) = Log::open(Folder::open(&path).unwrap(), 400).unwrap();
    assert_eq!((check(&found, 30, 30, "folder"), log.next_number()), (30, 31));
    assert_eq!(found.snapshot.unwrap().number, 20);
    drop(log);
    std::fs::remove_dir_all(&path).unwrap();
}
