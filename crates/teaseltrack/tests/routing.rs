//! Tests of target selection and ejection.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use teaseltrack::routing::{LoadReport, Router, TargetInfo, TargetKey};

const SERVICE: &str = "tickets";
const ZONE: &str = "zilina-a";
/// Random selections per count, so many that a target with any chance of selection is chosen.
const SELECTIONS: u32 = 400;

struct Fixture {
    router: Router,
    keys: Vec<TargetKey>,
    now: Instant,
    rng: ChaCha8Rng,
}

/// A router with one target per given zone, all past their slow start.
fn fixture(zones: &[&str]) -> Fixture {
    let start = Instant::now();
    let mut router = Router::default();
    let keys = zones
        .iter()
        .enumerate()
        .map(|(index, zone)| router.upsert(target_info(index, zone, 1), start))
        .collect();
    // Far longer than the slow start of 2 s.
    let now = start + Duration::from_secs(60);
    Fixture { router, keys, now, rng: ChaCha8Rng::seed_from_u64(1) }
}

fn target_info(index: usize, zone: &str, incarnation: u64) -> TargetInfo {
    TargetInfo {
        instance: format!("agent-{index}"),
        zone: zone.to_owned(),
        service: SERVICE.to_owned(),
        slots: 8,
        incarnation,
    }
}

impl Fixture {
    fn choose(&mut self, tried: &[TargetKey]) -> Option<TargetKey> {
        self.router.choose(SERVICE, ZONE, tried, self.now, &mut self.rng)
    }

    /// Number of times that each target is chosen in `SELECTIONS` selections.
    fn selection_counts(&mut self) -> Vec<u32> {
        let mut counts = vec![0; self.keys.len()];
        for _ in 0..SELECTIONS {
            let chosen = self.choose(&[]).unwrap();
            let index = self.keys.iter().position(|key| *key == chosen).unwrap();
            counts[index] += 1;
        }
        counts
    }

    fn respond(&mut self, index: usize, latency_ms: u64) {
        self.router.begin_attempt(self.keys[index]);
        let latency = Duration::from_millis(latency_ms);
        self.router.record_response(self.keys[index], latency, None, self.now);
    }

    fn fail(&mut self, index: usize) {
        self.router.begin_attempt(self.keys[index]);
        self.router.record_failure(self.keys[index], Duration::from_millis(5), self.now);
    }
}

#[test]
fn choose_unknown_service() {
    let mut fixture = fixture(&[]);
    assert_eq!(fixture.choose(&[]), None);
}

#[test]
fn choose_local_zone() {
    let mut fixture = fixture(&[ZONE, ZONE, "martin-b"]);
    (0..3).for_each(|index| fixture.respond(index, 5));
    assert_eq!(fixture.selection_counts()[2], 0);
}

#[test]
fn choose_spills_over_when_local_zone_full() {
    let mut fixture = fixture(&[ZONE, "martin-b"]);
    (0..2).for_each(|index| fixture.respond(index, 5));
    (0..8).for_each(|_| fixture.router.begin_attempt(fixture.keys[0]));
    assert_eq!(fixture.selection_counts(), [0, SELECTIONS]);
}

#[test]
fn choose_avoids_slow_target() {
    let mut fixture = fixture(&[ZONE, ZONE, ZONE]);
    fixture.respond(0, 100);
    fixture.respond(1, 5);
    fixture.respond(2, 5);
    assert_eq!(fixture.selection_counts()[0], 0);
}

#[test]
fn choose_other_than_tried() {
    let mut fixture = fixture(&[ZONE, ZONE]);
    let tried = [fixture.keys[0]];
    for _ in 0..SELECTIONS {
        assert_eq!(fixture.choose(&tried), Some(fixture.keys[1]));
    }
    let tried = fixture.keys.clone();
    assert_eq!(fixture.choose(&tried), None);
}

#[test]
fn choose_excludes_failing_target_until_ejection_ends() {
    let mut fixture = fixture(&[ZONE, ZONE]);
    (0..3).for_each(|_| fixture.fail(0));
    assert_eq!(fixture.selection_counts()[0], 0);
    // Longer than the maximum ejection of 10 s.
    fixture.now += Duration::from_secs(60);
    assert!(fixture.selection_counts()[0] > 0);
}

#[test]
fn choose_failing_target_when_no_other_remains() {
    let mut fixture = fixture(&[ZONE]);
    (0..3).for_each(|_| fixture.fail(0));
    assert_eq!(fixture.choose(&[]), Some(fixture.keys[0]));
}

#[test]
fn choose_excludes_suspected_and_draining() {
    let mut fixture = fixture(&[ZONE, ZONE, ZONE]);
    fixture.router.set_suspected(fixture.keys[0], true);
    let draining = LoadReport { is_draining: true, ..LoadReport::default() };
    fixture.router.begin_attempt(fixture.keys[1]);
    fixture.router.end_unmeasured_attempt(fixture.keys[1], Some(draining));
    assert_eq!(fixture.selection_counts(), [0, 0, SELECTIONS]);
}

#[test]
fn upsert_new_incarnation_resets_draining() {
    let mut fixture = fixture(&[ZONE, "martin-b"]);
    let draining = LoadReport { is_draining: true, ..LoadReport::default() };
    fixture.router.begin_attempt(fixture.keys[0]);
    fixture.router.end_unmeasured_attempt(fixture.keys[0], Some(draining));
    assert_eq!(fixture.selection_counts()[0], 0);
    fixture.keys[0] = fixture.router.upsert(target_info(0, ZONE, 2), fixture.now);
    // Far longer than the slow start of 2 s.
    fixture.now += Duration::from_secs(60);
    assert_eq!(fixture.selection_counts()[1], 0);
}

#[test]
fn choose_slow_start_of_new_target() {
    let mut fixture = fixture(&[ZONE, ZONE]);
    (0..2).for_each(|index| fixture.respond(index, 5));
    fixture.keys.push(fixture.router.upsert(target_info(2, ZONE, 1), fixture.now));
    // The slow-start factor raises the new target's cost above that of the others, so it loses
    // every comparison.
    assert_eq!(fixture.selection_counts()[2], 0);
    // Past the slow start of 2 s.
    fixture.now += Duration::from_secs(10);
    assert!(fixture.selection_counts()[2] > 0);
}

#[test]
fn retain_removes_departed_instances() {
    let mut fixture = fixture(&[ZONE, ZONE]);
    fixture.router.retain(|instance| instance == "agent-1");
    assert_eq!(fixture.router.target_count(SERVICE), 1);
    assert_eq!(fixture.choose(&[]), Some(fixture.keys[1]));
    fixture.router.retain(|_| false);
    assert_eq!(fixture.choose(&[]), None);
}
