//! Packs: what is written is read back exactly, what is wrong is refused by where and what, whatever the bytes are.
use harestage_purge::pack::{
    MAX_ITEMS, MAX_PACK_BYTES, PackError, PackErrorKind, PackedItem, PackedPayload, decode, encode,
    from_base64, to_base64,
};
use harestage_purge::scope::Scope;
use harestage_purge::sequencer::{Item, Payload};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Instant;

struct Chance(u64, u64);

impl Chance {
    fn next(&mut self) -> u64 {
        self.1 += 1;
        let mut hasher = DefaultHasher::new();
        (self.0, self.1).hash(&mut hasher);
        hasher.finish()
    }

    fn below(&mut self, most: u64) -> u64 {
        self.next() % most
    }

    /// Small ones, large ones, and those at the edge.
    fn number(&mut self) -> u64 {
        match self.below(4) {
            0 => self.below(200),
            1 => u64::MAX - self.below(3),
            2 => 1 << self.below(64),
            _ => self.next(),
        }
    }
}

fn scope(chance: &mut Chance) -> Scope {
    let hex = |chance: &mut Chance| match chance.below(5) {
        0 => format!("{:016X}", chance.next() | 0xa << 60),
        _ => format!("{:016x}", chance.number()),
    };
    let tags = |chance: &mut Chance| {
        (0..=chance.below(3)).map(|n| format!("tag-{n}-\"{}", chance.below(9))).collect()
    };
    match chance.below(10) {
        0..=2 => Scope::Object(hex(chance)),
        3 => Scope::Part { object: hex(chance), part: chance.number() as u32 },
        4 => Scope::Group(chance.number() as u32),
        5 => Scope::AllTags(tags(chance)),
        6 => Scope::AnyTag(tags(chance)),
        7 => Scope::Prefix(format!("fäll/{}\u{1}", chance.below(99))),
        8 => Scope::Regex(format!("case/[0-9]+\\.{}", chance.below(99))),
        _ => Scope::Everything,
    }
}

fn items(chance: &mut Chance) -> Vec<PackedItem> {
    let (mut number, mut term, mut at_ms) = (chance.number(), chance.number(), chance.number());
    let mut items = Vec::new();
    for _ in 0..chance.below(40) {
        let Some(next) = number.checked_add(1 + chance.below(9).saturating_sub(7) * chance.below(1_000_000))
        else {
            break;
        };
        number = next;
        at_ms = if chance.below(9) == 0 { chance.number() } else { at_ms.wrapping_add(chance.below(300)) };
        term = if chance.below(9) == 0 { chance.number() } else { term };
        let names = |chance: &mut Chance| (0..chance.below(4)).map(|n| format!("hub-ö{n}")).collect();
        let what = match chance.below(8) {
            0 => PackedPayload::Fenced(names(chance)),
            1 => PackedPayload::Freed(names(chance)),
            _ => PackedPayload::Purge(scope(chance)),
        };
        items.push(PackedItem { number, term, at_ms, payload: what });
    }
    items
}

/// The checksum of what was changed on purpose, so that what is behind it is reached.
fn sealed(mut bytes: Vec<u8>) -> Vec<u8> {
    let body = bytes.len().saturating_sub(4);
    bytes.truncate(body);
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

#[test]
fn what_is_packed_is_read_back_exactly() {
    for seed in 0..2_000 {
        let mut chance = Chance(seed, 0);
        let items = items(&mut chance);
        let bytes = encode(&items);
        assert_eq!(decode(&bytes), Ok(items), "seed {seed}");
        let text = to_base64(&bytes);
        assert!(
            text.bytes().all(|b| b.is_ascii_graphic() && b != b'"' && b != b'\\'),
            "it stands in a JSON line"
        );
        assert_eq!(from_base64(&text), Ok(bytes));
    }
}

#[test]
fn items_are_put_in_order_and_numbers_are_told_once() {
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

/// Every single byte that is changed is found out, and every end that is missing.
#[test]
fn a_wrong_byte_is_refused_wherever_it_is() {
    let items = items(&mut Chance(11, 0));
    let bytes = encode(&items);
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut wrong = bytes.clone();
            wrong[at] ^= 1 << bit;
            assert!(decode(&wrong).is_err(), "byte {at}, bit {bit}");
        }
        assert!(decode(&bytes[..at]).is_err(), "cut at {at}");
    }
}

