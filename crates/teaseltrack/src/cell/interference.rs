//! Estimates how strongly each best-effort image slows each serving image.
//!
//! The tail of a serving task changes slowly with its own load and quickly with the CPU use of
//! colocated best-effort tasks. For each serving image, a linear regression therefore relates the
//! change of utilization between two reports, derived from the tail by [`tail_model`], to the
//! change of the CPU share that each best-effort image uses. Samples of all workers feed one model;
//! they are weighted by the noise of the tails and decay with age. The regression result of a pair
//! is combined with [`PRIOR`].
//!
//! [`tail_model`]: crate::cell::tail_model

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::cell::{
    tail_model::{SATURATED_UTILIZATION, utilization, utilization_noise},
    worker::TaskKey,
};

/// Name of an image.
pub type ImageName = String;
/// Share of a worker's CPU used by each best-effort image.
pub type ImageUsage = BTreeMap<ImageName, f64>;

/// Prior of a pair's utilization growth. It is bimodal: an image slows a serving image either
/// considerably or hardly at all.
const PRIOR: Prior = Prior {
    interfering_share: 0.4,
    interfering: Normal { mean: 2.5, std_dev: 1.0 },
    negligible: Normal { mean: 0.1, std_dev: 0.15 },
};
/// Expected growth of a pair without samples.
const UNOBSERVED_GROWTH: f64 = PRIOR.interfering_share * PRIOR.interfering.mean;
/// Expected growth below which interference counts as negligible. Negligible images can still push
/// a tail over its target at peak load; the pause for tails that stay over their target covers
/// that. Avoiding them here would exclude them from most workers most of the time.
const NEGLIGIBLE_GROWTH: f64 = 0.3;
/// Minimum change of a growth that is published to agents; relative for growths above 1.
const GROWTH_UPDATE_STEP: f64 = 0.25;
/// Expected growth from which an image counts as interfering: one standard deviation below the
/// mean of interfering pairs.
const INTERFERING_GROWTH: f64 = 1.5;
/// Share of a tail's change that is visible in the first report after a change of usage: tails are
/// averages over slightly more than a report interval.
const NEWEST_USAGE_WEIGHT: f64 = 0.7;
/// Change of a task's own utilization between two reports, for a load that changes by half in 10 s.
const LOAD_DRIFT: f64 = 0.04;
/// Minimum relative decrease of an idle tail that is published to agents.
const IDLE_TAIL_UPDATE_STEP: f64 = 0.05;

/// A normal distribution.
#[derive(Clone, Copy, Debug)]
struct Normal {
    mean: f64,
    std_dev: f64,
}

/// Mixture of two normal distributions of utilization growth.
#[derive(Clone, Copy, Debug)]
struct Prior {
    /// Share of interfering pairs.
    interfering_share: f64,
    interfering: Normal,
    negligible: Normal,
}

/// Parameters of the regression.
#[derive(Clone, Copy, Debug)]
pub struct InterferenceSettings {
    /// Half-life of a sample's weight, in seconds.
    pub half_life_s: f64,
    /// Maximum interval between two samples that are compared.
    pub max_sample_interval: Duration,
    /// Ridge penalty on the growths, in squared noise-normalized shares.
    pub ridge_penalty: f64,
    /// Sum of squared noise-normalized usage changes of an image from which the estimate of an
    /// earlier owner is dropped.
    pub min_evidence: f64,
    /// Factor on the variance of the estimates: tails are moving averages, so that successive
    /// samples are correlated.
    pub variance_inflation: f64,
}

/// Interference of a best-effort image with a serving image.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PairInterference {
    /// The serving image.
    pub serving: ImageName,
    /// The best-effort image.
    pub best_effort: ImageName,
    /// Expected relative growth of the serving task's utilization if the image used the whole
    /// worker; 0 if negligible.
    #[serde(rename = "effect")]
    pub utilization_growth: f64,
}

/// Estimates for pairs of images, with a version that increases with each change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InterferenceEstimates {
    /// The version.
    pub version: u64,
    /// The pairs, sorted by serving and best-effort image.
    pub pairs: Vec<PairInterference>,
    /// Idle tail by serving image, in milliseconds.
    #[serde(rename = "floors_ms", default)]
    pub idle_tails_ms: BTreeMap<ImageName, f64>,
}

