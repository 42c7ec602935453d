//! From when must a copy of this object be? Asked on the ordinary path, for every copy that is looked at, so that it must
//! cost little and the same however many purges live.
//!
//! Objects, parts, groups and tags are looked up; prefixes stand in a trie over names, each node with the latest purge of
//! what begins so; a pattern stands at the node of the letters that all its names begin with, so that only those on a
//! name's own path are tried. A purge that no living copy can be older than is dropped by a wheel of seconds.
//!
//! At its bounds purges give their places to the narrowest wider scope that gains room: parts to their object, objects to
//! the leading digits that their ids share, prefixes and patterns to the prefix that they share, sets of tags to a tag
//! of theirs; the older three quarters first, and most digits first. Copies may be refused that were good, none is taken that is
//! old. Everything is taken only where nothing narrower is left, and counted apart.
use crate::scope::{CompiledScope, CopyAttributes, Pattern};
use harestage::time::{Moment, Span};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Patterns that stand at one node of the trie at most; past it the oldest counts for all that begins so.
const MOST_AT_NODE: usize = 64;
/// Patterns at the root of the trie, which no letter leads to: past it the oldest counts for everything, so that more of
/// them are tried on each name before that.
const MOST_AT_ROOT: usize = 256;
/// Hex digits of an object's id.
const DIGITS: u8 = 16;
/// Stands for a part of an object where levels are compared: one below the whole id.
const PART: u8 = DIGITS + 1;
/// Part of a bound that folding leaves free, so that not every purge folds.
const LEFT_FREE: usize = 64;
/// Part of the bound in bytes that folding leaves free: more, since the trie is built anew for it.
const BYTES_LEFT_FREE: usize = 16;
/// Ids, or slots of the wheel, that one round looks at: it takes some 20 ms of a hub's one thread.
const AT_ONCE: usize = 32_768;

// Bytes that an entry takes. Nodes of a `BTreeMap` are half to three quarters full; measured against resident size in
// `tests/resident.rs`.
const OBJECT_BYTES: usize = 32;
const PART_BYTES: usize = 44;
const GROUP_BYTES: usize = 26;
/// With its key in the map and in the wheel.
const TAG_BYTES: usize = 150;
/// A set of tags without its tags, and each of its tags, in the map and in the wheel.
const SET_BYTES: usize = 200;
const SET_TAG_BYTES: usize = 112;
/// A compiled pattern that has been tried on a name.
const PATTERN_BYTES: usize = 14 << 10;
/// Children of a node of the trie, which are allocated four at a time.
const CHILDREN_BYTES: usize = 48;
const SLOT_BYTES: usize = size_of::<Slot>() * 4 / 3;
/// A second of the wheel with its allocation.
const SECOND_BYTES: usize = 72;

/// Where a purge stands, to be taken out again. The time is that of the entry: a slot whose entry has a later second, or
/// none, is stale.
#[derive(Clone, Debug)]
enum Slot {
    Object(u64),
    Part(u64, u32),
    /// Ids with these leading digits.
    Leading(u64, u8),
    Group(u32),
    Tag(Box<Tag>),
    Set(Box<Set>),
    Prefix(u32),
    Pattern(u32),
}

/// Kept behind one pointer, since slots are many.
#[derive(Clone, Debug)]
struct Tag(String);

#[derive(Clone, Debug)]
struct Set(Vec<String>);

#[derive(Default)]
struct Node {
    children: Vec<(u8, u32)>,
    parent: u32,
    /// Slots in the wheel that stand here: the node is not given back before the last of them.
    standing: u32,
    /// Of everything that begins so.
    at: Moment,
    /// It was made by folding.
    folded: bool,
    patterns: Vec<(Moment, Pattern)>,
}

/// Purges that gave their places to wider ones, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FoldCounts {
    pub parts: u64,
    pub objects: u64,
    /// Leading digits of ids that were folded before.
    pub id_prefixes: u64,
    pub prefixes: u64,
    pub patterns: u64,
    pub tag_sets: u64,
    /// Into one of everything.
    pub everything: u64,
}

/// A part, an object, or the leading digits of some.
#[derive(Clone, Copy)]
struct Id {
    first: u64,
    /// `PART`, `DIGITS` for an object, fewer for leading digits; 0 once it is folded.
    digits: u8,
    part: u32,
    at: Moment,
    /// Not in the maps yet.
    made: bool,
}

/// A node of the trie that says something, taken out.
struct Name {
    at: Moment,
    folded: bool,
    patterns: Vec<(Moment, Pattern)>,
}

