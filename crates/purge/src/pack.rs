//! Compact lossless encoding of many items, used for what a member receives at once when it starts. Keys and
//! tenants are left out, since members do not need them.
//!
//! | bytes | content |
//! | --- | --- |
//! | `hp`, 1 | magic and version |
//! | varint | number of items |
//! | runs | gap before the run, number of items, change of term (zigzag); then the items |
//! | 4 | CRC-32 of everything before, little-endian |
//!
//! A run has consecutive numbers and one term. An item starts with a varint of its kind (3 bits) and the
//! change of time in milliseconds (zigzag). Its payload follows: an object as 8 bytes, a part as 8 bytes and
//! a varint, a group as a varint, any other scope as length-prefixed JSON, members as length-prefixed names.
//! Varints are LEB128 in their shortest form only.
use crate::scope::Scope;
use base64::Engine;
use base64::prelude::BASE64_STANDARD_NO_PAD;
use std::fmt;

/// Maximum number of items in a pack: a day of 12 purges a second, and the fences in between. Decoded, an
/// item takes about a hundred bytes, however few it is encoded in.
pub const MAX_ITEMS: usize = 1_100_000;
/// Maximum size of a pack. That many items by object take 11 MB, others may take three times as much.
pub const MAX_PACK_BYTES: usize = 32 << 20;
/// Maximum size of a scope written as JSON: 16 tags of 64 bytes, or a pattern of 256 bytes, each escaped to
/// six.
const MAX_JSON_BYTES: usize = 4 << 10;
/// Maximum number of names in one item, and of bytes in a name. Members are 192 hubs and a feed for each
/// branch.
pub const MAX_NAMES: usize = 4_096;
const MAX_NAME_BYTES: usize = 256;
/// Maximum number of items that memory is reserved for before they are decoded.
const MAX_RESERVED_ITEMS: usize = 4_096;
const MAGIC: [u8; 2] = *b"hp";
const VERSION: u8 = 1;
const CHECKSUM_BYTES: usize = 4;
/// Size of the shortest item (kind and time, and a group or a count of names) and of the shortest name.
const MIN_ITEM_BYTES: usize = 2;
const MIN_NAME_BYTES: usize = 1;

/// An item of the purge log without keys and tenants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedItem {
    pub number: u64,
    pub term: u64,
    /// Unix milliseconds, by the clock of the service.
    pub at_ms: u64,
    pub payload: PackedPayload,
}

/// Payload of a `PackedItem`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PackedPayload {
    /// Copies that the archive gave out up to then are outdated.
    Purge(Scope),
    /// These members are not used from then on.
    Fenced(Vec<String>),
    /// These members have caught up.
    Freed(Vec<String>),
}

// Kinds of items.
const OBJECT: u64 = 0;
const PART: u64 = 1;
const GROUP: u64 = 2;
const JSON: u64 = 3;
const FENCED: u64 = 4;
const FREED: u64 = 5;

/// Decoding error and the offset at which it was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackError {
    pub at: usize,
    pub kind: PackErrorKind,
}

/// Reason why a pack cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PackErrorKind {
    /// It exceeds `MAX_PACK_BYTES`.
    TooLong,
    /// The text is not base64.
    InvalidBase64,
    /// The magic is missing.
    NotAPack,
    /// The version is not supported.
    Version(u8),
    /// The checksum does not match.
    Checksum,
    /// The pack ends before its announced length.
    Truncated,
    /// A number is out of range or not in its shortest form.
    InvalidNumber,
    /// More items or names are announced than the remaining bytes can hold.
    InvalidCount,
    /// The kind of an item is unknown.
    UnknownKind(u64),
    /// A name is too long or not UTF-8.
    InvalidName,
    /// A scope is too long or not valid JSON.
    InvalidScope(String),
    /// Bytes after the last item.
    TrailingBytes,
}

