//! Incremental decoder for RESP arrays of bulk strings, with bounds.
use crate::memory::{MemoryCounter, Reservation};
use bytes::Bytes;
use std::fmt;

mod spare_buffer;

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
    MessageTooLong,
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
            DecodeError::MessageTooLong => write!(f, "a message over the size limit"),
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

impl Bounds {
    /// Most bytes in the items of one message: one of the largest, and as much for all others together.
    fn max_message_bytes(&self) -> usize {
        self.max_item_bytes.saturating_mul(2)
    }
}

/// Longest item in bytes that a discarded message keeps, so that the message can be answered.
const MAX_KEPT_ITEM: usize = 64;

/// Shorter items are counted with their message. A longer one is counted until its last holder drops it.
const MIN_COUNTED_ITEM: usize = 512;

enum Stage {
    Array,
    Length,
    Item,
    ItemEnd,
}

/// Accepts bytes in pieces of any size and returns complete arrays.
///
/// Between messages it holds next to no memory: the read buffer is only there while it has bytes in it.
pub struct Decoder {
    bounds: Bounds,
    /// Size of the read buffer for short items and lengths.
    buffer_size: usize,
    buffer: Vec<u8>,
    start: usize,
    end: usize,
    stage: Stage,
    items_left: usize,
    items: Vec<Bytes>,
    /// Bytes of the message's items so far, the one that is being read included.
    message_bytes: usize,
    /// The item being read, with the memory allocated so far.
    item: Vec<u8>,
    /// Its full length.
    item_length: usize,
    /// Bytes of it that have arrived.
    received: usize,
    counter: MemoryCounter,
    /// What this decoder holds itself: its buffer, the item being read and the short ones before it.
    reservation: Reservation,
    is_discarding: bool,
    was_discarded: bool,
}

impl Decoder {
    /// `buffer`: bytes of the buffer for short items and lengths.
    pub fn new(bounds: Bounds, buffer: usize) -> Decoder {
        Decoder::with_counter(bounds, buffer, MemoryCounter::default())
    }

    /// A decoder whose memory is counted, and that of its long items until their last holder drops them.
    pub fn with_counter(bounds: Bounds, buffer: usize, counter: MemoryCounter) -> Decoder {
        Decoder {
            bounds,
            buffer_size: buffer.max(MAX_LENGTH_LINE),
            buffer: Vec::new(),
            start: 0,
            end: 0,
            stage: Stage::Array,
            items_left: 0,
            items: Vec::new(),
            message_bytes: 0,
            item: Vec::new(),
            item_length: 0,
            received: 0,
            reservation: counter.reserve(0),
            counter,
            is_discarding: false,
            was_discarded: false,
        }
    }

    /// Where the next bytes are to be written. A long item is read directly into its final place.
    pub fn read_buffer(&mut self) -> &mut [u8] {
        if self.reads_into_item() {
            if self.received == self.item.len() {
                self.grow_item(self.item.len() * 2);
            }
            return &mut self.item[self.received..];
        }
        if self.buffer.len() < self.buffer_size {
            let unread = std::mem::replace(&mut self.buffer, spare_buffer::take(self.buffer_size));
            self.buffer[..self.end].copy_from_slice(&unread[..self.end]);
        }
        self.buffer.copy_within(self.start..self.end, 0);
        (self.start, self.end) = (0, self.end - self.start);
        &mut self.buffer[self.end..]
    }

    /// Says that so many bytes were written to [`Self::read_buffer`].
    pub fn commit(&mut self, bytes: usize) {
        if self.reads_into_item() {
            self.received += bytes;
        } else {
            self.end += bytes;
        }
    }

    /// Whether part of a message has arrived.
    pub fn is_mid_message(&self) -> bool {
        self.start != self.end || !matches!(self.stage, Stage::Array)
    }

    /// Bytes that the message being read holds.
    pub fn held_bytes(&self) -> usize {
        self.item.len() + self.items.iter().map(Bytes::len).sum::<usize>()
    }

    /// Bytes that the item being read still lacks memory for.
    pub fn missing_item_bytes(&self) -> usize {
        if matches!(self.stage, Stage::Item) { self.item_length - self.item.len() } else { 0 }
    }

    /// Allocates the rest of the item being read at once.
    pub fn allocate_item(&mut self) {
        self.grow_item(self.item_length);
    }

    /// Whether discarding the message being read would free memory.
    pub fn can_discard(&self) -> bool {
        !self.is_discarding && self.held_bytes() > MAX_KEPT_ITEM * self.bounds.max_items
    }