pub struct Index {
    objects: BTreeMap<u64, Moment>,
    parts: BTreeMap<(u64, u32), Moment>,
    /// Folded objects: the first id with these leading digits, and how many digits.
    id_prefixes: BTreeMap<(u64, u8), Moment>,
    /// Entries in `leading` by their number of digits.
    lengths: [usize; DIGITS as usize],
    groups: BTreeMap<u32, Moment>,
    tags: BTreeMap<String, Moment>,
    /// Sets of tags that all have to be there, each under its first.
    sets: BTreeMap<String, Vec<(Vec<String>, Moment)>>,
    set_count: usize,
    set_tags: usize,
    nodes: Vec<Node>,
    free: Vec<u32>,
    prefixes: usize,
    patterns: usize,
    everything: Moment,
    /// The latest purge that was folded into everything.
    whole: Moment,
    /// The latest of each kind that can't be told where a fact is unknown.
    any_group: Moment,
    any_tag: Moment,
    any_name: Moment,
    wheel: BTreeMap<u64, Vec<Slot>>,
    slots: usize,
    most: usize,
    most_bytes: usize,
    /// Where the next round of folding begins among ids, and the next of dropping stale slots in the wheel.
    next_id: u64,
    next_second: u64,
    folded: FoldCounts,
    /// How long a copy may live.
    longest: Span,
}

impl Index {
    /// `most`: scopes that are kept one by one. `longest`: how long any copy may live; nothing is older. Bytes are bounded
    /// at 256 a scope, and 1 MB at least, unless `within` says otherwise.
    pub fn new(most: usize, longest: Span) -> Index {
        let most = most.max(1);
        Index {
            objects: BTreeMap::new(),
            parts: BTreeMap::new(),
            id_prefixes: BTreeMap::new(),
            lengths: [0; DIGITS as usize],
            groups: BTreeMap::new(),
            tags: BTreeMap::new(),
            sets: BTreeMap::new(),
            set_count: 0,
            set_tags: 0,
            nodes: vec![Node::default()],
            free: Vec::new(),
            prefixes: 0,
            patterns: 0,
            everything: Moment::default(),
            whole: Moment::default(),
            any_group: Moment::default(),
            any_tag: Moment::default(),
            any_name: Moment::default(),
            wheel: BTreeMap::new(),
            slots: 0,
            most,
            most_bytes: most.saturating_mul(256).max(1 << 20),
            next_id: 0,
            next_second: 0,
            folded: FoldCounts::default(),
            longest,
        }
    }

    /// Bounded by so many bytes.
    pub fn with_max_bytes(self, bytes: usize) -> Index {
        Index { most_bytes: bytes, ..self }
    }

    /// Takes a purge in; copies given out up to `at` are old.
    pub fn insert(&mut self, scope: &CompiledScope, at: Moment, now: Moment) {
        if at > Moment::default() {
            self.place(scope, at);
        }
        self.maintain(now);
    }

    fn place(&mut self, scope: &CompiledScope, at: Moment) {
        match scope {
            CompiledScope::Object(object) => self.place_object(*object, at),
            CompiledScope::Part(object, part) => {
                if raise(&mut self.parts, (*object, *part), at) {
                    self.stand(Slot::Part(*object, *part), at);
                }
            }
            CompiledScope::Group(group) => {
                self.any_group = self.any_group.max(at);
                if raise(&mut self.groups, *group, at) {
                    self.stand(Slot::Group(*group), at);
                }
            }
            CompiledScope::AnyTag(tags) => tags.iter().for_each(|tag| self.place_tag(tag, at)),
            CompiledScope::AllTags(tags) => self.place_set(tags, at),
            CompiledScope::Prefix(prefix) => self.place_prefix(prefix.as_bytes(), at, false),
            CompiledScope::Pattern(pattern) => {
                self.place_pattern(pattern.literal.as_bytes(), pattern.clone(), at)
            }
            CompiledScope::Everything => self.everything = self.everything.max(at),
        }
    }

    fn place_object(&mut self, object: u64, at: Moment) {
        if raise(&mut self.objects, object, at) {
            self.stand(Slot::Object(object), at);
        }
    }

    fn place_leading(&mut self, first: u64, digits: u8, at: Moment) {
        let known = self.id_prefixes.len();
        if raise(&mut self.id_prefixes, (first, digits), at) {
            self.stand(Slot::Leading(first, digits), at);
        }
        self.lengths[usize::from(digits)] += self.id_prefixes.len() - known;
    }

    fn place_tag(&mut self, tag: &str, at: Moment) {
        self.any_tag = self.any_tag.max(at);
        if raise(&mut self.tags, tag.to_string(), at) {
            self.stand(Slot::Tag(Box::new(Tag(tag.to_string()))), at);
        }
    }

    fn place_set(&mut self, tags: &[String], at: Moment) {
        let Some(first) = tags.first() else { return };
        self.any_tag = self.any_tag.max(at);
        let sets = self.sets.entry(first.clone()).or_default();
        let stands = match sets.iter_mut().find(|(set, _)| set == tags) {
            Some((_, known)) => later(known, at),
            None => {
                sets.push((tags.to_vec(), at));
                self.set_count += 1;
                self.set_tags += tags.len();
                true
            }
        };
        if stands {
            self.stand(Slot::Set(Box::new(Set(tags.to_vec()))), at);
        }
    }

