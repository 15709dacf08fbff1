//! Choice of a target for a request.
//!
//! Two targets of the service are drawn at random from the entry's own availability zone and the one
//! with less expected work is taken. One target of another zone is drawn as well, and taken when it
//! is clearly better. Targets that fail are left out for a while that grows with each failure; new
//! ones are taken in gradually. All of it rests on hints: the agent decides.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{Rng, RngExt};
use slotmap::{SlotMap, new_key_type};

use crate::ids::{Incarnation, InstanceId, ServiceName, ZoneName};

new_key_type! {
    /// Key of a routed target.
    pub struct TargetKey;
}

/// Weight of one sample in the smoothed latency.
const LATENCY_GAIN: f64 = 0.2;
/// Latency assumed before the first answer.
const ASSUMED_LATENCY_MS: f64 = 1.0;
/// How much longer an answer from the own zone may take before another zone is taken.
const SPILL_RATIO: f64 = 1.25;
/// Share of a target's limit up to which a new request is expected not to wait.
const FREE_SHARE: f64 = 0.75;
/// Time over which a new target is taken in.
const RAMP: Duration = Duration::from_secs(2);
/// Least share of its traffic that a new target gets.
const MIN_RAMP_SHARE: f64 = 0.1;
/// Failures in a row before a target is left out.
const FAILURES_BEFORE_EJECTION: u32 = 3;
/// First time for which a failing target is left out.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Longest time for which a failing target is left out.
const MAX_EJECTION: Duration = Duration::from_secs(10);
/// Time after which the smoothed latency of a target without traffic counts half.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(2);

/// A target as its agent announces it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Instance of the agent beside the target.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Service that the target answers for.
    pub service: ServiceName,
    /// Requests that the target takes at once.
    pub slots: u32,
    /// Life of the agent; what was learnt of an earlier one is forgotten.
    pub incarnation: Incarnation,
}

/// Load that an agent reports with its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests.
    pub in_flight: u32,
    /// Waiting requests.
    pub queued: u32,
    /// Requests that may run at once.
    pub limit: u32,
    /// Whether new work is refused.
    pub is_draining: bool,
}

#[derive(Debug)]
struct RoutedTarget {
    info: TargetInfo,
    added_at: Instant,
    in_flight: u32,
    latency_ms: Option<f64>,
    measured_at: Instant,
    load: LoadReport,
    is_suspected: bool,
    failures: u32,
    ejected_until: Option<Instant>,
}

/// Targets known to an entry.
#[derive(Debug, Default)]
pub struct Router {
    targets: SlotMap<TargetKey, RoutedTarget>,
    by_service: BTreeMap<ServiceName, Vec<TargetKey>>,
    by_instance: BTreeMap<InstanceId, TargetKey>,
}

impl Router {
    /// Takes in a target, or what changed of it.
    pub fn upsert(&mut self, info: TargetInfo, now: Instant) -> TargetKey {
        if let Some(key) = self.by_instance.get(&info.instance).copied() {
            if self.targets[key].info == info {
                return key;
            }
            self.remove(&info.instance);
        }
        let (service, instance) = (info.service.clone(), info.instance.clone());
        let key = self.targets.insert(RoutedTarget {
            info,
            added_at: now,
            in_flight: 0,
            latency_ms: None,
            measured_at: now,
            load: LoadReport::default(),
            is_suspected: false,
            failures: 0,
            ejected_until: None,
        });
        self.by_service.entry(service).or_default().push(key);
        self.by_instance.insert(instance, key);
        key
    }

