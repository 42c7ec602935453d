//! Many purges in few bytes, exactly: what a member is told at once when it comes up. Keys and tenants are left out,
//! since they say nothing to a member.
//!
//! | bytes | what |
//! | --- | --- |
//! | `hp`, 1 | the form and its version |
//! | varint | how many items |
//! | runs | numbers left out before it, items, change of term (zigzag); then its items |
//! | 4 | CRC-32 of all before, little-endian |
//!
//! A run is of consecutive numbers and one term. An item is a varint of kind (3 bits) and change of time in milliseconds
//! (zigzag) with what it says: an object as 8 bytes, a part as 8 and a varint, a group as a varint, another scope as JSON
//! with its length, names of members with their lengths. Varints are LEB128, in the shortest form only.
use crate::scope::Scope;
use base64::Engine;
use base64::prelude::BASE64_STANDARD_NO_PAD;
use std::fmt;

/// Items of a pack: a day at 12 a second and what is fenced meanwhile. Read, one takes about a hundred bytes, however few it
/// is written in.
pub const MAX_ITEMS: usize = 1_100_000;
/// Bytes of a pack: so many items by object are 11 MB, and others may take three times as much.
pub const MAX_PACK_BYTES: usize = 32 << 20;
/// Bytes of a scope that is written as JSON: 16 tags of 64 bytes, or a pattern of 256 with every byte escaped by six.
const LONGEST_JSON: usize = 4 << 10;
/// Names of one item, and bytes of a name: 192 hubs and a feed for each branch are members.
pub const MAX_NAMES: usize = 4_096;
const LONGEST_NAME: usize = 256;
/// Items that room is made for before they are read.
const RESERVED: usize = 4_096;
const MAGIC: [u8; 2] = *b"hp";
const VERSION: u8 = 1;
const CHECKSUM: usize = 4;
/// Bytes that the shortest item takes: its kind and time, and a group or a count of names; and the shortest name.
const SHORTEST_ITEM: usize = 2;
const SHORTEST_NAME: usize = 1;

/// One item of the order of purges.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedItem {
    pub number: u64,
    pub term: u64,
    /// Unix milliseconds of the service.
    pub at_ms: u64,
    pub payload: PackedPayload,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PackedPayload {
    Purge(Scope),
    /// Nothing is taken from these members from then on.
    Fenced(Vec<String>),
    /// They have caught up.
    Freed(Vec<String>),
}

const OBJECT: u64 = 0;
const PART: u64 = 1;
const GROUP: u64 = 2;
const JSON: u64 = 3;
const FENCED: u64 = 4;
const FREED: u64 = 5;

/// What is wrong, and at which byte.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackError {
    pub at: usize,
    pub kind: PackErrorKind,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PackErrorKind {
    TooLong,
    InvalidBase64,
    NotAPack,
    Version(u8),
    Checksum,
    /// It ends before what it says it has.
    Truncated,
    /// A number that is out of range, or not in its shortest form.
    InvalidNumber,
    /// More items or names than the bytes that are left can hold.
    InvalidCount,
    UnknownKind(u64),
    InvalidName,
    InvalidScope(String),
    /// Bytes behind the last item.
    TrailingBytes,
}

impl fmt::Display for PackError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "pack, byte {}: ", self.at)?;
        match &self.kind {
            PackErrorKind::TooLong => write!(f, "more than {MAX_PACK_BYTES} bytes"),
            PackErrorKind::InvalidBase64 => write!(f, "no base64"),
            PackErrorKind::NotAPack => write!(f, "no pack of purges"),
            PackErrorKind::Version(version) => write!(f, "version {version} is not known, {VERSION} is"),
            PackErrorKind::Checksum => write!(f, "the checksum is another"),
            PackErrorKind::Truncated => write!(f, "ends too early"),
            PackErrorKind::InvalidNumber => write!(f, "a number is out of range or not in its shortest form"),
            PackErrorKind::InvalidCount => write!(f, "says that it has more than its bytes can hold"),
            PackErrorKind::UnknownKind(kind) => write!(f, "kind {kind} is not known"),
            PackErrorKind::InvalidName => write!(f, "a name is not UTF-8 of {LONGEST_NAME} bytes at most"),
            PackErrorKind::InvalidScope(why) => write!(f, "scope: {why}"),
            PackErrorKind::TrailingBytes => write!(f, "something follows the last item"),
        }
    }
}

impl std::error::Error for PackError {}

