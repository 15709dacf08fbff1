//! Which best-effort images slow which serving images, and by how much.
//!
//! A serving task's tail moves slowly with its own load and quickly with what best-effort tasks use
//! beside it. For each serving image a linear model therefore explains changes of the utilization
//! behind the tail, see [`tail_model`], between two reports by changes of the processor share that
//! each best-effort image uses. Samples of all workers feed one model, weighted by the noise that
//! the tails carry, and down with age. What is measured of a pair is weighed against [`PRIOR`].
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
/// Share of a worker's processors that best-effort images use.
pub type ImageUsage = BTreeMap<ImageName, f64>;

/// What is taken to hold of a pair before it was seen: an image either disturbs a serving image a
/// lot or hardly at all. Shares and means of the effects on traced days.
const PRIOR: Prior = Prior {
    disturbing_share: 0.4,
    disturbing: Normal { mean: 2.5, deviation: 1.0 },
    harmless: Normal { mean: 0.1, deviation: 0.15 },
};
/// Expected effect of a pair that was never seen.
const UNSEEN_EFFECT: f64 = PRIOR.disturbing_share * PRIOR.disturbing.mean;
/// Expected effect below which an image counts as harmless. What such images do at a load's peak is
/// left to the pause of tails that stay over their target: guarding against it would keep them off
/// most workers most of the time.
const HARMLESS_EFFECT: f64 = 0.3;
/// Smallest change of an effect that is news, and of a large one as a share: agents are told of each.
const EFFECT_STEP: f64 = 0.25;
/// Expected effect from which on an image counts as disturbing: one deviation below the mean.
const DISTURBING_EFFECT: f64 = 1.5;
/// Share of a tail's rise that shows in the first report after a change: tails are means over a
/// little more than the time between two reports.
const PROMPT_SHARE: f64 = 0.7;
/// Change of a task's own utilization between two reports: a load that swings by half in 10 s.
const LOAD_DRIFT: f64 = 0.04;
/// Fall of a floor, as a share, below which it is no news.
const FLOOR_STEP: f64 = 0.05;

/// A normal distribution.
#[derive(Clone, Copy, Debug)]
struct Normal {
    mean: f64,
    deviation: f64,
}

/// Effects before anything was seen.
#[derive(Clone, Copy, Debug)]
struct Prior {
    /// Share of pairs that disturb.
    disturbing_share: f64,
    disturbing: Normal,
    harmless: Normal,
}

/// How effects are told from noise.
#[derive(Clone, Copy, Debug)]
pub struct InterferenceSettings {
    /// Time after which a sample weighs half, in seconds.
    pub half_life_s: f64,
    /// Longest time between two samples whose difference counts.
    pub max_sample_interval: Duration,
    /// Weight of the assumption that nothing disturbs, in squared shares by noise.
    pub ridge_penalty: f64,
    /// Squared changes of an image's share, in units of noise, after which an earlier owner's word
    /// no longer holds.
    pub min_evidence: f64,
    /// Samples that say as much as one independent sample: tails are averages.
    pub variance_inflation: f64,
}

/// What a best-effort image does to a serving image.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PairInterference {
    /// The serving image.
    pub serving: ImageName,
    /// The best-effort image.
    pub best_effort: ImageName,
    /// Expected growth of the serving task's utilization by a whole worker of the image, as a share;
    /// 0 if the image is harmless as far as can be told.
    #[serde(rename = "effect")]
    pub utilization_growth: f64,
}

/// Pairs of images that were judged, with a version that goes up with each change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InterferenceEstimates {
    /// The version.
    pub version: u64,
    /// The pairs, sorted by images.
    pub pairs: Vec<PairInterference>,
    /// Tail of an idle task by serving image, in milliseconds.
    #[serde(rename = "floors_ms", default)]
    pub idle_tails_ms: BTreeMap<ImageName, f64>,
}

impl InterferenceEstimates {
    /// Expected effect of a best-effort image on a serving image.
    pub fn utilization_growth(&self, serving: &str, best_effort: &str) -> f64 {
        let found = self.pairs.binary_search_by(|pair| {
            (pair.serving.as_str(), pair.best_effort.as_str()).cmp(&(serving, best_effort))
        });
        found.map_or(UNSEEN_EFFECT, |index| self.pairs[index].utilization_growth)
    }

    /// Whether it isn't clear yet if the best-effort image disturbs the serving image.
    pub fn is_inconclusive(&self, serving: &str, best_effort: &str) -> bool {
        let effect = self.utilization_growth(serving, best_effort);
        (HARMLESS_EFFECT..DISTURBING_EFFECT).contains(&effect)
    }

