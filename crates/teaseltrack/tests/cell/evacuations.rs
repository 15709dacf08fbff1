//! Evacuations of availability zones. Each start that a simulated agent carries out asserts that its
//! zone hasn't been evacuated for longer than the bound.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack::{
    cell::{
        CellEvent, StoredJob,
        evacuation::Evacuations,
        job::Stage,
        progress::JobState,
        protocol::{Order, TaskName},
        quote::StageDemand,
    },
    placement::Resources,
};
use yare::parameterized;

use crate::fleet::{Fleet, long_running, stage, stored_job};

const JOB: &str = "0000000000000001";

/// Fleet whose workers are in two zones by turns, after the first reports.
fn fleet(instance_count: usize) -> Fleet {
    let mut fleet = Fleet::new(instance_count, 1).with_zones(&["a", "b"]);
    for instance in &mut fleet.instances {
        instance.percent = Some(100);
    }
    fleet.run_steps(6);
    fleet
}

fn job(stages: Vec<Stage>) -> StoredJob {
    stored_job(JOB, stages)
}

fn running(fleet: &Fleet) -> BTreeSet<TaskName> {
    fleet.instances.iter().flat_map(|instance| instance.running.keys().cloned()).collect()
}

/// Number of assignments in some steps, whether the agents accept them or not.
fn assignments(fleet: &mut Fleet, step_count: usize) -> usize {
    fleet.cell.take_events();
    fleet.run_steps(step_count);
    let is_assignment = |event: &&CellEvent| matches!(event, CellEvent::Assigned { .. });
    fleet.cell.take_events().iter().filter(is_assignment).count()
}

/// Asserts that the responses to the agents of zone `a` have no start order.
fn assert_no_start_order(fleet: &mut Fleet) {
    for index in 0..fleet.instances.len() {
        let report = fleet.instances[index].report();
        if fleet.instances[index].zone == "a" {
            let response = fleet.cell.handle_report(report, true, fleet.now);
            let is_start = |order: &Order| matches!(order, Order::Start(_));
            assert!(!response.orders.iter().any(is_start));
        }
    }
}

/// Guards against orders that only the agents of the zone refuse.
#[test]
fn plan_assigns_nothing_in_an_evacuated_zone() {
    let mut fleet = fleet(4);
    fleet.evacuate("a");
    fleet.submit(job(vec![stage(30), long_running(1)]));
    for _ in 0..100 {
        fleet.step();
        assert_no_start_order(&mut fleet);
    }
    assert!(fleet.start_count > 0);
}

/// Guards against starts that follow a commit during which the evacuation became known.
#[parameterized(
    batch = { stage(6) },
    gang = { Stage { is_gang: true, ..stage(6) } },
)]
fn apply_evacuations_withdraws_starts_of_the_commit_in_flight(stage: Stage) {
    let mut fleet = fleet(4);
    fleet.commit_time = Duration::from_secs(1);
    fleet.submit(job(vec![stage]));
    fleet.run_steps(2);
    assert!(fleet.in_flight.is_some());
    fleet.evacuate("a");
    for _ in 0..40 {
        fleet.step();
        assert_no_start_order(&mut fleet);
    }
    fleet.run_steps(400);
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
}

/// Guards against starts by orders that were sent, and not accepted, before the request.
#[test]
fn evacuation_notice_withdraws_orders_that_the_agent_has_not_accepted() {
    let mut fleet = fleet(2);
    fleet.instances[0].is_disconnected = true;
    fleet.submit(job(vec![stage(8)]));
    fleet.run_steps(2);
    assert!(!running(&fleet).is_empty(), "orders were sent");
    fleet.evacuate("a");
    fleet.instances[0].is_disconnected = false;
    for _ in 0..200 {
        fleet.step();
        assert_eq!(fleet.running_in("a"), BTreeSet::new());
    }
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
}

