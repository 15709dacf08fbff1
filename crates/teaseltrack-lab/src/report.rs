//! What an experiment measured, for people and for programs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Metrics of one run of an experiment; units are suffixes of the names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: String,
    /// Seed of all that was random in it.
    pub seed: u64,
    /// Values by name.
    pub metrics: BTreeMap<String, f64>,
}

impl Report {
    /// A report without metrics.
    pub fn new(experiment: &str, seed: u64) -> Self {
        Self { experiment: experiment.to_owned(), seed, metrics: BTreeMap::new() }
    }

    /// Adds a metric.
    pub fn set(&mut self, name: &str, value: f64) {
        self.metrics.insert(name.to_owned(), value);
    }

    /// Adds a count.
    pub fn count(&mut self, name: &str, value: u64) {
        self.set(name, value as f64);
    }

    /// One JSON object on one line.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// A table for people.
    pub fn text(&self) -> String {
        let width = self.metrics.keys().map(String::len).max().unwrap_or(0);
        let rows: Vec<String> = self
            .metrics
            .iter()
            .map(|(name, value)| format!("{name:width$}  {value:>12.3}"))
            .collect();
        format!("{} (seed {})\n{}", self.experiment, self.seed, rows.join("\n"))
    }
}

/// The value in the middle.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