#[test]
fn whatever_the_bytes_are_they_are_read_or_refused() {
    let (mut read, mut refused) = (0, 0);
    for seed in 0..30_000 {
        let mut chance = Chance(seed, 1);
        let mut bytes = encode(&items(&mut chance));
        for _ in 0..=chance.below(3) {
            let at = chance.below(bytes.len() as u64) as usize;
            match chance.below(4) {
                0 => bytes[at] = chance.next() as u8,
                1 => drop(bytes.remove(at)),
                2 => bytes.insert(at, chance.next() as u8),
                _ => bytes[at] ^= 0x80,
            }
        }
        let bytes = if chance.below(8) == 0 {
            (0..chance.below(64)).map(|_| chance.next() as u8).collect()
        } else {
            bytes
        };
        match decode(&sealed(bytes.clone())) {
            // What can be read says the same when it is written again.
            Ok(items) => {
                assert_eq!(decode(&encode(&items)), Ok(items), "seed {seed}");
                read += 1;
            }
            Err(bad) => {
                assert!(bad.at <= bytes.len() + 4, "seed {seed}: {bad}");
                refused += 1;
            }
        }
    }
    assert!(read > 1_000 && refused > 10_000, "{read} read, {refused} refused");
}

#[test]
fn what_is_refused_is_told_by_where_and_what() {
    let body = |bytes: &[u8]| sealed([b"hp\x01", bytes, &[0; 4]].concat());
    let told = |bytes: &[u8]| decode(&body(bytes)).unwrap_err();
    assert_eq!(told(&[9, 0, 1, 0]), PackError { at: 3, kind: PackErrorKind::InvalidCount });
    assert_eq!(told(&[1, 0, 2, 0, 2, 7, 2, 7]), PackError { at: 4, kind: PackErrorKind::InvalidCount });
    assert_eq!(told(&[0x81, 0, 0, 1, 0, 2, 7]), PackError { at: 3, kind: PackErrorKind::InvalidNumber });
    assert_eq!(told(&[1, 0, 1, 0, 7, 7]), PackError { at: 7, kind: PackErrorKind::UnknownKind(7) });
    assert_eq!(told(&[1, 0, 1, 0, 2, 7, 0]), PackError { at: 9, kind: PackErrorKind::TrailingBytes });
    assert_eq!(told(&[1, 0, 1, 0, 0, 1, 2]), PackError { at: 10, kind: PackErrorKind::Truncated });
    assert_eq!(told(&[1, 0, 1, 0, 4, 1, 1, 0xff]), PackError { at: 9, kind: PackErrorKind::InvalidName });
    assert!(matches!(
        told(&[1, 0, 1, 0, 3, 2, b'{', b'}']),
        PackError { at: 8, kind: PackErrorKind::InvalidScope(_) }
    ));
    let mut other = encode(&[]);
    other[2] = 2;
    assert_eq!(decode(&sealed(other)).unwrap_err().to_string(), "pack, byte 2: version 2 is not known, 1 is");
    assert_eq!(decode(b"{}").unwrap_err(), PackError { at: 0, kind: PackErrorKind::NotAPack });
    assert_eq!(decode(b"hp\x01").unwrap_err(), PackError { at: 3, kind: PackErrorKind::Truncated });
    assert_eq!(decode(&vec![0; MAX_PACK_BYTES + 1]).unwrap_err().kind, PackErrorKind::TooLong);
    assert_eq!(from_base64("aGkx*").unwrap_err(), PackError { at: 4, kind: PackErrorKind::InvalidBase64 });
    assert_eq!(
        from_base64(&"A".repeat(MAX_PACK_BYTES / 3 * 4 + 8)).unwrap_err().kind,
        PackErrorKind::TooLong
    );
}

