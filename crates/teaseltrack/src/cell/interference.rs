//! Which best-effort images slow which serving images, and by how much.
//!
//! A serving task's tail moves slowly with its own load and quickly with what best-effort tasks use
//! beside it. For each serving image a linear model therefore explains changes of the tail's
//! logarithm between two reports by changes of the processor share that each best-effort image
//! uses. Samples of all workers feed one model, weighted down with age. An effect counts when it is
//! both large and clear of the noise.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::cell::worker::TaskKey;

/// Name of an image.
pub type ImageName = String;
/// Share of a worker's processors that best-effort images use.
pub type ImageUsage = BTreeMap<ImageName, f64>;

/// How effects are told from noise.
#[derive(Clone, Copy, Debug)]
pub struct InterferenceSettings {
    /// Time after which a sample weighs half, in seconds.
    pub half_life_s: f64,
    /// Longest time between two samples whose difference counts.
    pub longest_step: Duration,
    /// Weight of the assumption that nothing disturbs, in squared shares of a worker.
    pub ridge: f64,
    /// Squared changes of an image's share after which an earlier owner's word no longer holds.
    pub least_evidence: f64,
    /// Least growth of a tail's logarithm by a whole worker of the image.
    pub least_effect: f64,
    /// Least effect in standard errors.
    pub least_significance: f64,
    /// Samples that say as much as one independent sample: tails are averages.
    pub correlation: f64,
}

/// A best-effort image that slows a serving image.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Disturbance {
    /// The image that is slowed.
    pub serving: ImageName,
    /// The image that slows it.
    pub best_effort: ImageName,
    /// Growth of the tail's logarithm by a whole worker of the image.
    pub effect: f64,
}

/// Known disturbances, with a version that goes up with each change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Disturbances {
    /// The version.
    pub version: u64,
    /// The disturbances, sorted by images.
    pub pairs: Vec<Disturbance>,
}

impl Disturbances {
    /// Effect of a best-effort image on a serving image; 0 if none is known.
    pub fn effect(&self, serving: &str, best_effort: &str) -> f64 {
        self.pairs
            .iter()
            .find(|pair| pair.serving == serving && pair.best_effort == best_effort)
            .map_or(0.0, |pair| pair.effect)
    }

    /// Whether the same best-effort images disturb both serving images, as far as is known.
    pub fn are_alike(&self, serving: &str, other: &str) -> bool {
        let disturbing = |image: &str| -> Vec<&ImageName> {
            let pairs = self.pairs.iter().filter(|pair| pair.serving == image);
            pairs.map(|pair| &pair.best_effort).collect()
        };
        let first = disturbing(serving);
        !first.is_empty() && first == disturbing(other)
    }
}

/// Last sample of a serving task.
#[derive(Clone, Debug)]
struct Sample {
    at: Instant,
    tail_ln: f64,
    usage: Arc<ImageUsage>,
}

/// Sums of a weighted least-squares fit without a constant.
#[derive(Clone, Debug, Default)]
struct Fit {
    columns: HashMap<ImageName, usize>,
    products: Vec<Vec<f64>>,
    targets: Vec<f64>,
    target_square: f64,
    weight: f64,
}

/// Learns which images disturb which.
#[derive(Clone, Debug)]
pub struct Interference {
    settings: InterferenceSettings,
    fits: BTreeMap<ImageName, Fit>,
    last: HashMap<TaskKey, Sample>,
    prior: Disturbances,
    known: Disturbances,
}

impl Interference {
    /// Nothing learned yet.
    pub fn new(settings: InterferenceSettings) -> Self {
        Self {
            settings,
            fits: BTreeMap::new(),
            last: HashMap::new(),
            prior: Disturbances::default(),
            known: Disturbances::default(),
        }
    }

    /// Takes over what an earlier owner had learned; holds until samples say otherwise.
    pub fn adopt(&mut self, known: Disturbances) {
        if known.version > self.known.version {
            self.prior = known.clone();
            self.known = known;
        }
    }

    /// The known disturbances.
    pub fn known(&self) -> &Disturbances {
        &self.known
    }

    /// Takes in a serving task's tail, beside what best-effort images use on its worker.
    pub fn observe(
        &mut self,
        task: TaskKey,
        serving: &str,
        tail_ms: u64,
        usage: &Arc<ImageUsage>,
        now: Instant,
    ) {
        let tail_ln = (tail_ms.max(1) as f64).ln();
        let sample = Sample { at: now, tail_ln, usage: usage.clone() };
        let Some(last) = self.last.insert(task, sample) else { return };
        if now.duration_since(last.at) > self.settings.longest_step {
            return;
        }
        if !self.fits.contains_key(serving) {
            self.fits.insert(serving.to_owned(), Fit::default());
        }
        if let Some(fit) = self.fits.get_mut(serving) {
            fit.add(tail_ln - last.tail_ln, &difference(usage, &last.usage));
        }
    }

