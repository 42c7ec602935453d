//! Packs: encoding is lossless, and invalid bytes are refused with an offset and a reason.
use harestage_purge::pack::{
    MAX_ITEMS, MAX_PACK_BYTES, PackError, PackErrorKind, PackedItem, PackedPayload, decode, encode,
    from_base64, to_base64,
};
use harestage_purge::scope::Scope;
use harestage_purge::sequencer::{Item, Payload};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Instant;

struct TestRng(u64, u64);

impl TestRng {
    fn next(&mut self) -> u64 {
        self.1 += 1;
        let mut hasher = DefaultHasher::new();
        (self.0, self.1).hash(&mut hasher);
        hasher.finish()
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// Small and large numbers, and those at the limits.
    fn number(&mut self) -> u64 {
        match self.below(4) {
            0 => self.below(200),
            1 => u64::MAX - self.below(3),
            2 => 1 << self.below(64),
            _ => self.next(),
        }
    }
}

fn scope(rng: &mut TestRng) -> Scope {
    let hex = |rng: &mut TestRng| match rng.below(5) {
        0 => format!("{:016X}", rng.next() | 0xa << 60),
        _ => format!("{:016x}", rng.number()),
    };
    let tags =
        |rng: &mut TestRng| (0..=rng.below(3)).map(|n| format!("tag-{n}-\"{}", rng.below(9))).collect();
    match rng.below(10) {
        0..=2 => Scope::Object(hex(rng)),
        3 => Scope::Part { object: hex(rng), part: rng.number() as u32 },
        4 => Scope::Group(rng.number() as u32),
        5 => Scope::AllTags(tags(rng)),
        6 => Scope::AnyTag(tags(rng)),
        7 => Scope::Prefix(format!("fäll/{}\u{1}", rng.below(99))),
        8 => Scope::Regex(format!("case/[0-9]+\\.{}", rng.below(99))),
        _ => Scope::Everything,
    }
}

fn items(rng: &mut TestRng) -> Vec<PackedItem> {
    let (mut number, mut term, mut at_ms) = (rng.number(), rng.number(), rng.number());
    let mut items = Vec::new();
    for _ in 0..rng.below(40) {
        let Some(next) = number.checked_add(1 + rng.below(9).saturating_sub(7) * rng.below(1_000_000)) else {
            break;
        };
        number = next;
        at_ms = if rng.below(9) == 0 { rng.number() } else { at_ms.wrapping_add(rng.below(300)) };
        term = if rng.below(9) == 0 { rng.number() } else { term };
        let names = |rng: &mut TestRng| (0..rng.below(4)).map(|n| format!("hub-ö{n}")).collect();
        let payload = match rng.below(8) {
            0 => PackedPayload::Fenced(names(rng)),
            1 => PackedPayload::Freed(names(rng)),
            _ => PackedPayload::Purge(scope(rng)),
        };
        items.push(PackedItem { number, term, at_ms, payload });
    }
    items
}

/// Recomputes the checksum, so that changed bytes before it are decoded.
fn with_checksum(mut bytes: Vec<u8>) -> Vec<u8> {
    let body = bytes.len().saturating_sub(4);
    bytes.truncate(body);
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

#[test]
fn packs_round_trip_exactly() {
    for seed in 0..2_000 {
        let mut rng = TestRng(seed, 0);
        let items = items(&mut rng);
        let bytes = encode(&items);
        assert_eq!(decode(&bytes), Ok(items), "seed {seed}");
        let text = to_base64(&bytes);
        assert!(
            text.bytes().all(|b| b.is_ascii_graphic() && b != b'"' && b != b'\\'),
            "it needs no escapes in JSON"
        );
        assert_eq!(from_base64(&text), Ok(bytes));
    }
}

#[test]
fn items_are_sorted_and_deduplicated_by_number() {
    let item = |number, group| PackedItem {
        number,
        term: 1,
        at_ms: 5,
        payload: PackedPayload::Purge(Scope::Group(group)),
    };
    let packed = encode(&[item(u64::MAX, 1), item(3, 2), item(u64::MAX - 1, 3), item(3, 4)]);
    assert_eq!(decode(&packed), Ok(vec![item(3, 2), item(u64::MAX - 1, 3), item(u64::MAX, 1)]));
    assert_eq!(decode(&encode(&[])), Ok(Vec::new()));
}

/// Every changed byte and every truncation is detected.
#[test]
fn any_changed_byte_is_detected() {
    let items = items(&mut TestRng(11, 0));
    let bytes = encode(&items);
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut changed = bytes.clone();
            changed[at] ^= 1 << bit;
            assert!(decode(&changed).is_err(), "byte {at}, bit {bit}");
        }
        assert!(decode(&bytes[..at]).is_err(), "cut at {at}");
    }
}

