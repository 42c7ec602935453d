//! Rigs on loopback, hubs and the control service as they run between stand-ins for everything else, and each area's
//! measurement beside its baseline.
pub mod audit;
pub mod branch;
pub mod capacity;
pub mod effects;
pub mod plain;
pub mod purge;
pub mod rig;
pub mod script;
pub mod shape;
pub mod site;
pub mod three;

use std::collections::BTreeMap;

/// What an area's measurement found, and the bounds that it has to keep.
pub struct Figures {
    area: String,
    values: BTreeMap<String, f64>,
    bounds: Vec<(String, f64)>,
    least: Vec<(String, f64)>,
}

impl Figures {
    pub fn new(area: &str) -> Figures {
        Figures { area: area.into(), values: BTreeMap::new(), bounds: Vec::new(), least: Vec::new() }
    }

    pub fn set(&mut self, name: &str, value: f64) {
        self.values.insert(name.into(), (value * 1e4).round() / 1e4);
    }

    /// The value may not be larger.
    pub fn bound(&mut self, name: &str, most: f64) {
        self.bounds.push((name.into(), most));
    }

    /// The value may not be smaller.
    pub fn at_least(&mut self, name: &str, least: f64) {
        self.least.push((name.into(), least));
    }

    pub fn json(&self) -> String {
        serde_json::to_string_pretty(&self.values).unwrap_or_default() + "\n"
    }

    pub fn values(&self) -> &BTreeMap<String, f64> {
        &self.values
    }

    pub fn area(&self) -> &str {
        &self.area
    }

    /// A line for each bound that is broken; a figure that is missing breaks its bound too.
    pub fn broken(&self) -> Vec<String> {
        let broken = self.bounds.iter().filter_map(|(name, most)| match self.values.get(name) {
            Some(value) if value <= most => None,
            Some(value) => Some(format!("{name} is {value}, and {most} at most")),
            None => Some(format!("{name} was not measured")),
        });
        let low = self.least.iter().filter_map(|(name, least)| match self.values.get(name) {
            Some(value) if value >= least => None,
            Some(value) => Some(format!("{name} is {value}, and {least} at least")),
            None => Some(format!("{name} was not measured")),
        });
        broken.chain(low).collect()
    }
}

/// The value below which such a part of all lies; sorts them.
pub fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = ((values.len() as f64 * part).ceil() as usize).clamp(1, values.len().max(1)) - 1;
    values.get(at).copied().unwrap_or(f64::NAN)
}