impl fmt::Display for PackError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "invalid pack at byte {}: ", self.at)?;
        match &self.kind {
            PackErrorKind::TooLong => write!(f, "more than {MAX_PACK_BYTES} bytes"),
            PackErrorKind::InvalidBase64 => write!(f, "not base64"),
            PackErrorKind::NotAPack => write!(f, "not a pack of purges"),
            PackErrorKind::Version(version) => {
                write!(f, "version {version} is not supported, only {VERSION}")
            }
            PackErrorKind::Checksum => write!(f, "checksum mismatch"),
            PackErrorKind::Truncated => write!(f, "unexpected end"),
            PackErrorKind::InvalidNumber => write!(f, "a number is out of range or not in its shortest form"),
            PackErrorKind::InvalidCount => write!(f, "announces more elements than its bytes can hold"),
            PackErrorKind::UnknownKind(kind) => write!(f, "unknown item kind {kind}"),
            PackErrorKind::InvalidName => write!(f, "a name is not UTF-8 or exceeds {MAX_NAME_BYTES} bytes"),
            PackErrorKind::InvalidScope(error) => write!(f, "scope: {error}"),
            PackErrorKind::TrailingBytes => write!(f, "trailing bytes after the last item"),
        }
    }
}

impl std::error::Error for PackError {}

/// Encodes items in the order of their numbers; of several items with one number, the first is kept. The
/// result can be decoded if scopes were validated and there are at most `MAX_ITEMS` items; more take several
/// packs.
pub fn encode(items: &[PackedItem]) -> Vec<u8> {
    let mut sorted: Vec<&PackedItem> = items.iter().collect();
    sorted.sort_by_key(|item| item.number);
    sorted.dedup_by_key(|item| item.number);
    let mut bytes = Vec::with_capacity(16 + sorted.len() * 11);
    bytes.extend(MAGIC);
    bytes.push(VERSION);
    put_varint(&mut bytes, sorted.len() as u64);
    // The next number that needs no gap, and the term and time of the previous item.
    let (mut next, mut term, mut at_ms) = (0u64, 0u64, 0u64);
    for run in sorted.chunk_by(|a, b| a.number + 1 == b.number && a.term == b.term) {
        put_varint(&mut bytes, run[0].number - next);
        put_varint(&mut bytes, run.len() as u64);
        put_varint(&mut bytes, zigzag(run[0].term.wrapping_sub(term)));
        for item in run {
            put_item(&mut bytes, item, at_ms);
            at_ms = item.at_ms;
        }
        next = run[run.len() - 1].number.saturating_add(1);
        term = run[0].term;
    }
    let checksum = crc32fast::hash(&bytes);
    bytes.extend(checksum.to_le_bytes());
    bytes
}

/// Appends an item, with its time relative to the previous one.
fn put_item(bytes: &mut Vec<u8>, item: &PackedItem, before_ms: u64) {
    let (kind, object) = match &item.payload {
        PackedPayload::Purge(Scope::Object(text)) => canonical_id(text).map_or((JSON, 0), |id| (OBJECT, id)),
        PackedPayload::Purge(Scope::Part { object, .. }) => {
            canonical_id(object).map_or((JSON, 0), |id| (PART, id))
        }
        PackedPayload::Purge(Scope::Group(_)) => (GROUP, 0),
        PackedPayload::Purge(_) => (JSON, 0),
        PackedPayload::Fenced(_) => (FENCED, 0),
        PackedPayload::Freed(_) => (FREED, 0),
    };
    let time = zigzag(item.at_ms.wrapping_sub(before_ms));
    put_wide_varint(bytes, u128::from(time) << 3 | u128::from(kind));
    if matches!(kind, OBJECT | PART) {
        bytes.extend(object.to_be_bytes());
    }
    match &item.payload {
        PackedPayload::Purge(Scope::Part { part, .. }) if kind == PART => put_varint(bytes, u64::from(*part)),
        PackedPayload::Purge(Scope::Group(group)) => put_varint(bytes, u64::from(*group)),
        PackedPayload::Purge(scope) if kind == JSON => {
            put_text(bytes, &serde_json::to_vec(scope).unwrap_or_default())
        }
        PackedPayload::Purge(_) => {}
        PackedPayload::Fenced(names) | PackedPayload::Freed(names) => {
            put_varint(bytes, names.len() as u64);
            names.iter().for_each(|name| put_text(bytes, name.as_bytes()));
        }
    }
}

