//! The settings object of a router, read into the core's `ServiceProfile`. Bench and router share this reader, so
//! that both give the core the same profile.
use harestage::interface::{ContentType, ServiceProfile};
use harestage::state::{DedupeScope, Idempotency};
use harestage::time::Span;
use serde_json::Value;

type Read<T> = Result<T, String>;

/// Where in the settings a reader stands, so that a complaint can name the key.
struct At<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> At<'a> {
    fn opt(&self, key: &str) -> Option<At<'a>> {
        let value = self.value.get(key).filter(|v| !v.is_null())?;
        let path = if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) };
        Some(At { value, path })
    }
    fn need(&self, key: &str) -> Read<At<'a>> {
        self.opt(key)
            .ok_or_else(|| format!("needed key {}.{key} is missing", self.path).replace("key .", "key "))
    }
    fn wrong<T>(&self, wanted: &str) -> Read<T> {
        Err(format!("key {} is not {wanted}: {}", self.path, self.value))
    }
    fn number(&self) -> Read<f64> {
        self.value.as_f64().map_or_else(|| self.wrong("a number"), Ok)
    }
    fn span(&self) -> Read<Span> {
        let micros = self.number()?;
        if micros >= 0.0 { Ok(Span::micros(micros as u64)) } else { self.wrong("a span of 0 or more") }
    }
    fn at_least_one(&self) -> Read<f64> {
        let number = self.number()?;
        if number >= 1.0 { Ok(number) } else { self.wrong("1 or more") }
    }
    fn flag(&self) -> Read<bool> {
        self.value.as_bool().map_or_else(|| self.wrong("true or false"), Ok)
    }
    fn word(&self) -> Read<&'a str> {
        self.value.as_str().map_or_else(|| self.wrong("a text"), Ok)
    }
    fn list(&self) -> Read<Vec<At<'a>>> {
        let Some(values) = self.value.as_array() else { return self.wrong("a list") };
        let item = |(n, value)| At { value, path: format!("{}[{n}]", self.path) };
        Ok(values.iter().enumerate().map(item).collect())
    }
    fn numbers(&self) -> Read<Vec<f64>> {
        self.list()?.iter().map(At::number).collect()
    }
    fn flag_or(&self, key: &str, absent: bool) -> Read<bool> {
        self.opt(key).map_or(Ok(absent), |at| at.flag())
    }
    fn number_or(&self, key: &str, absent: f64) -> Read<f64> {
        self.opt(key).map_or(Ok(absent), |at| at.number())
    }
    fn span_or(&self, key: &str) -> Read<Span> {
        self.opt(key).map_or(Ok(Span::ZERO), |at| at.span())
    }
    fn numbers_or(&self, key: &str) -> Read<Vec<f64>> {
        self.opt(key).map_or(Ok(Vec::new()), |at| at.numbers())
    }
    /// A machine kind by its place; absent or negative means that there is none.
    fn kind(&self, key: &str) -> Read<Option<u8>> {
        Ok(self.opt(key).map(|at| at.number()).transpose()?.filter(|n| *n >= 0.0).map(|n| n as u8))
    }
}

/// The machine kinds that are no caches, by their places.
#[derive(Clone, Copy, Debug)]
pub struct NodeKinds {
    pub parent: Option<u8>,
    pub origin: Option<u8>,
}

/// What the settings say of the network and of names, which the core never sees.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// The names of content types, zones and machine kinds, by the index that the core knows them by.
    pub contents: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub connect_timeout: Span,
    pub idle_timeout: Span,
    /// Pulls that one connection carries at once.
    pub pulls_per_connection: usize,
    /// Downloads that a router may hold.
    pub max_held_downloads: usize,
    /// Longest time that a throttled client may be told to stay away; zero: clients are told nothing.
    pub max_retry_after: Span,
    /// The longest deadline of a content type.
    pub max_wait: Span,
}

pub fn read_settings(text: &[u8]) -> Read<(ServiceProfile, NodeKinds)> {
    let json: Value = serde_json::from_slice(text).map_err(|e| format!("settings are not JSON: {e}"))?;
    read_profile(&json)
}

