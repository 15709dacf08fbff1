//! Load balancing of requests across targets.
//!
//! Selection follows the power of two choices: of two random targets of the service in the entry's
//! own availability zone, the one with the lower expected load is a candidate, and likewise of two
//! in other zones. The remote candidate is chosen only if its expected response time is clearly
//! shorter.
//!
//! Targets that fail repeatedly are ejected for a period that doubles with each further failure,
//! and new targets receive traffic gradually (slow start). Load data may be stale; the agent makes
//! the admission decision.

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

/// Weight of one sample in the exponentially smoothed latency.
const LATENCY_GAIN: f64 = 0.2;
/// Latency assumed before the first response, and lower bound of the expected latency.
const ASSUMED_LATENCY_MS: f64 = 1.0;
/// Ratio of local to remote expected response time above which a request leaves its zone.
const SPILLOVER_RATIO: f64 = 1.25;
/// Fraction of a target's concurrency limit up to which no queueing delay is expected.
const UNQUEUED_UTILIZATION: f64 = 0.75;
/// Duration of the slow start of a new target.
const SLOW_START_PERIOD: Duration = Duration::from_secs(2);
/// Lower bound of the slow-start factor, by which the cost of a new target is divided.
const MIN_SLOW_START_FACTOR: f64 = 0.1;
/// Consecutive failures before a target is ejected.
const FAILURES_BEFORE_EJECTION: u32 = 3;
/// Duration of the first ejection of a failing target.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(10);
/// Time after which the expected latency of a target without new samples is halved.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(2);

/// Target announced by its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Instance that runs the target and its agent.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Service that the target implements.
    pub service: ServiceName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Incarnation of the agent's member entry; a new one discards the statistics.
    pub incarnation: Incarnation,
}

/// Load that an agent reports with its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of running requests.
    pub in_flight: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Current concurrency limit; 0 if none was reported.
    pub limit: u32,
    /// Whether new requests are refused.
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

/// Targets known to an entry, with their load and health.
#[derive(Debug, Default)]
pub struct Router {
    targets: SlotMap<TargetKey, RoutedTarget>,
    by_service: BTreeMap<ServiceName, Vec<TargetKey>>,
    by_instance: BTreeMap<InstanceId, TargetKey>,
}

impl Router {
    /// Adds a target, or replaces it and discards its statistics if its announcement has changed.
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

    /// Removes the target of an instance.
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

    /// Removes the targets of all instances for which `is_live` returns false.
    pub fn retain(&mut self, is_live: impl Fn(&str) -> bool) {
        let departed: Vec<InstanceId> = self
            .targets
            .values()
            .map(|target| &target.info.instance)
            .filter(|instance| !is_live(instance))
            .cloned()
            .collect();
        for instance in departed {
            self.remove(&instance);
        }
    }

    /// Sets whether the agent of a target is suspected to have failed. Suspected, draining and
    /// ejected targets are chosen only if no other target remains.
    pub fn set_suspected(&mut self, key: TargetKey, is_suspected: bool) {
        if let Some(target) = self.targets.get_mut(key) {
            target.is_suspected = is_suspected;
        }
    }

    /// Expected latency of one request to a target.
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

    /// Announcement of a target.
    pub fn info(&self, key: TargetKey) -> Option<&TargetInfo> {
        self.targets.get(key).map(|target| &target.info)
    }

    /// Chooses a target of the service other than those in `tried`.
    pub fn choose(
        &self,
        service: &str,
        zone: &str,
        tried: &[TargetKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let keys = self.by_service.get(service)?;
        let untried: Vec<TargetKey> =
            keys.iter().copied().filter(|key| !tried.contains(key)).collect();
        let healthy: Vec<TargetKey> =
            untried.iter().copied().filter(|key| self.targets[*key].is_healthy(now)).collect();
        let candidates = if healthy.is_empty() { &untried } else { &healthy };
        let (local, remote): (Vec<_>, Vec<_>) =
            candidates.iter().partition(|key| self.targets[**key].info.zone == zone);
        let local_candidate = self.less_loaded_of_two(&local, now, rng);
        let remote_candidate = self.less_loaded_of_two(&remote, now, rng);
        let (Some(local_key), Some(remote_key)) = (local_candidate, remote_candidate) else {
            return local_candidate.or(remote_candidate);
        };
        let (local_ms, remote_ms) = (
            self.targets[local_key].expected_response_ms(now),
            self.targets[remote_key].expected_response_ms(now),
        );
        let is_spillover = local_ms > remote_ms * SPILLOVER_RATIO;
        Some(if is_spillover { remote_key } else { local_key })
    }

    /// Records that an attempt is sent to the target.
    pub fn begin_attempt(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.in_flight += 1;
        }
    }

    /// Records the end of an attempt with a response, which ends an ejection.
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

    /// Records the end of an attempt without a latency sample: it was refused or abandoned.
    pub fn end_unmeasured_attempt(&mut self, key: TargetKey, load: Option<LoadReport>) {
        if let Some(target) = self.targets.get_mut(key) {
            target.end_attempt(load);
        }
    }

    /// Records the end of an attempt without a response, and ejects a target that keeps failing.
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

    fn less_loaded_of_two(
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
    fn is_healthy(&self, now: Instant) -> bool {
        !self.load.is_draining
            && !self.is_suspected
            && self.ejected_until.is_none_or(|until| until <= now)
    }

    /// Expected time to serve the outstanding requests and a new one, in milliseconds, increased
    /// during the slow start.
    fn cost(&self, now: Instant) -> f64 {
        let slow_start_factor = now.saturating_duration_since(self.added_at).as_secs_f64()
            / SLOW_START_PERIOD.as_secs_f64();
        let requests = f64::from(self.outstanding() + 1);
        requests * self.expected_latency_ms(now)
            / slow_start_factor.clamp(MIN_SLOW_START_FACTOR, 1.0)
    }

    /// Expected response time in milliseconds: the latency, increased in proportion to the load
    /// when the target is close to its concurrency limit.
    fn expected_response_ms(&self, now: Instant) -> f64 {
        let limit = if self.load.limit > 0 { self.load.limit } else { self.info.slots.max(1) };
        let relative_load =
            f64::from(self.outstanding() + 1) / (f64::from(limit) * UNQUEUED_UTILIZATION);
        self.expected_latency_ms(now) * relative_load.max(1.0)
    }

    /// Estimated outstanding requests: this entry's own, and half of those of other entries as of
    /// the last report.
    fn outstanding(&self) -> u32 {
        let others = (self.load.in_flight + self.load.queued).saturating_sub(self.in_flight);
        self.in_flight + others / 2
    }

    fn expected_latency_ms(&self, now: Instant) -> f64 {
        let Some(latency_ms) = self.latency_ms else { return ASSUMED_LATENCY_MS };
        let idle_s = now.saturating_duration_since(self.measured_at).as_secs_f64();
        let half_lives = idle_s / LATENCY_HALF_LIFE.as_secs_f64();
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
