//! What operators set for a hub: one JSON object in one file, checked whole before anything listens.
use crate::desk::{Bounds, Keeping};
use bytes::Bytes;
use harestage::time::Span;
use harestage_shape::config::ShapeConfig;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The file of a hub.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HubFile {
    /// Its name in the shape.
    pub name: String,
    /// Address and port for nodes below.
    pub listen: String,
    /// Where the control service is; absent: the shape below stays.
    #[serde(default)]
    pub control: Option<String>,
    /// The same for a service that is a group: where each of its members is.
    #[serde(default)]
    pub controls: Vec<String>,
    /// Where a control feed in the platform's form tells of purges; absent: nobody does.
    #[serde(default)]
    pub feed: Option<String>,
    /// Where the service of purges is; absent: none.
    #[serde(default)]
    pub purges: Option<String>,
    /// The same for a service that is a group: where each of its members is.
    #[serde(default)]
    pub purge_services: Vec<String>,
    /// The members of the keeper of the audit; empty: what it acts on is not recorded.
    #[serde(default)]
    pub keepers: Vec<String>,
    /// The site that it is at, for what it says of others.
    #[serde(default)]
    pub site: String,
    /// Memory for copies, in megabytes.
    #[serde(default = "usual_memory")]
    pub memory_mb: u64,
    /// Connections from below that are held at once.
    #[serde(default = "usual_connections")]
    pub connections: u64,
    /// Fills under way at once.
    #[serde(default = "usual_fills")]
    pub fills: u64,
    /// Where copies are kept that outlive a start; absent: a start is cold.
    #[serde(default)]
    pub storage: Option<StorageFile>,
    pub contents: Vec<ContentFile>,
    /// The shape that it starts from, until the service tells another.
    #[serde(default)]
    pub shape: Option<ShapeConfig>,
}

/// Copies on disk.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct StorageFile {
    /// A folder that no other hub has.
    pub folder: PathBuf,
    /// Bytes of copies, in megabytes.
    pub megabytes: u64,
}

/// The same, checked.
#[derive(Clone, Debug)]
pub struct StorageStart {
    pub folder: PathBuf,
    pub bytes: u64,
}

/// How copies of a content type are kept.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ContentFile {
    pub name: String,
    /// 0: until they are purged.
    #[serde(default)]
    pub fresh_ms: u64,
    #[serde(default)]
    pub grace_ms: u64,
    /// What a download of it is worth, against the others.
    #[serde(default = "one")]
    pub benefit: f64,
}

fn one() -> f64 {
    1.0
}

fn usual_memory() -> u64 {
    256
}
fn usual_connections() -> u64 {
    1_024
}
fn usual_fills() -> u64 {
    4_096
}

/// A hub that may start.
#[derive(Clone, Debug)]
pub struct HubStart {
    pub name: String,
    pub listen: SocketAddr,
    pub site: String,
    /// Members of the control service; none: it stands alone.
    pub controls: Vec<SocketAddr>,
    pub feed: Option<SocketAddr>,
    /// Members of the service of purges; none: it follows none.
    pub purges: Vec<SocketAddr>,
    /// Members of the keeper of the audit; none: nothing is recorded.
    pub keepers: Vec<SocketAddr>,
    /// What this program calls itself, and a hash of this file, for that record.
    pub build: String,
    pub settings: u64,
    pub storage: Option<StorageStart>,
    pub contents: HashMap<Bytes, Keeping>,
    pub shape: Option<ShapeConfig>,
    pub bounds: Bounds,
    pub limits: Limits,
    /// Whether homes are handed over when they move. No file can say no: only measurements do, for their baseline.
    pub hands_over: bool,
}

/// Sizes, counts and times that bound the sockets of a hub.
#[derive(Clone, Debug)]
pub struct Limits {
    pub connections: usize,
    /// Pulls open on one connection; past it that connection is not read.
    pub open: usize,
    /// Bytes waiting on one connection, and on all; past the first it is not read, past the second the fullest ends.
    pub unsent: usize,
    pub all_unsent: usize,
    /// A message that has begun has to end, one that is written has to be taken, and a connection at rest ends.
    pub message: Duration,
    pub stall: Duration,
    pub idle: Duration,
    pub items: usize,
    /// Of a message from below: a write that is to be refused, at most.
    pub asked_bytes: usize,
    pub body_bytes: usize,
    pub connect: Duration,
    /// A source that owes answers and sends no byte for as long is taken for gone.
    pub silence: Duration,
    pub inbox: usize,
    pub line_bytes: usize,
    pub report_every: Duration,
    pub control_silence: Duration,
    pub control_pause: Duration,
}