#[test]
fn arbitrary_bytes_are_decoded_or_refused() {
    let (mut decoded, mut refused) = (0, 0);
    for seed in 0..30_000 {
        let mut rng = TestRng(seed, 1);
        let mut bytes = encode(&items(&mut rng));
        for _ in 0..=rng.below(3) {
            let at = rng.below(bytes.len() as u64) as usize;
            match rng.below(4) {
                0 => bytes[at] = rng.next() as u8,
                1 => drop(bytes.remove(at)),
                2 => bytes.insert(at, rng.next() as u8),
                _ => bytes[at] ^= 0x80,
            }
        }
        let bytes =
            if rng.below(8) == 0 { (0..rng.below(64)).map(|_| rng.next() as u8).collect() } else { bytes };
        match decode(&with_checksum(bytes.clone())) {
            // What can be decoded is the same after it is encoded again.
            Ok(items) => {
                assert_eq!(decode(&encode(&items)), Ok(items), "seed {seed}");
                decoded += 1;
            }
            Err(error) => {
                assert!(error.at <= bytes.len() + 4, "seed {seed}: {error}");
                refused += 1;
            }
        }
    }
    assert!(decoded > 1_000 && refused > 10_000, "{decoded} read, {refused} refused");
}

#[test]
fn errors_tell_the_offset_and_the_reason() {
    let body = |bytes: &[u8]| with_checksum([b"hp\x01", bytes, &[0; 4]].concat());
    let error = |bytes: &[u8]| decode(&body(bytes)).unwrap_err();
    assert_eq!(error(&[9, 0, 1, 0]), PackError { at: 3, kind: PackErrorKind::InvalidCount });
    assert_eq!(error(&[1, 0, 2, 0, 2, 7, 2, 7]), PackError { at: 4, kind: PackErrorKind::InvalidCount });
    assert_eq!(error(&[0x81, 0, 0, 1, 0, 2, 7]), PackError { at: 3, kind: PackErrorKind::InvalidNumber });
    assert_eq!(error(&[1, 0, 1, 0, 7, 7]), PackError { at: 7, kind: PackErrorKind::UnknownKind(7) });
    assert_eq!(error(&[1, 0, 1, 0, 2, 7, 0]), PackError { at: 9, kind: PackErrorKind::TrailingBytes });
    assert_eq!(error(&[1, 0, 1, 0, 0, 1, 2]), PackError { at: 10, kind: PackErrorKind::Truncated });
    assert_eq!(error(&[1, 0, 1, 0, 4, 1, 1, 0xff]), PackError { at: 9, kind: PackErrorKind::InvalidName });
    assert!(matches!(
        error(&[1, 0, 1, 0, 3, 2, b'{', b'}']),
        PackError { at: 8, kind: PackErrorKind::InvalidScope(_) }
    ));
    let mut other = encode(&[]);
    other[2] = 2;
    assert_eq!(
        decode(&with_checksum(other)).unwrap_err().to_string(),
        "invalid pack at byte 2: version 2 is not supported, only 1"
    );
    assert_eq!(decode(b"{}").unwrap_err(), PackError { at: 0, kind: PackErrorKind::NotAPack });
    assert_eq!(decode(b"hp\x01").unwrap_err(), PackError { at: 3, kind: PackErrorKind::Truncated });
    assert_eq!(decode(&vec![0; MAX_PACK_BYTES + 1]).unwrap_err().kind, PackErrorKind::TooLong);
    assert_eq!(from_base64("aGkx*").unwrap_err(), PackError { at: 4, kind: PackErrorKind::InvalidBase64 });
    assert_eq!(
        from_base64(&"A".repeat(MAX_PACK_BYTES / 3 * 4 + 8)).unwrap_err().kind,
        PackErrorKind::TooLong
    );
}

/// An excessive count in a short pack must not reserve memory.
#[test]
fn an_excessive_item_count_is_refused_at_once() {
    let mut bytes = b"hp\x01".to_vec();
    let count = MAX_ITEMS as u64 + 1;
    bytes.extend((0..3).map(|n| (count >> (7 * n)) as u8 | if n < 2 { 0x80 } else { 0 }));
    bytes.extend(vec![0; 4 * MAX_ITEMS]);
    assert_eq!(
        decode(&with_checksum(bytes)).unwrap_err(),
        PackError { at: 3, kind: PackErrorKind::InvalidCount }
    );
}

