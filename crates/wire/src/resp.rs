//! RESP arrays of bulk strings, decoded bit by bit as they come in, within bounds.
use bytes::Bytes;
use std::fmt;

pub const LINE_END: &[u8] = b"\r\n";

/// `*` or `$`, the longest number that is ever needed, and the line end.
const LONGEST_LINE: usize = 16;

/// Where a message can't be told from the next any more: the connection has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    UnexpectedByte(u8),
    BadLength,
    TooManyItems,
    ItemTooLong,
    MissingLineEnd,
    BadTag,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DecodeError::UnexpectedByte(byte) => {
                write!(f, "unexpected byte 0x{byte:02x} where an item starts")
            }
            DecodeError::BadLength => write!(f, "a length that is no number of 0 or more"),
            DecodeError::TooManyItems => write!(f, "an array of too many items"),
            DecodeError::ItemTooLong => write!(f, "an item past the bound"),
            DecodeError::MissingLineEnd => write!(f, "an item without its line end"),
            DecodeError::BadTag => write!(f, "a message without a usable tag"),
        }
    }
}

/// What one peer may send.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub max_items: usize,
    pub max_item_bytes: usize,
    /// An item gets room for as much at once; a longer one gets more only as it comes, so that a claim costs
    /// nothing.
    pub initial_item_capacity: usize,
}

enum Stage {
    Array,
    Length,
    Item,
    ItemEnd,
}

/// Takes bytes in pieces of any size and gives whole arrays out.
pub struct Decoder {
    bounds: Bounds,
    buffer: Vec<u8>,
    start: usize,
    end: usize,
    stage: Stage,
    left: usize,
    items: Vec<Bytes>,
    /// The item being read with the room that it has so far, its full length, and how much of it is there.
    item: Vec<u8>,
    length: usize,
    got: usize,
}

impl Decoder {
    pub fn new(bounds: Bounds, buffer: usize) -> Decoder {
        let buffer = vec![0; buffer.max(LONGEST_LINE)];
        let (items, item, stage) = (Vec::new(), Vec::new(), Stage::Array);
        Decoder { bounds, buffer, start: 0, end: 0, stage, left: 0, items, item, length: 0, got: 0 }
    }

    /// Where the next bytes belong. A long item is read straight to where it stays.
    pub fn read_buffer(&mut self) -> &mut [u8] {
        if matches!(self.stage, Stage::Item) && self.start == self.end {
            if self.got == self.item.len() {
                self.widen(self.item.len() * 2);
            }
            return &mut self.item[self.got..];
        }
        self.buffer.copy_within(self.start..self.end, 0);
        (self.start, self.end) = (0, self.end - self.start);
        &mut self.buffer[self.end..]
    }

    /// So many bytes were written to `room`.
    pub fn commit(&mut self, bytes: usize) {
        if matches!(self.stage, Stage::Item) && self.start == self.end {
            self.got += bytes;
        } else {
            self.end += bytes;
        }
    }

    /// Whether a message has begun to come in.
    pub fn is_mid_message(&self) -> bool {
        self.start != self.end || !matches!(self.stage, Stage::Array)
    }

    /// The next whole array, if there is one.
    pub fn next_message(&mut self) -> Result<Option<Vec<Bytes>>, DecodeError> {
        loop {
            match self.stage {
                Stage::Array => {
                    let Some(items) = self.length(b'*')? else { return Ok(None) };
                    if items > self.bounds.max_items {
                        return Err(DecodeError::TooManyItems);
                    }
                    self.left = items;
                    self.items = Vec::with_capacity(items);
                    if items == 0 {
                        return Ok(Some(Vec::new()));
                    }
                    self.stage = Stage::Length;
                }
                Stage::Length => {
                    let Some(length) = self.length(b'$')? else { return Ok(None) };
                    if length > self.bounds.max_item_bytes {
                        return Err(DecodeError::ItemTooLong);
                    }
                    (self.item, self.length, self.got) = (Vec::new(), length, 0);
                    self.widen(self.bounds.initial_item_capacity);
                    self.stage = Stage::Item;
                }
                Stage::Item => {
                    let more = (self.length - self.got).min(self.end - self.start);
                    if self.got + more > self.item.len() {
                        self.widen(self.got + more);
                    }
                    let part = &self.buffer[self.start..self.start + more];
                    self.item[self.got..self.got + more].copy_from_slice(part);
                    (self.start, self.got) = (self.start + more, self.got + more);
                    if self.got < self.length {
                        return Ok(None);
                    }
                    self.stage = Stage::ItemEnd;
                }
                Stage::ItemEnd => {
                    let Some(end) = self.buffer[self.start..self.end].get(..LINE_END.len()) else {
                        return Ok(None);
                    };
                    if end != LINE_END {
                        return Err(DecodeError::MissingLineEnd);
                    }
                    self.start += LINE_END.len();
                    self.items.push(Bytes::from(std::mem::take(&mut self.item)));
                    self.left -= 1;
                    if self.left == 0 {
                        self.stage = Stage::Array;
                        return Ok(Some(std::mem::take(&mut self.items)));
                    }
                    self.stage = Stage::Length;
                }
            }
        }
    }

    fn widen(&mut self, wanted: usize) {
        let room = wanted.max(self.bounds.initial_item_capacity).max(1).min(self.length);
        self.item.reserve_exact(room.saturating_sub(self.item.len()));
        self.item.resize(room, 0);
    }

    /// The number on a line that starts with `kind`, once the line is there.
    fn length(&mut self, kind: u8) -> Result<Option<usize>, DecodeError> {
        let line = &self.buffer[self.start..self.end];
        match line.first() {
            None => return Ok(None),
            Some(byte) if *byte != kind => return Err(DecodeError::UnexpectedByte(*byte)),
            Some(_) => {}
        }
        let Some(at) = line.iter().take(LONGEST_LINE).position(|b| *b == b'\r') else {
            return if line.len() < LONGEST_LINE { Ok(None) } else { Err(DecodeError::BadLength) };
        };
        let Some(after) = line.get(at + 1) else { return Ok(None) };
        if *after != b'\n' {
            return Err(DecodeError::MissingLineEnd);
        }
        let digits = &line[1..at];
        if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
            return Err(DecodeError::BadLength);
        }
        let digits = std::str::from_utf8(digits).map_err(|_| DecodeError::BadLength)?;
        let number = digits.parse().map_err(|_| DecodeError::BadLength)?;
        self.start += at + 1 + 1;
        Ok(Some(number))
    }
}

/// The head of an array whose last item is `body`; the line end after the body is left to the writer.
pub fn encode_head(items: &[&[u8]], body: usize) -> Bytes {
    let mut head = Vec::with_capacity(32 + items.iter().map(|i| i.len() + LONGEST_LINE).sum::<usize>());
    head.extend(format!("*{}\r\n", items.len() + 1).as_bytes());
    for item in items {
        head.extend(format!("${}\r\n", item.len()).as_bytes());
        head.extend(*item);
        head.extend(LINE_END);
    }
    head.extend(format!("${body}\r\n").as_bytes());
    Bytes::from(head)
}
