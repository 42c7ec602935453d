//! What clients send and get.
use super::Packet;
use super::fields::{self, Fields, Hex};
use super::resp::{self, Fault};
use bytes::Bytes;

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
    let tag = items.get(1).and_then(fields::number::<u64>).filter(|tag| *tag > 0).ok_or(Fault::Tag)?;
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

fn read_wish(items: &[Bytes]) -> Result<Wish, &'static str> {
    let content = items.get(2).cloned().ok_or("no content type")?;
    let none = Bytes::new();
    let list = items.get(3).unwrap_or(&none);
    let (mut id, mut object, mut waits_ms) = (None, None, None);
    let (mut part, mut group, mut repeat, mut held) = (Some(0), Some(0), false, None);
    for (name, value) in fields::read(list) {
        match name {
            b"i" => id = Hex::read(&value),
            b"o" => object = Hex::read(&value),
            b"d" => waits_ms = fields::number(&value),
            b"chunk" => part = fields::number(&value),
            b"tag" => group = fields::number(&value),
            b"r" => repeat = value.as_ref() != b"0",
            b"known" => held = Some(value).filter(|v| !v.is_empty()),
            _ => {}
        }
    }
    Ok(Wish {
        id: id.ok_or("field i is missing or malformed")?,
        content,
        object: object.ok_or("field o is missing or malformed")?,
        part: part.ok_or("field chunk is malformed")?,
        group: group.ok_or("field tag is malformed")?,
        waits_ms: waits_ms.ok_or("field d is missing or malformed")?,
        repeat,
        held,
        body: items.get(4).cloned().unwrap_or_default(),
    })
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