    fn place_prefix(&mut self, prefix: &[u8], at: Moment, folded: bool) {
        self.any_name = self.any_name.max(at);
        let node = self.node(prefix);
        let here = &mut self.nodes[node as usize];
        here.folded |= folded;
        self.prefixes += usize::from(here.at == Moment::default());
        if later(&mut here.at, at) {
            self.stand(Slot::Prefix(node), at);
        }
    }

    fn place_pattern(&mut self, literal: &[u8], pattern: Pattern, at: Moment) {
        self.any_name = self.any_name.max(at);
        let node = self.node(literal);
        self.nodes[node as usize].patterns.push((at, pattern));
        self.patterns += 1;
        self.stand(Slot::Pattern(node), at);
        let most = if node == 0 { MOST_AT_ROOT } else { MOST_AT_NODE };
        let patterns = &mut self.nodes[node as usize].patterns;
        if patterns.len() > most {
            let oldest = (0..patterns.len()).min_by_key(|n| patterns[*n].0).unwrap_or_default();
            let (oldest, _) = patterns.remove(oldest);
            self.patterns -= 1;
            match node {
                0 => self.fold_whole(oldest),
                _ => {
                    self.folded.patterns += 1;
                    self.place_prefix(literal, oldest, true);
                }
            }
        }
    }

    /// Puts a slot into the wheel, for when its entry is over.
    fn stand(&mut self, slot: Slot, at: Moment) {
        if let Slot::Prefix(node) | Slot::Pattern(node) = slot {
            self.nodes[node as usize].standing += 1;
        }
        self.wheel.entry(second(at)).or_default().push(slot);
        self.slots += 1;
    }

    /// The node of a prefix, made if there is none.
    fn node(&mut self, prefix: &[u8]) -> u32 {
        let mut at = 0;
        for byte in prefix.iter().copied() {
            let children = &self.nodes[at as usize].children;
            at = match children.binary_search_by_key(&byte, |(b, _)| *b) {
                Ok(found) => children[found].1,
                Err(place) => {
                    let new = self.free.pop().unwrap_or_else(|| {
                        self.nodes.push(Node::default());
                        self.nodes.len() as u32 - 1
                    });
                    self.nodes[new as usize] = Node { parent: at, ..Node::default() };
                    self.nodes[at as usize].children.insert(place, (byte, new));
                    new
                }
            };
        }
        at
    }

    /// Copies of this have to be younger; none if any will do.
    pub fn newest_purge(&self, facts: &CopyAttributes) -> Option<Moment> {
        let mut bound = self.everything;
        if self.slots > 0 {
            bound = bound.max(self.by_id(facts)).max(self.by_tags(facts)).max(self.by_name(facts));
        }
        (bound > Moment::default()).then_some(bound)
    }

    fn by_id(&self, facts: &CopyAttributes) -> Moment {
        let of = |found: Option<&Moment>| found.copied().unwrap_or_default();
        let object = of(self.objects.get(&facts.object));
        let part = of(self.parts.get(&(facts.object, facts.part)));
        let group = facts.group.map_or(self.any_group, |group| of(self.groups.get(&group)));
        let mut bound = object.max(part).max(group);
        if !self.id_prefixes.is_empty() {
            for digits in (1..DIGITS).filter(|digits| self.lengths[usize::from(*digits)] > 0) {
                bound = bound.max(of(self.id_prefixes.get(&(first_id(facts.object, digits), digits))));
            }
        }
        bound
    }

    fn by_tags(&self, facts: &CopyAttributes) -> Moment {
        if self.any_tag == Moment::default() {
            return Moment::default();
        }
        let Some(tags) = facts.tags else { return self.any_tag };
        let mut bound = Moment::default();
        for tag in tags {
            bound = bound.max(self.tags.get(*tag).copied().unwrap_or_default());
            for (set, at) in self.sets.get(*tag).into_iter().flatten() {
                if *at > bound && set.iter().all(|one| tags.contains(&one.as_str())) {
                    bound = *at;
                }
            }
        }
        bound
    }

    fn by_name(&self, facts: &CopyAttributes) -> Moment {
        if self.any_name == Moment::default() {
            return Moment::default();
        }
        let Some(name) = facts.name else { return self.any_name };
        let (mut at, mut bound, mut bytes) = (0u32, Moment::default(), name.bytes());
        loop {
            let node = &self.nodes[at as usize];
            bound = bound.max(node.at);
            for (purged, pattern) in node.patterns.iter().rev() {
                // The latest come last, as a rule: an older one can't raise the bound any more.
                if *purged > bound && pattern.matches(name) {
                    bound = *purged;
                }
            }
            let Some(byte) = bytes.next() else { return bound };
            match node.children.binary_search_by_key(&byte, |(b, _)| *b) {
                Ok(found) => at = node.children[found].1,
                Err(_) => return bound,
            }
        }
    }

