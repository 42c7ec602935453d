//! What caches, parents and the origin are sent and answer.
use super::Packet;
use super::fields::{self, Fields, Hex};
use super::resp;
use bytes::Bytes;
use harestage::state::Remark;

/// A pull as it goes on the wire.
#[derive(Clone, Debug, PartialEq)]
pub struct Request<'a> {
    pub id: Hex,
    pub content: &'a str,
    pub object: Hex,
    pub part: u32,
    pub waits_ms: u64,
    pub source: Option<&'a str>,
    pub rank: u8,
    /// None: the fresh time of the content type.
    pub oldest_ms: Option<u64>,
    pub join: bool,
    pub only_held: bool,
    pub no_copy: bool,
    pub renew: bool,
    pub held: Option<&'a str>,
    pub body: Bytes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Good,
    StillGood,
    Lacks,
    Full,
    Failed,
    TooLate,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub id: Hex,
    pub word: Word,
    pub remark: Remark,
    /// Milliseconds waited for the source.
    pub first_ms: f64,
    pub body: Bytes,
}

pub fn write(request: &Request) -> Packet {
    let switches = [
        (request.join, "share"),
        (request.only_held, "peek"),
        (request.no_copy, "pass"),
        (request.renew, "swr"),
    ];
    let hints: Vec<&str> = switches.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
    let fields = Fields::default()
        .with("kind", request.content)
        .with("obj", request.object.as_str())
        .with("seg", request.part)
        .with("ms", request.waits_ms)
        .with_some("parent", request.source)
        .with_some("shelf", Some(request.rank).filter(|rank| *rank > 0))
        .with_some("accept", request.oldest_ms)
        .with_some("hints", Some(hints.join("+")).filter(|h| !h.is_empty()))
        .with_some("got", request.held)
        .or("-");
    let items = [b"serve", request.id.as_str().as_bytes(), fields.as_bytes()];
    Packet { head: resp::head(&items, request.body.len()), body: request.body.clone() }
}

pub fn write_cancel(id: Hex) -> Packet {
    Packet {
        head: resp::head(&[b"cancel"], id.as_str().len()),
        body: Bytes::copy_from_slice(id.as_str().as_bytes()),
    }
}

/// None: the answer can't be read.
pub fn read(items: &[Bytes]) -> Option<Answer> {
    let [id, word, list, body] = items else { return None };
    let id = Hex::read(id)?;
    let word = match word.as_ref() {
        b"ACK" => Word::Good,
        b"NOMOD" => Word::StillGood,
        b"NOENT" => Word::Lacks,
        b"AGAIN" => Word::Full,
        b"EIO" => Word::Failed,
        b"STALE" => Word::TooLate,
        _ => return None,
    };
    let (mut remark, mut first_ms) = (Remark::Nothing, 0.0);
    for (name, value) in fields::read(list) {
        match name {
            b"res" => remark = read_remark(&value),
            b"first" => first_ms = fields::number(&value).filter(|ms: &f64| ms.is_finite()).unwrap_or(0.0),
            _ => {}
        }
    }
    Some(Answer { id, word, remark, first_ms, body: body.clone() })
}

fn read_remark(word: &[u8]) -> Remark {
    match word {
        b"HIT" => Remark::Hit,
        b"MISS" => Remark::Filled,
        b"MISS_ORIGIN" => Remark::FromOrigin,
        b"COLLAPSED" => Remark::Joined,
        b"STALE" => Remark::Aged,
        b"UP_BUSY" => Remark::SourceRefused,
        b"UP_DOWN" => Remark::SourceLost,
        b"UP_MISS" => Remark::SourceLacks,
        b"NO_FILL" => Remark::NoPlace,
        b"ORIGIN_ERR" => Remark::OriginFailed,
        _ => Remark::Nothing,
    }
}
