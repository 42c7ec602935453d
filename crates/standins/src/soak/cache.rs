//! A cache that answers well, late, badly or not at all, by chance.
use super::{Chances, Record};
use crate::talk::{decoder, receive};
use harestage_wire::fields::HexId;
use harestage_wire::node::{self, AnswerStatus, CopyTag, IncomingRequest, OutgoingAnswer, ToNode};
use harestage_wire::resp::LINE_END;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a cache makes of an attempt.
enum Behaviour {
    Answer(AnswerStatus, Duration),
    /// Half of a good answer, and nothing more on this connection.
    Half,
    Silence,
    Close,
}

impl Behaviour {
    fn choose(chances: &mut Chances) -> Behaviour {
        let wait = Duration::from_millis(chances.below(20));
        match chances.below(100) {
            0..76 => Behaviour::Answer(AnswerStatus::Fulfilled, wait),
            76..84 => Behaviour::Answer(AnswerStatus::Fulfilled, wait * 20),
            84..87 => Behaviour::Answer(AnswerStatus::NotFound, wait),
            87..90 => Behaviour::Answer(AnswerStatus::Busy, wait),
            90..93 => Behaviour::Answer(AnswerStatus::Failed, wait),
            93..95 => Behaviour::Half,
            95..98 => Behaviour::Silence,
            _ => Behaviour::Close,
        }
    }

    /// Whether the attempt may have run at this cache.
    fn may_have_run(&self) -> bool {
        !matches!(self, Behaviour::Answer(AnswerStatus::NotFound | AnswerStatus::Busy, _))
    }
}

/// Serves on a listener until the process ends.
pub fn serve_cache(listener: TcpListener, seed: u64, record: Arc<Record>) {
    std::thread::spawn(move || {
        for (number, stream) in (0..).zip(listener.incoming().map_while(Result::ok)) {
            let record = record.clone();
            std::thread::spawn(move || serve_connection(stream, Chances::new(seed ^ (number << 32)), record));
        }
    });
}

fn serve_connection(stream: TcpStream, mut chances: Chances, record: Arc<Record>) {
    let mut decoder = decoder();
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("a socket can be cloned")));
    while let Some(items) = receive(&stream, &mut decoder) {
        let Some(ToNode::Serve(request)) = node::decode_message(&items) else { continue };
        let behaviour = Behaviour::choose(&mut chances);
        let timeout = Duration::from_millis(request.timeout_ms);
        record.attempted(request.id.as_u64(), timeout, behaviour.may_have_run());
        let body = body_of(request.object, chances.below(60_000) as usize);
        match behaviour {
            Behaviour::Answer(status, wait) => answer_later(&writer, status, wait, &request, body),
            Behaviour::Half => {
                let whole = encode(AnswerStatus::Fulfilled, &request, body);
                let _ = writer.lock().expect("no writer panics").write_all(&whole[..whole.len() / 2]);
                // Nothing more is written here; what is asked is still read.
                while receive(&stream, &mut decoder).is_some() {}
                break;
            }
            Behaviour::Silence => {}
            Behaviour::Close => break,
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn answer_later(
    writer: &Arc<Mutex<TcpStream>>,
    status: AnswerStatus,
    wait: Duration,
    request: &IncomingRequest,
    body: Vec<u8>,
) {
    let (answer, writer) = (encode(status, request, body), writer.clone());
    std::thread::spawn(move || {
        std::thread::sleep(wait);
        let _ = writer.lock().expect("no writer panics").write_all(&answer);
    });
}

/// The bytes of an object begin with its name.
fn body_of(object: HexId, bytes: usize) -> Vec<u8> {
    object.as_str().bytes().cycle().take(bytes.max(object.as_str().len())).collect()
}

fn encode(status: AnswerStatus, request: &IncomingRequest, body: Vec<u8>) -> Vec<u8> {
    let good = status == AnswerStatus::Fulfilled;
    let packet = node::encode_answer(&OutgoingAnswer {
        id: request.id,
        status,
        cache_status: harestage::state::CacheStatus::Hit,
        first_byte_ms: 0.0,
        copy: good.then(|| CopyTag { digest: "ab".into(), dated_ms: 1, group: None }),
        body: if good { body.into() } else { Default::default() },
        retry_after_ms: None,
        reason: None,
    });
    [&packet.head[..], &packet.body[..], LINE_END].concat()
}