    /// Drops what no living copy can be older than, and folds where there is too much.
    pub fn maintain(&mut self, now: Moment) {
        let horizon = now.before(self.longest);
        while let Some(first) = self.wheel.first_entry() {
            let second = *first.key();
            if (second + 1) * 1_000_000 > horizon.micros() {
                break;
            }
            let slots = first.remove();
            self.slots -= slots.len();
            for slot in slots {
                self.take_out(slot, second);
            }
        }
        for known in [&mut self.everything, &mut self.whole] {
            if *known < horizon {
                *known = Moment::default();
            }
        }
        if self.groups.is_empty() {
            self.any_group = Moment::default();
        }
        if self.tags.is_empty() && self.sets.is_empty() {
            self.any_tag = Moment::default();
        }
        if self.prefixes + self.patterns == 0 {
            self.any_name = Moment::default();
        }
        if self.is_over() {
            self.make_room();
        }
    }

    /// Takes the entry of a slot out, unless the slot is stale; when it was purged.
    fn take_out(&mut self, slot: Slot, second_of_slot: u64) -> Option<Moment> {
        let is_over = |at: &Moment| second(*at) <= second_of_slot;
        match slot {
            Slot::Object(object) => forget(&mut self.objects, &object, second_of_slot),
            Slot::Part(object, part) => forget(&mut self.parts, &(object, part), second_of_slot),
            Slot::Leading(first, digits) => {
                let gone = forget(&mut self.id_prefixes, &(first, digits), second_of_slot);
                self.lengths[usize::from(digits)] -= usize::from(gone.is_some());
                gone
            }
            Slot::Group(group) => forget(&mut self.groups, &group, second_of_slot),
            Slot::Tag(tag) => forget(&mut self.tags, &tag.0, second_of_slot),
            Slot::Set(set) => {
                let Set(set) = *set;
                let known = self.sets.get(&set[0])?.iter().find(|(own, at)| *own == set && is_over(at))?.1;
                self.remove_set(&set);
                Some(known)
            }
            Slot::Prefix(node) => {
                let here = &mut self.nodes[node as usize];
                here.standing -= 1;
                let gone = Some(here.at).filter(|at| *at > Moment::default() && is_over(at));
                if gone.is_some() {
                    (here.at, here.folded) = (Moment::default(), false);
                    self.prefixes -= 1;
                }
                self.prune(node);
                gone
            }
            Slot::Pattern(node) => {
                let here = &mut self.nodes[node as usize];
                here.standing -= 1;
                let gone = here.patterns.iter().map(|(at, _)| *at).filter(is_over).max();
                let before = here.patterns.len();
                here.patterns.retain(|(at, _)| !is_over(at));
                self.patterns -= before - here.patterns.len();
                self.prune(node);
                gone
            }
        }
    }

    fn remove_set(&mut self, set: &[String]) {
        let Some(sets) = set.first().and_then(|first| self.sets.get_mut(first)) else { return };
        let before = sets.len();
        sets.retain(|(own, _)| own != set);
        let gone = before - sets.len();
        self.set_count -= gone;
        self.set_tags -= gone * set.len();
        if sets.is_empty() {
            self.sets.remove(&set[0]);
        }
    }

    /// Gives nodes back that say nothing and lead nowhere.
    fn prune(&mut self, mut node: u32) {
        while node != 0 {
            let here = &mut self.nodes[node as usize];
            if here.standing > 0 || !here.children.is_empty() {
                return;
            }
            let parent = here.parent;
            *here = Node::default();
            self.nodes[parent as usize].children.retain(|(_, child)| *child != node);
            self.free.push(node);
            node = parent;
        }
    }

    // Bounds.

    fn is_over(&self) -> bool {
        self.entry_count() > self.most || self.estimated_bytes() > self.most_bytes
    }

    /// Folds until the bounds hold: the older part, then all; what has no narrower scope left into everything. A round
    /// takes the next ids, so that no round is long; all ids have had their turn before a part is given up.
    fn make_room(&mut self) {
        self.drop_stale();
        for upto in [self.older_part(), u64::MAX] {
            let mut idle = 0;
            while self.is_over() && idle <= 1 + self.ids() / AT_ONCE {
                idle = if self.fold(upto) == 0 { idle + 1 } else { 0 };
            }
        }
        while self.is_over() {
            let Some((second, slots)) = self.wheel.pop_first() else { return };
            self.slots -= slots.len();
            for slot in slots {
                if let Some(at) = self.take_out(slot, second) {
                    self.fold_whole(at);
                }
            }
        }
    }

    fn fold_whole(&mut self, at: Moment) {
        self.everything = self.everything.max(at);
        self.whole = self.whole.max(at);
        self.folded.everything += 1;
    }

    /// The last second of the older three quarters of the time that the wheel spans. Of fewer, those that stand near each
    /// other are too few: at a tenth over the bound, half covered twice as much in trials.
    fn older_part(&self) -> u64 {
        let ends = self.wheel.first_key_value().zip(self.wheel.last_key_value());
        ends.map_or(0, |((first, _), (last, _))| first + (last - first) / 4 * 3)
    }

