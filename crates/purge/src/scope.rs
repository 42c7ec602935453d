//! Scope of a purge. A scope is validated and compiled once, when a purge is submitted. One that is
//! malformed, too expensive, or would cover everything without saying so is refused with a one-line error.
use globset::{GlobBuilder, GlobMatcher};
use regex::{Regex, RegexBuilder};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Maximum number of tags in a purge.
pub const MAX_TAGS: usize = 16;
/// Maximum length of a tag in bytes.
pub const MAX_TAG_BYTES: usize = 64;
/// Maximum length of a prefix or pattern in bytes.
pub const MAX_PATTERN_BYTES: usize = 256;
/// Maximum size of a compiled pattern in bytes.
const MAX_COMPILED_PATTERN_BYTES: usize = 64 << 10;
/// Names on which a pattern is tried first. A pattern that matches all of them counts as covering
/// everything.
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

/// Reason why a scope is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScopeError {
    /// The id of the object is not 16 hex digits.
    InvalidObject(String),
    /// There are no tags or too many.
    TagCount { count: usize },
    /// A tag is empty, too long or not printable.
    InvalidTag(String),
    /// The pattern cannot be compiled.
    InvalidPattern { pattern: String, reason: String },
    /// The prefix or pattern is too long.
    PatternTooLong { pattern: String, bytes: usize },
    /// The pattern covers everything without saying so.
    CoversAll { pattern: String },
}

impl fmt::Display for ScopeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::InvalidObject(text) => write!(f, "object {text:?} is not 16 hex digits"),
            Self::TagCount { count } => write!(f, "{count} tags given, 1 to {MAX_TAGS} are allowed"),
            Self::InvalidTag(tag) => {
                write!(f, "tag {tag:?} is not 1 to {MAX_TAG_BYTES} printable characters")
            }
            Self::InvalidPattern { pattern, reason } => write!(f, "pattern {pattern:?}: {reason}"),
            Self::PatternTooLong { pattern, bytes } => {
                let start: String = pattern.chars().take(24).collect();
                write!(f, "pattern {start:?}… has {bytes} bytes, at most {MAX_PATTERN_BYTES} are allowed")
            }
            Self::CoversAll { pattern } => {
                write!(
                    f,
                    "pattern {pattern:?} covers everything: use the scope of everything if that is intended"
                )
            }
        }
    }
}

impl std::error::Error for ScopeError {}

/// Validated scope with its patterns compiled.
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

/// Compiled pattern with the literal prefix of all names it can match.
#[derive(Clone, Debug)]
pub struct Pattern {
    pub literal: String,
    matcher: Matcher,
}

/// Compiled form of a pattern.
#[derive(Clone, Debug)]
enum Matcher {
    Glob(GlobMatcher),
    Regex(Regex),
}

impl Pattern {
    /// Returns whether a name matches the pattern.
    pub fn matches(&self, name: &str) -> bool {
        match &self.matcher {
            Matcher::Glob(glob) => glob.is_match(name),
            Matcher::Regex(regex) => regex.is_match(name),
        }
    }
}

impl Scope {
    /// Total size of its strings in bytes.
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

