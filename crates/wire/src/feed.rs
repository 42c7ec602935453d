//! Messages of the control feed.
use serde_json::Value;

/// State of one node as the feed reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub name: String,
    pub address: String,
    pub zone: String,
    /// The feed's name for the type of node; the settings say which of them are parents and which is the
    /// origin.
    pub kind: String,
    /// Group of nodes that this one belongs to.
    pub cell: u16,
    pub state: MemberState,
    /// Relative capacity.
    pub scale: f32,
    /// Start of the node's process in Unix milliseconds; 0 if it has been running for a long time.
    pub since_ms: u64,
}

/// Life cycle state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    Ready,
    Draining,
    Removed,
}

/// A change that the feed reports.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedEvent {
    /// `is_snapshot`: the list is complete, and a node that is missing from it is removed.
    Members { is_snapshot: bool, members: Vec<Member> },
    /// `object` is `None` for a purge of a whole group.
    Purge { object: Option<u64>, group: u32, at_ms: u64 },
}

/// One line of the control feed.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedMessage {
    /// Heartbeat with the number of the last event: there is nothing new.
    Heartbeat(u64),
    /// An event and its number.
    Event(u64, FeedEvent),
}

/// State of our own services that an event may carry beside the content of the platform's feed. It applies
/// from this event on. Only routers of audited installations track it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceState {
    /// Version of the shape.
    pub shape_version: Option<u64>,
    /// All purges up to this number were sent before this event.
    pub purge_number: Option<u64>,
    /// When the last of these purges was requested, in Unix milliseconds of the service's clock. Together
    /// with the number it tells one sequence of purges from another.
    pub purged_at_ms: Option<u64>,
    /// Sites that the fallback plan excludes while no control service is reachable; empty: none.
    pub plan: Option<String>,
}

/// Decodes the service state that an event carries. `None` if it carries none.
pub fn decode_service_state(line: &[u8]) -> Option<ServiceState> {
    let json: Value = serde_json::from_slice(line).ok()?;
    let number = |key: &str| json.get(key).and_then(Value::as_u64);
    let plan = json.get("plan").and_then(Value::as_str).map(str::to_string);
    let (version, purges) = (number("version"), number("purges"));
    let at_ms = purges.and_then(|_| number("at"));
    let state = ServiceState { shape_version: version, purge_number: purges, purged_at_ms: at_ms, plan };
    (state != ServiceState::default()).then_some(state)
}

/// Whether this event says that the feed accepts acknowledgements. Only feeds of our own do; the platform's
/// never says so.
pub fn accepts_acks(line: &[u8]) -> bool {
    let json = serde_json::from_slice::<Value>(line).ok();
    json.and_then(|json| json.get("hears")?.as_bool()).unwrap_or(false)
}

/// The purges that a router has applied when it connects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AppliedPurges {
    /// All purges up to this number of the service's sequence; 0: none.
    pub number: u64,
    /// When the last of them was requested, as reported together with its number.
    pub at_ms: u64,
    /// The router does not need purges that were requested longer ago than this.
    pub retention_ms: u64,
}

/// What a router sends to a feed that accepts acknowledgements, after its subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ack {
    /// Sent once, in reply to the feed's first event.
    Initial(AppliedPurges),
    /// Everything before the service state with this purge number is applied.
    Applied(u64),
}

/// Longest acknowledgement in bytes: three numbers of 20 digits and the text between them.
pub const MAX_ACK_BYTES: usize = 75;

impl Ack {
    /// The acknowledgement as a line, with its line end.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Ack::Initial(AppliedPurges { number, at_ms, retention_ms }) => {
                format!("HAS {number} at {at_ms} keeps {retention_ms}\n")
            }
            Ack::Applied(number) => format!("HAS {number}\n"),
        }
        .into_bytes()
    }

    /// Decodes a line without its line end. `None` if it is not an acknowledgement.
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
        let ack = match parts.next() {
            None => return Some(Ack::Applied(has)),
            Some("at") => {
                let at_ms = number(parts.next()?)?;
                let retention_ms =
                    parts.next().filter(|key| *key == "keeps").and(parts.next()).and_then(number)?;
                Ack::Initial(AppliedPurges { number: has, at_ms, retention_ms })
            }
            Some(_) => return None,
        };
        parts.next().is_none().then_some(ack)
    }
}

/// The request for all events after number `last`.
pub fn encode_subscribe(last: u64) -> Vec<u8> {
    format!("SUB {last}\n").into_bytes()
}

/// Decodes one line of the feed.
pub fn decode_line(line: &[u8]) -> Result<FeedMessage, String> {
    let json: Value = serde_json::from_slice(line).map_err(|e| format!("not JSON: {e}"))?;
    // A heartbeat is a bare number, or an event that has nothing but its number.
    let alone = json.as_object().filter(|event| event.len() == 1).and_then(|event| event.get("n"));
    match alone.unwrap_or(&json).as_u64() {
        Some(last) => Ok(FeedMessage::Heartbeat(last)),
        None => decode_event(&json).map(|(n, event)| FeedMessage::Event(n, event)),
    }
}

/// Decodes the events that a router is given at its start, and the number of the last of them.
pub fn decode_known(known: &Value) -> Result<(u64, Vec<FeedEvent>), String> {
    let last = known.get("n").and_then(Value::as_u64).ok_or("key known.n is missing or not a number")?;
    let Some(events) = known.get("events").and_then(Value::as_array) else {
        return Err("key known.events is missing or not a list".into());
    };
    let events = events.iter().enumerate().map(|(at, event)| {
        decode_event(event).map(|(_, event)| event).map_err(|why| format!("key known.events[{at}]: {why}"))
    });
    Ok((last, events.collect::<Result<_, _>>()?))
}

fn decode_event(event: &Value) -> Result<(u64, FeedEvent), String> {
    let n = event.get("n").and_then(Value::as_u64).ok_or("event without a number")?;
    if let Some(members) = event.get("members") {
        let is_snapshot = members.get("snapshot").and_then(Value::as_bool).unwrap_or(false);
        let list = members
            .get("endpoints")
            .and_then(Value::as_array)
            .ok_or("members event without an endpoint list")?;
        let members = list.iter().map(decode_member).collect::<Result<_, _>>()?;
        return Ok((n, FeedEvent::Members { is_snapshot, members }));
    }
    let purge = event.get("purge").ok_or("event of an unknown type")?;
    let at_ms = purge.get("at").and_then(Value::as_u64).ok_or("purge without a time")?;
    let object = match purge.get("key").and_then(Value::as_str) {
        Some(key) => Some(u64::from_str_radix(key, 16).map_err(|_| "purge with a malformed key")?),
        None => None,
    };
    let group = purge.get("group").and_then(Value::as_u64);
    if object.is_none() && group.is_none() {
        return Err("purge without an object or a group".into());
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
        other => return Err(format!("member {name} has an unknown status {other:?}")),
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