impl InterferenceEstimates {
    /// Expected growth of the serving image's utilization per worker share of a best-effort image.
    pub fn utilization_growth(&self, serving: &str, best_effort: &str) -> f64 {
        let found = self.pairs.binary_search_by(|pair| {
            (pair.serving.as_str(), pair.best_effort.as_str()).cmp(&(serving, best_effort))
        });
        found.map_or(UNOBSERVED_GROWTH, |index| self.pairs[index].utilization_growth)
    }

    /// Whether the pair can be classified neither as interfering nor as negligible.
    pub fn is_inconclusive(&self, serving: &str, best_effort: &str) -> bool {
        let growth = self.utilization_growth(serving, best_effort);
        (NEGLIGIBLE_GROWTH..INTERFERING_GROWTH).contains(&growth)
    }

    /// Idle tail of a serving image; at most the observed tail, which is also the default.
    pub fn idle_tail_ms(&self, serving: &str, tail_ms: f64) -> f64 {
        self.idle_tails_ms.get(serving).copied().unwrap_or(tail_ms).min(tail_ms)
    }

    /// Relative growth of a serving task's utilization caused by the given usage.
    pub fn total_growth(&self, serving: &str, usage: &ImageUsage) -> f64 {
        usage.iter().map(|(image, share)| self.utilization_growth(serving, image) * share).sum()
    }

    /// Whether the same best-effort images, at least one, interfere with both serving images.
    pub fn have_same_interferers(&self, serving: &str, other: &str) -> bool {
        self.interferers(serving).next().is_some()
            && self.interferers(serving).eq(self.interferers(other))
    }

    /// Best-effort images that interfere with a serving image.
    fn interferers<'a>(&'a self, serving: &'a str) -> impl Iterator<Item = &'a ImageName> {
        let start = self.pairs.partition_point(|pair| pair.serving.as_str() < serving);
        let pairs = self.pairs[start..].iter().take_while(move |pair| pair.serving == serving);
        pairs
            .filter(|pair| pair.utilization_growth >= INTERFERING_GROWTH)
            .map(|pair| &pair.best_effort)
    }
}

/// Last sample of a serving task.
#[derive(Clone, Debug)]
struct Sample {
    sampled_at: Instant,
    tail_ms: f64,
    usage: Arc<ImageUsage>,
    /// Usage over the averaging window of the tail.
    effective_usage: ImageUsage,
}

/// Sums of a weighted least-squares fit without an intercept.
#[derive(Clone, Debug, Default)]
struct LeastSquaresFit {
    columns: HashMap<ImageName, usize>,
    gram_matrix: Vec<Vec<f64>>,
    cross_products: Vec<f64>,
    response_square_sum: f64,
    sample_weight: f64,
}

/// Regression models of all serving images, and the estimates derived from them.
#[derive(Clone, Debug)]
pub struct InterferenceModel {
    settings: InterferenceSettings,
    fits: BTreeMap<ImageName, LeastSquaresFit>,
    idle_tails_ms: BTreeMap<ImageName, f64>,
    last_samples: HashMap<TaskKey, Sample>,
    inherited: InterferenceEstimates,
    published: InterferenceEstimates,
}

impl InterferenceModel {
    /// A model without samples.
    pub fn new(settings: InterferenceSettings) -> Self {
        Self {
            settings,
            fits: BTreeMap::new(),
            idle_tails_ms: BTreeMap::new(),
            last_samples: HashMap::new(),
            inherited: InterferenceEstimates::default(),
            published: InterferenceEstimates::default(),
        }
    }

    /// Adopts the estimates of an earlier owner; estimates of this model replace them pair by pair.
    pub fn adopt_estimates(&mut self, estimates: InterferenceEstimates) {
        if estimates.version > self.published.version {
            for (image, idle_tail_ms) in &estimates.idle_tails_ms {
                self.record_idle_tail(image, *idle_tail_ms);
            }
            self.inherited = estimates.clone();
            self.published = estimates;
        }
    }

    /// The published estimates.
    pub fn estimates(&self) -> &InterferenceEstimates {
        &self.published
    }