/// Guards against starts by an owner that has replaced another right after the acknowledgement.
#[test]
fn plan_of_a_new_owner_waits_until_the_evacuations_are_known() {
    let mut fleet = fleet(4);
    fleet.evacuate("a");
    fleet.replace_owner();
    fleet.set_requests_cut(true);
    fleet.submit(job(vec![stage(12)]));
    let assigned = assignments(&mut fleet, 20);
    assert_eq!(assigned, 0, "the new owner hasn't read the requests");
    fleet.set_requests_cut(false);
    for _ in 0..200 {
        fleet.step();
        assert_eq!(fleet.running_in("a"), BTreeSet::new());
    }
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
}

/// Guards against an owner that commits, but doesn't see new requests.
#[test]
fn plan_assigns_nothing_once_the_evacuations_are_unknown() {
    let mut fleet = fleet(4);
    fleet.set_requests_cut(true);
    fleet.evacuate("a");
    for round in 0..160_u64 {
        if round % 10 == 0 {
            fleet.submit(stored_job(&format!("{round:016x}"), vec![stage(3)]));
        }
        fleet.step();
    }
    assert!(fleet.start_count > 0, "the requests were known for a while");
    assert_eq!(assignments(&mut fleet, 20), 0);
    fleet.set_requests_cut(false);
    fleet.run_steps(200);
    let is_completed = |id| fleet.cell.state(id) == Some(JobState::Completed);
    assert!(fleet.jobs.keys().all(|id| is_completed(id)));
    assert_eq!(fleet.running_in("a"), BTreeSet::new());
}

/// Guards against starts by committed orders of an owner that was cut off from the store and still
/// grants leases.
#[test]
fn evacuation_notice_of_a_cut_off_owner_expires() {
    let mut fleet = fleet(1);
    fleet.set_requests_cut(true);
    fleet.evacuate("a");
    fleet.run_steps(62);
    fleet.instances[0].is_disconnected = true;
    fleet.submit(job(vec![stage(2)]));
    fleet.run_steps(20);
    fleet.instances[0].is_disconnected = false;
    let response = fleet.cell.handle_report(fleet.instances[0].report(), true, fleet.now);
    assert!(!response.orders.is_empty() && response.lease_until_ms.is_some());
    assert_eq!(response.evacuation.valid_for_ms, Some(0));
    fleet.run_steps(30);
    assert_eq!(fleet.start_count, 0);
}

/// Guards against a mass stop: callers keep what works until there is room elsewhere.
#[test]
fn move_evacuated_task_moves_serving_tasks_one_at_a_time() {
    let mut fleet = fleet(4);
    fleet.submit(job(vec![Stage { max_unavailable: Some(1), ..long_running(6) }]));
    fleet.run_steps(30);
    assert_eq!(running(&fleet).len(), 6);
    let zone = fleet.instances[0].zone.clone();
    let zone = if fleet.running_in(&zone).is_empty() { "b".to_owned() } else { zone };
    fleet.evacuate(&zone);
    for _ in 0..200 {
        fleet.step();
        assert!(running(&fleet).len() >= 5, "more than one task is away");
    }
    assert_eq!(fleet.running_in(&zone), BTreeSet::new());
    assert_eq!(running(&fleet).len(), 6);
    let events = fleet.cell.take_events();
    assert!(events.iter().any(|event| matches!(event, CellEvent::EvacuationEmptied { .. })));
}

/// Guards against serving tasks that are stopped without a place to go to, and against stops that the
/// stage doesn't tolerate.
#[parameterized(
    no_room = { 16, None },
    no_task_may_be_unavailable = { 6, Some(0) },
)]
fn move_evacuated_task_keeps_serving_tasks_running(task_count: u32, max_unavailable: Option<u32>) {
    let mut fleet = fleet(4);
    fleet.submit(job(vec![Stage { max_unavailable, ..long_running(task_count) }]));
    fleet.run_steps(60);
    let before = running(&fleet);
    assert_eq!(before.len(), task_count as usize);
    for zone in ["a", "b"] {
        fleet.evacuate(zone);
        for _ in 0..60 {
            fleet.step();
            assert_eq!(running(&fleet), before);
        }
        fleet.reopen(zone);
    }
}