    /// Ages the samples by the time since the last call, and works out the effects anew.
    pub fn settle(&mut self, elapsed: Duration, now: Instant) {
        let settings = self.settings;
        self.last.retain(|_, sample| now.duration_since(sample.at) <= settings.longest_step);
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / settings.half_life_s);
        let fits = &self.fits;
        let is_open = |pair: &Disturbance| {
            fits.get(&pair.serving).is_none_or(|fit| !fit.has_judged(&pair.best_effort, &settings))
        };
        self.prior.pairs.retain(is_open);
        let mut pairs = self.prior.pairs.clone();
        for (serving, fit) in &mut self.fits {
            fit.age(factor);
            for (best_effort, effect) in fit.disturbing(&settings) {
                pairs.retain(|pair| pair.serving != *serving || pair.best_effort != best_effort);
                pairs.push(Disturbance { serving: serving.clone(), best_effort, effect });
            }
        }
        pairs.sort_by(|a, b| (&a.serving, &a.best_effort).cmp(&(&b.serving, &b.best_effort)));
        if pairs != self.known.pairs {
            self.known = Disturbances { version: self.known.version + 1, pairs };
        }
    }
}

fn difference(usage: &ImageUsage, earlier: &ImageUsage) -> ImageUsage {
    let mut change = usage.clone();
    for (image, share) in earlier {
        *change.entry(image.clone()).or_insert(0.0) -= share;
    }
    change
}

impl Fit {
    fn add(&mut self, target: f64, change: &ImageUsage) {
        let mut row = Vec::with_capacity(change.len());
        for (image, share) in change.iter().filter(|(_, share)| **share != 0.0) {
            row.push((self.column(image), *share));
        }
        for &(i, left) in &row {
            self.targets[i] += left * target;
            for &(j, right) in &row {
                self.products[i][j] += left * right;
            }
        }
        self.target_square += target * target;
        self.weight += 1.0;
    }

    fn column(&mut self, image: &str) -> usize {
        if let Some(&column) = self.columns.get(image) {
            return column;
        }
        let column = self.targets.len();
        self.columns.insert(image.to_owned(), column);
        self.targets.push(0.0);
        for row in &mut self.products {
            row.push(0.0);
        }
        self.products.push(vec![0.0; column + 1]);
        column
    }

    fn age(&mut self, factor: f64) {
        self.products.iter_mut().flatten().for_each(|sum| *sum *= factor);
        self.targets.iter_mut().for_each(|sum| *sum *= factor);
        self.target_square *= factor;
        self.weight *= factor;
    }

    /// Whether the image was seen to come and go often enough to judge it.
    fn has_judged(&self, image: &str, settings: &InterferenceSettings) -> bool {
        let column = self.columns.get(image);
        column.is_some_and(|column| self.products[*column][*column] >= settings.least_evidence)
    }

    fn disturbing(&self, settings: &InterferenceSettings) -> Vec<(ImageName, f64)> {
        let mut matrix = self.products.clone();
        for (i, row) in matrix.iter_mut().enumerate() {
            row[i] += settings.ridge;
        }
        let Some(inverse) = invert(matrix) else { return Vec::new() };
        let effects: Vec<f64> = inverse.iter().map(|row| dot(row, &self.targets)).collect();
        let explained = dot(&effects, &self.targets);
        let variance = ((self.target_square - explained) / self.weight.max(1.0)).max(0.0);
        let is_disturbing = |column: usize| {
            let error = (variance * inverse[column][column] * settings.correlation).sqrt();
            effects[column] >= settings.least_effect
                && effects[column] >= settings.least_significance * error
        };
        let images = self.columns.iter();
        images
            .filter(|(_, column)| is_disturbing(**column))
            .map(|(image, column)| (image.clone(), round_effect(effects[*column])))
            .collect()
    }
}

/// Rounds an effect, so that small changes don't count as news.
fn round_effect(effect: f64) -> f64 {
    (effect * 2.0).round() / 2.0
}

fn dot(left: &[f64], right: &[f64]) -> f64 {
    left.iter().zip(right).map(|(a, b)| a * b).sum()
}

/// Inverse by elimination with the largest pivot; `None` if there is none.
fn invert(mut matrix: Vec<Vec<f64>>) -> Option<Vec<Vec<f64>>> {
    let size = matrix.len();
    for (i, row) in matrix.iter_mut().enumerate() {
        row.extend((0..size).map(|j| f64::from(u8::from(i == j))));
    }
    for column in 0..size {
        let pivot = (column..size)
            .max_by(|a, b| matrix[*a][column].abs().total_cmp(&matrix[*b][column].abs()))?;
        if matrix[pivot][column].abs() < 1e-9 {
            return None;
        }
        matrix.swap(column, pivot);
        let scale = matrix[column][column];
        matrix[column].iter_mut().for_each(|value| *value /= scale);
        let pivot_row = matrix[column].clone();
        for (_, row) in matrix.iter_mut().enumerate().filter(|(i, _)| *i != column) {
            let factor = row[column];
            row.iter_mut().zip(&pivot_row).for_each(|(value, pivot)| *value -= factor * pivot);
        }
    }
    Some(matrix.into_iter().map(|row| row[size..].to_vec()).collect())
}