    /// Tail of an idle task of a serving image; a lone tail is its own floor.
    pub fn idle_tail_ms(&self, serving: &str, tail_ms: f64) -> f64 {
        self.idle_tails_ms.get(serving).copied().unwrap_or(tail_ms).min(tail_ms)
    }

    /// Growth of a serving task's utilization by what best-effort images use, as a share.
    pub fn total_growth(&self, serving: &str, usage: &ImageUsage) -> f64 {
        usage.iter().map(|(image, share)| self.utilization_growth(serving, image) * share).sum()
    }

    /// Whether the same best-effort images disturb both serving images, as far as is known.
    pub fn have_same_interferers(&self, serving: &str, other: &str) -> bool {
        self.disturbing(serving).next().is_some()
            && self.disturbing(serving).eq(self.disturbing(other))
    }

    /// Best-effort images that disturb a serving image.
    fn disturbing<'a>(&'a self, serving: &'a str) -> impl Iterator<Item = &'a ImageName> {
        let start = self.pairs.partition_point(|pair| pair.serving.as_str() < serving);
        let pairs = self.pairs[start..].iter().take_while(move |pair| pair.serving == serving);
        pairs
            .filter(|pair| pair.utilization_growth >= DISTURBING_EFFECT)
            .map(|pair| &pair.best_effort)
    }
}

/// Last sample of a serving task.
#[derive(Clone, Debug)]
struct Sample {
    at: Instant,
    tail_ms: f64,
    usage: Arc<ImageUsage>,
    /// Usage that the tail answers to.
    effective_usage: ImageUsage,
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
pub struct InterferenceModel {
    settings: InterferenceSettings,
    fits: BTreeMap<ImageName, Fit>,
    idle_tails_ms: BTreeMap<ImageName, f64>,
    last: HashMap<TaskKey, Sample>,
    prior: InterferenceEstimates,
    known: InterferenceEstimates,
}

impl InterferenceModel {
    /// Nothing learned yet.
    pub fn new(settings: InterferenceSettings) -> Self {
        Self {
            settings,
            fits: BTreeMap::new(),
            idle_tails_ms: BTreeMap::new(),
            last: HashMap::new(),
            prior: InterferenceEstimates::default(),
            known: InterferenceEstimates::default(),
        }
    }

    /// Takes over what an earlier owner had learned; holds until samples say otherwise.
    pub fn adopt_estimates(&mut self, known: InterferenceEstimates) {
        if known.version > self.known.version {
            for (image, idle_tail_ms) in &known.idle_tails_ms {
                self.note_floor(image, *idle_tail_ms);
            }
            self.prior = known.clone();
            self.known = known;
        }
    }

    /// The known disturbances.
    pub fn estimates(&self) -> &InterferenceEstimates {
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
        let tail_ms = tail_ms.max(1) as f64;
        self.note_floor(serving, tail_ms);
        let last = self.last.get(&task);
        // A listing that is reported twice is no second sample.
        if last.is_some_and(|last| last.tail_ms == tail_ms && last.usage == *usage) {
            return;
        }
        let effective_usage = match last {
            Some(last) => mixed(usage, &last.usage, PROMPT_SHARE),
            None => usage.as_ref().clone(),
        };
        let sample = Sample { at: now, tail_ms, usage: usage.clone(), effective_usage };
        let Some(last) = self.last.insert(task, sample) else { return };
        if now.duration_since(last.at) > self.settings.max_sample_interval {
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
        let Some(sample) = self.last.get(&task) else { return };
        let mut change = difference(&sample.effective_usage, &last.effective_usage);
        change.values_mut().for_each(|share| *share *= lower / noise);
        if !self.fits.contains_key(serving) {
            self.fits.insert(serving.to_owned(), Fit::default());
        }
        if let Some(fit) = self.fits.get_mut(serving) {
            fit.add((after - before) / noise, &change);
        }
    }

    fn note_floor(&mut self, serving: &str, tail_ms: f64) {
        let idle_tail_ms = self.idle_tails_ms.entry(serving.to_owned()).or_insert(tail_ms);
        *idle_tail_ms = idle_tail_ms.min(tail_ms);
    }

    /// Ages the samples by the time since the last call, and works out the effects anew.
    pub fn update_estimates(&mut self, elapsed: Duration, now: Instant) {
        let settings = self.settings;
        self.last.retain(|_, sample| now.duration_since(sample.at) <= settings.max_sample_interval);
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / settings.half_life_s);
        let fits = &self.fits;
        let is_open = |pair: &PairInterference| {
            fits.get(&pair.serving).is_none_or(|fit| !fit.has_judged(&pair.best_effort, &settings))
        };
        self.prior.pairs.retain(is_open);
        let mut pairs = self.prior.pairs.clone();
        for (serving, fit) in &mut self.fits {
            fit.age(factor);
            for (best_effort, effect) in fit.effects(&settings) {
                pairs.retain(|pair| pair.serving != *serving || pair.best_effort != best_effort);
                pairs.push(PairInterference {
                    serving: serving.clone(),
                    best_effort,
                    utilization_growth: effect,
                });
            }
        }
        pairs.sort_by(|a, b| (&a.serving, &a.best_effort).cmp(&(&b.serving, &b.best_effort)));
        if self.has_changed(&pairs) || self.has_lower_floor() {
            let idle_tails_ms = self.idle_tails_ms.clone();
            self.known =
                InterferenceEstimates { version: self.known.version + 1, pairs, idle_tails_ms };
        }
    }