/// Items in the order of their numbers; of several with one number the first counts. What is read back is within the
/// bounds above: scopes have been checked, and whoever has more items than `MOST_ITEMS` makes several packs.
pub fn encode(items: &[PackedItem]) -> Vec<u8> {
    let mut sorted: Vec<&PackedItem> = items.iter().collect();
    sorted.sort_by_key(|item| item.number);
    sorted.dedup_by_key(|item| item.number);
    let mut bytes = Vec::with_capacity(16 + sorted.len() * 11);
    bytes.extend(MAGIC);
    bytes.push(VERSION);
    put(&mut bytes, sorted.len() as u64);
    // The next number that would need no gap, the term and the time of the item before.
    let (mut next, mut term, mut at_ms) = (0u64, 0u64, 0u64);
    for run in sorted.chunk_by(|a, b| a.number + 1 == b.number && a.term == b.term) {
        put(&mut bytes, run[0].number - next);
        put(&mut bytes, run.len() as u64);
        put(&mut bytes, zigzag(run[0].term.wrapping_sub(term)));
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

fn put_item(bytes: &mut Vec<u8>, item: &PackedItem, before_ms: u64) {
    let (kind, object) = match &item.payload {
        PackedPayload::Purge(Scope::Object(text)) => plain_id(text).map_or((JSON, 0), |id| (OBJECT, id)),
        PackedPayload::Purge(Scope::Part { object, .. }) => {
            plain_id(object).map_or((JSON, 0), |id| (PART, id))
        }
        PackedPayload::Purge(Scope::Group(_)) => (GROUP, 0),
        PackedPayload::Purge(_) => (JSON, 0),
        PackedPayload::Fenced(_) => (FENCED, 0),
        PackedPayload::Freed(_) => (FREED, 0),
    };
    let time = zigzag(item.at_ms.wrapping_sub(before_ms));
    put_wide(bytes, u128::from(time) << 3 | u128::from(kind));
    if matches!(kind, OBJECT | PART) {
        bytes.extend(object.to_be_bytes());
    }
    match &item.payload {
        PackedPayload::Purge(Scope::Part { part, .. }) if kind == PART => put(bytes, u64::from(*part)),
        PackedPayload::Purge(Scope::Group(group)) => put(bytes, u64::from(*group)),
        PackedPayload::Purge(scope) if kind == JSON => {
            put_text(bytes, &serde_json::to_vec(scope).unwrap_or_default())
        }
        PackedPayload::Purge(_) => {}
        PackedPayload::Fenced(names) | PackedPayload::Freed(names) => {
            put(bytes, names.len() as u64);
            names.iter().for_each(|name| put_text(bytes, name.as_bytes()));
        }
    }
}

/// The id that is written so, letter for letter.
fn plain_id(text: &str) -> Option<u64> {
    let plain = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(text, 16).ok().filter(|_| plain)
}

fn put_text(bytes: &mut Vec<u8>, text: &[u8]) {
    put(bytes, text.len() as u64);
    bytes.extend(text);
}

fn put(bytes: &mut Vec<u8>, number: u64) {
    put_wide(bytes, u128::from(number));
}

fn put_wide(bytes: &mut Vec<u8>, mut number: u128) {
    while number > 0x7f {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
}

/// Small for small changes up and down.
fn zigzag(change: u64) -> u64 {
    let change = change as i64;
    (change << 1 ^ change >> 63) as u64
}

fn unzigzag(number: u64) -> u64 {
    (number >> 1) ^ (number & 1).wrapping_neg()
}

/// Reads a pack back; nothing of one that is wrong somewhere.
pub fn decode(bytes: &[u8]) -> Result<Vec<PackedItem>, PackError> {
    let wrong = |at, kind| Err(PackError { at, kind });
    if bytes.len() > MAX_PACK_BYTES {
        return wrong(MAX_PACK_BYTES, PackErrorKind::TooLong);
    }
    if bytes.get(..2) != Some(&MAGIC) {
        return wrong(0, PackErrorKind::NotAPack);
    }
    let version = bytes.get(2).copied().unwrap_or_default();
    if version != VERSION {
        return wrong(2, PackErrorKind::Version(version));
    }
    let body = bytes.len().saturating_sub(CHECKSUM);
    if body < MAGIC.len() + 1 {
        return wrong(bytes.len(), PackErrorKind::Truncated);
    }
    if crc32fast::hash(&bytes[..body]).to_le_bytes() != bytes[body..] {
        return wrong(body, PackErrorKind::Checksum);
    }
    let mut reader = Reader { bytes: &bytes[..body], at: MAGIC.len() + 1 };
    let many = reader.count(SHORTEST_ITEM, MAX_ITEMS)?;
    let mut items = Vec::with_capacity(many.min(RESERVED));
    let (mut next, mut term, mut at_ms) = (Some(0u64), 0u64, 0u64);
    while items.len() < many {
        let begun = reader.at;
        let bad = PackError { at: begun, kind: PackErrorKind::InvalidNumber };
        let gap = reader.number()?;
        let run = reader.count(SHORTEST_ITEM, MAX_ITEMS)?;
        if run == 0 || run > many - items.len() {
            return wrong(begun, PackErrorKind::InvalidCount);
        }
        term = term.wrapping_add(unzigzag(reader.number()?));
        let first = next.and_then(|next| next.checked_add(gap)).ok_or_else(|| bad.clone())?;
        let last = first.checked_add(run as u64 - 1).ok_or(bad)?;
        for number in first..=last {
            let (change, payload) = reader.item()?;
            at_ms = at_ms.wrapping_add(change);
            items.push(PackedItem { number, term, at_ms, payload });
        }
        next = last.checked_add(1);
    }
    match reader.at == body {
        true => Ok(items),
        false => wrong(reader.at, PackErrorKind::TrailingBytes),
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn wrong<T>(&self, at: usize, kind: PackErrorKind) -> Result<T, PackError> {
        Err(PackError { at, kind })
    }

    fn take(&mut self, many: usize) -> Result<&'a [u8], PackError> {
        let Some(taken) = self.at.checked_add(many).and_then(|end| self.bytes.get(self.at..end)) else {
            return self.wrong(self.bytes.len(), PackErrorKind::Truncated);
        };
        self.at += many;
        Ok(taken)
    }

    /// A varint of so many bits at most, in its shortest form.
    fn wide(&mut self, bits: u32) -> Result<u128, PackError> {
        let (begun, mut number, mut shift) = (self.at, 0u128, 0);
        loop {
            let byte = self.take(1)?[0];
            number |= u128::from(byte & 0x7f) << shift;
            shift += 7;
            if byte & 0x80 == 0 {
                let longer = byte == 0 && shift > 7;
                return match longer || number >> bits > 0 {
                    true => self.wrong(begun, PackErrorKind::InvalidNumber),
                    false => Ok(number),
                };
            }
            if shift >= bits {
                return self.wrong(begun, PackErrorKind::InvalidNumber);
            }
        }
    }

    fn number(&mut self) -> Result<u64, PackError> {
        self.wide(u64::BITS).map(|number| number as u64)
    }

    fn short_number(&mut self) -> Result<u32, PackError> {
        self.wide(u32::BITS).map(|number| number as u32)
    }

    /// How many follow: so many at most, each of which takes so many bytes at least.
    fn count(&mut self, least: usize, most: usize) -> Result<usize, PackError> {
        let begun = self.at;
        let many = self.number()?;
        let room = ((self.bytes.len() - self.at) / least).min(most);
        usize::try_from(many)
            .ok()
            .filter(|many| *many <= room)
            .map_or_else(|| self.wrong(begun, PackErrorKind::InvalidCount), Ok)
    }

    fn id(&mut self) -> Result<String, PackError> {
        let mut id = [0; 8];
        id.copy_from_slice(self.take(8)?);
        Ok(format!("{:016x}", u64::from_be_bytes(id)))
    }

    fn names(&mut self) -> Result<Vec<String>, PackError> {
        let many = self.count(SHORTEST_NAME, MAX_NAMES)?;
        let mut names = Vec::with_capacity(many);
        for _ in 0..many {
            let begun = self.at;
            let length = self.count(1, usize::MAX)?;
            let name = std::str::from_utf8(self.take(length)?).ok();
            match name.filter(|name| name.len() <= LONGEST_NAME) {
                Some(name) => names.push(name.to_string()),
                None => return self.wrong(begun, PackErrorKind::InvalidName),
            }
        }
        Ok(names)
    }

    fn json(&mut self) -> Result<Scope, PackError> {
        let begun = self.at;
        let length = self.count(1, usize::MAX)?;
        if length > LONGEST_JSON {
            return self.wrong(
                begun,
                PackErrorKind::InvalidScope(format!("{length} bytes, and {LONGEST_JSON} at most")),
            );
        }
        let text = self.take(length)?;
        serde_json::from_slice(text)
            .or_else(|why| self.wrong(begun, PackErrorKind::InvalidScope(why.to_string())))
    }

    /// The change of time, and what is said.
    fn item(&mut self) -> Result<(u64, PackedPayload), PackError> {
        let begun = self.at;
        let head = self.wide(u64::BITS + 3)?;
        let payload = match head as u64 & 7 {
            OBJECT => PackedPayload::Purge(Scope::Object(self.id()?)),
            PART => PackedPayload::Purge(Scope::Part { object: self.id()?, part: self.short_number()? }),
            GROUP => PackedPayload::Purge(Scope::Group(self.short_number()?)),
            JSON => PackedPayload::Purge(self.json()?),
            FENCED => PackedPayload::Fenced(self.names()?),
            FREED => PackedPayload::Freed(self.names()?),
            kind => return self.wrong(begun, PackErrorKind::UnknownKind(kind)),
        };
        Ok((unzigzag((head >> 3) as u64), payload))
    }
}

/// As a text that can stand in a line of JSON: base64.
pub fn to_base64(bytes: &[u8]) -> String {
    BASE64_STANDARD_NO_PAD.encode(bytes)
}

pub fn from_base64(text: &str) -> Result<Vec<u8>, PackError> {
    // Four letters stand for three bytes; nothing is allocated for what is too long.
    if text.len() / 4 > MAX_PACK_BYTES / 3 {
        return Err(PackError { at: text.len(), kind: PackErrorKind::TooLong });
    }
    BASE64_STANDARD_NO_PAD.decode(text).map_err(|why| {
        let at = match why {
            base64::DecodeError::InvalidByte(at, _) => at,
            base64::DecodeError::InvalidLastSymbol { offset, .. } => offset,
            _ => text.len(),
        };
        PackError { at, kind: PackErrorKind::InvalidBase64 }
    })
}