    /// Drops the target of an instance.
    pub fn remove(&mut self, instance: &str) {
        let Some(key) = self.by_instance.remove(instance) else { return };
        let Some(target) = self.targets.remove(key) else { return };
        if let Some(keys) = self.by_service.get_mut(&target.info.service) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.by_service.remove(&target.info.service);
            }
        }
    }

    /// Drops all targets of instances for which `is_live` is false.
    pub fn retain(&mut self, is_live: impl Fn(&str) -> bool) {
        let gone: Vec<InstanceId> = self
            .targets
            .values()
            .map(|target| &target.info.instance)
            .filter(|instance| !is_live(instance))
            .cloned()
            .collect();
        for instance in gone {
            self.remove(&instance);
        }
    }

    /// Leaves a target out while its agent is suspected of being gone, if others are left.
    pub fn set_suspected(&mut self, key: TargetKey, is_suspected: bool) {
        if let Some(target) = self.targets.get_mut(key) {
            target.is_suspected = is_suspected;
        }
    }

    /// Time that a target is expected to take for one request.
    pub fn expected_latency(&self, key: TargetKey, now: Instant) -> Duration {
        let latency_ms = self
            .targets
            .get(key)
            .map_or(ASSUMED_LATENCY_MS, |target| target.expected_latency_ms(now));
        Duration::from_secs_f64(latency_ms / 1_000.0)
    }

    /// Number of targets known for a service.
    pub fn target_count(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// What is known of a target.
    pub fn info(&self, key: TargetKey) -> Option<&TargetInfo> {
        self.targets.get(key).map(|target| &target.info)
    }

    /// Chooses a target of the service, none of `tried` if another is left.
    pub fn choose(
        &self,
        service: &str,
        zone: &str,
        tried: &[TargetKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let all = self.by_service.get(service)?;
        let untried: Vec<TargetKey> =
            all.iter().copied().filter(|key| !tried.contains(key)).collect();
        let usable: Vec<TargetKey> =
            untried.iter().copied().filter(|key| self.targets[*key].is_usable(now)).collect();
        let candidates = if usable.is_empty() { &untried } else { &usable };
        let (near, far): (Vec<_>, Vec<_>) =
            candidates.iter().partition(|key| self.targets[**key].info.zone == zone);
        let near_best = self.better_of_two(&near, now, rng);
        let far_best = self.better_of_two(&far, now, rng);
        let (Some(near_key), Some(far_key)) = (near_best, far_best) else {
            return near_best.or(far_best);
        };
        let (near_ms, far_ms) =
            (self.targets[near_key].answer_ms(now), self.targets[far_key].answer_ms(now));
        let is_spilling = near_ms > far_ms * SPILL_RATIO;
        Some(if is_spilling { far_key } else { near_key })
    }

    /// Counts an attempt that is sent to the target.
    pub fn begin_attempt(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.in_flight += 1;
        }
    }

    /// Counts the end of an attempt that the target answered.
    pub fn record_response(
        &mut self,
        key: TargetKey,
        latency: Duration,
        load: Option<LoadReport>,
        now: Instant,
    ) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.end_attempt(load);
        target.failures = 0;
        target.ejected_until = None;
        target.record_latency(latency, now);
    }

    /// Counts the end of an attempt that its agent refused.
    pub fn end_unmeasured_attempt(&mut self, key: TargetKey, load: Option<LoadReport>) {
        if let Some(target) = self.targets.get_mut(key) {
            target.end_attempt(load);
        }
    }

    /// Counts the end of an attempt that got no answer.
    pub fn record_failure(&mut self, key: TargetKey, elapsed: Duration, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.end_attempt(None);
        target.record_latency(elapsed, now);
        target.failures += 1;
        if target.failures >= FAILURES_BEFORE_EJECTION {
            let doublings = (target.failures - FAILURES_BEFORE_EJECTION).min(8);
            let ejection = MIN_EJECTION.saturating_mul(1 << doublings).min(MAX_EJECTION);
            target.ejected_until = Some(now + ejection);
        }
    }

    fn better_of_two(
        &self,
        candidates: &[TargetKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        if candidates.len() < 2 {
            return candidates.first().copied();
        }
        let first = rng.random_range(0..candidates.len());
        let mut second = rng.random_range(0..candidates.len() - 1);
        if second >= first {
            second += 1;
        }
        let (first, second) = (candidates[first], candidates[second]);
        let is_first_better = self.targets[first].cost(now) <= self.targets[second].cost(now);
        Some(if is_first_better { first } else { second })
    }
}

impl RoutedTarget {
    fn is_usable(&self, now: Instant) -> bool {
        !self.load.is_draining
            && !self.is_suspected
            && self.ejected_until.is_none_or(|until| until <= now)
    }

    /// Expected work ahead of a new request, in milliseconds, raised while the target is new.
    fn cost(&self, now: Instant) -> f64 {
        let ramp_share =
            now.saturating_duration_since(self.added_at).as_secs_f64() / RAMP.as_secs_f64();
        let ahead = f64::from(self.ahead() + 1);
        ahead * self.expected_latency_ms(now) / ramp_share.clamp(MIN_RAMP_SHARE, 1.0)
    }

    /// Expected time to an answer, in milliseconds: longer than the latency only when slots run out.
    fn answer_ms(&self, now: Instant) -> f64 {
        let limit = if self.load.limit > 0 { self.load.limit } else { self.info.slots.max(1) };
        let busy = f64::from(self.ahead() + 1) / (f64::from(limit) * FREE_SHARE);
        self.expected_latency_ms(now) * busy.max(1.0)
    }

    /// Requests ahead of a new one: this entry's own, and half of what others had at the last report.
    fn ahead(&self) -> u32 {
        let others = (self.load.in_flight + self.load.queued).saturating_sub(self.in_flight);
        self.in_flight + others / 2
    }

    fn expected_latency_ms(&self, now: Instant) -> f64 {
        let Some(latency_ms) = self.latency_ms else { return ASSUMED_LATENCY_MS };
        let idle = now.saturating_duration_since(self.measured_at).as_secs_f64();
        let half_lives = idle / LATENCY_HALF_LIFE.as_secs_f64();
        (latency_ms * 0.5_f64.powf(half_lives)).max(ASSUMED_LATENCY_MS)
    }

    fn end_attempt(&mut self, load: Option<LoadReport>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = load {
            self.load = load;
        }
    }

    fn record_latency(&mut self, latency: Duration, now: Instant) {
        let sample_ms = latency.as_secs_f64() * 1_000.0;
        let smoothed_ms = match self.latency_ms {
            None => sample_ms,
            Some(previous_ms) => previous_ms + LATENCY_GAIN * (sample_ms - previous_ms),
        };
        self.latency_ms = Some(smoothed_ms);
        self.measured_at = now;
    }
}
