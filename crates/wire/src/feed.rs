//! Lines of the control feed.
use serde_json::Value;

/// One line of the list of nodes, as the feed words it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
    pub state: MemberState,
    pub scale: f32,
    /// Zero: running for longer than anyone needs to know.
    pub since_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    Ready,
    Draining,
    Removed,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FeedEvent {
    Members { is_snapshot: bool, members: Vec<Member> },
    Purge { object: Option<u64>, group: u32, at_ms: u64 },
}

#[derive(Clone, Debug, PartialEq)]
pub enum FeedMessage {
    /// The last event's number alone: nothing new.
    Heartbeat(u64),
    Event(u64, FeedEvent),
}

/// Numbers of our services that an event may name beside what the platform's feed says: what whoever takes it goes by
/// from then on. Only routers of installations that are audited look for them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceState {
    pub shape_version: Option<u64>,
    pub purge_number: Option<u64>,
    /// When the last of these purges was asked for, in Unix milliseconds of the service. With the number it tells one order
    /// of purges from another.
    pub purged_at_ms: Option<u64>,
    /// Sites that are left out by a plan, while no service speaks; empty: none.
    pub plan: Option<String>,
}

/// None: the line names none.
pub fn decode_service_state(line: &[u8]) -> Option<ServiceState> {
    let json: Value = serde_json::from_slice(line).ok()?;
    let number = |key: &str| json.get(key).and_then(Value::as_u64);
    let plan = json.get("plan").and_then(Value::as_str).map(str::to_string);
    let (version, purges) = (number("version"), number("purges"));
    let at_ms = purges.and_then(|_| number("at"));
    let marks = ServiceState { shape_version: version, purge_number: purges, purged_at_ms: at_ms, plan };
    (marks != ServiceState::default()).then_some(marks)
}

/// The feed is one of ours, and hears words. The platform's never says so.
pub fn accepts_acks(line: &[u8]) -> bool {
    let json = serde_json::from_slice::<Value>(line).ok();
    json.and_then(|json| json.get("hears")?.as_bool()).unwrap_or(false)
}

/// What a router that calls has from before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AppliedPurges {
    /// All purges up to this number of the service's order; 0: none.
    pub number: u64,
    /// When the last of them was asked for, as the marks said that named the number.
    pub at_ms: u64,
    /// Purges that were asked for longer ago do not matter to it.
    pub retention_ms: u64,
}

/// What a router says to a feed that hears it, after its subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ack {
    /// Once, as the answer to the feed's first event.
    Initial(AppliedPurges),
    /// Everything before the marks of that number is applied.
    Applied(u64),
}

/// Bytes of a word at most: three numbers of 20 digits, and what stands between them.
pub const MAX_ACK_BYTES: usize = 75;

impl Ack {
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Ack::Initial(AppliedPurges { number, at_ms, retention_ms }) => {
                format!("HAS {number} at {at_ms} keeps {retention_ms}\n")
            }
            Ack::Applied(number) => format!("HAS {number}\n"),
        }
        .into_bytes()
    }

    /// None: it is no word. `line` is without its end.
    pub fn decode(line: &[u8]) -> Option<Ack> {
        let text = std::str::from_utf8(line).ok().filter(|text| text.len() <= MAX_ACK_BYTES)?;
        let number = |text: &str| {
            let plain = text.bytes().all(|b| b.is_ascii_digit()) && (text == "0" || !text.starts_with('0'));
            text.parse::<u64>().ok().filter(|_| plain)
        };
        let mut parts = text.split(' ');
        if parts.next()? != "HAS" {
            return None;
        }
        let has = number(parts.next()?)?;
        let word = match parts.next() {
            None => return Some(Ack::Applied(has)),
            Some("at") => {
                let at_ms = number(parts.next()?)?;
                let retention_ms =
                    parts.next().filter(|key| *key == "keeps").and(parts.next()).and_then(number)?;
                Ack::Initial(AppliedPurges { number: has, at_ms, retention_ms })
            }
            Some(_) => return None,
        };
        parts.next().is_none().then_some(word)
    }
}

pub fn encode_subscribe(last: u64) -> Vec<u8> {
    format!("SUB {last}\n").into_bytes()
}

pub fn decode_line(line: &[u8]) -> Result<FeedMessage, String> {
    let json: Value = serde_json::from_slice(line).map_err(|e| format!("not JSON: {e}"))?;
    // A beat comes as a bare number or as an event that says nothing but its number.
    let alone = json.as_object().filter(|event| event.len() == 1).and_then(|event| event.get("n"));
    match alone.unwrap_or(&json).as_u64() {
        Some(last) => Ok(FeedMessage::Heartbeat(last)),
        None => decode_event(&json).map(|(n, told)| FeedMessage::Event(n, told)),
    }
}

/// The events that a start is given, and the number of the last of them.
pub fn decode_known(known: &Value) -> Result<(u64, Vec<FeedEvent>), String> {
    let last = known.get("n").and_then(Value::as_u64).ok_or("key known.n is missing or no number")?;
    let Some(events) = known.get("events").and_then(Value::as_array) else {
        return Err("key known.events is missing or no list".into());
    };
    let told = events.iter().enumerate().map(|(at, event)| {
        decode_event(event).map(|(_, told)| told).map_err(|why| format!("key known.events[{at}]: {why}"))
    });
    Ok((last, told.collect::<Result<_, _>>()?))
}

fn decode_event(event: &Value) -> Result<(u64, FeedEvent), String> {
    let n = event.get("n").and_then(Value::as_u64).ok_or("event without its number")?;
    if let Some(members) = event.get("members") {
        let is_snapshot = members.get("snapshot").and_then(Value::as_bool).unwrap_or(false);
        let list = members.get("endpoints").and_then(Value::as_array).ok_or("members without their list")?;
        let members = list.iter().map(decode_member).collect::<Result<_, _>>()?;
        return Ok((n, FeedEvent::Members { is_snapshot, members }));
    }
    let purge = event.get("purge").ok_or("event of an unknown form")?;
    let at_ms = purge.get("at").and_then(Value::as_u64).ok_or("purge without its time")?;
    let object = match purge.get("key").and_then(Value::as_str) {
        Some(key) => Some(u64::from_str_radix(key, 16).map_err(|_| "purge with a malformed key")?),
        None => None,
    };
    let group = purge.get("group").and_then(Value::as_u64);
    if object.is_none() && group.is_none() {
        return Err("purge of neither object nor group".into());
    }
    Ok((n, FeedEvent::Purge { object, group: group.unwrap_or_default() as u32, at_ms }))
}

fn decode_member(entry: &Value) -> Result<Member, String> {
    let text = |key: &str| entry.get(key).and_then(Value::as_str).map(str::to_string);
    let name = text("name").ok_or("member without a name")?;
    let state = match text("status").as_deref() {
        Some("Ready") => MemberState::Ready,
        Some("Terminating") => MemberState::Draining,
        Some("Gone") => MemberState::Removed,
        other => return Err(format!("member {name} in an unknown state {other:?}")),
    };
    let number = |key: &str| entry.get(key).and_then(Value::as_f64);
    Ok(Member {
        address: text("address").unwrap_or_default(),
        zone: text("zone").unwrap_or_default(),
        kind: text("type").unwrap_or_default(),
        cell: number("group").unwrap_or(0.0) as u16,
        state,
        scale: number("weight").unwrap_or(1.0) as f32,
        since_ms: number("since_ms").unwrap_or(0.0).max(0.0) as u64,
        name,
    })
}
