//! What a purge covers. A scope is checked once, when it is asked for: what can't be read, costs too much, or would
//! cover everything without saying so is refused in one line.
use globset::{GlobBuilder, GlobMatcher};
use regex::{Regex, RegexBuilder};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Tags that one purge may name, and bytes of a tag.
pub const MAX_TAGS: usize = 16;
pub const MAX_TAG_BYTES: usize = 64;
/// Bytes of a prefix or pattern.
pub const MAX_PATTERN_BYTES: usize = 256;
/// Bytes that a compiled pattern may take.
const PATTERN_ROOM: usize = 64 << 10;
/// Names that a pattern is tried on before it is taken: one that matches them all covers everything.
const SAMPLES: [&str; 12] = [
    "0",
    "f",
    "7f3a9c21e0b4d655",
    "0000000000000000",
    "ffffffffffffffff",
    "a",
    "case/17/page",
    "clip.mp4",
    "x-1",
    "Z",
    "index",
    "9b1f03aa5c7e2d41",
];

/// What is purged, as it is asked for and written down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Scope {
    /// 16 hex digits.
    Object(String),
    Part {
        object: String,
        part: u32,
    },
    Group(u32),
    AllTags(BTreeSet<String>),
    AnyTag(BTreeSet<String>),
    /// Of the object's name.
    Prefix(String),
    /// `*`, `?`, `[a-z]` and `{a,b}`; `*` stops at a slash, `**` does not.
    Glob(String),
    /// The whole name has to match.
    Regex(String),
    Everything,
}

/// Why a scope is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScopeError {
    InvalidObject(String),
    TagCount {
        count: usize,
    },
    InvalidTag(String),
    InvalidPattern {
        pattern: String,
        reason: String,
    },
    PatternTooLong {
        pattern: String,
        bytes: usize,
    },
    /// It would cover everything, and does not say so.
    CoversAll {
        pattern: String,
    },
}

impl fmt::Display for ScopeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::InvalidObject(text) => write!(f, "object {text:?} is not 16 hex digits"),
            Self::TagCount { count } => write!(f, "{count} tags are not 1 to {MAX_TAGS}"),
            Self::InvalidTag(tag) => {
                write!(f, "tag {tag:?} is not 1 to {MAX_TAG_BYTES} printable characters")
            }
            Self::InvalidPattern { pattern, reason } => write!(f, "pattern {pattern:?}: {reason}"),
            Self::PatternTooLong { pattern, bytes } => {
                let start: String = pattern.chars().take(24).collect();
                write!(f, "pattern {start:?}… has {bytes} bytes, and {MAX_PATTERN_BYTES} at most")
            }
            Self::CoversAll { pattern } => {
                write!(f, "pattern {pattern:?} covers everything: ask for everything if that is meant")
            }
        }
    }
}

impl std::error::Error for ScopeError {}

/// A scope that may be used: its patterns are compiled, once.
#[derive(Clone, Debug)]
pub enum CompiledScope {
    Object(u64),
    Part(u64, u32),
    Group(u32),
    AllTags(Vec<String>),
    AnyTag(Vec<String>),
    Prefix(String),
    Pattern(Pattern),
    Everything,
}

/// A compiled pattern, and the letters that every name it matches begins with.
#[derive(Clone, Debug)]
pub struct Pattern {
    pub literal: String,
    matcher: Matcher,
}

#[derive(Clone, Debug)]
enum Matcher {
    Glob(GlobMatcher),
    Regex(Regex),
}

impl Pattern {
    pub fn matches(&self, name: &str) -> bool {
        match &self.matcher {
            Matcher::Glob(glob) => glob.is_match(name),
            Matcher::Regex(regex) => regex.is_match(name),
        }
    }
}

impl Scope {
    /// Bytes of its texts.
    pub fn text_bytes(&self) -> usize {
        match self {
            Scope::Object(text) | Scope::Prefix(text) | Scope::Glob(text) | Scope::Regex(text) => text.len(),
            Scope::Part { object, .. } => object.len(),
            Scope::AllTags(tags) | Scope::AnyTag(tags) => {
                tags.iter().map(|tag| tag.len() + size_of::<String>()).sum()
            }
            Scope::Group(_) | Scope::Everything => 0,
        }
    }

    pub fn compile(&self) -> Result<CompiledScope, ScopeError> {
        Ok(match self {
            Scope::Object(text) => CompiledScope::Object(object(text)?),
            Scope::Part { object: text, part } => CompiledScope::Part(object(text)?, *part),
            Scope::Group(group) => CompiledScope::Group(*group),
            Scope::AllTags(set) => CompiledScope::AllTags(tags(set)?),
            Scope::AnyTag(set) => CompiledScope::AnyTag(tags(set)?),
            Scope::Prefix(prefix) => {
                bounded(prefix)?;
                if prefix.is_empty() {
                    return Err(ScopeError::CoversAll { pattern: prefix.clone() });
                }
                CompiledScope::Prefix(prefix.clone())
            }
            Scope::Glob(text) => CompiledScope::Pattern(glob(text)?),
            Scope::Regex(text) => CompiledScope::Pattern(regex(text)?),
            Scope::Everything => CompiledScope::Everything,
        })
    }
}

