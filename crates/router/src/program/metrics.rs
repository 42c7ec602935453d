//! Log lines at intervals that tell what the router holds, what it has refused and closed since the last ones,
//! and how pulls have ended.
use crate::routing::counts::PullCounts;
use crate::transport::client::{ClientCounts, Clients};
use crate::transport::node::NodeGauges;
use async_io::Timer;
use slog::{Logger, info};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

const PROCESS_STATUS: &str = "/proc/self/status";

/// What is reported.
pub struct Sources {
    pub clients: Rc<Clients>,
    pub nodes: NodeGauges,
    pub pulls: Rc<RefCell<PullCounts>>,
}

/// Logs for as long as it is polled; a line that would say that nothing happened is left out.
pub async fn report(sources: Sources, every: Duration, log: Logger) {
    loop {
        Timer::after(every).await;
        let (clients, pulls) = (sources.clients.take_counts(), sources.pulls.take());
        if clients != ClientCounts::default() {
            log_usage(&sources, &log);
            log_clients(&clients, &log);
        }
        if pulls != PullCounts::default() {
            log_pulls(&pulls, &log);
        }
    }
}

fn log_usage(sources: &Sources, log: &Logger) {
    let Sources { clients, nodes, .. } = sources;
    info!(log, "usage";
        "clients" => clients.connection_count(), "open" => clients.open_downloads(),
        "request_bytes" => clients.input_bytes(), "unsent_bytes" => clients.unsent_bytes(),
        "node_connections" => nodes.connections(), "answer_bytes" => nodes.answer_bytes(),
        "resident_kb" => resident_kb());
}

fn log_clients(counts: &ClientCounts, log: &Logger) {
    info!(log, "clients";
        "accepted" => counts.accepted, "downloads" => counts.downloads, "throttled" => counts.throttled,
        "discarded" => counts.discarded, "invalid" => counts.invalid, "malformed" => counts.malformed,
        "cut" => counts.cut, "left" => counts.left);
}

fn log_pulls(counts: &PullCounts, log: &Logger) {
    info!(log, "pulls";
        "ordered" => counts.ordered, "retried" => counts.retried, "fulfilled" => counts.fulfilled,
        "missed" => counts.missed, "full" => counts.full, "failed" => counts.failed,
        "timed_out" => counts.timed_out, "broken" => counts.broken, "cancelled" => counts.cancelled,
        "not_sent" => counts.not_sent);
}

/// Resident memory in kB; none where the system does not tell.
fn resident_kb() -> Option<usize> {
    let status = std::fs::read_to_string(PROCESS_STATUS).ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    resident.trim().trim_end_matches(" kB").parse().ok()
}