    /// Records the tail of a serving task and the usage of best-effort images on its worker.
    pub fn observe(
        &mut self,
        task: TaskKey,
        serving: &str,
        tail_ms: u64,
        usage: &Arc<ImageUsage>,
        now: Instant,
    ) {
        let tail_ms = tail_ms.max(1) as f64;
        self.record_idle_tail(serving, tail_ms);
        let last = self.last_samples.get(&task);
        // The same listing can be reported twice.
        if last.is_some_and(|last| last.tail_ms == tail_ms && last.usage == *usage) {
            return;
        }
        let effective_usage = match last {
            Some(last) => blend_usage(usage, &last.usage, NEWEST_USAGE_WEIGHT),
            None => usage.as_ref().clone(),
        };
        let sample = Sample { sampled_at: now, tail_ms, usage: usage.clone(), effective_usage };
        let Some(last) = self.last_samples.insert(task, sample) else { return };
        if now.duration_since(last.sampled_at) > self.settings.max_sample_interval {
            return;
        }
        let idle_tail_ms = self.idle_tails_ms.get(serving).copied().unwrap_or(tail_ms);
        let (before, after) =
            (utilization(idle_tail_ms, last.tail_ms), utilization(idle_tail_ms, tail_ms));
        let lower = before.min(after);
        if lower >= SATURATED_UTILIZATION {
            return;
        }
        let noise_before = utilization_noise(before, last.tail_ms);
        let noise_after = utilization_noise(after, tail_ms);
        let noise = noise_before.hypot(noise_after).hypot(LOAD_DRIFT);
        let Some(sample) = self.last_samples.get(&task) else { return };
        let mut change = usage_change(&sample.effective_usage, &last.effective_usage);
        change.values_mut().for_each(|share| *share *= lower / noise);
        if !self.fits.contains_key(serving) {
            self.fits.insert(serving.to_owned(), LeastSquaresFit::default());
        }
        if let Some(fit) = self.fits.get_mut(serving) {
            fit.add((after - before) / noise, &change);
        }
    }

    fn record_idle_tail(&mut self, serving: &str, tail_ms: f64) {
        let idle_tail_ms = self.idle_tails_ms.entry(serving.to_owned()).or_insert(tail_ms);
        *idle_tail_ms = idle_tail_ms.min(tail_ms);
    }

    /// Decays the samples by the time since the last call and recomputes the estimates.
    pub fn update_estimates(&mut self, elapsed: Duration, now: Instant) {
        let settings = self.settings;
        self.last_samples.retain(|_, sample| {
            now.duration_since(sample.sampled_at) <= settings.max_sample_interval
        });
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / settings.half_life_s);
        let fits = &self.fits;
        let lacks_evidence = |pair: &PairInterference| {
            fits.get(&pair.serving)
                .is_none_or(|fit| !fit.has_sufficient_evidence(&pair.best_effort, &settings))
        };
        self.inherited.pairs.retain(lacks_evidence);
        let mut pairs = self.inherited.pairs.clone();
        for (serving, fit) in &mut self.fits {
            fit.decay(factor);
            for (best_effort, growth) in fit.growth_estimates(&settings) {
                pairs.retain(|pair| pair.serving != *serving || pair.best_effort != best_effort);
                pairs.push(PairInterference {
                    serving: serving.clone(),
                    best_effort,
                    utilization_growth: growth,
                });
            }
        }
        pairs.sort_by(|a, b| (&a.serving, &a.best_effort).cmp(&(&b.serving, &b.best_effort)));
        if self.has_changed_growth(&pairs) || self.has_lower_idle_tail() {
            let idle_tails_ms = self.idle_tails_ms.clone();
            self.published =
                InterferenceEstimates { version: self.published.version + 1, pairs, idle_tails_ms };
        }
    }

    fn has_changed_growth(&self, pairs: &[PairInterference]) -> bool {
        pairs.len() != self.published.pairs.len()
            || pairs.iter().any(|pair| {
                let published = self.published.utilization_growth(&pair.serving, &pair.best_effort);
                (pair.utilization_growth - published).abs()
                    > GROWTH_UPDATE_STEP * published.max(1.0)
            })
    }

    fn has_lower_idle_tail(&self) -> bool {
        self.idle_tails_ms.iter().any(|(image, idle_tail_ms)| {
            let published_ms = self.published.idle_tails_ms.get(image);
            published_ms.is_none_or(|published_ms| {
                *idle_tail_ms < published_ms * (1.0 - IDLE_TAIL_UPDATE_STEP)
            })
        })
    }
}

fn blend_usage(usage: &ImageUsage, previous: &ImageUsage, weight: f64) -> ImageUsage {
    let mut blended: ImageUsage =
        usage.iter().map(|(image, share)| (image.clone(), weight * share)).collect();
    for (image, share) in previous {
        *blended.entry(image.clone()).or_insert(0.0) += (1.0 - weight) * share;
    }
    blended
}