    fn has_changed(&self, pairs: &[PairInterference]) -> bool {
        pairs.len() != self.known.pairs.len()
            || pairs.iter().any(|pair| {
                let told = self.known.utilization_growth(&pair.serving, &pair.best_effort);
                (pair.utilization_growth - told).abs() > EFFECT_STEP * told.max(1.0)
            })
    }

    fn has_lower_floor(&self) -> bool {
        self.idle_tails_ms.iter().any(|(image, idle_tail_ms)| {
            let told_ms = self.known.idle_tails_ms.get(image);
            told_ms.is_none_or(|told_ms| *idle_tail_ms < told_ms * (1.0 - FLOOR_STEP))
        })
    }
}

fn mixed(usage: &ImageUsage, earlier: &ImageUsage, weight: f64) -> ImageUsage {
    let mut mixture: ImageUsage =
        usage.iter().map(|(image, share)| (image.clone(), weight * share)).collect();
    for (image, share) in earlier {
        *mixture.entry(image.clone()).or_insert(0.0) += (1.0 - weight) * share;
    }
    mixture
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
        column.is_some_and(|column| self.products[*column][*column] >= settings.min_evidence)
    }

    /// Expected effects of the images that were seen.
    fn effects(&self, settings: &InterferenceSettings) -> Vec<(ImageName, f64)> {
        let mut matrix = self.products.clone();
        for (i, row) in matrix.iter_mut().enumerate() {
            row[i] += settings.ridge_penalty;
        }
        let Some(inverse) = invert(matrix) else { return Vec::new() };
        let effects: Vec<f64> = inverse.iter().map(|row| dot(row, &self.targets)).collect();
        let explained = dot(&effects, &self.targets);
        // Samples come in units of their expected noise; the model isn't better than that.
        let variance = ((self.target_square - explained) / self.weight.max(1.0)).max(1.0);
        let expect = |column: usize| {
            let error = (variance * inverse[column][column] * settings.variance_inflation).sqrt();
            let effect = PRIOR.expected_effect(effects[column], error);
            if effect < HARMLESS_EFFECT { 0.0 } else { effect }
        };
        self.columns.iter().map(|(image, column)| (image.clone(), expect(*column))).collect()
    }
}

impl Prior {
    /// Expected effect after a measured one with its standard error.
    fn expected_effect(&self, effect: f64, error: f64) -> f64 {
        let disturbing = self.disturbing_share * self.disturbing.density(effect, error);
        let harmless = (1.0 - self.disturbing_share) * self.harmless.density(effect, error);
        let probability = disturbing / (disturbing + harmless).max(f64::MIN_POSITIVE);
        probability * self.disturbing.mean_after(effect, error).max(0.0)
    }
}

impl Normal {
    /// Mean after a figure was measured with a standard error.
    fn mean_after(&self, figure: f64, error: f64) -> f64 {
        let (prior_weight, weight) = (self.deviation.powi(-2), error.max(1e-3).powi(-2));
        (self.mean * prior_weight + figure * weight) / (prior_weight + weight)
    }

    /// Density of a figure with a standard error.
    fn density(&self, figure: f64, error: f64) -> f64 {
        let deviation = self.deviation.hypot(error);
        (-0.5 * ((figure - self.mean) / deviation).powi(2)).exp() / deviation
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