impl HubFile {
    /// Reads a file; an error is one line that names file, key and value.
    pub fn read(path: &Path) -> Result<HubFile, String> {
        let file = path.display();
        let text = std::fs::read(path).map_err(|why| format!("{file}: can't be read: {why}"))?;
        let mut json = serde_json::Deserializer::from_slice(&text);
        let read: HubFile = serde_path_to_error::deserialize(&mut json)
            .map_err(|why| format!("{file}: key {}: {}", why.path(), why.inner()))?;
        json.end().map_err(|why| format!("{file}: {why}"))?;
        Ok(read)
    }

    pub fn checked(self) -> Result<HubStart, String> {
        let address = |key: &str, text: &str| {
            text.parse::<SocketAddr>()
                .map_err(|_| format!("key {key}: {text:?} is not an address with a port"))
        };
        let addresses = |one: &str, first: &Option<String>, many: &str, more: &[String]| {
            let first = first.iter().map(|text| address(one, text));
            let more = more.iter().enumerate().map(|(n, text)| address(&format!("{many}[{n}]"), text));
            first.chain(more).collect::<Result<Vec<_>, String>>()
        };
        if !self.site.is_empty() && !harestage_wire::peer::is_valid_name(&self.site) {
            return Err(format!("key site: {:?} is not a name", self.site));
        }
        if !harestage_wire::peer::is_valid_name(&self.name) {
            return Err(format!(
                "key name: {:?} is not a name of letters, digits, dots and dashes",
                self.name
            ));
        }
        let within = |key: &str, value: u64, most: u64| {
            let good = (1..=most).contains(&value);
            good.then_some(value as usize).ok_or(format!("key {key}: {value} is not from 1 to {most}"))
        };
        let memory = within("memory_mb", self.memory_mb, 1 << 20)? << 20;
        let contents = self.contents.iter().map(|content| {
            let fresh = (content.fresh_ms > 0).then(|| Span::millis(content.fresh_ms));
            let keeping = Keeping { fresh, grace: Span::millis(content.grace_ms), benefit: content.benefit };
            (Bytes::from(content.name.clone().into_bytes()), keeping)
        });
        for (n, content) in self.contents.iter().enumerate() {
            if !(content.benefit.is_finite() && content.benefit > 0.0) {
                return Err(format!("key contents[{n}].benefit: {} is not above 0", content.benefit));
            }
        }
        let fills = within("fills", self.fills, 1 << 20)?;
        let storage = self.storage.as_ref().map(|storage| {
            let bytes = within("storage.megabytes", storage.megabytes, 1 << 24)? as u64;
            Ok::<_, String>(StorageStart { folder: storage.folder.clone(), bytes: bytes << 20 })
        });
        let storage = storage.transpose()?;
        let bounds = Bounds { store_bytes: memory, fills, waiters: fills * 8 };
        Ok(HubStart {
            listen: address("listen", &self.listen)?,
            controls: addresses("control", &self.control, "controls", &self.controls)?,
            purges: addresses("purges", &self.purges, "purge_services", &self.purge_services)?,
            keepers: addresses("keepers", &None, "keepers", &self.keepers)?,
            build: env!("CARGO_PKG_VERSION").into(),
            settings: harestage_audit::stamp::settings_digest(&serde_json::to_vec(&self).unwrap_or_default()),
            site: self.site.clone(),
            feed: self.feed.as_deref().map(|text| address("feed", text)).transpose()?,
            contents: contents.collect(),
            storage,
            shape: self.shape,
            bounds,
            hands_over: true,
            limits: Limits::new(within("connections", self.connections, 65_536)?, memory),
            name: self.name,
        })
    }
}

impl Limits {
    /// Times and sizes of the lines to services.
    pub fn line(&self) -> harestage_following::Line {
        harestage_following::Line {
            connect: self.connect,
            silence: self.control_silence,
            pause: self.control_pause,
            report_every: self.report_every,
            bytes: self.line_bytes,
        }
    }

    /// The bodies that the platform's protocol allows, at most.
    const BODY: usize = 240_000;
    const WRITE: usize = 48_000;

    fn new(connections: usize, memory: usize) -> Limits {
        Limits {
            connections,
            open: 512,
            unsent: 8 * Self::BODY,
            all_unsent: (memory / 4).max(16 * Self::BODY),
            message: Duration::from_secs(2),
            stall: Duration::from_secs(6),
            idle: Duration::from_secs(60),
            items: 8,
            asked_bytes: Self::WRITE,
            body_bytes: Self::BODY,
            connect: Duration::from_millis(400),
            silence: Duration::from_millis(2_500),
            inbox: 256,
            line_bytes: 8 << 20,
            report_every: Duration::from_millis(200),
            control_silence: Duration::from_secs(3),
            control_pause: Duration::from_millis(120),
        }
    }
}

/// The JSON schema of a hub's file.
pub fn schema() -> String {
    let schema = schemars::schema_for!(HubFile);
    serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
}
