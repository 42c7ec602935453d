//! The shape file: JSON, checked by its types first and as a whole afterwards (`check`). A file is taken whole or
//! not at all, and a complaint is one line that names file, key and value.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

/// A shape as operators write it, and as the control service hands it out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "ShapeForm")]
pub struct ShapeConfig {
    /// The number of this version; the service gives a new one where it is absent or 0.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub version: u64,
    pub archive: ArchiveConfig,
    #[serde(default)]
    pub hubs: Vec<HubConfig>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub branches: Vec<BranchConfig>,
    /// Links between sites that don't carry everything; absent: they do.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub links: Vec<LinkConfig>,
}

/// What a link between two sites carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "LinkForm")]
pub struct LinkConfig {
    pub between: [String; 2],
    /// Fills a second, both directions together.
    pub fills: f64,
}

/// The one place that has everything.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "ArchiveForm")]
pub struct ArchiveConfig {
    pub name: String,
    /// Address and port.
    pub address: String,
    /// Fetches a second that it answers without slowing down.
    pub capacity: f64,
    /// Times its capacity at which it stops, if it is asked so much for `stops_within_ms`.
    #[serde(default = "two")]
    pub stops_at: f64,
    #[serde(default = "three_seconds")]
    pub stops_within_ms: u64,
}

/// A cache of ours above the branches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "HubForm")]
pub struct HubConfig {
    pub name: String,
    pub address: String,
    #[serde(default)]
    pub site: String,
    /// Fills a second that it gives out when it is warm.
    pub capacity: f64,
    /// Part of what it is asked for that it has to ask for itself, renewals behind answers among it, from 0 to 1.
    #[serde(default = "half")]
    pub passes: f64,
    /// Unix milliseconds of its start; 0: warm for longer than anyone needs to know.
    #[serde(default)]
    pub since_ms: u64,
    /// Part of its capacity that it has when it starts, from 0 to 1.
    #[serde(default = "tenth")]
    pub cold_from: f64,
    /// Until it is warm.
    #[serde(default = "twenty_seconds")]
    pub cold_ms: u64,
    /// Times what it can do at that moment at which it falls over, if it is asked so much for `falls_within_ms`.
    #[serde(default = "two")]
    pub falls_at: f64,
    #[serde(default = "one_second")]
    pub falls_within_ms: u64,
    /// Where it fills from, hubs of the next tier or the archive, the archive alone or not at all.
    pub up: Vec<String>,
}

/// A branch: its routers fill from the hubs that it is tied to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "BranchForm")]
pub struct BranchConfig {
    pub name: String,
    /// Where it is, for the links that its fills go over; absent: nowhere in particular.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub site: String,
    /// Fills a second that its caches ask for.
    pub load: f64,
    pub hubs: Vec<String>,
    /// Where the control service listens for this branch's routers, as their control feed; absent: nowhere.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub feed: Option<String>,
    /// The same for a service that is a group: where each of its members listens, by the member's name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub feeds: BTreeMap<String, String>,
    /// The caches that the feed names beside the hubs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub caches: Vec<CacheConfig>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "CacheForm")]
pub struct CacheConfig {
    pub name: String,
    pub address: String,
    #[serde(default)]
    pub since_ms: u64,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}
fn half() -> f64 {
    0.5
}
fn tenth() -> f64 {
    0.1
}
fn two() -> f64 {
    2.0
}
fn one_second() -> u64 {
    1_000
}
fn three_seconds() -> u64 {
    3_000
}
fn twenty_seconds() -> u64 {
    20_000
}

/// Why a file was not taken.
#[derive(Debug, PartialEq)]
pub enum ConfigError {
    Unreadable {
        file: String,
        reason: String,
    },
    /// The text ends early, is no JSON, or a key has a value that it can't have.
    Malformed {
        file: String,
        key: String,
        reason: String,
    },
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Unreadable { file, reason: why } => write!(f, "{file}: can't be read: {why}"),
            Self::Malformed { file, key, reason: why } if key == "." => write!(f, "{file}: {why}"),
            Self::Malformed { file, key, reason: why } => write!(f, "{file}: key {key}: {why}"),
        }
    }
}

impl std::error::Error for ConfigError {}

/// Reads a shape from text; `file` is named in complaints.
pub fn parse(file: &str, text: &[u8]) -> Result<ShapeConfig, ConfigError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let malformed = |key: String, why: String| ConfigError::Malformed { file: file.into(), key, reason: why };
    let form: ShapeConfig = serde_path_to_error::deserialize(&mut json)
        .map_err(|why| malformed(why.path().to_string(), why.inner().to_string()))?;
    json.end().map_err(|why| malformed(".".into(), why.to_string()))?;
    form.figures_hold().map_err(|(key, why)| malformed(key, why))?;
    Ok(form)
}

