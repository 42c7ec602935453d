//! Frames of the bench's wire: bytes in, records out, and back.
use std::fmt;

pub const HEADER: usize = 16;
pub const EVENT: usize = 48;
pub const ACTION: usize = 32;
pub const ENTRY: usize = 22;

/// What is malformed, and at which byte of the frame.
#[derive(Debug, PartialEq)]
pub struct Malformed {
    pub what: String,
    pub at: usize,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} at byte {}", self.what, self.at)
    }
}

pub fn malformed<T>(what: impl Into<String>, at: usize) -> Result<T, Malformed> {
    Err(Malformed { what: what.into(), at })
}

#[derive(Debug, PartialEq, Clone)]
pub struct MemberEntry {
    pub hall: u16,
    pub cache: u32,
    pub online_since: u64,
    pub scale: f32,
    pub phase: u8,
    pub bay: u16,
    pub kind: u8,
}

#[derive(Debug, PartialEq, Clone)]
pub enum EventRecord {
    Spawn {
        seed: u64,
        info: Vec<u8>,
    },
    Targets {
        how: u8,
        entries: Vec<MemberEntry>,
    },
    Request {
        ticket: u64,
        class: u16,
        item: u64,
        valid_until: u64,
        size_kb: f32,
        tag: f32,
        part: f32,
        options: u16,
    },
    Established {
        ticket: u64,
        hop: u8,
    },
    Response {
        ticket: u64,
        rc: u16,
        note: u32,
        first_byte: u32,
        cache: u32,
        hop: u8,
        complete: bool,
        took: u32,
    },
    Aborted {
        ticket: u64,
    },
    Elapsed {
        handle: u32,
    },
    Sampled {
        cache: u32,
        rc: u16,
    },
    Inbox,
    Teardown,
    Replaced {
        item: u64,
        tag: u16,
        age: u32,
    },
    For {
        instance: u16,
    },
}

#[derive(Debug, PartialEq, Clone)]
pub struct Batch {
    pub clock: u64,
    /// Each with the byte of the frame at which it starts.
    pub records: Vec<(usize, EventRecord)>,
}

/// Big-endian fields of a slice that is known to be long enough.
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn u8(&self, at: usize) -> u8 {
        self.0[at]
    }
    fn u16(&self, at: usize) -> u16 {
        u16::from_be_bytes([self.0[at], self.0[at + 1]])
    }
    fn u32(&self, at: usize) -> u32 {
        u32::from_be_bytes(self.0[at..at + 4].try_into().expect("four bytes"))
    }
    fn u64(&self, at: usize) -> u64 {
        u64::from_be_bytes(self.0[at..at + 8].try_into().expect("eight bytes"))
    }
    fn f32(&self, at: usize) -> f32 {
        f32::from_bits(self.u32(at))
    }
}

/// Length of the body that a header announces.
pub fn body_len(header: &[u8; HEADER]) -> usize {
    Fields(header).u32(0) as usize
}

pub fn read_batch(header: &[u8; HEADER], body: &[u8]) -> Result<Batch, Malformed> {
    let head = Fields(header);
    let count = head.u32(12) as usize;
    let Some(records_len) = count.checked_mul(EVENT).filter(|len| *len <= body.len()) else {
        return malformed(format!("header: {count} records do not fit the length {}", body.len()), 12);
    };
    let (table, tail) = body.split_at(records_len);
    let mut records = Vec::with_capacity(count);
    for (n, raw) in table.chunks_exact(EVENT).enumerate() {
        let at = HEADER + n * EVENT;
        records.push((at, read_record(raw, at, tail)?));
    }
    Ok(Batch { clock: head.u64(4), records })
}

/// The part of the tail that the reference at `at` in a record names.
fn tail_part<'a>(
    fields: &Fields,
    (name, at): (&str, usize),
    unit: usize,
    record_at: usize,
    tail: &'a [u8],
) -> Result<&'a [u8], Malformed> {
    let offset = fields.u32(at) as usize;
    let len = (fields.u32(at + 4) as usize).checked_mul(unit);
    match len.and_then(|len| tail.get(offset..offset.checked_add(len)?)) {
        Some(part) => Ok(part),
        None => malformed(format!("{name} lies outside the tail of {} bytes", tail.len()), record_at + at),
    }
}

