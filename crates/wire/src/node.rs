//! Messages between the router or a hub and its nodes: caches, parents, the origin and other hubs.
use crate::Packet;
use crate::fields::{self, Fields, HexId};
use crate::peer::{self, AuditMark, CycleProbe, HubRoute};
use crate::resp;
use bytes::Bytes;
use harestage::state::CacheStatus;

/// A pull as it is sent to a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Request<'a> {
    /// The answer and a cancel carry the same id.
    pub id: HexId,
    /// Name of the content type.
    pub content: &'a str,
    pub object: HexId,
    pub part: u32,
    /// How long the puller waits for the answer.
    pub timeout_ms: u64,
    /// The node from which a missing copy is filled. `None`: a missing copy is not filled.
    pub source: Option<&'a str>,
    /// Eviction rank of the copy in the node's cache: copies of a lower rank are evicted first.
    pub rank: u8,
    /// Maximum age of an acceptable copy. `None`: the freshness time of the content type.
    pub max_age_ms: Option<u64>,
    /// May join a fill of the same object that is already running.
    pub join: bool,
    /// Answers from the cache only, without a fill.
    pub only_if_cached: bool,
    /// A filled copy is not kept.
    pub no_store: bool,
    /// May answer with a stale copy while the node fetches a new one.
    pub stale_while_revalidate: bool,
    /// Identifies a repeat of a deduped download at the node.
    pub dedup_key: Option<&'a str>,
    /// Digest of the copy that the client holds.
    pub known_digest: Option<&'a str>,
    pub body: Bytes,
    /// Sent between our own hubs only; `None` for a node of the platform.
    pub route: Option<&'a HubRoute>,
    /// Sent to our own hubs only; `None` for a node of the platform.
    pub mark: Option<&'a AuditMark>,
}

/// Result that a node reports for a pull.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStatus {
    /// The body is the object.
    Fulfilled,
    /// The copy that the client holds is current.
    NotModified,
    /// The node lacks the object, and may not or can't fill it.
    NotFound,
    /// The node refuses further pulls for now.
    Busy,
    Failed,
    /// The time was over before the node began.
    TooLate,
}

/// An answer as the puller decodes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub id: HexId,
    pub status: AnswerStatus,
    /// What the node says about how it found the object.
    pub cache_status: CacheStatus,
    /// Time in milliseconds that the node waited for the first byte from its source.
    pub first_byte_ms: f64,
    pub body: Bytes,
}

/// Encodes a pull.
pub fn encode_request(request: &Request) -> Packet {
    let flags = [
        (request.join, "share"),
        (request.only_if_cached, "peek"),
        (request.no_store, "pass"),
        (request.stale_while_revalidate, "swr"),
    ];
    let hints: Vec<&str> = flags.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
    let fields = Fields::default()
        .with("kind", request.content)
        .with("obj", request.object.as_str())
        .with("seg", request.part)
        .with("ms", request.timeout_ms)
        .with_some("parent", request.source)
        .with_some("shelf", Some(request.rank).filter(|rank| *rank > 0))
        .with_some("accept", request.max_age_ms)
        .with_some("hints", Some(hints.join("+")).filter(|h| !h.is_empty()))
        .with_some("token", request.dedup_key)
        .with_some("got", request.known_digest)
        .with_some("via", request.route.map(|route| peer::encode_path(&route.path)))
        .with_some("ver", request.route.map(|route| route.shape_version))
        .with_some("hand", request.route.filter(|route| route.hand_over).map(|_| 1))
        .with_some("by", request.mark.map(|mark| &mark.by))
        .with_some("for", request.mark.map(|mark| &mark.place))
        .with_some("goes", request.mark.map(|mark| &mark.stamp))
        .or_if_empty("-");
    let items = [b"serve", request.id.as_str().as_bytes(), fields.as_bytes()];
    Packet { head: resp::encode_head(&items, request.body.len()), body: request.body.clone() }
}