    /// One round: each kind gives room by its part in what there is. Returns by how many scopes there are fewer, or
    /// narrower ones that were costly.
    fn fold(&mut self, upto: u64) -> usize {
        let (ids, names) = (self.ids(), self.prefixes + self.patterns);
        let over = |is: usize, most: usize, free: usize| match is > most {
            true => (is - (most - most / free)) as f64,
            false => 0.0,
        };
        let crowded = over(self.entry_count(), self.most, LEFT_FREE);
        let heavy = over(self.estimated_bytes(), self.most_bytes, BYTES_LEFT_FREE);
        let narrower = (ids + names + self.set_count).max(1) as f64;
        let bytes = (self.estimated_bytes() - self.fixed_bytes()).max(1) as f64;
        let share = (crowded / narrower).max(heavy / bytes).min(1.0);
        let quota = |many: usize| (many as f64 * share).ceil() as usize;
        let (of_sets, of_names) = (quota(self.set_count), quota(names));
        let of_patterns = quota(self.patterns);
        let mut gained = if heavy > 0.0 { self.fold_patterns(of_patterns) } else { 0 };
        gained += self.fold_ids(upto, &quota);
        gained += self.fold_sets(upto, of_sets);
        gained += self.fold_names(upto, of_names);
        gained
    }

    /// Parts into objects, objects into the leading digits that they share: most digits first, and of as many digits where
    /// most of them stand together.
    fn fold_ids(&mut self, upto: u64, quota: &dyn Fn(usize) -> usize) -> usize {
        let mut ids: Vec<Id> = Vec::new();
        let mut push = |first, digits, part, at| {
            if second(at) <= upto {
                ids.push(Id { first, digits, part, at, made: false });
            }
        };
        // So many of each kind at most, and all that stands between the first and the last of them.
        let from = self.next_id;
        let nth = |ids: &mut dyn Iterator<Item = u64>| ids.nth(AT_ONCE);
        let object = nth(&mut self.objects.range(from..).map(|(id, _)| *id));
        let part = nth(&mut self.parts.range((from, 0)..).map(|((id, _), _)| *id));
        let id_prefixes = nth(&mut self.id_prefixes.range((from, 0)..).map(|((id, _), _)| *id));
        let until = [object, part, id_prefixes].into_iter().flatten().min().unwrap_or(u64::MAX);
        self.next_id = if until == u64::MAX { 0 } else { until + 1 };
        self.objects.range(from..=until).for_each(|(object, at)| push(*object, DIGITS, 0, *at));
        self.parts
            .range((from, 0)..=(until, u32::MAX))
            .for_each(|((object, part), at)| push(*object, PART, *part, *at));
        self.id_prefixes
            .range((from, 0)..=(until, DIGITS))
            .for_each(|((first, digits), at)| push(*first, *digits, 0, *at));
        let quota = quota(ids.len());
        ids.sort_unstable_by_key(|id| (id.first, id.digits, id.part));
        let mut levels: BTreeSet<u8> =
            ids.windows(2).map(|two| shared_digits(two[0].first, two[1].first)).collect();
        levels.extend(ids.iter().map(|id| id.digits).filter(|digits| *digits < DIGITS));
        levels.remove(&0);
        let (mut gained, mut gone) = (0, Vec::new());
        for level in levels.into_iter().rev() {
            if gained >= quota {
                break;
            }
            let narrower: Vec<usize> = (0..ids.len()).filter(|n| ids[*n].digits >= level).collect();
            let same = |a: &usize, b: &usize| shared_digits(ids[*a].first, ids[*b].first) >= level;
            let mut runs: Vec<&[usize]> = narrower.chunk_by(same).filter(|run| run.len() > 1).collect();
            // What joins digits that are folded already covers no more.
            let joins = |run: &[usize]| run.iter().any(|n| ids[*n].digits == level);
            runs.sort_by_key(|run| std::cmp::Reverse((joins(run), run.len())));
            for run in runs {
                if gained >= quota {
                    break;
                }
                gained += run.len() - 1;
                let at = run.iter().map(|n| ids[*n].at).max().unwrap_or_default();
                for n in run {
                    if !ids[*n].made {
                        gone.push(ids[*n]);
                    }
                    ids[*n].digits = 0;
                }
                let first = first_id(ids[run[0]].first, level);
                ids[run[0]] = Id { first, digits: level, part: 0, at, made: true };
            }
            ids.retain(|id| id.digits > 0);
        }
        for id in gone {
            match id.digits {
                PART => {
                    self.parts.remove(&(id.first, id.part));
                    self.folded.parts += 1;
                }
                DIGITS => {
                    self.objects.remove(&id.first);
                    self.folded.objects += 1;
                }
                digits => {
                    self.id_prefixes.remove(&(id.first, digits));
                    self.lengths[usize::from(digits)] -= 1;
                    self.folded.id_prefixes += 1;
                }
            }
        }
        for id in ids.into_iter().filter(|id| id.made) {
            match id.digits {
                DIGITS => self.place_object(id.first, id.at),
                digits => self.place_leading(id.first, digits, id.at),
            }
        }
        gained
    }

