//! What hubs of ours tell each other beyond the platform's protocol. None of it goes to a node of the platform,
//! whose reader would take it for something that it can't use.
use crate::Packet;
use crate::fields::{self, Fields, Hex};
use crate::resp;
use bytes::Bytes;

/// Hubs on one way, at most: more than any shape has tiers. A longer one is refused as unreadable.
pub const LONGEST_PATH: usize = 24;
const LONGEST_NAME: usize = 32;

/// The hub that a pull went through, the one asked first leading; each under the one name that it gives itself,
/// whatever it was addressed by.
pub type Path = Vec<String>;

/// How a pull came here through our own hubs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Way {
    pub path: Path,
    /// The version of the shape by which the last hub chose this one.
    pub version: u64,
    /// Asked by the new home of the object: who answers that it lacks it fetches it no more itself.
    pub hand_over: bool,
}

/// Follows the fills that wait for each other, from hub to hub, until it finds an end or its own beginning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chase {
    pub object: Hex,
    pub part: u32,
    /// Those that wait, each for the next.
    pub path: Path,
    /// A closed circle was found: the path is the circle, and goes round it to the one that breaks it.
    pub closed: bool,
}

/// A name that can stand in a path, and nowhere be taken for anything else.
pub fn is_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=LONGEST_NAME).contains(&name.len()) && name.bytes().all(plain)
}

pub fn path_text(path: &Path) -> String {
    path.join("+")
}

pub fn read_path(text: &Bytes) -> Option<Path> {
    let text = std::str::from_utf8(text).ok()?;
    let path: Path = text.split('+').map(str::to_string).collect();
    (path.len() <= LONGEST_PATH && path.iter().all(|name| is_name(name))).then_some(path)
}

pub fn write_chase(chase: &Chase) -> Packet {
    let fields = Fields::default()
        .with("obj", chase.object.as_str())
        .with("seg", chase.part)
        .with_some("knot", chase.closed.then_some(1))
        .or("-");
    let path = path_text(&chase.path);
    Packet { head: resp::head(&[b"chase", fields.as_bytes()], path.len()), body: Bytes::from(path) }
}

pub(crate) fn read_chase(list: &Bytes, path: &Bytes) -> Option<Chase> {
    let (mut object, mut part, mut closed) = (None, None, false);
    for (name, value) in fields::read(list) {
        match name {
            b"obj" => object = Hex::read(&value),
            b"seg" => part = fields::whole(&value).and_then(|part| u32::try_from(part).ok()),
            b"knot" => closed = value.as_ref() == b"1",
            _ => {}
        }
    }
    Some(Chase { object: object?, part: part?, path: read_path(path)?, closed })
}
