//! What hubs of ours tell each other beyond the platform's protocol. None of it goes to a node of the platform,
//! whose reader would take it for something that it can't use.
use crate::Packet;
use crate::fields::{self, Fields, HexId};
use crate::resp;
use bytes::Bytes;

/// The tag under which a hub asks another what it calls itself.
pub const NAME_TAG: &[u8] = b"hub-who";
/// The same for whoever asks a hub whether it is there; a number follows.
pub const LIVENESS_TAG_PREFIX: &[u8] = b"hub-look-";
/// Sites that one answer names, at most.
const MOST_UNSEEN: usize = 64;

/// Hubs on one way, at most: more than any shape has tiers. A longer one is refused as unreadable.
pub const MAX_PATH_HUBS: usize = 24;
const LONGEST_NAME: usize = 32;

/// The hub that a pull went through, the one asked first leading; each under the one name that it gives itself,
/// whatever it was addressed by.
pub type HubPath = Vec<String>;

/// How a pull came here through our own hubs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HubRoute {
    pub path: HubPath,
    /// The version of the shape by which the last hub chose this one.
    pub shape_version: u64,
    /// Asked by the new home of the object: who answers that it lacks it fetches it no more itself.
    pub hand_over: bool,
}

/// Under what a pull was made, where that is recorded: who made it, for which place of the shape, and the compact stamp of
/// all that it went by. Told to hubs of ours only.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AuditMark {
    pub by: String,
    pub place: String,
    pub stamp: String,
}

/// Bytes of a stamp, at most.
const LONGEST_STAMP: usize = 64;

/// Letters of a stamp: hex digits, numbers and dots.
pub(crate) fn is_valid_stamp(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'.';
    (1..=LONGEST_STAMP).contains(&text.len()) && text.bytes().all(plain)
}

/// Follows the fills that wait for each other, from hub to hub, until it finds an end or its own beginning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CycleProbe {
    pub object: HexId,
    pub part: u32,
    /// Those that wait, each for the next.
    pub path: HubPath,
    /// A closed circle was found: the path is the circle, and goes round it to the one that breaks it.
    pub is_cycle: bool,
}

/// A name that can stand in a path, and nowhere be taken for anything else.
pub fn is_valid_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=LONGEST_NAME).contains(&name.len()) && name.bytes().all(plain)
}

pub fn encode_path(path: &HubPath) -> String {
    path.join("+")
}

pub fn decode_path(text: &Bytes) -> Option<HubPath> {
    let text = std::str::from_utf8(text).ok()?;
    let path: HubPath = text.split('+').map(str::to_string).collect();
    (path.len() <= MAX_PATH_HUBS && path.iter().all(|name| is_valid_name(name))).then_some(path)
}

/// The answer to a look: whether it goes down in order, and the sites from which it hears nothing itself.
pub fn encode_liveness(tag: &[u8], leaving: bool, unseen: &[String]) -> Packet {
    let word: &[u8] = if leaving { b"AILING" } else { b"READY" };
    let unseen = unseen.iter().take(MOST_UNSEEN).cloned().collect::<Vec<_>>().join("+");
    let fields =
        Fields::default().with_some("unseen", Some(unseen).filter(|u| !u.is_empty())).or_if_empty("-");
    Packet { head: resp::encode_head(&[tag, word, fields.as_bytes()], 0), body: Bytes::new() }
}

/// Reads such an answer; none for any other message.
pub fn decode_liveness(items: &[Bytes]) -> Option<(bool, Vec<String>)> {
    items.first()?.strip_prefix(LIVENESS_TAG_PREFIX)?;
    let leaving = items.get(1)?.as_ref() == b"AILING";
    let unseen =
        fields::parse_list(items.get(2)?).find(|(name, _)| *name == b"unseen").map(|(_, value)| value);
    let names = unseen
        .map_or(Vec::new(), |text| String::from_utf8_lossy(&text).split('+').map(str::to_string).collect());
    let names: Vec<String> = names.into_iter().filter(|name| is_valid_name(name)).take(MOST_UNSEEN).collect();
    Some((leaving, names))
}

/// When somebody who was refused may come again, as a hub tells it to hubs below. None: it says nothing of it.
pub fn decode_retry_after(items: &[Bytes]) -> Option<u64> {
    let come = fields::parse_list(items.get(2)?).find(|(name, _)| *name == b"come")?.1;
    fields::parse_integer(&come)
}

/// Where a hub is in its start, as it tells whoever asks under this tag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HubStart {
    pub name: String,
    pub stage: String,
    pub copies: u64,
    pub held: bool,
}

const START: &[u8] = b"hub-start";
const START_HOLD: &[u8] = b"hub-start-hold";
const START_GO: &[u8] = b"hub-start-go";

/// The tag to ask under; with a word of staff's, whether it is to be held.
pub fn start_query_tag(hold: Option<bool>) -> &'static [u8] {
    match hold {
        None => START,
        Some(true) => START_HOLD,
        Some(false) => START_GO,
    }
}

/// Whether a tag asks that, and what staff wants with it.
pub fn decode_start_tag(tag: &[u8]) -> Option<Option<bool>> {
    match tag {
        START => Some(None),
        START_HOLD => Some(Some(true)),
        START_GO => Some(Some(false)),
        _ => None,
    }
}

pub fn encode_start(tag: &[u8], start: &HubStart) -> Packet {
    let fields = Fields::default()
        .with("name", &start.name)
        .with("stage", &start.stage)
        .with("copies", start.copies)
        .with("held", u8::from(start.held))
        .or_if_empty("-");
    Packet { head: resp::encode_head(&[tag, b"READY", fields.as_bytes()], 0), body: Bytes::new() }
}

/// None: the answer is not one of a hub that has a start.
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
