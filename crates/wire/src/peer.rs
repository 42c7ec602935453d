//! Extensions of the protocol between our own hubs. They are never sent to a node of the platform, whose
//! parser would reject them.
use crate::Packet;
use crate::fields::{self, Fields, HexId};
use crate::resp;
use bytes::Bytes;

/// Tag of a `gauges` query that asks a hub for its name.
pub const NAME_TAG: &[u8] = b"hub-who";
/// Tag prefix of a `gauges` query that checks whether a hub is alive; a number follows.
pub const LIVENESS_TAG_PREFIX: &[u8] = b"hub-look-";
/// Most sites that one liveness answer names.
const MAX_UNSEEN_SITES: usize = 64;

/// Most hubs on one path: more than any shape has tiers. A longer path is rejected as malformed.
pub const MAX_PATH_HUBS: usize = 24;
/// Longest name of a hub or router in bytes.
const MAX_NAME_BYTES: usize = 32;

/// The hubs that a pull went through, the first one first. Each is listed under its own name, whatever
/// address was used to reach it.
pub type HubPath = Vec<String>;

/// How a pull got here through our own hubs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HubRoute {
    pub path: HubPath,
    /// The version of the shape by which the last hub chose this one.
    pub shape_version: u64,
    /// The pull comes from the object's new preferred node. A hub that answers such a pull with "not found"
    /// stops fetching the object itself.
    pub hand_over: bool,
}

/// Audit data of a pull: the puller, the place of the shape that it pulled for, and a compact stamp of the
/// state that it acted on. Sent to our own hubs only.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AuditMark {
    /// Name of the puller.
    pub by: String,
    pub place: String,
    pub stamp: String,
}

/// Longest stamp in bytes.
const MAX_STAMP_BYTES: usize = 64;

/// A stamp consists of letters, digits and dots.
pub(crate) fn is_valid_stamp(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'.';
    (1..=MAX_STAMP_BYTES).contains(&text.len()) && text.bytes().all(plain)
}

/// Edge-chasing probe for wait cycles among fills: it is forwarded from hub to hub along the waits until it
/// finds an end or comes back to its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CycleProbe {
    pub object: HexId,
    pub part: u32,
    /// The waiting hubs; each waits for the next.
    pub path: HubPath,
    /// A cycle was found: `path` is the cycle, and the probe travels round it to the hub that breaks it.
    pub is_cycle: bool,
}

/// Whether a name can stand in a path without being mistaken for other syntax.
pub fn is_valid_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(plain)
}

/// Joins the names of a path for one field.
pub fn encode_path(path: &HubPath) -> String {
    path.join("+")
}

/// Splits a path. `None` if it is too long or has an invalid name.
pub fn decode_path(text: &Bytes) -> Option<HubPath> {
    let text = std::str::from_utf8(text).ok()?;
    let path: HubPath = text.split('+').map(str::to_string).collect();
    (path.len() <= MAX_PATH_HUBS && path.iter().all(|name| is_valid_name(name))).then_some(path)
}

/// Encodes the answer to a liveness query: whether this hub is shutting down in order, and the sites that it
/// can't reach.
pub fn encode_liveness(tag: &[u8], leaving: bool, unseen: &[String]) -> Packet {
    let word: &[u8] = if leaving { b"AILING" } else { b"READY" };
    let unseen = unseen.iter().take(MAX_UNSEEN_SITES).cloned().collect::<Vec<_>>().join("+");
    let fields =
        Fields::default().with_some("unseen", Some(unseen).filter(|u| !u.is_empty())).or_if_empty("-");
    Packet { head: resp::encode_head(&[tag, word, fields.as_bytes()], 0), body: Bytes::new() }
}