fn object(text: &str) -> Result<u64, ScopeError> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, 16).ok().filter(|_| digits);
    number.ok_or_else(|| ScopeError::InvalidObject(text.chars().take(40).collect()))
}

fn tags(set: &BTreeSet<String>) -> Result<Vec<String>, ScopeError> {
    if !(1..=MAX_TAGS).contains(&set.len()) {
        return Err(ScopeError::TagCount { count: set.len() });
    }
    let printable =
        |tag: &String| (1..=MAX_TAG_BYTES).contains(&tag.len()) && tag.bytes().all(|b| b.is_ascii_graphic());
    match set.iter().find(|tag| !printable(tag)) {
        Some(tag) => Err(ScopeError::InvalidTag(tag.chars().take(40).collect())),
        None => Ok(set.iter().cloned().collect()),
    }
}

fn bounded(pattern: &str) -> Result<(), ScopeError> {
    let bytes = pattern.len();
    if bytes > MAX_PATTERN_BYTES {
        Err(ScopeError::PatternTooLong { pattern: pattern.into(), bytes })
    } else {
        Ok(())
    }
}

fn glob(text: &str) -> Result<Pattern, ScopeError> {
    bounded(text)?;
    let built = GlobBuilder::new(text).literal_separator(true).backslash_escape(true).build();
    let built = built.map_err(|reason| ScopeError::InvalidPattern {
        pattern: text.into(),
        reason: reason.kind().to_string(),
    })?;
    let literal: String = text.chars().take_while(|c| !"*?[{\\".contains(*c)).collect();
    narrow(Pattern { literal, matcher: Matcher::Glob(built.compile_matcher()) }, text)
}

fn regex(text: &str) -> Result<Pattern, ScopeError> {
    bounded(text)?;
    let wrong = |reason: String| ScopeError::InvalidPattern { pattern: text.into(), reason };
    // Parsed by itself first: an unmatched bracket must not close the group that is put round it.
    RegexBuilder::new(text)
        .size_limit(PATTERN_ROOM)
        .build()
        .map_err(|reason| wrong(one_line(&reason.to_string())))?;
    let whole = RegexBuilder::new(&format!("^(?:{text})$")).size_limit(PATTERN_ROOM).nest_limit(24).build();
    let whole = whole.map_err(|reason| wrong(one_line(&reason.to_string())))?;
    let literal: String =
        text.chars().take_while(|c| c.is_ascii_alphanumeric() || "-_/".contains(*c)).collect();
    // What follows a letter may make it optional, or give the whole another beginning.
    let after = text[literal.len()..].chars().next();
    let loose = matches!(after, Some('*' | '?' | '{')) || text.contains('|');
    let kept = if loose { literal.len().saturating_sub(1) } else { literal.len() };
    let literal = if text.contains('|') { String::new() } else { literal[..kept].to_string() };
    narrow(Pattern { literal, matcher: Matcher::Regex(whole) }, text)
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

fn narrow(pattern: Pattern, text: &str) -> Result<Pattern, ScopeError> {
    if SAMPLES.iter().all(|name| pattern.matches(name)) {
        return Err(ScopeError::CoversAll { pattern: text.into() });
    }
    Ok(pattern)
}

/// What is known of an object or a copy of it. What is not known counts as covered by every purge that asks for it: a
/// copy too many is fetched anew, and none is served that should be gone.
#[derive(Clone, Copy, Debug)]
pub struct CopyAttributes<'a> {
    pub object: u64,
    pub part: u32,
    pub group: Option<u32>,
    pub name: Option<&'a str>,
    /// None: not told. A slice: all of them, in order.
    pub tags: Option<&'a [&'a str]>,
}

impl CompiledScope {
    /// Whether the purge covers it. The index answers the same for many purges at once; this is the plain way.
    pub fn covers(&self, facts: &CopyAttributes) -> bool {
        let tag = |tag: &String| facts.tags.is_none_or(|tags| tags.contains(&tag.as_str()));
        match self {
            CompiledScope::Object(object) => *object == facts.object,
            CompiledScope::Part(object, part) => (*object, *part) == (facts.object, facts.part),
            CompiledScope::Group(group) => facts.group.is_none_or(|own| own == *group),
            CompiledScope::AllTags(tags) => tags.iter().all(tag),
            CompiledScope::AnyTag(tags) => tags.iter().any(tag),
            CompiledScope::Prefix(prefix) => facts.name.is_none_or(|name| name.starts_with(prefix.as_str())),
            CompiledScope::Pattern(pattern) => facts.name.is_none_or(|name| pattern.matches(name)),
            CompiledScope::Everything => true,
        }
    }
}