    /// Drops the long items of the message being read, and goes on reading it without keeping any.
    pub fn discard_message(&mut self) {
        self.is_discarding = !matches!(self.stage, Stage::Array);
        self.items.iter_mut().filter(|item| item.len() > MAX_KEPT_ITEM).for_each(|item| *item = Bytes::new());
        if !self.keeps_item() {
            self.item = Vec::new();
        }
        self.count_memory();
    }

    /// Whether the last complete message was discarded: its long items came out empty.
    pub fn was_discarded(&self) -> bool {
        self.was_discarded
    }

    /// The next complete array, if there is one.
    pub fn next_message(&mut self) -> Result<Option<Vec<Bytes>>, DecodeError> {
        let message = self.decode_message();
        if !matches!(message, Ok(Some(_))) {
            self.release_buffer();
        }
        self.count_memory();
        message
    }

    fn decode_message(&mut self) -> Result<Option<Vec<Bytes>>, DecodeError> {
        loop {
            match self.stage {
                Stage::Array => {
                    let Some(items) = self.read_length(b'*')? else { return Ok(None) };
                    if items > self.bounds.max_items {
                        return Err(DecodeError::TooManyItems);
                    }
                    (self.items_left, self.message_bytes) = (items, 0);
                    self.items = Vec::with_capacity(items);
                    self.was_discarded = false;
                    if items == 0 {
                        return Ok(Some(Vec::new()));
                    }
                    self.stage = Stage::Length;
                }
                Stage::Length => {
                    let Some(length) = self.read_length(b'$')? else { return Ok(None) };
                    self.start_item(length)?;
                }
                Stage::Item => {
                    self.take_item_bytes();
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
                    self.finish_item();
                    if self.items_left == 0 {
                        self.stage = Stage::Array;
                        self.was_discarded = std::mem::take(&mut self.is_discarding);
                        return Ok(Some(std::mem::take(&mut self.items)));
                    }
                    self.stage = Stage::Length;
                }
            }
        }
    }

    fn start_item(&mut self, length: usize) -> Result<(), DecodeError> {
        if length > self.bounds.max_item_bytes {
            return Err(DecodeError::ItemTooLong);
        }
        self.message_bytes += length;
        if self.message_bytes > self.bounds.max_message_bytes() {
            return Err(DecodeError::MessageTooLong);
        }
        (self.item, self.item_length, self.received) = (Vec::new(), length, 0);
        self.stage = Stage::Item;
        if self.keeps_item() {
            self.grow_item(self.bounds.initial_item_capacity);
        }
        Ok(())
    }

    /// Moves bytes of the item from the buffer.
    fn take_item_bytes(&mut self) {
        let more = (self.item_length - self.received).min(self.end - self.start);
        if self.keeps_item() {
            if self.received + more > self.item.len() {
                self.grow_item(self.received + more);
            }
            let part = &self.buffer[self.start..self.start + more];
            self.item[self.received..self.received + more].copy_from_slice(part);
        }
        (self.start, self.received) = (self.start + more, self.received + more);
    }

    fn finish_item(&mut self) {
        let item = std::mem::take(&mut self.item);
        let item = if item.len() < MIN_COUNTED_ITEM {
            Bytes::from(item)
        } else {
            self.counter.reserve(item.capacity()).attach(item)
        };
        self.items.push(item);
        self.items_left -= 1;
    }

    fn keeps_item(&self) -> bool {
        !self.is_discarding || self.item_length <= MAX_KEPT_ITEM
    }

    fn reads_into_item(&self) -> bool {
        matches!(self.stage, Stage::Item) && self.start == self.end && self.keeps_item()
    }

    fn grow_item(&mut self, wanted: usize) {
        let capacity = wanted.max(self.bounds.initial_item_capacity).max(1).min(self.item_length);
        if capacity > self.item.len() {
            // Memory that is allocated with zeros is mostly not written twice.
            let mut item = vec![0; capacity];
            item[..self.received].copy_from_slice(&self.item[..self.received]);
            self.item = item;
        }
    }

    /// Frees the read buffer but for the unread bytes: less than a length line once nothing more can be
    /// decoded. To be called before a wait for more.
    pub fn release_buffer(&mut self) {
        if self.buffer.len() < self.buffer_size {
            return;
        }
        let unread = self.buffer[self.start..self.end].to_vec();
        (self.start, self.end) = (0, unread.len());
        spare_buffer::put_back(std::mem::replace(&mut self.buffer, unread));
        self.count_memory();
    }

    fn count_memory(&mut self) {
        let short_items = self.items.iter().map(Bytes::len).filter(|length| *length < MIN_COUNTED_ITEM);
        let held = self.item.len() + self.buffer.capacity() + short_items.sum::<usize>();
        if held != self.reservation.bytes() {
            self.reservation.resize(held);
        }
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
