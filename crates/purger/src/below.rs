//! The line of a member: each of its words is answered with what it lacks, and what is new is told at once. The service
//! and each gatherer serve their members by it.
use async_io::Timer;
use futures_lite::future::or;
use harestage_purge::messages::{Ack, ToMember};
use harestage_purge::retained::MAX_BATCH_ITEMS;
use harestage_seats::host::{LOOK, STALL, say};
use harestage_sockets::lines::{LineReader, with_timeout};
use std::time::Duration;

/// Whoever tells members: what it says, and when it may.
pub trait Teller {
    /// What a member's word is answered with. None: another one has to be asked.
    fn answer(&self, said: &Ack) -> impl Future<Output = Option<ToMember>>;

    /// Where to ask else.
    fn elsewhere(&self) -> ToMember;

    /// The last number that may be told, for as long as this one may tell anything.
    fn told(&self) -> Option<u64>;

    /// What follows a number, a piece at most, of what may be told.
    fn after(&self, number: u64) -> Option<ToMember>;

    fn until_news(&self, at_most: Duration) -> impl Future<Output = ()>;
}

/// What a word is answered with, without what this connection has told that process already. Words are behind what was told by
/// the way there and back: answered by what they say alone, each brought the same items again, the more the longer it took,
/// and in a storm members had more lines to read than items were told.
fn untold(answer: ToMember, told: u64) -> ToMember {
    match answer {
        ToMember::Items { term, mut items } => {
            items.retain(|item| item.number > told);
            ToMember::Items { term, items }
        }
        other => other,
    }
}

/// Up to which number a member has been told, and whether the piece was full: then it has to say first that it has it.
fn upto(told: &ToMember, had: u64) -> (u64, bool) {
    match told {
        ToMember::Items { items, .. } => {
            (items.last().map_or(had, |item| item.number), items.len() >= MAX_BATCH_ITEMS)
        }
        ToMember::Snapshot { after, items, .. } => {
            (items.last().map_or(*after, |item| item.number), items.len() >= MAX_BATCH_ITEMS)
        }
        _ => (had, true),
    }
}

/// Serves a member from its first word on, to the end of its connection.
pub async fn serve(teller: &impl Teller, lines: &mut LineReader<'_>, first: Ack) -> Result<(), String> {
    if !first.has_valid_name() {
        return Err("a member of no usable name".into());
    }
    let (name, stream) = (first.member.clone(), lines.stream());
    // Up to where this connection has told which start of it.
    let (mut next, mut told) = (first, (0, 0));
    loop {
        if next.member != name {
            return Err(format!("{name} calls itself {}", next.member));
        }
        let Some(answer) = teller.answer(&next).await else { return say(stream, &teller.elsewhere()).await };
        if told.0 != next.incarnation {
            told = (next.incarnation, 0);
        }
        let answer = untold(answer, told.1);
        let (has, is_full) = upto(&answer, next.applied.max(told.1));
        told.1 = has;
        // Whoever was not told all yet waits for its own turn, and is told nothing else.
        let waits =
            is_full || !next.bootstrapped && matches!(answer, ToMember::Items { .. }) && next.applied == 0;
        say(stream, &answer).await?;
        // What is new is told without being asked; the next line comes in its time.
        let heard = async { Some(lines.next_line().await) };
        let new = async {
            while waits || teller.told().is_some_and(|told| told <= has) {
                teller.until_news(LOOK).await;
            }
            None
        };
        let late = async {
            Timer::after(STALL).await;
            Some(Err("it says nothing".to_string()))
        };
        let line = match or(or(heard, new), late).await {
            Some(line) => line?,
            None => {
                let Some(news) = teller.told().and_then(|_| teller.after(has)) else {
                    return say(stream, &teller.elsewhere()).await;
                };
                say(stream, &news).await?;
                told.1 = upto(&news, has).0;
                with_timeout(STALL, "it says nothing", lines.next_line()).await?
            }
        };
        next = serde_json::from_slice(&line).map_err(|why| format!("{name}: an unreadable line: {why}"))?;
    }
}