/// Guards against moves that take the room for which other work waits.
#[test]
fn move_evacuated_task_leaves_room_to_waiting_batch_tasks() {
    let with_cpu = |cpu_milli, stage: Stage| {
        let resources = Resources { cpu_milli, ..stage.resources };
        Stage { resources, ..stage }
    };
    let mut fleet = fleet(2);
    fleet.submit(job(vec![with_cpu(1_000, long_running(2))]));
    fleet.run_steps(30);
    let zone = if fleet.running_in("a").is_empty() { "b" } else { "a" };
    let serving = fleet.running_in(zone);
    assert_eq!(serving.len(), 2);
    // One task fits on the other worker, and leaves room for serving tasks only.
    fleet.submit(stored_job("0000000000000002", vec![with_cpu(6_000, stage(40))]));
    fleet.run_steps(4);
    fleet.evacuate(zone);
    for _ in 0..60 {
        fleet.step();
        assert!(fleet.running_in(zone).is_superset(&serving));
    }
}

/// Guards against paused work that stays although it loses nothing by a move.
#[test]
fn relocate_idle_tasks_empties_an_evacuated_zone_of_paused_tasks() {
    let mut fleet = fleet(2);
    fleet.max_run_ms = 60_000;
    fleet.submit(job(vec![Stage { is_best_effort: true, is_checkpointing: true, ..stage(2) }]));
    fleet.run_steps(10);
    let zone = if fleet.running_in("a").is_empty() { "b" } else { "a" };
    assert!(!fleet.running_in(zone).is_empty());
    fleet.evacuate(zone);
    fleet.run_steps(80);
    assert_eq!(fleet.running_in(zone), BTreeSet::new());
}

/// Guards against tasks that are lost, or run twice, because the evacuation ends while they move.
#[test]
fn end_of_an_evacuation_during_moves_loses_no_task() {
    let mut fleet = fleet(6);
    fleet.submit(job(vec![long_running(9)]));
    fleet.run_steps(40);
    for round in 0..40 {
        let zone = if round % 2 == 0 { "a" } else { "b" };
        fleet.evacuate(zone);
        fleet.run_steps(8);
        fleet.reopen(zone);
        fleet.step();
    }
    fleet.run_steps(40);
    assert_eq!(running(&fleet).len(), 9);
}

/// Guards against jobs that are lost, or stay, when nothing may start anywhere.
#[test]
fn evacuation_of_all_zones_delays_jobs() {
    let mut fleet = fleet(4);
    for zone in ["a", "b"] {
        fleet.evacuate(zone);
    }
    fleet.submit(job(vec![stage(4)]));
    fleet.run_steps(200);
    assert_eq!((fleet.start_count, fleet.cell.state(JOB)), (0, Some(JobState::Queued)));
    for zone in ["a", "b"] {
        fleet.reopen(zone);
    }
    fleet.run_steps(100);
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
}

#[test]
fn evacuation_of_an_unknown_zone_is_reported_once() {
    let mut fleet = fleet(2);
    fleet.evacuate("c");
    fleet.submit(job(vec![stage(4)]));
    fleet.run_steps(200);
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
    let events = fleet.cell.take_events();
    let is_unknown = |event: &&CellEvent| matches!(event, CellEvent::EvacuationUnknown { .. });
    assert_eq!(events.iter().filter(is_unknown).count(), 1);
}

/// Load pattern: a cell that is a whole zone gets jobs that another cell could run.
#[test]
fn quote_of_an_evacuated_cell_has_no_room() {
    let mut fleet = Fleet::new(3, 1).with_zones(&["a"]);
    fleet.run_steps(6);
    let demands = [StageDemand::of(&long_running(4))];
    assert_eq!(fleet.cell.quote(&demands, "service", fleet.now).unplaceable_count, 0);
    fleet.submit(job(vec![stage(1)]));
    let backlog_ms = fleet.cell.quote(&[], "service", fleet.now).backlog_ms;
    fleet.evacuate("a");
    fleet.run_steps(40);
    assert_eq!(fleet.cell.quote(&demands, "service", fleet.now).unplaceable_count, 4);
    assert!(fleet.cell.quote(&[], "service", fleet.now).backlog_ms >= backlog_ms);
}

