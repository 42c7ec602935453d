//! Index of the purges that are in effect: tells from when on a copy of an object must date to be served.
//! It is consulted for every copy that is looked up, so a lookup has to be cheap and cost the same however
//! many purges are in effect.
//!
//! Objects, parts, groups and tags are kept in maps. Prefixes are kept in a trie over object names, in which
//! each node holds the newest purge of its prefix. A pattern is kept at the node of its literal prefix, so a
//! lookup tries only the patterns along the path of the object's name. A timer wheel with slots of one
//! second drops purges that are older than any copy can be.
//!
//! When a limit is reached, purges are folded: replaced by a purge of the narrowest wider scope that saves
//! space. Parts fold into their object, objects into a common prefix of their ids, prefixes and patterns
//! into a common prefix, sets of tags into one of their tags. The oldest three quarters of the time span
//! fold first, longest prefixes first. Folding may reject copies that are still valid, but never admits one
//! that was purged. Entries fold into a purge of everything only when no narrower scope is left; these folds
//! are counted separately.
use crate::scope::{CompiledScope, CopyAttributes, Pattern};
use harestage::time::{Moment, Span};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Patterns kept at one node of the trie. Above it, the oldest is folded into a purge of the node's prefix.
const MAX_PATTERNS_PER_NODE: usize = 64;
/// Patterns kept at the root, those without a literal prefix. Above it, the oldest is folded into a purge of
/// everything, so the limit is higher although each of them is tried on every name.
const MAX_PATTERNS_AT_ROOT: usize = 256;
/// Hex digits of an object id.
const ID_DIGITS: u8 = 16;
/// Level of a part of an object when levels are compared: one below the full id.
const PART_LEVEL: u8 = ID_DIGITS + 1;
/// Folding leaves one part in 64 of the entry limit free, so that not every purge has to fold.
const ENTRY_HEADROOM_DIVISOR: usize = 64;
/// Folding leaves one part in 16 of the byte limit free: more than of the entry limit, since folding names
/// rebuilds the trie.
const BYTE_HEADROOM_DIVISOR: usize = 16;
/// Ids or wheel slots processed in one round, which takes about 20 ms of a hub's only thread.
const ROUND_SIZE: usize = 32_768;

// Estimated bytes for each entry. The nodes of a `BTreeMap` are half to three quarters full.
// `tests/resident.rs` compares the estimates with the resident set size.
const OBJECT_BYTES: usize = 32;
const PART_BYTES: usize = 44;
const GROUP_BYTES: usize = 26;
/// Includes the key in the map and in the wheel.
const TAG_BYTES: usize = 150;
/// A set of tags without its tags, and each of its tags, in the map and in the wheel.
const TAG_SET_BYTES: usize = 200;
const TAG_SET_TAG_BYTES: usize = 112;
/// A compiled pattern that has been matched against a name.
const PATTERN_BYTES: usize = 14 << 10;
/// Children of a trie node, allocated four at a time.
const CHILDREN_BYTES: usize = 48;
const SLOT_BYTES: usize = size_of::<Slot>() * 4 / 3;
/// One second of the wheel, including its allocation.
const WHEEL_SECOND_BYTES: usize = 72;

/// Reference from the timer wheel to an entry that expires. It is stale if the entry is gone or was purged
/// again in a later second.
#[derive(Clone, Debug)]
enum Slot {
    Object(u64),
    Part(u64, u32),
    /// Ids with these leading digits.
    IdPrefix(u64, u8),
    Group(u32),
    Tag(Box<Tag>),
    TagSet(Box<TagSet>),
    Prefix(u32),
    Pattern(u32),
}

/// Boxed to keep `Slot` small, since there are many slots.
#[derive(Clone, Debug)]
struct Tag(String);

#[derive(Clone, Debug)]
struct TagSet(Vec<String>);

#[derive(Default)]
struct Node {
    children: Vec<(u8, u32)>,
    parent: u32,
    /// Wheel slots that refer to this node; it is not freed before the last of them.
    slot_count: u32,
    /// Newest purge of all names with this prefix.
    at: Moment,
    /// Folding has contributed to `at`.
    folded: bool,
    patterns: Vec<(Moment, Pattern)>,
}

/// Number of purges folded into wider scopes, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FoldCounts {
    pub parts: u64,
    pub objects: u64,
    /// Id prefixes folded into shorter ones.
    pub id_prefixes: u64,
    pub prefixes: u64,
    pub patterns: u64,
    pub tag_sets: u64,
    /// Entries folded into a purge of everything.
    pub everything: u64,
}

/// Object, part or id prefix considered for folding.
#[derive(Clone, Copy)]
struct FoldCandidate {
    first: u64,
    /// `PART_LEVEL` for a part, `ID_DIGITS` for an object, fewer for an id prefix; 0 once it is folded.
    digits: u8,
    part: u32,
    at: Moment,
    /// Created by this round and not in the maps yet.
    created: bool,
}

/// Content of a trie node that holds purges.
struct NodeContent {
    at: Moment,
    folded: bool,
    patterns: Vec<(Moment, Pattern)>,
}

