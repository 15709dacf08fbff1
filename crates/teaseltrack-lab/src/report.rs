//! Report of an experiment, as text and as JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Metrics of one run of an experiment; metric names end with the unit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: String,
    /// Seed of its random number generators.
    pub seed: u64,
    /// Metric values by name.
    pub metrics: BTreeMap<String, f64>,
}

impl Report {
    /// Creates a report without metrics.
    pub fn new(experiment: &str, seed: u64) -> Self {
        Self { experiment: experiment.to_owned(), seed, metrics: BTreeMap::new() }
    }

    /// Sets a metric.
    pub fn set(&mut self, name: &str, value: f64) {
        self.metrics.insert(name.to_owned(), value);
    }

    /// Sets a metric that is a count.
    pub fn count(&mut self, name: &str, value: u64) {
        self.set(name, value as f64);
    }

    /// Formats the report as one JSON object on one line.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Formats the report as a table.
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

/// Returns the median, or the upper of the two middle values if their number is even; NaN if there
/// are no values.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
