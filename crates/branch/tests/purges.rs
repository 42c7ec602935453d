//! Purges on the board: what routers know that follow it, call again, or come from another feed, against a plain list of all
//! purges that there were.
mod common;

use common::{Known, at, object, version};
use harestage::time::Moment;
use harestage_branch::board::{Behind, Board, LIVES, MOST_LIVE_BYTES, MOST_TOLD, Saying, Took};
use harestage_purge::scope::{CompiledScope, Scope};
use harestage_wire::feed::AppliedPurges;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Noon of some day.
const NOON: u64 = 1_764_590_400_000;
const MINUTE: u64 = 60_000;

fn board(groups: u32) -> Board {
    let mut board = Board::new("br", groups, true, at(NOON));
    board.told(&version(5, &["w"]), Vec::new(), at(NOON));
    board.knows_purges();
    board
}

fn purge_of(key: u64, ms: u64) -> (CompiledScope, Moment) {
    (object(key).compile().unwrap(), at(ms))
}

fn bytes(sayings: &[Saying]) -> usize {
    sayings.iter().map(|saying| saying.line(1_000_000, "br").len()).sum()
}

fn objects(sayings: &[Saying]) -> Vec<u64> {
    let object = |saying: &Saying| match saying {
        Saying::Purge { object, .. } => *object,
        _ => None,
    };
    sayings.iter().filter_map(object).collect()
}

fn groups(sayings: &[Saying]) -> Vec<(u32, u64)> {
    let group = |saying: &Saying| match saying {
        Saying::Purge { group: Some(group), at_ms, .. } => Some((*group, *at_ms)),
        _ => None,
    };
    sayings.iter().filter_map(group).collect()
}

/// Twelve a second for a day and ten minutes, with a beat ten times a second: nothing is folded, and a caller is told exactly
/// what it lacks.
#[test]
fn a_day_at_twelve_a_second_is_kept_exactly() {
    let mut board = board(256);
    let (day, mut beats, mut takes) = (86_400u64, std::time::Duration::ZERO, std::time::Duration::ZERO);
    for second in 0..day + 600 {
        let began = std::time::Instant::now();
        for n in 0..12 {
            let number = second * 12 + n + 1;
            board.take(&[purge_of(number, NOON + second * 1_000 + n * 80)], number);
        }
        takes += began.elapsed();
        let began = std::time::Instant::now();
        for beat in 0..10 {
            board.beat(at(NOON + second * 1_000 + beat * 100));
        }
        beats += began.elapsed();
    }
    let (last, now) = ((day + 600) * 12, at(NOON + (day + 600) * 1_000));
    assert_eq!(board.folds(), 0);
    let (live, taken) = board.live();
    assert!(live as u64 >= 12 * day && taken <= MOST_LIVE_BYTES, "{live} purges in {taken} bytes");
    assert!(live as u64 <= 12 * (LIVES.as_micros() / 1_000_000 + 1), "{live}: what is older is let go");
    let had = |back: u64, keeps_ms: u64| {
        let number = last - back;
        let at_ms = NOON + (number - 1) / 12 * 1_000 + (number - 1) % 12 * 80;
        AppliedPurges { number, at_ms, retention_ms: keeps_ms }
    };
    let (lacks, _) = board.lacking(&had(100, 3_600_000), now).unwrap();
    assert_eq!(objects(&lacks), (last - 99..=last).collect::<Vec<_>>());
    let (usual, _) = board.lacking(&had(100, 6_000), now).unwrap();
    assert_eq!(objects(&usual).len(), 100);
    let (new, _) =
        board.lacking(&AppliedPurges { retention_ms: 6_000, ..AppliedPurges::default() }, now).unwrap();
    assert_eq!(objects(&new).len(), 12 * 11, "6 s, and 5 s for clocks");
    let (far, _) = board.lacking(&had(40_000, 86_400_000), now).unwrap();
    assert_eq!((objects(&far).len(), groups(&far).len()), (40_000, 0));
    // Beyond an hour the rest is told of every group, up to the latest of the rest and no further.
    let (whole, _) = board.whole().unwrap();
    assert_eq!(objects(&whole), (last - MOST_TOLD as u64 + 1..=last).collect::<Vec<_>>());
    let hour_ms = NOON + (day + 600 - 3_600) * 1_000;
    assert!(
        groups(&whole).len() == 256
            && groups(&whole).iter().all(|(_, ms)| (hour_ms - 200..hour_ms).contains(ms))
    );
    let place = board.place();
    board.take(&[purge_of(last + 1, NOON + (day + 600) * 1_000)], last + 1);
    let a_purge = bytes(&board.after(place).unwrap().cloned().collect::<Vec<_>>());
    let began = std::time::Instant::now();
    (0..10).for_each(|_| {
        drop(board.lacking(&AppliedPurges { retention_ms: 6_000, ..AppliedPurges::default() }, now))
    });
    let looked = began.elapsed() / 10;
    println!(
        "live {live}, bytes {taken}; taken in {takes:?}; a beat {:?}; bytes of a purge with its marks {a_purge}; a new \
         caller's list {looked:?}; bytes told: lacks 100 {}, new that keeps 6 s {}, whole {}",
        beats / (10 * (day + 600) as u32),
        bytes(&lacks),
        bytes(&new),
        bytes(&whole)
    );
}

