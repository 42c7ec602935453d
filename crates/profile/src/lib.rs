//! Reads the settings object of a router into the policy's `ServiceProfile`. The simulator's adapter and the router
//! share this reader, so that both give the policy the same profile.
use harestage::interface::{ContentType, ServiceProfile};
use harestage::state::{DedupeScope, Idempotency};
use harestage::time::Span;
use serde_json::Value;

/// The error says which key is wrong and why.
type ReadResult<T> = Result<T, String>;

/// A value within the settings, with its path for error messages.
struct Setting<'a> {
    value: &'a Value,
    /// Such as `Classes[0].Aim`; empty for the whole object.
    path: String,
}

impl<'a> Setting<'a> {
    /// The value of a key, unless it is missing or null.
    fn get(&self, key: &str) -> Option<Setting<'a>> {
        let value = self.value.get(key).filter(|v| !v.is_null())?;
        let path = if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) };
        Some(Setting { value, path })
    }
    /// The value of a key, or an error that it is missing.
    fn require(&self, key: &str) -> ReadResult<Setting<'a>> {
        self.get(key)
            .ok_or_else(|| format!("needed key {}.{key} is missing", self.path).replace("key .", "key "))
    }
    /// An error that the value is not what was expected.
    fn invalid<T>(&self, expected: &str) -> ReadResult<T> {
        Err(format!("key {} is not {expected}: {}", self.path, self.value))
    }
    fn number(&self) -> ReadResult<f64> {
        self.value.as_f64().map_or_else(|| self.invalid("a number"), Ok)
    }
    /// A length of time, which the settings give in microseconds.
    fn span(&self) -> ReadResult<Span> {
        let micros = self.number()?;
        if micros >= 0.0 {
            Ok(Span::micros(micros as u64))
        } else {
            self.invalid("a duration of 0 or more microseconds")
        }
    }
    fn at_least_one(&self) -> ReadResult<f64> {
        let number = self.number()?;
        if number >= 1.0 { Ok(number) } else { self.invalid("1 or more") }
    }
    fn boolean(&self) -> ReadResult<bool> {
        self.value.as_bool().map_or_else(|| self.invalid("true or false"), Ok)
    }
    fn text(&self) -> ReadResult<&'a str> {
        self.value.as_str().map_or_else(|| self.invalid("a string"), Ok)
    }
    fn list(&self) -> ReadResult<Vec<Setting<'a>>> {
        let Some(values) = self.value.as_array() else { return self.invalid("a list") };
        let item = |(n, value)| Setting { value, path: format!("{}[{n}]", self.path) };
        Ok(values.iter().enumerate().map(item).collect())
    }
    fn numbers(&self) -> ReadResult<Vec<f64>> {
        self.list()?.iter().map(Setting::number).collect()
    }
    fn boolean_or(&self, key: &str, absent: bool) -> ReadResult<bool> {
        self.get(key).map_or(Ok(absent), |setting| setting.boolean())
    }
    fn number_or(&self, key: &str, absent: f64) -> ReadResult<f64> {
        self.get(key).map_or(Ok(absent), |setting| setting.number())
    }
    fn span_or(&self, key: &str) -> ReadResult<Span> {
        self.get(key).map_or(Ok(Span::ZERO), |setting| setting.span())
    }
    fn numbers_or(&self, key: &str) -> ReadResult<Vec<f64>> {
        self.get(key).map_or(Ok(Vec::new()), |setting| setting.numbers())
    }
    /// Index of a machine kind; none if it is missing or negative.
    fn kind(&self, key: &str) -> ReadResult<Option<u8>> {
        Ok(self.get(key).map(|setting| setting.number()).transpose()?.filter(|n| *n >= 0.0).map(|n| n as u8))
    }
}

/// The machine kinds that are not caches, as indices into the list of kinds.
#[derive(Clone, Copy, Debug)]
pub struct NodeKinds {
    pub parent: Option<u8>,
    pub origin: Option<u8>,
}

/// What the settings say about names and connections, which the policy never sees.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// Names of content types, zones and machine kinds. The policy knows them by their index.
    pub contents: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub connect_timeout: Span,
    /// Time after which a node closes an idle connection.
    pub idle_timeout: Span,
    /// Maximum number of pulls at the same time over one connection.
    pub pulls_per_connection: usize,
    /// Maximum number of downloads that a router may hold.
    pub max_held_downloads: usize,
    /// Maximum time after which a throttled client may be told to come back; zero: clients are told nothing.
    pub max_retry_after: Span,
    /// The longest deadline of any content type.
    pub max_wait: Span,
}

/// Reads the profile from the text of a settings object.
pub fn read_settings(text: &[u8]) -> ReadResult<(ServiceProfile, NodeKinds)> {
    let json: Value = serde_json::from_slice(text).map_err(|e| format!("settings are not JSON: {e}"))?;
    read_profile(&json)
}

