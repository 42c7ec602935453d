//! Records of the index log. They are small and have one format, since a start reads all of them and nothing else.
use crate::index::{CopyKey, CopyMetadata, Location};

/// Format version of a snapshot, its first byte. Other versions are rejected.
pub const FORMAT_VERSION: u8 = 1;

/// State of a hub that is stored along with its copies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Checkpoint {
    /// All purges up to this number were applied to the indexed copies.
    pub applied_purge: u64,
    /// Latest observed wall-clock time, Unix milliseconds: a clock that reads less has gone backwards.
    pub latest_clock_ms: u64,
    /// Usual duration of a fill and of a fetch, seconds; 0 if unknown.
    pub fill_seconds: f64,
    pub fetch_seconds: f64,
}

/// One change of the index.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    Put(CopyMetadata, Location),
    Removed(CopyKey),
    Checkpoint(Checkpoint),
}

impl Record {
    /// Appends the encoded record to `output`.
    pub fn encode(&self, output: &mut Vec<u8>) {
        match self {
            Record::Put(metadata, location) => {
                output.push(b'p');
                write_key(metadata.key, output);
                output.extend(metadata.dated_us.to_le_bytes());
                output.push(u8::from(metadata.group.is_some()));
                output.extend(metadata.group.unwrap_or(0).to_le_bytes());
                output.push(metadata.rank);
                output.extend(location.file.to_le_bytes());
                output.extend(location.offset.to_le_bytes());
                output.extend(location.length.to_le_bytes());
                output.extend(location.checksum.to_le_bytes());
                output.push(metadata.digest.len().min(255) as u8);
                output.extend(&metadata.digest[..metadata.digest.len().min(255)]);
            }
            Record::Removed(removed) => {
                output.push(b'g');
                write_key(*removed, output);
            }
            Record::Checkpoint(checkpoint) => {
                output.push(b'm');
                output.extend(checkpoint.applied_purge.to_le_bytes());
                output.extend(checkpoint.latest_clock_ms.to_le_bytes());
                output.extend(checkpoint.fill_seconds.to_le_bytes());
                output.extend(checkpoint.fetch_seconds.to_le_bytes());
            }
        }
    }

    /// Decodes and consumes the record at the front; none if the bytes are not a record.
    pub fn decode(input: &mut &[u8]) -> Option<Record> {
        match read_byte(input)? {
            b'p' => {
                let key = read_key(input)?;
                let dated_us = u64::from_le_bytes(read_array(input)?);
                let has_group = read_byte(input)? == 1;
                let group = u32::from_le_bytes(read_array(input)?);
                let rank = read_byte(input)?;
                let location = Location {
                    file: u64::from_le_bytes(read_array(input)?),
                    offset: u64::from_le_bytes(read_array(input)?),
                    length: u32::from_le_bytes(read_array(input)?),
                    checksum: u128::from_le_bytes(read_array(input)?),
                };
                let length = usize::from(read_byte(input)?);
                let digest = input.split_off(..length)?.to_vec();
                let metadata =
                    CopyMetadata { key, digest, dated_us, group: has_group.then_some(group), rank };
                Some(Record::Put(metadata, location))
            }
            b'g' => Some(Record::Removed(read_key(input)?)),
            b'm' => Some(Record::Checkpoint(Checkpoint {
                applied_purge: u64::from_le_bytes(read_array(input)?),
                latest_clock_ms: u64::from_le_bytes(read_array(input)?),
                fill_seconds: f64::from_le_bytes(read_array(input)?),
                fetch_seconds: f64::from_le_bytes(read_array(input)?),
            })),
            _ => None,
        }
    }
}

fn write_key((object, part): CopyKey, output: &mut Vec<u8>) {
    output.extend(object.to_le_bytes());
    output.extend(part.to_le_bytes());
}

fn read_key(input: &mut &[u8]) -> Option<CopyKey> {
    Some((u64::from_le_bytes(read_array(input)?), u32::from_le_bytes(read_array(input)?)))
}

fn read_byte(input: &mut &[u8]) -> Option<u8> {
    input.split_off_first().copied()
}

fn read_array<const N: usize>(input: &mut &[u8]) -> Option<[u8; N]> {
    input.split_off(..N)?.try_into().ok()
}