/// Past the bound only the oldest stand as purges of every group, up to the latest of them; who follows is not told that.
#[test]
fn past_its_bytes_the_oldest_are_folded_and_only_up_to_their_time() {
    let mut board = board(3);
    let most = (MOST_LIVE_BYTES / 24) as u64;
    for n in 1..=most {
        board.take(&[purge_of(n, NOON + n)], n);
    }
    assert_eq!((board.folds(), board.live()), (0, (most as usize, MOST_LIVE_BYTES)));
    let place = board.place();
    board.take(&[purge_of(most + 1, NOON + most + 1)], most + 1);
    assert_eq!(board.folds(), 1);
    let told: Vec<Saying> = board.after(place).unwrap().cloned().collect();
    assert_eq!((objects(&told), groups(&told)), (vec![most + 1], vec![]));
    let folded = most + 1 - board.live().0 as u64;
    assert_eq!(folded, 4_096);
    // One that lacks all of that and less than an hour beside is told of it by group; one that has them is not.
    let lacks = |number: u64| {
        let had = AppliedPurges { number, at_ms: NOON + number, retention_ms: 86_400_000 };
        board.lacking(&had, at(NOON + most)).unwrap().0
    };
    let near = lacks(most - 40_000);
    assert_eq!((objects(&near).len(), groups(&near).len()), (40_001, 0));
    let (whole, _) = board.whole().unwrap();
    let beyond = most + 1 - MOST_TOLD as u64;
    assert_eq!(groups(&whole), [0, 1, 2].map(|group| (group, NOON + beyond)));
    let mut known = Known::default();
    known.calls((whole, board.place()));
    for n in 1..=most + 1 {
        let of_object = known.objects.get(&n).is_some_and(|ms| *ms == NOON + n);
        assert!(of_object || (0..3).all(|group| known.groups[&group] >= NOON + n), "object {n}");
    }
    assert_eq!(board.after(0).err(), Some(Behind), "who is further behind than what is kept calls again");
    let behind = lacks(folded - 1);
    assert!(groups(&behind).len() == 3, "its number is no longer known: it is told all");
    // What is kept is exact: a copy given out after the last that was folded is no older than it was.
    let exact = board
        .lacking(&AppliedPurges { retention_ms: 0, ..AppliedPurges::default() }, at(NOON + folded + 5_000))
        .unwrap()
        .0;
    assert_eq!(groups(&exact)[0], (0, NOON + beyond), "the latest of those beyond an hour's worth");
}

#[test]
fn a_number_counts_only_in_the_order_that_it_is_of() {
    let mut board = board(2);
    board.take(&(1..=50).map(|n| purge_of(n, NOON + n)).collect::<Vec<_>>(), 50);
    let told = |number: u64, at_ms: u64| {
        objects(
            &board.lacking(&AppliedPurges { number, at_ms, retention_ms: MINUTE }, at(NOON + 60)).unwrap().0,
        )
        .len()
    };
    assert_eq!(told(40, NOON + 40), 10);
    assert_eq!(told(40, NOON + 39), 50, "the same number of another purge");
    assert_eq!(told(50, NOON + 50), 0);
    assert_eq!(told(70, NOON + 70), 50, "from a feed that is further: what it has beyond is not known here");
    assert_eq!(told(0, 0), 50);
    // Numbers that no clock can bear are taken for the longest that is kept.
    let longest = AppliedPurges { number: u64::MAX, at_ms: u64::MAX, retention_ms: u64::MAX };
    assert_eq!(objects(&board.lacking(&longest, at(NOON + 60)).unwrap().0).len(), 50);
    // Fences take numbers, too.
    board.take(&[], 53);
    let (list, _) = board
        .lacking(&AppliedPurges { number: 53, at_ms: NOON + 50, retention_ms: MINUTE }, at(NOON + 60))
        .unwrap();
    assert!(objects(&list).is_empty());
}

