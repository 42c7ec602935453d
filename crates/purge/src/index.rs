//! From when must a copy of this object be? Asked on the ordinary path, for every copy that is looked at, so that it must
//! cost little and the same however many purges live.
//!
//! Objects, parts, groups and tags are looked up; prefixes stand in a trie over names, each node with the latest purge of
//! what begins so; a pattern stands at the node of the letters that all its names begin with, so that only those on a
//! name's own path are tried. A purge that no living copy can be older than is dropped by a wheel of seconds. At the
//! bound the oldest purges are folded into one of everything: copies may be refused that were good, none is taken that
//! is old.
use crate::scope::{Checked, Facts, Pattern};
use harestage::time::{Moment, Span};
use std::collections::{BTreeMap, HashMap};

/// Patterns that stand at one node of the trie at most; past it the oldest counts for all that begins so.
const MOST_AT_NODE: usize = 64;

/// Where a purge stands, to be taken out again.
#[derive(Clone, Debug)]
enum Slot {
    Object(u64),
    Part(u64, u32),
    Group(u32),
    Tag(String),
    Tags(Vec<String>),
    Node(u32),
    Pattern(u32),
    Everything,
}

#[derive(Default)]
struct Node {
    children: Vec<(u8, u32)>,
    parent: u32,
    /// Purges in the wheel that stand here: the node is not given back before the last of them.
    standing: u32,
    /// Of everything that begins so.
    at: Moment,
    patterns: Vec<(Moment, Pattern)>,
}

pub struct Index {
    objects: HashMap<u64, Moment>,
    parts: HashMap<(u64, u32), Moment>,
    groups: HashMap<u32, Moment>,
    tags: HashMap<String, Moment>,
    /// Sets of tags that all have to be there, each under its first.
    sets: HashMap<String, Vec<(Vec<String>, Moment)>>,
    nodes: Vec<Node>,
    free: Vec<u32>,
    everything: Moment,
    /// The latest of each kind that can't be told where a fact is unknown.
    any_group: Moment,
    any_tag: Moment,
    any_name: Moment,
    wheel: BTreeMap<u64, Vec<(Moment, Slot)>>,
    live: usize,
    bound: usize,
    folded: u64,
    /// How long a copy may live.
    longest: Span,
}

impl Index {
    /// `bound`: purges that are kept one by one. `longest`: how long any copy may live; nothing is older.
    pub fn new(bound: usize, longest: Span) -> Index {
        Index {
            objects: HashMap::new(),
            parts: HashMap::new(),
            groups: HashMap::new(),
            tags: HashMap::new(),
            sets: HashMap::new(),
            nodes: vec![Node::default()],
            free: Vec::new(),
            everything: Moment::default(),
            any_group: Moment::default(),
            any_tag: Moment::default(),
            any_name: Moment::default(),
            wheel: BTreeMap::new(),
            live: 0,
            bound: bound.max(1),
            folded: 0,
            longest,
        }
    }

    /// Takes a purge in; copies given out up to `at` are old.
    pub fn enter(&mut self, scope: &Checked, at: Moment, now: Moment) {
        let slots = self.place(scope, at);
        for slot in &slots {
            if let Slot::Node(node) | Slot::Pattern(node) = slot {
                self.nodes[*node as usize].standing += 1;
            }
        }
        let second = at.micros() / 1_000_000;
        self.live += slots.len();
        self.wheel.entry(second).or_default().extend(slots.into_iter().map(|slot| (at, slot)));
        self.tidy(now);
    }

    fn place(&mut self, scope: &Checked, at: Moment) -> Vec<Slot> {
        let later = |known: &mut Moment| *known = at.max(*known);
        match scope {
            Checked::Object(object) => {
                later(self.objects.entry(*object).or_default());
                vec![Slot::Object(*object)]
            }
            Checked::Part(object, part) => {
                later(self.parts.entry((*object, *part)).or_default());
                vec![Slot::Part(*object, *part)]
            }
            Checked::Group(group) => {
                later(self.groups.entry(*group).or_default());
                later(&mut self.any_group);
                vec![Slot::Group(*group)]
            }
            Checked::AnyTag(tags) => {
                later(&mut self.any_tag);
                tags.iter().for_each(|tag| later(self.tags.entry(tag.clone()).or_default()));
                tags.iter().cloned().map(Slot::Tag).collect()
            }
            Checked::AllTags(tags) => {
                later(&mut self.any_tag);
                let Some(first) = tags.first() else { return Vec::new() };
                let sets = self.sets.entry(first.clone()).or_default();
                match sets.iter_mut().find(|(set, _)| set == tags) {
                    Some((_, known)) => later(known),
                    None => sets.push((tags.clone(), at)),
                }
                vec![Slot::Tags(tags.clone())]
            }
            Checked::Prefix(prefix) => {
                later(&mut self.any_name);
                let node = self.node(prefix);
                later(&mut self.nodes[node as usize].at);
                vec![Slot::Node(node)]
            }
            Checked::Pattern(pattern) => {
                later(&mut self.any_name);
                let node = self.node(&pattern.literal);
                let here = &mut self.nodes[node as usize];
                here.patterns.push((at, pattern.clone()));
                if here.patterns.len() > MOST_AT_NODE {
                    let (oldest, _) = here.patterns.remove(0);
                    here.at = here.at.max(oldest);
                    return vec![Slot::Pattern(node), Slot::Node(node)];
                }
                vec![Slot::Pattern(node)]
            }
            Checked::Everything => {
                later(&mut self.everything);
                vec![Slot::Everything]
            }
        }
    }

