//! The codec against the wire page's own frames, and what bad input gets.
use harestage_benchlink::frame::{ActionRecord, EventRecord, HEADER, Reply, body_len, read_batch};
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|d| u8::from_str_radix(std::str::from_utf8(d).unwrap(), 16).unwrap()).collect()
}

/// A record of the page: its bytes, then so many zero bytes.
fn record(hex: &str, zeros: usize) -> Vec<u8> {
    let mut record = bytes(hex);
    record.resize(record.len() + zeros, 0);
    record
}

fn frame(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut body = records.concat();
    body.extend(tail);
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(bytes("0000000000805c5a"));
    frame.extend((records.len() as u32).to_be_bytes());
    frame.extend(body);
    frame
}

fn read(frame: &[u8]) -> Vec<EventRecord> {
    let header = frame[..HEADER].try_into().unwrap();
    assert_eq!(body_len(&header), frame.len() - HEADER);
    read_batch(&header, &frame[HEADER..]).unwrap().records.into_iter().map(|r| r.1).collect()
}

fn run(input: &[u8]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_harestage-benchlink"));
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    child.wait_with_output().unwrap()
}

/// A start with these settings, alone in the tail.
fn start(settings: &str) -> Vec<u8> {
    let len = format!("00 0000000000000007 00000000 {:08x}", settings.len());
    record(&len, 31)
}

fn spawn(settings: &str) -> Vec<u8> {
    frame(&[record("0b 0003", 45), start(settings)], settings.as_bytes())
}

const SETTINGS: &str = r#"{"Allowed": {"Cancel": true, "MaxAttempts": 6}, "Balancers": 1, "Classes": [{"Aim": 400000,
    "HardLimit": 5000000, "Idempotency": "repeatable", "Worth": 2.0}], "FamilyInfo": {"MidKind": 1, "StoreKind": 2},
    "Safety": {}, "Zone": 0, "Unheard": [1]}"#;

#[test]
fn the_page_frame_of_two_instances_is_read() {
    let request =
        "02 000026305d3a91c4 0000 00000000 91f03b7c55d20a64 00000000008405da 44200000 41300000 40400000
        0001";
    let rest = [("06 0000004d", 43), ("0b 0005", 45), ("05 000c75520e6f2b19", 39)];
    let all = [("0b 0003", 45), (request, 3)].into_iter().chain(rest);
    let records = read(&frame(&all.map(|(hex, zeros)| record(hex, zeros)).collect::<Vec<_>>(), &[]));
    let (ticket, class, item, valid_until) = (0x26305d3a91c4, 0, 0x91f03b7c55d20a64, 0x8405da);
    let (size_kb, tag, part, options) = (640.0, 11.0, 3.0, 1);
    let request = EventRecord::Request { ticket, class, item, valid_until, size_kb, tag, part, options };
    let (first, second) = (EventRecord::For { instance: 3 }, EventRecord::For { instance: 5 });
    let last = EventRecord::Aborted { ticket: 0xc75520e6f2b19 };
    assert_eq!(records, [first, request, EventRecord::Elapsed { handle: 77 }, second, last]);
}

#[test]
fn the_page_records_of_lists_outcomes_and_purges_are_read() {
    let first = "0000 03124a07 0000000000000000 3f800000 01 0000 00";
    let entries = [bytes(first), bytes("0001 2c9011f2 00000000005d1420 3fc00000 01 0000 00")].concat();
    let list = record("01 03 0000000000000029 00000000 00000002", 30);
    let response = record("04 000026305d3a91c4 00c8 00000002 000024b8 03124a07 00 01 00004844 00", 18);
    let purge = record("0a 0000007c55d20a01 000b 00014c08", 33);
    let records = read(&frame(&[list, response, purge], &entries));
    let EventRecord::Targets { how: 3, entries } = &records[0] else { panic!("{records:?}") };
    assert_eq!((entries[1].cache, entries[1].online_since, entries[1].scale), (0x2c9011f2, 0x5d1420, 1.5));
    let (ticket, cache) = (0x26305d3a91c4, 0x03124a07);
    let (rc, note, first_byte, hop, complete, took) = (200, 2, 9400, 0, true, 18500);
    let outcome = EventRecord::Response { ticket, rc, note, first_byte, cache, hop, complete, took };
    assert_eq!(records[1..], [outcome, EventRecord::Replaced { item: 0x7c55d20a01, tag: 11, age: 85000 }]);
}