/// Encodes the cancel of a pull.
pub fn encode_cancel(id: HexId) -> Packet {
    Packet {
        head: resp::encode_head(&[b"cancel"], id.as_str().len()),
        body: Bytes::copy_from_slice(id.as_str().as_bytes()),
    }
}

/// Decodes an answer. `None` if it is malformed.
pub fn decode_answer(items: &[Bytes]) -> Option<Answer> {
    let [id, word, list, body] = items else { return None };
    let id = HexId::parse(id)?;
    let status = match word.as_ref() {
        b"ACK" => AnswerStatus::Fulfilled,
        b"NOMOD" => AnswerStatus::NotModified,
        b"NOENT" => AnswerStatus::NotFound,
        b"AGAIN" => AnswerStatus::Busy,
        b"EIO" => AnswerStatus::Failed,
        b"STALE" => AnswerStatus::TooLate,
        _ => return None,
    };
    let (mut cache_status, mut first_byte_ms) = (CacheStatus::Unknown, 0.0);
    for (name, value) in fields::parse_list(list) {
        match name {
            b"res" => cache_status = decode_cache_status(&value),
            b"first" => {
                first_byte_ms = fields::parse_number(&value).filter(|ms: &f64| ms.is_finite()).unwrap_or(0.0)
            }
            _ => {}
        }
    }
    Some(Answer { id, status, cache_status, first_byte_ms, body: body.clone() })
}

fn decode_cache_status(word: &[u8]) -> CacheStatus {
    match word {
        b"HIT" => CacheStatus::Hit,
        b"MISS" => CacheStatus::Filled,
        b"MISS_ORIGIN" => CacheStatus::FromOrigin,
        b"COLLAPSED" => CacheStatus::Joined,
        b"STALE" => CacheStatus::Stale,
        b"UP_BUSY" => CacheStatus::SourceRefused,
        b"UP_DOWN" => CacheStatus::SourceLost,
        b"UP_MISS" => CacheStatus::SourceLacks,
        b"NO_FILL" => CacheStatus::NoFillSlot,
        b"ORIGIN_ERR" => CacheStatus::OriginFailed,
        _ => CacheStatus::Unknown,
    }
}

/// Longest name of a content type or node, and longest tag, that a node accepts, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Number of values of the `shelf` field.
const RANKS: u64 = 4;

/// A pull as the node decodes it; see [`Request`] for fields that are not described here.
#[derive(Clone, Debug, PartialEq)]
pub struct IncomingRequest {
    pub id: HexId,
    pub content: Bytes,
    pub object: HexId,
    pub part: u32,
    pub timeout_ms: u64,
    /// `None`: a missing copy is not filled.
    pub source: Option<Bytes>,
    pub rank: u8,
    /// `None`: the freshness time of the content type.
    pub max_age_ms: Option<u64>,
    pub join: bool,
    pub only_if_cached: bool,
    pub no_store: bool,
    pub stale_while_revalidate: bool,
    pub known_digest: Option<Bytes>,
    pub body: Bytes,
    /// `None`: the pull does not come from one of our hubs.
    pub route: Option<HubRoute>,
    /// `None`: the puller records no audit data.
    pub mark: Option<AuditMark>,
}

/// Any message to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum ToNode {
    Serve(Box<IncomingRequest>),
    Cancel(HexId),
    /// Asks whether the node is healthy; the answer carries the same tag.
    Health(Bytes),
    /// Asks for the load report; the answer carries the same tag.
    Gauges(Bytes),
    /// Detection of wait cycles between our own hubs.
    Probe(CycleProbe),
}