    /// Sets into one tag of theirs: first one that stands by itself already, or that most of them have.
    fn fold_sets(&mut self, upto: u64, quota: usize) -> usize {
        let old = |(_, at): &&(Vec<String>, Moment)| second(*at) <= upto;
        let mut left: Vec<(Vec<String>, Moment)> =
            self.sets.values().flatten().filter(old).cloned().collect();
        let mut many: HashMap<String, usize> = HashMap::new();
        left.iter().flat_map(|(set, _)| set).for_each(|tag| *many.entry(tag.clone()).or_default() += 1);
        let mut tags: Vec<(bool, usize, String)> =
            many.into_iter().map(|(tag, many)| (self.tags.contains_key(&tag), many, tag)).collect();
        tags.sort_by(|a, b| (b.0, b.1, &a.2).cmp(&(a.0, a.1, &b.2)));
        let mut gained = 0;
        for (stands, _, tag) in tags {
            let (mut going, rest): (Vec<_>, Vec<_>) =
                left.into_iter().partition(|(set, _)| set.contains(&tag));
            left = rest;
            going.sort_by_key(|(_, at)| *at);
            let extra = usize::from(!stands);
            going.truncate((quota.saturating_sub(gained) + extra).max(extra + 1));
            if gained >= quota || going.len() <= extra {
                continue;
            }
            gained += going.len() - extra;
            for (set, at) in going {
                self.remove_set(&set);
                self.place_tag(&tag, at);
                self.folded.tag_sets += 1;
            }
        }
        gained
    }

    /// The oldest patterns into the prefix of their own letters: they take a hundred times the bytes of other scopes, so
    /// that they give their part of those however old the oldest are.
    fn fold_patterns(&mut self, quota: usize) -> usize {
        if quota == 0 {
            return 0;
        }
        let mut names = self.names();
        let with_letters = names.iter().filter(|(text, _)| !text.is_empty());
        let mut ages: Vec<Moment> =
            with_letters.flat_map(|(_, name)| name.patterns.iter().map(|(at, _)| *at)).collect();
        ages.sort_unstable();
        let Some(last) = ages.get(quota.min(ages.len()).saturating_sub(1)).copied() else { return 0 };
        let mut gained = 0;
        for (_, name) in names.iter_mut().filter(|(text, _)| !text.is_empty()) {
            for (at, _) in name.patterns.extract_if(.., |(at, _)| *at <= last) {
                (name.at, name.folded) = (name.at.max(at), true);
                gained += 1;
            }
        }
        self.folded.patterns += gained as u64;
        self.set_names(names);
        gained
    }

    /// Prefixes and patterns into the longest prefix that several of them share.
    fn fold_names(&mut self, upto: u64, quota: usize) -> usize {
        if quota == 0 {
            return 0;
        }
        let mut names = self.names();
        let keys: Vec<&Vec<u8>> = names.keys().collect();
        let mut levels: BTreeSet<usize> = keys.windows(2).map(|two| shared_bytes(two[0], two[1])).collect();
        let with_patterns = names.iter().filter(|(_, name)| !name.patterns.is_empty());
        levels.extend(with_patterns.map(|(text, _)| text.len()));
        levels.remove(&0);
        let is_old = |at: Moment| at > Moment::default() && second(at) <= upto;
        let mut gained = 0;
        for level in levels.into_iter().rev() {
            if gained >= quota {
                break;
            }
            // Old scopes by the prefix of so many bytes.
            let mut runs: BTreeMap<&[u8], usize> = BTreeMap::new();
            for (text, name) in names.iter().filter(|(text, _)| text.len() >= level) {
                let patterns = name.patterns.iter().filter(|(at, _)| is_old(*at)).count();
                *runs.entry(&text[..level]).or_default() += patterns + usize::from(is_old(name.at));
            }
            let several = runs.into_iter().filter(|(_, scopes)| *scopes > 1);
            let mut runs: Vec<(Vec<u8>, usize)> =
                several.map(|(text, scopes)| (text.to_vec(), scopes)).collect();
            runs.sort_by_key(|(_, scopes)| std::cmp::Reverse(*scopes));
            for (text, scopes) in runs {
                if gained >= quota {
                    break;
                }
                gained += scopes - 1;
                self.fold_run(&mut names, text, &is_old);
            }
        }
        if gained > 0 {
            self.set_names(names);
        }
        gained
    }