#[test]
fn the_page_replies_are_written() {
    let mut reply = Reply::default();
    let (ticket, cache, feeder) = (0x26305d3a91c4, 0x03124a07, 0x2c9011f2);
    reply.push(&ActionRecord::Instance { instance: 3 });
    let (age, within) = (1_500_000, 0xdbba0);
    reply.push(&ActionRecord::ServeVia { ticket, age, rank: 2, within, cache, switches: 9, feeder });
    reply.push(&ActionRecord::PushBack { ticket: 0xc75520e6f2b19, not_before: 250_000 });
    reply.push(&ActionRecord::Print { text: "two servers known".into() });
    let mut wanted = bytes("00000004 00000091");
    wanted.extend(record("05 0003", 29));
    wanted.extend(record("03 000026305d3a91c4 0016e360 02 000dbba0 03124a07 09 2c9011f2", 5));
    wanted.extend(record("0c 000c75520e6f2b19 0003d090", 19));
    wanted.extend(record("0a 00000000 00000011", 23));
    wanted.extend(bytes("74776f2073657276657273206b6e6f776e"));
    assert_eq!(reply.frame(), wanted);
}

#[test]
fn bad_input_gets_one_line_and_nothing_on_standard_output() {
    let unknown = frame(&[record("0b 0003", 45), vec![77; 48]], &[]);
    let outside =
        frame(&[record("0b 0003", 45), record("01 00 0000000000000001 00000004 00000001", 30)], &[]);
    for (input, says) in [
        (unknown, "unknown event code 77 at byte 64"),
        (outside, "TARGETS MembersList lies outside the tail of 0 bytes at byte 74"),
        (frame(&[record("06 0000004d", 43)], &[]), "no FOR before it at byte 16"),
        (frame(&[record("0b 0003", 45), record("06 0000004d", 43)], &[]), "has not started at byte 64"),
        (frame(&[], &[])[..9].to_vec(), "frame header is cut off at byte 9"),
        (frame(&[record("0b 0003", 45)], &[])[..40].to_vec(), "frame of 48 bytes is cut off at byte 40"),
        (spawn("{"), "SPAWN Info: settings are not JSON"),
        (spawn(&SETTINGS.replace("\"Zone\": 0,", "")), "SPAWN Info: needed key Zone is missing at byte 73"),
        (spawn(&SETTINGS.replace("\"Aim\": 400000,", "")), "needed key Classes[0].Aim is missing"),
        (spawn(&SETTINGS.replace("400000", "\"soon\"")), "key Classes[0].Aim is not a number"),
        (spawn(&SETTINGS.replace("400000", "-4")), "key Classes[0].Aim is not a span of 0 or more"),
        (spawn(&SETTINGS.replace("\"Balancers\": 1", "\"Balancers\": 0")), "key Balancers is not 1 or more"),
    ] {
        let out = run(&input);
        let told = String::from_utf8(out.stderr).unwrap();
        assert!(told.contains(says) && told.lines().count() == 1, "{told:?}, not {says:?}");
        assert!(out.stdout.is_empty() && !out.status.success() && out.status.code() != Some(101));
    }
}

#[test]
fn an_instance_starts_anew_in_the_batch_in_which_it_stopped() {
    let mut input = spawn(SETTINGS);
    let stop = record("09", 47);
    let timer = record("06 00000000", 43);
    input.extend(frame(&[record("0b 0003", 45), stop, start(SETTINGS), timer], SETTINGS.as_bytes()));
    let out = run(&input);
    assert!(out.status.success() && out.stderr.is_empty());
    // Only the second batch has something that calls for orders: the selector and the next timer.
    assert_eq!(out.stdout[..8], [0; 8]);
    assert_eq!(u32::from_be_bytes(out.stdout[8..12].try_into().unwrap()), 3);
}
