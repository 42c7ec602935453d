//! Messages between clients and the router.
use crate::Packet;
use crate::fields::{self, Fields, HexId};
use crate::resp::{self, DecodeError};
use bytes::Bytes;

/// Number of purge groups that the protocol defines.
const PURGE_GROUPS: u64 = 256;
/// One hour. A longer wait is taken for a malformed field: no client waits that long.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// One terabyte. A larger size is taken for a malformed field.
const MAX_KILOBYTES: f32 = 1e9;
/// Most fields of a download; the protocol defines fewer than a dozen.
const MAX_FIELDS: usize = 64;
/// Longest text field, in bytes, that is forwarded to nodes.
const MAX_PLAIN_BYTES: usize = 64;

/// A download as its client requests it.
#[derive(Clone, Debug, PartialEq)]
pub struct DownloadRequest {
    /// Chosen by the client; sent on to nodes with each pull.
    pub id: HexId,
    /// Name of the content type.
    pub content: Bytes,
    pub object: HexId,
    /// Number of the requested part of the object.
    pub part: u32,
    /// Purge group of the object.
    pub group: u32,
    /// How long the client waits for an answer.
    pub timeout_ms: u64,
    /// The client has sent this download before.
    pub repeat: bool,
    /// Size of the requested part in kilobytes; 0 where the client does not tell it.
    pub kilobytes: f32,
    /// Identifies a repeat of a deduped download; forwarded to nodes unchanged.
    pub dedup_key: Option<Bytes>,
    /// Digest of the copy that the client already holds.
    pub known_digest: Option<Bytes>,
    pub body: Bytes,
}

/// A message from a client.
#[derive(Clone, Debug, PartialEq)]
pub enum FromClient {
    Download {
        tag: u64,
        request: DownloadRequest,
    },
    /// The client no longer wants the download with this tag.
    Cancel {
        tag: u64,
    },
    /// Asks whether the router is ready.
    Status {
        tag: u64,
    },
    /// The message has a tag, so that it can be answered, but can't be served.
    Invalid {
        tag: u64,
        reason: &'static str,
    },
    /// A download of which the decoder has kept little more than the tag.
    Discarded {
        tag: u64,
    },
}

impl FromClient {
    /// The tag under which this message expects an answer.
    pub fn answer_tag(&self) -> Option<u64> {
        match self {
            Self::Download { tag, .. }
            | Self::Status { tag }
            | Self::Invalid { tag, .. }
            | Self::Discarded { tag } => Some(*tag),
            Self::Cancel { .. } => None,
        }
    }
}

/// An answer to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ToClient {
    Fulfilled {
        body: Bytes,
    },
    /// The copy that the client holds is current.
    NotModified,
    Throttled {
        retry_after_ms: u64,
    },
    Abandoned,
    Ready,
    NotReady,
}

/// Decodes a message from a client. An error means that no tag was found, so that it can't even be answered.
pub fn decode(items: Vec<Bytes>) -> Result<FromClient, DecodeError> {
    let tag = items
        .get(1)
        .and_then(|tag| fields::parse_integer(tag))
        .filter(|tag| *tag > 0)
        .ok_or(DecodeError::BadTag)?;
    Ok(match items[0].as_ref() {
        b"ASK" => match parse_download(&items) {
            Ok(request) => FromClient::Download { tag, request },
            Err(reason) => FromClient::Invalid { tag, reason },
        },
        b"NEVERMIND" => FromClient::Cancel { tag },
        b"STATUS" => FromClient::Status { tag },
        _ => FromClient::Invalid { tag, reason: "unknown command" },
    })
}

/// Decodes a message whose long items the decoder has dropped.
pub fn decode_discarded(items: Vec<Bytes>) -> Result<FromClient, DecodeError> {
    let is_download = items.first().is_some_and(|word| word.as_ref() == b"ASK");
    match decode(items)? {
        FromClient::Download { tag, .. } | FromClient::Invalid { tag, .. } if is_download => {
            Ok(FromClient::Discarded { tag })
        }
        other => Ok(other),
    }
}

/// Validates each field strictly: a cache closes a connection on a field that it can't parse, which would
/// fail the downloads of other clients on that connection.
fn parse_download(items: &[Bytes]) -> Result<DownloadRequest, &'static str> {
    let [_, _, content, list, body] = items else { return Err("ASK does not have five items") };
    let (mut id, mut object, mut timeout_ms) = (None, None, None);
    let (mut part, mut group, mut repeat) = (Some(0), Some(0), Some(false));
    let (mut known_digest, mut dedup_key, mut kilobytes) = (Some(None), Some(None), Some(0.0));
    for (number, (name, value)) in fields::parse_pairs(list).enumerate() {
        if number >= MAX_FIELDS {
            return Err("too many fields");
        }
        match name {
            b"i" => id = HexId::parse(value),
            b"o" => object = HexId::parse(value),
            b"d" => timeout_ms = fields::parse_integer(value).filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms)),
            b"chunk" => part = fields::parse_integer(value).and_then(|part| u32::try_from(part).ok()),
            b"tag" => group = fields::parse_integer(value).filter(|group| *group < PURGE_GROUPS),
            b"r" => repeat = matches!(value, b"0" | b"1").then_some(value == b"1"),
            b"known" => known_digest = parse_plain(value),
            b"k" => dedup_key = parse_plain(value),
            b"m" => kilobytes = fields::parse_number(value).filter(|kb| (0.0..=MAX_KILOBYTES).contains(kb)),
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

/// Returns `Some(None)` for an empty field and `None` for one that can't stand in a field list. The text is
/// copied: a slice would keep the whole list in memory.
fn parse_plain(text: &[u8]) -> Option<Option<Bytes>> {
    let plain = text.len() <= MAX_PLAIN_BYTES && text.iter().all(u8::is_ascii_alphanumeric);
    plain.then(|| Some(Bytes::copy_from_slice(text)).filter(|text| !text.is_empty()))
}

/// Encodes an answer under the client's tag.
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

/// Encodes a download as a client sends it.
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

/// Encodes a client's question whether the router is ready.
pub fn encode_status(tag: u64) -> Packet {
    let tag = tag.to_string();
    Packet { head: resp::encode_head(&[b"STATUS", tag.as_bytes()], 0), body: Bytes::new() }
}

/// Decodes an answer and its tag, as a client does. `None` if it can't be decoded.
pub fn decode_answer(items: &[Bytes]) -> Option<(u64, ToClient)> {
    let [tag, word, list, body] = items else { return None };
    let field = |name: &[u8]| fields::parse_list(list).find(|(n, _)| *n == name).map(|(_, value)| value);
    let answer = match word.as_ref() {
        b"ACK" if field(b"valid").is_some_and(|valid| valid.as_ref() == b"1") => ToClient::NotModified,
        b"ACK" => ToClient::Fulfilled { body: body.clone() },
        b"NAK" => {
            let retry_after_ms = field(b"w").and_then(|wait| fields::parse_integer(&wait)).unwrap_or(0);
            ToClient::Throttled { retry_after_ms }
        }
        b"GREEN" => ToClient::Ready,
        b"RED" => ToClient::NotReady,
        _ => ToClient::Abandoned,
    };
    Some((fields::parse_integer(tag)?, answer))
}