/// What says that it has a great many items in few bytes makes no room for them.
#[test]
fn a_pack_that_says_much_in_few_bytes_is_refused_at_once() {
    let mut bytes = b"hp\x01".to_vec();
    let many = MAX_ITEMS as u64 + 1;
    bytes.extend((0..3).map(|n| (many >> (7 * n)) as u8 | if n < 2 { 0x80 } else { 0 }));
    bytes.extend(vec![0; 4 * MAX_ITEMS]);
    assert_eq!(decode(&sealed(bytes)).unwrap_err(), PackError { at: 3, kind: PackErrorKind::InvalidCount });
}

/// An hour at 12 a second; half of them by object, the rest by prefix, tag, group, pattern and part.
fn hour(mixed: bool) -> Vec<PackedItem> {
    let mut chance = Chance(5, 0);
    let mut at_ms = 1_796_000_000_000;
    let mut hour = Vec::new();
    for n in 0..43_200u64 {
        at_ms += 40 + chance.below(87);
        let id = format!("{:016x}", chance.next());
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

/// The same as the service writes it today: an item a line, with key and tenant.
fn lines(hour: &[PackedItem]) -> usize {
    let mut bytes = 0;
    for item in hour {
        let PackedPayload::Purge(scope) = &item.payload else { continue };
        let key = format!("case-{}-corrected", item.number);
        let what = Payload::Purge { scope: scope.clone(), tenant: item.number as u32 % 50, key };
        let item = Item { number: item.number, term: item.term, at_ms: item.at_ms, payload: what };
        bytes += serde_json::to_vec(&item).unwrap().len() + 1;
    }
    bytes
}

#[test]
fn an_hour_of_purges_is_small() {
    for (mixed, most_bytes) in [(false, 10.1), (true, 20.0)] {
        let hour = hour(mixed);
        let begun = Instant::now();
        let bytes = encode(&hour);
        let encoded = begun.elapsed();
        let begun = Instant::now();
        assert_eq!(decode(&bytes).as_ref(), Ok(&hour));
        let decoded = begun.elapsed();
        let each = bytes.len() as f64 / hour.len() as f64;
        let (text, lines) = (to_base64(&bytes).len(), lines(&hour));
        println!(
            "mixed {mixed}: {} bytes, {text} as text, {lines} as lines; {encoded:?} to write, {decoded:?} to read",
            bytes.len()
        );
        assert!(each <= most_bytes, "{each} bytes a purge");
        assert!(text * 5 <= lines, "{text} as text, {lines} as lines");
    }
}

/// Few items stand in a line one by one, many as one text; both read back as they were, without what concerns the service.
#[test]
fn a_line_of_many_items_is_one_text_and_reads_back() {
    use harestage_purge::messages::{ToMember, to_line};
    use harestage_purge::sequencer::{Item, Payload};
    let what = |n: u64| match n % 7 {
        0 => Payload::fenced(["a".to_string()].into()),
        1 => Payload::freed(["a".to_string(), "b".to_string()].into()),
        2 => Payload::Purge { scope: Scope::Glob(format!("{n:x}*")), tenant: 0, key: String::new() },
        _ => Payload::Purge { scope: Scope::Object(format!("{n:016x}")), tenant: 0, key: String::new() },
    };
    let item = |n: u64| Item { number: 5 + n, term: 3, at_ms: 1_764_000_000_000 + n * 83, payload: what(n) };
    for many in [0, 1, 31, 32, 512] {
        let told = ToMember::Items { term: 4, items: (0..many).map(item).collect() };
        let text = to_line(&told);
        let read: ToMember = serde_json::from_slice(&text).expect("it reads back");
        assert_eq!(read, told, "{many}");
        assert!(many < 32 || text.len() < many as usize * 40, "{many}: {} bytes", text.len());
    }
    let torn = br#"{"items":{"term":4,"items":"aHAB"}}"#;
    assert!(serde_json::from_slice::<ToMember>(torn).is_err());
}