/// Load pattern: all waiting tasks rush at the cold workers of a zone that was taken back.
#[test]
fn end_of_an_evacuation_warms_cold_workers_up() {
    let mut fleet = fleet(4);
    fleet.submit(job(vec![stage(60)]));
    fleet.evacuate("a");
    fleet.run_steps(60);
    for instance in fleet.instances.iter_mut().filter(|instance| instance.zone == "a") {
        instance.is_cold = true;
    }
    fleet.reopen("a");
    let mut started = Vec::new();
    for _ in 0..10 {
        let before = fleet.running_in("a");
        fleet.step();
        started.push(fleet.running_in("a").difference(&before).count());
    }
    assert!(started.iter().sum::<usize>() > 0);
    assert!(started.iter().all(|count| *count <= 4), "two tasks a worker at a time: {started:?}");
    fleet.run_steps(300);
    assert_eq!(fleet.cell.state(JOB), Some(JobState::Completed));
}

/// Guards against an older state that replaces a newer one.
#[test]
fn apply_evacuations_ignores_older_versions() {
    let mut fleet = fleet(2);
    fleet.set_requests_cut(true);
    let known = |version, zones: &[&str], current_at: Instant| Evacuations {
        version,
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
        current_at,
    };
    fleet.cell.apply_evacuations(known(5, &["a"], fleet.now), fleet.now);
    fleet.cell.apply_evacuations(known(4, &[], fleet.now), fleet.now);
    assert_eq!(fleet.cell.evacuated_zone_count(), 1);
    fleet.cell.apply_evacuations(known(6, &[], fleet.now), fleet.now);
    assert_eq!(fleet.cell.evacuated_zone_count(), 0);
}

#[parameterized(
    seed_1 = { 1, false },
    seed_2 = { 2, false },
    seed_3 = { 3, false },
    seed_4 = { 4, false },
    slow_store_seed_5 = { 5, true },
    slow_store_seed_6 = { 6, true },
    slow_store_seed_7 = { 7, true },
    slow_store_seed_8 = { 8, true },
)]
fn cell_upholds_invariants_while_zones_are_evacuated(seed: u64, has_slow_store: bool) {
    run_random_faults(seed, has_slow_store);
}

fn run_random_faults(seed: u64, has_slow_store: bool) {
    let mut fleet = Fleet::new(6, seed);
    if has_slow_store {
        fleet = fleet.with_slow_store(400);
    }
    fleet = fleet.with_zones(&["a", "b", "c"]);
    let mut faults = ChaCha8Rng::seed_from_u64(seed + 3_000);
    for round in 0_u64..2_500 {
        let is_faulty = round < 1_000;
        if round % 40 == 0 && is_faulty {
            let is_gang = faults.random_bool(0.3);
            let first = stage(faults.random_range(1..5));
            let second = Stage { after: vec![0], is_gang, ..stage(faults.random_range(1..5)) };
            fleet.submit(stored_job(&format!("{round:016x}"), vec![first, second]));
        }
        fleet.step();
        fleet.replace_cut_owner();
        let zone = ["a", "b", "c", "unknown"][faults.random_range(0..4)];
        if !is_faulty {
            for zone in ["a", "b", "c"] {
                fleet.reopen(zone);
            }
            fleet.set_requests_cut(false);
            for instance in &mut fleet.instances {
                instance.is_disconnected = false;
            }
            continue;
        }
        let index = faults.random_range(0..6);
        match faults.random_range(0..150) {
            0 if has_slow_store => fleet.restart_owner(),
            0 => fleet.replace_owner(),
            1 => fleet.restart_agent(index),
            2 => fleet.instances[index].is_disconnected = true,
            3..=8 => fleet.instances[index].is_disconnected = false,
            9 => fleet.set_requests_cut(true),
            10..=12 => fleet.set_requests_cut(false),
            13 | 14 => fleet.evacuate(zone),
            15..=17 => fleet.reopen(zone),
            18 => {
                if let Some(store) = &mut fleet.slow_store {
                    store.is_cut = true;
                }
            }
            _ => {}
        }
    }
    for id in fleet.jobs.keys() {
        let state = fleet.cell.state(id);
        assert!(state.is_some_and(JobState::is_final), "{id}: {state:?}");
    }
}
