//! Crashes of a log at every step, on a disk that loses any part of what was not synced. All records that were reported
//! durable are recovered, in order, without gaps and without anything else.
use harestage_segments::simulated::SimulatedDisk;
use harestage_segments::{Files, Folder, Log, LogError, LogRecord, Recovered};
use std::io;

fn record(number: u64) -> Vec<u8> {
    format!("record {number} {}", "x".repeat((number * 7 % 40) as usize)).into_bytes()
}

/// Appends records in groups, with occasional snapshots, until the disk fails. Returns the disk, the last number that was
/// reported durable, and the last that was appended.
fn append_until_failure(disk: SimulatedDisk, records: u64) -> (Option<SimulatedDisk>, u64, u64) {
    let Ok((mut log, recovered)) = Log::open(disk, 600) else { return (None, 0, 0) };
    let mut durable =
        recovered.records.last().map_or(recovered.snapshot.map_or(0, |s| s.number), |r| r.number);
    let mut appended = durable;
    while appended < records {
        for _ in 0..appended % 5 + 1 {
            match log.append(&record(appended + 1)) {
                Ok(number) => {
                    assert_eq!(number, appended + 1);
                    appended = number;
                }
                Err(_) => return (Some(log.into_files()), durable, appended),
            }
        }
        match log.sync() {
            Ok(number) => durable = number,
            Err(_) => return (Some(log.into_files()), durable, appended),
        }
        if durable % 23 < 3 && log.snapshot(&durable.to_be_bytes()).is_err() {
            return (Some(log.into_files()), durable, appended);
        }
    }
    (Some(log.into_files()), durable, appended)
}

/// Checks that the log holds a prefix of the appended records with all durable ones, and returns its last number.
fn check(recovered: &Recovered, durable: u64, appended: u64, context: &str) -> u64 {
    let covered = recovered.snapshot.as_ref().map_or(0, |snapshot| {
        assert_eq!(snapshot.bytes, snapshot.number.to_be_bytes(), "{context}");
        snapshot.number
    });
    for (at, LogRecord { number, bytes }) in recovered.records.iter().enumerate() {
        assert_eq!((*number, bytes), (covered + 1 + at as u64, &record(*number)), "{context}");
    }
    let last = covered + recovered.records.len() as u64;
    assert!(last >= durable && last <= appended, "{context}: {last}, durable {durable}, appended {appended}");
    last
}

#[test]
fn durable_records_are_recovered_after_a_crash_at_every_step() {
    let total_steps = append_until_failure(SimulatedDisk::new(), 120).0.unwrap().steps();
    let mut tried = 0;
    for power_lost_at in 1..=total_steps {
        for seed in 0..8 {
            let (disk, durable, appended) =
                append_until_failure(SimulatedDisk::new().losing_power_after(power_lost_at), 120);
            let Some(disk) = disk else { continue };
            let context = format!("power lost at {power_lost_at}, seed {seed}");
            let (log, recovered) =
                Log::open(disk.after_crash(seed), 600).unwrap_or_else(|error| panic!("{context}: {error}"));
            let last = check(&recovered, durable, appended, &context);
            // The recovered log continues, with another crash soon after.
            let again = log.into_files().losing_power_after(9 + seed * 3);
            let (disk, durable, appended) = append_until_failure(again, 120);
            if let Some(disk) = disk {
                let after = disk.after_crash(seed + 1);
                let (_, recovered) =
                    Log::open(after, 600).unwrap_or_else(|error| panic!("{context}: {error}"));
                check(&recovered, durable.max(last), appended, &context);
            }
            tried += 1;
        }
    }
    assert!(tried > 800, "{tried}");
}