pub fn read_router_settings(json: &Value) -> Read<RouterSettings> {
    let top = At { value: json, path: String::new() };
    let allowed = top.need("Allowed")?;
    let names = |key: &str| -> Read<Vec<String>> {
        top.need(key)?.list()?.iter().map(|at| at.word().map(str::to_string)).collect()
    };
    let classes = top.need("Classes")?.list()?;
    let contents = classes.iter().map(|c| c.need("Name")?.word().map(str::to_string));
    // A content type that does not tell its deadline may have any.
    let waits = classes.iter().map(|c| c.opt("HardLimit").map_or(Ok(Span::MAX), |at| at.span()));
    let waits: Vec<Span> = waits.collect::<Read<_>>()?;
    Ok(RouterSettings {
        max_wait: waits.into_iter().max().unwrap_or(Span::MAX),
        max_retry_after: max_retry_after(&allowed)?,
        contents: contents.collect::<Read<_>>()?,
        zones: names("Localities")?,
        kinds: names("Shapes")?,
        connect_timeout: allowed.need("ConnectTimeout")?.span()?,
        idle_timeout: allowed.need("IdleClose")?.span()?,
        pulls_per_connection: allowed.need("StreamsPerConn")?.at_least_one()? as usize,
        max_held_downloads: allowed.need("MostHeld")?.at_least_one()? as usize,
    })
}

pub fn read_profile(json: &Value) -> Read<(ServiceProfile, NodeKinds)> {
    let top = At { value: json, path: String::new() };
    if !json.is_object() {
        return Err("settings are not a JSON object".into());
    }
    let allowed = top.need("Allowed")?;
    let safety = top.need("Safety")?;
    let family = top.need("FamilyInfo")?;
    let contents = top.need("Classes")?.list()?;
    let contents = contents.iter().enumerate().map(|(n, c)| read_content(n, c, &family));
    let weights = top.opt("Weights").map_or(Ok("none"), |w| w.word())?;
    let kinds = NodeKinds { parent: family.kind("MidKind")?, origin: family.kind("StoreKind")? };
    let profile = ServiceProfile {
        zone: top.need("Zone")?.number()? as u16,
        zone_routers: family.numbers_or("CountByZone")?.iter().map(|n| *n as u16).collect(),
        routers: top.need("Balancers")?.at_least_one()? as u16,
        content_types: contents.collect::<Read<_>>()?,
        scales_comparable: matches!(weights, "nominal" | "rough"),
        membership_on_request: top.opt("MembershipMode").map_or(Ok("push"), |m| m.word())? == "ask",
        may_cancel: allowed.flag_or("Cancel", false)?,
        may_bypass: family.flag_or("BypassAllowed", false)?,
        may_join: family.flag_or("Joins", false)?,
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
    };
    Ok((profile, kinds))
}

fn max_retry_after(allowed: &At) -> Read<Span> {
    if allowed.flag_or("RetryAfter", false)? { allowed.span_or("MaxRetryAfter") } else { Ok(Span::ZERO) }
}

fn read_content(n: usize, class: &At, family: &At) -> Read<ContentType> {
    let by_class = |key: &str| -> Read<Option<At>> {
        Ok(family.opt(key).map(|at| at.list()).transpose()?.and_then(|l| l.into_iter().nth(n)))
    };
    let span_of = |key: &str| -> Read<Span> { by_class(key)?.map_or(Ok(Span::ZERO), |at| at.span()) };
    let repeat = match class.need("Idempotency")?.word()? {
        "repeatable" => Idempotency::Retriable,
        "once" => Idempotency::NonRetriable,
        "by_key" => Idempotency::Deduped {
            scope: match class.opt("Group").map_or(Ok("all"), |g| g.word())? {
                "all" => DedupeScope::All,
                "zone" => DedupeScope::Zone,
                "cell" => DedupeScope::Cell,
                // Taken for all of them, a repeat could run twice.
                _ => return class.need("Group")?.wrong("all, zone or cell"),
            },
            window: class.span_or("MemorySpan")?,
        },
        _ => return class.need("Idempotency")?.wrong("repeatable, by_key or once"),
    };
    let fresh = span_of("GoodFor")?;
    Ok(ContentType {
        idempotency: repeat,
        target_time: class.need("Aim")?.span()?,
        target_stretch: class.number_or("AimStretch", 0.0)?,
        benefit: class.number_or("Worth", 1.0)?,
        write: by_class("ClassWrite")?.map_or(Ok(false), |at| at.flag())?,
        in_parts: by_class("ClassParts")?.map_or(Ok(false), |at| at.flag())?,
        fresh_for: (fresh > Span::ZERO).then_some(fresh),
        grace: span_of("GraceFor")?,
    })
}