/// An hour at 12 purges a second: half of them by object, the rest by prefix, tag, group, pattern and part.
fn hour(mixed: bool) -> Vec<PackedItem> {
    let mut rng = TestRng(5, 0);
    let mut at_ms = 1_796_000_000_000;
    let mut hour = Vec::new();
    for n in 0..43_200u64 {
        at_ms += 40 + rng.below(87);
        let id = format!("{:016x}", rng.next());
        let scope = match n % 20 {
            _ if !mixed => Scope::Object(id),
            0..=9 => Scope::Object(id),
            10..=12 => Scope::Prefix(id[..6].into()),
            13..=14 => Scope::AnyTag([format!("case-{}", n % 5_000)].into()),
            15 => Scope::AllTags([format!("case-{}", n % 5_000), "photo".into()].into()),
            16..=17 => Scope::Group(n as u32 % 50_000),
            18 => Scope::Part { object: id, part: n as u32 % 40 },
            _ => Scope::Glob(format!("{}*{}", &id[..4], &id[12..])),
        };
        hour.push(PackedItem {
            number: 1_000_000 + n,
            term: 17,
            at_ms,
            payload: PackedPayload::Purge(scope),
        });
    }
    hour
}

/// Size of the same items as JSON, one per line, with key and tenant.
fn json_bytes(hour: &[PackedItem]) -> usize {
    let mut bytes = 0;
    for item in hour {
        let PackedPayload::Purge(scope) = &item.payload else { continue };
        let key = format!("case-{}-corrected", item.number);
        let payload = Payload::Purge { scope: scope.clone(), tenant: item.number as u32 % 50, key };
        let item = Item { number: item.number, term: item.term, at_ms: item.at_ms, payload };
        bytes += serde_json::to_vec(&item).unwrap().len() + 1;
    }
    bytes
}

#[test]
fn an_hour_of_purges_is_small() {
    for (mixed, max_bytes) in [(false, 10.1), (true, 20.0)] {
        let hour = hour(mixed);
        let started = Instant::now();
        let bytes = encode(&hour);
        let encoded = started.elapsed();
        let started = Instant::now();
        assert_eq!(decode(&bytes).as_ref(), Ok(&hour));
        let decoded = started.elapsed();
        let each = bytes.len() as f64 / hour.len() as f64;
        let (text, json_bytes) = (to_base64(&bytes).len(), json_bytes(&hour));
        println!(
            "mixed {mixed}: {} bytes, {text} as text, {json_bytes} as lines; {encoded:?} to write, {decoded:?} to read",
            bytes.len()
        );
        assert!(each <= max_bytes, "{each} bytes a purge");
        assert!(text * 5 <= json_bytes, "{text} as text, {json_bytes} as lines");
    }
}

/// Few items are JSON, many are packed. Both round-trip, without keys and tenants.
#[test]
fn a_message_with_many_items_is_packed_and_round_trips() {
    use harestage_purge::messages::{ToMember, to_line};
    use harestage_purge::sequencer::{Item, Payload};
    let payload = |n: u64| match n % 7 {
        0 => Payload::fenced(["a".to_string()].into()),
        1 => Payload::freed(["a".to_string(), "b".to_string()].into()),
        2 => Payload::Purge { scope: Scope::Glob(format!("{n:x}*")), tenant: 0, key: String::new() },
        _ => Payload::Purge { scope: Scope::Object(format!("{n:016x}")), tenant: 0, key: String::new() },
    };
    let item =
        |n: u64| Item { number: 5 + n, term: 3, at_ms: 1_764_000_000_000 + n * 83, payload: payload(n) };
    for count in [0, 1, 31, 32, 512] {
        let message = ToMember::Items { term: 4, items: (0..count).map(item).collect() };
        let text = to_line(&message);
        let decoded: ToMember = serde_json::from_slice(&text).expect("valid message");
        assert_eq!(decoded, message, "{count}");
        assert!(count < 32 || text.len() < count as usize * 40, "{count}: {} bytes", text.len());
    }
    let truncated = br#"{"items":{"term":4,"items":"aHAB"}}"#;
    assert!(serde_json::from_slice::<ToMember>(truncated).is_err());
}