/// Purges in effect, indexed by what they cover.
pub struct Index {
    objects: BTreeMap<u64, Moment>,
    parts: BTreeMap<(u64, u32), Moment>,
    /// Folded objects: the lowest id with the prefix, and the number of digits in the prefix.
    id_prefixes: BTreeMap<(u64, u8), Moment>,
    /// Number of entries in `id_prefixes` by prefix length.
    id_prefix_counts: [usize; ID_DIGITS as usize],
    groups: BTreeMap<u32, Moment>,
    tags: BTreeMap<String, Moment>,
    /// Purges that require all tags of a set, stored under the first tag.
    tag_sets: BTreeMap<String, Vec<(Vec<String>, Moment)>>,
    tag_set_count: usize,
    tag_set_tags: usize,
    nodes: Vec<Node>,
    free_nodes: Vec<u32>,
    prefix_count: usize,
    pattern_count: usize,
    everything: Moment,
    /// Newest purge that was folded into `everything`.
    folded_everything: Moment,
    /// Newest purge of each kind, which applies where the attribute of a copy is unknown.
    newest_group_purge: Moment,
    newest_tag_purge: Moment,
    newest_name_purge: Moment,
    wheel: BTreeMap<u64, Vec<Slot>>,
    slot_count: usize,
    max_entries: usize,
    max_bytes: usize,
    /// Where the next folding round starts among ids, and the next sweep for stale slots in the wheel.
    next_fold_id: u64,
    next_sweep_second: u64,
    fold_counts: FoldCounts,
    /// Maximum age of a copy.
    max_copy_age: Span,
}

impl Index {
    /// Creates an index that keeps up to `max_entries` scopes separately. No copy is older than
    /// `max_copy_age`. Memory is limited to 256 bytes per scope, at least 1 MB, unless `with_max_bytes` sets
    /// another limit.
    pub fn new(max_entries: usize, max_copy_age: Span) -> Index {
        let max_entries = max_entries.max(1);
        Index {
            objects: BTreeMap::new(),
            parts: BTreeMap::new(),
            id_prefixes: BTreeMap::new(),
            id_prefix_counts: [0; ID_DIGITS as usize],
            groups: BTreeMap::new(),
            tags: BTreeMap::new(),
            tag_sets: BTreeMap::new(),
            tag_set_count: 0,
            tag_set_tags: 0,
            nodes: vec![Node::default()],
            free_nodes: Vec::new(),
            prefix_count: 0,
            pattern_count: 0,
            everything: Moment::default(),
            folded_everything: Moment::default(),
            newest_group_purge: Moment::default(),
            newest_tag_purge: Moment::default(),
            newest_name_purge: Moment::default(),
            wheel: BTreeMap::new(),
            slot_count: 0,
            max_entries,
            max_bytes: max_entries.saturating_mul(256).max(1 << 20),
            next_fold_id: 0,
            next_sweep_second: 0,
            fold_counts: FoldCounts::default(),
            max_copy_age,
        }
    }

    /// Sets the memory limit in bytes.
    pub fn with_max_bytes(self, bytes: usize) -> Index {
        Index { max_bytes: bytes, ..self }
    }

    /// Adds a purge: copies obtained from the archive up to `at` are outdated.
    pub fn insert(&mut self, scope: &CompiledScope, at: Moment, now: Moment) {
        if at > Moment::default() {
            self.insert_scope(scope, at);
        }
        self.maintain(now);
    }

    fn insert_scope(&mut self, scope: &CompiledScope, at: Moment) {
        match scope {
            CompiledScope::Object(object) => self.insert_object(*object, at),
            CompiledScope::Part(object, part) => {
                if insert_newest(&mut self.parts, (*object, *part), at) {
                    self.schedule(Slot::Part(*object, *part), at);
                }
            }
            CompiledScope::Group(group) => {
                self.newest_group_purge = self.newest_group_purge.max(at);
                if insert_newest(&mut self.groups, *group, at) {
                    self.schedule(Slot::Group(*group), at);
                }
            }
            CompiledScope::AnyTag(tags) => tags.iter().for_each(|tag| self.insert_tag(tag, at)),
            CompiledScope::AllTags(tags) => self.insert_tag_set(tags, at),
            CompiledScope::Prefix(prefix) => self.insert_prefix(prefix.as_bytes(), at, false),
            CompiledScope::Pattern(pattern) => {
                self.insert_pattern(pattern.literal.as_bytes(), pattern.clone(), at)
            }
            CompiledScope::Everything => self.everything = self.everything.max(at),
        }
    }

    fn insert_object(&mut self, object: u64, at: Moment) {
        if insert_newest(&mut self.objects, object, at) {
            self.schedule(Slot::Object(object), at);
        }
    }

    fn insert_id_prefix(&mut self, first: u64, digits: u8, at: Moment) {
        let count_before = self.id_prefixes.len();
        if insert_newest(&mut self.id_prefixes, (first, digits), at) {
            self.schedule(Slot::IdPrefix(first, digits), at);
        }
        self.id_prefix_counts[usize::from(digits)] += self.id_prefixes.len() - count_before;
    }

    fn insert_tag(&mut self, tag: &str, at: Moment) {
        self.newest_tag_purge = self.newest_tag_purge.max(at);
        if insert_newest(&mut self.tags, tag.to_string(), at) {
            self.schedule(Slot::Tag(Box::new(Tag(tag.to_string()))), at);
        }
    }