    /// What is old under a prefix gives its place to the prefix.
    fn fold_run(
        &mut self,
        names: &mut BTreeMap<Vec<u8>, Name>,
        text: Vec<u8>,
        is_old: &dyn Fn(Moment) -> bool,
    ) {
        let mut at = Moment::default();
        let mut empty = Vec::new();
        for (own, name) in names.range_mut(text.clone()..).take_while(|(own, _)| own.starts_with(&text)) {
            if is_old(name.at) {
                at = at.max(name.at);
                self.folded.prefixes += u64::from(*own != text);
                name.at = Moment::default();
            }
            for (purged, _) in name.patterns.extract_if(.., |(purged, _)| is_old(*purged)) {
                at = at.max(purged);
                self.folded.patterns += 1;
            }
            if name.at == Moment::default() && name.patterns.is_empty() {
                empty.push(own.clone());
            }
        }
        empty.iter().for_each(|own| drop(names.remove(own)));
        let name = names.entry(text).or_insert(Name { at, folded: true, patterns: Vec::new() });
        name.at = name.at.max(at);
        name.folded = true;
    }

    /// Takes out what the trie says.
    fn names(&mut self) -> BTreeMap<Vec<u8>, Name> {
        let mut found = BTreeMap::new();
        let mut open: Vec<(u32, Vec<u8>)> = vec![(0, Vec::new())];
        while let Some((node, text)) = open.pop() {
            let here = &mut self.nodes[node as usize];
            for (byte, child) in &here.children {
                open.push((*child, text.iter().copied().chain([*byte]).collect()));
            }
            if here.at > Moment::default() || !here.patterns.is_empty() {
                let patterns = here.patterns.clone();
                found.insert(text, Name { at: here.at, folded: here.folded, patterns });
            }
        }
        found
    }

    /// Builds the trie anew from what it says, without its stale slots and free nodes.
    fn set_names(&mut self, names: BTreeMap<Vec<u8>, Name>) {
        self.nodes = vec![Node::default()];
        self.free = Vec::new();
        (self.prefixes, self.patterns) = (0, 0);
        self.wheel.retain(|_, slots| {
            let before = slots.len();
            slots.retain(|slot| !matches!(slot, Slot::Prefix(_) | Slot::Pattern(_)));
            self.slots -= before - slots.len();
            !slots.is_empty()
        });
        for (text, name) in names {
            if name.at > Moment::default() {
                self.place_prefix(&text, name.at, name.folded);
            }
            name.patterns.into_iter().for_each(|(at, pattern)| self.place_pattern(&text, pattern, at));
        }
    }

    /// While there are too many bytes: drops slots whose entries have gone or have later ones, where a quarter of all are,
    /// and nodes of the trie that are free, where half of all are.
    fn drop_stale(&mut self) {
        let is_heavy = |index: &Index| index.estimated_bytes() > index.most_bytes;
        for _ in 0..=self.slots / AT_ONCE + 1 {
            if !is_heavy(self) || self.slots <= self.entry_count() + self.slots / 4 {
                break;
            }
            self.drop_next_stale();
        }
        if is_heavy(self) && self.free.len() > self.nodes.len() / 2 {
            let names = self.names();
            self.set_names(names);
        }
    }

    /// One round of that.
    fn drop_next_stale(&mut self) {
        let mut seen = 0;
        let due: Vec<u64> = self
            .wheel
            .range(self.next_second..)
            .take_while(|(_, slots)| {
                seen += slots.len();
                seen <= AT_ONCE + slots.len()
            })
            .map(|(second, _)| *second)
            .collect();
        self.next_second = if seen > AT_ONCE { due.last().map_or(0, |last| last + 1) } else { 0 };
        for second in due {
            let Some(mut slots) = self.wheel.remove(&second) else { continue };
            let before = slots.len();
            let stale: Vec<Slot> = slots.extract_if(.., |slot| !self.stands_for(slot, second)).collect();
            self.slots -= before - slots.len();
            for slot in stale {
                // Only the trie counts its slots; there is no entry to take out.
                if let Slot::Prefix(node) | Slot::Pattern(node) = slot {
                    self.nodes[node as usize].standing -= 1;
                    self.prune(node);
                }
            }
            if !slots.is_empty() {
                slots.shrink_to_fit();
                self.wheel.insert(second, slots);
            }
        }
    }

    /// Whether the entry of a slot is of that second.
    fn stands_for(&self, slot: &Slot, own: u64) -> bool {
        let is = |at: Option<&Moment>| at.is_some_and(|at| second(*at) == own);
        match slot {
            Slot::Object(object) => is(self.objects.get(object)),
            Slot::Part(object, part) => is(self.parts.get(&(*object, *part))),
            Slot::Leading(first, digits) => is(self.id_prefixes.get(&(*first, *digits))),
            Slot::Group(group) => is(self.groups.get(group)),
            Slot::Tag(tag) => is(self.tags.get(&tag.0)),
            Slot::Set(set) => {
                let mut sets = self.sets.get(&set.0[0]).into_iter().flatten();
                is(sets.find(|(own, _)| *own == set.0).map(|(_, at)| at))
            }
            Slot::Prefix(node) => is(Some(&self.nodes[*node as usize].at)),
            Slot::Pattern(node) => self.nodes[*node as usize].patterns.iter().any(|(at, _)| is(Some(at))),
        }
    }

