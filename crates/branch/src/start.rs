//! What operators set for a branch's own feed: one JSON object in one file, checked whole before anything listens.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

/// The file of a branch's own feed.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FeedFile {
    /// What it calls itself towards the services.
    pub name: String,
    /// The branch, by its name in the shape.
    pub branch: String,
    /// Address and port for the branch's routers, as their control feed.
    pub listen: String,
    /// The members of the control service.
    pub controls: Vec<String>,
    /// The members of the service of purges; empty: there is none.
    #[serde(default)]
    pub purge_services: Vec<String>,
    /// The members of the keeper of the audit; empty: what it goes by is not recorded.
    #[serde(default)]
    pub keepers: Vec<String>,
    /// Groups that the archive knows, numbered from 0: a purge that routers have no word for is told of all of them.
    #[serde(default = "usual_groups")]
    pub groups: u32,
    /// Routers that follow it at once.
    #[serde(default = "usual_routers")]
    pub routers: u32,
}

fn usual_groups() -> u32 {
    256
}
fn usual_routers() -> u32 {
    512
}

/// A feed that may start.
#[derive(Clone, Debug)]
pub struct FeedStart {
    pub name: String,
    pub branch: String,
    pub listen: SocketAddr,
    pub controls: Vec<SocketAddr>,
    pub purges: Vec<SocketAddr>,
    pub keepers: Vec<SocketAddr>,
    /// What this program calls itself, and a hash of this file, for that record.
    pub build: String,
    pub settings: u64,
    pub groups: u32,
    pub routers: usize,
}

impl FeedFile {
    /// Reads a file; an error is one line that names file, key and value.
    pub fn read(path: &Path) -> Result<FeedFile, String> {
        let file = path.display();
        let text = std::fs::read(path).map_err(|why| format!("{file}: can't be read: {why}"))?;
        let mut json = serde_json::Deserializer::from_slice(&text);
        let read: FeedFile = serde_path_to_error::deserialize(&mut json)
            .map_err(|why| format!("{file}: key {}: {}", why.path(), why.inner()))?;
        json.end().map_err(|why| format!("{file}: {why}"))?;
        Ok(read)
    }

    pub fn checked(self) -> Result<FeedStart, String> {
        for (key, value) in [("name", &self.name), ("branch", &self.branch)] {
            if !harestage_wire::peer::is_valid_name(value) {
                return Err(format!(
                    "key {key}: {value:?} is not a name of letters, digits, dots and dashes"
                ));
            }
        }
        let one = |key: String, text: &str| {
            text.parse::<SocketAddr>()
                .map_err(|_| format!("key {key}: {text:?} is not an address with a port"))
        };
        let all = |key: &str, texts: &[String]| {
            let each = texts.iter().enumerate().map(|(n, text)| one(format!("{key}[{n}]"), text));
            each.collect::<Result<Vec<_>, String>>()
        };
        if self.controls.is_empty() {
            return Err("key controls: there has to be one at least".into());
        }
        for (key, value, most) in [("groups", self.groups, 65_536), ("routers", self.routers, 65_536)] {
            if !(1..=most).contains(&value) {
                return Err(format!("key {key}: {value} is not from 1 to {most}"));
            }
        }
        Ok(FeedStart {
            listen: one("listen".into(), &self.listen)?,
            controls: all("controls", &self.controls)?,
            purges: all("purge_services", &self.purge_services)?,
            keepers: all("keepers", &self.keepers)?,
            build: env!("CARGO_PKG_VERSION").into(),
            settings: harestage_audit::stamp::settings_digest(&serde_json::to_vec(&self).unwrap_or_default()),
            groups: self.groups,
            routers: self.routers as usize,
            name: self.name,
            branch: self.branch,
        })
    }
}

/// The JSON schema of the file.
pub fn schema() -> String {
    let schema = schemars::schema_for!(FeedFile);
    serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
}