/// Decodes a message to a node. `None` if it is malformed: the connection has to be closed.
pub fn decode_message(items: &[Bytes]) -> Option<ToNode> {
    match (items.first()?.as_ref(), items.len()) {
        (b"serve", 4) => decode_request(items).map(|request| ToNode::Serve(Box::new(request))),
        (b"cancel", 2) => HexId::parse(&items[1]).map(ToNode::Cancel),
        (b"health", 2) => parse_tag(&items[1]).map(ToNode::Health),
        (b"gauges", 2) => parse_tag(&items[1]).map(ToNode::Gauges),
        (b"chase", 3) => peer::decode_probe(&items[1], &items[2]).map(ToNode::Probe),
        _ => None,
    }
}

/// Copies a name or tag: a slice would keep the whole message or list in memory.
fn parse_tag(tag: &[u8]) -> Option<Bytes> {
    (!tag.is_empty() && tag.len() <= MAX_NAME_BYTES).then(|| Bytes::copy_from_slice(tag))
}

fn decode_request(items: &[Bytes]) -> Option<IncomingRequest> {
    let (mut content, mut object, mut part, mut timeout_ms) = (None, None, Some(0), None);
    let (mut source, mut rank, mut max_age_ms, mut hints) = (None, Some(0), None, Bytes::new());
    let (mut known_digest, mut via, mut version, mut hand_over) = (None, None, None, false);
    let (mut by, mut place, mut stamp) = (None, None, None);
    for (name, value) in fields::parse_list(&items[2]) {
        match name {
            b"kind" => content = parse_tag(&value),
            b"obj" => object = HexId::parse(&value),
            b"seg" => part = fields::parse_integer(&value).and_then(|part| u32::try_from(part).ok()),
            b"ms" => timeout_ms = fields::parse_integer(&value).filter(|ms| *ms > 0),
            b"parent" => source = Some(parse_tag(&value)?),
            b"shelf" => rank = fields::parse_integer(&value).filter(|rank| *rank < RANKS),
            b"accept" => max_age_ms = Some(fields::parse_integer(&value)?),
            b"hints" => hints = value,
            b"got" => known_digest = Some(parse_tag(&value)?),
            b"via" => via = Some(peer::decode_path(&value)?),
            b"ver" => version = Some(fields::parse_integer(&value)?),
            b"hand" => hand_over = value.as_ref() == b"1",
            b"by" => by = Some(parse_text(&value).filter(|by| peer::is_valid_name(by))?),
            b"for" => place = Some(parse_text(&value).filter(|place| peer::is_valid_name(place))?),
            b"goes" => stamp = Some(parse_text(&value).filter(|stamp| peer::is_valid_stamp(stamp))?),
            _ => {}
        }
    }
    let mark = match (by, place, stamp) {
        (Some(by), Some(place), Some(stamp)) => Some(AuditMark { by, place, stamp }),
        _ => None,
    };
    let hint = |word: &[u8]| hints.split(|b| *b == b'+').any(|hint| hint == word);
    let route = via.map(|path| HubRoute { path, shape_version: version.unwrap_or(0), hand_over });
    Some(IncomingRequest {
        id: HexId::parse(&items[1])?,
        content: content?,
        object: object?,
        part: part?,
        timeout_ms: timeout_ms?,
        source,
        rank: rank? as u8,
        max_age_ms: max_age_ms.filter(|ms| *ms > 0),
        join: hint(b"share"),
        only_if_cached: hint(b"peek"),
        no_store: hint(b"pass"),
        stale_while_revalidate: hint(b"swr"),
        known_digest,
        body: items[3].clone(),
        route,
        mark,
    })
}

fn parse_text(value: &Bytes) -> Option<String> {
    String::from_utf8(value.to_vec()).ok()
}

/// An answer as a node encodes it.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingAnswer {
    pub id: HexId,
    pub status: AnswerStatus,
    pub cache_status: CacheStatus,
    pub first_byte_ms: f64,
    /// The copy that the answer is about.
    pub copy: Option<CopyTag>,
    pub body: Bytes,
    /// Milliseconds after which a refused puller may retry; sent to our own hubs only.
    pub retry_after_ms: Option<u64>,
    /// One-word reason for a refusal; sent only to pullers that send an [`AuditMark`].
    pub reason: Option<&'static str>,
}