/// Parses an id that formats back to exactly the same text.
fn canonical_id(text: &str) -> Option<u64> {
    let is_canonical = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(text, 16).ok().filter(|_| is_canonical)
}

fn put_text(bytes: &mut Vec<u8>, text: &[u8]) {
    put_varint(bytes, text.len() as u64);
    bytes.extend(text);
}

fn put_varint(bytes: &mut Vec<u8>, number: u64) {
    put_wide_varint(bytes, u128::from(number));
}

fn put_wide_varint(bytes: &mut Vec<u8>, mut number: u128) {
    while number > 0x7f {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
}

/// Encodes small changes in both directions as small numbers.
fn zigzag(change: u64) -> u64 {
    let change = change as i64;
    (change << 1 ^ change >> 63) as u64
}

fn unzigzag(number: u64) -> u64 {
    (number >> 1) ^ (number & 1).wrapping_neg()
}

/// Decodes a pack. On any error, nothing of it is returned.
pub fn decode(bytes: &[u8]) -> Result<Vec<PackedItem>, PackError> {
    let fail = |at, kind| Err(PackError { at, kind });
    if bytes.len() > MAX_PACK_BYTES {
        return fail(MAX_PACK_BYTES, PackErrorKind::TooLong);
    }
    if bytes.get(..2) != Some(&MAGIC) {
        return fail(0, PackErrorKind::NotAPack);
    }
    let version = bytes.get(2).copied().unwrap_or_default();
    if version != VERSION {
        return fail(2, PackErrorKind::Version(version));
    }
    let body = bytes.len().saturating_sub(CHECKSUM_BYTES);
    if body < MAGIC.len() + 1 {
        return fail(bytes.len(), PackErrorKind::Truncated);
    }
    if crc32fast::hash(&bytes[..body]).to_le_bytes() != bytes[body..] {
        return fail(body, PackErrorKind::Checksum);
    }
    let mut reader = Reader { bytes: &bytes[..body], at: MAGIC.len() + 1 };
    let count = reader.count(MIN_ITEM_BYTES, MAX_ITEMS)?;
    let mut items = Vec::with_capacity(count.min(MAX_RESERVED_ITEMS));
    let (mut next, mut term, mut at_ms) = (Some(0u64), 0u64, 0u64);
    while items.len() < count {
        let start = reader.at;
        let out_of_range = PackError { at: start, kind: PackErrorKind::InvalidNumber };
        let gap = reader.number()?;
        let run_length = reader.count(MIN_ITEM_BYTES, MAX_ITEMS)?;
        if run_length == 0 || run_length > count - items.len() {
            return fail(start, PackErrorKind::InvalidCount);
        }
        term = term.wrapping_add(unzigzag(reader.number()?));
        let first = next.and_then(|next| next.checked_add(gap)).ok_or_else(|| out_of_range.clone())?;
        let last = first.checked_add(run_length as u64 - 1).ok_or(out_of_range)?;
        for number in first..=last {
            let (change, payload) = reader.item()?;
            at_ms = at_ms.wrapping_add(change);
            items.push(PackedItem { number, term, at_ms, payload });
        }
        next = last.checked_add(1);
    }
    match reader.at == body {
        true => Ok(items),
        false => fail(reader.at, PackErrorKind::TrailingBytes),
    }
}

/// Reads a pack up to its checksum.
struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn fail<T>(&self, at: usize, kind: PackErrorKind) -> Result<T, PackError> {
        Err(PackError { at, kind })
    }

    fn take(&mut self, count: usize) -> Result<&'a [u8], PackError> {
        let Some(taken) = self.at.checked_add(count).and_then(|end| self.bytes.get(self.at..end)) else {
            return self.fail(self.bytes.len(), PackErrorKind::Truncated);
        };
        self.at += count;
        Ok(taken)
    }

    /// Reads a varint of at most `bits` bits in its shortest form.
    fn wide_varint(&mut self, bits: u32) -> Result<u128, PackError> {
        let (start, mut number, mut shift) = (self.at, 0u128, 0);
        loop {
            let byte = self.take(1)?[0];
            number |= u128::from(byte & 0x7f) << shift;
            shift += 7;
            if byte & 0x80 == 0 {
                let longer = byte == 0 && shift > 7;
                return match longer || number >> bits > 0 {
                    true => self.fail(start, PackErrorKind::InvalidNumber),
                    false => Ok(number),
                };
            }
            if shift >= bits {
                return self.fail(start, PackErrorKind::InvalidNumber);
            }
        }
    }

    fn number(&mut self) -> Result<u64, PackError> {
        self.wide_varint(u64::BITS).map(|number| number as u64)
    }

    fn number32(&mut self) -> Result<u32, PackError> {
        self.wide_varint(u32::BITS).map(|number| number as u32)
    }

    /// Reads a count of at most `max_count` elements, each of which takes at least `min_size` bytes.
    fn count(&mut self, min_size: usize, max_count: usize) -> Result<usize, PackError> {
        let start = self.at;
        let count = self.number()?;
        let limit = ((self.bytes.len() - self.at) / min_size).min(max_count);
        usize::try_from(count)
            .ok()
            .filter(|count| *count <= limit)
            .map_or_else(|| self.fail(start, PackErrorKind::InvalidCount), Ok)
    }

    fn id(&mut self) -> Result<String, PackError> {
        let mut id = [0; 8];
        id.copy_from_slice(self.take(8)?);
        Ok(format!("{:016x}", u64::from_be_bytes(id)))
    }

    fn names(&mut self) -> Result<Vec<String>, PackError> {
        let count = self.count(MIN_NAME_BYTES, MAX_NAMES)?;
        let mut names = Vec::with_capacity(count);
        for _ in 0..count {
            let start = self.at;
            let length = self.count(1, usize::MAX)?;
            let name = std::str::from_utf8(self.take(length)?).ok();
            match name.filter(|name| name.len() <= MAX_NAME_BYTES) {
                Some(name) => names.push(name.to_string()),
                None => return self.fail(start, PackErrorKind::InvalidName),
            }
        }
        Ok(names)
    }

    fn json(&mut self) -> Result<Scope, PackError> {
        let start = self.at;
        let length = self.count(1, usize::MAX)?;
        if length > MAX_JSON_BYTES {
            return self.fail(
                start,
                PackErrorKind::InvalidScope(format!("{length} bytes, at most {MAX_JSON_BYTES} are allowed")),
            );
        }
        let text = self.take(length)?;
        serde_json::from_slice(text)
            .or_else(|error| self.fail(start, PackErrorKind::InvalidScope(error.to_string())))
    }

    /// Reads an item; returns the change of time and the payload.
    fn item(&mut self) -> Result<(u64, PackedPayload), PackError> {
        let start = self.at;
        let head = self.wide_varint(u64::BITS + 3)?;
        let payload = match head as u64 & 7 {
            OBJECT => PackedPayload::Purge(Scope::Object(self.id()?)),
            PART => PackedPayload::Purge(Scope::Part { object: self.id()?, part: self.number32()? }),
            GROUP => PackedPayload::Purge(Scope::Group(self.number32()?)),
            JSON => PackedPayload::Purge(self.json()?),
            FENCED => PackedPayload::Fenced(self.names()?),
            FREED => PackedPayload::Freed(self.names()?),
            kind => return self.fail(start, PackErrorKind::UnknownKind(kind)),
        };
        Ok((unzigzag((head >> 3) as u64), payload))
    }
}

/// Encodes a pack as base64, so that it can be part of a JSON line.
pub fn to_base64(bytes: &[u8]) -> String {
    BASE64_STANDARD_NO_PAD.encode(bytes)
}

/// Decodes the base64 text of a pack.
pub fn from_base64(text: &str) -> Result<Vec<u8>, PackError> {
    // Four characters encode three bytes. Nothing is allocated for a text that is too long.
    if text.len() / 4 > MAX_PACK_BYTES / 3 {
        return Err(PackError { at: text.len(), kind: PackErrorKind::TooLong });
    }
    BASE64_STANDARD_NO_PAD.decode(text).map_err(|error| {
        let at = match error {
            base64::DecodeError::InvalidByte(at, _) => at,
            base64::DecodeError::InvalidLastSymbol { offset, .. } => offset,
            _ => text.len(),
        };
        PackError { at, kind: PackErrorKind::InvalidBase64 }
    })
}
