//! The baseline for large shapes: plain maps by name, cloned for each version, and a full search for each question.
use harestage_shape::config::ShapeConfig;
use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Default)]
pub struct Plain {
    pub version: u64,
    pub ties: HashMap<String, Vec<String>>,
    pub load: HashMap<String, f64>,
    pub passes: HashMap<String, f64>,
    pub capacity: HashMap<String, f64>,
    pub archive: String,
}

impl Plain {
    pub fn of(form: &ShapeConfig) -> Plain {
        let mut plain =
            Plain { version: form.version, archive: form.archive.name.clone(), ..Plain::default() };
        for hub in &form.hubs {
            plain.ties.insert(hub.name.clone(), hub.up.clone());
            plain.passes.insert(hub.name.clone(), hub.passes);
            plain.capacity.insert(hub.name.clone(), hub.capacity);
        }
        for branch in &form.branches {
            plain.ties.insert(branch.name.clone(), branch.hubs.clone());
            plain.load.insert(branch.name.clone(), branch.load);
        }
        plain
    }

    /// Whether it holds: a walk from every place for loops, and the whole flow anew for each hub that may be lost.
    pub fn holds(&self) -> bool {
        let loops = self.ties.keys().any(|name| self.comes_back(name));
        let losses = || self.capacity.keys().all(|lost| self.carries(Some(lost)));
        !loops && self.carries(None) && losses()
    }

    fn comes_back(&self, from: &str) -> bool {
        let (mut front, mut steps) = (vec![from], 0);
        while let Some(at) = front.pop() {
            steps += 1;
            for tie in self.ties.get(at).into_iter().flatten() {
                if tie == from || steps > 100_000 {
                    return true;
                }
                front.push(tie);
            }
        }
        false
    }

    fn carries(&self, lost: Option<&String>) -> bool {
        let mut ties = self.ties.clone();
        if let Some(lost) = lost {
            ties.remove(lost);
            ties.values_mut().for_each(|ties| ties.retain(|tie| tie != lost));
        }
        let loads = self.loads(&ties);
        let tops = ties.values().filter(|ties| ties.contains(&self.archive)).count().max(1) as f64;
        let fits = |(name, asked): (&String, &f64)| {
            self.capacity.get(name).is_none_or(|capacity| asked * (1.0 + 1.0 / tops) <= *capacity * 4.0)
        };
        loads.iter().all(fits)
    }

    fn loads(&self, ties: &HashMap<String, Vec<String>>) -> HashMap<String, f64> {
        let mut below: HashMap<&String, usize> = HashMap::new();
        ties.values().flatten().for_each(|tie| *below.entry(tie).or_default() += 1);
        let mut ready: Vec<&String> = ties.keys().filter(|name| !below.contains_key(name)).collect();
        let mut asked: HashMap<String, f64> = HashMap::new();
        while let Some(name) = ready.pop() {
            let own = asked.get(name).copied().unwrap_or(0.0);
            let passes = self.passes.get(name).map(|passes| own * passes);
            let load = passes.or(self.load.get(name).copied()).unwrap_or(0.0);
            let up = ties.get(name).map_or(&[][..], Vec::as_slice);
            for tie in up {
                *asked.entry(tie.clone()).or_default() += load / up.len() as f64;
                let left = below.entry(tie).or_default();
                *left -= 1;
                if *left == 0 {
                    ready.push(tie);
                }
            }
        }
        asked
    }

    /// The steps to another: every place that differs, a tenth of all load a step; each step is a version, cloned whole
    /// and checked whole.
    pub fn steps_to(&self, to: &Plain) -> Vec<Plain> {
        let names: BTreeMap<&String, &Vec<String>> = to.ties.iter().collect();
        let moved: Vec<_> =
            names.into_iter().filter(|(name, ties)| self.ties.get(*name) != Some(ties)).collect();
        let all: f64 = self.load.values().sum();
        let (mut versions, mut now, mut load) = (Vec::new(), self.clone(), 0.0);
        for (name, ties) in moved {
            now.ties.insert(name.clone(), ties.clone());
            load += self.load.get(name).copied().unwrap_or(0.0);
            if load > all * 0.1 {
                now.version += 1;
                now.holds();
                versions.push(now.clone());
                load = 0.0;
            }
        }
        now.version += 1;
        now.holds();
        versions.push(now);
        versions
    }
}