fn read_record(raw: &[u8], at: usize, tail: &[u8]) -> Result<EventRecord, Malformed> {
    let f = Fields(raw);
    Ok(match f.u8(0) {
        0 => {
            let info = tail_part(&f, ("SPAWN Info", 9), 1, at, tail)?;
            EventRecord::Spawn { seed: f.u64(1), info: info.to_vec() }
        }
        1 => {
            let part = tail_part(&f, ("TARGETS MembersList", 10), ENTRY, at, tail)?;
            EventRecord::Targets { how: f.u8(1), entries: part.chunks_exact(ENTRY).map(read_entry).collect() }
        }
        2 => EventRecord::Request {
            ticket: f.u64(1),
            class: f.u16(9),
            item: f.u64(15),
            valid_until: f.u64(23),
            size_kb: f.f32(31),
            tag: f.f32(35),
            part: f.f32(39),
            options: f.u16(43),
        },
        3 => EventRecord::Established { ticket: f.u64(1), hop: f.u8(9) },
        4 => EventRecord::Response {
            ticket: f.u64(1),
            rc: f.u16(9),
            note: f.u32(11),
            first_byte: f.u32(15),
            cache: f.u32(19),
            hop: f.u8(23),
            complete: f.u8(24) != 0,
            took: f.u32(25),
        },
        5 => EventRecord::Aborted { ticket: f.u64(1) },
        6 => EventRecord::Elapsed { handle: f.u32(1) },
        7 => EventRecord::Sampled { cache: f.u32(1), rc: f.u16(5) },
        8 => {
            tail_part(&f, ("INBOX Blob", 3), 1, at, tail)?;
            EventRecord::Inbox
        }
        9 => EventRecord::Teardown,
        10 => EventRecord::Replaced { item: f.u64(1), tag: f.u16(9), age: f.u32(11) },
        11 => EventRecord::For { instance: f.u16(1) },
        code => return malformed(format!("unknown event code {code}"), at),
    })
}

fn read_entry(raw: &[u8]) -> MemberEntry {
    let f = Fields(raw);
    MemberEntry {
        hall: f.u16(0),
        cache: f.u32(2),
        online_since: f.u64(6),
        scale: f.f32(14),
        phase: f.u8(18),
        bay: f.u16(19),
        kind: f.u8(21),
    }
}

#[derive(Debug, PartialEq, Clone)]
pub enum ActionRecord {
    Instance { instance: u16 },
    ServeVia { ticket: u64, age: u32, rank: u8, within: u32, cache: u32, switches: u8, feeder: u32 },
    Abandon { ticket: u64, hop: u8 },
    PushBack { ticket: u64, not_before: u32 },
    RespondError { ticket: u64 },
    Sleep { from_now: u32, handle: u32 },
    Track { enable: bool },
    Print { text: String },
    Fault { text: String },
}

/// A reply as it is gathered; `frame` lays it out.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    pub fn push(&mut self, action: &ActionRecord) {
        let start = self.records.len();
        match action {
            ActionRecord::Instance { instance } => self.code(5).extend(instance.to_be_bytes()),
            ActionRecord::ServeVia { ticket, age, rank, within, cache, switches, feeder } => {
                let r = self.code(3);
                r.extend(ticket.to_be_bytes());
                r.extend(age.to_be_bytes());
                r.push(*rank);
                r.extend(within.to_be_bytes());
                r.extend(cache.to_be_bytes());
                r.push(*switches);
                r.extend(feeder.to_be_bytes());
            }
            ActionRecord::Abandon { ticket, hop } => {
                let r = self.code(7);
                r.extend(ticket.to_be_bytes());
                r.push(*hop);
            }
            ActionRecord::PushBack { ticket, not_before } => {
                let r = self.code(12);
                r.extend(ticket.to_be_bytes());
                r.extend(not_before.to_be_bytes());
            }
            ActionRecord::RespondError { ticket } => self.code(9).extend(ticket.to_be_bytes()),
            ActionRecord::Sleep { from_now, handle } => {
                let r = self.code(4);
                r.extend(from_now.to_be_bytes());
                r.extend(handle.to_be_bytes());
            }
            ActionRecord::Track { enable } => self.code(11).push(u8::from(*enable)),
            ActionRecord::Print { text } => self.text(10, text),
            ActionRecord::Fault { text } => self.text(13, text),
        }
        self.records.resize(start + ACTION, 0);
    }

    fn code(&mut self, code: u8) -> &mut Vec<u8> {
        self.count += 1;
        self.records.push(code);
        &mut self.records
    }

    fn text(&mut self, code: u8, text: &str) {
        let offset = self.tail.len() as u32;
        self.tail.extend(text.as_bytes());
        let r = self.code(code);
        r.extend(offset.to_be_bytes());
        r.extend((text.len() as u32).to_be_bytes());
    }

    pub fn frame(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(8 + self.records.len() + self.tail.len());
        out.extend(self.count.to_be_bytes());
        out.extend(((self.records.len() + self.tail.len()) as u32).to_be_bytes());
        out.extend(&self.records);
        out.extend(&self.tail);
        out
    }
}