    /// Validates and compiles the scope.
    pub fn compile(&self) -> Result<CompiledScope, ScopeError> {
        Ok(match self {
            Scope::Object(text) => CompiledScope::Object(object(text)?),
            Scope::Part { object: text, part } => CompiledScope::Part(object(text)?, *part),
            Scope::Group(group) => CompiledScope::Group(*group),
            Scope::AllTags(tag_set) => CompiledScope::AllTags(tags(tag_set)?),
            Scope::AnyTag(tag_set) => CompiledScope::AnyTag(tags(tag_set)?),
            Scope::Prefix(prefix) => {
                check_length(prefix)?;
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

fn tags(tag_set: &BTreeSet<String>) -> Result<Vec<String>, ScopeError> {
    if !(1..=MAX_TAGS).contains(&tag_set.len()) {
        return Err(ScopeError::TagCount { count: tag_set.len() });
    }
    let is_printable =
        |tag: &String| (1..=MAX_TAG_BYTES).contains(&tag.len()) && tag.bytes().all(|b| b.is_ascii_graphic());
    match tag_set.iter().find(|tag| !is_printable(tag)) {
        Some(tag) => Err(ScopeError::InvalidTag(tag.chars().take(40).collect())),
        None => Ok(tag_set.iter().cloned().collect()),
    }
}

/// Refuses texts that are too long.
fn check_length(pattern: &str) -> Result<(), ScopeError> {
    let bytes = pattern.len();
    if bytes > MAX_PATTERN_BYTES {
        Err(ScopeError::PatternTooLong { pattern: pattern.into(), bytes })
    } else {
        Ok(())
    }
}

fn glob(text: &str) -> Result<Pattern, ScopeError> {
    check_length(text)?;
    let built = GlobBuilder::new(text).literal_separator(true).backslash_escape(true).build();
    let built = built.map_err(|reason| ScopeError::InvalidPattern {
        pattern: text.into(),
        reason: reason.kind().to_string(),
    })?;
    let literal: String = text.chars().take_while(|c| !"*?[{\\".contains(*c)).collect();
    reject_match_all(Pattern { literal, matcher: Matcher::Glob(built.compile_matcher()) }, text)
}

fn regex(text: &str) -> Result<Pattern, ScopeError> {
    check_length(text)?;
    let invalid = |reason: String| ScopeError::InvalidPattern { pattern: text.into(), reason };
    // Compiled on its own first: otherwise an unmatched parenthesis could close the group that is put around
    // the text.
    RegexBuilder::new(text)
        .size_limit(MAX_COMPILED_PATTERN_BYTES)
        .build()
        .map_err(|reason| invalid(single_line(&reason.to_string())))?;
    let anchored = RegexBuilder::new(&format!("^(?:{text})$"))
        .size_limit(MAX_COMPILED_PATTERN_BYTES)
        .nest_limit(24)
        .build();
    let anchored = anchored.map_err(|reason| invalid(single_line(&reason.to_string())))?;
    let literal: String =
        text.chars().take_while(|c| c.is_ascii_alphanumeric() || "-_/".contains(*c)).collect();
    // The next character may make the last literal one optional, or start an alternative without the prefix.
    let after = text[literal.len()..].chars().next();
    let last_is_optional = matches!(after, Some('*' | '?' | '{')) || text.contains('|');
    let literal_length = if last_is_optional { literal.len().saturating_sub(1) } else { literal.len() };
    let literal = if text.contains('|') { String::new() } else { literal[..literal_length].to_string() };
    reject_match_all(Pattern { literal, matcher: Matcher::Regex(anchored) }, text)
}

fn single_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Refuses a pattern that matches all sample names.
fn reject_match_all(pattern: Pattern, text: &str) -> Result<Pattern, ScopeError> {
    if SAMPLES.iter().all(|name| pattern.matches(name)) {
        return Err(ScopeError::CoversAll { pattern: text.into() });
    }
    Ok(pattern)
}

/// Attributes of an object or a copy, as far as they are known. A purge that depends on an unknown attribute
/// covers the copy: fetching a copy once too often is better than serving one that should be gone.
#[derive(Clone, Copy, Debug)]
pub struct CopyAttributes<'a> {
    pub object: u64,
    pub part: u32,
    pub group: Option<u32>,
    pub name: Option<&'a str>,
    /// All tags in sorted order, or `None` if they are unknown.
    pub tags: Option<&'a [&'a str]>,
}

impl CompiledScope {
    /// Returns whether the purge covers a copy. The index answers the same for many purges at once; this is
    /// the reference implementation.
    pub fn covers(&self, copy: &CopyAttributes) -> bool {
        let tag = |tag: &String| copy.tags.is_none_or(|tags| tags.contains(&tag.as_str()));
        match self {
            CompiledScope::Object(object) => *object == copy.object,
            CompiledScope::Part(object, part) => (*object, *part) == (copy.object, copy.part),
            CompiledScope::Group(group) => copy.group.is_none_or(|known| known == *group),
            CompiledScope::AllTags(tags) => tags.iter().all(tag),
            CompiledScope::AnyTag(tags) => tags.iter().any(tag),
            CompiledScope::Prefix(prefix) => copy.name.is_none_or(|name| name.starts_with(prefix.as_str())),
            CompiledScope::Pattern(pattern) => copy.name.is_none_or(|name| pattern.matches(name)),
            CompiledScope::Everything => true,
        }
    }
}
