//! Which best-effort images slow which serving images.
//!
//! For each serving image a linear model explains the logarithm of its tail latency by the share of
//! a worker's processors that each best-effort image uses beside it. Samples of all workers feed
//! one model, weighted down with age, since the amounts change. A pair counts as disturbing only
//! when its effect is both large and clear of the noise.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

/// Name of an image.
pub type ImageName = String;

/// How pairs are told from noise.
#[derive(Clone, Copy, Debug)]
pub struct InterferenceSettings {
    /// Time after which a sample weighs half, in seconds.
    pub half_life_s: f64,
    /// Weight of the assumption that nothing disturbs, in samples of a whole worker.
    pub ridge: f64,
    /// Least growth of a tail's logarithm by a whole worker of the image.
    pub least_effect: f64,
    /// Least effect in standard errors.
    pub least_significance: f64,
    /// Samples that say as much as one independent sample: tails are averages.
    pub correlation: f64,
}

/// A best-effort image that slows a serving image.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DisturbingPair {
    /// The image that is slowed.
    pub serving: ImageName,
    /// The image that slows it.
    pub best_effort: ImageName,
}

/// Pairs known to disturb, with a version that goes up with each change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DisturbingPairs {
    /// The version.
    pub version: u64,
    /// The pairs, sorted.
    pub pairs: Vec<DisturbingPair>,
}

impl DisturbingPairs {
    /// Whether the best-effort image slows the serving image.
    pub fn contains(&self, serving: &str, best_effort: &str) -> bool {
        self.pairs.iter().any(|pair| pair.serving == serving && pair.best_effort == best_effort)
    }
}

/// Sums of a weighted least-squares fit; the first column is the constant.
#[derive(Clone, Debug, Default)]
struct Fit {
    columns: HashMap<ImageName, usize>,
    products: Vec<Vec<f64>>,
    targets: Vec<f64>,
    target_square: f64,
    weight: f64,
}

/// Learns which pairs disturb.
#[derive(Clone, Debug)]
pub struct Interference {
    settings: InterferenceSettings,
    fits: BTreeMap<ImageName, Fit>,
    known: DisturbingPairs,
}

impl Interference {
    /// Nothing learned yet.
    pub fn new(settings: InterferenceSettings) -> Self {
        Self { settings, fits: BTreeMap::new(), known: DisturbingPairs::default() }
    }

    /// The pairs known to disturb.
    pub fn pairs(&self) -> &DisturbingPairs {
        &self.known
    }

    /// Takes in one tail as a share of its target, beside the processor shares of best-effort
    /// images on the same worker.
    pub fn observe(
        &mut self,
        serving: &str,
        tail_to_target: f64,
        usage: &BTreeMap<ImageName, f64>,
    ) {
        if tail_to_target <= 0.0 {
            return;
        }
        if !self.fits.contains_key(serving) {
            self.fits.insert(serving.to_owned(), Fit::new());
        }
        if let Some(fit) = self.fits.get_mut(serving) {
            fit.add(tail_to_target.ln(), usage);
        }
    }

    /// Ages the samples by the time since the last call, and works out the pairs anew.
    pub fn settle(&mut self, elapsed_s: f64) {
        let factor = 0.5_f64.powf(elapsed_s / self.settings.half_life_s);
        let mut pairs = Vec::new();
        for (serving, fit) in &mut self.fits {
            fit.age(factor);
            for best_effort in fit.disturbing(&self.settings) {
                pairs.push(DisturbingPair { serving: serving.clone(), best_effort });
            }
        }
        pairs.sort();
        if pairs != self.known.pairs {
            self.known = DisturbingPairs { version: self.known.version + 1, pairs };
        }
    }
}

impl Fit {
    fn new() -> Self {
        Self { products: vec![vec![0.0]], targets: vec![0.0], ..Self::default() }
    }

    fn add(&mut self, target: f64, usage: &BTreeMap<ImageName, f64>) {
        let mut row = vec![(0, 1.0)];
        for (image, share) in usage.iter().filter(|(_, share)| **share > 0.0) {
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

    fn disturbing(&self, settings: &InterferenceSettings) -> Vec<ImageName> {
        let mut matrix = self.products.clone();
        for (i, row) in matrix.iter_mut().enumerate().skip(1) {
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
            .map(|(image, _)| image.clone())
            .collect()
    }
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
