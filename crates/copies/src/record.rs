//! The index's records, small and of one form: a start reads all of them, and nothing else.
use crate::index::{CopyKey, CopyMetadata, Location};

/// The form of a snapshot; a later one is refused by its first byte.
pub const FORMAT_VERSION: u8 = 1;

/// What a hub remembers beside its copies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Checkpoint {
    /// All purges up to that number were applied to what the index names.
    pub applied_purge: u64,
    /// The latest that the wall clock was seen at, Unix milliseconds: one that is behind it has gone back.
    pub latest_clock_ms: u64,
    /// What a fill and a fetch usually take, seconds; 0: not known.
    pub fill_seconds: f64,
    pub fetch_seconds: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    Put(CopyMetadata, Location),
    Removed(CopyKey),
    Checkpoint(Checkpoint),
}

impl Record {
    pub fn encode(&self, to: &mut Vec<u8>) {
        match self {
            Record::Put(meta, place) => {
                to.push(b'p');
                key(meta.key, to);
                to.extend(meta.dated_us.to_le_bytes());
                to.push(u8::from(meta.group.is_some()));
                to.extend(meta.group.unwrap_or(0).to_le_bytes());
                to.push(meta.rank);
                to.extend(place.file.to_le_bytes());
                to.extend(place.offset.to_le_bytes());
                to.extend(place.length.to_le_bytes());
                to.extend(place.checksum.to_le_bytes());
                to.push(meta.digest.len().min(255) as u8);
                to.extend(&meta.digest[..meta.digest.len().min(255)]);
            }
            Record::Removed(gone) => {
                to.push(b'g');
                key(*gone, to);
            }
            Record::Checkpoint(marks) => {
                to.push(b'm');
                to.extend(marks.applied_purge.to_le_bytes());
                to.extend(marks.latest_clock_ms.to_le_bytes());
                to.extend(marks.fill_seconds.to_le_bytes());
                to.extend(marks.fetch_seconds.to_le_bytes());
            }
        }
    }

    /// Takes one off the front; none where what stands there is no record.
    pub fn decode(from: &mut &[u8]) -> Option<Record> {
        match byte(from)? {
            b'p' => {
                let key = read_key(from)?;
                let dated_us = u64::from_le_bytes(array(from)?);
                let has_group = byte(from)? == 1;
                let group = u32::from_le_bytes(array(from)?);
                let rank = byte(from)?;
                let place = Location {
                    file: u64::from_le_bytes(array(from)?),
                    offset: u64::from_le_bytes(array(from)?),
                    length: u32::from_le_bytes(array(from)?),
                    checksum: u128::from_le_bytes(array(from)?),
                };
                let length = usize::from(byte(from)?);
                let digest = from.split_off(..length)?.to_vec();
                let meta = CopyMetadata { key, digest, dated_us, group: has_group.then_some(group), rank };
                Some(Record::Put(meta, place))
            }
            b'g' => Some(Record::Removed(read_key(from)?)),
            b'm' => Some(Record::Checkpoint(Checkpoint {
                applied_purge: u64::from_le_bytes(array(from)?),
                latest_clock_ms: u64::from_le_bytes(array(from)?),
                fill_seconds: f64::from_le_bytes(array(from)?),
                fetch_seconds: f64::from_le_bytes(array(from)?),
            })),
            _ => None,
        }
    }
}

fn key((object, part): CopyKey, to: &mut Vec<u8>) {
    to.extend(object.to_le_bytes());
    to.extend(part.to_le_bytes());
}

fn read_key(from: &mut &[u8]) -> Option<CopyKey> {
    Some((u64::from_le_bytes(array(from)?), u32::from_le_bytes(array(from)?)))
}

fn byte(from: &mut &[u8]) -> Option<u8> {
    from.split_off_first().copied()
}

fn array<const N: usize>(from: &mut &[u8]) -> Option<[u8; N]> {
    from.split_off(..N)?.try_into().ok()
}
