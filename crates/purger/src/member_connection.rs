//! The connection of a member. Each of its acknowledgements is answered with the items that it lacks, and new items are
//! pushed at once. Both the purge service and the gatherers serve their members with this module.
use async_io::Timer;
use futures_lite::future::or;
use harestage_group_host::host::{LEASE_CHECK_INTERVAL, PEER_TIMEOUT, write_message};
use harestage_purge::messages::{Ack, ToMember};
use harestage_purge::retained::MAX_BATCH_ITEMS;
use harestage_sockets::lines::{LineReader, with_timeout};
use std::time::Duration;

/// The source of the items that are sent to a member.
pub trait UpdateSource {
    /// Returns the answer to an acknowledgement. None if the member has to be redirected.
    fn on_ack(&self, ack: &Ack) -> impl Future<Output = Option<ToMember>>;

    /// Returns the message that redirects a member to another source.
    fn redirect(&self) -> ToMember;

    /// Returns the number of the last item that may be sent. None if this source may not send anything now.
    fn last_published(&self) -> Option<u64>;

    /// Returns the items after a number that may be sent, at most one batch.
    fn updates_after(&self, number: u64) -> Option<ToMember>;

    /// Waits for new items, at most for `timeout`.
    fn wait_for_update(&self, timeout: Duration) -> impl Future<Output = ()>;
}

/// Removes items that this connection has already sent to the same process. An acknowledgement is older than the last items
/// sent by a round trip. When answers went by the acknowledgement alone, each one repeated these items, more of them the
/// longer the round trip, and in a storm of purges members read more lines than there were items.
fn without_sent_items(answer: ToMember, last_sent: u64) -> ToMember {
    match answer {
        ToMember::Items { term, mut items } => {
            items.retain(|item| item.number > last_sent);
            ToMember::Items { term, items }
        }
        other => other,
    }
}

/// Returns the number up to which a message brings a member, and whether the batch was full. After a full batch the member
/// has to acknowledge before it gets more.
fn last_number(message: &ToMember, previous: u64) -> (u64, bool) {
    match message {
        ToMember::Items { items, .. } => {
            (items.last().map_or(previous, |item| item.number), items.len() >= MAX_BATCH_ITEMS)
        }
        ToMember::Snapshot { after, items, .. } => {
            (items.last().map_or(*after, |item| item.number), items.len() >= MAX_BATCH_ITEMS)
        }
        _ => (previous, true),
    }
}

/// Serves a member from its first acknowledgement to the end of its connection.
pub async fn serve_member(
    source: &impl UpdateSource,
    lines: &mut LineReader<'_>,
    first: Ack,
) -> Result<(), String> {
    if !first.has_valid_name() {
        return Err("member name is not valid".into());
    }
    let (name, stream) = (first.member.clone(), lines.stream());
    // The incarnation of the member and the last number that this connection has sent to it.
    let (mut ack, mut sent) = (first, (0, 0));
    loop {
        if ack.member != name {
            return Err(format!("{name} changed its name to {}", ack.member));
        }
        let Some(answer) = source.on_ack(&ack).await else {
            return write_message(stream, &source.redirect()).await;
        };
        if sent.0 != ack.incarnation {
            sent = (ack.incarnation, 0);
        }
        let answer = without_sent_items(answer, sent.1);
        let (last, is_full) = last_number(&answer, ack.applied.max(sent.1));
        sent.1 = last;
        // Nothing is pushed to a member that still lacks items, or that has to wait until it can be bootstrapped.
        let needs_ack =
            is_full || !ack.bootstrapped && matches!(answer, ToMember::Items { .. }) && ack.applied == 0;
        write_message(stream, &answer).await?;
        // Waits for the next acknowledgement, or for new items to push before it arrives.
        let received = async { Some(lines.next_line().await) };
        let updated = async {
            while needs_ack || source.last_published().is_some_and(|published| published <= last) {
                source.wait_for_update(LEASE_CHECK_INTERVAL).await;
            }
            None
        };
        let timed_out = async {
            Timer::after(PEER_TIMEOUT).await;
            Some(Err("no message in time".to_string()))
        };
        let line = match or(or(received, updated), timed_out).await {
            Some(line) => line?,
            None => {
                let Some(update) = source.last_published().and_then(|_| source.updates_after(last)) else {
                    return write_message(stream, &source.redirect()).await;
                };
                write_message(stream, &update).await?;
                sent.1 = last_number(&update, last).0;
                with_timeout(PEER_TIMEOUT, "no message in time", lines.next_line()).await?
            }
        };
        ack = serde_json::from_slice(&line)
            .map_err(|error| format!("{name}: line can't be parsed: {error}"))?;
    }
}