#[test]
fn a_full_disk_or_a_failed_sync_fails_the_log_and_loses_no_durable_record() {
    for free_bytes in (20..3_000).step_by(37) {
        let (disk, durable, appended) =
            append_until_failure(SimulatedDisk::new().with_free_bytes(free_bytes), 120);
        let Some(disk) = disk else { continue };
        let freed = disk.clone().with_free_bytes(usize::MAX);
        let (_, recovered) =
            Log::open(freed, 600).unwrap_or_else(|error| panic!("{free_bytes} free bytes: {error}"));
        check(&recovered, durable, appended, &format!("{free_bytes} free bytes"));
    }
    for sync_fails_at in 1..60 {
        let (disk, durable, appended) =
            append_until_failure(SimulatedDisk::new().failing_sync_at(sync_fails_at), 40);
        let Some(disk) = disk else { continue };
        for seed in 0..4 {
            let (_, recovered) = Log::open(disk.after_crash(seed), 600).unwrap();
            check(&recovered, durable, appended, &format!("sync {sync_fails_at}"));
        }
    }
    let (log, _) = Log::open(SimulatedDisk::new(), 600).unwrap();
    let opened = log.into_files().steps();
    // The record is written in the first step and synced in the second.
    let (mut log, _) = Log::open(SimulatedDisk::new().failing_sync_at(opened + 2), 600).unwrap();
    log.append(b"one").unwrap();
    assert!(log.sync().is_err());
    assert!(matches!(log.append(b"two"), Err(LogError::Failed)), "the state of the disk is unknown");
}

/// A crash may truncate the last segment at any byte.
#[test]
fn a_log_truncated_at_any_byte_yields_the_records_before_it() {
    let (mut log, _) = Log::open(SimulatedDisk::new(), 1 << 20).unwrap();
    for n in 1..=12 {
        log.append(&record(n)).unwrap();
    }
    log.sync().unwrap();
    let disk = log.into_files();
    let name = "log-0000000000000001";
    let bytes = disk.read(name).unwrap();
    for length in 0..bytes.len() {
        let mut truncated = disk.clone();
        truncated.truncate(name, length as u64).unwrap();
        let (_, recovered) = Log::open(truncated, 1 << 20).unwrap();
        check(&recovered, 0, 12, &format!("truncated at {length}"));
    }
}

#[test]
fn damage_before_the_end_is_reported_and_not_skipped() {
    let (mut log, _) = Log::open(SimulatedDisk::new(), 300).unwrap();
    for n in 1..=40 {
        log.append(&record(n)).unwrap();
        log.sync().unwrap();
    }
    let disk = log.into_files();
    let mut damaged = disk.clone();
    damaged.flip_bits("log-0000000000000001", OFFSET_IN_FIRST_RECORD, 1).unwrap();
    let context = Log::open(damaged, 300).err().unwrap().to_string();
    assert!(context.starts_with("log-0000000000000001: damaged at byte "), "{context}");
    let mut lost = disk.clone();
    let names = disk.list().unwrap();
    lost.remove(&names[1]).unwrap();
    assert!(matches!(Log::open(lost, 300), Err(LogError::Gap { .. })));
    let mut newer = disk.clone();
    newer.flip_bits(&names[0], 7, b'1' ^ b'9').unwrap();
    assert!(matches!(Log::open(newer, 300), Err(LogError::UnknownFormat { .. })));
}

const OFFSET_IN_FIRST_RECORD: usize = 20 + 20;

#[test]
fn a_real_folder_stores_a_log_and_admits_one_program() {
    let path = std::env::temp_dir().join(format!("harestage-segments-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let (mut log, recovered) = Log::open(Folder::open(&path).unwrap(), 400).unwrap();
    assert_eq!(recovered, Recovered::default());
    for n in 1..=30 {
        log.append(&record(n)).unwrap();
        log.sync().unwrap();
        if n == 20 {
            log.snapshot(&20u64.to_be_bytes()).unwrap();
        }
    }
    assert_eq!(Folder::open(&path).err().unwrap().kind(), io::ErrorKind::WouldBlock);
    drop(log);
    let (log, recovered) = Log::open(Folder::open(&path).unwrap(), 400).unwrap();
    assert_eq!((check(&recovered, 30, 30, "folder"), log.next_number()), (30, 31));
    assert_eq!(recovered.snapshot.unwrap().number, 20);
    drop(log);
    std::fs::remove_dir_all(&path).unwrap();
}