    /// Scopes that are kept one by one; a purge of several tags counts for each, a scope purged again once.
    pub fn entry_count(&self) -> usize {
        self.ids() + self.groups.len() + self.tags.len() + self.set_count + self.prefixes + self.patterns
    }

    fn ids(&self) -> usize {
        self.objects.len() + self.parts.len() + self.id_prefixes.len()
    }

    /// Purges that gave their places to wider ones.
    pub fn total_folds(&self) -> u64 {
        let FoldCounts { parts, objects, id_prefixes, prefixes, patterns, tag_sets, everything } =
            self.folded;
        parts + objects + id_prefixes + prefixes + patterns + tag_sets + everything
    }

    pub fn fold_counts(&self) -> FoldCounts {
        self.folded
    }

    /// Purges that were folded into one of everything, since nothing narrower was left.
    pub fn folds_to_everything(&self) -> u64 {
        self.folded.everything
    }

    /// About the share of all objects that wider scopes cover now which folding made: leading digits of ids, and prefixes
    /// of names as if these were hex digits. Tags are left out: how many objects have one is not known here.
    pub fn folded_coverage(&self) -> f64 {
        if self.whole > Moment::default() {
            return 1.0;
        }
        let (mut share, mut covered) = (0.0, None);
        for (first, digits) in self.id_prefixes.keys() {
            if covered.is_none_or(|covered| *first > covered) {
                share += 16f64.powi(-i32::from(*digits));
                covered = Some(first | !first_id(u64::MAX, *digits));
            }
        }
        let mut open = vec![(0u32, 0)];
        while let Some((node, letters)) = open.pop() {
            let here = &self.nodes[node as usize];
            match here.folded {
                true => share += 16f64.powi(-letters),
                false => open.extend(here.children.iter().map(|(_, child)| (*child, letters + 1))),
            }
        }
        share.min(1.0)
    }

    /// About the bytes that it takes; within half of resident size, up or down.
    pub fn estimated_bytes(&self) -> usize {
        let ids =
            self.objects.len() * OBJECT_BYTES + (self.parts.len() + self.id_prefixes.len()) * PART_BYTES;
        let tags = self.tags.len() * TAG_BYTES + self.set_count * SET_BYTES + self.set_tags * SET_TAG_BYTES;
        let used = self.nodes.len() - self.free.len();
        let names = used * CHILDREN_BYTES + self.patterns * PATTERN_BYTES;
        let wheel = self.slots * SLOT_BYTES + self.wheel.len() * SECOND_BYTES;
        self.fixed_bytes() + ids + self.groups.len() * GROUP_BYTES + tags + names + wheel
    }

    /// Nodes of the trie are used again, and given back only when it is built anew.
    fn fixed_bytes(&self) -> usize {
        self.nodes.len() * size_of::<Node>()
    }
}

fn second(at: Moment) -> u64 {
    at.micros() / 1_000_000
}

/// The first id with the leading digits of this one.
fn first_id(id: u64, digits: u8) -> u64 {
    match digits {
        0 => 0,
        DIGITS.. => id,
        _ => id & !(u64::MAX >> (4 * u32::from(digits))),
    }
}

/// Leading digits that two ids share.
fn shared_digits(a: u64, b: u64) -> u8 {
    (a ^ b).leading_zeros() as u8 / 4
}

fn shared_bytes(a: &[u8], b: &[u8]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}

/// Raises a time. True: it has to stand in the wheel under this second too.
fn later(known: &mut Moment, at: Moment) -> bool {
    let before = std::mem::replace(known, at.max(*known));
    before < at && (before == Moment::default() || second(before) != second(at))
}

fn raise<K: Ord>(map: &mut BTreeMap<K, Moment>, key: K, at: Moment) -> bool {
    match map.entry(key) {
        Entry::Vacant(place) => {
            place.insert(at);
            true
        }
        Entry::Occupied(mut known) => later(known.get_mut(), at),
    }
}

fn forget<K: Ord>(map: &mut BTreeMap<K, Moment>, key: &K, slot: u64) -> Option<Moment> {
    let known = *map.get(key)?;
    if second(known) > slot {
        return None;
    }
    map.remove(key)
}

/// The plain way: every purge, one after another.
#[derive(Default)]
pub struct LinearIndex(Vec<(CompiledScope, Moment)>);

impl LinearIndex {
    pub fn insert(&mut self, scope: &CompiledScope, at: Moment) {
        self.0.push((scope.clone(), at));
    }

    pub fn newest_purge(&self, facts: &CopyAttributes) -> Option<Moment> {
        self.0.iter().filter(|(scope, _)| scope.covers(facts)).map(|(_, at)| *at).max()
    }
}
