//! What clients send and get.
use crate::Packet;
use crate::fields::{self, Fields, HexId};
use crate::resp::{self, DecodeError};
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
pub struct DownloadRequest {
    pub id: HexId,
    pub content: Bytes,
    pub object: HexId,
    pub part: u32,
    pub group: u32,
    pub timeout_ms: u64,
    pub repeat: bool,
    /// Kilobytes of the part that is asked for, where clients tell it; else zero.
    pub kilobytes: f32,
    /// By which a repeat of a deduped download is known; its nodes have to get it as it is.
    pub dedup_key: Option<Bytes>,
    /// The tag of a copy that the client holds.
    pub known_digest: Option<Bytes>,
    pub body: Bytes,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FromClient {
    Download {
        tag: u64,
        request: DownloadRequest,
    },
    Cancel {
        tag: u64,
    },
    Status {
        tag: u64,
    },
    /// It has a tag, and so can be answered, but nothing else of use.
    Invalid {
        tag: u64,
        reason: &'static str,
    },
}

impl FromClient {
    /// The tag under which this message wants an answer.
    pub fn answer_tag(&self) -> Option<u64> {
        match self {
            Self::Download { tag, .. } | Self::Status { tag } | Self::Invalid { tag, .. } => Some(*tag),
            Self::Cancel { .. } => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum ToClient {
    Fulfilled {
        body: Bytes,
    },
    /// The copy that the client holds is the one.
    NotModified,
    Throttled {
        retry_after_ms: u64,
    },
    Abandoned,
    Ready,
    NotReady,
}

pub fn decode(items: Vec<Bytes>) -> Result<FromClient, DecodeError> {
    let tag =
        items.get(1).and_then(fields::parse_integer).filter(|tag| *tag > 0).ok_or(DecodeError::BadTag)?;
    Ok(match items[0].as_ref() {
        b"ASK" => match parse_download(&items) {
            Ok(request) => FromClient::Download { tag, request },
            Err(reason) => FromClient::Invalid { tag, reason },
        },
        b"NEVERMIND" => FromClient::Cancel { tag },
        b"STATUS" => FromClient::Status { tag },
        _ => FromClient::Invalid { tag, reason: "unknown word" },
    })
}

/// Checks each field by the form that the protocol gives it: a cache closes on what it can't read, with all that
/// is open on that connection, and one client must not cost others theirs.
fn parse_download(items: &[Bytes]) -> Result<DownloadRequest, &'static str> {
    let [_, _, content, list, body] = items else { return Err("not of five items") };
    let (mut id, mut object, mut timeout_ms) = (None, None, None);
    let (mut part, mut group, mut repeat) = (Some(0), Some(0), Some(false));
    let (mut known_digest, mut dedup_key, mut kilobytes) = (Some(None), Some(None), Some(0.0));
    for (name, value) in fields::parse_list(list) {
        match name {
            b"i" => id = HexId::parse(&value),
            b"o" => object = HexId::parse(&value),
            b"d" => {
                timeout_ms = fields::parse_integer(&value).filter(|ms| (1..=LONGEST_WAIT_MS).contains(ms))
            }
            b"chunk" => part = fields::parse_integer(&value).and_then(|part| u32::try_from(part).ok()),
            b"tag" => group = fields::parse_integer(&value).filter(|group| *group < GROUPS),
            b"r" => repeat = matches!(value.as_ref(), b"0" | b"1").then_some(value.as_ref() == b"1"),
            b"known" => known_digest = read_plain(value),
            b"k" => dedup_key = read_plain(value),
            b"m" => kilobytes = fields::parse_number(&value).filter(|kb| (0.0..=LARGEST_KB).contains(kb)),
            _ => {}
        }
    }
    Ok(DownloadRequest {
        id: id.ok_or("field i is missing or malformed")?,
        content: content.clone(),
        object: object.ok_or("field o is missing or malformed")?,
        part: part.ok_or("field chunk is malformed")?,
        group: group.ok_or("field tag is malformed")? as u32,
        timeout_ms: timeout_ms.ok_or("field d is missing or malformed")?,
        repeat: repeat.ok_or("field r is malformed")?,
        kilobytes: kilobytes.ok_or("field m is malformed")?,
        dedup_key: dedup_key.ok_or("field k is malformed")?,
        known_digest: known_digest.ok_or("field known is malformed")?,
        body: body.clone(),
    })
}

/// An empty one is none; what can't stand in a list of fields is malformed.
fn read_plain(text: Bytes) -> Option<Option<Bytes>> {
    let plain = text.iter().all(u8::is_ascii_alphanumeric) && text.len() <= LONGEST_PLAIN;
    plain.then(|| Some(text).filter(|text| !text.is_empty()))
}

pub fn encode_answer(tag: u64, answer: &ToClient) -> Packet {
    let (word, fields, body) = match answer {
        ToClient::Fulfilled { body } => ("ACK", Fields::default(), body.clone()),
        ToClient::NotModified => ("ACK", Fields::default().with("valid", 1), Bytes::new()),
        ToClient::Throttled { retry_after_ms: 0 } => ("NAK", Fields::default(), Bytes::new()),
        ToClient::Throttled { retry_after_ms } => {
            ("NAK", Fields::default().with("w", retry_after_ms), Bytes::new())
        }
        ToClient::Abandoned => ("FAIL", Fields::default(), Bytes::new()),
        ToClient::Ready => ("GREEN", Fields::default(), Bytes::new()),
        ToClient::NotReady => ("RED", Fields::default(), Bytes::new()),
    };
    let (tag, fields) = (tag.to_string(), fields.or_if_empty(""));
    let items = [tag.as_bytes(), word.as_bytes(), fields.as_bytes()];
    Packet { head: resp::encode_head(&items, body.len()), body }
}

/// A download as a client sends it.
pub fn encode_download(tag: u64, request: &DownloadRequest) -> Packet {
    let known_digest =
        request.known_digest.as_ref().and_then(|known_digest| std::str::from_utf8(known_digest).ok());
    let fields = Fields::default()
        .with("i", request.id.as_str())
        .with("d", request.timeout_ms)
        .with_some("r", request.repeat.then_some(1))
        .with("o", request.object.as_str())
        .with("chunk", request.part)
        .with("tag", request.group)
        .with_some("known", known_digest)
        .or_if_empty("");
    let tag = tag.to_string();
    let items = [b"ASK", tag.as_bytes(), &request.content, fields.as_bytes()];
    Packet { head: resp::encode_head(&items, request.body.len()), body: request.body.clone() }
}

/// A question whether the router is ready.
pub fn encode_status(tag: u64) -> Packet {
    let tag = tag.to_string();
    Packet { head: resp::encode_head(&[b"STATUS", tag.as_bytes()], 0), body: Bytes::new() }
}

/// An answer as a client reads it, with the tag that it is for. None: it can't be read.
pub fn decode_answer(items: &[Bytes]) -> Option<(u64, ToClient)> {
    let [tag, word, list, body] = items else { return None };
    let field = |name: &[u8]| fields::parse_list(list).find(|(n, _)| *n == name).map(|(_, value)| value);
    let answer = match word.as_ref() {
        b"ACK" if field(b"valid").is_some_and(|valid| valid.as_ref() == b"1") => ToClient::NotModified,
        b"ACK" => ToClient::Fulfilled { body: body.clone() },
        b"NAK" => {
            let retry_after_ms = field(b"w").as_ref().and_then(fields::parse_integer).unwrap_or(0);
            ToClient::Throttled { retry_after_ms }
        }
        b"GREEN" => ToClient::Ready,
        b"RED" => ToClient::NotReady,
        _ => ToClient::Abandoned,
    };
    Some((fields::parse_integer(tag)?, answer))
}