fn usage_change(usage: &ImageUsage, previous: &ImageUsage) -> ImageUsage {
    let mut change = usage.clone();
    for (image, share) in previous {
        *change.entry(image.clone()).or_insert(0.0) -= share;
    }
    change
}

impl LeastSquaresFit {
    fn add(&mut self, response: f64, change: &ImageUsage) {
        let mut row = Vec::with_capacity(change.len());
        for (image, share) in change.iter().filter(|(_, share)| **share != 0.0) {
            row.push((self.column(image), *share));
        }
        for &(i, left) in &row {
            self.cross_products[i] += left * response;
            for &(j, right) in &row {
                self.gram_matrix[i][j] += left * right;
            }
        }
        self.response_square_sum += response * response;
        self.sample_weight += 1.0;
    }

    fn column(&mut self, image: &str) -> usize {
        if let Some(&column) = self.columns.get(image) {
            return column;
        }
        let column = self.cross_products.len();
        self.columns.insert(image.to_owned(), column);
        self.cross_products.push(0.0);
        for row in &mut self.gram_matrix {
            row.push(0.0);
        }
        self.gram_matrix.push(vec![0.0; column + 1]);
        column
    }

    fn decay(&mut self, factor: f64) {
        self.gram_matrix.iter_mut().flatten().for_each(|sum| *sum *= factor);
        self.cross_products.iter_mut().for_each(|sum| *sum *= factor);
        self.response_square_sum *= factor;
        self.sample_weight *= factor;
    }

    /// Whether the usage of the image has varied enough for an estimate.
    fn has_sufficient_evidence(&self, image: &str, settings: &InterferenceSettings) -> bool {
        let column = self.columns.get(image);
        column.is_some_and(|column| self.gram_matrix[*column][*column] >= settings.min_evidence)
    }

    /// Expected growth by image, for all images with samples.
    fn growth_estimates(&self, settings: &InterferenceSettings) -> Vec<(ImageName, f64)> {
        let mut matrix = self.gram_matrix.clone();
        for (i, row) in matrix.iter_mut().enumerate() {
            row[i] += settings.ridge_penalty;
        }
        let Some(inverse) = invert(matrix) else { return Vec::new() };
        let growths: Vec<f64> = inverse.iter().map(|row| dot(row, &self.cross_products)).collect();
        let explained = dot(&growths, &self.cross_products);
        // Samples are normalized by their expected noise, a lower bound on the variance.
        let variance =
            ((self.response_square_sum - explained) / self.sample_weight.max(1.0)).max(1.0);
        let estimate = |column: usize| {
            let error = (variance * inverse[column][column] * settings.variance_inflation).sqrt();
            let growth = PRIOR.expected_growth(growths[column], error);
            if growth < NEGLIGIBLE_GROWTH { 0.0 } else { growth }
        };
        self.columns.iter().map(|(image, column)| (image.clone(), estimate(*column))).collect()
    }
}

impl Prior {
    /// Posterior expectation of the growth; negligible interference counts as 0.
    fn expected_growth(&self, growth: f64, error: f64) -> f64 {
        let interfering =
            self.interfering_share * self.interfering.predictive_density(growth, error);
        let negligible =
            (1.0 - self.interfering_share) * self.negligible.predictive_density(growth, error);
        let probability = interfering / (interfering + negligible).max(f64::MIN_POSITIVE);
        probability * self.interfering.posterior_mean(growth, error).max(0.0)
    }
}

impl Normal {
    /// Posterior mean, given an observation and its standard error.
    fn posterior_mean(&self, observed: f64, error: f64) -> f64 {
        let (prior_weight, weight) = (self.std_dev.powi(-2), error.max(1e-3).powi(-2));
        (self.mean * prior_weight + observed * weight) / (prior_weight + weight)
    }

    /// Density of an observation with the given standard error.
    fn predictive_density(&self, observed: f64, error: f64) -> f64 {
        let std_dev = self.std_dev.hypot(error);
        (-0.5 * ((observed - self.mean) / std_dev).powi(2)).exp() / std_dev
    }
}

fn dot(left: &[f64], right: &[f64]) -> f64 {
    left.iter().zip(right).map(|(a, b)| a * b).sum()
}

/// Inverse by Gauss-Jordan elimination with partial pivoting; `None` if the matrix is singular.
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
