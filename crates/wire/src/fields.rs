//! Field lists of the form `name=value,name=value`. An empty list is written as `-` to nodes.
use bytes::Bytes;

/// Sixteen hex digits, kept exactly as they were received.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct HexId([u8; 16]);

impl HexId {
    /// `None` if the text is not sixteen hex digits.
    pub fn parse(text: &[u8]) -> Option<HexId> {
        let digits: [u8; 16] = text.try_into().ok()?;
        digits.iter().all(u8::is_ascii_hexdigit).then_some(HexId(digits))
    }

    /// The number in lower-case digits.
    pub fn from_u64(number: u64) -> HexId {
        let mut digits = [b'0'; 16];
        digits.copy_from_slice(format!("{number:016x}").as_bytes());
        HexId(digits)
    }

    /// The value of the digits.
    pub fn as_u64(&self) -> u64 {
        let digits = std::str::from_utf8(&self.0).unwrap_or_default();
        u64::from_str_radix(digits, 16).unwrap_or_default()
    }

    /// The digits as received.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

/// Names and values in order; entries without `=` are skipped.
pub fn parse_pairs(list: &[u8]) -> impl Iterator<Item = (&[u8], &[u8])> {
    list.split(|b| *b == b',').filter_map(|entry| {
        let at = entry.iter().position(|b| *b == b'=')?;
        Some((&entry[..at], &entry[at + 1..]))
    })
}

/// Like [`parse_pairs`], with values that may be kept; each keeps the whole list in memory.
pub fn parse_list(list: &Bytes) -> impl Iterator<Item = (&[u8], Bytes)> {
    parse_pairs(list).map(|(name, value)| (name, list.slice_ref(value)))
}

/// Parses an unsigned decimal number in canonical form: no sign, no leading zero. The text is forwarded, and
/// a peer must read the same number.
pub fn parse_integer(value: &[u8]) -> Option<u64> {
    let usual = value.iter().all(u8::is_ascii_digit) && (value.len() == 1 || !value.starts_with(b"0"));
    parse_number(value).filter(|_| usual)
}

/// Parses any number that `T` reads.
pub fn parse_number<T: std::str::FromStr>(value: &[u8]) -> Option<T> {
    std::str::from_utf8(value).ok()?.parse().ok()
}

/// Builds a field list.
#[derive(Default)]
pub struct Fields(String);

impl Fields {
    /// Appends a field.
    pub fn with(mut self, name: &str, value: impl std::fmt::Display) -> Self {
        use std::fmt::Write;
        let comma = if self.0.is_empty() { "" } else { "," };
        let _ = write!(self.0, "{comma}{name}={value}");
        self
    }

    /// Appends a field if there is a value.
    pub fn with_some(self, name: &str, value: Option<impl std::fmt::Display>) -> Self {
        match value {
            Some(value) => self.with(name, value),
            None => self,
        }
    }

    /// The list as text; an empty list is written as the peer expects it.
    pub fn or_if_empty(self, empty: &str) -> String {
        if self.0.is_empty() { empty.to_string() } else { self.0 }
    }
}
