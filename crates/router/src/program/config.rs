//! Reads and checks the configuration and fills in defaults. Every error names the key.
use super::limits::Limits;
use harestage::interface::ServiceProfile;
use harestage_profile::{NodeKinds, RouterSettings, read_profile, read_router_settings};
use harestage_wire::feed::{FeedEvent, decode_known};
use serde_json::Value;
use std::net::SocketAddr;

/// Environment variable with the path of the configuration.
pub const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";

const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_SOCKETS: u64 = 1_024;
/// The minimum for a listener, the feed, a client and a node.
const MIN_SOCKETS: u64 = 16;
const MIN_MEMORY_MB: u64 = 16;

/// The configuration of a router.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// The core's seed for random choices.
    pub seed: u64,
    pub feed: SocketAddr,
    /// Number of the last of the initial events; the feed is read from there.
    pub last_event: u64,
    /// Events that are known before the feed is read.
    pub initial_events: Vec<FeedEvent>,
    pub profile: ServiceProfile,
    pub kinds: NodeKinds,
    pub outside: RouterSettings,
    pub limits: Limits,
}

/// Reads the configuration from a file.
pub fn load(path: &str) -> Result<Config, String> {
    let text = std::fs::read(path).map_err(|why| format!("configuration {path} can't be read: {why}"))?;
    parse(&text)
}

/// Parses and checks the configuration.
pub fn parse(text: &[u8]) -> Result<Config, String> {
    let json: Value =
        serde_json::from_slice(text).map_err(|why| format!("configuration is not JSON: {why}"))?;
    if !json.is_object() {
        return Err("configuration is not a JSON object".into());
    }
    let required =
        |key: &str| json.get(key).filter(|v| !v.is_null()).ok_or(format!("needed key {key} is missing"));
    let text = |key: &str| {
        let value = required(key)?;
        value.as_str().ok_or(format!("key {key} is not a string: {value}"))
    };
    let address = |key: &str| {
        let text = text(key)?;
        text.parse::<SocketAddr>().map_err(|_| format!("key {key} is not an address: {text}"))
    };
    let limit = |key: &str, default: u64, min: u64| {
        let Some(value) = json.get("limits").and_then(|l| l.get(key)) else { return Ok(default) };
        let number = value.as_f64().filter(|n| *n >= min as f64);
        number.map(|n| n as u64).ok_or(format!("key limits.{key} is not a number of {min} or more: {value}"))
    };
    let seed = text("seed")?;
    let seed = u64::from_str_radix(seed, 16).map_err(|_| format!("key seed is not a hex number: {seed}"))?;
    let (last_event, initial_events) = decode_known(required("known")?)?;
    let settings = required("settings")?;
    let in_settings = |why: String| format!("settings: {why}");
    let (profile, kinds) = read_profile(settings).map_err(in_settings)?;
    let outside = read_router_settings(settings).map_err(in_settings)?;
    let memory_mb = limit("memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB)? as usize;
    let sockets = limit("sockets", DEFAULT_SOCKETS, MIN_SOCKETS)? as usize;
    Ok(Config {
        name: text("name")?.to_string(),
        listen: address("listen")?,
        seed,
        feed: address("feed")?,
        last_event,
        initial_events,
        limits: Limits::new(memory_mb, sockets, &outside),
        profile,
        kinds,
        outside,
    })
}