    fn insert_tag_set(&mut self, tags: &[String], at: Moment) {
        let Some(first) = tags.first() else { return };
        self.newest_tag_purge = self.newest_tag_purge.max(at);
        let sets = self.tag_sets.entry(first.clone()).or_default();
        let needs_slot = match sets.iter_mut().find(|(set, _)| set == tags) {
            Some((_, purged)) => advance(purged, at),
            None => {
                sets.push((tags.to_vec(), at));
                self.tag_set_count += 1;
                self.tag_set_tags += tags.len();
                true
            }
        };
        if needs_slot {
            self.schedule(Slot::TagSet(Box::new(TagSet(tags.to_vec()))), at);
        }
    }

    fn insert_prefix(&mut self, prefix: &[u8], at: Moment, folded: bool) {
        self.newest_name_purge = self.newest_name_purge.max(at);
        let node = self.find_or_create_node(prefix);
        let current = &mut self.nodes[node as usize];
        current.folded |= folded;
        self.prefix_count += usize::from(current.at == Moment::default());
        if advance(&mut current.at, at) {
            self.schedule(Slot::Prefix(node), at);
        }
    }

    fn insert_pattern(&mut self, literal: &[u8], pattern: Pattern, at: Moment) {
        self.newest_name_purge = self.newest_name_purge.max(at);
        let node = self.find_or_create_node(literal);
        self.nodes[node as usize].patterns.push((at, pattern));
        self.pattern_count += 1;
        self.schedule(Slot::Pattern(node), at);
        let max_patterns = if node == 0 { MAX_PATTERNS_AT_ROOT } else { MAX_PATTERNS_PER_NODE };
        let patterns = &mut self.nodes[node as usize].patterns;
        if patterns.len() > max_patterns {
            let oldest = (0..patterns.len()).min_by_key(|n| patterns[*n].0).unwrap_or_default();
            let (oldest, _) = patterns.remove(oldest);
            self.pattern_count -= 1;
            match node {
                0 => self.fold_to_everything(oldest),
                _ => {
                    self.fold_counts.patterns += 1;
                    self.insert_prefix(literal, oldest, true);
                }
            }
        }
    }

    /// Schedules the expiry of an entry.
    fn schedule(&mut self, slot: Slot, at: Moment) {
        if let Slot::Prefix(node) | Slot::Pattern(node) = slot {
            self.nodes[node as usize].slot_count += 1;
        }
        self.wheel.entry(second(at)).or_default().push(slot);
        self.slot_count += 1;
    }

    /// Returns the node of a prefix, creating the path to it if needed.
    fn find_or_create_node(&mut self, prefix: &[u8]) -> u32 {
        let mut at = 0;
        for byte in prefix.iter().copied() {
            let children = &self.nodes[at as usize].children;
            at = match children.binary_search_by_key(&byte, |(b, _)| *b) {
                Ok(found) => children[found].1,
                Err(position) => {
                    let new = self.free_nodes.pop().unwrap_or_else(|| {
                        self.nodes.push(Node::default());
                        self.nodes.len() as u32 - 1
                    });
                    self.nodes[new as usize] = Node { parent: at, ..Node::default() };
                    self.nodes[at as usize].children.insert(position, (byte, new));
                    new
                }
            };
        }
        at
    }

    /// Returns the time of the newest purge that covers the copy, which must be younger than that; `None` if
    /// no purge does.
    pub fn newest_purge(&self, attributes: &CopyAttributes) -> Option<Moment> {
        let mut bound = self.everything;
        if self.slot_count > 0 {
            bound = bound
                .max(self.newest_by_id(attributes))
                .max(self.newest_by_tags(attributes))
                .max(self.newest_by_name(attributes));
        }
        (bound > Moment::default()).then_some(bound)
    }

    fn newest_by_id(&self, attributes: &CopyAttributes) -> Moment {
        let of = |found: Option<&Moment>| found.copied().unwrap_or_default();
        let object = of(self.objects.get(&attributes.object));
        let part = of(self.parts.get(&(attributes.object, attributes.part)));
        let group = attributes.group.map_or(self.newest_group_purge, |group| of(self.groups.get(&group)));
        let mut bound = object.max(part).max(group);
        if !self.id_prefixes.is_empty() {
            for digits in (1..ID_DIGITS).filter(|digits| self.id_prefix_counts[usize::from(*digits)] > 0) {
                bound =
                    bound.max(of(self.id_prefixes.get(&(prefix_start(attributes.object, digits), digits))));
            }
        }
        bound
    }

    fn newest_by_tags(&self, attributes: &CopyAttributes) -> Moment {
        if self.newest_tag_purge == Moment::default() {
            return Moment::default();
        }
        let Some(tags) = attributes.tags else { return self.newest_tag_purge };
        let mut bound = Moment::default();
        for tag in tags {
            bound = bound.max(self.tags.get(*tag).copied().unwrap_or_default());
            for (set, at) in self.tag_sets.get(*tag).into_iter().flatten() {
                if *at > bound && set.iter().all(|one| tags.contains(&one.as_str())) {
                    bound = *at;
                }
            }
        }
        bound
    }