    /// The node of a prefix, made if there is none.
    fn node(&mut self, prefix: &str) -> u32 {
        let mut at = 0;
        for byte in prefix.bytes() {
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
    pub fn from_when(&self, facts: &Facts) -> Option<Moment> {
        let mut bound = self.everything;
        if self.live > 0 {
            bound = bound.max(self.by_id(facts)).max(self.by_tags(facts)).max(self.by_name(facts));
        }
        (bound > Moment::default()).then_some(bound)
    }

    fn by_id(&self, facts: &Facts) -> Moment {
        let of = |found: Option<&Moment>| found.copied().unwrap_or_default();
        let object =
            if self.objects.is_empty() { Moment::default() } else { of(self.objects.get(&facts.object)) };
        let part = match self.parts.is_empty() {
            true => Moment::default(),
            false => of(self.parts.get(&(facts.object, facts.part))),
        };
        let group = facts.group.map_or(self.any_group, |group| of(self.groups.get(&group)));
        object.max(part).max(group)
    }

    fn by_tags(&self, facts: &Facts) -> Moment {
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

    fn by_name(&self, facts: &Facts) -> Moment {
        if self.any_name == Moment::default() {
            return Moment::default();
        }
        let Some(name) = facts.name else { return self.any_name };
        let (mut at, mut bound, mut bytes) = (0u32, Moment::default(), name.bytes());
        loop {
            let node = &self.nodes[at as usize];
            bound = bound.max(node.at);
            for (purged, pattern) in node.patterns.iter().rev() {
                // The latest come last: an older one can't raise the bound any more.
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

    /// Drops what no living copy can be older than, and folds the oldest where there are too many.
    pub fn tidy(&mut self, now: Moment) {
        let horizon = now.before(self.longest);
        while let Some(first) = self.wheel.first_entry() {
            let second = *first.key();
            let over = (second + 1) * 1_000_000 <= horizon.micros();
            if !over && self.live <= self.bound {
                return;
            }
            let slots = first.remove();
            self.live -= slots.len();
            for (at, slot) in slots {
                if !over {
                    self.everything = self.everything.max(at);
                    self.folded += 1;
                }
                self.take_out(slot, at);
            }
        }
    }

    /// Takes a purge out, unless a later one of the same scope stands there.
    fn take_out(&mut self, slot: Slot, at: Moment) {
        match slot {
            Slot::Object(object) => forget(&mut self.objects, &object, at),
            Slot::Part(object, part) => forget(&mut self.parts, &(object, part), at),
            Slot::Group(group) => forget(&mut self.groups, &group, at),
            Slot::Tag(tag) => forget(&mut self.tags, &tag, at),
            Slot::Tags(tags) => {
                let Some(sets) = self.sets.get_mut(&tags[0]) else { return };
                sets.retain(|(set, known)| *set != tags || *known > at);
                if sets.is_empty() {
                    self.sets.remove(&tags[0]);
                }
            }
            Slot::Node(node) => {
                let here = &mut self.nodes[node as usize];
                here.standing -= 1;
                if here.at <= at {
                    here.at = Moment::default();
                }
                self.prune(node);
            }
            Slot::Pattern(node) => {
                let here = &mut self.nodes[node as usize];
                here.standing -= 1;
                here.patterns.retain(|(known, _)| *known > at);
                self.prune(node);
            }
            // What was folded stands for others, and costs nothing to keep.
            Slot::Everything => {}
        }
    }

    /// Gives nodes back that say nothing and lead nowhere.
    fn prune(&mut self, mut node: u32) {
        while node != 0 {
            let here = &self.nodes[node as usize];
            if here.standing > 0 || !here.children.is_empty() {
                return;
            }
            let parent = here.parent;
            self.nodes[parent as usize].children.retain(|(_, child)| *child != node);
            self.free.push(node);
            node = parent;
        }
    }

    /// Purges that are kept one by one; a purge of several tags counts for each.
    pub fn live(&self) -> usize {
        self.live
    }

    /// Purges that were folded into one of everything.
    pub fn folded(&self) -> u64 {
        self.folded
    }

    /// About the bytes that it takes.
    pub fn bytes(&self) -> usize {
        let nodes: usize = self
            .nodes
            .iter()
            .map(|n| size_of::<Node>() + n.children.capacity() * 8 + n.patterns.len() * 512)
            .sum();
        let maps = self.objects.capacity() * 17 + self.parts.capacity() * 25 + self.groups.capacity() * 17;
        let tags: usize = self.tags.keys().map(|tag| tag.len() + 40).sum();
        let wheel: usize =
            self.wheel.values().map(|slots| slots.capacity() * size_of::<(Moment, Slot)>()).sum();
        nodes + maps + tags + wheel
    }
}

fn forget<K: std::hash::Hash + Eq>(map: &mut HashMap<K, Moment>, key: &K, at: Moment) {
    if map.get(key).is_some_and(|known| *known <= at) {
        map.remove(key);
    }
}

/// The plain way: every purge, one after another.
#[derive(Default)]
pub struct PlainList(Vec<(Checked, Moment)>);

impl PlainList {
    pub fn enter(&mut self, scope: &Checked, at: Moment) {
        self.0.push((scope.clone(), at));
    }

    pub fn from_when(&self, facts: &Facts) -> Option<Moment> {
        self.0.iter().filter(|(scope, _)| scope.covers(facts)).map(|(_, at)| *at).max()
    }
}