/// Reads the settings that only a router on sockets needs.
pub fn read_router_settings(json: &Value) -> ReadResult<RouterSettings> {
    let top = Setting { value: json, path: String::new() };
    let allowed = top.require("Allowed")?;
    let names = |key: &str| -> ReadResult<Vec<String>> {
        top.require(key)?.list()?.iter().map(|setting| setting.text().map(str::to_string)).collect()
    };
    let classes = top.require("Classes")?.list()?;
    let contents = classes.iter().map(|class| class.require("Name")?.text().map(str::to_string));
    // A content type without a hard limit may have any deadline.
    let waits =
        classes.iter().map(|class| class.get("HardLimit").map_or(Ok(Span::MAX), |setting| setting.span()));
    let waits: Vec<Span> = waits.collect::<ReadResult<_>>()?;
    Ok(RouterSettings {
        max_wait: waits.into_iter().max().unwrap_or(Span::MAX),
        max_retry_after: max_retry_after(&allowed)?,
        contents: contents.collect::<ReadResult<_>>()?,
        zones: names("Localities")?,
        kinds: names("Shapes")?,
        connect_timeout: allowed.require("ConnectTimeout")?.span()?,
        idle_timeout: allowed.require("IdleClose")?.span()?,
        pulls_per_connection: allowed.require("StreamsPerConn")?.at_least_one()? as usize,
        max_held_downloads: allowed.require("MostHeld")?.at_least_one()? as usize,
    })
}

/// Reads the policy's profile.
pub fn read_profile(json: &Value) -> ReadResult<(ServiceProfile, NodeKinds)> {
    let top = Setting { value: json, path: String::new() };
    if !json.is_object() {
        return Err("settings are not a JSON object".into());
    }
    let allowed = top.require("Allowed")?;
    let safety = top.require("Safety")?;
    let family = top.require("FamilyInfo")?;
    let classes = top.require("Classes")?.list()?;
    let content_types =
        classes.iter().enumerate().map(|(index, class)| read_content_type(index, class, &family));
    let weights = top.get("Weights").map_or(Ok("none"), |weights| weights.text())?;
    let kinds = NodeKinds { parent: family.kind("MidKind")?, origin: family.kind("StoreKind")? };
    let profile = ServiceProfile {
        zone: top.require("Zone")?.number()? as u16,
        zone_routers: family.numbers_or("CountByZone")?.iter().map(|n| *n as u16).collect(),
        routers: top.require("Balancers")?.at_least_one()? as u16,
        content_types: content_types.collect::<ReadResult<_>>()?,
        scales_comparable: matches!(weights, "nominal" | "rough"),
        membership_on_request: top.get("MembershipMode").map_or(Ok("push"), |mode| mode.text())? == "ask",
        may_cancel: allowed.boolean_or("Cancel", false)?,
        may_bypass: family.boolean_or("BypassAllowed", false)?,
        may_join: family.boolean_or("Joins", false)?,
        max_pulls: allowed.number_or("MaxAttempts", 1.0)? as u32,
        max_retry_after: max_retry_after(&allowed)?,
        client_kb_per_s: family.number_or("FlowKbPerS", 0.0)?,
        zone_link_kb_per_s: family.numbers_or("ZoneLinkKbPerS")?,
        cold_share: safety.number_or("ColdFrom", 1.0)?,
        warm_up_time: safety.span_or("Cold")?,
        overload_factor: safety.number_or("FallMultiple", 1.0)?,
        overload_window: safety.span_or("Fall")?,
        parent_cold_share: family.number_or("ParentColdFrom", 1.0)?,
        parent_warm_up_time: family.span_or("ParentRamp")?,
        parent_overload_factor: family.number_or("ParentBreaksAt", 1.0)?,
        purge_settle_time: family.span_or("PurgeSettles")?,
        max_history_entries: usize::MAX,
    };
    Ok((profile, kinds))
}

/// Zero unless clients may be told when to come back.
fn max_retry_after(allowed: &Setting) -> ReadResult<Span> {
    if allowed.boolean_or("RetryAfter", false)? { allowed.span_or("MaxRetryAfter") } else { Ok(Span::ZERO) }
}

/// Reads a content type: an entry of `Classes`, and the values at the same index in the lists of `FamilyInfo`.
fn read_content_type(index: usize, class: &Setting, family: &Setting) -> ReadResult<ContentType> {
    let by_class = |key: &str| -> ReadResult<Option<Setting>> {
        Ok(family
            .get(key)
            .map(|setting| setting.list())
            .transpose()?
            .and_then(|list| list.into_iter().nth(index)))
    };
    let span_of =
        |key: &str| -> ReadResult<Span> { by_class(key)?.map_or(Ok(Span::ZERO), |setting| setting.span()) };
    let idempotency = match class.require("Idempotency")?.text()? {
        "repeatable" => Idempotency::Retriable,
        "once" => Idempotency::NonRetriable,
        "by_key" => Idempotency::Deduped {
            scope: match class.get("Group").map_or(Ok("all"), |group| group.text())? {
                "all" => DedupeScope::All,
                "zone" => DedupeScope::Zone,
                "cell" => DedupeScope::Cell,
                // If an unknown group counted as all caches, a repeat could run twice.
                _ => return class.require("Group")?.invalid("all, zone or cell"),
            },
            window: class.span_or("MemorySpan")?,
        },
        _ => return class.require("Idempotency")?.invalid("repeatable, by_key or once"),
    };
    let fresh_for = span_of("GoodFor")?;
    Ok(ContentType {
        idempotency,
        target_time: class.require("Aim")?.span()?,
        target_stretch: class.number_or("AimStretch", 0.0)?,
        benefit: class.number_or("Worth", 1.0)?,
        write: by_class("ClassWrite")?.map_or(Ok(false), |setting| setting.boolean())?,
        in_parts: by_class("ClassParts")?.map_or(Ok(false), |setting| setting.boolean())?,
        fresh_for: (fresh_for > Span::ZERO).then_some(fresh_for),
        grace: span_of("GraceFor")?,
    })
}
