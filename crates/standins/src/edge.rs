//! An edge cache: keeps what it gets, and fills what it lacks from the source that a pull names.
use crate::talk::{self, Caller, Reply};
use bytes::Bytes;
use harestage::state::CacheStatus;
use harestage_wire::fields::HexId;
use harestage_wire::node::{AnswerStatus, CopyTag, IncomingRequest, OutgoingAnswer, Request};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// By download: who pulled it, and under what.
#[derive(Default)]
struct Acts {
    by_id: HashMap<u64, (String, String)>,
    /// Pulls since they were last taken.
    lately: HashMap<(String, String), u64>,
}

type Store = HashMap<(u64, u32), (CopyTag, Bytes)>;

#[derive(Clone)]
pub struct Edge {
    pub address: SocketAddr,
    /// Where the sources are that pulls may name.
    pub sources: Arc<Mutex<HashMap<String, SocketAddr>>>,
    store: Arc<Mutex<Store>>,
    /// Under what each marked download was pulled last, and what of that was said.
    acts: Arc<Mutex<Acts>>,
    /// Fills that went to each source.
    filled: Arc<Mutex<HashMap<String, usize>>>,
    ids: Arc<AtomicU64>,
    /// Connections to sources that nobody uses now.
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Caller>>>>,
}

impl Edge {
    pub fn open() -> Edge {
        Edge::on(TcpListener::bind("127.0.0.1:0").expect("loopback has room"))
    }

    pub fn on(listener: TcpListener) -> Edge {
        let edge = Edge {
            address: listener.local_addr().expect("it is bound"),
            sources: Arc::default(),
            store: Arc::default(),
            acts: Arc::default(),
            filled: Arc::default(),
            ids: Arc::new(AtomicU64::new(1)),
            idle: Arc::default(),
        };
        let serving = edge.clone();
        talk::serve(listener, move |asked| Some(serving.reply(asked)));
        edge
    }

    pub fn filled_from(&self, source: &str) -> usize {
        self.filled.lock().expect("no holder panics").get(source).copied().unwrap_or(0)
    }

    /// Marked pulls since this was last asked for, by who made them and under what.
    pub fn take_acts(&self) -> Vec<((String, String), u64)> {
        std::mem::take(&mut self.acts.lock().expect("no holder panics").lately).into_iter().collect()
    }

    /// Downloads by who pulled them, and under what the last time.
    pub fn downloads(&self) -> HashMap<(String, String), u64> {
        let mut many = HashMap::new();
        let acts = self.acts.lock().expect("no holder panics");
        acts.by_id.values().for_each(|act| *many.entry(act.clone()).or_insert(0) += 1);
        many
    }

    fn reply(&self, asked: IncomingRequest) -> OutgoingAnswer {
        if let Some(mark) = &asked.mark {
            let mut acts = self.acts.lock().expect("no holder panics");
            let act = (mark.by.clone(), mark.stamp.clone());
            *acts.lately.entry(act.clone()).or_default() += 1;
            acts.by_id.insert(asked.id.as_u64(), act);
        }
        let key = (asked.object.as_u64(), asked.part);
        let held = self.store.lock().expect("no holder panics").get(&key).cloned();
        let given = |word, remark, copy, body| OutgoingAnswer {
            id: asked.id,
            status: word,
            cache_status: remark,
            first_byte_ms: 0.0,
            copy,
            body,
            retry_after_ms: None,
            reason: None,
        };
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let young = |copy: &CopyTag| {
            asked.max_age_ms.is_none_or(|oldest| now_ms.saturating_sub(copy.dated_ms) <= oldest)
        };
        if let Some((copy, body)) = held.filter(|(copy, _)| asked.body.is_empty() && young(copy)) {
            return given(AnswerStatus::Fulfilled, CacheStatus::Hit, Some(copy), body);
        }
        let source = asked.source.as_ref().map(|name| String::from_utf8_lossy(name).into_owned());
        let Some(source) = source else {
            return given(AnswerStatus::NotFound, CacheStatus::Unknown, None, Bytes::new());
        };
        match self.fill(&asked, &source) {
            Some((copy, body, remark)) => {
                if asked.rank > 0 && asked.body.is_empty() {
                    self.store.lock().expect("no holder panics").insert(key, (copy.clone(), body.clone()));
                }
                given(AnswerStatus::Fulfilled, remark, Some(copy), body)
            }
            None => given(AnswerStatus::Failed, CacheStatus::SourceLost, None, Bytes::new()),
        }
    }

    /// Over a connection that was used before, if there is one that still stands; a write only goes over a fresh one, since
    /// what was closed meanwhile can't be told from what broke under it.
    fn ask(&self, address: SocketAddr, request: &Request, within: Duration) -> Option<Reply> {
        let idle = || self.idle.lock().expect("no holder panics").get_mut(&address).and_then(Vec::pop);
        let used = if request.body.is_empty() { idle() } else { None };
        let over_used = used.and_then(|caller| caller.ask(request, within).map(|reply| (caller, reply)));
        let (caller, reply) = match over_used {
            Some(done) => done,
            None => {
                let caller = Caller::to(address).ok()?;
                let reply = caller.ask(request, within)?;
                (caller, reply)
            }
        };
        self.idle.lock().expect("no holder panics").entry(address).or_default().push(caller);
        Some(reply)
    }

    fn fill(&self, asked: &IncomingRequest, source: &str) -> Option<(CopyTag, Bytes, CacheStatus)> {
        let address = *self.sources.lock().expect("no holder panics").get(source)?;
        *self.filled.lock().expect("no holder panics").entry(source.into()).or_default() += 1;
        let content = String::from_utf8_lossy(&asked.content).into_owned();
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        let request = Request {
            id: HexId::from_u64(id),
            part: asked.part,
            no_store: asked.no_store,
            only_if_cached: asked.only_if_cached,
            max_age_ms: asked.max_age_ms,
            body: asked.body.clone(),
            ..talk::pull(id, &content, asked.object.as_u64(), asked.timeout_ms)
        };
        let reply = self.ask(address, &request, Duration::from_millis(asked.timeout_ms))?;
        let remark = match reply.answer.cache_status {
            CacheStatus::FromOrigin => CacheStatus::FromOrigin,
            _ => CacheStatus::Filled,
        };
        (reply.answer.status == AnswerStatus::Fulfilled).then_some((reply.copy?, reply.answer.body, remark))
    }
}