pub fn read_file(path: &Path) -> Result<ShapeConfig, ConfigError> {
    let file = path.display().to_string();
    let text = std::fs::read(path)
        .map_err(|why| ConfigError::Unreadable { file: file.clone(), reason: why.to_string() })?;
    parse(&file, &text)
}

/// The JSON schema of a shape file.
pub fn schema() -> String {
    let schema = schemars::schema_for!(ShapeConfig);
    serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
}

type Wrong = (String, String);

impl ShapeConfig {
    /// Each figure by itself; what they say of each other is `check`'s.
    fn figures_hold(&self) -> Result<(), Wrong> {
        above_zero("archive.capacity", self.archive.capacity)?;
        more_than_one("archive.stops_at", self.archive.stops_at)?;
        span("archive.stops_within_ms", self.archive.stops_within_ms)?;
        name("archive.name", &self.archive.name)?;
        address("archive.address", &self.archive.address)?;
        for (n, hub) in self.hubs.iter().enumerate() {
            let key = |field: &str| format!("hubs[{n}].{field}");
            name(&key("name"), &hub.name)?;
            address(&key("address"), &hub.address)?;
            above_zero(&key("capacity"), hub.capacity)?;
            share(&key("passes"), hub.passes)?;
            share(&key("cold_from"), hub.cold_from)?;
            more_than_one(&key("falls_at"), hub.falls_at)?;
            span(&key("falls_within_ms"), hub.falls_within_ms)?;
            span(&key("cold_ms"), hub.cold_ms)?;
        }
        for (n, branch) in self.branches.iter().enumerate() {
            let key = |field: &str| format!("branches[{n}].{field}");
            name(&key("name"), &branch.name)?;
            if !(branch.load.is_finite() && branch.load >= 0.0) {
                return Err((key("load"), format!("{} is not 0 or more", branch.load)));
            }
            branch.feed.iter().try_for_each(|feed| address(&key("feed"), feed))?;
            for (member, feed) in &branch.feeds {
                address(&key(&format!("feeds.{member}")), feed)?;
            }
            for (m, cache) in branch.caches.iter().enumerate() {
                name(&key(&format!("caches[{m}].name")), &cache.name)?;
                address(&key(&format!("caches[{m}].address")), &cache.address)?;
            }
        }
        for (n, link) in self.links.iter().enumerate() {
            above_zero(&format!("links[{n}].fills"), link.fills)?;
            for (m, site) in link.between.iter().enumerate() {
                if !self.hubs.iter().any(|hub| hub.site == *site) {
                    return Err((format!("links[{n}].between[{m}]"), format!("no hub is at site {site:?}")));
                }
            }
        }
        Ok(())
    }
}

/// The same names go into paths on the wire, so that nothing else may stand in them.
fn name(key: &str, value: &str) -> Result<(), Wrong> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let good = (1..=32).contains(&value.len()) && value.bytes().all(plain);
    good.then_some(()).ok_or_else(|| {
        (key.into(), format!("{value:?} is not a name of 1 to 32 letters, digits, dots and dashes"))
    })
}

fn address(key: &str, value: &str) -> Result<(), Wrong> {
    let good = value.parse::<std::net::SocketAddr>().is_ok();
    good.then_some(()).ok_or_else(|| (key.into(), format!("{value:?} is not an address with a port")))
}

fn above_zero(key: &str, value: f64) -> Result<(), Wrong> {
    let good = value.is_finite() && value > 0.0;
    good.then_some(()).ok_or_else(|| (key.into(), format!("{value} is not above 0")))
}

fn more_than_one(key: &str, value: f64) -> Result<(), Wrong> {
    let good = value.is_finite() && value > 1.0;
    good.then_some(()).ok_or_else(|| (key.into(), format!("{value} is not above 1")))
}

fn share(key: &str, value: f64) -> Result<(), Wrong> {
    (0.0..=1.0)
        .contains(&value)
        .then_some(())
        .ok_or_else(|| (key.into(), format!("{value} is not from 0 to 1")))
}

fn span(key: &str, ms: u64) -> Result<(), Wrong> {
    const DAY: u64 = 86_400_000;
    let good = (1..=DAY).contains(&ms);
    good.then_some(()).ok_or_else(|| (key.into(), format!("{ms} is not from 1 ms to a day")))
}