#[test]
fn a_service_that_counts_anew_is_seen_and_its_numbers_are_no_others() {
    let mut first = board(2);
    let old: Vec<_> = (1..=500).map(|n| purge_of(n, NOON + n)).collect();
    assert_eq!(first.take(&old, 500), Took::OnTop);
    let anew: Vec<_> = (1..=20).map(|n| purge_of(1_000 + n, NOON + MINUTE + n)).collect();
    assert_eq!(first.take(&anew, 20), Took::Anew);
    assert_eq!(first.goes().1, 500, "what it goes by is never told as less");
    let now = at(NOON + MINUTE + 30);
    let had = |number: u64, at_ms: u64| AppliedPurges { number, at_ms, retention_ms: 2 * MINUTE };
    let told = |had: AppliedPurges| objects(&first.lacking(&had, now).unwrap().0).len();
    assert_eq!(
        (told(had(20, NOON + MINUTE + 20)), told(had(20, NOON + 20)), told(had(500, NOON + 500))),
        (0, 520, 520)
    );
    // All that lives told again is nothing new, and under the same number something new is another order.
    let place = first.place();
    assert_eq!(first.take(&anew, 20), Took::OnTop);
    assert_eq!(first.place(), place);
    assert_eq!(first.take(&[purge_of(7, NOON + 2 * MINUTE)], 20), Took::Anew);
    // One that has gone past the old numbers meanwhile: whoever has the old ones is told all of the new.
    let mut second = board(2);
    second.take(&old, 500);
    let anew: Vec<_> = (1..=600).map(|n| purge_of(1_000 + n, NOON + MINUTE + n)).collect();
    second.take(&anew, 600);
    let (list, _) = second.lacking(&had(500, NOON + 500), now).unwrap();
    assert_eq!(objects(&list).len(), 600);
}

/// Draws from seed and counter.
struct Draws(u64, u64);

impl Draws {
    fn below(&mut self, most: u64) -> u64 {
        self.1 += 1;
        let mut hasher = DefaultHasher::new();
        (self.0, self.1).hash(&mut hasher);
        hasher.finish() % most
    }
}

/// Two feeds of one service. Each takes its items in batches of its own, and may start anew and be told all that lives.
struct Feeds {
    items: Vec<Option<(Scope, u64)>>,
    boards: [Board; 2],
    taken: [usize; 2],
}

impl Feeds {
    fn bring_up(&mut self, feed: usize, upto: usize) {
        let new = &self.items[self.taken[feed]..upto];
        let purges: Vec<_> =
            new.iter().flatten().map(|(scope, ms)| (scope.clone().compile().unwrap(), at(*ms))).collect();
        assert_eq!(self.boards[feed].take(&purges, upto as u64), Took::OnTop);
        self.taken[feed] = upto;
    }
}

