//! Incremental decoder for RESP arrays of bulk strings, with bounds.
use bytes::Bytes;
use std::fmt;

/// Ends each line and each item.
pub const LINE_END: &[u8] = b"\r\n";

/// Longest length line in bytes: `*` or `$`, the longest number that is needed, and the line end.
const MAX_LENGTH_LINE: usize = 16;

/// The boundary between messages is lost: the connection has to be closed.
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
            DecodeError::BadLength => write!(f, "a length that is not a number of 0 or more"),
            DecodeError::TooManyItems => write!(f, "an array with too many items"),
            DecodeError::ItemTooLong => write!(f, "an item over the size limit"),
            DecodeError::MissingLineEnd => write!(f, "an item without a line end"),
            DecodeError::BadTag => write!(f, "a message without a valid tag"),
        }
    }
}

/// Limits on what one peer may send.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most items in one array.
    pub max_items: usize,
    /// Most bytes in one item.
    pub max_item_bytes: usize,
    /// Memory that an item gets at once. A longer item gets more only as its bytes arrive, so that announcing
    /// a large length costs no memory.
    pub initial_item_capacity: usize,
}

enum Stage {
    Array,
    Length,
    Item,
    ItemEnd,
}

/// Accepts bytes in pieces of any size and returns complete arrays.
pub struct Decoder {
    bounds: Bounds,
    buffer: Vec<u8>,
    start: usize,
    end: usize,
    stage: Stage,
    items_left: usize,
    items: Vec<Bytes>,
    /// The item being read, with the memory allocated so far.
    item: Vec<u8>,
    /// Its full length.
    item_length: usize,
    /// Bytes of it that have arrived.
    received: usize,
}

impl Decoder {
    /// `buffer`: bytes of the buffer for short items and lengths.
    pub fn new(bounds: Bounds, buffer: usize) -> Decoder {
        let buffer = vec![0; buffer.max(MAX_LENGTH_LINE)];
        let (items, item, stage) = (Vec::new(), Vec::new(), Stage::Array);
        Decoder {
            bounds,
            buffer,
            start: 0,
            end: 0,
            stage,
            items_left: 0,
            items,
            item,
            item_length: 0,
            received: 0,
        }
    }

    /// Where the next bytes are to be written. A long item is read directly into its final place.
    pub fn read_buffer(&mut self) -> &mut [u8] {
        if matches!(self.stage, Stage::Item) && self.start == self.end {
            if self.received == self.item.len() {
                self.grow_item(self.item.len() * 2);
            }
            return &mut self.item[self.received..];
        }
        self.buffer.copy_within(self.start..self.end, 0);
        (self.start, self.end) = (0, self.end - self.start);
        &mut self.buffer[self.end..]
    }

    /// Says that so many bytes were written to [`Self::read_buffer`].
    pub fn commit(&mut self, bytes: usize) {
        if matches!(self.stage, Stage::Item) && self.start == self.end {
            self.received += bytes;
        } else {
            self.end += bytes;
        }
    }

    /// Whether part of a message has arrived.
    pub fn is_mid_message(&self) -> bool {
        self.start != self.end || !matches!(self.stage, Stage::Array)
    }

    /// The next complete array, if there is one.
    pub fn next_message(&mut self) -> Result<Option<Vec<Bytes>>, DecodeError> {
        loop {
            match self.stage {
                Stage::Array => {
                    let Some(items) = self.read_length(b'*')? else { return Ok(None) };
                    if items > self.bounds.max_items {
                        return Err(DecodeError::TooManyItems);
                    }
                    self.items_left = items;
                    self.items = Vec::with_capacity(items);
                    if items == 0 {
                        return Ok(Some(Vec::new()));
                    }
                    self.stage = Stage::Length;
                }
                Stage::Length => {
                    let Some(length) = self.read_length(b'$')? else { return Ok(None) };
                    if length > self.bounds.max_item_bytes {
                        return Err(DecodeError::ItemTooLong);
                    }
                    (self.item, self.item_length, self.received) = (Vec::new(), length, 0);
                    self.grow_item(self.bounds.initial_item_capacity);
                    self.stage = Stage::Item;
                }
                Stage::Item => {
                    let more = (self.item_length - self.received).min(self.end - self.start);
                    if self.received + more > self.item.len() {
                        self.grow_item(self.received + more);
                    }
                    let part = &self.buffer[self.start..self.start + more];
                    self.item[self.received..self.received + more].copy_from_slice(part);
                    (self.start, self.received) = (self.start + more, self.received + more);
                    if self.received < self.item_length {
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
                    self.items_left -= 1;
                    if self.items_left == 0 {
                        self.stage = Stage::Array;
                        return Ok(Some(std::mem::take(&mut self.items)));
                    }
                    self.stage = Stage::Length;
                }
            }
        }
    }

    fn grow_item(&mut self, wanted: usize) {
        let capacity = wanted.max(self.bounds.initial_item_capacity).max(1).min(self.item_length);
        self.item.reserve_exact(capacity.saturating_sub(self.item.len()));
        self.item.resize(capacity, 0);
    }

    /// The number on a line that starts with `kind`, once the line is complete.
    fn read_length(&mut self, kind: u8) -> Result<Option<usize>, DecodeError> {
        let line = &self.buffer[self.start..self.end];
        match line.first() {
            None => return Ok(None),
            Some(byte) if *byte != kind => return Err(DecodeError::UnexpectedByte(*byte)),
            Some(_) => {}
        }
        let Some(at) = line.iter().take(MAX_LENGTH_LINE).position(|b| *b == b'\r') else {
            return if line.len() < MAX_LENGTH_LINE { Ok(None) } else { Err(DecodeError::BadLength) };
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

/// Encodes an array up to its last item, a body of `body` bytes. The body and the line end after it are left
/// to the writer.
pub fn encode_head(items: &[&[u8]], body: usize) -> Bytes {
    let mut head = Vec::with_capacity(32 + items.iter().map(|i| i.len() + MAX_LENGTH_LINE).sum::<usize>());
    head.extend(format!("*{}\r\n", items.len() + 1).as_bytes());
    for item in items {
        head.extend(format!("${}\r\n", item.len()).as_bytes());
        head.extend(*item);
        head.extend(LINE_END);
    }
    head.extend(format!("${body}\r\n").as_bytes());
    Bytes::from(head)
}