    fn newest_by_name(&self, attributes: &CopyAttributes) -> Moment {
        if self.newest_name_purge == Moment::default() {
            return Moment::default();
        }
        let Some(name) = attributes.name else { return self.newest_name_purge };
        let (mut at, mut bound, mut bytes) = (0u32, Moment::default(), name.bytes());
        loop {
            let node = &self.nodes[at as usize];
            bound = bound.max(node.at);
            for (purged, pattern) in node.patterns.iter().rev() {
                // The newest patterns usually come last; older ones cannot raise the bound and are not
                // matched.
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

    /// Drops purges older than any copy can be, and folds entries if a limit is exceeded.
    pub fn maintain(&mut self, now: Moment) {
        let horizon = now.before(self.max_copy_age);
        while let Some(first) = self.wheel.first_entry() {
            let second = *first.key();
            if (second + 1) * 1_000_000 > horizon.micros() {
                break;
            }
            let slots = first.remove();
            self.slot_count -= slots.len();
            for slot in slots {
                self.remove_entry(slot, second);
            }
        }
        for purged in [&mut self.everything, &mut self.folded_everything] {
            if *purged < horizon {
                *purged = Moment::default();
            }
        }
        if self.groups.is_empty() {
            self.newest_group_purge = Moment::default();
        }
        if self.tags.is_empty() && self.tag_sets.is_empty() {
            self.newest_tag_purge = Moment::default();
        }
        if self.prefix_count + self.pattern_count == 0 {
            self.newest_name_purge = Moment::default();
        }
        if self.exceeds_limits() {
            self.enforce_limits();
        }
    }

    /// Removes the entry of a slot, unless the slot is stale, and returns when it was purged.
    fn remove_entry(&mut self, slot: Slot, second_of_slot: u64) -> Option<Moment> {
        let has_expired = |at: &Moment| second(*at) <= second_of_slot;
        match slot {
            Slot::Object(object) => remove_expired(&mut self.objects, &object, second_of_slot),
            Slot::Part(object, part) => remove_expired(&mut self.parts, &(object, part), second_of_slot),
            Slot::IdPrefix(first, digits) => {
                let removed = remove_expired(&mut self.id_prefixes, &(first, digits), second_of_slot);
                self.id_prefix_counts[usize::from(digits)] -= usize::from(removed.is_some());
                removed
            }
            Slot::Group(group) => remove_expired(&mut self.groups, &group, second_of_slot),
            Slot::Tag(tag) => remove_expired(&mut self.tags, &tag.0, second_of_slot),
            Slot::TagSet(set) => {
                let TagSet(set) = *set;
                let purged = self
                    .tag_sets
                    .get(&set[0])?
                    .iter()
                    .find(|(other, at)| *other == set && has_expired(at))?
                    .1;
                self.remove_tag_set(&set);
                Some(purged)
            }
            Slot::Prefix(node) => {
                let current = &mut self.nodes[node as usize];
                current.slot_count -= 1;
                let removed = Some(current.at).filter(|at| *at > Moment::default() && has_expired(at));
                if removed.is_some() {
                    (current.at, current.folded) = (Moment::default(), false);
                    self.prefix_count -= 1;
                }
                self.prune(node);
                removed
            }
            Slot::Pattern(node) => {
                let current = &mut self.nodes[node as usize];
                current.slot_count -= 1;
                let removed = current.patterns.iter().map(|(at, _)| *at).filter(has_expired).max();
                let before = current.patterns.len();
                current.patterns.retain(|(at, _)| !has_expired(at));
                self.pattern_count -= before - current.patterns.len();
                self.prune(node);
                removed
            }
        }
    }

    fn remove_tag_set(&mut self, set: &[String]) {
        let Some(sets) = set.first().and_then(|first| self.tag_sets.get_mut(first)) else { return };
        let before = sets.len();
        sets.retain(|(other, _)| other != set);
        let removed = before - sets.len();
        self.tag_set_count -= removed;
        self.tag_set_tags -= removed * set.len();
        if sets.is_empty() {
            self.tag_sets.remove(&set[0]);
        }
    }

    /// Frees nodes without content or children, up the path to the root.
    fn prune(&mut self, mut node: u32) {
        while node != 0 {
            let current = &mut self.nodes[node as usize];
            if current.slot_count > 0 || !current.children.is_empty() {
                return;
            }
            let parent = current.parent;
            *current = Node::default();
            self.nodes[parent as usize].children.retain(|(_, child)| *child != node);
            self.free_nodes.push(node);
            node = parent;
        }
    }

    // Limits.

    fn exceeds_limits(&self) -> bool {
        self.entry_count() > self.max_entries || self.estimated_bytes() > self.max_bytes
    }

    /// Folds until the limits hold: the older entries first, then all, and what has no wider scope left into
    /// a purge of everything. A round handles only the next ids, to keep it short; all ids get their turn
    /// before an age range is given up.
    fn enforce_limits(&mut self) {
        self.drop_stale();
        for upto in [self.fold_horizon(), u64::MAX] {
            let mut idle = 0;
            while self.exceeds_limits() && idle <= 1 + self.id_count() / ROUND_SIZE {
                idle = if self.fold(upto) == 0 { idle + 1 } else { 0 };
            }
        }
        while self.exceeds_limits() {
            let Some((second, slots)) = self.wheel.pop_first() else { return };
            self.slot_count -= slots.len();
            for slot in slots {
                if let Some(at) = self.remove_entry(slot, second) {
                    self.fold_to_everything(at);
                }
            }
        }
    }

    fn fold_to_everything(&mut self, at: Moment) {
        self.everything = self.everything.max(at);
        self.folded_everything = self.folded_everything.max(at);
        self.fold_counts.everything += 1;
    }

    /// Returns the last second of the older three quarters of the time span in the wheel. With a smaller
    /// part, too few neighbouring entries are old enough: at a tenth above the limit, one half covered twice
    /// as much.
    fn fold_horizon(&self) -> u64 {
        let ends = self.wheel.first_key_value().zip(self.wheel.last_key_value());
        ends.map_or(0, |((first, _), (last, _))| first + (last - first) / 4 * 3)
    }

    /// Runs one folding round, in which each kind contributes in proportion to its share. Returns by how
    /// many entries the index shrank, counting also costly entries that became cheap ones.
    fn fold(&mut self, upto: u64) -> usize {
        let (ids, names) = (self.id_count(), self.prefix_count + self.pattern_count);
        let over = |used: usize, limit: usize, divisor: usize| match used > limit {
            true => (used - (limit - limit / divisor)) as f64,
            false => 0.0,
        };
        let excess_entries = over(self.entry_count(), self.max_entries, ENTRY_HEADROOM_DIVISOR);
        let excess_bytes = over(self.estimated_bytes(), self.max_bytes, BYTE_HEADROOM_DIVISOR);
        let narrower = (ids + names + self.tag_set_count).max(1) as f64;
        let bytes = (self.estimated_bytes() - self.trie_bytes()).max(1) as f64;
        let share = (excess_entries / narrower).max(excess_bytes / bytes).min(1.0);
        let quota = |count: usize| (count as f64 * share).ceil() as usize;
        let (tag_set_quota, name_quota) = (quota(self.tag_set_count), quota(names));
        let pattern_quota = quota(self.pattern_count);
        let mut saved = if excess_bytes > 0.0 { self.fold_patterns(pattern_quota) } else { 0 };
        saved += self.fold_ids(upto, &quota);
        saved += self.fold_tag_sets(upto, tag_set_quota);
        saved += self.fold_names(upto, name_quota);
        saved
    }

    /// Folds parts into objects and objects into common id prefixes: longest prefixes first, and among those
    /// of one length the ones with most ids.
    fn fold_ids(&mut self, upto: u64, quota: &dyn Fn(usize) -> usize) -> usize {
        let mut ids: Vec<FoldCandidate> = Vec::new();
        let mut push = |first, digits, part, at| {
            if second(at) <= upto {
                ids.push(FoldCandidate { first, digits, part, at, created: false });
            }
        };
        // At most `ROUND_SIZE` of each kind, and everything between the first and the last of them.
        let from = self.next_fold_id;
        let nth = |ids: &mut dyn Iterator<Item = u64>| ids.nth(ROUND_SIZE);
        let object = nth(&mut self.objects.range(from..).map(|(id, _)| *id));
        let part = nth(&mut self.parts.range((from, 0)..).map(|((id, _), _)| *id));
        let id_prefixes = nth(&mut self.id_prefixes.range((from, 0)..).map(|((id, _), _)| *id));
        let until = [object, part, id_prefixes].into_iter().flatten().min().unwrap_or(u64::MAX);
        self.next_fold_id = if until == u64::MAX { 0 } else { until + 1 };
        self.objects.range(from..=until).for_each(|(object, at)| push(*object, ID_DIGITS, 0, *at));
        self.parts
            .range((from, 0)..=(until, u32::MAX))
            .for_each(|((object, part), at)| push(*object, PART_LEVEL, *part, *at));
        self.id_prefixes
            .range((from, 0)..=(until, ID_DIGITS))
            .for_each(|((first, digits), at)| push(*first, *digits, 0, *at));
        let quota = quota(ids.len());
        ids.sort_unstable_by_key(|id| (id.first, id.digits, id.part));
        let mut levels: BTreeSet<u8> =
            ids.windows(2).map(|two| shared_digits(two[0].first, two[1].first)).collect();
        levels.extend(ids.iter().map(|id| id.digits).filter(|digits| *digits < ID_DIGITS));
        levels.remove(&0);
        let (mut saved, mut removed) = (0, Vec::new());
        for level in levels.into_iter().rev() {
            if saved >= quota {
                break;
            }
            let narrower: Vec<usize> = (0..ids.len()).filter(|n| ids[*n].digits >= level).collect();
            let same = |a: &usize, b: &usize| shared_digits(ids[*a].first, ids[*b].first) >= level;
            let mut runs: Vec<&[usize]> = narrower.chunk_by(same).filter(|run| run.len() > 1).collect();
            // Folding into an existing prefix does not widen what is covered.
            let joins = |run: &[usize]| run.iter().any(|n| ids[*n].digits == level);
            runs.sort_by_key(|run| std::cmp::Reverse((joins(run), run.len())));
            for run in runs {
                if saved >= quota {
                    break;
                }
                saved += run.len() - 1;
                let at = run.iter().map(|n| ids[*n].at).max().unwrap_or_default();
                for n in run {
                    if !ids[*n].created {
                        removed.push(ids[*n]);
                    }
                    ids[*n].digits = 0;
                }
                let first = prefix_start(ids[run[0]].first, level);
                ids[run[0]] = FoldCandidate { first, digits: level, part: 0, at, created: true };
            }
            ids.retain(|id| id.digits > 0);
        }
        for id in removed {
            match id.digits {
                PART_LEVEL => {
                    self.parts.remove(&(id.first, id.part));
                    self.fold_counts.parts += 1;
                }
                ID_DIGITS => {
                    self.objects.remove(&id.first);
                    self.fold_counts.objects += 1;
                }
                digits => {
                    self.id_prefixes.remove(&(id.first, digits));
                    self.id_prefix_counts[usize::from(digits)] -= 1;
                    self.fold_counts.id_prefixes += 1;
                }
            }
        }
        for id in ids.into_iter().filter(|id| id.created) {
            match id.digits {
                ID_DIGITS => self.insert_object(id.first, id.at),
                digits => self.insert_id_prefix(id.first, digits, id.at),
            }
        }
        saved
    }

    /// Folds sets of tags into single tags: first into tags that are purged already, then into those that
    /// occur in most sets.
    fn fold_tag_sets(&mut self, upto: u64, quota: usize) -> usize {
        let old = |(_, at): &&(Vec<String>, Moment)| second(*at) <= upto;
        let mut remaining: Vec<(Vec<String>, Moment)> =
            self.tag_sets.values().flatten().filter(old).cloned().collect();
        let mut counts: HashMap<String, usize> = HashMap::new();
        remaining
            .iter()
            .flat_map(|(set, _)| set)
            .for_each(|tag| *counts.entry(tag.clone()).or_default() += 1);
        let mut tags: Vec<(bool, usize, String)> =
            counts.into_iter().map(|(tag, count)| (self.tags.contains_key(&tag), count, tag)).collect();
        tags.sort_by(|a, b| (b.0, b.1, &a.2).cmp(&(a.0, a.1, &b.2)));
        let mut saved = 0;
        for (is_purged, _, tag) in tags {
            let (mut folding, rest): (Vec<_>, Vec<_>) =
                remaining.into_iter().partition(|(set, _)| set.contains(&tag));
            remaining = rest;
            folding.sort_by_key(|(_, at)| *at);
            let extra = usize::from(!is_purged);
            folding.truncate((quota.saturating_sub(saved) + extra).max(extra + 1));
            if saved >= quota || folding.len() <= extra {
                continue;
            }
            saved += folding.len() - extra;
            for (set, at) in folding {
                self.remove_tag_set(&set);
                self.insert_tag(&tag, at);
                self.fold_counts.tag_sets += 1;
            }
        }
        saved
    }

    /// Folds the oldest patterns into purges of their literal prefixes. A pattern takes a hundred times the
    /// bytes of other scopes, so patterns contribute their share however old the oldest ones are.
    fn fold_patterns(&mut self, quota: usize) -> usize {
        if quota == 0 {
            return 0;
        }
        let mut contents = self.trie_content();
        let with_prefix = contents.iter().filter(|(prefix, _)| !prefix.is_empty());
        let mut ages: Vec<Moment> =
            with_prefix.flat_map(|(_, content)| content.patterns.iter().map(|(at, _)| *at)).collect();
        ages.sort_unstable();
        let Some(last) = ages.get(quota.min(ages.len()).saturating_sub(1)).copied() else { return 0 };
        let mut saved = 0;
        for (_, content) in contents.iter_mut().filter(|(prefix, _)| !prefix.is_empty()) {
            for (at, _) in content.patterns.extract_if(.., |(at, _)| *at <= last) {
                (content.at, content.folded) = (content.at.max(at), true);
                saved += 1;
            }
        }
        self.fold_counts.patterns += saved as u64;
        self.rebuild_trie(contents);
        saved
    }

    /// Folds prefixes and patterns into the longest prefix that several of them share.
    fn fold_names(&mut self, upto: u64, quota: usize) -> usize {
        if quota == 0 {
            return 0;
        }
        let mut contents = self.trie_content();
        let keys: Vec<&Vec<u8>> = contents.keys().collect();
        let mut levels: BTreeSet<usize> = keys.windows(2).map(|two| shared_bytes(two[0], two[1])).collect();
        let with_patterns = contents.iter().filter(|(_, content)| !content.patterns.is_empty());
        levels.extend(with_patterns.map(|(prefix, _)| prefix.len()));
        levels.remove(&0);
        let is_old = |at: Moment| at > Moment::default() && second(at) <= upto;
        let mut saved = 0;
        for level in levels.into_iter().rev() {
            if saved >= quota {
                break;
            }
            // Number of old scopes by their prefix of `level` bytes.
            let mut runs: BTreeMap<&[u8], usize> = BTreeMap::new();
            for (prefix, content) in contents.iter().filter(|(prefix, _)| prefix.len() >= level) {
                let patterns = content.patterns.iter().filter(|(at, _)| is_old(*at)).count();
                *runs.entry(&prefix[..level]).or_default() += patterns + usize::from(is_old(content.at));
            }
            let several = runs.into_iter().filter(|(_, scopes)| *scopes > 1);
            let mut runs: Vec<(Vec<u8>, usize)> =
                several.map(|(prefix, scopes)| (prefix.to_vec(), scopes)).collect();
            runs.sort_by_key(|(_, scopes)| std::cmp::Reverse(*scopes));
            for (prefix, scopes) in runs {
                if saved >= quota {
                    break;
                }
                saved += scopes - 1;
                self.fold_into_prefix(&mut contents, prefix, &is_old);
            }
        }
        if saved > 0 {
            self.rebuild_trie(contents);
        }
        saved
    }

    /// Replaces the old scopes under a prefix by a purge of the prefix.
    fn fold_into_prefix(
        &mut self,
        contents: &mut BTreeMap<Vec<u8>, NodeContent>,
        prefix: Vec<u8>,
        is_old: &dyn Fn(Moment) -> bool,
    ) {
        let mut at = Moment::default();
        let mut empty = Vec::new();
        for (other_prefix, content) in contents
            .range_mut(prefix.clone()..)
            .take_while(|(other_prefix, _)| other_prefix.starts_with(&prefix))
        {
            if is_old(content.at) {
                at = at.max(content.at);
                self.fold_counts.prefixes += u64::from(*other_prefix != prefix);
                content.at = Moment::default();
            }
            for (purged, _) in content.patterns.extract_if(.., |(purged, _)| is_old(*purged)) {
                at = at.max(purged);
                self.fold_counts.patterns += 1;
            }
            if content.at == Moment::default() && content.patterns.is_empty() {
                empty.push(other_prefix.clone());
            }
        }
        empty.iter().for_each(|other_prefix| drop(contents.remove(other_prefix)));
        let content =
            contents.entry(prefix).or_insert(NodeContent { at, folded: true, patterns: Vec::new() });
        content.at = content.at.max(at);
        content.folded = true;
    }

    /// Returns a copy of the trie's content by prefix.
    fn trie_content(&mut self) -> BTreeMap<Vec<u8>, NodeContent> {
        let mut found = BTreeMap::new();
        let mut stack: Vec<(u32, Vec<u8>)> = vec![(0, Vec::new())];
        while let Some((node, prefix)) = stack.pop() {
            let current = &mut self.nodes[node as usize];
            for (byte, child) in &current.children {
                stack.push((*child, prefix.iter().copied().chain([*byte]).collect()));
            }
            if current.at > Moment::default() || !current.patterns.is_empty() {
                let patterns = current.patterns.clone();
                found.insert(prefix, NodeContent { at: current.at, folded: current.folded, patterns });
            }
        }
        found
    }

    /// Rebuilds the trie from its content, without stale slots and free nodes.
    fn rebuild_trie(&mut self, contents: BTreeMap<Vec<u8>, NodeContent>) {
        self.nodes = vec![Node::default()];
        self.free_nodes = Vec::new();
        (self.prefix_count, self.pattern_count) = (0, 0);
        self.wheel.retain(|_, slots| {
            let before = slots.len();
            slots.retain(|slot| !matches!(slot, Slot::Prefix(_) | Slot::Pattern(_)));
            self.slot_count -= before - slots.len();
            !slots.is_empty()
        });
        for (prefix, content) in contents {
            if content.at > Moment::default() {
                self.insert_prefix(&prefix, content.at, content.folded);
            }
            content.patterns.into_iter().for_each(|(at, pattern)| self.insert_pattern(&prefix, pattern, at));
        }
    }

    /// While the byte limit is exceeded, drops stale slots if more than a quarter of all slots are
    /// stale, and rebuilds the trie if more than half of its nodes are free.
    fn drop_stale(&mut self) {
        let exceeds_bytes = |index: &Index| index.estimated_bytes() > index.max_bytes;
        for _ in 0..=self.slot_count / ROUND_SIZE + 1 {
            if !exceeds_bytes(self) || self.slot_count <= self.entry_count() + self.slot_count / 4 {
                break;
            }
            self.drop_stale_round();
        }
        if exceeds_bytes(self) && self.free_nodes.len() > self.nodes.len() / 2 {
            let contents = self.trie_content();
            self.rebuild_trie(contents);
        }
    }

    /// Drops the stale slots of the next `ROUND_SIZE` or so.
    fn drop_stale_round(&mut self) {
        let mut seen = 0;
        let due: Vec<u64> = self
            .wheel
            .range(self.next_sweep_second..)
            .take_while(|(_, slots)| {
                seen += slots.len();
                seen <= ROUND_SIZE + slots.len()
            })
            .map(|(second, _)| *second)
            .collect();
        self.next_sweep_second = if seen > ROUND_SIZE { due.last().map_or(0, |last| last + 1) } else { 0 };
        for second in due {
            let Some(mut slots) = self.wheel.remove(&second) else { continue };
            let before = slots.len();
            let stale: Vec<Slot> = slots.extract_if(.., |slot| !self.is_current(slot, second)).collect();
            self.slot_count -= before - slots.len();
            for slot in stale {
                // Only trie nodes count their slots. A stale slot has no entry to remove.
                if let Slot::Prefix(node) | Slot::Pattern(node) = slot {
                    self.nodes[node as usize].slot_count -= 1;
                    self.prune(node);
                }
            }
            if !slots.is_empty() {
                slots.shrink_to_fit();
                self.wheel.insert(second, slots);
            }
        }
    }

    /// Returns whether the entry of a slot was last purged in that second.
    fn is_current(&self, slot: &Slot, expected: u64) -> bool {
        let is_of_second = |at: Option<&Moment>| at.is_some_and(|at| second(*at) == expected);
        match slot {
            Slot::Object(object) => is_of_second(self.objects.get(object)),
            Slot::Part(object, part) => is_of_second(self.parts.get(&(*object, *part))),
            Slot::IdPrefix(first, digits) => is_of_second(self.id_prefixes.get(&(*first, *digits))),
            Slot::Group(group) => is_of_second(self.groups.get(group)),
            Slot::Tag(tag) => is_of_second(self.tags.get(&tag.0)),
            Slot::TagSet(set) => {
                let mut sets = self.tag_sets.get(&set.0[0]).into_iter().flatten();
                is_of_second(sets.find(|(other, _)| *other == set.0).map(|(_, at)| at))
            }
            Slot::Prefix(node) => is_of_second(Some(&self.nodes[*node as usize].at)),
            Slot::Pattern(node) => {
                self.nodes[*node as usize].patterns.iter().any(|(at, _)| is_of_second(Some(at)))
            }
        }
    }

    /// Number of scopes kept separately. A purge of several tags counts once for each; a scope purged again
    /// counts once.
    pub fn entry_count(&self) -> usize {
        self.id_count()
            + self.groups.len()
            + self.tags.len()
            + self.tag_set_count
            + self.prefix_count
            + self.pattern_count
    }

    fn id_count(&self) -> usize {
        self.objects.len() + self.parts.len() + self.id_prefixes.len()
    }

    /// Number of purges folded into wider scopes.
    pub fn total_folds(&self) -> u64 {
        let FoldCounts { parts, objects, id_prefixes, prefixes, patterns, tag_sets, everything } =
            self.fold_counts;
        parts + objects + id_prefixes + prefixes + patterns + tag_sets + everything
    }

    /// Number of folded purges by kind.
    pub fn fold_counts(&self) -> FoldCounts {
        self.fold_counts
    }

    /// Number of purges folded into a purge of everything because no narrower scope was left.
    pub fn folds_to_everything(&self) -> u64 {
        self.fold_counts.everything
    }

    /// Estimates the share of all objects covered by folded scopes: id prefixes, and name prefixes as if
    /// names were hex digits. Tags are left out, since the number of objects with a tag is unknown here.
    pub fn folded_coverage(&self) -> f64 {
        if self.folded_everything > Moment::default() {
            return 1.0;
        }
        let (mut share, mut covered) = (0.0, None);
        for (first, digits) in self.id_prefixes.keys() {
            if covered.is_none_or(|covered| *first > covered) {
                share += 16f64.powi(-i32::from(*digits));
                covered = Some(first | !prefix_start(u64::MAX, *digits));
            }
        }
        let mut stack = vec![(0u32, 0)];
        while let Some((node, letters)) = stack.pop() {
            let current = &self.nodes[node as usize];
            match current.folded {
                true => share += 16f64.powi(-letters),
                false => stack.extend(current.children.iter().map(|(_, child)| (*child, letters + 1))),
            }
        }
        share.min(1.0)
    }

    /// Estimates the memory used, to within half of the resident size, up or down.
    pub fn estimated_bytes(&self) -> usize {
        let ids =
            self.objects.len() * OBJECT_BYTES + (self.parts.len() + self.id_prefixes.len()) * PART_BYTES;
        let tags = self.tags.len() * TAG_BYTES
            + self.tag_set_count * TAG_SET_BYTES
            + self.tag_set_tags * TAG_SET_TAG_BYTES;
        let used = self.nodes.len() - self.free_nodes.len();
        let names = used * CHILDREN_BYTES + self.pattern_count * PATTERN_BYTES;
        let wheel = self.slot_count * SLOT_BYTES + self.wheel.len() * WHEEL_SECOND_BYTES;
        self.trie_bytes() + ids + self.groups.len() * GROUP_BYTES + tags + names + wheel
    }

    /// Memory of the trie nodes. Nodes are reused, and given back only when the trie is rebuilt.
    fn trie_bytes(&self) -> usize {
        self.nodes.len() * size_of::<Node>()
    }
}

fn second(at: Moment) -> u64 {
    at.micros() / 1_000_000
}

/// Returns the lowest id with the same leading digits.
fn prefix_start(id: u64, digits: u8) -> u64 {
    match digits {
        0 => 0,
        ID_DIGITS.. => id,
        _ => id & !(u64::MAX >> (4 * u32::from(digits))),
    }
}

/// Number of leading hex digits that two ids share.
fn shared_digits(a: u64, b: u64) -> u8 {
    (a ^ b).leading_zeros() as u8 / 4
}

fn shared_bytes(a: &[u8], b: &[u8]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}

/// Raises a time. Returns whether the entry needs a slot for the new second.
fn advance(purged: &mut Moment, at: Moment) -> bool {
    let before = std::mem::replace(purged, at.max(*purged));
    before < at && (before == Moment::default() || second(before) != second(at))
}

/// Raises the time of a key, inserting it if needed. Returns whether the entry needs a slot for that second.
fn insert_newest<K: Ord>(map: &mut BTreeMap<K, Moment>, key: K, at: Moment) -> bool {
    match map.entry(key) {
        Entry::Vacant(vacant) => {
            vacant.insert(at);
            true
        }
        Entry::Occupied(mut purged) => advance(purged.get_mut(), at),
    }
}

/// Removes an entry unless it was purged again after the second of the slot.
fn remove_expired<K: Ord>(map: &mut BTreeMap<K, Moment>, key: &K, slot: u64) -> Option<Moment> {
    let purged = *map.get(key)?;
    if second(purged) > slot {
        return None;
    }
    map.remove(key)
}

/// Reference implementation of the index: a linear scan over all purges.
#[derive(Default)]
pub struct LinearIndex(Vec<(CompiledScope, Moment)>);

impl LinearIndex {
    /// Adds a purge.
    pub fn insert(&mut self, scope: &CompiledScope, at: Moment) {
        self.0.push((scope.clone(), at));
    }

    /// Returns the time of the newest purge that covers the copy.
    pub fn newest_purge(&self, attributes: &CopyAttributes) -> Option<Moment> {
        self.0.iter().filter(|(scope, _)| scope.covers(attributes)).map(|(_, at)| *at).max()
    }
}