#[test]
fn by_chance_no_router_lacks_a_purge_that_it_says_it_has_nor_knows_one_that_never_was() {
    const GROUPS: u32 = 3;
    const KEEPS: u64 = 20_000;
    for seed in 0..100 {
        let mut draws = Draws(seed, 0);
        let (mut now, mut told) = (NOON, [0u64; 2]);
        let mut feeds = Feeds { items: Vec::new(), boards: [board(GROUPS), board(GROUPS)], taken: [0, 0] };
        let mut routers: Vec<(usize, Known)> = (0..3).map(|n| (n % 2, Known::default())).collect();
        for (feed, router) in &mut routers {
            router.calls(feeds.boards[*feed].whole().unwrap());
        }
        for _ in 0..200 {
            now += draws.below(400);
            match draws.below(12) {
                0..=4 => {
                    // Clocks of those who give numbers differ by a second.
                    let ms = now - draws.below(1_000);
                    let scope = match draws.below(12) {
                        0 => Scope::Group(draws.below(GROUPS.into()) as u32),
                        1 => Scope::Glob("0*".into()),
                        _ => object(draws.below(30)),
                    };
                    feeds.items.push((draws.below(6) > 0).then_some((scope, ms)));
                }
                5..=7 => {
                    let feed = draws.below(2) as usize;
                    let upto = feeds.taken[feed]
                        + draws.below(1 + (feeds.items.len() - feeds.taken[feed]) as u64) as usize;
                    feeds.bring_up(feed, upto);
                }
                8 => {
                    for (feed, router) in &mut routers {
                        router.follows(&feeds.boards[*feed]);
                    }
                }
                9 => feeds.boards.iter_mut().for_each(|board| drop(board.beat(at(now)))),
                10 => {
                    // A feed starts anew, and is told all that lives before it tells anyone.
                    let feed = draws.below(2) as usize;
                    feeds.boards[feed] = board(GROUPS);
                    let upto = std::mem::take(&mut feeds.taken[feed]);
                    feeds.bring_up(feed, upto);
                    for (_, router) in routers.iter_mut().filter(|(its, _)| *its == feed) {
                        told[0] += 1;
                        router.calls(feeds.boards[feed].lacking(&router.had(KEEPS), at(now)).unwrap());
                    }
                }
                _ => {
                    // A router's connection breaks, and it calls the same feed or the other one; or it starts anew.
                    let (feed, router) = &mut routers[draws.below(3) as usize];
                    if draws.below(4) == 0 {
                        *router = Known::default();
                    }
                    *feed = draws.below(2) as usize;
                    told[1] += 1;
                    let list = feeds.boards[*feed].lacking(&router.had(KEEPS), at(now)).unwrap();
                    router.calls(list);
                }
            }
            for (_, router) in &routers {
                is_right(&feeds.items, router, now - KEEPS, seed);
            }
        }
        assert!(told[0] + told[1] > 0);
    }
}

/// All that matter of the purges up to its number are known to it, and it knows of none that there was not.
fn is_right(items: &[Option<(Scope, u64)>], router: &Known, oldest: u64, seed: u64) {
    let (mut of_objects, mut of_groups) = (HashMap::new(), HashMap::new());
    for (number, item) in (1..).zip(items) {
        let Some((scope, ms)) = item else { continue };
        let covers: (Option<u64>, Vec<u32>) = match scope {
            Scope::Object(key) => (u64::from_str_radix(key, 16).ok(), vec![]),
            Scope::Group(group) => (None, vec![*group]),
            _ => (None, vec![0, 1, 2]),
        };
        let has = number <= router.number && *ms >= oldest;
        if let Some(object) = covers.0 {
            of_objects.entry(object).or_insert_with(Vec::new).push(*ms);
            let known = router.objects.get(&object).copied().unwrap_or(0);
            assert!(!has || known >= *ms, "seed {seed}: purge {number} of object {object} is not known");
        }
        for group in covers.1 {
            of_groups.entry(group).or_insert_with(Vec::new).push(*ms);
            let known = router.groups.get(&group).copied().unwrap_or(0);
            assert!(!has || known >= *ms, "seed {seed}: purge {number} of group {group} is not known");
        }
    }
    for (object, ms) in &router.objects {
        assert!(of_objects.get(object).is_some_and(|all| all.contains(ms)), "seed {seed}: object {object}");
    }
    for (group, ms) in &router.groups {
        assert!(of_groups.get(group).is_some_and(|all| all.contains(ms)), "seed {seed}: group {group}");
    }
}

/// A feed that starts anew is told an hour at once: who lacks a hundred of them is still told a hundred.
#[test]
fn a_feed_that_starts_anew_tells_a_router_only_what_it_lacks() {
    let mut board = board(256);
    let all: Vec<_> = (1..=43_200).map(|n| purge_of(n, NOON + n * 80)).collect();
    let now = NOON + 43_201 * 80;
    let mut told = vec![(CompiledScope::Everything, at(NOON))];
    told.extend(all);
    board.take(&told, 43_200);
    let had = AppliedPurges { number: 43_100, at_ms: NOON + 43_100 * 80, retention_ms: 3_600_000 };
    let (list, _) = board.lacking(&had, at(now)).unwrap();
    assert_eq!((objects(&list).len(), groups(&list).len()), (100, 0));
    let (new, _) = board
        .lacking(&AppliedPurges { retention_ms: 3_600_000, ..AppliedPurges::default() }, at(now))
        .unwrap();
    let (whole, _) = board.whole().unwrap();
    println!("an hour: new that keeps an hour {} bytes, whole {}", bytes(&new), bytes(&whole));
}