/// Decodes a liveness answer. `None` for any other message.
pub fn decode_liveness(items: &[Bytes]) -> Option<(bool, Vec<String>)> {
    items.first()?.strip_prefix(LIVENESS_TAG_PREFIX)?;
    let leaving = items.get(1)?.as_ref() == b"AILING";
    let unseen =
        fields::parse_list(items.get(2)?).find(|(name, _)| *name == b"unseen").map(|(_, value)| value);
    let names = unseen
        .map_or(Vec::new(), |text| String::from_utf8_lossy(&text).split('+').map(str::to_string).collect());
    let names: Vec<String> =
        names.into_iter().filter(|name| is_valid_name(name)).take(MAX_UNSEEN_SITES).collect();
    Some((leaving, names))
}

/// The milliseconds after which a refused puller may retry, as a hub tells hubs below it. `None` if the
/// answer has none.
pub fn decode_retry_after(items: &[Bytes]) -> Option<u64> {
    let come = fields::parse_list(items.get(2)?).find(|(name, _)| *name == b"come")?.1;
    fields::parse_integer(&come)
}

/// Progress of a hub's start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HubStart {
    /// Name of the hub.
    pub name: String,
    /// Name of the current stage.
    pub stage: String,
    /// Number of copies that it holds.
    pub copies: u64,
    /// An operator holds the start.
    pub held: bool,
}

const START: &[u8] = b"hub-start";
const START_HOLD: &[u8] = b"hub-start-hold";
const START_GO: &[u8] = b"hub-start-go";

/// Tag of a query for the progress of a start. `Some(true)` also holds the start, `Some(false)` releases it.
pub fn start_query_tag(hold: Option<bool>) -> &'static [u8] {
    match hold {
        None => START,
        Some(true) => START_HOLD,
        Some(false) => START_GO,
    }
}

/// The operator's request in such a tag, as given to [`start_query_tag`]. `None` for any other tag.
pub fn decode_start_tag(tag: &[u8]) -> Option<Option<bool>> {
    match tag {
        START => Some(None),
        START_HOLD => Some(Some(true)),
        START_GO => Some(Some(false)),
        _ => None,
    }
}

/// Encodes the progress of a start.
pub fn encode_start(tag: &[u8], start: &HubStart) -> Packet {
    let fields = Fields::default()
        .with("name", &start.name)
        .with("stage", &start.stage)
        .with("copies", start.copies)
        .with("held", u8::from(start.held))
        .or_if_empty("-");
    Packet { head: resp::encode_head(&[tag, b"READY", fields.as_bytes()], 0), body: Bytes::new() }
}

/// Decodes the progress of a start. `None` if the peer is not a hub that reports one.
pub fn decode_start(items: &[Bytes]) -> Option<HubStart> {
    decode_start_tag(items.first()?)?;
    let (mut name, mut stage, mut copies, mut held) = (None, None, 0, false);
    for (field, value) in fields::parse_list(items.get(2)?) {
        let text = || String::from_utf8(value.to_vec()).ok().filter(|text| is_valid_name(text));
        match field {
            b"name" => name = text(),
            b"stage" => stage = text(),
            b"copies" => copies = fields::parse_integer(&value)?,
            b"held" => held = value.as_ref() == b"1",
            _ => {}
        }
    }
    Some(HubStart { name: name?, stage: stage?, copies, held })
}

/// Encodes a probe.
pub fn encode_probe(probe: &CycleProbe) -> Packet {
    let fields = Fields::default()
        .with("obj", probe.object.as_str())
        .with("seg", probe.part)
        .with_some("knot", probe.is_cycle.then_some(1))
        .or_if_empty("-");
    let path = encode_path(&probe.path);
    Packet { head: resp::encode_head(&[b"chase", fields.as_bytes()], path.len()), body: Bytes::from(path) }
}

pub(crate) fn decode_probe(list: &Bytes, path: &Bytes) -> Option<CycleProbe> {
    let (mut object, mut part, mut is_cycle) = (None, None, false);
    for (name, value) in fields::parse_list(list) {
        match name {
            b"obj" => object = HexId::parse(&value),
            b"seg" => part = fields::parse_integer(&value).and_then(|part| u32::try_from(part).ok()),
            b"knot" => is_cycle = value.as_ref() == b"1",
            _ => {}
        }
    }
    Some(CycleProbe { object: object?, part: part?, path: decode_path(path)?, is_cycle })
}
