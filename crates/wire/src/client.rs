//! What clients send and get.
use crate::Packet;
use crate::fields::{self, Fields, Hex};
use crate::resp::{self, Fault};
use bytes::Bytes;

/// The protocol's own bounds.
const GROUPS: u64 = 256;
/// Longer waits are no figures: nobody waits an hour for an object.
const LONGEST_WAIT_MS: u64 = 3_600_000;
/// A terabyte: whatever is told beyond is no size.
const LARGEST_KB: f32 = 1e9;
const LONGEST_PLAIN: usize = 64;

/// A download as its client words it.
#[derive(Clone, Debug, PartialEq)]
pub struct Wish {
    pub id: Hex,
    pub content: Bytes,
    pub object: Hex,
    pub part: u32,
    pub group: u32,
    pub waits_ms: u64,
    pub repeat: bool,
    /// Kilobytes of the part that is asked for, where clients tell it; else zero.
    pub kilobytes: f32,
    /// By which a repeat of a deduped download is known; its nodes have to get it as it is.
    pub dedup_key: Option<Bytes>,
    /// The tag of a copy that the client holds.
    pub held: Option<Bytes>,
    pub body: Bytes,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FromClient {
    Wish {
        tag: u64,
        wish: Wish,
    },
    NeverMind {
        tag: u64,
    },
    Status {
        tag: u64,
    },
    /// It has a tag, and so can be answered, but nothing else of use.
    Unusable {
        tag: u64,
        why: &'static str,
    },
}

impl FromClient {
    /// The tag under which this message wants an answer.
    pub fn answered_under(&self) -> Option<u64> {
        match self {
            Self::Wish { tag, .. } | Self::Status { tag } | Self::Unusable { tag, .. } => Some(*tag),
            Self::NeverMind { .. } => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum ToClient {
    Fulfilled {
        body: Bytes,
    },
    /// The copy that the client holds is the one.
    StillGood,
    Throttled {
        retry_after_ms: u64,
    },
    Abandoned,
    Ready,
    NotReady,
}

pub fn read(items: Vec<Bytes>) -> Result<FromClient, Fault> {
    let tag = items.get(1).and_then(fields::whole).filter(|tag| *tag > 0).ok_or(Fault::Tag)?;
    Ok(match items[0].as_ref() {
        b"ASK" => match read_wish(&items) {
            Ok(wish) => FromClient::Wish { tag, wish },
            Err(why) => FromClient::Unusable { tag, why },
        },
        b"NEVERMIND" => FromClient::NeverMind { tag },
        b"STATUS" => FromClient::Status { tag },
        _ => FromClient::Unusable { tag, why: "unknown word" },
    })
}

/// Checks each field by the form that the protocol gives it: a cache closes on what it can't read, with all that
/// is open on that connection, and one client must not cost others theirs.
fn read_wish(items: &[Bytes]) -> Result<Wish, &'static str> {
    let [_, _, content, list, body] = items else { return Err("not of five items") };
    let (mut id, mut object, mut waits_ms) = (None, None, None);
    let (mut part, mut group, mut repeat) = (Some(0), Some(0), Some(false));
    let (mut held, mut dedup_key, mut kilobytes) = (Some(None), Some(None), Some(0.0));
    for (name, value) in fields::read(list) {
        match name {
            b"i" => id = Hex::read(&value),
            b"o" => object = Hex::read(&value),
            b"d" => waits_ms = fields::whole(&value).filter(|ms| (1..=LONGEST_WAIT_MS).contains(ms)),
            b"chunk" => part = fields::whole(&value).and_then(|part| u32::try_from(part).ok()),
            b"tag" => group = fields::whole(&value).filter(|group| *group < GROUPS),
            b"r" => repeat = matches!(value.as_ref(), b"0" | b"1").then_some(value.as_ref() == b"1"),
            b"known" => held = read_plain(value),
            b"k" => dedup_key = read_plain(value),
            b"m" => kilobytes = fields::number(&value).filter(|kb| (0.0..=LARGEST_KB).contains(kb)),
            _ => {}
        }
    }
    Ok(Wish {
        id: id.ok_or("field i is missing or malformed")?,
        content: content.clone(),
        object: object.ok_or("field o is missing or malformed")?,
        part: part.ok_or("field chunk is malformed")?,
        group: group.ok_or("field tag is malformed")? as u32,
        waits_ms: waits_ms.ok_or("field d is missing or malformed")?,
        repeat: repeat.ok_or("field r is malformed")?,
        kilobytes: kilobytes.ok_or("field m is malformed")?,
        dedup_key: dedup_key.ok_or("field k is malformed")?,
        held: held.ok_or("field known is malformed")?,
        body: body.clone(),
    })
}

/// An empty one is none; what can't stand in a list of fields is malformed.
fn read_plain(text: Bytes) -> Option<Option<Bytes>> {
    let plain = text.iter().all(u8::is_ascii_alphanumeric) && text.len() <= LONGEST_PLAIN;
    plain.then(|| Some(text).filter(|text| !text.is_empty()))
}

pub fn write(tag: u64, answer: &ToClient) -> Packet {
    let (word, fields, body) = match answer {
        ToClient::Fulfilled { body } => ("ACK", Fields::default(), body.clone()),
        ToClient::StillGood => ("ACK", Fields::default().with("valid", 1), Bytes::new()),
        ToClient::Throttled { retry_after_ms: 0 } => ("NAK", Fields::default(), Bytes::new()),
        ToClient::Throttled { retry_after_ms } => {
            ("NAK", Fields::default().with("w", retry_after_ms), Bytes::new())
        }
        ToClient::Abandoned => ("FAIL", Fields::default(), Bytes::new()),
        ToClient::Ready => ("GREEN", Fields::default(), Bytes::new()),
        ToClient::NotReady => ("RED", Fields::default(), Bytes::new()),
    };
    let (tag, fields) = (tag.to_string(), fields.or(""));
    let items = [tag.as_bytes(), word.as_bytes(), fields.as_bytes()];
    Packet { head: resp::head(&items, body.len()), body }
}

/// A download as a client sends it.
pub fn write_wish(tag: u64, wish: &Wish) -> Packet {
    let held = wish.held.as_ref().and_then(|held| std::str::from_utf8(held).ok());
    let fields = Fields::default()
        .with("i", wish.id.as_str())
        .with("d", wish.waits_ms)
        .with_some("r", wish.repeat.then_some(1))
        .with("o", wish.object.as_str())
        .with("chunk", wish.part)
        .with("tag", wish.group)
        .with_some("known", held)
        .or("");
    let tag = tag.to_string();
    let items = [b"ASK", tag.as_bytes(), &wish.content, fields.as_bytes()];
    Packet { head: resp::head(&items, wish.body.len()), body: wish.body.clone() }
}

/// A question whether the router is ready.
pub fn write_status(tag: u64) -> Packet {
    let tag = tag.to_string();
    Packet { head: resp::head(&[b"STATUS", tag.as_bytes()], 0), body: Bytes::new() }
}

/// An answer as a client reads it, with the tag that it is for. None: it can't be read.
pub fn read_answer(items: &[Bytes]) -> Option<(u64, ToClient)> {
    let [tag, word, list, body] = items else { return None };
    let field = |name: &[u8]| fields::read(list).find(|(n, _)| *n == name).map(|(_, value)| value);
    let answer = match word.as_ref() {
        b"ACK" if field(b"valid").is_some_and(|valid| valid.as_ref() == b"1") => ToClient::StillGood,
        b"ACK" => ToClient::Fulfilled { body: body.clone() },
        b"NAK" => {
            let retry_after_ms = field(b"w").as_ref().and_then(fields::whole).unwrap_or(0);
            ToClient::Throttled { retry_after_ms }
        }
        b"GREEN" => ToClient::Ready,
        b"RED" => ToClient::NotReady,
        _ => ToClient::Abandoned,
    };
    Some((fields::whole(tag)?, answer))
}