/// Identifies one version of an object.
#[derive(Clone, Debug, PartialEq)]
pub struct CopyTag {
    pub digest: Bytes,
    /// Unix milliseconds at which the origin issued this version.
    pub dated_ms: u64,
    /// Purge group of the object, if the origin reports it.
    pub group: Option<u32>,
}

/// Encodes an answer.
pub fn encode_answer(answer: &OutgoingAnswer) -> Packet {
    let word = match answer.status {
        AnswerStatus::Fulfilled => "ACK",
        AnswerStatus::NotModified => "NOMOD",
        AnswerStatus::NotFound => "NOENT",
        AnswerStatus::Busy => "AGAIN",
        AnswerStatus::Failed => "EIO",
        AnswerStatus::TooLate => "STALE",
    };
    let copy = answer.copy.as_ref();
    let digest = copy.and_then(|c| std::str::from_utf8(&c.digest).ok());
    let fields = Fields::default()
        .with_some("res", encode_cache_status(answer.cache_status))
        .with_some("first", Some(answer.first_byte_ms).filter(|ms| *ms > 0.0))
        .with_some("digest", digest)
        .with_some("dated", copy.map(|c| c.dated_ms))
        .with_some("group", copy.and_then(|c| c.group))
        .with_some("come", answer.retry_after_ms)
        .with_some("why", answer.reason)
        .or_if_empty("-");
    let items = [answer.id.as_str().as_bytes(), word.as_bytes(), fields.as_bytes()];
    Packet { head: resp::encode_head(&items, answer.body.len()), body: answer.body.clone() }
}

/// Encodes a query for the load report under a tag.
pub fn encode_gauges_query(tag: &[u8]) -> Packet {
    Packet { head: resp::encode_head(&[b"gauges"], tag.len()), body: Bytes::copy_from_slice(tag) }
}

/// Encodes the answer to `health` and, with a report, to `gauges`. `name` is the hub's name, sent to our own
/// hubs only.
pub fn encode_state(tag: &[u8], well: bool, gauges: Option<&str>, name: Option<&str>) -> Packet {
    let word: &[u8] = if well { b"READY" } else { b"AILING" };
    let fields = Fields::default().with_some("gauges", gauges).with_some("name", name).or_if_empty("-");
    Packet { head: resp::encode_head(&[tag, word, fields.as_bytes()], 0), body: Bytes::new() }
}

/// Decodes which copy an answer is about. `None` if the answer does not say.
pub fn decode_copy_tag(items: &[Bytes]) -> Option<CopyTag> {
    let (mut digest, mut dated_ms, mut group) = (None, None, None);
    for (name, value) in fields::parse_list(items.get(2)?) {
        match name {
            b"digest" => digest = parse_tag(&value),
            b"dated" => dated_ms = fields::parse_integer(&value),
            b"group" => group = fields::parse_integer(&value).and_then(|group| u32::try_from(group).ok()),
            _ => {}
        }
    }
    Some(CopyTag { digest: digest?, dated_ms: dated_ms?, group })
}

fn encode_cache_status(cache_status: CacheStatus) -> Option<&'static str> {
    Some(match cache_status {
        CacheStatus::Unknown => return None,
        CacheStatus::Hit => "HIT",
        CacheStatus::Filled => "MISS",
        CacheStatus::FromOrigin => "MISS_ORIGIN",
        CacheStatus::Joined => "COLLAPSED",
        CacheStatus::Stale => "STALE",
        CacheStatus::SourceRefused => "UP_BUSY",
        CacheStatus::SourceLost => "UP_DOWN",
        CacheStatus::SourceLacks => "UP_MISS",
        CacheStatus::NoFillSlot => "NO_FILL",
        CacheStatus::OriginFailed => "ORIGIN_ERR",
    })
}
